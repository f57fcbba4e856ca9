"""A controller that is short of its processor hands a shard to one that is not."""

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
    """Watches how late this controller's own beats are, and hands a shard over when they stay late."""

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
        """Take what the choice rests on.

        Args:
            mesh: its beat, and how late the peers' beats are.
            cluster: how many shards the peers own.
            membership: who may own shards.
            commands: hand the shard over, as if the leader had asked for it.
            leads: whether this controller leads, which counts as a shard.
            ttl_s: how long after its last beat a peer counts as reachable, in seconds.
            patience_s: how long this controller has to be late, in seconds, and the pause between two handovers.
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
        """Note a beat of this controller, and hand a shard over if it is due. `now`: by the steady clock."""
        self.heartbeat_lag.beat(now)
        handover = self.load_shedder.hand_on(
            self.heartbeat_lag.gap_s, self._work_by_team(), self.leads(), self._peer_loads(), now
        )
        if handover is not None:
            team, label = handover
            log.info("shard handed over, short of processor: shard=%s to=%s", team, label)
            self.commands.execute(TransferShard(team, label))

    def _work_by_team(self) -> dict[str, int]:
        return {
            team: len(owner.shard.machines) + len(owner.shard.jobs)
            for team, owner in self.commands.owners.by_team.items()
            if owner.shard
        }

    def _peer_loads(self) -> dict[str, PeerLoad]:
        """The peers that may take a shard, by label."""
        fit = set(self.membership.eligible_members())
        claims = self.cluster.shards.entries
        return {
            label: PeerLoad(
                peer.heartbeat_lag.gap_s,
                sum(entry.value["owner"] == label for entry in claims.values()),
                peer.heartbeat.leader,
            )
            for label, peer in self.mesh.peers.items()
            if label in fit
            and peer.heartbeat is not None
            and peer.heartbeat.ready
            and peer.seen_within(self.ttl_s)
        }
