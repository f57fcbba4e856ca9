"""How a controller's cost grows with its fleet: whole controllers, in simulated time, against stand-ins.

    pip install -r requirements-scale.txt
    python -m tests.scale grow [--times 1 2 4 8] [--plot docs/scale.svg] [--save figures.json] [--before figures.json]
    python -m tests.scale full        2,648 machines, three controllers of 1,200 sockets, no troubles
    python -m tests.scale alone       the same fleet, two of the controllers ended for good
    python -m tests.scale hot --times 1     one team brings 80% of all arrivals, most of them for one zone; one class eight times as many for two minutes
    python -m tests.scale hot-rough         that, with the hot team's owner ended, another one slow, and an outage of the state service
    python -m tests.scale calm              the same arrivals of all the others without that
    python -m tests.scale wide --times 1.5 --restart 0.3 --ends 5,8,12,30:all,33:all
                                            calm, and the controller with most machines (or all) ended at these seconds, back after --restart
    python -m tests.scale cost              where processor time and memory go (tests/cost.py)
    python -m tests.scale duties --times 1.5    calm, and how long nobody holds the machines' duty, by what became of its holder

What was served of each class and team is printed (ashdock/fairness/slo_attainment.py); where a share is under a half the tool exits with 1.

Controllers are charged for what they compute: each has half a core (--core), and what it does beyond that comes later.

Not part of the tests: minutes, not seconds. Processor time is measured on this machine, step by step of each controller's tasks,
and so differs from machine to machine; time is simulated. Memory is what a controller's tables hold.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import cProfile
import json
import math
import pstats
import random
import sys
import time
import types
from collections import Counter, defaultdict, deque
from collections.abc import Callable, Generator
from pathlib import Path
from typing import Any
from unittest import mock

from hdrh.histogram import HdrHistogram
from pympler import asizeof

from ashdock.fairness.slo_attainment import MIN_ATTAINMENT, SloAttainment, jain
from ashdock.net.http import Client, NoResponseError
from ashdock.settings import Objective, Team
from tests import cost, courses, simtime, whole
from tests.fleet import Fleet
from tests.simtime import HOST, Net, SimLoop
from tests.totals import Totals

# One time the fleet: three teams with guarantees, the arrivals a second of two kinds of gangs and one of arrays, 662 machines of 4 GPUs.
MACHINES = 662
TEAMS = [("ops", 800, 2000), ("data", 1200, 4000), ("crew", 700, 2500)]
KINDS: list[tuple[str, float, dict[str, Any]]] = [
    (
        "slot",
        0.4188,
        {
            "shape": "ensemble",
            "sizes": [1, 2, 4, 8],
            "weights": [3.0, 2.4, 1.92, 1.54],
            "accelerators": 4.0,
            "cpus": 28.0,
            "same_place": True,
            "expect_s": 100.0,
            "snapshot_s": 45.0,
            "flush_s": 4.0,
            "images": 5,
            "size_gb": 4.0,
        },
    ),
    (
        "note",
        0.2783,
        {
            "shape": "sweep",
            "sizes": [5, 10, 20, 40],
            "weights": [1.0, 2.0, 2.0, 1.0],
            "accelerators": 1.0,
            "cpus": 6.0,
            "urgency": "best_effort",
            "expect_s": 80.0,
            "due_s": 250.0,
            "images": 20,
            "size_gb": 6.0,
            "loaners": True,
        },
    ),
    (
        "urgent",
        0.2558,
        {
            "shape": "ensemble",
            "sizes": [1, 2, 4],
            "weights": [3.0, 2.4, 1.92],
            "accelerators": 4.0,
            "cpus": 28.0,
            "urgency": "high",
            "expect_s": 120.0,
            "snapshot_s": 20.0,
            "flush_s": 3.0,
            "images": 18,
            "size_gb": 4.0,
        },
    ),
]
REPORT_S, LEASE_S, CANCEL_S = 3.0, 19.0, 39.0
AIMS = {
    "slot": [70.0, 180.0],
    "note": [120.0],
    "urgent": [15.0, 60.0],
}  # by class: in what times its tasks are to start
HOT, HOT_ZONE, HOT_TIMES = (
    "ops",
    "a",
    2.51,
)  # more than it brings otherwise, of all arrivals: then it brings 80%
BURST, BURST_TIMES, BURST_S = "note", 7.0, 120.0
COURSE_S = 210.0  # from the filling on: longer than the longest aim


class Meter:
    """Processor time by host; and that a controller's tasks wait for what they have computed, at its share of a core."""

    def __init__(self, share: float) -> None:
        self.share = share
        self.spent = Totals()
        self.busy: dict[str, float] = {}
        self.lines: defaultdict[str, deque[asyncio.Future[None]]] = defaultdict(
            deque
        )  # steps that wait for the one before
        self.waking: set[str] = set()
        self.running: tuple[str, float] | None = None
        self.slow: dict[str, float] = {}  # how many times slower a host computes
        self.profile: cProfile.Profile | None = None  # of the controllers' own steps
        self.profiles: dict[str, cProfile.Profile] = {}  # of each controller's alone, by host

    def share_of(self, host: str) -> float:
        return self.share / self.slow.get(host, 1.0)

    def ahead(self) -> float:
        """How far the clock of the host that computes has moved on within the step under way."""
        if self.running is None:
            return 0.0
        return (time.thread_time() - self.running[1]) / self.share_of(self.running[0])

    def _wake_next(self, host: str, loop: asyncio.AbstractEventLoop) -> None:
        if self.lines[host] and host not in self.waking:
            self.waking.add(host)
            loop.call_at(max(self.busy.get(host, 0.0), loop.time()), self._woken, host, loop)

    def _woken(self, host: str, loop: asyncio.AbstractEventLoop) -> None:
        self.waking.discard(host)
        if self.busy.get(host, 0.0) > loop.time() + 1e-6:
            return self._wake_next(host, loop)
        while self.lines[host]:
            gate = self.lines[host].popleft()
            if not gate.done():
                gate.set_result(None)  # its step comes next, and wakes whoever is next after it
                return

    @types.coroutine
    def run(self, job: Any, host: str) -> Generator[Any, Any, Any]:
        loop = asyncio.get_running_loop()
        act: Callable[[Any], Any] = job.send
        with_: Any = None
        while True:
            if self.lines[host] or self.busy.get(host, 0.0) > loop.time():
                # In line: woken all at once, hundreds of tasks would look at the clock again after each step.
                gate = loop.create_future()
                self.lines[host].append(gate)
                self._wake_next(host, loop)
                try:
                    yield from gate
                except BaseException as why:
                    act, with_ = job.throw, why
                    if gate in self.lines[host]:
                        self.lines[host].remove(gate)
            began = time.thread_time()
            self.running = (host, began)
            profile = self.profile or self.profiles.get(host)
            if profile:
                profile.enable()
            try:
                step = act(with_)
            except StopIteration as end:
                return end.value
            finally:
                if profile:
                    profile.disable()
                took = time.thread_time() - began
                self.running = None
                self.spent[host] += took
                self.busy[host] = max(self.busy.get(host, 0.0), loop.time()) + took / self.share_of(
                    host
                )
                self._wake_next(host, loop)
            try:
                act, with_ = job.send, (yield step)
            except BaseException as why:
                act, with_ = job.throw, why


