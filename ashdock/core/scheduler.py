"""Ranking and passes: who goes first, what is placed, what is kept or stopped for whom, and what is lacking."""

from __future__ import annotations

import logging
import math
from collections.abc import Iterable, Iterator
from typing import Protocol

from ashdock.core import placement as placing
from ashdock.core.estimates import Estimates
from ashdock.core.job import Job
from ashdock.core.machine import Machine, MachinePhase
from ashdock.core.preemption_cost import preemption_cost
from ashdock.core.quota import Usage, guaranteed
from ashdock.core.scheduling_policy import SchedulingPolicy
from ashdock.core.shard_status import ResourceRequest
from ashdock.core.status_reporter import StatusReporter
from ashdock.core.task import Placement, PlacementPhase
from ashdock.fairness.classes import Classes
from ashdock.settings import Shared, Team, Workers
from ashdock.wire.messages import JobKind, JobSpec, MachineType

log = logging.getLogger("ashdock.shard")

FETCHES_AHEAD = 4  # how many fetches longer a job may have waited that is overtaken by one whose image is at hand
MOST_REQUESTS = (
    100  # told to the leader at a time, the first in rank: once those are served the next are told
)


class SchedulableShard(Protocol):
    """What of a shard a pass looks at, and the changes of state that it may make."""

    team: Team
    shared: Shared
    workers: Workers
    catalog: dict[str, MachineType]
    jobs: dict[str, Job]
    machines: dict[str, Machine]
    usage: Usage
    policy: SchedulingPolicy
    classes: Classes
    orphaned_tasks: dict[str, set[str]]
    resource_requests: list[ResourceRequest]
    reserved: set[str]
    seen_revision: int
    scheduled_revision: int
    stale: bool

    def place(self, job: Job, task: int, machine: Machine, attempt: int, now: float) -> None: ...

    def preempt(self, job: Job, tasks: list[int], why: str, now: float) -> None: ...

    def zone_of(self, machine: str) -> str: ...


class SchedulingCycle:
    """What one scheduling pass looks at, gathered once: machines with room, room to come, and what found none."""

    def __init__(self, machines: Iterable[Machine], now: float) -> None:
        self.open: list[Machine] = []
        self.coming = placing.PendingCapacity()
        self.infeasible = placing.InfeasibleCache()
        self.found: dict[
            tuple[object, ...], list[Machine]
        ] = {}  # machines with room for a need, as of when it was last asked for
        self.images: dict[
            str, dict[str, int]
        ] = {}  # by image and zone: machines with room that hold it
        for machine in machines:
            if machine.phase is MachinePhase.UP:
                if machine.cpus > 1e-6 and machine.memory_gb > 1e-6 and machine.usable:
                    self.open.append(machine)
                    for image in machine.images:
                        zones = self.images.setdefault(image, {})
                        zones[machine.zone] = zones.get(machine.zone, 0) + 1
            elif machine.is_booting(now):
                self.coming.add(machine.shape, machine.zone, machine.spot)

    def roomy(self, spec: JobSpec, reserved: set[str]) -> list[Machine]:
        """Machines with room for a task of it. Within a pass room only shrinks, and what is kept for somebody stays so: who asks as much
        need only look at those that had room for the one before. Each waiting gang looked at each machine, twice."""
        need = (spec.cpus, spec.gpus, spec.memory_gb)
        key = (need, tuple(spec.machine_types or ()), spec.zone, spec.spot)
        found = self.found[key] = [
            machine
            for machine in self.found.get(key, self.open)
            if machine.name not in reserved
            and placing.permits(spec, machine.type, machine.zone, machine.spot)
            and machine.fits(*need)
        ]
        return found

    def holders(self, spec: JobSpec, number: int) -> bool:
        """Whether so many machines with room hold the image, in one zone where the job is to be in one."""
        zones = self.images.get(spec.image)
        if not zones:
            return False
        return (max(zones.values()) if spec.one_zone else sum(zones.values())) >= number


