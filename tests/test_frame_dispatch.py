"""Dispatch of peer frames, and what is kept of the reports in them."""

from __future__ import annotations

import time
from types import SimpleNamespace
from typing import Any

import pytest

from ashdock.core.shard_status import ShardStatus
from ashdock.frame_dispatch import FrameDispatcher
from ashdock.peer_reports import MAX_JOBS_PER_PEER, PeerReports
from ashdock.wire.peer_messages import (
    CancelledJobs,
    ForwardReply,
    OwnershipClaims,
    ReclaimsInProgress,
    TaskCounts,
)

HEARTBEAT_INTERVAL_S = 1.0
TTL_S = 5.0


def test_a_frame_goes_to_the_handler_of_its_type_alone() -> None:
    dispatcher = FrameDispatcher()
    received: list[tuple[str, Any]] = []
    dispatcher.register(OwnershipClaims, lambda label, frame: received.append((label, frame)))
    dispatcher.register(CancelledJobs, lambda label, frame: received.append(("other", frame)))
    claims = OwnershipClaims([("red", 7)])
    dispatcher.dispatch("b", claims)
    assert received == [("b", claims)]


def test_a_frame_without_a_handler_is_dropped() -> None:
    dispatcher = FrameDispatcher()
    dispatcher.register(OwnershipClaims, lambda label, frame: pytest.fail("received"))
    dispatcher.dispatch("b", ForwardReply(1, 200, b""))


class ReportsFixture:
    """Reports of peers, with a monotonic clock that is set by the test."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Set up the shards `red`, owned by peer `b`, and `blue`, owned here and read."""
        self.clock = 100.0
        monkeypatch.setattr(time, "monotonic", lambda: self.clock)
        reporter = SimpleNamespace(
            shard_status=lambda now: make_status("blue"), leaving_machines=lambda: [("vm-9", "")]
        )
        blue = SimpleNamespace(
            name="blue",
            status_reporter=reporter,
            jobs={"req-2": SimpleNamespace(done_count=3, running_count=4)},
        )
        owners: Any = SimpleNamespace(
            by_team={"blue": SimpleNamespace(shard=blue)}, active_shards=lambda: [blue]
        )
        cluster: Any = SimpleNamespace(owner_label={"red": "b", "blue": "a"}.get)
        self.reports = PeerReports(
            owners=owners,
            cluster=cluster,
            heartbeat_interval_s=HEARTBEAT_INTERVAL_S,
            ttl_s=TTL_S,
            now=lambda: 0.0,
        )


def make_status(team: str) -> ShardStatus:
    return ShardStatus(team, 1, [], [], [], 0, 0, 0)


def test_statuses_of_peers_are_valid_for_a_lease(monkeypatch: pytest.MonkeyPatch) -> None:
    fixture = ReportsFixture(monkeypatch)
    fixture.reports.status_received("b", make_status("red"))
    fixture.clock += TTL_S - 0.1
    assert fixture.reports.shard_statuses() == {
        "red": make_status("red"),
        "blue": make_status("blue"),
    }
    fixture.clock += 0.1
    assert fixture.reports.shard_statuses() == {"blue": make_status("blue")}


def test_reclaims_of_peers_are_valid_for_two_heartbeat_intervals(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fixture = ReportsFixture(monkeypatch)
    fixture.reports.reclaims_received("b", ReclaimsInProgress("red", [("vm-1", "blue")]))
    fixture.clock += 2 * HEARTBEAT_INTERVAL_S - 0.1
    assert fixture.reports.leaving_machines() == [("vm-1", "blue"), ("vm-9", "")]
    fixture.clock += 0.1
    assert fixture.reports.leaving_machines() == [("vm-9", "")]


def test_counts_come_from_the_local_shard_or_the_owners_last_frames(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    reports = ReportsFixture(monkeypatch).reports
    reports.counts_received("c", TaskCounts([("req-1", 8, 8)]))  # not the owner
    assert reports.task_counts("red", "req-1") == (0, 0)
    reports.counts_received("b", TaskCounts([("req-1", 1, 2)]))
    reports.counts_received("b", TaskCounts([("req-3", 5, 6)]))
    assert reports.task_counts("red", "req-1") == (1, 2)
    assert reports.task_counts("red", "req-3") == (5, 6)
    assert reports.task_counts("blue", "req-2") == (3, 4)
    assert reports.task_counts("gray", "req-1") == (0, 0)


def test_counts_are_cleared_when_too_many_jobs_are_kept(monkeypatch: pytest.MonkeyPatch) -> None:
    reports = ReportsFixture(monkeypatch).reports
    reports.counts_received(
        "b", TaskCounts([(f"req-{n}", 1, 0) for n in range(MAX_JOBS_PER_PEER + 1)])
    )
    reports.counts_received("b", TaskCounts([("new", 1, 2)]))
    assert reports.counts_by_peer["b"] == {"new": (1, 2)}
