"""The page /metrics, by prometheus-client. Imported with the first request for it, so that it costs nothing before;
all figures are read off the live picture when asked for, so that nothing else pays for them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector

if TYPE_CHECKING:
    from ashdock.controller import Controller

CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class Picture(Collector):
    def __init__(self, controller: Controller) -> None:
        self.controller = controller

    def collect(self) -> Iterable[GaugeMetricFamily]:
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


def page(controller: Controller) -> bytes:
    registry = CollectorRegistry()
    registry.register(Picture(controller))
    return generate_latest(registry)
