"""How a controller's cost grows with its fleet: whole controllers in simulated time on fakes.

    pip install -r requirements-scale.txt
    python -m tests.scale grow [--times 1 2 4 8] [--plot docs/scale.svg] [--save figures.json]
                               [--before figures.json]
    python -m tests.scale full        2,648 machines, three controllers of 1,200 sockets, no faults
    python -m tests.scale alone       the same fleet, two of the controllers stopped for good
    python -m tests.scale hot --times 1
                                      one team submits 80% of all jobs, most of them for one zone,
                                      and one class arrives at eight times its rate for two minutes
    python -m tests.scale hot-rough   hot, with the hot team's shard owner restarted, another
                                      controller slowed down, and an outage of the state service
    python -m tests.scale calm        the usual arrivals without the additional load of hot
    python -m tests.scale wide --times 1.5 --restart 0.3 --ends 5,8,12,30:all,33:all
                                      calm, and the controller with most machines (or all) stopped
                                      at these seconds and restarted after --restart
    python -m tests.scale cost        processor time and memory by activity (tests/cost.py)
    python -m tests.scale duties --times 1.5
                                      calm, and how long no leader is active, by what happened to
                                      the previous one

The tool prints the SLO attainment of each class and team (ashdock/fairness/slo_attainment.py). It
exits with status 1 if an attainment is under a half or an invariant is violated.

Controllers are charged for their processor time: each has half a core (--core), and work beyond
that is delayed.

The tool is not part of the tests, since it takes minutes. Processor time is measured per step of a
controller's tasks and differs from machine to machine; the clock is simulated. Memory is the size
of a controller's tables.
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
from tests import cluster, cost, scenarios, virtual_time
from tests.fleet import Fleet
from tests.totals import Totals
from tests.virtual_time import HOST_BY_TASK, Network, VirtualTimeLoop

# The fleet for `--times 1`: 662 machines of 4 GPUs, three teams (name, guaranteed GPUs, maximum
# GPUs), and the arrivals per second of two classes of gang jobs and one of array jobs.
MACHINES = 662
TEAMS = [("ops", 800, 2000), ("data", 1200, 4000), ("crew", 700, 2500)]
JOB_CLASSES: list[tuple[str, float, dict[str, Any]]] = [
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
START_TARGETS_S = {  # by class: the times within which its tasks are to start
    "slot": [70.0, 180.0],
    "note": [120.0],
    "urgent": [15.0, 60.0],
}
# The hot team submits this multiple of all usual arrivals in addition, so that 80% are its jobs.
HOT_TEAM, HOT_ZONE, HOT_RATE_FACTOR = "ops", "a", 2.51
BURST_CLASS, BURST_RATE_FACTOR, BURST_S = "note", 7.0, 120.0
COURSE_S = 210.0  # from the time when the fleet is full; longer than the longest start target


class Meter:
    """Measures processor time by host and delays a controller's tasks to its share of a core."""

    def __init__(self, core_share: float) -> None:
        """Take the share of one core that each controller has."""
        self.core_share = core_share
        self.cpu_s = Totals()
        self.busy_until_s: dict[str, float] = {}
        # By host: steps that wait for the processor.
        self.waiting_steps: defaultdict[str, deque[asyncio.Future[None]]] = defaultdict(deque)
        self.hosts_with_wakeup: set[str] = set()
        self.running: tuple[str, float] | None = None
        self.slowdowns: dict[str, float] = {}  # by host: how many times slower it is
        self.profile: cProfile.Profile | None = None  # of all controllers' steps
        self.profiles: dict[str, cProfile.Profile] = {}  # of one controller's steps, by host

    def effective_core_share(self, host: str) -> float:
        """Return the share of one core that a host has, with its slowdown."""
        return self.core_share / self.slowdowns.get(host, 1.0)

    def step_elapsed_s(self) -> float:
        """Return how long the current step of the running host has taken in simulated time."""
        if self.running is None:
            return 0.0
        return (time.thread_time() - self.running[1]) / self.effective_core_share(self.running[0])

    def _schedule_wakeup(self, host: str, loop: asyncio.AbstractEventLoop) -> None:
        if self.waiting_steps[host] and host not in self.hosts_with_wakeup:
            self.hosts_with_wakeup.add(host)
            loop.call_at(
                max(self.busy_until_s.get(host, 0.0), loop.time()), self._on_wakeup, host, loop
            )

    def _on_wakeup(self, host: str, loop: asyncio.AbstractEventLoop) -> None:
        self.hosts_with_wakeup.discard(host)
        if self.busy_until_s.get(host, 0.0) > loop.time() + 1e-6:
            return self._schedule_wakeup(host, loop)
        while self.waiting_steps[host]:
            gate = self.waiting_steps[host].popleft()
            if not gate.done():
                gate.set_result(None)  # this step schedules the next wakeup when it ends
                return

    @types.coroutine
    def run(self, coroutine: Any, host: str) -> Generator[Any, Any, Any]:
        """Run a coroutine step by step, and delay each until the host's earlier work is done."""
        loop = asyncio.get_running_loop()
        resume: Callable[[Any], Any] = coroutine.send
        value: Any = None
        while True:
            if self.waiting_steps[host] or self.busy_until_s.get(host, 0.0) > loop.time():
                # The tasks of a host queue and are woken one at a time: if all woke together,
                # hundreds would check the clock again after each step.
                gate = loop.create_future()
                self.waiting_steps[host].append(gate)
                self._schedule_wakeup(host, loop)
                try:
                    yield from gate
                except BaseException as error:
                    resume, value = coroutine.throw, error
                    if gate in self.waiting_steps[host]:
                        self.waiting_steps[host].remove(gate)
            began = time.thread_time()
            self.running = (host, began)
            profile = self.profile or self.profiles.get(host)
            if profile:
                profile.enable()
            try:
                step = resume(value)
            except StopIteration as end:
                return end.value
            finally:
                if profile:
                    profile.disable()
                took = time.thread_time() - began
                self.running = None
                self.cpu_s[host] += took
                self.busy_until_s[host] = max(
                    self.busy_until_s.get(host, 0.0), loop.time()
                ) + took / self.effective_core_share(host)
                self._schedule_wakeup(host, loop)
            try:
                resume, value = coroutine.send, (yield step)
            except BaseException as error:
                resume, value = coroutine.throw, error


