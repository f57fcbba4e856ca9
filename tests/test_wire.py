"""Tables of cases and seeded fuzzing for external input.

Covers settings, HTTP messages, bodies of users and workers, and frames between controllers.
"""

from __future__ import annotations

import asyncio
import random
from pathlib import Path
from typing import Any, get_args

import pytest

from ashdock import cli
from ashdock.core.shard_status import (
    BusyMachine,
    Rebalance,
    Reclaim,
    ResourceRequest,
    ShardStatus,
)
from ashdock.net.http import Client, Request, Response, Server, undivided_connections
from ashdock.settings import SettingsError, load, load_operators
from ashdock.wire import frames
from ashdock.wire.frame_errors import FrameError
from ashdock.wire.messages import MalformedMessageError, decode_heartbeat, decode_submission, encode
from ashdock.wire.peer_messages import (
    CancelledJobs,
    ForwardedHeartbeat,
    ForwardReply,
    Frame,
    Hello,
    OwnershipClaims,
    PeerHeartbeat,
    PriorityInheritance,
    TaskCounts,
    TransferMachine,
    WatermarkEcho,
)
from tests import virtual_time
from tests.cluster import job

VALID_SETTINGS = """
label = "n0"
area = "a"
bind = "10.0.0.1:8080"
mesh_addr = "10.0.0.1:8081"
unheard_of = 1
[[others]]
label = "n1"
endpoint = "10.0.0.2:8081"
[outside]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[settings]
size = 3
zones = ["a", "b"]
[[settings.teams]]
name = "red"
gpus = 8.0
[settings.workers]
report_s = 1.0
lease_s = 10.0
gang_wait_s = 30.0
gang_peer_s = 8.0
cancel_s = 40.0
[settings.state]
rps = 200.0
write_rps = 80.0
value_kb = 8.0
txn_ops = 48
[settings.cloud]
rps = 6.0
list_lag_s = 4.0
"""


def machine_limits(text: str, named: str | None) -> tuple[str, str, str | None]:
    """Return a case of `SETTINGS` that adds a table of machine limits."""
    return "list_lag_s = 4.0", f"list_lag_s = 4.0\n[settings.machine_limits]\n{text}", named


# Replaced text, replacement, and what the one error line must name; None: the settings are valid.
SETTINGS = [
    ("", "", None),
    ('label = "n0"', "", "label"),
    ("report_s = 1.0", "report_s = -1.0", "report_s"),
    ("report_s = 1.0", 'report_s = "x"', "report_s"),
    ("size = 3", "size = 0", "size"),
    ('"10.2.0.1:2379"', '"10.2.0.1"', "outside.state"),
    ('bind = "10.0.0.1:8080"', 'bind = "10.0.0.1:99999"', "bind"),
    ("rps = 6.0", "rps = nan", "rps"),
    ("cancel_s = 40.0", "cancel_s = 9.0", "cancel_s"),
    ("[outside]", "[outside", "TOML"),
    ('name = "red"', 'name = "re d"', "teams"),
    ("txn_ops = 48", "txn_ops = 1", "txn_ops"),
    ("txn_ops = 48", "txn_ops = 48\n[settings.state.next]\nwrite_rps = 56.0", None),
    ("txn_ops = 48", "txn_ops = 48\n[settings.state.next]\ntxn_ops = 1", "state.next.txn_ops"),
    ("txn_ops = 48", 'txn_ops = 48\n[settings.state.next]\nvalue_kb = "2"', "state.next.value_kb"),
    # Minimum resources for a start: the error names the field and the minimum.
    *(
        machine_limits(text, named)
        for text, named in [
            ("core_share = 0.324\nram_mb = 110\nmax_connections = 900", None),
            ("core_share = 0.324", None),
            ("other = 1", None),
            ("", None),
            ("core_share = 0", "core_share: expected at least 0.05, found 0"),
            ("core_share = -1.0", "core_share: expected at least 0.05"),
            ("core_share = 0.01", "core_share: expected at least 0.05"),
            ('core_share = "half"', "core_share: expected at least 0.05, found 'half'"),
            ("core_share = nan", "core_share: expected at least 0.05"),
            ("core_share = true", "core_share: expected at least 0.05"),
            ("ram_mb = 0", "ram_mb: expected at least 32"),
            ("ram_mb = -5", "ram_mb: expected at least 32"),
            ("ram_mb = 31.9", "ram_mb: expected at least 32"),
            ("ram_mb = []", "ram_mb: expected at least 32"),
            ("max_connections = 0", "max_connections: expected at least 26"),
            ("max_connections = 25", "max_connections: expected at least 26"),
            ("max_connections = 26", None),
            ("max_connections = nan", "max_connections: expected at least 26"),
            ("max_connections = 900.5", "max_connections"),
        ]
    ),
]


