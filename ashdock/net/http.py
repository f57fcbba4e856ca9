"""HTTP/1.1 on asyncio streams: a server with limits, and a small client with a connection pool.

Messages whose head `ashdock.net.heads` can cache are parsed by it; all others go through h11 event
by event. The server limits connections, request time, head and body sizes, and memory for bodies.
"""

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

MAX_BODY_BYTES = 64 * 1024  # of a request; also the most that is read from its connection at once
MAX_HEAD_BYTES = 16 * 1024
MAX_READ_BYTES = 256 * 1024  # of a response, in one read


class Request(NamedTuple):
    """An HTTP request without its headers."""

    method: str
    target: str
    body: bytes


class Received(NamedTuple):
    """A request received over a connection.

    Attributes:
        request: the request.
        reusable: whether the connection may carry another request.
        read_ahead: bytes already read of the next request.
    """

    request: Request
    reusable: bool
    read_ahead: bytes


class BodyTooLargeError(Exception):
    """A request's body exceeds `MAX_BODY_BYTES`."""


class BodyMemoryExhaustedError(Exception):
    """There is too little memory for a request's body."""


class BodyMemory(Protocol):
    """Limits the memory of all request bodies that are held at once."""

    def reserve_body(self, size: int, use: SocketUse) -> bool:
        """Reserve `size` bytes of a body; False if there is too little memory."""
        ...

    def release_body(self, size: int) -> None:
        """Release `size` bytes that were reserved."""
        ...


class Response(NamedTuple):
    """An HTTP response.

    Attributes:
        status: the HTTP status.
        body: the whole body.
        retry_after: seconds for the Retry-After header; None: no such header.
        content_type: value of the Content-Type header.
    """

    status: int
    body: bytes = b""
    retry_after: int | None = None
    content_type: bytes = b"application/json"


Handler = Callable[[Request], Awaitable[Response]]

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


def encode_response(response: Response, close: bool, include_body: bool = True) -> bytes:
    """Encode a response; a response to HEAD has `include_body` unset.

    With `close`, a header tells the client that the connection is closed after it.
    """
    head = heads.encode_response_head(
        response.status,
        REASONS.get(response.status, b""),
        response.content_type,
        response.retry_after,
        close,
        len(response.body),
    )
    return head + response.body if include_body else head


def always_user(target: str) -> SocketUse:
    """Classify every request as one of a user."""
    return SocketUse.USER


def no_connection_available() -> Response:
    """Build the default response to a client that the server has no resources for."""
    return Response(503, b'{"error":"no connection to spare"}', retry_after=1)


def undivided_connections(
    max_connections: int, idle_s: float = 60.0, request_timeout_s: float = 10.0
) -> Connections:
    """Create a connection table whose limit is not divided among uses.

    Args:
        max_connections: limit of the open connections.
        idle_s: how long a connection may be idle.
        request_timeout_s: how long a request may take to be received and answered.
    """
    return Connections(undivided_shares(max_connections), idle_s, request_timeout_s)


