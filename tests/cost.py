"""A controller's processor time and memory by activity, for two deployment shapes on fakes.

    python -m tests.scale cost [--shape small --course steady] [--times 1.5] [--seconds 30]
                               [--save cost.json]

Call counts repeat from run to run and are the figures to compare; times depend on the machine. The
time of a library is attributed to the code of this project that called it. The work of the
simulated network, which replaces the sockets, is left out, and so is that of the kernel.
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
from tests import cluster, virtual_time
from tests.fleet import Fleet
from tests.totals import Totals
from tests.virtual_time import Network

ROOT = Path(__file__).resolve().parent.parent
FLEET_FILL_S = 45.0  # until the machines of either shape are running tasks


class Shape(NamedTuple):
    """A deployment: its fleet, its arrivals, and the limits of its store and controllers."""

    machines: int
    report_s: float
    lease_s: float
    cancel_s: float
    teams: list[tuple[str, float, float]]  # name, guaranteed GPUs, maximum GPUs
    job_classes: list[tuple[str, float, dict[str, Any]]]
    write_rps: float  # of the store
    ram_mb: float
    core_share: float = 0.324  # of one core, for each controller


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


def settings_for(shape: Shape, times: float) -> Shared:
    """Return the shared settings of a deployment whose fleet and quotas are `times` as large."""
    shared = cluster.shared()
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
        2.5 * shape.write_rps,
        shape.write_rps,
        8.0,
    )
    shared.cloud.rps, shared.cloud.list_lag_s = 4.0, 4.0
    (
        shared.machine_limits.core_share,
        shared.machine_limits.ram_mb,
        shared.machine_limits.max_connections,
    ) = shape.core_share, shape.ram_mb, 1000
    return shared


# -- Attribution of profiled functions to activities

# Path prefix, or path:function prefix where one file serves several activities. The first match
# applies.
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
# The function, as path:function, whose calls count the units of work of an activity.
UNIT_FUNCTIONS = {
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
STAND_INS = "stand-ins"  # work that is not the controller's
ProfiledFunction = tuple[str, int, str]  # file, line, name


def activity_of(func: ProfiledFunction) -> str | None:
    """Return the activity of a function, or None if its callers determine it."""
    file, _, name = func
    if "/logging/" in file:
        return "logging"
    if "/tests/" in file or file.endswith("cProfile.py"):
        return STAND_INS
    if "/ashdock/" not in file:
        return None
    inner = file.rpartition("/ashdock/")[2]
    for pattern, activity in ACTIVITIES:
        path, _, function = pattern.partition(":")
        if inner.startswith(path) and (not function or name.startswith(function)):
            return activity
    return None


class CostBreakdown(NamedTuple):
    """Processor seconds, function calls and units of work by activity."""

    seconds: Totals
    calls: Counter[str]
    units: Counter[str]

    @property
    def attributed_share(self) -> float:
        """Share of the time, without that of the fakes, that has an activity."""
        controller_s = sum(self.seconds.values()) - self.seconds[STAND_INS]
        return 1.0 - self.seconds["other"] / controller_s if controller_s else 1.0


def break_down_cost(profile: cProfile.Profile) -> CostBreakdown:
    """Attribute all functions of a profile to activities."""
    stats: dict[
        ProfiledFunction,
        tuple[int, int, float, float, dict[ProfiledFunction, tuple[int, int, float, float]]],
    ] = pstats.Stats(profile).stats  # type: ignore[attr-defined]
    shares: dict[ProfiledFunction, dict[str, float]] = {}

    def activity_shares(
        func: ProfiledFunction, path: frozenset[ProfiledFunction]
    ) -> dict[str, float]:
        """Divide a function's time among activities by the time of its callers.

        `path` are the functions under evaluation, which are skipped to end recursion.
        """
        if func in shares:
            return shares[func]
        activity_found = activity_of(func)
        if activity_found is not None:
            shares[func] = {activity_found: 1.0}
            return shares[func]
        callers = {
            caller: row[3]
            for caller, row in stats[func][4].items()
            if caller not in path and caller != func and caller in stats
        }
        total = sum(callers.values())
        if not total:
            return {
                "event loop"
                if "/asyncio/" in func[0] or "_asyncio" in func[2] or "send" in func[2]
                else "other": 1.0
            }
        divided = Totals()
        for caller, seconds in callers.items():
            for activity, share in activity_shares(caller, path | {func}).items():
                divided[activity] += share * seconds / total
        if len(path) == 0:
            shares[func] = dict(divided)
        return dict(divided)

    spent, calls, units = Totals(), Counter[str](), Counter[str]()
    for func, (_, number, own_s, _, _) in stats.items():
        for activity, share in activity_shares(func, frozenset()).items():
            spent[activity] += own_s * share
            calls[activity] += round(number * share)
        inner = f"{func[0].rpartition('/ashdock/')[2]}:{func[2]}"
        for activity, unit in UNIT_FUNCTIONS.items():
            if unit == inner and "/ashdock/" in func[0]:
                units[activity] += number
    return CostBreakdown(spent, calls, units)


# -- Courses


@dataclass
class CourseRun:
    """A deployment on the fakes and its users; each method is a course of that name."""

    net: Network
    fleet: Fleet
    users: Any

    async def steady(self) -> None:
        """Only the usual arrivals."""

    async def filling(self) -> None:
        """Measure from the start of a fleet to which a minute's arrivals are submitted at once."""

    async def takeover(self) -> None:
        """Stop the owner of the largest shard for good, so that another controller takes it over.

        Among equals, one that does not lead is stopped.
        """
        machines_owned = {
            n: max((len(o.shard.machines) for o in c.owners.values() if o.shard), default=0)
            for n, c in self.fleet.controllers.items()
        }
        n = max(
            machines_owned,
            key=lambda number: (
                machines_owned[number],
                self.fleet.controllers[number].leader is None,
            ),
        )
        self.net.kill(f"10.0.0.{n}")
        self.fleet.controllers.pop(n)

    async def outage(self) -> None:
        """Take the state service down for the duration of a machine lease."""
        self.fleet.store.down = True
        await asyncio.sleep(self.fleet.shared.workers.lease_s)
        self.fleet.store.down = False

    async def flood(self) -> None:
        """Add 40 status queries per second from users."""

        async def query() -> None:
            rng = random.Random(3)
            while True:
                await asyncio.sleep(rng.expovariate(40.0))
                jobs = sorted(self.fleet.invariants.jobs)
                self.users.spawn(
                    self.users.send_request({}, "GET", f"/v2/runs/{rng.choice(jobs)}", b"", 2.0)
                )

        self.users.spawn(query())


