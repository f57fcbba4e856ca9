"""How far this controller is behind with what it has to compute, and what of its processor goes into what."""

from __future__ import annotations

PASSES = 1 / 2  # of the processor, for the scheduling passes of all shards together
PASS = 1 / 4  # for those of one shard
LEADER_CPU_SHARE = (
    1 / 4
)  # for the leader's choices. The rest is for answers: to workers before users


def pause_s(took_s: float, share: float) -> float:
    """How long to wait after work that took so long, for it to take no more than its share."""
    return took_s * (1 / share - 1)


def shard_cpu_share(shards: int) -> float:
    """Of one shard's passes, where so many shards are owned here. With three parts and the lead, a quarter each left nothing for
    the answers that keep their workers' leases."""
    return min(PASS, PASSES / max(shards, 1))


class Processor:
    """Fed by a timer: how late it fires is how long whatever comes in has to wait."""

    def __init__(self, half_life_s: float) -> None:
        self.half_life_s = half_life_s  # in which what was measured loses half its weight
        self.late = 0.0
        self.at = 0.0

    def ticked(self, late_s: float, now: float) -> None:
        self.late = max(self.late_s(now), late_s, 0.0)
        self.at = now

    def late_s(self, now: float) -> float:
        """Of late, at the worst."""
        return float(self.late * 0.5 ** (max(now - self.at, 0.0) / self.half_life_s))
