"""The cluster version: a feature gate that opens once every controller is known to understand a version.

Each controller announces the version that it understands. Whoever sees that all have announced a higher one than is in
force writes it to the store, once, and it is never taken back. Until then nothing is stored, or sent to another controller,
that the version in production would not write itself, and jobs with dependencies are refused: an owner of that version
would start them at once. There is no manual switch: a controller that stays old, or is down and has never been new, keeps
the gate closed, and the log names it.
"""

from __future__ import annotations

import asyncio
import logging
from enum import IntEnum
from typing import Protocol

from ashdock.core.write_limits import WriteLimits
from ashdock.net.store import Entry, StoreClient
from ashdock.settings import OtherController

log = logging.getLogger("ashdock.cluster_version")


class Feature(IntEnum):
    """What the versions brought, by the version that each needs."""

    DEPENDENCIES = 2  # jobs with dependencies, and chunks within the store's smaller limits
    FENCED_COMMANDS = 3  # commands between controllers carry the term; a leader names its successor
    CANCELLATION_WATERMARK = 4  # cancellations are broadcast, and watermark echoes sent


INITIAL_VERSION = 1  # of controllers that announce nothing
SUPPORTED_VERSION = int(max(Feature))  # by this program; tests replace it to play an earlier one

PREFIX = "upgrade/"  # earlier versions read nothing there
ANNOUNCEMENT_PREFIX = f"{PREFIX}node/"  # followed by the label of a controller
CLUSTER_VERSION_KEY = f"{PREFIX}mark"
VERSION_FIELD = "forms"  # of both records
CONTROLLERS_FIELD = "of"  # of the cluster version's: the controllers that had announced it


class ClusterVersionContext(Protocol):
    """What the cluster version uses of its controller."""

    label: str
    others: list[OtherController]
    ttl_s: float  # lifetime of a membership lease
    write_limits: WriteLimits
    store: StoreClient


class ClusterVersion:
    """What all controllers are known to understand, as this one has read it."""

    def __init__(self, context: ClusterVersionContext) -> None:
        """Starts at the initial version, until `negotiate` has read the store."""
        self.context = context
        # Set once the store has been read: before that our own write limits may be too large.
        self.known = asyncio.Event()
        self.version = INITIAL_VERSION
        self.missing: list[str] | None = None  # that have not announced ours; None: not looked yet

    @property
    def is_known(self) -> bool:
        """Whether the store has been read."""
        return self.known.is_set()

    @property
    def supports_dependencies(self) -> bool:
        """Whether jobs with dependencies are accepted and the store's smaller limits kept to."""
        return self.context.write_limits.announced_apply

    @property
    def fences_commands(self) -> bool:
        """Whether commands carry a term, so that those without one are from a process that has ended."""
        return self.version >= Feature.FENCED_COMMANDS

    @property
    def broadcasts_cancellations(self) -> bool:
        """Whether all controllers tell one another of cancellations."""
        return self.version >= Feature.CANCELLATION_WATERMARK

    async def negotiate(self) -> float | None:
        """Reads the version in force, announces ours, and raises the one in force if all have announced more.

        Returns:
            Seconds until this is to be called again; None once the version in force is ours.
        """
        entries, _ = await self.context.store.list_prefix(PREFIX)
        found = {entry.path: entry for entry in entries}
        if CLUSTER_VERSION_KEY in found:
            self._activate(_version_of(found[CLUSTER_VERSION_KEY]), "stored")
        self.known.set()
        if self.version >= SUPPORTED_VERSION:
            return None
        if await self._announce(found):
            return 0.0
        announced = self._announcements(found)
        common = min(
            _version_of(entry) if entry else INITIAL_VERSION for entry in announced.values()
        )
        if common > self.version:
            # The version that all understand, be it lower than ours: two versions after the one in production may
            # meet as well.
            await self._raise_version(common, announced, found.get(CLUSTER_VERSION_KEY))
            if common >= SUPPORTED_VERSION:
                return None
        self._log_missing(announced)
        return self.context.ttl_s / 2

    async def _announce(self, found: dict[str, Entry]) -> bool:
        """Announces the version that we understand; False if that has been done before."""
        path = ANNOUNCEMENT_PREFIX + self.context.label
        entry = found.get(path)
        if entry is not None and _version_of(entry) >= SUPPORTED_VERSION:
            return False
        await self.context.store.txn(
            {path: entry.revision if entry else 0}, {path: {VERSION_FIELD: SUPPORTED_VERSION}}
        )
        log.info("announced the version of this controller: version=%d", SUPPORTED_VERSION)
        return True

    def _announcements(self, found: dict[str, Entry]) -> dict[str, Entry | None]:
        """What each controller of the settings has announced, by label, sorted."""
        labels = sorted({self.context.label, *(other.label for other in self.context.others)})
        return {label: found.get(ANNOUNCEMENT_PREFIX + label) for label in labels}

    async def _raise_version(
        self, version: int, announced: dict[str, Entry | None], stored: Entry | None
    ) -> None:
        """Writes a new version in force, provided that no announcement has changed meanwhile."""
        conditions = {entry.path: entry.revision for entry in announced.values() if entry}
        await self.context.store.txn(
            {**conditions, CLUSTER_VERSION_KEY: stored.revision if stored else 0},
            {CLUSTER_VERSION_KEY: {VERSION_FIELD: version, CONTROLLERS_FIELD: list(announced)}},
        )
        self._activate(version, "announced by all")

    def _activate(self, version: int, source: str) -> None:
        """Brings a version into force in this process; the other controllers find it when they negotiate next."""
        context = self.context
        if version >= Feature.DEPENDENCIES and not context.write_limits.announced_apply:
            context.write_limits.apply_announced()
            context.store.apply_write_limits()
        if version <= self.version:
            return
        self.version = version
        if version >= SUPPORTED_VERSION:
            self.missing = []
        log.info(
            "cluster version raised: version=%d supported=%d source=%s",
            version,
            SUPPORTED_VERSION,
            source,
        )

    def _log_missing(self, announced: dict[str, Entry | None]) -> None:
        """Names the controllers that keep the gate closed, whenever they are others than before."""
        missing = [
            label
            for label, entry in announced.items()
            if entry is None or _version_of(entry) < SUPPORTED_VERSION
        ]
        if missing != self.missing:
            log.info("controllers have not announced this version: missing=%s", ",".join(missing))
            self.missing = missing


def _version_of(entry: Entry) -> int:
    """The version in a stored record. Raises KeyError if it has none."""
    return int(entry.value[VERSION_FIELD])
