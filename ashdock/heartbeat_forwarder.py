"""Forwards heartbeats of workers that can't reach their shard's owner, over the mesh.

The controller that the worker reaches sends the heartbeat to the owner (frame 6) and hands the owner's answer (frame 7) to
the worker.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, Protocol

from ashdock.net.http import Response
from ashdock.net.mesh import Mesh
from ashdock.wire.peer_messages import ForwardedHeartbeat, ForwardReply

MAX_BACKGROUND_TASKS = 500  # of this controller; beyond that forwarded heartbeats are dropped
REPLY_TIMEOUT_S = 2.0  # half of what a worker waits for its answer
REQUEST_NUMBER_MASK = 0xFFFFFFFF  # the frames have 32 bits for the number


class HeartbeatHandler(Protocol):
    """Answers workers at this controller."""

    async def checkin(self, body: bytes, relayed: bool = False) -> Response:
        """Answers a heartbeat; `relayed`: another controller has forwarded it."""
        ...


class ForwarderContext(Protocol):
    """What the forwarder uses of its controller."""

    mesh: Mesh
    background: set[asyncio.Task[Any]]

    @property
    def front(self) -> HeartbeatHandler:
        """Who answers forwarded heartbeats here."""
        ...

    def spawn(self, job: Coroutine[Any, Any, Any]) -> None:
        """Runs a coroutine as a background task of the controller."""
        ...


class HeartbeatForwarder:
    """Both ends of forwarding: requests sent to owners, and requests from other controllers."""

    def __init__(self, context: ForwarderContext) -> None:
        """Starts with no request outstanding."""
        self.context = context
        self.pending: dict[int, asyncio.Future[ForwardReply]] = {}  # by request number
        self.last_number = 0

    async def forward(self, label: str, body: bytes) -> ForwardReply | None:
        """Sends a heartbeat to the shard's owner; None if no reply came in time.

        Args:
            label: the owner.
            body: the worker's request, as it came.
        """
        self.last_number = (self.last_number + 1) & REQUEST_NUMBER_MASK
        number = self.last_number
        reply: asyncio.Future[ForwardReply] = asyncio.get_running_loop().create_future()
        self.pending[number] = reply
        try:
            if not self.context.mesh.send(label, ForwardedHeartbeat(number, body)):
                return None
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                return await reply
        except TimeoutError:
            return None
        finally:
            self.pending.pop(number, None)

    def reply_received(self, frame: ForwardReply) -> None:
        """Hands an owner's reply to the `forward` that waits for it, if one still does."""
        reply = self.pending.pop(frame.number, None)
        if reply and not reply.done():
            reply.set_result(frame)

    def request_received(self, label: str, frame: ForwardedHeartbeat) -> None:
        """Answers a heartbeat forwarded by the controller `label`, unless this one is overloaded."""
        if len(self.context.background) < MAX_BACKGROUND_TASKS:
            self.context.spawn(self._answer(label, frame))

    async def _answer(self, label: str, frame: ForwardedHeartbeat) -> None:
        answer = await self.context.front.checkin(frame.body, relayed=True)
        self.context.mesh.send(label, ForwardReply(frame.number, answer.status, answer.body))
