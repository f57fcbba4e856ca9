"""One scheduling cycle of a shard: ranks its jobs, places tasks, reserves machines and preempts.

What still lacks room afterwards becomes the shard's resource requests to the leader.
"""

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
from ashdock.core.quota import Usage, within_guarantee
from ashdock.core.scheduling_policy import SchedulingPolicy
from ashdock.core.shard_status import ResourceRequest
from ashdock.core.status_reporter import StatusReporter
from ashdock.core.task import Placement, PlacementPhase
from ashdock.fairness.classes import Classes
from ashdock.settings import Shared, Team, Workers
from ashdock.wire.messages import JobKind, JobSpec, MachineType

log = logging.getLogger("ashdock.shard")

# A job whose image is cached on machines with room overtakes jobs that have waited up to this many
# fetches of its image longer.
CACHED_IMAGE_LEAD_FETCHES = 4
# The first in rank are sent to the leader; once they are served, the next are sent.
MAX_RESOURCE_REQUESTS = 100


class SchedulableShard(Protocol):
    """The part of a shard that a scheduling cycle reads, and the changes that it may make."""

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
    needs_scheduling: bool

    def place(self, job: Job, task: int, machine: Machine, attempt: int, now: float) -> None:
        """Place an attempt of a task on a machine."""

    def preempt(self, job: Job, tasks: list[int], why: str, now: float) -> None:
        """Stop tasks of a job with time to save; a gang as a whole."""

    def zone_of(self, machine: str) -> str:
        """The zone of the machine with that name."""


class SchedulingCycle:
    """The machines as one scheduling cycle sees them, gathered once at its start.

    Attributes:
        machines: Machines that are up and have free capacity.
        pending_capacity: Machines that are booting, and not much later than usual.
        infeasible: Needs for which the cycle has found no room.
        fitting_machines: By need and constraints, the machines that had room when last asked.
        cached_images: By image and then by zone, the number of machines with free capacity whose
            cache holds the image.
    """

    def __init__(self, machines: Iterable[Machine], now: float) -> None:
        """Gather the machines with free capacity and those that are booting."""
        self.machines: list[Machine] = []
        self.pending_capacity = placing.PendingCapacity()
        self.infeasible = placing.InfeasibleCache()
        self.fitting_machines: dict[tuple[object, ...], list[Machine]] = {}
        self.cached_images: dict[str, dict[str, int]] = {}
        for machine in machines:
            if machine.phase is MachinePhase.UP:
                if machine.cpus > 1e-6 and machine.memory_gb > 1e-6 and machine.usable:
                    self.machines.append(machine)
                    for image in machine.images:
                        zones = self.cached_images.setdefault(image, {})
                        zones[machine.zone] = zones.get(machine.zone, 0) + 1
            elif machine.is_booting(now):
                self.pending_capacity.add(machine.machine_type, machine.zone, machine.spot)

    def machines_with_room(self, spec: JobSpec, reserved: set[str]) -> list[Machine]:
        """Machines that are not reserved and have room for a task of the job.

        Within a cycle room only shrinks and reservations stay, so a job with the same need and
        constraints as an earlier one looks only at the machines that had room for that one. Without
        this, each waiting gang looked at each machine twice.
        """
        need = (spec.cpus, spec.gpus, spec.memory_gb)
        key = (need, tuple(spec.machine_types or ()), spec.zone, spec.spot)
        fitting = self.fitting_machines[key] = [
            machine
            for machine in self.fitting_machines.get(key, self.machines)
            if machine.name not in reserved
            and placing.permits(spec, machine.type, machine.zone, machine.spot)
            and machine.fits(*need)
        ]
        return fitting

    def is_image_cached(self, spec: JobSpec, number: int) -> bool:
        """Whether at least `number` machines with free capacity hold the job's image.

        If the job has to run in one zone, they have to be in one.
        """
        zones = self.cached_images.get(spec.image)
        if not zones:
            return False
        return (max(zones.values()) if spec.one_zone else sum(zones.values())) >= number


