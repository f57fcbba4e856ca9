"""Choosing machines for tasks. Costs are in seconds of delay, so that unlike things can be weighed."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from ashdock.core.job import Job
from ashdock.core.machine import Machine, capacity, fits, remaining
from ashdock.wire.messages import JobKind, JobSpec, MachineType


class Candidate(NamedTuple):
    cost: float
    machine: Machine
    room: int


def permits(spec: JobSpec, machine_type: str, zone: str, spot: bool) -> bool:
    """What the job allows of a machine, whatever its other tasks do."""
    if spec.machine_types is not None and machine_type not in spec.machine_types:
        return False
    if spec.zone is not None and zone != spec.zone:
        return False
    return spec.spot or not spot


def fetch_s(spec: JobSpec, machine: Machine) -> float:
    if spec.image in machine.images:
        return 0.0
    return image_s(spec, machine.shape)


def image_s(spec: JobSpec, shape: MachineType) -> float:
    """How long its image takes to come."""
    return spec.image_gb / max(shape.fetch_gb_per_s, 1e-3)


def cost(spec: JobSpec, machine: Machine) -> float:
    """Delay until the task runs there, with packing as the tie-breaker: full machines
    are filled first, so that empty ones can be returned or take gangs."""
    free = (
        machine.gpus / machine.shape.gpus
        if machine.shape.gpus
        else machine.cpus / machine.shape.cpus
    )
    # Work that may use the cheap kind leaves the dear one to work that may not, or to be returned.
    dear = machine.shape.boot_s / 4 if spec.spot and not machine.spot else 0.0
    return fetch_s(spec, machine) + free * machine.shape.boot_s / 16 + dear


def choices(job: Job, machines: Iterable[Machine], now: float) -> list[Candidate]:
    spec = job.spec
    out = []
    for machine in machines:
        if not machine.usable or machine.no_room_until > now:
            continue
        if not permits(spec, machine.type, machine.zone, machine.spot):
            continue
        room = machine.fits(spec.cpus, spec.gpus, spec.memory_gb)
        if room <= 0:
            continue
        price = cost(spec, machine)
        if job.avoided_machines.get(machine.name, 0.0) > now:
            price += 1000.0  # only where nothing else is
        out.append(Candidate(price, machine, room))
    out.sort(key=lambda choice: (choice.cost, choice.machine.name))
    return out


def zone_cap(spec: JobSpec) -> int:
    return (spec.tasks + 1) // 2 if spec.spread else spec.tasks


def select(
    job: Job, options: list[Candidate], request: int, zone_of: Callable[[str], str]
) -> list[Machine]:
    """Machines for up to `request` more tasks of the job, one entry a task; for a gang all or none."""
    if not options:
        return []
    spec = job.spec
    used: dict[str, int] = {}
    if spec.one_zone or spec.spread:
        for placement in job.live.values():
            zone = zone_of(placement.machine)
            used[zone] = used.get(zone, 0) + 1
    if spec.one_zone:
        zones = list(used) or sorted({choice.machine.zone for choice in options})
        best: tuple[tuple[float, float], list[Machine]] | None = None
        for zone in zones:
            picked, price = _fill(
                [c for c in options if c.machine.zone == zone], used, request, zone_cap(spec)
            )
            if not picked or (spec.kind == JobKind.GANG and len(picked) < request):
                continue
            key = (-float(len(picked)), price)
            if best is None or key < best[0]:
                best = key, picked
        return best[1] if best else []
    picked, _ = _fill(options, used, request, zone_cap(spec))
    if spec.kind == JobKind.GANG and len(picked) < request:
        return []
    return picked


def _fill(
    options: list[Candidate], used: dict[str, int], request: int, cap: int
) -> tuple[list[Machine], float]:
    used = dict(used)
    picked: list[Machine] = []
    worst = 0.0
    for price, machine, room in options:
        take = min(room, request - len(picked), cap - used.get(machine.zone, 0))
        if take <= 0:
            continue
        picked += [machine] * take
        used[machine.zone] = used.get(machine.zone, 0) + take
        worst = max(worst, price)
        if len(picked) >= request:
            break
    return picked, worst


Need = tuple[float, float, float]  # CPUs, GPUs, memory


class InfeasibleCache:
    """Needs for which one pass has found no room. Room only shrinks within a pass, so whatever asks for at
    least as much under the same conditions need not be tried: without this, each waiting job looked at each
    machine in each pass."""

    def __init__(self) -> None:
        self.found: dict[Any, list[tuple[Need, int]]] = {}

    def note(self, conditions: Any, need: Need, tasks: int) -> None:
        self.found.setdefault(conditions, []).append((need, tasks))

    def holds(self, conditions: Any, need: Need, tasks: int) -> bool:
        return any(
            tasks >= many and need[0] >= less_[0] and need[1] >= less_[1] and need[2] >= less_[2]
            for less_, many in self.found.get(conditions, ())
        )


class PendingCapacity:
    """Room to come: whole machines counted by type, zone and kind, and the rests of those already spoken for."""

    def __init__(self) -> None:
        self.whole: dict[tuple[str, str, bool], tuple[MachineType, int]] = {}
        self.rests: list[tuple[str, str, bool, list[float]]] = []

    def add(self, shape: MachineType, zone: str, spot: bool, number: int = 1) -> None:
        key = (shape.label, zone, spot)
        self.whole[key] = (shape, self.whole.get(key, (shape, 0))[1] + number)

    def add_rest(self, shape: MachineType, zone: str, spot: bool, need: Need, tasks: int) -> None:
        """What is left of a machine once it has so many tasks."""
        free = remaining((shape.cpus, shape.gpus, shape.memory_gb), need, tasks)
        if all(amount > 1e-6 for amount in free[::2]):  # CPUs and memory: nothing runs without
            self.rests.append((shape.label, zone, spot, free))

    def zones(self, suits: Any, need: Need) -> dict[str, int]:
        """How many such tasks the whole machines of each zone would take."""
        out: dict[str, int] = {}
        for (label, zone, spot), (shape, number) in self.whole.items():
            if number and suits(label, zone, spot):
                out[zone] = out.get(zone, 0) + number * capacity(shape, *need)
        return out

    def take(self, suits: Any, need: Need, tasks: int) -> int:
        """Speak for room for up to so many tasks; the number that found some."""
        left = tasks
        for label, zone, spot, free in self.rests:
            if left <= 0:
                break
            if suits(label, zone, spot) and (taken := min(left, fits(free, need))):
                left -= taken
                free[:] = remaining(free, need, taken)
        for (label, zone, spot), (shape, number) in list(self.whole.items()):
            if left <= 0:
                break
            per = capacity(shape, *need) if number and suits(label, zone, spot) else 0
            if per <= 0:
                continue
            used = min(number, -(-left // per))
            self.whole[label, zone, spot] = (shape, number - used)
            last = min(left - (used - 1) * per, per)
            left -= (used - 1) * per + last
            self.add_rest(shape, zone, spot, need, last)
        return tasks - left
