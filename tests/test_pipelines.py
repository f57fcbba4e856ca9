"""Jobs with dependencies, the upgrade to a new cluster version, and the store's smaller limits."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import json
import random
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import pytest

from ashdock.cluster_version import SUPPORTED_VERSION
from ashdock.core.dependency_graph import NO_URGENCY, DependencyGraph, Urgency
from ashdock.core.job import JobPhase, fit_job_record
from ashdock.core.park import Parks
from ashdock.core.shard import Shard
from ashdock.core.task import Failure, PlacementPhase, TaskState
from ashdock.core.write_limits import WriteLimits
from ashdock.net.http import Client
from ashdock.settings import NextLimits, Operators, StateLimits
from ashdock.wire import frames
from ashdock.wire.messages import encode
from ashdock.wire.peer_messages import (
    Hello,
    OwnershipClaims,
    PeerHeartbeat,
    TaskCounts,
    TransferMachine,
    TransferShard,
)
from tests import test_cluster, virtual_time
from tests.cluster import Service, job, shared
from tests.test_cluster import crash_all, no_fault, rolling_restart, store_down
from tests.test_core import G4, commit, heartbeat, queued_record, shard_with, spec
from tests.virtual_time import spawn

SMALLER_LIMITS = NextLimits(write_rps=100.0, value_kb=2.0, txn_ops=6)


def upgraded_shard(
    team: str = "red", revision: int = 10, value_kb: float = 0.5, ops: int = 6
) -> Shard:
    """A shard of a controller that has seen the new cluster version, within the smaller limits."""
    limits = StateLimits(200, 200, 8.0, 48, NextLimits(value_kb=value_kb, txn_ops=ops))
    common = msgspec.structs.replace(shared(), state=limits)
    write_limits = WriteLimits(limits)
    write_limits.apply_announced()
    return Shard(
        next(t for t in common.teams if t.name == team),
        revision,
        common,
        Operators(),
        {"g4": G4},
        random.Random(1),
        write_limits,
    )


# -- dependency graph --------------------------------------------------------------------------

GRAPHS = {  # job -> its dependencies
    "chain": {"b": ["a"], "c": ["b"], "d": ["c"]},
    "fan": {"b": ["a"], "c": ["a"], "d": ["a"]},
    "diamond": {"b": ["a"], "c": ["a"], "d": ["b", "c"]},
}


def build_graph(edges: dict[str, list[str]], due: float = 100.0) -> DependencyGraph:
    """A graph whose last job alone has a priority above 0 and a deadline; each job takes 10 s."""
    graph = DependencyGraph()
    for name, dependencies in edges.items():
        last = not any(name in other for other in edges.values())
        graph.add(
            name, dependencies, Urgency(2 if last else 0, due if last else float("inf")), 10.0, 0.0
        )
    return graph


@pytest.mark.parametrize(("name", "finish_by"), [("chain", 70.0), ("fan", 90.0), ("diamond", 80.0)])
def test_priority_and_deadline_are_inherited(name: str, finish_by: float) -> None:
    graph = build_graph(GRAPHS[name])
    assert graph.urgency_of("a") == Urgency(2, finish_by)
    # A more urgent pipeline that shares the first job is added and dropped.
    graph.add("x", ["a"], Urgency(3, 20.0), 5.0, 0.0)
    assert graph.urgency_of("a") == Urgency(3, 15.0)
    graph.drop("x")
    assert graph.urgency_of("a") == Urgency(2, finish_by)
    graph.receive_inheritance("blue", [("a", 1, 2.0), ("zz", 1, 1.0)])
    assert graph.urgency_of("a") == Urgency(2, 2.0)
    graph.receive_inheritance("blue", [])
    assert (
        graph.urgency_of("a") == Urgency(2, finish_by)
        and graph.urgency_of("zz") == NO_URGENCY
        and not graph.received
    )


@pytest.mark.parametrize("name", GRAPHS)
def test_waiting_jobs_are_released_or_cancelled_once(name: str) -> None:
    graph = build_graph(GRAPHS[name])
    released: list[str] = []
    done = ["a"]
    while done:
        released += [job for job, _ in graph.done(done[0], 7.0 + len(released))]
        done = done[1:] + [job for job in released if job not in done and job in graph.dependents]
    assert (
        sorted(released) == ["b", "c", "d"]
        and not graph.waiting
        and not graph.dependents
        and not graph.inherited
    )
    graph = build_graph(GRAPHS[name])
    assert sorted(graph.cancelled("a")) == ["b", "c", "d"]
    assert (
        graph.cancelled("a") == []
        and not graph.waiting
        and not graph.dependents
        and not graph.inherited
    )


def test_a_released_job_is_ready_since_its_last_dependency() -> None:
    graph = DependencyGraph()
    graph.add("c", ["a", "b"], NO_URGENCY, 1.0, 5.0)
    assert graph.done("b", 30.0) == [] and graph.done("a", None) == [("c", 30.0)]
    graph.add("d", ["a"], NO_URGENCY, 1.0, 50.0)
    assert graph.done("a", 30.0) == [("d", 50.0)]  # submitted after the dependency was done


def test_deep_and_wide_graphs_cost_few_visits_per_job(monkeypatch: pytest.MonkeyPatch) -> None:
    visits = [0]
    pop = heapq.heappop

    def counting_pop(heap: Any) -> Any:
        visits[0] += 1
        return pop(heap)

    monkeypatch.setattr(heapq, "heappop", counting_pop)
    deep = DependencyGraph()
    for n in range(1, 5000):
        deep.add(f"{n}", [f"{n - 1}"], Urgency(0), 1.0, 0.0)
    assert visits[0] <= 2 * 5000
    deep.add("last", ["4999"], Urgency(2, 9000.0), 1.0, 0.0)
    assert deep.urgency_of("0").priority == 2 and visits[0] <= 5 * 5000
    assert len(deep.cancelled("0")) == 5000
    # A ladder of diamonds has 2 to the 199th paths, but few edges.
    visits[0] = 0
    ladder = DependencyGraph()
    for n in range(1, 200):
        ladder.add(f"l{n}", [f"l{n - 1}", f"r{n - 1}"], Urgency(0), 1.0, 0.0)
        ladder.add(f"r{n}", [f"l{n - 1}", f"r{n - 1}"], Urgency(0), 1.0, 0.0)
    ladder.add("end", ["l199", "r199"], Urgency(2, 1000.0), 1.0, 0.0)
    assert ladder.urgency_of("l0") == Urgency(2, 800.0) and visits[0] <= 12 * 400


# -- waiting jobs of a shard --------------------------------------------------------------------


def test_a_waiting_job_uses_no_quota_and_starts_when_its_last_dependency_is_done() -> None:
    shard = shard_with(
        [
            spec(1),
            spec(2, awaits=["req-000001", "req-000009"], shares=8, urgency="high", due_s=60.0),
        ]
    )
    shard.machines["vm-0"].mark_up("x")
    shard.machines["vm-1"].mark_up("x")
    shard.tick(1.0)
    assert list(shard.dependency_tracker.unread) == ["req-000009"]
    first, last = shard.jobs["req-000001"], shard.jobs["req-000002"]
    assert (
        last.awaits_dependencies
        and first.priority == last.spec.priority
        and first.deadline_at < last.deadline_at == 60.0
    )
    shard.dependency_tracker.settled("req-000009", "done", 3.0, 3.5)
    shard.scheduler.schedule(4.0)
    assert (
        len(first.live) == 4
        and not last.live
        and shard.usage.gpus == 4
        and not shard.resource_requests
        and shard.status_reporter.shard_status(4.0).waiting_tasks == 0
    )
    commit(shard, 20)
    for name in ("vm-0", "vm-1"):
        shard.reconciler.on_heartbeat(heartbeat(name, 1), 5.0, checkin=True)
        ended = [
            (f"{p.job}/{p.task}", p.attempt, "ended", "done")
            for p in first.live.values()
            if p.machine == name
        ]
        shard.reconciler.on_heartbeat(heartbeat(name, 2, ended), 6.0, checkin=True)
    shard.scheduler.schedule(6.5)
    assert first.phase is JobPhase.OVER and not last.live  # its dependency is done in memory only
    commit(shard, 21)
    shard.scheduler.schedule(7.0)
    assert not last.awaits_dependencies and len(last.live) == 8 and last.eligible_at >= 3.0


def test_a_cancelled_job_cancels_its_dependents() -> None:
    shard = shard_with(
        [spec(1), spec(2, awaits=["req-000001"]), spec(3, awaits=["req-000002"]), spec(4)]
    )
    shard.cancel("req-000001", 5.0, 30, 5.0)
    assert {job.id: job.phase.value for job in shard.jobs.values()} == {
        "req-000001": "cancelled",
        "req-000002": "orphaned",
        "req-000003": "orphaned",
        "req-000004": "active",
    }
    writes = commit(shard, 31)
    for number in (2, 3):
        record = json.loads(encode(writes[f"job/req-{number:06d}"]))
        assert (
            record["status"] == "withdrawn"
            and "req-000001" in record["reason"]
            and writes[f"work/red/req-{number:06d}/job"] is None
        )
    assert list(shard.jobs) == ["req-000004"]
    # A job that is submitted later and needs one of them is cancelled once their record was read.
    shard.add_job(queued_record(spec(5, awaits=["req-000003"]), 6.0), 40)
    shard.tick(7.0)
    assert list(shard.dependency_tracker.unread) == ["req-000003"]
    shard.dependency_tracker.settled("req-000003", "withdrawn", None, 7.0)
    assert shard.jobs["req-000005"].phase is JobPhase.ORPHANED


@pytest.mark.parametrize("first", ["user", "owner"])
def test_a_user_and_an_owner_cancel_a_job_at_the_same_time(first: str) -> None:
    shard = shard_with([spec(2, awaits=["req-000001"])])
    shard.dependency_tracker.settled("req-000001", "withdrawn", None, 5.0)
    withdrawn = shard.jobs["req-000002"].record() | {"cancelled_at": 5.0}
    if first == "user":
        assert shard.writer.next_transaction() is not None  # is sent, and its conditions fail
        shard.writer.apply_stored_value("job/req-000002", withdrawn, 50, 6.0)
        shard.writer.apply_stored_value("work/red/req-000002/job", withdrawn, 50, 6.0)
        assert commit(shard, 60) == {"work/red/req-000002/job": None}
    else:
        assert shard.writer.next_transaction() is not None  # is applied, and its answer lost
        shard.writer.apply_stored_value("job/req-000002", withdrawn, 50, 6.0)
        shard.writer.apply_stored_value("work/red/req-000002/job", None, 0, 6.0)
    assert not shard.jobs and shard.writer.next_transaction() is None


# -- records of the previous version ------------------------------------------------------------

# As the version before jobs with dependencies stored them: an array of three chunks, a gang half
# placed, a cancelled job, parks, a machine.
OLD_RECORDS: dict[str, Any] = {
    "machine/vm-000001": {
        "t": "g4",
        "z": "a",
        "s": False,
        "a": "10.1.0.1:9000",
        "p": "red",
        "at": 3.5,
        "r": 1,
        "i": [["img", 2.0], "old"],
        "n": 2,
    },
    "work/red/req-000001/job": {
        "spec": {
            "id": "req-000001",
            "job_class": "w",
            "team": "red",
            "kind": "array",
            "priority": 1,
            "tasks": 150,
            "cpus": 0.1,
            "gpus": 0.0,
            "memory_gb": 0.1,
            "image": "img",
            "image_gb": 2.0,
            "one_zone": False,
            "spread": False,
            "spot": False,
            "estimate_s": 8.0,
            "checkpoint_s": 0.0,
            "save_s": 0.0,
            "types": None,
            "zone": None,
            "deadline_s": None,
        },
        "at": 1.0,
        "status": "queued",
        "reason": "task 3 failed: error on vm-000001; tried again",
    },
    "work/red/req-000001/0": {
        "a": 2,
        "d": [[0, 2], [5, 9]],
        "p": [[3, "vm-000001", 2], [4, "vm-000001", 1]],
        "f": [[10, 12, 1, 1.5, "error on vm-000001", 0]],
    },
    "work/red/req-000001/1": {"a": 1, "p": [[70, "vm-000001", 1]]},
    "work/red/req-000001/2": {"a": 1, "d": [[130, 149]]},
    "work/red/req-000002/job": {
        "spec": {
            "id": "req-000002",
            "job_class": "w",
            "team": "red",
            "kind": "gang",
            "priority": 1,
            "tasks": 2,
            "cpus": 1.0,
            "gpus": 1.0,
            "memory_gb": 1.0,
            "image": "img",
            "image_gb": 2.0,
            "one_zone": True,
            "spread": False,
            "spot": False,
            "estimate_s": 8.0,
            "checkpoint_s": 0.0,
            "save_s": 0.0,
            "types": ["g4"],
            "zone": "a",
            "deadline_s": 60.0,
        },
        "at": 1.0,
        "status": "queued",
    },
    "work/red/req-000002/0": {"a": 3, "p": [[0, "vm-000001", 3]]},
    "work/red/req-000003/job": {
        "spec": {
            "id": "req-000003",
            "job_class": "w",
            "team": "red",
            "kind": "array",
            "priority": 1,
            "tasks": 1,
            "cpus": 1.0,
            "gpus": 1.0,
            "memory_gb": 1.0,
            "image": "img",
            "image_gb": 2.0,
            "one_zone": False,
            "spread": False,
            "spot": False,
            "estimate_s": 8.0,
            "checkpoint_s": 0.0,
            "save_s": 0.0,
            "types": None,
            "zone": None,
            "deadline_s": None,
        },
        "at": 1.0,
        "status": "withdrawn",
        "cancelled_at": 4.0,
    },
    "work/red/req-000003/0": {"a": 1, "p": [[0, "vm-000001", 1]]},
    "park/red/0": [["req-000001", 100, 105, 30.0, 2, 1.5, "error on vm-000001", 0]],
}


class Store:
    """The keys of one shard and their revisions; applies transactions as the real store does."""

    def __init__(
        self, keys: dict[str, Any], value_bytes: int = 1 << 20, ops: int = 1 << 10
    ) -> None:
        """Store these values.

        Args:
            keys: Values by key.
            value_bytes: Largest value that a transaction may write.
            ops: Most writes of a transaction.
        """
        self.keys = {path: (value, 5) for path, value in keys.items()}
        self.keys |= {
            f"job/{path.split('/')[2]}": (value, 5)
            for path, value in keys.items()
            if path.endswith("/job")
        }
        self.revision = 10
        self.value_bytes, self.ops = value_bytes, ops

    def load_into(self, shard: Shard) -> Shard:
        """Let the shard claim its key and load its records, as its owner does in a failover."""
        self.keys[f"part/{shard.name}"] = ({}, shard.revision)
        rows = [(path, value, revision) for path, (value, revision) in sorted(self.keys.items())]
        shard.load(
            [(path.split("/")[1], v, s) for path, v, s in rows if path.startswith("machine/")],
            [row for row in rows if row[0].startswith("work/")],
            [row for row in rows if row[0].startswith("park/")],
            20.0,
        )
        return shard

    def apply(self, txn: Any) -> bool:
        """Apply a transaction unless a revision differs from the expected one; whether it was."""
        if any(
            self.keys.get(path, (None, 0))[1] != revision
            for path, revision in txn.conditions.items()
        ):
            return False
        assert len(txn.writes) <= self.ops and all(
            len(encode(value)) <= self.value_bytes for value in txn.writes.values()
        )
        self.revision += 1
        for path, value in txn.writes.items():
            if value is None:
                self.keys.pop(path, None)
            else:
                self.keys[path] = (json.loads(encode(value)), self.revision)
        return True

    def commit(self, shard: Shard) -> bool:
        """Write the shard's next transaction; whether there was one."""
        txn = shard.writer.next_transaction()
        if txn is None:
            return False
        assert self.apply(txn)
        for callback in txn.on_commit:
            callback(self.revision)
        return True


