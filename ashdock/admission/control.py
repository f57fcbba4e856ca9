"""Decides which requests are refused while a resource is short, and logs the shortages."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable, Mapping
from enum import Enum
from typing import NamedTuple

from ashdock.admission.connections import Connections
from ashdock.admission.processor import Processor
from ashdock.admission.shares import SocketUse, memory_shares, socket_shares
from ashdock.fairness.hot_tenants import HotTenantDetector
from ashdock.settings import Shared

log = logging.getLogger("ashdock.admission")

# A submission that would wait longer than this to be written is refused. Users regard more than a
# second as late, and a refused one is retried after a second at the earliest. With a lower limit,
# submissions that would have been in time were late.
MAX_WRITE_WAIT_S = 0.8
STATUS_TIMEOUT_S = 2.0  # users wait this long for the response to a status request
SUBMISSION_TIMEOUT_S = 5.0  # users wait this long for the response to a submission


class Resource(Enum):
    """What can run short; the values are labels of metrics."""

    SOCKETS = "sockets"
    PROCESSOR = "processor"
    WRITES = "writes"
    MEMORY = "memory"


class Refusal(NamedTuple):
    """The response to a refused request.

    Attributes:
        status: HTTP status.
        reason: text for the client.
        retry_after: seconds after which the client may retry.
    """

    status: int
    reason: str
    retry_after: int


class _Shortage:
    """Shortage of one resource.

    It begins when something is refused or closed for lack of the resource, and ends once that has
    not happened for some time.
    """

    def __init__(self, resource: Resource) -> None:
        self.resource = resource
        self.began_at: float | None = None
        self.last_seen_at = 0.0
        self.refused = 0

    def observe(self, now: float, describe: Callable[[Resource, float], str]) -> None:
        if self.began_at is None:
            log.warning(
                "resource short: resource=%s %s", self.resource.value, describe(self.resource, now)
            )
            self.began_at, self.refused = now, 0
        self.last_seen_at = now

    def end(self, now: float) -> None:
        if self.began_at is not None:
            log.info(
                "resource no longer short: resource=%s duration_s=%.1f refused=%d",
                self.resource.value,
                now - self.began_at,
                self.refused,
            )
            self.began_at = None


class Admission:
    """Admission control of one controller, for its HTTP server and its handlers of users' requests.

    Attributes:
        hot_tenants: which teams submit more than their share.
        refused_submissions: number by team; "" stands for all unknown names.
        shares: how the sockets are divided.
        connections: the inbound connections.
        memory: how the memory is divided.
        held_body_bytes: size of the bodies of requests that are being received or answered.
        processor: how late this process is.
        shortages: whether each resource is short.
        refused: number of refusals, by kind of request and the resource that was short.
        shortage_end_s: a shortage ends after this many seconds without a refusal.
        ended_connections: connections closed or refused up to the last tick.
        write_wait_s: expected wait of the last submission until it would be written.
        due_writes_s: expected time for writes that were promised by a time and would be late beside
            new submissions; 0 if there are none.
    """

    def __init__(
        self, shared: Shared, peers: int, weights: Mapping[str, float] | None = None
    ) -> None:
        """Divide the limits that the settings give.

        Args:
            shared: settings of the platform.
            peers: number of other controllers.
            weights: of the teams; 1 where none is given.
        """
        self.hot_tenants = HotTenantDetector(
            [team.name for team in shared.teams],
            2 * shared.workers.report_s,
            2 * SUBMISSION_TIMEOUT_S,
            weights,
        )
        self.refused_submissions: Counter[str] = Counter()
        self.shares = socket_shares(shared.machine_limits.max_connections, peers)
        # A worker that has been silent for two and a half heartbeat periods sends its heartbeats
        # over another connection, or not at all.
        self.connections = Connections(
            self.shares,
            idle_s=60.0,
            request_timeout_s=10.0,
            worker_stale_after_s=2.5 * shared.workers.report_s,
        )
        self.memory = memory_shares(shared.machine_limits.ram_mb, self.shares.inbound)
        self.held_body_bytes = 0
        self.processor = Processor(half_life_s=shared.workers.report_s / 2)
        self.shortages = {resource: _Shortage(resource) for resource in Resource}
        self.refused: Counter[tuple[str, Resource]] = Counter()
        self.shortage_end_s = 2 * shared.workers.report_s
        self.ended_connections = 0
        self.write_wait_s = 0.0
        self.due_writes_s = 0.0

    def admit_submission(
        self, write_wait_s: float, now: float, team: str = "", service_time_s: float = 0.0
    ) -> Refusal | None:
        """Return None if a submission is admitted, else the refusal.

        Args:
            write_wait_s: seconds until a submission of this team would be written.
            now: current time in seconds.
            team: whose submission it is.
            service_time_s: seconds that one more submission takes at the team's share.
        """
        self.write_wait_s = write_wait_s
        self.hot_tenants.record_submission(team, now)
        late_s = self.processor.late_s(now)
        # There is no queue for processor time in which teams could take turns, so a hot team is
        # refused first, at half the lateness.
        if late_s > SUBMISSION_TIMEOUT_S / (8 if self.hot_tenants.is_hot(team) else 4):
            return self._refuse_submission(
                team, Resource.PROCESSOR, "this controller is behind", late_s, service_time_s, now
            )
        if write_wait_s > MAX_WRITE_WAIT_S:
            return self._refuse_submission(
                team,
                Resource.WRITES,
                "too many submissions at once",
                write_wait_s,
                service_time_s,
                now,
            )
        if self.due_writes_s > 0:
            return self._refuse_submission(
                team,
                Resource.WRITES,
                "cancellations have to be written first",
                self.due_writes_s,
                service_time_s,
                now,
            )
        return None

    def _refuse_submission(
        self,
        team: str,
        resource: Resource,
        reason: str,
        wait_s: float,
        service_time_s: float,
        now: float,
    ) -> Refusal:
        self.refused_submissions[team if team in self.hot_tenants.teams else ""] += 1
        return self._refuse(
            "submission",
            resource,
            429,
            reason,
            self.hot_tenants.retry_after_s(team, wait_s, service_time_s, now),
            now,
        )

    def admit_status_request(self, now: float, team: str = "") -> Refusal | None:
        """Return None if a status request is admitted, else the refusal.

        Status requests are refused before submissions, since they are repeated anyway, and those
        about the jobs of a hot team first of all.
        """
        late_s = self.processor.late_s(now)
        if late_s > STATUS_TIMEOUT_S / (8 if self.hot_tenants.is_hot(team) else 4):
            return self._refuse(
                "question",
                Resource.PROCESSOR,
                429,
                "this controller is behind",
                1 + int(late_s),
                now,
            )
        return None

    def refuse_connection(self, now: float) -> Refusal:
        """Return the refusal for a connection that finds no free socket."""
        return self._refuse("connection", Resource.SOCKETS, 503, "no connection to spare", 1, now)

    def reserve_body(self, size: int, use: SocketUse) -> bool:
        """Reserve memory for `size` bytes of a request's body, until `release_body`.

        A quarter of the memory is only for workers' heartbeats, since they renew leases.

        Returns:
            False if there is too little memory; nothing is reserved then.
        """
        max_bytes = (
            self.memory.body_bytes if use is SocketUse.WORKER else self.memory.body_bytes * 3 // 4
        )
        if self.held_body_bytes + size > max_bytes:
            return False
        self.held_body_bytes += size
        return True

    def release_body(self, size: int) -> None:
        """Release `size` bytes that were reserved."""
        self.held_body_bytes -= size

    def refuse_body(self, now: float) -> Refusal:
        """Return the refusal for a request whose body finds no free memory."""
        return self._refuse("request", Resource.MEMORY, 503, "too much comes in at once", 1, now)

    def _refuse(
        self,
        request_kind: str,
        resource: Resource,
        status: int,
        reason: str,
        retry_after: int,
        now: float,
    ) -> Refusal:
        self.refused[request_kind, resource] += 1
        shortage = self.shortages[resource]
        shortage.observe(now, self.describe)
        shortage.refused += 1
        return Refusal(status, reason, retry_after)

    def describe(self, resource: Resource, now: float) -> str:
        """Return the current use of a resource, for the log."""
        if resource is Resource.PROCESSOR:
            return f"late_s={self.processor.late_s(now):.2f}"
        if resource is Resource.MEMORY:
            return f"held_body_bytes={self.held_body_bytes} max_body_bytes={self.memory.body_bytes}"
        if resource is Resource.WRITES:
            return f"write_wait_s={self.write_wait_s:.2f} due_writes_s={self.due_writes_s:.2f}"
        connections, users = self.connections, self.connections.count(SocketUse.USER)
        return (
            f"connections={len(connections)} max_connections={self.shares.inbound} "
            f"users={users} max_users={self.shares.max_user_connections()} "
            f"workers={connections.count(SocketUse.WORKER)} "
            f"max_workers={self.shares.max_worker_connections(users)}"
        )

    def tick(self, late_s: float, now: float) -> None:
        """Record that a timer fired `late_s` seconds late, and begin or end shortages."""
        self.processor.record_lateness(late_s, now)
        ended_connections = sum(self.connections.ended.values())
        if self.connections.short and ended_connections > self.ended_connections:
            self.shortages[Resource.SOCKETS].observe(now, self.describe)
        self.ended_connections = ended_connections
        for shortage in self.shortages.values():
            if now - shortage.last_seen_at > self.shortage_end_s:
                shortage.end(now)
