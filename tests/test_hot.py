"""One team brings many times what the state service takes; what the others notice of it, alone and with failures on top."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest

from ashdock.fairness.slo_attainment import jain
from ashdock.net.http import Client, NoAnswer
from ashdock.settings import NextLimits
from tests import simtime
from tests.whole import Service, job

RUSH_S = 20.0
WRITES = 30.0  # a second that the state service takes: fifteen submissions, were there nothing else to write


class HotTenantDetector:
    """Users of two teams, over the controllers that live. Each tries until it is taken, as long as the rush lasts."""

    def __init__(self, service: Service) -> None:
        self.service = service
        self.took: dict[str, list[float]] = {
            "red": [],
            "blue": [],
        }  # until accepted, of those who were
        self.returns: list[int] = []
        self.doors: list[int] = [0, 1, 2]
        self.number = 0
        self.jobs: dict[str, list[str]] = {"red": [], "blue": []}

    async def one(self, team: str) -> None:
        service, began = self.service, self.service.now()
        self.number += 1
        run = job(self.number, owner=team, shares=1, expect_s=2.0)
        service.rules.submitted(run)
        for n in range(30):
            doors = [door for door in self.doors if door in service.controllers]
            try:
                where = f"10.0.0.{doors[(self.number + n) % len(doors)]}"
                status, headers = await self.ask(
                    where, "POST", "/v2/runs", json.dumps(run).encode()
                )
            except NoAnswer:
                status, headers = 0, {}
            service.rules.answered(run["id"], status, "queued", submission=True, now=service.now())
            if status in (200, 201):
                self.took[team].append(service.now() - began)
                self.jobs[team].append(run["id"])
                return
            wait = int(headers.get("retry-after", 1))
            if status == 429:
                self.returns.append(wait)
            await asyncio.sleep(wait)
            if service.now() > self.until + RUSH_S:
                return

    async def ask(
        self, host: str, method: str, target: str, body: bytes = b""
    ) -> tuple[int, dict[str, str]]:
        """The status, and the headers that a user looks at."""
        try:
            async with asyncio.timeout(5.0):
                reader, writer = await self.service.net.open_connection(host, 8080)
                writer.write(
                    f"{method} {target} HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n".encode()
                    + body
                )
                head = (await reader.read()).split(b"\r\n\r\n")[0].decode().split("\r\n")
                writer.close()
        except (OSError, TimeoutError) as why:
            raise NoAnswer(str(why), True) from None
        if len(head[0].split()) < 2:
            raise NoAnswer("closed", True)
        return int(head[0].split()[1]), dict(line.lower().split(": ") for line in head[1:])

    async def arrive(self, team: str, a_second: float) -> None:
        users = []
        while self.service.now() < self.until:
            users.append(asyncio.create_task(self.one(team)))
            await asyncio.sleep(1 / a_second)
        await asyncio.gather(*users)

    async def run(self, rates: dict[str, float]) -> None:
        self.until = self.service.now() + RUSH_S
        await asyncio.gather(*(self.arrive(team, rate) for team, rate in rates.items()))


async def begun(net: simtime.Net) -> Service:
    service = Service(net, machines=12, capacity=12, later=NextLimits(write_rps=WRITES))
    await service.start()
    await asyncio.sleep(8)
    return service


async def owner_of(service: Service, team: str) -> int:
    return next(n for n, controller in service.controllers.items() if team in controller.owners)


async def quiet(service: Service, hot_tenants: HotTenantDetector) -> None:
    pass


async def owner_ends(service: Service, hot_tenants: HotTenantDetector) -> None:
    """And the one after it is slow to be heard."""
    await asyncio.sleep(5)
    owner = await owner_of(service, "red")
    service.crash(owner, back_after=3.0)
    service.state.slow = 0.05
    await asyncio.sleep(6)
    service.state.slow = 0.0


async def one_door(service: Service, hot_tenants: HotTenantDetector) -> None:
    hot_tenants.doors = [0]


async def nobody_heard(service: Service, hot_tenants: HotTenantDetector) -> None:
    """A controller that hears no other goes by what it knows itself, and its shares are out of date."""
    await asyncio.sleep(3)
    service.net.cut("10.0.0.0", "10.0.0.1", "10.0.0.2")
    await asyncio.sleep(8)
    service.net.heal()


async def floods(service: Service, hot_tenants: HotTenantDetector) -> None:
    """Questions and withdrawals of the hot team's, besides."""

    async def ask() -> None:
        for n in range(200):
            target = f"/v2/runs/req-{n % 60 + 1:06d}"
            withdraws = n % 10 == 0 and target.rsplit("/", 1)[1] in hot_tenants.jobs["red"]
            if withdraws:
                service.rules.asked_to_cancel.add(target.rsplit("/", 1)[1])
            method, target = ("POST", target + "/withdraw") if withdraws else ("GET", target)
            try:
                await Client(f"10.0.0.{n % 3}", 8080, keep=0).request(method, target, b"", 2.0)
            except NoAnswer:
                pass
            await asyncio.sleep(0.05)

    await asyncio.gather(*(ask() for _ in range(3)))


