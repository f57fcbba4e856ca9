"""Messages that controllers send to each other over the mesh.

`ShardStatus`, `Reclaim` and `Rebalance` are defined in `ashdock.core.shard_status`, because the
core creates and reads them; `ashdock.wire.frames` packs all messages. Rows of long lists are plain
tuples: a list may contain thousands of rows, and a constructor call for each row would be most of
the cost of unpacking it.
"""

from __future__ import annotations

from typing import NamedTuple

from ashdock.core.shard_status import Rebalance, Reclaim, ShardStatus


class Hello(NamedTuple):
    """First message on a link; identifies the controller that opened it.

    Attributes:
        label: Label of the sender.
    """

    label: str


class PeerHeartbeat(NamedTuple):
    """Liveness and condition of the sender, sent to every peer once per heartbeat interval.

    Attributes:
        incarnation: Random number of the sender's process.
        store_age_s: Seconds since the store last answered the sender.
        worker_heartbeat_age_s: Seconds since a worker's heartbeat last reached the sender.
        ready: Whether the sender serves users and workers.
        leader: Whether the sender is the leader.
        store_requests_per_s: Store requests that the sender wants to make per second.
        store_writes_per_s: Store writes that the sender wants to make per second.
    """

    incarnation: int
    store_age_s: float
    worker_heartbeat_age_s: float
    ready: bool
    leader: bool
    store_requests_per_s: float = 0.0
    store_writes_per_s: float = 0.0


class TransferMachine(NamedTuple):
    """Command of the leader to transfer an idle machine to another shard.

    Attributes:
        shard: Shard that the machine is assigned to.
        machine: Name of the machine.
        to: Shard that gets it; "" leaves it unassigned.
    """

    shard: str
    machine: str
    to: str


class ForwardedHeartbeat(NamedTuple):
    """A worker's heartbeat, forwarded to the owner of its machine's shard.

    Attributes:
        number: Number that the sender chose to match the reply with the request.
        body: HTTP body that the worker sent.
    """

    number: int
    body: bytes


class ForwardReply(NamedTuple):
    """Response of the owner to a forwarded heartbeat, to be returned to the worker.

    Attributes:
        number: Number of the forwarded heartbeat.
        status: HTTP status.
        body: HTTP body.
    """

    number: int
    status: int
    body: bytes


class TaskCounts(NamedTuple):
    """Task counts of active jobs, from which every peer answers status requests of users.

    Attributes:
        jobs: Id of each active job, with the numbers of its done and running tasks.
    """

    jobs: list[tuple[str, int, int]]


class TransferShard(NamedTuple):
    """Command of the leader to transfer the ownership of a shard to another controller.

    Attributes:
        shard: Name of the shard.
        to: Label of the new owner.
    """

    shard: str
    to: str


class PriorityInheritance(NamedTuple):
    """Priorities and deadlines that jobs of a shard pass to their dependencies in other shards.

    Sent by the owner of the shard to every peer. Earlier versions cannot decode it, so it is sent
    only once the cluster version includes it.

    Attributes:
        shard: Shard of the dependent jobs.
        jobs: Id of each dependency, with the priority that it inherits and the time by which it
            should be done, in seconds since the epoch.
    """

    shard: str
    jobs: list[tuple[str, int, float]]


class OwnershipClaims(NamedTuple):
    """Shards that the sender owns, sent to every peer.

    Attributes:
        shards: Name of each shard, with the revision of the sender's claim.
    """

    shards: list[tuple[str, int]]


ShardCommand = TransferMachine | Reclaim | TransferShard | Rebalance
"""A command that the leader sends to the owner of a shard."""


class FencedCommand(NamedTuple):
    """A command of the leader with its term; an owner that knows a later term rejects it.

    Earlier versions cannot decode it, so it is sent only once the cluster version includes it.

    Attributes:
        term: Term of the leader that sent the command.
        command: The command.
    """

    term: int
    command: ShardCommand


class ReclaimsInProgress(NamedTuple):
    """Machines that the owner of a shard is vacating, sent to the leader.

    A new leader needs it because its predecessor may have sent the `Reclaim` commands. Sent under
    the same condition as `FencedCommand`.

    Attributes:
        shard: Shard that gives the machines up.
        machines: Name of each machine that is being vacated, with the shard that gets it; "" leaves
            it unassigned.
    """

    shard: str
    machines: list[tuple[str, str]]


class CancelledJobs(NamedTuple):
    """Cancelled jobs, sent to every peer as soon as the sender knows that they are durable.

    Earlier versions cannot decode it, so it is sent only once the cluster version includes it.

    Attributes:
        jobs: Id of each job, with its team, the revision of its record, and the time at which it
            was cancelled, in seconds since the epoch.
    """

    jobs: list[tuple[str, str, int, float]]


class WatermarkEcho(NamedTuple):
    """Sent to every peer once per heartbeat interval; advances the cancellation watermark.

    All cancellations that the sender learned of since the link was established were sent on the
    link before this message. Sent under the same condition as `CancelledJobs`.

    Attributes:
        number: Number that the receiver echoes.
        echoed_number: Last number that the sender received from the receiver.
    """

    number: int
    echoed_number: int


Frame = (
    Hello
    | PeerHeartbeat
    | ShardStatus
    | TransferMachine
    | Reclaim
    | ForwardedHeartbeat
    | ForwardReply
    | TaskCounts
    | TransferShard
    | Rebalance
    | OwnershipClaims
    | PriorityInheritance
    | FencedCommand
    | ReclaimsInProgress
    | CancelledJobs
    | WatermarkEcho
)
"""Any message between controllers; each is sent in its own frame."""
