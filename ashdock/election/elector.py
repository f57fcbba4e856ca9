"""Looks after the seat of one duty: takes it, keeps it, hands it on, and lets its work go when it is lost."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Collection, Mapping
from typing import Any, Generic, Protocol, TypeVar

from ashdock.core.duration_histogram import DurationHistogram
from ashdock.election.candidates import better_candidate, rank_candidates
from ashdock.election.election import Election, ElectionState, KeyHolder
from ashdock.net.store import (
    CompareFailedError,
    Entry,
    LeaseLostError,
    StoreClient,
    StoreUnavailableError,
)
from ashdock.net.watch_cache import WatchCache

log = logging.getLogger("ashdock.duties")

BOUNDS = 16  # of histograms, from a sixty-fourth of a lease


class Work(Protocol):
    """What is done while the seat is held."""

    @property
    def under_way(self) -> bool:
        """Whether something is that the next holder would have to find out about."""
        ...

    def stop(self) -> None: ...


Held = TypeVar("Held", bound=Work)


class ElectorContext(Protocol):
    """What of its controller a holder uses, and no more."""

    label: str
    ttl_s: float
    store: StoreClient

    @property
    def hold(self) -> int | None: ...

    @property
    def hold_began(self) -> float: ...

    def may_serve(self) -> bool: ...

    def fit_members(self) -> list[str]: ...

    def load(self) -> Mapping[str, int]: ...

    def names_successor(self) -> bool: ...


class LeaderElector(Generic[Held]):
    def __init__(
        self,
        context: ElectorContext,
        election: Election,
        replica: WatchCache,
        begin: Callable[[Election], Held],
        allowed: Collection[str],
        settle_s: float,
    ) -> None:
        """`settle_s`: a seat is handed on for the sake of load at most once in that time, and given up trying after that."""
        self.context = context
        self.election = election
        self.replica = replica
        self.begin = begin
        self.allowed = allowed
        self.settle_s = settle_s
        self.work: Held | None = None
        self.free_since: float | None = None
        self.named_at: float | None = None  # the next one is named and has not taken it
        self.handing_since = 0.0
        self.held_s = DurationHistogram(context.ttl_s / 64, BOUNDS)
        self.gap_s = DurationHistogram(context.ttl_s / 64, BOUNDS)

    @property
    def entry(self) -> Entry | None:
        return self.replica.entries.get(self.election.path)

    async def tend(self) -> None:
        """Look at the key, our lease and the others, and do what follows. Raises HoldLost, Unavailable."""
        if not self.replica.ready.is_set():
            return
        self._look()
        if self.context.hold is None:
            return
        if self.election.held:
            await self._keep()
        else:
            await self._reclaim()
            await self._try()

    def _look(self) -> None:
        now = time.monotonic()
        election, entry = self.election, self.entry
        if entry is not None:
            self.free_since = None
        elif self.free_since is None:
            self.free_since = now
        if self.context.hold is not None:
            election.renewed(self.context.hold_began, self.context.ttl_s, now)
        if election.held and (entry is None or entry.revision > election.term):
            self.lose(
                "its lease is over" if entry is None else f"{entry.value.get('label')} has it"
            )
        election.look(now)

    def doubt(self) -> None:
        """Time has gone by without a renewal."""
        self.election.look(time.monotonic())

    def lose(self, why: str) -> None:
        if self.work is not None:
            self.work.stop()
            self.work = None
        if self.election.held:
            now = time.monotonic()
            log.info("this controller no longer leads: %s", why)
            self.held_s.add(now - self.election.taken_at)
            self.election.lost(now)

    # -- taking it -----------------------------------------------------------------------------------------------

    async def _try(self) -> None:
        context, election, entry = self.context, self.election, self.entry
        stands = election.stands(entry.value if entry else None)
        if stands is KeyHolder.ANOTHER:
            return
        if not context.may_serve():
            if entry is not None:
                await self._drop(
                    entry.revision
                )  # for others, and they need not wait for the lease of our last life
            return
        if stands is KeyHolder.NOBODY and not self._turn():
            return
        await self._take(entry)

    def _turn(self) -> bool:
        """Each tries a little later than the one it suits better, so that not all write at once."""
        names = rank_candidates(self.context.fit_members(), self.allowed, self.context.load())
        place = names.index(self.context.label) if self.context.label in names else len(names)
        free_s = time.monotonic() - (self.free_since or 0.0)
        return free_s >= place * self.context.ttl_s / 8

    async def _take(self, entry: Entry | None) -> None:
        context, election = self.context, self.election
        hold = context.hold
        # A key that names this very process is taken by a write like any other: it may be that of a lease that is over, of which the watch
        # has not told yet, or a write of ours that was applied after we had given up on it.
        why = (
            "nobody did"
            if entry is None
            else f"handed on by {entry.value['by']}"
            if entry.value.get("by")
            else "it was ours before"
        )
        gap_since = self.free_since if entry is None else None
        value = {"label": election.label, "incarnation": election.incarnation}
        election.taking()
        try:
            term = await context.store.txn(
                {election.path: entry.revision if entry else 0}, {election.path: value}, lease=hold
            )
        except CompareFailedError:
            election.refused()
            return
        except (LeaseLostError, StoreUnavailableError):
            election.refused()
            raise
        self.replica.apply_own_write(election.path, value, term)
        if context.hold != hold:  # our membership ended meanwhile, and the key with it
            election.refused()
            return
        if gap_since is not None:
            self.gap_s.add(time.monotonic() - gap_since)
        election.taken(term, context.hold_began, context.ttl_s, time.monotonic())
        self.named_at = None
        log.info("this controller leads, stamp %d: %s", term, why)
        self.work = self.begin(election)

    # -- handing it on --------------------------------------------------------------------------------------------

    async def _keep(self) -> None:
        context, election = self.context, self.election
        now = time.monotonic()
        if election.phase is ElectionState.SUSPENDED:
            return
        if not context.may_serve():
            await self._hand(self._next())
            return
        if (
            election.phase is ElectionState.LEADER
            and now - election.taken_at > self.settle_s
            and context.names_successor()
            and self._next() is not None
        ):
            self.handing_since = now
            election.handing()
        if election.phase is ElectionState.TRANSFERRING:
            to = self._next()
            if to is None or now - self.handing_since > self.settle_s:
                election.kept()
            elif self.work is None or not self.work.under_way:
                await self._hand(to)

    def _next(self) -> str | None:
        context = self.context
        others = [label for label in context.fit_members() if label != context.label]
        if not context.may_serve():
            return next(iter(rank_candidates(others, self.allowed, context.load())), None)
        return better_candidate(context.label, context.fit_members(), self.allowed, context.load())

    async def _hand(self, to: str | None) -> None:
        """Name the next one, which takes the seat on seeing it. The key stays on our own lease until then: should the one named not come,
        it ends with that lease, or is dropped before."""
        election = self.election
        if to is None or not self.context.names_successor():
            await self._drop(election.term)
            return
        value: dict[str, Any] = {"label": to, "incarnation": 0, "by": election.label}
        try:
            revision = await self.context.store.txn(
                {election.path: election.term}, {election.path: value}, lease=self.context.hold
            )
        except CompareFailedError:
            return  # the watch will tell who has it
        self.lose(f"handed on to {to}")
        self.named_at = time.monotonic()
        self.replica.apply_own_write(election.path, value, revision)

    async def _drop(self, revision: int) -> None:
        path = self.election.path
        try:
            gone = await self.context.store.txn({path: revision}, {path: None})
        except CompareFailedError:
            return
        self.lose("given up")
        self.replica.apply_own_write(path, None, gone)

    async def _reclaim(self) -> None:
        """The one we named has not come: free the seat for all."""
        entry = self.entry
        if self.named_at is None or entry is None or entry.value.get("by") != self.election.label:
            self.named_at = None
        elif time.monotonic() - self.named_at > self.context.ttl_s:
            self.named_at = None
            await self._drop(entry.revision)
