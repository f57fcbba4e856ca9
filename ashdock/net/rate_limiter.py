"""This controller's share of the rate that a service takes: a token bucket with priorities and fair queues."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Mapping, Sequence
from enum import IntEnum
from typing import NamedTuple

from ashdock.fairness.fair_queue import FairQueue

BURST_S = 1.0  # seconds' worth of tokens that a bucket holds
BACKGROUND_RESERVE = 0.3  # of the capacity that background requests leave to the others
# What goes past a waiting request before it is next all the same, in multiples of its amount. So a
# lower priority gets a quarter. Counted in requests in place of amounts, an array's transactions of
# twenty writes took most of the rate while users' submissions of two were refused.
MAX_OVERTAKING = 3
MAX_PAUSE_S = (
    0.1  # until a waiting request is tried again: the rate may change, or a more urgent one come
)
MIN_PAUSE_S = 0.001  # so that a request that lacks next to nothing is not tried again at once
ROUNDING = 1e-9  # tokens that floating-point arithmetic may be short of
DEMAND_HALF_LIFE_S = 2.0  # after which a granted request counts half in the demand
DEMAND_WINDOW_S = 3.0  # the sum of what is granted, so weighted, is that of about three seconds
SCARCE_BELOW = 0.5  # of the capacity


class RequestPriority(IntEnum):
    """Which requests go first; see `MAX_OVERTAKING` for what the lower ones get all the same."""

    USER = 0  # somebody waits for the answer
    NORMAL = 1  # starts, outcomes and machines
    BACKGROUND = 2  # what only tidies up


# How much a request counts in the demand by which the controllers divide a service's rate: one that
# has submissions or starts to write goes before one that has the most to write.
DEMAND_WEIGHT = {
    RequestPriority.USER: 4.0,
    RequestPriority.NORMAL: 1.0,
    RequestPriority.BACKGROUND: 0.25,
}


class Demand(NamedTuple):
    """What a controller asks of the store a second, as it tells the others."""

    requests: float = 0.0
    writes: float = 0.0


class RateLimiter:
    """A token bucket whose waiters are served by priority, and fairly by team within a priority.

    Attributes:
        per_s: tokens that flow in a second; may be set at any time.
        tokens: what the bucket holds; below zero after a request larger than its capacity.
        queues: the requests that wait, by priority.
    """

    def __init__(
        self,
        per_s: float,
        burst_s: float = BURST_S,
        reserve: float = BACKGROUND_RESERVE,
        weights: Mapping[str, float] | None = None,
    ) -> None:
        """Start with a full bucket.

        Args:
            per_s: tokens a second.
            burst_s: seconds' worth of tokens that the bucket holds.
            reserve: fraction of the capacity that background requests leave.
            weights: of the teams, in the queue of each priority; 1 where none is given.
        """
        self.per_s = per_s
        self.burst_s = burst_s
        self.reserve = reserve
        self.tokens = self.capacity
        self.recent_use = 0.0  # weighted amounts granted, fading with DEMAND_HALF_LIFE_S
        self.refilled_at = time.monotonic()
        self.queues: dict[RequestPriority, FairQueue[asyncio.Future[None]]] = {
            priority: FairQueue(weights) for priority in RequestPriority
        }
        # What was granted to more urgent requests since each priority's last grant.
        self.overtaken_by = dict.fromkeys(RequestPriority, 0.0)
        self.granting: asyncio.Task[None] | None = None

    @property
    def capacity(self) -> float:
        """The most tokens that the bucket holds."""
        return max(1.0, self.per_s * self.burst_s)

    def _refill(self) -> None:
        now = time.monotonic()
        elapsed_s = now - self.refilled_at
        self.tokens = min(self.capacity, self.tokens + elapsed_s * self.per_s)
        self.recent_use *= 0.5 ** (elapsed_s / DEMAND_HALF_LIFE_S)
        self.refilled_at = now

    def try_acquire(
        self, amount: float = 1.0, priority: RequestPriority = RequestPriority.NORMAL
    ) -> float:
        """Take tokens if there are enough, whoever may be waiting.

        Returns:
            0 if they were taken, else the seconds until there should be enough.
        """
        self._refill()
        capacity = self.capacity
        floor = capacity * self.reserve if priority is RequestPriority.BACKGROUND else 0.0
        needed = min(min(amount, capacity) + floor, capacity)
        if self.tokens >= needed - ROUNDING:
            self.tokens -= amount
            self.recent_use += amount * DEMAND_WEIGHT[priority]
            return 0.0
        return max((needed - self.tokens) / self.per_s, MIN_PAUSE_S)

    @property
    def scarce(self) -> bool:
        """Whether tokens are asked for about as fast as they flow in."""
        self._refill()
        return self.tokens < self.capacity * SCARCE_BELOW

    def drain(self) -> None:
        """Drop the saved tokens, as the service has answered that its rate is used up."""
        self._refill()
        self.tokens = min(self.tokens, 0.0)

    async def acquire(
        self,
        amount: float = 1.0,
        priority: RequestPriority = RequestPriority.NORMAL,
        team: str = "",
    ) -> None:
        """Wait for tokens in turn, so that no large request is overtaken by small ones for ever.

        Args:
            amount: tokens; more than the capacity are granted from a full bucket.
            priority: of the request.
            team: for whom it is; teams share a priority's grants by their weights.
        """
        if not any(self.queues.values()) and self.try_acquire(amount, priority) == 0:
            return
        granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.queues[priority].add(amount, granted, team)
        if self.granting is None or self.granting.done():
            self.granting = asyncio.create_task(self._grant_in_order())
        await granted

    def _next_priority(self) -> RequestPriority | None:
        waiting = [priority for priority, queue in self.queues.items() if queue]
        overdue = (priority for priority in waiting if self._is_overdue(priority))
        return next(overdue, next(iter(waiting), None))

    def _is_overdue(self, priority: RequestPriority) -> bool:
        first = self.queues[priority].first()
        return self.overtaken_by[priority] >= MAX_OVERTAKING * first.amount

    async def _grant_in_order(self) -> None:
        while (priority := self._next_priority()) is not None:
            first = self.queues[priority].first()
            granted = first.item
            if not granted.done():  # else whoever asked has given up
                pause_s = self.try_acquire(first.amount, self._priority_of_first(priority))
                if pause_s > 0:
                    await asyncio.sleep(min(pause_s, MAX_PAUSE_S))
                    continue
                granted.set_result(None)
                self._count_overtaking(priority, first.amount)
            self.queues[priority].remove_first(first)

    def _priority_of_first(self, priority: RequestPriority) -> RequestPriority:
        """Of the first in a queue: a background request that is overdue need not leave the reserve."""
        if priority is RequestPriority.BACKGROUND and self._is_overdue(priority):
            return RequestPriority.NORMAL
        return priority

    def _count_overtaking(self, granted: RequestPriority, amount: float) -> None:
        for priority, queue in self.queues.items():
            if queue and priority > granted:
                self.overtaken_by[priority] += amount
            else:
                self.overtaken_by[priority] = 0.0

    def _queued_at(self, priority: RequestPriority) -> float:
        return sum(waiting.amount for waiting in self.queues[priority] if not waiting.item.done())

    @property
    def queued(self) -> float:
        """Tokens that are waited for."""
        return sum(map(self._queued_at, self.queues))

    def backlog_s(
        self, priority: RequestPriority = RequestPriority.BACKGROUND, team: str | None = None
    ) -> float:
        """Seconds until what waits with this priority or a more urgent one is granted.

        With a team: until a request of it that came now would be next within this priority.
        """
        if team is None:
            queued = sum(self._queued_at(other) for other in self.queues if other <= priority)
        else:
            ahead = self.queues[priority].requests_ahead_of(team)
            queued = sum(waiting.amount for waiting in ahead if not waiting.item.done())
        return max(0.0, (queued - self.tokens) / self.per_s)

    def service_time_s(self, amount: float, priority: RequestPriority, team: str) -> float:
        """Seconds that an amount takes at the team's share among those that wait with this priority."""
        queue = self.queues[priority]
        weights = {name: queue.weights.get(name, 1.0) for name in {*queue.queues, team}}
        return amount / self.per_s * sum(weights.values()) / weights[team]

    @property
    def demand(self) -> float:
        """Weighted tokens a second asked for in the last seconds, and those that are waited for."""
        self._refill()
        return self.recent_use / DEMAND_WINDOW_S + sum(
            DEMAND_WEIGHT[priority] * self._queued_at(priority) for priority in self.queues
        )


def fair_share(total: float, size: int, own: float, others: Sequence[float | None]) -> float:
    """This controller's part of a rate that all share: half an equal part, and the rest by demand.

    Args:
        total: the rate that all controllers together may use.
        size: number of controllers.
        own: demand of this controller.
        others: demands of the others; None: not heard of. That one keeps its equal part, since it may
            be alive and hear nobody either. One that is known to have ended is left out.
    """
    equal = total / size
    heard = [demand for demand in others if demand is not None]
    rest = total - equal * (len(others) - len(heard))
    certain = equal / 2
    spare = rest - certain * (1 + len(heard))
    demanded = own + sum(heard)
    return certain + spare * (own / demanded if demanded > 0 else 1 / (1 + len(heard)))
