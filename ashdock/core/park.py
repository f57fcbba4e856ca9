"""Parks: tasks that wait for a retry time after failures of their own, kept durably.

A task is retried with exponential backoff. The defaults follow a published retry scheme: delays of
2 s, doubled up to 60 s, for 15 minutes or 30 parks. `Retry` has them as settings.
"""

from __future__ import annotations

import random
from enum import StrEnum
from typing import Any, NamedTuple

import msgspec

from ashdock.core.task import Failure
from ashdock.settings import Retry

MAX_REASON_CHARS = 24  # of a failure's reason, which bounds the size of a stored row
MAX_DOUBLINGS = 64  # exceeds any limit of the delay; a larger exponent could overflow
EMPTY_VALUE_BYTES = 2  # the brackets around the rows of a value
SEPARATOR_BYTES = 1  # the comma after a row


class Park(NamedTuple):
    """A range of tasks that wait for the same retry time.

    Attributes:
        job: The job's id.
        low: The first task.
        high: The last task.
        retry_at: When they are retried, in seconds since the epoch.
        failure: Their failures so far.
    """

    job: str
    low: int
    high: int
    retry_at: float
    failure: Failure


class RetryStep(StrEnum):
    """How a task is retried after a failure of its own."""

    IN_PLACE = "in_place"  # at once
    PARK = "park"  # after the backoff delay
    PAST_LIMITS = "past"  # the episode exceeded its limits before: after the longest delay


class RetryDecision(NamedTuple):
    """The decision on a task's retry.

    Attributes:
        step: How it is retried.
        delay_s: Seconds until the retry; 0 if in place.
        failure: Its failures, the latest included.
    """

    step: RetryStep
    delay_s: float
    failure: Failure


def decide_retry(
    retry: Retry, previous: Failure | None, reason: str, now: float, rng: random.Random
) -> RetryDecision:
    """Decide the next step of a task's retry episode.

    Only a task's own failures count. Missing capacity, preemption, a lost or full machine and
    failures of other tasks of its gang use up neither the count nor the time of the episode.

    Args:
        retry: The delays and limits.
        previous: The failures before this one, if any.
        reason: Reason of this failure.
        now: Seconds since the epoch.
        rng: For the jitter: tasks that fail together would otherwise be retried together, and
            compete for the same free capacity and images.
    """
    # The first failure is retried in place if the first delay is short. Then `parks` is also the
    # number of the park that this failure would lead to.
    parks, first_at, _, past_limits = previous or Failure(0, now, "")
    failure = Failure(parks + 1, first_at, reason[:MAX_REASON_CHARS], past_limits)
    doublings = min(max(parks - 1, 0), MAX_DOUBLINGS)
    delay = min(retry.cap_s, retry.first_delay_s * retry.factor**doublings)
    delay *= 1 + rng.random() / 2
    if past_limits:
        return RetryDecision(RetryStep.PAST_LIMITS, retry.cap_s * (1 + rng.random()), failure)
    if now - first_at >= retry.horizon_s or parks > retry.most_parks:
        # Once more at once; from the next failure on, after the longest delay.
        return RetryDecision(RetryStep.IN_PLACE, 0.0, failure._replace(past_limits=1))
    if parks == 0 and retry.first_delay_s < retry.park_at_once_s:
        return RetryDecision(RetryStep.IN_PLACE, 0.0, failure)
    return RetryDecision(RetryStep.PARK, delay, failure)


