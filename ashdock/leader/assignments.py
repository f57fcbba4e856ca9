"""Assigns unassigned machines to shards, and marks machines as decommissioned."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from ashdock.leader.heartbeats import UnassignedHeartbeats
from ashdock.leader.machine_records import (
    ABSENT,
    ADDRESS,
    DECOMMISSIONED,
    INCARNATION,
    SHARD,
    MachineRecord,
    MachineRecords,
    RecordWrite,
    is_decommissioned,
)
from ashdock.net.store_errors import StoreUnavailableError

log = logging.getLogger("ashdock.leader")

MAX_ASSIGN_S = (
    2.0  # how long the store may be busy, at our share of its limit, with one round's assignments
)
RECENT_INTERVALS = 2  # a heartbeat of so many report intervals ago still tells where a machine is


class Assignments:
    """Writes of the leader that change to whom a machine belongs.

    What is being written is remembered until it is done: the allocator chooses the same machines in every round until then,
    and the same transactions sent again filled the queue of writes and made one another fail.
    """

    def __init__(
        self,
        records: MachineRecords,
        heartbeats: UnassignedHeartbeats,
        now: Callable[[], float],
        report_interval_s: float,
    ) -> None:
        """Write by `records`.

        Args:
            records: The machines' records.
            heartbeats: The last heartbeats of unassigned machines.
            now: The time of day in seconds.
            report_interval_s: Seconds between a worker's heartbeats.
        """
        self.records = records
        self.heartbeats = heartbeats
        self.now = now
        self.report_interval_s = report_interval_s
        self.assigning: set[str] = set()
        self.decommissioning: set[str] = set()

    @property
    def under_way(self) -> bool:
        """Whether a write has begun and is not over."""
        return bool(self.decommissioning or self.assigning)

    def limit(self) -> int:
        """How many machines may be assigned now; 0 while earlier assignments are being written."""
        return 0 if self.assigning else self.records.writes_within(MAX_ASSIGN_S)

    async def assign(self, assignments: dict[str, str]) -> None:
        """Assign unassigned machines, given as machine and shard.

        No more at a time than `limit`: hundreds assigned at once took half a minute to write, and meanwhile each round chose
        them again (2,648 machines: half of the store's write limit went into writes that failed).
        """
        self.assigning.update(assignments)
        try:
            await self._write_assignments(assignments)
        finally:
            self.assigning.clear()

    async def _write_assignments(self, assignments: dict[str, str]) -> None:
        writes: dict[str, RecordWrite] = {}
        for name, shard in assignments.items():
            write = self._assignment(name, shard)
            if write is not None:
                writes[name] = write
        try:
            for name in await self.records.write_all(writes):
                log.info("machine assigned machine=%s team=%s", name, assignments[name])
        except StoreUnavailableError as error:
            log.debug("assignments not written error=%s", error)

    def _assignment(self, name: str, shard: str) -> RecordWrite | None:
        """The write that assigns a machine; None if it is no longer there to be assigned."""
        entry = self.records.entry(name)
        if entry is None:
            return self._assignment_of_unrecorded(name, shard)
        if entry.value[SHARD] != "" or is_decommissioned(entry):
            return None
        # Fields that another version wrote stay in the record.
        value = {**entry.value, SHARD: shard} | self._take_recent_heartbeat(name)
        return RecordWrite(entry.revision, value)

    def _assignment_of_unrecorded(self, name: str, shard: str) -> RecordWrite | None:
        machine = self.heartbeats.unrecorded.pop(name, None)
        if machine is None:
            return None
        # It is known to be up, and in which incarnation.
        record = MachineRecord.of(machine.heartbeat, shard, self.now())._replace(
            incarnation=machine.heartbeat.incarnation
        )
        return RecordWrite(ABSENT, record.to_stored())

    def _take_recent_heartbeat(self, name: str) -> dict[str, Any]:
        """Address and incarnation of a machine that reported just now: its next owner need not wait for its heartbeat."""
        received = self.heartbeats.recorded.pop(name, None)
        if (
            received is None
            or self.now() - received.received_at > RECENT_INTERVALS * self.report_interval_s
        ):
            return {}
        return {ADDRESS: received.heartbeat.address, INCARNATION: received.heartbeat.incarnation}

    async def decommission(self, names: list[str], reason: str) -> None:
        """Mark machines as decommissioned, durably, before they are released: nobody assigns them meanwhile."""
        names = [name for name in names if name not in self.decommissioning]
        self.decommissioning.update(names)
        try:
            await self._write_decommission_marks(names, reason)
        finally:
            self.decommissioning.difference_update(names)

    async def _write_decommission_marks(self, names: list[str], reason: str) -> None:
        writes: dict[str, RecordWrite] = {}
        for name in names:
            entry = self.records.entry(name)
            if entry and not is_decommissioned(entry):
                value = {**entry.value, DECOMMISSIONED: reason}
                writes[name] = RecordWrite(entry.revision, value)
        try:
            await self.records.write_all(writes)
        except StoreUnavailableError as error:
            log.debug("decommission marks not written error=%s", error)
