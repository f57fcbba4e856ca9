"""The allocator's input: a view of every machine."""

from __future__ import annotations

from ashdock.core.machine_index import MachineView
from ashdock.leader.heartbeats import UnassignedHeartbeats
from ashdock.leader.machine_records import ABSENT, machine_path, machine_view
from ashdock.net.watch_cache import WatchCache


class MachineSnapshot:
    """Views of all machines, recorded or not. A view is rebuilt only when its record has changed.

    Decoding the image lists of thousands of records several times a second took most of the
    leader's processor time.
    """

    def __init__(self, cache: WatchCache, heartbeats: UnassignedHeartbeats) -> None:
        """Read records from `cache` and unrecorded machines from `heartbeats`."""
        self.cache = cache
        self.heartbeats = heartbeats
        self.views_by_path: dict[str, MachineView] = {}

    def machine_views(self) -> list[MachineView]:
        """Views of the unrecorded machines, as unassigned ones, followed by the recorded machines.

        The allocator sees unrecorded machines too, because recording and assigning one together
        takes one write instead of two.
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
        previous_views, self.views_by_path = self.views_by_path, {}
        for path, entry in entries.items():
            previous = previous_views.get(path)
            self.views_by_path[path] = (
                previous
                if previous is not None and previous.revision == entry.revision
                else machine_view(entry)
            )
        return unrecorded + list(self.views_by_path.values())