def simulate(main: Callable[[Network], Any], seed: int, meter: Meter) -> Any:
    """Run `main` in simulated time; the controllers' tasks are charged to the meter."""
    loop = VirtualTimeLoop()
    net = Network(seed)

    def create_task(loop_: Any, coroutine: Any, **options: Any) -> asyncio.Task[Any]:
        parent = None
        with contextlib.suppress(RuntimeError):
            parent = asyncio.current_task(loop_)
        host = net.spawning_host or HOST_BY_TASK.get(parent)
        task: asyncio.Task[Any] = asyncio.Task(
            meter.run(coroutine, host) if host and host.startswith("10.0.0.") else coroutine,
            loop=loop_,
            **options,
        )
        if host is not None:
            HOST_BY_TASK[task] = host
            net.track_task(host, task)
        return task

    loop.set_task_factory(create_task)
    HOST_BY_TASK.clear()
    with (
        mock.patch.object(asyncio, "open_connection", net.open_connection),
        mock.patch.object(asyncio, "start_server", net.start_server),
        mock.patch.object(time, "monotonic", lambda: loop.clock + meter.step_elapsed_s()),
        mock.patch.object(time, "time", lambda: loop.clock + virtual_time.WALL_CLOCK_START_S),
    ):
        try:
            return loop.run_until_complete(main(net))
        finally:
            meter.busy_until_s.clear()
            loop.set_exception_handler(lambda *_: None)  # cancelled tasks report nothing
            for _ in range(50):  # some tasks start others when they end
                remaining = asyncio.all_tasks(loop)
                for task in remaining:
                    task.cancel()
                if not remaining:
                    break
                loop.run_until_complete(asyncio.sleep(0))
            loop.close()


