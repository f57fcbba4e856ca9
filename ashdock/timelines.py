"""Timelines of a controller's startup and of the failover of a shard.

They are two state machines; the time spent in each state is exported as a metric. This module does
no I/O: callers pass in the times, in seconds of any one clock. An event that does not apply to the
current state is ignored, since most events occur repeatedly.
"""

from __future__ import annotations

import logging
from enum import Enum

log = logging.getLogger("ashdock.timelines")


class StartupState(Enum):
    """State of a controller's startup; the values are label values of a metric."""

    JOINING = "joining"  # not a member yet
    SYNCING = "learning"  # reading the store, the cluster version and the machine types
    READY = "owning"  # may claim shards


class FailoverState(Enum):
    """State of a shard's failover to this controller; the values are label values of a metric."""

    CLAIMING = "claiming"
    LOADING = "reading"
    AWAITING_HEARTBEAT = "hearing"  # no heartbeat from its workers yet
    SCHEDULING = "passing"  # no scheduling cycle completed since
    PLACING = "placing"  # no placement durable yet, or nothing to place
    RECOVERED = "recovered"


class _Timeline:
    """Records the time spent in each state that has been left."""

    def __init__(self, now: float) -> None:
        self.started_at = now
        self.state_entered_at = now
        self.durations_s: dict[str, float] = {}  # by the value of the state

    def _record(self, state: Enum, now: float) -> None:
        self.durations_s[state.value] = now - self.state_entered_at
        self.state_entered_at = now

    def format_durations(self) -> str:
        """Format the seconds spent in each state for a log line."""
        return " ".join(f"{state}_s={seconds:.2f}" for state, seconds in self.durations_s.items())


class StartupTimeline(_Timeline):
    """Timeline from the start of the process until shards may be claimed.

    JOINING -- `joined` --> SYNCING -- `synced` --> READY
    """

    def __init__(self, now: float) -> None:
        """Start in JOINING; `now` is when the controller was built."""
        super().__init__(now)
        self.state = StartupState.JOINING

    def joined(self, now: float) -> None:
        """Record that the controller is a member, for the first time or again."""
        if self.state is StartupState.JOINING:
            self._enter(StartupState.SYNCING, now)

    def synced(self, now: float) -> None:
        """Record that everything needed to claim a shard has been read."""
        if self.state is StartupState.SYNCING:
            self._enter(StartupState.READY, now)
            log.info(
                "controller may own shards: startup_s=%.2f %s",
                now - self.started_at,
                self.format_durations(),
            )

    def _enter(self, state: StartupState, now: float) -> None:
        self._record(self.state, now)
        self.state = state


class FailoverTimeline(_Timeline):
    """Timeline from the decision to claim a shard until a placement in it is durable.

    CLAIMING -- `claimed` --> LOADING -- `loaded` --> AWAITING_HEARTBEAT
    -- `heartbeat_received` --> SCHEDULING -- `cycle_ended` --> PLACING
    -- `placement_committed` --> RECOVERED

    If no machine was up there is no heartbeat to wait for: LOADING -- `loaded` --> SCHEDULING.
    """

    def __init__(self, team: str, now: float) -> None:
        """Start in CLAIMING; `team` is the name of the shard."""
        super().__init__(now)
        self.team = team
        self.state = FailoverState.CLAIMING
        self.machines = 0  # number that was up under the previous owner

    def claimed(self, now: float) -> None:
        """Record that the claim has been written."""
        if self.state is FailoverState.CLAIMING:
            self._enter(FailoverState.LOADING, now)

    def loaded(self, machines: int, now: float) -> None:
        """Record that the shard has been read.

        Args:
            machines: Number of its machines that were up under the previous owner.
            now: Current time, in seconds.
        """
        if self.state is FailoverState.LOADING:
            self.machines = machines
            self._enter(
                FailoverState.AWAITING_HEARTBEAT if machines else FailoverState.SCHEDULING, now
            )

    def heartbeat_received(self, now: float) -> None:
        """Record that a heartbeat of one of the shard's workers was received."""
        if self.state is FailoverState.AWAITING_HEARTBEAT:
            self._enter(FailoverState.SCHEDULING, now)

    def cycle_ended(self, placed: bool, now: float) -> None:
        """Record the end of a scheduling cycle.

        Args:
            placed: Whether any task has been placed since the claim.
            now: Current time, in seconds.
        """
        if self.state is FailoverState.AWAITING_HEARTBEAT and placed:
            # Tasks were placed before any heartbeat, on machines that were assigned to the shard
            # while up: those need none.
            self.heartbeat_received(now)
        if self.state is FailoverState.SCHEDULING:
            self._enter(FailoverState.PLACING, now)

    def placement_committed(self, now: float) -> None:
        """Record that a placement by this owner is durable, so its task may start."""
        if self.state is FailoverState.PLACING:
            self._enter(FailoverState.RECOVERED, now)
            log.info(
                "shard places tasks again after failover: team=%s failover_s=%.2f %s machines=%d",
                self.team,
                now - self.started_at,
                self.format_durations(),
                self.machines,
            )

    def _enter(self, state: FailoverState, now: float) -> None:
        self._record(self.state, now)
        self.state = state
