"""The pieces of the leader, each by itself: records, assignments, provisioner, inventory and snapshot."""

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
    """Compare-and-swap on a table, which is also the watch cache's."""

    def __init__(self) -> None:
        """Hold the leader's key alone."""
        self.entries: dict[str, Entry] = {"leader": Entry("leader", {}, TERM)}
        self.revision = 100
        self.write_limiter = SimpleNamespace(per_s=WRITES_PER_S)
        self.transactions: list[dict[str, Any]] = []
        self.attempts = 0  # transactions that were sent
        self.down = False

    def put(self, path: str, value: dict[str, Any]) -> int:
        """Write without a condition."""
        self.revision += 1
        self.entries[path] = Entry(path, value, self.revision)
        return self.revision

    def apply_own_write(self, path: str, value: Any, revision: int) -> None:
        """The cache is the store's own table."""

    async def txn(self, compare: dict[str, int], writes: dict[str, Any], **_: Any) -> int:
        """Apply the writes if every revision holds."""
        self.attempts += 1
        await asyncio.sleep(0)
        if self.down:
            raise StoreUnavailableError("down")
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
        """All entries whose keys begin with the prefix."""
        found = [entry for path, entry in self.entries.items() if path.startswith(prefix)]
        return found, self.revision


@dataclass
class FakeCloud:
    """Answers in turn with what the test gives, and notes what it was asked."""

    answers: list[Any] = field(default_factory=list)
    hosts_listed: list[Host] = field(default_factory=list)
    rented: list[str] = field(default_factory=list)
    released: list[list[str]] = field(default_factory=list)

    async def rent(self, name: str, *request: Any) -> list[str]:
        """Give the next answer, or raise it."""
        *_, guard = request
        guard()
        self.rented.append(name)
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return list(answer)

    async def release(self, names: list[str], guard: Any) -> None:
        """Note the names; raise the next answer, if there is one."""
        guard()
        self.released.append(names)
        if self.answers:
            raise self.answers.pop(0)

    async def list_machines(self) -> list[Host]:
        """The list that the test gives."""
        return self.hosts_listed


class FakeAllocator:
    """Notes what came of scale-outs."""

    def __init__(self) -> None:
        """Start without scale-outs."""
        self.scale_outs: list[ScaleOut] = []
        self.results: list[Any] = []

    def scaled_out(self, rent: ScaleOut, names: list[str], now: float) -> None:
        """Note the machines."""
        self.results.append(names)

    def scale_out_failed(self, rent: ScaleOut, now: float, no_capacity: bool) -> None:
        """Note whether for lack of capacity."""
        self.results.append(no_capacity)


class Pieces:
    """The pieces, each with the fakes that it needs, in the term TERM."""

    def __init__(self) -> None:
        """Lead, with nothing recorded."""
        self.store = cast(Any, FakeStore())
        self.cache = cast(
            Any,
            SimpleNamespace(
                entries=self.store.entries, apply_own_write=lambda path, value, revision: None
            ),
        )
        self.cloud = cast(Any, FakeCloud())
        self.time = 1000.0
        self.fresh = True
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
        """The reconciliation with the cloud's list."""
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

    def provisioner(self, **more: Any) -> Provisioner:
        """Scale-out and scale-in, without pauses between attempts."""
        collaborators: Any = {
            "store": self.store,
            "cloud": self.cloud,
            "records": self.records,
            "leadership": self.leadership,
            "scale_out_tracker": self.allocator,
            "naming": self.naming,
            "catalog": self.catalog,
            "write_limits": self.write_limits,
            "state_fresh": lambda: self.fresh,
            "on_released": lambda names: None,
            "spawn": self.spawned.append,
            "now": lambda: self.time,
            "lease_s": 0.0,
            "tick_s": 0.0,
        }
        return Provisioner(**(collaborators | more))

    def machine(self, name: str, **more: Any) -> int:
        """Record an unassigned machine, with further stored fields; its revision."""
        record = MachineRecord("g4", "a", False, "", "", self.time - 100)
        return int(self.store.put(f"machine/{name}", record.to_stored() | more))

    def stored(self, name: str) -> dict[str, Any]:
        """A machine's record."""
        value: dict[str, Any] = self.store.entries[f"machine/{name}"].value
        return value

    def recorded(self) -> list[str]:
        """The machines that have records."""
        return [path.split("/")[1] for path in self.store.entries if path.startswith("machine/")]

    def replaced(self) -> None:
        """Another controller takes the lead."""
        self.store.put("leader", {})


