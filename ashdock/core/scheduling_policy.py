"""What work is worth: whether it was promised anything, in what time it had better be through, and for how much of it room of
its own pays. Guests' work lives by this; see "Guests" in docs/design.md."""

from __future__ import annotations

import math

from ashdock.core.job import Job
from ashdock.settings import Shared, Team
from ashdock.wire.messages import JobKind, JobSpec, MachineType

SPREAD_BOOTS = 4  # an array of short tasks without a deadline is given room to be through in so many boots' time


class SchedulingPolicy:
    def __init__(self, team: Team, shared: Shared, catalog: dict[str, MachineType]) -> None:
        self.team = team
        self.shared = shared
        self.catalog = catalog

    def promised(self, spec: JobSpec) -> bool:
        """Whether anybody was told when it would run. What was promised nothing uses what is cheap or idle."""
        if (
            self.team.cpus > 0
            or self.team.gpus > 0
            or spec.deadline_s is not None
            or spec.kind == JobKind.SERVICE
        ):
            return True
        return any(o.job_class == spec.job_class for o in self.shared.objectives)

    def span(self, spec: JobSpec) -> float:
        """In what time an array without a deadline had better be through: half its aim, or a few boots."""
        span = SPREAD_BOOTS * max(
            (shape.boot_s for shape in self.catalog.values()), default=self.shared.workers.lease_s
        )
        aims = [
            o.within_s
            for o in self.shared.objectives
            if o.kind == "finished" and o.job_class == spec.job_class and o.within_s
        ]
        return max([span, *(aim / 2 for aim in aims)])

    def pays(self, job: Job, run_s: float) -> int:
        """How many more tasks of it are worth room of their own. Room for each of thousands of short tasks is up only when
        the first of them have long made way: an array of 25,000 tasks of a few seconds each asked for 195 machines."""
        spec = job.spec
        if spec.kind != JobKind.ARRAY or not math.isinf(job.deadline_at):
            return job.ready_count
        each = run_s + 2 * self.shared.workers.report_s  # until the next one runs in its place
        return max(
            0, math.ceil((job.ready_count + len(job.live)) * each / self.span(spec)) - len(job.live)
        )

    def rank(self, job: Job, run_s: float, now: float) -> tuple[float, float]:
        """Of arrays without a deadline, what was promised something goes first, and the least work first, for the same reason as
        among deadlines. Hundreds of tiny jobs waited for an array of 25,000, and both for idle-time scans of five minutes."""
        spec = job.spec
        rank = 0.0 if self.promised(spec) else 5.0
        if now - job.eligible_at > 4 * self.span(spec):
            return rank, 0.0  # nothing starves
        return rank, (spec.tasks - job.done_count) * run_s * (spec.gpus or spec.cpus)
