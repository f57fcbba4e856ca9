"""What keeps a holder that was replaced from doing harm, where the state service's conditions cannot."""

from __future__ import annotations


class NotLeaderError(Exception):
    """The duty is not ours at this moment: what was about to be done is not done."""


class TermFence:
    """The highest term that we know of, from the seat's key or from a word that was given under it. Words of lower ones are refused."""

    def __init__(self) -> None:
        self.highest = 0
        self.refused = 0  # words, since the start

    def saw(self, term: int) -> None:
        self.highest = max(self.highest, term)

    def admit(self, term: int) -> bool:
        if term < self.highest:
            self.refused += 1
            return False
        self.highest = term
        return True
