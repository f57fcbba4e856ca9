"""Up to when each cancellation that a user can have been told of is known here. Whoever renews a worker's lease rests on it.

A task of a cancelled job must be gone within `cancel_s` of the moment when its user was told. Who renews a lease now keeps a task for
up to `lease_s`, so it must know every cancellation that can have been confirmed until `cancel_s` - `lease_s` ago. There are two sources:

- The state service. A cancellation is durable before anybody is told of it, so what was read, or watched without a gap, up to a
  moment holds all that was confirmed by any controller until then (`base`).
- The other controllers, each for itself. One tells of each cancellation that it learns of over its link to us *before* it tells a
  user, and with each beat it repeats the last number that we asked it with. The link keeps order. So once the number that we sent at
  `t` is back, all that it confirmed from the first answer on this link until `t` was told to us. A new link, after an end, a restart
  or frames that could not be sent, begins anew: it carries on only from what the state service had told us by its first answer.

Only controllers confirm, so the earliest of them all is the bound. What a controller says of the state service, its own silence, or
that all are as badly off as we are, lifts nothing (docs/incidents/refused-alone.md). By our own steady clock alone; no input or output.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterable
from enum import Enum

from ashdock.settings import Workers

CLOCK_DRIFT_SHARE = (
    0.002  # of cancel_s: two steady clocks that are off by 0.05% each, with as much again to spare
)
LINKS_KEPT = 8  # stretches of each controller's word that are remembered; one that is forgotten only lowers the bound


class LinkState(Enum):
    """How the word of another controller stands on the link that it has to us now."""

    UNASKED = "unasked"  # no number of ours is back on it yet
    UNBROKEN = "unbroken"  # all that it has confirmed since the first one came back was told


class Interval:
    """Of one link: all confirmed from `since` until `upto` was told over it."""

    __slots__ = ("since", "upto")

    def __init__(self, since: float, upto: float) -> None:
        self.since = since
        self.upto = upto


class PeerLink:
    def __init__(self) -> None:
        self.state = LinkState.UNASKED
        self.intervals: deque[Interval] = deque(maxlen=LINKS_KEPT)

    def renewed(self) -> None:
        """It has made another link to us: whatever was on the one before may be lost."""
        self.state = LinkState.UNASKED

    def answered(self, asked: float, now: float) -> None:
        """A number that we sent at `asked` is back."""
        if self.state is LinkState.UNASKED:
            self.state = LinkState.UNBROKEN
            self.intervals.append(Interval(now, asked))
        else:
            self.intervals[-1].upto = max(self.intervals[-1].upto, asked)

    def carried(self, base: float) -> float:
        """Up to when its confirmations are known, where all were until `base`."""
        for interval in self.intervals:
            if interval.since <= base:
                base = max(base, interval.upto)
        return base


class CancellationWatermark:
    """Times are of the steady clock, in seconds. `first`: the number to begin with, drawn anew by each process, so that none answers to
    what one before it asked."""

    def __init__(self, workers: Workers, peers: Iterable[str], first: int) -> None:
        self.bound_s = workers.cancel_s - workers.lease_s - CLOCK_DRIFT_SHARE * workers.cancel_s
        self.kept_s = workers.cancel_s
        self.links = {label: PeerLink() for label in peers}
        self.number = first
        self.asked: OrderedDict[int, float] = OrderedDict()

    def ask(self, now: float) -> int:
        """The number to send to all others with this beat."""
        self.number += 1
        self.asked[self.number] = now
        while now - next(iter(self.asked.values())) > self.kept_s:
            self.asked.popitem(last=False)
        return self.number

    def linked(self, label: str) -> None:
        if label in self.links:
            self.links[label].renewed()

    def answered(self, label: str, number: int, now: float) -> None:
        """Another controller has sent back a number. One that is not of ours, or too old, says nothing."""
        asked = self.asked.get(number)
        if asked is not None and label in self.links:
            self.links[label].answered(asked, now)

    def known_until(self, base: float, now: float) -> float:
        """Up to when each cancellation confirmed by any controller is known, where the state service has told of all until `base`."""
        return min((link.carried(base) for link in self.links.values()), default=now)

    def may_renew(self, base: float, now: float) -> bool:
        return self.within(self.known_until(base, now), now)

    def within(self, known: float, now: float) -> bool:
        """Whether what was confirmed after `known` will still be gone in time, if a lease is renewed now."""
        return now - known < self.bound_s
