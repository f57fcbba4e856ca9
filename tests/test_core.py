"""Tests of ashdock.core, most of them on tables of cases.

They cover chunks, retries and parks, quota, placement, the proofs that a task has ended, the
scheduler's ranking, shard statuses, and the leader's allocator.
"""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence
from typing import Any

import msgspec
import pytest

from ashdock.core import park as parking
from ashdock.core import placement as placing
from ashdock.core import preemption_cost, status_reporter
from ashdock.core.allocator import Allocator, AssignMachine, MoveShard, ScaleIn, ScaleOut
from ashdock.core.job import Job, JobPhase, tasks_per_chunk
from ashdock.core.machine import Machine, fit_machine_record
from ashdock.core.machine_index import MachineView
from ashdock.core.quota import Usage, limit_permits_job, within_guarantee
from ashdock.core.scheduling_policy import SchedulingPolicy
from ashdock.core.shard import Shard
from ashdock.core.shard_status import (
    BusyMachine,
    Rebalance,
    Reclaim,
    ResourceRequest,
    ShardStatus,
)
from ashdock.core.task import Failure, PlacementPhase, ranges_of
from ashdock.leader.inventory import list_lag, missing_machines
from ashdock.settings import Objective, Operators, Renting, Retry, Team
from ashdock.wire.messages import (
    CommandVerb,
    Heartbeat,
    JobSpec,
    MachineType,
    TaskCommand,
    TaskReport,
    decode_submission,
    encode,
    job_spec_of,
)
from tests.cluster import job as submission
from tests.cluster import shared

G4 = MachineType("g4", 32, 4, 192, 80, 2.0, 10.0, 2.5, 6.0, ["a", "b", "c"])


def spec(number: int = 1, **more: Any) -> JobSpec:
    """The spec of a submitted job; `more` are fields of the submission."""
    return job_spec_of(decode_submission(encode(submission(number, **more))))


def queued_record(job_spec: Any, at: float) -> dict[str, Any]:
    """The stored record of a job that was accepted at a time."""
    return {"spec": msgspec.to_builtins(job_spec), "at": at, "status": "queued"}


def shard_with(
    jobs: list[Any], machines: str = "ab", team: str = "red", revision: int = 10
) -> Shard:
    """A loaded shard with queued jobs, and one machine `vm-<n>` for each zone in `machines`."""
    teams = {t.name: t for t in shared().teams}
    shard = Shard(teams[team], revision, shared(), Operators(), {"g4": G4}, random.Random(1))
    shard.load(
        [
            (f"vm-{n}", {"t": "g4", "z": zone, "s": False, "p": team}, 5)
            for n, zone in enumerate(machines)
        ],
        [],
        [],
        0.0,
    )
    for job_spec in jobs:
        shard.add_job(queued_record(job_spec, 0.0), 7)
    return shard


def heartbeat(
    machine: str,
    sequence: int,
    tasks: Sequence[tuple[str, int, str, str | None]] = (),
    fencing_token: int = 10,
    incarnation: int = 1,
) -> Heartbeat:
    """A heartbeat of a machine with (task, attempt, status, cause) of each task."""
    reports = [TaskReport(task, attempt, status, cause) for task, attempt, status, cause in tasks]
    return Heartbeat(
        machine, "10.1.0.1:9000", "g4", "a", incarnation, sequence, fencing_token, tasks=reports
    )


def commit(shard: Shard, revision: int) -> dict[str, Any]:
    """Commit the shard's next transaction at a revision, and return its writes."""
    txn = shard.writer.next_transaction()
    assert txn is not None and txn.conditions[f"part/{shard.name}"] == shard.revision
    # A delayed transaction overwrites no newer value.
    assert txn.writes.keys() <= txn.conditions.keys()
    for callback in txn.on_commit:
        callback(revision)
    return txn.writes


@pytest.mark.parametrize(
    ("numbers", "ranges"),
    [([], []), ([3], [[3, 3]]), ([0, 1, 2, 5, 6, 9], [[0, 2], [5, 6], [9, 9]])],
)
def test_task_numbers_become_ranges(numbers: list[int], ranges: list[list[int]]) -> None:
    assert ranges_of(numbers) == ranges


def test_full_chunk_fits_in_a_value_and_is_restored() -> None:
    size = tasks_per_chunk(8.0)
    job = Job(spec(shares=size * 3), 0.0, 7, size)
    for task in range(size, 2 * size):
        job.place(task, f"vm-{task:06d}", 100_000 + task, 0.0)
        job.set_failure(task, Failure(20, 1_700_000_000.123 + task, "x" * parking.MAX_REASON_CHARS))
    value = job.chunk_value(1)
    assert len(encode(value)) < 8.0 * 1024
    restored = Job(spec(shares=size * 3), 0.0, 7, size)
    placed = restored.load_chunks([("1", value, 9)], 0.0)
    assert (
        len(placed) == size
        and restored.chunk_value(1) == value
        and all(p.phase is PlacementPhase.START_SENT for p in placed)
    )


RETRY_STEPS = [  # earlier failures, seconds since the first -> step, failures, beyond the bounds
    (None, 0, "in_place", 1, 0),
    (Failure(1, 0, ""), 5, "park", 2, 0),
    (Failure(5, 0, ""), 60, "park", 6, 0),
    (Failure(30, 0, ""), 60, "park", 31, 0),
    (Failure(31, 0, ""), 60, "in_place", 32, 1),
    (Failure(3, 0, ""), 901, "in_place", 4, 1),
    (Failure(4, 0, "", 1), 950, "past", 5, 1),
]


@pytest.mark.parametrize(("before", "now", "step", "times", "past"), RETRY_STEPS)
def test_retry_episode_is_bounded(
    before: Failure | None, now: float, step: str, times: int, past: int
) -> None:
    got = parking.decide_retry(Retry(), before, "error", now, random.Random(1))
    assert (got.step, got.failure.failure_count, got.failure.past_limits) == (step, times, past)
    assert got.failure.first_at == (now if before is None else before.first_at)


def test_first_delay_of_ten_seconds_parks_at_once() -> None:
    assert (
        parking.decide_retry(Retry(first_delay_s=10), None, "error", 0, random.Random(1)).step
        == "park"
    )


def test_retry_delays_double_up_to_the_cap_with_jitter() -> None:
    rng = random.Random(1)
    delays = [
        parking.decide_retry(Retry(), Failure(n, 0, ""), "e", 1, rng).delay_s for n in range(1, 12)
    ]
    for base, delay in zip([2, 4, 8, 16, 32, 60, 60, 60], delays, strict=False):
        assert base <= delay <= base * 1.5
    assert len(set(delays)) == len(delays)


def test_parks_span_several_values_and_are_restored() -> None:
    parks = parking.Parks("red", 400)
    for n in range(20):
        parks.add(f"req-{n:06d}", [[0, 3], [7, 9]], 100.0 + n, Failure(2, 50.0, "error on vm-1"))
    writes = parks.pending_writes()
    assert len(writes) > 3 and all(len(encode(value)) <= 400 for _, value in writes)
    restored = parking.Parks("red", 400)
    for n, value in writes:
        assert value is not None
        restored.load(n, value, 9)
    assert sorted(restored.items) == sorted(parks.items) and restored.pending_writes() == []
    due = restored.pop_due(109.5)
    assert len(due) == 20 and min(park.retry_at for park in restored.items) == 110.0
    assert any(value is None for _, value in restored.pending_writes())


