"""User behavior that makes faults worse: immediate requests, cancellations, repeats and mistakes.

The names of the functions are names of faults in `tests/fault_combinations.py`, from which seeded days are
drawn, so renaming a function changes these days.
"""

from __future__ import annotations

import asyncio
import random
from typing import Any

from tests.cluster import Service, job
from tests.fakes import FakeWorker
from tests.virtual_time import spawn

REQUEST_DELAYS_MS = (0, 1, 3, 8, 20, 60)  # after a user was told of a state, at each controller
LONG_JOB_S = 15.0  # jobs with this runtime or more are cancelled while they run
MAX_HANGING_MACHINES = 8  # of the jobs that are cancelled


async def close_looks(service: Service, rng: random.Random, for_s: float) -> None:
    """Ask every controller about each state that a user is told of, several times within 60 ms.

    Three of ten requests repeat the submission instead. One of ten accepted jobs is cancelled.
    """

    async def ask(job_id: str, entry_point: int, delay_ms: int) -> None:
        await asyncio.sleep(delay_ms / 1000)
        await (
            service.repeat(job_id, entry_point)
            if rng.random() < 0.3
            else service.poll(job_id, entry_point)
        )

    def request_at_once(job_id: str, state: str) -> None:
        for entry_point in range(3):
            for delay_ms in REQUEST_DELAYS_MS:
                spawn(service.net, "users", ask(job_id, entry_point, delay_ms))
        if state == "accepted" and rng.random() < 0.1:
            spawn(service.net, "users", service.cancel(job_id, rng.randrange(3)))

    service.on_first_told.append(request_at_once)
    await asyncio.sleep(for_s)
    service.on_first_told.remove(request_at_once)


def running(service: Service) -> list[tuple[str, list[FakeWorker]]]:
    """Return long jobs that run and are not cancelled, with the workers that run them."""
    workers_by_job: dict[str, list[FakeWorker]] = {}
    for (job_id, _), places in service.invariants.placements.items():
        run = service.invariants.jobs[job_id]
        if job_id not in service.invariants.cancel_requested and (
            run["shape"] == "daemon" or run["expect_s"] >= LONG_JOB_S
        ):
            workers_by_job.setdefault(job_id, []).extend(
                service.cloud.workers[place.machine]
                for place in places
                if place.machine in service.cloud.workers
            )
    return sorted(workers_by_job.items())


async def cancel_now(
    service: Service, rng: random.Random, for_s: float, hang: bool = False
) -> None:
    """Cancel up to four running jobs within 0.2 s.

    With `hang`, up to `MAX_HANGING_MACHINES` of their machines hang for `for_s` seconds.
    """
    candidates = running(service)
    chosen = rng.sample(candidates, min(4, len(candidates)))
    machines = {worker.name: worker for _, workers in chosen for worker in workers}
    for name in sorted(machines)[:MAX_HANGING_MACHINES] if hang else ():
        spawn(service.net, "users", machines[name].hang(for_s))

    async def cancel(job_id: str, after_s: float) -> None:
        await asyncio.sleep(after_s)
        await service.cancel(job_id)

    calls = [
        spawn(service.net, "users", cancel(job_id, 0.2 * rng.random())) for job_id, _ in chosen
    ]
    await asyncio.gather(*calls, asyncio.sleep(for_s if hang else 0.2))


async def cancel_and_hang(service: Service, rng: random.Random, for_s: float) -> None:
    """Cancel up to four running jobs while some of their machines hang."""
    await cancel_now(service, rng, for_s, hang=True)


async def cancel_at_end(service: Service, rng: random.Random, for_s: float) -> None:
    """Cancel half of the jobs at the moment they are done, and ask about or repeat them."""

    def request_when_done(job_id: str) -> None:
        if rng.random() < 0.5:
            spawn(service.net, "users", service.cancel(job_id, rng.randrange(3)))
            for entry_point in range(3):
                spawn(
                    service.net,
                    "users",
                    rng.choice((service.poll, service.repeat))(job_id, entry_point),
                )

    service.invariants.on_job_done = request_when_done
    await asyncio.sleep(for_s)
    service.invariants.on_job_done = None


