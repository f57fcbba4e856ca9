"""Records as a controller finds them when it takes over: a shard, or the leadership."""

from __future__ import annotations

from collections.abc import Coroutine
from types import SimpleNamespace
from typing import Any

from ashdock.core.allocator import ScaleOut
from ashdock.settings import Operators, Team
from ashdock.shard_owner import OwnershipPhase, ShardOwner
from ashdock.timelines import FailoverTimeline
from tests.forms.adapter.changes import part_to_values
from tests.forms.adapter.exchanges import Store, bounded
from tests.forms.adapter.records import NOW, machine_type
from tests.forms.adapter.values import Plain, plain
from tests.forms.adapter.writers import context, provisioner_of, replica


def take_over_part(entries: Plain) -> Plain:
    """Claim a shard that another owned, and read all that it holds."""

    async def run() -> Plain:
        store = Store(entries)
        seen: list[Plain] = []
        home = context(
            store,
            operators=Operators(),
            catalog={"g4": machine_type("g4")},
            rng=SimpleNamespace(random=lambda: 0.5),
            shards=replica([]),
            jobs_known=SimpleNamespace(
                observe_job=lambda job, record, revision: seen.append([job, revision])
            ),
            send_claims=lambda: None,
        )
        owner: Any = ShardOwner.__new__(ShardOwner)
        owner.context, owner.team, owner.phase = home, Team("red"), OwnershipPhase.CLAIMING
        owner.claimed_from = next(revision for path, _, revision in entries if path == "part/red")
        owner.buffered_changes, owner.failover_timeline = [], FailoverTimeline("red", NOW)
        owner.ready = SimpleNamespace(set=lambda: None)
        await owner._claim()
        parks = [plain(park) for park in owner.shard.parks.items]
        found = part_to_values(owner.shard) | {"parked": parks, "known": seen}
        return {"part": found, "reads": store.reads}

    return bounded(run())


def take_over_leadership(entries: Plain) -> Plain:
    """What an earlier leader set out to rent, and machines that it gave up."""

    async def run() -> Plain:
        store = Store(entries)
        released: list[Plain] = []
        left: list[Coroutine[Any, Any, None]] = []

        async def release(names: list[str], guard: Any) -> None:
            released.extend(names)

        machines = [entry for entry in entries if entry[0].startswith("machine/")]
        home = context(
            store,
            intent_count=0,
            catalog={"g4": machine_type("g4")},
            machines=replica(machines),
            cloud=SimpleNamespace(release=release),
        )
        allocator = SimpleNamespace(scale_outs=[])
        provisioner = provisioner_of(home, scale_out_tracker=allocator, spawn=left.append)
        await provisioner.resume_intents()
        await provisioner.scale_in()
        for carried_out in left:
            carried_out.close()
        renting = [rent_to_values(rent) for rent in allocator.scale_outs]
        transactions = [body for _, _, body in store.requests]
        names = sorted(provisioner.open_intents)
        return {
            "renting": renting,
            "names": names,
            "released": released,
            "transactions": transactions,
            "reads": store.reads,
        }

    return bounded(run())


def rent_to_values(rent: ScaleOut) -> Plain:
    """A request to the cloud."""
    return [plain(rent.teams), rent.type, rent.zone, rent.spot]
