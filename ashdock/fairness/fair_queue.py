"""A line in which each team has its turn, however many stand there for one of them.

Start-time fair queueing (Goyal, Vin, Cheng, "Start-time Fair Queuing", 1996): what comes is stamped with the moment of a virtual clock at
which it would begin to be served, were all that stand in line served side by side, each team at its weight; the lowest start time goes first.
A team that asks for nothing leaves its share to the others; when it comes back its first request is stamped with the present, and so goes
before all that the others have asked for in advance. Nobody saves up what he has not used.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator, Mapping
from typing import Generic, NamedTuple, TypeVar

Item = TypeVar("Item")


class Waiting(NamedTuple, Generic[Item]):
    start: float  # on the virtual clock
    amount: float
    team: str
    item: Item


class FairQueue(Generic[Item]):
    def __init__(self, weights: Mapping[str, float] | None = None) -> None:
        self.weights = weights or {}
        self.clock = 0.0
        self.queues: dict[str, deque[Waiting[Item]]] = {}
        self.served_to: dict[
            str, float
        ] = {}  # by whom, up to when on the virtual clock what he asked for is accounted for

    def __len__(self) -> int:
        return sum(map(len, self.queues.values()))

    def __bool__(self) -> bool:
        return bool(self.queues)

    def __iter__(self) -> Iterator[Waiting[Item]]:
        return (waiting for queue in self.queues.values() for waiting in queue)

    def _start(self, team: str) -> float:
        return max(self.clock, self.served_to.get(team, 0.0))

    def add(self, amount: float, item: Item, team: str = "") -> None:
        start = self._start(team)
        self.served_to[team] = start + amount / self.weights.get(team, 1.0)
        self.queues.setdefault(team, deque()).append(Waiting(start, amount, team, item))

    def first(self) -> Waiting[Item]:
        """Who is served next. Raises ValueError where nobody waits."""
        return min((queue[0] for queue in self.queues.values()), key=lambda waiting: waiting.start)

    def remove_first(self, waiting: Waiting[Item]) -> None:
        """The first of its team goes, served or not."""
        queue = self.queues[waiting.team]
        queue.popleft()
        self.clock = max(self.clock, waiting.start)
        if not queue:
            del self.queues[waiting.team]
            self.served_to = {
                team: to
                for team, to in self.served_to.items()
                if to > self.clock or team in self.queues
            }
        if not self.queues:
            self.served_to.clear()

    def requests_ahead_of(self, team: str) -> list[Waiting[Item]]:
        """What would be served before one who came now."""
        start = self._start(team)
        return [waiting for waiting in self if waiting.start <= start]
