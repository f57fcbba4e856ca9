"""Client of the store, the consensus-backed key-value store that holds all state that outlives a process.

Keys are read one at a time or by prefix, written by compare-and-swap, bound to store leases, and
watched. Each request waits for this controller's share of the rate that the store takes.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Collection, Mapping
from typing import TypeVar

import msgspec

from ashdock.core.write_limits import WriteLimits
from ashdock.net.http import Client, NoResponseError
from ashdock.net.rate_limiter import Demand, RateLimiter, RequestPriority, fair_share
from ashdock.net.store_errors import (
    CompareFailedError,
    LeaseLostError,
    StoreRateLimitedError,
    StoreUnavailableError,
    WatchExpiredError,
    WriteRefusedError,
)
from ashdock.net.store_messages import (
    Change,
    Compare,
    Delete,
    Entry,
    LeaseRequest,
    Put,
    TransactionRequest,
    Value,
    committed_decoder,
    compare_failed_decoder,
    entry_decoder,
    lease_decoder,
    list_decoder,
    watch_decoder,
)
from ashdock.settings import Shared

__all__ = [  # the errors and the entry belong to the client's interface
    "CompareFailedError",
    "Entry",
    "LeaseLostError",
    "StoreClient",
    "StoreRateLimitedError",
    "StoreUnavailableError",
    "WatchExpiredError",
    "WriteRefusedError",
]

log = logging.getLogger("ashdock.store")

Answer = TypeVar("Answer")

USABLE_RATE = 0.9  # of the store's limits; the rest is for requests in flight while shares change
REQUEST_SOCKETS = 12  # connections kept open for requests
WATCH_SOCKETS = 8  # connections kept open for watches; not available to requests
MIN_REQUEST_SOCKETS = 4
REQUESTS_PER_LEASE = 5  # a request may take this fraction of an agent lease
WATCH_MARGIN_S = 30  # how much longer than its wait a watch may take to be answered
PAGE_ENTRIES = 500  # of a list
MAX_COMPARES_BYTES = 60 * 1024  # of a transaction's body of at most 64 KiB
COMPARE_BYTES = 160  # of one on the longest key of a job
COMPARES_PER_WRITE = 4  # the store takes four times as many compares as puts and deletes

OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
CONFLICT = 409
GONE = 410
TOO_MANY_REQUESTS = 429
SERVER_ERRORS = 500  # this status and all above it
UNKNOWN_LEASE = b"no such lease"  # in the answer to a transaction whose lease has expired


def _usable_rate(limits: WriteLimits) -> Demand:
    """Requests and writes a second that all controllers together may send."""
    return Demand(limits.rps * USABLE_RATE, limits.write_rps * USABLE_RATE)


class StoreClient:
    """Reads, writes and watches keys, at this controller's share of the store's rate.

    Attributes:
        usable_rate: what all controllers together may send a second.
        request_limiter: rate limiter of requests.
        write_limiter: rate limiter of puts and deletes, of which a transaction has many.
        unavailable_since: monotonic time of the first failed request since the last proper answer.
    """

    def __init__(
        self,
        host: str,
        port: int,
        shared: Shared,
        write_limits: WriteLimits,
        max_sockets: int = 0,
        weights: Mapping[str, float] | None = None,
    ) -> None:
        """Open no connection yet.

        Args:
            host: the store's host.
            port: the store's port.
            shared: the settings that all controllers have in common.
            write_limits: what the store takes in one transaction and in one second.
            max_sockets: bound of the open connections; 0: none.
            weights: of the teams, in the queues of both rate limiters.
        """
        self.write_limits = write_limits
        max_requests = max(max_sockets - WATCH_SOCKETS, MIN_REQUEST_SOCKETS) if max_sockets else 0
        self.client = Client(host, port, max_idle=REQUEST_SOCKETS, max_connections=max_requests)
        self.watch_client = Client(host, port, max_idle=WATCH_SOCKETS)
        self.controllers = shared.size
        self.usable_rate = _usable_rate(write_limits)
        self.request_limiter = RateLimiter(
            self.usable_rate.requests / self.controllers, weights=weights
        )
        self.write_limiter = RateLimiter(
            self.usable_rate.writes / self.controllers, weights=weights
        )
        self.timeout_s = shared.workers.lease_s / REQUESTS_PER_LEASE
        self.answered_at = time.monotonic()  # start of the last request with a proper answer
        self.unavailable_since: float | None = None

    def apply_write_limits(self) -> None:
        """Scale this controller's rates after the write limits have changed."""
        before, self.usable_rate = self.usable_rate, _usable_rate(self.write_limits)
        self.request_limiter.per_s *= self.usable_rate.requests / before.requests
        self.write_limiter.per_s *= self.usable_rate.writes / before.writes

    @property
    def max_compares(self) -> int:
        """The most compares of one transaction."""
        return min(COMPARES_PER_WRITE * self.write_limits.ops, MAX_COMPARES_BYTES // COMPARE_BYTES)

    @property
    def demand(self) -> Demand:
        """Requests and writes a second that this controller has been asking for."""
        return Demand(self.request_limiter.demand, self.write_limiter.demand)

    def update_fair_share(self, others: list[Demand | None]) -> None:
        """Set this controller's rates by its demand and that of the others.

        The leader, or the owner of the larger shards, has more to write than the rest.

        Args:
            others: of each other controller that may be alive; None: not heard of.
        """
        demand = self.demand
        self.request_limiter.per_s = fair_share(
            self.usable_rate.requests,
            self.controllers,
            demand.requests,
            [other and other.requests for other in others],
        )
        self.write_limiter.per_s = fair_share(
            self.usable_rate.writes,
            self.controllers,
            demand.writes,
            [other and other.writes for other in others],
        )

    @property
    def silent_for(self) -> float:
        """Seconds since the start of the last request that was answered properly."""
        return time.monotonic() - self.answered_at

    @property
    def sockets(self) -> int:
        """Open connections."""
        return self.client.sockets + self.watch_client.sockets

    async def _call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        timeout: float | None = None,
        watch: bool = False,
        skip_queue: bool = False,
    ) -> tuple[int, bytes]:
        """Send a request; its status, if that is no failure of the store, and the answer's body."""
        started_at = time.monotonic()
        client = self.watch_client if watch else self.client
        try:
            status, answer = await client.request(
                method, target, body, timeout or self.timeout_s, skip_queue=skip_queue
            )
        except NoResponseError as error:
            self._note_failure(str(error))
            raise StoreUnavailableError(str(error), outcome_unknown=error.sent) from None
        if status == TOO_MANY_REQUESTS:
            raise StoreRateLimitedError.from_status(status)
        if status >= SERVER_ERRORS:
            failure = StoreUnavailableError.from_status(status)
            self._note_failure(str(failure))
            raise failure
        if not watch:  # a watch is answered long after it was asked
            self._note_answer(started_at)
        return status, answer

    def _note_answer(self, started_at: float) -> None:
        self.answered_at = max(self.answered_at, started_at)
        if self.unavailable_since is not None:
            outage_s = time.monotonic() - self.unavailable_since
            log.info("store answers again: outage_s=%.1f", outage_s)
            self.unavailable_since = None

    def _note_failure(self, reason: str) -> None:
        if self.unavailable_since is None:
            self.unavailable_since = time.monotonic()
            log.info("store does not answer: reason=%s", reason)

    @staticmethod
    def _decode(decoder: msgspec.json.Decoder[Answer], answer: bytes) -> Answer:
        try:
            return decoder.decode(answer)
        except msgspec.DecodeError as error:
            reason = f"answer not understood: {error}"
            raise StoreUnavailableError(reason, outcome_unknown=True) from None

    async def get(
        self, path: str, priority: RequestPriority = RequestPriority.NORMAL
    ) -> Entry | None:
        """Read a key; None if there is no such key.

        Raises:
            StoreUnavailableError: it could not be read.
        """
        await self.request_limiter.acquire(1, priority)
        status, answer = await self._call("GET", f"/store/{path}")
        if status == NOT_FOUND:
            return None
        if status != OK:
            raise StoreUnavailableError.from_status(status)
        found = self._decode(entry_decoder, answer)
        return Entry(path, found.value, found.revision)

    async def list_prefix(
        self, prefix: str, priority: RequestPriority = RequestPriority.NORMAL
    ) -> tuple[list[Entry], int]:
        """Read all keys with the prefix, in order, page by page.

        Returns:
            The entries, and the store's revision at the first page: all changes up to it are in the
            list, later ones may be.

        Raises:
            StoreUnavailableError: a page could not be read.
        """
        entries: list[Entry] = []
        after = ""
        revision: int | None = None
        while True:
            await self.request_limiter.acquire(1, priority)
            target = f"/store?under={prefix}&most={PAGE_ENTRIES}"
            if after:
                target += f"&from={after}"
            status, answer = await self._call("GET", target)
            if status != OK:
                raise StoreUnavailableError.from_status(status)
            page = self._decode(list_decoder, answer)
            revision = page.revision if revision is None else revision
            entries += [Entry(entry.path, entry.value, entry.revision) for entry in page.entries]
            if not page.truncated or not page.entries:
                return entries, revision or 0
            after = page.entries[-1].path

    async def txn(
        self,
        compare: Mapping[str, int],
        writes: Mapping[str, Value],
        lease: int | None = None,
        priority: RequestPriority = RequestPriority.NORMAL,
        team: str = "",
        unleased: Collection[str] = (),
    ) -> int:
        """Apply all writes if every key compared has the revision given (compare-and-swap).

        Args:
            compare: the expected revision by key; 0: there must be no such key.
            writes: the new value by key; None deletes.
            lease: store lease on which the keys written go when it expires.
            priority: in the queues of the rate limiters.
            team: for whom the transaction is, in the queues of the rate limiters.
            unleased: keys that stay although there is a lease.

        Returns:
            The revision of the keys written.

        Raises:
            CompareFailedError: a revision differs; nothing was written.
            LeaseLostError: the lease has expired; nothing was written.
            StoreRateLimitedError: the store takes no more in this second; nothing was written.
            WriteRefusedError: the transaction is too large; nothing was written.
            StoreUnavailableError: no proper answer; it may have been applied if `outcome_unknown`.
        """
        if writes:  # one that only compares must not wait behind others' writes
            await self.write_limiter.acquire(len(writes), priority, team)
        await self.request_limiter.acquire(1, priority, team)
        request = self._transaction(compare, writes, lease, unleased)
        try:
            status, answer = await self._call("POST", "/txn", msgspec.json.encode(request))
        except StoreRateLimitedError:
            # A limit is lower than configured, or others use more of it: saved tokens are not spent on top.
            (self.write_limiter if writes else self.request_limiter).drain()
            raise
        if status == OK:
            return self._decode(committed_decoder, answer).revision
        if status == CONFLICT:
            failed_keys = self._decode(compare_failed_decoder, answer).failed_keys
            raise CompareFailedError(failed_keys, compare)
        if status != BAD_REQUEST:
            raise StoreUnavailableError.from_status(status, answer)
        if UNKNOWN_LEASE in answer:
            raise LeaseLostError(lease)
        self._lower_write_limits(writes)
        raise WriteRefusedError.from_status(status, answer)

    @staticmethod
    def _transaction(
        compare: Mapping[str, int],
        writes: Mapping[str, Value],
        lease: int | None,
        unleased: Collection[str],
    ) -> TransactionRequest:
        conditions = [Compare(path, revision) for path, revision in compare.items()]
        if not writes:
            return TransactionRequest(conditions)
        changes: list[Put | Delete] = [
            Delete(path) if value is None else Put(path, value, None if path in unleased else lease)
            for path, value in writes.items()
        ]
        return TransactionRequest(conditions, changes)

    def _lower_write_limits(self, writes: Mapping[str, Value]) -> None:
        largest = max((len(msgspec.json.encode(value)) for value in writes.values()), default=0)
        self.write_limits.lower_after_refusal(len(writes), largest)

    async def grant_lease(self, ttl_ms: int) -> int:
        """Create a store lease that expires `ttl_ms` milliseconds after its last renewal.

        Returns:
            The lease's number.

        Raises:
            StoreUnavailableError: no proper answer; a lease that was granted all the same expires unused.
        """
        await self.request_limiter.acquire(1, RequestPriority.USER)
        body = msgspec.json.encode(LeaseRequest(ttl_ms))
        status, answer = await self._call("POST", "/holds", body, skip_queue=True)
        if status != OK:
            raise StoreUnavailableError.from_status(status)
        return self._decode(lease_decoder, answer).lease

    async def renew_lease(self, lease: int, timeout: float) -> None:
        """Renew a store lease. Does not wait for the rate limiter: a lease must not expire in a queue.

        Raises:
            LeaseLostError: it has expired.
            StoreUnavailableError: no proper answer within `timeout` seconds.
        """
        self.request_limiter.try_acquire(1)
        status, _ = await self._call(
            "POST", f"/holds/{lease}/renew", timeout=timeout, skip_queue=True
        )
        if status == NOT_FOUND:
            raise LeaseLostError(lease)
        if status != OK:
            raise StoreUnavailableError.from_status(status)

    async def watch(
        self, prefix: str, after_revision: int, wait_ms: int
    ) -> tuple[list[Change], int]:
        """Wait for changes of keys with the prefix, for `wait_ms` milliseconds at most.

        Returns:
            The changes after the revision given, in order, and the revision up to which these are all.

        Raises:
            WatchExpiredError: the store no longer has all changes since that revision.
            StoreUnavailableError: no proper answer.
        """
        await self.request_limiter.acquire(1)
        target = f"/changes?under={prefix}&from={after_revision}&hold_ms={wait_ms}"
        timeout_s = wait_ms / 1000 + WATCH_MARGIN_S
        status, answer = await self._call("GET", target, timeout=timeout_s, watch=True)
        if status == GONE:
            raise WatchExpiredError(prefix, after_revision)
        if status != OK:
            raise StoreUnavailableError.from_status(status)
        page = self._decode(watch_decoder, answer)
        return page.changes, page.revision
