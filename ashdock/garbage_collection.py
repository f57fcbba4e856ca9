"""Settings of the interpreter's garbage collector: off during startup, and infrequent after that.

Hardly any object of a controller is part of a reference cycle, so a collection frees little but
scans every table of the fleet. With the interpreter's default thresholds, collections took 0.02 to
0.08 of a shard owner's processor time (`python -m tests.scale cost`), most of it in the second
after a start, when the shards are read.
"""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Callable

GENERATION_0_THRESHOLD = 10_000  # net allocations before a collection: about a megabyte
OLDER_GENERATION_THRESHOLD = 20  # collections of a generation before the next older one is included
STARTUP_POLLS = 10  # maximum number of checks whether the controller is ready, in one worker lease


def disable() -> None:
    """Turn collection off until `enable` is called; meant for the start of a process.

    Objects that already exist, mostly imported modules, are never scanned again.
    """
    gc.collect()
    gc.freeze()
    gc.disable()


async def enable_after_startup(ready: Callable[[], bool], lease_s: float) -> None:
    """Enable collection one worker lease after the controller is ready.

    By then its workers have reconnected, its shards are read and the burst of allocations is over.
    A controller that is not ready within one worker lease of the call counts as ready from then on.

    Args:
        ready: Returns whether the controller is ready.
        lease_s: Duration of the worker lease, in seconds.
    """
    for _ in range(STARTUP_POLLS):
        if ready():
            break
        await asyncio.sleep(lease_s / STARTUP_POLLS)
    await asyncio.sleep(lease_s)
    enable()


def enable() -> None:
    """Turn collection on with higher thresholds.

    Objects that exist by now, such as the shards read at startup, are never scanned again.
    """
    gc.freeze()
    gc.set_threshold(GENERATION_0_THRESHOLD, OLDER_GENERATION_THRESHOLD, OLDER_GENERATION_THRESHOLD)
    gc.enable()
