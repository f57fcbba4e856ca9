"""Parks: tasks that wait for a retry time after failures of their own, kept durably with their failure count.

The delays and bounds are those of the paper that the retries follow (2 s, doubled, at most 60 s; 15 minutes or
30 parks); `Retry` has them as settings.
"""

from __future__ import annotations

import random
from enum import StrEnum
from typing import Any, NamedTuple

import msgspec

from ashdock.core.task import Failure
from ashdock.settings import Retry

WHY_BYTES = 24  # of a failure's reason: bounds the size of the stored rows
MAX_DOUBLINGS = 64  # far beyond any cap on the delay; a larger exponent could overflow
EMPTY_VALUE_BYTES = 2  # the brackets around the rows of a value
SEPARATOR_BYTES = 1  # the comma after a row


class Park(NamedTuple):
    """A range of tasks that wait for the same retry time.

    Attributes:
        job: The job's id.
        low: The first task.
        high: The last task.
        retry_at: The retry time: time of day, in seconds.
        failure: Their failures so far.
    """

    job: str
    low: int
    high: int
    retry_at: float
    failure: Failure


class RetryStep(StrEnum):
    """How a task is retried."""

    IN_PLACE = "in_place"  # at once
    PARK = "park"  # after a delay
    PAST_LIMITS = (
        "past"  # the episode is beyond its bounds: after the longest delay, again and again
    )


class RetryDecision(NamedTuple):
    """What follows a task's own failure.

    Attributes:
        step: How it is retried.
        delay: Seconds until it is; 0 if in place.
        failure: Its failures, this one included.
    """

    step: RetryStep
    delay: float
    failure: Failure


def decide_retry(
    retry: Retry, before: Failure | None, why: str, now: float, rng: random.Random
) -> RetryDecision:
    """Decide the next step of a task's retry episode.

    Only the task's own failures come here. What it is not to blame for (no capacity, preemption, a lost or
    full machine, other tasks of its gang) spends neither the count nor the time of the episode.

    Args:
        retry: The bounds.
        before: The failures before this one, if any.
        why: Reason of this one.
        now: Time of day, in seconds.
        rng: Spreads the delays: tasks that fail together would otherwise wake together, and compete for the
            same free capacity and images.
    """
    parks, first, _, past = before or Failure(0, now, "")  # the first failure is retried in place
    failure = Failure(parks + 1, first, why[:WHY_BYTES], past)
    doublings = min(max(parks - 1, 0), MAX_DOUBLINGS)
    delay = min(retry.cap_s, retry.first_delay_s * retry.factor**doublings)
    delay *= 1 + rng.random() / 2
    if past:
        return RetryDecision(RetryStep.PAST_LIMITS, retry.cap_s * (1 + rng.random()), failure)
    if now - first >= retry.horizon_s or parks > retry.most_parks:
        return RetryDecision(RetryStep.IN_PLACE, 0.0, failure._replace(past_limits=1))
    if parks == 0 and retry.first_delay_s < retry.park_at_once_s:
        return RetryDecision(RetryStep.IN_PLACE, 0.0, failure)
    return RetryDecision(RetryStep.PARK, delay, failure)


class Parks:
    """The parks of one shard, and the values of the store that keep them: `park/<team>/<n>`.

    Attributes:
        team: The shard's team.
        value_bytes: The largest value that the store takes, in bytes.
        items: The parks.
        revisions: Of each value as last written or read; 0: there is none.
        written: Each value as last written or read, encoded.
        dirty: Whether a value may differ from what is written.
    """

    def __init__(self, team: str, value_bytes: int) -> None:
        """No parks yet."""
        self.team = team
        self.value_bytes = value_bytes
        self.items: list[Park] = []
        self.revisions: list[int] = []
        self.written: list[bytes] = []
        self.dirty = False

    def path(self, n: int) -> str:
        """The key of a value."""
        return f"park/{self.team}/{n}"

    def add(self, job: str, tasks: list[list[int]], at: float, failure: Failure) -> None:
        """Park ranges of a job's tasks until `at`; a range that continues the last park extends it."""
        for low, high in tasks:
            last = self.items[-1] if self.items else None
            if last and (last.job, last.high, last.retry_at, last.failure) == (
                job,
                low - 1,
                at,
                failure,
            ):
                self.items[-1] = last._replace(high=high)
            else:
                self.items.append(Park(job, low, high, at, failure))
        self.dirty = True

    def pop_due(self, now: float) -> list[Park]:
        """Remove and return the parks whose retry time has come."""
        due = [park for park in self.items if park.retry_at <= now]
        if due:
            self.items = [park for park in self.items if park.retry_at > now]
            self.dirty = True
        return due

    def set_value_bytes(self, value_bytes: int) -> None:
        """From now on the store takes values of at most so many bytes."""
        if value_bytes != self.value_bytes:
            self.value_bytes = value_bytes
            self.dirty = True

    def remove_job(self, job: str) -> None:
        """Remove the parks of a job."""
        kept = [park for park in self.items if park.job != job]
        self.dirty = self.dirty or len(kept) != len(self.items)
        self.items = kept

    def values(self) -> list[list[Any]]:
        """The parks as rows, in as many values as they need, by retry time."""
        values: list[list[Any]] = [[]]
        size = EMPTY_VALUE_BYTES
        for park in sorted(self.items, key=lambda item: (item.retry_at, item.job, item.low)):
            row = [park.job, park.low, park.high, round(park.retry_at, 3), *park.failure]
            length = len(msgspec.json.encode(row)) + SEPARATOR_BYTES
            if size + length > self.value_bytes and values[-1]:
                values.append([])
                size = EMPTY_VALUE_BYTES
            values[-1].append(row)
            size += length
        return values

    def pending_writes(self) -> list[tuple[int, list[Any] | None]]:
        """The values that differ from what is written, with their numbers; None: to be deleted.

        Where they become more, the last comes first: if they don't fit into one transaction, a park that
        moves to a later value is stored twice for a moment, rather than not at all.
        """
        values = self.values() if self.items else []
        count = max(len(values), len(self.revisions))
        existing = sum(revision > 0 for revision in self.revisions)
        numbers = reversed(range(count)) if len(values) > existing else range(count)
        writes: list[tuple[int, list[Any] | None]] = []
        for n in numbers:
            revision = self.revisions[n] if n < len(self.revisions) else 0
            if n >= len(values):
                if revision:
                    writes.append((n, None))
            elif revision == 0 or self.written[n] != msgspec.json.encode(values[n]):
                writes.append((n, values[n]))
        return writes

    def set_written(self, n: int, value: list[Any] | None, revision: int) -> None:
        """A value is durable under that revision; None: it was deleted."""
        while len(self.revisions) <= n:
            self.revisions.append(0)
            self.written.append(b"")
        self.revisions[n] = 0 if value is None else revision
        self.written[n] = b"" if value is None else msgspec.json.encode(value)

    def load(self, n: int, value: list[Any], revision: int) -> list[Park]:
        """Take in a value that was read from the store; returns the parks that were not known yet.

        A park may be in two values, if an earlier owner was moving it from one to the other.
        """
        self.set_written(n, value, revision)
        known = set(self.items)
        loaded = [
            Park(job, low, high, at, Failure(*failure)) for job, low, high, at, *failure in value
        ]
        new = [park for park in loaded if park not in known]
        self.items += new
        return new
