"""A cluster in virtual time: three controllers, the fakes, users, and the invariant checker."""

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
from tests.fakes import CLOUD_HOST, STORE_HOST, FakeCloud, FakeStore
from tests.invariants import InvariantChecker
from tests.virtual_time import Network, spawn

ZONES = ["a", "b", "c"]
TEAMS = [Team("red", gpus=8, gpus_max=24), Team("blue", gpus=8, gpus_max=16)]


def shared() -> Shared:
    """Return the settings that all controllers share."""
    return Shared(
        size=3,
        zones=ZONES,
        teams=TEAMS,
        workers=Workers(1.0, 6.0, 12.0, 3.0, 20.0),
        state=StateLimits(200, 200, 8.0, 48),
        cloud=CloudLimits(10, 1.0),
        machine_limits=MachineLimits(1.0, 256, 400),
    )


def settings(n: int, next_limits: NextLimits | None = None) -> Settings:
    """Return the settings of controller n, with the smaller store limits that are announced."""
    common = shared()
    common.state.next = next_limits
    others = [OtherController(f"n{k}", f"10.0.0.{k}:8081", "a") for k in range(3) if k != n]
    return Settings(
        f"n{n}",
        ZONES[n],
        f"10.0.0.{n}:8080",
        f"10.0.0.{n}:8081",
        ExternalServices(f"{CLOUD_HOST}:8443", f"{STORE_HOST}:2379"),
        common,
        others,
        Operators(),
    )


