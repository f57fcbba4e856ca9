"""The last heartbeats of machines that are assigned to no shard, as the leader has noted them."""

from __future__ import annotations

from typing import NamedTuple

from ashdock.wire.messages import Heartbeat


class NotedHeartbeat(NamedTuple):
    """A machine's last heartbeat with a time: when it came, or since when the machine reports unrecorded."""

    heartbeat: Heartbeat
    at: float  # seconds of the time of day


class UnassignedHeartbeats:
    """Heartbeats of unassigned machines, by machine."""

    def __init__(self) -> None:
        """Start without any."""
        self.recorded: dict[str, NotedHeartbeat] = {}  # have a record; `at`: of the last heartbeat
        self.unrecorded: dict[str, NotedHeartbeat] = {}  # have none; `at`: of the first heartbeat

    def note_recorded(self, heartbeat: Heartbeat, now: float) -> None:
        """An unassigned machine that has a record reported."""
        self.recorded[heartbeat.machine] = NotedHeartbeat(heartbeat, now)

    def note_unrecorded(self, heartbeat: Heartbeat, now: float) -> None:
        """A machine without a record reported; the time of its first heartbeat is kept."""
        known = self.unrecorded.get(heartbeat.machine)
        since = known.at if known is not None else now
        self.unrecorded[heartbeat.machine] = NotedHeartbeat(heartbeat, since)
