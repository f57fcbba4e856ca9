"""Owns one shard: claims it, reads it back, runs it, and gives it up when the claim is lost or transferred."""

from __future__ import annotations

import asyncio
import logging
import math
import random
import time
from collections.abc import Callable
from enum import Enum
from typing import Any, Protocol

from ashdock.admission.processor import pause_s, shard_cpu_share
from ashdock.command_sender import CommandSender
from ashdock.concurrency import StaleContextError, ensure_current
from ashdock.core.shard import Shard
from ashdock.core.shard_writer import Transaction
from ashdock.core.write_limits import WriteLimits
from ashdock.net.rate_limiter import RequestPriority
from ashdock.net.store import CompareFailedError, StoreClient, StoreUnavailableError
from ashdock.net.watch_cache import WatchCache
from ashdock.net.worker import WorkerClient
from ashdock.settings import Operators, Shared, Team, Workers
from ashdock.timelines import FailoverTimeline
from ashdock.wire.messages import Heartbeat, HeartbeatResponse, MachineType

log = logging.getLogger("ashdock.shard_owner")

DEPENDENCY_READS_AT_ONCE = 8  # reads of the store under way for the outcomes of dependencies
TRANSACTIONS_PER_ITERATION = 16  # so that changes from outside are looked at in between
# A scheduling cycle that was put off is looked at again this many times as often as one is due.
DEFERRED_CYCLE_CHECKS = 16

ShardChange = Callable[[Shard], None]


class OwnershipPhase(Enum):
    """How far the ownership of a shard has come."""

    CLAIMING = "claiming"
    LOADING = "loading"
    ACTIVE = "active"
    LOST = "lost"


class JobsKnown(Protocol):
    """What this controller remembers of jobs, whoever owns them."""

    def observe_job(self, job_id: str, value: dict[str, Any], revision: int) -> None:
        """Remember a job's record of the given revision."""
        ...

    async def outcome(self, job_id: str) -> tuple[str, float | None] | None:
        """The status and time of the end of a job; None while it has none.

        Raises:
            StoreUnavailableError: it has to be read, and the store does not answer.
        """
        ...


class ShardOwnerContext(Protocol):
    """What the owner of a shard needs of its controller."""

    label: str
    shared: Shared
    operators: Operators
    workers: Workers
    tick_s: float
    gather_s: float
    rng: random.Random
    write_limits: WriteLimits
    catalog: dict[str, MachineType]
    store: StoreClient
    machines: WatchCache
    shards: WatchCache
    worker_client: WorkerClient

    @property
    def jobs_known(self) -> JobsKnown:
        """The controller's memory of jobs."""
        ...

    def now(self) -> float:
        """The time of day in seconds, as all that is stored counts it."""
        ...

    def may_renew(self, read_at: float) -> bool:
        """Whether agent leases may be renewed for a shard that was read at `read_at`, by the monotonic clock."""
        ...

    def state_fresh(self) -> bool:
        """Whether the store has answered lately."""
        ...

    def fit_members(self) -> list[str]:
        """The labels of the controllers that may own shards."""
        ...

    def owned_shard_count(self) -> int:
        """How many shards this controller owns."""
        ...

    def let_go(self, owner: ShardOwner) -> None:
        """Forget an owner that has given up its shard."""
        ...

    def jobs_seen(self, path: str, value: Any, revision: int) -> None:
        """Take in a job's record as if the watch had brought it."""
        ...

    def send_claims(self) -> None:
        """Tell the other controllers which shards are owned here."""
        ...

    def tell_leader(self, shard: Shard) -> None:
        """Send the leader the shard's status, if it has changed in what cannot wait."""
        ...


