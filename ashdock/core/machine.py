"""A machine as its shard's owner knows it: its phase, its free capacity and what runs on it."""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum
from typing import Any

import msgspec

from ashdock.core.task import Placement
from ashdock.wire.messages import MachineType

IMAGES_STORED = 12  # of a machine's record: what its next owner is told of the cache, kept small
BOOT_PATIENCE = (
    1.6  # times the usual boot time: work does not wait for a machine that is later than that
)
ROUNDING = 1e-6  # what sums of floats may be off by
UNBOUNDED = 1 << 30  # how often a need of nothing fits


class MachinePhase(Enum):
    """Where a machine stands with its shard's owner."""

    EXPECTED = "expected"  # scaled out; no heartbeat has reached this owner
    UP = "up"
    LEAVING = "leaving"  # no new tasks: reclaimed, suspect, or wanted elsewhere
    DECOMMISSIONED = "doomed"  # durably given up: the leader releases it


class Machine:
    """A machine that is assigned to this owner's shard. Times are in seconds.

    Attributes:
        name: Its name.
        type: Label of its machine type.
        zone: Its zone.
        spot: Whether it is a spot instance.
        address: Its agent's address; "" if not known yet.
        rented_at: When it was scaled out, or found.
        rented_at_known: Whether `rented_at` is when it was scaled out.
        revision: Revision of its record.
        shape: Its machine type.
        phase: Where it stands.
        why: Why it is leaving or decommissioned.
        decommission_generation: 1 until the decommission is durable, else 0.
        live: The placements that count here.
        version: Rises with every change of `live`.
        cpus: Free cores.
        gpus: Free accelerators.
        memory_gb: Free memory, in GB.
        known_since: When this owner learnt of it.
        last_heartbeat_at: Time of its last heartbeat.
        incarnation: Its agent's incarnation.
        sequence: Sequence of its last heartbeat.
        fencing_token: The token that its agent last reported.
        idle_since: Since when nothing is placed here.
        images: Size in GB of what its image cache holds, as far as is known, the last used last.
        ended_attempts: Attempts that were reported as ended and are not forgotten yet.
        orphaned_tasks: Tasks that run here without a placement, with their attempt.
        reported_count: Number of tasks in the last heartbeat.
        reclaim_at: When the cloud takes the spot instance back.
        no_room_until: Until when nothing is placed here, because it had less room than expected.
        failed_jobs: Jobs with the time when they last failed here.
        sending_commands: Whether direct commands are on their way.
        outstanding_runs: Run commands that were sent directly and not answered, with the fencing token. They may
            arrive minutes late, and are harmless only once the worker has a higher token or is of another
            incarnation.
        raise_token: Whether its fencing token has to rise, because a direct run command was not answered.
        inherited: Whether it was up for the owner before, and no heartbeat has reached this one.
        target_shard: The shard that gets it once it is empty; "" leaves it unassigned.
    """

    def __init__(
        self, name: str, value: dict[str, Any], revision: int, shape: MachineType, now: float
    ) -> None:
        """Take it from its record, read at that revision."""
        self.name = name
        self.type = value["t"]
        self.zone = value["z"]
        self.spot = bool(value["s"])
        self.address: str = value.get("a", "")
        self.rented_at: float = value.get("at", now)
        self.rented_at_known = bool(value.get("r"))
        self.revision = revision
        self.shape = shape
        self.phase = MachinePhase.DECOMMISSIONED if value.get("x") else MachinePhase.EXPECTED
        self.why = value.get("x", "")
        self.decommission_generation = 0
        self.live: dict[tuple[str, int], Placement] = {}
        self.version = 0
        self.cpus = shape.cpus
        self.gpus = shape.gpus
        self.memory_gb = shape.memory_gb
        self.known_since = now
        self.last_heartbeat_at: float | None = None
        self.incarnation = 0
        self.sequence = 0
        self.fencing_token = 0
        self.idle_since: float | None = now
        self.images: dict[str, float] = {}
        for image, size in reversed(stored_images(value)):
            self.images[image] = size
        self.ended_attempts: set[tuple[str, int, int]] = set()
        self.orphaned_tasks: dict[tuple[str, int], int] = {}
        self.reported_count = 0
        self.reclaim_at: float | None = None
        self.no_room_until = 0.0
        self.failed_jobs: dict[str, float] = {}
        self.sending_commands = False
        self.outstanding_runs: dict[tuple[str, int, int], int] = {}
        self.raise_token = False
        if value.get("n") and value.get("a") and self.phase is MachinePhase.EXPECTED:
            # It was up when it was assigned. If it is not any more, its silence shows it.
            self.phase = MachinePhase.UP
            self.incarnation = value["n"]
            self.last_heartbeat_at = now
        self.inherited = False
        self.target_shard: str | None = None

    def record(self, shard: str) -> dict[str, Any]:
        """Its record, assigned to `shard`."""
        value: dict[str, Any] = {
            "t": self.type,
            "z": self.zone,
            "s": self.spot,
            "a": self.address,
            "p": shard,
        }
        value["at"] = round(self.rented_at, 3)
        if self.rented_at_known:
            value["r"] = 1
        images = list(reversed(self.images))[:IMAGES_STORED]
        value["i"] = [[image, self.images[image]] for image in images]
        if self.incarnation:
            # With it the next owner can command the worker before its first heartbeat.
            value["n"] = self.incarnation
        if self.phase is MachinePhase.DECOMMISSIONED:
            value["x"] = self.why
        return value

    # -- changes of state --------------------------------------------------------------------

    def mark_up(self, address: str) -> None:
        """A heartbeat came, from an agent at that address."""
        self.address = address
        if self.phase is MachinePhase.EXPECTED:
            self.phase = MachinePhase.UP

    def cordon(self, why: str) -> None:
        """It takes no new tasks from here on."""
        if self.phase in (MachinePhase.UP, MachinePhase.EXPECTED):
            self.phase = MachinePhase.LEAVING
            self.why = why

    def decommission(self, why: str) -> None:
        """It is to be given up; durable with the next write of its record."""
        if self.phase is not MachinePhase.DECOMMISSIONED:
            self.phase = MachinePhase.DECOMMISSIONED
            self.why = why

    def image_used(self, image: str, size: float) -> None:
        """A task here has its image, of that size in GB.

        The least recently used images are taken to be gone once the cache is full: otherwise gangs would be
        placed on machines that have to fetch the image after all.
        """
        known = self.images.pop(image, None)
        self.images[image] = size
        if known is None:
            over = sum(self.images.values()) - self.shape.cache_gb
            for other in list(self.images)[:-1]:
                if over <= 0:
                    break
                over -= self.images.pop(other)

    def image_missing(self, image: str) -> None:
        """The image is being fetched, so it was not there."""
        self.images.pop(image, None)

    # -- room --------------------------------------------------------------------------------

    def allocate(self, placement: Placement, cpus: float, gpus: float, memory: float) -> None:
        """Place a task that needs so much."""
        self.live[placement.key] = placement
        self.version += 1
        self.cpus -= cpus
        self.gpus -= gpus
        self.memory_gb -= memory
        self.idle_since = None

    def deallocate(
        self, placement: Placement, cpus: float, gpus: float, memory: float, now: float
    ) -> None:
        """Remove a placement, and free what it took."""
        if self.live.pop(placement.key, None) is not None:
            self.version += 1
            self.cpus += cpus
            self.gpus += gpus
            self.memory_gb += memory
        if not self.live:
            self.idle_since = now

    def fits(self, cpus: float, gpus: float, memory: float) -> int:
        """How many such tasks the free capacity takes."""
        return fits((self.cpus, self.gpus, self.memory_gb), (cpus, gpus, memory))

    @property
    def usable(self) -> bool:
        """Whether tasks may be placed here."""
        return self.phase is MachinePhase.UP and self.reclaim_at is None

    def is_booting(self, now: float) -> bool:
        """Whether work may wait for it to boot; not if it is far later than usual."""
        boot_s = self.shape.boot_s
        started_at = max(self.rented_at, self.known_since - boot_s)
        return self.phase is MachinePhase.EXPECTED and now - started_at < BOOT_PATIENCE * boot_s

    @property
    def empty(self) -> bool:
        """No placement counts here, and no report of a task is left to be settled."""
        return (
            not self.live
            and not self.orphaned_tasks
            and not self.ended_attempts
            and self.reported_count == 0
        )

    def silence_s(self, now: float) -> float:
        """Seconds since its last heartbeat, or since this owner learnt of it."""
        return now - (
            self.last_heartbeat_at if self.last_heartbeat_at is not None else self.known_since
        )


