"""Random days on which controllers crash in bursts, at most two seconds apart, and soon restart.

    python -m tests.restarts --seeds 300 [--from 0]

Prints each seed whose day violates an invariant or leaves jobs unfinished, and exits with 1 if
there is any. A few seeds run with the tests. A day depends on nothing but its seed, so the number
is enough to replay it.
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

DOWNTIMES_S = (0.05, 0.3, 1.0, 2.5)  # between the end of a process and the start of the next
CRASH_PHASE_S = 40.0
FINISH_LIMIT_S = 240.0  # all jobs must reach a final state within this time from the first poll


async def crash_in_bursts(service: Service, rng: random.Random) -> None:
    """Crash controllers in bursts for `CRASH_PHASE_S`, amid store, network and worker faults."""
    until = service.now() + CRASH_PHASE_S
    while service.now() < until:
        await asyncio.sleep(rng.choice((0.4, 3.0, 8.0)) * rng.random())
        fault = rng.randrange(7)  # 5 and 6: no fault besides the crashes
        if fault == 0 and not service.store.down:
            service.store.down = True
            spawn(
                service.net,
                "users",
                _call_later(rng.uniform(2, 9), lambda: setattr(service.store, "down", False)),
            )
        elif fault == 1:
            n = rng.randrange(3)
            service.net.partition(f"10.0.0.{n}", rng.choice(["10.2.0.1", f"10.0.0.{(n + 1) % 3}"]))
            spawn(service.net, "users", _call_later(rng.uniform(1, 8), service.net.heal))
        elif fault == 2:
            service.store.late_write_share = rng.choice((0.0, 0.05))
            service.store.lost_answer_share = rng.choice((0.0, 0.05))
        elif fault == 3 and len(service.cloud.workers) > 2 and rng.random() < 0.4:
            service.cloud.workers[rng.choice(sorted(service.cloud.workers))].die()
        elif fault == 4:
            # Some of these workers lose their leases and return with an incarnation that the store
            # does not name.
            workers = [
                worker.host
                for _, worker in sorted(service.cloud.workers.items())
                if rng.random() < 0.6
            ]
            for n in range(3):
                service.net.partition(f"10.0.0.{n}", *workers)
            spawn(service.net, "users", _call_later(rng.uniform(5, 9), service.net.heal))
        for _ in range(rng.randrange(1, 6)):
            alive = sorted(service.controllers)
            if alive:
                service.crash(rng.choice(alive), rng.choice(DOWNTIMES_S))
            await asyncio.sleep(2.0 * rng.random() ** 2)
    service.store.late_write_share = service.store.lost_answer_share = 0.0


async def _call_later(delay_s: float, callback: Callable[[], None]) -> None:
    await asyncio.sleep(delay_s)
    callback()


def run_day(seed: int, monkeypatch: pytest.MonkeyPatch) -> tuple[list[str], list[str]]:
    """Return the violations on the day of this seed, and the jobs not final in time."""
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
        spawn(net, "users", crash_in_bursts(service, rng))
        statuses = await asyncio.gather(*(service.submit(run) for run in runs))
        await asyncio.sleep(rng.uniform(5, CRASH_PHASE_S))
        withdrawn = await service.cancel("req-000006") if statuses[5] in (200, 201) else "withdrawn"
        await asyncio.sleep(CRASH_PHASE_S / 2)
        unfinished = await service.until_final([run["id"] for run in runs], FINISH_LIMIT_S)
        service.invariants.end()
        return service.invariants.violations, unfinished + (
            [] if withdrawn == "withdrawn" else ["req-000006"]
        )

    violations, unfinished = virtual_time.run(main, seed, monkeypatch)
    return violations, unfinished


DayResult = tuple[list[Any], list[str]]  # violations, and the jobs that were not final in time


def run_seeds(
    seeds: range, run_one_day: Callable[[int, pytest.MonkeyPatch], DayResult]
) -> NoReturn:
    """Run the days of these seeds, print the failed ones and exit: with 1 if there is any."""
    failed = 0
    for seed in seeds:
        with pytest.MonkeyPatch.context() as monkeypatch:
            violations, unfinished = run_one_day(seed, monkeypatch)
        if violations or unfinished:
            failed += 1
            print(f"seed {seed}: {violations[:3]} unfinished: {unfinished}", flush=True)
    print(f"{len(seeds)} days, {failed} failed")
    sys.exit(1 if failed else 0)


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seeds", type=int, default=300)
    parser.add_argument("--from", type=int, default=0, dest="first")
    options = parser.parse_args()
    if options.seeds <= 0 or options.first < 0:
        parser.error("--seeds must be above 0, --from must be 0 or more")
    run_seeds(range(options.first, options.first + options.seeds), run_day)


if __name__ == "__main__":
    main()
