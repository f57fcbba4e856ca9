"""Unit tests of the leader's records, assignments, provisioner, inventory and snapshot."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Coroutine
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any, cast

import pytest

from ashdock.core.allocator import ScaleOut
from ashdock.election.election import Election, ElectionState
from ashdock.election.fencing import NotLeaderError
from ashdock.leader.assignments import MAX_ASSIGN_S, Assignments
from ashdock.leader.heartbeats import UnassignedHeartbeats
from ashdock.leader.inventory import InventoryReconciler
from ashdock.leader.leadership import Leadership
from ashdock.leader.machine_records import (
    ABSENT,
    MachineRecord,
    MachineRecords,
    RecordWrite,
    machine_view,
)
from ashdock.leader.provisioner import CLOUD_ATTEMPTS, MAX_RELEASED_PER_REQUEST, Provisioner
from ashdock.leader.provisioning_intent import scale_out_from_stored, scale_out_to_stored
from ashdock.leader.snapshot import MachineSnapshot
from ashdock.net.cloud import CloudError, NoCapacityError
from ashdock.net.store import Entry
from ashdock.net.store_errors import CompareFailedError, StoreUnavailableError
from ashdock.wire.messages import Heartbeat, Host

TERM = 41
LEASE_S = 6.0
REPORT_S = 1.0
LAG_S = 2.0
ADOPT_AFTER_S = 3.0
WRITES_PER_S = 10.0
SCALE_OUT = ScaleOut((("red", 1), ("blue", 1)), "g4", "a", True)


class FakeStore:
    """A store with compare-and-swap in memory; the fake watch cache shares its entries."""

    def __init__(self) -> None:
        """Start with the leader's key only."""
        self.entries: dict[str, Entry] = {"leader": Entry("leader", {}, TERM)}
        self.revision = 100
        self.write_limiter = SimpleNamespace(per_s=WRITES_PER_S)
        self.transactions: list[dict[str, Any]] = []
        self.attempts = 0  # transactions that were sent
        self.unavailable = False

    def put(self, path: str, value: dict[str, Any]) -> int:
        """Write unconditionally, and return the new revision."""
        self.revision += 1
        self.entries[path] = Entry(path, value, self.revision)
        return self.revision

    def apply_own_write(self, path: str, value: Any, revision: int) -> None:
        """Do nothing: the cache shares the store's entries."""

    async def txn(self, compare: dict[str, int], writes: dict[str, Any], **_: Any) -> int:
        """Apply the writes if all compared revisions match."""
        self.attempts += 1
        await asyncio.sleep(0)
        if self.unavailable:
            raise StoreUnavailableError("unavailable")
        failed = [
            path
            for path, revision in compare.items()
            if (self.entries[path].revision if path in self.entries else ABSENT) != revision
        ]
        if failed:
            raise CompareFailedError(failed, compare)
        self.transactions.append(writes)
        for path, value in writes.items():
            if value is None:
                del self.entries[path]
            else:
                self.put(path, value)
        return self.revision

    async def list_prefix(self, prefix: str) -> tuple[list[Entry], int]:
        """Return the entries whose keys begin with the prefix, and the store's revision."""
        found = [entry for path, entry in self.entries.items() if path.startswith(prefix)]
        return found, self.revision


@dataclass
class FakeCloud:
    """Gives the answers that a test has queued, and keeps the requests."""

    answers: list[Any] = field(default_factory=list)
    listed_hosts: list[Host] = field(default_factory=list)
    rental_requests: list[str] = field(default_factory=list)
    release_requests: list[list[str]] = field(default_factory=list)

    async def rent(self, name: str, *request: Any) -> list[str]:
        """Return the next answer, or raise it if it is an exception."""
        *_, guard = request
        guard()
        self.rental_requests.append(name)
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return list(answer)

    async def release(self, names: list[str], guard: Any) -> None:
        """Keep the names, and raise the next answer if there is one."""
        guard()
        self.release_requests.append(names)
        if self.answers:
            raise self.answers.pop(0)

    async def list_machines(self) -> list[Host]:
        """Return the hosts that the test has set."""
        return self.listed_hosts


class FakeAllocator:
    """Keeps the outcomes of scale-outs."""

    def __init__(self) -> None:
        """Start without scale-outs."""
        self.scale_outs: list[ScaleOut] = []
        self.outcomes: list[Any] = []

    def scaled_out(self, scale_out: ScaleOut, names: list[str], now: float) -> None:
        """Keep the machines' names."""
        self.outcomes.append(names)

    def scale_out_failed(self, scale_out: ScaleOut, now: float, no_capacity: bool) -> None:
        """Keep whether capacity was lacking."""
        self.outcomes.append(no_capacity)


