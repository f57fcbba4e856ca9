"""Errors of frames between controllers; the link that a bad frame came on is closed."""

from __future__ import annotations


class FrameError(Exception):
    """A message that cannot be packed, or bytes that are not a frame of this version."""


class UnknownMessageError(FrameError):
    """What is to be packed is no message between controllers."""

    def __init__(self, message: object) -> None:
        """Name what was given."""
        super().__init__(f"no such frame: {message!r}")


class FrameTooLongError(FrameError):
    """The body is longer than a frame may be."""

    def __init__(self, length: int, longest: int) -> None:
        """Keep the body's length and the longest allowed, in bytes."""
        super().__init__("too long")
        self.length = length
        self.longest = longest


class NotAFrameError(FrameError):
    """The bytes do not begin like a frame."""

    def __init__(self, found: bytes, expected: bytes) -> None:
        """Keep the first bytes found and expected."""
        super().__init__("not a frame of ours")
        self.found = found
        self.expected = expected


class FrameVersionError(FrameError):
    """The frame is of another version of the format."""

    def __init__(self, found: int, expected: int) -> None:
        """Name both versions."""
        super().__init__(f"version {found}, expected {expected}")


class UnknownKindError(FrameError):
    """No message has the frame's kind."""

    def __init__(self, kind: int) -> None:
        """Name the kind."""
        super().__init__(f"kind {kind}")


class NotACommandError(FrameError):
    """What stands under a term is no command of the leader."""

    def __init__(self, kind: int) -> None:
        """Name the kind."""
        super().__init__(f"kind {kind} under a term")


class TruncatedFrameError(FrameError):
    """The body ends within a field."""

    def __init__(self, needed: int, left: int) -> None:
        """Keep the field's size and what is left of the body, in bytes."""
        super().__init__("cut short")
        self.needed = needed
        self.left = left


class RowCountError(FrameError):
    """A list would have more rows than the body has bytes left."""

    def __init__(self, count: int, left: int) -> None:
        """Keep the number of rows and the bytes left."""
        super().__init__("count beyond the frame")
        self.count = count
        self.left = left


class TextEncodingError(FrameError):
    """A text is not UTF-8."""

    def __init__(self, raw: bytes) -> None:
        """Keep the bytes."""
        super().__init__("not UTF-8")
        self.raw = raw


class TrailingBytesError(FrameError):
    """The body goes on after the message."""

    def __init__(self, left: int) -> None:
        """Keep the number of bytes left."""
        super().__init__("bytes left over")
        self.left = left
