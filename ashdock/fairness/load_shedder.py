"""Whether a controller that is short of its processor for long hands a shard on, and to whom.

How behind a controller is shows in its beats: each says that a whole round of its loop is over, so one that is behind sends fewer of them than
it is set to. That holds however late we read them, needs no word of a new kind, and is true of controllers of the version before.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

FADES = 1 / 8  # weight of the newest gap between two beats
BEHIND = 2.0  # times the gap that is meant: each round takes as long again as it should
BETTER = 1.5  # how many times shorter the gaps of who is to have the shard have to be


class HeartbeatLag:
    """How far apart beats are, of late."""

    def __init__(self, heartbeat_interval_s: float) -> None:
        self.gap_s = heartbeat_interval_s
        self.at: float | None = None

    def record_heartbeat(self, now: float) -> None:
        if self.at is not None:
            self.gap_s += (now - self.at - self.gap_s) * FADES
        self.at = now


class PeerLoad(NamedTuple):
    """Another controller that may own parts."""

    gap_s: float
    shards: int
    leads: bool


class LoadShedder:
    def __init__(self, heartbeat_interval_s: float, patience_s: float) -> None:
        """`patience_s`: how long we have to be behind, and how long nothing is handed on after something was."""
        self.heartbeat_interval_s = heartbeat_interval_s
        self.patience_s = patience_s
        self.since: float | None = None  # behind since

    def choose_handover(
        self,
        gap_s: float,
        ours: Mapping[str, int],
        leads: bool,
        others: Mapping[str, PeerLoad],
        now: float,
    ) -> tuple[str, str] | None:
        """The shard to hand on and the controller that is to have it. `ours`: the work of each shard here.

        Leading counts as a shard. Only to who then has no more than we have left: else it would come back. The lightest goes: the others'
        workers all have to find their new owner."""
        if gap_s < BEHIND * self.heartbeat_interval_s:
            self.since = None
            return None
        if self.since is None:
            self.since = now
        if now - self.since < self.patience_s or not ours:
            return None
        able = {
            label: other.shards + other.leads
            for label, other in others.items()
            if other.gap_s * BETTER <= gap_s
        }
        label = min(sorted(able), key=lambda label: able[label], default="")
        if not label or able[label] + 1 > len(ours) + leads - 1:
            return None
        self.since = now
        return min(sorted(ours), key=lambda shard: ours[shard]), label