class LeaderComponents:
    """The leader's components with the fakes that they need, in the term TERM."""

    def __init__(self) -> None:
        """Start as the leader, without machine records."""
        self.store = cast(Any, FakeStore())
        self.cache = cast(
            Any,
            SimpleNamespace(
                entries=self.store.entries, apply_own_write=lambda path, value, revision: None
            ),
        )
        self.cloud = cast(Any, FakeCloud())
        self.time = 1000.0
        self.state_fresh = True
        self.scaling_out = False
        self.election = Election("machines", "leader", "n1", 1)
        self.election.term, self.election.lease_valid_until = TERM, math.inf
        self.election.state = ElectionState.LEADER
        self.leadership = Leadership(self.election, TERM)
        self.write_limits = cast(Any, SimpleNamespace(ops=4, value_bytes=10_000))
        self.records = MachineRecords(self.store, self.cache, self.leadership, self.write_limits)
        self.heartbeats = UnassignedHeartbeats()
        self.assignments = Assignments(self.records, self.heartbeats, lambda: self.time, REPORT_S)
        self.catalog: Any = {"g4": None}
        self.naming = SimpleNamespace(label="n1", intent_count=7)
        self.allocator = FakeAllocator()
        self.spawned: list[Coroutine[Any, Any, None]] = []

    def inventory(self) -> InventoryReconciler:
        """Create the inventory reconciler."""
        return InventoryReconciler(
            cloud=self.cloud,
            records=self.records,
            assignments=self.assignments,
            heartbeats=self.heartbeats,
            leadership=self.leadership,
            catalog=self.catalog,
            scaling_out=lambda: self.scaling_out,
            now=lambda: self.time,
            min_lag_s=LAG_S,
            lease_s=LEASE_S,
            adopt_after_s=ADOPT_AFTER_S,
        )

    def provisioner(self, **overrides: Any) -> Provisioner:
        """Create a provisioner that does not pause between attempts."""
        arguments: Any = {
            "store": self.store,
            "cloud": self.cloud,
            "records": self.records,
            "leadership": self.leadership,
            "scale_out_tracker": self.allocator,
            "naming": self.naming,
            "catalog": self.catalog,
            "write_limits": self.write_limits,
            "state_fresh": lambda: self.state_fresh,
            "on_released": lambda names: None,
            "spawn": self.spawned.append,
            "now": lambda: self.time,
            "lease_s": 0.0,
            "tick_s": 0.0,
        }
        return Provisioner(**(arguments | overrides))

    def add_machine(self, name: str, **stored_fields: Any) -> int:
        """Store the record of an unassigned machine, and return its revision."""
        record = MachineRecord("g4", "a", False, "", "", self.time - 100)
        return int(self.store.put(f"machine/{name}", record.to_stored() | stored_fields))

    def stored_record(self, name: str) -> dict[str, Any]:
        """Return the stored record of a machine."""
        value: dict[str, Any] = self.store.entries[f"machine/{name}"].value
        return value

    def recorded_names(self) -> list[str]:
        """Return the names of the machines that have records."""
        return [path.split("/")[1] for path in self.store.entries if path.startswith("machine/")]

    def elect_another_leader(self) -> None:
        """Write the leader's key as another controller would."""
        self.store.put("leader", {})


@pytest.fixture
def components() -> LeaderComponents:
    return LeaderComponents()


def heartbeat(name: str, machine_type: str = "g4") -> Heartbeat:
    return Heartbeat(name, "10.1.0.1:9000", machine_type, "a", 3, 1, 1)


def host(name: str, status: str = "up", age_s: float = 0.0) -> Host:
    return Host(name, "10.1.0.1:9000", "g4", "a", status, False, age_s)


# -- records ---------------------------------------------------------------------------------------


def test_stored_form_of_a_new_machine() -> None:
    record = MachineRecord("g4", "a", True, "", "red", 12.34567)
    stored = {"t": "g4", "z": "a", "s": True, "a": "", "p": "red", "at": 12.346}
    assert list(record.to_stored().items()) == list(stored.items())
    rented = record._replace(is_scale_out_time=True, incarnation=4)
    assert rented.to_stored() == stored | {"r": 1, "n": 4}


