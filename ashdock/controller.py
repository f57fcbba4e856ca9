"""Composition root of a controller: builds its components, connects them and runs them."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from typing import get_args

from ashdock.admission.control import Admission
from ashdock.admission.shares import SocketUse
from ashdock.background_tasks import BackgroundTasks, TimerLateness, run_periodically
from ashdock.cancellation.broadcaster import CancellationBroadcaster
from ashdock.cancellation.knowledge import CancellationKnowledge
from ashdock.cancellation.orphan_leases import OrphanLeaseRenewer
from ashdock.clock import MonotonicWallClock
from ashdock.cluster_state import ClusterState
from ashdock.cluster_version import ClusterVersion
from ashdock.connectivity import Connectivity, Readiness
from ashdock.core.shard_status import ShardStatus
from ashdock.core.write_limits import WriteLimits
from ashdock.due_writes import DueWrites
from ashdock.election.election import Election
from ashdock.election.elector import LeaderElector
from ashdock.election.fencing import TermFence
from ashdock.election_loop import ElectionLoop
from ashdock.frame_dispatch import FrameDispatcher
from ashdock.front import Front, refusal_response, socket_use_of
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
from ashdock.net.http import Response, Server
from ashdock.net.mesh import Mesh, PeerAddress
from ashdock.net.store import StoreClient
from ashdock.net.worker import WorkerClient
from ashdock.peer_reports import PeerReports
from ashdock.settings import Settings, parse_address
from ashdock.shard_commands import ShardCommands
from ashdock.shard_owner import ShardOwner
from ashdock.shard_owners import ShardOwners
from ashdock.shard_ownership import ShardOwnership
from ashdock.timelines import StartupTimeline
from ashdock.wire.messages import MachineType
from ashdock.wire.peer_messages import (
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

log = logging.getLogger("ashdock.controller")


# The TTL is the lifetime of the membership's store lease. A tick is the usual pause of a loop
# before it checks again what is due.
MIN_TTL_S = 1.0
TTLS_PER_WORKER_LEASE = 6  # a failed controller is replaced well before its workers' leases expire
PEER_HEARTBEATS_PER_TTL = 5
ELECTION_CHECKS_PER_TTL = 8
MIN_TICKS_PER_TTL = 8
MIN_TICKS_PER_WORKER_HEARTBEAT = 4
LATENESS_TIMERS_PER_TICK = 2
WRITE_DELAYS_PER_TICK = 16  # a shard owner waits one such delay for more changes to write together
COMMAND_TIMEOUTS_PER_WORKER_LEASE = 5
# Worker heartbeat periods after which an unused connection to a worker is closed.
IDLE_CONNECTION_HEARTBEATS = 10
# Minimum time before leadership or, to shed load, a shard is transferred voluntarily, and between
# two such transfers.
TRANSFER_INTERVAL_WORKER_LEASES = 2
INCARNATION_BITS = 48


class Controller:
    """One controller, built from its settings.

    Components use the controller as their `context`, through a protocol that lists the attributes
    they need. Such attributes are bound here directly to the methods of the components that provide
    them, which saves a call for each use.
    """

    def __init__(self, settings: Settings, rng: random.Random | None = None) -> None:
        """Build and connect all components; nothing runs before `run`.

        Args:
            settings: Settings of this controller.
            rng: Source of all random choices. Components draw from it while they are built, so the
                order in which they are built determines the choices.
        """
        self.settings = settings
        self.shared = settings.settings
        self.workers = self.shared.workers
        self.label = settings.label
        self.others = settings.others
        self.operators = settings.operators
        self.rng = rng or random.Random()
        self.clock = MonotonicWallClock()
        self.now = self.clock.now
        self.ttl_s = max(self.workers.lease_s / TTLS_PER_WORKER_LEASE, MIN_TTL_S)
        self.tick_s = min(
            self.workers.report_s / MIN_TICKS_PER_WORKER_HEARTBEAT, self.ttl_s / MIN_TICKS_PER_TTL
        )
        self.batching_delay_s = self.tick_s / WRITE_DELAYS_PER_TICK
        self.catalog: dict[str, MachineType] = {}
        self.owners: dict[str, ShardOwner] = {}
        # Counts over all terms that this process leads: names of provisioning intents are never
        # reused.
        self.intent_count = 0
        self._build_clients()
        self._build_mesh()
        self._build_cluster_state()
        self._build_election()
        self._build_membership()
        self._build_front()
        self._build_shard_ownership()
        self._build_gossip()
        self._build_election_loop()
        self._build_peer_reports()
        self._register_frame_handlers()
        self._build_server()

    @property
    def leader(self) -> Leader | None:
        """The running leader; None while this controller does not lead."""
        return self.elector.leader_work

    def leads(self) -> bool:
        """Whether this controller leads."""
        return self.leader is not None

    @property
    def store_lease(self) -> int | None:
        """Id of the membership's store lease; None while there is none."""
        return self.membership.store_lease

    @property
    def lease_renewed_at(self) -> float:
        """Monotonic time at which the last successful renewal of that store lease was sent."""
        return self.membership.lease_renewed_at

    def can_name_successor(self) -> bool:
        """Whether all controllers support a leader that names its successor."""
        return self.cluster_version.fences_commands

    def lease_renewed(self) -> None:
        """Wake the election loop after a renewal of the membership."""
        self.election_loop.wake()

    def membership_lost(self) -> None:
        """Stop leading, since leadership depends on the membership's store lease."""
        self.elector.stop_leading("the membership was lost")

    def metrics(self) -> Response:
        """Return the metrics page."""
        # Imported at the first request, since the import costs startup time and memory.
        from ashdock.net import metrics

        return Response(200, metrics.page(self), content_type=metrics.CONTENT_TYPE)

    async def run(self) -> None:
        """Run all components and serve requests until cancelled."""
        self.machines.on_change(self.shard_owners.machine_changed)
        self.jobs.on_change(self.shard_owners.job_changed)
        self.jobs.on_gap = self.shard_owners.job_changes_missed
        self.leaders.on_change(self.election_loop.leader_key_changed)
        await self.server.start(*parse_address(self.settings.bind, "bind"))
        await self.mesh.start(*parse_address(self.settings.mesh_addr, "mesh_addr"))
        log.info(
            "controller listens: label=%s area=%s bind=%s",
            self.label,
            self.settings.area,
            self.settings.bind,
        )
        steps = [
            self.membership.maintain,
            self.shard_ownership.run_once,
            self.gossip.run_once,
            self.machine_type_catalog.refresh,
            self.cluster_version.negotiate,
            self.timer_lateness.run,
            self.election_loop.run_once,
        ]
        tasks = [asyncio.create_task(cache.run()) for cache in self.cluster.caches]
        tasks += [asyncio.create_task(run_periodically(step, self.tick_s)) for step in steps]
        try:
            await asyncio.gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()
            self.elector.stop_leading("the controller stops")
            for owner in list(self.owners.values()):
                owner.task.cancel()
            await self.mesh.stop()
            await self.server.stop()

    def _build_clients(self) -> None:
        """Build admission control and the clients of the store, the cloud and the workers."""
        settings = self.settings
        self.write_limits = WriteLimits(self.shared.state)
        self.cluster_version = ClusterVersion(self)
        weights = settings.operators.fairness.weights
        self.admission = Admission(self.shared, len(settings.others), weights)
        reserved_sockets = self.admission.shares.reserved
        self.store = StoreClient(
            *parse_address(settings.outside.state, "outside.state"),
            self.shared,
            self.write_limits,
            reserved_sockets[SocketUse.STORE],
            weights,
        )
        self.cloud = CloudClient(
            *parse_address(settings.outside.cloud, "outside.cloud"),
            self.shared,
            reserved_sockets[SocketUse.CLOUD],
        )
        self.worker_client = WorkerClient(
            self.workers.lease_s / COMMAND_TIMEOUTS_PER_WORKER_LEASE,
            IDLE_CONNECTION_HEARTBEATS * self.workers.report_s,
            reserved_sockets[SocketUse.COMMANDS],
        )
        self.background_tasks = BackgroundTasks()
        self.background = self.background_tasks.tasks
        self.spawn = self.background_tasks.spawn
        self.timer_lateness = TimerLateness(self.admission, self.tick_s / LATENESS_TIMERS_PER_TICK)

    def _build_mesh(self) -> None:
        """Build the links to the peers, the cancellation broadcast and heartbeat forwarding."""
        peers = [
            PeerAddress(other.label, *parse_address(other.endpoint, "others"))
            for other in self.settings.others
        ]
        self.frame_dispatcher = FrameDispatcher()
        self.mesh = Mesh(
            self.label,
            peers,
            self.frame_dispatcher.dispatch,
            heartbeat_interval_s=self.ttl_s / PEER_HEARTBEATS_PER_TTL,
            on_link=lambda label: self.cancellations.watermark.link_established(label),
        )
        self.cancellations: CancellationBroadcaster = CancellationBroadcaster(
            self.workers, self.mesh, self.cluster_version, self.rng, self
        )
        self.broadcast_cancellation = self.cancellations.broadcast
        self.heartbeat_forwarder = HeartbeatForwarder(self)
        self.forward_heartbeat = self.heartbeat_forwarder.forward

    def _build_cluster_state(self) -> None:
        """Build the caches of the cluster's state in the store, and what depends on them."""
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
        self.machine_type_catalog = MachineTypeCatalog(self)
        self.cancellation_knowledge = CancellationKnowledge(self.cancellations.watermark, self.jobs)
        self.may_renew = self.cancellation_knowledge.may_renew
        self.cancellations_age = self.cancellation_knowledge.age_s

    def _build_election(self) -> None:
        """Build the leader election and the fence against replaced leaders."""
        self.incarnation = self.rng.getrandbits(INCARNATION_BITS)
        self.elector: LeaderElector[Leader] = LeaderElector(
            self,
            Election("machines", "leader", self.label, self.incarnation),
            self.leaders,
            lambda election: Leader(self, election),
            self.operators.duties.machines,
            TRANSFER_INTERVAL_WORKER_LEASES * self.workers.lease_s,
        )
        self.renewal_failed = self.elector.check_lease
        self.term_fence = TermFence()

    def _build_membership(self) -> None:
        """Build membership, connectivity and readiness."""
        self.connectivity = Connectivity(
            self.store, self.mesh, ttl_s=self.ttl_s, heartbeat_s=self.workers.report_s
        )
        self.state_fresh = self.connectivity.state_fresh
        self.cut_off = self.connectivity.cut_off
        self.heartbeat_received = self.connectivity.heartbeat_received
        self.startup_timeline = StartupTimeline(self.connectivity.started)
        self.membership = Membership(self, self.workers.lease_s)
        self.eligible_members = self.membership.eligible_members
        self.may_own_and_lead = self.membership.may_own_and_lead
        self.readiness = Readiness(
            self.connectivity,
            may_own_and_lead=self.membership.may_own_and_lead,
            catalog=self.catalog,
            shards_known=self.shards.ready,
        )
        self.ready = self.readiness.ready

    def _build_front(self) -> None:
        """Build the request handlers for users and workers."""
        self.orphan_leases = OrphanLeaseRenewer(
            self.workers,
            self.jobs,
            lambda job: self.front.is_withdrawn(job),
            self.cancellations.watermark,
        )
        self.front: Front = Front(self)
        self.known_jobs = self.front

    def _build_shard_ownership(self) -> None:
        """Build the ownership of shards, the leader's commands to owners and the load handover."""
        self.shard_owners = ShardOwners(
            label=self.label,
            by_team=self.owners,
            create=lambda team, revision: ShardOwner(self, team, revision),
            shards=self.shards,
            known_jobs=self.front,
            now=self.now,
        )
        self.owned_shard_count = self.shard_owners.count
        self.forget_owner = self.shard_owners.forget_owner
        self.job_changed = self.shard_owners.job_changed
        self.job_cancelled = self.shard_owners.job_cancelled
        self.job_settled = self.shard_owners.job_settled
        self.shard_ownership = ShardOwnership(
            tick_s=self.tick_s,
            cluster=self.cluster,
            owners=self.shard_owners,
            membership=self.membership,
            connectivity=self.connectivity,
            startup_timeline=self.startup_timeline,
            prerequisites_known=lambda: bool(self.catalog) and self.cluster_version.is_known,
        )
        self.shard_commands = ShardCommands(
            owners=self.shard_owners,
            cluster=self.cluster,
            cluster_version=self.cluster_version,
            mesh=self.mesh,
            term_fence=self.term_fence,
            now=self.now,
        )
        self.send_shard_command = self.shard_commands.send
        self.load_handover = LoadHandover(
            mesh=self.mesh,
            cluster=self.cluster,
            membership=self.membership,
            commands=self.shard_commands,
            leads=self.leads,
            ttl_s=self.ttl_s,
            patience_s=TRANSFER_INTERVAL_WORKER_LEASES * self.workers.lease_s,
        )

    def _build_gossip(self) -> None:
        """Build what is sent to the peers with each heartbeat."""
        self.owner_gossip = OwnerGossip(
            owners=self.shard_owners,
            mesh=self.mesh,
            cluster=self.cluster,
            cluster_version=self.cluster_version,
            now=self.now,
        )
        self.send_claims = self.owner_gossip.send_claims
        self.send_status_if_urgent = self.owner_gossip.send_status_if_urgent
        self.gossip = Gossip(
            mesh=self.mesh,
            heartbeats=HeartbeatSource(
                incarnation=self.incarnation,
                store=self.store,
                connectivity=self.connectivity,
                readiness=self.readiness,
                leads=self.leads,
            ),
            store_limits=StoreLimitSharing(
                store=self.store,
                mesh=self.mesh,
                cluster=self.cluster,
                due_writes=DueWrites(
                    owners=self.shard_owners,
                    write_limiter=self.store.write_limiter,
                    admission=self.admission,
                    cancel_s=self.workers.cancel_s,
                ),
                ttl_s=self.ttl_s,
            ),
            cancellations=self.cancellations,
            owner_gossip=self.owner_gossip,
            load_handover=self.load_handover,
            worker_client=self.worker_client,
        )

    def _build_election_loop(self) -> None:
        """Build the loop that takes part in the leader election."""
        self.election_loop = ElectionLoop(
            elector=self.elector,
            membership=self.membership,
            term_fence=self.term_fence,
            period_s=self.ttl_s / ELECTION_CHECKS_PER_TTL,
            may_lead=lambda: bool(self.catalog),
            send_statuses=self.owner_gossip.send_statuses,
        )

    def _build_peer_reports(self) -> None:
        """Build what keeps the reports of peers on their shards and jobs."""
        self.peer_reports = PeerReports(
            owners=self.shard_owners,
            cluster=self.cluster,
            heartbeat_interval_s=self.mesh.heartbeat_interval_s,
            ttl_s=self.ttl_s,
            now=self.now,
        )
        self.shard_statuses = self.peer_reports.shard_statuses
        self.leaving_machines = self.peer_reports.leaving_machines
        self.task_counts = self.peer_reports.task_counts

    def _register_frame_handlers(self) -> None:
        """Register the component that handles each type of peer frame."""
        register = self.frame_dispatcher.register
        register(ShardStatus, self.peer_reports.status_received)
        register(ReclaimsInProgress, self.peer_reports.reclaims_received)
        register(TaskCounts, self.peer_reports.counts_received)
        register(FencedCommand, self.shard_commands.fenced_received)
        for command_type in get_args(ShardCommand):
            register(command_type, self.shard_commands.unfenced_received)
        register(OwnershipClaims, self.shard_owners.claims_received)
        register(
            PriorityInheritance, lambda _label, frame: self.shard_owners.inherit_priorities(frame)
        )
        register(CancelledJobs, lambda _label, frame: self.cancellations.on_cancellations(frame))
        register(WatermarkEcho, self.cancellations.on_echo)
        register(ForwardedHeartbeat, self.heartbeat_forwarder.request_received)
        register(ForwardReply, lambda _label, frame: self.heartbeat_forwarder.reply_received(frame))

    def _build_server(self) -> None:
        """Build the HTTP server for users, workers and probes."""
        admission = self.admission
        self.server = Server(
            self.front.handle,
            admission.connections,
            socket_use_of,
            lambda: refusal_response(admission.refuse_connection(time.monotonic())),
            admission,
            lambda: refusal_response(admission.refuse_body(time.monotonic())),
            admission.memory.buffer_bytes,
        )
