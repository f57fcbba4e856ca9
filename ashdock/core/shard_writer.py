"""What of a shard is not durable yet, and the transactions that make it so.

Every transaction carries the shard's fence and the written keys' own revisions. What comes of it is noted only once it has been
answered; one that was not answered shows by the revisions.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from itertools import islice
from typing import Any, Protocol

import msgspec

from ashdock.core.dependency_tracker import DependencyTracker
from ashdock.core.job import Chunk, Job, JobPhase, fitting
from ashdock.core.machine import Machine, MachinePhase, trimmed
from ashdock.core.park import Parks
from ashdock.core.quota import guaranteed
from ashdock.core.task import Phase, Placement
from ashdock.core.write_limits import WriteLimits
from ashdock.settings import Shared, Team
from ashdock.wire.messages import JobKind, JobStatus

log = logging.getLogger("ashdock.shard")

MACHINES = 3  # one of so many changes in a transaction is for machines that come and go, where there are any


class Transaction:
    """A transaction being put together, and what to note once it is durable."""

    def __init__(self, ops: int) -> None:
        self.when: dict[str, int] = {}
        self.writes: dict[str, Any] = {}  # None deletes
        self.on_commit: list[Callable[[int], None]] = []
        self.ops = ops
        self.bytes = 200
        self.urgent = False  # whether anything in it cannot wait until there is more than enough of our share left

    def room(self, ops: int, size: int) -> bool:
        return not self.writes or (
            len(self.writes) + ops <= self.ops and self.bytes + size <= 60 * 1024
        )

    def put(self, path: str, value: Any, revision: int) -> None:
        self.when[path] = revision
        self.writes[path] = value


class WrittenShard(Protocol):
    """What of a shard is written, and the changes that follow once it is durable, or where somebody else has written."""

    name: str
    team: Team
    revision: int
    clock: float
    shared: Shared
    write_limits: WriteLimits
    chunk_tasks: int
    jobs: dict[str, Job]
    machines: dict[str, Machine]
    parks: Parks
    dependency_tracker: DependencyTracker
    urgent: dict[str, None]

    def token(self, machine: Machine) -> int: ...

    def drop(self, placement: Placement, now: float) -> None: ...

    def cancel(self, job_id: str, at: float, revision: int, now: float) -> None: ...

    def machine_gone(self, name: str, now: float) -> None: ...

    def add_machine(self, name: str, value: dict[str, Any], revision: int, now: float) -> None: ...


class ShardWriter:
    def __init__(self, shard: WrittenShard) -> None:
        self.shard = shard
        self.touched: dict[
            str, Job
        ] = {}  # jobs with something to write: a transaction must not look at all of them
        self.changing: dict[str, None] = {}  # machines whose record may have to be written
        self.leftover: list[tuple[str, int]] = []  # work of ended jobs, still to be deleted

    def next_transaction(
        self, short: bool = False, a_second: float = math.inf
    ) -> Transaction | None:
        """The changes not yet durable, as many as one transaction takes: first what starts and outcomes wait for. `short`: the
        state service takes hardly as many changes as there are. `a_second`: how many of them it takes of this controller."""
        shard = self.shard
        # No more at a time than our share of a second: what comes after must not wait longer than that. As it is now, and not an equal
        # one: of a controller with half as much, one transaction took two seconds' worth, and users who came then were sent away.
        txn = Transaction(
            max(
                4,
                min(
                    shard.write_limits.ops,
                    int(min(shard.write_limits.write_rps / shard.shared.size, a_second)),
                ),
            )
        )
        shard.parks.fit(shard.write_limits.value_bytes)
        whole = txn.ops
        if self.changing:
            # A hot team's own starts filled each transaction, and the machines that it was to pass on stood empty, thirty at a time: none ran
            # anything for anybody.
            txn.ops -= max(1, min(whole // MACHINES, len(self.changing)))
        later: list[Job] = []
        for job in list(self.touched.values()):
            if job.id not in shard.jobs or not self._has_unwritten(job):
                del self.touched[job.id]
            elif job.pressing and not self._is_bulk(job):
                txn.urgent = True
                if not self._write_job(job, txn):
                    break
            else:
                later.append(job)
        for n, value in shard.parks.writes() if shard.parks.dirty else ():
            size = shard.write_limits.value_bytes
            if txn.room(1, size):
                revision = shard.parks.revisions[n] if n < len(shard.parks.revisions) else 0
                txn.put(shard.parks.path(n), value, revision)
                txn.bytes += size
                txn.on_commit.append(
                    lambda revision, n=n, value=value: self._parks_written(n, value, revision)  # type: ignore[misc]
                )
        txn.ops = whole
        for name in list(self.changing):
            machine = shard.machines.get(name)
            if machine is None or (
                machine.to is None and not machine.bump and not machine.decommission_generation
            ):
                del self.changing[name]
                continue
            txn.urgent = True
            self._write_machine(machine, txn)
            if machine.to is not None and machine.ended and not machine.live:
                shard.urgent[machine.name] = None  # the sooner it forgets, the sooner it can go
        if txn.urgent and short:
            # What can wait is better written once than each time that something else has to be.
            txn.ops = min(txn.ops, len(txn.writes) + txn.ops // 4)
        for job in later:
            if not self._write_job(job, txn):
                break
        while self.leftover and txn.room(1, 100):
            path, revision = self.leftover.pop()
            txn.put(path, None, revision)
        if not txn.writes:
            return None
        txn.when[f"part/{shard.name}"] = shard.revision
        return txn

    def _parks_written(self, n: int, value: list[Any] | None, revision: int) -> None:
        self.shard.parks.wrote(n, value, revision)
        self.shard.parks.dirty = bool(self.shard.parks.writes())

    def _is_bulk(self, job: Job) -> bool:
        """An array of short tasks beyond any guarantee, still under way: others' writes go before its many."""
        spec = job.spec
        return (
            job.active
            and spec.kind == JobKind.ARRAY
            and math.isinf(job.due)
            and spec.tasks > self.shard.chunk_tasks
            and not guaranteed(self.shard.team, spec.cpus, spec.gpus)
        )

    @staticmethod
    def _has_unwritten(job: Job) -> bool:
        if job.settled or job.wider:
            return True
        return job.reason_gen > job.reason_durable or any(
            chunk.gen > chunk.durable for chunk in job.chunks.values()
        )

    def _write_job(self, job: Job, txn: Transaction) -> bool:
        """Whether it found room in the transaction."""
        if job.settled:
            return self._write_outcome(job, txn)
        dirty = self._dirty(job, txn.ops)
        if job.spec.kind == JobKind.GANG and dirty:
            # A gang is placed whole or not at all, so its chunks go together. Where one transaction does not take them all
            # they go one after the other, and no start before the last; a takeover in between takes the attempt down.
            size = sum(len(value) + 120 for _, value in dirty)
            if (
                len(dirty) <= txn.ops or not self.shard.write_limits.announced_apply
            ) and not txn.room(len(dirty), size):
                return False
        for chunk, value in dirty:
            size = len(value) + 120
            if (
                job.spec.kind != "gang" or self.shard.write_limits.announced_apply
            ) and not txn.room(1, size):
                return False
            txn.put(job.path(chunk.n), msgspec.Raw(value), chunk.revision)
            txn.when[job.job_path] = job.revision
            txn.bytes += size
            txn.on_commit.append(
                lambda revision, c=chunk, gen=chunk.gen: self._chunk_durable(job, c, gen, revision)  # type: ignore[misc]
            )
        for tail, wide in list(job.wider.items()):
            # What narrower chunks have taken over. All of them are durable, or become so with this.
            if all(
                chunk.gen <= chunk.durable or job.path(chunk.n) in txn.writes
                for chunk in job.pieces(wide.low, wide.high)
            ):
                if not txn.room(1, 100):
                    return False
                txn.put(job.work_path(tail), None, wide.revision)
                txn.bytes += 100
                txn.on_commit.append(lambda revision, tail=tail: job.chunk_wrote(tail, 0))  # type: ignore[misc]
        if job.reason_gen > job.reason_durable and job.active:
            record = job.record()
            size = 2 * len(msgspec.json.encode(record))
            if size > 2 * self.shard.write_limits.value_bytes:
                job.reason_durable = (
                    job.reason_gen
                )  # too large as it was submitted: told by its owner's log alone
                return True
            if not txn.room(2, size):
                return False
            txn.put(job.job_path, record, job.revision)
            txn.put(job.head_path, record, job.revision)
            txn.bytes += size
            txn.on_commit.append(
                lambda revision, gen=job.reason_gen: self._reason_durable(job, gen, revision)  # type: ignore[misc]
            )
        return True

    def _dirty(self, job: Job, most: int) -> list[tuple[Chunk, bytes]]:
        """Chunks to be written, narrowed until each fits a value: a gang's all, of an array's no more than one transaction takes."""
        while True:
            changed = (chunk for chunk in job.chunks.values() if chunk.gen > chunk.durable)
            dirty = [
                (chunk, msgspec.json.encode(job.chunk_value(chunk.n)))
                for chunk in (changed if job.spec.kind == JobKind.GANG else islice(changed, most))
            ]
            largest = max((len(value) for _, value in dirty), default=0)
            if (
                largest <= self.shard.write_limits.value_bytes
                or job.chunk_tasks == 1
                or not self.shard.write_limits.announced_apply
            ):
                return dirty
            job.narrow(
                max(
                    1,
                    min(
                        job.chunk_tasks * self.shard.write_limits.value_bytes // largest,
                        job.chunk_tasks * 3 // 4,
                    ),
                )
            )
            log.info(
                "job %s: a chunk of %d bytes is too large; from here on %d tasks to a chunk",
                job.id,
                largest,
                job.chunk_tasks,
            )

    def _write_outcome(self, job: Job, txn: Transaction) -> bool:
        chunks = [
            (job.path(chunk.n), chunk.revision) for chunk in job.chunks.values() if chunk.revision
        ]
        chunks += [(job.work_path(tail), wide.revision) for tail, wide in job.wider.items()]
        together, later = chunks[: txn.ops - 4], chunks[txn.ops - 4 :]
        record = fitting(job.record(), self.shard.write_limits.value_bytes)
        size = 100 * (len(together) + 2) + len(msgspec.json.encode(record))
        if not txn.room(len(together) + 2, size):
            return False
        if job.phase is not JobPhase.CANCELLED:
            txn.put(job.job_path, record, job.revision)
        txn.put(job.head_path, None, job.revision)
        for path, revision in together:
            txn.put(path, None, revision)
        txn.bytes += size
        txn.on_commit.append(lambda revision: self._outcome_durable(job, later))
        return True

    def _write_machine(self, machine: Machine, txn: Transaction) -> None:
        moves = machine.to is not None and machine.empty and machine.phase is MachinePhase.LEAVING
        bump = machine.bump and any(
            sent >= self.shard.token(machine) for sent in machine.outstanding.values()
        )
        if not (moves or bump or machine.decommission_generation) or not txn.room(1, 300):
            return
        to = machine.to if moves and machine.to is not None else self.shard.name
        txn.put(
            f"machine/{machine.name}",
            trimmed(machine.value(to), self.shard.write_limits.value_bytes),
            machine.revision,
        )
        txn.bytes += 300
        txn.on_commit.append(lambda revision: self._machine_written(machine, to, revision))

    def _machine_written(self, machine: Machine, to: str, revision: int) -> None:
        machine.revision = revision
        machine.decommission_generation = 0
        machine.bump = False
        if to != self.shard.name:
            log.info("machine %s goes to %s", machine.name, to or "the pool")
            self.shard.machines.pop(machine.name, None)

    def _chunk_durable(self, job: Job, chunk: Chunk, gen: int, revision: int) -> None:
        chunk.revision = revision
        chunk.durable = max(chunk.durable, gen)
        together = job.spec.kind == JobKind.GANG
        if together and any(other.placed > other.durable for other in job.chunks.values()):
            return  # no start of a gang before its last chunk is durable
        for placement in (job if together else chunk).live.values():
            if (
                placement.phase is Phase.INTENDED
                and placement.gen <= job.chunk_of(placement.task).durable
            ):
                placement.committed()
                self.shard.urgent[placement.machine] = None

    def _reason_durable(self, job: Job, gen: int, revision: int) -> None:
        job.reason_durable = gen
        job.revision = revision

    def _outcome_durable(self, job: Job, later: list[Any]) -> None:
        self.leftover += later
        done = job.phase is JobPhase.OVER
        if done:
            log.info("job %s is done", job.id)
        job.phase = JobPhase.FINAL
        for placement in list(job.live.values()):
            self.shard.drop(placement, placement.placed_at)
        self.shard.parks.drop(job.id)
        self.shard.jobs.pop(job.id, None)
        self.shard.dependency_tracker.settled(
            job.id, JobStatus.DONE if done else JobStatus.WITHDRAWN, job.ended_at, self.shard.clock
        )

    def take_in_stored(self, path: str, value: Any, revision: int, now: float) -> None:
        """A condition of ours failed though the shard is still ours: take in what the key holds now.

        Only a transaction of our own that was applied late, a withdrawal, or the leader's deletion of a
        machine that is gone can have changed it.
        """
        shard = self.shard
        kind, _, rest = path.partition("/")
        if kind == "job":
            job = shard.jobs.get(rest)
            if job is None or value is None:
                return
            if value["status"] == JobStatus.WITHDRAWN:
                shard.cancel(rest, value.get("cancelled_at", now), revision, now)
            job.revision = revision
            if value["status"] == JobStatus.DONE and job.phase is JobPhase.OVER:
                self._outcome_durable(job, [])
        elif kind == "work":
            _, job_id, tail = rest.split("/", 2)
            job = shard.jobs.get(job_id)
            if job is None:
                return
            if tail != "job":
                job.chunk_wrote(tail, revision)
            elif value is None and job.phase is JobPhase.CANCELLED:
                self._outcome_durable(job, [])
        elif kind == "park":
            n = int(rest.rsplit("/", 1)[1])
            shard.parks.wrote(n, value, revision)
            shard.parks.dirty = True
        elif kind == "machine":
            if value is None:
                shard.machine_gone(rest, now)
            elif value.get("p") != shard.name:
                shard.machines.pop(rest, None)
            else:
                shard.add_machine(rest, value, revision, now)
