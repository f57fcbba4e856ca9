"""What on-call people met: silent and refused controllers, floods of questions, guests, jobs submitted with a mistake."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Any

import pytest

from ashdock.net.http import Client
from tests.simtime import spawn
from tests.test_whole import play
from tests.whole import Service, job


def test_a_flood_of_questions_costs_few_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each question used to be a read: users who asked eight times as often used up the state service's requests, and
    submissions were refused for it. Counted: requests do not grow with questions, nor with the jobs asked about."""

    async def day(service: Service) -> None:
        await asyncio.sleep(3)
        runs = [job(n, shares=1, expect_s=200.0) for n in range(1, 61)]
        await asyncio.gather(*(service.submit(run) for run in runs))
        await asyncio.sleep(2)
        calls: Counter[str] = Counter()
        inner = service.state.handle

        async def count(request: Any) -> Any:
            calls["reads" if "/store/job/" in request.target else "other"] += 1
            calls["compares"] += request.target == "/txn" and b'"writes"' not in request.body
            return await inner(request)

        service.state.server.handler = count
        asked = Counter[int]()

        async def user(n: int) -> None:
            # One in ten asks about a job that nobody submitted.
            name = f"req-{n % 60 + 1:06d}" if n % 10 else f"req-9{n:05d}"
            for _ in range(5):
                status, _ = await Client(f"10.0.0.{n % 3}", 8080, keep=0).request("GET", f"/v2/runs/{name}", b"", 2.0)
                asked[status] += 1
                assert status == (200 if n % 10 else 404)
                await asyncio.sleep(0.5)

        await asyncio.gather(*(user(n) for n in range(240)))
        assert sum(asked.values()) == 1200
        assert calls["compares"] <= 3 * 5 * 4 and calls["reads"] <= 20
        # A change is seen at once, whichever controller is asked.
        assert await service.withdraw("req-000007") == "withdrawn"
        for n in range(3):
            _, body = await Client(f"10.0.0.{n}", 8080, keep=0).request("GET", "/v2/runs/req-000007", b"", 2.0)
            assert b'"withdrawn"' in body

    play(monkeypatch, 22, day)


def test_rules_hold_under_a_flood_while_a_controller_is_silent(monkeypatch: pytest.MonkeyPatch) -> None:
    async def day(service: Service) -> None:
        runs = [job(n, shares=2, expect_s=6.0, owner="red" if n % 2 else "blue") for n in range(1, 13)]
        await asyncio.gather(*(service.submit(run) for run in runs))
        others = ["10.2.0.1", "10.2.0.2", "10.0.0.0", "10.0.0.2", *(w.host for w in service.world.workers.values())]
        service.net.cut("10.0.0.1", *others)

        async def asks(n: int) -> None:
            for _ in range(60):
                await service.poll(f"req-{n % 12 + 1:06d}")
                await asyncio.sleep(0.3)

        tasks = [spawn(service.net, "users", asks(n)) for n in range(48)]
        await asyncio.sleep(14)
        service.net.heal()
        assert await service.until_final([run["id"] for run in runs], 120) == []
        await asyncio.gather(*tasks)

    play(monkeypatch, 23, day)


