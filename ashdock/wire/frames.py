"""The codec of the frames between controllers.

A frame is a header (magic, version, kind, length of the body) and a body, in network byte order. One table,
`CODECS`, says of each message its kind on the wire and how its body is packed and unpacked.

In a body, a text is its length in bytes (2 bytes) and UTF-8; a list is its number of rows (4 bytes) and the
rows. Frames are packed with struct and not as JSON because shard statuses are the bulk of the traffic.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterable
from enum import IntEnum
from typing import Any, NamedTuple

from ashdock.core.shard_status import (
    BusyMachine,
    Rebalance,
    Reclaim,
    ResourceRequest,
    ShardStatus,
)
from ashdock.wire.frame_errors import (
    FrameMagicError,
    FrameTooLongError,
    FrameVersionError,
    NotACommandError,
    RowCountError,
    TextEncodingError,
    TrailingBytesError,
    TruncatedFrameError,
    UnknownKindError,
    UnknownMessageError,
)
from ashdock.wire.peer_messages import (
    CancelledJobs,
    FencedCommand,
    ForwardedHeartbeat,
    ForwardReply,
    Frame,
    Hello,
    OwnershipClaims,
    PeerHeartbeat,
    PriorityInheritance,
    ReclaimsInProgress,
    ShardCommand,
    TaskCounts,
    TransferMachine,
    TransferShard,
    WatermarkEcho,
)

MAGIC = b"AD"
VERSION = 3
HEADER = struct.Struct("!2sBBI")  # magic, version, kind, length of the body
MAX_BODY_BYTES = (
    512 * 1024
)  # bytes of a body: bounds what a peer can make a controller hold in memory

U16 = struct.Struct("!H")
U32 = struct.Struct("!I")
U64 = struct.Struct("!Q")
F64 = struct.Struct("!d")

# incarnation, state_age, worker_age, ready, leader, requests, writes
PEER_HEARTBEAT = struct.Struct("!Qdd??dd")
# seen_revision, machines, waiting_tasks, machines_over_guarantee
SHARD_STATUS = struct.Struct("!QIII")
# cpus, gpus, memory_gb, tasks, priority, spot, one_zone, slack_s, guaranteed, gang_tasks,
# opportunistic, number of types
RESOURCE_REQUEST = struct.Struct("!dddIB??dBI?H")
# priority, preemption_cost_s
BUSY_MACHINE = struct.Struct("!Bd")
# number, status
FORWARD_REPLY = struct.Struct("!IH")
# done, running
TASK_COUNT = struct.Struct("!II")
# number, spot, number of types
REBALANCE = struct.Struct("!I?H")
# priority, time of day
INHERITED_PRIORITY = struct.Struct("!bd")
# revision, time of day
CANCELLED_JOB = struct.Struct("!Qd")
# number, back
WATERMARK_ECHO = struct.Struct("!QQ")


class FrameKind(IntEnum):
    """The number of a message on the wire."""

    HELLO = 1
    PEER_HEARTBEAT = 2
    SHARD_STATUS = 3
    TRANSFER_MACHINE = 4
    RECLAIM = 5
    FORWARDED_HEARTBEAT = 6
    FORWARD_REPLY = 7
    TASK_COUNTS = 8
    TRANSFER_SHARD = 9
    REBALANCE = 10
    OWNERSHIP_CLAIMS = 11
    PRIORITY_INHERITANCE = 12
    FENCED_COMMAND = 13
    RECLAIMS_IN_PROGRESS = 14
    CANCELLED_JOBS = 15
    WATERMARK_ECHO = 16


COMMAND_KINDS = frozenset(
    {
        FrameKind.TRANSFER_MACHINE,
        FrameKind.RECLAIM,
        FrameKind.TRANSFER_SHARD,
        FrameKind.REBALANCE,
    }
)


# -- fields --------------------------------------------------------------------------------------


class _Reader:
    """Reads a body from its start; raises a FrameError where it is malformed."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.at = 0

    def take(self, layout: struct.Struct) -> tuple[Any, ...]:
        """The next fields of that layout."""
        if self.at + layout.size > len(self.data):
            raise TruncatedFrameError(layout.size, len(self.data) - self.at)
        fields = layout.unpack_from(self.data, self.at)
        self.at += layout.size
        return fields

    def raw(self, size: int) -> bytes:
        """The next bytes."""
        if self.at + size > len(self.data):
            raise TruncatedFrameError(size, len(self.data) - self.at)
        found = self.data[self.at : self.at + size]
        self.at += size
        return found

    def text(self) -> str:
        raw = self.raw(self.take(U16)[0])
        try:
            return raw.decode("utf-8")
        except UnicodeDecodeError:
            raise TextEncodingError(raw) from None

    def blob(self) -> bytes:
        """Bytes behind their length (4 bytes)."""
        return self.raw(self.take(U32)[0])

    def count(self) -> int:
        """The number of a list's rows; a row takes a byte at least, so it cannot exceed what is left."""
        count: int = self.take(U32)[0]
        left = len(self.data) - self.at
        if count > left:
            raise RowCountError(count, left)
        return count

    def end(self) -> None:
        """Nothing may be left."""
        if self.at != len(self.data):
            raise TrailingBytesError(len(self.data) - self.at)


