"""Reconciles machine records with the cloud's list and with heartbeats of unrecorded machines."""

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

MAX_UNRECORDED = 2000  # unrecorded machines whose heartbeats are kept
LAG_DECAY = 0.9  # factor of the estimated lag with each list that shows a smaller one
# Multiples of the lag of the cloud's list.
MISSING_LAGS = 3  # a machine first listed longer ago is gone if a list lacks it
UNRECORDED_LAGS = 2  # a machine listed without a record for longer than this exists
LATE_HEARTBEAT_LAGS = 4  # plus a worker lease: how long heartbeats may arrive after a release
FORGET_RELEASED_LAGS = 20  # plus FORGET_RELEASED_S: how long a release is remembered
FORGET_RELEASED_S = 60.0


def missing_machines(
    first_listed: dict[str, float], listed_names: list[str], now: float, max_list_age_s: float
) -> list[str]:
    """Find machines that a list lacks although even an outdated list would contain them.

    Args:
        first_listed: When each machine was first listed, in seconds since the epoch; updated.
        listed_names: The machines in the list.
        now: The time in seconds since the epoch.
        max_list_age_s: A list contains every machine that was first listed longer ago than this.

    Returns:
        Names of the machines; they are removed from `first_listed`.
    """
    listed = set(listed_names)
    for name in listed_names:
        first_listed.setdefault(name, now)
    missing = [
        name
        for name, first_listed_at in first_listed.items()
        if name not in listed and now - first_listed_at > max_list_age_s
    ]
    for name in missing:
        del first_listed[name]
    return missing


def list_lag(ages: list[tuple[str, float]], scale_out_times: dict[str, float], now: float) -> float:
    """How many seconds a list is behind, judged by the ages that it states.

    Args:
        ages: The age in seconds that the list states for each machine.
        scale_out_times: When machines were rented, in seconds since the epoch, where known.
        now: The time in seconds since the epoch.

    Returns:
        The largest difference between a machine's age since its scale-out and its stated age; 0.0
        if no scale-out time is known.
    """
    return max(
        (now - scale_out_times[name] - age for name, age in ages if name in scale_out_times),
        default=0.0,
    )


