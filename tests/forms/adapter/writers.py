"""What each writer puts into the store, and records that are read by a request to it."""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Iterable
from types import SimpleNamespace
from typing import Any

from ashdock.cluster_version import ClusterVersion
from ashdock.core.allocator import ScaleOut
from ashdock.core.shard import Shard
from ashdock.election.election import Election
from ashdock.election.elector import LeaderElector
from ashdock.leader.assignments import Assignments
from ashdock.leader.heartbeats import ReceivedHeartbeat, UnassignedHeartbeats, UnrecordedMachine
from ashdock.leader.inventory import InventoryReconciler
from ashdock.leader.leadership import Leadership
from ashdock.leader.machine_records import MachineRecords
from ashdock.leader.provisioner import Provisioner
from ashdock.machine_type_catalog import MachineTypeCatalog
from ashdock.membership import Membership
from ashdock.net.cloud import CloudUnavailableError
from ashdock.settings import (
    OtherController,
    Team,
)
from ashdock.shard_owner import OwnershipPhase, ShardOwner
from ashdock.wire import messages
from tests.forms.adapter.bodies import MACHINE_TYPE
from tests.forms.adapter.changes import loaded_part
from tests.forms.adapter.exchanges import Store, bounded, store_client
from tests.forms.adapter.records import (
    NOW,
    REVISION,
    entries_by_path,
    machine_type,
    make_part,
    shared_settings,
)
from tests.forms.adapter.values import (
    Plain,
    attributes_of,
    to_bytes,
)

TERM = 41  # the revision of the leader's key


def replica(entries: Iterable[Plain]) -> Any:
    """A prefix of the store as a controller keeps it in memory."""
    return SimpleNamespace(
        entries=entries_by_path(list(entries)), apply_own_write=lambda path, value, revision: None
    )


def context(store: Store, **more: Any) -> Any:
    """What of a controller the writers use."""
    shared = shared_settings()
    client = store_client(store)
    base = {
        "label": "n1",
        "incarnation": 5,
        "ttl_s": 1.0,
        "tick_s": 0.25,
        "shared": shared,
        "workers": shared.workers,
        "write_limits": client.write_limits,
        "store": client,
        "store_lease": 9,
        "lease_renewed_at": 0.0,
        "others": [OtherController("n2", "10.0.0.2:8081"), OtherController("n3", "10.0.0.3:8081")],
        "now": lambda: NOW,
        "cut_off": lambda: False,
        "eligible_members": lambda: ["n1", "n2"],
        "can_name_successor": lambda: True,
    }
    return SimpleNamespace(**(base | more))


def leadership() -> Leadership:
    """The fence of a term that lasts."""
    election: Any = SimpleNamespace(
        path="leader", may_act=lambda now, term: True, complete_reconciliation=lambda term: None
    )
    return Leadership(election, TERM)


def machine_records_of(home: Any) -> MachineRecords:
    """The machines' records as the leader writes them."""
    return MachineRecords(home.store, home.machines, leadership(), home.write_limits)


def provisioner_of(home: Any, **more: Any) -> Any:
    """The leader's provisioner, with an allocator that decides nothing."""
    home = SimpleNamespace(**({"machines": replica([]), "catalog": {}, "cloud": None} | vars(home)))
    collaborators: Any = {
        "store": home.store,
        "cloud": home.cloud,
        "records": machine_records_of(home),
        "leadership": leadership(),
        "scale_out_tracker": SimpleNamespace(scale_outs=[]),
        "naming": home,
        "catalog": home.catalog,
        "write_limits": home.write_limits,
        "state_fresh": lambda: True,
        "on_released": lambda names: None,
        "spawn": lambda job: job.close(),
        "now": home.now,
        "lease_s": home.workers.lease_s,
        "tick_s": home.tick_s,
    }
    return Provisioner(**(collaborators | more))