class Users:
    """Users that submit jobs through a load balancer and query them every 5 s until they are done.

    The load balancer sends requests to controllers that report to be ready.
    """

    def __init__(
        self, fleet: Fleet, times: float, seed: int = 7, shape: cost.Shape | None = None
    ) -> None:
        """Prepare the users of a deployment shape, or of the fleet of this module."""
        self.fleet = fleet
        self.times = times
        self.job_classes = shape.job_classes if shape else JOB_CLASSES
        self.teams = [team[0] for team in (shape.teams if shape else TEAMS)]
        self.seed = seed
        self.rng = random.Random(seed)
        self.served = fleet.invariants.slo_attainment = SloAttainment()
        self.number = 0
        self.submission_ms = HdrHistogram(1, 120_000, 3)  # from submission to acceptance
        self.query_ms = HdrHistogram(1, 10_000, 3)  # latency of a status query
        self.errors: Counter[str] = Counter()
        self.measuring = False  # whether new submissions are recorded
        self.ready: dict[int, bool] = {}
        self.connections: Counter[int] = Counter()
        self.tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, coroutine: Any) -> None:
        """Start a task and keep a reference until it ends."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def now(self) -> float:
        """Return the simulated time in seconds."""
        return asyncio.get_running_loop().time()

    async def probe_readiness(self) -> None:
        """Query the readiness of each controller every second."""
        clients = {n: Client(f"10.0.0.{n}", 8080, max_idle=1) for n in range(3)}
        while True:
            for n, client in clients.items():
                try:
                    self.ready[n] = (await client.request("GET", "/ready", b"", 1.0))[0] == 200
                except NoResponseError:
                    self.ready[n] = False
            await asyncio.sleep(1.0)

    async def send_request(
        self, user: dict[str, Any], method: str, target: str, body: bytes, timeout: float
    ) -> int | None:
        """Send a request and return the status, or None without a response.

        Retries on another connection, up to three attempts, where the request was not sent.
        """
        client = user.get("client")
        for _ in range(3):
            if client is None:
                healthy = [n for n, ready in self.ready.items() if ready]
                if not healthy:
                    self.errors["no_node"] += 1
                    return None
                user["n"] = min(healthy, key=lambda n: (self.connections[n], n))
                client = user["client"] = Client(f"10.0.0.{user['n']}", 8080, max_idle=1)
                self.connections[user["n"]] += 1
            try:
                status, _ = await client.request(method, target, body, timeout)
                if not client.idle:  # the controller closes the connection
                    self.disconnect(user)
                if status not in (200, 201):
                    self.errors[str(status)] += 1
                return status
            except NoResponseError as error:
                self.disconnect(user)
                client = None
                self.errors["unsent" if not error.sent else "unanswered"] += 1
                if error.sent:
                    return None
        return None

    def disconnect(self, user: dict[str, Any]) -> None:
        """Close the connection of a user, if it has one."""
        client = user.pop("client", None)
        if client is not None:
            self.connections[user["n"]] -= 1
            client.close()

    async def run_job(self, run: dict[str, Any]) -> None:
        """Submit a job, with retries for 60 s, and query it until all its tasks are done."""
        user: dict[str, Any] = {}
        self.fleet.invariants.submitted(run)
        began, measured = self.now(), self.measuring
        if measured:
            due_at = began + run["due_s"] if run["due_s"] else math.inf
            self.served.record_submitted(
                run["id"],
                run["workload"],
                run["owner"],
                run["shares"],
                began,
                max(START_TARGETS_S[run["workload"]]),
                due_at,
            )
        body = json.dumps(run).encode()
        status = None
        while status not in (200, 201):
            status = await self.send_request(user, "POST", "/v2/runs", body, 5.0)
            if status is not None:
                self.fleet.invariants.answered(
                    run["id"], status, "queued", submission=True, now=self.now()
                )
            if status not in (200, 201):
                if self.now() - began > 60:
                    self.errors["given up"] += 1
                    return self.disconnect(user)
                await asyncio.sleep(1.0)
        self.served.record_accepted(run["id"])
        if measured:
            self.submission_ms.record_value(max(1, int((self.now() - began) * 1000)))
        while any(
            (run["id"], task) not in self.fleet.invariants.done_tasks
            for task in range(run["shares"])
        ):
            await asyncio.sleep(5.0 * (0.8 + 0.4 * self.rng.random()))
            asked_at = self.now()
            status = await self.send_request(user, "GET", f"/v2/runs/{run['id']}", b"", 2.0)
            if status == 200:
                self.query_ms.record_value(max(1, int((self.now() - asked_at) * 1000)))
        self.served.record_done(run["id"], self.now())
        self.disconnect(user)

    def new_job(
        self, job_class: str, template: dict[str, Any], rng: random.Random, hot: bool = False
    ) -> dict[str, Any]:
        """Return a random job of a class; a hot job belongs to the hot team."""
        self.number += 1
        template = dict(template)
        sizes, weights, images = (
            template.pop("sizes"),
            template.pop("weights"),
            template.pop("images"),
        )
        run_s = template["expect_s"] * (0.5 + rng.random())
        owner = HOT_TEAM if hot else rng.choices(self.teams, [1.1, 1.6, 1.0][: len(self.teams)])[0]
        return cluster.job(
            self.number,
            workload=job_class,
            owner=owner,
            bundle=f"{job_class}-{rng.randrange(images)}",
            shares=rng.choices(sizes, weights)[0],
            **{**template, "expect_s": round(run_s, 1), "ram_gb": 40.0},
            yard=HOT_ZONE if hot and rng.random() < 0.7 else None,
        )

    async def generate_arrivals(
        self,
        job_class: str,
        rate: float,
        template: dict[str, Any],
        hot: bool = False,
        stream: str = "",
        for_s: float = 1e9,
    ) -> None:
        """Submit jobs at random intervals.

        The random numbers depend on the seed, the class and the stream only, so that other arrivals
        do not change them.
        """
        rng = random.Random(f"{self.seed} {job_class} {stream}")
        until = self.now() + for_s
        while self.now() < until:
            await asyncio.sleep(rng.expovariate(rate * self.times))
            self.spawn(self.run_job(self.new_job(job_class, template, rng, hot)))

    def add_hot_load(self) -> None:
        """Add the arrivals of the hot team and the burst of one class."""
        for job_class, rate, template in JOB_CLASSES:
            self.spawn(
                self.generate_arrivals(job_class, rate * HOT_RATE_FACTOR, template, True, "hot")
            )
            if job_class == BURST_CLASS:
                self.spawn(
                    self.generate_arrivals(
                        job_class, rate * BURST_RATE_FACTOR, template, False, "burst", BURST_S
                    )
                )

    async def run(self) -> None:
        """Submit a minute's arrivals at once, and then at their rates."""
        self.spawn(self.probe_readiness())
        await asyncio.sleep(3)
        for job_class, rate, template in self.job_classes:
            for _ in range(int(rate * self.times * 60)):
                self.spawn(self.run_job(self.new_job(job_class, template, self.rng)))
            self.spawn(self.generate_arrivals(job_class, rate, template))
        await asyncio.sleep(1e9)


