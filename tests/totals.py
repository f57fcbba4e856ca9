"""Sums of fractional amounts, such as seconds, by name."""

from __future__ import annotations


class Totals(dict[str, float]):
    """A `collections.Counter` for fractions: a missing name reads as zero and is not added."""

    def __missing__(self, name: str) -> float:
        """Return zero without adding an entry."""
        return 0.0
