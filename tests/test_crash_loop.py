"""Tests of the crash loop detector: counting of restarts, and probation."""

from __future__ import annotations

from typing import Any

import pytest

from ashdock.crash_loop import CrashLoopDetector, StabilityState

MEMBERSHIP_TTL_S = 1.0
WORKER_LEASE_S = 6.0
NOW = 1000.0  # seconds since the epoch


@pytest.mark.parametrize(
    ("runs_s", "restarts", "probation_s"),
    [
        ([100.0], 1, 0.0),
        ([100.0, 3.0], 2, 0.0),
        ([100.0, 3.0, 3.0], 3, 2.0),
        ([2.0] * 4, 4, 4.0),
        ([2.0] * 20, 20, 12.0),
        ([2.0, 2.0, 2.0, 13.0], 3, 2.0),  # one restart is forgotten after two worker leases
        ([2.0, 2.0, 2.0, 100.0], 1, 0.0),
        ([2.0] * 20 + [120.0], 11, 12.0),
        ([-5.0, -5.0, -5.0], 3, 2.0),  # the clock was set back
    ],
)
def test_restarts_in_quick_succession_lead_to_probation(
    runs_s: list[float], restarts: int, probation_s: float
) -> None:
    stored: dict[str, Any] | None = None
    now = NOW
    for ran_s in [*runs_s, 0.0]:
        detector = CrashLoopDetector(MEMBERSHIP_TTL_S, WORKER_LEASE_S)
        assert not detector.on_probation and detector.state is StabilityState.UNKNOWN
        record = detector.process_started(stored, [], now)
        # A repeated call has no effect: it occurs when the membership expires during a process.
        assert detector.process_started(stored, [], now + 1) == record
        stored = {"ends": record.restarts, "at": record.started_at}
        now += ran_s
    assert record.restarts == restarts and detector.probation_s() == pytest.approx(probation_s)
    assert detector.on_probation is (probation_s != 0)
    detector.advance(now + probation_s)
    assert not detector.on_probation


@pytest.mark.parametrize("stored", [{"ends": "three"}, [], "x", {"ends": 1, "at": None}])
def test_a_record_that_cannot_be_decoded_causes_no_probation(stored: Any) -> None:
    detector = CrashLoopDetector(MEMBERSHIP_TTL_S, WORKER_LEASE_S)
    detector.process_started(stored, [stored], NOW)
    assert not detector.on_probation


@pytest.mark.parametrize(
    ("others", "on_probation"),
    [([], True), ([(0, 995.0)], True), ([(1, 980.0)], True), ([(0, 980.0), (1, 995.0)], False)],
)
def test_no_probation_where_other_controllers_restart_as_well(
    others: list[tuple[int, float]], on_probation: bool
) -> None:
    detector = CrashLoopDetector(MEMBERSHIP_TTL_S, WORKER_LEASE_S)
    detector.process_started(
        {"ends": 5, "at": 998.0},
        [{"ends": restarts, "at": started_at} for restarts, started_at in others],
        NOW,
    )
    assert detector.on_probation is on_probation
