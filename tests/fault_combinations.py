"""Random days on which two or three faults overlap while users poll and cancel their jobs.

    python -m tests.fault_combinations --seeds 500 [--from 0] [--only A,B]

Prints each seed whose day violates an invariant or leaves jobs unfinished, and exits with 1 if
there is any. A few seeds run with the tests. A day depends on nothing but its seed, so the number
is enough to replay it. `--only A,B` leaves out all faults but these, to find out which of them a
failure needs.
"""

from __future__ import annotations

import argparse
import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import pytest

from ashdock.settings import NextLimits
from tests import users, virtual_time
from tests.cluster import ZONES, Service, job
from tests.fakes import CLOUD_HOST, STORE_HOST, FakeWorker
from tests.restarts import run_seeds
from tests.scenarios import exit_with_usage_error
from tests.virtual_time import spawn

FAULT_PHASE_S = 60.0
FINISH_LIMIT_S = 240.0  # all jobs must reach a final state within this time after the last fault
CANCEL_DEADLINE_S = 20.0  # `cancel_s` of the settings
# Values of the attributes that `attribute_fault` sets, while there is no fault.
DEFAULTS: dict[str, Any] = {
    "down": False,
    "extra_delay_s": 0.0,
    "max_extra_delay_s": 0.0,
    "late_write_share": 0.0,
    "lost_answer_share": 0.0,
    "late_heartbeat_share": 0.0,
    "held_commands": None,
    "list_age_s": 0.0,
    "held_heartbeat_share": 0.0,
    "boot_s": 6.0,
}
# Injects a fault into the service for this many seconds; what it affects is drawn.
Fault = Callable[[Service, random.Random, float], Awaitable[None]]
DURATIONS_S = (0.4, 1.2, 3.0, 7.0, 15.0, 28.0, 28.0)  # of a fault; some exceed `cancel_s`


def sample_workers(service: Service, rng: random.Random, share: float) -> list[FakeWorker]:
    """Return each worker with a probability of `share`."""
    return [worker for _, worker in sorted(service.cloud.workers.items()) if rng.random() < share]


def random_controller(rng: random.Random) -> str:
    """Return the host of a controller."""
    return f"10.0.0.{rng.randrange(3)}"


def random_owner(service: Service, rng: random.Random) -> str:
    """Return the host of the controller that owns a shard, or of any if the shard has no owner."""
    entry = service.store.keys.get(f"part/{rng.choice(('red', 'blue'))}")
    return f"10.0.0.{entry[0]['owner'][1:]}" if entry else random_controller(rng)


def attribute_fault(component: str, attribute: str, *values: Any) -> Fault:
    """Return a fault that sets an attribute of the store, world or network to one of the values."""

    async def inject(service: Service, rng: random.Random, for_s: float) -> None:
        setattr(getattr(service, component), attribute, rng.choice(values))
        await asyncio.sleep(for_s)
        setattr(getattr(service, component), attribute, DEFAULTS[attribute])

    return inject


async def refused(service: Service, rng: random.Random, for_s: float) -> None:
    """The store refuses the requests of one shard owner."""
    host = random_owner(service, rng)
    service.store.refused_hosts.add(host)
    await asyncio.sleep(for_s)
    service.store.refused_hosts.discard(host)


def worker_flag_fault(flag: str) -> Fault:
    """Return a fault that sets a flag (`deaf` or `mute`) of about half of the workers."""

    async def inject(service: Service, rng: random.Random, for_s: float) -> None:
        workers = sample_workers(service, rng, 0.5)
        for worker in workers:
            setattr(worker, flag, True)
        await asyncio.sleep(for_s)
        for worker in workers:
            setattr(worker, flag, False)

    return inject


async def hang(service: Service, rng: random.Random, for_s: float) -> None:
    """Some workers hang: what they are sent meanwhile is carried out when they go on."""
    await asyncio.gather(*(worker.hang(for_s) for worker in sample_workers(service, rng, 0.4)))


