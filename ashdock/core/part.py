"""A part: one team, its jobs and parks, and the machines lent to it, in its one owner's memory.

No input or output happens here. Reports, wakes and changes seen elsewhere come in as calls; what is
to be written comes out as transactions, and what is to be sent as orders. A start is let out only once
its placement is durable, and a placement counts until its stop is proved.
"""

from __future__ import annotations

import logging
import math
import random
from collections import deque
from collections.abc import Iterable
from typing import Any, NamedTuple

from ashdock.core import park as parking
from ashdock.core import placement as placing
from ashdock.core.bounds import Bounds
from ashdock.core.job import Job, JobPhase, chunk_size, spec_of_record
from ashdock.core.ledger import Ledger
from ashdock.core.machine import Machine, MachinePhase, capacity
from ashdock.core.pipelines import Pipelines
from ashdock.core.quota import Usage, guaranteed
from ashdock.core.task import Failure, Phase, Placement, TaskState, ranges_of
from ashdock.core.worth import Worth
from ashdock.settings import Operators, Shared, Team
from ashdock.wire.messages import ENDED, FORGET, KILL, RUN, Held, MachineType, Order, Report, Spec, split_task, task_name

log = logging.getLogger("ashdock.part")

ORDERS_AT_ONCE = 200  # keeps an answer to a worker well under 64 KiB
FETCHES_AHEAD = 4  # how many fetches longer a job may have waited that is overtaken by one whose image is at hand
BOOTS_BACK = 4  # how many boots' time of arrivals tells what is to be expected
MOST_WANTS = 100  # told to the leader at a time, the first in rank: once those are served the next are told


class Want(NamedTuple):
    """Room that a part lacks, as its owner tells the leader."""

    cpus: float
    gpus: float
    memory: float
    types: tuple[str, ...]
    zone: str
    spot: bool
    together: bool  # all in one zone
    tasks: int
    priority: int
    guaranteed: bool
    slack_s: float  # until it had better run
    image: str = ""
    whole: int = 0  # gang in one zone of the owner's choosing: all its tasks, should another zone do better
    idle: bool = False  # nothing was promised: no guarantee, no deadline, no aim


class Recalled(NamedTuple):
    """Machines that a part is to vacate for another team."""

    part: str
    to: str
    machines: list[str]


class Owed(NamedTuple):
    """Machines that a part is to pass on as they come free, to a team whose like work has waited longer."""

    part: str
    to: str
    number: int
    types: tuple[str, ...]
    zone: str
    spot: bool


class Busy(NamedTuple):
    """A machine at work: what stopping it would cost."""

    machine: str
    priority: int  # the highest on it
    loss_s: float  # work lost, in seconds of the whole machine


class Picture(NamedTuple):
    """What the leader is told of a part."""

    team: str
    seen: int  # the latest assignment of a machine that this picture takes in
    wants: list[Want]
    idle: list[tuple[str, float]]  # empty machines, and for how long
    busy: list[Busy]
    machines: int
    waiting: int
    spare_beyond: int  # machines held beyond the guarantee


class _Pass:
    """What one scheduling pass looks at, gathered once: machines with room, room to come, and what found none."""

    def __init__(self, machines: Iterable[Machine], now: float) -> None:
        self.open: list[Machine] = []
        self.coming = placing.Slots()
        self.barren = placing.Barren()
        self.images: dict[str, dict[str, int]] = {}  # by image and zone: machines with room that hold it
        for machine in machines:
            if machine.phase is MachinePhase.UP:
                if machine.cpus > 1e-6 and machine.memory > 1e-6 and machine.usable:
                    self.open.append(machine)
                    for image in machine.images:
                        zones = self.images.setdefault(image, {})
                        zones[machine.zone] = zones.get(machine.zone, 0) + 1
            elif machine.coming(now):
                self.coming.add(machine.shape, machine.zone, machine.spot)

    def holders(self, spec: Spec, number: int) -> bool:
        """Whether so many machines with room hold the image, in one zone where the job is to be in one."""
        zones = self.images.get(spec.image)
        if not zones:
            return False
        return (max(zones.values()) if spec.one_zone else sum(zones.values())) >= number


