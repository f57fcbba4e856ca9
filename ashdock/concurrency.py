"""Checks for state that may have changed during an `await`.

While a coroutine waits others run: what it read before may be gone or replaced by the time it goes on. Relying on it ended the
leader's loop with a KeyError and revived shard owners that had been given up. So only names and revisions are kept across an
`await`, and what they stand for is looked up again:

- a loop that awaits iterates by `iterate_live`, never over `list(table.items())`;
- what is removed after an `await` is removed by `pop(name, None)`, never by `del`;
- a state machine checks its phase again before it goes on, by `ensure_current` or by its own phase;
- what was decided together is sent together: a message carries the fencing token under which it was decided.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import TypeVar

Key = TypeVar("Key")
Value = TypeVar("Value")


class StaleContextError(Exception):
    """What a coroutine worked on ended while it waited: there is nothing left to do."""


def iterate_live(table: dict[Key, Value]) -> Iterator[tuple[Key, Value]]:
    """Yields each item that is still in the table when its turn comes, with its present value.

    Items added meanwhile are not yielded.
    """
    for key in list(table):
        if key in table:
            yield key, table[key]


def ensure_current(is_current: bool, reason: str) -> None:
    """Checks after an `await` that what was true before still is.

    Raises:
        StaleContextError: with the `reason`, if it is not.
    """
    if not is_current:
        raise StaleContextError(reason)