async def zone_cut(service: Service, rng: random.Random, for_s: float) -> None:
    """A zone is partitioned off: its workers and its controller reach nobody outside of it."""
    zone = rng.randrange(3)
    hosts = {f"10.0.0.{n}": n == zone for n in range(3)} | {
        w.host: w.zone == ZONES[zone] for w in service.cloud.workers.values()
    }
    outside = [host for host, inside in hosts.items() if not inside] + [
        STORE_HOST,
        CLOUD_HOST,
        "users",
    ]
    await _cut(
        service,
        for_s,
        [frozenset((host, other)) for host, inside in hosts.items() if inside for other in outside],
    )


async def late_timers(service: Service, rng: random.Random, for_s: float) -> None:
    """Timers of one or all controllers fire late by up to 5 s, as on an overloaded host."""
    hosts = (
        [f"10.0.0.{n}" for n in range(3)] if rng.random() < 0.3 else [random_owner(service, rng)]
    )
    late_s = rng.choice((0.5, 2.0, 5.0))
    service.net.max_timer_delay_s |= dict.fromkeys(hosts, late_s)
    await asyncio.sleep(for_s)
    for host in hosts:
        service.net.max_timer_delay_s.pop(host, None)


async def leaders_change(service: Service, rng: random.Random, for_s: float) -> None:
    """The current leader crashes, ten times."""
    for _ in range(10):
        leader = next(
            (n for n, c in sorted(service.controllers.items()) if c.leader is not None), None
        )
        if leader is not None:
            service.crash(leader, rng.choice((0.05, 0.3, 2.5)))
        await asyncio.sleep(max(for_s / 10, 1.0))


async def _cut(service: Service, for_s: float, pairs: list[frozenset[str]]) -> None:
    service.net.partitions |= set(pairs)
    await asyncio.sleep(for_s)
    service.net.partitions -= set(pairs)


async def apart(service: Service, rng: random.Random, for_s: float) -> None:
    """A shard owner is cut off from the store and its peers, but not from workers and users."""
    host = random_owner(service, rng)
    await _cut(
        service,
        for_s,
        [
            frozenset((host, other))
            for other in (STORE_HOST, *(f"10.0.0.{n}" for n in range(3)))
            if other != host
        ],
    )


async def unheard(service: Service, rng: random.Random, for_s: float) -> None:
    """Two controllers are cut off from each other."""
    hosts = rng.sample([f"10.0.0.{n}" for n in range(3)], 2)
    await _cut(service, for_s, [frozenset(hosts)])


async def out_of_reach(service: Service, rng: random.Random, for_s: float) -> None:
    """Most workers are cut off from all controllers, or from one shard owner."""
    hosts = (
        [f"10.0.0.{n}" for n in range(3)] if rng.random() < 0.5 else [random_owner(service, rng)]
    )
    await _cut(
        service,
        for_s,
        [
            frozenset((host, worker.host))
            for worker in sample_workers(service, rng, 0.6)
            for host in hosts
        ],
    )


async def one_ends(service: Service, rng: random.Random, for_s: float) -> None:
    """A shard owner crashes and restarts."""
    n = int(random_owner(service, rng)[-1])
    if n in service.controllers:
        service.crash(n, rng.choice((0.05, 0.3, 2.5, for_s)))


async def all_end(service: Service, rng: random.Random, for_s: float) -> None:
    """All controllers crash at once; n0 restarts within half a second."""
    shortest_s = rng.choice((0.1, 0.5))
    for n in sorted(service.controllers):
        service.crash(n, shortest_s if n == 0 else rng.choice((0.3, 2.5, for_s)))


async def handed_back(service: Service, rng: random.Random, for_s: float) -> None:
    """Both shards are handed over to random controllers, three times within three seconds."""
    for _ in range(3):
        for team in ("red", "blue"):
            entry = service.store.keys.get(f"part/{team}")
            owner = service.controllers.get(int(entry[0]["owner"][1:])) if entry else None
            if owner is not None and team in owner.owners:
                owner.owners[team].transfer_to = f"n{rng.randrange(3)}"
                owner.owners[team].wake.set()
        await asyncio.sleep(rng.uniform(0.2, 0.9))


def write_kind(write: dict[str, Any]) -> str:
    """Return what a write to the store is for, by the table of writes in docs/meetings.md."""
    path: str = write.get("set") or write["delete"]
    root, *rest = path.split("/")
    if root == "job":
        return {"queued": "acceptance", "withdrawn": "cancellation", "done": "outcome"}[
            write["value"]["status"]
        ]
    return {
        "part": "claim",
        "leader": "seat",
        "work": "head" if rest[-1:] == ["job"] else "placement",
    }.get(root, root)


