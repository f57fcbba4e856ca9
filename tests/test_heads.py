"""Cached heads: every message is handled just as if h11 parsed it event by event."""

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
    "GET": GET,
    "POST": POST,
    "two pipelined": POST + GET,
    "body, then half a head": POST + GET[:9],
    "three pipelined": GET + POST + POST,
    "HEAD": b"HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n" + GET,
    "empty body": b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n" + GET,
    "Connection: close": b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + GET,
    "Connection: keep-alive": b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: keep-alive\r\n\r\n" + GET,
    "HTTP/1.0": b"GET /a HTTP/1.0\r\nHost: h\r\n\r\n" + GET,
    "chunked": b"POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nabc\r\n0\r\n\r\n" + GET,
    "Content-Length and chunked": b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "two lengths that differ": b"POST /b HTTP/1.1\r\nHost: h\r\n"
    b"Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
    "the same length twice": POST.replace(b"\r\n\r\n", b"\r\nContent-Length: 5\r\n\r\n"),
    "negative length": b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: -5\r\n\r\nhello",
    "length with a plus sign": POST.replace(b": 5", b": +5"),
    "Expect: 100-continue": b"POST /b HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
    b"Content-Length: 5\r\n\r\nhello" + GET,
    "no Host": b"GET /a HTTP/1.1\r\n\r\n",
    "two Host headers": GET.replace(b"Host: h", b"Host: h\r\nHost: i"),
    "bare newlines": b"GET /a HTTP/1.1\nHost: h\n\n" + GET,
    "not HTTP": b"\x00\x01\r\n\r\n",
    "head too long to cache": b"GET /" + b"x" * 900 + b" HTTP/1.1\r\nHost: h\r\n\r\n" + GET,
    "head too long": b"GET /a HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 20_000 + b"\r\n\r\n",
    "body too large": b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 70000\r\n\r\n"
    + b"x" * 70_000,
    "truncated body": POST[:-2],
    "truncated head": GET[:-2],
    "Upgrade": GET.replace(b"\r\n\r\n", b"\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\n") + GET,
}
RESPONSES = {
    "200": b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
    "empty body": b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    "503": b"HTTP/1.1 503 Not now\r\nRetry-After: 2\r\nContent-Length: 2\r\n\r\n{}",
    "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    "body until the connection closes": b"HTTP/1.1 200 OK\r\n\r\nhello",
    "204": b"HTTP/1.1 204 No Content\r\n\r\n",
    "100 before 200": b"HTTP/1.1 100 Continue\r\n\r\n"
    b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
    "Connection: close": b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello",
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello",
    "truncated body": b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello",
    "no bytes": b"",
    "not HTTP": b"what\r\n\r\n",
    "two lengths that differ": b"HTTP/1.1 200 OK\r\n"
    b"Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
}


class FakeWriter:
    """A `StreamWriter` and its transport that keep what is written."""

    def __init__(self) -> None:
        """Open, with nothing written."""
        self.written, self.closed, self.transport = b"", False, self

    def write(self, data: bytes) -> None:
        """Keep the data."""
        self.written += data

    async def drain(self) -> None:
        """Return at once."""

    def close(self) -> None:
        """Close the connection."""
        self.closed = True

    def abort(self) -> None:
        """Close the connection."""
        self.closed = True

    def is_closing(self) -> bool:
        """Return whether the connection has been closed."""
        return self.closed

    def get_extra_info(self, _: str) -> None:
        """Return None: there is no socket."""


def split_packets(raw: bytes, at: int) -> list[bytes]:
    """Split a message into at most two packets."""
    return [packet for packet in (raw[:at], raw[at:]) if packet]


async def deliver(reader: asyncio.StreamReader, packets: list[bytes]) -> None:
    """Feed the packets to a reader one by one, then the end of the stream."""
    for packet in packets:
        reader.feed_data(packet)
        for _ in range(8):
            await asyncio.sleep(0)
    reader.feed_eof()


async def serve(packets: list[bytes]) -> tuple[list[Request], bytes]:
    """Serve one connection; return the requests handled and the bytes sent."""
    handled: list[Request] = []

    async def handler(request: Request) -> Response:
        handled.append(request)
        return Response(200, b"{}")

    reader, writer = asyncio.StreamReader(), FakeWriter()
    server = Server(handler, undivided_connections(4))

    await asyncio.gather(server._serve(reader, writer), deliver(reader, packets))  # type: ignore[arg-type]
    return handled, writer.written


async def receive(packets: list[bytes], monkeypatch: pytest.MonkeyPatch) -> tuple[Any, int]:
    """Send a request that gets these packets; return the outcome and the idle connection count.

    The outcome is the status and the body, or `sent` of the error if there was no response.
    """

    async def connect(host: str, port: int) -> Any:
        reader = asyncio.StreamReader()
        tasks.append(asyncio.create_task(deliver(reader, packets)))
        return reader, FakeWriter()

    tasks: list[asyncio.Task[None]] = []
    monkeypatch.setattr(asyncio, "open_connection", connect)
    client = Client("10.0.0.1", 80)
    try:
        outcome: Any = await client.request("POST", "/orders", b"{}", 5.0)
    except NoResponseError as error:
        outcome = error.sent
    return outcome, len(client.idle)


@pytest.mark.parametrize("name", REQUESTS)
def test_requests_are_parsed_as_without_the_cache(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    raw = REQUESTS[name]
    split_points = sorted(
        {0, 7, raw.find(b"\r\n\r\n") + 2, raw.find(b"\r\n\r\n") + 4, len(raw) - 3}
        & set(range(len(raw)))
    )
    # The second time from the cache.
    with_cache = [
        asyncio.run(serve(split_packets(raw, at))) for at in split_points for _ in range(2)
    ]
    with monkeypatch.context() as patch:
        patch.setattr(heads, "parse_request_head", lambda data: None)
        without_cache = [
            asyncio.run(serve(split_packets(raw, at))) for at in split_points for _ in range(2)
        ]
    assert with_cache == without_cache
    assert any(handled or written for handled, written in with_cache) or name == "truncated head"


@pytest.mark.parametrize("name", RESPONSES)
def test_responses_are_parsed_as_without_the_cache(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    raw = RESPONSES[name]
    split_points = sorted(
        {0, 9, raw.find(b"\r\n\r\n") + 4, len(raw) - 1} & set(range(len(raw)))
    ) or [0]
    with_cache = [
        asyncio.run(receive(split_packets(raw, at), monkeypatch))
        for at in split_points
        for _ in range(2)
    ]
    with monkeypatch.context() as patch:
        patch.setattr(heads, "parse_response_head", lambda data: None)
        without_cache = [
            asyncio.run(receive(split_packets(raw, at), monkeypatch))
            for at in split_points
            for _ in range(2)
        ]
    assert with_cache == without_cache


def test_cache_is_bounded() -> None:
    for n in range(3 * heads.CACHE_SIZE):
        assert heads.parse_request_head(b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n" % n) is not None
    assert heads._parse_request.cache_info().currsize <= heads.CACHE_SIZE
    assert (
        heads.parse_request_head(
            b"GET /" + b"x" * heads.MAX_CACHED_HEAD_BYTES + b" HTTP/1.1\r\nHost: h\r\n\r\n"
        )
        is None
    )
