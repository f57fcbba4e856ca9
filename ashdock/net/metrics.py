"""The page /metrics, by prometheus-client. Imported with the first request for it, so that it costs nothing before;
all figures are read off the live picture when asked for, so that nothing else pays for them."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Iterable
from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

from ashdock.admission.shares import Use
from ashdock.net.budget import Turn

if TYPE_CHECKING:
    from ashdock.controller import Controller

CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class Picture(Collector):
    def __init__(self, controller: Controller) -> None:
        self.controller = controller

    def collect(self) -> Iterable[Metric]:
        controller = self.controller
        plain = {
            "ashdock_ready": ("1 while this controller takes requests", float(controller.ready())),
            "ashdock_leads": ("1 while this controller leads", float(controller.leader is not None)),
            "ashdock_all_upgraded": ("1 once every controller is known to be of the new version", float(controller.upgrade.agreed)),
            "ashdock_state_age_seconds": ("since the state service last answered", controller.state.silent_for),
            "ashdock_user_connections": ("open connections", float(len(controller.server.open))),
        }
        for name, (text, value) in plain.items():
            yield GaugeMetricFamily(name, text, value=value)
        jobs = GaugeMetricFamily("ashdock_jobs", "unfinished jobs of the parts owned here", labels=["team", "phase"])
        tasks = GaugeMetricFamily("ashdock_tasks", "their tasks", labels=["team", "state"])
        machines = GaugeMetricFamily("ashdock_machines", "machines lent to the parts owned here", labels=["team", "phase"])
        tokens = GaugeMetricFamily("ashdock_part_token", "stamp of the claim", labels=["team"])
        for team, owner in controller.owners.items():
            part = owner.part
            if part is None:
                continue
            tokens.add_metric([team], float(part.stamp))
            for phase, count in Counter(job.phase.value for job in part.jobs.values()).items():
                jobs.add_metric([team, phase], count)
            for machine_phase, count in Counter(machine.phase.value for machine in part.machines.values()).items():
                machines.add_metric([team, machine_phase], count)
            tasks.add_metric([team, "placed"], sum(len(job.live) for job in part.jobs.values()))
            tasks.add_metric([team, "ready"], sum(job.ready for job in part.jobs.values() if job.active and not job.waits))
            tasks.add_metric([team, "waiting"], sum(job.ready for job in part.jobs.values() if job.active and job.waits))
            tasks.add_metric([team, "parked"], sum(park.high - park.low + 1 for park in part.parks.items))
        yield from (jobs, tasks, machines, tokens)
        yield from self._admission()

    def _admission(self) -> Iterable[Metric]:
        """Who has what of what can run short, and who was told to come back."""
        controller = self.controller
        desk, door, now = controller.admission, controller.admission.door, time.monotonic()
        held = {use: door.count(use) for use in (Use.NEW, Use.USER, Use.PROBE, Use.WORKER)}
        held |= {
            Use.MESH: len(controller.mesh.links) + sum(peer.writer is not None for peer in controller.mesh.peers.values()),
            Use.STATE: controller.state.sockets, Use.CLOUD: controller.cloud.client.sockets,
            Use.ORDERS: controller.worker_client.sockets,
        }  # fmt: skip
        most = {**desk.shares.certain, Use.USER: desk.shares.users_most(), Use.WORKER: desk.shares.workers_most(held[Use.USER])}
        sockets = GaugeMetricFamily("ashdock_sockets", "sockets held, by what for", labels=["use"])
        shares = GaugeMetricFamily("ashdock_sockets_share", "how many it may hold at this moment", labels=["use"])
        for use, number in held.items():
            sockets.add_metric([use.value], number)
            shares.add_metric([use.value], most[use])
        ended = CounterMetricFamily("ashdock_connections_ended", "connections that we ended, and why", labels=["use", "why"])
        for (use, why), number in door.ended.items():
            ended.add_metric([use.value, why], number)
        refused = CounterMetricFamily("ashdock_refused", "told to come back, and for want of what", labels=["asked", "short_of"])
        for (asked, of), number in desk.refused.items():
            refused.add_metric([asked, of.value], number)
        refused.add_metric(["order", "sockets"], controller.worker_client.refused)
        short = GaugeMetricFamily("ashdock_short", "1 while something runs short", labels=["of"])
        for of, shortage in desk.shortages.items():
            short.add_metric([of.value], float(shortage.began is not None))
        behind = GaugeMetricFamily("ashdock_writes_behind_seconds", "how long what waits to be written will take", labels=["turn"])
        for turn in Turn:
            behind.add_metric([turn.name.lower()], controller.state.writes.behind_s(turn))
        yield from (sockets, shares, ended, refused, short, behind)
        yield GaugeMetricFamily("ashdock_processor_late_seconds", "how late timers fire, of late", value=desk.processor.late_s(now))


def page(controller: Controller) -> bytes:
    registry = CollectorRegistry()
    registry.register(Picture(controller))
    return generate_latest(registry)
