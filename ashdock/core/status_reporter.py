"""What a shard's owner tells the leader, and what it does of what the leader asks."""

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
from ashdock.fairness.classes import Classes
from ashdock.settings import Team, Workers
from ashdock.wire.messages import JobSpec, MachineType

log = logging.getLogger("ashdock.shard")

BOOTS_BACK = 4  # how many boots' time of arrivals tells what is to be expected


class ResourceRequest(NamedTuple):
    """Room that a shard lacks, as its owner tells the leader."""

    cpus: float
    gpus: float
    memory: float
    types: tuple[str, ...]
    zone: str
    spot: bool
    together: bool  # all in one zone
    tasks: int
    priority: int
    guaranteed: bool
    slack_s: float  # until it had better run
    image: str = ""
    whole: int = (
        0  # gang in one zone of the owner's choosing: all its tasks, should another zone do better
    )
    idle: bool = False  # nothing was promised: no guarantee, no deadline, no aim


class Reclaim(NamedTuple):
    """Machines that a shard is to vacate for another team."""

    shard: str
    to: str
    machines: list[str]


class Rebalance(NamedTuple):
    """Machines that a shard is to pass on as they come free, to a team whose like work has waited longer."""

    shard: str
    to: str
    number: int
    types: tuple[str, ...]
    zone: str
    spot: bool


class BusyMachine(NamedTuple):
    """A machine at work: what stopping it would cost."""

    machine: str
    priority: int  # the highest on it
    preemption_cost_s: float  # work lost, in seconds of the whole machine


class ShardStatus(NamedTuple):
    """What the leader is told of a shard."""

    team: str
    seen: int  # the latest assignment of a machine that this picture takes in
    resource_requests: list[ResourceRequest]
    idle: list[tuple[str, float]]  # empty machines, and for how long
    busy: list[BusyMachine]
    machines: int
    waiting: int
    spare_beyond: int  # machines held beyond the guarantee


class _Row(NamedTuple):
    """What is told of a machine, as of which version of what is placed there, and for how long."""

    machine: Machine
    version: int
    until: float
    busy: BusyMachine


class ReportedShard(Protocol):
    """What of a shard goes into its picture, and what the leader's wishes may touch."""

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

    def drain(self, machine: Machine, now: float) -> None: ...

    def note_machine(self, name: str) -> None: ...


