"""Selects machines for tasks, by a cost in seconds of delay.

One unit for all parts of the cost lets image fetches, bin packing and price be weighed against each
other.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from ashdock.core.job import Job
from ashdock.core.machine import Machine, capacity, fits, remaining
from ashdock.wire.messages import JobKind, JobSpec, MachineType


class Candidate(NamedTuple):
    """A machine on which tasks of a job can be placed.

    Attributes:
        cost_s: Cost of placing a task there, in seconds of delay.
        machine: The machine.
        room: Number of tasks that its free capacity takes.
    """

    cost_s: float
    machine: Machine
    room: int


def permits(spec: JobSpec, type_label: str, zone: str, spot: bool) -> bool:
    """Whether the job's own constraints allow such a machine.

    Constraints between its tasks (`one_zone`, `spread`) are left to `select_machines`.
    """
    if spec.machine_types is not None and type_label not in spec.machine_types:
        return False
    if spec.zone is not None and zone != spec.zone:
        return False
    return spec.spot or not spot


def remaining_fetch_s(spec: JobSpec, machine: Machine) -> float:
    """Seconds that the machine takes to fetch the job's image; 0 if its cache holds it."""
    if spec.image in machine.images:
        return 0.0
    return image_fetch_s(spec, machine.machine_type)


def image_fetch_s(spec: JobSpec, machine_type: MachineType) -> float:
    """Seconds that a machine of that type takes to fetch the job's image into an empty cache."""
    return spec.image_gb / max(machine_type.fetch_gb_per_s, 1e-3)


def placement_cost_s(spec: JobSpec, machine: Machine) -> float:
    """Cost of placing a task of the job on the machine, in seconds.

    It is the delay until the task runs, with bin packing as the tie-breaker: full machines are
    filled first, so that empty ones can be returned to the cloud or take gangs.
    """
    free = (
        machine.gpus / machine.machine_type.gpus
        if machine.machine_type.gpus
        else machine.cpus / machine.machine_type.cpus
    )
    # A job that may run on spot instances leaves on-demand machines to jobs that may not, or to be
    # returned to the cloud.
    on_demand_penalty_s = machine.machine_type.boot_s / 4 if spec.spot and not machine.spot else 0.0
    return (
        remaining_fetch_s(spec, machine)
        + free * machine.machine_type.boot_s / 16
        + on_demand_penalty_s
    )


def find_candidates(job: Job, machines: Iterable[Machine], now: float) -> list[Candidate]:
    """Machines on which a task of the job can be placed now, the cheapest first."""
    spec = job.spec
    candidates = []
    for machine in machines:
        if not machine.usable or machine.no_room_until > now:
            continue
        if not permits(spec, machine.type, machine.zone, machine.spot):
            continue
        room = machine.fits(spec.cpus, spec.gpus, spec.memory_gb)
        if room <= 0:
            continue
        cost_s = placement_cost_s(spec, machine)
        if job.avoided_machines.get(machine.name, 0.0) > now:
            cost_s += 1000.0  # the job failed there recently: last resort
        candidates.append(Candidate(cost_s, machine, room))
    candidates.sort(key=lambda candidate: (candidate.cost_s, candidate.machine.name))
    return candidates


def max_tasks_per_zone(spec: JobSpec) -> int:
    """Most tasks of the job that one zone may hold: half of them, rounded up, for a spread job."""
    return (spec.tasks + 1) // 2 if spec.spread else spec.tasks


def select_machines(
    job: Job, candidates: list[Candidate], wanted: int, zone_of: Callable[[str], str]
) -> list[Machine]:
    """Machines for up to `wanted` more tasks of the job, one entry per task.

    A gang gets a machine for each of them, or none at all.

    Args:
        job: The job, whose live placements count towards its zone constraints.
        candidates: Machines with room, the cheapest first.
        wanted: Number of tasks to place.
        zone_of: Returns the zone of the machine with that name.
    """
    if not candidates:
        return []
    spec = job.spec
    tasks_by_zone: dict[str, int] = {}
    if spec.one_zone or spec.spread:
        for placement in job.live.values():
            zone = zone_of(placement.machine)
            tasks_by_zone[zone] = tasks_by_zone.get(zone, 0) + 1
    if spec.one_zone:
        zones = list(tasks_by_zone) or sorted({candidate.machine.zone for candidate in candidates})
        best: tuple[tuple[float, float], list[Machine]] | None = None
        for zone in zones:
            selected, highest_cost_s = _fill(
                [c for c in candidates if c.machine.zone == zone],
                tasks_by_zone,
                wanted,
                max_tasks_per_zone(spec),
            )
            if not selected or (spec.kind == JobKind.GANG and len(selected) < wanted):
                continue
            key = (-float(len(selected)), highest_cost_s)
            if best is None or key < best[0]:
                best = key, selected
        return best[1] if best else []
    selected, _ = _fill(candidates, tasks_by_zone, wanted, max_tasks_per_zone(spec))
    if spec.kind == JobKind.GANG and len(selected) < wanted:
        return []
    return selected


