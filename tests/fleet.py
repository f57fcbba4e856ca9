"""Thousands of machines, light enough to simulate: the stand-ins' workers with a timer where those look again and again."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from ashdock.controller import Controller
from ashdock.net.http import Server, plain_connections
from ashdock.settings import Operators, Other, Outside, Settings, Shared
from tests.fakes import CLOUD_HOST, STORE_HOST, FakeCloud, FakeStore, FakeWorker
from tests.invariants import InvariantChecker
from tests.virtual_time import Network, spawn

ZONES = ["a", "b", "c"]


class FleetWorker(FakeWorker):
    cloud: FleetCloud
    longest_gap_s = 0.0  # the longest that it went without a good answer

    async def run(self) -> None:
        self.lease_renewed_at = self.now()
        await Server(self.handle, plain_connections(50, 600.0, 600.0)).start(self.host, 9000)
        loop = asyncio.get_running_loop()
        loop.call_at(self.lease_renewed_at + self.cloud.lease_s, self._check_lease)
        nodes = list(self.cloud.nodes)
        at = self.cloud.rng.randrange(len(nodes))
        while not self.stopped:
            before = self.lease_renewed_at
            pause = await self._send_heartbeat(nodes[at % len(nodes)])
            self.longest_gap_s = max(self.longest_gap_s, self.lease_renewed_at - before)
            if isinstance(pause, str):
                at = nodes.index(pause)
                await asyncio.sleep(0.25)
                continue
            if pause:
                at += 1
                await asyncio.sleep(pause)
                continue
            self.status_changed.clear()
            await asyncio.sleep(0.5)
            try:
                async with asyncio.timeout(
                    self.cloud.report_s * (0.75 + 0.5 * self.cloud.rng.random()) - 0.5
                ):
                    await self.status_changed.wait()
            except TimeoutError:
                pass

    def _check_lease(self) -> None:
        if self.stopped:
            return
        loop = asyncio.get_running_loop()
        if self.now() - self.lease_renewed_at >= self.cloud.lease_s:
            running = [key for key, task in self.tasks.items() if task["status"] != "ended"]
            self.cloud.killed_tasks += len(running)
            for share, attempt in list(self.tasks):
                self._remove_task(share, attempt)
            self.tasks.clear()
            self.incarnation += 1
            self.lease_renewed_at = self.now()
            self.status_changed.set()
        loop.call_at(self.lease_renewed_at + self.cloud.lease_s + 1e-3, self._check_lease)

    async def _run_task(
        self, share: str, attempt: int, run: dict[str, Any], task: dict[str, Any]
    ) -> None:
        job, number = share.rsplit("/", 1)
        if run["bundle"] not in self.images:
            await asyncio.sleep(run["size_gb"] / 0.6)
        if task["status"] != "pulling":
            return
        self.images.add(run["bundle"])
        self.cloud.invariants.task_started(job, int(number), self.placement(attempt), self.now())
        if run["shape"] == "ensemble":
            task["status"] = "waiting"
            self.status_changed.set()
            mates = self.cloud.waiting_gangs.setdefault((job, attempt), [])
            mates.append((self, share, task))
            if len(mates) < run["shares"]:
                return  # the last to come starts them all, and ends them
            del self.cloud.waiting_gangs[job, attempt]
            self.cloud.running_tasks_by_gang[job, attempt] = mates
            for mate, _, theirs in mates:
                theirs["status"] = "running"
                mate.status_changed.set()
            await asyncio.sleep(run["expect_s"])
            if self.cloud.running_tasks_by_gang.pop((job, attempt), None) is not None:
                for mate, its, _ in mates:
                    mate._end_task(its, attempt, "done")
            return
        task["status"] = "running"
        self.status_changed.set()
        await asyncio.sleep(run["expect_s"])
        if (
            (share, attempt) in self.tasks
            and self.tasks[share, attempt] is task
            and task["status"] == "running"
        ):
            self._end_task(share, attempt, "done")

    def _remove_task(self, share: str, attempt: int, done: bool = False) -> None:
        super()._remove_task(share, attempt, done)
        job = share.rsplit("/", 1)[0]
        if not done:
            waiting = self.cloud.waiting_gangs.get((job, attempt))
            if waiting is not None:
                waiting[:] = [mate for mate in waiting if mate[0] is not self]
            for mate, its, task in self.cloud.running_tasks_by_gang.pop((job, attempt), ()):
                if mate is not self and task["status"] == "running":
                    asyncio.get_running_loop().call_later(2.0, mate._end_peer_task, its, attempt)

    def _end_peer_task(self, share: str, attempt: int) -> None:
        task = self.tasks.get((share, attempt))
        if task is not None and task["status"] != "ended":
            self._end_task(share, attempt, "mates_gone")


class FleetCloud(FakeCloud):
    def __init__(self, *words: Any) -> None:
        super().__init__(*words)
        self.kept_connections = 1
        self.killed_tasks = 0  # tasks, by their workers' leases
        self.waiting_gangs: dict[tuple[str, int], list[Any]] = {}
        self.running_tasks_by_gang: dict[tuple[str, int], list[Any]] = {}

    def worker(self, *words: Any) -> FakeWorker:
        return FleetWorker(self, *words)


class Fleet:
    """Three controllers and their machines, all up from the start."""

    def __init__(self, net: Network, shared: Shared, machines: int) -> None:
        self.net = net
        self.shared = shared
        self.rng = random.Random(net.rng.random())
        self.invariants = InvariantChecker(
            shared.workers.cancel_s, {team.name: team.gpus_max for team in shared.teams}
        )
        self.store = FakeStore(net)
        nodes = {f"n{n}": f"10.0.0.{n}" for n in range(3)}
        self.cloud = FleetCloud(
            net,
            self.invariants,
            nodes,
            ZONES,
            machines,
            shared.workers.lease_s,
            shared.workers.report_s,
        )
        self.machines = machines
        self.controllers: dict[int, Controller] = {}

    @property
    def killed_tasks(self) -> int:
        return self.cloud.killed_tasks

    def longest_gap_s(self) -> float:
        """The longest that any worker went without a good answer."""
        return max(
            (
                worker.longest_gap_s
                for worker in self.cloud.workers.values()
                if isinstance(worker, FleetWorker)
            ),
            default=0.0,
        )

    async def start(self) -> None:
        spawn(self.net, STORE_HOST, self.store.start())
        spawn(self.net, CLOUD_HOST, self.cloud.start())
        await asyncio.sleep(0.01)
        for n in range(self.machines):
            self.cloud.boot(ZONES[n % 3], False, self.rng.random() * self.shared.workers.report_s)
        for n in range(3):
            self.boot(n)

    def boot(self, n: int) -> None:
        others = [Other(f"n{k}", f"10.0.0.{k}:8081", ZONES[k]) for k in range(3) if k != n]
        told = Settings(
            f"n{n}",
            ZONES[n],
            f"10.0.0.{n}:8080",
            f"10.0.0.{n}:8081",
            Outside(f"{CLOUD_HOST}:8443", f"{STORE_HOST}:2379"),
            self.shared,
            others,
            Operators(),
        )
        self.controllers[n] = controller = Controller(told, random.Random(self.rng.random()))
        spawn(self.net, f"10.0.0.{n}", controller.run())