def _text(value: str) -> bytes:
    raw = value.encode("utf-8")
    return U16.pack(len(raw)) + raw


def _blob(value: bytes) -> bytes:
    return U32.pack(len(value)) + value


def _texts(values: Iterable[str]) -> bytes:
    return b"".join(map(_text, values))


# -- messages, in the order of their kinds -------------------------------------------------------


def _pack_hello(message: Hello) -> bytes:
    return _text(message.label)


def _unpack_hello(reader: _Reader) -> Hello:
    return Hello(reader.text())


def _pack_peer_heartbeat(message: PeerHeartbeat) -> bytes:
    return PEER_HEARTBEAT.pack(*message)


def _unpack_peer_heartbeat(reader: _Reader) -> PeerHeartbeat:
    return PeerHeartbeat(*reader.take(PEER_HEARTBEAT))


def _pack_shard_status(status: ShardStatus) -> bytes:
    fields = SHARD_STATUS.pack(
        status.seen_revision, status.machines, status.waiting_tasks, status.machines_over_guarantee
    )
    out = [_text(status.team), fields, U32.pack(len(status.resource_requests))]
    out += map(_pack_resource_request, status.resource_requests)
    out.append(U32.pack(len(status.idle)))
    for machine, idle_s in status.idle:
        out += [_text(machine), F64.pack(idle_s)]
    out.append(U32.pack(len(status.busy)))
    for busy in status.busy:
        out += [_text(busy.machine), BUSY_MACHINE.pack(busy.priority, busy.preemption_cost_s)]
    return b"".join(out)


def _unpack_shard_status(reader: _Reader) -> ShardStatus:
    team = reader.text()
    seen_revision, machines, waiting_tasks, machines_over_guarantee = reader.take(SHARD_STATUS)
    requests = [_unpack_resource_request(reader) for _ in range(reader.count())]
    idle = [(reader.text(), float(reader.take(F64)[0])) for _ in range(reader.count())]
    busy = [BusyMachine(reader.text(), *reader.take(BUSY_MACHINE)) for _ in range(reader.count())]
    return ShardStatus(
        team, seen_revision, requests, idle, busy, machines, waiting_tasks, machines_over_guarantee
    )


def _pack_resource_request(request: ResourceRequest) -> bytes:
    fields = RESOURCE_REQUEST.pack(
        request.cpus,
        request.gpus,
        request.memory_gb,
        request.tasks,
        request.priority,
        request.spot,
        request.one_zone,
        request.slack_s,
        request.guaranteed,
        request.gang_tasks,
        request.opportunistic,
        len(request.types),
    )
    return fields + _texts(request.types) + _text(request.zone) + _text(request.image)


def _unpack_resource_request(reader: _Reader) -> ResourceRequest:
    (
        cpus,
        gpus,
        memory_gb,
        tasks,
        priority,
        spot,
        one_zone,
        slack_s,
        guaranteed,
        gang_tasks,
        opportunistic,
        type_count,
    ) = reader.take(RESOURCE_REQUEST)
    types = tuple(reader.text() for _ in range(type_count))
    zone = reader.text()
    image = reader.text()
    return ResourceRequest(
        cpus,
        gpus,
        memory_gb,
        types,
        zone,
        spot,
        one_zone,
        tasks,
        priority,
        bool(guaranteed),
        slack_s,
        image,
        gang_tasks,
        opportunistic,
    )


def _pack_transfer_machine(message: TransferMachine) -> bytes:
    return _text(message.shard) + _text(message.machine) + _text(message.to)


def _unpack_transfer_machine(reader: _Reader) -> TransferMachine:
    return TransferMachine(reader.text(), reader.text(), reader.text())


def _pack_reclaim(message: Reclaim) -> bytes:
    count = U32.pack(len(message.machines))
    return _text(message.shard) + _text(message.to) + count + _texts(message.machines)


def _unpack_reclaim(reader: _Reader) -> Reclaim:
    return Reclaim(reader.text(), reader.text(), [reader.text() for _ in range(reader.count())])


def _pack_forwarded_heartbeat(message: ForwardedHeartbeat) -> bytes:
    return U32.pack(message.number) + _blob(message.body)


