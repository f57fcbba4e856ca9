"""The cancellation watermark: the time up to which all confirmed cancellations are known here.

A task of a cancelled job must be gone within `cancel_s` of the confirmation to the user. Renewing
a worker's lease keeps its tasks alive for up to `lease_s`. A controller that renews a lease must
therefore know every cancellation that was confirmed up to `cancel_s` - `lease_s` ago, so the
watermark must not be older than that.

It is a low watermark over the peers and advances by two sources:

- The store. A cancellation is durable before any user is told of it. What was read, or watched
  without a gap, up to a time (the store watermark) therefore includes every cancellation that any
  controller had confirmed by then.
- The peers, each for itself. A peer sends every cancellation that it learns of on its link to this
  controller *before* it confirms it to a user, and with each peer heartbeat it echoes the last
  number that this controller sent to it. The link preserves order. Once the number sent at `t` has
  been echoed, everything that the peer confirmed between the first echo on this link and `t` has
  arrived here. A new link, which follows a crash, a restart or frames that could not be sent, has
  to start over: it extends the watermark only if the watermark had reached the time of the link's
  first echo without it.

Only controllers confirm cancellations, so the watermark is the minimum over all peers. What a peer
reports about the store, its silence, or the fact that all controllers are cut off from the store
does not advance it (docs/incidents/refused-alone.md). All times are from this controller's
monotonic clock. No input or output.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterable
from enum import Enum, auto

from ashdock.settings import Workers

# Share of `cancel_s`: 0.05% for each of two monotonic clocks, plus as much again as a margin.
CLOCK_DRIFT_SHARE = 0.002
MAX_INTERVALS_PER_PEER = 8  # dropping an interval can only hold the watermark back


class LinkState(Enum):
    """What a peer's current link to this controller proves."""

    UNCONFIRMED = auto()
    """Nothing: no echo has arrived on it yet."""

    CONTINUOUS = auto()
    """The peer's confirmations are known from the link's first echo to its interval's end."""


class ConfirmedInterval:
    """Time from `since` to `until`; all that the peer confirmed in it has arrived on one link.

    It is empty, with `until` before `since`, after the link's first echo.
    """

    __slots__ = ("since", "until")

    def __init__(self, since: float, until: float) -> None:
        """Create the interval when the link's first echo arrives.

        Args:
            since: When the echo arrived.
            until: When the echoed number was sent.
        """
        self.since = since
        self.until = until


class PeerLink:
    """Intervals in which one peer's confirmations are known, over its present and earlier links."""

    def __init__(self) -> None:
        """Start without an echo."""
        self.state = LinkState.UNCONFIRMED
        self.intervals: deque[ConfirmedInterval] = deque(maxlen=MAX_INTERVALS_PER_PEER)

    def reset(self) -> None:
        """Start over on a new link: messages on the previous link may have been lost."""
        self.state = LinkState.UNCONFIRMED

    def echo_received(self, sent_at: float, now: float) -> None:
        """Extend the link's interval by an echo of the number that was sent at `sent_at`."""
        if self.state is LinkState.UNCONFIRMED:
            self.state = LinkState.CONTINUOUS
            self.intervals.append(ConfirmedInterval(now, sent_at))
        else:
            interval = self.intervals[-1]
            interval.until = max(interval.until, sent_at)

    def known_until(self, watermark: float) -> float:
        """Return the store watermark, extended by this peer's intervals.

        An interval extends it only if it begins no later than the watermark so far: otherwise there
        is a gap between them.

        Args:
            watermark: The store watermark.
        """
        for interval in self.intervals:
            if interval.since <= watermark:
                watermark = max(watermark, interval.until)
        return watermark


class CancellationWatermark:
    """The watermark over all peers. Times are monotonic, in seconds."""

    def __init__(self, workers: Workers, peers: Iterable[str], first_number: int) -> None:
        """Start with nothing known.

        Args:
            workers: The settings of workers.
            peers: Labels of all other controllers in the settings.
            first_number: The echo number to start from. Each process draws it at random, so that an
                echo of a number sent by a previous process does not count.
        """
        drift_s = CLOCK_DRIFT_SHARE * workers.cancel_s
        self.max_age_s = workers.cancel_s - workers.lease_s - drift_s
        self.sent_retention_s = workers.cancel_s
        self.links = {label: PeerLink() for label in peers}
        self.number = first_number
        self.sent_at: OrderedDict[int, float] = OrderedDict()

    def next_number(self, now: float) -> int:
        """Return the number to send to all peers with the heartbeat at `now`."""
        self.number += 1
        self.sent_at[self.number] = now
        while now - next(iter(self.sent_at.values())) > self.sent_retention_s:
            self.sent_at.popitem(last=False)
        return self.number

    def link_established(self, label: str) -> None:
        """Record that a peer has opened a new link to this controller."""
        if label in self.links:
            self.links[label].reset()

    def echo_received(self, label: str, number: int, now: float) -> None:
        """Record an echo; ignore a number that this process did not send or that is too old."""
        sent_at = self.sent_at.get(number)
        if sent_at is not None and label in self.links:
            self.links[label].echo_received(sent_at, now)

    def known_until(self, store_watermark: float, now: float) -> float:
        """Return the watermark; without peers it is `now`.

        Args:
            store_watermark: Time up to which all cancellations are known from the store.
            now: The present time.
        """
        return min((link.known_until(store_watermark) for link in self.links.values()), default=now)

    def may_renew(self, store_watermark: float, now: float) -> bool:
        """Return whether a worker's lease may be renewed now, with arguments as `known_until`."""
        return self.is_recent(self.known_until(store_watermark, now), now)

    def is_recent(self, known_until: float, now: float) -> bool:
        """Return whether tasks cancelled after `known_until` stop in time if renewed at `now`.

        Renewing their worker's lease at `now` keeps them alive for `lease_s` at most.
        """
        return now - known_until < self.max_age_s
