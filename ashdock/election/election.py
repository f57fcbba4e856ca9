"""State machine of one controller's leadership, without input or output; times are passed in.

A key in the store, attached to the leader's store lease, names the leader. The *term* is the
revision of the write that acquired leadership: it only increases, and no two processes ever have
the same term. Its consequences are in docs/leader-election.md.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from enum import Enum, auto
from typing import Any

CLOCK_DRIFT_SHARE = 1e-3  # 0.05% for this controller's monotonic clock and as much for the store's


class ElectionState(Enum):
    """State of this controller in the election.

    The values are labels of the metric `ashdock_duty_state`.
    """

    FOLLOWER = "open"
    """Another controller leads, or none."""

    CANDIDATE = "taking"
    """The write that acquires leadership is in progress."""

    RECONCILING = "settling"
    """Elected; the unfinished work of earlier terms is being read, and no new work begins."""

    LEADER = "holding"
    """Elected, without restrictions."""

    SUSPENDED = "doubtful"
    """Elected, but the store lease may have expired: no effect may begin until it is renewed."""

    TRANSFERRING = "handing"
    """Elected; no new work begins, and the key names the successor once work in progress ends."""


class ElectionEvent(Enum):
    """Events that cause state transitions."""

    CAMPAIGN_BEGAN = auto()
    CAMPAIGN_FAILED = auto()
    ACQUIRED = auto()
    RECONCILED = auto()
    LEASE_EXPIRED = auto()
    LEASE_RENEWED = auto()
    """The store lease was renewed before reconciliation of the term was complete."""

    LEASE_RENEWED_RECONCILED = auto()
    """The store lease was renewed after reconciliation of the term was complete."""

    TRANSFER_BEGAN = auto()
    TRANSFER_CANCELLED = auto()
    LOST = auto()


# An event that is not listed for a state is ignored in that state.
TRANSITIONS: Mapping[ElectionState, Mapping[ElectionEvent, ElectionState]] = {
    ElectionState.FOLLOWER: {
        ElectionEvent.CAMPAIGN_BEGAN: ElectionState.CANDIDATE,
        ElectionEvent.ACQUIRED: ElectionState.RECONCILING,
    },
    ElectionState.CANDIDATE: {
        ElectionEvent.CAMPAIGN_FAILED: ElectionState.FOLLOWER,
        ElectionEvent.ACQUIRED: ElectionState.RECONCILING,
    },
    ElectionState.RECONCILING: {
        ElectionEvent.RECONCILED: ElectionState.LEADER,
        ElectionEvent.LEASE_EXPIRED: ElectionState.SUSPENDED,
        ElectionEvent.LOST: ElectionState.FOLLOWER,
    },
    ElectionState.LEADER: {
        ElectionEvent.TRANSFER_BEGAN: ElectionState.TRANSFERRING,
        ElectionEvent.LEASE_EXPIRED: ElectionState.SUSPENDED,
        ElectionEvent.LOST: ElectionState.FOLLOWER,
    },
    ElectionState.SUSPENDED: {
        ElectionEvent.LEASE_RENEWED: ElectionState.RECONCILING,
        ElectionEvent.LEASE_RENEWED_RECONCILED: ElectionState.LEADER,
        ElectionEvent.LOST: ElectionState.FOLLOWER,
    },
    ElectionState.TRANSFERRING: {
        ElectionEvent.TRANSFER_CANCELLED: ElectionState.LEADER,
        ElectionEvent.LEASE_EXPIRED: ElectionState.SUSPENDED,
        ElectionEvent.LOST: ElectionState.FOLLOWER,
    },
}


class KeyHolder(Enum):
    """Which controller the leadership key names."""

    NOBODY = auto()
    """The key does not exist."""

    THIS_CONTROLLER = auto()
    """The key names the controller that reads it.

    Leadership was transferred to it, or the key remains from its previous process or from a lease
    that has expired.
    """

    ANOTHER_CONTROLLER = auto()
    """The key names a different controller."""


class Election:
    """The state machine of one controller's leadership."""

    def __init__(self, name: str, path: str, label: str, incarnation: int) -> None:
        """Start as a follower.

        Args:
            name: Name of the election in metrics.
            path: Key in the store that names the leader.
            label: Label of this controller.
            incarnation: Random number of this process, written to the key as information only.
        """
        self.name = name
        self.path = path
        self.label = label
        self.incarnation = incarnation
        self.state = ElectionState.FOLLOWER
        self.term = 0
        # Monotonic times in seconds. The store does not end the lease before `lease_valid_until`.
        self.lease_valid_until = -math.inf
        self.reconciled_term = 0
        self.acquired_at = 0.0

    # -- permissions -------------------------------------------------------------------------------

    @property
    def is_elected(self) -> bool:
        """Whether leadership was acquired and is not known to be lost; it may be suspended."""
        return self.state not in (ElectionState.FOLLOWER, ElectionState.CANDIDATE)

    def may_act(self, now: float, term: int, duration_s: float = 0.0) -> bool:
        """Return whether an effect of `term` that takes `duration_s` may begin.

        Callers must ask again after each await: the process may have been suspended or starved of
        CPU time meanwhile, so that its lease has expired by its own clock.
        """
        return (
            self.term == term
            and self.is_elected
            and self.state is not ElectionState.SUSPENDED
            and now + duration_s < self.lease_valid_until
        )

    def may_decide(self, now: float, term: int) -> bool:
        """Return whether new work may begin: only after reconciliation and before a transfer."""
        return self.state is ElectionState.LEADER and self.may_act(now, term)

    def key_holder(self, value: Mapping[str, Any] | None) -> KeyHolder:
        """Return which controller a value of the leadership key names.

        Args:
            value: The value; `None` if the key does not exist.
        """
        if value is None:
            return KeyHolder.NOBODY
        if value.get("label") == self.label:
            return KeyHolder.THIS_CONTROLLER
        return KeyHolder.ANOTHER_CONTROLLER

    # -- transitions -------------------------------------------------------------------------------

    def begin_campaign(self) -> None:
        """Record that the write that acquires leadership is about to be sent."""
        self._apply(ElectionEvent.CAMPAIGN_BEGAN)

    def fail_campaign(self) -> None:
        """Record that another controller wrote the key first, or that the outcome is unknown.

        If the write was applied after all, the watch of the key reports it.
        """
        self._apply(ElectionEvent.CAMPAIGN_FAILED)

    def acquire(self, term: int, renewal_sent_at: float, lease_s: float, now: float) -> None:
        """Record that the key was written on the store lease.

        Args:
            term: Revision of the write.
            renewal_sent_at: When the last renewal of the lease was sent, on the monotonic clock.
            lease_s: Duration of the lease.
            now: The present monotonic time.
        """
        if self._apply(ElectionEvent.ACQUIRED):
            self.term = term
            self.acquired_at = now
            self.renew(renewal_sent_at, lease_s, now)

    def complete_reconciliation(self, term: int) -> None:
        """Record that the unfinished work of terms before `term` is known and accounted for."""
        if self.term == term:
            self.reconciled_term = term
            self._apply(ElectionEvent.RECONCILED)

    def renew(self, renewal_sent_at: float, lease_s: float, now: float) -> None:
        """Record a renewal of the store lease, with arguments as for `acquire`.

        The lease counts from the sending of the request and is shortened by the clock drift, so
        that it ends here no later than in the store.
        """
        min_lease_s = lease_s * (1 - CLOCK_DRIFT_SHARE)
        self.lease_valid_until = max(self.lease_valid_until, renewal_sent_at + min_lease_s)
        if now >= self.lease_valid_until:
            return
        if self.reconciled_term == self.term:
            self._apply(ElectionEvent.LEASE_RENEWED_RECONCILED)
        else:
            self._apply(ElectionEvent.LEASE_RENEWED)

    def check_expiry(self, now: float) -> None:
        """Suspend leadership if the store lease may have expired by `now`."""
        if now >= self.lease_valid_until:
            self._apply(ElectionEvent.LEASE_EXPIRED)

    def begin_transfer(self) -> None:
        """Stop new work, since leadership is to be transferred to a better candidate."""
        self._apply(ElectionEvent.TRANSFER_BEGAN)

    def cancel_transfer(self) -> None:
        """Allow new work again, since leadership is not transferred after all."""
        self._apply(ElectionEvent.TRANSFER_CANCELLED)

    def lose(self) -> None:
        """Become a follower.

        Another controller acquired leadership, it was transferred or released, or its lease
        expired.
        """
        if self._apply(ElectionEvent.LOST):
            self.lease_valid_until = -math.inf

    def _apply(self, event: ElectionEvent) -> bool:
        """Make the transition for an event; return whether the state has one."""
        next_state = TRANSITIONS[self.state].get(event)
        if next_state is None:
            return False
        self.state = next_state
        return True
