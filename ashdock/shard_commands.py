"""What the leader asks of the owners of shards: sent to them under its term, and carried out here."""

from __future__ import annotations

import logging
from collections.abc import Callable

from ashdock.cluster_state import ClusterState
from ashdock.cluster_version import ClusterVersion
from ashdock.core.shard_status import Rebalance, Reclaim
from ashdock.election.fencing import TermFence
from ashdock.net.mesh import Mesh
from ashdock.shard_owners import ShardOwners
from ashdock.wire.peer_messages import FencedCommand, ShardCommand, TransferMachine, TransferShard

log = logging.getLogger("ashdock.controller")


class ShardCommands:
    """Commands of the leader for owners of shards, here or at a peer."""

    def __init__(
        self,
        *,
        owners: ShardOwners,
        cluster: ClusterState,
        cluster_version: ClusterVersion,
        mesh: Mesh,
        terms: TermFence,
        now: Callable[[], float],
    ) -> None:
        """Take what commands are sent with and act on.

        Args:
            owners: the shards owned here.
            cluster: who owns the others.
            cluster_version: whether all controllers understand commands with a term.
            mesh: carries commands to peers.
            terms: refuses commands of a leader that has been replaced.
            now: the controller's clock, in seconds since the epoch.
        """
        self.owners = owners
        self.cluster = cluster
        self.cluster_version = cluster_version
        self.mesh = mesh
        self.terms = terms
        self.now = now

    def send(self, team: str, command: ShardCommand, term: int) -> None:
        """Send a command of the leader here to the owner of a team's shard, under its term."""
        label = self.cluster.owner_label(team)
        if team in self.owners.by_team:
            self.receive(term, command)
        elif label:
            fenced = self.cluster_version.fences_commands
            self.mesh.send(label, FencedCommand(term, command) if fenced else command)

    def receive(self, term: int, command: ShardCommand) -> None:
        """Carry out a command unless a later term is known.

        One that a leader decided before it was replaced has reached an owner after its successor's.
        """
        if self.terms.admit(term):
            self.execute(command)
        else:
            log.info(
                "command refused, a later term is known: command=%s term=%d known_term=%d",
                type(command).__name__,
                term,
                self.terms.highest,
            )

    def fenced_received(self, _label: str, frame: FencedCommand) -> None:
        """Take in a command with a term from a peer."""
        self.receive(frame.term, frame.command)

    def unfenced_received(self, _label: str, command: ShardCommand) -> None:
        """Take in a command without a term: only while some controllers cannot send one."""
        if not self.cluster_version.fences_commands:
            self.execute(command)

    def execute(self, command: ShardCommand) -> None:
        """Hand a command to the shard's owner, if it is here."""
        owner = self.owners.by_team.get(command.shard)
        if owner is None:
            return
        match command:
            case TransferMachine():
                owner.apply(
                    lambda shard: shard.status_reporter.transfer_machine(
                        command.machine, command.to
                    )
                )
            case Rebalance():
                owner.apply(lambda shard: shard.status_reporter.rebalance(command, self.now()))
            case TransferShard():
                owner.transfer_to = command.to
                owner.wake.set()
            case Reclaim():
                owner.apply(lambda shard: shard.status_reporter.reclaim(command, self.now()))