QUOTA = [  # limits, usage and task, each as (CPUs, GPUs) -> tasks permitted
    ((0, 8), (0, 0), (1.0, 1.0), 8),
    ((0, 8), (0, 7), (1.0, 2.0), 0),
    ((0, 0), (99, 99), (1.0, 1.0), 1 << 30),
    ((4, 8), (1, 0), (1.0, 1.0), 3),
    ((0, 0.3), (0, 0.0), (1.0, 0.1), 3),
    ((0, 8), (0, 0), (5.0, 0.0), 1 << 30),
]


@pytest.mark.parametrize(("limits", "used", "task", "permitted"), QUOTA)
def test_quota_limits_number_of_tasks(limits: Any, used: Any, task: Any, permitted: int) -> None:
    usage = Usage(Team("t", cpus_max=limits[0], gpus_max=limits[1]))
    usage.cpus, usage.gpus = used
    job_spec = spec(cpus=task[0], accelerators=task[1])
    assert usage.tasks_permitted(job_spec) == permitted


def test_job_beyond_its_limit_is_never_permitted() -> None:
    team = Team("t", gpus=4, gpus_max=8)
    assert limit_permits_job(team, spec(shares=9)) and not limit_permits_job(
        team, spec(shares=9, shape="ensemble")
    )
    assert not limit_permits_job(team, spec(shares=9, shape="daemon")) and limit_permits_job(
        team, spec(shares=8, shape="daemon")
    )
    assert (
        within_guarantee(team, 100, 4)
        and not within_guarantee(team, 0, 5)
        and not within_guarantee(Team("u"), 0, 0)
    )


PLACEMENTS = [  # job, zones of the machines -> tasks placed, most zones used
    ({"shares": 4}, "ab", 4, 1),
    ({"shares": 10}, "ab", 8, 2),
    ({"shares": 3, "accelerators": 4.0, "shape": "ensemble"}, "ab", 0, 0),
    ({"shares": 2, "accelerators": 4.0, "shape": "ensemble"}, "ab", 2, 2),
    ({"shares": 2, "accelerators": 4.0, "shape": "ensemble", "same_place": True}, "ab", 0, 0),
    ({"shares": 2, "accelerators": 4.0, "shape": "ensemble", "same_place": True}, "abb", 2, 1),
    ({"shares": 4, "spread": True}, "ab", 4, 2),
    ({"shares": 4, "spread": True}, "aa", 2, 1),
    ({"shares": 5, "spread": True}, "aa", 3, 1),
    ({"shares": 3, "yard": "b"}, "aab", 3, 1),
    ({"shares": 3, "hulls": ["g8"]}, "ab", 0, 0),
    ({"shares": 30}, "aaabbbccc", 24, 3),
]


@pytest.mark.parametrize(("more", "zones", "placed", "most_zones"), PLACEMENTS)
def test_placement_follows_zones_and_gangs(
    more: dict[str, Any], zones: str, placed: int, most_zones: int
) -> None:
    shard = shard_with([spec(**more)], zones)
    for n in range(len(zones)):
        shard.reconciler.on_heartbeat(heartbeat(f"vm-{n}", 1), 1.0, True)
    shard.scheduler.schedule(1.0)
    live = shard.jobs["req-000001"].live.values()
    assert len(live) == placed and len({shard.machines[p.machine].zone for p in live}) <= most_zones


def start_one_task(shard: Shard) -> None:
    """Place one task on vm-0, commit it, and have its start sent in the answer to heartbeat 3."""
    shard.reconciler.on_heartbeat(heartbeat("vm-0", 1), 1.0, True)
    shard.scheduler.schedule(1.0)
    assert not [
        command
        for command in shard.reconciler.on_heartbeat(heartbeat("vm-0", 2), 1.5, True) or []
        if command.verb == "run"
    ], "start sent before the placement was durable"
    commit(shard, 20)
    assert [
        command.verb
        for command in shard.reconciler.on_heartbeat(heartbeat("vm-0", 3), 2.0, True) or []
    ] == ["run"]


PREEMPT = ("preempt", 0, 0, 0)
UNANSWERED = ("unanswered", 0, 0, 0)  # a direct start
ANSWERED = ("answered", 0, 0, 0)  # its repetition
KILL_ANSWERED = ("kill answered", 0, 0, 0)
RAISE_TOKEN = ("raise token", 30, 0, 0)
# What happens before and after the preemption of the task -> whether its placement still counts.
PROOFS = [
    (
        "a later heartbeat under the current token lacks it",
        [PREEMPT, ("heartbeat", 4, 10, 1)],
        False,
    ),
    ("a heartbeat from before the command lacks it", [PREEMPT, ("heartbeat", 2, 10, 1)], True),
    ("a heartbeat under an older token lacks it", [PREEMPT, ("heartbeat", 4, 9, 1)], True),
    (
        "a direct answer lacks it while the command may be under way",
        [PREEMPT, ("direct", 4, 10, 1)],
        True,
    ),
    ("a later incarnation of the worker", [PREEMPT, ("heartbeat", 1, 10, 2)], False),
    ("no heartbeats", [PREEMPT, ("tick", 100, 0, 0)], True),
    ("its machine is proved to be gone", [PREEMPT, ("gone", 0, 0, 0)], False),
    (
        "a direct start was not answered, same token",
        [UNANSWERED, PREEMPT, ("heartbeat", 4, 10, 1)],
        True,
    ),
    (
        "a direct start was not answered, token raised",
        [UNANSWERED, PREEMPT, RAISE_TOKEN, ("heartbeat", 5, 30, 1)],
        False,
    ),
    (
        "a direct start was not answered but its repetition was, same token",
        [UNANSWERED, ANSWERED, PREEMPT, ("heartbeat", 4, 10, 1)],
        True,
    ),
    (
        "a direct start was not answered but its repetition was, token raised",
        [UNANSWERED, ANSWERED, PREEMPT, RAISE_TOKEN, ("heartbeat", 5, 30, 1)],
        False,
    ),
    (
        "a direct start was not answered but the kill was, same token",
        [UNANSWERED, PREEMPT, KILL_ANSWERED, ("heartbeat", 4, 10, 1)],
        True,
    ),
    (
        "a direct start was not answered but the kill was, token raised",
        [UNANSWERED, PREEMPT, KILL_ANSWERED, RAISE_TOKEN, ("heartbeat", 5, 30, 1)],
        False,
    ),
    (
        "a direct start was not answered, its repetition under a raised token was",
        [UNANSWERED, RAISE_TOKEN, ANSWERED, PREEMPT, ("heartbeat", 5, 30, 1)],
        False,
    ),
]


def direct_commands(shard: Shard, machine: Machine, verb: str) -> list[TaskCommand]:
    """The direct commands for a machine, all of which have that verb."""
    commands = shard.commands.direct_commands(machine)
    assert {command.verb for command in commands} == {verb}
    return commands


