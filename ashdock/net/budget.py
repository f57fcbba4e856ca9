"""This controller's share of what a service may be asked a second."""

from __future__ import annotations

import asyncio
import time


class Budget:
    """A bucket that holds `burst_s` seconds' worth. What users notice may empty it; the rest leaves a reserve."""

    def __init__(self, per_s: float, burst_s: float = 1.0, reserve: float = 0.3) -> None:
        self.per_s = per_s
        self.most = max(1.0, per_s * burst_s)
        self.reserve = reserve
        self.left = self.most
        self.queued = 0.0  # asked for and not yet granted
        self.at = time.monotonic()

    def _refill(self) -> None:
        now = time.monotonic()
        self.left = min(self.most, self.left + (now - self.at) * self.per_s)
        self.at = now

    def take(self, amount: float = 1.0, urgent: bool = True) -> float:
        """0 if taken, else the seconds to wait before asking again."""
        self._refill()
        floor = 0.0 if urgent else self.most * self.reserve
        need = min(amount, self.most) + floor
        if self.left >= need or (urgent and self.left >= self.most):
            self.left -= amount
            return 0.0
        return max((need - self.left) / self.per_s, 0.001)

    async def wait(self, amount: float = 1.0, urgent: bool = True) -> None:
        self.queued += amount
        try:
            while (pause := self.take(amount, urgent)) > 0:
                await asyncio.sleep(pause)
        finally:
            self.queued -= amount

    @property
    def behind_s(self) -> float:
        """How long what is queued will take."""
        return max(0.0, (self.queued - self.left) / self.per_s)
