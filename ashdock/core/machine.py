"""A machine as its shard's owner knows it."""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum
from typing import Any

import msgspec

from ashdock.core.task import Placement
from ashdock.wire.messages import MachineType


class MachinePhase(Enum):
    EXPECTED = "expected"  # rented, has not reported to us
    UP = "up"
    LEAVING = "leaving"  # no new tasks: reclaimed, suspect, or wanted elsewhere
    DECOMMISSIONED = "doomed"  # durably given up: the leader releases it


class Machine:
    def __init__(
        self, name: str, value: dict[str, Any], revision: int, shape: MachineType, now: float
    ) -> None:
        self.name = name
        self.type = value["t"]
        self.zone = value["z"]
        self.spot = bool(value["s"])
        self.address: str = value.get("a", "")
        self.rented_at: float = value.get("at", now)
        self.dated = bool(
            value.get("r")
        )  # whether that is when it was rented, and not when it was found
        self.revision = revision
        self.shape = shape
        self.phase = MachinePhase.DECOMMISSIONED if value.get("x") else MachinePhase.EXPECTED
        self.why = value.get("x", "")
        self.decommission_generation = 0
        self.live: dict[tuple[str, int], Placement] = {}
        self.version = 0  # of what is placed here
        self.cpus = shape.cpus
        self.gpus = shape.gpus
        self.memory = shape.memory_gb
        self.since = now
        self.last_at: float | None = None
        self.incarnation = 0
        self.sequence = 0
        self.fencing_token = 0
        self.idle_since: float | None = now
        self.images: dict[
            str, float
        ] = {}  # what its cache holds, as far as we can tell, the last used last: size
        for image, size in reversed(images_of(value)):
            self.images[image] = size
        self.ended: set[tuple[str, int, int]] = set()  # reported as ended and not yet forgotten
        self.orphaned_tasks: dict[
            tuple[str, int], int
        ] = {}  # running here without a placement: attempt
        self.reported = 0  # tasks in the last report
        self.reclaim_at: float | None = None
        self.no_room_until = 0.0
        self.failed: dict[str, float] = {}  # job: when it last failed here
        self.sending = False  # a direct order is on its way
        # Starts sent directly and not answered may still arrive, even minutes late. They are harmless
        # only once the worker's token is above the one noted here, or its session is over.
        self.outstanding: dict[tuple[str, int, int], int] = {}
        self.bump = False  # its token must rise: a direct start was not answered
        if value.get("n") and value.get("a") and self.phase is MachinePhase.EXPECTED:
            # Lent to us while up. If that is no longer so, its silence shows it.
            self.phase = MachinePhase.UP
            self.incarnation = value["n"]
            self.last_at = now
        self.inherited = False  # it was up for the owner before, and has not reported to us
        self.to: str | None = None  # asked to go to this shard ("" the pool) once empty

    def value(self, shard: str) -> dict[str, Any]:
        value: dict[str, Any] = {
            "t": self.type,
            "z": self.zone,
            "s": self.spot,
            "a": self.address,
            "p": shard,
        }
        value["at"] = round(self.rented_at, 3)
        if self.dated:
            value["r"] = 1
        # The next part's owner is told which images it need not wait for.
        value["i"] = [[image, self.images[image]] for image in list(reversed(self.images))[:12]]
        if self.incarnation:
            value["n"] = self.incarnation  # and can give orders before the worker has found it
        if self.phase is MachinePhase.DECOMMISSIONED:
            value["x"] = self.why
        return value

    # -- changes of state --------------------------------------------------------------------

    def came_up(self, address: str) -> None:
        self.address = address
        if self.phase is MachinePhase.EXPECTED:
            self.phase = MachinePhase.UP

    def leave(self, why: str) -> None:
        if self.phase in (MachinePhase.UP, MachinePhase.EXPECTED):
            self.phase = MachinePhase.LEAVING
            self.why = why

    def decommission(self, why: str) -> None:
        if self.phase is not MachinePhase.DECOMMISSIONED:
            self.phase = MachinePhase.DECOMMISSIONED
            self.why = why

    def uses(self, image: str, size: float) -> None:
        """A task here holds it. The least recently used are taken to be gone once the cache is full: believing that
        all ever seen were still there, gangs were sent to machines that had to fetch after all."""
        known = self.images.pop(image, None)
        self.images[image] = size
        if known is None:
            over = sum(self.images.values()) - self.shape.cache_gb
            for other in list(self.images)[:-1]:
                if over <= 0:
                    break
                over -= self.images.pop(other)

    def lacks(self, image: str) -> None:
        """It is being fetched."""
        self.images.pop(image, None)

    # -- room --------------------------------------------------------------------------------

    def take(self, placement: Placement, cpus: float, gpus: float, memory: float) -> None:
        self.live[placement.key] = placement
        self.version += 1
        self.cpus -= cpus
        self.gpus -= gpus
        self.memory -= memory
        self.idle_since = None

    def give_back(
        self, placement: Placement, cpus: float, gpus: float, memory: float, now: float
    ) -> None:
        if self.live.pop(placement.key, None) is not None:
            self.version += 1
            self.cpus += cpus
            self.gpus += gpus
            self.memory += memory
        if not self.live:
            self.idle_since = now

    def fits(self, cpus: float, gpus: float, memory: float) -> int:
        """How many such tasks the free room takes."""
        return fits((self.cpus, self.gpus, self.memory), (cpus, gpus, memory))

    @property
    def usable(self) -> bool:
        return self.phase is MachinePhase.UP and self.reclaim_at is None

    def coming(self, now: float) -> bool:
        """Whether work may wait for it to boot. One that is late beyond the usual is not waited for."""
        return (
            self.phase is MachinePhase.EXPECTED
            and now - max(self.rented_at, self.since - self.shape.boot_s) < 1.6 * self.shape.boot_s
        )

    @property
    def empty(self) -> bool:
        """Nothing counts here, and nothing is left that its owner would still have to settle."""
        return not self.live and not self.orphaned_tasks and not self.ended and self.reported == 0

    def silent_for(self, now: float) -> float:
        return now - (self.last_at if self.last_at is not None else self.since)


def trimmed(value: dict[str, Any], most: int) -> dict[str, Any]:
    """A machine's record with no more images than let it fit, the last used first."""
    images = list(value.get("i", ()))
    while images and len(msgspec.json.encode({**value, "i": images})) > most:
        images.pop()
    return {**value, "i": images} if len(images) < len(value.get("i", ())) else value


def images_of(value: dict[str, Any]) -> list[tuple[str, float]]:
    """From a machine's record, the last used first; versions before wrote only the names."""
    return [
        (item, 0.0) if isinstance(item, str) else (item[0], item[1]) for item in value.get("i", ())
    ]


def fits(free: Sequence[float], need: Sequence[float]) -> int:
    """How many times a need (of CPUs, GPUs and memory) goes into what is free."""
    most = 1 << 30
    for wanted, there in ((need[0], free[0]), (need[1], free[1]), (need[2], free[2])):
        if wanted > 0:
            times = int((there + 1e-6) / wanted)
            if times <= 0:
                return 0
            if times < most:
                most = times
    return most


def less(free: Sequence[float], need: Sequence[float], times: int) -> list[float]:
    """What is left of it after so many."""
    return [free[0] - need[0] * times, free[1] - need[1] * times, free[2] - need[2] * times]


def capacity(shape: MachineType, cpus: float, gpus: float, memory: float) -> int:
    """How many such tasks a whole empty machine takes."""
    return fits((shape.cpus, shape.gpus, shape.memory_gb), (cpus, gpus, memory))
