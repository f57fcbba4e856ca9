"""Which controller a duty had better lie with. No input or output.

Rank decides nothing but when each tries: the seat is taken by a write under its revision, so there is never more than one holder.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping


def rank_candidates(
    fit: Iterable[str], allowed: Collection[str], load: Mapping[str, int]
) -> list[str]:
    """Who should take the seat, the best first: those that operators allow, then those with the least to do. Where none of the allowed
    is fit all others may: a duty that nobody does costs more than one done in the wrong place."""
    names = sorted(fit, key=lambda label: (load.get(label, 0), label))
    return [label for label in names if not allowed or label in allowed] or names


def better_candidate(
    label: str, fit: Collection[str], allowed: Collection[str], load: Mapping[str, int]
) -> str | None:
    """Whom the holder had better hand its seat to, if to anybody: out of a place that operators do not allow; or from the one with the
    most to do to one that has no more than half of that. Less is not worth a change of hands."""
    names = rank_candidates(fit, allowed, load)
    if not names or names[0] == label:
        return None
    if label not in names:
        return names[0]
    most = max(load.get(name, 0) for name in names)
    ours = load.get(label, 0)
    return names[0] if ours == most and 2 * load.get(names[0], 0) <= ours else None
