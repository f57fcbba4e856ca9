"""Detects that this controller's process restarts again and again, and puts it on probation.

A process that is back within a fraction of a second takes its shards back before the other controllers have missed it.
That is right once, and wrong in a crash loop: each time its workers ask elsewhere, its shards are read anew, and nobody
else serves them. On probation a controller is not eligible to own shards or lead, so that others take over.

The count of restarts has to outlive the process, so it is kept in the store and written together with the membership
(`ashdock.membership`). This module does no input or output. Times are passed in as time of day in seconds, since that is
all that two processes have in common (within the skew that the settings allow).

Where other controllers have restarted recently as well there is no probation: the cause goes with the load, or is common
to all. Shards that were passed on then ended one controller after the other, and cost a failover each time (0.03 to 0.07
lower on the simulated days `loop2` and `edge`).
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from typing import Any

import msgspec
from msgspec import Struct, field

TOLERATED_RESTARTS = (
    2  # in quick succession: a rolling restart, or an accident and what followed from it
)
FORGET_AFTER_LEASES = (
    2  # agent leases for which a process has to run until one restart is forgotten
)
LONGEST_PROBATION_LEASES = 2  # agent leases that a probation lasts at most
FIRST_PROBATION_TTLS = 2  # lifetimes of a membership lease that a first probation lasts
PROBATION_GROWTH = 2.0  # factor for each further restart
MAX_GROWTH_EXPONENT = 32  # keeps the power finite; the upper bound has long been reached by then


class RestartRecord(Struct):
    """The record stored under `life/<label>`."""

    restarts: int = field(default=0, name="ends")  # in quick succession, before this process
    started_at: float = field(default=0.0, name="at")  # of this process: time of day, seconds


class StabilityState(Enum):
    """Whether this process is trusted to stay.

    UNKNOWN -- `process_started`, after too many restarts --> PROBATION
    UNKNOWN -- `process_started`, otherwise --> STEADY
    PROBATION -- `advance`, its time has come --> STEADY
    """

    UNKNOWN = "unknown"  # the record of the process before has not been read
    PROBATION = "probation"  # not eligible to own shards or lead
    STEADY = "steady"


class CrashLoopDetector:
    """Counts restarts in quick succession and decides how long a probation lasts."""

    def __init__(self, membership_ttl_s: float, agent_lease_s: float) -> None:
        """Starts in UNKNOWN.

        Args:
            membership_ttl_s: lifetime of a member's store lease; the unit of a first probation.
            agent_lease_s: how long a worker runs on without an answer; bounds the probation.
        """
        self.first_probation_s = FIRST_PROBATION_TTLS * membership_ttl_s
        self.forget_after_s = FORGET_AFTER_LEASES * agent_lease_s
        self.longest_probation_s = LONGEST_PROBATION_LEASES * agent_lease_s
        self.state = StabilityState.UNKNOWN
        self.record = RestartRecord()
        self.probation_ends_at = 0.0  # time of day, seconds

    @property
    def on_probation(self) -> bool:
        """Whether shards and leadership are to be left to other controllers."""
        return self.state is StabilityState.PROBATION

    def probation_s(self) -> float:
        """How long a process with this many restarts before it has to run until it is eligible."""
        excess = self.record.restarts - TOLERATED_RESTARTS
        if excess <= 0:
            return 0.0
        growth = PROBATION_GROWTH ** min(excess - 1, MAX_GROWTH_EXPONENT)
        return min(self.first_probation_s * growth, self.longest_probation_s)

    def process_started(self, previous: Any, others: Iterable[Any], now: float) -> RestartRecord:
        """Leaves UNKNOWN; changes nothing when called again by the same process.

        Args:
            previous: the stored record of the process before this one; None if there is none.
            others: the stored records of the other controllers.
            now: time of day, seconds.

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
        """Ends the probation if its time (time of day, seconds) has come."""
        if self.state is StabilityState.PROBATION and now >= self.probation_ends_at:
            self.state = StabilityState.STEADY

    def _restarts_after(self, previous: RestartRecord, now: float) -> int:
        """The count with the restart that has just happened, less one for each calm interval."""
        ran_s = max(now - previous.started_at, 0.0)  # below 0: the time of day was set back
        forgotten = int(ran_s / self.forget_after_s)
        return max(previous.restarts - forgotten, 0) + 1

    def _any_restarted_recently(self, records: Iterable[Any], now: float) -> bool:
        return any(
            record.restarts and now - record.started_at < self.forget_after_s
            for record in map(_decode, records)
        )


def _decode(value: Any) -> RestartRecord:
    """Decodes a stored record; one that can't be read counts as no restart, so that it keeps nobody from serving."""
    try:
        return msgspec.convert(value, RestartRecord)
    except msgspec.ValidationError:
        return RestartRecord()
