"""One controller: membership, the shards it owns, the leader's seat, and the doors to the outside."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections import Counter
from typing import Any

from ashdock.admission.control import Admission
from ashdock.admission.shares import Use
from ashdock.cancellation.broadcaster import CancellationBroadcaster
from ashdock.cancellation.orphan_leases import OrphanLeaseRenewer
from ashdock.cluster_version import ClusterVersion
from ashdock.core.job import spec_of_record
from ashdock.core.shard import Shard
from ashdock.core.status_reporter import Rebalance, Reclaim, ShardStatus
from ashdock.core.write_limits import WriteLimits
from ashdock.election.election import Election
from ashdock.election.elector import LeaderElector
from ashdock.election.fencing import TermFence
from ashdock.fairness.load_shedder import HeartbeatLag, LoadShedder, PeerLoad
from ashdock.front import Front, refused, use_of
from ashdock.heartbeat_forwarder import HeartbeatForwarder
from ashdock.leader import Leader
from ashdock.machine_type_catalog import MachineTypeCatalog
from ashdock.membership import Membership
from ashdock.net.cloud import CloudClient, CloudError
from ashdock.net.http import Answer, Server
from ashdock.net.mesh import Mesh
from ashdock.net.rate_limiter import Demand
from ashdock.net.store import (
    CompareFailedError,
    LeaseLostError,
    StoreClient,
    StoreUnavailableError,
    WatchCache,
)
from ashdock.net.worker import WorkerClient
from ashdock.settings import Settings, Team, address
from ashdock.shard_owner import OwnershipPhase, ShardOwner
from ashdock.timelines import StartupTimeline
from ashdock.wire.frames import (
    CancelledJobs,
    FencedCommand,
    ForwardedHeartbeat,
    ForwardReply,
    Frame,
    OwnershipClaims,
    PeerHeartbeat,
    PriorityInheritance,
    ReclaimsInProgress,
    ShardCommand,
    TaskCounts,
    TransferMachine,
    TransferShard,
    WatermarkEcho,
)
from ashdock.wire.messages import MachineType

log = logging.getLogger("ashdock.controller")

COUNTS_AT_ONCE = 2000  # jobs to a frame: far below its limit, whatever their names


class Controller:
    def __init__(self, settings: Settings, rng: random.Random | None = None) -> None:
        self.settings = settings
        self.shared = settings.settings
        self.workers = self.shared.workers
        self.label = settings.label
        self.others = settings.others
        self.operators = settings.operators
        self.rng = rng or random.Random()
        # One clock for all that is kept: the time of day at the start, carried on by the steady clock.
        self.offset = time.time() - time.monotonic()
        self.ttl_s = max(self.workers.lease_s / 6, 1.0)
        self.tick_s = min(self.workers.report_s / 4, self.ttl_s / 8)
        self.gather_s = self.tick_s / 16
        self.write_limits = WriteLimits(self.shared.state)
        self.cluster_version = ClusterVersion(self)
        weights = settings.operators.fairness.weights
        self.admission = Admission(self.shared, len(settings.others), weights)
        places = self.admission.shares.certain
        self.store = StoreClient(
            *address(settings.outside.state, "outside.state"),
            self.shared,
            self.write_limits,
            places[Use.STATE],
            weights,
        )
        self.cloud = CloudClient(
            *address(settings.outside.cloud, "outside.cloud"), self.shared, places[Use.CLOUD]
        )
        self.worker_client = WorkerClient(
            self.workers.lease_s / 5, 10 * self.workers.report_s, places[Use.ORDERS]
        )
        peers = [(other.label, *address(other.endpoint, "others")) for other in settings.others]
        self.mesh = Mesh(
            self.label,
            peers,
            self._on_frame,
            beat_s=self.ttl_s / 5,
            on_link=lambda label: self.cancellations.watermark.linked(label),
        )
        self.cancellations: CancellationBroadcaster = CancellationBroadcaster(self)
        self.machines = WatchCache(self.store, "machine/")
        self.shards = WatchCache(self.store, "part/")
        self.members = WatchCache(self.store, "member/")
        self.leaders = WatchCache(self.store, "leader")
        # Asked anew often enough that at the beginning of an outage we know how jobs stood a moment before.
        self.jobs = WatchCache(
            self.store,
            "job/",
            keep=False,
            hold_ms=int(1000 * (self.workers.cancel_s - self.workers.lease_s) / 8),
        )
        self.heartbeat_lag = HeartbeatLag(self.mesh.beat_s)
        self.load_shedder = LoadShedder(self.mesh.beat_s, 2 * self.workers.lease_s)
        self.catalog: dict[str, MachineType] = {}
        self.machine_type_catalog = MachineTypeCatalog(self)
        self.owners: dict[str, ShardOwner] = {}
        self.intent_count = 0  # counted over all our reigns, since names are never reused
        self.incarnation = self.rng.getrandbits(48)
        election = Election("machines", "leader", self.label, self.incarnation)
        self.elector: LeaderElector[Leader] = LeaderElector(
            self,
            election,
            self.leaders,
            lambda election: Leader(self, election),
            settings.operators.duties.machines,
            2 * self.workers.lease_s,
        )
        self.terms = TermFence()
        self.election_changed = (
            asyncio.Event()
        )  # something has changed that the seats may follow from
        self.remote_statuses: dict[str, tuple[float, ShardStatus]] = {}
        self.remote_reclaims: dict[str, tuple[float, ReclaimsInProgress]] = {}
        self.remote_counts: dict[str, dict[str, tuple[int, int]]] = {}
        self.heartbeat_forwarder = HeartbeatForwarder(self)
        self.inheritance_sent: set[str] = set()  # parts whose jobs need others', as last told
        self.last_report = self.started = time.monotonic()
        self.startup_timeline = StartupTimeline(self.started)
        self.membership = Membership(self, self.workers.lease_s)
        self.orphan_leases = OrphanLeaseRenewer(
            self.workers,
            self.jobs,
            lambda job: self.front.is_withdrawn(job),
            self.cancellations.watermark,
        )
        self.front: Front = Front(self)
        admission = self.admission
        self.server = Server(
            self.front.handle,
            admission.connections,
            use_of,
            self._no_place,
            admission,
            self._no_memory,
            admission.memory.buffer,
        )
        self.background: set[asyncio.Task[Any]] = set()

    # -- what the parts of a controller ask of one another ------------------------------------------------

    @property
    def leader(self) -> Leader | None:
        return self.elector.work

    def names_successor(self) -> bool:
        return self.cluster_version.fences_commands

    def load(self) -> dict[str, int]:
        """How many machines the shards of each controller hold."""
        held = Counter(entry.value["p"] for entry in self.machines.entries.values())
        out: Counter[str] = Counter()
        for team in self.shared.teams:
            out[self.owner_label(team.name) or ""] += held[team.name] + 1
        return out

    def heard_worker(self) -> None:
        self.last_report = time.monotonic()

    @property
    def jobs_known(self) -> Front:
        return self.front

    def broadcast_cancellation(self, job_id: str, team: str, revision: int, at: float) -> None:
        self.cancellations.tell(job_id, team, revision, at)

    def owned_shard_count(self) -> int:
        return len(self.owners)

    def let_go(self, owner: ShardOwner) -> None:
        if self.owners.get(owner.team.name) is owner:
            del self.owners[owner.team.name]

    def metrics(self) -> Answer:
        from ashdock.net import (
            metrics,
        )  # with the first request for it: it costs start-up time and memory

        return Answer(200, metrics.page(self), content_type=metrics.CONTENT_TYPE)

    def now(self) -> float:
        return time.monotonic() + self.offset

    # -- life --------------------------------------------------------------------------------------------

    async def run(self) -> None:
        self.machines.on_change(self._machine_changed)
        self.jobs.on_change(self.jobs_seen)
        self.jobs.on_gap = self._missed_jobs
        self.leaders.on_change(self._leader_key_changed)
        await self.server.start(*address(self.settings.bind, "bind"))
        await self.mesh.start(*address(self.settings.mesh_addr, "mesh_addr"))
        log.info(
            "controller %s in %s listens on %s", self.label, self.settings.area, self.settings.bind
        )
        loops = [
            self.membership.keep,
            self._ownership,
            self._gossip,
            self.machine_type_catalog.learn,
            self.cluster_version.look,
            self._pace,
            self._run_election,
        ]
        tasks = [
            asyncio.create_task(replica.run())
            for replica in (self.machines, self.shards, self.members, self.leaders, self.jobs)
        ]
        tasks += [asyncio.create_task(self._forever(loop)) for loop in loops]
        try:
            await asyncio.gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()
            self.elector.lose("it ends")
            for owner in list(self.owners.values()):
                owner.task.cancel()
            await self.mesh.stop()
            await self.server.stop()

    async def _forever(self, loop: Any) -> None:
        while True:
            try:
                pause: float | None = await loop()
                if pause is None:
                    return
                await asyncio.sleep(pause)
            except (StoreUnavailableError, CloudError, CompareFailedError) as why:
                log.debug("%s: %s", loop.__name__, why)
                await asyncio.sleep(self.tick_s)
            except Exception:
                log.exception("%s", loop.__name__)
                await asyncio.sleep(self.tick_s * 2)

    def spawn(self, job: Any) -> None:
        task = asyncio.create_task(job)
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    async def _pace(self) -> float | None:
        """How late a timer fires is how far we are behind."""
        due = time.monotonic()
        while True:
            due += self.tick_s / 2
            await asyncio.sleep(max(due - time.monotonic(), 0.0))
            now = time.monotonic()
            self.admission.tick(now - due, now)
            due = max(due, now)

    def _no_place(self) -> Answer:
        return refused(self.admission.no_place(time.monotonic()))

    def _no_memory(self) -> Answer:
        return refused(self.admission.no_memory(time.monotonic()))

    # -- how well we are connected ---------------------------------------------------------------------------

    def state_fresh(self) -> bool:
        return self.store.bad_since is None and self.store.silent_for < self.ttl_s

    def may_renew(self, read_at: float) -> bool:
        """Whether running work of a shard that was read at `read_at` may be kept alive: what could have been cancelled without our
        knowledge will be gone in time all the same."""
        return self.cancellations.watermark.may_renew(
            max(read_at, self.jobs.known_at), time.monotonic()
        )

    def cancellations_age(self) -> float:
        now = time.monotonic()
        return now - self.cancellations.watermark.known_until(self.jobs.known_at, now)

    def alone_without_state(self) -> bool:
        """Others are served, or may be: users had better ask them. Where nobody is heard either we are most likely cut off; one that went on
        taking users then answered none of their questions for as long as that lasted, and their connections stayed."""
        silent = self.store.silent_for
        if silent < self.ttl_s / 2:
            return False
        beats = [
            peer.beat
            for peer in self.mesh.peers.values()
            if peer.beat is not None and peer.heard_within(self.ttl_s)
        ]
        if not beats:
            return bool(self.mesh.peers) and silent > self.ttl_s
        return any(beat.state_age < self.ttl_s / 2 for beat in beats)

    def cut_off(self) -> bool:
        """Only the state service is left to us: no other controller is heard, and no worker. Others had better own our shards."""
        quiet = max(2 * self.workers.report_s, self.ttl_s)
        if not self.mesh.peers or any(
            peer.heard_within(quiet) for peer in self.mesh.peers.values()
        ):
            return False
        return time.monotonic() - max(self.last_report, self.started) > quiet

    def ready(self) -> bool:
        # One that keeps ending is ready while it lives: without it too few were, and users found none (edge: 0.92 -> 0.84 in time).
        connected = self.may_serve() or not self.cut_off()
        return (
            bool(self.catalog)
            and self.shards.ready.is_set()
            and connected
            and not self.alone_without_state()
        )

    # -- membership and leadership -----------------------------------------------------------------------------

    @property
    def hold(self) -> int | None:
        return self.membership.hold

    @property
    def hold_began(self) -> float:
        return self.membership.began

    def fit_members(self) -> list[str]:
        return self.membership.fit_members()

    def may_serve(self) -> bool:
        return self.membership.may_serve()

    def renewed(self) -> None:
        self.election_changed.set()

    def doubted(self) -> None:
        self.elector.doubt()

    def membership_lost(self) -> None:
        self.elector.lose("our membership had ended")

    async def _run_election(self) -> float:
        """Look at them whenever something they rest on has changed, and now and then."""
        try:
            async with asyncio.timeout(self.ttl_s / 8):
                await self.election_changed.wait()
        except TimeoutError:
            pass
        self.election_changed.clear()
        if self.catalog:
            try:
                await self.elector.tend()
            except LeaseLostError:
                self.membership.lost()
        return 0.0

    def _leader_key_changed(self, path: str, value: Any, revision: int) -> None:
        self.election_changed.set()
        if value is not None and path == "leader":
            self.terms.saw(revision)
            # It chooses nothing before it has heard of every shard, and would hear with our next beat.
            for shard in self._active_shards():
                self._send_shard_status(shard)

    def leader_label(self) -> str | None:
        entry = self.leaders.entries.get("leader")
        return entry.value["label"] if entry else None

    # -- ownership ---------------------------------------------------------------------------------------------------

    def others_may_return(self) -> bool:
        return time.monotonic() - self.started < self.ttl_s / 2

    def _active_shards(self) -> list[Shard]:
        """The shards owned here that have been read."""
        return [
            owner.shard
            for owner in self.owners.values()
            if owner.phase is OwnershipPhase.ACTIVE and owner.shard
        ]

    def owner_label(self, team: str) -> str | None:
        entry = self.shards.entries.get(f"part/{team}")
        return entry.value["owner"] if entry else None

    def token_of(self, machine: str) -> int:
        """The token under which its owner acts, as far as the records have come through to us."""
        entry = self.machines.entries.get(f"machine/{machine}")
        shard = self.shards.entries.get(f"part/{entry.value['p']}") if entry else None
        return max(entry.revision, shard.revision) if entry and shard else 1 << 64

    async def _ownership(self) -> float:
        # The jobs too: a shard read before their watch has begun would miss what is accepted in between.
        replicas = (self.shards, self.members, self.machines, self.jobs)
        if not (
            self.catalog
            and self.cluster_version.looked
            and all(replica.ready.is_set() for replica in replicas)
        ):
            return self.tick_s / 4
        if self.hold is None or time.monotonic() > self.membership.until:
            return self.tick_s
        self.startup_timeline.learnt(time.monotonic())
        alive = {*self.fit_members(), *([self.label] if self.may_serve() else [])} or {self.label}
        load = dict.fromkeys(sorted(alive), 0)
        orphans: list[Team] = []
        for team in self.shared.teams:
            owner = self.owner_label(team.name)
            if owner in load:
                load[owner] += 1
            else:
                orphans.append(team)
        heirs: dict[str, str] = {}
        # Where all have ended together, the first one back used to take every shard a moment before their owners were
        # back: just started, we leave those of others a little time.
        if self.others_may_return():
            orphans = [
                team for team in orphans if self.owner_label(team.name) in (None, self.label)
            ]
        for team in orphans:
            heir = min(load, key=lambda label: (load[label], label))
            load[heir] += 1
            heirs[team.name] = heir
        for team in self.shared.teams:
            entry = self.shards.entries.get(f"part/{team.name}")
            ours = self.owners.get(team.name)
            if ours is not None:
                claim = ours.shard.revision if ours.shard else 0
                if claim and entry and entry.revision > claim:
                    ours.release(f"claimed by {entry.value['owner']}")
                continue
            # A shard that names us is ours from before a restart: taken back at once.
            if (entry and entry.value["owner"] == self.label and self.may_serve()) or heirs.get(
                team.name
            ) == self.label:
                if self.state_fresh():
                    self.owners[team.name] = ShardOwner(self, team, entry.revision if entry else 0)
        return self.tick_s

    def _machine_changed(self, path: str, value: Any, revision: int) -> None:
        name = path.split("/", 1)[1]
        for owner in list(self.owners.values()):
            if value is None:
                owner.apply(lambda shard: shard.machine_gone(name, self.now()))
            elif value["p"] == owner.team.name:
                owner.apply(lambda shard: shard.add_machine(name, value, revision, self.now()))

    def _missed_jobs(self) -> None:
        """Jobs may have been accepted that we were not told of: our shards are claimed and read again."""
        for owner in list(self.owners.values()):
            owner.release("changes to jobs were missed")

    def jobs_seen(self, path: str, value: Any, revision: int) -> None:
        """`job/<id>` changed: new, withdrawn, done, or with a reason."""
        if value is None:
            return
        job_id = path.split("/", 1)[1]
        self.front.saw(job_id, value, revision)
        team = spec_of_record(value).team
        owner = self.owners.get(team)
        status = value["status"]
        if status == "withdrawn":
            self.cancelled(job_id, team, revision, value.get("cancelled_at", self.now()))
        elif owner is not None and status == "queued":
            owner.apply(lambda shard: self._job_news(shard, job_id, value, revision))
        if status != "queued":
            self.settled(job_id, status, value.get("done_at"))

    def cancelled(self, job_id: str, team: str, revision: int, at: float) -> None:
        owner = self.owners.get(team)
        if owner is not None:
            owner.apply(lambda shard: shard.cancel(job_id, at, revision, self.now()))

    def settled(self, job_id: str, status: str, done_at: float | None) -> None:
        for owner in list(self.owners.values()):
            if owner.waits_for(job_id):
                owner.apply(
                    lambda shard: shard.dependency_tracker.settled(
                        job_id, status, done_at, self.now()
                    )
                )

    def _job_news(self, shard: Shard, job_id: str, value: Any, revision: int) -> None:
        if job_id not in shard.jobs and not self.front.is_final(job_id):
            shard.status_reporter.record_arrival(shard.add_job(value, revision), self.now())

    # -- the mesh ------------------------------------------------------------------------------------------------------------

    async def _gossip(self) -> float:
        now = time.monotonic()
        self.heartbeat_lag.beat(now)
        self._hand_on(now)
        self._share()
        beat = PeerHeartbeat(
            self.incarnation,
            self.store.silent_for,
            now - self.last_report,
            self.ready(),
            self.leader is not None,
            *self.store.demand,
        )
        self.mesh.broadcast(beat)
        self.cancellations.vouch(now)
        self.send_claims()
        counts: list[tuple[str, int, int]] = []
        for shard in self._active_shards():
            counts += shard.status_reporter.counts()
            self._send_shard_status(shard)
        self._send_inherited_priorities()
        # As many frames as they need; each other controller keeps what it was told of jobs that still count.
        for at in range(0, len(counts), COUNTS_AT_ONCE):
            self.mesh.broadcast(TaskCounts(counts[at : at + COUNTS_AT_ONCE]))
        self.worker_client.sweep()
        return self.mesh.beat_s

    def _hand_on(self, now: float) -> None:
        """Short of the processor for long, with another controller that is not: a shard goes there, as if the leader wished it."""
        ours = {
            team: len(owner.shard.machines) + len(owner.shard.jobs)
            for team, owner in self.owners.items()
            if owner.shard
        }
        fit = set(self.fit_members())
        others = {
            label: PeerLoad(
                peer.heartbeat_lag.gap_s,
                sum(entry.value["owner"] == label for entry in self.shards.entries.values()),
                peer.beat.leader,
            )
            for label, peer in self.mesh.peers.items()
            if label in fit
            and peer.beat is not None
            and peer.beat.ready
            and peer.heard_within(self.ttl_s)
        }
        given = self.load_shedder.hand_on(
            self.heartbeat_lag.gap_s, ours, self.leader is not None, others, now
        )
        if given is not None:
            team, label = given
            log.info(
                "part %s is handed on to controller %s: this one is short of its processor",
                team,
                label,
            )
            self._for_shard(TransferShard(team, label))

    def _send_inherited_priorities(self) -> None:
        """What our shards' jobs make of other shards' jobs that they need: said anew with each beat, as long as there is any."""
        if not self.cluster_version.supports_dependencies:
            return
        for shard in self._active_shards():
            rows = shard.dependency_tracker.graph.abroad(shard.jobs)
            if rows or shard.name in self.inheritance_sent:
                ahead = PriorityInheritance(shard.name, rows[:COUNTS_AT_ONCE])
                self.mesh.broadcast(ahead)
                self._inherit_priorities(ahead)
            (self.inheritance_sent.add if rows else self.inheritance_sent.discard)(shard.name)

    def _inherit_priorities(self, ahead: PriorityInheritance) -> None:
        for team, owner in self.owners.items():
            if team != ahead.shard:
                owner.apply(lambda shard: shard.dependency_tracker.hear(*ahead))

    def send_claims(self) -> None:
        # Once they are read: told at the claim, one that the state service refuses let go of its workers, the reading met an outage, and
        # nobody could answer them (109 tasks on a day of refusals and outages). Until then it can write nothing any more.
        claims = [(shard.name, shard.revision) for shard in self._active_shards()]
        if claims:
            self.mesh.broadcast(OwnershipClaims(claims))

    def _claims_received(self, label: str, claims: OwnershipClaims) -> None:
        """A claim that the state service did not tell us of. One controller that it refused alone went on answering
        the workers of a shard that had gone to another; that one heard none of them and gave up their machines."""
        for team, revision in claims.shards:
            path = f"part/{team}"
            known = self.shards.entries.get(path)
            if known is None or known.revision < revision:
                self.shards.wrote(path, {"owner": label}, revision)
            ours = self.owners.get(team)
            if ours is not None and ours.shard and ours.shard.revision < revision:
                ours.release(f"claimed by {label}, as the mesh tells")

    def _share(self) -> None:
        """Divide what the state service takes among those that live, by what each asks."""
        others: list[Demand | None] = []
        for peer in self.mesh.peers.values():
            if peer.beat is not None and peer.heard_within(self.ttl_s):
                others.append(Demand(peer.beat.requests, peer.beat.writes))
            elif f"member/{peer.label}" in self.members.entries or not self.members.ready.is_set():
                others.append(None)
        self.store.share_with(others)

    def tell_leader(self, shard: Shard) -> None:
        """At once when a shard comes to lack something; what it no longer lacks can wait for the next beat."""
        if shard.resource_requests and not shard.lacked_room_before:
            self._send_shard_status(shard)
        shard.lacked_room_before = bool(shard.resource_requests)

    def _send_shard_status(self, shard: Shard) -> None:
        leader = self.leader_label()
        if not leader or leader == self.label:
            return
        self.mesh.send(leader, shard.status_reporter.shard_status(self.now()))
        leaving = shard.status_reporter.leaving() if self.cluster_version.fences_commands else []
        if leaving:
            self.mesh.send(leader, ReclaimsInProgress(shard.name, leaving))

    def leaving(self) -> list[tuple[str, str]]:
        """What is being vacated in all parts, as far as we were told of late."""
        now = time.monotonic()
        out = [
            row
            for at, frame in self.remote_reclaims.values()
            if now - at < self.mesh.beat_s * 2
            for row in frame.machines
        ]
        for shard in self._active_shards():
            out += shard.status_reporter.leaving()
        return out

    def shard_statuses(self) -> dict[str, ShardStatus]:
        now = time.monotonic()
        out = {
            team: shard_status
            for team, (at, shard_status) in self.remote_statuses.items()
            if now - at < self.ttl_s
        }
        for shard in self._active_shards():
            out[shard.name] = shard.status_reporter.shard_status(self.now())
        return out

    def to_owner(self, team: str, word: ShardCommand, term: int) -> None:
        """What the holder of the machines' duty asks, under its term."""
        label = self.owner_label(team)
        if team in self.owners:
            self._command_received(term, word)
        elif label:
            self.mesh.send(
                label, FencedCommand(term, word) if self.cluster_version.fences_commands else word
            )

    def _command_received(self, term: int, word: ShardCommand) -> None:
        """Refused if a later holder is known: a loan that one decided before it stood still reached the owner after its successor's."""
        if self.terms.admit(term):
            self._for_shard(word)
        else:
            log.info(
                "a %s of term %d is refused: term %d is known",
                type(word).__name__,
                term,
                self.terms.highest,
            )

    def _for_shard(self, frame: ShardCommand) -> None:
        owner = self.owners.get(frame.shard)
        if owner is None:
            return
        if isinstance(frame, TransferMachine):
            owner.apply(
                lambda shard: shard.status_reporter.transfer_machine(frame.machine, frame.to)
            )
        elif isinstance(frame, Rebalance):
            owner.apply(lambda shard: shard.status_reporter.rebalance(frame, self.now()))
        elif isinstance(frame, TransferShard):
            owner.transfer_to = frame.to
            owner.wake.set()
        else:
            owner.apply(lambda shard: shard.status_reporter.reclaim(frame, self.now()))

    def _on_frame(self, label: str, frame: Frame) -> None:
        match frame:
            case ShardStatus():
                self.remote_statuses[frame.team] = (time.monotonic(), frame)
            case ReclaimsInProgress():
                self.remote_reclaims[frame.shard] = (time.monotonic(), frame)
            case FencedCommand(term, word):
                self._command_received(term, word)
            case TransferMachine() | Reclaim() | TransferShard() | Rebalance():
                if not self.cluster_version.fences_commands:
                    self._for_shard(frame)
            case OwnershipClaims():
                self._claims_received(label, frame)
            case PriorityInheritance():
                self._inherit_priorities(frame)
            case TaskCounts(jobs):
                known = self.remote_counts.setdefault(label, {})
                if len(known) > 20 * COUNTS_AT_ONCE:
                    known.clear()  # jobs long over: the next beat names all that are not
                known.update((job, (done, running)) for job, done, running in jobs)
            case CancelledJobs():
                self.cancellations.heard(frame)
            case WatermarkEcho():
                self.cancellations.echo_received(label, frame)
            case ForwardedHeartbeat():
                self.heartbeat_forwarder.heard(label, frame)
            case ForwardReply():
                self.heartbeat_forwarder.answered(frame)
            case _:
                pass

    async def relay(self, label: str, body: bytes) -> ForwardReply | None:
        return await self.heartbeat_forwarder.relay(label, body)

    def counts(self, team: str, job: str) -> tuple[int, int]:
        owner = self.owners.get(team)
        if owner and owner.shard and job in owner.shard.jobs:
            here = owner.shard.jobs[job]
            return here.done, here.running
        label = self.owner_label(team)
        return self.remote_counts.get(label or "", {}).get(job, (0, 0))
