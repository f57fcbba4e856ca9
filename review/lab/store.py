"""A stand-in of the state service, with a port for each controller."""

from __future__ import annotations

import asyncio
import json
import time
from bisect import bisect_right
from typing import Any
from urllib.parse import parse_qs, unquote

from lab.record import Record
from lab.wire import MAX_REQUEST_BYTES, Answer, serve

LATENCY_S = 0.004
LIST_ENTRIES = 1000
LIST_BYTES = 512 * 1024


class TokenBucket:
    """A limit per second with a burst of one second's worth."""

    def __init__(self, per_s: float) -> None:
        """Start full."""
        self.per_s, self.tokens, self.at = per_s, per_s, time.monotonic()

    def take(self, amount: float) -> bool:
        """Take tokens if there are enough."""
        now = time.monotonic()
        self.tokens = min(self.per_s, self.tokens + (now - self.at) * self.per_s)
        self.at = now
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True


class Store:
    """Keys with revisions, leases, transactions and watches.

    Attributes:
        refused: labels of controllers that get 503 and whose open watches wait.
        keys: value, revision and lease by path.
        refused_watches: controller and prefix of each watch that was refused.
    """

    def __init__(self, record: Record, rps: float, write_rps: float, limits: tuple[int, int]):
        """Start empty; `limits`: bytes of a value, puts and deletes of a transaction."""
        self.record = record
        self.value_bytes, self.txn_ops = limits
        self.requests, self.writes = TokenBucket(rps), TokenBucket(write_rps)
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.revision = 0
        self.changes: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.last_lease = 0
        self.refused: set[str] = set()
        self.refused_watches: list[tuple[str, str]] = []
        self.changed = asyncio.Event()
        self.rate_refusals = 0

    async def start(self, label: str) -> int:
        """Serve one controller; return the port."""

        async def handle(method: str, target: str, body: bytes) -> Answer:
            return await self._handle(label, method, target, body)

        _, port = await serve(handle)
        return port

    async def expire_leases(self) -> None:
        """End the leases that were not renewed, until cancelled."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [name for name, (until, _) in self.leases.items() if until < now]:
                del self.leases[lease]
                self._apply(
                    [
                        {"delete": path}
                        for path, (_, _, holder) in self.keys.items()
                        if holder == lease
                    ]
                )

    def _apply(self, writes: list[dict[str, Any]]) -> None:
        if not writes:
            return
        self.revision += 1
        for write in writes:
            if "set" in write:
                path = write["set"]
                self.keys[path] = (write["value"], self.revision, write.get("permit"))
                self.changes.append({"set": path, "value": write["value"], "stamp": self.revision})
            elif self.keys.pop(write["delete"], None):
                self.changes.append({"delete": write["delete"], "stamp": self.revision})
        self.changed.set()
        self.changed = asyncio.Event()

    async def _handle(self, label: str, method: str, target: str, body: bytes) -> Answer:
        path, _, query = target.partition("?")
        asked = {name: values[0] for name, values in parse_qs(query).items()}
        if label in self.refused:
            if path == "/changes":
                self.refused_watches.append((label, asked["under"]))
            return Answer(503, {"error": "trouble"})
        if not self.requests.take(1):
            self.rate_refusals += 1
            return Answer(429, {"error": "too many"})
        if path == "/changes":
            return await self._watch(label, asked)
        await asyncio.sleep(LATENCY_S)
        if path == "/txn":
            if len(body) > MAX_REQUEST_BYTES:
                return Answer(400, {"error": "too large"})
            return self._txn(label, json.loads(body))
        if path.startswith("/holds"):
            return self._hold(method, path, body)
        if path == "/store":
            return self._list(asked)
        key = unquote(path.removeprefix("/store/"))
        if key not in self.keys:
            return Answer(404, {"ledger": self.revision})
        value, revision, lease = self.keys[key]
        return Answer(200, {"path": key, "value": value, "stamp": revision, "permit": lease})

    def _list(self, asked: dict[str, str]) -> Answer:
        found = sorted(
            path
            for path in self.keys
            if path.startswith(asked["under"]) and path > asked.get("from", "")
        )
        most = min(int(asked.get("most", LIST_ENTRIES)), LIST_ENTRIES)
        entries, size = [], 0
        for path in found[:most]:
            value, revision, _ = self.keys[path]
            entry = {"path": path, "value": value, "stamp": revision}
            size += len(json.dumps(entry))
            if size > LIST_BYTES:
                break
            entries.append(entry)
        return Answer(
            200,
            {"entries": entries, "truncated": len(entries) < len(found), "ledger": self.revision},
        )

    def _refusal(self, writes: list[dict[str, Any]]) -> Answer | None:
        if any("permit" in write and write["permit"] not in self.leases for write in writes):
            return Answer(400, {"error": "no such lease"})
        if len(writes) > self.txn_ops or any(
            len(json.dumps(write["value"], separators=(",", ":")).encode()) > self.value_bytes
            for write in writes
            if "set" in write
        ):
            return Answer(400, {"error": "too large"})
        if writes and not self.writes.take(len(writes)):
            self.rate_refusals += 1
            return Answer(429, {"error": "too many"})
        return None

    def _txn(self, label: str, body: dict[str, Any]) -> Answer:
        writes = body.get("writes") or []
        refusal = self._refusal(writes)
        if refusal is not None:
            return refusal
        failed = [
            when["path"]
            for when in body.get("when", [])
            if self.keys.get(when["path"], (None, 0, None))[1] != when["stamp"]
        ]
        if failed:
            if writes:
                self.record.write("store", f"{label} transaction failed on {','.join(failed)}")
            return Answer(409, {"failed": failed, "ledger": self.revision})
        if writes:
            self._apply(writes)
            paths = [write.get("set") or "-" + write["delete"] for write in writes]
            self.record.write(
                "store", f"{label} transaction {self.revision}: {' '.join(paths[:12])}"
            )
        return Answer(200, {"ledger": self.revision})

    def _hold(self, method: str, path: str, body: bytes) -> Answer:
        now = time.monotonic()
        if path == "/holds":
            ttl_s = json.loads(body)["ttl_ms"] / 1000
            self.last_lease += 1
            self.leases[self.last_lease] = (now + ttl_s, ttl_s)
            return Answer(200, {"permit": self.last_lease})
        lease = int(path.split("/")[2])
        if lease not in self.leases:
            return Answer(404, {"error": "no such lease"})
        ttl_s = self.leases[lease][1]
        self.leases[lease] = (now + (0.0 if method == "DELETE" else ttl_s), ttl_s)
        return Answer(200, {"permit": lease})

    async def _watch(self, label: str, asked: dict[str, str]) -> Answer:
        until = time.monotonic() + int(asked.get("hold_ms", "0")) / 1000
        after, prefix = int(asked["from"]), asked["under"]
        while True:
            changed, revision = self.changed, self.revision
            first = bisect_right(self.changes, after, key=lambda change: change["stamp"])
            news = [
                change
                for change in self.changes[first:]
                if (change.get("set") or change["delete"]).startswith(prefix)
            ]
            left_s = until - time.monotonic()
            if label in self.refused:
                left_s = 0.1  # "its open watches then wait as in an outage"
            elif news or left_s <= 0:
                await asyncio.sleep(LATENCY_S)
                if news:
                    self.record.write(
                        "store",
                        f"{label} watch {prefix} after {after}: {len(news)} changes",
                    )
                return Answer(200, {"ledger": revision, "news": news})
            try:
                async with asyncio.timeout(min(left_s, 0.1 if label in self.refused else left_s)):
                    await changed.wait()
            except TimeoutError:
                pass
