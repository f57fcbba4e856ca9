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


class MachineView(NamedTuple):
    """A machine's record, as everyone sees it."""

    name: str
    shard: str
    type: str
    zone: str
    spot: bool
    revision: int
    decommissioned: str
    images: frozenset[str] = frozenset()


class MachineClass(NamedTuple):
    type: str
    zone: str
    spot: bool
    shard: str  # that holds it now; "" is the pool
    priority: int = 0  # the highest of what runs there


class MachineBucket:
    __slots__ = ("at", "kind", "ready", "rows")

    def __init__(self, kind: MachineClass) -> None:
        self.kind = kind
        self.rows: list[tuple[Key, str]] = []
        self.at = 0  # what comes before is gone
        self.ready = False  # sorted: only once somebody looks at it

    def add(self, row: tuple[Key, str]) -> None:
        self.rows.append(row)

    def sort(self) -> MachineBucket:
        if not self.ready:
            self.rows.sort()
            self.ready = True
        return self


class MachineIndex:
    """Of one round. What is taken is gone from all its shelves."""

    def __init__(self, machines: Iterable[tuple[Key, int, MachineView]]) -> None:
        """Each machine with what goes first, and the priority of what runs there."""
        self.machines: dict[str, tuple[Key, MachineClass, MachineView]] = {}
        self.gone: dict[MachineClass, list[Key]] = {}
        self.taken: set[str] = set()
        buckets: dict[tuple[str, str, bool, str, int], MachineBucket] = {}
        for key, priority, machine in machines:
            alike = (machine.type, machine.zone, machine.spot, machine.shard, priority)
            bucket = buckets.get(alike)
            if bucket is None:
                bucket = buckets[alike] = MachineBucket(MachineClass(*alike))
            bucket.add((key, machine.name))
            self.machines[machine.name] = (key, bucket.kind, machine)
        self.buckets = list(buckets.values())
        self.holding: dict[str, dict[int, MachineBucket]] | None = (
            None  # by image, and by the identity of the class
        )

    def __bool__(self) -> bool:
        return len(self.taken) < len(self.machines)

    def _with_image(self, image: str) -> Iterable[MachineBucket]:
        if self.holding is None:
            self.holding = {}
            for name, (key, kind, machine) in self.machines.items():
                if name not in self.taken:
                    for held in machine.images:
                        buckets = self.holding.setdefault(held, {})
                        bucket = buckets.get(id(kind))
                        if bucket is None:
                            bucket = buckets[id(kind)] = MachineBucket(kind)
                        bucket.add((key, name))
        return self.holding.get(image, {}).values()

    def buckets_for(
        self, suits: Callable[[MachineClass], bool], image: str | None = None
    ) -> list[MachineBucket]:
        """Those that suit; with an image, of machines that hold it."""
        return [
            bucket.sort()
            for bucket in (self.buckets if image is None else self._with_image(image))
            if suits(bucket.kind)
        ]

    def count(self, bucket: MachineBucket, most: float) -> int:
        """How many of a shelf of all machines are left whose key begins with `most` or less."""

        def first(row: tuple[Key, str]) -> float:
            return row[0][0]

        return bisect_right(bucket.rows, most, key=first) - sum(
            key[0] <= most for key in self.gone.get(bucket.kind, ())
        )

    def take(
        self, buckets: list[MachineBucket], most: Callable[[MachineClass], float]
    ) -> Iterator[MachineView]:
        """What goes first of all these, one after the other, as long as its key begins with no more than `most` says of its class
        by then. Each is taken before it is given out."""
        heads = [
            (bucket.rows[bucket.at], number)
            for number, bucket in enumerate(buckets)
            if self._advance(bucket)
        ]
        heapify(heads)
        while heads:
            (key, name), number = heappop(heads)
            bucket = buckets[number]
            if name not in self.taken:
                if key[0] > most(bucket.kind):
                    continue  # nor does what comes after it
                self.taken.add(name)
                self.gone.setdefault(bucket.kind, []).append(key)
                yield self.machines[name][2]
            if self._advance(bucket):
                heappush(heads, (bucket.rows[bucket.at], number))

    def _advance(self, bucket: MachineBucket) -> bool:
        """Go on to what is not gone; False at the end."""
        while bucket.at < len(bucket.rows) and bucket.rows[bucket.at][1] in self.taken:
            bucket.at += 1
        return bucket.at < len(bucket.rows)
