"""Which controller should lead. No input or output.

Rank decides only when each candidate tries: the key is written by compare-and-swap, so at most one becomes leader.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

TRANSFER_LOAD_RATIO = 2  # how many times the load of its successor a leader has at least


def rank_candidates(
    fit: Iterable[str], allowed: Collection[str], load: Mapping[str, int]
) -> list[str]:
    """The controllers that may lead, the best first: allowed by operators, then least loaded.

    Where none of the allowed ones is fit all others are ranked: no leader costs more than one in the wrong place.

    Args:
        fit: Labels of the controllers that may serve.
        allowed: Labels that the operators' file allows to lead; empty: all.
        load: Machines assigned to each controller's shards, by label.
    """
    labels = sorted(fit, key=lambda label: (load.get(label, 0), label))
    return [label for label in labels if not allowed or label in allowed] or labels


def better_candidate(
    leader: str, fit: Collection[str], allowed: Collection[str], load: Mapping[str, int]
) -> str | None:
    """Whom `leader` should transfer leadership to, or `None` if it should keep it.

    It transfers if operators do not allow it to lead, or if it has the highest load and the best candidate at most
    half of that. A smaller difference is not worth a change of leader. Arguments are those of `rank_candidates`.
    """
    ranked = rank_candidates(fit, allowed, load)
    if not ranked or ranked[0] == leader:
        return None
    best = ranked[0]
    if leader not in ranked:
        return best
    leader_load = load.get(leader, 0)
    if leader_load < max(load.get(label, 0) for label in ranked):
        return None
    return best if TRANSFER_LOAD_RATIO * load.get(best, 0) <= leader_load else None
