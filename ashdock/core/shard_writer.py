"""What of a shard is not durable yet, and the transactions that make it so (a write-ahead log in the store).

Every transaction has the revision of the shard's claim and of each key that it writes in its condition. Its effects are applied
in memory by callbacks once it has been answered; whether one that was not answered was applied shows by the revisions.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from functools import partial
from itertools import islice
from typing import Any, NamedTuple, Protocol

import msgspec

from ashdock.core.dependency_tracker import DependencyTracker
from ashdock.core.job import Chunk, Job, JobPhase, fit_job_record
from ashdock.core.machine import Machine, MachinePhase, fit_machine_record
from ashdock.core.park import Parks
from ashdock.core.quota import guaranteed
from ashdock.core.task import Placement, PlacementPhase
from ashdock.core.write_limits import WriteLimits
from ashdock.settings import Shared, Team
from ashdock.wire.messages import JobKind, JobStatus

log = logging.getLogger("ashdock.shard")

MACHINE_SHARE = 3  # one of so many writes is kept for machines that come and go, if there are any
DEFERRED_SHARE = (
    4  # where the store is short, one of so many writes beside urgent ones may be for what can wait
)
MIN_OPS = 4  # writes in a transaction, however few the store takes a second

# Sizes in bytes. A transaction is a request body, and the store refuses those of 64 KiB.
MAX_TRANSACTION_BYTES = 60 * 1024
ENVELOPE_BYTES = 200  # of a transaction, without its writes
KEY_BYTES = 100  # a path with its condition, hence a deletion
CHUNK_ENVELOPE_BYTES = 120  # what a chunk's path and two conditions add to its value
MACHINE_BYTES = 300  # a machine's record, path and condition

OPS_BESIDE_CHUNKS = 4  # an outcome's writes of the job, with room to spare
OPS_OF_JOB_RECORD = 2  # `job/<id>` and the copy beside its chunks


class StoredKey(NamedTuple):
    """A key as last known to be stored."""

    path: str
    revision: int


class Transaction:
    """A compare-and-swap that is being built, with callbacks for when it is durable.

    Attributes:
        when: the condition: path to revision.
        writes: path to value; None deletes.
        on_commit: called in order with the revision that the transaction was applied at.
        max_ops: how many writes it may have.
        bytes: about how large it is.
        urgent: whether a start or an outcome waits for it.
    """

    def __init__(self, max_ops: int) -> None:
        """Begin an empty one."""
        self.when: dict[str, int] = {}
        self.writes: dict[str, Any] = {}
        self.on_commit: list[Callable[[int], None]] = []
        self.max_ops = max_ops
        self.bytes = ENVELOPE_BYTES
        self.urgent = False

    def room(self, ops: int, size: int) -> bool:
        """Whether so many writes of so many bytes in all still fit. The first always do, or they would never be written."""
        return not self.writes or (
            len(self.writes) + ops <= self.max_ops and self.bytes + size <= MAX_TRANSACTION_BYTES
        )

    def put(self, path: str, value: Any, revision: int) -> None:
        """Write a value (None: delete the key) if the key still has the given revision. The caller counts `bytes`."""
        self.when[path] = revision
        self.writes[path] = value


class WrittenShard(Protocol):
    """What the writer needs of a shard: the state that is written, and the changes that follow from a commit or conflict."""

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

    def token(self, machine: Machine) -> int:
        """The fencing token for commands to the machine."""
        ...

    def drop(self, placement: Placement, now: float) -> None:
        """Stop counting a placement that is proved gone."""
        ...

    def cancel(self, job_id: str, at: float, revision: int, now: float) -> None:
        """Take in a cancellation that was confirmed at `at`."""
        ...

    def machine_gone(self, name: str, now: float) -> None:
        """Take in that a machine's record is deleted."""
        ...

    def add_machine(self, name: str, value: dict[str, Any], revision: int, now: float) -> None:
        """Take in a machine's record."""
        ...