def test_records_are_written_in_batches_without_those_that_changed(
    components: LeaderComponents,
) -> None:
    names = [f"vm-{n}" for n in range(6)]
    writes = {name: RecordWrite(components.add_machine(name), {"p": "red"}) for name in names}
    components.add_machine("vm-1")
    written = asyncio.run(components.records.write_all(writes))
    assert written == ["vm-0", "vm-2", "vm-3", "vm-4", "vm-5"]
    assert [len(writes) for writes in components.store.transactions] == [3, 2]
    assert components.stored_record("vm-1")["p"] == "" and components.stored_record("vm-5") == {
        "p": "red"
    }


def test_nothing_is_written_after_another_leader_was_elected(components: LeaderComponents) -> None:
    write = RecordWrite(components.add_machine("vm-0"), None)
    components.elect_another_leader()
    with pytest.raises(NotLeaderError):
        asyncio.run(components.records.write_all({"vm-0": write}))
    assert not asyncio.run(
        components.records.create("vm-9", MachineRecord("g4", "a", False, "", "", 1.0))
    )
    assert components.recorded_names() == ["vm-0"] and not components.store.transactions


def test_leadership_is_fenced_by_lease_time_and_term(components: LeaderComponents) -> None:
    components.leadership.check()
    assert components.leadership.may_act() and components.leadership.may_decide()
    assert not Leadership(components.election, TERM - 1).may_act()
    components.election.state = ElectionState.TRANSFERRING
    assert components.leadership.may_act() and not components.leadership.may_decide()
    components.election.lease_valid_until = -math.inf
    with pytest.raises(NotLeaderError):
        components.leadership.check()


# -- assignments -----------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("heartbeat_age_s", "heartbeat_fields"),
    [(0.5, {"a": "10.1.0.1:9000", "n": 3}), (2.5, {"a": ""})],
)
def test_an_assigned_machine_keeps_its_fields_and_those_of_a_recent_heartbeat(
    heartbeat_age_s: float, heartbeat_fields: dict[str, Any], components: LeaderComponents
) -> None:
    components.add_machine("vm-0", later_version=[1])
    before = dict(components.stored_record("vm-0"))
    components.heartbeats.note_recorded(heartbeat("vm-0"), components.time - heartbeat_age_s)
    asyncio.run(components.assignments.assign({"vm-0": "red"}))
    assert components.stored_record("vm-0") == before | {"p": "red"} | heartbeat_fields


def test_an_unrecorded_machine_is_recorded_when_it_is_assigned(
    components: LeaderComponents,
) -> None:
    components.heartbeats.note_unrecorded(heartbeat("vm-9"), components.time)
    asyncio.run(components.assignments.assign({"vm-9": "red", "vm-unknown": "red"}))
    expected = MachineRecord(
        "g4", "a", False, "10.1.0.1:9000", "red", components.time, incarnation=3
    )
    assert components.stored_record("vm-9") == expected.to_stored()
    assert components.recorded_names() == ["vm-9"] and not components.heartbeats.unrecorded


def test_only_unassigned_machines_are_assigned(components: LeaderComponents) -> None:
    components.add_machine("vm-0", p="blue")
    components.add_machine("vm-1", x="returned")
    asyncio.run(components.assignments.assign({"vm-0": "red", "vm-1": "red"}))
    assert (
        components.stored_record("vm-0")["p"] == "blue"
        and components.stored_record("vm-1")["p"] == ""
    )


def test_nothing_is_assigned_while_assignments_are_pending(components: LeaderComponents) -> None:
    async def run() -> None:
        components.add_machine("vm-0")
        task = asyncio.create_task(components.assignments.assign({"vm-0": "red"}))
        await asyncio.sleep(0)
        assert (
            components.assignments.max_new_assignments() == 0 and components.assignments.under_way
        )
        await task

    assert components.assignments.max_new_assignments() == MAX_ASSIGN_S * WRITES_PER_S
    asyncio.run(run())
    assert components.assignments.max_new_assignments() and not components.assignments.under_way


def test_a_machine_is_decommissioned_once(components: LeaderComponents) -> None:
    async def run() -> None:
        await asyncio.gather(
            components.assignments.decommission(["vm-0"], "returned"),
            components.assignments.decommission(["vm-0", "vm-1"], "failed"),
        )
        await components.assignments.decommission(["vm-0", "vm-unknown"], "failed")

    components.add_machine("vm-0", later_version=[1])
    components.add_machine("vm-1")
    asyncio.run(run())
    assert [components.stored_record(name)["x"] for name in ("vm-0", "vm-1")] == [
        "returned",
        "failed",
    ]
    assert components.stored_record("vm-0")["later_version"] == [1]
    assert components.store.attempts == 2 and not components.assignments.under_way


