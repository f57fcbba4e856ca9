"""Client of the store, a consensus-backed key-value store with all state that outlives a process.

Keys are read one at a time or by prefix, written by compare-and-swap, bound to store leases, and
watched. Requests wait for this controller's share of the rate that the store accepts.
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

__all__ = [  # the errors and `Entry` are part of the client's interface
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

Decoded = TypeVar("Decoded")

# Fraction of the store's limits. The rest is for requests in flight while the shares change.
USABLE_RATE = 0.9
MAX_IDLE_REQUEST_SOCKETS = 12
WATCH_SOCKETS = 8  # connections kept for watches; other requests do not use them
MIN_REQUEST_SOCKETS = 4  # even if the limit of the open connections is lower
REQUESTS_PER_LEASE = 5  # a request times out after this fraction of a worker lease
WATCH_MARGIN_S = 30  # how much longer than its wait a watch may take to be answered
PAGE_ENTRIES = 500  # of a list
MAX_COMPARES_BYTES = 60 * 1024  # in the body of a transaction, which has 64 KiB at most
COMPARE_BYTES = 160  # size of a compare with the longest key of a job
COMPARES_PER_WRITE = 4  # the store accepts four times as many compares as puts and deletes

OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
CONFLICT = 409
GONE = 410
TOO_MANY_REQUESTS = 429
MIN_SERVER_ERROR = 500
UNKNOWN_LEASE = b"no such lease"  # in the response to a transaction whose lease has expired


def _usable_rate(limits: WriteLimits) -> Demand:
    """Return the requests and writes per second that all controllers together may send."""
    return Demand(limits.rps * USABLE_RATE, limits.write_rps * USABLE_RATE)


class StoreClient:
    """Reads, writes and watches keys, at this controller's share of the store's rate.

    Attributes:
        write_limits: what the store accepts in one transaction and in one second.
        client: HTTP client of all requests but watches.
        watch_client: HTTP client of watches.
        controllers: number of controllers that share the store's rate.
        usable_rate: requests and writes per second that all controllers together may send.
        request_limiter: rate limiter of requests.
        write_limiter: rate limiter of puts and deletes, of which a transaction may have several.
        timeout_s: default timeout of a request.
        answered_at: monotonic start time of the last request that the store answered. Watches and
            responses with status 429, or 500 and above, do not count.
        unavailable_since: monotonic time of the first failed request since then; None if there was
            none. A request with status 429 has not failed.
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
            write_limits: what the store accepts in one transaction and in one second.
            max_sockets: limit of the open connections; 0: no limit.
            weights: weight of each team in the queues of both rate limiters.
        """
        self.write_limits = write_limits
        max_requests = max(max_sockets - WATCH_SOCKETS, MIN_REQUEST_SOCKETS) if max_sockets else 0
        self.client = Client(
            host, port, max_idle=MAX_IDLE_REQUEST_SOCKETS, max_connections=max_requests
        )
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
        self.answered_at = time.monotonic()
        self.unavailable_since: float | None = None

    def apply_write_limits(self) -> None:
        """Scale this controller's rates after the rates in the write limits have changed."""
        previous, self.usable_rate = self.usable_rate, _usable_rate(self.write_limits)
        self.request_limiter.per_s *= self.usable_rate.requests / previous.requests
        self.write_limiter.per_s *= self.usable_rate.writes / previous.writes

    @property
    def max_compares(self) -> int:
        """Maximum number of compares in one transaction."""
        return min(COMPARES_PER_WRITE * self.write_limits.ops, MAX_COMPARES_BYTES // COMPARE_BYTES)

    @property
    def demand(self) -> Demand:
        """Weighted requests and writes per second that this controller makes or waits for."""
        return Demand(self.request_limiter.demand, self.write_limiter.demand)

    def update_fair_share(self, others: list[Demand | None]) -> None:
        """Set this controller's rates by its demand and that of the others.

        Equal shares would not do: the leader and the owners of larger shards have more to write.

        Args:
            others: demand of each other controller that may be alive; None: not known.
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
        """Seconds since the start of the last request that the store answered."""
        return time.monotonic() - self.answered_at

    @property
    def sockets(self) -> int:
        """Number of open connections."""
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
        """Send a request and return the status and the body of the response.

        Raises:
            StoreRateLimitedError: the status is 429.
            StoreUnavailableError: there was no response, or the status is 500 or above.
        """
        started_at = time.monotonic()
        client = self.watch_client if watch else self.client
        try:
            status, body_received = await client.request(
                method, target, body, timeout or self.timeout_s, skip_queue=skip_queue
            )
        except NoResponseError as error:
            self._note_failure(str(error))
            raise StoreUnavailableError(str(error), outcome_unknown=error.sent) from None
        if status == TOO_MANY_REQUESTS:
            raise StoreRateLimitedError.from_status(status)
        if status >= MIN_SERVER_ERROR:
            failure = StoreUnavailableError.from_status(status)
            self._note_failure(str(failure))
            raise failure
        if not watch:  # a watch may be answered long after its start
            self._note_response(started_at)
        return status, body_received

    def _note_response(self, started_at: float) -> None:
        self.answered_at = max(self.answered_at, started_at)
        if self.unavailable_since is not None:
            outage_s = time.monotonic() - self.unavailable_since
            log.info("store available again: outage_s=%.1f", outage_s)
            self.unavailable_since = None

    def _note_failure(self, reason: str) -> None:
        if self.unavailable_since is None:
            self.unavailable_since = time.monotonic()
            log.info("store unavailable: reason=%s", reason)

    @staticmethod
    def _decode(decoder: msgspec.json.Decoder[Decoded], body: bytes) -> Decoded:
        try:
            return decoder.decode(body)
        except msgspec.DecodeError as error:
            reason = f"answer not understood: {error}"
            raise StoreUnavailableError(reason, outcome_unknown=True) from None

    async def get(
        self, path: str, priority: RequestPriority = RequestPriority.NORMAL
    ) -> Entry | None:
        """Read a key; None if there is no such key.

        Raises:
            StoreUnavailableError: the key could not be read.
        """
        await self.request_limiter.acquire(1, priority)
        status, body = await self._call("GET", f"/store/{path}")
        if status == NOT_FOUND:
            return None
        if status != OK:
            raise StoreUnavailableError.from_status(status)
        found = self._decode(entry_decoder, body)
        return Entry(path, found.value, found.revision)

    async def list_prefix(
        self, prefix: str, priority: RequestPriority = RequestPriority.NORMAL
    ) -> tuple[list[Entry], int]:
        """Read all keys with the prefix, in order, page by page.

        Returns:
            The entries, and the store's revision at the first page: the entries include all changes
            up to it, and perhaps later ones.

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
            status, body = await self._call("GET", target)
            if status != OK:
                raise StoreUnavailableError.from_status(status)
            page = self._decode(list_decoder, body)
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
        """Apply all writes if each compared key has the expected revision (compare-and-swap).

        Args:
            compare: the expected revision by key; 0: there must be no such key.
            writes: the new value by key; None deletes the key.
            lease: store lease to bind the written keys to; the store deletes them when it expires.
            priority: priority in the queues of the rate limiters.
            team: team that the transaction belongs to in the queues of the rate limiters.
            unleased: keys that are not bound to the lease.

        Returns:
            The revision of the written keys.

        Raises:
            CompareFailedError: a revision differs; nothing was written.
            LeaseLostError: the lease has expired; nothing was written.
            StoreRateLimitedError: the store accepts no more in this second; nothing was written.
            WriteRefusedError: the transaction is too large; nothing was written.
            StoreUnavailableError: the request failed; if `outcome_unknown` is set, the transaction
                may have been applied.
        """
        if writes:  # a transaction that only compares must not wait behind the writes of others
            await self.write_limiter.acquire(len(writes), priority, team)
        await self.request_limiter.acquire(1, priority, team)
        request = self._transaction(compare, writes, lease, unleased)
        try:
            status, body = await self._call("POST", "/txn", msgspec.json.encode(request))
        except StoreRateLimitedError:
            # A limit is lower than configured, or other controllers use more of it than their
            # share: requests sent on the saved tokens would be refused too.
            (self.write_limiter if writes else self.request_limiter).drain()
            raise
        if status == OK:
            return self._decode(committed_decoder, body).revision
        if status == CONFLICT:
            failed_keys = self._decode(compare_failed_decoder, body).failed_keys
            raise CompareFailedError(failed_keys, compare)
        if status != BAD_REQUEST:
            raise StoreUnavailableError.from_status(status, body)
        if UNKNOWN_LEASE in body:
            raise LeaseLostError(lease)
        self._lower_write_limits(writes)
        raise WriteRefusedError.from_status(status, body)

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
        largest_bytes = max(
            (len(msgspec.json.encode(value)) for value in writes.values()), default=0
        )
        self.write_limits.lower_after_refusal(len(writes), largest_bytes)

    async def grant_lease(self, ttl_ms: int) -> int:
        """Create a store lease that expires `ttl_ms` milliseconds after its last renewal.

        Returns:
            The lease's ID.

        Raises:
            StoreUnavailableError: the request failed; a lease that was granted nevertheless expires
                unused.
        """
        await self.request_limiter.acquire(1, RequestPriority.USER)
        request = msgspec.json.encode(LeaseRequest(ttl_ms))
        status, body = await self._call("POST", "/holds", request, skip_queue=True)
        if status != OK:
            raise StoreUnavailableError.from_status(status)
        return self._decode(lease_decoder, body).lease

    async def renew_lease(self, lease: int, timeout: float) -> None:
        """Renew a store lease without waiting in the rate limiter's queue, where it might expire.

        Raises:
            LeaseLostError: the lease has expired.
            StoreUnavailableError: the request failed, or took longer than `timeout` seconds.
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
            The changes after `after_revision`, in order, and the revision up to which they are
            complete.

        Raises:
            WatchExpiredError: the store no longer has all changes since that revision.
            StoreUnavailableError: the request failed.
        """
        await self.request_limiter.acquire(1)
        target = f"/changes?under={prefix}&from={after_revision}&hold_ms={wait_ms}"
        timeout_s = wait_ms / 1000 + WATCH_MARGIN_S
        status, body = await self._call("GET", target, timeout=timeout_s, watch=True)
        if status == GONE:
            raise WatchExpiredError(prefix, after_revision)
        if status != OK:
            raise StoreUnavailableError.from_status(status)
        page = self._decode(watch_decoder, body)
        return page.changes, page.revision