def old_records_of(job: str) -> dict[str, Any]:
    """What the previous version stored of one job, and of the machine."""
    return {
        path: value
        for path, value in OLD_RECORDS.items()
        if job in path or path.startswith("machine/")
    }


def states(shard: Shard) -> dict[str, Any]:
    """Task states, placements, failures and phase of each job."""
    return {
        job.id: (
            bytes(job.states),
            sorted((p.task, p.machine, p.attempt) for p in job.live.values()),
            sorted(job.failures.items()),
            job.phase,
        )
        for job in shard.jobs.values()
    }


def test_records_of_the_previous_version_are_read_and_written_as_it_does() -> None:
    old, new = (
        Store(OLD_RECORDS).load_into(shard_with([], "")),
        Store(OLD_RECORDS).load_into(upgraded_shard()),
    )
    assert states(old) == states(new)
    one, gang, gone = (new.jobs[f"req-00000{n}"] for n in (1, 2, 3))
    assert {task for task in range(150) if one.states[task] == TaskState.DONE} == {
        0,
        1,
        2,
        *range(5, 10),
        *range(130, 150),
    }
    assert [one.states[task] for task in (3, 70, 100, 11)] == [
        TaskState.LIVE,
        TaskState.LIVE,
        TaskState.PARKED,
        TaskState.READY,
    ]
    assert (
        one.failures[11].failure_count == 1
        and one.live[3].attempt == 2
        and one.reason
        and not one.awaits_dependencies
    )
    assert all(
        p.phase is PlacementPhase.STOPPING for p in (*gang.live.values(), *gone.live.values())
    )
    assert new.usage.gpus == 2.0 and new.machines["vm-000001"].incarnation == 2
    # Before the new cluster version is in force, the same is written as by the previous version.
    one = old.jobs["req-000001"]
    assert [one.chunk_value(n) for n in range(3)] == [
        OLD_RECORDS[f"work/red/req-000001/{n}"] for n in range(3)
    ]
    assert (
        json.loads(encode(one.record())) == OLD_RECORDS["work/red/req-000001/job"]
        and one.chunk_path(2) == "work/red/req-000001/2"
    )
    machine = old.machines["vm-000001"]
    assert machine.record("red") == OLD_RECORDS["machine/vm-000001"] | {
        "i": [["img", 2.0], ["old", 0.0]]
    }


