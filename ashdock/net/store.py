"""The state service's end."""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections.abc import Collection, Mapping
from typing import Any, NamedTuple

import msgspec
from msgspec import Struct, field

from ashdock.core.write_limits import WriteLimits
from ashdock.net.http import Client, NoAnswer
from ashdock.net.rate_limiter import Demand, RateLimiter, RequestPriority, shares
from ashdock.net.store_errors import (
    CompareFailedError,
    LeaseLostError,
    StoreRateLimitedError,
    StoreUnavailableError,
    WatchExpiredError,
    WriteRefusedError,
)
from ashdock.settings import Shared

__all__ = [
    "CompareFailedError",
    "Entry",
    "LeaseLostError",
    "StoreClient",
    "StoreRateLimitedError",
    "StoreUnavailableError",
    "WatchCache",
    "WatchExpiredError",
    "WriteRefusedError",
]

log = logging.getLogger("ashdock.state")


CONDITION_BYTES = 160  # of one on the longest key of a job


class Entry(NamedTuple):
    path: str
    value: Any
    revision: int


class _Entry(Struct):
    path: str
    revision: int = field(name="stamp")
    value: Any = None


class _List(Struct):
    entries: list[_Entry]
    revision: int = field(name="ledger")
    truncated: bool = False


class _Committed(Struct):
    revision: int = field(name="ledger")


class _Failed(Struct):
    failed: list[str] = []


class _Lease(Struct):
    permit: int


class Change(Struct):
    revision: int = field(name="stamp")
    set: str | None = None
    delete: str | None = None
    value: Any = None


class _News(Struct):
    revision: int = field(name="ledger")
    news: list[Change] = []


_entry = msgspec.json.Decoder(_Entry)
_list = msgspec.json.Decoder(_List)
_committed = msgspec.json.Decoder(_Committed)
_failed = msgspec.json.Decoder(_Failed)
_permit = msgspec.json.Decoder(_Lease)
_news = msgspec.json.Decoder(_News)


