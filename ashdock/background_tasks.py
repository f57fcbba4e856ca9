"""Work that runs beside everything else: periodic steps, single tasks, and the measure of timers' lateness."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from ashdock.admission.control import Admission
from ashdock.net.cloud import CloudError
from ashdock.net.store import CompareFailedError, StoreUnavailableError

log = logging.getLogger("ashdock.controller")

Step = Callable[[], Awaitable[float | None]]  # returns the seconds until the next; None: no more


async def run_periodically(step: Step, retry_s: float) -> None:
    """Run a step again and again, whatever goes wrong.

    Args:
        step: what is done each time.
        retry_s: seconds before it is done again after the store or the cloud could not answer; twice that after a
            fault of ours.
    """
    name = getattr(step, "__qualname__", repr(step))
    while True:
        try:
            pause_s = await step()
            if pause_s is None:
                return
            await asyncio.sleep(pause_s)
        except (StoreUnavailableError, CloudError, CompareFailedError) as error:
            log.debug("step is retried: step=%s error=%s", name, error)
            await asyncio.sleep(retry_s)
        except Exception:  # the top of a task: a fault in one step must not end the loop
            log.exception("step failed: step=%s", name)
            await asyncio.sleep(retry_s * 2)


class BackgroundTasks:
    """Single tasks that nobody waits for, kept referenced until they are done."""

    def __init__(self) -> None:
        """Start with none."""
        self.tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine as a task."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


class TimerLateness:
    """Tells admission how late timers fire, which is how far this process is behind with its work."""

    def __init__(self, admission: Admission, period_s: float) -> None:
        """`period_s`: seconds between two timers."""
        self.admission = admission
        self.period_s = period_s

    async def run(self) -> float | None:
        """Measure for ever."""
        due = time.monotonic()
        while True:
            due += self.period_s
            await asyncio.sleep(max(due - time.monotonic(), 0.0))
            now = time.monotonic()
            self.admission.tick(now - due, now)
            due = max(due, now)