class Scheduler:
    """Runs the scheduling cycles of one shard.

    Attributes:
        shard: The shard.
        estimates: Estimates of run times.
        status_reporter: Holds the requests to transfer free machines to other shards.
        wait_targets_s: By job class, the targets of its objectives for the wait before a start, in
            seconds, ascending.
    """

    def __init__(
        self, shard: SchedulableShard, estimates: Estimates, status_reporter: StatusReporter
    ) -> None:
        """Create the scheduler of a shard."""
        self.shard = shard
        self.estimates = estimates
        self.status_reporter = status_reporter
        self.wait_targets_s: dict[str, list[float]] = {}

    def schedulable_jobs(self, now: float, cycle: SchedulingCycle | None = None) -> list[Job]:
        """Jobs with tasks that may be placed now, in the order in which they are tried.

        Args:
            now: Seconds since the epoch.
            cycle: The current cycle; without one, cached images do not count in the order.
        """
        jobs = [
            job
            for job in self.shard.jobs.values()
            if job.active
            and job.ready_count
            and not job.awaits_dependencies
            and not job.gang_stop_reason
            and job.id not in self.shard.orphaned_tasks
            and (job.spec.kind != JobKind.GANG or job.ready_count == job.spec.tasks)
        ]
        jobs.sort(key=lambda job: self._rank(job, now, cycle))
        lifted = self.shard.classes.boosted_job_ids(jobs, self._permitted_job_ids(jobs), now)
        if lifted:
            jobs.sort(key=lambda job: (-job.priority, job.id not in lifted))
        return jobs

    def _permitted_job_ids(self, jobs: list[Job]) -> Iterator[str]:
        """Ids of the jobs that may run on one of the shard's usable machines, even if it is full.

        Lazy, because it is only needed while a job class is behind its objectives.
        """
        offerings = {
            (machine.type, machine.zone, machine.spot)
            for machine in self.shard.machines.values()
            if machine.usable
        }
        yield from (
            job.id
            for job in jobs
            if any(placing.permits(job.spec, *offering) for offering in offerings)
        )

    def slack(self, job: Job, now: float) -> float:
        """Seconds until the job should be running; negative if it is late."""
        spec = job.spec
        if math.isinf(job.deadline_at):
            return job.eligible_at + self.start_target_s(spec) - now
        return job.deadline_at - self.estimates.run_s(spec) - now

    def may_preempt(self, job: Job, now: float) -> bool:
        """Whether work of lower priority may be stopped for the job.

        A job that only inherits its priority may not preempt as long as it can wait for a machine
        to boot, or once it is late by half the time from its submission to its deadline: that is
        too late to help its dependents. Without this, steps of
        pipelines stopped whole gangs, and each other's tasks without checkpoints, although room
        came free a few seconds later: 3425 tasks were lost in one simulated day.
        """
        if job.priority <= job.spec.priority:
            return True
        boot_s = max(
            (machine_type.boot_s for machine_type in self.shard.catalog.values()),
            default=self.shard.workers.lease_s,
        )
        return (job.submitted_at - job.deadline_at) / 2 < self.slack(job, now) < boot_s

    def start_target_s(self, spec: JobSpec) -> float:
        """Seconds within which the job should start.

        The strictest target among the objectives for waits of its class and for guarantees; without
        any, a worker's lease.
        """
        targets = [
            o.within_s
            for o in self.shard.shared.objectives
            if o.kind == "wait" and o.job_class == spec.job_class
        ]
        targets += [o.within_s for o in self.shard.shared.objectives if o.kind == "guarantee"]
        return min(
            (target for target in targets if target is not None),
            default=self.shard.workers.lease_s,
        )

    def _rank(
        self, job: Job, now: float, cycle: SchedulingCycle | None = None
    ) -> tuple[float, ...]:
        """Sort key of a job: the smallest goes first.

        Priority decides first. Jobs with a deadline are ordered by how many deadline objectives of
        their class they are expected to miss, then the least work goes first: if not all deadlines
        can be met, most are met that way. Jobs expected to take more than four times as long as
        their deadline allows go first again, so that none starves.

        A gang or service without a deadline whose image is cached on machines with free capacity is
        ranked as if it had waited some fetches longer: where machines are short, fetching wastes
        their time.
        """
        spec = job.spec
        if job.likely_faulty:
            return (-job.priority, 9.0, job.eligible_at)
        if spec.kind == JobKind.ARRAY and math.isinf(job.deadline_at):
            return (
                -job.priority,
                *self.shard.policy.array_rank(job, self.estimates.run_s(spec), now),
                job.eligible_at,
            )
        if math.isinf(job.deadline_at):
            lead_s = 0.0
            if cycle is not None and cycle.is_image_cached(
                spec, spec.tasks if spec.kind == JobKind.GANG else 1
            ):
                lead_s = CACHED_IMAGE_LEAD_FETCHES * placing.image_fetch_s(
                    spec, next(iter(self.shard.catalog.values()))
                )
            group, size = self._wait_rank(job, now)
            return (-job.priority, group, size, job.eligible_at - now - lead_s)
        deadline_s = max(job.deadline_at - job.submitted_at, 1e-3)
        expected_s = (
            now + self.estimates.run_s(spec) * (1 - self.RUN_TIME_MARGIN) - job.submitted_at
        )
        factors = sorted(
            o.times
            for o in self.shard.shared.objectives
            if o.kind == "deadline" and o.job_class == spec.job_class and o.times
        )
        rank = float(sum(1 for factor in factors or [1.0] if expected_s > deadline_s * factor))
        if expected_s > deadline_s * 4:
            rank = 0.0
        return (
            -job.priority,
            rank,
            (spec.tasks - job.done_count) * self.estimates.run_s(spec) * max(spec.gpus, 1.0),
        )

    def _wait_rank(self, job: Job, now: float) -> tuple[float, float]:
        """Group and size by which a gang or service without a deadline is ranked by its wait.

        If not all jobs can start in time, most do if the small go first while they can still meet
        the strictest target. Jobs whose last target is about to pass go before them, whatever their
        size. Jobs that have missed all targets go last, until they have waited three times the last
        one.
        """
        targets_s = self._class_wait_targets_s(job.spec.job_class)
        if not targets_s:
            return 0.0, 0.0
        first_s, last_s, waited_s = targets_s[0], targets_s[-1], now - job.eligible_at
        if last_s * 0.6 < waited_s <= last_s or waited_s > 3 * last_s:
            return 0.0, 0.0
        if waited_s <= first_s:
            return 1.0, job.spec.tasks * max(job.spec.gpus, 1.0)
        return (2.0, 0.0) if waited_s <= last_s else (3.0, 0.0)

    def _class_wait_targets_s(self, job_class: str) -> list[float]:
        if job_class not in self.wait_targets_s:
            within_s = [
                o.within_s
                for o in self.shard.shared.objectives
                if o.kind == "wait" and o.job_class == job_class
            ]
            self.wait_targets_s[job_class] = sorted(target for target in within_s if target)
        return self.wait_targets_s[job_class]

    # Estimates are often wrong: a job counts as late only if it would miss its deadline even with a
    # run time shorter by this share.
    RUN_TIME_MARGIN = 0.25

    def schedule(self, now: float) -> None:
        """Run one scheduling cycle.

        It places tasks, reserves machines for gangs, preempts work of lower priority where it has
        to, and replaces the shard's resource requests by what is still lacking.
        """
        self.shard.needs_scheduling = False
        self.shard.scheduled_revision = self.shard.seen_revision
        unplaced: list[tuple[Job, int, str]] = []
        self.shard.reserved = set()
        if self.status_reporter.rebalances:
            self.status_reporter.rebalance_free_machines(now)
        cycle = SchedulingCycle(self.shard.machines.values(), now)
        for job in self.schedulable_jobs(now, cycle):
            missing = self._try_place(job, cycle, now)
            if job.likely_faulty:
                continue  # runs only where there is room: no preemption, reservation or renting
            zone = ""
            if missing and job.spec.kind == JobKind.GANG and job.spec.tasks > 1:
                zone, reserved = self._reserve_for_gang(job, cycle)
                missing -= reserved
            if now - job.last_preemption_at < self.shard.workers.lease_s / 2:
                missing -= job.preempted_machines  # the preempted work is still stopping
            if missing > 0:
                unplaced.append((job, missing, zone))
        lowest = min(
            (self.shard.jobs[p.job].priority for p in self._one_placement_per_job()), default=0
        )
        preemptible: dict[int, list[tuple[Machine, list[Placement]]]] = {}
        for job, missing, zone in unplaced:
            # Mostly nothing of lower priority runs; the machines are then not searched.
            if (
                job.priority > lowest
                and now - job.last_preemption_at >= self.shard.workers.lease_s
                and self.may_preempt(job, now)
            ):
                if job.priority not in preemptible:
                    preemptible[job.priority] = self._preemptible_machines(job.priority)
                self._preempt_for(job, missing, zone, preemptible[job.priority], now)
        self.shard.resource_requests = self._resource_requests(unplaced, cycle, now)

    def _one_placement_per_job(self) -> Iterable[Placement]:
        """One placement of each job that has any: all placements of a job share its priority."""
        return (next(iter(job.live.values())) for job in self.shard.jobs.values() if job.live)

    def _try_place(self, job: Job, cycle: SchedulingCycle, now: float) -> int:
        """Place tasks where there is room; return the number of permitted tasks that found none.

        Permitted are ready tasks within the team's limits. A gang that is not permitted as a whole
        counts as none.
        """
        spec = job.spec
        permitted = min(self.shard.usage.tasks_permitted(spec), job.ready_count)
        if job.likely_faulty and spec.kind != JobKind.GANG:
            permitted = min(permitted, 1 - len(job.live))  # one task shows whether the job works
        if (spec.kind == JobKind.GANG and permitted < spec.tasks) or permitted <= 0:
            return 0
        need = (spec.cpus, spec.gpus, spec.memory_gb)
        task_conditions = (tuple(spec.machine_types or ()), spec.zone, spec.spot)
        gang_conditions = (*task_conditions, spec.one_zone, spec.spread)
        if cycle.infeasible.holds(task_conditions, need, 1) or (
            spec.kind == JobKind.GANG and cycle.infeasible.holds(gang_conditions, need, spec.tasks)
        ):
            return permitted
        candidates = placing.find_candidates(
            job, cycle.machines_with_room(spec, self.shard.reserved), now
        )
        selected = placing.select_machines(job, candidates, permitted, self.shard.zone_of)
        if not candidates:
            cycle.infeasible.note(task_conditions, need, 1)
        elif not selected and spec.kind == JobKind.GANG:
            cycle.infeasible.note(gang_conditions, need, spec.tasks)
        if selected:
            tasks = job.ready_tasks(len(selected))
            attempt = job.attempt_for(0)
            for task, machine in zip(tasks, selected, strict=True):
                self.shard.place(
                    job,
                    task,
                    machine,
                    attempt if spec.kind == JobKind.GANG else job.attempt_for(task),
                    now,
                )
            log.info(
                "tasks placed: job=%s tasks=%d machines=%s",
                job.id,
                len(selected),
                ",".join(sorted({m.name for m in selected})),
            )
        return permitted - len(selected)

    def _preemptible_machines(self, priority: int) -> list[tuple[Machine, list[Placement]]]:
        """Machines with work below a priority, and that work.

        Left out are reserved machines and those on which a task is already being stopped.
        """
        preemptible = []
        for machine in self.shard.machines.values():
            if not machine.usable or not machine.live or machine.name in self.shard.reserved:
                continue
            lower = [p for p in machine.live.values() if self.shard.jobs[p.job].priority < priority]
            if lower and not any(p.phase is PlacementPhase.STOPPING for p in machine.live.values()):
                preemptible.append((machine, lower))
        return preemptible

    def _preempt_for(
        self,
        job: Job,
        missing: int,
        zone: str,
        candidates: list[tuple[Machine, list[Placement]]],
        now: float,
    ) -> None:
        """Stop the team's work of lower priority on as many machines as the job lacks tasks.

        The machines where stopping costs least are chosen. The caller allows it once per worker
        lease for each job.
        """
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
            # While one machine fetches the image, all tasks of a gang wait.
            cost = (
                sum(preemption_cost(self.shard.jobs, p, now) for p in lower)
                + placing.remaining_fetch_s(spec, machine) * (spec.gpus or spec.cpus) * missing
            )
            victims.append((cost, machine))
        if spec.one_zone and spec.tasks > 1 and not zone:
            victim_zones = [victim[1].zone for victim in victims]
            best_zone = max(sorted(set(victim_zones)), key=victim_zones.count, default="")
            victims = [victim for victim in victims if victim[1].zone == best_zone]
        victims.sort(key=lambda victim: (victim[0], victim[1].name))
        job.preempted_machines = len(victims[:missing])
        for _, machine in victims[:missing]:
            job.last_preemption_at = now
            log.info("lower-priority work preempted: job=%s machine=%s", job.id, machine.name)
            for placement in list(machine.live.values()):
                other = self.shard.jobs.get(placement.job)
                if (
                    other
                    and other.priority < job.priority
                    and machine.live.get(placement.key) is placement
                ):
                    self.shard.preempt(other, [placement.task], f"made room for {job.id}", now)

    def _reserve_for_gang(self, job: Job, cycle: SchedulingCycle) -> tuple[str, int]:
        """Reserve machines for a gang that finds no room as a whole.

        Without this, less urgent work and other teams would take each machine before the last one
        that the gang needs is there.

        Returns:
            The zone with the most room for it, now and on booting machines ("" if the gang may be
            spread over zones), and how many of its tasks the machines reserved there would take.
        """
        spec = job.spec
        roomy_machines: dict[str, list[tuple[Machine, int]]] = {}
        expected_tasks: dict[str, int] = {}
        need = (spec.cpus, spec.gpus, spec.memory_gb)

        def is_suitable(label: str, zone: str, spot: bool) -> bool:
            return placing.permits(spec, label, zone, spot)

        for machine in cycle.machines_with_room(spec, self.shard.reserved):
            zone = machine.zone if spec.one_zone else ""
            room = machine.fits(*need)
            roomy_machines.setdefault(zone, []).append((machine, room))
            expected_tasks[zone] = expected_tasks.get(zone, 0) + room
        for zone, room in cycle.pending_capacity.tasks_by_zone(is_suitable, need).items():
            zone = zone if spec.one_zone else ""
            expected_tasks[zone] = expected_tasks.get(zone, 0) + room
        best_zone = max(sorted(expected_tasks), key=lambda zone: expected_tasks[zone], default="")
        reserved = 0
        for machine, room in roomy_machines.get(best_zone, ()):
            if reserved < spec.tasks:
                self.shard.reserved.add(machine.name)
                reserved += room
        return best_zone, min(reserved, spec.tasks)

    def _resource_requests(
        self, unplaced: list[tuple[Job, int, str]], cycle: SchedulingCycle, now: float
    ) -> list[ResourceRequest]:
        """What the unplaced tasks lack beyond the machines that are booting.

        Beyond the team's guarantee, a job asks for no more tasks than the scheduling policy finds
        worth machines of their own.
        """
        cpus, gpus = self.shard.usage.cpus, self.shard.usage.gpus
        requests: list[ResourceRequest] = []
        for job, missing, zone in unplaced:
            spec = job.spec
            if not within_guarantee(
                self.shard.team, cpus + spec.cpus * missing, gpus + spec.gpus * missing
            ):
                missing = min(
                    missing, self.shard.policy.tasks_to_request(job, self.estimates.run_s(spec))
                )
            cpus += spec.cpus * missing
            gpus += spec.gpus * missing

            def is_suitable(
                label: str, where: str, spot: bool, spec: JobSpec = spec, zone: str = zone
            ) -> bool:
                return zone in ("", where) and placing.permits(spec, label, where, spot)

            missing -= cycle.pending_capacity.take(
                is_suitable, (spec.cpus, spec.gpus, spec.memory_gb), missing
            )
            if missing > 0 and len(requests) < MAX_RESOURCE_REQUESTS:
                requests.append(
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
                        within_guarantee(self.shard.team, cpus, gpus),
                        self.slack(job, now),
                        spec.image,
                        spec.tasks if spec.one_zone and not spec.zone and zone else 0,
                        math.isinf(job.deadline_at)
                        and not self.shard.policy.has_service_level(spec),
                    )
                )
        return requests
