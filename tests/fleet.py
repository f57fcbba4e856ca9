"""A cluster with thousands of machines, whose workers are cheap enough to simulate.

They use timers where those of `tests/fakes.py` poll, and a gang has one timer for all its tasks.
"""

from __future__ import annotations

import asyncio
import random
from typing import Any

from ashdock.controller import Controller
from ashdock.net.http import Server, undivided_connections
from ashdock.settings import ExternalServices, Operators, OtherController, Settings, Shared
from tests.fakes import CLOUD_HOST, STORE_HOST, FakeCloud, FakeStore, FakeWorker
from tests.invariants import InvariantChecker
from tests.virtual_time import Network, spawn

ZONES = ["a", "b", "c"]


class FleetWorker(FakeWorker):
    """A worker without polling, which measures how long it is without a lease renewal."""

    cloud: FleetCloud
    longest_gap_s = 0.0  # between two renewals of its lease

    async def run(self) -> None:
        """Send heartbeats to one controller after the other until the worker is stopped."""
        self.lease_renewed_at = self.now()
        await Server(self.handle, undivided_connections(50, 600.0, 600.0)).start(self.host, 9000)
        loop = asyncio.get_running_loop()
        loop.call_at(self.lease_renewed_at + self.cloud.lease_s, self._check_lease)
        nodes = list(self.cloud.nodes)
        at = self.cloud.rng.randrange(len(nodes))
        while not self.stopped:
            previous_renewal_at = self.lease_renewed_at
            pause = await self._send_heartbeat(nodes[at % len(nodes)])
            self.longest_gap_s = max(
                self.longest_gap_s, self.lease_renewed_at - previous_renewal_at
            )
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
            running_tasks = [key for key, task in self.tasks.items() if task["status"] != "ended"]
            self.cloud.killed_tasks += len(running_tasks)
            for task_id, attempt in list(self.tasks):
                self._remove_task(task_id, attempt)
            self.tasks.clear()
            self.incarnation += 1
            self.lease_renewed_at = self.now()
            self.status_changed.set()
        loop.call_at(self.lease_renewed_at + self.cloud.lease_s + 1e-3, self._check_lease)

    async def _run_task(
        self, task_id: str, attempt: int, spec: dict[str, Any], task: dict[str, Any]
    ) -> None:
        job, number = task_id.rsplit("/", 1)
        if spec["bundle"] not in self.images:
            await asyncio.sleep(spec["size_gb"] / 0.6)
        if task["status"] != "pulling":
            return
        self.images.add(spec["bundle"])
        self.cloud.invariants.task_started(job, int(number), self.placement(attempt), self.now())
        if spec["shape"] == "ensemble":
            task["status"] = "waiting"
            self.status_changed.set()
            peers = self.cloud.waiting_gangs.setdefault((job, attempt), [])
            peers.append((self, task_id, task))
            if len(peers) < spec["shares"]:
                return  # the task that is ready last starts and ends the whole gang
            del self.cloud.waiting_gangs[job, attempt]
            self.cloud.running_tasks_by_gang[job, attempt] = peers
            for peer, _, peer_task in peers:
                peer_task["status"] = "running"
                peer.status_changed.set()
            await asyncio.sleep(spec["expect_s"])
            if self.cloud.running_tasks_by_gang.pop((job, attempt), None) is not None:
                for peer, peer_id, _ in peers:
                    peer._end_task(peer_id, attempt, "done")
            return
        task["status"] = "running"
        self.status_changed.set()
        await asyncio.sleep(spec["expect_s"])
        if (
            (task_id, attempt) in self.tasks
            and self.tasks[task_id, attempt] is task
            and task["status"] == "running"
        ):
            self._end_task(task_id, attempt, "done")

    def _remove_task(self, task_id: str, attempt: int, done: bool = False) -> None:
        super()._remove_task(task_id, attempt, done)
        job = task_id.rsplit("/", 1)[0]
        if not done:
            waiting_peers = self.cloud.waiting_gangs.get((job, attempt))
            if waiting_peers is not None:
                waiting_peers[:] = [peer for peer in waiting_peers if peer[0] is not self]
            for peer, peer_id, task in self.cloud.running_tasks_by_gang.pop((job, attempt), ()):
                if peer is not self and task["status"] == "running":
                    asyncio.get_running_loop().call_later(
                        2.0, peer._end_peer_task, peer_id, attempt
                    )

    def _end_peer_task(self, task_id: str, attempt: int) -> None:
        task = self.tasks.get((task_id, attempt))
        if task is not None and task["status"] != "ended":
            self._end_task(task_id, attempt, "mates_gone")


class FleetCloud(FakeCloud):
    """A cloud whose machines run `FleetWorker`."""

    def __init__(self, *arguments: Any) -> None:
        """Create a cloud without machines; the arguments are those of `FakeCloud`."""
        super().__init__(*arguments)
        self.kept_connections = 1
        self.killed_tasks = 0  # because the lease of their worker expired
        self.waiting_gangs: dict[tuple[str, int], list[Any]] = {}
        self.running_tasks_by_gang: dict[tuple[str, int], list[Any]] = {}

    def worker(self, *arguments: Any) -> FakeWorker:
        """Create the worker of a new machine."""
        return FleetWorker(self, *arguments)


class Fleet:
    """Three controllers and their machines, all rented from the start."""

    def __init__(self, net: Network, shared: Shared, machines: int) -> None:
        """Create a fleet of `machines` machines that is not started yet."""
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
        """Number of tasks that ended because the lease of their worker expired."""
        return self.cloud.killed_tasks

    def longest_gap_s(self) -> float:
        """Return the longest time in seconds between two lease renewals of any worker."""
        return max(
            (
                worker.longest_gap_s
                for worker in self.cloud.workers.values()
                if isinstance(worker, FleetWorker)
            ),
            default=0.0,
        )

    async def start(self) -> None:
        """Start the fakes, the controllers and all machines."""
        spawn(self.net, STORE_HOST, self.store.start())
        spawn(self.net, CLOUD_HOST, self.cloud.start())
        await asyncio.sleep(0.01)
        for n in range(self.machines):
            self.cloud.boot(ZONES[n % 3], False, self.rng.random() * self.shared.workers.report_s)
        for n in range(3):
            self.boot(n)

    def boot(self, n: int) -> None:
        """Start controller n."""
        others = [
            OtherController(f"n{k}", f"10.0.0.{k}:8081", ZONES[k]) for k in range(3) if k != n
        ]
        settings = Settings(
            f"n{n}",
            ZONES[n],
            f"10.0.0.{n}:8080",
            f"10.0.0.{n}:8081",
            ExternalServices(f"{CLOUD_HOST}:8443", f"{STORE_HOST}:2379"),
            self.shared,
            others,
            Operators(),
        )
        self.controllers[n] = controller = Controller(settings, random.Random(self.rng.random()))
        spawn(self.net, f"10.0.0.{n}", controller.run())
