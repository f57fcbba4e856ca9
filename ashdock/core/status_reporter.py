"""What the leader is told of a shard, and what its commands do: transfer a machine, reclaim machines, rebalance.

The leader's commands change only which machines are vacated and for whom; a machine passes on once it is empty, by a write
under the shard's claim.
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
from ashdock.core.quota import Usage, guaranteed
from ashdock.core.shard_status import BusyMachine, Rebalance, Reclaim, ResourceRequest, ShardStatus
from ashdock.fairness.classes import Classes
from ashdock.settings import Team, Workers
from ashdock.wire.messages import JobKind, JobSpec, MachineType

log = logging.getLogger("ashdock.shard")

BOOTS_OF_ARRIVALS = 4  # arrivals are remembered for so many times the longest boot
EXTRA_ROWS = 16  # rows of busy machines that are kept beyond twice the machines there are
# In CPUs and GPUs: tasks ask for fractions of them, and sums of those carry rounding errors.
BEYOND_TOLERANCE = 1e-3
FILLED_TOLERANCE = 1e-6


class _BusyRow(NamedTuple):
    """What is told of a busy machine, computed for a version of what is placed there, and until when it holds."""

    machine: Machine
    version: int
    until: float
    busy: BusyMachine


class _Arrival(NamedTuple):
    """A job that came lately."""

    at: float
    machines: int  # that it fills
    spec: JobSpec


class _RebalanceRequest(NamedTuple):
    """A rebalance of the leader's, with what is left of it, and until when it holds."""

    order: Rebalance
    until: float


class ReportedShard(Protocol):
    """What goes into a shard's status, and what the leader's commands may touch."""

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
        """Evict all tasks of a machine gracefully."""
        ...

    def note_machine(self, name: str) -> None:
        """Have a machine's record written, if need be."""
        ...


