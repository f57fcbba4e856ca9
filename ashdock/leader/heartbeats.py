"""The last heartbeats of machines that are assigned to no shard, as the leader has noted them."""

from __future__ import annotations

from typing import NamedTuple

from ashdock.wire.messages import Heartbeat


class ReceivedHeartbeat(NamedTuple):
    """The last heartbeat of an unassigned machine that has a record."""

    heartbeat: Heartbeat
    received_at: float  # seconds of the time of day


class UnrecordedMachine(NamedTuple):
    """A machine that reports without a record."""

    heartbeat: Heartbeat  # the last one
    since: float  # when the first one came, in seconds of the time of day


class UnassignedHeartbeats:
    """Heartbeats of unassigned machines, by machine."""

    def __init__(self) -> None:
        """Start without any."""
        self.recorded: dict[str, ReceivedHeartbeat] = {}
        self.unrecorded: dict[str, UnrecordedMachine] = {}

    def note_recorded(self, heartbeat: Heartbeat, now: float) -> None:
        """An unassigned machine that has a record reported."""
        self.recorded[heartbeat.machine] = ReceivedHeartbeat(heartbeat, now)

    def note_unrecorded(self, heartbeat: Heartbeat, now: float) -> None:
        """A machine without a record reported; the time of its first heartbeat is kept."""
        known = self.unrecorded.get(heartbeat.machine)
        since = known.since if known is not None else now
        self.unrecorded[heartbeat.machine] = UnrecordedMachine(heartbeat, since)
