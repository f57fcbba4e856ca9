"""A whole service in simulated time: three controllers, the stand-ins, users, and the rules watching."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from typing import Any

from ashdock.controller import Controller
from ashdock.net.http import Client, NoResponseError
from ashdock.settings import (
    CloudLimits,
    ExternalServices,
    MachineLimits,
    NextLimits,
    Operators,
    OtherController,
    Settings,
    Shared,
    StateLimits,
    Team,
    Workers,
)
from tests.rules import Rules
from tests.simtime import Net, spawn
from tests.standins import CLOUD, STATE, State, World

ZONES = ["a", "b", "c"]
TEAMS = [Team("red", gpus=8, gpus_max=24), Team("blue", gpus=8, gpus_max=16)]


def shared() -> Shared:
    return Shared(
        size=3,
        zones=ZONES,
        teams=TEAMS,
        workers=Workers(1.0, 6.0, 12.0, 3.0, 20.0),
        state=StateLimits(200, 200, 8.0, 48),
        cloud=CloudLimits(10, 1.0),
        machine_limits=MachineLimits(1.0, 256, 400),
    )


def settings(n: int, later: NextLimits | None = None) -> Settings:
    common = shared()
    common.state.next = later
    others = [OtherController(f"n{k}", f"10.0.0.{k}:8081", "a") for k in range(3) if k != n]
    return Settings(
        f"n{n}",
        ZONES[n],
        f"10.0.0.{n}:8080",
        f"10.0.0.{n}:8081",
        ExternalServices(f"{CLOUD}:8443", f"{STATE}:2379"),
        common,
        others,
        Operators(),
    )


def job(number: int, **more: Any) -> dict[str, Any]:
    run: dict[str, Any] = {
        "id": f"req-{number:06d}",
        "workload": "w",
        "owner": "red",
        "shape": "sweep",
        "urgency": "standard",
        "shares": 4,
        "cpus": 1.0,
        "accelerators": 1.0,
        "ram_gb": 1.0,
        "bundle": "img",
        "size_gb": 2.0,
        "hulls": None,
        "yard": None,
        "same_place": False,
        "spread": False,
        "loaners": False,
        "expect_s": 8.0,
        "snapshot_s": 0.0,
        "flush_s": 0.0,
        "due_s": None,
    }
    return run | more


class Service:
    def __init__(
        self, net: Net, machines: int = 4, capacity: int = 8, later: NextLimits | None = None
    ) -> None:
        self.net = net
        self.later = later
        self.rng = random.Random(net.rng.random())
        limits = {team.name: team.gpus_max for team in TEAMS}
        self.rules = Rules(shared().workers.cancel_s, limits)
        self.state = State(net)
        nodes = {f"n{n}": f"10.0.0.{n}" for n in range(3)}
        self.world = World(net, self.rules, nodes, ZONES, capacity, 6.0, 1.0)
        self.machines = machines
        self.controllers: dict[int, Controller] = {}
        self.answers: dict[str, dict[str, Any]] = {}
        self.limit = 400  # sockets of a controller
        self.doors = [0, 1, 2]  # controllers that users reach
        self.heard: list[
            Callable[[str, str], None]
        ] = []  # called with each job and what a user was just told of it for the first time
        self.words: set[tuple[str, str]] = set()  # that were told so

    async def start(self) -> None:
        spawn(self.net, STATE, self.state.start())
        spawn(self.net, CLOUD, self.world.start())
        spawn(self.net, "users", self._watch_rules())
        await asyncio.sleep(0.01)
        for n in range(self.machines):
            self.world.boot(ZONES[n % 3], False, 0.0)
        for n in range(3):
            self.boot(n)

    async def _watch_rules(self) -> None:
        while True:
            await asyncio.sleep(0.5)
            self.rules.tick(self.now())

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def boot(self, n: int) -> None:
        told = settings(n, self.later)
        told.settings.machine_limits.max_connections = self.limit
        controller = Controller(told, random.Random(self.rng.random()))
        self.controllers[n] = controller
        spawn(self.net, f"10.0.0.{n}", controller.run())

    def crash(self, n: int, back_after: float = 2.0) -> None:
        self.net.kill(f"10.0.0.{n}")
        self.controllers.pop(n, None)

        async def back() -> None:
            await asyncio.sleep(back_after)
            self.boot(n)

        spawn(self.net, "users", back())

    def _heard(self, job_id: str, word: str) -> None:
        if (job_id, word) not in self.words:
            self.words.add((job_id, word))
            for act in self.heard:
                act(job_id, word)

    async def call(
        self, method: str, target: str, body: bytes, timeout: float, door: int | None = None
    ) -> tuple[int, dict[str, Any]] | None:
        client = Client(
            f"10.0.0.{self.rng.choice(self.doors) if door is None else door}", 8080, max_idle=0
        )
        try:
            status, answer = await client.request(method, target, body, timeout)
        except NoResponseError:
            return None
        return status, json.loads(answer or b"{}")

    @staticmethod
    def body_of(run: dict[str, Any]) -> bytes:
        return json.dumps(
            {key: value for key, value in run.items() if key not in ("fails", "spans")}
        ).encode()

    async def _submitted(self, run: dict[str, Any], door: int | None = None) -> int | None:
        asked = self.now()
        got = await self.call("POST", "/v2/runs", self.body_of(run), 5.0, door)
        if got is None:
            return None
        self.rules.answered(
            run["id"], got[0], got[1].get("status"), submission=True, now=self.now(), asked=asked
        )
        if got[0] in (200, 201):
            self._heard(run["id"], "accepted")
        return got[0]

    async def submit(self, run: dict[str, Any]) -> int:
        """As a user does it: the same submission until it is answered for good."""
        self.rules.submitted(run)
        for _ in range(60):
            status = await self._submitted(run)
            if status in (200, 201, 400, 422):
                return status
            await asyncio.sleep(1.0)
        return 0

    async def repeat(self, job_id: str, door: int | None = None) -> int | None:
        """The same submission once more, at that controller."""
        return await self._submitted(self.rules.jobs[job_id], door)

    async def poll(self, job_id: str, door: int | None = None) -> str | None:
        asked = self.now()
        got = await self.call("GET", f"/v2/runs/{job_id}", b"", 2.0, door)
        self.rules.asked(job_id, got is not None and got[0] in (200, 404), self.now())
        if not got:
            return None
        self.rules.answered(job_id, got[0], got[1].get("status"), now=self.now(), asked=asked)
        if got[0] == 200:
            self.answers[job_id] = got[1]
            if got[1]["status"] in ("done", "withdrawn"):
                self._heard(job_id, got[1]["status"])
        return got[1].get("status") if got[0] == 200 else str(got[0])

    async def withdraw(self, job_id: str, door: int | None = None) -> str | None:
        self.rules.asked_to_cancel.add(job_id)
        for _ in range(40):
            asked = self.now()
            got = await self.call("POST", f"/v2/runs/{job_id}/withdraw", b"", 5.0, door)
            if got and got[0] == 200:
                self.rules.answered(job_id, 200, got[1]["status"], now=self.now(), asked=asked)
                self._heard(job_id, got[1]["status"])
                return str(got[1]["status"])
            if got:
                self.rules.answered(job_id, got[0], None, now=self.now(), asked=asked)
            await asyncio.sleep(1.0)
        return None

    async def until_final(self, jobs: list[str], within: float) -> list[str]:
        """Polls until all are over; the ones that are not in time."""
        until = self.now() + within
        left = list(jobs)
        while left and self.now() < until:
            await asyncio.sleep(1.0)
            left = [
                job_id for job_id in left if await self.poll(job_id) not in ("done", "withdrawn")
            ]
        return left
