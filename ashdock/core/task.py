"""Task states, and the placement of a task on a machine.

Each transition of a placement is a method of its own.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from ashdock.wire.messages import TaskStatus

# Job, task and attempt. A plain tuple is cheap: one is built for each task of each heartbeat.
AttemptKey = tuple[str, int, int]


class TaskState(IntEnum):
    """State of a task.

    A job keeps one byte for each task, so that an array of 100,000 tasks takes 100 kB.
    """

    READY = 0
    LIVE = 1  # has a placement that counts
    PARKED = 2
    DONE = 3


class PlacementPhase(IntEnum):
    """Phase of a placement.

    In every phase the placement counts towards quotas and the machine's capacity, until the shard
    drops it on proof that the task is not, and will not be, on the machine.
    """

    INTENDED = 0  # in memory only: its run command must not be sent
    COMMITTED = 1  # durable: its run command may be sent
    START_SENT = 2  # its run command was, or may have been, sent
    REPORTED = 3  # its worker reported it
    STOPPING = 4  # to be stopped; its end is not proved yet


class Failure(NamedTuple):
    """A task's own failures in its retry episode.

    Attributes:
        failure_count: Number of failures.
        first_at: When the first was, in seconds since the epoch.
        reason: Reason of the last.
        past_limits: 1 once the episode has exceeded its time or its number of parks, else 0.
    """

    failure_count: int
    first_at: float
    reason: str
    past_limits: int = 0


class Placement:
    """One attempt of a task on one machine.

    Attributes:
        job: The job's id.
        task: The task's number within its job.
        attempt: Number of the attempt.
        machine: The machine's name.
        generation: Generation of the task's chunk that has to be durable before the run command is
            sent.
        placed_at: When it was placed, in seconds since the epoch.
        phase: Its phase.
        start_answered: Incarnation and sequence number of the heartbeat whose response carried the
            run command.
        worker_reported: Whether its worker has reported it.
        from_earlier_owner: Whether it was read from the store: an earlier owner placed it, and may
            have sent its run command in an incarnation that this owner does not know of.
        incarnation: The worker's incarnation in which this owner last sent its run command or had
            a report of it.
        status: Status in the last heartbeat; "" before the first.
        image_ready_at: When a heartbeat first showed its image as fetched.
        running_at: When a heartbeat first showed it as running.
        grace_s: Seconds that it has to save its state when it is stopped.
        stop_reason: Why it is being stopped.
        reclaim_handled: Whether it was already decided if it is preempted because the cloud
            reclaims its spot instance.
    """

    __slots__ = (
        "attempt",
        "from_earlier_owner",
        "generation",
        "grace_s",
        "image_ready_at",
        "incarnation",
        "job",
        "machine",
        "phase",
        "placed_at",
        "reclaim_handled",
        "running_at",
        "start_answered",
        "status",
        "stop_reason",
        "task",
        "worker_reported",
    )

    def __init__(
        self, job: str, task: int, attempt: int, machine: str, generation: int, now: float
    ) -> None:
        """Create a placement that is not durable yet."""
        self.job = job
        self.task = task
        self.attempt = attempt
        self.machine = machine
        self.generation = generation
        self.placed_at = now
        self.phase = PlacementPhase.INTENDED
        self.start_answered: tuple[int, int] | None = None
        self.worker_reported = False
        self.from_earlier_owner = False
        self.incarnation: int | None = None
        self.status = ""
        self.image_ready_at: float | None = None
        self.running_at: float | None = None
        self.grace_s = 0.0
        self.stop_reason = ""
        self.reclaim_handled = False

    @property
    def key(self) -> tuple[str, int]:
        """Job and number of the task."""
        return self.job, self.task

    def mark_committed(self) -> None:
        """Record that the placement is durable."""
        if self.phase is PlacementPhase.INTENDED:
            self.phase = PlacementPhase.COMMITTED

    def mark_recovered(self) -> None:
        """Record that it was read from the store; its run command may have been sent before."""
        self.phase = PlacementPhase.START_SENT
        self.from_earlier_owner = True

    def start_sent_in_response(self, incarnation: int, sequence: int) -> None:
        """Record that the response to that heartbeat carries its run command."""
        if self.phase is PlacementPhase.COMMITTED:
            self.phase = PlacementPhase.START_SENT
        self.start_answered = (incarnation, sequence)
        self.incarnation = incarnation

    def start_sent_directly(self, incarnation: int) -> None:
        """Record that its run command is sent to its worker directly, not in a response."""
        self.incarnation = incarnation
        if self.phase is PlacementPhase.COMMITTED:
            self.phase = PlacementPhase.START_SENT

    def record_report(self, status: str, incarnation: int, now: float) -> None:
        """Record a heartbeat of that incarnation that reports it as not ended."""
        self.incarnation = incarnation
        self.worker_reported = True
        self.status = status
        if status != TaskStatus.PULLING and self.image_ready_at is None:
            self.image_ready_at = now
        if status == TaskStatus.RUNNING and self.running_at is None:
            self.running_at = now
        if self.phase is not PlacementPhase.STOPPING:
            self.phase = PlacementPhase.REPORTED

    def stop(self, reason: str, grace_s: float) -> None:
        """Mark it as to be stopped; a second call can only shorten the grace period."""
        if self.phase is PlacementPhase.STOPPING:
            if grace_s < self.grace_s:
                self.grace_s = grace_s
            return
        self.phase = PlacementPhase.STOPPING
        self.stop_reason = reason
        self.grace_s = grace_s

    @property
    def never_sent(self) -> bool:
        """Whether its run command was not sent, and only this owner could have sent it."""
        return self.phase <= PlacementPhase.COMMITTED


def ranges_of(numbers: list[int]) -> list[list[int]]:
    """Return ascending numbers as ranges `[first, last]`, both ends included."""
    ranges: list[list[int]] = []
    for number in numbers:
        if ranges and ranges[-1][1] == number - 1:
            ranges[-1][1] = number
        else:
            ranges.append([number, number])
    return ranges
