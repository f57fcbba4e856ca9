"""Record the corpus from the present sources, or check it against them.

    python -m tests.forms record               once; refused where the data files exist
    python -m tests.forms record --new DIR     into a directory that does not exist yet
    python -m tests.forms check                replay every case

`check` exits with 1 where an outcome differs. What is wrong with a data file, or with what was asked
for, is said in one line, with exit status 2.
"""

from __future__ import annotations

import argparse
import shutil
import sys
from pathlib import Path

from tests.forms import corpus, samples
from tests.forms.cases import FILES, canonical, replay


def main(arguments: list[str] | None = None, directory: Path = FILES) -> int:
    """The command line; the exit status."""
    parser = argparse.ArgumentParser(prog="python -m tests.forms")
    commands = parser.add_subparsers(dest="command", required=True)
    commands.add_parser("record").add_argument("--new", metavar="DIR")
    commands.add_parser("check")
    asked = parser.parse_args(arguments)
    try:
        if asked.command == "record":
            return record(Path(asked.new) if asked.new else directory, bool(asked.new))
        return check(directory)
    except corpus.CorpusError as error:
        print(error, file=sys.stderr)
        return 2


def record(directory: Path, is_new: bool) -> int:
    """Write every data file, and copy the settings files to a new directory."""
    if directory.exists() if is_new else (directory / corpus.INDEX).exists():
        raise corpus.CorpusError(f"{directory}: recorded already; --new DIR records elsewhere")
    for name in samples.OTHER_FILES if is_new else ():
        (directory / name).parent.mkdir(parents=True, exist_ok=True)
        shutil.copy(FILES / name, directory / name)
    recorded = samples.record()
    corpus.save(recorded, samples.OTHER_FILES, directory)
    print(f"recorded {sum(map(len, recorded.values()))} cases in {directory}")
    return 0


def check(directory: Path) -> int:
    """Replay every case, and name those of another outcome."""
    files = corpus.load_all(directory)
    differ = [
        f"{name}: {case.name}: {case.operation}"
        for name, cases in files.items()
        for case in cases
        if canonical(replay(case.operation, case.input)) != canonical(case.outcome)
    ]
    for line in differ:
        print(line)
    print(f"{sum(map(len, files.values()))} cases, {len(differ)} of another outcome")
    return 1 if differ else 0


if __name__ == "__main__":
    sys.exit(main())
