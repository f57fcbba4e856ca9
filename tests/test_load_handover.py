"""A shard handed to a peer when this controller stays short of its processor."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from ashdock.load_handover import LoadHandover
from ashdock.wire.peer_messages import TransferShard

BEAT_S = 1.0
PATIENCE_S = 10.0


def peer(*, ready: bool = True, heard: bool = True, leader: bool = False) -> Any:
    return SimpleNamespace(
        heartbeat_lag=SimpleNamespace(gap_s=BEAT_S),
        heartbeat=SimpleNamespace(ready=ready, leader=leader),
        seen_within=lambda seconds: heard,
    )


def handed_over(
    gap_s: float, peers: dict[str, Any], fit: list[str], leads: bool = False
) -> list[TransferShard]:
    """What is handed over in some beats that are `gap_s` apart."""
    given: list[TransferShard] = []

    def shard(machines: int) -> Any:
        return SimpleNamespace(shard=SimpleNamespace(machines=range(machines), jobs=[]))

    by_team = {"red": shard(9), "blue": shard(2), "gray": SimpleNamespace(shard=None)}
    commands: Any = SimpleNamespace(owners=SimpleNamespace(by_team=by_team), execute=given.append)
    mesh: Any = SimpleNamespace(heartbeat_interval_s=BEAT_S, peers=peers)
    cluster: Any = SimpleNamespace(
        shards=SimpleNamespace(
            entries={name: SimpleNamespace(value={"owner": "a"}) for name in ("red", "blue")}
        )
    )
    membership: Any = SimpleNamespace(eligible_members=lambda: fit)
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
    while not given and now < 100 * BEAT_S:
        handover.on_heartbeat(now)
        now += gap_s
    return given


def test_the_lightest_shard_goes_once_beats_stay_late() -> None:
    assert handed_over(4 * BEAT_S, {"b": peer()}, ["a", "b"]) == [TransferShard("blue", "b")]


def test_nothing_goes_while_beats_are_in_time() -> None:
    assert handed_over(1.5 * BEAT_S, {"b": peer()}, ["a", "b"]) == []


@pytest.mark.parametrize(
    ("other", "fit"),
    [
        (peer(ready=False), ["a", "b"]),
        (peer(heard=False), ["a", "b"]),
        (
            peer(leader=True),
            ["a", "b"],
        ),  # leading counts as a shard: it would have more than is left
        (peer(), ["a"]),
    ],
)
def test_nothing_goes_to_a_peer_that_cannot_take_it(other: Any, fit: list[str]) -> None:
    assert handed_over(4 * BEAT_S, {"b": other}, fit) == []


def test_a_controller_that_leads_hands_over_to_a_peer_with_a_shard_more() -> None:
    given = handed_over(4 * BEAT_S, {"b": peer(leader=True)}, ["a", "b"], leads=True)
    assert given == [TransferShard("blue", "b")]