COURSES = ["steady", "filling", "takeover", "outage", "flood"]


class GarbageCollectionMeter:
    """A `gc` callback: counts and processor seconds by the host whose step triggered them."""

    def __init__(self, meter: Any) -> None:
        """Take the meter that knows which host is running."""
        self.meter = meter
        self.seconds = Totals()
        self.counts: Counter[str] = Counter()
        self.started_s = 0.0

    def __call__(self, phase: str, info: dict[str, int]) -> None:
        """Handle the start or the end of a collection."""
        if phase == "start":
            self.started_s = time.thread_time()
        elif self.meter.running is not None:
            self.seconds[self.meter.running[0]] += time.thread_time() - self.started_s
            self.counts[self.meter.running[0]] += 1


def run_course(
    shape: Shape,
    course: str,
    times: float,
    seconds: float,
    simulate: Callable[..., Any],
    users_of: Callable[..., Any],
    meter: Any,
) -> dict[str, Any]:
    """Run a course and return each controller's use over `seconds`, by its number and role."""
    out: dict[str, Any] = {}

    async def main(net: Network) -> None:
        fleet = Fleet(net, settings_for(shape, times), int(shape.machines * times))
        await fleet.start()
        users = users_of(fleet, times, shape)
        virtual_time.spawn(net, "users", users.run())
        run = CourseRun(net, fleet, users)
        await asyncio.sleep(2.0 if course == "filling" else FLEET_FILL_S)
        for n in range(3):
            meter.profiles[f"10.0.0.{n}"] = cProfile.Profile()
        before, memory = (
            dict(meter.cpu_s),
            {n: memory_by_use(c) for n, c in fleet.controllers.items()},
        )
        began = users.now()
        users.spawn(getattr(run, course)())
        collections = GarbageCollectionMeter(meter)
        gc.callbacks.append(collections)
        await asyncio.sleep(seconds)
        gc.callbacks.remove(collections)
        elapsed_s = users.now() - began
        for n, controller in sorted(fleet.controllers.items()):
            host = f"10.0.0.{n}"
            machines_owned = sum(
                len(owner.shard.machines) for owner in controller.owners.values() if owner.shard
            )
            role = f"{'leads, ' if controller.leader else ''}owns {machines_owned} machines"
            out[f"n{n}: {role}"] = {
                "cores": (meter.cpu_s[host] - before.get(host, 0.0)) / elapsed_s,
                "seconds": elapsed_s,
                "budget": break_down_cost(meter.profiles.pop(host)),
                "memory": memory_by_use(controller),
                "memory_before": memory[n],
                "collections": collections.counts[host] / elapsed_s,
                "collecting": collections.seconds[host] / elapsed_s,
            }

    simulate(main, 11, meter)
    return out


