"""Errors of the store client.

`StoreError` is their base. Callers that can go on without the store catch `StoreUnavailableError`
and with it rate limiting and refused writes. A failed compare, a lost lease and an expired watch are
answers of a working store; they are not caught there.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Self

ANSWER_EXCERPT_BYTES = 200  # of an unexpected answer that goes into an error's text


class StoreError(Exception):
    """Any failure of a request to the store."""


class StoreUnavailableError(StoreError):
    """The store did not carry out a request, or it is not known whether it did.

    Attributes:
        outcome_unknown: whether the request may have been applied, or may still be.
        status: the HTTP status, where there was an answer.
    """

    def __init__(
        self, reason: str, outcome_unknown: bool = False, status: int | None = None
    ) -> None:
        """Keep the reason as the error's text."""
        super().__init__(reason)
        self.outcome_unknown = outcome_unknown
        self.status = status

    @classmethod
    def from_status(cls, status: int, answer: bytes | None = None) -> Self:
        """The error for an unexpected HTTP status, with the start of the answer where it is given."""
        excerpt = "" if answer is None else f": {answer[:ANSWER_EXCERPT_BYTES]!r}"
        return cls(f"status {status}{excerpt}", status=status)


class StoreRateLimitedError(StoreUnavailableError):
    """The store takes no more requests or writes in this second (HTTP status 429)."""


class WriteRefusedError(StoreUnavailableError):
    """The store refused a transaction as too large; the write limits are lowered for the next one."""


class CompareFailedError(StoreError):
    """A compare-and-swap found other revisions than expected; nothing was written.

    Attributes:
        failed_keys: the keys whose revision differs, as the store lists them.
        expected_revisions: what the transaction expected of each of its keys; 0: no such key.
    """

    def __init__(self, failed_keys: list[str], expected_revisions: Mapping[str, int]) -> None:
        """Take the keys that the store answered and what was expected of all keys."""
        super().__init__(",".join(failed_keys))
        self.failed_keys = failed_keys
        self.expected_revisions = expected_revisions


class LeaseLostError(StoreError):
    """A store lease has expired, and its keys are gone.

    Attributes:
        lease: the lease's number; None if a transaction was refused that named none.
    """

    def __init__(self, lease: int | None) -> None:
        """Take the number of the lease. The text stays empty, as before the field was added."""
        super().__init__()
        self.lease = lease


class WatchExpiredError(StoreError):
    """The store no longer has all changes since the revision asked for: list the prefix again.

    Attributes:
        prefix: the prefix watched.
        after_revision: the revision after which changes were asked for.
    """

    def __init__(self, prefix: str, after_revision: int) -> None:
        """Take what was watched. The text stays empty, as before the fields were added."""
        super().__init__()
        self.prefix = prefix
        self.after_revision = after_revision
