"""The kinds of machines there are: from the cloud, or from what a controller learnt of it before, if the cloud is down."""

from __future__ import annotations

from typing import Any, Protocol

import msgspec

from ashdock.core.write_limits import WriteLimits
from ashdock.net.cloud import CloudClient, CloudError
from ashdock.net.rate_limiter import RequestPriority
from ashdock.net.store import StoreClient
from ashdock.wire.messages import MachineType

LEARN_S = 60.0  # until they are asked for again


class CatalogContext(Protocol):
    """What of its controller this uses, and no more."""

    tick_s: float
    write_limits: WriteLimits
    cloud: CloudClient
    store: StoreClient
    catalog: dict[str, MachineType]

    @property
    def leader(self) -> object | None: ...


class MachineTypeCatalog:
    def __init__(self, context: CatalogContext) -> None:
        self.context = context

    async def learn(self) -> float:
        """Ask, and keep for others what was answered; seconds until that is due again."""
        context = self.context
        try:
            context.catalog.update(await context.cloud.catalog())
        except CloudError:
            if not context.catalog:
                entries, _ = await context.store.list_prefix("catalog")
                for entry in entries:
                    context.catalog.update(msgspec.convert(entry.value, dict[str, MachineType]))
            return context.tick_s * 4
        if context.leader or not await context.store.get(
            "catalog", priority=RequestPriority.BACKGROUND
        ):
            for path, value in self.values().items():
                # Without a condition: whoever wrote them last, and however late, they are the cloud's.
                await context.store.txn({}, {path: value}, priority=RequestPriority.BACKGROUND)
        return LEARN_S

    def values(self) -> dict[str, Any]:
        """One value, as long as the state service takes it; beyond that as many as they need."""
        shapes = msgspec.to_builtins(self.context.catalog)
        if (
            not self.context.write_limits.announced_apply
            or len(msgspec.json.encode(shapes)) <= self.context.write_limits.value_bytes
        ):
            return {"catalog": shapes}
        return {f"catalog/{label}": {label: shape} for label, shape in shapes.items()}
