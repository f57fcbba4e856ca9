"""Codec of the frames between controllers.

A frame consists of a header (magic, version, kind, size of the body) and a body, in network byte
order. The table `CODECS` lists each message with its kind on the wire and the functions that pack
and unpack its body.

In a body, a string is its size (2 bytes) followed by UTF-8, a list is its number of rows (4 bytes,
for machine types 2 bytes) followed by the rows, and an HTTP body is its size (4 bytes) followed by
its bytes. Frames are packed with struct instead of JSON because shard statuses are the bulk of the
traffic.
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
HEADER = struct.Struct("!2sBBI")  # magic, version, kind, size of the body
MAX_BODY_BYTES = 512 * 1024  # limits the memory that a peer can make a controller allocate

U16 = struct.Struct("!H")
U32 = struct.Struct("!I")
U64 = struct.Struct("!Q")
F64 = struct.Struct("!d")

# incarnation, store_age_s, worker_heartbeat_age_s, ready, leader, store_requests_per_s,
# store_writes_per_s
PEER_HEARTBEAT = struct.Struct("!Qdd??dd")
# seen_revision, machines, waiting_tasks, machines_over_guarantee
SHARD_STATUS = struct.Struct("!QIII")
# cpus, gpus, memory_gb, tasks, priority, spot, one_zone, slack_s, guaranteed, gang_tasks,
# opportunistic, number of types
RESOURCE_REQUEST = struct.Struct("!dddIB??dBI?H")
# priority, preemption_cost_s
BUSY_MACHINE = struct.Struct("!Bd")
# number, HTTP status
FORWARD_REPLY = struct.Struct("!IH")
# done tasks, running tasks
TASK_COUNT = struct.Struct("!II")
# number of machines, spot, number of types
REBALANCE = struct.Struct("!I?H")
# priority, finish_by in seconds since the epoch
INHERITED_PRIORITY = struct.Struct("!bd")
# revision, cancelled_at in seconds since the epoch
CANCELLED_JOB = struct.Struct("!Qd")
# number, echoed_number
WATERMARK_ECHO = struct.Struct("!QQ")


class FrameKind(IntEnum):
    """Number that identifies a message type on the wire."""

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
    """Reads a body sequentially; raises a FrameError if the body is malformed."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.offset = 0

    def fields(self, layout: struct.Struct) -> tuple[Any, ...]:
        """Read the fields of a struct."""
        if self.offset + layout.size > len(self.data):
            raise TruncatedFrameError(layout.size, len(self.data) - self.offset)
        fields = layout.unpack_from(self.data, self.offset)
        self.offset += layout.size
        return fields

    def raw(self, size: int) -> bytes:
        """Read `size` bytes."""
        if self.offset + size > len(self.data):
            raise TruncatedFrameError(size, len(self.data) - self.offset)
        found = self.data[self.offset : self.offset + size]
        self.offset += size
        return found

    def text(self) -> str:
        encoded = self.raw(self.fields(U16)[0])
        try:
            return encoded.decode("utf-8")
        except UnicodeDecodeError:
            raise TextEncodingError(encoded) from None

    def sized_bytes(self) -> bytes:
        """Read bytes that are preceded by their number (4 bytes)."""
        return self.raw(self.fields(U32)[0])

    def row_count(self) -> int:
        """Read the number of rows of a list.

        A row takes at least one byte, so a count that exceeds the rest of the body is malformed.
        """
        count: int = self.fields(U32)[0]
        remaining_bytes = len(self.data) - self.offset
        if count > remaining_bytes:
            raise RowCountError(count, remaining_bytes)
        return count

    def expect_end(self) -> None:
        """Check that nothing follows the message."""
        if self.offset != len(self.data):
            raise TrailingBytesError(len(self.data) - self.offset)


def _pack_text(value: str) -> bytes:
    encoded = value.encode("utf-8")
    return U16.pack(len(encoded)) + encoded


def _pack_sized_bytes(value: bytes) -> bytes:
    return U32.pack(len(value)) + value


def _pack_texts(values: Iterable[str]) -> bytes:
    return b"".join(map(_pack_text, values))


# -- messages, in the order of their kinds -------------------------------------------------------


def _pack_hello(message: Hello) -> bytes:
    return _pack_text(message.label)


def _unpack_hello(reader: _Reader) -> Hello:
    return Hello(reader.text())


def _pack_peer_heartbeat(message: PeerHeartbeat) -> bytes:
    return PEER_HEARTBEAT.pack(*message)


def _unpack_peer_heartbeat(reader: _Reader) -> PeerHeartbeat:
    return PeerHeartbeat(*reader.fields(PEER_HEARTBEAT))


