"""A shard: one team with its jobs, parks and assigned machines, in the memory of its one owner.

No input or output happens here. Heartbeats, timer ticks and changes seen in the store come in as
calls. Writes go out as transactions (`shard_writer.py`) and messages to workers as commands
(`task_commands.py`). A run command goes out only once its placement is durable, and a placement
counts until its task's end is proved.
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
from ashdock.core.job import Job, JobPhase, spec_of_record, tasks_per_chunk
from ashdock.core.machine import Machine, MachinePhase
from ashdock.core.park import Parks
from ashdock.core.quota import Usage
from ashdock.core.scheduler import Scheduler
from ashdock.core.scheduling_policy import SchedulingPolicy
from ashdock.core.shard_maintenance import ShardMaintenance
from ashdock.core.shard_recovery import StoredEntry, rebuild
from ashdock.core.shard_status import ResourceRequest
from ashdock.core.shard_writer import ShardWriter
from ashdock.core.status_reporter import StatusReporter
from ashdock.core.task import Placement, PlacementPhase, TaskState
from ashdock.core.task_commands import TaskCommands
from ashdock.core.task_failures import FailureHandler
from ashdock.core.write_backlog import WriteBacklog
from ashdock.core.write_limits import WriteLimits
from ashdock.fairness.classes import Classes
from ashdock.settings import Operators, Shared, Team
from ashdock.wire.messages import JobKind, JobSpec, JobStatus, MachineType, TaskStatus

log = logging.getLogger("ashdock.shard")


class Shard:
    """The state of a shard, and the changes that keep it consistent.

    Attributes:
        revision: Revision of the claim; every write is conditional on it.
        chunk_tasks: Number of tasks per chunk in the record format of earlier versions. It does not
            change when the store's limits do.
        orphaned_tasks: Names of the machines where a job runs without a placement, by job id.
        resource_requests: Capacity that the last scheduling cycle found lacking.
        had_resource_requests: Whether there were resource requests when it was last decided whether
            the leader is told of them at once.
        reserved: Names of machines with free capacity that are kept for a gang that lacks more.
        seen_revision: Revision of the latest machine assignment that was applied here.
        scheduled_revision: `seen_revision` when the last scheduling cycle began.
        urgent_machines: Names of machines with commands that do not wait for the next heartbeat.
        cancelled_jobs: Cancelled jobs whose tasks may still run, by id.
        inherited_machines: Number of machines that were up for the previous owner.
        recovered_at: Time at which the shard had been rebuilt from the store.
        tasks_placed: Number of tasks placed since the claim.
        needs_scheduling: Whether free capacity or work may have appeared since the last scheduling
            cycle.
        current_time: The time last passed to `tick` or `load`.
    """

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
        """Create an empty shard.

        Args:
            team: The team.
            revision: Revision of the claim.
            shared: The deployment's settings.
            operators: The operators' configuration.
            catalog: Machine types by name.
            rng: Source of the retry delays' jitter.
            write_limits: Limits of the store; by default those of the settings.
        """
        self.team = team
        self.name = team.name
        self.revision = revision
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
        self.chunk_tasks = tasks_per_chunk(shared.state.value_kb)
        self.dependency_tracker = DependencyTracker(self)
        self.orphaned_tasks: dict[str, set[str]] = {}
        self.resource_requests: list[ResourceRequest] = []
        self.had_resource_requests = False
        self.reserved: set[str] = set()
        self.seen_revision = revision
        self.scheduled_revision = revision
        self.urgent_machines: dict[str, None] = {}
        self.writer = ShardWriter(self)
        self.write_backlog = WriteBacklog(team.name, shared.workers.cancel_s)
        self.cancelled_jobs: dict[str, Job] = {}
        self.inherited_machines = 0
        self.recovered_at = -math.inf
        self.tasks_placed = 0
        self.needs_scheduling = True
        self.current_time = -math.inf
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
        """Fill the shard from the store after its claim; see `shard_recovery.rebuild`."""
        rebuild(self, machines, work, parks, now)

    def add_job(self, record: dict[str, Any], revision: int, started: bool = False) -> Job:
        """Add a job from its record, unless the job is known already.

        Args:
            record: Value of `job/<id>`.
            revision: Revision of the record.
            started: Whether tasks of the job were placed before, so that all its dependencies are
                known to be done.

        Returns:
            The job.
        """
        spec = spec_of_record(record)
        known = self.jobs.get(spec.id)
        if known:
            return known
        chunk_tasks = (
            min(self.chunk_tasks, self.write_limits.typical_chunk_tasks)
            if self.write_limits.announced_apply
            else self.chunk_tasks
        )
        job = Job(spec, record["at"], revision, chunk_tasks, self.chunk_tasks)
        job.changed_jobs = self.writer.changed_jobs
        self.needs_scheduling = True
        job.reason = record.get("reason")
        self.jobs[spec.id] = job
        if record["status"] == JobStatus.WITHDRAWN:
            self.cancelled_jobs[spec.id] = job
            job.cancel(record.get("cancelled_at", record["at"]))
        elif spec.dependencies and not started:
            self.dependency_tracker.add(job)
        job.inherited = self.dependency_tracker.graph.urgency_of(spec.id)
        return job

    def complete_job(self, job: Job, now: float) -> None:
        """Complete a job, all of whose tasks are done."""
        self.classes.record_done(job.id, now)
        job.mark_over(now if self.write_limits.announced_apply else None)

    def add_machine(self, name: str, value: dict[str, Any], revision: int, now: float) -> None:
        """Add a machine that is assigned here.

        Of a machine that is known already, only the revision and a decommission are taken from the
        record: the leader changes nothing else of it.

        Args:
            name: Name of the machine.
            value: Its record.
            revision: Revision of the record.
            now: Seconds since the epoch.
        """
        machine_type = self.catalog.get(value["t"])
        self.seen_revision = max(self.seen_revision, revision)
        known = self.machines.get(name)
        if known:
            if revision > known.revision:
                known.revision = revision
                if value.get("x"):
                    known.decommission(value["x"])
            return
        if machine_type is None:
            log.error("machine type not in the catalog: machine=%s type=%s", name, value["t"])
            return
        self.machines[name] = Machine(name, value, revision, machine_type, now)

    # -- accounting ---------------------------------------------------------------------------

    def count_placement(self, job: Job, placement: Placement) -> None:
        """Count a placement towards the usage of its team and of its machine."""
        spec = job.spec
        self.usage.add(spec)
        machine = self.machines.get(placement.machine)
        if machine:
            machine.allocate(placement, spec.cpus, spec.gpus, spec.memory_gb)

    def drop_placement(self, placement: Placement, now: float) -> None:
        """Stop counting a placement.

        Call this only on proof that the task is not on the machine and will not start there.
        """
        self.needs_scheduling = True
        job = self.jobs[placement.job]
        spec = job.spec
        self.usage.subtract(spec)
        machine = self.machines.get(placement.machine)
        if machine:
            machine.deallocate(placement, spec.cpus, spec.gpus, spec.memory_gb, now)

    def mark_machine_changed(self, name: str) -> None:
        """Mark a machine's record as changed, so that the next transaction may write it."""
        self.writer.changed_machines[name] = None

    def token(self, machine: Machine) -> int:
        """Return the fencing token for commands to the machine."""
        return max(self.revision, machine.revision, machine.raised_token)

    def raise_token(self, machine: Machine) -> None:
        """Raise the fencing token for commands to the machine.

        It becomes the revision of this owner's latest transaction. That was conditional on the
        claim, so every later claim, and every later record of the machine, has a higher revision:
        the next owner's token is higher. Only if that transaction is not later than the token, or
        the machine may have been transferred meanwhile, its record is written instead.
        """
        revision = self.writer.committed_revision
        if revision > self.token(machine) and not machine.transfer_may_apply:
            machine.raised_token = revision
            log.debug("fencing token raised: machine=%s token=%d", machine.name, revision)
            return
        machine.raise_token = True
        self.mark_machine_changed(machine.name)

    # -- changes of a task's state --------------------------------------------------------------

    def place(self, job: Job, task: int, machine: Machine, attempt: int, now: float) -> None:
        """Place a task; its run command waits until the placement is durable."""
        placement = job.place(task, machine.name, attempt, now)
        self.tasks_placed += 1
        self.count_placement(job, placement)

    def release(self, placement: Placement, now: float) -> None:
        """Remove a placement that is proved gone, and make its task ready again."""
        job = self.jobs[placement.job]
        log.debug(
            "placement released: job=%s task=%d attempt=%d machine=%s phase=%s",
            placement.job,
            placement.task,
            placement.attempt,
            placement.machine,
            placement.phase.name,
        )
        self.drop_placement(placement, now)
        job.release(placement.task)
        if job.spec.kind == JobKind.GANG:
            self._finish_stopped_gang(job, now)

    def finish(self, job: Job, task: int, now: float) -> None:
        """Record that a task is done, whichever of its attempts finished it."""
        placement = job.unplace(task)
        if placement:
            self.drop_placement(placement, now)
        if job.states[task] != TaskState.DONE:
            job.finish(task)
        job.mark_changed()
        if job.all_done and job.active:
            self.complete_job(job, now)

    def stop(self, placement: Placement, why: str, grace_s: float, now: float) -> None:
        """Stop a placement; one whose run command was never sent is released at once.

        Args:
            placement: The placement.
            why: The reason, for the log.
            grace_s: Seconds that the task has to save its state.
            now: Seconds since the epoch.
        """
        if placement.never_sent:
            self.release(placement, now)
            return
        placement.stop(why, grace_s)
        self.urgent_machines[placement.machine] = None

    def on_placement_lost(self, placement: Placement, why: str, now: float) -> None:
        """Handle a placement that is proved gone through no fault of its task.

        This does not count as a failure of the task. It stops a gang's whole attempt.
        """
        job = self.jobs[placement.job]
        if placement.phase is not PlacementPhase.STOPPING:
            log.info(
                "task lost: job=%s task=%d machine=%s reason=%s",
                job.id,
                placement.task,
                placement.machine,
                why,
            )
        if job.spec.kind == JobKind.GANG and job.active and not job.gang_stop_reason:
            self.break_gang(job, why, now)
        if job.live.get(placement.task) is placement:
            self.release(placement, now)

    def break_gang(self, job: Job, why: str, now: float, grace_s: float = 0.0) -> None:
        """Stop all tasks of a gang's attempt."""
        job.gang_stop_reason = why
        for placement in list(job.live.values()):
            if job.live.get(placement.task) is placement:
                self.stop(placement, why, grace_s, now)
        self._finish_stopped_gang(job, now)

    def _finish_stopped_gang(self, job: Job, now: float) -> None:
        """Once all tasks of a stopped attempt are proved gone, retry the gang if it failed."""
        if job.live or not job.gang_stop_reason:
            return
        job.gang_stop_reason = None
        failure, job.gang_failure = job.gang_failure, None
        if failure and job.active:
            self.failures.retry(job, list(range(job.spec.tasks)), failure, now)

    # -- stopping -------------------------------------------------------------------------------

    def grace_s(self, spec: JobSpec) -> float:
        """Return the seconds that a stopped task of the job has to save its state; 0 if it cannot.

        It includes `gang_peer_s`, because the tasks of a gang wait for one another.
        """
        return spec.save_s + self.workers.gang_peer_s if spec.checkpoint_s > 0 else 0.0

    def preempt(self, job: Job, tasks: list[int], why: str, now: float) -> None:
        """Stop tasks with time to save their state; of a gang, all tasks."""
        grace_s = self.grace_s(job.spec)
        if job.spec.kind == JobKind.GANG:
            if not job.gang_stop_reason:
                self.break_gang(job, why, now, grace_s)
            return
        for task in tasks:
            placement = job.live.get(task)
            if placement and placement.phase is not PlacementPhase.STOPPING:
                self.stop(placement, why, grace_s, now)

    def drain(self, machine: Machine, now: float) -> None:
        """Preempt all tasks of a machine, with time to save their state."""
        for placement in list(machine.live.values()):
            if (
                placement.phase is not PlacementPhase.STOPPING
                and machine.live.get(placement.key) is placement
            ):
                self.preempt(
                    self.jobs[placement.job],
                    [placement.task],
                    machine.leaving_reason or "drained",
                    now,
                )

    def on_spot_reclaim(self, machine: Machine, notice_s: float, now: float) -> None:
        """Handle a notice that the cloud reclaims a spot instance.

        Preempts the tasks that can save a checkpoint in time and those that do not run yet.

        Args:
            machine: The spot instance.
            notice_s: Seconds until it is reclaimed.
            now: Seconds since the epoch.
        """
        if machine.reclaim_at is None:
            log.info(
                "spot instance reclaimed by the cloud: machine=%s in_s=%.1f",
                machine.name,
                notice_s,
            )
        machine.reclaim_at = now + notice_s
        machine.cordon("spot reclaim")
        for placement in list(machine.live.values()):
            if machine.live.get(placement.key) is not placement or placement.reclaim_handled:
                continue
            placement.reclaim_handled = True
            job = self.jobs[placement.job]
            # A running task that cannot save in time continues: it may finish before the reclaim.
            if (
                job.active and job.spec.checkpoint_s > 0 and job.spec.save_s < notice_s
            ) or placement.status != TaskStatus.RUNNING:
                self.preempt(job, [placement.task], "spot instance reclaimed", now)

    def cancel(self, job_id: str, at: float, revision: int, now: float) -> None:
        """Apply a cancellation, and stop the tasks of its job.

        Args:
            job_id: Id of the job.
            at: When the cancellation was confirmed, in seconds since the epoch.
            revision: Revision of the job's record that has the cancellation.
            now: Seconds since the epoch.
        """
        job = self.jobs.get(job_id)
        if job is None or job.phase in (JobPhase.CANCELLED, JobPhase.FINAL):
            return
        log.info("job cancelled: job=%s tasks_to_stop=%d", job_id, len(job.live))
        job.cancel(at)
        self.classes.attainment.record_cancelled(job_id)
        job.revision = max(job.revision, revision)
        job.gang_stop_reason = None
        self.dependency_tracker.cancelled(job, now)
        if not job.done_count:
            # Most jobs that fail until they are cancelled were submitted with a mistake.
            self.failures.clear_machine_failures(job)
        self.cancelled_jobs[job_id] = job
        self.parks.remove_job(job_id)
        for placement in list(job.live.values()):
            self.stop(placement, "cancelled", 0.0, now)

    def remove_machine(self, name: str, now: float) -> None:
        """Remove a machine whose record was deleted.

        A record is deleted only on proof that the machine is gone: the cloud answered its release
        with 200, or listed it as failed.
        """
        machine = self.machines.pop(name, None)
        if machine is None:
            return
        for placement in list(machine.live.values()):
            if machine.live.get(placement.key) is placement:
                self.on_placement_lost(placement, "machine gone", now)
        for machine_names in self.orphaned_tasks.values():
            machine_names.discard(name)
        self.orphaned_tasks = {
            job_id: machine_names
            for job_id, machine_names in self.orphaned_tasks.items()
            if machine_names
        }

    # -- time -----------------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Run the periodic work that is due at `now`, in seconds since the epoch."""
        self.maintenance.run(now)

    def decommission(self, machine: Machine, why: str) -> None:
        """Give a machine up durably, so that the leader releases it; the reason is stored."""
        if machine.phase is MachinePhase.DECOMMISSIONED:
            return
        log.info("machine decommissioned: machine=%s reason=%s", machine.name, why)
        machine.decommission(why)
        machine.decommission_generation = 1
        self.mark_machine_changed(machine.name)

    def zone_of(self, machine: str) -> str:
        """Return the zone of a machine; "?" if it is no longer known."""
        known = self.machines.get(machine)
        return known.zone if known else "?"
