"""The workers' end for orders sent straight to them."""

from __future__ import annotations

import time

import msgspec

from ashdock.net.http import Client, NoAnswer
from ashdock.settings import SettingsError, address
from ashdock.wire.messages import DirectOrders, Malformed, Order, Report, decode_report


class WorkerClient:
    """Keeps a connection to each worker that it talks to, and closes those long unused."""

    def __init__(self, timeout: float, idle_s: float) -> None:
        self.timeout = timeout
        self.idle_s = idle_s
        self.clients: dict[str, Client] = {}

    async def orders(self, where: str, token: int, tenure: int, orders: list[Order]) -> tuple[int, Report | None]:
        """The status and the worker's report. NoAnswer tells whether the orders may still arrive."""
        client = self.clients.get(where)
        if client is None:
            try:
                client = self.clients[where] = Client(*address(where, "worker"), keep=1, idle_s=self.idle_s)
            except SettingsError as why:
                raise NoAnswer(str(why), sent=False) from None
        body = msgspec.json.encode(DirectOrders(warrant=token, tenure=tenure, orders=orders))
        status, answer = await client.request("POST", "/orders", body, self.timeout)
        try:
            return status, decode_report(answer)
        except Malformed:
            return status, None

    def sweep(self) -> None:
        now = time.monotonic()
        for where, client in list(self.clients.items()):
            if now - client.last_used > self.idle_s:
                client.close()
                del self.clients[where]
