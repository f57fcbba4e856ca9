"""Releases or cancels a shard's waiting jobs as outcomes of their dependencies arrive.

It also passes priorities and deadlines of waiting jobs on to their dependencies. An outcome is
reported only once it is durable, by the watch on job records, by this controller's own write or by
a read, and never changes afterwards. So a job is released or cancelled at most once.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable
from typing import Protocol

from ashdock.core import placement as placing
from ashdock.core.dependency_graph import DependencyGraph, Urgency
from ashdock.core.estimates import Estimates
from ashdock.core.job import Job, JobPhase
from ashdock.core.status_reporter import StatusReporter
from ashdock.settings import Workers
from ashdock.wire.messages import JobSpec, JobStatus, MachineType

log = logging.getLogger("ashdock.shard")


class DependentShard(Protocol):
    """The part of a shard that the dependency tracker uses."""

    workers: Workers
    catalog: dict[str, MachineType]
    jobs: dict[str, Job]
    estimates: Estimates
    status_reporter: StatusReporter
    needs_scheduling: bool


class DependencyTracker:
    """Keeps a shard's waiting jobs up to date with their dependencies.

    Attributes:
        shard: The shard.
        graph: Its waiting jobs and their dependencies.
        unread: Dependencies that this shard does not hold and whose stored records still have to
            be read: jobs of other shards, or jobs that are over.
    """

    def __init__(self, shard: DependentShard) -> None:
        """Create a tracker without any waiting jobs."""
        self.shard = shard
        self.graph = DependencyGraph()
        self.unread: dict[str, None] = {}

    def add(self, job: Job) -> None:
        """Have a job wait until all its dependencies are durably done."""
        job.awaits_dependencies = True
        own = Urgency(job.spec.priority, job.deadline_at)
        self.graph.add(
            job.id,
            job.spec.dependencies or (),
            own,
            self._estimated_duration_s(job.spec),
            job.submitted_at,
        )
        self._apply_inherited()

    def cancelled(self, job: Job, now: float) -> None:
        """Take in that a job of this shard is durably cancelled, and cancel its dependents."""
        job.awaits_dependencies = False
        self.graph.drop(job.id)
        self.settled(job.id, JobStatus.WITHDRAWN, job.cancelled_at, now)
        self._apply_inherited()

    def _estimated_duration_s(self, spec: JobSpec) -> float:
        """Seconds from when it may start until it is done, if it is placed at once."""
        fetch_s = max(
            (
                placing.image_fetch_s(spec, machine_type)
                for machine_type in self.shard.catalog.values()
            ),
            default=0.0,
        )
        return fetch_s + self.shard.estimates.run_s(spec) + 2 * self.shard.workers.report_s

    def check_new_dependencies(self, now: float) -> None:
        """Look up the state of dependencies that were added since the last call.

        Those that this shard does not hold are entered in `unread`.
        """
        while self.graph.unchecked:
            dependency, _ = self.graph.unchecked.popitem()
            job = self.shard.jobs.get(dependency)
            if job is None:
                self.unread[dependency] = None
            elif job.phase in (JobPhase.CANCELLED, JobPhase.ORPHANED):
                self.settled(dependency, JobStatus.WITHDRAWN, job.cancelled_at, now)

    def settled(self, dependency: str, status: str, at: float | None, now: float) -> None:
        """Release or cancel the dependents of a job whose outcome is durable.

        Args:
            dependency: Id of the job, of any shard; unknown ones are ignored.
            status: Its final status. Any other than `JobStatus.DONE` cancels the dependents.
            at: When it was done, or when the cancellation from which its own follows was confirmed
                to a user, in seconds since the epoch; None if that is not known.
            now: Seconds since the epoch.
        """
        self.unread.pop(dependency, None)
        if dependency not in self.graph.dependents:
            return
        if status == JobStatus.DONE:
            for job_id, ready_since in self.graph.done(dependency, at):
                job = self.shard.jobs[job_id]
                job.dependencies_done(ready_since)
                self.shard.needs_scheduling = True
                log.info("all dependencies done: job=%s last=%s", job_id, dependency)
                self.shard.status_reporter.record_arrival(job, now)
        else:
            for job_id in self.graph.cancelled(dependency):
                log.info(
                    "job cancelled with its dependency: job=%s dependency=%s", job_id, dependency
                )
                job = self.shard.jobs[job_id]
                # The deadline of `cancel_s` counts from that confirmation, or from the acceptance
                # of a job that came later, whichever owner and shard the outcome passes through.
                job.orphan(dependency, now if at is None else max(at, job.submitted_at))
        self._apply_inherited()

    def receive_inheritance(self, shard: str, rows: Iterable[tuple[str, int, float]]) -> None:
        """Replace what jobs here inherit from dependents in another shard.

        Args:
            shard: The other shard.
            rows: Id of a job, the priority and the due time that it inherits.
        """
        self.graph.receive_inheritance(shard, rows)
        self._apply_inherited()

    def _apply_inherited(self) -> None:
        """Pass changes of inherited urgency on to the shard's jobs."""
        for job_id in self.graph.changed:
            job = self.shard.jobs.get(job_id)
            if job is not None:
                job.inherited = self.graph.urgency_of(job_id)
        if self.graph.changed:
            self.shard.needs_scheduling = True
            self.graph.changed.clear()
