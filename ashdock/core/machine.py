"""A machine in the memory of its shard's owner: its phase, free capacity and placements."""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum
from typing import Any

import msgspec

from ashdock.core.outstanding_runs import OutstandingRuns
from ashdock.core.task import Placement
from ashdock.wire.messages import MachineType

# In a machine's record, which is kept small; they tell its next owner what its cache holds.
MAX_STORED_IMAGES = 12
# Multiple of the usual boot time after which work does not wait for the machine any longer.
BOOT_PATIENCE = 1.6
ROUNDING_ERROR = 1e-6  # bound of the error of sums of floats
UNBOUNDED_COUNT = 1 << 30  # how often a request for nothing fits


class MachinePhase(Enum):
    """Phase of a machine, as its shard's owner sees it."""

    EXPECTED = "expected"  # scaled out, but this owner has received no heartbeat
    UP = "up"
    LEAVING = "leaving"  # cordoned: reclaimed, suspect, or to be transferred
    DECOMMISSIONED = "doomed"  # to be released by the leader, once this is durable


class Machine:
    """A machine that is assigned to this owner's shard. Times are in seconds since the epoch.

    Attributes:
        name: Its name.
        type: Label of its machine type.
        zone: Its zone.
        spot: Whether it is a spot instance.
        address: Its worker's address; "" if not known yet.
        rented_at: When it was scaled out, or when it was found if that is not known.
        rented_at_known: Whether `rented_at` is when it was scaled out.
        revision: Revision of its record.
        machine_type: Its machine type.
        phase: Its phase.
        leaving_reason: Why it is leaving or decommissioned.
        decommission_generation: 1 until its decommissioning is durable, else 0.
        live: The placements that count here.
        version: Rises with every change of `live`.
        cpus: Free CPUs.
        gpus: Free GPUs.
        memory_gb: Free memory in GB.
        known_since: When this owner learnt of it.
        last_heartbeat_at: When its last heartbeat was received.
        incarnation: Incarnation of its worker.
        sequence: Sequence number of its last heartbeat.
        fencing_token: The token that its worker last reported.
        idle_since: Since when it has no placement; None if it has one.
        images: Sizes in GB of the images that its cache holds, as far as known, the most recently
            used last.
        ended_attempts: Attempts that the last heartbeat reported as ended.
        orphaned_tasks: Tasks that run here without a placement, with their attempt.
        reported_count: Number of tasks in the last heartbeat.
        reclaim_at: When the cloud reclaims the spot instance; None without a notice.
        no_room_until: Until when nothing is placed here, because it had less room than expected.
        failed_jobs: Jobs that failed here, with the time of the last failure.
        sending_commands: Whether direct commands are in flight.
        outstanding_runs: Run commands that were sent directly and may still arrive, or again.
        raised_token: The fencing token that it was raised to without a write of its record; 0: it
            was not.
        raise_token: Whether its record has to be written if its fencing token must rise.
        transfer_condition: Revision of its record on which its last transfer that may have been
            sent is conditional; None without one.
        inherited: Whether it was up under the previous owner, and this one has received no
            heartbeat.
        target_shard: The shard to which it is transferred once empty; "" leaves it unassigned, None
            keeps it here.
    """

    def __init__(
        self, name: str, value: dict[str, Any], revision: int, machine_type: MachineType, now: float
    ) -> None:
        """Create it from its record, which was read at that revision."""
        self.name = name
        self.type = value["t"]
        self.zone = value["z"]
        self.spot = bool(value["s"])
        self.address: str = value.get("a", "")
        self.rented_at: float = value.get("at", now)
        self.rented_at_known = bool(value.get("r"))
        self.revision = revision
        self.machine_type = machine_type
        self.phase = MachinePhase.DECOMMISSIONED if value.get("x") else MachinePhase.EXPECTED
        self.leaving_reason = value.get("x", "")
        self.decommission_generation = 0
        self.live: dict[tuple[str, int], Placement] = {}
        self.version = 0
        self.cpus = machine_type.cpus
        self.gpus = machine_type.gpus
        self.memory_gb = machine_type.memory_gb
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
        self.outstanding_runs = OutstandingRuns()
        self.raised_token = 0
        self.raise_token = False
        self.transfer_condition: int | None = None
        if value.get("n") and value.get("a") and self.phase is MachinePhase.EXPECTED:
            # It was up when it was assigned; if it is down now, its silence will show that.
            self.phase = MachinePhase.UP
            self.incarnation = value["n"]
            self.last_heartbeat_at = now
        self.inherited = False
        self.target_shard: str | None = None

    def record(self, shard: str) -> dict[str, Any]:
        """Return its record, with `shard` as the shard that it is assigned to."""
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
        images = list(reversed(self.images))[:MAX_STORED_IMAGES]
        value["i"] = [[image, self.images[image]] for image in images]
        if self.incarnation:
            # Lets the next owner send commands to the worker before its first heartbeat.
            value["n"] = self.incarnation
        if self.phase is MachinePhase.DECOMMISSIONED:
            value["x"] = self.leaving_reason
        return value

    # -- changes of state --------------------------------------------------------------------

    def mark_up(self, address: str) -> None:
        """Record that its worker, at that address, has sent a heartbeat."""
        self.address = address
        if self.phase is MachinePhase.EXPECTED:
            self.phase = MachinePhase.UP

    def cordon(self, reason: str) -> None:
        """Place no more tasks on it, for a reason that is kept in `leaving_reason`."""
        if self.phase in (MachinePhase.UP, MachinePhase.EXPECTED):
            self.phase = MachinePhase.LEAVING
            self.leaving_reason = reason

    def decommission(self, reason: str) -> None:
        """Mark it as to be released; that is durable with the next write of its record."""
        if self.phase is not MachinePhase.DECOMMISSIONED:
            self.phase = MachinePhase.DECOMMISSIONED
            self.leaving_reason = reason

    def image_used(self, image: str, size_gb: float) -> None:
        """Record that a task here uses an image.

        Once the cache is full, the least recently used images are assumed to be evicted. Otherwise
        gangs would be placed on machines that have to fetch the image after all.
        """
        known = self.images.pop(image, None)
        self.images[image] = size_gb
        if known is None:
            excess_gb = sum(self.images.values()) - self.machine_type.cache_gb
            for other in list(self.images)[:-1]:
                if excess_gb <= 0:
                    break
                excess_gb -= self.images.pop(other)

    def image_missing(self, image: str) -> None:
        """Record that the cache does not hold the image, since it is being fetched."""
        self.images.pop(image, None)

    # -- capacity ----------------------------------------------------------------------------

    def allocate(self, placement: Placement, cpus: float, gpus: float, memory_gb: float) -> None:
        """Add a placement, and subtract its request from the free capacity."""
        self.live[placement.key] = placement
        self.version += 1
        self.cpus -= cpus
        self.gpus -= gpus
        self.memory_gb -= memory_gb
        self.idle_since = None

    def deallocate(
        self, placement: Placement, cpus: float, gpus: float, memory_gb: float, now: float
    ) -> None:
        """Remove a placement, and add its request to the free capacity."""
        if self.live.pop(placement.key, None) is not None:
            self.version += 1
            self.cpus += cpus
            self.gpus += gpus
            self.memory_gb += memory_gb
        if not self.live:
            self.idle_since = now

    def fits(self, cpus: float, gpus: float, memory_gb: float) -> int:
        """Return how many tasks with such a request fit into the free capacity."""
        return fits((self.cpus, self.gpus, self.memory_gb), (cpus, gpus, memory_gb))

    @property
    def usable(self) -> bool:
        """Whether tasks may be placed here."""
        return self.phase is MachinePhase.UP and self.reclaim_at is None

    def is_booting(self, now: float) -> bool:
        """Whether work may wait for it to boot; not if that takes far longer than usual."""
        boot_s = self.machine_type.boot_s
        started_at = max(self.rented_at, self.known_since - boot_s)
        return self.phase is MachinePhase.EXPECTED and now - started_at < BOOT_PATIENCE * boot_s

    @property
    def empty(self) -> bool:
        """Whether it has no placements, and its worker reports no tasks."""
        return (
            not self.live
            and not self.orphaned_tasks
            and not self.ended_attempts
            and self.reported_count == 0
        )

    @property
    def transfer_may_apply(self) -> bool:
        """Whether a transfer may have been, or may still be, applied in the store."""
        return self.transfer_condition == self.revision

    def must_raise_token(self, token: int) -> bool:
        """Whether the worker has to be given a higher token than this one.

        Under this one it would carry out a run command that was not answered, or one that comes
        again for an ended attempt that it has forgotten.
        """
        return self.outstanding_runs.accepted_under(token) or any(
            self.outstanding_runs.may_restart(attempt, token) for attempt in self.ended_attempts
        )

    def silence_s(self, now: float) -> float:
        """Return the seconds since its last heartbeat, or since this owner learnt of it."""
        return now - (
            self.last_heartbeat_at if self.last_heartbeat_at is not None else self.known_since
        )


