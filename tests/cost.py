"""Where a controller's processor time and memory go, by activity: whole controllers of two deployments' shapes on the stand-ins.

    python -m tests.scale cost [--shape small --course steady] [--times 1.5] [--seconds 30] [--save cost.json]

Counts of calls repeat from run to run, and are what to compare; times are this machine's. Time that a library spends is put down to the code of
ours that called it. What the stand-ins' network does instead of sockets is left out, and so is the kernel.
"""

from __future__ import annotations

import asyncio
import cProfile
import gc
import json
import pstats
import random
import resource
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from operator import itemgetter
from pathlib import Path
from typing import Any, NamedTuple

from pympler import asizeof

from ashdock.settings import Shared, Team
from tests import simtime, whole
from tests.fleet import Fleet
from tests.simtime import Net
from tests.totals import Totals

ROOT = Path(__file__).resolve().parent.parent
FILL_S = 45.0  # until a fleet of either shape is at work


class Shape(NamedTuple):
    """A deployment: its fleet, what arrives a second, and what its controllers may use."""

    machines: int
    report_s: float
    lease_s: float
    cancel_s: float
    teams: list[tuple[str, float, float]]  # GPUs guaranteed, and at most
    kinds: list[tuple[str, float, dict[str, Any]]]
    writes: float
    ram_mb: float
    core: float = 0.324


GANG = {
    "shape": "ensemble",
    "sizes": [1, 2, 4, 8],
    "weights": [3.0, 2.0, 2.0, 1.0],
    "accelerators": 4.0,
    "cpus": 28.0,
    "snapshot_s": 30.0,
    "flush_s": 4.0,
    "same_place": True,
    "images": 8,
    "size_gb": 6.0,
}
ARRAY = {
    "shape": "sweep",
    "sizes": [5, 20, 40, 100],
    "weights": [2.0, 3.0, 2.0, 0.5],
    "accelerators": 1.0,
    "cpus": 6.0,
    "images": 18,
    "size_gb": 4.0,
}

SHAPES = {
    "small": Shape(
        260,
        1.0,
        10.0,
        40.0,
        [("desk", 350, 1000), ("retail", 350, 1000)],
        [
            ("train", 0.1, GANG | {"expect_s": 150.0, "urgency": "high"}),
            ("tag", 0.3, ARRAY | {"expect_s": 70.0, "due_s": 160.0}),
        ],
        80.0,
        110.0,
    ),
    "wide": Shape(
        740,
        3.0,
        19.0,
        39.0,
        [("ops", 800, 2000), ("data", 1200, 4000), ("crew", 700, 2500)],
        [
            ("slot", 0.5, GANG | {"expect_s": 100.0}),
            ("note", 0.33, ARRAY | {"expect_s": 80.0, "due_s": 250.0, "urgency": "best_effort"}),
            (
                "urgent",
                0.33,
                GANG
                | {
                    "sizes": [1, 2, 4],
                    "weights": [3.0, 2.0, 2.0],
                    "expect_s": 120.0,
                    "urgency": "high",
                },
            ),
        ],
        60.0,
        194.0,
    ),
}


def shared_of(shape: Shape, times: float) -> Shared:
    shared = whole.shared()
    shared.teams = [
        Team(name, gpus=low * times, gpus_max=high * times) for name, low, high in shape.teams
    ]
    workers = shared.workers
    (
        workers.report_s,
        workers.lease_s,
        workers.cancel_s,
        workers.gang_peer_s,
        workers.gang_wait_s,
    ) = shape.report_s, shape.lease_s, shape.cancel_s, 8.0, 30.0
    shared.state.rps, shared.state.write_rps, shared.state.value_kb = (
        2.5 * shape.writes,
        shape.writes,
        8.0,
    )
    shared.cloud.rps, shared.cloud.list_lag_s = 4.0, 4.0
    (
        shared.machine_limits.core_share,
        shared.machine_limits.ram_mb,
        shared.machine_limits.max_connections,
    ) = shape.core, shape.ram_mb, 1000
    return shared