def _pack_shard_status(status: ShardStatus) -> bytes:
    fields = SHARD_STATUS.pack(
        status.seen_revision, status.machines, status.waiting_tasks, status.machines_over_guarantee
    )
    parts = [_pack_text(status.team), fields, U32.pack(len(status.resource_requests))]
    parts += map(_pack_resource_request, status.resource_requests)
    parts.append(U32.pack(len(status.idle)))
    for machine, idle_s in status.idle:
        parts += [_pack_text(machine), F64.pack(idle_s)]
    parts.append(U32.pack(len(status.busy)))
    for busy in status.busy:
        parts += [
            _pack_text(busy.machine),
            BUSY_MACHINE.pack(busy.priority, busy.preemption_cost_s),
        ]
    return b"".join(parts)


def _unpack_shard_status(reader: _Reader) -> ShardStatus:
    team = reader.text()
    seen_revision, machines, waiting_tasks, machines_over_guarantee = reader.fields(SHARD_STATUS)
    requests = [_unpack_resource_request(reader) for _ in range(reader.row_count())]
    idle = [(reader.text(), float(reader.fields(F64)[0])) for _ in range(reader.row_count())]
    busy = [
        BusyMachine(reader.text(), *reader.fields(BUSY_MACHINE)) for _ in range(reader.row_count())
    ]
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
    return (
        fields + _pack_texts(request.types) + _pack_text(request.zone) + _pack_text(request.image)
    )


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
    ) = reader.fields(RESOURCE_REQUEST)
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
    return _pack_text(message.shard) + _pack_text(message.machine) + _pack_text(message.to)


def _unpack_transfer_machine(reader: _Reader) -> TransferMachine:
    return TransferMachine(reader.text(), reader.text(), reader.text())


def _pack_reclaim(message: Reclaim) -> bytes:
    count = U32.pack(len(message.machines))
    return (
        _pack_text(message.shard) + _pack_text(message.to) + count + _pack_texts(message.machines)
    )


def _unpack_reclaim(reader: _Reader) -> Reclaim:
    return Reclaim(reader.text(), reader.text(), [reader.text() for _ in range(reader.row_count())])


def _pack_forwarded_heartbeat(message: ForwardedHeartbeat) -> bytes:
    return U32.pack(message.number) + _pack_sized_bytes(message.body)


def _unpack_forwarded_heartbeat(reader: _Reader) -> ForwardedHeartbeat:
    return ForwardedHeartbeat(reader.fields(U32)[0], reader.sized_bytes())


def _pack_forward_reply(message: ForwardReply) -> bytes:
    return FORWARD_REPLY.pack(message.number, message.status) + _pack_sized_bytes(message.body)


def _unpack_forward_reply(reader: _Reader) -> ForwardReply:
    number, status = reader.fields(FORWARD_REPLY)
    return ForwardReply(number, status, reader.sized_bytes())


def _pack_task_counts(message: TaskCounts) -> bytes:
    rows = [_pack_text(job) + TASK_COUNT.pack(done, running) for job, done, running in message.jobs]
    return U32.pack(len(rows)) + b"".join(rows)


def _unpack_task_counts(reader: _Reader) -> TaskCounts:
    return TaskCounts(
        [(reader.text(), *reader.fields(TASK_COUNT)) for _ in range(reader.row_count())]
    )


def _pack_transfer_shard(message: TransferShard) -> bytes:
    return _pack_text(message.shard) + _pack_text(message.to)


def _unpack_transfer_shard(reader: _Reader) -> TransferShard:
    return TransferShard(reader.text(), reader.text())


def _pack_rebalance(message: Rebalance) -> bytes:
    fields = REBALANCE.pack(message.number, message.spot, len(message.types))
    names = _pack_text(message.shard) + _pack_text(message.to)
    return names + fields + _pack_texts(message.types) + _pack_text(message.zone)


def _unpack_rebalance(reader: _Reader) -> Rebalance:
    shard = reader.text()
    to = reader.text()
    number, spot, type_count = reader.fields(REBALANCE)
    types = tuple(reader.text() for _ in range(type_count))
    return Rebalance(shard, to, number, types, reader.text(), spot)


def _pack_ownership_claims(message: OwnershipClaims) -> bytes:
    rows = [_pack_text(shard) + U64.pack(revision) for shard, revision in message.shards]
    return U32.pack(len(rows)) + b"".join(rows)


def _unpack_ownership_claims(reader: _Reader) -> OwnershipClaims:
    return OwnershipClaims(
        [(reader.text(), reader.fields(U64)[0]) for _ in range(reader.row_count())]
    )


