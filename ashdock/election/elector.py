"""Acquires, renews, transfers and releases leadership, and starts and stops the leader's work.

As in the leader election of Kubernetes' client-go, one loop drives the elector (`run_once`), and a
callback starts the work when leadership is acquired.
"""

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

log = logging.getLogger("ashdock.election")

HISTOGRAM_BUCKETS = 16
FIRST_BUCKETS_PER_LEASE = 64  # store lease duration divided by the first bucket's upper bound
CAMPAIGN_DELAYS_PER_LEASE = 8  # store lease duration divided by the delay from rank to rank


class LeaderWork(Protocol):
    """The work that runs while this controller leads."""

    @property
    def under_way(self) -> bool:
        """Whether an effect is in progress that the next leader would have to reconcile."""
        ...

    def stop(self) -> None:
        """Stop at once, since leadership is lost."""
        ...


LeaderWorkT = TypeVar("LeaderWorkT", bound=LeaderWork)


class ElectorContext(Protocol):
    """The elector's dependencies on its controller."""

    label: str
    ttl_s: float  # duration of the store lease
    store: StoreClient

    @property
    def store_lease(self) -> int | None:
        """Id of the membership's store lease, or `None` without one."""
        ...

    @property
    def lease_renewed_at(self) -> float:
        """Monotonic time at which the last successful renewal was sent."""
        ...

    def may_own_and_lead(self) -> bool:
        """Whether this controller may own shards and lead."""
        ...

    def eligible_members(self) -> list[str]:
        """Labels of the controllers that may own shards and lead."""
        ...

    def load(self) -> Mapping[str, int]:
        """Number of machines assigned to each controller's shards, by label."""
        ...

    def can_name_successor(self) -> bool:
        """Whether all controllers understand a leadership key that names a successor."""
        ...


