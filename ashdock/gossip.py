"""Messages between controllers: those sent with each heartbeat, and urgent ones sent at once."""

from __future__ import annotations

import time
from collections.abc import Callable

from ashdock.cancellation.broadcaster import CancellationBroadcaster
from ashdock.cluster_state import ClusterState
from ashdock.cluster_version import ClusterVersion
from ashdock.connectivity import Connectivity, Readiness
from ashdock.core.shard import Shard
from ashdock.due_writes import DueWrites
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

JOBS_PER_FRAME = 2000  # stays far below the maximum frame size, whatever the length of job ids


class HeartbeatSource:
    """Builds the heartbeats that this controller sends to its peers."""

    def __init__(
        self,
        *,
        incarnation: int,
        store: StoreClient,
        connectivity: Connectivity,
        readiness: Readiness,
        leads: Callable[[], bool],
    ) -> None:
        """Set the sources of a heartbeat's contents.

        Args:
            incarnation: Random number that identifies this process.
            store: Client that tells the store's silence and this controller's demand.
            connectivity: Tells when a worker was last heard.
            readiness: Tells whether this controller accepts requests.
            leads: Returns whether this controller leads.
        """
        self.incarnation = incarnation
        self.store = store
        self.connectivity = connectivity
        self.readiness = readiness
        self.leads = leads

    def heartbeat(self, now: float) -> PeerHeartbeat:
        """Return the heartbeat as of the monotonic time `now`."""
        return PeerHeartbeat(
            self.incarnation,
            self.store.silent_for,
            now - self.connectivity.last_heartbeat,
            self.readiness.ready(),
            self.leads(),
            *self.store.demand,
        )


class StoreLimitSharing:
    """Divides the store's request limits among the live controllers by their demand."""

    def __init__(
        self,
        *,
        store: StoreClient,
        mesh: Mesh,
        cluster: ClusterState,
        due_writes: DueWrites,
        ttl_s: float,
    ) -> None:
        """Set up the sharing.

        Args:
            store: Client whose rates are set; its demand is this controller's.
            mesh: Links that tell the demands of peers.
            cluster: Tells which controllers are members.
            due_writes: Adds to the demand what the shards owned here have to write by a time.
            ttl_s: How long a peer's demand counts after its last frame, in seconds.
        """
        self.store = store
        self.mesh = mesh
        self.members = cluster.members
        self.due_writes = due_writes
        self.ttl_s = ttl_s

    def update_share(self) -> None:
        """Recompute this controller's share of the limits.

        A peer that has not been heard within `ttl_s` counts with an unknown demand while it is a
        member, or while the members are not known.
        """
        self.due_writes.update()
        demands: list[Demand | None] = []  # None: unknown demand
        for peer in self.mesh.peers.values():
            if peer.heartbeat is not None and peer.seen_within(self.ttl_s):
                demands.append(
                    Demand(peer.heartbeat.store_requests_per_s, peer.heartbeat.store_writes_per_s)
                )
            elif f"member/{peer.label}" in self.members.entries or not self.members.ready.is_set():
                demands.append(None)
        self.store.update_fair_share(demands)


