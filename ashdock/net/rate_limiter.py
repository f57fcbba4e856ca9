"""A token bucket with priorities and fair queues, for a controller's share of a service's rate."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Mapping, Sequence
from enum import IntEnum
from typing import NamedTuple

from ashdock.fairness.fair_queue import FairQueue

BURST_S = 1.0  # capacity of a bucket, as the time in which it fills
BACKGROUND_RESERVE = 0.3  # fraction of the capacity that background requests leave to the others
# A waiting request is next once more urgent ones have been granted this multiple of its amount, so
# a lower priority still gets a quarter of the rate. When requests were counted instead of amounts,
# an array's transactions of 20 writes took most of the rate while users' submissions of 2 writes
# were refused.
MAX_OVERTAKING = 3
# Longest pause before a waiting request is tried again: the rate may change, or a more urgent
# request may arrive.
MAX_PAUSE_S = 0.1
MIN_PAUSE_S = 0.001  # avoids a busy loop when a request lacks a tiny part of a token
ROUNDING_TOLERANCE = 1e-9  # tokens that may be missing through floating-point rounding
DEMAND_HALF_LIFE_S = 2.0  # after this time a granted request counts half in the demand
DEMAND_WINDOW_S = 3.0  # decayed grants add up to those of about half-life / ln 2 seconds
SCARCE_BELOW = 0.5  # fraction of the capacity


class RequestPriority(IntEnum):
    """Which requests go first; `MAX_OVERTAKING` bounds how far they delay the others."""

    USER = 0  # a user waits for the response
    NORMAL = 1  # task starts, task results, machines
    BACKGROUND = 2  # cleanup


# How much a request counts in the demand by which controllers divide a service's rate, so that a
# controller with submissions or task starts to write goes before the one with the most to write.
DEMAND_WEIGHT = {
    RequestPriority.USER: 4.0,
    RequestPriority.NORMAL: 1.0,
    RequestPriority.BACKGROUND: 0.25,
}


class Demand(NamedTuple):
    """Requests and writes per second that a controller asks of the store, as told to its peers."""

    requests: float = 0.0
    writes: float = 0.0


class RateLimiter:
    """A token bucket whose waiters are served by priority, and fairly by team within a priority.

    Attributes:
        per_s: tokens added per second; may be set at any time.
        burst_s: capacity of the bucket, as the time in which it fills.
        reserve: fraction of the capacity that background requests leave.
        tokens: tokens in the bucket; below zero after a request larger than its capacity.
        expected: tokens that urgent requests of this controller will take soon, beside the waiting
            ones; they count in its demand.
        recent_use: weighted sum of the granted amounts, with a half-life of `DEMAND_HALF_LIFE_S`.
        refilled_at: monotonic time of the last refill.
        queues: the waiting requests by priority.
        overtaken_by: by priority, the amount granted to more urgent requests while it waits, since
            the last grant to it or to a lower priority.
        grant_task: grants tokens to the waiting requests; None or done if none waits.
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
            per_s: tokens added per second.
            burst_s: capacity of the bucket, as the time in which it fills.
            reserve: fraction of the capacity that background requests leave.
            weights: weight of each team in the queue of each priority; 1 by default.
        """
        self.per_s = per_s
        self.burst_s = burst_s
        self.reserve = reserve
        self.tokens = self.capacity
        self.expected = 0.0
        self.recent_use = 0.0
        self.refilled_at = time.monotonic()
        self.queues: dict[RequestPriority, FairQueue[asyncio.Future[None]]] = {
            priority: FairQueue(weights) for priority in RequestPriority
        }
        self.overtaken_by = dict.fromkeys(RequestPriority, 0.0)
        self.grant_task: asyncio.Task[None] | None = None

    @property
    def capacity(self) -> float:
        """Maximum number of tokens in the bucket; at least one."""
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
        """Take tokens if there are enough, even if other requests wait.

        Returns:
            0 if they were taken, else the seconds until there should be enough.
        """
        self._refill()
        capacity = self.capacity
        floor = capacity * self.reserve if priority is RequestPriority.BACKGROUND else 0.0
        needed = min(min(amount, capacity) + floor, capacity)
        if self.tokens >= needed - ROUNDING_TOLERANCE:
            self.tokens -= amount
            self.recent_use += amount * DEMAND_WEIGHT[priority]
            return 0.0
        return max((needed - self.tokens) / self.per_s, MIN_PAUSE_S)

    @property
    def scarce(self) -> bool:
        """Whether tokens are used up about as fast as they are added."""
        self._refill()
        return self.tokens < self.capacity * SCARCE_BELOW

    def drain(self) -> None:
        """Drop the saved tokens, after the service has refused a request because of its rate."""
        self._refill()
        self.tokens = min(self.tokens, 0.0)

    async def acquire(
        self,
        amount: float = 1.0,
        priority: RequestPriority = RequestPriority.NORMAL,
        team: str = "",
    ) -> None:
        """Wait for tokens in a queue, so that small requests cannot starve a large one.

        Args:
            amount: number of tokens; more than the capacity is granted from a full bucket.
            priority: priority of the request.
            team: team of the request; teams share a priority's grants by their weights.
        """
        if not any(self.queues.values()) and self.try_acquire(amount, priority) == 0:
            return
        granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.queues[priority].add(amount, granted, team)
        if self.grant_task is None or self.grant_task.done():
            self.grant_task = asyncio.create_task(self._grant_in_order())
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
            if not granted.done():  # it is done if the wait was cancelled
                pause_s = self.try_acquire(first.amount, self._priority_of_first(priority))
                if pause_s > 0:
                    await asyncio.sleep(min(pause_s, MAX_PAUSE_S))
                    continue
                granted.set_result(None)
                self._count_overtaking(priority, first.amount)
            self.queues[priority].remove_first(first)

    def _priority_of_first(self, priority: RequestPriority) -> RequestPriority:
        """Return the priority to acquire with; overdue background requests may use the reserve."""
        if priority is RequestPriority.BACKGROUND and self._is_overdue(priority):
            return RequestPriority.NORMAL
        return priority

    def _count_overtaking(self, granted: RequestPriority, amount: float) -> None:
        for priority, queue in self.queues.items():
            if queue and priority > granted:
                self.overtaken_by[priority] += amount
            else:
                self.overtaken_by[priority] = 0.0

    def _queued_amount(self, priority: RequestPriority) -> float:
        return sum(waiting.amount for waiting in self.queues[priority] if not waiting.item.done())

    @property
    def queued(self) -> float:
        """Number of tokens that requests wait for."""
        return sum(map(self._queued_amount, self.queues))

    def backlog_s(
        self, priority: RequestPriority = RequestPriority.BACKGROUND, team: str | None = None
    ) -> float:
        """Estimate the seconds until all waiting requests of this or a higher priority are granted.

        With a team: until a request of this team, if queued now, would be next in its priority.
        """
        if team is None:
            queued = sum(self._queued_amount(other) for other in self.queues if other <= priority)
        else:
            ahead = self.queues[priority].requests_ahead_of(team)
            queued = sum(waiting.amount for waiting in ahead if not waiting.item.done())
        return max(0.0, (queued - self.tokens) / self.per_s)

    def service_time_s(self, amount: float, priority: RequestPriority, team: str) -> float:
        """Estimate the seconds for an amount at the team's share among the teams in the queue."""
        queue = self.queues[priority]
        weights = {name: queue.weights.get(name, 1.0) for name in {*queue.queues, team}}
        return amount / self.per_s * sum(weights.values()) / weights[team]

    @property
    def demand(self) -> float:
        """Weighted tokens per second granted recently, plus the weighted tokens waited for.

        Expected tokens weigh as much as a user's. See `DEMAND_WEIGHT` for the weights.
        """
        self._refill()
        queued = sum(
            DEMAND_WEIGHT[priority] * self._queued_amount(priority) for priority in self.queues
        )
        expected = DEMAND_WEIGHT[RequestPriority.USER] * self.expected
        return self.recent_use / DEMAND_WINDOW_S + queued + expected


def fair_share(total: float, controllers: int, own: float, others: Sequence[float | None]) -> float:
    """Return this controller's share of a rate: half an equal share, and the rest by demand.

    Args:
        total: the rate that all controllers together may use.
        controllers: number of controllers.
        own: demand of this controller.
        others: demands of the other controllers; None: not known. Such a controller keeps an equal
            share, since it may be alive but cut off from its peers. Those that are known to have
            ended are left out.
    """
    equal_share = total / controllers
    known = [demand for demand in others if demand is not None]
    available = total - equal_share * (len(others) - len(known))
    guaranteed = equal_share / 2
    by_demand = available - guaranteed * (1 + len(known))
    total_demand = own + sum(known)
    return guaranteed + by_demand * (
        own / total_demand if total_demand > 0 else 1 / (1 + len(known))
    )
