"""How a controller judges its connections, and whether it is ready."""

from __future__ import annotations

import asyncio
import time
from types import SimpleNamespace
from typing import Any

import pytest

from ashdock.connectivity import Connectivity, Readiness

TTL_S = 4.0
HEARTBEAT_S = (
    3.0  # twice that is longer than the TTL: what counts before peers and workers are silent
)


class Clock:
    """The steady clock, set by hand."""

    def __init__(self) -> None:
        """Any time but zero."""
        self.now = 1000.0

    def __call__(self) -> float:
        """Seconds, in place of `time.monotonic`."""
        return self.now


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr(time, "monotonic", clock)
    return clock


def peer(beat_age_s: float | None, store_silent_s: float = 0.0) -> Any:
    beat = None if beat_age_s is None else SimpleNamespace(store_age_s=store_silent_s)
    return SimpleNamespace(
        heartbeat=beat, seen_within=lambda seconds: beat_age_s is not None and beat_age_s < seconds
    )


def connectivity(
    silent_s: float = 0.0, *peers: Any, bad_since: float | None = None
) -> Connectivity:
    store: Any = SimpleNamespace(silent_for=silent_s, unavailable_since=bad_since)
    mesh: Any = SimpleNamespace(peers={str(n): one for n, one in enumerate(peers)})
    return Connectivity(store, mesh, ttl_s=TTL_S, heartbeat_s=HEARTBEAT_S)


@pytest.mark.parametrize(
    ("silent_s", "bad_since", "fresh"),
    [(0.0, None, True), (TTL_S - 0.1, None, True), (TTL_S, None, False), (0.0, 5.0, False)],
)
def test_the_state_is_fresh_while_the_store_answers(
    silent_s: float, bad_since: float | None, fresh: bool
) -> None:
    assert connectivity(silent_s, bad_since=bad_since).state_fresh() is fresh


@pytest.mark.parametrize(
    ("silent_s", "peers", "alone"),
    [
        (TTL_S / 2 - 0.1, [peer(0.0)], False),
        (TTL_S / 2, [peer(0.0)], True),
        (TTL_S / 2, [peer(0.0, TTL_S / 2)], False),  # the peers do not reach it either
        (TTL_S / 2, [peer(0.0, TTL_S / 2), peer(0.0)], True),
        (TTL_S, [peer(None), peer(TTL_S)], False),
        (TTL_S + 0.1, [peer(None), peer(TTL_S)], True),
        (TTL_S + 0.1, [], False),  # a single controller has nobody to send users to
    ],
)
def test_alone_without_the_store(silent_s: float, peers: list[Any], alone: bool) -> None:
    assert connectivity(silent_s, *peers).alone_without_store() is alone


def test_cut_off_once_neither_peers_nor_workers_are_heard(clock: Clock) -> None:
    quiet_s = 2 * HEARTBEAT_S
    silent = connectivity(0.0, peer(None), peer(quiet_s))
    heard = connectivity(0.0, peer(None), peer(quiet_s - 0.1))
    single = connectivity(0.0)
    clock.now += quiet_s
    assert not silent.cut_off()
    clock.now += 0.1
    assert silent.cut_off()
    assert not heard.cut_off()
    assert not single.cut_off()
    silent.heartbeat_received()
    assert not silent.cut_off()


def test_recently_started(clock: Clock) -> None:
    started = connectivity()
    clock.now += TTL_S / 2 - 0.1
    assert started.recently_started()
    clock.now += 0.1
    assert not started.recently_started()


@pytest.mark.parametrize("missing", [None, "catalog", "shards", "store", "cut off", "may serve"])
def test_ready(clock: Clock, missing: str | None) -> None:
    shards_known = asyncio.Event()
    if missing != "shards":
        shards_known.set()
    silent_s = TTL_S if missing == "store" else 0.0
    peers = [peer(None if missing == "cut off" else 0.0)]
    connected = connectivity(silent_s, *peers)
    if missing == "cut off":
        clock.now += 2 * HEARTBEAT_S + 0.1
    readiness = Readiness(
        connected,
        may_serve=lambda: missing not in ("cut off", "may serve"),
        catalog={} if missing == "catalog" else {"small": SimpleNamespace()},  # type: ignore[dict-item]
        shards_known=shards_known,
    )
    # One that may not own shards takes requests all the same while it is connected.
    assert readiness.ready() is (missing in (None, "may serve"))
