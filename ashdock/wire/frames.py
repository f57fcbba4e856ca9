"""What passes between controllers: frames packed by hand with struct.

A frame is a head (magic, version, kind, length) and a body. A frame that is cut short, too long, of
another version or malformed raises BadFrame, and the link it came on is closed.
"""

from __future__ import annotations

import struct
from enum import IntEnum
from typing import NamedTuple

from ashdock.core.shard_status import (
    BusyMachine,
    Rebalance,
    Reclaim,
    ResourceRequest,
    ShardStatus,
)

MAGIC = b"AD"
VERSION = 3
HEAD = struct.Struct("!2sBBI")
MOST = 512 * 1024

U16 = struct.Struct("!H")
U32 = struct.Struct("!I")
U64 = struct.Struct("!Q")
F64 = struct.Struct("!d")
WANT = struct.Struct(
    "!dddIB??dBI?"
)  # cpus gpus memory tasks priority spot together slack guaranteed whole idle
OWED = struct.Struct("!I?")  # number, spot
BUSY = struct.Struct("!Bd")  # priority, loss
CANCELLED = struct.Struct("!Qd")  # revision, time of day
VOUCH = struct.Struct("!QQ")
AHEAD = struct.Struct("!bd")  # priority, when it had better be done
BEAT = struct.Struct(
    "!Qdd??dd"
)  # incarnation, age of the state's last answer, of the last worker's; ready, leader; demand


class FrameError(Exception):
    pass


class FrameKind(IntEnum):
    HELLO = 1
    BEAT = 2
    PICTURE = 3
    YIELD = 4
    RECALL = 5
    RELAY = 6
    RELAYED = 7
    COUNTS = 8
    GIVE = 9
    OWED = 10
    CLAIMS = 11
    AHEAD = 12
    TERMED = 13
    LEAVING = 14
    CANCELLED = 15
    VOUCH = 16


class Hello(NamedTuple):
    label: str


class PeerHeartbeat(NamedTuple):
    incarnation: int
    state_age: float
    worker_age: float
    ready: bool
    leader: bool
    requests: float = 0.0  # asked of the state service a second
    writes: float = 0.0


class TransferMachine(NamedTuple):
    shard: str
    machine: str
    to: str


class ForwardedHeartbeat(NamedTuple):
    number: int
    body: bytes


class ForwardReply(NamedTuple):
    number: int
    status: int
    body: bytes


class TaskCounts(NamedTuple):
    jobs: list[tuple[str, int, int]]  # id, done, running


class TransferShard(NamedTuple):
    """The leader asks a shard's owner to hand the shard to another controller."""

    shard: str
    to: str


class PriorityInheritance(NamedTuple):
    """What a shard's jobs make of the jobs of other shards that they need: whose, and what priority and time are carried back.
    Versions before do not know it: it is sent only once every controller is of the new version."""

    shard: str
    jobs: list[tuple[str, int, float]]


class OwnershipClaims(NamedTuple):
    """The shards that the sender owns, with the revisions of its claims."""

    shards: list[tuple[str, int]]


ShardCommand = (
    TransferMachine | Reclaim | TransferShard | Rebalance
)  # what a holder of the machines' duty asks of a shard's owner


class FencedCommand(NamedTuple):
    """A word and the term under which it was given. Versions before do not know it: it is sent only once every controller does."""

    term: int
    word: ShardCommand


class ReclaimsInProgress(NamedTuple):
    """The machines that a shard is vacating, and for whom ("" is the pool): a new holder has not asked for them itself. Sent as `FencedCommand` is."""

    shard: str
    machines: list[tuple[str, str]]


class CancelledJobs(NamedTuple):
    """Jobs of which the sender knows, durably, that they are cancelled: job, team, revision of the record, time of day when it was cancelled.
    Versions before do not know it: it is sent only once every controller does."""

    jobs: list[tuple[str, str, int, float]]


class WatermarkEcho(NamedTuple):
    """`number` is to be sent back; `back` is the last number that the sender had of the receiver. All cancellations that it had learnt of
    before, since this link began, went out on it before. Sent as `CancelledJobs` is."""

    number: int
    back: int


Frame = (
    Hello
    | PeerHeartbeat
    | ShardStatus
    | TransferMachine
    | Reclaim
    | ForwardedHeartbeat
    | ForwardReply
    | TaskCounts
    | TransferShard
    | Rebalance
    | OwnershipClaims
    | PriorityInheritance
    | FencedCommand
    | ReclaimsInProgress
    | CancelledJobs
    | WatermarkEcho
)
WORDS = (FrameKind.YIELD, FrameKind.RECALL, FrameKind.GIVE, FrameKind.OWED)


def _text(value: str) -> bytes:
    raw = value.encode("utf-8")
    return U16.pack(len(raw)) + raw


def _blob(value: bytes) -> bytes:
    return U32.pack(len(value)) + value


