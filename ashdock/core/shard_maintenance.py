"""Periodic work of a shard: wakes parked tasks, decommissions machines, enforces cancellations."""

from __future__ import annotations

import math
from typing import Protocol

from ashdock.core.dependency_tracker import DependencyTracker
from ashdock.core.job import Job
from ashdock.core.machine import Machine, MachinePhase
from ashdock.core.park import Parks
from ashdock.core.shard_writer import ShardWriter
from ashdock.core.write_backlog import WriteBacklog
from ashdock.settings import Shared, Workers

CHECKS_PER_HEARTBEAT_INTERVAL = 4  # checks of machines and cancelled jobs
LEASE_MARGIN_FACTOR = 1.1  # covers the drift of workers' clocks and the delay of their heartbeats
# A rented machine that is not up after this many times its type's boot time is given up.
BOOT_TIMEOUT_FACTOR = 2.5
MISSED_HEARTBEATS = 2  # after which a spot instance past its reclaim time counts as gone
# More than 1/4 of the inherited machines that stay silent after a failover have a common cause.
ABSENT_SHARE_DIVISOR = 4


class MaintainedShard(Protocol):
    """The part of a shard that the periodic work uses."""

    shared: Shared
    workers: Workers
    jobs: dict[str, Job]
    machines: dict[str, Machine]
    parks: Parks
    dependency_tracker: DependencyTracker
    cancelled_jobs: dict[str, Job]
    writer: ShardWriter
    write_backlog: WriteBacklog
    inherited_machines: int
    recovered_at: float
    needs_scheduling: bool
    current_time: float

    def decommission(self, machine: Machine, why: str) -> None:
        """Give a machine up durably, so that the leader releases it; the reason is stored."""
        ...


class ShardMaintenance:
    """Runs the periodic work of one shard.

    Attributes:
        shard: The shard.
        checked_at: Time of the last check of machines and cancelled jobs.
        inherited_limit_s: How long to wait for inherited machines, once it has been decided.
    """

    def __init__(self, shard: MaintainedShard) -> None:
        """Start such that the first call of `run` checks the machines."""
        self.shard = shard
        self.checked_at = -math.inf
        self.inherited_limit_s: float | None = None

    def run(self, now: float) -> None:
        """Wake the parked tasks that are due, and check machines and cancelled jobs if it is time.

        Args:
            now: Seconds since the epoch.
        """
        shard = self.shard
        shard.current_time = now
        shard.dependency_tracker.check_new_dependencies(now)
        for park in shard.parks.pop_due(now):
            job = shard.jobs.get(park.job)
            if job:
                shard.needs_scheduling = True
                for task in range(park.low, park.high + 1):
                    job.unpark(task, park.failure)
        if now - self.checked_at < shard.workers.report_s / CHECKS_PER_HEARTBEAT_INTERVAL:
            return
        self.checked_at = now
        self._check_machines(now)
        self._check_cancelled_jobs(now)
        shard.write_backlog.update(shard.writer.unwritten_jobs(), now)

    @property
    def silent_s(self) -> float:
        """Seconds that a worker may be silent: until its lease has expired, plus one heartbeat."""
        return LEASE_MARGIN_FACTOR * self.shard.workers.lease_s + self.shard.workers.report_s

    def _check_machines(self, now: float) -> None:
        shard, silent_s = self.shard, self.silent_s
        silence_limit_s = self._silence_limit_s(now)
        inherited_limit_s = self._inherited_limit_s(now)
        for machine in shard.machines.values():
            if machine.phase is MachinePhase.DECOMMISSIONED:
                continue
            if machine.inherited:
                if now - machine.known_since > inherited_limit_s:
                    shard.decommission(machine, "not heard since the part was taken over")
            elif machine.phase is MachinePhase.EXPECTED:
                # Some machines never come up but are charged for all the same. The timeout starts
                # at the rental: started when the owner learnt of the machine, it began anew with
                # each failover.
                if (
                    now - machine.rented_at > BOOT_TIMEOUT_FACTOR * machine.machine_type.boot_s
                    and now - machine.known_since > silent_s
                ):
                    shard.decommission(machine, "never came up")
            elif (
                machine.reclaim_at is not None
                and now > machine.reclaim_at
                and machine.silence_s(now) > MISSED_HEARTBEATS * shard.workers.report_s
            ):
                shard.decommission(machine, "taken back")
            elif machine.leaving_reason == "suspect" and not machine.live:
                shard.decommission(machine, "suspect")
            elif machine.last_heartbeat_at is not None and machine.silence_s(now) > silence_limit_s:
                # Silence does not prove that the machine's tasks have stopped; its release does.
                shard.decommission(machine, "silent")

    def _silence_limit_s(self, now: float) -> float:
        """Return the seconds to wait for silent workers.

        If more than half are silent, the fault may be on this controller's side, and the shard may
        still move to a controller that receives their heartbeats, so the limit is doubled. It stays
        finite: otherwise two failed machines of two would hold their tasks forever.
        """
        reporting = [
            machine
            for machine in self.shard.machines.values()
            if machine.last_heartbeat_at is not None
        ]
        silent_s = self.silent_s
        silent = sum(1 for machine in reporting if machine.silence_s(now) > silent_s)
        return silent_s if silent * 2 <= len(reporting) else 2 * silent_s

    def _inherited_limit_s(self, now: float) -> float:
        """Return the seconds to wait for the workers that were up for the previous owner.

        If more than a quarter stay silent, the previous owner may still be answering them: cut off
        from the store alone, it continues for a while, since it does not know that it was replaced.
        The limit is decided only once: the workers come back one by one, and the last ones must not
        be given up because the others are there.
        """
        if self.inherited_limit_s is None:
            silent_s, workers = self.silent_s, self.shard.workers
            absent = sum(machine.inherited for machine in self.shard.machines.values())
            if now - self.shard.recovered_at <= silent_s:
                return silent_s
            answered_elsewhere = absent * ABSENT_SHARE_DIVISOR > self.shard.inherited_machines
            self.inherited_limit_s = silent_s + (
                max(silent_s, workers.cancel_s - workers.lease_s) if answered_elsewhere else 0.0
            )
        return self.inherited_limit_s

    def _check_cancelled_jobs(self, now: float) -> None:
        """Make sure that cancelled jobs' tasks end in time, even on unreachable machines."""
        cancelled_jobs = self.shard.cancelled_jobs
        for job in list(cancelled_jobs.values()):
            if job.live:
                self._enforce_cancellation(job, now)
            elif job.id not in self.shard.jobs:
                del cancelled_jobs[job.id]

    def _enforce_cancellation(self, job: Job, now: float) -> None:
        """Decommission the machines that hold tasks of a cancelled job for too long."""
        deadline = (
            (job.cancelled_at or now)
            + self.shard.workers.cancel_s / 2
            - self.shard.shared.skew_ms / 1000
        )
        for placement in job.live.values():
            machine = self.shard.machines.get(placement.machine)
            if machine and now > deadline:
                self.shard.decommission(machine, f"holds a task of cancelled job {job.id}")