class ShardWriter:
    """Tracks what has changed since it was last written, and builds transactions of it.

    Attributes:
        changed_jobs: jobs with something to write, so that a transaction need not look at all of them.
        changed_machines: machines whose record may have to be written.
        obsolete_keys: chunks of ended jobs, still to be deleted.
    """

    def __init__(self, shard: WrittenShard) -> None:
        """Begin with nothing to write."""
        self.shard = shard
        self.changed_jobs: dict[str, Job] = {}
        self.changed_machines: dict[str, None] = {}
        self.obsolete_keys: list[StoredKey] = []

    # -- building a transaction ------------------------------------------------------------------

    def next_transaction(
        self, short: bool = False, writes_per_s: float = math.inf
    ) -> Transaction | None:
        """Build a transaction of what is not durable yet, beginning with what starts and outcomes wait for.

        Args:
            short: whether the store takes hardly as many writes as there are.
            writes_per_s: how many it takes of this controller.

        Returns:
            The transaction; None if there is nothing to write.
        """
        shard = self.shard
        max_ops = self._max_ops(writes_per_s)
        transaction = Transaction(max_ops)
        shard.parks.set_value_bytes(shard.write_limits.value_bytes)
        if self.changed_machines:
            # Without this, the starts of a team with many jobs filled each transaction, and the machines that it was to
            # pass on stood empty, thirty at a time.
            transaction.max_ops -= max(1, min(max_ops // MACHINE_SHARE, len(self.changed_machines)))
        deferred = self._add_urgent_jobs(transaction)
        self._add_parks(transaction)
        transaction.max_ops = max_ops
        self._add_machines(transaction)
        if transaction.urgent and short:
            # What can wait is better written once than each time that something else has to be.
            transaction.max_ops = min(max_ops, len(transaction.writes) + max_ops // DEFERRED_SHARE)
        self._add_deferred_jobs(transaction, deferred)
        self._add_deletions(transaction)
        if not transaction.writes:
            return None
        transaction.when[f"part/{shard.name}"] = shard.revision
        return transaction

    def _max_ops(self, writes_per_s: float) -> int:
        """No more writes than this controller may make in a second: what comes after must not wait for longer.

        That is its share as it is now, not an equal one: of a controller with half as much, one transaction took two
        seconds' worth, and submissions were refused meanwhile.
        """
        limits = self.shard.write_limits
        equal_share = limits.write_rps / self.shard.shared.size
        return max(MIN_OPS, min(limits.ops, int(min(equal_share, writes_per_s))))

    def _add_urgent_jobs(self, transaction: Transaction) -> list[Job]:
        """Add the jobs that a start or an outcome waits for; those that can wait are returned."""
        deferred: list[Job] = []
        for job in list(self.changed_jobs.values()):
            if job.id not in self.shard.jobs or not self._has_unwritten(job):
                del self.changed_jobs[job.id]
            elif job.is_urgent and not self._is_bulk(job):
                transaction.urgent = True
                if not self._write_job(job, transaction):
                    break
            else:
                deferred.append(job)
        return deferred

    def _add_parks(self, transaction: Transaction) -> None:
        parks, size = self.shard.parks, self.shard.write_limits.value_bytes
        if not parks.dirty:
            return
        for n, value in parks.pending_writes():
            if transaction.room(1, size):
                revision = parks.revisions[n] if n < len(parks.revisions) else 0
                transaction.put(parks.path(n), value, revision)
                transaction.bytes += size
                transaction.on_commit.append(partial(self._parks_durable, n, value))

    def _add_machines(self, transaction: Transaction) -> None:
        for name in list(self.changed_machines):
            machine = self.shard.machines.get(name)
            if machine is None or (
                machine.target_shard is None
                and not machine.raise_token
                and not machine.decommission_generation
            ):
                del self.changed_machines[name]
                continue
            transaction.urgent = True
            self._write_machine(machine, transaction)
            if machine.target_shard is not None and machine.ended_attempts and not machine.live:
                # The sooner its worker forgets what has ended, the sooner it can go.
                self.shard.urgent[machine.name] = None

    def _add_deferred_jobs(self, transaction: Transaction, deferred: list[Job]) -> None:
        for job in deferred:
            if not self._write_job(job, transaction):
                return

    def _add_deletions(self, transaction: Transaction) -> None:
        while self.obsolete_keys and transaction.room(1, KEY_BYTES):
            path, revision = self.obsolete_keys.pop()
            transaction.put(path, None, revision)

    def _is_bulk(self, job: Job) -> bool:
        """Whether it is a large array beyond any guarantee and without a deadline: other jobs are written before it."""
        spec = job.spec
        return (
            job.active
            and spec.kind == JobKind.ARRAY
            and math.isinf(job.deadline_at)
            and spec.tasks > self.shard.chunk_tasks
            and not guaranteed(self.shard.team, spec.cpus, spec.gpus)
        )

    @staticmethod
    def _has_unwritten(job: Job) -> bool:
        if job.outcome_ready or job.replaced_chunks:
            return True
        return job.reason_generation > job.durable_reason_generation or any(
            chunk.generation > chunk.durable_generation for chunk in job.chunks.values()
        )

    def _write_job(self, job: Job, transaction: Transaction) -> bool:
        """Add what of a job is not durable. Returns whether all of it found room."""
        if job.outcome_ready:
            return self._write_outcome(job, transaction)
        if not self._write_chunks(job, transaction):
            return False
        if job.replaced_chunks and not self._delete_replaced_chunks(job, transaction):
            return False
        if job.reason_generation > job.durable_reason_generation and job.active:
            return self._write_reason(job, transaction)
        return True

    def _write_chunks(self, job: Job, transaction: Transaction) -> bool:
        changed = self._changed_chunks(job, transaction.max_ops)
        agreed = self.shard.write_limits.announced_apply
        is_gang = job.spec.kind == JobKind.GANG
        if is_gang and changed:
            # A gang is placed whole or not at all, so its chunks go together. Where one transaction does not take them all
            # they go one after the other, and no start before the last; a failover in between stops the attempt.
            size = sum(len(value) + CHUNK_ENVELOPE_BYTES for _, value in changed)
            if (len(changed) <= transaction.max_ops or not agreed) and not transaction.room(
                len(changed), size
            ):
                return False
        for chunk, value in changed:
            size = len(value) + CHUNK_ENVELOPE_BYTES
            if (not is_gang or agreed) and not transaction.room(1, size):
                return False
            transaction.put(job.chunk_path(chunk.index), msgspec.Raw(value), chunk.revision)
            transaction.when[job.job_path] = job.revision
            transaction.bytes += size
            transaction.on_commit.append(partial(self._chunk_durable, job, chunk, chunk.generation))
        return True

    def _delete_replaced_chunks(self, job: Job, transaction: Transaction) -> bool:
        """Delete each chunk whose tasks narrower ones hold that are durable, or become so with this transaction."""
        for tail, wide in list(job.replaced_chunks.items()):
            if not all(
                chunk.generation <= chunk.durable_generation
                or job.chunk_path(chunk.index) in transaction.writes
                for chunk in job.chunks_covering(wide.low, wide.high)
            ):
                continue
            if not transaction.room(1, KEY_BYTES):
                return False
            transaction.put(job.work_path(tail), None, wide.revision)
            transaction.bytes += KEY_BYTES
            transaction.on_commit.append(partial(self._replaced_chunk_deleted, job, tail))
        return True

    def _write_reason(self, job: Job, transaction: Transaction) -> bool:
        record = job.record()
        size = OPS_OF_JOB_RECORD * len(msgspec.json.encode(record))
        if size > OPS_OF_JOB_RECORD * self.shard.write_limits.value_bytes:
            # The submission alone fills a value: its reason stays in its owner's log.
            job.durable_reason_generation = job.reason_generation
            return True
        if not transaction.room(OPS_OF_JOB_RECORD, size):
            return False
        transaction.put(job.job_path, record, job.revision)
        transaction.put(job.job_copy_path, record, job.revision)
        transaction.bytes += size
        transaction.on_commit.append(partial(self._reason_durable, job, job.reason_generation))
        return True

    def _changed_chunks(self, job: Job, max_chunks: int) -> list[tuple[Chunk, bytes]]:
        """The chunks to be written, encoded, and narrowed until each fits a value.

        Of a gang that is all of them, of an array at most `max_chunks`.
        """
        while True:
            changed = (
                chunk
                for chunk in job.chunks.values()
                if chunk.generation > chunk.durable_generation
            )
            encoded = [
                (chunk, msgspec.json.encode(job.chunk_value(chunk.index)))
                for chunk in (
                    changed if job.spec.kind == JobKind.GANG else islice(changed, max_chunks)
                )
            ]
            largest = max((len(value) for _, value in encoded), default=0)
            if (
                largest <= self.shard.write_limits.value_bytes
                or job.chunk_tasks == 1
                or not self.shard.write_limits.announced_apply
            ):
                return encoded
            # In proportion to its excess, and by a quarter at least, so that this ends soon.
            fitting_tasks = job.chunk_tasks * self.shard.write_limits.value_bytes // largest
            job.narrow_chunks(max(1, min(fitting_tasks, job.chunk_tasks * 3 // 4)))
            log.info(
                "chunk too large, narrowed: job=%s bytes=%d chunk_tasks=%d",
                job.id,
                largest,
                job.chunk_tasks,
            )

    def _write_outcome(self, job: Job, transaction: Transaction) -> bool:
        """Write how a job ended and delete its chunks; those that one transaction does not take are deleted later."""
        stored = [
            StoredKey(job.chunk_path(chunk.index), chunk.revision)
            for chunk in job.chunks.values()
            if chunk.revision
        ]
        stored += [
            StoredKey(job.work_path(tail), wide.revision)
            for tail, wide in job.replaced_chunks.items()
        ]
        most = transaction.max_ops - OPS_BESIDE_CHUNKS
        together, later = stored[:most], stored[most:]
        record = fit_job_record(job.record(), self.shard.write_limits.value_bytes)
        ops = len(together) + OPS_OF_JOB_RECORD
        size = KEY_BYTES * ops + len(msgspec.json.encode(record))
        if not transaction.room(ops, size):
            return False
        if job.phase is not JobPhase.CANCELLED:
            transaction.put(job.job_path, record, job.revision)
        transaction.put(job.job_copy_path, None, job.revision)
        for path, revision in together:
            transaction.put(path, None, revision)
        transaction.bytes += size
        transaction.on_commit.append(partial(self._outcome_committed, job, later))
        return True

    def _write_machine(self, machine: Machine, transaction: Transaction) -> None:
        """Write a machine's record if it passes to another team, needs a higher token, or is decommissioned."""
        moves = (
            machine.target_shard is not None
            and machine.empty
            and machine.phase is MachinePhase.LEAVING
        )
        raises_token = machine.raise_token and any(
            sent >= self.shard.token(machine) for sent in machine.outstanding_runs.values()
        )
        if not (moves or raises_token or machine.decommission_generation):
            return
        if not transaction.room(1, MACHINE_BYTES):
            return
        team = (
            machine.target_shard if moves and machine.target_shard is not None else self.shard.name
        )
        transaction.put(
            f"machine/{machine.name}",
            fit_machine_record(machine.record(team), self.shard.write_limits.value_bytes),
            machine.revision,
        )
        transaction.bytes += MACHINE_BYTES
        transaction.on_commit.append(partial(self._machine_durable, machine, team))

    # -- once it is durable ------------------------------------------------------------------------

    def _parks_durable(self, n: int, value: list[Any] | None, revision: int) -> None:
        self.shard.parks.set_written(n, value, revision)
        self.shard.parks.dirty = bool(self.shard.parks.pending_writes())

    def _machine_durable(self, machine: Machine, team: str, revision: int) -> None:
        machine.revision = revision
        machine.decommission_generation = 0
        machine.raise_token = False
        if team != self.shard.name:
            log.info(
                "machine passed on: machine=%s from=%s to=%s",
                machine.name,
                self.shard.name,
                team or "unassigned",
            )
            self.shard.machines.pop(machine.name, None)

    def _chunk_durable(self, job: Job, chunk: Chunk, generation: int, revision: int) -> None:
        """Let the starts out that waited for the chunk; those of a gang only with its last chunk."""
        chunk.revision = revision
        chunk.durable_generation = max(chunk.durable_generation, generation)
        is_gang = job.spec.kind == JobKind.GANG
        if is_gang and any(
            other.placed_generation > other.durable_generation for other in job.chunks.values()
        ):
            return
        for placement in (job if is_gang else chunk).live.values():
            if (
                placement.phase is PlacementPhase.INTENDED
                and placement.generation <= job.chunk_of(placement.task).durable_generation
            ):
                placement.mark_committed()
                self.shard.urgent[placement.machine] = None

    @staticmethod
    def _replaced_chunk_deleted(job: Job, tail: str, _revision: int) -> None:
        job.set_chunk_revision(tail, 0)

    @staticmethod
    def _reason_durable(job: Job, generation: int, revision: int) -> None:
        job.durable_reason_generation = generation
        job.revision = revision

    def _outcome_committed(self, job: Job, later: list[StoredKey], _revision: int) -> None:
        self._outcome_durable(job, later)

    def _outcome_durable(self, job: Job, later: list[StoredKey]) -> None:
        """Forget a job whose end is stored.

        Args:
            job: the job.
            later: its chunks that are still to be deleted.
        """
        self.obsolete_keys += later
        done = job.phase is JobPhase.OVER
        if done:
            log.info("job done: job=%s", job.id)
        job.phase = JobPhase.FINAL
        for placement in list(job.live.values()):
            self.shard.drop(placement, placement.placed_at)
        self.shard.parks.remove_job(job.id)
        self.shard.jobs.pop(job.id, None)
        self.shard.dependency_tracker.settled(
            job.id, JobStatus.DONE if done else JobStatus.WITHDRAWN, job.ended_at, self.shard.clock
        )

    # -- conflicts ---------------------------------------------------------------------------------

    def take_in_stored(self, path: str, value: Any, revision: int, now: float) -> None:
        """Take in what a key holds now, after the condition on it failed though the shard is still ours.

        Only a transaction of our own that was applied late, a cancellation, or the leader's deletion of a
        machine that is gone can have changed it.

        Args:
            path: the key.
            value: what it holds; None if it is deleted.
            revision: its revision, 0 if it is deleted.
            now: the time.
        """
        kind, _, rest = path.partition("/")
        if kind == "job":
            self._take_in_job(rest, value, revision, now)
        elif kind == "work":
            _, job_id, tail = rest.split("/", 2)
            self._take_in_work(job_id, tail, value, revision)
        elif kind == "park":
            self.shard.parks.set_written(int(rest.rsplit("/", 1)[1]), value, revision)
            self.shard.parks.dirty = True
        elif kind == "machine":
            self._take_in_machine(rest, value, revision, now)

    def _take_in_job(
        self, job_id: str, record: dict[str, Any] | None, revision: int, now: float
    ) -> None:
        job = self.shard.jobs.get(job_id)
        if job is None or record is None:
            return
        if record["status"] == "withdrawn":
            self.shard.cancel(job_id, record.get("cancelled_at", now), revision, now)
        job.revision = revision
        if record["status"] == JobStatus.DONE and job.phase is JobPhase.OVER:
            self._outcome_durable(job, [])

    def _take_in_work(self, job_id: str, tail: str, value: Any, revision: int) -> None:
        job = self.shard.jobs.get(job_id)
        if job is None:
            return
        if tail != "job":
            job.set_chunk_revision(tail, revision)
        elif value is None and job.phase is JobPhase.CANCELLED:
            self._outcome_durable(job, [])

    def _take_in_machine(
        self, name: str, record: dict[str, Any] | None, revision: int, now: float
    ) -> None:
        if record is None:
            self.shard.machine_gone(name, now)
        elif record.get("p") != self.shard.name:
            self.shard.machines.pop(name, None)
        else:
            self.shard.add_machine(name, record, revision, now)