class _Reader:
    def __init__(self, data: bytes) -> None:
        self.data = data
        self.at = 0

    def take(self, kind: struct.Struct) -> tuple:  # type: ignore[type-arg]
        if self.at + kind.size > len(self.data):
            raise FrameError("cut short")
        out = kind.unpack_from(self.data, self.at)
        self.at += kind.size
        return out

    def raw(self, size: int) -> bytes:
        if self.at + size > len(self.data):
            raise FrameError("cut short")
        out = self.data[self.at : self.at + size]
        self.at += size
        return out

    def text(self) -> str:
        raw = self.raw(self.take(U16)[0])
        try:
            return raw.decode("utf-8")
        except UnicodeDecodeError:
            raise FrameError("not UTF-8") from None

    def blob(self) -> bytes:
        return self.raw(self.take(U32)[0])

    def many(self) -> int:
        """A count; each item takes a byte at least, so it cannot exceed what is left."""
        count: int = self.take(U32)[0]
        if count > len(self.data) - self.at:
            raise FrameError("count beyond the frame")
        return count

    def end(self) -> None:
        if self.at != len(self.data):
            raise FrameError("bytes left over")


def pack(frame: Frame) -> bytes:
    kind, body = _body(frame)
    if len(body) > MOST:
        raise FrameError("too long")
    return HEAD.pack(MAGIC, VERSION, kind, len(body)) + body


def _body(frame: Frame) -> tuple[FrameKind, bytes]:
    match frame:
        case Hello(label):
            return FrameKind.HELLO, _text(label)
        case PeerHeartbeat():
            return FrameKind.BEAT, BEAT.pack(*frame)
        case ShardStatus():
            return FrameKind.PICTURE, _pack_shard_status(frame)
        case TransferMachine(shard, machine, to):
            return FrameKind.YIELD, _text(shard) + _text(machine) + _text(to)
        case Reclaim():
            names = b"".join(map(_text, frame.machines))
            return FrameKind.RECALL, _text(frame.shard) + _text(frame.to) + U32.pack(
                len(frame.machines)
            ) + names
        case ForwardedHeartbeat(number, body):
            return FrameKind.RELAY, U32.pack(number) + _blob(body)
        case ForwardReply(number, status, body):
            return FrameKind.RELAYED, U32.pack(number) + U16.pack(status) + _blob(body)
        case TaskCounts(jobs):
            rows = b"".join(
                _text(job) + U32.pack(done) + U32.pack(running) for job, done, running in jobs
            )
            return FrameKind.COUNTS, U32.pack(len(jobs)) + rows
        case TransferShard(shard, to):
            return FrameKind.GIVE, _text(shard) + _text(to)
        case Rebalance(shard, to, number, types, zone, spot):
            names = U16.pack(len(types)) + b"".join(map(_text, types))
            return FrameKind.OWED, _text(shard) + _text(to) + OWED.pack(
                number, spot
            ) + names + _text(zone)
        case OwnershipClaims(shards):
            return FrameKind.CLAIMS, U32.pack(len(shards)) + b"".join(
                _text(shard) + U64.pack(revision) for shard, revision in shards
            )
        case PriorityInheritance(shard, jobs):
            rows = b"".join(
                _text(job) + AHEAD.pack(priority, finish_by) for job, priority, finish_by in jobs
            )
            return FrameKind.AHEAD, _text(shard) + U32.pack(len(jobs)) + rows
        case CancelledJobs(jobs):
            rows = b"".join(
                _text(job) + _text(team) + CANCELLED.pack(revision, at)
                for job, team, revision, at in jobs
            )
            return FrameKind.CANCELLED, U32.pack(len(jobs)) + rows
        case WatermarkEcho(number, back):
            return FrameKind.VOUCH, VOUCH.pack(number, back)
        case ReclaimsInProgress(shard, rows):
            names = b"".join(_text(machine) + _text(to) for machine, to in rows)
            return FrameKind.LEAVING, _text(shard) + U32.pack(len(rows)) + names
        case FencedCommand(term, word):
            kind, body = _body(word)
            return FrameKind.TERMED, U64.pack(term) + bytes([kind]) + body
    raise FrameError(f"no such frame: {frame!r}")


def _pack_shard_status(shard_status: ShardStatus) -> bytes:
    out = [
        _text(shard_status.team),
        U64.pack(shard_status.seen),
        U32.pack(shard_status.machines),
        U32.pack(shard_status.waiting),
    ]
    out += [U32.pack(shard_status.spare_beyond), U32.pack(len(shard_status.resource_requests))]
    for request in shard_status.resource_requests:
        out.append(
            WANT.pack(
                request.cpus,
                request.gpus,
                request.memory,
                request.tasks,
                request.priority,
                request.spot,
                request.together,
                request.slack_s,
                request.guaranteed,
                request.whole,
                request.idle,
            )
        )
        out += [
            U16.pack(len(request.types)),
            *map(_text, request.types),
            _text(request.zone),
            _text(request.image),
        ]
    out.append(U32.pack(len(shard_status.idle)))
    for name, idle_s in shard_status.idle:
        out += [_text(name), F64.pack(idle_s)]
    out.append(U32.pack(len(shard_status.busy)))
    for busy in shard_status.busy:
        out += [_text(busy.machine), BUSY.pack(busy.priority, busy.preemption_cost_s)]
    return b"".join(out)


