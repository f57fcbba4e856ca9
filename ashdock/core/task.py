"""A task's states and one placement of it on a machine, each change of state a function of its own."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from ashdock.wire.messages import TaskStatus


class TaskState(IntEnum):
    """One byte a task, so that an array of 100,000 costs 100 kB."""

    READY = 0
    LIVE = 1  # has a placement that counts
    PARKED = 2
    DONE = 3


class Phase(IntEnum):
    """Where a placement stands. It counts towards every bound until `shard` drops it on proof of its stop."""

    INTENDED = 0  # in memory only: nothing may be sent
    COMMITTED = 1  # durable: a start may be sent
    ORDERED = 2  # a start was, or may have been, sent
    HELD = 3  # its worker reported it
    STOPPING = 4  # to be stopped, and not yet confirmed


class Failure(NamedTuple):
    """A task's own failures in the running episode."""

    times: int
    first: float
    why: str
    past: int = 0  # 1 once the episode's bounds are behind it


class Placement:
    __slots__ = (
        "attempt",
        "gen",
        "grace_s",
        "held_at",
        "incarnation",
        "job",
        "machine",
        "ordered",
        "phase",
        "placed_at",
        "recalled",
        "running_at",
        "seen",
        "status",
        "taken_over",
        "task",
        "why",
    )

    def __init__(
        self, job: str, task: int, attempt: int, machine: str, gen: int, now: float
    ) -> None:
        self.job = job
        self.task = task
        self.attempt = attempt
        self.machine = machine
        self.gen = gen  # the chunk must be durable up to here before a start is sent
        self.placed_at = now
        self.phase = Phase.INTENDED
        self.ordered: tuple[int, int] | None = (
            None  # tenure and tally of the report whose answer carried the start
        )
        self.seen = False
        self.taken_over = False  # an earlier owner placed it, and may have ordered its start in a session that we do not know of
        self.incarnation: int | None = (
            None  # the worker's session in which we last ordered or saw it
        )
        self.status = ""
        self.held_at: float | None = None  # image held since
        self.running_at: float | None = None
        self.grace_s = 0.0
        self.why = ""
        self.recalled = False

    @property
    def key(self) -> tuple[str, int]:
        return self.job, self.task

    def committed(self) -> None:
        if self.phase is Phase.INTENDED:
            self.phase = Phase.COMMITTED

    def inherited(self) -> None:
        """Read from the state service: an earlier owner may have sent its start."""
        self.phase = Phase.ORDERED
        self.taken_over = True

    def answered_with_start(self, incarnation: int, sequence: int) -> None:
        if self.phase is Phase.COMMITTED:
            self.phase = Phase.ORDERED
        self.ordered = (incarnation, sequence)
        self.incarnation = incarnation

    def sent_directly(self, incarnation: int) -> None:
        self.incarnation = incarnation
        if self.phase is Phase.COMMITTED:
            self.phase = Phase.ORDERED

    def held(self, status: str, incarnation: int, now: float) -> None:
        self.incarnation = incarnation
        self.seen = True
        self.status = status
        if status != TaskStatus.PULLING and self.held_at is None:
            self.held_at = now
        if status == TaskStatus.RUNNING and self.running_at is None:
            self.running_at = now
        if self.phase is not Phase.STOPPING:
            self.phase = Phase.HELD

    def stop(self, why: str, grace_s: float, now: float) -> None:
        if self.phase is Phase.STOPPING:
            if grace_s < self.grace_s:  # a second, harder word ends a save
                self.grace_s = grace_s
            return
        self.phase = Phase.STOPPING
        self.why = why
        self.grace_s = grace_s

    @property
    def never_sent(self) -> bool:
        """Only this process could have sent the start, and it has not."""
        return self.phase <= Phase.COMMITTED


def ranges_of(numbers: list[int]) -> list[list[int]]:
    """Ascending numbers as inclusive ranges."""
    out: list[list[int]] = []
    for number in numbers:
        if out and out[-1][1] == number - 1:
            out[-1][1] = number
        else:
            out.append([number, number])
    return out
