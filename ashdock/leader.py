"""The leader: the one controller that deals with the cloud and lends machines to parts."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import Any, Protocol

from ashdock.admission.processor import CHOOSING, pause_s
from ashdock.concurrency import iterate_live
from ashdock.core.allocator import Allocator, AssignMachine, MoveShard, ScaleIn, ScaleOut
from ashdock.core.machine import images_of, trimmed
from ashdock.core.machine_index import MachineView
from ashdock.core.status_reporter import Rebalance, Reclaim, ShardStatus
from ashdock.core.write_limits import WriteLimits
from ashdock.election.election import Election
from ashdock.election.fencing import NotLeaderError
from ashdock.net.cloud import CloudClient, CloudError, NoCapacityError
from ashdock.net.rate_limiter import RequestPriority
from ashdock.net.store import (
    CompareFailedError,
    Entry,
    StoreClient,
    StoreUnavailableError,
    WatchCache,
)
from ashdock.settings import Operators, Shared, Workers
from ashdock.wire.frames import ShardCommand, TransferMachine, TransferShard
from ashdock.wire.messages import Heartbeat, MachineType

log = logging.getLogger("ashdock.leader")

LOANS_S = 2.0  # how long, at our share of its limit, the state service may be busy with loans decided at once


def scale_out_of(value: dict[str, Any]) -> ScaleOut:
    """What a charter's record says."""
    teams = value.get("teams") or [
        [value["team"], value["n"]]
    ]  # the second form is that of versions before
    return ScaleOut(
        tuple((team, number) for team, number in teams), value["t"], value["z"], value["s"]
    )


def gone_from(listed: dict[str, float], names: list[str], now: float, sure_s: float) -> list[str]:
    """Machines that a list lacks though they have been listed for so long that even an old list would hold them."""
    there = set(names)
    for name in names:
        listed.setdefault(name, now)
    gone = [name for name, since in listed.items() if name not in there and now - since > sure_s]
    for name in gone:
        del listed[name]
    return gone


def lag_of(listed: list[tuple[str, float]], scaled_out: dict[str, float], now: float) -> float:
    """How old a list is, by the ages it gives to machines of which we noted when they were rented."""
    return max(
        (now - scaled_out[name] - age for name, age in listed if name in scaled_out), default=0.0
    )


class LeaderContext(Protocol):
    """What of its controller the leader uses, and no more."""

    label: str
    shared: Shared
    operators: Operators
    workers: Workers
    tick_s: float
    intent_count: int
    write_limits: WriteLimits
    catalog: dict[str, MachineType]
    store: StoreClient
    cloud: CloudClient
    machines: WatchCache

    def now(self) -> float: ...

    def state_fresh(self) -> bool: ...

    def fit_members(self) -> list[str]: ...

    def owner_label(self, team: str) -> str | None: ...

    def shard_statuses(self) -> dict[str, ShardStatus]: ...

    def leaving(self) -> list[tuple[str, str]]: ...

    def to_owner(self, team: str, word: ShardCommand, term: int) -> None: ...


