"""What a controller may ask of the state service: turns, reserves, and shares that follow demand."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from ashdock.net.budget import Budget, Turn, shares
from tests import simtime


def test_a_large_transaction_is_not_overtaken_for_ever(monkeypatch: pytest.MonkeyPatch) -> None:
    """A group commit that asks for a whole second's worth used to wait until no small request came any more."""

    async def main(net: simtime.Net) -> float:
        loop = asyncio.get_running_loop()
        budget = Budget(10.0)
        budget.take(10.0)

        async def small() -> None:
            while loop.time() < 20:
                await budget.wait(1)

        tasks = [asyncio.create_task(small()) for _ in range(5)]
        await asyncio.sleep(1)
        asked = loop.time()
        await budget.wait(10)
        took = loop.time() - asked
        for task in tasks:
            task.cancel()
        return took

    assert simtime.run(main, 1, monkeypatch) < 3.0


USER, WORK, PATIENT = Turn
ORDER = [  # (amount, turn) asked at once of an empty bucket of 10 a second -> the order in which they are granted
    ([(1, WORK), (1, WORK)], [0, 1]),
    ([(1, PATIENT), (1, WORK)], [1, 0]),
    ([(10, WORK), (1, WORK)], [0, 1]),
    ([(10, WORK), (1, USER)], [1, 0]),
    ([(1, PATIENT), (1, WORK), (1, WORK), (1, WORK), (1, WORK)], [1, 2, 3, 0, 4]),
    ([(1, WORK), (1, USER), (1, USER), (1, USER), (1, USER)], [1, 2, 3, 0, 4]),
    # By amount: a transaction of ten is let past three tens of small ones, not past three.
    ([(4, WORK), *[(2, USER)] * 8], [1, 2, 3, 4, 5, 6, 0, 7, 8]),
]


@pytest.mark.parametrize(("asked", "order"), ORDER)
def test_turns(
    asked: list[tuple[float, Turn]], order: list[int], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main(net: simtime.Net) -> list[int]:
        budget = Budget(10.0)
        budget.take(10.0)
        granted: list[int] = []

        async def one(n: int, amount: float, turn: Turn) -> None:
            await budget.wait(amount, turn)
            granted.append(n)

        await asyncio.gather(*(one(n, *what) for n, what in enumerate(asked)))
        assert budget.queued == 0
        return granted

    assert simtime.run(main, 1, monkeypatch) == order


def test_who_gives_up_waiting_takes_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main(net: simtime.Net) -> tuple[float, float]:
        loop = asyncio.get_running_loop()
        budget = Budget(10.0)
        budget.take(10.0)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.2):
                await budget.wait(10)
        before = loop.time()
        await budget.wait(2)
        return loop.time() - before, budget.queued

    took, queued = simtime.run(main, 1, monkeypatch)
    assert took <= 0.11 and queued == 0


def test_what_users_ask_weighs_more_than_what_can_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    """The owner of an array of 25,000 tasks drew the limit to itself while other controllers refused submissions."""

    async def main(net: simtime.Net) -> dict[Turn, float]:
        demands = {}
        for turn in Turn:
            budget = Budget(10.0)
            budget.take(4.0, turn)
            demands[turn] = budget.demand
        return demands

    demands = simtime.run(main, 1, monkeypatch)
    assert demands[USER] > 3 * demands[WORK] > 9 * demands[PATIENT]


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
