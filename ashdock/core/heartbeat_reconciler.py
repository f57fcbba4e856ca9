"""Reconciles a worker's heartbeat with a shard's placements.

A placement counts until its end is proved. What a heartbeat proves depends on what was sent to the worker, in which of its
incarnations, and under which fencing token; each method that takes an end for proved says why it may.
"""

from __future__ import annotations

import logging
from typing import Protocol

from ashdock.core.estimates import Estimates
from ashdock.core.job import Job
from ashdock.core.machine import Machine, MachinePhase
from ashdock.core.task import Failure, Phase, Placement
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


# Job, task and attempt. A plain tuple, since one is made for each task of each heartbeat.
AttemptKey = tuple[str, int, int]


class ReconciledShard(Protocol):
    """What a heartbeat may touch of a shard: its jobs, its machines, and the changes that follow from what is proved."""

    jobs: dict[str, Job]
    machines: dict[str, Machine]
    workers: Workers
    orphaned_tasks: dict[str, set[str]]
    stale: bool
    classes: Classes
    commands: TaskCommands
    failures: FailureHandler

    def token(self, machine: Machine) -> int:
        """The fencing token for commands to the machine."""
        ...

    def finish(self, job: Job, task: int, now: float) -> None:
        """Take in that a task is done."""
        ...

    def lost(self, placement: Placement, why: str, now: float) -> None:
        """Take in that a placement is proved gone, by no fault of its task."""
        ...

    def stop(self, placement: Placement, why: str, grace_s: float, now: float) -> None:
        """Stop a placement, with so many seconds to save."""
        ...

    def on_spot_reclaim(self, machine: Machine, notice_s: float, now: float) -> None:
        """Take in that the cloud takes a spot instance back, in so many seconds."""
        ...


