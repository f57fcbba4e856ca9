"""Ownership of one shard by this controller.

The owner claims the shard, loads it from the store, runs it, and releases it when the claim is lost
or transferred.
"""

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
from ashdock.core.transaction import Transaction
from ashdock.core.write_limits import WriteLimits
from ashdock.net.rate_limiter import RequestPriority
from ashdock.net.store import CompareFailedError, StoreClient, StoreUnavailableError
from ashdock.net.watch_cache import WatchCache
from ashdock.net.worker import WorkerClient
from ashdock.settings import Operators, Shared, Team, Workers
from ashdock.timelines import FailoverTimeline
from ashdock.wire.messages import Heartbeat, HeartbeatResponse, JobStatus, MachineType

log = logging.getLogger("ashdock.shard_owner")

MAX_CONCURRENT_DEPENDENCY_READS = 8
MAX_TRANSACTIONS_PER_ITERATION = 16  # so that external changes are handled in between
DEFERRED_CYCLE_CHECKS_PER_TICK = 16  # of whether a deferred scheduling cycle is due

ShardChange = Callable[[Shard], None]


class OwnershipPhase(Enum):
    """Phases in the ownership of a shard."""

    CLAIMING = "claiming"
    LOADING = "loading"
    ACTIVE = "active"
    LOST = "lost"


class KnownJobs(Protocol):
    """What this controller knows of the jobs of all shards."""

    def observe_job(self, job_id: str, value: dict[str, Any], revision: int) -> None:
        """Store the record of a job as of a revision."""
        ...

    async def outcome(self, job_id: str) -> tuple[str, float | None] | None:
        """Return the final status of a job and when it ended; None while it has not ended.

        Raises:
            StoreUnavailableError: The job record has to be read and the store does not answer.
        """
        ...


class ShardOwnerContext(Protocol):
    """What the owner of a shard uses of its controller.

    Attributes:
        label: Label of the controller.
        shared: The deployment's settings.
        operators: The operators' configuration.
        workers: Settings for workers.
        tick_s: Longest time between two iterations of a shard without changes, in seconds.
        batching_delay_s: Time to wait for more changes after the first, in seconds.
        rng: Source of random numbers.
        write_limits: Limits of the store for transactions and values.
        catalog: Machine types by name.
        store: Client of the store.
        machines: Records of all machines.
        shards: Claims of all shards.
        worker_client: Client for requests to workers.
    """

    label: str
    shared: Shared
    operators: Operators
    workers: Workers
    tick_s: float
    batching_delay_s: float
    rng: random.Random
    write_limits: WriteLimits
    catalog: dict[str, MachineType]
    store: StoreClient
    machines: WatchCache
    shards: WatchCache
    worker_client: WorkerClient

    @property
    def known_jobs(self) -> KnownJobs:
        """What the controller knows of jobs."""
        ...

    def now(self) -> float:
        """Current time, in seconds since the epoch."""
        ...

    def may_renew(self, read_at: float) -> bool:
        """Whether worker leases may be renewed for a shard.

        Args:
            read_at: Monotonic time at which the shard was loaded, in seconds.
        """
        ...

    def state_fresh(self) -> bool:
        """Whether the store answers: no request failed since a recent response."""
        ...

    def eligible_members(self) -> list[str]:
        """Labels of the controllers that may own shards."""
        ...

    def owned_shard_count(self) -> int:
        """Number of shards owned by this controller."""
        ...

    def forget_owner(self, owner: ShardOwner) -> None:
        """Remove an owner that has released its shard."""
        ...

    def job_changed(self, path: str, value: Any, revision: int) -> None:
        """Handle a job record like a change reported by the watch."""
        ...

    def send_claims(self) -> None:
        """Send the claims of the shards owned here to the other controllers."""
        ...

    def send_status_if_urgent(self, shard: Shard) -> None:
        """Send the shard's status to the leader if the shard has begun to request resources."""
        ...


