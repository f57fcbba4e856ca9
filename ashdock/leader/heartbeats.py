"""The latest heartbeats of unassigned machines, which the leader keeps in memory."""

from __future__ import annotations

from typing import NamedTuple

from ashdock.wire.messages import Heartbeat


class ReceivedHeartbeat(NamedTuple):
    """The latest heartbeat of an unassigned machine that has a record."""

    heartbeat: Heartbeat
    received_at: float  # seconds since the epoch


class UnrecordedMachine(NamedTuple):
    """A machine that sends heartbeats but has no record."""

    heartbeat: Heartbeat  # the latest one
    first_received_at: float  # seconds since the epoch


class UnassignedHeartbeats:
    """The latest heartbeats of unassigned machines, by machine name."""

    def __init__(self) -> None:
        """Start without heartbeats."""
        self.recorded: dict[str, ReceivedHeartbeat] = {}
        self.unrecorded: dict[str, UnrecordedMachine] = {}

    def note_recorded(self, heartbeat: Heartbeat, now: float) -> None:
        """Store the heartbeat of an unassigned machine that has a record.

        Args:
            heartbeat: What the machine sent.
            now: When it arrived, in seconds since the epoch.
        """
        self.recorded[heartbeat.machine] = ReceivedHeartbeat(heartbeat, now)

    def note_unrecorded(self, heartbeat: Heartbeat, now: float) -> None:
        """Store the heartbeat of a machine without a record, and keep the time of its first one.

        Args:
            heartbeat: What the machine sent.
            now: When it arrived, in seconds since the epoch.
        """
        previous = self.unrecorded.get(heartbeat.machine)
        first_received_at = previous.first_received_at if previous is not None else now
        self.unrecorded[heartbeat.machine] = UnrecordedMachine(heartbeat, first_received_at)
