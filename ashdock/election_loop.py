"""The election loop: runs the elector after each relevant change and at a regular interval."""

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
    """Runs the elector when it is woken by a change, and at least once per period."""

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
        """Prepare the loop.

        Args:
            elector: Acquires, renews, transfers and releases leadership.
            membership: Is notified if the elector finds that its store lease is lost.
            term_fence: Is notified of each new leader's term.
            period_s: The longest time between two runs of the elector.
            may_lead: Returns whether the state that a leader needs is known here.
            send_statuses: Sends the status of each shard owned here to the leader.
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
        """Wait for a change or the end of the period, then run the elector.

        Returns:
            Seconds until the next call.

        Raises:
            StoreUnavailableError: The store did not answer.
        """
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
        """Handle a change of the leadership key; `value` is `None` if it was deleted."""
        self.wake()
        if value is not None and path == LEADER_KEY:
            self.term_fence.observe(revision)
            # The leader decides nothing before it has the status of every shard, so these do not
            # wait for the next heartbeat to the peers.
            self.send_statuses()
