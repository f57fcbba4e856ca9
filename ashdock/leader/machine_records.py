"""Machine records (`machine/<name>`) and the leader's access to them."""

from __future__ import annotations

import logging
from typing import Any, NamedTuple

from ashdock.core.machine import fit_machine_record, stored_images
from ashdock.core.machine_index import MachineView
from ashdock.core.write_limits import WriteLimits
from ashdock.leader.leadership import Leadership
from ashdock.net.store import Entry, StoreClient
from ashdock.net.store_errors import CompareFailedError
from ashdock.net.watch_cache import WatchCache
from ashdock.wire.messages import Heartbeat, Host

log = logging.getLogger("ashdock.leader")

MACHINE_PREFIX = "machine/"
ABSENT = 0  # the revision of a key that does not exist

# Field names of a stored machine record.
TYPE = "t"
ZONE = "z"
SPOT = "s"
ADDRESS = "a"
SHARD = "p"  # "": unassigned
TIMESTAMP = "at"  # when it was rented or discovered, in seconds since the epoch
IS_SCALE_OUT_TIME = "r"  # present if the timestamp is when it was rented
INCARNATION = "n"
DECOMMISSIONED = "x"  # the reason; absent or empty: not decommissioned


class MachineRecord(NamedTuple):
    """A machine's record when the leader creates it."""

    machine_type: str
    zone: str
    spot: bool
    address: str  # "": not known yet
    shard: str  # "": unassigned
    timestamp: float  # when it was rented or discovered, in seconds since the epoch
    is_scale_out_time: bool = False  # whether the timestamp is when it was rented
    incarnation: int | None = None  # of its worker; None: not recorded

    @classmethod
    def from_source(cls, source: Heartbeat | Host, shard: str, now: float) -> MachineRecord:
        """Build the record of a machine found by its heartbeat or in the cloud's list.

        Args:
            source: The machine's heartbeat, or its entry in the cloud's list.
            shard: The shard that it is assigned to; "": none.
            now: The time in seconds since the epoch.
        """
        return cls(source.machine_type, source.zone, source.spot, source.address, shard, now)

    def to_stored(self) -> dict[str, Any]:
        """Encode the record as a value of the store."""
        value: dict[str, Any] = {
            TYPE: self.machine_type,
            ZONE: self.zone,
            SPOT: self.spot,
            ADDRESS: self.address,
            SHARD: self.shard,
            TIMESTAMP: round(self.timestamp, 3),
        }
        if self.is_scale_out_time:
            value[IS_SCALE_OUT_TIME] = 1
        if self.incarnation is not None:
            value[INCARNATION] = self.incarnation
        return value


class RecordWrite(NamedTuple):
    """A write to a machine's record, applied only if the record still has `revision`."""

    revision: int  # ABSENT: the record must not exist
    value: dict[str, Any] | None  # None: delete the record


def machine_path(name: str) -> str:
    """The key of the record of the machine `name`."""
    return f"{MACHINE_PREFIX}{name}"


def machine_name(path: str) -> str:
    """The name of the machine whose record has the key `path`."""
    return path.split("/", 1)[1]


def is_decommissioned(entry: Entry) -> bool:
    """Whether a record marks its machine as decommissioned."""
    return bool(entry.value.get(DECOMMISSIONED))


def machine_view(entry: Entry) -> MachineView:
    """Decode a record into the view that the allocator works on."""
    value = entry.value
    return MachineView(
        machine_name(entry.path),
        value[SHARD],
        value[TYPE],
        value[ZONE],
        value[SPOT],
        entry.revision,
        value.get(DECOMMISSIONED, ""),
        frozenset(image for image, _ in stored_images(value)),
    )


class MachineRecords:
    """The records of all machines.

    They are read from the watch cache. A write is applied only if the leader's term and the
    record's revision still hold.
    """

    def __init__(
        self,
        store: StoreClient,
        cache: WatchCache,
        leadership: Leadership,
        write_limits: WriteLimits,
    ) -> None:
        """Read from `cache`, and write to `store` under `leadership` and within `write_limits`."""
        self.store = store
        self.cache = cache
        self.leadership = leadership
        self.write_limits = write_limits

    def entry(self, name: str) -> Entry | None:
        """The record of the machine `name`, or None if there is none."""
        return self.cache.entries.get(machine_path(name))

    def decommissioned(self) -> list[tuple[str, int]]:
        """Names of all decommissioned machines, with the revisions of their records."""
        return [
            (machine_name(entry.path), entry.revision)
            for entry in self.cache.entries.values()
            if is_decommissioned(entry)
        ]

    def scale_out_times(self) -> dict[str, float]:
        """When each machine was rented, in seconds since the epoch, where its record tells."""
        return {
            machine_name(entry.path): entry.value[TIMESTAMP]
            for entry in self.cache.entries.values()
            if entry.value.get(IS_SCALE_OUT_TIME)
        }

    def writes_within(self, duration_s: float) -> int:
        """How many records this controller's share of the write rate lets it write in `duration_s`.

        At least one.
        """
        return max(1, int(duration_s * self.store.write_limiter.per_s))

    async def create(self, name: str, record: MachineRecord) -> bool:
        """Write the record of a machine that has none.

        Returns:
            Whether it was written; not if a record exists already or another leader was elected.

        Raises:
            StoreUnavailableError: The store did not answer; the record may have been written.
        """
        path = machine_path(name)
        value = record.to_stored()
        try:
            revision = await self.store.txn(
                {path: ABSENT, **self.leadership.condition}, {path: value}
            )
        except CompareFailedError:
            return False
        log.info("unrecorded machine adopted: machine=%s", name)
        self.cache.apply_own_write(path, value, revision)
        return True

    async def write_all(self, writes: dict[str, RecordWrite]) -> list[str]:
        """Write the records that still have the given revisions, in batched transactions.

        Returns:
            Names of the machines whose records were written.

        Raises:
            NotLeaderError: Another controller was elected meanwhile.
            StoreUnavailableError: The store did not answer; some records may have been written.
        """
        names = list(writes)
        written: list[str] = []
        while names:
            batch_size = max(1, min(self.write_limits.ops, int(self.store.write_limiter.per_s / 2)))
            written += await self._write_batch({name: writes[name] for name in names[:batch_size]})
            names = names[batch_size:]
        return written

    async def _write_batch(self, writes: dict[str, RecordWrite]) -> list[str]:
        """Write records in one transaction, repeated without those whose revision has changed."""
        max_bytes = self.write_limits.value_bytes
        remaining = {
            name: RecordWrite(
                write.revision, write.value and fit_machine_record(write.value, max_bytes)
            )
            for name, write in writes.items()
        }
        while remaining:
            try:
                revision = await self._write_transaction(remaining)
            except CompareFailedError as error:
                self.leadership.check_not_replaced(error.failed_keys)
                changed = {machine_name(path) for path in error.failed_keys} & set(remaining)
                log.debug(
                    "machine records changed before their write: machines=%s",
                    ",".join(sorted(changed)),
                )
                if not changed:
                    return []
                remaining = {
                    name: write for name, write in remaining.items() if name not in changed
                }
                continue
            for name, write in remaining.items():
                self.cache.apply_own_write(machine_path(name), write.value, revision)
            return list(remaining)
        return []

    async def _write_transaction(self, writes: dict[str, RecordWrite]) -> int:
        """Write all or none of the records, and return their new revision."""
        compares = {
            **self.leadership.condition,
            **{machine_path(name): write.revision for name, write in writes.items()},
        }
        return await self.store.txn(
            compares, {machine_path(name): write.value for name, write in writes.items()}
        )
