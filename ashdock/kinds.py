"""The kinds of machines there are: from the cloud, or from what a controller learnt of it before, if the cloud is down."""

from __future__ import annotations

from typing import Any, Protocol

import msgspec

from ashdock.core.bounds import Bounds
from ashdock.net.budget import Turn
from ashdock.net.cloud import CloudClient, CloudTrouble
from ashdock.net.store import StoreClient
from ashdock.wire.messages import MachineType

LEARN_S = 60.0  # until they are asked for again


class KindsHouse(Protocol):
    """What of its controller this uses, and no more."""

    tick_s: float
    bounds: Bounds
    cloud: CloudClient
    store: StoreClient
    catalog: dict[str, MachineType]

    @property
    def leader(self) -> object | None: ...


class Kinds:
    def __init__(self, house: KindsHouse) -> None:
        self.house = house

    async def learn(self) -> float:
        """Ask, and keep for others what was answered; seconds until that is due again."""
        house = self.house
        try:
            house.catalog.update(await house.cloud.catalog())
        except CloudTrouble:
            if not house.catalog:
                entries, _ = await house.store.under("catalog")
                for entry in entries:
                    house.catalog.update(msgspec.convert(entry.value, dict[str, MachineType]))
            return house.tick_s * 4
        if house.leader or not await house.store.get("catalog", turn=Turn.PATIENT):
            for path, value in self.values().items():
                # Without a condition: whoever wrote them last, and however late, they are the cloud's.
                await house.store.txn({}, {path: value}, turn=Turn.PATIENT)
        return LEARN_S

    def values(self) -> dict[str, Any]:
        """One value, as long as the state service takes it; beyond that as many as they need."""
        shapes = msgspec.to_builtins(self.house.catalog)
        if (
            not self.house.bounds.agreed
            or len(msgspec.json.encode(shapes)) <= self.house.bounds.value_bytes
        ):
            return {"catalog": shapes}
        return {f"catalog/{label}": {label: shape} for label, shape in shapes.items()}