OLD_FRAMES = [  # as the previous version packed them
    (Hello("n1"), "414403010000000400026e31"),
    (
        PeerHeartbeat(7, 0.5, 1.5, True, False, 2.0, 3.0),
        "41440302000000"
        + "2a"
        + "0000000000000007"
        + "3fe0000000000000"
        + "3ff8000000000000"
        + "0100"
        + "4000000000000000"
        + "4008000000000000",
    ),
    (
        TransferMachine("red", "vm-1", ""),
        "41440304000000" + "0d" + "0003726564" + "0004766d2d31" + "0000",
    ),
    (
        TaskCounts([("req-1", 3, 4)]),
        "41440308000000" + "13" + "00000001" + "00057265712d31" + "00000003" + "00000004",
    ),
    (TransferShard("red", "n2"), "41440309000000" + "09" + "0003726564" + "00026e32"),
    (
        OwnershipClaims([("red", 7)]),
        "4144030b000000" + "11" + "00000001" + "0003726564" + "0000000000000007",
    ),
]


@pytest.mark.parametrize(("frame", "raw"), OLD_FRAMES, ids=lambda item: type(item).__name__)
def test_frames_are_packed_as_by_the_previous_version(frame: Any, raw: str) -> None:
    assert frames.pack(frame).hex() == raw


