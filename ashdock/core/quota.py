"""A team's resource usage, its limits (`cpus_max`, `gpus_max`) and guarantee (`cpus`, `gpus`)."""

from __future__ import annotations

import math

from ashdock.settings import Team
from ashdock.wire.messages import JobKind, JobSpec


class Usage:
    """CPUs and GPUs that a team's tasks use.

    A placement counts from before its run command is sent until its end is proved.
    """

    def __init__(self, team: Team) -> None:
        """Start with no usage."""
        self.team = team
        self.cpus = 0.0
        self.gpus = 0.0

    def add(self, spec: JobSpec, tasks: int = 1) -> None:
        """Count tasks of a job."""
        self.cpus += spec.cpus * tasks
        self.gpus += spec.gpus * tasks

    def subtract(self, spec: JobSpec, tasks: int = 1) -> None:
        """Stop counting tasks of a job."""
        self.cpus -= spec.cpus * tasks
        self.gpus -= spec.gpus * tasks

    def tasks_permitted(self, spec: JobSpec) -> int:
        """Return how many more tasks of the job the team's limit permits."""
        return tasks_within_limit(
            self.team.cpus_max - self.cpus, self.team.gpus_max - self.gpus, self.team, spec
        )


def tasks_within_limit(cpus: float, gpus: float, team: Team, spec: JobSpec) -> int:
    """Return how many tasks of a job fit into CPUs and GPUs that are left of a team's limit.

    A resource whose limit is 0 is unlimited; the result is at most 2**30. The tolerance of 1e-6
    covers rounding errors in sums of fractional CPUs and GPUs.
    """
    tasks = math.inf
    if team.cpus_max > 0 and spec.cpus > 0:
        tasks = min(tasks, (cpus + 1e-6) / spec.cpus)
    if team.gpus_max > 0 and spec.gpus > 0:
        tasks = min(tasks, (gpus + 1e-6) / spec.gpus)
    return max(0, int(min(tasks, 1 << 30)))


def limit_permits_job(team: Team, spec: JobSpec) -> bool:
    """Return whether the job can run within the team's limit once nothing else of the team runs.

    An array needs capacity for one task at a time, a gang or a service for all of its tasks.
    """
    tasks_needed = 1 if spec.kind == JobKind.ARRAY else spec.tasks
    return tasks_within_limit(team.cpus_max, team.gpus_max, team, spec) >= tasks_needed


def within_guarantee(team: Team, cpus: float, gpus: float) -> bool:
    """Return whether a usage of CPUs and GPUs lies within the team's guarantee.

    A resource whose guarantee is 0 is not checked, unless both are 0: then nothing is guaranteed.
    """
    if team.cpus <= 0 and team.gpus <= 0:
        return False
    if team.gpus > 0 and gpus > team.gpus + 1e-6:
        return False
    return not (team.cpus > 0 and cpus > team.cpus + 1e-6)