@pytest.mark.parametrize(("events", "counts"), [p[1:] for p in PROOFS], ids=[p[0] for p in PROOFS])
def test_only_proof_of_absence_ends_a_placement(
    events: list[tuple[str, int, int, int]], counts: bool
) -> None:
    shard = shard_with([spec(shares=1)], "a")
    start_one_task(shard)
    machine = shard.machines["vm-0"]
    job = shard.jobs["req-000001"]
    for kind, a, b, c in events:
        if kind == "unanswered":
            shard.commands.on_direct_unanswered(machine, direct_commands(shard, machine, "run"))
        elif kind == "answered":
            shard.commands.on_direct_answered(machine, direct_commands(shard, machine, "run"))
        elif kind == "kill answered":
            shard.commands.on_direct_answered(machine, direct_commands(shard, machine, "kill"))
        elif kind == "preempt":
            shard.preempt(job, [0], "test", 3.0)
        elif kind in ("heartbeat", "direct"):
            shard.reconciler.on_heartbeat(
                heartbeat("vm-0", a, fencing_token=b, incarnation=c), 4.0, kind == "heartbeat"
            )
        elif kind == "tick":
            shard.tick(float(a))
        elif kind == "gone":
            shard.remove_machine("vm-0", 4.0)
        elif kind == "raise token":
            assert "machine/vm-0" in commit(shard, a)
    assert (0 in job.live) is counts and (shard.usage.gpus == 1.0) is counts


END_CAUSES = [  # reported cause -> state of the task, failures counted
    ("done", "done", 0),
    ("error", "ready", 1),
    ("no_such", "ready", 1),
    ("no_room", "ready", 0),
    ("in_use", "ready", 0),
    ("mates_gone", "ready", 0),
    ("stopped", "ready", 0),
    ("incomplete", "ready", 0),
]


@pytest.mark.parametrize(("cause", "after", "failures"), END_CAUSES)
def test_only_failures_of_the_task_itself_are_counted(
    cause: str, after: str, failures: int
) -> None:
    shard = shard_with([spec(shares=2)], "a")
    shard.jobs["req-000001"].states[1] = 3  # the other task is done
    shard.jobs["req-000001"].done_count, shard.jobs["req-000001"].ready_count = 1, 1
    start_one_task(shard)
    job = shard.jobs["req-000001"]
    commands = shard.reconciler.on_heartbeat(
        heartbeat("vm-0", 4, [("req-000001/0", 1, "ended", cause)]), 3.0, True
    )
    assert "forget" not in [command.verb for command in commands or []], (
        "forget sent before the outcome was durable"
    )
    assert 0 not in job.live and job.failures.get(0, Failure(0, 0, "")).failure_count == failures
    assert (job.phase is JobPhase.OVER) is (after == "done")
    writes = commit(shard, 30)
    if after == "done":
        assert (
            writes["job/req-000001"]["status"] == "done"
            and writes["work/red/req-000001/job"] is None
        )
    commands = shard.reconciler.on_heartbeat(
        heartbeat("vm-0", 5, [("req-000001/0", 1, "ended", cause)]), 4.0, True
    )
    assert "forget" in [command.verb for command in commands or []]


def test_stale_owner_does_not_answer_heartbeats() -> None:
    shard = shard_with([spec()], "a")
    assert shard.reconciler.on_heartbeat(heartbeat("vm-0", 1, fencing_token=11), 1.0, True) is None


def test_new_owner_counts_inherited_placements() -> None:
    shard = shard_with([spec(shares=1)], "a")
    start_one_task(shard)
    chunk = shard.jobs["req-000001"].chunk_value(0)
    new_owner = shard_with([], "a", revision=50)
    record = queued_record(spec(shares=1), 0.0)
    new_owner.load(
        [], [("work/red/req-000001/job", record, 7), ("work/red/req-000001/0", chunk, 20)], [], 5.0
    )
    assert new_owner.usage.gpus == 1.0 and 0 in new_owner.jobs["req-000001"].live
    new_owner.preempt(new_owner.jobs["req-000001"], [0], "test", 5.0)
    # It lacks the task, but under the old token: the start may be under way.
    new_owner.reconciler.on_heartbeat(heartbeat("vm-0", 9, fencing_token=10), 5.0, True)
    assert 0 in new_owner.jobs["req-000001"].live
    new_owner.reconciler.on_heartbeat(heartbeat("vm-0", 10, fencing_token=50), 6.0, True)
    assert 0 not in new_owner.jobs["req-000001"].live


def test_capacity_shortage_is_not_counted_as_failure() -> None:
    shard = shard_with([spec(shares=2)], "")
    for now in range(1, 2000, 100):
        shard.tick(float(now))
        shard.scheduler.schedule(float(now))
    assert (
        shard.jobs["req-000001"].failures == {}
        and shard.parks.items == []
        and shard.resource_requests[0].tasks == 2
    )


def request(**more: Any) -> ResourceRequest:
    usual: dict[str, Any] = {
        "cpus": 1.0,
        "gpus": 1.0,
        "memory_gb": 1.0,
        "types": (),
        "zone": "",
        "spot": True,
        "one_zone": False,
        "tasks": 4,
        "priority": 1,
        "guaranteed": True,
        "slack_s": 5.0,
    }
    return ResourceRequest(**usual | more)


def machine_view(name: str, shard: str, zone: str = "a", spot: bool = False) -> MachineView:
    return MachineView(name, shard, "g4", zone, spot, 5, "")


# Machines, red's requests, blue's idle and busy machines, and how many of these are beyond blue's
# guarantee -> types of the decisions.
ALLOCATIONS = [
    ([], [request()], [], [], 0, [ScaleOut]),
    ([machine_view("m1", "")], [request()], [], [], 0, [AssignMachine]),
    ([machine_view("m1", "blue")], [request()], [("m1", 1.0)], [], 0, [AssignMachine]),
    ([machine_view("m1", "blue", "b")], [request(zone="a")], [("m1", 1.0)], [], 0, [ScaleOut]),
    ([machine_view("m1", "blue")], [], [("m1", 99.0)], [], 0, [AssignMachine]),
    ([machine_view("m1", "", spot=True)], [request(spot=False)], [], [], 0, [ScaleOut]),
    ([], [], [], [], 0, []),
    ([machine_view("m1", "")], [], [], [], 0, [ScaleIn]),
    # Work beyond a guarantee is preempted by work within one, whatever the priorities; other work
    # only by work of higher priority.
    ([machine_view("m1", "blue")], [request()], [], [BusyMachine("m1", 3, 50.0)], 1, [Reclaim]),
    (
        [machine_view("m1", "blue")],
        [request(guaranteed=False)],
        [],
        [BusyMachine("m1", 1, 0.0)],
        1,
        [ScaleOut],
    ),
    ([machine_view("m1", "blue")], [request()], [], [BusyMachine("m1", 1, 0.0)], 0, [ScaleOut]),
    ([machine_view("m1", "blue")], [request()], [], [BusyMachine("m1", 0, 5.0)], 0, [Reclaim]),
    ([machine_view("m1", "blue")], [request()], [], [BusyMachine("m1", 0, 7.0)], 0, [ScaleOut]),
    (
        [machine_view("m1", "blue")],
        [request(slack_s=60.0)],
        [],
        [BusyMachine("m1", 0, 5.0)],
        0,
        [ScaleOut],
    ),
    # Urgent work of a hot team beyond its guarantee preempts nothing within another's guarantee.
    (
        [machine_view("m1", "blue")],
        [request(guaranteed=False, priority=2)],
        [],
        [BusyMachine("m1", 0, 1.0)],
        0,
        [ScaleOut],
    ),
    (
        [machine_view("m1", "blue")],
        [request(guaranteed=False, priority=2)],
        [],
        [BusyMachine("m1", 0, 1.0)],
        1,
        [Reclaim],
    ),
    # Machines are reclaimed for a guarantee only as far as the other team is beyond its own.
    (
        [machine_view(f"m{n}", "blue") for n in range(9)],
        [request(tasks=12)],
        [],
        [BusyMachine(f"m{n}", 3, 50.0) for n in range(9)],
        2,
        [Reclaim, Reclaim, ScaleOut],
    ),
    # Work without a service level takes empty spot instances, but no on-demand machines.
    (
        [machine_view("m1", "", spot=True)],
        [request(opportunistic=True, guaranteed=False)],
        [],
        [],
        0,
        [AssignMachine],
    ),
    (
        [machine_view("m1", "")],
        [request(opportunistic=True, guaranteed=False)],
        [],
        [],
        0,
        [ScaleOut],
    ),
]


