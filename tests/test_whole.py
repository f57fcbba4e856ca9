"""Whole-service runs, seeded, in simulated time. Each fault is a case; every rule is checked in each."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from ashdock.net.http import Client
from ashdock.wire import frames
from ashdock.wire.peer_messages import ForwardedHeartbeat
from tests import simtime
from tests.simtime import spawn
from tests.whole import Service, job, shared

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


async def quiet(service: Service) -> None:
    await asyncio.sleep(1)


async def crash_one(service: Service) -> None:
    await asyncio.sleep(9)
    service.crash(0)


async def crash_all(service: Service) -> None:
    await asyncio.sleep(9)
    for n in range(3):
        service.crash(n, 3.0)


async def roll(service: Service) -> None:
    for n in range(3):
        await asyncio.sleep(5)
        service.crash(n, 2.0)


async def state_down(service: Service) -> None:
    await asyncio.sleep(8)
    service.state.down = True
    await asyncio.sleep(12)
    service.state.down = False


async def answers_lost(service: Service) -> None:
    service.state.lose_answers = 0.1
    await asyncio.sleep(40)
    service.state.lose_answers = 0.0


async def applied_late(service: Service) -> None:
    service.state.apply_late = 0.08
    await asyncio.sleep(40)
    service.state.apply_late = 0.0


async def workers_die(service: Service) -> None:
    await asyncio.sleep(9)
    for name in ["vm-000000", "vm-000001"]:
        service.world.workers[name].die()


async def node_without_workers(service: Service) -> None:
    await asyncio.sleep(7)
    service.net.cut("10.0.0.0", *(worker.host for worker in service.world.workers.values()))
    await asyncio.sleep(15)
    service.net.heal()


async def node_without_state(service: Service) -> None:
    await asyncio.sleep(7)
    service.net.cut("10.0.0.1", "10.2.0.1")
    await asyncio.sleep(15)
    service.net.heal()


async def node_alone(service: Service) -> None:
    await asyncio.sleep(7)
    others = [
        "10.2.0.1",
        "10.2.0.2",
        "10.0.0.0",
        "10.0.0.1",
        *(worker.host for worker in service.world.workers.values()),
    ]
    service.net.cut("10.0.0.2", *others)
    await asyncio.sleep(15)
    service.net.heal()


async def cloud_down(service: Service) -> None:
    service.world.down = True
    await asyncio.sleep(12)
    service.world.down = False


async def list_lags(service: Service) -> None:
    """The list is ten times as old as the settings say, also of a machine that dies and of those rented in its place."""
    service.world.lag = 10.0
    await asyncio.sleep(9)
    service.world.workers["vm-000001"].die()
    service.crash(1)


async def all_at_once(service: Service) -> None:
    service.state.lose_answers = 0.1
    await asyncio.sleep(6)
    service.crash(1)
    service.net.cut("10.0.0.0", *(w.host for w in list(service.world.workers.values())[:2]))
    await asyncio.sleep(4)
    service.world.workers["vm-000002"].die()
    await asyncio.sleep(6)
    service.net.heal()
    service.crash(0)
    service.state.lose_answers = 0.0


FAULTS = [
    quiet,
    crash_one,
    crash_all,
    roll,
    state_down,
    answers_lost,
    applied_late,
    workers_die,
    node_without_workers,
    node_without_state,
    node_alone,
    cloud_down,
    list_lags,
    all_at_once,
]


def play(
    monkeypatch: pytest.MonkeyPatch,
    seed: int,
    day: Callable[[Service], Awaitable[Any]],
    settle: float = 0.0,
    **more: Any,
) -> Service:
    async def main(net: simtime.Net) -> Service:
        service = Service(net, **more)
        await service.start()
        await asyncio.sleep(settle)
        await day(service)
        service.rules.end()
        return service

    service: Service = simtime.run(main, seed, monkeypatch)
    assert service.rules.broken == []
    return service


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_rules_hold_and_jobs_end(
    fault: Callable[[Service], Awaitable[None]], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def day(service: Service) -> None:
        spawn(service.net, "users", fault(service))
        statuses = await asyncio.gather(*(service.submit(dict(run)) for run in JOBS))
        assert all(status in (200, 201) for status in statuses)
        assert await service.until_final([run["id"] for run in JOBS], 240) == []

    play(monkeypatch, 7, day)


@pytest.mark.parametrize("step", ["work/", "job/", "machine/", "part/", "park/"])
@pytest.mark.parametrize("nth", [1, 4])
def test_crash_at_each_step(step: str, nth: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """All controllers end at the moment the nth transaction that touches such a key is applied, answer unsent."""

    async def day(service: Service) -> None:
        seen = [0]

        def hook(writes: list[dict[str, Any]]) -> None:
            if any((write.get("set") or write["delete"]).startswith(step) for write in writes):
                seen[0] += 1
                if seen[0] == nth:
                    for n in list(service.controllers):
                        service.crash(n, 1.0)

        service.state.hook = hook
        runs = [dict(run) for run in JOBS] + [job(9, shares=2, fails=4)]
        statuses = await asyncio.gather(*(service.submit(run) for run in runs))
        assert all(status in (200, 201) for status in statuses)
        assert await service.until_final([run["id"] for run in runs], 240) == []

    play(monkeypatch, 11, day)


@pytest.mark.parametrize("silent", [False, True], ids=["reachable", "unreachable"])
def test_cancelled_work_is_gone_in_time(silent: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    """Even where its machine hears no controller: that machine is released, which ends all on it."""

    async def day(service: Service) -> None:
        run = job(1, shape="daemon", shares=2)
        await service.submit(run)
        await asyncio.sleep(10)
        where = {place.machine for places in service.rules.on.values() for place in places}
        assert where
        if silent:
            for name in where:
                service.net.cut(service.world.workers[name].host, *service.world.nodes.values())
        assert await service.withdraw(run["id"]) == "withdrawn"
        await asyncio.sleep(25)
        assert not any(service.rules.on.values())
        assert await service.submit(run) == 200

    play(monkeypatch, 3, day)


def test_a_failing_job_says_why_and_stays_queued(monkeypatch: pytest.MonkeyPatch) -> None:
    async def day(service: Service) -> None:
        await service.submit(job(1, shares=1, fails=50))
        await service.submit(job(2, shares=2))
        assert await service.until_final(["req-000002"], 60) == []
        await asyncio.sleep(20)
        await service.poll("req-000001")
        answer = service.answers["req-000001"]
        assert answer["status"] == "queued" and "error on vm-" in answer["reason"]
        assert await service.withdraw("req-000001") == "withdrawn"

    play(monkeypatch, 5, day)


def test_parks_outlive_their_controllers(monkeypatch: pytest.MonkeyPatch) -> None:
    async def day(service: Service) -> None:
        await service.submit(job(1, shares=3, fails=9))
        while not any(
            path.startswith("park/") and value[0] for path, value in service.state.keys.items()
        ):
            await asyncio.sleep(0.1)
            assert service.now() < 30
        for n in range(3):
            service.crash(n, 2.0)
        assert await service.until_final(["req-000001"], 200) == []
        assert not any(
            path.startswith(("work/", "park/red")) and value[0]
            for path, value in service.state.keys.items()
        )

    play(monkeypatch, 6, day)


def test_a_sick_machine_is_told_from_a_failing_job(monkeypatch: pytest.MonkeyPatch) -> None:
    async def day(service: Service) -> None:
        service.world.workers["vm-000000"].error_share = 1.0
        runs = [job(n, shares=4) for n in range(1, 7)]
        for run in runs:
            await service.submit(run)
        assert await service.until_final([run["id"] for run in runs], 200) == []
        assert "vm-000000" not in service.world.workers

    play(monkeypatch, 8, day)


BAD_BODIES = [
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


def test_answers_to_bad_input(monkeypatch: pytest.MonkeyPatch) -> None:
    async def day(service: Service) -> None:
        client = Client("10.0.0.1", 8080, max_idle=0)
        await asyncio.sleep(2)
        service.rules.submitted(job(1, shares=25))
        for body, expected in BAD_BODIES:
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

    play(monkeypatch, 2, day)


def test_refused_at_once_while_the_state_service_is_down(monkeypatch: pytest.MonkeyPatch) -> None:
    async def day(service: Service) -> None:
        await service.submit(job(1))
        service.state.down = True
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
        service.state.down = False
        assert await service.until_final(["req-000001"], 60) == []

    play(monkeypatch, 4, day)


def test_a_flood_is_refused_at_once_and_taken_in_the_end(monkeypatch: pytest.MonkeyPatch) -> None:
    async def day(service: Service) -> None:
        await asyncio.sleep(3)
        runs = [job(n, shares=1, expect_s=1.0) for n in range(1, 301)]
        for run in runs:
            service.rules.submitted(run)
        client = Client("10.0.0.1", 8080, max_idle=0)

        async def one(run: dict[str, Any]) -> tuple[int, float]:
            before = service.now()
            status, _ = await client.request("POST", "/v2/runs", json.dumps(run).encode(), 5.0)
            return status, service.now() - before

        answers = await asyncio.gather(*(one(run) for run in runs))
        assert {status for status, _ in answers} <= {201, 429, 503} and 429 in {
            status for status, _ in answers
        }
        assert max(took for _, took in answers) < 1.0
        statuses = await asyncio.gather(*(service.submit(run) for run in runs[:120]))
        assert all(status in (200, 201) for status in statuses)
        assert await service.until_final([run["id"] for run in runs[:20]], 120) == []

    play(monkeypatch, 12, day)


def test_a_worker_that_lost_its_owner_is_relayed_for_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """When two zones were apart, workers that could not reach their owner were sent back to it by the next node, waited out
    another report there, and came to be relayed for when their lease was over: all their tasks were killed."""

    async def day(service: Service) -> None:
        await service.submit(job(1, shares=12, expect_s=90.0))
        while not any(worker.shares for worker in service.world.workers.values()):
            await asyncio.sleep(1.0)
        await asyncio.sleep(3)
        owner = next(c.label for c in service.controllers.values() if "red" in c.owners)
        other = next(n for n, c in service.controllers.items() if c.label != owner)
        worker = next(w for w in service.world.workers.values() if w.shares)
        client = Client(f"10.0.0.{other}", 8080, max_idle=0)
        front = service.controllers[other].front
        front.redirected.clear()  # it may have come by there by itself a moment ago, and have been passed on
        front.forwarded.clear()
        for warrant, expected in [(0, 421), (worker.token, 200)]:
            worker.tally += 1
            status, answer = await client.request(
                "POST",
                "/checkin",
                json.dumps(worker.message() | {"warrant": warrant}).encode(),
                4.0,
            )
            assert status == expected, answer
        assert json.loads(answer)["warrant"] == worker.token
        # Answered here a report ago, it has not been elsewhere: its machine has just changed hands.
        service.controllers[other].front.answered_at[worker.name] = service.now()
        service.controllers[other].front.forwarded.clear()
        worker.tally += 1
        status, answer = await client.request(
            "POST", "/checkin", json.dumps(worker.message()).encode(), 4.0
        )
        assert status == 421 and json.loads(answer)["harbour"] == owner
        # Of two zones that are apart, one that cannot hear the owner either names a third that may.
        service.net.cut(f"10.0.0.{other}", f"10.0.0.{owner[1:]}")
        await asyncio.sleep(5)
        worker = next(w for w in service.world.workers.values() if w.shares and w is not worker)
        worker.tally += 1
        status, answer = await client.request(
            "POST", "/checkin", json.dumps(worker.message()).encode(), 4.0
        )
        assert status == 421 and json.loads(answer)["harbour"] not in (owner, f"n{other}")

    play(monkeypatch, 14, day)


def test_jobs_accepted_while_a_watch_fell_behind_are_found(monkeypatch: pytest.MonkeyPatch) -> None:
    async def day(service: Service) -> None:
        await asyncio.sleep(3)
        await service.submit(job(1, shares=1))  # ends the watches under way
        service.state.blind = True
        await asyncio.sleep(0.5)
        runs = [job(n, shares=1, owner=owner) for n, owner in enumerate(["red", "blue"] * 4, 10)]
        await asyncio.gather(*(service.submit(run) for run in runs))
        await asyncio.sleep(2)
        service.state.blind = False
        assert await service.until_final([run["id"] for run in runs], 120) == []

    play(monkeypatch, 13, day)


def test_frames_over_their_limit_are_refused_and_counts_are_split(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Counts of more than 5000 jobs were cut off, and a frame over its limit ended the loop that sent it."""

    async def day(service: Service) -> None:
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

    play(monkeypatch, 16, day)


def test_machines_given_up_together_cost_few_writes(monkeypatch: pytest.MonkeyPatch) -> None:
    """A mass return was a transaction for each machine to give it up, and one for each to forget it."""

    async def main(net: simtime.Net) -> Service:
        service = Service(net, machines=30, capacity=30)
        touched: list[int] = []

        def hook(writes: list[dict[str, Any]]) -> None:
            touched.append(
                sum(
                    (write.get("set") or write["delete"]).startswith("machine/") for write in writes
                )
            )

        service.state.hook = hook
        await service.start()
        while service.world.workers:
            await asyncio.sleep(1.0)
            assert service.now() < 60
        await asyncio.sleep(3)
        assert not any(path.startswith("machine/") for path in service.state.keys)
        groups = [count for count in touched if count]
        assert max(groups) >= 8 and max(groups) <= shared().state.txn_ops
        assert sum(groups) <= 3 * 30  # recorded, given up, forgotten
        return service

    simtime.run(main, 15, monkeypatch)
