"""Client of the cloud API, which the leader uses to scale the fleet out and in."""

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
    HostPage,
    MachineType,
    ReleaseRequest,
    RentalRequest,
    RentalResponse,
)

Body = TypeVar("Body")

# Fraction of the cloud's rate limit. The rest is for a former leader that does not know yet that it
# has lost the leadership.
USABLE_RATE = 0.8
MAX_IDLE_CONNECTIONS = 4
REQUESTS_PER_LEASE = 2  # request timeouts that fit into one worker lease
PAGE_MACHINES = 500  # machines requested per page of the list
MAX_EXCERPT_BYTES = 200  # of an unexpected response body, in an error's text

OK = 200
SERVICE_UNAVAILABLE = 503
NO_CAPACITY = b"no capacity"  # in a 503 response that is not a failure of the cloud
RETRYABLE = frozenset({429, 500, 502, 504})  # the cloud did not execute the request

_catalog_decoder = msgspec.json.Decoder(Catalog)
_host_page_decoder = msgspec.json.Decoder(HostPage)
_rental_decoder = msgspec.json.Decoder(RentalResponse)

# Raises if this controller must not make the request any more.
RequestGuard = Callable[[], None]


class CloudError(Exception):
    """Any failure of a request to the cloud."""


class CloudUnavailableError(CloudError):
    """The cloud did not respond, or responded with an error or an invalid body.

    Attributes:
        outcome_unknown: Whether the request may have been executed or may still be.
        status: HTTP status, or None if the response was missing or its body was invalid.
    """

    def __init__(self, reason: str, outcome_unknown: bool, status: int | None = None) -> None:
        """Use the reason as the error text."""
        super().__init__(reason)
        self.outcome_unknown = outcome_unknown
        self.status = status

    @classmethod
    def from_status(cls, status: int, body: bytes | None = None) -> Self:
        """Return the error for an unexpected HTTP status, with the start of the body if given."""
        excerpt = "" if body is None else f": {body[:MAX_EXCERPT_BYTES]!r}"
        return cls(f"status {status}{excerpt}", outcome_unknown=False, status=status)


class NoCapacityError(CloudError):
    """The cloud currently has no machine of the requested type in the requested zone."""


class CloudClient:
    """Lists, rents and releases machines within the rate limit of the cloud."""

    def __init__(self, host: str, port: int, shared: Shared, max_sockets: int = 0) -> None:
        """Create a client without connections.

        Args:
            host: Host of the cloud API.
            port: Port of the cloud API.
            shared: Settings that all controllers have in common.
            max_sockets: Maximum number of open connections; 0: unlimited.
        """
        self.client = Client(host, port, max_idle=MAX_IDLE_CONNECTIONS, max_connections=max_sockets)
        # Not divided among the controllers, because only the leader calls the cloud.
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
        """Send a request and return the HTTP status and the body of the response.

        The guard is called after the rate limiter, which may delay the request for a long time.

        Raises:
            CloudUnavailableError: There was no response, or its status is a failure of the cloud.
        """
        await self.rate_limiter.acquire(1, priority)
        if guard is not None:
            guard()
        try:
            status, response_body = await self.client.request(method, target, body, self.timeout_s)
        except NoResponseError as error:
            raise CloudUnavailableError(str(error), outcome_unknown=error.sent) from None
        if status in RETRYABLE or (
            status == SERVICE_UNAVAILABLE and NO_CAPACITY not in response_body
        ):
            raise CloudUnavailableError.from_status(status)
        return status, response_body

    @staticmethod
    def _decode(
        decoder: msgspec.json.Decoder[Body], response_body: bytes, outcome_unknown: bool = False
    ) -> Body:
        try:
            return decoder.decode(response_body)
        except msgspec.DecodeError as error:
            raise CloudUnavailableError(str(error), outcome_unknown) from None

    async def catalog(self) -> dict[str, MachineType]:
        """Return the machine types that the cloud offers, by name.

        Raises:
            CloudUnavailableError: The cloud failed to respond properly.
        """
        status, response_body = await self._call("GET", "/catalog")
        if status != OK:
            raise CloudUnavailableError.from_status(status)
        machine_types = self._decode(_catalog_decoder, response_body).machine_types
        return {machine_type.label: machine_type for machine_type in machine_types}

    async def rent(
        self,
        intent: str,
        machine_type: str,
        zone: str,
        spot: bool,
        count: int,
        guard: RequestGuard | None = None,
    ) -> list[str]:
        """Rent machines.

        The request is idempotent: the cloud returns the same machines if the intent is repeated.

        Args:
            intent: Name of the provisioning intent.
            machine_type: Name of the machine type.
            zone: Zone of the machines.
            spot: Whether to rent spot instances, which the cloud may reclaim.
            count: Number of machines.
            guard: Called just before the request is sent.

        Returns:
            Names of the machines.

        Raises:
            NoCapacityError: The cloud has no such machines at the moment.
            CloudUnavailableError: The cloud failed to respond properly; machines may have been
                rented if `outcome_unknown` is set.
        """
        body = msgspec.json.encode(RentalRequest(intent, machine_type, zone, spot, count))
        status, response_body = await self._call("POST", "/hosts", body, guard=guard)
        if status == SERVICE_UNAVAILABLE:
            raise NoCapacityError
        if status != OK:
            raise CloudUnavailableError.from_status(status, response_body)
        return self._decode(_rental_decoder, response_body, outcome_unknown=True).machines

    async def release(self, names: list[str], guard: RequestGuard | None = None) -> None:
        """Return machines to the cloud.

        Args:
            names: Names of the machines.
            guard: Called just before the request is sent.

        Raises:
            CloudUnavailableError: The cloud failed to respond properly; the machines may have been
                released if `outcome_unknown` is set.
        """
        body = msgspec.json.encode(ReleaseRequest(names))
        status, response_body = await self._call("POST", "/hosts/release", body, guard=guard)
        if status != OK:
            raise CloudUnavailableError.from_status(status, response_body)

    async def list_machines(self) -> list[Host]:
        """Return all rented machines, read page by page from the list of the cloud.

        Raises:
            CloudUnavailableError: A page could not be read.
        """
        machines: list[Host] = []
        last_name = ""
        while True:
            target = f"/hosts?from={quote(last_name)}&most={PAGE_MACHINES}"
            status, response_body = await self._call(
                "GET", target, priority=RequestPriority.BACKGROUND
            )
            if status != OK:
                raise CloudUnavailableError.from_status(status)
            page = self._decode(_host_page_decoder, response_body)
            machines += page.machines
            if not page.truncated or not page.machines:
                return machines
            last_name = page.machines[-1].id
