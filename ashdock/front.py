"""What users, workers and health checks ask of a controller, and how each is answered."""

from __future__ import annotations

import asyncio
import logging
import re
import time
from collections import OrderedDict
from collections.abc import Coroutine, Mapping
from typing import Any, NamedTuple, Protocol

from ashdock.admission.control import Admission, Refusal
from ashdock.admission.shares import SocketUse
from ashdock.cancellation.orphan_leases import OrphanLeaseRenewer
from ashdock.core.job import fit_job_record, job_record, spec_of_record
from ashdock.core.machine import capacity
from ashdock.core.quota import limit_permits_job
from ashdock.core.write_limits import WriteLimits
from ashdock.net.http import Request, Response
from ashdock.net.mesh import Mesh
from ashdock.net.rate_limiter import RequestPriority
from ashdock.net.store import (
    CompareFailedError,
    Entry,
    StoreClient,
    StoreUnavailableError,
)
from ashdock.net.watch_cache import WatchCache
from ashdock.settings import Shared, Workers
from ashdock.status_reader import KnownJob, StatusReader, StatusReaderBusyError, known_job_of
from ashdock.wire import messages
from ashdock.wire.messages import JobKind, JobSpec, JobStatus, MalformedMessageError
from ashdock.wire.peer_messages import ForwardReply

log = logging.getLogger("ashdock.front")

JOB = re.compile(r"^/v2/runs/([0-9A-Za-z_.-]{1,120})(/withdraw)?$")
ANSWER_S = 1.5  # a status is given up after this: its user waits 2 s
RECORD_GROWS = 300  # bytes by which a record may come to be longer: a reason, and when it ended
NEEDS_AT_ONCE = 8  # reads of what a submission names
NEEDS_NAMED = 10  # of what a job waits for, to who asks


class Final(NamedTuple):
    """A job that is over."""

    status: str
    tasks: int
    reason: str | None
    done_at: float | None  # if that was noted


def error(status: int, why: str, retry_after: int | None = None) -> Response:
    return Response(status, messages.encode({"error": why}), retry_after)


def refused(refusal: Refusal) -> Response:
    return error(refusal.status, refusal.reason, refusal.retry_after)


def use_of(target: str) -> SocketUse:
    """What a connection is for, by what is asked over it."""
    path = target.partition("?")[0]
    if path == "/checkin":
        return SocketUse.WORKER
    return SocketUse.PROBE if path in ("/ready", "/metrics") else SocketUse.USER


class Answering(Protocol):
    """Whoever owns a shard here."""

    async def on_heartbeat(
        self, heartbeat: messages.Heartbeat
    ) -> messages.HeartbeatResponse | None: ...


class Adopting(Protocol):
    """Whoever leads here."""

    def on_heartbeat(self, heartbeat: messages.Heartbeat, recorded: bool) -> None: ...


class Sent(NamedTuple):
    """Where a worker was sent on to, when, and under which token that one acted."""

    at: float
    label: str
    token: int


class FrontContext(Protocol):
    """What of its controller the front uses, and no more."""

    label: str
    shared: Shared
    workers: Workers
    ttl_s: float
    write_limits: WriteLimits
    admission: Admission
    catalog: dict[str, messages.MachineType]
    store: StoreClient
    machines: WatchCache
    mesh: Mesh
    orphan_leases: OrphanLeaseRenewer

    @property
    def owners(self) -> Mapping[str, Answering]: ...

    @property
    def leader(self) -> Adopting | None: ...

    def now(self) -> float: ...

    def ready(self) -> bool: ...

    def state_fresh(self) -> bool: ...

    def leader_label(self) -> str | None: ...

    def owner_label(self, team: str) -> str | None: ...

    def token_of(self, machine: str) -> int: ...

    def heard_worker(self) -> None: ...

    def jobs_seen(self, path: str, value: Any, revision: int) -> None: ...

    def counts(self, team: str, job: str) -> tuple[int, int]: ...

    def metrics(self) -> Response: ...

    def broadcast_cancellation(self, job_id: str, team: str, revision: int, at: float) -> None: ...

    def spawn(self, job: Coroutine[Any, Any, Any]) -> None: ...

    async def relay(self, label: str, body: bytes) -> ForwardReply | None: ...


