"""HTTP/1.1 on asyncio streams, by h11: a server with bounds on everything, and a small pooled client."""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from collections import deque
from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

import h11

from ashdock.admission.connections import Connections
from ashdock.admission.shares import SocketUse, undivided_shares
from ashdock.net import heads

log = logging.getLogger("ashdock.http")

MOST_BODY = 64 * 1024
MOST_HEAD = 16 * 1024
MOST_READ = 256 * 1024  # of an answer at a time


class Request(NamedTuple):
    method: str
    target: str
    body: bytes


class Received(NamedTuple):
    """A request that has come, whether another may follow it on its connection, and what of that one is here already."""

    request: Request
    unleased: bool
    ahead: bytes


class TooLarge(Exception):
    """A body beyond the limit."""


class NoMemory(Exception):
    """There is no memory for a body."""


class Bodies(Protocol):
    """Who tells how many bytes of bodies may be here at once."""

    def reserve_body(self, size: int, use: SocketUse) -> bool: ...

    def release_body(self, size: int) -> None: ...


class Answer(NamedTuple):
    status: int
    body: bytes = b""
    retry_after: int | None = None
    content_type: bytes = b"application/json"


Handler = Callable[[Request], Awaitable[Answer]]

REASONS = {
    200: b"OK",
    201: b"Created",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    421: b"Misdirected Request",
    422: b"Unprocessable Content",
    429: b"Too Many Requests",
    500: b"Internal Server Error",
    503: b"Service Unavailable",
}


def message(answer: Answer, close: bool, body: bool = True) -> bytes:
    """An answer as it is sent. Without its `body` for HEAD."""
    head = heads.answering(
        answer.status,
        REASONS.get(answer.status, b""),
        answer.content_type,
        answer.retry_after,
        close,
        len(answer.body),
    )
    return head + answer.body if body else head


def all_alike(target: str) -> SocketUse:
    return SocketUse.USER


def no_place() -> Answer:
    return Answer(503, b'{"error":"no connection to spare"}', retry_after=1)


def plain_connections(most: int, idle_s: float = 60.0, slow_s: float = 10.0) -> Connections:
    """One that tells no callers apart."""
    return Connections(undivided_shares(most), idle_s, slow_s)


