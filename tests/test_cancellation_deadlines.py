"""Jobs that need a cancelled job are cancelled in time while the owner has too much to write."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any

import pytest

from ashdock.admission.control import Admission, Resource
from ashdock.core.job import JobPhase
from ashdock.core.promised_writes import PromisedWrites
from ashdock.core.shard import Shard
from ashdock.due_writes import DueWrites
from ashdock.net.rate_limiter import RateLimiter
from tests import test_cluster, virtual_time
from tests.cluster import Service, job, shared
from tests.test_core import queued_record, shard_with, spec
from tests.virtual_time import spawn

WRITE_RPS = 30.0  # puts and deletes that the store accepts per second
BACKLOG_S = 25.0  # for which more is submitted than can be written before anything is cancelled
SUBMITTERS = 12
PIPELINES = 8
LARGE_CASCADES = 20  # pipelines whose outcomes take all writes of the owner for half of `cancel_s`
FIRST_FILLER = 100_000  # number of the first job that only causes writes
OWNER_TEAM = "red"

Fault = Callable[[Service], Awaitable[None]]


def small_job(number: int, **more: Any) -> dict[str, Any]:
    """A job of one task that fits on any machine beside many others."""
    return job(number, shares=1, cpus=0.05, accelerators=0.0, ram_gb=0.05, **more)


async def submit_without_end(service: Service, numbers: itertools.count[int]) -> None:
    """Submit short jobs one after another, so that their starts and ends have to be written."""
    while True:
        await service.submit(small_job(next(numbers), owner=OWNER_TEAM, expect_s=2.0))


def pipeline(first: int, teams: list[str]) -> list[dict[str, Any]]:
    """A job that runs for long, and jobs that need one another, one of each team."""
    runs = [small_job(first, owner=OWNER_TEAM, expect_s=600.0, spans={0: 600.0})]
    for number, team in enumerate(teams, first + 1):
        runs.append(small_job(number, owner=team, awaits=[runs[-1]["id"]]))
    return runs


def owner_of(service: Service, team: str) -> int:
    """Return the number of the controller that owns a team's shard."""
    return next(n for n, controller in service.controllers.items() if team in controller.owners)


async def no_fault(service: Service) -> None:
    """Nothing happens."""


async def owner_replaced(service: Service) -> None:
    """The owner crashes while outcomes wait, and stays away until another one took over."""
    await asyncio.sleep(1)
    service.crash(owner_of(service, OWNER_TEAM), 8.0)


async def store_slow(service: Service) -> None:
    """Each request takes a second for a third of the time that a cancellation has."""
    service.store.extra_delay_s = 1.0
    await asyncio.sleep(7)
    service.store.extra_delay_s = 0.0


async def store_refuses(service: Service) -> None:
    """The store accepts a third of the writes for a third of the time that a cancellation has."""
    service.store.write_rps = WRITE_RPS / 3
    await asyncio.sleep(7)
    service.store.write_rps = WRITE_RPS


async def cancelled_again(service: Service) -> None:
    """Users cancel the first jobs once more, and the ones after them, while outcomes wait."""
    for number in range(1, PIPELINES + 1):
        for job_id in (f"req-{10 * number:06d}", f"req-{10 * number + 1:06d}"):
            if await service.cancel(job_id) != "withdrawn":
                service.invariants.violations.append(("cancelled_again", job_id))


async def check_cancelled_in_time(
    service: Service, fault: Fault, teams: list[str], submitted: str, number: int = PIPELINES
) -> None:
    """Cancel pipelines of a saturated owner, and check when the jobs after the first end.

    Args:
        service: The cluster.
        fault: What happens right after the cancellations.
        teams: Team of each job after the first one.
        submitted: Whether the jobs after the first one are submitted "after", "during" or "before"
            the cancellation, as seen from them: they wait, race or come too late.
        number: How many pipelines are cancelled at once.
    """
    numbers = itertools.count(FIRST_FILLER)
    for _ in range(SUBMITTERS):
        spawn(service.net, "users", submit_without_end(service, numbers))
    pipelines = [pipeline(10 * n, teams) for n in range(1, number + 1)]

    async def submit_in_order(runs: list[dict[str, Any]]) -> None:
        for run in runs:
            assert await service.submit(run) in (200, 201)

    split = len(teams) + 1 if submitted == "after" else 1
    await asyncio.gather(*(submit_in_order(runs[:split]) for runs in pipelines))
    await asyncio.sleep(BACKLOG_S)
    cancellations = [service.cancel(runs[0]["id"]) for runs in pipelines]
    submissions = [submit_in_order(runs[split:]) for runs in pipelines]
    if submitted == "during":
        await asyncio.gather(*cancellations, *submissions)
    else:
        await asyncio.gather(*cancellations)
        await asyncio.gather(*submissions)
    spawn(service.net, "users", fault(service))
    dependents = [run["id"] for runs in pipelines for run in runs[1:]]
    # The invariants report each one that is still queued after that time.
    late = await service.until_final(dependents, shared().workers.cancel_s + 5)
    assert late == []
    assert {service.invariants.final_states[name] for name in dependents} == {"withdrawn"}