# Changes that make a submission invalid, with the status of the answer; `...` removes a field.
INVALID_CHANGES: list[tuple[int, dict[str, Any]]] = [
    (422, {"owner": "nobody"}),
    (422, {"accelerators": 5.0}),
    (422, {"cpus": 33.0}),
    (422, {"hulls": ["g9"]}),
    (422, {"yard": "z"}),
    (422, {"shape": "ensemble", "shares": 25}),
    (400, {"shares": 0}),
    (400, {"shares": -1}),
    (400, {"cpus": "many"}),
    (400, {"shape": "heap"}),
    (400, {"urgency": None}),
    (400, {"bundle": ...}),
    (400, {"owner": ...}),
    (400, {"shares": ...}),
    (400, {"id": ...}),
]


async def odd_requests(service: Service, rng: random.Random, for_s: float) -> None:
    """Repeat submissions of unfinished jobs, cancel done ones, and submit invalid ones."""
    until = service.now() + for_s
    number = 900_000 + rng.randrange(50_000)
    while service.now() < until:
        await asyncio.sleep(0.3 * rng.random())
        kind = rng.randrange(3)
        done = sorted(
            job_id for job_id, state in service.invariants.final_states.items() if state == "done"
        )
        unfinished = sorted(service.invariants.accepted - service.invariants.final_states.keys())
        if kind == 0 and unfinished:
            spawn(service.net, "users", service.repeat(rng.choice(unfinished), rng.randrange(3)))
        elif kind == 1 and done:
            spawn(service.net, "users", service.cancel(rng.choice(done), rng.randrange(3)))
        else:
            number += 1
            expected, change = rng.choice(INVALID_CHANGES)
            run = {key: value for key, value in (job(number) | change).items() if value is not ...}
            answer = await service.call(
                "POST", "/v2/runs", service.body_of(run), 5.0, rng.randrange(3)
            )
            if answer is not None and answer[0] in (200, 201, 400, 422):
                service.invariants.invalid_submission_answered(
                    f"req-{number:06d}", answer[0], expected
                )


async def one_task_jobs(service: Service, rng: random.Random, for_s: float) -> None:
    """Submit four jobs a second of one short task each; cancel a quarter, up to 2.5 s later."""

    async def submit_one(run: dict[str, Any], cancel_after_s: float | None) -> None:
        if await service.submit(run) not in (200, 201) or cancel_after_s is None:
            return
        await asyncio.sleep(cancel_after_s)
        await service.cancel(run["id"])

    calls, until = [], service.now() + for_s
    number = 100_000 + 1000 * rng.randrange(500)
    while service.now() < until:
        number += 1
        run = job(
            number,
            owner=rng.choice(("red", "blue")),
            shares=1,
            accelerators=0.5,
            expect_s=rng.choice((1.0, 2.0, 4.0)),
            size_gb=0.5,
        )
        calls.append(
            spawn(
                service.net,
                "users",
                submit_one(run, rng.choice((0.0, 0.05, 1.0, 2.5)) if rng.random() < 0.25 else None),
            )
        )
        await asyncio.sleep(rng.expovariate(4.0))
    await asyncio.gather(*calls)


async def more_than_room(service: Service, rng: random.Random, for_s: float) -> None:
    """Submit more work than fits: gangs and arrays of all urgencies, much of it in one zone."""
    number = 700_000 + 1000 * rng.randrange(200)
    zone = rng.choice(("a", "b", "c"))
    runs = [
        job(number, shares=10, yard=zone, expect_s=12.0),
        job(number + 1, owner="blue", shares=6, same_place=True, expect_s=10.0, urgency="high"),
        job(
            number + 2,
            shape="ensemble",
            shares=4,
            accelerators=2.0,
            same_place=True,
            urgency="critical",
            snapshot_s=3.0,
            flush_s=1.0,
        ),
        job(number + 3, owner="blue", shares=8, spread=True, urgency="best_effort"),
        job(number + 4, shape="ensemble", shares=8, urgency="high", yard=zone),
    ]
    await asyncio.gather(*(service.submit(run) for run in runs))
    await asyncio.sleep(for_s)
