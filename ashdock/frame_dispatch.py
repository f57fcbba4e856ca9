"""Hands each frame that a peer sends to the component that takes frames of its type."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

from ashdock.wire.peer_messages import Frame

FrameT = TypeVar("FrameT")


class FrameDispatcher:
    """The handlers of frames, by type."""

    def __init__(self) -> None:
        """Start without handlers, so that it can be made before the mesh and what answers over it."""
        self.handlers: dict[type, Callable[[str, Any], None]] = {}

    def register(self, frame_type: type[FrameT], handler: Callable[[str, FrameT], None]) -> None:
        """Let `handler` take the frames of a type, each with its sender's label."""
        self.handlers[frame_type] = handler

    def dispatch(self, label: str, frame: Frame) -> None:
        """Hand over a frame of the peer `label`; one of a type without a handler is dropped."""
        frame_type = type(frame)
        if frame_type in self.handlers:
            self.handlers[frame_type](label, frame)
