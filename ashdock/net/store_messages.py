"""Message bodies of the store's protocol, and the mapping of its field names to those of this code.

The protocol says `stamp` and `ledger` for a revision (of a key, of the whole store), `when` for the
compares of a transaction, and `permit` for a store lease.
"""

from __future__ import annotations

from typing import Any, NamedTuple, TypeAlias

import msgspec
from msgspec import Struct, field

# A value as decoded from JSON. The code that owns a record gives it a type (`ashdock.wire`).
Value: TypeAlias = Any


class Entry(NamedTuple):
    """One key of the store with its value.

    Attributes:
        path: the key.
        value: its value, as decoded from JSON.
        revision: that of the key's last change.
    """

    path: str
    value: Value
    revision: int


class EntryResponse(Struct):
    """A key with its value and revision, as the store sends it."""

    path: str
    revision: int = field(name="stamp")
    value: Value = None


class ListResponse(Struct):
    """One page of the keys with a prefix.

    Attributes:
        entries: the keys in order.
        revision: the store's revision when the page was read.
        truncated: whether there are more keys.
    """

    entries: list[EntryResponse]
    revision: int = field(name="ledger")
    truncated: bool = False


class Compare(Struct):
    """The condition that a key has a revision; revision 0: that there is no such key."""

    path: str
    revision: int = field(name="stamp")


class Put(Struct, omit_defaults=True):
    """A write of a key. With a lease, the store deletes the key when the lease expires."""

    path: str = field(name="set")
    value: Value
    lease: int | None = field(default=None, name="permit")


class Delete(Struct):
    """The deletion of a key."""

    path: str = field(name="delete")


class TransactionRequest(Struct, omit_defaults=True):
    """A compare-and-swap; without writes it only compares."""

    compare: list[Compare] = field(name="when")
    writes: list[Put | Delete] | None = None


class CommittedResponse(Struct):
    """The revision at which a transaction was applied."""

    revision: int = field(name="ledger")


class CompareFailedResponse(Struct):
    """The keys whose revisions differ from the expected ones."""

    failed_keys: list[str] = field(default=[], name="failed")


class LeaseRequest(Struct):
    """A request for a new store lease."""

    ttl_ms: int


class LeaseResponse(Struct):
    """The ID of a new store lease."""

    lease: int = field(name="permit")


class Change(Struct):
    """One change under a watched prefix: of a key that was put or one that was deleted."""

    revision: int = field(name="stamp")
    put_path: str | None = field(default=None, name="set")
    deleted_path: str | None = field(default=None, name="delete")
    value: Value = None


class WatchResponse(Struct):
    """The changes after the requested revision, complete up to `revision`."""

    revision: int = field(name="ledger")
    changes: list[Change] = field(default=[], name="news")


entry_decoder = msgspec.json.Decoder(EntryResponse)
list_decoder = msgspec.json.Decoder(ListResponse)
committed_decoder = msgspec.json.Decoder(CommittedResponse)
compare_failed_decoder = msgspec.json.Decoder(CompareFailedResponse)
lease_decoder = msgspec.json.Decoder(LeaseResponse)
watch_decoder = msgspec.json.Decoder(WatchResponse)
