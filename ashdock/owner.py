"""Owning a part: claim it, rebuild it, run it, and let go when the claim is lost."""

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
from ashdock.again import Overtaken, held
from ashdock.core.bounds import Bounds
from ashdock.core.machine import Machine
from ashdock.core.part import Part
from ashdock.net.budget import Turn
from ashdock.net.http import NoAnswer
from ashdock.net.store import CompareFailedError, StoreClient, StoreUnavailableError, WatchCache
from ashdock.net.worker import WorkerClient
from ashdock.recovery import Takeover
from ashdock.settings import Operators, Shared, Team, Workers
from ashdock.wire.messages import MachineType, Order, Orders, Report

log = logging.getLogger("ashdock.owner")

SAID = (200, 400, 409)  # by a worker that has dealt with orders, or refused them
READS_AT_ONCE = 8  # of jobs that ours wait for, after a takeover


class OwnerPhase(Enum):
    CLAIMING = "claiming"
    LOADING = "loading"
    ACTIVE = "active"
    LOST = "lost"


class JobsKnown(Protocol):
    """What this controller remembers of jobs, whoever owns them."""

    def saw(self, job_id: str, value: dict[str, Any], revision: int) -> None: ...

    async def outcome(self, job_id: str) -> tuple[str, float | None] | None: ...


class OwnerHouse(Protocol):
    """What of its controller the owner of a part uses, and no more."""

    label: str
    shared: Shared
    operators: Operators
    workers: Workers
    tick_s: float
    gather_s: float
    rng: random.Random
    bounds: Bounds
    catalog: dict[str, MachineType]
    store: StoreClient
    machines: WatchCache
    parts: WatchCache
    worker_client: WorkerClient

    @property
    def jobs_known(self) -> JobsKnown: ...

    def now(self) -> float: ...

    def may_renew(self, read_at: float) -> bool: ...

    def state_fresh(self) -> bool: ...

    def fit_members(self) -> list[str]: ...

    def parts_here(self) -> int: ...

    def let_go(self, owner: Owner) -> None: ...

    def jobs_seen(self, path: str, value: Any, revision: int) -> None: ...

    def tell_claims(self) -> None: ...

    def tell_leader(self, part: Part) -> None: ...


