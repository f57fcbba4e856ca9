"""An index of the machines that one round of the allocator may reassign, by class.

A round has hundreds of resource requests, and a fleet thousands of machines. Looking at each
machine for each request took a quarter of the processor time of a controller with 1,300 machines,
and grew with the square of the fleet. Machines of one class (type, zone, spot or not, shard,
priority of what runs there) differ for a request only in which is taken first, so each class has a
sorted bucket; a request looks at the buckets that suit it and takes machines from their heads. A
second set of buckets, built when it is first asked for, holds the same machines by image.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Callable, Iterable, Iterator
from heapq import heapify, heappop, heappush
from typing import NamedTuple

SortKey = tuple[float, float]  # machines with lower keys are taken first


class MachineView(NamedTuple):
    """A machine's record, as the leader reads it from the store.

    Attributes:
        name: The machine's name.
        shard: The shard that it is assigned to; "" if none.
        type: Label of its machine type.
        zone: Its zone.
        spot: Whether it is a spot instance.
        revision: Revision of the record.
        decommissioned: Why it was decommissioned; "" if it was not.
        images: Images in its cache.
    """

    name: str
    shard: str
    type: str
    zone: str
    spot: bool
    revision: int
    decommissioned: str
    images: frozenset[str] = frozenset()


class MachineClass(NamedTuple):
    """What machines have in common that are interchangeable for a request.

    Attributes:
        type: Label of the machine type.
        zone: The zone.
        spot: Whether they are spot instances.
        shard: The shard that they are assigned to; "" if none.
        priority: The highest priority among the tasks of each.
    """

    type: str
    zone: str
    spot: bool
    shard: str
    priority: int = 0


class MachineBucket:
    """Machines of one class, sorted when they are first looked at."""

    __slots__ = ("is_sorted", "machine_class", "next_row", "rows")

    def __init__(self, machine_class: MachineClass) -> None:
        """Start an empty bucket."""
        self.machine_class = machine_class
        self.rows: list[tuple[SortKey, str]] = []
        self.next_row = 0  # all rows before it are taken
        self.is_sorted = False

    def add(self, row: tuple[SortKey, str]) -> None:
        """Add a machine's sort key and name; not to be called after `sort`."""
        self.rows.append(row)

    def sort(self) -> MachineBucket:
        """Sort the rows if they are not sorted yet, and return the bucket."""
        if not self.is_sorted:
            self.rows.sort()
            self.is_sorted = True
        return self


class MachineIndex:
    """The machines of one round by class and image; a machine is taken from all its buckets."""

    def __init__(self, machines: Iterable[tuple[SortKey, int, MachineView]]) -> None:
        """Index machines, each given with its sort key and the priority of what runs there."""
        self.machines: dict[str, tuple[SortKey, MachineClass, MachineView]] = {}
        self.taken_keys: dict[MachineClass, list[SortKey]] = {}
        self.taken: set[str] = set()
        buckets: dict[tuple[str, str, bool, str, int], MachineBucket] = {}
        for key, priority, machine in machines:
            class_fields = (machine.type, machine.zone, machine.spot, machine.shard, priority)
            bucket = buckets.get(class_fields)
            if bucket is None:
                bucket = buckets[class_fields] = MachineBucket(MachineClass(*class_fields))
            bucket.add((key, machine.name))
            self.machines[machine.name] = (key, bucket.machine_class, machine)
        self.buckets = list(buckets.values())
        # By image, and by the identity of the class.
        self.buckets_by_image: dict[str, dict[int, MachineBucket]] | None = None

    def __bool__(self) -> bool:
        """Return whether any machine is left."""
        return len(self.taken) < len(self.machines)

    def _buckets_with_image(self, image: str) -> Iterable[MachineBucket]:
        if self.buckets_by_image is None:
            self.buckets_by_image = {}
            for name, (key, machine_class, machine) in self.machines.items():
                if name not in self.taken:
                    for cached_image in machine.images:
                        buckets = self.buckets_by_image.setdefault(cached_image, {})
                        bucket = buckets.get(id(machine_class))
                        if bucket is None:
                            bucket = buckets[id(machine_class)] = MachineBucket(machine_class)
                        bucket.add((key, name))
        return self.buckets_by_image.get(image, {}).values()

    def buckets_for(
        self, suits: Callable[[MachineClass], bool], image: str | None = None
    ) -> list[MachineBucket]:
        """Return sorted buckets of classes that suit; with an image, of machines that hold it."""
        return [
            bucket.sort()
            for bucket in (self.buckets if image is None else self._buckets_with_image(image))
            if suits(bucket.machine_class)
        ]

    def count(self, bucket: MachineBucket, max_key: float) -> int:
        """Count a bucket's machines that are left and whose key begins with `max_key` or less.

        The bucket has to be one of all machines of its class, not one for an image.
        """

        def first(row: tuple[SortKey, str]) -> float:
            return row[0][0]

        return bisect_right(bucket.rows, max_key, key=first) - sum(
            key[0] <= max_key for key in self.taken_keys.get(bucket.machine_class, ())
        )

    def take(
        self, buckets: list[MachineBucket], max_key: Callable[[MachineClass], float]
    ) -> Iterator[MachineView]:
        """Take machines from buckets one after the other, lowest key first over all of them.

        A machine is taken only if its key begins with no more than what `max_key` returns for its
        class at that moment. It counts as taken before it is yielded.
        """
        heads = [
            (bucket.rows[bucket.next_row], number)
            for number, bucket in enumerate(buckets)
            if self._skip_taken(bucket)
        ]
        heapify(heads)
        while heads:
            (key, name), number = heappop(heads)
            bucket = buckets[number]
            if name not in self.taken:
                if key[0] > max_key(bucket.machine_class):
                    continue  # the bucket's later machines have no lower keys
                self.taken.add(name)
                self.taken_keys.setdefault(bucket.machine_class, []).append(key)
                yield self.machines[name][2]
            if self._skip_taken(bucket):
                heappush(heads, (bucket.rows[bucket.next_row], number))

    def _skip_taken(self, bucket: MachineBucket) -> bool:
        """Advance to the first row that is not taken, and return whether there is one."""
        while bucket.next_row < len(bucket.rows) and bucket.rows[bucket.next_row][1] in self.taken:
            bucket.next_row += 1
        return bucket.next_row < len(bucket.rows)