# -- smaller values and transactions ------------------------------------------------------------


def test_a_failover_at_each_step_of_the_change_to_narrower_chunks_reads_the_same_state() -> None:
    """Chunks for values of 8 KiB are replaced by ones for half a KiB, four writes a transaction."""
    keys = old_records_of("req-000001")
    keys["work/red/req-000001/1"] = {
        "a": 1,
        "p": [[task, "vm-000001", 1] for task in range(65, 125)],
    }
    store = Store(keys, value_bytes=512, ops=4)
    shard = store.load_into(upgraded_shard(ops=4))
    job = shard.jobs["req-000001"]
    for placement in list(job.live.values())[:4]:  # so that the values are written again
        job.set_failure(placement.task, Failure(1, 2.0, "error on vm-000001"))
    before = states(shard)
    written = 0
    while store.commit(shard):
        written += 1
        successor = store.load_into(upgraded_shard(revision=shard.revision))
        loaded, expected = states(successor)["req-000001"], before["req-000001"]
        assert loaded[:2] == expected[:2] and {task for task, _ in loaded[2]} <= {
            task for task, _ in expected[2]
        }
        assert successor.jobs["req-000001"].attempt_for(80) == job.attempt_for(80)
    assert (
        written > 2
        and states(store.load_into(upgraded_shard()))["req-000001"] == before["req-000001"]
    )
    assert not [
        path
        for path in store.keys
        if path.startswith("work/red/req-000001/")
        and path[-1].isdigit()
        and "w" not in path.rsplit("/", 1)[1]
    ]
    # A successor that takes over half-way completes the change, with the same result.
    store = Store(keys, value_bytes=512, ops=4)
    shard = store.load_into(upgraded_shard(ops=4))
    job = shard.jobs["req-000001"]
    for placement in list(job.live.values())[:4]:
        job.set_failure(placement.task, Failure(1, 2.0, "error on vm-000001"))
    txn = shard.writer.next_transaction()
    assert txn is not None and store.apply(txn)
    successor = store.load_into(upgraded_shard(revision=11, ops=4))
    while store.commit(successor):
        pass
    assert states(store.load_into(upgraded_shard()))["req-000001"][:2] == before["req-000001"][:2]


def test_a_late_transaction_of_an_earlier_owner_is_fenced() -> None:
    """A placement that an ended owner had sent must not be applied after the next owner's claim."""
    keys = old_records_of("req-000001")
    store = Store(keys)
    old = store.load_into(shard_with([], "", revision=9))
    old.machines["vm-000001"].mark_up("x")
    old.scheduler.schedule(20.0)
    late = old.writer.next_transaction()
    assert late is not None and any(path.endswith("/0") for path in late.writes)
    store.load_into(upgraded_shard(revision=10))
    assert not store.apply(late)


