"""Handles the HTTP requests of users, workers and health checks at one controller."""

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
from ashdock.core.job import ended_at_of, fit_job_record, job_record, spec_of_record
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

JOB_PATH = re.compile(r"^/v2/runs/([0-9A-Za-z_.-]{1,120})(/withdraw)?$")
STORE_TIMEOUT_S = 1.5  # for the store; a user waits 2 s for the response to a status request
RECORD_GROWTH_BYTES = 300  # reserved in a job's record for a reason and the time of its end
MAX_CONCURRENT_LOOKUPS = 8  # reads of the jobs that a job depends on
MAX_NAMED_DEPENDENCIES = 10  # in the reason given for a job that waits for other jobs
CANCEL_ATTEMPTS = 4  # the job's record may change at the same time
MAX_TRACKED_WORKERS = 5000  # entries of each table of workers; a table with more is cleared


class FinalState(NamedTuple):
    """The final state of a job.

    Attributes:
        status: done or cancelled, a `JobStatus`.
        tasks: number of its tasks; 0 if a peer reported the cancellation.
        reason: as last recorded, for its user.
        ended_at: when it was done or cancelled, in seconds since the epoch; None if that is not
            recorded.
    """

    status: str
    tasks: int
    reason: str | None
    ended_at: float | None


def error_response(status: int, message: str, retry_after: int | None = None) -> Response:
    """Return a response that reports an error.

    Args:
        status: HTTP status.
        message: text for the client.
        retry_after: seconds after which the client may retry; None: not stated.
    """
    return Response(status, messages.encode({"error": message}), retry_after)


def refusal_response(refusal: Refusal) -> Response:
    """Return the response to a request that admission control refuses."""
    return error_response(refusal.status, refusal.reason, refusal.retry_after)


def socket_use_of(target: str) -> SocketUse:
    """Return what a connection is used for, by the target of a request on it."""
    path = target.partition("?")[0]
    if path == "/checkin":
        return SocketUse.WORKER
    return SocketUse.PROBE if path in ("/ready", "/metrics") else SocketUse.USER


class LocalOwner(Protocol):
    """A shard's owner at this controller."""

    async def on_heartbeat(
        self, heartbeat: messages.Heartbeat
    ) -> messages.HeartbeatResponse | None:
        """Return the response to a worker; None if it may not be answered here, or not yet."""
        ...


class LocalLeader(Protocol):
    """The leader, at this controller."""

    def on_heartbeat(self, heartbeat: messages.Heartbeat, recorded: bool) -> None:
        """Take in the heartbeat of an unassigned machine; `recorded`: it has a record."""
        ...


class OwnerRoute(NamedTuple):
    """Where a worker was redirected to, or its heartbeats are forwarded to.

    Attributes:
        at: monotonic time at which that began, in seconds.
        label: of the owner's controller, or of a peer that may reach it.
        token: the lowest fencing token of the machine's owner at that time.
    """

    at: float
    label: str
    token: int


