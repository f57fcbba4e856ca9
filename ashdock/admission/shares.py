"""Named shares of a controller's sockets and memory, each a ratio to the limit that the settings give."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class Use(Enum):
    """What a socket is for."""

    NEW = "new"  # has connected, and not said yet what it wants
    USER = "users"
    PROBE = "probes"  # /ready and /metrics
    WORKER = "workers"
    MESH = "mesh"
    STATE = "state"
    CLOUD = "cloud"
    ORDERS = "orders"  # ours to workers

    # Members are told apart by identity. Hashing their names instead, fifteen times a report, was a twelfth of answering one.
    __hash__ = object.__hash__


# Of the limit, places that nobody else may take, and the least that makes sense. What is left of the limit after all of them is for
# users before workers: a worker's connection can be opened anew for each report, a user's cannot without its user noticing.
CERTAIN = {
    Use.NEW: (1 / 16, 2),
    Use.USER: (1 / 4, 2),
    Use.PROBE: (1 / 64, 1),
    Use.WORKER: (1 / 4, 2),
    Use.STATE: (1 / 16, 4),
    Use.CLOUD: (1 / 64, 2),
    Use.ORDERS: (1 / 8, 1),
}
SPARE = 1 / 32  # for the listening ends, what the interpreter holds open, and what is on its way
LEAST_SPARE = 4
LINKS = 4  # of the mesh to a peer: one out, one in, and as many once more while one that is dead has not been noticed


class Shares(NamedTuple):
    """Places for each use. `inbound` is what all that connects to us may hold together."""

    limit: int
    certain: dict[Use, int]
    inbound: int

    def users_most(self) -> int:
        return max(
            self.inbound - sum(self.certain[use] for use in (Use.NEW, Use.PROBE, Use.WORKER)),
            self.certain[Use.USER],
        )

    def workers_most(self, users: int) -> int:
        """How many workers' connections may stay open while users have so many: what is certain, and half of what users do not
        need beyond that. The other half is for all who come back at once: after a freeze or a cut each worker connects anew while
        what it left has not been noticed, and 1,775 of 1,937 sockets were in use."""
        rest = (
            self.inbound
            - self.certain[Use.NEW]
            - self.certain[Use.PROBE]
            - max(users, self.certain[Use.USER])
        )
        return self.certain[Use.WORKER] + max(rest - self.certain[Use.WORKER], 0) // 2


def shares_of(limit: int, peers: int) -> Shares:
    """Divide `limit` sockets of a controller with so many others."""
    certain = {use: max(int(limit * ratio), least) for use, (ratio, least) in CERTAIN.items()}
    certain[Use.MESH] = LINKS * (peers + 1)
    ours = sum(certain[use] for use in (Use.STATE, Use.CLOUD, Use.ORDERS, Use.MESH)) + max(
        int(limit * SPARE), LEAST_SPARE
    )
    return Shares(limit, certain, max(limit - ours, 4))


def plain(limit: int) -> Shares:
    """All for whoever comes: for an end that serves one kind of caller."""
    return Shares(limit, dict.fromkeys(Use, limit), limit)


def least_connections(peers: int) -> int:
    """The smallest limit that leaves a place for each use besides what we need ourselves."""
    least = {use: number for use, (_, number) in CERTAIN.items()}
    ours = (
        sum(least[use] for use in (Use.STATE, Use.CLOUD, Use.ORDERS))
        + LINKS * (peers + 1)
        + LEAST_SPARE
    )
    return ours + sum(least[use] for use in (Use.NEW, Use.USER, Use.PROBE, Use.WORKER))


# Of the memory that the settings give, for each thing that grows with those who ask. What a start needs, the records of the fleet and the jobs
# that are open have the rest.
BODIES = 1 / 8  # of requests that come in or are being answered
BUFFERS = 1 / 8  # what all connections may hold that has not been read
REMEMBERED = 1 / 8  # jobs that have ended, and revisions of others
JOB_BYTES = 512  # of one that is remembered
MOST_JOBS = 20_000  # that are remembered, however much memory there is
LEAST_BUFFER, MOST_BUFFER = 2 * 1024, 64 * 1024


class Memory(NamedTuple):
    bodies: int  # bytes
    buffer: int  # bytes of a connection: its reader stops reading at twice that
    jobs: int


def memory_of(ram_mb: float, inbound: int) -> Memory:
    """Divide a controller's memory (MB) with so many connections to it at most."""
    whole = ram_mb * 2**20
    buffer = int(min(max(whole * BUFFERS / (2 * max(inbound, 1)), LEAST_BUFFER), MOST_BUFFER))
    return Memory(int(whole * BODIES), buffer, int(min(whole * REMEMBERED / JOB_BYTES, MOST_JOBS)))
