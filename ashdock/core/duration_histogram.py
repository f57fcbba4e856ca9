"""Histogram of durations with exponential buckets, in the cumulative form of metrics exporters."""

from __future__ import annotations


class DurationHistogram:
    """Counts durations in buckets whose upper bounds double.

    Attributes:
        first_s: Upper bound of the first bucket, in seconds.
        bounds: Number of buckets with a finite bound; one more counts what is longer.
        counts: Number of durations in each bucket.
        sum_s: Sum of all durations, in seconds.
    """

    def __init__(self, first_s: float, bounds: int) -> None:
        """Create an empty histogram."""
        self.first_s = first_s
        self.bounds = bounds
        self.counts = [0] * (bounds + 1)
        self.sum_s = 0.0

    def add(self, seconds: float, times: int = 1) -> None:
        """Count a duration, `times` over."""
        self.sum_s += seconds * times
        bucket = 0
        while bucket < self.bounds and seconds > self.first_s * 2**bucket:
            bucket += 1
        self.counts[bucket] += times

    def rows(self) -> list[tuple[str, float]]:
        """Return each upper bound in seconds, or "+Inf", with the number of durations up to it."""
        rows, total = [], 0
        for bucket, count in enumerate(self.counts):
            total += count
            rows.append(
                (str(self.first_s * 2**bucket) if bucket < self.bounds else "+Inf", float(total))
            )
        return rows