class Part:
    def __init__(
        self, team: Team, stamp: int, shared: Shared, operators: Operators, catalog: dict[str, MachineType],
        rng: random.Random, bounds: Bounds | None = None,
    ) -> None:  # fmt: skip
        self.team = team
        self.name = team.name
        self.stamp = stamp  # of our claim: the fence in every write
        self.shared = shared
        self.workers = shared.workers
        self.retry = operators.retry
        self.catalog = catalog
        self.rng = rng
        self.jobs: dict[str, Job] = {}
        self.machines: dict[str, Machine] = {}
        self.usage = Usage(team)
        self.worth = Worth(team, shared, catalog)
        self.bounds = bounds or Bounds(shared.state)
        self.parks = parking.Parks(team.name, self.bounds.value_bytes)
        self.chunk_tasks = chunk_size(shared.state.value_kb)  # as the versions before had it, whatever the limits come to be
        self.pipelines = Pipelines(self)
        self.strange: dict[str, set[str]] = {}  # job: machines where it runs without a placement
        self.wants: list[Want] = []
        self.wanted_before = False
        self.learnt: dict[str, tuple[float, int]] = {}  # class: run time by estimate, and from how many tasks
        self.reserved: set[str] = set()  # empty machines kept for a gang that lacks others
        self.seen = stamp
        self.looked = stamp  # what was seen when the last pass began
        self.urgent: dict[str, None] = {}  # machines with orders worth sending at once
        self.ledger = Ledger(self)
        self.ending: dict[str, Job] = {}  # cancelled jobs with tasks that may still be there
        self.taken = 0  # machines that were up for the owner before
        self.taken_at = -math.inf
        self.unheard_s: float | None = None  # how long those that do not report are waited for, once that is known
        self.stale = True  # room or work has come up since the last pass
        self.ticked = -math.inf
        self.clock = -math.inf  # when somebody last told us the time
        self.aims: dict[str, list[float]] = {}  # by class: within what times its jobs are to start
        self.owed: dict[str, tuple[Owed, float]] = {}  # by team, and until when
        self.arrived: deque[tuple[float, int, Spec]] = deque()  # of late: when, how many machines' worth, and what

    # -- taking over --------------------------------------------------------------------------

    def load(
        self, machines: Iterable[tuple[str, Any, int]], work: Iterable[tuple[str, Any, int]],
        parks: Iterable[tuple[str, Any, int]], now: float,
    ) -> None:  # fmt: skip
        """Rebuild the picture from the state service, then re-arm the parks."""
        self.clock = now
        for name, value, stamp in machines:
            self.add_machine(name, value, stamp, now)
        chunks: dict[str, list[tuple[str, Any, int]]] = {}
        heads: dict[str, tuple[Any, int]] = {}
        for path, value, stamp in work:
            _, _, job_id, tail = path.split("/", 3)
            if tail == "job":
                heads[job_id] = (value, stamp)
            else:
                chunks.setdefault(job_id, []).append((tail, value, stamp))
        for job_id, (value, stamp) in heads.items():
            job = self.add_job(value, stamp, started=job_id in chunks)
            if job_id in chunks:
                job.started_at = now  # or so: an earlier owner saw it start
            for placement in job.load_chunks(chunks.pop(job_id, []), now):
                self._count(job, placement, now)
        for job_id, rest in chunks.items():
            self.ledger.leftover += [(f"work/{self.name}/{job_id}/{tail}", stamp) for tail, _, stamp in rest]
        for path, value, stamp in parks:
            for park in self.parks.load(int(path.rsplit("/", 1)[1]), value, stamp):
                parked = self.jobs.get(park.job)
                for task in range(park.low, park.high + 1):
                    # The chunk has the last word: a task placed since is not parked.
                    if parked and parked.states[task] == TaskState.READY:
                        parked.park(task, park.failure)
        for machine in self.machines.values():
            machine.inherited = bool(machine.live) or machine.tenure > 0
        self.taken = sum(machine.inherited for machine in self.machines.values())
        self.taken_at = now
        for job in self.jobs.values():
            for chunk in job.chunks.values():
                if chunk.stamp or not job.wider:  # what a wider one still holds is to be written
                    chunk.durable = chunk.gen
            self._after_load(job, now)
        self.pipelines.look(now)

    def _after_load(self, job: Job, now: float) -> None:
        if not job.active:
            for placement in list(job.live.values()):
                self._stop(placement, "cancelled", 0.0, now)
        elif job.spec.kind == "gang" and job.done:
            # Gang tasks complete together, so one that is done proves them all.
            for task in range(job.spec.tasks):
                self._finish(job, task, now)
        elif job.spec.kind == "gang" and job.live:
            # Its chunks may have been written one after the other: some of them hold this attempt, some the one before.
            if len(job.live) < job.spec.tasks or len({placement.attempt for placement in job.live.values()}) > 1:
                self._break(job, "incomplete", now)
        if job.complete and job.active:
            self._over(job, now)
        # Placements on machines that are no longer recorded: their machine is proved gone.
        for placement in list(job.live.values()):
            if placement.machine not in self.machines:
                self._lost(placement, "machine gone", now)

    def add_job(self, record: dict[str, Any], stamp: int, started: bool = False) -> Job:
        """`started`: tasks of it have been placed before, so all that it needs is known to be done."""
        spec = spec_of_record(record)
        known = self.jobs.get(spec.id)
        if known:
            return known
        width = min(self.chunk_tasks, self.bounds.width) if self.bounds.agreed else self.chunk_tasks
        job = Job(spec, record["at"], stamp, width, self.chunk_tasks)
        job.listener = self.ledger.touched
        self.stale = True
        job.reason = record.get("reason")
        self.jobs[spec.id] = job
        if record["status"] == "withdrawn":
            self.ending[spec.id] = job
            job.cancel(record.get("cancelled_at", record["at"]))
        elif spec.needs and not started:
            self.pipelines.add(job)
        job.carried = self.pipelines.needs.of(spec.id)
        return job

    def _over(self, job: Job, now: float) -> None:
        job.over(now if self.bounds.agreed else None)

    def add_machine(self, name: str, value: dict[str, Any], stamp: int, now: float) -> None:
        shape = self.catalog.get(value["t"])
        self.seen = max(self.seen, stamp)
        known = self.machines.get(name)
        if known:
            if stamp > known.stamp:
                known.stamp = stamp
                if value.get("x"):
                    known.doom(value["x"])
            return
        if shape is None:
            log.error("machine %s has a type the catalog lacks: %s", name, value["t"])
            return
        self.machines[name] = Machine(name, value, stamp, shape, now)

    # -- accounting ---------------------------------------------------------------------------

    def _count(self, job: Job, placement: Placement, now: float) -> None:
        spec = job.spec
        self.usage.take(spec)
        machine = self.machines.get(placement.machine)
        if machine:
            machine.take(placement, spec.cpus, spec.gpus, spec.memory_gb)

    def drop(self, placement: Placement, now: float) -> None:
        """Only on proof that the task is not, and will not be, on its machine."""
        self.stale = True
        job = self.jobs[placement.job]
        spec = job.spec
        self.usage.give_back(spec)
        machine = self.machines.get(placement.machine)
        if machine:
            machine.give_back(placement, spec.cpus, spec.gpus, spec.memory_gb, now)

    def token(self, machine: Machine) -> int:
        return max(self.stamp, machine.stamp)

    # -- changes of a task's state --------------------------------------------------------------

    def _place(self, job: Job, task: int, machine: Machine, attempt: int, now: float) -> None:
        placement = job.place(task, machine.name, attempt, now)
        self._count(job, placement, now)

    def _release(self, placement: Placement, now: float) -> None:
        job = self.jobs[placement.job]
        self.drop(placement, now)
        job.release(placement.task)
        if job.spec.kind == "gang":
            self._gang_settled(job, now)

    def _finish(self, job: Job, task: int, now: float) -> None:
        placement = job.unplace(task)
        if placement:
            self.drop(placement, now)
        if job.states[task] != TaskState.DONE:
            job.finish(task)
        job.changed()
        if job.complete and job.active:
            self._over(job, now)

    def _stop(self, placement: Placement, why: str, leeway: float, now: float) -> None:
        if placement.never_sent:
            self._release(placement, now)
            return
        placement.stop(why, leeway, now)
        self.urgent[placement.machine] = None

    def _lost(self, placement: Placement, why: str, now: float) -> None:
        """Its stop is confirmed though nobody asked for it; costs it neither count nor clock."""
        job = self.jobs[placement.job]
        if placement.phase is not Phase.STOPPING:
            log.info("job %s task %d lost on %s: %s", job.id, placement.task, placement.machine, why)
        if job.spec.kind == "gang" and job.active and not job.breaking:
            self._break(job, why, now)
        if job.live.get(placement.task) is placement:
            self._release(placement, now)

    def _break(self, job: Job, why: str, now: float, leeway: float = 0.0) -> None:
        """Take a gang's attempt down as a whole."""
        job.breaking = why
        for placement in list(job.live.values()):
            if job.live.get(placement.task) is placement:
                self._stop(placement, why, leeway, now)
        self._gang_settled(job, now)

    def _gang_settled(self, job: Job, now: float) -> None:
        """All its tasks are confirmed gone: the gang waits, or is parked, as a whole."""
        if job.live or not job.breaking:
            return
        job.breaking = None
        failure, job.broke = job.broke, None
        if failure and job.active:
            self._after_failure(job, list(range(job.spec.tasks)), failure, now)

    def _own_failure(self, machine: Machine, placement: Placement, why: str, now: float) -> None:
        job = self.jobs[placement.job]
        reason = f"{why} on {machine.name}"
        log.info("job %s task %d try %d failed: %s", job.id, placement.task, placement.attempt, reason)
        job.avoid[machine.name] = now + self.retry.cap_s
        # A job that fails on one machine after another, and nowhere ends well, says nothing about any of them. Arrays
        # submitted with a mistake fail on dozens at once: two such jobs made sound machines suspect.
        if job.done or len(job.avoid) == 1:
            machine.failed[job.id] = now
        else:
            self._exonerate(job)
        recent = [at for at in machine.failed.values() if now - at < self.retry.horizon_s / 3]
        if len(recent) >= 2 and machine.phase is MachinePhase.UP and self._may_suspect():
            machine.leave("suspect")
            self.ledger.changing[machine.name] = None
            log.info("machine %s is suspect: %d jobs failed there; draining it", machine.name, len(recent))
            self._drain(machine, now)
        failure = Failure(0, now, reason)
        if job.spec.kind == "gang":
            job.broke = job.broke or failure
            if not job.breaking:
                self._break(job, "a task failed", now)
            if job.live.get(placement.task) is placement:
                self._release(placement, now)
        else:
            self._release(placement, now)
            self._after_failure(job, [placement.task], failure, now)

    def _exonerate(self, job: Job) -> None:
        """The machines where it failed are not to blame for that."""
        for name in job.avoid:
            if name in self.machines:
                self.machines[name].failed.pop(job.id, None)

    def _may_suspect(self) -> bool:
        suspects = sum(1 for machine in self.machines.values() if machine.why == "suspect")
        return suspects * 4 <= len(self.machines)

    def _after_failure(self, job: Job, tasks: list[int], failure: Failure, now: float) -> None:
        step = parking.after_failure(self.retry, job.fails.get(tasks[0]), failure.why, now, self.rng)
        what = "the gang" if job.spec.kind == "gang" else f"task {tasks[0]}"
        if job.reason is None:
            # From the first failure on: who submitted it with a mistake is not to wait for the second.
            job.set_reason(f"{what} failed: {failure.why}; tried again")
        if step.step == "in_place":
            for task in tasks:
                job.set_failure(task, step.failure)
            return
        at = now + step.delay
        for task in tasks:
            job.park(task, step.failure)
        self.parks.add(job.id, ranges_of(tasks), at, step.failure)
        if step.step == "past":
            job.set_reason(f"{what} failed {step.failure.times} times, last: {failure.why}; still tried now and then")
            log.info("job %s gave up its bounded retries: %s", job.id, job.reason)
        else:
            log.info("job %s %s parked for %.1f s after %d failures", job.id, what, step.delay, step.failure.times)

    # -- reports --------------------------------------------------------------------------------

    def on_report(self, report: Report, now: float, checkin: bool) -> list[Order] | None:
        """Take a worker's report in; the answer's orders, or None if we may not answer."""
        machine = self.machines.get(report.berth)
        if machine is None:
            return None
        token = self.token(machine)
        if report.warrant > token:
            return None
        newer = (report.tenure, report.tally) > (machine.tenure, machine.tally)
        if not newer:
            return []
        if machine.phase is MachinePhase.EXPECTED:
            self.stale = True
        machine.came_up(report.address)
        machine.inherited = False
        machine.last_at = now
        machine.warrant = report.warrant
        if machine.tenure and report.tenure > machine.tenure:
            self._session_over(machine, report, now)
        machine.tenure, machine.tally = report.tenure, report.tally
        machine.outstanding = {key: sent for key, sent in machine.outstanding.items() if sent >= report.warrant}
        if report.recall_s is not None:
            self._recalled(machine, report.recall_s, now)
        self._match(machine, report, now, checkin and report.warrant >= token)
        return self.orders(machine, now, report if checkin else None)

    def _session_over(self, machine: Machine, report: Report, now: float) -> None:
        """The worker's lease ended: it killed and forgot all that it had."""
        log.info("machine %s is in session %d: its tasks are gone", machine.name, report.tenure)
        # Only what we ordered or saw in an earlier session. What an earlier owner started may be of this one, though
        # the first report that we got was a late one of the session before.
        machine.ended.clear()
        machine.outstanding.clear()  # they name the old session
        for placement in list(machine.live.values()):
            if placement.tenure is not None and placement.tenure < report.tenure and placement.key in machine.live:
                self._lost(placement, "worker lost its controllers", now)

    def _match(self, machine: Machine, report: Report, now: float, proof: bool) -> None:
        held: dict[tuple[str, int, int], Held] = {}
        for item in report.shares:
            held[(*split_task(item.share), item.attempt)] = item
        machine.reported = len(held)
        ended: set[tuple[str, int, int]] = set()
        for placement in list(machine.live.values()):
            if machine.live.get(placement.key) is not placement:
                continue  # dropped with its gang a moment ago
            key = (placement.job, placement.task, placement.attempt)
            found = held.pop(key, None)
            if found is None:
                if proof and key not in machine.outstanding and self._absent(placement, report):
                    if placement.phase is Phase.STOPPING or placement.seen:
                        self._lost(placement, placement.why or "not on its machine", now)
                continue
            if found.status == ENDED:
                ended.add(key)
                self._ended(machine, placement, found, now)
            else:
                placement.held(found.status, report.tenure, now)
                if placement.running_at == now:
                    self._runs(placement, now)
                spec = self.jobs[placement.job].spec
                if found.status == "pulling":
                    machine.lacks(spec.image)
                else:
                    machine.uses(spec.image, spec.image_gb)
        strange: dict[tuple[str, int], int] = {}
        for key, item in held.items():
            if item.status == ENDED:
                ended.add(key)
                job = self.jobs.get(key[0])
                if item.cause == "done" and job and job.active and 0 <= key[1] < job.spec.tasks:
                    self._done_elsewhere(job, key[1], now)
            else:
                strange[key[0], key[1]] = key[2]
        for job_id in sorted({job for job, _ in [*machine.strange, *strange]}):
            here = any(job_id == other for other, _ in strange)
            where = self.strange.setdefault(job_id, set())
            (where.add if here else where.discard)(machine.name)
            if not where:
                del self.strange[job_id]
        machine.strange = strange
        machine.ended = ended

    def _runs(self, placement: Placement, now: float) -> None:
        job = self.jobs[placement.job]
        if job.started_at is None:
            job.started_at = now
            waited = placement.placed_at - job.since
            log.info("job %s (%s) runs %.1f s after it %s: %.1f s for room, %.1f s on the way", job.id, job.spec.job_class, now - job.since,
                     "could start" if job.spec.needs else "was accepted", waited, now - placement.placed_at)  # fmt: skip

    def _absent(self, placement: Placement, report: Report) -> bool:
        """Whether a report under our token that lacks the task proves that it is not, and will not be, there."""
        if placement.ordered is not None and (report.tenure, report.tally) <= placement.ordered:
            return False
        return placement.phase >= Phase.ORDERED

    def _done_elsewhere(self, job: Job, task: int, now: float) -> None:
        if job.spec.kind == "service":
            return
        for other in range(job.spec.tasks) if job.spec.kind == "gang" else (task,):
            placement = job.live.get(other)
            if placement is not None and job.spec.kind != "gang":
                self._stop(placement, "done already", 0.0, now)
                continue
            self._finish(job, other, now)

    def _ended(self, machine: Machine, placement: Placement, item: Held, now: float) -> None:
        job = self.jobs[placement.job]
        cause = item.cause or "error"
        if cause == "done" and job.spec.kind != "service" and job.active:
            machine.failed.clear()
            machine.uses(job.spec.image, job.spec.image_gb)
            self._learn(job, placement, now)
            tasks = range(job.spec.tasks) if job.spec.kind == "gang" else (placement.task,)
            for task in tasks:
                self._finish(job, task, now)
            job.breaking = job.broke = None
        elif cause in ("error", "no_such") and placement.phase is not Phase.STOPPING and job.active:
            self._own_failure(machine, placement, cause, now)
        else:
            if cause == "no_room":
                machine.no_room_until = now + self.workers.report_s
            if cause == "error":
                job.broke = job.broke or (Failure(0, now, f"error on {machine.name}") if job.spec.kind == "gang" else None)
            self._lost(placement, cause, now)

    def _learn(self, job: Job, placement: Placement, now: float) -> None:
        """Owners' estimates are often wrong, on some days mostly one way: a class's are corrected by what its tasks took."""
        spec = job.spec
        if placement.running_at is None or spec.estimate_s <= 0 or (placement.attempt > 1 and spec.checkpoint_s > 0):
            return
        ratio = min(4.0, max(0.25, (now - placement.running_at) / spec.estimate_s))
        weight = 1 / min(self.learnt.get(spec.job_class, (1.0, 0))[1] + 2, 20)
        known, seen = self.learnt.get(spec.job_class, (1.0, 0))
        self.learnt[spec.job_class] = (known + (ratio - known) * weight, seen + 1)

    def run_s(self, spec: Spec) -> float:
        return spec.estimate_s * self.learnt.get(spec.job_class, (1.0, 0))[0]

    # -- orders ---------------------------------------------------------------------------------

    def orders(self, machine: Machine, now: float, checkin: Report | None) -> list[Order]:
        """What the machine is to do. With a check-in they go into its answer; without, they go directly."""
        out: list[Order] = []
        for placement in machine.live.values():
            name = task_name(placement.job, placement.task)
            if placement.phase is Phase.STOPPING:
                out.append(Order(verb=KILL, share=name, attempt=placement.attempt, leeway_s=placement.leeway))
            elif placement.phase is Phase.COMMITTED or (placement.phase is Phase.ORDERED and not placement.seen):
                out.append(Order(verb=RUN, share=name, attempt=placement.attempt))
                if checkin:
                    placement.answered_with_start(checkin.tenure, checkin.tally)
        for (job_id, task), attempt in machine.strange.items():
            out.append(Order(verb=KILL, share=task_name(job_id, task), attempt=attempt, leeway_s=0.0))
        if checkin or machine.to is not None:
            for job_id, task, attempt in sorted(machine.ended):
                if (job_id, task, attempt) not in machine.outstanding and self._forgettable(job_id, task, attempt):
                    out.append(Order(verb=FORGET, share=task_name(job_id, task), attempt=attempt))
        return out[:ORDERS_AT_ONCE]

    def _forgettable(self, job_id: str, task: int, attempt: int) -> bool:
        """Only once its outcome is durable; and never while a start of it may still arrive."""
        job = self.jobs.get(job_id)
        if job is None:
            return True
        if not 0 <= task < job.spec.tasks:
            return True
        live = job.live.get(task)
        if live is not None and live.attempt == attempt:
            return False
        chunk = job.chunk_of(task)
        return job.phase is not JobPhase.OVER and chunk.durable >= chunk.gen

    def direct(self, machine: Machine, now: float) -> list[Order]:
        """Orders worth a message of their own; marks their starts as outstanding until answered."""
        if machine.sending or not machine.address or not machine.tenure:
            return []
        out = self.orders(machine, now, None)
        token = self.token(machine)
        for order in out:
            placement = machine.live.get(split_task(order.share))
            if order.verb == RUN and placement:
                placement.sent_directly(machine.tenure)
                machine.outstanding[(*placement.key, placement.attempt)] = token
        return out

    def direct_answered(self, machine: Machine, orders: list[Order]) -> None:
        for order in orders:
            machine.outstanding.pop((*split_task(order.share), order.attempt), None)

    def direct_unanswered(self, machine: Machine, orders: list[Order]) -> None:
        """A start may still arrive, even minutes late: raise the token, so that it cannot."""
        if any(order.verb == RUN for order in orders):
            machine.bump = True
            self.ledger.changing[machine.name] = None

    # -- stopping -------------------------------------------------------------------------------

    def leeway(self, spec: Spec) -> float:
        return spec.save_s + self.workers.gang_peer_s if spec.checkpoint_s > 0 else 0.0

    def preempt(self, job: Job, tasks: list[int], why: str, now: float) -> None:
        """Stop work so that what it has can be saved; a gang as a whole and in time."""
        leeway = self.leeway(job.spec)
        if job.spec.kind == "gang":
            if not job.breaking:
                self._break(job, why, now, leeway)
            return
        for task in tasks:
            placement = job.live.get(task)
            if placement and placement.phase is not Phase.STOPPING:
                self._stop(placement, why, leeway, now)

    def _drain(self, machine: Machine, now: float) -> None:
        for placement in list(machine.live.values()):
            if placement.phase is not Phase.STOPPING and machine.live.get(placement.key) is placement:
                self.preempt(self.jobs[placement.job], [placement.task], machine.why or "drained", now)

    def _recalled(self, machine: Machine, notice: float, now: float) -> None:
        if machine.recall_at is None:
            log.info("machine %s is being taken back in %.1f s", machine.name, notice)
        machine.recall_at = now + notice
        machine.leave("recalled")
        for placement in list(machine.live.values()):
            if machine.live.get(placement.key) is not placement or placement.recalled:
                continue
            placement.recalled = True
            job = self.jobs[placement.job]
            # What cannot save in time had better go on: it may finish first.
            if (job.active and job.spec.checkpoint_s > 0 and job.spec.save_s < notice) or placement.status != "running":
                self.preempt(job, [placement.task], "machine taken back", now)

    def cancel(self, job_id: str, at: float, stamp: int, now: float) -> None:
        job = self.jobs.get(job_id)
        if job is None or job.phase in (JobPhase.CANCELLED, JobPhase.FINAL):
            return
        log.info("job %s is cancelled; %d tasks to stop", job_id, len(job.live))
        job.cancel(at)
        job.stamp = max(job.stamp, stamp)
        job.breaking = None
        self.pipelines.cancelled(job, now)
        if not job.done:
            self._exonerate(job)  # most that fail until they are cancelled were submitted with a mistake
        self.ending[job_id] = job
        self.parks.drop(job_id)
        for placement in list(job.live.values()):
            self._stop(placement, "cancelled", 0.0, now)

    def machine_gone(self, name: str, now: float) -> None:
        """Its key is deleted, which happens only on proof: released with 200, or listed as failed."""
        machine = self.machines.pop(name, None)
        if machine is None:
            return
        for placement in list(machine.live.values()):
            if machine.live.get(placement.key) is placement:
                self._lost(placement, "machine gone", now)
        for where in self.strange.values():
            where.discard(name)
        self.strange = {job: where for job, where in self.strange.items() if where}

    # -- time -----------------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        self.clock = now
        self.pipelines.look(now)
        for park in self.parks.due(now):
            job = self.jobs.get(park.job)
            if job:
                self.stale = True
                for task in range(park.low, park.high + 1):
                    job.wake(task, park.failure)
        if now - self.ticked < self.workers.report_s / 4:
            return
        self.ticked = now
        silent = [m for m in self.machines.values() if m.last_at is not None and m.silent_for(now) > self.silent_s]
        up = sum(1 for m in self.machines.values() if m.last_at is not None)
        # Where most fall silent at once, the fault may be on our side: the part may yet move to a controller
        # that hears them. But not for ever, or two dead machines of two would hold their tasks for good.
        patience = self.silent_s if len(silent) * 2 <= up else 2 * self.silent_s
        gap = 2 * self.workers.report_s
        unheard = self._patience(now)
        for machine in self.machines.values():
            if machine.phase is MachinePhase.DOOMED:
                continue
            if machine.inherited:
                if now - machine.since > unheard:
                    self._doom(machine, "not heard since the part was taken over")
            elif machine.phase is MachinePhase.EXPECTED:
                # Some machines never come up, and are charged all the same. Counted from the rental: counted from
                # when we came to know of it, each takeover kept such a machine for as long again.
                if now - machine.rented > 2.5 * machine.shape.boot_s and now - machine.since > self.silent_s:
                    self._doom(machine, "never came up")
            elif machine.recall_at is not None and now > machine.recall_at and machine.silent_for(now) > gap:
                self._doom(machine, "taken back")
            elif machine.why == "suspect" and not machine.live:
                self._doom(machine, "suspect")
            elif machine.last_at is not None and machine.silent_for(now) > patience:
                # Silence is no proof that its tasks stopped. Releasing it makes one.
                self._doom(machine, "silent")
        for job in list(self.ending.values()):
            if job.live:
                self._end_cancelled(job, now)
            elif job.id not in self.jobs:
                del self.ending[job.id]

    @property
    def silent_s(self) -> float:
        return 1.1 * self.workers.lease_s + self.workers.report_s

    def _patience(self, now: float) -> float:
        """How long to wait for the workers that a part was taken over with. Where more than a quarter stay away, the owner
        before may still answer them: cut off from the state service alone it does so for a while, does not know that it
        was replaced, and holds them until then. Their machines used to be given up with all their work (inc-f1aa)."""
        if self.unheard_s is None:
            away = sum(machine.inherited for machine in self.machines.values())
            if now - self.taken_at <= self.silent_s:
                return self.silent_s
            # Decided once: the others come back one by one, and the last must not be given up because the rest are there.
            held = away * 4 > self.taken
            self.unheard_s = self.silent_s + (max(self.silent_s, self.workers.cancel_s - self.workers.lease_s) if held else 0.0)
        return self.unheard_s

    def _end_cancelled(self, job: Job, now: float) -> None:
        """Tasks of a cancelled job must be gone in time, even where nobody can reach their machine."""
        limit = (job.cancelled_at or now) + self.workers.cancel_s / 2 - self.shared.skew_ms / 1000
        for placement in job.live.values():
            machine = self.machines.get(placement.machine)
            if machine and now > limit:
                self._doom(machine, f"holds a task of cancelled job {job.id}")

    def _doom(self, machine: Machine, why: str) -> None:
        if machine.phase is MachinePhase.DOOMED:
            return
        log.info("machine %s is given up: %s", machine.name, why)
        machine.doom(why)
        machine.doom_gen = 1
        self.ledger.changing[machine.name] = None

    # -- scheduling -----------------------------------------------------------------------------

    def waiting(self, now: float, look: _Pass | None = None) -> list[Job]:
        out = [
            job
            for job in self.jobs.values()
            if job.active and job.ready and not job.waits and not job.breaking and job.id not in self.strange
            and (job.spec.kind != "gang" or job.ready == job.spec.tasks)
        ]  # fmt: skip
        out.sort(key=lambda job: self._rank(job, now, look))
        return out

    def slack(self, job: Job, now: float) -> float:
        """Seconds until the job had better be running."""
        spec = job.spec
        if math.isinf(job.due):
            return job.since + self.aim_s(spec) - now
        return job.due - self.run_s(spec) - now

    def pressed(self, job: Job, now: float) -> bool:
        """Whether lower work is to be stopped for it. Not for a priority that is only carried back to it, as long as it can
        wait for a boot, or once it is too late to help what comes after. Steps of pipelines stopped whole gangs, and each
        other's tasks that save nothing, for places that came free a few seconds later (hunted day: 3425 tasks lost)."""
        if job.priority <= job.spec.priority:
            return True
        boot_s = max((shape.boot_s for shape in self.catalog.values()), default=self.workers.lease_s)
        return (job.submitted - job.due) / 2 < self.slack(job, now) < boot_s

    def aim_s(self, spec: Spec) -> float:
        aims = [o.within_s for o in self.shared.objectives if o.kind == "wait" and o.job_class == spec.job_class]
        aims += [o.within_s for o in self.shared.objectives if o.kind == "guarantee"]
        return min((aim for aim in aims if aim is not None), default=self.workers.lease_s)

    def _rank(self, job: Job, now: float, look: _Pass | None = None) -> tuple[float, ...]:
        """Priority; then what can still be in time, then what can be in time for the later aim, then the rest.
        Among deadlines the least work comes first: when not all can be met, that way the most are. What is
        long overdue comes first again, so that nothing starves. What would find its image on the machines that are
        free goes ahead of what has waited a few fetches longer: where machines are short, fetching wastes them."""
        spec = job.spec
        if job.doubtful:
            return (-job.priority, 9.0, job.since)
        if spec.kind == "array" and math.isinf(job.due):
            return (-job.priority, *self.worth.rank(job, self.run_s(spec), now), job.since)
        if math.isinf(job.due):
            ahead = 0.0
            if look is not None and look.holders(spec, spec.tasks if spec.kind == "gang" else 1):
                ahead = FETCHES_AHEAD * placing.image_s(spec, next(iter(self.catalog.values())))
            turn, size = self._turn(job, now)
            return (-job.priority, turn, size, job.since - now - ahead)
        deadline_s = max(job.due - job.submitted, 1e-3)
        late = now + self.run_s(spec) * (1 - self.grace) - job.submitted
        times = sorted(o.times for o in self.shared.objectives if o.kind == "deadline" and o.job_class == spec.job_class and o.times)
        rank = float(sum(1 for factor in times or [1.0] if late > deadline_s * factor))
        if late > deadline_s * 4:
            rank = 0.0
        return (-job.priority, rank, (spec.tasks - job.done) * self.run_s(spec) * max(spec.gpus, 1.0))

    def _turn(self, job: Job, now: float) -> tuple[float, float]:
        """When not all can start in time, the most do if the small go first while they are in time for the first
        aim. Before the last aim passes the large have their turn; what is late for all goes last, but not for ever."""
        aims = self._wait_aims(job.spec.job_class)
        if not aims:
            return 0.0, 0.0
        first, last, age = aims[0], aims[-1], now - job.since
        if last * 0.6 < age <= last or age > 3 * last:
            return 0.0, 0.0
        if age <= first:
            return 1.0, job.spec.tasks * max(job.spec.gpus, 1.0)
        return (2.0, 0.0) if age <= last else (3.0, 0.0)

    def _wait_aims(self, job_class: str) -> list[float]:
        if job_class not in self.aims:
            within = [o.within_s for o in self.shared.objectives if o.kind == "wait" and o.job_class == job_class]
            self.aims[job_class] = sorted(aim for aim in within if aim)
        return self.aims[job_class]

    grace = 0.25  # estimates are often wrong: a job is late for sure only with this share of its run time to spare

    def schedule(self, now: float) -> None:
        """One pass: place what fits, keep and make room for what does not, and tell what is lacking."""
        self.stale = False
        self.looked = self.seen
        short: list[tuple[Job, int, str]] = []
        self.reserved = set()
        if self.owed:
            self._pass_on(now)
        look = _Pass(self.machines.values(), now)
        for job in self.waiting(now, look):
            missing = self._try_place(job, look, now)
            if job.doubtful:
                continue  # tried where there is room: nothing is stopped, kept or rented for it alone
            zone = ""
            if missing and job.spec.kind == "gang" and job.spec.tasks > 1:
                zone, kept = self._keep_for_gang(job, look)
                missing -= kept
            if now - job.preempted_at < self.workers.lease_s / 2:
                missing -= job.cleared  # room is being made already
            if missing > 0:
                short.append((job, missing, zone))
        lowest = min((self.jobs[p.job].priority for p in self._some_live()), default=0)
        lower: dict[int, list[tuple[Machine, list[Placement]]]] = {}
        for job, missing, zone in short:
            # Nothing of lower priority runs, mostly: then there is nothing to look at.
            if job.priority > lowest and now - job.preempted_at >= self.workers.lease_s and self.pressed(job, now):
                if job.priority not in lower:
                    lower[job.priority] = self._lower_work(job.priority)
                self._make_room(job, missing, zone, lower[job.priority], now)
        self.wants = self._net_wants(short, look, now)

    def _some_live(self) -> Iterable[Placement]:
        """One placement of each job that has any: they share the job's priority."""
        return (next(iter(job.live.values())) for job in self.jobs.values() if job.live)

    def _try_place(self, job: Job, look: _Pass, now: float) -> int:
        """Place what fits; the number of tasks that want room and found none."""
        spec = job.spec
        permitted = min(self.usage.room(spec), job.ready)
        if job.doubtful and spec.kind != "gang":
            permitted = min(permitted, 1 - len(job.live))  # one task at a time tells as much as all
        if (spec.kind == "gang" and permitted < spec.tasks) or permitted <= 0:
            return 0
        need = (spec.cpus, spec.gpus, spec.memory_gb)
        anywhere = (tuple(spec.types or ()), spec.zone, spec.spot)
        together = (*anywhere, spec.one_zone, spec.spread)
        if look.barren.holds(anywhere, need, 1) or (spec.kind == "gang" and look.barren.holds(together, need, spec.tasks)):
            return permitted
        free = [machine for machine in look.open if machine.name not in self.reserved]
        options = placing.choices(job, free, now)
        picked = placing.select(job, options, permitted, self.zone_of)
        if not options:
            look.barren.note(anywhere, need, 1)
        elif not picked and spec.kind == "gang":
            look.barren.note(together, need, spec.tasks)
        if picked:
            tasks = job.ready_tasks(len(picked))
            attempt = job.attempt_for(0)
            for task, machine in zip(tasks, picked, strict=True):
                self._place(job, task, machine, attempt if spec.kind == "gang" else job.attempt_for(task), now)
            log.info("job %s: %d tasks placed on %s", job.id, len(picked), ",".join(sorted({m.name for m in picked})))
        return permitted - len(picked)

    def zone_of(self, machine: str) -> str:
        known = self.machines.get(machine)
        return known.zone if known else "?"

    def _lower_work(self, priority: int) -> list[tuple[Machine, list[Placement]]]:
        """Machines with work below a priority, and that work; none where something is being stopped already."""
        out = []
        for machine in self.machines.values():
            if not machine.usable or not machine.live or machine.name in self.reserved:
                continue
            lower = [p for p in machine.live.values() if self.jobs[p.job].priority < priority]
            if lower and not any(p.phase is Phase.STOPPING for p in machine.live.values()):
                out.append((machine, lower))
        return out

    def _make_room(self, job: Job, missing: int, zone: str, candidates: list[tuple[Machine, list[Placement]]], now: float) -> None:
        """Stop work of lower priority of this team for it, once per lease at most for any one job."""
        spec = job.spec
        victims: list[tuple[float, Machine]] = []
        for machine, lower in candidates:
            if not placing.permits(spec, machine.type, machine.zone, machine.spot):
                continue
            if (spec.one_zone and zone and machine.zone != zone) or any(p.phase is Phase.STOPPING for p in lower):
                continue
            cpus = machine.cpus + sum(self.jobs[p.job].spec.cpus for p in lower)
            gpus = machine.gpus + sum(self.jobs[p.job].spec.gpus for p in lower)
            memory = machine.memory + sum(self.jobs[p.job].spec.memory_gb for p in lower)
            if cpus + 1e-6 < spec.cpus or gpus + 1e-6 < spec.gpus or memory + 1e-6 < spec.memory_gb:
                continue
            # While one of its machines fetches, all of a gang's wait.
            loss = sum(self._loss(p, now) for p in lower) + placing.fetch_s(spec, machine) * (spec.gpus or spec.cpus) * missing
            victims.append((loss, machine))
        if spec.one_zone and spec.tasks > 1 and not zone:
            by_zone = [victim[1].zone for victim in victims]
            best = max(sorted(set(by_zone)), key=by_zone.count, default="")
            victims = [victim for victim in victims if victim[1].zone == best]
        victims.sort(key=lambda victim: (victim[0], victim[1].name))
        job.cleared = len(victims[:missing])
        for _, machine in victims[:missing]:
            job.preempted_at = now
            log.info("job %s takes the place of lower work on %s", job.id, machine.name)
            for placement in list(machine.live.values()):
                other = self.jobs.get(placement.job)
                if other and other.priority < job.priority and machine.live.get(placement.key) is placement:
                    self.preempt(other, [placement.task], f"made room for {job.id}", now)

    def _loss(self, placement: Placement, now: float) -> float:
        """Work lost by stopping it now, in GPU-seconds (or CPU-seconds where it uses no GPU)."""
        spec = self.jobs[placement.job].spec
        if placement.held_at is None:
            return 0.0
        ran = now - placement.held_at
        lost = spec.save_s if spec.checkpoint_s > 0 else ran
        lost += max(0.0, 30.0 - ran)  # what is stopped this soon has not counted as started
        return lost * (spec.gpus or spec.cpus) * (spec.tasks if spec.kind == "gang" else 1)

    def _keep_for_gang(self, job: Job, look: _Pass) -> tuple[str, int]:
        """The zone where a gang that finds no room is best completed ("" if any will do), and how many of
        its tasks the machines kept for it there would take. Without this, lesser work and other teams
        would take each machine before the last one is there."""
        spec = job.spec
        rooms: dict[str, list[tuple[Machine, int]]] = {}
        promise: dict[str, int] = {}
        need = (spec.cpus, spec.gpus, spec.memory_gb)

        def suits(label: str, zone: str, spot: bool) -> bool:
            return placing.permits(spec, label, zone, spot)

        for machine in look.open:
            zone = machine.zone if spec.one_zone else ""
            if machine.name in self.reserved or not suits(machine.type, machine.zone, machine.spot):
                continue
            if room := machine.fits(*need):
                rooms.setdefault(zone, []).append((machine, room))
                promise[zone] = promise.get(zone, 0) + room
        for zone, room in look.coming.zones(suits, need).items():
            zone = zone if spec.one_zone else ""
            promise[zone] = promise.get(zone, 0) + room
        best = max(sorted(promise), key=lambda zone: promise[zone], default="")
        kept = 0
        for machine, room in rooms.get(best, ()):
            if kept < spec.tasks:
                self.reserved.add(machine.name)
                kept += room
        return best, min(kept, spec.tasks)

    def _machine_loss(self, machine: Machine, now: float) -> float:
        loss = sum(self._loss(placement, now) for placement in machine.live.values())
        return loss / (machine.shape.accelerators or machine.shape.cpus)

    def _net_wants(self, short: list[tuple[Job, int, str]], look: _Pass, now: float) -> list[Want]:
        """What is lacking once the machines still booting are counted in."""
        cpus, gpus = self.usage.cpus, self.usage.gpus
        out: list[Want] = []
        for job, missing, zone in short:
            spec = job.spec
            if not guaranteed(self.team, cpus + spec.cpus * missing, gpus + spec.gpus * missing):
                missing = min(missing, self.worth.pays(job, self.run_s(spec)))
            cpus += spec.cpus * missing
            gpus += spec.gpus * missing

            def suits(label: str, where: str, spot: bool, spec: Spec = spec, zone: str = zone) -> bool:
                return zone in ("", where) and placing.permits(spec, label, where, spot)

            missing -= look.coming.take(suits, (spec.cpus, spec.gpus, spec.memory_gb), missing)
            if missing > 0 and len(out) < MOST_WANTS:
                out.append(
                    Want(
                        spec.cpus, spec.gpus, spec.memory_gb, tuple(spec.types or ()), spec.zone or zone, spec.spot,
                        spec.one_zone and spec.tasks > 1, missing, job.priority, guaranteed(self.team, cpus, gpus),
                        self.slack(job, now), spec.image, spec.tasks if spec.one_zone and not spec.zone and zone else 0,
                        math.isinf(job.due) and not self.worth.promised(spec),
                    )
                )  # fmt: skip
        return out

    def came(self, job: Job, now: float) -> None:
        """A new job, and not one read at a takeover: what has come of late tells what is to be expected."""
        if job.spec.deadline_s is None and job.spec.kind != "service" and not job.waits:
            per = max((capacity(shape, job.spec.cpus, job.spec.gpus, job.spec.memory_gb) for shape in self.catalog.values()), default=1)
            self.arrived.append((now, -(-job.spec.tasks // max(per, 1)), job.spec))
            self._lately(now)  # here too: where no machine ever stands empty, nobody else looks

    def headroom(self, now: float) -> int:
        """How many empty machines to keep at hand for jobs that are not to wait: one standard deviation of what comes
        in a boot's time. On the mean, what ends makes room for what comes; it is the swings that would have to wait
        for a boot, or for other work to save itself."""
        self._lately(now)
        return round(math.sqrt(sum(size * size for _, size, _ in self.arrived) / BOOTS_BACK))

    def _lately(self, now: float) -> None:
        """Forget what came longer ago than is looked back on."""
        boot_s = max((shape.boot_s for shape in self.catalog.values()), default=self.workers.lease_s)
        while self.arrived and now - self.arrived[0][0] > BOOTS_BACK * boot_s:
            self.arrived.popleft()

    def _at_hand(self, idle: list[Machine], now: float) -> set[str]:
        """The empty machines to keep, within the guarantee only; those that hold most images first."""
        keep = self.headroom(now) if idle else 0
        out: set[str] = set()
        cpus, gpus = self.usage.cpus, self.usage.gpus
        for machine in sorted(idle, key=lambda m: (-len(m.images), m.name)) if keep else ():
            cpus, gpus = cpus + machine.shape.cpus, gpus + machine.shape.accelerators
            if len(out) >= keep or not guaranteed(self.team, cpus, gpus):
                break
            if any(placing.permits(spec, machine.type, machine.zone, machine.spot) for _, _, spec in self.arrived):
                out.add(machine.name)
        return out

    def picture(self, now: float) -> Picture:
        # A machine that came after the last pass is not idle: nobody has looked yet at what it is for. Told as idle, with the
        # wants of that pass, it was lent back to where it came from; so two parts of one controller handed their machines
        # to each other for a minute, and nothing ran.
        empty = [
            m for m in self.machines.values()
            if m.empty and m.idle_since is not None and m.usable and m.name not in self.reserved and m.stamp <= self.looked
        ]  # fmt: skip
        kept = self._at_hand(empty, now)
        idle = [(m.name, now - (m.idle_since or now)) for m in empty if m.name not in kept]
        busy = [
            Busy(m.name, max(self.jobs[p.job].priority for p in m.live.values()), self._machine_loss(m, now))
            for m in self.machines.values()
            if m.live and m.usable and m.name not in self.reserved
        ]  # fmt: skip
        waiting = sum(job.ready for job in self.jobs.values() if job.active and not job.waits)
        return Picture(self.name, self.looked, self.wants, idle, busy, len(self.machines), waiting, self._beyond(busy))

    def _beyond(self, busy: list[Busy]) -> int:
        """How many machines' work the team runs beyond its guarantee. Machines that stand empty or boot do not
        count: taking running work for those made machines go round between teams that were all within theirs."""
        cpus, gpus = self.usage.cpus, self.usage.gpus
        beyond = 0
        for item in sorted(busy, key=lambda item: item.loss_s):
            machine = self.machines[item.machine]
            cpus -= machine.shape.cpus - machine.cpus
            gpus -= machine.shape.accelerators - machine.gpus
            if guaranteed(self.team, cpus + 1e-3, gpus + 1e-3) and not self._at_least(cpus, gpus):
                break
            beyond += 1
        return beyond

    def _at_least(self, cpus: float, gpus: float) -> bool:
        """Whether so much still fills the guarantee."""
        team = self.team
        return not ((team.gpus > 0 and gpus < team.gpus - 1e-6) or (team.cpus > 0 and cpus < team.cpus - 1e-6))

    def yield_machine(self, name: str, to: str, now: float) -> None:
        """The leader wants it elsewhere. It goes if empty, by a write under our fence."""
        machine = self.machines.get(name)
        if machine is not None and machine.usable and machine.empty and to != self.name:
            machine.to = to
            machine.leave("moves")
            self.ledger.changing[name] = None

    def recall(self, order: Recalled, now: float) -> None:
        """Vacate machines for a team that lacks its guarantee, or for work of higher priority."""
        for name in order.machines:
            machine = self.machines.get(name)
            if machine and machine.usable and name not in self.reserved:
                log.info("machine %s is vacated for team %s", name, order.to)
                machine.leave(f"recalled for {order.to}")
                machine.to = order.to
                self.ledger.changing[name] = None
                self._drain(machine, now)

    def owe(self, order: Owed, now: float) -> None:
        self.owed[order.to] = (order, now + self.workers.lease_s)

    def _pass_on(self, now: float) -> None:
        """Nothing is stopped for it: only what has come free goes, before our own work takes it."""
        for machine in self.machines.values():
            if machine.live or machine.strange or not machine.usable:
                continue
            for to, (order, until) in list(self.owed.items()):
                if now > until or order.number <= 0:
                    del self.owed[to]
                elif (not order.types or machine.type in order.types) and order.zone in ("", machine.zone) and (order.spot or not machine.spot):
                    machine.to = to
                    machine.leave(f"passed on to {to}")
                    self.ledger.changing[machine.name] = None
                    self.owed[to] = (order._replace(number=order.number - 1), until)
                    break

    def counts(self) -> list[tuple[str, int, int]]:
        return [(job.id, job.done, job.running) for job in self.jobs.values() if job.active]
