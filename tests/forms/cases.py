"""Cases of the corpus: an operation, its input and its outcome, and how one is replayed.

Besides the adapter's operations there are three that vary an input: each field of an HTTP body, each
line of a settings file and of the operators' file, dropped and set to values that do not belong there.
"""

from __future__ import annotations

import copy
import json
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from tests.forms import adapter

Plain = Any
MISSING = {"missing": True}  # among the values of a variation: the field is left out
RENAMED = {"renamed": True}  # the line sets a field that nobody knows instead
FILES = Path(__file__).resolve().parent.parent / "data" / "forms"


class Case(NamedTuple):
    """One recorded case; `outcome` is what the untouched sources made of `input`."""

    name: str
    operation: str
    input: Plain
    outcome: Plain


def canonical(value: Plain) -> str:
    """Text that tells 1 from 1.0 and from true, whatever the order of keys."""
    return json.dumps(value, sort_keys=True)


# -- variations ------------------------------------------------------------------------------------


def vary_body(given: Plain) -> Plain:
    """One field of a JSON body set to each of `values`: the error, or what the reader then differs in."""
    usual = adapter.replay(given["operation"], json.dumps(given["body"]))
    outcomes = []
    for value in given["values"]:
        body = with_field(given["body"], given["path"], value)
        outcomes.append(difference(usual, adapter.replay(given["operation"], json.dumps(body))))
    return outcomes


def with_field(body: Plain, path: list[Any], value: Plain) -> Plain:
    """A copy of the body with one field set, or left out."""
    changed = copy.deepcopy(body)
    inner = changed
    for step in path[:-1]:
        inner = inner[step]
    if value == MISSING:
        inner.pop(path[-1], None)
    else:
        inner[path[-1]] = value
    return changed


def difference(usual: Plain, found: Plain) -> Plain:
    """The error, the items that differ from the usual ones, or the whole where there are no items."""
    if not isinstance(found, dict) or "error" in found or not isinstance(usual, dict):
        return found
    keys = [*found, *(key for key in usual if key not in found)]
    return {
        key: difference(usual.get(key), found.get(key))
        for key in keys
        if canonical(found.get(key)) != canonical(usual.get(key))
    }


def read_settings(given: Plain) -> Plain:
    """A settings file, with the operators' file where one is named."""
    operators = given.get("operators") or "no-such-file.hcl"
    return read_file(given["file"], lambda path: adapter.read_settings(path, FILES / operators))


def read_operators(given: Plain) -> Plain:
    """An operators' file."""
    return read_file(given["file"], adapter.read_operators)


def vary_settings(given: Plain) -> Plain:
    """One line of a settings file dropped, and its value replaced by each of `values`."""
    return vary_line(given, lambda path: adapter.read_settings(path, path.with_name("none.hcl")))


def vary_operators(given: Plain) -> Plain:
    """The same of an operators' file."""
    return vary_line(given, adapter.read_operators)


def vary_line(given: Plain, read: Callable[[Path], Plain]) -> Plain:
    """The error, or what differs, for each change of one line."""
    lines = (FILES / given["file"]).read_text(encoding="utf-8").splitlines()
    place = given["line"] - 1
    usual = read_file(given["file"], read)
    indent = lines[place][: len(lines[place]) - len(lines[place].lstrip())]
    key = lines[place].partition("=")[0].strip()
    outcomes = []
    for value in given["values"]:
        if value == MISSING:
            changed = ""
        elif value == RENAMED:
            changed = lines[place].replace(key, "unknown_field", 1)
        else:
            changed = f"{indent}{key} = {value}"
        text = "\n".join([*lines[:place], changed, *lines[place + 1 :]]) + "\n"
        outcomes.append(difference(usual, read_text(given["file"], text, read)))
    return outcomes


def read_file(name: str, read: Callable[[Path], Plain]) -> Plain:
    """What is read from a data file, or the error with the file's name as the corpus has it."""
    return read_text(name, (FILES / name).read_text(encoding="utf-8"), read)


def read_text(name: str, text: str, read: Callable[[Path], Plain]) -> Plain:
    """What is read from a file with this text."""
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / Path(name).name
        path.write_text(text, encoding="utf-8")
        outcome = adapter.attempt(lambda: read(path))
    if isinstance(outcome, dict) and "error" in outcome:
        said = outcome["error"]["message"]
        outcome["error"]["message"] = said.replace(f"{directory}/", "").replace(f"{FILES}/", "")
    return outcome


VARIATIONS: dict[str, Callable[[Plain], Plain]] = {
    "vary_body": vary_body,
    "read_settings": read_settings,
    "read_operators": read_operators,
    "vary_settings": vary_settings,
    "vary_operators": vary_operators,
}
OPERATIONS = {*adapter.OPERATIONS, *VARIATIONS}


def replay(operation: str, given: Plain) -> Plain:
    """What the present code makes of an input."""
    vary = VARIATIONS.get(operation)
    outcome = vary(given) if vary else adapter.replay(operation, given)
    return json.loads(json.dumps(outcome))
