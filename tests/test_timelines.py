"""States and durations of startups and failovers, and their logging and metrics."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

import pytest

from ashdock.net.http import Client
from ashdock.timelines import FailoverState, FailoverTimeline, StartupState, StartupTimeline
from tests import virtual_time
from tests.cluster import Service, job

FAILOVERS: list[tuple[list[tuple[Any, ...]], FailoverState, dict[str, float]]] = [
    (
        [("claimed", 1), ("loaded", 0, 3), ("cycle_ended", False, 4)],
        FailoverState.PLACING,
        {"claiming": 1, "reading": 2, "passing": 1},
    ),
    (
        [("claimed", 1), ("loaded", 5, 3), ("cycle_ended", False, 4)],
        FailoverState.AWAITING_HEARTBEAT,
        {"claiming": 1, "reading": 2},
    ),
    (
        [
            ("claimed", 1),
            ("loaded", 5, 3),
            ("heartbeat_received", 5),
            ("heartbeat_received", 9),
            ("cycle_ended", False, 6),
            ("placement_committed", 8),
            ("placement_committed", 9),
        ],
        FailoverState.RECOVERED,
        {"claiming": 1, "reading": 2, "hearing": 2, "passing": 1, "placing": 2},
    ),
    # Machines that were assigned while up need no heartbeat, so tasks are placed there before one.
    (
        [("claimed", 1), ("loaded", 5, 3), ("cycle_ended", True, 4), ("placement_committed", 5)],
        FailoverState.RECOVERED,
        {"claiming": 1, "reading": 2, "hearing": 1, "passing": 0, "placing": 1},
    ),
    (
        [("heartbeat_received", 1), ("placement_committed", 2), ("cycle_ended", True, 3)],
        FailoverState.CLAIMING,
        {},
    ),
]


@pytest.mark.parametrize(("events", "state", "durations_s"), FAILOVERS)
def test_a_failover_goes_through_its_states(
    events: list[tuple[Any, ...]], state: FailoverState, durations_s: dict[str, float]
) -> None:
    failover_timeline = FailoverTimeline("red", 0.0)
    for event, *arguments in events:
        getattr(failover_timeline, event)(*arguments)
    assert failover_timeline.state is state and failover_timeline.durations_s == durations_s


def test_a_startup_goes_through_its_states() -> None:
    startup_timeline = StartupTimeline(10.0)
    startup_timeline.synced(11.0)  # ignored: not a member yet
    startup_timeline.joined(12.0)
    startup_timeline.joined(13.0)
    startup_timeline.synced(15.0)
    startup_timeline.synced(16.0)
    assert startup_timeline.state is StartupState.READY and startup_timeline.durations_s == {
        "joining": 2.0,
        "learning": 3.0,
    }


def test_startups_and_failovers_after_a_crash_are_logged_and_exported(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    async def main(net: virtual_time.Network) -> None:
        service = Service(net)
        await service.start()
        await service.submit(job(1, shares=16, expect_s=15.0))
        await service.submit(job(2, shares=16, expect_s=15.0))
        await asyncio.sleep(10)
        caplog.clear()
        for n in range(3):
            service.crash(n, 1.0)
        assert not await service.until_final(["req-000001", "req-000002"], 120)
        owner = next(
            n for n, controller in service.controllers.items() if "red" in controller.owners
        )
        page = (
            await Client(f"10.0.0.{owner}", 8080, max_idle=0).request("GET", "/metrics", b"", 2.0)
        )[1].decode()
        for state in ("claiming", "reading", "hearing", "passing"):
            assert f'ashdock_takeover_seconds{{state="{state}",team="red"}}' in page
        assert 'ashdock_start_seconds{state="learning"}' in page

    with caplog.at_level(logging.INFO):
        virtual_time.run(main, 5, monkeypatch)
    messages = [record.getMessage() for record in caplog.records]
    assert sum("controller may own shards" in message for message in messages) == 3
    assert any(
        message.startswith("shard places tasks again after failover: team=red ")
        and "hearing" in message
        for message in messages
    )
