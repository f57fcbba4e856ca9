"""Import rules: the core does no input or output, and there are no import cycles."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.import_graph import (
    ImportGraph,
    cycles,
    import_graph,
    imports_of,
    reachable,
    within,
)

PACKAGE = Path(__file__).resolve().parent.parent / "ashdock"
CORE = "ashdock.core"

# Modules that do input or output, start threads or processes, or read clocks. `logging` is allowed.
FORBIDDEN_IN_CORE = frozenset(
    {
        "ashdock.cli",
        "ashdock.controller",
        "ashdock.net",
        "asyncio",
        "concurrent",
        "ctypes",
        "datetime",
        "fcntl",
        "h11",
        "http",
        "io",
        "mmap",
        "multiprocessing",
        "os",
        "pathlib",
        "prometheus_client",
        "select",
        "selectors",
        "shutil",
        "signal",
        "socket",
        "socketserver",
        "sqlite3",
        "ssl",
        "subprocess",
        "sys",
        "tempfile",
        "threading",
        "time",
        "urllib",
    }
)

# Forbidden imports that remain in modules that the core loads: module and import. May only shrink.
EXCEPTIONS = frozenset(
    {
        ("ashdock.settings", "pathlib"),  # types and file reader in one module
    }
)
MOST_EXCEPTIONS = 1  # may only be lowered


def forbidden_imports(graph: ImportGraph, core: str) -> frozenset[tuple[str, str]]:
    """Return pairs of a module that importing the core loads and a forbidden import of it."""
    modules = reachable(graph, [module for module in graph if within(module, core)])
    return frozenset(
        (module, imported)
        for module in modules
        for imported in graph[module]
        if any(within(imported, forbidden) for forbidden in FORBIDDEN_IN_CORE)
    )


def test_the_core_does_no_input_or_output() -> None:
    graph = import_graph(PACKAGE)
    assert CORE in graph
    assert forbidden_imports(graph, CORE) - EXCEPTIONS == frozenset()


def test_every_exception_is_still_needed() -> None:
    assert forbidden_imports(import_graph(PACKAGE), CORE) >= EXCEPTIONS
    assert len(EXCEPTIONS) <= MOST_EXCEPTIONS


def test_there_are_no_import_cycles() -> None:
    assert cycles(import_graph(PACKAGE)) == []


OWN = ("a", "a.b", "a.b.c", "a.d")
SOURCES = [  # source of the module a.b.c; its imports
    ("import os.path, json as j", {"os.path", "json"}),
    ("from a import d, other", {"a.d", "a"}),
    ("from a.d import name", {"a.d"}),
    ("from . import name", {"a.b"}),
    ("from .. import d", {"a.d"}),
    ("from ..d import name", {"a.d"}),
    ("def act():\n    import socket", {"socket"}),
    ("try:\n    import socket\nexcept ImportError:\n    import ssl", {"socket", "ssl"}),
    ("if TYPE_CHECKING:\n    import socket\nelse:\n    import ssl", {"ssl"}),
    ("if typing.TYPE_CHECKING:\n    import socket", set()),
    ("if not TYPE_CHECKING:\n    import socket", {"socket"}),
]


@pytest.mark.parametrize(("source", "imports"), SOURCES)
def test_imports_of_a_source(source: str, imports: set[str]) -> None:
    assert imports_of(source, "a.b.c", is_package=False, own=OWN) == imports


def test_relative_imports_of_a_package() -> None:
    assert imports_of("from .c import name", "a.b", is_package=True, own=OWN) == {"a.b.c"}


def graph_of(**imports: str) -> ImportGraph:
    """Build a graph from module names with `_` for the dot and space-separated imports."""
    return {name.replace("_", "."): frozenset(modules.split()) for name, modules in imports.items()}


FORBIDDEN = [  # graph; forbidden imports of the core `p.core`
    (graph_of(p="", p_core="", p_core_a="logging math"), set()),
    (graph_of(p="", p_core="", p_core_a="socket"), {("p.core.a", "socket")}),
    (graph_of(p="", p_core="", p_core_a="p.x", p_x="os.path"), {("p.x", "os.path")}),
    (graph_of(p="time", p_core="", p_core_a=""), {("p", "time")}),
    (graph_of(p="", p_core="p.x.y", p_x="asyncio", p_x_y=""), {("p.x", "asyncio")}),
    (graph_of(p="", p_core="timeit", p_x="socket"), set()),
    (graph_of(p="", p_core="ashdock.net.http"), {("p.core", "ashdock.net.http")}),
]


@pytest.mark.parametrize(("graph", "found"), FORBIDDEN)
def test_forbidden_imports_are_found(graph: ImportGraph, found: set[tuple[str, str]]) -> None:
    assert forbidden_imports(graph, "p.core") == found


CYCLES = [  # graph; its cycles
    (graph_of(a="b c", b="c", c="os"), []),
    (graph_of(a="a"), [["a"]]),
    (graph_of(a="b", b="c", c="a", d="a"), [["a", "b", "c"]]),
    (graph_of(a="b", b="a", c="d a", d="c"), [["a", "b"], ["c", "d"]]),
]


@pytest.mark.parametrize(("graph", "found"), CYCLES)
def test_cycles_are_found(graph: ImportGraph, found: list[list[str]]) -> None:
    assert cycles(graph) == found
