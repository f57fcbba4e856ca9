"""A simulated cluster under faults: the invariants hold and all jobs end, in seeded runs."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from ashdock.net.http import Client
from ashdock.wire import frames
from ashdock.wire.peer_messages import ForwardedHeartbeat
from tests import virtual_time
from tests.cluster import Service, job, shared
from tests.virtual_time import spawn

JOBS = [
    job(1, shares=6),
    job(
        2,
        owner="blue",
        shape="ensemble",
        shares=2,
        accelerators=4.0,
        same_place=True,
        snapshot_s=3.0,
        flush_s=1.0,
    ),
    job(
        3, shape="ensemble", shares=3, accelerators=2.0, urgency="high", snapshot_s=3.0, flush_s=1.0
    ),
    job(4, owner="blue", shares=5, spread=True, yard=None),
    job(5, shares=3, yard="b"),
]


async def no_fault(service: Service) -> None:
    await asyncio.sleep(1)


async def crash_one(service: Service) -> None:
    await asyncio.sleep(9)
    service.crash(0)


async def crash_all(service: Service) -> None:
    await asyncio.sleep(9)
    for n in range(3):
        service.crash(n, 3.0)


async def rolling_restart(service: Service) -> None:
    for n in range(3):
        await asyncio.sleep(5)
        service.crash(n, 2.0)


async def store_down(service: Service) -> None:
    await asyncio.sleep(8)
    service.store.down = True
    await asyncio.sleep(12)
    service.store.down = False


async def answers_lost(service: Service) -> None:
    service.store.lost_answer_share = 0.1
    await asyncio.sleep(40)
    service.store.lost_answer_share = 0.0


async def writes_applied_late(service: Service) -> None:
    service.store.late_write_share = 0.08
    await asyncio.sleep(40)
    service.store.late_write_share = 0.0


async def workers_die(service: Service) -> None:
    await asyncio.sleep(9)
    for name in ["vm-000000", "vm-000001"]:
        service.cloud.workers[name].die()


async def controller_without_workers(service: Service) -> None:
    await asyncio.sleep(7)
    service.net.partition("10.0.0.0", *(worker.host for worker in service.cloud.workers.values()))
    await asyncio.sleep(15)
    service.net.heal()


async def controller_without_store(service: Service) -> None:
    await asyncio.sleep(7)
    service.net.partition("10.0.0.1", "10.2.0.1")
    await asyncio.sleep(15)
    service.net.heal()


async def controller_isolated(service: Service) -> None:
    await asyncio.sleep(7)
    others = [
        "10.2.0.1",
        "10.2.0.2",
        "10.0.0.0",
        "10.0.0.1",
        *(worker.host for worker in service.cloud.workers.values()),
    ]
    service.net.partition("10.0.0.2", *others)
    await asyncio.sleep(15)
    service.net.heal()


async def cloud_down(service: Service) -> None:
    service.cloud.down = True
    await asyncio.sleep(12)
    service.cloud.down = False


async def outdated_machine_lists(service: Service) -> None:
    """Let machine lists be ten times as old as the settings say, while a machine is replaced."""
    service.cloud.list_age_s = 10.0
    await asyncio.sleep(9)
    service.cloud.workers["vm-000001"].die()
    service.crash(1)


async def combined_faults(service: Service) -> None:
    service.store.lost_answer_share = 0.1
    await asyncio.sleep(6)
    service.crash(1)
    service.net.partition("10.0.0.0", *(w.host for w in list(service.cloud.workers.values())[:2]))
    await asyncio.sleep(4)
    service.cloud.workers["vm-000002"].die()
    await asyncio.sleep(6)
    service.net.heal()
    service.crash(0)
    service.store.lost_answer_share = 0.0


FAULTS = [
    no_fault,
    crash_one,
    crash_all,
    rolling_restart,
    store_down,
    answers_lost,
    writes_applied_late,
    workers_die,
    controller_without_workers,
    controller_without_store,
    controller_isolated,
    cloud_down,
    outdated_machine_lists,
    combined_faults,
]


def run_scenario(
    monkeypatch: pytest.MonkeyPatch,
    seed: int,
    scenario: Callable[[Service], Awaitable[Any]],
    settle: float = 0.0,
    **more: Any,
) -> Service:
    """Run a scenario on a started cluster and check that no invariant was violated.

    Args:
        monkeypatch: Replaces the clock and the network.
        seed: Seed of the run.
        scenario: What happens, on the started cluster.
        settle: Seconds between the start of the cluster and the scenario.
        more: Further arguments of `Service`.
    """

    async def main(net: virtual_time.Network) -> Service:
        service = Service(net, **more)
        await service.start()
        await asyncio.sleep(settle)
        await scenario(service)
        service.invariants.end()
        return service

    service: Service = virtual_time.run(main, seed, monkeypatch)
    assert service.invariants.violations == []
    return service


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_invariants_hold_and_jobs_end(
    fault: Callable[[Service], Awaitable[None]], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(service: Service) -> None:
        spawn(service.net, "users", fault(service))
        statuses = await asyncio.gather(*(service.submit(dict(run)) for run in JOBS))
        assert all(status in (200, 201) for status in statuses)
        assert await service.until_final([run["id"] for run in JOBS], 240) == []

    run_scenario(monkeypatch, 7, scenario)


@pytest.mark.parametrize("prefix", ["work/", "job/", "machine/", "part/", "park/"])
@pytest.mark.parametrize("nth", [1, 4])
def test_crash_at_each_write(prefix: str, nth: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """All controllers crash when the nth transaction on such keys is applied but not answered."""

    async def scenario(service: Service) -> None:
        matching_count = [0]

        def hook(writes: list[dict[str, Any]]) -> None:
            if any((write.get("set") or write["delete"]).startswith(prefix) for write in writes):
                matching_count[0] += 1
                if matching_count[0] == nth:
                    for n in list(service.controllers):
                        service.crash(n, 1.0)

        service.store.on_transaction = hook
        runs = [dict(run) for run in JOBS] + [job(9, shares=2, fails=4)]
        statuses = await asyncio.gather(*(service.submit(run) for run in runs))
        assert all(status in (200, 201) for status in statuses)
        assert await service.until_final([run["id"] for run in runs], 240) == []

    run_scenario(monkeypatch, 11, scenario)


@pytest.mark.parametrize("unreachable", [False, True], ids=["reachable", "unreachable"])
def test_cancelled_tasks_end_in_time(unreachable: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    """A machine that no controller reaches is released, which ends the tasks on it."""

    async def scenario(service: Service) -> None:
        run = job(1, shape="daemon", shares=2)
        await service.submit(run)
        await asyncio.sleep(10)
        machines = {
            place.machine for places in service.invariants.placements.values() for place in places
        }
        assert machines
        if unreachable:
            for name in machines:
                service.net.partition(
                    service.cloud.workers[name].host, *service.cloud.nodes.values()
                )
        assert await service.cancel(run["id"]) == "withdrawn"
        await asyncio.sleep(25)
        assert not any(service.invariants.placements.values())
        assert await service.submit(run) == 200

    run_scenario(monkeypatch, 3, scenario)


def test_a_failing_job_gives_the_reason_and_stays_queued(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(service: Service) -> None:
        await service.submit(job(1, shares=1, fails=50))
        await service.submit(job(2, shares=2))
        assert await service.until_final(["req-000002"], 60) == []
        await asyncio.sleep(20)
        await service.poll("req-000001")
        answer = service.last_answers["req-000001"]
        assert answer["status"] == "queued" and "error on vm-" in answer["reason"]
        assert await service.cancel("req-000001") == "withdrawn"

    run_scenario(monkeypatch, 5, scenario)


def test_parks_outlive_their_controllers(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(service: Service) -> None:
        await service.submit(job(1, shares=3, fails=9))
        while not any(
            path.startswith("park/") and value[0] for path, value in service.store.keys.items()
        ):
            await asyncio.sleep(0.1)
            assert service.now() < 30
        for n in range(3):
            service.crash(n, 2.0)
        assert await service.until_final(["req-000001"], 200) == []
        assert not any(
            path.startswith(("work/", "park/red")) and value[0]
            for path, value in service.store.keys.items()
        )

    run_scenario(monkeypatch, 6, scenario)


def test_a_faulty_machine_is_told_apart_from_a_failing_job(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(service: Service) -> None:
        service.cloud.workers["vm-000000"].failure_share = 1.0
        runs = [job(n, shares=4) for n in range(1, 7)]
        for run in runs:
            await service.submit(run)
        assert await service.until_final([run["id"] for run in runs], 200) == []
        assert "vm-000000" not in service.cloud.workers

    run_scenario(monkeypatch, 8, scenario)


INVALID_BODIES = [
    (b"", 400),
    (b"{", 400),
    (b"[]", 400),
    (b"null", 400),
    (b"\xff\xfe", 400),
    (b"[" * 50_000, 400),
    (json.dumps(job(1) | {"shares": 0}).encode(), 400),
    (json.dumps(job(1) | {"shares": 100_001}).encode(), 400),
    (json.dumps(job(1) | {"shares": 1.5}).encode(), 400),
    (json.dumps(job(1) | {"cpus": -1}).encode(), 400),
    (json.dumps(job(1) | {"cpus": "8"}).encode(), 400),
    (json.dumps(job(1) | {"cpus": 1e300}).encode(), 400),
    (json.dumps(job(1) | {"cpus": float("nan")}).encode(), 400),
    (json.dumps(job(1) | {"spread": None}).encode(), 400),
    (json.dumps(job(1) | {"id": "x"}).encode(), 400),
    (json.dumps(job(1) | {"id": "req-1/2"}).encode(), 400),
    (json.dumps(job(1) | {"shape": "array"}).encode(), 400),
    (json.dumps(job(1) | {"hulls": "g4"}).encode(), 400),
    (json.dumps({k: v for k, v in job(1).items() if k != "flush_s"}).encode(), 400),
    (b"x" * 70_000, 400),
    (json.dumps(job(1) | {"owner": "green"}).encode(), 422),
    (json.dumps(job(1) | {"cpus": 33.0}).encode(), 422),
    (json.dumps(job(1) | {"hulls": ["none"]}).encode(), 422),
    (json.dumps(job(1) | {"yard": "z"}).encode(), 422),
    (json.dumps(job(1) | {"shape": "ensemble", "shares": 25}).encode(), 422),
    (json.dumps(job(1) | {"shape": "daemon", "shares": 25}).encode(), 422),
    (json.dumps(job(1) | {"shares": 25, "unheard_of": 1}).encode(), 201),
]


def test_answers_to_invalid_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(service: Service) -> None:
        client = Client("10.0.0.1", 8080, max_idle=0)
        await asyncio.sleep(2)
        service.invariants.submitted(job(1, shares=25))
        for body, expected in INVALID_BODIES:
            status, answer = await client.request("POST", "/v2/runs", body, 2.0)
            assert status == expected, (body[:80], answer)
        for method, target, expected in [
            ("GET", "/v2/runs/req-777777", 404),
            ("POST", "/v2/runs/req-777777/withdraw", 404),
            ("GET", "/nothing", 404),
            ("DELETE", "/v2/runs", 405),
            ("POST", "/checkin", 400),
            ("GET", "/ready", 200),
        ]:
            status, _ = await client.request(method, target, b"", 2.0)
            assert status == expected, target
        pages = [
            (await Client(f"10.0.0.{n}", 8080, max_idle=0).request("GET", "/metrics", b"", 2.0))[
                1
            ].decode()
            for n in range(3)
        ]
        assert 'ashdock_tasks{state="ready",team="red"}' in "".join(pages)
        assert sum(page.count("ashdock_leads 1.0") for page in pages) == 1
        await service.until_final(["req-000001"], 120)

    run_scenario(monkeypatch, 2, scenario)


def test_requests_are_refused_at_once_while_the_store_is_down(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(service: Service) -> None:
        await service.submit(job(1))
        service.store.down = True
        await asyncio.sleep(3)
        client = Client("10.0.0.0", 8080, max_idle=0)
        before = service.now()
        for method, target, body in [
            ("POST", "/v2/runs", json.dumps(job(2)).encode()),
            ("GET", "/v2/runs/req-000009", b""),
        ]:
            status, _ = await client.request(method, target, body, 2.0)
            assert status == 503
        assert service.now() - before < 0.1
        service.store.down = False
        assert await service.until_final(["req-000001"], 60) == []

    run_scenario(monkeypatch, 4, scenario)


def test_overload_is_refused_at_once_and_accepted_on_retry(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(service: Service) -> None:
        await asyncio.sleep(3)
        runs = [job(n, shares=1, expect_s=1.0) for n in range(1, 301)]
        for run in runs:
            service.invariants.submitted(run)
        client = Client("10.0.0.1", 8080, max_idle=0)

        async def submit_once(run: dict[str, Any]) -> tuple[int, float]:
            before = service.now()
            status, _ = await client.request("POST", "/v2/runs", json.dumps(run).encode(), 5.0)
            return status, service.now() - before

        answers = await asyncio.gather(*(submit_once(run) for run in runs))
        assert {status for status, _ in answers} <= {201, 429, 503} and 429 in {
            status for status, _ in answers
        }
        assert max(took for _, took in answers) < 1.0
        statuses = await asyncio.gather(*(service.submit(run) for run in runs[:120]))
        assert all(status in (200, 201) for status in statuses)
        assert await service.until_final([run["id"] for run in runs[:20]], 120) == []

    run_scenario(monkeypatch, 12, scenario)


def test_heartbeats_of_a_worker_cut_off_from_its_owner_are_forwarded_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A worker that cannot reach the owner of its shard must not lose its lease.

    The next controller used to redirect it back to the owner, and forwarded its heartbeats only
    when it came again. By then its lease was over, and all its tasks were killed.
    """

    async def scenario(service: Service) -> None:
        await service.submit(job(1, shares=12, expect_s=90.0))
        while not any(worker.tasks for worker in service.cloud.workers.values()):
            await asyncio.sleep(1.0)
        await asyncio.sleep(3)
        owner = next(c.label for c in service.controllers.values() if "red" in c.owners)
        other = next(n for n, c in service.controllers.items() if c.label != owner)
        worker = next(w for w in service.cloud.workers.values() if w.tasks)
        client = Client(f"10.0.0.{other}", 8080, max_idle=0)
        front = service.controllers[other].front
        # The worker may have been redirected by this controller a moment ago.
        front.redirected.clear()
        front.forwarded.clear()
        for fencing_token, expected in [(0, 421), (worker.fencing_token, 200)]:
            worker.sequence += 1
            status, answer = await client.request(
                "POST",
                "/checkin",
                json.dumps(worker.message() | {"warrant": fencing_token}).encode(),
                4.0,
            )
            assert status == expected, answer
        assert json.loads(answer)["warrant"] == worker.fencing_token
        # This controller answered its last heartbeat. So it does not come because it cannot reach
        # the owner, but because its machine has just been assigned to another shard.
        service.controllers[other].front.answered_at[worker.name] = service.now()
        service.controllers[other].front.forwarded.clear()
        worker.sequence += 1
        status, answer = await client.request(
            "POST", "/checkin", json.dumps(worker.message()).encode(), 4.0
        )
        assert status == 421 and json.loads(answer)["harbour"] == owner
        # A controller that is cut off from the owner redirects to the third, which may reach it.
        service.net.partition(f"10.0.0.{other}", f"10.0.0.{owner[1:]}")
        await asyncio.sleep(5)
        worker = next(w for w in service.cloud.workers.values() if w.tasks and w is not worker)
        worker.sequence += 1
        status, answer = await client.request(
            "POST", "/checkin", json.dumps(worker.message()).encode(), 4.0
        )
        assert status == 421 and json.loads(answer)["harbour"] not in (owner, f"n{other}")

    run_scenario(monkeypatch, 14, scenario)


