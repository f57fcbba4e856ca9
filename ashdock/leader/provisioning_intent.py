"""Provisioning intents (`charter/<name>`), stored before each scale-out.

A later leader finds the intent of an unfinished scale-out and repeats its request.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from ashdock.core.allocator import ScaleOut

INTENT_PREFIX = "charter/"

# Field names of a stored intent.
TEAMS = "teams"  # pairs of a team and its number of machines
TYPE = "t"
ZONE = "z"
SPOT = "s"
# Earlier versions stored a single team and its number of machines instead of the pairs.
LEGACY_TEAM = "team"
LEGACY_MACHINE_COUNT = "n"


class ProvisioningIntent(NamedTuple):
    """A stored scale-out. Its name is the idempotency key of the request to the cloud."""

    name: str
    scale_out: ScaleOut
    revision: int


def intent_path(name: str) -> str:
    """The key in the store of the intent `name`."""
    return f"{INTENT_PREFIX}{name}"


def intent_name(path: str) -> str:
    """The name of the intent that is stored at the key `path`."""
    return path.split("/", 1)[1]


def scale_out_to_stored(scale_out: ScaleOut) -> dict[str, Any]:
    """Encode a scale-out as the value of a stored intent."""
    return {
        TEAMS: [list(team_and_count) for team_and_count in scale_out.teams],
        TYPE: scale_out.type,
        ZONE: scale_out.zone,
        SPOT: scale_out.spot,
    }


def scale_out_from_stored(value: dict[str, Any]) -> ScaleOut:
    """Decode the value of a stored intent, also in the form of earlier versions."""
    teams = value.get(TEAMS) or [[value[LEGACY_TEAM], value[LEGACY_MACHINE_COUNT]]]
    return ScaleOut(
        tuple((team, count) for team, count in teams), value[TYPE], value[ZONE], value[SPOT]
    )
