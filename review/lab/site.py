"""A small deployment: three real controllers with stand-ins around them, and its users."""

from __future__ import annotations

import asyncio
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path
from typing import Any, NoReturn

from lab.fleet import Cloud, Hull, Times, World
from lab.record import Record
from lab.store import Store
from lab.wire import Answer, NoAnswerError, request

ROOT = Path(__file__).resolve().parent.parent.parent
LABELS = ("berth-0", "berth-1", "berth-2")


class CannotRunError(Exception):
    """The case could not be brought about; it says nothing about the rule."""


def cannot_run(why: str) -> NoReturn:
    """Give the case up.

    Raises:
        CannotRunError: always.
    """
    raise CannotRunError(why)


class Shape:
    """The settings of a deployment; the numbers are those of the users' small ones."""

    def __init__(self, page: str) -> None:
        """Take the numbers of `page`: "hgca", "cvbc", or "cvbc-hunt" with its larger teams."""
        attica = page == "hgca"
        self.zones = (
            ["attica", "crete", "macedonia", "peloponnese"]
            if attica
            else ["interior", "island", "lower-mainland"]
        )
        self.times = Times(1.0, 10.0, 30.0, 8.0) if attica else Times(3.0, 19.0, 50.0, 4.0)
        self.cancel_s = 40.0 if attica else 39.0
        self.hull = (
            Hull("kipos-gpu32", 32.0, 4.0, 192.0, 25.0, 1.0, 10.74, 2.64)
            if attica
            else Hull("cedar-gpu48", 48.0, 4.0, 288.0, 45.0, 0.6, 10.1, 2.92)
        )
        self.rps, self.write_rps = (200.0, 80.0) if attica else (150.0, 60.0)
        self.value_kb = 8.0 if attica else 32.0
        self.cloud_rps, self.list_lag_s = (6.0, 4.0) if attica else (2.0, 3.0)
        self.back_s = 5.0 if attica else 8.0  # "back about 5 s after an end"
        self.teams = (
            {"nursery-desk": (64.0, 184.0), "retail-desk": (64.0, 184.0)}
            if attica
            else {
                "clinic-ops": (32.0, 72.0),
                "member-data": (48.0, 152.0),
                "forecast-crew": (24.0, 96.0),
            }
        )
        self.core_share = 0.54
        self.ram_mb, self.sockets = (146.0, 900) if attica else (266.0, 1200)
        if page == "cvbc-hunt":
            self.core_share, self.ram_mb = 0.504, 251.0
            self.teams = {
                "clinic-ops": (800.0, 2000.0),
                "member-data": (1200.0, 4000.0),
                "forecast-crew": (700.0, 2500.0),
            }

    def settings(self, ports: dict[str, tuple[int, int]], label: str, outside: str) -> str:
        """Return the settings file of one controller."""
        lines = [
            f'label = "{label}"',
            f'area = "{self.zones[LABELS.index(label)]}"',
            f'bind = "127.0.0.1:{ports[label][0]}"',
            f'mesh_addr = "127.0.0.1:{ports[label][1]}"',
        ]
        for other in LABELS:
            if other != label:
                lines += [
                    "[[others]]",
                    f'label = "{other}"',
                    f'area = "{self.zones[LABELS.index(other)]}"',
                    f'endpoint = "127.0.0.1:{ports[other][1]}"',
                ]
        zones = ", ".join(f'"{zone}"' for zone in self.zones)
        lines += [outside, "[settings]", "size = 3", f"zones = [{zones}]", "skew_ms = 1000.0"]
        for team, (gpus, gpus_max) in self.teams.items():
            lines += [
                "[[settings.teams]]",
                f'name = "{team}"',
                "cpus = 0.0\ncpus_max = 0.0",
                f"gpus = {gpus}\ngpus_max = {gpus_max}",
            ]
        lines += [
            "[settings.workers]",
            f"report_s = {self.times.report_s}\nlease_s = {self.times.lease_s}",
            f"gang_wait_s = {self.times.gang_wait_s}\ngang_peer_s = {self.times.gang_peer_s}",
            f"cancel_s = {self.cancel_s}",
            "[settings.state]",
            f"rps = {self.rps}\nwrite_rps = {self.write_rps}",
            f"value_kb = {self.value_kb}\ntxn_ops = 48",
            "[settings.cloud]",
            f"rps = {self.cloud_rps}\nlist_lag_s = {self.list_lag_s}",
            "[settings.machine_limits]",
            f"core_share = {self.core_share}\nram_mb = {self.ram_mb}\nmax_connections = {self.sockets}",
        ]
        return "\n".join(lines) + "\n"


