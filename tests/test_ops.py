"""What on-call people met: silent and refused controllers, floods of questions, guests, jobs submitted with a mistake."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from typing import Any

import msgspec
import pytest

from ashdock.controller import Controller
from ashdock.leader.assignments import MAX_ASSIGN_S
from ashdock.leader.heartbeats import UnrecordedMachine
from ashdock.net.http import Client, NoAnswer
from ashdock.wire.messages import Heartbeat
from tests import virtual_time
from tests.cluster import Service, job
from tests.test_cluster import run_scenario
from tests.virtual_time import spawn


def refuse(controller: Controller) -> None:
    """The state service answers this controller alone with 503, and its open watches wait."""

    async def refused(*_: Any, **__: Any) -> tuple[int, bytes]:
        await asyncio.sleep(0.003)
        return 503, b"{}"

    async def waits(*_: Any, **__: Any) -> tuple[int, bytes]:
        await asyncio.sleep(1e6)
        return 503, b"{}"

    controller.store.client.request = refused  # type: ignore[method-assign]
    controller.store.watch_client.request = waits  # type: ignore[method-assign]


@pytest.mark.parametrize(
    "heard", [True, False], ids=["heard by the others", "alone with its workers"]
)
def test_a_controller_refused_alone_costs_no_running_work(
    heard: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It went on answering its workers, so the next owner heard none of them and gave up all their machines (inc-f1aa).
    The mesh tells it of the claim; and an owner that hears none of what it inherited waits until nobody else may answer."""

    async def day(service: Service) -> None:
        runs = [job(1, shares=8, expect_s=60.0), job(2, shares=8, expect_s=60.0)]
        for run in runs:
            await service.submit(run)
        while sum(len(places) for places in service.invariants.placements.values()) < 16:
            await asyncio.sleep(0.5)
            assert service.now() < 40
        await asyncio.sleep(2)
        held = {
            place.machine for places in service.invariants.placements.values() for place in places
        }
        at = next(n for n, c in service.controllers.items() if "red" in c.owners)
        refuse(service.controllers[at])
        if not heard:
            service.net.partition(f"10.0.0.{at}", *(f"10.0.0.{n}" for n in range(3) if n != at))
        starts = service.invariants.start_count
        await asyncio.sleep(3)
        if heard:  # it knows that the others are served, and says so at once
            before = service.now()
            client = Client(f"10.0.0.{at}", 8080, keep=0)
            assert (await client.request("GET", "/ready", b"", 2.0))[0] == 503
            assert (await client.request("GET", "/v2/runs/req-000001", b"", 2.0))[0] == 503
            assert service.now() - before < 0.1
        await asyncio.sleep(22)
        assert held <= set(service.cloud.workers)
        if heard:
            assert (
                service.invariants.start_count == starts
                and "red" not in service.controllers[at].owners
            )
        del service.controllers[at]
        service.crash(at)
        service.net.heal()
        assert await service.until_final([run["id"] for run in runs], 150) == []

    run_scenario(monkeypatch, 21, day)


