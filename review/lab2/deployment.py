"""A small deployment for one case: controllers as processes, stand-ins, users, and the record."""

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
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple, NoReturn

from fleet import Cloud, Hull, Timing
from store import Store
from wire import HOST, call

REPOSITORY = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
ROOM_TOLERANCE = 1e-6
READY_WITHIN_S = 25.0
PORTS = (12_000, 30_000)
LONGEST_S = 117.0


class CaseNotRunError(Exception):
    """The case could not be played; the text says why."""


def give_up(reason: str) -> NoReturn:
    """End the case as one that could not be played."""
    error = CaseNotRunError(reason)
    raise error


class Team(NamedTuple):
    """A team of the settings; 0 means no guarantee, or no limit."""

    name: str
    gpus: float = 0.0
    gpus_max: float = 0.0
    cpus: float = 0.0
    cpus_max: float = 0.0


class Shape(NamedTuple):
    """What the settings of a case say; times in seconds."""

    zones: tuple[str, ...]
    teams: tuple[Team, ...]
    hulls: tuple[Hull, ...]
    capacity: dict[tuple[str, str, bool], int]
    report_s: float = 1.0
    lease_s: float = 10.0
    gang_wait_s: float = 30.0
    gang_peer_s: float = 8.0
    cancel_s: float = 40.0
    list_lag_s: float = 4.0
    controllers: int = 3


def _free_ports(number: int) -> list[int]:
    """Return free ports below those that systems give to outgoing connections."""
    sockets: list[socket.socket] = []
    try:
        while len(sockets) < number:
            sock = socket.socket()
            try:
                sock.bind((HOST, random.randrange(*PORTS)))
                sockets.append(sock)
            except OSError:
                sock.close()
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


