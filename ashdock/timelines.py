"""Where the time goes between a controller's start, or a failover, and the first placement.

Two state machines, whose times in each state become metrics. This module does no input or output; times are passed in, in
seconds of any one clock. An event that does not fit the present state is ignored, since most of them occur again and again.
"""

from __future__ import annotations

import logging
from enum import Enum

log = logging.getLogger("ashdock.timelines")


class StartupState(Enum):
    """A controller since its process began; the values are labels of a metric."""

    JOINING = "joining"  # no member yet
    SYNCING = "learning"  # reads the store, the cluster version and the machine types
    READY = "owning"  # may claim shards


class FailoverState(Enum):
    """A shard since this controller set out to claim it; the values are labels of a metric."""

    CLAIMING = "claiming"
    LOADING = "reading"
    AWAITING_HEARTBEAT = "hearing"  # none of its workers has checked in here yet
    SCHEDULING = "passing"  # no scheduling cycle has ended since
    PLACING = "placing"  # no placement of ours is durable yet, or there was nothing to place
    RECOVERED = "recovered"


class _Timeline:
    """The time spent in each state that has been left."""

    def __init__(self, now: float) -> None:
        self.started_at = now
        self.state_entered_at = now
        self.durations_s: dict[str, float] = {}  # by the state's value

    def _record(self, left: Enum, now: float) -> None:
        self.durations_s[left.value] = now - self.state_entered_at
        self.state_entered_at = now

    def format_durations(self) -> str:
        """The seconds in each state, for a log line."""
        return " ".join(f"{state}_s={seconds:.2f}" for state, seconds in self.durations_s.items())


class StartupTimeline(_Timeline):
    """From the start of the process until shards may be claimed.

    JOINING -- `joined` --> SYNCING -- `synced` --> READY
    """

    def __init__(self, now: float) -> None:
        """Starts in JOINING; `now` is the start of the process."""
        super().__init__(now)
        self.state = StartupState.JOINING

    def joined(self, now: float) -> None:
        """The controller is a member, for the first time or again."""
        if self.state is StartupState.JOINING:
            self._enter(StartupState.SYNCING, now)

    def synced(self, now: float) -> None:
        """All that a claim rests on has been read."""
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
    """From the decision to claim a shard until a placement in it is durable.

    CLAIMING -- `claimed` --> LOADING -- `loaded` --> AWAITING_HEARTBEAT -- `heartbeat_received` --> SCHEDULING
    -- `cycle_ended` --> PLACING -- `placement_committed` --> RECOVERED

    Where no machine was up there is no heartbeat to wait for: LOADING -- `loaded` --> SCHEDULING.
    """

    def __init__(self, team: str, now: float) -> None:
        """Starts in CLAIMING; `team` names the shard."""
        super().__init__(now)
        self.team = team
        self.state = FailoverState.CLAIMING
        self.machines = 0  # that were up under the owner before

    def claimed(self, now: float) -> None:
        """The claim has been written."""
        if self.state is FailoverState.CLAIMING:
            self._enter(FailoverState.LOADING, now)

    def loaded(self, machines: int, now: float) -> None:
        """The shard has been read back; `machines` of it were up."""
        if self.state is FailoverState.LOADING:
            self.machines = machines
            self._enter(
                FailoverState.AWAITING_HEARTBEAT if machines else FailoverState.SCHEDULING, now
            )

    def heartbeat_received(self, now: float) -> None:
        """A worker of the shard has checked in."""
        if self.state is FailoverState.AWAITING_HEARTBEAT:
            self._enter(FailoverState.SCHEDULING, now)

    def cycle_ended(self, placed: bool, now: float) -> None:
        """A scheduling cycle has ended; `placed`: it has placed tasks."""
        if self.state is FailoverState.AWAITING_HEARTBEAT and placed:
            # Placed before any worker checked in: on machines assigned while up, which need no heartbeat.
            self.heartbeat_received(now)
        if self.state is FailoverState.SCHEDULING:
            self._enter(FailoverState.PLACING, now)

    def placement_committed(self, now: float) -> None:
        """A placement of ours is durable, so its task may start."""
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
