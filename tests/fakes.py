"""Fakes of the store, the cloud and the workers, as far as the protocol describes them."""

from __future__ import annotations

import asyncio
import json
import random
from bisect import bisect_right
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, unquote

from ashdock.net.http import (
    Client,
    NoResponseError,
    Request,
    Response,
    Server,
    undivided_connections,
)
from tests.invariants import FreeMachine, InvariantChecker, Placement
from tests.virtual_time import REMOTE_HOST, Network, spawn

STORE_HOST, CLOUD_HOST = "10.2.0.1", "10.2.0.2"


def reply(status: int, body: Any) -> Response:
    """Return an answer with a JSON body."""
    return Response(status, json.dumps(body).encode())


class FakeStore:
    """A key-value store with revisions, leases, watches and compare-and-swap transactions.

    Its faults and limits are attributes that a test sets while it runs.
    """

    def __init__(self, net: Network) -> None:
        """Create an empty store without faults or limits."""
        self.net = net
        self.keys: dict[str, tuple[Any, int, int | None]] = {}  # path: value, revision, lease
        self.revision = 0
        self.changes: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}  # lease: when it expires, its TTL in s
        self.last_lease = 0
        self.down = False
        # Hosts whose requests alone are refused; their watches wait and their leases expire.
        self.refused_hosts: set[str] = set()
        self.extra_delay_s = 0.0  # added to the time that a request takes
        self.lost_answer_share = 0.0  # of transactions with writes: applied, but not answered
        self.late_write_share = 0.0  # of transactions: applied only 2 to 12 s later, not answered
        self.rng = random.Random(net.rng.random())
        self.changed = asyncio.Condition()
        # While set, watches of jobs return nothing; then they are told that they fell behind (410).
        self.job_watches_lag = False
        # The largest value in bytes and the most writes of a transaction that are accepted.
        self.txn_limits: tuple[float, int] | None = None
        self.write_rps: float | None = None  # token bucket: writes a second, and the largest burst
        self.tokens, self.refilled_at = 0.0, 0.0
        self.refused_by_status: dict[int, int] = {}  # transactions beyond a limit
        self.write_count = 0  # puts and deletes
        self.request_count = 0
        # Called with the writes of each transaction before they are applied.
        self.on_transaction: Any = None
        # Called with the paths that an applied transaction compares, and with its writes.
        self.on_compared: Any = None
        # Returns, for a transaction's writes, "answer" to lose only the answer, "late" to apply
        # them late as well, or "" for no fault.
        self.fault_for_writes: Callable[[list[dict[str, Any]]], str] | None = None
        # Called with each path that was written or deleted, and its value.
        self.on_applied: Callable[[str, Any], None] | None = None

    async def start(self) -> None:
        """Start to listen and to expire leases."""
        self.server = Server(self.handle, undivided_connections(1000, 600.0, 600.0))
        await self.server.start(STORE_HOST, 2379)
        asyncio.create_task(self._expire_leases())

    def _refuses(self) -> bool:
        return self.down or REMOTE_HOST.get() in self.refused_hosts

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now = asyncio.get_running_loop().time()
            if self.down:
                self.leases = {lease: (now + ttl, ttl) for lease, (_, ttl) in self.leases.items()}
                continue
            for lease in [
                lease for lease, (expires_at, _) in self.leases.items() if expires_at < now
            ]:
                del self.leases[lease]
                expired = [path for path, (_, _, held_by) in self.keys.items() if held_by == lease]
                if expired:
                    await self._apply([{"delete": path} for path in expired])

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

    async def handle(self, request: Request) -> Response:
        """Answer a request to the store."""
        path, _, query = request.target.partition("?")
        parameters = {key: value[0] for key, value in parse_qs(query).items()}
        if path == "/changes":
            return await self._watch(parameters)
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
                if key.startswith(parameters["under"]) and key > parameters.get("from", "")
            )
            page_size = int(parameters.get("most", 1000))
            entries = [
                {"path": key, "value": self.keys[key][0], "stamp": self.keys[key][1]}
                for key in found[:page_size]
            ]
            return reply(
                200,
                {"entries": entries, "truncated": len(found) > page_size, "ledger": self.revision},
            )
        key = unquote(path.removeprefix("/store/"))
        if key not in self.keys:
            return reply(404, {"ledger": self.revision})
        value, revision, lease = self.keys[key]
        return reply(200, {"path": key, "value": value, "stamp": revision, "permit": lease})

    async def _txn(self, body: dict[str, Any]) -> Response:
        writes = body.get("writes", [])
        fault = self.fault_for_writes(writes) if self.fault_for_writes and writes else ""
        if fault == "late" or self.rng.random() < self.late_write_share:
            asyncio.create_task(self._commit_late(body))
            await asyncio.sleep(60)
        answer = await self._commit(body)
        if fault or (writes and self.rng.random() < self.lost_answer_share):
            await asyncio.sleep(60)
        return answer

    def _limit_status(self, writes: list[dict[str, Any]]) -> int:
        """Return the error status of a transaction that is beyond the limits, or 0."""
        if self.txn_limits:
            max_value_bytes, max_writes = self.txn_limits
            if len(writes) > max_writes or any(
                len(json.dumps(w["value"], separators=(",", ":"))) > max_value_bytes
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
        await asyncio.sleep(2 + 10 * self.rng.random())  # so that newer ones may precede it
        await self._commit(body)

    async def _commit(self, body: dict[str, Any]) -> Response:
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
        status = self._limit_status(writes)
        if status:
            self.refused_by_status[status] = self.refused_by_status.get(status, 0) + 1
            return reply(status, {"error": "too large" if status == 400 else "too many"})
        self.write_count += len(writes)
        if self.on_transaction:
            self.on_transaction(writes)
        if self.on_compared:
            self.on_compared({c["path"] for c in body.get("when", [])}, writes)
        return reply(200, {"ledger": await self._apply(writes) if writes else self.revision})

    def _handle_lease(self, request: Request, path: str) -> Response:
        now = asyncio.get_running_loop().time()
        if path == "/holds":
            ttl = json.loads(request.body)["ttl_ms"] / 1000
            self.last_lease += 1
            lease = self.last_lease
            self.leases[lease] = (now + ttl, ttl)
            return reply(200, {"permit": lease})
        lease = int(path.split("/")[2])
        if lease not in self.leases:
            return reply(404, {})
        ttl = self.leases[lease][1]
        self.leases[lease] = (now + ttl, ttl)
        return reply(200, {"permit": lease})

    async def _watch(self, parameters: dict[str, str]) -> Response:
        loop = asyncio.get_running_loop()
        until = loop.time() + int(parameters.get("hold_ms", 0)) / 1000
        after = int(parameters["from"])
        while self.job_watches_lag and parameters["under"] == "job/":
            await asyncio.sleep(0.1)
            if not self.job_watches_lag:
                return reply(410, {})
        while True:
            later_changes = self.changes[
                bisect_right(self.changes, after, key=lambda c: c["stamp"]) :
            ]
            watched = [
                c
                for c in later_changes
                if (c.get("set") or c["delete"]).startswith(parameters["under"])
            ]
            # In an outage it waits beyond its time limit, as an open connection does.
            if not self._refuses() and (watched or loop.time() >= until):
                return reply(200, {"ledger": self.revision, "news": watched})
            try:
                async with asyncio.timeout(min(max(until - loop.time(), 0.05), 0.5)):
                    async with self.changed:
                        await self.changed.wait()
            except TimeoutError:
                pass


class FakeWorker:
    """The worker of one machine, which sends heartbeats to a controller and runs its commands.

    Its faults are `hang`, `die`, `failure_share`, `loses_answers`, `loses_heartbeats` and those of
    the network.
    """

    def __init__(
        self, cloud: FakeCloud, name: str, machine_type: str, zone: str, spot: bool, number: int
    ) -> None:
        """Create the worker of the `number`-th machine, which determines its address."""
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
        self.tasks: dict[tuple[str, int], dict[str, Any]] = {}  # by task and attempt
        # Bodies of the direct requests that it carried out, by task and attempt that they started.
        self.start_requests: dict[tuple[str, int], list[dict[str, Any]]] = {}
        self.lease_renewed_at = 0.0
        self.failure_share = 0.0  # of its tasks, that exit with an error
        self.reclaim_at: float | None = None  # when the cloud takes back its spot machine
        self.stopped = False
        self.loses_answers = False  # and direct commands; its heartbeats arrive
        self.loses_heartbeats = False  # it reaches no controller; direct commands arrive
        self.up = False
        self.not_hung = asyncio.Event()
        self.not_hung.set()
        self.status_changed = asyncio.Event()
        self.images: set[str] = set()
        self.clients: dict[str, Client] = {}

    def now(self) -> float:
        """Return the virtual time in seconds."""
        return asyncio.get_running_loop().time()

    def placement(self, attempt: int) -> Placement:
        """Return this machine as the place of an attempt."""
        return Placement(self.name, self.machine_type, self.zone, self.spot, attempt)

    async def run(self) -> None:
        """Send heartbeats to one controller after the other until the worker is stopped."""
        self.lease_renewed_at = self.now()
        self.up = True
        await Server(self.handle, undivided_connections(50, 600.0, 600.0)).start(self.host, 9000)
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
                for task_id, attempt in list(self.tasks):
                    self._remove_task(task_id, attempt)
                self.tasks.clear()
                self.incarnation += 1
                self.lease_renewed_at = self.now()
                self.status_changed.set()

    def message(self) -> dict[str, Any]:
        """Return the next heartbeat."""
        self.sequence += 1
        tasks = []
        for (task_id, attempt), task in self.tasks.items():
            tasks.append(
                {"share": task_id, "try": attempt, "status": task["status"], **task.get("more", {})}
            )
        reclaim_in_s = None if self.reclaim_at is None else max(0.0, self.reclaim_at - self.now())
        return {
            "berth": self.name,
            "address": self.address,
            "hull": self.machine_type,
            "yard": self.zone,
            "loaners": self.spot,
            "tenure": self.incarnation,
            "tally": self.sequence,
            "warrant": self.fencing_token,
            "recall_s": reclaim_in_s,
            "shares": tasks,
        }

    async def _send_heartbeat(self, node: str) -> float | str:
        """Send a heartbeat to a controller.

        Returns 0 to stay with this controller, the pause in seconds before the next one, or
        the name of the controller to go to.
        """
        sent_at, incarnation = self.now(), self.incarnation
        client = self.clients.setdefault(
            node, Client(self.cloud.nodes[node], 8080, max_idle=self.cloud.kept_connections)
        )
        for other in [name for name in self.clients if name != node]:
            self.clients.pop(other).close()
        heartbeat = json.dumps(self.message()).encode()
        if self.loses_heartbeats:
            await asyncio.sleep(4.0)
            return 1.0
        if (
            self.cloud.held_heartbeat_share
            and self.cloud.rng.random() < self.cloud.held_heartbeat_share
        ):
            self.cloud.held_heartbeats.append((self, heartbeat))
        if (
            self.cloud.late_heartbeat_share
            and self.cloud.rng.random() < self.cloud.late_heartbeat_share
        ):
            spawn(self.cloud.net, self.host, self._resend_heartbeat(node, heartbeat))
        try:
            status, body = await client.request("POST", "/checkin", heartbeat, 4.0)
            if self.loses_answers:
                await asyncio.sleep(4.0)
                return 1.0
            if not self.not_hung.is_set():
                await self.not_hung.wait()
                if self.now() - sent_at > 4.0:
                    return 1.0  # dropped, like any answer after the timeout
        except NoResponseError:
            return 1.0
        if status == 421:
            owner = json.loads(body).get("harbour")
            return owner if owner in self.cloud.nodes and owner != node else 1.0
        if status != 200:
            return 1.0
        answer = json.loads(body)
        if (
            answer["warrant"] >= self.fencing_token
            and incarnation == self.incarnation
            and not self.stopped
        ):
            self.fencing_token = answer["warrant"]
            self.lease_renewed_at = sent_at
            self._execute_commands(answer["orders"])
        return 0.0

    async def hang(self, for_s: float) -> None:
        """Stop working for a time, then go on and execute what was received meanwhile."""
        self.not_hung.clear()
        await asyncio.sleep(min(for_s, 2.0))
        if not self.not_hung.is_set():  # the other tasks of its gangs notice after 2 s
            self.cloud.broken_gangs |= {
                (task_id.rsplit("/", 1)[0], attempt)
                for (task_id, attempt), task in self.tasks.items()
                if task["status"] == "running"
            }
        await asyncio.sleep(max(for_s - 2.0, 0.0))
        self.not_hung.set()

    def free_resources(self) -> FreeMachine:
        """Return the machine with its free resources."""
        jobs = [
            self.cloud.invariants.jobs[task_id.rsplit("/", 1)[0]]
            for (task_id, _), task in self.tasks.items()
            if task["status"] != "ended"
        ]
        return FreeMachine(
            self.placement(0),
            *(
                total - sum(job[resource] for job in jobs)
                for resource, total in (("cpus", 32), ("accelerators", 4), ("ram_gb", 192))
            ),
        )

    async def _resend_heartbeat(
        self, node: str, heartbeat: bytes, after_s: float | None = None
    ) -> None:
        """Deliver a copy of a heartbeat long after newer ones; its answer is ignored."""
        await asyncio.sleep(
            2 + 1.5 * self.cloud.lease_s * self.cloud.rng.random() if after_s is None else after_s
        )
        try:
            await Client(self.cloud.nodes[node], 8080, max_idle=0).request(
                "POST", "/checkin", heartbeat, 4.0
            )
        except NoResponseError:
            pass

    async def handle(self, request: Request) -> Response:
        """Answer a request of a controller."""
        held = self.cloud.held_commands
        if held and request.target == "/orders" and self.cloud.rng.random() < held[0]:
            # Executed after the delay, if fencing token and incarnation still match.
            await asyncio.sleep(self.cloud.rng.uniform(*held[1:]))
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
        if self.cloud.repeated_starts_after_s is not None:
            for command in body["orders"]:
                if command["verb"] == "run":
                    key = (command["share"], command["try"])
                    self.start_requests.setdefault(key, []).append(body)
        return reply(200, self.message())

    async def _repeat_request(self, body: dict[str, Any]) -> None:
        """Receive a direct request again, after a delay; its answer reaches nobody."""
        await asyncio.sleep(self.cloud.rng.uniform(*self.cloud.repeated_starts_after_s or (0, 0)))
        await self.not_hung.wait()
        if self.stopped:
            return
        if body["warrant"] >= self.fencing_token and body["tenure"] == self.incarnation:
            self.fencing_token = body["warrant"]
            self._execute_commands(body["orders"])

    def _execute_commands(self, commands: list[dict[str, Any]]) -> None:
        for command in commands:
            key = (command["share"], command["try"])
            task = self.tasks.get(key)
            if command["verb"] == "run" and task is None:
                self._start_task(*key)
            elif command["verb"] == "kill" and task and task["status"] != "ended":
                self._end_task(*key, "stopped", saved=command["leeway_s"] > 0)
            elif command["verb"] == "forget" and task and task["status"] == "ended":
                del self.tasks[key]
                for request in self.start_requests.pop(key, []):
                    spawn(self.cloud.net, self.host, self._repeat_request(request))

    def _start_task(self, task_id: str, attempt: int) -> None:
        job = task_id.rsplit("/", 1)[0]
        spec = self.cloud.invariants.jobs.get(job)
        task = self.tasks[task_id, attempt] = {"status": "pulling"}
        self.status_changed.set()
        if spec is None:
            task.update(status="ended", more={"cause": "no_such"})
            return
        busy = [
            key
            for key, other in self.tasks.items()
            if other["status"] != "ended" and key != (task_id, attempt)
        ]
        if any(key[0] == task_id for key in busy):
            task.update(status="ended", more={"cause": "in_use"})
            return
        used = sum(
            self.cloud.invariants.jobs[key[0].rsplit("/", 1)[0]]["accelerators"] for key in busy
        )
        if used + spec["accelerators"] > 4:
            task.update(status="ended", more={"cause": "no_room"})
            return
        spawn(self.cloud.net, self.host, self._run_task(task_id, attempt, spec, task))

    async def _run_task(
        self, task_id: str, attempt: int, spec: dict[str, Any], task: dict[str, Any]
    ) -> None:
        job, number = task_id.rsplit("/", 1)
        if spec["bundle"] not in self.images:
            await asyncio.sleep(spec["size_gb"] / 2)
        if task["status"] != "pulling":
            return
        self.images.add(spec["bundle"])
        self.cloud.invariants.task_started(job, int(number), self.placement(attempt), self.now())
        gang = spec["shape"] == "ensemble"
        task["status"] = "waiting" if gang else "running"
        self.status_changed.set()
        if gang:
            if not await self.cloud.wait_for_gang(job, attempt, spec["shares"], task):
                if task["status"] != "ended":
                    self._end_task(task_id, attempt, "incomplete")
                return
            task["status"] = "running"
            self.cloud.running_gangs.setdefault((job, attempt), []).append((self, task_id))
            self.status_changed.set()
        work = (
            spec.get("spans", {}).get(int(number), spec["expect_s"])
            if spec["shape"] != "daemon"
            else 1e9
        )
        # A gang has one checkpoint per attempt, that of its first task to save. With a checkpoint
        # of its own, a task resumed behind the others and was not done when the gang was.
        saved_by = job if gang else task_id
        left = work - self.cloud.saved_progress_s.get(saved_by, 0.0)
        failing = spec.get("fails", 0) or self.failure_share > self.cloud.rng.random()
        while left > 0:
            step = min(left, 0.5)
            await asyncio.sleep(step)
            await self.not_hung.wait()
            left -= step
            if task["status"] == "ended":
                if (
                    spec["snapshot_s"]
                    and task.get("more", {}).get("kept")
                    and self.cloud.saved_in_attempt.get(saved_by) != attempt
                ):
                    self.cloud.saved_progress_s[saved_by], self.cloud.saved_in_attempt[saved_by] = (
                        work - left,
                        attempt,
                    )
                return
            if failing:
                spec["fails"] = max(0, spec.get("fails", 0) - 1)
                self._end_task(task_id, attempt, "error")
                return
            if gang and self.cloud.is_gang_broken(job, attempt):
                self._end_task(task_id, attempt, "mates_gone")
                return
        for worker, peer_id in (
            self.cloud.running_gangs.get((job, attempt), []) if gang else [(self, task_id)]
        ):
            if (peer_id, attempt) in worker.tasks and worker.tasks[peer_id, attempt][
                "status"
            ] == "running":
                worker._end_task(peer_id, attempt, "done")

    def _end_task(self, task_id: str, attempt: int, cause: str, saved: bool = False) -> None:
        task = self.tasks.get((task_id, attempt))
        if task is None:
            return  # removed meanwhile, because the lease of its worker expired
        task.update(status="ended", more={"cause": cause, "kept": saved})
        self._remove_task(task_id, attempt, cause == "done")
        self.status_changed.set()

    def _remove_task(self, task_id: str, attempt: int, done: bool = False) -> None:
        job, number = task_id.rsplit("/", 1)
        task = self.tasks.get((task_id, attempt))
        if task is not None and task["status"] != "ended":
            task.update(status="ended", more={"cause": "stopped"})
        self.cloud.invariants.task_left(job, int(number), self.name, done)
        if not done:
            self.cloud.broken_gangs.add((job, attempt))

    def die(self) -> None:
        """Stop the machine at once, with all tasks on it."""
        self.stopped = True
        for task_id, attempt in list(self.tasks):
            self._remove_task(task_id, attempt)
        self.cloud.net.kill(self.host)


class FakeCloud:
    """The cloud with its machines, and the state that the workers on them share."""

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
        """Create a cloud without machines.

        Args:
            net: The network that all hosts are on.
            invariants: Is told of the starts and ends of tasks.
            nodes: Addresses of the controllers, by name.
            zones: Zones in which machines may be rented.
            capacity: The most machines that may be rented at once.
            lease_s: Tasks of a worker end if no controller answers it for so long.
            report_s: Time between the heartbeats of a worker.
        """
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
        self.saved_progress_s: dict[str, float] = {}  # by task, and for gangs by job
        self.saved_in_attempt: dict[str, int] = {}  # by task, and for gangs by job
        self.broken_gangs: set[tuple[str, int]] = set()  # (job, attempt)
        self.gang_arrivals: dict[tuple[str, int], int] = {}  # tasks that are ready, by job, attempt
        # Tasks that complete together, with their workers, by job and attempt.
        self.running_gangs: dict[tuple[str, int], list[tuple[FakeWorker, str]]] = {}
        self.number = 0  # of the next machine
        self.kept_connections = 0  # to a controller, that a worker keeps between its heartbeats
        self.late_heartbeat_share = 0.0  # of heartbeats: a copy is delivered again later
        # Share of heartbeats of which a copy is held until the leader or a shard's owner changes.
        self.held_heartbeat_share = 0.0
        self.held_heartbeats: list[tuple[FakeWorker, bytes]] = []
        self.boot_s = 6.0
        # Share of the direct commands that are delayed, and the least and the greatest delay in s.
        self.held_commands: tuple[float, float, float] | None = None
        # Least and greatest delay in s after which a direct request that started an attempt comes
        # again, once the worker has forgotten the attempt; None: it does not.
        self.repeated_starts_after_s: tuple[float, float] | None = None
        self.down = False
        self.list_age_s = 0.0  # age of the machine lists that are returned
        self.machine_lists: list[tuple[float, list[dict[str, Any]]]] = []  # with their times
        self.booted_at: dict[str, float] = {}

    async def start(self) -> None:
        """Start to listen."""
        self.server = Server(self.handle, undivided_connections(1000, 600.0, 600.0))
        await self.server.start(CLOUD_HOST, 8443)

    def owner_changed(self, path: str, value: Any) -> None:
        """Deliver the held heartbeats to every controller if another one leads or owns a shard.

        Each arrives after up to 2 s. At most the last 100 are delivered; all are discarded.

        Args:
            path: The path that was written in the store.
            value: Its new value; None if it was deleted.
        """
        if value is None or not (path == "leader" or path.startswith("part/")):
            return
        held, self.held_heartbeats = self.held_heartbeats[-100:], []
        for worker, heartbeat in held:
            for node in self.nodes:
                spawn(
                    self.net,
                    worker.host,
                    worker._resend_heartbeat(
                        node, heartbeat, self.rng.choice((0.0, 0.3, 2.0)) * self.rng.random()
                    ),
                )

    def free_machines(self) -> list[FreeMachine]:
        """Return the machines that could run tasks now, with their free resources."""
        return [
            w.free_resources()
            for w in self.workers.values()
            if w.up
            and not (w.stopped or w.loses_answers or w.loses_heartbeats)
            and w.not_hung.is_set()
            and w.reclaim_at is None
        ]

    def boot(self, zone: str, spot: bool, delay_s: float) -> str:
        """Rent a machine whose worker starts after a delay; return its name."""
        name = f"vm-{self.number:06d}"
        worker = self.worker(name, "g4", zone, spot, self.number)
        self.number += 1
        self.workers[name] = worker
        self.booted_at[name] = asyncio.get_running_loop().time()

        async def start_worker() -> None:
            await asyncio.sleep(delay_s)
            if not worker.stopped:
                await worker.run()

        spawn(self.net, worker.host, start_worker())
        return name

    def worker(self, *arguments: Any) -> FakeWorker:
        """Create the worker of a new machine."""
        return FakeWorker(self, *arguments)

    def is_gang_broken(self, job: str, attempt: int) -> bool:
        """Return whether a task of the attempt ended before it was done, or its machine hangs."""
        return (job, attempt) in self.broken_gangs

    async def wait_for_gang(self, job: str, attempt: int, size: int, task: dict[str, Any]) -> bool:
        """Wait up to 30 s for all tasks of a gang's attempt; return whether all are ready."""
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

    async def handle(self, request: Request) -> Response:
        """Answer a request to the cloud."""
        path = request.target.partition("?")[0]
        if self.down:
            return reply(503, {"error": "trouble"})
        if path == "/catalog":
            machine_type = {
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
            return reply(200, {"hulls": [machine_type]})
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
        no_hosts: list[dict[str, Any]] = []
        hosts = next(
            (hosts for at, hosts in reversed(self.machine_lists) if at <= now - self.list_age_s),
            no_hosts,
        )
        return reply(200, {"berths": hosts, "truncated": False})

    def _record_machine_list(self, now: float) -> None:
        """Record the present machines, to be returned once the list has the age of `list_age_s`."""
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