@pytest.mark.parametrize(
    ("machines", "resource_requests", "idle", "busy", "spare_beyond", "decision_types"), ALLOCATIONS
)
def test_allocator_decides_by_guarantee_and_priority(
    machines: list[MachineView],
    resource_requests: list[ResourceRequest],
    idle: list[tuple[str, float]],
    busy: list[BusyMachine],
    spare_beyond: int,
    decision_types: list[type],
) -> None:
    allocator = Allocator(shared(), Renting(), {"g4": G4})
    shard_statuses = {
        "red": ShardStatus("red", 9, resource_requests, [], [], 0, 0, 0),
        "blue": ShardStatus("blue", 9, [], idle, busy, 1, 0, spare_beyond),
    }
    decisions = allocator.decide(machines, shard_statuses, 0.0)
    if decision_types == [ScaleIn]:
        assert decisions == []  # not before the machine has been unassigned for a while
        decisions = allocator.decide(machines, shard_statuses, 60.0)
    assert [type(decision) for decision in decisions] == decision_types
    assert allocator.decide([], {"red": shard_statuses["red"]}, 100.0) == [], (
        "decided without the status of every shard"
    )


BALANCE = [  # owners of red and blue, their waiting tasks, members -> the shard that moves
    (("n0", "n0"), (5, 5), ["n0", "n1"], ["blue"]),
    (("n0", "n1"), (50, 5), ["n0", "n1"], []),
    (("n0", "n0"), (5, 5), ["n0"], []),
    (("n0", "n9"), (5, 5), ["n0", "n1"], []),
    (("n0", "n0"), (100, 1), ["n0", "n1"], []),
    (("n0", "n0"), (9, 5), ["n0", "n1"], ["blue"]),
]


@pytest.mark.parametrize(("owners", "waiting", "members", "moved"), BALANCE)
def test_shards_move_to_the_least_loaded_controller(
    owners: Any, waiting: Any, members: list[str], moved: list[str]
) -> None:
    allocator = Allocator(shared(), Renting(), {"g4": G4})
    shard_statuses = {
        team: ShardStatus(team, 9, [], [], [], 0, n, 0)
        for team, n in zip(("red", "blue"), waiting, strict=True)
    }
    owner_by_team = dict(zip(("red", "blue"), owners, strict=True))
    # The members have just changed.
    assert allocator.balance(owner_by_team, members, shard_statuses, 0.0) == []
    decisions = allocator.balance(owner_by_team, members, shard_statuses, 20.0)
    assert [decision.shard for decision in decisions if isinstance(decision, MoveShard)] == moved
    assert (
        not moved
        or allocator.balance({"red": "n0", "blue": "n0"}, members, shard_statuses, 21.0) == []
    )


def test_estimates_are_corrected_by_measured_run_times() -> None:
    shard = shard_with([spec(shares=1, expect_s=10.0)], "a")
    start_one_task(shard)
    shard.reconciler.on_heartbeat(
        heartbeat("vm-0", 4, [("req-000001/0", 1, "running", None)]), 10.0, True
    )
    shard.reconciler.on_heartbeat(
        heartbeat("vm-0", 5, [("req-000001/0", 1, "ended", "done")]), 30.0, True
    )
    assert 10.0 < shard.estimates.run_s(spec(expect_s=10.0)) <= 20.0


MACHINE_LISTS = [  # (time, names listed) in turn -> machines that the last list proves missing
    ([(0, "ab"), (20, "b")], ["a"]),
    ([(0, "ab"), (5, "b")], []),
    ([(0, "ab"), (5, "b"), (20, "ab")], []),
    ([(0, "ab"), (20, "b"), (24, "b")], []),
    ([(0, ""), (20, "a"), (24, "")], []),
]


@pytest.mark.parametrize(("lists", "missing"), MACHINE_LISTS)
def test_machine_that_leaves_the_list_is_missing_after_a_time(
    lists: list[tuple[float, str]], missing: list[str]
) -> None:
    listed: dict[str, float] = {}
    for now, names in lists:
        last = missing_machines(listed, list(names), now, 12.0)
    assert last == missing


@pytest.mark.parametrize(
    ("idle", "spot", "machines", "spot_flags"),
    [(True, True, 0, [True, False]), (True, True, 3, [True]), (False, True, 3, [True, False])],
)
def test_work_without_service_level_rents_on_demand_only_if_it_has_no_machine(
    idle: bool, spot: bool, machines: int, spot_flags: list[bool]
) -> None:
    """On-demand machines at four times the price were rented for work without a service level.

    Work with a service level then lacked them.
    """
    allocator = Allocator(shared(), Renting(), {"g4": G4})
    resource_requests = [request(opportunistic=idle, spot=spot, guaranteed=False, tasks=40)]
    shard_statuses = {
        "red": ShardStatus("red", 9, resource_requests, [], [], machines, 0, 0),
        "blue": ShardStatus("blue", 9, [], [], [], 1, 0, 0),
    }
    scale_outs: list[ScaleOut] = []
    for now in range(4):
        for scale_out in [
            d for d in allocator.decide([], shard_statuses, float(now)) if isinstance(d, ScaleOut)
        ]:
            scale_outs.append(scale_out)
            allocator.scale_out_failed(scale_out, float(now), no_capacity=True)
    assert sorted({scale_out.spot for scale_out in scale_outs}, reverse=True) == spot_flags
    assert not idle or sum(scale_out.number for scale_out in scale_outs if not scale_out.spot) <= (
        1 if not machines else 0
    ) * len(scale_outs)


# Number of tasks, their run time, deadline -> tasks that capacity is requested for. A boot takes
# 6 s, so the target duration is 24 s.
SHORT_TASKS = [
    (25_000, 4.0, None, 6250),
    (40, 4.0, None, 10),
    (40, 300.0, None, 40),
    (40, 4.0, 60.0, 40),
    (1, 4.0, None, 1),
]


