"""Outcomes that an owner has to write by a time: those of jobs cancelled with a dependency.

Users are promised them within `cancel_s` of the cancellation. Their number and the rate at which the
owner may write tell whether they will be written in time.
"""

from __future__ import annotations

import math
from typing import NamedTuple

# Approximate share of an owner's writes that these outcomes get while machines take all of theirs:
# three quarters of two thirds. Whole outcomes alone are written, so it varies with the transaction.
OUTCOME_SHARE = 0.5
# Share of the rate that is left to owners while users' requests use all they can (see
# `MAX_OVERTAKING` in `net/rate_limiter.py`).
RATE_SHARE_BELOW_USERS = 0.25
# Shares of `cancel_s` by which all are to be written: with the priority of an owner's other writes,
# or else with that of users' requests; and with that priority, or else nothing new is accepted.
TARGET_SHARE = 0.25
LIMIT_SHARE = 0.5


class PromisedWrites(NamedTuple):
    """The outcomes that wait to be written.

    Attributes:
        ops: Number of puts and deletes.
        oldest_s: Seconds since the earliest cancellation.
    """

    ops: int = 0
    oldest_s: float = 0.0

    def drain_s(self, writes_per_s: float) -> float:
        """Estimate the seconds until all are written.

        Args:
            writes_per_s: Puts and deletes that the owner may write per second.
        """
        if not self.ops or math.isinf(writes_per_s):
            return 0.0
        return self.ops / (OUTCOME_SHARE * writes_per_s)

    def need_user_priority(self, writes_per_s: float, cancel_s: float) -> bool:
        """Whether they would be late behind users' requests that use up the store's rate.

        Args:
            writes_per_s: Puts and deletes that the controller may write per second.
            cancel_s: Time within which a cancellation has to take effect, in seconds.
        """
        written_after_s = self.oldest_s + self.drain_s(RATE_SHARE_BELOW_USERS * writes_per_s)
        return bool(self.ops) and written_after_s > TARGET_SHARE * cancel_s

    def need_all_writes(self, writes_per_s: float, cancel_s: float) -> bool:
        """Whether they would be late beside new submissions; arguments as `need_user_priority`."""
        written_after_s = self.oldest_s + self.drain_s(writes_per_s)
        return bool(self.ops) and written_after_s > LIMIT_SHARE * cancel_s
