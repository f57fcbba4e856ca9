"""A model of the leader election: controllers, their store leases, a store, and effects that arrive late, in every order.

The controllers' side is the program's own `Election` and `TermFence`; store, leases and network are modelled. Times are
counted from the present, so states that differ in nothing but the hour are one. `search` visits all reachable states
breadth first and returns what was violated, with the shortest sequence of events that leads there. `without` takes
one fence away.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterator
from typing import Any, NamedTuple

from ashdock.election.election import Election, ElectionState, KeyHolder
from ashdock.election.fencing import TermFence

LEASE = 2  # ticks
NEVER_EXPIRES = 99.0  # ticks
FENCES = (
    "lease_check",
    "term_condition",
    "command_term",
    "reconciliation",
    "acquire_revision",
    "transfer",
)


class LeaderKey(NamedTuple):
    """The value of the leadership key, and its revision."""

    label: int
    incarnation: int
    term: int


class Process(NamedTuple):
    """One process of a controller: its lease, its state machine, and what it last saw."""

    incarnation: int
    lease: int  # ticks until the store ends its lease; 0: it has none
    believes_lease: bool = False  # the process has not heard yet that its lease has expired
    election_state: ElectionState = ElectionState.FOLLOWER
    term: int = 0
    lease_valid_until: float = 0.0
    reconciled_term: int = 0
    seen_key: LeaderKey | None = None


class Effect(NamedTuple):
    """Something that a leader has sent and that has not arrived yet."""

    kind: str  # "write" or "command"
    term: int


class State(NamedTuple):
    """A state of the whole model."""

    key: LeaderKey | None
    key_lease_of: int  # index of the process on whose lease the key is; -1: of one that has ended
    ended_lease: int  # ticks left of the lease of that ended process
    highest_revision: int
    processes: tuple[Process, ...]
    late: tuple[Effect, ...]  # at most two commands, or one write
    owner_highest_term: int  # of the commands that the owner of a shard has followed
    crashes: int


class Step(NamedTuple):
    """An event that may happen next, the state after it, and what it violates ("": nothing)."""

    event: str
    after: State
    violation: str = ""


class SearchResult(NamedTuple):
    """How many states were reached, the first violation ("": none), and the events that lead to it."""

    states: int
    violation: str
    events: list[str]


class TooManyStatesError(Exception):
    """The search was given up."""

    def __init__(self, limit: int) -> None:
        """`limit`: how many states were allowed."""
        super().__init__(f"more than {limit} states")
        self.limit = limit


class Model:
    """What may happen in a cluster of a given size, step by step."""

    def __init__(
        self, controllers: int, max_terms: int, max_crashes: int, kind: str, without: str = ""
    ) -> None:
        """`kind`: of the effects, "write" or "command"; `without`: the fence to leave out."""
        self.controllers = controllers
        self.max_terms = max_terms
        self.max_crashes = max_crashes
        self.kind = kind
        self.without = without
        self.max_late = 2 if kind == "command" else 1

    def start(self) -> State:
        """Nobody has joined."""
        processes = tuple(Process(1, 0) for _ in range(self.controllers))
        return State(None, -1, 0, 0, processes, (), 0, 0)

    @staticmethod
    def _replace_process(
        state: State, n: int, election: Election | None = None, **changes: Any
    ) -> State:
        process = state.processes[n]
        if election is not None:
            process = process._replace(
                election_state=election.state,
                term=election.term,
                lease_valid_until=max(election.lease_valid_until, 0.0),
                reconciled_term=election.reconciled_term,
            )
        process = process._replace(**changes)
        return state._replace(processes=(*state.processes[:n], process, *state.processes[n + 1 :]))

    @staticmethod
    def _election(state: State, n: int) -> Election:
        """The state machine of one process, rebuilt."""
        process = state.processes[n]
        election = Election("machines", "leader", str(n), process.incarnation)
        election.state = process.election_state
        election.term = process.term
        election.lease_valid_until = process.lease_valid_until
        election.reconciled_term = process.reconciled_term
        return election

    def steps(self, state: State) -> Iterator[Step]:
        """What may happen next."""
        yield Step("a tick", self._tick(state))
        for n, process in enumerate(state.processes):
            yield from self._membership(state, n, process)
            if process.believes_lease:
                yield from self._leadership(state, n, process)
        for at, effect in enumerate(state.late):
            rest = state._replace(late=state.late[:at] + state.late[at + 1 :])
            yield self._arrival(rest, effect)

    def _tick(self, state: State) -> State:
        processes = tuple(
            p._replace(
                lease=max(p.lease - 1, 0), lease_valid_until=max(p.lease_valid_until - 1, 0.0)
            )
            for p in state.processes
        )
        ended_lease = max(state.ended_lease - 1, 0)
        key_lease = ended_lease if state.key_lease_of < 0 else processes[state.key_lease_of].lease
        return state._replace(
            processes=processes, ended_lease=ended_lease, key=state.key if key_lease else None
        )

    def _membership(self, state: State, n: int, process: Process) -> Iterator[Step]:
        if not process.believes_lease:
            after = self._replace_process(state, n, lease=LEASE, believes_lease=True)
            yield Step(f"{n} joins", after)
            return
        election = self._election(state, n)
        if process.lease:
            election.renew(0, LEASE, 0)
            yield Step(f"{n} renews", self._replace_process(state, n, election, lease=LEASE))
        else:
            election.lose()
            after = self._replace_process(state, n, election, believes_lease=False)
            yield Step(f"{n} hears that its lease is over", after)
        if process.seen_key != state.key:
            yield self._see_key(state, n)
        if state.crashes < self.max_crashes:
            yield self._crash(state, n, process)

    def _see_key(self, state: State, n: int) -> Step:
        election = self._election(state, n)
        if election.is_elected and (state.key is None or state.key.term > election.term):
            election.lose()
        return Step(
            f"{n} sees the key", self._replace_process(state, n, election, seen_key=state.key)
        )

    def _crash(self, state: State, n: int, process: Process) -> Step:
        if state.key_lease_of == n:
            state = state._replace(key_lease_of=-1, ended_lease=process.lease)
        restarted = Process(process.incarnation + 1, 0, seen_key=state.key)
        state = state._replace(crashes=state.crashes + 1)
        return Step(f"{n} ends and is back", self._replace_process(state, n, **restarted._asdict()))

    def _leadership(self, state: State, n: int, process: Process) -> Iterator[Step]:
        election = self._election(state, n)
        if self._may_campaign(state, process, election):
            yield from self._acquisition(state, n, process, election)
            return
        if not election.is_elected:
            return
        if self.without == "lease_check":
            election.lease_valid_until = NEVER_EXPIRES
        election.check_expiry(0)
        holds_key = state.key == (n, process.incarnation, process.term)
        yield from self._effects(state, n, process, election, holds_key)
        yield from self._progress(state, n, election, holds_key)

    def _may_campaign(self, state: State, process: Process, election: Election) -> bool:
        seen = process.seen_key
        value = (
            None if seen is None else {"label": str(seen.label), "incarnation": seen.incarnation}
        )
        return (
            election.state is ElectionState.FOLLOWER
            and election.key_holder(value) in (KeyHolder.NOBODY, KeyHolder.THIS_CONTROLLER)
            and process.lease > 0
            and state.highest_revision < self.max_terms
        )

    def _acquisition(
        self, state: State, n: int, process: Process, election: Election
    ) -> Iterator[Step]:
        seen_revision = process.seen_key.term if process.seen_key else 0
        revision = state.key.term if state.key else 0
        if self.without != "acquire_revision" and seen_revision != revision:
            return
        key = LeaderKey(n, process.incarnation, state.highest_revision + 1)
        election.acquire(key.term, process.lease - LEASE, LEASE, 0)
        after = state._replace(key=key, key_lease_of=n, highest_revision=key.term)
        yield Step(f"{n} takes it", self._replace_process(after, n, election, seen_key=key))

    def _effects(
        self, state: State, n: int, process: Process, election: Election, holds_key: bool
    ) -> Iterator[Step]:
        """Calls to the cloud, which arrive at once, and writes and commands, which may be late."""
        if not election.may_act(0, process.term):
            return
        called = f"{n} called the cloud in term {process.term}, and the key says {state.key}"
        yield Step(f"{n} calls the cloud", state, "" if holds_key else called)
        decides = (
            election.may_decide(0, process.term)
            or self.without == "reconciliation"
            or (self.without == "transfer" and election.state is ElectionState.TRANSFERRING)
        )
        effect = Effect(self.kind, process.term)
        if not decides or effect in state.late or len(state.late) >= self.max_late:
            return
        violation = ""
        if process.election_state is ElectionState.TRANSFERRING:
            violation = f"{n} began something new while handing on"
        elif process.reconciled_term != process.term:
            violation = f"{n} chose before it knew what was under way"
        late = tuple(sorted((*state.late, effect)))
        yield Step(f"{n} sends a {self.kind}", state._replace(late=late), violation)

    def _progress(
        self, state: State, n: int, election: Election, holds_key: bool
    ) -> Iterator[Step]:
        """The leader's own way through its states."""
        if not election.may_act(0, election.term):
            return
        if election.state is ElectionState.RECONCILING:
            election.complete_reconciliation(election.term)
            yield Step(f"{n} has reconciled", self._replace_process(state, n, election))
        elif election.state is ElectionState.LEADER:
            election.begin_transfer()
            yield Step(f"{n} begins a transfer", self._replace_process(state, n, election))
        elif holds_key and state.highest_revision < self.max_terms:
            key = LeaderKey((n + 1) % self.controllers, 0, state.highest_revision + 1)
            election.lose()
            after = state._replace(key=key, highest_revision=key.term)
            yield Step(
                f"{n} names its successor", self._replace_process(after, n, election, seen_key=key)
            )

    def _arrival(self, state: State, effect: Effect) -> Step:
        if effect.kind == "write":
            return self._write_arrival(state, effect)
        fence = TermFence()
        fence.highest_term = state.owner_highest_term
        admitted = self.without == "command_term" or fence.admit(effect.term)
        if not admitted:
            return Step("a command arrives", state)
        highest = max(state.owner_highest_term, effect.term)
        violation = ""
        if effect.term < state.owner_highest_term:
            violation = f"a command of term {effect.term} was followed after one of {highest}"
        return Step("a command arrives", state._replace(owner_highest_term=highest), violation)

    def _write_arrival(self, state: State, effect: Effect) -> Step:
        term = state.key.term if state.key else 0
        violation = ""
        if self.without == "term_condition" and effect.term != term:
            violation = f"a write of term {effect.term} was applied in term {term}"
        return Step("a write arrives", state, violation)


