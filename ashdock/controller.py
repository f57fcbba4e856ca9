"""One controller: membership, the shards it owns, the leader's seat, and the doors to the outside."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from typing import get_args

from ashdock.admission.control import Admission
from ashdock.admission.shares import Use
from ashdock.background_tasks import BackgroundTasks, TimerLateness, run_periodically
from ashdock.cancellation.broadcaster import CancellationBroadcaster
from ashdock.cancellation.orphan_leases import OrphanLeaseRenewer
from ashdock.cluster_state import ClusterState
from ashdock.cluster_version import ClusterVersion
from ashdock.connectivity import Connectivity, Readiness
from ashdock.core.status_reporter import ShardStatus
from ashdock.core.write_limits import WriteLimits
from ashdock.election.election import Election
from ashdock.election.elector import LeaderElector
from ashdock.election.fencing import TermFence
from ashdock.election_loop import ElectionLoop
from ashdock.frame_dispatch import FrameDispatcher
from ashdock.front import Front, refused, use_of
from ashdock.gossip import (
    Gossip,
    HeartbeatSource,
    OwnerGossip,
    StoreLimitSharing,
)
from ashdock.heartbeat_forwarder import HeartbeatForwarder
from ashdock.leader import Leader
from ashdock.load_handover import LoadHandover
from ashdock.machine_type_catalog import MachineTypeCatalog
from ashdock.membership import Membership
from ashdock.net.cloud import CloudClient
from ashdock.net.http import Answer, Server
from ashdock.net.mesh import Mesh
from ashdock.net.store import StoreClient
from ashdock.net.worker import WorkerClient
from ashdock.peer_reports import PeerReports
from ashdock.settings import Settings, address
from ashdock.shard_commands import ShardCommands
from ashdock.shard_owner import ShardOwner
from ashdock.shard_owners import ShardOwners
from ashdock.shard_ownership import ShardOwnership
from ashdock.timelines import StartupTimeline
from ashdock.wire.frames import (
    CancelledJobs,
    FencedCommand,
    ForwardedHeartbeat,
    ForwardReply,
    OwnershipClaims,
    PriorityInheritance,
    ReclaimsInProgress,
    ShardCommand,
    TaskCounts,
    WatermarkEcho,
)
from ashdock.wire.messages import MachineType

log = logging.getLogger("ashdock.controller")


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
        self.background_tasks = BackgroundTasks()
        self.background = self.background_tasks.tasks
        self.spawn = self.background_tasks.spawn
        self.timer_lateness = TimerLateness(self.admission, self.tick_s / 2)
        self.frame_dispatcher = FrameDispatcher()
        self.mesh = Mesh(
            self.label,
            peers,
            self.frame_dispatcher.dispatch,
            beat_s=self.ttl_s / 5,
            on_link=lambda label: self.cancellations.watermark.linked(label),
        )
        self.cancellations: CancellationBroadcaster = CancellationBroadcaster(self)
        self.cluster = ClusterState(self.store, self.workers, self.shared.teams)
        self.machines = self.cluster.machines
        self.shards = self.cluster.shards
        self.members = self.cluster.members
        self.leaders = self.cluster.leaders
        self.jobs = self.cluster.jobs
        self.owner_label = self.cluster.owner_label
        self.leader_label = self.cluster.leader_label
        self.token_of = self.cluster.token_of
        self.load = self.cluster.load
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
        self.heartbeat_forwarder = HeartbeatForwarder(self)
        self.connectivity = Connectivity(
            self.store, self.mesh, ttl_s=self.ttl_s, heartbeat_s=self.workers.report_s
        )
        self.state_fresh = self.connectivity.state_fresh
        self.cut_off = self.connectivity.cut_off
        self.heard_worker = self.connectivity.worker_heard
        self.startup_timeline = StartupTimeline(self.connectivity.started)
        self.membership = Membership(self, self.workers.lease_s)
        self.readiness = Readiness(
            self.connectivity,
            may_serve=self.membership.may_serve,
            catalog=self.catalog,
            shards_known=self.shards.ready,
        )
        self.ready = self.readiness.ready
        self.orphan_leases = OrphanLeaseRenewer(
            self.workers,
            self.jobs,
            lambda job: self.front.is_withdrawn(job),
            self.cancellations.watermark,
        )
        self.front: Front = Front(self)
        self.shard_owners = ShardOwners(
            label=self.label,
            table=self.owners,
            create=lambda team, revision: ShardOwner(self, team, revision),
            shards=self.shards,
            job_memory=self.front,
            now=self.now,
        )
        self.owned_shard_count = self.shard_owners.count
        self.let_go = self.shard_owners.let_go
        self.jobs_seen = self.shard_owners.job_changed
        self.cancelled = self.shard_owners.job_cancelled
        self.settled = self.shard_owners.job_settled
        self.shard_ownership = ShardOwnership(
            tick_s=self.tick_s,
            cluster=self.cluster,
            owners=self.shard_owners,
            membership=self.membership,
            connectivity=self.connectivity,
            startup_timeline=self.startup_timeline,
            prepared=lambda: bool(self.catalog) and self.cluster_version.looked,
        )
        self.shard_commands = ShardCommands(
            owners=self.shard_owners,
            cluster=self.cluster,
            cluster_version=self.cluster_version,
            mesh=self.mesh,
            terms=self.terms,
            now=self.now,
        )
        self.to_owner = self.shard_commands.send
        self.load_handover = LoadHandover(
            mesh=self.mesh,
            cluster=self.cluster,
            membership=self.membership,
            commands=self.shard_commands,
            leads=lambda: self.leader is not None,
            ttl_s=self.ttl_s,
            patience_s=2 * self.workers.lease_s,
        )
        self.owner_gossip = OwnerGossip(
            owners=self.shard_owners,
            mesh=self.mesh,
            cluster=self.cluster,
            cluster_version=self.cluster_version,
            now=self.now,
        )
        self.send_claims = self.owner_gossip.send_claims
        self.tell_leader = self.owner_gossip.send_status_if_urgent
        self.gossip = Gossip(
            mesh=self.mesh,
            heartbeats=HeartbeatSource(
                incarnation=self.incarnation,
                store=self.store,
                connectivity=self.connectivity,
                readiness=self.readiness,
                leads=lambda: self.leader is not None,
            ),
            store_limits=StoreLimitSharing(
                store=self.store, mesh=self.mesh, cluster=self.cluster, ttl_s=self.ttl_s
            ),
            cancellations=self.cancellations,
            owner_gossip=self.owner_gossip,
            load_handover=self.load_handover,
            worker_client=self.worker_client,
        )
        self.election_loop = ElectionLoop(
            elector=self.elector,
            membership=self.membership,
            terms=self.terms,
            period_s=self.ttl_s / 8,
            may_lead=lambda: bool(self.catalog),
            send_statuses=self.owner_gossip.send_statuses,
        )
        self.peer_reports = PeerReports(
            owners=self.shard_owners,
            cluster=self.cluster,
            beat_s=self.mesh.beat_s,
            ttl_s=self.ttl_s,
            now=self.now,
        )
        self.shard_statuses = self.peer_reports.shard_statuses
        self.leaving = self.peer_reports.leaving
        self.counts = self.peer_reports.task_counts
        self._register_frame_handlers()
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

    def _register_frame_handlers(self) -> None:
        register = self.frame_dispatcher.register
        register(ShardStatus, self.peer_reports.status_received)
        register(ReclaimsInProgress, self.peer_reports.reclaims_received)
        register(TaskCounts, self.peer_reports.counts_received)
        register(FencedCommand, self.shard_commands.fenced_received)
        for command in get_args(ShardCommand):
            register(command, self.shard_commands.unfenced_received)
        register(OwnershipClaims, self.shard_owners.claims_received)
        register(
            PriorityInheritance, lambda _label, frame: self.shard_owners.inherit_priorities(frame)
        )
        register(CancelledJobs, lambda _label, frame: self.cancellations.heard(frame))
        register(WatermarkEcho, self.cancellations.echo_received)
        register(ForwardedHeartbeat, self.heartbeat_forwarder.heard)
        register(ForwardReply, lambda _label, frame: self.heartbeat_forwarder.answered(frame))

    # -- what the parts of a controller ask of one another ------------------------------------------------

    @property
    def leader(self) -> Leader | None:
        return self.elector.work

    def names_successor(self) -> bool:
        return self.cluster_version.fences_commands

    @property
    def jobs_known(self) -> Front:
        return self.front

    def broadcast_cancellation(self, job_id: str, team: str, revision: int, at: float) -> None:
        self.cancellations.tell(job_id, team, revision, at)

    def metrics(self) -> Answer:
        from ashdock.net import (
            metrics,
        )  # with the first request for it: it costs start-up time and memory

        return Answer(200, metrics.page(self), content_type=metrics.CONTENT_TYPE)

    def now(self) -> float:
        return time.monotonic() + self.offset

    # -- life --------------------------------------------------------------------------------------------

    async def run(self) -> None:
        self.machines.on_change(self.shard_owners.machine_changed)
        self.jobs.on_change(self.shard_owners.job_changed)
        self.jobs.on_gap = self.shard_owners.job_changes_missed
        self.leaders.on_change(self.election_loop.leader_key_changed)
        await self.server.start(*address(self.settings.bind, "bind"))
        await self.mesh.start(*address(self.settings.mesh_addr, "mesh_addr"))
        log.info(
            "controller %s in %s listens on %s", self.label, self.settings.area, self.settings.bind
        )
        loops = [
            self.membership.keep,
            self.shard_ownership.run_once,
            self.gossip.beat,
            self.machine_type_catalog.learn,
            self.cluster_version.look,
            self.timer_lateness.run,
            self.election_loop.run_once,
        ]
        tasks = [asyncio.create_task(cache.run()) for cache in self.cluster.caches]
        tasks += [asyncio.create_task(run_periodically(loop, self.tick_s)) for loop in loops]
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

    def _no_place(self) -> Answer:
        return refused(self.admission.no_place(time.monotonic()))

    def _no_memory(self) -> Answer:
        return refused(self.admission.no_memory(time.monotonic()))

    # -- how well we are connected ---------------------------------------------------------------------------

    def may_renew(self, read_at: float) -> bool:
        """Whether running work of a shard that was read at `read_at` may be kept alive: what could have been cancelled without our
        knowledge will be gone in time all the same."""
        return self.cancellations.watermark.may_renew(
            max(read_at, self.jobs.known_at), time.monotonic()
        )

    def cancellations_age(self) -> float:
        now = time.monotonic()
        return now - self.cancellations.watermark.known_until(self.jobs.known_at, now)

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
        self.election_loop.wake()

    def doubted(self) -> None:
        self.elector.doubt()

    def membership_lost(self) -> None:
        self.elector.lose("our membership had ended")

    # -- the mesh ------------------------------------------------------------------------------------------------------------

    async def relay(self, label: str, body: bytes) -> ForwardReply | None:
        return await self.heartbeat_forwarder.relay(label, body)
