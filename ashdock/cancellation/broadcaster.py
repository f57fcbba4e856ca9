"""Cancellations told by one controller to the others, before any user hears of them from it."""

from __future__ import annotations

import random
import time
from typing import Protocol

from ashdock.cancellation.watermark import CancellationWatermark
from ashdock.cluster_version import ClusterVersion
from ashdock.net.mesh import Mesh
from ashdock.settings import Workers
from ashdock.wire.peer_messages import CancelledJobs, WatermarkEcho


class FinishedJobs(Protocol):
    """What this controller remembers of jobs that are over."""

    def cancellation_received(self, job_id: str, team: str, revision: int, at: float) -> bool: ...


class BroadcasterContext(Protocol):
    """What of its controller this uses, and no more."""

    workers: Workers
    mesh: Mesh
    cluster_version: ClusterVersion
    rng: random.Random

    @property
    def front(self) -> FinishedJobs: ...

    def cancelled(self, job_id: str, team: str, revision: int, at: float) -> None: ...

    def settled(self, job_id: str, status: str, done_at: float | None) -> None: ...


class CancellationBroadcaster:
    def __init__(self, context: BroadcasterContext) -> None:
        self.context = context
        self.watermark = CancellationWatermark(
            context.workers, context.mesh.peers, context.rng.getrandbits(48)
        )
        self.numbers: dict[
            str, int
        ] = {}  # of the others: the last that each sent us, to be sent back

    def tell(self, job_id: str, team: str, revision: int, at: float) -> None:
        if self.context.cluster_version.broadcasts_cancellations:
            self.context.mesh.broadcast_without_gaps(CancelledJobs([(job_id, team, revision, at)]))

    def heard(self, cancelled: CancelledJobs) -> None:
        """Durable, or it would not have been told: an owner that the state service refuses stops just these jobs, and in time."""
        context = self.context
        for job_id, team, revision, at in cancelled.jobs:
            if context.front.cancellation_received(job_id, team, revision, at):
                context.cancelled(job_id, team, revision, at)
                context.settled(job_id, "withdrawn", None)

    def vouch(self, now: float) -> None:
        """With each beat: all that we have learnt of was told before this, on the same link."""
        if self.context.cluster_version.broadcasts_cancellations:
            number = self.watermark.ask(now)
            for label in self.context.mesh.peers:
                self.context.mesh.send(label, WatermarkEcho(number, self.numbers.get(label, 0)))

    def echo_received(self, label: str, vouch: WatermarkEcho) -> None:
        self.numbers[label] = vouch.number
        self.watermark.answered(label, vouch.back, time.monotonic())
