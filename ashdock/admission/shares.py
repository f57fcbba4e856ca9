"""Named shares of a controller's sockets and memory, each a ratio to the limit that the settings give."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class SocketUse(Enum):
    """What a socket is for."""

    NEW = "new"  # has connected, and not said yet what it wants
    USER = "users"
    PROBE = "probes"  # /ready and /metrics
    WORKER = "workers"
    MESH = "mesh"
    STORE = "state"
    CLOUD = "cloud"
    COMMANDS = "orders"  # ours to workers

    # Members are told apart by identity. Hashing their names instead, fifteen times a report, was a twelfth of answering one.
    __hash__ = object.__hash__


# Of the limit, places that nobody else may take, and the least that makes sense. What is left of the limit after all of them is for
# users before workers: a worker's connection can be opened anew for each report, a user's cannot without its user noticing.
RESERVED = {
    SocketUse.NEW: (1 / 16, 2),
    SocketUse.USER: (1 / 4, 2),
    SocketUse.PROBE: (1 / 64, 1),
    SocketUse.WORKER: (1 / 4, 2),
    SocketUse.STORE: (1 / 16, 4),
    SocketUse.CLOUD: (1 / 64, 2),
    SocketUse.COMMANDS: (1 / 8, 1),
}
SPARE = 1 / 32  # for the listening ends, what the interpreter holds open, and what is on its way
LEAST_SPARE = 4
LINKS = 4  # of the mesh to a peer: one out, one in, and as many once more while one that is dead has not been noticed


class Shares(NamedTuple):
    """Places for each use. `inbound` is what all that connects to us may hold together."""

    limit: int
    reserved: dict[SocketUse, int]
    inbound: int

    def max_user_connections(self) -> int:
        return max(
            self.inbound
            - sum(self.reserved[use] for use in (SocketUse.NEW, SocketUse.PROBE, SocketUse.WORKER)),
            self.reserved[SocketUse.USER],
        )

    def max_worker_connections(self, users: int) -> int:
        """How many workers' connections may stay open while users have so many: what is reserved, and half of what users do not
        need beyond that. The other half is for all who come back at once: after a freeze or a cut each worker connects anew while
        what it left has not been noticed, and 1,775 of 1,937 sockets were in use."""
        rest = (
            self.inbound
            - self.reserved[SocketUse.NEW]
            - self.reserved[SocketUse.PROBE]
            - max(users, self.reserved[SocketUse.USER])
        )
        return self.reserved[SocketUse.WORKER] + max(rest - self.reserved[SocketUse.WORKER], 0) // 2


def socket_shares(limit: int, peers: int) -> Shares:
    """Divide `limit` sockets of a controller with so many others."""
    reserved = {use: max(int(limit * ratio), least) for use, (ratio, least) in RESERVED.items()}
    reserved[SocketUse.MESH] = LINKS * (peers + 1)
    ours = sum(
        reserved[use]
        for use in (SocketUse.STORE, SocketUse.CLOUD, SocketUse.COMMANDS, SocketUse.MESH)
    ) + max(int(limit * SPARE), LEAST_SPARE)
    return Shares(limit, reserved, max(limit - ours, 4))


def undivided_shares(limit: int) -> Shares:
    """All for whoever comes: for an end that serves one kind of caller."""
    return Shares(limit, dict.fromkeys(SocketUse, limit), limit)


def min_connections(peers: int) -> int:
    """The smallest limit that leaves a place for each use besides what we need ourselves."""
    least = {use: number for use, (_, number) in RESERVED.items()}
    ours = (
        sum(least[use] for use in (SocketUse.STORE, SocketUse.CLOUD, SocketUse.COMMANDS))
        + LINKS * (peers + 1)
        + LEAST_SPARE
    )
    return ours + sum(
        least[use] for use in (SocketUse.NEW, SocketUse.USER, SocketUse.PROBE, SocketUse.WORKER)
    )


# Of the memory that the settings give, for each thing that grows with those who ask. What a start needs, the records of the fleet and the jobs
# that are open have the rest.
BODIES = 1 / 8  # of requests that come in or are being answered
BUFFERS = 1 / 8  # what all connections may hold that has not been read
REMEMBERED = 1 / 8  # jobs that have ended, and revisions of others
CACHED_JOB_BYTES = 512  # of one that is remembered
MAX_CACHED_JOBS = 20_000  # that are remembered, however much memory there is
MIN_BUFFER_BYTES, MAX_BUFFER_BYTES = 2 * 1024, 64 * 1024


class Memory(NamedTuple):
    body_bytes: int  # bytes
    buffer_bytes: int  # bytes of a connection: its reader stops reading at twice that
    cached_jobs: int


def memory_shares(ram_mb: float, inbound: int) -> Memory:
    """Divide a controller's memory (MB) with so many connections to it at most."""
    whole = ram_mb * 2**20
    buffer = int(
        min(max(whole * BUFFERS / (2 * max(inbound, 1)), MIN_BUFFER_BYTES), MAX_BUFFER_BYTES)
    )
    return Memory(
        int(whole * BODIES),
        buffer,
        int(min(whole * REMEMBERED / CACHED_JOB_BYTES, MAX_CACHED_JOBS)),
    )