@pytest.fixture
def pieces() -> Pieces:
    return Pieces()


def heartbeat(name: str, machine_type: str = "g4") -> Heartbeat:
    return Heartbeat(name, "10.1.0.1:9000", machine_type, "a", 3, 1, 1)


def host(name: str, status: str = "up", age_s: float = 0.0) -> Host:
    return Host(name, "10.1.0.1:9000", "g4", "a", status, False, age_s)


# -- records -----------------------------------------------------------------------------------------


def test_what_is_stored_of_a_new_machine() -> None:
    record = MachineRecord("g4", "a", True, "", "red", 12.34567)
    stored = {"t": "g4", "z": "a", "s": True, "a": "", "p": "red", "at": 12.346}
    assert list(record.to_stored().items()) == list(stored.items())
    rented = record._replace(is_scale_out_time=True, incarnation=4)
    assert rented.to_stored() == stored | {"r": 1, "n": 4}


def test_records_are_written_many_to_a_transaction_and_without_those_that_changed(
    pieces: Pieces,
) -> None:
    names = [f"vm-{n}" for n in range(6)]
    writes = {name: RecordWrite(pieces.machine(name), {"p": "red"}) for name in names}
    pieces.machine("vm-1")
    written = asyncio.run(pieces.records.write_all(writes))
    assert written == ["vm-0", "vm-2", "vm-3", "vm-4", "vm-5"]
    assert [len(writes) for writes in pieces.store.transactions] == [3, 2]
    assert pieces.stored("vm-1")["p"] == "" and pieces.stored("vm-5") == {"p": "red"}


def test_nothing_is_written_once_another_leads(pieces: Pieces) -> None:
    write = RecordWrite(pieces.machine("vm-0"), None)
    pieces.replaced()
    with pytest.raises(NotLeaderError):
        asyncio.run(pieces.records.write_all({"vm-0": write}))
    assert not asyncio.run(
        pieces.records.create("vm-9", MachineRecord("g4", "a", False, "", "", 1.0))
    )
    assert pieces.recorded() == ["vm-0"] and not pieces.store.transactions


def test_leadership_is_fenced_by_lease_time_and_term(pieces: Pieces) -> None:
    pieces.leadership.check()
    assert pieces.leadership.may_act() and pieces.leadership.may_decide()
    assert not Leadership(pieces.election, TERM - 1).may_act()
    pieces.election.state = ElectionState.TRANSFERRING
    assert pieces.leadership.may_act() and not pieces.leadership.may_decide()
    pieces.election.lease_valid_until = -math.inf
    with pytest.raises(NotLeaderError):
        pieces.leadership.check()


# -- assignments -------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("silent_s", "known"), [(0.5, {"a": "10.1.0.1:9000", "n": 3}), (2.5, {"a": ""})]
)
def test_an_assigned_machine_keeps_its_fields_and_what_it_reported_just_now(
    silent_s: float, known: dict[str, Any], pieces: Pieces
) -> None:
    pieces.machine("vm-0", later_version=[1])
    before = dict(pieces.stored("vm-0"))
    pieces.heartbeats.note_recorded(heartbeat("vm-0"), pieces.time - silent_s)
    asyncio.run(pieces.assignments.assign({"vm-0": "red"}))
    assert pieces.stored("vm-0") == before | {"p": "red"} | known