class FrontContext(Protocol):
    """What the front uses of its controller."""

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
    def owners(self) -> Mapping[str, LocalOwner]:
        """Owners of the shards that are owned here, by team."""
        ...

    @property
    def leader(self) -> LocalLeader | None:
        """The leader; None unless it is this controller."""
        ...

    def now(self) -> float:
        """The current time, in seconds since the epoch."""
        ...

    def ready(self) -> bool:
        """Whether this controller takes requests."""
        ...

    def state_fresh(self) -> bool:
        """Whether the store answers: no request failed since a recent response."""
        ...

    def leader_label(self) -> str | None:
        """Label of the controller that leads; None if there is no leader."""
        ...

    def owner_label(self, team: str) -> str | None:
        """Label of the controller that owns a team's shard; None if no record names one."""
        ...

    def token_of(self, machine: str) -> int:
        """The lowest fencing token of a machine's owner; larger than any if unknown."""
        ...

    def heartbeat_received(self) -> None:
        """Note that a worker has reached this controller."""
        ...

    def job_changed(self, path: str, value: Any, revision: int) -> None:
        """Take in a job's record as if the watch had brought it."""
        ...

    def task_counts(self, team: str, job: str) -> tuple[int, int]:
        """How many tasks of a job are done and running, as far as is known here."""
        ...

    def metrics(self) -> Response:
        """The response to a request for the metrics."""
        ...

    def broadcast_cancellation(self, job_id: str, team: str, revision: int, at: float) -> None:
        """Tell all peers of a durable cancellation; `at`: its time, in seconds since the epoch."""
        ...

    def spawn(self, job: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine as a background task."""
        ...

    async def forward_heartbeat(self, label: str, body: bytes) -> ForwardReply | None:
        """Forward a worker's request to a controller; None if no reply came in time."""
        ...


class Front:
    """Answers HTTP requests, and caches the final states of jobs.

    Attributes:
        context: the controller.
        final_states: final states of jobs, by id; those cached first are dropped first.
        unsent_reads: reads of job records that have not been sent, by job id.
        lookups: ids of dependencies that are being read, so that later responses can name them.
        status_reader: checks and caches the records of unfinished jobs.
        redirected: where each worker was last redirected to, by machine.
        forwarded: where the heartbeats of each worker are forwarded to, by machine.
        answered_at: monotonic time at which each machine's worker was last answered here.
        orphans_renewed: machines whose workers' leases are renewed as orphans', as logged.
    """

    def __init__(self, context: FrontContext) -> None:
        """Start with nothing cached."""
        self.context = context
        self.final_states: OrderedDict[str, FinalState] = OrderedDict()
        self.unsent_reads: dict[str, asyncio.Future[Entry | None]] = {}
        self.lookups: set[str] = set()
        self.status_reader = StatusReader(
            context.store,
            STORE_TIMEOUT_S,
            self.observe_job,
            context.admission.memory.cached_jobs,
        )
        self.redirected: dict[str, OwnerRoute] = {}
        self.forwarded: dict[str, OwnerRoute] = {}
        self.answered_at: dict[str, float] = {}
        self.orphans_renewed: set[str] = set()

    async def handle(self, request: Request) -> Response:
        """Return the response to a request."""
        path = request.target.partition("?")[0]
        if path == "/checkin":
            return (
                await self.checkin(request.body)
                if request.method == "POST"
                else error_response(405, "POST only")
            )
        if path == "/ready":
            return (
                Response(200, b"{}")
                if self.context.ready()
                else error_response(503, "not ready", 1)
            )
        if path == "/v2/runs":
            return (
                await self.submit(request.body)
                if request.method == "POST"
                else error_response(405, "POST only")
            )
        if path == "/metrics":
            return self.context.metrics()
        match = JOB_PATH.match(path)
        if match is None:
            return error_response(404, "no such page")
        job_id, withdraw = match.groups()
        if withdraw:
            return (
                await self.withdraw(job_id)
                if request.method == "POST"
                else error_response(405, "POST only")
            )
        return (
            await self.status(job_id)
            if request.method == "GET"
            else error_response(405, "GET only")
        )

    # -- submissions ---------------------------------------------------------------

    async def submit(self, body: bytes) -> Response:
        """Accept a job, or answer why not; one accepted before is answered with its state."""
        try:
            spec = messages.job_spec_of(messages.decode_submission(body))
        except MalformedMessageError as malformed:
            return error_response(400, str(malformed))
        context = self.context
        final = self.final_states.get(spec.id)
        if final:
            return Response(200, self._final_body(spec.id, final))
        if not context.catalog:
            return error_response(503, "the machine types are not known yet", 1)
        if not self._store_usable():
            return error_response(503, "the state service does not answer", self._retry_after())
        # What exceeds the capacity for writes or processing is refused at once: its user would wait
        # here in vain.
        write_limiter = context.store.write_limiter
        overload_refusal = context.admission.admit_submission(
            write_limiter.backlog_s(RequestPriority.USER, spec.team),
            time.monotonic(),
            spec.team,
            write_limiter.service_time_s(2, RequestPriority.USER, spec.team),
        )
        if overload_refusal:
            return refusal_response(overload_refusal)
        now = context.now()
        record = job_record(spec, round(now, 3))
        refusal: Response | None = None
        never_runs = self.unschedulable_reason(spec)
        if never_runs:
            refusal = error_response(422, never_runs)
        elif (
            len(messages.encode(record)) + RECORD_GROWTH_BYTES
            > context.write_limits.configured_value_bytes
        ):
            refusal = error_response(
                422, "the job names more machine types, or jobs that it needs, than can be stored"
            )
        elif spec.dependencies and not context.write_limits.announced_apply:
            # A controller of the previous version may own the shard, now or soon. It ignores
            # dependencies and would start the job at once.
            refusal = error_response(
                503, "jobs that need others are taken once every controller has the new version", 1
            )
        try:
            if refusal is None and spec.dependencies:
                refusal = await self._with_timeout(self._refuse_unmet_dependencies(spec))
            if refusal is not None:
                # A job that was accepted is never refused when it is submitted again, whatever the
                # later submission says.
                entry = await self._with_timeout(self._read(spec.id))
                return Response(200, self._state_body(spec.id, entry)) if entry else refusal
        except StoreUnavailableError:
            return error_response(503, "the state service does not answer", self._retry_after())
        path = f"job/{spec.id}"
        accepted = {path: record, f"work/{spec.team}/{spec.id}/job": record}
        try:
            revision = await self._with_timeout(
                context.store.txn(
                    {path: 0}, accepted, priority=RequestPriority.USER, team=spec.team
                )
            )
        except CompareFailedError:
            try:
                entry = await self._read(spec.id)
            except StoreUnavailableError:
                return error_response(503, "the state service does not answer", self._retry_after())
            if entry is None:
                return error_response(503, "try again", 1)
            return Response(200, self._state_body(spec.id, entry))
        except StoreUnavailableError:
            return error_response(503, "the state service does not answer", self._retry_after())
        log.info(
            "job accepted: job=%s team=%s kind=%s tasks=%d priority=%d",
            spec.id,
            spec.team,
            spec.kind,
            spec.tasks,
            spec.priority,
        )
        context.job_changed(path, record, revision)
        return Response(201, messages.encode({"id": spec.id, "status": JobStatus.QUEUED}))

    async def _refuse_unmet_dependencies(self, spec: JobSpec) -> Response | None:
        """Return the refusal of a job with a dependency that can't be met, if it has one.

        That a job exists may be taken from the cache; that it does not has to be read.
        """
        read_slots = asyncio.Semaphore(MAX_CONCURRENT_LOOKUPS)

        async def unmet_reason(dependency: str) -> str | None:
            final = self.final_states.get(dependency)
            if final is not None:
                return None
            known = self.status_reader.known.get(dependency)
            # A service that is cancelled is an allowed dependency, so a cached one is read again.
            if known is None or known.kind == JobKind.SERVICE:
                async with read_slots:
                    entry = await self._read(dependency) if dependency != spec.id else None
                if entry is None:
                    return f"{dependency} was never accepted"
                self.observe_job(dependency, entry.value, entry.revision)
                if entry.value["status"] != JobStatus.QUEUED:
                    return None
                known = known_job_of(entry.value, entry.revision)
            return (
                f"{dependency} is a service and is never done"
                if known.kind == JobKind.SERVICE
                else None
            )

        for reason in await asyncio.gather(
            *(unmet_reason(dependency) for dependency in spec.dependencies or ())
        ):
            if reason is not None:
                return error_response(422, reason)
        return None

    def unschedulable_reason(self, spec: JobSpec) -> str | None:
        """Return why the job can never run, or None if it may."""
        context = self.context
        team = next((team for team in context.shared.teams if team.name == spec.team), None)
        if team is None:
            return f"no team {spec.team!r}"
        suitable_types = [
            machine_type
            for machine_type in context.catalog.values()
            if (spec.machine_types is None or machine_type.label in spec.machine_types)
            and (spec.zone is None or spec.zone in machine_type.zones)
            and capacity(machine_type, spec.cpus, spec.gpus, spec.memory_gb) > 0
        ]
        if not suitable_types:
            return "a task fits no machine type that the job allows"
        if spec.kind == JobKind.GANG and spec.one_zone and spec.spread and spec.tasks > 1:
            return "all tasks must run at once, in one zone, and at most half of them in any zone"
        if not limit_permits_job(team, spec):
            return f"the job needs more than the limit of team {spec.team!r}"
        return None

    # -- status --------------------------------------------------------------------

    async def status(self, job_id: str) -> Response:
        """Return the response to a status request."""
        final = self.final_states.get(job_id)
        if final:
            return Response(200, self._final_body(job_id, final))
        if not self._store_usable():
            return error_response(503, "the state service does not answer", self._retry_after())
        cached = self.status_reader.known.get(job_id)
        overload_refusal = self.context.admission.admit_status_request(
            time.monotonic(), cached.team if cached else ""
        )
        if overload_refusal:
            return refusal_response(overload_refusal)
        try:
            known = await self._with_timeout(self.status_reader.ask(job_id))
        except StatusReaderBusyError:
            return error_response(429, "too many questions at once", self._retry_after())
        except StoreUnavailableError:
            return error_response(503, "the state service does not answer", self._retry_after())
        # The job may have ended meanwhile, and another controller may have told its user so.
        final = self.final_states.get(job_id)
        if final:
            return Response(200, self._final_body(job_id, final))
        if known is None:
            return error_response(404, "no such job")
        log.debug("status answered: job=%s checked_revision=%d", job_id, known.revision)
        return Response(200, self._unfinished_body(job_id, known))

    async def withdraw(self, job_id: str) -> Response:
        """Cancel a job, and answer with its final status once that is durable."""
        context = self.context
        for _ in range(CANCEL_ATTEMPTS):
            final = self.final_states.get(job_id)
            if final:
                return Response(200, messages.encode({"id": job_id, "status": final[0]}))
            if not self._store_usable():
                break
            try:
                entry = await self._with_timeout(self._read(job_id))
                if entry is None:
                    return error_response(404, "no such job")
                if entry.value["status"] != JobStatus.QUEUED:
                    self.observe_job(job_id, entry.value, entry.revision)
                    continue
                record = {
                    **entry.value,
                    "status": JobStatus.WITHDRAWN,
                    "cancelled_at": round(context.now(), 3),
                }
                record = fit_job_record(record, context.write_limits.value_bytes)
                path = entry.path
                team = spec_of_record(record).team
                shard_job_path = f"work/{team}/{job_id}/job"
                # The cancellation is durable before anybody is told of it. Every placement compares
                # the job's revision, so none can be committed after this.
                revision = await self._with_timeout(
                    context.store.txn(
                        {path: entry.revision},
                        {path: record, shard_job_path: record},
                        priority=RequestPriority.USER,
                        team=team,
                    )
                )
                log.info("job cancelled: job=%s", job_id)
                context.job_changed(path, record, revision)
            except CompareFailedError:
                continue
            except StoreUnavailableError:
                break
        return error_response(503, "try again", self._retry_after())

    def _store_usable(self) -> bool:
        """Whether to try the store; requests fail at once in outages of `ttl_s / 8` and longer."""
        store = self.context.store
        return (
            store.unavailable_since is None
            or time.monotonic() - store.unavailable_since < self.context.ttl_s / 8
        )

    def _retry_after(self) -> int:
        return 1 if self.context.state_fresh() else 2

    async def _with_timeout(self, call: Any) -> Any:
        """Await a store request for `STORE_TIMEOUT_S` at most, so that the user is told in time.

        Raises:
            StoreUnavailableError: the store did not answer in time.
        """
        try:
            async with asyncio.timeout(STORE_TIMEOUT_S):
                return await call
        except TimeoutError:
            raise StoreUnavailableError("no answer in time", outcome_unknown=True) from None

    async def _read(self, job_id: str) -> Entry | None:
        """Read a job's record, sharing a read that has been asked for but not sent."""
        future = self.unsent_reads.get(job_id)
        if future is None:
            future = asyncio.ensure_future(self._read_now(job_id))
            # Retrieves the exception, since all readers may have given up.
            future.add_done_callback(lambda done: done.cancelled() or done.exception())
            self.unsent_reads[job_id] = future
        return await asyncio.shield(future)

    async def _read_now(self, job_id: str) -> Entry | None:
        # Only callers that come before the request is sent share it: a response that is already in
        # transit may be older than a later caller's request.
        await asyncio.sleep(0)
        self.unsent_reads.pop(job_id, None)
        return await self.context.store.get(f"job/{job_id}", priority=RequestPriority.USER)

    def observe_job(self, job_id: str, value: dict[str, Any], revision: int) -> None:
        """Take in a job's record, and tell the peers of a cancellation that is new here."""
        self.status_reader.learn(job_id, value, revision)
        if value["status"] in (JobStatus.DONE, JobStatus.WITHDRAWN):
            spec = value["spec"]
            team, tasks = (
                (spec["team"], spec["tasks"]) if isinstance(spec, dict) else (spec.team, spec.tasks)
            )
            was_final = job_id in self.final_states
            self._cache_final(
                job_id,
                FinalState(value["status"], tasks, value.get("reason"), ended_at_of(value)),
            )
            if value["status"] == JobStatus.WITHDRAWN and not was_final:
                self.context.broadcast_cancellation(
                    job_id, team, revision, value.get("cancelled_at", self.context.now())
                )

    def cancellation_received(self, job_id: str, team: str, revision: int, at: float) -> bool:
        """Take in a cancellation reported by a peer; return whether it is new here.

        It is passed on to all peers before any user hears of it here: a peer that can't be reached
        by the one that reported it may be reached from here.
        """
        if job_id in self.final_states:
            return False
        self.status_reader.forget(job_id)
        self._cache_final(job_id, FinalState(JobStatus.WITHDRAWN, 0, None, at))
        self.context.broadcast_cancellation(job_id, team, revision, at)
        return True

    def _cache_final(self, job_id: str, final: FinalState) -> None:
        self.final_states[job_id] = final
        # Jobs that are dropped are read again when asked about.
        if len(self.final_states) > self.context.admission.memory.cached_jobs:
            self.final_states.popitem(last=False)

    def is_final(self, job_id: str) -> bool:
        """Whether the job is known to have ended."""
        return job_id in self.final_states

    def is_withdrawn(self, job_id: str) -> bool:
        """Whether the job is known to be cancelled."""
        final = self.final_states.get(job_id)
        return final is not None and final.status == JobStatus.WITHDRAWN

    async def outcome(self, job_id: str) -> tuple[str, float | None] | None:
        """Return a job's final status and recorded end; None while it is unfinished.

        Raises:
            StoreUnavailableError: the record has to be read, and the store does not answer.
        """
        final = self.final_states.get(job_id)
        if final is None:
            entry = await self.context.store.get(f"job/{job_id}")
            if entry is not None:
                self.observe_job(job_id, entry.value, entry.revision)
            final = self.final_states.get(job_id)
        return (final.status, final.ended_at) if final else None

    def _final_body(self, job_id: str, final: FinalState) -> bytes:
        return messages.status_response_body(
            job_id,
            final.status,
            final.tasks if final.status == JobStatus.DONE else 0,
            0,
            final.reason,
        )

    def _state_body(self, job_id: str, entry: Entry) -> bytes:
        self.observe_job(job_id, entry.value, entry.revision)
        final = self.final_states.get(job_id)
        return (
            self._final_body(job_id, final)
            if final
            else self._unfinished_body(job_id, known_job_of(entry.value, entry.revision))
        )

    def _unfinished_body(self, job_id: str, known: KnownJob) -> bytes:
        done, running = self.context.task_counts(known.team, job_id)
        reason = known.reason or (
            self._dependency_reason(known.dependencies) if not done and not running else None
        )
        return messages.status_response_body(
            job_id, JobStatus.RUNNING if running else JobStatus.QUEUED, done, running, reason
        )

    def _dependency_reason(self, dependencies: tuple[str, ...]) -> str | None:
        """Name the unfinished dependencies of a job, for its user.

        Those that are not cached are left out, and looked up for the next request.
        """
        unfinished = [job_id for job_id in dependencies if job_id not in self.final_states]
        for job_id in unfinished:
            if (
                job_id not in self.status_reader.known
                and job_id not in self.lookups
                and len(self.lookups) < MAX_CONCURRENT_LOOKUPS
            ):
                self.lookups.add(job_id)
                self.context.spawn(self._look_up(job_id))
        unfinished = [job_id for job_id in unfinished if job_id in self.status_reader.known]
        more = (
            f" and {len(unfinished) - MAX_NAMED_DEPENDENCIES} more"
            if len(unfinished) > MAX_NAMED_DEPENDENCIES
            else ""
        )
        return (
            f"waits for {', '.join(unfinished[:MAX_NAMED_DEPENDENCIES])}{more}"
            if unfinished
            else None
        )

    async def _look_up(self, job_id: str) -> None:
        try:
            await self.outcome(job_id)
        except StoreUnavailableError:
            pass
        finally:
            self.lookups.discard(job_id)

    # -- workers -------------------------------------------------------------------

    async def checkin(self, body: bytes, forwarded: bool = False) -> Response:
        """Return the response to a worker's heartbeat; `forwarded`: a peer has forwarded it."""
        try:
            heartbeat = messages.decode_heartbeat(body)
        except MalformedMessageError as malformed:
            return error_response(400, str(malformed))
        context = self.context
        if not forwarded:
            context.heartbeat_received()
        entry = context.machines.entries.get(f"machine/{heartbeat.machine}")
        if entry is None or entry.value["p"] == "":
            return self._answer_unassigned(heartbeat, known=entry is not None)
        team = entry.value["p"]
        owner = context.owners.get(team)
        if owner is not None:
            response = await owner.on_heartbeat(heartbeat)
            if response is not None:
                self.redirected.pop(heartbeat.machine, None)
                if len(self.answered_at) > MAX_TRACKED_WORKERS:
                    self.answered_at.clear()
                self.answered_at[heartbeat.machine] = time.monotonic()
                return Response(200, messages.encode(response))
            # It may have waited for a shard that was being loaded: the machine may have been
            # assigned to another team meanwhile.
            entry = context.machines.entries.get(f"machine/{heartbeat.machine}")
            team = entry.value["p"] if entry else ""
        label = context.owner_label(team)
        if label is None or label == context.label or forwarded:
            # A lease that an owner here may not renew is not renewed as an orphan's either.
            return (
                self._renew_orphan_lease(heartbeat) if owner is None and not forwarded else None
            ) or error_response(503, "not the owner")
        return await self._redirect_or_forward(heartbeat, body, label, team)

    def _answer_unassigned(self, heartbeat: messages.Heartbeat, known: bool) -> Response:
        """Answer the worker of a machine that is assigned to no shard.

        The leader renews its lease, as long as the store answers and the machine runs no task. When
        every controller redirected such workers they sent heartbeats five times as often, their
        leases expired nevertheless, and a task that had just been started there was killed.
        The response repeats the worker's own fencing token instead of raising it, so that the
        worker accepts the commands of any next owner. `known`: the machine has a record.
        """
        leader = self.context.leader
        if leader:
            leader.on_heartbeat(heartbeat, known)
            if self.context.state_fresh() and not heartbeat.tasks:
                self.answered_at[heartbeat.machine] = time.monotonic()
                return Response(
                    200, messages.encode(messages.HeartbeatResponse(heartbeat.fencing_token, []))
                )
        label = self.context.leader_label()
        if leader is None and label and label != self.context.label:
            return Response(421, messages.encode({"harbour": label}))
        return error_response(503, "lent to nobody yet")

    def _renew_orphan_lease(self, heartbeat: messages.Heartbeat) -> Response | None:
        """Answer a worker whose shard nobody can own while the store does not answer.

        None if its lease may not be renewed.
        """
        now = time.monotonic()
        if self.context.state_fresh() or not self.context.orphan_leases.may_renew(heartbeat, now):
            return None
        if heartbeat.machine not in self.orphans_renewed:
            log.info(
                "renewing lease of a worker without owner in a store outage: machine=%s",
                heartbeat.machine,
            )
            if len(self.orphans_renewed) > MAX_TRACKED_WORKERS:
                self.orphans_renewed.clear()
            self.orphans_renewed.add(heartbeat.machine)
        self.answered_at[heartbeat.machine] = now
        return Response(
            200, messages.encode(messages.HeartbeatResponse(heartbeat.fencing_token, []))
        )

    async def _redirect_or_forward(
        self, heartbeat: messages.Heartbeat, body: bytes, label: str, team: str
    ) -> Response:
        """Redirect a worker to its owner, or forward its heartbeat if it can't reach the owner.

        A worker that is back here soon after it was redirected can't reach its owner.
        """
        context = self.context
        now = time.monotonic()
        lease_s = context.workers.lease_s
        token = context.token_of(heartbeat.machine)
        # A route is valid only for the token that it was recorded with, so for one claim. When an
        # owner restarted twice within a lease, all its workers were redirected to it twice. Without
        # the token they were taken for unable to reach it: hundreds had their heartbeats forwarded,
        # and two controllers had to process each of those.
        redirect, forwarding = (
            self.redirected.get(heartbeat.machine),
            self.forwarded.get(heartbeat.machine),
        )
        returned_soon = (
            redirect is not None
            and redirect.label == label
            and redirect.token == token
            and 0.6 < now - redirect.at < lease_s * 0.75
        )
        if forwarding is not None and forwarding.token != token:
            forwarding = None
        # A worker that knows the current owner's token has been answered by that owner, and comes
        # here only if it no longer is. If redirected, it would wait there in vain for another
        # response while its lease expires. An exception is a worker that was answered here within
        # the last one and a half heartbeat periods: its machine has just been assigned to another
        # shard, and it learned the token from that shard's commands.
        answered_lately = (
            now - self.answered_at.get(heartbeat.machine, -1e9) < 1.5 * context.workers.report_s
        )
        left_owner = not answered_lately and heartbeat.fencing_token >= token
        owner_seen = context.mesh.has_seen(label, context.ttl_s)
        # After forwarding for the duration of a lease, the worker is redirected to its owner again.
        retry_owner = forwarding is not None and now - forwarding.at >= lease_s
        forward = not retry_owner and (
            (left_owner and owner_seen) or returned_soon or forwarding is not None
        )
        if forward:
            reply = await context.forward_heartbeat(label, body)
            if reply is not None and reply.status == 200:
                if forwarding is None:
                    log.info("forwarding heartbeats: machine=%s owner=%s", heartbeat.machine, label)
                    if len(self.forwarded) > MAX_TRACKED_WORKERS:
                        self.forwarded.clear()
                    self.forwarded[heartbeat.machine] = OwnerRoute(now, label, token)
                return Response(200, reply.body)
            # Up to two seconds have passed: an owner that did not answer may have been replaced.
            label = context.owner_label(team) or label
        if forward or not owner_seen:
            renewal = self._renew_orphan_lease(heartbeat)
            if renewal is not None:
                return renewal
        self.forwarded.pop(heartbeat.machine, None)
        if left_owner and not owner_seen and (redirect is None or now - redirect.at > lease_s / 2):
            # This controller may itself be cut off from the owner: a peer may reach it.
            label = context.mesh.other_live_peer(label, context.ttl_s) or label
        self.redirected[heartbeat.machine] = OwnerRoute(now, label, token)
        if len(self.redirected) > MAX_TRACKED_WORKERS:
            self.redirected.clear()
        return Response(421, messages.encode({"harbour": label}))
