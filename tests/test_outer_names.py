"""Names in messages, stored records, settings and metrics stay as they are."""

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


def _names_in_module(source: str) -> set[str]:
    """Return string constants except docstrings, their words, and names of class fields."""
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


def _names_in_product() -> set[str]:
    found: set[str] = set()
    for path in [ROOT / "run.py", *sorted((ROOT / "ashdock").rglob("*.py"))]:
        found |= _names_in_module(path.read_text(encoding="utf-8"))
    deploy = (ROOT / "deploy" / "service.toml").read_text(encoding="utf-8")
    return found | set(WORD.findall(deploy))


def test_every_outer_name_is_in_the_sources() -> None:
    names = _listed_names()
    assert names
    assert len(names) == len(set(names)), "a name is listed twice"
    present_names = _names_in_product()
    assert [name for name in names if name not in present_names] == []
