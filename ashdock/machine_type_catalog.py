"""The machine types that the cloud offers; kept in the store as well, for a controller that starts while the cloud is down."""

from __future__ import annotations

from typing import Any, Protocol

import msgspec

from ashdock.core.write_limits import WriteLimits
from ashdock.net.cloud import CloudClient, CloudError
from ashdock.net.rate_limiter import RequestPriority
from ashdock.net.store import StoreClient
from ashdock.wire.messages import MachineType

REFRESH_INTERVAL_S = 60.0  # after an answer of the cloud
RETRY_TICKS = 4  # of the controller, after a failure
CATALOG_KEY = "catalog"


class CatalogContext(Protocol):
    """What the catalog uses of its controller."""

    tick_s: float
    write_limits: WriteLimits
    cloud: CloudClient
    store: StoreClient
    catalog: dict[str, MachineType]  # by label; filled here, read by many

    @property
    def leader(self) -> object | None:
        """The leader's work while this controller leads."""
        ...


class MachineTypeCatalog:
    """Keeps the controller's catalog up to date, and the copy in the store."""

    def __init__(self, context: CatalogContext) -> None:
        """Reads nothing before the first `refresh`."""
        self.context = context

    async def refresh(self) -> float:
        """Asks the cloud, or, if it fails and no machine type is known yet, reads the copy in the store.

        Returns:
            Seconds until this is to be called again.
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
            # Without a condition: whoever wrote a record last, and however late, it came from the cloud.
            await self.context.store.txn({}, {path: value}, priority=RequestPriority.BACKGROUND)

    def _records(self) -> dict[str, Any]:
        """The values to store by key: one for all types if it is within the write limits, else one for each type."""
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
