"""The protocol's words and shapes. Nowhere else are they spelled out."""

from __future__ import annotations

from typing import Annotated, Any, Literal

import msgspec
from msgspec import UNSET, Meta, Struct, UnsetType, field

Count = Annotated[int, Meta(ge=0)]
Amount = Annotated[float, Meta(ge=0, le=1e9)]
Text = Annotated[str, Meta(min_length=1, max_length=200)]
JobId = Annotated[str, Meta(pattern=r"^req-[0-9A-Za-z_.-]{1,100}\Z")]

KINDS = {"sweep": "array", "ensemble": "gang", "daemon": "service"}
PRIORITIES = {"critical": 3, "high": 2, "standard": 1, "best_effort": 0}


class Run(Struct):
    """A submission, as users send it."""

    id: JobId
    workload: Text
    owner: Text
    shape: Literal["sweep", "ensemble", "daemon"]
    urgency: Literal["critical", "high", "standard", "best_effort"]
    shares: Annotated[int, Meta(ge=1, le=100_000)]
    cpus: Amount
    accelerators: Amount
    ram_gb: Amount
    bundle: Text
    size_gb: Amount
    same_place: bool
    spread: bool
    loaners: bool
    expect_s: Amount
    snapshot_s: Amount
    flush_s: Amount
    hulls: list[Text] | None = None
    yard: Text | None = None
    due_s: Amount | None = None
    awaits: list[JobId] | None = None


class Spec(Struct):
    """The same in the field's words; also how it is kept in the state service."""

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
    types: list[str] | None = None
    zone: str | None = None
    deadline_s: float | None = None
    # Jobs that have to be done first. Not there at all where there are none: versions before wrote no such field.
    needs: list[str] | UnsetType = UNSET


def spec_of(run: Run) -> Spec:
    return Spec(
        id=run.id,
        job_class=run.workload,
        team=run.owner,
        kind=KINDS[run.shape],
        priority=PRIORITIES[run.urgency],
        tasks=run.shares,
        cpus=run.cpus,
        gpus=run.accelerators,
        memory_gb=run.ram_gb,
        image=run.bundle,
        image_gb=run.size_gb,
        one_zone=run.same_place,
        spread=run.spread,
        spot=run.loaners,
        estimate_s=run.expect_s,
        checkpoint_s=run.snapshot_s,
        save_s=run.flush_s,
        types=run.hulls,
        zone=run.yard,
        deadline_s=run.due_s,
        needs=list(dict.fromkeys(run.awaits)) if run.awaits else UNSET,
    )


class Held(Struct):
    """A task as its worker reports it."""

    share: str
    attempt: Count = field(name="try")
    status: str
    cause: str | None = None
    kept: bool = False


class Report(Struct):
    berth: Text
    address: str
    hull: str
    yard: str
    tenure: Count
    tally: Count
    warrant: Count
    loaners: bool = False
    recall_s: float | None = None
    shares: list[Held] = []


class Order(Struct, omit_defaults=True):
    verb: str
    share: str
    attempt: int = field(name="try")
    leeway_s: float | None = None


class Orders(Struct):
    warrant: int
    orders: list[Order]


class DirectOrders(Struct):
    warrant: int
    tenure: int
    orders: list[Order]


class MachineType(Struct):
    label: str
    cpus: float
    accelerators: float
    ram_gb: float
    cache_gb: float
    fetch_gb_per_s: float
    price: float
    low_price: float
    boot_s: float
    yards: list[str]


class Catalog(Struct):
    hulls: list[MachineType]


class Host(Struct):
    id: str
    address: str
    hull: str
    yard: str
    status: str
    loaners: bool = False
    age_s: float = 0.0


class Hosts(Struct):
    berths: list[Host]
    truncated: bool = False


class Rented(Struct):
    berths: list[str]


RUN, KILL, FORGET = "run", "kill", "forget"
ENDED = "ended"

run_decoder = msgspec.json.Decoder(Run)
report_decoder = msgspec.json.Decoder(Report)
encode = msgspec.json.encode


class Malformed(Exception):
    pass


def decode_run(body: bytes) -> Run:
    # A string that JSON allows but UTF-8 does not (a lone surrogate) must be refused as well.
    try:
        return run_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as why:
        raise Malformed(str(why)) from None


def decode_report(body: bytes) -> Report:
    try:
        return report_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as why:
        raise Malformed(str(why)) from None


def task_name(job: str, task: int) -> str:
    return f"{job}/{task}"


def split_task(name: str) -> tuple[str, int]:
    job, _, task = name.rpartition("/")
    return (job, int(task)) if task.isdigit() and len(task) <= 6 else (name, -1)


def status_answer(
    job: str, status: str, done: int = 0, running: int = 0, reason: str | None = None
) -> bytes:
    answer: dict[str, Any] = {"id": job, "status": status, "done": done, "running": running}
    if reason:
        answer["reason"] = reason
    return encode(answer)
