"""KNOWN-RED.txt at the root: tests that fail for a real fault which could not be mended in one sitting.

One line each, three at most: `test | cause | issue`. These tests run and may fail; each is named with its cause at the end of a run. A run fails
where one of them passes, does not exist, a line is malformed or there is a fourth. An empty or absent file means none.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import pytest

FILE = "KNOWN-RED.txt"
MOST = 3


class KnownRed(NamedTuple):
    test: str  # its id, as pytest prints it
    cause: str
    issue: str


def parsed(text: str) -> list[KnownRed]:
    """Raises ValueError, with the line that is wrong."""
    out: list[KnownRed] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        words = [word.strip() for word in line.split(" | ")]
        if len(words) != 3 or not all(words) or "::" not in words[0]:
            raise ValueError(f"{FILE}, line {number}: expected `file::test | cause | issue`, found {line!r}")
        if words[0] in {known.test for known in out}:
            raise ValueError(f"{FILE}, line {number}: {words[0]} is named twice")
        out.append(KnownRed(*words))
        if len(out) > MOST:
            raise ValueError(f"{FILE}, line {number}: more than {MOST}; mend one of them first")
    return out


KNOWN = pytest.StashKey[list[KnownRed]]()


def pytest_configure(config: pytest.Config) -> None:
    path = Path(config.rootpath) / FILE
    try:
        config.stash[KNOWN] = parsed(path.read_text(encoding="utf-8")) if path.exists() else []
    except ValueError as why:
        raise pytest.UsageError(str(why)) from None


@pytest.hookimpl(tryfirst=True)  # before anything is left out
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    by_id = {item.nodeid: item for item in items}
    files = {item.nodeid.partition("::")[0] for item in items}
    some = any("::" in word for word in config.args)  # single tests were asked for
    for known in config.stash[KNOWN]:
        item = by_id.get(known.test)
        if item is not None:
            # Strict: one that passes fails the run.
            item.add_marker(pytest.mark.xfail(reason=f"known red: {known.cause} ({known.issue})", strict=True))
            continue
        file = known.test.partition("::")[0]
        if not (Path(config.rootpath) / file).exists() or (file in files and not some):
            raise pytest.UsageError(f"{FILE}: there is no test {known.test}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for known in config.stash[KNOWN]:
        terminalreporter.write_line(f"KNOWN RED {known.test}: {known.cause} ({known.issue})")
