"""Bodies of the store's protocol, with the protocol's field names mapped to ours in one place.

The protocol says `stamp` and `ledger` for a revision (of a key, of the whole store), `when` for the
compares of a transaction, and `permit` for a store lease.
"""

from __future__ import annotations

from typing import Any, NamedTuple, TypeAlias

import msgspec
from msgspec import Struct, field

# A value of the store as decoded from JSON. Whoever owns the record gives it a type (`ashdock.wire`).
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


class EntryAnswer(Struct):
    """An entry as the store answers it."""

    path: str
    revision: int = field(name="stamp")
    value: Value = None


class ListAnswer(Struct):
    """One page of the keys with a prefix, at the revision of the store when it was read."""

    entries: list[EntryAnswer]
    revision: int = field(name="ledger")
    truncated: bool = False


class Compare(Struct):
    """The condition that a key has this revision; 0: that there is no such key."""

    path: str
    revision: int = field(name="stamp")


class Put(Struct, omit_defaults=True):
    """A write of a key. With a lease, the key goes when the lease expires."""

    path: str = field(name="set")
    value: Value
    lease: int | None = field(default=None, name="permit")


class Delete(Struct):
    """The removal of a key."""

    path: str = field(name="delete")


class TransactionRequest(Struct, omit_defaults=True):
    """A compare-and-swap. Without writes it only compares."""

    compare: list[Compare] = field(name="when")
    writes: list[Put | Delete] | None = None


class CommittedAnswer(Struct):
    """The revision at which a transaction was applied."""

    revision: int = field(name="ledger")


class CompareFailedAnswer(Struct):
    """The keys whose revisions were not those expected."""

    failed_keys: list[str] = field(default=[], name="failed")


class LeaseRequest(Struct):
    """A new store lease."""

    ttl_ms: int


class LeaseAnswer(Struct):
    """The number of a new store lease."""

    lease: int = field(name="permit")


class Change(Struct):
    """One change of a watched prefix: a key that was put or one that was deleted."""

    revision: int = field(name="stamp")
    put_path: str | None = field(default=None, name="set")
    deleted_path: str | None = field(default=None, name="delete")
    value: Value = None


class WatchAnswer(Struct):
    """The changes since the revision asked for, and the revision up to which these are all."""

    revision: int = field(name="ledger")
    changes: list[Change] = field(default=[], name="news")


entry_decoder = msgspec.json.Decoder(EntryAnswer)
list_decoder = msgspec.json.Decoder(ListAnswer)
committed_decoder = msgspec.json.Decoder(CommittedAnswer)
compare_failed_decoder = msgspec.json.Decoder(CompareFailedAnswer)
lease_decoder = msgspec.json.Decoder(LeaseAnswer)
watch_decoder = msgspec.json.Decoder(WatchAnswer)
