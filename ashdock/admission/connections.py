"""The table of connections that others have made to us: which may come in, which may stay open after its answer, which go."""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Hashable
from enum import Enum
from typing import NamedTuple

from ashdock.admission.shares import Shares, SocketUse


class ConnectionPhase(Enum):
    IDLE = "idle"  # for its next request, or its first
    BUSY = "busy"  # a request is coming in, or being answered
    CLOSING = (
        "closing"  # told to close: its next request is answered, if there is one, and then it ends
    )


class Arrival(NamedTuple):
    admitted: bool
    evicted: Hashable | None = None  # to be ended to make place for it


class _Connection:
    __slots__ = ("phase", "since")

    def __init__(self, now: float) -> None:
        self.phase = ConnectionPhase.BUSY  # whoever connects is to ask at once
        self.since = now


class Connections:
    """Connections are keys here; whoever holds the sockets ends those it is told to end."""

    def __init__(
        self,
        shares: Shares,
        idle_s: float,
        request_timeout_s: float,
        worker_stale_after_s: float = 0.0,
    ) -> None:
        self.shares = shares
        self.idle_s = idle_s  # between requests
        self.request_timeout_s = (
            request_timeout_s  # for one whole request to arrive and be answered
        )
        self.worker_stale_after_s = (
            worker_stale_after_s or idle_s
        )  # a worker's connection idle for longer has been left by it
        # By use, those longest without a change of phase first.
        self.open: dict[SocketUse, OrderedDict[Hashable, _Connection]] = {
            use: OrderedDict() for use in SocketUse
        }
        self.use: dict[Hashable, SocketUse] = {}
        self.ended: Counter[tuple[SocketUse, str]] = Counter()  # by use and why, since the start

    def __len__(self) -> int:
        return len(self.use)

    def count(self, use: SocketUse) -> int:
        return len(self.open[use])

    @property
    def short(self) -> bool:
        """Whether somebody's connections are ended for want of places."""
        return (
            self.count(SocketUse.WORKER)
            >= self.shares.max_worker_connections(self.count(SocketUse.USER))
            or len(self) >= self.shares.inbound
        )

    # -- changes of state --------------------------------------------------------------------------------

    def admit(self, key: Hashable, now: float) -> Arrival:
        """One more has connected. Where there is no place, one goes that has said nothing for long, or a worker's that waits: it
        can report over another."""
        evicted = None
        if len(self) >= self.shares.inbound:
            evicted = self._dispensable(now)
            if evicted is None:
                self.ended[SocketUse.NEW, "refused"] += 1
                return Arrival(False)
            self._end(evicted, "made place")
        self.use[key] = SocketUse.NEW
        self.open[SocketUse.NEW][key] = _Connection(now)
        return Arrival(True, evicted)

    def data_received(self, key: Hashable, now: float) -> None:
        """The first bytes of a request have come."""
        self._change(key, ConnectionPhase.BUSY, now)

    def request_received(self, key: Hashable, use: SocketUse) -> bool:
        """The request is here: what it is for. False: no place is left for that, and it is to be told so."""
        before = self.use.get(key)
        if before is None:
            return False  # ended meanwhile
        if before is not use:
            self.open[use][key] = self.open[before].pop(key)
            self.use[key] = use
        if use is SocketUse.USER and self.count(use) > self.shares.max_user_connections():
            self.ended[use, "refused"] += 1
            return False
        return True

    def keep_after_response(self, key: Hashable, now: float) -> bool:
        """Whether the connection may stay open after its answer."""
        use = self.use.get(key)
        if use is None:
            return False
        keep = True
        if use is SocketUse.WORKER:
            keep = self.count(use) <= self.shares.max_worker_connections(self.count(SocketUse.USER))
        elif use is SocketUse.USER:
            # Before users have to be refused theirs are closed as well, once an answer is given.
            keep = self.count(use) <= self.shares.max_user_connections() * 7 // 8
        if not keep:
            self.ended[use, "after an answer"] += 1
        self._change(key, ConnectionPhase.IDLE if keep else ConnectionPhase.CLOSING, now)
        return keep

    def connection_closed(self, key: Hashable) -> None:
        use = self.use.pop(key, None)
        if use is not None:
            del self.open[use][key]

    def end_overdue(self, now: float) -> list[Hashable]:
        """Those to be ended: idle, slow, or left by their worker while places are short."""
        out: list[Hashable] = []
        worker_stale_after_s = self.worker_stale_after_s if self.short else self.idle_s
        for use, table in self.open.items():
            idle_s = (
                min(worker_stale_after_s, self.idle_s) if use is SocketUse.WORKER else self.idle_s
            )
            for key, connection in table.items():
                age = now - connection.since
                if age <= min(idle_s, self.request_timeout_s):
                    break  # the rest are younger
                if age > (
                    self.request_timeout_s if connection.phase is ConnectionPhase.BUSY else idle_s
                ):
                    out.append(key)
        for key in out:
            self._end(key, "idle or slow")
        return out

    def _change(self, key: Hashable, phase: ConnectionPhase, now: float) -> None:
        use = self.use.get(key)
        if use is not None:
            connection = self.open[use][key]
            if connection.phase is phase is ConnectionPhase.BUSY:
                return  # what comes in drop by drop is slow all the same
            connection.phase, connection.since = phase, now
            self.open[use].move_to_end(key)

    def _dispensable(self, now: float) -> Hashable | None:
        key, silent = next(iter(self.open[SocketUse.NEW].items()), (None, None))
        if silent is not None and now - silent.since > self.request_timeout_s / 4:
            return key
        # The oldest is the likeliest to have been left by its worker for good.
        table = self.open[SocketUse.WORKER]
        if len(table) <= self.shares.reserved[SocketUse.WORKER]:
            return None
        return next(
            (key for key, connection in table.items() if connection.phase is ConnectionPhase.IDLE),
            None,
        )

    def _end(self, key: Hashable, why: str) -> None:
        self.ended[self.use[key], why] += 1
        self.connection_closed(key)
