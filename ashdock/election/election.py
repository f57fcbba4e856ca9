"""Leadership as one controller sees it: an explicit state machine without input or output; times are passed in.

Leadership is a key of the store on the store lease of the controller that leads. The revision of the write that
acquired it is the *term*: it only rises, and no two processes ever share one. What follows from the term is in
`docs/leader-election.md`.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from enum import Enum, auto
from typing import Any

CLOCK_DRIFT_SHARE = 1e-3  # 0.05% for our steady clock and as much for the store's


class ElectionState(Enum):
    """Where this controller stands. The values are labels of the metric `ashdock_duty_state`."""

    FOLLOWER = "open"
    """Another controller leads, or none."""

    CANDIDATE = "taking"
    """The write that acquires leadership is under way."""

    RECONCILING = "settling"
    """Elected; what earlier terms began is being read, and nothing new is begun."""

    LEADER = "holding"
    """Elected, with nothing that restrains it."""

    SUSPENDED = "doubtful"
    """Elected, but the store lease may have expired: nothing is done until it has been renewed."""

    TRANSFERRING = "handing"
    """Elected; nothing new is begun, and the successor is named once what is under way is over."""


class ElectionEvent(Enum):
    """What moves the state machine from one state to another."""

    CAMPAIGN_BEGAN = auto()
    CAMPAIGN_FAILED = auto()
    ACQUIRED = auto()
    RECONCILED = auto()
    LEASE_EXPIRED = auto()
    LEASE_RENEWED = auto()  # before the term was reconciled
    LEASE_RENEWED_RECONCILED = auto()
    TRANSFER_BEGAN = auto()
    TRANSFER_CANCELLED = auto()
    LOST = auto()


# An event that a state does not list changes nothing in it.
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
    """Whom the leadership key names."""

    NOBODY = auto()
    """The key does not exist."""

    THIS_CONTROLLER = auto()
    """Leadership was transferred to it, or the key is of its previous process or of an expired lease."""

    ANOTHER_CONTROLLER = auto()


class Election:
    """The state machine of one controller's leadership."""

    def __init__(self, name: str, path: str, label: str, incarnation: int) -> None:
        """Start as a follower.

        Args:
            name: Name of the election in metrics.
            path: Key of the store that names the leader.
            label: Label of this controller.
            incarnation: Random number of this process, written to the key for whoever reads it.
        """
        self.name = name
        self.path = path
        self.label = label
        self.incarnation = incarnation
        self.state = ElectionState.FOLLOWER
        self.term = 0
        self.lease_valid_until = -math.inf  # steady clock, s; the store ends the lease no sooner
        self.reconciled_term = 0
        self.acquired_at = 0.0  # steady clock, s

    # -- what may be done -----------------------------------------------------------------------------------

    @property
    def is_elected(self) -> bool:
        """Whether leadership was acquired and is not known to be lost; it may be suspended."""
        return self.state not in (ElectionState.FOLLOWER, ElectionState.CANDIDATE)

    def may_act(self, now: float, term: int, duration_s: float = 0.0) -> bool:
        """Whether an effect of `term` that takes `duration_s` may begin.

        To be asked again after each await: a process that was paused or starved of its processor meanwhile finds
        its lease expired by its own clock.
        """
        return (
            self.term == term
            and self.is_elected
            and self.state is not ElectionState.SUSPENDED
            and now + duration_s < self.lease_valid_until
        )

    def may_decide(self, now: float, term: int) -> bool:
        """Whether something new may be begun: only between reconciliation and transfer."""
        return self.state is ElectionState.LEADER and self.may_act(now, term)

    def key_holder(self, value: Mapping[str, Any] | None) -> KeyHolder:
        """Whom the value of the leadership key names; `None`: the key does not exist."""
        if value is None:
            return KeyHolder.NOBODY
        if value.get("label") == self.label:
            return KeyHolder.THIS_CONTROLLER
        return KeyHolder.ANOTHER_CONTROLLER

    # -- transitions ------------------------------------------------------------------------------------------

    def begin_campaign(self) -> None:
        """The write that acquires leadership is about to be sent."""
        self._apply(ElectionEvent.CAMPAIGN_BEGAN)

    def fail_campaign(self) -> None:
        """Another controller was quicker, or the outcome is unknown: if it was written, the key will say so."""
        self._apply(ElectionEvent.CAMPAIGN_FAILED)

    def acquire(self, term: int, lease_began: float, lease_s: float, now: float) -> None:
        """The key was written at revision `term`, on a lease last renewed by a request sent at `lease_began`."""
        if self._apply(ElectionEvent.ACQUIRED):
            self.term = term
            self.acquired_at = now
            self.renew(lease_began, lease_s, now)

    def complete_reconciliation(self, term: int) -> None:
        """What terms before `term` left under way is known and counted."""
        if self.term == term:
            self.reconciled_term = term
            self._apply(ElectionEvent.RECONCILED)

    def renew(self, lease_began: float, lease_s: float, now: float) -> None:
        """The store lease was renewed by a request sent at `lease_began`."""
        drifted_lease_s = lease_s * (1 - CLOCK_DRIFT_SHARE)
        self.lease_valid_until = max(self.lease_valid_until, lease_began + drifted_lease_s)
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
        """Leadership is to go to a better candidate: nothing new is begun."""
        self._apply(ElectionEvent.TRANSFER_BEGAN)

    def cancel_transfer(self) -> None:
        """Leadership was to be transferred, and is kept."""
        self._apply(ElectionEvent.TRANSFER_CANCELLED)

    def lose(self) -> None:
        """Leadership was acquired by another controller, transferred or released, or its lease expired."""
        if self._apply(ElectionEvent.LOST):
            self.lease_valid_until = -math.inf

    def _apply(self, event: ElectionEvent) -> bool:
        """Follow the table; whether the state lists the event."""
        following = TRANSITIONS[self.state].get(event)
        if following is None:
            return False
        self.state = following
        return True
