"""Cache of the store's keys with a prefix, kept up to date by list and watch."""

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
MIN_RETRY_DELAY_S = 0.05  # after the first failed request; doubled with each further one
MAX_RETRY_DELAY_S = 1.0
# Pause after a watch that returned changes: the time in which an equal share of the store's rate
# allows this many requests. Each watch is a request, so dozens of changes a second are taken in
# batches.
BATCH_REQUESTS = 4
SINGLE_KEY_PREFIX = "leader"  # has one key; listed where only the store's revision is needed


class WatchCache:
    """The keys with a prefix, behind the store by a few milliseconds or by an outage.

    Attributes:
        store: client of the store.
        prefix: prefix of the watched keys.
        keep_entries: whether entries are kept, or changes are only passed to the listeners.
        wait_ms: how long one watch request may wait for a change.
        entries: the cached entries by key.
        own_deletes: keys that this controller has deleted, with the revision of the deletion, until
            the watch has passed it.
        revision: the store's revision up to which changes have been applied.
        ready: set while the prefix has been listed and no change has been missed since.
        listeners: called for each change, in order of registration.
        on_gap: called when the watch has expired. Changes were missed then, and where no entries
            are kept, listing again does not recover them.
        complete_since: monotonic time since which no change has been missed; infinite during a gap
            and before the first list.
        synced_at: monotonic time up to which all changes have been passed to the listeners.
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
            store: client of the store.
            prefix: prefix of the keys to watch.
            keep_entries: whether to list and keep entries; if False, changes from the start of the
                watch on are only passed to the listeners.
            wait_ms: how long one watch request may wait for a change.
        """
        self.store = store
        self.prefix = prefix
        self.keep_entries = keep_entries
        self.wait_ms = wait_ms
        self.entries: dict[str, Entry] = {}
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
        """Apply a write of this controller without waiting for the watch to report it."""
        if revision > self.revision:
            self._apply(path, value, revision)
            if value is None and self.keep_entries:
                self.own_deletes[path] = revision

    def _apply(self, path: str, value: Value, revision: int) -> None:
        cached = self.entries.get(path)
        if (cached and cached.revision >= revision) or self.own_deletes.get(path, 0) >= revision:
            return  # older than a write of this controller that the watch has not reached yet
        if value is None:
            self.entries.pop(path, None)
        elif self.keep_entries:
            self.entries[path] = Entry(path, value, revision)
        for listener in self.listeners:
            listener(path, value, revision)

    async def run(self) -> None:
        """List the prefix and watch it until cancelled."""
        retry_delay_s = MIN_RETRY_DELAY_S
        while True:
            try:
                if not self.ready.is_set():
                    await self._list()
                    self.complete_since = time.monotonic()
                requested_at = time.monotonic()
                changes, revision = await self.store.watch(self.prefix, self.revision, self.wait_ms)
                self._apply_changes(changes, revision)
                self.synced_at = requested_at
                retry_delay_s = MIN_RETRY_DELAY_S
                if changes:
                    await asyncio.sleep(self._batch_pause_s())
            except WatchExpiredError:
                self._handle_gap()
            except StoreUnavailableError:
                await asyncio.sleep(retry_delay_s)
                retry_delay_s = min(retry_delay_s * 2, MAX_RETRY_DELAY_S)

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

    def _handle_gap(self) -> None:
        self.ready.clear()
        self.complete_since = math.inf
        if self.on_gap:
            self.on_gap()

    async def _list(self) -> None:
        if not self.keep_entries:
            _, self.revision = await self.store.list_prefix(SINGLE_KEY_PREFIX)
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
