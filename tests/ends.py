"""Random days of ends and restarts: several controllers end within two seconds of each other, again and again, and are back at once.

    python -m tests.ends --seeds 300 [--from 0]     each day's seed, and what broke; 1 if anything did

A few seeds run with the tests. What a seed draws is all there is to a day, so it is replayed by its number.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
from collections.abc import Callable
from typing import Any, NoReturn

import pytest

from tests import virtual_time
from tests.cluster import Service, job
from tests.virtual_time import spawn

BACK_S = (0.05, 0.3, 1.0, 2.5)
COURSE_S = 40.0
WITHIN_S = 240.0  # all jobs are over so long after the last trouble


async def ends(service: Service, rng: random.Random) -> None:
    """Bursts of ends; between them, and in them, whatever else may go wrong."""
    until = service.now() + COURSE_S
    while service.now() < until:
        await asyncio.sleep(rng.choice((0.4, 3.0, 8.0)) * rng.random())
        trouble = rng.randrange(7)
        if trouble == 0 and not service.store.down:
            service.store.down = True
            spawn(
                service.net,
                "users",
                _later(rng.uniform(2, 9), lambda: setattr(service.store, "down", False)),
            )
        elif trouble == 1:
            n = rng.randrange(3)
            service.net.partition(f"10.0.0.{n}", rng.choice(["10.2.0.1", f"10.0.0.{(n + 1) % 3}"]))
            spawn(service.net, "users", _later(rng.uniform(1, 8), service.net.heal))
        elif trouble == 2:
            service.store.late_write_share = rng.choice((0.0, 0.05))
            service.store.lost_answer_share = rng.choice((0.0, 0.05))
        elif trouble == 3 and len(service.cloud.workers) > 2 and rng.random() < 0.4:
            service.cloud.workers[rng.choice(sorted(service.cloud.workers))].die()
        elif trouble == 4:
            # Some lose their leases, and come back in a session that no record tells of.
            workers = [
                worker.host
                for _, worker in sorted(service.cloud.workers.items())
                if rng.random() < 0.6
            ]
            for n in range(3):
                service.net.partition(f"10.0.0.{n}", *workers)
            spawn(service.net, "users", _later(rng.uniform(5, 9), service.net.heal))
        for _ in range(rng.randrange(1, 6)):
            alive = sorted(service.controllers)
            if alive:
                service.crash(rng.choice(alive), rng.choice(BACK_S))
            await asyncio.sleep(2.0 * rng.random() ** 2)
    service.store.late_write_share = service.store.lost_answer_share = 0.0


async def _later(seconds: float, act: Callable[[], None]) -> None:
    await asyncio.sleep(seconds)
    act()


def day(seed: int, patch: pytest.MonkeyPatch) -> tuple[list[str], list[str]]:
    """What broke on the day of that seed, and the jobs that were not over in time."""
    rng = random.Random(seed)

    async def main(net: virtual_time.Network) -> tuple[list[tuple[str, str]], list[str]]:
        service = Service(net, machines=5, capacity=8)
        await service.start()
        await asyncio.sleep(1)
        runs = [
            job(1, shares=6, expect_s=15.0),
            job(
                2,
                owner="blue",
                shape="ensemble",
                shares=2,
                accelerators=4.0,
                snapshot_s=3.0,
                flush_s=1.0,
            ),
            job(
                3,
                shape="ensemble",
                shares=3,
                accelerators=2.0,
                urgency="high",
                snapshot_s=3.0,
                flush_s=1.0,
            ),
            job(4, owner="blue", shares=5),
            job(5, shares=2, fails=2),
            job(6, shape="daemon", shares=2),
        ]
        spawn(net, "users", ends(service, rng))
        statuses = await asyncio.gather(*(service.submit(run) for run in runs))
        await asyncio.sleep(rng.uniform(5, COURSE_S))
        withdrawn = await service.cancel("req-000006") if statuses[5] in (200, 201) else "withdrawn"
        await asyncio.sleep(COURSE_S / 2)
        left = await service.until_final([run["id"] for run in runs], WITHIN_S)
        service.invariants.end()
        return service.invariants.violations, left + (
            [] if withdrawn == "withdrawn" else ["req-000006"]
        )

    broken, left = virtual_time.run(main, seed, patch)
    return broken, left


Played = tuple[list[Any], list[str]]  # what broke, and the jobs that were not over in time


def played(seeds: range, day: Callable[[int, pytest.MonkeyPatch], Played]) -> NoReturn:
    """Play the days of these seeds, say which broke, and leave: with 1 if any did."""
    bad = 0
    for seed in seeds:
        with pytest.MonkeyPatch.context() as patch:
            broken, left = day(seed, patch)
        if broken or left:
            bad += 1
            print(f"seed {seed}: {broken[:3]} not over: {left}", flush=True)
    print(f"{len(seeds)} days, {bad} of them broken or not over")
    sys.exit(1 if bad else 0)


def main() -> None:
    top = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    top.add_argument("--seeds", type=int, default=300)
    top.add_argument("--from", type=int, default=0, dest="first")
    options = top.parse_args()
    if options.seeds <= 0 or options.first < 0:
        top.error("--seeds is above 0, --from is 0 or more")
    played(range(options.first, options.first + options.seeds), day)


if __name__ == "__main__":
    main()
