"""Tests for the choice of the controller that claims each shard."""

from __future__ import annotations

from collections.abc import Mapping

import pytest

from ashdock.core.shard_claims import OwnershipSnapshot, choose_claimants, shards_to_own


def snapshot(
    owners: Mapping[str, str | None],
    *,
    label: str = "a",
    eligible: tuple[str, ...] = ("a", "b", "c"),
    may_own_shards: bool = True,
    others_may_return: bool = False,
) -> OwnershipSnapshot:
    return OwnershipSnapshot(label, may_own_shards, eligible, owners, others_may_return)


@pytest.mark.parametrize(
    ("owners", "chosen"),
    [
        ({}, {}),
        ({"red": "a", "blue": "b"}, {}),
        ({"red": None, "blue": None, "gray": None}, {"red": "a", "blue": "b", "gray": "c"}),
        ({"red": "a", "blue": "b", "gray": "gone"}, {"gray": "c"}),
        # All existing owners count towards the load before the first orphan is assigned.
        ({"red": None, "blue": "a", "gray": "b"}, {"red": "c"}),
        ({"red": "gone", "blue": "a", "gray": None, "pink": "c"}, {"red": "b", "gray": "a"}),
    ],
)
def test_orphans_go_to_the_fewest_shards_then_the_first_label(
    owners: dict[str, str | None], chosen: dict[str, str]
) -> None:
    assert choose_claimants(snapshot(owners)) == chosen


def test_every_controller_makes_the_same_choice() -> None:
    owners = {"red": "gone", "blue": "b", "gray": None, "pink": "gone"}
    choices = [choose_claimants(snapshot(owners, label=label)) for label in "abc"]
    assert choices[0] == choices[1] == choices[2]
    to_own = [shards_to_own(snapshot(owners, label=label)) for label in "abc"]
    assert sorted(team for teams in to_own for team in teams) == sorted(owners)


def test_recently_started_controller_leaves_recorded_shards_to_their_owners() -> None:
    owners = {"red": "gone", "blue": None, "gray": "a"}
    assert choose_claimants(snapshot(owners, eligible=("a",), others_may_return=True)) == {
        "blue": "a"
    }
    assert choose_claimants(snapshot(owners, eligible=("a",))) == {"red": "a", "blue": "a"}


def test_recently_started_controller_keeps_its_own_recorded_shard() -> None:
    assert shards_to_own(snapshot({"red": "a"}, others_may_return=True)) == {"red"}


def test_ineligible_controller_claims_nothing_while_others_are_eligible() -> None:
    owners = {"red": "a", "blue": None}
    ineligible = snapshot(owners, eligible=("b",), may_own_shards=False)
    assert choose_claimants(ineligible) == {"red": "b", "blue": "b"}
    assert shards_to_own(ineligible) == set()


def test_ineligible_controller_claims_orphans_if_no_other_is_known() -> None:
    alone = snapshot({"red": "a", "blue": None}, eligible=(), may_own_shards=False)
    assert choose_claimants(alone) == {"blue": "a"}
    assert shards_to_own(alone) == {"blue"}
