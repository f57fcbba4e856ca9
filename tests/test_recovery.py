"""What a takeover goes through, state by state; and that it is told."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

import pytest

from ashdock.net.http import Client
from ashdock.timelines import FailoverState, FailoverTimeline, StartupState, StartupTimeline
from tests import simtime
from tests.whole import Service, job

COURSES: list[tuple[list[tuple[Any, ...]], FailoverState, dict[str, float]]] = [
    (
        [("claimed", 1), ("read", 0, 3), ("passed", False, 4)],
        FailoverState.PLACING,
        {"claiming": 1, "reading": 2, "passing": 1},
    ),
    (
        [("claimed", 1), ("read", 5, 3), ("passed", False, 4)],
        FailoverState.HEARING,
        {"claiming": 1, "reading": 2},
    ),
    (
        [
            ("claimed", 1),
            ("read", 5, 3),
            ("heard", 5),
            ("heard", 9),
            ("passed", False, 6),
            ("durable", 8),
            ("durable", 9),
        ],
        FailoverState.RECOVERED,
        {"claiming": 1, "reading": 2, "hearing": 2, "passing": 1, "placing": 2},
    ),
    # A machine that was lent to it while up needs no report: something is placed there before any has come.
    (
        [("claimed", 1), ("read", 5, 3), ("passed", True, 4), ("durable", 5)],
        FailoverState.RECOVERED,
        {"claiming": 1, "reading": 2, "hearing": 1, "passing": 0, "placing": 1},
    ),
    ([("heard", 1), ("durable", 2), ("passed", True, 3)], FailoverState.CLAIMING, {}),
]


@pytest.mark.parametrize(("course", "state", "took"), COURSES)
def test_a_takeover(
    course: list[tuple[Any, ...]], state: FailoverState, took: dict[str, float]
) -> None:
    failover_timeline = FailoverTimeline("red", 0.0)
    for what, *words in course:
        getattr(failover_timeline, what)(*words)
    assert failover_timeline.state is state and failover_timeline.took == took


def test_a_start() -> None:
    startup_timeline = StartupTimeline(10.0)
    startup_timeline.learnt(11.0)  # not before it is a member
    startup_timeline.joined(12.0)
    startup_timeline.joined(13.0)
    startup_timeline.learnt(15.0)
    startup_timeline.learnt(16.0)
    assert startup_timeline.state is StartupState.OWNING and startup_timeline.took == {
        "joining": 2.0,
        "learning": 3.0,
    }


def test_a_crash_is_told_state_by_state(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    async def main(net: simtime.Net) -> None:
        service = Service(net)
        await service.start()
        await service.submit(job(1, shares=16, expect_s=15.0))
        await service.submit(job(2, shares=16, expect_s=15.0))
        await asyncio.sleep(10)
        caplog.clear()
        for n in range(3):
            service.crash(n, 1.0)
        assert not await service.until_final(["req-000001", "req-000002"], 120)
        owner = next(n for n, c in service.controllers.items() if "red" in c.owners)
        page = (await Client(f"10.0.0.{owner}", 8080, keep=0).request("GET", "/metrics", b"", 2.0))[
            1
        ].decode()
        for state in ("claiming", "reading", "hearing", "passing"):
            assert f'ashdock_takeover_seconds{{state="{state}",team="red"}}' in page
        assert 'ashdock_start_seconds{state="learning"}' in page

    with caplog.at_level(logging.INFO):
        simtime.run(main, 5, monkeypatch)
    said = [record.getMessage() for record in caplog.records]
    assert sum("may own parts" in line for line in said) == 3
    assert any(line.startswith("part red places again") and "hearing" in line for line in said)
