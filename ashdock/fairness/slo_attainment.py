"""SLO attainment of each job class and each team: how much of what is due was started in time.

With a start target, a job is due once that time has passed since its submission, or once all of its
tasks have started. With a deadline, it is due when that has passed or when the job is done; with
both, whichever comes first. A job with neither is due when it is done. A job that its user cancels
is never due.

A due job attains the fraction of its tasks that started within the start target, or 1 if it is done
by its deadline. Without a start target all starts are in time; without a deadline a job that is
done is always in time. The attainment of a class or a team is the mean over its due jobs. Jobs
count alike, whether they have one task or a hundred, since each has one user who waits for it.

The largest jobs of a class are also counted on their own: large jobs wait longest behind many small
ones, and hardly show in the mean of the class.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from ashdock.core.duration_histogram import DurationHistogram

MIN_ATTAINMENT = 0.5  # users regard a day with less as failed
FIRST_BUCKET_S = 0.25  # upper bound of the first bucket; each further bound is twice the one before
BUCKETS = 14  # up to about 34 minutes; longer waits share one more bucket


def size_bucket(tasks: int) -> int:
    """Return the same number for jobs of similar size: from each power of two up to the next."""
    return tasks.bit_length()


class JobCounts(NamedTuple):
    """Numbers of jobs by how far they have come, and the sum of their attainment.

    Attributes:
        submitted: Jobs that were submitted.
        accepted: Jobs whose submission was accepted.
        started: Jobs of which all tasks have started.
        done: Jobs that are done.
        due: Jobs that are due.
        attained: Sum of the attainment of the due jobs, each from 0 to 1.
    """

    submitted: int = 0
    accepted: int = 0
    started: int = 0
    done: int = 0
    due: int = 0
    attained: float = 0.0

    @property
    def attainment(self) -> float:
        """Mean attainment of the due jobs; 1 while none is due."""
        return self.attained / self.due if self.due else 1.0

    def plus(self, other: JobCounts) -> JobCounts:
        """Return the sums of both."""
        return JobCounts(
            self.submitted + other.submitted,
            self.accepted + other.accepted,
            self.started + other.started,
            self.done + other.done,
            self.due + other.due,
            self.attained + other.attained,
        )


@dataclass(slots=True)
class _OpenJob:
    """A job whose counts may still change."""

    job_class: str
    team: str
    tasks: int
    submitted_at: float
    start_target_s: float  # math.inf: no start target
    deadline_at: float  # math.inf: no deadline
    accepted: bool = False
    started_tasks: int = 0
    started_in_time: int = 0

    def counts(self, now: float, done: bool = False) -> JobCounts:
        target_due = (
            now >= self.submitted_at + self.start_target_s or self.started_tasks >= self.tasks
        )
        deadline_due = done or now >= self.deadline_at
        no_objective = math.isinf(self.start_target_s) and math.isinf(self.deadline_at)
        due = (target_due and not math.isinf(self.start_target_s)) or (
            deadline_due and (no_objective or not math.isinf(self.deadline_at))
        )
        started = min(self.started_in_time / self.tasks, 1.0)
        attained = max(started, 1.0 if done and now <= self.deadline_at else 0.0)
        return JobCounts(
            1,
            int(self.accepted),
            int(self.started_tasks >= self.tasks),
            int(done),
            int(due),
            attained if due else 0.0,
        )


@dataclass
class SloAttainment:
    """Counts of all jobs that were recorded. All times are seconds of one clock.

    Attributes:
        open_jobs: Jobs that are neither done nor cancelled, by id.
        closed: Counts of the other jobs, by class and team.
        closed_by_size: The same counts, by class and size bucket.
        start_waits: How long tasks waited for their start, by class.
    """

    open_jobs: dict[str, _OpenJob] = field(default_factory=dict)
    closed: dict[tuple[str, str], JobCounts] = field(default_factory=dict)
    closed_by_size: dict[tuple[str, int], JobCounts] = field(default_factory=dict)
    start_waits: dict[str, DurationHistogram] = field(default_factory=dict)

    def record_submitted(
        self,
        job_id: str,
        job_class: str,
        team: str,
        tasks: int,
        at: float,
        start_target_s: float = math.inf,
        deadline_at: float = math.inf,
    ) -> None:
        """Record a submission; a job that is open already is left as it is.

        Args:
            job_id: Id of the job.
            job_class: Its job class.
            team: Its team.
            tasks: Number of its tasks; less than 1 counts as 1.
            at: When it was submitted.
            start_target_s: Seconds within which its tasks should start.
            deadline_at: When it should be done.
        """
        self.open_jobs.setdefault(
            job_id, _OpenJob(job_class, team, max(tasks, 1), at, start_target_s, deadline_at)
        )

    def record_accepted(self, job_id: str) -> None:
        """Record that the submission of a job was accepted."""
        if job_id in self.open_jobs:
            self.open_jobs[job_id].accepted = True

    def record_started(self, job_id: str, tasks: int, at: float) -> None:
        """Record that `tasks` more tasks of a job have started.

        Once as many starts are recorded as the job has tasks, further ones are ignored as restarts.
        """
        job = self.open_jobs.get(job_id)
        if job is None or job.started_tasks >= job.tasks:
            return
        job.started_tasks += tasks
        wait_s = at - job.submitted_at
        if wait_s <= job.start_target_s:
            job.started_in_time += tasks
        self.start_waits.setdefault(job.job_class, DurationHistogram(FIRST_BUCKET_S, BUCKETS)).add(
            wait_s, tasks
        )

    def record_done(self, job_id: str, at: float) -> tuple[str, JobCounts] | None:
        """Record that a job is done.

        Returns:
            Its class and its counts; None if the job is not open.
        """
        job = self.open_jobs.pop(job_id, None)
        if job is None:
            return None
        counts = job.counts(at, done=True)
        self._close(job, counts)
        return job.job_class, counts

    def record_cancelled(self, job_id: str) -> None:
        """Record that a job was cancelled by its user: it is not due, now or later."""
        job = self.open_jobs.pop(job_id, None)
        if job is not None:
            self._close(job, JobCounts(1, int(job.accepted), int(job.started_tasks >= job.tasks)))

    def _close(self, job: _OpenJob, counts: JobCounts) -> None:
        key = job.job_class, job.team
        self.closed[key] = self.closed.get(key, JobCounts()).plus(counts)
        size_key = job.job_class, size_bucket(job.tasks)
        self.closed_by_size[size_key] = self.closed_by_size.get(size_key, JobCounts()).plus(counts)

    def largest(self, now: float) -> dict[str, JobCounts]:
        """Return the counts of the jobs in the largest size bucket seen of each class."""
        counts_by_size = [
            *self.closed_by_size.items(),
            *(
                ((job.job_class, size_bucket(job.tasks)), job.counts(now))
                for job in self.open_jobs.values()
            ),
        ]
        largest_size: dict[str, int] = {}
        for (job_class, size), _ in counts_by_size:
            largest_size[job_class] = max(size, largest_size.get(job_class, 0))
        totals: dict[str, JobCounts] = {}
        for (job_class, size), counts in counts_by_size:
            if size == largest_size[job_class]:
                totals[job_class] = totals.get(job_class, JobCounts()).plus(counts)
        return totals

    def counts(self, now: float) -> dict[tuple[str, str], JobCounts]:
        """Return counts by ("class", name), ("team", name) and ("largest", name of a class)."""
        totals: dict[tuple[str, str], JobCounts] = {}
        all_counts = [(key, counts) for key, counts in self.closed.items()]
        all_counts += [
            ((job.job_class, job.team), job.counts(now)) for job in self.open_jobs.values()
        ]
        for (job_class, team), counts in all_counts:
            for key in (("class", job_class), ("team", team)):
                totals[key] = totals.get(key, JobCounts()).plus(counts)
        totals.update(
            (("largest", job_class), counts) for job_class, counts in self.largest(now).items()
        )
        return totals

    def worst(self, now: float) -> tuple[float, str]:
        """Return the lowest attainment, and of what it is, such as "team red"."""
        return min(
            (
                (counts.attainment, f"{kind} {name}")
                for (kind, name), counts in self.counts(now).items()
            ),
            default=(1.0, "nobody"),
        )

    def histogram(self, job_class: str) -> list[tuple[str, float]]:
        """Return upper bounds in seconds, each with the number of starts that waited no longer."""
        return self.start_waits[job_class].rows() if job_class in self.start_waits else []


def jain(values: Iterable[float]) -> float:
    """Return Jain's fairness index: 1 if all values are equal, 1/n if only one of n is not zero.

    Source: Jain, Chiu, Hawe, "A Quantitative Measure of Fairness and Discrimination", 1984.
    """
    listed = list(values)
    squares = sum(value * value for value in listed)
    return sum(listed) ** 2 / (len(listed) * squares) if squares else 1.0
