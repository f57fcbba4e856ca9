"""Collects the metrics of a controller for the page /metrics, with prometheus-client.

The module is imported with the first request for the page, and costs nothing before. All values are
read from the controller's state at each request, so that no other code has to count for them.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Protocol

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, HistogramMetricFamily
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

from ashdock.admission.control import Admission
from ashdock.admission.shares import SocketUse
from ashdock.cluster_version import ClusterVersion
from ashdock.core.duration_histogram import DurationHistogram
from ashdock.core.shard import Shard
from ashdock.election.election import Election
from ashdock.election.fencing import TermFence
from ashdock.membership import Membership
from ashdock.net.cloud import CloudClient
from ashdock.net.http import Server
from ashdock.net.mesh import Mesh
from ashdock.net.rate_limiter import RequestPriority
from ashdock.net.store import StoreClient
from ashdock.net.worker import WorkerClient
from ashdock.timelines import FailoverTimeline, StartupTimeline

CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"

# Values of the label `turn`.
PRIORITY_LABELS = {
    RequestPriority.USER: "user",
    RequestPriority.NORMAL: "work",
    RequestPriority.BACKGROUND: "patient",
}


class OwnerMetrics(Protocol):
    """What is read of a shard's owner."""

    shard: Shard | None
    failover_timeline: FailoverTimeline


class ElectorMetrics(Protocol):
    """What is read of the leader elector.

    Attributes:
        election: the election's state machine.
        leading_durations: how long this controller led, each time.
        vacancy_durations: how long there was no leader before this controller led, each time.
    """

    election: Election
    leading_durations: DurationHistogram
    vacancy_durations: DurationHistogram


class MetricsContext(Protocol):
    """What is read of the controller."""

    admission: Admission
    cloud: CloudClient
    mesh: Mesh
    server: Server
    store: StoreClient
    startup_timeline: StartupTimeline
    cluster_version: ClusterVersion
    worker_client: WorkerClient
    membership: Membership
    term_fence: TermFence

    @property
    def elector(self) -> ElectorMetrics:
        """The leader elector."""
        ...

    @property
    def owners(self) -> Mapping[str, OwnerMetrics]:
        """Owners of the shards that are owned here, by team."""
        ...

    @property
    def leader(self) -> object | None:
        """The leader; None unless it is this controller."""
        ...

    def ready(self) -> bool:
        """Whether this controller takes requests."""
        ...

    def cancellations_age(self) -> float:
        """Seconds since the time up to which every confirmed cancellation is known."""
        ...