def fit_machine_record(record: dict[str, Any], max_bytes: int) -> dict[str, Any]:
    """Return a machine's record, shortened to `max_bytes` by its least recently used images.

    Without any images it may still be longer.
    """
    images = list(record.get("i", ()))
    while images and len(msgspec.json.encode({**record, "i": images})) > max_bytes:
        images.pop()
    return {**record, "i": images} if len(images) < len(record.get("i", ())) else record


def stored_images(record: dict[str, Any]) -> list[tuple[str, float]]:
    """Return images and their sizes in GB from a machine's record, the most recently used first.

    A size is 0 if an earlier version wrote the record, with the names only.
    """
    return [
        (item, 0.0) if isinstance(item, str) else (item[0], item[1]) for item in record.get("i", ())
    ]


def fits(free: Sequence[float], need: Sequence[float]) -> int:
    """Return how often a request fits; `free` and `need` are CPUs, GPUs and memory."""
    count = UNBOUNDED_COUNT
    for wanted, available in ((need[0], free[0]), (need[1], free[1]), (need[2], free[2])):
        if wanted > 0:
            times = int((available + ROUNDING_ERROR) / wanted)
            if times <= 0:
                return 0
            if times < count:
                count = times
    return count


def remaining(free: Sequence[float], need: Sequence[float], times: int) -> list[float]:
    """Return the CPUs, GPUs and memory that are left after a request was placed `times` over."""
    return [free[0] - need[0] * times, free[1] - need[1] * times, free[2] - need[2] * times]


def capacity(machine_type: MachineType, cpus: float, gpus: float, memory_gb: float) -> int:
    """Return how many tasks with such a request an empty machine of that type takes."""
    return fits(
        (machine_type.cpus, machine_type.gpus, machine_type.memory_gb), (cpus, gpus, memory_gb)
    )