class LeaderElector(Generic[LeaderWorkT]):
    """Takes part in the election on behalf of one controller."""

    def __init__(
        self,
        context: ElectorContext,
        election: Election,
        key_cache: WatchCache,
        on_started_leading: Callable[[Election], LeaderWorkT],
        allowed: Collection[str],
        transfer_interval_s: float,
    ) -> None:
        """Prepare to take part; nothing happens before `run_once`.

        Args:
            context: The controller.
            election: The state machine of its leadership.
            key_cache: Watch cache that holds the leadership key.
            on_started_leading: Starts the leader's work.
            allowed: Labels that the operators' file allows to lead; empty means all.
            transfer_interval_s: Seconds that an eligible leader leads before it may start a
                transfer, and after which a transfer that has not succeeded is cancelled.
        """
        self.context = context
        self.election = election
        self.key_cache = key_cache
        self.on_started_leading = on_started_leading
        self.allowed = allowed
        self.transfer_interval_s = transfer_interval_s
        self.leader_work: LeaderWorkT | None = None
        # Monotonic times. `successor_named_at` is `None` unless this controller has named a
        # successor and does not know yet whether that one has acquired leadership.
        self.vacant_since: float | None = None
        self.successor_named_at: float | None = None
        self.transfer_began_at = 0.0
        first_bound_s = context.ttl_s / FIRST_BUCKETS_PER_LEASE
        self.leading_durations = DurationHistogram(first_bound_s, HISTOGRAM_BUCKETS)
        self.vacancy_durations = DurationHistogram(first_bound_s, HISTOGRAM_BUCKETS)

    @property
    def entry(self) -> Entry | None:
        """The leadership key as last seen, or `None` if it does not exist."""
        return self.key_cache.entries.get(self.election.path)

    async def run_once(self) -> None:
        """Acquire, keep, transfer or release leadership as the key, lease and members require.

        Raises:
            LeaseLostError: The store lease has expired.
            StoreUnavailableError: The store did not answer.
        """
        if not self.key_cache.ready.is_set():
            return
        self._update_election()
        if self.context.store_lease is None:
            return
        if self.election.is_elected:
            await self._keep_or_transfer()
        else:
            await self._release_unclaimed_transfer()
            await self._campaign()

    def _update_election(self) -> None:
        """Update the state machine from the key and the store lease."""
        now = time.monotonic()
        election, entry = self.election, self.entry
        if entry is not None:
            self.vacant_since = None
        elif self.vacant_since is None:
            self.vacant_since = now
        if self.context.store_lease is not None:
            election.renew(self.context.lease_renewed_at, self.context.ttl_s, now)
        if election.is_elected and entry is None:
            self.stop_leading("the store lease expired")
        elif election.is_elected and entry is not None and entry.revision > election.term:
            self.stop_leading(f"the key names {entry.value.get('label')}")
        election.check_expiry(now)

    def check_lease(self) -> None:
        """Suspend leadership if the store lease was not renewed in time."""
        self.election.check_expiry(time.monotonic())

    def stop_leading(self, reason: str) -> None:
        """Stop the leader's work and become a follower."""
        if self.leader_work is not None:
            self.leader_work.stop()
            self.leader_work = None
        if self.election.is_elected:
            now = time.monotonic()
            log.info("stopped leading: term=%d reason=%s", self.election.term, reason)
            self.leading_durations.add(now - self.election.acquired_at)
            self.election.lose()

    # -- acquire -----------------------------------------------------------------------------------

    async def _campaign(self) -> None:
        """Try to acquire leadership if the key and this controller's rank allow it."""
        entry = self.entry
        holder = self.election.key_holder(entry.value if entry else None)
        if holder is KeyHolder.ANOTHER_CONTROLLER:
            return
        if not self.context.may_own_and_lead():
            if entry is not None:
                # Spares the others the wait for the lease of this controller's previous process.
                await self._release(entry.revision)
            return
        if holder is KeyHolder.NOBODY and not self._may_campaign():
            return
        await self._acquire(entry)

    def _may_campaign(self) -> bool:
        """Return whether the key has been vacant for long enough.

        Candidates of a higher rank number wait longer, so that they do not all write at once.
        """
        context = self.context
        ranked = rank_candidates(context.eligible_members(), self.allowed, context.load())
        rank = ranked.index(context.label) if context.label in ranked else len(ranked)
        vacant_s = time.monotonic() - (self.vacant_since or 0.0)
        return vacant_s >= rank * context.ttl_s / CAMPAIGN_DELAYS_PER_LEASE

    async def _acquire(self, entry: Entry | None) -> None:
        """Write the key, on condition that it still has the revision of `entry`.

        A key that names this very process is written as well: its lease may have expired without
        the watch having reported it, or it may be the result of an earlier write that was applied
        after the request timed out.

        Raises:
            LeaseLostError: The store lease has expired.
            StoreUnavailableError: The store did not answer; whether the key was written is unknown.
        """
        context, election = self.context, self.election
        store_lease = context.store_lease
        reason = _acquisition_reason(entry)
        vacant_since = self.vacant_since if entry is None else None
        value = {"label": election.label, "incarnation": election.incarnation}
        election.begin_campaign()
        try:
            term = await context.store.txn(
                {election.path: entry.revision if entry else 0},
                {election.path: value},
                lease=store_lease,
            )
        except CompareFailedError:
            election.fail_campaign()
            return
        except (LeaseLostError, StoreUnavailableError):
            election.fail_campaign()
            raise
        self.key_cache.apply_own_write(election.path, value, term)
        if context.store_lease != store_lease:
            election.fail_campaign()  # the lease expired meanwhile, and the key with it
            return
        if vacant_since is not None:
            self.vacancy_durations.add(time.monotonic() - vacant_since)
        election.acquire(term, context.lease_renewed_at, context.ttl_s, time.monotonic())
        self.successor_named_at = None
        log.info("started leading: term=%d reason=%s", term, reason)
        self.leader_work = self.on_started_leading(election)

    # -- keep, transfer, release -------------------------------------------------------------------

    async def _keep_or_transfer(self) -> None:
        """Transfer leadership if this controller may not lead any more or another should."""
        if self.election.state is ElectionState.SUSPENDED:
            return
        if not self.context.may_own_and_lead():
            await self._transfer(self._successor())
            return
        now = time.monotonic()
        if self._should_transfer(now):
            self.transfer_began_at = now
            self.election.begin_transfer()
        if self.election.state is not ElectionState.TRANSFERRING:
            return
        successor = self._successor()
        if successor is None or now - self.transfer_began_at > self.transfer_interval_s:
            self.election.cancel_transfer()
        elif self.leader_work is None or not self.leader_work.under_way:
            await self._transfer(successor)

    def _should_transfer(self, now: float) -> bool:
        """Return whether a transfer due to load or to the operators' file should begin."""
        return (
            self.election.state is ElectionState.LEADER
            and now - self.election.acquired_at > self.transfer_interval_s
            and self.context.can_name_successor()
            and self._successor() is not None
        )

    def _successor(self) -> str | None:
        """Return the controller that should lead instead of this one, if any."""
        context = self.context
        others = [label for label in context.eligible_members() if label != context.label]
        if not context.may_own_and_lead():
            return next(iter(rank_candidates(others, self.allowed, context.load())), None)
        return better_candidate(
            context.label, context.eligible_members(), self.allowed, context.load()
        )

    async def _transfer(self, successor: str | None) -> None:
        """Name the successor in the key, or release the key if none can be named.

        The successor acquires leadership when it sees its name. Until then the key stays attached
        to this controller's store lease: if the successor fails, the key is deleted with that lease
        or by `_release_unclaimed_transfer`, whichever comes first.
        """
        election = self.election
        if successor is None or not self.context.can_name_successor():
            await self._release(election.term)
            return
        value: dict[str, Any] = {"label": successor, "incarnation": 0, "by": election.label}
        try:
            revision = await self.context.store.txn(
                {election.path: election.term},
                {election.path: value},
                lease=self.context.store_lease,
            )
        except CompareFailedError:
            return  # the watch reports who leads
        self.stop_leading(f"transferred to {successor}")
        self.successor_named_at = time.monotonic()
        self.key_cache.apply_own_write(election.path, value, revision)

    async def _release(self, revision: int) -> None:
        """Delete the key if it is still at `revision`, so that any candidate may acquire it."""
        path = self.election.path
        try:
            deleted_at = await self.context.store.txn({path: revision}, {path: None})
        except CompareFailedError:
            return
        self.stop_leading("released")
        self.key_cache.apply_own_write(path, None, deleted_at)

    async def _release_unclaimed_transfer(self) -> None:
        """Release the key if the named successor has not acquired it within a store lease."""
        entry = self.entry
        if (
            self.successor_named_at is None
            or entry is None
            or entry.value.get("by") != self.election.label
        ):
            self.successor_named_at = None
        elif time.monotonic() - self.successor_named_at > self.context.ttl_s:
            self.successor_named_at = None
            await self._release(entry.revision)


def _acquisition_reason(entry: Entry | None) -> str:
    """Return why a key with this entry may be acquired, for the log."""
    if entry is None:
        return "the key was vacant"
    if entry.value.get("by"):
        return f"transferred by {entry.value['by']}"
    return "the key named this controller"
