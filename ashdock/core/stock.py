"""Machines that may change hands, by class.

A leader's round has hundreds of wants, and a fleet thousands of machines. Looking at each machine for each want was a quarter of what
a controller of 1,300 machines computes, and grew with the square of the fleet. Machines of one class (type, zone, kind, part, priority
of what runs there) differ for a want only in what goes first, so they lie sorted on one shelf; a want looks at the shelves that suit it
and takes from their heads. A second set of shelves, made when it is first asked for, holds the same machines by image.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Callable, Iterable, Iterator
from heapq import heapify, heappop, heappush
from typing import NamedTuple

Key = tuple[float, float]  # of what goes first


class Lent(NamedTuple):
    """A machine's record, as everyone sees it."""

    name: str
    shard: str
    type: str
    zone: str
    spot: bool
    revision: int
    doomed: str
    images: frozenset[str] = frozenset()


class Kind(NamedTuple):
    type: str
    zone: str
    spot: bool
    shard: str  # that holds it now; "" is the pool
    priority: int = 0  # the highest of what runs there


class Shelf:
    __slots__ = ("at", "kind", "ready", "rows")

    def __init__(self, kind: Kind) -> None:
        self.kind = kind
        self.rows: list[tuple[Key, str]] = []
        self.at = 0  # what comes before is gone
        self.ready = False  # sorted: only once somebody looks at it

    def add(self, row: tuple[Key, str]) -> None:
        self.rows.append(row)

    def sort(self) -> Shelf:
        if not self.ready:
            self.rows.sort()
            self.ready = True
        return self


class Stock:
    """Of one round. What is taken is gone from all its shelves."""

    def __init__(self, machines: Iterable[tuple[Key, int, Lent]]) -> None:
        """Each machine with what goes first, and the priority of what runs there."""
        self.machines: dict[str, tuple[Key, Kind, Lent]] = {}
        self.gone: dict[Kind, list[Key]] = {}
        self.taken: set[str] = set()
        shelves: dict[tuple[str, str, bool, str, int], Shelf] = {}
        for key, priority, machine in machines:
            alike = (machine.type, machine.zone, machine.spot, machine.shard, priority)
            shelf = shelves.get(alike)
            if shelf is None:
                shelf = shelves[alike] = Shelf(Kind(*alike))
            shelf.add((key, machine.name))
            self.machines[machine.name] = (key, shelf.kind, machine)
        self.shelves = list(shelves.values())
        self.holding: dict[str, dict[int, Shelf]] | None = (
            None  # by image, and by the identity of the class
        )

    def __bool__(self) -> bool:
        return len(self.taken) < len(self.machines)

    def _with_image(self, image: str) -> Iterable[Shelf]:
        if self.holding is None:
            self.holding = {}
            for name, (key, kind, machine) in self.machines.items():
                if name not in self.taken:
                    for held in machine.images:
                        shelves = self.holding.setdefault(held, {})
                        shelf = shelves.get(id(kind))
                        if shelf is None:
                            shelf = shelves[id(kind)] = Shelf(kind)
                        shelf.add((key, name))
        return self.holding.get(image, {}).values()

    def shelves_for(self, suits: Callable[[Kind], bool], image: str | None = None) -> list[Shelf]:
        """Those that suit; with an image, of machines that hold it."""
        return [
            shelf.sort()
            for shelf in (self.shelves if image is None else self._with_image(image))
            if suits(shelf.kind)
        ]

    def count(self, shelf: Shelf, most: float) -> int:
        """How many of a shelf of all machines are left whose key begins with `most` or less."""

        def first(row: tuple[Key, str]) -> float:
            return row[0][0]

        return bisect_right(shelf.rows, most, key=first) - sum(
            key[0] <= most for key in self.gone.get(shelf.kind, ())
        )

    def take(self, shelves: list[Shelf], most: Callable[[Kind], float]) -> Iterator[Lent]:
        """What goes first of all these, one after the other, as long as its key begins with no more than `most` says of its class
        by then. Each is taken before it is given out."""
        heads = [
            (shelf.rows[shelf.at], number)
            for number, shelf in enumerate(shelves)
            if self._advance(shelf)
        ]
        heapify(heads)
        while heads:
            (key, name), number = heappop(heads)
            shelf = shelves[number]
            if name not in self.taken:
                if key[0] > most(shelf.kind):
                    continue  # nor does what comes after it
                self.taken.add(name)
                self.gone.setdefault(shelf.kind, []).append(key)
                yield self.machines[name][2]
            if self._advance(shelf):
                heappush(heads, (shelf.rows[shelf.at], number))

    def _advance(self, shelf: Shelf) -> bool:
        """Go on to what is not gone; False at the end."""
        while shelf.at < len(shelf.rows) and shelf.rows[shelf.at][1] in self.taken:
            shelf.at += 1
        return shelf.at < len(shelf.rows)
