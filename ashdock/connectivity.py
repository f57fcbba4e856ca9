"""Connectivity of a controller to the store, its peers and the workers, and its readiness."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping

from ashdock.net.mesh import Mesh
from ashdock.net.store import StoreClient
from ashdock.wire.messages import MachineType

SILENT_HEARTBEAT_PERIODS = 2  # without any worker's heartbeat, before workers count as unreachable


class Connectivity:
    """Assesses the connections of one controller by when each remote side was last heard."""

    def __init__(
        self,
        store: StoreClient,
        mesh: Mesh,
        *,
        ttl_s: float,
        heartbeat_s: float,
    ) -> None:
        """Start as if a worker's heartbeat had just been received.

        Args:
            store: Client that tells how long the store has not answered.
            mesh: Links that tell which peers were heard, and their last heartbeats.
            ttl_s: Lifetime of the membership's store lease, in seconds.
            heartbeat_s: Period of the workers' heartbeats, in seconds.
        """
        self.store = store
        self.mesh = mesh
        self.ttl_s = ttl_s
        self.heartbeat_s = heartbeat_s
        # Monotonic times, in seconds.
        self.last_heartbeat = self.started = time.monotonic()

    def heartbeat_received(self) -> None:
        """Record that a worker's heartbeat has been received."""
        self.last_heartbeat = time.monotonic()

    def recently_started(self) -> bool:
        """Whether this controller started less than half a store lease ago.

        Controllers that stopped together with this one may still be restarting.
        """
        return time.monotonic() - self.started < self.ttl_s / 2

    def state_fresh(self) -> bool:
        """Whether what is known of the store's contents is fresh.

        That is so while no request has failed since the last response, and the last request that
        was answered began less than `ttl_s` ago.
        """
        return self.store.unavailable_since is None and self.store.silent_for < self.ttl_s

    def isolated_from_store(self) -> bool:
        """Whether the store is unreachable here while other controllers reach it, or may reach it.

        Users are better served by those. If no peer is heard either, this controller is probably
        cut off from the network: one that kept accepting users' connections in that state answered
        none of them until it was reconnected.
        """
        store_silence_s = self.store.silent_for
        if store_silence_s < self.ttl_s / 2:
            return False
        heartbeats = [
            peer.heartbeat
            for peer in self.mesh.peers.values()
            if peer.heartbeat is not None and peer.seen_within(self.ttl_s)
        ]
        if not heartbeats:
            return bool(self.mesh.peers) and store_silence_s > self.ttl_s
        return any(heartbeat.store_age_s < self.ttl_s / 2 for heartbeat in heartbeats)

    def cut_off(self) -> bool:
        """Whether no peer and no worker was heard in a TTL or two heartbeat periods, if longer.

        Such a controller may still reach the store, but another one should own its shards. False if
        there are no other controllers.
        """
        max_silence_s = max(SILENT_HEARTBEAT_PERIODS * self.heartbeat_s, self.ttl_s)
        if not self.mesh.peers or any(
            peer.seen_within(max_silence_s) for peer in self.mesh.peers.values()
        ):
            return False
        return time.monotonic() - max(self.last_heartbeat, self.started) > max_silence_s


class Readiness:
    """Decides whether a controller accepts requests."""

    def __init__(
        self,
        connectivity: Connectivity,
        *,
        may_own_and_lead: Callable[[], bool],
        catalog: Mapping[str, MachineType],
        shards_known: asyncio.Event,
    ) -> None:
        """Set the conditions of readiness.

        Args:
            connectivity: Connectivity of this controller.
            may_own_and_lead: Returns whether this controller may own shards and lead.
            catalog: Machine types by name; empty until they are known.
            shards_known: Set once the owners of the shards have been read.
        """
        self.connectivity = connectivity
        self.may_own_and_lead = may_own_and_lead
        self.catalog = catalog
        self.shards_known = shards_known

    def ready(self) -> bool:
        """Whether this controller accepts requests."""
        # A controller in a crash loop, which may not own shards, is ready while it runs. Otherwise
        # too few controllers were ready, and the share of users served in time was 0.84, not 0.92.
        connected = self.may_own_and_lead() or not self.connectivity.cut_off()
        return (
            bool(self.catalog)
            and self.shards_known.is_set()
            and connected
            and not self.connectivity.isolated_from_store()
        )