def test_failed_writes_are_not_pending_any_more(components: LeaderComponents) -> None:
    components.add_machine("vm-0")
    components.store.unavailable = True
    asyncio.run(components.assignments.assign({"vm-0": "red"}))
    asyncio.run(components.assignments.decommission(["vm-0"], "returned"))
    assert not components.assignments.under_way and components.stored_record("vm-0")["p"] == ""


# -- provisioner -----------------------------------------------------------------------------------


def test_stored_form_of_a_scale_out() -> None:
    stored = scale_out_to_stored(SCALE_OUT)
    assert stored == {"teams": [["red", 1], ["blue", 1]], "t": "g4", "z": "a", "s": True}
    assert scale_out_from_stored(stored) == SCALE_OUT
    earlier = {"team": "red", "n": 2, "t": "g4", "z": "a", "s": False}
    assert scale_out_from_stored(earlier) == ScaleOut((("red", 2),), "g4", "a", False)


def test_an_intent_is_written_before_the_request_and_deleted_after_it(
    components: LeaderComponents,
) -> None:
    components.cloud.answers = [CloudError("no answer", True), ["vm-1", "vm-2"]]
    provisioner = components.provisioner()
    asyncio.run(provisioner.scale_out(SCALE_OUT))
    intent, machines, deletion = components.store.transactions
    assert intent == {f"charter/n1.{TERM}.8": scale_out_to_stored(SCALE_OUT)}
    assert [value["p"] for value in machines.values()] == ["red", "blue"]
    assert all(value["r"] == 1 for value in machines.values())
    assert deletion == {f"charter/n1.{TERM}.8": None}
    assert components.cloud.rental_requests == [f"n1.{TERM}.8"] * 2
    assert components.allocator.outcomes == [["vm-1", "vm-2"]] and not provisioner.under_way


@pytest.mark.parametrize(
    ("answers", "no_capacity"),
    [
        ([NoCapacityError()], True),
        ([CloudError("no answer", True)] * CLOUD_ATTEMPTS, False),
    ],
)
def test_outcome_of_a_scale_out_without_machines(
    answers: list[Exception], no_capacity: bool, components: LeaderComponents
) -> None:
    components.cloud.answers = list(answers)
    asyncio.run(components.provisioner().scale_out(SCALE_OUT))
    assert components.allocator.outcomes == [no_capacity] and not components.cloud.answers
    assert components.recorded_names() == [] and "charter" not in str(
        list(components.store.entries)
    )


@pytest.mark.parametrize("failure", ["store unavailable", "another leader", "lease expired"])
def test_no_machines_are_requested_without_a_stored_intent(
    failure: str, components: LeaderComponents
) -> None:
    provisioner = components.provisioner()
    if failure == "store unavailable":
        components.store.unavailable = True
    elif failure == "another leader":
        components.elect_another_leader()
    else:
        components.election.lease_valid_until = -math.inf
    asyncio.run(provisioner.scale_out(SCALE_OUT))
    assert not components.cloud.rental_requests and components.allocator.outcomes == [False]
    assert not provisioner.under_way and not components.store.transactions


def test_an_interrupted_intent_is_resumed_under_its_name(components: LeaderComponents) -> None:
    provisioner = components.provisioner()

    class LeaseExpiringCloud(FakeCloud):
        """Lets the leader's lease expire before each rental request."""

        async def rent(self, name: str, *request: Any) -> list[str]:
            components.election.lease_valid_until = -math.inf
            return await super().rent(name, *request)

    provisioner.cloud = LeaseExpiringCloud()  # type: ignore[assignment]
    with pytest.raises(NotLeaderError):
        asyncio.run(provisioner.scale_out(SCALE_OUT))
    assert components.allocator.outcomes == [False] and not provisioner.under_way
    components.election.lease_valid_until = math.inf
    provisioner.cloud, components.cloud.answers = components.cloud, [["vm-1", "vm-2"]]
    asyncio.run(provisioner.resume_intents())
    assert components.allocator.scale_outs == [SCALE_OUT] and provisioner.scaling_out
    asyncio.run(components.spawned.pop())
    assert components.cloud.rental_requests == [f"n1.{TERM}.8"] and components.recorded_names() == [
        "vm-1",
        "vm-2",
    ]
    assert not provisioner.under_way and not components.spawned


