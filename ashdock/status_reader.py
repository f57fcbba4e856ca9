"""Answers users' status requests, with batched revision checks against the store.

Unless the job is known to have ended, a response must rest on a check that began after the request
came in. With one read for each job, every status request cost one store request: users who sent
eight times as many used up the store's rate limit, and task starts and submissions waited behind
them. One transaction without writes compares many revisions, so status requests cost a few store
requests a second however many they are. Only records that differ from what is cached are read.
"""

from __future__ import annotations

import asyncio
import time
from collections import OrderedDict
from typing import Any, NamedTuple

from ashdock.net.rate_limiter import RequestPriority
from ashdock.net.store import CompareFailedError, Entry, StoreClient, StoreUnavailableError
from ashdock.wire.messages import JobStatus

CHECK_REQUEST_SHARE = 1 / 8  # share of this controller's store requests that checks may use
MAX_CONCURRENT_CALLS = 4  # of checks, and again of reads of records that differed


class KnownJob(NamedTuple):
    """An unfinished job, as of the last record seen.

    Attributes:
        revision: of the job's record.
        team: whose job it is.
        reason: why it is not done, for its user.
        kind: a `JobKind`.
        dependencies: ids of the jobs that it depends on, done or not.
    """

    revision: int
    team: str
    reason: str | None
    kind: str
    dependencies: tuple[str, ...]


def known_job_of(value: dict[str, Any], revision: int) -> KnownJob:
    """Return what is cached of a job's record, with its spec decoded or not."""
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
    """More jobs wait to be checked than can be within the timeout."""


class StatusReader:
    """Checks and caches the records of unfinished jobs.

    Attributes:
        store: where the records are checked and read.
        timeout_s: how long a status request may wait for its check, in seconds.
        max_known: most jobs that are cached.
        on_record: called with each record read: job id, record, revision.
        known: unfinished jobs, by id; those cached first are dropped first.
        pending: futures for the results of jobs whose check has not begun, by job id.
        next_check_at: monotonic time at which the next check may begin.
        check_slots: bounds the concurrent checks.
        read_slots: bounds the concurrent reads.
        dispatcher: the task that starts the checks, while any job is pending.
        tasks: checks and reads in progress.
    """

    def __init__(
        self, store: StoreClient, timeout_s: float, on_record: Any, max_known: int
    ) -> None:
        """Start with no job cached.

        Args:
            store: where the records are checked and read.
            timeout_s: how long a status request may wait for its check, in seconds.
            on_record: called with each record read: job id, record, revision.
            max_known: most jobs that are cached.
        """
        self.store = store
        self.timeout_s = timeout_s
        self.max_known = max_known
        self.on_record = on_record
        self.known: OrderedDict[str, KnownJob] = OrderedDict()
        self.pending: dict[str, asyncio.Future[KnownJob | None]] = {}
        self.next_check_at = 0.0
        self.check_slots = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
        self.read_slots = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
        self.dispatcher: asyncio.Task[None] | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    def learn(self, job_id: str, value: dict[str, Any], revision: int) -> None:
        """Cache a job's record from a watch, a read, a failover or this controller's own write."""
        known = self.known.get(job_id)
        if known is not None and known.revision >= revision:
            return
        if value["status"] != JobStatus.QUEUED:
            self.known.pop(job_id, None)  # the front caches the final states
            return
        self.known[job_id] = known_job_of(value, revision)
        if len(self.known) > self.max_known:
            self.known.popitem(last=False)

    def forget(self, job_id: str) -> None:
        """Drop a job that has ended, as another controller has reported."""
        self.known.pop(job_id, None)

    @property
    def max_batch(self) -> int:
        """Most jobs in one check."""
        return self.store.max_compares

    @property
    def check_interval_s(self) -> float:
        """Seconds between the starts of two checks, within their share of the request rate."""
        return 1 / (CHECK_REQUEST_SHARE * self.store.request_limiter.per_s)

    async def ask(self, job_id: str) -> KnownJob | None:
        """Return a job's state as of a check that begins after the call; None if there is no job.

        A job that has ended is returned as well; the front learns of its end through `on_record`.

        Raises:
            StatusReaderBusyError: too many jobs are pending.
            StoreUnavailableError: the store did not answer properly.
        """
        future = self.pending.get(job_id)
        if future is None:
            if len(self.pending) >= self.max_batch * max(
                1.0, self.timeout_s / self.check_interval_s
            ):
                raise StatusReaderBusyError
            future = asyncio.get_running_loop().create_future()
            # Retrieves the exception, since all callers may have given up.
            future.add_done_callback(lambda done: done.cancelled() or done.exception())
            self.pending[job_id] = future
            if self.dispatcher is None or self.dispatcher.done():
                self.dispatcher = asyncio.create_task(self._dispatch())
        return await asyncio.shield(future)

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _dispatch(self) -> None:
        while self.pending:
            await asyncio.sleep(max(0.0, self.next_check_at - time.monotonic()))
            await self.check_slots.acquire()
            self.next_check_at = time.monotonic() + self.check_interval_s
            batch = {
                job_id: self.pending.pop(job_id) for job_id in list(self.pending)[: self.max_batch]
            }
            self._spawn(self._check(batch))

    async def _check(self, batch: dict[str, asyncio.Future[KnownJob | None]]) -> None:
        try:
            while batch:
                cached = {job_id: self.known.get(job_id) for job_id in batch}
                compare = {
                    f"job/{job_id}": known.revision if known else 0
                    for job_id, known in cached.items()
                }
                try:
                    await self.store.txn(compare, {}, priority=RequestPriority.USER)
                except CompareFailedError as error:
                    # A failed comparison says nothing of the other jobs: those are compared again.
                    changed = {path.split("/", 1)[1] for path in error.failed_keys} & batch.keys()
                    if not changed:
                        raise StoreUnavailableError(
                            "a comparison failed and did not say where"
                        ) from None
                    for job_id in changed:
                        # If the cached record has changed meanwhile, it is compared again.
                        if self.known.get(job_id) == cached[job_id]:
                            self._spawn(self._read(job_id, batch.pop(job_id)))
                    continue
                for job_id, future in batch.items():
                    if not future.done():
                        future.set_result(cached[job_id])
                return
        except StoreUnavailableError as error:
            for future in batch.values():
                if not future.done():
                    future.set_exception(error)
        finally:
            self.check_slots.release()

    async def _read(self, job_id: str, future: asyncio.Future[KnownJob | None]) -> None:
        try:
            async with self.read_slots:
                entry: Entry | None = await self.store.get(
                    f"job/{job_id}", priority=RequestPriority.BACKGROUND
                )
        except StoreUnavailableError as error:
            if not future.done():
                future.set_exception(error)
            return
        if entry is not None:
            self.on_record(job_id, entry.value, entry.revision)
        if not future.done():
            future.set_result(
                known_job_of(entry.value, entry.revision) if entry is not None else None
            )
