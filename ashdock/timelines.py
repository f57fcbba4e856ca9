"""What a controller goes through between its start, or a takeover, and the first placement, measured state by state.

Two machines. A controller: joining (its membership), learning (what is kept, the machine types, the mark), owning. A shard that it
takes: claiming, reading, hearing (the first reports), passing (the first pass), placing, and recovered. No input or output; times
are passed in.
"""

from __future__ import annotations

import logging
from enum import Enum

log = logging.getLogger("ashdock.timelines")


class StartupState(Enum):
    """A controller, since its process began."""

    JOINING = "joining"  # no member yet
    LEARNING = "learning"  # reading what the others know
    OWNING = "owning"  # may claim parts


class FailoverState(Enum):
    """A shard, since this controller set out to claim it."""

    CLAIMING = "claiming"
    READING = "reading"
    HEARING = "hearing"  # no worker of it has reported to us yet
    PASSING = "passing"  # heard, and not yet looked at what could be placed
    PLACING = "placing"  # nothing that we placed is durable yet, or there was nothing to place
    RECOVERED = "recovered"


class _Timed:
    def __init__(self, now: float) -> None:
        self.began = now
        self.since = now
        self.took: dict[str, float] = {}  # state that is over: seconds

    def _leave(self, state: Enum, now: float) -> None:
        self.took[state.value] = now - self.since
        self.since = now

    def words(self) -> str:
        return ", ".join(f"{state} {seconds:.2f}" for state, seconds in self.took.items())


class StartupTimeline(_Timed):
    def __init__(self, now: float) -> None:
        super().__init__(now)
        self.state = StartupState.JOINING

    def joined(self, now: float) -> None:
        """It is a member; also when it has become one again."""
        if self.state is StartupState.JOINING:
            self._leave(self.state, now)
            self.state = StartupState.LEARNING

    def learnt(self, now: float) -> None:
        if self.state is StartupState.LEARNING:
            self._leave(self.state, now)
            self.state = StartupState.OWNING
            log.info("may own parts %.2f s after its start (%s)", now - self.began, self.words())


class FailoverTimeline(_Timed):
    def __init__(self, team: str, now: float) -> None:
        super().__init__(now)
        self.team = team
        self.state = FailoverState.CLAIMING
        self.machines = 0  # that were up for the owner before

    def claimed(self, now: float) -> None:
        if self.state is FailoverState.CLAIMING:
            self._leave(self.state, now)
            self.state = FailoverState.READING

    def read(self, machines: int, now: float) -> None:
        """Where no machine was up there is nobody to wait for."""
        if self.state is FailoverState.READING:
            self._leave(self.state, now)
            self.machines = machines
            self.state = FailoverState.HEARING if machines else FailoverState.PASSING

    def heard(self, now: float) -> None:
        if self.state is FailoverState.HEARING:
            self._leave(self.state, now)
            self.state = FailoverState.PASSING

    def passed(self, placed: bool, now: float) -> None:
        """A pass has ended. One that placed something before any worker reported had machines that stood ready."""
        if self.state is FailoverState.HEARING and placed:
            self.heard(now)
        if self.state is FailoverState.PASSING:
            self._leave(self.state, now)
            self.state = FailoverState.PLACING

    def durable(self, now: float) -> None:
        """Something that we placed is durable: it may start."""
        if self.state is FailoverState.PLACING:
            self._leave(self.state, now)
            self.state = FailoverState.RECOVERED
            log.info(
                "part %s places again %.2f s after we set out to claim it (%s), %d machines taken over",
                self.team,
                now - self.began,
                self.words(),
                self.machines,
            )
