"""The mesh between controllers: one link out to each of the others, frames in on the links they make."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable

from ashdock.fairness.load_shedder import HeartbeatLag
from ashdock.wire import frames
from ashdock.wire.frame_errors import FrameError
from ashdock.wire.peer_messages import Frame, Hello, PeerHeartbeat

log = logging.getLogger("ashdock.mesh")

BACKLOG = 256 * 1024  # bytes unsent to one peer beyond which frames to it are dropped


class Peer:
    def __init__(self, label: str, host: str, port: int, beat_s: float) -> None:
        self.heartbeat_lag = HeartbeatLag(beat_s)
        self.label = label
        self.host = host
        self.port = port
        self.writer: asyncio.StreamWriter | None = None
        self.beat: PeerHeartbeat | None = None
        self.beat_at = 0.0  # when we last heard from it

    def heard_within(self, seconds: float) -> bool:
        return self.beat is not None and time.monotonic() - self.beat_at < seconds


class Mesh:
    def __init__(
        self,
        label: str,
        peers: list[tuple[str, str, int]],
        on_frame: Callable[[str, Frame], None],
        beat_s: float,
        on_link: Callable[[str], None] = lambda label: None,
    ) -> None:
        self.label = label
        self.peers = {name: Peer(name, host, port, beat_s) for name, host, port in peers}
        self.on_frame = on_frame
        self.on_link = (
            on_link  # another link of a controller to us has taken the place of the one before
        )
        self.beat_s = beat_s
        self.server: asyncio.Server | None = None
        self.tasks: list[asyncio.Task[None]] = []
        self.links: dict[asyncio.StreamWriter, str] = {}  # made by the others: who said hello

    async def start(self, host: str, port: int) -> None:
        self.server = await asyncio.start_server(self._accept, host, port, backlog=32)
        self.tasks = [asyncio.create_task(self._dial(peer)) for peer in self.peers.values()]

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        if self.server:
            self.server.close()
        for writer in [*self.links, *(peer.writer for peer in self.peers.values() if peer.writer)]:
            writer.transport.abort()

    def send(self, label: str, frame: Frame) -> bool:
        peer = self.peers.get(label)
        if peer is None or peer.writer is None or peer.writer.is_closing():
            return False
        if peer.writer.transport.get_write_buffer_size() > BACKLOG:
            return False
        try:
            peer.writer.write(frames.pack(frame))
        except FrameError as why:
            log.error("a %s for %s is not sent: %s", type(frame).__name__, label, why)
            return False
        return True

    def hears(self, label: str, seconds: float) -> bool:
        peer = self.peers.get(label)
        return peer is not None and peer.heard_within(seconds)

    def other_than(self, label: str, seconds: float) -> str | None:
        """Another controller that is heard."""
        return next(
            (
                name
                for name, peer in sorted(self.peers.items())
                if name != label and peer.heard_within(seconds)
            ),
            None,
        )

    def broadcast(self, frame: Frame) -> None:
        for label in self.peers:
            self.send(label, frame)

    def tell(self, frame: Frame) -> None:
        """To all who have a link now, in order and without a gap: one on which it cannot go out is given up, so that its end shows there."""
        for label, peer in self.peers.items():
            if not self.send(label, frame) and peer.writer is not None:
                log.info(
                    "the link to %s is given up: a %s could not be sent",
                    label,
                    type(frame).__name__,
                )
                peer.writer.transport.abort()

    async def _dial(self, peer: Peer) -> None:
        pause = self.beat_s / 2
        while True:
            try:
                async with asyncio.timeout(self.beat_s * 4):
                    reader, writer = await asyncio.open_connection(peer.host, peer.port)
                writer.write(frames.pack(Hello(self.label)))
                peer.writer = writer
                pause = self.beat_s / 2
                try:
                    # Nothing comes back on this link; its end shows here. A link on which nothing
                    # gets through any more is given up once the peer has been silent for long.
                    while True:
                        try:
                            async with asyncio.timeout(self.beat_s * 8):
                                if not await reader.read(1024):
                                    break
                        except TimeoutError:
                            if writer.transport.get_write_buffer_size() > 0:
                                break
                finally:
                    peer.writer = None
                    writer.transport.abort()
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(pause)
            pause = min(pause * 2, self.beat_s * 4)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self.links) >= 4 * len(self.peers) + 4:
            writer.close()
            return
        self.links[writer] = label = ""
        try:
            while True:
                # The others send beats all the time: silence means a dead or half-open link.
                async with asyncio.timeout(self.beat_s * 20):
                    kind, length = frames.unpack_header(
                        await reader.readexactly(frames.HEADER.size)
                    )
                    frame = frames.unpack(kind, await reader.readexactly(length))
                if isinstance(frame, Hello):
                    label = frame.label
                    self._replace(writer, label)
                    continue
                if writer not in self.links:
                    break  # replaced while this frame was on its way
                peer = self.peers.get(label)
                if peer is None:
                    raise FrameError(f"from an unknown controller {label!r}")
                peer.beat_at = time.monotonic()
                if isinstance(frame, PeerHeartbeat):
                    peer.beat = frame
                    peer.heartbeat_lag.beat(peer.beat_at)
                self.on_frame(label, frame)
        except FrameError as why:
            log.info("closed a mesh link of %s: %s", label or "nobody known", why)
        except (OSError, EOFError, TimeoutError):
            pass
        finally:
            self.links.pop(writer, None)
            writer.close()

    def _replace(self, link: asyncio.StreamWriter, label: str) -> None:
        """A controller speaks over one link. What a process before it sent and the network held back comes over an older one, after the
        newer one's hello: pictures and beats of the dead stood in the place of those of the living."""
        for other in [other for other, of in self.links.items() if of == label]:
            del self.links[other]
            other.transport.abort()
        self.links[link] = label
        self.on_link(label)
