"""How many of a shard's changes wait to be written, and for how long, by kind of change."""

from __future__ import annotations

import logging
from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from ashdock.core.job import Job, JobPhase

log = logging.getLogger("ashdock.shard")

LONG_WAIT_SHARE = 0.25  # of `cancel_s`; a change that waits for longer is logged
# The end of a long wait is logged once no change waits for more than this share of that limit.
WAIT_OVER_SHARE = 0.5


class ChangeKind(Enum):
    """What a job's next write is for; the values are labels of metrics and in log lines."""

    RUN_COMMAND = "run_command"  # a placement, which has to be durable before its run command
    CANCELLATION = "cancellation"  # the end of a job that its user cancelled
    DEPENDENCY_CANCELLATION = "dependency_cancellation"  # the outcome of a job's dependent
    DONE = "done"
    OTHER = "other"  # results of tasks, reasons, replaced chunks


KIND_OF_PHASE = {
    JobPhase.CANCELLED: ChangeKind.CANCELLATION,
    JobPhase.ORPHANED: ChangeKind.DEPENDENCY_CANCELLATION,
    JobPhase.OVER: ChangeKind.DONE,
}


def kind_of(job: Job) -> ChangeKind:
    """Return the kind of a changed job's next write."""
    if job.active:
        return ChangeKind.RUN_COMMAND if job.is_urgent else ChangeKind.OTHER
    return KIND_OF_PHASE.get(job.phase, ChangeKind.OTHER)


class KindBacklog(NamedTuple):
    """The changes of one kind that wait to be written.

    Attributes:
        waiting: Number of jobs with such a change.
        oldest_s: The longest that one of them has waited without any write, in seconds; 0 if none
            waits.
    """

    waiting: int = 0
    oldest_s: float = 0.0


class _WaitingChange(NamedTuple):
    """A job's change that waits.

    Attributes:
        kind: What its next write is for.
        durable_generations: What of the job was durable when it was first seen to wait.
        since: When that was, in seconds since the epoch.
    """

    kind: ChangeKind
    durable_generations: int
    since: float


class WriteBacklog:
    """Measures what waits to be written, and logs when it begins and ceases to wait for long.

    Attributes:
        shard: Name of the shard.
        long_wait_s: A change that waits for longer than this is logged.
        by_kind: The backlog as of the last update.
    """

    def __init__(self, shard: str, cancel_s: float) -> None:
        """Start with nothing waiting.

        Args:
            shard: Name of the shard.
            cancel_s: Time within which a cancellation has to take effect, in seconds.
        """
        self.shard = shard
        self.long_wait_s = LONG_WAIT_SHARE * cancel_s
        self.by_kind = dict.fromkeys(ChangeKind, KindBacklog())
        self._changes: dict[str, _WaitingChange] = {}
        self._long_waits: set[ChangeKind] = set()

    def update(self, jobs: Iterable[Job], now: float) -> None:
        """Measure the backlog, with the precision of the interval between two calls.

        Args:
            jobs: The jobs with something to write.
            now: Seconds since the epoch.
        """
        changes: dict[str, _WaitingChange] = {}
        waiting = dict.fromkeys(ChangeKind, 0)
        oldest_s = dict.fromkeys(ChangeKind, 0.0)
        for job in jobs:
            change = changes[job.id] = self._change_of(job, now)
            waiting[change.kind] += 1
            oldest_s[change.kind] = max(oldest_s[change.kind], now - change.since)
        self._changes = changes
        self.by_kind = {kind: KindBacklog(waiting[kind], oldest_s[kind]) for kind in ChangeKind}
        for kind, backlog in self.by_kind.items():
            self._log_long_wait(kind, backlog)

    def _change_of(self, job: Job, now: float) -> _WaitingChange:
        kind, durable = kind_of(job), job.durable_generations
        if kind is ChangeKind.DEPENDENCY_CANCELLATION and job.cancelled_at is not None:
            return _WaitingChange(kind, durable, job.cancelled_at)
        known = self._changes.get(job.id)
        if known is not None and (known.kind, known.durable_generations) == (kind, durable):
            return known
        return _WaitingChange(kind, durable, now)

    def _log_long_wait(self, kind: ChangeKind, backlog: KindBacklog) -> None:
        if kind in self._long_waits:
            if backlog.oldest_s <= WAIT_OVER_SHARE * self.long_wait_s:
                self._long_waits.discard(kind)
                log.info(
                    "changes are written in time again: shard=%s kind=%s", self.shard, kind.value
                )
        elif backlog.oldest_s > self.long_wait_s:
            self._long_waits.add(kind)
            log.warning(
                "changes wait long to be written: shard=%s kind=%s waiting=%d oldest_s=%.1f limit_s=%.1f",
                self.shard,
                kind.value,
                backlog.waiting,
                backlog.oldest_s,
                self.long_wait_s,
            )
