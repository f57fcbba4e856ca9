"""A job in the memory of its shard's owner, and its encoding in the store."""

from __future__ import annotations

import math
from collections.abc import Iterable
from enum import Enum
from typing import Any, NamedTuple

import msgspec

from ashdock.core.dependency_graph import NO_URGENCY, Urgency
from ashdock.core.task import Failure, Placement, PlacementPhase, TaskState, ranges_of
from ashdock.wire.messages import JobKind, JobSpec, JobStatus, TaskStatus

# Largest encoding of one task in a chunk: a placement, and a failure with its reason.
MAX_TASK_BYTES = 112


class JobPhase(Enum):
    """The lifecycle of a job in its shard's memory."""

    ACTIVE = "active"
    CANCELLED = "cancelled"  # the cancellation is durable; not all tasks are confirmed stopped
    OVER = "over"  # all tasks are done; the outcome is being written
    # A dependency is durably cancelled; that this job is cancelled too is being written.
    ORPHANED = "orphaned"
    FINAL = "final"  # the outcome is durable


class Chunk:
    """A range of consecutive tasks that are stored in one value, `work/<team>/<id>/<suffix>`.

    Attributes:
        index: Number of the chunk within the job.
        revision: Revision of its key; 0 if the key does not exist.
        generation: Number of changes so far.
        durable_generation: Generation that was last stored.
        max_attempt: Highest attempt number of its tasks.
        placed_generation: Generation of the latest placement; it has to be durable before the run
            command is sent.
        live: Its part of the job's `live`, so that encoding a chunk need not go through all
            placements of the job.
    """

    __slots__ = (
        "durable_generation",
        "generation",
        "index",
        "live",
        "max_attempt",
        "placed_generation",
        "revision",
    )

    def __init__(self, index: int) -> None:
        """Create a chunk that is not stored yet."""
        self.index = index
        self.revision = 0
        self.generation = 0
        self.durable_generation = 0
        self.max_attempt = 0
        self.placed_generation = 0
        self.live: dict[int, Placement] = {}

    def mark_changed(self) -> int:
        """Start a new generation, which is to be stored, and return it."""
        self.generation += 1
        return self.generation


class ReplacedChunk(NamedTuple):
    """A stored chunk of an earlier, wider layout, deleted once narrower chunks are durable.

    A narrower chunk that is stored takes precedence for the tasks that it holds.

    Attributes:
        revision: Revision of its key.
        low: Its first task.
        high: One past its last task.
    """

    revision: int
    low: int
    high: int


