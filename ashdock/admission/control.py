"""Where those who serve ask whether to, and where it is said what runs short."""

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

# A submission that would wait longer for its turn to be written is sent away instead. Users count a second as late and, sent away,
# come back after one: sent away sooner than this, those were late who would have been in time.
WRITTEN_S = 0.8
USER_WAITS_S = 2.0  # for the answer to a question (PROTOCOL, "GET /v2/runs/{id}")
ACCEPT_WAITS_S = 5.0  # for that to a submission


class Resource(Enum):
    """What can run short, each for itself."""

    SOCKETS = "sockets"
    PROCESSOR = "processor"
    WRITES = "writes"
    MEMORY = "memory"


class Refusal(NamedTuple):
    status: int
    reason: str
    retry_after: int


class _Shortage:
    """EASY until something is refused or ended for want of it, SHORT until nothing was for a while."""

    def __init__(self, what: Resource) -> None:
        self.what = what
        self.began_at: float | None = None
        self.last = 0.0
        self.turned_away = 0

    def runs_short(self, now: float, picture: Callable[[Resource, float], str]) -> None:
        if self.began_at is None:
            log.warning("short of %s: %s", self.what.value, picture(self.what, now))
            self.began_at, self.turned_away = now, 0
        self.last = now

    def is_over(self, now: float) -> None:
        if self.began_at is not None:
            log.info(
                "enough %s again after %.1f s; %d were told to come back",
                self.what.value,
                now - self.began_at,
                self.turned_away,
            )
            self.began_at = None


class Admission:
    """One for a controller. Asked by the front for users' requests, by the server for connections."""

    def __init__(
        self, shared: Shared, peers: int, weights: Mapping[str, float] | None = None
    ) -> None:
        self.hot_tenants = HotTenantDetector(
            [team.name for team in shared.teams],
            2 * shared.workers.report_s,
            2 * ACCEPT_WAITS_S,
            weights,
        )
        self.refused_submissions: Counter[str] = Counter()  # submissions told to come back, by team
        self.shares = socket_shares(shared.machine_limits.max_connections, peers)
        # A worker that has not reported for two and a half of its periods reports elsewhere, or not at all.
        self.connections = Connections(
            self.shares,
            idle_s=60.0,
            request_timeout_s=10.0,
            worker_stale_after_s=2.5 * shared.workers.report_s,
        )
        self.memory = memory_shares(shared.machine_limits.ram_mb, self.shares.inbound)
        self.held_body_bytes = 0  # bytes of what comes in and is answered
        self.processor = Processor(half_life_s=shared.workers.report_s / 2)
        self.shortages = {what: _Shortage(what) for what in Resource}
        self.refused: Counter[tuple[str, Resource]] = (
            Counter()
        )  # what was asked for, and what there was too little of
        self.calm_s = 2 * shared.workers.report_s
        self.told_ended = 0
        self.line_s = 0.0  # of submissions to be written, when last asked

    def admit_submission(
        self, behind_s: float, now: float, team: str = "", each_s: float = 0.0
    ) -> Refusal | None:
        """`behind_s`: how long what goes before one of that team takes to be written; `each_s`: how long one more of it does, at its share."""
        self.line_s = behind_s
        self.hot_tenants.record_submission(team, now)
        late_s = self.processor.late_s(now)
        # What is computed late has no line in which teams could have their turns: whoever brings more than its share goes first.
        if late_s > ACCEPT_WAITS_S / (8 if self.hot_tenants.is_hot(team) else 4):
            return self._turn_away(
                team, Resource.PROCESSOR, "this controller is behind", late_s, each_s, now
            )
        if behind_s > WRITTEN_S:
            return self._turn_away(
                team, Resource.WRITES, "too many submissions at once", behind_s, each_s, now
            )
        return None

    def _turn_away(
        self, team: str, of: Resource, why: str, wait_s: float, each_s: float, now: float
    ) -> Refusal:
        self.refused_submissions[team if team in self.hot_tenants.teams else ""] += 1
        return self._refuse(
            "submission",
            of,
            429,
            why,
            self.hot_tenants.retry_after_s(team, wait_s, each_s, now),
            now,
        )

    def admit_status_request(self, now: float, team: str = "") -> Refusal | None:
        """Questions give way before submissions do: who asks will ask again in any case. About a hot team's jobs, first of all."""
        late_s = self.processor.late_s(now)
        if late_s > USER_WAITS_S / (8 if self.hot_tenants.is_hot(team) else 4):
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
        """The answer to whom there is no place for."""
        return self._refuse("connection", Resource.SOCKETS, 503, "no connection to spare", 1, now)

    def reserve_body(self, size: int, use: SocketUse) -> bool:
        """Whether so many bytes more may come in; they count until `release_body`. A quarter is for workers' reports alone: leases hang on them."""
        most = (
            self.memory.body_bytes if use is SocketUse.WORKER else self.memory.body_bytes * 3 // 4
        )
        if self.held_body_bytes + size > most:
            return False
        self.held_body_bytes += size
        return True

    def release_body(self, size: int) -> None:
        self.held_body_bytes -= size

    def refuse_body(self, now: float) -> Refusal:
        """The answer to whom there is no memory for what it sends."""
        return self._refuse("request", Resource.MEMORY, 503, "too much comes in at once", 1, now)

    def _refuse(
        self, what: str, of: Resource, status: int, why: str, retry_after: int, now: float
    ) -> Refusal:
        self.refused[what, of] += 1
        shortage = self.shortages[of]
        shortage.runs_short(now, self.picture)
        shortage.turned_away += 1
        return Refusal(status, why, retry_after)

    def picture(self, of: Resource, now: float) -> str:
        if of is Resource.PROCESSOR:
            return f"answers wait {self.processor.late_s(now):.2f} s; questions go first, then submissions"
        if of is Resource.MEMORY:
            return f"{self.held_body_bytes} of {self.memory.body_bytes} bytes of requests have come in or are being answered"
        if of is Resource.WRITES:
            return f"what users submit waits {self.line_s:.2f} s to be written"
        connections, users = self.connections, self.connections.count(SocketUse.USER)
        return (
            f"{len(connections)} of {self.shares.inbound} connections, {users} users' (of {self.shares.max_user_connections()}), "
            f"{connections.count(SocketUse.WORKER)} workers' (of {self.shares.max_worker_connections(users)}); workers' are closed after their answers"
        )

    def tick(self, late_s: float, now: float) -> None:
        """Told by a timer how late it fired."""
        self.processor.record_lateness(late_s, now)
        ended = sum(self.connections.ended.values())
        if self.connections.short and ended > self.told_ended:
            self.shortages[Resource.SOCKETS].runs_short(now, self.picture)
        self.told_ended = ended
        for shortage in self.shortages.values():
            if now - shortage.last > self.calm_s:
                shortage.is_over(now)