def _pack_priority_inheritance(message: PriorityInheritance) -> bytes:
    rows = [
        _pack_text(job) + INHERITED_PRIORITY.pack(priority, finish_by)
        for job, priority, finish_by in message.jobs
    ]
    return _pack_text(message.shard) + U32.pack(len(rows)) + b"".join(rows)


def _unpack_priority_inheritance(reader: _Reader) -> PriorityInheritance:
    shard = reader.text()
    jobs = [(reader.text(), *reader.fields(INHERITED_PRIORITY)) for _ in range(reader.row_count())]
    return PriorityInheritance(shard, jobs)


def _pack_fenced_command(message: FencedCommand) -> bytes:
    codec = CODEC_OF_MESSAGE.get(type(message.command))
    if codec is None:
        raise UnknownMessageError(message.command)
    return U64.pack(message.term) + bytes([codec.kind]) + codec.pack(message.command)


def _unpack_fenced_command(reader: _Reader) -> FencedCommand:
    term = reader.fields(U64)[0]
    kind = reader.raw(1)[0]
    if kind not in COMMAND_KINDS:
        raise NotACommandError(kind)
    command = unpack(kind, reader.raw(len(reader.data) - reader.offset))
    if not isinstance(command, ShardCommand):
        raise NotACommandError(kind)
    return FencedCommand(term, command)


def _pack_reclaims_in_progress(message: ReclaimsInProgress) -> bytes:
    rows = [_pack_text(machine) + _pack_text(to) for machine, to in message.machines]
    return _pack_text(message.shard) + U32.pack(len(rows)) + b"".join(rows)


def _unpack_reclaims_in_progress(reader: _Reader) -> ReclaimsInProgress:
    shard = reader.text()
    return ReclaimsInProgress(
        shard, [(reader.text(), reader.text()) for _ in range(reader.row_count())]
    )


def _pack_cancelled_jobs(message: CancelledJobs) -> bytes:
    rows = [
        _pack_text(job) + _pack_text(team) + CANCELLED_JOB.pack(revision, cancelled_at)
        for job, team, revision, cancelled_at in message.jobs
    ]
    return U32.pack(len(rows)) + b"".join(rows)


def _unpack_cancelled_jobs(reader: _Reader) -> CancelledJobs:
    return CancelledJobs(
        [
            (reader.text(), reader.text(), *reader.fields(CANCELLED_JOB))
            for _ in range(reader.row_count())
        ]
    )


def _pack_watermark_echo(message: WatermarkEcho) -> bytes:
    return WATERMARK_ECHO.pack(*message)


def _unpack_watermark_echo(reader: _Reader) -> WatermarkEcho:
    return WatermarkEcho(*reader.fields(WATERMARK_ECHO))


# -- codecs --------------------------------------------------------------------------------------


class FrameCodec(NamedTuple):
    """Encoding of one message type.

    Attributes:
        kind: Number on the wire.
        message: Type of the message.
        pack: Encodes the body of a message.
        unpack: Decodes a message from a body.
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
    """Return the frame of a message.

    Raises:
        UnknownMessageError: The object is not a message between controllers.
        FrameTooLongError: The body would exceed `MAX_BODY_BYTES`.
        struct.error: A number, or the size of a string, is out of the range of its field.
    """
    codec = CODEC_OF_MESSAGE.get(type(message))
    if codec is None:
        raise UnknownMessageError(message)
    body = codec.pack(message)
    if len(body) > MAX_BODY_BYTES:
        raise FrameTooLongError(len(body), MAX_BODY_BYTES)
    return HEADER.pack(MAGIC, VERSION, codec.kind, len(body)) + body


def unpack_header(data: bytes) -> tuple[int, int]:
    """Return the kind and the size of the body in bytes from the header of a frame.

    Raises:
        FrameError: The header is not one of this version, or the body is too long.
    """
    magic, version, kind, body_bytes = HEADER.unpack(data)
    if magic != MAGIC:
        raise FrameMagicError(magic, MAGIC)
    if version != VERSION:
        raise FrameVersionError(version, VERSION)
    if body_bytes > MAX_BODY_BYTES:
        raise FrameTooLongError(body_bytes, MAX_BODY_BYTES)
    return kind, body_bytes


def unpack(kind: int, body: bytes) -> Frame:
    """Return the message in the body of a frame.

    Raises:
        FrameError: No message has this kind, or the body is malformed.
    """
    codec = CODEC_OF_KIND.get(kind)
    if codec is None:
        raise UnknownKindError(kind)
    reader = _Reader(body)
    message = codec.unpack(reader)
    reader.expect_end()
    return message
