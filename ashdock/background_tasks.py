"""Background work: periodic steps, one-off tasks and the measurement of timer lateness."""

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

# Returns the seconds until it is to be called again, or None if it is finished.
Step = Callable[[], Awaitable[float | None]]


async def run_periodically(step: Step, retry_s: float) -> None:
    """Call a step repeatedly, also after errors, until it returns None.

    Args:
        step: The function to call.
        retry_s: Seconds before the next call after an expected error of the store or the cloud.
            The pause after any other exception is twice as long.
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
        except Exception:  # top level of a task: an exception in one call must not end the loop
            log.exception("step failed: step=%s", name)
            await asyncio.sleep(retry_s * 2)


class BackgroundTasks:
    """One-off tasks that are not awaited; each is referenced until it is done.

    The event loop itself keeps only weak references to its tasks.
    """

    def __init__(self) -> None:
        """Start without tasks."""
        self.tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine as a task."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


class TimerLateness:
    """Reports to admission control how late timers fire.

    The lateness of a timer is how far the event loop of this process is behind with its work.
    """

    def __init__(self, admission: Admission, period_s: float) -> None:
        """Set up the measurement.

        Args:
            admission: Receives each measured lateness.
            period_s: Seconds between two timers.
        """
        self.admission = admission
        self.period_s = period_s

    async def run(self) -> float | None:
        """Measure until cancelled; never returns."""
        due = time.monotonic()
        while True:
            due += self.period_s
            await asyncio.sleep(max(due - time.monotonic(), 0.0))
            now = time.monotonic()
            self.admission.tick(now - due, now)
            due = max(due, now)