class MetricsCollector(Collector):
    """Reads all metrics from a controller."""

    def __init__(self, context: MetricsContext) -> None:
        """Collect from this controller; nothing is read yet."""
        self.context = context

    def collect(self) -> Iterable[Metric]:
        """Return all metrics, as of now."""
        context = self.context
        unlabeled = {
            "ashdock_ready": ("1 while this controller takes requests", float(context.ready())),
            "ashdock_leads": (
                "1 while this controller is the leader",
                float(context.leader is not None),
            ),
            "ashdock_all_upgraded": (
                "1 once every controller is known to support jobs with dependencies",
                float(context.cluster_version.supports_dependencies),
            ),
            "ashdock_fit": (
                "1 while this controller has announced that it may own shards and lead",
                float(context.membership.published_eligible),
            ),
            "ashdock_ends_of_late": (
                "restarts of this controller in quick succession",
                float(context.membership.crash_loop.record.restarts),
            ),
            "ashdock_state_age_seconds": (
                "seconds since the start of the last request that the store answered",
                context.store.silent_for,
            ),
            "ashdock_cancellations_known_age_seconds": (
                "seconds since the time up to which all confirmed cancellations are known here",
                context.cancellations_age(),
            ),
            "ashdock_user_connections": (
                "open inbound connections of all uses",
                float(len(context.server.open_connections)),
            ),
        }
        for name, (help_text, value) in unlabeled.items():
            yield GaugeMetricFamily(name, help_text, value=value)
        jobs = GaugeMetricFamily(
            "ashdock_jobs",
            "jobs of the shards owned here, by phase",
            labels=["team", "phase"],
        )
        tasks = GaugeMetricFamily(
            "ashdock_tasks",
            "tasks of the shards owned here, by state; done ones are not counted",
            labels=["team", "state"],
        )
        machines = GaugeMetricFamily(
            "ashdock_machines",
            "machines assigned to the shards owned here, by phase",
            labels=["team", "phase"],
        )
        tokens = GaugeMetricFamily(
            "ashdock_part_token", "revision of the claim of each shard owned here", labels=["team"]
        )
        for team, owner in context.owners.items():
            shard = owner.shard
            if shard is None:
                continue
            tokens.add_metric([team], float(shard.revision))
            for phase, count in Counter(job.phase.value for job in shard.jobs.values()).items():
                jobs.add_metric([team, phase], count)
            for machine_phase, count in Counter(
                machine.phase.value for machine in shard.machines.values()
            ).items():
                machines.add_metric([team, machine_phase], count)
            tasks.add_metric([team, "placed"], sum(len(job.live) for job in shard.jobs.values()))
            tasks.add_metric(
                [team, "ready"],
                sum(
                    job.ready_count
                    for job in shard.jobs.values()
                    if job.active and not job.awaits_dependencies
                ),
            )
            tasks.add_metric(
                [team, "waiting"],
                sum(
                    job.ready_count
                    for job in shard.jobs.values()
                    if job.active and job.awaits_dependencies
                ),
            )
            tasks.add_metric(
                [team, "parked"], sum(park.high - park.low + 1 for park in shard.parks.items)
            )
        yield from (jobs, tasks, machines, tokens)
        yield from self._unwritten_changes()
        yield from self._admission()
        yield from self._timelines()
        yield from self._fairness()
        yield from self._leadership()

    def _unwritten_changes(self) -> Iterable[Metric]:
        """Return what waits to be written, and which dependencies are not known yet."""
        waiting = GaugeMetricFamily(
            "ashdock_unwritten_changes",
            "jobs of the shards owned here whose next write waits, by what it is for",
            labels=["team", "kind"],
        )
        oldest = GaugeMetricFamily(
            "ashdock_unwritten_oldest_seconds",
            "the longest that one of them has waited without any write",
            labels=["team", "kind"],
        )
        unread = GaugeMetricFamily(
            "ashdock_unread_dependencies",
            "dependencies of jobs of the shards owned here whose records are still to be read",
            labels=["team"],
        )
        for team, owner in self.context.owners.items():
            if owner.shard is None:
                continue
            unread.add_metric([team], len(owner.shard.dependency_tracker.unread))
            for kind, backlog in owner.shard.write_backlog.by_kind.items():
                waiting.add_metric([team, kind.value], backlog.waiting)
                oldest.add_metric([team, kind.value], backlog.oldest_s)
        yield from (waiting, oldest, unread)

    def _leadership(self) -> Iterable[Metric]:
        elector, term_fence = self.context.elector, self.context.term_fence
        state = GaugeMetricFamily(
            "ashdock_duty_state",
            "1 for the present election state of this controller",
            labels=["duty", "state"],
        )
        state.add_metric([elector.election.name, elector.election.state.value], 1.0)
        term = GaugeMetricFamily(
            "ashdock_duty_term", "highest leader term known here", labels=["duty"]
        )
        term.add_metric([elector.election.name], float(term_fence.highest_term))
        refused = CounterMetricFamily(
            "ashdock_duty_words_refused",
            "commands refused for a term lower than the highest known",
            labels=["duty"],
        )
        refused.add_metric([elector.election.name], term_fence.refused_commands)
        leading = HistogramMetricFamily(
            "ashdock_duty_held_seconds",
            "how long this controller was the leader, each time",
            labels=["duty"],
        )
        leading.add_metric(
            [elector.election.name],
            elector.leading_durations.rows(),
            elector.leading_durations.sum_s,
        )
        vacancy = HistogramMetricFamily(
            "ashdock_duty_gap_seconds",
            "how long there was no leader before this controller became it, each time",
            labels=["duty"],
        )
        vacancy.add_metric(
            [elector.election.name],
            elector.vacancy_durations.rows(),
            elector.vacancy_durations.sum_s,
        )
        yield from (state, term, refused, leading, vacancy)

    def _fairness(self) -> Iterable[Metric]:
        """Return SLO attainment, start waits and refused submissions.

        Attainment and start waits cover the jobs that arrived since this controller claimed their
        shard.
        """
        attainment = GaugeMetricFamily(
            "ashdock_served_share",
            "attainment of the service-level objective, of the due jobs of a class "
            "(docs/fairness.md)",
            labels=["team", "class"],
        )
        due = GaugeMetricFamily(
            "ashdock_served_due",
            "jobs that are due by the service-level objective of their class",
            labels=["team", "class"],
        )
        largest_attainment = GaugeMetricFamily(
            "ashdock_served_largest_share",
            "attainment of the service-level objective, of the largest due jobs of a class",
            labels=["team", "class"],
        )
        boosted = GaugeMetricFamily(
            "ashdock_class_rises",
            "1 while a class is boosted: in each scheduling cycle one of its jobs may go first of "
            "its priority",
            labels=["team", "class"],
        )
        start_waits = HistogramMetricFamily(
            "ashdock_start_wait_seconds",
            "how long tasks waited from when they could start until they ran",
            labels=["team", "class"],
        )
        for team, owner in self.context.owners.items():
            if owner.shard is None:
                continue
            classes = owner.shard.classes
            for (kind, name), row in classes.attainment.counts(owner.shard.current_time).items():
                if kind == "class":
                    attainment.add_metric([team, name], row.attainment)
                    due.add_metric([team, name], row.due)
                    boosted.add_metric([team, name], float(name in classes.boosted))
                elif kind == "largest":
                    largest_attainment.add_metric([team, name], row.attainment)
            for name, waits in classes.attainment.start_waits.items():
                start_waits.add_metric(
                    [team, name], classes.attainment.histogram(name), waits.sum_s
                )
        refused_submissions = CounterMetricFamily(
            "ashdock_submissions_turned_away",
            "submissions refused by admission control, by team",
            labels=["team"],
        )
        hot = GaugeMetricFamily(
            "ashdock_team_hot",
            "1 while a team submits more than its share to this controller",
            labels=["team"],
        )
        admission = self.context.admission
        for team in admission.hot_tenants.teams:
            refused_submissions.add_metric([team], admission.refused_submissions[team])
            hot.add_metric([team], float(admission.hot_tenants.is_hot(team)))
        yield from (
            attainment,
            due,
            largest_attainment,
            boosted,
            start_waits,
            refused_submissions,
            hot,
        )

    def _timelines(self) -> Iterable[Metric]:
        startup = GaugeMetricFamily(
            "ashdock_start_seconds",
            "seconds spent in each state of the startup of this process",
            labels=["state"],
        )
        for state, seconds in self.context.startup_timeline.durations_s.items():
            startup.add_metric([state], seconds)
        failover = GaugeMetricFamily(
            "ashdock_takeover_seconds",
            "seconds spent in each state of the failover of a shard to this controller",
            labels=["team", "state"],
        )
        for team, owner in self.context.owners.items():
            for state, seconds in owner.failover_timeline.durations_s.items():
                failover.add_metric([team, state], seconds)
        yield from (startup, failover)

    def _admission(self) -> Iterable[Metric]:
        """Return the use of limited resources, their shortages, and what was refused for them."""
        context = self.context
        admission, connections, now = (
            context.admission,
            context.admission.connections,
            time.monotonic(),
        )
        open_sockets = {
            use: connections.count(use)
            for use in (SocketUse.NEW, SocketUse.USER, SocketUse.PROBE, SocketUse.WORKER)
        }
        open_sockets |= {
            SocketUse.MESH: len(context.mesh.inbound_links)
            + sum(peer.writer is not None for peer in context.mesh.peers.values()),
            SocketUse.STORE: context.store.sockets,
            SocketUse.CLOUD: context.cloud.client.sockets,
            SocketUse.COMMANDS: context.worker_client.sockets,
        }
        max_sockets = {
            **admission.shares.reserved,
            SocketUse.USER: admission.shares.max_user_connections(),
            SocketUse.WORKER: admission.shares.max_worker_connections(open_sockets[SocketUse.USER]),
        }
        sockets = GaugeMetricFamily("ashdock_sockets", "open sockets, by use", labels=["use"])
        shares = GaugeMetricFamily(
            "ashdock_sockets_share",
            "sockets that each use may have open at present",
            labels=["use"],
        )
        for use, number in open_sockets.items():
            sockets.add_metric([use.value], number)
            shares.add_metric([use.value], max_sockets[use])
        ended = CounterMetricFamily(
            "ashdock_connections_ended",
            "connections that this controller closed or refused, by use and reason",
            labels=["use", "why"],
        )
        for (use, reason), number in connections.ended.items():
            ended.add_metric([use.value, reason], number)
        refused = CounterMetricFamily(
            "ashdock_refused",
            "requests refused by admission control, by kind and the resource that was short; "
            "for orders, commands left to the answer to a heartbeat",
            labels=["asked", "short_of"],
        )
        for (request_kind, resource), number in admission.refused.items():
            refused.add_metric([request_kind, resource.value], number)
        refused.add_metric(["order", "sockets"], context.worker_client.deferred)
        short = GaugeMetricFamily("ashdock_short", "1 while a resource is short", labels=["of"])
        for resource, shortage in admission.shortages.items():
            short.add_metric([resource.value], float(shortage.began_at is not None))
        write_backlog = GaugeMetricFamily(
            "ashdock_writes_behind_seconds",
            "backlog of writes: seconds until those of this or a more urgent priority are sent",
            labels=["turn"],
        )
        for priority in RequestPriority:
            write_backlog.add_metric(
                [PRIORITY_LABELS[priority]], context.store.write_limiter.backlog_s(priority)
            )
        yield from (sockets, shares, ended, refused, short, write_backlog)
        yield GaugeMetricFamily(
            "ashdock_processor_late_seconds",
            "highest recent lateness of a timer, decaying",
            value=admission.processor.late_s(now),
        )


def page(context: MetricsContext) -> bytes:
    """Return the metrics of a controller in the text format of Prometheus."""
    registry = CollectorRegistry()
    registry.register(MetricsCollector(context))
    return generate_latest(registry)
