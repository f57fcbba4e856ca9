"""Scales the fleet out by provisioning intents, and in by releasing decommissioned machines."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any, NamedTuple, Protocol

from ashdock.concurrency import iterate_live
from ashdock.core.allocator import ScaleOut
from ashdock.core.write_limits import WriteLimits
from ashdock.election.fencing import NotLeaderError
from ashdock.leader.leadership import Leadership
from ashdock.leader.machine_records import ABSENT, MachineRecord, MachineRecords, RecordWrite
from ashdock.leader.provisioning_intent import (
    INTENT_PREFIX,
    ProvisioningIntent,
    intent_name,
    intent_path,
    scale_out_from_stored,
    scale_out_to_stored,
)
from ashdock.net.cloud import CloudClient, CloudError, NoCapacityError
from ashdock.net.rate_limiter import RequestPriority
from ashdock.net.store import StoreClient
from ashdock.net.store_errors import CompareFailedError, StoreUnavailableError
from ashdock.wire.messages import MachineType

log = logging.getLogger("ashdock.leader")

CLOUD_ATTEMPTS = 5  # requests for one scale-out before its intent is dropped without a response
CLOUD_RETRIES_PER_LEASE = 10  # the pause between requests is a worker lease divided by this
# Writes of rented machines' records. Machines left over are adopted from the cloud's list.
RECORD_ATTEMPTS = 3
MAX_RELEASED_PER_REQUEST = 100  # machines


class IntentNaming(Protocol):
    """Source of intent names, which are never reused.

    Attributes:
        label: This controller's label.
        intent_count: Number of the last intent, counted over all terms of the process.
    """

    label: str
    intent_count: int


class ScaleOutResponse(NamedTuple):
    """The outcome of the requests for a scale-out."""

    names: list[str] | None  # of the machines rented; None: no response, or no capacity
    no_capacity: bool

    def __str__(self) -> str:
        """Format the response for the log."""
        return ",".join(self.names or ()) or ("no capacity" if self.no_capacity else "no response")


class ScaleOutTracker(Protocol):
    """Counts the scale-outs in progress; implemented by the allocator.

    Attributes:
        scale_outs: The scale-outs whose outcome is not known yet.
    """

    scale_outs: list[ScaleOut]

    def scaled_out(self, scale_out: ScaleOut, names: list[str], now: float, /) -> None:
        """Replace the scale-out by the machines that were rented, which may be fewer."""

    def scale_out_failed(self, scale_out: ScaleOut, now: float, /, no_capacity: bool) -> None:
        """Stop counting a scale-out of which no machine is known to have been rented."""


@dataclass(kw_only=True, eq=False)
class Provisioner:
    """Scale-out and scale-in during one term."""

    store: StoreClient
    cloud: CloudClient
    records: MachineRecords
    leadership: Leadership
    scale_out_tracker: ScaleOutTracker
    naming: IntentNaming
    catalog: dict[str, MachineType]
    write_limits: WriteLimits
    state_fresh: Callable[[], bool]  # whether the watch caches are up to date
    on_released: Callable[[list[str]], None]  # called with the names of released machines
    spawn: Callable[[Coroutine[Any, Any, None]], None]  # runs a coroutine in the background
    now: Callable[[], float]  # returns the time in seconds since the epoch
    lease_s: float  # worker lease
    tick_s: float  # pause before a failed write of records is repeated

    open_intents: set[str] = field(default_factory=set)  # names of those in progress
    # Intents whose execution stopped because this controller might not act as leader.
    interrupted_intents: dict[str, ProvisioningIntent] = field(default_factory=dict)
    # Revisions of intents that are carried out and not known to be deleted.
    finished_intents: dict[str, int] = field(default_factory=dict)
    releasing: bool = False

    def __post_init__(self) -> None:
        """Keep the number of the last intent before this term.

        Intents up to it may be left over from leadership of this process that an outage ended.
        """
        self.initial_intent_count = self.naming.intent_count

    @property
    def under_way(self) -> bool:
        """Whether a scale-out or a release is in progress."""
        return bool(self.open_intents or self.releasing)

    @property
    def scaling_out(self) -> bool:
        """Whether a scale-out is in progress; its machines may be listed without a record."""
        return bool(self.open_intents)

    # -- scale-out -----------------------------------------------------------------------------

    async def scale_out(self, scale_out: ScaleOut) -> None:
        """Store an intent and carry it out.

        If the intent cannot be stored, the scale-out is reported as failed.

        Raises:
            NotLeaderError: The term ended, or its lease is in doubt. The stored intent is kept for
                `resume_intents`, of this leader or the next one.
        """
        self.naming.intent_count += 1
        # Never reused: no other process leads in this term, and this process only counts up.
        name = f"{self._name_prefix}.{self.naming.intent_count}"
        self.open_intents.add(name)
        try:
            revision = await self._write_intent(name, scale_out)
        except (CompareFailedError, StoreUnavailableError, NotLeaderError) as error:
            log.debug("provisioning intent not written: intent=%s error=%r", name, error)
            self.open_intents.discard(name)
            self.scale_out_tracker.scale_out_failed(scale_out, self.now(), no_capacity=False)
            return
        await self._carry_out(ProvisioningIntent(name, scale_out, revision), tracked=scale_out)

    @property
    def _name_prefix(self) -> str:
        return f"{self.naming.label}.{self.leadership.term}"

    async def _write_intent(self, name: str, scale_out: ScaleOut) -> int:
        self.leadership.check()
        path = intent_path(name)
        return await self.store.txn(
            {path: ABSENT, **self.leadership.condition}, {path: scale_out_to_stored(scale_out)}
        )

    async def _carry_out(self, intent: ProvisioningIntent, tracked: ScaleOut | None) -> None:
        """Request machines from the cloud, record them, and delete the intent.

        Args:
            intent: The stored intent, whose request may have been sent before.
            tracked: The scale-out as the tracker counts it until its outcome is known; None: it is
                not counted, since its machine type is not in the catalog.

        Raises:
            NotLeaderError: The term ended, or its lease is in doubt.
        """
        no_capacity = False
        try:
            response = await self._request_machines(intent)
            no_capacity = response.no_capacity
            self._log_response(intent, response)
            now = self.now()
            if tracked is not None and response.names is not None:
                self.scale_out_tracker.scaled_out(tracked, response.names, now)
                tracked = None
            if response.names:
                await self._record_machines(intent.scale_out, response.names, now)
            self.finished_intents[intent.name] = intent.revision
            await self._delete_finished_intents()
        except NotLeaderError:
            # The intent stays stored: this leader resumes it once its lease is renewed, or else the
            # next leader does.
            self.interrupted_intents[intent.name] = intent
            raise
        finally:
            if tracked is not None:
                self.scale_out_tracker.scale_out_failed(tracked, self.now(), no_capacity)
            self.open_intents.discard(intent.name)

    async def _request_machines(self, intent: ProvisioningIntent) -> ScaleOutResponse:
        """Request machines until the cloud answers, at most CLOUD_ATTEMPTS times.

        The intent's name is the idempotency key: a repeated request rents nothing twice.
        """
        scale_out = intent.scale_out
        for _ in range(CLOUD_ATTEMPTS):
            try:
                names = await self.cloud.rent(
                    intent.name,
                    scale_out.type,
                    scale_out.zone,
                    scale_out.spot,
                    scale_out.number,
                    self.leadership.check,
                )
            except NoCapacityError:
                return ScaleOutResponse(None, no_capacity=True)
            except CloudError as error:
                log.debug("scale-out request failed: intent=%s error=%s", intent.name, error)
                await asyncio.sleep(self.lease_s / CLOUD_RETRIES_PER_LEASE)
            else:
                return ScaleOutResponse(names, no_capacity=False)
        return ScaleOutResponse(None, no_capacity=False)

    @staticmethod
    def _log_response(intent: ProvisioningIntent, response: ScaleOutResponse) -> None:
        scale_out = intent.scale_out
        log.info(
            "scale-out requested: intent=%s number=%d type=%s zone=%s spot=%s teams=%s response=%s",
            intent.name,
            scale_out.number,
            scale_out.type,
            scale_out.zone,
            scale_out.spot,
            ",".join(team for team, _ in scale_out.teams),
            response,
        )

    async def _record_machines(self, scale_out: ScaleOut, names: list[str], now: float) -> None:
        """Record rented machines, except those recorded already after an early heartbeat."""
        writes = {
            name: RecordWrite(
                ABSENT,
                MachineRecord(
                    scale_out.type,
                    scale_out.zone,
                    scale_out.spot,
                    address="",
                    shard=team,
                    timestamp=now,
                    is_scale_out_time=True,
                ).to_stored(),
            )
            for name, team in scale_out.assign_teams(names)
        }
        for _ in range(RECORD_ATTEMPTS):
            try:
                await self.records.write_all(writes)
            except StoreUnavailableError:
                await asyncio.sleep(self.tick_s)
                writes = {
                    name: write
                    for name, write in writes.items()
                    if self.records.entry(name) is None
                }
            else:
                return

    # -- intents of earlier terms --------------------------------------------------------------

    async def resume_intents(self) -> None:
        """Carry out the unfinished intents of earlier terms and those that were interrupted.

        Their requests are repeated to learn the outcome. All of them are counted as in progress
        before new decisions are allowed; otherwise the same machines were requested again.

        Raises:
            NotLeaderError: The term is over, or its lease is in doubt.
            StoreUnavailableError: The store did not answer.
        """
        self.leadership.check()
        await self._delete_finished_intents()
        intents = await self._unfinished_intents()
        tracked_by_intent = {
            name: intent.scale_out
            for name, intent in intents.items()
            if intent.scale_out.type in self.catalog
        }
        self.scale_out_tracker.scale_outs += tracked_by_intent.values()
        self.open_intents.update(intents)
        self.leadership.complete_reconciliation()
        for name, intent in intents.items():
            self.spawn(self._carry_out(intent, tracked_by_intent.get(name)))

    async def _unfinished_intents(self) -> dict[str, ProvisioningIntent]:
        """Stored intents of earlier terms and interrupted ones, if not in progress or carried out.

        Stored intents of this leader are left out: they may have been carried out and deleted since
        the list was read. If such a request were repeated, the cloud would name the same machines,
        and those released meanwhile would be recorded again.
        """
        entries, _ = await self.store.list_prefix(INTENT_PREFIX)
        stored = {intent_name(entry.path): entry for entry in entries}
        intents = {
            name: ProvisioningIntent(name, scale_out_from_stored(entry.value), entry.revision)
            for name, entry in stored.items()
            if not self._is_of_this_leader(name)
        } | self.interrupted_intents
        self.interrupted_intents.clear()
        return {
            name: intent
            for name, intent in intents.items()
            if name not in self.finished_intents and name not in self.open_intents
        }

    def _is_of_this_leader(self, name: str) -> bool:
        """Whether this provisioner, rather than an earlier one, wrote the intent."""
        prefix, _, number = name.rpartition(".")
        return prefix == self._name_prefix and int(number) > self.initial_intent_count

    async def _delete_finished_intents(self) -> None:
        """Delete the intents that are carried out.

        The next leader would repeat the request of one left over, and record its machines again
        although they may have been released long before.
        """
        for name, revision in iterate_live(self.finished_intents):
            path = intent_path(name)
            try:
                await self.store.txn(
                    {path: revision, **self.leadership.condition},
                    {path: None},
                    priority=RequestPriority.BACKGROUND,
                )
            except CompareFailedError as error:
                self.leadership.check_not_replaced(error.failed_keys)
            except StoreUnavailableError as error:
                log.debug("provisioning intent not deleted: intent=%s error=%s", name, error)
                return
            self.finished_intents.pop(name, None)

    # -- scale-in ------------------------------------------------------------------------------

    async def scale_in(self) -> None:
        """Release decommissioned machines, and then delete their records.

        The cloud's response proves that the machines and the tasks on them are gone.

        Raises:
            CloudError: The cloud did not answer. The machines stay decommissioned, so that their
                release is repeated.
            NotLeaderError: The term is over, or its lease is in doubt.
            StoreUnavailableError: The store did not answer; some records may have been deleted.
        """
        decommissioned = self.records.decommissioned()
        if not decommissioned or not self.state_fresh():
            return
        decommissioned = decommissioned[: min(MAX_RELEASED_PER_REQUEST, self.write_limits.ops)]
        names = [name for name, _ in decommissioned]
        self.releasing = True
        try:
            await self.cloud.release(names, self.leadership.check)
            self.on_released(names)
            await self.records.write_all(
                {name: RecordWrite(revision, None) for name, revision in decommissioned}
            )
        finally:
            self.releasing = False
        log.info("machines released: machines=%s", ",".join(names))
