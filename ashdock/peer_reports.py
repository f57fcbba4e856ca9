"""Reports of the other controllers on their shards and jobs, merged with the shards owned here."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import NamedTuple

from ashdock.cluster_state import ClusterState
from ashdock.core.shard_status import ShardStatus
from ashdock.gossip import JOBS_PER_FRAME
from ashdock.shard_owners import ShardOwners
from ashdock.wire.peer_messages import ReclaimsInProgress, TaskCounts

MAX_JOBS_PER_PEER = 20 * JOBS_PER_FRAME  # beyond that the task counts of a peer are discarded
RECLAIMS_VALID_HEARTBEATS = 2  # heartbeat intervals for which a report on reclaims is valid

# Number of tasks done and running. A plain tuple, as in the frame, since thousands of them arrive
# with each heartbeat.
DoneAndRunning = tuple[int, int]


class ReceivedStatus(NamedTuple):
    """The status of a shard, and the monotonic time at which it was received."""

    received_at: float
    status: ShardStatus


class ReceivedReclaims(NamedTuple):
    """The reclaims in progress of a shard, and the monotonic time at which they were received."""

    received_at: float
    reclaims: ReclaimsInProgress


class PeerReports:
    """Keeps the last report of each kind.

    Attributes:
        statuses: Statuses of shards, by team.
        reclaims: Reclaims in progress, by the team whose shard gives the machines up.
        counts_by_peer: Task counts by job id, by label of the peer that reported them.
    """

    def __init__(
        self,
        *,
        owners: ShardOwners,
        cluster: ClusterState,
        heartbeat_interval_s: float,
        ttl_s: float,
        now: Callable[[], float],
    ) -> None:
        """Start without reports.

        Args:
            owners: Owners of the shards that this controller owns, which need no reports.
            cluster: Tells which controller owns any other shard.
            heartbeat_interval_s: Interval of a controller's heartbeats to its peers, in seconds.
            ttl_s: Time for which the status of a shard is valid, in seconds.
            now: Current time, in seconds since the epoch.
        """
        self.owners = owners
        self.cluster = cluster
        self.heartbeat_interval_s = heartbeat_interval_s
        self.ttl_s = ttl_s
        self.now = now
        self.statuses: dict[str, ReceivedStatus] = {}
        self.reclaims: dict[str, ReceivedReclaims] = {}
        self.counts_by_peer: dict[str, dict[str, DoneAndRunning]] = {}

    def status_received(self, _label: str, status: ShardStatus) -> None:
        """Store the status of a shard."""
        self.statuses[status.team] = ReceivedStatus(time.monotonic(), status)

    def reclaims_received(self, _label: str, reclaims: ReclaimsInProgress) -> None:
        """Store the reclaims in progress of a shard."""
        self.reclaims[reclaims.shard] = ReceivedReclaims(time.monotonic(), reclaims)

    def counts_received(self, label: str, frame: TaskCounts) -> None:
        """Store the task counts of a peer's jobs."""
        known = self.counts_by_peer.setdefault(label, {})
        if len(known) > MAX_JOBS_PER_PEER:
            # Nothing else removes ended jobs; the next heartbeat reports all that have not ended.
            known.clear()
        known.update((job, (done, running)) for job, done, running in frame.jobs)

    def shard_statuses(self) -> dict[str, ShardStatus]:
        """Return the statuses of all shards by team; those of peers only while they are valid."""
        now = time.monotonic()
        statuses = {
            team: received.status
            for team, received in self.statuses.items()
            if now - received.received_at < self.ttl_s
        }
        for shard in self.owners.active_shards():
            statuses[shard.name] = shard.status_reporter.shard_status(self.now())
        return statuses

    def leaving_machines(self) -> list[tuple[str, str]]:
        """Return the machines being vacated in all shards, each with the team that is to get it."""
        now = time.monotonic()
        leaving = [
            machine
            for received in self.reclaims.values()
            if now - received.received_at < self.heartbeat_interval_s * RECLAIMS_VALID_HEARTBEATS
            for machine in received.reclaims.machines
        ]
        for shard in self.owners.active_shards():
            leaving += shard.status_reporter.leaving_machines()
        return leaving

    def task_counts(self, team: str, job_id: str) -> DoneAndRunning:
        """Return how many tasks of a job are done and running; zeros if nothing is known of it."""
        owner = self.owners.by_team.get(team)
        if owner and owner.shard and job_id in owner.shard.jobs:
            job = owner.shard.jobs[job_id]
            return job.done_count, job.running_count
        label = self.cluster.owner_label(team)
        return self.counts_by_peer.get(label or "", {}).get(job_id, (0, 0))
