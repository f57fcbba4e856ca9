"""Errors of the store client.

`StoreError` is their base class. Callers that can go on without the store catch
`StoreUnavailableError`, and with it rate limiting and refused writes. A failed compare, a lost
lease and an expired watch are results from a working store and have to be caught separately.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Self

MAX_EXCERPT_BYTES = 200  # of an unexpected response body, in an error's text


class StoreError(Exception):
    """Any failure of a request to the store."""


class StoreUnavailableError(StoreError):
    """The store did not carry out a request, or it is not known whether it did.

    Attributes:
        outcome_unknown: whether the request may have been applied, or may still be.
        status: the HTTP status; None if there was no response or its body could not be decoded.
    """

    def __init__(
        self, reason: str, outcome_unknown: bool = False, status: int | None = None
    ) -> None:
        """Keep the reason as the error's text."""
        super().__init__(reason)
        self.outcome_unknown = outcome_unknown
        self.status = status

    @classmethod
    def from_status(cls, status: int, body: bytes | None = None) -> Self:
        """Build the error for an unexpected HTTP status, with the start of the body if given."""
        excerpt = "" if body is None else f": {body[:MAX_EXCERPT_BYTES]!r}"
        return cls(f"status {status}{excerpt}", status=status)


class StoreRateLimitedError(StoreUnavailableError):
    """The store accepts no more requests or writes in this second (HTTP status 429)."""


class WriteRefusedError(StoreUnavailableError):
    """The store refused a transaction as too large; the write limits were lowered for the next."""


class CompareFailedError(StoreError):
    """A compare-and-swap found other revisions than expected; nothing was written.

    Attributes:
        failed_keys: the keys whose revision differs, as the store lists them.
        expected_revisions: what the transaction expected of each of its keys; 0: no such key.
    """

    def __init__(self, failed_keys: list[str], expected_revisions: Mapping[str, int]) -> None:
        """List the keys that differ in the error's text."""
        super().__init__(",".join(failed_keys))
        self.failed_keys = failed_keys
        self.expected_revisions = expected_revisions


class LeaseLostError(StoreError):
    """A store lease has expired, and the store has deleted its keys.

    Attributes:
        lease: the lease's ID; None if the refused transaction named no lease.
    """

    def __init__(self, lease: int | None) -> None:
        """Leave the error's text empty."""
        super().__init__()
        self.lease = lease


class WatchExpiredError(StoreError):
    """The store no longer has all changes since a revision, so the prefix has to be listed again.

    Attributes:
        prefix: the watched prefix.
        after_revision: the revision after which changes were requested.
    """

    def __init__(self, prefix: str, after_revision: int) -> None:
        """Leave the error's text empty."""
        super().__init__()
        self.prefix = prefix
        self.after_revision = after_revision