class StatusReporter:
    def __init__(self, shard: ReportedShard) -> None:
        self.shard = shard
        self.rebalances: dict[str, tuple[Rebalance, float]] = {}  # by team, and until when
        self.rows: dict[str, _Row] = {}
        self.arrived: deque[tuple[float, int, JobSpec]] = (
            deque()
        )  # of late: when, how many machines' worth, and what

    def came(self, job: Job, now: float) -> None:
        """A new job, and not one read at a takeover: what has come of late tells what is to be expected."""
        if not job.waits and job.spec.kind != "service":
            self.shard.classes.came(
                job.id, job.job_class, self.shard.name, job.spec.tasks, job.since, job.due
            )
        if job.spec.deadline_s is None and job.spec.kind != "service" and not job.waits:
            per = max(
                (
                    capacity(shape, job.spec.cpus, job.spec.gpus, job.spec.memory_gb)
                    for shape in self.shard.catalog.values()
                ),
                default=1,
            )
            self.arrived.append((now, -(-job.spec.tasks // max(per, 1)), job.spec))
            self._lately(now)  # here too: where no machine ever stands empty, nobody else looks

    def headroom(self, now: float) -> int:
        """How many empty machines to keep at hand for jobs that are not to wait: one standard deviation of what comes
        in a boot's time. On the mean, what ends makes room for what comes; it is the swings that would have to wait
        for a boot, or for other work to save itself."""
        self._lately(now)
        return round(math.sqrt(sum(size * size for _, size, _ in self.arrived) / BOOTS_BACK))

    def _lately(self, now: float) -> None:
        """Forget what came longer ago than is looked back on."""
        boot_s = max(
            (shape.boot_s for shape in self.shard.catalog.values()),
            default=self.shard.workers.lease_s,
        )
        while self.arrived and now - self.arrived[0][0] > BOOTS_BACK * boot_s:
            self.arrived.popleft()

    def _at_hand(self, idle: list[Machine], now: float) -> set[str]:
        """The empty machines to keep, within the guarantee only; those that hold most images first."""
        keep = self.headroom(now) if idle else 0
        out: set[str] = set()
        cpus, gpus = self.shard.usage.cpus, self.shard.usage.gpus
        for machine in sorted(idle, key=lambda m: (-len(m.images), m.name)) if keep else ():
            cpus, gpus = cpus + machine.shape.cpus, gpus + machine.shape.gpus
            if len(out) >= keep or not guaranteed(self.shard.team, cpus, gpus):
                break
            if any(
                placing.permits(spec, machine.type, machine.zone, machine.spot)
                for _, _, spec in self.arrived
            ):
                out.add(machine.name)
        return out

    def shard_status(self, now: float) -> ShardStatus:
        # A machine that came after the last pass is not idle: nobody has looked yet at what it is for. Told as idle, with the
        # wants of that pass, it was lent back to where it came from; so two parts of one controller handed their machines
        # to each other for a minute, and nothing ran.
        empty = [
            m
            for m in self.shard.machines.values()
            if m.empty
            and m.idle_since is not None
            and m.usable
            and m.name not in self.shard.reserved
            and m.revision <= self.shard.scheduled_revision
        ]
        kept = self._at_hand(empty, now)
        idle = [(m.name, now - (m.idle_since or now)) for m in empty if m.name not in kept]
        busy = [
            self._row(m, now)
            for m in self.shard.machines.values()
            if m.live and m.usable and m.name not in self.shard.reserved
        ]
        if len(self.rows) > 2 * len(self.shard.machines) + 16:
            self.rows = {
                name: row for name, row in self.rows.items() if name in self.shard.machines
            }
        waiting = sum(job.ready for job in self.shard.jobs.values() if job.active and not job.waits)
        return ShardStatus(
            self.shard.name,
            self.shard.scheduled_revision,
            self.shard.resource_requests,
            idle,
            busy,
            len(self.shard.machines),
            waiting,
            self._beyond(busy),
        )

    def leaving(self) -> list[tuple[str, str]]:
        """The machines that are being vacated, and for which shard ("" is the pool)."""
        return [
            (m.name, m.to)
            for m in self.shard.machines.values()
            if m.to is not None and m.phase is MachinePhase.LEAVING
        ]

    def _row(self, machine: Machine, now: float) -> BusyMachine:
        """A machine at work. What stopping it costs changes with what runs there, or slowly: it is worked out anew for each report, not
        for each picture. Of a large shard, pictures cost more than passes."""
        known = self.rows.get(machine.name)
        if (
            known is None
            or known.machine is not machine
            or known.version != machine.version
            or now >= known.until
        ):
            priority = max(
                self.shard.jobs[placement.job].priority for placement in machine.live.values()
            )
            busy = BusyMachine(
                machine.name, priority, machine_preemption_cost(self.shard.jobs, machine, now)
            )
            known = self.rows[machine.name] = _Row(
                machine, machine.version, now + self.shard.workers.report_s, busy
            )
        return known.busy

    def _beyond(self, busy: list[BusyMachine]) -> int:
        """How many machines' work the team runs beyond its guarantee. Machines that stand empty or boot do not
        count: taking running work for those made machines go round between teams that were all within theirs."""
        cpus, gpus = self.shard.usage.cpus, self.shard.usage.gpus
        beyond = 0
        for item in sorted(busy, key=lambda item: item.preemption_cost_s):
            machine = self.shard.machines[item.machine]
            cpus -= machine.shape.cpus - machine.cpus
            gpus -= machine.shape.gpus - machine.gpus
            if guaranteed(self.shard.team, cpus + 1e-3, gpus + 1e-3) and not self._at_least(
                cpus, gpus
            ):
                break
            beyond += 1
        return beyond

    def _at_least(self, cpus: float, gpus: float) -> bool:
        """Whether so much still fills the guarantee."""
        team = self.shard.team
        return not (
            (team.gpus > 0 and gpus < team.gpus - 1e-6)
            or (team.cpus > 0 and cpus < team.cpus - 1e-6)
        )

    def transfer_machine(self, name: str, to: str, now: float) -> None:
        """The leader wants it elsewhere. It goes if empty, by a write under our fence."""
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
                log.info("machine %s is vacated for team %s", name, order.to)
                machine.leave(f"recalled for {order.to}")
                machine.to = order.to
                self.shard.note_machine(name)
                self.shard.drain(machine, now)

    def rebalance(self, order: Rebalance, now: float) -> None:
        self.rebalances[order.to] = (order, now + self.shard.workers.lease_s)

    def pass_on(self, now: float) -> None:
        """Nothing is stopped for it: only what has come free goes, before our own work takes it."""
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
                    self.rebalances[to] = (order._replace(number=order.number - 1), until)
                    break

    def counts(self) -> list[tuple[str, int, int]]:
        return [(job.id, job.done, job.running) for job in self.shard.jobs.values() if job.active]