def test_an_unrecorded_machine_is_recorded_when_it_is_assigned(pieces: Pieces) -> None:
    pieces.heartbeats.note_unrecorded(heartbeat("vm-9"), pieces.time)
    asyncio.run(pieces.assignments.assign({"vm-9": "red", "vm-unknown": "red"}))
    expected = MachineRecord("g4", "a", False, "10.1.0.1:9000", "red", pieces.time, incarnation=3)
    assert pieces.stored("vm-9") == expected.to_stored()
    assert pieces.recorded() == ["vm-9"] and not pieces.heartbeats.unrecorded


def test_only_unassigned_machines_are_assigned(pieces: Pieces) -> None:
    pieces.machine("vm-0", p="blue")
    pieces.machine("vm-1", x="returned")
    asyncio.run(pieces.assignments.assign({"vm-0": "red", "vm-1": "red"}))
    assert pieces.stored("vm-0")["p"] == "blue" and pieces.stored("vm-1")["p"] == ""


def test_nothing_more_is_assigned_while_assignments_are_written(pieces: Pieces) -> None:
    async def run() -> None:
        pieces.machine("vm-0")
        task = asyncio.create_task(pieces.assignments.assign({"vm-0": "red"}))
        await asyncio.sleep(0)
        assert pieces.assignments.max_new_assignments() == 0 and pieces.assignments.under_way
        await task

    assert pieces.assignments.max_new_assignments() == MAX_ASSIGN_S * WRITES_PER_S
    asyncio.run(run())
    assert pieces.assignments.max_new_assignments() and not pieces.assignments.under_way


def test_a_machine_is_decommissioned_once(pieces: Pieces) -> None:
    async def run() -> None:
        await asyncio.gather(
            pieces.assignments.decommission(["vm-0"], "returned"),
            pieces.assignments.decommission(["vm-0", "vm-1"], "failed"),
        )
        await pieces.assignments.decommission(["vm-0", "vm-unknown"], "failed")

    pieces.machine("vm-0", later_version=[1])
    pieces.machine("vm-1")
    asyncio.run(run())
    assert [pieces.stored(name)["x"] for name in ("vm-0", "vm-1")] == ["returned", "failed"]
    assert pieces.stored("vm-0")["later_version"] == [1]
    assert pieces.store.attempts == 2 and not pieces.assignments.under_way


def test_failed_writes_are_no_longer_under_way(pieces: Pieces) -> None:
    pieces.machine("vm-0")
    pieces.store.down = True
    asyncio.run(pieces.assignments.assign({"vm-0": "red"}))
    asyncio.run(pieces.assignments.decommission(["vm-0"], "returned"))
    assert not pieces.assignments.under_way and pieces.stored("vm-0")["p"] == ""


# -- provisioner -------------------------------------------------------------------------------------


def test_what_is_stored_of_a_scale_out() -> None:
    stored = scale_out_to_stored(SCALE_OUT)
    assert stored == {"teams": [["red", 1], ["blue", 1]], "t": "g4", "z": "a", "s": True}
    assert scale_out_from_stored(stored) == SCALE_OUT
    earlier = {"team": "red", "n": 2, "t": "g4", "z": "a", "s": False}
    assert scale_out_from_stored(earlier) == ScaleOut((("red", 2),), "g4", "a", False)


def test_an_intent_is_written_before_the_request_and_deleted_after_it(
    pieces: Pieces,
) -> None:
    pieces.cloud.answers = [CloudError("no answer", True), ["vm-1", "vm-2"]]
    provisioner = pieces.provisioner()
    asyncio.run(provisioner.scale_out(SCALE_OUT))
    intent, machines, deletion = pieces.store.transactions
    assert intent == {f"charter/n1.{TERM}.8": scale_out_to_stored(SCALE_OUT)}
    assert [value["p"] for value in machines.values()] == ["red", "blue"]
    assert all(value["r"] == 1 for value in machines.values())
    assert deletion == {f"charter/n1.{TERM}.8": None}
    assert pieces.cloud.rented == [f"n1.{TERM}.8"] * 2
    assert pieces.allocator.results == [["vm-1", "vm-2"]] and not provisioner.under_way


