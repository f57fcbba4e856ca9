"""Scales the fleet out from durable provisioning intents, and in by releasing decommissioned machines."""

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

CLOUD_ATTEMPTS = 5  # of one scale-out, until the intent is given up as not answered
CLOUD_ATTEMPTS_PER_LEASE = 10  # attempts in the time of an agent lease
RECORD_ATTEMPTS = 3  # to record what was rented; afterwards it is found in the cloud's list
MAX_RELEASED = 100  # machines in one request


class IntentNaming(Protocol):
    """Where the numbers of intents come from: they go on over all terms of a process, since names are never reused."""

    label: str
    intent_count: int


class ScaleOutAnswer(NamedTuple):
    """What the cloud said to a scale-out."""

    names: list[str] | None  # of the machines rented; None: no answer, or no capacity
    no_capacity: bool

    def __str__(self) -> str:
        """For the log."""
        return ",".join(self.names or ()) or ("no capacity" if self.no_capacity else "no answer")


class ScaleOutResults(Protocol):
    """Who counts the scale-outs that are under way: the allocator."""

    scale_outs: list[ScaleOut]

    def scaled_out(self, scale_out: ScaleOut, names: list[str], now: float, /) -> None:
        """The machines `names` were rented."""

    def scale_out_failed(self, scale_out: ScaleOut, now: float, /, no_capacity: bool) -> None:
        """Nothing is known to have been rented."""


