"""The record of one run: what was sent, answered and run, one line each."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Writes `record.txt`; each line begins with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        """Begin a new record in place of the one before."""
        self.began_at = time.monotonic()
        self.file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.began_at

    def write(self, who: str, text: str) -> None:
        """Add a line about a stand-in, a user or a controller."""
        self.file.write(f"{self.now():8.3f} {who}: {text}\n")
        self.file.flush()

    def close(self) -> None:
        """End the record."""
        self.file.close()
