"""The wall clock of a controller."""

from __future__ import annotations

import time


class MonotonicWallClock:
    """A wall clock that is never set back, so its times can be stored and compared.

    It is the wall-clock time at construction, advanced by the monotonic clock. Later adjustments of
    the system clock have no effect on it.
    """

    def __init__(self) -> None:
        """Read both clocks once."""
        self.offset_s = time.time() - time.monotonic()

    def now(self) -> float:
        """Return the seconds since the epoch."""
        return time.monotonic() + self.offset_s
