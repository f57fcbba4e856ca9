"""Maintains this controller's membership: an entry in the store attached to a lease.

The entry tells whether the controller is eligible, that is, whether it may own shards and lead. A
controller is not eligible while it is on probation after a crash loop (`ashdock.crash_loop`) or
while it reaches only the store, and neither another controller nor a worker.
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
RENEWALS_PER_TTL = 4  # renewals within the duration of the lease
RENEWAL_TIMEOUT_TTLS = 0.5  # timeout of a renewal request, in durations of the lease


class MembershipRecord(Struct):
    """The record stored under `member/<label>`."""

    incarnation: int = 0  # random number of the process
    eligible: bool = field(default=True, name="fit")  # missing in records of early versions


class MembershipContext(Protocol):
    """The membership's dependencies on its controller."""

    label: str
    ttl_s: float  # duration of the membership's store lease
    incarnation: int
    store: StoreClient
    members: WatchCache
    cluster_version: ClusterVersion
    startup_timeline: StartupTimeline

    def now(self) -> float:
        """Return the time in seconds since the epoch."""
        ...

    def cut_off(self) -> bool:
        """Return whether neither another controller nor a worker has been heard recently."""
        ...

    def lease_renewed(self) -> None:
        """Called when the lease was granted or renewed."""
        ...

    def renewal_failed(self) -> None:
        """Called when the store did not answer a request of `Membership.maintain`."""
        ...

    def membership_lost(self) -> None:
        """Called when the lease has expired."""
        ...


class Membership:
    """Acquires, renews and replaces the lease, and publishes eligibility.

    Attributes:
        store_lease: Id of the lease, or `None` while this controller is not a member.
        lease_renewed_at: Monotonic time at which the last successful renewal was sent.
        lease_expires_at: Monotonic time before which the store does not end the lease, if both
            clocks run at the same rate.
        published_eligible: Eligibility according to this controller's entry in the store.
    """

    def __init__(self, context: MembershipContext, worker_lease_s: float) -> None:
        """Start without a lease.

        Args:
            context: The controller.
            worker_lease_s: Duration of a worker's lease; bounds a probation.
        """
        self.context = context
        self.store_lease: int | None = None
        self.lease_renewed_at = 0.0
        self.lease_expires_at = 0.0
        self.published_eligible = True
        self.crash_loop = CrashLoopDetector(context.ttl_s, worker_lease_s)

    async def maintain(self) -> float:
        """Join, or renew the lease and publish a change of eligibility.

        Returns:
            Seconds until the next call.

        Raises:
            CompareFailedError: A record was changed meanwhile.
        """
        context = self.context
        interval_s = context.ttl_s / RENEWALS_PER_TTL
        # The cluster version determines which records are written.
        await context.cluster_version.known.wait()
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
        """Discard an expired lease, so that the next `maintain` joins again."""
        log.info("membership lease expired, joining again")
        self.store_lease = None
        self.context.membership_lost()

    def eligible_members(self) -> list[str]:
        """Return the labels of the members that may own shards and lead, sorted.

        If no member is eligible, all members are returned: otherwise each would consider itself the
        only candidate, and they would claim every shard from one another.
        """
        eligible_by_label = {
            path.split("/", 1)[1]: _decode(entry.value).eligible
            for path, entry in self.context.members.entries.items()
        }
        eligible = [label for label, is_eligible in eligible_by_label.items() if is_eligible]
        return sorted(eligible) or sorted(eligible_by_label)

    def may_own_and_lead(self) -> bool:
        """Return whether this controller may own shards and lead."""
        return self.published_eligible or self.context.label in self.eligible_members()

    async def _renew(self, store_lease: int) -> None:
        context = self.context
        await context.store.renew_lease(store_lease, timeout=context.ttl_s * RENEWAL_TIMEOUT_TTLS)
        self.crash_loop.advance(context.now())
        if self.published_eligible is not self._is_eligible():
            await self._publish_eligibility(not self.published_eligible)

    async def _join(self) -> None:
        """Acquire a lease; write the member's entry on it and the restart record without it."""
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
        # Set only now, since a lease without an entry does not make this controller a member.
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
            log.info("controller reaches only the store, not eligible to own shards or lead")
        value = self._encode(eligible)
        revision = await context.store.txn(
            {path: entry.revision}, {path: value}, lease=self.store_lease
        )
        context.members.apply_own_write(path, value, revision)
        self.published_eligible = eligible

    def _is_eligible(self) -> bool:
        """Return whether this controller should own shards and lead, by its own observations."""
        return not self.crash_loop.on_probation and not self.context.cut_off()

    def _encode(self, eligible: bool) -> dict[str, Any]:
        record = MembershipRecord(self.context.incarnation, eligible)
        encoded: dict[str, Any] = msgspec.to_builtins(record)
        return encoded

    def _log_probation(self) -> None:
        if self.crash_loop.on_probation:
            log.info(
                "crash loop detected, not eligible to own shards or lead: "
                "restarts=%d probation_s=%.1f",
                self.crash_loop.record.restarts,
                self.crash_loop.probation_s(),
            )


def _decode(value: Any) -> MembershipRecord:
    """Decode a stored entry; one that cannot be decoded counts as eligible."""
    try:
        return msgspec.convert(value, MembershipRecord)
    except msgspec.ValidationError:
        return MembershipRecord()
