"""Import graph of a package, read from the sources without running them."""

from __future__ import annotations

import ast
from collections.abc import Iterable, Iterator, Mapping
from pathlib import Path

ImportGraph = Mapping[str, frozenset[str]]  # the imports of each module


def imports_of(source: str, module: str, is_package: bool, own: Iterable[str]) -> frozenset[str]:
    """Return the full names of the modules that a source imports, at top level or in functions.

    Imports that only a type checker sees (`if TYPE_CHECKING:`) are left out. `own` are the modules
    of the analyzed package: `from package import name` is an import of `package.name` if that is
    one of them, and of `package` otherwise.
    """
    known = frozenset(own)
    package = module if is_package else module.rpartition(".")[0]
    found: set[str] = set()
    for node in _runtime_nodes(ast.parse(source)):
        if isinstance(node, ast.Import):
            found.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            origin = _imported_module(node, package)
            for alias in node.names:
                inner = f"{origin}.{alias.name}"
                found.add(inner if inner in known else origin)
    return frozenset(found)


def _runtime_nodes(node: ast.AST) -> Iterator[ast.AST]:
    """Yield the nodes of a syntax tree, without the bodies of `if TYPE_CHECKING:`."""
    yield node
    children: Iterable[ast.AST] = ast.iter_child_nodes(node)
    if isinstance(node, ast.If) and _is_type_checking(node.test):
        children = node.orelse
    for child in children:
        yield from _runtime_nodes(child)


def _is_type_checking(test: ast.expr) -> bool:
    name = test.attr if isinstance(test, ast.Attribute) else getattr(test, "id", "")
    return name == "TYPE_CHECKING"


def _imported_module(node: ast.ImportFrom, package: str) -> str:
    """Return the full name of the module in a `from` import, which may be relative."""
    if node.level == 0:
        return node.module or ""
    parents = package.split(".")
    base = parents[: len(parents) - node.level + 1]
    return ".".join([*base, node.module] if node.module else base)


def import_graph(root: Path) -> ImportGraph:
    """Return the import graph of the package in a directory."""
    sources = {_module_name(path, root): path for path in sorted(root.rglob("*.py"))}
    return {
        module: imports_of(path.read_text(), module, path.name == "__init__.py", sources)
        for module, path in sources.items()
    }


def _module_name(path: Path, root: Path) -> str:
    parts = path.relative_to(root.parent).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def within(module: str, package: str) -> bool:
    """Return whether a module is a package or lies in it."""
    return module == package or module.startswith(f"{package}.")


def reachable(graph: ImportGraph, starts: Iterable[str]) -> frozenset[str]:
    """Return the modules of the graph that importing `starts` loads, themselves included.

    Importing a module also imports the packages that contain it.
    """
    found: set[str] = set()
    pending = list(starts)
    while pending:
        module = pending.pop()
        if module in found or module not in graph:
            continue
        found.add(module)
        pending += graph[module]
        pending.append(module.rpartition(".")[0])
    return frozenset(found)


def cycles(graph: ImportGraph) -> list[list[str]]:
    """Return the groups of modules that import one another, directly or through others, sorted.

    Imports inside functions count. The implicit imports of containing packages do not.
    """
    imports_by_module = {module: _transitive_imports(graph, module) for module in graph}
    groups = {
        tuple(
            sorted(
                other for other in imports_by_module[module] if module in imports_by_module[other]
            )
        )
        for module in graph
        if module in imports_by_module[module]
    }
    return [list(group) for group in sorted(groups)]


def _transitive_imports(graph: ImportGraph, module: str) -> frozenset[str]:
    """Return the direct and indirect imports of a module; itself only if it lies on a cycle."""
    found: set[str] = set()
    pending = [name for name in graph[module] if name in graph]
    while pending:
        name = pending.pop()
        if name not in found:
            found.add(name)
            pending += [other for other in graph[name] if other in graph]
    return frozenset(found)
