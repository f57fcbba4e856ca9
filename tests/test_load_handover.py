"""Load shedding: a shard is transferred to a peer while this controller lacks processor time."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from ashdock.load_handover import LoadHandover
from ashdock.wire.peer_messages import TransferShard

HEARTBEAT_INTERVAL_S = 1.0
PATIENCE_S = 10.0


def peer(*, ready: bool = True, reachable: bool = True, leader: bool = False) -> Any:
    """Create a fake peer whose heartbeats are on time."""
    return SimpleNamespace(
        heartbeat_lag=SimpleNamespace(gap_s=HEARTBEAT_INTERVAL_S),
        heartbeat=SimpleNamespace(ready=ready, leader=leader),
        seen_within=lambda seconds: reachable,
    )


def transfers(
    gap_s: float, peers: dict[str, Any], eligible: list[str], leads: bool = False
) -> list[TransferShard]:
    """Send heartbeats until a shard is transferred, or for 100 heartbeat intervals.

    Args:
        gap_s: Time between two heartbeats of this controller, in seconds.
        peers: Stand-ins for the peers, by label.
        eligible: Labels of the controllers that may own shards.
        leads: Whether this controller leads.

    Returns:
        The transfers executed.
    """
    executed: list[TransferShard] = []

    def shard(machines: int) -> Any:
        return SimpleNamespace(shard=SimpleNamespace(machines=range(machines), jobs=[]))

    by_team = {"red": shard(9), "blue": shard(2), "gray": SimpleNamespace(shard=None)}
    commands: Any = SimpleNamespace(
        owners=SimpleNamespace(by_team=by_team), execute=executed.append
    )
    mesh: Any = SimpleNamespace(heartbeat_interval_s=HEARTBEAT_INTERVAL_S, peers=peers)
    cluster: Any = SimpleNamespace(
        shards=SimpleNamespace(
            entries={name: SimpleNamespace(value={"owner": "a"}) for name in ("red", "blue")}
        )
    )
    membership: Any = SimpleNamespace(eligible_members=lambda: eligible)
    handover = LoadHandover(
        mesh=mesh,
        cluster=cluster,
        membership=membership,
        commands=commands,
        leads=lambda: leads,
        ttl_s=4.0,
        patience_s=PATIENCE_S,
    )
    now = 0.0
    while not executed and now < 100 * HEARTBEAT_INTERVAL_S:
        handover.on_heartbeat(now)
        now += gap_s
    return executed


def test_the_smallest_shard_is_transferred_once_heartbeats_stay_late() -> None:
    assert transfers(4 * HEARTBEAT_INTERVAL_S, {"b": peer()}, ["a", "b"]) == [
        TransferShard("blue", "b")
    ]


def test_nothing_is_transferred_while_heartbeats_are_on_time() -> None:
    assert transfers(1.5 * HEARTBEAT_INTERVAL_S, {"b": peer()}, ["a", "b"]) == []


@pytest.mark.parametrize(
    ("other", "eligible"),
    [
        (peer(ready=False), ["a", "b"]),
        (peer(reachable=False), ["a", "b"]),
        # Leading counts as a shard, so the peer would have more shards than are left here.
        (peer(leader=True), ["a", "b"]),
        (peer(), ["a"]),
    ],
)
def test_nothing_is_transferred_to_an_unsuitable_peer(other: Any, eligible: list[str]) -> None:
    assert transfers(4 * HEARTBEAT_INTERVAL_S, {"b": other}, eligible) == []


def test_leadership_of_this_controller_counts_as_a_shard() -> None:
    executed = transfers(4 * HEARTBEAT_INTERVAL_S, {"b": peer(leader=True)}, ["a", "b"], leads=True)
    assert executed == [TransferShard("blue", "b")]