class ShardOwner:
    """Claims a shard and runs it until the shard is released.

    An asyncio task of its own runs from construction to the release.

    Attributes:
        expected_revision: Revision of the shard's key that the claim replaces; 0: there is no key.
        shard: The shard; None until it has been claimed.
        wake: Event that ends the wait for the next iteration.
        ready: Event set once the shard has been loaded.
        transfer_to: Label of the controller that the leader wants to transfer the shard to, if any.
        read_at: Monotonic time at which loading began. Every cancellation confirmed until then is
            part of what was loaded.
        renews_worker_leases: Whether worker leases are renewed, as of the last check.
        buffered_changes: Changes received before the shard was loaded.
        last_cycle_at: When the last scheduling cycle began, in seconds since the epoch.
        next_cycle_at: Earliest start of the next scheduling cycle, in seconds since the epoch. The
            longer a cycle takes, the later the next one may start.
    """

    def __init__(self, context: ShardOwnerContext, team: Team, revision: int) -> None:
        """Start the task that claims the shard.

        Args:
            context: The controller.
            team: Team of the shard.
            revision: Revision of the shard's key that the claim replaces; 0 if there is no key.
        """
        self.context = context
        self.team = team
        self.expected_revision = revision
        self.phase = OwnershipPhase.CLAIMING
        self.shard: Shard | None = None
        self.wake = asyncio.Event()
        self.ready = asyncio.Event()
        self.transfer_to: str | None = None
        self.read_at = -math.inf
        self.renews_worker_leases = True
        self.buffered_changes: list[ShardChange] = []
        self.command_sender = CommandSender(context, self._is_active, self.wake)
        self.dependency_reader: asyncio.Task[None] | None = None
        self.last_cycle_at = -math.inf
        self.iteration_began_at = -math.inf
        self.next_cycle_at = 0.0
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
            "shard claimed and loaded: shard=%s token=%d jobs=%d machines=%d parks=%d "
            "cancelled=%d waiting=%d unread_dependencies=%d",
            self.team.name,
            shard.revision,
            len(shard.jobs),
            len(shard.machines),
            len(shard.parks.items),
            len(shard.cancelled_jobs),
            len(shard.dependency_tracker.graph.waiting),
            len(shard.dependency_tracker.unread),
        )

    def release(self, reason: str) -> None:
        """Stop acting for the shard; does nothing if it has been released before.

        Args:
            reason: Reason for the log.
        """
        if self.phase is OwnershipPhase.LOST:
            return
        log.info("shard no longer owned: shard=%s reason=%s", self.team.name, reason)
        self.phase = OwnershipPhase.LOST
        self.context.forget_owner(self)
        self.wake.set()

    # -- external input ------------------------------------------------------------------------

    def apply(self, change: ShardChange) -> None:
        """Apply a change to the shard, at once or when it has been loaded."""
        if self.phase is OwnershipPhase.ACTIVE and self.shard:
            change(self.shard)
            self.wake.set()
        elif self.phase is not OwnershipPhase.LOST:
            self.buffered_changes.append(change)

    def may_depend_on(self, job_id: str) -> bool:
        """Whether a job here may depend on the given one; true until the shard has been loaded."""
        return (
            self.shard is None
            or self.phase is not OwnershipPhase.ACTIVE
            or job_id in self.shard.dependency_tracker.graph.dependents
        )

    def _may_renew(self) -> bool:
        may_renew = self.context.may_renew(self.read_at)
        if may_renew is not self.renews_worker_leases:
            self.renews_worker_leases = may_renew
            if may_renew:
                log.info("worker leases are renewed again: shard=%s", self.team.name)
            else:
                log.info(
                    "worker leases are not renewed since cancellations may be unknown: shard=%s",
                    self.team.name,
                )
        return may_renew

    async def on_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatResponse | None:
        """Handle a worker's heartbeat.

        Waits for the shard to be loaded, but at most for half the workers' heartbeat interval.

        Returns:
            The response; None if the heartbeat must not be answered by this controller, or not yet.
        """
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
        # Most heartbeats report nothing new and require no iteration.
        if (
            shard.needs_scheduling
            or shard.writer.changed_jobs
            or shard.writer.changed_machines
            or shard.urgent_machines
        ):
            self.wake.set()
        return HeartbeatResponse(shard.token(shard.machines[heartbeat.machine]), commands)

    # -- main loop -----------------------------------------------------------------------------

    async def _run(self) -> None:
        try:
            shard = await self._claim()
            while self.phase is OwnershipPhase.ACTIVE:
                self.wake.clear()
                await self._run_iteration(shard)
                await self._wait_for_changes(shard)
        except CompareFailedError as error:
            self.release(f"claimed by another controller ({error})")
        except StoreUnavailableError as error:
            self.release(f"store unavailable: {error}")
        except StaleContextError as error:
            log.debug("shard owner ends: shard=%s reason=%s", self.team.name, error)
        # Whatever the error, the shard is released so that it can be claimed again.
        except Exception:
            log.exception("shard owner failed: shard=%s", self.team.name)
            self.release("internal error")

    async def _wait_for_changes(self, shard: Shard) -> None:
        try:
            async with asyncio.timeout(self._idle_s(shard)):
                await self.wake.wait()
                # Changes come in bursts; what arrives together is scheduled and written together.
                await asyncio.sleep(self.context.batching_delay_s)
        except TimeoutError:
            pass

    def _idle_s(self, shard: Shard) -> float:
        """Return how long to wait for changes; less if a scheduling cycle was deferred."""
        tick_s = self.context.tick_s
        if not shard.needs_scheduling:
            return tick_s
        return min(
            tick_s,
            max(self.next_cycle_at - self.context.now(), tick_s / DEFERRED_CYCLE_CHECKS_PER_TICK),
        )

    # -- claiming and loading ------------------------------------------------------------------

    async def _claim(self) -> Shard:
        """Claim the shard and load it.

        Raises:
            CompareFailedError: Another controller claimed it first.
            StoreUnavailableError: The store does not answer.
            StaleContextError: The shard was released meanwhile.
        """
        name = self.team.name
        path = f"part/{name}"
        value = {"owner": self.context.label}
        revision = await self.context.store.txn({path: self.expected_revision}, {path: value})
        self.context.shards.apply_own_write(path, value, revision)
        ensure_current(self.phase is OwnershipPhase.CLAIMING, "released while being claimed")
        shard = self._begin_loading(revision)
        self.read_at = time.monotonic()
        await self._load(shard)
        self._activate(shard)
        self.context.send_claims()
        return shard

    async def _load(self, shard: Shard) -> None:
        """Load the shard, to which no earlier owner can write any more since the claim."""
        store, name = self.context.store, self.team.name
        (machines, watermark), (work, _), (parks, _) = await asyncio.gather(
            store.list_prefix("machine/"),
            store.list_prefix(f"work/{name}/"),
            store.list_prefix(f"park/{name}/"),
        )
        # The shard may have been released meanwhile; a released owner must not become active again.
        ensure_current(self.phase is OwnershipPhase.LOADING, "released while being loaded")
        assigned = [
            (entry.path.split("/", 1)[1], entry.value, entry.revision)
            for entry in machines
            if entry.value["p"] == name
        ]
        shard.load(assigned, list(work), list(parks), self.context.now())
        for job in shard.jobs.values():
            # A job whose outcome has not been written has not ended for its user yet.
            if job.active:
                self.context.known_jobs.observe_job(job.id, job.record(), job.revision)
        shard.seen_revision = max(shard.seen_revision, watermark)

    # -- iteration -----------------------------------------------------------------------------

    async def _run_iteration(self, shard: Shard) -> None:
        """Run one iteration.

        Does the periodic work, runs a scheduling cycle if one is due, and sends the resulting
        writes and commands. If a transfer was requested, it is attempted instead.
        """
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
        self.context.send_status_if_urgent(shard)
        await self._write_changes(shard)
        self._send_urgent(shard)

    def _run_scheduling_cycle(self, shard: Shard, now: float) -> None:
        self.last_cycle_at = now
        shard.scheduler.schedule(now)
        self.failover_timeline.cycle_ended(shard.tasks_placed > 0, self.context.now())
        # Limits scheduling cycles to their share of the processor time, however large the shard.
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

        An outcome is final, so it holds whatever the watch reports meanwhile. Dependencies that are
        left when the store does not answer are read in a task of a later iteration.
        """
        known_jobs = self.context.known_jobs
        unread = shard.dependency_tracker.unread
        while unread and self.phase is OwnershipPhase.ACTIVE:
            job_ids = list(unread)[:MAX_CONCURRENT_DEPENDENCY_READS]
            try:
                outcomes = await asyncio.gather(*map(known_jobs.outcome, job_ids))
            except StoreUnavailableError:
                return
            log.info(
                "dependencies read: shard=%s outcomes=%s",
                shard.name,
                ",".join(
                    f"{job_id}:{outcome[0] if outcome else JobStatus.QUEUED}"
                    for job_id, outcome in zip(job_ids, outcomes, strict=True)
                ),
            )
            for job_id, outcome in zip(job_ids, outcomes, strict=True):
                unread.pop(job_id, None)
                if outcome is not None:
                    shard.dependency_tracker.settled(job_id, *outcome, self.context.now())
                    self.wake.set()

    async def _transfer(self, shard: Shard, to: str) -> None:
        """Write the next owner's label into the shard's key; that controller then claims the shard.

        Called between two transactions of this owner. Nothing is done if the other controller may
        not own shards or a direct command is in flight.
        """
        self.transfer_to = None
        if to not in self.context.eligible_members() or any(
            machine.sending_commands for machine in shard.machines.values()
        ):
            return
        path = f"part/{shard.name}"
        value = {"owner": to}
        try:
            revision = await self.context.store.txn({path: shard.revision}, {path: value})
        except StoreUnavailableError:
            # The write may still be applied. If it is, the condition on the claim fails the next
            # write here.
            return
        self.context.shards.apply_own_write(path, value, revision)
        self.release(f"transferred to {to}")

    # -- writing -------------------------------------------------------------------------------

    async def _write_changes(self, shard: Shard) -> None:
        """Write what is not durable yet, unless that keeps a scheduling cycle waiting.

        A transaction without a response is built again in the next iteration. Its conditions on
        revisions then show whether the first one was applied.
        """
        write_limiter = self.context.store.write_limiter
        for _ in range(MAX_TRANSACTIONS_PER_ITERATION):
            transaction = shard.writer.next_transaction(write_limiter.scarce, write_limiter.per_s)
            if transaction is None or self.phase is not OwnershipPhase.ACTIVE:
                return
            try:
                revision = await self.context.store.txn(
                    transaction.conditions,
                    transaction.writes,
                    priority=self._priority_of(transaction),
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

    @staticmethod
    def _priority_of(transaction: Transaction) -> RequestPriority:
        if transaction.overdue:
            return RequestPriority.USER
        return RequestPriority.NORMAL if transaction.urgent else RequestPriority.BACKGROUND

    def _on_commit(self, shard: Shard, transaction: Transaction, revision: int) -> None:
        for callback in transaction.on_commit:
            callback(revision)
        self._update_caches(transaction.writes, revision)
        log.debug(
            "transaction committed: shard=%s token=%d revision=%d writes=%d urgent=%s",
            shard.name,
            shard.revision,
            revision,
            len(transaction.writes),
            transaction.urgent,
        )
        if shard.tasks_placed:
            self.failover_timeline.placement_committed(self.context.now())
        # Sends run commands after each transaction, not only after the last one.
        self._send_urgent(shard)

    def _cycle_waits_for_writes(self, shard: Shard) -> bool:
        """Whether a scheduling cycle is due while the writes of this iteration take long.

        With a store that accepts few writes per second, 16 transactions took 9 seconds without a
        scheduling cycle in between.
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
                self.context.job_changed(path, value, revision)

    async def _resolve_conflict(self, shard: Shard, failed_keys: list[str]) -> bool:
        """Read the keys whose condition failed and apply their stored values.

        Args:
            shard: The shard.
            failed_keys: Paths of the keys; empty if the store did not name them.

        Returns:
            Whether the shard is still owned here.
        """
        claim_path = f"part/{shard.name}"
        for path in failed_keys or [claim_path]:
            entry = await self.context.store.get(path)
            ensure_current(self.phase is OwnershipPhase.ACTIVE, "released while being written")
            revision = entry.revision if entry else 0
            if path == claim_path:
                if revision != shard.revision:
                    self.release("claimed by another controller")
                    return False
                continue
            log.info(
                "applying stored value changed by another writer: shard=%s key=%s",
                shard.name,
                path,
            )
            shard.writer.apply_stored_value(
                path, entry.value if entry else None, revision, self.context.now()
            )
        return True

    def _send_urgent(self, shard: Shard) -> None:
        """Send the commands that cannot wait for the next heartbeat."""
        machine_names, shard.urgent_machines = shard.urgent_machines, {}
        if self.phase is OwnershipPhase.ACTIVE and self._may_renew():
            self.command_sender.send(shard, machine_names)
