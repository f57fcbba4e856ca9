"""Messages about machines between the owner of a shard and the leader.

The owner reports a `ShardStatus` regularly, and at once when its shard starts to lack room. The
leader answers resource requests of other shards with `Reclaim` and `Rebalance`.
`ashdock.wire.frames` encodes all of them.
"""

from __future__ import annotations

from typing import NamedTuple


class ResourceRequest(NamedTuple):
    """Capacity that a shard lacks for a number of tasks with equal requirements.

    Attributes:
        cpus: CPUs of one task.
        gpus: GPUs of one task.
        memory_gb: Memory of one task.
        types: Machine types that the job allows; empty: any.
        zone: Zone that the tasks have to run in; "": any.
        spot: Whether the tasks may run on spot instances.
        one_zone: Whether all tasks have to run in one zone.
        tasks: Number of tasks.
        priority: Priority of the job; higher ones go first.
        guaranteed: Whether the tasks are within the team's guarantee.
        slack_s: Seconds until the job should be running.
        image: Image of the tasks.
        gang_tasks: Number of all tasks of a gang whose zone the shard's owner chose: the leader may
            choose another zone, and then requests capacity for all of them. Else 0.
        opportunistic: Whether the job has no guarantee, deadline or service-level objective, so
            that it is served last, and from spot instances if it allows them.
    """

    cpus: float
    gpus: float
    memory_gb: float
    types: tuple[str, ...]
    zone: str
    spot: bool
    one_zone: bool
    tasks: int
    priority: int
    guaranteed: bool
    slack_s: float
    image: str = ""
    gang_tasks: int = 0
    opportunistic: bool = False


class Reclaim(NamedTuple):
    """Command of the leader to vacate machines for another shard, preempting their tasks.

    Attributes:
        shard: Shard that gives the machines up.
        to: Shard that gets them.
        machines: Names of the machines.
    """

    shard: str
    to: str
    machines: list[str]


class Rebalance(NamedTuple):
    """Command of the leader to transfer machines to another shard as they become free.

    Sent when similar work of the other shard has waited longer. Nothing is preempted for it.

    Attributes:
        shard: Shard that gives the machines up.
        to: Shard that gets them.
        number: Number of machines.
        types: Suitable machine types; empty: any.
        zone: Zone of the machines; "": any.
        spot: Whether spot instances are suitable.
    """

    shard: str
    to: str
    number: int
    types: tuple[str, ...]
    zone: str
    spot: bool


class BusyMachine(NamedTuple):
    """A machine with placed tasks, and what preempting them would cost.

    Attributes:
        machine: Name of the machine.
        priority: Highest priority among its tasks.
        preemption_cost_s: Work that would be lost, in seconds of the whole machine.
    """

    machine: str
    priority: int
    preemption_cost_s: float


class ShardStatus(NamedTuple):
    """Status that the owner of a shard reports to the leader.

    Attributes:
        team: Team of the shard.
        seen_revision: Revision of the latest machine assignment that the last scheduling cycle
            took into account.
        resource_requests: Capacity that the shard lacks.
        idle: Names of machines without tasks that the shard can give up, with the seconds that
            they have been idle.
        busy: Machines with tasks.
        machines: Number of machines assigned to the shard.
        waiting_tasks: Number of tasks that are ready and not placed.
        machines_over_guarantee: Number of busy machines whose work exceeds the team's guarantee.
    """

    team: str
    seen_revision: int
    resource_requests: list[ResourceRequest]
    idle: list[tuple[str, float]]
    busy: list[BusyMachine]
    machines: int
    waiting_tasks: int
    machines_over_guarantee: int
