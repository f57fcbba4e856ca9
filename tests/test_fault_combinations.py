"""Tests of faults that overlap, with whole controllers: chosen combinations and random days.

The tests at the end check single safety conditions that these combinations do not reach.
"""

from __future__ import annotations

import asyncio
import random
from typing import Any

import pytest

from ashdock.shard_owner import OwnershipPhase, ShardOwner
from tests import fault_combinations
from tests.cluster import Service, job
from tests.fault_combinations import ScheduledFault
from tests.test_cluster import run_scenario
from tests.test_core import commit, heartbeat, queued_record, shard_with, spec, start_one_task
from tests.test_restarts import wait_for_owner
from tests.virtual_time import spawn

# Most faults come twice, so that the second time they meet the state that the first time left.
COMBINATIONS: dict[str, list[ScheduledFault]] = {
    "shards handed over, all controllers crash, one returns": [
        ScheduledFault(8, "handed_back", 1),
        ScheduledFault(10, "all_end", 2.5),
        ScheduledFault(11, "handed_back", 1),
        ScheduledFault(26, "one_ends", 0.3),
        ScheduledFault(26.4, "all_end", 7),
    ],
    "tasks end far apart, across two changes of owner": [
        ScheduledFault(6, "one_ends", 15),
        ScheduledFault(16, "one_ends", 15),
        ScheduledFault(28, "all_end", 1),
        ScheduledFault(40, "handed_back", 1),
    ],
    "commands delayed": [
        ScheduledFault(3, "held_orders", 28),
        ScheduledFault(9, "one_ends", 0.3),
        ScheduledFault(14, "out_of_reach", 3),
        ScheduledFault(33, "held_orders", 15),
        ScheduledFault(34, "all_end", 2),
    ],
    "copies of heartbeats arrive late": [
        ScheduledFault(3, "late_reports", 50),
        ScheduledFault(9, "one_ends", 0.3),
        ScheduledFault(18, "out_of_reach", 7),
        ScheduledFault(26, "handed_back", 1),
        ScheduledFault(34, "one_ends", 9),
    ],
    "an owner crashes, workers cut off": [
        ScheduledFault(8, "out_of_reach", 15),
        ScheduledFault(8.5, "one_ends", 9),
        ScheduledFault(32, "out_of_reach", 7),
        ScheduledFault(33, "one_ends", 2.5),
    ],
    "an owner crashes, workers deaf, the machine list lags": [
        ScheduledFault(5, "list_lags", 50),
        ScheduledFault(8, "deaf", 15),
        ScheduledFault(8.4, "one_ends", 9),
        ScheduledFault(32, "deaf", 4),
        ScheduledFault(33, "one_ends", 1),
    ],
    "store slow, then refusing one controller, then down": [
        ScheduledFault(6, "slow_state", 12),
        ScheduledFault(12, "refused", 10),
        ScheduledFault(13, "outage", 28),
        ScheduledFault(48, "slow_state", 8),
        ScheduledFault(49, "refused", 3),
    ],
    "transactions applied late": [
        ScheduledFault(2, "late_writes", 55),
        ScheduledFault(9, "one_ends", 0.3),
        ScheduledFault(20, "handed_back", 1),
        ScheduledFault(30, "all_end", 1),
        ScheduledFault(44, "refused", 5),
    ],
    "an owner cut off from the store and its peers": [
        ScheduledFault(8, "apart", 26),
        ScheduledFault(9, "one_ends", 3),
        ScheduledFault(40, "apart", 15),
        ScheduledFault(41, "out_of_reach", 3),
    ],
    "close polling, also of controllers that lag, have just started or reach no store": [
        ScheduledFault(1, "close_looks", 56),
        ScheduledFault(4, "one_task_jobs", 45),
        ScheduledFault(10, "refused", 4),
        ScheduledFault(18, "one_ends", 0.05),
        ScheduledFault(22, "handed_back", 1),
        ScheduledFault(28, "slow_state", 6),
        ScheduledFault(36, "outage", 3),
        ScheduledFault(42, "all_end", 0.3),
        ScheduledFault(50, "apart", 5),
    ],
    "cancellation as a job's last task ends": [
        ScheduledFault(1, "cancel_at_end", 58),
        ScheduledFault(2, "one_task_jobs", 40),
    ],
    "cancellation as a job's last task ends, with close polling": [
        ScheduledFault(1, "cancel_at_end", 58),
        ScheduledFault(1, "close_looks", 58),
        ScheduledFault(2, "one_task_jobs", 40),
    ],
    "every team at its limit, workers cut off or hanging, owners crash": [
        ScheduledFault(2, "more_than_room", 1),
        ScheduledFault(3, "more_than_room", 1),
        ScheduledFault(14, "cancel_and_hang", 9),
        ScheduledFault(14.2, "one_ends", 7),
        ScheduledFault(26, "more_than_room", 1),
        ScheduledFault(34, "out_of_reach", 7),
        ScheduledFault(34.5, "cancel_now", 1),
        ScheduledFault(35, "one_ends", 0.3),
        ScheduledFault(36, "handed_back", 1),
        ScheduledFault(46, "cancel_and_hang", 4),
        ScheduledFault(46.3, "all_end", 1),
    ],
    "machines boot at once, writes lag, the leader crashes": [
        ScheduledFault(1, "quick_boots", 58),
        ScheduledFault(2, "late_writes", 14),
        ScheduledFault(3, "more_than_room", 1),
        ScheduledFault(5, "one_ends", 0.3),
        ScheduledFault(8, "one_ends", 7),
        ScheduledFault(24, "answers_lost", 10),
        ScheduledFault(25, "more_than_room", 1),
        ScheduledFault(26, "dies", 1),
        ScheduledFault(27, "one_ends", 2),
        ScheduledFault(42, "leaders_change", 10),
    ],
    "old heartbeats arrive as ownership changes": [
        ScheduledFault(2, "reports_for_next", 56),
        ScheduledFault(8, "one_ends", 0.3),
        ScheduledFault(14, "out_of_reach", 7),
        ScheduledFault(23, "handed_back", 1),
        ScheduledFault(30, "mute", 7),
        ScheduledFault(38, "one_ends", 9),
        ScheduledFault(39, "all_end", 1),
        ScheduledFault(50, "handed_back", 1),
    ],
    "one-task jobs, with an outage in the middle": [
        ScheduledFault(1, "one_task_jobs", 58),
        ScheduledFault(24, "outage", 7),
        ScheduledFault(40, "one_ends", 0.3),
        ScheduledFault(50, "refused", 3),
    ],
    "one controller refused as jobs are cancelled, then an outage": [
        ScheduledFault(14, "refused", 10),
        ScheduledFault(14, "cancel_and_hang", 7),
        ScheduledFault(15, "outage", 28),
        ScheduledFault(50, "refused", 3),
        ScheduledFault(50, "cancel_and_hang", 3),
        ScheduledFault(51, "outage", 28),
    ],
    "workers mute, then deaf, then mute": [
        ScheduledFault(6, "mute", 15),
        ScheduledFault(8, "cancel_now", 1),
        ScheduledFault(9, "one_ends", 0.3),
        ScheduledFault(28, "deaf", 15),
        ScheduledFault(30, "cancel_now", 1),
        ScheduledFault(31, "one_ends", 7),
        ScheduledFault(48, "mute", 4),
    ],
    "all controllers down for longer than a lease": [
        ScheduledFault(8, "all_end", 8),
        ScheduledFault(24, "cancel_now", 1),
        ScheduledFault(24.1, "all_end", 8),
        ScheduledFault(44, "all_end", 7.5),
    ],
    "a zone cut off for longer than a lease": [
        ScheduledFault(8, "zone_cut", 15),
        ScheduledFault(10, "cancel_now", 1),
        ScheduledFault(32, "zone_cut", 9),
        ScheduledFault(33, "one_ends", 0.3),
        ScheduledFault(36, "cancel_now", 1),
    ],
    "ten changes of leader, also in an outage": [
        ScheduledFault(6, "leaders_change", 25),
        ScheduledFault(12, "outage", 7),
        ScheduledFault(14, "cancel_now", 1),
        ScheduledFault(36, "leaders_change", 20),
        ScheduledFault(40, "outage", 4),
    ],
    "jobs bound to a zone, more work than capacity, slow links": [
        ScheduledFault(2, "slow_links", 50),
        ScheduledFault(3, "more_than_room", 1),
        ScheduledFault(8, "dies", 1),
        ScheduledFault(12, "more_than_room", 1),
        ScheduledFault(16, "dies", 1),
        ScheduledFault(20, "one_ends", 2),
        ScheduledFault(24, "cancel_now", 1),
        ScheduledFault(30, "more_than_room", 1),
        ScheduledFault(34, "dies", 1),
    ],
    "timers late by seconds, with leases, cancellations and fencing": [
        ScheduledFault(5, "late_timers", 12),
        ScheduledFault(8, "cancel_now", 1),
        ScheduledFault(8.1, "refused", 5),
        ScheduledFault(9, "outage", 15),
        ScheduledFault(26, "late_timers", 15),
        ScheduledFault(28, "one_ends", 0.3),
        ScheduledFault(30, "cancel_now", 1),
        ScheduledFault(31, "apart", 12),
        ScheduledFault(48, "late_timers", 12),
        ScheduledFault(50, "handed_back", 1),
        ScheduledFault(51, "cancel_and_hang", 5),
    ],
    "invalid and repeated requests": [
        ScheduledFault(1, "odd_requests", 58),
        ScheduledFault(3, "one_task_jobs", 20),
        ScheduledFault(20, "answers_lost", 8),
        ScheduledFault(30, "one_ends", 0.3),
        ScheduledFault(40, "slow_state", 6),
    ],
}


