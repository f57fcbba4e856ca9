"""Plain values for structs, bytes and errors: what every other module of the adapter uses."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from ashdock.net.cloud import CloudUnavailableError, NoCapacityError
from ashdock.net.http import NoResponseError
from ashdock.net.store import (
    CompareFailedError,
    LeaseLostError,
    StoreRateLimitedError,
    StoreUnavailableError,
    WatchExpiredError,
    WriteRefusedError,
)
from ashdock.settings import (
    SettingsError,
)
from ashdock.wire import messages
from ashdock.wire.frame_errors import FrameError

Plain = Any  # JSON values: None, bool, int, float, str, list, dict with str keys

ERRORS: dict[type[Exception], str] = {
    FrameError: "bad frame",
    messages.MalformedMessageError: "malformed body",
    SettingsError: "settings",
    CompareFailedError: "conflict",
    StoreUnavailableError: "store unavailable",
    StoreRateLimitedError: "store rate limited",
    WriteRefusedError: "store refused",
    LeaseLostError: "lease lost",
    WatchExpiredError: "watch expired",
    CloudUnavailableError: "cloud trouble",
    NoCapacityError: "no capacity",
    NoResponseError: "no answer",
}


def error_to_values(error: Exception) -> Plain:
    """The neutral type of an error, its text, and what it tells besides. Others are raised again."""
    if isinstance(error, (IndexError, TypeError)):
        return {"type": type(error).__name__}  # their texts name functions of ours
    named = FrameError if isinstance(error, FrameError) else type(error)
    if named in ERRORS:
        kind = ERRORS[named]
    elif isinstance(error, (msgspec.DecodeError, KeyError, ValueError)):
        kind = type(error).__name__  # of a library: it keeps its name
    else:
        raise error
    values: dict[str, Plain] = {"type": kind, "message": str(error)}
    if isinstance(error, (StoreUnavailableError, CloudUnavailableError)):
        values["outcome_unknown"] = error.outcome_unknown
    if isinstance(error, NoResponseError):
        values["outcome_unknown"] = error.sent
    return values


def attempt(call: Callable[[], Plain]) -> Plain:
    """What the call returns, or the error that it raises, as values."""
    try:
        return call()
    except Exception as error:
        return {"error": error_to_values(error)}


def to_bytes(body: Plain) -> bytes:
    """A body of the corpus: text, or `{"hex": ...}` where it is not UTF-8."""
    return bytes.fromhex(body["hex"]) if isinstance(body, dict) else body.encode()


def from_bytes(body: bytes) -> Plain:
    """The inverse of `to_bytes`."""
    try:
        return body.decode()
    except UnicodeDecodeError:
        return {"hex": body.hex()}


def encoded(value: Any) -> str:
    """JSON as the present code writes it."""
    return messages.encode(value).decode()


def attributes_of(value: Any, names: dict[str, str]) -> dict[str, Plain]:
    """The attributes of a struct under their wire names; those that are unset are left out."""
    found = {wire: getattr(value, attribute) for wire, attribute in names.items()}
    return {wire: item for wire, item in found.items() if item is not msgspec.UNSET}


def struct_from(kind: Callable[..., Any], names: dict[str, str], values: dict[str, Plain]) -> Any:
    """A struct from values under their wire names."""
    return kind(**{names[wire]: item for wire, item in values.items()})


def plain(value: Any) -> Plain:
    """Tuples as lists, sets as sorted lists, so that values survive JSON."""
    if isinstance(value, dict):
        return {key: plain(item) for key, item in value.items()}
    if isinstance(value, (frozenset, set)):
        return sorted(value)
    return [plain(item) for item in value] if isinstance(value, (list, tuple)) else value


def rows(values: Iterable[Iterable[Any]]) -> list[tuple[Any, ...]]:
    """Rows as the frames hold them."""
    return [tuple(row) for row in values]
