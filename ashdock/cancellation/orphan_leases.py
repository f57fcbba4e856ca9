"""Keeping the leases of workers whose owner is gone while the state service does not answer.

A controller that ends in an outage is back at once, but cannot claim its shards until the outage is over, and nobody else can:
with all workers of its shards asking in vain, their leases ran out one after the other. One that was there before the outage may
answer them instead: with the token that the worker has, which takes nothing from anybody, and without an order. It starts
nothing, stops nothing and proves nothing. What it must not do is keep alive what its user was told is cancelled:

- it knows each withdrawal that was recorded up to `synced_at`, and renews nothing of a job that it knows to be withdrawn;
- one recorded later is told later, so what it renews before `synced_at + cancel_s - lease_s` is gone in time;
- one recorded before it watched (`complete_since`) is older than `cancel_s`, or it renews nothing at all.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ashdock.cancellation.watermark import CancellationWatermark
from ashdock.settings import Workers
from ashdock.wire.messages import Heartbeat, split_task


class Watched(Protocol):
    """What is known of the jobs' records."""

    complete_since: float
    synced_at: float


class OrphanLeaseRenewer:
    """Times are of the steady clock, in seconds."""

    def __init__(
        self,
        workers: Workers,
        jobs: Watched,
        withdrawn: Callable[[str], bool],
        watermark: CancellationWatermark,
    ) -> None:
        self.workers = workers
        self.jobs = jobs
        self.withdrawn = withdrawn
        self.watermark = watermark

    def may_renew(self, report: Heartbeat, now: float) -> bool:
        """Whether a worker's lease may be kept by us, who do not own it."""
        # By the state service's word alone: what others vouch for says nothing of a start that the owner which is gone had sent.
        if now - self.jobs.complete_since < self.workers.cancel_s or not self.watermark.within(
            self.jobs.synced_at, now
        ):
            return False
        return not any(self.withdrawn(split_task(item.task)[0]) for item in report.tasks)
