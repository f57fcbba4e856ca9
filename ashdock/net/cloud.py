"""The cloud's end: what the leader asks of it."""

from __future__ import annotations

import logging
from collections.abc import Callable
from urllib.parse import quote

import msgspec

from ashdock.net.http import Client, NoAnswer
from ashdock.net.rate_limiter import RateLimiter, RequestPriority
from ashdock.settings import Shared
from ashdock.wire.messages import (
    Catalog,
    Host,
    Hosts,
    MachineType,
    ReleaseRequest,
    RentalRequest,
    Rented,
)

log = logging.getLogger("ashdock.cloud")

_catalog = msgspec.json.Decoder(Catalog)
_hosts = msgspec.json.Decoder(Hosts)
_rented = msgspec.json.Decoder(Rented)


class CloudError(Exception):
    """It did not answer properly. If `outcome_unknown`, the request may still be carried out."""

    def __init__(self, why: str, outcome_unknown: bool) -> None:
        super().__init__(why)
        self.outcome_unknown = outcome_unknown


class NoCapacityError(Exception):
    pass


class CloudClient:
    def __init__(self, host: str, port: int, shared: Shared, most: int = 0) -> None:
        self.client = Client(host, port, keep=4, most=most)
        # Mostly the leader alone calls; the rest of the limit is left to one that has not heard yet that it is none.
        self.rate_limiter = RateLimiter(shared.cloud.rps * 0.8, burst_s=1.0)
        self.timeout = shared.workers.lease_s / 2

    async def _call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        priority: RequestPriority = RequestPriority.NORMAL,
        guard: Callable[[], None] | None = None,
    ) -> tuple[int, bytes]:
        """`guard` raises if the call is no longer ours to make: asked last, since a turn may be long in coming."""
        await self.rate_limiter.acquire(1, priority)
        if guard is not None:
            guard()
        try:
            status, answer = await self.client.request(method, target, body, self.timeout)
        except NoAnswer as why:
            raise CloudError(str(why), why.sent) from None
        if status in (429, 500, 502, 504) or (status == 503 and b"no capacity" not in answer):
            raise CloudError(f"status {status}", False)
        return status, answer

    async def catalog(self) -> dict[str, MachineType]:
        status, answer = await self._call("GET", "/catalog")
        if status != 200:
            raise CloudError(f"status {status}", False)
        try:
            return {shape.label: shape for shape in _catalog.decode(answer).machine_types}
        except msgspec.DecodeError as why:
            raise CloudError(str(why), False) from None

    async def rent(
        self,
        charter: str,
        kind: str,
        zone: str,
        spot: bool,
        count: int,
        guard: Callable[[], None] | None = None,
    ) -> list[str]:
        body = msgspec.json.encode(RentalRequest(charter, kind, zone, spot, count))
        status, answer = await self._call("POST", "/hosts", body, guard=guard)
        if status == 503:
            raise NoCapacityError
        if status != 200:
            raise CloudError(f"status {status}: {answer[:200]!r}", False)
        try:
            return _rented.decode(answer).machines
        except msgspec.DecodeError as why:
            raise CloudError(str(why), True) from None

    async def release(self, names: list[str], guard: Callable[[], None] | None = None) -> None:
        status, answer = await self._call(
            "POST", "/hosts/release", msgspec.json.encode(ReleaseRequest(names)), guard=guard
        )
        if status != 200:
            raise CloudError(f"status {status}: {answer[:200]!r}", False)

    async def hosts(self) -> list[Host]:
        out: list[Host] = []
        after = ""
        while True:
            status, answer = await self._call(
                "GET", f"/hosts?from={quote(after)}&most=500", priority=RequestPriority.BACKGROUND
            )
            if status != 200:
                raise CloudError(f"status {status}", False)
            try:
                page = _hosts.decode(answer)
            except msgspec.DecodeError as why:
                raise CloudError(str(why), False) from None
            out += page.machines
            if not page.truncated or not page.machines:
                return out
            after = page.machines[-1].id
