"""The leader's loops.

The allocator decides on a snapshot of the machines; the other classes of this package carry its
decisions out.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Protocol

from ashdock.admission.processor import LEADER_CPU_SHARE, pause_s
from ashdock.core.allocator import (
    Allocator,
    AssignMachine,
    Decision,
    MoveShard,
    ScaleIn,
    ScaleOut,
)
from ashdock.core.shard_status import Rebalance, Reclaim, ShardStatus
from ashdock.core.write_limits import WriteLimits
from ashdock.election.election import Election
from ashdock.election.fencing import NotLeaderError
from ashdock.leader.assignments import Assignments
from ashdock.leader.heartbeats import UnassignedHeartbeats
from ashdock.leader.inventory import InventoryReconciler
from ashdock.leader.leadership import Leadership
from ashdock.leader.machine_records import MachineRecords
from ashdock.leader.provisioner import Provisioner
from ashdock.leader.snapshot import MachineSnapshot
from ashdock.net.cloud import CloudClient, CloudError
from ashdock.net.store import StoreClient
from ashdock.net.store_errors import CompareFailedError, StoreUnavailableError
from ashdock.net.watch_cache import WatchCache
from ashdock.settings import Operators, Shared, Workers
from ashdock.wire.messages import Heartbeat, MachineType
from ashdock.wire.peer_messages import ShardCommand, TransferMachine, TransferShard

log = logging.getLogger("ashdock.leader")

RETRY_TICKS = 2  # pause of a loop after an expected error of the store, the cloud or the term
RETRY_AFTER_FAULT_S = 1.0  # pause of a loop after an unexpected exception
MAY_DECIDE_POLL_TICKS = 1 / 4  # pause of the allocation loop while new decisions are not allowed
RESUME_INTENTS_LEASES = 2  # worker leases between two searches for unfinished intents
MAX_LIST_RATE_SHARE = 1 / 8  # share of the cloud's rate limit for requests of its machine list


class LeaderContext(Protocol):
    """The leader's dependencies on its controller."""

    label: str
    shared: Shared
    operators: Operators
    workers: Workers
    tick_s: float
    intent_count: int
    write_limits: WriteLimits
    catalog: dict[str, MachineType]
    store: StoreClient
    cloud: CloudClient
    machines: WatchCache

    def now(self) -> float:
        """The time in seconds since the epoch."""

    def state_fresh(self) -> bool:
        """Whether the watch caches are up to date."""

    def eligible_members(self) -> list[str]:
        """Labels of the controllers that may own shards."""

    def owner_label(self, team: str) -> str | None:
        """Label of the controller that owns a team's shard, or None."""

    def shard_statuses(self) -> dict[str, ShardStatus]:
        """The latest status of each shard, by team, as far as received."""

    def leaving_machines(self) -> list[tuple[str, str]]:
        """Machines that are being reclaimed, each with the team that gets it."""

    def send_shard_command(self, team: str, command: ShardCommand, term: int, /) -> None:
        """Send a command to the owner of a team's shard, fenced by the term."""