def simulate(main: Callable[[Net], Any], seed: int, meter: Meter) -> Any:
    loop = SimLoop()
    net = Net(seed)

    def factory(loop_: Any, job: Any, **more: Any) -> asyncio.Task[Any]:
        parent = None
        with contextlib.suppress(RuntimeError):
            parent = asyncio.current_task(loop_)
        host = net.booting or HOST.get(parent)
        task: asyncio.Task[Any] = asyncio.Task(
            meter.run(job, host) if host and host.startswith("10.0.0.") else job, loop=loop_, **more
        )
        if host is not None:
            HOST[task] = host
            net.remember(host, task)
        return task

    loop.set_task_factory(factory)
    HOST.clear()
    with (
        mock.patch.object(asyncio, "open_connection", net.open_connection),
        mock.patch.object(asyncio, "start_server", net.start_server),
        mock.patch.object(time, "monotonic", lambda: loop.clock + meter.ahead()),
        mock.patch.object(time, "time", lambda: loop.clock + simtime.WALL),
    ):
        try:
            return loop.run_until_complete(main(net))
        finally:
            meter.busy.clear()
            loop.set_exception_handler(lambda *_: None)  # of tasks that end by being cancelled
            for _ in range(50):  # some begin others when they end
                left = asyncio.all_tasks(loop)
                for task in left:
                    task.cancel()
                if not left:
                    break
                loop.run_until_complete(asyncio.sleep(0))
            loop.close()


