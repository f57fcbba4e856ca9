"""Graph of the jobs of one shard that wait for other jobs.

The nodes are the shard's own waiting jobs; the jobs that they need may belong to any shard. An
outcome is passed in only once it is durable, and never changes afterwards, so releases and
cancellations are final. Priorities and deadlines are inherited backwards along the edges. The cost
of an operation depends on the edges that it touches, not on the size of the graph, and nothing
recurses.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable
from typing import NamedTuple


class Urgency(NamedTuple):
    """How urgent a job is, by itself or on behalf of its dependents.

    Attributes:
        priority: Priority, higher first; -1 is below any job's.
        finish_by: Time by which the job should be done, in seconds; infinite without a deadline. An
            inherited one leaves every dependent its estimated duration to meet its own.
    """

    priority: int = -1
    finish_by: float = math.inf

    def merged_with(self, other: Urgency) -> Urgency:
        """The higher priority and the earlier deadline of the two."""
        return Urgency(max(self.priority, other.priority), min(self.finish_by, other.finish_by))


NO_URGENCY = Urgency()


class _WaitingJob:
    """A job that waits for its dependencies.

    Attributes:
        unfinished: Dependencies that are not known to be done.
        own: The job's urgency by its own specification.
        duration_s: Estimated time from when it may start until it is done.
        ready_since: When its last dependency so far was done, but not before it was submitted.
        level: One above the highest level of its dependencies; jobs that do not wait have level 0.
    """

    __slots__ = ("duration_s", "level", "own", "ready_since", "unfinished")

    def __init__(
        self,
        dependencies: Iterable[str],
        own: Urgency,
        duration_s: float,
        ready_since: float,
        level: int,
    ) -> None:
        self.unfinished = set(dependencies)
        self.own = own
        self.duration_s = duration_s
        self.ready_since = ready_since
        self.level = level


class DependencyGraph:
    """Waiting jobs, what they wait for, and the urgency that their dependencies inherit.

    Attributes:
        waiting: Waiting jobs by id.
        dependents: By id of a job, the waiting jobs of this shard that need it.
        inherited: By id of a job that is needed, the urgency it inherits from all its dependents,
            in this shard and in others.
        received: By id of a job and then by shard, the part of its inherited urgency that the
            owner of that shard reported.
        unchecked: Jobs that are needed and whose state nobody has looked up yet.
        changed: Jobs whose inherited urgency has changed since the caller last cleared this set.
    """

    def __init__(self) -> None:
        """Create an empty graph."""
        self.waiting: dict[str, _WaitingJob] = {}
        self.dependents: dict[str, dict[str, None]] = {}
        self.inherited: dict[str, Urgency] = {}
        self.received: dict[str, dict[str, Urgency]] = {}
        self.unchecked: dict[str, None] = {}
        self.changed: set[str] = set()

    def add(
        self,
        job: str,
        dependencies: Iterable[str],
        own: Urgency,
        duration_s: float,
        ready_since: float,
    ) -> None:
        """Add a waiting job.

        Args:
            job: Its id.
            dependencies: Ids of the jobs that it needs.
            own: Its urgency by its own specification.
            duration_s: Estimated time from when it may start until it is done.
            ready_since: When it could start if it needed nothing.
        """
        dependencies = tuple(dependencies)
        level = 1 + max(
            (
                self.waiting[dependency].level
                for dependency in dependencies
                if dependency in self.waiting
            ),
            default=0,
        )
        self.waiting[job] = _WaitingJob(dependencies, own, duration_s, ready_since, level)
        for dependency in dependencies:
            if dependency not in self.dependents:
                self.dependents[dependency] = {}
                self.unchecked[dependency] = None
            self.dependents[dependency][job] = None
        self._propagate(dependencies)

    def done(self, dependency: str, at: float | None) -> list[tuple[str, float]]:
        """Release the jobs for which this was the last dependency.

        Args:
            dependency: Id of the job that is done.
            at: When it was done, in seconds since the epoch; None if that is not known.

        Returns:
            The ids of the released jobs, each with the time since when it could have started.
        """
        released = []
        for job in self.dependents.pop(dependency, ()):
            waiting = self.waiting[job]
            waiting.unfinished.discard(dependency)
            if at is not None:
                waiting.ready_since = max(waiting.ready_since, at)
            if not waiting.unfinished:
                released.append((job, waiting.ready_since))
                del self.waiting[job]
        self._forget(dependency)
        return released

    def cancelled(self, dependency: str) -> list[str]:
        """Remove all jobs that need a cancelled job, directly or through others; their ids."""
        removed: list[str] = []
        unvisited = [dependency]
        while unvisited:
            cancelled = unvisited.pop()
            for job in list(self.dependents.get(cancelled, ())):
                if job in self.waiting:
                    self.drop(job)
                    removed.append(job)
                    unvisited.append(job)
            self.dependents.pop(cancelled, None)
            self._forget(cancelled)
        return removed

    def drop(self, job: str) -> None:
        """Remove a job that no longer waits; its dependencies no longer inherit from it."""
        waiting = self.waiting.pop(job, None)
        if waiting is None:
            return
        for dependency in waiting.unfinished:
            remaining = self.dependents.get(dependency)
            if remaining is not None:
                remaining.pop(job, None)
                if not remaining:
                    del self.dependents[dependency]
                    self.unchecked.pop(dependency, None)
        self._propagate(waiting.unfinished)

    def _forget(self, job: str) -> None:
        self.inherited.pop(job, None)
        self.received.pop(job, None)
        self.unchecked.pop(job, None)

    def receive_inheritance(self, shard: str, rows: Iterable[tuple[str, int, float]]) -> None:
        """Replace what jobs inherit from dependents in another shard.

        Args:
            shard: The other shard, whose owner sends all its rows with every peer heartbeat.
            rows: Id of a job, the priority and the deadline that it inherits.
        """
        reported = {job: Urgency(priority, finish_by) for job, priority, finish_by in rows}
        changed = [
            job
            for job, by_shard in self.received.items()
            if shard in by_shard and reported.get(job) != by_shard[shard]
        ]
        for job in changed:
            del self.received[job][shard]
            if not self.received[job]:
                del self.received[job]
        for job, urgency in reported.items():
            if self.received.get(job, {}).get(shard) != urgency:
                self.received.setdefault(job, {})[shard] = urgency
                changed.append(job)
        if changed:
            self._propagate(changed)

    def inherited_elsewhere(self, own_jobs: Iterable[str]) -> list[tuple[str, int, float]]:
        """What jobs of other shards inherit from dependents here, to be sent to their owners.

        Args:
            own_jobs: Ids of all jobs of this shard, which are left out.

        Returns:
            Rows of a job's id, the priority and the deadline that it inherits.
        """
        own_ids = set(own_jobs)
        return [
            (job, *self.inherited[job])
            for job in self.dependents
            if job not in own_ids and job in self.inherited
        ]

    def urgency_of(self, job: str) -> Urgency:
        """The urgency that a job inherits from its dependents."""
        return self.inherited.get(job, NO_URGENCY)

    def _propagate(self, jobs: Iterable[str]) -> None:
        """Update what these jobs inherit, and go on to the dependencies of each that changed.

        The highest level goes first. Where dependencies were added before their dependents, all
        dependents of a job have then been updated before the job is, so it changes at most once.
        """
        heap = [(-self._level(job), job) for job in set(jobs)]
        heapq.heapify(heap)
        while heap:
            _, job = heapq.heappop(heap)
            urgency = NO_URGENCY
            for received in self.received.get(job, {}).values():
                urgency = urgency.merged_with(received)
            for dependent in self.dependents.get(job, ()):
                waiting = self.waiting[dependent]
                priority, finish_by = waiting.own.merged_with(self.urgency_of(dependent))
                urgency = urgency.merged_with(Urgency(priority, finish_by - waiting.duration_s))
            if urgency == self.urgency_of(job):
                continue
            self.changed.add(job)
            if urgency == NO_URGENCY:
                self.inherited.pop(job, None)
            else:
                self.inherited[job] = urgency
            if job in self.waiting:
                for dependency in self.waiting[job].unfinished:
                    heapq.heappush(heap, (-self._level(dependency), dependency))

    def _level(self, job: str) -> int:
        waiting = self.waiting.get(job)
        return waiting.level if waiting else 0
