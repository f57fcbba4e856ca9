"""Which module of a package imports which, read from the sources without running them."""

from __future__ import annotations

import ast
from collections.abc import Iterable, Iterator, Mapping
from pathlib import Path

ImportGraph = Mapping[str, frozenset[str]]  # of each module, what it imports


def imports_of(source: str, module: str, is_package: bool, own: Iterable[str]) -> frozenset[str]:
    """The full names of the modules that a source imports, at its head or inside a function.

    Imports that only a type checker sees (`if TYPE_CHECKING:`) are left out. `own` are the modules of
    the package at hand: `from package import name` is an import of `package.name` where that is one
    of them, and of `package` otherwise.
    """
    known = frozenset(own)
    package = module if is_package else module.rpartition(".")[0]
    found: set[str] = set()
    for node in _executed(ast.parse(source)):
        if isinstance(node, ast.Import):
            found.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            origin = _origin(node, package)
            for alias in node.names:
                inner = f"{origin}.{alias.name}"
                found.add(inner if inner in known else origin)
    return frozenset(found)


def _executed(node: ast.AST) -> Iterator[ast.AST]:
    """A syntax tree's nodes, without the bodies of `if TYPE_CHECKING:`."""
    yield node
    children: Iterable[ast.AST] = ast.iter_child_nodes(node)
    if isinstance(node, ast.If) and _is_type_checking(node.test):
        children = node.orelse
    for child in children:
        yield from _executed(child)


def _is_type_checking(test: ast.expr) -> bool:
    name = test.attr if isinstance(test, ast.Attribute) else getattr(test, "id", "")
    return name == "TYPE_CHECKING"


def _origin(node: ast.ImportFrom, package: str) -> str:
    """The full name of the module that `from ... import` names, which may be relative to the package."""
    if node.level == 0:
        return node.module or ""
    parents = package.split(".")
    base = parents[: len(parents) - node.level + 1]
    return ".".join([*base, node.module] if node.module else base)


def import_graph(root: Path) -> ImportGraph:
    """The graph of a package, given its directory."""
    sources = {_name(path, root): path for path in sorted(root.rglob("*.py"))}
    return {
        module: imports_of(path.read_text(), module, path.name == "__init__.py", sources)
        for module, path in sources.items()
    }


def _name(path: Path, root: Path) -> str:
    parts = path.relative_to(root.parent).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def within(module: str, package: str) -> bool:
    """Whether a module is a package or lies in it."""
    return module == package or module.startswith(f"{package}.")


def reachable(graph: ImportGraph, starts: Iterable[str]) -> frozenset[str]:
    """The modules of the graph that importing these brings in, themselves among them.

    To import a module is to import the packages it lies in as well.
    """
    found: set[str] = set()
    ahead = list(starts)
    while ahead:
        module = ahead.pop()
        if module in found or module not in graph:
            continue
        found.add(module)
        ahead += graph[module]
        ahead.append(module.rpartition(".")[0])
    return frozenset(found)


def cycles(graph: ImportGraph) -> list[list[str]]:
    """Groups of modules that import one another, directly or through others, each in order of name.

    Imports inside functions count; that to import a module runs the packages it lies in does not.
    """
    after = {module: _after(graph, module) for module in graph}
    groups = {
        tuple(sorted(other for other in after[module] if module in after[other]))
        for module in graph
        if module in after[module]
    }
    return [list(group) for group in sorted(groups)]


def _after(graph: ImportGraph, module: str) -> frozenset[str]:
    """What a module imports directly or through others; itself only where it lies on a cycle."""
    found: set[str] = set()
    ahead = [name for name in graph[module] if name in graph]
    while ahead:
        name = ahead.pop()
        if name not in found:
            found.add(name)
            ahead += [other for other in graph[name] if other in graph]
    return frozenset(found)
