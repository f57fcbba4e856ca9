"""Stand-ins for the state service, the cloud and the workers, as far as the protocol describes them."""

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
from tests.rules import On, Room, Rules
from tests.simtime import CALLER, Net, spawn

STATE, CLOUD = "10.2.0.1", "10.2.0.2"


def reply(status: int, body: Any) -> Response:
    return Response(status, json.dumps(body).encode())


class State:
    def __init__(self, net: Net) -> None:
        self.net = net
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.ledger = 0
        self.changes: list[dict[str, Any]] = []
        self.holds: dict[int, tuple[float, float]] = {}  # ends at, ttl
        self.permits = 0
        self.down = False
        self.refusing: set[str] = (
            set()
        )  # hosts that it refuses alone: their watches wait, their leases run out
        self.slow = 0.0  # seconds more that it takes to answer
        self.lose_answers = 0.0  # share of transactions whose answer never comes
        self.apply_late = 0.0  # share of transactions applied only seconds later, unanswered
        self.rng = random.Random(net.rng.random())
        self.wake = asyncio.Condition()
        self.blind = False  # watches of jobs see nothing, and then have fallen too far behind
        self.limits: tuple[float, int] | None = (
            None  # bytes of a value and changes of a transaction that it takes
        )
        self.write_rps: float | None = None
        self.tokens, self.filled = 0.0, 0.0
        self.refused: dict[int, int] = {}  # by status
        self.counted = 0  # puts and deletes
        self.requests = 0
        self.hook: Any = None  # called with each transaction's writes before they are applied
        self.fenced: Any = (
            None  # called with the paths that a transaction which is applied names, and its writes
        )
        self.lost: Callable[[list[dict[str, Any]]], str] | None = (
            None  # "answer" or "late" for writes whose answer alone is lost, or that are late
        )
        self.applied: Callable[[str, Any], None] | None = (
            None  # called with each path that was written, and its value
        )

    async def start(self) -> None:
        self.server = Server(self.handle, undivided_connections(1000, 600.0, 600.0))
        await self.server.start(STATE, 2379)
        asyncio.create_task(self._expire())

    def _refuses(self) -> bool:
        return self.down or CALLER.get() in self.refusing

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now = asyncio.get_running_loop().time()
            if self.down:
                self.holds = {hold: (now + ttl, ttl) for hold, (_, ttl) in self.holds.items()}
                continue
            for hold in [hold for hold, (ends, _) in self.holds.items() if ends < now]:
                del self.holds[hold]
                gone = [path for path, (_, _, permit) in self.keys.items() if permit == hold]
                if gone:
                    await self._apply([{"delete": path} for path in gone])

    async def _apply(self, writes: list[dict[str, Any]]) -> int:
        self.ledger += 1
        for write in writes:
            if "set" in write:
                self.keys[write["set"]] = (write["value"], self.ledger, write.get("permit"))
                self.changes.append(
                    {"set": write["set"], "value": write["value"], "stamp": self.ledger}
                )
            elif self.keys.pop(write["delete"], None):
                self.changes.append({"delete": write["delete"], "stamp": self.ledger})
            if self.applied:
                self.applied(write.get("set") or write["delete"], write.get("value"))
        async with self.wake:
            self.wake.notify_all()
        return self.ledger

    async def handle(self, request: Request) -> Response:
        path, _, query = request.target.partition("?")
        words = {key: value[0] for key, value in parse_qs(query).items()}
        if path == "/changes":
            return await self._watch(words)
        if self._refuses():
            return reply(503, {"error": "trouble"})
        self.requests += 1
        await asyncio.sleep(0.003 + self.slow)
        if path == "/txn":
            return await self._txn(json.loads(request.body))
        if path.startswith("/holds"):
            return self._hold(request, path)
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
                200, {"entries": entries, "truncated": len(found) > most, "ledger": self.ledger}
            )
        key = unquote(path.removeprefix("/store/"))
        if key not in self.keys:
            return reply(404, {"ledger": self.ledger})
        value, revision, permit = self.keys[key]
        return reply(200, {"path": key, "value": value, "stamp": revision, "permit": permit})

    async def _txn(self, body: dict[str, Any]) -> Response:
        writes = body.get("writes", [])
        lost = self.lost(writes) if self.lost and writes else ""
        if lost == "late" or self.rng.random() < self.apply_late:
            asyncio.create_task(self._late(body))
            await asyncio.sleep(60)
        answer = await self._decide(body)
        if lost or (writes and self.rng.random() < self.lose_answers):
            await asyncio.sleep(60)
        return answer

    def _beyond(self, writes: list[dict[str, Any]]) -> int:
        """The status of a transaction beyond the limits, as they are at this moment and without notice; 0 within them."""
        if self.limits:
            most, ops = self.limits
            if len(writes) > ops or any(
                len(json.dumps(w["value"], separators=(",", ":"))) > most
                for w in writes
                if "set" in w
            ):
                return 400
        if self.write_rps and writes:
            now = asyncio.get_running_loop().time()
            self.tokens = min(self.write_rps, self.tokens + (now - self.filled) * self.write_rps)
            self.filled = now
            if self.tokens < len(writes):
                return 429
            self.tokens -= len(writes)
        return 0

    async def _late(self, body: dict[str, Any]) -> None:
        await asyncio.sleep(2 + 10 * self.rng.random())  # also after newer ones
        await self._decide(body)

    async def _decide(self, body: dict[str, Any]) -> Response:
        writes = body.get("writes", [])
        if any("permit" in write and write["permit"] not in self.holds for write in writes):
            return reply(400, {"error": "no such lease"})
        failed = [
            c["path"]
            for c in body.get("when", [])
            if self.keys.get(c["path"], (0, 0, 0))[1] != c["stamp"]
        ]
        if failed:
            return reply(409, {"failed": failed, "ledger": self.ledger})
        trouble = self._beyond(writes)
        if trouble:
            self.refused[trouble] = self.refused.get(trouble, 0) + 1
            return reply(trouble, {"error": "too large" if trouble == 400 else "too many"})
        self.counted += len(writes)
        if self.hook:
            self.hook(writes)
        if self.fenced:
            self.fenced({c["path"] for c in body.get("when", [])}, writes)
        return reply(200, {"ledger": await self._apply(writes) if writes else self.ledger})

    def _hold(self, request: Request, path: str) -> Response:
        now = asyncio.get_running_loop().time()
        if path == "/holds":
            ttl = json.loads(request.body)["ttl_ms"] / 1000
            self.permits += 1
            hold = self.permits
            self.holds[hold] = (now + ttl, ttl)
            return reply(200, {"permit": hold})
        hold = int(path.split("/")[2])
        if hold not in self.holds:
            return reply(404, {})
        ttl = self.holds[hold][1]
        self.holds[hold] = (now + ttl, ttl)
        return reply(200, {"permit": hold})

    async def _watch(self, words: dict[str, str]) -> Response:
        loop = asyncio.get_running_loop()
        until = loop.time() + int(words.get("hold_ms", 0)) / 1000
        after = int(words["from"])
        while self.blind and words["under"] == "job/":
            await asyncio.sleep(0.1)
            if not self.blind:
                return reply(410, {})
        while True:
            new = self.changes[bisect_right(self.changes, after, key=lambda c: c["stamp"]) :]
            news = [c for c in new if (c.get("set") or c["delete"]).startswith(words["under"])]
            # In an outage it waits beyond its time, as an open watch does.
            if not self._refuses() and (news or loop.time() >= until):
                return reply(200, {"ledger": self.ledger, "news": news})
            try:
                async with asyncio.timeout(min(max(until - loop.time(), 0.05), 0.5)):
                    async with self.wake:
                        await self.wake.wait()
            except TimeoutError:
                pass