def inventory_of(
    home: Any, records: MachineRecords, assignments: Assignments
) -> InventoryReconciler:
    """The leader's reconciliation, with a cloud that is not asked."""
    return InventoryReconciler(
        cloud=SimpleNamespace(),  # type: ignore[arg-type]
        records=records,
        assignments=assignments,
        heartbeats=assignments.heartbeats,
        leadership=records.leadership,
        catalog=home.catalog,
        scaling_out=lambda: False,
        now=home.now,
        min_lag_s=1.0,
        lease_s=home.workers.lease_s,
        adopt_after_s=1.0,
    )


async def write_membership(store: Store, values: Plain) -> None:
    """Join, and then publish that this controller is not eligible."""
    cluster_version = SimpleNamespace(supports_dependencies=values["agreed"])
    path = "member/n1"
    entries = [[path, {"incarnation": 5, "fit": True}, 3]]
    membership = Membership(
        context(store, cluster_version=cluster_version, members=replica(entries)), 6.0
    )
    await membership._join()
    store.entries[path] = (None, 3)
    await membership._publish_eligibility(False)


async def write_claim(store: Store, values: Plain) -> None:
    """Claim a shard, and give it to another controller."""
    owner: Any = ShardOwner.__new__(ShardOwner)
    owner.team, owner.expected_revision = Team("red"), values["revision"]
    owner.phase = OwnershipPhase.LOST  # the claim is written, and the shard is not read
    owner.context = context(store, shards=replica([]), forget_owner=lambda owner: None)
    try:
        await owner._claim()
    except Exception as error:
        if type(error).__name__ != "StaleContextError":
            raise
    store.entries["part/red"] = (None, REVISION)
    await owner._transfer(make_part(), "n2")


async def write_leadership(store: Store, values: Plain) -> None:
    """Take the leader's key, name the next leader, and drop it."""
    election = Election("machines", "leader", "n1", 5)
    elector: Any = LeaderElector.__new__(LeaderElector)
    elector.context, elector.election, elector.key_cache = context(store), election, replica([])
    (
        elector.on_started_leading,
        elector.leader_work,
        elector.vacant_since,
        elector.successor_named_at,
    ) = (
        (lambda election: None),
        None,
        None,
        None,
    )
    elector.leading_durations = elector.vacancy_durations = SimpleNamespace(
        add=lambda seconds: None
    )
    held = entries_by_path(values["held"]).get("leader")
    await elector._acquire(held)
    store.entries["leader"] = (None, 100)
    await elector._transfer("n2")
    await elector._release(100)


async def write_upgrade(store: Store, values: Plain) -> None:
    """Look at the announcements and the mark, and write what is due."""
    await ClusterVersion(context(store)).negotiate()


async def write_catalog_records(store: Store, values: Plain) -> None:
    """Keep the machine types: in one value, or in one for each where that is too large."""

    async def catalog() -> dict[str, messages.MachineType]:
        return {label: machine_type(label) for label in values["labels"]}

    home = context(store, catalog={}, leader=True, cloud=SimpleNamespace(catalog=catalog))
    if values["limit"]:
        home.write_limits.announced_apply, home.write_limits.value_bytes = True, values["limit"]
    await MachineTypeCatalog(home).refresh()


async def write_charter(store: Store, values: Plain) -> None:
    """Set out to rent."""

    async def carry_out(*words: Any, **more: Any) -> None:
        """What follows the write is not part of the form."""

    provisioner = provisioner_of(context(store, intent_count=0))
    provisioner._carry_out = carry_out
    teams = tuple((team, number) for team, number in values["teams"])
    await provisioner.scale_out(ScaleOut(teams, values["type"], values["zone"], values["spot"]))


