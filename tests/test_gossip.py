"""What is sent to peers, by whom and in which order; commands of the leader; steps that are repeated."""

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
    """A mesh that keeps what is sent: to whom ("*": all), and the frame."""

    def __init__(self) -> None:
        """With nothing sent."""
        self.sent: list[tuple[str, Any]] = []

    def send(self, label: str, frame: Any) -> bool:
        """Keep a frame to one peer."""
        self.sent.append((label, frame))
        return True

    def broadcast(self, frame: Any) -> None:
        """Keep a frame to all peers."""
        self.sent.append(("*", frame))


def shard_of(name: str, jobs: int = 0, rows: list[Any] | None = None) -> Any:
    reporter = SimpleNamespace(
        task_counts=lambda: [(f"{name}-{n}", 1, 2) for n in range(jobs)],
        shard_status=lambda now: f"status of {name}",
        leaving_machines=lambda: [(f"vm-{name}", "")],
    )
    graph = SimpleNamespace(inherited_elsewhere=lambda ours: list(rows or []))
    return SimpleNamespace(
        name=name,
        revision=7,
        jobs={},
        status_reporter=reporter,
        dependency_tracker=SimpleNamespace(graph=graph),
        resource_requests=[],
        had_resource_requests=False,
    )


def owner_gossip(
    mesh: SentFrames, *shards: Any, leader: str | None = "b", new_version: bool = True
) -> OwnerGossip:
    owners: Any = SimpleNamespace(
        label="a",
        active_shards=lambda: list(shards),
        inherit_priorities=lambda frame: mesh.sent.append(("here", frame)),
    )
    cluster: Any = SimpleNamespace(leader_label=lambda: leader)
    version: Any = SimpleNamespace(supports_dependencies=new_version, fences_commands=new_version)
    a_mesh: Any = mesh
    return OwnerGossip(
        owners=owners, mesh=a_mesh, cluster=cluster, cluster_version=version, now=lambda: 0.0
    )


def test_claims_are_sent_to_all_if_there_are_any() -> None:
    mesh = SentFrames()
    owner_gossip(mesh).send_claims()
    assert mesh.sent == []
    owner_gossip(mesh, shard_of("red"), shard_of("blue")).send_claims()
    assert mesh.sent == [("*", OwnershipClaims([("red", 7), ("blue", 7)]))]


@pytest.mark.parametrize("leader", [None, "a"])
def test_no_status_is_sent_without_another_leader(leader: str | None) -> None:
    mesh = SentFrames()
    owner_gossip(mesh, shard_of("red"), leader=leader).send_statuses()
    assert mesh.sent == []


def test_a_status_goes_to_the_leader_with_what_is_being_vacated() -> None:
    mesh = SentFrames()
    owner_gossip(mesh, shard_of("red")).send_statuses()
    reclaims = ReclaimsInProgress("red", [("vm-red", "")])
    assert mesh.sent == [("b", "status of red"), ("b", reclaims)]
    mesh.sent.clear()
    owner_gossip(mesh, shard_of("red"), new_version=False).send_statuses()
    assert mesh.sent == [("b", "status of red")]


def test_a_shard_that_comes_to_lack_room_says_so_once() -> None:
    mesh = SentFrames()
    shard = shard_of("red")
    gossip = owner_gossip(mesh, shard, new_version=False)
    for requests in ([], ["room"], ["room"], [], ["room"]):
        shard.resource_requests = requests
        gossip.send_status_if_urgent(shard)
    assert mesh.sent == [("b", "status of red")] * 2


def test_counts_come_after_statuses_and_priorities_in_as_many_frames_as_it_takes() -> None:
    mesh = SentFrames()
    shard = shard_of("red", jobs=JOBS_PER_FRAME + 1, rows=[("req-1", 3, 0.5)])
    owner_gossip(mesh, shard).send_statuses_and_counts()
    inheritance = PriorityInheritance("red", [("req-1", 3, 0.5)])
    assert [to for to, _ in mesh.sent] == ["b", "b", "*", "here", "*", "*"]
    assert mesh.sent[2:4] == [("*", inheritance), ("here", inheritance)]
    counts = [frame for _, frame in mesh.sent[4:]]
    assert all(isinstance(frame, TaskCounts) for frame in counts)
    assert [len(frame.jobs) for frame in counts] == [JOBS_PER_FRAME, 1]


def test_the_end_of_inherited_priorities_is_sent_once() -> None:
    mesh = SentFrames()
    rows = [("req-1", 3, 0.5)]
    gossip = owner_gossip(mesh, shard_of("red", rows=rows), leader=None)
    gossip.send_statuses_and_counts()
    rows.clear()
    gossip.send_statuses_and_counts()
    gossip.send_statuses_and_counts()
    sent = [frame.jobs for to, frame in mesh.sent if to == "*"]
    assert sent == [[("req-1", 3, 0.5)], []]
    assert gossip.inheriting == set()


