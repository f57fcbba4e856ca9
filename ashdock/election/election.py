"""The seat of a duty as one controller sees it: an explicit state machine, without input or output; times are passed in.

A seat is a key of the state service on its holder's lease. The revision of the write that took it is the *term*: a number that only rises and
that no two holders share, whatever process they are. Everything that follows from the term is in `docs/duties.md`.
"""

from __future__ import annotations

import math
from enum import Enum
from typing import Any

DRIFT = 1e-3  # a steady clock is off by 0.05%, ours one way and the service's the other


class ElectionState(Enum):
    FOLLOWER = "open"  # not ours
    CANDIDATE = "taking"  # our claim is being written
    RECONCILING = "settling"  # ours: what earlier terms left under way is being taken in
    LEADER = "holding"
    SUSPENDED = "doubtful"  # our lease may have ended: nothing is done until it has been renewed
    TRANSFERRING = (
        "handing"  # nothing new is begun; once what is under way is over the next one is named
    )


class KeyHolder(Enum):
    """What the seat's key says."""

    NOBODY = "free"
    US = "for us"  # names us: it was handed to us, the process before this one took it, or this one on a lease that is over
    ANOTHER = "others"


class Election:
    def __init__(self, duty: str, path: str, label: str, incarnation: int) -> None:
        """`incarnation`: of this process, for whoever reads the key."""
        self.duty = duty
        self.path = path
        self.label = label
        self.incarnation = incarnation
        self.phase = ElectionState.FOLLOWER
        self.term = 0
        self.until = -math.inf  # by our own steady clock; the lease ends no sooner
        self.settled_term = 0
        self.taken_at = 0.0

    # -- what may be done -----------------------------------------------------------------------------------

    @property
    def held(self) -> bool:
        return self.phase not in (ElectionState.FOLLOWER, ElectionState.CANDIDATE)

    def may(self, now: float, term: int, takes_s: float = 0.0) -> bool:
        """Whether an effect of that term that takes so long may begin. Asked again after each await: whoever stood still meanwhile, or
        was starved of its processor, finds its lease over by its own clock."""
        return (
            self.term == term
            and self.held
            and self.phase is not ElectionState.SUSPENDED
            and now + takes_s < self.until
        )

    def may_choose(self, now: float, term: int) -> bool:
        """Whether something new may be begun: not before what earlier terms began is known, nor once the seat is being handed on."""
        return self.phase is ElectionState.LEADER and self.may(now, term)

    def stands(self, value: dict[str, Any] | None) -> KeyHolder:
        if value is None:
            return KeyHolder.NOBODY
        return KeyHolder.US if value.get("label") == self.label else KeyHolder.ANOTHER

    # -- changes of state -------------------------------------------------------------------------------------

    def taking(self) -> None:
        if self.phase is ElectionState.FOLLOWER:
            self.phase = ElectionState.CANDIDATE

    def refused(self) -> None:
        """Somebody was quicker, or it is not known what came of it: if it was written, the key will say so."""
        if self.phase is ElectionState.CANDIDATE:
            self.phase = ElectionState.FOLLOWER

    def taken(self, term: int, lease_began: float, lease_s: float, now: float) -> None:
        if self.phase in (ElectionState.FOLLOWER, ElectionState.CANDIDATE):
            self.phase = ElectionState.RECONCILING
            self.term = term
            self.taken_at = now
            self.renewed(lease_began, lease_s, now)

    def settled(self, term: int) -> None:
        """What earlier terms left is known and counted."""
        if self.term == term:
            self.settled_term = term
            if self.phase is ElectionState.RECONCILING:
                self.phase = ElectionState.LEADER

    def renewed(self, lease_began: float, lease_s: float, now: float) -> None:
        """Our lease has been renewed by a request that we sent at `lease_began`."""
        self.until = max(self.until, lease_began + lease_s * (1 - DRIFT))
        if self.phase is ElectionState.SUSPENDED and now < self.until:
            self.phase = (
                ElectionState.LEADER
                if self.settled_term == self.term
                else ElectionState.RECONCILING
            )

    def look(self, now: float) -> None:
        if (
            self.phase
            in (ElectionState.RECONCILING, ElectionState.LEADER, ElectionState.TRANSFERRING)
            and now >= self.until
        ):
            self.phase = ElectionState.SUSPENDED

    def handing(self) -> None:
        if self.phase is ElectionState.LEADER:
            self.phase = ElectionState.TRANSFERRING

    def kept(self) -> None:
        """It was to be handed on, and is not."""
        if self.phase is ElectionState.TRANSFERRING:
            self.phase = ElectionState.LEADER

    def lost(self, now: float) -> None:
        """Taken by another, handed on, or its lease is over."""
        if self.held:
            self.phase = ElectionState.FOLLOWER
            self.until = -math.inf
