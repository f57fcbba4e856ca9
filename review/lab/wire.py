"""HTTP/1.1 with JSON bodies, as little of it as the protocol pages need."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

MAX_REQUEST_BYTES = 64 * 1024  # "A request body may not exceed 64 KiB."
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict"}


class Answer(NamedTuple):
    """A response: its status and its body, which is sent as JSON."""

    status: int
    body: Any


class NoAnswerError(Exception):
    """No whole response came in time, or there was no connection."""


Handler = Callable[[str, str, bytes], Awaitable[Answer]]


async def _read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    headers = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines if line)
    }
    return first, headers, await reader.readexactly(int(headers.get("content-length", "0")))


async def serve(handler: Handler, port: int = 0) -> tuple[asyncio.Server, int]:
    """Serve on a loopback port; return the server and the port (a free one for 0)."""

    async def on_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            closing = False
            while not closing:
                first, headers, body = await _read_message(reader)
                method, target, _ = first.split(" ", 2)
                answer = await handler(method, target, body)
                closing = headers.get("connection", "").lower() == "close"
                sent = json.dumps(answer.body).encode()
                writer.write(
                    f"HTTP/1.1 {answer.status} {REASONS.get(answer.status, 'Status')}\r\n"
                    f"Content-Type: application/json\r\nContent-Length: {len(sent)}\r\n"
                    f"{'Connection: close' + chr(13) + chr(10) if closing else ''}\r\n".encode()
                )
                writer.write(sent)
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            pass  # the run is over
        finally:
            writer.close()

    server = await asyncio.start_server(on_connection, "127.0.0.1", port, limit=2**20)
    return server, server.sockets[0].getsockname()[1]


async def request(
    address: str, method: str, target: str, body: Any = None, timeout_s: float = 4.0
) -> Answer:
    """Send one request over a connection of its own and return the response.

    Raises:
        NoAnswerError: there was no whole response within `timeout_s`.
    """
    host, port = address.rsplit(":", 1)
    sent = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                f"{method} {target} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(sent)}\r\n\r\n".encode()
                + sent
            )
            first, _, received = await _read_message(reader)
            return Answer(int(first.split(" ")[1]), json.loads(received) if received else None)
    except (OSError, EOFError, TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
        raise NoAnswerError(str(error) or type(error).__name__) from None
    finally:
        if writer is not None:
            writer.close()