@dataclass(kw_only=True, eq=False)
class Provisioner:
    """Scale-out and scale-in of one term."""

    store: StoreClient
    cloud: CloudClient
    records: MachineRecords
    leadership: Leadership
    results: ScaleOutResults
    naming: IntentNaming
    catalog: dict[str, MachineType]
    write_limits: WriteLimits
    state_fresh: Callable[[], bool]  # whether the watch caches are up to date
    on_released: Callable[[list[str]], None]  # called with the machines that are gone
    spawn: Callable[[Coroutine[Any, Any, None]], None]
    now: Callable[[], float]  # the time of day in seconds
    lease_s: float
    tick_s: float

    open_intents: set[str] = field(default_factory=set)
    # Those that were broken off while the leader's lease was in doubt.
    interrupted: dict[str, ProvisioningIntent] = field(default_factory=dict)
    finished_intents: dict[str, int] = field(default_factory=dict)  # carried out: revision
    releasing: bool = False

    def __post_init__(self) -> None:
        """Note which intents an earlier term of this process, ended by an outage, may have left."""
        self.intents_before = self.naming.intent_count

    @property
    def under_way(self) -> bool:
        """Whether a scale-out or a release has begun and is not over."""
        return bool(self.open_intents or self.releasing)

    @property
    def scaling_out(self) -> bool:
        """Whether an intent is not carried out yet, so that its machines may be listed without a record."""
        return bool(self.open_intents)

    # -- scale-out -----------------------------------------------------------------------------

    async def scale_out(self, scale_out: ScaleOut) -> None:
        """Write an intent and carry it out.

        Raises:
            NotLeaderError: The term ended; the intent, if it was written, is left to the next leader.
        """
        self.naming.intent_count += 1
        # Unique for good: no other process has led in this term, and within it the number only grows.
        name = f"{self._name_prefix}.{self.naming.intent_count}"
        self.open_intents.add(name)
        try:
            revision = await self._write_intent(name, scale_out)
        except (CompareFailedError, StoreUnavailableError, NotLeaderError) as error:
            log.debug("provisioning intent not written intent=%s error=%r", name, error)
            self.open_intents.discard(name)
            self.results.scale_out_failed(scale_out, self.now(), no_capacity=False)
            return
        await self._carry_out(ProvisioningIntent(name, scale_out, revision), counted=scale_out)

    @property
    def _name_prefix(self) -> str:
        return f"{self.naming.label}.{self.leadership.term}"

    async def _write_intent(self, name: str, scale_out: ScaleOut) -> int:
        self.leadership.check()
        path = intent_path(name)
        return await self.store.txn(
            {path: ABSENT, **self.leadership.condition}, {path: scale_out_to_stored(scale_out)}
        )

    async def _carry_out(self, intent: ProvisioningIntent, counted: ScaleOut | None) -> None:
        """Ask the cloud, record what it gave, and delete the intent.

        Args:
            intent: What is to be carried out, for the first time or once more.
            counted: The scale-out that the allocator counts as on its way until its result is known.

        Raises:
            NotLeaderError: The term ended, or its lease is in doubt.
        """
        no_capacity = False
        try:
            answer = await self._request_machines(intent)
            no_capacity = answer.no_capacity
            self._log_answer(intent, answer)
            now = self.now()
            if counted is not None and answer.names is not None:
                self.results.scaled_out(counted, answer.names, now)
                counted = None
            if answer.names:
                await self._record_machines(intent.scale_out, answer.names, now)
            self.finished_intents[intent.name] = intent.revision
            await self._delete_finished_intents()
        except NotLeaderError:
            # It is durable: this controller goes on with it once its lease is renewed, or the next leader does.
            self.interrupted[intent.name] = intent
            raise
        finally:
            if counted is not None:
                self.results.scale_out_failed(counted, self.now(), no_capacity)
            self.open_intents.discard(intent.name)

    async def _request_machines(self, intent: ProvisioningIntent) -> ScaleOutAnswer:
        """Ask the cloud until it answers. The name makes a repeated request harmless: nothing is rented twice."""
        wanted = intent.scale_out
        for _ in range(CLOUD_ATTEMPTS):
            try:
                names = await self.cloud.rent(
                    intent.name,
                    wanted.type,
                    wanted.zone,
                    wanted.spot,
                    wanted.number,
                    self.leadership.check,
                )
            except NoCapacityError:
                return ScaleOutAnswer(None, no_capacity=True)
            except CloudError as error:
                log.debug("scale-out not answered intent=%s error=%s", intent.name, error)
                await asyncio.sleep(self.lease_s / CLOUD_ATTEMPTS_PER_LEASE)
            else:
                return ScaleOutAnswer(names, no_capacity=False)
        return ScaleOutAnswer(None, no_capacity=False)

    @staticmethod
    def _log_answer(intent: ProvisioningIntent, answer: ScaleOutAnswer) -> None:
        wanted = intent.scale_out
        log.info(
            "scale-out intent=%s number=%d type=%s zone=%s spot=%s teams=%s answer=%s",
            intent.name,
            wanted.number,
            wanted.type,
            wanted.zone,
            wanted.spot,
            ",".join(team for team, _ in wanted.teams),
            answer,
        )

    async def _record_machines(self, scale_out: ScaleOut, names: list[str], now: float) -> None:
        """Record rented machines. One that reported sooner may be recorded already: that record stays."""
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
        """Take in what earlier terms set out to rent, and repeat their requests to learn the result.

        All of it is counted as on its way before anything is decided: otherwise the same machines were asked for again.

        Raises:
            NotLeaderError: The term is over, or its lease is in doubt.
            StoreUnavailableError: The store did not answer.
        """
        self.leadership.check()
        await self._delete_finished_intents()
        intents = await self._unfinished_intents()
        counted = {
            name: intent.scale_out
            for name, intent in intents.items()
            if intent.scale_out.type in self.catalog
        }
        self.results.scale_outs += counted.values()
        self.open_intents.update(intents)
        self.leadership.reconciled()
        for name, intent in intents.items():
            self.spawn(self._carry_out(intent, counted.get(name)))

    async def _unfinished_intents(self) -> dict[str, ProvisioningIntent]:
        """Those of earlier terms and the interrupted ones, without those that are under way or carried out.

        Intents of this term may have been carried out and deleted since the list was read. Repeated, the cloud would name
        machines again that were released meanwhile, and each would be recorded once more.
        """
        entries, _ = await self.store.list_prefix(INTENT_PREFIX)
        stored = {intent_name(entry.path): entry for entry in entries}
        intents = {
            name: ProvisioningIntent(name, scale_out_from_stored(entry.value), entry.revision)
            for name, entry in stored.items()
            if not self._is_of_this_term(name)
        } | self.interrupted
        self.interrupted.clear()
        return {
            name: intent
            for name, intent in intents.items()
            if name not in self.finished_intents and name not in self.open_intents
        }

    def _is_of_this_term(self, name: str) -> bool:
        """Whether it was written since this leader began."""
        prefix, _, number = name.rpartition(".")
        return prefix == self._name_prefix and int(number) > self.intents_before

    async def _delete_finished_intents(self) -> None:
        """Delete the intents that are carried out.

        One left over would be repeated by the next leader, and machines recorded again that were released long ago.
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
                log.debug("provisioning intent not deleted intent=%s error=%s", name, error)
                return
            self.finished_intents.pop(name, None)

    # -- scale-in ------------------------------------------------------------------------------

    async def scale_in(self) -> None:
        """Release decommissioned machines. The cloud's answer proves that they and all on them are gone.

        Raises:
            CloudError: The cloud did not answer; the machines stay decommissioned and are released again.
            NotLeaderError: The term is over, or its lease is in doubt.
        """
        decommissioned = self.records.decommissioned()
        if not decommissioned or not self.state_fresh():
            return
        decommissioned = decommissioned[: min(MAX_RELEASED, self.write_limits.ops)]
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
        log.info("machines released machines=%s", ",".join(names))
