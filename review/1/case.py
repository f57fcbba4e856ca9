"""A command that was carried out comes again, after its task was stopped and moved."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from lab import case  # noqa: E402
from lab.fleet import Worker  # noqa: E402
from lab.record import Record  # noqa: E402
from lab.site import Shape, Site, array, cannot_run  # noqa: E402
from lab.wire import request  # noqa: E402

SHAPE = Shape("hgca")
TEAM = next(iter(SHAPE.teams))
MOVED = "req-000100"


def build(record: Record) -> Site:
    """Return the deployment: one machine is up in each of two zones, and the cloud has no more."""
    return Site(record, SHAPE, {("attica", False): 1, ("crete", False): 1})


async def until(condition: Callable[[], bool], what: str, for_s: float = 20.0) -> None:
    """Wait until a condition holds."""
    for _ in range(int(for_s / 0.05)):
        if condition():
            return
        await asyncio.sleep(0.05)
    cannot_run(f"{what} did not come about within {for_s:g} s")


async def play(site: Site, trouble: bool) -> list[str]:
    """Have a task make room for urgent work, and repeat the command that had started it."""
    world, workers = site.world, site.cloud.workers
    task = f"{MOVED}/0"
    await asyncio.sleep(2.0)  # the machines that are up report to the leader
    await site.submit("berth-0", array(MOVED, TEAM, 1, 60.0, urgency="best_effort"))
    await until(lambda: task in world.on_machine, "the job runs")
    first = workers[world.on_machine[task]]
    other = next(worker for worker in workers.values() if worker is not first)
    urgent: dict[str, Any] = {"urgency": "high"}
    await site.submit("berth-1", array("req-000200", TEAM, 1, 90.0, yard=other.zone, **urgent))
    await until(lambda: "req-000200/0" in world.on_machine, "the other machine is in use")
    whole = {**urgent, "cpus": 28.0, "accelerators": 4.0, "ram_gb": 150.0, "shape": "ensemble"}
    await site.submit("berth-2", array("req-000300", TEAM, 1, 3.0, yard=first.zone, **whole))
    await until(lambda: world.on_machine.get(task) == other.name, "the task has moved")
    await until(lambda: "req-000300" in world.results, "the urgent job is done")
    await until(lambda: not first.tasks, "the first machine has forgotten all")
    if trouble:
        await repeat(site, first, task)
    await asyncio.sleep(10.0)
    await site.ask("berth-0", "GET", f"/v2/runs/{MOVED}")
    return world.broken


async def repeat(site: Site, worker: Worker, task: str) -> None:
    """Deliver a command to a worker again, as it came before."""
    body = next(
        (
            order
            for order in worker.received
            if any(row["verb"] == "run" and row["share"] == task for row in order["orders"])
        ),
        None,
    )
    if body is None:
        cannot_run("the task was not started by a direct command")
    site.record.write("network", f"a copy of a request arrives at {worker.name}: {body}")
    answer = await request(worker.address, "POST", "/orders", body)
    site.record.write("network", f"{worker.name} answers {answer.status} {answer.body}")


if __name__ == "__main__":
    sys.exit(case.main(HERE, build, play))
