"""Stand-in of the state service: keys with revisions, transactions, leases and watches."""

from __future__ import annotations

import asyncio
import time
from bisect import bisect_right
from typing import Any
from urllib.parse import parse_qs, unquote

from wire import Reply, Server

LATENCY_S = 0.003
KEPT_CHANGES = 10_000
LEASE_POLL_S = 0.05


class Store:
    """A consistent store in memory, as the protocol describes it.

    Attributes:
        down: whether it answers 503 to everything; open watches wait, and leases do not end.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.server = Server(self.handle)
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.revision = 0
        self.changes: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}  # when it ends, its length
        self.last_lease = 0
        self.down = False
        self.changed = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Listen, and end leases."""
        await self.server.start()
        self.tasks.append(asyncio.create_task(self._end_leases()))

    async def _end_leases(self) -> None:
        while True:
            await asyncio.sleep(LEASE_POLL_S)
            now = time.monotonic()
            if self.down:
                self.leases = {k: (now + length, length) for k, (_, length) in self.leases.items()}
                continue
            for lease in [k for k, (ends_at, _) in self.leases.items() if ends_at < now]:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        attached = [path for path, (_, _, held) in self.keys.items() if held == lease]
        if attached:
            self._apply([{"delete": path} for path in attached])

    def _apply(self, writes: list[dict[str, Any]]) -> int:
        self.revision += 1
        for write in writes:
            if "set" in write:
                self.keys[write["set"]] = (write["value"], self.revision, write.get("permit"))
                self.changes.append(
                    {"set": write["set"], "value": write["value"], "stamp": self.revision}
                )
            elif self.keys.pop(write["delete"], None) is not None:
                self.changes.append({"delete": write["delete"], "stamp": self.revision})
        del self.changes[:-KEPT_CHANGES]
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    async def handle(self, method: str, target: str, body: Any) -> Reply:
        """Answer a request."""
        path, _, query = target.partition("?")
        parameters = {key: values[0] for key, values in parse_qs(query).items()}
        if path == "/changes":
            return await self._watch(parameters)
        await asyncio.sleep(LATENCY_S)
        if self.down:
            return Reply(503, {"error": "trouble"})
        if path == "/txn":
            return self._transaction(body)
        if path.startswith("/holds"):
            return self._lease(method, path, body)
        if path == "/store":
            return self._list(parameters)
        key = unquote(path.removeprefix("/store/"))
        if key not in self.keys:
            return Reply(404, {"ledger": self.revision})
        value, revision, lease = self.keys[key]
        return Reply(200, {"path": key, "value": value, "stamp": revision, "permit": lease})

    def _list(self, parameters: dict[str, str]) -> Reply:
        after, most = parameters.get("from", ""), min(int(parameters.get("most", 1000)), 1000)
        found = sorted(k for k in self.keys if k.startswith(parameters["under"]) and k > after)
        entries = [
            {"path": key, "value": self.keys[key][0], "stamp": self.keys[key][1]}
            for key in found[:most]
        ]
        return Reply(
            200, {"entries": entries, "truncated": len(found) > most, "ledger": self.revision}
        )

    def _transaction(self, body: Any) -> Reply:
        writes = body.get("writes") or []
        if any(
            "permit" in w and w["permit"] is not None and w["permit"] not in self.leases
            for w in writes
        ):
            return Reply(400, {"error": "no such lease"})
        failed = [
            condition["path"]
            for condition in body.get("when") or []
            if self.keys.get(condition["path"], (None, 0, None))[1] != condition["stamp"]
        ]
        if failed:
            return Reply(409, {"failed": failed, "ledger": self.revision})
        return Reply(200, {"ledger": self._apply(writes) if writes else self.revision})

    def _lease(self, method: str, path: str, body: Any) -> Reply:
        now = time.monotonic()
        if path == "/holds":
            self.last_lease += 1
            length = body["ttl_ms"] / 1000
            self.leases[self.last_lease] = (now + length, length)
            return Reply(200, {"permit": self.last_lease})
        lease = int(path.split("/")[2])
        if lease not in self.leases:
            return Reply(404, {})
        if method == "DELETE":
            self._end_lease(lease)
            return Reply(200, {})
        length = self.leases[lease][1]
        self.leases[lease] = (now + length, length)
        return Reply(200, {"permit": lease})

    async def _watch(self, parameters: dict[str, str]) -> Reply:
        after, prefix = int(parameters["from"]), parameters["under"]
        until = time.monotonic() + int(parameters.get("hold_ms", 0)) / 1000
        while True:
            changed = self.changed
            if (
                self.changes
                and self.changes[0]["stamp"] > after + 1
                and self.revision > KEPT_CHANGES
            ):
                return Reply(410, {})
            later = self.changes[bisect_right(self.changes, after, key=lambda c: c["stamp"]) :]
            news = [c for c in later if (c.get("set") or c["delete"]).startswith(prefix)]
            left_s = until - time.monotonic()
            if not self.down and (news or left_s <= 0):
                return Reply(200, {"ledger": self.revision, "news": news})
            try:
                async with asyncio.timeout(min(max(left_s, 0.05), 0.5)):
                    await changed.wait()
            except TimeoutError:
                pass
