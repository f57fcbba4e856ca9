"""What passes between controllers: frames packed by hand with struct.

A frame is a head (magic, version, kind, length) and a body. A frame that is cut short, too long, of
another version or malformed raises BadFrame, and the link it came on is closed.
"""

from __future__ import annotations

import struct
from enum import IntEnum
from typing import NamedTuple

from ashdock.core.telling import Busy, Owed, Picture, Recalled, Want

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


class BadFrame(Exception):
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


class Beat(NamedTuple):
    incarnation: int
    state_age: float
    worker_age: float
    ready: bool
    leader: bool
    requests: float = 0.0  # asked of the state service a second
    writes: float = 0.0


class Yield(NamedTuple):
    shard: str
    machine: str
    to: str


class Relay(NamedTuple):
    number: int
    body: bytes


class Relayed(NamedTuple):
    number: int
    status: int
    body: bytes


class Counts(NamedTuple):
    jobs: list[tuple[str, int, int]]  # id, done, running


class Give(NamedTuple):
    """The leader asks a shard's owner to hand the shard to another controller."""

    shard: str
    to: str


class Ahead(NamedTuple):
    """What a shard's jobs make of the jobs of other shards that they need: whose, and what priority and time are carried back.
    Versions before do not know it: it is sent only once every controller is of the new version."""

    shard: str
    jobs: list[tuple[str, int, float]]


class Claims(NamedTuple):
    """The shards that the sender owns, with the revisions of its claims."""

    shards: list[tuple[str, int]]


Word = Yield | Recalled | Give | Owed  # what a holder of the machines' duty asks of a shard's owner


class Termed(NamedTuple):
    """A word and the term under which it was given. Versions before do not know it: it is sent only once every controller does."""

    term: int
    word: Word


class Leaving(NamedTuple):
    """The machines that a shard is vacating, and for whom ("" is the pool): a new holder has not asked for them itself. Sent as `Termed` is."""

    shard: str
    machines: list[tuple[str, str]]


class Cancelled(NamedTuple):
    """Jobs of which the sender knows, durably, that they are cancelled: job, team, revision of the record, time of day when it was cancelled.
    Versions before do not know it: it is sent only once every controller does."""

    jobs: list[tuple[str, str, int, float]]


class Vouch(NamedTuple):
    """`number` is to be sent back; `back` is the last number that the sender had of the receiver. All cancellations that it had learnt of
    before, since this link began, went out on it before. Sent as `Cancelled` is."""

    number: int
    back: int


