"""Decides which jobs have a service level, how arrays are ranked, and how much capacity they get.

It matters most for teams without a guarantee; the rules are explained in docs/design.md.
"""

from __future__ import annotations

import math

from ashdock.core.job import Job
from ashdock.settings import Shared, Team
from ashdock.wire.messages import JobKind, JobSpec, MachineType

TARGET_DURATION_BOOTS = 4  # an array of short tasks without a deadline may take so many boot times


class SchedulingPolicy:
    """The policy for the jobs of one team."""

    def __init__(self, team: Team, shared: Shared, catalog: dict[str, MachineType]) -> None:
        """Apply the policy to a team, with the machine types by label."""
        self.team = team
        self.shared = shared
        self.catalog = catalog

    def has_service_level(self, spec: JobSpec) -> bool:
        """Return whether anything is promised about when the job runs.

        That is so if its team has a guarantee, if it is a service, or if it has a deadline or a
        service-level objective. Other jobs use idle machines and spot instances.
        """
        if (
            self.team.cpus > 0
            or self.team.gpus > 0
            or spec.deadline_s is not None
            or spec.kind == JobKind.SERVICE
        ):
            return True
        return any(o.job_class == spec.job_class for o in self.shared.objectives)

    def target_duration_s(self, spec: JobSpec) -> float:
        """Return the seconds within which an array without a deadline should complete.

        That is half the time that its class's objective gives it, but at least a few boot times.
        """
        shortest_s = TARGET_DURATION_BOOTS * max(
            (machine_type.boot_s for machine_type in self.catalog.values()),
            default=self.shared.workers.lease_s,
        )
        objectives_s = [
            o.within_s
            for o in self.shared.objectives
            if o.kind == "finished" and o.job_class == spec.job_class and o.within_s
        ]
        return max([shortest_s, *(objective_s / 2 for objective_s in objectives_s)])

    def tasks_to_request(self, job: Job, run_s: float) -> int:
        """Return for how many more tasks of the job capacity is requested, given their run time.

        An array without a deadline gets as much as completes it within its target duration: with
        capacity for each of thousands of short tasks, the first would have completed long before
        the machines are up. An array of 25,000 tasks of a few seconds each requested 195 machines.
        """
        spec = job.spec
        if spec.kind != JobKind.ARRAY or not math.isinf(job.deadline_at):
            return job.ready_count
        # From the start of a task until the next one runs in its place.
        cycle_s = run_s + 2 * self.shared.workers.report_s
        return max(
            0,
            math.ceil((job.ready_count + len(job.live)) * cycle_s / self.target_duration_s(spec))
            - len(job.live),
        )

    def array_rank(self, job: Job, run_s: float, now: float) -> tuple[float, float]:
        """Return the rank of an array without a deadline among others; the lowest is served first.

        Arrays with a service level precede those without. Within either group the one with the
        least work left goes first, so that as many as possible complete early: hundreds of tiny
        jobs waited for an array of 25,000 tasks, and both for scans of five minutes that had no
        service level. An array that has waited for 4 target durations goes first in its group, so
        that none starves.
        """
        spec = job.spec
        group = 0.0 if self.has_service_level(spec) else 5.0
        if now - job.eligible_at > 4 * self.target_duration_s(spec):
            return group, 0.0
        return group, (spec.tasks - job.done_count) * run_s * (spec.gpus or spec.cpus)
