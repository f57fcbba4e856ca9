"""Heads that are read once for all alike: whatever comes, the same is made of it as by reading each event by event."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from ashdock.net import heads
from ashdock.net.http import (
    Client,
    NoResponseError,
    Request,
    Response,
    Server,
    undivided_connections,
)

GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
POST = b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"
REQUESTS = {
    "plain": GET,
    "with a body": POST,
    "two at once": POST + GET,
    "body, then half a head": POST + GET[:9],
    "three": GET + POST + POST,
    "HEAD": b"HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n" + GET,
    "body of none": b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n" + GET,
    "told to close": b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + GET,
    "kept": b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: keep-alive\r\n\r\n" + GET,
    "older": b"GET /a HTTP/1.0\r\nHost: h\r\n\r\n" + GET,
    "in chunks": b"POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
    + GET,
    "both lengths": b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "two lengths": b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
    "a length twice": POST.replace(b"\r\n\r\n", b"\r\nContent-Length: 5\r\n\r\n"),
    "a length below nothing": b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: -5\r\n\r\nhello",
    "a length with a sign": POST.replace(b": 5", b": +5"),
    "expects": b"POST /b HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\nhello"
    + GET,
    "no host": b"GET /a HTTP/1.1\r\n\r\n",
    "two hosts": GET.replace(b"Host: h", b"Host: h\r\nHost: i"),
    "bare newlines": b"GET /a HTTP/1.1\nHost: h\n\n" + GET,
    "nothing of it": b"\x00\x01\r\n\r\n",
    "a long head": b"GET /" + b"x" * 900 + b" HTTP/1.1\r\nHost: h\r\n\r\n" + GET,
    "too long a head": b"GET /a HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 20_000 + b"\r\n\r\n",
    "too large": b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 70000\r\n\r\n" + b"x" * 70_000,
    "cut short": POST[:-2],
    "no end": GET[:-2],
    "upgrade": GET.replace(b"\r\n\r\n", b"\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\n") + GET,
}
ANSWERS = {
    "plain": b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
    "none": b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    "503": b"HTTP/1.1 503 Not now\r\nRetry-After: 2\r\nContent-Length: 2\r\n\r\n{}",
    "in chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    "until the end": b"HTTP/1.1 200 OK\r\n\r\nhello",
    "no content": b"HTTP/1.1 204 No Content\r\n\r\n",
    "continue first": b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
    "told to close": b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello",
    "older": b"HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello",
    "cut short": b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello",
    "nothing": b"",
    "nonsense": b"what\r\n\r\n",
    "two lengths": b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
}


class Writer:
    def __init__(self) -> None:
        self.out, self.closed, self.transport = b"", False, self

    def write(self, data: bytes) -> None:
        self.out += data

    async def drain(self) -> None:
        pass

    def close(self) -> None:
        self.closed = True

    def abort(self) -> None:
        self.closed = True

    def is_closing(self) -> bool:
        return self.closed

    def get_extra_info(self, _: str) -> None:
        return None


def packets(raw: bytes, at: int) -> list[bytes]:
    return [shard for shard in (raw[:at], raw[at:]) if shard]


async def come(reader: asyncio.StreamReader, shards: list[bytes]) -> None:
    for shard in shards:
        reader.feed_data(shard)
        for _ in range(8):
            await asyncio.sleep(0)
    reader.feed_eof()


async def served(shards: list[bytes]) -> tuple[list[Request], bytes]:
    """What a server was asked over a connection, and what it said."""
    asked: list[Request] = []

    async def handler(request: Request) -> Response:
        asked.append(request)
        return Response(200, b"{}")

    reader, writer = asyncio.StreamReader(), Writer()
    server = Server(handler, undivided_connections(4))

    await asyncio.gather(server._serve(reader, writer), come(reader, shards))  # type: ignore[arg-type]
    return asked, writer.out


async def told(shards: list[bytes], monkeypatch: pytest.MonkeyPatch) -> tuple[Any, int]:
    """What a client made of an answer, and how many connections it kept."""

    async def connect(host: str, port: int) -> Any:
        reader = asyncio.StreamReader()
        tasks.append(asyncio.create_task(come(reader, shards)))
        return reader, Writer()

    tasks: list[asyncio.Task[None]] = []
    monkeypatch.setattr(asyncio, "open_connection", connect)
    client = Client("10.0.0.1", 80)
    try:
        got: Any = await client.request("POST", "/orders", b"{}", 5.0)
    except NoResponseError as why:
        got = why.sent
    return got, len(client.idle)


@pytest.mark.parametrize("name", REQUESTS)
def test_requests_are_read_alike(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    raw = REQUESTS[name]
    cuts = sorted(
        {0, 7, raw.find(b"\r\n\r\n") + 2, raw.find(b"\r\n\r\n") + 4, len(raw) - 3}
        & set(range(len(raw)))
    )
    twice = [
        asyncio.run(served(packets(raw, at))) for at in cuts for _ in range(2)
    ]  # the second time from memory
    with monkeypatch.context() as patch:
        patch.setattr(heads, "parse_request_head", lambda data: None)
        plainly = [asyncio.run(served(packets(raw, at))) for at in cuts for _ in range(2)]
    assert twice == plainly
    assert any(asked or out for asked, out in twice) or name == "no end"


@pytest.mark.parametrize("name", ANSWERS)
def test_answers_are_read_alike(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    raw = ANSWERS[name]
    cuts = sorted({0, 9, raw.find(b"\r\n\r\n") + 4, len(raw) - 1} & set(range(len(raw)))) or [0]
    twice = [asyncio.run(told(packets(raw, at), monkeypatch)) for at in cuts for _ in range(2)]
    with monkeypatch.context() as patch:
        patch.setattr(heads, "parse_response_head", lambda data: None)
        plainly = [
            asyncio.run(told(packets(raw, at), monkeypatch)) for at in cuts for _ in range(2)
        ]
    assert twice == plainly


def test_what_is_remembered_is_bounded() -> None:
    for n in range(3 * heads.CACHE_SIZE):
        assert heads.parse_request_head(b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n" % n) is not None
    assert heads._parse_request.cache_info().currsize <= heads.CACHE_SIZE
    assert (
        heads.parse_request_head(
            b"GET /" + b"x" * heads.MAX_HEAD_BYTES + b" HTTP/1.1\r\nHost: h\r\n\r\n"
        )
        is None
    )