class HeartbeatReconciler:
    """Takes heartbeats in, for one shard."""

    def __init__(self, shard: ReconciledShard, estimates: Estimates) -> None:
        """Reconcile for a shard; durations of what is done go into the estimates."""
        self.shard = shard
        self.estimates = estimates

    def on_heartbeat(
        self, heartbeat: Heartbeat, now: float, checkin: bool
    ) -> list[TaskCommand] | None:
        """Take a worker's heartbeat in.

        A heartbeat that is not newer than the last one proves nothing. One under a higher token than ours belongs to a
        later owner. One under a lower token may have been sent before commands of ours arrived: what it holds is taken
        in, what it lacks proves nothing. A message sent directly is over once the worker reports a higher token than it
        was sent under, since it is refused from then on.

        Args:
            heartbeat: the worker's status.
            now: the time.
            checkin: whether it came to be answered; if not, it was the answer to a direct message.

        Returns:
            The commands to answer with; None if it may not be answered, so that the worker's lease runs on.
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
        if checkin and self.shard.commands.lapses(machine, now):
            return None
        return self.shard.commands.orders(machine, heartbeat if checkin else None)

    def _update_machine(self, machine: Machine, heartbeat: Heartbeat, now: float) -> None:
        if machine.phase is MachinePhase.EXPECTED:
            self.shard.stale = True
        machine.came_up(heartbeat.address)
        machine.inherited = False
        machine.last_at = now
        machine.fencing_token = heartbeat.fencing_token
        if machine.incarnation and heartbeat.incarnation > machine.incarnation:
            self._incarnation_ended(machine, heartbeat, now)
        machine.incarnation, machine.sequence = heartbeat.incarnation, heartbeat.sequence
        machine.outstanding = {
            key: token
            for key, token in machine.outstanding.items()
            if token >= heartbeat.fencing_token
        }

    def _incarnation_ended(self, machine: Machine, heartbeat: Heartbeat, now: float) -> None:
        """Take in that the worker's lease had expired: it killed and forgot all that it had.

        That proves the end of placements of our own whose start was sent, or which were seen, in an earlier incarnation:
        a command names the incarnation that it is for, so none of ours can start them in the new one. It proves
        nothing for those of an earlier owner, which may have started them in the new incarnation, whatever was seen of
        them before (docs/incidents/ended-again-and-again.md). For those, a heartbeat under our token that lacks them
        is the proof.
        """
        log.info(
            "worker lost its tasks in a new incarnation: machine=%s incarnation=%d",
            machine.name,
            heartbeat.incarnation,
        )
        machine.ended.clear()
        machine.outstanding.clear()  # they name the old incarnation
        for placement in list(machine.live.values()):
            if (
                placement.from_earlier_owner
                or placement.incarnation is None
                or placement.key not in machine.live
            ):
                continue
            if placement.incarnation < heartbeat.incarnation:
                self.shard.lost(placement, "worker lost its controllers", now)

    def _reconcile_tasks(
        self, machine: Machine, heartbeat: Heartbeat, now: float, absence_proves: bool
    ) -> None:
        """Compare the tasks that a worker reports with what is placed on its machine.

        Args:
            machine: the worker's machine.
            heartbeat: what it reports.
            now: the time.
            absence_proves: whether it was sent under our token and to be answered, so that it had all commands before.
        """
        reported: dict[AttemptKey, TaskReport] = {
            (*split_task(report.task), report.attempt): report for report in heartbeat.tasks
        }
        machine.reported = len(reported)
        ended: set[AttemptKey] = set()
        for placement in list(machine.live.values()):
            if machine.live.get(placement.key) is not placement:
                continue  # dropped with its gang a moment ago
            attempt = (placement.job, placement.task, placement.attempt)
            report = reported.pop(attempt, None)
            if report is None:
                if (
                    absence_proves
                    and attempt not in machine.outstanding
                    and self._is_absent(placement, heartbeat)
                ):
                    self.shard.lost(placement, placement.why or "not on its machine", now)
            elif report.status == TaskStatus.ENDED:
                ended.add(attempt)
                self._on_ended(machine, placement, report, now)
            else:
                placement.reported(report.status, heartbeat.incarnation, now)
                if placement.running_at == now:
                    self._on_running(placement, now)
                spec = self.shard.jobs[placement.job].spec
                if report.status == TaskStatus.PULLING:
                    machine.lacks(spec.image)
                else:
                    machine.uses(spec.image, spec.image_gb)
        if reported or machine.orphaned_tasks:
            self._take_in_unplaced(machine, reported, ended, now)
        machine.ended = ended

    def _take_in_unplaced(
        self,
        machine: Machine,
        reported: dict[AttemptKey, TaskReport],
        ended: set[AttemptKey],
        now: float,
    ) -> None:
        """Take in what a worker reports beyond the placements: ended attempts (added to `ended`) and orphaned tasks."""
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
                now - job.since,
                "dependencies_done" if job.spec.dependencies else "submission",
                placement.placed_at - job.since,
                now - placement.placed_at,
            )

    @staticmethod
    def _is_absent(placement: Placement, heartbeat: Heartbeat) -> bool:
        """Whether a heartbeat under our token that lacks the task proves that it is not, and will not be, there.

        The worker takes no commands of earlier owners any more, and what it took before, it reports. Of our own starts
        none may be on its way: direct ones are outstanding (the caller looks), and one that went with an answer can
        arrive as long as the worker has not sent a later heartbeat than the one answered. A start that was sent, and
        neither reported nor stopped since, is simply repeated.
        """
        if (
            placement.start_answered is not None
            and (heartbeat.incarnation, heartbeat.sequence) <= placement.start_answered
        ):
            return False
        return placement.phase is Phase.STOPPING or (
            placement.seen and placement.phase >= Phase.START_SENT
        )

    def _on_done_unplaced(self, job: Job, task: int, now: float) -> None:
        """Take in that an attempt without a placement is done; its result counts.

        A worker says so only of an attempt that ran to its end, and a task needs to be done only once, so another
        attempt of it is stopped. A gang's tasks complete together: one that is done proves them all. A service is never
        done.
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
            self.shard.stop(placement, "done already", 0.0, now)

    def _on_ended(
        self, machine: Machine, placement: Placement, report: TaskReport, now: float
    ) -> None:
        """Take in that a placed attempt has ended. The worker's word is the proof, whatever the token: it does not restart it."""
        job = self.shard.jobs[placement.job]
        cause = report.cause or "error"
        if cause == TaskCause.DONE and job.spec.kind != JobKind.SERVICE and job.active:
            self._on_done(machine, job, placement, now)
            return
        if cause in ("error", "no_such") and placement.phase is not Phase.STOPPING and job.active:
            self.shard.failures.on_failure(machine, placement, cause, now)
            return
        if cause == TaskCause.NO_ROOM:
            machine.no_room_until = now + self.shard.workers.report_s
        if cause == TaskCause.ERROR and job.spec.kind == JobKind.GANG:
            job.broke = job.broke or Failure(0, now, f"error on {machine.name}")
        self.shard.lost(placement, cause, now)

    def _on_done(self, machine: Machine, job: Job, placement: Placement, now: float) -> None:
        """Take in a result; a gang's tasks complete together, so one that is done proves them all."""
        machine.failed.clear()
        machine.uses(job.spec.image, job.spec.image_gb)
        self.estimates.learn(job, placement, now)
        for task in range(job.spec.tasks) if job.spec.kind == JobKind.GANG else (placement.task,):
            self.shard.finish(job, task, now)
        job.breaking = job.broke = None
