"""Boosts the job classes of a shard whose SLO attainment falls behind that of the others.

Priorities, guarantees and limits take precedence: a class is boosted only among jobs of its own
priority, and by one job in each scheduling cycle, the one that has waited longest. A boost costs
the others at most the room of one job in each cycle, however far behind the class is.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from typing import Protocol

from ashdock.fairness.slo_attainment import MIN_ATTAINMENT, JobCounts, SloAttainment
from ashdock.settings import Objective

# A class is boosted below this attainment, so before it reaches what users regard as a failure.
BOOST_BELOW = MIN_ATTAINMENT * 5 / 4
BOOST_UNTIL = MIN_ATTAINMENT * 3 / 2  # a class that is boosted stays so below this
# Another class of the same priority has to be better off by this much. Where all are equally late,
# a boost helps nobody.
MIN_LEAD = MIN_ATTAINMENT / 4
MIN_DUE_JOBS = 4  # the attainment of fewer due jobs says nothing


class WaitingJob(Protocol):
    """What is read of a job that waits for machines."""

    @property
    def id(self) -> str:
        """Id of the job."""

    @property
    def job_class(self) -> str:
        """Name of its job class."""

    @property
    def priority(self) -> int:
        """Higher goes first."""

    @property
    def eligible_at(self) -> float:
        """When it could first have started."""

    @property
    def likely_faulty(self) -> bool:
        """Whether its failures point to a mistake in the job rather than to one machine."""


class Classes:
    """Attainment of each job class of one shard, and the classes that are boosted.

    Attributes:
        start_targets_s: The longest start target of each class that has any.
        half_life_s: Seconds after which a job that is done counts half.
        refresh_interval_s: Minimum seconds between two computations of the attainment.
        attainment: Counts of the jobs.
        recent_counts: Number and summed attainment of due jobs that are done, by class; decaying.
        class_attainment: Attainment of the classes of which enough jobs are due.
        boosted: Names of the classes that are boosted: a job of theirs may go first.
    """

    def __init__(self, objectives: Iterable[Objective], refresh_interval_s: float) -> None:
        """Start without jobs.

        Args:
            objectives: All objectives; only those with a start target for a class are used.
            refresh_interval_s: Minimum seconds between two computations of the attainment.
        """
        self.start_targets_s: dict[str, float] = {}
        for objective in objectives:
            if objective.kind == "wait" and objective.job_class and objective.within_s:
                self.start_targets_s[objective.job_class] = max(
                    self.start_targets_s.get(objective.job_class, 0.0), objective.within_s
                )
        # Twice the longest target: a burst is forgotten, but not before its last job was due.
        self.half_life_s = 2 * max(self.start_targets_s.values(), default=60.0)
        self.refresh_interval_s = refresh_interval_s
        self.refreshed_at = -math.inf
        self.decayed_at = -math.inf
        self.attainment = SloAttainment()
        self.recent_counts: dict[str, tuple[float, float]] = {}
        self.class_attainment: dict[str, float] = {}
        self.boosted: set[str] = set()

    def record_accepted(
        self,
        job_id: str,
        job_class: str,
        team: str,
        tasks: int,
        startable_at: float,
        deadline_at: float,
    ) -> None:
        """Record that a job was accepted and may start from `startable_at` on."""
        self.attainment.record_submitted(
            job_id,
            job_class,
            team,
            tasks,
            startable_at,
            self.start_targets_s.get(job_class, math.inf),
            deadline_at,
        )
        self.attainment.record_accepted(job_id)

    def record_done(self, job_id: str, now: float) -> None:
        """Record that a job is done."""
        closed = self.attainment.record_done(job_id, now)
        if closed is not None:
            job_class, counts = closed
            due, attained = self.recent_counts.get(job_class, (0.0, 0.0))
            self.recent_counts[job_class] = (due + counts.due, attained + counts.attained)

    def refresh(self, now: float) -> dict[str, float]:
        """Compute the attainment of the classes and which are boosted, unless that is recent.

        Returns:
            Attainment of each class of which at least `MIN_DUE_JOBS` jobs are due.
        """
        if now - self.refreshed_at < self.refresh_interval_s:
            return self.class_attainment
        self.refreshed_at = now
        decay = 0.5 ** ((now - self.decayed_at) / self.half_life_s)
        self.decayed_at = now
        self.recent_counts = {
            name: (due * decay, attained * decay)
            for name, (due, attained) in self.recent_counts.items()
            if due * decay > 0.1
        }
        open_counts: dict[str, JobCounts] = {}
        for job in self.attainment.open_jobs.values():
            open_counts[job.job_class] = open_counts.get(job.job_class, JobCounts()).plus(
                job.counts(now)
            )
        self.class_attainment = {}
        for name in {*open_counts, *self.recent_counts}:
            due, attained = self.recent_counts.get(name, (0.0, 0.0))
            counts = open_counts.get(name, JobCounts())
            if due + counts.due >= MIN_DUE_JOBS:
                self.class_attainment[name] = (attained + counts.attained) / (due + counts.due)
        self.boosted = {
            name
            for name, attainment in self.class_attainment.items()
            if attainment < (BOOST_UNTIL if name in self.boosted else BOOST_BELOW)
        }
        return self.class_attainment

    def boosted_job_ids(
        self, waiting: Sequence[WaitingJob], runnable_ids: Iterable[str], now: float
    ) -> set[str]:
        """Return the jobs that go first of their priority in this cycle: at most one of each class.

        Args:
            waiting: All jobs that wait for machines.
            runnable_ids: Ids of the jobs that may run on one of the machines, even if it is full. A
                job that may not, or is likely faulty, does not wait because of other jobs, so a
                boost would not help it. Read only while a class is boosted.
            now: Seconds since the epoch.
        """
        class_attainment = self.refresh(now)
        if not self.boosted:
            return set()
        classes_by_priority: dict[int, set[str]] = {}
        for job in waiting:
            classes_by_priority.setdefault(job.priority, set()).add(job.job_class)
        runnable = set(runnable_ids)
        longest_waiting: dict[tuple[int, str], WaitingJob] = {}
        for job in waiting:
            if job.job_class not in self.boosted or job.likely_faulty or job.id not in runnable:
                continue
            others = [
                class_attainment.get(name, 1.0)
                for name in classes_by_priority[job.priority]
                if name != job.job_class
            ]
            key = job.priority, job.job_class
            if max(others, default=0.0) >= class_attainment[job.job_class] + MIN_LEAD and (
                key not in longest_waiting or job.eligible_at < longest_waiting[key].eligible_at
            ):
                longest_waiting[key] = job
        return {job.id for job in longest_waiting.values()}
