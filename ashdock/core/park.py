"""Parks: tasks whose own failures made them wait, kept durably with their retry time and carried count.

The delays and bounds are the source document's (2 s, doubled, 60 s at most; 15 minutes or 30 parks).
"""

from __future__ import annotations

import random
from typing import Any, NamedTuple

import msgspec

from ashdock.core.task import Failure
from ashdock.settings import Retry

WHY_BYTES = 24


class Park(NamedTuple):
    job: str
    low: int
    high: int
    at: float
    failure: Failure


class Next(NamedTuple):
    """What follows a task's own failure."""

    step: str  # "in_place", "park" or "past"
    delay: float
    failure: Failure


def after_failure(
    retry: Retry, before: Failure | None, why: str, now: float, rng: random.Random
) -> Next:
    """The episode's next step. Only the job's own failures come here: capacity,
    preemption, lost machines, a full machine and missing mates spend neither count nor clock."""
    count, first, _, past = before or Failure(0, now, "")
    failure = Failure(count + 1, first, why[:WHY_BYTES], past)
    parks = count  # this would be the so-manyeth park: the first failure is retried in place
    delay = min(retry.cap_s, retry.first_delay_s * retry.factor ** min(max(parks - 1, 0), 64))
    # Tasks that fail together would wake together and meet at the same free room and images.
    delay *= 1 + rng.random() / 2
    if past:
        return Next("past", retry.cap_s * (1 + rng.random()), failure)
    if now - first >= retry.horizon_s or parks > retry.most_parks:
        return Next("in_place", 0.0, failure._replace(past=1))
    if parks == 0 and retry.first_delay_s < retry.park_at_once_s:
        return Next("in_place", 0.0, failure)
    return Next("park", delay, failure)


class Parks:
    """One shard's parks, and the values that keep them: `park/<team>/<n>`."""

    def __init__(self, team: str, value_bytes: int) -> None:
        self.team = team
        self.value_bytes = value_bytes
        self.items: list[Park] = []
        self.revisions: list[int] = []  # of the values as last written or read; 0: there is none
        self.written: list[bytes] = []
        self.dirty = False

    def path(self, n: int) -> str:
        return f"park/{self.team}/{n}"

    def add(self, job: str, tasks: list[list[int]], at: float, failure: Failure) -> None:
        for low, high in tasks:
            last = self.items[-1] if self.items else None
            if (
                last
                and last.job == job
                and last.high == low - 1
                and (last.at, last.failure) == (at, failure)
            ):
                self.items[-1] = last._replace(high=high)
            else:
                self.items.append(Park(job, low, high, at, failure))
        self.dirty = True

    def due(self, now: float) -> list[Park]:
        out = [park for park in self.items if park.at <= now]
        if out:
            self.items = [park for park in self.items if park.at > now]
            self.dirty = True
        return out

    def fit(self, value_bytes: int) -> None:
        """The state service takes smaller values from here on: what is written now spills over more of them."""
        if value_bytes != self.value_bytes:
            self.value_bytes = value_bytes
            self.dirty = True

    def drop(self, job: str) -> None:
        kept = [park for park in self.items if park.job != job]
        self.dirty = self.dirty or len(kept) != len(self.items)
        self.items = kept

    def values(self) -> list[list[Any]]:
        """The ranges, spilled over as many values as they need."""
        out: list[list[Any]] = [[]]
        size = 2
        for park in sorted(self.items, key=lambda item: (item.at, item.job, item.low)):
            row = [park.job, park.low, park.high, round(park.at, 3), *park.failure]
            length = len(msgspec.json.encode(row)) + 1
            if size + length > self.value_bytes and out[-1]:
                out.append([])
                size = 2
            out[-1].append(row)
            size += length
        return out

    def writes(self) -> list[tuple[int, list[Any] | None]]:
        """The values that differ from what is written; None deletes. Where they come to be more, the last go first: should
        they not fit into one transaction, what has moved on stands twice for a moment, and not nowhere."""
        values = self.values() if self.items else []
        out: list[tuple[int, list[Any] | None]] = []
        most = max(len(values), len(self.revisions))
        for n in (
            reversed(range(most))
            if len(values) > sum(revision > 0 for revision in self.revisions)
            else range(most)
        ):
            revision = self.revisions[n] if n < len(self.revisions) else 0
            if n >= len(values):
                if revision:
                    out.append((n, None))
            elif revision == 0 or self.written[n] != msgspec.json.encode(values[n]):
                out.append((n, values[n]))
        return out

    def wrote(self, n: int, value: list[Any] | None, revision: int) -> None:
        while len(self.revisions) <= n:
            self.revisions.append(0)
            self.written.append(b"")
        self.revisions[n] = 0 if value is None else revision
        self.written[n] = b"" if value is None else msgspec.json.encode(value)

    def load(self, n: int, value: list[Any], revision: int) -> list[Park]:
        self.wrote(n, value, revision)
        out = [
            Park(job, low, high, at, Failure(*failure)) for job, low, high, at, *failure in value
        ]
        known = set(self.items)
        out = [park for park in out if park not in known]  # a value was being spilled over
        self.items += out
        return out