def _fill(
    candidates: list[Candidate], tasks_by_zone: dict[str, int], wanted: int, zone_limit: int
) -> tuple[list[Machine], float]:
    """Fill the candidates in order.

    Returns:
        The machines, one entry per task, and the highest cost of placing a task on one of them.
    """
    tasks_by_zone = dict(tasks_by_zone)
    selected: list[Machine] = []
    highest_cost_s = 0.0
    for cost_s, machine, room in candidates:
        tasks = min(room, wanted - len(selected), zone_limit - tasks_by_zone.get(machine.zone, 0))
        if tasks <= 0:
            continue
        selected += [machine] * tasks
        tasks_by_zone[machine.zone] = tasks_by_zone.get(machine.zone, 0) + tasks
        highest_cost_s = max(highest_cost_s, cost_s)
        if len(selected) >= wanted:
            break
    return selected, highest_cost_s


Need = tuple[float, float, float]  # CPUs, GPUs and memory in GB of one task


class InfeasibleCache:
    """Needs for which no room was found in a scheduling cycle, or in a round of the allocator.

    Room only shrinks within either, so a request for at least as much under the same conditions
    need not be tried. Without the cache, each scheduling cycle looked at every machine for every
    waiting job.
    """

    def __init__(self) -> None:
        """Create an empty cache, for one scheduling cycle or one round of the allocator."""
        self.infeasible: dict[Any, list[tuple[Need, int]]] = {}

    def note(self, conditions: Any, need: Need, tasks: int) -> None:
        """Record that there is no room for so many tasks under these conditions."""
        self.infeasible.setdefault(conditions, []).append((need, tasks))

    def holds(self, conditions: Any, need: Need, tasks: int) -> bool:
        """Whether a recorded need under the same conditions is no larger than this one."""
        return any(
            tasks >= known_tasks
            and need[0] >= known_need[0]
            and need[1] >= known_need[1]
            and need[2] >= known_need[2]
            for known_need, known_tasks in self.infeasible.get(conditions, ())
        )


class PendingCapacity:
    """Capacity of machines that are still to come, such as those that boot.

    Machines that nothing is reserved on are counted by type, zone, and spot or on-demand.
    Once tasks are reserved on one, its remaining capacity is tracked on its own.
    """

    def __init__(self) -> None:
        """Create it without any capacity."""
        self.whole_machines: dict[tuple[str, str, bool], tuple[MachineType, int]] = {}
        self.remainders: list[tuple[str, str, bool, list[float]]] = []

    def add(self, machine_type: MachineType, zone: str, spot: bool, number: int = 1) -> None:
        """Add machines that nothing is reserved on."""
        key = (machine_type.label, zone, spot)
        self.whole_machines[key] = (
            machine_type,
            self.whole_machines.get(key, (machine_type, 0))[1] + number,
        )

    def add_remainder(
        self, machine_type: MachineType, zone: str, spot: bool, need: Need, tasks: int
    ) -> None:
        """Add what is left of one machine after so many tasks."""
        free = remaining(
            (machine_type.cpus, machine_type.gpus, machine_type.memory_gb), need, tasks
        )
        if all(amount > 1e-6 for amount in free[::2]):  # every task needs CPUs and memory
            self.remainders.append((machine_type.label, zone, spot, free))

    def tasks_by_zone(self, is_suitable: Any, need: Need) -> dict[str, int]:
        """Return by zone how many such tasks the machines that nothing is reserved on would take.

        Args:
            is_suitable: Called with the label of the machine type, the zone and whether it is a
                spot instance.
            need: What one task needs.
        """
        tasks: dict[str, int] = {}
        for (label, zone, spot), (machine_type, number) in self.whole_machines.items():
            if number and is_suitable(label, zone, spot):
                tasks[zone] = tasks.get(zone, 0) + number * capacity(machine_type, *need)
        return tasks

    def take(self, is_suitable: Any, need: Need, tasks: int) -> int:
        """Reserve capacity for up to so many tasks; return the number of tasks that got some.

        Args:
            is_suitable: As in `tasks_by_zone`.
            need: What one task needs.
            tasks: Number of tasks.
        """
        left = tasks
        for label, zone, spot, free in self.remainders:
            if left <= 0:
                break
            if is_suitable(label, zone, spot) and (taken := min(left, fits(free, need))):
                left -= taken
                free[:] = remaining(free, need, taken)
        for (label, zone, spot), (machine_type, number) in list(self.whole_machines.items()):
            if left <= 0:
                break
            per_machine = (
                capacity(machine_type, *need) if number and is_suitable(label, zone, spot) else 0
            )
            if per_machine <= 0:
                continue
            used = min(number, -(-left // per_machine))
            self.whole_machines[label, zone, spot] = (machine_type, number - used)
            on_last = min(left - (used - 1) * per_machine, per_machine)
            left -= (used - 1) * per_machine + on_last
            self.add_remainder(machine_type, zone, spot, need, on_last)
        return tasks - left
