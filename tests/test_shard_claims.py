"""Which controller should claim which shard."""

from __future__ import annotations

from collections.abc import Mapping

import pytest

from ashdock.core.shard_claims import OwnershipSnapshot, claimants, shards_to_own


def snapshot(
    owners: Mapping[str, str | None],
    *,
    label: str = "a",
    fit: tuple[str, ...] = ("a", "b", "c"),
    may_serve: bool = True,
    others_may_return: bool = False,
) -> OwnershipSnapshot:
    return OwnershipSnapshot(label, may_serve, fit, owners, others_may_return)


@pytest.mark.parametrize(
    ("owners", "chosen"),
    [
        ({}, {}),
        ({"red": "a", "blue": "b"}, {}),
        ({"red": None, "blue": None, "gray": None}, {"red": "a", "blue": "b", "gray": "c"}),
        ({"red": "a", "blue": "b", "gray": "gone"}, {"gray": "c"}),
        # Owners count wherever they stand among the teams, before any orphan is given away.
        ({"red": None, "blue": "a", "gray": "b"}, {"red": "c"}),
        ({"red": "gone", "blue": "a", "gray": None, "pink": "c"}, {"red": "b", "gray": "a"}),
    ],
)
def test_orphans_go_to_the_fewest_shards_then_the_first_label(
    owners: dict[str, str | None], chosen: dict[str, str]
) -> None:
    assert claimants(snapshot(owners)) == chosen


def test_every_controller_chooses_alike() -> None:
    owners = {"red": "gone", "blue": "b", "gray": None, "pink": "gone"}
    choices = [claimants(snapshot(owners, label=label)) for label in "abc"]
    assert choices[0] == choices[1] == choices[2]
    due = [shards_to_own(snapshot(owners, label=label)) for label in "abc"]
    assert sorted(team for teams in due for team in teams) == sorted(owners)


def test_just_started_it_leaves_the_shards_of_others_to_them() -> None:
    owners = {"red": "gone", "blue": None, "gray": "a"}
    assert claimants(snapshot(owners, fit=("a",), others_may_return=True)) == {"blue": "a"}
    assert claimants(snapshot(owners, fit=("a",))) == {"red": "a", "blue": "a"}


def test_its_own_shard_from_before_a_restart_even_if_just_started() -> None:
    assert shards_to_own(snapshot({"red": "a"}, others_may_return=True)) == {"red"}


def test_one_that_may_not_serve_claims_nothing_while_others_may() -> None:
    owners = {"red": "a", "blue": None}
    unfit = snapshot(owners, fit=("b",), may_serve=False)
    assert claimants(unfit) == {"red": "b", "blue": "b"}
    assert shards_to_own(unfit) == set()


def test_where_nobody_is_known_it_claims_the_orphans_itself() -> None:
    alone = snapshot({"red": "a", "blue": None}, fit=(), may_serve=False)
    assert claimants(alone) == {"blue": "a"}
    assert shards_to_own(alone) == {"blue"}
