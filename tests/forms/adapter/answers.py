"""What a controller answers to users, workers and probes."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from ashdock.front import Front
from ashdock.net.http import Request
from ashdock.wire import messages, peer_messages
from tests.forms.adapter.bodies import orders_from
from tests.forms.adapter.exchanges import Store, bounded
from tests.forms.adapter.records import (
    REVISION,
    machine_type,
)
from tests.forms.adapter.values import (
    Plain,
    from_bytes,
    to_bytes,
)
from tests.forms.adapter.writers import context, replica


def front_house(store: Store, values: Plain) -> Any:
    """What of a controller its front uses, with what the case says of it."""
    machines = [entry for entry in values.get("store", ()) if entry[0].startswith("machine/")]
    owners = {}
    if "orders" in values:
        orders = messages.HeartbeatResponse(
            values["orders"]["warrant"], orders_from(values["orders"]["orders"])
        )

        async def report(found: messages.Heartbeat) -> messages.HeartbeatResponse:
            return orders

        owners = {"red": SimpleNamespace(on_heartbeat=report)}

    async def forward_heartbeat(label: str, body: bytes) -> peer_messages.ForwardReply | None:
        answer = values.get("relayed")
        return peer_messages.ForwardReply(1, answer[0], to_bytes(answer[1])) if answer else None

    admission = SimpleNamespace(
        memory=SimpleNamespace(cached_jobs=10),
        admit_submission=lambda *words: None,
        admit_status_request=lambda *words: None,
    )
    home = context(
        store,
        admission=admission,
        catalog={} if values.get("no_catalog") else {"g4": machine_type("g4")},
        machines=replica(machines),
        owners=owners,
        forward_heartbeat=forward_heartbeat,
        leader=None,
        leader_label=lambda: values.get("leader"),
        owner_label=lambda team: values.get("owner"),
        token_of=lambda machine: REVISION,
        mesh=SimpleNamespace(has_seen=lambda label, within: True),
        state_fresh=lambda: True,
        ready=lambda: values.get("ready", True),
        heartbeat_received=lambda: None,
        broadcast_cancellation=lambda *words: None,
        task_counts=lambda team, job: tuple(values.get("counts", (0, 0))),
    )
    home.write_limits.announced_apply = not values.get("old_controllers")
    if values.get("store_down"):
        home.store.unavailable_since = -1e9
    return home


def front_answer(values: Plain) -> Plain:
    """A request to a controller: status, body and `Retry-After`, and what it wrote to the store."""

    async def run() -> Plain:
        store = Store(values.get("store", ()))
        home = front_house(store, values)
        front = Front(home)
        home.job_changed = lambda path, value, revision: front.observe_job(
            path.split("/", 1)[1], value, revision
        )
        method, target, body = values["request"]
        answer = await front.handle(Request(method, target, to_bytes(body)))
        reply = [answer.status, from_bytes(answer.body), answer.retry_after]
        return {"answer": reply, "transactions": [body for _, _, body in store.requests]}

    return bounded(run())
