"""Stand-ins for the state service, the cloud and the workers, as far as the protocol describes them."""

from __future__ import annotations

import asyncio
import json
import random
from bisect import bisect_right
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, unquote

from ashdock.net.http import Answer, Client, NoAnswer, Request, Server, plain_connections
from tests.invariants import FreeMachine, InvariantChecker, Placement
from tests.virtual_time import REMOTE_HOST, Network, spawn

STORE_HOST, CLOUD_HOST = "10.2.0.1", "10.2.0.2"


def reply(status: int, body: Any) -> Answer:
    return Answer(status, json.dumps(body).encode())


class FakeStore:
    def __init__(self, net: Network) -> None:
        self.net = net
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.revision = 0
        self.changes: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}  # ends at, ttl
        self.last_lease = 0
        self.down = False
        self.refused_hosts: set[str] = (
            set()
        )  # hosts that it refuses alone: their watches wait, their leases run out
        self.extra_delay_s = 0.0  # seconds more that it takes to answer
        self.lost_answer_share = 0.0  # share of transactions whose answer never comes
        self.late_write_share = 0.0  # share of transactions applied only seconds later, unanswered
        self.rng = random.Random(net.rng.random())
        self.changed = asyncio.Condition()
        self.job_watches_lag = (
            False  # watches of jobs see nothing, and then have fallen too far behind
        )
        self.txn_limits: tuple[float, int] | None = (
            None  # bytes of a value and changes of a transaction that it takes
        )
        self.write_rps: float | None = None
        self.tokens, self.refilled_at = 0.0, 0.0
        self.refused_by_status: dict[int, int] = {}  # by status
        self.write_count = 0  # puts and deletes
        self.request_count = 0
        self.on_transaction: Any = (
            None  # called with each transaction's writes before they are applied
        )
        self.on_compared: Any = (
            None  # called with the paths that a transaction which is applied names, and its writes
        )
        self.fault_for_writes: Callable[[list[dict[str, Any]]], str] | None = (
            None  # "answer" or "late" for writes whose answer alone is lost, or that are late
        )
        self.on_applied: Callable[[str, Any], None] | None = (
            None  # called with each path that was written, and its value
        )

    async def start(self) -> None:
        self.server = Server(self.handle, plain_connections(1000, 600.0, 600.0))
        await self.server.start(STORE_HOST, 2379)
        asyncio.create_task(self._expire_leases())

    def _refuses(self) -> bool:
        return self.down or REMOTE_HOST.get() in self.refused_hosts

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now = asyncio.get_running_loop().time()
            if self.down:
                self.leases = {hold: (now + ttl, ttl) for hold, (_, ttl) in self.leases.items()}
                continue
            for hold in [hold for hold, (ends, _) in self.leases.items() if ends < now]:
                del self.leases[hold]
                gone = [path for path, (_, _, permit) in self.keys.items() if permit == hold]
                if gone:
                    await self._apply([{"delete": path} for path in gone])

    async def _apply(self, writes: list[dict[str, Any]]) -> int:
        self.revision += 1
        for write in writes:
            if "set" in write:
                self.keys[write["set"]] = (write["value"], self.revision, write.get("permit"))
                self.changes.append(
                    {"set": write["set"], "value": write["value"], "stamp": self.revision}
                )
            elif self.keys.pop(write["delete"], None):
                self.changes.append({"delete": write["delete"], "stamp": self.revision})
            if self.on_applied:
                self.on_applied(write.get("set") or write["delete"], write.get("value"))
        async with self.changed:
            self.changed.notify_all()
        return self.revision

    async def handle(self, request: Request) -> Answer:
        path, _, query = request.target.partition("?")
        words = {key: value[0] for key, value in parse_qs(query).items()}
        if path == "/changes":
            return await self._watch(words)
        if self._refuses():
            return reply(503, {"error": "trouble"})
        self.request_count += 1
        await asyncio.sleep(0.003 + self.extra_delay_s)
        if path == "/txn":
            return await self._txn(json.loads(request.body))
        if path.startswith("/holds"):
            return self._handle_lease(request, path)
        if path == "/store":
            found = sorted(
                key
                for key in self.keys
                if key.startswith(words["under"]) and key > words.get("from", "")
            )
            most = int(words.get("most", 1000))
            entries = [
                {"path": key, "value": self.keys[key][0], "stamp": self.keys[key][1]}
                for key in found[:most]
            ]
            return reply(
                200, {"entries": entries, "truncated": len(found) > most, "ledger": self.revision}
            )
        key = unquote(path.removeprefix("/store/"))
        if key not in self.keys:
            return reply(404, {"ledger": self.revision})
        value, revision, permit = self.keys[key]
        return reply(200, {"path": key, "value": value, "stamp": revision, "permit": permit})

    async def _txn(self, body: dict[str, Any]) -> Answer:
        writes = body.get("writes", [])
        lost = self.fault_for_writes(writes) if self.fault_for_writes and writes else ""
        if lost == "late" or self.rng.random() < self.late_write_share:
            asyncio.create_task(self._commit_late(body))
            await asyncio.sleep(60)
        answer = await self._commit(body)
        if lost or (writes and self.rng.random() < self.lost_answer_share):
            await asyncio.sleep(60)
        return answer

    def _limit_status(self, writes: list[dict[str, Any]]) -> int:
        """The status of a transaction beyond the limits, as they are at this moment and without notice; 0 within them."""
        if self.txn_limits:
            most, ops = self.txn_limits
            if len(writes) > ops or any(
                len(json.dumps(w["value"], separators=(",", ":"))) > most
                for w in writes
                if "set" in w
            ):
                return 400
        if self.write_rps and writes:
            now = asyncio.get_running_loop().time()
            self.tokens = min(
                self.write_rps, self.tokens + (now - self.refilled_at) * self.write_rps
            )
            self.refilled_at = now
            if self.tokens < len(writes):
                return 429
            self.tokens -= len(writes)
        return 0

    async def _commit_late(self, body: dict[str, Any]) -> None:
        await asyncio.sleep(2 + 10 * self.rng.random())  # also after newer ones
        await self._commit(body)

    async def _commit(self, body: dict[str, Any]) -> Answer:
        writes = body.get("writes", [])
        if any("permit" in write and write["permit"] not in self.leases for write in writes):
            return reply(400, {"error": "no such lease"})
        failed = [
            c["path"]
            for c in body.get("when", [])
            if self.keys.get(c["path"], (0, 0, 0))[1] != c["stamp"]
        ]
        if failed:
            return reply(409, {"failed": failed, "ledger": self.revision})
        trouble = self._limit_status(writes)
        if trouble:
            self.refused_by_status[trouble] = self.refused_by_status.get(trouble, 0) + 1
            return reply(trouble, {"error": "too large" if trouble == 400 else "too many"})
        self.write_count += len(writes)
        if self.on_transaction:
            self.on_transaction(writes)
        if self.on_compared:
            self.on_compared({c["path"] for c in body.get("when", [])}, writes)
        return reply(200, {"ledger": await self._apply(writes) if writes else self.revision})

    def _handle_lease(self, request: Request, path: str) -> Answer:
        now = asyncio.get_running_loop().time()
        if path == "/holds":
            ttl = json.loads(request.body)["ttl_ms"] / 1000
            self.last_lease += 1
            hold = self.last_lease
            self.leases[hold] = (now + ttl, ttl)
            return reply(200, {"permit": hold})
        hold = int(path.split("/")[2])
        if hold not in self.leases:
            return reply(404, {})
        ttl = self.leases[hold][1]
        self.leases[hold] = (now + ttl, ttl)
        return reply(200, {"permit": hold})

    async def _watch(self, words: dict[str, str]) -> Answer:
        loop = asyncio.get_running_loop()
        until = loop.time() + int(words.get("hold_ms", 0)) / 1000
        after = int(words["from"])
        while self.job_watches_lag and words["under"] == "job/":
            await asyncio.sleep(0.1)
            if not self.job_watches_lag:
                return reply(410, {})
        while True:
            new = self.changes[bisect_right(self.changes, after, key=lambda c: c["stamp"]) :]
            news = [c for c in new if (c.get("set") or c["delete"]).startswith(words["under"])]
            # In an outage it waits beyond its time, as an open watch does.
            if not self._refuses() and (news or loop.time() >= until):
                return reply(200, {"ledger": self.revision, "news": news})
            try:
                async with asyncio.timeout(min(max(until - loop.time(), 0.05), 0.5)):
                    async with self.changed:
                        await self.changed.wait()
            except TimeoutError:
                pass