@dataclass(kw_only=True, eq=False)
class InventoryReconciler:
    """Decommissions missing and failed machines and records unrecorded ones, during one term."""

    cloud: CloudClient
    records: MachineRecords
    assignments: Assignments
    heartbeats: UnassignedHeartbeats
    leadership: Leadership
    catalog: dict[str, MachineType]
    scaling_out: Callable[[], bool]  # whether new machines may be listed before their records exist
    now: Callable[[], float]  # returns the time in seconds since the epoch
    min_lag_s: float  # lag of the cloud's list according to the settings
    lease_s: float  # worker lease
    adopt_after_s: float  # an unrecorded machine that stays unassigned for longer is recorded

    # By machine name, in seconds since the epoch: when it was first listed, since when it has been
    # listed without a record, and when it was released. A lagging list still names released ones.
    first_listed: dict[str, float] = field(default_factory=dict)
    unrecorded_since: dict[str, float] = field(default_factory=dict)
    released_at: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Start with the lag in the settings as the estimate."""
        self.lag_s = self.min_lag_s  # estimated lag of the cloud's list

    # -- heartbeats ----------------------------------------------------------------------------

    def on_heartbeat(self, heartbeat: Heartbeat, recorded: bool) -> None:
        """Store a heartbeat of an unassigned machine.

        One of a machine without a record is ignored while the machine is being assigned, shortly
        after its release, if its type is unknown, or once MAX_UNRECORDED machines are stored.

        Args:
            heartbeat: What the machine sent.
            recorded: Whether the machine has a record.
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
        """Remember when machines were released, so that late reports about them are ignored."""
        now = self.now()
        self.released_at.update((name, now) for name in names)

    def _recently_released(self, name: str, now: float) -> bool:
        """Whether a heartbeat or a list may be outdated and show a machine that was released."""
        since_release = now - self.released_at.get(name, -math.inf)
        return since_release < LATE_HEARTBEAT_LAGS * self.lag_s + self.lease_s

    # -- adoption ------------------------------------------------------------------------------

    async def adopt_unrecorded(self) -> None:
        """Record machines that have stayed unassigned for `adopt_after_s`.

        Only recorded machines are ever released.

        Raises:
            StoreUnavailableError: The store did not answer.
        """
        now = self.now()
        # While one machine is adopted, another may be assigned and thereby recorded.
        for name, machine in iterate_live(self.heartbeats.unrecorded):
            if self.records.entry(name) is not None:
                self.heartbeats.unrecorded.pop(name, None)
            elif now - machine.first_received_at > self.adopt_after_s:
                self.heartbeats.unrecorded.pop(name, None)
                await self._adopt(name, machine.heartbeat)

    async def _adopt(self, name: str, source: Heartbeat | Host) -> None:
        """Record a machine as unassigned, unless its type is unknown or it was just released."""
        now = self.now()
        if self.records.entry(name) is not None or source.machine_type not in self.catalog:
            return
        if self._recently_released(name, now):
            return
        await self.records.create(name, MachineRecord.from_source(source, shard="", now=now))

    # -- the cloud's list ----------------------------------------------------------------------

    async def reconcile(self) -> None:
        """Compare the cloud's list with the records, and decommission or adopt machines.

        Raises:
            CloudError: The cloud did not answer.
            NotLeaderError: The term is over, or its lease is in doubt.
            StoreUnavailableError: The store did not answer.
        """
        requested_at = self.now()
        self.leadership.check()
        hosts = await self.cloud.list_machines()
        now = self.now()
        self._update_lag(hosts, now)
        await self._decommission_missing(hosts, now)
        await self._reconcile_hosts(hosts, requested_at, now)
        self._prune_stale_state(now)

    def _update_lag(self, hosts: list[Host], now: float) -> None:
        """Raise the estimated lag to what the list shows, or let a larger estimate decay."""
        observed_lag_s = list_lag(
            [(host.id, host.age_s) for host in hosts], self.records.scale_out_times(), now
        )
        self.lag_s = max(self.lag_s * LAG_DECAY, observed_lag_s, self.min_lag_s)

    async def _decommission_missing(self, hosts: list[Host], now: float) -> None:
        """Decommission machines that the cloud took back without notice.

        The cloud's response to their release proves that their tasks have stopped. Otherwise those
        tasks would wait until heartbeats have been missing for long enough.
        """
        listed_names = [host.id for host in hosts]
        max_list_age_s = MISSING_LAGS * self.lag_s
        for name in missing_machines(self.first_listed, listed_names, now, max_list_age_s):
            if self._is_active(name):
                log.info("machine missing from the cloud's list: machine=%s", name)
                await self.assignments.decommission([name], "not listed any more")

    async def _reconcile_hosts(self, hosts: list[Host], requested_at: float, now: float) -> None:
        """Decommission failed machines, and adopt machines long listed without a record.

        A list may be older than the records and still contain a machine that an earlier leader
        released. A machine that is listed without a record for longer than any list lags exists.
        """
        unrecorded_since: dict[str, float] = {}
        for host in hosts:
            if host.status == "failed":
                if self._is_active(host.id):
                    log.info("cloud reported a failed machine: machine=%s", host.id)
                    await self.assignments.decommission([host.id], "failed")
            elif self.records.entry(host.id) is None:
                listed_since = self.unrecorded_since.get(host.id, requested_at)
                unrecorded_since[host.id] = listed_since
                if not self.scaling_out() and now - listed_since > UNRECORDED_LAGS * self.lag_s:
                    await self._adopt(host.id, host)
        self.unrecorded_since = unrecorded_since

    def _is_active(self, name: str) -> bool:
        """Whether a machine has a record and is not decommissioned."""
        entry = self.records.entry(name)
        return entry is not None and not is_decommissioned(entry)

    def _prune_stale_state(self, now: float) -> None:
        """Drop heartbeats of machines whose record is gone, and releases of long ago."""
        self.heartbeats.recorded = {
            name: received
            for name, received in self.heartbeats.recorded.items()
            if self.records.entry(name) is not None
        }
        forget_after_s = FORGET_RELEASED_LAGS * self.lag_s + FORGET_RELEASED_S
        for name, released_at in list(self.released_at.items()):
            if now - released_at > forget_after_s:
                del self.released_at[name]
