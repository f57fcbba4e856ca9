"""What a shard's jobs wait for: other jobs, of any part, that have to be done first.

The edges are those of the shard's own waiting jobs; what they name may be anywhere. An outcome arrives once it is durable and
then never changes, so whatever is decided from it holds for good. Priority and deadline are carried back along the edges; how
much work that is goes by the edges touched, and nothing recurses.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable
from typing import NamedTuple


class Urgency(NamedTuple):
    """What a job owes to those that need it."""

    priority: int = -1
    finish_by: float = math.inf  # when it had better be done, for the last of them to be in time

    def with_(self, other: Urgency) -> Urgency:
        return Urgency(max(self.priority, other.priority), min(self.finish_by, other.finish_by))


NO_URGENCY = Urgency()


class _Waiting:
    __slots__ = ("level", "open", "own", "since", "takes")

    def __init__(
        self, needs: Iterable[str], own: Urgency, takes: float, since: float, level: int
    ) -> None:
        self.open = set(needs)  # those not known to be done
        self.own = own
        self.takes = takes  # from when it may start until it is done, as far as can be told
        self.since = since  # when the last of what it needs was done
        self.level = level  # above all that it needs


class DependencyGraph:
    def __init__(self) -> None:
        self.waiting: dict[str, _Waiting] = {}
        self.dependents: dict[str, dict[str, None]] = {}  # job: the waiting jobs that need it
        self.inherited: dict[
            str, Urgency
        ] = {}  # job that is needed: by all that need it, here or in other shards
        self.told: dict[
            str, dict[str, Urgency]
        ] = {}  # the same by other shards' owners' word: job, then part
        self.fresh: dict[str, None] = {}  # needed, and nobody has looked yet how it stands
        self.changed: set[str] = (
            set()
        )  # jobs whose share is another than when this was last emptied

    def add(self, job: str, needs: Iterable[str], own: Urgency, takes: float, since: float) -> None:
        needs = tuple(needs)
        level = 1 + max(
            (self.waiting[need].level for need in needs if need in self.waiting), default=0
        )
        self.waiting[job] = _Waiting(needs, own, takes, since, level)
        for need in needs:
            if need not in self.dependents:
                self.dependents[need] = {}
                self.fresh[need] = None
            self.dependents[need][job] = None
        self._carry(needs)

    def done(self, need: str, at: float | None) -> list[tuple[str, float]]:
        """The jobs that may start now, and since when."""
        out = []
        for job in self.dependents.pop(need, ()):
            waiting = self.waiting[job]
            waiting.open.discard(need)
            if at is not None:
                waiting.since = max(waiting.since, at)
            if not waiting.open:
                out.append((job, waiting.since))
                del self.waiting[job]
        self._forget(need)
        return out

    def cancelled(self, need: str) -> list[str]:
        """All that can never run now, directly or through others."""
        out: list[str] = []
        left = [need]
        while left:
            gone = left.pop()
            for job in list(self.dependents.get(gone, ())):
                if job in self.waiting:
                    self.drop(job)
                    out.append(job)
                    left.append(job)
            self.dependents.pop(gone, None)
            self._forget(gone)
        return out

    def drop(self, job: str) -> None:
        """It waits no more, for whatever reason. What it needed owes it nothing."""
        waiting = self.waiting.pop(job, None)
        if waiting is None:
            return
        for need in waiting.open:
            rest = self.dependents.get(need)
            if rest is not None:
                rest.pop(job, None)
                if not rest:
                    del self.dependents[need]
                    self.fresh.pop(need, None)
        self._carry(waiting.open)

    def _forget(self, job: str) -> None:
        self.inherited.pop(job, None)
        self.told.pop(job, None)
        self.fresh.pop(job, None)

    def receive_inheritance(self, shard: str, rows: Iterable[tuple[str, int, float]]) -> None:
        """What another shard's jobs make of ours. Its owner says it anew with each beat."""
        says = {job: Urgency(priority, by) for job, priority, by in rows}
        changed = [
            job for job, said in self.told.items() if shard in said and says.get(job) != said[shard]
        ]
        for job in changed:
            del self.told[job][shard]
            if not self.told[job]:
                del self.told[job]
        for job, value in says.items():
            if self.told.get(job, {}).get(shard) != value:
                self.told.setdefault(job, {})[shard] = value
                changed.append(job)
        if changed:
            self._carry(changed)

    def inherited_elsewhere(self, ours: Iterable[str]) -> list[tuple[str, int, float]]:
        """What to tell of jobs that are not of this shard."""
        here = set(ours)
        return [
            (job, *self.inherited[job])
            for job in self.dependents
            if job not in here and job in self.inherited
        ]

    def urgency_of(self, job: str) -> Urgency:
        return self.inherited.get(job, NO_URGENCY)

    def _carry(self, jobs: Iterable[str]) -> None:
        """Carry back from what needs these jobs, and on from each whose share changed. The highest level first: all that
        needs a job has been looked at before it is, so each edge is looked at once."""
        heap = [(-self._level(job), job) for job in set(jobs)]
        heapq.heapify(heap)
        while heap:
            _, job = heapq.heappop(heap)
            value = NO_URGENCY
            for said in self.told.get(job, {}).values():
                value = value.with_(said)
            for after in self.dependents.get(job, ()):
                waiting = self.waiting[after]
                priority, finish_by = waiting.own.with_(self.urgency_of(after))
                value = value.with_(Urgency(priority, finish_by - waiting.takes))
            if value == self.urgency_of(job):
                continue
            self.changed.add(job)
            if value == NO_URGENCY:
                self.inherited.pop(job, None)
            else:
                self.inherited[job] = value
            if job in self.waiting:
                for need in self.waiting[job].open:
                    heapq.heappush(heap, (-self._level(need), need))

    def _level(self, job: str) -> int:
        waiting = self.waiting.get(job)
        return waiting.level if waiting else 0
