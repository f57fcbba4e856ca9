"""Rebuilds a shard from the store at a failover.

Every stored placement counts as before, until a heartbeat under the new fencing token proves that
its task has ended. Parked tasks wait for their stored retry times.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING, Any, NamedTuple

from ashdock.core.job import Job
from ashdock.core.task import TaskState
from ashdock.core.transaction import StoredKey
from ashdock.wire.messages import JobKind

if TYPE_CHECKING:
    from ashdock.core.shard import Shard

# A key's path, or the end of it; its value; its revision.
StoredEntry = tuple[str, Any, int]


class _StoredWork(NamedTuple):
    """What is stored under `work/<team>/`.

    Attributes:
        records: Each job's record and its revision, by job id.
        chunks: Each job's chunks with the last part of their path, by job id.
    """

    records: dict[str, tuple[Any, int]]
    chunks: dict[str, list[StoredEntry]]


def rebuild(
    shard: Shard,
    machines: Iterable[StoredEntry],
    work: Iterable[StoredEntry],
    parks: Iterable[StoredEntry],
    now: float,
) -> None:
    """Fill an empty shard that was just claimed.

    Args:
        shard: The shard.
        machines: Records of the machines that are assigned to it, by name.
        work: Records and chunks of its jobs, by path.
        parks: Its stored parks, by path.
        now: Seconds since the epoch.
    """
    shard.current_time = now
    for name, value, revision in machines:
        shard.add_machine(name, value, revision, now)
    _load_jobs(shard, _group_by_job(work), now)
    _load_parks(shard, parks)
    for machine in shard.machines.values():
        machine.inherited = bool(machine.live) or machine.incarnation > 0
    shard.inherited_machines = sum(machine.inherited for machine in shard.machines.values())
    shard.recovered_at = now
    for job in shard.jobs.values():
        for chunk in job.chunks.values():
            # A narrower chunk whose tasks only a wider stored chunk holds still has to be written.
            if chunk.revision or not job.replaced_chunks:
                chunk.durable_generation = chunk.generation
        _resolve_inconsistencies(shard, job, now)
    shard.dependency_tracker.check_new_dependencies(now)


def _group_by_job(work: Iterable[StoredEntry]) -> _StoredWork:
    stored = _StoredWork({}, {})
    for path, value, revision in work:
        _, _, job_id, suffix = path.split("/", 3)
        if suffix == "job":
            stored.records[job_id] = (value, revision)
        else:
            stored.chunks.setdefault(job_id, []).append((suffix, value, revision))
    return stored


def _load_jobs(shard: Shard, stored: _StoredWork, now: float) -> None:
    for job_id, (value, revision) in stored.records.items():
        job = shard.add_job(value, revision, started=job_id in stored.chunks)
        if job_id in stored.chunks:
            job.started_at = now  # not exact: an earlier owner saw it start
        for placement in job.load_chunks(stored.chunks.pop(job_id, []), now):
            shard.count_placement(job, placement)
    # A job with chunks but no record has ended, and its last chunks have not been deleted yet.
    for job_id, entries in stored.chunks.items():
        shard.writer.obsolete_keys += [
            StoredKey(f"work/{shard.name}/{job_id}/{suffix}", revision)
            for suffix, _, revision in entries
        ]


def _load_parks(shard: Shard, parks: Iterable[StoredEntry]) -> None:
    for path, value, revision in parks:
        for park in shard.parks.load(int(path.rsplit("/", 1)[1]), value, revision):
            job = shard.jobs.get(park.job)
            if job is None:
                continue
            for task in range(park.low, park.high + 1):
                # The chunk takes precedence: a task that was placed since is not parked.
                if job.states[task] == TaskState.READY:
                    job.park(task, park.failure)


def _resolve_inconsistencies(shard: Shard, job: Job, now: float) -> None:
    """Complete the changes of a job that the previous owner may have left unfinished."""
    if not job.active:
        for placement in list(job.live.values()):
            shard.stop(placement, "cancelled", 0.0, now)
    elif job.spec.kind == JobKind.GANG and job.done_count:
        # A gang's tasks complete together, so one done task proves that all are done.
        for task in range(job.spec.tasks):
            shard.finish(job, task, now)
    elif job.spec.kind == JobKind.GANG and job.live:
        # Its chunks may have been written one after the other, so that some hold the latest attempt
        # and others the one before.
        attempts = {placement.attempt for placement in job.live.values()}
        if len(job.live) < job.spec.tasks or len(attempts) > 1:
            shard.break_gang(job, "incomplete", now)
    if job.all_done and job.active:
        shard.complete_job(job, now)
    for placement in list(job.live.values()):
        # A machine's record is deleted only once the machine is proved to be gone.
        if placement.machine not in shard.machines:
            shard.on_placement_lost(placement, "machine gone", now)
