"""Forwards the heartbeats of workers that cannot reach their shard's owner, over the mesh.

The controller that the worker reaches sends the heartbeat to the owner (frame 6) and returns the
owner's response (frame 7) to the worker.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, Protocol

from ashdock.net.http import Response
from ashdock.net.mesh import Mesh
from ashdock.wire.peer_messages import ForwardedHeartbeat, ForwardReply

MAX_BACKGROUND_TASKS = 500  # limit at which forwarded heartbeats are dropped
REPLY_TIMEOUT_S = 2.0  # half of the time for which a worker waits for its response
REQUEST_NUMBER_MASK = 0xFFFFFFFF  # frames have a 32-bit field for the request number


class HeartbeatHandler(Protocol):
    """Answers the heartbeats of workers at this controller."""

    async def checkin(self, body: bytes, forwarded: bool = False) -> Response:
        """Answer a heartbeat.

        Args:
            body: Body of the worker's request.
            forwarded: Whether another controller forwarded it.
        """
        ...


class ForwarderContext(Protocol):
    """What the forwarder uses of its controller.

    Attributes:
        mesh: Links to the other controllers.
        background: Background tasks of the controller that have not ended.
    """

    mesh: Mesh
    background: set[asyncio.Task[Any]]

    @property
    def front(self) -> HeartbeatHandler:
        """Handler of the heartbeats that are forwarded to this controller."""
        ...

    def spawn(self, job: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine as a background task of the controller."""
        ...


class HeartbeatForwarder:
    """Forwards heartbeats to shard owners, and answers those forwarded to this controller.

    Attributes:
        pending_replies: Futures of the owners' replies, by request number.
    """

    def __init__(self, context: ForwarderContext) -> None:
        """Start without pending requests."""
        self.context = context
        self.pending_replies: dict[int, asyncio.Future[ForwardReply]] = {}
        self.last_request_number = 0

    async def forward(self, label: str, body: bytes) -> ForwardReply | None:
        """Send a heartbeat to the shard's owner and wait for its reply.

        Args:
            label: Label of the owner.
            body: Body of the worker's request, unchanged.

        Returns:
            The reply; None if the frame could not be sent or no reply came in time.
        """
        self.last_request_number = (self.last_request_number + 1) & REQUEST_NUMBER_MASK
        number = self.last_request_number
        reply: asyncio.Future[ForwardReply] = asyncio.get_running_loop().create_future()
        self.pending_replies[number] = reply
        try:
            if not self.context.mesh.send(label, ForwardedHeartbeat(number, body)):
                return None
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                return await reply
        except TimeoutError:
            return None
        finally:
            self.pending_replies.pop(number, None)

    def reply_received(self, frame: ForwardReply) -> None:
        """Pass an owner's reply to the call of `forward` that waits for it, if one still does."""
        reply = self.pending_replies.pop(frame.number, None)
        if reply and not reply.done():
            reply.set_result(frame)

    def request_received(self, label: str, frame: ForwardedHeartbeat) -> None:
        """Answer a heartbeat forwarded by the controller `label`.

        It is dropped while `MAX_BACKGROUND_TASKS` background tasks run here.
        """
        if len(self.context.background) < MAX_BACKGROUND_TASKS:
            self.context.spawn(self._answer(label, frame))

    async def _answer(self, label: str, frame: ForwardedHeartbeat) -> None:
        response = await self.context.front.checkin(frame.body, forwarded=True)
        self.context.mesh.send(label, ForwardReply(frame.number, response.status, response.body))
