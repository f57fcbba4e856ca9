"""Reports a shard's status to the leader, and executes the leader's commands about machines.

The commands only decide which machines are vacated and for which shard. A machine is transferred
once it is empty, by a write that is conditional on the shard's claim.
"""

from __future__ import annotations

import logging
import math
from collections import deque
from typing import NamedTuple, Protocol

from ashdock.core import placement as placing
from ashdock.core.job import Job
from ashdock.core.machine import Machine, MachinePhase, capacity
from ashdock.core.preemption_cost import machine_preemption_cost
from ashdock.core.quota import Usage, within_guarantee
from ashdock.core.shard_status import BusyMachine, Rebalance, Reclaim, ResourceRequest, ShardStatus
from ashdock.fairness.classes import Classes
from ashdock.settings import Team, Workers
from ashdock.wire.messages import JobKind, JobSpec, MachineType

log = logging.getLogger("ashdock.shard")

ARRIVAL_WINDOW_BOOTS = 4  # arrivals are kept for this many times the longest boot time
# Cached entries of busy machines that are allowed beyond twice the number of machines.
EXTRA_CACHE_ENTRIES = 16
# In CPUs and GPUs. Tasks may request fractions, whose sums have rounding errors.
GUARANTEE_EXCEEDED_TOLERANCE = 1e-3
GUARANTEE_FILLED_TOLERANCE = 1e-6


class _CachedBusyMachine(NamedTuple):
    """What is reported of a busy machine, cached.

    Attributes:
        machine: The machine.
        version: Version of the machine's placements for which it was computed.
        until: Time at which the entry expires.
        busy: What is reported.
    """

    machine: Machine
    version: int
    until: float
    busy: BusyMachine


class _Arrival(NamedTuple):
    """A recent arrival of a job.

    Attributes:
        at: Time of the arrival.
        machines: Number of machines that the job fills.
        spec: The job's specification.
    """

    at: float
    machines: int
    spec: JobSpec


class _RebalanceRequest(NamedTuple):
    """A rebalance that the leader requested.

    Attributes:
        remaining: The request; its number of machines is what is left to be transferred.
        until: Time at which it expires.
    """

    remaining: Rebalance
    until: float


class ReportedShard(Protocol):
    """The part of a shard that is reported, or that the leader's commands change."""

    name: str
    team: Team
    workers: Workers
    catalog: dict[str, MachineType]
    jobs: dict[str, Job]
    machines: dict[str, Machine]
    usage: Usage
    resource_requests: list[ResourceRequest]
    reserved: set[str]
    scheduled_revision: int
    classes: Classes

    def drain(self, machine: Machine, now: float) -> None:
        """Preempt all tasks of a machine, with time to save their state."""
        ...

    def mark_machine_changed(self, name: str) -> None:
        """Mark a machine's record as changed, so that the next transaction may write it."""
        ...


