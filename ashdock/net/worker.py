"""Client that sends commands directly to workers."""

from __future__ import annotations

import time
from collections import OrderedDict
from typing import NamedTuple

import msgspec

from ashdock.net.http import Client, NoResponseError
from ashdock.settings import SettingsError, parse_address
from ashdock.wire.messages import (
    DirectCommands,
    Heartbeat,
    MalformedMessageError,
    TaskCommand,
    decode_heartbeat,
)


class CommandResponse(NamedTuple):
    """Response of a worker to commands.

    Attributes:
        status: HTTP status.
        heartbeat: Heartbeat in the body; None if the body is not a valid heartbeat.
    """

    status: int
    heartbeat: Heartbeat | None


class WorkerClient:
    """Keeps a client for each worker that receives commands, up to a maximum number.

    Attributes:
        clients: Clients by worker address, the least recently used first.
        deferred: Number of requests that were not sent because all clients were in use. Their
            commands wait for the response to the worker's next heartbeat.
    """

    def __init__(self, timeout_s: float, idle_s: float, max_sockets: int) -> None:
        """Create the pool without connections.

        Args:
            timeout_s: Timeout of a request.
            idle_s: Time after which an unused connection is closed.
            max_sockets: Maximum number of clients; a further one replaces the least recently used
                client that has no request in progress.
        """
        self.timeout_s = timeout_s
        self.idle_s = idle_s
        self.max_sockets = max_sockets
        self.clients: OrderedDict[str, Client] = OrderedDict()
        self.deferred = 0

    @property
    def sockets(self) -> int:
        """Number of open connections."""
        return sum(client.sockets for client in self.clients.values())

    async def send_commands(
        self,
        worker_address: str,
        fencing_token: int,
        incarnation: int,
        commands: list[TaskCommand],
    ) -> CommandResponse:
        """Send commands to a worker.

        Args:
            worker_address: Host and port of the worker.
            fencing_token: Token of the shard's owner; a worker rejects commands with a lower token
                than it has seen.
            incarnation: Incarnation of the worker that the commands are for.
            commands: The commands.

        Returns:
            The response of the worker.

        Raises:
            NoResponseError: There was no response; `sent` tells whether the commands may still
                arrive.
        """
        client = self._client(worker_address)
        request = DirectCommands(
            fencing_token=fencing_token, incarnation=incarnation, commands=commands
        )
        body = msgspec.json.encode(request)
        status, response_body = await client.request("POST", "/orders", body, self.timeout_s)
        try:
            return CommandResponse(status, decode_heartbeat(response_body))
        except MalformedMessageError:
            return CommandResponse(status, None)

    def _client(self, worker_address: str) -> Client:
        client = self.clients.get(worker_address)
        if client is None:
            if len(self.clients) >= self.max_sockets:
                self._close_least_recently_used()
            client = self.clients[worker_address] = self._new_client(worker_address)
        self.clients.move_to_end(worker_address)
        return client

    def _new_client(self, worker_address: str) -> Client:
        try:
            host, port = parse_address(worker_address, "worker")
        except SettingsError as error:  # the address in the heartbeat is malformed
            raise NoResponseError(str(error), sent=False) from None
        return Client(host, port, max_idle=1, idle_s=self.idle_s)

    def _close_least_recently_used(self) -> None:
        """Close the least recently used connection that has no request in progress.

        Commands to machines that do not respond may occupy all connections until they time out. No
        further sockets are opened in this case, because heartbeats need them; the commands to other
        workers wait for the response to their next heartbeat.

        Raises:
            NoResponseError: All clients have a request in progress.
        """
        idle_address = next(
            (
                worker_address
                for worker_address, client in self.clients.items()
                if not client.in_flight
            ),
            None,
        )
        if idle_address is None:
            self.deferred += 1
            reason = "no connection to spare"
            raise NoResponseError(reason, sent=False)
        self.clients.pop(idle_address).close()

    def close_idle(self) -> None:
        """Close connections that have been unused for `idle_s` seconds."""
        now = time.monotonic()
        for worker_address, client in list(self.clients.items()):
            if now - client.last_used > self.idle_s and not client.in_flight:
                client.close()
                del self.clients[worker_address]
