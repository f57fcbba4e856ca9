"""What one term of leadership permits, and the condition under which the term's writes are applied."""

from __future__ import annotations

import time

from ashdock.election.election import Election
from ashdock.election.fencing import NotLeaderError


class Leadership:
    """One term of an election, as the fence of what is done in it.

    The local check rests on this controller's own clock. The store applies a write of the term only while the leader's key
    still has the term as its revision, so a write named with `condition` fails once another controller has been elected.
    """

    def __init__(self, election: Election, term: int) -> None:
        """Bind the fence to `term` of `election`."""
        self.election = election
        self.term = term

    @property
    def key(self) -> str:
        """The leader's key in the store."""
        return self.election.path

    @property
    def condition(self) -> dict[str, int]:
        """The compare of a transaction that is applied in this term only."""
        return {self.election.path: self.term}

    def may_act(self) -> bool:
        """Whether an effect of this term may begin now."""
        return self.election.may_act(time.monotonic(), self.term)

    def may_decide(self) -> bool:
        """Whether something new may be begun, which takes more than finishing what is under way."""
        return self.election.may_decide(time.monotonic(), self.term)

    def term_age_s(self) -> float:
        """Seconds since the leadership was taken."""
        return time.monotonic() - self.election.acquired_at

    def reconciled(self) -> None:
        """What earlier terms left unfinished is known: new decisions may be made."""
        self.election.complete_reconciliation(self.term)

    def check(self) -> None:
        """Raise unless an effect of this term may begin now.

        Asked directly before each call to the cloud, which knows no conditions: a process that was suspended goes on in the
        middle of what it did.

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
