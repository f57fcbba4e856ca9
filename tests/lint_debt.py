"""Lint exemptions: those that pyproject.toml grants, and what ruff reports without them."""

from __future__ import annotations

import json
import subprocess
import sys
import tomllib
from collections.abc import Iterable, Mapping, Sequence
from fnmatch import fnmatchcase
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent


class Finding(NamedTuple):
    """A violation of a lint rule."""

    path: str  # relative to the root of the repository
    code: str


class Exemption(NamedTuple):
    """One rule that the files of one entry of `per-file-ignores` may break."""

    pattern: str
    code: str

    def covers(self, finding: Finding) -> bool:
        """Return whether this exemption keeps ruff from reporting a violation."""
        return finding.code == self.code and fnmatchcase(finding.path, self.pattern)


def configured_exemptions(root: Path = ROOT) -> list[Exemption]:
    """Return all exemptions of pyproject.toml, in its order."""
    settings = tomllib.loads((root / "pyproject.toml").read_text())
    entries: Mapping[str, Sequence[str]] = settings["tool"]["ruff"]["lint"]["per-file-ignores"]
    return [Exemption(pattern, code) for pattern, codes in entries.items() for code in codes]


def findings_without_exemptions(root: Path = ROOT) -> set[Finding]:
    """Return what `ruff check` reports with the settings of pyproject.toml but no exemptions.

    Raises:
        subprocess.CalledProcessError: ruff could not run.
    """
    command = [sys.executable, "-m", "ruff", "check", ".", "--no-cache", "--exit-zero"]
    options = ["--output-format", "json", "--config", "lint.per-file-ignores = {}"]
    result = subprocess.run([*command, *options], cwd=root, capture_output=True, check=True)
    return {
        Finding(Path(row["filename"]).relative_to(root).as_posix(), row["code"])
        for row in json.loads(result.stdout)
    }


def checked_files(root: Path = ROOT) -> list[str]:
    """Return the Python files that ruff checks, relative to the root.

    Raises:
        subprocess.CalledProcessError: ruff could not run.
    """
    command = [sys.executable, "-m", "ruff", "check", ".", "--show-files"]
    result = subprocess.run(command, cwd=root, capture_output=True, check=True, text=True)
    paths = [Path(line).relative_to(root).as_posix() for line in result.stdout.splitlines()]
    return [path for path in paths if path.endswith(".py")]


def unneeded_exemptions(
    exemptions: Sequence[Exemption], findings: Iterable[Finding]
) -> list[Exemption]:
    """Return the exemptions without which ruff would report no more than with them.

    An exemption is needed if it alone covers some violation. Where two cover the same violations,
    both are returned, and one of them can be removed.
    """
    needed: set[Exemption] = set()
    for finding in findings:
        covering = [exemption for exemption in exemptions if exemption.covers(finding)]
        if len(covering) == 1:
            needed.add(covering[0])
    return [exemption for exemption in exemptions if exemption not in needed]


def patterns_without_files(exemptions: Iterable[Exemption], paths: Sequence[str]) -> list[str]:
    """Return the patterns that match no file, in order and once each."""
    patterns = dict.fromkeys(exemption.pattern for exemption in exemptions)
    return [
        pattern for pattern in patterns if not any(fnmatchcase(path, pattern) for path in paths)
    ]
