"""Rate limiter: order of grants, cancellation, demand, and fair shares by demand."""

from __future__ import annotations

import asyncio

import pytest

from ashdock.net.rate_limiter import RateLimiter, RequestPriority, fair_share
from tests import virtual_time


def test_large_transaction_is_not_starved(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without a queue, a request for a full bucket waits until no small ones arrive any more."""

    async def main(net: virtual_time.Network) -> float:
        loop = asyncio.get_running_loop()
        rate_limiter = RateLimiter(10.0)
        rate_limiter.try_acquire(10.0)

        async def send_small_requests() -> None:
            while loop.time() < 20:
                await rate_limiter.acquire(1)

        tasks = [asyncio.create_task(send_small_requests()) for _ in range(5)]
        await asyncio.sleep(1)
        started_at = loop.time()
        await rate_limiter.acquire(10)
        waited_s = loop.time() - started_at
        for task in tasks:
            task.cancel()
        return waited_s

    assert virtual_time.run(main, 1, monkeypatch) < 3.0


USER, NORMAL, BACKGROUND = RequestPriority
# Requests (amount, priority) made at once of an empty bucket with 10 tokens/s, and the order in
# which they are granted.
GRANT_ORDERS = [
    ([(1, NORMAL), (1, NORMAL)], [0, 1]),
    ([(1, BACKGROUND), (1, NORMAL)], [1, 0]),
    ([(10, NORMAL), (1, NORMAL)], [0, 1]),
    ([(10, NORMAL), (1, USER)], [1, 0]),
    ([(1, BACKGROUND), (1, NORMAL), (1, NORMAL), (1, NORMAL), (1, NORMAL)], [1, 2, 3, 0, 4]),
    ([(1, NORMAL), (1, USER), (1, USER), (1, USER), (1, USER)], [1, 2, 3, 0, 4]),
    # Overtaking is counted by amount: 3 * 4 tokens go before a transaction of 4, not 3 requests.
    ([(4, NORMAL), *[(2, USER)] * 8], [1, 2, 3, 4, 5, 6, 0, 7, 8]),
]


@pytest.mark.parametrize(("requests", "order"), GRANT_ORDERS)
def test_order_of_grants(
    requests: list[tuple[float, RequestPriority]], order: list[int], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main(net: virtual_time.Network) -> list[int]:
        rate_limiter = RateLimiter(10.0)
        rate_limiter.try_acquire(10.0)
        granted: list[int] = []

        async def acquire(index: int, amount: float, priority: RequestPriority) -> None:
            await rate_limiter.acquire(amount, priority)
            granted.append(index)

        await asyncio.gather(*(acquire(index, *request) for index, request in enumerate(requests)))
        assert rate_limiter.queued == 0
        return granted

    assert virtual_time.run(main, 1, monkeypatch) == order


def test_cancelled_wait_takes_no_tokens(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main(net: virtual_time.Network) -> tuple[float, float]:
        loop = asyncio.get_running_loop()
        rate_limiter = RateLimiter(10.0)
        rate_limiter.try_acquire(10.0)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.2):
                await rate_limiter.acquire(10)
        started_at = loop.time()
        await rate_limiter.acquire(2)
        return loop.time() - started_at, rate_limiter.queued

    waited_s, queued = virtual_time.run(main, 1, monkeypatch)
    assert waited_s <= 0.11 and queued == 0


def test_demand_weighs_user_requests_most(monkeypatch: pytest.MonkeyPatch) -> None:
    """User requests have to count more than the writes of a large array.

    Otherwise the owner of an array of 25,000 tasks gets most of the rate while other controllers
    refuse submissions.
    """

    async def main(net: virtual_time.Network) -> dict[RequestPriority, float]:
        demands = {}
        for priority in RequestPriority:
            rate_limiter = RateLimiter(10.0)
            rate_limiter.try_acquire(4.0, priority)
            demands[priority] = rate_limiter.demand
        return demands

    demands = virtual_time.run(main, 1, monkeypatch)
    assert demands[USER] > 3 * demands[NORMAL] > 9 * demands[BACKGROUND]


# Own demand, demands of the others (None: not known), own share of a rate of 60 among three.
FAIR_SHARES: list[tuple[float, list[float | None], float]] = [
    (0.0, [0.0, 0.0], 20.0),
    (10.0, [0.0, 0.0], 40.0),
    (0.0, [10.0, 10.0], 10.0),
    (10.0, [10.0, 10.0], 20.0),
    (10.0, [None, None], 20.0),
    (10.0, [0.0, None], 30.0),
    (10.0, [], 60.0),
    (10.0, [0.0], 50.0),
]


@pytest.mark.parametrize(("own", "others", "share"), FAIR_SHARES)
def test_fair_shares_follow_demand(own: float, others: list[float | None], share: float) -> None:
    assert fair_share(60.0, 3, own, others) == pytest.approx(share)


def test_fair_shares_add_up_to_the_rate() -> None:
    for demands in ([5.0, 1.0, 0.0], [0.0, 0.0, 0.0], [100.0, 100.0, 3.0]):
        total = sum(
            fair_share(60.0, 3, own, demands[:index] + demands[index + 1 :])
            for index, own in enumerate(demands)
        )
        assert total == pytest.approx(60.0)
