"""Makes room for the writes that shards owned here have to make by a time.

Their number counts in the demand by which controllers divide the store's rate, and submissions are
refused here while it does not suffice.
"""

from __future__ import annotations

from ashdock.admission.control import Admission
from ashdock.core.promised_writes import PromisedWrites
from ashdock.core.shard_writer import JOB_RECORD_OPS
from ashdock.core.write_backlog import ChangeKind
from ashdock.net.rate_limiter import RateLimiter
from ashdock.shard_owners import ShardOwners


class DueWrites:
    """Compares what is due with the rate at which this controller may write."""

    def __init__(
        self,
        *,
        owners: ShardOwners,
        write_limiter: RateLimiter,
        admission: Admission,
        cancel_s: float,
    ) -> None:
        """Set the source, and what is told.

        Args:
            owners: The shards owned here.
            write_limiter: Counts the writes in its demand.
            admission: Refuses submissions.
            cancel_s: Time within which a cancellation has to take effect, in seconds.
        """
        self.owners = owners
        self.write_limiter = write_limiter
        self.admission = admission
        self.cancel_s = cancel_s

    def promised_writes(self) -> PromisedWrites:
        """Return what is due in all shards owned here."""
        backlogs = [
            shard.write_backlog.by_kind[ChangeKind.DEPENDENCY_CANCELLATION]
            for shard in self.owners.active_shards()
        ]
        return PromisedWrites(
            JOB_RECORD_OPS * sum(backlog.waiting for backlog in backlogs),
            max((backlog.oldest_s for backlog in backlogs), default=0.0),
        )

    def update(self) -> None:
        """Tell the rate limiter and admission control what is due."""
        promised = self.promised_writes()
        writes_per_s = self.write_limiter.per_s
        self.write_limiter.expected = float(promised.ops)
        self.admission.due_writes_s = (
            promised.drain_s(writes_per_s)
            if promised.need_all_writes(writes_per_s, self.cancel_s)
            else 0.0
        )
