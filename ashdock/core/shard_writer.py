"""Tracks what of a shard is not durable yet, and builds the transactions that write it.

The store serves the shard as its write-ahead log: what a run command rests on is written first.
Every transaction is a compare-and-swap on the revision of the shard's claim and of each key that it
writes. Callbacks apply its effects in memory once the store has answered. Whether a transaction
without a response was applied shows in the revisions of its keys.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Iterator
from functools import partial
from itertools import islice
from typing import Any, Protocol

import msgspec

from ashdock.core.dependency_tracker import DependencyTracker
from ashdock.core.job import Chunk, Job, JobPhase, fit_job_record
from ashdock.core.machine import Machine, MachinePhase, fit_machine_record
from ashdock.core.park import Parks
from ashdock.core.promised_writes import PromisedWrites
from ashdock.core.quota import within_guarantee
from ashdock.core.task import Placement, PlacementPhase
from ashdock.core.transaction import KEY_BYTES, StoredKey, Transaction
from ashdock.core.write_limits import WriteLimits
from ashdock.settings import Shared, Team
from ashdock.wire.messages import JobKind, JobStatus

log = logging.getLogger("ashdock.shard")

# Up to 1/3 of a transaction's writes are reserved for the machine records that have changed.
MACHINE_OPS_DIVISOR = 3
# If writes are scarce, a transaction with urgent changes has at most 1/4 of its writes for
# deferrable ones.
DEFERRED_OPS_DIVISOR = 4
# Share of a transaction's writes that the outcomes of jobs cancelled with a dependency may take while
# other changes wait. Users were promised these outcomes within `cancel_s`; the rest is for all else.
DEPENDENCY_CANCELLATION_SHARE = 0.75
MIN_OPS = 4  # writes allowed in a transaction, however low the write rate

CHUNK_ENVELOPE_BYTES = 120  # a chunk's path and two conditions, without its value
MACHINE_BYTES = 300  # a machine's record with its path and condition

OUTCOME_RESERVED_OPS = 4  # for the writes of an outcome beside its chunks; two are needed
JOB_RECORD_OPS = 2  # `job/<id>` and the copy next to its chunks


class WrittenShard(Protocol):
    """The part of a shard that the writer uses.

    This is the state that is written, and the changes that follow from a commit or a conflict.
    """

    name: str
    team: Team
    revision: int
    current_time: float
    shared: Shared
    write_limits: WriteLimits
    chunk_tasks: int
    jobs: dict[str, Job]
    machines: dict[str, Machine]
    parks: Parks
    dependency_tracker: DependencyTracker
    urgent_machines: dict[str, None]

    def token(self, machine: Machine) -> int:
        """Return the fencing token for commands to the machine."""
        ...

    def drop_placement(self, placement: Placement, now: float) -> None:
        """Stop counting a placement that is proved gone."""
        ...

    def cancel(self, job_id: str, at: float, revision: int, now: float) -> None:
        """Apply a cancellation that was confirmed at `at`."""
        ...

    def remove_machine(self, name: str, now: float) -> None:
        """Remove a machine whose record was deleted."""
        ...

    def add_machine(self, name: str, value: dict[str, Any], revision: int, now: float) -> None:
        """Add a machine from its record, or update it."""
        ...


class ShardWriter:
    """Tracks what of a shard has changed since it was last written, and builds transactions.

    Attributes:
        shard: The shard.
        changed_jobs: Jobs with something to write, by id, so that building a transaction does not
            iterate over all jobs.
        changed_machines: Names of machines whose record may have to be written, in order.
        obsolete_keys: Chunks of ended jobs that have not been deleted yet.
        committed_revision: Revision of the latest transaction whose commit was confirmed; 0 before
            the first.
    """

    def __init__(self, shard: WrittenShard) -> None:
        """Start with nothing to write."""
        self.shard = shard
        self.changed_jobs: dict[str, Job] = {}
        self.changed_machines: dict[str, None] = {}
        self.obsolete_keys: list[StoredKey] = []
        self.committed_revision = 0

    def unwritten_jobs(self) -> Iterator[Job]:
        """Iterate over the jobs with something that can be written now."""
        return (
            job
            for job in self.changed_jobs.values()
            if job.id in self.shard.jobs and self._has_unwritten(job)
        )

    # -- building a transaction ------------------------------------------------------------------

    def next_transaction(
        self, scarce: bool = False, writes_per_s: float = math.inf
    ) -> Transaction | None:
        """Build a transaction of what is not durable yet, the most urgent changes first.

        Args:
            scarce: Whether the store accepts hardly as many writes as there are.
            writes_per_s: Number of writes per second that it accepts from this controller.

        Returns:
            The transaction; None if there is nothing to write.
        """
        shard = self.shard
        max_ops = self._max_ops(writes_per_s)
        transaction = Transaction(max_ops)
        shard.parks.set_value_bytes(shard.write_limits.value_bytes)
        if self.changed_machines:
            # Without this reserve, the placements of a team with many jobs filled each transaction,
            # while thirty machines at a time that it was to transfer stood empty.
            transaction.max_ops -= max(
                1, min(max_ops // MACHINE_OPS_DIVISOR, len(self.changed_machines))
            )
        cancelled = self._add_dependency_cancellations(transaction, writes_per_s)
        deferred = self._add_urgent_jobs(transaction)
        self._add_parks(transaction)
        transaction.max_ops = max_ops
        self._add_machines(transaction)
        self._add_jobs(transaction, cancelled)
        if transaction.urgent and scarce:
            # Deferrable changes are better written once, later, than with each urgent transaction.
            transaction.max_ops = min(
                max_ops, len(transaction.writes) + max_ops // DEFERRED_OPS_DIVISOR
            )
        self._add_jobs(transaction, deferred)
        self._add_deletions(transaction)
        if not transaction.writes:
            return None
        transaction.conditions[f"part/{shard.name}"] = shard.revision
        transaction.on_commit.append(self._committed)
        return transaction

    def _max_ops(self, writes_per_s: float) -> int:
        """Return the maximum number of writes in a transaction.

        It is no more than this controller may write in one second, so that later writes do not wait
        for longer. That is its current share of the write rate, not an equal one: a controller
        with half an equal share needed two seconds for one transaction, and refused submissions
        meanwhile.
        """
        limits = self.shard.write_limits
        equal_share = limits.write_rps / self.shard.shared.size
        return max(MIN_OPS, min(limits.ops, int(min(equal_share, writes_per_s))))

    def _add_dependency_cancellations(
        self, transaction: Transaction, writes_per_s: float
    ) -> list[Job]:
        """Add outcomes of jobs that were cancelled with a dependency, within their share.

        They are due within `cancel_s` of the cancellation, so the one that was cancelled first goes
        first, however long other changes have waited.

        Returns:
            Those that did not fit into the share.
        """
        cancelled = sorted(
            (job for job in self.changed_jobs.values() if job.phase is JobPhase.ORPHANED),
            key=self._cancelled_at,
        )
        if not cancelled:
            return []
        transaction.urgent = True
        transaction.overdue = PromisedWrites(
            JOB_RECORD_OPS * len(cancelled),
            self.shard.current_time - self._cancelled_at(cancelled[0]),
        ).need_user_priority(writes_per_s, self.shard.shared.workers.cancel_s)
        max_ops = transaction.max_ops
        transaction.max_ops = max(JOB_RECORD_OPS, int(DEPENDENCY_CANCELLATION_SHARE * max_ops))
        remaining = self._add_jobs(transaction, cancelled)
        transaction.max_ops = max_ops
        return remaining

    @staticmethod
    def _cancelled_at(job: Job) -> float:
        return job.submitted_at if job.cancelled_at is None else job.cancelled_at

    def _add_urgent_jobs(self, transaction: Transaction) -> list[Job]:
        """Add the jobs for which a run command or another outcome waits.

        Returns:
            The changed jobs that can be written later.
        """
        deferred: list[Job] = []
        for job in list(self.changed_jobs.values()):
            if job.id not in self.shard.jobs or not self._has_unwritten(job):
                del self.changed_jobs[job.id]
            elif job.phase is JobPhase.ORPHANED:
                continue
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
        for index, value in parks.pending_writes():
            if transaction.has_room(1, size):
                revision = parks.revisions[index] if index < len(parks.revisions) else 0
                transaction.put(parks.path(index), value, revision)
                transaction.size_bytes += size
                transaction.on_commit.append(partial(self._parks_durable, index, value))

    def _add_machines(self, transaction: Transaction) -> None:
        for name in list(self.changed_machines):
            machine = self.shard.machines.get(name)
            if machine is not None and machine.raise_token:
                machine.raise_token = machine.must_raise_token(self.shard.token(machine))
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
                # A machine is transferred only after its worker has forgotten all ended attempts,
                # so the command to forget them does not wait for a heartbeat.
                self.shard.urgent_machines[machine.name] = None

    def _add_jobs(self, transaction: Transaction, jobs: list[Job]) -> list[Job]:
        """Add jobs in this order until one does not fit; return it and those after it."""
        for number, job in enumerate(jobs):
            if not self._write_job(job, transaction):
                return jobs[number:]
        return []

    def _add_deletions(self, transaction: Transaction) -> None:
        while self.obsolete_keys and transaction.has_room(1, KEY_BYTES):
            path, revision = self.obsolete_keys.pop()
            transaction.put(path, None, revision)

    def _is_bulk(self, job: Job) -> bool:
        """Whether the job is a large array without deadline or guarantee, written after others."""
        spec = job.spec
        return (
            job.active
            and spec.kind == JobKind.ARRAY
            and math.isinf(job.deadline_at)
            and spec.tasks > self.shard.chunk_tasks
            and not within_guarantee(self.shard.team, spec.cpus, spec.gpus)
        )

    @staticmethod
    def _has_unwritten(job: Job) -> bool:
        if job.outcome_ready or job.replaced_chunks:
            return True
        return job.reason_generation > job.durable_reason_generation or any(
            chunk.generation > chunk.durable_generation for chunk in job.chunks.values()
        )

    def _write_job(self, job: Job, transaction: Transaction) -> bool:
        """Add what of a job is not durable.

        Returns:
            Whether all of it fit into the transaction.
        """
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
        announced_apply = self.shard.write_limits.announced_apply
        is_gang = job.spec.kind == JobKind.GANG
        if is_gang and changed:
            # A gang is placed whole or not at all, so its chunks go into one transaction. If they
            # do not fit into one, they are written one after the other, and no run command is sent
            # before the last; a failover in between stops the attempt.
            size = sum(len(value) + CHUNK_ENVELOPE_BYTES for _, value in changed)
            if (
                len(changed) <= transaction.max_ops or not announced_apply
            ) and not transaction.has_room(len(changed), size):
                return False
        for chunk, value in changed:
            size = len(value) + CHUNK_ENVELOPE_BYTES
            if (not is_gang or announced_apply) and not transaction.has_room(1, size):
                return False
            transaction.put(job.chunk_path(chunk.index), msgspec.Raw(value), chunk.revision)
            transaction.conditions[job.job_path] = job.revision
            transaction.size_bytes += size
            transaction.on_commit.append(partial(self._chunk_durable, job, chunk, chunk.generation))
        return True

    def _delete_replaced_chunks(self, job: Job, transaction: Transaction) -> bool:
        """Delete the wider chunks that narrower ones have replaced.

        A wider chunk is deleted once all chunks that now hold its tasks are durable or become so
        with this transaction.

        Returns:
            Whether all such deletions fit into the transaction.
        """
        for suffix, wide in list(job.replaced_chunks.items()):
            if not all(
                chunk.generation <= chunk.durable_generation
                or job.chunk_path(chunk.index) in transaction.writes
                for chunk in job.chunks_covering(wide.low, wide.high)
            ):
                continue
            if not transaction.has_room(1, KEY_BYTES):
                return False
            transaction.put(job.work_path(suffix), None, wide.revision)
            transaction.size_bytes += KEY_BYTES
            transaction.on_commit.append(partial(self._replaced_chunk_deleted, job, suffix))
        return True

    def _write_reason(self, job: Job, transaction: Transaction) -> bool:
        record = job.record()
        size = JOB_RECORD_OPS * len(msgspec.json.encode(record))
        if size > JOB_RECORD_OPS * self.shard.write_limits.value_bytes:
            # The submission alone nearly fills a value: the reason is only in the owner's log.
            job.durable_reason_generation = job.reason_generation
            return True
        if not transaction.has_room(JOB_RECORD_OPS, size):
            return False
        transaction.put(job.job_path, record, job.revision)
        transaction.put(job.job_copy_path, record, job.revision)
        transaction.size_bytes += size
        transaction.on_commit.append(partial(self._reason_durable, job, job.reason_generation))
        return True

    def _changed_chunks(self, job: Job, max_chunks: int) -> list[tuple[Chunk, bytes]]:
        """Return the changed chunks with their encoded values, narrowed until each value fits.

        Of a gang these are all changed chunks, of any other job at most `max_chunks`.
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
            # Narrow in proportion to the excess, by at least a quarter so that this ends soon.
            fitting_tasks = job.chunk_tasks * self.shard.write_limits.value_bytes // largest
            job.narrow_chunks(max(1, min(fitting_tasks, job.chunk_tasks * 3 // 4)))
            log.info(
                "chunk too large, narrowed: job=%s bytes=%d chunk_tasks=%d",
                job.id,
                largest,
                job.chunk_tasks,
            )

    def _write_outcome(self, job: Job, transaction: Transaction) -> bool:
        """Write a job's outcome and delete its chunks.

        Chunks that do not fit into the transaction are deleted later.

        Returns:
            Whether the outcome fit into the transaction.
        """
        stored = [
            StoredKey(job.chunk_path(chunk.index), chunk.revision)
            for chunk in job.chunks.values()
            if chunk.revision
        ]
        stored += [
            StoredKey(job.work_path(suffix), wide.revision)
            for suffix, wide in job.replaced_chunks.items()
        ]
        max_deletions = max(0, transaction.max_ops - OUTCOME_RESERVED_OPS)
        deleted_now, deleted_later = stored[:max_deletions], stored[max_deletions:]
        record = fit_job_record(job.record(), self.shard.write_limits.value_bytes)
        ops = len(deleted_now) + JOB_RECORD_OPS
        size = KEY_BYTES * ops + len(msgspec.json.encode(record))
        if not transaction.has_room(ops, size):
            return False
        if job.phase is not JobPhase.CANCELLED:
            transaction.put(job.job_path, record, job.revision)
        transaction.put(job.job_copy_path, None, job.revision)
        for path, revision in deleted_now:
            transaction.put(path, None, revision)
        transaction.size_bytes += size
        transaction.on_commit.append(partial(self._outcome_committed, job, deleted_later))
        return True

    def _write_machine(self, machine: Machine, transaction: Transaction) -> None:
        """Write a machine's record if the machine is transferred or decommissioned.

        The record is also rewritten to raise the fencing token above that of a run command that the
        worker must not carry out.
        """
        is_transfer = (
            machine.target_shard is not None
            and machine.empty
            and machine.phase is MachinePhase.LEAVING
        )
        if not (is_transfer or machine.raise_token or machine.decommission_generation):
            return
        if not transaction.has_room(1, MACHINE_BYTES):
            return
        if is_transfer:
            machine.transfer_condition = machine.revision
        team = (
            machine.target_shard
            if is_transfer and machine.target_shard is not None
            else self.shard.name
        )
        transaction.put(
            f"machine/{machine.name}",
            fit_machine_record(machine.record(team), self.shard.write_limits.value_bytes),
            machine.revision,
        )
        transaction.size_bytes += MACHINE_BYTES
        transaction.on_commit.append(partial(self._machine_durable, machine, team))

    # -- after a commit ----------------------------------------------------------------------------

    def _committed(self, revision: int) -> None:
        self.committed_revision = max(self.committed_revision, revision)

    def _parks_durable(self, index: int, value: list[Any] | None, revision: int) -> None:
        self.shard.parks.set_written(index, value, revision)
        self.shard.parks.dirty = bool(self.shard.parks.pending_writes())

    def _machine_durable(self, machine: Machine, team: str, revision: int) -> None:
        machine.revision = revision
        machine.decommission_generation = 0
        if machine.raise_token:
            log.debug("fencing token raised: machine=%s token=%d", machine.name, revision)
        machine.raise_token = False
        if team != self.shard.name:
            log.info(
                "machine transferred: machine=%s from=%s to=%s",
                machine.name,
                self.shard.name,
                team or "unassigned",
            )
            self.shard.machines.pop(machine.name, None)

    def _chunk_durable(self, job: Job, chunk: Chunk, generation: int, revision: int) -> None:
        """Allow the run commands that waited for the chunk; a gang's only after its last chunk."""
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
                self.shard.urgent_machines[placement.machine] = None

    @staticmethod
    def _replaced_chunk_deleted(job: Job, suffix: str, _revision: int) -> None:
        job.set_chunk_revision(suffix, 0)

    @staticmethod
    def _reason_durable(job: Job, generation: int, revision: int) -> None:
        job.durable_reason_generation = generation
        job.revision = revision

    def _outcome_committed(self, job: Job, remaining: list[StoredKey], _revision: int) -> None:
        self._outcome_durable(job, remaining)

    def _outcome_durable(self, job: Job, remaining: list[StoredKey]) -> None:
        """Forget a job whose outcome is durable.

        Args:
            job: The job.
            remaining: Its chunks that have not been deleted yet.
        """
        self.obsolete_keys += remaining
        done = job.phase is JobPhase.OVER
        if done:
            log.info("job done: job=%s", job.id)
        elif job.phase is JobPhase.ORPHANED and job.cancelled_at is not None:
            log.info(
                "cancellation with a dependency written: job=%s waited_s=%.1f",
                job.id,
                max(0.0, self.shard.current_time - job.cancelled_at),
            )
        job.phase = JobPhase.FINAL
        for placement in list(job.live.values()):
            self.shard.drop_placement(placement, placement.placed_at)
        self.shard.parks.remove_job(job.id)
        self.shard.jobs.pop(job.id, None)
        self.shard.dependency_tracker.settled(
            job.id,
            JobStatus.DONE if done else JobStatus.WITHDRAWN,
            job.ended_at if done else job.cancelled_at,
            self.shard.current_time,
        )

    # -- conflicts ---------------------------------------------------------------------------------

    def apply_stored_value(self, path: str, value: Any, revision: int, now: float) -> None:
        """Apply the current value of a key after the condition on it failed.

        Only called while the shard is still owned here. Then the change can only come from a
        transaction of this owner that was applied late, from a cancellation, or from the leader,
        which decommissions failed machines and deletes the records of machines that are gone.

        Args:
            path: The key.
            value: Its value; None if it was deleted.
            revision: Its revision; 0 if it was deleted.
            now: Seconds since the epoch.
        """
        kind, _, rest = path.partition("/")
        if kind == "job":
            self._apply_stored_job(rest, value, revision, now)
        elif kind == "work":
            _, job_id, suffix = rest.split("/", 2)
            self._apply_stored_work(job_id, suffix, value, revision)
        elif kind == "park":
            self.shard.parks.set_written(int(rest.rsplit("/", 1)[1]), value, revision)
            self.shard.parks.dirty = True
        elif kind == "machine":
            self._apply_stored_machine(rest, value, revision, now)

    def _apply_stored_job(
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

    def _apply_stored_work(self, job_id: str, suffix: str, value: Any, revision: int) -> None:
        job = self.shard.jobs.get(job_id)
        if job is None:
            return
        if suffix != "job":
            job.set_chunk_revision(suffix, revision)
        elif value is None and job.phase is JobPhase.CANCELLED:
            self._outcome_durable(job, [])

    def _apply_stored_machine(
        self, name: str, record: dict[str, Any] | None, revision: int, now: float
    ) -> None:
        if record is None:
            self.shard.remove_machine(name, now)
        elif record.get("p") != self.shard.name:
            self.shard.machines.pop(name, None)
        else:
            self.shard.add_machine(name, record, revision, now)
