"""Failures seen in operation: one controller without store, overload, slow writes, faulty jobs."""

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
from ashdock.net.http import Client, NoResponseError
from ashdock.wire.messages import Heartbeat
from tests import virtual_time
from tests.cluster import Service, job
from tests.test_cluster import run_scenario
from tests.virtual_time import spawn


def cut_off_store(controller: Controller) -> None:
    """Make the store answer this controller with 503; its open watches get no answer."""

    async def unavailable(*_: Any, **__: Any) -> tuple[int, bytes]:
        await asyncio.sleep(0.003)
        return 503, b"{}"

    async def unanswered(*_: Any, **__: Any) -> tuple[int, bytes]:
        await asyncio.sleep(1e6)
        return 503, b"{}"

    controller.store.client.request = unavailable  # type: ignore[method-assign]
    controller.store.watch_client.request = unanswered  # type: ignore[method-assign]


@pytest.mark.parametrize(
    "peers_linked", [True, False], ids=["linked to its peers", "cut off from its peers"]
)
def test_tasks_run_on_when_the_store_refuses_one_controller(
    peers_linked: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against the loss of all machines of an owner that the store alone refuses.

    It went on answering its workers, so the next owner got no heartbeat of them and gave up all
    their machines. Now the old owner learns of the claim over the mesh, and a new owner without any
    heartbeat waits until no other controller may renew the workers' leases.
    """

    async def scenario(service: Service) -> None:
        runs = [job(1, shares=8, expect_s=60.0), job(2, shares=8, expect_s=60.0)]
        for run in runs:
            await service.submit(run)
        while sum(len(places) for places in service.invariants.placements.values()) < 16:
            await asyncio.sleep(0.5)
            assert service.now() < 40
        await asyncio.sleep(2)
        used_machines = {
            place.machine for places in service.invariants.placements.values() for place in places
        }
        owner = next(n for n, c in service.controllers.items() if "red" in c.owners)
        cut_off_store(service.controllers[owner])
        if not peers_linked:
            service.net.partition(
                f"10.0.0.{owner}", *(f"10.0.0.{n}" for n in range(3) if n != owner)
            )
        starts = service.invariants.start_count
        await asyncio.sleep(3)
        if peers_linked:  # it knows that its peers reach the store, and refuses requests at once
            asked_at = service.now()
            client = Client(f"10.0.0.{owner}", 8080, max_idle=0)
            assert (await client.request("GET", "/ready", b"", 2.0))[0] == 503
            assert (await client.request("GET", "/v2/runs/req-000001", b"", 2.0))[0] == 503
            assert service.now() - asked_at < 0.1
        await asyncio.sleep(22)
        assert used_machines <= set(service.cloud.workers)
        if peers_linked:
            assert (
                service.invariants.start_count == starts
                and "red" not in service.controllers[owner].owners
            )
        del service.controllers[owner]
        service.crash(owner)
        service.net.heal()
        assert await service.until_final([run["id"] for run in runs], 150) == []

    run_scenario(monkeypatch, 21, scenario)


def test_many_status_requests_cost_few_store_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against store requests that grow with status requests, or with the jobs asked about.

    Each status request used to cost a read: users who asked eight times as often used up the
    store's rate limit, and submissions were refused for it.
    """

    async def scenario(service: Service) -> None:
        await asyncio.sleep(3)
        runs = [job(n, shares=1, expect_s=200.0) for n in range(1, 61)]
        await asyncio.gather(*(service.submit(run) for run in runs))
        await asyncio.sleep(2)
        calls: Counter[str] = Counter()
        handle = service.store.handle

        async def count(request: Any) -> Any:
            calls["reads" if "/store/job/" in request.target else "other"] += 1
            calls["compares"] += request.target == "/txn" and b'"writes"' not in request.body
            return await handle(request)

        service.store.server.handler = count
        for controller in service.controllers.values():
            # Transactions that only compare must not wait for the rate of writes.
            controller.store.write_limiter.tokens = -20 * controller.store.write_limiter.per_s
        answers = Counter[int]()

        async def user(n: int) -> None:
            # One in ten asks about a job that nobody submitted.
            job_id = f"req-{n % 60 + 1:06d}" if n % 10 else f"req-9{n:05d}"
            for _ in range(5):
                status, _ = await Client(f"10.0.0.{n % 3}", 8080, max_idle=0).request(
                    "GET", f"/v2/runs/{job_id}", b"", 2.0
                )
                answers[status] += 1
                assert status == (200 if n % 10 else 404)
                await asyncio.sleep(0.5)

        await asyncio.gather(*(user(n) for n in range(240)))
        assert sum(answers.values()) == 1200
        assert calls["compares"] <= 3 * 5 * 4 and calls["reads"] <= 20
        for controller in service.controllers.values():
            controller.store.write_limiter.tokens = 1.0
        # Every controller answers with a change at once.
        assert await service.cancel("req-000007") == "withdrawn"
        for n in range(3):
            _, body = await Client(f"10.0.0.{n}", 8080, max_idle=0).request(
                "GET", "/v2/runs/req-000007", b"", 2.0
            )
            assert b'"withdrawn"' in body

    run_scenario(monkeypatch, 22, scenario)


def test_rules_hold_under_many_status_requests_while_a_controller_is_cut_off(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(service: Service) -> None:
        runs = [
            job(n, shares=2, expect_s=6.0, owner="red" if n % 2 else "blue") for n in range(1, 13)
        ]
        await asyncio.gather(*(service.submit(run) for run in runs))
        all_but_users = [
            "10.2.0.1",
            "10.2.0.2",
            "10.0.0.0",
            "10.0.0.2",
            *(w.host for w in service.cloud.workers.values()),
        ]
        service.net.partition("10.0.0.1", *all_but_users)

        async def poll(n: int) -> None:
            for _ in range(60):
                await service.poll(f"req-{n % 12 + 1:06d}")
                await asyncio.sleep(0.3)

        tasks = [spawn(service.net, "users", poll(n)) for n in range(48)]
        await asyncio.sleep(14)
        service.net.heal()
        assert await service.until_final([run["id"] for run in runs], 120) == []
        await asyncio.gather(*tasks)

    run_scenario(monkeypatch, 23, scenario)


def test_machines_are_decommissioned_once_while_the_store_is_slow(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against transactions of the leader that are sent again while they are in progress.

    Each round of the leader sent them again, so the backlog of writes grew faster than it was
    served, and machines that no job needed were never returned.
    """

    async def main(net: virtual_time.Network) -> Service:
        service = Service(net, machines=40, capacity=40)
        await service.start()
        await asyncio.sleep(1)
        handle = service.store.handle
        decommissions: list[int] = []  # in each transaction

        async def count(request: Any) -> Any:
            if request.target == "/txn":
                writes = json.loads(request.body).get("writes", [])
                decommissions.append(
                    sum(
                        "x" in write.get("value", {})
                        for write in writes
                        if write.get("set", "").startswith("machine/")
                    )
                )
            return await handle(request)

        service.store.server.handler = count
        service.store.extra_delay_s = 0.3
        while service.cloud.workers:
            await asyncio.sleep(1.0)
            assert service.now() < 90
        assert sum(decommissions) <= 2 * 40
        return service

    virtual_time.run(main, 24, monkeypatch)


def test_a_large_array_of_short_tasks_costs_few_writes_through_a_crash(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against writes that grow with the number of tasks, in normal operation and failover.

    The array has 1,500 tasks of two seconds. Chunks of tasks are written, not single ones, and the
    new owner after a crash in the middle goes on where the old one was.
    """

    async def scenario(service: Service) -> None:
        await asyncio.sleep(2)
        write_count = [0]

        def count(writes: list[dict[str, Any]]) -> None:
            write_count[0] += sum(
                (write.get("set") or write["delete"]).startswith(("work/", "job/"))
                for write in writes
            )

        service.store.on_transaction = count
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
        assert write_count[0] < 1500 / 4
        # Only tasks whose end the crash kept from being written may have been started again.
        assert service.invariants.start_count < 1500 * 1.2

    run_scenario(monkeypatch, 25, scenario)


def test_a_faulty_job_shows_its_reason_early_and_is_cancelled_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against faulty jobs that users learn of late, cannot cancel, or that cost machines.

    The reason is given from the first failure on. Parked or being retried, the job ends when its
    user cancels it, and the machines that it failed on are not decommissioned.
    """

    async def scenario(service: Service) -> None:
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
        machines = set(service.cloud.workers)
        good_job = job(9, shares=4)
        await service.submit(good_job)
        assert await service.until_final([good_job["id"]], 40) == []
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
            and machines
        )

    run_scenario(monkeypatch, 26, scenario)


def test_a_job_is_reported_done_only_once_that_is_durable(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an answer of done that another controller takes back.

    A new owner that reads all tasks as done, and no outcome of the job, must not report the job as
    done before the outcome is written: another controller, which compares the job's record, would
    still report it as queued after that.
    """

    async def scenario(service: Service) -> None:
        await service.submit(job(1, shares=1, expect_s=500.0))
        path = "work/red/req-000001/0"
        while (
            not service.store.keys.get(path, ({}, 0, 0))[0].get("p")
            or not service.invariants.start_count
        ):
            await asyncio.sleep(0.2)
        handle = service.store.handle

        async def hold_back_outcome(request: Any) -> Any:
            if request.target == "/txn" and b'"status":"done"' in request.body:
                await asyncio.sleep(1e6)
            return await handle(request)

        service.store.server.handler = hold_back_outcome
        for n in range(3):
            service.crash(n, 1.0)
        _, revision, permit = service.store.keys[path]
        service.store.keys[path] = ({"a": 1, "d": [[0, 0]]}, revision, permit)
        answers = set()
        while service.now() < 25:
            for n in range(3):
                try:
                    status, body = await Client(f"10.0.0.{n}", 8080, max_idle=0).request(
                        "GET", "/v2/runs/req-000001", b"", 2.0
                    )
                    answers.add(json.loads(body).get("status") if status == 200 else str(status))
                except NoResponseError:
                    pass
            await asyncio.sleep(0.1)
        assert "queued" in answers and "done" not in answers

    run_scenario(monkeypatch, 27, scenario)


def test_an_unassigned_machine_keeps_its_lease(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against workers without a shard that are redirected until their lease expires.

    Redirected from one controller to the next, such a worker sent heartbeats five times as often
    and lost its lease, and a task started there a moment before was killed with that. The leader
    answers it, whatever its fencing token, unless the leader itself has lost the store.
    """

    async def scenario(service: Service) -> None:
        lease_s = service.cloud.lease_s
        heartbeats_at: list[float] = []
        report = service.cloud.workers["vm-000000"]._send_heartbeat

        async def counted_report(node: str) -> Any:
            heartbeats_at.append(service.now())
            return await report(node)

        monkeypatch.setattr(service.cloud.workers["vm-000000"], "_send_heartbeat", counted_report)
        await asyncio.sleep(3 * lease_s)
        assert all(
            worker.incarnation == 1 and worker.fencing_token == 0
            for worker in service.cloud.workers.values()
        )
        later = [at for at in heartbeats_at if at > lease_s]
        assert len(later) < 2.5 * lease_s / service.cloud.report_s
        # Assigned long after an unrenewed lease would have expired, the machines run their tasks to
        # the end.
        await service.submit(job(1, shares=8, expect_s=2 * lease_s))
        assert not await service.until_final(["req-000001"], 60)
        assert all(worker.incarnation == 1 for worker in service.cloud.workers.values())
        assert service.invariants.start_count == 8
        leader = next(c for c in service.controllers.values() if c.leader)
        idle_worker = next(w for w in service.cloud.workers.values() if not w.tasks)
        for down, status in [(False, 200), (True, 503)]:
            service.store.down = down
            await asyncio.sleep(3.0)
            client = Client(service.cloud.nodes[leader.label], 8080, max_idle=0)
            body = json.dumps(idle_worker.message() | {"berth": "vm-009999"}).encode()
            assert (await client.request("POST", "/checkin", body, 4.0))[0] == status
        service.store.down = False

    run_scenario(monkeypatch, 33, scenario)


def test_an_assignment_in_progress_is_not_decided_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against assignments of the same machines in each round of the leader.

    With a whole fleet unrecorded, hundreds of assignments at once took half a minute to write. Each
    round chose the same machines again, and half of the store's rate went into writes that failed.
    """

    async def scenario(service: Service) -> None:
        await asyncio.sleep(3)
        leader = next(c.leader for c in service.controllers.values() if c.leader)
        assert leader is not None
        written: list[list[str]] = []  # machines of each call

        async def write_slowly(assignments: dict[str, str]) -> None:
            written.append(sorted(assignments))
            await asyncio.sleep(5.0)

        write_assignments = leader.assignments._write_assignments
        monkeypatch.setattr(leader.assignments, "_write_assignments", write_slowly)
        heartbeat = Heartbeat("vm-a", "10.1.9.9:9000", "g4", "a", False, 1, 1, False, None, [])
        names = [f"vm-9{n:05d}" for n in range(1000)]
        leader.heartbeats.unrecorded = {
            name: UnrecordedMachine(msgspec.structs.replace(heartbeat, machine=name), service.now())
            for name in names
        }
        # Of the rate of all controllers together, since the share of each varies.
        max_assigned = int(MAX_ASSIGN_S * leader.context.store.usable_rate.writes)
        await service.submit(job(1, shares=6, accelerators=4.0, owner="red"))
        while not written:
            await asyncio.sleep(0.1)
        assigned = set(written[0])
        assert 0 < len(assigned) <= max_assigned
        for name in assigned:
            leader.heartbeats.unrecorded.pop(name, None)
            # Its worker goes on sending heartbeats meanwhile.
            leader.on_heartbeat(msgspec.structs.replace(heartbeat, machine=name), recorded=False)
        assert not assigned & set(leader.heartbeats.unrecorded)
        await asyncio.sleep(3.0)
        assert len(written) == 1
        # The other machines can still be assigned.
        assert not (set(names) - assigned) & set(leader.allocator.pending_assignments)
        leader.heartbeats.unrecorded.clear()
        monkeypatch.setattr(leader.assignments, "_write_assignments", write_assignments)
        assert not await service.until_final(["req-000001"], 90)

    run_scenario(monkeypatch, 34, scenario)