def memory_by_use(controller: Any) -> dict[str, int]:
    """Return the bytes in a controller's tables by use, and its number of connections."""
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


IMPORT_SCRIPT = """
import sys, time
from pathlib import Path
def kib():
    lines = Path("/proc/self/status").read_text().splitlines()
    return next(line.split()[1] for line in lines if line.startswith("VmRSS"))
began = time.perf_counter(); bare = len(sys.modules); empty = kib()
from ashdock import cli
import asyncio, gc
from ashdock.controller import Controller
print(time.perf_counter() - began, len(sys.modules) - bare, empty, kib())
"""


def import_cost(runs: int = 5) -> dict[str, float]:
    """Measure the imports of a controller's start: the minimum of each figure over some runs.

    The figures are seconds, modules, and resident KiB before and after.
    """
    rows = []
    for _ in range(runs):
        output = subprocess.run(
            [sys.executable, "-c", IMPORT_SCRIPT],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        rows.append([float(word) for word in output.split()])
    seconds, modules, empty, full = (min(column) for column in zip(*rows, strict=True))
    return {"import_s": seconds, "modules": modules, "empty_kib": empty, "imported_kib": full}


def format_table(name: str, row: dict[str, Any], core_share: float) -> str:
    """Format the result of one controller."""
    breakdown: CostBreakdown = row["budget"]
    controller_s = sum(breakdown.seconds.values()) - breakdown.seconds[STAND_INS]
    lines = [
        f"{name}: {row['cores']:.3f} cores of {core_share:g}, "
        f"{breakdown.attributed_share:.1%} attributed to an activity"
    ]
    lines.append(
        f"  {'activity':<27}{'share':>7}{'calls a s':>11}{'units a s':>11}{'calls each':>12}"
    )
    for activity, seconds in sorted(breakdown.seconds.items(), key=itemgetter(1), reverse=True):
        if activity == STAND_INS or seconds < controller_s / 1000:
            continue
        units, calls = breakdown.units[activity], breakdown.calls[activity]
        each = f"{calls / units:>12.0f}" if units else f"{'':>12}"
        lines.append(
            f"  {activity:<27}{seconds / controller_s:>7.1%}"
            f"{calls / row['seconds']:>11.0f}{units / row['seconds']:>11.1f}{each}"
        )
    lines.append(
        f"  garbage collections (in the above): {row['collections']:.1f} a second, "
        f"{row['collecting'] / max(row['cores'], 1e-9):.1%} of the time"
    )
    memory = {kind: (row["memory_before"][kind], now) for kind, now in row["memory"].items() if now}
    lines.append(
        "  KiB: "
        + ", ".join(
            f"{kind} {before >> 10} -> {after >> 10}"
            if kind != "connections"
            else f"{after} connections"
            for kind, (before, after) in memory.items()
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
    """Run the courses on the shapes and print the results; `save` names a JSON file for them.

    `tools` are a function that runs a simulation and factories of its users and its meter.
    """
    simulate, users_of, meter_of = tools
    start = import_cost()
    print(
        f"imports: {start['import_s']:.3f} s, {start['modules']:.0f} modules, "
        f"{start['imported_kib'] / 1024:.1f} MiB ({start['empty_kib'] / 1024:.1f} without)"
    )
    results: dict[str, Any] = {"start": start}
    for shape in shapes:
        for course in courses:
            began = time.perf_counter()
            rows = run_course(
                SHAPES[shape],
                course,
                times,
                seconds,
                simulate,
                users_of,
                meter_of(SHAPES[shape].core_share),
            )
            print(
                f"\n{shape}, {course}, {times:g} times "
                f"({time.perf_counter() - began:.0f} s of real time)"
            )
            for name, row in rows.items():
                print(format_table(name, row, SHAPES[shape].core_share), flush=True)
                results[f"{shape} {course} {name}"] = row | {
                    "budget": {
                        "seconds": row["budget"].seconds,
                        "calls": row["budget"].calls,
                        "units": row["budget"].units,
                    }
                }
    print(f"this tool itself: {resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024:.0f} MiB")
    if save:
        Path(save).write_text(json.dumps(results))