def free_ports(number: int) -> list[int]:
    """Return loopback ports that are free now, below those that the system gives out itself."""
    ports: list[int] = []
    while len(ports) < number:
        port = random.randrange(15_000, 32_000)
        with socket.socket() as one:
            try:
                one.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class Site:
    """The running deployment.

    Attributes:
        nodes: address for users and workers of each controller, by label.
        last_told: by job, the last status that a user was told.
    """

    def __init__(
        self,
        record: Record,
        shape: Shape,
        up: dict[tuple[str, bool], int],
        room: dict[tuple[str, bool], int] | None = None,
    ) -> None:
        """Prepare the deployment.

        Args:
            record: where to write what happens.
            shape: the numbers of the deployment.
            up: machines that are up at the start, by zone and whether they are spot machines.
            room: machines that the cloud has besides; none by default.
        """
        self.record, self.shape, self.up = record, shape, up
        ports = free_ports(6)
        self.ports = {label: (ports[2 * n], ports[2 * n + 1]) for n, label in enumerate(LABELS)}
        self.nodes = {label: f"127.0.0.1:{self.ports[label][0]}" for label in LABELS}
        self.world = World(record, self.nodes, shape.times, shape.hull)
        places = {(zone, spot): 0 for zone in shape.zones for spot in (False, True)}
        self.cloud = Cloud(self.world, places | (room or {}), shape.list_lag_s)
        value_bytes = int(shape.value_kb * 1024)
        self.store = Store(record, shape.rps, shape.write_rps, (value_bytes, 48))
        self.folder = tempfile.TemporaryDirectory(prefix="ashdock-review-")
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.tasks: list[asyncio.Task[Any]] = []
        self.last_told: dict[str, str] = {}

    # -- processes ---------------------------------------------------------------------------

    async def start(self) -> None:
        """Start the stand-ins and the controllers, and wait until all of them are ready."""
        cloud_port = await self.cloud.start()
        self.tasks.append(asyncio.create_task(self.store.expire_leases()))
        for label in LABELS:
            store_port = await self.store.start(label)
            outside = (
                f'[outside]\ncloud = "127.0.0.1:{cloud_port}"\nstate = "127.0.0.1:{store_port}"'
            )
            path = Path(self.folder.name) / f"{label}.toml"
            path.write_text(self.shape.settings(self.ports, label, outside), encoding="utf-8")
        for (zone, spot), number in self.up.items():
            for _ in range(number):
                self.cloud.boot(zone, spot, 0.5)
        for label in LABELS:
            self.launch(label)
        await self.until_ready(LABELS, 30.0)
        expected = {"leader", *(f"part/{team}" for team in self.shape.teams)}
        for _ in range(100):
            if expected <= self.store.keys.keys():
                return
            await asyncio.sleep(0.1)
        cannot_run("nobody leads, or a shard has no owner")

    def launch(self, label: str) -> None:
        """Start a controller with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text(encoding="utf-8"))
        command = [*shlex.split(deploy["run"]), str(Path(self.folder.name) / f"{label}.toml")]
        if command[0] == "python3":
            command[0] = sys.executable
        log = (Path(self.folder.name) / f"{label}.log").open("ab")
        self.processes[label] = subprocess.Popen(
            command,
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            env={**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")},
        )
        log.close()
        self.record.write("site", f"{label} started, pid {self.processes[label].pid}")

    def signal(self, label: str, number: signal.Signals) -> None:
        """Send a signal to a controller that was started here."""
        self.record.write("site", f"{number.name} to {label}")
        self.processes[label].send_signal(number)
        if number is signal.SIGKILL:
            self.processes[label].wait()

    async def until_ready(self, labels: tuple[str, ...], timeout_s: float) -> None:
        """Wait until the controllers answer that they are ready.

        Raises:
            CannotRunError: they did not in time.
        """
        for label in labels:
            for _ in range(int(timeout_s / 0.2)):
                if await self.is_ready(label):
                    break
                await asyncio.sleep(0.2)
            else:
                cannot_run(f"{label} is not ready")
            self.record.write("site", f"{label} is ready")

    async def is_ready(self, label: str) -> bool:
        """Return whether a controller answers a health check with 200."""
        try:
            return (await request(self.nodes[label], "GET", "/ready", None, 1.0)).status == 200
        except NoAnswerError:
            return False

    async def stop(self) -> None:
        """End all processes that were started here."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        for task in [*self.tasks, *self.cloud.running]:
            task.cancel()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for log in Path(self.folder.name).glob("*.log"):
                (Path(keep) / log.name).write_bytes(log.read_bytes())
        self.folder.cleanup()

    # -- users -------------------------------------------------------------------------------

    async def submit(self, label: str, job: dict[str, Any], for_s: float = 60.0) -> Answer:
        """Submit a job as a user does, and repeat that until there is a final answer.

        Raises:
            CannotRunError: there was none within `for_s`.
        """
        self.world.jobs[job["id"]] = job
        sent = {name: value for name, value in job.items() if name != "run_s"}
        until = self.record.now() + for_s
        while self.record.now() < until:
            answer = await self.ask(label, "POST", "/v2/runs", sent, 5.0)
            if answer is not None and answer.status in (200, 201, 400, 422):
                return answer
            await asyncio.sleep(1.0)
        cannot_run(f"{job['id']} was not accepted")

    async def ask(
        self, label: str, method: str, target: str, body: Any = None, timeout_s: float = 2.0
    ) -> Answer | None:
        """Send one request of a user and return the answer, if there is one."""
        what = f"{method} {target}" + (f" {body['id']}" if isinstance(body, dict) else "")
        try:
            answer = await request(self.nodes[label], method, target, body, timeout_s)
        except NoAnswerError as error:
            self.record.write("user", f"{what} at {label}: no answer ({error})")
            return None
        self.record.write("user", f"{what} at {label}: {answer.status} {answer.body}")
        if isinstance(answer.body, dict) and "status" in answer.body:
            self.last_told[answer.body["id"]] = answer.body["status"]
        return answer

    async def until_done(self, label: str, job: str, for_s: float) -> bool:
        """Poll a job every second until it is done; return whether it was within `for_s`."""
        until = self.record.now() + for_s
        while self.record.now() < until:
            answer = await self.ask(label, "GET", f"/v2/runs/{job}")
            if answer is not None and answer.status == 200 and answer.body["status"] == "done":
                return True
            await asyncio.sleep(1.0)
        return False


def array(job: str, team: str, tasks: int, run_s: float, **more: Any) -> dict[str, Any]:
    """Return the submission of an array; `run_s` is how long its tasks run."""
    return {
        "id": job,
        "workload": "leaf-tagging",
        "owner": team,
        "shape": "sweep",
        "urgency": "standard",
        "shares": tasks,
        "cpus": 6.0,
        "accelerators": 1.0,
        "ram_gb": 36.0,
        "bundle": "img-01",
        "size_gb": 0.5,
        "hulls": None,
        "yard": None,
        "same_place": False,
        "spread": False,
        "loaners": True,
        "expect_s": run_s,
        "snapshot_s": 0.0,
        "flush_s": 0.0,
        "due_s": None,
        "run_s": run_s,
        **more,
    }
