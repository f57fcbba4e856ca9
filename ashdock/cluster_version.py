"""The cluster version: a feature gate that opens once every controller supports a version.

Each controller announces in the store the version that it supports. A controller that finds that
all have announced a higher version than the cluster version raises the latter, which is never
lowered. Until then nothing is stored, or sent to another controller, that controllers of the
earlier version would not write themselves, and jobs with dependencies are refused: an owner of the
earlier version would start them at once, without waiting for their dependencies.

There is no manual override. A controller that is not upgraded, or that is down and has never run
the new version, keeps the gate closed, and the log names it.
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
    """Features that need a cluster version; the value is the lowest version that has them."""

    DEPENDENCIES = 2  # jobs with dependencies; writes within the store's announced smaller limits
    FENCED_COMMANDS = 3  # commands between controllers carry the term; a leader names its successor
    CANCELLATION_WATERMARK = 4  # cancellations are broadcast, and watermark echoes are sent


INITIAL_VERSION = 1  # version of controllers that announce none
# The version that this program supports; tests replace it to simulate an earlier program.
SUPPORTED_VERSION = int(max(Feature))

PREFIX = "upgrade/"  # controllers of the initial version do not read these keys
ANNOUNCEMENT_PREFIX = f"{PREFIX}node/"  # followed by a controller's label
CLUSTER_VERSION_KEY = f"{PREFIX}mark"
VERSION_FIELD = "forms"  # in announcements and in the cluster version's record
# In the cluster version's record: labels of the controllers that support that version.
CONTROLLERS_FIELD = "of"


class ClusterVersionContext(Protocol):
    """The attributes of the controller that the cluster version uses."""

    label: str
    others: list[OtherController]
    ttl_s: float  # lifetime of the membership's store lease, in seconds
    write_limits: WriteLimits
    store: StoreClient


class ClusterVersion:
    """The version that all controllers are known to support, as this one has read or written it."""

    def __init__(self, context: ClusterVersionContext) -> None:
        """Start at the initial version, until `negotiate` has read the store."""
        self.context = context
        # Set once the store has been read: until then this controller's write limits may be larger
        # than what the store accepts.
        self.known = asyncio.Event()
        self.version = INITIAL_VERSION
        # Labels of the controllers that have not announced the version that this one supports; None
        # until first computed.
        self.missing: list[str] | None = None

    @property
    def is_known(self) -> bool:
        """Whether the stored version has been read."""
        return self.known.is_set()

    @property
    def supports_dependencies(self) -> bool:
        """Whether jobs with dependencies are accepted and the announced write limits apply."""
        return self.context.write_limits.announced_apply

    @property
    def fences_commands(self) -> bool:
        """Whether all controllers send commands with a term.

        A command without one then comes from a process of an earlier version, which has ended.
        """
        return self.version >= Feature.FENCED_COMMANDS

    @property
    def broadcasts_cancellations(self) -> bool:
        """Whether all controllers broadcast cancellations to one another."""
        return self.version >= Feature.CANCELLATION_WATERMARK

    async def negotiate(self) -> float | None:
        """Advance the cluster version as far as all controllers allow.

        Reads the cluster version, announces the version that this controller supports, and raises
        the cluster version if all controllers have announced a higher one.

        Returns:
            Seconds until the next call; None once the cluster version is the supported one.
        """
        entries, _ = await self.context.store.list_prefix(PREFIX)
        entries_by_path = {entry.path: entry for entry in entries}
        if CLUSTER_VERSION_KEY in entries_by_path:
            self._activate(_version_of(entries_by_path[CLUSTER_VERSION_KEY]), "stored")
        self.known.set()
        if self.version >= SUPPORTED_VERSION:
            return None
        if await self._announce(entries_by_path):
            return 0.0
        announced = self._announcements(entries_by_path)
        common_version = min(
            _version_of(entry) if entry else INITIAL_VERSION for entry in announced.values()
        )
        if common_version > self.version:
            # The highest version that all support may be lower than the one supported here:
            # controllers of two new versions may run side by side.
            await self._raise_version(
                common_version, announced, entries_by_path.get(CLUSTER_VERSION_KEY)
            )
            if common_version >= SUPPORTED_VERSION:
                return None
        self._log_missing(announced)
        return self.context.ttl_s / 2

    async def _announce(self, entries_by_path: dict[str, Entry]) -> bool:
        """Announce the supported version; return False if it was announced before."""
        path = ANNOUNCEMENT_PREFIX + self.context.label
        entry = entries_by_path.get(path)
        if entry is not None and _version_of(entry) >= SUPPORTED_VERSION:
            return False
        await self.context.store.txn(
            {path: entry.revision if entry else 0}, {path: {VERSION_FIELD: SUPPORTED_VERSION}}
        )
        log.info("announced the version of this controller: version=%d", SUPPORTED_VERSION)
        return True

    def _announcements(self, entries_by_path: dict[str, Entry]) -> dict[str, Entry | None]:
        """Return the announcement of each controller in the settings, by label, in sorted order."""
        labels = sorted({self.context.label, *(other.label for other in self.context.others)})
        return {label: entries_by_path.get(ANNOUNCEMENT_PREFIX + label) for label in labels}

    async def _raise_version(
        self, version: int, announced: dict[str, Entry | None], stored: Entry | None
    ) -> None:
        """Write a new cluster version, provided that no announcement has changed meanwhile."""
        conditions = {entry.path: entry.revision for entry in announced.values() if entry}
        await self.context.store.txn(
            {**conditions, CLUSTER_VERSION_KEY: stored.revision if stored else 0},
            {CLUSTER_VERSION_KEY: {VERSION_FIELD: version, CONTROLLERS_FIELD: list(announced)}},
        )
        self._activate(version, "announced by all")

    def _activate(self, version: int, source: str) -> None:
        """Apply a cluster version in this process.

        The other controllers read it in their next `negotiate`.
        """
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
        """Log the controllers that keep the gate closed, whenever that list changes."""
        missing = [
            label
            for label, entry in announced.items()
            if entry is None or _version_of(entry) < SUPPORTED_VERSION
        ]
        if missing != self.missing:
            log.info("controllers have not announced this version: missing=%s", ",".join(missing))
            self.missing = missing


def _version_of(entry: Entry) -> int:
    """Return the version in a stored record; raise KeyError if it has none."""
    return int(entry.value[VERSION_FIELD])