# -- what which code is for -----------------------------------------------------------------------------------

# By file, or file:function where one file serves two. The first that fits.
ACTIVITIES: list[tuple[str, str]] = [
    ("net/http.py:_exchange", "HTTP out"),
    ("net/http.py:request", "HTTP out"),
    ("net/http.py:_request", "HTTP out"),
    ("net/http.py:_connect", "HTTP out"),
    ("net/http.py", "HTTP in"),
    ("admission/", "HTTP in"),
    ("net/worker.py", "orders"),
    ("net/cloud.py", "leader's choices"),
    ("net/metrics.py", "metrics"),
    ("net/mesh.py", "mesh"),
    ("wire/frames.py", "mesh"),
    ("cancellation/", "mesh"),
    ("wire/messages.py", "JSON"),
    ("net/store.py", "watch and state"),
    ("net/store_errors.py", "watch and state"),
    ("net/watch_cache.py", "watch and state"),
    ("net/rate_limiter.py", "watch and state"),
    ("fairness/fair_queue.py", "watch and state"),
    ("core/heartbeat_reconciler.py", "reports"),
    ("front.py:checkin", "reports"),
    ("front.py:_redirect_or_forward", "reports"),
    ("front.py:_answer_unassigned", "reports"),
    ("front.py:_renew_orphan_lease", "reports"),
    ("crash_loop.py", "reports"),
    ("heartbeat_forwarder.py", "reports"),
    ("core/machine.py", "reports"),
    ("core/task_commands.py:orders", "reports"),
    ("core/scheduler.py", "passes"),
    ("core/placement.py", "passes"),
    ("core/machine_index.py", "passes"),
    ("core/dependency_graph.py", "passes"),
    ("core/dependency_tracker.py", "passes"),
    ("core/scheduling_policy.py", "passes"),
    ("core/quota.py", "passes"),
    ("core/estimates.py", "passes"),
    ("fairness/classes.py", "passes"),
    ("fairness/slo_attainment.py", "passes"),
    ("core/allocator.py", "leader's choices"),
    ("leader/", "leader's choices"),
    ("election/", "leader's choices"),
    ("fairness/", "leader's choices"),
    ("core/preemption_cost.py", "leader's choices"),
    ("machine_type_catalog.py", "leader's choices"),
    ("core/status_reporter.py", "pictures"),
    ("gossip.py:update_share", "watch and state"),
    ("gossip.py", "mesh"),
    ("frame_dispatch.py", "mesh"),
    ("peer_reports.py", "mesh"),
    ("core/shard_writer.py", "writing"),
    ("core/write_limits.py", "writing"),
    ("core/job.py", "writing"),
    ("core/task.py", "writing"),
    ("core/park.py", "writing"),
    ("core/shard.py", "writing"),
    ("shard_owners.py", "membership"),
    ("shard_ownership.py", "membership"),
    ("shard_commands.py", "membership"),
    ("load_handover.py", "membership"),
    ("background_tasks.py", "membership"),
    ("election_loop.py", "membership"),
    ("clock.py", "membership"),
    ("core/shard_claims.py", "membership"),
    ("core/task_commands.py", "writing"),
    ("core/shard_recovery.py", "writing"),
    ("core/task_failures.py", "writing"),
    ("core/shard_maintenance.py", "writing"),
    ("shard_owner.py", "writing"),
    ("command_sender.py", "writing"),
    ("status_reader.py", "questions"),
    ("front.py", "submissions and questions"),
    ("membership.py", "membership"),
    ("cluster_version.py", "membership"),
    ("cluster_state.py", "membership"),
    ("connectivity.py", "membership"),
    ("timelines.py", "membership"),
    ("controller.py", "membership"),
    ("concurrency.py", "leader's choices"),
    ("core/duration_histogram.py", "metrics"),
    ("settings.py", "JSON"),
]
# What is counted once for each of its kind, by file:function.
UNITS = {
    "HTTP in": "net/http.py:_serve_one_request",
    "HTTP out": "net/http.py:_exchange",
    "reports": "core/heartbeat_reconciler.py:on_heartbeat",
    "passes": "core/scheduler.py:schedule",
    "writing": "core/shard_writer.py:next_transaction",
    "questions": "status_reader.py:ask",
    "mesh": "frame_dispatch.py:dispatch",
    "leader's choices": "leader/leader.py:_allocate",
    "watch and state": "net/store.py:txn",
    "submissions and questions": "front.py:submit",
    "pictures": "core/status_reporter.py:shard_status",
}
OUTSIDE = "stand-ins"  # not the controller's
Func = tuple[str, int, str]