class ShardOwner:
    """The one controller's actor for a shard, from the claim on. A task of its own runs from construction to the end."""

    def __init__(self, context: ShardOwnerContext, team: Team, revision: int) -> None:
        """Start to claim.

        Args:
            context: the controller.
            team: the team that the shard belongs to.
            revision: of the shard's key as found; the claim replaces that revision only. 0: there is no key.
        """
        self.context = context
        self.team = team
        self.claimed_from = revision
        self.phase = OwnershipPhase.CLAIMING
        self.shard: Shard | None = None
        self.wake = asyncio.Event()
        self.ready = asyncio.Event()
        self.transfer_to: str | None = None  # the controller that the leader wants to own the shard
        # By the monotonic clock: each cancellation that was confirmed until then was read with the shard.
        self.read_at = -math.inf
        self.renewing = True  # whether agent leases are renewed, as last logged
        self.buffered_changes: list[ShardChange] = []  # seen while the shard was being read
        self.command_sender = CommandSender(context, self._is_active, self.wake)
        self.dependency_reader: asyncio.Task[None] | None = None
        self.last_cycle_at = -math.inf  # when the last scheduling cycle began
        self.iteration_began_at = -math.inf
        self.next_cycle_at = 0.0  # a cycle that took long is not followed by another at once
        self.failover_timeline = FailoverTimeline(team.name, context.now())
        self.task = asyncio.create_task(self._run())

    # -- phases --------------------------------------------------------------------------------

    def _is_active(self) -> bool:
        return self.phase is OwnershipPhase.ACTIVE

    def _begin_loading(self, revision: int) -> Shard:
        self.phase = OwnershipPhase.LOADING
        self.failover_timeline.claimed(self.context.now())
        shard = self.shard = Shard(
            self.team,
            revision,
            self.context.shared,
            self.context.operators,
            self.context.catalog,
            random.Random(self.context.rng.random()),
            self.context.write_limits,
        )
        return shard

    def _activate(self, shard: Shard) -> None:
        self.phase = OwnershipPhase.ACTIVE
        self.failover_timeline.loaded(shard.inherited_machines, self.context.now())
        for change in self.buffered_changes:
            change(shard)
        self.buffered_changes.clear()
        self.ready.set()
        log.info(
            "shard claimed and read back: shard=%s token=%d jobs=%d machines=%d parks=%d",
            self.team.name,
            shard.revision,
            len(shard.jobs),
            len(shard.machines),
            len(shard.parks.items),
        )

    def release(self, reason: str) -> None:
        """Stop acting for the shard; the claim is lost, transferred, or of no more use. Once only."""
        if self.phase is OwnershipPhase.LOST:
            return
        log.info("shard no longer owned: shard=%s reason=%s", self.team.name, reason)
        self.phase = OwnershipPhase.LOST
        self.context.let_go(self)
        self.wake.set()

    # -- input from outside --------------------------------------------------------------------

    def apply(self, change: ShardChange) -> None:
        """Apply a change to the shard, now or as soon as it has been read."""
        if self.phase is OwnershipPhase.ACTIVE and self.shard:
            change(self.shard)
            self.wake.set()
        elif self.phase is not OwnershipPhase.LOST:
            self.buffered_changes.append(change)

    def waits_for(self, job_id: str) -> bool:
        """Whether a job here may depend on the given one; yes as long as the shard has not been read."""
        return (
            self.shard is None
            or self.phase is not OwnershipPhase.ACTIVE
            or job_id in self.shard.dependency_tracker.graph.dependents
        )

    def _may_renew(self) -> bool:
        may_renew = self.context.may_renew(self.read_at)
        if may_renew is not self.renewing:
            self.renewing = may_renew
            if may_renew:
                log.info("agent leases renewed again: shard=%s", self.team.name)
            else:
                log.info(
                    "agent leases not renewed, cancellations may be unknown: shard=%s",
                    self.team.name,
                )
        return may_renew

    async def on_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatResponse | None:
        """Take a worker's heartbeat in. None: it may not be answered from here, or not yet."""
        if self.phase is not OwnershipPhase.ACTIVE:
            try:
                async with asyncio.timeout(self.context.workers.report_s / 2):
                    await self.ready.wait()
            except TimeoutError:
                return None
        shard = self.shard
        if self.phase is not OwnershipPhase.ACTIVE or shard is None or not self._may_renew():
            return None
        commands = shard.reconciler.on_heartbeat(heartbeat, self.context.now(), checkin=True)
        if commands is None:
            return None
        self.failover_timeline.heartbeat_received(self.context.now())
        # Most heartbeats say nothing new, and call for no iteration.
        if (
            shard.needs_scheduling
            or shard.writer.changed_jobs
            or shard.writer.changed_machines
            or shard.urgent_machines
        ):
            self.wake.set()
        return HeartbeatResponse(shard.token(shard.machines[heartbeat.machine]), commands)

    # -- the task ------------------------------------------------------------------------------

    async def _run(self) -> None:
        try:
            shard = await self._claim()
            while self.phase is OwnershipPhase.ACTIVE:
                self.wake.clear()
                await self._run_iteration(shard)
                await self._wait_for_changes(shard)
        except CompareFailedError as error:
            self.release(f"claimed by another ({error})")
        except StoreUnavailableError as error:
            self.release(f"the store: {error}")
        except StaleContextError as error:
            log.debug("shard owner ends: shard=%s reason=%s", self.team.name, error)
        except (
            Exception
        ):  # the top of a task: whatever it is, another controller must be able to claim
            log.exception("shard owner failed: shard=%s", self.team.name)
            self.release("an error of ours")

    async def _wait_for_changes(self, shard: Shard) -> None:
        try:
            async with asyncio.timeout(self._idle_s(shard)):
                await self.wake.wait()
                # Changes come in bursts: what arrives together is decided and written together.
                await asyncio.sleep(self.context.gather_s)
        except TimeoutError:
            pass

    def _idle_s(self, shard: Shard) -> float:
        """How long to wait for changes before the next iteration; less if a scheduling cycle was put off."""
        tick_s = self.context.tick_s
        if not shard.needs_scheduling:
            return tick_s
        return min(
            tick_s, max(self.next_cycle_at - self.context.now(), tick_s / DEFERRED_CYCLE_CHECKS)
        )

    # -- claiming and reading back -------------------------------------------------------------

    async def _claim(self) -> Shard:
        """Claim the shard and read it back.

        Raises:
            CompareFailedError: another controller has claimed it first.
            StoreUnavailableError: the store does not answer.
            StaleContextError: it was given up meanwhile.
        """
        name = self.team.name
        path = f"part/{name}"
        value = {"owner": self.context.label}
        revision = await self.context.store.txn({path: self.claimed_from}, {path: value})
        self.context.shards.apply_own_write(path, value, revision)
        ensure_current(self.phase is OwnershipPhase.CLAIMING, "given up while it was being claimed")
        shard = self._begin_loading(revision)
        self.read_at = time.monotonic()
        await self._load(shard)
        self._activate(shard)
        self.context.send_claims()
        return shard

    async def _load(self, shard: Shard) -> None:
        """Read all of the shard; after the claim no earlier owner can write to it any more."""
        store, name = self.context.store, self.team.name
        (machines, watermark), (work, _), (parks, _) = await asyncio.gather(
            store.list_prefix("machine/"),
            store.list_prefix(f"work/{name}/"),
            store.list_prefix(f"park/{name}/"),
        )
        # Another may have claimed it meanwhile: an owner that was given up must not become active again.
        ensure_current(self.phase is OwnershipPhase.LOADING, "given up while it was being read")
        assigned = [
            (entry.path.split("/", 1)[1], entry.value, entry.revision)
            for entry in machines
            if entry.value["p"] == name
        ]
        shard.load(assigned, list(work), list(parks), self.context.now())
        for job in shard.jobs.values():
            if job.active:  # one whose outcome is still to be written is not over for its user yet
                self.context.jobs_known.observe_job(job.id, job.record(), job.revision)
        shard.seen_revision = max(shard.seen_revision, watermark)

    # -- one iteration -------------------------------------------------------------------------

    async def _run_iteration(self, shard: Shard) -> None:
        """Periodic work, a scheduling cycle if one is due, then the writes and commands that come of it."""
        if self.transfer_to is not None:
            await self._transfer(shard, self.transfer_to)
            return
        now = self.iteration_began_at = self.context.now()
        shard.tick(now)
        if shard.dependency_tracker.unread and (
            self.dependency_reader is None or self.dependency_reader.done()
        ):
            self.dependency_reader = asyncio.create_task(self._read_dependencies(shard))
        if not self.context.state_fresh():
            shard.resource_requests = []
        elif self._cycle_due(shard, now):
            self._run_scheduling_cycle(shard, now)
        self.context.tell_leader(shard)
        await self._write_changes(shard)
        self._send_urgent(shard)

    def _run_scheduling_cycle(self, shard: Shard, now: float) -> None:
        self.last_cycle_at = now
        shard.scheduler.schedule(now)
        self.failover_timeline.cycle_ended(shard.tasks_placed > 0, self.context.now())
        # Cycles get no more than their share of the processor, however large the shard.
        ended_at = self.context.now()
        self.next_cycle_at = ended_at + pause_s(
            ended_at - now, shard_cpu_share(self.context.owned_shard_count())
        )

    def _cycle_due(self, shard: Shard, now: float) -> bool:
        return now >= self.next_cycle_at and (
            shard.needs_scheduling or now - self.last_cycle_at > self.context.tick_s
        )

    async def _read_dependencies(self, shard: Shard) -> None:
        """Look up the outcomes of dependencies that may have ended before the watch began.

        An outcome is final, so what is read here holds whatever the watch brings meanwhile. What is left when the store
        does not answer is read after a later iteration.
        """
        jobs = self.context.jobs_known
        unread = shard.dependency_tracker.unread
        while unread and self.phase is OwnershipPhase.ACTIVE:
            job_ids = list(unread)[:DEPENDENCY_READS_AT_ONCE]
            try:
                outcomes = await asyncio.gather(*map(jobs.outcome, job_ids))
            except StoreUnavailableError:
                return
            for job_id, outcome in zip(job_ids, outcomes, strict=True):
                unread.pop(job_id, None)
                if outcome is not None:
                    shard.dependency_tracker.settled(job_id, *outcome, self.context.now())
                    self.wake.set()

    async def _transfer(self, shard: Shard, to: str) -> None:
        """Name the next owner in the shard's key, between two of our own transactions. It claims on seeing that."""
        self.transfer_to = None
        if to not in self.context.fit_members() or any(
            machine.sending_commands for machine in shard.machines.values()
        ):
            return
        path = f"part/{shard.name}"
        value = {"owner": to}
        try:
            revision = await self.context.store.txn({path: shard.revision}, {path: value})
        except StoreUnavailableError:
            # It may still be applied. If it was, the condition on the claim fails our next write.
            return
        self.context.shards.apply_own_write(path, value, revision)
        self.release(f"given to {to}")

    # -- writing -------------------------------------------------------------------------------

    async def _write_changes(self, shard: Shard) -> None:
        """Write what is not durable yet, as long as no scheduling cycle is kept waiting by it.

        A transaction that was not answered is built again in the next iteration; the revisions show then whether it was
        applied.
        """
        writes = self.context.store.write_limiter
        for _ in range(TRANSACTIONS_PER_ITERATION):
            transaction = shard.writer.next_transaction(writes.scarce, writes.per_s)
            if transaction is None or self.phase is not OwnershipPhase.ACTIVE:
                return
            try:
                revision = await self.context.store.txn(
                    transaction.conditions,
                    transaction.writes,
                    priority=RequestPriority.NORMAL
                    if transaction.urgent
                    else RequestPriority.BACKGROUND,
                    team=shard.name,
                )
            except CompareFailedError as error:
                if not await self._resolve_conflict(shard, error.failed_keys):
                    return
                continue
            except StoreUnavailableError:
                return
            self._on_commit(shard, transaction, revision)
            if self._cycle_waits_for_writes(shard):
                return

    def _on_commit(self, shard: Shard, transaction: Transaction, revision: int) -> None:
        for callback in transaction.on_commit:
            callback(revision)
        self._update_caches(transaction.writes, revision)
        if shard.tasks_placed:
            self.failover_timeline.placement_committed(self.context.now())
        # Run commands go out between transactions, not after the last of them.
        self._send_urgent(shard)

    def _cycle_waits_for_writes(self, shard: Shard) -> bool:
        """Whether a scheduling cycle is due while the writes of this iteration take long.

        Where the store takes few changes a second, sixteen transactions took nine seconds without a cycle in between.
        """
        now = self.context.now()
        return (
            now - self.iteration_began_at > self.context.workers.report_s / 4
            and self._cycle_due(shard, now)
        )

    def _update_caches(self, writes: dict[str, Any], revision: int) -> None:
        for path, value in writes.items():
            if path.startswith("machine/"):
                self.context.machines.apply_own_write(path, value, revision)
            elif path.startswith("job/"):
                self.context.jobs_seen(path, value, revision)

    async def _resolve_conflict(self, shard: Shard, failed: list[str]) -> bool:
        """Read the keys whose condition failed and take their values in.

        Args:
            shard: the shard.
            failed: their paths; empty if the store did not say which.

        Returns:
            Whether the shard is still ours.
        """
        claim_path = f"part/{shard.name}"
        for path in failed or [claim_path]:
            entry = await self.context.store.get(path)
            ensure_current(
                self.phase is OwnershipPhase.ACTIVE, "given up while it was being written"
            )
            revision = entry.revision if entry else 0
            if path == claim_path:
                if revision != shard.revision:
                    self.release("claimed by another")
                    return False
                continue
            log.info(
                "stored value changed by another writer, taken in: shard=%s key=%s",
                shard.name,
                path,
            )
            shard.writer.apply_stored_value(
                path, entry.value if entry else None, revision, self.context.now()
            )
        return True

    def _send_urgent(self, shard: Shard) -> None:
        """Send the commands that are not to wait for the next heartbeat."""
        machine_names, shard.urgent_machines = shard.urgent_machines, {}
        if self.phase is OwnershipPhase.ACTIVE and self._may_renew():
            self.command_sender.send(shard, machine_names)
