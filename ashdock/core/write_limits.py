"""The largest transaction and value that the store takes.

They come from the settings. Once all controllers understand the new stored forms, the smaller limits
that the settings announce apply as well; and they are lowered whenever the store refuses a
transaction as too large.
"""

from __future__ import annotations

import logging

from ashdock.settings import StateLimits

log = logging.getLogger("ashdock.write_limits")

USABLE_VALUE = 0.9  # of the largest value that the store takes; the rest is a margin
MIN_OPS = 4  # no transaction needs more: accepting a job takes two
MIN_VALUE_BYTES = 512  # below this a refusal lowers the limit no further
# A task's typical size in its chunk: its placement. Chunks are made as wide as that allows and narrowed when they
# turn out too full; made for the fullest tasks there would be four times as many chunks and writes.
TYPICAL_TASK_BYTES = 28


def _usable_bytes(value_kb: float) -> int:
    return int(value_kb * 1024 * USABLE_VALUE)


class WriteLimits:
    """What a controller keeps to when it writes; all of its components share one instance.

    Attributes:
        announced_apply: whether the smaller limits that the settings announce apply, which also
            means that every controller understands the new stored forms.
        rps: requests a second, of all controllers together.
        write_rps: puts and deletes a second, of all controllers together.
        ops: puts and deletes of one transaction.
        value_bytes: size of one value, lowered after a refusal.
        configured_value_bytes: the same by the settings alone.
    """

    def __init__(self, limits: StateLimits) -> None:
        """Apply the limits in force by the settings."""
        self.limits = limits
        self.announced_apply = False
        self.write_rps = limits.write_rps
        self.rps = limits.rps
        self.ops = limits.txn_ops
        self.value_bytes = self.configured_value_bytes = _usable_bytes(limits.value_kb)

    def apply_announced(self) -> None:
        """Keep to the announced limits as well from now on: the store may apply them at any moment."""
        self.announced_apply = True
        smaller = self.limits.smaller()
        self.write_rps, self.rps = smaller.write_rps, smaller.rps
        self.ops = min(self.ops, smaller.txn_ops)
        self.configured_value_bytes = _usable_bytes(smaller.value_kb)
        self.value_bytes = min(self.value_bytes, self.configured_value_bytes)

    def lower_after_refusal(self, ops: int, largest_bytes: int) -> None:
        """Halve the transactions, or else make values a quarter smaller, after the store refused one.

        The same transaction would be refused again, and no other of its shard could follow.

        Args:
            ops: puts and deletes of the transaction refused.
            largest_bytes: size of its largest value.
        """
        if ops > MIN_OPS:
            self.ops = max(MIN_OPS, min(self.ops, ops // 2))
        elif largest_bytes > MIN_VALUE_BYTES:
            self.value_bytes = max(MIN_VALUE_BYTES, min(self.value_bytes, largest_bytes * 3 // 4))
        log.info(
            "store refused a transaction, write limits lowered: "
            "ops=%d largest_bytes=%d max_ops=%d max_value_bytes=%d",
            ops,
            largest_bytes,
            self.ops,
            self.value_bytes,
        )

    @property
    def typical_chunk_tasks(self) -> int:
        """Tasks that fit into a chunk as long as they are of typical size."""
        return max(1, self.value_bytes // TYPICAL_TASK_BYTES)
