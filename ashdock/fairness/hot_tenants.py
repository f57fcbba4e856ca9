"""Detects teams that submit more than their share, and spreads retries of refused submissions."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

HOT_FACTOR = 1.25  # a team is hot above this multiple of its share of the recent submissions


class HotTenantDetector:
    """Recent submissions of each team, decaying, and the retry times given to refused ones.

    Attributes:
        teams: The known teams. Anybody may send any name, so others get no entry in any table.
        weights: Weight by team; 1 where none is given.
        half_life_s: Seconds after which a submission counts half.
        max_retry_after_s: The most seconds that a refused submission is told to wait.
        recent_submissions: Decayed number of submissions, by team.
        decayed_at: When that number was last decayed.
        next_retry_at: The latest retry time given out, by team; "" stands for all unknown names.
    """

    def __init__(
        self,
        teams: Iterable[str],
        half_life_s: float,
        max_retry_after_s: float,
        weights: Mapping[str, float] | None = None,
    ) -> None:
        """Start without submissions.

        Args:
            teams: Names of the known teams.
            half_life_s: Seconds after which a submission counts half.
            max_retry_after_s: The most seconds that a refused submission is told to wait.
            weights: Weight by team; 1 where none is given.
        """
        self.teams = frozenset(teams)
        self.weights = weights or {}
        self.half_life_s = half_life_s
        self.max_retry_after_s = max_retry_after_s
        self.recent_submissions: dict[str, float] = {}
        self.decayed_at = 0.0
        self.next_retry_at: dict[str, float] = {}

    def record_submission(self, team: str, now: float) -> None:
        """Count a submission, accepted or not."""
        decay = 0.5 ** (max(now - self.decayed_at, 0.0) / self.half_life_s)
        self.recent_submissions = {
            name: amount * decay
            for name, amount in self.recent_submissions.items()
            if amount * decay > 0.01
        }
        self.decayed_at = max(self.decayed_at, now)
        if team in self.teams:
            self.recent_submissions[team] = self.recent_submissions.get(team, 0.0) + 1.0

    def is_hot(self, team: str) -> bool:
        """Return whether a team brings more than its share, by weight, of the recent submissions.

        Never true of an unknown team, nor where there is only one team.
        """
        share = (
            self.weights.get(team, 1.0) / sum(self.weights.get(name, 1.0) for name in self.teams)
            if team in self.teams
            else 0.0
        )
        return len(self.teams) > 1 and self.recent_submissions.get(
            team, 0.0
        ) > HOT_FACTOR * share * sum(self.recent_submissions.values())

    def retry_after_s(self, team: str, wait_s: float, service_time_s: float, now: float) -> int:
        """Return when a refused submission may be retried, in whole seconds, at least one.

        Retry times of a team are spaced by its service time, so that they come as fast as they can
        be served. When all were told the same second, they came back together and were refused
        again.

        Args:
            team: The team that submits.
            wait_s: Seconds until the submission could be served.
            service_time_s: Seconds that one submission of the team takes at its share.
            now: Current time in seconds.
        """
        team = team if team in self.teams else ""
        retry_at = max(self.next_retry_at.get(team, 0.0), now + wait_s) + service_time_s
        self.next_retry_at[team] = min(retry_at, now + self.max_retry_after_s)
        return max(1, math.ceil(round(self.next_retry_at[team] - now, 3)))