@pytest.mark.parametrize(
    ("answers", "no_capacity"),
    [
        ([NoCapacityError()], True),
        ([CloudError("no answer", True)] * CLOUD_ATTEMPTS, False),
    ],
)
def test_a_scale_out_without_machines(
    answers: list[Exception], no_capacity: bool, pieces: Pieces
) -> None:
    pieces.cloud.answers = list(answers)
    asyncio.run(pieces.provisioner().scale_out(SCALE_OUT))
    assert pieces.allocator.results == [no_capacity] and not pieces.cloud.answers
    assert pieces.recorded() == [] and "charter" not in str(list(pieces.store.entries))


@pytest.mark.parametrize("why", ["down", "replaced", "lease over"])
def test_without_a_durable_intent_the_cloud_is_not_asked(why: str, pieces: Pieces) -> None:
    provisioner = pieces.provisioner()
    if why == "down":
        pieces.store.down = True
    elif why == "replaced":
        pieces.replaced()
    else:
        pieces.election.lease_valid_until = -math.inf
    asyncio.run(provisioner.scale_out(SCALE_OUT))
    assert not pieces.cloud.rented and pieces.allocator.results == [False]
    assert not provisioner.under_way and not pieces.store.transactions


def test_an_interrupted_intent_is_resumed_under_its_name(pieces: Pieces) -> None:
    provisioner = pieces.provisioner()

    class Suspended(FakeCloud):
        async def rent(self, name: str, *request: Any) -> list[str]:
            pieces.election.lease_valid_until = -math.inf
            return await super().rent(name, *request)

    provisioner.cloud = Suspended()  # type: ignore[assignment]
    with pytest.raises(NotLeaderError):
        asyncio.run(provisioner.scale_out(SCALE_OUT))
    assert pieces.allocator.results == [False] and not provisioner.under_way
    pieces.election.lease_valid_until = math.inf
    provisioner.cloud, pieces.cloud.answers = pieces.cloud, [["vm-1", "vm-2"]]
    asyncio.run(provisioner.resume_intents())
    assert pieces.allocator.scale_outs == [SCALE_OUT] and provisioner.scaling_out
    asyncio.run(pieces.spawned.pop())
    assert pieces.cloud.rented == [f"n1.{TERM}.8"] and pieces.recorded() == ["vm-1", "vm-2"]
    assert not provisioner.under_way and not pieces.spawned


def test_intents_of_earlier_terms_are_counted_and_repeated(pieces: Pieces) -> None:
    unknown_type = scale_out_to_stored(SCALE_OUT._replace(type="h9"))
    names = [f"n1.{TERM}.7", f"n1.{TERM}.8", f"n1.{TERM - 1}.9", "n2.30.9"]
    for name in names:
        pieces.store.put(f"charter/{name}", scale_out_to_stored(SCALE_OUT))
    pieces.store.put("charter/n2.30.10", unknown_type)
    provisioner = pieces.provisioner()
    asyncio.run(provisioner.resume_intents())
    resumed = {f"n1.{TERM}.7", f"n1.{TERM - 1}.9", "n2.30.9", "n2.30.10"}
    assert provisioner.open_intents == resumed, "the eighth of this term is this leader's own"
    assert pieces.allocator.scale_outs == [SCALE_OUT] * 3
    assert pieces.election.reconciled_term == TERM and len(pieces.spawned) == 4
    asyncio.run(provisioner.resume_intents())
    assert len(pieces.spawned) == 4, "what is under way is not begun again"
    for job in pieces.spawned:
        job.close()