def activity_of(func: Func) -> str | None:
    """None: whoever calls it is asked."""
    file, _, name = func
    if "/logging/" in file:
        return "logging"
    if "/tests/" in file or file.endswith("cProfile.py"):
        return OUTSIDE
    if "/ashdock/" not in file:
        return None
    inner = file.rpartition("/ashdock/")[2]
    for what, activity in ACTIVITIES:
        path, _, function = what.partition(":")
        if inner.startswith(path) and (not function or name.startswith(function)):
            return activity
    return None


class Budget(NamedTuple):
    """By activity: seconds, calls, and how many of its units there were."""

    seconds: Totals
    calls: Counter[str]
    units: Counter[str]

    @property
    def known(self) -> float:
        """The share of all the time that is put down to an activity."""
        whole_s = sum(self.seconds.values()) - self.seconds[OUTSIDE]
        return 1.0 - self.seconds["other"] / whole_s if whole_s else 1.0


def budget_of(profile: cProfile.Profile) -> Budget:
    stats: dict[Func, tuple[int, int, float, float, dict[Func, tuple[int, int, float, float]]]] = (
        pstats.Stats(profile).stats  # type: ignore[attr-defined]
    )
    shares: dict[Func, dict[str, float]] = {}

    def share_of(func: Func, above: frozenset[Func]) -> dict[str, float]:
        """Whose a function's time is, by who calls it."""
        if func in shares:
            return shares[func]
        own = activity_of(func)
        if own is not None:
            shares[func] = {own: 1.0}
            return shares[func]
        callers = {
            caller: row[3]
            for caller, row in stats[func][4].items()
            if caller not in above and caller != func and caller in stats
        }
        total = sum(callers.values())
        if not total:
            return {
                "event loop"
                if "/asyncio/" in func[0] or "_asyncio" in func[2] or "send" in func[2]
                else "other": 1.0
            }
        out = Totals()
        for caller, seconds in callers.items():
            for activity, share in share_of(caller, above | {func}).items():
                out[activity] += share * seconds / total
        if len(above) == 0:
            shares[func] = dict(out)
        return dict(out)

    spent, calls, units = Totals(), Counter[str](), Counter[str]()
    for func, (_, number, own_s, _, _) in stats.items():
        for activity, share in share_of(func, frozenset()).items():
            spent[activity] += own_s * share
            calls[activity] += round(number * share)
        inner = f"{func[0].rpartition('/ashdock/')[2]}:{func[2]}"
        for activity, unit in UNITS.items():
            if unit == inner and "/ashdock/" in func[0]:
                units[activity] += number
    return Budget(spent, calls, units)


# -- courses ----------------------------------------------------------------------------------------------------------


@dataclass
class Play:
    """One deployment on the stand-ins, its users, and what is measured."""

    net: Net
    fleet: Fleet
    users: Any

    async def steady(self) -> None:
        """What arrives, arrives."""

    async def filling(self) -> None:
        """A quarter of a minute's arrivals at once, on a fleet that was empty: measured from its first second."""

    async def takeover(self) -> None:
        """The owner of the largest part ends for good, and another that leads takes it."""
        held = {
            n: max((len(o.shard.machines) for o in c.owners.values() if o.shard), default=0)
            for n, c in self.fleet.controllers.items()
        }
        n = max(held, key=lambda one: (held[one], self.fleet.controllers[one].leader is None))
        self.net.kill(f"10.0.0.{n}")
        self.fleet.controllers.pop(n)

    async def outage(self) -> None:
        """The state service is down for a lease, and comes back."""
        self.fleet.state.down = True
        await asyncio.sleep(self.fleet.shared.workers.lease_s)
        self.fleet.state.down = False

    async def flood(self) -> None:
        """Users ask forty times a second more."""

        async def ask() -> None:
            rng = random.Random(3)
            while True:
                await asyncio.sleep(rng.expovariate(40.0))
                jobs = sorted(self.fleet.rules.jobs)
                self.users.spawn(
                    self.users.ask({}, "GET", f"/v2/runs/{rng.choice(jobs)}", b"", 2.0)
                )

        self.users.spawn(ask())