@pytest.mark.parametrize(("old", "new", "named"), SETTINGS)
def test_settings(
    old: str, new: str, named: str | None, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """`check-config` accepts valid settings and reports an invalid one on one line."""
    file = tmp_path / "s.toml"
    file.write_text(VALID_SETTINGS.replace(old, new) if old else VALID_SETTINGS)
    code = cli.main(["check-config", str(file)])
    out = capsys.readouterr()
    assert code == (0 if named is None else 2)
    if named:
        assert named in out.err and str(file) in out.err and out.err.count("\n") == 1


# Text of the operators' file, and what the error must name; None: the file is valid.
OPERATORS = [
    ("", None),
    ("retry {\n first_delay_s = 5\n}\n", None),
    ("retry {\n first_delay = 5\n}\n", "first_delay"),
    ("retry {\n cap_s = -1\n}\n", "cap_s"),
    ("retry {\n cap_s = \n", "HCL"),
    ("colour = 1\n", "colour"),
    ("renting {\n spot = false\n}\n", None),
    ("retry {\n}\nretry {\n}\n", "one block"),
]


@pytest.mark.parametrize(("text", "named"), OPERATORS)
def test_operators_file(text: str, named: str | None, tmp_path: Path) -> None:
    """The operators' file is accepted, or rejected with an error that names the cause."""
    file = tmp_path / "ashdock.hcl"
    file.write_text(text)
    if named is None:
        operators = load_operators(file)
        assert operators.retry.first_delay_s in (2, 5)
    else:
        with pytest.raises(SettingsError, match=named):
            load_operators(file)


def test_operators_file_is_loaded(tmp_path: Path) -> None:
    """`load` applies the operators' file, and defaults if there is none."""
    (tmp_path / "s.toml").write_text(VALID_SETTINGS)
    (tmp_path / "o.hcl").write_text("retry {\n most_parks = 7\n}\n")
    assert load(str(tmp_path / "s.toml"), tmp_path / "o.hcl").operators.retry.most_parks == 7
    assert load(str(tmp_path / "s.toml"), tmp_path / "none.hcl").operators.retry.most_parks == 30


FRAMES: list[Any] = [
    CancelledJobs([("req-1", "red", 2**63, 1.5), ("req-2", "blue", 0, 0.0)]),
    CancelledJobs([]),
    WatermarkEcho(2**64 - 1, 0),
    Hello("n1"),
    PeerHeartbeat(7, 0.5, 1.5, True, False),
    OwnershipClaims([("red", 7), ("blue", 2**63)]),
    TransferMachine("red", "vm-1", ""),
    Reclaim("red", "blue", ["vm-1", "vm-2"]),
    ForwardedHeartbeat(9, b'{"a":1}'),
    ForwardReply(9, 503, b""),
    TaskCounts([("req-1", 3, 4), ("req-2", 0, 0)]),
    ShardStatus(
        "red",
        12,
        [
            ResourceRequest(
                1.0, 2.0, 3.0, ("g4", "g8"), "a", True, False, 5, 2, True, -3.5, "img", 6
            )
        ],
        [("vm-9", 2.5)],
        [BusyMachine("vm-8", 3, 4.5)],
        4,
        5,
        6,
    ),
    PriorityInheritance("red", [("req-1", 2, 1.5), ("req-2", -1, float("inf"))]),
    Rebalance("red", "blue", 3, ("g4",), "a", True),
    Rebalance("red", "blue", 1, (), "", False),
]


@pytest.mark.parametrize("frame", FRAMES, ids=lambda frame: type(frame).__name__)
def test_frames_round_trip(frame: Any) -> None:
    """A packed frame unpacks to the same message; truncated and longer bodies are rejected."""
    raw = frames.pack(frame)
    kind, length = frames.unpack_header(raw[: frames.HEADER.size])
    body = raw[frames.HEADER.size :]
    assert length == len(body) and frames.unpack(kind, body) == frame
    for size in range(len(body)):
        with pytest.raises(FrameError):
            frames.unpack(kind, body[:size])
    with pytest.raises(FrameError):
        frames.unpack(kind, body + b"\0")


def test_every_kind_has_one_codec() -> None:
    """The codec table covers each frame kind and each message type once."""
    assert [codec.kind for codec in frames.CODECS] == list(frames.FrameKind)
    assert len({codec.message for codec in frames.CODECS}) == len(frames.CODECS)
    assert {codec.message for codec in frames.CODECS} == set(get_args(Frame))


def test_fuzzed_frames() -> None:
    """Damaged frames raise no error except `FrameError`."""
    rng = random.Random(5)
    for _ in range(3000):
        raw = bytearray(frames.pack(rng.choice(FRAMES)))
        for _ in range(rng.randrange(1, 4)):
            raw[rng.randrange(len(raw))] = rng.randrange(256)
        try:
            kind, _ = frames.unpack_header(bytes(raw[: frames.HEADER.size]))
            frames.unpack(kind, bytes(raw[frames.HEADER.size :]))
        except FrameError:
            pass


INVALID_HEADERS = [(b"XX", 1, 1, 0), (b"AD", 1, 1, 0), (b"AD", 1, 1, frames.MAX_BODY_BYTES + 1)]


@pytest.mark.parametrize("header", INVALID_HEADERS)
def test_invalid_headers_are_rejected(header: Any) -> None:
    """A header with wrong magic bytes or a wrong version raises `FrameError`."""
    with pytest.raises(FrameError):
        frames.unpack_header(frames.HEADER.pack(*header))


def test_fuzzed_bodies() -> None:
    """Damaged submissions and heartbeats raise no error except `MalformedMessageError`."""
    rng = random.Random(6)
    heartbeat = {
        "berth": "vm-1",
        "address": "h:1",
        "hull": "g4",
        "yard": "a",
        "tenure": 1,
        "tally": 2,
        "warrant": 3,
        "shares": [{"share": "req-1/0", "try": 1, "status": "running"}],
    }
    for decode, valid_body in (
        (decode_submission, encode(job(1))),
        (decode_heartbeat, encode(heartbeat)),
    ):
        decode(valid_body)
        for _ in range(2000):
            raw = bytearray(valid_body)
            for _ in range(rng.randrange(1, 5)):
                offset = rng.randrange(len(raw))
                raw[offset : offset + rng.randrange(3)] = bytes(
                    rng.randrange(256) for _ in range(rng.randrange(3))
                )
            try:
                decode(bytes(raw))
            except MalformedMessageError:
                pass


KEEP_ALIVE_HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: "
CLOSE_HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nconnection: close\r\ncontent-length: "
)
# Bytes sent, and the start of the bytes received.
HTTP_EXCHANGES = [
    (b"nonsense\r\n\r\n", b"HTTP/1.1 400"),
    (b"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n", b"HTTP/1.1 400"),
    (b"GET /" + b"a" * 20_000 + b" HTTP/1.1\r\n", b"HTTP/1.1 400"),
    (
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999\r\n\r\n" + b"x" * 99999,
        b"HTTP/1.1 400",
    ),
    (b"GET / HTTP/1.1\r\nHost: a\r\n\r\n", b"HTTP/1.1 200"),
    (b"GET / HTTP/1.1\r\n", b""),
    (b"", b""),
    (b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", b"HTTP/1.1 400"),
    (b"POST /boom HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", b"HTTP/1.1 503"),
    # The server confirms a requested close. Bytes that follow a request are the next request.
    (b"GET / HTTP/1.0\r\n\r\n", CLOSE_HEAD + b"2\r\n\r\n{}"),
    (b"HEAD / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", CLOSE_HEAD + b"2\r\n\r\n"),
    (
        b"GET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
        KEEP_ALIVE_HEAD + b"2\r\n\r\n{}" + CLOSE_HEAD + b"2\r\n\r\n{}",
    ),
]


@pytest.mark.parametrize(("sent", "expected"), HTTP_EXCHANGES)
def test_http_messages(sent: bytes, expected: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    """The server responds as expected, and closes incomplete and silent connections in time."""

    async def handle(request: Request) -> Response:
        if request.target == "/boom":
            raise ValueError("failure")
        return Response(200, b"{}")

    async def main(net: virtual_time.Network) -> bytes:
        server = Server(handle, undivided_connections(10, idle_s=20.0, request_timeout_s=5.0))
        await server.start("10.0.0.1", 80)
        reader, writer = await net.open_connection("10.0.0.1", 80)
        writer.write(sent)
        received: bytes = await asyncio.wait_for(reader.read(), 60)
        writer.close()
        await asyncio.sleep(60)
        assert not server.open_connections
        return received

    assert virtual_time.run(main, 1, monkeypatch).startswith(expected)


def test_full_server_rejects_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """A full server responds with 503, and accepts again once silent connections time out."""

    async def handle(request: Request) -> Response:
        return Response(200, b"{}")

    async def main(net: virtual_time.Network) -> None:
        server = Server(handle, undivided_connections(3, idle_s=20.0, request_timeout_s=5.0))
        await server.start("10.0.0.1", 80)
        silent = [await net.open_connection("10.0.0.1", 80) for _ in range(3)]
        await asyncio.sleep(0.1)
        reader, _ = await net.open_connection("10.0.0.1", 80)
        assert (
            b"503" in (first := await asyncio.wait_for(reader.read(4096), 1))
            and b"Retry-After" in first
        )
        status, _ = await Client("10.0.0.1", 80).request("POST", "/", b"x" * 100, 1.0)
        assert status == 503
        await asyncio.sleep(10)
        status, _ = await Client("10.0.0.1", 80).request("GET", "/", b"", 1.0)
        assert status == 200 and silent

    virtual_time.run(main, 1, monkeypatch)