class StatusReporter:
    """Reports a shard's status to the leader and carries the leader's commands out."""

    def __init__(self, shard: ReportedShard) -> None:
        """Report on a shard."""
        self.shard = shard
        self.rebalances: dict[str, _RebalanceRequest] = {}  # by the team that gets the machines
        self.rows: dict[str, _BusyRow] = {}
        self.arrivals: deque[_Arrival] = deque()

    # -- arrivals, and the machines kept for them ------------------------------------------------

    def record_arrival(self, job: Job, now: float) -> None:
        """Take in that a job has come or can start, from which is estimated what is to be expected.

        Jobs read at a failover are none: they came earlier.
        """
        if job.waits or job.spec.kind == JobKind.SERVICE:
            return
        self.shard.classes.record_accepted(
            job.id, job.job_class, self.shard.name, job.spec.tasks, job.since, job.due
        )
        if job.spec.deadline_s is not None:
            return
        tasks_per_machine = max(
            (
                capacity(shape, job.spec.cpus, job.spec.gpus, job.spec.memory_gb)
                for shape in self.shard.catalog.values()
            ),
            default=1,
        )
        machines = -(-job.spec.tasks // max(tasks_per_machine, 1))
        self.arrivals.append(_Arrival(now, machines, job.spec))
        self._forget_old_arrivals(now)  # where no machine is ever empty, nobody else does

    def headroom(self, now: float) -> int:
        """How many empty machines to keep for jobs that are not to wait.

        It is one standard deviation of the machines that arrivals fill in a boot's time. What ends makes room for the mean
        of what comes; what exceeds it would have to wait for a boot, or for other work to save itself.
        """
        self._forget_old_arrivals(now)
        squares = sum(arrival.machines * arrival.machines for arrival in self.arrivals)
        return round(math.sqrt(squares / BOOTS_OF_ARRIVALS))

    def _forget_old_arrivals(self, now: float) -> None:
        boot_s = max(
            (shape.boot_s for shape in self.shard.catalog.values()),
            default=self.shard.workers.lease_s,
        )
        while self.arrivals and now - self.arrivals[0].at > BOOTS_OF_ARRIVALS * boot_s:
            self.arrivals.popleft()

    def _kept_empty(self, empty: list[Machine], now: float) -> set[str]:
        """The empty machines to keep, within the guarantee only; those that hold most images first."""
        headroom = self.headroom(now) if empty else 0
        kept: set[str] = set()
        if not headroom:
            return kept
        cpus, gpus = self.shard.usage.cpus, self.shard.usage.gpus
        for machine in sorted(empty, key=lambda machine: (-len(machine.images), machine.name)):
            cpus, gpus = cpus + machine.shape.cpus, gpus + machine.shape.gpus
            if len(kept) >= headroom or not guaranteed(self.shard.team, cpus, gpus):
                break
            if any(
                placing.permits(arrival.spec, machine.type, machine.zone, machine.spot)
                for arrival in self.arrivals
            ):
                kept.add(machine.name)
        return kept

    # -- status ------------------------------------------------------------------------------------

    def shard_status(self, now: float) -> ShardStatus:
        """The shard's status.

        A machine that was assigned after the last scheduling cycle began is not idle: nobody has looked yet at what it is for.
        Told as idle, with the resource requests of that cycle, it was assigned back to where it came from, and two shards
        handed their machines to each other for a minute.
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
        kept = self._kept_empty(empty, now)
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
        self._forget_old_rows()
        waiting = sum(job.ready for job in shard.jobs.values() if job.active and not job.waits)
        return ShardStatus(
            shard.name,
            shard.scheduled_revision,
            shard.resource_requests,
            idle,
            busy,
            len(shard.machines),
            waiting,
            self._spare_beyond(busy),
        )

    def leaving(self) -> list[tuple[str, str]]:
        """The machines that are being vacated, and for which team; "": to be unassigned."""
        return [
            (machine.name, machine.to)
            for machine in self.shard.machines.values()
            if machine.to is not None and machine.phase is MachinePhase.LEAVING
        ]

    def counts(self) -> list[tuple[str, int, int]]:
        """Of each active job: its id, and how many tasks are done and running."""
        return [(job.id, job.done, job.running) for job in self.shard.jobs.values() if job.active]

    def _forget_old_rows(self) -> None:
        machines = self.shard.machines
        if len(self.rows) > 2 * len(machines) + EXTRA_ROWS:
            self.rows = {name: row for name, row in self.rows.items() if name in machines}

    def _busy_machine(self, machine: Machine, now: float) -> BusyMachine:
        """What stopping a machine's work costs, computed anew when other tasks are placed there or a heartbeat's interval is over.

        Computed for each status, it took more time in a large shard than the scheduling cycles.
        """
        row = self.rows.get(machine.name)
        if (
            row is None
            or row.machine is not machine
            or row.version != machine.version
            or now >= row.until
        ):
            jobs = self.shard.jobs
            priority = max(jobs[placement.job].priority for placement in machine.live.values())
            busy = BusyMachine(machine.name, priority, machine_preemption_cost(jobs, machine, now))
            row = self.rows[machine.name] = _BusyRow(
                machine, machine.version, now + self.shard.workers.report_s, busy
            )
        return row.busy

    def _spare_beyond(self, busy: list[BusyMachine]) -> int:
        """How many machines' work the team runs beyond its guarantee.

        Machines that are empty or boot do not count: running work was stopped for those, and machines went round between
        teams that were all within their guarantees.
        """
        cpus, gpus = self.shard.usage.cpus, self.shard.usage.gpus
        beyond = 0
        for item in sorted(busy, key=lambda item: item.preemption_cost_s):
            machine = self.shard.machines[item.machine]
            cpus -= machine.shape.cpus - machine.cpus
            gpus -= machine.shape.gpus - machine.gpus
            if guaranteed(
                self.shard.team, cpus + BEYOND_TOLERANCE, gpus + BEYOND_TOLERANCE
            ) and not self._fills_guarantee(cpus, gpus):
                break
            beyond += 1
        return beyond

    def _fills_guarantee(self, cpus: float, gpus: float) -> bool:
        team = self.shard.team
        return not (
            (team.gpus > 0 and gpus < team.gpus - FILLED_TOLERANCE)
            or (team.cpus > 0 and cpus < team.cpus - FILLED_TOLERANCE)
        )

    # -- the leader's commands -----------------------------------------------------------------------

    def transfer_machine(self, name: str, to: str) -> None:
        """Pass a machine on to another team, or unassign it (""), if it is empty."""
        machine = self.shard.machines.get(name)
        if machine is not None and machine.usable and machine.empty and to != self.shard.name:
            machine.to = to
            machine.leave("moves")
            self.shard.note_machine(name)

    def reclaim(self, order: Reclaim, now: float) -> None:
        """Vacate machines for a team that lacks its guarantee, or for work of higher priority."""
        for name in order.machines:
            machine = self.shard.machines.get(name)
            if machine and machine.usable and name not in self.shard.reserved:
                log.info("machine reclaimed: machine=%s for=%s", name, order.to)
                machine.leave(f"recalled for {order.to}")
                machine.to = order.to
                self.shard.note_machine(name)
                self.shard.drain(machine, now)

    def rebalance(self, order: Rebalance, now: float) -> None:
        """Have machines passed on as they come free, for as long as an agent's lease unless the leader asks again."""
        self.rebalances[order.to] = _RebalanceRequest(order, now + self.shard.workers.lease_s)

    def rebalance_free_machines(self, now: float) -> None:
        """Pass on what has come free, before our own work takes it. Nothing is stopped for a rebalance."""
        for machine in self.shard.machines.values():
            if machine.live or machine.orphaned_tasks or not machine.usable:
                continue
            for to, (order, until) in list(self.rebalances.items()):
                if now > until or order.number <= 0:
                    del self.rebalances[to]
                elif (
                    (not order.types or machine.type in order.types)
                    and order.zone in ("", machine.zone)
                    and (order.spot or not machine.spot)
                ):
                    machine.to = to
                    machine.leave(f"passed on to {to}")
                    self.shard.note_machine(machine.name)
                    self.rebalances[to] = _RebalanceRequest(
                        order._replace(number=order.number - 1), until
                    )
                    break
