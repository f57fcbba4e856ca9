"""How much of the cancellations confirmed to users is known here, by the watch on jobs and by the peers."""

from __future__ import annotations

import time
from typing import Protocol

from ashdock.cancellation.watermark import CancellationWatermark


class JobWatch(Protocol):
    """The watch on the jobs' records."""

    synced_at: float  # all changes up to then have come in, by the steady clock


class CancellationKnowledge:
    """Joins what the store's watch has brought with what the peers have told."""

    def __init__(self, watermark: CancellationWatermark, jobs: JobWatch) -> None:
        """`watermark`: what the peers have told of; `jobs`: the watch on the jobs' records."""
        self.watermark = watermark
        self.jobs = jobs

    def may_renew(self, read_at: float) -> bool:
        """Whether agents that run tasks of a shard read at `read_at`, by the steady clock, may be kept alive.

        What could have been cancelled unnoticed then still stops in time.
        """
        return self.watermark.may_renew(max(read_at, self.jobs.synced_at), time.monotonic())

    def age_s(self) -> float:
        """Seconds since the time up to which every confirmed cancellation is known."""
        now = time.monotonic()
        return now - self.watermark.known_until(self.jobs.synced_at, now)
