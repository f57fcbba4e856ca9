"""A job in its shard's memory, and its form in the state service."""

from __future__ import annotations

import math
from collections.abc import Iterable
from enum import Enum
from typing import Any, NamedTuple

import msgspec

from ashdock.core.dependency_graph import NOTHING, Carried
from ashdock.core.task import Failure, Phase, Placement, TaskState, ranges_of
from ashdock.wire.messages import JobKind, JobSpec, JobStatus, TaskStatus

# The widest a task can be in a chunk: a placement and a failure with its reason, in bytes.
MAX_TASK_BYTES = 112


class JobPhase(Enum):
    ACTIVE = "active"
    CANCELLED = "cancelled"  # durably; its tasks are still to be confirmed gone
    OVER = "over"  # its last task is done; the outcome is being written
    ORPHANED = (
        "orphaned"  # a job that it needs is cancelled, durably; that it is too is being written
    )
    FINAL = "final"  # the outcome is durable


class Chunk:
    """A run of tasks that share one value `work/<team>/<id>/<n>`."""

    __slots__ = (
        "durable_generation",
        "generation",
        "index",
        "live",
        "max_attempt",
        "placed_generation",
        "revision",
    )

    def __init__(self, n: int) -> None:
        self.index = n
        self.revision = 0
        self.generation = 0
        self.durable_generation = 0
        self.max_attempt = 0  # the highest attempt number used
        self.placed_generation = 0  # the latest change that starts wait for
        self.live: dict[
            int, Placement
        ] = {}  # the part of the job's: writing a chunk must not look at all of them

    def mark_changed(self) -> int:
        self.generation += 1
        return self.generation


class ReplacedChunk(NamedTuple):
    """A chunk of an earlier, wider layout. For each of its tasks the narrower chunk that is there has the word."""

    revision: int
    low: int
    high: int  # beyond its last task