COURSES: list[
    tuple[Any, dict[str, float], float, float]
] = [  # trouble, submissions a second -> of the quiet team's, taken in a second; the longest wait
    (quiet, {"red": 30.0, "blue": 1.0}, 1.0, 1.0),
    (one_door, {"red": 20.0, "blue": 1.0}, 1.0, 1.0),
    (floods, {"red": 20.0, "blue": 1.0}, 0.95, 2.0),
    (owner_ends, {"red": 30.0, "blue": 1.0}, 0.85, 5.0),
    (nobody_heard, {"red": 30.0, "blue": 1.0}, 0.85, 5.0),
]


@pytest.mark.parametrize(("trouble", "rates", "within", "longest"), COURSES)
def test_the_other_team_is_taken_at_once(
    trouble: Any,
    rates: dict[str, float],
    within: float,
    longest: float,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main(net: simtime.Net) -> None:
        service = await begun(net)
        hot_tenants = HotTenantDetector(service)
        await asyncio.gather(hot_tenants.run(rates), trouble(service, hot_tenants))
        net.heal()
        took = hot_tenants.took["blue"]
        assert len(took) >= RUSH_S * rates["blue"] * 0.95
        assert sum(seconds <= 1.0 for seconds in took) >= within * len(took), sorted(took)[-5:]
        assert max(took) <= longest
        assert (
            len(hot_tenants.took["red"]) > 60
            and hot_tenants.returns
            and max(hot_tenants.returns) <= 10
        )
        assert not await service.until_final(hot_tenants.jobs["blue"], 60)
        assert not service.rules.broken

    simtime.run(main, 51, monkeypatch)


def test_two_hot_teams_are_taken_alike(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main(net: simtime.Net) -> None:
        service = await begun(net)
        hot_tenants = HotTenantDetector(service)
        users = asyncio.create_task(hot_tenants.run({"red": 40.0, "blue": 15.0}))
        await asyncio.sleep(RUSH_S)
        assert jain(len(took) for took in hot_tenants.took.values()) > 0.95, {
            team: len(took) for team, took in hot_tenants.took.items()
        }
        users.cancel()
        pages = "".join(
            [
                (await Client(f"10.0.0.{n}", 8080, keep=0).request("GET", "/metrics", b"", 2.0))[
                    1
                ].decode()
                for n in range(3)
            ]
        )
        for team in hot_tenants.took:
            assert (
                f'ashdock_served_share{{class="w",team="{team}"}}' in pages
                and f'ashdock_submissions_turned_away_total{{team="{team}"}}' in pages
            )
        assert (
            'ashdock_start_wait_seconds_bucket{class="w",le="+Inf",team="red"}' in pages
            and "ashdock_class_rises" in pages
        )
        assert not service.rules.broken

    simtime.run(main, 52, monkeypatch)


def test_a_controller_that_is_behind_for_long_hands_a_part_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It owns both shards and leads. By work one of them is evened out; the other goes because it is behind, and what runs goes on."""

    async def main(net: simtime.Net) -> None:
        service = Service(net, machines=8, capacity=8)
        await service.start()
        await service.submit(job(1, shares=16, expect_s=60.0))
        await asyncio.sleep(5)
        for n in (1, 2):
            service.crash(n, back_after=14.0)
        await asyncio.sleep(12)
        slow = service.controllers[0]
        assert set(slow.owners) == {"red", "blue"} and slow.leader is not None
        slow.elector.allowed = ["n0"]  # else the lead goes first, to one that owns nothing
        slow.mesh.heartbeat_interval_s *= (
            4  # each round of its loop takes four times as long as it is meant to
        )
        await asyncio.sleep(50)
        assert slow.leader is not None and [
            len(controller.owners) for _, controller in sorted(service.controllers.items())
        ] == [0, 1, 1]
        await service.submit(job(2, owner="blue", shares=2))
        assert not await service.until_final(["req-000001", "req-000002"], 120)
        assert not service.rules.broken
        assert all(worker.tenure == 1 for worker in service.world.workers.values())

    simtime.run(main, 53, monkeypatch)


def test_gangs_start_beside_an_array_of_a_hundred_thousand(monkeypatch: pytest.MonkeyPatch) -> None:
    """Another team's gangs, and its own of higher priority, while the owner of the array ends, and all that is written is short."""

    async def main(net: simtime.Net) -> None:
        service = await begun(net)
        await service.submit(job(1, shares=100_000, expect_s=1.5, urgency="best_effort"))
        waited: list[float] = []

        async def gang(number: int, owner: str) -> None:
            began = service.now()
            run = job(
                number,
                owner=owner,
                shape="ensemble",
                shares=2,
                accelerators=2.0,
                same_place=True,
                expect_s=2.0,
                urgency="high",
            )
            assert await service.submit(run) in (200, 201)
            while (
                not any((run["id"], 0) == key for key in service.rules.on)
                and (run["id"], 0) not in service.rules.done
            ):
                await asyncio.sleep(0.1)
            waited.append(service.now() - began)

        gangs = []
        for number in range(2, 14):
            gangs.append(asyncio.create_task(gang(number, "blue" if number % 2 else "red")))
            if number == 5:
                service.crash(await owner_of(service, "red"), back_after=3.0)
            await asyncio.sleep(2)
        await asyncio.gather(*gangs)
        assert sorted(waited)[len(waited) // 2] <= 4.0 and max(waited) <= 12.0, sorted(waited)
        assert not await service.until_final([f"req-{number:06d}" for number in range(2, 14)], 60)
        done = sum(1 for name, _ in service.rules.done if name == "req-000001")
        assert done > 100 and not service.rules.broken

    simtime.run(main, 54, monkeypatch)
