"""Errors that are raised when frames between controllers are packed or unpacked.

The receiver closes the link that delivers an invalid frame. A frame that cannot be packed is not
sent, and the link stays open.
"""

from __future__ import annotations


class FrameError(Exception):
    """A message that cannot be packed, or bytes that are not a valid frame of this version."""


class UnknownMessageError(FrameError):
    """The type of the object to be packed is not a message between controllers."""

    def __init__(self, message: object) -> None:
        """Include the representation of `message` in the error text."""
        super().__init__(f"no such frame: {message!r}")


class FrameTooLongError(FrameError):
    """The body to be sent, or the one that a received header announces, exceeds the maximum size.

    Attributes:
        body_bytes: Size of the body.
        max_body_bytes: Maximum size of a body.
    """

    def __init__(self, body_bytes: int, max_body_bytes: int) -> None:
        """Store the size of the body and the maximum."""
        super().__init__("too long")
        self.body_bytes = body_bytes
        self.max_body_bytes = max_body_bytes


class FrameMagicError(FrameError):
    """The header does not start with the magic bytes.

    Attributes:
        found: First bytes of the header.
        expected: The magic bytes.
    """

    def __init__(self, found: bytes, expected: bytes) -> None:
        """Store the bytes that were found and those that were expected."""
        super().__init__("not a frame of ours")
        self.found = found
        self.expected = expected


class FrameVersionError(FrameError):
    """The header states a version of the frame format other than the one of this program."""

    def __init__(self, found: int, expected: int) -> None:
        """Include both versions in the error text."""
        super().__init__(f"version {found}, expected {expected}")


class UnknownKindError(FrameError):
    """No message has the kind that is stated in the header."""

    def __init__(self, kind: int) -> None:
        """Include the kind in the error text."""
        super().__init__(f"kind {kind}")


class NotACommandError(FrameError):
    """A fenced command states a kind that is not the kind of a command of the leader."""

    def __init__(self, kind: int) -> None:
        """Include the stated kind in the error text."""
        super().__init__(f"kind {kind} under a term")


class TruncatedFrameError(FrameError):
    """The body ends before the end of a field, or of fields that are read together.

    Attributes:
        needed_bytes: Size of the field or fields.
        remaining_bytes: Bytes of the body that were not read yet.
    """

    def __init__(self, needed_bytes: int, remaining_bytes: int) -> None:
        """Store the needed and the remaining number of bytes."""
        super().__init__("cut short")
        self.needed_bytes = needed_bytes
        self.remaining_bytes = remaining_bytes


class RowCountError(FrameError):
    """A list states more rows than the body has bytes left.

    Such a list is incomplete, since each row takes at least one byte.

    Attributes:
        count: Number of rows that the list states.
        remaining_bytes: Bytes of the body that follow the number of rows.
    """

    def __init__(self, count: int, remaining_bytes: int) -> None:
        """Store the number of rows and of remaining bytes."""
        super().__init__("count beyond the frame")
        self.count = count
        self.remaining_bytes = remaining_bytes


class TextEncodingError(FrameError):
    """A string is not valid UTF-8.

    Attributes:
        encoded: Bytes of the string.
    """

    def __init__(self, encoded: bytes) -> None:
        """Store the bytes of the string."""
        super().__init__("not UTF-8")
        self.encoded = encoded


class TrailingBytesError(FrameError):
    """The body continues after the message.

    Attributes:
        remaining_bytes: Bytes after the message.
    """

    def __init__(self, remaining_bytes: int) -> None:
        """Store the number of bytes after the message."""
        super().__init__("bytes left over")
        self.remaining_bytes = remaining_bytes