class Job:
    """A job, the states of its tasks, and the chunks in which they are stored.

    Times are in seconds since the epoch.

    Attributes:
        spec: The submission.
        id: The job's id.
        submitted_at: Time of the submission.
        eligible_at: Time since which it may start: its submission, or when the last of its
            dependencies was done, whichever is later.
        awaits_dependencies: Whether a dependency is not done; no task may be placed until it is.
        inherited: Priority and deadline that it inherits from the jobs that depend on it.
        revision: Revision of `job/<id>` and of its copy under `work/`, which are always written in
            the same transaction.
        phase: Its phase.
        chunk_tasks: Number of tasks in a chunk.
        unmarked_chunk_tasks: Number of tasks in a chunk whose key does not name that number, as in
            versions that had only one.
        replaced_chunks: Stored chunks of earlier layouts, by the suffix of their key.
        ended_at: When all of its tasks were known to be done, if that is to be stored.
        states: The `TaskState` of each task.
        done_count: Number of tasks that are done.
        lowest_ready_hint: No task below this one is ready.
        ready_count: Number of ready tasks.
        live: The placements that count, by task.
        failures: Failures of tasks that are not parked, by task.
        chunks: The chunks of the present layout, by index; created when first used.
        reason: What users are told about its state.
        reason_generation: Number of changes of `reason`.
        durable_reason_generation: The `reason_generation` that was last stored.
        cancelled_at: When its cancellation was confirmed, or that of a job it needs, directly or
            through others; not before it was submitted.
        gang_stop_reason: Why the present attempt of a gang is being stopped; None if it is not.
        gang_failure: A task's own failure in the present attempt of a gang.
        avoided_machines: By machine where it failed, the time until which it is placed elsewhere if
            possible.
        max_failures: Highest failure count that any of its tasks has had.
        last_preemption_at: When lower-priority work was last stopped for it.
        preempted_machines: Number of machines on which that was.
        started_at: When this owner first saw one of its tasks running.
        changed_jobs: The shard's jobs with something to write; the job adds itself.
    """

    def __init__(
        self,
        spec: JobSpec,
        submitted_at: float,
        revision: int,
        chunk_tasks: int,
        unmarked_chunk_tasks: int = 0,
    ) -> None:
        """Create an active job whose tasks are all ready.

        Args:
            spec: The submission.
            submitted_at: Time of the submission.
            revision: Revision of `job/<id>`.
            chunk_tasks: Number of tasks in a chunk.
            unmarked_chunk_tasks: See the class; 0 for `chunk_tasks`.
        """
        self.spec = spec
        self.id = spec.id
        self.submitted_at = submitted_at
        self.eligible_at = submitted_at
        self.awaits_dependencies = False
        self.inherited: Urgency = NO_URGENCY
        self.revision = revision
        self.phase = JobPhase.ACTIVE
        self.chunk_tasks = chunk_tasks
        self.unmarked_chunk_tasks = unmarked_chunk_tasks or chunk_tasks
        self.replaced_chunks: dict[str, ReplacedChunk] = {}
        self.ended_at: float | None = None
        self.states = bytearray(spec.tasks)
        self.done_count = 0
        self.lowest_ready_hint = 0
        self.ready_count = spec.tasks
        self.live: dict[int, Placement] = {}
        self.failures: dict[int, Failure] = {}
        self.chunks: dict[int, Chunk] = {}
        self.reason: str | None = None
        self.reason_generation = 0
        self.durable_reason_generation = 0
        self.cancelled_at: float | None = None
        self.gang_stop_reason: str | None = None
        self.gang_failure: Failure | None = None
        self.avoided_machines: dict[str, float] = {}
        self.max_failures = 0
        self.last_preemption_at = -math.inf
        self.preempted_machines = 0
        self.started_at: float | None = None
        self.changed_jobs: dict[str, Job] = {}

    def mark_changed(self) -> None:
        """Register the job with its shard as having something to write."""
        self.changed_jobs[self.id] = self

    # -- task states -----------------------------------------------------------------------

    def _set_state(self, task: int, state: TaskState) -> int:
        """Change a task's state, unless it is done; returns the generation of its chunk."""
        previous = self.states[task]
        if previous == TaskState.DONE:
            return self.chunk_of(task).generation
        self.mark_changed()
        if previous == TaskState.READY:
            self.ready_count -= 1
        if state == TaskState.READY:
            self.ready_count += 1
            self.lowest_ready_hint = min(self.lowest_ready_hint, task)
        if state == TaskState.DONE:
            self.done_count += 1
        self.states[task] = state
        return self.chunk_of(task).mark_changed()

    def place(self, task: int, machine: str, attempt: int, now: float) -> Placement:
        """Place a task on a machine.

        Its run command may be sent once its chunk is durable, or all changed chunks of a gang.
        """
        chunk = self.chunk_of(task)
        chunk.max_attempt = max(chunk.max_attempt, attempt)
        generation = chunk.placed_generation = self._set_state(task, TaskState.LIVE)
        placement = Placement(self.id, task, attempt, machine, generation, now)
        self.live[task] = chunk.live[task] = placement
        return placement

    def unplace(self, task: int) -> Placement | None:
        """Remove and return a task's placement, if it has one; its state stays as it is."""
        self.chunk_of(task).live.pop(task, None)
        return self.live.pop(task, None)

    def release(self, task: int) -> None:
        """Make a placed task ready again.

        It is proved stopped, or its run command was never sent.
        """
        self.unplace(task)
        if self.states[task] == TaskState.LIVE:
            self._set_state(task, TaskState.READY)
        else:
            self.chunk_of(task).mark_changed()
        self.mark_changed()

    def finish(self, task: int) -> None:
        """Mark a task as done, and forget its failures."""
        self.failures.pop(task, None)
        self._set_state(task, TaskState.DONE)

    def park(self, task: int, failure: Failure) -> None:
        """Park a task until its retry time."""
        self._record_failure(task, failure)
        self.failures.pop(task, None)  # stored with the park instead
        self._set_state(task, TaskState.PARKED)

    def _record_failure(self, task: int, failure: Failure) -> None:
        self.failures[task] = failure
        self.max_failures = max(self.max_failures, failure.failure_count)

    def unpark(self, task: int, failure: Failure) -> None:
        """Make a parked task ready, with the failures that were stored with its park."""
        if self.states[task] == TaskState.PARKED:
            self._record_failure(task, failure)
            self._set_state(task, TaskState.READY)

    def set_failure(self, task: int, failure: Failure) -> None:
        """Record the failures of a task that is retried without being parked."""
        self._record_failure(task, failure)
        self.chunk_of(task).mark_changed()
        self.mark_changed()

    @property
    def job_class(self) -> str:
        """The job class of the submission."""
        return self.spec.job_class

    @property
    def likely_faulty(self) -> bool:
        """Whether the submission itself is probably wrong.

        That is assumed if none of its tasks is done, some task has failed at least twice, so that
        the retry in place is used up, and the failures were not all on one machine. After a
        failover the machines are not known, and only the first two conditions count.
        """
        return self.max_failures >= 2 and not self.done_count and len(self.avoided_machines) != 1

    def cancel(self, at: float) -> None:
        """Record that the job was durably cancelled at that time."""
        self.phase = JobPhase.CANCELLED
        self.cancelled_at = at
        self.mark_changed()

    def mark_over(self, at: float | None = None) -> None:
        """Record that all tasks are done, so that the outcome is written.

        The time is stored with it, unless it is None.
        """
        self.phase = JobPhase.OVER
        self.ended_at = at
        self.mark_changed()

    def orphan(self, dependency: str, at: float) -> None:
        """Cancel the job because a dependency is cancelled, so that this outcome is written.

        Args:
            dependency: Id of the cancelled job.
            at: See `cancelled_at`.
        """
        self.phase = JobPhase.ORPHANED
        self.awaits_dependencies = False
        self.cancelled_at = at
        self.reason = f"it needs {dependency}, which was cancelled"
        self.mark_changed()

    def dependencies_done(self, since: float) -> None:
        """Let the job start: the last of its dependencies was done at `since`."""
        self.awaits_dependencies = False
        self.eligible_at = max(self.submitted_at, since)

    def set_reason(self, reason: str) -> None:
        """Set what users are told about the job's state; it is written if it changed."""
        if reason != self.reason:
            self.reason = reason
            self.reason_generation += 1
            self.mark_changed()

    # -- queries ---------------------------------------------------------------------------

    def chunk_of(self, task: int) -> Chunk:
        """Return the chunk of the present layout that holds a task."""
        return self.chunk(task // self.chunk_tasks)

    def chunk(self, index: int) -> Chunk:
        """Return a chunk of the present layout; it is created when first asked for."""
        chunk = self.chunks.get(index)
        if chunk is None:
            chunk = self.chunks[index] = Chunk(index)
        return chunk

    def next_ready(self) -> int:
        """Return the lowest ready task; -1 if there is none."""
        if not self.ready_count:
            return -1
        self.lowest_ready_hint = max(self.states.find(TaskState.READY, self.lowest_ready_hint), 0)
        return self.states.find(TaskState.READY, self.lowest_ready_hint)

    def ready_tasks(self, max_tasks: int) -> list[int]:
        """Return the lowest ready tasks, ascending."""
        tasks: list[int] = []
        task = self.next_ready()
        while task >= 0 and len(tasks) < max_tasks:
            tasks.append(task)
            task = self.states.find(TaskState.READY, task + 1)
        return tasks

    def attempt_for(self, task: int) -> int:
        """Return a task's next attempt number; a gang's tasks share one."""
        if self.spec.kind == JobKind.GANG:
            return max((chunk.max_attempt for chunk in self.chunks.values()), default=0) + 1
        return self.chunk_of(task).max_attempt + 1

    @property
    def is_urgent(self) -> bool:
        """Whether run commands or an outcome wait for its next write; the rest can be deferred."""
        return self.phase is not JobPhase.ACTIVE or any(
            chunk.placed_generation > chunk.durable_generation for chunk in self.chunks.values()
        )

    @property
    def durable_generations(self) -> int:
        """Sum of what was last stored of its chunks and its reason; grows with each write."""
        return self.durable_reason_generation + sum(
            chunk.durable_generation for chunk in self.chunks.values()
        )

    @property
    def all_done(self) -> bool:
        """Whether all tasks are done."""
        return self.done_count == self.spec.tasks

    @property
    def active(self) -> bool:
        """Whether the job is neither over nor cancelled, directly or through a dependency."""
        return self.phase is JobPhase.ACTIVE

    @property
    def outcome_ready(self) -> bool:
        """Whether its outcome can be written.

        Its tasks are all done, or it is cancelled and none of its placements counts any more.
        """
        return self.phase is JobPhase.OVER or (
            self.phase in (JobPhase.CANCELLED, JobPhase.ORPHANED) and not self.live
        )

    @property
    def priority(self) -> int:
        """Its own priority, raised to that of any job that depends on it."""
        return max(self.spec.priority, self.inherited.priority)

    @property
    def deadline_at(self) -> float:
        """Time by which it should be done; infinite if there is none.

        It is the earlier of its own deadline and of what the jobs that depend on it need.
        """
        own = math.inf if self.spec.deadline_s is None else self.submitted_at + self.spec.deadline_s
        return min(own, self.inherited.finish_by)

    @property
    def running_count(self) -> int:
        """Number of tasks that their worker last reported as running."""
        return sum(1 for placement in self.live.values() if placement.status == TaskStatus.RUNNING)

    # -- encoding in the store -----------------------------------------------------

    def chunk_path(self, index: int) -> str:
        """Return the key of a chunk of the present layout."""
        return self.work_path(self.chunk_suffix(index))

    def work_path(self, suffix: str) -> str:
        """Return the key of a chunk of any layout, from its suffix."""
        return f"work/{self.spec.team}/{self.id}/{suffix}"

    def chunk_suffix(self, index: int) -> str:
        """Return the last part of a chunk's key, `<index>` or `<index>w<chunk_tasks>`."""
        return (
            f"{index}"
            if self.chunk_tasks == self.unmarked_chunk_tasks
            else f"{index}w{self.chunk_tasks}"
        )

    def parse_chunk_suffix(self, suffix: str) -> tuple[int, int]:
        """Return the index and the number of tasks of the chunk that a key's suffix names."""
        index, _, width = suffix.partition("w")
        return int(index), int(width) if width else self.unmarked_chunk_tasks

    def set_chunk_revision(self, suffix: str, revision: int) -> None:
        """Record the present revision of a chunk of any layout; 0: its key does not exist."""
        index, width = self.parse_chunk_suffix(suffix)
        if width == self.chunk_tasks:
            self.chunk(index).revision = revision
        elif revision:
            self.replaced_chunks[suffix] = ReplacedChunk(
                revision, index * width, min((index + 1) * width, self.spec.tasks)
            )
        else:
            self.replaced_chunks.pop(suffix, None)
        self.mark_changed()

    def narrow_chunks(self, width: int) -> None:
        """Change to chunks of fewer tasks, because a value would exceed the limit of the store.

        A stored chunk of the previous layout remains valid for a task until the narrower chunk that
        holds the task is durable. It is deleted once that is so for all of its tasks.
        """
        previous, previous_width = self.chunks, self.chunk_tasks
        self.replaced_chunks |= {
            self.chunk_suffix(index): ReplacedChunk(
                chunk.revision,
                index * previous_width,
                min((index + 1) * previous_width, self.spec.tasks),
            )
            for index, chunk in previous.items()
            if chunk.revision
        }
        self.chunks = {}
        self.chunk_tasks = width
        for index, chunk in previous.items():
            if not chunk.revision and not chunk.generation:
                continue
            for narrower in self.chunks_covering(
                index * previous_width, min((index + 1) * previous_width, self.spec.tasks)
            ):
                narrower.max_attempt = max(narrower.max_attempt, chunk.max_attempt)
                narrower.mark_changed()
        for task, placement in self.live.items():
            chunk = self.chunk_of(task)
            chunk.live[task] = placement
            if placement.phase is PlacementPhase.INTENDED:
                placement.generation = chunk.placed_generation = chunk.generation
        self.mark_changed()

    def chunks_covering(self, low: int, high: int) -> list[Chunk]:
        """Return the chunks of the present layout that hold tasks from `low` to before `high`."""
        return [
            self.chunk(index)
            for index in range(low // self.chunk_tasks, (high - 1) // self.chunk_tasks + 1)
        ]

    @property
    def job_copy_path(self) -> str:
        """The key of the copy of the job's record beside its chunks."""
        return f"work/{self.spec.team}/{self.id}/job"

    @property
    def job_path(self) -> str:
        """The key of the job's record."""
        return f"job/{self.id}"

    def chunk_value(self, index: int) -> dict[str, Any]:
        """Return the value to be stored for a chunk.

        `a` is the highest attempt number, `d` the ranges of done tasks, `p` the placements and `f`
        the ranges of tasks with equal failures. Tasks in neither `d` nor `p` are ready or parked.
        """
        low = index * self.chunk_tasks
        high = min(low + self.chunk_tasks, self.spec.tasks)
        value: dict[str, Any] = {"a": self.chunk(index).max_attempt}
        done = [task for task in range(low, high) if self.states[task] == TaskState.DONE]
        if done:
            value["d"] = ranges_of(done)
        placed = [
            [task, placement.machine, placement.attempt]
            for task, placement in sorted(self.chunk(index).live.items())
        ]
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

    def load_chunks(self, stored: Iterable[tuple[str, Any, int]], now: float) -> list[Placement]:
        """Load the stored chunks of a job that is new in memory, and return its placements.

        If an earlier owner was changing to narrower chunks, some tasks are in chunks of several
        layouts. The narrowest chunk that holds a task decides, and this owner completes the change.

        Args:
            stored: Suffix of the key, value and revision of each chunk.
            now: Seconds since the epoch.
        """
        rows = sorted(
            (*reversed(self.parse_chunk_suffix(suffix)), suffix, value, revision)
            for suffix, value, revision in stored
        )
        if not rows:
            return []
        self.chunk_tasks = rows[0][0]
        loaded = bytearray(self.spec.tasks)
        placements: list[Placement] = []
        for width, index, suffix, value, revision in rows:
            low, high = index * width, min((index + 1) * width, self.spec.tasks)
            placements += self._load_chunk(value, loaded, now)
            loaded[low:high] = b"\1" * (high - low)
            if width == self.chunk_tasks:
                chunk = self.chunk(index)
                chunk.revision = revision
                chunk.max_attempt = max(chunk.max_attempt, value.get("a", 0))
                chunk.durable_generation = chunk.generation
                continue
            self.replaced_chunks[suffix] = ReplacedChunk(revision, low, high)
            for chunk in self.chunks_covering(low, high):
                if not chunk.revision:
                    chunk.max_attempt = max(chunk.max_attempt, value.get("a", 0))
                    chunk.mark_changed()
        return placements

    def _load_chunk(self, value: dict[str, Any], loaded: bytearray, now: float) -> list[Placement]:
        """Load a chunk's tasks, except those that are marked in `loaded`."""
        for low, high in value.get("d", []):
            for task in range(low, high + 1):
                if not loaded[task]:
                    self._set_state(task, TaskState.DONE)
        for low, high, *failure in value.get("f", []):
            for task in range(low, high + 1):
                if not loaded[task]:
                    self._record_failure(task, Failure(*failure))
        placements = []
        for task, machine, attempt in value.get("p", []):
            if not loaded[task]:
                placements.append(self.place(task, machine, attempt, now))
                placements[-1].mark_recovered()
        return placements

    def record(self) -> dict[str, Any]:
        """Return the value of `job/<id>`.

        It is never deleted: queries about a job that has ended are answered from it.
        """
        status = (
            JobStatus.DONE if self.phase in (JobPhase.OVER, JobPhase.FINAL) else JobStatus.QUEUED
        )
        if self.phase in (JobPhase.CANCELLED, JobPhase.ORPHANED):
            status = JobStatus.WITHDRAWN
        return job_record(
            self.spec, self.submitted_at, status, self.reason, self.cancelled_at, self.ended_at
        )


def job_record(
    spec: JobSpec,
    submitted_at: float,
    status: str = JobStatus.QUEUED,
    reason: str | None = None,
    cancelled_at: float | None = None,
    done_at: float | None = None,
) -> dict[str, Any]:
    """Return a job's record, the value of `job/<id>`; times are in seconds since the epoch."""
    record: dict[str, Any] = {"spec": spec, "at": submitted_at, "status": status}
    if reason:
        record["reason"] = reason
    if cancelled_at is not None:
        record["cancelled_at"] = round(cancelled_at, 3)
    if done_at is not None:
        record["done_at"] = round(done_at, 3)
    return record


def ended_at_of(record: dict[str, Any]) -> float | None:
    """Return when a job was done or cancelled, in seconds since the epoch.

    None if its record does not say so, or if it has not ended.
    """
    ended_at: float | None = record.get(
        "cancelled_at" if record["status"] == JobStatus.WITHDRAWN else "done_at"
    )
    return ended_at


def spec_of_record(record: dict[str, Any]) -> JobSpec:
    """Return the submission of a record that was read from the store or just built."""
    spec = record["spec"]
    return spec if isinstance(spec, JobSpec) else msgspec.convert(spec, JobSpec)


def fit_job_record(record: dict[str, Any], max_bytes: int) -> dict[str, Any]:
    """Return the record of an ended job, shortened if it is longer than `max_bytes`.

    What is left out is not asked for after the job has ended. The result may still be too long.
    """
    if len(msgspec.json.encode(record)) <= max_bytes:
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
    """Return the number of tasks in a chunk such that its largest value takes 90 % of the limit."""
    return max(1, int(value_kb * 1024 * 0.9) // MAX_TASK_BYTES)