async def write_machines(store: Store, values: Plain) -> None:
    """Record a rented machine, adopt a stray, lend one of the pool and give one up."""
    unassigned_machines = [
        [path, value, revision] for path, (value, revision) in store.entries.items()
    ]
    home = context(
        store,
        machines=replica(unassigned_machines),
        catalog={"g4": machine_type("g4")},
        intent_count=0,
    )
    records, heartbeats = machine_records_of(home), UnassignedHeartbeats()
    assignments = Assignments(records, heartbeats, home.now, home.workers.report_s)
    inventory = inventory_of(home, records, assignments)
    store.entries["leader"] = (None, TERM)
    report = messages.decode_heartbeat(to_bytes(values["report"]))
    heartbeats.recorded = {"vm-1": ReceivedHeartbeat(report, NOW)}
    await provisioner_of(home)._record_machines(
        ScaleOut((("red", 1), ("blue", 1)), "g4", "a", True), ["vm-7", "vm-8"], NOW
    )
    listed = messages.Host("vm-9", "10.1.0.9:9000", "g4", "b", "up")
    await inventory._adopt("vm-9", listed)
    heartbeats.unrecorded = {"vm-6": UnrecordedMachine(report, NOW)}
    await assignments.assign({"vm-1": "red", "vm-6": "blue"})
    await assignments.decommission(["vm-1"], "returned")


async def write_part_changes(store: Store, values: Plain) -> None:
    """A shard's own transactions: load it, tell it of reports, and write what is not durable."""
    entries = [[path, value, revision] for path, (value, revision) in store.entries.items()]
    shard = loaded_part(entries, values.get("limit"))
    shard.tick(NOW)
    shard.scheduler.schedule(NOW)
    for report in values.get("reports", ()):
        found = messages.decode_heartbeat(to_bytes(report))
        shard.reconciler.on_heartbeat(found, NOW + 1, checkin=True)
    for job_id in values.get("cancelled", ()):
        shard.cancel(job_id, NOW, store.entries[f"job/{job_id}"][1], NOW)
    store.entries["part/red"] = (None, REVISION)
    await write_all(shard, store)


async def write_all(shard: Shard, store: Store) -> None:
    """Transactions until all is durable."""
    client = store_client(store)
    while (txn := shard.writer.next_transaction()) is not None:
        revision = await client.txn(txn.conditions, txn.writes)
        for callback in txn.on_commit:
            callback(revision)
        for path in txn.writes:
            store.entries[path] = (None, revision)


WRITERS: dict[str, Callable[[Store, Plain], Coroutine[Any, Any, None]]] = {
    "membership": write_membership,
    "claim": write_claim,
    "leadership": write_leadership,
    "upgrade": write_upgrade,
    "catalog": write_catalog_records,
    "charter": write_charter,
    "machines": write_machines,
    "part": write_part_changes,
}


def transactions(values: Plain) -> Plain:
    """The bodies of the transactions that one writer sends, given what the store holds."""

    async def run() -> Plain:
        store = Store(values["store"])
        await WRITERS[values["writer"]](store, values["arguments"])
        return [body for _, _, body in store.requests]

    return bounded(run())


def read_upgrade(entries: Plain) -> Plain:
    """`upgrade/`: the version that all controllers know, and what follows from it."""

    async def run() -> Plain:
        home = context(Store(entries))
        cluster_version = ClusterVersion(home)
        await cluster_version.negotiate()
        return {
            "version": cluster_version.version,
            "missing": cluster_version.missing,
            "narrow_chunks": cluster_version.supports_dependencies,
            "terms": cluster_version.fences_commands,
            "cancellations_told": cluster_version.broadcasts_cancellations,
        }

    return bounded(run())


def read_kept_catalog(entries: Plain) -> Plain:
    """`catalog` and `catalog/<label>`, read while the cloud does not answer."""

    async def catalog() -> dict[str, messages.MachineType]:
        raise CloudUnavailableError("no answer", True)

    async def run() -> Plain:
        home = context(Store(entries), catalog={}, leader=None)
        home.cloud = SimpleNamespace(catalog=catalog)
        await MachineTypeCatalog(home).refresh()
        return {label: attributes_of(kind, MACHINE_TYPE) for label, kind in home.catalog.items()}

    return bounded(run())