def test_a_finished_intent_is_deleted_once_the_store_answers(pieces: Pieces) -> None:
    provisioner = pieces.provisioner()
    revision = pieces.store.put("charter/n2.30.9", scale_out_to_stored(SCALE_OUT))
    provisioner.finished_intents = {"n2.30.9": revision}
    pieces.store.down = True
    asyncio.run(provisioner._delete_finished_intents())
    assert list(provisioner.finished_intents) == ["n2.30.9"]
    pieces.store.down = False
    asyncio.run(provisioner.resume_intents())
    assert not provisioner.finished_intents and not pieces.spawned
    assert "charter/n2.30.9" not in pieces.store.entries


def test_a_decommissioned_machine_is_deleted_after_its_release(pieces: Pieces) -> None:
    released: list[str] = []
    provisioner = pieces.provisioner(on_released=released.extend)
    pieces.machine("vm-0")
    for n in range(1, 7):
        pieces.machine(f"vm-{n}", x="returned")
    pieces.fresh = False
    asyncio.run(provisioner.scale_in())
    assert not pieces.cloud.released
    pieces.fresh, pieces.cloud.answers = True, [CloudError("no answer", True)]
    with pytest.raises(CloudError):
        asyncio.run(provisioner.scale_in())
    assert len(pieces.recorded()) == 7 and not released and not provisioner.under_way
    asyncio.run(provisioner.scale_in())
    assert released == ["vm-1", "vm-2", "vm-3", "vm-4"], "as many as a transaction takes"
    assert pieces.recorded() == ["vm-0", "vm-5", "vm-6"]
    pieces.write_limits.ops = 10 * MAX_RELEASED_PER_REQUEST
    asyncio.run(provisioner.scale_in())
    assert pieces.recorded() == ["vm-0"]


# -- inventory ---------------------------------------------------------------------------------------


def test_an_unassigned_unrecorded_machine_is_adopted(pieces: Pieces) -> None:
    inventory = pieces.inventory()
    inventory.on_heartbeat(heartbeat("vm-9"), recorded=False)
    inventory.on_heartbeat(heartbeat("vm-8", "h9"), recorded=False)
    pieces.time += ADOPT_AFTER_S
    inventory.on_heartbeat(heartbeat("vm-9"), recorded=False)
    asyncio.run(inventory.adopt_unrecorded())
    assert pieces.recorded() == []
    pieces.time += 0.1
    asyncio.run(inventory.adopt_unrecorded())
    assert pieces.recorded() == ["vm-9"] and not pieces.heartbeats.unrecorded
    assert (
        pieces.stored("vm-9")
        == MachineRecord.from_source(heartbeat("vm-9"), "", pieces.time).to_stored()
    )


def test_heartbeats_of_released_and_of_assigned_machines_are_not_noted(pieces: Pieces) -> None:
    inventory = pieces.inventory()
    inventory.note_released(["vm-1"])
    pieces.assignments.pending_assignments.add("vm-2")
    for name in ("vm-1", "vm-2"):
        inventory.on_heartbeat(heartbeat(name), recorded=False)
    assert not pieces.heartbeats.unrecorded
    pieces.time += 4 * LAG_S + LEASE_S - 0.1
    inventory.on_heartbeat(heartbeat("vm-1"), recorded=False)
    assert not pieces.heartbeats.unrecorded
    pieces.time += 0.1
    inventory.on_heartbeat(heartbeat("vm-1"), recorded=False)
    inventory.on_heartbeat(heartbeat("vm-3"), recorded=True)
    assert list(pieces.heartbeats.unrecorded) == ["vm-1"]
    assert list(pieces.heartbeats.recorded) == ["vm-3"]


