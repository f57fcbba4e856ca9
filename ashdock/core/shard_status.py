"""What a shard's owner and the leader exchange about machines.

The owner sends its `ShardStatus` with every beat; the leader answers needs of other shards with
`Reclaim` and `Rebalance`. `ashdock.wire.frames` packs them.
"""

from __future__ import annotations

from typing import NamedTuple


class ResourceRequest(NamedTuple):
    """Room that a shard lacks for a number of like tasks.

    Attributes:
        cpus: Cores of one task.
        gpus: Accelerators of one task.
        memory: Memory of one task, in GB.
        types: The machine types that may run it; none given: any.
        zone: The zone that it has to run in, or "".
        spot: Whether a spot instance will do.
        together: Whether all tasks have to run in one zone.
        tasks: Number of tasks.
        priority: The job's priority, higher first.
        guaranteed: Whether the tasks are within the team's guarantee.
        slack_s: Seconds until the job had better run.
        image: Image that the tasks need.
        whole: Of a gang whose zone the owner chose: the number of all its tasks, in case another
            zone suits better; else 0.
        idle: Whether nothing was promised: no guarantee, no deadline, no service-level objective.
    """

    cpus: float
    gpus: float
    memory: float
    types: tuple[str, ...]
    zone: str
    spot: bool
    together: bool
    tasks: int
    priority: int
    guaranteed: bool
    slack_s: float
    image: str = ""
    whole: int = 0
    idle: bool = False


class Reclaim(NamedTuple):
    """The leader asks the owner of `shard` to vacate `machines` for the shard `to`."""

    shard: str
    to: str
    machines: list[str]


class Rebalance(NamedTuple):
    """The leader asks the owner of `shard` to pass machines on to the shard `to` as they come free.

    The other shard's like work has waited longer. Nothing is stopped for it.

    Attributes:
        shard: The shard that passes machines on.
        to: The shard that gets them.
        number: Number of machines.
        types: The machine types that are of use; none given: any.
        zone: The zone that they have to be in, or "".
        spot: Whether spot instances are of use.
    """

    shard: str
    to: str
    number: int
    types: tuple[str, ...]
    zone: str
    spot: bool


class BusyMachine(NamedTuple):
    """A machine with running tasks, and what preempting it would lose.

    Attributes:
        machine: Its name.
        priority: The highest priority among its tasks.
        preemption_cost_s: Work that would be lost, in seconds of the whole machine.
    """

    machine: str
    priority: int
    preemption_cost_s: float


class ShardStatus(NamedTuple):
    """What the owner of a shard reports to the leader.

    Attributes:
        team: The shard's name, which is its team's.
        seen: Revision of the latest machine assignment that this status takes into account.
        resource_requests: What the shard lacks.
        idle: Machines without tasks, with the seconds for which they have been idle.
        busy: Machines with tasks.
        machines: Number of machines assigned to the shard.
        waiting: Number of tasks that are ready and not placed.
        spare_beyond: Number of machines that the shard uses beyond its guarantee.
    """

    team: str
    seen: int
    resource_requests: list[ResourceRequest]
    idle: list[tuple[str, float]]
    busy: list[BusyMachine]
    machines: int
    waiting: int
    spare_beyond: int
