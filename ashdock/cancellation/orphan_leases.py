"""Renews the leases of workers whose shard's owner is gone while the store does not answer.

A controller that crashes during a store outage restarts at once, but neither it nor another
controller can claim its shards until the outage is over. Without a response, the leases of all
workers of these shards would expire. A controller that has been running since before the outage may
answer instead. It answers with the fencing token that the worker already has, so no owner loses its
claim, and without commands: it neither starts nor stops tasks, and its response proves nothing
about them. It must not keep tasks alive whose cancellation was confirmed to a user:

- It knows every cancellation recorded up to `synced_at`, and renews no lease of a worker that runs
  tasks of a job that it knows to be cancelled.
- A cancellation recorded later is also confirmed later. If the lease is renewed before `synced_at`
  + `cancel_s` - `lease_s`, the tasks are gone within `cancel_s` of the confirmation.
- A cancellation recorded before the watch began (`complete_since`) is older than `cancel_s`:
  before that time has passed since the watch began, no lease is renewed.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ashdock.cancellation.watermark import CancellationWatermark
from ashdock.settings import Workers
from ashdock.wire.messages import Heartbeat, split_task


class JobWatch(Protocol):
    """The watch on the jobs' records. Times are monotonic, in seconds."""

    complete_since: float  # no change has been missed since then
    synced_at: float  # all changes up to then have been received


class OrphanLeaseRenewer:
    """Decides which leases may be renewed. Times are monotonic, in seconds."""

    def __init__(
        self,
        workers: Workers,
        jobs: JobWatch,
        is_cancelled: Callable[[str], bool],
        watermark: CancellationWatermark,
    ) -> None:
        """Create the renewer.

        Args:
            workers: The settings of workers.
            jobs: The watch on the jobs' records.
            is_cancelled: Returns whether the job with an id is known to be cancelled.
            watermark: Tells how recent the knowledge of cancellations must be.
        """
        self.workers = workers
        self.jobs = jobs
        self.is_cancelled = is_cancelled
        self.watermark = watermark

    def may_renew(self, heartbeat: Heartbeat, now: float) -> bool:
        """Return whether the lease of a worker may be renewed though its shard is not owned here.

        Only the store's watch counts here: the peers' echoes prove nothing about a run command that
        the missing owner had sent.
        """
        if now - self.jobs.complete_since < self.workers.cancel_s:
            return False
        if not self.watermark.is_recent(self.jobs.synced_at, now):
            return False
        return not any(self.is_cancelled(split_task(task.task)[0]) for task in heartbeat.tasks)
