"""Decides whether a controller that stays short of processor time hands a shard over, and to whom.

A controller sends a heartbeat after each full round of its loop, so one that is behind sends fewer
than configured. That shows however late the heartbeats are read, needs no message of its own, and
holds for controllers of the previous version as well.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

NEWEST_GAP_WEIGHT = 1 / 8  # in the moving average of the gaps between heartbeats
# A controller is behind when its gaps are at least this many times the heartbeat interval.
BEHIND_FACTOR = 2.0
MIN_GAP_RATIO = 1.5  # the gaps of the new owner have to be shorter by this factor


class HeartbeatLag:
    """Moving average of the gap between the heartbeats of one controller.

    Attributes:
        gap_s: The average, in seconds.
        last_heartbeat_at: When the newest heartbeat came; None before the first.
    """

    def __init__(self, heartbeat_interval_s: float) -> None:
        """Start with the configured interval as the average."""
        self.gap_s = heartbeat_interval_s
        self.last_heartbeat_at: float | None = None

    def record_heartbeat(self, now: float) -> None:
        """Record a heartbeat that came or was sent at `now`, on the monotonic clock."""
        if self.last_heartbeat_at is not None:
            self.gap_s += (now - self.last_heartbeat_at - self.gap_s) * NEWEST_GAP_WEIGHT
        self.last_heartbeat_at = now


class PeerLoad(NamedTuple):
    """Load of another controller that may own shards.

    Attributes:
        gap_s: Average gap between its heartbeats, in seconds.
        shards: Number of shards that it owns.
        leads: Whether it is the leader.
    """

    gap_s: float
    shards: int
    leads: bool


class LoadShedder:
    """Chooses a shard to hand over and its new owner once a controller has been behind for long.

    Attributes:
        heartbeat_interval_s: The configured interval.
        patience_s: Seconds for which the controller has to be behind.
        behind_since: When it fell behind, or last handed a shard over; None while it is not behind.
    """

    def __init__(self, heartbeat_interval_s: float, patience_s: float) -> None:
        """Start as not behind.

        Args:
            heartbeat_interval_s: The configured interval.
            patience_s: Seconds for which the controller has to be behind, and the minimum between
                two handovers.
        """
        self.heartbeat_interval_s = heartbeat_interval_s
        self.patience_s = patience_s
        self.behind_since: float | None = None

    def choose_handover(
        self,
        gap_s: float,
        work_by_shard: Mapping[str, int],
        leads: bool,
        peers: Mapping[str, PeerLoad],
        now: float,
    ) -> tuple[str, str] | None:
        """Return the shard to hand over and the label of its new owner, if any.

        Being the leader counts as owning a shard. The new owner must not end up with more than this
        controller keeps, or the shard would come back. The shard with the least work is chosen,
        since all of its workers have to find their new owner.

        Args:
            gap_s: Average gap between the heartbeats of this controller, in seconds.
            work_by_shard: Amount of work of each shard that this controller owns.
            leads: Whether this controller is the leader.
            peers: The controllers that may take a shard, by label.
            now: Monotonic time, in seconds.
        """
        if gap_s < BEHIND_FACTOR * self.heartbeat_interval_s:
            self.behind_since = None
            return None
        if self.behind_since is None:
            self.behind_since = now
        if now - self.behind_since < self.patience_s or not work_by_shard:
            return None
        peer_shards = {
            label: peer.shards + peer.leads
            for label, peer in peers.items()
            if peer.gap_s * MIN_GAP_RATIO <= gap_s
        }
        label = min(sorted(peer_shards), key=lambda label: peer_shards[label], default="")
        if not label or peer_shards[label] + 1 > len(work_by_shard) + leads - 1:
            return None
        self.behind_since = now
        return min(sorted(work_by_shard), key=lambda shard: work_by_shard[shard]), label
