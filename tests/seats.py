"""A model of the seat of a duty: controllers, their leases, a store, and effects that arrive late, in every order.

The controllers' side is the program's own `Election` and `TermFence`; the store, the leases and the network are modelled. Times are told from now on,
so states that differ in nothing but the hour are one. `search` walks through all reachable states breadth first and says what was
violated, with the shortest course that leads there. `without` takes one fence away.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterator
from typing import Any, NamedTuple

from ashdock.election.election import Election, ElectionState, KeyHolder
from ashdock.election.fencing import TermFence

LEASE = 2  # ticks
FENCES = ("lease", "condition", "words", "settling", "stamp", "handing")

Key = tuple[int, int, int]  # label, incarnation, term


class Process(NamedTuple):
    incarnation: int
    lease: int  # ticks that the store gives its hold from now on; 0: it has none
    believes: bool = False  # that it has one
    phase: ElectionState = ElectionState.FOLLOWER
    term: int = 0
    until: float = 0.0
    settled: int = 0
    seen: Key | None = None  # what it last saw of the key


class Effect(NamedTuple):
    kind: str  # "write" or "word"
    term: int


class State(NamedTuple):
    key: Key | None
    on: int  # whose hold the key is on; -1: that of a process that has ended
    orphan: int  # ticks left of that hold
    last: int  # the highest revision
    processes: tuple[Process, ...]
    late: tuple[Effect, ...]  # sent, and not there yet: two words, or one write
    heard: int  # the highest term that the owner of a shard has followed a word of
    crashes: int


class Model:
    def __init__(
        self, controllers: int, takes: int, crashes: int, kind: str, without: str = ""
    ) -> None:
        self.controllers, self.takes, self.crashes, self.kind, self.without = (
            controllers,
            takes,
            crashes,
            kind,
            without,
        )

    def start(self) -> State:
        return State(
            None, -1, 0, 0, tuple(Process(1, 0) for _ in range(self.controllers)), (), 0, 0
        )

    @staticmethod
    def _put(state: State, n: int, election: Election | None = None, **more: Any) -> State:
        process = state.processes[n]
        if election is not None:
            process = process._replace(
                phase=election.state,
                term=election.term,
                until=max(election.lease_valid_until, 0.0),
                settled=election.reconciled_term,
            )
        process = process._replace(**more)
        return state._replace(processes=(*state.processes[:n], process, *state.processes[n + 1 :]))

    @staticmethod
    def _seat(state: State, n: int) -> Election:
        process = state.processes[n]
        election = Election("machines", "leader", str(n), process.incarnation)
        election.state, election.term, election.lease_valid_until, election.reconciled_term = (
            process.phase,
            process.term,
            process.until,
            process.settled,
        )
        return election

    def steps(self, state: State) -> Iterator[tuple[str, State, str]]:
        """What may happen next, the state after it, and what that violates."""
        yield "a tick", self._tick(state), ""
        for n, process in enumerate(state.processes):
            yield from self._membership(state, n, process)
            if process.believes:
                yield from self._duty(state, n, process)
        for at, effect in enumerate(state.late):
            yield from self._arrives(
                state._replace(late=state.late[:at] + state.late[at + 1 :]), effect
            )

    def _tick(self, state: State) -> State:
        processes = tuple(
            p._replace(lease=max(p.lease - 1, 0), until=max(p.until - 1, 0.0))
            for p in state.processes
        )
        orphan = max(state.orphan - 1, 0)
        lasts = orphan if state.on < 0 else processes[state.on].lease
        return state._replace(processes=processes, orphan=orphan, key=state.key if lasts else None)

    def _membership(
        self, state: State, n: int, process: Process
    ) -> Iterator[tuple[str, State, str]]:
        election = self._seat(state, n)
        if not process.believes:
            yield f"{n} joins", self._put(state, n, lease=LEASE, believes=True), ""
            return
        if process.lease:
            election.renew(0, LEASE, 0)
            yield f"{n} renews", self._put(state, n, election, lease=LEASE), ""
        else:
            election.lose()
            yield (
                f"{n} hears that its lease is over",
                self._put(state, n, election, believes=False),
                "",
            )
        election = self._seat(state, n)
        if process.seen != state.key:
            if election.is_elected and (state.key is None or state.key[2] > election.term):
                election.lose()
            yield f"{n} sees the key", self._put(state, n, election, seen=state.key), ""
        if state.crashes < self.crashes:
            orphaned = state._replace(on=-1, orphan=process.lease) if state.on == n else state
            born = Process(process.incarnation + 1, 0, seen=state.key)
            yield (
                f"{n} ends and is back",
                self._put(orphaned._replace(crashes=state.crashes + 1), n, **born._asdict()),
                "",
            )

    def _duty(self, state: State, n: int, process: Process) -> Iterator[tuple[str, State, str]]:
        election = self._seat(state, n)
        stands = election.key_holder(
            None
            if process.seen is None
            else {"label": str(process.seen[0]), "incarnation": process.seen[1]}
        )
        if (
            election.state is ElectionState.FOLLOWER
            and stands in (KeyHolder.NOBODY, KeyHolder.THIS_CONTROLLER)
            and process.lease
            and state.last < self.takes
        ):
            revision = process.seen[2] if process.seen else 0
            if self.without == "stamp" or revision == (state.key[2] if state.key else 0):
                key = (n, process.incarnation, state.last + 1)
                election.acquire(key[2], process.lease - LEASE, LEASE, 0)
                yield (
                    f"{n} takes it",
                    self._put(state._replace(key=key, on=n, last=key[2]), n, election, seen=key),
                    "",
                )
            return
        if not election.is_elected:
            return
        if self.without == "lease":
            election.lease_valid_until = 99.0
        election.check_expiry(0)
        ours = state.key == (n, process.incarnation, process.term)
        if election.may_act(0, process.term):
            yield (
                f"{n} calls the cloud",
                state,
                ""
                if ours
                else f"{n} called the cloud in term {process.term}, and the key says {state.key}",
            )
        chooses = election.may_decide(0, process.term) or (
            election.may_act(0, process.term)
            and (
                self.without == "settling"
                or (self.without == "handing" and election.state is ElectionState.TRANSFERRING)
            )
        )
        effect = Effect(self.kind, process.term)
        if chooses and effect not in state.late and len(state.late) < 1 + (self.kind == "word"):
            told = (
                ""
                if process.settled == process.term
                else f"{n} chose before it knew what was under way"
            )
            if process.phase is ElectionState.TRANSFERRING:
                told = f"{n} began something new while handing on"
            yield (
                f"{n} sends a {self.kind}",
                state._replace(late=tuple(sorted((*state.late, effect)))),
                told,
            )
        if election.state is ElectionState.RECONCILING and election.may_act(0, election.term):
            election.complete_reconciliation(election.term)
            yield f"{n} has settled", self._put(state, n, election), ""
        elif election.state is ElectionState.LEADER and election.may_act(0, election.term):
            election.begin_transfer()
            yield f"{n} is about to hand on", self._put(state, n, election), ""
        elif (
            election.state is ElectionState.TRANSFERRING
            and ours
            and state.last < self.takes
            and election.may_act(0, election.term)
        ):
            key = ((n + 1) % self.controllers, 0, state.last + 1)
            election.lose()
            yield (
                f"{n} names the next",
                self._put(state._replace(key=key, last=key[2]), n, election, seen=key),
                "",
            )

    def _arrives(self, state: State, effect: Effect) -> Iterator[tuple[str, State, str]]:
        if effect.kind == "write":
            current = state.key[2] if state.key else 0
            applied = self.without == "condition" or effect.term == current
            yield (
                "a write arrives",
                state,
                f"a write of term {effect.term} was applied in term {current}"
                if applied and effect.term != current
                else "",
            )
            return
        terms = TermFence()
        terms.highest = state.heard
        admitted = self.without == "words" or terms.admit(effect.term)
        broken = (
            f"a word of term {effect.term} was followed after one of {state.heard}"
            if admitted and effect.term < state.heard
            else ""
        )
        yield (
            "a word arrives",
            state._replace(heard=max(state.heard, effect.term) if admitted else state.heard),
            broken,
        )


def search(model: Model, most: int = 1_000_000) -> tuple[int, str, list[str]]:
    """How many states there are, what the first violation is, and the course to it. Raises OverflowError beyond `most`."""
    start = model.start()
    came: dict[State, tuple[State, str] | None] = {start: None}
    line = deque([start])
    while line:
        state = line.popleft()
        for what, after, broken in model.steps(state):
            if broken:
                course = [what]
                at: State = state
                while (back := came[at]) is not None:
                    course.append(back[1])
                    at = back[0]
                return len(came), broken, course[::-1]
            if after not in came:
                came[after] = (state, what)
                line.append(after)
                if len(came) > most:
                    raise OverflowError(f"more than {most} states")
    return len(came), "", []


def walks(model: Model, number: int, length: int, seed: int) -> str:
    """The first violation on so many random walks: for what is too large to be searched through."""
    rng = random.Random(seed)
    for _ in range(number):
        state = model.start()
        for _ in range(length):
            steps = list(model.steps(state))
            broken = next((told for _, _, told in steps if told), "")
            if broken:
                return broken
            # Joins and renewals keep it going; what comes late, comes late.
            state = rng.choices(
                [after for _, after, _ in steps],
                [3.0 if "join" in what or "renew" in what else 1.0 for what, _, _ in steps],
            )[0]
    return ""
