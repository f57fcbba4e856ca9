"""Client of the cloud: what the leader asks of it to scale the fleet out and in."""

from __future__ import annotations

from collections.abc import Callable
from typing import Self, TypeVar
from urllib.parse import quote

import msgspec

from ashdock.net.http import Client, NoResponseError
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

Body = TypeVar("Body")

USABLE_RATE = 0.8  # of the cloud's limit; the rest is for a controller that does not yet know it leads no more
SOCKETS = 4  # connections kept open
REQUESTS_PER_LEASE = 2  # a request may take this fraction of an agent lease
PAGE_MACHINES = 500  # of the list of machines
ANSWER_EXCERPT_BYTES = 200  # of an unexpected answer that goes into an error's text

OK = 200
SERVICE_UNAVAILABLE = 503
NO_CAPACITY = b"no capacity"  # in an answer 503 that is no failure of the cloud
RETRYABLE = frozenset({429, 500, 502, 504})  # the request was not carried out

_catalog_decoder = msgspec.json.Decoder(Catalog)
_hosts_decoder = msgspec.json.Decoder(Hosts)
_rented_decoder = msgspec.json.Decoder(Rented)

# Raises if the request is no longer this controller's to make.
RequestGuard = Callable[[], None]


class CloudError(Exception):
    """Any failure of a request to the cloud."""


class CloudUnavailableError(CloudError):
    """The cloud did not answer properly.

    Attributes:
        outcome_unknown: whether the request may have been carried out, or may still be.
        status: the HTTP status, where there was an answer.
    """

    def __init__(self, reason: str, outcome_unknown: bool, status: int | None = None) -> None:
        """Keep the reason as the error's text."""
        super().__init__(reason)
        self.outcome_unknown = outcome_unknown
        self.status = status

    @classmethod
    def from_status(cls, status: int, answer: bytes | None = None) -> Self:
        """The error for an unexpected HTTP status, with the start of the answer where it is given."""
        excerpt = "" if answer is None else f": {answer[:ANSWER_EXCERPT_BYTES]!r}"
        return cls(f"status {status}{excerpt}", outcome_unknown=False, status=status)


class NoCapacityError(CloudError):
    """The cloud has no machine of this type in this zone at the moment."""


class CloudClient:
    """Lists, rents and releases machines, within the cloud's rate limit."""

    def __init__(self, host: str, port: int, shared: Shared, max_sockets: int = 0) -> None:
        """Open no connection yet.

        Args:
            host: the cloud's host.
            port: the cloud's port.
            shared: the settings that all controllers have in common.
            max_sockets: bound of the open connections; 0: none.
        """
        self.client = Client(host, port, max_idle=SOCKETS, max_connections=max_sockets)
        # Not divided among the controllers: the leader alone calls.
        self.rate_limiter = RateLimiter(shared.cloud.rps * USABLE_RATE)
        self.timeout_s = shared.workers.lease_s / REQUESTS_PER_LEASE

    async def _call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        priority: RequestPriority = RequestPriority.NORMAL,
        guard: RequestGuard | None = None,
    ) -> tuple[int, bytes]:
        """Send a request; its status, if that is no failure of the cloud, and the answer's body.

        The guard is called last, since the rate limiter may keep the request for long.
        """
        await self.rate_limiter.acquire(1, priority)
        if guard is not None:
            guard()
        try:
            status, answer = await self.client.request(method, target, body, self.timeout_s)
        except NoResponseError as error:
            raise CloudUnavailableError(str(error), outcome_unknown=error.sent) from None
        if status in RETRYABLE or (status == SERVICE_UNAVAILABLE and NO_CAPACITY not in answer):
            raise CloudUnavailableError.from_status(status)
        return status, answer

    @staticmethod
    def _decode(
        decoder: msgspec.json.Decoder[Body], answer: bytes, outcome_unknown: bool = False
    ) -> Body:
        try:
            return decoder.decode(answer)
        except msgspec.DecodeError as error:
            raise CloudUnavailableError(str(error), outcome_unknown) from None

    async def catalog(self) -> dict[str, MachineType]:
        """The machine types that the cloud offers, by name.

        Raises:
            CloudUnavailableError: no proper answer.
        """
        status, answer = await self._call("GET", "/catalog")
        if status != OK:
            raise CloudUnavailableError.from_status(status)
        offered = self._decode(_catalog_decoder, answer).machine_types
        return {machine_type.label: machine_type for machine_type in offered}

    async def rent(
        self,
        intent: str,
        machine_type: str,
        zone: str,
        spot: bool,
        count: int,
        guard: RequestGuard | None = None,
    ) -> list[str]:
        """Rent machines. Idempotent: the same intent again is answered with the same machines.

        Args:
            intent: name of the provisioning intent.
            machine_type: name of the type.
            zone: where the machines are to be.
            spot: whether they may be taken back.
            count: how many.
            guard: called just before the request is sent.

        Returns:
            The machines' names.

        Raises:
            NoCapacityError: the cloud has none to rent.
            CloudUnavailableError: no proper answer; machines may have been rented if `outcome_unknown`.
        """
        body = msgspec.json.encode(RentalRequest(intent, machine_type, zone, spot, count))
        status, answer = await self._call("POST", "/hosts", body, guard=guard)
        if status == SERVICE_UNAVAILABLE:
            raise NoCapacityError
        if status != OK:
            raise CloudUnavailableError.from_status(status, answer)
        return self._decode(_rented_decoder, answer, outcome_unknown=True).machines

    async def release(self, names: list[str], guard: RequestGuard | None = None) -> None:
        """Return machines to the cloud.

        Args:
            names: of the machines.
            guard: called just before the request is sent.

        Raises:
            CloudUnavailableError: no proper answer; they may have been released if `outcome_unknown`.
        """
        body = msgspec.json.encode(ReleaseRequest(names))
        status, answer = await self._call("POST", "/hosts/release", body, guard=guard)
        if status != OK:
            raise CloudUnavailableError.from_status(status, answer)

    async def list_machines(self) -> list[Host]:
        """All machines that are rented, as the cloud lists them, page by page.

        Raises:
            CloudUnavailableError: a page could not be read.
        """
        machines: list[Host] = []
        after = ""
        while True:
            target = f"/hosts?from={quote(after)}&most={PAGE_MACHINES}"
            status, answer = await self._call("GET", target, priority=RequestPriority.BACKGROUND)
            if status != OK:
                raise CloudUnavailableError.from_status(status)
            page = self._decode(_hosts_decoder, answer)
            machines += page.machines
            if not page.truncated or not page.machines:
                return machines
            after = page.machines[-1].id
