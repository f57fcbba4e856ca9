"""Claims shards for this controller and releases those that another controller has claimed."""

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
    """Decides periodically which shards this controller owns."""

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
        """Store the collaborators.

        Args:
            tick_s: Interval of the decisions, in seconds.
            cluster: Tells which controller owns a shard according to the store.
            owners: Owners of the shards that this controller owns.
            membership: Tells whether this controller is a member and which members are eligible.
            connectivity: Tells whether the store answers; no shard is claimed unless it does.
            startup_timeline: Records when the caches were filled and the membership valid.
            prerequisites_known: Whether the machine types and the cluster version are known, which
                an owner needs.
        """
        self.tick_s = tick_s
        self.cluster = cluster
        self.owners = owners
        self.membership = membership
        self.connectivity = connectivity
        self.startup_timeline = startup_timeline
        self.prerequisites_known = prerequisites_known

    async def run_once(self) -> float:
        """Claim and release shards as due, and return the seconds until the next call."""
        if not self.prerequisites_known() or not self._caches_ready():
            return self.tick_s / 4
        if (
            self.membership.store_lease is None
            or time.monotonic() > self.membership.lease_expires_at
        ):
            return self.tick_s
        self.startup_timeline.synced(time.monotonic())
        to_own = shards_to_own(self._snapshot())
        for team in self.cluster.teams:
            entry = self.cluster.shards.entries.get(f"part/{team.name}")
            owner = self.owners.by_team.get(team.name)
            if owner is not None:
                claim_revision = owner.shard.revision if owner.shard else 0
                if claim_revision and entry and entry.revision > claim_revision:
                    owner.release(f"claimed by {entry.value['owner']}")
            elif team.name in to_own and self.connectivity.state_fresh():
                self.owners.claim(team, entry.revision if entry else 0)
        return self.tick_s

    def _caches_ready(self) -> bool:
        # Includes the watch on jobs: a shard that is loaded before it starts would miss the jobs
        # that are accepted in between.
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