def _unpack_forwarded_heartbeat(reader: _Reader) -> ForwardedHeartbeat:
    return ForwardedHeartbeat(reader.take(U32)[0], reader.blob())


def _pack_forward_reply(message: ForwardReply) -> bytes:
    return FORWARD_REPLY.pack(message.number, message.status) + _blob(message.body)


def _unpack_forward_reply(reader: _Reader) -> ForwardReply:
    number, status = reader.take(FORWARD_REPLY)
    return ForwardReply(number, status, reader.blob())


def _pack_task_counts(message: TaskCounts) -> bytes:
    rows = [_text(job) + TASK_COUNT.pack(done, running) for job, done, running in message.jobs]
    return U32.pack(len(rows)) + b"".join(rows)


def _unpack_task_counts(reader: _Reader) -> TaskCounts:
    return TaskCounts([(reader.text(), *reader.take(TASK_COUNT)) for _ in range(reader.count())])


def _pack_transfer_shard(message: TransferShard) -> bytes:
    return _text(message.shard) + _text(message.to)


def _unpack_transfer_shard(reader: _Reader) -> TransferShard:
    return TransferShard(reader.text(), reader.text())


def _pack_rebalance(message: Rebalance) -> bytes:
    fields = REBALANCE.pack(message.number, message.spot, len(message.types))
    names = _text(message.shard) + _text(message.to)
    return names + fields + _texts(message.types) + _text(message.zone)


def _unpack_rebalance(reader: _Reader) -> Rebalance:
    shard = reader.text()
    to = reader.text()
    number, spot, type_count = reader.take(REBALANCE)
    types = tuple(reader.text() for _ in range(type_count))
    return Rebalance(shard, to, number, types, reader.text(), spot)


def _pack_ownership_claims(message: OwnershipClaims) -> bytes:
    rows = [_text(shard) + U64.pack(revision) for shard, revision in message.shards]
    return U32.pack(len(rows)) + b"".join(rows)


def _unpack_ownership_claims(reader: _Reader) -> OwnershipClaims:
    return OwnershipClaims([(reader.text(), reader.take(U64)[0]) for _ in range(reader.count())])


def _pack_priority_inheritance(message: PriorityInheritance) -> bytes:
    rows = [
        _text(job) + INHERITED_PRIORITY.pack(priority, finish_by)
        for job, priority, finish_by in message.jobs
    ]
    return _text(message.shard) + U32.pack(len(rows)) + b"".join(rows)


def _unpack_priority_inheritance(reader: _Reader) -> PriorityInheritance:
    shard = reader.text()
    jobs = [(reader.text(), *reader.take(INHERITED_PRIORITY)) for _ in range(reader.count())]
    return PriorityInheritance(shard, jobs)


def _pack_fenced_command(message: FencedCommand) -> bytes:
    codec = CODEC_OF_MESSAGE.get(type(message.command))
    if codec is None:
        raise UnknownMessageError(message.command)
    return U64.pack(message.term) + bytes([codec.kind]) + codec.pack(message.command)


def _unpack_fenced_command(reader: _Reader) -> FencedCommand:
    term = reader.take(U64)[0]
    kind = reader.raw(1)[0]
    if kind not in COMMAND_KINDS:
        raise NotACommandError(kind)
    command = unpack(kind, reader.raw(len(reader.data) - reader.at))
    if not isinstance(command, ShardCommand):
        raise NotACommandError(kind)
    return FencedCommand(term, command)


def _pack_reclaims_in_progress(message: ReclaimsInProgress) -> bytes:
    rows = [_text(machine) + _text(to) for machine, to in message.machines]
    return _text(message.shard) + U32.pack(len(rows)) + b"".join(rows)


def _unpack_reclaims_in_progress(reader: _Reader) -> ReclaimsInProgress:
    shard = reader.text()
    return ReclaimsInProgress(
        shard, [(reader.text(), reader.text()) for _ in range(reader.count())]
    )


def _pack_cancelled_jobs(message: CancelledJobs) -> bytes:
    rows = [
        _text(job) + _text(team) + CANCELLED_JOB.pack(revision, cancelled_at)
        for job, team, revision, cancelled_at in message.jobs
    ]
    return U32.pack(len(rows)) + b"".join(rows)


def _unpack_cancelled_jobs(reader: _Reader) -> CancelledJobs:
    return CancelledJobs(
        [(reader.text(), reader.text(), *reader.take(CANCELLED_JOB)) for _ in range(reader.count())]
    )


def _pack_watermark_echo(message: WatermarkEcho) -> bytes:
    return WATERMARK_ECHO.pack(*message)


def _unpack_watermark_echo(reader: _Reader) -> WatermarkEcho:
    return WatermarkEcho(*reader.take(WATERMARK_ECHO))