THREE_LEVELS = [OWNER_TEAM] * 3
CASES = {
    "accepted_before_the_cancellation": (no_fault, THREE_LEVELS, "after"),
    "accepted_during_the_cancellation": (no_fault, THREE_LEVELS, "during"),
    "accepted_after_the_cancellation": (no_fault, THREE_LEVELS, "before"),
    "dependencies_in_another_shard": (no_fault, ["blue", OWNER_TEAM, "blue"], "after"),
    "owner_replaced_while_outcomes_wait": (owner_replaced, THREE_LEVELS, "after"),
    "store_slow": (store_slow, THREE_LEVELS, "after"),
    "store_refuses_most_writes": (store_refuses, THREE_LEVELS, "after"),
    "cancelled_again_while_outcomes_wait": (cancelled_again, THREE_LEVELS, "after"),
}


@pytest.mark.parametrize("case", CASES)
def test_jobs_cancelled_with_a_dependency_do_not_wait_behind_other_writes(
    case: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    fault, teams, submitted = CASES[case]

    async def scenario(service: Service) -> None:
        await check_cancelled_in_time(service, fault, teams, submitted)

    test_cluster.run_scenario(monkeypatch, 54, scenario, settle=4.0, write_rps=WRITE_RPS)


@pytest.mark.parametrize("case", CASES)
def test_submissions_make_way_for_more_cancellations_than_the_store_takes_beside_them(
    case: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    fault, teams, submitted = CASES[case]

    async def scenario(service: Service) -> None:
        await check_cancelled_in_time(service, fault, teams, submitted, LARGE_CASCADES)
        assert any(
            controller.admission.refused["submission", Resource.WRITES]
            for controller in service.controllers.values()
        )

    test_cluster.run_scenario(monkeypatch, 54, scenario, settle=4.0, write_rps=WRITE_RPS)


# -- order of writes of one shard ----------------------------------------------------------------


def saturated_shard(cancelled_at: list[float]) -> Shard:
    """A shard with 40 unwritten placements, and then a job cancelled with another at each time."""
    shard = shard_with([spec(number, shares=1) for number in range(1, 41)], machines="a")
    for placed in list(shard.jobs.values()):
        shard.place(placed, 0, shard.machines["vm-0"], 1, 0.0)
    for number, at in enumerate(cancelled_at):
        dependency = f"req-{900 + number:06d}"
        shard.add_job(queued_record(spec(100 + number, awaits=[dependency]), 0.0), 8)
        shard.dependency_tracker.settled(dependency, "withdrawn", at, 5.0)
    shard.current_time = 5.0
    return shard


def job_ids(writes: dict[str, Any], root: str) -> list[str]:
    """The jobs that a transaction writes under `job/` or `work/`, without repetition."""
    place = 1 if root == "job" else 2
    return list(dict.fromkeys(path.split("/")[place] for path in writes if path.startswith(root)))


@pytest.mark.parametrize("writes_per_s", [4.0, 9.0, 18.0])
def test_the_earliest_cancellation_is_written_first_and_other_changes_get_their_share(
    writes_per_s: float,
) -> None:
    cancelled_at = [4.0, 1.0, 3.0, 0.5, 2.0, 4.5, 0.25, 1.5, 2.5, 3.5]
    shard = saturated_shard(cancelled_at)
    written: list[str] = []
    while any(job.phase is JobPhase.ORPHANED for job in shard.jobs.values()):
        transaction = shard.writer.next_transaction(scarce=True, writes_per_s=writes_per_s)
        assert transaction is not None and len(transaction.writes) <= int(writes_per_s)
        outcomes = job_ids(transaction.writes, "job")
        placements = len(transaction.writes) - 2 * len(outcomes)
        assert outcomes and placements >= int(writes_per_s) // 4
        written += outcomes
        for callback in transaction.on_commit:
            callback(20)
    earliest_first = sorted(range(len(cancelled_at)), key=lambda number: cancelled_at[number])
    assert written == [f"req-{100 + number:06d}" for number in earliest_first]


def test_the_deadline_counts_from_the_users_cancellation_in_each_shard_and_owner() -> None:
    shard = saturated_shard([1.0])
    # Accepted while the outcome of the job that it needs waits to be written.
    shard.add_job(queued_record(spec(200, awaits=["req-000100"]), 0.5), 9)
    shard.add_job(queued_record(spec(201, awaits=["req-000100"]), 4.0), 9)
    shard.tick(6.0)
    records = [shard.jobs[f"req-{number:06d}"].record() for number in (100, 200, 201)]
    assert [record["status"] for record in records] == ["withdrawn"] * 3
    assert [record["cancelled_at"] for record in records] == [1.0, 1.0, 4.0]
    # The owner of another shard, or a new owner of this one, learns of it by the record.
    other = shard_with([spec(300, awaits=["req-000100"])], team="blue")
    other.dependency_tracker.settled("req-000100", "withdrawn", records[0]["cancelled_at"], 15.0)
    assert other.jobs["req-000300"].cancelled_at == 1.0


# Outcomes, seconds since the first cancellation, writes per second, and whether they need a user's
# priority and all writes, of a `cancel_s` of 20 s.
PROMISED_WRITES = [
    (0, 0.0, 0.1, False, False),
    (2, 0.0, 8.0, False, False),
    (2, 4.5, 8.0, True, False),  # 4 writes at an eighth of the rate take 4 s
    (5, 0.0, 8.0, True, False),
    (20, 0.0, 8.0, True, False),  # 40 writes at half of the rate take 10 s
    (21, 0.0, 8.0, True, True),
    (1, 10.0, 8.0, True, True),
]


@pytest.mark.parametrize(("outcomes", "oldest_s", "rate", "as_user", "all_writes"), PROMISED_WRITES)
def test_priority_of_outcomes_by_the_time_that_is_left(
    outcomes: int, oldest_s: float, rate: float, as_user: bool, all_writes: bool
) -> None:
    promised = PromisedWrites(2 * outcomes, oldest_s)
    assert promised.need_user_priority(rate, 20.0) is as_user
    assert promised.need_all_writes(rate, 20.0) is all_writes
    shard = saturated_shard([1.0] * outcomes)
    shard.current_time = 1.0 + oldest_s
    transaction = shard.writer.next_transaction(writes_per_s=rate)
    assert transaction is not None and transaction.overdue is as_user


@pytest.mark.parametrize(("outcomes", "retry_after"), [(0, None), (5, None), (21, 10), (2000, 10)])
def test_submissions_are_refused_while_outcomes_would_be_late(
    outcomes: int, retry_after: int | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main(_: virtual_time.Network) -> None:
        shard = saturated_shard([5.0] * outcomes)
        shard.tick(5.0)
        limiter, admission = RateLimiter(8.0), Admission(shared(), 2)
        owners: Any = SimpleNamespace(active_shards=lambda: [shard])
        due_writes = DueWrites(
            owners=owners, write_limiter=limiter, admission=admission, cancel_s=20.0
        )
        due_writes.update()
        assert limiter.demand == 4.0 * 2 * outcomes  # a user's request weighs 4
        refusal = admission.admit_submission(0.0, 10.0, "blue")
        assert (refusal and (refusal.status, refusal.retry_after)) == (
            retry_after and (429, retry_after)
        )
        shard.writer.changed_jobs.clear()
        shard.tick(6.0)
        due_writes.update()
        assert limiter.demand == 0.0 and admission.admit_submission(0.0, 10.0, "blue") is None

    virtual_time.run(main, 1, monkeypatch)


def test_an_outcome_beside_changed_machines_keeps_to_the_writes_of_a_transaction() -> None:
    shard = shard_with(
        [spec(1, shares=400, cpus=0.01, accelerators=0.0, ram_gb=0.01)], machines="a"
    )
    done = shard.jobs["req-000001"]
    for task in range(400):
        shard.finish(done, task, 1.0)
    for chunk in done.chunks.values():
        chunk.revision = 9
    assert len(done.chunks) > 4
    shard.decommission(shard.machines["vm-0"], "silent")
    transaction = shard.writer.next_transaction(writes_per_s=4.0)
    assert transaction is not None and done.job_path in transaction.writes
    assert len(transaction.writes) <= 4
