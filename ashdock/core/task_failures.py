"""Handling of tasks' own failures.

A failed task is retried in place or parked. A machine on which several jobs fail is quarantined.
"""

from __future__ import annotations

import logging
import random
from typing import Protocol

from ashdock.core.job import Job
from ashdock.core.machine import Machine, MachinePhase
from ashdock.core.park import Parks, decide_retry
from ashdock.core.task import Failure, Placement, ranges_of
from ashdock.settings import Retry
from ashdock.wire.messages import JobKind

log = logging.getLogger("ashdock.shard")

SUSPECT_FAILED_JOBS = 2  # a machine is suspect once so many different jobs failed there recently
RECENT_DIVISOR = 3  # a failure is recent for the retry horizon divided by this
QUARANTINE_DIVISOR = 4  # at most about one of so many machines may be in quarantine


class FailingShard(Protocol):
    """The part of a shard that failures read and change."""

    jobs: dict[str, Job]
    machines: dict[str, Machine]
    parks: Parks
    retry: Retry
    rng: random.Random

    def release(self, placement: Placement, now: float) -> None:
        """Drop a placement whose end is proved, and make its task ready again."""
        ...

    def break_gang(self, job: Job, why: str, now: float) -> None:
        """Stop a gang's attempt as a whole."""
        ...

    def drain(self, machine: Machine, now: float) -> None:
        """Preempt all tasks of a machine, with time to save their state."""
        ...

    def mark_machine_changed(self, name: str) -> None:
        """Have the next transaction check whether the machine's record must be written."""
        ...


class FailureHandler:
    """Handles the failures of one shard's tasks."""

    def __init__(self, shard: FailingShard) -> None:
        """Handle the failures of a shard."""
        self.shard = shard

    def on_failure(self, machine: Machine, placement: Placement, cause: str, now: float) -> None:
        """Handle a task's own failure on a machine; a gang's attempt is stopped as a whole."""
        job = self.shard.jobs[placement.job]
        reason = f"{cause} on {machine.name}"
        log.info(
            "task failed: job=%s task=%d attempt=%d reason=%s",
            job.id,
            placement.task,
            placement.attempt,
            reason,
        )
        self._count_against_machine(job, machine, now)
        failure = Failure(0, now, reason)
        if job.spec.kind != JobKind.GANG:
            self.shard.release(placement, now)
            self.retry(job, [placement.task], failure, now)
            return
        job.gang_failure = job.gang_failure or failure
        if not job.gang_stop_reason:
            self.shard.break_gang(job, "a task failed", now)
        if job.live.get(placement.task) is placement:
            self.shard.release(placement, now)

    def retry(self, job: Job, tasks: list[int], failure: Failure, now: float) -> None:
        """Retry tasks in place, or park them until their retry time.

        Args:
            job: The job.
            tasks: Its tasks that failed together, ascending: all of a gang, or one.
            failure: This failure; only its reason counts.
            now: Seconds since the epoch.
        """
        decision = decide_retry(
            self.shard.retry, job.failures.get(tasks[0]), failure.reason, now, self.shard.rng
        )
        subject = "the gang" if job.spec.kind == JobKind.GANG else f"task {tasks[0]}"
        if job.reason is None:
            # Users learn of a mistake in their submission with its first failure.
            job.set_reason(f"{subject} failed: {failure.reason}; tried again")
        if decision.step == "in_place":
            for task in tasks:
                job.set_failure(task, decision.failure)
            return
        for task in tasks:
            job.park(task, decision.failure)
        self.shard.parks.add(job.id, ranges_of(tasks), now + decision.delay_s, decision.failure)
        count = decision.failure.failure_count
        if decision.step == "past":
            job.set_reason(
                f"{subject} failed {count} times, last: {failure.reason}; still tried now and then"
            )
            log.info("retry episode exceeded its limits: job=%s reason=%s", job.id, job.reason)
            return
        log.info(
            "tasks parked after failures: job=%s tasks=%s delay_s=%.1f failures=%d",
            job.id,
            "all" if job.spec.kind == JobKind.GANG else tasks[0],
            decision.delay_s,
            count,
        )

    def clear_machine_failures(self, job: Job) -> None:
        """Remove a job's failures from the machines where it failed."""
        for name in job.avoided_machines:
            if name in self.shard.machines:
                self.shard.machines[name].failed_jobs.pop(job.id, None)

    def _count_against_machine(self, job: Job, machine: Machine, now: float) -> None:
        """Count a failure against its machine, and quarantine the machine if it is suspect.

        It is suspect once different jobs have failed there recently. A job that fails on one
        machine after another, and has no task done, does not count against any of them: arrays
        submitted with a mistake fail on dozens of machines at once, and two such jobs made sound
        machines suspect.
        """
        job.avoided_machines[machine.name] = now + self.shard.retry.cap_s
        if job.done_count or len(job.avoided_machines) == 1:
            machine.failed_jobs[job.id] = now
        else:
            self.clear_machine_failures(job)
        recent_s = self.shard.retry.horizon_s / RECENT_DIVISOR
        recent = [
            failed_at for failed_at in machine.failed_jobs.values() if now - failed_at < recent_s
        ]
        if (
            len(recent) >= SUSPECT_FAILED_JOBS
            and machine.phase is MachinePhase.UP
            and self._may_quarantine()
        ):
            machine.cordon("suspect")
            self.shard.mark_machine_changed(machine.name)
            log.info(
                "machine quarantined and drained: machine=%s failed_jobs=%d",
                machine.name,
                len(recent),
            )
            self.shard.drain(machine, now)

    def _may_quarantine(self) -> bool:
        machines = self.shard.machines
        suspects = sum(1 for machine in machines.values() if machine.leaving_reason == "suspect")
        return suspects * QUARANTINE_DIVISOR <= len(machines)