def test_a_flood_of_questions_costs_few_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each question used to be a read: users who asked eight times as often used up the state service's requests, and
    submissions were refused for it. Counted: requests do not grow with questions, nor with the jobs asked about."""

    async def day(service: Service) -> None:
        await asyncio.sleep(3)
        runs = [job(n, shares=1, expect_s=200.0) for n in range(1, 61)]
        await asyncio.gather(*(service.submit(run) for run in runs))
        await asyncio.sleep(2)
        calls: Counter[str] = Counter()
        inner = service.store.handle

        async def count(request: Any) -> Any:
            calls["reads" if "/store/job/" in request.target else "other"] += 1
            calls["compares"] += request.target == "/txn" and b'"writes"' not in request.body
            return await inner(request)

        service.store.server.handler = count
        for controller in service.controllers.values():
            controller.store.write_limiter.tokens = (
                -20 * controller.store.write_limiter.per_s
            )  # comparing writes nothing, so waits for no writes
        asked = Counter[int]()

        async def user(n: int) -> None:
            # One in ten asks about a job that nobody submitted.
            name = f"req-{n % 60 + 1:06d}" if n % 10 else f"req-9{n:05d}"
            for _ in range(5):
                status, _ = await Client(f"10.0.0.{n % 3}", 8080, keep=0).request(
                    "GET", f"/v2/runs/{name}", b"", 2.0
                )
                asked[status] += 1
                assert status == (200 if n % 10 else 404)
                await asyncio.sleep(0.5)

        await asyncio.gather(*(user(n) for n in range(240)))
        assert sum(asked.values()) == 1200
        assert calls["compares"] <= 3 * 5 * 4 and calls["reads"] <= 20
        for controller in service.controllers.values():
            controller.store.write_limiter.tokens = 1.0
        # A change is seen at once, whichever controller is asked.
        assert await service.cancel("req-000007") == "withdrawn"
        for n in range(3):
            _, body = await Client(f"10.0.0.{n}", 8080, keep=0).request(
                "GET", "/v2/runs/req-000007", b"", 2.0
            )
            assert b'"withdrawn"' in body

    run_scenario(monkeypatch, 22, day)


def test_rules_hold_under_a_flood_while_a_controller_is_silent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def day(service: Service) -> None:
        runs = [
            job(n, shares=2, expect_s=6.0, owner="red" if n % 2 else "blue") for n in range(1, 13)
        ]
        await asyncio.gather(*(service.submit(run) for run in runs))
        others = [
            "10.2.0.1",
            "10.2.0.2",
            "10.0.0.0",
            "10.0.0.2",
            *(w.host for w in service.cloud.workers.values()),
        ]
        service.net.partition("10.0.0.1", *others)

        async def asks(n: int) -> None:
            for _ in range(60):
                await service.poll(f"req-{n % 12 + 1:06d}")
                await asyncio.sleep(0.3)

        tasks = [spawn(service.net, "users", asks(n)) for n in range(48)]
        await asyncio.sleep(14)
        service.net.heal()
        assert await service.until_final([run["id"] for run in runs], 120) == []
        await asyncio.gather(*tasks)

    run_scenario(monkeypatch, 23, day)


def test_machines_are_given_up_once_however_slow_the_state_service(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each round of the leader sent the same transactions again: the line of writes grew faster than it was served, and a
    pool of machines that nobody wanted was paid for to the end of the day (found in inc-0137 and a drawn day)."""

    async def main(net: virtual_time.Network) -> Service:
        service = Service(net, machines=40, capacity=40)
        await service.start()
        await asyncio.sleep(1)
        inner = service.store.handle
        on_commit: list[int] = []

        async def count(request: Any) -> Any:
            if request.target == "/txn":
                writes = json.loads(request.body).get("writes", [])
                on_commit.append(
                    sum(
                        "x" in write.get("value", {})
                        for write in writes
                        if write.get("set", "").startswith("machine/")
                    )
                )
            return await inner(request)

        service.store.server.handler = count
        service.store.extra_delay_s = 0.3
        while service.cloud.workers:
            await asyncio.sleep(1.0)
            assert service.now() < 90
        assert sum(on_commit) <= 2 * 40
        return service

    virtual_time.run(main, 24, monkeypatch)


