"""The checker itself: a planted violation of each rule is caught, and a clean day is not."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from tests.cluster import job
from tests.invariants import FreeMachine, InvariantChecker, Placement

Act = Callable[[InvariantChecker], None]

A, B, SPOT = (
    Placement("m1", "g4", "a", False, 1),
    Placement("m2", "g4", "b", False, 2),
    Placement("m3", "g4", "a", True, 1),
)
FREE, ONE = FreeMachine(A, 4.0, 4.0, 64.0), FreeMachine(A, 4.0, 1.0, 64.0)


def twice(checker: InvariantChecker) -> None:
    checker.task_started("req-000001", 0, A, 1)
    checker.task_started("req-000001", 0, B, 2)


def over_quota(checker: InvariantChecker) -> None:
    for task in range(3):
        checker.task_started("req-000001", task, A, 1)


def together(checker: InvariantChecker) -> None:
    checker.task_started("req-000002", 0, A, 1)
    checker.task_started("req-000002", 1, B, 1)


def spread(checker: InvariantChecker) -> None:
    checker.task_started("req-000003", 0, A, 1)
    checker.task_started("req-000003", 1, A, 1)


def after_cancel(checker: InvariantChecker) -> None:
    checker.cancel_requested.add("req-000001")
    checker.answered("req-000001", 200, "withdrawn", now=5)
    checker.task_started("req-000001", 0, A, 16)


def still_there(checker: InvariantChecker) -> None:
    checker.cancel_requested.add("req-000001")
    checker.task_started("req-000001", 0, A, 1)
    checker.answered("req-000001", 200, "withdrawn", now=5)
    checker.tick(16)


def clean(checker: InvariantChecker) -> None:
    checker.task_started("req-000001", 0, A, 1)
    checker.answered("req-000001", 201, "queued", submission=True)
    checker.task_left("req-000001", 0, "m1")
    checker.task_started("req-000001", 0, B, 2)
    for task in (0, 1, 2):
        checker.task_left("req-000001", task, "m2", done=True)
    checker.answered("req-000001", 200, "done")


def forgotten(checker: InvariantChecker) -> None:
    checker.task_started("req-000001", 0, A, 1)
    checker.answered("req-000001", 201, "queued", submission=True)
    checker.answered("req-000001", 404, None)


def unanswered(since: float, answered: bool, until: float) -> Act:
    """All is calm from `since` on; one question is answered at 100 or not, then none is to `until`."""

    def act(checker: InvariantChecker) -> None:
        checker.task_started("req-000001", 0, A, 1)
        checker.answered("req-000001", 201, "queued", submission=True)
        checker.faults_over_at = since
        checker.queried("req-000001", answered, 100.0)
        checker.queried("req-000001", False, until)

    return act


def stored(**keys: Any) -> Act:
    def act(checker: InvariantChecker) -> None:
        checker.task_started("req-000001", 0, A, 1)
        checker.answered("req-000001", 201, "queued", submission=True)
        checker.check_stored_jobs(
            {
                path.replace("_", "/", 3)
                if path.startswith("work")
                else path.replace("_", "/"): value
                for path, value in keys.items()
            }
        )

    return act


def looked(at: float, asked: float, status: int, state: str | None = None) -> Act:
    """A user is told that it is accepted at 1, and at 5 that it is withdrawn; another answer, to what was asked then, comes at `at`."""

    def act(checker: InvariantChecker) -> None:
        checker.task_started("req-000001", 0, A, 1)
        checker.task_left("req-000001", 0, "m1")
        checker.answered("req-000001", 201, "queued", submission=True, now=1)
        checker.cancel_requested.add("req-000001")
        checker.answered("req-000001", 200, "withdrawn", now=5)
        checker.answered("req-000001", status, state, now=at, asked=asked)

    return act


def waits(beside: list[FreeMachine], until: float, used: float = 0.0, **more: Any) -> Act:
    """From 10 on all is calm, and a job of two tasks of one accelerator each waits beside that room."""

    def act(checker: InvariantChecker) -> None:
        checker.task_started("req-000002", 0, A, 1)
        checker.submitted(job(6, owner="red", shares=2) | more)
        checker.answered("req-000006", 201, "queued", submission=True, now=5)
        checker.used_gpus["red"] = used
        checker.free_machines = lambda: beside
        for now in (4.0, 10.0, 11.0, until):
            checker.faults_over_at = 10.0 if now >= 10 else None
            checker.tick(now)

    return act


def begins(*began: float, **more: Any) -> Act:
    """Jobs accepted at 0 that begin then; the one of three tasks (the largest) first."""

    def act(checker: InvariantChecker) -> None:
        for n, at in enumerate(began):
            run = (
                job(10 + n, owner="blue", workload="w2", accelerators=0.5, shares=1 if n else 3)
                | more
            )
            checker.submitted(run)
            checker.answered(run["id"], 201, "queued", submission=True, now=0.0)
            for task in range(run["shares"]):
                checker.task_started(run["id"], task, A, at)
        checker.end(400.0)

    return act


def txn(when: list[str], path: str) -> Act:
    def act(checker: InvariantChecker) -> None:
        checker.task_started("req-000001", 0, A, 1)
        checker.transaction_applied(set(when), [{"set": path, "value": {}}])

    return act


def bad(status: int, stored: bool = False) -> Act:
    def act(checker: InvariantChecker) -> None:
        checker.task_started("req-000001", 0, A, 1)
        checker.invalid_submission_answered("req-900001", status, 422)
        checker.check_stored_jobs({"job/req-900001": QUEUED} if stored else {})

    return act


QUEUED, OVER = {"status": "queued"}, {"status": "done"}

PLANTED = [
    ("forgotten", unanswered(90.0, False, 170.0)),
    (None, unanswered(90.0, True, 170.0)),
    ("forgotten", unanswered(90.0, True, 176.0)),
    (None, unanswered(120.0, False, 170.0)),
    ("forgotten", stored()),
    ("forgotten", stored(**{"job_req-000001": QUEUED})),
    (None, stored(**{"job_req-000001": OVER})),
    (None, stored(**{"job_req-000001": QUEUED, "work_red_req-000001_job": QUEUED})),
    ("ran_twice", twice),
    ("quota", over_quota),
    ("wrong_place", together),
    ("wrong_place", spread),
    ("wrong_place", lambda checker: checker.task_started("req-000002", 0, SPOT, 1)),
    ("wrong_place", lambda checker: checker.task_started("req-000004", 0, A, 1)),
    ("wrong_place", lambda checker: checker.task_started("req-000005", 0, A, 1)),
    ("ran_cancelled", after_cancel),
    ("ran_cancelled", still_there),
    ("forgotten", forgotten),
    ("invented", lambda checker: checker.answered("req-999999", 200, "queued")),
    ("not_done", lambda checker: checker.answered("req-000001", 200, "done")),
    ("went_back", lambda checker: checker.answered("req-000001", 200, "withdrawn")),
    ("nothing_ran", lambda checker: None),
    (None, clean),
    # Close looks: an older answer to what was asked after a user was told something newer; one that was on its way is none.
    ("went_back", looked(6, 5.5, 200, "queued")),
    (None, looked(6, 4.9, 200, "queued")),
    ("went_back", looked(6, 4.9, 200, "done")),
    ("forgotten", looked(6, 5.5, 404)),
    ("forgotten", looked(6, 1.0, 404)),
    (None, looked(6, 0.9, 404)),
    (None, looked(6, 5.5, 503)),
    ("went_back", looked(6, 5.5, 200, "running")),
    # Submissions that can't run.
    ("took_bad", bad(201)),
    ("took_bad", bad(200)),
    ("took_bad", bad(400)),
    ("took_bad", bad(422, stored=True)),
    (None, bad(422)),
    # What waits beside room that fits.
    ("idle", waits([FREE], 101.0)),
    (None, waits([FREE], 99.0)),
    (None, waits([FREE], 101.0, used=2.0)),
    ("idle", waits([FREE], 101.0, used=1.0)),
    (None, waits([FREE._replace(cpus=0.5)], 101.0)),
    (None, waits([FREE._replace(accelerators=0.0)], 101.0)),
    (None, waits([FREE], 101.0, yard="b")),
    (None, waits([FREE], 101.0, hulls=["g8"])),
    (None, waits([FREE._replace(place=SPOT)], 101.0)),
    ("idle", waits([FREE._replace(place=SPOT)], 101.0, loaners=True)),
    ("idle", waits([FREE], 101.0, shape="ensemble")),
    (None, waits([FREE], 101.0, shape="ensemble", used=1.0)),
    (None, waits([ONE, ONE._replace(place=B)], 101.0, shape="ensemble", same_place=True)),
    ("idle", waits([ONE, ONE._replace(place=B)], 101.0, shape="ensemble")),
    (None, waits([FREE], 101.0, shape="ensemble", spread=True)),
    ("idle", waits([FREE, FREE._replace(place=B)], 101.0, shape="ensemble", spread=True)),
    (None, waits([FREE], 101.0, awaits=["req-000001"])),
    (None, waits([], 101.0)),
    # What a transaction names.
    ("unfenced", txn([], "job/req-1")),
    (None, txn(["job/req-1"], "job/req-1")),
    (None, txn([], "catalog")),
    ("unfenced", txn([], "member/n1")),
    ("unfenced", txn(["work/red/req-1/0", "job/req-1"], "work/red/req-1/0")),
    ("unfenced", txn(["work/red/req-1/0", "part/red"], "work/red/req-1/0")),
    ("unfenced", txn(["part/red", "job/req-1"], "work/red/req-1/0")),
    (None, txn(["work/red/req-1/0", "part/red", "job/req-1"], "work/red/req-1/0")),
    ("unfenced", txn([], "work/red/req-1/job")),
    (None, txn(["job/req-1"], "work/red/req-1/job")),
    (None, txn(["work/red/req-1/job"], "work/red/req-1/job")),
    ("unfenced", txn(["park/red/0"], "park/red/0")),
    (None, txn(["park/red/0", "part/red"], "park/red/0")),
    ("unfenced", txn(["part/red"], "park/red/0")),
    ("unfenced", txn(["charter/a"], "charter/a")),
    (None, txn(["charter/a", "leader"], "charter/a")),
    ("unfenced", txn(["machine/a"], "machine/a")),
    ("unfenced", txn(["leader"], "machine/a")),
    (None, txn(["machine/a", "leader"], "machine/a")),
    (None, txn(["machine/a", "part/red"], "machine/a")),
    # Less than half of a class, a team or a class's largest jobs begins within four minutes.
    (None, begins(200.0, 10.0, 20.0)),
    ("unserved", begins(250.0, 10.0, 20.0)),
    ("unserved", begins(10.0, 250.0, 250.0)),
    (None, begins(10.0, 250.0)),
]


@pytest.mark.parametrize(
    ("rule", "act"), PLANTED, ids=[str(rule) + str(n) for n, (rule, _) in enumerate(PLANTED)]
)
def test_planted(rule: str | None, act: Act) -> None:
    checker = InvariantChecker(10.0, {"red": 2.0, "blue": 100.0})
    checker.submitted(job(1, shares=3))
    checker.submitted(job(2, owner="blue", shares=2, same_place=True))
    checker.submitted(job(3, owner="blue", shares=2, spread=True))
    checker.submitted(job(4, owner="blue", hulls=["g8"]))
    checker.submitted(job(5, owner="blue", yard="b"))
    act(checker)
    checker.end()
    violated = {name for name, _ in checker.violations}
    if rule is None:
        assert violated == set()
    else:
        assert rule in violated


def test_starts_after_a_confirmed_cancellation_are_counted() -> None:
    checker = InvariantChecker(10.0, {"red": 4.0})
    checker.submitted(job(1, shares=3))
    checker.cancel_requested.add("req-000001")
    checker.task_started("req-000001", 0, A, 1)
    checker.answered("req-000001", 200, "withdrawn", now=5)
    checker.task_started("req-000001", 1, A, 6)
    checker.task_started("req-000001", 2, A, 15.5)
    assert checker.starts_after_cancellation == [("req-000001", 1), ("req-000001", 10.5)] and {
        rule for rule, _ in checker.violations
    } == {"ran_cancelled"}
