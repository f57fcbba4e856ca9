"""The invariant checker finds a violation of each invariant, and none where there is none."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from tests.cluster import job
from tests.invariants import FreeMachine, InvariantChecker, Placement

Events = Callable[[InvariantChecker], None]

PLACEMENT_A, PLACEMENT_B, SPOT_PLACEMENT = (
    Placement("m1", "g4", "a", False, 1),
    Placement("m2", "g4", "b", False, 2),
    Placement("m3", "g4", "a", True, 1),
)
FREE_MACHINE, ONE_ACCELERATOR = (
    FreeMachine(PLACEMENT_A, 4.0, 4.0, 64.0),
    FreeMachine(PLACEMENT_A, 4.0, 1.0, 64.0),
)


def runs_twice(checker: InvariantChecker) -> None:
    checker.task_started("req-000001", 0, PLACEMENT_A, 1)
    checker.task_started("req-000001", 0, PLACEMENT_B, 2)


def over_quota(checker: InvariantChecker) -> None:
    for task in range(3):
        checker.task_started("req-000001", task, PLACEMENT_A, 1)


def in_two_zones(checker: InvariantChecker) -> None:
    checker.task_started("req-000002", 0, PLACEMENT_A, 1)
    checker.task_started("req-000002", 1, PLACEMENT_B, 1)


def not_spread(checker: InvariantChecker) -> None:
    checker.task_started("req-000003", 0, PLACEMENT_A, 1)
    checker.task_started("req-000003", 1, PLACEMENT_A, 1)


def starts_late(checker: InvariantChecker) -> None:
    checker.cancel_requested.add("req-000001")
    checker.answered("req-000001", 200, "withdrawn", now=5)
    checker.task_started("req-000001", 0, PLACEMENT_A, 16)


def runs_late(checker: InvariantChecker) -> None:
    checker.cancel_requested.add("req-000001")
    checker.task_started("req-000001", 0, PLACEMENT_A, 1)
    checker.answered("req-000001", 200, "withdrawn", now=5)
    checker.tick(16)


def no_violation(checker: InvariantChecker) -> None:
    checker.task_started("req-000001", 0, PLACEMENT_A, 1)
    checker.answered("req-000001", 201, "queued", submission=True)
    checker.task_left("req-000001", 0, "m1")
    checker.task_started("req-000001", 0, PLACEMENT_B, 2)
    for task in (0, 1, 2):
        checker.task_left("req-000001", task, "m2", done=True)
    checker.answered("req-000001", 200, "done")


def not_found(checker: InvariantChecker) -> None:
    checker.task_started("req-000001", 0, PLACEMENT_A, 1)
    checker.answered("req-000001", 201, "queued", submission=True)
    checker.answered("req-000001", 404, None)


def status_requests(since: float, answered: bool, until: float) -> Events:
    """Faults end at `since`; a request at 100 is answered or not, one at `until` is not."""

    def apply_events(checker: InvariantChecker) -> None:
        checker.task_started("req-000001", 0, PLACEMENT_A, 1)
        checker.answered("req-000001", 201, "queued", submission=True)
        checker.faults_over_at = since
        checker.queried("req-000001", answered, 100.0)
        checker.queried("req-000001", False, until)

    return apply_events


def stored_records(**records: Any) -> Events:
    def apply_events(checker: InvariantChecker) -> None:
        checker.task_started("req-000001", 0, PLACEMENT_A, 1)
        checker.answered("req-000001", 201, "queued", submission=True)
        checker.check_stored_jobs(
            {
                path.replace("_", "/", 3)
                if path.startswith("work")
                else path.replace("_", "/"): value
                for path, value in records.items()
            }
        )

    return apply_events


def late_answer(at: float, asked: float, status: int, state: str | None = None) -> Events:
    """A job is accepted at 1 and cancelled at 5; a request of `asked` is answered at `at`."""

    def apply_events(checker: InvariantChecker) -> None:
        checker.task_started("req-000001", 0, PLACEMENT_A, 1)
        checker.task_left("req-000001", 0, "m1")
        checker.answered("req-000001", 201, "queued", submission=True, now=1)
        checker.cancel_requested.add("req-000001")
        checker.answered("req-000001", 200, "withdrawn", now=5)
        checker.answered("req-000001", status, state, now=at, asked=asked)

    return apply_events


def waiting_job(
    free_machines: list[FreeMachine], until: float, used_gpus: float = 0.0, **more: Any
) -> Events:
    """Faults end at 10; two tasks of one accelerator each wait beside these free machines."""

    def apply_events(checker: InvariantChecker) -> None:
        checker.task_started("req-000002", 0, PLACEMENT_A, 1)
        checker.submitted(job(6, owner="red", shares=2) | more)
        checker.answered("req-000006", 201, "queued", submission=True, now=5)
        checker.used_gpus["red"] = used_gpus
        checker.free_machines = lambda: free_machines
        for now in (4.0, 10.0, 11.0, until):
            checker.faults_over_at = 10.0 if now >= 10 else None
            checker.tick(now)

    return apply_events


def jobs_starting_at(*started_at: float, **more: Any) -> Events:
    """Jobs accepted at 0 start at these times; the first is the largest, with three tasks."""

    def apply_events(checker: InvariantChecker) -> None:
        for n, at in enumerate(started_at):
            run = (
                job(10 + n, owner="blue", workload="w2", accelerators=0.5, shares=1 if n else 3)
                | more
            )
            checker.submitted(run)
            checker.answered(run["id"], 201, "queued", submission=True, now=0.0)
            for task in range(run["shares"]):
                checker.task_started(run["id"], task, PLACEMENT_A, at)
        checker.end(400.0)

    return apply_events


def transaction(compared: list[str], path: str) -> Events:
    def apply_events(checker: InvariantChecker) -> None:
        checker.task_started("req-000001", 0, PLACEMENT_A, 1)
        checker.transaction_applied(set(compared), [{"set": path, "value": {}}])

    return apply_events


def invalid_submission(status: int, stored: bool = False) -> Events:
    def apply_events(checker: InvariantChecker) -> None:
        checker.task_started("req-000001", 0, PLACEMENT_A, 1)
        checker.invalid_submission_answered("req-900001", status, 422)
        checker.check_stored_jobs({"job/req-900001": QUEUED_JOB} if stored else {})

    return apply_events


QUEUED_JOB, DONE_JOB = {"status": "queued"}, {"status": "done"}

CASES = [
    ("forgotten", status_requests(90.0, False, 170.0)),
    (None, status_requests(90.0, True, 170.0)),
    ("forgotten", status_requests(90.0, True, 176.0)),
    (None, status_requests(120.0, False, 170.0)),
    ("forgotten", stored_records()),
    ("forgotten", stored_records(**{"job_req-000001": QUEUED_JOB})),
    (None, stored_records(**{"job_req-000001": DONE_JOB})),
    (None, stored_records(**{"job_req-000001": QUEUED_JOB, "work_red_req-000001_job": QUEUED_JOB})),
    ("ran_twice", runs_twice),
    ("quota", over_quota),
    ("wrong_place", in_two_zones),
    ("wrong_place", not_spread),
    ("wrong_place", lambda checker: checker.task_started("req-000002", 0, SPOT_PLACEMENT, 1)),
    ("wrong_place", lambda checker: checker.task_started("req-000004", 0, PLACEMENT_A, 1)),
    ("wrong_place", lambda checker: checker.task_started("req-000005", 0, PLACEMENT_A, 1)),
    ("ran_cancelled", starts_late),
    ("ran_cancelled", runs_late),
    ("forgotten", not_found),
    ("invented", lambda checker: checker.answered("req-999999", 200, "queued")),
    ("not_done", lambda checker: checker.answered("req-000001", 200, "done")),
    ("went_back", lambda checker: checker.answered("req-000001", 200, "withdrawn")),
    ("nothing_ran", lambda checker: None),
    (None, no_violation),
    # An answer must not be older than what a user was told before sending the request. If the
    # request was sent earlier, it may be.
    ("went_back", late_answer(6, 5.5, 200, "queued")),
    (None, late_answer(6, 4.9, 200, "queued")),
    ("went_back", late_answer(6, 4.9, 200, "done")),
    ("forgotten", late_answer(6, 5.5, 404)),
    ("forgotten", late_answer(6, 1.0, 404)),
    (None, late_answer(6, 0.9, 404)),
    (None, late_answer(6, 5.5, 503)),
    ("went_back", late_answer(6, 5.5, 200, "running")),
    # Submissions that cannot run.
    ("took_bad", invalid_submission(201)),
    ("took_bad", invalid_submission(200)),
    ("took_bad", invalid_submission(400)),
    ("took_bad", invalid_submission(422, stored=True)),
    (None, invalid_submission(422)),
    # Jobs that wait beside free resources.
    ("idle", waiting_job([FREE_MACHINE], 101.0)),
    (None, waiting_job([FREE_MACHINE], 99.0)),
    (None, waiting_job([FREE_MACHINE], 101.0, used_gpus=2.0)),
    ("idle", waiting_job([FREE_MACHINE], 101.0, used_gpus=1.0)),
    (None, waiting_job([FREE_MACHINE._replace(cpus=0.5)], 101.0)),
    (None, waiting_job([FREE_MACHINE._replace(accelerators=0.0)], 101.0)),
    (None, waiting_job([FREE_MACHINE], 101.0, yard="b")),
    (None, waiting_job([FREE_MACHINE], 101.0, hulls=["g8"])),
    (None, waiting_job([FREE_MACHINE._replace(place=SPOT_PLACEMENT)], 101.0)),
    ("idle", waiting_job([FREE_MACHINE._replace(place=SPOT_PLACEMENT)], 101.0, loaners=True)),
    ("idle", waiting_job([FREE_MACHINE], 101.0, shape="ensemble")),
    (None, waiting_job([FREE_MACHINE], 101.0, shape="ensemble", used_gpus=1.0)),
    (
        None,
        waiting_job(
            [ONE_ACCELERATOR, ONE_ACCELERATOR._replace(place=PLACEMENT_B)],
            101.0,
            shape="ensemble",
            same_place=True,
        ),
    ),
    (
        "idle",
        waiting_job(
            [ONE_ACCELERATOR, ONE_ACCELERATOR._replace(place=PLACEMENT_B)], 101.0, shape="ensemble"
        ),
    ),
    (None, waiting_job([FREE_MACHINE], 101.0, shape="ensemble", spread=True)),
    (
        "idle",
        waiting_job(
            [FREE_MACHINE, FREE_MACHINE._replace(place=PLACEMENT_B)],
            101.0,
            shape="ensemble",
            spread=True,
        ),
    ),
    (None, waiting_job([FREE_MACHINE], 101.0, awaits=["req-000001"])),
    (None, waiting_job([], 101.0)),
    # Revisions that a transaction compares.
    ("unfenced", transaction([], "job/req-1")),
    (None, transaction(["job/req-1"], "job/req-1")),
    (None, transaction([], "catalog")),
    ("unfenced", transaction([], "member/n1")),
    ("unfenced", transaction(["work/red/req-1/0", "job/req-1"], "work/red/req-1/0")),
    ("unfenced", transaction(["work/red/req-1/0", "part/red"], "work/red/req-1/0")),
    ("unfenced", transaction(["part/red", "job/req-1"], "work/red/req-1/0")),
    (None, transaction(["work/red/req-1/0", "part/red", "job/req-1"], "work/red/req-1/0")),
    ("unfenced", transaction([], "work/red/req-1/job")),
    (None, transaction(["job/req-1"], "work/red/req-1/job")),
    (None, transaction(["work/red/req-1/job"], "work/red/req-1/job")),
    ("unfenced", transaction(["park/red/0"], "park/red/0")),
    (None, transaction(["park/red/0", "part/red"], "park/red/0")),
    ("unfenced", transaction(["part/red"], "park/red/0")),
    ("unfenced", transaction(["charter/a"], "charter/a")),
    (None, transaction(["charter/a", "leader"], "charter/a")),
    ("unfenced", transaction(["machine/a"], "machine/a")),
    ("unfenced", transaction(["leader"], "machine/a")),
    (None, transaction(["machine/a", "leader"], "machine/a")),
    (None, transaction(["machine/a", "part/red"], "machine/a")),
    # Less than half of a class, a team or the largest jobs of a class starts within four minutes.
    (None, jobs_starting_at(200.0, 10.0, 20.0)),
    ("unserved", jobs_starting_at(250.0, 10.0, 20.0)),
    ("unserved", jobs_starting_at(10.0, 250.0, 250.0)),
    (None, jobs_starting_at(10.0, 250.0)),
]


@pytest.mark.parametrize(
    ("invariant", "apply_events"),
    CASES,
    ids=[str(invariant) + str(n) for n, (invariant, _) in enumerate(CASES)],
)
def test_violations_are_found(invariant: str | None, apply_events: Events) -> None:
    checker = InvariantChecker(10.0, {"red": 2.0, "blue": 100.0})
    checker.submitted(job(1, shares=3))
    checker.submitted(job(2, owner="blue", shares=2, same_place=True))
    checker.submitted(job(3, owner="blue", shares=2, spread=True))
    checker.submitted(job(4, owner="blue", hulls=["g8"]))
    checker.submitted(job(5, owner="blue", yard="b"))
    apply_events(checker)
    checker.end()
    violated = {name for name, _ in checker.violations}
    if invariant is None:
        assert violated == set()
    else:
        assert invariant in violated


def test_starts_after_a_confirmed_cancellation_are_counted() -> None:
    checker = InvariantChecker(10.0, {"red": 4.0})
    checker.submitted(job(1, shares=3))
    checker.cancel_requested.add("req-000001")
    checker.task_started("req-000001", 0, PLACEMENT_A, 1)
    checker.answered("req-000001", 200, "withdrawn", now=5)
    checker.task_started("req-000001", 1, PLACEMENT_A, 6)
    checker.task_started("req-000001", 2, PLACEMENT_A, 15.5)
    assert checker.starts_after_cancellation == [("req-000001", 1), ("req-000001", 10.5)] and {
        invariant for invariant, _ in checker.violations
    } == {"ran_cancelled"}
