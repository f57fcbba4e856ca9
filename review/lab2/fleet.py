"""Stand-ins of the cloud, of its machines' workers, and of what the workers share about gangs."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple
from urllib.parse import parse_qs

from wire import Client, Reply, Server

REPORT_TIMEOUT_S = 4.0
MIN_REPORT_GAP_S = 0.5
ROOM_TOLERANCE = 1e-6


class Hull(NamedTuple):
    """A machine type."""

    label: str
    cpus: float
    accelerators: float
    ram_gb: float
    yards: tuple[str, ...]
    price: float
    low_price: float
    boot_s: float = 4.0
    cache_gb: float = 80.0
    fetch_gb_per_s: float = 2.0

    def message(self) -> dict[str, Any]:
        """Return its row of the catalog."""
        return {**self._asdict(), "yards": list(self.yards)}


class Timing(NamedTuple):
    """Times of the workers, as in the settings, in seconds."""

    report_s: float
    lease_s: float
    gang_wait_s: float
    gang_peer_s: float


class Attempt:
    """One attempt of a task on one worker."""

    def __init__(self, share: str, number: int, spec: dict[str, Any] | None) -> None:
        """Start without image."""
        self.share = share
        self.job = share.rsplit("/", 1)[0]
        self.number = number
        self.spec = spec
        self.status = "pulling"
        self.cause: str | None = None
        self.on_machine = False
        self.runner: asyncio.Task[None] | None = None

    @property
    def key(self) -> tuple[str, int]:
        """Task and attempt."""
        return self.share, self.number

    def message(self) -> dict[str, Any]:
        """Return its row of a report."""
        row: dict[str, Any] = {"share": self.share, "try": self.number, "status": self.status}
        if self.cause is not None:
            row["cause"] = self.cause
        return row


class Worker:
    """The worker of one machine.

    Attributes:
        sick: whether every task that it starts fails.
        reclaimed_at: when the cloud takes the machine away, on the monotonic clock.
    """

    def __init__(self, cloud: Cloud, name: str, hull: Hull, yard: str, loaners: bool) -> None:
        """Create the worker of a machine that is not up yet."""
        self.cloud = cloud
        self.name = name
        self.hull = hull
        self.yard = yard
        self.loaners = loaners
        self.rented_at = time.monotonic()
        self.server = Server(self.handle)
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.images: set[str] = set()
        self.session = 1
        self.sequence = 0
        self.token = 0
        self.lease_from = 0.0
        self.sick = False
        self.up = False
        self.gone = False
        self.reclaimed_at: float | None = None
        self.news = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []

    # -- life of the machine -------------------------------------------------------

    async def boot(self, after_s: float) -> None:
        """Come up after a time, and report from then on."""
        await asyncio.sleep(after_s)
        if self.gone:
            return
        await self.server.start()
        self.up = True
        self.lease_from = time.monotonic()
        self.cloud.record("machine up", machine=self.name, yard=self.yard, hull=self.hull.label)
        self.tasks = [
            asyncio.create_task(self._report_loop()),
            asyncio.create_task(self._watch_lease()),
        ]

    def end(self, why: str) -> None:
        """End the machine with all that is on it."""
        if self.gone:
            return
        self.gone = True
        self.cloud.record("machine gone", machine=self.name, why=why)
        for attempt in list(self.attempts.values()):
            self._leave(attempt, "machine gone")
        self.attempts.clear()
        self.server.stop()
        for task in self.tasks:
            task.cancel()

    # -- reports -------------------------------------------------------------------

    def report(self) -> dict[str, Any]:
        """Return the next report."""
        self.sequence += 1
        left_s = None if self.reclaimed_at is None else self.reclaimed_at - time.monotonic()
        return {
            "berth": self.name,
            "address": self.server.address,
            "hull": self.hull.label,
            "yard": self.yard,
            "loaners": self.loaners,
            "tenure": self.session,
            "tally": self.sequence,
            "warrant": self.token,
            "recall_s": left_s,
            "shares": [attempt.message() for attempt in self.attempts.values()],
        }

    async def _report_loop(self) -> None:
        nodes = list(self.cloud.nodes)
        node = random.choice(nodes)
        while not self.gone:
            following = await self._report_to(node)
            if following is None:
                await asyncio.sleep(1.0)
                following = nodes[(nodes.index(node) + 1) % len(nodes)]
            else:
                await asyncio.sleep(random.uniform(0.0, 0.5))
            node = following

    async def _report_to(self, node: str) -> str | None:
        """Report to a node until it sends the worker away; return where to, None if it does not say."""
        client = Client(self.cloud.nodes[node])
        try:
            while True:
                self.news.clear()
                sent_at, session = time.monotonic(), self.session
                answer = await client.request("POST", "/checkin", self.report(), REPORT_TIMEOUT_S)
                following = self._take(answer, node, sent_at, session)
                if following != node:
                    return following
                await self._pause()
        finally:
            client.close()

    async def _pause(self) -> None:
        await asyncio.sleep(MIN_REPORT_GAP_S)
        rest_s = self.cloud.timing.report_s * random.uniform(0.75, 1.25) - MIN_REPORT_GAP_S
        try:
            async with asyncio.timeout(max(rest_s, 0.01)):
                await self.news.wait()
        except TimeoutError:
            pass

    def _take(
        self, answer: tuple[int, Any] | None, node: str, sent_at: float, session: int
    ) -> str | None:
        """Take in an answer; return the node to report to next, None for the one after this."""
        if answer is None:
            return None
        status, body = answer
        if status == 421:
            named = (body or {}).get("harbour")
            return named if named in self.cloud.nodes and named != node else None
        if status != 200:
            return None
        if session == self.session and body.get("warrant", -1) >= self.token:
            self.token = body["warrant"]
            self.lease_from = sent_at
            self._execute(body.get("orders", ()), "answer")
        return node

    async def _watch_lease(self) -> None:
        while not self.gone:
            await asyncio.sleep(0.1)
            if time.monotonic() - self.lease_from > self.cloud.timing.lease_s:
                self.cloud.record("lease ended", machine=self.name, session=self.session)
                for attempt in list(self.attempts.values()):
                    self._leave(attempt, "lease ended")
                self.attempts.clear()
                self.session += 1
                self.lease_from = time.monotonic()
                self.news.set()

    # -- commands ------------------------------------------------------------------

    async def handle(self, method: str, target: str, body: Any) -> Reply:
        """Answer a controller."""
        if method == "GET" and target == "/inspect":
            return Reply(200, self.report())
        if not isinstance(body, dict) or "warrant" not in body or "tenure" not in body:
            return Reply(400, {"error": "warrant or tenure is missing"})
        if body["warrant"] < self.token or body["tenure"] != self.session:
            return Reply(409, self.report())
        self.token = body["warrant"]
        self._execute(body.get("orders", ()), "direct")
        return Reply(200, self.report())

    def _execute(self, orders: Any, way: str) -> None:
        for order in orders:
            key = (order["share"], order["try"])
            attempt = self.attempts.get(key)
            self.cloud.record(
                "order",
                machine=self.name,
                way=way,
                verb=order["verb"],
                share=key[0],
                attempt=key[1],
            )
            if order["verb"] == "run" and attempt is None:
                self._start(*key)
            elif order["verb"] == "kill" and attempt and attempt.status != "ended":
                self._leave(attempt, "stopped")
            elif order["verb"] == "forget" and attempt and attempt.status == "ended":
                del self.attempts[key]

    def _refusal(self, share: str, spec: dict[str, Any] | None) -> str | None:
        if spec is None:
            return "no_such"
        here = [other for other in self.attempts.values() if other.status != "ended"]
        if any(other.share == share for other in here):
            return "in_use"
        for name in ("cpus", "accelerators", "ram_gb"):
            used = sum(other.spec[name] for other in here if other.spec)
            if used + spec[name] > getattr(self.hull, name) + ROOM_TOLERANCE:
                return "no_room"
        return None

    def _start(self, share: str, number: int) -> None:
        spec = self.cloud.jobs.get(share.rsplit("/", 1)[0])
        cause = self._refusal(share, spec)
        attempt = self.attempts[share, number] = Attempt(share, number, spec)
        self.news.set()
        if cause is not None or spec is None:
            attempt.status, attempt.cause = "ended", cause
            self.cloud.record("refused", machine=self.name, share=share, cause=cause)
            return
        attempt.runner = asyncio.create_task(self._run(attempt, spec))

    # -- tasks ---------------------------------------------------------------------

    async def _run(self, attempt: Attempt, spec: dict[str, Any]) -> None:
        if spec["bundle"] not in self.images:
            await asyncio.sleep(spec["size_gb"] / self.hull.fetch_gb_per_s)
            self.images.add(spec["bundle"])
        attempt.on_machine = True
        self.cloud.record(
            "task starts",
            machine=self.name,
            yard=self.yard,
            share=attempt.share,
            attempt=attempt.number,
        )
        if attempt.share in self.cloud.done:
            self._leave(attempt, "done")
            return
        if self.sick:
            attempt.status = "running"
            self.news.set()
            await asyncio.sleep(self.cloud.sick_after_s)
            self._leave(attempt, "error")
            return
        if spec["shape"] == "ensemble":
            attempt.status = "waiting"
            self.news.set()
            self.cloud.gangs.arrived(self, attempt, spec)
            await asyncio.sleep(self.cloud.timing.gang_wait_s)
            if attempt.status == "waiting":
                self._leave(attempt, "incomplete")
            return
        attempt.status = "running"
        self.news.set()
        if spec["shape"] != "daemon":
            await asyncio.sleep(self.cloud.run_s(attempt.share))
            self._leave(attempt, "done")

    def _leave(self, attempt: Attempt, cause: str) -> None:
        """End an attempt; its task is off the machine from then on."""
        if attempt.status == "ended":
            return
        attempt.status, attempt.cause = "ended", cause
        if attempt.runner is not None and attempt.runner is not asyncio.current_task():
            attempt.runner.cancel()
        if attempt.on_machine:
            self.cloud.ended[attempt.job, cause] += 1
            self.cloud.record(
                "task ends",
                machine=self.name,
                share=attempt.share,
                attempt=attempt.number,
                cause=cause,
            )
        if cause == "done":
            self.cloud.done.add(attempt.share)
        self.cloud.gangs.left(attempt, cause)
        self.news.set()

    def leave(self, attempt: Attempt, cause: str) -> None:
        """End an attempt for a reason that lies with its gang."""
        self._leave(attempt, cause)


class Gangs:
    """What the tasks of gangs know of one another."""

    def __init__(self, cloud: Cloud) -> None:
        """Start without gangs."""
        self.cloud = cloud
        self.members: dict[tuple[str, int], dict[str, tuple[Worker, Attempt]]] = {}
        self.running: set[tuple[str, int]] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    def arrived(self, worker: Worker, attempt: Attempt, spec: dict[str, Any]) -> None:
        """Note a task that has its image; the last one starts the gang."""
        gang = (attempt.job, attempt.number)
        members = self.members.setdefault(gang, {})
        members[attempt.share] = (worker, attempt)
        if len(members) < spec["shares"] or gang in self.running:
            return
        self.running.add(gang)
        self.cloud.record("gang runs", job=attempt.job, attempt=attempt.number)
        for member, other in members.values():
            other.status = "running"
            if other.runner is not None and other.runner is not asyncio.current_task():
                other.runner.cancel()
            member.news.set()
        self._later(self._complete(gang))

    async def _complete(self, gang: tuple[str, int]) -> None:
        await asyncio.sleep(self.cloud.run_s(f"{gang[0]}/0"))
        if gang in self.running:
            self.running.discard(gang)
            for member, attempt in list(self.members.get(gang, {}).values()):
                member.leave(attempt, "done")

    def left(self, attempt: Attempt, cause: str) -> None:
        """Note that a task is gone; the others of a running gang notice and exit."""
        gang = (attempt.job, attempt.number)
        members = self.members.get(gang, {})
        if members.pop(attempt.share, None) is None or cause == "done" or gang not in self.running:
            return
        self.running.discard(gang)
        self._later(self._break(gang))

    async def _break(self, gang: tuple[str, int]) -> None:
        await asyncio.sleep(self.cloud.timing.gang_peer_s / 2)
        for member, attempt in list(self.members.get(gang, {}).values()):
            member.leave(attempt, "mates_gone")

    def _later(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


class Cloud:
    """Rents machines by type, zone and kind, as far as its capacity goes.

    Attributes:
        capacity: machines that may be up at once, by type, zone and whether they are cheap ones.
        jobs: submissions by id; workers get the descriptions of jobs from here.
        nodes: port of each controller, by label.
        done: tasks whose results are kept.
        ended: how many tasks left a machine, by job and cause.
        returned: names of the machines that the controllers have given back.
        sick_after_s: how long a task runs on a faulty machine before it fails.
        runs: seconds that the tasks of a job run, by job, where that is not `expect_s`.
    """

    def __init__(
        self,
        hulls: list[Hull],
        capacity: dict[tuple[str, str, bool], int],
        timing: Timing,
        list_lag_s: float,
        record: Callable[..., None],
    ) -> None:
        """Start without machines."""
        self.hulls = {hull.label: hull for hull in hulls}
        self.capacity = capacity
        self.timing = timing
        self.list_lag_s = list_lag_s
        self.record = record
        self.server = Server(self.handle)
        self.nodes: dict[str, int] = {}
        self.jobs: dict[str, dict[str, Any]] = {}
        self.runs: dict[str, float] = {}
        self.done: set[str] = set()
        self.workers: dict[str, Worker] = {}
        self.returned: set[str] = set()
        self.charters: dict[str, list[str]] = {}
        self.gangs = Gangs(self)
        self.sick_after_s = 1.0
        self.ended: Counter[tuple[str, str]] = Counter()
        self.number = 0
        self.history: list[tuple[float, list[dict[str, Any]]]] = []
        self.rentals: list[tuple[float, dict[str, Any], int]] = []
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen, and keep what the lagging list shows."""
        await self.server.start()
        self._spawn(self._keep_history())

    def stop(self) -> None:
        """End all machines."""
        for worker in self.workers.values():
            worker.end("the case is over")

    def run_s(self, share: str) -> float:
        """Return how long a task runs."""
        job = share.rsplit("/", 1)[0]
        return self.runs.get(job, self.jobs[job]["expect_s"])

    def _spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def up(self, hull: str, yard: str, loaners: bool) -> int:
        """Return how many machines of a kind there are."""
        return sum(
            not worker.gone
            and (worker.hull.label, worker.yard, worker.loaners) == (hull, yard, loaners)
            for worker in self.workers.values()
        )

    def add(self, hull: str, yard: str, loaners: bool, boot_s: float | None = None) -> Worker:
        """Rent one machine."""
        self.number += 1
        name = f"vm-{self.number:06d}"
        worker = self.workers[name] = Worker(self, name, self.hulls[hull], yard, loaners)
        self._spawn(worker.boot(worker.hull.boot_s if boot_s is None else boot_s))
        return worker

    async def _keep_history(self) -> None:
        while True:
            now = time.monotonic()
            rows = [
                {
                    "id": worker.name,
                    "address": worker.server.address,
                    "hull": worker.hull.label,
                    "yard": worker.yard,
                    "loaners": worker.loaners,
                    "status": "running" if worker.up else "starting",
                    "age_s": now - worker.rented_at,
                }
                for worker in self.workers.values()
                if not worker.gone
            ]
            self.history.append((now, rows))
            while len(self.history) > 1 and self.history[1][0] < now - self.list_lag_s:
                self.history.pop(0)
            await asyncio.sleep(0.2)

    async def handle(self, method: str, target: str, body: Any) -> Reply:
        """Answer a controller."""
        await asyncio.sleep(0.05)
        path, _, query = target.partition("?")
        if path == "/catalog":
            return Reply(200, {"hulls": [hull.message() for hull in self.hulls.values()]})
        if path == "/hosts" and method == "GET":
            parameters = {key: values[0] for key, values in parse_qs(query).items()}
            after, most = parameters.get("from", ""), int(parameters.get("most", 500))
            rows = [row for row in self.history[0][1] if row["id"] > after]
            return Reply(200, {"berths": rows[:most], "truncated": len(rows) > most})
        if path == "/hosts/release":
            self.record("released", machines=",".join(body["berths"]))
            self.returned.update(body["berths"])
            for name in body["berths"]:
                if name in self.workers:
                    self.workers[name].end("released")
            return Reply(200, {})
        if path == "/hosts":
            return self._rent(body)
        return Reply(404, {})

    def _rent(self, body: dict[str, Any]) -> Reply:
        name = body["charter"]
        if name in self.charters:
            return Reply(200, {"berths": self.charters[name]})
        kind = (body["hull"], body["yard"], body["loaners"])
        free = self.capacity.get(kind, 0) - self.up(*kind)
        number = max(0, min(body["how_many"], free))
        self.rentals.append((time.monotonic(), body, number))
        self.record(
            "rental",
            hull=kind[0],
            yard=kind[1],
            loaners=kind[2],
            asked=body["how_many"],
            got=number,
        )
        if not number:
            return Reply(503, {"error": "no capacity"})
        self.charters[name] = [self.add(*kind).name for _ in range(number)]
        return Reply(200, {"berths": self.charters[name]})
