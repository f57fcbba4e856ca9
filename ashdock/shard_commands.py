"""Commands of the leader to shard owners: sent with its term, and executed by the owner."""

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
    """Sends the leader's commands to shard owners, and executes those for shards owned here."""

    def __init__(
        self,
        *,
        owners: ShardOwners,
        cluster: ClusterState,
        cluster_version: ClusterVersion,
        mesh: Mesh,
        term_fence: TermFence,
        now: Callable[[], float],
    ) -> None:
        """Store the collaborators.

        Args:
            owners: Owners of the shards that this controller owns.
            cluster: Tells which controller owns any other shard.
            cluster_version: Tells whether all controllers understand commands with a term.
            mesh: Sends commands to peers.
            term_fence: Fence that refuses commands of a replaced leader.
            now: Current time, in seconds since the epoch.
        """
        self.owners = owners
        self.cluster = cluster
        self.cluster_version = cluster_version
        self.mesh = mesh
        self.term_fence = term_fence
        self.now = now

    def send(self, team: str, command: ShardCommand, term: int) -> None:
        """Send a command of this controller's leader to the owner of a team's shard.

        It is executed at once if the shard is owned here, and dropped if no owner is known.

        Args:
            team: Name of the team.
            command: The command.
            term: Term of the leader.
        """
        label = self.cluster.owner_label(team)
        if team in self.owners.by_team:
            self.receive(term, command)
        elif label:
            fenced = self.cluster_version.fences_commands
            self.mesh.send(label, FencedCommand(term, command) if fenced else command)

    def receive(self, term: int, command: ShardCommand) -> None:
        """Execute a command, unless a later term is known.

        A command of a replaced leader has reached an owner after one of the leader's successor.
        """
        if self.term_fence.admit(term):
            self.execute(command)
        else:
            log.info(
                "command refused, a later term is known: command=%s term=%d known_term=%d",
                type(command).__name__,
                term,
                self.term_fence.highest_term,
            )

    def fenced_received(self, _label: str, frame: FencedCommand) -> None:
        """Handle a command with a term from a peer."""
        self.receive(frame.term, frame.command)

    def unfenced_received(self, _label: str, command: ShardCommand) -> None:
        """Handle a command without a term; ignored once all controllers send commands with one."""
        if not self.cluster_version.fences_commands:
            self.execute(command)

    def execute(self, command: ShardCommand) -> None:
        """Apply a command to its shard; ignored if the shard is not owned here."""
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
