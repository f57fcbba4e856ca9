"""State that was read before an `await` and changed during it.

Each case once ended a background loop or revived something that had been released or removed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from ashdock.concurrency import StaleContextError, ensure_current, iterate_live
from ashdock.leader.heartbeats import UnrecordedMachine
from ashdock.leader.provisioning_intent import ProvisioningIntent
from ashdock.net.store import Entry
from ashdock.net.watch_cache import WatchCache
from ashdock.shard_owner import OwnershipPhase
from ashdock.wire.messages import Heartbeat
from tests import virtual_time
from tests.cluster import Service, job

SEED = 31
SETTLE_S = 5.0  # from the start of the cluster to the start of the test


def test_iterate_live_skips_removed_items_and_yields_current_values() -> None:
    table = {"a": 1, "b": 2, "c": 3}
    seen = []
    for key, value in iterate_live(table):
        seen.append((key, value))
        table.pop("b", None)
        table["c"] = 4
        table["d"] = 5
    assert seen == [("a", 1), ("c", 4)]
    with pytest.raises(StaleContextError):
        ensure_current(False, "gone")


def simulate(
    monkeypatch: pytest.MonkeyPatch, scenario: Callable[[Service], Awaitable[Any]]
) -> None:
    """Run a scenario on a simulated cluster.

    Unlike with `tests.test_cluster.run_scenario`, it may end before any task has run.
    """

    async def main(net: virtual_time.Network) -> None:
        service = Service(net)
        await service.start()
        await asyncio.sleep(SETTLE_S)
        await scenario(service)
        assert not service.invariants.violations

    virtual_time.run(main, SEED, monkeypatch)


def test_an_unrecorded_machine_is_assigned_while_others_are_adopted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The loop of the leader ended with a KeyError."""

    async def scenario(service: Service) -> None:
        await service.submit(job(1))
        leader = next(c.leader for c in service.controllers.values() if c.leader)
        assert leader is not None
        adopted: list[str] = []

        async def adopt(name: str, *_: Any) -> None:
            adopted.append(name)
            # Assigned to a shard, and thereby recorded, while the first one was being written.
            leader.heartbeats.unrecorded.pop("vm-b", None)

        monkeypatch.setattr(leader.inventory, "_adopt", adopt)
        report = Heartbeat("vm-a", "10.1.9.9:9000", "g4", "a", False, 1, 1, False, None, [])
        leader.heartbeats.unrecorded = dict.fromkeys(
            ("vm-a", "vm-b", "vm-c"), UnrecordedMachine(report, -1e9)
        )
        await leader.inventory.adopt_unrecorded()
        assert adopted == ["vm-a", "vm-c"] and not leader.heartbeats.unrecorded

    simulate(monkeypatch, scenario)


