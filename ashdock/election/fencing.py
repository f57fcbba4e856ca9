"""Fencing of a replaced leader's commands, which no compare-and-swap of the store can refuse."""

from __future__ import annotations


class NotLeaderError(Exception):
    """This controller may not act as leader now; the intended effect has not taken place."""


class TermFence:
    """Refuses commands of any term lower than the highest one known.

    Terms become known from the leadership key and from fenced commands.
    """

    def __init__(self) -> None:
        """Start without a known term."""
        self.highest_term = 0
        self.refused_commands = 0  # since the start of the process

    def observe(self, term: int) -> None:
        """Record that the leadership key was seen at revision `term`."""
        self.highest_term = max(self.highest_term, term)

    def admit(self, term: int) -> bool:
        """Return whether a command of `term` may be carried out; count it if it is refused."""
        if term < self.highest_term:
            self.refused_commands += 1
            return False
        self.highest_term = term
        return True
