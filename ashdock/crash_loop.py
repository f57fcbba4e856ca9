"""How often this controller has ended of late, and whether shards and lead are for others meanwhile.

A process that is back within a fraction of a second takes its shards back before the others have missed it. That is right once,
and wrong for one that keeps ending: each time its workers ask elsewhere, its shards are read anew, and nobody else serves them.
The count has to outlive the process, so it is kept in the state service, written together with the membership. No input or
output; the time of day is passed in, since it is all that two processes have in common (within the settings' skew).

Where others have ended of late as well it is not this controller's fault: what ends them goes with the load, or is common to all. Parts that were
passed on then ended one controller after the other, and cost a takeover each time (our days loop2 and edge, 0.03 to 0.07 lower).
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from typing import Any

import msgspec
from msgspec import Struct

TOLERATED_RESTARTS = 2  # in quick succession: a roll, or an accident and what followed from it
FORGET_AFTER_LEASES = (
    2  # workers' leases for which a process has to live until one of its ends is forgotten
)
LONGEST_PROBATION_LEASES = 2  # workers' leases that a probation lasts at most


class RestartRecord(Struct):
    """As it is kept: ends in quick succession before this life, and when it began (time of day, seconds)."""

    ends: int = 0
    at: float = 0.0


class StabilityState(Enum):
    UNKNOWN = "unknown"  # not yet read how the lives before ended
    PROBATION = "probation"  # shards and lead are for others
    STEADY = "steady"


class CrashLoopDetector:
    """`ttl_s`: of a member's lease; a first probation lasts two of them, each further one twice as long."""

    def __init__(self, ttl_s: float, lease_s: float) -> None:
        self.first_s = 2 * ttl_s
        self.calm_s = FORGET_AFTER_LEASES * lease_s
        self.bound_s = LONGEST_PROBATION_LEASES * lease_s
        self.state = StabilityState.UNKNOWN
        self.record = RestartRecord()
        self.until = 0.0  # time of day when the probation is over

    @property
    def steady(self) -> bool:
        return self.state is not StabilityState.PROBATION

    def probation_s(self) -> float:
        """How long this life has to last before shards and lead are for it as well."""
        over = self.record.ends - TOLERATED_RESTARTS
        return min(self.first_s * 2.0 ** min(over - 1, 32), self.bound_s) if over > 0 else 0.0

    def process_started(self, kept: Any, others: Iterable[Any], now: float) -> RestartRecord:
        """A life has begun; `kept` is what the one before left (None: there was none), `others` what other controllers have kept.
        What is to be kept from now on."""
        if self.state is StabilityState.UNKNOWN:
            if kept is not None:
                before = _decoded(kept)
                lived_s = max(now - before.at, 0.0)
                self.record.ends = max(before.ends - int(lived_s / self.calm_s), 0) + 1
            self.record.at = round(now, 3)
            alone = not any(
                record.ends and now - record.at < self.calm_s for record in map(_decoded, others)
            )
            self.until = now + (self.probation_s() if alone else 0.0)
            self.state = StabilityState.PROBATION if self.until > now else StabilityState.STEADY
        return self.record

    def look(self, now: float) -> None:
        """Time has gone by."""
        if self.state is StabilityState.PROBATION and now >= self.until:
            self.state = StabilityState.STEADY


def _decoded(kept: Any) -> RestartRecord:
    """What cannot be read counts as a life that ended well: it must keep nobody from serving."""
    try:
        return msgspec.convert(kept, RestartRecord)
    except msgspec.ValidationError:
        return RestartRecord()