class Deployment:
    """Stand-ins and controllers of one case.

    Attributes:
        trouble: whether the case has its disruption.
        answers: the last state that a user was told of a job, by job.
    """

    def __init__(self, shape: Shape, record_file: Path, folder: Path, trouble: bool) -> None:
        """Prepare the stand-ins; nothing runs yet."""
        self.shape = shape
        self.folder = folder
        self.trouble = trouble
        self.started_at = time.monotonic()
        self.file = record_file.open("w", encoding="utf-8")
        timing = Timing(shape.report_s, shape.lease_s, shape.gang_wait_s, shape.gang_peer_s)
        self.store = Store()
        self.cloud = Cloud(
            list(shape.hulls), dict(shape.capacity), timing, shape.list_lag_s, self.record
        )
        self.labels = [f"berth-{number}" for number in range(shape.controllers)]
        self.ports: dict[str, int] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.answers: dict[str, dict[str, Any]] = {}

    # -- record --------------------------------------------------------------------

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started_at

    def record(self, what: str, **details: Any) -> None:
        """Write a line to the record."""
        words = " ".join(f"{name}={value}" for name, value in details.items())
        self.file.write(f"{self.now():8.3f} {what}: {words}\n")
        self.file.flush()

    # -- controllers ---------------------------------------------------------------

    async def start(self) -> None:
        """Start the stand-ins and the controllers, and wait until all of these are ready."""
        await self.store.start()
        await self.cloud.start()
        free = _free_ports(2 * len(self.labels))
        self.ports = dict(zip(self.labels, free, strict=False))
        mesh = dict(zip(self.labels, free[len(self.labels) :], strict=False))
        self.cloud.nodes = dict(self.ports)
        for label in self.labels:
            self._settings_file(label).write_text(self._settings(label, mesh), encoding="utf-8")
            self.boot(label)
        until = time.monotonic() + READY_WITHIN_S
        while not await self.ready():
            if time.monotonic() > until:
                give_up("the controllers were not ready in time")
            await asyncio.sleep(0.2)
        self.record("controllers ready", labels=",".join(self.labels))

    async def ready(self) -> bool:
        """Whether every controller answers its health check."""
        answers = [await call(port, "GET", "/ready", timeout_s=1.0) for port in self.ports.values()]
        return all(answer is not None and answer[0] == 200 for answer in answers)

    def _settings_file(self, label: str) -> Path:
        return self.folder / f"{label}.toml"

    def _settings(self, label: str, mesh: dict[str, int]) -> str:
        shape = self.shape
        zones = {name: shape.zones[n % len(shape.zones)] for n, name in enumerate(self.labels)}
        lines = [
            f'label = "{label}"',
            f'area = "{zones[label]}"',
            f'bind = "{HOST}:{self.ports[label]}"',
            f'mesh_addr = "{HOST}:{mesh[label]}"',
        ]
        for other in self.labels:
            if other != label:
                lines += [
                    "[[others]]",
                    f'label = "{other}"',
                    f'area = "{zones[other]}"',
                    f'endpoint = "{HOST}:{mesh[other]}"',
                ]
        lines += [
            "[outside]",
            f'cloud = "{self.cloud.server.address}"',
            f'state = "{self.store.server.address}"',
            "[settings]",
            f"size = {len(self.labels)}",
            f"zones = {list(shape.zones)!r}".replace("'", '"'),
            "skew_ms = 1000.0",
        ]
        for team in shape.teams:
            lines.append("[[settings.teams]]")
            lines.append(f'name = "{team.name}"')
            lines += [
                f"{key} = {float(getattr(team, key))}"
                for key in ("cpus", "cpus_max", "gpus", "gpus_max")
            ]
        lines.append("[settings.workers]")
        lines += [
            f"{key} = {float(getattr(shape, key))}"
            for key in ("report_s", "lease_s", "gang_wait_s", "gang_peer_s", "cancel_s")
        ]
        lines += [
            "[settings.state]",
            "rps = 200.0",
            "write_rps = 80.0",
            "value_kb = 8.0",
            "txn_ops = 48",
            "[settings.cloud]",
            "rps = 6.0",
            f"list_lag_s = {shape.list_lag_s}",
            "[settings.machine_limits]",
            "core_share = 0.54",
            "ram_mb = 146.0",
            "max_connections = 900",
        ]
        return "\n".join(lines) + "\n"

    def boot(self, label: str) -> None:
        """Start a controller with the command of the deploy file."""
        deploy = tomllib.loads((REPOSITORY / "deploy" / "service.toml").read_text(encoding="utf-8"))
        with (self.folder / f"{label}.log").open("ab") as log:
            self.processes[label] = subprocess.Popen(
                [*shlex.split(deploy["run"]), str(self._settings_file(label))],
                cwd=REPOSITORY,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, "LOG_LEVEL": os.environ.get("CASE_LOG_LEVEL", "info")},
            )
        self.record("controller started", label=label)

    def signal(self, label: str, number: signal.Signals) -> None:
        """Send a signal to a controller."""
        self.record("signal", label=label, signal=number.name)
        self.processes[label].send_signal(number)
        if number is signal.SIGKILL:
            self.processes[label].wait()

    def owner(self, team: str) -> str | None:
        """Return the controller that the store names as the owner of a team's part."""
        entry = self.store.keys.get(f"part/{team}")
        return entry[0]["owner"] if entry else None

    def stop(self) -> None:
        """End all processes and stand-ins."""
        self.cloud.stop()
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        self.cloud.server.stop()
        self.store.server.stop()

    # -- users ---------------------------------------------------------------------

    async def request(self, method: str, target: str, body: Any, timeout_s: float) -> Any:
        """Send a user's request to the controllers in turn until one answers finally."""
        for label in self.labels * 20:
            answer = await call(self.ports[label], method, target, body, timeout_s)
            self.record(
                "user",
                node=label,
                request=f"{method} {target}",
                answer=answer if answer is None else f"{answer[0]} {answer[1]}",
            )
            if answer is not None and answer[0] in (200, 201, 400, 404, 422):
                return answer
            await asyncio.sleep(1.0)
        give_up(f"no final answer to {method} {target}")

    async def submit(self, job: dict[str, Any], run_s: float | None = None) -> tuple[int, Any]:
        """Submit a job, repeating it as users do; return the final answer."""
        self.cloud.jobs[job["id"]] = job
        if run_s is not None:
            self.cloud.runs[job["id"]] = run_s
        self.record("submitted", **{key: job[key] for key in ("id", "owner", "shape", "shares")})
        status, body = await self.request("POST", "/v2/runs", job, 5.0)
        return status, body

    async def poll(self, job_id: str) -> dict[str, Any]:
        """Ask for a job's state."""
        status, body = await self.request("GET", f"/v2/runs/{job_id}", None, 2.0)
        self.answers[job_id] = body if status == 200 else {"status": str(status)}
        return self.answers[job_id]

    async def until_done(self, job_id: str, within_s: float) -> None:
        """Poll a job until its user is told that it is done."""
        end = time.monotonic() + within_s
        while (await self.poll(job_id))["status"] != "done":
            if time.monotonic() > end:
                give_up(f"not done in {within_s} s: {job_id}")
            await asyncio.sleep(0.5)

    async def until(self, reached: Callable[[], bool], within_s: float, what: str) -> None:
        """Wait for something that the case rests on; it could not be played without it."""
        end = time.monotonic() + within_s
        while not reached():
            if time.monotonic() > end:
                give_up(f"not reached in {within_s} s: {what}")
            await asyncio.sleep(0.05)

    def on_machines(self, job_id: str) -> int:
        """Return how many tasks of a job are on machines at the moment."""
        return sum(
            attempt.job == job_id and attempt.on_machine and attempt.status != "ended"
            for worker in self.cloud.workers.values()
            for attempt in worker.attempts.values()
        )

    def room(self, job: dict[str, Any], yard: str | None = None) -> int:
        """Return how many tasks of a job the machines that it permits have room for now."""
        return sum(
            _room_on(worker, job)
            for worker in self.cloud.workers.values()
            if worker.up
            and not worker.gone
            and worker.reclaimed_at is None
            and yard in (None, worker.yard)
        )


