"""Sends cancellations to the other controllers before any user hears of them from this one, and takes in theirs."""

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

    def cancellation_received(self, job_id: str, team: str, revision: int, at: float) -> bool:
        """Remember it; whether it was not known yet."""
        ...


class CancellationListener(Protocol):
    """Whoever acts on a cancellation that arrives here."""

    @property
    def front(self) -> FinishedJobs:
        """Where it is remembered for users' questions."""
        ...

    def cancelled(self, job_id: str, team: str, revision: int, at: float) -> None:
        """Stop the job's tasks, if its shard is owned here."""
        ...

    def settled(self, job_id: str, status: str, done_at: float | None) -> None:
        """Tell the jobs that depend on it."""
        ...


class CancellationBroadcaster:
    """One controller's side of the exchange of cancellations and watermark echoes."""

    def __init__(
        self,
        workers: Workers,
        mesh: Mesh,
        cluster_version: ClusterVersion,
        rng: random.Random,
        listener: CancellationListener,
    ) -> None:
        """`rng`: draws the first echo number of this process."""
        self.mesh = mesh
        self.cluster_version = cluster_version
        self.listener = listener
        self.watermark = CancellationWatermark(workers, mesh.peers, rng.getrandbits(48))
        self.last_received: dict[str, int] = {}  # each peer's last number, to be sent back

    def broadcast(self, job_id: str, team: str, revision: int, at: float) -> None:
        """Send one durable cancellation to all peers; must precede any answer to a user.

        Args:
            job_id: The cancelled job.
            team: Its team.
            revision: Of the job's record that says so.
            at: Time of day of the cancellation, in seconds.
        """
        if self.cluster_version.broadcasts_cancellations:
            self.mesh.broadcast_without_gaps(CancelledJobs([(job_id, team, revision, at)]))

    def on_cancellations(self, cancelled: CancelledJobs) -> None:
        """Act on a peer's cancellations.

        They are durable, or they would not have been sent: an owner that the store refuses stops just these jobs, and
        in time.
        """
        listener = self.listener
        for job_id, team, revision, at in cancelled.jobs:
            if listener.front.cancellation_received(job_id, team, revision, at):
                listener.cancelled(job_id, team, revision, at)
                listener.settled(job_id, "withdrawn", None)

    def send_echoes(self, now: float) -> None:
        """With each peer heartbeat: send a new number, and each peer's last one back.

        An echo proves that all cancellations this controller had learnt of before went out before it, on the same link.
        """
        if self.cluster_version.broadcasts_cancellations:
            number = self.watermark.next_number(now)
            for label in self.mesh.peers:
                self.mesh.send(label, WatermarkEcho(number, self.last_received.get(label, 0)))

    def on_echo(self, label: str, echo: WatermarkEcho) -> None:
        """Keep the peer's number, and advance the watermark by ours that it sent back."""
        self.last_received[label] = echo.number
        self.watermark.echo_received(label, echo.echoed_number, time.monotonic())
