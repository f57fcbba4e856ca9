"""The leader's decisions about machines: rent, assign, reclaim and release them, and move shards.

The allocator reads the statuses that the shards' owners report, and the machines' records. The
leader's writes are fenced by the records' revisions: a leader with outdated data can waste money,
but breaks nothing.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple

from ashdock.core.machine import capacity
from ashdock.core.machine_index import MachineClass, MachineIndex, MachineView
from ashdock.core.placement import InfeasibleCache, PendingCapacity
from ashdock.core.shard_status import Rebalance, Reclaim, ResourceRequest, ShardStatus
from ashdock.settings import Renting, Shared
from ashdock.wire.messages import MachineType


class ScaleOut(NamedTuple):
    """Rent machines with one request to the cloud, which accepts only a few requests per second.

    Attributes:
        teams: The teams that the machines are for, each with a number of machines; the team of the
            most urgent resource request comes first.
        type: Label of the machine type.
        zone: The zone.
        spot: Whether to rent spot instances.
    """

    teams: tuple[tuple[str, int], ...]
    type: str
    zone: str
    spot: bool

    @property
    def number(self) -> int:
        """Number of machines to rent."""
        return sum(number for _, number in self.teams)

    def assign_teams(self, names: list[str]) -> list[tuple[str, str]]:
        """Return pairs of a rented machine and the team that it is for.

        Names beyond `number` are left out. If there are fewer, the last teams get fewer machines.
        """
        teams = [team for team, number in self.teams for _ in range(number)]
        return list(zip(names, teams, strict=False))


class AssignMachine(NamedTuple):
    """Assign a machine to another shard.

    Attributes:
        shard: The shard that it is assigned to now; "" if none.
        machine: Its name.
        to: The shard that gets it; "" to unassign it.
    """

    shard: str
    machine: str
    to: str


class MoveShard(NamedTuple):
    """Transfer a shard to the controller with the label `to`."""

    shard: str
    to: str


class ScaleIn(NamedTuple):
    """Decommission unassigned machines, so that they are released to the cloud."""

    machines: list[str]


MAX_MACHINES_PER_SCALE_OUT = 50
# Keeps the record of a scale-out small; further teams are served by later rounds.
MAX_TEAMS_PER_SCALE_OUT = 10
# Which machines can be reclaimed does not depend on what a task needs.
ANY_NEED = (0.0, 0.0, 0.0)

Decision = ScaleOut | AssignMachine | Reclaim | ScaleIn | MoveShard | Rebalance


class Allocator:
    """Decides for one term of a leader.

    It keeps track of its decisions until the records and the shards' statuses show them.
    """

    def __init__(self, shared: Shared, renting: Renting, catalog: dict[str, MachineType]) -> None:
        """Start without decisions, with the machine types by label."""
        self.shared = shared
        self.renting = renting
        self.catalog = catalog
        self.now = 0.0
        self.last_change_at = -1e9  # when a shard last moved, or the members last changed
        self.members: list[str] = []
        # By type, zone and spot: until when not to ask again after the cloud lacked capacity, and
        # the delay in seconds.
        self.backoffs: dict[tuple[str, str, bool], tuple[float, float]] = {}
        # By machine: the team that it was assigned to, and when.
        self.pending_assignments: dict[str, tuple[str, float]] = {}
        self.scale_outs: list[ScaleOut] = []  # not answered yet
        # By machine: the team that it is reclaimed for, and when its shard was asked.
        self.pending_reclaims: dict[str, tuple[str, float]] = {}
        self.unassigned_since: dict[str, float] = {}
        self.returned_idle: set[str] = set()  # unassigned because no shard had use for them
        # By the shard that transfers machines and the team that gets them: when it was last asked.
        self.rebalance_asked_at: dict[tuple[str, str], float] = {}
        self.infeasible = InfeasibleCache()  # requests for which this round has no machines left
        # For this round, by type, CPUs, GPUs and memory: how many such tasks a machine holds.
        self.capacity_cache: dict[tuple[str, float, float, float], int] = {}
        boot_times_s = [machine_type.boot_s for machine_type in catalog.values()]
        self.boot_s = max(boot_times_s, default=shared.workers.lease_s)  # the longest boot time
        # A decision shows in the records and statuses within this time, or is taken to have failed.
        self.settle_s = shared.workers.lease_s / 2
        # As many as the cloud accepts in about a second.
        self.max_open_scale_outs = max(2, int(shared.cloud.rps))

    # -- results of earlier decisions ------------------------------------------------------------

    def scaled_out(self, scale_out: ScaleOut, names: list[str], now: float) -> None:
        """Note that the cloud rented machines; fewer than requested mean that it has no more."""
        self.scale_outs.remove(scale_out)
        for name, team in scale_out.assign_teams(names):
            self.pending_assignments[name] = (team, now)
        if len(names) < scale_out.number:
            self._back_off(scale_out, now)
        else:
            self.backoffs.pop((scale_out.type, scale_out.zone, scale_out.spot), None)

    def scale_out_failed(self, scale_out: ScaleOut, now: float, no_capacity: bool) -> None:
        """Note that a scale-out rented nothing, either for lack of capacity or with no response."""
        self.scale_outs.remove(scale_out)
        if no_capacity:
            self._back_off(scale_out, now)

    def _back_off(self, scale_out: ScaleOut, now: float) -> None:
        key = (scale_out.type, scale_out.zone, scale_out.spot)
        _, delay_s = self.backoffs.get(key, (0.0, self.settle_s / 2))
        delay_s = min(delay_s * 2, 2 * self.boot_s)
        self.backoffs[key] = (now + delay_s, delay_s)

    # -- decisions -------------------------------------------------------------------------------

    def decide(
        self, machines: Iterable[MachineView], shard_statuses: dict[str, ShardStatus], now: float
    ) -> list[Decision]:
        """Run one round: match resource requests to machines, and release what nobody needs.

        Args:
            machines: All machines' records.
            shard_statuses: The last status of each shard that has reported one, by team. Nothing
                is decided while one is missing.
            now: Seconds since the epoch.
        """
        machine_views = {
            machine.name: machine for machine in machines if not machine.decommissioned
        }
        if any(team.name not in shard_statuses for team in self.shared.teams):
            # A shard without a status may need all empty machines: none of them is assigned or
            # released, and nothing is rented, until it has reported.
            return []
        self._forget_settled(machine_views, shard_statuses, now)
        unassigned_machines = {
            name: machine
            for name, machine in machine_views.items()
            if machine.shard == "" and name not in self.pending_assignments
        }
        self.returned_idle &= set(machine_views)
        for name in list(self.unassigned_since):
            if name not in unassigned_machines:
                del self.unassigned_since[name]
        for name in unassigned_machines:
            self.unassigned_since.setdefault(name, now)
        idle = {
            name: (machine_views[name], idle_s)
            for shard_status in shard_statuses.values()
            for name, idle_s in shard_status.idle
            if name in machine_views
            and machine_views[name].shard == shard_status.team
            and name not in self.pending_assignments
        }
        empty = MachineIndex(
            # Spot instances first: they are cheaper to keep. Unassigned machines before idle ones.
            ((float(not machine.spot), rank), 0, machine)
            for rank, machines in (
                (0.0, unassigned_machines.values()),
                (1.0, [machine for machine, _ in idle.values()]),
            )
            for machine in machines
            if machine.type in self.catalog
        )
        busy = MachineIndex(
            ((item.preemption_cost_s, 0.0), item.priority, machine_views[item.machine])
            for shard_status in shard_statuses.values()
            for item in shard_status.busy
            if item.machine in machine_views
            and machine_views[item.machine].shard == shard_status.team
            and item.machine not in self.pending_reclaims
            and machine_views[item.machine].type in self.catalog
        )
        self.now = now
        decisions: list[Decision] = []
        small_teams = {
            team
            for team, shard_status in shard_statuses.items()
            if shard_status.machines * 2 * len(shard_statuses) < len(machine_views)
        }
        resource_requests = sorted(
            (
                (shard_status.team, request)
                for shard_status in shard_statuses.values()
                for request in shard_status.resource_requests
            ),
            # Beyond guarantees, a team with less than half of an equal share of the machines
            # precedes others' requests of the same priority: behind their overdue work, a team
            # without a guarantee was never served.
            key=lambda item: (
                item[1].opportunistic,
                not item[1].guaranteed,
                -item[1].priority,
                not item[1].guaranteed and item[0] not in small_teams,
                item[1].slack_s,
            ),
        )
        pending = self._pending_capacity(machine_views)
        rentals: dict[tuple[str, str, str, bool], int] = {}
        unmet: list[tuple[str, ResourceRequest, int]] = []
        spare_beyond = {
            shard_status.team: shard_status.machines_over_guarantee
            for shard_status in shard_statuses.values()
        }
        machine_count = len(machine_views) + sum(scale_out.number for scale_out in self.scale_outs)
        self.infeasible = InfeasibleCache()
        self.capacity_cache.clear()
        for team, request in resource_requests:
            missing = (
                self._use_pending_capacity(pending[team], request)
                if team in pending
                else request.tasks
            )
            if request.one_zone and missing > 0 and (request.gang_tasks or not request.zone):
                scores = self._zone_scores(
                    team, request._replace(zone=""), empty, busy, spare_beyond
                )
                if scores.get(request.zone, 0.0) < missing:
                    # The zone that the shard's owner chose lacks capacity for the rest of the gang.
                    best_zone = max(sorted(scores), key=lambda zone: scores[zone], default="")
                    if best_zone != request.zone:
                        missing = max(missing, request.gang_tasks)
                        request = request._replace(zone=best_zone, tasks=missing)
            # Reclaiming a machine that has the image is faster than fetching it on an empty one.
            missing = self._assign(team, request, missing, empty, decisions, now, cached=True)
            missing = self._reclaim(
                team, request, missing, busy, spare_beyond, decisions, cached=True
            )
            missing = self._assign(team, request, missing, empty, decisions, now)
            missing = self._reclaim(team, request, missing, busy, spare_beyond, decisions)
            # Once enough scale-outs are open, the rest waits and is requested together after those.
            while missing > 0 and len(self.scale_outs) < self.max_open_scale_outs:
                offer = self._cheapest_offer(request, missing, rentals, now)
                if (
                    offer is None
                    and request.opportunistic
                    and not (
                        shard_statuses[team].machines
                        or team in pending
                        or any(key[0] == team for key in rentals)
                    )
                ):
                    # No spot instance is available: rent one on-demand machine, so that work
                    # without a service level does not starve.
                    request = request._replace(opportunistic=False, tasks=1)
                    missing = 1
                    offer = self._cheapest_offer(request, missing, rentals, now)
                max_machines = self.renting.most_machines
                if offer is None or (max_machines and machine_count >= max_machines):
                    break
                machine_type, zone, spot = offer
                tasks_per_machine = max(
                    1, capacity(machine_type, request.cpus, request.gpus, request.memory_gb)
                )
                key = (team, machine_type.label, zone, spot)
                rentals[key] = rentals.get(key, 0) + 1
                machine_count += 1
                missing -= tasks_per_machine
                if missing < 0:
                    pending.setdefault(team, PendingCapacity()).add_remainder(
                        machine_type,
                        zone,
                        spot,
                        (request.cpus, request.gpus, request.memory_gb),
                        tasks_per_machine + missing,
                    )
            if missing > 0:
                unmet.append((team, request, missing))
        decisions += self._rebalance(
            unmet,
            {
                team: shard_status
                for team, shard_status in shard_statuses.items()
                if team not in small_teams
            },
            machine_views,
            now,
        )
        new_scale_outs = self._scale_outs(rentals)
        decisions += new_scale_outs
        self.scale_outs += new_scale_outs
        for name in empty.taken:
            unassigned_machines.pop(name, None)
            idle.pop(name, None)
        decisions += self._release_surplus(unassigned_machines, idle, resource_requests, now)
        return decisions

    def note_reclaims(self, machines: Iterable[tuple[str, str]], now: float) -> None:
        """Take in the reclaims of an earlier term, as pairs of a machine and the team that gets it.

        They count as pending capacity; when they did not, as much again was reclaimed for the same
        requests.
        """
        for name, to in machines:
            if to and name not in self.pending_assignments:
                self.pending_reclaims.setdefault(name, (to, now))

    def cancel_assignments(self, machines: Iterable[str]) -> None:
        """Forget assignments of this round that were not written."""
        for name in machines:
            self.pending_assignments.pop(name, None)

    @staticmethod
    def _scale_outs(rentals: dict[tuple[str, str, str, bool], int]) -> list[ScaleOut]:
        """Combine rentals by team, type, zone and spot into one scale-out for all teams."""
        teams_by_offering: dict[tuple[str, str, bool], list[tuple[str, int]]] = {}
        for (team, type_label, zone, spot), number in rentals.items():
            remaining = MAX_MACHINES_PER_SCALE_OUT - sum(
                count for _, count in teams_by_offering.get((type_label, zone, spot), ())
            )
            if (
                remaining > 0
                and len(teams_by_offering.get((type_label, zone, spot), ()))
                < MAX_TEAMS_PER_SCALE_OUT
            ):
                teams_by_offering.setdefault((type_label, zone, spot), []).append(
                    (team, min(number, remaining))
                )
        return [ScaleOut(tuple(teams), *key) for key, teams in teams_by_offering.items()]

    def _rebalance(
        self,
        unmet: list[tuple[str, ResourceRequest, int]],
        shard_statuses: dict[str, ShardStatus],
        machine_views: dict[str, MachineView],
        now: float,
    ) -> list[Decision]:
        """Serve requests of one priority in order of their slack when no more can be rented.

        A shard whose own requests can wait longer transfers machines as they come free. Without
        this, machines stayed where they were when the cloud ran out of them, and one team's gangs
        waited a minute while another's waited seconds.
        """
        decisions: list[Decision] = []
        offerings: dict[str, set[tuple[str, str, bool]]] = {}
        for machine in machine_views.values() if unmet else ():
            if machine.type in self.catalog:
                offerings.setdefault(machine.shard, set()).add(
                    (machine.type, machine.zone, machine.spot)
                )
        for team, request, missing in unmet:
            source, most_slack = "", request.slack_s + self.boot_s / 2
            for shard, shard_status in shard_statuses.items():
                if (
                    shard == team
                    or now - self.rebalance_asked_at.get((shard, team), -1e9) < self.settle_s
                ):
                    continue
                # Work of higher priority does not give way to lower: machines of gangs went
                # to overdue arrays, and had to be reclaimed.
                comparable = [
                    other
                    for other in shard_status.resource_requests
                    if other.priority >= request.priority
                ]
                if any(other.priority > request.priority for other in comparable):
                    continue
                # The idle machines of a shard without comparable requests are assigned directly,
                # except those it keeps as headroom.
                if not comparable or any(
                    other.guaranteed and not request.guaranteed for other in comparable
                ):
                    continue
                slack = min(other.slack_s for other in comparable)
                if slack > most_slack and any(
                    self._suits(request, *offering) for offering in offerings.get(shard, ())
                ):
                    source, most_slack = shard, slack
            if source:
                self.rebalance_asked_at[source, team] = now
                tasks_per_machine = max(
                    (
                        capacity(machine_type, request.cpus, request.gpus, request.memory_gb)
                        for machine_type in self.catalog.values()
                    ),
                    default=1,
                )
                decisions.append(
                    Rebalance(
                        source,
                        team,
                        -(-missing // max(tasks_per_machine, 1)),
                        request.types,
                        request.zone,
                        request.spot,
                    )
                )
        return decisions

    def _forget_settled(
        self,
        machine_views: dict[str, MachineView],
        shard_statuses: dict[str, ShardStatus],
        now: float,
    ) -> None:
        """Forget reclaims and assignments that have taken effect, or have not in time.

        A reclaimed machine whose record names the new shard counts as assigned from then on, until
        that shard's status shows it.
        """
        reclaim_timeout_s = self.shared.workers.gang_peer_s + 4 * self.shared.workers.report_s
        for name, (team, since) in list(self.pending_reclaims.items()):
            if name in machine_views and machine_views[name].shard == team:
                self.pending_assignments[name] = (team, now)
            if name in self.pending_assignments or now - since > reclaim_timeout_s:
                del self.pending_reclaims[name]
        for name, (team, since) in list(self.pending_assignments.items()):
            record = machine_views.get(name)
            shard_status = shard_statuses.get(team)
            is_reported = (
                record
                and shard_status
                and record.shard == team
                and shard_status.seen_revision >= record.revision
            )
            if is_reported or now - since > self.settle_s:
                del self.pending_assignments[name]

    def _pending_capacity(
        self, machine_views: dict[str, MachineView]
    ) -> dict[str, PendingCapacity]:
        """Return by team the machines that its shard is about to get and does not report yet."""
        pending: dict[str, PendingCapacity] = {}
        for name, (team, _) in [*self.pending_assignments.items(), *self.pending_reclaims.items()]:
            machine = machine_views.get(name)
            if machine and machine.type in self.catalog:
                pending.setdefault(team, PendingCapacity()).add(
                    self.catalog[machine.type], machine.zone, machine.spot
                )
        for scale_out in self.scale_outs:
            for team, number in scale_out.teams:
                pending.setdefault(team, PendingCapacity()).add(
                    self.catalog[scale_out.type], scale_out.zone, scale_out.spot, number
                )
        return pending

    def _use_pending_capacity(self, pending: PendingCapacity, request: ResourceRequest) -> int:
        """Allot pending capacity to a request, and return the number of tasks left without."""

        def suits(type_label: str, zone: str, spot: bool) -> bool:
            return self._suits(request, type_label, zone, spot)

        return request.tasks - pending.take(
            suits, (request.cpus, request.gpus, request.memory_gb), request.tasks
        )

    @staticmethod
    def _suits(request: ResourceRequest, type_label: str, zone: str, spot: bool) -> bool:
        if request.types and type_label not in request.types:
            return False
        if request.zone and zone != request.zone:
            return False
        return request.spot or not spot

    def _zone_scores(
        self,
        team: str,
        request: ResourceRequest,
        empty: MachineIndex,
        busy: MachineIndex,
        spare_beyond: dict[str, int],
    ) -> dict[str, float]:
        """Return by zone how many more tasks of a gang it could hold.

        Machines that are empty or can be reclaimed are counted. A zone where any machine type is
        not in backoff counts as if the whole request could be rented there. The weights 1, 0.99
        and 0.9 make empty machines count most, and rented ones least.
        """
        scores: dict[str, float] = {}

        def add(machine_class: MachineClass, number: int, weight: float) -> None:
            if number:
                scores[machine_class.zone] = scores.get(
                    machine_class.zone, 0.0
                ) + number * weight * self._tasks_per_machine(machine_class.type, request)

        for bucket in empty.buckets_for(
            lambda machine_class: (
                machine_class.shard != team
                and self._suits(request, machine_class.type, machine_class.zone, machine_class.spot)
            )
        ):
            add(bucket.machine_class, empty.count(bucket, math.inf), 1.0)
        for bucket in busy.buckets_for(
            lambda machine_class: self._suits(
                request, machine_class.type, machine_class.zone, machine_class.spot
            )
        ):
            add(
                bucket.machine_class,
                busy.count(
                    bucket,
                    self._highest_preemption_cost(
                        team, request, bucket.machine_class, spare_beyond
                    ),
                ),
                0.99,
            )
        for machine_type in self.catalog.values():
            for zone in machine_type.zones:
                spot_choices = (True, False) if request.spot else (False,)
                if any(
                    self.backoffs.get((machine_type.label, zone, spot), (0.0, 0.0))[0] <= self.now
                    for spot in spot_choices
                ):
                    scores[zone] = scores.get(zone, 0.0) + 0.9 * max(
                        request.tasks, request.gang_tasks
                    )
        return scores

    def _tasks_per_machine(self, type_label: str, request: ResourceRequest) -> int:
        key = (type_label, request.cpus, request.gpus, request.memory_gb)
        tasks_per_machine = self.capacity_cache.get(key)
        if tasks_per_machine is None:
            tasks_per_machine = self.capacity_cache[key] = capacity(
                self.catalog[type_label], request.cpus, request.gpus, request.memory_gb
            )
        return tasks_per_machine

    def _highest_preemption_cost(
        self,
        team: str,
        request: ResourceRequest,
        machine_class: MachineClass,
        spare_beyond: dict[str, int],
    ) -> float:
        """Return the highest preemption cost at which to reclaim machines of a class; -1 for never.

        For a request within its team's guarantee, machines are reclaimed at any cost from shards
        beyond theirs, as far as they are beyond it. Otherwise work of higher priority preempts
        lower if it cannot wait for a boot, and if that loses no more than a boot time for each step
        of priority between them. But a request beyond its team's guarantee never preempts work
        within another's: urgent work of a hot team stopped all work of lower priority of the other
        teams, however much of it was guaranteed.
        """
        if machine_class.shard == team:
            return -1.0
        is_beyond = spare_beyond[machine_class.shard] > 0
        if request.guaranteed and is_beyond:
            return math.inf
        if not (request.guaranteed or is_beyond):
            return -1.0
        boot_s = self.catalog[machine_class.type].boot_s
        priority_gap = request.priority - machine_class.priority
        return boot_s * priority_gap if priority_gap > 0 and request.slack_s < boot_s else -1.0

    def _reclaim(
        self,
        team: str,
        request: ResourceRequest,
        missing: int,
        busy: MachineIndex,
        spare_beyond: dict[str, int],
        decisions: list[Decision],
        cached: bool = False,
    ) -> int:
        """Reclaim machines from other shards, which is faster than booting new ones.

        Returns the number of tasks that are still without capacity.
        """
        # Reclaimable machines only become fewer within a round, so requests that agree in all
        # conditions need not search again.
        conditions = (
            "reclaim",
            team,
            request.types,
            request.zone,
            request.spot,
            request.priority,
            request.guaranteed,
            request.slack_s < self.boot_s,
            request.image if cached else None,
        )
        if missing <= 0 or not busy or self.infeasible.holds(conditions, ANY_NEED, 1):
            return missing
        buckets = busy.buckets_for(
            lambda machine_class: self._suits(
                request, machine_class.type, machine_class.zone, machine_class.spot
            ),
            request.image if cached else None,
        )
        for machine in busy.take(
            buckets,
            lambda machine_class: self._highest_preemption_cost(
                team, request, machine_class, spare_beyond
            ),
        ):
            decisions.append(Reclaim(machine.shard, team, [machine.name]))
            self.pending_reclaims[machine.name] = (team, self.now)
            spare_beyond[machine.shard] -= 1
            missing -= max(1, self._tasks_per_machine(machine.type, request))
            if missing <= 0:
                return missing
        self.infeasible.note(conditions, ANY_NEED, 1)
        return missing

    def _assign(
        self,
        team: str,
        request: ResourceRequest,
        missing: int,
        empty: MachineIndex,
        decisions: list[Decision],
        now: float,
        cached: bool = False,
    ) -> int:
        """Assign empty machines, which need no boot.

        Returns the number of tasks that are still without capacity.
        """
        conditions = (
            "assign",
            team,
            request.types,
            request.zone,
            request.spot,
            request.opportunistic,
            request.image if cached else None,
        )
        need = (request.cpus, request.gpus, request.memory_gb)
        if missing <= 0 or not empty or self.infeasible.holds(conditions, need, 1):
            return missing
        spot_only = request.opportunistic and self._may_use_spot(request)

        def suits(machine_class: MachineClass) -> bool:
            if (
                machine_class.shard == team
                or (spot_only and not machine_class.spot)
                or not self._suits(
                    request, machine_class.type, machine_class.zone, machine_class.spot
                )
            ):
                return False
            return self._tasks_per_machine(machine_class.type, request) > 0

        for machine in empty.take(
            empty.buckets_for(suits, request.image if cached else None),
            lambda _machine_class: math.inf,
        ):
            decisions.append(AssignMachine(machine.shard, machine.name, team))
            self.pending_assignments[machine.name] = (team, now)
            missing -= self._tasks_per_machine(machine.type, request)
            if missing <= 0:
                return missing
        self.infeasible.note(conditions, need, 1)
        return missing

    def _may_use_spot(self, request: ResourceRequest) -> bool:
        """Return whether a request may use spot instances.

        Work without a service level then uses nothing else: on-demand machines at four times the
        price were rented for it, and kept from work that has one.
        """
        return request.spot and self.renting.spot

    def _cheapest_offer(
        self,
        request: ResourceRequest,
        missing: int,
        rentals: dict[tuple[str, str, str, bool], int],
        now: float,
    ) -> tuple[MachineType, str, bool] | None:
        """Return the type, zone and spot flag with the lowest price per task, unless in backoff.

        At equal prices, tasks that have to run in one zone go where most machines are rented in
        this round, others where the fewest are.
        """
        best: tuple[tuple[float, ...], tuple[MachineType, str, bool]] | None = None
        for machine_type in self.catalog.values():
            tasks_per_machine = capacity(
                machine_type, request.cpus, request.gpus, request.memory_gb
            )
            if tasks_per_machine <= 0 or (
                request.types and machine_type.label not in request.types
            ):
                continue
            for zone in machine_type.zones:
                if request.zone and zone != request.zone:
                    continue
                for spot in (True, False):
                    if (spot and not self._may_use_spot(request)) or (
                        not spot and request.opportunistic and self._may_use_spot(request)
                    ):
                        continue
                    if self.backoffs.get((machine_type.label, zone, spot), (0.0, 0.0))[0] > now:
                        continue
                    price = (machine_type.spot_price if spot else machine_type.price) / min(
                        tasks_per_machine, missing
                    )
                    already_rented = sum(
                        count
                        for key, count in rentals.items()
                        if key[1:] == (machine_type.label, zone, spot)
                    )
                    key = (
                        price,
                        float(-already_rented if request.one_zone else already_rented),
                        machine_type.boot_s,
                    )
                    if best is None or key < best[0]:
                        best = key, (machine_type, zone, spot)
        return best[1] if best else None

    def balance(
        self,
        owners: dict[str, str],
        members: list[str],
        shard_statuses: dict[str, ShardStatus],
        now: float,
    ) -> list[Decision]:
        """Move a shard from the most to the least loaded controller if that evens them out.

        Moves are rare, since a shard's workers have to find its new owner.

        Args:
            owners: Label of the controller that owns each team's shard; "" if none.
            members: Labels of the controllers that may own shards.
            shard_statuses: The last status of each shard, by team.
            now: Seconds since the epoch.
        """
        load = {
            team: shard_status.waiting_tasks + shard_status.machines + 1
            for team, shard_status in shard_statuses.items()
        }
        load_by_owner = dict.fromkeys(members, 0)
        for team, label in owners.items():
            if label not in load_by_owner or team not in load:
                return []  # a shard has no live owner or no status: failover comes first
            load_by_owner[label] += load[team]
        if members != self.members:  # let the change settle
            self.members, self.last_change_at = members, now
        if now - self.last_change_at < 2 * self.shared.workers.lease_s or len(load_by_owner) < 2:
            return []
        most_loaded = max(sorted(load_by_owner), key=lambda label: load_by_owner[label])
        least_loaded = min(sorted(load_by_owner), key=lambda label: load_by_owner[label])
        gap = load_by_owner[most_loaded] - load_by_owner[least_loaded]
        movable = [
            team for team, label in owners.items() if label == most_loaded and load[team] < gap
        ]
        if sum(label == most_loaded for label in owners.values()) < 2 or not movable:
            return []
        # Choose the shard whose move leaves the smallest difference in load.
        team = min(sorted(movable), key=lambda team: abs(gap - 2 * load[team]))
        # Not worth a move unless the difference becomes at least 30 % smaller.
        if abs(gap - 2 * load[team]) > 0.7 * gap:
            return []
        self.last_change_at = now
        return [MoveShard(team, least_loaded)]

    def _release_surplus(
        self,
        unassigned_machines: dict[str, MachineView],
        idle: dict[str, tuple[MachineView, float]],
        resource_requests: list[tuple[str, ResourceRequest]],
        now: float,
    ) -> list[Decision]:
        """Unassign machines that have been idle too long, and release unassigned ones.

        Those that were unassigned for being idle are released sooner than others.
        """
        decisions: list[Decision] = []
        is_wanted: dict[tuple[str, str, bool], bool] = {}
        for machine, idle_s in idle.values():
            machine_type = self.catalog[machine.type]
            # Kept for about the boot time that it may save the next job; less if idling costs more.
            boot_factor = (
                1.5 if machine.spot else 0.5 + machine_type.spot_price / (2 * machine_type.price)
            )
            keep_s = self.renting.idle_boots * machine_type.boot_s * boot_factor
            if idle_s <= keep_s:
                continue
            offering = (machine.type, machine.zone, machine.spot)
            if offering not in is_wanted:
                is_wanted[offering] = any(
                    self._suits(request, *offering)
                    and (
                        machine.spot or not (request.opportunistic and self._may_use_spot(request))
                    )
                    for _, request in resource_requests
                )
            if not is_wanted[offering]:
                decisions.append(AssignMachine(machine.shard, machine.name, ""))
                self.returned_idle.add(machine.name)
        to_release = [
            name
            for name in unassigned_machines
            if now - self.unassigned_since.get(name, now)
            > (self.settle_s / 8 if name in self.returned_idle else self.settle_s)
        ]
        if to_release:
            decisions.append(ScaleIn(to_release[:100]))
        return decisions
