"""Client of the workers, for commands that are sent straight to them."""

from __future__ import annotations

import time
from collections import OrderedDict
from typing import NamedTuple

import msgspec

from ashdock.net.http import Client, NoResponseError
from ashdock.settings import SettingsError, address
from ashdock.wire.messages import (
    DirectCommands,
    Heartbeat,
    MalformedMessageError,
    TaskCommand,
    decode_heartbeat,
)


class CommandReply(NamedTuple):
    """What a worker answered to commands.

    Attributes:
        status: the HTTP status.
        heartbeat: the status of its tasks; None if the answer is not a heartbeat.
    """

    status: int
    heartbeat: Heartbeat | None


class WorkerClient:
    """Keeps one connection to each worker that commands go to, within a bound for all of them.

    Attributes:
        clients: by the worker's address, the least recently used first.
        deferred: how often commands were left to the answer to a heartbeat, as no connection was free.
    """

    def __init__(self, timeout_s: float, idle_s: float, max_sockets: int) -> None:
        """Open no connection yet.

        Args:
            timeout_s: of one request.
            idle_s: after which a connection that is not used is closed.
            max_sockets: most connections; beyond it the least recently used is closed.
        """
        self.timeout_s = timeout_s
        self.idle_s = idle_s
        self.max_sockets = max_sockets
        self.clients: OrderedDict[str, Client] = OrderedDict()
        self.deferred = 0

    @property
    def sockets(self) -> int:
        """Open connections."""
        return sum(client.sockets for client in self.clients.values())

    async def send_commands(
        self,
        worker_address: str,
        fencing_token: int,
        incarnation: int,
        commands: list[TaskCommand],
    ) -> CommandReply:
        """Send commands to a worker.

        Args:
            worker_address: host and port.
            fencing_token: a worker takes no commands under a lower one than it has seen.
            incarnation: of the agent that the commands are for.
            commands: what it is to do.

        Returns:
            The worker's reply.

        Raises:
            NoResponseError: none came; its `sent` says whether the commands may still arrive.
        """
        client = self._client(worker_address)
        request = DirectCommands(
            fencing_token=fencing_token, incarnation=incarnation, commands=commands
        )
        body = msgspec.json.encode(request)
        status, answer = await client.request("POST", "/orders", body, self.timeout_s)
        try:
            return CommandReply(status, decode_heartbeat(answer))
        except MalformedMessageError:
            return CommandReply(status, None)

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
            host, port = address(worker_address, "worker")
        except SettingsError as error:  # the worker's heartbeat gave an address that is none
            raise NoResponseError(str(error), sent=False) from None
        return Client(host, port, max_idle=1, idle_s=self.idle_s)

    def _close_least_recently_used(self) -> None:
        """Make room for one more connection, among those without a request under way.

        Commands to machines that do not answer may occupy all connections until they time out. Others
        are not given more sockets, which heartbeats need; their commands wait for the next heartbeat.

        Raises:
            NoResponseError: all connections are in use.
        """
        idle = next(
            (
                worker_address
                for worker_address, client in self.clients.items()
                if not client.in_flight
            ),
            None,
        )
        if idle is None:
            self.deferred += 1
            reason = "no connection to spare"
            raise NoResponseError(reason, sent=False)
        self.clients.pop(idle).close()

    def close_idle(self) -> None:
        """Close connections that have not been used for `idle_s` seconds."""
        now = time.monotonic()
        for worker_address, client in list(self.clients.items()):
            if now - client.last_used > self.idle_s and not client.in_flight:
                client.close()
                del self.clients[worker_address]