# -- the table -----------------------------------------------------------------------------------


class FrameCodec(NamedTuple):
    """How one message travels.

    Attributes:
        kind: Its number on the wire.
        message: Its type.
        pack: Its body from the message.
        unpack: The message from its body.
    """

    kind: FrameKind
    message: type[Any]
    pack: Callable[[Any], bytes]
    unpack: Callable[[_Reader], Frame]


CODECS = (
    FrameCodec(FrameKind.HELLO, Hello, _pack_hello, _unpack_hello),
    FrameCodec(
        FrameKind.PEER_HEARTBEAT, PeerHeartbeat, _pack_peer_heartbeat, _unpack_peer_heartbeat
    ),
    FrameCodec(FrameKind.SHARD_STATUS, ShardStatus, _pack_shard_status, _unpack_shard_status),
    FrameCodec(
        FrameKind.TRANSFER_MACHINE,
        TransferMachine,
        _pack_transfer_machine,
        _unpack_transfer_machine,
    ),
    FrameCodec(FrameKind.RECLAIM, Reclaim, _pack_reclaim, _unpack_reclaim),
    FrameCodec(
        FrameKind.FORWARDED_HEARTBEAT,
        ForwardedHeartbeat,
        _pack_forwarded_heartbeat,
        _unpack_forwarded_heartbeat,
    ),
    FrameCodec(FrameKind.FORWARD_REPLY, ForwardReply, _pack_forward_reply, _unpack_forward_reply),
    FrameCodec(FrameKind.TASK_COUNTS, TaskCounts, _pack_task_counts, _unpack_task_counts),
    FrameCodec(
        FrameKind.TRANSFER_SHARD, TransferShard, _pack_transfer_shard, _unpack_transfer_shard
    ),
    FrameCodec(FrameKind.REBALANCE, Rebalance, _pack_rebalance, _unpack_rebalance),
    FrameCodec(
        FrameKind.OWNERSHIP_CLAIMS,
        OwnershipClaims,
        _pack_ownership_claims,
        _unpack_ownership_claims,
    ),
    FrameCodec(
        FrameKind.PRIORITY_INHERITANCE,
        PriorityInheritance,
        _pack_priority_inheritance,
        _unpack_priority_inheritance,
    ),
    FrameCodec(
        FrameKind.FENCED_COMMAND, FencedCommand, _pack_fenced_command, _unpack_fenced_command
    ),
    FrameCodec(
        FrameKind.RECLAIMS_IN_PROGRESS,
        ReclaimsInProgress,
        _pack_reclaims_in_progress,
        _unpack_reclaims_in_progress,
    ),
    FrameCodec(
        FrameKind.CANCELLED_JOBS, CancelledJobs, _pack_cancelled_jobs, _unpack_cancelled_jobs
    ),
    FrameCodec(
        FrameKind.WATERMARK_ECHO, WatermarkEcho, _pack_watermark_echo, _unpack_watermark_echo
    ),
)
CODEC_OF_MESSAGE: dict[type[Any], FrameCodec] = {codec.message: codec for codec in CODECS}
CODEC_OF_KIND: dict[int, FrameCodec] = {codec.kind: codec for codec in CODECS}


# -- frames --------------------------------------------------------------------------------------


def pack(message: Frame) -> bytes:
    """The frame of a message.

    Raises:
        UnknownMessageError: it is no message between controllers.
        FrameTooLongError: its body would be longer than a frame's may be.
    """
    codec = CODEC_OF_MESSAGE.get(type(message))
    if codec is None:
        raise UnknownMessageError(message)
    body = codec.pack(message)
    if len(body) > MAX_BODY_BYTES:
        raise FrameTooLongError(len(body), MAX_BODY_BYTES)
    return HEADER.pack(MAGIC, VERSION, codec.kind, len(body)) + body


def unpack_header(data: bytes) -> tuple[int, int]:
    """Kind, and length of the body in bytes, from a frame's header.

    Raises:
        FrameError: it is not a header of this version, or the body is too long.
    """
    magic, version, kind, length = HEADER.unpack(data)
    if magic != MAGIC:
        raise FrameMagicError(magic, MAGIC)
    if version != VERSION:
        raise FrameVersionError(version, VERSION)
    if length > MAX_BODY_BYTES:
        raise FrameTooLongError(length, MAX_BODY_BYTES)
    return kind, length


def unpack(kind: int, body: bytes) -> Frame:
    """The message of a frame's body.

    Raises:
        FrameError: no message has that kind, or the body is malformed.
    """
    codec = CODEC_OF_KIND.get(kind)
    if codec is None:
        raise UnknownKindError(kind)
    reader = _Reader(body)
    message = codec.unpack(reader)
    reader.end()
    return message
