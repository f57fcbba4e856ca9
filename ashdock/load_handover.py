"""Load shedding: a controller that lacks processor time transfers a shard to another one."""

from __future__ import annotations

import logging
from collections.abc import Callable

from ashdock.cluster_state import ClusterState
from ashdock.fairness.load_shedder import HeartbeatLag, LoadShedder, PeerLoad
from ashdock.membership import Membership
from ashdock.net.mesh import Mesh
from ashdock.shard_commands import ShardCommands
from ashdock.wire.peer_messages import TransferShard

log = logging.getLogger("ashdock.controller")


class LoadHandover:
    """Transfers a shard when this controller's own heartbeats to its peers stay late."""

    def __init__(
        self,
        *,
        mesh: Mesh,
        cluster: ClusterState,
        membership: Membership,
        commands: ShardCommands,
        leads: Callable[[], bool],
        ttl_s: float,
        patience_s: float,
    ) -> None:
        """Start without any heartbeat.

        Args:
            mesh: Tells the interval of heartbeats and the heartbeat lag of the peers.
            cluster: Tells how many shards each peer owns.
            membership: Tells which controllers may own shards.
            commands: Executes the transfer like a command of the leader.
            leads: Whether this controller leads; leading counts as a shard.
            ttl_s: Time for which a peer counts as reachable after its last heartbeat, in seconds.
            patience_s: Time for which heartbeats have to stay late before a shard is transferred,
                and minimum time between two transfers, in seconds.
        """
        self.mesh = mesh
        self.cluster = cluster
        self.membership = membership
        self.commands = commands
        self.leads = leads
        self.ttl_s = ttl_s
        self.heartbeat_lag = HeartbeatLag(mesh.heartbeat_interval_s)
        self.load_shedder = LoadShedder(mesh.heartbeat_interval_s, patience_s)

    def on_heartbeat(self, now: float) -> None:
        """Record a heartbeat of this controller, and transfer a shard if that is due.

        Args:
            now: Monotonic time, in seconds.
        """
        self.heartbeat_lag.record_heartbeat(now)
        handover = self.load_shedder.choose_handover(
            self.heartbeat_lag.gap_s, self._work_by_team(), self.leads(), self._peer_loads(), now
        )
        if handover is not None:
            team, label = handover
            log.info("shard transferred for lack of processor time: shard=%s to=%s", team, label)
            self.commands.execute(TransferShard(team, label))

    def _work_by_team(self) -> dict[str, int]:
        return {
            team: len(owner.shard.machines) + len(owner.shard.jobs)
            for team, owner in self.commands.owners.by_team.items()
            if owner.shard
        }

    def _peer_loads(self) -> dict[str, PeerLoad]:
        """Loads of the peers that may take a shard, by label."""
        eligible = set(self.membership.eligible_members())
        claims = self.cluster.shards.entries
        return {
            label: PeerLoad(
                peer.heartbeat_lag.gap_s,
                sum(entry.value["owner"] == label for entry in claims.values()),
                peer.heartbeat.leader,
            )
            for label, peer in self.mesh.peers.items()
            if label in eligible
            and peer.heartbeat is not None
            and peer.heartbeat.ready
            and peer.seen_within(self.ttl_s)
        }
