"""Chooses which controller claims which shard.

The choice is deterministic, so that all controllers with the same view of the cluster agree on it.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import NamedTuple


class OwnershipSnapshot(NamedTuple):
    """Which controllers own shards and which are eligible, as one controller knows it.

    Attributes:
        label: Label of that controller.
        may_own_shards: Whether that controller is eligible, by its own state or by its record
            among the members.
        eligible_members: Labels of the controllers that report themselves as eligible.
        owners: Owner's label by team, in the order of the settings; None if the shard has never
            been claimed.
        others_may_return: Whether all controllers may have stopped together, so that the recorded
            owners may be about to come back.
    """

    label: str
    may_own_shards: bool
    eligible_members: Collection[str]
    owners: Mapping[str, str | None]
    others_may_return: bool

    @property
    def candidates(self) -> set[str]:
        """Labels of the eligible controllers; this one alone if no other is known."""
        return {*self.eligible_members, *([self.label] if self.may_own_shards else [])} or {
            self.label
        }


def choose_claimants(snapshot: OwnershipSnapshot) -> dict[str, str]:
    """Choose the controller that should claim each orphaned shard.

    A shard is orphaned if its owner is not a candidate. Each one goes to the candidate with the
    fewest shards, the first by label among equals.

    Returns:
        The chosen controller's label by team.
    """
    load = dict.fromkeys(snapshot.candidates, 0)
    orphans = [team for team, owner in snapshot.owners.items() if owner not in load]
    for owner in snapshot.owners.values():
        if owner in load:
            load[owner] += 1
    # If all controllers have stopped together, the first one to restart would otherwise claim every
    # shard a moment before the recorded owners are back, so it leaves theirs alone for a while.
    if snapshot.others_may_return:
        orphans = [team for team in orphans if snapshot.owners[team] in (None, snapshot.label)]
    chosen: dict[str, str] = {}
    for team in orphans:
        claimant = min(load, key=lambda label: (load[label], label))
        load[claimant] += 1
        chosen[team] = claimant
    return chosen


def shards_to_own(snapshot: OwnershipSnapshot) -> frozenset[str]:
    """Return the teams whose shards this controller should own.

    These are the shards already recorded as its own, also from before a restart, and the orphaned
    ones that it should claim.
    """
    recorded = {
        team
        for team, owner in snapshot.owners.items()
        if owner == snapshot.label and snapshot.may_own_shards
    }
    chosen = {team for team, label in choose_claimants(snapshot).items() if label == snapshot.label}
    return frozenset(recorded | chosen)
