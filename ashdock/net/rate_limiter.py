"""This controller's share of what a service may be asked a second."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Mapping, Sequence
from enum import IntEnum
from typing import NamedTuple

from ashdock.fairness.fair_queue import FairQueue


class RequestPriority(IntEnum):
    """Who goes first. A quarter goes to the next line all the same, by amount, so that none waits for ever. By number of
    turns, an array's transactions of twenty writes took most of it while users' submissions of two were refused."""

    USER = 0  # somebody waits for the answer
    NORMAL = 1  # starts, outcomes and machines
    BACKGROUND = 2  # what only tidies up


# How much what is asked counts when the controllers divide a service's limit: where an accept or a start is to be written
# goes before where the most is.
WEIGHT = {RequestPriority.USER: 4.0, RequestPriority.NORMAL: 1.0, RequestPriority.BACKGROUND: 0.25}


class Demand(NamedTuple):
    """What a controller asks of the state service a second, as it tells the others."""

    requests: float = 0.0
    writes: float = 0.0


class RateLimiter:
    """A bucket that holds `burst_s` seconds' worth, granted in turn, and within a line by team. What can wait leaves a reserve."""

    def __init__(
        self,
        per_s: float,
        burst_s: float = 1.0,
        reserve: float = 0.3,
        weights: Mapping[str, float] | None = None,
    ) -> None:
        self.per_s = per_s
        self.burst_s = burst_s
        self.reserve = reserve
        self.left = self.most
        self.used = 0.0  # granted of late, fading by the second
        self.at = time.monotonic()
        self.lines: dict[RequestPriority, FairQueue[asyncio.Future[None]]] = {
            priority: FairQueue(weights) for priority in RequestPriority
        }
        self.passed = dict.fromkeys(
            RequestPriority, 0.0
        )  # how much has gone past those of a line since its last turn
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

    def take(
        self, amount: float = 1.0, priority: RequestPriority = RequestPriority.NORMAL
    ) -> float:
        """0 if taken, else the seconds to wait before asking again."""
        self._refill()
        floor = self.most * self.reserve if priority is RequestPriority.BACKGROUND else 0.0
        need = min(min(amount, self.most) + floor, self.most)
        if self.left >= need - 1e-9:
            self.left -= amount
            self.used += amount * WEIGHT[priority]
            return 0.0
        return max((need - self.left) / self.per_s, 0.001)

    @property
    def short(self) -> bool:
        """Whether what is left is asked for as fast as it comes."""
        self._refill()
        return self.left < self.most / 2

    def spend(self) -> None:
        """What was saved up is gone, by the word of whom we ask."""
        self._refill()
        self.left = min(self.left, 0.0)

    async def wait(
        self,
        amount: float = 1.0,
        priority: RequestPriority = RequestPriority.NORMAL,
        team: str = "",
    ) -> None:
        """In turn: a large transaction used to be overtaken for ever by small ones. `team`: the team that it is for."""
        if not any(self.lines.values()) and self.take(amount, priority) == 0:
            return
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.lines[priority].add(amount, future, team)
        if self.pump is None or self.pump.done():
            self.pump = asyncio.create_task(self._grant_in_order())
        await future

    def _next(self) -> RequestPriority | None:
        waiting = [priority for priority, line in self.lines.items() if line]
        return next(
            (priority for priority in waiting if self._overdue(priority)), next(iter(waiting), None)
        )

    def _overdue(self, priority: RequestPriority) -> bool:
        return self.passed[priority] >= 3 * self.lines[priority].first().amount

    async def _grant_in_order(self) -> None:
        while (priority := self._next()) is not None:
            first = self.lines[priority].first()
            amount, future = first.amount, first.item
            if not future.done():  # else whoever asked has given up
                pause = self.take(
                    amount,
                    RequestPriority.NORMAL
                    if self._overdue(priority) and priority is RequestPriority.BACKGROUND
                    else priority,
                )
                if pause > 0:
                    await asyncio.sleep(
                        min(pause, 0.1)
                    )  # the share may grow, or a better one come, meanwhile
                    continue
                future.set_result(None)
                for other, line in self.lines.items():
                    self.passed[other] = (
                        self.passed[other] + amount if line and other > priority else 0.0
                    )
            self.lines[priority].leave(first)

    def _waiting(self, priority: RequestPriority) -> float:
        return sum(waiting.amount for waiting in self.lines[priority] if not waiting.item.done())

    @property
    def queued(self) -> float:
        return sum(map(self._waiting, self.lines))

    def backlog_s(
        self, priority: RequestPriority = RequestPriority.BACKGROUND, team: str | None = None
    ) -> float:
        """How long what is queued up to such a turn will take; of a team, what would go before one of it that came now."""
        if team is None:
            queued = sum(self._waiting(line) for line in self.lines if line <= priority)
        else:
            queued = sum(
                waiting.amount
                for waiting in self.lines[priority].ahead_of(team)
                if not waiting.item.done()
            )
        return max(0.0, (queued - self.left) / self.per_s)

    def each_s(self, amount: float, priority: RequestPriority, team: str) -> float:
        """How long so much takes a team at its share of what is granted in that turn, as many as stand in line now."""
        line = self.lines[priority]
        weights = {name: line.weights.get(name, 1.0) for name in {*line.queues, team}}
        return amount / self.per_s * sum(weights.values()) / weights[team]

    @property
    def demand(self) -> float:
        """What is asked for a second, as far as the last seconds tell, by its weight."""
        self._refill()
        return self.used / 3 + sum(
            WEIGHT[priority] * self._waiting(priority) for priority in self.lines
        )


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