def settings_for(times: float, sockets: int, core: float) -> Any:
    """Return the shared settings for a fleet and quotas that are `times` as large."""
    shared = cluster.shared()
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
        Objective("wait", 0.9, job_class, within)
        for job_class, targets in START_TARGETS_S.items()
        for within in targets
    ]
    shared.objectives += [
        Objective("deadline", 0.98, "note", times=1.0),
        Objective("guarantee", 0.88, within_s=10.0),
    ]
    shared.cloud.rps, shared.cloud.list_lag_s = 2.0, 3.0
    shared.machine_limits.max_connections, shared.machine_limits.core_share = sockets, core
    return shared


def table_bytes(controller: Any) -> int:
    """Return the size of the tables that grow with the fleet."""
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


async def inject_hot_faults(net: Network, fleet: Fleet, meter: Meter) -> None:
    """Restart the hot team's owner after 8 s, slow the next controller down, and stop the store.

    The next controller computes three times slower until the end of the store's outage of 15 s.
    """
    await asyncio.sleep(30)
    owner = next((n for n, c in fleet.controllers.items() if HOT_TEAM in c.owners), 0)
    net.kill(f"10.0.0.{owner}")
    meter.slowdowns[f"10.0.0.{(owner + 1) % 3}"] = 3.0
    await asyncio.sleep(8)
    fleet.boot(owner)
    await asyncio.sleep(22)
    fleet.store.down = True
    await asyncio.sleep(15)
    fleet.store.down = False
    meter.slowdowns.clear()


