"""Settings of the interpreter's garbage collector: off while a controller starts, and rare after that.

Hardly any object here is part of a reference cycle, so a collection finds little, and yet scans every table of the fleet. With
the interpreter's default thresholds the collections of a shard owner took 0.02 to 0.08 of its processor time
(`python -m tests.scale cost`), most of it in the second after a start, when the shards are read.
"""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Callable

GENERATION_0_THRESHOLD = 10_000  # net allocations until a collection: about a megabyte
OLDER_GENERATION_THRESHOLD = 20  # collections of a generation until the next older one is included
STARTUP_POLLS = 10  # how often `enable_after_startup` looks whether the controller is ready


def disable() -> None:
    """Turns collection off until `enable`; called at the start of a process.

    Objects that exist already, mostly imported modules, are never scanned again.
    """
    gc.collect()
    gc.freeze()
    gc.disable()


async def enable_after_startup(ready: Callable[[], bool], lease_s: float) -> None:
    """Enables collection one agent lease after the controller is ready, or two after the call if it is not by then.

    By then its workers are back and its shards read, and the burst of allocations is over.

    Args:
        ready: whether the controller is ready.
        lease_s: the agent lease, seconds.
    """
    for _ in range(STARTUP_POLLS):
        if ready():
            break
        await asyncio.sleep(lease_s / STARTUP_POLLS)
    await asyncio.sleep(lease_s)
    enable()


def enable() -> None:
    """Turns collection on with higher thresholds; what was read at the start is never scanned again."""
    gc.freeze()
    gc.set_threshold(GENERATION_0_THRESHOLD, OLDER_GENERATION_THRESHOLD, OLDER_GENERATION_THRESHOLD)
    gc.enable()
