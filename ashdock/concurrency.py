"""Checks for state that may have changed during an `await`.

Other coroutines run while one waits, so what it read before may have been removed or replaced by
the time it resumes. Code that relied on such values ended the leader's loop with a KeyError and
revived shard owners that had been released. Only names and revisions are therefore kept across an
`await`, and the objects that they stand for are looked up again:

- A loop that awaits iterates with `iterate_live`, never over `list(table.items())`.
- An entry is removed after an `await` with `pop(name, None)`, never with `del`.
- A state machine checks its phase again before it continues, either with `ensure_current` or by
  comparing the phase itself.
- Values that were decided together are sent together: a message carries the fencing token under
  which it was decided.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import TypeVar

Key = TypeVar("Key")
Value = TypeVar("Value")


class StaleContextError(Exception):
    """The object that a coroutine worked on has ended while it waited; it has no more to do."""


def iterate_live(table: dict[Key, Value]) -> Iterator[tuple[Key, Value]]:
    """Yield each item that is still in the table when its turn comes, with its current value.

    Items that are added during the iteration are not yielded.
    """
    for key in list(table):
        if key in table:
            yield key, table[key]


def ensure_current(is_current: bool, reason: str) -> None:
    """Check after an `await` that a condition which held before it still holds.

    Args:
        is_current: Whether the condition still holds.
        reason: Message of the error.

    Raises:
        StaleContextError: The condition no longer holds.
    """
    if not is_current:
        raise StaleContextError(reason)
