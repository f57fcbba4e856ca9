"""What a team may use, and what it was promised."""

from __future__ import annotations

import math

from ashdock.settings import Team
from ashdock.wire.messages import JobKind, JobSpec


class Usage:
    """Counts every placement from before its start is sent until its stop is confirmed."""

    def __init__(self, team: Team) -> None:
        self.team = team
        self.cpus = 0.0
        self.gpus = 0.0

    def add(self, spec: JobSpec, tasks: int = 1) -> None:
        self.cpus += spec.cpus * tasks
        self.gpus += spec.gpus * tasks

    def subtract(self, spec: JobSpec, tasks: int = 1) -> None:
        self.cpus -= spec.cpus * tasks
        self.gpus -= spec.gpus * tasks

    def tasks_permitted(self, spec: JobSpec) -> int:
        """How many more tasks of this kind the limit permits."""
        return tasks_within_limit(
            self.team.cpus_max - self.cpus, self.team.gpus_max - self.gpus, self.team, spec
        )


def tasks_within_limit(cpus: float, gpus: float, team: Team, spec: JobSpec) -> int:
    most = math.inf
    if team.cpus_max > 0 and spec.cpus > 0:
        most = min(most, (cpus + 1e-6) / spec.cpus)
    if team.gpus_max > 0 and spec.gpus > 0:
        most = min(most, (gpus + 1e-6) / spec.gpus)
    return max(0, int(min(most, 1 << 30)))


def limit_permits_job(team: Team, spec: JobSpec) -> bool:
    """An array needs room for one task, a gang or a service for all of them."""
    need = 1 if spec.kind == JobKind.ARRAY else spec.tasks
    return tasks_within_limit(team.cpus_max, team.gpus_max, team, spec) >= need


def within_guarantee(team: Team, cpus: float, gpus: float) -> bool:
    """Whether so much lies within the guarantee; a figure of 0 guarantees none of its kind."""
    if team.cpus <= 0 and team.gpus <= 0:
        return False
    if team.gpus > 0 and gpus > team.gpus + 1e-6:
        return False
    return not (team.cpus > 0 and cpus > team.cpus + 1e-6)
