"""What a worker's report proves of a shard's tasks: judged against what was ordered, and under which token."""

from __future__ import annotations

import logging
from typing import Protocol

from ashdock.core.estimates import Estimates
from ashdock.core.job import Job
from ashdock.core.machine import Machine, MachinePhase
from ashdock.core.task import Failure, Phase, Placement
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
    """What of a shard a report may touch: its jobs, its machines, and the changes of state that follow from what is proved."""

    jobs: dict[str, Job]
    machines: dict[str, Machine]
    workers: Workers
    orphaned_tasks: dict[str, set[str]]
    stale: bool
    classes: Classes

    def token(self, machine: Machine) -> int: ...

    def finish(self, job: Job, task: int, now: float) -> None: ...

    def lost(self, placement: Placement, why: str, now: float) -> None: ...

    def own_failure(self, machine: Machine, placement: Placement, why: str, now: float) -> None: ...

    def stop(self, placement: Placement, why: str, grace_s: float, now: float) -> None: ...

    def lapses(self, machine: Machine, now: float) -> bool: ...

    def taken_back(self, machine: Machine, notice: float, now: float) -> None: ...

    def orders(
        self, machine: Machine, now: float, checkin: Heartbeat | None
    ) -> list[TaskCommand]: ...


class HeartbeatReconciler:
    def __init__(self, shard: ReconciledShard, estimates: Estimates) -> None:
        self.shard = shard
        self.estimates = estimates

    def on_heartbeat(
        self, report: Heartbeat, now: float, checkin: bool
    ) -> list[TaskCommand] | None:
        """Take a worker's report in; the answer's orders, or None if we may not answer."""
        machine = self.shard.machines.get(report.machine)
        if machine is None:
            return None
        token = self.shard.token(machine)
        if report.fencing_token > token:
            return None
        newer = (report.incarnation, report.sequence) > (machine.incarnation, machine.sequence)
        if not newer:
            return []
        if machine.phase is MachinePhase.EXPECTED:
            self.shard.stale = True
        machine.came_up(report.address)
        machine.inherited = False
        machine.last_at = now
        machine.fencing_token = report.fencing_token
        if machine.incarnation and report.incarnation > machine.incarnation:
            self._incarnation_ended(machine, report, now)
        machine.incarnation, machine.sequence = report.incarnation, report.sequence
        machine.outstanding = {
            key: sent for key, sent in machine.outstanding.items() if sent >= report.fencing_token
        }
        if report.reclaim_in_s is not None:
            self.shard.taken_back(machine, report.reclaim_in_s, now)
        self._match(machine, report, now, checkin and report.fencing_token >= token)
        if checkin and self.shard.lapses(machine, now):
            return None
        return self.shard.orders(machine, now, report if checkin else None)

    def _incarnation_ended(self, machine: Machine, report: Heartbeat, now: float) -> None:
        """The worker's lease ended: it killed and forgot all that it had."""
        log.info(
            "machine %s is in session %d: its tasks are gone", machine.name, report.incarnation
        )
        # Only what we placed ourselves, and ordered or saw in an earlier session: no order of ours is for this one. What an earlier
        # owner placed it may have started in this session, whatever we have ordered or seen of it in the one before: that was noted
        # when the machine was lent, or told by a late report (docs/incidents/ended-again-and-again.md). For those a report under our token that lacks them is proof.
        machine.ended.clear()
        machine.outstanding.clear()  # they name the old session
        for placement in list(machine.live.values()):
            if (
                placement.from_earlier_owner
                or placement.incarnation is None
                or placement.key not in machine.live
            ):
                continue
            if placement.incarnation < report.incarnation:
                self.shard.lost(placement, "worker lost its controllers", now)

    def _match(self, machine: Machine, report: Heartbeat, now: float, proof: bool) -> None:
        held: dict[tuple[str, int, int], TaskReport] = {}
        for item in report.tasks:
            held[(*split_task(item.task), item.attempt)] = item
        machine.reported = len(held)
        ended: set[tuple[str, int, int]] = set()
        for placement in list(machine.live.values()):
            if machine.live.get(placement.key) is not placement:
                continue  # dropped with its gang a moment ago
            key = (placement.job, placement.task, placement.attempt)
            found = held.pop(key, None)
            if found is None:
                if proof and key not in machine.outstanding and self._absent(placement, report):
                    if placement.phase is Phase.STOPPING or placement.seen:
                        self.shard.lost(placement, placement.why or "not on its machine", now)
                continue
            if found.status == TaskStatus.ENDED:
                ended.add(key)
                self._ended(machine, placement, found, now)
            else:
                placement.reported(found.status, report.incarnation, now)
                if placement.running_at == now:
                    self._runs(placement, now)
                spec = self.shard.jobs[placement.job].spec
                if found.status == TaskStatus.PULLING:
                    machine.lacks(spec.image)
                else:
                    machine.uses(spec.image, spec.image_gb)
        orphaned_tasks: dict[tuple[str, int], int] = {}
        for key, item in held.items():
            if item.status == TaskStatus.ENDED:
                ended.add(key)
                job = self.shard.jobs.get(key[0])
                if (
                    item.cause == TaskCause.DONE
                    and job
                    and job.active
                    and 0 <= key[1] < job.spec.tasks
                ):
                    self._done_elsewhere(job, key[1], now)
            else:
                orphaned_tasks[key[0], key[1]] = key[2]
        for job_id in sorted({job for job, _ in [*machine.orphaned_tasks, *orphaned_tasks]}):
            here = any(job_id == other for other, _ in orphaned_tasks)
            where = self.shard.orphaned_tasks.setdefault(job_id, set())
            (where.add if here else where.discard)(machine.name)
            if not where:
                del self.shard.orphaned_tasks[job_id]
        machine.orphaned_tasks = orphaned_tasks
        machine.ended = ended

    def _runs(self, placement: Placement, now: float) -> None:
        job = self.shard.jobs[placement.job]
        self.shard.classes.attainment.started(job.id, 1, now)
        if job.started_at is None:
            job.started_at = now
            waited = placement.placed_at - job.since
            log.info(
                "job %s (%s) runs %.1f s after it %s: %.1f s for room, %.1f s on the way",
                job.id,
                job.spec.job_class,
                now - job.since,
                "could start" if job.spec.dependencies else "was accepted",
                waited,
                now - placement.placed_at,
            )

    def _absent(self, placement: Placement, report: Heartbeat) -> bool:
        """Whether a report under our token that lacks the task proves that it is not, and will not be, there."""
        if (
            placement.start_answered is not None
            and (report.incarnation, report.sequence) <= placement.start_answered
        ):
            return False
        return placement.phase >= Phase.START_SENT

    def _done_elsewhere(self, job: Job, task: int, now: float) -> None:
        if job.spec.kind == JobKind.SERVICE:
            return
        for other in range(job.spec.tasks) if job.spec.kind == JobKind.GANG else (task,):
            placement = job.live.get(other)
            if placement is not None and job.spec.kind != JobKind.GANG:
                self.shard.stop(placement, "done already", 0.0, now)
                continue
            self.shard.finish(job, other, now)

    def _ended(self, machine: Machine, placement: Placement, item: TaskReport, now: float) -> None:
        job = self.shard.jobs[placement.job]
        cause = item.cause or TaskCause.ERROR
        if cause == TaskCause.DONE and job.spec.kind != JobKind.SERVICE and job.active:
            machine.failed.clear()
            machine.uses(job.spec.image, job.spec.image_gb)
            self.estimates.learn(job, placement, now)
            tasks = range(job.spec.tasks) if job.spec.kind == JobKind.GANG else (placement.task,)
            for task in tasks:
                self.shard.finish(job, task, now)
            job.breaking = job.broke = None
        elif (
            cause in (TaskCause.ERROR, TaskCause.NO_SUCH)
            and placement.phase is not Phase.STOPPING
            and job.active
        ):
            self.shard.own_failure(machine, placement, cause, now)
        else:
            if cause == TaskCause.NO_ROOM:
                machine.no_room_until = now + self.shard.workers.report_s
            if cause == TaskCause.ERROR:
                job.broke = job.broke or (
                    Failure(0, now, f"error on {machine.name}")
                    if job.spec.kind == JobKind.GANG
                    else None
                )
            self.shard.lost(placement, cause, now)
