"""Shares of a controller's sockets and memory: fractions of the limits that the settings give."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class SocketUse(Enum):
    """What a socket is used for; the values are labels of metrics."""

    NEW = "new"  # connected, without a complete request so far
    USER = "users"
    PROBE = "probes"  # /ready and /metrics
    WORKER = "workers"
    MESH = "mesh"
    STORE = "state"
    CLOUD = "cloud"
    COMMANDS = "orders"  # from this controller to workers

    # Members are compared by identity. Hashing their names, fifteen times for each worker's
    # heartbeat, took a twelfth of the time that answering a heartbeat takes.
    __hash__ = object.__hash__


# Sockets reserved for each use: a fraction of the limit, and the least that works. What is left of
# the limit goes to users before workers: a worker can open a new connection for each heartbeat, but
# a user notices when its connection is closed.
RESERVED = {
    SocketUse.NEW: (1 / 16, 2),
    SocketUse.USER: (1 / 4, 2),
    SocketUse.PROBE: (1 / 64, 1),
    SocketUse.WORKER: (1 / 4, 2),
    SocketUse.STORE: (1 / 16, 4),
    SocketUse.CLOUD: (1 / 64, 2),
    SocketUse.COMMANDS: (1 / 8, 1),
}
# Of the limit: listening sockets, those that the interpreter holds open, and those being opened.
OVERHEAD_RATIO = 1 / 32
MIN_OVERHEAD = 4
# One link out and one in, and as many again while the loss of the old ones has not been noticed.
MESH_SOCKETS_PER_PEER = 4


class Shares(NamedTuple):
    """How the sockets of a controller are divided.

    Attributes:
        limit: sockets that the controller may hold.
        reserved: sockets reserved for each use.
        inbound: most connections that others may have open to this controller.
    """

    limit: int
    reserved: dict[SocketUse, int]
    inbound: int

    def max_user_connections(self) -> int:
        """Return how many connections of users may be open."""
        return max(
            self.inbound
            - sum(self.reserved[use] for use in (SocketUse.NEW, SocketUse.PROBE, SocketUse.WORKER)),
            self.reserved[SocketUse.USER],
        )

    def max_worker_connections(self, users: int) -> int:
        """Return how many connections of workers may stay open while `users` of users are open.

        These are the reserved ones and half of what users leave beyond that. The other half is kept
        for reconnects: after a freeze or a network partition each worker opens a new connection
        before the loss of its old one is noticed. That had 1,775 of 1,937 sockets in use.
        """
        left_by_users = (
            self.inbound
            - self.reserved[SocketUse.NEW]
            - self.reserved[SocketUse.PROBE]
            - max(users, self.reserved[SocketUse.USER])
        )
        return (
            self.reserved[SocketUse.WORKER]
            + max(left_by_users - self.reserved[SocketUse.WORKER], 0) // 2
        )


def socket_shares(limit: int, peers: int) -> Shares:
    """Divide the sockets of a controller.

    Args:
        limit: sockets that the controller may hold.
        peers: number of other controllers.
    """
    reserved = {use: max(int(limit * ratio), least) for use, (ratio, least) in RESERVED.items()}
    reserved[SocketUse.MESH] = MESH_SOCKETS_PER_PEER * (peers + 1)
    not_inbound = sum(
        reserved[use]
        for use in (SocketUse.STORE, SocketUse.CLOUD, SocketUse.COMMANDS, SocketUse.MESH)
    ) + max(int(limit * OVERHEAD_RATIO), MIN_OVERHEAD)
    return Shares(limit, reserved, max(limit - not_inbound, 4))


def undivided_shares(limit: int) -> Shares:
    """Return shares that give each use the whole limit, for a server with one kind of client."""
    return Shares(limit, dict.fromkeys(SocketUse, limit), limit)


def min_connections(peers: int) -> int:
    """Return the smallest limit with the least reserved for each use, given so many peers."""
    least = {use: number for use, (_, number) in RESERVED.items()}
    not_inbound = (
        sum(least[use] for use in (SocketUse.STORE, SocketUse.CLOUD, SocketUse.COMMANDS))
        + MESH_SOCKETS_PER_PEER * (peers + 1)
        + MIN_OVERHEAD
    )
    return not_inbound + sum(
        least[use] for use in (SocketUse.NEW, SocketUse.USER, SocketUse.PROBE, SocketUse.WORKER)
    )


# Fractions of the memory limit for what grows with the number of clients. The rest is for what a
# start needs, the records of the machines, and the open jobs.
BODIES_RATIO = 1 / 8  # bodies of requests that are received or answered
BUFFERS_RATIO = 1 / 8  # unread bytes of all connections
JOB_CACHE_RATIO = 1 / 8  # outcomes of jobs that have ended, and revisions of others
CACHED_JOB_BYTES = 512  # the most that one of them takes
MAX_CACHED_JOBS = 20_000  # however much memory there is
MIN_BUFFER_BYTES, MAX_BUFFER_BYTES = 2 * 1024, 64 * 1024  # of one connection


class Memory(NamedTuple):
    """How the memory of a controller is divided.

    Attributes:
        body_bytes: for the bodies of all requests that are received or answered.
        buffer_bytes: read buffer of a connection, which stops reading at twice that.
        cached_jobs: number of jobs in each cache of jobs.
    """

    body_bytes: int
    buffer_bytes: int
    cached_jobs: int


def memory_shares(ram_mb: float, inbound: int) -> Memory:
    """Divide the memory of a controller.

    Args:
        ram_mb: memory that the controller may use, in MiB.
        inbound: most connections to it at a time.
    """
    ram_bytes = ram_mb * 2**20
    buffer_bytes = int(
        min(
            max(ram_bytes * BUFFERS_RATIO / (2 * max(inbound, 1)), MIN_BUFFER_BYTES),
            MAX_BUFFER_BYTES,
        )
    )
    return Memory(
        int(ram_bytes * BODIES_RATIO),
        buffer_bytes,
        int(min(ram_bytes * JOB_CACHE_RATIO / CACHED_JOB_BYTES, MAX_CACHED_JOBS)),
    )
