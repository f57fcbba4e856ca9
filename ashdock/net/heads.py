"""Heads of HTTP messages, parsed and encoded by h11 once for all messages that have the same head.

Workers send the same request to the same controller each second; at most the length of its body
differs. Parsing every head anew took two fifths of the time of answering a heartbeat. The caches
hold only what h11 made of the same bytes, and only for messages whose body ends as Content-Length
says or that have no body. `ashdock.net.http` parses all others through h11 event by event.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import lru_cache
from typing import NamedTuple, TypeVar

import h11

MAX_CACHED_HEAD_BYTES = 512
CACHE_SIZE = 1024  # heads in each cache
RESPONSE_CACHE_SIZE = 64  # heads of responses that are sent
HEAD_END = b"\r\n\r\n"
# Headers that change the end of the body, or what happens to the connection.
UNCACHED_HEADERS = (
    b"transfer-encoding",
    b"connection",
    b"expect",
    b"upgrade",
)


Head = TypeVar("Head")


class RequestHead(NamedTuple):
    """What is used of the head of a request; `body_length` is in bytes."""

    method: bytes
    target: str
    body_length: int


class ResponseHead(NamedTuple):
    """What is used of the head of a response; `body_length` is in bytes."""

    status: int
    body_length: int


def _body_length(event: h11.Request | h11.Response | h11.InformationalResponse) -> int | None:
    """Return the Content-Length, -1 if there is none, or None if the head may not be cached."""
    headers = dict(event.headers)
    if event.http_version != b"1.1" or any(name in headers for name in UNCACHED_HEADERS):
        return None
    return int(headers.get(b"content-length", b"-1"))


@lru_cache(maxsize=CACHE_SIZE)
def _parse_request(head: bytes) -> RequestHead | None:
    connection = h11.Connection(h11.SERVER)
    connection.receive_data(head)
    try:
        event = connection.next_event()
    except h11.RemoteProtocolError:
        return None
    if not isinstance(event, h11.Request) or connection.trailing_data[0]:
        return None
    body_length = _body_length(event)
    return (
        None
        if body_length is None
        else RequestHead(event.method, event.target.decode("ascii"), max(body_length, 0))
    )


@lru_cache(maxsize=CACHE_SIZE)
def _parse_response(head: bytes) -> ResponseHead | None:
    connection = h11.Connection(h11.CLIENT)
    # h11 parses a response only after a request; that of a GET is read like that of a POST.
    connection.send(h11.Request(method="GET", target="/", headers=[(b"host", b"any")]))
    connection.send(h11.EndOfMessage())
    connection.receive_data(head)
    try:
        event = connection.next_event()
    except h11.RemoteProtocolError:
        return None
    if (
        not isinstance(event, h11.Response)
        or connection.trailing_data[0]
        or event.status_code in (204, 304)  # have no body, whatever their Content-Length
    ):
        return None
    body_length = _body_length(event)
    return (
        None
        if body_length is None or body_length < 0
        else ResponseHead(event.status_code, body_length)
    )


def _parse(data: bytes, parse_head: Callable[[bytes], Head | None]) -> tuple[Head, bytes] | None:
    end = data.find(HEAD_END, 0, MAX_CACHED_HEAD_BYTES)
    head = parse_head(data[: end + 4]) if end > 0 else None
    return None if head is None else (head, data[end + 4 :])


def parse_request_head(data: bytes) -> tuple[RequestHead, bytes] | None:
    """Parse the head of a request that `data` begins with.

    Returns:
        The head and the bytes after it; None if the head is incomplete, longer than
        `MAX_CACHED_HEAD_BYTES`, or to be parsed by h11 event by event.
    """
    return _parse(data, _parse_request)


def parse_response_head(data: bytes) -> tuple[ResponseHead, bytes] | None:
    """Parse the head of a response that `data` begins with; see `parse_request_head`."""
    return _parse(data, _parse_response)


@lru_cache(maxsize=CACHE_SIZE)
def _encode_request_head(host: str, method: str, target: str, json: bool) -> bytes:
    """Encode a head up to the value of Content-Length, which is its last header."""
    headers = [(b"host", host.encode())]
    if json:
        headers.append((b"content-type", b"application/json"))
    headers.append((b"content-length", b"0"))
    head = (
        h11.Connection(h11.CLIENT).send(h11.Request(method=method, target=target, headers=headers))
        or b""
    )
    return head.removesuffix(b"0" + HEAD_END)


def encode_request(host: str, method: str, target: str, body: bytes) -> bytes:
    """Encode a request; a body that is not empty is declared as JSON."""
    return b"%b%d\r\n\r\n%b" % (
        _encode_request_head(host, method, target, bool(body)),
        len(body),
        body,
    )


@lru_cache(maxsize=RESPONSE_CACHE_SIZE)
def _encode_response_head(
    status: int, reason: bytes, content_type: bytes, retry_after: int | None, close: bool
) -> bytes:
    """Encode a head up to the value of Content-Length, which is its last header."""
    headers = [(b"content-type", content_type)]
    if retry_after is not None:
        headers.append((b"retry-after", str(retry_after).encode()))
    if close:
        headers.append((b"connection", b"close"))
    headers.append((b"content-length", b"0"))
    connection = h11.Connection(h11.SERVER)
    # h11 encodes a response only after a request has been received.
    connection.receive_data(b"GET / HTTP/1.1\r\nhost: any" + HEAD_END)
    while not isinstance(connection.next_event(), h11.EndOfMessage):
        pass
    head = connection.send(h11.Response(status_code=status, headers=headers, reason=reason)) or b""
    return head.removesuffix(b"0" + HEAD_END)


def encode_response_head(
    status: int,
    reason: bytes,
    content_type: bytes,
    retry_after: int | None,
    close: bool,
    body_length: int,
) -> bytes:
    """Encode the head of a response.

    Args:
        status: the HTTP status.
        reason: the reason phrase.
        content_type: value of the Content-Type header.
        retry_after: seconds for the Retry-After header; None: no such header.
        close: whether a header says that the connection is closed after the response.
        body_length: length of the body in bytes.
    """
    return b"%b%d\r\n\r\n" % (
        _encode_response_head(status, reason, content_type, retry_after, close),
        body_length,
    )
