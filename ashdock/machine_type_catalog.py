"""The catalog of machine types that the cloud offers.

A copy is kept in the store for controllers that start while the cloud is unavailable.
"""

from __future__ import annotations

from typing import Any, Protocol

import msgspec

from ashdock.core.write_limits import WriteLimits
from ashdock.net.cloud import CloudClient, CloudError
from ashdock.net.rate_limiter import RequestPriority
from ashdock.net.store import StoreClient
from ashdock.wire.messages import MachineType

REFRESH_INTERVAL_S = 60.0  # after the cloud has answered
RETRY_TICKS = 4  # ticks of the controller before a retry after the cloud has failed
CATALOG_KEY = "catalog"


class CatalogContext(Protocol):
    """The attributes of the controller that the catalog uses."""

    tick_s: float
    write_limits: WriteLimits
    cloud: CloudClient
    store: StoreClient
    catalog: dict[str, MachineType]  # by label; updated here, read by other components

    @property
    def leader(self) -> object | None:
        """The running leader; None while this controller does not lead."""
        ...


class MachineTypeCatalog:
    """Keeps the controller's catalog and its copy in the store up to date."""

    def __init__(self, context: CatalogContext) -> None:
        """Create the catalog; nothing is read before the first `refresh`."""
        self.context = context

    async def refresh(self) -> float:
        """Update the catalog from the cloud.

        If the cloud fails and no machine type is known yet, the copy in the store is read instead.

        Returns:
            Seconds until the next call.
        """
        context = self.context
        try:
            context.catalog.update(await context.cloud.catalog())
        except CloudError:
            if not context.catalog:
                await self._load()
            return context.tick_s * RETRY_TICKS
        if context.leader or not await self._is_stored():
            await self._save()
        return REFRESH_INTERVAL_S

    async def _load(self) -> None:
        entries, _ = await self.context.store.list_prefix(CATALOG_KEY)
        for entry in entries:
            self.context.catalog.update(msgspec.convert(entry.value, dict[str, MachineType]))

    async def _is_stored(self) -> bool:
        entry = await self.context.store.get(CATALOG_KEY, priority=RequestPriority.BACKGROUND)
        return entry is not None

    async def _save(self) -> None:
        for path, value in self._records().items():
            # Unconditional: every controller writes what the cloud returned, so any version of a
            # record is valid, even one that arrives late.
            await self.context.store.txn({}, {path: value}, priority=RequestPriority.BACKGROUND)

    def _records(self) -> dict[str, Any]:
        """Return the values to store, by key.

        There is one value for all types, unless the announced write limits apply and it exceeds
        them; then there is one for each type.
        """
        limits = self.context.write_limits
        types_by_label = msgspec.to_builtins(self.context.catalog)
        if (
            not limits.announced_apply
            or len(msgspec.json.encode(types_by_label)) <= limits.value_bytes
        ):
            return {CATALOG_KEY: types_by_label}
        return {
            f"{CATALOG_KEY}/{label}": {label: machine_type}
            for label, machine_type in types_by_label.items()
        }