class Users:
    """Each submits a job as soon as it has it, over a load balancer that knows who is ready, and asks every 5 s until it is done."""

    def __init__(
        self, fleet: Fleet, times: float, seed: int = 7, shape: cost.Shape | None = None
    ) -> None:
        self.fleet = fleet
        self.times = times
        self.kinds = shape.kinds if shape else KINDS
        self.teams = [team[0] for team in (shape.teams if shape else TEAMS)]
        self.seed = seed
        self.rng = random.Random(seed)
        self.served = fleet.rules.served = SloAttainment()
        self.number = 0
        self.took = HdrHistogram(1, 120_000, 3)  # of a submission until it is accepted, ms
        self.asked = HdrHistogram(1, 10_000, 3)  # of a question, ms
        self.errors: Counter[str] = Counter()
        self.counts = False  # from when on submissions count
        self.ready: dict[int, bool] = {}
        self.open: Counter[int] = Counter()
        self.tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, job: Any) -> None:
        task = asyncio.create_task(job)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    async def probe(self) -> None:
        clients = {n: Client(f"10.0.0.{n}", 8080, max_idle=1) for n in range(3)}
        while True:
            for n, client in clients.items():
                try:
                    self.ready[n] = (await client.request("GET", "/ready", b"", 1.0))[0] == 200
                except NoResponseError:
                    self.ready[n] = False
            await asyncio.sleep(1.0)

    async def ask(
        self, user: dict[str, Any], method: str, target: str, body: bytes, timeout: float
    ) -> int | None:
        client = user.get("client")
        for _ in range(3):
            if client is None:
                healthy = [n for n, ready in self.ready.items() if ready]
                if not healthy:
                    self.errors["no_node"] += 1
                    return None
                user["n"] = min(healthy, key=lambda n: (self.open[n], n))
                client = user["client"] = Client(f"10.0.0.{user['n']}", 8080, max_idle=1)
                self.open[user["n"]] += 1
            try:
                status, _ = await client.request(method, target, body, timeout)
                if not client.idle:  # it was told to close
                    self.leave(user)
                if status not in (200, 201):
                    self.errors[str(status)] += 1
                return status
            except NoResponseError as why:
                self.leave(user)
                client = None
                self.errors["unsent" if not why.sent else "unanswered"] += 1
                if why.sent:
                    return None
        return None

    def leave(self, user: dict[str, Any]) -> None:
        client = user.pop("client", None)
        if client is not None:
            self.open[user["n"]] -= 1
            client.close()

    async def one(self, run: dict[str, Any]) -> None:
        user: dict[str, Any] = {}
        self.fleet.rules.submitted(run)
        began, counts = self.now(), self.counts
        if counts:
            due_at = began + run["due_s"] if run["due_s"] else math.inf
            self.served.record_submitted(
                run["id"],
                run["workload"],
                run["owner"],
                run["shares"],
                began,
                max(AIMS[run["workload"]]),
                due_at,
            )
        body = json.dumps(run).encode()
        status = None
        while status not in (200, 201):
            status = await self.ask(user, "POST", "/v2/runs", body, 5.0)
            if status is not None:
                self.fleet.rules.answered(
                    run["id"], status, "queued", submission=True, now=self.now()
                )
            if status not in (200, 201):
                if self.now() - began > 60:
                    self.errors["given up"] += 1
                    return self.leave(user)
                await asyncio.sleep(1.0)
        self.served.record_accepted(run["id"])
        if counts:
            self.took.record_value(max(1, int((self.now() - began) * 1000)))
        while any((run["id"], task) not in self.fleet.rules.done for task in range(run["shares"])):
            await asyncio.sleep(5.0 * (0.8 + 0.4 * self.rng.random()))
            at = self.now()
            status = await self.ask(user, "GET", f"/v2/runs/{run['id']}", b"", 2.0)
            if status == 200:
                self.asked.record_value(max(1, int((self.now() - at) * 1000)))
        self.served.record_done(run["id"], self.now())
        self.leave(user)

    def job(
        self, kind: str, form: dict[str, Any], rng: random.Random, hot: bool = False
    ) -> dict[str, Any]:
        self.number += 1
        form = dict(form)
        sizes, weights, images = form.pop("sizes"), form.pop("weights"), form.pop("images")
        run_s = form["expect_s"] * (0.5 + rng.random())
        owner = HOT if hot else rng.choices(self.teams, [1.1, 1.6, 1.0][: len(self.teams)])[0]
        return whole.job(
            self.number,
            workload=kind,
            owner=owner,
            bundle=f"{kind}-{rng.randrange(images)}",
            shares=rng.choices(sizes, weights)[0],
            **{**form, "expect_s": round(run_s, 1), "ram_gb": 40.0},
            yard=HOT_ZONE if hot and rng.random() < 0.7 else None,
        )

    async def arrive(
        self,
        kind: str,
        rate: float,
        form: dict[str, Any],
        hot: bool = False,
        stream: str = "",
        for_s: float = 1e9,
    ) -> None:
        """Of a stream of its own: what else arrives changes nothing of it."""
        rng = random.Random(f"{self.seed} {kind} {stream}")
        until = self.now() + for_s
        while self.now() < until:
            await asyncio.sleep(rng.expovariate(rate * self.times))
            self.spawn(self.one(self.job(kind, form, rng, hot)))

    def heat(self) -> None:
        for kind, rate, form in KINDS:
            self.spawn(self.arrive(kind, rate * HOT_TIMES, form, True, "hot"))
            if kind == BURST:
                self.spawn(self.arrive(kind, rate * BURST_TIMES, form, False, "burst", BURST_S))

    async def run(self) -> None:
        self.spawn(self.probe())
        await asyncio.sleep(3)
        for kind, rate, form in self.kinds:
            for _ in range(int(rate * self.times * 60)):
                self.spawn(self.one(self.job(kind, form, self.rng)))
            self.spawn(self.arrive(kind, rate, form))
        await asyncio.sleep(1e9)