def test_jobs_accepted_while_a_watch_lags_are_found(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(service: Service) -> None:
        await asyncio.sleep(3)
        await service.submit(job(1, shares=1))  # ends the open watches
        service.store.job_watches_lag = True
        await asyncio.sleep(0.5)
        runs = [job(n, shares=1, owner=owner) for n, owner in enumerate(["red", "blue"] * 4, 10)]
        await asyncio.gather(*(service.submit(run) for run in runs))
        await asyncio.sleep(2)
        service.store.job_watches_lag = False
        assert await service.until_final([run["id"] for run in runs], 120) == []

    run_scenario(monkeypatch, 13, scenario)


def test_frames_over_their_limit_are_refused_and_task_counts_are_split(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Task counts are sent in several frames, and a frame over its limit is refused.

    Counts of more than 5000 jobs used to be truncated, and a frame over its limit ended the loop
    that sent it.
    """

    async def scenario(service: Service) -> None:
        await service.submit(job(1, shares=1))
        await asyncio.sleep(3)
        owner = next(c for c in service.controllers.values() if "red" in c.owners)
        other = next(c for c in service.controllers.values() if c is not owner)
        many = [(f"req-{n:06d}", 1, 2) for n in range(9000)]
        shard = owner.owners["red"].shard
        assert shard is not None
        monkeypatch.setattr(shard.status_reporter, "task_counts", lambda: many)
        await asyncio.sleep(2)
        assert all(
            other.peer_reports.counts_by_peer[owner.label][name] == (1, 2) for name, _, _ in many
        )
        assert not owner.mesh.send(
            other.label, ForwardedHeartbeat(1, b"x" * frames.MAX_BODY_BYTES)
        ) and owner.mesh.send(other.label, ForwardedHeartbeat(1, b"x"))

    run_scenario(monkeypatch, 16, scenario)


def test_machines_released_together_take_few_transactions(monkeypatch: pytest.MonkeyPatch) -> None:
    """Releasing many machines used to take two transactions for each: to mark and to delete it."""

    async def main(net: virtual_time.Network) -> Service:
        service = Service(net, machines=30, capacity=30)
        machine_writes: list[int] = []

        def hook(writes: list[dict[str, Any]]) -> None:
            machine_writes.append(
                sum(
                    (write.get("set") or write["delete"]).startswith("machine/") for write in writes
                )
            )

        service.store.on_transaction = hook
        await service.start()
        while service.cloud.workers:
            await asyncio.sleep(1.0)
            assert service.now() < 60
        await asyncio.sleep(3)
        assert not any(path.startswith("machine/") for path in service.store.keys)
        writes_per_transaction = [count for count in machine_writes if count]
        assert (
            max(writes_per_transaction) >= 8
            and max(writes_per_transaction) <= shared().state.txn_ops
        )
        assert sum(writes_per_transaction) <= 3 * 30  # recorded, marked for release, deleted
        return service

    virtual_time.run(main, 15, monkeypatch)
