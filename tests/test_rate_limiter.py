"""What a controller may ask of the state service: turns, reserves, and shares that follow demand."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from ashdock.net.rate_limiter import RateLimiter, RequestPriority, shares
from tests import simtime


def test_a_large_transaction_is_not_overtaken_for_ever(monkeypatch: pytest.MonkeyPatch) -> None:
    """A group commit that asks for a whole second's worth used to wait until no small request came any more."""

    async def main(net: simtime.Net) -> float:
        loop = asyncio.get_running_loop()
        rate_limiter = RateLimiter(10.0)
        rate_limiter.take(10.0)

        async def small() -> None:
            while loop.time() < 20:
                await rate_limiter.wait(1)

        tasks = [asyncio.create_task(small()) for _ in range(5)]
        await asyncio.sleep(1)
        asked = loop.time()
        await rate_limiter.wait(10)
        took = loop.time() - asked
        for task in tasks:
            task.cancel()
        return took

    assert simtime.run(main, 1, monkeypatch) < 3.0


USER, NORMAL, BACKGROUND = RequestPriority
ORDER = [  # (amount, turn) asked at once of an empty bucket of 10 a second -> the order in which they are granted
    ([(1, NORMAL), (1, NORMAL)], [0, 1]),
    ([(1, BACKGROUND), (1, NORMAL)], [1, 0]),
    ([(10, NORMAL), (1, NORMAL)], [0, 1]),
    ([(10, NORMAL), (1, USER)], [1, 0]),
    ([(1, BACKGROUND), (1, NORMAL), (1, NORMAL), (1, NORMAL), (1, NORMAL)], [1, 2, 3, 0, 4]),
    ([(1, NORMAL), (1, USER), (1, USER), (1, USER), (1, USER)], [1, 2, 3, 0, 4]),
    # By amount: a transaction of ten is let past three tens of small ones, not past three.
    ([(4, NORMAL), *[(2, USER)] * 8], [1, 2, 3, 4, 5, 6, 0, 7, 8]),
]


@pytest.mark.parametrize(("asked", "order"), ORDER)
def test_turns(
    asked: list[tuple[float, RequestPriority]], order: list[int], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main(net: simtime.Net) -> list[int]:
        rate_limiter = RateLimiter(10.0)
        rate_limiter.take(10.0)
        granted: list[int] = []

        async def one(n: int, amount: float, priority: RequestPriority) -> None:
            await rate_limiter.wait(amount, priority)
            granted.append(n)

        await asyncio.gather(*(one(n, *what) for n, what in enumerate(asked)))
        assert rate_limiter.queued == 0
        return granted

    assert simtime.run(main, 1, monkeypatch) == order


def test_who_gives_up_waiting_takes_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main(net: simtime.Net) -> tuple[float, float]:
        loop = asyncio.get_running_loop()
        rate_limiter = RateLimiter(10.0)
        rate_limiter.take(10.0)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.2):
                await rate_limiter.wait(10)
        before = loop.time()
        await rate_limiter.wait(2)
        return loop.time() - before, rate_limiter.queued

    took, queued = simtime.run(main, 1, monkeypatch)
    assert took <= 0.11 and queued == 0


def test_what_users_ask_weighs_more_than_what_can_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    """The owner of an array of 25,000 tasks drew the limit to itself while other controllers refused submissions."""

    async def main(net: simtime.Net) -> dict[RequestPriority, float]:
        demands = {}
        for priority in RequestPriority:
            rate_limiter = RateLimiter(10.0)
            rate_limiter.take(4.0, priority)
            demands[priority] = rate_limiter.demand
        return demands

    demands = simtime.run(main, 1, monkeypatch)
    assert demands[USER] > 3 * demands[NORMAL] > 9 * demands[BACKGROUND]


SHARES: list[
    tuple[float, list[Any], float]
] = [  # our demand, those of two others -> our share of 60 among three
    (0.0, [0.0, 0.0], 20.0),
    (10.0, [0.0, 0.0], 40.0),
    (0.0, [10.0, 10.0], 10.0),
    (10.0, [10.0, 10.0], 20.0),
    (10.0, [None, None], 20.0),
    (10.0, [0.0, None], 30.0),
    (10.0, [], 60.0),
    (10.0, [0.0], 50.0),
]


@pytest.mark.parametrize(("ours", "others", "share"), SHARES)
def test_shares_follow_demand(ours: float, others: list[Any], share: float) -> None:
    assert shares(60.0, 3, ours, others) == pytest.approx(share)


def test_shares_that_agree_never_exceed_the_whole() -> None:
    for demands in ([5.0, 1.0, 0.0], [0.0, 0.0, 0.0], [100.0, 100.0, 3.0]):
        total = sum(
            shares(60.0, 3, one, [d for m, d in enumerate(demands) if m != n])
            for n, one in enumerate(demands)
        )
        assert total == pytest.approx(60.0)
