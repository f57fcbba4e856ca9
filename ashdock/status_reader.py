"""What users ask about jobs, checked in bunches against the state service.

An answer that is not final must rest on something that began after the question. A read for each job asked about cost a
request a question: users who asked eight times as often used up the state service's limit, and starts and accepts waited
behind them. A transaction that only compares checks many revisions in one request, so what users ask costs a few requests a
second however many they are; only what differs from what we hold is read.
"""

from __future__ import annotations

import asyncio
import time
from collections import OrderedDict
from typing import Any, NamedTuple

from ashdock.net.rate_limiter import RequestPriority
from ashdock.net.store import CompareFailedError, Entry, StoreClient, StoreUnavailableError
from ashdock.wire.messages import JobStatus

CALLS_SHARE = 1 / 8  # of our requests to the state service that may go into comparing
UNDER_WAY = 4  # comparisons, and reads of what differed, at a time


class KnownJob(NamedTuple):
    """A job that is not over, as last seen."""

    revision: int
    team: str
    reason: str | None
    kind: str
    needs: tuple[str, ...]  # what it waits for, or has waited for


def known_job_of(value: dict[str, Any], revision: int) -> KnownJob:
    spec = value["spec"]
    if isinstance(spec, dict):
        return KnownJob(
            revision,
            spec["team"],
            value.get("reason"),
            spec["kind"],
            tuple(spec.get("needs") or ()),
        )
    return KnownJob(
        revision, spec.team, value.get("reason"), spec.kind, tuple(spec.dependencies or ())
    )


class StatusReaderBusyError(Exception):
    """More questions than can be checked while their users wait."""


class StatusReader:
    def __init__(self, store: StoreClient, patience_s: float, seen: Any, most: int) -> None:
        """`most`: jobs of which the revision is remembered."""
        self.store = store
        self.patience_s = patience_s
        self.most_known = most
        self.seen = seen  # told of each record read: (job id, record, revision)
        self.known: OrderedDict[str, KnownJob] = OrderedDict()
        self.waiting: dict[
            str, asyncio.Future[KnownJob | None]
        ] = {}  # asked, and not yet being compared
        self.next_at = 0.0
        self.calls = asyncio.Semaphore(UNDER_WAY)
        self.reads = asyncio.Semaphore(UNDER_WAY)
        self.pump: asyncio.Task[None] | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    def learn(self, job_id: str, value: dict[str, Any], revision: int) -> None:
        """A record came by: from a watch, a read, a takeover or our own write."""
        known = self.known.get(job_id)
        if known is not None and known.revision >= revision:
            return
        if value["status"] != JobStatus.QUEUED:
            self.known.pop(job_id, None)  # final answers are kept elsewhere
            return
        self.known[job_id] = known_job_of(value, revision)
        if len(self.known) > self.most_known:
            self.known.popitem(last=False)

    def over(self, job_id: str) -> None:
        """It has ended, by another's word."""
        self.known.pop(job_id, None)

    @property
    def most(self) -> int:
        return self.store.max_compares

    @property
    def pause_s(self) -> float:
        return 1 / (CALLS_SHARE * self.store.request_limiter.per_s)

    async def ask(self, job_id: str) -> KnownJob | None:
        """How the job stands, by a check that begins from here on; None: there is no such job."""
        future = self.waiting.get(job_id)
        if future is None:
            if len(self.waiting) >= self.most * max(1.0, self.patience_s / self.pause_s):
                raise StatusReaderBusyError
            future = asyncio.get_running_loop().create_future()
            future.add_done_callback(
                lambda done: done.cancelled() or done.exception()
            )  # who asked may have given up
            self.waiting[job_id] = future
            if self.pump is None or self.pump.done():
                self.pump = asyncio.create_task(self._pump())
        return await asyncio.shield(future)

    def _spawn(self, job: Any) -> None:
        task = asyncio.create_task(job)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _pump(self) -> None:
        while self.waiting:
            await asyncio.sleep(max(0.0, self.next_at - time.monotonic()))
            await self.calls.acquire()
            self.next_at = time.monotonic() + self.pause_s
            bunch = {job_id: self.waiting.pop(job_id) for job_id in list(self.waiting)[: self.most]}
            self._spawn(self._check(bunch))

    async def _check(self, bunch: dict[str, asyncio.Future[KnownJob | None]]) -> None:
        try:
            while bunch:
                held = {job_id: self.known.get(job_id) for job_id in bunch}
                when = {
                    f"job/{job_id}": known.revision if known else 0
                    for job_id, known in held.items()
                }
                try:
                    await self.store.txn(when, {}, priority=RequestPriority.USER)
                except CompareFailedError as why:
                    # What failed says nothing of the rest: that is compared again without.
                    differ = {path.split("/", 1)[1] for path in why.failed_keys} & bunch.keys()
                    if not differ:
                        raise StoreUnavailableError(
                            "a comparison failed and did not say where"
                        ) from None
                    for job_id in differ:
                        if (
                            self.known.get(job_id) == held[job_id]
                        ):  # else the watch has brought it meanwhile
                            self._spawn(self._read(job_id, bunch.pop(job_id)))
                    continue
                for job_id, future in bunch.items():
                    if not future.done():
                        future.set_result(held[job_id])
                return
        except StoreUnavailableError as why:
            for future in bunch.values():
                if not future.done():
                    future.set_exception(why)
        finally:
            self.calls.release()

    async def _read(self, job_id: str, future: asyncio.Future[KnownJob | None]) -> None:
        try:
            async with self.reads:
                entry: Entry | None = await self.store.get(
                    f"job/{job_id}", priority=RequestPriority.BACKGROUND
                )
        except StoreUnavailableError as why:
            if not future.done():
                future.set_exception(why)
            return
        if entry is not None:
            self.seen(job_id, entry.value, entry.revision)
        if not future.done():
            future.set_result(
                known_job_of(entry.value, entry.revision) if entry is not None else None
            )
