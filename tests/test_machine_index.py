"""The machine index chooses the same machines as a search through all of them."""

from __future__ import annotations

import math
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as some

from ashdock.core.machine_index import MachineClass, MachineIndex, MachineView

MACHINE = some.tuples(
    some.sampled_from(["", "red", "blue"]),
    some.sampled_from("ab"),
    some.booleans(),
    some.integers(0, 2),
    some.integers(0, 6),
    some.frozensets(some.sampled_from(["i1", "i2", "i3"])),
)
# A request: zone, image, highest preemption cost, the requesting shard, and number of machines.
REQUEST = some.tuples(
    some.sampled_from(["", "a", "b"]),
    some.sampled_from([None, "i1", "i2"]),
    some.integers(-1, 7),
    some.sampled_from(["red", "blue"]),
    some.integers(1, 4),
)


@given(some.lists(MACHINE, max_size=24), some.lists(REQUEST, max_size=8))
@settings(derandomize=True, max_examples=200, deadline=None)
def test_machine_index_chooses_as_a_full_search(
    machines: list[Any], resource_requests: list[Any]
) -> None:
    rows = [
        (
            (float(preemption_cost), 0.0),
            priority,
            MachineView(f"m{n:02}", shard, "g4", zone, spot, 1, "", images),
        )
        for n, (shard, zone, spot, priority, preemption_cost, images) in enumerate(machines)
    ]
    index, left = MachineIndex(rows), {machine.name: (key, machine) for key, _, machine in rows}
    for zone, image, max_cost, requester, number in resource_requests:

        def suits(machine_class: MachineClass) -> bool:
            return zone in ("", machine_class.zone) and machine_class.shard != requester

        def max_key(machine_class: MachineClass) -> float:
            return max_cost if machine_class.shard else math.inf

        expected = sorted(
            (key, name)
            for name, (key, machine) in left.items()
            if zone in ("", machine.zone)
            and machine.shard != requester
            and (image is None or image in machine.images)
            and (key[0] <= max_cost or not machine.shard)
        )
        if image is None:
            assert sum(
                index.count(bucket, max_key(bucket.machine_class))
                for bucket in index.buckets_for(suits)
            ) == len(expected)
        taken = []
        for machine in index.take(index.buckets_for(suits, image), max_key):
            taken.append(machine.name)
            if len(taken) == number:
                break
        assert taken == [name for _, name in expected[:number]]
        for name in taken:
            del left[name]
    assert bool(index) == bool(left)