class StoreClient:
    def __init__(
        self,
        host: str,
        port: int,
        shared: Shared,
        write_limits: WriteLimits,
        most: int = 0,
        weights: Mapping[str, float] | None = None,
    ) -> None:
        """`weights`: of the teams, in each line for what the service takes a second."""
        self.write_limits = write_limits
        self.client = Client(
            host, port, keep=12, most=max(most - 8, 4) if most else 0
        )  # less the watches
        self.watcher = Client(host, port, keep=8)
        self.size = shared.size
        # A tenth is left for what is in flight while the shares are told anew.
        self.all = Demand(write_limits.rps * 0.9, write_limits.write_rps * 0.9)
        self.requests = RateLimiter(self.all.requests / self.size, weights=weights)
        self.writes = RateLimiter(self.all.writes / self.size, weights=weights)
        self.timeout = shared.workers.lease_s / 5
        self.ok_at = time.monotonic()  # when it last answered us properly
        self.bad_since: float | None = None

    def apply_write_limits(self) -> None:
        """The bounds are other ones now."""
        before, self.all = (
            self.all,
            Demand(self.write_limits.rps * 0.9, self.write_limits.write_rps * 0.9),
        )
        self.requests.per_s *= self.all.requests / before.requests
        self.writes.per_s *= self.all.writes / before.writes

    @property
    def most_conditions(self) -> int:
        """Four times as many conditions as puts and deletes, as far as they fit into 64 KiB."""
        return min(4 * self.write_limits.ops, 60 * 1024 // CONDITION_BYTES)

    @property
    def demand(self) -> Demand:
        return Demand(self.requests.demand, self.writes.demand)

    def share_with(self, others: list[Demand | None]) -> None:
        """Whoever leads, or owns the larger part, has more to write than the rest: shares follow demand."""
        ours = self.demand
        self.requests.per_s = shares(
            self.all.requests,
            self.size,
            ours.requests,
            [other and other.requests for other in others],
        )
        self.writes.per_s = shares(
            self.all.writes, self.size, ours.writes, [other and other.writes for other in others]
        )

    @property
    def silent_for(self) -> float:
        return time.monotonic() - self.ok_at

    @property
    def sockets(self) -> int:
        return self.client.sockets + self.watcher.sockets

    async def _call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        timeout: float | None = None,
        watch: bool = False,
        first: bool = False,
    ) -> tuple[int, bytes]:
        started = time.monotonic()
        try:
            client = self.watcher if watch else self.client
            status, answer = await client.request(
                method, target, body, timeout or self.timeout, first=first
            )
        except NoAnswer as why:
            self._bad(str(why))
            raise StoreUnavailableError(str(why), why.sent) from None
        if status in (429, 503) or status >= 500:
            if status == 429:
                raise StoreRateLimitedError.from_status(status)
            self._bad(f"status {status}")
            raise StoreUnavailableError.from_status(status)
        if not watch:
            self.ok_at = max(self.ok_at, started)
            if self.bad_since is not None:
                log.info(
                    "the state service answers again after %.1f s",
                    time.monotonic() - self.bad_since,
                )
                self.bad_since = None
        return status, answer

    def _bad(self, why: str) -> None:
        if self.bad_since is None:
            self.bad_since = time.monotonic()
            log.info("the state service does not answer: %s", why)

    @staticmethod
    def _decode(decoder: msgspec.json.Decoder[Any], answer: bytes) -> Any:
        try:
            return decoder.decode(answer)
        except msgspec.DecodeError as why:
            raise StoreUnavailableError(
                f"answer not understood: {why}", outcome_unknown=True
            ) from None

    async def get(
        self, path: str, priority: RequestPriority = RequestPriority.NORMAL
    ) -> Entry | None:
        await self.requests.wait(1, priority)
        status, answer = await self._call("GET", f"/store/{path}")
        if status == 404:
            return None
        if status != 200:
            raise StoreUnavailableError.from_status(status)
        entry = self._decode(_entry, answer)
        return Entry(path, entry.value, entry.revision)

    async def under(
        self, under: str, priority: RequestPriority = RequestPriority.NORMAL
    ) -> tuple[list[Entry], int]:
        """All keys with the prefix, and a revision that the whole list takes in or precedes."""
        out: list[Entry] = []
        after = ""
        revision: int | None = None
        while True:
            await self.requests.wait(1, priority)
            target = f"/store?under={under}&most=500" + (f"&from={after}" if after else "")
            status, answer = await self._call("GET", target)
            if status != 200:
                raise StoreUnavailableError.from_status(status)
            page = self._decode(_list, answer)
            revision = page.revision if revision is None else revision
            out += [Entry(entry.path, entry.value, entry.revision) for entry in page.entries]
            if not page.truncated or not page.entries:
                return out, revision or 0
            after = page.entries[-1].path

    async def txn(
        self,
        when: dict[str, int],
        writes: dict[str, Any],
        hold: int | None = None,
        priority: RequestPriority = RequestPriority.NORMAL,
        team: str = "",
        unleased: Collection[str] = (),
    ) -> int:
        """Apply the writes (None deletes) if every revision holds. With a `hold` they end with it, but for those that are to stay. The
        revision, or Conflict or Unavailable."""
        if writes:  # one that only compares must not wait behind others' writes
            await self.writes.wait(len(writes), priority, team)
        await self.requests.wait(1, priority, team)
        body: dict[str, Any] = {
            "when": [{"path": path, "stamp": revision} for path, revision in when.items()]
        }
        if writes:
            body["writes"] = [
                self._write(path, value, None if path in unleased else hold)
                for path, value in writes.items()
            ]
        try:
            status, answer = await self._call("POST", "/txn", msgspec.json.encode(body))
        except StoreRateLimitedError:
            # One of the limits is lower than we think, or others use more of it: what is saved up is not spent on top.
            (self.writes if writes else self.requests).spend()
            raise
        if status == 200:
            return int(self._decode(_committed, answer).revision)
        if status == 409:
            raise CompareFailedError(self._decode(_failed, answer).failed, when)
        if status == 400 and b"no such lease" in answer:
            raise LeaseLostError(hold)
        if status == 400:
            self.write_limits.refused(
                len(writes),
                max((len(msgspec.json.encode(value)) for value in writes.values()), default=0),
            )
            raise WriteRefusedError.from_status(status, answer)
        raise StoreUnavailableError.from_status(status, answer)

    @staticmethod
    def _write(path: str, value: Any, hold: int | None) -> dict[str, Any]:
        if value is None:
            return {"delete": path}
        write = {"set": path, "value": value}
        if hold is not None:
            write["permit"] = hold
        return write

    async def hold(self, ttl_ms: int) -> int:
        await self.requests.wait(1, RequestPriority.USER)
        status, answer = await self._call(
            "POST", "/holds", msgspec.json.encode({"ttl_ms": ttl_ms}), first=True
        )
        if status != 200:
            raise StoreUnavailableError.from_status(status)
        return int(self._decode(_permit, answer).permit)

    async def renew(self, hold: int, timeout: float) -> None:
        self.requests.take(1)
        status, _ = await self._call("POST", f"/holds/{hold}/renew", timeout=timeout, first=True)
        if status == 404:
            raise LeaseLostError(hold)
        if status != 200:
            raise StoreUnavailableError.from_status(status)

    async def changes(self, under: str, after: int, hold_ms: int) -> tuple[list[Change], int]:
        await self.requests.wait(1)
        target = f"/changes?under={under}&from={after}&hold_ms={hold_ms}"
        status, answer = await self._call("GET", target, timeout=hold_ms / 1000 + 30, watch=True)
        if status == 410:
            raise WatchExpiredError(under, after)
        if status != 200:
            raise StoreUnavailableError.from_status(status)
        news = self._decode(_news, answer)
        return news.news, news.revision