def shared_at(times: float, sockets: int, core: float) -> Any:
    shared = whole.shared()
    shared.teams = [
        Team(name, gpus=low * times, gpus_max=high * times) for name, low, high in TEAMS
    ]
    workers = shared.workers
    (
        workers.report_s,
        workers.lease_s,
        workers.cancel_s,
        workers.gang_peer_s,
        workers.gang_wait_s,
    ) = REPORT_S, LEASE_S, CANCEL_S, 4.0, 50.0
    shared.state.rps, shared.state.write_rps, shared.state.value_kb = 150.0, 60.0, 32.0
    shared.objectives = [
        Objective("wait", 0.9, kind, within) for kind, aims in AIMS.items() for within in aims
    ]
    shared.objectives += [
        Objective("deadline", 0.98, "note", times=1.0),
        Objective("guarantee", 0.88, within_s=10.0),
    ]
    shared.cloud.rps, shared.cloud.list_lag_s = 2.0, 3.0
    shared.machine_limits.max_connections, shared.machine_limits.core_share = sockets, core
    return shared


def held(controller: Any) -> int:
    """Bytes in the tables that grow with the fleet."""
    tables: list[Any] = [
        controller.machines.entries,
        controller.shards.entries,
        controller.front.final_states,
        controller.front.status_reader.known,
    ]
    tables += [
        controller.front.redirected,
        controller.front.answered_at,
        controller.peer_reports.statuses,
        controller.peer_reports.counts_by_peer,
    ]
    for owner in controller.owners.values():
        if owner.shard is not None:
            tables += [owner.shard.machines, owner.shard.jobs, owner.shard.parks]
    if controller.leader is not None:
        inventory = controller.leader.inventory
        tables += [inventory.heartbeats.unrecorded, inventory.first_listed, inventory.released_at]
    return int(asizeof.asizeof(*tables))


