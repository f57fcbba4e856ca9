"""Owning a shard: claim it, rebuild it, run it, and let go when the claim is lost."""

from __future__ import annotations

import asyncio
import logging
import math
import random
import time
from collections.abc import Callable
from enum import Enum
from typing import Any, Protocol

from ashdock.admission.processor import pass_share, pause_s
from ashdock.concurrency import StaleContextError, ensure_current
from ashdock.core.machine import Machine
from ashdock.core.shard import Shard
from ashdock.core.write_limits import WriteLimits
from ashdock.net.http import NoAnswer
from ashdock.net.rate_limiter import RequestPriority
from ashdock.net.store import CompareFailedError, StoreClient, StoreUnavailableError
from ashdock.net.watch_cache import WatchCache
from ashdock.net.worker import WorkerClient
from ashdock.settings import Operators, Shared, Team, Workers
from ashdock.timelines import FailoverTimeline
from ashdock.wire.messages import Heartbeat, HeartbeatResponse, MachineType, TaskCommand

log = logging.getLogger("ashdock.shard_owner")

SAID = (200, 400, 409)  # by a worker that has dealt with orders, or refused them
READS_AT_ONCE = 8  # of jobs that ours wait for, after a takeover


class OwnershipPhase(Enum):
    CLAIMING = "claiming"
    LOADING = "loading"
    ACTIVE = "active"
    LOST = "lost"


class JobsKnown(Protocol):
    """What this controller remembers of jobs, whoever owns them."""

    def saw(self, job_id: str, value: dict[str, Any], revision: int) -> None: ...

    async def outcome(self, job_id: str) -> tuple[str, float | None] | None: ...


class ShardOwnerContext(Protocol):
    """What of its controller the owner of a shard uses, and no more."""

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
    def jobs_known(self) -> JobsKnown: ...

    def now(self) -> float: ...

    def may_renew(self, read_at: float) -> bool: ...

    def state_fresh(self) -> bool: ...

    def fit_members(self) -> list[str]: ...

    def owned_shard_count(self) -> int: ...

    def let_go(self, owner: ShardOwner) -> None: ...

    def jobs_seen(self, path: str, value: Any, revision: int) -> None: ...

    def send_claims(self) -> None: ...

    def tell_leader(self, shard: Shard) -> None: ...


