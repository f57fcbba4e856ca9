"""Run-time estimates: those of the jobs' owners, corrected for each job class by measured times."""

from __future__ import annotations

from ashdock.core.job import Job
from ashdock.core.task import Placement
from ashdock.wire.messages import JobSpec


class Estimates:
    """Estimates how long tasks run."""

    def __init__(self) -> None:
        """Start without corrections."""
        # By job class: weighted mean of run time / estimate, and the number of tasks in it.
        self.corrections: dict[str, tuple[float, int]] = {}

    def record_run(self, job: Job, placement: Placement, now: float) -> None:
        """Update the correction of a job's class with a task that has just completed.

        Owners' estimates are often wrong, on some days mostly in one direction. Later attempts at
        jobs with checkpoints are ignored: they may have resumed from one, and run for less time.
        """
        spec = job.spec
        if (
            placement.running_at is None
            or spec.estimate_s <= 0
            or (placement.attempt > 1 and spec.checkpoint_s > 0)
        ):
            return
        ratio = min(4.0, max(0.25, (now - placement.running_at) / spec.estimate_s))
        weight = 1 / min(self.corrections.get(spec.job_class, (1.0, 0))[1] + 2, 20)
        mean_ratio, task_count = self.corrections.get(spec.job_class, (1.0, 0))
        self.corrections[spec.job_class] = (
            mean_ratio + (ratio - mean_ratio) * weight,
            task_count + 1,
        )

    def run_s(self, spec: JobSpec) -> float:
        """Return how many seconds a task of the job is expected to run."""
        return spec.estimate_s * self.corrections.get(spec.job_class, (1.0, 0))[0]