WRITE_KINDS = (
    "acceptance",
    "cancellation",
    "outcome",
    "claim",
    "placement",
    "park",
    "machine",
    "charter",
    "seat",
    "member",
    "life",
    "catalog",
)


def unanswered_writes(outcome: str, kinds: tuple[str, ...] = WRITE_KINDS) -> Fault:
    """Return a fault that leaves transactions with writes of one of the kinds unanswered.

    It affects 70% of them. They are applied at once if `outcome` is "answer" (only the answer is
    lost), or 2 to 12 s later if it is "late".
    """

    async def inject(service: Service, rng: random.Random, for_s: float) -> None:
        kind = rng.choice(kinds)
        service.store.fault_for_writes = lambda writes: (
            outcome
            if any(write_kind(write) == kind for write in writes) and rng.random() < 0.7
            else ""
        )
        await asyncio.sleep(for_s)
        service.store.fault_for_writes = None

    return inject


async def dies(service: Service, rng: random.Random, for_s: float) -> None:
    """A machine dies, if more than two are left."""
    if len(service.cloud.workers) > 2:
        service.cloud.workers[rng.choice(sorted(service.cloud.workers))].die()


# By the names that `--only` takes. `draw_faults` draws from the sorted names, so a renamed, new or
# removed fault changes the days of all seeds.
FAULTS: dict[str, Fault] = {
    fault.__name__: fault
    for fault in (
        refused,
        apart,
        unheard,
        out_of_reach,
        one_ends,
        all_end,
        handed_back,
        dies,
        hang,
        zone_cut,
        leaders_change,
        late_timers,
        users.close_looks,
        users.cancel_now,
        users.cancel_and_hang,
        users.cancel_at_end,
        users.odd_requests,
        users.one_task_jobs,
        users.more_than_room,
    )
} | {
    "answer_lost_of_a_kind": unanswered_writes("answer"),
    "late_of_a_kind": unanswered_writes("late"),
    "deaf": worker_flag_fault("loses_answers"),
    "mute": worker_flag_fault("loses_heartbeats"),
    "slow_links": attribute_fault("net", "max_extra_delay_s", 0.05, 0.3),
    "reports_for_next": attribute_fault("cloud", "held_heartbeat_share", 0.3, 1.0),
    "quick_boots": attribute_fault("cloud", "boot_s", 1.0),
    "outage": attribute_fault("store", "down", True),
    "slow_state": attribute_fault("store", "extra_delay_s", 0.1, 0.4, 1.0),
    "late_writes": attribute_fault("store", "late_write_share", 0.05, 0.2),
    "answers_lost": attribute_fault("store", "lost_answer_share", 0.05, 0.2),
    "late_reports": attribute_fault("cloud", "late_heartbeat_share", 0.1, 0.5),
    "cloud_down": attribute_fault("cloud", "down", True),
    "held_orders": attribute_fault(
        "cloud",
        "held_commands",
        *((share, 0.0, most) for share in (0.3, 1.0) for most in (3.0, 8.0, 30.0)),
    ),
    "list_lags": attribute_fault("cloud", "list_age_s", 4.0, 10.0),
}


class ScheduledFault(NamedTuple):
    """A fault by name, when it begins and how long it lasts."""

    at_s: float
    name: str
    for_s: float


