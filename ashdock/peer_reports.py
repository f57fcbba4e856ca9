"""What the other controllers have told this one of their shards and jobs, and how that adds to what is owned here."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import NamedTuple

from ashdock.cluster_state import ClusterState
from ashdock.core.shard_status import ShardStatus
from ashdock.gossip import JOBS_PER_FRAME
from ashdock.shard_owners import ShardOwners
from ashdock.wire.peer_messages import ReclaimsInProgress, TaskCounts

MAX_JOBS_PER_PEER = 20 * JOBS_PER_FRAME  # kept of one peer
RECLAIMS_VALID_HEARTBEATS = 2  # how many beats what a shard is vacating is taken to be true

Counts = tuple[int, int]  # tasks done, running; as in the frame: thousands of them come with a beat


class ReceivedStatus(NamedTuple):
    """A shard's status, and when it came in by the steady clock."""

    at: float
    status: ShardStatus


class ReceivedReclaims(NamedTuple):
    """What a shard is vacating, and when that came in by the steady clock."""

    at: float
    reclaims: ReclaimsInProgress


class PeerReports:
    """The last report of each kind, by shard or by peer."""

    def __init__(
        self,
        *,
        owners: ShardOwners,
        cluster: ClusterState,
        heartbeat_interval_s: float,
        ttl_s: float,
        now: Callable[[], float],
    ) -> None:
        """Start with nothing reported.

        Args:
            owners: the shards owned here, whose state is at hand.
            cluster: who owns the others.
            heartbeat_interval_s: seconds between two beats of a controller.
            ttl_s: how long a shard's status is valid, in seconds.
            now: the controller's clock, in seconds since the epoch.
        """
        self.owners = owners
        self.cluster = cluster
        self.heartbeat_interval_s = heartbeat_interval_s
        self.ttl_s = ttl_s
        self.now = now
        self.statuses: dict[str, ReceivedStatus] = {}  # by team
        self.reclaims: dict[str, ReceivedReclaims] = {}  # by team
        self.counts_by_peer: dict[str, dict[str, Counts]] = {}  # by peer's label, then by job

    def status_received(self, _label: str, status: ShardStatus) -> None:
        """Keep the status of a shard."""
        self.statuses[status.team] = ReceivedStatus(time.monotonic(), status)

    def reclaims_received(self, _label: str, reclaims: ReclaimsInProgress) -> None:
        """Keep what a shard is vacating."""
        self.reclaims[reclaims.shard] = ReceivedReclaims(time.monotonic(), reclaims)

    def counts_received(self, label: str, frame: TaskCounts) -> None:
        """Keep the task counts of a peer's jobs."""
        known = self.counts_by_peer.setdefault(label, {})
        if len(known) > MAX_JOBS_PER_PEER:
            known.clear()  # of jobs long over: the next beat names all that are not
        known.update((job, (done, running)) for job, done, running in frame.jobs)

    def shard_statuses(self) -> dict[str, ShardStatus]:
        """How all shards stand, by team: those of peers as lately received."""
        now = time.monotonic()
        statuses = {
            team: received.status
            for team, received in self.statuses.items()
            if now - received.at < self.ttl_s
        }
        for shard in self.owners.active_shards():
            statuses[shard.name] = shard.status_reporter.shard_status(self.now())
        return statuses

    def leaving_machines(self) -> list[tuple[str, str]]:
        """The machines that are being vacated in all shards, each with the team it is for."""
        now = time.monotonic()
        leaving = [
            machine
            for received in self.reclaims.values()
            if now - received.at < self.heartbeat_interval_s * RECLAIMS_VALID_HEARTBEATS
            for machine in received.reclaims.machines
        ]
        for shard in self.owners.active_shards():
            leaving += shard.status_reporter.leaving_machines()
        return leaving

    def task_counts(self, team: str, job_id: str) -> Counts:
        """How many tasks of a job are done and running, as far as is known here."""
        owner = self.owners.by_team.get(team)
        if owner and owner.shard and job_id in owner.shard.jobs:
            job = owner.shard.jobs[job_id]
            return job.done, job.running
        label = self.cluster.owner_label(team)
        return self.counts_by_peer.get(label or "", {}).get(job_id, (0, 0))