class Front:
    def __init__(self, context: FrontContext) -> None:
        self.context = context
        self.finals: OrderedDict[str, Final] = OrderedDict()
        self.reads: dict[str, asyncio.Future[Entry | None]] = {}
        self.looking: set[str] = set()  # jobs that others need, being looked up to tell who asks
        self.status_reader = StatusReader(
            context.store, ANSWER_S, self.saw, context.admission.memory.cached_jobs
        )
        self.redirected: dict[str, Sent] = {}  # worker: when we last sent it to its owner
        self.relaying: dict[str, Sent] = {}  # worker: relayed for since
        self.answered: dict[str, float] = {}  # worker: when an owner here last answered it
        self.orphans_renewed: set[str] = (
            set()
        )  # workers whose leases were kept for an owner that is gone, as the log has told

    async def handle(self, request: Request) -> Response:
        path = request.target.partition("?")[0]
        if path == "/checkin":
            return (
                await self.checkin(request.body)
                if request.method == "POST"
                else error(405, "POST only")
            )
        if path == "/ready":
            return Response(200, b"{}") if self.context.ready() else error(503, "not ready", 1)
        if path == "/v2/runs":
            return (
                await self.submit(request.body)
                if request.method == "POST"
                else error(405, "POST only")
            )
        if path == "/metrics":
            return self.context.metrics()
        match = JOB.match(path)
        if match is None:
            return error(404, "no such page")
        job_id, withdraw = match.groups()
        if withdraw:
            return (
                await self.withdraw(job_id) if request.method == "POST" else error(405, "POST only")
            )
        return await self.status(job_id) if request.method == "GET" else error(405, "GET only")

    # -- submissions ---------------------------------------------------------------------------------------------

    async def submit(self, body: bytes) -> Response:
        try:
            spec = messages.job_spec_of(messages.decode_submission(body))
        except MalformedMessageError as why:
            return error(400, str(why))
        context = self.context
        final = self.finals.get(spec.id)
        if final:
            return Response(200, self._final(spec.id, final))
        if not context.catalog:
            return error(503, "the machine types are not known yet", 1)
        if not self._state_usable():
            return error(503, "the state service does not answer", self._retry_after())
        # More than we can write or compute: said at once, since the user would only wait here for nothing.
        writes = context.store.write_limiter
        refusal_now = context.admission.admit_submission(
            writes.backlog_s(RequestPriority.USER, spec.team),
            time.monotonic(),
            spec.team,
            writes.service_time_s(2, RequestPriority.USER, spec.team),
        )
        if refusal_now:
            return refused(refusal_now)
        now = context.now()
        record = job_record(spec, round(now, 3))
        refusal: Response | None = None
        never = self.never(spec)
        if never:
            refusal = error(422, never)
        elif (
            len(messages.encode(record)) + RECORD_GROWS
            > context.write_limits.configured_value_bytes
        ):
            refusal = error(
                422, "the job names more machine types, or jobs that it needs, than can be stored"
            )
        elif spec.dependencies and not context.write_limits.announced_apply:
            # A controller of the version before may own the shard, now or soon, and would start the job at once.
            refusal = error(
                503, "jobs that need others are taken once every controller has the new version", 1
            )
        try:
            if refusal is None and spec.dependencies:
                refusal = await self._bounded(self._needs_refused(spec))
            if refusal is not None:
                # A job that was accepted is never refused afterwards, whatever its later copies say.
                entry = await self._bounded(self._read(spec.id))
                return Response(200, self._state(spec.id, entry)) if entry else refusal
        except StoreUnavailableError:
            return error(503, "the state service does not answer", self._retry_after())
        path = f"job/{spec.id}"
        accepted = {path: record, f"work/{spec.team}/{spec.id}/job": record}
        try:
            revision = await self._bounded(
                context.store.txn(
                    {path: 0}, accepted, priority=RequestPriority.USER, team=spec.team
                )
            )
        except CompareFailedError:
            try:
                entry = await self._read(spec.id)
            except StoreUnavailableError:
                return error(503, "the state service does not answer", self._retry_after())
            if entry is None:
                return error(503, "try again", 1)
            return Response(200, self._state(spec.id, entry))
        except StoreUnavailableError:
            return error(503, "the state service does not answer", self._retry_after())
        log.info(
            "job %s of %s accepted: %s of %d, priority %d",
            spec.id,
            spec.team,
            spec.kind,
            spec.tasks,
            spec.priority,
        )
        context.jobs_seen(path, record, revision)
        return Response(201, messages.encode({"id": spec.id, "status": JobStatus.QUEUED}))

    async def _needs_refused(self, spec: JobSpec) -> Response | None:
        """Why a job cannot wait for what it names, if so. That a job exists may be remembered, that it does not may not."""
        gate = asyncio.Semaphore(NEEDS_AT_ONCE)

        async def why(need: str) -> str | None:
            final = self.finals.get(need)
            if final is not None:
                return None
            known = self.status_reader.known.get(need)
            if known is None or known.kind == JobKind.SERVICE:  # one that is withdrawn may be named
                async with gate:
                    entry = await self._read(need) if need != spec.id else None
                if entry is None:
                    return f"{need} was never accepted"
                self.saw(need, entry.value, entry.revision)
                if entry.value["status"] != JobStatus.QUEUED:
                    return None
                known = known_job_of(entry.value, entry.revision)
            return (
                f"{need} is a service and is never done" if known.kind == JobKind.SERVICE else None
            )

        for reason in await asyncio.gather(*(why(need) for need in spec.dependencies or ())):
            if reason is not None:
                return error(422, reason)
        return None

    def never(self, spec: JobSpec) -> str | None:
        """Why the job can never run, if so."""
        context = self.context
        team = next((team for team in context.shared.teams if team.name == spec.team), None)
        if team is None:
            return f"no team {spec.team!r}"
        fits = [
            shape
            for shape in context.catalog.values()
            if (spec.machine_types is None or shape.label in spec.machine_types)
            and (spec.zone is None or spec.zone in shape.zones)
            and capacity(shape, spec.cpus, spec.gpus, spec.memory_gb) > 0
        ]
        if not fits:
            return "a task fits no machine type that the job allows"
        if spec.kind == JobKind.GANG and spec.one_zone and spec.spread and spec.tasks > 1:
            return "all tasks must run at once, in one zone, and at most half of them in any zone"
        if not limit_permits_job(team, spec):
            return f"the job needs more than the limit of team {spec.team!r}"
        return None

    # -- status ----------------------------------------------------------------------------------------------------

    async def status(self, job_id: str) -> Response:
        final = self.finals.get(job_id)
        if final:
            return Response(200, self._final(job_id, final))
        if not self._state_usable():
            return error(503, "the state service does not answer", self._retry_after())
        remembered = self.status_reader.known.get(job_id)
        behind = self.context.admission.admit_status_request(
            time.monotonic(), remembered.team if remembered else ""
        )
        if behind:
            return refused(behind)
        try:
            known = await self._bounded(self.status_reader.ask(job_id))
        except StatusReaderBusyError:
            return error(429, "too many questions at once", self._retry_after())
        except StoreUnavailableError:
            return error(503, "the state service does not answer", self._retry_after())
        final = self.finals.get(
            job_id
        )  # it may have ended meanwhile, and its user have been told elsewhere
        if final:
            return Response(200, self._final(job_id, final))
        if known is None:
            return error(404, "no such job")
        return Response(200, self._unfinished(job_id, known))

    async def withdraw(self, job_id: str) -> Response:
        context = self.context
        for _ in range(4):
            final = self.finals.get(job_id)
            if final:
                return Response(200, messages.encode({"id": job_id, "status": final[0]}))
            if not self._state_usable():
                break
            try:
                entry = await self._bounded(self._read(job_id))
                if entry is None:
                    return error(404, "no such job")
                if entry.value["status"] != JobStatus.QUEUED:
                    self.saw(job_id, entry.value, entry.revision)
                    continue
                record = {
                    **entry.value,
                    "status": JobStatus.WITHDRAWN,
                    "cancelled_at": round(context.now(), 3),
                }
                record = fit_job_record(record, context.write_limits.value_bytes)
                path = entry.path
                team = spec_of_record(record).team
                head = f"work/{team}/{job_id}/job"
                # Durable first. Every start names the job's revision, so none can be committed after this.
                revision = await self._bounded(
                    context.store.txn(
                        {path: entry.revision},
                        {path: record, head: record},
                        priority=RequestPriority.USER,
                        team=team,
                    )
                )
                log.info("job %s withdrawn", job_id)
                context.jobs_seen(path, record, revision)
            except CompareFailedError:
                continue
            except StoreUnavailableError:
                break
        return error(503, "try again", self._retry_after())

    def _state_usable(self) -> bool:
        """While the state service is known not to answer, users are told so at once."""
        store = self.context.store
        return (
            store.unavailable_since is None
            or time.monotonic() - store.unavailable_since < self.context.ttl_s / 8
        )

    def _retry_after(self) -> int:
        return 1 if self.context.state_fresh() else 2

    async def _bounded(self, call: Any) -> Any:
        """Given up in time for the user to hear of it: a poll waits 2 s."""
        try:
            async with asyncio.timeout(ANSWER_S):
                return await call
        except TimeoutError:
            raise StoreUnavailableError("no answer in time", outcome_unknown=True) from None

    async def _read(self, job_id: str) -> Entry | None:
        """A read that began after it was asked for... or is shared with others who ask at the same time."""
        future = self.reads.get(job_id)
        if future is None:
            future = asyncio.ensure_future(self._read_now(job_id))
            future.add_done_callback(
                lambda done: done.cancelled() or done.exception()
            )  # its readers may have given up
            self.reads[job_id] = future
        return await asyncio.shield(future)

    async def _read_now(self, job_id: str) -> Entry | None:
        # Only readers who come before the request is sent share it: an answer on its way may be too old.
        await asyncio.sleep(0)
        self.reads.pop(job_id, None)
        return await self.context.store.get(f"job/{job_id}", priority=RequestPriority.USER)

    def saw(self, job_id: str, value: dict[str, Any], revision: int) -> None:
        """A record of it came by."""
        self.status_reader.learn(job_id, value, revision)
        if value["status"] in (JobStatus.DONE, JobStatus.WITHDRAWN):
            spec = value["spec"]
            team, tasks = (
                (spec["team"], spec["tasks"]) if isinstance(spec, dict) else (spec.team, spec.tasks)
            )
            told = job_id in self.finals
            self._over(
                job_id, Final(value["status"], tasks, value.get("reason"), value.get("done_at"))
            )
            if value["status"] == JobStatus.WITHDRAWN and not told:
                self.context.broadcast_cancellation(
                    job_id, team, revision, value.get("cancelled_at", self.context.now())
                )

    def cancellation_received(self, job_id: str, team: str, revision: int, at: float) -> bool:
        """Another controller knows it to be withdrawn; whether that is new to us. We tell it on before a user hears it from us: one who
        does not hear the other may hear us."""
        if job_id in self.finals:
            return False
        self.status_reader.over(job_id)
        self._over(job_id, Final(JobStatus.WITHDRAWN, 0, None, None))
        self.context.broadcast_cancellation(job_id, team, revision, at)
        return True

    def _over(self, job_id: str, final: Final) -> None:
        self.finals[job_id] = final
        if len(self.finals) > self.context.admission.memory.cached_jobs:  # the rest are read again
            self.finals.popitem(last=False)

    def is_final(self, job_id: str) -> bool:
        return job_id in self.finals

    def is_withdrawn(self, job_id: str) -> bool:
        final = self.finals.get(job_id)
        return final is not None and final.status == JobStatus.WITHDRAWN

    async def outcome(self, job_id: str) -> tuple[str, float | None] | None:
        """How a job ended and when, as far as that was noted; None if it has not."""
        final = self.finals.get(job_id)
        if final is None:
            entry = await self.context.store.get(f"job/{job_id}")
            if entry is not None:
                self.saw(job_id, entry.value, entry.revision)
            final = self.finals.get(job_id)
        return (final.status, final.done_at) if final else None

    def _final(self, job_id: str, final: Final) -> bytes:
        return messages.status_answer(
            job_id,
            final.status,
            final.tasks if final.status == JobStatus.DONE else 0,
            0,
            final.reason,
        )

    def _state(self, job_id: str, entry: Entry) -> bytes:
        self.saw(job_id, entry.value, entry.revision)
        final = self.finals.get(job_id)
        return (
            self._final(job_id, final)
            if final
            else self._unfinished(job_id, known_job_of(entry.value, entry.revision))
        )

    def _unfinished(self, job_id: str, known: KnownJob) -> bytes:
        done, running = self.context.counts(known.team, job_id)
        reason = known.reason or (self._waits(known.needs) if not done and not running else None)
        return messages.status_answer(
            job_id, JobStatus.RUNNING if running else JobStatus.QUEUED, done, running, reason
        )

    def _waits(self, needs: tuple[str, ...]) -> str | None:
        """What a job still waits for. What we do not remember is looked up for the next who asks."""
        left = [need for need in needs if need not in self.finals]
        for need in left:
            if (
                need not in self.status_reader.known
                and need not in self.looking
                and len(self.looking) < NEEDS_AT_ONCE
            ):
                self.looking.add(need)
                self.context.spawn(self._look_up(need))
        left = [need for need in left if need in self.status_reader.known]
        more = f" and {len(left) - NEEDS_NAMED} more" if len(left) > NEEDS_NAMED else ""
        return f"waits for {', '.join(left[:NEEDS_NAMED])}{more}" if left else None

    async def _look_up(self, need: str) -> None:
        try:
            await self.outcome(need)
        except StoreUnavailableError:
            pass
        finally:
            self.looking.discard(need)

    # -- workers ---------------------------------------------------------------------------------------------------------

    async def checkin(self, body: bytes, relayed: bool = False) -> Response:
        try:
            report = messages.decode_heartbeat(body)
        except MalformedMessageError as why:
            return error(400, str(why))
        context = self.context
        if not relayed:
            context.heard_worker()
        entry = context.machines.entries.get(f"machine/{report.machine}")
        if entry is None or entry.value["p"] == "":
            return self._ownerless(report, known=entry is not None)
        team = entry.value["p"]
        owner = context.owners.get(team)
        if owner is not None:
            orders = await owner.on_heartbeat(report)
            if orders is not None:
                self.redirected.pop(report.machine, None)
                if len(self.answered) > 5000:
                    self.answered.clear()
                self.answered[report.machine] = time.monotonic()
                return Response(200, messages.encode(orders))
            # It waited for a shard that was being read: the machine may have gone to another team meanwhile.
            entry = context.machines.entries.get(f"machine/{report.machine}")
            team = entry.value["p"] if entry else ""
        label = context.owner_label(team)
        if label is None or label == context.label or relayed:
            # An owner that may not renew must not do so as its own deputy.
            return (
                self._renew_orphan_lease(report) if owner is None and not relayed else None
            ) or error(503, "not the owner")
        return await self._elsewhere(report, body, label, team)

    def _ownerless(self, report: messages.Heartbeat, known: bool) -> Response:
        """Of a machine that is lent to nobody the leader keeps the lease, as long as it sees what is recorded and the machine holds
        nothing. Sent on by everybody, such a worker asked five times as often, its lease ran out all the same, and a task
        started there a moment before was killed with it. Told the token that it has, it is as free for its next owner as before."""
        leader = self.context.leader
        if leader:
            leader.on_heartbeat(report, known)
            if self.context.state_fresh() and not report.tasks:
                self.answered[report.machine] = time.monotonic()
                return Response(
                    200, messages.encode(messages.HeartbeatResponse(report.fencing_token, []))
                )
        label = self.context.leader_label()
        if leader is None and label and label != self.context.label:
            return Response(421, messages.encode({"harbour": label}))
        return error(503, "lent to nobody yet")

    def _renew_orphan_lease(self, report: messages.Heartbeat) -> Response | None:
        """Keep a worker's lease while nobody can own it."""
        now = time.monotonic()
        if self.context.state_fresh() or not self.context.orphan_leases.may_renew(report, now):
            return None
        if report.machine not in self.orphans_renewed:
            log.info(
                "keeping the lease of %s, whose owner is gone, while the state service does not answer",
                report.machine,
            )
            if len(self.orphans_renewed) > 5000:
                self.orphans_renewed.clear()
            self.orphans_renewed.add(report.machine)
        self.answered[report.machine] = now
        return Response(200, messages.encode(messages.HeartbeatResponse(report.fencing_token, [])))

    async def _elsewhere(
        self, report: messages.Heartbeat, body: bytes, label: str, team: str
    ) -> Response:
        """Send a worker to its owner; if it is back here soon, it can't reach the owner, so pass its report on."""
        context = self.context
        now = time.monotonic()
        lease = context.workers.lease_s
        token = context.token_of(report.machine)
        # What we remember holds for one claim. An owner that ended twice within a lease had all its workers here twice: taken for
        # unable to reach it, hundreds were relayed for, and each of their reports was computed by two controllers.
        sent, since = self.redirected.get(report.machine), self.relaying.get(report.machine)
        came_back = (
            sent is not None
            and sent.label == label
            and sent.token == token
            and 0.6 < now - sent.at < lease * 0.75
        )
        if since is not None and since.token != token:
            since = None
        # One that knows the token of the owner in office has been there, and would not be here had it been answered.
        # Sent back, it would wait out another report there, and by then its lease is over. But one that we answered a
        # report ago has not left us: its machine has just gone to another shard, whose orders told it the token.
        stayed = now - self.answered.get(report.machine, -1e9) < 1.5 * context.workers.report_s
        was_there = not stayed and report.fencing_token >= token
        hears = context.mesh.has_seen(label, context.ttl_s)
        # ForwardReply for as long as a lease lasts, it tries its owner again.
        home = since is not None and now - since.at >= lease
        heartbeat_forwarder = not home and ((was_there and hears) or came_back or since is not None)
        if heartbeat_forwarder:
            answer = await context.relay(label, body)
            if answer is not None and answer.status == 200:
                if since is None:
                    log.info("passing on the reports of %s to %s", report.machine, label)
                    if len(self.relaying) > 5000:
                        self.relaying.clear()
                    self.relaying[report.machine] = Sent(now, label, token)
                return Response(200, answer.body)
            # Up to two seconds have gone by: whoever did not answer may have been replaced.
            label = context.owner_label(team) or label
        if heartbeat_forwarder or not hears:
            answer_ours = self._renew_orphan_lease(report)
            if answer_ours is not None:
                return answer_ours
        self.relaying.pop(report.machine, None)
        if was_there and not hears and (sent is None or now - sent.at > lease / 2):
            # We are on the wrong side ourselves: another may hear its owner.
            label = context.mesh.other_live_peer(label, context.ttl_s) or label
        self.redirected[report.machine] = Sent(now, label, token)
        if len(self.redirected) > 5000:
            self.redirected.clear()
        return Response(421, messages.encode({"harbour": label}))