def test_failed_and_missing_machines_are_decommissioned(pieces: Pieces) -> None:
    inventory = pieces.inventory()
    for name in ("vm-0", "vm-1", "vm-2"):
        pieces.machine(name)
    pieces.cloud.hosts_listed = [host("vm-0"), host("vm-1"), host("vm-2", "failed")]
    asyncio.run(inventory.reconcile())
    assert pieces.stored("vm-2")["x"] == "failed"
    pieces.cloud.hosts_listed = [host("vm-0")]
    pieces.time += 3 * LAG_S
    asyncio.run(inventory.reconcile())
    assert "x" not in pieces.stored("vm-1"), "an old list may not hold it yet"
    pieces.time += 0.1
    asyncio.run(inventory.reconcile())
    assert pieces.stored("vm-1")["x"] == "not listed any more"
    assert pieces.stored("vm-2")["x"] == "failed" and "x" not in pieces.stored("vm-0")


def test_a_listed_machine_is_adopted_when_no_list_can_be_so_old(pieces: Pieces) -> None:
    inventory = pieces.inventory()
    pieces.cloud.hosts_listed = [host("vm-9")]
    asyncio.run(inventory.reconcile())
    pieces.time += 2 * LAG_S
    asyncio.run(inventory.reconcile())
    pieces.time += 0.1
    pieces.scaling_out = True
    asyncio.run(inventory.reconcile())
    assert pieces.recorded() == [], "what is being rented is listed before it is recorded"
    pieces.scaling_out = False
    asyncio.run(inventory.reconcile())
    assert pieces.recorded() == ["vm-9"]


def test_the_lag_is_what_the_lists_show_and_fades(pieces: Pieces) -> None:
    inventory = pieces.inventory()
    pieces.machine("vm-0", r=1)  # rented 100 s ago
    pieces.cloud.hosts_listed = [host("vm-0", age_s=80.0)]
    asyncio.run(inventory.reconcile())
    assert inventory.lag_s == 20.0
    pieces.cloud.hosts_listed = [host("vm-0", age_s=99.0)]
    asyncio.run(inventory.reconcile())
    assert inventory.lag_s == 18.0


def test_notes_about_deleted_machines_are_dropped(pieces: Pieces) -> None:
    inventory = pieces.inventory()
    pieces.machine("vm-0")
    for name in ("vm-0", "vm-1"):
        inventory.on_heartbeat(heartbeat(name), recorded=True)
    inventory.note_released(["vm-2"])
    asyncio.run(inventory.reconcile())
    assert list(pieces.heartbeats.recorded) == ["vm-0"] and list(inventory.released_at) == ["vm-2"]
    pieces.time += 20 * LAG_S + 60.1
    asyncio.run(inventory.reconcile())
    assert not inventory.released_at


def test_no_list_is_asked_for_once_the_lease_is_over(pieces: Pieces) -> None:
    pieces.election.lease_valid_until = -math.inf
    with pytest.raises(NotLeaderError):
        asyncio.run(pieces.inventory().reconcile())


# -- snapshot ----------------------------------------------------------------------------------------


def test_a_view_is_made_anew_only_when_its_record_changed(pieces: Pieces) -> None:
    pieces.machine("vm-0", i=[["image", 2.0], "earlier form"])
    pieces.machine("vm-1", x="returned")
    del pieces.store.entries["leader"]
    for name in ("vm-1", "vm-9"):
        pieces.heartbeats.note_unrecorded(heartbeat(name), pieces.time)
    snapshot = MachineSnapshot(pieces.cache, pieces.heartbeats)
    first = snapshot.machine_views()
    assert [(view.name, view.revision) for view in first] == [
        ("vm-9", ABSENT),
        ("vm-0", 101),
        ("vm-1", 102),
    ]
    assert first[1].images == {"image", "earlier form"} and first[2].decommissioned == "returned"
    pieces.machine("vm-1")
    second = snapshot.machine_views()
    assert second[1] is first[1]
    assert second[2] == machine_view(pieces.store.entries["machine/vm-1"]) != first[2]
