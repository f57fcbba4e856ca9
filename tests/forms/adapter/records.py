"""Records in the store, as their readers see them and their writers write them."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any

import msgspec

from ashdock.cluster_state import ClusterState
from ashdock.core.job import Job, fit_job_record, job_record, spec_of_record
from ashdock.core.machine import Machine, MachinePhase, fit_machine_record, stored_images
from ashdock.core.park import Park, Parks
from ashdock.core.shard import Shard
from ashdock.core.task import Failure, TaskState
from ashdock.core.write_limits import WriteLimits
from ashdock.crash_loop import CrashLoopDetector
from ashdock.election.election import Election, KeyHolder
from ashdock.front import Front
from ashdock.leader.machine_records import MachineRecord, machine_view
from ashdock.leader.provisioning_intent import scale_out_from_stored
from ashdock.membership import Membership
from ashdock.net.store import (
    Entry,
)
from ashdock.settings import (
    CloudLimits,
    Operators,
    Shared,
    StateLimits,
    Team,
    Workers,
)
from ashdock.status_reader import known_job_of
from ashdock.wire import messages
from tests.forms.adapter.bodies import SPEC
from tests.forms.adapter.values import (
    Plain,
    attributes_of,
    encoded,
    plain,
    struct_from,
    to_bytes,
)

NOW = 1_700_000_000.25
REVISION = 7
VALUE_BYTES = 4096


def shared_settings() -> Shared:
    """A deployment of three controllers and two teams."""
    return Shared(
        size=3,
        zones=["a", "b"],
        teams=[Team("red", gpus=8, gpus_max=24), Team("blue")],
        workers=Workers(1.0, 6.0, 12.0, 3.0, 20.0),
        state=StateLimits(200, 200, 8.0, 48),
        cloud=CloudLimits(10, 1.0),
    )


def machine_type(label: str) -> messages.MachineType:
    """A machine type of the corpus."""
    return messages.MachineType(label, 8, 4, 64, 100, 1, 2, 1, 6, ["a", "b"])


def spec_from(values: Plain) -> messages.JobSpec:
    """A job's specification from values under their stored names."""
    found: messages.JobSpec = struct_from(messages.JobSpec, SPEC, values)
    return found


def write_job_record(values: Plain) -> Plain:
    """`job/<id>` and `work/<team>/<id>/job`."""
    details = {key: item for key, item in values.items() if key not in ("spec", "at")}
    return encoded(job_record(spec_from(values["spec"]), values["at"], **details))


def write_fitting_job_record(values: Plain) -> Plain:
    """The record of a job that is over, made to fit a value of `limit` bytes."""
    record = msgspec.json.decode(to_bytes(values["record"]))
    return encoded(fit_job_record(record, values["limit"]))


class RecordReader:
    """Stands in for a front's house and questions: notes what a job's record says."""

    def __init__(self) -> None:
        self.told: list[Plain] = []
        self.admission = SimpleNamespace(memory=SimpleNamespace(cached_jobs=10))

    def learn(self, job_id: str, value: dict[str, Any], revision: int) -> None:
        """Nothing is remembered here."""

    def now(self) -> float:
        """The time of day, where a record has none."""
        return NOW

    def broadcast_cancellation(self, job_id: str, team: str, revision: int, at: float) -> None:
        """A cancellation is passed on."""
        self.told.append([job_id, team, revision, at])


def read_final(job_id: str, record: dict[str, Any]) -> Plain:
    """What a front remembers of a job that is over, and what it tells the others."""
    context = RecordReader()
    front: Any = Front.__new__(Front)
    front.context, front.status_reader, front.final_states = context, context, {}
    front.observe_job(job_id, record, REVISION)
    final = front.final_states.get(job_id)
    return {"final": plain(final), "told": context.told}


def read_job_record(body: Plain) -> Plain:
    """A job's record as its owner, a front and a question read it."""
    record = msgspec.json.decode(to_bytes(body))
    job = make_part().add_job(record, REVISION)
    spec = attributes_of(spec_of_record(record), SPEC)
    known = known_job_of(record, REVISION)
    owned = [job.active, job.reason, job.cancelled_at]
    read = {"spec": spec, "at": job.submitted_at, "owned": owned, "known": plain(known)}
    return read | read_final(spec["id"], record)


