"""Thousands of machines, light enough to simulate: the stand-ins' workers with a timer where those look again and again."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from ashdock.controller import Controller
from ashdock.net.http import Server, undivided_connections
from ashdock.settings import ExternalServices, Operators, OtherController, Settings, Shared
from tests.rules import Rules
from tests.simtime import Net, spawn
from tests.standins import CLOUD, STATE, State, Worker, World

ZONES = ["a", "b", "c"]


class FleetWorker(Worker):
    world: FleetWorld
    waited = 0.0  # the longest that it went without a good answer

    async def run(self) -> None:
        self.renewed = self.now()
        await Server(self.handle, undivided_connections(50, 600.0, 600.0)).start(self.host, 9000)
        loop = asyncio.get_running_loop()
        loop.call_at(self.renewed + self.world.lease_s, self._expired)
        nodes = list(self.world.nodes)
        at = self.world.rng.randrange(len(nodes))
        while not self.dead:
            before = self.renewed
            pause = await self._report(nodes[at % len(nodes)])
            self.waited = max(self.waited, self.renewed - before)
            if isinstance(pause, str):
                at = nodes.index(pause)
                await asyncio.sleep(0.25)
                continue
            if pause:
                at += 1
                await asyncio.sleep(pause)
                continue
            self.change.clear()
            await asyncio.sleep(0.5)
            try:
                async with asyncio.timeout(
                    self.world.report_s * (0.75 + 0.5 * self.world.rng.random()) - 0.5
                ):
                    await self.change.wait()
            except TimeoutError:
                pass

    def _expired(self) -> None:
        if self.dead:
            return
        loop = asyncio.get_running_loop()
        if self.now() - self.renewed >= self.world.lease_s:
            running = [key for key, task in self.shares.items() if task["status"] != "ended"]
            self.world.killed += len(running)
            for share, attempt in list(self.shares):
                self._gone(share, attempt)
            self.shares.clear()
            self.tenure += 1
            self.renewed = self.now()
            self.change.set()
        loop.call_at(self.renewed + self.world.lease_s + 1e-3, self._expired)

    async def _work(
        self, share: str, attempt: int, run: dict[str, Any], task: dict[str, Any]
    ) -> None:
        job, number = share.rsplit("/", 1)
        if run["bundle"] not in self.images:
            await asyncio.sleep(run["size_gb"] / 0.6)
        if task["status"] != "pulling":
            return
        self.images.add(run["bundle"])
        self.world.rules.started(job, int(number), self.place(attempt), self.now())
        if run["shape"] == "ensemble":
            task["status"] = "waiting"
            self.change.set()
            mates = self.world.meeting.setdefault((job, attempt), [])
            mates.append((self, share, task))
            if len(mates) < run["shares"]:
                return  # the last to come starts them all, and ends them
            del self.world.meeting[job, attempt]
            self.world.running[job, attempt] = mates
            for mate, _, theirs in mates:
                theirs["status"] = "running"
                mate.change.set()
            await asyncio.sleep(run["expect_s"])
            if self.world.running.pop((job, attempt), None) is not None:
                for mate, its, _ in mates:
                    mate._exit(its, attempt, "done")
            return
        task["status"] = "running"
        self.change.set()
        await asyncio.sleep(run["expect_s"])
        if (
            (share, attempt) in self.shares
            and self.shares[share, attempt] is task
            and task["status"] == "running"
        ):
            self._exit(share, attempt, "done")

    def _gone(self, share: str, attempt: int, done: bool = False) -> None:
        super()._gone(share, attempt, done)
        job = share.rsplit("/", 1)[0]
        if not done:
            waiting = self.world.meeting.get((job, attempt))
            if waiting is not None:
                waiting[:] = [mate for mate in waiting if mate[0] is not self]
            for mate, its, task in self.world.running.pop((job, attempt), ()):
                if mate is not self and task["status"] == "running":
                    asyncio.get_running_loop().call_later(2.0, mate._mates_gone, its, attempt)

    def _mates_gone(self, share: str, attempt: int) -> None:
        task = self.shares.get((share, attempt))
        if task is not None and task["status"] != "ended":
            self._exit(share, attempt, "mates_gone")


class FleetWorld(World):
    def __init__(self, *words: Any) -> None:
        super().__init__(*words)
        self.keep = 1
        self.killed = 0  # tasks, by their workers' leases
        self.meeting: dict[tuple[str, int], list[Any]] = {}
        self.running: dict[tuple[str, int], list[Any]] = {}

    def worker(self, *words: Any) -> Worker:
        return FleetWorker(self, *words)


class Fleet:
    """Three controllers and their machines, all up from the start."""

    def __init__(self, net: Net, shared: Shared, machines: int) -> None:
        self.net = net
        self.shared = shared
        self.rng = random.Random(net.rng.random())
        self.rules = Rules(
            shared.workers.cancel_s, {team.name: team.gpus_max for team in shared.teams}
        )
        self.state = State(net)
        nodes = {f"n{n}": f"10.0.0.{n}" for n in range(3)}
        self.world = FleetWorld(
            net, self.rules, nodes, ZONES, machines, shared.workers.lease_s, shared.workers.report_s
        )
        self.machines = machines
        self.controllers: dict[int, Controller] = {}

    @property
    def killed(self) -> int:
        return self.world.killed

    def longest(self) -> float:
        """The longest that any worker went without a good answer."""
        return max(
            (
                worker.waited
                for worker in self.world.workers.values()
                if isinstance(worker, FleetWorker)
            ),
            default=0.0,
        )

    async def start(self) -> None:
        spawn(self.net, STATE, self.state.start())
        spawn(self.net, CLOUD, self.world.start())
        await asyncio.sleep(0.01)
        for n in range(self.machines):
            self.world.boot(ZONES[n % 3], False, self.rng.random() * self.shared.workers.report_s)
        for n in range(3):
            self.boot(n)

    def boot(self, n: int) -> None:
        others = [
            OtherController(f"n{k}", f"10.0.0.{k}:8081", ZONES[k]) for k in range(3) if k != n
        ]
        told = Settings(
            f"n{n}",
            ZONES[n],
            f"10.0.0.{n}:8080",
            f"10.0.0.{n}:8081",
            ExternalServices(f"{CLOUD}:8443", f"{STATE}:2379"),
            self.shared,
            others,
            Operators(),
        )
        self.controllers[n] = controller = Controller(told, random.Random(self.rng.random()))
        spawn(self.net, f"10.0.0.{n}", controller.run())
