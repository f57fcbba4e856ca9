"""When the interpreter looks for garbage: not while a controller starts, and seldom after that.

Next to nothing here lies in circles, so what a collection finds is little, and what it looks at is every table of the fleet. At the interpreter's own
thresholds an owner's collections took 2 to 8 hundredths of its processor time (`python -m tests.scale cost`), most of it in the second after a start,
when the shards are read.
"""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Callable

YOUNG = 10_000  # objects made and not freed until the young are looked at: about a megabyte
OLDER = 20  # times that until the next older are


def put_off() -> None:
    """From the start of a process: what was imported stays for good, and nothing is looked at until `begin`."""
    gc.collect()
    gc.freeze()
    gc.disable()


async def begin_later(ready: Callable[[], bool], lease_s: float) -> None:
    """A lease (seconds) after the controller is ready, or after another if it is not by then: its workers are back and its shards read, and what a
    start makes much of is over."""
    for _ in range(10):
        if ready():
            break
        await asyncio.sleep(lease_s / 10)
    await asyncio.sleep(lease_s)
    begin()


def begin() -> None:
    """What was read at the start stays as well, as good as all."""
    gc.freeze()
    gc.set_threshold(YOUNG, OLDER, OLDER)
    gc.enable()
