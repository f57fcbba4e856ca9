"""The cancellation watermark: the time up to which every cancellation confirmed to a user is known here.

A task of a cancelled job must be gone within `cancel_s` of the moment when its user was told. Renewing an agent's lease
now keeps its tasks alive for up to `lease_s`. So whoever renews must know every cancellation that can have been confirmed
until `cancel_s` - `lease_s` ago: the watermark must be no older than that.

It is a low watermark over the peers, and advances by two sources:

- The store. A cancellation is durable before any user is told of it, so what was read, or watched without a gap, up to a
  moment (`base`) holds all that was confirmed by any controller until then.
- The peers, each for itself. A peer sends every cancellation that it learns of over its link to us *before* it tells a
  user, and with each peer heartbeat it echoes the last number that we sent it. The link keeps order. So once the number
  that we sent at `t` is back, all that the peer confirmed between the first echo on this link and `t` has arrived here. A
  new link, after a crash, a restart or frames that could not be sent, begins anew: it extends the watermark only from
  what the store had told us by the link's first echo.

Only controllers confirm cancellations, so the minimum over all peers is the watermark. What a peer says about the store,
its silence, or that all are cut off from the store alike does not advance it (docs/incidents/refused-alone.md). All
times are of our own steady clock. No input or output.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterable
from enum import Enum, auto

from ashdock.settings import Workers

CLOCK_DRIFT_SHARE = 0.002  # of cancel_s: 0.05% for each of two steady clocks, and as much to spare
INTERVALS_KEPT = 8  # for each peer; forgetting one can only hold the watermark back


class LinkState(Enum):
    """What a peer's current link to us proves."""

    UNCONFIRMED = auto()
    """Nothing: no echo has arrived on it yet."""

    CONTINUOUS = auto()
    """Everything that the peer confirmed since the link's first echo has arrived."""


class Interval:
    """Of one link: everything that the peer confirmed from `since` until `until` has arrived over it."""

    __slots__ = ("since", "until")

    def __init__(self, since: float, until: float) -> None:
        """Begin with the link's first echo: at `since`, of a number sent at `until`."""
        self.since = since
        self.until = until


class PeerLink:
    """What is known of one peer's confirmations, over its present link and earlier ones."""

    def __init__(self) -> None:
        """Start without an echo."""
        self.state = LinkState.UNCONFIRMED
        self.intervals: deque[Interval] = deque(maxlen=INTERVALS_KEPT)

    def reset(self) -> None:
        """The peer has made a new link to us: what was sent on the one before may be lost."""
        self.state = LinkState.UNCONFIRMED

    def echo_received(self, sent_at: float, now: float) -> None:
        """A number that we sent at `sent_at` is back."""
        if self.state is LinkState.UNCONFIRMED:
            self.state = LinkState.CONTINUOUS
            self.intervals.append(Interval(now, sent_at))
        else:
            interval = self.intervals[-1]
            interval.until = max(interval.until, sent_at)

    def known_until(self, base: float) -> float:
        """Up to when the peer's confirmations are known, where all controllers' are until `base`.

        An interval counts only if it begins no later than what is known before it ends: else there is a gap.
        """
        for interval in self.intervals:
            if interval.since <= base:
                base = max(base, interval.until)
        return base


class CancellationWatermark:
    """The watermark over all peers. Times are of the steady clock, in seconds."""

    def __init__(self, workers: Workers, peers: Iterable[str], first_number: int) -> None:
        """Start with nothing known.

        Args:
            workers: The protocol's times for workers.
            peers: Labels of all other controllers of the settings.
            first_number: The echo number to begin with, drawn at random by each process, so that no echo of a number
                of our previous process counts.
        """
        drift_s = CLOCK_DRIFT_SHARE * workers.cancel_s
        self.max_age_s = workers.cancel_s - workers.lease_s - drift_s
        self.sent_kept_s = workers.cancel_s
        self.links = {label: PeerLink() for label in peers}
        self.number = first_number
        self.sent_at: OrderedDict[int, float] = OrderedDict()

    def next_number(self, now: float) -> int:
        """The number to send to all peers with the heartbeat at `now`."""
        self.number += 1
        self.sent_at[self.number] = now
        while now - next(iter(self.sent_at.values())) > self.sent_kept_s:
            self.sent_at.popitem(last=False)
        return self.number

    def link_established(self, label: str) -> None:
        """The peer has made a new link to us."""
        if label in self.links:
            self.links[label].reset()

    def echo_received(self, label: str, number: int, now: float) -> None:
        """The peer has sent back a number. One that is not ours, or too old, proves nothing."""
        sent_at = self.sent_at.get(number)
        if sent_at is not None and label in self.links:
            self.links[label].echo_received(sent_at, now)

    def known_until(self, base: float, now: float) -> float:
        """The watermark, where the store has told of all cancellations until `base`; without peers it is `now`."""
        return min((link.known_until(base) for link in self.links.values()), default=now)

    def may_renew(self, base: float, now: float) -> bool:
        """Whether an agent's lease may be renewed now, where the store has told of all cancellations until `base`."""
        return self.is_recent(self.known_until(base, now), now)

    def is_recent(self, known_until: float, now: float) -> bool:
        """Whether tasks cancelled after `known_until` will be gone in time even if their lease is renewed now."""
        return now - known_until < self.max_age_s
