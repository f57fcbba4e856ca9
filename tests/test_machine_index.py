"""Machines by class give what looking at each of them gives."""

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
# A want: in which zone, of which image, up to what loss from whom, and how many machines.
WANT = some.tuples(
    some.sampled_from(["", "a", "b"]),
    some.sampled_from([None, "i1", "i2"]),
    some.integers(-1, 7),
    some.sampled_from(["red", "blue"]),
    some.integers(1, 4),
)


@given(some.lists(MACHINE, max_size=24), some.lists(WANT, max_size=8))
@settings(derandomize=True, max_examples=200, deadline=None)
def test_a_stock_gives_what_a_look_at_each_machine_gives(
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
    stock, left = MachineIndex(rows), {machine.name: (key, machine) for key, _, machine in rows}
    for zone, image, most, by, number in resource_requests:

        def suits(kind: MachineClass) -> bool:
            return zone in ("", kind.zone) and kind.shard != by

        def limit(kind: MachineClass) -> float:
            return most if kind.shard else math.inf

        fitting = sorted(
            (key, name)
            for name, (key, m) in left.items()
            if zone in ("", m.zone)
            and m.shard != by
            and (image is None or image in m.images)
            and (key[0] <= most or not m.shard)
        )
        if image is None:
            assert sum(
                stock.count(bucket, limit(bucket.kind)) for bucket in stock.buckets_for(suits)
            ) == len(fitting)
        taken = []
        for machine in stock.take(stock.buckets_for(suits, image), limit):
            taken.append(machine.name)
            if len(taken) == number:
                break
        assert taken == [name for _, name in fitting[:number]]
        for name in taken:
            del left[name]
    assert bool(stock) == bool(left)
