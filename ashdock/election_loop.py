"""The loop that keeps leadership up to date, woken by whatever leadership rests on."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from ashdock.election.elector import LeaderElector
from ashdock.election.fencing import TermFence
from ashdock.leader import Leader
from ashdock.membership import Membership
from ashdock.net.store import LeaseLostError

LEADER_KEY = "leader"


class ElectionLoop:
    """Lets the elector look at the election when something has changed, and now and then."""

    def __init__(
        self,
        *,
        elector: LeaderElector[Leader],
        membership: Membership,
        term_fence: TermFence,
        period_s: float,
        may_lead: Callable[[], bool],
        send_statuses: Callable[[], None],
    ) -> None:
        """Take what is tended and told.

        Args:
            elector: acquires, renews, transfers and gives up leadership.
            membership: told if its store lease turns out to be lost.
            term_fence: told of each new leader's term.
            period_s: the longest time between two looks, in seconds.
            may_lead: whether what a leader needs is known here.
            send_statuses: tells the leader how the shards here stand.
        """
        self.elector = elector
        self.membership = membership
        self.term_fence = term_fence
        self.period_s = period_s
        self.may_lead = may_lead
        self.send_statuses = send_statuses
        self.changed = asyncio.Event()
        self.wake = self.changed.set

    async def run_once(self) -> float:
        """Wait for a change or the end of the period, then tend the election."""
        try:
            async with asyncio.timeout(self.period_s):
                await self.changed.wait()
        except TimeoutError:
            pass
        self.changed.clear()
        if self.may_lead():
            try:
                await self.elector.run_once()
            except LeaseLostError:
                self.membership.lease_lost()
        return 0.0

    def leader_key_changed(self, path: str, value: Any, revision: int) -> None:
        """Take in a change of the key `leader`; `value` is None if it was deleted."""
        self.wake()
        if value is not None and path == LEADER_KEY:
            self.term_fence.observe(revision)
            # The leader chooses nothing before it has heard of every shard, and the next beat would be later.
            self.send_statuses()
