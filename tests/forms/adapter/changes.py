"""Changes of records as a controller hears of them: by its watch, or by a write of its own that failed."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from ashdock.core.job import JobPhase
from ashdock.core.shard import Shard
from ashdock.shard_owners import ShardOwners
from tests.forms.adapter.records import MACHINE_PHASES, NOW, make_part
from tests.forms.adapter.values import Plain, plain

JOB_PHASES = {
    JobPhase.ACTIVE: "active",
    JobPhase.CANCELLED: "cancelled",
    JobPhase.OVER: "done, not written",
    JobPhase.ORPHANED: "cancelled with what it needs, not written",
    JobPhase.FINAL: "written",
}


def part_to_values(shard: Shard) -> Plain:
    """What a shard holds: jobs with their chunks' revisions, and machines."""
    jobs = {
        name: {
            "phase": JOB_PHASES[job.phase],
            "revision": job.revision,
            "at": job.submitted_at,
            "reason": job.reason,
            "cancelled_at": job.cancelled_at,
            "chunks": {
                job.chunk_path(chunk.index): chunk.revision for chunk in job.chunks.values()
            },
            "wider": plain(job.replaced_chunks),
        }
        for name, job in shard.jobs.items()
    }
    machines = {
        name: [MACHINE_PHASES[machine.phase], machine.leaving_reason, machine.revision]
        for name, machine in shard.machines.items()
    }
    return {"jobs": jobs, "machines": machines, "parks": shard.parks.revisions}


def loaded_part(entries: Plain, limit: int | None = None) -> Shard:
    """A shard rebuilt from entries; `limit`: bytes of a value, once all controllers are upgraded."""

    def under(prefix: str) -> list[tuple[str, Any, int]]:
        return [
            (path, value, revision) for path, value, revision in entries if path.startswith(prefix)
        ]

    shard = make_part()
    if limit is not None:
        shard.write_limits.announced_apply, shard.write_limits.value_bytes = True, limit
    machines = [
        (path.split("/", 1)[1], value, revision) for path, value, revision in under("machine/")
    ]
    shard.load(machines, under("work/red/"), under("park/red/"), NOW)
    return shard


def watch_changes(values: Plain) -> Plain:
    """Changes brought by the watch: what the shard then holds, and what is passed on."""
    shard = loaded_part(values["store"])
    told: list[Plain] = []
    owner = SimpleNamespace(team=SimpleNamespace(name="red"), apply=lambda change: change(shard))
    owners: Any = ShardOwners.__new__(ShardOwners)
    owners.table = {"red": owner}
    owners.job_memory = SimpleNamespace(
        observe_job=lambda *words: None, is_final=lambda job_id: False
    )
    owners.now = lambda: NOW
    owners.job_cancelled = lambda *words: told.append(["cancelled", *plain(words)])
    owners.job_settled = lambda *words: told.append(["settled", *plain(words)])
    for path, value, revision in values["changes"]:
        hear = owners.machine_changed if path.startswith("machine/") else owners.job_changed
        hear(path, value, revision)
    return {"part": part_to_values(shard), "told": told}


def read_again(values: Plain) -> Plain:
    """Keys of which a condition of ours failed, read again: what the shard then holds."""
    shard = loaded_part(values["store"])
    for path, value, revision in values["changes"]:
        shard.writer.apply_stored_value(path, value, revision, NOW)
    return {"part": part_to_values(shard)}
