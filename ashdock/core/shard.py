"""A shard: one team, its jobs and parks, and the machines lent to it, in its one owner's memory.

No input or output happens here. Reports, wakes and changes seen elsewhere come in as calls; what is
to be written comes out as transactions, and what is to be sent as orders. A start is let out only once
its placement is durable, and a placement counts until its stop is proved.
"""

from __future__ import annotations

import logging
import math
import random
from collections.abc import Iterable
from typing import Any

from ashdock.core.dependency_tracker import DependencyTracker
from ashdock.core.estimates import Estimates
from ashdock.core.heartbeat_reconciler import HeartbeatReconciler
from ashdock.core.job import Job, JobPhase, chunk_size, spec_of_record
from ashdock.core.machine import Machine, MachinePhase
from ashdock.core.park import Parks
from ashdock.core.quota import Usage
from ashdock.core.scheduler import Scheduler
from ashdock.core.scheduling_policy import SchedulingPolicy
from ashdock.core.shard_maintenance import ShardMaintenance
from ashdock.core.shard_recovery import StoredEntry, rebuild
from ashdock.core.shard_writer import ShardWriter
from ashdock.core.status_reporter import ResourceRequest, StatusReporter
from ashdock.core.task import Phase, Placement, TaskState
from ashdock.core.task_commands import TaskCommands
from ashdock.core.task_failures import FailureHandler
from ashdock.core.write_limits import WriteLimits
from ashdock.fairness.classes import Classes
from ashdock.settings import Operators, Shared, Team
from ashdock.wire.messages import JobSpec, MachineType

log = logging.getLogger("ashdock.shard")