@pytest.mark.parametrize(("tasks", "run_s", "due_s", "requested"), SHORT_TASKS)
def test_array_requests_capacity_for_its_target_duration(
    tasks: int, run_s: float, due_s: float | None, requested: int
) -> None:
    """An array of 25,000 tasks of 4 s requested capacity for all tasks at once: 195 machines."""
    shard = shard_with([spec(shares=tasks, expect_s=run_s, due_s=due_s, accelerators=0.0)], "")
    shard.team = shard.policy.team = Team("red")  # without a guarantee
    shard.scheduler.schedule(1.0)
    assert shard.resource_requests[0].tasks == requested and shard.resource_requests[
        0
    ].opportunistic is (due_s is None)


def test_arrays_with_service_level_precede_others_and_least_work_goes_first() -> None:
    """Arrays with a service level go before those without, and small ones before large ones.

    Hundreds of tiny jobs waited for an array of 25,000 tasks, and all of them for scans of five
    minutes per task that had no service level.
    """
    jobs = [
        spec(1, shares=8, expect_s=300.0, accelerators=0.0, workload="scan"),
        spec(2, shares=900, expect_s=4.0, accelerators=0.0),
        spec(3, shares=1, expect_s=4.0, accelerators=0.0),
    ]
    shard = shard_with(jobs, "")
    objectives = [Objective("finished", 0.5, "w", 400.0)]
    shard.policy = SchedulingPolicy(
        Team("red"), msgspec.structs.replace(shard.shared, objectives=objectives), shard.catalog
    )
    assert [job.id[-1] for job in shard.scheduler.schedulable_jobs(9.0)] == ["3", "2", "1"]
    shard.jobs["req-000002"].eligible_at = -2000.0  # long overdue: no array starves
    assert [job.id[-1] for job in shard.scheduler.schedulable_jobs(9.0)] == ["2", "3", "1"]


def fail_tasks(
    shard: Shard, name: str, sequence: int, tasks: list[tuple[str, int]], now: float
) -> None:
    shard.reconciler.on_heartbeat(
        heartbeat(name, sequence, [(task, attempt, "ended", "error") for task, attempt in tasks]),
        now,
        True,
    )


def test_job_that_fails_everywhere_runs_one_task_and_preempts_nothing() -> None:
    """A job that fails on several machines is retried with one task at a time.

    Arrays submitted with a mistake failed on dozens of machines at a time, fetched their images
    there and had other work preempted; two such jobs made sound machines suspect.
    """
    shard = shard_with([spec(shares=6, urgency="high")], "ab")
    job = shard.jobs["req-000001"]
    for name in ("vm-0", "vm-1"):
        shard.reconciler.on_heartbeat(heartbeat(name, 1), 0.5, True)
    shard.scheduler.schedule(1.0)
    assert len(job.live) == 6
    revision = 20
    for sequence in range(1, 4):
        commit(shard, revision)
        for name in ("vm-0", "vm-1"):
            tasks = [
                (f"req-000001/{p.task}", p.attempt) for p in job.live.values() if p.machine == name
            ]
            shard.reconciler.on_heartbeat(heartbeat(name, 3 * sequence), float(sequence), True)
            shard.reconciler.on_heartbeat(
                heartbeat(
                    name, 3 * sequence + 1, [(task, n, "running", None) for task, n in tasks]
                ),
                float(sequence),
                True,
            )
            fail_tasks(shard, name, 3 * sequence + 2, tasks, sequence + 0.5)
        assert job.reason and "error on vm-" in job.reason, (
            "the reason is shown from the first failure on"
        )
        if job.likely_faulty:
            break
        shard.scheduler.schedule(sequence + 0.6)
        revision += 1
    assert job.likely_faulty and not any(machine.failed_jobs for machine in shard.machines.values())
    commit(shard, 90)
    for name in ("vm-0", "vm-1"):
        shard.reconciler.on_heartbeat(heartbeat(name, 90), 39.0, True)
    shard.add_job(queued_record(spec(2, shares=16, expect_s=50.0), 0.0), 8)
    for now in (40.0, 41.0, 42.0):
        shard.tick(now)
        shard.scheduler.schedule(now)
    sound = shard.jobs["req-000002"]
    assert len(job.live) <= 1 and sound.live
    assert not any(p.phase is PlacementPhase.STOPPING for p in sound.live.values()) and all(
        w.priority == 1 for w in shard.resource_requests
    )
    restored = Job(job.spec, 0.0, 7, job.chunk_tasks)
    restored.set_failure(0, Failure(3, 0.0, "error"))
    assert restored.likely_faulty, "a new owner knows it by the stored count"
    restored.finish(1)
    assert not restored.likely_faulty


def test_machine_assigned_after_the_last_scheduling_cycle_is_not_idle() -> None:
    """Two shards assigned the same machines to each other for a minute.

    A machine was reported as idle before its new shard had scheduled anything on it, and was
    assigned back.
    """
    shard = shard_with([], "a")
    shard.reconciler.on_heartbeat(heartbeat("vm-0", 1), 1.0, True)
    shard.scheduler.schedule(1.0)
    assert [name for name, _ in shard.status_reporter.shard_status(9.0).idle] == ["vm-0"]
    shard.add_machine(
        "vm-1", {"t": "g4", "z": "a", "s": False, "p": "red", "a": "10.1.0.2:9000", "n": 1}, 30, 9.0
    )
    assert [name for name, _ in shard.status_reporter.shard_status(9.0).idle] == [
        "vm-0"
    ] and shard.status_reporter.shard_status(9.0).seen_revision < 30
    shard.scheduler.schedule(9.1)
    assert [name for name, _ in shard.status_reporter.shard_status(9.1).idle] == [
        "vm-0",
        "vm-1",
    ] and shard.status_reporter.shard_status(9.1).seen_revision == 30


@pytest.mark.parametrize(
    ("listed", "scaled_out", "lag"),
    [
        ([], {}, 0.0),
        ([("a", 10.0)], {"a": 80.0}, 10.0),
        ([("a", 10.0), ("b", 4.0)], {"a": 80.0, "b": 80.0}, 16.0),
        ([("c", 1.0)], {}, 0.0),
    ],
)
def test_list_lag_is_derived_from_known_machines(
    listed: list[tuple[str, float]], scaled_out: dict[str, float], lag: float
) -> None:
    """The age of the cloud's list is found from machines whose time of scale-out is known.

    A list that lagged several times more than usual showed live machines as missing, and released
    ones as present.
    """
    assert list_lag(listed, scaled_out, 100.0) == lag


def test_boot_timeout_counts_from_scale_out_across_owners() -> None:
    """The time that a machine may take to boot counts from its scale-out, not from a failover.

    It used to start anew with each failover, so a machine that never came up kept counting as
    capacity about to come.
    """
    record = {"t": "g4", "z": "a", "s": False, "p": "red", "at": 0.0}
    new_owner = shard_with([spec(shares=2)], "", revision=50)
    new_owner.load([("vm-9", record, 5)], [], [], 14.0)
    new_owner.scheduler.schedule(14.0)
    assert new_owner.machines["vm-9"].is_booting(14.0) is True
    new_owner.tick(16.0)
    # It may be up: only its silence since the failover shows that it is not.
    assert new_owner.machines["vm-9"].leaving_reason == ""
    new_owner.tick(14.0 + new_owner.maintenance.silent_s + 1)
    assert new_owner.machines["vm-9"].leaving_reason == "never came up"