@pytest.mark.parametrize("chunks", [True, False])
def test_a_late_transaction_from_before_narrower_chunks_changes_nothing(chunks: bool) -> None:
    keys = old_records_of("req-000001")
    if not chunks:
        keys = {
            path: value
            for path, value in keys.items()
            if not path.startswith("work/") or path.endswith("/job")
        }
    store = Store(keys)
    shard = store.load_into(upgraded_shard(value_kb=8.0))
    shard.machines["vm-000001"].mark_up("x")
    shard.scheduler.schedule(21.0)
    late = shard.writer.next_transaction()
    assert late is not None and any(path.endswith("/1") for path in late.writes)
    expected = states(shard)
    shard.jobs["req-000001"].narrow_chunks(20)
    while store.commit(shard):
        pass
    assert store.apply(late) is not chunks  # a chunk that was not stored yet can still be created
    assert states(store.load_into(upgraded_shard())) == expected


def test_a_wide_gang_is_placed_in_several_transactions_and_started_after_the_last() -> None:
    shard = upgraded_shard(ops=4)
    shard.load(
        [
            (f"vm-{n}", {"t": "g4", "z": "a", "s": False, "p": "red", "n": 1, "a": "x:1"}, 5)
            for n in range(8)
        ],
        [],
        [],
        0.0,
    )
    shard.add_job(
        queued_record(spec(1, shape="ensemble", shares=120, cpus=2.0, accelerators=0.0), 0.0), 7
    )
    job = shard.jobs["req-000001"]
    job.narrow_chunks(8)
    shard.scheduler.schedule(1.0)
    assert len(job.live) == 120
    store = Store({}, value_bytes=512, ops=4)
    store.keys |= {
        "part/red": ({}, 10),
        "job/req-000001": ({}, 7),
        "work/red/req-000001/job": (queued_record(job.spec, 0.0), 7),
    }
    steps = 0
    while (txn := shard.writer.next_transaction()) is not None:
        assert store.apply(txn) and not any(
            p.phase is PlacementPhase.COMMITTED for p in job.live.values()
        )
        for callback in txn.on_commit:
            callback(store.revision)
        steps += 1
        successor = store.load_into(upgraded_shard(ops=4))
        if successor.jobs["req-000001"].live:
            stopped = all(
                p.phase is PlacementPhase.STOPPING
                for p in successor.jobs["req-000001"].live.values()
            )
            assert stopped == (len(successor.jobs["req-000001"].live) < 120)
    assert steps == 4 and all(p.phase is PlacementPhase.COMMITTED for p in job.live.values())
    # The chunks hold placements of two different attempts, so the gang is not whole.
    value, revision = store.keys["work/red/req-000001/3w8"]
    store.keys["work/red/req-000001/3w8"] = (
        {"a": 2, "p": [[task, name, 2] for task, name, _ in value["p"]]},
        revision,
    )
    assert all(
        p.phase is PlacementPhase.STOPPING
        for p in store.load_into(upgraded_shard()).jobs["req-000001"].live.values()
    )


def test_parks_are_split_into_smaller_values_and_none_is_lost_or_doubled() -> None:
    parks = Parks("red", 4000)
    for n in range(30):
        parks.add(f"req-{n:06d}", [[0, 3]], 100.0 + n, Failure(2, 50.0, "error on vm-1"))
    (first,) = parks.pending_writes()
    stored = dict([first])
    parks.set_written(*first, 5)
    parks.set_value_bytes(400)
    writes = parks.pending_writes()
    assert all(len(encode(value)) <= 400 for _, value in writes) and len(writes) > 3
    for n, value in writes:  # each in a transaction of its own, at worst
        stored[n] = value
        reloaded = Parks("red", 400)
        for k, rows in sorted(stored.items()):
            reloaded.load(k, rows or [], 6)
        assert sorted(reloaded.items) == sorted(parks.items)


def test_a_refusal_for_its_size_makes_transactions_and_values_smaller() -> None:
    write_limits = WriteLimits(StateLimits(200, 80, 8.0, 48))
    write_limits.lower_after_refusal(48, 3000)
    assert (write_limits.ops, write_limits.value_bytes) == (24, int(8 * 1024 * 0.9))
    for _ in range(9):
        write_limits.lower_after_refusal(write_limits.ops, 3000)
    assert write_limits.ops == 4 and write_limits.value_bytes == 2250
    for _ in range(20):
        write_limits.lower_after_refusal(4, write_limits.value_bytes)
    assert write_limits.value_bytes == 512
    shard = upgraded_shard()
    large_spec = spec(1, hulls=["g4", *(f"type-{n:03d}" for n in range(100))])
    shard.add_job(queued_record(large_spec, 0.0), 7)
    assert len(encode(shard.jobs["req-000001"].record())) > 1000
    shard.cancel("req-000001", 1.0, 8, 1.0)
    trimmed = fit_job_record(shard.jobs["req-000001"].record(), 512)
    assert (
        len(encode(trimmed)) <= 512
        and trimmed["status"] == "withdrawn"
        and trimmed["spec"].tasks == 4
    )


# -- whole services ----------------------------------------------------------------------------


def play(
    monkeypatch: pytest.MonkeyPatch,
    seed: int,
    day: Callable[[Service], Awaitable[Any]],
    **more: Any,
) -> Service:
    # The settling time is enough for the new cluster version to come into force.
    return test_cluster.run_scenario(monkeypatch, seed, day, settle=4.0, **more)


