"""Rebuilds a shard at a failover from what is stored of it.

All that was placed counts as before, until a heartbeat under the new token proves its end; parks are armed again.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING, Any, NamedTuple

from ashdock.core.job import Job
from ashdock.core.shard_writer import StoredKey
from ashdock.core.task import TaskState
from ashdock.wire.messages import JobKind

if TYPE_CHECKING:
    from ashdock.core.shard import Shard

# The name of a key below its prefix, or its path; its value; its revision.
StoredEntry = tuple[str, Any, int]


class _StoredWork(NamedTuple):
    """What is stored under `work/<team>/`."""

    records: dict[str, tuple[Any, int]]  # by job: its record and revision
    chunks: dict[str, list[StoredEntry]]  # by job: each chunk by the end of its path


def rebuild(
    shard: Shard,
    machines: Iterable[StoredEntry],
    work: Iterable[StoredEntry],
    parks: Iterable[StoredEntry],
    now: float,
) -> None:
    """Fill an empty shard.

    Args:
        shard: the shard, just claimed.
        machines: the records of the machines that are assigned to it, by name.
        work: the records and chunks of its jobs, by path.
        parks: its parks, by path.
        now: the time.
    """
    shard.clock = now
    for name, value, revision in machines:
        shard.add_machine(name, value, revision, now)
    _load_jobs(shard, _by_job(work), now)
    _load_parks(shard, parks)
    for machine in shard.machines.values():
        machine.inherited = bool(machine.live) or machine.incarnation > 0
    shard.inherited_machines = sum(machine.inherited for machine in shard.machines.values())
    shard.recovered_at = now
    for job in shard.jobs.values():
        for chunk in job.chunks.values():
            # What a wider one still holds is to be written.
            if chunk.revision or not job.replaced_chunks:
                chunk.durable_generation = chunk.generation
        _settle(shard, job, now)
    shard.dependency_tracker.look(now)


def _by_job(work: Iterable[StoredEntry]) -> _StoredWork:
    stored = _StoredWork({}, {})
    for path, value, revision in work:
        _, _, job_id, tail = path.split("/", 3)
        if tail == "job":
            stored.records[job_id] = (value, revision)
        else:
            stored.chunks.setdefault(job_id, []).append((tail, value, revision))
    return stored


def _load_jobs(shard: Shard, stored: _StoredWork, now: float) -> None:
    for job_id, (value, revision) in stored.records.items():
        job = shard.add_job(value, revision, started=job_id in stored.chunks)
        if job_id in stored.chunks:
            job.started_at = now  # or so: an earlier owner saw it start
        for placement in job.load_chunks(stored.chunks.pop(job_id, []), now):
            shard.count(job, placement)
    # Chunks without a job's record: the job has ended, and its last chunks were still to be deleted.
    for job_id, rest in stored.chunks.items():
        shard.writer.obsolete_keys += [
            StoredKey(f"work/{shard.name}/{job_id}/{tail}", revision) for tail, _, revision in rest
        ]


def _load_parks(shard: Shard, parks: Iterable[StoredEntry]) -> None:
    for path, value, revision in parks:
        for park in shard.parks.load(int(path.rsplit("/", 1)[1]), value, revision):
            job = shard.jobs.get(park.job)
            if job is None:
                continue
            for task in range(park.low, park.high + 1):
                # The chunk decides: a task placed since is not parked.
                if job.states[task] == TaskState.READY:
                    job.park(task, park.failure)


def _settle(shard: Shard, job: Job, now: float) -> None:
    """Finish what the owner before may have left half done of a job."""
    if not job.active:
        for placement in list(job.live.values()):
            shard.stop(placement, "cancelled", 0.0, now)
    elif job.spec.kind == JobKind.GANG and job.done_count:
        # Gang tasks complete together, so one that is done proves them all.
        for task in range(job.spec.tasks):
            shard.finish(job, task, now)
    elif job.spec.kind == JobKind.GANG and job.live:
        # Its chunks may have been written one after the other: some of them hold this attempt, some the one before.
        attempts = {placement.attempt for placement in job.live.values()}
        if len(job.live) < job.spec.tasks or len(attempts) > 1:
            shard.break_gang(job, "incomplete", now)
    if job.all_done and job.active:
        shard.complete(job, now)
    for placement in list(job.live.values()):
        # A machine's record is deleted only on proof that it is gone.
        if placement.machine not in shard.machines:
            shard.lost(placement, "machine gone", now)
