"""Detects a crash loop of this controller's process and puts the controller on probation.

A process that restarts within a fraction of a second reclaims its shards before the other
controllers notice its absence. That is desirable once, but not in a crash loop: with each restart
its workers look for another controller, its shards are recovered again, and no other controller
serves them. On probation a controller is not eligible to own shards or lead, so others take over.

The restart count must survive the process, so it is stored in the transaction of the membership
(`ashdock.membership`). This module does no input or output. Times are passed in as seconds since
the epoch, the only clock that two processes share (within the skew that the settings allow).

There is no probation if other controllers have restarted recently as well, since then the cause
moves with the load or is common to all. Shards that were passed on in that case crashed one
controller after another, with a failover each time, and the simulated days `loop2` and `edge` came
out 0.03 to 0.07 lower.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from typing import Any

import msgspec
from msgspec import Struct, field

# Restarts in quick succession: a rolling restart, or a crash and another one that it caused.
TOLERATED_RESTARTS = 2
FORGET_AFTER_LEASES = 2  # run time, in worker leases, after which one restart is forgotten
MAX_PROBATION_LEASES = 2  # in worker leases
FIRST_PROBATION_TTLS = 2  # in durations of a membership lease
PROBATION_GROWTH = 2.0  # factor for each further restart
MAX_GROWTH_EXPONENT = 32  # keeps the power finite; the longest probation is reached before


class RestartRecord(Struct):
    """The record stored under `life/<label>`."""

    restarts: int = field(default=0, name="ends")  # in quick succession, before this process
    started_at: float = field(default=0.0, name="at")  # of this process, seconds since the epoch


class StabilityState(Enum):
    """Whether this process is expected to keep running.

    UNKNOWN -- `process_started`, after too many restarts --> PROBATION
    UNKNOWN -- `process_started`, otherwise --> STEADY
    PROBATION -- `advance`, after the end of the probation --> STEADY
    """

    UNKNOWN = "unknown"
    """The record of the previous process has not been read."""

    PROBATION = "probation"
    """Not eligible to own shards or lead."""

    STEADY = "steady"
    """Not on probation."""


class CrashLoopDetector:
    """Counts restarts in quick succession and determines the duration of a probation."""

    def __init__(self, membership_ttl_s: float, worker_lease_s: float) -> None:
        """Start in UNKNOWN.

        Args:
            membership_ttl_s: Duration of a member's store lease; the unit of a first probation.
            worker_lease_s: How long a worker runs on without a response; bounds the probation.
        """
        self.first_probation_s = FIRST_PROBATION_TTLS * membership_ttl_s
        self.forget_after_s = FORGET_AFTER_LEASES * worker_lease_s
        self.max_probation_s = MAX_PROBATION_LEASES * worker_lease_s
        self.state = StabilityState.UNKNOWN
        self.record = RestartRecord()
        self.probation_ends_at = 0.0  # seconds since the epoch

    @property
    def on_probation(self) -> bool:
        """Whether other controllers should own the shards and lead."""
        return self.state is StabilityState.PROBATION

    def probation_s(self) -> float:
        """Return the duration of a probation after the recorded number of restarts."""
        excess = self.record.restarts - TOLERATED_RESTARTS
        if excess <= 0:
            return 0.0
        growth = PROBATION_GROWTH ** min(excess - 1, MAX_GROWTH_EXPONENT)
        return min(self.first_probation_s * growth, self.max_probation_s)

    def process_started(self, previous: Any, others: Iterable[Any], now: float) -> RestartRecord:
        """Count the restart and leave UNKNOWN; later calls by the same process have no effect.

        Args:
            previous: The stored record of the previous process, or `None`.
            others: The stored records of the other controllers.
            now: Seconds since the epoch.

        Returns:
            The record to store for this process.
        """
        if self.state is not StabilityState.UNKNOWN:
            return self.record
        if previous is not None:
            self.record.restarts = self._restarts_after(_decode(previous), now)
        self.record.started_at = round(now, 3)
        probation_s = 0.0 if self._any_restarted_recently(others, now) else self.probation_s()
        self.probation_ends_at = now + probation_s
        if self.probation_ends_at > now:
            self.state = StabilityState.PROBATION
        else:
            self.state = StabilityState.STEADY
        return self.record

    def advance(self, now: float) -> None:
        """End the probation if it is over at `now`, in seconds since the epoch."""
        if self.state is StabilityState.PROBATION and now >= self.probation_ends_at:
            self.state = StabilityState.STEADY

    def _restarts_after(self, previous: RestartRecord, now: float) -> int:
        """Return the count with this restart, less one for each `forget_after_s` of run time."""
        ran_s = max(now - previous.started_at, 0.0)  # negative if the clock was set back
        forgotten = int(ran_s / self.forget_after_s)
        return max(previous.restarts - forgotten, 0) + 1

    def _any_restarted_recently(self, records: Iterable[Any], now: float) -> bool:
        return any(
            record.restarts and now - record.started_at < self.forget_after_s
            for record in map(_decode, records)
        )


def _decode(value: Any) -> RestartRecord:
    """Decode a stored record; one that cannot be decoded counts as no restart.

    A damaged record therefore never puts a controller on probation.
    """
    try:
        return msgspec.convert(value, RestartRecord)
    except msgspec.ValidationError:
        return RestartRecord()
