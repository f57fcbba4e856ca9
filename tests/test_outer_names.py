"""Names that leave the process, in messages, stored records, settings and metrics, do not change."""

from __future__ import annotations

import ast
import re
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
NAMES_FILE = ROOT / "tests" / "data" / "outer_names.txt"
WORD = re.compile(r"[\w./$-]+")
PART_OF_WORD = re.compile(r"\w+")


def _listed_names() -> list[str]:
    lines = NAMES_FILE.read_text(encoding="utf-8").split("\n")
    return [line for line in lines if line.strip() and not line.startswith("#")]


def _docstring_ids(tree: ast.AST) -> set[int]:
    return {
        id(node.value)
        for node in ast.walk(tree)
        if isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant)
    }


def _written_by_module(source: str) -> set[str]:
    """String constants that are no docstrings, their words, and the names of classes' fields."""
    tree = ast.parse(source)
    docstrings = _docstring_ids(tree)
    found: set[str] = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and id(node) not in docstrings:
            if isinstance(node.value, bytes):
                text = node.value.decode("latin-1")
            elif isinstance(node.value, str):
                text = node.value
            else:
                continue
            found |= {text, *WORD.findall(text), *PART_OF_WORD.findall(text)}
        elif isinstance(node, ast.ClassDef):
            found |= {
                child.target.id
                for child in node.body
                if isinstance(child, ast.AnnAssign) and isinstance(child.target, ast.Name)
            }
    return found


def _written_by_product() -> set[str]:
    found: set[str] = set()
    for path in [ROOT / "run.py", *sorted((ROOT / "ashdock").rglob("*.py"))]:
        found |= _written_by_module(path.read_text(encoding="utf-8"))
    deploy = (ROOT / "deploy" / "service.toml").read_text(encoding="utf-8")
    return found | set(WORD.findall(deploy))


def test_every_outer_name_is_still_written_out() -> None:
    names = _listed_names()
    assert names
    assert len(names) == len(set(names)), "a name is listed twice"
    written = _written_by_product()
    assert [name for name in names if name not in written] == []