class Job:
    def __init__(
        self, spec: JobSpec, submitted: float, revision: int, chunk_tasks: int, plain_tasks: int = 0
    ) -> None:
        self.spec = spec
        self.id = spec.id
        self.submitted = submitted
        self.eligible_at = submitted  # when it could first have started: what it needs was done
        self.awaits_dependencies = False  # for other jobs: none of its tasks may be placed
        self.carried: Carried = NOTHING  # from the jobs that need it
        self.revision = (
            revision  # of job/<id>, and of the copy beside the work: they are only written together
        )
        self.phase = JobPhase.ACTIVE
        self.chunk_tasks = chunk_tasks
        # Chunks of this width are written as versions before did, which could not say how wide theirs were.
        self.unmarked_chunk_tasks = plain_tasks or chunk_tasks
        self.replaced_chunks: dict[str, ReplacedChunk] = {}  # by the end of their key
        self.ended_at: float | None = None  # when its last task was known to be done
        self.states = bytearray(spec.tasks)
        self.done_count = 0
        self.lowest_ready_hint = 0  # no task below is ready
        self.ready_count = spec.tasks
        self.live: dict[int, Placement] = {}
        self.failures: dict[int, Failure] = {}
        self.chunks: dict[int, Chunk] = {}
        self.reason: str | None = None
        self.reason_generation = 0
        self.durable_reason_generation = 0
        self.cancelled_at: float | None = None
        self.gang_stop_reason: str | None = None  # gang: why its attempt is being taken down
        self.gang_failure: Failure | None = None  # gang: a failure of its own seen in this attempt
        self.avoided_machines: dict[
            str, float
        ] = {}  # machine where it failed: until when this job had better not go there
        self.max_failures = 0  # the most failures of its own that any of its tasks carries
        self.last_preemption_at = -math.inf  # when work of its team was last stopped for it
        self.preempted_machines = 0  # and on how many machines
        self.started_at: float | None = (
            None  # when a task of it was first seen running, by this owner
        )
        self.changed_jobs: dict[
            str, Job
        ] = {}  # its shard's jobs with something to write: it enters itself there

    def mark_changed(self) -> None:
        self.changed_jobs[self.id] = self

    # -- states of tasks -------------------------------------------------------------------

    def _set_state(self, task: int, state: TaskState) -> int:
        was = self.states[task]
        if was == TaskState.DONE:
            return self.chunk_of(task).generation
        self.mark_changed()
        if was == TaskState.READY:
            self.ready_count -= 1
        if state == TaskState.READY:
            self.ready_count += 1
            self.lowest_ready_hint = min(self.lowest_ready_hint, task)
        if state == TaskState.DONE:
            self.done_count += 1
        self.states[task] = state
        return self.chunk_of(task).mark_changed()

    def place(self, task: int, machine: str, attempt: int, now: float) -> Placement:
        chunk = self.chunk_of(task)
        chunk.max_attempt = max(chunk.max_attempt, attempt)
        generation = chunk.placed_generation = self._set_state(task, TaskState.LIVE)
        placement = Placement(self.id, task, attempt, machine, generation, now)
        self.live[task] = chunk.live[task] = placement
        return placement

    def unplace(self, task: int) -> Placement | None:
        self.chunk_of(task).live.pop(task, None)
        return self.live.pop(task, None)

    def release(self, task: int) -> None:
        """Its stop is confirmed, or its start was never sent: back among the ready."""
        self.unplace(task)
        if self.states[task] == TaskState.LIVE:
            self._set_state(task, TaskState.READY)
        else:
            self.chunk_of(task).mark_changed()
        self.mark_changed()

    def finish(self, task: int) -> None:
        self.failures.pop(task, None)
        self._set_state(task, TaskState.DONE)

    def park(self, task: int, failure: Failure) -> None:
        self._record_failure(task, failure)
        self.failures.pop(task, None)  # the park carries the count
        self._set_state(task, TaskState.PARKED)

    def _record_failure(self, task: int, failure: Failure) -> None:
        self.failures[task] = failure
        self.max_failures = max(self.max_failures, failure.failure_count)

    def unpark(self, task: int, failure: Failure) -> None:
        if self.states[task] == TaskState.PARKED:
            self._record_failure(task, failure)
            self._set_state(task, TaskState.READY)

    def set_failure(self, task: int, failure: Failure) -> None:
        self._record_failure(task, failure)
        self.chunk_of(task).mark_changed()
        self.mark_changed()

    @property
    def job_class(self) -> str:
        return self.spec.job_class

    @property
    def likely_faulty(self) -> bool:
        """Whether it looks as if submitted with a mistake: none of its tasks has ended well, it has used up its retry in
        place, and not on one machine only (after a takeover it is not known on which)."""
        return self.max_failures >= 2 and not self.done_count and len(self.avoided_machines) != 1

    def cancel(self, at: float) -> None:
        self.phase = JobPhase.CANCELLED
        self.cancelled_at = at
        self.mark_changed()

    def mark_over(self, at: float | None = None) -> None:
        """Its last task is done: the outcome is to be written."""
        self.phase = JobPhase.OVER
        self.ended_at = at
        self.mark_changed()

    def orphan(self, by: str, at: float) -> None:
        """A job that it needs is cancelled, so it can never run: that outcome is to be written."""
        self.phase = JobPhase.ORPHANED
        self.awaits_dependencies = False
        self.cancelled_at = at
        self.reason = f"it needs {by}, which was cancelled"
        self.mark_changed()

    def dependencies_done(self, since: float) -> None:
        """All that it needs is done."""
        self.awaits_dependencies = False
        self.eligible_at = max(self.submitted, since)

    def set_reason(self, reason: str) -> None:
        if reason != self.reason:
            self.reason = reason
            self.reason_generation += 1
            self.mark_changed()

    # -- picture ---------------------------------------------------------------------------

    def chunk_of(self, task: int) -> Chunk:
        return self.chunk(task // self.chunk_tasks)

    def chunk(self, n: int) -> Chunk:
        chunk = self.chunks.get(n)
        if chunk is None:
            chunk = self.chunks[n] = Chunk(n)
        return chunk

    def next_ready(self) -> int:
        """The lowest ready task, or -1."""
        if not self.ready_count:
            return -1
        self.lowest_ready_hint = max(self.states.find(TaskState.READY, self.lowest_ready_hint), 0)
        return self.states.find(TaskState.READY, self.lowest_ready_hint)

    def ready_tasks(self, most: int) -> list[int]:
        out: list[int] = []
        at = self.next_ready()
        while at >= 0 and len(out) < most:
            out.append(at)
            at = self.states.find(TaskState.READY, at + 1)
        return out

    def attempt_for(self, task: int) -> int:
        if self.spec.kind == JobKind.GANG:
            return max((chunk.max_attempt for chunk in self.chunks.values()), default=0) + 1
        return self.chunk_of(task).max_attempt + 1

    @property
    def is_urgent(self) -> bool:
        """Whether starts or an outcome wait for it to be written; other changes may wait for their turn."""
        return self.phase is not JobPhase.ACTIVE or any(
            chunk.placed_generation > chunk.durable_generation for chunk in self.chunks.values()
        )

    @property
    def all_done(self) -> bool:
        return self.done_count == self.spec.tasks

    @property
    def active(self) -> bool:
        return self.phase is JobPhase.ACTIVE

    @property
    def outcome_ready(self) -> bool:
        """Whether its outcome can be written: nothing of it is left anywhere."""
        return self.phase is JobPhase.OVER or (
            self.phase in (JobPhase.CANCELLED, JobPhase.ORPHANED) and not self.live
        )

    @property
    def priority(self) -> int:
        """At least that of any job that needs it."""
        return max(self.spec.priority, self.carried.priority)

    @property
    def deadline_at(self) -> float:
        """When it had better be done: by its own deadline, and for what needs it to be in time."""
        own = math.inf if self.spec.deadline_s is None else self.submitted + self.spec.deadline_s
        return min(own, self.carried.finish_by)

    @property
    def running(self) -> int:
        return sum(1 for placement in self.live.values() if placement.status == TaskStatus.RUNNING)

    # -- the state service's form ----------------------------------------------------------

    def chunk_path(self, n: int) -> str:
        return self.work_path(self.chunk_suffix(n))

    def work_path(self, tail: str) -> str:
        return f"work/{self.spec.team}/{self.id}/{tail}"

    def chunk_suffix(self, n: int) -> str:
        return (
            f"{n}" if self.chunk_tasks == self.unmarked_chunk_tasks else f"{n}w{self.chunk_tasks}"
        )

    def parse_chunk_suffix(self, tail: str) -> tuple[int, int]:
        """Which chunk of what width a key names."""
        n, _, width = tail.partition("w")
        return int(n), int(width) if width else self.unmarked_chunk_tasks

    def set_chunk_revision(self, tail: str, revision: int) -> None:
        """What the key holds now (0: nothing), whether of this layout or of one before."""
        n, width = self.parse_chunk_suffix(tail)
        if width == self.chunk_tasks:
            self.chunk(n).revision = revision
        elif revision:
            self.replaced_chunks[tail] = ReplacedChunk(
                revision, n * width, min((n + 1) * width, self.spec.tasks)
            )
        else:
            self.replaced_chunks.pop(tail, None)
        self.mark_changed()

    def narrow_chunks(self, width: int) -> None:
        """Go over to narrower chunks: a value would be larger than the state service takes. What is written stays, and counts
        for each task until the narrower chunk that takes it over is durable; only then is it deleted."""
        before, old = self.chunks, self.chunk_tasks
        self.replaced_chunks |= {
            self.chunk_suffix(n): ReplacedChunk(
                chunk.revision, n * old, min((n + 1) * old, self.spec.tasks)
            )
            for n, chunk in before.items()
            if chunk.revision
        }
        self.chunks = {}
        self.chunk_tasks = width
        for n, chunk in before.items():
            if not chunk.revision and not chunk.generation:
                continue
            for piece in self.chunks_covering(n * old, min((n + 1) * old, self.spec.tasks)):
                piece.max_attempt = max(piece.max_attempt, chunk.max_attempt)
                piece.mark_changed()
        for task, placement in self.live.items():
            chunk = self.chunk_of(task)
            chunk.live[task] = placement
            if placement.phase is Phase.INTENDED:
                placement.generation = chunk.placed_generation = chunk.generation
        self.mark_changed()

    def chunks_covering(self, low: int, high: int) -> list[Chunk]:
        """The chunks of the present layout that hold any of these tasks."""
        return [
            self.chunk(n)
            for n in range(low // self.chunk_tasks, (high - 1) // self.chunk_tasks + 1)
        ]

    @property
    def job_copy_path(self) -> str:
        return f"work/{self.spec.team}/{self.id}/job"

    @property
    def job_path(self) -> str:
        return f"job/{self.id}"

    def chunk_value(self, n: int) -> dict[str, Any]:
        low = n * self.chunk_tasks
        high = min(low + self.chunk_tasks, self.spec.tasks)
        value: dict[str, Any] = {"a": self.chunk(n).max_attempt}
        done = [task for task in range(low, high) if self.states[task] == TaskState.DONE]
        if done:
            value["d"] = ranges_of(done)
        placed = [[task, p.machine, p.attempt] for task, p in sorted(self.chunk(n).live.items())]
        if placed:
            value["p"] = placed
        failed: list[list[Any]] = []
        for task, failure in sorted(self.failures.items()):
            if low <= task < high:
                if failed and failed[-1][1] == task - 1 and failed[-1][2:] == list(failure):
                    failed[-1][1] = task
                else:
                    failed.append([task, task, *failure])
        if failed:
            value["f"] = failed
        return value

    def load_chunks(self, found: Iterable[tuple[str, Any, int]], now: float) -> list[Placement]:
        """Take its chunks in, by the end of their keys. Where the job was going over to narrower ones both are there: for each
        task the narrowest has the word, and the rest of the way is gone from here."""
        rows = sorted(
            (*reversed(self.parse_chunk_suffix(tail)), tail, value, revision)
            for tail, value, revision in found
        )
        if not rows:
            return []
        self.chunk_tasks = rows[0][0]
        taken = bytearray(self.spec.tasks)
        out: list[Placement] = []
        for width, n, tail, value, revision in rows:
            low, high = n * width, min((n + 1) * width, self.spec.tasks)
            out += self._load_chunk(value, taken, now)
            taken[low:high] = b"\1" * (high - low)
            if width == self.chunk_tasks:
                chunk = self.chunk(n)
                chunk.revision = revision
                chunk.max_attempt = max(chunk.max_attempt, value.get("a", 0))
                chunk.durable_generation = chunk.generation
                continue
            self.replaced_chunks[tail] = ReplacedChunk(revision, low, high)
            for chunk in self.chunks_covering(low, high):
                if not chunk.revision:
                    chunk.max_attempt = max(chunk.max_attempt, value.get("a", 0))
                    chunk.mark_changed()
        return out

    def _load_chunk(self, value: dict[str, Any], taken: bytearray, now: float) -> list[Placement]:
        for low, high in value.get("d", []):
            for task in range(low, high + 1):
                if not taken[task]:
                    self._set_state(task, TaskState.DONE)
        for low, high, *failure in value.get("f", []):
            for task in range(low, high + 1):
                if not taken[task]:
                    self._record_failure(task, Failure(*failure))
        out = []
        for task, machine, attempt in value.get("p", []):
            if not taken[task]:
                out.append(self.place(task, machine, attempt, now))
                out[-1].mark_recovered()
        return out

    def record(self) -> dict[str, Any]:
        """`job/<id>`: all that is ever answered about the job, kept forever."""
        status = (
            JobStatus.DONE if self.phase in (JobPhase.OVER, JobPhase.FINAL) else JobStatus.QUEUED
        )
        if self.phase in (JobPhase.CANCELLED, JobPhase.ORPHANED):
            status = JobStatus.WITHDRAWN
        return job_record(
            self.spec, self.submitted, status, self.reason, self.cancelled_at, self.ended_at
        )


def job_record(
    spec: JobSpec,
    submitted: float,
    status: str = JobStatus.QUEUED,
    reason: str | None = None,
    cancelled_at: float | None = None,
    done_at: float | None = None,
) -> dict[str, Any]:
    record: dict[str, Any] = {"spec": spec, "at": submitted, "status": status}
    if reason:
        record["reason"] = reason
    if cancelled_at is not None:
        record["cancelled_at"] = round(cancelled_at, 3)
    if done_at is not None:
        record["done_at"] = round(done_at, 3)
    return record


def spec_of_record(record: dict[str, Any]) -> JobSpec:
    """As read from the state service, or as we wrote it a moment ago."""
    spec = record["spec"]
    return spec if isinstance(spec, JobSpec) else msgspec.convert(spec, JobSpec)


def fit_job_record(record: dict[str, Any], most: int) -> dict[str, Any]:
    """The record of a job that is over, without what nobody asks for any more if it is too large as it stands."""
    if len(msgspec.json.encode(record)) <= most:
        return record
    spec = msgspec.structs.replace(
        spec_of_record(record),
        job_class="",
        image="",
        machine_types=None,
        dependencies=msgspec.UNSET,
    )
    return {**record, "spec": spec}


def tasks_per_chunk(value_kb: float) -> int:
    """Tasks to a chunk, so that the fullest one still fits a value."""
    return max(1, int(value_kb * 1024 * 0.9) // MAX_TASK_BYTES)
