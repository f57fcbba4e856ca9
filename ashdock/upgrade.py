"""The mark that every controller has the new version: announced by each, written once, and never taken back.

Until it is there nothing is written, or sent over the mesh, that the version in production would not write itself, and jobs
that wait for others are not taken: an owner of that version would start them at once. No switch by hand: a controller that
stays old, or is down and has never been new, holds the mark back, and the log names it.
"""

from __future__ import annotations

import logging
from typing import Protocol

from ashdock.core.bounds import Bounds
from ashdock.net.state import StateClient
from ashdock.settings import Other

log = logging.getLogger("ashdock.upgrade")

FORMS = 2  # of what is written: 1 is all that came before announcements
UNDER = "upgrade/"  # no version before reads anything there
MARK = f"{UNDER}mark"


class UpgradeHouse(Protocol):
    """What of its controller the mark concerns."""

    label: str
    others: list[Other]
    ttl_s: float
    bounds: Bounds
    state: StateClient


class Upgrade:
    def __init__(self, house: UpgradeHouse) -> None:
        self.house = house
        self.looked = False  # whether we know how it stands: before, our own limits may be too large
        self.missing: list[str] | None = None

    @property
    def agreed(self) -> bool:
        return self.house.bounds.agreed

    async def look(self) -> float | None:
        house = self.house
        state = house.state
        entries, _ = await state.under(UNDER)
        found = {entry.path: entry for entry in entries}
        if MARK in found and found[MARK].value["forms"] >= FORMS:
            self._agree("as the mark says")
            return None
        self.looked = True
        ours = f"{UNDER}node/{house.label}"
        if ours not in found or found[ours].value["forms"] < FORMS:
            await state.txn({ours: found[ours].stamp if ours in found else 0}, {ours: {"forms": FORMS}})
            log.info("announced that this controller is of the new version")
            return 0.0
        names = sorted({house.label, *(other.label for other in house.others)})
        announced = {name: found.get(f"{UNDER}node/{name}") for name in names}
        missing = [name for name, entry in announced.items() if entry is None or entry.value["forms"] < FORMS]
        if not missing:
            when = {entry.path: entry.stamp for entry in announced.values() if entry}
            await state.txn({**when, MARK: found[MARK].stamp if MARK in found else 0}, {MARK: {"forms": FORMS, "of": names}})
            self._agree("as all have announced it")
            return None
        if missing != self.missing:
            log.info("not yet of the new version: %s", ", ".join(missing))
            self.missing = missing
        return house.ttl_s / 2

    def _agree(self, why: str) -> None:
        """In force from here on, in this process; the others find the mark when they look next."""
        house = self.house
        house.bounds.agree()
        house.state.keep_within()
        self.looked = True
        self.missing = []
        log.info("all controllers are of the new version, %s", why)
