"""Renews the leases of agents whose shard's owner is gone while the store does not answer.

A controller that crashes in an outage of the store is back at once, but can't claim its shards until the outage is over,
and nobody else can: the agents of its shards would get no answer, and their leases would expire one after the other. A
controller that was there before the outage may answer them instead: with the fencing token that the agent has, which
takes nothing from any owner, and without commands. It starts nothing, stops nothing and proves nothing. What it must not
do is keep alive what a user was told is cancelled:

- It knows each cancellation that was recorded up to `synced_at`, and renews nothing of a job that it knows to be cancelled.
- A cancellation recorded later is confirmed later. Renewed before `synced_at` + `cancel_s` - `lease_s`, its tasks are gone
  in time.
- One recorded before the watch began (`complete_since`) is older than `cancel_s`, or nothing is renewed at all.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ashdock.cancellation.watermark import CancellationWatermark
from ashdock.settings import Workers
from ashdock.wire.messages import Heartbeat, split_task


class JobsWatch(Protocol):
    """The watch of the jobs' records. Times are of the steady clock, in seconds."""

    complete_since: float  # since when it has no gap
    synced_at: float  # up to when it has told of all changes


class OrphanLeaseRenewer:
    """Decides whose lease may be renewed. Times are of the steady clock, in seconds."""

    def __init__(
        self,
        workers: Workers,
        jobs: JobsWatch,
        is_cancelled: Callable[[str], bool],
        watermark: CancellationWatermark,
    ) -> None:
        """`is_cancelled`: whether the job of an id is known to be."""
        self.workers = workers
        self.jobs = jobs
        self.is_cancelled = is_cancelled
        self.watermark = watermark

    def may_renew(self, heartbeat: Heartbeat, now: float) -> bool:
        """Whether this controller, which does not own the agent's shard, may renew the agent's lease.

        Only what the store has told counts: the peers' echoes say nothing of a start that the owner which is gone had sent.
        """
        if now - self.jobs.complete_since < self.workers.cancel_s:
            return False
        if not self.watermark.is_recent(self.jobs.synced_at, now):
            return False
        return not any(self.is_cancelled(split_task(task.task)[0]) for task in heartbeat.tasks)