async def trouble(net: Net, fleet: Fleet, meter: Meter) -> None:
    """The hot team's owner ends and is back 8 s later, the next one computes three times slower, and the state service is down meanwhile."""
    await asyncio.sleep(30)
    owner = next((n for n, c in fleet.controllers.items() if HOT in c.owners), 0)
    net.kill(f"10.0.0.{owner}")
    meter.slow[f"10.0.0.{(owner + 1) % 3}"] = 3.0
    await asyncio.sleep(8)
    fleet.boot(owner)
    await asyncio.sleep(22)
    fleet.state.down = True
    await asyncio.sleep(15)
    fleet.state.down = False
    meter.slow.clear()


def measure(
    times: float,
    sockets: int,
    seconds: float,
    core: float,
    course: str = "",
    seed: int = 11,
    profile: bool = False,
    ends: list[courses.End] | None = None,
    restart_s: float = 0.3,
) -> dict[str, Any]:
    """One fleet, each controller with that share of a core. `alone`: two controllers end for good once the fleet is full."""
    meter = Meter(core)
    out: dict[str, Any] = {"times": times, "machines": int(MACHINES * times)}
    wall = time.perf_counter()

    async def main(net: Net) -> None:
        shared = shared_at(times, sockets, core)
        fleet = Fleet(net, shared, int(MACHINES * times))
        for n in range(3):
            net.limits[f"10.0.0.{n}"] = sockets
        await fleet.start()
        users = Users(fleet, times, seed)
        simtime.spawn(net, "users", users.run())
        await asyncio.sleep(75)
        if course == "alone":
            for n in (1, 2):
                net.kill(f"10.0.0.{n}")
                fleet.controllers.pop(n)
        users.counts = True
        if course.startswith("hot"):
            users.heat()
        if ends:
            users.spawn(courses.end_and_restart(net, fleet, ends, restart_s))
        gaps = (
            courses.Gaps(
                net, fleet, restart_s, lambda host, s: meter.busy.update({host: users.now() + s})
            )
            if course == "duties"
            else None
        )
        if gaps:
            users.spawn(gaps.run())
        if course == "hot-rough":
            users.spawn(trouble(net, fleet, meter))
        meter.profile = cProfile.Profile() if profile else None
        before, at = dict(meter.spent), users.now()
        requests, counted = fleet.state.requests, fleet.state.counted
        starts = fleet.rules.starts
        kinds: Counter[str] = Counter()  # of what is written

        def count(writes: list[dict[str, Any]]) -> None:
            for write in writes:
                path = (write.get("set") or write["delete"]).split("/")
                kinds[
                    ("" if "set" in write else "delete ")
                    + path[0]
                    + (" head" if path[-1] == "job" else "")
                ] += 1

        fleet.state.hook = count
        for step in range(int(seconds / 5)):
            await asyncio.sleep(5)
            print(
                f"  {times:g} times: {users.now():.0f} s, {fleet.rules.starts} starts, {fleet.killed} killed, GPUs {whole_of(fleet)}, "
                f"{time.perf_counter() - wall:.0f} s of real time, step {step}",
                flush=True,
            )
        past = users.now() - at
        cores = [
            (meter.spent[host] - before.get(host, 0.0)) / past
            for host in sorted(meter.spent)
            if host.startswith("10.0.0.")
        ]
        alive = list(fleet.controllers.values())
        rows = users.served.counts(users.now())
        out.update(
            gaps=gaps.rows if gaps else [],
            machines_rented=sum(map(len, fleet.world.charters.values())),
            jobs=len(
                [
                    j
                    for j in fleet.rules.jobs
                    if any(
                        (j, t) not in fleet.rules.done for t in range(fleet.rules.jobs[j]["shares"])
                    )
                ]
            ),
            core_mean=sum(cores) / len(cores),
            core_most=max(cores),
            mb=max(held(c) for c in alive) / 2**20,
            requests=(fleet.state.requests - requests) / past,
            writes=(fleet.state.counted - counted) / past,
            served={
                " ".join(name): [*row, round(row.attainment, 3)]
                for name, row in sorted(rows.items())
            },
            worst=users.served.worst(users.now()),
            jain=round(
                jain(row.attainment for (kind, _), row in rows.items() if kind == "team"), 4
            ),
            starts=(fleet.rules.starts - starts) / past,
            written={kind: round(number / past, 2) for kind, number in kinds.most_common()},
            killed=fleet.killed,
            broken=fleet.rules.broken[:5],
            submissions=users.took.get_total_count(),
            p50_ms=users.took.get_value_at_percentile(50),
            p99_ms=users.took.get_value_at_percentile(99),
            within_1s=share_within(users.took, 1000),
            asked_p99_ms=users.asked.get_value_at_percentile(99),
            errors=dict(users.errors),
            sockets=max(net.most.get(f"10.0.0.{n}", 0) for n in range(3)),
            refused=net.refused,
            late_s=max(
                (
                    c.admission.processor.late_s(users.now())
                    for c in alive
                    if hasattr(c, "admission")
                ),
                default=0.0,
            ),
            longest_s=fleet.longest(),
            real_s=time.perf_counter() - wall,
            takeovers={
                team: [
                    owner.failover_timeline.machines,
                    len(owner.shard.jobs) if owner.shard else 0,
                    owner.failover_timeline.format_durations(),
                ]
                for c in alive
                for team, owner in c.owners.items()
            },
        )

    simulate(main, seed, meter)
    if meter.profile:
        pstats.Stats(meter.profile).sort_stats("tottime").print_stats(25).sort_stats(
            "cumulative"
        ).print_stats("ashdock", 40)
    return out


