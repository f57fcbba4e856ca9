"""A shard's classes of jobs: how each is served, and which of them falls behind its like.

Priorities, guarantees and limits go before: a class rises only among work of its own priority, and by one job a pass, the one that has
waited longest. So what rises costs the others one job's room a pass at most, however far it is behind, and is not served at the
cost of all of theirs.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from typing import Protocol

from ashdock.fairness.slo_attainment import MIN_ATTAINMENT, JobCounts, SloAttainment
from ashdock.settings import Objective

RISES = (
    MIN_ATTAINMENT * 5 / 4
)  # a class served less than this rises: before it is a half, of which the users say that it is too little,
RESTS = MIN_ATTAINMENT * 3 / 2  # until it is served so well
BETTER = (
    MIN_ATTAINMENT / 4
)  # by how much another of its priority has to be served better: where all are late alike, boosted helps nobody
FEW = 4  # fewer jobs that are due tell nothing


class Ready(Protocol):
    """What of a waiting job is looked at."""

    @property
    def id(self) -> str: ...

    @property
    def job_class(self) -> str: ...

    @property
    def priority(self) -> int: ...

    @property
    def since(self) -> float: ...

    @property
    def doubtful(self) -> bool: ...


class Classes:
    def __init__(self, objectives: Iterable[Objective], refresh_interval_s: float) -> None:
        """`refresh_interval_s`: how often the shares are worked out anew."""
        self.aims: dict[str, float] = {}  # by class: the most lenient for a start
        for objective in objectives:
            if objective.kind == "wait" and objective.job_class and objective.within_s:
                self.aims[objective.job_class] = max(
                    self.aims.get(objective.job_class, 0.0), objective.within_s
                )
        # What is over counts half after twice the longest aim: a rush is forgotten, but not before its last job was due.
        self.fades_s = 2 * max(self.aims.values(), default=60.0)
        self.refresh_interval_s = refresh_interval_s
        self.refreshed_at = -math.inf
        self.faded_at = -math.inf
        self.attainment = SloAttainment()
        self.recent: dict[
            str, tuple[float, float]
        ] = {}  # by class: of jobs that are over, how many were due, and served
        self.shares: dict[str, float] = {}
        self.boosted: set[str] = set()

    def record_accepted(
        self, job: str, job_class: str, team: str, tasks: int, since: float, due_at: float
    ) -> None:
        """Accepted, and free to start."""
        self.attainment.record_submitted(
            job, job_class, team, tasks, since, self.aims.get(job_class, math.inf), due_at
        )
        self.attainment.record_accepted(job)

    def record_done(self, job: str, now: float) -> None:
        over = self.attainment.record_done(job, now)
        if over is not None:
            name, row = over
            due, attained = self.recent.get(name, (0.0, 0.0))
            self.recent[name] = (due + row.due, attained + row.attained)

    def refresh(self, now: float) -> dict[str, float]:
        """Each class's share of late, as far as enough of it is due."""
        if now - self.refreshed_at < self.refresh_interval_s:
            return self.shares
        self.refreshed_at = now
        fade = 0.5 ** ((now - self.faded_at) / self.fades_s)
        self.faded_at = now
        self.recent = {
            name: (due * fade, attained * fade)
            for name, (due, attained) in self.recent.items()
            if due * fade > 0.1
        }
        rows: dict[str, JobCounts] = {}
        for known in self.attainment.open.values():
            rows[known.job_class] = rows.get(known.job_class, JobCounts()).plus(known.row(now))
        self.shares = {}
        for name in {*rows, *self.recent}:
            due, attained = self.recent.get(name, (0.0, 0.0))
            row = rows.get(name, JobCounts())
            if due + row.due >= FEW:
                self.shares[name] = (attained + row.attained) / (due + row.due)
        self.boosted = {
            name
            for name, share in self.shares.items()
            if share < (RESTS if name in self.boosted else RISES)
        }
        return self.shares

    def boosted_job_ids(
        self, waiting: Sequence[Ready], can_run: Iterable[str], now: float
    ) -> set[str]:
        """Jobs that go first of their priority in this pass. `can_run`: those for which there are machines at all; what has none, or is
        doubtful, is not starved by others, and takes nothing from them."""
        shares = self.refresh(now)
        if not self.boosted:
            return set()
        like: dict[int, set[str]] = {}
        for job in waiting:
            like.setdefault(job.priority, set()).add(job.job_class)
        able = set(can_run)
        first: dict[tuple[int, str], Ready] = {}
        for job in waiting:
            if job.job_class not in self.boosted or job.doubtful or job.id not in able:
                continue
            others = [shares.get(name, 1.0) for name in like[job.priority] if name != job.job_class]
            key = job.priority, job.job_class
            if max(others, default=0.0) >= shares[job.job_class] + BETTER and (
                key not in first or job.since < first[key].since
            ):
                first[key] = job
        return {job.id for job in first.values()}
