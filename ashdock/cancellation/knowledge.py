"""Combines the job watch and the peers' echoes into one cancellation watermark."""

from __future__ import annotations

import time
from typing import Protocol

from ashdock.cancellation.watermark import CancellationWatermark


class JobWatch(Protocol):
    """The watch on the jobs' records."""

    synced_at: float  # monotonic time up to which all changes have been received


class CancellationKnowledge:
    """Tells up to when every cancellation confirmed to a user is known here."""

    def __init__(self, watermark: CancellationWatermark, jobs: JobWatch) -> None:
        """Combine two sources.

        Args:
            watermark: Advanced by the peers' echoes.
            jobs: The watch on the jobs' records.
        """
        self.watermark = watermark
        self.jobs = jobs

    def may_renew(self, read_at: float) -> bool:
        """Return whether the leases of workers that run a shard's tasks may be renewed now.

        If so, the tasks of any job whose cancellation is not known here yet still stop in time.

        Args:
            read_at: Monotonic time up to which the shard's records, as read, contain every
                confirmed cancellation.
        """
        return self.watermark.may_renew(max(read_at, self.jobs.synced_at), time.monotonic())

    def age_s(self) -> float:
        """Return the age of the watermark in seconds."""
        now = time.monotonic()
        return now - self.watermark.known_until(self.jobs.synced_at, now)
