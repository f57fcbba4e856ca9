"""Estimates how much work is lost if a task, or all tasks of a machine, are stopped now."""

from __future__ import annotations

from collections.abc import Mapping

from ashdock.core.job import Job
from ashdock.core.machine import Machine
from ashdock.core.task import Placement
from ashdock.wire.messages import JobKind


def preemption_cost(jobs: Mapping[str, Job], placement: Placement, now: float) -> float:
    """Return the work lost by stopping a task, in GPU-seconds (CPU-seconds if it uses no GPU).

    Stopping one task of a gang stops all of them, so all are counted.
    """
    spec = jobs[placement.job].spec
    if placement.image_ready_at is None:
        return 0.0
    ran_s = now - placement.image_ready_at
    lost_s = spec.save_s if spec.checkpoint_s > 0 else ran_s
    # A task stopped within 30 s of its image being ready does not count as started: what is left of
    # the 30 s is lost too.
    lost_s += max(0.0, 30.0 - ran_s)
    return lost_s * (spec.gpus or spec.cpus) * (spec.tasks if spec.kind == JobKind.GANG else 1)


def machine_preemption_cost(jobs: Mapping[str, Job], machine: Machine, now: float) -> float:
    """Return the work lost by stopping all tasks of a machine, in seconds of the whole machine."""
    lost = sum(preemption_cost(jobs, placement, now) for placement in machine.live.values())
    return lost / (machine.machine_type.gpus or machine.machine_type.cpus)