class Owner:
    def __init__(self, house: OwnerHouse, team: Team, revision: int) -> None:
        self.house = house
        self.team = team
        self.claimed_from = revision
        self.phase = OwnerPhase.CLAIMING
        self.part: Part | None = None
        self.wake = asyncio.Event()
        self.ready = asyncio.Event()
        self.give_to: str | None = None  # the leader wants another controller to have the part
        self.read_at = (
            -math.inf
        )  # by the steady clock: each cancellation confirmed until then was read with the part
        self.renews = True  # as the log has told
        self.early: list[Callable[[Part], None]] = []  # changes seen while the part was being read
        self.sends: set[asyncio.Task[None]] = set()
        self.reading: asyncio.Task[None] | None = None  # how the jobs stand that ours wait for
        self.passed_at = -1e9  # when the last scheduling pass began
        self.turned_at = -1e9  # when the turn under way began
        self.pass_after = 0.0  # a pass that took long is not followed by another at once
        self.takeover = Takeover(team.name, house.now())
        self.task = asyncio.create_task(self._run())

    # -- changes of state ------------------------------------------------------------------------

    def _claimed(self, revision: int) -> None:
        self.phase = OwnerPhase.LOADING
        self.takeover.claimed(self.house.now())
        self.part = Part(
            self.team,
            revision,
            self.house.shared,
            self.house.operators,
            self.house.catalog,
            random.Random(self.house.rng.random()),
            self.house.bounds,
        )

    def _loaded(self) -> None:
        self.phase = OwnerPhase.ACTIVE
        assert self.part
        self.takeover.read(self.part.taken, self.house.now())
        for change in self.early:
            change(self.part)
        self.early.clear()
        self.ready.set()
        log.info(
            "part %s is ours with token %d: %d jobs, %d machines, %d parks",
            self.team.name,
            self.part.revision,
            len(self.part.jobs),
            len(self.part.machines),
            len(self.part.parks.items),
        )

    def lost(self, why: str) -> None:
        if self.phase is OwnerPhase.LOST:
            return
        log.info("part %s is no longer ours: %s", self.team.name, why)
        self.phase = OwnerPhase.LOST
        self.house.let_go(self)
        self.wake.set()

    # -- what others tell us -----------------------------------------------------------------------

    def note(self, change: Callable[[Part], None]) -> None:
        """A change to take in, now or as soon as the part is read."""
        if self.phase is OwnerPhase.ACTIVE and self.part:
            change(self.part)
            self.wake.set()
        elif self.phase is not OwnerPhase.LOST:
            self.early.append(change)

    def waits_for(self, job_id: str) -> bool:
        """Whether the outcome of a job is of any use here. While the part is being read that is not known."""
        return (
            self.part is None
            or self.phase is not OwnerPhase.ACTIVE
            or job_id in self.part.pipelines.needs.after
        )

    def _may_renew(self) -> bool:
        may = self.house.may_renew(self.read_at)
        if may is not self.renews:
            self.renews = may
            log.info(
                "part %s: workers are %s",
                self.team.name,
                "renewed again" if may else "not renewed: cancellations may be unknown here",
            )
        return may

    async def report(self, report: Report) -> Orders | None:
        if self.phase is not OwnerPhase.ACTIVE:
            try:
                async with asyncio.timeout(self.house.workers.report_s / 2):
                    await self.ready.wait()
            except TimeoutError:
                return None
        part = self.part
        if self.phase is not OwnerPhase.ACTIVE or part is None or not self._may_renew():
            return None
        orders = part.reports.on_report(report, self.house.now(), checkin=True)
        if orders is None:
            return None
        self.takeover.heard(self.house.now())
        if part.stale or part.ledger.touched or part.ledger.changing or part.urgent:
            self.wake.set()  # most reports say nothing new, and call for no turn
        return Orders(part.token(part.machines[report.berth]), orders)

    # -- the loop ------------------------------------------------------------------------------------

    async def _run(self) -> None:
        try:
            await self._claim()
            while self.phase is OwnerPhase.ACTIVE:
                self.wake.clear()
                await self._turn()
                try:
                    async with asyncio.timeout(self._pause()):
                        await self.wake.wait()
                        # Things come in bunches: what arrives together is decided and written together.
                        await asyncio.sleep(self.house.gather_s)
                except TimeoutError:
                    pass
        except CompareFailedError as why:
            self.lost(f"claimed by another ({why})")
        except StoreUnavailableError as why:
            self.lost(f"the state service: {why}")
        except Overtaken as why:
            log.debug("part %s: %s", self.team.name, why)
        except Exception:
            log.exception("part %s", self.team.name)
            self.lost("an error of ours")

    async def _claim(self) -> None:
        name = self.team.name
        path = f"part/{name}"
        store = self.house.store
        value = {"owner": self.house.label}
        revision = await store.txn({path: self.claimed_from}, {path: value})
        self.house.parts.wrote(path, value, revision)
        held(self.phase is OwnerPhase.CLAIMING, "given up while it was being claimed")
        self._claimed(revision)
        part = self.part
        assert part
        self.read_at = time.monotonic()
        # Read after the claim: no earlier owner can write from here on, so this is all there is.
        (machines, seen), (work, _), (parks, _) = await asyncio.gather(
            store.under("machine/"), store.under(f"work/{name}/"), store.under(f"park/{name}/")
        )
        # Another may have claimed it meanwhile: one that let go here used to come back to life as nobody's owner.
        held(self.phase is OwnerPhase.LOADING, "given up while it was being read")
        mine = [
            (entry.path.split("/", 1)[1], entry.value, entry.revision)
            for entry in machines
            if entry.value["p"] == name
        ]
        part.load(mine, list(work), list(parks), self.house.now())
        for job in part.jobs.values():
            if job.active:  # one whose outcome is still to be written is not over for its user yet
                self.house.jobs_known.saw(job.id, job.record(), job.revision)
        part.seen = max(part.seen, seen)
        self._loaded()
        self.house.tell_claims()

    async def _turn(self) -> None:
        part = self.part
        assert part
        if self.give_to is not None:
            await self._give(part, self.give_to)
            return
        now = self.turned_at = self.house.now()
        part.tick(now)
        if part.pipelines.unread and (self.reading is None or self.reading.done()):
            self.reading = asyncio.create_task(self._read_needs(part))
        if not self.house.state_fresh():
            part.wants = []
        elif self._pass_due(part, now):
            self.passed_at = now
            part.passes.schedule(now)
            self.takeover.passed(part.placed > 0, self.house.now())
            # No more than its share of the processor goes into passes, however large the part.
            ended = self.house.now()
            self.pass_after = ended + pause_s(ended - now, pass_share(self.house.parts_here()))
        self.house.tell_leader(part)
        await self._commit(part)
        self._send_urgent(part)

    def _pass_due(self, part: Part, now: float) -> bool:
        return now >= self.pass_after and (part.stale or now - self.passed_at > self.house.tick_s)

    async def _read_needs(self, part: Part) -> None:
        """The watch brings every outcome from here on; what was over before has to be looked up. Its word goes for good,
        whatever the watch brings meanwhile."""
        jobs = self.house.jobs_known
        unread = part.pipelines.unread
        while unread and self.phase is OwnerPhase.ACTIVE:
            needs = list(unread)[:READS_AT_ONCE]
            try:
                outcomes = await asyncio.gather(*map(jobs.outcome, needs))
            except StoreUnavailableError:
                return  # asked again with the next turn
            for need, outcome in zip(needs, outcomes, strict=True):
                unread.pop(need, None)
                if outcome is not None:
                    part.pipelines.settled(need, *outcome, self.house.now())
                    self.wake.set()

    def _pause(self) -> float:
        """Until the next turn, if nothing wakes us: sooner where a pass had to be put off."""
        part = self.part
        tick_s = self.house.tick_s
        if part and part.stale:
            return min(tick_s, max(self.pass_after - self.house.now(), tick_s / 16))
        return tick_s

    async def _give(self, part: Part, to: str) -> None:
        """Name the next owner in the part's key, between two of our own transactions. It claims on seeing that."""
        self.give_to = None
        if to not in self.house.fit_members() or any(
            machine.sending for machine in part.machines.values()
        ):
            return
        path = f"part/{part.name}"
        value = {"owner": to}
        try:
            revision = await self.house.store.txn({path: part.revision}, {path: value})
        except StoreUnavailableError:
            # It may yet be applied. Until we know, the fence tells: our next write fails if it was.
            return
        self.house.parts.wrote(path, value, revision)
        self.lost(f"given to {to}")

    async def _commit(self, part: Part) -> None:
        store = self.house.store
        for _ in range(16):
            txn = part.ledger.next_txn(store.writes.short, store.writes.per_s)
            if txn is None or self.phase is not OwnerPhase.ACTIVE:
                return
            try:
                revision = await store.txn(
                    txn.when,
                    txn.writes,
                    turn=Turn.WORK if txn.urgent else Turn.PATIENT,
                    whose=part.name,
                )
            except CompareFailedError as why:
                if not await self._reread(part, why.failed):
                    return
                continue
            except StoreUnavailableError:
                return  # tried again at the next turn; whether it was applied shows then by the revisions
            for mark in txn.marks:
                mark(revision)
            self._publish(txn.writes, revision)
            if part.placed:
                self.takeover.durable(self.house.now())
            # Starts go out between transactions, not after the last of them.
            self._send_urgent(part)
            # Nor is what could start meanwhile, or is late, to wait for the last: where the state service takes few changes a
            # second, sixteen transactions took nine seconds, and no pass was made (cvbc rollout: 5 s a step of a pipeline).
            now = self.house.now()
            if now - self.turned_at > self.house.workers.report_s / 4 and self._pass_due(part, now):
                return

    def _publish(self, writes: dict[str, Any], revision: int) -> None:
        for path, value in writes.items():
            if path.startswith("machine/"):
                self.house.machines.wrote(path, value, revision)
            elif path.startswith("job/"):
                self.house.jobs_seen(path, value, revision)

    async def _reread(self, part: Part, failed: list[str]) -> bool:
        fence = f"part/{part.name}"
        for path in failed or [fence]:
            entry = await self.house.store.get(path)
            held(self.phase is OwnerPhase.ACTIVE, "given up while it was being written")
            revision = entry.revision if entry else 0
            if path == fence:
                if revision != part.revision:
                    self.lost("claimed by another")
                    return False
                continue
            log.info("part %s: %s had changed; taken in", part.name, path)
            part.ledger.reread(path, entry.value if entry else None, revision, self.house.now())
        return True

    # -- orders sent directly --------------------------------------------------------------------------

    def _send_urgent(self, part: Part) -> None:
        urgent, part.urgent = part.urgent, {}
        if self.phase is not OwnerPhase.ACTIVE or not self._may_renew():
            return
        for name in urgent:
            machine = part.machines.get(name)
            if machine is None:
                continue
            if machine.sending:
                part.urgent[name] = None
                continue
            orders = part.direct(machine, self.house.now())
            if orders:
                machine.sending = True
                task = asyncio.create_task(self._send(part, machine, orders, part.token(machine)))
                self.sends.add(task)
                task.add_done_callback(self.sends.discard)

    async def _send(self, part: Part, machine: Machine, orders: list[Order], token: int) -> None:
        # Under the token that the starts are noted with. It may rise before this runs; sent under the higher one, a start that
        # arrives late would be taken though it counted as harmless.
        try:
            status, report = await self.house.worker_client.orders(
                machine.address, token, machine.tenure, orders
            )
            # Anything else was not said by the worker, which may still carry them out.
            (part.direct_answered if status in SAID else part.direct_unanswered)(machine, orders)
            if (
                report is not None
                and report.berth == machine.name
                and self.phase is OwnerPhase.ACTIVE
            ):
                part.reports.on_report(report, self.house.now(), checkin=False)
            if status != 200:
                log.debug("machine %s did not take orders: %d", machine.name, status)
        except NoAnswer as why:
            if why.sent:
                part.direct_unanswered(machine, orders)
            else:
                part.direct_answered(machine, orders)
            log.debug("machine %s did not answer: %s", machine.name, why)
        finally:
            machine.sending = False
            self.wake.set()