class FakeWorker:
    """One machine's worker. Faults: `hang`, `error_share`; and whatever the network does."""

    def __init__(
        self, cloud: FakeCloud, name: str, machine_type: str, zone: str, spot: bool, number: int
    ) -> None:
        self.cloud = cloud
        self.name = name
        self.machine_type = machine_type
        self.zone = zone
        self.spot = spot
        self.host = f"10.1.{number // 200}.{number % 200 + 1}"
        self.address = f"{self.host}:9000"
        self.incarnation = 1
        self.sequence = 0
        self.fencing_token = 0
        self.tasks: dict[tuple[str, int], dict[str, Any]] = {}  # by (share, try)
        self.lease_renewed_at = 0.0
        self.failure_share = 0.0
        self.reclaim_at: float | None = None
        self.stopped = False
        self.loses_answers = False  # its reports arrive; answers and direct commands to it are lost
        self.loses_heartbeats = False  # it reaches no controller; direct commands reach it
        self.up = False
        self.not_hung = asyncio.Event()  # cleared while it hangs
        self.not_hung.set()
        self.status_changed = asyncio.Event()
        self.images: set[str] = set()
        self.clients: dict[str, Client] = {}

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def place(self, attempt: int) -> Placement:
        return Placement(self.name, self.machine_type, self.zone, self.spot, attempt)

    async def run(self) -> None:
        self.lease_renewed_at = self.now()
        self.up = True
        await Server(self.handle, plain_connections(50, 600.0, 600.0)).start(self.host, 9000)
        spawn(self.cloud.net, self.host, self._watch_lease())
        nodes = list(self.cloud.nodes)
        at = self.cloud.rng.randrange(len(nodes))
        while not self.stopped:
            await self.not_hung.wait()
            node = nodes[at % len(nodes)]
            pause = await self._send_heartbeat(node)
            if isinstance(pause, str):
                at = nodes.index(pause)
                await asyncio.sleep(0.2)
                continue
            if pause:
                at += 1
                await asyncio.sleep(pause)
                continue
            self.status_changed.clear()
            await asyncio.sleep(0.5)
            try:
                async with asyncio.timeout(self.cloud.report_s - 0.5):
                    await self.status_changed.wait()
            except TimeoutError:
                pass

    async def _watch_lease(self) -> None:
        while not self.stopped:
            await asyncio.sleep(0.1)
            if self.now() - self.lease_renewed_at > self.cloud.lease_s:
                for share, attempt in list(self.tasks):
                    self._remove_task(share, attempt)
                self.tasks.clear()
                self.incarnation += 1
                self.lease_renewed_at = self.now()
                self.status_changed.set()

    def message(self) -> dict[str, Any]:
        self.sequence += 1
        out = []
        for (share, attempt), task in self.tasks.items():
            out.append(
                {"share": share, "try": attempt, "status": task["status"], **task.get("more", {})}
            )
        recall = None if self.reclaim_at is None else max(0.0, self.reclaim_at - self.now())
        return {
            "berth": self.name,
            "address": self.address,
            "hull": self.machine_type,
            "yard": self.zone,
            "loaners": self.spot,
            "tenure": self.incarnation,
            "tally": self.sequence,
            "warrant": self.fencing_token,
            "recall_s": recall,
            "shares": out,
        }

    async def _send_heartbeat(self, node: str) -> float | str:
        """0 to stay, a pause before the next node, or the node to go to."""
        sent, tenure = self.now(), self.incarnation
        client = self.clients.setdefault(
            node, Client(self.cloud.nodes[node], 8080, keep=self.cloud.kept_connections)
        )
        for other in [name for name in self.clients if name != node]:
            self.clients.pop(other).close()
        told = json.dumps(self.message()).encode()
        if self.loses_heartbeats:
            await asyncio.sleep(4.0)
            return 1.0
        if (
            self.cloud.held_heartbeat_share
            and self.cloud.rng.random() < self.cloud.held_heartbeat_share
        ):
            self.cloud.held_heartbeats.append((self, told))
        if (
            self.cloud.late_heartbeat_share
            and self.cloud.rng.random() < self.cloud.late_heartbeat_share
        ):
            spawn(self.cloud.net, self.host, self._resend_heartbeat(node, told))
        try:
            status, body = await client.request("POST", "/checkin", told, 4.0)
            if self.loses_answers:
                await asyncio.sleep(4.0)
                return 1.0
            if not self.not_hung.is_set():
                await self.not_hung.wait()
                if self.now() - sent > 4.0:
                    return 1.0  # dropped, as any answer that comes so late
        except NoAnswer:
            return 1.0
        if status == 421:
            harbour = json.loads(body).get("harbour")
            return harbour if harbour in self.cloud.nodes and harbour != node else 1.0
        if status != 200:
            return 1.0
        answer = json.loads(body)
        if (
            answer["warrant"] >= self.fencing_token
            and tenure == self.incarnation
            and not self.stopped
        ):
            self.fencing_token = answer["warrant"]
            self.lease_renewed_at = sent
            self._execute_commands(answer["orders"])
        return 0.0

    async def hang(self, for_s: float) -> None:
        """It carries nothing out for so long, and then goes on; what it was sent meanwhile is carried out then."""
        self.not_hung.clear()
        await asyncio.sleep(min(for_s, 2.0))
        if not self.not_hung.is_set():  # the mates of its gangs notice
            self.cloud.broken_gangs |= {
                (share.rsplit("/", 1)[0], attempt)
                for (share, attempt), task in self.tasks.items()
                if task["status"] == "running"
            }
        await asyncio.sleep(max(for_s - 2.0, 0.0))
        self.not_hung.set()

    def free_resources(self) -> FreeMachine:
        """What is free on it."""
        runs = [
            self.cloud.invariants.jobs[share.rsplit("/", 1)[0]]
            for (share, _), task in self.tasks.items()
            if task["status"] != "ended"
        ]
        return FreeMachine(
            self.place(0),
            *(
                whole - sum(run[what] for run in runs)
                for what, whole in (("cpus", 32), ("accelerators", 4), ("ram_gb", 192))
            ),
        )

    async def _resend_heartbeat(self, node: str, told: bytes, after_s: float | None = None) -> None:
        """A copy of a report arrives long after newer ones; nobody hears the answer."""
        await asyncio.sleep(
            2 + 1.5 * self.cloud.lease_s * self.cloud.rng.random() if after_s is None else after_s
        )
        try:
            await Client(self.cloud.nodes[node], 8080, keep=0).request(
                "POST", "/checkin", told, 4.0
            )
        except NoAnswer:
            pass

    async def handle(self, request: Request) -> Answer:
        held = self.cloud.held_commands
        if held and request.target == "/orders" and self.cloud.rng.random() < held[0]:
            await asyncio.sleep(
                self.cloud.rng.uniform(*held[1:])
            )  # carried out then, if token and session still match
        if self.loses_answers:
            await asyncio.sleep(60)
            return reply(503, {})
        await self.not_hung.wait()
        if request.target == "/inspect":
            return reply(200, self.message())
        body = json.loads(request.body)
        if "warrant" not in body or "tenure" not in body:
            return reply(400, {})
        if body["warrant"] < self.fencing_token or body["tenure"] != self.incarnation:
            return reply(409, self.message())
        self.fencing_token = body["warrant"]
        self._execute_commands(body["orders"])
        return reply(200, self.message())

    def _execute_commands(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            key = (order["share"], order["try"])
            task = self.tasks.get(key)
            if order["verb"] == "run" and task is None:
                self._start_task(*key)
            elif order["verb"] == "kill" and task and task["status"] != "ended":
                self._end_task(*key, "stopped", kept=order["leeway_s"] > 0)
            elif order["verb"] == "forget" and task and task["status"] == "ended":
                del self.tasks[key]

    def _start_task(self, share: str, attempt: int) -> None:
        job = share.rsplit("/", 1)[0]
        run = self.cloud.invariants.jobs.get(job)
        task = self.tasks[share, attempt] = {"status": "pulling"}
        self.status_changed.set()
        if run is None:
            task.update(status="ended", more={"cause": "no_such"})
            return
        busy = [
            key
            for key, other in self.tasks.items()
            if other["status"] != "ended" and key != (share, attempt)
        ]
        if any(key[0] == share for key in busy):
            task.update(status="ended", more={"cause": "in_use"})
            return
        used = sum(
            self.cloud.invariants.jobs[key[0].rsplit("/", 1)[0]]["accelerators"] for key in busy
        )
        if used + run["accelerators"] > 4:
            task.update(status="ended", more={"cause": "no_room"})
            return
        spawn(self.cloud.net, self.host, self._run_task(share, attempt, run, task))

    async def _run_task(
        self, share: str, attempt: int, run: dict[str, Any], task: dict[str, Any]
    ) -> None:
        job, number = share.rsplit("/", 1)
        if run["bundle"] not in self.images:
            await asyncio.sleep(run["size_gb"] / 2)
        if task["status"] != "pulling":
            return
        self.images.add(run["bundle"])
        self.cloud.invariants.task_started(job, int(number), self.place(attempt), self.now())
        gang = run["shape"] == "ensemble"
        task["status"] = "waiting" if gang else "running"
        self.status_changed.set()
        if gang:
            if not await self.cloud.wait_for_gang(job, attempt, run["shares"], task):
                if task["status"] != "ended":
                    self._end_task(share, attempt, "incomplete")
                return
            task["status"] = "running"
            self.cloud.running_gangs.setdefault((job, attempt), []).append((self, share))
            self.status_changed.set()
        work = (
            run.get("spans", {}).get(int(number), run["expect_s"])
            if run["shape"] != "daemon"
            else 1e9
        )
        # A gang has one progress, that of its first task to save in an attempt. Kept for each task alone, one resumed behind the other, and was
        # not done when the whole was.
        saved = job if gang else share
        left = work - self.cloud.saved_progress_s.get(saved, 0.0)
        failing = run.get("fails", 0) or self.failure_share > self.cloud.rng.random()
        while left > 0:
            step = min(left, 0.5)
            await asyncio.sleep(step)
            await self.not_hung.wait()
            left -= step
            if task["status"] == "ended":
                if (
                    run["snapshot_s"]
                    and task.get("more", {}).get("kept")
                    and self.cloud.saved_in_attempt.get(saved) != attempt
                ):
                    self.cloud.saved_progress_s[saved], self.cloud.saved_in_attempt[saved] = (
                        work - left,
                        attempt,
                    )
                return
            if failing:
                run["fails"] = max(0, run.get("fails", 0) - 1)
                self._end_task(share, attempt, "error")
                return
            if gang and self.cloud.is_gang_broken(job, attempt):
                self._end_task(share, attempt, "mates_gone")
                return
        for mate, its in (
            self.cloud.running_gangs.get((job, attempt), []) if gang else [(self, share)]
        ):
            if (its, attempt) in mate.tasks and mate.tasks[its, attempt]["status"] == "running":
                mate._end_task(its, attempt, "done")

    def _end_task(self, share: str, attempt: int, cause: str, kept: bool = False) -> None:
        task = self.tasks.get((share, attempt))
        if task is None:
            return  # its lease ended meanwhile, and it was forgotten
        task.update(status="ended", more={"cause": cause, "kept": kept})
        self._remove_task(share, attempt, cause == "done")
        self.status_changed.set()

    def _remove_task(self, share: str, attempt: int, done: bool = False) -> None:
        job, number = share.rsplit("/", 1)
        task = self.tasks.get((share, attempt))
        if task is not None and task["status"] != "ended":
            task.update(status="ended", more={"cause": "stopped"})
        self.cloud.invariants.task_left(job, int(number), self.name, done)
        if not done:
            self.cloud.broken_gangs.add((job, attempt))

    def die(self) -> None:
        self.stopped = True
        for share, attempt in list(self.tasks):
            self._remove_task(share, attempt)
        self.cloud.net.kill(self.host)


class FakeCloud:
    """The cloud, its machines, and the nodes' addresses."""

    def __init__(
        self,
        net: Network,
        invariants: InvariantChecker,
        nodes: dict[str, str],
        zones: list[str],
        capacity: int,
        lease_s: float,
        report_s: float,
    ) -> None:
        self.net = net
        self.invariants = invariants
        self.nodes = nodes
        self.zones = zones
        self.capacity = capacity
        self.lease_s = lease_s
        self.report_s = report_s
        self.rng = random.Random(net.rng.random())
        self.workers: dict[str, FakeWorker] = {}
        self.machines_by_intent: dict[str, list[str]] = {}
        self.saved_progress_s: dict[str, float] = {}  # progress of tasks, and of gangs as a whole
        self.saved_in_attempt: dict[str, int] = {}  # attempt
        self.broken_gangs: set[tuple[str, int]] = set()
        self.gang_arrivals: dict[tuple[str, int], int] = {}
        self.running_gangs: dict[
            tuple[str, int], list[tuple[FakeWorker, str]]
        ] = {}  # they complete jointly
        self.number = 0
        self.kept_connections = (
            0  # connections to a controller that a worker keeps between its reports
        )
        self.late_heartbeat_share = 0.0  # share of reports of which a copy arrives again, later
        self.held_heartbeat_share = (
            0.0  # share of which a copy is kept until the lead or a shard changes hands
        )
        self.held_heartbeats: list[tuple[FakeWorker, bytes]] = []
        self.boot_s = 6.0
        self.held_commands: tuple[float, float, float] | None = (
            None  # share of direct commands held up, for how long at least and at most
        )
        self.down = False
        self.list_age_s = 0.0  # how old the machine lists are that it gives
        self.machine_lists: list[tuple[float, list[dict[str, Any]]]] = []
        self.booted_at: dict[str, float] = {}

    async def start(self) -> None:
        self.server = Server(self.handle, plain_connections(1000, 600.0, 600.0))
        await self.server.start(CLOUD_HOST, 8443)

    def owner_changed(self, path: str, value: Any) -> None:
        """The lead or a shard has somebody new: the copies that were kept reach every controller within the next moments."""
        if value is None or not (path == "leader" or path.startswith("part/")):
            return
        kept, self.held_heartbeats = self.held_heartbeats[-100:], []
        for worker, told in kept:
            for node in self.nodes:
                spawn(
                    self.net,
                    worker.host,
                    worker._resend_heartbeat(
                        node, told, self.rng.choice((0.0, 0.3, 2.0)) * self.rng.random()
                    ),
                )

    def free_machines(self) -> list[FreeMachine]:
        """Machines that could take work at this moment."""
        return [
            w.free_resources()
            for w in self.workers.values()
            if w.up
            and not (w.stopped or w.loses_answers or w.loses_heartbeats)
            and w.not_hung.is_set()
            and w.reclaim_at is None
        ]

    def boot(self, zone: str, spot: bool, after: float) -> str:
        name = f"vm-{self.number:06d}"
        worker = self.worker(name, "g4", zone, spot, self.number)
        self.number += 1
        self.workers[name] = worker
        self.booted_at[name] = asyncio.get_running_loop().time()

        async def up() -> None:
            await asyncio.sleep(after)
            if not worker.stopped:
                await worker.run()

        spawn(self.net, worker.host, up())
        return name

    def worker(self, *words: Any) -> FakeWorker:
        return FakeWorker(self, *words)

    def is_gang_broken(self, job: str, attempt: int) -> bool:
        return (job, attempt) in self.broken_gangs

    async def wait_for_gang(self, job: str, attempt: int, size: int, task: dict[str, Any]) -> bool:
        key = (job, attempt)
        self.gang_arrivals[key] = self.gang_arrivals.get(key, 0) + 1
        for _ in range(300):
            if self.gang_arrivals[key] >= size:
                return True
            if task["status"] == "ended":
                break
            await asyncio.sleep(0.1)
        self.gang_arrivals[key] -= 1
        return False

    async def handle(self, request: Request) -> Answer:
        path = request.target.partition("?")[0]
        if self.down:
            return reply(503, {"error": "trouble"})
        if path == "/catalog":
            shape = {
                "label": "g4",
                "cpus": 32,
                "accelerators": 4,
                "ram_gb": 192,
                "cache_gb": 80,
                "fetch_gb_per_s": 2.0,
                "price": 10.0,
                "low_price": 2.5,
                "boot_s": 6.0,
                "yards": self.zones,
            }
            return reply(200, {"hulls": [shape]})
        if path == "/hosts" and request.method == "POST":
            body = json.loads(request.body)
            if body["charter"] not in self.machines_by_intent:
                free = self.capacity - len(self.workers)
                if free <= 0 or body["loaners"]:
                    return reply(503, {"error": "no capacity"})
                names = [
                    self.boot(body["yard"], False, self.boot_s * (0.6 + self.rng.random()))
                    for _ in range(min(free, body["how_many"]))
                ]
                self.machines_by_intent[body["charter"]] = names
            return reply(200, {"berths": self.machines_by_intent[body["charter"]]})
        if path == "/hosts/release":
            for name in json.loads(request.body)["berths"]:
                worker = self.workers.pop(name, None)
                if worker:
                    worker.die()
            return reply(200, {})
        now = asyncio.get_running_loop().time()
        self._record_machine_list(now)
        none: list[dict[str, Any]] = []
        hosts = next(
            (hosts for at, hosts in reversed(self.machine_lists) if at <= now - self.list_age_s),
            none,
        )
        return reply(200, {"berths": hosts, "truncated": False})

    def _record_machine_list(self, now: float) -> None:
        """What the list shows of this moment, once that is as old as lists are."""
        hosts = [
            {
                "id": w.name,
                "address": w.address,
                "hull": w.machine_type,
                "yard": w.zone,
                "loaners": w.spot,
                "status": "running",
                "age_s": now - self.booted_at[w.name],
            }
            for w in self.workers.values()
        ]
        self.machine_lists.append((now, hosts))
