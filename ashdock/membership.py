"""A controller's entry among the members: on a lease of its own, with its word on whether shards and lead may be its."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import Any, Protocol

import msgspec

from ashdock.cluster_version import ClusterVersion
from ashdock.crash_loop import CrashLoopDetector
from ashdock.net.store import LeaseLostError, StoreClient, StoreUnavailableError
from ashdock.net.watch_cache import WatchCache
from ashdock.timelines import StartupTimeline

log = logging.getLogger("ashdock.controller")


class MembershipContext(Protocol):
    """What of its controller its membership uses, and no more."""

    label: str
    ttl_s: float
    incarnation: int
    store: StoreClient
    members: WatchCache
    cluster_version: ClusterVersion
    startup_timeline: StartupTimeline

    def now(self) -> float: ...

    def cut_off(self) -> bool: ...

    def renewed(self) -> None: ...

    def doubted(self) -> None: ...

    def membership_lost(self) -> None: ...


class Membership:
    def __init__(self, context: MembershipContext, lease_s: float) -> None:
        self.context = context
        self.hold: int | None = None
        self.began = self.until = (
            0.0  # when its last good renewal was sent, and how long it lasts at least; by the steady clock
        )
        self.fit = True  # as our entry says
        self.crash_loop = CrashLoopDetector(context.ttl_s, lease_s)

    async def keep(self) -> float:
        """Join, or renew; the seconds until that is due again."""
        context = self.context
        pause = context.ttl_s / 4
        await context.cluster_version.known.wait()  # what is written with our name depends on it
        started = time.monotonic()
        try:
            if self.hold is None:
                await self._join()
            else:
                await context.store.renew_lease(self.hold, timeout=context.ttl_s / 2)
                self.crash_loop.look(context.now())
                if self.fit is not self._sound():
                    await self._say_fit(not self.fit)
            context.startup_timeline.joined(time.monotonic())
            self.began, self.until = started, started + context.ttl_s
            context.renewed()
        except LeaseLostError:
            self.lost()
            return 0.0
        except StoreUnavailableError:
            context.doubted()
            return pause / 2
        return pause

    def lost(self) -> None:
        log.info("our membership had ended; joining again")
        self.hold = None
        self.context.membership_lost()

    async def _join(self) -> None:
        context = self.context
        store = context.store
        path, life = f"member/{context.label}", f"life/{context.label}"
        hold, entry, (crash_loop, _) = await asyncio.gather(
            store.grant_lease(int(context.ttl_s * 1000)),
            store.get(path),
            store.list_prefix("life/"),
        )
        kept = next((other for other in crash_loop if other.path == life), None)
        record = self.crash_loop.process_started(
            kept and kept.value,
            [other.value for other in crash_loop if other.path != life],
            context.now(),
        )
        if not self.crash_loop.steady:
            log.info(
                "this controller has ended %d times of late: parts and lead are for others for %.1f s",
                record.ends,
                self.crash_loop.probation_s(),
            )
        fit = self._sound()
        when = {path: entry.revision if entry else 0}
        writes: dict[str, Any] = {path: self._entry(fit)}
        if context.cluster_version.supports_dependencies:
            when[life] = kept.revision if kept else 0
            writes[life] = msgspec.to_builtins(record)
        revision = await store.txn(when, writes, lease=hold, unleased=(life,))
        context.members.apply_own_write(path, writes[path], revision)
        self.hold = hold  # only now: a hold without our name on it would make us no member
        self.fit = fit

    def _entry(self, fit: bool) -> dict[str, Any]:
        return {"incarnation": self.context.incarnation, "fit": fit}

    def _sound(self) -> bool:
        """Whether shards and lead may be ours, as far as we are concerned."""
        return self.crash_loop.steady and not self.context.cut_off()

    async def _say_fit(self, fit: bool) -> None:
        context = self.context
        path = f"member/{context.label}"
        entry = context.members.entries.get(path)
        if entry is None:
            return
        log.info(
            "this controller %s",
            "may own parts and lead again"
            if fit
            else "hears nobody but the state service: parts and lead are for others",
        )
        value = self._entry(fit)
        revision = await context.store.txn({path: entry.revision}, {path: value}, lease=self.hold)
        context.members.apply_own_write(path, value, revision)
        self.fit = fit

    def fit_members(self) -> list[str]:
        """Who may own shards and lead: those that say they are fit. Where none does, all: each taking itself for the only one, they
        claimed every shard from one another."""
        names = {
            path.split("/", 1)[1]: entry.value.get("fit", True)
            for path, entry in self.context.members.entries.items()
        }
        return sorted(name for name, fit in names.items() if fit) or sorted(names)

    def may_serve(self) -> bool:
        return self.fit or self.context.label in self.fit_members()
