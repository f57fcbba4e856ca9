"""The machines as the allocator sees them in one round."""

from __future__ import annotations

from ashdock.core.machine_index import MachineView
from ashdock.leader.heartbeats import UnassignedHeartbeats
from ashdock.leader.machine_records import ABSENT, machine_path, machine_view
from ashdock.net.watch_cache import WatchCache


class MachineSnapshot:
    """Views of all machines, recorded or not; a view is made anew only when its record has changed.

    Thousands of lists of images, read several times a second, were most of what leading cost.
    """

    def __init__(self, cache: WatchCache, heartbeats: UnassignedHeartbeats) -> None:
        """Take records from `cache` and unrecorded machines from `heartbeats`."""
        self.cache = cache
        self.heartbeats = heartbeats
        self.views: dict[str, MachineView] = {}  # by path

    def machine_views(self) -> list[MachineView]:
        """Unrecorded machines first, as unassigned ones, then the recorded ones.

        An unrecorded machine is recorded when it is assigned, in one write instead of two.
        """
        entries = self.cache.entries
        unrecorded = [
            MachineView(
                name,
                "",
                machine.heartbeat.machine_type,
                machine.heartbeat.zone,
                machine.heartbeat.spot,
                ABSENT,
                "",
            )
            for name, machine in self.heartbeats.unrecorded.items()
            if machine_path(name) not in entries
        ]
        before, self.views = self.views, {}
        for path, entry in entries.items():
            known = before.get(path)
            self.views[path] = (
                known
                if known is not None and known.revision == entry.revision
                else machine_view(entry)
            )
        return unrecorded + list(self.views.values())
