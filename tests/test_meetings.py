"""The meetings of troubles that the users' page names, each brought about with whole controllers; and random days of them."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import pytest

from ashdock.shard_owner import OwnershipPhase, ShardOwner
from tests import meetings
from tests.cluster import Service, job
from tests.meetings import Met
from tests.test_cluster import run_scenario
from tests.test_core import commit, heartbeat, queued_record, shard_with, spec, start_one_task
from tests.test_restarts import owned
from tests.virtual_time import spawn

# What meets (when, for how long), twice each, so that the second finds what the first has left.
MEETINGS: dict[str, list[Met]] = {
    "handed over and back, all end, one returns": [
        Met(8, "handed_back", 1),
        Met(10, "all_end", 2.5),
        Met(11, "handed_back", 1),
        Met(26, "one_ends", 0.3),
        Met(26.4, "all_end", 7),
    ],
    "tasks that end far apart, across two changes of owner": [
        Met(6, "one_ends", 15),
        Met(16, "one_ends", 15),
        Met(28, "all_end", 1),
        Met(40, "handed_back", 1),
    ],
    "commands held up": [
        Met(3, "held_orders", 28),
        Met(9, "one_ends", 0.3),
        Met(14, "out_of_reach", 3),
        Met(33, "held_orders", 15),
        Met(34, "all_end", 2),
    ],
    "reports come again late": [
        Met(3, "late_reports", 50),
        Met(9, "one_ends", 0.3),
        Met(18, "out_of_reach", 7),
        Met(26, "handed_back", 1),
        Met(34, "one_ends", 9),
    ],
    "a leader ends, machines out of reach": [
        Met(8, "out_of_reach", 15),
        Met(8.5, "one_ends", 9),
        Met(32, "out_of_reach", 7),
        Met(33, "one_ends", 2.5),
    ],
    "a leader ends, machines deaf, the list lags": [
        Met(5, "list_lags", 50),
        Met(8, "deaf", 15),
        Met(8.4, "one_ends", 9),
        Met(32, "deaf", 4),
        Met(33, "one_ends", 1),
    ],
    "slow, then refused, then down": [
        Met(6, "slow_state", 12),
        Met(12, "refused", 10),
        Met(13, "outage", 28),
        Met(48, "slow_state", 8),
        Met(49, "refused", 3),
    ],
    "transactions carried out late": [
        Met(2, "late_writes", 55),
        Met(9, "one_ends", 0.3),
        Met(20, "handed_back", 1),
        Met(30, "all_end", 1),
        Met(44, "refused", 5),
    ],
    "cut from state and peers": [
        Met(8, "apart", 26),
        Met(9, "one_ends", 3),
        Met(40, "apart", 15),
        Met(41, "out_of_reach", 3),
    ],
    "close looks, also at who is behind, has just started, has no state service": [
        Met(1, "close_looks", 56),
        Met(4, "one_task_jobs", 45),
        Met(10, "refused", 4),
        Met(18, "one_ends", 0.05),
        Met(22, "handed_back", 1),
        Met(28, "slow_state", 6),
        Met(36, "outage", 3),
        Met(42, "all_end", 0.3),
        Met(50, "apart", 5),
    ],
    "a job's last task, alone": [Met(1, "cancel_at_end", 58), Met(2, "one_task_jobs", 40)],
    "a job's last task, with close looks": [
        Met(1, "cancel_at_end", 58),
        Met(1, "close_looks", 58),
        Met(2, "one_task_jobs", 40),
    ],
    "every team at its limit, cut off or hanging, the leader changes": [
        Met(2, "more_than_room", 1),
        Met(3, "more_than_room", 1),
        Met(14, "cancel_and_hang", 9),
        Met(14.2, "one_ends", 7),
        Met(26, "more_than_room", 1),
        Met(34, "out_of_reach", 7),
        Met(34.5, "cancel_now", 1),
        Met(35, "one_ends", 0.3),
        Met(36, "handed_back", 1),
        Met(46, "cancel_and_hang", 4),
        Met(46.3, "all_end", 1),
    ],
    "new machines at once, writes lag, the leader ends": [
        Met(1, "quick_boots", 58),
        Met(2, "late_writes", 14),
        Met(3, "more_than_room", 1),
        Met(5, "one_ends", 0.3),
        Met(8, "one_ends", 7),
        Met(24, "answers_lost", 10),
        Met(25, "more_than_room", 1),
        Met(26, "dies", 1),
        Met(27, "one_ends", 2),
        Met(42, "leaders_change", 10),
    ],
    "old reports as a new leader begins": [
        Met(2, "reports_for_next", 56),
        Met(8, "one_ends", 0.3),
        Met(14, "out_of_reach", 7),
        Met(23, "handed_back", 1),
        Met(30, "mute", 7),
        Met(38, "one_ends", 9),
        Met(39, "all_end", 1),
        Met(50, "handed_back", 1),
    ],
    "one-task jobs for minutes, an outage in the middle": [
        Met(1, "one_task_jobs", 58),
        Met(24, "outage", 7),
        Met(40, "one_ends", 0.3),
        Met(50, "refused", 3),
    ],
    "refused alone as jobs are cancelled, then an outage": [
        Met(14, "refused", 10),
        Met(14, "cancel_and_hang", 7),
        Met(15, "outage", 28),
        Met(50, "refused", 3),
        Met(50, "cancel_and_hang", 3),
        Met(51, "outage", 28),
    ],
    "machines mute, machines deaf": [
        Met(6, "mute", 15),
        Met(8, "cancel_now", 1),
        Met(9, "one_ends", 0.3),
        Met(28, "deaf", 15),
        Met(30, "cancel_now", 1),
        Met(31, "one_ends", 7),
        Met(48, "mute", 4),
    ],
    "all away for longer than a lease": [
        Met(8, "all_end", 8),
        Met(24, "cancel_now", 1),
        Met(24.1, "all_end", 8),
        Met(44, "all_end", 7.5),
    ],
    "a zone cut off for longer than a lease": [
        Met(8, "zone_cut", 15),
        Met(10, "cancel_now", 1),
        Met(32, "zone_cut", 9),
        Met(33, "one_ends", 0.3),
        Met(36, "cancel_now", 1),
    ],
    "ten changes of leader, also in an outage": [
        Met(6, "leaders_change", 25),
        Met(12, "outage", 7),
        Met(14, "cancel_now", 1),
        Met(36, "leaders_change", 20),
        Met(40, "outage", 4),
    ],
    "bound to a zone, more work than room, slow links": [
        Met(2, "slow_links", 50),
        Met(3, "more_than_room", 1),
        Met(8, "dies", 1),
        Met(12, "more_than_room", 1),
        Met(16, "dies", 1),
        Met(20, "one_ends", 2),
        Met(24, "cancel_now", 1),
        Met(30, "more_than_room", 1),
        Met(34, "dies", 1),
    ],
    "timers late by seconds at leases, cancellations and fences": [
        Met(5, "late_timers", 12),
        Met(8, "cancel_now", 1),
        Met(8.1, "refused", 5),
        Met(9, "outage", 15),
        Met(26, "late_timers", 15),
        Met(28, "one_ends", 0.3),
        Met(30, "cancel_now", 1),
        Met(31, "apart", 12),
        Met(48, "late_timers", 12),
        Met(50, "handed_back", 1),
        Met(51, "cancel_and_hang", 5),
    ],
    "odd requests": [
        Met(1, "odd_requests", 58),
        Met(3, "one_task_jobs", 20),
        Met(20, "answers_lost", 8),
        Met(30, "one_ends", 0.3),
        Met(40, "slow_state", 6),
    ],
}


@pytest.mark.parametrize("leads", [0, 1], ids=["owner leads", "another leads"])
@pytest.mark.parametrize("name", MEETINGS)
def test_rules_hold_where_troubles_meet(
    name: str, leads: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert meetings.course(MEETINGS[name], random.Random(7 + leads), 7, monkeypatch, leads) == (
        [],
        [],
    )


# Everybody does something that writes, while transactions of one kind are not answered.
LOST = [
    Met(1, "lost", 26),
    Met(1, "close_looks", 50),
    Met(2, "one_task_jobs", 14),
    Met(3, "more_than_room", 1),
    Met(7, "cancel_now", 1),
    Met(9, "handed_back", 1),
    Met(13, "one_ends", 0.3),
    Met(18, "cancel_now", 1),
    Met(20, "leaders_change", 10),
    Met(34, "more_than_room", 1),
]


@pytest.mark.parametrize("what", ["answer", "late"])
@pytest.mark.parametrize("kind", meetings.KINDS)
def test_rules_hold_where_writes_of_one_kind_are_not_answered(
    kind: str, what: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Applied at once, and read by all others; or late, after newer ones of the same controller."""
    assert meetings.course(
        LOST, random.Random(9), 9, monkeypatch, more={"lost": meetings.of_writes(what, (kind,))}
    ) == ([], [])


