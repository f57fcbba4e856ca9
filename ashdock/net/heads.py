"""Heads of HTTP messages, each checked or written by h11 once for all that are alike.

Workers ask the same thing of the same controller each second, and differ in the length of what they say at most. Read anew for each, heads were
two fifths of what answering a report cost (`python -m tests.scale cost`). What is remembered is only what h11 made of these very bytes, and only
for messages whose body is told by its length; all others are read by h11 event by event (net/http.py).
"""

from __future__ import annotations

from collections.abc import Callable
from functools import lru_cache
from typing import NamedTuple, TypeVar

import h11

MOST = 512  # bytes of a head that is remembered
KEPT = 1024  # heads of each kind
END = b"\r\n\r\n"
PLAIN = (
    b"transfer-encoding",
    b"connection",
    b"expect",
    b"upgrade",
)  # a head with one of these is not remembered


Head = TypeVar("Head")


class RequestHead(NamedTuple):
    method: bytes
    target: str
    length: int  # of its body


class ResponseHead(NamedTuple):
    status: int
    length: int


def _length(event: h11.Request | h11.Response | h11.InformationalResponse) -> int | None:
    """Of the body, where nothing but its length tells; None if something else does."""
    told = dict(event.headers)
    if event.http_version != b"1.1" or any(name in told for name in PLAIN):
        return None
    return int(told.get(b"content-length", b"-1"))


@lru_cache(maxsize=KEPT)
def _request(head: bytes) -> RequestHead | None:
    connection = h11.Connection(h11.SERVER)
    connection.receive_data(head)
    try:
        event = connection.next_event()
    except h11.RemoteProtocolError:
        return None
    if not isinstance(event, h11.Request) or connection.trailing_data[0]:
        return None
    length = _length(event)
    return (
        None
        if length is None
        else RequestHead(event.method, event.target.decode("ascii"), max(length, 0))
    )


@lru_cache(maxsize=KEPT)
def _response(head: bytes) -> ResponseHead | None:
    connection = h11.Connection(h11.CLIENT)
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
        or event.status_code in (204, 304)
    ):
        return None
    length = _length(event)
    return None if length is None or length < 0 else ResponseHead(event.status_code, length)


def _divided(data: bytes, read: Callable[[bytes], Head | None]) -> tuple[Head, bytes] | None:
    end = data.find(END, 0, MOST)
    head = read(data[: end + 4]) if end > 0 else None
    return None if head is None else (head, data[end + 4 :])


def request_of(data: bytes) -> tuple[RequestHead, bytes] | None:
    """The head that the data begins with and what follows it; None if it is not whole, or has to be read by h11."""
    return _divided(data, _request)


def response_of(data: bytes) -> tuple[ResponseHead, bytes] | None:
    """The same of an answer."""
    return _divided(data, _response)


@lru_cache(maxsize=KEPT)
def _asking(host: str, method: str, target: str, json: bool) -> bytes:
    headers = [(b"host", host.encode())]
    if json:
        headers.append((b"content-type", b"application/json"))
    headers.append((b"content-length", b"0"))
    head = (
        h11.Connection(h11.CLIENT).send(h11.Request(method=method, target=target, headers=headers))
        or b""
    )
    return head.removesuffix(b"0" + END)


def asking(host: str, method: str, target: str, body: bytes) -> bytes:
    """A request as it is sent."""
    return b"%b%d\r\n\r\n%b" % (_asking(host, method, target, bool(body)), len(body), body)


@lru_cache(maxsize=64)
def _answering(
    status: int, reason: bytes, content_type: bytes, retry_after: int | None, close: bool
) -> bytes:
    headers = [(b"content-type", content_type)]
    if retry_after is not None:
        headers.append((b"retry-after", str(retry_after).encode()))
    if close:
        headers.append((b"connection", b"close"))
    headers.append((b"content-length", b"0"))
    connection = h11.Connection(h11.SERVER)
    connection.receive_data(b"GET / HTTP/1.1\r\nhost: any" + END)
    while not isinstance(connection.next_event(), h11.EndOfMessage):
        pass
    head = connection.send(h11.Response(status_code=status, headers=headers, reason=reason)) or b""
    return head.removesuffix(b"0" + END)


def answering(
    status: int,
    reason: bytes,
    content_type: bytes,
    retry_after: int | None,
    close: bool,
    length: int,
) -> bytes:
    """The head of an answer whose body has that length."""
    return b"%b%d\r\n\r\n" % (_answering(status, reason, content_type, retry_after, close), length)