def test_intents_of_earlier_terms_are_counted_and_repeated(components: LeaderComponents) -> None:
    unknown_type = scale_out_to_stored(SCALE_OUT._replace(type="h9"))
    names = [f"n1.{TERM}.7", f"n1.{TERM}.8", f"n1.{TERM - 1}.9", "n2.30.9"]
    for name in names:
        components.store.put(f"charter/{name}", scale_out_to_stored(SCALE_OUT))
    components.store.put("charter/n2.30.10", unknown_type)
    provisioner = components.provisioner()
    asyncio.run(provisioner.resume_intents())
    resumed = {f"n1.{TERM}.7", f"n1.{TERM - 1}.9", "n2.30.9", "n2.30.10"}
    assert provisioner.open_intents == resumed, "number 8 of this term was written by this leader"
    assert components.allocator.scale_outs == [SCALE_OUT] * 3
    assert components.election.reconciled_term == TERM and len(components.spawned) == 4
    asyncio.run(provisioner.resume_intents())
    assert len(components.spawned) == 4, "intents in progress are not resumed again"
    for coroutine in components.spawned:
        coroutine.close()


def test_a_finished_intent_is_deleted_once_the_store_answers(components: LeaderComponents) -> None:
    provisioner = components.provisioner()
    revision = components.store.put("charter/n2.30.9", scale_out_to_stored(SCALE_OUT))
    provisioner.finished_intents = {"n2.30.9": revision}
    components.store.unavailable = True
    asyncio.run(provisioner._delete_finished_intents())
    assert list(provisioner.finished_intents) == ["n2.30.9"]
    components.store.unavailable = False
    asyncio.run(provisioner.resume_intents())
    assert not provisioner.finished_intents and not components.spawned
    assert "charter/n2.30.9" not in components.store.entries


def test_a_decommissioned_machine_is_deleted_after_its_release(
    components: LeaderComponents,
) -> None:
    released: list[str] = []
    provisioner = components.provisioner(on_released=released.extend)
    components.add_machine("vm-0")
    for n in range(1, 7):
        components.add_machine(f"vm-{n}", x="returned")
    components.state_fresh = False
    asyncio.run(provisioner.scale_in())
    assert not components.cloud.release_requests
    components.state_fresh, components.cloud.answers = True, [CloudError("no answer", True)]
    with pytest.raises(CloudError):
        asyncio.run(provisioner.scale_in())
    assert len(components.recorded_names()) == 7 and not released and not provisioner.under_way
    asyncio.run(provisioner.scale_in())
    assert released == ["vm-1", "vm-2", "vm-3", "vm-4"], (
        "limited by the operations of one transaction"
    )
    assert components.recorded_names() == ["vm-0", "vm-5", "vm-6"]
    components.write_limits.ops = 10 * MAX_RELEASED_PER_REQUEST
    asyncio.run(provisioner.scale_in())
    assert components.recorded_names() == ["vm-0"]


# -- inventory -------------------------------------------------------------------------------------


def test_an_unassigned_unrecorded_machine_is_adopted(components: LeaderComponents) -> None:
    inventory = components.inventory()
    inventory.on_heartbeat(heartbeat("vm-9"), recorded=False)
    inventory.on_heartbeat(heartbeat("vm-8", "h9"), recorded=False)
    components.time += ADOPT_AFTER_S
    inventory.on_heartbeat(heartbeat("vm-9"), recorded=False)
    asyncio.run(inventory.adopt_unrecorded())
    assert components.recorded_names() == []
    components.time += 0.1
    asyncio.run(inventory.adopt_unrecorded())
    assert components.recorded_names() == ["vm-9"] and not components.heartbeats.unrecorded
    assert (
        components.stored_record("vm-9")
        == MachineRecord.from_source(heartbeat("vm-9"), "", components.time).to_stored()
    )


def test_heartbeats_of_released_and_of_assigned_machines_are_not_stored(
    components: LeaderComponents,
) -> None:
    inventory = components.inventory()
    inventory.note_released(["vm-1"])
    components.assignments.pending_assignments.add("vm-2")
    for name in ("vm-1", "vm-2"):
        inventory.on_heartbeat(heartbeat(name), recorded=False)
    assert not components.heartbeats.unrecorded
    components.time += 4 * LAG_S + LEASE_S - 0.1
    inventory.on_heartbeat(heartbeat("vm-1"), recorded=False)
    assert not components.heartbeats.unrecorded
    components.time += 0.1
    inventory.on_heartbeat(heartbeat("vm-1"), recorded=False)
    inventory.on_heartbeat(heartbeat("vm-3"), recorded=True)
    assert list(components.heartbeats.unrecorded) == ["vm-1"]
    assert list(components.heartbeats.recorded) == ["vm-3"]


