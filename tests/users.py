"""What users do that meets a trouble: they look closely, cancel at once or at a job's end, repeat themselves and make mistakes."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from tests.cluster import Service, job
from tests.fakes import FakeWorker
from tests.virtual_time import spawn

LOOKS_MS = (0, 1, 3, 8, 20, 60)  # after what a user was told, at each controller
LONG_S = 15.0  # a job that has so much to run has long to go
HANGS = 8  # machines of what is called off, at most


async def close_looks(service: Service, rng: random.Random, for_s: float) -> None:
    """Whatever a user is told, all controllers are asked about again and again within milliseconds, the submission is repeated there, and
    some jobs are called off at once."""

    async def look(job_id: str, entry_point: int, ms: int) -> None:
        await asyncio.sleep(ms / 1000)
        await (
            service.repeat(job_id, entry_point)
            if rng.random() < 0.3
            else service.poll(job_id, entry_point)
        )

    def heard(job_id: str, word: str) -> None:
        for entry_point in range(3):
            for ms in LOOKS_MS:
                spawn(service.net, "users", look(job_id, entry_point, ms))
        if word == "accepted" and rng.random() < 0.1:
            spawn(service.net, "users", service.cancel(job_id, rng.randrange(3)))

    service.on_first_told.append(heard)
    await asyncio.sleep(for_s)
    service.on_first_told.remove(heard)


def running(service: Service) -> list[tuple[str, list[FakeWorker]]]:
    """Jobs that run, have long to go and were not called off, with their machines."""
    out: dict[str, list[FakeWorker]] = {}
    for (job_id, _), places in service.invariants.placements.items():
        run = service.invariants.jobs[job_id]
        if job_id not in service.invariants.cancel_requested and (
            run["shape"] == "daemon" or run["expect_s"] >= LONG_S
        ):
            out.setdefault(job_id, []).extend(
                service.cloud.workers[place.machine]
                for place in places
                if place.machine in service.cloud.workers
            )
    return sorted(out.items())


async def cancel_now(
    service: Service, rng: random.Random, for_s: float, hang: bool = False
) -> None:
    """Up to four jobs that run are called off within a fifth of a second; some of their machines hang for so long."""
    found = running(service)
    chosen = rng.sample(found, min(4, len(found)))
    machines = {worker.name: worker for _, workers in chosen for worker in workers}
    for name in sorted(machines)[:HANGS] if hang else ():
        spawn(service.net, "users", machines[name].hang(for_s))

    async def cancel(job_id: str, after_s: float) -> None:
        await asyncio.sleep(after_s)
        await service.cancel(job_id)

    calls = [
        spawn(service.net, "users", cancel(job_id, 0.2 * rng.random())) for job_id, _ in chosen
    ]
    await asyncio.gather(*calls, asyncio.sleep(for_s if hang else 0.2))


async def cancel_and_hang(service: Service, rng: random.Random, for_s: float) -> None:
    await cancel_now(service, rng, for_s, hang=True)


async def cancel_at_end(service: Service, rng: random.Random, for_s: float) -> None:
    """Half of the jobs that end are called off at that moment, asked about, or submitted once more."""

    def ended(job_id: str) -> None:
        if rng.random() < 0.5:
            spawn(service.net, "users", service.cancel(job_id, rng.randrange(3)))
            for entry_point in range(3):
                spawn(
                    service.net,
                    "users",
                    rng.choice((service.poll, service.repeat))(job_id, entry_point),
                )

    service.invariants.on_job_done = ended
    await asyncio.sleep(for_s)
    service.invariants.on_job_done = None


BAD: list[tuple[int, dict[str, Any]]] = [  # the status that a submission with this gets
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
    """Repeats of what is not over, cancellations of what is done, and what can't run or lacks a field."""
    until = service.now() + for_s
    number = 900_000 + rng.randrange(50_000)
    while service.now() < until:
        await asyncio.sleep(0.3 * rng.random())
        odd = rng.randrange(3)
        done = sorted(
            job_id for job_id, word in service.invariants.final_states.items() if word == "done"
        )
        unfinished = sorted(service.invariants.accepted - service.invariants.final_states.keys())
        if odd == 0 and unfinished:
            spawn(service.net, "users", service.repeat(rng.choice(unfinished), rng.randrange(3)))
        elif odd == 1 and done:
            spawn(service.net, "users", service.cancel(rng.choice(done), rng.randrange(3)))
        else:
            number += 1
            expected, change = rng.choice(BAD)
            run = {key: value for key, value in (job(number) | change).items() if value is not ...}
            got = await service.call(
                "POST", "/v2/runs", service.body_of(run), 5.0, rng.randrange(3)
            )
            if got is not None and got[0] in (200, 201, 400, 422):
                service.invariants.invalid_submission_answered(
                    f"req-{number:06d}", got[0], expected
                )


async def one_task_jobs(service: Service, rng: random.Random, for_s: float) -> None:
    """Four a second, of one short task each; a quarter are called off, at whatever moment."""

    async def one(run: dict[str, Any], cancel_after_s: float | None) -> None:
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
                one(run, rng.choice((0.0, 0.05, 1.0, 2.5)) if rng.random() < 0.25 else None),
            )
        )
        await asyncio.sleep(rng.expovariate(4.0))
    await asyncio.gather(*calls)


async def more_than_room(service: Service, rng: random.Random, for_s: float) -> None:
    """More work than room, urgent and not, much of it bound to one zone, arrays too."""
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