class Worker:
    """One machine's worker. Faults: `hang`, `error_share`; and whatever the network does."""

    def __init__(
        self, world: World, name: str, kind: str, zone: str, spot: bool, number: int
    ) -> None:
        self.world = world
        self.name = name
        self.kind = kind
        self.zone = zone
        self.spot = spot
        self.host = f"10.1.{number // 200}.{number % 200 + 1}"
        self.address = f"{self.host}:9000"
        self.tenure = 1
        self.tally = 0
        self.token = 0
        self.shares: dict[tuple[str, int], dict[str, Any]] = {}  # by (share, try)
        self.renewed = 0.0
        self.error_share = 0.0
        self.recall_at: float | None = None
        self.dead = False
        self.deaf = False  # its reports arrive; answers and direct commands to it are lost
        self.mute = False  # it reaches no controller; direct commands reach it
        self.up = False
        self.awake = asyncio.Event()  # cleared while it hangs
        self.awake.set()
        self.change = asyncio.Event()
        self.images: set[str] = set()
        self.clients: dict[str, Client] = {}

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def place(self, attempt: int) -> On:
        return On(self.name, self.kind, self.zone, self.spot, attempt)

    async def run(self) -> None:
        self.renewed = self.now()
        self.up = True
        await Server(self.handle, undivided_connections(50, 600.0, 600.0)).start(self.host, 9000)
        spawn(self.world.net, self.host, self._lease())
        nodes = list(self.world.nodes)
        at = self.world.rng.randrange(len(nodes))
        while not self.dead:
            await self.awake.wait()
            node = nodes[at % len(nodes)]
            pause = await self._report(node)
            if isinstance(pause, str):
                at = nodes.index(pause)
                await asyncio.sleep(0.2)
                continue
            if pause:
                at += 1
                await asyncio.sleep(pause)
                continue
            self.change.clear()
            await asyncio.sleep(0.5)
            try:
                async with asyncio.timeout(self.world.report_s - 0.5):
                    await self.change.wait()
            except TimeoutError:
                pass

    async def _lease(self) -> None:
        while not self.dead:
            await asyncio.sleep(0.1)
            if self.now() - self.renewed > self.world.lease_s:
                for share, attempt in list(self.shares):
                    self._gone(share, attempt)
                self.shares.clear()
                self.tenure += 1
                self.renewed = self.now()
                self.change.set()

    def message(self) -> dict[str, Any]:
        self.tally += 1
        out = []
        for (share, attempt), task in self.shares.items():
            out.append(
                {"share": share, "try": attempt, "status": task["status"], **task.get("more", {})}
            )
        recall = None if self.recall_at is None else max(0.0, self.recall_at - self.now())
        return {
            "berth": self.name,
            "address": self.address,
            "hull": self.kind,
            "yard": self.zone,
            "loaners": self.spot,
            "tenure": self.tenure,
            "tally": self.tally,
            "warrant": self.token,
            "recall_s": recall,
            "shares": out,
        }

    async def _report(self, node: str) -> float | str:
        """0 to stay, a pause before the next node, or the node to go to."""
        sent, tenure = self.now(), self.tenure
        client = self.clients.setdefault(
            node, Client(self.world.nodes[node], 8080, max_idle=self.world.keep)
        )
        for other in [name for name in self.clients if name != node]:
            self.clients.pop(other).close()
        told = json.dumps(self.message()).encode()
        if self.mute:
            await asyncio.sleep(4.0)
            return 1.0
        if self.world.kept_share and self.world.rng.random() < self.world.kept_share:
            self.world.kept.append((self, told))
        if self.world.late_reports and self.world.rng.random() < self.world.late_reports:
            spawn(self.world.net, self.host, self._again(node, told))
        try:
            status, body = await client.request("POST", "/checkin", told, 4.0)
            if self.deaf:
                await asyncio.sleep(4.0)
                return 1.0
            if not self.awake.is_set():
                await self.awake.wait()
                if self.now() - sent > 4.0:
                    return 1.0  # dropped, as any answer that comes so late
        except NoResponseError:
            return 1.0
        if status == 421:
            harbour = json.loads(body).get("harbour")
            return harbour if harbour in self.world.nodes and harbour != node else 1.0
        if status != 200:
            return 1.0
        answer = json.loads(body)
        if answer["warrant"] >= self.token and tenure == self.tenure and not self.dead:
            self.token = answer["warrant"]
            self.renewed = sent
            self._obey(answer["orders"])
        return 0.0

    async def hang(self, for_s: float) -> None:
        """It carries nothing out for so long, and then goes on; what it was sent meanwhile is carried out then."""
        self.awake.clear()
        await asyncio.sleep(min(for_s, 2.0))
        if not self.awake.is_set():  # the mates of its gangs notice
            self.world.lost_mates |= {
                (share.rsplit("/", 1)[0], attempt)
                for (share, attempt), task in self.shares.items()
                if task["status"] == "running"
            }
        await asyncio.sleep(max(for_s - 2.0, 0.0))
        self.awake.set()

    def room(self) -> Room:
        """What is free on it."""
        runs = [
            self.world.rules.jobs[share.rsplit("/", 1)[0]]
            for (share, _), task in self.shares.items()
            if task["status"] != "ended"
        ]
        return Room(
            self.place(0),
            *(
                whole - sum(run[what] for run in runs)
                for what, whole in (("cpus", 32), ("accelerators", 4), ("ram_gb", 192))
            ),
        )

    async def _again(self, node: str, told: bytes, after_s: float | None = None) -> None:
        """A copy of a report arrives long after newer ones; nobody hears the answer."""
        await asyncio.sleep(
            2 + 1.5 * self.world.lease_s * self.world.rng.random() if after_s is None else after_s
        )
        try:
            await Client(self.world.nodes[node], 8080, max_idle=0).request(
                "POST", "/checkin", told, 4.0
            )
        except NoResponseError:
            pass

    async def handle(self, request: Request) -> Response:
        held = self.world.held_orders
        if held and request.target == "/orders" and self.world.rng.random() < held[0]:
            await asyncio.sleep(
                self.world.rng.uniform(*held[1:])
            )  # carried out then, if token and session still match
        if self.deaf:
            await asyncio.sleep(60)
            return reply(503, {})
        await self.awake.wait()
        if request.target == "/inspect":
            return reply(200, self.message())
        body = json.loads(request.body)
        if "warrant" not in body or "tenure" not in body:
            return reply(400, {})
        if body["warrant"] < self.token or body["tenure"] != self.tenure:
            return reply(409, self.message())
        self.token = body["warrant"]
        self._obey(body["orders"])
        return reply(200, self.message())

    def _obey(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            key = (order["share"], order["try"])
            task = self.shares.get(key)
            if order["verb"] == "run" and task is None:
                self._start(*key)
            elif order["verb"] == "kill" and task and task["status"] != "ended":
                self._exit(*key, "stopped", kept=order["leeway_s"] > 0)
            elif order["verb"] == "forget" and task and task["status"] == "ended":
                del self.shares[key]

    def _start(self, share: str, attempt: int) -> None:
        job = share.rsplit("/", 1)[0]
        run = self.world.rules.jobs.get(job)
        task = self.shares[share, attempt] = {"status": "pulling"}
        self.change.set()
        if run is None:
            task.update(status="ended", more={"cause": "no_such"})
            return
        busy = [
            key
            for key, other in self.shares.items()
            if other["status"] != "ended" and key != (share, attempt)
        ]
        if any(key[0] == share for key in busy):
            task.update(status="ended", more={"cause": "in_use"})
            return
        used = sum(self.world.rules.jobs[key[0].rsplit("/", 1)[0]]["accelerators"] for key in busy)
        if used + run["accelerators"] > 4:
            task.update(status="ended", more={"cause": "no_room"})
            return
        spawn(self.world.net, self.host, self._work(share, attempt, run, task))

    async def _work(
        self, share: str, attempt: int, run: dict[str, Any], task: dict[str, Any]
    ) -> None:
        job, number = share.rsplit("/", 1)
        if run["bundle"] not in self.images:
            await asyncio.sleep(run["size_gb"] / 2)
        if task["status"] != "pulling":
            return
        self.images.add(run["bundle"])
        self.world.rules.started(job, int(number), self.place(attempt), self.now())
        gang = run["shape"] == "ensemble"
        task["status"] = "waiting" if gang else "running"
        self.change.set()
        if gang:
            if not await self.world.meet(job, attempt, run["shares"], task):
                if task["status"] != "ended":
                    self._exit(share, attempt, "incomplete")
                return
            task["status"] = "running"
            self.world.gangs.setdefault((job, attempt), []).append((self, share))
            self.change.set()
        work = (
            run.get("spans", {}).get(int(number), run["expect_s"])
            if run["shape"] != "daemon"
            else 1e9
        )
        # A gang has one progress, that of its first task to save in an attempt. Kept for each task alone, one resumed behind the other, and was
        # not done when the whole was.
        saved = job if gang else share
        left = work - self.world.saved.get(saved, 0.0)
        failing = run.get("fails", 0) or self.error_share > self.world.rng.random()
        while left > 0:
            step = min(left, 0.5)
            await asyncio.sleep(step)
            await self.awake.wait()
            left -= step
            if task["status"] == "ended":
                if (
                    run["snapshot_s"]
                    and task.get("more", {}).get("kept")
                    and self.world.saved_in.get(saved) != attempt
                ):
                    self.world.saved[saved], self.world.saved_in[saved] = work - left, attempt
                return
            if failing:
                run["fails"] = max(0, run.get("fails", 0) - 1)
                self._exit(share, attempt, "error")
                return
            if gang and self.world.broken_gang(job, attempt):
                self._exit(share, attempt, "mates_gone")
                return
        for mate, its in self.world.gangs.get((job, attempt), []) if gang else [(self, share)]:
            if (its, attempt) in mate.shares and mate.shares[its, attempt]["status"] == "running":
                mate._exit(its, attempt, "done")

    def _exit(self, share: str, attempt: int, cause: str, kept: bool = False) -> None:
        task = self.shares.get((share, attempt))
        if task is None:
            return  # its lease ended meanwhile, and it was forgotten
        task.update(status="ended", more={"cause": cause, "kept": kept})
        self._gone(share, attempt, cause == "done")
        self.change.set()

    def _gone(self, share: str, attempt: int, done: bool = False) -> None:
        job, number = share.rsplit("/", 1)
        task = self.shares.get((share, attempt))
        if task is not None and task["status"] != "ended":
            task.update(status="ended", more={"cause": "stopped"})
        self.world.rules.left(job, int(number), self.name, done)
        if not done:
            self.world.lost_mates.add((job, attempt))

    def die(self) -> None:
        self.dead = True
        for share, attempt in list(self.shares):
            self._gone(share, attempt)
        self.world.net.kill(self.host)


class World:
    """The cloud, its machines, and the nodes' addresses."""

    def __init__(
        self,
        net: Net,
        rules: Rules,
        nodes: dict[str, str],
        zones: list[str],
        capacity: int,
        lease_s: float,
        report_s: float,
    ) -> None:
        self.net = net
        self.rules = rules
        self.nodes = nodes
        self.zones = zones
        self.capacity = capacity
        self.lease_s = lease_s
        self.report_s = report_s
        self.rng = random.Random(net.rng.random())
        self.workers: dict[str, Worker] = {}
        self.charters: dict[str, list[str]] = {}
        self.saved: dict[str, float] = {}  # progress of tasks, and of gangs as a whole
        self.saved_in: dict[str, int] = {}  # attempt
        self.lost_mates: set[tuple[str, int]] = set()
        self.waiting: dict[tuple[str, int], int] = {}
        self.gangs: dict[tuple[str, int], list[tuple[Worker, str]]] = {}  # they complete jointly
        self.number = 0
        self.keep = 0  # connections to a controller that a worker keeps between its reports
        self.late_reports = 0.0  # share of reports of which a copy arrives again, later
        self.kept_share = (
            0.0  # share of which a copy is kept until the lead or a shard changes hands
        )
        self.kept: list[tuple[Worker, bytes]] = []
        self.boot_s = 6.0
        self.held_orders: tuple[float, float, float] | None = (
            None  # share of direct commands held up, for how long at least and at most
        )
        self.down = False
        self.lag = 0.0  # how old the machine lists are that it gives
        self.lists: list[tuple[float, list[dict[str, Any]]]] = []
        self.born: dict[str, float] = {}

    async def start(self) -> None:
        self.server = Server(self.handle, undivided_connections(1000, 600.0, 600.0))
        await self.server.start(CLOUD, 8443)

    def changed_hands(self, path: str, value: Any) -> None:
        """The lead or a shard has somebody new: the copies that were kept reach every controller within the next moments."""
        if value is None or not (path == "leader" or path.startswith("part/")):
            return
        kept, self.kept = self.kept[-100:], []
        for worker, told in kept:
            for node in self.nodes:
                spawn(
                    self.net,
                    worker.host,
                    worker._again(node, told, self.rng.choice((0.0, 0.3, 2.0)) * self.rng.random()),
                )

    def rooms(self) -> list[Room]:
        """Machines that could take work at this moment."""
        return [
            w.room()
            for w in self.workers.values()
            if w.up
            and not (w.dead or w.deaf or w.mute)
            and w.awake.is_set()
            and w.recall_at is None
        ]

    def boot(self, zone: str, spot: bool, after: float) -> str:
        name = f"vm-{self.number:06d}"
        worker = self.worker(name, "g4", zone, spot, self.number)
        self.number += 1
        self.workers[name] = worker
        self.born[name] = asyncio.get_running_loop().time()

        async def up() -> None:
            await asyncio.sleep(after)
            if not worker.dead:
                await worker.run()

        spawn(self.net, worker.host, up())
        return name

    def worker(self, *words: Any) -> Worker:
        return Worker(self, *words)

    def broken_gang(self, job: str, attempt: int) -> bool:
        return (job, attempt) in self.lost_mates

    async def meet(self, job: str, attempt: int, size: int, task: dict[str, Any]) -> bool:
        key = (job, attempt)
        self.waiting[key] = self.waiting.get(key, 0) + 1
        for _ in range(300):
            if self.waiting[key] >= size:
                return True
            if task["status"] == "ended":
                break
            await asyncio.sleep(0.1)
        self.waiting[key] -= 1
        return False

    async def handle(self, request: Request) -> Response:
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
            if body["charter"] not in self.charters:
                free = self.capacity - len(self.workers)
                if free <= 0 or body["loaners"]:
                    return reply(503, {"error": "no capacity"})
                names = [
                    self.boot(body["yard"], False, self.boot_s * (0.6 + self.rng.random()))
                    for _ in range(min(free, body["how_many"]))
                ]
                self.charters[body["charter"]] = names
            return reply(200, {"berths": self.charters[body["charter"]]})
        if path == "/hosts/release":
            for name in json.loads(request.body)["berths"]:
                worker = self.workers.pop(name, None)
                if worker:
                    worker.die()
            return reply(200, {})
        now = asyncio.get_running_loop().time()
        self._list(now)
        none: list[dict[str, Any]] = []
        hosts = next((hosts for at, hosts in reversed(self.lists) if at <= now - self.lag), none)
        return reply(200, {"berths": hosts, "truncated": False})

    def _list(self, now: float) -> None:
        """What the list shows of this moment, once that is as old as lists are."""
        hosts = [
            {
                "id": w.name,
                "address": w.address,
                "hull": w.kind,
                "yard": w.zone,
                "loaners": w.spot,
                "status": "running",
                "age_s": now - self.born[w.name],
            }
            for w in self.workers.values()
        ]
        self.lists.append((now, hosts))