def test_failed_and_missing_machines_are_decommissioned(components: LeaderComponents) -> None:
    inventory = components.inventory()
    for name in ("vm-0", "vm-1", "vm-2"):
        components.add_machine(name)
    components.cloud.listed_hosts = [host("vm-0"), host("vm-1"), host("vm-2", "failed")]
    asyncio.run(inventory.reconcile())
    assert components.stored_record("vm-2")["x"] == "failed"
    components.cloud.listed_hosts = [host("vm-0")]
    components.time += 3 * LAG_S
    asyncio.run(inventory.reconcile())
    assert "x" not in components.stored_record("vm-1"), "an outdated list may not contain it yet"
    components.time += 0.1
    asyncio.run(inventory.reconcile())
    assert components.stored_record("vm-1")["x"] == "not listed any more"
    assert components.stored_record("vm-2")[
        "x"
    ] == "failed" and "x" not in components.stored_record("vm-0")


def test_a_machine_listed_for_longer_than_lists_lag_is_adopted(
    components: LeaderComponents,
) -> None:
    inventory = components.inventory()
    components.cloud.listed_hosts = [host("vm-9")]
    asyncio.run(inventory.reconcile())
    components.time += 2 * LAG_S
    asyncio.run(inventory.reconcile())
    components.time += 0.1
    components.scaling_out = True
    asyncio.run(inventory.reconcile())
    assert components.recorded_names() == [], (
        "machines of a scale-out in progress are listed before they are recorded"
    )
    components.scaling_out = False
    asyncio.run(inventory.reconcile())
    assert components.recorded_names() == ["vm-9"]


def test_lag_estimate_follows_the_lists_and_decays(components: LeaderComponents) -> None:
    inventory = components.inventory()
    components.add_machine("vm-0", r=1)  # rented 100 s ago
    components.cloud.listed_hosts = [host("vm-0", age_s=80.0)]
    asyncio.run(inventory.reconcile())
    assert inventory.lag_s == 20.0
    components.cloud.listed_hosts = [host("vm-0", age_s=99.0)]
    asyncio.run(inventory.reconcile())
    assert inventory.lag_s == 18.0


def test_state_of_deleted_and_released_machines_is_pruned(components: LeaderComponents) -> None:
    inventory = components.inventory()
    components.add_machine("vm-0")
    for name in ("vm-0", "vm-1"):
        inventory.on_heartbeat(heartbeat(name), recorded=True)
    inventory.note_released(["vm-2"])
    asyncio.run(inventory.reconcile())
    assert list(components.heartbeats.recorded) == ["vm-0"] and list(inventory.released_at) == [
        "vm-2"
    ]
    components.time += 20 * LAG_S + 60.1
    asyncio.run(inventory.reconcile())
    assert not inventory.released_at


def test_no_list_is_requested_after_the_lease_expired(components: LeaderComponents) -> None:
    components.election.lease_valid_until = -math.inf
    with pytest.raises(NotLeaderError):
        asyncio.run(components.inventory().reconcile())


# -- snapshot --------------------------------------------------------------------------------------


def test_a_view_is_rebuilt_only_when_its_record_changed(components: LeaderComponents) -> None:
    components.add_machine("vm-0", i=[["image", 2.0], "earlier form"])
    components.add_machine("vm-1", x="returned")
    del components.store.entries["leader"]
    for name in ("vm-1", "vm-9"):
        components.heartbeats.note_unrecorded(heartbeat(name), components.time)
    snapshot = MachineSnapshot(components.cache, components.heartbeats)
    first = snapshot.machine_views()
    assert [(view.name, view.revision) for view in first] == [
        ("vm-9", ABSENT),
        ("vm-0", 101),
        ("vm-1", 102),
    ]
    assert first[1].images == {"image", "earlier form"} and first[2].decommissioned == "returned"
    components.add_machine("vm-1")
    second = snapshot.machine_views()
    assert second[1] is first[1]
    assert second[2] == machine_view(components.store.entries["machine/vm-1"]) != first[2]
