"""The protocol's messages in the field's terms.

The protocol's own names are spelled out here alone: once a field, with `field(name=...)`, or as the
value of an enum. What is decoded carries our terms; what is encoded carries the protocol's.
"""

from __future__ import annotations

from enum import IntEnum, StrEnum
from typing import Annotated, Any, Literal

import msgspec
from msgspec import UNSET, Meta, Struct, UnsetType, field

Count = Annotated[int, Meta(ge=0)]
Amount = Annotated[float, Meta(ge=0, le=1e9)]
Text = Annotated[str, Meta(min_length=1, max_length=200)]
JobId = Annotated[str, Meta(pattern=r"^req-[0-9A-Za-z_.-]{1,100}\Z")]

MAX_TASK_DIGITS = 6  # of a task's number within its job


class JobKind(StrEnum):
    """What a job's tasks are to one another; stored in `spec.kind`."""

    ARRAY = "array"  # independent of one another
    GANG = "gang"  # all run at the same time, or none
    SERVICE = "service"  # runs until it is cancelled


class JobPriority(IntEnum):
    """The higher goes first; stored in `spec.priority`."""

    BEST_EFFORT = 0
    STANDARD = 1
    HIGH = 2
    CRITICAL = 3


class JobStatus(StrEnum):
    """A job's status as users are told it; all but `RUNNING` are stored in its record."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    WITHDRAWN = "withdrawn"


class TaskStatus(StrEnum):
    """Where a task stands at its worker, as far as it makes a difference to us."""

    PULLING = "pulling"  # its image is being fetched
    RUNNING = "running"
    ENDED = "ended"


class TaskCause(StrEnum):
    """Why a task ended, as far as it makes a difference to us."""

    DONE = "done"
    ERROR = "error"  # it failed of its own
    NO_SUCH = "no_such"  # its image does not exist
    NO_ROOM = "no_room"  # the machine is fuller than its shard's owner thinks


class CommandVerb(StrEnum):
    """What a worker is told to do with an attempt of a task."""

    RUN = "run"
    KILL = "kill"
    FORGET = "forget"  # it has ended, and the worker need not report it any more


KIND_OF_SHAPE = {"sweep": JobKind.ARRAY, "ensemble": JobKind.GANG, "daemon": JobKind.SERVICE}
PRIORITY_OF_URGENCY = {
    "critical": JobPriority.CRITICAL,
    "high": JobPriority.HIGH,
    "standard": JobPriority.STANDARD,
    "best_effort": JobPriority.BEST_EFFORT,
}


class MalformedMessageError(Exception):
    """A body that is not a message of the protocol; the text says what is wrong and where."""


# -- users ---------------------------------------------------------------------------------------


class JobSubmission(Struct):
    """A job as users submit it (`POST /v2/runs`)."""

    id: JobId
    job_class: Text = field(name="workload")
    team: Text = field(name="owner")
    kind: Literal["sweep", "ensemble", "daemon"] = field(name="shape")
    priority: Literal["critical", "high", "standard", "best_effort"] = field(name="urgency")
    tasks: Annotated[int, Meta(ge=1, le=100_000)] = field(name="shares")
    cpus: Amount
    gpus: Amount = field(name="accelerators")
    memory_gb: Amount = field(name="ram_gb")
    image: Text = field(name="bundle")
    image_gb: Amount = field(name="size_gb")
    one_zone: bool = field(name="same_place")
    spread: bool
    spot: bool = field(name="loaners")
    estimate_s: Amount = field(name="expect_s")
    checkpoint_s: Amount = field(name="snapshot_s")
    save_s: Amount = field(name="flush_s")
    machine_types: list[Text] | None = field(default=None, name="hulls")
    zone: Text | None = field(default=None, name="yard")
    deadline_s: Amount | None = field(default=None, name="due_s")
    dependencies: list[JobId] | None = field(default=None, name="awaits")


class JobSpec(Struct):
    """A job as it is kept in the store, below `spec` of its record."""

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
    # Jobs that have to be done first. Absent where there are none: versions before wrote no such field.
    dependencies: list[str] | UnsetType = field(default=UNSET, name="needs")


def job_spec_of(submission: JobSubmission) -> JobSpec:
    """The spec of a submitted job."""
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
    """A task as its worker reports it."""

    task: str = field(name="share")
    attempt: Count = field(name="try")
    status: str
    cause: str | None = None
    saved: bool = field(default=False, name="kept")


class Heartbeat(Struct):
    """A worker's heartbeat with the status of its tasks (`POST /checkin`)."""

    machine: Text = field(name="berth")
    address: str
    machine_type: str = field(name="hull")
    zone: str = field(name="yard")
    incarnation: Count = field(name="tenure")
    sequence: Count = field(name="tally")
    fencing_token: Count = field(name="warrant")
    spot: bool = field(default=False, name="loaners")
    reclaim_in_s: float | None = field(default=None, name="recall_s")
    tasks: list[TaskReport] = field(default_factory=list, name="shares")