def whole_of(fleet: Fleet) -> str:
    """What each team uses, of how many machines it holds."""
    held = {
        team: len(owner.shard.machines)
        for c in fleet.controllers.values()
        for team, owner in c.owners.items()
        if owner.shard
    }
    return (
        " ".join(
            f"{team} {fleet.rules.used.get(team, 0.0):.0f} of {held.get(team, 0)}"
            for team, _, _ in TEAMS
        )
        + f" of {len(fleet.world.workers)}"
    )


def share_within(histogram: HdrHistogram, ms: int) -> float:
    total = histogram.get_total_count()
    return (
        sum(
            i.count_added_in_this_iter_step
            for i in histogram.get_recorded_iterator()
            if i.value_iterated_to <= ms
        )
        / total
        if total
        else 1.0
    )


COLUMNS = [
    ("machines", "machines", "{}"),
    ("jobs", "unfinished jobs", "{}"),
    ("starts", "starts a second", "{:.1f}"),
    ("core_mean", "cores, mean of three", "{:.3f}"),
    ("core_most", "cores, busiest", "{:.3f}"),
    ("mb", "MB in tables", "{:.1f}"),
    ("requests", "state requests a second", "{:.0f}"),
    ("writes", "writes a second", "{:.0f}"),
    ("sockets", "sockets at most", "{}"),
    ("within_1s", "submissions in 1 s", "{:.3f}"),
    ("killed", "killed by lease", "{}"),
]


def table(rows: list[dict[str, Any]]) -> str:
    head = "| times | " + " | ".join(words for _, words, _ in COLUMNS) + " |"
    lines = [head, "|" + " --- |" * (len(COLUMNS) + 1)]
    lines += [
        f"| {row['times']:g} | "
        + " | ".join(form.format(row[key]) for key, _, form in COLUMNS)
        + " |"
        for row in rows
    ]
    return "\n".join(lines)


