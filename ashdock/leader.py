"""The leader: the one controller that deals with the cloud and lends machines to parts."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any

from ashdock.core.allotment import Allotment, GivePart, Lent, Move, Release, Rent
from ashdock.core.part import Picture, Recalled
from ashdock.net.cloud import CloudTrouble, NoCapacity
from ashdock.net.state import Conflict, Entry, Unavailable
from ashdock.wire.frames import Give, Yield
from ashdock.wire.messages import Report

if TYPE_CHECKING:
    from ashdock.controller import Controller

log = logging.getLogger("ashdock.leader")


def gone_from(listed: dict[str, float], names: list[str], now: float, sure_s: float) -> list[str]:
    """Machines that a list lacks though they have been listed for so long that even an old list would hold them."""
    there = set(names)
    for name in names:
        listed.setdefault(name, now)
    gone = [name for name, since in listed.items() if name not in there and now - since > sure_s]
    for name in gone:
        del listed[name]
    return gone


class Leader:
    """Lives as long as our hold on the key `leader`."""

    def __init__(self, controller: Controller, stamp: int) -> None:
        self.controller = controller
        self.stamp = stamp
        self.allotment = Allotment(controller.shared, controller.settings.operators.renting, controller.catalog)
        self.strays: dict[str, Report] = {}  # reported and not recorded
        self.released: dict[str, float] = {}  # gone, though the cloud's lagging list may still name them
        self.renting_names: set[str] = set()
        self.listed: dict[str, float] = {}  # machine: when the cloud first listed it
        self.over = False
        self.jobs: set[asyncio.Task[None]] = set()
        self.tasks = [asyncio.create_task(self._guard(loop)) for loop in (self._finish_charters, self._choose, self._clean, self._look)]

    def stop(self) -> None:
        self.over = True
        for task in [*self.tasks, *self.jobs]:
            task.cancel()

    async def _guard(self, loop: Any) -> None:
        pause = self.controller.tick_s * 2
        while not self.over:
            try:
                again: float | None = await loop()
                if again is None:
                    return
                await asyncio.sleep(again)
            except (Unavailable, CloudTrouble, Conflict) as why:
                log.debug("%s: %s", loop.__name__, why)
                await asyncio.sleep(pause)
            except Exception:
                log.exception("%s", loop.__name__)
                await asyncio.sleep(1.0)

    def _spawn(self, job: Any) -> None:
        task = asyncio.create_task(job)
        self.jobs.add(task)
        task.add_done_callback(self.jobs.discard)

    # -- choosing ------------------------------------------------------------------------------------

    def _lent(self) -> list[Lent]:
        return [
            Lent(
                e.path.split("/", 1)[1], e.value["p"], e.value["t"], e.value["z"], e.value["s"], e.stamp, e.value.get("x", ""),
                frozenset(e.value.get("i", ())),
            )
            for e in self.controller.machines.entries.values()
        ]

    async def _choose(self) -> float:
        controller = self.controller
        now = controller.now()
        if not controller.state_fresh() or not controller.machines.ready.is_set():
            return controller.tick_s
        pictures: dict[str, Picture] = controller.pictures()
        owners = {team.name: controller.owner_label(team.name) or "" for team in controller.shared.teams}
        decisions = self.allotment.decide(self._lent(), pictures, now)
        for decision in decisions + self.allotment.balance(owners, controller.fit_members(), pictures, now):
            match decision:
                case Rent():
                    self._spawn(self._rent(decision))
                case Move(part, machine, to):
                    if part:
                        controller.to_owner(part, Yield(part, machine, to))
                    else:
                        self._spawn(self._assign(machine, to))
                case Recalled():
                    log.info("team %s is to give %s to %s", decision.part, ",".join(decision.machines), decision.to)
                    controller.to_owner(decision.part, decision)
                case GivePart(part, to):
                    log.info("part %s is to go to controller %s", part, to)
                    controller.to_owner(part, Give(part, to))
                case Release(machines):
                    for name in machines:
                        self._spawn(self._mark(name, "returned"))
        return controller.tick_s

    def _entry(self, name: str) -> Entry | None:
        return self.controller.machines.entries.get(f"machine/{name}")

    async def _write(self, name: str, entry: Entry, value: dict[str, Any]) -> None:
        path = f"machine/{name}"
        try:
            stamp = await self.controller.state.txn({path: entry.stamp}, {path: value})
            self.controller.machines.wrote(path, value, stamp)
        except (Conflict, Unavailable) as why:
            log.debug("machine %s not written: %s", name, why)

    async def _assign(self, name: str, to: str) -> None:
        entry = self._entry(name)
        if entry and entry.value["p"] == "" and not entry.value.get("x"):
            log.info("machine %s goes from the pool to %s", name, to)
            await self._write(name, entry, {**entry.value, "p": to})

    async def _mark(self, name: str, why: str) -> None:
        """Give a machine up durably before it is released, so that nobody lends it meanwhile."""
        entry = self._entry(name)
        if entry and not entry.value.get("x"):
            await self._write(name, entry, {**entry.value, "x": why})

    # -- renting ---------------------------------------------------------------------------------------

    async def _rent(self, rent: Rent) -> None:
        controller = self.controller
        controller.charters += 1
        # Unique for good: no other process has led with this stamp, and in ours the number only grows.
        name = f"{controller.label}.{self.stamp}.{controller.charters}"
        path = f"charter/{name}"
        value = {"team": rent.team, "t": rent.type, "z": rent.zone, "s": rent.spot, "n": rent.number}
        self.renting_names.add(name)
        try:
            stamp = await controller.state.txn({path: 0, "leader": self.stamp}, {path: value})
        except (Conflict, Unavailable) as why:
            log.debug("charter %s not written: %s", name, why)
            self.renting_names.discard(name)
            self.allotment.not_rented(rent, controller.now(), no_capacity=False)
            return
        await self._carry_out(name, value, stamp, rent)

    async def _carry_out(self, name: str, value: dict[str, Any], stamp: int, rent: Rent | None) -> None:
        controller = self.controller
        names: list[str] | None = None
        refused = False
        for _ in range(5):
            try:
                names = await controller.cloud.rent(name, value["t"], value["z"], value["s"], value["n"])
                break
            except NoCapacity:
                refused = True
                break
            except CloudTrouble as why:
                # The name makes a repeated request harmless: it rents nothing twice.
                log.debug("charter %s: %s", name, why)
                await asyncio.sleep(controller.workers.lease_s / 10)
        log.info("charter %s: %s of %s %s in %s for %s: %s", name, value["n"], "spot" if value["s"] else "ordinary",
                 value["t"], value["z"], value["team"], names or ("no capacity" if refused else "no answer"))  # fmt: skip
        now = controller.now()
        for machine in names or []:
            await self._record(machine, value, now)
        if rent:
            if names is None:
                self.allotment.not_rented(rent, now, refused)
            else:
                self.allotment.rented(rent, names, now)
        self.renting_names.discard(name)
        try:
            await controller.state.txn({f"charter/{name}": stamp}, {f"charter/{name}": None}, urgent=False)
        except (Conflict, Unavailable) as why:
            log.debug("charter %s not removed: %s", name, why)

    async def _record(self, machine: str, value: dict[str, Any], now: float) -> None:
        path = f"machine/{machine}"
        record = {"t": value["t"], "z": value["z"], "s": value["s"], "a": "", "p": value["team"], "at": round(now, 3)}
        for _ in range(3):
            try:
                stamp = await self.controller.state.txn({path: 0}, {path: record})
                self.controller.machines.wrote(path, record, stamp)
                return
            except Conflict:
                # It was quicker than our note of it, and is in the pool already.
                return
            except Unavailable:
                await asyncio.sleep(self.controller.tick_s)

    async def _finish_charters(self) -> float | None:
        """What an earlier leader set out to rent: the same request again tells what came of it."""
        entries, _ = await self.controller.state.under("charter/")
        for entry in entries:
            name = entry.path.split("/", 1)[1]
            if name not in self.renting_names:
                await self._carry_out(name, entry.value, entry.stamp, None)
        return None

    # -- releasing, strays and the cloud's list ----------------------------------------------------------

    async def _clean(self) -> float:
        """Release what was given up. The answer proves that the machine and all on it are gone."""
        controller = self.controller
        doomed = [(e.path.split("/", 1)[1], e.stamp) for e in controller.machines.entries.values() if e.value.get("x")]
        if doomed and controller.state_fresh():
            doomed = doomed[: min(100, controller.shared.state.txn_ops)]
            await controller.cloud.release([name for name, _ in doomed])
            now = controller.now()
            for name, stamp in doomed:
                self.released[name] = now
                path = f"machine/{name}"
                try:
                    revision = await controller.state.txn({path: stamp}, {path: None})
                    controller.machines.wrote(path, None, revision)
                except Conflict:
                    log.debug("machine %s changed while it was released", name)
            log.info("released %s", ",".join(name for name, _ in doomed))
        await self._adopt_strays()
        return controller.tick_s

    def stray(self, report: Report) -> None:
        if len(self.strays) < 1000:
            self.strays[report.berth] = report

    async def _adopt_strays(self) -> None:
        strays, self.strays = self.strays, {}
        for name, report in strays.items():
            await self._adopt(name, report.hull, report.yard, report.loaners, report.address)

    async def _adopt(self, name: str, kind: str, zone: str, spot: bool, where: str) -> None:
        path = f"machine/{name}"
        controller = self.controller
        now = controller.now()
        if path in controller.machines.entries or kind not in controller.catalog:
            return
        if now - self.released.get(name, -1e9) < 4 * controller.shared.cloud.list_lag_s + controller.workers.lease_s:
            return
        value = {"t": kind, "z": zone, "s": spot, "a": where, "p": "", "at": round(now, 3)}
        try:
            stamp = await controller.state.txn({path: 0}, {path: value})
            log.info("machine %s adopted", name)
            controller.machines.wrote(path, value, stamp)
        except Conflict:
            pass

    async def _look(self) -> float:
        controller = self.controller
        now = controller.now()
        lag = controller.shared.cloud.list_lag_s
        hosts = await controller.cloud.hosts()
        for name in gone_from(self.listed, [host.id for host in hosts], now, 3 * lag):
            # Taken without notice. Its release is the proof; without it, its tasks would wait out its silence.
            entry = self._entry(name)
            if entry and not entry.value.get("x"):
                log.info("machine %s is not listed any more", name)
                await self._mark(name, "not listed any more")
        for host in hosts:
            entry = self._entry(host.id)
            if host.status == "failed":
                if entry and not entry.value.get("x"):
                    log.info("machine %s failed", host.id)
                    await self._mark(host.id, "failed")
            elif entry is None and not self.renting_names and host.age_s > 2 * lag:
                await self._adopt(host.id, host.hull, host.yard, host.loaners, host.address)
        for name, at in list(self.released.items()):
            if now - at > 20 * lag + 60:
                del self.released[name]
        return max(lag, 8 / controller.shared.cloud.rps)
