"""This controller's entry among the members, on a store lease of its own.

The entry says whether the controller is eligible, that is, whether it may own shards and lead. It is not while it is in a
crash loop (`ashdock.crash_loop`) or reaches nothing but the store.
"""

from __future__ import annotations

import asyncio
import logging
import time
from typing import Any, Protocol

import msgspec
from msgspec import Struct, field

from ashdock.cluster_version import ClusterVersion
from ashdock.crash_loop import CrashLoopDetector
from ashdock.net.store import LeaseLostError, StoreClient, StoreUnavailableError
from ashdock.net.watch_cache import WatchCache
from ashdock.timelines import StartupTimeline

log = logging.getLogger("ashdock.controller")

MEMBER_PREFIX = "member/"
RESTARTS_PREFIX = "life/"
RENEWALS_PER_TTL = 4  # how often the lease is renewed within its lifetime
RENEWAL_TIMEOUT_TTL = 0.5  # share of the lifetime for which an answer to a renewal is awaited


class MembershipRecord(Struct):
    """The record stored under `member/<label>`."""

    incarnation: int = 0  # of the process, a random number
    eligible: bool = field(default=True, name="fit")  # records of early versions lack it


class MembershipContext(Protocol):
    """What the membership uses of its controller."""

    label: str
    ttl_s: float  # lifetime of the membership's store lease
    incarnation: int
    store: StoreClient
    members: WatchCache
    cluster_version: ClusterVersion
    startup_timeline: StartupTimeline

    def now(self) -> float:
        """Time of day, seconds."""
        ...

    def cut_off(self) -> bool:
        """Whether neither another controller nor a worker is heard."""
        ...

    def lease_renewed(self) -> None:
        """Called when the lease was taken or renewed."""
        ...

    def renewal_failed(self) -> None:
        """Called when the store did not answer a renewal."""
        ...

    def membership_lost(self) -> None:
        """Called when the lease has expired."""
        ...


class Membership:
    """Takes, renews and replaces the lease, and publishes eligibility."""

    def __init__(self, context: MembershipContext, agent_lease_s: float) -> None:
        """Starts without a lease; `agent_lease_s` bounds a probation (see `CrashLoopDetector`)."""
        self.context = context
        self.store_lease: int | None = None
        # Both by the monotonic clock, in seconds: when the last successful renewal was sent, and until when the
        # lease lasts at least.
        self.lease_renewed_at = 0.0
        self.lease_expires_at = 0.0
        self.published_eligible = True  # as our entry says
        self.crash_loop = CrashLoopDetector(context.ttl_s, agent_lease_s)

    async def maintain(self) -> float:
        """Joins, or renews the lease and publishes a change of eligibility.

        Returns:
            Seconds until this is to be called again.
        """
        context = self.context
        interval_s = context.ttl_s / RENEWALS_PER_TTL
        await context.cluster_version.known.wait()  # it decides which records are written
        started = time.monotonic()
        try:
            if self.store_lease is None:
                await self._join()
            else:
                await self._renew(self.store_lease)
        except LeaseLostError:
            self.lease_lost()
            return 0.0
        except StoreUnavailableError:
            context.renewal_failed()
            return interval_s / 2
        context.startup_timeline.joined(time.monotonic())
        self.lease_renewed_at = started
        self.lease_expires_at = started + context.ttl_s
        context.lease_renewed()
        return interval_s

    def lease_lost(self) -> None:
        """Forgets an expired lease; the next `maintain` joins again."""
        log.info("membership lease expired, joining again")
        self.store_lease = None
        self.context.membership_lost()

    def eligible_members(self) -> list[str]:
        """Labels of the members that may own shards and lead, sorted.

        If none is eligible all are: otherwise each would take itself for the only candidate, and they would claim
        every shard from one another.
        """
        eligible_by_label = {
            path.split("/", 1)[1]: _decode(entry.value).eligible
            for path, entry in self.context.members.entries.items()
        }
        eligible = [label for label, is_eligible in eligible_by_label.items() if is_eligible]
        return sorted(eligible) or sorted(eligible_by_label)

    def may_own_and_lead(self) -> bool:
        """Whether this controller is among the eligible members."""
        return self.published_eligible or self.context.label in self.eligible_members()

    async def _renew(self, store_lease: int) -> None:
        context = self.context
        await context.store.renew_lease(store_lease, timeout=context.ttl_s * RENEWAL_TIMEOUT_TTL)
        self.crash_loop.advance(context.now())
        if self.published_eligible is not self._is_eligible():
            await self._publish_eligibility(not self.published_eligible)

    async def _join(self) -> None:
        """Takes a lease and writes the member's entry and the record of restarts on it."""
        context = self.context
        store = context.store
        member_path = MEMBER_PREFIX + context.label
        restarts_path = RESTARTS_PREFIX + context.label
        store_lease, entry, (restart_entries, _) = await asyncio.gather(
            store.grant_lease(int(context.ttl_s * 1000)),
            store.get(member_path),
            store.list_prefix(RESTARTS_PREFIX),
        )
        previous = next((other for other in restart_entries if other.path == restarts_path), None)
        record = self.crash_loop.process_started(
            previous and previous.value,
            [other.value for other in restart_entries if other.path != restarts_path],
            context.now(),
        )
        self._log_probation()
        eligible = self._is_eligible()
        conditions = {member_path: entry.revision if entry else 0}
        writes: dict[str, Any] = {member_path: self._encode(eligible)}
        if context.cluster_version.supports_dependencies:
            conditions[restarts_path] = previous.revision if previous else 0
            writes[restarts_path] = msgspec.to_builtins(record)
        revision = await store.txn(conditions, writes, lease=store_lease, unleased=(restarts_path,))
        context.members.apply_own_write(member_path, writes[member_path], revision)
        # Only now: a lease without an entry on it does not make this controller a member.
        self.store_lease = store_lease
        self.published_eligible = eligible

    async def _publish_eligibility(self, eligible: bool) -> None:
        context = self.context
        path = MEMBER_PREFIX + context.label
        entry = context.members.entries.get(path)
        if entry is None:
            return
        if eligible:
            log.info("controller is eligible again to own shards and lead")
        else:
            log.info("controller is not eligible to own shards or lead: it reaches only the store")
        value = self._encode(eligible)
        revision = await context.store.txn(
            {path: entry.revision}, {path: value}, lease=self.store_lease
        )
        context.members.apply_own_write(path, value, revision)
        self.published_eligible = eligible

    def _is_eligible(self) -> bool:
        """Whether this controller should own shards and lead, as far as it can tell of itself."""
        return not self.crash_loop.on_probation and not self.context.cut_off()

    def _encode(self, eligible: bool) -> dict[str, Any]:
        record = MembershipRecord(self.context.incarnation, eligible)
        encoded: dict[str, Any] = msgspec.to_builtins(record)
        return encoded

    def _log_probation(self) -> None:
        if self.crash_loop.on_probation:
            log.info(
                "crash loop detected, controller is not eligible to own shards or lead: restarts=%d probation_s=%.1f",
                self.crash_loop.record.restarts,
                self.crash_loop.probation_s(),
            )


def _decode(value: Any) -> MembershipRecord:
    """Decodes a stored entry; a member whose entry can't be read counts as eligible."""
    try:
        return msgspec.convert(value, MembershipRecord)
    except msgspec.ValidationError:
        return MembershipRecord()
