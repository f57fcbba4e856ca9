"""This controller's share of what a service may be asked a second."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Sequence
from typing import NamedTuple


class Demand(NamedTuple):
    """What a controller asks of the state service a second, as it tells the others."""

    requests: float = 0.0
    writes: float = 0.0


class Budget:
    """A bucket that holds `burst_s` seconds' worth, granted in turn. What users notice goes first and may empty
    it; the rest leaves a reserve, but has every fourth turn, so that it comes to its end under any load."""

    def __init__(self, per_s: float, burst_s: float = 1.0, reserve: float = 0.3) -> None:
        self.per_s = per_s
        self.burst_s = burst_s
        self.reserve = reserve
        self.left = self.most
        self.queued = 0.0  # asked for and not yet granted
        self.used = 0.0  # granted of late, fading by the second
        self.at = time.monotonic()
        self.urgent: deque[tuple[float, asyncio.Future[None]]] = deque()
        self.patient: deque[tuple[float, asyncio.Future[None]]] = deque()
        self.turns = 0  # of urgent ones since the last patient one
        self.pump: asyncio.Task[None] | None = None

    @property
    def most(self) -> float:
        return max(1.0, self.per_s * self.burst_s)

    def _refill(self) -> None:
        now = time.monotonic()
        past = now - self.at
        self.left = min(self.most, self.left + past * self.per_s)
        self.used *= 0.5 ** (past / 2)
        self.at = now

    def take(self, amount: float = 1.0, urgent: bool = True) -> float:
        """0 if taken, else the seconds to wait before asking again."""
        self._refill()
        floor = 0.0 if urgent else self.most * self.reserve
        need = min(min(amount, self.most) + floor, self.most)
        if self.left >= need - 1e-9:
            self.left -= amount
            self.used += amount
            return 0.0
        return max((need - self.left) / self.per_s, 0.001)

    async def wait(self, amount: float = 1.0, urgent: bool = True) -> None:
        """In turn: a large transaction used to be overtaken for ever by small ones."""
        if not self.urgent and not self.patient and self.take(amount, urgent) == 0:
            return
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        (self.urgent if urgent else self.patient).append((amount, future))
        self.queued += amount
        if self.pump is None or self.pump.done():
            self.pump = asyncio.create_task(self._grant())
        try:
            await future
        finally:
            self.queued -= amount

    async def _grant(self) -> None:
        while self.urgent or self.patient:
            patient = bool(self.patient) and (not self.urgent or self.turns >= 3)
            line = self.patient if patient else self.urgent
            amount, future = line[0]
            if not future.done():  # else whoever asked has given up
                pause = self.take(amount, urgent=not patient or self.turns >= 3)
                if pause > 0:
                    await asyncio.sleep(min(pause, 0.1))  # the share may grow meanwhile
                    continue
                future.set_result(None)
                self.turns = 0 if patient else self.turns + 1
            line.remove((amount, future))

    @property
    def behind_s(self) -> float:
        """How long what is queued will take."""
        return max(0.0, (self.queued - self.left) / self.per_s)

    @property
    def demand(self) -> float:
        """What is asked for a second, as far as the last seconds tell."""
        self._refill()
        return self.used / 3 + self.queued


def shares(total: float, size: int, ours: float, others: Sequence[float | None]) -> float:
    """Our part of what all controllers together may ask a second, when each takes half an equal part for
    certain and the rest goes by demand. One that is not heard (None) keeps its equal part, since it may be alive
    and hear nobody either; one that is known to have ended is not among `others`."""
    equal = total / size
    heard = [demand for demand in others if demand is not None]
    rest = total - equal * (len(others) - len(heard))
    certain = equal / 2
    spare = rest - certain * (1 + len(heard))
    asked = ours + sum(heard)
    return certain + spare * (ours / asked if asked > 0 else 1 / (1 + len(heard)))
