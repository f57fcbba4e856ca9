"""Who is to come back, and when, while more is submitted or asked than this controller can take."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

SURPLUS = 1.25  # times its share of all that comes, from which on a team is hot


class HotTenantDetector:
    """What came of late from each team, fading; and for each that is told to come back, the moments given out so far."""

    def __init__(
        self,
        teams: Iterable[str],
        half_life_s: float,
        max_retry_after_s: float,
        weights: Mapping[str, float] | None = None,
    ) -> None:
        self.teams = frozenset(
            teams
        )  # what names another has no table of its own here: anybody may send any name
        self.weights = weights or {}
        self.half_life_s = half_life_s  # in which what came loses half its weight
        self.max_retry_after_s = max_retry_after_s
        self.recent_submissions: dict[str, float] = {}
        self.at = 0.0
        self.returns: dict[str, float] = {}

    def record_submission(self, team: str, now: float) -> None:
        faded = 0.5 ** (max(now - self.at, 0.0) / self.half_life_s)
        self.recent_submissions = {
            name: amount * faded
            for name, amount in self.recent_submissions.items()
            if amount * faded > 0.01
        }
        self.at = max(self.at, now)
        if team in self.teams:
            self.recent_submissions[team] = self.recent_submissions.get(team, 0.0) + 1.0

    def is_hot(self, team: str) -> bool:
        """Whether it brings more than its share, by weight, of what came of late. Where there is only one team nobody is hot."""
        share = (
            self.weights.get(team, 1.0) / sum(self.weights.get(name, 1.0) for name in self.teams)
            if team in self.teams
            else 0.0
        )
        return len(self.teams) > 1 and self.recent_submissions.get(
            team, 0.0
        ) > SURPLUS * share * sum(self.recent_submissions.values())

    def retry_after_s(self, team: str, wait_s: float, each_s: float, now: float) -> int:
        """Whole seconds, at least one. Each who is told to come back is given a moment of its own, `each_s` after the one before it, as fast as
        its team is served: told the same second all of them came back together, to be sent away again."""
        team = team if team in self.teams else ""
        at = max(self.returns.get(team, 0.0), now + wait_s) + each_s
        self.returns[team] = min(at, now + self.max_retry_after_s)
        return max(1, math.ceil(round(self.returns[team] - now, 3)))
