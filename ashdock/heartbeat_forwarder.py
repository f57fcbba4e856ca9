"""Reports of workers that can't reach their owner, passed on to it over the mesh."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, Protocol

from ashdock.net.http import Answer
from ashdock.net.mesh import Mesh
from ashdock.wire.peer_messages import ForwardedHeartbeat, ForwardReply

UNDER_WAY = 500  # things that may be under way here before a report passed on to us is dropped
PATIENCE_S = 2.0  # half of what a worker waits


class Front(Protocol):
    """Whoever answers workers here."""

    async def checkin(self, body: bytes, relayed: bool = False) -> Answer: ...


class ForwarderContext(Protocol):
    """What of its controller this uses, and no more."""

    mesh: Mesh
    background: set[asyncio.Task[Any]]

    @property
    def front(self) -> Front: ...

    def spawn(self, job: Coroutine[Any, Any, Any]) -> None: ...


class HeartbeatForwarder:
    def __init__(self, context: ForwarderContext) -> None:
        self.context = context
        self.waiting: dict[int, asyncio.Future[ForwardReply]] = {}
        self.number = 0

    def heard(self, label: str, frame: ForwardedHeartbeat) -> None:
        if len(self.context.background) < UNDER_WAY:
            self.context.spawn(self._answer(label, frame))

    async def _answer(self, label: str, frame: ForwardedHeartbeat) -> None:
        answer = await self.context.front.checkin(frame.body, relayed=True)
        self.context.mesh.send(label, ForwardReply(frame.number, answer.status, answer.body))

    def answered(self, frame: ForwardReply) -> None:
        future = self.waiting.pop(frame.number, None)
        if future and not future.done():
            future.set_result(frame)

    async def relay(self, label: str, body: bytes) -> ForwardReply | None:
        """Pass a worker's report on to its owner; None if nothing came back in time."""
        self.number = (self.number + 1) & 0xFFFFFFFF
        number = self.number
        future: asyncio.Future[ForwardReply] = asyncio.get_running_loop().create_future()
        self.waiting[number] = future
        try:
            if not self.context.mesh.send(label, ForwardedHeartbeat(number, body)):
                return None
            async with asyncio.timeout(PATIENCE_S):
                return await future
        except TimeoutError:
            return None
        finally:
            self.waiting.pop(number, None)
