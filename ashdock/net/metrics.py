"""The page /metrics, by prometheus-client. Imported with the first request for it, so that it costs nothing before;
all figures are read off the live picture when asked for, so that nothing else pays for them."""

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

# The words of the label `turn`, which others read.
PRIORITY_LABELS = {
    RequestPriority.USER: "user",
    RequestPriority.NORMAL: "work",
    RequestPriority.BACKGROUND: "patient",
}


class Owning(Protocol):
    shard: Shard | None
    failover_timeline: FailoverTimeline


class Duty(Protocol):
    election: Election
    leading_durations: DurationHistogram
    vacancy_durations: DurationHistogram


class Seen(Protocol):
    """What is shown of a controller."""

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
    def elector(self) -> Duty: ...

    @property
    def owners(self) -> Mapping[str, Owning]: ...

    @property
    def leader(self) -> object | None: ...

    def ready(self) -> bool: ...

    def cancellations_age(self) -> float: ...


class MetricsCollector(Collector):
    def __init__(self, context: Seen) -> None:
        self.context = context

    def collect(self) -> Iterable[Metric]:
        context = self.context
        plain = {
            "ashdock_ready": ("1 while this controller takes requests", float(context.ready())),
            "ashdock_leads": ("1 while this controller leads", float(context.leader is not None)),
            "ashdock_all_upgraded": (
                "1 once every controller is known to be of the new version",
                float(context.cluster_version.supports_dependencies),
            ),
            "ashdock_fit": (
                "1 while parts and lead may be this controller's",
                float(context.membership.published_eligible),
            ),
            "ashdock_ends_of_late": (
                "ends of this controller's processes in quick succession",
                float(context.membership.crash_loop.record.restarts),
            ),
            "ashdock_state_age_seconds": (
                "since the state service last answered",
                context.store.silent_for,
            ),
            "ashdock_cancellations_known_age_seconds": (
                "since when cancellations confirmed elsewhere may be unknown here",
                context.cancellations_age(),
            ),
            "ashdock_user_connections": (
                "open connections",
                float(len(context.server.open_connections)),
            ),
        }
        for name, (text, value) in plain.items():
            yield GaugeMetricFamily(name, text, value=value)
        jobs = GaugeMetricFamily(
            "ashdock_jobs", "unfinished jobs of the parts owned here", labels=["team", "phase"]
        )
        tasks = GaugeMetricFamily("ashdock_tasks", "their tasks", labels=["team", "state"])
        machines = GaugeMetricFamily(
            "ashdock_machines", "machines lent to the parts owned here", labels=["team", "phase"]
        )
        tokens = GaugeMetricFamily("ashdock_part_token", "stamp of the claim", labels=["team"])
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
        yield from self._admission()
        yield from self._recovery()
        yield from self._fairness()
        yield from self._duties()

    def _duties(self) -> Iterable[Metric]:
        """Of the duties that only one controller may do, as this one has had them."""
        elector, term_fence = self.context.elector, self.context.term_fence
        state = GaugeMetricFamily(
            "ashdock_duty_state",
            "1 for the state in which this controller is",
            labels=["duty", "state"],
        )
        state.add_metric([elector.election.name, elector.election.state.value], 1.0)
        term = GaugeMetricFamily("ashdock_duty_term", "the highest that is known", labels=["duty"])
        term.add_metric([elector.election.name], float(term_fence.highest_term))
        refused = CounterMetricFamily(
            "ashdock_duty_words_refused", "of holders that were replaced", labels=["duty"]
        )
        refused.add_metric([elector.election.name], term_fence.refused_commands)
        held = HistogramMetricFamily(
            "ashdock_duty_held_seconds",
            "how long this controller held it, each time",
            labels=["duty"],
        )
        held.add_metric(
            [elector.election.name],
            elector.leading_durations.rows(),
            elector.leading_durations.sum_s,
        )
        gap = HistogramMetricFamily(
            "ashdock_duty_gap_seconds",
            "how long nobody held it before this controller did",
            labels=["duty"],
        )
        gap.add_metric(
            [elector.election.name],
            elector.vacancy_durations.rows(),
            elector.vacancy_durations.sum_s,
        )
        yield from (state, term, refused, held, gap)

    def _fairness(self) -> Iterable[Metric]:
        """Of jobs that came since a shard is owned here: how each class is served, how long its starts waited, and who was sent away."""
        share = GaugeMetricFamily(
            "ashdock_served_share",
            "of jobs that are due, served (docs/fairness.md)",
            labels=["team", "class"],
        )
        due = GaugeMetricFamily("ashdock_served_due", "jobs that are due", labels=["team", "class"])
        largest = GaugeMetricFamily(
            "ashdock_served_largest_share",
            "of a class's largest jobs that are due, served",
            labels=["team", "class"],
        )
        rises = GaugeMetricFamily(
            "ashdock_class_rises",
            "1 while a class goes first of its priority, one job a pass",
            labels=["team", "class"],
        )
        waits = HistogramMetricFamily(
            "ashdock_start_wait_seconds",
            "from when a task could start until it ran",
            labels=["team", "class"],
        )
        for team, owner in self.context.owners.items():
            if owner.shard is None:
                continue
            classes = owner.shard.classes
            for (kind, name), row in classes.attainment.counts(owner.shard.current_time).items():
                if kind == "class":
                    share.add_metric([team, name], row.attainment)
                    due.add_metric([team, name], row.due)
                    rises.add_metric([team, name], float(name in classes.boosted))
                elif kind == "largest":
                    largest.add_metric([team, name], row.attainment)
            for name, spans in classes.attainment.start_waits.items():
                waits.add_metric([team, name], classes.attainment.histogram(name), spans.sum_s)
        away = CounterMetricFamily(
            "ashdock_submissions_turned_away", "told to come back, by team", labels=["team"]
        )
        hot = GaugeMetricFamily(
            "ashdock_team_hot", "1 while a team submits more than its share here", labels=["team"]
        )
        admission = self.context.admission
        for team in admission.hot_tenants.teams:
            away.add_metric([team], admission.refused_submissions[team])
            hot.add_metric([team], float(admission.hot_tenants.is_hot(team)))
        yield from (share, due, largest, rises, waits, away, hot)

    def _recovery(self) -> Iterable[Metric]:
        startup_timeline = GaugeMetricFamily(
            "ashdock_start_seconds",
            "in each state since the start of the process",
            labels=["state"],
        )
        for state, seconds in self.context.startup_timeline.durations_s.items():
            startup_timeline.add_metric([state], seconds)
        took = GaugeMetricFamily(
            "ashdock_takeover_seconds",
            "in each state of the takeover of a part",
            labels=["team", "state"],
        )
        for team, owner in self.context.owners.items():
            for state, seconds in owner.failover_timeline.durations_s.items():
                took.add_metric([team, state], seconds)
        yield from (startup_timeline, took)

    def _admission(self) -> Iterable[Metric]:
        """Who has what of what can run short, and who was told to come back."""
        context = self.context
        admission, connections, now = (
            context.admission,
            context.admission.connections,
            time.monotonic(),
        )
        held = {
            use: connections.count(use)
            for use in (SocketUse.NEW, SocketUse.USER, SocketUse.PROBE, SocketUse.WORKER)
        }
        held |= {
            SocketUse.MESH: len(context.mesh.links)
            + sum(peer.writer is not None for peer in context.mesh.peers.values()),
            SocketUse.STORE: context.store.sockets,
            SocketUse.CLOUD: context.cloud.client.sockets,
            SocketUse.COMMANDS: context.worker_client.sockets,
        }
        most = {
            **admission.shares.reserved,
            SocketUse.USER: admission.shares.max_user_connections(),
            SocketUse.WORKER: admission.shares.max_worker_connections(held[SocketUse.USER]),
        }
        sockets = GaugeMetricFamily("ashdock_sockets", "sockets held, by what for", labels=["use"])
        shares = GaugeMetricFamily(
            "ashdock_sockets_share", "how many it may hold at this moment", labels=["use"]
        )
        for use, number in held.items():
            sockets.add_metric([use.value], number)
            shares.add_metric([use.value], most[use])
        ended = CounterMetricFamily(
            "ashdock_connections_ended", "connections that we ended, and why", labels=["use", "why"]
        )
        for (use, why), number in connections.ended.items():
            ended.add_metric([use.value, why], number)
        refused = CounterMetricFamily(
            "ashdock_refused",
            "told to come back, and for want of what",
            labels=["asked", "short_of"],
        )
        for (asked, of), number in admission.refused.items():
            refused.add_metric([asked, of.value], number)
        refused.add_metric(["order", "sockets"], context.worker_client.deferred)
        short = GaugeMetricFamily("ashdock_short", "1 while something runs short", labels=["of"])
        for of, shortage in admission.shortages.items():
            short.add_metric([of.value], float(shortage.began_at is not None))
        behind = GaugeMetricFamily(
            "ashdock_writes_behind_seconds",
            "how long what waits to be written will take",
            labels=["turn"],
        )
        for priority in RequestPriority:
            behind.add_metric(
                [PRIORITY_LABELS[priority]], context.store.write_limiter.backlog_s(priority)
            )
        yield from (sockets, shares, ended, refused, short, behind)
        yield GaugeMetricFamily(
            "ashdock_processor_late_seconds",
            "how late timers fire, of late",
            value=admission.processor.late_s(now),
        )


def page(context: Seen) -> bytes:
    registry = CollectorRegistry()
    registry.register(MetricsCollector(context))
    return generate_latest(registry)
