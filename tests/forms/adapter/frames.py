"""Frames of the mesh, as their kind on the wire and positional values in wire order."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ashdock.core.shard_status import (
    BusyMachine,
    Rebalance,
    Reclaim,
    ResourceRequest,
    ShardStatus,
)
from ashdock.wire import frames, peer_messages
from tests.forms.adapter.values import (
    Plain,
    attempt,
    plain,
    rows,
)

WANT_FIELDS = (
    "cpus",
    "gpus",
    "memory_gb",
    "tasks",
    "priority",
    "spot",
    "one_zone",
    "slack_s",
    "guaranteed",
    "gang_tasks",
    "opportunistic",
    "types",
    "zone",
    "image",
)


def want_to_values(request: ResourceRequest) -> list[Plain]:
    """A shard's want in wire order."""
    return [plain(getattr(request, name)) for name in WANT_FIELDS]


def want_from_values(values: list[Plain]) -> ResourceRequest:
    """The inverse of `want_to_values`."""
    fields = dict(zip(WANT_FIELDS, values, strict=True))
    return ResourceRequest(**(fields | {"types": tuple(fields["types"])}))


def same(value: Any) -> Any:
    """For fields that JSON holds as they are."""
    return value


def resource_requests(values: list[list[Plain]]) -> list[ResourceRequest]:
    """The wants of a picture."""
    return [want_from_values(row) for row in values]


def busy_machines(values: list[list[Plain]]) -> list[BusyMachine]:
    """The busy machines of a picture."""
    return [BusyMachine(*row) for row in values]


def command(values: list[Plain]) -> Any:
    """What stands under a term: a kind and its fields."""
    return frame_from_values({"kind": values[0], "fields": values[1]})


# Kind on the wire: the type, and each field in wire order with what restores it from values.
FRAMES: dict[int, tuple[type[Any], tuple[tuple[str, Callable[[Any], Any]], ...]]] = {
    1: (peer_messages.Hello, (("label", same),)),
    2: (
        peer_messages.PeerHeartbeat,
        (
            ("incarnation", same),
            ("store_age_s", same),
            ("worker_heartbeat_age_s", same),
            ("ready", same),
            ("leader", same),
            ("store_requests_per_s", same),
            ("store_writes_per_s", same),
        ),
    ),
    3: (
        ShardStatus,
        (
            ("team", same),
            ("seen_revision", same),
            ("machines", same),
            ("waiting_tasks", same),
            ("machines_over_guarantee", same),
            ("resource_requests", resource_requests),
            ("idle", rows),
            ("busy", busy_machines),
        ),
    ),
    4: (peer_messages.TransferMachine, (("shard", same), ("machine", same), ("to", same))),
    5: (Reclaim, (("shard", same), ("to", same), ("machines", list))),
    6: (peer_messages.ForwardedHeartbeat, (("number", same), ("body", bytes.fromhex))),
    7: (peer_messages.ForwardReply, (("number", same), ("status", same), ("body", bytes.fromhex))),
    8: (peer_messages.TaskCounts, (("jobs", rows),)),
    9: (peer_messages.TransferShard, (("shard", same), ("to", same))),
    10: (
        Rebalance,
        (
            ("shard", same),
            ("to", same),
            ("number", same),
            ("spot", same),
            ("types", tuple),
            ("zone", same),
        ),
    ),
    11: (peer_messages.OwnershipClaims, (("shards", rows),)),
    12: (peer_messages.PriorityInheritance, (("shard", same), ("jobs", rows))),
    13: (peer_messages.FencedCommand, (("term", same), ("command", command))),
    14: (peer_messages.ReclaimsInProgress, (("shard", same), ("machines", rows))),
    15: (peer_messages.CancelledJobs, (("jobs", rows),)),
    16: (peer_messages.WatermarkEcho, (("number", same), ("echoed_number", same))),
}
FRAME_HEAD_BYTES = frames.HEADER.size
FRAME_BODY_LIMIT = frames.MAX_BODY_BYTES
FRAME_KINDS = {int(kind) for kind in frames.FrameKind}


def frame_field_to_values(value: Any) -> Plain:
    """One field of a frame as plain values."""
    if isinstance(value, bytes):
        return value.hex()
    if any(isinstance(value, kind) for kind, _ in FRAMES.values()):
        inner = frame_to_values(value)
        return [inner["kind"], inner["fields"]]
    if isinstance(value, list):
        return [
            want_to_values(item) if isinstance(item, ResourceRequest) else plain(item)
            for item in value
        ]
    return plain(value)


def frame_to_values(frame: Any) -> Plain:
    """A frame as its kind on the wire and its fields in wire order."""
    for kind, (shape, fields) in FRAMES.items():
        if type(frame) is shape:
            values = [frame_field_to_values(getattr(frame, name)) for name, _ in fields]
            return {"kind": kind, "fields": values}
    raise TypeError(f"no such frame: {frame!r}")


def frame_from_values(values: Plain) -> Any:
    """The inverse of `frame_to_values`."""
    shape, fields = FRAMES[values["kind"]]
    restored = {
        name: restore(value)
        for (name, restore), value in zip(fields, values["fields"], strict=True)
    }
    return shape(**restored)


def read_frame(data: str) -> Plain:
    """A whole frame, head and body, from hex; the length in the head against the body's."""
    raw = bytes.fromhex(data)
    kind, length = frames.unpack_header(raw[:FRAME_HEAD_BYTES])
    body = raw[FRAME_HEAD_BYTES:]
    return {"length": length} | frame_to_values(frames.unpack(kind, body))


def write_frame(values: Plain) -> Plain:
    """A frame's bytes as hex."""
    return frames.pack(frame_from_values(values)).hex()


def read_frame_cut_short(data: str) -> Plain:
    """What each cut of the body says, shortest first, as runs of [number of cuts, what they say]."""
    raw = bytes.fromhex(data)
    kind, body = raw[3], raw[FRAME_HEAD_BYTES:]
    runs: list[list[Plain]] = []
    for cut in range(len(body)):
        said = attempt(lambda cut=cut: frame_to_values(frames.unpack(kind, body[:cut])))  # type: ignore[misc]
        if runs and runs[-1][1] == said:
            runs[-1][0] += 1
        else:
            runs.append([1, said])
    return runs


def write_large_frame(size: int) -> Plain:
    """The head of a relayed report of so many bytes, or the error."""
    return frames.pack(peer_messages.ForwardedHeartbeat(1, b"x" * size))[:FRAME_HEAD_BYTES].hex()


def write_no_frame(value: Plain) -> Plain:
    """Pack something that is no frame."""
    return frames.pack(value).hex()
