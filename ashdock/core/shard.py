"""A shard: one team with its jobs, parks and assigned machines, in the memory of its one owner.

No input or output happens here. Heartbeats, wake-ups and changes seen elsewhere come in as calls; what is to be written comes out
as transactions (`shard_writer.py`), what is to be sent as commands (`task_commands.py`). A start is let out only once its
placement is durable, and a placement counts until its end is proved.
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
from ashdock.core.shard_status import ResourceRequest
from ashdock.core.shard_writer import ShardWriter
from ashdock.core.status_reporter import StatusReporter
from ashdock.core.task import Phase, Placement, TaskState
from ashdock.core.task_commands import TaskCommands
from ashdock.core.task_failures import FailureHandler
from ashdock.core.write_limits import WriteLimits
from ashdock.fairness.classes import Classes
from ashdock.settings import Operators, Shared, Team
from ashdock.wire.messages import JobKind, JobSpec, JobStatus, MachineType, TaskStatus

log = logging.getLogger("ashdock.shard")


class Shard:
    """The state of a shard, and the changes that keep it consistent.

    Attributes:
        revision: of the claim; it is in the condition of every write.
        chunk_tasks: tasks to a chunk as versions before had it, whatever the store's limits come to be.
        orphaned_tasks: by job, the machines where it runs without a placement.
        reserved: empty machines kept for a gang that lacks others.
        seen_revision: the latest assignment of a machine that is taken in here.
        scheduled_revision: what was seen when the last scheduling cycle began.
        urgent: machines with commands that are not to wait for the next heartbeat.
        ending: cancelled jobs with tasks that may still be there.
        inherited_machines: how many were up for the owner before.
        recovered_at: when the shard had been read back.
        placed: how many tasks were placed since the claim.
        stale: whether room or work has come up since the last scheduling cycle.
        clock: the time as last passed in.
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
        """Begin empty.

        Args:
            team: the team.
            revision: of the claim.
            shared: the deployment's settings.
            operators: the operators' configuration.
            catalog: the machine types by name.
            rng: for the retries' jitter.
            write_limits: what the store takes; by default the settings' limits.
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
        self.chunk_tasks = chunk_size(shared.state.value_kb)
        self.dependency_tracker = DependencyTracker(self)
        self.orphaned_tasks: dict[str, set[str]] = {}
        self.resource_requests: list[ResourceRequest] = []
        self.lacked_room_before = False
        self.reserved: set[str] = set()
        self.seen_revision = revision
        self.scheduled_revision = revision
        self.urgent: dict[str, None] = {}
        self.writer = ShardWriter(self)
        self.ending: dict[str, Job] = {}
        self.inherited_machines = 0
        self.recovered_at = -math.inf
        self.placed = 0
        self.stale = True
        self.clock = -math.inf
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
        """Take in a job's record, unless the job is known already.

        Args:
            record: `job/<id>`.
            revision: its revision.
            started: whether tasks of it have been placed before, so that all its dependencies are known to be done.
        """
        spec = spec_of_record(record)
        known = self.jobs.get(spec.id)
        if known:
            return known
        width = (
            min(self.chunk_tasks, self.write_limits.typical_chunk_tasks)
            if self.write_limits.announced_apply
            else self.chunk_tasks
        )
        job = Job(spec, record["at"], revision, width, self.chunk_tasks)
        job.listener = self.writer.changed_jobs
        self.stale = True
        job.reason = record.get("reason")
        self.jobs[spec.id] = job
        if record["status"] == JobStatus.WITHDRAWN:
            self.ending[spec.id] = job
            job.cancel(record.get("cancelled_at", record["at"]))
        elif spec.dependencies and not started:
            self.dependency_tracker.add(job)
        job.inherited = self.dependency_tracker.graph.urgency_of(spec.id)
        return job

    def complete(self, job: Job, now: float) -> None:
        """Take in that all tasks of a job are done."""
        self.classes.record_done(job.id, now)
        job.over(now if self.write_limits.announced_apply else None)

    def add_machine(self, name: str, value: dict[str, Any], revision: int, now: float) -> None:
        """Take in the record of a machine that is assigned here; of a known one, what the leader may have changed."""
        shape = self.catalog.get(value["t"])
        self.seen_revision = max(self.seen_revision, revision)
        known = self.machines.get(name)
        if known:
            if revision > known.revision:
                known.revision = revision
                if value.get("x"):
                    known.decommission(value["x"])
            return
        if shape is None:
            log.error("machine type not in the catalog: machine=%s type=%s", name, value["t"])
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
        """Stop counting a placement; only on proof that its task is not, and will not be, on the machine."""
        self.stale = True
        job = self.jobs[placement.job]
        spec = job.spec
        self.usage.give_back(spec)
        machine = self.machines.get(placement.machine)
        if machine:
            machine.give_back(placement, spec.cpus, spec.gpus, spec.memory_gb, now)

    def note_machine(self, name: str) -> None:
        """Have a machine's record looked at by the next transaction, since it may have to be written."""
        self.writer.changed_machines[name] = None

    def token(self, machine: Machine) -> int:
        """The fencing token for commands to the machine."""
        return max(self.revision, machine.revision)

    # -- changes of a task's state --------------------------------------------------------------

    def place(self, job: Job, task: int, machine: Machine, attempt: int, now: float) -> None:
        """Place a task; its start waits until the placement is durable."""
        placement = job.place(task, machine.name, attempt, now)
        self.placed += 1
        self.count(job, placement)

    def release(self, placement: Placement, now: float) -> None:
        """Take in that a placement is proved gone; its task is ready again."""
        job = self.jobs[placement.job]
        self.drop(placement, now)
        job.release(placement.task)
        if job.spec.kind == JobKind.GANG:
            self._gang_settled(job, now)

    def finish(self, job: Job, task: int, now: float) -> None:
        """Take in that a task is done, whichever attempt of it was."""
        placement = job.unplace(task)
        if placement:
            self.drop(placement, now)
        if job.states[task] != TaskState.DONE:
            job.finish(task)
        job.changed()
        if job.complete and job.active:
            self.complete(job, now)

    def stop(self, placement: Placement, why: str, grace_s: float, now: float) -> None:
        """Stop a placement, with so many seconds to save; one whose start was never sent is released at once."""
        if placement.never_sent:
            self.release(placement, now)
            return
        placement.stop(why, grace_s)
        self.urgent[placement.machine] = None

    def lost(self, placement: Placement, why: str, now: float) -> None:
        """Take in that a placement is proved gone by no fault of its task; that does not count as a failure of its own."""
        job = self.jobs[placement.job]
        if placement.phase is not Phase.STOPPING:
            log.info(
                "task lost: job=%s task=%d machine=%s reason=%s",
                job.id,
                placement.task,
                placement.machine,
                why,
            )
        if job.spec.kind == JobKind.GANG and job.active and not job.breaking:
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
        """Once all tasks of a gang's attempt are proved gone, have it wait or parked as a whole."""
        if job.live or not job.breaking:
            return
        job.breaking = None
        failure, job.broke = job.broke, None
        if failure and job.active:
            self.failures.retry(job, list(range(job.spec.tasks)), failure, now)

    # -- stopping -------------------------------------------------------------------------------

    def grace_s(self, spec: JobSpec) -> float:
        """How many seconds a stopped task of the job may save; a gang's tasks wait for one another."""
        return spec.save_s + self.workers.gang_peer_s if spec.checkpoint_s > 0 else 0.0

    def preempt(self, job: Job, tasks: list[int], why: str, now: float) -> None:
        """Stop tasks with time to save; a gang as a whole."""
        grace_s = self.grace_s(job.spec)
        if job.spec.kind == JobKind.GANG:
            if not job.breaking:
                self.break_gang(job, why, now, grace_s)
            return
        for task in tasks:
            placement = job.live.get(task)
            if placement and placement.phase is not Phase.STOPPING:
                self.stop(placement, why, grace_s, now)

    def drain(self, machine: Machine, now: float) -> None:
        """Evict all tasks of a machine gracefully."""
        for placement in list(machine.live.values()):
            if (
                placement.phase is not Phase.STOPPING
                and machine.live.get(placement.key) is placement
            ):
                self.preempt(
                    self.jobs[placement.job], [placement.task], machine.why or "drained", now
                )

    def on_spot_reclaim(self, machine: Machine, notice_s: float, now: float) -> None:
        """Take in that the cloud takes a spot instance back: evict what can save in time, or does not run yet."""
        if machine.reclaim_at is None:
            log.info(
                "spot instance taken back by the cloud: machine=%s in_s=%.1f",
                machine.name,
                notice_s,
            )
        machine.reclaim_at = now + notice_s
        machine.leave("recalled")
        for placement in list(machine.live.values()):
            if machine.live.get(placement.key) is not placement or placement.reclaim_handled:
                continue
            placement.reclaim_handled = True
            job = self.jobs[placement.job]
            # What cannot save in time goes on: it may finish first.
            if (
                job.active and job.spec.checkpoint_s > 0 and job.spec.save_s < notice_s
            ) or placement.status != TaskStatus.RUNNING:
                self.preempt(job, [placement.task], "machine taken back", now)

    def cancel(self, job_id: str, at: float, revision: int, now: float) -> None:
        """Take in a cancellation that was confirmed at `at`, and stop the tasks of its job."""
        job = self.jobs.get(job_id)
        if job is None or job.phase in (JobPhase.CANCELLED, JobPhase.FINAL):
            return
        log.info("job cancelled: job=%s tasks_to_stop=%d", job_id, len(job.live))
        job.cancel(at)
        self.classes.attainment.record_cancelled(job_id)
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
        """Take in that a machine's record is deleted.

        That happens only on proof that it is gone: the cloud answered its release with 200, or listed it as failed.
        """
        machine = self.machines.pop(name, None)
        if machine is None:
            return
        for placement in list(machine.live.values()):
            if machine.live.get(placement.key) is placement:
                self.lost(placement, "machine gone", now)
        for machine_names in self.orphaned_tasks.values():
            machine_names.discard(name)
        self.orphaned_tasks = {
            job_id: machine_names
            for job_id, machine_names in self.orphaned_tasks.items()
            if machine_names
        }

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
        """The zone of a machine; "?" if it is not known any more."""
        known = self.machines.get(machine)
        return known.zone if known else "?"