# (incarnation, sequence, fencing token, whether the task is reported) of the heartbeats that the
# new owner gets -> whether the placement still counts.
INHERITED = [
    ([(1, 9, 10, False), (2, 3, 10, True)], True),
    ([(2, 3, 10, False)], True),
    ([(1, 9, 10, False), (2, 3, 10, False)], True),
    ([(2, 3, 50, False)], False),
    ([(2, 3, 50, True), (3, 1, 50, False)], False),
]


@pytest.mark.parametrize(("heartbeats", "counts"), INHERITED)
def test_new_incarnation_proves_nothing_about_inherited_placements(
    heartbeats: list[tuple[int, int, int, bool]], counts: bool
) -> None:
    """A task that an earlier owner started in the worker's current incarnation must not seem gone.

    Neither a late heartbeat of the incarnation before, nor the incarnation recorded when the
    machine was assigned, may make it look so.
    """
    record = {"t": "g4", "z": "a", "s": False, "p": "red", "a": "10.1.0.1:9000", "n": 1}
    job_record = queued_record(spec(shares=1), 0.0)
    new_owner = shard_with([], "", revision=50)
    work = [
        ("work/red/req-000001/job", job_record, 7),
        ("work/red/req-000001/0", {"a": 1, "p": [[0, "vm-0", 1]]}, 20),
    ]
    new_owner.load([("vm-0", record, 5)], work, [], 5.0)
    new_owner.preempt(new_owner.jobs["req-000001"], [0], "test", 5.0)
    for incarnation, sequence, token, is_reported in heartbeats:
        tasks: list[tuple[str, int, str, str | None]] = (
            [("req-000001/0", 1, "running", None)] if is_reported else []
        )
        new_owner.reconciler.on_heartbeat(
            heartbeat("vm-0", sequence, tasks, fencing_token=token, incarnation=incarnation),
            6.0,
            True,
        )
    assert (0 in new_owner.jobs["req-000001"].live) is counts


@pytest.mark.parametrize(
    ("late", "there"),
    [
        # The start is sent again under the incarnation noted at the assignment, before any
        # heartbeat: the worker refuses it, which proves nothing.
        (None, True),
        # The heartbeat is not under the new token yet: the worker may still take a command of the
        # previous owner.
        (None, False),
        # A late heartbeat of that incarnation is answered with the start, then comes one of the
        # worker's actual incarnation.
        ((1, 3), True),
        ((1, 3), False),
    ],
)
def test_start_repeated_under_an_old_incarnation_still_counts(
    late: tuple[int, int] | None, there: bool
) -> None:
    """A new owner's repeated start under an outdated incarnation proves nothing about the task.

    Three tasks ran twice on a day of quick restarts: the new owner repeated all inherited starts
    under the incarnation in the machine's record, and took a heartbeat of a later incarnation as
    proof that they had ended.
    """
    record = {"t": "g4", "z": "a", "s": False, "p": "red", "a": "10.1.0.1:9000", "n": 1}
    new_owner = shard_with([], "", revision=50)
    work = [
        ("work/red/req-000001/job", queued_record(spec(shares=1), 0.0), 7),
        ("work/red/req-000001/0", {"a": 1, "p": [[0, "vm-0", 1]]}, 20),
    ]
    new_owner.load([("vm-0", record, 5)], work, [], 5.0)
    machine = new_owner.machines["vm-0"]
    assert [command.verb for command in new_owner.commands.direct_commands(machine)] == [
        CommandVerb.RUN
    ]
    tasks: list[tuple[str, int, str, str | None]] = [("req-000001/0", 1, "running", None)]
    if late is not None:
        new_owner.reconciler.on_heartbeat(
            heartbeat("vm-0", late[1], tasks, fencing_token=20, incarnation=late[0]), 5.5, True
        )
    new_owner.reconciler.on_heartbeat(
        heartbeat("vm-0", 40, tasks if there else [], fencing_token=20, incarnation=2), 6.0, True
    )
    assert 0 in new_owner.jobs["req-000001"].live and not machine.orphaned_tasks
    # A heartbeat under the new token that lacks the task proves that it ended if it was seen there;
    # if it was not seen, it is started in this incarnation.
    commands = new_owner.reconciler.on_heartbeat(
        heartbeat("vm-0", 41, [], fencing_token=50, incarnation=2), 7.0, True
    )
    assert (0 not in new_owner.jobs["req-000001"].live) or (
        commands and commands[0].verb == CommandVerb.RUN
    )