def plot(rows: list[dict[str, Any]], before: list[dict[str, Any]], path: str) -> None:
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 2, figsize=(9, 3.6))
    for axis, key, words in (
        (axes[0], "core_most", "cores, busiest controller"),
        (axes[1], "mb", "MB in its tables"),
    ):
        for label, data, style in (("before", before, "o--"), ("now", rows, "o-")):
            if data:
                axis.plot(
                    [row["machines"] for row in data],
                    [row[key] for row in data],
                    style,
                    label=label,
                )
        first = rows[0]
        axis.plot(
            [row["machines"] for row in rows],
            [first[key] * row["machines"] / first["machines"] for row in rows],
            ":",
            color="grey",
            label="as the fleet",
        )
        axis.set_xlabel("machines")
        axis.set_ylabel(words)
        axis.legend()
    figure.tight_layout()
    figure.savefig(path)


def main() -> None:
    top = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    top.add_argument(
        "what",
        choices=["grow", "full", "alone", "calm", "hot", "hot-rough", "wide", "duties", "cost"],
    )
    top.add_argument("--times", type=float, nargs="+", default=[1, 2, 4, 8])
    top.add_argument("--sockets", type=int, default=1200)
    top.add_argument("--seconds", type=float, help="simulated, after 75 s to fill the fleet")
    top.add_argument("--seed", type=int, default=11)
    top.add_argument("--core", type=float, default=0.504, help="each controller's share of a core")
    top.add_argument(
        "--restart",
        type=float,
        default=0.3,
        help="seconds until an ended controller is back (wide)",
    )
    top.add_argument(
        "--ends", default="5,8,12,30:all,33:all,60", help="seconds after the fleet is full (wide)"
    )
    top.add_argument("--plot")
    top.add_argument(
        "--profile", action="store_true", help="print where the controllers' processor time goes"
    )
    top.add_argument("--save")
    top.add_argument("--before")
    top.add_argument(
        "--shape",
        action="append",
        default=[],
        help=f"of {', '.join(cost.SHAPES)} (cost); none: all",
    )
    top.add_argument(
        "--course",
        action="append",
        default=[],
        help=f"of {', '.join(cost.COURSES)} (cost); none: all",
    )
    options = top.parse_args()
    if (
        min(options.times) <= 0
        or options.restart <= 0
        or (options.seconds is not None and options.seconds <= 0)
    ):
        courses.wrong("--times, --restart, --seconds: expected numbers above 0")
    for flag, given, known in (
        ("--shape", options.shape, cost.SHAPES),
        ("--course", options.course, cost.COURSES),
    ):
        if set(given) - set(known):
            courses.wrong(
                f"{flag}: expected some of {', '.join(known)}; found {', '.join(sorted(set(given) - set(known)))}"
            )
    if options.what == "cost":
        times = options.times[0] if len(options.times) == 1 else 1.0
        tools = (
            simulate,
            lambda fleet, times, shape: Users(fleet, times, options.seed, shape),
            Meter,
        )
        cost.report(
            options.shape or list(cost.SHAPES),
            options.course or cost.COURSES,
            times,
            options.seconds or 30.0,
            options.save,
            tools,
        )
        return
    try:
        ends = courses.ends_of(options.ends) if options.what == "wide" else []
    except ValueError as why:
        courses.wrong(str(why))
    if options.what == "grow":
        seconds = options.seconds or 60.0
        # Sockets enough: what is asked is what computing and remembering cost.
        rows = []
        for times in options.times:
            rows.append(
                measure(
                    times,
                    100_000,
                    seconds,
                    options.core,
                    seed=options.seed,
                    profile=options.profile,
                )
            )
            if options.save:
                Path(options.save).write_text(json.dumps(rows))
        print(table(rows))
        if options.plot:
            plot(
                rows,
                json.loads(Path(options.before).read_text()) if options.before else [],
                options.plot,
            )
        return
    seconds = options.seconds or (60.0 if options.what in ("full", "alone") else COURSE_S)
    times = options.times[0] if len(options.times) == 1 else 4
    row = measure(
        times,
        options.sockets,
        seconds,
        options.core,
        options.what,
        options.seed,
        options.profile,
        ends,
        options.restart,
    )
    print(json.dumps(row, indent=1))
    if options.save:
        Path(options.save).write_text(json.dumps(row))
    if row["worst"][0] < MIN_ATTAINMENT or row["broken"]:
        sys.exit(1)


if __name__ == "__main__":
    main()
