"""Start a controller: puts the built dependencies on the path, then hands over to the command line."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
sys.path[:0] = [str(ROOT / "target" / "deps"), str(ROOT)]

from ashdock.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