class StatusReporter:
    """Reports the status of one shard to the leader, and executes the leader's commands.

    Attributes:
        shard: The shard.
        rebalances: Requested rebalances, by the team that gets the machines.
        busy_cache: Cached entries of busy machines, by name.
        arrivals: Recent arrivals of jobs, the oldest first.
    """

    def __init__(self, shard: ReportedShard) -> None:
        """Create a reporter without arrivals and rebalances."""
        self.shard = shard
        self.rebalances: dict[str, _RebalanceRequest] = {}
        self.busy_cache: dict[str, _CachedBusyMachine] = {}
        self.arrivals: deque[_Arrival] = deque()

    # -- arrivals and headroom ---------------------------------------------------------------------

    def record_arrival(self, job: Job, now: float) -> None:
        """Record that a job was submitted or became free to start, to estimate future arrivals.

        Jobs read at a failover are not recorded: they arrived earlier.

        Args:
            job: The job.
            now: Seconds since the epoch.
        """
        if job.awaits_dependencies or job.spec.kind == JobKind.SERVICE:
            return
        self.shard.classes.record_accepted(
            job.id, job.job_class, self.shard.name, job.spec.tasks, job.eligible_at, job.deadline_at
        )
        if job.spec.deadline_s is not None:
            return
        tasks_per_machine = max(
            (
                capacity(machine_type, job.spec.cpus, job.spec.gpus, job.spec.memory_gb)
                for machine_type in self.shard.catalog.values()
            ),
            default=1,
        )
        machines = -(-job.spec.tasks // max(tasks_per_machine, 1))
        self.arrivals.append(_Arrival(now, machines, job.spec))
        # Other callers prune only when some machine is empty, which may never happen.
        self._prune_arrivals(now)

    def headroom(self, now: float) -> int:
        """Return the number of empty machines to keep for jobs that should start at once.

        It is one standard deviation of the machines that arriving jobs fill within a boot time.
        Jobs that end make room for the mean of those that arrive. Whatever exceeds the mean would
        have to wait for a machine to boot, or for other tasks to save their state.
        """
        self._prune_arrivals(now)
        squares = sum(arrival.machines * arrival.machines for arrival in self.arrivals)
        return round(math.sqrt(squares / ARRIVAL_WINDOW_BOOTS))

    def _prune_arrivals(self, now: float) -> None:
        boot_s = max(
            (machine_type.boot_s for machine_type in self.shard.catalog.values()),
            default=self.shard.workers.lease_s,
        )
        while self.arrivals and now - self.arrivals[0].at > ARRIVAL_WINDOW_BOOTS * boot_s:
            self.arrivals.popleft()

    def _headroom_machines(self, empty: list[Machine], now: float) -> set[str]:
        """Return the names of the empty machines to keep, those with the most cached images first.

        Machines are kept only within the team's guarantee.
        """
        headroom = self.headroom(now) if empty else 0
        kept: set[str] = set()
        if not headroom:
            return kept
        cpus, gpus = self.shard.usage.cpus, self.shard.usage.gpus
        for machine in sorted(empty, key=lambda machine: (-len(machine.images), machine.name)):
            cpus, gpus = cpus + machine.machine_type.cpus, gpus + machine.machine_type.gpus
            if len(kept) >= headroom or not within_guarantee(self.shard.team, cpus, gpus):
                break
            if any(
                placing.permits(arrival.spec, machine.type, machine.zone, machine.spot)
                for arrival in self.arrivals
            ):
                kept.add(machine.name)
        return kept

    # -- status ------------------------------------------------------------------------------------

    def shard_status(self, now: float) -> ShardStatus:
        """Return the shard's status.

        A machine that was assigned after the last scheduling cycle began is not reported as idle,
        because the cycle has not considered it. Reported as idle together with the resource
        requests of that cycle, it was assigned back to the shard that it came from, and two shards
        passed their machines back and forth for a minute.
        """
        shard = self.shard
        empty = [
            machine
            for machine in shard.machines.values()
            if machine.empty
            and machine.idle_since is not None
            and machine.usable
            and machine.name not in shard.reserved
            and machine.revision <= shard.scheduled_revision
        ]
        kept = self._headroom_machines(empty, now)
        idle = [
            (machine.name, now - (machine.idle_since or now))
            for machine in empty
            if machine.name not in kept
        ]
        busy = [
            self._busy_machine(machine, now)
            for machine in shard.machines.values()
            if machine.live and machine.usable and machine.name not in shard.reserved
        ]
        self._prune_busy_cache()
        waiting = sum(
            job.ready_count
            for job in shard.jobs.values()
            if job.active and not job.awaits_dependencies
        )
        return ShardStatus(
            shard.name,
            shard.scheduled_revision,
            shard.resource_requests,
            idle,
            busy,
            len(shard.machines),
            waiting,
            self._machines_over_guarantee(busy),
        )

    def leaving_machines(self) -> list[tuple[str, str]]:
        """Return the machines that are being vacated, with the team that gets each.

        The team "" means that the machine becomes unassigned.
        """
        return [
            (machine.name, machine.target_shard)
            for machine in self.shard.machines.values()
            if machine.target_shard is not None and machine.phase is MachinePhase.LEAVING
        ]

    def task_counts(self) -> list[tuple[str, int, int]]:
        """Return each active job's id and its numbers of done and of running tasks."""
        return [
            (job.id, job.done_count, job.running_count)
            for job in self.shard.jobs.values()
            if job.active
        ]

    def _prune_busy_cache(self) -> None:
        machines = self.shard.machines
        if len(self.busy_cache) > 2 * len(machines) + EXTRA_CACHE_ENTRIES:
            self.busy_cache = {
                name: cached for name, cached in self.busy_cache.items() if name in machines
            }

    def _busy_machine(self, machine: Machine, now: float) -> BusyMachine:
        """Return what preempting a machine's tasks would cost.

        The result is cached until the machine's placements change, for at most a heartbeat
        interval. Computed for each status, it took more time in a large shard than the scheduling
        cycles.
        """
        cached = self.busy_cache.get(machine.name)
        if (
            cached is None
            or cached.machine is not machine
            or cached.version != machine.version
            or now >= cached.until
        ):
            jobs = self.shard.jobs
            priority = max(jobs[placement.job].priority for placement in machine.live.values())
            busy = BusyMachine(machine.name, priority, machine_preemption_cost(jobs, machine, now))
            cached = self.busy_cache[machine.name] = _CachedBusyMachine(
                machine, machine.version, now + self.shard.workers.report_s, busy
            )
        return cached.busy

    def _machines_over_guarantee(self, busy: list[BusyMachine]) -> int:
        """Return the number of busy machines whose work exceeds the team's guarantee.

        The machines that are cheapest to preempt count first. Empty and booting machines do not
        count: when they did, running tasks were preempted in their place, and machines circulated
        between teams that were all within their guarantees.
        """
        cpus, gpus = self.shard.usage.cpus, self.shard.usage.gpus
        machines_over = 0
        for item in sorted(busy, key=lambda item: item.preemption_cost_s):
            machine = self.shard.machines[item.machine]
            cpus -= machine.machine_type.cpus - machine.cpus
            gpus -= machine.machine_type.gpus - machine.gpus
            if within_guarantee(
                self.shard.team,
                cpus + GUARANTEE_EXCEEDED_TOLERANCE,
                gpus + GUARANTEE_EXCEEDED_TOLERANCE,
            ) and not self._fills_guarantee(cpus, gpus):
                break
            machines_over += 1
        return machines_over

    def _fills_guarantee(self, cpus: float, gpus: float) -> bool:
        team = self.shard.team
        return not (
            (team.gpus > 0 and gpus < team.gpus - GUARANTEE_FILLED_TOLERANCE)
            or (team.cpus > 0 and cpus < team.cpus - GUARANTEE_FILLED_TOLERANCE)
        )

    # -- the leader's commands ---------------------------------------------------------------------

    def transfer_machine(self, name: str, to: str) -> None:
        """Transfer a machine to another team's shard if it is empty.

        Args:
            name: Name of the machine.
            to: The team; "" leaves the machine unassigned.
        """
        machine = self.shard.machines.get(name)
        if machine is not None and machine.usable and machine.empty and to != self.shard.name:
            machine.target_shard = to
            machine.cordon("transfer")
            self.shard.mark_machine_changed(name)

    def reclaim(self, command: Reclaim, now: float) -> None:
        """Vacate machines for a team that lacks its guarantee, or for work of higher priority."""
        for name in command.machines:
            machine = self.shard.machines.get(name)
            if machine and machine.usable and name not in self.shard.reserved:
                log.info("machine cordoned for reclaim: machine=%s for=%s", name, command.to)
                machine.cordon(f"reclaimed for {command.to}")
                machine.target_shard = command.to
                self.shard.mark_machine_changed(name)
                self.shard.drain(machine, now)

    def rebalance(self, command: Rebalance, now: float) -> None:
        """Transfer machines as they become free.

        The request expires after the duration of a worker's lease, unless the leader repeats it.
        """
        self.rebalances[command.to] = _RebalanceRequest(command, now + self.shard.workers.lease_s)

    def rebalance_free_machines(self, now: float) -> None:
        """Transfer free machines as rebalances ask, before the shard's own tasks use them.

        No task is stopped for a rebalance.
        """
        for machine in self.shard.machines.values():
            if machine.live or machine.orphaned_tasks or not machine.usable:
                continue
            for to, (remaining, until) in list(self.rebalances.items()):
                if now > until or remaining.number <= 0:
                    del self.rebalances[to]
                elif (
                    (not remaining.types or machine.type in remaining.types)
                    and remaining.zone in ("", machine.zone)
                    and (remaining.spot or not machine.spot)
                ):
                    machine.target_shard = to
                    machine.cordon(f"transfer to {to}")
                    self.shard.mark_machine_changed(machine.name)
                    self.rebalances[to] = _RebalanceRequest(
                        remaining._replace(number=remaining.number - 1), until
                    )
                    break
