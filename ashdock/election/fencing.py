"""Fencing of what a replaced leader still sends, where the store's compare-and-swap can't refuse it."""

from __future__ import annotations


class NotLeaderError(Exception):
    """This controller may not act as leader at this moment: what was about to be done is not done."""


class TermFence:
    """The highest term known here, from the leadership key or a fenced command; lower ones are refused."""

    def __init__(self) -> None:
        """Start without a known term."""
        self.highest_term = 0
        self.refused_commands = 0  # commands, since the start of the process

    def observe(self, term: int) -> None:
        """The leadership key was seen at revision `term`."""
        self.highest_term = max(self.highest_term, term)

    def admit(self, term: int) -> bool:
        """Whether a command of `term` may be followed; one of a lower term than the highest is counted as refused."""
        if term < self.highest_term:
            self.refused_commands += 1
            return False
        self.highest_term = term
        return True