# Combined on purpose, the second shortly after the first. Sixty days of independently drawn faults
# did not reproduce a known failure: a refusal, a cancellation and a long outage within one second.
FAULT_PAIRS = [
    ("refused", "outage"),
    ("apart", "one_ends"),
    ("late_writes", "all_end"),
    ("deaf", "one_ends"),
    ("late_reports", "handed_back"),
    ("held_orders", "outage"),
    ("slow_state", "refused"),
    ("out_of_reach", "one_ends"),
    ("refused", "refused"),
    ("close_looks", "answer_lost_of_a_kind"),
    ("late_of_a_kind", "handed_back"),
    ("late_of_a_kind", "one_ends"),
    ("close_looks", "handed_back"),
    ("cancel_at_end", "slow_state"),
    ("cancel_and_hang", "outage"),
    ("refused", "cancel_and_hang"),
    ("cancel_now", "handed_back"),
    ("cancel_now", "one_ends"),
    ("reports_for_next", "one_ends"),
    ("reports_for_next", "handed_back"),
    ("mute", "one_ends"),
    ("mute", "cancel_and_hang"),
    ("zone_cut", "cancel_now"),
    ("leaders_change", "outage"),
    ("one_task_jobs", "outage"),
    ("one_task_jobs", "one_ends"),
    ("quick_boots", "late_writes"),
    ("more_than_room", "slow_links"),
    ("more_than_room", "dies"),
    ("odd_requests", "answers_lost"),
    ("late_timers", "outage"),
    ("late_timers", "refused"),
    ("late_timers", "one_ends"),
    ("late_timers", "cancel_now"),
]


def draw_faults(rng: random.Random) -> list[ScheduledFault]:
    """Draw groups of two or three overlapping faults, half of them from `FAULT_PAIRS`."""
    faults, at = [], rng.uniform(4, 16)
    while at < FAULT_PHASE_S:
        if rng.random() < 0.5:
            first, second = rng.choice(FAULT_PAIRS)
            faults += [
                ScheduledFault(at, first, rng.choice(DURATIONS_S)),
                ScheduledFault(at + rng.uniform(0.1, 1.5), second, rng.choice(DURATIONS_S)),
            ]
        else:
            for name in rng.sample(sorted(FAULTS), rng.choice((2, 3))):
                faults.append(
                    ScheduledFault(
                        at + rng.choice((0.2, 1.0, 4.0)) * rng.random(),
                        name,
                        rng.choice(DURATIONS_S),
                    )
                )
        at += rng.uniform(8, 20)
    return sorted(faults)


def initial_jobs() -> list[dict[str, object]]:
    """Return long and short jobs; the tasks of some end far apart from each other."""
    return [
        job(1, shares=3, spans={0: 2.0, 1: 20.0, 2: 45.0}),
        job(2, owner="blue", shares=2, spans={0: 3.0, 1: 30.0}),
        job(
            3,
            shape="ensemble",
            shares=2,
            accelerators=2.0,
            urgency="high",
            snapshot_s=3.0,
            flush_s=1.0,
            expect_s=25.0,
        ),
        job(
            4,
            owner="blue",
            shape="ensemble",
            shares=2,
            accelerators=4.0,
            snapshot_s=3.0,
            flush_s=1.0,
        ),
        job(5, shares=4, fails=2),
        *(
            job(
                6 + k,
                owner="red" if k % 2 else "blue",
                shape="daemon" if k < 6 else "sweep",
                shares=1,
                expect_s=300.0,
            )
            for k in range(10)
        ),
    ]


CANCELLED_JOBS = range(6, 16)


def run_day(
    seed: int, monkeypatch: pytest.MonkeyPatch, only: set[str] | None = None
) -> tuple[list[tuple[str, str]], list[str]]:
    """Return the violations on the day of this seed, and the jobs not final in time.

    With `only`, the faults of other names are left out.
    """
    rng = random.Random(seed)
    return run_faults(
        [fault for fault in draw_faults(rng) if only is None or fault.name in only],
        rng,
        seed,
        monkeypatch,
    )


