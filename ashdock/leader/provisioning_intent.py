"""A provisioning intent (`charter/<name>`): written before a scale-out, so that it is finished or repeated by a later leader."""

from __future__ import annotations

from typing import Any, NamedTuple

from ashdock.core.allocator import ScaleOut

INTENT_PREFIX = "charter/"

# The stored names of an intent.
TEAMS = "teams"  # pairs of a team and a number of machines
TYPE = "t"
ZONE = "z"
SPOT = "s"
# Earlier versions wrote one team and its number instead of the pairs.
EARLIER_TEAM = "team"
EARLIER_NUMBER = "n"


class ProvisioningIntent(NamedTuple):
    """A scale-out that is durable: the cloud takes its name as the idempotency key."""

    name: str
    scale_out: ScaleOut
    revision: int


def intent_path(name: str) -> str:
    """The key of an intent."""
    return f"{INTENT_PREFIX}{name}"


def intent_name(path: str) -> str:
    """The name of the intent with the key `path`."""
    return path.split("/", 1)[1]


def scale_out_to_stored(scale_out: ScaleOut) -> dict[str, Any]:
    """The value that is stored for a scale-out."""
    return {
        TEAMS: [list(team) for team in scale_out.teams],
        TYPE: scale_out.type,
        ZONE: scale_out.zone,
        SPOT: scale_out.spot,
    }


def scale_out_from_stored(value: dict[str, Any]) -> ScaleOut:
    """The scale-out that a stored intent names."""
    teams = value.get(TEAMS) or [[value[EARLIER_TEAM], value[EARLIER_NUMBER]]]
    return ScaleOut(
        tuple((team, number) for team, number in teams), value[TYPE], value[ZONE], value[SPOT]
    )