class WatchCache:
    """A prefix kept in memory by watching it. Behind the store by a few milliseconds, or by an outage."""

    def __init__(
        self, store: StoreClient, under: str, keep: bool = True, hold_ms: int = 20_000
    ) -> None:
        self.store = store
        self.keep = keep  # if not, only changes from now on are passed on, and nothing is held
        self.under = under
        self.hold_ms = hold_ms
        self.entries: dict[str, Entry] = {}
        self.deleted: dict[
            str, int
        ] = {}  # by ourselves, at what revision, until the watch has come so far
        self.revision = 0
        self.ready = asyncio.Event()
        self.news: list[Any] = []  # called with (path, value or None, revision)
        self.on_gap: Any = None  # called when changes were missed that nothing here can make up for
        self.whole_since = math.inf  # no change has been missed since
        self.known_at = -math.inf  # all changes up to then have been passed on

    def on_change(self, call: Any) -> None:
        self.news.append(call)

    def _apply(self, path: str, value: Any, revision: int) -> None:
        known = self.entries.get(path)
        if (known and known.revision >= revision) or self.deleted.get(path, 0) >= revision:
            return  # older than our own write, which the watch has not come to yet: a machine released was back for a moment
        if value is None:
            self.entries.pop(path, None)
        elif self.keep:
            self.entries[path] = Entry(path, value, revision)
        for call in self.news:
            call(path, value, revision)

    def wrote(self, path: str, value: Any, revision: int) -> None:
        """Our own write, taken in without waiting for the watch to bring it back."""
        if revision > self.revision:
            self._apply(path, value, revision)
            if value is None and self.keep:
                self.deleted[path] = revision

    async def run(self) -> None:
        pause = 0.05
        while True:
            try:
                if not self.ready.is_set():
                    await self._read()
                    self.whole_since = time.monotonic()
                asked = time.monotonic()
                news, revision = await self.store.changes(self.under, self.revision, self.hold_ms)
                for change in news:
                    if change.set is not None:
                        self._apply(change.set, change.value, change.revision)
                    elif change.delete is not None:
                        self._apply(change.delete, None, change.revision)
                self.revision = max(self.revision, revision)
                self.known_at = asked
                if self.deleted:
                    self.deleted = {
                        path: revision
                        for path, revision in self.deleted.items()
                        if revision > self.revision
                    }
                pause = 0.05
                if news:
                    # Each watch opened is a request: where changes come by the dozen a second, they are taken by the bunch.
                    await asyncio.sleep(4 / self.store.all.requests * self.store.size)
            except WatchExpiredError:
                self.ready.clear()
                self.whole_since = math.inf
                if self.on_gap:
                    self.on_gap()
            except StoreUnavailableError:
                await asyncio.sleep(pause)
                pause = min(pause * 2, 1.0)

    async def _read(self) -> None:
        if not self.keep:
            _, self.revision = await self.store.under("leader")
            self.ready.set()
            return
        entries, revision = await self.store.under(self.under)
        found = {entry.path for entry in entries}
        for path in [path for path in self.entries if path not in found]:
            self._apply(path, None, revision)
        for entry in entries:
            self._apply(*entry)
        self.revision = revision
        self.ready.set()
