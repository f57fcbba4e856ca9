"""Ranks the controllers that may lead. No input or output.

The rank only determines when each candidate campaigns. The leadership key is written by
compare-and-swap, so at most one candidate becomes the leader, whatever the ranks.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

MIN_TRANSFER_LOAD_RATIO = 2  # load of the leader divided by that of its successor


def rank_candidates(
    eligible: Iterable[str], allowed: Collection[str], load: Mapping[str, int]
) -> list[str]:
    """Return the controllers that may lead, the best candidate first.

    They are those that operators allow, in order of increasing load. If none of the allowed ones is
    eligible, all eligible controllers are ranked, since a cluster without a leader is worse than
    one whose leader is not on the list.

    Args:
        eligible: Labels of the eligible controllers.
        allowed: Labels that the operators' file allows to lead; empty means all.
        load: Number of machines assigned to each controller's shards, by label.
    """
    labels = sorted(eligible, key=lambda label: (load.get(label, 0), label))
    return [label for label in labels if not allowed or label in allowed] or labels


def better_candidate(
    leader: str, eligible: Collection[str], allowed: Collection[str], load: Mapping[str, int]
) -> str | None:
    """Return the controller to which `leader` should transfer leadership, or `None`.

    A leader that is not ranked, for example because operators do not allow it, transfers to the
    best candidate. Any other leader transfers only if no candidate has a higher load and the best
    candidate has at most half of its own: a smaller difference does not justify a change of leader.

    Args:
        leader: Label of the present leader.
        eligible: As for `rank_candidates`.
        allowed: As for `rank_candidates`.
        load: As for `rank_candidates`.
    """
    ranked = rank_candidates(eligible, allowed, load)
    if not ranked or ranked[0] == leader:
        return None
    best = ranked[0]
    if leader not in ranked:
        return best
    leader_load = load.get(leader, 0)
    if leader_load < max(load.get(label, 0) for label in ranked):
        return None
    return best if MIN_TRANSFER_LOAD_RATIO * load.get(best, 0) <= leader_load else None