class Leader:
    """The machines' duty, for one term. Its writes name the seat's key, its words and charters hold the term, and its calls to the cloud
    rest on what is durable and on names never used twice (docs/leader-election.md)."""

    def __init__(self, context: LeaderContext, election: Election) -> None:
        self.context = context
        self.election = election
        self.revision = election.term
        self.allocator = Allocator(context.shared, context.operators.renting, context.catalog)
        self.unrecorded_reports: dict[
            str, tuple[Heartbeat, float]
        ] = {}  # reported and not recorded, and since when
        self.unassigned: dict[
            str, tuple[Heartbeat, float]
        ] = {}  # recorded and lent to nobody: its last word, and when
        self.machine_views: dict[
            str, tuple[int, MachineView]
        ] = {}  # each record as the allotment sees it, by its revision
        self.released: dict[
            str, float
        ] = {}  # gone, though the cloud's lagging list may still name them
        self.open_intents: set[str] = set()
        self.interrupted: dict[
            str, tuple[dict[str, Any], int]
        ] = {}  # charters broken off while our lease was in doubt
        self.finished_intents: dict[str, int] = {}  # charters carried out, and their revisions
        self.intents_before = (
            context.intent_count
        )  # a reign of ours that an outage ended may have left some
        self.listed: dict[str, float] = {}  # machine: when the cloud first listed it
        self.decommissioning: set[str] = set()  # machines that are being given up
        self.assigning: set[str] = set()  # machines whose loan is being written
        self.releasing = False
        self.unrecorded: dict[str, float] = {}  # machine: since when it is listed without a record
        self.lag_s = context.shared.cloud.list_lag_s  # of the cloud's list, as far as it shows
        self.over = False
        self.jobs: set[asyncio.Task[None]] = set()
        self.tasks = [
            asyncio.create_task(self._guard(loop))
            for loop in (self._settle, self._choose, self._clean, self._look)
        ]

    # -- what of it is ours to do -------------------------------------------------------------------------

    def _may(self) -> bool:
        return self.election.may_act(time.monotonic(), self.revision)

    def _guard_call(self) -> None:
        """Before each call to the cloud, which knows no fence: one who stood still for a minute carried on in the middle of it."""
        if not self._may():
            raise NotLeaderError

    @property
    def under_way(self) -> bool:
        return bool(self.open_intents or self.decommissioning or self.assigning or self.releasing)

    def stop(self) -> None:
        self.over = True
        for task in [*self.tasks, *self.jobs]:
            task.cancel()

    async def _guard(self, loop: Any) -> None:
        pause = self.context.tick_s * 2
        while not self.over:
            try:
                again: float | None = await loop()
                if again is None:
                    return
                await asyncio.sleep(again)
            except (StoreUnavailableError, CloudError, CompareFailedError, NotLeaderError) as why:
                log.debug("%s: %s", loop.__name__, why or "not ours at the moment")
                await asyncio.sleep(pause)
            except Exception:
                log.exception("%s", loop.__name__)
                await asyncio.sleep(1.0)

    def _spawn(self, job: Any) -> None:
        task = asyncio.create_task(self._if_held(job))
        self.jobs.add(task)
        task.add_done_callback(self.jobs.discard)

    @staticmethod
    async def _if_held(job: Any) -> None:
        try:
            await job
        except NotLeaderError:
            log.debug("left to the next holder")

    # -- choosing ------------------------------------------------------------------------------------

    def _machine_views(self) -> list[MachineView]:
        # What reports without a record stands in the pool too: it is recorded when lent, in one write instead of two.
        unrecorded_reports = [
            MachineView(name, "", report.machine_type, report.zone, report.spot, 0, "")
            for name, (report, _) in self.unrecorded_reports.items()
            if f"machine/{name}" not in self.context.machines.entries
        ]
        # Read anew only where a record has changed: thousands of lists of images, looked through several times a second, were most
        # of what leading cost.
        before, self.machine_views = self.machine_views, {}
        for path, entry in self.context.machines.entries.items():
            known = before.get(path)
            self.machine_views[path] = (
                known
                if known is not None and known[0] == entry.revision
                else (entry.revision, self._machine_view(entry))
            )
        return unrecorded_reports + [
            machine_views for _, machine_views in self.machine_views.values()
        ]

    @staticmethod
    def _machine_view(entry: Entry) -> MachineView:
        value = entry.value
        return MachineView(
            entry.path.split("/", 1)[1],
            value["p"],
            value["t"],
            value["z"],
            value["s"],
            entry.revision,
            value.get("x", ""),
            frozenset(image for image, _ in images_of(value)),
        )

    async def _choose(self) -> float:
        context = self.context
        now = context.now()
        if not context.state_fresh() or not context.machines.ready.is_set():
            return context.tick_s
        if not self.election.may_decide(time.monotonic(), self.revision):
            return context.tick_s / 4
        shard_statuses: dict[str, ShardStatus] = context.shard_statuses()
        if time.monotonic() - self.election.acquired_at < context.workers.lease_s:
            self.allocator.note_reclaims(context.leaving(), now)
        owners = {team.name: context.owner_label(team.name) or "" for team in context.shared.teams}
        decisions = self.allocator.decide(self._machine_views(), shard_statuses, now)
        assignments: dict[str, str] = {}
        for decision in decisions + self.allocator.balance(
            owners, context.fit_members(), shard_statuses, now
        ):
            match decision:
                case ScaleOut():
                    self._spawn(self._scale_out(decision))
                case AssignMachine(shard, machine, to):
                    if shard:
                        context.to_owner(shard, TransferMachine(shard, machine, to), self.revision)
                    else:
                        assignments[machine] = to
                case Reclaim():
                    log.info(
                        "team %s is to give %s to %s",
                        decision.shard,
                        ",".join(decision.machines),
                        decision.to,
                    )
                    context.to_owner(decision.shard, decision, self.revision)
                case Rebalance():
                    log.info(
                        "team %s is to pass on %d to %s as they come free",
                        decision.shard,
                        decision.number,
                        decision.to,
                    )
                    context.to_owner(decision.shard, decision, self.revision)
                case MoveShard(shard, to):
                    log.info("part %s is to go to controller %s", shard, to)
                    context.to_owner(shard, TransferShard(shard, to), self.revision)
                case ScaleIn(machines):
                    self._spawn(self._decommission_all(machines, "returned"))
        if assignments:
            # What is not written now is neither lent nor on its way: counted as that, it stood there for half a lease.
            most = 0 if self.assigning else max(1, int(LOANS_S * self.context.store.writes.per_s))
            self.allocator.not_assigned(list(assignments)[most:])
            if most:
                self._spawn(self._assign(dict(list(assignments.items())[:most])))
        return max(context.tick_s, pause_s(context.now() - now, CHOOSING))

    def _entry(self, name: str) -> Entry | None:
        return self.context.machines.entries.get(f"machine/{name}")

    async def _write_all(self, records: dict[str, tuple[int, dict[str, Any] | None]]) -> list[str]:
        """Write machines' records (None deletes) that still have the revisions given, many to a transaction; those written."""
        names = list(records)
        written: list[str] = []
        while names:
            most = max(
                1, min(self.context.write_limits.ops, int(self.context.store.writes.per_s / 2))
            )
            written += await self._write_some({name: records[name] for name in names[:most]})
            names = names[most:]
        return written

    async def _write_some(self, records: dict[str, tuple[int, dict[str, Any] | None]]) -> list[str]:
        store = self.context.store
        most = self.context.write_limits.value_bytes
        left = {
            name: (revision, value and trimmed(value, most))
            for name, (revision, value) in records.items()
        }
        while left:
            try:
                when = {
                    self.election.path: self.revision,
                    **{f"machine/{name}": revision for name, (revision, _) in left.items()},
                }
                revision = await store.txn(
                    when, {f"machine/{name}": value for name, (_, value) in left.items()}
                )
            except CompareFailedError as why:
                if self.election.path in why.failed:
                    raise NotLeaderError from None
                # Somebody was quicker with some of them: the others are written without.
                lost = {path.split("/", 1)[1] for path in why.failed} & set(left)
                log.debug("machines changed meanwhile: %s", ",".join(sorted(lost)))
                if not lost:
                    return []
                left = {name: record for name, record in left.items() if name not in lost}
                continue
            for name, (_, value) in left.items():
                self.context.machines.wrote(f"machine/{name}", value, revision)
            return list(left)
        return []

    async def _assign(self, assignments: dict[str, str]) -> None:
        """Lend what stands in the pool: no more at a time than is written in a few rounds, the rest by what is lacking then. Hundreds lent at
        once took half a minute; meanwhile each round chose them again, their workers reported as unrecorded again, and what was
        written twice failed and counted (2,648 machines: half of the state service's limit went into that, and starts waited)."""
        self.assigning.update(assignments)
        try:
            await self._assign_now(assignments)
        finally:
            self.assigning.clear()

    async def _assign_now(self, assignments: dict[str, str]) -> None:
        records: dict[str, tuple[int, dict[str, Any] | None]] = {}
        for name, to in assignments.items():
            entry = self._entry(name)
            if entry and entry.value["p"] == "" and not entry.value.get("x"):
                records[name] = (entry.revision, {**entry.value, "p": to} | self._word_of(name))
            elif entry is None and name in self.unrecorded_reports:
                report, _ = self.unrecorded_reports.pop(name)
                value = self._value(
                    report.machine_type,
                    report.zone,
                    report.spot,
                    report.address,
                    to,
                    self.context.now(),
                )
                records[name] = (
                    0,
                    {**value, "n": report.incarnation},
                )  # known to be up, and in which session
        try:
            for name in await self._write_all(records):
                log.info("machine %s goes from the pool to %s", name, assignments[name])
        except StoreUnavailableError as why:
            log.debug("not lent: %s", why)

    def _word_of(self, name: str) -> dict[str, Any]:
        """Where a machine of the pool is and in which session, if it has just told: its next owner need not wait for its report."""
        report, at = self.unassigned.pop(name, (None, 0.0))
        if report is None or self.context.now() - at > 2 * self.context.workers.report_s:
            return {}
        return {"a": report.address, "n": report.incarnation}

    async def _decommission(self, name: str, why: str) -> None:
        await self._decommission_all([name], why)

    async def _decommission_all(self, names: list[str], why: str) -> None:
        """Give machines up durably before they are released, so that nobody lends them meanwhile."""
        # Each round chooses the same machines again until this is written. Without a note of what is under way, each sent the
        # same transactions once more: they filled the line for writes and made each other fail, and a pool of machines that
        # nobody wanted stood there, paid for, to the end of the day.
        names = [name for name in names if name not in self.decommissioning]
        self.decommissioning.update(names)
        try:
            await self._decommission_now(names, why)
        finally:
            self.decommissioning.difference_update(names)

    async def _decommission_now(self, names: list[str], why: str) -> None:
        records: dict[str, tuple[int, dict[str, Any] | None]] = {}
        for name in names:
            entry = self._entry(name)
            if entry and not entry.value.get("x"):
                records[name] = (entry.revision, {**entry.value, "x": why})
        try:
            await self._write_all(records)
        except StoreUnavailableError as trouble:
            log.debug("not given up: %s", trouble)

    # -- renting ---------------------------------------------------------------------------------------

    async def _scale_out(self, rent: ScaleOut) -> None:
        context = self.context
        context.intent_count += 1
        # Unique for good: no other process has led with this revision, and in ours the number only grows.
        name = f"{context.label}.{self.revision}.{context.intent_count}"
        path = f"charter/{name}"
        value = {
            "teams": [list(team) for team in rent.teams],
            "t": rent.type,
            "z": rent.zone,
            "s": rent.spot,
        }
        self.open_intents.add(name)
        try:
            if not self._may():
                raise StoreUnavailableError("not ours at the moment")
            revision = await context.store.txn(
                {path: 0, self.election.path: self.revision}, {path: value}
            )
        except (CompareFailedError, StoreUnavailableError) as why:
            log.debug("charter %s not written: %s", name, why)
            self.open_intents.discard(name)
            self.allocator.scale_out_failed(rent, context.now(), no_capacity=False)
            return
        await self._carry_out(name, value, revision, ours=rent)

    async def _carry_out(
        self, name: str, value: dict[str, Any], revision: int, ours: ScaleOut | None
    ) -> None:
        """`ours`: counted as on its way until it is known what came of it."""
        context = self.context
        names: list[str] | None = None
        refused = False
        rent = scale_out_of(value)
        try:
            for _ in range(5):
                try:
                    names = await context.cloud.rent(
                        name, rent.type, rent.zone, rent.spot, rent.number, self._guard_call
                    )
                    break
                except NoCapacityError:
                    refused = True
                    break
                except CloudError as why:
                    # The name makes a repeated request harmless: it rents nothing twice.
                    log.debug("charter %s: %s", name, why)
                    await asyncio.sleep(context.workers.lease_s / 10)
            log.info(
                "charter %s: %s of %s %s in %s for %s: %s",
                name,
                rent.number,
                "spot" if rent.spot else "ordinary",
                rent.type,
                rent.zone,
                ",".join(team for team, _ in rent.teams),
                names or ("no capacity" if refused else "no answer"),
            )
            now = context.now()
            if ours and names is not None:
                self.allocator.scaled_out(ours, names, now)
                ours = None
            if names:
                await self._record(rent, names, now)
            self.finished_intents[name] = revision
            await self._delete_finished_intents()
        except NotLeaderError:
            # It stands in the state service: we go on with it once our lease is renewed, or whoever comes after us does.
            self.interrupted[name] = (value, revision)
            raise
        finally:
            if ours:
                self.allocator.scale_out_failed(ours, context.now(), refused)
            self.open_intents.discard(name)

    async def _delete_finished_intents(self) -> None:
        """Those that are carried out. One left over would be carried out once more by the next holder, and what it had rented be recorded
        again though it was returned long ago."""
        for name, revision in iterate_live(self.finished_intents):
            try:
                await self.context.store.txn(
                    {f"charter/{name}": revision, self.election.path: self.revision},
                    {f"charter/{name}": None},
                    priority=RequestPriority.BACKGROUND,
                )
            except CompareFailedError as why:
                if self.election.path in why.failed:
                    raise NotLeaderError from None
            except StoreUnavailableError as why:
                log.debug("charter %s not removed: %s", name, why)
                return
            self.finished_intents.pop(name, None)

    async def _record(self, rent: ScaleOut, names: list[str], now: float) -> None:
        """One that was quicker than our note of it is recorded already, and in the pool or lent."""
        left = {
            name: (
                0,
                self._value(rent.type, rent.zone, rent.spot, "", team, now) | {"r": 1},
            )  # its rental's time is known
            for name, team in rent.allotted(names)
        }
        for _ in range(3):
            try:
                await self._write_all(left)  # type: ignore[arg-type]
                return
            except StoreUnavailableError:
                await asyncio.sleep(self.context.tick_s)
                left = {name: record for name, record in left.items() if self._entry(name) is None}

    def _ours(self, name: str) -> bool:
        """Whether we have set out to rent it ourselves, since this reign began."""
        head, _, number = name.rpartition(".")
        return head == f"{self.context.label}.{self.revision}" and int(number) > self.intents_before

    async def _settle(self) -> float:
        """What earlier terms set out to rent. All of it is counted as on its way before anything is chosen: machines that a holder before
        had asked for were asked for again. Then the same request again tells what came of it."""
        self._guard_call()
        await self._delete_finished_intents()
        entries, _ = await self.context.store.under("charter/")
        # Our own may have been written, carried out and removed since this was read: repeated, the cloud names machines again that
        # may have been released meanwhile, and each would be recorded once more.
        left = {e.path.split("/", 1)[1]: (e.value, e.revision) for e in entries}
        left = {
            name: charter for name, charter in left.items() if not self._ours(name)
        } | self.interrupted
        self.interrupted.clear()
        left = {
            name: charter
            for name, charter in left.items()
            if name not in self.finished_intents and name not in self.open_intents
        }
        rents = {name: scale_out_of(value) for name, (value, _) in left.items()}
        known = {name: rent for name, rent in rents.items() if rent.type in self.context.catalog}
        self.allocator.scale_outs += known.values()
        self.open_intents.update(rents)
        self.election.complete_reconciliation(self.revision)
        for name, (value, revision) in left.items():
            self._spawn(self._carry_out(name, value, revision, known.get(name)))
        return 2 * self.context.workers.lease_s

    # -- releasing, strays and the cloud's list ----------------------------------------------------------

    async def _clean(self) -> float:
        """Release what was given up. The answer proves that the machine and all on it are gone."""
        context = self.context
        decommissioned = [
            (e.path.split("/", 1)[1], e.revision)
            for e in context.machines.entries.values()
            if e.value.get("x")
        ]
        if decommissioned and context.state_fresh():
            decommissioned = decommissioned[: min(100, context.write_limits.ops)]
            self.releasing = True
            try:
                await context.cloud.release([name for name, _ in decommissioned], self._guard_call)
                now = context.now()
                self.released.update((name, now) for name, _ in decommissioned)
                await self._write_all({name: (revision, None) for name, revision in decommissioned})
            finally:
                self.releasing = False
            log.info("released %s", ",".join(name for name, _ in decommissioned))
        await self._adopt_unrecorded()
        return max(context.tick_s, 1 / context.shared.cloud.rps)

    def hear(self, report: Heartbeat, known: bool) -> None:
        """A machine that is lent to nobody reported. `known`: it is recorded, in the pool."""
        now = self.context.now()
        if known:
            self.unassigned[report.machine] = (report, now)
        elif (
            report.machine not in self.assigning
            and len(self.unrecorded_reports) < 2000
            and report.machine_type in self.context.catalog
            and not self._late(report.machine, now)
        ):
            _, since = self.unrecorded_reports.get(report.machine, (None, now))
            self.unrecorded_reports[report.machine] = (report, since)

    def _late(self, name: str, now: float) -> bool:
        """Whether it may be a word of a machine that was released a moment ago."""
        return now - self.released.get(name, -1e9) < 4 * self.lag_s + self.context.workers.lease_s

    @staticmethod
    def _value(
        kind: str, zone: str, spot: bool, where: str, shard: str, now: float
    ) -> dict[str, Any]:
        return {"t": kind, "z": zone, "s": spot, "a": where, "p": shard, "at": round(now, 3)}

    async def _adopt_unrecorded(self) -> None:
        """What nobody has wanted for a while is recorded all the same: nothing unrecorded is ever returned."""
        now = self.context.now()
        # Adopting waits, and meanwhile a stray may be lent and so recorded: a list made before ended this loop with a KeyError.
        for name, (report, since) in iterate_live(self.unrecorded_reports):
            if self._entry(name) is not None:
                self.unrecorded_reports.pop(name, None)
            elif now - since > self.allocator.settle_s:
                self.unrecorded_reports.pop(name, None)
                await self._adopt(
                    name, report.machine_type, report.zone, report.spot, report.address
                )

    async def _adopt(self, name: str, kind: str, zone: str, spot: bool, where: str) -> None:
        path = f"machine/{name}"
        context = self.context
        now = context.now()
        if path in context.machines.entries or kind not in context.catalog:
            return
        if self._late(name, now):
            return
        value = self._value(kind, zone, spot, where, "", now)
        try:
            revision = await context.store.txn(
                {path: 0, self.election.path: self.revision}, {path: value}
            )
            log.info("machine %s adopted", name)
            context.machines.wrote(path, value, revision)
        except CompareFailedError:
            pass

    async def _look(self) -> float:
        context = self.context
        asked = context.now()
        self._guard_call()
        hosts = await context.cloud.hosts()
        now = context.now()
        scaled_out = {
            e.path.split("/", 1)[1]: e.value["at"]
            for e in context.machines.entries.values()
            if e.value.get("r")
        }
        self.lag_s = max(
            self.lag_s * 0.9,
            lag_of([(host.id, host.age_s) for host in hosts], scaled_out, now),
            context.shared.cloud.list_lag_s,
        )
        sure_s = 3 * self.lag_s
        for name in gone_from(self.listed, [host.id for host in hosts], now, sure_s):
            # Taken without notice. Its release is the proof; without it, its tasks would wait out its silence.
            entry = self._entry(name)
            if entry and not entry.value.get("x"):
                log.info("machine %s is not listed any more", name)
                await self._decommission(name, "not listed any more")
        unrecorded: dict[str, float] = {}
        for host in hosts:
            entry = self._entry(host.id)
            if host.status == "failed":
                if entry and not entry.value.get("x"):
                    log.info("machine %s failed", host.id)
                    await self._decommission(host.id, "failed")
            elif entry is None:
                # A list may be older than what we know: a machine released under an earlier leader still stands in it. One
                # that we miss a record of for longer than any list lags is really there.
                since = unrecorded[host.id] = self.unrecorded.get(host.id, asked)
                if not self.open_intents and now - since > 2 * self.lag_s:
                    await self._adopt(
                        host.id, host.machine_type, host.zone, host.spot, host.address
                    )
        self.unrecorded = unrecorded
        self.unassigned = {
            name: word for name, word in self.unassigned.items() if self._entry(name) is not None
        }
        for name, at in list(self.released.items()):
            if now - at > 20 * self.lag_s + 60:
                del self.released[name]
        return max(context.shared.cloud.list_lag_s, 8 / context.shared.cloud.rps)
