"""The mark that every controller has the new version: announced by each, written once, and never taken back.

Until it is there nothing is written, or sent over the mesh, that the version in production would not write itself, and jobs
that wait for others are not taken: an owner of that version would start them at once. No switch by hand: a controller that
stays old, or is down and has never been new, holds the mark back, and the log names it.
"""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol

from ashdock.core.write_limits import WriteLimits
from ashdock.net.store import StoreClient
from ashdock.settings import Other

log = logging.getLogger("ashdock.cluster_version")

# Of what is written and sent: 1 is all that came before announcements; 2 brought jobs that wait and narrower chunks; 3 words under a
# term, and a next holder named; 4 cancellations told over the mesh, and vouched for.
CURRENT_FORMS = 4
UNDER = "upgrade/"  # no version before reads anything there
MARK = f"{UNDER}mark"


class ClusterVersionContext(Protocol):
    """What of its controller the mark concerns."""

    label: str
    others: list[Other]
    ttl_s: float
    write_limits: WriteLimits
    store: StoreClient


class ClusterVersion:
    def __init__(self, context: ClusterVersionContext) -> None:
        self.context = context
        self.known = asyncio.Event()  # how it stands: before, our own limits may be too large
        self.missing: list[str] | None = None
        self.forms = 1  # that all controllers are known to know

    @property
    def looked(self) -> bool:
        return self.known.is_set()

    @property
    def supports_dependencies(self) -> bool:
        return self.context.write_limits.announced_apply

    @property
    def fences_commands(self) -> bool:
        """Whether words go out under a term, and those without one are of a process that has ended."""
        return self.forms >= 3

    @property
    def broadcasts_cancellations(self) -> bool:
        """Whether all controllers tell one another of cancellations."""
        return self.forms >= 4

    async def look(self) -> float | None:
        context = self.context
        store = context.store
        entries, _ = await store.list_prefix(UNDER)
        found = {entry.path: entry for entry in entries}
        if MARK in found:
            self._agree(int(found[MARK].value["forms"]), "as the mark says")
        self.known.set()
        if self.forms >= CURRENT_FORMS:
            return None
        ours = f"{UNDER}node/{context.label}"
        if ours not in found or found[ours].value["forms"] < CURRENT_FORMS:
            await store.txn(
                {ours: found[ours].revision if ours in found else 0},
                {ours: {"forms": CURRENT_FORMS}},
            )
            log.info("announced that this controller is of the new version")
            return 0.0
        names = sorted({context.label, *(other.label for other in context.others)})
        announced = {name: found.get(f"{UNDER}node/{name}") for name in names}
        common = min(int(entry.value["forms"]) if entry else 1 for entry in announced.values())
        if common > self.forms:
            # What all of them know, be it less than we do: two versions after the one in production may meet as well.
            when = {entry.path: entry.revision for entry in announced.values() if entry}
            await store.txn(
                {**when, MARK: found[MARK].revision if MARK in found else 0},
                {MARK: {"forms": common, "of": names}},
            )
            self._agree(common, "as all have announced it")
            if common >= CURRENT_FORMS:
                return None
        missing = [
            name
            for name, entry in announced.items()
            if entry is None or entry.value["forms"] < CURRENT_FORMS
        ]
        if missing != self.missing:
            log.info("not yet of the new version: %s", ", ".join(missing))
            self.missing = missing
        return context.ttl_s / 2

    def _agree(self, forms: int, why: str) -> None:
        """In force from here on, in this process; the others find the mark when they look next."""
        context = self.context
        if forms >= 2 and not context.write_limits.announced_apply:
            context.write_limits.apply_announced()
            context.store.apply_write_limits()
        if forms > self.forms:
            self.forms = forms
            if forms >= CURRENT_FORMS:
                self.missing = []
                log.info("all controllers are of the new version, %s", why)
            else:
                log.info("all controllers know what came before the new version, %s", why)