def make_part() -> Shard:
    """An empty part of team red."""
    shared = shared_settings()
    return Shard(
        shared.teams[0],
        REVISION,
        shared,
        Operators(),
        {"g4": machine_type("g4")},
        random.Random(1),
        WriteLimits(shared.state),
    )


def make_job(layout: Plain) -> Job:
    """A job whose chunks take `width` tasks, of a deployment where plain chunks take `plain_width`."""
    spec = spec_from(layout["spec"])
    return Job(spec, NOW, REVISION, layout["width"], layout["plain_width"])


def task_ranges(tasks: list[int]) -> list[list[int]]:
    """Task numbers as inclusive ranges."""
    ranges: list[list[int]] = []
    for task in tasks:
        if ranges and ranges[-1][1] == task - 1:
            ranges[-1][1] = task
        else:
            ranges.append([task, task])
    return ranges


def job_tasks_to_values(job: Job) -> Plain:
    """The states of a job's tasks: done, placed, and failures of their own."""
    done = [task for task, state in enumerate(job.states) if state == TaskState.DONE]
    placed = [[task, found.machine, found.attempt] for task, found in sorted(job.live.items())]
    failed = [
        {
            "task": task,
            "times": f.failure_count,
            "first": f.first_at,
            "why": f.reason,
            "past": f.past_limits,
        }
        for task, f in sorted(job.failures.items())
    ]
    return {"done": task_ranges(done), "placed": placed, "failed": failed}


def read_chunk(values: Plain) -> Plain:
    """`work/<team>/<id>/<n>` or `<n>w<width>`: the state of the tasks of one chunk."""
    job = make_job(values)
    tail = values["key"].rsplit("/", 1)[1]
    job.load_chunks([(tail, msgspec.json.decode(to_bytes(values["value"])), REVISION)], NOW)
    number, width = job.parse_chunk_suffix(tail)
    chunk = job.chunk(number)
    head = {
        "chunk": number,
        "width": width,
        "attempts": chunk.max_attempt,
        "revision": chunk.revision,
    }
    return head | job_tasks_to_values(job)


def write_chunk(values: Plain) -> Plain:
    """Key and value of one chunk."""
    job = make_job(values)
    tasks = values["tasks"]
    for low, high in tasks["done"]:
        for task in range(low, high + 1):
            job.finish(task)
    for task, machine, attempt_number in tasks["placed"]:
        job.place(task, machine, attempt_number, NOW)
    for item in tasks["failed"]:
        failure = Failure(item["times"], item["first"], item["why"], item["past"])
        job.set_failure(item["task"], failure)
    chunk = job.chunk(tasks["chunk"])
    chunk.max_attempt = max(chunk.max_attempt, tasks["attempts"])
    return {"key": job.chunk_path(chunk.index), "value": encoded(job.chunk_value(chunk.index))}


def read_layouts(values: Plain) -> Plain:
    """Chunks of several widths side by side: what counts, what is written next, what is deleted."""
    job = make_job(values)
    found = [
        (tail, msgspec.json.decode(body), REVISION + n)
        for n, (tail, body) in enumerate(values["chunks"])
    ]
    job.load_chunks(found, NOW)
    writes = {
        job.chunk_path(chunk.index): encoded(job.chunk_value(chunk.index))
        for chunk in job.chunks.values()
        if chunk.generation > chunk.durable_generation
    }
    wider = {job.work_path(tail): plain(wide) for tail, wide in job.replaced_chunks.items()}
    return {"width": job.chunk_tasks, "writes": writes, "wider": wider} | job_tasks_to_values(job)


PARK = ("job", "low", "high", "at", "times", "first", "why", "past")


def read_parks(values: Plain) -> Plain:
    """`park/<team>/<n>`: ranges of tasks that wait for their retry."""
    parks = Parks("red", VALUE_BYTES)
    number = int(values["key"].rsplit("/", 1)[1])
    rows_read = parks.load(number, msgspec.json.decode(to_bytes(values["value"])), REVISION)
    return [
        dict(zip(PARK, (p.job, p.low, p.high, p.retry_at, *p.failure), strict=True))
        for p in rows_read
    ]


def write_parks(values: Plain) -> Plain:
    """Keys and values of a shard's parks, spilled over values of `limit` bytes."""
    parks = Parks("red", values["limit"])
    for row in values["parks"]:
        failure = Failure(row["times"], row["first"], row["why"], row["past"])
        parks.items.append(Park(row["job"], row["low"], row["high"], row["at"], failure))
    return [[parks.path(number), encoded(value)] for number, value in parks.pending_writes()]