class Leader:
    """The work of one term of leadership.

    Its writes are conditional on the leader's key, and its commands and intents contain the term.
    Requests that change the fleet follow stored intents and decommission marks, and intent names
    are never reused (docs/leader-election.md).
    """

    def __init__(self, context: LeaderContext, election: Election) -> None:
        """Start the loops for the term that `election` has just acquired."""
        self.context = context
        self.term = election.term
        self.leadership = Leadership(election, self.term)
        self.allocator = Allocator(context.shared, context.operators.renting, context.catalog)
        self.heartbeats = UnassignedHeartbeats()
        self.snapshot = MachineSnapshot(context.machines, self.heartbeats)
        self.records = MachineRecords(
            context.store, context.machines, self.leadership, context.write_limits
        )
        self.assignments = Assignments(
            self.records, self.heartbeats, context.now, context.workers.report_s
        )
        self.inventory = self._new_inventory()
        self.provisioner = self._new_provisioner()
        self.stopped = False
        self.background: set[asyncio.Task[None]] = set()
        self.loops = [
            asyncio.create_task(self._run_loop(step))
            for step in (
                self._resume_intents,
                self._allocate,
                self._scale_in_and_adopt,
                self._reconcile_inventory,
            )
        ]

    def _new_inventory(self) -> InventoryReconciler:
        context = self.context
        return InventoryReconciler(
            cloud=context.cloud,
            records=self.records,
            assignments=self.assignments,
            heartbeats=self.heartbeats,
            leadership=self.leadership,
            catalog=context.catalog,
            scaling_out=lambda: self.provisioner.scaling_out,
            now=context.now,
            min_lag_s=context.shared.cloud.list_lag_s,
            lease_s=context.workers.lease_s,
            adopt_after_s=self.allocator.settle_s,
        )

    def _new_provisioner(self) -> Provisioner:
        context = self.context
        return Provisioner(
            store=context.store,
            cloud=context.cloud,
            records=self.records,
            leadership=self.leadership,
            scale_out_tracker=self.allocator,
            naming=context,
            catalog=context.catalog,
            write_limits=context.write_limits,
            state_fresh=context.state_fresh,
            on_released=self.inventory.note_released,
            spawn=self._spawn,
            now=context.now,
            lease_s=context.workers.lease_s,
            tick_s=context.tick_s,
        )

    # -- lifecycle -----------------------------------------------------------------------------

    @property
    def under_way(self) -> bool:
        """Whether an effect is in progress whose outcome the next leader would have to find out."""
        return self.provisioner.under_way or self.assignments.under_way

    def stop(self) -> None:
        """Cancel all loops and background tasks at once."""
        self.stopped = True
        for task in [*self.loops, *self.background]:
            task.cancel()

    async def _run_loop(self, step: Callable[[], Awaitable[float]]) -> None:
        """Repeat `step`, and pause after each run for the seconds that it returns."""
        name = getattr(step, "__name__", repr(step))
        while not self.stopped:
            try:
                delay_s = await step()
                await asyncio.sleep(delay_s)
            except (
                StoreUnavailableError,
                CloudError,
                CompareFailedError,
                NotLeaderError,
            ) as error:
                log.debug("leader loop interrupted: step=%s error=%r", name, error)
                await asyncio.sleep(self.context.tick_s * RETRY_TICKS)
            except Exception:  # one failed step must not end the loop for the rest of the term
                log.exception("leader loop failed: step=%s", name)
                await asyncio.sleep(RETRY_AFTER_FAULT_S)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in the background until it ends or the leader is stopped."""
        task = asyncio.create_task(self._run_while_leader(work))
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    @staticmethod
    async def _run_while_leader(work: Coroutine[Any, Any, None]) -> None:
        try:
            await work
        except NotLeaderError:
            log.debug("background work ended: reason=not_leader")

    def on_heartbeat(self, heartbeat: Heartbeat, recorded: bool) -> None:
        """Take in a heartbeat of an unassigned machine.

        Args:
            heartbeat: What the machine sent.
            recorded: Whether the machine has a record.
        """
        self.inventory.on_heartbeat(heartbeat, recorded)

    # -- loop steps ----------------------------------------------------------------------------

    async def _resume_intents(self) -> float:
        await self.provisioner.resume_intents()
        return RESUME_INTENTS_LEASES * self.context.workers.lease_s

    async def _scale_in_and_adopt(self) -> float:
        await self.provisioner.scale_in()
        await self.inventory.adopt_unrecorded()
        return max(self.context.tick_s, 1 / self.context.shared.cloud.rps)

    async def _reconcile_inventory(self) -> float:
        await self.inventory.reconcile()
        cloud = self.context.shared.cloud
        return max(cloud.list_lag_s, 1 / (MAX_LIST_RATE_SHARE * cloud.rps))

    async def _allocate(self) -> float:
        """Run one round of the allocator, unless this controller may not decide now."""
        context = self.context
        now = context.now()
        if not context.state_fresh() or not context.machines.ready.is_set():
            return context.tick_s
        if not self.leadership.may_decide():
            return context.tick_s * MAY_DECIDE_POLL_TICKS
        shard_statuses = context.shard_statuses()
        if self.leadership.term_age_s() < context.workers.lease_s:
            self.allocator.note_reclaims(context.leaving_machines(), now)
        owners = {team.name: context.owner_label(team.name) or "" for team in context.shared.teams}
        machine_views = self.snapshot.machine_views()
        decisions = self.allocator.decide(machine_views, shard_statuses, now)
        moves = self.allocator.balance(owners, context.eligible_members(), shard_statuses, now)
        self._dispatch(decisions + moves)
        return max(context.tick_s, pause_s(context.now() - now, LEADER_CPU_SHARE))

    # -- decisions -----------------------------------------------------------------------------

    def _dispatch(self, decisions: list[Decision]) -> None:
        """Start to carry out decisions; assignments of unassigned machines are written together."""
        assignments: dict[str, str] = {}
        for decision in decisions:
            match decision:
                case ScaleOut():
                    self._spawn(self.provisioner.scale_out(decision))
                case ScaleIn(machines):
                    self._spawn(self.assignments.decommission(machines, "returned"))
                case AssignMachine("", machine, to):
                    assignments[machine] = to
                case _:
                    self._send_to_owner(decision)
        if assignments:
            self._assign(assignments)

    def _send_to_owner(self, decision: AssignMachine | MoveShard | Reclaim | Rebalance) -> None:
        """Send a decision as a command to the owner of the shard that has to act."""
        command: ShardCommand
        match decision:
            case AssignMachine(shard, machine, to):
                command = TransferMachine(shard, machine, to)
            case MoveShard(shard, to):
                log.info("shard transfer requested: shard=%s to=%s", shard, to)
                command = TransferShard(shard, to)
            case Reclaim(shard, to, machines):
                log.info(
                    "machine reclaim requested: machines=%s from_team=%s to_team=%s",
                    ",".join(machines),
                    shard,
                    to,
                )
                command = decision
            case Rebalance():
                log.info(
                    "machine rebalance requested: number=%d from_team=%s to_team=%s",
                    decision.number,
                    decision.shard,
                    decision.to,
                )
                command = decision
        self.context.send_shard_command(decision.shard, command, self.term)

    def _assign(self, assignments: dict[str, str]) -> None:
        """Write as many assignments as may be pending; the allocator decides on the rest again.

        The allocator is told which machines are left out. If it counted them as on their way to a
        shard, they would stay idle for half a worker lease.
        """
        max_count = self.assignments.max_new_assignments()
        self.allocator.cancel_assignments(list(assignments)[max_count:])
        if max_count:
            self._spawn(self.assignments.assign(dict(list(assignments.items())[:max_count])))
