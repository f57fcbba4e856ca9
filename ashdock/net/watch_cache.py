"""A prefix of the store kept in memory by list and watch."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable

from ashdock.net.store import StoreClient
from ashdock.net.store_errors import StoreUnavailableError, WatchExpiredError
from ashdock.net.store_messages import Change, Entry, Value

# Called with a key, its new value (None: it was deleted) and the revision of the change.
ChangeListener = Callable[[str, Value, int], None]

WATCH_WAIT_MS = 20_000  # how long the store may keep a watch open without a change
MIN_RETRY_S = 0.05  # pause after the first failed request; doubled with each further one
MAX_RETRY_S = 1.0
# Pause after changes came, in requests of an equal share of the store's rate: each watch opened is a
# request, so where changes come by the dozen a second they are taken in batches.
BATCH_REQUESTS = 4
SMALL_PREFIX = "leader"  # a single key: listed where only the store's revision is wanted


class WatchCache:
    """The entries with a prefix, behind the store by a few milliseconds or by an outage.

    Attributes:
        entries: what is known, by key.
        revision: the store's revision up to which changes were taken in.
        ready: set while the entries have been listed and no change was missed since.
        on_gap: called when changes were missed that a new list does not tell of.
        complete_since: monotonic time since which no change has been missed; infinite in a gap.
        synced_at: monotonic time up to which all changes have been passed on.
    """

    def __init__(
        self,
        store: StoreClient,
        prefix: str,
        keep_entries: bool = True,
        wait_ms: int = WATCH_WAIT_MS,
    ) -> None:
        """Watch nothing yet: see `run`.

        Args:
            store: where the prefix is read.
            prefix: of the keys to watch.
            keep_entries: if not, changes from now on are passed to the listeners and nothing is kept.
            wait_ms: how long one watch request may wait for a change.
        """
        self.store = store
        self.prefix = prefix
        self.keep_entries = keep_entries
        self.wait_ms = wait_ms
        self.entries: dict[str, Entry] = {}
        # Deleted by this controller: at what revision, until the watch has passed it.
        self.own_deletes: dict[str, int] = {}
        self.revision = 0
        self.ready = asyncio.Event()
        self.listeners: list[ChangeListener] = []
        self.on_gap: Callable[[], None] | None = None
        self.complete_since = math.inf
        self.synced_at = -math.inf

    def on_change(self, listener: ChangeListener) -> None:
        """Call the listener for each change from now on, in order of registration."""
        self.listeners.append(listener)

    def apply_own_write(self, path: str, value: Value, revision: int) -> None:
        """Take in a write of this controller without waiting for the watch to report it."""
        if revision > self.revision:
            self._apply(path, value, revision)
            if value is None and self.keep_entries:
                self.own_deletes[path] = revision

    def _apply(self, path: str, value: Value, revision: int) -> None:
        known = self.entries.get(path)
        if (known and known.revision >= revision) or self.own_deletes.get(path, 0) >= revision:
            return  # older than an own write that the watch has not reached yet
        if value is None:
            self.entries.pop(path, None)
        elif self.keep_entries:
            self.entries[path] = Entry(path, value, revision)
        for listener in self.listeners:
            listener(path, value, revision)

    async def run(self) -> None:
        """List the prefix and watch it, for ever. Runs as a task of its own."""
        retry_s = MIN_RETRY_S
        while True:
            try:
                if not self.ready.is_set():
                    await self._list()
                    self.complete_since = time.monotonic()
                asked_at = time.monotonic()
                changes, revision = await self.store.watch(self.prefix, self.revision, self.wait_ms)
                self._apply_changes(changes, revision)
                self.synced_at = asked_at
                retry_s = MIN_RETRY_S
                if changes:
                    await asyncio.sleep(self._batch_pause_s())
            except WatchExpiredError:
                self._note_gap()
            except StoreUnavailableError:
                await asyncio.sleep(retry_s)
                retry_s = min(retry_s * 2, MAX_RETRY_S)

    def _batch_pause_s(self) -> float:
        return BATCH_REQUESTS / self.store.usable_rate.requests * self.store.controllers

    def _apply_changes(self, changes: list[Change], revision: int) -> None:
        for change in changes:
            if change.put_path is not None:
                self._apply(change.put_path, change.value, change.revision)
            elif change.deleted_path is not None:
                self._apply(change.deleted_path, None, change.revision)
        self.revision = max(self.revision, revision)
        if self.own_deletes:
            self.own_deletes = {
                path: deleted_at
                for path, deleted_at in self.own_deletes.items()
                if deleted_at > self.revision
            }

    def _note_gap(self) -> None:
        self.ready.clear()
        self.complete_since = math.inf
        if self.on_gap:
            self.on_gap()

    async def _list(self) -> None:
        if not self.keep_entries:
            _, self.revision = await self.store.list_prefix(SMALL_PREFIX)
            self.ready.set()
            return
        entries, revision = await self.store.list_prefix(self.prefix)
        found = {entry.path for entry in entries}
        for path in [path for path in self.entries if path not in found]:
            self._apply(path, None, revision)
        for entry in entries:
            self._apply(*entry)
        self.revision = revision
        self.ready.set()