@pytest.mark.parametrize("leader_offset", [0, 1], ids=["owner leads", "another leads"])
@pytest.mark.parametrize("name", COMBINATIONS)
def test_invariants_hold_where_faults_overlap(
    name: str, leader_offset: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert fault_combinations.run_faults(
        COMBINATIONS[name], random.Random(7 + leader_offset), 7, monkeypatch, leader_offset
    ) == (
        [],
        [],
    )


# Brings about writes of all kinds while the store does not answer those of one kind.
UNANSWERED = [
    ScheduledFault(1, "unanswered", 26),
    ScheduledFault(1, "close_looks", 50),
    ScheduledFault(2, "one_task_jobs", 14),
    ScheduledFault(3, "more_than_room", 1),
    ScheduledFault(7, "cancel_now", 1),
    ScheduledFault(9, "handed_back", 1),
    ScheduledFault(13, "one_ends", 0.3),
    ScheduledFault(18, "cancel_now", 1),
    ScheduledFault(20, "leaders_change", 10),
    ScheduledFault(34, "more_than_room", 1),
]


@pytest.mark.parametrize("outcome", ["answer", "late"])
@pytest.mark.parametrize("kind", fault_combinations.WRITE_KINDS)
def test_invariants_hold_where_writes_of_one_kind_are_not_answered(
    kind: str, outcome: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """They are applied at once and seen by the others, or late, after newer ones of the sender."""
    assert fault_combinations.run_faults(
        UNANSWERED,
        random.Random(9),
        9,
        monkeypatch,
        extra_faults={"unanswered": fault_combinations.unanswered_writes(outcome, (kind,))},
    ) == ([], [])


@pytest.mark.parametrize("seed", range(3))
def test_invariants_hold_on_random_days_of_faults(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert fault_combinations.run_day(seed, monkeypatch) == ([], [])


@pytest.mark.parametrize("seed", range(20))
def test_a_seed_draws_the_same_valid_faults_each_time(seed: int) -> None:
    first, second = (fault_combinations.draw_faults(random.Random(seed)) for _ in range(2))
    assert (
        first == second
        and {fault.name for fault in first} <= fault_combinations.FAULTS.keys()
        and all(fault.at_s > 0 and fault.for_s > 0 for fault in first)
    )


# -- jobs cancelled while a shard is handed over ---------------------------------------------------


@pytest.mark.parametrize("receiver", ["old owner", "new owner", "third"])
@pytest.mark.parametrize("moment", ["named", "claimed", "loaded", "just before"])
def test_jobs_cancelled_during_a_handover_are_withdrawn(
    moment: str, receiver: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The cancellations come at one of four moments.

    These are: as the next owner is named, between its claim and its read of the shard, right after
    that read, and just before the handover.
    """

    async def day(service: Service) -> None:
        for number in range(1, 7):
            await service.submit(
                job(
                    number,
                    shape="daemon" if number % 2 else "sweep",
                    shares=1,
                    expect_s=400.0,
                    size_gb=0.5,
                )
            )
        while not all(
            service.invariants.placements.get((f"req-{number:06d}", 0)) for number in range(1, 7)
        ):
            await asyncio.sleep(0.2)
        old = await wait_for_owner(service)
        new = (old + 1) % 3
        controllers = {"old owner": old, "new owner": new, "third": (old + 2) % 3}
        calls: list[asyncio.Task[Any]] = []
        steps: list[str] = []  # of the handover, as the store applies them

        async def cancel(after_s: float) -> None:
            await asyncio.sleep(after_s)
            await asyncio.gather(
                *(
                    service.cancel(f"req-{number:06d}", controllers[receiver])
                    for number in (1, 2, 3)
                )
            )

        def applied(path: str, value: Any) -> None:
            if path == "part/red" and value["owner"] == f"n{new}":
                steps.append("named" if not steps else "claimed")
                after_s = {"named": 0.0, "claimed": 0.05, "loaded": 0.35}
                if steps[-1] == ("claimed" if moment == "loaded" else moment):
                    calls.append(spawn(service.net, "users", cancel(after_s[moment])))

        service.store.on_applied = applied
        service.store.extra_delay_s = 0.1
        if moment == "just before":
            calls.append(spawn(service.net, "users", cancel(0.0)))
            await asyncio.sleep(0.06)
        owner = service.controllers[old].owners["red"]
        owner.transfer_to = f"n{new}"
        owner.wake.set()
        while "claimed" not in steps:
            await asyncio.sleep(0.05)
        await asyncio.sleep(3.0)
        service.store.extra_delay_s = 0.0
        await asyncio.gather(*calls)
        assert calls and await wait_for_owner(service) == new
        await asyncio.sleep(5.0)
        assert {
            await service.poll(f"req-{number:06d}", n) for number in (1, 2, 3) for n in range(3)
        } == {"withdrawn"}
        assert not any(
            service.invariants.placements.get((f"req-{number:06d}", 0)) for number in (1, 2, 3)
        )
        # The other jobs still run, and no task was started twice.
        assert (
            all(service.invariants.placements.get((f"req-{number:06d}", 0)) for number in (4, 5, 6))
            and service.invariants.start_count == 6
        )

    run_scenario(monkeypatch, 81, day)


# -- safety conditions that the combinations do not reach: no test above fails without them --------


def test_an_old_heartbeat_changes_nothing() -> None:
    """A late copy of this or an earlier incarnation proves nothing by the tasks it has or lacks."""
    shard = shard_with([spec(shares=1)], "a")
    start_one_task(shard)
    machine = shard.machines["vm-0"]
    task = ("req-000001/0", 1, "running", None)
    shard.reconciler.on_heartbeat(heartbeat("vm-0", 9, [task]), 4.0, True)
    for sequence, incarnation, tasks in (
        (3, 1, []),
        (90, 0, []),
        (4, 1, [("req-000001/0", 1, "pulling", None)]),
        (9, 1, [("req-000001/0", 1, "ended", "stopped")]),
    ):
        assert (
            shard.reconciler.on_heartbeat(
                heartbeat("vm-0", sequence, tasks, incarnation=incarnation), 5.0, True
            )
            == []
        )
    live = shard.jobs["req-000001"].live[0]
    assert (
        live.status == "running"
        and (machine.incarnation, machine.sequence) == (1, 9)
        and machine.last_heartbeat_at == 4.0
    )


@pytest.mark.parametrize(
    ("incarnation", "fencing_token", "tasks", "stays_live"),
    [
        (1, 10, [], True),
        (2, 10, [], True),
        (3, 10, [], True),
        (1, 0, [], True),  # under an earlier token: a missing task proves nothing
        (1, 10, [("req-000001/0", 1, "running", None)], True),
        # An earlier attempt did the task: the live one is only stopped.
        (2, 10, [("req-000001/0", 0, "ended", "done")], True),
        (2, 10, [("req-000001/0", 9, "ended", "error")], True),  # another attempt
        # An incarnation before the one in the machine's record (2): the heartbeat is ignored.
        (1, 10, [("req-000001/0", 1, "ended", "error")], True),
        # An attempt that has ended stays ended.
        (2, 10, [("req-000001/0", 1, "ended", "error")], False),
        # Under our own token a missing task is proof.
        (2, 50, [], False),
        (2, 50, [("req-000001/0", 1, "pulling", None)], True),
    ],
)
def test_what_the_first_heartbeat_to_a_new_owner_proves(
    incarnation: int, fencing_token: int, tasks: list[Any], stays_live: bool
) -> None:
    """The new owner has no earlier heartbeat to compare it with, and it may be a delayed one.

    Of an earlier incarnation, attempt or token it proves at most that an attempt has ended.
    """
    new_owner = shard_with([], "", revision=50)
    work = [
        ("work/red/req-000001/job", queued_record(spec(shares=1), 0.0), 7),
        ("work/red/req-000001/0", {"a": 1, "p": [[0, "vm-0", 1]]}, 20),
    ]
    new_owner.load(
        [("vm-0", {"t": "g4", "z": "a", "s": False, "p": "red", "a": "10.1.0.1:9000", "n": 2}, 5)],
        work,
        [],
        5.0,
    )
    new_owner.preempt(new_owner.jobs["req-000001"], [0], "test", 5.0)
    new_owner.reconciler.on_heartbeat(
        heartbeat("vm-0", 9, tasks, fencing_token=fencing_token, incarnation=incarnation), 6.0, True
    )
    assert (0 in new_owner.jobs["req-000001"].live) is stays_live


def test_a_start_is_conditional_on_the_revisions_of_the_job_and_of_the_claim() -> None:
    """An owner that misses a cancellation cannot commit a start after it."""
    shard = shard_with([spec(shares=2)], "a")
    shard.reconciler.on_heartbeat(heartbeat("vm-0", 1), 1.0, True)
    shard.scheduler.schedule(1.0)
    txn = shard.writer.next_transaction()
    assert (
        txn is not None
        and {"work/red/req-000001/0": 0, "job/req-000001": 7, "part/red": 10}.items()
        <= txn.conditions.items()
    )
    commit(shard, 20)


def test_a_claim_on_an_old_revision_fails(monkeypatch: pytest.MonkeyPatch) -> None:
    async def day(service: Service) -> None:
        await service.submit(job(1))
        n = await wait_for_owner(service)
        before = service.store.keys["part/red"]
        other = service.controllers[(n + 1) % 3]
        stale = ShardOwner(other, other.shared.teams[0], before[1] - 1)
        await asyncio.sleep(1)
        assert stale.phase is OwnershipPhase.LOST and service.store.keys["part/red"] == before
        assert await service.until_final(["req-000001"], 60) == []

    run_scenario(monkeypatch, 71, day)


def test_a_controller_that_lags_gives_no_older_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    """No watch of jobs delivers anything: only the controller that wrote the outcome knows it."""

    async def day(service: Service) -> None:
        await service.submit(job(1, shares=1, expect_s=6.0))
        n = await wait_for_owner(service)
        others = [k for k in range(3) if k != n]
        for k in (n, *others):
            service.entry_points = [k]
            await service.poll("req-000001")
        service.store.job_watches_lag = True
        service.entry_points = [n]
        while await service.poll("req-000001") != "done":
            await asyncio.sleep(0.1)
        for k in others:
            service.entry_points = [k]
            assert await service.poll("req-000001") == "done"
        service.store.job_watches_lag = False

    run_scenario(monkeypatch, 72, day)


def test_a_cancellation_that_races_the_outcome_has_one_result(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The store is slow, and the job ends between the read and the write of its cancellation."""

    async def day(service: Service) -> None:
        ids = [f"req-{number:06d}" for number in range(1, 13)]
        for number in range(1, 13):
            await service.submit(
                job(number, shares=1, expect_s=8.0, bundle="img", size_gb=0.1, accelerators=0.5)
            )
        while not service.invariants.placements.get((ids[-1], 0)):
            await asyncio.sleep(0.05)
        service.store.extra_delay_s = 0.3

        async def poll_jobs() -> None:
            while True:
                for job_id in ids:
                    spawn(service.net, "users", service.poll(job_id))
                await asyncio.sleep(0.25)

        async def cancel(job_id: str, after_s: float) -> Any:
            await asyncio.sleep(after_s)
            return await service.cancel(job_id)

        spawn(service.net, "users", poll_jobs())
        answers = await asyncio.gather(
            *(cancel(job_id, 2.0 + 0.55 * n) for n, job_id in enumerate(ids))
        )
        assert set(answers) == {"done", "withdrawn"}
        await asyncio.sleep(6)
        for job_id, answer in zip(ids, answers, strict=True):
            assert await service.poll(job_id) == answer

    run_scenario(monkeypatch, 73, day)
