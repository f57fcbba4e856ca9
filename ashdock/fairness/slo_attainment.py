"""What "served" means, and the count of it, for each class of jobs and each team.

A job falls due when the most lenient of its class's aims for a start has gone by since it was submitted, or as soon as all of its
tasks run; where the class has a deadline instead, when that has gone by, or it is done. It counts as served by the share of its tasks
that were started by then, or wholly if it was done by its deadline. What is withdrawn by its user never falls due. The share of a
class, or of a team, is the mean over its jobs that are due: one of a hundred tasks counts as much as one of a single task, since each
has one user who waits for it.

A class's largest jobs are counted beside it: wide ones wait longest behind many small ones, and in the mean of a class they hardly show.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from ashdock.core.duration_histogram import DurationHistogram

MIN_ATTAINMENT = 0.5  # of which the users say that less is a failed day
FIRST_WAIT_S = 0.25  # the first bound of a histogram of waits; each further one is twice as long
BOUNDS = 14  # up to about 34 minutes, beyond which all are alike


def width_of(tasks: int) -> int:
    """Jobs of like size have the same: from each power of two up to the next."""
    return tasks.bit_length()


class JobCounts(NamedTuple):
    submitted: int = 0  # submitted
    accepted: int = 0
    started: int = 0  # all of its tasks have run
    done: int = 0
    due: int = 0
    attained: float = 0.0  # of those that are due, each by its share

    @property
    def attainment(self) -> float:
        """1 while nothing is due."""
        return self.attained / self.due if self.due else 1.0

    def plus(self, other: JobCounts) -> JobCounts:
        return JobCounts(
            self.submitted + other.submitted,
            self.accepted + other.accepted,
            self.started + other.started,
            self.done + other.done,
            self.due + other.due,
            self.attained + other.attained,
        )


@dataclass(slots=True)
class _Open:
    """A job that may still change what is counted of it."""

    job_class: str
    team: str
    tasks: int
    made_at: float
    aim_s: float  # math.inf: no aim for its start
    due_at: float  # math.inf: no deadline
    accepted: bool = False
    process_started: int = 0
    in_time: int = 0

    def row(self, now: float, done: bool = False) -> JobCounts:
        by_aim = now >= self.made_at + self.aim_s or self.process_started >= self.tasks
        by_deadline = done or now >= self.due_at
        no_aim = math.isinf(self.aim_s) and math.isinf(self.due_at)
        due = (by_aim and not math.isinf(self.aim_s)) or (
            by_deadline and (no_aim or not math.isinf(self.due_at))
        )
        started = min(self.in_time / self.tasks, 1.0)
        attained = max(started, 1.0 if done and now <= self.due_at else 0.0)
        return JobCounts(
            1,
            int(self.accepted),
            int(self.process_started >= self.tasks),
            int(done),
            int(due),
            attained if due else 0.0,
        )


@dataclass
class SloAttainment:
    open: dict[str, _Open] = field(default_factory=dict)
    over: dict[tuple[str, str], JobCounts] = field(default_factory=dict)  # by class and team
    widths: dict[tuple[str, int], JobCounts] = field(
        default_factory=dict
    )  # by class and width, of what is over
    start_waits: dict[str, DurationHistogram] = field(
        default_factory=dict
    )  # by class, of each task's start

    def record_submitted(
        self,
        job: str,
        job_class: str,
        team: str,
        tasks: int,
        at: float,
        aim_s: float = math.inf,
        due_at: float = math.inf,
    ) -> None:
        """Submitted. Times are seconds of one clock. A job that is known already stays as it is."""
        self.open.setdefault(job, _Open(job_class, team, max(tasks, 1), at, aim_s, due_at))

    def record_accepted(self, job: str) -> None:
        if job in self.open:
            self.open[job].accepted = True

    def record_started(self, job: str, tasks: int, at: float) -> None:
        """So many more of its tasks run. A task that starts again does not count again beyond the job's number."""
        known = self.open.get(job)
        if known is None or known.process_started >= known.tasks:
            return
        known.process_started += tasks
        waited = at - known.made_at
        if waited <= known.aim_s:
            known.in_time += tasks
        self.start_waits.setdefault(known.job_class, DurationHistogram(FIRST_WAIT_S, BOUNDS)).add(
            waited, tasks
        )

    def record_done(self, job: str, at: float) -> tuple[str, JobCounts] | None:
        """Its class, and what it counts for; None if it is not known."""
        known = self.open.pop(job, None)
        if known is None:
            return None
        row = known.row(at, done=True)
        self._close(known, row)
        return known.job_class, row

    def record_cancelled(self, job: str) -> None:
        known = self.open.pop(job, None)
        if known is not None:
            self._close(
                known, JobCounts(1, int(known.accepted), int(known.process_started >= known.tasks))
            )

    def _close(self, known: _Open, row: JobCounts) -> None:
        key = known.job_class, known.team
        self.over[key] = self.over.get(key, JobCounts()).plus(row)
        width = known.job_class, width_of(known.tasks)
        self.widths[width] = self.widths.get(width, JobCounts()).plus(row)

    def largest(self, now: float) -> dict[str, JobCounts]:
        """Of each class the jobs of the greatest width that has come."""
        every = [
            *self.widths.items(),
            *(
                ((known.job_class, width_of(known.tasks)), known.row(now))
                for known in self.open.values()
            ),
        ]
        widest: dict[str, int] = {}
        for (job_class, width), _ in every:
            widest[job_class] = max(width, widest.get(job_class, 0))
        out: dict[str, JobCounts] = {}
        for (job_class, width), row in every:
            if width == widest[job_class]:
                out[job_class] = out.get(job_class, JobCounts()).plus(row)
        return out

    def counts(self, now: float) -> dict[tuple[str, str], JobCounts]:
        """By ("class", name), ("team", name) and, of each class, ("largest", name)."""
        out: dict[tuple[str, str], JobCounts] = {}
        every = [(key, row) for key, row in self.over.items()]
        every += [((known.job_class, known.team), known.row(now)) for known in self.open.values()]
        for (job_class, team), row in every:
            for name in (("class", job_class), ("team", team)):
                out[name] = out.get(name, JobCounts()).plus(row)
        out.update((("largest", job_class), row) for job_class, row in self.largest(now).items())
        return out

    def worst(self, now: float) -> tuple[float, str]:
        """The smallest share, and whose it is."""
        return min(
            ((row.attainment, f"{kind} {name}") for (kind, name), row in self.counts(now).items()),
            default=(1.0, "nobody"),
        )

    def histogram(self, job_class: str) -> list[tuple[str, float]]:
        """Bounds in seconds and how many starts waited no longer."""
        return self.start_waits[job_class].rows() if job_class in self.start_waits else []


def jain(values: Iterable[float]) -> float:
    """Jain's index of fairness: 1 where all are alike, 1/n where one has everything.

    Source: Jain, Chiu, Hawe, "A Quantitative Measure of Fairness and Discrimination", 1984."""
    had = list(values)
    squares = sum(value * value for value in had)
    return sum(had) ** 2 / (len(had) * squares) if squares else 1.0
