"""Which controller should claim which shard: a choice that every controller makes alike, without input or output."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import NamedTuple


class OwnershipSnapshot(NamedTuple):
    """Who owns the shards and who may own them, as one controller knows it."""

    label: str  # of that controller
    may_serve: bool  # whether it may own shards, by its own entry or the one among the members
    fit_members: Collection[str]  # labels of the controllers that say they may own shards
    owners: Mapping[str, str | None]  # by team, in the order of the settings; None: never claimed
    others_may_return: bool  # all may have ended together, and be on their way back

    @property
    def candidates(self) -> set[str]:
        """Labels of the controllers that may own shards; this one alone if nobody else is known."""
        return {*self.fit_members, *([self.label] if self.may_serve else [])} or {self.label}


def claimants(snapshot: OwnershipSnapshot) -> dict[str, str]:
    """The controller that should claim each orphaned shard, by team.

    Each orphan goes to the candidate with the fewest shards, the first by label among equals.
    """
    load = dict.fromkeys(snapshot.candidates, 0)
    orphans = [team for team, owner in snapshot.owners.items() if owner not in load]
    for owner in snapshot.owners.values():
        if owner in load:
            load[owner] += 1
    # If all controllers have ended together, the first one back would otherwise take every shard a moment
    # before the owners are back: just started, it leaves theirs to them for a while.
    if snapshot.others_may_return:
        orphans = [team for team in orphans if snapshot.owners[team] in (None, snapshot.label)]
    chosen: dict[str, str] = {}
    for team in orphans:
        claimant = min(load, key=lambda label: (load[label], label))
        load[claimant] += 1
        chosen[team] = claimant
    return chosen


def shards_to_own(snapshot: OwnershipSnapshot) -> frozenset[str]:
    """Teams whose shards this controller should own: its own from before a restart, and its orphans."""
    recorded = {
        team
        for team, owner in snapshot.owners.items()
        if owner == snapshot.label and snapshot.may_serve
    }
    chosen = {team for team, label in claimants(snapshot).items() if label == snapshot.label}
    return frozenset(recorded | chosen)
