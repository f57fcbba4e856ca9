"""Choosing machines for tasks. Costs are in seconds of delay, so that unlike things can be weighed."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from ashdock.core.job import Job
from ashdock.core.machine import Machine
from ashdock.wire.messages import Spec


class Choice(NamedTuple):
    cost: float
    machine: Machine
    room: int


def permits(spec: Spec, machine_type: str, zone: str, spot: bool) -> bool:
    """What the job allows of a machine, whatever its other tasks do."""
    if spec.types is not None and machine_type not in spec.types:
        return False
    if spec.zone is not None and zone != spec.zone:
        return False
    return spec.spot or not spot


def fetch_s(spec: Spec, machine: Machine) -> float:
    if spec.image in machine.images:
        return 0.0
    return spec.image_gb / max(machine.shape.fetch_gb_per_s, 1e-3)


def cost(spec: Spec, machine: Machine) -> float:
    """Delay until the task runs there, with packing as the tie-breaker: full machines
    are filled first, so that empty ones can be returned or take gangs."""
    free = machine.gpus / machine.shape.accelerators if machine.shape.accelerators else machine.cpus / machine.shape.cpus
    # Work that may use the cheap kind leaves the dear one to work that may not, or to be returned.
    dear = machine.shape.boot_s / 4 if spec.spot and not machine.spot else 0.0
    return fetch_s(spec, machine) + free * machine.shape.boot_s / 16 + dear


def choices(job: Job, machines: Iterable[Machine], now: float) -> list[Choice]:
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
        if job.avoid.get(machine.name, 0.0) > now:
            price += 1000.0  # only where nothing else is
        out.append(Choice(price, machine, room))
    out.sort(key=lambda choice: (choice.cost, choice.machine.name))
    return out


def zone_cap(spec: Spec) -> int:
    return (spec.tasks + 1) // 2 if spec.spread else spec.tasks


def select(job: Job, machines: Iterable[Machine], want: int, now: float) -> list[Machine]:
    """Machines for up to `want` more tasks of the job, one entry a task; for a gang all or none."""
    options = choices(job, machines, now)
    if not options:
        return []
    spec = job.spec
    used: dict[str, int] = {}
    names = {choice.machine.name: choice.machine for choice in options}
    for placement in job.live.values():
        zone = zone_of(placement.machine, names, machines)
        used[zone] = used.get(zone, 0) + 1
    if spec.one_zone:
        zones = list(used) or sorted({choice.machine.zone for choice in options})
        best: tuple[tuple[float, float], list[Machine]] | None = None
        for zone in zones:
            picked, price = _fill([c for c in options if c.machine.zone == zone], used, want, zone_cap(spec))
            if not picked or (spec.kind == "gang" and len(picked) < want):
                continue
            key = (-float(len(picked)), price)
            if best is None or key < best[0]:
                best = key, picked
        return best[1] if best else []
    picked, _ = _fill(options, used, want, zone_cap(spec))
    if spec.kind == "gang" and len(picked) < want:
        return []
    return picked


def zone_of(name: str, known: dict[str, Machine], machines: Iterable[Machine]) -> str:
    machine = known.get(name) or next((m for m in machines if m.name == name), None)
    return machine.zone if machine else "?"


def _fill(options: list[Choice], used: dict[str, int], want: int, cap: int) -> tuple[list[Machine], float]:
    used = dict(used)
    picked: list[Machine] = []
    worst = 0.0
    for price, machine, room in options:
        take = min(room, want - len(picked), cap - used.get(machine.zone, 0))
        if take <= 0:
            continue
        picked += [machine] * take
        used[machine.zone] = used.get(machine.zone, 0) + take
        worst = max(worst, price)
        if len(picked) >= want:
            break
    return picked, worst