def run_faults(
    faults: list[ScheduledFault],
    rng: random.Random,
    seed: int,
    monkeypatch: pytest.MonkeyPatch,
    leader_offset: int | None = None,
    extra_faults: dict[str, Fault] | None = None,
    next_limits: NextLimits | None = None,
    observe: Callable[[float, str, str, bytes], None] | None = None,
) -> tuple[list[tuple[str, str]], list[str]]:
    """Run a day with these faults; return the violations, and the jobs not final in time.

    Args:
        faults: What goes wrong, and when.
        rng: Draws the details of the faults, and what users do.
        seed: Of the simulated network.
        monkeypatch: Replaces the clock and the network by simulated ones.
        leader_offset: Only the controller with this distance from the owner of blue's shard may
            lead, as of the beginning of each fault; None: any controller.
        extra_faults: Faults by name, besides `FAULTS`.
        next_limits: The smaller store limits that the settings announce.
        observe: Called with the time, sender, receiver and bytes of each write to a connection.
    """
    faults_by_name = FAULTS | (extra_faults or {})

    async def main(net: virtual_time.Network) -> tuple[list[tuple[str, str]], list[str]]:
        net.on_write = observe
        service = Service(net, machines=5, capacity=8, later=next_limits)
        service.store.on_applied = service.cloud.owner_changed
        service.store.on_compared = service.invariants.transaction_applied
        service.invariants.free_machines = service.cloud.free_machines
        await service.start()
        await asyncio.sleep(1)
        runs = initial_jobs()
        ids = [str(run["id"]) for run in runs]
        started_at = service.now()

        async def inject(fault: ScheduledFault, fault_rng: random.Random) -> None:
            await asyncio.sleep(fault.at_s)
            owner = service.store.keys.get("part/blue")
            if leader_offset is not None and owner is not None:
                for controller in service.controllers.values():
                    controller.elector.allowed = [
                        f"n{(int(owner[0]['owner'][1:]) + leader_offset) % 3}"
                    ]
            await faults_by_name[fault.name](service, fault_rng, fault.for_s)

        async def cancel(number: int, at_s: float) -> str | None:
            await asyncio.sleep(at_s)
            return await service.cancel(f"req-{number:06d}")

        async def poll_jobs(poll_rng: random.Random) -> None:
            while True:
                await asyncio.sleep(poll_rng.uniform(0.2, 1.5))
                spawn(net, "users", service.poll(poll_rng.choice(ids)))

        fault_tasks = [
            spawn(net, "users", inject(fault, random.Random(rng.random()))) for fault in faults
        ]
        spawn(net, "users", poll_jobs(random.Random(rng.random())))
        # Around the beginning of a fault, when a controller may miss the cancellation.
        cancel_times_s = [
            rng.choice(faults).at_s + rng.uniform(-0.2, 1.2)
            if faults
            else rng.uniform(10, FAULT_PHASE_S)
            for _ in CANCELLED_JOBS
        ]
        cancel_tasks = [
            spawn(net, "users", cancel(number, at_s))
            for number, at_s in zip(CANCELLED_JOBS, cancel_times_s, strict=True)
        ]
        await asyncio.gather(*(service.submit(run) for run in runs))
        await asyncio.gather(*fault_tasks)
        await asyncio.sleep(max(started_at + FAULT_PHASE_S - service.now(), 0.0))
        service.invariants.faults_over_at = service.now()
        await asyncio.gather(*cancel_tasks)
        # A user gives up on a cancellation that is not confirmed, and a daemon runs until it is
        # cancelled: without another cancellation such jobs would never reach a final state.
        invariants = service.invariants
        for job_id in sorted(invariants.accepted):
            if job_id not in invariants.final_states and (
                job_id in invariants.cancel_requested
                or invariants.jobs[job_id]["shape"] == "daemon"
            ):
                await service.cancel(job_id)
        unfinished = await service.until_final(sorted(invariants.accepted), FINISH_LIMIT_S)
        await asyncio.sleep(CANCEL_DEADLINE_S)
        service.invariants.end(service.now())
        service.invariants.check_stored_jobs(
            {path: value for path, (value, _, _) in service.store.keys.items()}
        )
        return service.invariants.violations, unfinished

    violations, unfinished = virtual_time.run(main, seed, monkeypatch)
    return violations, unfinished


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seeds", type=int, default=500)
    parser.add_argument("--from", type=int, default=0, dest="first")
    parser.add_argument("--only", help="names of faults, separated by commas")
    options = parser.parse_args()
    only = set(options.only.split(",")) if options.only else None
    if options.seeds <= 0 or options.first < 0:
        exit_with_usage_error(
            "--seeds, --from: expected above 0, and 0 or more, "
            f"found {options.seeds}, {options.first}"
        )
    if only and only - FAULTS.keys():
        exit_with_usage_error(
            f"--only: expected some of {', '.join(sorted(FAULTS))}; "
            f"found {', '.join(sorted(only - FAULTS.keys()))}"
        )
    run_seeds(
        range(options.first, options.first + options.seeds),
        lambda seed, monkeypatch: run_day(seed, monkeypatch, only),
    )


if __name__ == "__main__":
    main()