def _unpack_shard_status(reader: _Reader) -> ShardStatus:
    team = reader.text()
    seen = reader.take(U64)[0]
    machines, waiting, beyond = (reader.take(U32)[0] for _ in range(3))
    resource_requests = []
    for _ in range(reader.many()):
        cpus, gpus, memory, tasks, priority, spot, together, slack, promised, whole, idle = (
            reader.take(WANT)
        )
        types = tuple(reader.text() for _ in range(reader.take(U16)[0]))
        zone, image = reader.text(), reader.text()
        resource_requests.append(
            ResourceRequest(
                cpus,
                gpus,
                memory,
                types,
                zone,
                spot,
                together,
                tasks,
                priority,
                bool(promised),
                slack,
                image,
                whole,
                idle,
            )
        )
    empty = [(reader.text(), float(reader.take(F64)[0])) for _ in range(reader.many())]
    busy = [BusyMachine(reader.text(), *reader.take(BUSY)) for _ in range(reader.many())]
    return ShardStatus(team, seen, resource_requests, empty, busy, machines, waiting, beyond)


def head(data: bytes) -> tuple[int, int]:
    """Kind and length from a frame's head."""
    magic, version, kind, length = HEAD.unpack(data)
    if magic != MAGIC:
        raise FrameError("not a frame of ours")
    if version != VERSION:
        raise FrameError(f"version {version}, expected {VERSION}")
    if length > MOST:
        raise FrameError("too long")
    return kind, length


def unpack(kind: int, body: bytes) -> Frame:
    reader = _Reader(body)
    frame: Frame
    if kind == FrameKind.HELLO:
        frame = Hello(reader.text())
    elif kind == FrameKind.BEAT:
        frame = PeerHeartbeat(*reader.take(BEAT))
    elif kind == FrameKind.PICTURE:
        frame = _unpack_shard_status(reader)
    elif kind == FrameKind.YIELD:
        frame = TransferMachine(reader.text(), reader.text(), reader.text())
    elif kind == FrameKind.RECALL:
        frame = Reclaim(reader.text(), reader.text(), [reader.text() for _ in range(reader.many())])
    elif kind == FrameKind.RELAY:
        frame = ForwardedHeartbeat(reader.take(U32)[0], reader.blob())
    elif kind == FrameKind.RELAYED:
        frame = ForwardReply(reader.take(U32)[0], reader.take(U16)[0], reader.blob())
    elif kind == FrameKind.COUNTS:
        rows = [
            (reader.text(), reader.take(U32)[0], reader.take(U32)[0]) for _ in range(reader.many())
        ]
        frame = TaskCounts(rows)
    elif kind == FrameKind.GIVE:
        frame = TransferShard(reader.text(), reader.text())
    elif kind == FrameKind.OWED:
        shard, to = reader.text(), reader.text()
        number, spot = reader.take(OWED)
        types = tuple(reader.text() for _ in range(reader.take(U16)[0]))
        frame = Rebalance(shard, to, number, types, reader.text(), spot)
    elif kind == FrameKind.CLAIMS:
        frame = OwnershipClaims(
            [(reader.text(), reader.take(U64)[0]) for _ in range(reader.many())]
        )
    elif kind == FrameKind.AHEAD:
        shard = reader.text()
        frame = PriorityInheritance(
            shard, [(reader.text(), *reader.take(AHEAD)) for _ in range(reader.many())]
        )
    elif kind == FrameKind.LEAVING:
        frame = ReclaimsInProgress(
            reader.text(), [(reader.text(), reader.text()) for _ in range(reader.many())]
        )
    elif kind == FrameKind.CANCELLED:
        frame = CancelledJobs(
            [(reader.text(), reader.text(), *reader.take(CANCELLED)) for _ in range(reader.many())]
        )
    elif kind == FrameKind.VOUCH:
        frame = WatermarkEcho(*reader.take(VOUCH))
    elif kind == FrameKind.TERMED:
        term, inner = reader.take(U64)[0], reader.raw(1)[0]
        word = unpack(inner, reader.raw(len(body) - reader.at)) if inner in WORDS else None
        if not isinstance(word, ShardCommand):
            raise FrameError(f"kind {inner} under a term")
        frame = FencedCommand(term, word)
    else:
        raise FrameError(f"kind {kind}")
    reader.end()
    return frame
