"""How long tasks run: what their owners estimate, corrected class by class by what tasks of it took."""

from __future__ import annotations

from ashdock.core.job import Job
from ashdock.core.task import Placement
from ashdock.wire.messages import JobSpec


class Estimates:
    def __init__(self) -> None:
        self.learnt: dict[
            str, tuple[float, int]
        ] = {}  # class: run time by estimate, and from how many tasks

    def record_run(self, job: Job, placement: Placement, now: float) -> None:
        """Owners' estimates are often wrong, on some days mostly one way: a class's are corrected by what its tasks took."""
        spec = job.spec
        if (
            placement.running_at is None
            or spec.estimate_s <= 0
            or (placement.attempt > 1 and spec.checkpoint_s > 0)
        ):
            return
        ratio = min(4.0, max(0.25, (now - placement.running_at) / spec.estimate_s))
        weight = 1 / min(self.learnt.get(spec.job_class, (1.0, 0))[1] + 2, 20)
        known, seen = self.learnt.get(spec.job_class, (1.0, 0))
        self.learnt[spec.job_class] = (known + (ratio - known) * weight, seen + 1)

    def run_s(self, spec: JobSpec) -> float:
        return spec.estimate_s * self.learnt.get(spec.job_class, (1.0, 0))[0]
