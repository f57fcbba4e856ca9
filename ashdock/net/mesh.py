"""Links between controllers: one out to each peer for what is sent, one in from each for what comes."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Sequence
from typing import NamedTuple

from ashdock.fairness.load_shedder import HeartbeatLag
from ashdock.wire import frames
from ashdock.wire.frame_errors import FrameError
from ashdock.wire.peer_messages import Frame, Hello, PeerHeartbeat

log = logging.getLogger("ashdock.mesh")

MAX_UNSENT_BYTES = 256 * 1024  # to one peer; frames beyond it are not sent
LISTEN_BACKLOG = 32  # connections that wait to be accepted
LINKS_PER_CONTROLLER = 4  # links accepted at a time: old ones may linger beside the one in use
READ_BYTES = 1024  # nothing is expected on a link out

# Times in intervals between two heartbeats of a controller.
CONNECT_TIMEOUT = 4
LINK_CHECK = 8  # a link out is checked this often; one with unsent bytes then is given up
MAX_SILENCE = 20  # a link in on which nothing came for so long is dead or half open
MAX_RETRY = 4  # the pause between attempts to connect is doubled up to this


class PeerAddress(NamedTuple):
    """Where another controller listens for links."""

    label: str
    host: str
    port: int


class Peer:
    """Another controller, as known over the links.

    Attributes:
        writer: the link out, while there is one.
        heartbeat: the last that it sent.
        last_seen_at: monotonic time of the last frame from it.
        heartbeat_lag: how far apart its heartbeats are.
    """

    def __init__(self, address: PeerAddress, heartbeat_interval_s: float) -> None:
        """Start without a link."""
        self.heartbeat_lag = HeartbeatLag(heartbeat_interval_s)
        self.label = address.label
        self.host = address.host
        self.port = address.port
        self.writer: asyncio.StreamWriter | None = None
        self.heartbeat: PeerHeartbeat | None = None
        self.last_seen_at = 0.0

    def seen_within(self, seconds: float) -> bool:
        """Whether a frame came from it in the last seconds, and a heartbeat ever."""
        return self.heartbeat is not None and time.monotonic() - self.last_seen_at < seconds


class Mesh:
    """The links of this controller to and from all others.

    Attributes:
        peers: the other controllers, by label.
        links: links in, with the label of the controller that opened each; empty before its hello.
    """

    def __init__(
        self,
        label: str,
        addresses: Sequence[PeerAddress],
        on_frame: Callable[[str, Frame], None],
        heartbeat_interval_s: float,
        on_link: Callable[[str], None] = lambda _label: None,
    ) -> None:
        """Open no link yet: see `start`.

        Args:
            label: of this controller.
            addresses: of the other controllers.
            on_frame: called with the sender's label and each frame that comes.
            heartbeat_interval_s: between two heartbeats of any controller.
            on_link: called with a controller's label when a new link of it replaces the one before.
        """
        self.label = label
        self.peers = {address.label: Peer(address, heartbeat_interval_s) for address in addresses}
        self.on_frame = on_frame
        self.on_link = on_link
        self.heartbeat_interval_s = heartbeat_interval_s
        self.server: asyncio.Server | None = None
        self.tasks: list[asyncio.Task[None]] = []
        self.links: dict[asyncio.StreamWriter, str] = {}

    async def start(self, host: str, port: int) -> None:
        """Listen for links, and keep one open to each peer.

        Raises:
            OSError: the address cannot be listened on.
        """
        self.server = await asyncio.start_server(self._accept, host, port, backlog=LISTEN_BACKLOG)
        self.tasks = [asyncio.create_task(self._keep_linked(peer)) for peer in self.peers.values()]

    async def stop(self) -> None:
        """Close all links at once; what is unsent is lost."""
        for task in self.tasks:
            task.cancel()
        if self.server:
            self.server.close()
        for writer in [*self.links, *(peer.writer for peer in self.peers.values() if peer.writer)]:
            writer.transport.abort()

    def send(self, label: str, frame: Frame) -> bool:
        """Send a frame to a peer; False if there is no link, or too much unsent on it."""
        peer = self.peers.get(label)
        if peer is None or peer.writer is None or peer.writer.is_closing():
            return False
        if peer.writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            return False
        try:
            peer.writer.write(frames.pack(frame))
        except FrameError:
            log.exception("peer frame not sent: frame=%s peer=%s", type(frame).__name__, label)
            return False
        return True

    def has_seen(self, label: str, seconds: float) -> bool:
        """Whether a peer was seen in the last seconds."""
        peer = self.peers.get(label)
        return peer is not None and peer.seen_within(seconds)

    def other_live_peer(self, label: str, seconds: float) -> str | None:
        """The first peer by label, other than the one given, that was seen in the last seconds."""
        return next(
            (
                name
                for name, peer in sorted(self.peers.items())
                if name != label and peer.seen_within(seconds)
            ),
            None,
        )

    def broadcast(self, frame: Frame) -> None:
        """Send a frame to all peers; those that it cannot be sent to miss it."""
        for label in self.peers:
            self.send(label, frame)

    def broadcast_without_gaps(self, frame: Frame) -> None:
        """Send a frame to all linked peers, in order and none left out.

        A link on which it cannot be sent is closed, so that the peer notices by the end of the link
        that it may have missed something.
        """
        for label, peer in self.peers.items():
            if not self.send(label, frame) and peer.writer is not None:
                log.info(
                    "peer link closed, frame could not be sent: peer=%s frame=%s",
                    label,
                    type(frame).__name__,
                )
                peer.writer.transport.abort()

    async def _keep_linked(self, peer: Peer) -> None:
        """Connect to a peer, and again whenever the link ends."""
        min_retry_s = self.heartbeat_interval_s / 2
        retry_s = min_retry_s
        while True:
            try:
                async with asyncio.timeout(self.heartbeat_interval_s * CONNECT_TIMEOUT):
                    reader, writer = await asyncio.open_connection(peer.host, peer.port)
                writer.write(frames.pack(Hello(self.label)))
                peer.writer = writer
                retry_s = min_retry_s
                try:
                    await self._wait_for_link_end(reader, writer)
                finally:
                    peer.writer = None
                    writer.transport.abort()
            except (OSError, TimeoutError):
                pass  # tried again
            await asyncio.sleep(retry_s)
            retry_s = min(retry_s * 2, self.heartbeat_interval_s * MAX_RETRY)

    async def _wait_for_link_end(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Wait until the peer closes the link, or what is sent no longer gets through.

        Nothing comes back on a link out: reading shows its end alone.
        """
        while True:
            try:
                async with asyncio.timeout(self.heartbeat_interval_s * LINK_CHECK):
                    if not await reader.read(READ_BYTES):
                        return
            except TimeoutError:
                if writer.transport.get_write_buffer_size() > 0:
                    return

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self.links) >= LINKS_PER_CONTROLLER * (len(self.peers) + 1):
            writer.close()
            return
        self.links[writer] = ""
        try:
            await self._receive(reader, writer)
        except (OSError, EOFError, TimeoutError):
            pass  # the peer has ended, or connects again
        finally:
            self.links.pop(writer, None)
            writer.close()

    async def _receive(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Pass on the frames of a link in until it ends, is replaced, or sends what is no frame."""
        label = ""
        try:
            while True:
                async with asyncio.timeout(self.heartbeat_interval_s * MAX_SILENCE):
                    kind, length = frames.unpack_header(
                        await reader.readexactly(frames.HEADER.size)
                    )
                    frame = frames.unpack(kind, await reader.readexactly(length))
                if isinstance(frame, Hello):
                    label = frame.label
                    self._replace_link(writer, label)
                    continue
                if writer not in self.links:
                    return  # replaced while this frame was on its way
                peer = self.peers.get(label)
                if peer is None:
                    self._log_closed(label, "not a controller of this cluster")
                    return
                peer.last_seen_at = time.monotonic()
                if isinstance(frame, PeerHeartbeat):
                    peer.heartbeat = frame
                    peer.heartbeat_lag.record_heartbeat(peer.last_seen_at)
                self.on_frame(label, frame)
        except FrameError as error:
            self._log_closed(label, str(error))

    @staticmethod
    def _log_closed(label: str, reason: str) -> None:
        log.info("peer link closed: peer=%s reason=%s", label or "unknown", reason)

    def _replace_link(self, link: asyncio.StreamWriter, label: str) -> None:
        """Take frames of a controller from its newest link alone.

        An older link may still deliver what an earlier process of that controller sent, which must
        not replace the status and heartbeats of the present one.
        """
        for other in [other for other, sender in self.links.items() if sender == label]:
            del self.links[other]
            other.transport.abort()
        self.links[link] = label
        self.on_link(label)
