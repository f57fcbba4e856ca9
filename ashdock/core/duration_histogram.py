"""How long something lasted, each time: counted in steps that double, as monitoring systems want them."""

from __future__ import annotations


class DurationHistogram:
    """`first_s`: the first bound; `bounds`: how many there are, each twice the one before. What is longer still counts together."""

    def __init__(self, first_s: float, bounds: int) -> None:
        self.first_s = first_s
        self.bounds = bounds
        self.counts = [0] * (bounds + 1)
        self.sum_s = 0.0

    def add(self, seconds: float, times: int = 1) -> None:
        self.sum_s += seconds * times
        step = 0
        while step < self.bounds and seconds > self.first_s * 2**step:
            step += 1
        self.counts[step] += times

    def rows(self) -> list[tuple[str, float]]:
        """Bounds in seconds and how many lasted no longer."""
        out, total = [], 0
        for step, count in enumerate(self.counts):
            total += count
            out.append(
                (str(self.first_s * 2**step) if step < self.bounds else "+Inf", float(total))
            )
        return out
