"""How well a controller is connected to the store, its peers and the workers, and whether it is ready."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping

from ashdock.net.mesh import Mesh
from ashdock.net.store import StoreClient
from ashdock.wire.messages import MachineType

SILENT_HEARTBEAT_PERIODS = 2  # missed by all workers before they count as unreachable


class Connectivity:
    """Judges the connections of one controller by when each side was last heard."""

    def __init__(
        self,
        store: StoreClient,
        mesh: Mesh,
        *,
        ttl_s: float,
        heartbeat_s: float,
    ) -> None:
        """Start with the store and workers taken as just heard.

        Args:
            store: asked how long it has been silent.
            mesh: asked which peers were heard, and what they said.
            ttl_s: lifetime of the membership's store lease, in seconds.
            heartbeat_s: period of the workers' heartbeats, in seconds.
        """
        self.store = store
        self.mesh = mesh
        self.ttl_s = ttl_s
        self.heartbeat_s = heartbeat_s
        # By the steady clock.
        self.last_heartbeat = self.started = time.monotonic()

    def heartbeat_received(self) -> None:
        """Note that a worker's heartbeat has come in."""
        self.last_heartbeat = time.monotonic()

    def recently_started(self) -> bool:
        """Whether controllers that ended together with this one may still be on their way back."""
        return time.monotonic() - self.started < self.ttl_s / 2

    def state_fresh(self) -> bool:
        """Whether the store answers, and has done so within the last `ttl_s`."""
        return self.store.unavailable_since is None and self.store.silent_for < self.ttl_s

    def alone_without_store(self) -> bool:
        """Whether the store is silent here while other controllers reach it, or may.

        Users had better ask those. If no peer is heard either this controller is most likely cut off: one that
        went on accepting users' connections then answered none of them for as long as that lasted.
        """
        silent = self.store.silent_for
        if silent < self.ttl_s / 2:
            return False
        heartbeats = [
            peer.heartbeat
            for peer in self.mesh.peers.values()
            if peer.heartbeat is not None and peer.seen_within(self.ttl_s)
        ]
        if not heartbeats:
            return bool(self.mesh.peers) and silent > self.ttl_s
        return any(heartbeat.store_age_s < self.ttl_s / 2 for heartbeat in heartbeats)

    def cut_off(self) -> bool:
        """Whether neither a peer nor a worker is heard, only the store: others had better own our shards."""
        quiet_s = max(SILENT_HEARTBEAT_PERIODS * self.heartbeat_s, self.ttl_s)
        if not self.mesh.peers or any(
            peer.seen_within(quiet_s) for peer in self.mesh.peers.values()
        ):
            return False
        return time.monotonic() - max(self.last_heartbeat, self.started) > quiet_s


class Readiness:
    """Whether a controller takes requests."""

    def __init__(
        self,
        connectivity: Connectivity,
        *,
        may_serve: Callable[[], bool],
        catalog: Mapping[str, MachineType],
        shards_known: asyncio.Event,
    ) -> None:
        """Take what readiness rests on.

        Args:
            connectivity: of this controller.
            may_serve: whether this controller may own shards, by the members' entries.
            catalog: machine types by name; empty until they are known.
            shards_known: set once the owners of shards have been read.
        """
        self.connectivity = connectivity
        self.may_serve = may_serve
        self.catalog = catalog
        self.shards_known = shards_known

    def ready(self) -> bool:
        """Whether this controller takes requests."""
        # One in a crash loop is ready while it lives: without it too few controllers were, and users found none
        # (share of users served in time: 0.84 in place of 0.92).
        connected = self.may_serve() or not self.connectivity.cut_off()
        return (
            bool(self.catalog)
            and self.shards_known.is_set()
            and connected
            and not self.connectivity.alone_without_store()
        )