@pytest.mark.parametrize("seed", range(3))
def test_rules_hold_on_random_days_of_meetings(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    assert meetings.day(seed, monkeypatch) == ([], [])


@pytest.mark.parametrize("seed", range(20))
def test_what_a_seed_draws_is_all_there_is_to_a_day(seed: int) -> None:
    one, two = (meetings.drawn(random.Random(seed)) for _ in range(2))
    assert (
        one == two
        and {met.name for met in one} <= meetings.TROUBLES.keys()
        and all(met.at_s > 0 and met.for_s > 0 for met in one)
    )


# -- jobs cancelled in the seconds in which a shard changes hands ------------------------------------------------------------


@pytest.mark.parametrize("door", ["old owner", "new owner", "third"])
@pytest.mark.parametrize("moment", ["given", "claimed", "read", "just before"])
def test_cancelled_as_a_part_changes_hands(
    moment: str, door: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """As its next owner is named, between that one's claim and its reading, right after that, and a moment before all of it."""

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
        old = await owned(service)
        new = (old + 1) % 3
        doors = {"old owner": old, "new owner": new, "third": (old + 2) % 3}
        calls: list[asyncio.Task[Any]] = []
        seen: list[str] = []

        async def cancel(after_s: float) -> None:
            await asyncio.sleep(after_s)
            await asyncio.gather(
                *(service.cancel(f"req-{number:06d}", doors[door]) for number in (1, 2, 3))
            )

        def applied(path: str, value: Any) -> None:
            if path == "part/red" and value["owner"] == f"n{new}":
                seen.append("given" if not seen else "claimed")
                after_s = {"given": 0.0, "claimed": 0.05, "read": 0.35}
                if seen[-1] == ("claimed" if moment == "read" else moment):
                    calls.append(spawn(service.net, "users", cancel(after_s[moment])))

        service.store.on_applied = applied
        service.store.extra_delay_s = 0.1
        if moment == "just before":
            calls.append(spawn(service.net, "users", cancel(0.0)))
            await asyncio.sleep(0.06)
        owner = service.controllers[old].owners["red"]
        owner.transfer_to = f"n{new}"
        owner.wake.set()
        while "claimed" not in seen:
            await asyncio.sleep(0.05)
        await asyncio.sleep(3.0)
        service.store.extra_delay_s = 0.0
        await asyncio.gather(*calls)
        assert calls and await owned(service) == new
        await asyncio.sleep(5.0)
        assert {
            await service.poll(f"req-{number:06d}", n) for number in (1, 2, 3) for n in range(3)
        } == {"withdrawn"}
        assert not any(
            service.invariants.placements.get((f"req-{number:06d}", 0)) for number in (1, 2, 3)
        )
        # What was not cancelled has not noticed.
        assert (
            all(service.invariants.placements.get((f"req-{number:06d}", 0)) for number in (4, 5, 6))
            and service.invariants.start_count == 6
        )

    run_scenario(monkeypatch, 81, day)


# -- what the courses do not reach: each line of a proof that could be taken away without any of them failing ---------------


def test_an_old_report_takes_nothing_back() -> None:
    """A copy of one from before, of this session or an earlier one: neither what it holds nor what it lacks says anything."""
    shard = shard_with([spec(shares=1)], "a")
    start_one_task(shard)
    machine = shard.machines["vm-0"]
    task = ("req-000001/0", 1, "running", None)
    shard.reconciler.on_heartbeat(heartbeat("vm-0", 9, [task]), 4.0, True)
    for tally, tenure, tasks in (
        (3, 1, []),
        (90, 0, []),
        (4, 1, [("req-000001/0", 1, "pulling", None)]),
        (9, 1, [("req-000001/0", 1, "ended", "stopped")]),
    ):
        assert (
            shard.reconciler.on_heartbeat(
                heartbeat("vm-0", tally, tasks, incarnation=tenure), 5.0, True
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
    ("tenure", "token", "tasks", "counts"),
    [
        (1, 10, [], True),
        (2, 10, [], True),
        (3, 10, [], True),
        (1, 0, [], True),  # from before: what it lacks says nothing
        (1, 10, [("req-000001/0", 1, "running", None)], True),
        (2, 10, [("req-000001/0", 0, "ended", "done")], True),  # it is stopped then
        (2, 10, [("req-000001/0", 9, "ended", "error")], True),  # of another attempt
        (
            1,
            10,
            [("req-000001/0", 1, "ended", "error")],
            True,
        ),  # of a session before the one noted at the loan: not looked at
        (
            2,
            10,
            [("req-000001/0", 1, "ended", "error")],
            False,
        ),  # that an attempt has ended is true for good
        (2, 50, [], False),
        (2, 50, [("req-000001/0", 1, "pulling", None)], True),  # under our own token
    ],
)
def test_the_first_report_that_a_new_owner_hears(
    tenure: int, token: int, tasks: list[Any], counts: bool
) -> None:
    """Nothing is there to compare it with: of an earlier session, attempt or token, kept back until now, it proves an attempt's end at most."""
    heir = shard_with([], "", revision=50)
    work = [
        ("work/red/req-000001/job", queued_record(spec(shares=1), 0.0), 7),
        ("work/red/req-000001/0", {"a": 1, "p": [[0, "vm-0", 1]]}, 20),
    ]
    heir.load(
        [("vm-0", {"t": "g4", "z": "a", "s": False, "p": "red", "a": "10.1.0.1:9000", "n": 2}, 5)],
        work,
        [],
        5.0,
    )
    heir.preempt(heir.jobs["req-000001"], [0], "test", 5.0)
    heir.reconciler.on_heartbeat(
        heartbeat("vm-0", 9, tasks, fencing_token=token, incarnation=tenure), 6.0, True
    )
    assert (0 in heir.jobs["req-000001"].live) is counts


def test_a_start_is_committed_under_the_jobs_stamp_and_the_claim() -> None:
    """Whoever does not hear of a cancellation can't commit a start after it."""
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


def test_a_claim_under_an_old_stamp_fails(monkeypatch: pytest.MonkeyPatch) -> None:
    async def day(service: Service) -> None:
        await service.submit(job(1))
        n = await owned(service)
        before = service.store.keys["part/red"]
        other = service.controllers[(n + 1) % 3]
        late = ShardOwner(other, other.shared.teams[0], before[1] - 1)
        await asyncio.sleep(1)
        assert late.phase is OwnershipPhase.LOST and service.store.keys["part/red"] == before
        assert await service.until_final(["req-000001"], 60) == []

    run_scenario(monkeypatch, 71, day)


def test_nobody_who_is_behind_gives_an_older_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    """All watches of jobs see nothing: only the one that wrote the outcome knows of it, and the others are asked."""

    async def day(service: Service) -> None:
        await service.submit(job(1, shares=1, expect_s=6.0))
        n = await owned(service)
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


def test_a_cancellation_that_meets_the_outcome_is_one_or_the_other(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The state service is slow, and the job ends between the read and the write of its cancellation."""

    async def day(service: Service) -> None:
        ids = [f"req-{number:06d}" for number in range(1, 13)]
        for number in range(1, 13):
            await service.submit(
                job(number, shares=1, expect_s=8.0, bundle="img", size_gb=0.1, accelerators=0.5)
            )
        while not service.invariants.placements.get((ids[-1], 0)):
            await asyncio.sleep(0.05)
        service.store.extra_delay_s = 0.3

        async def ask() -> None:
            while True:
                for one in ids:
                    spawn(service.net, "users", service.poll(one))
                await asyncio.sleep(0.25)

        async def cancel(one: str, after_s: float) -> Any:
            await asyncio.sleep(after_s)
            return await service.cancel(one)

        spawn(service.net, "users", ask())
        told = await asyncio.gather(*(cancel(one, 2.0 + 0.55 * n) for n, one in enumerate(ids)))
        assert set(told) == {"done", "withdrawn"}
        await asyncio.sleep(6)
        for one, word in zip(ids, told, strict=True):
            assert await service.poll(one) == word

    run_scenario(monkeypatch, 73, day)
