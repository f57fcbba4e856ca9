"""A shard's jobs that wait for others: released or cancelled as the outcomes come in, and ranked by what needs them.

An outcome is only told once it is durable, by the watch on jobs, by our own write or by a read; it never changes again. So a
job is released once for good, and so it is cancelled.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable
from typing import Protocol

from ashdock.core import placement as placing
from ashdock.core.dependency_graph import Carried, DependencyGraph
from ashdock.core.estimates import Estimates
from ashdock.core.job import Job, JobPhase
from ashdock.core.status_reporter import StatusReporter
from ashdock.settings import Workers
from ashdock.wire.messages import JobSpec, JobStatus, MachineType

log = logging.getLogger("ashdock.shard")


class DependentShard(Protocol):
    """What of a shard its waiting jobs rest on."""

    workers: Workers
    catalog: dict[str, MachineType]
    jobs: dict[str, Job]
    estimates: Estimates
    status_reporter: StatusReporter
    stale: bool


class DependencyTracker:
    def __init__(self, shard: DependentShard) -> None:
        self.shard = shard
        self.graph = DependencyGraph()
        self.unread: dict[
            str, None
        ] = {}  # jobs that ours wait for, of which it is not known yet how they stand

    def add(self, job: Job) -> None:
        """It may not start before all that it needs is durably done."""
        job.awaits_dependencies = True
        own = Carried(job.spec.priority, job.deadline_at)
        self.graph.add(
            job.id, job.spec.dependencies or (), own, self._takes(job.spec), job.submitted_at
        )
        self._carry()

    def cancelled(self, job: Job, now: float) -> None:
        """Durably; so are all that need it."""
        job.awaits_dependencies = False
        self.graph.drop(job.id)
        self.settled(job.id, JobStatus.WITHDRAWN, None, now)
        self._carry()

    def _takes(self, spec: JobSpec) -> float:
        """How long from when it may start until it is done, where it finds room at once."""
        fetch = max(
            (placing.image_s(spec, shape) for shape in self.shard.catalog.values()), default=0.0
        )
        return fetch + self.shard.estimates.run_s(spec) + 2 * self.shard.workers.report_s

    def look(self, now: float) -> None:
        """How the jobs stand that ours have come to wait for: what is not of this shard has to be read."""
        while self.graph.fresh:
            need, _ = self.graph.fresh.popitem()
            job = self.shard.jobs.get(need)
            if job is None:
                self.unread[need] = None
            elif job.phase is JobPhase.CANCELLED:
                self.settled(need, JobStatus.WITHDRAWN, None, now)

    def settled(self, need: str, status: str, at: float | None, now: float) -> None:
        """A job that ours may wait for is durably over: they may start, or never will."""
        self.unread.pop(need, None)
        if need not in self.graph.after:
            return
        if status == JobStatus.DONE:
            for job_id, since in self.graph.done(need, at):
                job = self.shard.jobs[job_id]
                job.dependencies_done(since)
                self.shard.stale = True
                log.info("job %s may start: the last that it needs is done (%s)", job_id, need)
                self.shard.status_reporter.record_arrival(job, now)
        else:
            for job_id in self.graph.cancelled(need):
                log.info("job %s is cancelled with %s, which it needs", job_id, need)
                self.shard.jobs[job_id].orphan(need, now)
        self._carry()

    def hear(self, shard: str, rows: Iterable[tuple[str, int, float]]) -> None:
        self.graph.hear(shard, rows)
        self._carry()

    def _carry(self) -> None:
        for job_id in self.graph.changed:
            job = self.shard.jobs.get(job_id)
            if job is not None:
                job.carried = self.graph.of(job_id)
        if self.graph.changed:
            self.shard.stale = True
            self.graph.changed.clear()
