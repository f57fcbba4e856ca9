"""The workers' end for orders sent straight to them."""

from __future__ import annotations

import time
from collections import OrderedDict

import msgspec

from ashdock.net.http import Client, NoAnswer
from ashdock.settings import SettingsError, address
from ashdock.wire.messages import (
    DirectCommands,
    Heartbeat,
    MalformedMessageError,
    TaskCommand,
    decode_heartbeat,
)


class WorkerClient:
    """Keeps a connection to each worker that it talks to, no more than `most` in all; those longest unused are closed first."""

    def __init__(self, timeout: float, idle_s: float, most: int) -> None:
        self.timeout = timeout
        self.idle_s = idle_s
        self.most = most
        self.clients: OrderedDict[str, Client] = OrderedDict()  # the longest unused first
        self.refused = 0  # orders that had to go with the answer to a report instead

    @property
    def sockets(self) -> int:
        return sum(client.sockets for client in self.clients.values())

    async def orders(
        self, where: str, token: int, incarnation: int, commands: list[TaskCommand]
    ) -> tuple[int, Heartbeat | None]:
        """The status and the worker's report. NoAnswer tells whether the orders may still arrive."""
        client = self._client(where)
        body = msgspec.json.encode(
            DirectCommands(fencing_token=token, incarnation=incarnation, commands=commands)
        )
        status, answer = await client.request("POST", "/orders", body, self.timeout)
        try:
            return status, decode_heartbeat(answer)
        except MalformedMessageError:
            return status, None

    def _client(self, where: str) -> Client:
        client = self.clients.get(where)
        if client is None:
            if len(self.clients) >= self.most:
                self._make_place()
            try:
                client = self.clients[where] = Client(
                    *address(where, "worker"), keep=1, idle_s=self.idle_s
                )
            except SettingsError as why:
                raise NoAnswer(str(why), sent=False) from None
        self.clients.move_to_end(where)
        return client

    def _make_place(self) -> None:
        """Each client here holds one connection, or is about to. Where all are at it, the orders wait for the worker's report: starts
        that each took a socket for as long as a silent machine lets them hang left none for whoever reports."""
        idle = next((where for where, client in self.clients.items() if not client.under_way), None)
        if idle is None:
            self.refused += 1
            raise NoAnswer("no connection to spare", sent=False)
        self.clients.pop(idle).close()

    def sweep(self) -> None:
        now = time.monotonic()
        for where, client in list(self.clients.items()):
            if now - client.last_used > self.idle_s and not client.under_way:
                client.close()
                del self.clients[where]
