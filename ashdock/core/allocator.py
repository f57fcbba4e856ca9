"""The leader's choices: which machines to rent, lend to which shard, call back and return.

It is told pictures of the shards by their owners and sees the machines' records. Its own writes are
fenced by the records' revisions, so a leader that is out of date can waste money but break nothing.
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
    """One request to the cloud, for all teams that lack such machines: it takes few requests a second."""

    teams: tuple[tuple[str, int], ...]  # how many for which, the most pressing first
    type: str
    zone: str
    spot: bool

    @property
    def number(self) -> int:
        return sum(number for _, number in self.teams)

    def assign_teams(self, names: list[str]) -> list[tuple[str, str]]:
        """Which team each machine is for."""
        teams = [team for team, number in self.teams for _ in range(number)]
        return list(zip(names, teams, strict=False))


class AssignMachine(NamedTuple):
    """Lend a machine to another shard; `shard` holds it now ("" is the pool)."""

    shard: str
    machine: str
    to: str


class MoveShard(NamedTuple):
    """Hand a shard to another controller."""

    shard: str
    to: str


class ScaleIn(NamedTuple):
    machines: list[str]


MOST_RENTED = 50  # in one request
MOST_TEAMS = 10  # that share one request, so that its record stays a small value; the others' turn comes with the next round
ANY_NEED = (0.0, 0.0, 0.0)  # what is to be recalled does not depend on how much a task takes

Decision = ScaleOut | AssignMachine | Reclaim | ScaleIn | MoveShard | Rebalance


class Allocator:
    def __init__(self, shared: Shared, renting: Renting, catalog: dict[str, MachineType]) -> None:
        self.shared = shared
        self.renting = renting
        self.catalog = catalog
        self.now = 0.0
        self.moved_shard_at = -1e9
        self.alive: list[str] = []
        self.backoffs: dict[
            tuple[str, str, bool], tuple[float, float]
        ] = {}  # until when, and the last pause
        self.pending_assignments: dict[
            str, tuple[str, float]
        ] = {}  # machine: team it was lent to, and when
        self.scale_outs: list[ScaleOut] = []
        self.pending_reclaims: dict[
            str, tuple[str, float]
        ] = {}  # machine asked of its shard: for which team, and when
        self.unassigned_since: dict[str, float] = {}
        self.sent_back: set[str] = set()  # to the pool, since nobody wanted them
        self.rebalance_asked_at: dict[
            tuple[str, str], float
        ] = {}  # by whom and to whom: when it was last asked for
        self.infeasible = InfeasibleCache()  # wants for which this round has nothing left
        self.pers: dict[
            tuple[str, float, float, float], int
        ] = {}  # this round's: how many of a need a machine of a type takes
        boots = [shape.boot_s for shape in catalog.values()]
        self.boot_s = max(boots, default=shared.workers.lease_s)
        self.settle_s = shared.workers.lease_s / 2
        self.most_requests = max(
            2, int(shared.cloud.rps)
        )  # under way at a time: about a second's worth

    # -- what came of earlier choices -----------------------------------------------------------

    def scaled_out(self, rent: ScaleOut, names: list[str], now: float) -> None:
        self.scale_outs.remove(rent)
        for name, team in rent.assign_teams(names):
            self.pending_assignments[name] = (team, now)
        if len(names) < rent.number:
            self._refuse(rent, now)
        else:
            self.backoffs.pop((rent.type, rent.zone, rent.spot), None)

    def scale_out_failed(self, rent: ScaleOut, now: float, no_capacity: bool) -> None:
        self.scale_outs.remove(rent)
        if no_capacity:
            self._refuse(rent, now)

    def _refuse(self, rent: ScaleOut, now: float) -> None:
        key = (rent.type, rent.zone, rent.spot)
        _, pause = self.backoffs.get(key, (0.0, self.settle_s / 2))
        pause = min(pause * 2, 2 * self.boot_s)
        self.backoffs[key] = (now + pause, pause)

    # -- choosing -------------------------------------------------------------------------------

    def decide(
        self, machines: Iterable[MachineView], shard_statuses: dict[str, ShardStatus], now: float
    ) -> list[Decision]:
        machine_views = {
            machine.name: machine for machine in machines if not machine.decommissioned
        }
        if any(team.name not in shard_statuses for team in self.shared.teams):
            # An owner unheard of may want all that stands empty: neither lend, rent nor return before it is heard.
            return []
        self._forget_settled(machine_views, shard_statuses, now)
        unassigned_machines = {
            name: m
            for name, m in machine_views.items()
            if m.shard == "" and name not in self.pending_assignments
        }
        self.sent_back &= set(machine_views)
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
            # The cheap kind first, since it is the one to keep.
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
        out: list[Decision] = []
        small = {
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
            # Beyond guarantees, a team with less than half its equal part of the machines goes before like work of the rest:
            # behind others' overdue work a guest was never served at all.
            key=lambda item: (
                item[1].idle,
                not item[1].guaranteed,
                -item[1].priority,
                not item[1].guaranteed and item[0] not in small,
                item[1].slack_s,
            ),
        )
        on_the_way = self._virtual(machine_views)
        rents: dict[tuple[str, str, str, bool], int] = {}
        unmet: list[tuple[str, ResourceRequest, int]] = []
        spare = {
            shard_status.team: shard_status.spare_beyond for shard_status in shard_statuses.values()
        }
        total = len(machine_views) + sum(rent.number for rent in self.scale_outs)
        self.infeasible = InfeasibleCache()
        self.pers.clear()
        for team, request in resource_requests:
            left = (
                self._use_virtual(on_the_way[team], request)
                if team in on_the_way
                else request.tasks
            )
            if request.together and left > 0 and (request.whole or not request.zone):
                scores = self._zones(team, request._replace(zone=""), empty, busy, spare)
                if scores.get(request.zone, 0.0) < left:
                    # The rest of the gang is not to be had where its owner would have it.
                    zone = max(sorted(scores), key=lambda zone: scores[zone], default="")
                    if zone != request.zone:
                        left = max(left, request.whole)
                        request = request._replace(zone=zone, tasks=left)
            # Calling back a machine that has the image is sooner than fetching it on one that stands empty.
            left = self._assign(team, request, left, empty, out, now, cached=True)
            left = self._reclaim(team, request, left, busy, spare, out, cached=True)
            left = self._assign(team, request, left, empty, out, now)
            left = self._reclaim(team, request, left, busy, spare, out)
            # With enough requests on their way, the rest is asked for together once those are answered.
            while left > 0 and len(self.scale_outs) < self.most_requests:
                offer = self._offer(request, left, rents, now)
                if (
                    offer is None
                    and request.idle
                    and not (
                        shard_statuses[team].machines
                        or team in on_the_way
                        or any(key[0] == team for key in rents)
                    )
                ):
                    # The cheap kind is not to be had: one of the other, so that such work does not starve.
                    request = request._replace(idle=False, tasks=1)
                    left = 1
                    offer = self._offer(request, left, rents, now)
                most = self.renting.most_machines
                if offer is None or (most and total >= most):
                    break
                shape, zone, spot = offer
                per = max(1, capacity(shape, request.cpus, request.gpus, request.memory))
                key = (team, shape.label, zone, spot)
                rents[key] = rents.get(key, 0) + 1
                total += 1
                left -= per
                if left < 0:
                    on_the_way.setdefault(team, PendingCapacity()).add_rest(
                        shape, zone, spot, (request.cpus, request.gpus, request.memory), per + left
                    )
            if left > 0:
                unmet.append((team, request, left))
        out += self._rebalance(
            unmet,
            {
                team: shard_status
                for team, shard_status in shard_statuses.items()
                if team not in small
            },
            machine_views,
            now,
        )
        asked = self._requests(rents)
        out += asked
        self.scale_outs += asked
        for name in empty.taken:
            unassigned_machines.pop(name, None)
            idle.pop(name, None)
        out += self._returns(unassigned_machines, idle, resource_requests, now)
        return out

    def note_reclaims(self, machines: Iterable[tuple[str, str]], now: float) -> None:
        """What an earlier holder called back and has not come yet: counted as on its way, or as much again was called back for the same wants."""
        for name, to in machines:
            if to and name not in self.pending_assignments:
                self.pending_reclaims.setdefault(name, (to, now))

    def cancel_assignments(self, machines: Iterable[str]) -> None:
        """What was to move and does not, this time."""
        for name in machines:
            self.pending_assignments.pop(name, None)

    @staticmethod
    def _requests(rents: dict[tuple[str, str, str, bool], int]) -> list[ScaleOut]:
        """One request for each type, zone and kind, whatever teams it is for."""
        alike: dict[tuple[str, str, bool], list[tuple[str, int]]] = {}
        for (team, kind, zone, spot), number in rents.items():
            room = MOST_RENTED - sum(count for _, count in alike.get((kind, zone, spot), ()))
            if room > 0 and len(alike.get((kind, zone, spot), ())) < MOST_TEAMS:
                alike.setdefault((kind, zone, spot), []).append((team, min(number, room)))
        return [ScaleOut(tuple(teams), *key) for key, teams in alike.items()]

    def _rebalance(
        self,
        unmet: list[tuple[str, ResourceRequest, int]],
        shard_statuses: dict[str, ShardStatus],
        machine_views: dict[str, MachineView],
        now: float,
    ) -> list[Decision]:
        """Where no more is to be had, like work is served in the order of its waiting, whatever its team: a shard
        whose own work has waited less passes on what comes free. Without this, the machines stayed where they
        were when the cloud ran out, and one team's gangs waited a minute while another's waited seconds."""
        out: list[Decision] = []
        kinds: dict[str, set[tuple[str, str, bool]]] = {}
        for machine in machine_views.values() if unmet else ():
            if machine.type in self.catalog:
                kinds.setdefault(machine.shard, set()).add(
                    (machine.type, machine.zone, machine.spot)
                )
        for team, request, left in unmet:
            lender, most_slack = "", request.slack_s + self.boot_s / 2
            for shard, shard_status in shard_statuses.items():
                if (
                    shard == team
                    or now - self.rebalance_asked_at.get((shard, team), -1e9) < self.settle_s
                ):
                    continue
                # Nor does higher work give way to lower: gangs passed machines on to overdue arrays, and had to recall them.
                like = [
                    other
                    for other in shard_status.resource_requests
                    if other.priority >= request.priority
                ]
                if any(other.priority > request.priority for other in like):
                    continue
                # A shard with no such work waiting has its empty machines lent as it is, but for those kept at hand.
                if not like or any(other.guaranteed and not request.guaranteed for other in like):
                    continue
                slack = min(other.slack_s for other in like)
                if slack > most_slack and any(
                    self._suits(request, *kind) for kind in kinds.get(shard, ())
                ):
                    lender, most_slack = shard, slack
            if lender:
                self.rebalance_asked_at[lender, team] = now
                per = max(
                    (
                        capacity(shape, request.cpus, request.gpus, request.memory)
                        for shape in self.catalog.values()
                    ),
                    default=1,
                )
                out.append(
                    Rebalance(
                        lender,
                        team,
                        -(-left // max(per, 1)),
                        request.types,
                        request.zone,
                        request.spot,
                    )
                )
        return out

    def _forget_settled(
        self,
        machine_views: dict[str, MachineView],
        shard_statuses: dict[str, ShardStatus],
        now: float,
    ) -> None:
        patience = self.shared.workers.gang_peer_s + 4 * self.shared.workers.report_s
        for name, (team, since) in list(self.pending_reclaims.items()):
            if name in machine_views and machine_views[name].shard == team:
                self.pending_assignments[name] = (team, now)
            if name in self.pending_assignments or now - since > patience:
                del self.pending_reclaims[name]
        for name, (team, since) in list(self.pending_assignments.items()):
            record = machine_views.get(name)
            shard_status = shard_statuses.get(team)
            seen = (
                record
                and shard_status
                and record.shard == team
                and shard_status.seen >= record.revision
            )
            if seen or now - since > self.settle_s:
                del self.pending_assignments[name]

    def _virtual(self, machine_views: dict[str, MachineView]) -> dict[str, PendingCapacity]:
        """Machines lent or asked for that their shard's picture does not hold yet."""
        out: dict[str, PendingCapacity] = {}
        for name, (team, _) in [*self.pending_assignments.items(), *self.pending_reclaims.items()]:
            machine = machine_views.get(name)
            if machine and machine.type in self.catalog:
                out.setdefault(team, PendingCapacity()).add(
                    self.catalog[machine.type], machine.zone, machine.spot
                )
        for rent in self.scale_outs:
            for team, number in rent.teams:
                out.setdefault(team, PendingCapacity()).add(
                    self.catalog[rent.type], rent.zone, rent.spot, number
                )
        return out

    def _use_virtual(self, rooms: PendingCapacity, request: ResourceRequest) -> int:
        """The tasks for which there is nothing on its way."""

        def suits(label: str, zone: str, spot: bool) -> bool:
            return self._suits(request, label, zone, spot)

        return request.tasks - rooms.take(
            suits, (request.cpus, request.gpus, request.memory), request.tasks
        )

    @staticmethod
    def _suits(request: ResourceRequest, kind: str, zone: str, spot: bool) -> bool:
        if request.types and kind not in request.types:
            return False
        if request.zone and zone != request.zone:
            return False
        return request.spot or not spot

    def _zones(
        self,
        team: str,
        request: ResourceRequest,
        empty: MachineIndex,
        busy: MachineIndex,
        spare: dict[str, int],
    ) -> dict[str, float]:
        """How many more of a gang's tasks each zone would take: on what stands empty, can be recalled, or rented."""
        score: dict[str, float] = {}

        def add(kind: MachineClass, number: int, weight: float) -> None:
            if number:
                score[kind.zone] = score.get(kind.zone, 0.0) + number * weight * self._per(
                    kind.type, request
                )

        for bucket in empty.buckets_for(
            lambda kind: (
                kind.shard != team and self._suits(request, kind.type, kind.zone, kind.spot)
            )
        ):
            add(bucket.machine_class, empty.count(bucket, math.inf), 1.0)
        for bucket in busy.buckets_for(
            lambda kind: self._suits(request, kind.type, kind.zone, kind.spot)
        ):
            add(
                bucket.machine_class,
                busy.count(
                    bucket,
                    self._highest_preemption_cost(team, request, bucket.machine_class, spare),
                ),
                0.99,
            )
        for shape in self.catalog.values():
            for zone in shape.zones:
                kinds = (True, False) if request.spot else (False,)
                if any(
                    self.backoffs.get((shape.label, zone, spot), (0.0, 0.0))[0] <= self.now
                    for spot in kinds
                ):
                    score[zone] = score.get(zone, 0.0) + 0.9 * max(request.tasks, request.whole)
        return score

    def _per(self, type_: str, request: ResourceRequest) -> int:
        key = (type_, request.cpus, request.gpus, request.memory)
        per = self.pers.get(key)
        if per is None:
            per = self.pers[key] = capacity(
                self.catalog[type_], request.cpus, request.gpus, request.memory
            )
        return per

    def _highest_preemption_cost(
        self, team: str, request: ResourceRequest, kind: MachineClass, spare: dict[str, int]
    ) -> float:
        """Up to what loss a machine of that class may be recalled; -1: not at all. A guarantee is regained from teams beyond theirs,
        as far as they are beyond it, and work of higher priority takes the place of lower where less is lost by it than a boot's
        wait would cost. But nobody's work beyond his own guarantee takes the place of what another runs within his: a hot team's
        urgent work stopped all of the others' lesser work, however much of it they had been guaranteed."""
        if kind.shard == team:
            return -1.0
        beyond = spare[kind.shard] > 0
        if request.guaranteed and beyond:
            return math.inf
        if not (request.guaranteed or beyond):
            return -1.0
        boot_s = self.catalog[kind.type].boot_s
        steps = request.priority - kind.priority
        return boot_s * steps if steps > 0 and request.slack_s < boot_s else -1.0

    def _reclaim(
        self,
        team: str,
        request: ResourceRequest,
        left: int,
        busy: MachineIndex,
        spare: dict[str, int],
        out: list[Decision],
        cached: bool = False,
    ) -> int:
        """Sooner than a machine boots."""
        # What can be recalled only grows less within a round: wants alike in all that counts need not look again.
        alike = (
            "recall",
            team,
            request.types,
            request.zone,
            request.spot,
            request.priority,
            request.guaranteed,
            request.slack_s < self.boot_s,
            request.image if cached else None,
        )
        if left <= 0 or not busy or self.infeasible.holds(alike, ANY_NEED, 1):
            return left
        buckets = busy.buckets_for(
            lambda kind: self._suits(request, kind.type, kind.zone, kind.spot),
            request.image if cached else None,
        )
        for machine in busy.take(
            buckets, lambda kind: self._highest_preemption_cost(team, request, kind, spare)
        ):
            out.append(Reclaim(machine.shard, team, [machine.name]))
            self.pending_reclaims[machine.name] = (team, self.now)
            spare[machine.shard] -= 1
            left -= max(1, self._per(machine.type, request))
            if left <= 0:
                return left
        self.infeasible.note(alike, ANY_NEED, 1)
        return left

    def _assign(
        self,
        team: str,
        request: ResourceRequest,
        left: int,
        empty: MachineIndex,
        out: list[Decision],
        now: float,
        cached: bool = False,
    ) -> int:
        """Machines that stand empty need no boot."""
        alike = (
            "lend",
            team,
            request.types,
            request.zone,
            request.spot,
            request.idle,
            request.image if cached else None,
        )
        need = (request.cpus, request.gpus, request.memory)
        if left <= 0 or not empty or self.infeasible.holds(alike, need, 1):
            return left
        only_cheap = request.idle and self._cheap(request)

        def suits(kind: MachineClass) -> bool:
            if (
                kind.shard == team
                or (only_cheap and not kind.spot)
                or not self._suits(request, kind.type, kind.zone, kind.spot)
            ):
                return False
            return self._per(kind.type, request) > 0

        for machine in empty.take(
            empty.buckets_for(suits, request.image if cached else None), lambda kind: math.inf
        ):
            out.append(AssignMachine(machine.shard, machine.name, team))
            self.pending_assignments[machine.name] = (team, now)
            left -= self._per(machine.type, request)
            if left <= 0:
                return left
        self.infeasible.note(alike, need, 1)
        return left

    def _cheap(self, request: ResourceRequest) -> bool:
        """Whether it may use the cheap kind. What was promised nothing then uses no other: machines that cost four times as
        much were rented for idle-time scans, and kept from work that had been promised them."""
        return request.spot and self.renting.spot

    def _offer(
        self,
        request: ResourceRequest,
        left: int,
        rents: dict[tuple[str, str, str, bool], int],
        now: float,
    ) -> tuple[MachineType, str, bool] | None:
        """The cheapest kind that suits and was not refused of late; a gang's zone stays one."""
        best: tuple[tuple[float, ...], tuple[MachineType, str, bool]] | None = None
        for shape in self.catalog.values():
            per = capacity(shape, request.cpus, request.gpus, request.memory)
            if per <= 0 or (request.types and shape.label not in request.types):
                continue
            for zone in shape.zones:
                if request.zone and zone != request.zone:
                    continue
                for spot in (True, False):
                    if (spot and not self._cheap(request)) or (
                        not spot and request.idle and self._cheap(request)
                    ):
                        continue
                    if self.backoffs.get((shape.label, zone, spot), (0.0, 0.0))[0] > now:
                        continue
                    price = (shape.spot_price if spot else shape.price) / min(per, left)
                    asked = sum(
                        count
                        for key, count in rents.items()
                        if key[1:] == (shape.label, zone, spot)
                    )
                    key = (price, float(-asked if request.together else asked), shape.boot_s)
                    if best is None or key < best[0]:
                        best = key, (shape, zone, spot)
        return best[1] if best else None

    def balance(
        self,
        owners: dict[str, str],
        alive: list[str],
        shard_statuses: dict[str, ShardStatus],
        now: float,
    ) -> list[Decision]:
        """Parts go from the controller with most work to the one with least, where that evens them out.
        Rarely, since a shard's workers must find its new owner."""
        load = {
            team: shard_status.waiting + shard_status.machines + 1
            for team, shard_status in shard_statuses.items()
        }
        held = dict.fromkeys(alive, 0)
        for team, label in owners.items():
            if label not in held or team not in load:
                return []  # somebody is ended or cut off: takeovers come first
            held[label] += load[team]
        if alive != self.alive:
            self.alive, self.moved_shard_at = alive, now  # somebody came or went: let that settle
        if now - self.moved_shard_at < 2 * self.shared.workers.lease_s or len(held) < 2:
            return []
        most = max(sorted(held), key=lambda label: held[label])
        least = min(sorted(held), key=lambda label: held[label])
        gap = held[most] - held[least]
        movable = [team for team, label in owners.items() if label == most and load[team] < gap]
        if sum(label == most for label in owners.values()) < 2 or not movable:
            return []
        # The shard that leaves the two most alike.
        team = min(sorted(movable), key=lambda team: abs(gap - 2 * load[team]))
        if abs(gap - 2 * load[team]) > 0.7 * gap:
            return []
        self.moved_shard_at = now
        return [MoveShard(team, least)]

    def _returns(
        self,
        unassigned_machines: dict[str, MachineView],
        idle: dict[str, tuple[MachineView, float]],
        resource_requests: list[tuple[str, ResourceRequest]],
        now: float,
    ) -> list[Decision]:
        out: list[Decision] = []
        wanted: dict[tuple[str, str, bool], bool] = {}
        for machine, idle_s in idle.values():
            shape = self.catalog[machine.type]
            # Kept as long as the next job would save by it: a boot's time, less the dearer it stands idle.
            share = 1.5 if machine.spot else 0.5 + shape.spot_price / (2 * shape.price)
            keep_s = self.renting.idle_boots * shape.boot_s * share
            if idle_s <= keep_s:
                continue
            kind = (machine.type, machine.zone, machine.spot)
            if kind not in wanted:
                wanted[kind] = any(
                    self._suits(request, *kind)
                    and (machine.spot or not (request.idle and self._cheap(request)))
                    for _, request in resource_requests
                )
            if not wanted[kind]:
                out.append(AssignMachine(machine.shard, machine.name, ""))
                self.sent_back.add(machine.name)
        gone = [
            name
            for name in unassigned_machines
            if now - self.unassigned_since.get(name, now)
            > (self.settle_s / 8 if name in self.sent_back else self.settle_s)
        ]
        if gone:
            out.append(ScaleIn(gone[:100]))
        return out
