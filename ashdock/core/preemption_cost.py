"""What stopping work now would cost."""

from __future__ import annotations

from collections.abc import Mapping

from ashdock.core.job import Job
from ashdock.core.machine import Machine
from ashdock.core.task import Placement
from ashdock.wire.messages import JobKind


def preemption_cost(jobs: Mapping[str, Job], placement: Placement, now: float) -> float:
    """Work lost by stopping it, in GPU-seconds (or CPU-seconds where it uses no GPU)."""
    spec = jobs[placement.job].spec
    if placement.image_ready_at is None:
        return 0.0
    ran = now - placement.image_ready_at
    lost = spec.save_s if spec.checkpoint_s > 0 else ran
    lost += max(0.0, 30.0 - ran)  # what is stopped this soon has not counted as started
    return lost * (spec.gpus or spec.cpus) * (spec.tasks if spec.kind == JobKind.GANG else 1)


def machine_preemption_cost(jobs: Mapping[str, Job], machine: Machine, now: float) -> float:
    """The same of all that a machine runs, in seconds of the whole machine."""
    lost = sum(preemption_cost(jobs, placement, now) for placement in machine.live.values())
    return lost / (machine.shape.gpus or machine.shape.cpus)