class TaskCommand(Struct, omit_defaults=True):
    """What a worker is to do with one attempt of a task."""

    verb: str
    task: str = field(name="share")
    attempt: int = field(name="try")
    grace_s: float | None = field(default=None, name="leeway_s")


class HeartbeatResponse(Struct):
    """The answer to a heartbeat, under the fencing token of the shard's owner."""

    fencing_token: int = field(name="warrant")
    commands: list[TaskCommand] = field(name="orders")


class DirectCommands(Struct):
    """Commands sent straight to a worker (`POST /orders`), for one incarnation of it."""

    fencing_token: int = field(name="warrant")
    incarnation: int = field(name="tenure")
    commands: list[TaskCommand] = field(name="orders")


# -- cloud ---------------------------------------------------------------------------------------


class MachineType(Struct):
    """A machine type of the cloud's catalog; prices are per hour."""

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
    """The cloud's catalog (`GET /catalog`)."""

    machine_types: list[MachineType] = field(name="hulls")


class Host(Struct):
    """A machine in the cloud's list; `age_s` is its age since it was rented."""

    id: str
    address: str
    machine_type: str = field(name="hull")
    zone: str = field(name="yard")
    status: str
    spot: bool = field(default=False, name="loaners")
    age_s: float = 0.0


class Hosts(Struct):
    """A page of the cloud's list (`GET /hosts`)."""

    machines: list[Host] = field(name="berths")
    truncated: bool = False


class Rented(Struct):
    """The names of rented machines (`POST /hosts`)."""

    machines: list[str] = field(name="berths")


class RentalRequest(Struct):
    """Rents machines of one type, zone and kind (`POST /hosts`); its name is never used again."""

    intent: str = field(name="charter")
    machine_type: str = field(name="hull")
    zone: str = field(name="yard")
    spot: bool = field(name="loaners")
    count: int = field(name="how_many")


class ReleaseRequest(Struct):
    """Returns machines (`POST /hosts/release`)."""

    machines: list[str] = field(name="berths")


# -- decoding and encoding -----------------------------------------------------------------------

_submission_decoder = msgspec.json.Decoder(JobSubmission)
_heartbeat_decoder = msgspec.json.Decoder(Heartbeat)
encode = msgspec.json.encode


def decode_submission(body: bytes) -> JobSubmission:
    """Decode a submission.

    Raises:
        MalformedMessageError: it is not one. A string that JSON allows but UTF-8 does not (a lone
            surrogate) is refused as well.
    """
    try:
        return _submission_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as why:
        raise MalformedMessageError(str(why)) from None


def decode_heartbeat(body: bytes) -> Heartbeat:
    """Decode a worker's heartbeat.

    Raises:
        MalformedMessageError: it is not one.
    """
    try:
        return _heartbeat_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as why:
        raise MalformedMessageError(str(why)) from None


def task_name(job: str, task: int) -> str:
    """The protocol's name of a task: `req-000412/3`."""
    return f"{job}/{task}"


def split_task(name: str) -> tuple[str, int]:
    """Job and number of a task; a name that has no number is a job with task -1."""
    job, _, task = name.rpartition("/")
    if task.isdigit() and len(task) <= MAX_TASK_DIGITS:
        return job, int(task)
    return name, -1


def status_answer(
    job: str, status: str, done: int = 0, running: int = 0, reason: str | None = None
) -> bytes:
    """The body of `GET /v2/runs/{id}`."""
    answer: dict[str, Any] = {"id": job, "status": status, "done": done, "running": running}
    if reason:
        answer["reason"] = reason
    return encode(answer)
