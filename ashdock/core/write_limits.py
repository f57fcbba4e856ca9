"""The largest transaction and value that the store accepts.

The limits come from the settings. Once every controller supports the newer record formats, the
smaller limits that the settings announce apply as well. The limits are also lowered whenever the
store refuses a transaction as too large.
"""

from __future__ import annotations

import logging

from ashdock.settings import StateLimits

log = logging.getLogger("ashdock.write_limits")

USABLE_VALUE_SHARE = 0.9  # share of the store's largest value that is used; the rest is a margin
MIN_OPS = 4  # no transaction needs more: accepting a job takes two
MIN_VALUE_BYTES = 512  # refused transactions do not lower the limit below this
# Typical size of one task in its chunk: its placement. Chunks are as wide as this allows, and are
# narrowed if they turn out too large. Sized for the largest tasks, there would be four times as
# many chunks and writes.
TYPICAL_TASK_BYTES = 28


def _usable_bytes(value_kb: float) -> int:
    return int(value_kb * 1024 * USABLE_VALUE_SHARE)


class WriteLimits:
    """The limits that a controller observes when it writes; its components share one instance.

    Attributes:
        limits: The limits as configured, current and announced.
        announced_apply: Whether the smaller limits that the settings announce apply, which also
            means that every controller supports the newer record formats.
        rps: Requests per second, of all controllers together.
        write_rps: Puts and deletes per second, of all controllers together.
        ops: Maximum number of puts and deletes in one transaction.
        value_bytes: Maximum size of one value, lowered after a refusal.
        configured_value_bytes: Maximum size of one value by the settings alone.
    """

    def __init__(self, limits: StateLimits) -> None:
        """Apply the settings' current limits."""
        self.limits = limits
        self.announced_apply = False
        self.write_rps = limits.write_rps
        self.rps = limits.rps
        self.ops = limits.txn_ops
        self.value_bytes = self.configured_value_bytes = _usable_bytes(limits.value_kb)

    def apply_announced(self) -> None:
        """Observe the announced limits too from now on: the store may enforce them at any time."""
        self.announced_apply = True
        smaller = self.limits.smaller()
        self.write_rps, self.rps = smaller.write_rps, smaller.rps
        self.ops = min(self.ops, smaller.txn_ops)
        self.configured_value_bytes = _usable_bytes(smaller.value_kb)
        self.value_bytes = min(self.value_bytes, self.configured_value_bytes)

    def lower_after_refusal(self, ops: int, largest_bytes: int) -> None:
        """Lower the limits after the store refused a transaction.

        Halves the number of operations, or makes values a quarter smaller once that number is at
        its minimum. Otherwise the same transaction would be refused again, and would block every
        later one of its shard.

        Args:
            ops: Number of puts and deletes in the refused transaction.
            largest_bytes: Size of its largest value.
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
        """Number of tasks of typical size that fit into one chunk."""
        return max(1, self.value_bytes // TYPICAL_TASK_BYTES)
