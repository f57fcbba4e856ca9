"""Fences the effects of one term of leadership."""

from __future__ import annotations

import time

from ashdock.election.election import Election
from ashdock.election.fencing import NotLeaderError


class Leadership:
    """Fence for the effects of one term of an election.

    The local checks use this controller's own clock. A write whose transaction includes `condition`
    is applied only while the leader's key still has the term as its revision, so it fails once
    another controller has been elected.
    """

    def __init__(self, election: Election, term: int) -> None:
        """Create the fence for `term` of `election`."""
        self.election = election
        self.term = term

    @property
    def key(self) -> str:
        """The key in the store that names the leader."""
        return self.election.path

    @property
    def condition(self) -> dict[str, int]:
        """The compare that lets the store apply a transaction in this term only."""
        return {self.election.path: self.term}

    def may_act(self) -> bool:
        """Whether an effect of this term may begin now."""
        return self.election.may_act(time.monotonic(), self.term)

    def may_decide(self) -> bool:
        """Whether new work may begin now.

        Stricter than `may_act`, which holds before reconciliation and during a transfer of
        leadership as well, so that work in progress can be finished.
        """
        return self.election.may_decide(time.monotonic(), self.term)

    def term_age_s(self) -> float:
        """Seconds since this controller was elected."""
        return time.monotonic() - self.election.acquired_at

    def complete_reconciliation(self) -> None:
        """Allow new decisions: the work that earlier terms left unfinished is known."""
        self.election.complete_reconciliation(self.term)

    def check(self) -> None:
        """Raise unless an effect of this term may begin now.

        Called directly before each request to the cloud, which supports no conditional requests: a
        process that was suspended resumes in the middle of its work, when its term may be over.

        Raises:
            NotLeaderError: The term is over, or its lease is in doubt.
        """
        if not self.may_act():
            raise NotLeaderError

    def check_not_replaced(self, failed: list[str]) -> None:
        """Raise if the leader's key is among the compares that failed.

        Raises:
            NotLeaderError: Another controller was elected meanwhile.
        """
        if self.key in failed:
            raise NotLeaderError from None
