"""Reconciles the cloud's list of machines and the heartbeats of unrecorded machines with the records."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from dataclasses import dataclass, field

from ashdock.concurrency import iterate_live
from ashdock.leader.assignments import Assignments
from ashdock.leader.heartbeats import UnassignedHeartbeats
from ashdock.leader.leadership import Leadership
from ashdock.leader.machine_records import MachineRecord, MachineRecords, is_decommissioned
from ashdock.net.cloud import CloudClient
from ashdock.wire.messages import Heartbeat, Host, MachineType

log = logging.getLogger("ashdock.leader")

MAX_UNRECORDED = 2000  # unrecorded machines whose heartbeats are kept at a time
LAG_DECAY = 0.9  # of the list's lag as last seen, with each list that is younger
# In lags of the list:
MISSING_LAGS = 3  # a machine listed for longer that is not listed any more is gone
UNRECORDED_LAGS = 2  # one listed without a record for longer is really there
LATE_HEARTBEAT_LAGS = 4  # with a lease, how long a released machine's heartbeats may still come
FORGET_RELEASED_LAGS = 20  # with a minute, after which a released machine is forgotten
FORGET_RELEASED_S = 60.0


def missing_machines(
    first_listed: dict[str, float], names: list[str], now: float, certain_after_s: float
) -> list[str]:
    """Machines that a list lacks though they have been listed for so long that even an old list would hold them.

    Args:
        first_listed: When each machine was first listed, in seconds; brought up to date.
        names: The machines listed now.
        now: The time in seconds.
        certain_after_s: Seconds after which even an old list holds a machine.
    """
    listed = set(names)
    for name in names:
        first_listed.setdefault(name, now)
    missing = [
        name
        for name, since in first_listed.items()
        if name not in listed and now - since > certain_after_s
    ]
    for name in missing:
        del first_listed[name]
    return missing


def list_lag(ages: list[tuple[str, float]], scaled_out: dict[str, float], now: float) -> float:
    """How old a list is, in seconds, by the ages that it gives to machines whose time of scale-out is known."""
    return max(
        (now - scaled_out[name] - age for name, age in ages if name in scaled_out), default=0.0
    )


@dataclass(kw_only=True, eq=False)
class InventoryReconciler:
    """Finds machines that are missing, failed or unrecorded, in one term."""

    cloud: CloudClient
    records: MachineRecords
    assignments: Assignments
    heartbeats: UnassignedHeartbeats
    leadership: Leadership
    catalog: dict[str, MachineType]
    scaling_out: Callable[[], bool]  # whether machines may be listed before they are recorded
    now: Callable[[], float]  # the time of day in seconds
    min_lag_s: float  # of the cloud's list, as declared
    lease_s: float
    adopt_after_s: float  # an unrecorded machine that nobody wants for longer is recorded

    first_listed: dict[str, float] = field(default_factory=dict)  # by machine, the time
    unrecorded_since: dict[str, float] = field(default_factory=dict)  # listed without a record
    # Released machines, which a list that lags may still name, with the time of release.
    released_at: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Start with the declared lag."""
        self.lag_s = self.min_lag_s  # as far as the lists have shown

    # -- heartbeats ----------------------------------------------------------------------------

    def on_heartbeat(self, heartbeat: Heartbeat, recorded: bool) -> None:
        """Note a heartbeat of an unassigned machine.

        Args:
            heartbeat: What the machine sent.
            recorded: Whether it has a record.
        """
        now = self.now()
        name = heartbeat.machine
        if recorded:
            self.heartbeats.note_recorded(heartbeat, now)
        elif (
            name not in self.assignments.pending_assignments
            and len(self.heartbeats.unrecorded) < MAX_UNRECORDED
            and heartbeat.machine_type in self.catalog
            and not self._recently_released(name, now)
        ):
            self.heartbeats.note_unrecorded(heartbeat, now)

    def note_released(self, names: list[str]) -> None:
        """Machines were released: what is heard of them from now on is out of date."""
        now = self.now()
        self.released_at.update((name, now) for name in names)

    def _recently_released(self, name: str, now: float) -> bool:
        """Whether a sign of life may be that of a machine released a moment ago."""
        since_release = now - self.released_at.get(name, -math.inf)
        return since_release < LATE_HEARTBEAT_LAGS * self.lag_s + self.lease_s

    # -- adoption ------------------------------------------------------------------------------

    async def adopt_unrecorded(self) -> None:
        """Record machines that nobody has wanted for a while: nothing unrecorded is ever released."""
        now = self.now()
        # Adopting waits, and meanwhile a machine may be assigned and so recorded.
        for name, machine in iterate_live(self.heartbeats.unrecorded):
            if self.records.entry(name) is not None:
                self.heartbeats.unrecorded.pop(name, None)
            elif now - machine.first_received_at > self.adopt_after_s:
                self.heartbeats.unrecorded.pop(name, None)
                await self._adopt(name, machine.heartbeat)

    async def _adopt(self, name: str, source: Heartbeat | Host) -> None:
        """Record a machine as unassigned, unless it is recorded, of an unknown type, or released."""
        now = self.now()
        if self.records.entry(name) is not None or source.machine_type not in self.catalog:
            return
        if self._recently_released(name, now):
            return
        await self.records.create(name, MachineRecord.from_source(source, shard="", now=now))

    # -- the cloud's list ----------------------------------------------------------------------

    async def reconcile(self) -> None:
        """Compare the cloud's list with the records.

        Raises:
            CloudError: The cloud did not answer.
            NotLeaderError: The term is over, or its lease is in doubt.
        """
        requested_at = self.now()
        self.leadership.check()
        hosts = await self.cloud.list_machines()
        now = self.now()
        self._update_lag(hosts, now)
        await self._decommission_missing(hosts, now)
        await self._reconcile_hosts(hosts, requested_at, now)
        self._drop_outdated(now)

    def _update_lag(self, hosts: list[Host], now: float) -> None:
        """Take the list's lag from what it shows; a longer one seen before fades."""
        shown_s = list_lag(
            [(host.id, host.age_s) for host in hosts], self.records.scale_out_times(), now
        )
        self.lag_s = max(self.lag_s * LAG_DECAY, shown_s, self.min_lag_s)

    async def _decommission_missing(self, hosts: list[Host], now: float) -> None:
        """Decommission machines taken without notice: their release proves it; without it, their tasks would wait out a silence."""
        listed = [host.id for host in hosts]
        certain_after_s = MISSING_LAGS * self.lag_s
        for name in missing_machines(self.first_listed, listed, now, certain_after_s):
            if self._is_active(name):
                log.info("machine is not listed any more machine=%s", name)
                await self.assignments.decommission([name], "not listed any more")

    async def _reconcile_hosts(self, hosts: list[Host], requested_at: float, now: float) -> None:
        """Decommission failed machines, and adopt those that have long been listed without a record.

        A list may be older than the records: a machine released under an earlier leader is still listed. One that lacks a
        record for longer than any list lags is really there.
        """
        unrecorded_since: dict[str, float] = {}
        for host in hosts:
            if host.status == "failed":
                if self._is_active(host.id):
                    log.info("machine failed machine=%s", host.id)
                    await self.assignments.decommission([host.id], "failed")
            elif self.records.entry(host.id) is None:
                since = self.unrecorded_since.get(host.id, requested_at)
                unrecorded_since[host.id] = since
                if not self.scaling_out() and now - since > UNRECORDED_LAGS * self.lag_s:
                    await self._adopt(host.id, host)
        self.unrecorded_since = unrecorded_since

    def _is_active(self, name: str) -> bool:
        """Whether a machine is recorded and not decommissioned."""
        entry = self.records.entry(name)
        return entry is not None and not is_decommissioned(entry)

    def _drop_outdated(self, now: float) -> None:
        """Drop what was noted of machines that have no record any more, or were released long ago."""
        self.heartbeats.recorded = {
            name: received
            for name, received in self.heartbeats.recorded.items()
            if self.records.entry(name) is not None
        }
        forget_after_s = FORGET_RELEASED_LAGS * self.lag_s + FORGET_RELEASED_S
        for name, at in list(self.released_at.items()):
            if now - at > forget_after_s:
                del self.released_at[name]