@pytest.mark.parametrize("phase", [OwnershipPhase.CLAIMING, OwnershipPhase.LOADING])
def test_an_owner_lost_while_claiming_or_loading_stays_lost(
    phase: OwnershipPhase, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An owner that was released while claiming or loading became active again.

    It ran beside its successor and was no longer among the controller's owners.
    """

    async def scenario(service: Service) -> None:
        await service.submit(job(1))
        service.store.extra_delay_s = 0.2
        n = next(n for n, c in service.controllers.items() if "red" in c.owners)
        controller = service.controllers[n]
        controller.owners["red"].release("released by the test")
        owner = None
        while owner is None or owner.phase is not phase:
            await asyncio.sleep(0.01)
            owner = controller.owners.get("red")
        controller.shard_owners.job_changes_missed()
        await asyncio.sleep(1.5)
        assert owner.phase is OwnershipPhase.LOST and owner.task.done()
        assert not await service.until_final(["req-000001"], 60)

    simulate(monkeypatch, scenario)


def test_a_provisioning_intent_of_this_term_is_not_carried_out_twice(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(service: Service) -> None:
        await service.submit(job(1))
        leader = next(c.leader for c in service.controllers.values() if c.leader)
        assert leader is not None
        label, revision = leader.context.label, leader.term
        leader.context.intent_count = leader.provisioner.initial_intent_count + 5
        value = {"teams": [["red", 1]], "t": "g4", "z": "a", "s": False}
        for name in (
            f"{label}.{revision}.{leader.provisioner.initial_intent_count + 3}",
            f"{label}.{revision}.0",
            f"n9.{revision}.7",
        ):
            service.store.keys[f"charter/{name}"] = (value, 1, None)
        carried_out: list[str] = []

        async def carry_out(intent: ProvisioningIntent, *_: Any, **__: Any) -> None:
            carried_out.append(intent.name)

        monkeypatch.setattr(leader.provisioner, "_carry_out", carry_out)
        await leader._resume_intents()
        await asyncio.sleep(0.01)
        # An intent from before an outage that interrupted this leadership is carried out again like
        # that of any other leader.
        assert sorted(carried_out) == sorted([f"{label}.{revision}.0", f"n9.{revision}.7"])

    simulate(monkeypatch, scenario)


# Own writes, the watch events that arrive after them, the revisions that are then cached.
WATCH_EVENTS = [
    ([("m/1", None, 9)], [("m/1", {"a": 1}, 7)], {}),
    ([("m/1", None, 9)], [("m/1", {"a": 1}, 7), ("m/1", None, 9)], {}),
    ([("m/1", None, 9)], [("m/1", {"a": 1}, 11)], {"m/1": 11}),
    ([("m/1", {"a": 2}, 9)], [("m/1", {"a": 1}, 7)], {"m/1": 9}),
]


@pytest.mark.parametrize(("writes", "events", "revisions"), WATCH_EVENTS)
def test_a_watch_event_older_than_our_own_write_is_ignored(
    writes: Any, events: Any, revisions: dict[str, int]
) -> None:
    watch_cache = WatchCache(None, "m/")  # type: ignore[arg-type]
    watch_cache.entries["m/1"] = Entry("m/1", {"a": 0}, 5)
    watch_cache.revision = 6
    for change in writes:
        watch_cache.apply_own_write(*change)
    for change in events:
        watch_cache._apply(*change)
    assert {path: entry.revision for path, entry in watch_cache.entries.items()} == revisions


def test_a_run_command_is_sent_with_the_token_and_incarnation_it_was_recorded_with(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """With a higher token a run command that arrives late would not be fenced.

    The worker would accept it although its own token had been raised to refuse it. For a new
    incarnation it would start a task whose end that incarnation has proved.
    """

    async def scenario(service: Service) -> None:
        await service.submit(job(1))
        await service.until_final(["req-000001"], 60)
        controller = next(c for c in service.controllers.values() if "red" in c.owners)
        owner = controller.owners["red"]
        assert owner.shard is not None
        machine = next(m for m in owner.shard.machines.values() if m.address and m.incarnation)
        sent: list[tuple[int, int]] = []

        async def send_commands(address: str, token: int, incarnation: int, *_: Any) -> Any:
            sent.append((token, incarnation))
            return 200, None

        monkeypatch.setattr(controller.worker_client, "send_commands", send_commands)
        recorded = (owner.shard.token(machine), machine.incarnation)
        monkeypatch.setattr(owner.shard.commands, "direct_commands", lambda *_: [object()])
        monkeypatch.setattr(owner.shard.commands, "on_direct_answered", lambda *_: None)
        owner.shard.urgent_machines[machine.name] = None
        owner._send_urgent(owner.shard)
        # Its record is written, and its worker's lease expires, before the request is sent.
        machine.revision += 1000
        machine.incarnation += 1
        await asyncio.sleep(0.01)
        machine.revision -= 1000
        machine.incarnation -= 1
        assert sent == [recorded]

    simulate(monkeypatch, scenario)
