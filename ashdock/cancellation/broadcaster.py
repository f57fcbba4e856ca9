"""Exchanges cancellations and watermark echoes with the other controllers."""

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
    """The final states of jobs that this controller knows."""

    def cancellation_received(self, job_id: str, team: str, revision: int, at: float) -> bool:
        """Record a peer's cancellation; return whether it was not known yet."""
        ...


class CancellationListener(Protocol):
    """Handles the cancellations that peers send."""

    @property
    def front(self) -> FinishedJobs:
        """Records final states and answers users' status requests from them."""
        ...

    def job_cancelled(self, job_id: str, team: str, revision: int, at: float) -> None:
        """Stop the job's tasks if its shard is owned here."""
        ...

    def job_settled(self, job_id: str, status: str, ended_at: float | None) -> None:
        """Notify the shards owned here whose jobs depend on this job that it is final."""
        ...


class CancellationBroadcaster:
    """One controller's side of the exchange of cancellations and watermark echoes.

    Attributes:
        last_received: The last echo number received from each peer, which is sent back to it.
    """

    def __init__(
        self,
        workers: Workers,
        mesh: Mesh,
        cluster_version: ClusterVersion,
        rng: random.Random,
        listener: CancellationListener,
    ) -> None:
        """Start with nothing known.

        Args:
            workers: The settings of workers.
            mesh: The links to the peers.
            cluster_version: Tells whether all controllers understand these messages.
            rng: Draws the first echo number of this process.
            listener: Handles the cancellations that peers send.
        """
        self.mesh = mesh
        self.cluster_version = cluster_version
        self.listener = listener
        self.watermark = CancellationWatermark(workers, mesh.peers, rng.getrandbits(48))
        self.last_received: dict[str, int] = {}

    def broadcast(self, job_id: str, team: str, revision: int, at: float) -> None:
        """Send a durable cancellation to all peers; must precede any response to a user.

        Args:
            job_id: The cancelled job.
            team: The job's team.
            revision: Revision of the job's record that contains the cancellation.
            at: When the job was cancelled, in seconds since the epoch.
        """
        if self.cluster_version.broadcasts_cancellations:
            self.mesh.broadcast_without_gaps(CancelledJobs([(job_id, team, revision, at)]))

    def on_cancellations(self, cancelled: CancelledJobs) -> None:
        """Apply cancellations that a peer sent.

        Peers send only durable cancellations, so an owner whose requests the store refuses can stop
        exactly these jobs, in time, without reading their records.
        """
        listener = self.listener
        for job_id, team, revision, at in cancelled.jobs:
            if listener.front.cancellation_received(job_id, team, revision, at):
                listener.job_cancelled(job_id, team, revision, at)
                listener.job_settled(job_id, "withdrawn", at)

    def send_echoes(self, now: float) -> None:
        """Send each peer a new number and echo its last one; called with each peer heartbeat.

        An echo proves to the peer that every cancellation learnt here since the link began was sent
        before the echo on the same link.
        """
        if self.cluster_version.broadcasts_cancellations:
            number = self.watermark.next_number(now)
            for label in self.mesh.peers:
                self.mesh.send(label, WatermarkEcho(number, self.last_received.get(label, 0)))

    def on_echo(self, label: str, echo: WatermarkEcho) -> None:
        """Record the peer's number and advance the watermark by the number that it echoed."""
        self.last_received[label] = echo.number
        self.watermark.echo_received(label, echo.echoed_number, time.monotonic())