def test_a_very_large_array_of_short_tasks_costs_few_writes_through_a_crash(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """25,000 tasks of a few seconds each, on machines that hold a hundred: what is written goes by groups, not by tasks, and a
    takeover in the middle goes on where the owner before had come to."""

    async def day(service: Service) -> None:
        await asyncio.sleep(2)
        writes = [0]

        def hook(some: list[dict[str, Any]]) -> None:
            writes[0] += sum(
                (write.get("set") or write["delete"]).startswith(("work/", "job/"))
                for write in some
            )

        service.store.on_transaction = hook
        run = job(
            1,
            shares=1500,
            cpus=0.25,
            accelerators=0.0,
            ram_gb=1.0,
            expect_s=2.0,
            size_gb=0.5,
            urgency="best_effort",
        )
        await service.submit(run)
        while len(service.invariants.done_tasks) < 500:
            await asyncio.sleep(0.2)
            assert service.now() < 60
        service.crash(next(n for n, c in service.controllers.items() if "red" in c.owners), 2.0)
        assert await service.until_final(["req-000001"], 90) == []
        assert writes[0] < 1500 / 4
        # Nothing that had ended well was started again, but for what the crash kept from being written.
        assert service.invariants.start_count < 1500 * 1.2

    run_scenario(monkeypatch, 25, day)


def test_a_job_with_a_mistake_is_told_early_and_cancelled_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its reason is there from the first failure on; parked or being tried again, it ends when its user cancels it; and the
    machines that it failed on are not given up for it."""

    async def day(service: Service) -> None:
        runs = [job(n, shares=4, fails=1000) for n in (1, 2, 3)]
        for run in runs:
            await service.submit(run)
        while not all(
            "error on vm-" in service.last_answers.get(run["id"], {}).get("reason", "")
            for run in runs
        ):
            await asyncio.sleep(0.5)
            for run in runs:
                await service.poll(run["id"])
            assert service.now() < 30
        await asyncio.sleep(10)
        before = set(service.cloud.workers)
        sound = job(9, shares=4)
        await service.submit(sound)
        assert await service.until_final([sound["id"]], 40) == []
        for run in runs:
            assert await service.cancel(run["id"]) == "withdrawn"
        await asyncio.sleep(service.invariants.cancel_s / 2)
        assert not any(service.invariants.placements.values())
        assert not any(
            path.startswith(("work/", "park/")) and value
            for path, (value, _, _) in service.store.keys.items()
        )
        assert (
            not any("suspect" in str(value) for value, _, _ in service.store.keys.values())
            and before
        )

    run_scenario(monkeypatch, 26, day)


def test_a_job_is_told_done_only_once_that_is_durable(monkeypatch: pytest.MonkeyPatch) -> None:
    """A new owner that reads all tasks done and no outcome must not tell its user so before the outcome is written: another
    controller, which compares the record, would still say queued after that."""

    async def day(service: Service) -> None:
        await service.submit(job(1, shares=1, expect_s=500.0))
        path = "work/red/req-000001/0"
        while (
            not service.store.keys.get(path, ({}, 0, 0))[0].get("p")
            or not service.invariants.start_count
        ):
            await asyncio.sleep(0.2)
        inner = service.store.handle

        async def slow(request: Any) -> Any:
            if request.target == "/txn" and b'"status":"done"' in request.body:
                await asyncio.sleep(1e6)
            return await inner(request)

        service.store.server.handler = slow
        for n in range(3):
            service.crash(n, 1.0)
        _, revision, permit = service.store.keys[path]
        service.store.keys[path] = ({"a": 1, "d": [[0, 0]]}, revision, permit)
        answers = set()
        while service.now() < 25:
            for n in range(3):
                try:
                    status, body = await Client(f"10.0.0.{n}", 8080, keep=0).request(
                        "GET", "/v2/runs/req-000001", b"", 2.0
                    )
                    answers.add(json.loads(body).get("status") if status == 200 else str(status))
                except NoAnswer:
                    pass
            await asyncio.sleep(0.1)
        assert "queued" in answers and "done" not in answers

    run_scenario(monkeypatch, 27, day)


def test_a_machine_that_is_lent_to_nobody_keeps_its_lease(monkeypatch: pytest.MonkeyPatch) -> None:
    """Sent from one controller to the next, it asked five times as often, and lost its lease: what was started there a moment
    before was killed with it. The leader answers it, under whatever token it has; not while it cannot see what is recorded."""

    async def day(service: Service) -> None:
        lease_s = service.cloud.lease_s
        asked: list[float] = []
        inner = service.cloud.workers["vm-000000"]._send_heartbeat

        async def counted(node: str) -> Any:
            asked.append(service.now())
            return await inner(node)

        monkeypatch.setattr(service.cloud.workers["vm-000000"], "_send_heartbeat", counted)
        await asyncio.sleep(3 * lease_s)
        assert all(
            worker.incarnation == 1 and worker.fencing_token == 0
            for worker in service.cloud.workers.values()
        )
        late = [at for at in asked if at > lease_s]
        assert len(late) < 2.5 * lease_s / service.cloud.report_s
        # Lent when its lease would have been over long ago: what is started goes on to its end.
        await service.submit(job(1, shares=8, expect_s=2 * lease_s))
        assert not await service.until_final(["req-000001"], 60)
        assert all(worker.incarnation == 1 for worker in service.cloud.workers.values())
        assert service.invariants.start_count == 8
        leader = next(c for c in service.controllers.values() if c.leader)
        free = next(w for w in service.cloud.workers.values() if not w.tasks)
        for down, status in [(False, 200), (True, 503)]:
            service.store.down = down
            await asyncio.sleep(3.0)
            client = Client(service.cloud.nodes[leader.label], 8080, keep=0)
            body = json.dumps(free.message() | {"berth": "vm-009999"}).encode()
            assert (await client.request("POST", "/checkin", body, 4.0))[0] == status
        service.store.down = False

    run_scenario(monkeypatch, 33, day)


def test_a_loan_under_way_is_not_decided_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """A whole fleet stood unrecorded: hundreds of loans at once took half a minute to write, each round chose the same machines
    again, and half of what the state service takes went into writes that failed."""

    async def day(service: Service) -> None:
        await asyncio.sleep(3)
        leader = next(c.leader for c in service.controllers.values() if c.leader)
        assert leader is not None
        begun: list[list[str]] = []

        async def write(assignments: dict[str, str]) -> None:
            begun.append(sorted(assignments))
            await asyncio.sleep(5.0)

        inner = leader.assignments._write_assignments
        monkeypatch.setattr(leader.assignments, "_write_assignments", write)
        report = Heartbeat("vm-a", "10.1.9.9:9000", "g4", "a", False, 1, 1, False, None, [])
        names = [f"vm-9{n:05d}" for n in range(1000)]
        leader.heartbeats.unrecorded = {
            name: UnrecordedMachine(msgspec.structs.replace(report, machine=name), service.now())
            for name in names
        }
        most = int(
            MAX_ASSIGN_S * leader.context.store.usable_rate.writes
        )  # shares of it come and go
        await service.submit(job(1, shares=6, accelerators=4.0, owner="red"))
        while not begun:
            await asyncio.sleep(0.1)
        assigned = set(begun[0])
        assert 0 < len(assigned) <= most
        for name in assigned:
            leader.heartbeats.unrecorded.pop(name, None)
            leader.on_heartbeat(
                msgspec.structs.replace(report, machine=name), recorded=False
            )  # it goes on reporting meanwhile
        assert not assigned & set(leader.heartbeats.unrecorded)
        await asyncio.sleep(3.0)
        assert len(begun) == 1
        assert not (set(names) - assigned) & set(
            leader.allocator.pending_assignments
        )  # the rest stays to be lent
        leader.heartbeats.unrecorded.clear()
        monkeypatch.setattr(leader.assignments, "_write_assignments", inner)
        assert not await service.until_final(["req-000001"], 90)

    run_scenario(monkeypatch, 34, day)
