"""A compare-and-swap that is being built, and the callbacks that apply its effects in memory."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

# A transaction is one request body, and the store refuses bodies of 64 KiB.
MAX_TRANSACTION_BYTES = 60 * 1024
TRANSACTION_ENVELOPE_BYTES = 200  # a transaction without its writes
KEY_BYTES = 100  # a path with its condition, which is all that a deletion has


class StoredKey(NamedTuple):
    """A key with its last known revision."""

    path: str
    revision: int


class Transaction:
    """A compare-and-swap that is being built, with callbacks for its commit.

    Attributes:
        conditions: Expected revision by path.
        writes: New value by path; None deletes the key.
        on_commit: Callbacks, called in order with the revision at which it was applied.
        max_ops: Maximum number of writes.
        size_bytes: Approximate size.
        urgent: Whether a run command, an outcome or a change of a machine waits for it.
        overdue: Whether outcomes that users were promised by a time would be late if it waited
            behind users' requests.
    """

    def __init__(self, max_ops: int) -> None:
        """Create an empty transaction."""
        self.conditions: dict[str, int] = {}
        self.writes: dict[str, Any] = {}
        self.on_commit: list[Callable[[int], None]] = []
        self.max_ops = max_ops
        self.size_bytes = TRANSACTION_ENVELOPE_BYTES
        self.urgent = False
        self.overdue = False

    def has_room(self, ops: int, size_bytes: int) -> bool:
        """Whether more writes fit.

        The first writes always do; otherwise they could never be written.

        Args:
            ops: Number of the writes.
            size_bytes: Their total size.
        """
        return not self.writes or (
            len(self.writes) + ops <= self.max_ops
            and self.size_bytes + size_bytes <= MAX_TRANSACTION_BYTES
        )

    def put(self, path: str, value: Any, revision: int) -> None:
        """Add a write that is conditional on the key's revision. The caller adds to `size_bytes`.

        Args:
            path: The key.
            value: The new value; None deletes the key.
            revision: The expected revision; 0 if the key does not exist.
        """
        self.conditions[path] = revision
        self.writes[path] = value
