"""The clients of store, cloud and workers, and the requests that they send."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Iterable
from typing import Any

import msgspec

from ashdock.core.write_limits import WriteLimits
from ashdock.net.cloud import CloudClient
from ashdock.net.http import NoResponseError
from ashdock.net.store import (
    StoreClient,
)
from ashdock.net.worker import WorkerClient
from tests.forms.adapter.bodies import HOST, MACHINE_TYPE, orders_from, report_to_values
from tests.forms.adapter.records import shared_settings
from tests.forms.adapter.values import (
    Plain,
    attributes_of,
    encoded,
    error_to_values,
    from_bytes,
    plain,
    to_bytes,
)


class Exchange:
    """Stands in for an HTTP client: notes each request, and answers from a list."""

    def __init__(self, answers: Iterable[Plain] = ()) -> None:
        self.answers = list(answers)
        self.requests: list[Plain] = []

    async def request(
        self, method: str, target: str, body: bytes = b"", timeout: float = 0.0, **more: Any
    ) -> tuple[int, bytes]:
        """Note the request; the next answer, or none."""
        self.requests.append([method, target, from_bytes(body)])
        if not self.answers:
            raise NoResponseError("no answer", sent=True)
        status, answer = self.answers.pop(0)
        return status, to_bytes(answer)


class Store(Exchange):
    """Stands in for the store: holds entries and takes every transaction."""

    def __init__(self, entries: Iterable[Plain] = ()) -> None:
        super().__init__()
        self.entries = {path: (value, revision) for path, value, revision in entries}
        self.reads: list[str] = []

    async def request(
        self, method: str, target: str, body: bytes = b"", timeout: float = 0.0, **more: Any
    ) -> tuple[int, bytes]:
        """Answer as the store does; transactions and reads are noted apart."""
        if target == "/holds":
            return 200, b'{"permit":9}'
        if target == "/txn":
            self.requests.append([method, target, from_bytes(body)])
            return self._transaction(msgspec.json.decode(body))
        self.reads.append(target)
        if target.startswith("/store/"):
            return self._one(target.removeprefix("/store/"))
        under = target.partition("under=")[2].partition("&")[0]
        return self._all(under)

    def _transaction(self, body: Plain) -> tuple[int, bytes]:
        held = {path: revision for path, (_, revision) in self.entries.items()}
        failed = [c["path"] for c in body["when"] if held.get(c["path"], 0) != c["stamp"]]
        if failed:
            return 409, encoded({"failed": failed}).encode()
        return 200, b'{"ledger":100}'

    def _one(self, path: str) -> tuple[int, bytes]:
        if path not in self.entries:
            return 404, b"{}"
        value, revision = self.entries[path]
        return 200, encoded({"path": path, "value": value, "stamp": revision}).encode()

    def _all(self, under: str) -> tuple[int, bytes]:
        found = [
            {"path": path, "value": value, "stamp": revision}
            for path, (value, revision) in sorted(self.entries.items())
            if path.startswith(under)
        ]
        return 200, encoded({"entries": found, "ledger": 99}).encode()


def store_client(exchange: Exchange) -> StoreClient:
    """A client of the store over the exchange."""
    shared = shared_settings()
    client = StoreClient("10.0.0.9", 2379, shared, WriteLimits(shared.state))
    client.client = client.watch_client = exchange  # type: ignore[assignment]
    return client


def bounded(call: Coroutine[Any, Any, Any]) -> Any:
    """Run a call of its own event loop, for ten seconds at most."""
    return asyncio.run(asyncio.wait_for(call, 10))


async def call_store(client: StoreClient, call: str, values: Plain) -> Plain:
    """One call of the store's client; its result as values."""
    match call:
        case "get":
            return plain(await client.get(**values))
        case "list":
            entries, revision = await client.list_prefix(values["under"])
            return {"entries": plain(entries), "revision": revision}
        case "transaction":
            return await client.txn(
                values["conditions"],
                values["writes"],
                lease=values.get("lease"),
                unleased=values.get("without_lease", ()),
            )
        case "grant lease":
            return await client.grant_lease(values["ttl_ms"])
        case "renew lease":
            return await client.renew_lease(values["lease"], 1.0)
        case "watch":
            changes, revision = await client.watch(
                values["under"], values["after"], values["hold_ms"]
            )
            found = [[c.put_path, c.deleted_path, c.value, c.revision] for c in changes]
            return {"changes": found, "revision": revision}
    raise ValueError(f"no such call: {call}")


async def call_cloud(client: CloudClient, call: str, values: Plain) -> Plain:
    """One call of the cloud's client; its result as values."""
    match call:
        case "catalog":
            found = await client.catalog()
            return {label: attributes_of(item, MACHINE_TYPE) for label, item in found.items()}
        case "rent":
            return await client.rent(
                *(values[name] for name in ("name", "type", "zone", "spot", "count"))
            )
        case "release":
            return await client.release(values["names"])
        case "list hosts":
            return [attributes_of(host, HOST) for host in await client.list_machines()]
    raise ValueError(f"no such call: {call}")


async def call_worker(client: WorkerClient, values: Plain) -> Plain:
    """Orders sent straight to a worker; the status and its report."""
    orders = orders_from(values["orders"])
    status, report = await client.send_commands(
        "10.1.0.1:9000", values["warrant"], values["tenure"], orders
    )
    return {"status": status, "report": report and report_to_values(report)}


def exchange(values: Plain) -> Plain:
    """One call of a client against given answers: the requests sent, and the result or error."""

    async def run() -> Plain:
        other_side = Exchange(values["answers"])
        arguments = values["arguments"]
        call: Coroutine[Any, Any, Plain]
        if values["service"] == "store":
            call = call_store(store_client(other_side), values["call"], arguments)
        elif values["service"] == "cloud":
            cloud = CloudClient("10.0.0.8", 8443, shared_settings())
            cloud.client = other_side  # type: ignore[assignment]
            call = call_cloud(cloud, values["call"], arguments)
        else:
            worker = WorkerClient(1.0, 10.0, 4)
            worker.clients["10.1.0.1:9000"] = other_side  # type: ignore[assignment]
            call = call_worker(worker, arguments)
        try:
            return {"requests": other_side.requests, "result": await call}
        except Exception as error:
            return {"requests": other_side.requests, "error": error_to_values(error)}

    return bounded(run())