MACHINE_PHASES = {
    MachinePhase.EXPECTED: "not up yet",
    MachinePhase.UP: "up",
    MachinePhase.LEAVING: "draining",
    MachinePhase.DECOMMISSIONED: "given up",
}


def read_machine(values: Plain) -> Plain:
    """`machine/<name>` as its shard's owner and as the leader read it."""
    name = values["key"].split("/", 1)[1]
    record = msgspec.json.decode(to_bytes(values["value"]))
    machine = Machine(name, record, REVISION, machine_type("g4"), NOW)
    as_leader = machine_view(Entry(values["key"], record, REVISION))
    return {
        "type": machine.type,
        "zone": machine.zone,
        "spot": machine.spot,
        "address": machine.address,
        "rented_at": machine.rented_at,
        "rental_time_known": machine.rented_at_known,
        "phase": MACHINE_PHASES[machine.phase],
        "reason": machine.leaving_reason,
        "session": machine.incarnation,
        "images": plain(stored_images(record)),
        "as_leader": plain(tuple(as_leader)),
    }


def rewrite_machine(values: Plain) -> Plain:
    """A machine's record, read by an owner and written again for a shard."""
    record = msgspec.json.decode(to_bytes(values["value"]))
    machine = Machine("vm-1", record, REVISION, machine_type("g4"), NOW)
    return encoded(machine.record(values["part"]))


def trim_machine(values: Plain) -> Plain:
    """A machine's record with no more images than fit a value of `limit` bytes."""
    return encoded(
        fit_machine_record(msgspec.json.decode(to_bytes(values["value"])), values["limit"])
    )


def write_leader_machine(values: Plain) -> Plain:
    """A machine's record as the leader first writes it."""
    record = MachineRecord(
        values["type"],
        values["zone"],
        values["spot"],
        values["address"],
        values["part"],
        values["at"],
    )
    return encoded(record.to_stored())


def read_charter(body: Plain) -> Plain:
    """`charter/<name>`: what the leader set out to rent."""
    rent = scale_out_from_stored(msgspec.json.decode(to_bytes(body)))
    return {
        "teams": plain(rent.teams),
        "type": rent.type,
        "zone": rent.zone,
        "spot": rent.spot,
        "number": rent.number,
    }


def read_life(body: Plain) -> Plain:
    """`life/<label>`: the count that the next life of a controller starts from."""
    crash_loop = CrashLoopDetector(1.0, 6.0)
    record = crash_loop.process_started(msgspec.json.decode(to_bytes(body)), [], NOW)
    return {"ends": record.restarts, "at": record.started_at, "steady": not crash_loop.on_probation}


def read_members(values: Plain) -> Plain:
    """`member/<label>`: who may own shards and lead."""
    entries = entries_by_path(values)
    membership: Any = Membership.__new__(Membership)
    membership.context = SimpleNamespace(members=SimpleNamespace(entries=entries))
    return membership.eligible_members()


def read_part_owner(body: Plain) -> Plain:
    """`part/<team>`: the label of the controller that owns it."""
    entry = Entry("part/red", msgspec.json.decode(to_bytes(body)), REVISION)
    cluster: Any = ClusterState.__new__(ClusterState)
    cluster.shards = SimpleNamespace(entries={entry.path: entry})
    return cluster.owner_label("red")


LEADERSHIP = {
    KeyHolder.NOBODY: "free",
    KeyHolder.THIS_CONTROLLER: "ours",
    KeyHolder.ANOTHER_CONTROLLER: "another's",
}


def read_seat(values: Plain) -> Plain:
    """`leader`: whose it is, seen by a controller."""
    election = Election("machines", "leader", values["label"], 5)
    value = msgspec.json.decode(to_bytes(values["value"]))
    entries = {} if value is None else {"leader": Entry("leader", value, REVISION)}
    cluster: Any = ClusterState.__new__(ClusterState)
    cluster.leaders = SimpleNamespace(entries=entries)
    return [LEADERSHIP[election.key_holder(value)], cluster.leader_label()]


def entries_by_path(values: list[Plain]) -> dict[str, Entry]:
    """Entries of the store by path, from `[path, value, revision]`."""
    return {path: Entry(path, value, revision) for path, value, revision in values}
