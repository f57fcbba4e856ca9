"""Looking again after an await: the one habit for what was read before one.

While a coroutine waits, every other one runs. What it read before may be gone, replaced, or somebody else's by the time it goes
on; taking it for true ended the leader's loop with a KeyError and brought back owners that had let go. So nothing is kept over an
await but names and revisions, and what they stand for is looked up anew:

- a loop that waits goes over a table by `iterate_live`, never over `list(table.items())`;
- what is taken out after a wait goes by `pop(name, None)`, never by `del`;
- a state machine asks for its phase again before it goes on, by `ensure_current` or by its own phase;
- what was decided together goes out together: a message takes the token it was decided under along.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import TypeVar

Key = TypeVar("Key")
Value = TypeVar("Value")


class StaleContextError(Exception):
    """What this was about ended while it waited: there is nothing left to do."""


def iterate_live(table: dict[Key, Value]) -> Iterator[tuple[Key, Value]]:
    """Each item that is still there when its turn comes, as it is then. What comes meanwhile waits for the next walk."""
    for key in list(table):
        if key in table:
            yield key, table[key]


def ensure_current(holds: bool, what: str) -> None:
    """Go on only if what was true before an await still is. Raises Overtaken."""
    if not holds:
        raise StaleContextError(what)
