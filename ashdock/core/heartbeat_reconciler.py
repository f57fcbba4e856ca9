"""Reconciles a worker's heartbeat with a shard's placements.

A placement counts until its end is proved. What a heartbeat proves depends on what was sent to the
worker, in which of its incarnations, and under which fencing token. Each method that accepts an end
as proved says why it may.
"""

from __future__ import annotations

import logging
from typing import Protocol

from ashdock.core.estimates import Estimates
from ashdock.core.job import Job
from ashdock.core.machine import Machine, MachinePhase
from ashdock.core.task import AttemptKey, Failure, Placement, PlacementPhase
from ashdock.core.task_commands import TaskCommands
from ashdock.core.task_failures import FailureHandler
from ashdock.fairness.classes import Classes
from ashdock.settings import Workers
from ashdock.wire.messages import (
    Heartbeat,
    JobKind,
    TaskCause,
    TaskCommand,
    TaskReport,
    TaskStatus,
    split_task,
)

log = logging.getLogger("ashdock.shard")


class ReconciledShard(Protocol):
    """The part of a shard that heartbeats read and change."""

    jobs: dict[str, Job]
    machines: dict[str, Machine]
    workers: Workers
    orphaned_tasks: dict[str, set[str]]
    needs_scheduling: bool
    classes: Classes
    commands: TaskCommands
    failures: FailureHandler

    def token(self, machine: Machine) -> int:
        """Return the fencing token for commands to the machine."""
        ...

    def finish(self, job: Job, task: int, now: float) -> None:
        """Mark a task as done."""
        ...

    def on_placement_lost(self, placement: Placement, why: str, now: float) -> None:
        """Drop a placement whose end is proved, and which did not fail of its own."""
        ...

    def stop(self, placement: Placement, why: str, grace_s: float, now: float) -> None:
        """Stop a placement; its task has `grace_s` seconds to save its state."""
        ...

    def on_spot_reclaim(self, machine: Machine, notice_s: float, now: float) -> None:
        """Handle the notice that the cloud reclaims a spot instance in `notice_s` seconds."""
        ...


