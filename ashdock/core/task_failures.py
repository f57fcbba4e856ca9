"""What follows from a task's own failure: a retry in place or parked, and the quarantine of a machine where jobs fail."""

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

FAILED_JOBS_OF_SUSPECT = 2  # different jobs that failed on a machine lately, for it to be suspect
LATELY_SHARE = 3  # "lately" is the retry horizon divided by this
QUARANTINE_SHARE = 4  # at most about one of so many machines may be in quarantine


class FailingShard(Protocol):
    """What the handling of failures needs of a shard."""

    jobs: dict[str, Job]
    machines: dict[str, Machine]
    parks: Parks
    retry: Retry
    rng: random.Random

    def release(self, placement: Placement, now: float) -> None:
        """Take in that a placement is proved gone; its task is ready again."""
        ...

    def break_gang(self, job: Job, why: str, now: float) -> None:
        """Stop a gang's attempt as a whole."""
        ...

    def drain(self, machine: Machine, now: float) -> None:
        """Evict all tasks of a machine gracefully."""
        ...

    def note_machine(self, name: str) -> None:
        """Have a machine's record written, if need be."""
        ...


class FailureHandler:
    """Handles the tasks' own failures, for one shard."""

    def __init__(self, shard: FailingShard) -> None:
        """Handle the failures of a shard."""
        self.shard = shard

    def on_failure(self, machine: Machine, placement: Placement, why: str, now: float) -> None:
        """Take in that a task failed of its own on a machine; a gang's attempt is stopped as a whole."""
        job = self.shard.jobs[placement.job]
        reason = f"{why} on {machine.name}"
        log.info(
            "task failed: job=%s task=%d attempt=%d reason=%s",
            job.id,
            placement.task,
            placement.attempt,
            reason,
        )
        self._blame(job, machine, now)
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
        """Decide when tasks are tried again: in place, after a park, or past the retry episode's bounds.

        Args:
            job: the job.
            tasks: its tasks that failed together, ascending: all of a gang, or one.
            failure: this failure.
            now: the time.
        """
        decision = decide_retry(
            self.shard.retry, job.failures.get(tasks[0]), failure.reason, now, self.shard.rng
        )
        what = "the gang" if job.spec.kind == JobKind.GANG else f"task {tasks[0]}"
        if job.reason is None:
            # From the first failure on: who submitted it with a mistake is not to wait for the second.
            job.set_reason(f"{what} failed: {failure.reason}; tried again")
        if decision.step == "in_place":
            for task in tasks:
                job.set_failure(task, decision.failure)
            return
        for task in tasks:
            job.park(task, decision.failure)
        self.shard.parks.add(job.id, ranges_of(tasks), now + decision.delay, decision.failure)
        times = decision.failure.failure_count
        if decision.step == "past":
            job.set_reason(
                f"{what} failed {times} times, last: {failure.reason}; still tried now and then"
            )
            log.info("retry episode past its bounds: job=%s reason=%s", job.id, job.reason)
            return
        log.info(
            "parked after failures: job=%s tasks=%s delay_s=%.1f failures=%d",
            job.id,
            "all" if job.spec.kind == JobKind.GANG else tasks[0],
            decision.delay,
            times,
        )

    def clear_machine_failures(self, job: Job) -> None:
        """Count a job's failures no longer against the machines where it failed."""
        for name in job.avoided_machines:
            if name in self.shard.machines:
                self.shard.machines[name].failed_jobs.pop(job.id, None)

    def _blame(self, job: Job, machine: Machine, now: float) -> None:
        """Count a failure against its machine, which goes into quarantine if different jobs failed there lately.

        A job that fails on one machine after another, and nowhere ends well, says nothing about any of them: arrays
        submitted with a mistake fail on dozens at once, and two such jobs made sound machines suspect.
        """
        job.avoided_machines[machine.name] = now + self.shard.retry.cap_s
        if job.done_count or len(job.avoided_machines) == 1:
            machine.failed_jobs[job.id] = now
        else:
            self.clear_machine_failures(job)
        lately_s = self.shard.retry.horizon_s / LATELY_SHARE
        recent = [at for at in machine.failed_jobs.values() if now - at < lately_s]
        if (
            len(recent) >= FAILED_JOBS_OF_SUSPECT
            and machine.phase is MachinePhase.UP
            and self._may_quarantine()
        ):
            machine.cordon("suspect")
            self.shard.note_machine(machine.name)
            log.info(
                "machine quarantined and drained: machine=%s failed_jobs=%d",
                machine.name,
                len(recent),
            )
            self.shard.drain(machine, now)

    def _may_quarantine(self) -> bool:
        machines = self.shard.machines
        suspects = sum(1 for machine in machines.values() if machine.why == "suspect")
        return suspects * QUARANTINE_SHARE <= len(machines)
