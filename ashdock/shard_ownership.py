"""The loop that claims shards for this controller and gives up those that another has claimed."""

from __future__ import annotations

import time
from collections.abc import Callable

from ashdock.cluster_state import ClusterState
from ashdock.connectivity import Connectivity
from ashdock.core.shard_claims import OwnershipSnapshot, shards_to_own
from ashdock.membership import Membership
from ashdock.shard_owners import ShardOwners
from ashdock.timelines import StartupTimeline


class ShardOwnership:
    """Decides again and again which shards are owned here."""

    def __init__(
        self,
        *,
        tick_s: float,
        cluster: ClusterState,
        owners: ShardOwners,
        membership: Membership,
        connectivity: Connectivity,
        startup_timeline: StartupTimeline,
        prerequisites_known: Callable[[], bool],
    ) -> None:
        """Take what the decision rests on.

        Args:
            tick_s: seconds from one decision to the next.
            cluster: who owns what, by the store's records.
            owners: the shards owned here.
            membership: of this controller, and who else is fit.
            connectivity: of this controller; nothing is claimed while the state is not fresh.
            startup_timeline: told when everything needed has been read.
            prerequisites_known: whether what else an owner needs is known: machine types and the cluster version.
        """
        self.tick_s = tick_s
        self.cluster = cluster
        self.owners = owners
        self.membership = membership
        self.connectivity = connectivity
        self.startup_timeline = startup_timeline
        self.prerequisites_known = prerequisites_known

    async def run_once(self) -> float:
        """Claim and give up shards as due; returns the seconds until the next call."""
        if not self.prerequisites_known() or not self._state_read():
            return self.tick_s / 4
        if (
            self.membership.store_lease is None
            or time.monotonic() > self.membership.lease_expires_at
        ):
            return self.tick_s
        self.startup_timeline.synced(time.monotonic())
        due = shards_to_own(self._snapshot())
        for team in self.cluster.teams:
            entry = self.cluster.shards.entries.get(f"part/{team.name}")
            owner = self.owners.by_team.get(team.name)
            if owner is not None:
                claim = owner.shard.revision if owner.shard else 0
                if claim and entry and entry.revision > claim:
                    owner.release(f"claimed by {entry.value['owner']}")
            elif team.name in due and self.connectivity.state_fresh():
                self.owners.claim(team, entry.revision if entry else 0)
        return self.tick_s

    def _state_read(self) -> bool:
        # The jobs too: a shard read before their watch has begun would miss what is accepted in between.
        cluster = self.cluster
        caches = (cluster.shards, cluster.members, cluster.machines, cluster.jobs)
        return all(cache.ready.is_set() for cache in caches)

    def _snapshot(self) -> OwnershipSnapshot:
        return OwnershipSnapshot(
            label=self.owners.label,
            may_own_shards=self.membership.may_own_and_lead(),
            eligible_members=self.membership.eligible_members(),
            owners={team.name: self.cluster.owner_label(team.name) for team in self.cluster.teams},
            others_may_return=self.connectivity.recently_started(),
        )