def pipeline(first: int, **more: Any) -> list[dict[str, Any]]:
    """An array, two arrays that need it, a gang of the other team after those, and a last job."""
    a, b, c, d = (f"req-{first + n:06d}" for n in range(4))
    return [
        job(first, shares=2, expect_s=4.0, urgency="best_effort", **more),
        job(first + 1, awaits=[a], expect_s=3.0),
        job(first + 2, awaits=[a, a], shares=3),
        job(first + 3, owner="blue", shape="ensemble", shares=2, awaits=[b, c], expect_s=3.0),
        job(first + 4, shares=1, awaits=[d, a], urgency="high", due_s=90.0),
    ]


async def transactions_late_or_unanswered(service: Service) -> None:
    service.store.late_write_share = service.store.lost_answer_share = 0.06
    await asyncio.sleep(30)
    service.store.late_write_share = service.store.lost_answer_share = 0.0


async def watch_falls_behind(service: Service) -> None:
    service.store.job_watches_lag = True
    await asyncio.sleep(6)
    service.store.job_watches_lag = False


async def limits_fall(service: Service) -> None:
    await asyncio.sleep(2)
    service.store.txn_limits, service.store.write_rps = (2048, 6), 100.0


@pytest.mark.parametrize(
    "fault",
    [
        no_fault,
        store_down,
        crash_all,
        rolling_restart,
        transactions_late_or_unanswered,
        watch_falls_behind,
        limits_fall,
    ],
    ids=lambda f: f.__name__,
)
def test_pipelines_end_in_order(
    fault: Callable[[Service], Awaitable[None]], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def day(service: Service) -> None:
        spawn(service.net, "users", fault(service))
        runs = [*pipeline(1), *pipeline(11, owner="blue")]
        for run in runs[:4] + runs[5:]:
            assert await service.submit(run) in (200, 201)
        if fault is no_fault:
            assert await service.poll("req-000004") == "queued"
            assert (
                service.last_answers["req-000004"]["reason"] == "waits for req-000002, req-000003"
            )
            # The last job is then submitted when all that it needs is done.
            assert await service.until_final(["req-000004"], 120) == []
        assert await service.submit(runs[4]) in (200, 201)
        assert await service.until_final([run["id"] for run in runs], 200) == []
        assert {service.invariants.final_states[run["id"]] for run in runs} == {"done"}

    service = play(monkeypatch, 31, day, later=SMALLER_LIMITS)
    # Every transaction kept to the smaller limits before the store applied them.
    assert service.store.refused_by_status.get(400, 0) == 0


@pytest.mark.parametrize(
    "step", ["none", "job/req-000002", "job/req-000004", "job/req-000005", "state"]
)
def test_a_cancellation_reaches_dependents_of_two_teams(
    step: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A shard's owner crashes as soon as it has stored a cancellation, or the store fails.

    The store fails right after the first cancellation was answered.
    """

    async def day(service: Service) -> None:
        runs = pipeline(1)
        for run in runs:
            assert await service.submit(run) in (200, 201)

        def hook(writes: list[dict[str, Any]]) -> None:
            if any(w.get("set") == step and w["value"]["status"] == "withdrawn" for w in writes):
                service.store.on_transaction = None
                team = "blue" if step.endswith("4") else "red"
                for n, controller in list(service.controllers.items()):
                    if team in controller.owners:
                        service.crash(n, 3.0)

        service.store.on_transaction = hook
        await asyncio.sleep(1)
        assert await service.cancel("req-000001") == "withdrawn"
        if step == "state":
            service.store.down = True
            await asyncio.sleep(6)
            service.store.down = False
        ids = [run["id"] for run in runs]
        await asyncio.sleep(1)
        # Submitted only now, it needs a job that was cancelled with its dependency.
        assert await service.submit(job(9, owner="blue", awaits=["req-000004"])) in (200, 201)
        assert await service.until_final([*ids, "req-000009"], 15) == []
        assert {service.invariants.final_states[name] for name in [*ids, "req-000009"]} == {
            "withdrawn"
        }
        assert "req-000001" in service.last_answers["req-000005"]["reason"]
        assert await service.submit(job(10, shares=1)) == 201  # so that something runs
        assert await service.until_final(["req-000010"], 60) == []

    play(monkeypatch, 33, day)


@pytest.mark.parametrize("seed", range(3))
def test_a_submission_races_the_cancellation_of_its_dependency(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def day(service: Service) -> None:
        numbers = range(1, 9)
        await asyncio.gather(*(service.submit(job(n, expect_s=20.0, shares=1)) for n in numbers))
        await asyncio.sleep(3 * seed)
        calls: list[Any] = [service.cancel(f"req-{n:06d}") for n in numbers]
        calls += [
            service.submit(job(20 + n, awaits=[f"req-{n:06d}"], owner="blue" if n % 2 else "red"))
            for n in numbers
        ]
        await asyncio.gather(*calls)
        assert await service.until_final([f"req-{20 + n:06d}" for n in numbers], 15) == []
        assert {service.invariants.final_states[f"req-{20 + n:06d}"] for n in numbers} == {
            "withdrawn"
        }
        assert await service.submit(job(99, shares=1)) == 201
        assert await service.until_final(["req-000099"], 60) == []

    play(monkeypatch, 40 + seed, day)


def test_a_cancellation_after_the_end_changes_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    async def day(service: Service) -> None:
        await service.submit(job(1, shares=1, expect_s=1.0))
        assert await service.until_final(["req-000001"], 60) == []
        assert await service.cancel("req-000001") == "done"
        await service.submit(job(2, shares=1, awaits=["req-000001"], owner="blue"))
        assert (
            await service.until_final(["req-000002"], 60) == []
            and service.invariants.final_states["req-000002"] == "done"
        )

    play(monkeypatch, 35, day)


AWAITS = [  # dependencies of a submission -> HTTP status
    ("req-000001", 400),
    ([1], 400),
    ([""], 400),
    (["x"], 400),
    ([["req-000001"]], 400),
    ({}, 400),
    (["req-000001", None], 400),
    (["req-777777"], 422),
    (["req-000001", "req-777777"], 422),
    (["req-000050"], 422),
    (["req-000002"], 422),
    ([f"req-{n:06d}" for n in range(1000, 2000)], 422),
    ([], 201),
    (None, 201),
    (["req-000001", "req-000001", "req-000003"], 201),
]


def test_answers_to_the_dependencies_of_a_submission(monkeypatch: pytest.MonkeyPatch) -> None:
    async def day(service: Service) -> None:
        await service.submit(job(1, shares=1, expect_s=2.0))
        await service.submit(job(2, shape="daemon", shares=1))
        await service.submit(job(3, shape="daemon", shares=1))
        await service.cancel("req-000003")
        client = Client("10.0.0.1", 8080, max_idle=0)
        for n, (awaits, expected) in enumerate(AWAITS, 50):
            run = job(n if n < 59 else n + 1, shares=1, expect_s=1.0) | {"awaits": awaits}
            if awaits == ["req-000050"]:
                run["id"] = "req-000050"  # its own id
            service.invariants.submitted(run)
            status, answer = await client.request("POST", "/v2/runs", json.dumps(run).encode(), 5.0)
            assert status == expected, (awaits, answer)
        # A repeated submission of an accepted job is answered with 200, whatever it needs.
        for awaits in (["req-777777"], [f"req-{n:06d}" for n in range(1000, 2000)], ["req-000001"]):
            status, _ = await client.request(
                "POST", "/v2/runs", json.dumps(job(1) | {"awaits": awaits}).encode(), 5.0
            )
            assert status == 200
        service.store.down = True
        await asyncio.sleep(2)
        status, _ = await client.request(
            "POST", "/v2/runs", json.dumps(job(90) | {"awaits": ["req-777777"]}).encode(), 5.0
        )
        assert status == 503
        service.store.down = False
        await service.until_final(["req-000001"], 60)

    play(monkeypatch, 36, day)


def test_the_cluster_version_waits_for_every_controller(monkeypatch: pytest.MonkeyPatch) -> None:
    """Two controllers announced the new version, and one of them restarts; the third did not."""

    async def main(net: virtual_time.Network) -> Service:
        service = Service(net, later=SMALLER_LIMITS)
        boot = service.boot
        service.boot = lambda n: boot(n) if n != 2 else None  # type: ignore[method-assign]
        await service.start()
        await asyncio.sleep(4)
        assert (
            await service.submit(job(1, shares=70, accelerators=0.1, cpus=0.1, expect_s=30.0))
            == 201
        )
        client = Client("10.0.0.1", 8080, max_idle=0)
        body = json.dumps(job(2, awaits=["req-000001"])).encode()
        service.invariants.submitted(job(2, awaits=["req-000001"]))
        for crash in (None, 0):
            if crash is not None:
                service.crash(crash, 2.0)
                await asyncio.sleep(6)
            status, answer = await client.request("POST", "/v2/runs", body, 5.0)
            assert status == 503 and b"new version" in answer
            assert (
                "upgrade/mark" not in service.store.keys
                and "upgrade/node/n2" not in service.store.keys
            )
            written = [path for path in service.store.keys if path.startswith("work/")]
            assert written and not any("w" in path.rsplit("/", 1)[1] for path in written)
            assert not any("done_at" in str(value) for value, _, _ in service.store.keys.values())
        boot(2)
        await asyncio.sleep(4)
        assert service.store.keys["upgrade/mark"][0]["forms"] == SUPPORTED_VERSION
        service.crash(1, 0.5)  # a controller that has announced it still counts while it is down
        service.crash(2, 0.5)
        await asyncio.sleep(3)
        status, _ = await client.request("POST", "/v2/runs", body, 5.0)
        assert status == 201
        service.store.txn_limits = (2048, 6)
        assert await service.until_final(["req-000001", "req-000002"], 200) == []
        service.invariants.end()
        return service

    assert virtual_time.run(main, 37, monkeypatch).invariants.violations == []


@pytest.mark.parametrize("announced", [True, False], ids=["announced", "unannounced"])
def test_limits_fall_while_a_large_array_and_a_wide_gang_run(
    announced: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def day(service: Service) -> None:
        wide = job(
            2,
            shape="ensemble",
            shares=90,
            cpus=0.2,
            accelerators=0.125,
            ram_gb=0.1,
            expect_s=10.0,
            owner="blue",
        )
        large = job(1, shares=400, cpus=0.1, accelerators=0.03125, ram_gb=0.1, expect_s=3.0)
        assert await service.submit(large) == 201 and await service.submit(wide) == 201
        await asyncio.sleep(4)
        service.store.txn_limits, service.store.write_rps = (700, 5), 60.0
        await asyncio.sleep(4)
        service.crash(0, 2.0)
        assert await service.submit(job(3, shares=1)) in (200, 201)
        assert await service.until_final(["req-000001", "req-000002", "req-000003"], 240) == []
        await asyncio.sleep(5)
        assert not any(path.startswith("work/") for path in service.store.keys)

    service = play(
        monkeypatch,
        38,
        day,
        later=NextLimits(write_rps=60.0, value_kb=0.7, txn_ops=5) if announced else None,
    )
    if announced:
        assert service.store.refused_by_status.get(400, 0) == 0
    else:
        assert 0 < service.store.refused_by_status.get(400, 0) < 60


def test_a_pipeline_costs_few_requests_and_writes(monkeypatch: pytest.MonkeyPatch) -> None:
    """Jobs are released without polling: ten that wait half a minute cost as much as ten others."""
    cost: list[tuple[int, int]] = []
    for waiting in (False, True):

        async def day(service: Service, waiting: bool = waiting) -> None:
            await service.submit(job(1, shares=1, expect_s=30.0))
            before = service.store.request_count, service.store.write_count
            for n in range(2, 12):
                await service.submit(
                    job(
                        n,
                        shares=1,
                        accelerators=0.1,
                        cpus=0.1,
                        awaits=["req-000001"] if waiting else None,
                        expect_s=30.0,
                    )
                )
            await asyncio.sleep(75)
            cost.append(
                (service.store.request_count - before[0], service.store.write_count - before[1])
            )
            assert await service.until_final([f"req-{n:06d}" for n in range(1, 12)], 60) == []

        play(monkeypatch, 39, day)
    assert cost[1][1] <= cost[0][1] + 5 and cost[1][0] <= cost[0][0] + 40, cost


def test_scheduling_does_not_wait_until_all_changes_are_written(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Scheduling cycles run while transactions of large arrays are being written.

    With few writes a second, an array's transactions took nine seconds. No scheduling cycle ran
    before the last, so each step of a pipeline began five seconds late.
    """

    async def day(service: Service) -> None:
        for n in range(1, 25):
            await service.submit(
                job(n, shares=60, cpus=0.01, accelerators=0.0078125, ram_gb=0.01, expect_s=30.0)
            )
        await asyncio.sleep(8)
        controller = next(c for c in service.controllers.values() if "red" in c.owners)
        shard = controller.owners["red"].shard
        assert shard is not None
        txn, schedule, cycles = controller.store.txn, shard.scheduler.schedule, [service.now()]

        async def slow_txn(when: dict[str, int], writes: dict[str, Any], **more: Any) -> int:
            await asyncio.sleep(0.4 if "part/red" in when else 0.0)
            return await txn(when, writes, **more)

        monkeypatch.setattr(controller.store, "txn", slow_txn)

        def recording_schedule(now: float) -> Any:
            cycles.append(service.now())
            return schedule(now)

        monkeypatch.setattr(shard.scheduler, "schedule", recording_schedule)
        for one in shard.jobs.values():
            for chunk in one.chunks.values():
                chunk.placed_generation = chunk.mark_changed()
                one.mark_changed()
        shard.needs_scheduling = True
        await asyncio.sleep(0.5)
        shard.needs_scheduling = True
        await asyncio.sleep(6)
        assert max(b - a for a, b in itertools.pairwise([*cycles, service.now()])) < 1.2
        assert await service.until_final([f"req-{n:06d}" for n in range(1, 25)], 240) == []

    play(monkeypatch, 45, day, later=NextLimits(value_kb=1.0, txn_ops=4))


@pytest.mark.parametrize(
    ("now", "stopped"), [(10.0, 0), (128.0, 2), (400.0, 0)], ids=["in time", "pressed", "too late"]
)
def test_an_inherited_priority_preempts_only_when_it_helps(now: float, stopped: int) -> None:
    shard = shard_with(
        [
            spec(
                1,
                shape="ensemble",
                shares=2,
                cpus=30.0,
                snapshot_s=5.0,
                flush_s=1.0,
                expect_s=900.0,
            )
        ],
        "ab",
    )
    for name in shard.machines:
        shard.machines[name].mark_up("x")
    shard.scheduler.schedule(0.5)
    commit(shard, 20)
    for name in shard.machines:
        shard.reconciler.on_heartbeat(heartbeat(name, 1), 1.0, checkin=True)
        running = [
            (f"{p.job}/{p.task}", p.attempt, "running", None)
            for p in shard.jobs["req-000001"].live.values()
            if p.machine == name
        ]
        shard.reconciler.on_heartbeat(heartbeat(name, 2, running), 2.0, checkin=True)
    shard.add_job(
        queued_record(
            spec(2, shares=2, cpus=16.0, accelerators=0.0, urgency="best_effort", expect_s=8.0), 0.0
        ),
        30,
    )
    shard.add_job(
        queued_record(
            spec(3, shares=1, awaits=["req-000002"], urgency="high", expect_s=8.0, due_s=150.0), 0.0
        ),
        31,
    )
    assert shard.jobs["req-000002"].priority == 2
    shard.scheduler.schedule(now)
    assert (
        sum(p.phase is PlacementPhase.STOPPING for p in shard.jobs["req-000001"].live.values())
        == stopped
    )


@pytest.mark.parametrize(("short", "most"), [(False, 18), (True, 6)])
def test_when_writes_are_scarce_few_changes_that_can_wait_are_included(
    short: bool, most: int
) -> None:
    shard = upgraded_shard(value_kb=0.3, ops=48)
    shard.shared.state.write_rps = shard.write_limits.write_rps = 54.0
    shard.add_job(
        queued_record(spec(1, shares=400, cpus=0.01, accelerators=0.0, ram_gb=0.01), 0.0), 7
    )
    job = shard.jobs["req-000001"]
    for task in range(400):
        job.finish(task) if task < 399 else None
    assert len(job.chunks) > 20 and not job.is_urgent
    shard.add_machine("vm-1", {"t": "g4", "z": "a", "s": False, "p": "red"}, 5, 0.0)
    shard.decommission(shard.machines["vm-1"], "silent")  # this cannot wait
    txn = shard.writer.next_transaction(short)
    assert txn is not None and txn.urgent and "machine/vm-1" in txn.writes
    assert 1 + most - 2 <= len(txn.writes) <= most