class HeartbeatReconciler:
    """Applies heartbeats to one shard."""

    def __init__(self, shard: ReconciledShard, estimates: Estimates) -> None:
        """Reconcile for a shard; the estimates learn from the run times of tasks that are done."""
        self.shard = shard
        self.estimates = estimates

    def on_heartbeat(
        self, heartbeat: Heartbeat, now: float, checkin: bool
    ) -> list[TaskCommand] | None:
        """Apply a worker's heartbeat, and choose the commands to answer with.

        A heartbeat that is not newer than the last one proves nothing. One under a higher token
        than ours belongs to a later owner. One under a lower token may have been sent before
        commands of ours arrived: the tasks in it are taken into account, but a task that is missing
        proves nothing. A run command that was sent directly cannot take effect once the worker
        reports a higher token than it was sent under, since the worker refuses it from then on.

        Args:
            heartbeat: The worker's status.
            now: Seconds since the epoch.
            checkin: Whether the worker sent it as a request of its own. If not, it was the response
                to direct commands.

        Returns:
            The commands to answer with; None if it must not be answered, so that the worker's lease
            is not renewed.
        """
        machine = self.shard.machines.get(heartbeat.machine)
        if machine is None:
            return None
        token = self.shard.token(machine)
        if heartbeat.fencing_token > token:
            return None
        if (heartbeat.incarnation, heartbeat.sequence) <= (machine.incarnation, machine.sequence):
            return []
        self._update_machine(machine, heartbeat, now)
        if heartbeat.reclaim_in_s is not None:
            self.shard.on_spot_reclaim(machine, heartbeat.reclaim_in_s, now)
        self._reconcile_tasks(machine, heartbeat, now, checkin and heartbeat.fencing_token >= token)
        if checkin and self.shard.commands.lease_must_expire(machine, now):
            return None
        return self.shard.commands.commands_for(machine, heartbeat if checkin else None)

    def _update_machine(self, machine: Machine, heartbeat: Heartbeat, now: float) -> None:
        if machine.phase is MachinePhase.EXPECTED:
            self.shard.needs_scheduling = True
        machine.mark_up(heartbeat.address)
        machine.inherited = False
        machine.last_heartbeat_at = now
        machine.fencing_token = heartbeat.fencing_token
        if machine.incarnation and heartbeat.incarnation > machine.incarnation:
            self._incarnation_ended(machine, heartbeat, now)
        machine.incarnation, machine.sequence = heartbeat.incarnation, heartbeat.sequence
        machine.outstanding_runs.worker_has(heartbeat.fencing_token)

    def _incarnation_ended(self, machine: Machine, heartbeat: Heartbeat, now: float) -> None:
        """Handle a new incarnation: the worker's lease expired, it killed and forgot its tasks.

        That proves the end of our own placements that were sent, or reported, in an earlier
        incarnation: a command names the incarnation that it is for, so no earlier command of ours
        can start them in the new one. It proves nothing for placements of an earlier owner, which
        may have started them in the new incarnation, whatever was reported of them before
        (docs/incidents/ended-again-and-again.md). For those, the proof is a heartbeat under our
        token in which they are missing.
        """
        log.info(
            "worker lost its tasks in a new incarnation: machine=%s incarnation=%d",
            machine.name,
            heartbeat.incarnation,
        )
        machine.ended_attempts.clear()
        machine.outstanding_runs.clear()  # they are for the earlier incarnation
        for placement in list(machine.live.values()):
            if (
                placement.from_earlier_owner
                or placement.incarnation is None
                or placement.key not in machine.live
            ):
                continue
            if placement.incarnation < heartbeat.incarnation:
                self.shard.on_placement_lost(placement, "worker lease expired", now)

    def _reconcile_tasks(
        self, machine: Machine, heartbeat: Heartbeat, now: float, absence_proves: bool
    ) -> None:
        """Compare the tasks that a worker reports with the placements on its machine.

        Args:
            machine: The worker's machine.
            heartbeat: The worker's status.
            now: Seconds since the epoch.
            absence_proves: Whether a missing task can prove the end of its placement: the heartbeat
                is a request, sent under our token, so that the worker had all commands before.
        """
        reported: dict[AttemptKey, TaskReport] = {
            (*split_task(report.task), report.attempt): report for report in heartbeat.tasks
        }
        machine.reported_count = len(reported)
        ended: set[AttemptKey] = set()
        for placement in list(machine.live.values()):
            if machine.live.get(placement.key) is not placement:
                continue  # dropped with its gang in an earlier iteration
            attempt = (placement.job, placement.task, placement.attempt)
            report = reported.pop(attempt, None)
            if report is None:
                if (
                    absence_proves
                    and attempt not in machine.outstanding_runs
                    and self._is_absent(placement, heartbeat)
                ):
                    self.shard.on_placement_lost(
                        placement, placement.stop_reason or "not on its machine", now
                    )
            elif report.status == TaskStatus.ENDED:
                ended.add(attempt)
                self._on_ended(machine, placement, report, now)
            else:
                placement.record_report(report.status, heartbeat.incarnation, now)
                if placement.running_at == now:
                    self._on_running(placement, now)
                spec = self.shard.jobs[placement.job].spec
                if report.status == TaskStatus.PULLING:
                    machine.image_missing(spec.image)
                else:
                    machine.image_used(spec.image, spec.image_gb)
        if reported or machine.orphaned_tasks:
            self._reconcile_unplaced(machine, reported, ended, now)
        machine.ended_attempts = ended

    def _reconcile_unplaced(
        self,
        machine: Machine,
        reported: dict[AttemptKey, TaskReport],
        ended: set[AttemptKey],
        now: float,
    ) -> None:
        """Handle reports without a placement: ended attempts (added to `ended`), orphaned tasks."""
        orphaned: dict[tuple[str, int], int] = {}
        for (job_id, task, attempt), report in reported.items():
            if report.status != TaskStatus.ENDED:
                orphaned[job_id, task] = attempt
                continue
            ended.add((job_id, task, attempt))
            job = self.shard.jobs.get(job_id)
            if report.cause == TaskCause.DONE and job and job.active and 0 <= task < job.spec.tasks:
                self._on_done_unplaced(job, task, now)
        self._update_orphaned_tasks(machine, orphaned)

    def _update_orphaned_tasks(
        self, machine: Machine, orphaned: dict[tuple[str, int], int]
    ) -> None:
        orphaned_jobs = {job_id for job_id, _ in orphaned}
        for job_id in sorted({job_id for job_id, _ in machine.orphaned_tasks} | orphaned_jobs):
            machine_names = self.shard.orphaned_tasks.setdefault(job_id, set())
            if job_id in orphaned_jobs:
                machine_names.add(machine.name)
            else:
                machine_names.discard(machine.name)
            if not machine_names:
                del self.shard.orphaned_tasks[job_id]
        machine.orphaned_tasks = orphaned

    def _on_running(self, placement: Placement, now: float) -> None:
        job = self.shard.jobs[placement.job]
        self.shard.classes.attainment.record_started(job.id, 1, now)
        if job.started_at is None:
            job.started_at = now
            log.info(
                "job running: job=%s class=%s after_s=%.1f since=%s placing_s=%.1f starting_s=%.1f",
                job.id,
                job.spec.job_class,
                now - job.eligible_at,
                "dependencies_done" if job.spec.dependencies else "submission",
                placement.placed_at - job.eligible_at,
                now - placement.placed_at,
            )

    @staticmethod
    def _is_absent(placement: Placement, heartbeat: Heartbeat) -> bool:
        """Whether a heartbeat under our token without the task proves the end of its placement.

        The worker refuses commands of earlier owners from then on, and reports the tasks that they
        started before. That leaves our own run commands, of which none may be in flight. Direct
        ones are in `outstanding_runs`, which the caller checks; those that were answered do not
        count, since the worker reports what it started until it is told to forget it. One that was
        sent in a response can arrive until the worker has sent a later heartbeat than the one
        answered. A run command that was sent, while the task was neither reported nor stopped
        since, is simply repeated.
        """
        if (
            placement.start_answered is not None
            and (heartbeat.incarnation, heartbeat.sequence) <= placement.start_answered
        ):
            return False
        return placement.phase is PlacementPhase.STOPPING or (
            placement.worker_reported and placement.phase >= PlacementPhase.START_SENT
        )

    def _on_done_unplaced(self, job: Job, task: int, now: float) -> None:
        """Accept the result of a done attempt that has no placement.

        A worker reports an attempt as done only if it ran to its end, and a task has to be done
        only once, so another attempt of it is stopped. The tasks of a gang complete together: one
        that is done proves that all are. A service is never done.
        """
        if job.spec.kind == JobKind.SERVICE:
            return
        if job.spec.kind == JobKind.GANG:
            for other in range(job.spec.tasks):
                self.shard.finish(job, other, now)
            return
        placement = job.live.get(task)
        if placement is None:
            self.shard.finish(job, task, now)
        else:
            self.shard.stop(placement, "already done", 0.0, now)

    def _on_ended(
        self, machine: Machine, placement: Placement, report: TaskReport, now: float
    ) -> None:
        """Handle the end of a placed attempt.

        The report is proof under any token, because a worker does not restart an ended attempt.
        """
        job = self.shard.jobs[placement.job]
        cause = report.cause or "error"
        if cause == TaskCause.DONE and job.spec.kind != JobKind.SERVICE and job.active:
            self._on_done(machine, job, placement, now)
            return
        if (
            cause in ("error", "no_such")
            and placement.phase is not PlacementPhase.STOPPING
            and job.active
        ):
            self.shard.failures.on_failure(machine, placement, cause, now)
            return
        if cause == TaskCause.NO_ROOM:
            machine.no_room_until = now + self.shard.workers.report_s
        if cause == TaskCause.ERROR and job.spec.kind == JobKind.GANG:
            job.gang_failure = job.gang_failure or Failure(0, now, f"error on {machine.name}")
        self.shard.on_placement_lost(placement, cause, now)

    def _on_done(self, machine: Machine, job: Job, placement: Placement, now: float) -> None:
        """Accept a result; a gang's tasks complete together, so one proves that all are done."""
        machine.failed_jobs.clear()
        machine.image_used(job.spec.image, job.spec.image_gb)
        self.estimates.record_run(job, placement, now)
        for task in range(job.spec.tasks) if job.spec.kind == JobKind.GANG else (placement.task,):
            self.shard.finish(job, task, now)
        job.gang_stop_reason = job.gang_failure = None
