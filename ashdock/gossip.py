"""What a controller sends its peers with each beat, and at once where a beat would be too late."""

from __future__ import annotations

import time
from collections.abc import Callable

from ashdock.cancellation.broadcaster import CancellationBroadcaster
from ashdock.cluster_state import ClusterState
from ashdock.cluster_version import ClusterVersion
from ashdock.connectivity import Connectivity, Readiness
from ashdock.core.shard import Shard
from ashdock.load_handover import LoadHandover
from ashdock.net.mesh import Mesh
from ashdock.net.rate_limiter import Demand
from ashdock.net.store import StoreClient
from ashdock.net.worker import WorkerClient
from ashdock.shard_owners import ShardOwners
from ashdock.wire.peer_messages import (
    OwnershipClaims,
    PeerHeartbeat,
    PriorityInheritance,
    ReclaimsInProgress,
    TaskCounts,
)

JOBS_PER_FRAME = 2000  # far below a frame's limit, however long the jobs' names are


class HeartbeatSource:
    """Makes this controller's heartbeats for its peers."""

    def __init__(
        self,
        *,
        incarnation: int,
        store: StoreClient,
        connectivity: Connectivity,
        readiness: Readiness,
        leads: Callable[[], bool],
    ) -> None:
        """Take what a heartbeat says: `incarnation` of this process, its connections and its part as leader."""
        self.incarnation = incarnation
        self.store = store
        self.connectivity = connectivity
        self.readiness = readiness
        self.leads = leads

    def heartbeat(self, now: float) -> PeerHeartbeat:
        """The heartbeat as of `now`, by the steady clock."""
        return PeerHeartbeat(
            self.incarnation,
            self.store.silent_for,
            now - self.connectivity.last_heartbeat,
            self.readiness.ready(),
            self.leads(),
            *self.store.demand,
        )


class StoreLimitSharing:
    """Divides the request limits of the store among the controllers that live, by what each asks."""

    def __init__(
        self, *, store: StoreClient, mesh: Mesh, cluster: ClusterState, ttl_s: float
    ) -> None:
        """`ttl_s`: how long after its last beat a peer's demand counts, in seconds."""
        self.store = store
        self.mesh = mesh
        self.members = cluster.members
        self.ttl_s = ttl_s

    def divide(self) -> None:
        """Set this controller's share anew."""
        demands: list[Demand | None] = []  # None: a member whose demand is not known
        for peer in self.mesh.peers.values():
            if peer.heartbeat is not None and peer.seen_within(self.ttl_s):
                demands.append(
                    Demand(peer.heartbeat.store_requests_per_s, peer.heartbeat.store_writes_per_s)
                )
            elif f"member/{peer.label}" in self.members.entries or not self.members.ready.is_set():
                demands.append(None)
        self.store.update_fair_share(demands)


class OwnerGossip:
    """What the owners of shards tell the leader and the other controllers."""

    def __init__(
        self,
        *,
        owners: ShardOwners,
        mesh: Mesh,
        cluster: ClusterState,
        cluster_version: ClusterVersion,
        now: Callable[[], float],
    ) -> None:
        """Take what is told, and how.

        Args:
            owners: the shards owned here.
            mesh: carries the frames.
            cluster: who leads.
            cluster_version: which frames all controllers understand.
            now: the controller's clock, in seconds since the epoch.
        """
        self.owners = owners
        self.mesh = mesh
        self.cluster = cluster
        self.cluster_version = cluster_version
        self.now = now
        self.inheriting: set[str] = set()  # shards whose last frame passed priorities on

    def send_claims(self) -> None:
        """Tell the peers which shards are owned and have been read here.

        Not sooner: an owner that the store refuses would let go of its workers at the claim, and if the new one's
        reading then met an outage nobody could answer them (109 tasks lost on a day of refusals and outages).
        Until then the replaced owner can write nothing any more.
        """
        claims = [(shard.name, shard.revision) for shard in self.owners.active_shards()]
        if claims:
            self.mesh.broadcast(OwnershipClaims(claims))

    def send_statuses(self) -> None:
        """Tell the leader how all shards stand."""
        for shard in self.owners.active_shards():
            self.send_status(shard)

    def send_status_if_urgent(self, shard: Shard) -> None:
        """Tell the leader at once that a shard has come to lack room; that it no longer does can wait for a beat."""
        if shard.resource_requests and not shard.had_resource_requests:
            self.send_status(shard)
        shard.had_resource_requests = bool(shard.resource_requests)

    def send_status(self, shard: Shard) -> None:
        """Tell the leader, unless it is this controller, how a shard stands and what it is vacating."""
        leader = self.cluster.leader_label()
        if not leader or leader == self.owners.label:
            return
        self.mesh.send(leader, shard.status_reporter.shard_status(self.now()))
        leaving = (
            shard.status_reporter.leaving_machines() if self.cluster_version.fences_commands else []
        )
        if leaving:
            self.mesh.send(leader, ReclaimsInProgress(shard.name, leaving))

    def send_statuses_and_counts(self) -> None:
        """Tell the leader how the shards stand, and all peers the priorities and task counts of their jobs."""
        counts: list[tuple[str, int, int]] = []
        for shard in self.owners.active_shards():
            counts += shard.status_reporter.task_counts()
            self.send_status(shard)
        self._send_inherited_priorities()
        # As many frames as it takes: a peer keeps what it was told of the jobs that are not over.
        for start in range(0, len(counts), JOBS_PER_FRAME):
            self.mesh.broadcast(TaskCounts(counts[start : start + JOBS_PER_FRAME]))

    def _send_inherited_priorities(self) -> None:
        """Pass on what jobs here mean for jobs of other shards that they depend on.

        Said anew with each beat as long as there is any, and once more when there is none left.
        """
        if not self.cluster_version.supports_dependencies:
            return
        for shard in self.owners.active_shards():
            rows = shard.dependency_tracker.graph.inherited_elsewhere(shard.jobs)
            if rows or shard.name in self.inheriting:
                inheritance = PriorityInheritance(shard.name, rows[:JOBS_PER_FRAME])
                self.mesh.broadcast(inheritance)
                self.owners.inherit_priorities(inheritance)
            (self.inheriting.add if rows else self.inheriting.discard)(shard.name)


class Gossip:
    """The loop of beats between controllers."""

    def __init__(
        self,
        *,
        mesh: Mesh,
        heartbeats: HeartbeatSource,
        store_limits: StoreLimitSharing,
        cancellations: CancellationBroadcaster,
        owner_gossip: OwnerGossip,
        load_handover: LoadHandover,
        worker_client: WorkerClient,
    ) -> None:
        """Take what is done with each beat."""
        self.mesh = mesh
        self.heartbeats = heartbeats
        self.store_limits = store_limits
        self.cancellations = cancellations
        self.owner_gossip = owner_gossip
        self.load_handover = load_handover
        self.worker_client = worker_client

    async def beat(self) -> float:
        """Send what is due with a beat, in this order; returns the seconds until the next."""
        now = time.monotonic()
        self.load_handover.on_beat(now)
        self.store_limits.divide()
        self.mesh.broadcast(self.heartbeats.heartbeat(now))
        self.cancellations.send_echoes(now)
        self.owner_gossip.send_claims()
        self.owner_gossip.send_statuses_and_counts()
        self.worker_client.close_idle()
        return self.mesh.heartbeat_interval_s
