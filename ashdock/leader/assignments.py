"""Writes that assign unassigned machines to shards or mark machines as decommissioned."""

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

# Time that one round's assignments may take at this controller's share of the store's write rate.
MAX_ASSIGN_S = 2.0
# Age, in report intervals, up to which a heartbeat's address and incarnation are taken as current.
RECENT_HEARTBEAT_INTERVALS = 2


class Assignments:
    """Writes machine assignments and decommission marks.

    Keeps track of the machines whose writes are pending. The allocator chooses the same machines in
    every round until the writes are done; repeated transactions filled the write queue and failed
    each other's compares.
    """

    def __init__(
        self,
        records: MachineRecords,
        heartbeats: UnassignedHeartbeats,
        now: Callable[[], float],
        report_interval_s: float,
    ) -> None:
        """Start without pending writes.

        Args:
            records: The machines' records.
            heartbeats: The latest heartbeats of unassigned machines.
            now: Returns the time in seconds since the epoch.
            report_interval_s: Seconds between a machine's heartbeats.
        """
        self.records = records
        self.heartbeats = heartbeats
        self.now = now
        self.report_interval_s = report_interval_s
        self.pending_assignments: set[str] = set()
        self.pending_decommissions: set[str] = set()

    @property
    def under_way(self) -> bool:
        """Whether a write is pending."""
        return bool(self.pending_decommissions or self.pending_assignments)

    def max_new_assignments(self) -> int:
        """How many machines may be assigned now; 0 while earlier assignments are pending."""
        return 0 if self.pending_assignments else self.records.writes_within(MAX_ASSIGN_S)

    async def assign(self, assignments: dict[str, str]) -> None:
        """Assign unassigned machines to shards.

        If the store does not answer, the machines are left to later rounds of the allocator.

        Args:
            assignments: The shard of each machine, by machine name. Callers pass no more than
                `max_new_assignments`: hundreds of assignments at once took half a minute to write,
                during which each round chose the same machines again. With 2,648 machines, half of
                the store's write limit went into writes that failed.

        Raises:
            NotLeaderError: Another controller was elected meanwhile.
        """
        self.pending_assignments.update(assignments)
        try:
            await self._write_assignments(assignments)
        finally:
            self.pending_assignments.clear()

    async def _write_assignments(self, assignments: dict[str, str]) -> None:
        writes: dict[str, RecordWrite] = {}
        for name, shard in assignments.items():
            write = self._assignment_write(name, shard)
            if write is not None:
                writes[name] = write
        try:
            for name in await self.records.write_all(writes):
                log.info("machine assigned: machine=%s team=%s", name, assignments[name])
        except StoreUnavailableError as error:
            log.debug("assignments not written: error=%s", error)

    def _assignment_write(self, name: str, shard: str) -> RecordWrite | None:
        """The write that assigns a machine; None if the machine is not unassigned any more."""
        entry = self.records.entry(name)
        if entry is None:
            return self._unrecorded_assignment_write(name, shard)
        if entry.value[SHARD] != "" or is_decommissioned(entry):
            return None
        # Keeps fields that another version of the controller wrote.
        value = {**entry.value, SHARD: shard} | self._pop_recent_heartbeat_fields(name)
        return RecordWrite(entry.revision, value)

    def _unrecorded_assignment_write(self, name: str, shard: str) -> RecordWrite | None:
        machine = self.heartbeats.unrecorded.pop(name, None)
        if machine is None:
            return None
        # The heartbeat shows that the machine is up, and in which incarnation.
        record = MachineRecord.from_source(machine.heartbeat, shard, self.now())._replace(
            incarnation=machine.heartbeat.incarnation
        )
        return RecordWrite(ABSENT, record.to_stored())

    def _pop_recent_heartbeat_fields(self, name: str) -> dict[str, Any]:
        """Address and incarnation from a recent heartbeat; they save the owner the wait for one."""
        received = self.heartbeats.recorded.pop(name, None)
        if (
            received is None
            or self.now() - received.received_at
            > RECENT_HEARTBEAT_INTERVALS * self.report_interval_s
        ):
            return {}
        return {ADDRESS: received.heartbeat.address, INCARNATION: received.heartbeat.incarnation}

    async def decommission(self, names: list[str], reason: str) -> None:
        """Mark machines as decommissioned in their records.

        The mark is stored before a machine is released, so that it is not assigned meanwhile. If
        the store does not answer, a machine may stay unmarked.

        Args:
            names: The machines; those whose marks are pending are left out.
            reason: The mark's text.

        Raises:
            NotLeaderError: Another controller was elected meanwhile.
        """
        names = [name for name in names if name not in self.pending_decommissions]
        self.pending_decommissions.update(names)
        try:
            await self._write_decommission_marks(names, reason)
        finally:
            self.pending_decommissions.difference_update(names)

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
            log.debug("decommission marks not written: error=%s", error)
