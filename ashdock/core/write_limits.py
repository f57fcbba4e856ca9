"""What may be written to the state service at a time: by the settings, by the mark that all controllers are of the new
version, and by what the service refused."""

from __future__ import annotations

import logging

from ashdock.settings import StateLimits

log = logging.getLogger("ashdock.bounds")

FEWEST_OPS = 4  # no transaction of ours needs more: an accept takes two
SMALLEST = 512  # bytes of a value below which nothing is cut any further
# What a task of a chunk mostly takes: its place on a machine. Chunks are made as wide as that lets them be, and narrower
# when they turn out too full; made for the fullest, they were four times as many, and so were the writes.
TYPICAL_BYTES = 28


class WriteLimits:
    def __init__(self, limits: StateLimits) -> None:
        self.limits = limits
        self.agreed = False  # every controller is known to understand the new forms
        self.write_rps = limits.write_rps
        self.rps = limits.rps
        self.ops = limits.txn_ops
        self.value_bytes = self.declared_bytes = int(limits.value_kb * 1024 * 0.9)

    def agree(self) -> None:
        """From here on everything is written within the limits to come as well: they may hold from any moment."""
        self.agreed = True
        smaller = self.limits.smaller()
        self.write_rps, self.rps = smaller.write_rps, smaller.rps
        self.ops = min(self.ops, smaller.txn_ops)
        self.declared_bytes = int(smaller.value_kb * 1024 * 0.9)
        self.value_bytes = min(self.value_bytes, self.declared_bytes)

    def refused(self, ops: int, largest: int) -> None:
        """A transaction was refused as malformed, and ours are not: it must have been too large in one way or the other.
        The same transaction again would be refused again, and its shard stand still."""
        if ops > FEWEST_OPS:
            self.ops = max(FEWEST_OPS, min(self.ops, ops // 2))
        elif largest > SMALLEST:
            self.value_bytes = max(SMALLEST, min(self.value_bytes, largest * 3 // 4))
        log.info(
            "the state service refused a transaction of %d changes, the largest of %d bytes: no more than %d changes and %d "
            "bytes a value from here on",
            ops,
            largest,
            self.ops,
            self.value_bytes,
        )

    @property
    def width(self) -> int:
        """Tasks to a chunk, as long as it is not too full."""
        return max(1, self.value_bytes // TYPICAL_BYTES)