def search(model: Model, max_states: int = 1_000_000) -> SearchResult:
    """Visit all reachable states, until the first violation.

    Raises:
        TooManyStatesError: There are more than `max_states`.
    """
    start = model.start()
    came_from: dict[State, tuple[State, str] | None] = {start: None}
    queue = deque([start])
    while queue:
        state = queue.popleft()
        for event, after, violation in model.steps(state):
            if violation:
                return SearchResult(
                    len(came_from), violation, [*_events_to(state, came_from), event]
                )
            if after not in came_from:
                came_from[after] = (state, event)
                queue.append(after)
                if len(came_from) > max_states:
                    raise TooManyStatesError(max_states)
    return SearchResult(len(came_from), "", [])


def _events_to(state: State, came_from: dict[State, tuple[State, str] | None]) -> list[str]:
    events: list[str] = []
    while (previous := came_from[state]) is not None:
        state, event = previous
        events.append(event)
    return events[::-1]


def random_walks(model: Model, number: int, length: int, seed: int) -> str:
    """The first violation on so many random walks: for models too large to be searched."""
    rng = random.Random(seed)
    for _ in range(number):
        state = model.start()
        for _ in range(length):
            steps = list(model.steps(state))
            violation = next((step.violation for step in steps if step.violation), "")
            if violation:
                return violation
            # Joins and renewals keep the cluster going, hence they are more likely than the rest.
            weights = [3.0 if "join" in s.event or "renew" in s.event else 1.0 for s in steps]
            state = rng.choices([step.after for step in steps], weights)[0]
    return ""
