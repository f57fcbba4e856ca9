"""The table of inbound connections: which are admitted, kept open after a response, or closed.

The owner of the sockets passes in their events, and closes the connections that it is told to.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Hashable
from enum import Enum
from typing import NamedTuple

from ashdock.admission.shares import Shares, SocketUse


class ConnectionPhase(Enum):
    """What a connection is doing."""

    IDLE = "idle"  # waits for its next request
    BUSY = "busy"  # its first request is awaited, or a request is being received or answered
    CLOSING = "closing"  # closed once its response is sent


class Arrival(NamedTuple):
    """What becomes of a new connection.

    Attributes:
        admitted: whether it may stay.
        evicted: another connection that has to be closed in its place.
    """

    admitted: bool
    evicted: Hashable | None = None


class _Connection:
    __slots__ = ("phase", "since")

    def __init__(self, now: float) -> None:
        self.phase = ConnectionPhase.BUSY  # its first request has to come within the timeout
        self.since = now


class Connections:
    """Inbound connections, each known by a key of the caller's choice. Times are in seconds.

    Attributes:
        shares: limits of each use.
        idle_s: how long a connection may be idle.
        request_timeout_s: how long a request may take to be received and answered.
        worker_stale_after_s: how long a worker's connection may be idle while sockets are short.
        by_use: the connections of each use, in the order of their last change of phase or use.
        use: what each connection is used for.
        ended: number of connections closed or refused, by use and reason.
    """

    def __init__(
        self,
        shares: Shares,
        idle_s: float,
        request_timeout_s: float,
        worker_stale_after_s: float = 0.0,
    ) -> None:
        """Start without connections.

        Args:
            shares: limits of each use.
            idle_s: how long a connection may be idle.
            request_timeout_s: how long a request may take to be received and answered.
            worker_stale_after_s: how long a worker's connection may be idle before the worker has
                probably abandoned it; 0: as long as any other.
        """
        self.shares = shares
        self.idle_s = idle_s
        self.request_timeout_s = request_timeout_s
        self.worker_stale_after_s = worker_stale_after_s or idle_s
        self.by_use: dict[SocketUse, OrderedDict[Hashable, _Connection]] = {
            use: OrderedDict() for use in SocketUse
        }
        self.use: dict[Hashable, SocketUse] = {}
        self.ended: Counter[tuple[SocketUse, str]] = Counter()

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self.use)

    def count(self, use: SocketUse) -> int:
        """Return the number of open connections of a use."""
        return len(self.by_use[use])

    @property
    def short(self) -> bool:
        """Whether connections are closed because there are too few sockets."""
        return (
            self.count(SocketUse.WORKER)
            >= self.shares.max_worker_connections(self.count(SocketUse.USER))
            or len(self) >= self.shares.inbound
        )

    # -- events ----------------------------------------------------------------------------------

    def admit(self, key: Hashable, now: float) -> Arrival:
        """Add a new connection, or refuse it.

        At the limit another is evicted: one that has sent no whole request in a quarter of the
        timeout, or an idle one of a worker, which can send its next heartbeat over a new
        connection. If there is neither, the new one is refused.
        """
        evicted = None
        if len(self) >= self.shares.inbound:
            evicted = self._choose_evicted(now)
            if evicted is None:
                self.ended[SocketUse.NEW, "refused"] += 1
                return Arrival(False)
            self._end(evicted, "made place")
        self.use[key] = SocketUse.NEW
        self.by_use[SocketUse.NEW][key] = _Connection(now)
        return Arrival(True, evicted)

    def data_received(self, key: Hashable, now: float) -> None:
        """Record that part of a request has been received."""
        self._set_phase(key, ConnectionPhase.BUSY, now)

    def request_received(self, key: Hashable, use: SocketUse) -> bool:
        """Record that a whole request was received, which shows what the connection is used for.

        Returns:
            False if the request is to be refused, because the connection is no longer known or too
            many are open for that use.
        """
        previous_use = self.use.get(key)
        if previous_use is None:
            return False  # evicted or timed out in the meantime
        if previous_use is not use:
            self.by_use[use][key] = self.by_use[previous_use].pop(key)
            self.use[key] = use
        if use is SocketUse.USER and self.count(use) > self.shares.max_user_connections():
            self.ended[use, "refused"] += 1
            return False
        return True

    def keep_after_response(self, key: Hashable, now: float) -> bool:
        """Record that a response is sent, and return whether the connection stays open after it."""
        use = self.use.get(key)
        if use is None:
            return False
        keep = True
        if use is SocketUse.WORKER:
            keep = self.count(use) <= self.shares.max_worker_connections(self.count(SocketUse.USER))
        elif use is SocketUse.USER:
            # Above 7/8 of the limit, connections of users are closed after a response, so that
            # fewer requests have to be refused.
            keep = self.count(use) <= self.shares.max_user_connections() * 7 // 8
        if not keep:
            self.ended[use, "after an answer"] += 1
        self._set_phase(key, ConnectionPhase.IDLE if keep else ConnectionPhase.CLOSING, now)
        return keep

    def connection_closed(self, key: Hashable) -> None:
        """Remove a connection, if it is still known."""
        use = self.use.pop(key, None)
        if use is not None:
            del self.by_use[use][key]

    def end_overdue(self, now: float) -> list[Hashable]:
        """Remove and return the connections that have to be closed at `now`.

        These are idle for too long, too slow with a request, or probably abandoned by their worker
        while sockets are short.
        """
        overdue: list[Hashable] = []
        worker_stale_after_s = self.worker_stale_after_s if self.short else self.idle_s
        for use, table in self.by_use.items():
            idle_s = (
                min(worker_stale_after_s, self.idle_s) if use is SocketUse.WORKER else self.idle_s
            )
            for key, connection in table.items():
                age_s = now - connection.since
                if age_s <= min(idle_s, self.request_timeout_s):
                    break  # the rest changed phase or use later
                if age_s > (
                    self.request_timeout_s if connection.phase is ConnectionPhase.BUSY else idle_s
                ):
                    overdue.append(key)
        for key in overdue:
            self._end(key, "idle or slow")
        return overdue

    def _set_phase(self, key: Hashable, phase: ConnectionPhase, now: float) -> None:
        use = self.use.get(key)
        if use is not None:
            connection = self.by_use[use][key]
            if connection.phase is phase is ConnectionPhase.BUSY:
                return  # receiving in small pieces does not extend the timeout
            connection.phase, connection.since = phase, now
            self.by_use[use].move_to_end(key)

    def _choose_evicted(self, now: float) -> Hashable | None:
        key, oldest_new = next(iter(self.by_use[SocketUse.NEW].items()), (None, None))
        if oldest_new is not None and now - oldest_new.since > self.request_timeout_s / 4:
            return key
        # The one idle for longest is the likeliest to have been abandoned by its worker.
        table = self.by_use[SocketUse.WORKER]
        if len(table) <= self.shares.reserved[SocketUse.WORKER]:
            return None
        return next(
            (key for key, connection in table.items() if connection.phase is ConnectionPhase.IDLE),
            None,
        )

    def _end(self, key: Hashable, reason: str) -> None:
        self.ended[self.use[key], reason] += 1
        self.connection_closed(key)