def measure(
    times: float,
    sockets: int,
    seconds: float,
    core: float,
    course: str = "",
    seed: int = 11,
    profile: bool = False,
    ends: list[scenarios.Crash] | None = None,
    restart_s: float = 0.3,
) -> dict[str, Any]:
    """Run one fleet and return its figures; each controller has the share `core` of a core.

    With the course `alone`, two controllers stop for good once the fleet is full.
    """
    meter = Meter(core)
    out: dict[str, Any] = {"times": times, "machines": int(MACHINES * times)}
    started_s = time.perf_counter()

    async def main(net: Network) -> None:
        shared = settings_for(times, sockets, core)
        fleet = Fleet(net, shared, int(MACHINES * times))
        for n in range(3):
            net.socket_limits[f"10.0.0.{n}"] = sockets
        await fleet.start()
        users = Users(fleet, times, seed)
        virtual_time.spawn(net, "users", users.run())
        await asyncio.sleep(75)
        if course == "alone":
            for n in (1, 2):
                net.kill(f"10.0.0.{n}")
                fleet.controllers.pop(n)
        users.measuring = True
        if course.startswith("hot"):
            users.add_hot_load()
        if ends:
            users.spawn(scenarios.crash_and_restart(net, fleet, ends, restart_s))
        gaps = (
            scenarios.FailoverTimer(
                net,
                fleet,
                restart_s,
                lambda host, s: meter.busy_until_s.update({host: users.now() + s}),
            )
            if course == "duties"
            else None
        )
        if gaps:
            users.spawn(gaps.run())
        if course == "hot-rough":
            users.spawn(inject_hot_faults(net, fleet, meter))
        meter.profile = cProfile.Profile() if profile else None
        cpu_before, measured_from = dict(meter.cpu_s), users.now()
        requests_before, writes_before = fleet.store.request_count, fleet.store.write_count
        starts_before = fleet.invariants.start_count
        writes_by_kind: Counter[str] = Counter()

        def count_writes(writes: list[dict[str, Any]]) -> None:
            for write in writes:
                path = (write.get("set") or write["delete"]).split("/")
                writes_by_kind[
                    ("" if "set" in write else "delete ")
                    + path[0]
                    + (" head" if path[-1] == "job" else "")
                ] += 1

        fleet.store.on_transaction = count_writes
        for step in range(int(seconds / 5)):
            await asyncio.sleep(5)
            print(
                f"  {times:g} times: {users.now():.0f} s, {fleet.invariants.start_count} starts, "
                f"{fleet.killed_tasks} killed, GPUs {format_team_usage(fleet)}, "
                f"{time.perf_counter() - started_s:.0f} s of real time, step {step}",
                flush=True,
            )
        elapsed_s = users.now() - measured_from
        cores = [
            (meter.cpu_s[host] - cpu_before.get(host, 0.0)) / elapsed_s
            for host in sorted(meter.cpu_s)
            if host.startswith("10.0.0.")
        ]
        alive = list(fleet.controllers.values())
        rows = users.served.counts(users.now())
        out.update(
            gaps=gaps.rows if gaps else [],
            machines_rented=sum(map(len, fleet.cloud.machines_by_intent.values())),
            jobs=len(
                [
                    j
                    for j in fleet.invariants.jobs
                    if any(
                        (j, t) not in fleet.invariants.done_tasks
                        for t in range(fleet.invariants.jobs[j]["shares"])
                    )
                ]
            ),
            core_mean=sum(cores) / len(cores),
            core_most=max(cores),
            mb=max(table_bytes(c) for c in alive) / 2**20,
            requests=(fleet.store.request_count - requests_before) / elapsed_s,
            writes=(fleet.store.write_count - writes_before) / elapsed_s,
            served={
                " ".join(name): [*row, round(row.attainment, 3)]
                for name, row in sorted(rows.items())
            },
            worst=users.served.worst(users.now()),
            jain=round(
                jain(row.attainment for (kind, _), row in rows.items() if kind == "team"), 4
            ),
            starts=(fleet.invariants.start_count - starts_before) / elapsed_s,
            written={
                kind: round(number / elapsed_s, 2) for kind, number in writes_by_kind.most_common()
            },
            killed=fleet.killed_tasks,
            broken=fleet.invariants.violations[:5],
            submissions=users.submission_ms.get_total_count(),
            p50_ms=users.submission_ms.get_value_at_percentile(50),
            p99_ms=users.submission_ms.get_value_at_percentile(99),
            within_1s=share_within(users.submission_ms, 1000),
            asked_p99_ms=users.query_ms.get_value_at_percentile(99),
            errors=dict(users.errors),
            sockets=max(net.max_sockets.get(f"10.0.0.{n}", 0) for n in range(3)),
            refused=net.refused_connections,
            late_s=max(
                (
                    c.admission.processor.late_s(users.now())
                    for c in alive
                    if hasattr(c, "admission")
                ),
                default=0.0,
            ),
            longest_s=fleet.longest_gap_s(),
            real_s=time.perf_counter() - started_s,
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


def format_team_usage(fleet: Fleet) -> str:
    """Format the GPUs that each team uses, its machines and the number of all workers."""
    machines_by_team = {
        team: len(owner.shard.machines)
        for c in fleet.controllers.values()
        for team, owner in c.owners.items()
        if owner.shard
    }
    return (
        " ".join(
            f"{team} {fleet.invariants.used_gpus.get(team, 0.0):.0f} of {machines_by_team.get(team, 0)}"
            for team, _, _ in TEAMS
        )
        + f" of {len(fleet.cloud.workers)}"
    )


def share_within(histogram: HdrHistogram, ms: int) -> float:
    """Return the share of a histogram's values of at most `ms`; 1 if it is empty."""
    total = histogram.get_total_count()
    return (
        sum(
            step.count_added_in_this_iter_step
            for step in histogram.get_recorded_iterator()
            if step.value_iterated_to <= ms
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


def format_table(rows: list[dict[str, Any]]) -> str:
    """Format the figures as a Markdown table, one row per fleet size."""
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
    """Write a plot of cores and memory by machines, with the figures of an earlier run."""
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
    """Run the command line; exits with 1 on low attainment, with 2 on bad arguments."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument(
        "what",
        choices=["grow", "full", "alone", "calm", "hot", "hot-rough", "wide", "duties", "cost"],
    )
    parser.add_argument("--times", type=float, nargs="+", default=[1, 2, 4, 8])
    parser.add_argument("--sockets", type=int, default=1200)
    parser.add_argument("--seconds", type=float, help="simulated, after 75 s to fill the fleet")
    parser.add_argument("--seed", type=int, default=11)
    parser.add_argument(
        "--core", type=float, default=0.504, help="each controller's share of a core"
    )
    parser.add_argument(
        "--restart",
        type=float,
        default=0.3,
        help="seconds until an ended controller is back (wide)",
    )
    parser.add_argument(
        "--ends", default="5,8,12,30:all,33:all,60", help="seconds after the fleet is full (wide)"
    )
    parser.add_argument("--plot")
    parser.add_argument(
        "--profile", action="store_true", help="print where the controllers' processor time goes"
    )
    parser.add_argument("--save")
    parser.add_argument("--before")
    parser.add_argument(
        "--shape",
        action="append",
        default=[],
        help=f"of {', '.join(cost.SHAPES)} (cost); none: all",
    )
    parser.add_argument(
        "--course",
        action="append",
        default=[],
        help=f"of {', '.join(cost.COURSES)} (cost); none: all",
    )
    options = parser.parse_args()
    if (
        min(options.times) <= 0
        or options.restart <= 0
        or (options.seconds is not None and options.seconds <= 0)
    ):
        scenarios.exit_with_usage_error("--times, --restart, --seconds: expected numbers above 0")
    for flag, given, known in (
        ("--shape", options.shape, cost.SHAPES),
        ("--course", options.course, cost.COURSES),
    ):
        if set(given) - set(known):
            scenarios.exit_with_usage_error(
                f"{flag}: expected some of {', '.join(known)}; "
                f"found {', '.join(sorted(set(given) - set(known)))}"
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
        ends = scenarios.parse_crashes(options.ends) if options.what == "wide" else []
    except ValueError as error:
        scenarios.exit_with_usage_error(str(error))
    if options.what == "grow":
        seconds = options.seconds or 60.0
        # Enough sockets that only processor time and memory limit the fleet.
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
        print(format_table(rows))
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