def test_scheduling_cycle_of_a_full_shard_does_not_check_every_machine_for_every_job(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Jobs like one that found no capacity are not compared with each machine again.

    With 740 machines each waiting job was compared with each of them in every scheduling cycle,
    which took nearly all of a controller's time. Counted in comparisons: further batches of waiting
    jobs like the first add none.
    """
    calls = [0]
    real = placing.permits

    def counted(*given: Any) -> bool:
        calls[0] += 1
        return real(*given)

    monkeypatch.setattr(placing, "permits", counted)
    shard = shard_with([spec(1, shares=8)], "ab" * 40)
    shard.scheduler.schedule(1.0)
    for machine in shard.machines.values():
        machine.mark_up("10.1.0.1:9000")
    shard.scheduler.schedule(1.0)
    costs = []
    for batch in (1, 2, 3):
        for n in range(30):
            shard.add_job(queued_record(spec(batch * 100 + n, shares=1, cpus=40.0), 0.0), 7)
        calls[0] = 0
        shard.scheduler.schedule(2.0 + batch)
        costs.append(calls[0])
    assert costs[0] == costs[1] == costs[2] <= 80


def test_transaction_checks_only_jobs_that_changed(monkeypatch: pytest.MonkeyPatch) -> None:
    shard = shard_with([spec(n, shares=1) for n in range(1, 200)], "a")
    shard.tick(1.0)
    shard.reconciler.on_heartbeat(heartbeat("vm-0", 1), 1.0, True)
    shard.scheduler.schedule(1.0)
    commit(shard, 20)
    seen: list[str] = []
    real = shard.writer._has_unwritten

    def unwritten(job: Job) -> Any:
        seen.append(job.id)
        return real(job)

    monkeypatch.setattr(shard.writer, "_has_unwritten", unwritten)
    assert shard.writer.next_transaction() is None
    shard.reconciler.on_heartbeat(
        heartbeat("vm-0", 2, [("req-000001/0", 1, "ended", "done")]), 2.0, True
    )
    seen.clear()
    assert shard.writer.next_transaction() is not None
    assert seen == ["req-000001"]


# Zones of the pending machines, needs (CPUs, tasks, zone) in turn -> tasks that found capacity.
PENDING_CAPACITY = [
    ("aab", [(32.0, 2, ""), (32.0, 2, "")], [2, 1]),
    ("a", [(8.0, 3, ""), (8.0, 3, "")], [3, 1]),
    ("ab", [(32.0, 2, "b"), (32.0, 2, "")], [1, 1]),
    ("", [(1.0, 1, "")], [0]),
    ("aa", [(8.0, 6, ""), (8.0, 2, "a")], [6, 2]),
]


@pytest.mark.parametrize(("zones", "needs", "found"), PENDING_CAPACITY)
def test_pending_capacity_is_allotted_once(
    zones: str, needs: list[tuple[float, int, str]], found: list[int]
) -> None:
    pending = placing.PendingCapacity()
    for zone in zones:
        pending.add(G4, zone, False)
    got = [
        pending.take(
            lambda _label, zone, _spot, request=request: request in ("", zone), (cpus, 0.0, 1.0), n
        )
        for cpus, n, request in needs
    ]
    assert got == found


# Requests of red and of blue when the cloud has no capacity -> rebalances asked for.
REBALANCES = [
    (request(slack_s=-60.0), [request(slack_s=0.0)], [("blue", "red", 1)]),
    (request(slack_s=-1.0), [request(slack_s=0.0)], []),
    (request(slack_s=-60.0), [], []),
    (request(slack_s=-60.0), [request(slack_s=0.0, priority=0)], []),
    (request(slack_s=-60.0, guaranteed=False), [request(slack_s=0.0)], []),
    (request(slack_s=-60.0, tasks=9), [request(slack_s=0.0)], [("blue", "red", 3)]),
    (request(slack_s=-60.0, zone="b"), [request(slack_s=0.0)], []),
    (request(slack_s=-60.0), [request(slack_s=0.0, priority=2)], []),
    (request(slack_s=-60.0), [request(slack_s=0.0), request(slack_s=0.0, priority=2)], []),
]


@pytest.mark.parametrize(("ours", "theirs", "rebalances"), REBALANCES)
def test_rebalance_serves_requests_of_one_priority_by_slack(
    ours: ResourceRequest, theirs: list[ResourceRequest], rebalances: list[tuple[str, str, int]]
) -> None:
    allocator = Allocator(shared(), Renting(), {"g4": G4})
    allocator.backoffs = {
        ("g4", zone, spot): (99.0, 1.0) for zone in "abc" for spot in (False, True)
    }
    shard_statuses = {
        "red": ShardStatus("red", 9, [ours], [], [], 0, 0, 0),
        "blue": ShardStatus("blue", 9, theirs, [], [BusyMachine("m1", 1, 5.0)], 1, 0, 0),
    }
    decisions = allocator.decide([machine_view("m1", "blue")], shard_statuses, 50.0)
    assert [(d.shard, d.to, d.number) for d in decisions if isinstance(d, Rebalance)] == rebalances


def test_rebalanced_machine_is_passed_on_before_own_tasks_are_placed() -> None:
    shard = shard_with([spec(1, shares=1), spec(2, shares=8)], "ab")
    for sequence, machine in enumerate(("vm-0", "vm-1"), 1):
        shard.reconciler.on_heartbeat(heartbeat(machine, sequence), 1.0, True)
    shard.status_reporter.rebalance(Rebalance("red", "blue", 1, (), "b", True), 1.0)
    shard.scheduler.schedule(1.0)
    assert (
        shard.machines["vm-1"].target_shard == "blue"
        and not shard.machines["vm-1"].live
        and shard.machines["vm-0"].live
    )
    shard.scheduler.schedule(1.5)
    assert shard.machines["vm-0"].target_shard is None  # one machine was asked for


HEADROOM = [  # sizes in machines of gangs that came in the last 4 boot times -> empty machines kept
    ([], 0),
    ([1], 0),
    ([2, 2, 2, 2], 2),
    ([4, 4], 3),
    ([8], 4),
]


@pytest.mark.parametrize(("sizes", "kept"), HEADROOM)
def test_headroom_covers_the_variation_of_arrivals(sizes: list[int], kept: int) -> None:
    """Within its guarantee, a shard keeps some empty machines for gangs to come.

    Every empty machine was reassigned or released at once, and the next gang waited for a boot.
    """
    shard = shard_with([], "abcabc")
    for n in range(6):
        shard.reconciler.on_heartbeat(heartbeat(f"vm-{n}", 1), 1.0, True)
    for n, size in enumerate(sizes, 1):
        gang = shard.add_job(
            queued_record(spec(n, shape="ensemble", shares=size, accelerators=4.0), 1.0), 7
        )
        shard.status_reporter.record_arrival(gang, 1.0)
    assert shard.status_reporter.headroom(2.0) == kept
    within = min(kept, 2)  # red's guarantee covers two machines
    assert len(shard.status_reporter.shard_status(2.0).idle) == 6 - within
    late = shard.add_job(queued_record(spec(99, shares=1), 99.0), 7)
    shard.status_reporter.record_arrival(late, 99.0)
    assert (
        len(shard.status_reporter.arrivals) == 1
        and shard.status_reporter.headroom(99.0 + 5 * G4.boot_s) == 0
    )


# Images used in turn, with their sizes in GB, in a cache of 80 GB -> images held, the last used
# last.
IMAGE_CACHE = [
    ([("a", 30), ("b", 30)], "ab"),
    ([("a", 30), ("b", 30), ("c", 30)], "bc"),
    ([("a", 30), ("b", 30), ("a", 30), ("c", 30)], "ac"),
    ([("a", 90)], "a"),
    ([("a", 20), ("b", 20), ("c", 20), ("d", 60)], "cd"),
]


@pytest.mark.parametrize(("used", "held"), IMAGE_CACHE)
def test_image_cache_drops_least_recently_used_images(
    used: list[tuple[str, float]], held: str
) -> None:
    """All images ever used on a machine were taken to be cached still.

    Gangs waited for the images that it had to fetch again.
    """
    machine = shard_with([], "a").machines["vm-0"]
    for image, size in used:
        machine.image_used(image, size)
    assert "".join(machine.images) == held
    new_owner = shard_with([], "", revision=50)
    new_owner.add_machine("vm-0", machine.record("red"), 9, 0.0)
    assert "".join(new_owner.machines["vm-0"].images) == held
    machine.image_missing(held[-1])
    assert "".join(machine.images) == held[:-1]


# (tasks, submitted at) of gangs of a class with wait objectives of 10 s and 60 s, at 100 s -> the
# order in which they are tried.
GANG_ORDER = [
    ([(4, 95.0), (1, 98.0), (2, 99.0)], [1, 2, 0]),  # in time for the first objective: small first
    ([(1, 95.0), (4, 60.0)], [1, 0]),  # the last objective is about to be missed
    ([(1, 95.0), (4, 80.0)], [0, 1]),
    ([(1, 20.0), (1, 80.0)], [1, 0]),  # late for all objectives: after what can still be in time
    ([(1, -100.0), (1, 95.0)], [0, 1]),  # but not forever
]


@pytest.mark.parametrize(("gangs", "order"), GANG_ORDER)
def test_small_gangs_go_first_while_in_time(
    gangs: list[tuple[int, float]], order: list[int]
) -> None:
    shard = shard_with([], "")
    shard.scheduler.wait_targets_s["w"] = [10.0, 60.0]
    for n, (tasks, at) in enumerate(gangs):
        job_spec = spec(n, shape="ensemble", shares=tasks, accelerators=2.0)
        shard.add_job(queued_record(job_spec, at), 7)
    assert [job.id for job in shard.scheduler.schedulable_jobs(100.0)] == [
        f"req-{n:06d}" for n in order
    ]


def test_rentals_of_all_teams_share_requests() -> None:
    """Machines of one type, zone and price (spot or not) are rented together for all teams.

    The cloud accepts few requests per second: dozens of small rentals, one for each team and
    request, queued for a minute.
    """
    allocator = Allocator(shared(), Renting(), {"g4": G4})
    resource_requests = [request(tasks=8, zone=zone) for zone in "abc" for _ in range(3)]
    shard_statuses = {
        team: ShardStatus(team, 9, resource_requests, [], [], 0, 0, 0) for team in ("red", "blue")
    }
    scale_outs = [d for d in allocator.decide([], shard_statuses, 0.0) if isinstance(d, ScaleOut)]
    assert sorted((scale_out.zone, scale_out.number) for scale_out in scale_outs) == [
        ("a", 12),
        ("b", 12),
        ("c", 12),
    ]
    assert {team for scale_out in scale_outs for team, _ in scale_out.teams} == {"red", "blue"}
    names = [f"m{n}" for n in range(7)]
    # The first team gets all of its machines.
    assert [team for _, team in scale_outs[0].assign_teams(names)].count(
        scale_outs[0].teams[0][0]
    ) == 6
    many = Allocator(shared(), Renting(), {"g4": G4})
    shard_statuses["red"] = ShardStatus("red", 9, [request(tasks=999, zone="a")], [], [], 0, 0, 0)
    assert (
        max(d.number for d in many.decide([], shard_statuses, 0.0) if isinstance(d, ScaleOut)) == 50
    )


def test_tasks_that_start_or_end_together_share_transactions() -> None:
    """400 tasks on 100 machines take a few writes when they start, and a few when they end."""
    shard = shard_with([spec(1, shares=400)], "ab" * 50)
    shard.usage.team = Team("red", gpus=8, gpus_max=1000)
    for n in range(100):
        shard.reconciler.on_heartbeat(heartbeat(f"vm-{n}", 1), 1.0, True)
    shard.scheduler.schedule(1.0)
    assert len(shard.jobs["req-000001"].live) == 400
    writes = [commit(shard, 20)]
    assert sum(map(len, writes)) <= 8 and shard.writer.next_transaction() is None
    where: dict[str, list[tuple[str, int, str, str | None]]] = {}
    for task, placement in shard.jobs["req-000001"].live.items():
        where.setdefault(placement.machine, []).append(
            (f"req-000001/{task}", placement.attempt, "ended", "done")
        )
    for machine, tasks in where.items():
        shard.commands.direct_commands(shard.machines[machine])
        shard.commands.on_direct_answered(
            shard.machines[machine], shard.commands.commands_for(shard.machines[machine], None)
        )
        shard.reconciler.on_heartbeat(heartbeat(machine, 2, tasks), 5.0, True)
    ends: list[dict[str, Any]] = []
    while shard.jobs:
        ends.append(commit(shard, 30 + len(ends)))
    assert len(ends) == 1 and len(ends[0]) <= 10


def test_machine_record_is_trimmed_to_fit_in_a_value() -> None:
    """Images are left out of a machine's record that would exceed the store's value limit.

    With twelve images of long names the store refused the record each time it was written.
    """
    value: dict[str, Any] = {
        "t": "g4",
        "z": "a",
        "s": False,
        "a": "x:1",
        "p": "red",
        "at": 1.0,
        "i": [[f"{n}" + "i" * 190, 2.0] for n in range(12)],
    }
    short = fit_machine_record(value, 1024)
    assert (
        len(encode(short)) <= 1024
        and 2 < len(short["i"]) < 12
        and short["i"] == value["i"][: len(short["i"])]
    )
    assert fit_machine_record(value, 4096) is value and fit_machine_record({"t": "g4"}, 10) == {
        "t": "g4"
    }


def test_number_of_teams_per_scale_out_is_bounded() -> None:
    scale_outs = Allocator._scale_outs({(f"team-{n}", "g4", "a", False): 1 for n in range(30)})
    assert [len(scale_out.teams) for scale_out in scale_outs] == [10] and scale_outs[0].number == 10


def test_shard_status_recomputes_only_machines_that_changed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A machine's preemption cost is recomputed only when its tasks change or the value expires.

    Several statuses per second, each computed from every machine, took more time in a large shard
    than its scheduling cycles.
    """
    shard = shard_with([spec(1, shares=4, accelerators=4.0, snapshot_s=0.0)], machines="abab")
    for machine in shard.machines.values():
        machine.mark_up("10.1.0.1:9000")
    shard.scheduler.schedule(1.0)
    computed: list[str] = []
    whole = preemption_cost.machine_preemption_cost

    def counted(jobs: Mapping[str, Job], machine: Machine, now: float) -> float:
        computed.append(machine.name)
        return whole(jobs, machine, now)

    monkeypatch.setattr(status_reporter, "machine_preemption_cost", counted)
    steps: list[tuple[float, list[str]]] = [
        (1.0, ["vm-0", "vm-1", "vm-2", "vm-3"]),
        (1.5, []),
        (1.9, []),
        (2.1, ["vm-0", "vm-1", "vm-2", "vm-3"]),
    ]
    for now, recomputed in steps:
        computed.clear()
        assert (
            len(shard.status_reporter.shard_status(now).busy) == 4
            and sorted(computed) == recomputed
        )
    computed.clear()
    gone = shard.machines["vm-2"]
    shard.drop_placement(next(iter(gone.live.values())), 2.2)
    assert [busy.machine for busy in shard.status_reporter.shard_status(2.2).busy] == [
        "vm-0",
        "vm-1",
        "vm-3",
    ] and not computed
    # Assigned away and back meanwhile: another machine object with the same name.
    fresh = shard.machines["vm-0"] = Machine(
        "vm-0", {"t": "g4", "z": "a", "s": False, "n": 1, "a": "x:1"}, 30, G4, 2.2
    )
    fresh.live, fresh.version = shard.machines["vm-1"].live, shard.machines["vm-1"].version
    shard.status_reporter.shard_status(2.3)
    assert computed == ["vm-0"]


def test_each_transaction_carries_machine_transfers() -> None:
    """Transfers of machines get a part of each transaction.

    Starts of a hot shard filled every transaction, and the machines that it was to pass on stayed
    empty behind them.
    """
    shard = shard_with([spec(n, shares=1) for n in range(1, 31)], "abc" * 6)
    for name in ("vm-9", "vm-10", "vm-11", "vm-12"):
        shard.reconciler.on_heartbeat(heartbeat(name, 1), 0.5, True)
        shard.status_reporter.transfer_machine(name, "blue")
    for name in sorted(set(shard.machines) - {"vm-9", "vm-10", "vm-11", "vm-12"}):
        shard.reconciler.on_heartbeat(heartbeat(name, 1), 0.5, True)
    shard.scheduler.schedule(1.0)
    writes = []
    while (txn := shard.writer.next_transaction(writes_per_s=9.0)) is not None:
        writes.append(txn.writes)
        for callback in txn.on_commit:
            callback(20 + len(writes))
    moved = [sum(path.startswith("machine/") for path in each) for each in writes]
    assert moved[:2] == [3, 1] and sum(moved) == 4 and max(map(len, writes)) <= 9
    assert all(
        placement.phase is PlacementPhase.COMMITTED
        for job in shard.jobs.values()
        for placement in job.live.values()
    )
