"""Messages exchanged with users, workers and the cloud, and the values that they contain.

This module maps the names of the protocol to those of the code, with `field(name=...)` or as the
value of an enum. Decoded messages have the names of the code, encoded ones those of the protocol.
"""

from __future__ import annotations

from enum import IntEnum, StrEnum
from typing import Annotated, Any, Literal

import msgspec
from msgspec import UNSET, Meta, Struct, UnsetType, field

NonNegativeInt = Annotated[int, Meta(ge=0)]
Quantity = Annotated[float, Meta(ge=0, le=1e9)]
NonEmptyText = Annotated[str, Meta(min_length=1, max_length=200)]
JobId = Annotated[str, Meta(pattern=r"^req-[0-9A-Za-z_.-]{1,100}\Z")]

MAX_TASK_DIGITS = 6  # decimal digits of a task number


class JobKind(StrEnum):
    """How the tasks of a job relate to each other; stored in `spec.kind`."""

    ARRAY = "array"  # tasks are independent
    GANG = "gang"  # either all tasks run at the same time, or none
    SERVICE = "service"  # tasks run until the job is cancelled


class JobPriority(IntEnum):
    """Priority of a job; higher values go first; stored in `spec.priority`."""

    BEST_EFFORT = 0
    STANDARD = 1
    HIGH = 2
    CRITICAL = 3


class JobStatus(StrEnum):
    """Status of a job as reported to users; all but `RUNNING` are stored in the job's record."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    WITHDRAWN = "withdrawn"


class TaskStatus(StrEnum):
    """Statuses of a task on its worker that controllers distinguish."""

    PULLING = "pulling"  # the worker fetches the image
    RUNNING = "running"
    ENDED = "ended"


class TaskCause(StrEnum):
    """Reasons for the end of a task that controllers distinguish."""

    DONE = "done"
    ERROR = "error"  # the task itself failed
    NO_SUCH = "no_such"  # the image does not exist
    NO_ROOM = "no_room"  # the machine has less free capacity than the shard's owner assumed


class CommandVerb(StrEnum):
    """Command to a worker about one attempt of a task."""

    RUN = "run"
    KILL = "kill"
    FORGET = "forget"  # stop reporting an attempt that has ended


KIND_OF_SHAPE = {"sweep": JobKind.ARRAY, "ensemble": JobKind.GANG, "daemon": JobKind.SERVICE}
PRIORITY_OF_URGENCY = {
    "critical": JobPriority.CRITICAL,
    "high": JobPriority.HIGH,
    "standard": JobPriority.STANDARD,
    "best_effort": JobPriority.BEST_EFFORT,
}


class MalformedMessageError(Exception):
    """A body is not a valid message; the text says what is wrong and where."""


# -- users ---------------------------------------------------------------------------------------


class JobSubmission(Struct):
    """A job as submitted by a user (`POST /v2/runs`)."""

    id: JobId
    job_class: NonEmptyText = field(name="workload")
    team: NonEmptyText = field(name="owner")
    kind: Literal["sweep", "ensemble", "daemon"] = field(name="shape")
    priority: Literal["critical", "high", "standard", "best_effort"] = field(name="urgency")
    tasks: Annotated[int, Meta(ge=1, le=100_000)] = field(name="shares")
    cpus: Quantity
    gpus: Quantity = field(name="accelerators")
    memory_gb: Quantity = field(name="ram_gb")
    image: NonEmptyText = field(name="bundle")
    image_gb: Quantity = field(name="size_gb")
    one_zone: bool = field(name="same_place")
    spread: bool
    spot: bool = field(name="loaners")
    estimate_s: Quantity = field(name="expect_s")
    checkpoint_s: Quantity = field(name="snapshot_s")
    save_s: Quantity = field(name="flush_s")
    machine_types: list[NonEmptyText] | None = field(default=None, name="hulls")
    zone: NonEmptyText | None = field(default=None, name="yard")
    deadline_s: Quantity | None = field(default=None, name="due_s")
    dependencies: list[JobId] | None = field(default=None, name="awaits")


class JobSpec(Struct):
    """A job as stored in the `spec` field of its record."""

    id: str
    job_class: str
    team: str
    kind: str
    priority: int
    tasks: int
    cpus: float
    gpus: float
    memory_gb: float
    image: str
    image_gb: float
    one_zone: bool
    spread: bool
    spot: bool
    estimate_s: float
    checkpoint_s: float
    save_s: float
    machine_types: list[str] | None = field(default=None, name="types")
    zone: str | None = None
    deadline_s: float | None = None
    # Ids of the jobs that must be done first. Omitted if there are none, as in records of earlier
    # versions, which do not have the field.
    dependencies: list[str] | UnsetType = field(default=UNSET, name="needs")


def job_spec_of(submission: JobSubmission) -> JobSpec:
    """Return the spec of a submitted job."""
    dependencies = submission.dependencies
    return JobSpec(
        id=submission.id,
        job_class=submission.job_class,
        team=submission.team,
        kind=KIND_OF_SHAPE[submission.kind],
        priority=PRIORITY_OF_URGENCY[submission.priority],
        tasks=submission.tasks,
        cpus=submission.cpus,
        gpus=submission.gpus,
        memory_gb=submission.memory_gb,
        image=submission.image,
        image_gb=submission.image_gb,
        one_zone=submission.one_zone,
        spread=submission.spread,
        spot=submission.spot,
        estimate_s=submission.estimate_s,
        checkpoint_s=submission.checkpoint_s,
        save_s=submission.save_s,
        machine_types=submission.machine_types,
        zone=submission.zone,
        deadline_s=submission.deadline_s,
        dependencies=list(dict.fromkeys(dependencies)) if dependencies else UNSET,
    )


# -- workers -------------------------------------------------------------------------------------


class TaskReport(Struct):
    """Status of one attempt of a task, as reported by its worker."""

    task: str = field(name="share")
    attempt: NonNegativeInt = field(name="try")
    status: str
    cause: str | None = None
    saved: bool = field(default=False, name="kept")


class Heartbeat(Struct):
    """Heartbeat of a worker with the status of its tasks (`POST /checkin`)."""

    machine: NonEmptyText = field(name="berth")
    address: str
    machine_type: str = field(name="hull")
    zone: str = field(name="yard")
    incarnation: NonNegativeInt = field(name="tenure")
    sequence: NonNegativeInt = field(name="tally")
    fencing_token: NonNegativeInt = field(name="warrant")
    spot: bool = field(default=False, name="loaners")
    reclaim_in_s: float | None = field(default=None, name="recall_s")
    tasks: list[TaskReport] = field(default_factory=list, name="shares")


class TaskCommand(Struct, omit_defaults=True):
    """Command to a worker about one attempt of a task, with a `CommandVerb` as its verb."""

    verb: str
    task: str = field(name="share")
    attempt: int = field(name="try")
    grace_s: float | None = field(default=None, name="leeway_s")


class HeartbeatResponse(Struct):
    """Response to a heartbeat, with the fencing token of the shard's owner."""

    fencing_token: int = field(name="warrant")
    commands: list[TaskCommand] = field(name="orders")