class ShardOwner:
    def __init__(self, context: ShardOwnerContext, team: Team, revision: int) -> None:
        self.context = context
        self.team = team
        self.claimed_from = revision
        self.phase = OwnershipPhase.CLAIMING
        self.shard: Shard | None = None
        self.wake = asyncio.Event()
        self.ready = asyncio.Event()
        self.give_to: str | None = None  # the leader wants another controller to have the shard
        self.read_at = (
            -math.inf
        )  # by the steady clock: each cancellation confirmed until then was read with the shard
        self.renews = True  # as the log has told
        self.early: list[
            Callable[[Shard], None]
        ] = []  # changes seen while the shard was being read
        self.sends: set[asyncio.Task[None]] = set()
        self.reading: asyncio.Task[None] | None = None  # how the jobs stand that ours wait for
        self.passed_at = -1e9  # when the last scheduling pass began
        self.turned_at = -1e9  # when the turn under way began
        self.pass_after = 0.0  # a pass that took long is not followed by another at once
        self.failover_timeline = FailoverTimeline(team.name, context.now())
        self.task = asyncio.create_task(self._run())

    # -- changes of state ------------------------------------------------------------------------

    def _claimed(self, revision: int) -> None:
        self.phase = OwnershipPhase.LOADING
        self.failover_timeline.claimed(self.context.now())
        self.shard = Shard(
            self.team,
            revision,
            self.context.shared,
            self.context.operators,
            self.context.catalog,
            random.Random(self.context.rng.random()),
            self.context.write_limits,
        )

    def _loaded(self) -> None:
        self.phase = OwnershipPhase.ACTIVE
        assert self.shard
        self.failover_timeline.loaded(self.shard.taken, self.context.now())
        for change in self.early:
            change(self.shard)
        self.early.clear()
        self.ready.set()
        log.info(
            "part %s is ours with token %d: %d jobs, %d machines, %d parks",
            self.team.name,
            self.shard.revision,
            len(self.shard.jobs),
            len(self.shard.machines),
            len(self.shard.parks.items),
        )

    def lost(self, why: str) -> None:
        if self.phase is OwnershipPhase.LOST:
            return
        log.info("part %s is no longer ours: %s", self.team.name, why)
        self.phase = OwnershipPhase.LOST
        self.context.let_go(self)
        self.wake.set()

    # -- what others tell us -----------------------------------------------------------------------

    def note(self, change: Callable[[Shard], None]) -> None:
        """A change to take in, now or as soon as the shard is read."""
        if self.phase is OwnershipPhase.ACTIVE and self.shard:
            change(self.shard)
            self.wake.set()
        elif self.phase is not OwnershipPhase.LOST:
            self.early.append(change)

    def waits_for(self, job_id: str) -> bool:
        """Whether the outcome of a job is of any use here. While the shard is being read that is not known."""
        return (
            self.shard is None
            or self.phase is not OwnershipPhase.ACTIVE
            or job_id in self.shard.dependency_tracker.graph.after
        )

    def _may_renew(self) -> bool:
        may = self.context.may_renew(self.read_at)
        if may is not self.renews:
            self.renews = may
            log.info(
                "part %s: workers are %s",
                self.team.name,
                "renewed again" if may else "not renewed: cancellations may be unknown here",
            )
        return may

    async def report(self, report: Heartbeat) -> HeartbeatResponse | None:
        if self.phase is not OwnershipPhase.ACTIVE:
            try:
                async with asyncio.timeout(self.context.workers.report_s / 2):
                    await self.ready.wait()
            except TimeoutError:
                return None
        shard = self.shard
        if self.phase is not OwnershipPhase.ACTIVE or shard is None or not self._may_renew():
            return None
        orders = shard.reconciler.on_heartbeat(report, self.context.now(), checkin=True)
        if orders is None:
            return None
        self.failover_timeline.heartbeat_received(self.context.now())
        if shard.stale or shard.writer.touched or shard.writer.changing or shard.urgent:
            self.wake.set()  # most reports say nothing new, and call for no turn
        return HeartbeatResponse(shard.token(shard.machines[report.machine]), orders)

    # -- the loop ------------------------------------------------------------------------------------

    async def _run(self) -> None:
        try:
            await self._claim()
            while self.phase is OwnershipPhase.ACTIVE:
                self.wake.clear()
                await self._turn()
                try:
                    async with asyncio.timeout(self._pause()):
                        await self.wake.wait()
                        # Things come in bunches: what arrives together is decided and written together.
                        await asyncio.sleep(self.context.gather_s)
                except TimeoutError:
                    pass
        except CompareFailedError as why:
            self.lost(f"claimed by another ({why})")
        except StoreUnavailableError as why:
            self.lost(f"the state service: {why}")
        except StaleContextError as why:
            log.debug("part %s: %s", self.team.name, why)
        except Exception:
            log.exception("part %s", self.team.name)
            self.lost("an error of ours")

    async def _claim(self) -> None:
        name = self.team.name
        path = f"part/{name}"
        store = self.context.store
        value = {"owner": self.context.label}
        revision = await store.txn({path: self.claimed_from}, {path: value})
        self.context.shards.apply_own_write(path, value, revision)
        ensure_current(self.phase is OwnershipPhase.CLAIMING, "given up while it was being claimed")
        self._claimed(revision)
        shard = self.shard
        assert shard
        self.read_at = time.monotonic()
        # Read after the claim: no earlier owner can write from here on, so this is all there is.
        (machines, seen), (work, _), (parks, _) = await asyncio.gather(
            store.list_prefix("machine/"),
            store.list_prefix(f"work/{name}/"),
            store.list_prefix(f"park/{name}/"),
        )
        # Another may have claimed it meanwhile: one that let go here used to come back to life as nobody's owner.
        ensure_current(self.phase is OwnershipPhase.LOADING, "given up while it was being read")
        mine = [
            (entry.path.split("/", 1)[1], entry.value, entry.revision)
            for entry in machines
            if entry.value["p"] == name
        ]
        shard.load(mine, list(work), list(parks), self.context.now())
        for job in shard.jobs.values():
            if job.active:  # one whose outcome is still to be written is not over for its user yet
                self.context.jobs_known.saw(job.id, job.record(), job.revision)
        shard.seen = max(shard.seen, seen)
        self._loaded()
        self.context.send_claims()

    async def _turn(self) -> None:
        shard = self.shard
        assert shard
        if self.give_to is not None:
            await self._give(shard, self.give_to)
            return
        now = self.turned_at = self.context.now()
        shard.tick(now)
        if shard.dependency_tracker.unread and (self.reading is None or self.reading.done()):
            self.reading = asyncio.create_task(self._read_needs(shard))
        if not self.context.state_fresh():
            shard.resource_requests = []
        elif self._pass_due(shard, now):
            self.passed_at = now
            shard.scheduler.schedule(now)
            self.failover_timeline.cycle_ended(shard.placed > 0, self.context.now())
            # No more than its share of the processor goes into passes, however large the shard.
            ended = self.context.now()
            self.pass_after = ended + pause_s(
                ended - now, pass_share(self.context.owned_shard_count())
            )
        self.context.tell_leader(shard)
        await self._commit(shard)
        self._send_urgent(shard)

    def _pass_due(self, shard: Shard, now: float) -> bool:
        return now >= self.pass_after and (
            shard.stale or now - self.passed_at > self.context.tick_s
        )

    async def _read_needs(self, shard: Shard) -> None:
        """The watch brings every outcome from here on; what was over before has to be looked up. Its word goes for good,
        whatever the watch brings meanwhile."""
        jobs = self.context.jobs_known
        unread = shard.dependency_tracker.unread
        while unread and self.phase is OwnershipPhase.ACTIVE:
            needs = list(unread)[:READS_AT_ONCE]
            try:
                outcomes = await asyncio.gather(*map(jobs.outcome, needs))
            except StoreUnavailableError:
                return  # asked again with the next turn
            for need, outcome in zip(needs, outcomes, strict=True):
                unread.pop(need, None)
                if outcome is not None:
                    shard.dependency_tracker.settled(need, *outcome, self.context.now())
                    self.wake.set()

    def _pause(self) -> float:
        """Until the next turn, if nothing wakes us: sooner where a pass had to be put off."""
        shard = self.shard
        tick_s = self.context.tick_s
        if shard and shard.stale:
            return min(tick_s, max(self.pass_after - self.context.now(), tick_s / 16))
        return tick_s

    async def _give(self, shard: Shard, to: str) -> None:
        """Name the next owner in the shard's key, between two of our own transactions. It claims on seeing that."""
        self.give_to = None
        if to not in self.context.fit_members() or any(
            machine.sending for machine in shard.machines.values()
        ):
            return
        path = f"part/{shard.name}"
        value = {"owner": to}
        try:
            revision = await self.context.store.txn({path: shard.revision}, {path: value})
        except StoreUnavailableError:
            # It may yet be applied. Until we know, the fence tells: our next write fails if it was.
            return
        self.context.shards.apply_own_write(path, value, revision)
        self.lost(f"given to {to}")

    async def _commit(self, shard: Shard) -> None:
        store = self.context.store
        for _ in range(16):
            txn = shard.writer.next_transaction(
                store.write_limiter.scarce, store.write_limiter.per_s
            )
            if txn is None or self.phase is not OwnershipPhase.ACTIVE:
                return
            try:
                revision = await store.txn(
                    txn.when,
                    txn.writes,
                    priority=RequestPriority.NORMAL if txn.urgent else RequestPriority.BACKGROUND,
                    team=shard.name,
                )
            except CompareFailedError as why:
                if not await self._reread(shard, why.failed_keys):
                    return
                continue
            except StoreUnavailableError:
                return  # tried again at the next turn; whether it was applied shows then by the revisions
            for callback in txn.on_commit:
                callback(revision)
            self._publish(txn.writes, revision)
            if shard.placed:
                self.failover_timeline.placement_committed(self.context.now())
            # Starts go out between transactions, not after the last of them.
            self._send_urgent(shard)
            # Nor is what could start meanwhile, or is late, to wait for the last: where the state service takes few changes a
            # second, sixteen transactions took nine seconds, and no pass was made (cvbc rollout: 5 s a step of a pipeline).
            now = self.context.now()
            if now - self.turned_at > self.context.workers.report_s / 4 and self._pass_due(
                shard, now
            ):
                return

    def _publish(self, writes: dict[str, Any], revision: int) -> None:
        for path, value in writes.items():
            if path.startswith("machine/"):
                self.context.machines.apply_own_write(path, value, revision)
            elif path.startswith("job/"):
                self.context.jobs_seen(path, value, revision)

    async def _reread(self, shard: Shard, failed: list[str]) -> bool:
        fence = f"part/{shard.name}"
        for path in failed or [fence]:
            entry = await self.context.store.get(path)
            ensure_current(
                self.phase is OwnershipPhase.ACTIVE, "given up while it was being written"
            )
            revision = entry.revision if entry else 0
            if path == fence:
                if revision != shard.revision:
                    self.lost("claimed by another")
                    return False
                continue
            log.info("part %s: %s had changed; taken in", shard.name, path)
            shard.writer.take_in_stored(
                path, entry.value if entry else None, revision, self.context.now()
            )
        return True

    # -- orders sent directly --------------------------------------------------------------------------

    def _send_urgent(self, shard: Shard) -> None:
        urgent, shard.urgent = shard.urgent, {}
        if self.phase is not OwnershipPhase.ACTIVE or not self._may_renew():
            return
        for name in urgent:
            machine = shard.machines.get(name)
            if machine is None:
                continue
            if machine.sending:
                shard.urgent[name] = None
                continue
            orders = shard.direct(machine, self.context.now())
            if orders:
                machine.sending = True
                task = asyncio.create_task(self._send(shard, machine, orders, shard.token(machine)))
                self.sends.add(task)
                task.add_done_callback(self.sends.discard)

    async def _send(
        self, shard: Shard, machine: Machine, orders: list[TaskCommand], token: int
    ) -> None:
        # Under the token that the starts are noted with. It may rise before this runs; sent under the higher one, a start that
        # arrives late would be taken though it counted as harmless.
        try:
            status, report = await self.context.worker_client.send_commands(
                machine.address, token, machine.incarnation, orders
            )
            # Anything else was not said by the worker, which may still carry them out.
            (shard.direct_answered if status in SAID else shard.direct_unanswered)(machine, orders)
            if (
                report is not None
                and report.machine == machine.name
                and self.phase is OwnershipPhase.ACTIVE
            ):
                shard.reconciler.on_heartbeat(report, self.context.now(), checkin=False)
            if status != 200:
                log.debug("machine %s did not take orders: %d", machine.name, status)
        except NoAnswer as why:
            if why.sent:
                shard.direct_unanswered(machine, orders)
            else:
                shard.direct_answered(machine, orders)
            log.debug("machine %s did not answer: %s", machine.name, why)
        finally:
            machine.sending = False
            self.wake.set()
