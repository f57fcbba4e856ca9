"""The messages that controllers send one another over the mesh.

`ShardStatus`, `Reclaim` and `Rebalance` stand in `ashdock.core.shard_status`, because the core makes and
reads them; `ashdock.wire.frames` packs them all. Rows of the long lists are plain tuples: a list may hold
thousands of rows, and a constructor call for each would be most of the cost of unpacking it.
"""

from __future__ import annotations

from typing import NamedTuple

from ashdock.core.shard_status import Rebalance, Reclaim, ShardStatus


class Hello(NamedTuple):
    """The first message on a link: who opened it.

    Attributes:
        label: The label of the controller that sends on this link.
    """

    label: str


class PeerHeartbeat(NamedTuple):
    """Sent to every peer on each beat: that the sender lives, and how it fares.

    Attributes:
        incarnation: Start of the sender's process; larger after a restart.
        state_age: Seconds since the store last answered the sender.
        worker_age: Seconds since a worker's heartbeat last reached the sender.
        ready: Whether the sender serves users and workers.
        leader: Whether the sender is the leader.
        requests: Store requests that the sender wants to make, a second.
        writes: Store writes that the sender wants to make, a second.
    """

    incarnation: int
    state_age: float
    worker_age: float
    ready: bool
    leader: bool
    requests: float = 0.0
    writes: float = 0.0


class TransferMachine(NamedTuple):
    """The leader asks the owner of `shard` to hand over an idle machine.

    Attributes:
        shard: The shard that the machine is assigned to.
        machine: The machine's name.
        to: The shard that gets it; "" leaves it unassigned.
    """

    shard: str
    machine: str
    to: str


class ForwardedHeartbeat(NamedTuple):
    """A worker's heartbeat, forwarded to the owner of its machine's shard.

    Attributes:
        number: Chosen by the sender; the reply carries it.
        body: The heartbeat as the worker sent it.
    """

    number: int
    body: bytes


class ForwardReply(NamedTuple):
    """The owner's answer to a forwarded heartbeat, for its sender to pass back to the worker.

    Attributes:
        number: The number of the forwarded heartbeat.
        status: HTTP status.
        body: HTTP body.
    """

    number: int
    status: int
    body: bytes


class TaskCounts(NamedTuple):
    """Sent by shard owners to every peer, which answer users' questions from it.

    Attributes:
        jobs: Of each active job its id and the numbers of done and of running tasks.
    """

    jobs: list[tuple[str, int, int]]


class TransferShard(NamedTuple):
    """The leader asks the owner of `shard` to hand the whole shard to another controller.

    Attributes:
        shard: The shard's name.
        to: The label of its new owner.
    """

    shard: str
    to: str


class PriorityInheritance(NamedTuple):
    """Sent by a shard's owner to every peer: what its jobs pass on to the jobs of other shards that they depend on.

    Earlier versions do not know it: it is sent only once the cluster version has it.

    Attributes:
        shard: The sender's shard.
        jobs: Of each job depended on its id, the priority that it inherits, and the time of day in
            seconds by which it should be done.
    """

    shard: str
    jobs: list[tuple[str, int, float]]


class OwnershipClaims(NamedTuple):
    """Sent by shard owners to every peer: the shards that the sender owns.

    Attributes:
        shards: Of each shard its name and the revision of the sender's claim.
    """

    shards: list[tuple[str, int]]


ShardCommand = TransferMachine | Reclaim | TransferShard | Rebalance
"""What the leader asks of a shard's owner."""


class FencedCommand(NamedTuple):
    """A command of the leader with its term: an owner that knows a later term refuses it.

    Earlier versions do not know it: it is sent only once the cluster version has it.

    Attributes:
        term: The term in which the leader sent it.
        command: What the owner is asked.
    """

    term: int
    command: ShardCommand


class ReclaimsInProgress(NamedTuple):
    """Sent by a shard's owner to the leader, as a new leader has not asked for these itself.

    Sent under the same condition as `FencedCommand`.

    Attributes:
        shard: The sender's shard.
        machines: Of each machine that is being vacated its name and the shard that gets it; "" leaves
            it unassigned.
    """

    shard: str
    machines: list[tuple[str, str]]


class CancelledJobs(NamedTuple):
    """Sent to every peer as soon as the sender knows, durably, that jobs are cancelled.

    Earlier versions do not know it: it is sent only once the cluster version has it.

    Attributes:
        jobs: Of each job its id, its team, the revision of its record, and the time of day in seconds
            when it was cancelled.
    """

    jobs: list[tuple[str, str, int, float]]


class WatermarkEcho(NamedTuple):
    """Sent to every peer on each beat; advances the cancellation watermark.

    All cancellations that the sender had learnt of before, since this link began, went out on the link
    before it. Sent under the same condition as `CancelledJobs`.

    Attributes:
        number: To be sent back by the receiver.
        back: The last number that the sender had from the receiver.
    """

    number: int
    back: int


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
"""Any message between controllers; each travels in a frame of its own."""
