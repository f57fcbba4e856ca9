"""Messages to peers and their order, commands of the leader, and periodic steps."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest

from ashdock.background_tasks import run_periodically
from ashdock.core.shard_status import Reclaim
from ashdock.election.fencing import TermFence
from ashdock.gossip import JOBS_PER_FRAME, Gossip, OwnerGossip, StoreLimitSharing
from ashdock.net.rate_limiter import Demand
from ashdock.net.store import StoreUnavailableError
from ashdock.shard_commands import ShardCommands
from ashdock.wire.peer_messages import (
    FencedCommand,
    OwnershipClaims,
    PriorityInheritance,
    ReclaimsInProgress,
    TaskCounts,
    TransferShard,
)


class SentFrames:
    """A fake mesh that records each receiver ("*" for all peers) and frame."""

    def __init__(self) -> None:
        """Start without frames."""
        self.sent: list[tuple[str, Any]] = []

    def send(self, label: str, frame: Any) -> bool:
        """Record a frame to one peer."""
        self.sent.append((label, frame))
        return True

    def broadcast(self, frame: Any) -> None:
        """Record a frame to all peers."""
        self.sent.append(("*", frame))


def make_shard(name: str, jobs: int = 0, rows: list[Any] | None = None) -> Any:
    reporter = SimpleNamespace(
        task_counts=lambda: [(f"{name}-{n}", 1, 2) for n in range(jobs)],
        shard_status=lambda now: f"status of {name}",
        leaving_machines=lambda: [(f"vm-{name}", "")],
    )
    graph = SimpleNamespace(inherited_elsewhere=lambda own_jobs: list(rows or []))
    return SimpleNamespace(
        name=name,
        revision=7,
        jobs={},
        status_reporter=reporter,
        dependency_tracker=SimpleNamespace(graph=graph),
        resource_requests=[],
        had_resource_requests=False,
    )


def make_owner_gossip(
    mesh: SentFrames, *shards: Any, leader: str | None = "b", new_version: bool = True
) -> OwnerGossip:
    owners: Any = SimpleNamespace(
        label="a",
        active_shards=lambda: list(shards),
        inherit_priorities=lambda frame: mesh.sent.append(("here", frame)),
    )
    cluster: Any = SimpleNamespace(leader_label=lambda: leader)
    version: Any = SimpleNamespace(supports_dependencies=new_version, fences_commands=new_version)
    untyped_mesh: Any = mesh
    return OwnerGossip(
        owners=owners, mesh=untyped_mesh, cluster=cluster, cluster_version=version, now=lambda: 0.0
    )


def test_claims_are_sent_to_all_if_there_are_any() -> None:
    mesh = SentFrames()
    make_owner_gossip(mesh).send_claims()
    assert mesh.sent == []
    make_owner_gossip(mesh, make_shard("red"), make_shard("blue")).send_claims()
    assert mesh.sent == [("*", OwnershipClaims([("red", 7), ("blue", 7)]))]


@pytest.mark.parametrize("leader", [None, "a"])
def test_no_status_is_sent_without_another_leader(leader: str | None) -> None:
    mesh = SentFrames()
    make_owner_gossip(mesh, make_shard("red"), leader=leader).send_statuses()
    assert mesh.sent == []


def test_a_status_goes_to_the_leader_with_the_machines_being_vacated() -> None:
    mesh = SentFrames()
    make_owner_gossip(mesh, make_shard("red")).send_statuses()
    reclaims = ReclaimsInProgress("red", [("vm-red", "")])
    assert mesh.sent == [("b", "status of red"), ("b", reclaims)]
    mesh.sent.clear()
    make_owner_gossip(mesh, make_shard("red"), new_version=False).send_statuses()
    assert mesh.sent == [("b", "status of red")]


def test_a_status_is_sent_at_once_when_resource_requests_begin() -> None:
    mesh = SentFrames()
    shard = make_shard("red")
    gossip = make_owner_gossip(mesh, shard, new_version=False)
    for requests in ([], ["request"], ["request"], [], ["request"]):
        shard.resource_requests = requests
        gossip.send_status_if_urgent(shard)
    assert mesh.sent == [("b", "status of red")] * 2


def test_counts_are_sent_after_statuses_and_priorities_and_split_into_frames() -> None:
    mesh = SentFrames()
    shard = make_shard("red", jobs=JOBS_PER_FRAME + 1, rows=[("req-1", 3, 0.5)])
    make_owner_gossip(mesh, shard).send_statuses_and_counts()
    inheritance = PriorityInheritance("red", [("req-1", 3, 0.5)])
    assert [receiver for receiver, _ in mesh.sent] == ["b", "b", "*", "here", "*", "*"]
    assert mesh.sent[2:4] == [("*", inheritance), ("here", inheritance)]
    counts = [frame for _, frame in mesh.sent[4:]]
    assert all(isinstance(frame, TaskCounts) for frame in counts)
    assert [len(frame.jobs) for frame in counts] == [JOBS_PER_FRAME, 1]


def test_the_end_of_inherited_priorities_is_sent_once() -> None:
    mesh = SentFrames()
    rows = [("req-1", 3, 0.5)]
    gossip = make_owner_gossip(mesh, make_shard("red", rows=rows), leader=None)
    gossip.send_statuses_and_counts()
    rows.clear()
    gossip.send_statuses_and_counts()
    gossip.send_statuses_and_counts()
    sent = [frame.jobs for receiver, frame in mesh.sent if receiver == "*"]
    assert sent == [[("req-1", 3, 0.5)], []]
    assert gossip.shards_with_inheritance == set()


def test_limits_are_divided_among_members_by_demand() -> None:
    def peer(label: str, heard: bool) -> Any:
        heartbeat = (
            SimpleNamespace(store_requests_per_s=3.0, store_writes_per_s=2.0) if heard else None
        )
        return SimpleNamespace(label=label, heartbeat=heartbeat, seen_within=lambda seconds: heard)

    peers = {label: peer(label, label == "b") for label in "bcd"}
    demand_updates: list[Any] = []
    ready = asyncio.Event()
    store: Any = SimpleNamespace(update_fair_share=demand_updates.append)
    mesh: Any = SimpleNamespace(peers=peers)
    cluster: Any = SimpleNamespace(members=SimpleNamespace(entries={"member/c": None}, ready=ready))
    due_writes: Any = SimpleNamespace(update=lambda: None)
    sharing = StoreLimitSharing(
        store=store, mesh=mesh, cluster=cluster, due_writes=due_writes, ttl_s=4.0
    )
    sharing.update_share()
    ready.set()
    sharing.update_share()
    demand = Demand(3.0, 2.0)
    assert demand_updates == [[demand, None, None], [demand, None]]


def test_the_order_of_actions_at_a_heartbeat() -> None:
    order: list[str] = []

    def recorder(*names: str) -> Any:
        return SimpleNamespace(
            **{name: lambda *_, name=name: order.append(name) for name in names},
            heartbeat_interval_s=0.25,
        )

    gossip = Gossip(
        mesh=recorder("broadcast"),
        heartbeats=recorder("heartbeat"),
        store_limits=recorder("update_share"),
        cancellations=recorder("send_echoes"),
        owner_gossip=recorder("send_claims", "send_statuses_and_counts"),
        load_handover=recorder("on_heartbeat"),
        worker_client=recorder("close_idle"),
    )
    assert asyncio.run(gossip.run_once()) == 0.25
    expected = ["on_heartbeat", "update_share", "heartbeat", "broadcast", "send_echoes"]
    assert order == [*expected, "send_claims", "send_statuses_and_counts", "close_idle"]


def make_shard_commands(mesh: SentFrames, fenced: bool = True) -> tuple[ShardCommands, Any]:
    owner = SimpleNamespace(transfer_to=None, wake=asyncio.Event())
    owners: Any = SimpleNamespace(by_team={"red": owner})
    cluster: Any = SimpleNamespace(owner_label={"red": "a", "blue": "b"}.get)
    version: Any = SimpleNamespace(fences_commands=fenced)
    untyped_mesh: Any = mesh
    shard_commands = ShardCommands(
        owners=owners,
        cluster=cluster,
        cluster_version=version,
        mesh=untyped_mesh,
        term_fence=TermFence(),
        now=lambda: 0.0,
    )
    return shard_commands, owner


@pytest.mark.parametrize("fenced", [True, False])
def test_a_command_goes_to_the_local_or_remote_owner(fenced: bool) -> None:
    mesh = SentFrames()
    shard_commands, owner = make_shard_commands(mesh, fenced)
    shard_commands.send("red", TransferShard("red", "c"), 5)
    assert owner.transfer_to == "c" and owner.wake.is_set() and mesh.sent == []
    command = Reclaim("blue", "red", ["vm-1"])
    shard_commands.send("blue", command, 5)
    shard_commands.send("gray", Reclaim("gray", "red", ["vm-2"]), 5)  # the shard has no owner
    assert mesh.sent == [("b", FencedCommand(5, command) if fenced else command)]


def test_a_command_of_an_earlier_term_is_refused() -> None:
    shard_commands, owner = make_shard_commands(SentFrames())
    shard_commands.term_fence.observe(6)
    shard_commands.fenced_received("b", FencedCommand(5, TransferShard("red", "c")))
    assert owner.transfer_to is None and shard_commands.term_fence.refused_commands == 1
    shard_commands.fenced_received("b", FencedCommand(6, TransferShard("red", "c")))
    assert owner.transfer_to == "c"


@pytest.mark.parametrize(("fenced", "transferred_to"), [(True, None), (False, "c")])
def test_a_command_without_a_term_is_executed_only_before_fencing(
    fenced: bool, transferred_to: str | None
) -> None:
    shard_commands, owner = make_shard_commands(SentFrames(), fenced)
    shard_commands.unfenced_received("b", TransferShard("red", "c"))
    assert owner.transfer_to == transferred_to


def test_a_step_is_repeated_after_errors(monkeypatch: pytest.MonkeyPatch) -> None:
    pauses: list[float] = []

    async def sleep(seconds: float) -> None:
        pauses.append(seconds)

    monkeypatch.setattr(asyncio, "sleep", sleep)
    results: list[Any] = [0.5, StoreUnavailableError("down"), ValueError("unexpected"), None]

    async def step() -> float | None:
        result = results.pop(0)
        if isinstance(result, Exception):
            raise result
        return result  # type: ignore[no-any-return]

    asyncio.run(run_periodically(step, 0.1))
    assert pauses == [0.5, 0.1, 0.2] and results == []