def test_limits_are_divided_among_members_by_demand() -> None:
    def peer(label: str, heard: bool) -> Any:
        beat = SimpleNamespace(store_requests_per_s=3.0, store_writes_per_s=2.0) if heard else None
        return SimpleNamespace(label=label, heartbeat=beat, seen_within=lambda seconds: heard)

    peers = {label: peer(label, label == "b") for label in "bcd"}
    shared: list[Any] = []
    ready = asyncio.Event()
    store: Any = SimpleNamespace(update_fair_share=shared.append)
    mesh: Any = SimpleNamespace(peers=peers)
    cluster: Any = SimpleNamespace(members=SimpleNamespace(entries={"member/c": None}, ready=ready))
    sharing = StoreLimitSharing(store=store, mesh=mesh, cluster=cluster, ttl_s=4.0)
    sharing.divide()
    ready.set()
    sharing.divide()
    demand = Demand(3.0, 2.0)
    assert shared == [[demand, None, None], [demand, None]]


def test_the_order_within_a_beat() -> None:
    order: list[str] = []

    def noted(*names: str) -> Any:
        return SimpleNamespace(
            **{name: lambda *_, name=name: order.append(name) for name in names},
            heartbeat_interval_s=0.25,
        )

    gossip = Gossip(
        mesh=noted("broadcast"),
        heartbeats=noted("heartbeat"),
        store_limits=noted("divide"),
        cancellations=noted("send_echoes"),
        owner_gossip=noted("send_claims", "send_statuses_and_counts"),
        load_handover=noted("on_beat"),
        worker_client=noted("close_idle"),
    )
    assert asyncio.run(gossip.beat()) == 0.25
    expected = ["on_beat", "divide", "heartbeat", "broadcast", "send_echoes"]
    assert order == [*expected, "send_claims", "send_statuses_and_counts", "close_idle"]


def commands(mesh: SentFrames, fenced: bool = True) -> tuple[ShardCommands, Any]:
    owner = SimpleNamespace(transfer_to=None, wake=asyncio.Event())
    owners: Any = SimpleNamespace(table={"red": owner})
    cluster: Any = SimpleNamespace(owner_label={"red": "a", "blue": "b"}.get)
    version: Any = SimpleNamespace(fences_commands=fenced)
    a_mesh: Any = mesh
    made = ShardCommands(
        owners=owners,
        cluster=cluster,
        cluster_version=version,
        mesh=a_mesh,
        terms=TermFence(),
        now=lambda: 0.0,
    )
    return made, owner


@pytest.mark.parametrize("fenced", [True, False])
def test_a_command_goes_to_the_owner_wherever_it_is(fenced: bool) -> None:
    mesh = SentFrames()
    made, owner = commands(mesh, fenced)
    made.send("red", TransferShard("red", "c"), 5)
    assert owner.transfer_to == "c" and owner.wake.is_set() and mesh.sent == []
    command = Reclaim("blue", "red", ["vm-1"])
    made.send("blue", command, 5)
    made.send("gray", Reclaim("gray", "red", ["vm-2"]), 5)  # nobody owns it
    assert mesh.sent == [("b", FencedCommand(5, command) if fenced else command)]


def test_a_command_of_an_earlier_term_is_refused() -> None:
    made, owner = commands(SentFrames())
    made.terms.observe(6)
    made.fenced_received("b", FencedCommand(5, TransferShard("red", "c")))
    assert owner.transfer_to is None and made.terms.refused == 1
    made.fenced_received("b", FencedCommand(6, TransferShard("red", "c")))
    assert owner.transfer_to == "c"


@pytest.mark.parametrize(("fenced", "given_to"), [(True, None), (False, "c")])
def test_a_command_without_a_term_counts_only_among_old_versions(
    fenced: bool, given_to: str | None
) -> None:
    made, owner = commands(SentFrames(), fenced)
    made.unfenced_received("b", TransferShard("red", "c"))
    assert owner.transfer_to == given_to


def test_a_step_is_repeated_whatever_goes_wrong(monkeypatch: pytest.MonkeyPatch) -> None:
    pauses: list[float] = []

    async def sleep(seconds: float) -> None:
        pauses.append(seconds)

    monkeypatch.setattr(asyncio, "sleep", sleep)
    results: list[Any] = [0.5, StoreUnavailableError("down"), ValueError("fault"), None]

    async def step() -> float | None:
        result = results.pop(0)
        if isinstance(result, Exception):
            raise result
        return result  # type: ignore[no-any-return]

    asyncio.run(run_periodically(step, 0.1))
    assert pauses == [0.5, 0.1, 0.2] and results == []
