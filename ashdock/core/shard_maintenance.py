"""A shard's periodic work: parks whose time has come, machines to be decommissioned, cancelled jobs that must end."""

from __future__ import annotations

import math
from typing import Protocol

from ashdock.core.dependency_tracker import DependencyTracker
from ashdock.core.job import Job
from ashdock.core.machine import Machine, MachinePhase
from ashdock.core.park import Parks
from ashdock.settings import Shared, Workers

CHECKS_PER_REPORT = 4  # how often in a heartbeat's interval the machines are looked at
LEASE_MARGIN = 1.1  # agents' clocks, and the way of their heartbeats
BOOTS_UNTIL_UP = (
    2.5  # of its type's boot time, after which a rented machine is not expected to come up
)
REPORTS_MISSED = 2  # after which a machine that the cloud takes back counts as gone
ABSENT_SHARE = (
    4  # more than one of so many machines that stay away after a failover have a reason in common
)


class MaintainedShard(Protocol):
    """What the periodic work needs of a shard."""

    shared: Shared
    workers: Workers
    jobs: dict[str, Job]
    machines: dict[str, Machine]
    parks: Parks
    dependency_tracker: DependencyTracker
    ending: dict[str, Job]
    inherited_machines: int
    recovered_at: float
    stale: bool
    clock: float

    def decommission(self, machine: Machine, why: str) -> None:
        """Give a machine up durably, for a reason that is stored."""
        ...


class ShardMaintenance:
    """Does what time brings, for one shard."""

    def __init__(self, shard: MaintainedShard) -> None:
        """Look at the machines with the first call."""
        self.shard = shard
        self.checked_at = -math.inf
        self.inherited_limit_s: float | None = None  # once it is decided

    def run(self, now: float) -> None:
        """Make parked tasks ready whose time has come; now and then look at machines and cancelled jobs."""
        shard = self.shard
        shard.clock = now
        shard.dependency_tracker.look(now)
        for park in shard.parks.pop_due(now):
            job = shard.jobs.get(park.job)
            if job:
                shard.stale = True
                for task in range(park.low, park.high + 1):
                    job.unpark(task, park.failure)
        if now - self.checked_at < shard.workers.report_s / CHECKS_PER_REPORT:
            return
        self.checked_at = now
        self._check_machines(now)
        self._check_cancelled_jobs(now)

    @property
    def silent_s(self) -> float:
        """How long a worker may be silent: until its lease has run out, and a heartbeat more."""
        return LEASE_MARGIN * self.shard.workers.lease_s + self.shard.workers.report_s

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
                # Some machines never come up, and are charged all the same. Their time counts from the rental: counted
                # from when we came to know of it, each failover kept such a machine for as long again.
                if (
                    now - machine.rented_at > BOOTS_UNTIL_UP * machine.shape.boot_s
                    and now - machine.known_since > silent_s
                ):
                    shard.decommission(machine, "never came up")
            elif (
                machine.reclaim_at is not None
                and now > machine.reclaim_at
                and machine.silence_s(now) > REPORTS_MISSED * shard.workers.report_s
            ):
                shard.decommission(machine, "taken back")
            elif machine.leaving_reason == "suspect" and not machine.live:
                shard.decommission(machine, "suspect")
            elif machine.last_heartbeat_at is not None and machine.silence_s(now) > silence_limit_s:
                # Silence is no proof that its tasks stopped. Releasing it makes one.
                shard.decommission(machine, "silent")

    def _silence_limit_s(self, now: float) -> float:
        """How long to wait for silent workers.

        Where most fall silent at once, the fault may be on our side: the shard may yet move to a controller that hears
        them. But not for ever, or two dead machines of two would hold their tasks for good.
        """
        heard = [
            machine
            for machine in self.shard.machines.values()
            if machine.last_heartbeat_at is not None
        ]
        silent_s = self.silent_s
        silent = sum(1 for machine in heard if machine.silence_s(now) > silent_s)
        return silent_s if silent * 2 <= len(heard) else 2 * silent_s

    def _inherited_limit_s(self, now: float) -> float:
        """How long to wait for the workers of the owner before.

        Where more than a quarter stay away, that owner may still answer them: cut off from the store alone it does so for
        a while, since it does not know that it was replaced. Decided once: the others come back one by one, and the
        last must not be given up because the rest are there.
        """
        if self.inherited_limit_s is None:
            silent_s, workers = self.silent_s, self.shard.workers
            absent = sum(machine.inherited for machine in self.shard.machines.values())
            if now - self.shard.recovered_at <= silent_s:
                return silent_s
            held_elsewhere = absent * ABSENT_SHARE > self.shard.inherited_machines
            self.inherited_limit_s = silent_s + (
                max(silent_s, workers.cancel_s - workers.lease_s) if held_elsewhere else 0.0
            )
        return self.inherited_limit_s

    def _check_cancelled_jobs(self, now: float) -> None:
        """Tasks of a cancelled job must be gone in time, even where nobody can reach their machine."""
        ending = self.shard.ending
        for job in list(ending.values()):
            if job.live:
                self._end_cancelled(job, now)
            elif job.id not in self.shard.jobs:
                del ending[job.id]

    def _end_cancelled(self, job: Job, now: float) -> None:
        limit = (
            (job.cancelled_at or now)
            + self.shard.workers.cancel_s / 2
            - self.shard.shared.skew_ms / 1000
        )
        for placement in job.live.values():
            machine = self.shard.machines.get(placement.machine)
            if machine and now > limit:
                self.shard.decommission(machine, f"holds a task of cancelled job {job.id}")
