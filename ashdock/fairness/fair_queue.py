"""A queue that serves each team in turn, however many requests one of them has queued.

Start-time fair queueing (Goyal, Vin, Cheng, "Start-time Fair Queuing", 1996): each request gets a
start tag, the virtual time at which its service would begin if all teams were served side by side,
each at its weight. The lowest start tag is served first. A team that asks for nothing leaves its
share to the others. Its next request is tagged with the current virtual time, or with its own
finish tag if that is later, and so overtakes whatever the others have queued in advance. A share
that was not used is not saved up.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator, Mapping
from typing import Generic, NamedTuple, TypeVar

Item = TypeVar("Item")


class QueuedRequest(NamedTuple, Generic[Item]):
    """A request that waits.

    Attributes:
        start_tag: Virtual time at which its service would begin.
        amount: Service that it needs, in the unit of the virtual time at weight 1.
        team: The team that made it.
        item: What the caller queued.
    """

    start_tag: float
    amount: float
    team: str
    item: Item


class FairQueue(Generic[Item]):
    """Requests of several teams, in order of start tags; those of one team keep their order.

    Attributes:
        weights: Weight by team; 1 where none is given.
        virtual_time: The highest start tag removed so far.
        queues: The requests that wait, by team; teams without any are left out.
        finish_tags: Virtual time at which the last request of a team would be served, by team.
    """

    def __init__(self, weights: Mapping[str, float] | None = None) -> None:
        """Start empty."""
        self.weights = weights or {}
        self.virtual_time = 0.0
        self.queues: dict[str, deque[QueuedRequest[Item]]] = {}
        self.finish_tags: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of requests that wait."""
        return sum(map(len, self.queues.values()))

    def __bool__(self) -> bool:
        """Return whether any request waits."""
        return bool(self.queues)

    def __iter__(self) -> Iterator[QueuedRequest[Item]]:
        """Iterate over the requests that wait, team by team, which is not the order of service."""
        return (request for queue in self.queues.values() for request in queue)

    def _next_start_tag(self, team: str) -> float:
        return max(self.virtual_time, self.finish_tags.get(team, 0.0))

    def add(self, amount: float, item: Item, team: str = "") -> None:
        """Queue a request behind the others of its team."""
        start_tag = self._next_start_tag(team)
        self.finish_tags[team] = start_tag + amount / self.weights.get(team, 1.0)
        self.queues.setdefault(team, deque()).append(QueuedRequest(start_tag, amount, team, item))

    def first(self) -> QueuedRequest[Item]:
        """Return the request that is served next, without removing it.

        Raises:
            ValueError: No request waits.
        """
        return min(
            (queue[0] for queue in self.queues.values()), key=lambda request: request.start_tag
        )

    def remove_first(self, request: QueuedRequest[Item]) -> None:
        """Remove the first request of the team that `request` belongs to, served or given up."""
        queue = self.queues[request.team]
        queue.popleft()
        self.virtual_time = max(self.virtual_time, request.start_tag)
        if not queue:
            del self.queues[request.team]
            self.finish_tags = {
                team: finish_tag
                for team, finish_tag in self.finish_tags.items()
                if finish_tag > self.virtual_time or team in self.queues
            }
        if not self.queues:
            self.finish_tags.clear()

    def requests_ahead_of(self, team: str) -> list[QueuedRequest[Item]]:
        """Return the requests that would be served before one of this team that came now."""
        start_tag = self._next_start_tag(team)
        return [request for request in self if request.start_tag <= start_tag]