def _room_on(worker: Any, job: dict[str, Any]) -> int:
    """Return how many tasks of a job have room on a machine, if the job permits it."""
    if job["hulls"] is not None and worker.hull.label not in job["hulls"]:
        return 0
    if job["yard"] not in (None, worker.yard) or (worker.loaners and not job["loaners"]):
        return 0
    here = [a.spec for a in worker.attempts.values() if a.status != "ended" and a.spec]
    rooms = [
        (getattr(worker.hull, name) - sum(spec[name] for spec in here) + ROOM_TOLERANCE) / job[name]
        for name in ("cpus", "accelerators", "ram_gb")
        if job[name] > 0
    ]
    return int(min(rooms, default=0.0))


def job(number: int, **more: Any) -> dict[str, Any]:
    """Return a submission with defaults; `more` replaces fields."""
    submission: dict[str, Any] = {
        "id": f"req-{number:06d}",
        "workload": "case",
        "owner": "nursery-desk",
        "shape": "sweep",
        "urgency": "standard",
        "shares": 1,
        "cpus": 4.0,
        "accelerators": 1.0,
        "ram_gb": 16.0,
        "bundle": "img-01",
        "size_gb": 1.0,
        "hulls": None,
        "yard": None,
        "same_place": False,
        "spread": False,
        "loaners": False,
        "expect_s": 5.0,
        "snapshot_s": 0.0,
        "flush_s": 0.0,
        "due_s": None,
    }
    return {**submission, **more}


Case = Callable[[Deployment], Awaitable[bool]]


async def _play(shape: Shape, case: Case, record_file: Path, folder: Path, trouble: bool) -> int:
    deployment = Deployment(shape, record_file, folder, trouble)
    deployment.record("case", trouble="yes" if trouble else "no")
    try:
        async with asyncio.timeout(LONGEST_S):
            await deployment.start()
            held = await case(deployment)
    except (CaseNotRunError, TimeoutError) as error:
        deployment.record("verdict", not_run=str(error) or "out of time")
        return NOT_RUN
    else:
        deployment.record("verdict", rule="held" if held else "broken")
        return HELD if held else BROKEN
    finally:
        deployment.stop()
        rest = asyncio.all_tasks() - {asyncio.current_task()}
        for task in rest:
            task.cancel()
        await asyncio.gather(*rest, return_exceptions=True)
        await asyncio.sleep(0.1)  # lets the connections end
        deployment.file.close()


def main(shape: Shape, case: Case, here: str) -> None:
    """Play a case and exit with 1 if its rule was broken, 0 if it held, 2 if it could not run.

    Args:
        shape: the deployment.
        case: plays the case and returns whether the rule held.
        here: the file of the case; the record is written beside it.
    """
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda *_: sys.exit(NOT_RUN))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record_file = Path(here).resolve().parent / "record.txt"
    with tempfile.TemporaryDirectory(prefix="ashdock-case-") as folder:
        kept = os.environ.get("CASE_LOGS")
        code = asyncio.run(_play(shape, case, record_file, Path(kept or folder), trouble))
    sys.stdout.write(f"{('held', 'broken', 'not run')[code]}\n")
    sys.exit(code)