Frame = (
    Hello
    | Beat
    | Picture
    | Yield
    | Recalled
    | Relay
    | Relayed
    | Counts
    | Give
    | Owed
    | Claims
    | Ahead
    | Termed
    | Leaving
    | Cancelled
    | Vouch
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
            raise BadFrame("cut short")
        out = kind.unpack_from(self.data, self.at)
        self.at += kind.size
        return out

    def raw(self, size: int) -> bytes:
        if self.at + size > len(self.data):
            raise BadFrame("cut short")
        out = self.data[self.at : self.at + size]
        self.at += size
        return out

    def text(self) -> str:
        raw = self.raw(self.take(U16)[0])
        try:
            return raw.decode("utf-8")
        except UnicodeDecodeError:
            raise BadFrame("not UTF-8") from None

    def blob(self) -> bytes:
        return self.raw(self.take(U32)[0])

    def many(self) -> int:
        """A count; each item takes a byte at least, so it cannot exceed what is left."""
        count: int = self.take(U32)[0]
        if count > len(self.data) - self.at:
            raise BadFrame("count beyond the frame")
        return count

    def end(self) -> None:
        if self.at != len(self.data):
            raise BadFrame("bytes left over")


def pack(frame: Frame) -> bytes:
    kind, body = _body(frame)
    if len(body) > MOST:
        raise BadFrame("too long")
    return HEAD.pack(MAGIC, VERSION, kind, len(body)) + body


def _body(frame: Frame) -> tuple[FrameKind, bytes]:
    match frame:
        case Hello(label):
            return FrameKind.HELLO, _text(label)
        case Beat():
            return FrameKind.BEAT, BEAT.pack(*frame)
        case Picture():
            return FrameKind.PICTURE, _pack_picture(frame)
        case Yield(shard, machine, to):
            return FrameKind.YIELD, _text(shard) + _text(machine) + _text(to)
        case Recalled():
            names = b"".join(map(_text, frame.machines))
            return FrameKind.RECALL, _text(frame.shard) + _text(frame.to) + U32.pack(
                len(frame.machines)
            ) + names
        case Relay(number, body):
            return FrameKind.RELAY, U32.pack(number) + _blob(body)
        case Relayed(number, status, body):
            return FrameKind.RELAYED, U32.pack(number) + U16.pack(status) + _blob(body)
        case Counts(jobs):
            rows = b"".join(
                _text(job) + U32.pack(done) + U32.pack(running) for job, done, running in jobs
            )
            return FrameKind.COUNTS, U32.pack(len(jobs)) + rows
        case Give(shard, to):
            return FrameKind.GIVE, _text(shard) + _text(to)
        case Owed(shard, to, number, types, zone, spot):
            names = U16.pack(len(types)) + b"".join(map(_text, types))
            return FrameKind.OWED, _text(shard) + _text(to) + OWED.pack(
                number, spot
            ) + names + _text(zone)
        case Claims(shards):
            return FrameKind.CLAIMS, U32.pack(len(shards)) + b"".join(
                _text(shard) + U64.pack(revision) for shard, revision in shards
            )
        case Ahead(shard, jobs):
            rows = b"".join(
                _text(job) + AHEAD.pack(priority, finish_by) for job, priority, finish_by in jobs
            )
            return FrameKind.AHEAD, _text(shard) + U32.pack(len(jobs)) + rows
        case Cancelled(jobs):
            rows = b"".join(
                _text(job) + _text(team) + CANCELLED.pack(revision, at)
                for job, team, revision, at in jobs
            )
            return FrameKind.CANCELLED, U32.pack(len(jobs)) + rows
        case Vouch(number, back):
            return FrameKind.VOUCH, VOUCH.pack(number, back)
        case Leaving(shard, rows):
            names = b"".join(_text(machine) + _text(to) for machine, to in rows)
            return FrameKind.LEAVING, _text(shard) + U32.pack(len(rows)) + names
        case Termed(term, word):
            kind, body = _body(word)
            return FrameKind.TERMED, U64.pack(term) + bytes([kind]) + body
    raise BadFrame(f"no such frame: {frame!r}")


def _pack_picture(picture: Picture) -> bytes:
    out = [
        _text(picture.team),
        U64.pack(picture.seen),
        U32.pack(picture.machines),
        U32.pack(picture.waiting),
    ]
    out += [U32.pack(picture.spare_beyond), U32.pack(len(picture.wants))]
    for want in picture.wants:
        out.append(
            WANT.pack(
                want.cpus,
                want.gpus,
                want.memory,
                want.tasks,
                want.priority,
                want.spot,
                want.together,
                want.slack_s,
                want.guaranteed,
                want.whole,
                want.idle,
            )
        )
        out += [
            U16.pack(len(want.types)),
            *map(_text, want.types),
            _text(want.zone),
            _text(want.image),
        ]
    out.append(U32.pack(len(picture.idle)))
    for name, idle_s in picture.idle:
        out += [_text(name), F64.pack(idle_s)]
    out.append(U32.pack(len(picture.busy)))
    for busy in picture.busy:
        out += [_text(busy.machine), BUSY.pack(busy.priority, busy.loss_s)]
    return b"".join(out)


def _unpack_picture(reader: _Reader) -> Picture:
    team = reader.text()
    seen = reader.take(U64)[0]
    machines, waiting, beyond = (reader.take(U32)[0] for _ in range(3))
    wants = []
    for _ in range(reader.many()):
        cpus, gpus, memory, tasks, priority, spot, together, slack, promised, whole, idle = (
            reader.take(WANT)
        )
        types = tuple(reader.text() for _ in range(reader.take(U16)[0]))
        zone, image = reader.text(), reader.text()
        wants.append(
            Want(
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
    busy = [Busy(reader.text(), *reader.take(BUSY)) for _ in range(reader.many())]
    return Picture(team, seen, wants, empty, busy, machines, waiting, beyond)


def head(data: bytes) -> tuple[int, int]:
    """Kind and length from a frame's head."""
    magic, version, kind, length = HEAD.unpack(data)
    if magic != MAGIC:
        raise BadFrame("not a frame of ours")
    if version != VERSION:
        raise BadFrame(f"version {version}, expected {VERSION}")
    if length > MOST:
        raise BadFrame("too long")
    return kind, length


def unpack(kind: int, body: bytes) -> Frame:
    reader = _Reader(body)
    frame: Frame
    if kind == FrameKind.HELLO:
        frame = Hello(reader.text())
    elif kind == FrameKind.BEAT:
        frame = Beat(*reader.take(BEAT))
    elif kind == FrameKind.PICTURE:
        frame = _unpack_picture(reader)
    elif kind == FrameKind.YIELD:
        frame = Yield(reader.text(), reader.text(), reader.text())
    elif kind == FrameKind.RECALL:
        frame = Recalled(
            reader.text(), reader.text(), [reader.text() for _ in range(reader.many())]
        )
    elif kind == FrameKind.RELAY:
        frame = Relay(reader.take(U32)[0], reader.blob())
    elif kind == FrameKind.RELAYED:
        frame = Relayed(reader.take(U32)[0], reader.take(U16)[0], reader.blob())
    elif kind == FrameKind.COUNTS:
        rows = [
            (reader.text(), reader.take(U32)[0], reader.take(U32)[0]) for _ in range(reader.many())
        ]
        frame = Counts(rows)
    elif kind == FrameKind.GIVE:
        frame = Give(reader.text(), reader.text())
    elif kind == FrameKind.OWED:
        shard, to = reader.text(), reader.text()
        number, spot = reader.take(OWED)
        types = tuple(reader.text() for _ in range(reader.take(U16)[0]))
        frame = Owed(shard, to, number, types, reader.text(), spot)
    elif kind == FrameKind.CLAIMS:
        frame = Claims([(reader.text(), reader.take(U64)[0]) for _ in range(reader.many())])
    elif kind == FrameKind.AHEAD:
        shard = reader.text()
        frame = Ahead(shard, [(reader.text(), *reader.take(AHEAD)) for _ in range(reader.many())])
    elif kind == FrameKind.LEAVING:
        frame = Leaving(
            reader.text(), [(reader.text(), reader.text()) for _ in range(reader.many())]
        )
    elif kind == FrameKind.CANCELLED:
        frame = Cancelled(
            [(reader.text(), reader.text(), *reader.take(CANCELLED)) for _ in range(reader.many())]
        )
    elif kind == FrameKind.VOUCH:
        frame = Vouch(*reader.take(VOUCH))
    elif kind == FrameKind.TERMED:
        term, inner = reader.take(U64)[0], reader.raw(1)[0]
        word = unpack(inner, reader.raw(len(body) - reader.at)) if inner in WORDS else None
        if not isinstance(word, Word):
            raise BadFrame(f"kind {inner} under a term")
        frame = Termed(term, word)
    else:
        raise BadFrame(f"kind {kind}")
    reader.end()
    return frame
