"""How late this process is with its work, and how its processor time is divided."""

from __future__ import annotations

ALL_CYCLES_CPU_SHARE = 1 / 2  # for the scheduling cycles of all shards together
MAX_SHARD_CPU_SHARE = 1 / 4  # for the scheduling cycles of one shard
# For the leader's decisions. The rest is for answering requests, those of workers before those of
# users.
LEADER_CPU_SHARE = 1 / 4


def pause_s(took_s: float, share: float) -> float:
    """Return how long to wait after work of `took_s` seconds for it to keep to its share."""
    return took_s * (1 / share - 1)


def shard_cpu_share(shards: int) -> float:
    """Return the processor share of one shard's scheduling cycles where so many are owned.

    A fixed quarter for each of three shards and for the leader left no time for the responses that
    keep the leases of their workers.
    """
    return min(MAX_SHARD_CPU_SHARE, ALL_CYCLES_CPU_SHARE / max(shards, 1))


class Processor:
    """Recent lateness of a timer, which is how long an incoming request has to wait.

    Attributes:
        half_life_s: in which the recorded lateness decays by half.
        recorded_late_s: lateness as of `recorded_at`.
        recorded_at: when it was recorded.
    """

    def __init__(self, half_life_s: float) -> None:
        """Start as not late, with lateness that decays by half in `half_life_s` seconds."""
        self.half_life_s = half_life_s
        self.recorded_late_s = 0.0
        self.recorded_at = 0.0

    def record_lateness(self, late_s: float, now: float) -> None:
        """Record that a timer fired `late_s` seconds late."""
        self.recorded_late_s = max(self.late_s(now), late_s, 0.0)
        self.recorded_at = now

    def late_s(self, now: float) -> float:
        """Return the highest recent lateness in seconds, decayed since it was recorded."""
        return float(
            self.recorded_late_s * 0.5 ** (max(now - self.recorded_at, 0.0) / self.half_life_s)
        )
