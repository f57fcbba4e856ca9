"""Starts the command line, with the installed dependencies on the module path."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
sys.path[:0] = [str(ROOT / "target" / "deps"), str(ROOT)]

from ashdock.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