class OwnerGossip:
    """Sends the state of the shards owned here to the leader and the other controllers."""

    def __init__(
        self,
        *,
        owners: ShardOwners,
        mesh: Mesh,
        cluster: ClusterState,
        cluster_version: ClusterVersion,
        now: Callable[[], float],
    ) -> None:
        """Set the sources and the transport.

        Args:
            owners: The shards owned here.
            mesh: Links over which frames are sent.
            cluster: Tells which controller leads.
            cluster_version: Tells which frames all controllers support.
            now: The controller's clock, in seconds since the epoch.
        """
        self.owners = owners
        self.mesh = mesh
        self.cluster = cluster
        self.cluster_version = cluster_version
        self.now = now
        # Names of the shards whose last `PriorityInheritance` frame was not empty.
        self.shards_with_inheritance: set[str] = set()

    def send_claims(self) -> None:
        """Tell the peers which shards are owned here.

        Claims are sent only for shards that have been loaded. A previous owner whose requests the
        store refuses learns of its replacement from this frame, and stops answering the shard's
        workers. When claims were sent before loading, and a store outage interrupted the loading,
        no controller could answer these workers: 109 tasks were lost that way on a day of refusals
        and outages. The previous owner cannot write to the shard while the new one loads it.
        """
        claims = [(shard.name, shard.revision) for shard in self.owners.active_shards()]
        if claims:
            self.mesh.broadcast(OwnershipClaims(claims))

    def send_statuses(self) -> None:
        """Send the leader the status of every shard that is active here."""
        for shard in self.owners.active_shards():
            self.send_status(shard)

    def send_status_if_urgent(self, shard: Shard) -> None:
        """Send the leader a shard's status if the shard has begun to request resources.

        The end of its requests can wait for the next heartbeat.
        """
        if shard.resource_requests and not shard.had_resource_requests:
            self.send_status(shard)
        shard.had_resource_requests = bool(shard.resource_requests)

    def send_status(self, shard: Shard) -> None:
        """Send the leader a shard's status and the machines that the shard is vacating.

        Nothing is sent if no leader is known or this controller is the leader.
        """
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
        """Send statuses to the leader, and inherited priorities and task counts to all peers."""
        counts: list[tuple[str, int, int]] = []
        for shard in self.owners.active_shards():
            counts += shard.status_reporter.task_counts()
            self.send_status(shard)
        self._send_inherited_priorities()
        # All counts are sent, in several frames if needed: peers keep those of every active job.
        for start in range(0, len(counts), JOBS_PER_FRAME):
            self.mesh.broadcast(TaskCounts(counts[start : start + JOBS_PER_FRAME]))

    def _send_inherited_priorities(self) -> None:
        """Send the priorities that jobs of other shards inherit from dependent jobs here.

        A shard's priorities are sent with each heartbeat while there are any, and once more, empty,
        when there are none left.
        """
        if not self.cluster_version.supports_dependencies:
            return
        for shard in self.owners.active_shards():
            rows = shard.dependency_tracker.graph.inherited_elsewhere(shard.jobs)
            if rows or shard.name in self.shards_with_inheritance:
                inheritance = PriorityInheritance(shard.name, rows[:JOBS_PER_FRAME])
                self.mesh.broadcast(inheritance)
                self.owners.inherit_priorities(inheritance)
            (self.shards_with_inheritance.add if rows else self.shards_with_inheritance.discard)(
                shard.name
            )


class Gossip:
    """Sends this controller's heartbeats to its peers, and the frames that go with each of them."""

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
        """Set the components that act at each heartbeat.

        Args:
            mesh: Links to the peers; determines the interval between heartbeats.
            heartbeats: Builds the heartbeat.
            store_limits: Recomputes this controller's share of the store's limits.
            cancellations: Sends the watermark echoes.
            owner_gossip: Sends the state of the shards owned here.
            load_handover: Hands a shard over if this controller is overloaded.
            worker_client: Closes its idle connections.
        """
        self.mesh = mesh
        self.heartbeats = heartbeats
        self.store_limits = store_limits
        self.cancellations = cancellations
        self.owner_gossip = owner_gossip
        self.load_handover = load_handover
        self.worker_client = worker_client

    async def run_once(self) -> float:
        """Send one heartbeat and all that goes with it; return the seconds until the next."""
        now = time.monotonic()
        self.load_handover.on_heartbeat(now)
        self.store_limits.update_share()
        self.mesh.broadcast(self.heartbeats.heartbeat(now))
        self.cancellations.send_echoes(now)
        self.owner_gossip.send_claims()
        self.owner_gossip.send_statuses_and_counts()
        self.worker_client.close_idle()
        return self.mesh.heartbeat_interval_s