def job(number: int, **more: Any) -> dict[str, Any]:
    """Return a submission with defaults; `more` replaces or adds fields.

    Two fields are for the fake workers only and are not sent: `fails`, how many attempts exit with
    an error, and `spans`, how long tasks run, by number, in seconds.
    """
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
    """Three controllers with a fake store, cloud and workers, and the requests of their users.

    The answers to submissions, status requests and cancellations are checked by the invariants.
    """

    def __init__(
        self,
        net: Network,
        machines: int = 4,
        capacity: int = 8,
        later: NextLimits | None = None,
        write_rps: float | None = None,
    ) -> None:
        """Create a cluster that is not started yet.

        Args:
            net: The network that all hosts are on.
            machines: How many machines are rented from the start.
            capacity: The most machines that may be rented at once.
            later: The smaller limits of the store that the settings announce.
            write_rps: Puts and deletes per second that the store accepts, as the settings say; None
                for those of `shared` and a store that accepts any number.
        """
        self.net = net
        self.next_limits = later
        self.rng = random.Random(net.rng.random())
        limits = {team.name: team.gpus_max for team in TEAMS}
        self.invariants = InvariantChecker(shared().workers.cancel_s, limits)
        self.write_rps = write_rps
        self.store = FakeStore(net)
        self.store.write_rps = write_rps
        nodes = {f"n{n}": f"10.0.0.{n}" for n in range(3)}
        self.cloud = FakeCloud(net, self.invariants, nodes, ZONES, capacity, 6.0, 1.0)
        self.machines = machines
        self.controllers: dict[int, Controller] = {}
        self.last_answers: dict[str, dict[str, Any]] = {}  # to status requests, by job
        self.max_connections = 400  # open connections of a controller
        self.entry_points = [0, 1, 2]  # numbers of the controllers that users ask
        # Called with a job and its state when a user is told of that state for the first time.
        self.on_first_told: list[Callable[[str, str], None]] = []
        self.told: set[tuple[str, str]] = set()  # (job, state)

    async def start(self) -> None:
        """Start the fakes and the controllers; all machines are up at once."""
        spawn(self.net, STORE_HOST, self.store.start())
        spawn(self.net, CLOUD_HOST, self.cloud.start())
        spawn(self.net, "users", self._check_invariants())
        await asyncio.sleep(0.01)
        for n in range(self.machines):
            self.cloud.boot(ZONES[n % 3], False, 0.0)
        for n in range(3):
            self.boot(n)

    async def _check_invariants(self) -> None:
        while True:
            await asyncio.sleep(0.5)
            self.invariants.tick(self.now())

    def now(self) -> float:
        """Return the virtual time in seconds."""
        return asyncio.get_running_loop().time()

    def boot(self, n: int) -> None:
        """Start controller n."""
        own_settings = settings(n, self.next_limits)
        own_settings.settings.machine_limits.max_connections = self.max_connections
        if self.write_rps is not None:
            own_settings.settings.state.write_rps = self.write_rps
        controller = Controller(own_settings, random.Random(self.rng.random()))
        self.controllers[n] = controller
        spawn(self.net, f"10.0.0.{n}", controller.run())

    def crash(self, n: int, restart_after_s: float = 2.0) -> None:
        """End controller n without warning, and start it again later."""
        self.net.kill(f"10.0.0.{n}")
        self.controllers.pop(n, None)

        async def restart() -> None:
            await asyncio.sleep(restart_after_s)
            self.boot(n)

        spawn(self.net, "users", restart())

    def _notify_first_told(self, job_id: str, state: str) -> None:
        if (job_id, state) not in self.told:
            self.told.add((job_id, state))
            for callback in self.on_first_told:
                callback(job_id, state)

    async def call(
        self, method: str, target: str, body: bytes, timeout: float, entry_point: int | None = None
    ) -> tuple[int, dict[str, Any]] | None:
        """Send a request to a controller, by default a random entry point.

        Returns the status and the body of the answer, or None without an answer.
        """
        client = Client(
            f"10.0.0.{self.rng.choice(self.entry_points) if entry_point is None else entry_point}",
            8080,
            max_idle=0,
        )
        try:
            status, answer = await client.request(method, target, body, timeout)
        except NoResponseError:
            return None
        return status, json.loads(answer or b"{}")

    @staticmethod
    def body_of(run: dict[str, Any]) -> bytes:
        """Return the body of a submission, without the fields for the fake workers."""
        return json.dumps(
            {key: value for key, value in run.items() if key not in ("fails", "spans")}
        ).encode()

    async def _send_submission(
        self, run: dict[str, Any], entry_point: int | None = None
    ) -> int | None:
        asked = self.now()
        answer = await self.call("POST", "/v2/runs", self.body_of(run), 5.0, entry_point)
        if answer is None:
            return None
        self.invariants.answered(
            run["id"],
            answer[0],
            answer[1].get("status"),
            submission=True,
            now=self.now(),
            asked=asked,
        )
        if answer[0] in (200, 201):
            self._notify_first_told(run["id"], "accepted")
        return answer[0]

    async def submit(self, run: dict[str, Any]) -> int:
        """Submit a job until the answer is final; return its status, or 0 after 60 attempts."""
        self.invariants.submitted(run)
        for _ in range(60):
            status = await self._send_submission(run)
            if status in (200, 201, 400, 422):
                return status
            await asyncio.sleep(1.0)
        return 0

    async def repeat(self, job_id: str, entry_point: int | None = None) -> int | None:
        """Submit a job once more; return the status, or None without an answer."""
        return await self._send_submission(self.invariants.jobs[job_id], entry_point)

    async def poll(self, job_id: str, entry_point: int | None = None) -> str | None:
        """Request the state of a job.

        Returns the state, another status than 200 as text, or None without an answer.
        """
        asked = self.now()
        answer = await self.call("GET", f"/v2/runs/{job_id}", b"", 2.0, entry_point)
        self.invariants.queried(job_id, answer is not None and answer[0] in (200, 404), self.now())
        if not answer:
            return None
        self.invariants.answered(
            job_id, answer[0], answer[1].get("status"), now=self.now(), asked=asked
        )
        if answer[0] == 200:
            self.last_answers[job_id] = answer[1]
            if answer[1]["status"] in ("done", "withdrawn"):
                self._notify_first_told(job_id, answer[1]["status"])
        return answer[1].get("status") if answer[0] == 200 else str(answer[0])

    async def cancel(self, job_id: str, entry_point: int | None = None) -> str | None:
        """Cancel a job, repeated until it is confirmed.

        Returns the state of the job, or None after 40 attempts.
        """
        self.invariants.cancel_requested.add(job_id)
        for _ in range(40):
            asked = self.now()
            answer = await self.call("POST", f"/v2/runs/{job_id}/withdraw", b"", 5.0, entry_point)
            if answer and answer[0] == 200:
                self.invariants.answered(
                    job_id, 200, answer[1]["status"], now=self.now(), asked=asked
                )
                self._notify_first_told(job_id, answer[1]["status"])
                return str(answer[1]["status"])
            if answer:
                self.invariants.answered(job_id, answer[0], None, now=self.now(), asked=asked)
            await asyncio.sleep(1.0)
        return None

    async def until_final(self, jobs: list[str], timeout_s: float) -> list[str]:
        """Poll jobs until all are in a final state; return those that are not in time."""
        until = self.now() + timeout_s
        unfinished = list(jobs)
        while unfinished and self.now() < until:
            await asyncio.sleep(1.0)
            unfinished = [
                job_id
                for job_id in unfinished
                if await self.poll(job_id) not in ("done", "withdrawn")
            ]
        return unfinished
