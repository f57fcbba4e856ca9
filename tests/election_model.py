"""A model checker for the leader election: controllers, store leases, a store and delayed effects.

The controllers use the program's own `Election` and `TermFence`; the store, the leases and the
network are modelled. Times are relative to the present, so that states that differ only in absolute
time are one state. `search` visits all reachable states breadth first and returns the first
violation with the shortest sequence of events that leads to it. `without` omits one fence, to show
that the search detects its absence.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterator
from typing import Any, NamedTuple

from ashdock.election.election import Election, ElectionState, KeyHolder
from ashdock.election.fencing import TermFence

LEASE_TICKS = 2
NEVER_EXPIRES_TICKS = 99.0
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

    label: int  # index of the process's controller
    incarnation: int
    term: int  # the revision


class Process(NamedTuple):
    """One process of a controller: its lease, its state machine, and the key as last seen."""

    incarnation: int
    lease: int  # ticks until the store ends its lease; 0: it has none
    believes_lease: bool = False  # it holds a lease or has not learnt yet that the lease expired
    election_state: ElectionState = ElectionState.FOLLOWER
    term: int = 0
    lease_valid_until: float = 0.0
    reconciled_term: int = 0
    seen_key: LeaderKey | None = None


class Effect(NamedTuple):
    """A message of a leader that has not arrived yet."""

    kind: str  # "write" or "command"
    term: int


class State(NamedTuple):
    """A state of the whole model."""

    key: LeaderKey | None
    # Index of the process to whose lease the key is attached; -1: a process that has crashed.
    key_lease_of: int
    crashed_lease: int  # ticks left of the lease of that crashed process
    highest_revision: int
    processes: tuple[Process, ...]
    in_flight: tuple[Effect, ...]  # at most two commands, or one write
    owner_highest_term: int  # of the commands that a shard's owner has carried out
    crashes: int


class Step(NamedTuple):
    """An event that may happen next, the state after it, and the violation, or "" if none."""

    event: str
    after: State
    violation: str = ""


class SearchResult(NamedTuple):
    """The number of states reached, the first violation or "", and the events that lead to it."""

    states: int
    violation: str
    events: list[str]


class TooManyStatesError(Exception):
    """The search was stopped because it reached too many states."""

    def __init__(self, limit: int) -> None:
        """Create the error for a limit on the number of states."""
        super().__init__(f"more than {limit} states")
        self.limit = limit


class Model:
    """The steps that are possible in a cluster of a given size."""

    def __init__(
        self, controllers: int, max_terms: int, max_crashes: int, kind: str, without: str = ""
    ) -> None:
        """Create a model.

        Args:
            controllers: Number of controllers.
            max_terms: Bound on the revisions of the leadership key.
            max_crashes: Bound on the crashes of all processes together.
            kind: Kind of the effects, "write" or "command".
            without: The fence to omit, one of `FENCES`, or "".
        """
        self.controllers = controllers
        self.max_terms = max_terms
        self.max_crashes = max_crashes
        self.kind = kind
        self.without = without
        self.max_in_flight = 2 if kind == "command" else 1

    def start(self) -> State:
        """Return the initial state, in which no process has joined."""
        processes = tuple(Process(1, 0) for _ in range(self.controllers))
        return State(None, -1, 0, 0, processes, (), 0, 0)

    @staticmethod
    def _replace_process(
        state: State, index: int, election: Election | None = None, **changes: Any
    ) -> State:
        process = state.processes[index]
        if election is not None:
            process = process._replace(
                election_state=election.state,
                term=election.term,
                lease_valid_until=max(election.lease_valid_until, 0.0),
                reconciled_term=election.reconciled_term,
            )
        process = process._replace(**changes)
        return state._replace(
            processes=(*state.processes[:index], process, *state.processes[index + 1 :])
        )

    @staticmethod
    def _election(state: State, index: int) -> Election:
        """Rebuild the state machine of one process."""
        process = state.processes[index]
        election = Election("machines", "leader", str(index), process.incarnation)
        election.state = process.election_state
        election.term = process.term
        election.lease_valid_until = process.lease_valid_until
        election.reconciled_term = process.reconciled_term
        return election

    def steps(self, state: State) -> Iterator[Step]:
        """Yield all steps that are possible in a state."""
        yield Step("a tick", self._tick(state))
        for index, process in enumerate(state.processes):
            yield from self._membership(state, index, process)
            if process.believes_lease:
                yield from self._leadership(state, index, process)
        for position, effect in enumerate(state.in_flight):
            rest = state._replace(
                in_flight=state.in_flight[:position] + state.in_flight[position + 1 :]
            )
            yield self._arrival(rest, effect)

    def _tick(self, state: State) -> State:
        processes = tuple(
            p._replace(
                lease=max(p.lease - 1, 0), lease_valid_until=max(p.lease_valid_until - 1, 0.0)
            )
            for p in state.processes
        )
        crashed_lease = max(state.crashed_lease - 1, 0)
        key_lease = crashed_lease if state.key_lease_of < 0 else processes[state.key_lease_of].lease
        return state._replace(
            processes=processes, crashed_lease=crashed_lease, key=state.key if key_lease else None
        )

    def _membership(self, state: State, index: int, process: Process) -> Iterator[Step]:
        if not process.believes_lease:
            after = self._replace_process(state, index, lease=LEASE_TICKS, believes_lease=True)
            yield Step(f"{index} joins", after)
            return
        election = self._election(state, index)
        if process.lease:
            election.renew(0, LEASE_TICKS, 0)
            yield Step(
                f"{index} renews", self._replace_process(state, index, election, lease=LEASE_TICKS)
            )
        else:
            election.lose()
            after = self._replace_process(state, index, election, believes_lease=False)
            yield Step(f"{index} learns that its lease has expired", after)
        if process.seen_key != state.key:
            yield self._see_key(state, index)
        if state.crashes < self.max_crashes:
            yield self._crash(state, index, process)

    def _see_key(self, state: State, index: int) -> Step:
        election = self._election(state, index)
        if election.is_elected and (state.key is None or state.key.term > election.term):
            election.lose()
        return Step(
            f"{index} sees the key",
            self._replace_process(state, index, election, seen_key=state.key),
        )

    def _crash(self, state: State, index: int, process: Process) -> Step:
        if state.key_lease_of == index:
            state = state._replace(key_lease_of=-1, crashed_lease=process.lease)
        restarted = Process(process.incarnation + 1, 0, seen_key=state.key)
        state = state._replace(crashes=state.crashes + 1)
        return Step(
            f"{index} crashes and restarts",
            self._replace_process(state, index, **restarted._asdict()),
        )

    def _leadership(self, state: State, index: int, process: Process) -> Iterator[Step]:
        election = self._election(state, index)
        if self._may_campaign(state, process, election):
            yield from self._acquisition(state, index, process, election)
            return
        if not election.is_elected:
            return
        if self.without == "lease_check":
            election.lease_valid_until = NEVER_EXPIRES_TICKS
        election.check_expiry(0)
        holds_key = state.key == (index, process.incarnation, process.term)
        yield from self._effects(state, index, process, election, holds_key)
        yield from self._progress(state, index, election, holds_key)

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
        self, state: State, index: int, process: Process, election: Election
    ) -> Iterator[Step]:
        seen_revision = process.seen_key.term if process.seen_key else 0
        revision = state.key.term if state.key else 0
        if self.without != "acquire_revision" and seen_revision != revision:
            return
        key = LeaderKey(index, process.incarnation, state.highest_revision + 1)
        election.acquire(key.term, process.lease - LEASE_TICKS, LEASE_TICKS, 0)
        after = state._replace(key=key, key_lease_of=index, highest_revision=key.term)
        yield Step(
            f"{index} acquires leadership",
            self._replace_process(after, index, election, seen_key=key),
        )

    def _effects(
        self, state: State, index: int, process: Process, election: Election, holds_key: bool
    ) -> Iterator[Step]:
        """Yield calls to the cloud, which arrive at once, and messages, which may arrive late."""
        if not election.may_act(0, process.term):
            return
        not_leader = f"{index} called the cloud in term {process.term}, but the key is {state.key}"
        yield Step(f"{index} calls the cloud", state, "" if holds_key else not_leader)
        may_decide = (
            election.may_decide(0, process.term)
            or self.without == "reconciliation"
            or (self.without == "transfer" and election.state is ElectionState.TRANSFERRING)
        )
        effect = Effect(self.kind, process.term)
        if (
            not may_decide
            or effect in state.in_flight
            or len(state.in_flight) >= self.max_in_flight
        ):
            return
        violation = ""
        if process.election_state is ElectionState.TRANSFERRING:
            violation = f"{index} began new work during a transfer"
        elif process.reconciled_term != process.term:
            violation = f"{index} made a decision before it had reconciled"
        in_flight = tuple(sorted((*state.in_flight, effect)))
        yield Step(f"{index} sends a {self.kind}", state._replace(in_flight=in_flight), violation)

    def _progress(
        self, state: State, index: int, election: Election, holds_key: bool
    ) -> Iterator[Step]:
        """Yield the leader's own state transitions."""
        if not election.may_act(0, election.term):
            return
        if election.state is ElectionState.RECONCILING:
            election.complete_reconciliation(election.term)
            yield Step(
                f"{index} completes reconciliation", self._replace_process(state, index, election)
            )
        elif election.state is ElectionState.LEADER:
            election.begin_transfer()
            yield Step(f"{index} begins a transfer", self._replace_process(state, index, election))
        elif holds_key and state.highest_revision < self.max_terms:
            key = LeaderKey((index + 1) % self.controllers, 0, state.highest_revision + 1)
            election.lose()
            after = state._replace(key=key, highest_revision=key.term)
            yield Step(
                f"{index} names its successor",
                self._replace_process(after, index, election, seen_key=key),
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
            violation = f"a command of term {effect.term} was carried out after one of {highest}"
        return Step("a command arrives", state._replace(owner_highest_term=highest), violation)

    def _write_arrival(self, state: State, effect: Effect) -> Step:
        term = state.key.term if state.key else 0
        violation = ""
        if self.without == "term_condition" and effect.term != term:
            violation = f"a write of term {effect.term} was applied in term {term}"
        return Step("a write arrives", state, violation)


def search(model: Model, max_states: int = 1_000_000) -> SearchResult:
    """Visit all reachable states breadth first, until the first violation.

    Raises:
        TooManyStatesError: More than `max_states` states are reachable.
    """
    start = model.start()
    predecessors: dict[State, tuple[State, str] | None] = {start: None}
    queue = deque([start])
    while queue:
        state = queue.popleft()
        for event, after, violation in model.steps(state):
            if violation:
                return SearchResult(
                    len(predecessors), violation, [*_events_to(state, predecessors), event]
                )
            if after not in predecessors:
                predecessors[after] = (state, event)
                queue.append(after)
                if len(predecessors) > max_states:
                    raise TooManyStatesError(max_states)
    return SearchResult(len(predecessors), "", [])


def _events_to(state: State, predecessors: dict[State, tuple[State, str] | None]) -> list[str]:
    events: list[str] = []
    while (previous := predecessors[state]) is not None:
        state, event = previous
        events.append(event)
    return events[::-1]


def random_walks(model: Model, count: int, length: int, seed: int) -> str:
    """Return the first violation on random walks, or "": for models too large to be searched.

    Args:
        model: The model.
        count: Number of walks.
        length: Number of steps of each walk.
        seed: Seed of the random choices.
    """
    rng = random.Random(seed)
    for _ in range(count):
        state = model.start()
        for _ in range(length):
            steps = list(model.steps(state))
            violation = next((step.violation for step in steps if step.violation), "")
            if violation:
                return violation
            # Joins and renewals are weighted higher, so that the walks stay in states with leases.
            weights = [3.0 if "join" in s.event or "renew" in s.event else 1.0 for s in steps]
            state = rng.choices([step.after for step in steps], weights)[0]
    return ""