class Server:
    """Serves the connections that its connection table admits, and closes slow and idle ones.

    Attributes:
        handler: answers a request.
        connections: the connection table.
        use_of: tells what a connection is used for by the target of its request.
        connection_refusal: builds the response to a connection or request that the table refuses.
        body_memory: limits the memory for bodies; None: unlimited.
        memory_refusal: builds the response to a request that there is no memory for.
        buffer_bytes: read buffer of a connection. asyncio stops reading from the socket when more
            than twice as much is unread.
        reserved_bytes: memory reserved for the body of a connection's request, by its writer.
        open_connections: the writers of all open connections.
        server: the listening server; None before `start`.
        timeout_task: closes slow and idle connections; None before `start`.
    """

    def __init__(
        self,
        handler: Handler,
        connections: Connections,
        use_of: Callable[[str], SocketUse] = always_user,
        connection_refusal: Callable[[], Response] = no_connection_available,
        body_memory: BodyMemory | None = None,
        memory_refusal: Callable[[], Response] = no_connection_available,
        buffer_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        """Open nothing yet; see the class for the arguments."""
        self.body_memory, self.memory_refusal, self.buffer_bytes = (
            body_memory,
            memory_refusal,
            buffer_bytes,
        )
        self.reserved_bytes: dict[asyncio.StreamWriter, int] = {}
        self.handler = handler
        self.connections = connections
        self.use_of = use_of
        self.connection_refusal = connection_refusal
        self.open_connections: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.timeout_task: asyncio.Task[None] | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen on an address. Raises OSError if it cannot be bound."""
        self.server = await asyncio.start_server(
            self._serve, host, port, backlog=128, limit=self.buffer_bytes
        )
        self.timeout_task = asyncio.create_task(self._close_overdue())

    async def stop(self) -> None:
        """Stop listening and abort all open connections."""
        if self.timeout_task:
            self.timeout_task.cancel()
        if self.server:
            self.server.close()
        for writer in list(self.open_connections):
            writer.transport.abort()

    async def _close_overdue(self) -> None:
        while True:
            await asyncio.sleep(self.connections.request_timeout_s / 4)
            for writer in self.connections.end_overdue(time.monotonic()):
                writer.transport.abort()  # type: ignore[attr-defined]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        arrival = self.connections.admit(writer, time.monotonic())
        if not arrival.admitted:
            # Refuse at once, so that the client does not wait for its timeout.
            response = self.connection_refusal()
            head = (
                f"HTTP/1.1 {response.status} {REASONS[response.status].decode()}\r\n"
                f"Retry-After: {response.retry_after or 1}\r\n"
            )
            writer.write(head.encode() + b"Content-Length: 0\r\nConnection: close\r\n\r\n")
            writer.close()
            return
        if arrival.evicted is not None:
            arrival.evicted.transport.abort()  # type: ignore[attr-defined]
        self.open_connections.add(writer)
        try:
            read_ahead: bytes | None = b""
            while read_ahead is not None:
                read_ahead = await self._serve_one_request(read_ahead, reader, writer)
                self._release_body(writer)
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        except h11.ProtocolError as error:
            self._refuse_malformed(writer, str(error))
        finally:
            self._release_body(writer)
            self.connections.connection_closed(writer)
            self.open_connections.discard(writer)
            writer.close()

    def _reserve_body(self, writer: asyncio.StreamWriter, size: int, target: str) -> None:
        """Reserve memory for `size` more bytes of the body of a connection's request.

        Raises:
            BodyMemoryExhaustedError: there is too little memory; nothing more was reserved.
        """
        if size and self.body_memory is not None:
            if not self.body_memory.reserve_body(size, self.use_of(target)):
                raise BodyMemoryExhaustedError
            self.reserved_bytes[writer] = self.reserved_bytes.get(writer, 0) + size

    def _release_body(self, writer: asyncio.StreamWriter) -> None:
        size = self.reserved_bytes.pop(writer, 0)
        if size and self.body_memory is not None:
            self.body_memory.release_body(size)

    async def _next_event(
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
            data = await reader.read(MAX_BODY_BYTES)
            if not data and connection.their_state is h11.IDLE:
                raise EOFError
            connection.receive_data(data)
            self.connections.data_received(writer, time.monotonic())

    async def _serve_one_request(
        self, read_ahead: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bytes | None:
        """Receive one request and answer it.

        Args:
            read_ahead: bytes of this request that were read with the one before.
            reader: reader of the connection.
            writer: writer of the connection.

        Returns:
            The bytes already read of the next request; None if the connection is to be closed.
        """
        if not read_ahead:
            read_ahead = await reader.read(MAX_BODY_BYTES)
            if not read_ahead:
                return None
            self.connections.data_received(writer, time.monotonic())
        try:
            parsed = heads.parse_request_head(read_ahead)
            received = await (
                self._receive_by_length(*parsed, reader, writer)
                if parsed
                else self._receive_by_events(read_ahead, reader, writer)
            )
        except BodyTooLargeError:
            await self._send_last(writer, Response(400, b'{"error":"the body exceeds 64 KiB"}'))
            return None
        except BodyMemoryExhaustedError:
            await self._send_last(writer, self.memory_refusal())
            return None
        if received is None:
            return None
        request = received.request
        if not self.connections.request_received(writer, self.use_of(request.target)):
            await self._send_last(writer, self.connection_refusal())
            return None
        response = await self._handle(request)
        # If a use has more connections than its share, the client is told to close this one along
        # with the response: no request is in flight then that would be lost.
        reusable = (
            self.connections.keep_after_response(writer, time.monotonic()) and received.reusable
        )
        writer.write(
            encode_response(response, close=not reusable, include_body=request.method != "HEAD")
        )
        await writer.drain()
        return received.read_ahead if reusable else None

    @staticmethod
    async def _send_last(writer: asyncio.StreamWriter, response: Response) -> None:
        """Send a response after which the connection is closed."""
        writer.write(encode_response(response, close=True))
        await writer.drain()

    async def _receive_by_length(
        self,
        head: heads.RequestHead,
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> Received:
        """Receive the rest of a body whose length is known; `body` is what followed the head."""
        if head.body_length > MAX_BODY_BYTES:
            raise BodyTooLargeError
        self._reserve_body(writer, head.body_length, head.target)
        while len(body) < head.body_length:
            data = await reader.read(MAX_BODY_BYTES)
            if not data:
                raise h11.RemoteProtocolError("connection closed before the end of the body")
            self.connections.data_received(writer, time.monotonic())
            body += data
        return Received(
            Request(head.method.decode("ascii"), head.target, body[: head.body_length]),
            True,
            body[head.body_length :],
        )

    async def _receive_by_events(
        self, read_ahead: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> Received | None:
        """Receive a request event by event, through an h11 parser that is used only for it.

        Returns:
            None if no whole request was received.
        """
        connection = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        connection.receive_data(read_ahead)
        request = await self._next_event(connection, reader, writer)
        if not isinstance(request, h11.Request):
            return None
        body = bytearray()
        target = request.target.decode("ascii")
        while True:
            event = await self._next_event(connection, reader, writer)
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_BODY_BYTES:
                    raise BodyTooLargeError
                self._reserve_body(writer, len(event.data), target)
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                return None
        complete = Request(request.method.decode("ascii"), target, bytes(body))
        return Received(complete, connection.their_state is h11.DONE, connection.trailing_data[0])

    async def _handle(self, request: Request) -> Response:
        try:
            return await self.handler(request)
        except Exception:  # one bad request must not end the process
            log.exception("request failed: method=%s target=%s", request.method, request.target)
            return Response(503, b'{"error":"internal"}', retry_after=1)

    def _refuse_malformed(self, writer: asyncio.StreamWriter, reason: str) -> None:
        log.debug("malformed request refused: reason=%s", reason)
        writer.write(
            encode_response(
                Response(400, b'{"error":"not HTTP/1.1 as understood here"}'), close=True
            )
        )


class NoResponseError(Exception):
    """A request got no response.

    Attributes:
        sent: whether sending had begun, so that the request may have been carried out or may still
            be.
    """

    def __init__(self, reason: str, sent: bool) -> None:
        """Keep the reason as the error's text."""
        super().__init__(reason)
        self.sent = sent


class _PooledConnection:
    __slots__ = ("last_used", "reader", "writer")

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.last_used = time.monotonic()


class Client:
    """Sends requests to one address over a pool of connections.

    A request that finds the limit of connections reached waits for one, within its own timeout.

    Attributes:
        host: the server's host.
        port: the server's port.
        max_idle: limit of the idle connections that are kept.
        slots: one for each connection that may be in use at once; None: no limit.
        in_flight: number of requests in flight.
        idle_s: how long a kept connection may be idle before it is not used any more.
        idle: the idle connections; the most recently used one is at the right.
        last_used: monotonic time of the last request.
    """

    def __init__(
        self,
        host: str,
        port: int,
        max_idle: int = 8,
        idle_s: float = 30.0,
        max_connections: int = 0,
    ) -> None:
        """Open no connection yet.

        Args:
            host: the server's host.
            port: the server's port.
            max_idle: limit of the idle connections that are kept.
            idle_s: how long a kept connection may be idle before it is not used any more.
            max_connections: limit of the requests in flight, except for those that skip the
                queue; 0: no limit.
        """
        self.host = host
        self.port = port
        self.max_idle = max_idle
        self.slots = asyncio.Semaphore(max_connections) if max_connections else None
        self.in_flight = 0
        self.idle_s = idle_s
        self.idle: deque[_PooledConnection] = deque()
        self.last_used = time.monotonic()

    @property
    def sockets(self) -> int:
        """Number of connections, in use and idle."""
        return self.in_flight + len(self.idle)

    async def request(
        self, method: str, target: str, body: bytes, timeout: float, skip_queue: bool = False
    ) -> tuple[int, bytes]:
        """Send a request and wait for the whole response.

        Args:
            method: the HTTP method; HEAD is not supported.
            target: path and query.
            body: sent as JSON if not empty.
            timeout: seconds, including the wait for a connection.
            skip_queue: do not wait for a connection, even above the limit; for requests that a
                lease depends on.

        Returns:
            The HTTP status and the body.

        Raises:
            NoResponseError: there was no whole response in time.
        """
        sent = [False]  # set by `_exchange` once it begins to send
        self.last_used = time.monotonic()
        try:
            async with asyncio.timeout(timeout):
                if self.slots is None or skip_queue:
                    return await self._request(method, target, body, sent)
                async with self.slots:
                    return await self._request(method, target, body, sent)
        except (OSError, EOFError, TimeoutError, h11.ProtocolError) as error:
            raise NoResponseError(str(error) or type(error).__name__, sent[0]) from None

    async def _connect(self) -> _PooledConnection:
        reader, writer = await asyncio.open_connection(self.host, self.port)
        sock = writer.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return _PooledConnection(reader, writer)

    async def _request(
        self, method: str, target: str, body: bytes, sent: list[bool]
    ) -> tuple[int, bytes]:
        self.in_flight += 1
        try:
            return await self._exchange(method, target, body, sent)
        finally:
            self.in_flight -= 1

    async def _exchange(
        self, method: str, target: str, body: bytes, sent: list[bool]
    ) -> tuple[int, bytes]:
        pooled: _PooledConnection | None = None
        while self.idle and pooled is None:
            pooled = self.idle.pop()
            if (
                pooled.reader.at_eof()
                or pooled.writer.is_closing()
                or time.monotonic() - pooled.last_used > self.idle_s
            ):
                pooled.writer.transport.abort()
                pooled = None
        if pooled is None:
            pooled = await self._connect()
        reusable = False
        try:
            sent[0] = True
            pooled.writer.write(heads.encode_request(self.host, method, target, body))
            data = await pooled.reader.read(MAX_READ_BYTES)
            if not data:
                raise EOFError("connection closed before the response was complete")
            parsed = heads.parse_response_head(data)
            if parsed is None:
                status, body_received, reusable = await self._receive_by_events(data, pooled.reader)
                return status, body_received
            head, body_received = parsed
            chunks, bytes_left = [body_received], head.body_length - len(body_received)
            while bytes_left > 0:
                data = await pooled.reader.read(MAX_READ_BYTES)
                if not data:
                    raise EOFError("connection closed before the response was complete")
                chunks.append(data)
                bytes_left -= len(data)
            reusable = bytes_left == 0  # the server sent nothing beyond the response
            body_received = b"".join(chunks)
            return (
                head.status,
                body_received if reusable else body_received[: head.body_length],
            )
        finally:
            pooled.last_used = time.monotonic()
            if reusable and len(self.idle) < self.max_idle:
                self.idle.append(pooled)
            elif reusable:
                pooled.writer.close()
            else:
                pooled.writer.transport.abort()

    @staticmethod
    async def _receive_by_events(
        data: bytes, reader: asyncio.StreamReader
    ) -> tuple[int, bytes, bool]:
        """Receive a response through h11, beginning with `data`.

        Returns:
            The status, the body, and whether the connection can be used again.

        Raises:
            EOFError: the connection was closed too early.
        """
        # h11 parses a response only after a request; that of a GET is read like that of a POST.
        connection = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        connection.send(h11.Request(method="GET", target="/", headers=[(b"host", b"any")]))
        connection.send(h11.EndOfMessage())
        connection.receive_data(data)
        status = 0
        chunks: list[bytes] = []
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                data = await reader.read(MAX_READ_BYTES)
                if not data and not status:
                    raise EOFError("connection closed before the response was complete")
                connection.receive_data(data)
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                break
            elif event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                raise EOFError("connection closed before the response was complete")
        return (
            status,
            b"".join(chunks),
            connection.our_state is h11.DONE and connection.their_state is h11.DONE,
        )

    def close(self) -> None:
        """Close the idle connections."""
        while self.idle:
            self.idle.pop().writer.transport.abort()