class Shard:
    def __init__(
        self,
        team: Team,
        revision: int,
        shared: Shared,
        operators: Operators,
        catalog: dict[str, MachineType],
        rng: random.Random,
        write_limits: WriteLimits | None = None,
    ) -> None:
        self.team = team
        self.name = team.name
        self.revision = revision  # of our claim: the fence in every write
        self.shared = shared
        self.workers = shared.workers
        self.retry = operators.retry
        self.catalog = catalog
        self.rng = rng
        self.jobs: dict[str, Job] = {}
        self.machines: dict[str, Machine] = {}
        self.usage = Usage(team)
        self.policy = SchedulingPolicy(team, shared, catalog)
        self.write_limits = write_limits or WriteLimits(shared.state)
        self.parks = Parks(team.name, self.write_limits.value_bytes)
        self.chunk_tasks = chunk_size(
            shared.state.value_kb
        )  # as the versions before had it, whatever the limits come to be
        self.dependency_tracker = DependencyTracker(self)
        self.orphaned_tasks: dict[
            str, set[str]
        ] = {}  # job: machines where it runs without a placement
        self.resource_requests: list[ResourceRequest] = []
        self.lacked_room_before = False
        self.reserved: set[str] = set()  # empty machines kept for a gang that lacks others
        self.seen = revision
        self.looked = revision  # what was seen when the last pass began
        self.urgent: dict[str, None] = {}  # machines with orders worth sending at once
        self.writer = ShardWriter(self)
        self.ending: dict[str, Job] = {}  # cancelled jobs with tasks that may still be there
        self.inherited_machines = 0  # that were up for the owner before
        self.recovered_at = -math.inf  # when it had been read back
        self.placed = 0  # tasks, since it is ours
        self.stale = True  # room or work has come up since the last pass
        self.clock = -math.inf  # when somebody last told us the time
        self.estimates = Estimates()
        self.classes = Classes(shared.objectives, shared.workers.report_s)
        self.commands = TaskCommands(self)
        self.failures = FailureHandler(self)
        self.maintenance = ShardMaintenance(self)
        self.reconciler = HeartbeatReconciler(self, self.estimates)
        self.status_reporter = StatusReporter(self)
        self.scheduler = Scheduler(self, self.estimates, self.status_reporter)

    # -- jobs and machines ----------------------------------------------------------------------

    def load(
        self,
        machines: Iterable[StoredEntry],
        work: Iterable[StoredEntry],
        parks: Iterable[StoredEntry],
        now: float,
    ) -> None:
        """Fill the shard, just claimed, with what is stored of it: `shard_recovery.rebuild`."""
        rebuild(self, machines, work, parks, now)

    def add_job(self, record: dict[str, Any], revision: int, started: bool = False) -> Job:
        """`started`: tasks of it have been placed before, so all that it needs is known to be done."""
        spec = spec_of_record(record)
        known = self.jobs.get(spec.id)
        if known:
            return known
        width = (
            min(self.chunk_tasks, self.write_limits.width)
            if self.write_limits.agreed
            else self.chunk_tasks
        )
        job = Job(spec, record["at"], revision, width, self.chunk_tasks)
        job.listener = self.writer.changed_jobs
        self.stale = True
        job.reason = record.get("reason")
        self.jobs[spec.id] = job
        if record["status"] == "withdrawn":
            self.ending[spec.id] = job
            job.cancel(record.get("cancelled_at", record["at"]))
        elif spec.dependencies and not started:
            self.dependency_tracker.add(job)
        job.carried = self.dependency_tracker.graph.of(spec.id)
        return job

    def complete(self, job: Job, now: float) -> None:
        """Take in that all tasks of a job are done."""
        self.classes.done(job.id, now)
        job.over(now if self.write_limits.agreed else None)

    def add_machine(self, name: str, value: dict[str, Any], revision: int, now: float) -> None:
        shape = self.catalog.get(value["t"])
        self.seen = max(self.seen, revision)
        known = self.machines.get(name)
        if known:
            if revision > known.revision:
                known.revision = revision
                if value.get("x"):
                    known.decommission(value["x"])
            return
        if shape is None:
            log.error("machine %s has a type the catalog lacks: %s", name, value["t"])
            return
        self.machines[name] = Machine(name, value, revision, shape, now)

    # -- accounting ---------------------------------------------------------------------------

    def count(self, job: Job, placement: Placement) -> None:
        """Count a placement towards its team's usage and its machine's."""
        spec = job.spec
        self.usage.take(spec)
        machine = self.machines.get(placement.machine)
        if machine:
            machine.take(placement, spec.cpus, spec.gpus, spec.memory_gb)

    def drop(self, placement: Placement, now: float) -> None:
        """Only on proof that the task is not, and will not be, on its machine."""
        self.stale = True
        job = self.jobs[placement.job]
        spec = job.spec
        self.usage.give_back(spec)
        machine = self.machines.get(placement.machine)
        if machine:
            machine.give_back(placement, spec.cpus, spec.gpus, spec.memory_gb, now)

    def note_machine(self, name: str) -> None:
        """Its record may have to be written."""
        self.writer.changed_machines[name] = None

    def token(self, machine: Machine) -> int:
        return max(self.revision, machine.revision)

    # -- changes of a task's state --------------------------------------------------------------

    def place(self, job: Job, task: int, machine: Machine, attempt: int, now: float) -> None:
        placement = job.place(task, machine.name, attempt, now)
        self.placed += 1
        self.count(job, placement)

    def release(self, placement: Placement, now: float) -> None:
        """Take in that a placement is proved gone; its task is ready again."""
        job = self.jobs[placement.job]
        self.drop(placement, now)
        job.release(placement.task)
        if job.spec.kind == "gang":
            self._gang_settled(job, now)

    def finish(self, job: Job, task: int, now: float) -> None:
        placement = job.unplace(task)
        if placement:
            self.drop(placement, now)
        if job.states[task] != TaskState.DONE:
            job.finish(task)
        job.changed()
        if job.complete and job.active:
            self.complete(job, now)

    def stop(self, placement: Placement, why: str, grace_s: float, now: float) -> None:
        if placement.never_sent:
            self.release(placement, now)
            return
        placement.stop(why, grace_s, now)
        self.urgent[placement.machine] = None

    def lost(self, placement: Placement, why: str, now: float) -> None:
        """Its stop is confirmed though nobody asked for it; costs it neither count nor clock."""
        job = self.jobs[placement.job]
        if placement.phase is not Phase.STOPPING:
            log.info(
                "job %s task %d lost on %s: %s", job.id, placement.task, placement.machine, why
            )
        if job.spec.kind == "gang" and job.active and not job.breaking:
            self.break_gang(job, why, now)
        if job.live.get(placement.task) is placement:
            self.release(placement, now)

    def break_gang(self, job: Job, why: str, now: float, grace_s: float = 0.0) -> None:
        """Stop a gang's attempt as a whole."""
        job.breaking = why
        for placement in list(job.live.values()):
            if job.live.get(placement.task) is placement:
                self.stop(placement, why, grace_s, now)
        self._gang_settled(job, now)

    def _gang_settled(self, job: Job, now: float) -> None:
        """All its tasks are confirmed gone: the gang waits, or is parked, as a whole."""
        if job.live or not job.breaking:
            return
        job.breaking = None
        failure, job.broke = job.broke, None
        if failure and job.active:
            self.failures.retry(job, list(range(job.spec.tasks)), failure, now)

    # -- stopping -------------------------------------------------------------------------------

    def grace_s(self, spec: JobSpec) -> float:
        return spec.save_s + self.workers.gang_peer_s if spec.checkpoint_s > 0 else 0.0

    def preempt(self, job: Job, tasks: list[int], why: str, now: float) -> None:
        """Stop work so that what it has can be saved; a gang as a whole and in time."""
        grace_s = self.grace_s(job.spec)
        if job.spec.kind == "gang":
            if not job.breaking:
                self.break_gang(job, why, now, grace_s)
            return
        for task in tasks:
            placement = job.live.get(task)
            if placement and placement.phase is not Phase.STOPPING:
                self.stop(placement, why, grace_s, now)

    def drain(self, machine: Machine, now: float) -> None:
        for placement in list(machine.live.values()):
            if (
                placement.phase is not Phase.STOPPING
                and machine.live.get(placement.key) is placement
            ):
                self.preempt(
                    self.jobs[placement.job], [placement.task], machine.why or "drained", now
                )

    def taken_back(self, machine: Machine, notice: float, now: float) -> None:
        if machine.reclaim_at is None:
            log.info("machine %s is being taken back in %.1f s", machine.name, notice)
        machine.reclaim_at = now + notice
        machine.leave("recalled")
        for placement in list(machine.live.values()):
            if machine.live.get(placement.key) is not placement or placement.recalled:
                continue
            placement.recalled = True
            job = self.jobs[placement.job]
            # What cannot save in time had better go on: it may finish first.
            if (
                job.active and job.spec.checkpoint_s > 0 and job.spec.save_s < notice
            ) or placement.status != "running":
                self.preempt(job, [placement.task], "machine taken back", now)

    def cancel(self, job_id: str, at: float, revision: int, now: float) -> None:
        job = self.jobs.get(job_id)
        if job is None or job.phase in (JobPhase.CANCELLED, JobPhase.FINAL):
            return
        log.info("job %s is cancelled; %d tasks to stop", job_id, len(job.live))
        job.cancel(at)
        self.classes.attainment.withdrawn(job_id)
        job.revision = max(job.revision, revision)
        job.breaking = None
        self.dependency_tracker.cancelled(job, now)
        if not job.done:
            # Most that fail until they are cancelled were submitted with a mistake.
            self.failures.exonerate(job)
        self.ending[job_id] = job
        self.parks.drop(job_id)
        for placement in list(job.live.values()):
            self.stop(placement, "cancelled", 0.0, now)

    def machine_gone(self, name: str, now: float) -> None:
        """Its key is deleted, which happens only on proof: released with 200, or listed as failed."""
        machine = self.machines.pop(name, None)
        if machine is None:
            return
        for placement in list(machine.live.values()):
            if machine.live.get(placement.key) is placement:
                self.lost(placement, "machine gone", now)
        for where in self.orphaned_tasks.values():
            where.discard(name)
        self.orphaned_tasks = {job: where for job, where in self.orphaned_tasks.items() if where}

    # -- time -----------------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Do the periodic work that is due."""
        self.maintenance.run(now)

    def decommission(self, machine: Machine, why: str) -> None:
        """Give a machine up durably, so that the leader releases it; the reason is stored."""
        if machine.phase is MachinePhase.DECOMMISSIONED:
            return
        log.info("machine decommissioned: machine=%s reason=%s", machine.name, why)
        machine.decommission(why)
        machine.decommission_generation = 1
        self.note_machine(machine.name)

    def zone_of(self, machine: str) -> str:
        known = self.machines.get(machine)
        return known.zone if known else "?"