class DirectCommands(Struct):
    """Commands sent directly to one incarnation of a worker (`POST /orders`)."""

    fencing_token: int = field(name="warrant")
    incarnation: int = field(name="tenure")
    commands: list[TaskCommand] = field(name="orders")


# -- cloud ---------------------------------------------------------------------------------------


class MachineType(Struct):
    """A machine type in the catalog of the cloud; prices are per hour."""

    label: str
    cpus: float
    gpus: float = field(name="accelerators")
    memory_gb: float = field(name="ram_gb")
    cache_gb: float
    fetch_gb_per_s: float
    price: float
    spot_price: float = field(name="low_price")
    boot_s: float
    zones: list[str] = field(name="yards")


class Catalog(Struct):
    """Machine types that the cloud offers (`GET /catalog`)."""

    machine_types: list[MachineType] = field(name="hulls")


class Host(Struct):
    """A machine in the list of the cloud; `age_s` counts from the time that it was rented."""

    id: str
    address: str
    machine_type: str = field(name="hull")
    zone: str = field(name="yard")
    status: str
    spot: bool = field(default=False, name="loaners")
    age_s: float = 0.0


class HostPage(Struct):
    """One page of the list of rented machines (`GET /hosts`)."""

    machines: list[Host] = field(name="berths")
    truncated: bool = False


class RentalResponse(Struct):
    """Response to a rental request (`POST /hosts`): the names of the rented machines."""

    machines: list[str] = field(name="berths")


class RentalRequest(Struct):
    """Request to rent machines of one type in one zone, spot or on demand (`POST /hosts`).

    `intent` names the provisioning intent; a name is never reused for another one.
    """

    intent: str = field(name="charter")
    machine_type: str = field(name="hull")
    zone: str = field(name="yard")
    spot: bool = field(name="loaners")
    count: int = field(name="how_many")


class ReleaseRequest(Struct):
    """Request to return machines to the cloud (`POST /hosts/release`)."""

    machines: list[str] = field(name="berths")


# -- decoding and encoding -----------------------------------------------------------------------

_submission_decoder = msgspec.json.Decoder(JobSubmission)
_heartbeat_decoder = msgspec.json.Decoder(Heartbeat)
encode = msgspec.json.encode


def decode_submission(body: bytes) -> JobSubmission:
    """Decode a job submission.

    Raises:
        MalformedMessageError: The body is not a valid submission. A string that is valid in JSON
            but not in UTF-8 (a lone surrogate) is rejected as well.
    """
    try:
        return _submission_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise MalformedMessageError(str(error)) from None


def decode_heartbeat(body: bytes) -> Heartbeat:
    """Decode a heartbeat of a worker.

    Raises:
        MalformedMessageError: The body is not a valid heartbeat.
    """
    try:
        return _heartbeat_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise MalformedMessageError(str(error)) from None


def task_name(job: str, task: int) -> str:
    """Return the name of a task in messages, such as `req-000412/3`."""
    return f"{job}/{task}"


def split_task(name: str) -> tuple[str, int]:
    """Return the job id and the task number; if `name` has no task number, `name` and -1."""
    job, _, task = name.rpartition("/")
    if task.isdigit() and len(task) <= MAX_TASK_DIGITS:
        return job, int(task)
    return name, -1


def status_response_body(
    job: str, status: str, done: int = 0, running: int = 0, reason: str | None = None
) -> bytes:
    """Encode the response body of `GET /v2/runs/{id}`."""
    response: dict[str, Any] = {"id": job, "status": status, "done": done, "running": running}
    if reason:
        response["reason"] = reason
    return encode(response)