class Parks:
    """The parks of one shard, stored in the values `park/<team>/<index>`.

    Attributes:
        team: The shard's team.
        value_bytes: The largest value that the store takes, in bytes.
        items: The parks, in the order in which they were added.
        revisions: Revision of each value as last written or read; 0 if its key does not exist.
        written: Encoding of each value as last written or read.
        dirty: Whether a value may differ from what is stored.
    """

    def __init__(self, team: str, value_bytes: int) -> None:
        """Create the shard's parks, empty."""
        self.team = team
        self.value_bytes = value_bytes
        self.items: list[Park] = []
        self.revisions: list[int] = []
        self.written: list[bytes] = []
        self.dirty = False

    def path(self, index: int) -> str:
        """Return the key of a value."""
        return f"park/{self.team}/{index}"

    def add(self, job: str, ranges: list[list[int]], retry_at: float, failure: Failure) -> None:
        """Park ranges of a job's tasks; a range that continues the last park extends it."""
        for low, high in ranges:
            last = self.items[-1] if self.items else None
            if last and (last.job, last.high, last.retry_at, last.failure) == (
                job,
                low - 1,
                retry_at,
                failure,
            ):
                self.items[-1] = last._replace(high=high)
            else:
                self.items.append(Park(job, low, high, retry_at, failure))
        self.dirty = True

    def pop_due(self, now: float) -> list[Park]:
        """Remove and return the parks whose retry time has come."""
        due = [park for park in self.items if park.retry_at <= now]
        if due:
            self.items = [park for park in self.items if park.retry_at > now]
            self.dirty = True
        return due

    def set_value_bytes(self, value_bytes: int) -> None:
        """Set the largest value that the store takes, in bytes; all values are checked anew."""
        if value_bytes != self.value_bytes:
            self.value_bytes = value_bytes
            self.dirty = True

    def remove_job(self, job: str) -> None:
        """Remove the parks of a job."""
        kept = [park for park in self.items if park.job != job]
        self.dirty = self.dirty or len(kept) != len(self.items)
        self.items = kept

    def values(self) -> list[list[Any]]:
        """Return the parks as rows by retry time, divided into values within the limit."""
        values: list[list[Any]] = [[]]
        size = EMPTY_VALUE_BYTES
        for park in sorted(self.items, key=lambda item: (item.retry_at, item.job, item.low)):
            row = [park.job, park.low, park.high, round(park.retry_at, 3), *park.failure]
            row_bytes = len(msgspec.json.encode(row)) + SEPARATOR_BYTES
            if size + row_bytes > self.value_bytes and values[-1]:
                values.append([])
                size = EMPTY_VALUE_BYTES
            values[-1].append(row)
            size += row_bytes
        return values

    def pending_writes(self) -> list[tuple[int, list[Any] | None]]:
        """Return the values that differ from what is stored, by index; None: to be deleted.

        If there are more values than stored, the last one comes first: where one transaction does
        not take them all, a park that moves to a later value is stored twice for a moment, rather
        than not at all.
        """
        values = self.values() if self.items else []
        count = max(len(values), len(self.revisions))
        existing = sum(revision > 0 for revision in self.revisions)
        indices = reversed(range(count)) if len(values) > existing else range(count)
        writes: list[tuple[int, list[Any] | None]] = []
        for index in indices:
            revision = self.revisions[index] if index < len(self.revisions) else 0
            if index >= len(values):
                if revision:
                    writes.append((index, None))
            elif revision == 0 or self.written[index] != msgspec.json.encode(values[index]):
                writes.append((index, values[index]))
        return writes

    def set_written(self, index: int, value: list[Any] | None, revision: int) -> None:
        """Record that a value is stored with that revision; None: that it was deleted."""
        while len(self.revisions) <= index:
            self.revisions.append(0)
            self.written.append(b"")
        self.revisions[index] = 0 if value is None else revision
        self.written[index] = b"" if value is None else msgspec.json.encode(value)

    def load(self, index: int, value: list[Any], revision: int) -> list[Park]:
        """Add the parks of a stored value, and return those that were not known yet.

        A park is in two values if an earlier owner was moving it from one to the other.
        """
        self.set_written(index, value, revision)
        known = set(self.items)
        loaded = [
            Park(job, low, high, retry_at, Failure(*failure))
            for job, low, high, retry_at, *failure in value
        ]
        new = [park for park in loaded if park not in known]
        self.items += new
        return new
