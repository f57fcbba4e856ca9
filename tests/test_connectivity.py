"""Connectivity of a controller and its readiness."""

from __future__ import annotations

import asyncio
import time
from types import SimpleNamespace
from typing import Any

import pytest

from ashdock.connectivity import Connectivity, Readiness

TTL_S = 4.0
# Two periods are longer than the TTL, so they bound how long peers and workers may be silent.
HEARTBEAT_S = 3.0


class Clock:
    """A monotonic clock that is set by the test."""

    def __init__(self) -> None:
        """Start at an arbitrary time other than zero."""
        self.now = 1000.0

    def __call__(self) -> float:
        """Return the seconds, in place of `time.monotonic`."""
        return self.now


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr(time, "monotonic", clock)
    return clock


def make_peer(heartbeat_age_s: float | None, store_silence_s: float = 0.0) -> Any:
    heartbeat = None if heartbeat_age_s is None else SimpleNamespace(store_age_s=store_silence_s)
    return SimpleNamespace(
        heartbeat=heartbeat,
        seen_within=lambda seconds: heartbeat_age_s is not None and heartbeat_age_s < seconds,
    )


def make_connectivity(
    silence_s: float = 0.0, *peers: Any, unavailable_since: float | None = None
) -> Connectivity:
    store: Any = SimpleNamespace(silent_for=silence_s, unavailable_since=unavailable_since)
    mesh: Any = SimpleNamespace(peers={str(n): peer for n, peer in enumerate(peers)})
    return Connectivity(store, mesh, ttl_s=TTL_S, heartbeat_s=HEARTBEAT_S)


@pytest.mark.parametrize(
    ("silence_s", "unavailable_since", "fresh"),
    [(0.0, None, True), (TTL_S - 0.1, None, True), (TTL_S, None, False), (0.0, 5.0, False)],
)
def test_the_state_is_fresh_while_the_store_answers(
    silence_s: float, unavailable_since: float | None, fresh: bool
) -> None:
    assert make_connectivity(silence_s, unavailable_since=unavailable_since).state_fresh() is fresh


@pytest.mark.parametrize(
    ("silence_s", "peers", "isolated"),
    [
        (TTL_S / 2 - 0.1, [make_peer(0.0)], False),
        (TTL_S / 2, [make_peer(0.0)], True),
        (TTL_S / 2, [make_peer(0.0, TTL_S / 2)], False),  # the peer does not reach it either
        (TTL_S / 2, [make_peer(0.0, TTL_S / 2), make_peer(0.0)], True),
        (TTL_S, [make_peer(None), make_peer(TTL_S)], False),
        (TTL_S + 0.1, [make_peer(None), make_peer(TTL_S)], True),
        (TTL_S + 0.1, [], False),  # a single controller has no peer that could serve users
    ],
)
def test_isolated_from_the_store(silence_s: float, peers: list[Any], isolated: bool) -> None:
    assert make_connectivity(silence_s, *peers).isolated_from_store() is isolated


def test_cut_off_once_neither_peers_nor_workers_are_heard(clock: Clock) -> None:
    max_silence_s = 2 * HEARTBEAT_S
    silent = make_connectivity(0.0, make_peer(None), make_peer(max_silence_s))
    heard = make_connectivity(0.0, make_peer(None), make_peer(max_silence_s - 0.1))
    single = make_connectivity(0.0)
    clock.now += max_silence_s
    assert not silent.cut_off()
    clock.now += 0.1
    assert silent.cut_off()
    assert not heard.cut_off()
    assert not single.cut_off()
    silent.heartbeat_received()
    assert not silent.cut_off()


def test_recently_started(clock: Clock) -> None:
    started = make_connectivity()
    clock.now += TTL_S / 2 - 0.1
    assert started.recently_started()
    clock.now += 0.1
    assert not started.recently_started()


@pytest.mark.parametrize(
    "missing", [None, "catalog", "shards", "store", "cut off", "may own and lead"]
)
def test_ready(clock: Clock, missing: str | None) -> None:
    shards_known = asyncio.Event()
    if missing != "shards":
        shards_known.set()
    silence_s = TTL_S if missing == "store" else 0.0
    peers = [make_peer(None if missing == "cut off" else 0.0)]
    connectivity = make_connectivity(silence_s, *peers)
    if missing == "cut off":
        clock.now += 2 * HEARTBEAT_S + 0.1
    readiness = Readiness(
        connectivity,
        may_own_and_lead=lambda: missing not in ("cut off", "may own and lead"),
        catalog={} if missing == "catalog" else {"small": SimpleNamespace()},  # type: ignore[dict-item]
        shards_known=shards_known,
    )
    # A controller that may not own shards still accepts requests while it is connected.
    assert readiness.ready() is (missing in (None, "may own and lead"))
