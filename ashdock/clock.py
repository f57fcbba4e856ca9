"""The clock of a controller."""

from __future__ import annotations

import time


class SteadyWallClock:
    """The time of day at the start, carried on by the steady clock: never set back, and fit to be stored."""

    def __init__(self) -> None:
        """Read both clocks once."""
        self.offset_s = time.time() - time.monotonic()

    def now(self) -> float:
        """Seconds since the epoch."""
        return time.monotonic() + self.offset_s