class Scheduler:
    def __init__(
        self, shard: SchedulableShard, estimates: Estimates, status_reporter: StatusReporter
    ) -> None:
        self.shard = shard
        self.estimates = estimates
        self.status_reporter = status_reporter
        self.aims: dict[str, list[float]] = {}  # by class: within what times its jobs are to start

    def waiting(self, now: float, look: SchedulingCycle | None = None) -> list[Job]:
        out = [
            job
            for job in self.shard.jobs.values()
            if job.active
            and job.ready_count
            and not job.awaits_dependencies
            and not job.gang_stop_reason
            and job.id not in self.shard.orphaned_tasks
            and (job.spec.kind != JobKind.GANG or job.ready_count == job.spec.tasks)
        ]
        out.sort(key=lambda job: self._rank(job, now, look))
        lifted = self.shard.classes.lifted(out, self._can_run(out), now)
        if lifted:
            out.sort(key=lambda job: (-job.priority, job.id not in lifted))
        return out

    def _can_run(self, jobs: list[Job]) -> Iterator[str]:
        """Those for which the shard has a machine of a kind that they allow, be it full. Not looked for before somebody asks."""
        kinds = {
            (machine.type, machine.zone, machine.spot)
            for machine in self.shard.machines.values()
            if machine.usable
        }
        yield from (
            job.id for job in jobs if any(placing.permits(job.spec, *kind) for kind in kinds)
        )

    def slack(self, job: Job, now: float) -> float:
        """Seconds until the job had better be running."""
        spec = job.spec
        if math.isinf(job.deadline_at):
            return job.eligible_at + self.aim_s(spec) - now
        return job.deadline_at - self.estimates.run_s(spec) - now

    def pressed(self, job: Job, now: float) -> bool:
        """Whether lower work is to be stopped for it. Not for a priority that is only carried back to it, as long as it can
        wait for a boot, or once it is too late to help what comes after. Steps of pipelines stopped whole gangs, and each
        other's tasks that save nothing, for places that came free a few seconds later (hunted day: 3425 tasks lost)."""
        if job.priority <= job.spec.priority:
            return True
        boot_s = max(
            (shape.boot_s for shape in self.shard.catalog.values()),
            default=self.shard.workers.lease_s,
        )
        return (job.submitted_at - job.deadline_at) / 2 < self.slack(job, now) < boot_s

    def aim_s(self, spec: JobSpec) -> float:
        aims = [
            o.within_s
            for o in self.shard.shared.objectives
            if o.kind == "wait" and o.job_class == spec.job_class
        ]
        aims += [o.within_s for o in self.shard.shared.objectives if o.kind == "guarantee"]
        return min((aim for aim in aims if aim is not None), default=self.shard.workers.lease_s)

    def _rank(self, job: Job, now: float, look: SchedulingCycle | None = None) -> tuple[float, ...]:
        """Priority; then what can still be in time, then what can be in time for the later aim, then the rest.
        Among deadlines the least work comes first: when not all can be met, that way the most are. What is
        long overdue comes first again, so that nothing starves. What would find its image on the machines that are
        free goes ahead of what has waited a few fetches longer: where machines are short, fetching wastes them."""
        spec = job.spec
        if job.likely_faulty:
            return (-job.priority, 9.0, job.eligible_at)
        if spec.kind == JobKind.ARRAY and math.isinf(job.deadline_at):
            return (
                -job.priority,
                *self.shard.policy.rank(job, self.estimates.run_s(spec), now),
                job.eligible_at,
            )
        if math.isinf(job.deadline_at):
            ahead = 0.0
            if look is not None and look.holders(
                spec, spec.tasks if spec.kind == JobKind.GANG else 1
            ):
                ahead = FETCHES_AHEAD * placing.image_s(
                    spec, next(iter(self.shard.catalog.values()))
                )
            turn, size = self._turn(job, now)
            return (-job.priority, turn, size, job.eligible_at - now - ahead)
        deadline_s = max(job.deadline_at - job.submitted_at, 1e-3)
        late = now + self.estimates.run_s(spec) * (1 - self.grace) - job.submitted_at
        times = sorted(
            o.times
            for o in self.shard.shared.objectives
            if o.kind == "deadline" and o.job_class == spec.job_class and o.times
        )
        rank = float(sum(1 for factor in times or [1.0] if late > deadline_s * factor))
        if late > deadline_s * 4:
            rank = 0.0
        return (
            -job.priority,
            rank,
            (spec.tasks - job.done_count) * self.estimates.run_s(spec) * max(spec.gpus, 1.0),
        )

    def _turn(self, job: Job, now: float) -> tuple[float, float]:
        """When not all can start in time, the most do if the small go first while they are in time for the first
        aim. Before the last aim passes the large have their turn; what is late for all goes last, but not for ever."""
        aims = self._wait_aims(job.spec.job_class)
        if not aims:
            return 0.0, 0.0
        first, last, age = aims[0], aims[-1], now - job.eligible_at
        if last * 0.6 < age <= last or age > 3 * last:
            return 0.0, 0.0
        if age <= first:
            return 1.0, job.spec.tasks * max(job.spec.gpus, 1.0)
        return (2.0, 0.0) if age <= last else (3.0, 0.0)

    def _wait_aims(self, job_class: str) -> list[float]:
        if job_class not in self.aims:
            within = [
                o.within_s
                for o in self.shard.shared.objectives
                if o.kind == "wait" and o.job_class == job_class
            ]
            self.aims[job_class] = sorted(aim for aim in within if aim)
        return self.aims[job_class]

    grace = 0.25  # estimates are often wrong: a job is late for sure only with this share of its run time to spare

    def schedule(self, now: float) -> None:
        """One pass: place what fits, keep and make room for what does not, and tell what is lacking."""
        self.shard.stale = False
        self.shard.scheduled_revision = self.shard.seen_revision
        short: list[tuple[Job, int, str]] = []
        self.shard.reserved = set()
        if self.status_reporter.rebalances:
            self.status_reporter.rebalance_free_machines(now)
        look = SchedulingCycle(self.shard.machines.values(), now)
        for job in self.waiting(now, look):
            missing = self._try_place(job, look, now)
            if job.likely_faulty:
                continue  # tried where there is room: nothing is stopped, kept or rented for it alone
            zone = ""
            if missing and job.spec.kind == JobKind.GANG and job.spec.tasks > 1:
                zone, kept = self._keep_for_gang(job, look)
                missing -= kept
            if now - job.last_preemption_at < self.shard.workers.lease_s / 2:
                missing -= job.preempted_machines  # room is being made already
            if missing > 0:
                short.append((job, missing, zone))
        lowest = min((self.shard.jobs[p.job].priority for p in self._some_live()), default=0)
        lower: dict[int, list[tuple[Machine, list[Placement]]]] = {}
        for job, missing, zone in short:
            # Nothing of lower priority runs, mostly: then there is nothing to look at.
            if (
                job.priority > lowest
                and now - job.last_preemption_at >= self.shard.workers.lease_s
                and self.pressed(job, now)
            ):
                if job.priority not in lower:
                    lower[job.priority] = self._lower_work(job.priority)
                self._make_room(job, missing, zone, lower[job.priority], now)
        self.shard.resource_requests = self._missing_room(short, look, now)

    def _some_live(self) -> Iterable[Placement]:
        """One placement of each job that has any: they share the job's priority."""
        return (next(iter(job.live.values())) for job in self.shard.jobs.values() if job.live)

    def _try_place(self, job: Job, look: SchedulingCycle, now: float) -> int:
        """Place what fits; the number of tasks that want room and found none."""
        spec = job.spec
        permitted = min(self.shard.usage.room(spec), job.ready_count)
        if job.likely_faulty and spec.kind != JobKind.GANG:
            permitted = min(permitted, 1 - len(job.live))  # one task at a time tells as much as all
        if (spec.kind == JobKind.GANG and permitted < spec.tasks) or permitted <= 0:
            return 0
        need = (spec.cpus, spec.gpus, spec.memory_gb)
        anywhere = (tuple(spec.machine_types or ()), spec.zone, spec.spot)
        together = (*anywhere, spec.one_zone, spec.spread)
        if look.infeasible.holds(anywhere, need, 1) or (
            spec.kind == JobKind.GANG and look.infeasible.holds(together, need, spec.tasks)
        ):
            return permitted
        options = placing.choices(job, look.roomy(spec, self.shard.reserved), now)
        picked = placing.select(job, options, permitted, self.shard.zone_of)
        if not options:
            look.infeasible.note(anywhere, need, 1)
        elif not picked and spec.kind == JobKind.GANG:
            look.infeasible.note(together, need, spec.tasks)
        if picked:
            tasks = job.ready_tasks(len(picked))
            attempt = job.attempt_for(0)
            for task, machine in zip(tasks, picked, strict=True):
                self.shard.place(
                    job,
                    task,
                    machine,
                    attempt if spec.kind == JobKind.GANG else job.attempt_for(task),
                    now,
                )
            log.info(
                "job %s: %d tasks placed on %s",
                job.id,
                len(picked),
                ",".join(sorted({m.name for m in picked})),
            )
        return permitted - len(picked)

    def _lower_work(self, priority: int) -> list[tuple[Machine, list[Placement]]]:
        """Machines with work below a priority, and that work; none where something is being stopped already."""
        out = []
        for machine in self.shard.machines.values():
            if not machine.usable or not machine.live or machine.name in self.shard.reserved:
                continue
            lower = [p for p in machine.live.values() if self.shard.jobs[p.job].priority < priority]
            if lower and not any(p.phase is PlacementPhase.STOPPING for p in machine.live.values()):
                out.append((machine, lower))
        return out

    def _make_room(
        self,
        job: Job,
        missing: int,
        zone: str,
        candidates: list[tuple[Machine, list[Placement]]],
        now: float,
    ) -> None:
        """Stop work of lower priority of this team for it, once per lease at most for any one job."""
        spec = job.spec
        victims: list[tuple[float, Machine]] = []
        for machine, lower in candidates:
            if not placing.permits(spec, machine.type, machine.zone, machine.spot):
                continue
            if (spec.one_zone and zone and machine.zone != zone) or any(
                p.phase is PlacementPhase.STOPPING for p in lower
            ):
                continue
            cpus = machine.cpus + sum(self.shard.jobs[p.job].spec.cpus for p in lower)
            gpus = machine.gpus + sum(self.shard.jobs[p.job].spec.gpus for p in lower)
            memory = machine.memory_gb + sum(self.shard.jobs[p.job].spec.memory_gb for p in lower)
            if cpus + 1e-6 < spec.cpus or gpus + 1e-6 < spec.gpus or memory + 1e-6 < spec.memory_gb:
                continue
            # While one of its machines fetches, all of a gang's wait.
            cost = (
                sum(preemption_cost(self.shard.jobs, p, now) for p in lower)
                + placing.fetch_s(spec, machine) * (spec.gpus or spec.cpus) * missing
            )
            victims.append((cost, machine))
        if spec.one_zone and spec.tasks > 1 and not zone:
            by_zone = [victim[1].zone for victim in victims]
            best = max(sorted(set(by_zone)), key=by_zone.count, default="")
            victims = [victim for victim in victims if victim[1].zone == best]
        victims.sort(key=lambda victim: (victim[0], victim[1].name))
        job.preempted_machines = len(victims[:missing])
        for _, machine in victims[:missing]:
            job.last_preemption_at = now
            log.info("job %s takes the place of lower work on %s", job.id, machine.name)
            for placement in list(machine.live.values()):
                other = self.shard.jobs.get(placement.job)
                if (
                    other
                    and other.priority < job.priority
                    and machine.live.get(placement.key) is placement
                ):
                    self.shard.preempt(other, [placement.task], f"made room for {job.id}", now)

    def _keep_for_gang(self, job: Job, look: SchedulingCycle) -> tuple[str, int]:
        """The zone where a gang that finds no room is best completed ("" if any will do), and how many of
        its tasks the machines kept for it there would take. Without this, lesser work and other teams
        would take each machine before the last one is there."""
        spec = job.spec
        rooms: dict[str, list[tuple[Machine, int]]] = {}
        promise: dict[str, int] = {}
        need = (spec.cpus, spec.gpus, spec.memory_gb)

        def suits(label: str, zone: str, spot: bool) -> bool:
            return placing.permits(spec, label, zone, spot)

        for machine in look.roomy(spec, self.shard.reserved):
            zone = machine.zone if spec.one_zone else ""
            room = machine.fits(*need)
            rooms.setdefault(zone, []).append((machine, room))
            promise[zone] = promise.get(zone, 0) + room
        for zone, room in look.coming.zones(suits, need).items():
            zone = zone if spec.one_zone else ""
            promise[zone] = promise.get(zone, 0) + room
        best = max(sorted(promise), key=lambda zone: promise[zone], default="")
        kept = 0
        for machine, room in rooms.get(best, ()):
            if kept < spec.tasks:
                self.shard.reserved.add(machine.name)
                kept += room
        return best, min(kept, spec.tasks)

    def _missing_room(
        self, short: list[tuple[Job, int, str]], look: SchedulingCycle, now: float
    ) -> list[ResourceRequest]:
        """What is lacking once the machines still booting are counted in."""
        cpus, gpus = self.shard.usage.cpus, self.shard.usage.gpus
        out: list[ResourceRequest] = []
        for job, missing, zone in short:
            spec = job.spec
            if not guaranteed(
                self.shard.team, cpus + spec.cpus * missing, gpus + spec.gpus * missing
            ):
                missing = min(missing, self.shard.policy.pays(job, self.estimates.run_s(spec)))
            cpus += spec.cpus * missing
            gpus += spec.gpus * missing

            def suits(
                label: str, where: str, spot: bool, spec: JobSpec = spec, zone: str = zone
            ) -> bool:
                return zone in ("", where) and placing.permits(spec, label, where, spot)

            missing -= look.coming.take(suits, (spec.cpus, spec.gpus, spec.memory_gb), missing)
            if missing > 0 and len(out) < MOST_REQUESTS:
                out.append(
                    ResourceRequest(
                        spec.cpus,
                        spec.gpus,
                        spec.memory_gb,
                        tuple(spec.machine_types or ()),
                        spec.zone or zone,
                        spec.spot,
                        spec.one_zone and spec.tasks > 1,
                        missing,
                        job.priority,
                        guaranteed(self.shard.team, cpus, gpus),
                        self.slack(job, now),
                        spec.image,
                        spec.tasks if spec.one_zone and not spec.zone and zone else 0,
                        math.isinf(job.deadline_at) and not self.shard.policy.promised(spec),
                    )
                )
        return out
