"""Stand-ins of the cloud, its machines and their workers."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Callable
from typing import Any, NamedTuple
from urllib.parse import parse_qs

from lab.record import Record
from lab.wire import MAX_REQUEST_BYTES, Answer, NoAnswerError, request, serve

ANSWER_TIMEOUT_S = 4.0  # "no response within 4 s"
NEXT_NODE_S = 1.0  # "tries the next node 1 s later"
LEAST_PAUSE_S = 0.5  # "never more often than every half second"

TaskKey = tuple[str, int]  # a task's name and its attempt


class Times(NamedTuple):
    """What `workers` in the settings says."""

    report_s: float
    lease_s: float
    gang_wait_s: float
    gang_peer_s: float


class Hull(NamedTuple):
    """The one machine type of a deployment."""

    label: str
    cpus: float
    gpus: float
    ram_gb: float
    boot_s: float
    fetch_gb_per_s: float
    price: float
    low_price: float


class Task:
    """One attempt of a task on a worker."""

    def __init__(self, job: dict[str, Any]) -> None:
        """Begin to wait for the image; `job` is what the user uploaded."""
        self.job = job
        self.status = "pulling"
        self.cause: str | None = None
        self.held = False  # on its machine: it had its image and has not ended


class World:
    """What is shared by all workers: the jobs as uploaded, results, and who is where.

    Attributes:
        jobs: submissions by id; `run_s` in them says how long a task really runs.
        nodes: address of each controller by label.
        on_machine: machine of each task that is on one.
        starts: time, task and attempt of each start.
        gangs: tasks that wait for their gang or run with it, by job and attempt.
        broken: rules that were seen broken, as text.
    """

    def __init__(self, record: Record, nodes: dict[str, str], times: Times, hull: Hull) -> None:
        """Begin without machines."""
        self.record, self.nodes, self.times, self.hull = record, nodes, times, hull
        self.rng = random.Random(7)
        self.jobs: dict[str, dict[str, Any]] = {}
        self.results: set[str] = set()
        self.on_machine: dict[str, str] = {}
        self.starts: list[tuple[float, str, int]] = []
        self.gangs: dict[tuple[str, int], dict[TaskKey, Worker]] = {}
        self.broken: list[str] = []
        self.on_start: Callable[[str], None] = lambda _task: None

    def started(self, machine: str, key: TaskKey) -> None:
        """Note that a task is on a machine from now on."""
        other = self.on_machine.get(key[0])
        if other is not None and other != machine:
            self.broken.append(f"ran_twice: {key[0]} starts on {machine} while on {other}")
            self.record.write("check", self.broken[-1])
        self.on_machine[key[0]] = machine
        self.starts.append((self.record.now(), *key))
        self.on_start(key[0])


class Worker:
    """The worker of one machine."""

    def __init__(self, world: World, name: str, zone: str, spot: bool) -> None:
        """Create it; `run` starts it."""
        self.world, self.name, self.zone, self.spot = world, name, zone, spot
        self.address = ""
        self.tenure, self.tally, self.warrant = 1, 0, 0
        self.tasks: dict[TaskKey, Task] = {}
        self.images: set[str] = set()
        self.answered_at = 0.0
        self.changed = asyncio.Event()
        self.gone = False
        self.received: list[dict[str, Any]] = []  # bodies of the direct commands, as they came
        self.running: set[asyncio.Task[None]] = set()

    # -- reports -----------------------------------------------------------------------------

    def report(self) -> dict[str, Any]:
        """Return the next report."""
        self.tally += 1
        shares = []
        for (share, attempt), task in self.tasks.items():
            row: dict[str, Any] = {"share": share, "try": attempt, "status": task.status}
            if task.cause is not None:
                row["cause"] = task.cause
            shares.append(row)
        return {
            "berth": self.name,
            "address": self.address,
            "hull": self.world.hull.label,
            "yard": self.zone,
            "loaners": self.spot,
            "tenure": self.tenure,
            "tally": self.tally,
            "warrant": self.warrant,
            "recall_s": None,
            "shares": shares,
        }

    async def run(self) -> None:
        """Report until the machine is gone."""
        server, port = await serve(self._handle)
        self.address = f"127.0.0.1:{port}"
        self.answered_at = time.monotonic()
        watch = asyncio.create_task(self._watch_lease())
        labels = list(self.world.nodes)
        node = self.world.rng.choice(labels)
        try:
            while not self.gone:
                node, pause_s = await self._report_to(node, labels)
                if pause_s is None:
                    await self._wait_for_change()
                else:
                    await asyncio.sleep(pause_s)
        finally:
            watch.cancel()
            server.close()

    async def _wait_for_change(self) -> None:
        self.changed.clear()
        await asyncio.sleep(LEAST_PAUSE_S)
        wait_s = self.world.times.report_s * self.world.rng.uniform(0.75, 1.25) - LEAST_PAUSE_S
        try:
            async with asyncio.timeout(max(wait_s, 0.01)):
                await self.changed.wait()
        except TimeoutError:
            pass

    async def _report_to(self, node: str, labels: list[str]) -> tuple[str, float | None]:
        """Send one report; return the node for the next one, and a pause (None: the usual)."""
        tenure, sent_at = self.tenure, time.monotonic()
        following = labels[(labels.index(node) + 1) % len(labels)]
        body = self.report()
        size = len(json.dumps(body, separators=(",", ":")).encode())
        if size > MAX_REQUEST_BYTES:
            # The protocol does not let it send this.
            self.world.record.write(self.name, f"report of {size} bytes may not be sent")
            return following, NEXT_NODE_S
        try:
            answer = await request(
                self.world.nodes[node], "POST", "/checkin", body, ANSWER_TIMEOUT_S
            )
        except NoAnswerError:
            return following, NEXT_NODE_S
        if answer.status == 421:
            owner = (answer.body or {}).get("harbour")
            if owner in self.world.nodes and owner != node:
                return owner, self.world.rng.uniform(0.0, 0.5)
        if answer.status != 200:
            return following, NEXT_NODE_S
        warrant = answer.body.get("warrant", -1)
        if tenure == self.tenure and warrant >= self.warrant and not self.gone:
            if warrant > self.warrant:
                self.changed.set()
            self.warrant = warrant
            self.answered_at = sent_at
            self._execute(answer.body.get("orders", []), node)
        return node, None

    async def _watch_lease(self) -> None:
        while not self.gone:
            await asyncio.sleep(0.05)
            if time.monotonic() - self.answered_at > self.world.times.lease_s:
                self.world.record.write(
                    self.name,
                    f"lease expired in session {self.tenure}, {len(self.tasks)} tasks killed",
                )
                self._drop_all()
                self.tenure += 1
                self.answered_at = time.monotonic()
                self.changed.set()

    def _drop_all(self) -> None:
        for key in list(self.tasks):
            self._leave(key)
        self.tasks.clear()

    # -- commands ----------------------------------------------------------------------------

    async def _handle(self, method: str, target: str, body: bytes) -> Answer:
        if target == "/inspect" and method == "GET":
            return Answer(200, self.report())
        order = json.loads(body)
        self.received.append(order)
        if "warrant" not in order or "tenure" not in order:
            return Answer(400, self.report())
        if order["warrant"] < self.warrant or order["tenure"] != self.tenure:
            self.world.record.write(
                self.name,
                f"refuses commands of token {order['warrant']}, session {order['tenure']}",
            )
            return Answer(409, self.report())
        if order["warrant"] > self.warrant:
            self.warrant = order["warrant"]
            self.changed.set()
        self._execute(order.get("orders", []), "direct")
        return Answer(200, self.report())

    def _execute(self, orders: list[dict[str, Any]], source: str) -> None:
        for order in orders:
            key = (order["share"], order["try"])
            task = self.tasks.get(key)
            if order["verb"] == "run" and task is None:
                self.world.record.write(
                    self.name, f"run {key[0]} try {key[1]} ({source}, token {self.warrant})"
                )
                self._begin(key)
            elif order["verb"] == "kill" and task is not None and task.status != "ended":
                self.world.record.write(self.name, f"kill {key[0]} try {key[1]} ({source})")
                self._end(key, "stopped")
            elif order["verb"] == "forget" and task is not None and task.status == "ended":
                self.world.record.write(self.name, f"forget {key[0]} try {key[1]} ({source})")
                del self.tasks[key]

    def _room_for(self, job: dict[str, Any], key: TaskKey) -> bool:
        held = [
            task.job
            for other, task in self.tasks.items()
            if other != key and task.status != "ended"
        ]
        hull = self.world.hull
        return all(
            sum(float(other[name]) for other in held) + float(job[name]) <= most + 1e-6
            for name, most in (
                ("cpus", hull.cpus),
                ("accelerators", hull.gpus),
                ("ram_gb", hull.ram_gb),
            )
        )

    def _begin(self, key: TaskKey) -> None:
        job = self.world.jobs.get(key[0].rsplit("/", 1)[0])
        task = self.tasks[key] = Task(job or {})
        self.changed.set()
        same = [
            other
            for other, held in self.tasks.items()
            if other[0] == key[0] and other != key and held.status != "ended"
        ]
        if job is None:
            self._end(key, "no_such")
        elif same:
            self._end(key, "in_use")
        elif not self._room_for(job, key):
            self._end(key, "no_room")
        else:
            running = asyncio.create_task(self._run_task(key, task))
            self.running.add(running)
            running.add_done_callback(self.running.discard)

    async def _run_task(self, key: TaskKey, task: Task) -> None:
        job = task.job
        if job["bundle"] not in self.images:
            await asyncio.sleep(job["size_gb"] / self.world.hull.fetch_gb_per_s)
        if task.status != "pulling" or self.gone:
            return
        self.images.add(job["bundle"])
        gang = job["shape"] == "ensemble"
        task.status, task.held = "waiting" if gang else "running", True
        self.world.started(self.name, key)
        self.changed.set()
        if gang:
            await self._run_in_gang(key, task)
            return
        if key[0] not in self.world.results:
            await asyncio.sleep(job["run_s"] if job["shape"] != "daemon" else 1e6)
        if task.status == "running" and not self.gone:
            self.world.results.add(key[0])
            self._end(key, "done")

    async def _run_in_gang(self, key: TaskKey, task: Task) -> None:
        job, times = key[0].rsplit("/", 1)[0], self.world.times
        members = self.world.gangs.setdefault((job, key[1]), {})
        members[key] = self
        until = time.monotonic() + times.gang_wait_s
        while len(members) < task.job["shares"]:
            await asyncio.sleep(0.05)
            if task.status != "waiting":
                return
            if time.monotonic() > until:
                self._end(key, "incomplete")
                return
        task.status = "running"
        self.changed.set()
        until = time.monotonic() + task.job["run_s"]
        while time.monotonic() < until and task.job["id"] not in self.world.results:
            await asyncio.sleep(0.05)
            if task.status != "running":
                return
            if len(members) < task.job["shares"]:
                await asyncio.sleep(times.gang_peer_s / 2)
                if task.status == "running":
                    self._end(key, "mates_gone")
                return
        self.world.results.add(task.job["id"])
        for other, worker in members.items():  # "if one task is `done`, so are all"
            if other in worker.tasks and worker.tasks[other].status == "running":
                worker._end(other, "done")

    def _end(self, key: TaskKey, cause: str) -> None:
        self._leave(key)
        task = self.tasks[key]
        task.status, task.cause = "ended", cause
        self.changed.set()

    def _leave(self, key: TaskKey) -> None:
        task = self.tasks[key]
        job = key[0].rsplit("/", 1)[0]
        if job not in self.world.results:
            self.world.gangs.get((job, key[1]), {}).pop(key, None)
        if task.held and self.world.on_machine.get(key[0]) == self.name:
            del self.world.on_machine[key[0]]
        if task.status != "ended":
            task.status = "ended"
        task.held = False

    def remove(self) -> None:
        """Take the machine away with all that is on it."""
        self._drop_all()
        self.gone = True


class Cloud:
    """The cloud's interface, with the machines that it has rented out.

    Attributes:
        room: how many more machines may be rented, by zone and whether they are spot machines.
    """

    def __init__(self, world: World, room: dict[tuple[str, bool], int], list_lag_s: float) -> None:
        """Begin without machines."""
        self.world, self.room, self.list_lag_s = world, room, list_lag_s
        self.zones = sorted({zone for zone, _ in room})
        self.workers: dict[str, Worker] = {}
        self.rented_at: dict[str, float] = {}
        self.up_at: dict[str, float] = {}
        self.gone_at: dict[str, float] = {}
        self.charters: dict[str, list[str]] = {}
        self.running: set[asyncio.Task[None]] = set()
        self.number = 0

    async def start(self) -> int:
        """Serve; return the port."""
        _, port = await serve(self._handle)
        return port

    def boot(self, zone: str, spot: bool, after_s: float) -> str:
        """Rent out a machine that is up after `after_s`; return its name.

        The caller has taken it from `room`.
        """
        self.number += 1
        name = f"vm-{self.number:06d}"
        worker = self.workers[name] = Worker(self.world, name, zone, spot)
        self.rented_at[name] = time.monotonic()
        self.up_at[name] = time.monotonic() + after_s

        async def run() -> None:
            await asyncio.sleep(after_s)
            await worker.run()

        task = asyncio.create_task(run())
        self.running.add(task)
        task.add_done_callback(self.running.discard)
        return name

    async def _handle(self, method: str, target: str, body: bytes) -> Answer:
        path, _, query = target.partition("?")
        await asyncio.sleep(0.05)
        if path == "/catalog":
            hull = self.world.hull
            row = {
                "label": hull.label,
                "cpus": hull.cpus,
                "accelerators": hull.gpus,
                "ram_gb": hull.ram_gb,
                "cache_gb": 200,
                "fetch_gb_per_s": hull.fetch_gb_per_s,
                "price": hull.price,
                "low_price": hull.low_price,
                "boot_s": hull.boot_s,
                "yards": self.zones,
            }
            return Answer(200, {"hulls": [row]})
        if path == "/hosts/release":
            return self._release(json.loads(body)["berths"])
        if method == "POST":
            return self._rent(json.loads(body))
        return self._list({name: row[0] for name, row in parse_qs(query).items()})

    def _rent(self, asked: dict[str, Any]) -> Answer:
        if asked["charter"] in self.charters:
            return Answer(200, {"berths": self.charters[asked["charter"]]})
        place = (asked["yard"], asked["loaners"])
        number = min(self.room[place], asked["how_many"])
        if number <= 0:
            return Answer(503, {"error": "no capacity"})
        self.room[place] -= number
        names = [
            self.boot(asked["yard"], asked["loaners"], self.world.hull.boot_s)
            for _ in range(number)
        ]
        self.charters[asked["charter"]] = names
        self.world.record.write("cloud", f"rented {' '.join(names)}")
        return Answer(200, {"berths": names})

    def _release(self, names: list[str]) -> Answer:
        for name in names:
            worker = self.workers.get(name)
            if worker is not None and not worker.gone:
                worker.remove()
                self.gone_at[name] = time.monotonic()
                self.room[worker.zone, worker.spot] += 1
        self.world.record.write("cloud", f"released {' '.join(names)}")
        return Answer(200, {})

    def _list(self, asked: dict[str, str]) -> Answer:
        as_of = time.monotonic() - self.list_lag_s
        rows = [
            {
                "id": name,
                "address": worker.address,
                "hull": self.world.hull.label,
                "yard": worker.zone,
                "loaners": worker.spot,
                "status": "running" if self.up_at[name] <= as_of else "starting",
                "age_s": as_of - self.rented_at[name],
            }
            for name, worker in sorted(self.workers.items())
            if name > asked.get("from", "")
            and self.rented_at[name] <= as_of
            and self.gone_at.get(name, as_of + 1) > as_of
        ]
        most = int(asked.get("most", "500"))
        return Answer(200, {"berths": rows[:most], "truncated": len(rows) > most})