def fit_machine_record(value: dict[str, Any], most: int) -> dict[str, Any]:
    """A machine's record, without the least recently used images that would make it longer than `most` bytes."""
    images = list(value.get("i", ()))
    while images and len(msgspec.json.encode({**value, "i": images})) > most:
        images.pop()
    return {**value, "i": images} if len(images) < len(value.get("i", ())) else value


def stored_images(value: dict[str, Any]) -> list[tuple[str, float]]:
    """Images and their sizes in GB from a machine's record, the last used first; 0 where an earlier version wrote only the names."""
    return [
        (item, 0.0) if isinstance(item, str) else (item[0], item[1]) for item in value.get("i", ())
    ]


def fits(free: Sequence[float], need: Sequence[float]) -> int:
    """How many times a need goes into what is free; both are CPUs, GPUs and memory."""
    count = UNBOUNDED
    for wanted, available in ((need[0], free[0]), (need[1], free[1]), (need[2], free[2])):
        if wanted > 0:
            times = int((available + ROUNDING) / wanted)
            if times <= 0:
                return 0
            if times < count:
                count = times
    return count


def remaining(free: Sequence[float], need: Sequence[float], times: int) -> list[float]:
    """What is left of the free CPUs, GPUs and memory after so many times the need."""
    return [free[0] - need[0] * times, free[1] - need[1] * times, free[2] - need[2] * times]


def capacity(shape: MachineType, cpus: float, gpus: float, memory: float) -> int:
    """How many such tasks an empty machine of that type takes."""
    return fits((shape.cpus, shape.gpus, shape.memory_gb), (cpus, gpus, memory))