class Server:
    """Serves the connections that its table of them admits; what is slow or silent is closed.

    `use_of` tells by a request's target what a connection is for; `refused` makes the answer to whom there is no place for, `full` to whom there is
    no memory for by `bodies`. A connection's unread bytes are held up to twice `buffer`.
    """

    def __init__(
        self,
        handler: Handler,
        connections: Connections,
        use_of: Callable[[str], SocketUse] = all_alike,
        refused: Callable[[], Answer] = no_place,
        bodies: Bodies | None = None,
        full: Callable[[], Answer] = no_place,
        buffer: int = MOST_BODY,
    ) -> None:
        self.bodies, self.full, self.buffer = bodies, full, buffer
        self.held: dict[asyncio.StreamWriter, int] = {}  # bytes of its request's body
        self.handler = handler
        self.connections = connections
        self.use_of = use_of
        self.refused = refused
        self.open: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.sweeper: asyncio.Task[None] | None = None

    async def start(self, host: str, port: int) -> None:
        self.server = await asyncio.start_server(
            self._serve, host, port, backlog=128, limit=self.buffer
        )
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
            await asyncio.sleep(self.connections.request_timeout_s / 4)
            for writer in self.connections.end_overdue(time.monotonic()):
                writer.transport.abort()  # type: ignore[attr-defined]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        arrival = self.connections.admit(writer, time.monotonic())
        if not arrival.admitted:
            # Full: say so at once rather than let the connection hang.
            answer = self.refused()
            head = f"HTTP/1.1 {answer.status} {REASONS[answer.status].decode()}\r\nRetry-After: {answer.retry_after or 1}\r\n"
            writer.write(head.encode() + b"Content-Length: 0\r\nConnection: close\r\n\r\n")
            writer.close()
            return
        if arrival.evicted is not None:
            arrival.evicted.transport.abort()  # type: ignore[attr-defined]
        self.open.add(writer)
        try:
            ahead: bytes | None = b""
            while ahead is not None:
                ahead = await self._one(ahead, reader, writer)
                self._let_go(writer)
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        except h11.ProtocolError as why:
            self._refuse(writer, str(why))
        finally:
            self._let_go(writer)
            self.connections.connection_closed(writer)
            self.open.discard(writer)
            writer.close()

    def _holds(self, writer: asyncio.StreamWriter, size: int, target: str) -> None:
        """So many bytes more of a body come over this connection. Raises NoMemory."""
        if size and self.bodies is not None:
            if not self.bodies.reserve_body(size, self.use_of(target)):
                raise NoMemory
            self.held[writer] = self.held.get(writer, 0) + size

    def _let_go(self, writer: asyncio.StreamWriter) -> None:
        size = self.held.pop(writer, 0)
        if size and self.bodies is not None:
            self.bodies.release_body(size)

    async def _event(
        self, connection: h11.Connection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> h11.Event:
        while True:
            event = connection.next_event()
            if event is not h11.NEED_DATA:
                return event  # type: ignore[return-value]
            if connection.they_are_waiting_for_100_continue:
                writer.write(
                    connection.send(h11.InformationalResponse(status_code=100, headers=[])) or b""
                )
            data = await reader.read(MOST_BODY)
            if not data and connection.their_state is h11.IDLE:
                raise EOFError
            connection.receive_data(data)
            self.connections.data_received(writer, time.monotonic())

    async def _one(
        self, ahead: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bytes | None:
        """Answer one request, of which `ahead` came with the one before. What came after it, or None when the connection is over."""
        if not ahead:
            ahead = await reader.read(MOST_BODY)
            if not ahead:
                return None
            self.connections.data_received(writer, time.monotonic())
        try:
            known = heads.request_of(ahead)
            received = await (
                self._by_length(*known, reader, writer)
                if known
                else self._by_events(ahead, reader, writer)
            )
        except TooLarge:
            await self._last(writer, Answer(400, b'{"error":"the body exceeds 64 KiB"}'))
            return None
        except NoMemory:
            await self._last(writer, self.full())
            return None
        if received is None:
            return None
        request = received.request
        if not self.connections.request_received(writer, self.use_of(request.target)):
            await self._last(writer, self.refused())
            return None
        answer = await self._answer(request)
        # Whose connections have outgrown their share is told to close it together with the answer: no request is on its way then.
        unleased = (
            self.connections.keep_after_response(writer, time.monotonic()) and received.unleased
        )
        writer.write(message(answer, close=not unleased, body=request.method != "HEAD"))
        await writer.drain()
        return received.ahead if unleased else None

    @staticmethod
    async def _last(writer: asyncio.StreamWriter, answer: Answer) -> None:
        """An answer with which the connection is over."""
        writer.write(message(answer, close=True))
        await writer.drain()

    async def _by_length(
        self,
        head: heads.RequestHead,
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> Received:
        """The request with a head that is known, whose body begins with what has come."""
        if head.length > MOST_BODY:
            raise TooLarge
        self._holds(writer, head.length, head.target)
        while len(body) < head.length:
            data = await reader.read(MOST_BODY)
            if not data:
                raise h11.RemoteProtocolError("the body is cut short")
            self.connections.data_received(writer, time.monotonic())
            body += data
        return Received(
            Request(head.method.decode("ascii"), head.target, body[: head.length]),
            True,
            body[head.length :],
        )

    async def _by_events(
        self, ahead: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> Received | None:
        """Any other request. Each has a parser of its own, and only reading goes through it."""
        connection = h11.Connection(h11.SERVER, max_incomplete_event_size=MOST_HEAD)
        connection.receive_data(ahead)
        request = await self._event(connection, reader, writer)
        if not isinstance(request, h11.Request):
            return None
        body = bytearray()
        target = request.target.decode("ascii")
        while True:
            event = await self._event(connection, reader, writer)
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > MOST_BODY:
                    raise TooLarge
                self._holds(writer, len(event.data), target)
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                return None
        asked = Request(request.method.decode("ascii"), target, bytes(body))
        return Received(asked, connection.their_state is h11.DONE, connection.trailing_data[0])

    async def _answer(self, request: Request) -> Answer:
        try:
            return await self.handler(request)
        except Exception:  # one bad request must not take the process down
            log.exception("%s %s failed", request.method, request.target)
            return Answer(503, b'{"error":"internal"}', retry_after=1)

    def _refuse(self, writer: asyncio.StreamWriter, why: str) -> None:
        log.debug("refused a message: %s", why)
        writer.write(
            message(Answer(400, b'{"error":"not HTTP/1.1 as understood here"}'), close=True)
        )


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
    """Requests to one address over a few kept connections, of which there are `most` at any time (0: no bound).

    What finds none free waits for one, within its own timeout; `first` does not wait, for what a lease hangs on.
    """

    def __init__(
        self, host: str, port: int, keep: int = 8, idle_s: float = 30.0, most: int = 0
    ) -> None:
        self.host = host
        self.port = port
        self.keep = keep
        self.places = asyncio.Semaphore(most) if most else None
        self.under_way = 0
        self.idle_s = idle_s
        self.free: deque[_Link] = deque()
        self.last_used = time.monotonic()

    @property
    def sockets(self) -> int:
        return self.under_way + len(self.free)

    async def request(
        self, method: str, target: str, body: bytes, timeout: float, first: bool = False
    ) -> tuple[int, bytes]:
        sent = [False]
        self.last_used = time.monotonic()
        try:
            async with asyncio.timeout(timeout):
                if self.places is None or first:
                    return await self._request(method, target, body, sent)
                async with self.places:
                    return await self._request(method, target, body, sent)
        except (OSError, EOFError, TimeoutError, h11.ProtocolError) as why:
            raise NoAnswer(str(why) or type(why).__name__, sent[0]) from None

    async def _connect(self) -> _Link:
        reader, writer = await asyncio.open_connection(self.host, self.port)
        sock = writer.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return _Link(reader, writer)

    async def _request(
        self, method: str, target: str, body: bytes, sent: list[bool]
    ) -> tuple[int, bytes]:
        self.under_way += 1
        try:
            return await self._over_a_link(method, target, body, sent)
        finally:
            self.under_way -= 1

    async def _over_a_link(
        self, method: str, target: str, body: bytes, sent: list[bool]
    ) -> tuple[int, bytes]:
        link: _Link | None = None
        while self.free and link is None:
            link = self.free.pop()
            if (
                link.reader.at_eof()
                or link.writer.is_closing()
                or time.monotonic() - link.used > self.idle_s
            ):
                link.writer.transport.abort()
                link = None
        if link is None:
            link = await self._connect()
        ok = False
        try:
            sent[0] = True
            link.writer.write(heads.asking(self.host, method, target, body))
            data = await link.reader.read(MOST_READ)
            if not data:
                raise EOFError("closed before an answer")
            known = heads.response_of(data)
            if known is None:
                status, answer, ok = await self._by_events(data, link.reader)
                return status, answer
            head, answer = known
            shards, left = [answer], head.length - len(answer)
            while left > 0:
                data = await link.reader.read(MOST_READ)
                if not data:
                    raise EOFError("closed before an answer")
                shards.append(data)
                left -= len(data)
            ok = left == 0
            answer = b"".join(shards)
            return head.status, answer if ok else answer[: head.length]
        finally:
            link.used = time.monotonic()
            if ok and len(self.free) < self.keep:
                self.free.append(link)
            elif ok:
                link.writer.close()
            else:
                link.writer.transport.abort()

    @staticmethod
    async def _by_events(data: bytes, reader: asyncio.StreamReader) -> tuple[int, bytes, bool]:
        """An answer whose head is not known: its status, its body, and whether the connection can be kept."""
        connection = h11.Connection(h11.CLIENT, max_incomplete_event_size=MOST_HEAD)
        connection.send(h11.Request(method="GET", target="/", headers=[(b"host", b"any")]))
        connection.send(h11.EndOfMessage())
        connection.receive_data(data)
        status = 0
        chunks: list[bytes] = []
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                data = await reader.read(MOST_READ)
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
        return (
            status,
            b"".join(chunks),
            connection.our_state is h11.DONE and connection.their_state is h11.DONE,
        )

    def close(self) -> None:
        while self.free:
            self.free.pop().writer.transport.abort()
