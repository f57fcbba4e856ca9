"""A small HTTP/1.1 server and client on asyncio streams, for the stand-ins of the review."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

HOST = "127.0.0.1"
HEAD_END = b"\r\n\r\n"
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 503: "Unavailable"}


class Reply(NamedTuple):
    """An answer: its status and its body, which is sent as JSON; no status: hang up unanswered."""

    status: int | None
    body: Any = None


Handler = Callable[[str, str, Any], Awaitable[Reply]]


class _Head(NamedTuple):
    first_line: list[str]
    length: int
    close: bool


async def _read_head(reader: asyncio.StreamReader) -> _Head:
    """Read the head of a message up to the empty line."""
    lines = (await reader.readuntil(HEAD_END)).decode("latin-1").split("\r\n")
    length, close = 0, False
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            length = int(value)
        elif name.lower() == "connection":
            close = value.strip().lower() == "close"
    return _Head(lines[0].split(" ", 2), length, close)


class Server:
    """Serves a handler on a free port of the loopback address."""

    def __init__(self, handler: Handler) -> None:
        """Listen to nothing yet; the handler gets the method, the target and the decoded body."""
        self.handler = handler
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    @property
    def address(self) -> str:
        """Host and port."""
        return f"{HOST}:{self.port}"

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, HOST, 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                head = await _read_head(reader)
                body = await reader.readexactly(head.length)
                method, target = head.first_line[0], head.first_line[1]
                reply = await self.handler(method, target, json.loads(body) if body else None)
                if reply.status is None:
                    return
                data = json.dumps(reply.body if reply.body is not None else {}).encode()
                writer.write(
                    f"HTTP/1.1 {reply.status} {REASONS.get(reply.status, 'Other')}\r\n"
                    f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
                if head.close:
                    return
        except (OSError, EOFError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Client:
    """One connection to one address, opened again when it has ended."""

    def __init__(self, port: int) -> None:
        """Connect to nothing yet."""
        self.port = port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    def close(self) -> None:
        """Reset the connection, if there is one."""
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None

    async def request(
        self, method: str, target: str, body: Any, timeout_s: float
    ) -> tuple[int, Any] | None:
        """Send a request; return the status and the decoded body, or None without an answer."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(method, target, body)
        except (OSError, EOFError, TimeoutError, ValueError, asyncio.LimitOverrunError):
            self.close()
            return None

    async def _exchange(self, method: str, target: str, body: Any) -> tuple[int, Any]:
        if self.reader is None or self.writer is None or self.reader.at_eof():
            self.close()
            self.reader, self.writer = await asyncio.open_connection(HOST, self.port, limit=1 << 20)
        data = (
            b""
            if body is None
            else body
            if isinstance(body, bytes)
            else json.dumps(body, separators=(",", ":")).encode()
        )
        self.writer.write(
            f"{method} {target} HTTP/1.1\r\nHost: {HOST}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\n\r\n".encode()
            + data
        )
        head = await _read_head(self.reader)
        received = await self.reader.readexactly(head.length)
        if head.close:
            self.close()
        return int(head.first_line[1]), json.loads(received) if received else None


async def call(
    port: int, method: str, target: str, body: Any = None, timeout_s: float = 5.0
) -> tuple[int, Any] | None:
    """Send one request on a connection of its own."""
    client = Client(port)
    try:
        return await client.request(method, target, body, timeout_s)
    finally:
        client.close()