COURSES = ["steady", "filling", "takeover", "outage", "flood"]


class Collections:
    """Of garbage: how often, and how long, by the controller in whose step it fell."""

    def __init__(self, meter: Any) -> None:
        self.meter = meter
        self.seconds = Totals()
        self.times: Counter[str] = Counter()
        self.began = 0.0

    def __call__(self, phase: str, info: dict[str, int]) -> None:
        if phase == "start":
            self.began = time.thread_time()
        elif self.meter.running is not None:
            self.seconds[self.meter.running[0]] += time.thread_time() - self.began
            self.times[self.meter.running[0]] += 1


def play(
    shape: Shape,
    course: str,
    times: float,
    seconds: float,
    simulate: Callable[..., Any],
    users_of: Callable[..., Any],
    meter: Any,
) -> dict[str, Any]:
    """What each controller used in so many seconds of a course, and the budget of each by its role."""
    out: dict[str, Any] = {}

    async def main(net: Net) -> None:
        fleet = Fleet(net, shared_of(shape, times), int(shape.machines * times))
        await fleet.start()
        users = users_of(fleet, times, shape)
        simtime.spawn(net, "users", users.run())
        one = Play(net, fleet, users)
        await asyncio.sleep(2.0 if course == "filling" else FILL_S)
        for n in range(3):
            meter.profiles[f"10.0.0.{n}"] = cProfile.Profile()
        before, memory = dict(meter.spent), {n: memory_of(c) for n, c in fleet.controllers.items()}
        began = users.now()
        users.spawn(getattr(one, course)())
        collections = Collections(meter)
        gc.callbacks.append(collections)
        await asyncio.sleep(seconds)
        gc.callbacks.remove(collections)
        past = users.now() - began
        for n, controller in sorted(fleet.controllers.items()):
            host = f"10.0.0.{n}"
            held = sum(
                len(owner.shard.machines) for owner in controller.owners.values() if owner.shard
            )
            role = f"{'leads, ' if controller.leader else ''}owns {held} machines"
            out[f"n{n}: {role}"] = {
                "cores": (meter.spent[host] - before.get(host, 0.0)) / past,
                "seconds": past,
                "budget": budget_of(meter.profiles.pop(host)),
                "memory": memory_of(controller),
                "memory_before": memory[n],
                "collections": collections.times[host] / past,
                "collecting": collections.seconds[host] / past,
            }

    simulate(main, 11, meter)
    return out


def memory_of(controller: Any) -> dict[str, int]:
    """Bytes in a controller's tables, by what they are for."""
    shards = [owner.shard for owner in controller.owners.values() if owner.shard is not None]
    front = controller.front
    tables: dict[str, list[Any]] = {
        "replicas": [
            replica.entries
            for replica in (
                controller.machines,
                controller.shards,
                controller.members,
                controller.leaders,
            )
        ],
        "jobs that ended": [front.final_states],
        "jobs that are open": [front.status_reader.known, *(shard.jobs for shard in shards)],
        "machines": [shard.machines for shard in shards],
        "parks": [shard.parks for shard in shards],
        "of workers": [front.redirected, front.forwarded, front.answered_at],
        "what others told": [
            controller.peer_reports.statuses,
            controller.peer_reports.counts_by_peer,
        ],
        "leader": [
            controller.leader.heartbeats.unrecorded,
            controller.leader.inventory.first_listed,
            controller.leader.inventory.released_at,
        ]
        if controller.leader
        else [],
    }
    return {name: int(asizeof.asizeof(*rows)) if rows else 0 for name, rows in tables.items()} | {
        "connections": len(controller.admission.connections)
    }


