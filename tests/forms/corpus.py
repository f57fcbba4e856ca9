"""The data files of the corpus: one case a line, and an index that tells a file that is cut short."""

from __future__ import annotations

import hashlib
import json
from pathlib import Path

from tests.forms.cases import FILES, Case

INDEX = "index.json"


class CorpusError(Exception):
    """One line that names the data file and what is wrong with it."""


def load(name: str, directory: Path = FILES) -> list[Case]:
    """The cases of one data file."""
    text = checked(name, directory).decode()
    try:
        return [Case(**row) for row in json.loads(text)]
    except (TypeError, ValueError) as error:
        raise CorpusError(f"{directory / name}: not a list of cases: {error}") from None


def load_all(directory: Path = FILES) -> dict[str, list[Case]]:
    """The cases of each data file, after every file of the index was found whole."""
    names = list(index(directory))
    for name in names:
        checked(name, directory)
    return {name: load(name, directory) for name in names if name.endswith(".json")}


def index(directory: Path = FILES) -> dict[str, dict[str, str | int]]:
    """Size and digest of each data file."""
    try:
        found: dict[str, dict[str, str | int]] = json.loads(read(INDEX, directory))
    except ValueError:
        raise CorpusError(f"{directory / INDEX}: cut short or not JSON") from None
    return found


def read(name: str, directory: Path) -> bytes:
    """A file's bytes."""
    try:
        return (directory / name).read_bytes()
    except OSError as error:
        raise CorpusError(f"{directory / name}: cannot be read: {error.strerror}") from None


def checked(name: str, directory: Path) -> bytes:
    """A file's bytes, which have to be those of the index."""
    known = index(directory).get(name)
    if known is None:
        raise CorpusError(f"{directory / INDEX}: does not name {name}")
    data = read(name, directory)
    if len(data) < int(known["bytes"]):
        raise CorpusError(f"{directory / name}: cut short: {len(data)} of {known['bytes']} bytes")
    if hashlib.sha256(data).hexdigest() != known["sha256"]:
        raise CorpusError(f"{directory / name}: not as it was recorded")
    return data


def save(cases: dict[str, list[Case]], other_files: list[str], directory: Path) -> None:
    """Write the data files, and an index of them and of the settings files beside them."""
    directory.mkdir(parents=True, exist_ok=True)
    for name, rows in cases.items():
        (directory / name).write_text(as_text(rows), encoding="utf-8")
    entries = {name: entry_of(directory / name) for name in [*cases, *other_files]}
    (directory / INDEX).write_text(json.dumps(entries, indent=1) + "\n", encoding="utf-8")


def as_text(rows: list[Case]) -> str:
    """JSON with one case a line."""
    lines = ",\n".join(json.dumps(row._asdict()) for row in rows)
    return f"[\n{lines}\n]\n"


def entry_of(path: Path) -> dict[str, str | int]:
    """A file's entry in the index."""
    data = path.read_bytes()
    return {"bytes": len(data), "sha256": hashlib.sha256(data).hexdigest()}
