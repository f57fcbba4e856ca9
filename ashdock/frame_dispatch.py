"""Dispatch of frames from peers to the component that handles their type."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

from ashdock.wire.peer_messages import Frame

FrameT = TypeVar("FrameT")


class FrameDispatcher:
    """Handlers of peer frames, one for each frame type."""

    def __init__(self) -> None:
        """Start without handlers.

        The mesh needs a dispatcher when it is built, and the handlers need the mesh.
        """
        self.handlers: dict[type, Callable[[str, Any], None]] = {}

    def register(self, frame_type: type[FrameT], handler: Callable[[str, FrameT], None]) -> None:
        """Set the handler of a frame type.

        Args:
            frame_type: Type of the frames; an earlier handler of this type is replaced.
            handler: Called with the sender's label and the frame.
        """
        self.handlers[frame_type] = handler

    def dispatch(self, label: str, frame: Frame) -> None:
        """Pass a frame from the peer `label` to its handler; drop it if its type has none."""
        frame_type = type(frame)
        if frame_type in self.handlers:
            self.handlers[frame_type](label, frame)