START = """
import sys, time
from pathlib import Path
def kib(): return next(line.split()[1] for line in Path("/proc/self/status").read_text().splitlines() if line.startswith("VmRSS"))
began = time.perf_counter(); bare = len(sys.modules); empty = kib()
from ashdock import cli
import asyncio, gc
from ashdock.controller import Controller
print(time.perf_counter() - began, len(sys.modules) - bare, empty, kib())
"""


def start_cost(runs: int = 5) -> dict[str, float]:
    """Of what a controller imports before it serves: the least of some runs' seconds, modules, and KiB of memory before and after."""
    rows = []
    for _ in range(runs):
        said = subprocess.run(
            [sys.executable, "-c", START], cwd=ROOT, capture_output=True, text=True, check=True
        ).stdout
        rows.append([float(word) for word in said.split()])
    seconds, modules, empty, full = (min(column) for column in zip(*rows, strict=True))
    return {"import_s": seconds, "modules": modules, "empty_kib": empty, "imported_kib": full}


def table(name: str, row: dict[str, Any], core: float) -> str:
    budget: Budget = row["budget"]
    whole_s = sum(budget.seconds.values()) - budget.seconds[OUTSIDE]
    lines = [
        f"{name}: {row['cores']:.3f} cores of {core:g}, {budget.known:.1%} put down to an activity"
    ]
    lines.append(
        f"  {'activity':<27}{'share':>7}{'calls a s':>11}{'units a s':>11}{'calls each':>12}"
    )
    for activity, seconds in sorted(budget.seconds.items(), key=itemgetter(1), reverse=True):
        if activity == OUTSIDE or seconds < whole_s / 1000:
            continue
        units, calls = budget.units[activity], budget.calls[activity]
        each = f"{calls / units:>12.0f}" if units else f"{'':>12}"
        lines.append(
            f"  {activity:<27}{seconds / whole_s:>7.1%}{calls / row['seconds']:>11.0f}{units / row['seconds']:>11.1f}{each}"
        )
    lines.append(
        f"  garbage collections (in the above): {row['collections']:.1f} a second, {row['collecting'] / max(row['cores'], 1e-9):.1%} of the time"
    )
    grown = {kind: (row["memory_before"][kind], now) for kind, now in row["memory"].items() if now}
    lines.append(
        "  KiB: "
        + ", ".join(
            f"{kind} {b >> 10} -> {n >> 10}" if kind != "connections" else f"{n} connections"
            for kind, (b, n) in grown.items()
        )
    )
    return "\n".join(lines)


def report(
    shapes: list[str],
    courses: list[str],
    times: float,
    seconds: float,
    save: str | None,
    tools: tuple[Any, Any, Any],
) -> None:
    simulate, users_of, meter_of = tools
    start = start_cost()
    print(
        f"imports: {start['import_s']:.3f} s, {start['modules']:.0f} modules, {start['imported_kib'] / 1024:.1f} MiB ({start['empty_kib'] / 1024:.1f} without)"
    )
    kept: dict[str, Any] = {"start": start}
    for shape in shapes:
        for course in courses:
            began = time.perf_counter()
            rows = play(
                SHAPES[shape],
                course,
                times,
                seconds,
                simulate,
                users_of,
                meter_of(SHAPES[shape].core),
            )
            print(
                f"\n{shape}, {course}, {times:g} times ({time.perf_counter() - began:.0f} s of real time)"
            )
            for name, row in rows.items():
                print(table(name, row, SHAPES[shape].core), flush=True)
                kept[f"{shape} {course} {name}"] = row | {
                    "budget": {
                        "seconds": row["budget"].seconds,
                        "calls": row["budget"].calls,
                        "units": row["budget"].units,
                    }
                }
    print(f"this tool itself: {resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024:.0f} MiB")
    if save:
        Path(save).write_text(json.dumps(kept))
