"""HTTP/1.1 on asyncio streams, by h11: a server with bounds on everything, and a small pooled client."""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from collections import deque
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import h11

log = logging.getLogger("ashdock.http")

MOST_BODY = 64 * 1024
MOST_HEAD = 16 * 1024


class Request(NamedTuple):
    method: str
    target: str
    body: bytes


class Answer(NamedTuple):
    status: int
    body: bytes = b""
    retry_after: int | None = None
    content_type: bytes = b"application/json"


Handler = Callable[[Request], Awaitable[Answer]]

REASONS = {200: b"OK", 201: b"Created", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed",
           421: b"Misdirected Request", 422: b"Unprocessable Content", 429: b"Too Many Requests",
           500: b"Internal Server Error", 503: b"Service Unavailable"}  # fmt: skip


class Server:
    """Serves connections, of which no more than `most` stay open; what is slow or silent is closed."""

    def __init__(self, handler: Handler, most: int, idle_s: float, slow_s: float) -> None:
        self.handler = handler
        self.most = most
        self.idle_s = idle_s  # between requests
        self.slow_s = slow_s  # for one whole request to arrive
        self.open: dict[asyncio.StreamWriter, tuple[float, bool]] = {}
        self.server: asyncio.Server | None = None
        self.sweeper: asyncio.Task[None] | None = None

    async def start(self, host: str, port: int) -> None:
        self.server = await asyncio.start_server(self._serve, host, port, backlog=128)
        self.sweeper = asyncio.create_task(self._sweep())

    async def stop(self) -> None:
        if self.sweeper:
            self.sweeper.cancel()
        if self.server:
            self.server.close()
        for writer in list(self.open):
            writer.transport.abort()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(self.slow_s / 4)
            now = time.monotonic()
            for writer, (since, busy) in list(self.open.items()):
                if now - since > (self.slow_s if busy else self.idle_s):
                    writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self.open) >= self.most:
            # Full: say so at once rather than let the connection hang.
            writer.write(b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            writer.close()
            return
        self.open[writer] = (time.monotonic(), True)
        connection = h11.Connection(h11.SERVER, max_incomplete_event_size=MOST_HEAD)
        try:
            while await self._one(connection, reader, writer):
                connection.start_next_cycle()
                self.open[writer] = (time.monotonic(), False)
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        except h11.ProtocolError as why:
            self._refuse(writer, str(why))
        finally:
            self.open.pop(writer, None)
            writer.close()

    async def _event(self, connection: h11.Connection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> h11.Event:
        while True:
            event = connection.next_event()
            if event is not h11.NEED_DATA:
                return event  # type: ignore[return-value]
            if connection.they_are_waiting_for_100_continue:
                writer.write(connection.send(h11.InformationalResponse(status_code=100, headers=[])) or b"")
            data = await reader.read(MOST_BODY)
            if not data and connection.their_state in (h11.IDLE, h11.DONE):
                raise EOFError
            connection.receive_data(data)
            _, busy = self.open.get(writer, (time.monotonic(), False))
            if not busy:
                self.open[writer] = (time.monotonic(), True)

    async def _one(self, connection: h11.Connection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        request = await self._event(connection, reader, writer)
        if not isinstance(request, h11.Request):
            return False
        body = bytearray()
        while True:
            event = await self._event(connection, reader, writer)
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > MOST_BODY:
                    self._send(connection, writer, Answer(400, b'{"error":"the body exceeds 64 KiB"}'), close=True)
                    await writer.drain()
                    return False
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                return False
        answer = await self._answer(Request(request.method.decode("ascii"), request.target.decode("ascii"), bytes(body)))
        self._send(connection, writer, answer, close=False)
        await writer.drain()
        return connection.our_state is h11.DONE and connection.their_state is h11.DONE

    async def _answer(self, request: Request) -> Answer:
        try:
            return await self.handler(request)
        except Exception:  # one bad request must not take the process down
            log.exception("%s %s failed", request.method, request.target)
            return Answer(503, b'{"error":"internal"}', retry_after=1)

    def _send(self, connection: h11.Connection, writer: asyncio.StreamWriter, answer: Answer, close: bool) -> None:
        headers = [(b"content-type", answer.content_type), (b"content-length", str(len(answer.body)).encode())]
        if answer.retry_after is not None:
            headers.append((b"retry-after", str(answer.retry_after).encode()))
        if close:
            headers.append((b"connection", b"close"))
        head = h11.Response(status_code=answer.status, headers=headers, reason=REASONS.get(answer.status, b""))
        parts = [connection.send(head), connection.send(h11.Data(data=answer.body)), connection.send(h11.EndOfMessage())]
        writer.write(b"".join(part for part in parts if part))

    def _refuse(self, writer: asyncio.StreamWriter, why: str) -> None:
        body = b'{"error":"not HTTP/1.1 as understood here"}'
        head = f"HTTP/1.1 400 Bad Request\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        log.debug("refused a message: %s", why)
        writer.write(head.encode() + b"Connection: close\r\n\r\n" + body)


class NoAnswer(Exception):
    """Nothing came back. If `sent`, the request may still be carried out, even later."""

    def __init__(self, why: str, sent: bool) -> None:
        super().__init__(why)
        self.sent = sent


class _Link:
    __slots__ = ("reader", "used", "writer")

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.used = time.monotonic()


class Client:
    """Requests to one address over a few kept connections."""

    def __init__(self, host: str, port: int, keep: int = 8, idle_s: float = 30.0) -> None:
        self.host = host
        self.port = port
        self.keep = keep
        self.idle_s = idle_s
        self.free: deque[_Link] = deque()
        self.last_used = time.monotonic()

    async def request(self, method: str, target: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        sent = [False]
        self.last_used = time.monotonic()
        try:
            async with asyncio.timeout(timeout):
                return await self._request(method, target, body, sent)
        except (OSError, EOFError, TimeoutError, h11.ProtocolError) as why:
            raise NoAnswer(str(why) or type(why).__name__, sent[0]) from None

    async def _connect(self) -> _Link:
        reader, writer = await asyncio.open_connection(self.host, self.port)
        sock = writer.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return _Link(reader, writer)

    async def _request(self, method: str, target: str, body: bytes, sent: list[bool]) -> tuple[int, bytes]:
        link: _Link | None = None
        while self.free and link is None:
            link = self.free.pop()
            if link.reader.at_eof() or link.writer.is_closing() or time.monotonic() - link.used > self.idle_s:
                link.writer.transport.abort()
                link = None
        if link is None:
            link = await self._connect()
        ok = False
        try:
            connection = h11.Connection(h11.CLIENT, max_incomplete_event_size=MOST_HEAD)
            headers = [(b"host", self.host.encode()), (b"content-length", str(len(body)).encode())]
            if body:
                headers.append((b"content-type", b"application/json"))
            parts = [connection.send(h11.Request(method=method, target=target, headers=headers))]
            if body:
                parts.append(connection.send(h11.Data(data=body)))
            parts.append(connection.send(h11.EndOfMessage()))
            sent[0] = True
            link.writer.write(b"".join(part for part in parts if part))
            status = 0
            chunks: list[bytes] = []
            while True:
                event = connection.next_event()
                if event is h11.NEED_DATA:
                    data = await link.reader.read(256 * 1024)
                    if not data and not status:
                        raise EOFError("closed before an answer")
                    connection.receive_data(data)
                elif isinstance(event, h11.Response):
                    status = event.status_code
                elif isinstance(event, h11.Data):
                    chunks.append(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    break
                elif event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                    raise EOFError("closed before an answer")
            ok = connection.our_state is h11.DONE and connection.their_state is h11.DONE
            return status, b"".join(chunks)
        finally:
            link.used = time.monotonic()
            if ok and len(self.free) < self.keep:
                self.free.append(link)
            elif ok:
                link.writer.close()
            else:
                link.writer.transport.abort()

    def close(self) -> None:
        while self.free:
            self.free.pop().writer.transport.abort()
