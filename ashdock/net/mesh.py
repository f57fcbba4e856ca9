"""Links between controllers.

Each pair of controllers has two links, one for each direction. A controller sends on the outbound
links that it opens and receives on the inbound links that its peers open.
"""

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

MAX_UNSENT_BYTES = 256 * 1024  # per peer; no frame is sent while more is buffered
LISTEN_BACKLOG = 32  # connections that wait to be accepted
# Inbound links allowed per controller; old links may linger besides the current one.
LINKS_PER_CONTROLLER = 4
READ_BYTES = 1024  # nothing is expected on an outbound link

# Durations in heartbeat intervals.
CONNECT_TIMEOUT_INTERVALS = 4
LINK_CHECK_INTERVALS = 8  # between checks of an outbound link for unsent bytes, which end it
MAX_SILENCE_INTERVALS = 20  # an inbound link that is silent for longer is dead or half open
MAX_RETRY_INTERVALS = 4  # limit of the exponential backoff between attempts to connect


class PeerAddress(NamedTuple):
    """Address on which another controller accepts links."""

    label: str
    host: str
    port: int


class Peer:
    """Another controller, as observed over the links.

    Attributes:
        heartbeat_lag: Average gap between its heartbeats.
        label: Its label.
        host: Host on which it accepts links.
        port: Port on which it accepts links.
        writer: The outbound link, or None if there is none.
        heartbeat: Its latest heartbeat, or None if none has been received.
        last_seen_at: Monotonic time of the last frame from it; 0 if there was none.
    """

    def __init__(self, address: PeerAddress, heartbeat_interval_s: float) -> None:
        """Create a peer without a link; `heartbeat_interval_s` is the initial average gap."""
        self.heartbeat_lag = HeartbeatLag(heartbeat_interval_s)
        self.label = address.label
        self.host = address.host
        self.port = address.port
        self.writer: asyncio.StreamWriter | None = None
        self.heartbeat: PeerHeartbeat | None = None
        self.last_seen_at = 0.0

    def seen_within(self, seconds: float) -> bool:
        """Whether a frame was received in the last `seconds`, and a heartbeat at any time."""
        return self.heartbeat is not None and time.monotonic() - self.last_seen_at < seconds


class Mesh:
    """The links between this controller and all others.

    Attributes:
        peers: The other controllers, by label.
        inbound_links: Open inbound links, with the label of the controller that opened each, or ""
            until its `Hello` is received.
    """

    def __init__(
        self,
        label: str,
        addresses: Sequence[PeerAddress],
        on_frame: Callable[[str, Frame], None],
        heartbeat_interval_s: float,
        on_link: Callable[[str], None] = lambda _label: None,
    ) -> None:
        """Create the mesh without links; `start` opens them.

        Args:
            label: Label of this controller.
            addresses: Addresses of the other controllers.
            on_frame: Called with the sender's label and each received frame except `Hello`.
            heartbeat_interval_s: Interval between two heartbeats of a controller.
            on_link: Called with the label of a controller when it has identified itself on a new
                inbound link, which replaces its earlier one.
        """
        self.label = label
        self.peers = {address.label: Peer(address, heartbeat_interval_s) for address in addresses}
        self.on_frame = on_frame
        self.on_link = on_link
        self.heartbeat_interval_s = heartbeat_interval_s
        self.server: asyncio.Server | None = None
        self.tasks: list[asyncio.Task[None]] = []
        self.inbound_links: dict[asyncio.StreamWriter, str] = {}

    async def start(self, host: str, port: int) -> None:
        """Accept inbound links and keep an outbound link open to each peer.

        Raises:
            OSError: The server cannot listen on the address.
        """
        self.server = await asyncio.start_server(self._accept, host, port, backlog=LISTEN_BACKLOG)
        self.tasks = [asyncio.create_task(self._keep_linked(peer)) for peer in self.peers.values()]

    async def stop(self) -> None:
        """Close all links immediately and discard unsent frames."""
        for task in self.tasks:
            task.cancel()
        if self.server:
            self.server.close()
        for writer in [
            *self.inbound_links,
            *(peer.writer for peer in self.peers.values() if peer.writer),
        ]:
            writer.transport.abort()

    def send(self, label: str, frame: Frame) -> bool:
        """Send a frame to a peer.

        Returns:
            False if the peer is unknown or not linked, if its link has more than `MAX_UNSENT_BYTES`
            unsent, or if the frame cannot be packed.
        """
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
        """Whether the peer is known and `Peer.seen_within` holds for it."""
        peer = self.peers.get(label)
        return peer is not None and peer.seen_within(seconds)

    def other_live_peer(self, label: str, seconds: float) -> str | None:
        """Return the lowest label of a peer that was seen in the last `seconds`, except `label`."""
        return next(
            (
                other_label
                for other_label, peer in sorted(self.peers.items())
                if other_label != label and peer.seen_within(seconds)
            ),
            None,
        )

    def broadcast(self, frame: Frame) -> None:
        """Send a frame to all peers, except those for which `send` returns False."""
        for label in self.peers:
            self.send(label, frame)

    def broadcast_without_gaps(self, frame: Frame) -> None:
        """Send a frame to all linked peers, in order and without omissions.

        A link on which the frame cannot be sent is closed, so that the peer learns from the end of
        the link that it may have missed frames.
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
        """Connect to a peer, and reconnect with backoff whenever the link ends."""
        min_retry_s = self.heartbeat_interval_s / 2
        retry_s = min_retry_s
        while True:
            try:
                async with asyncio.timeout(self.heartbeat_interval_s * CONNECT_TIMEOUT_INTERVALS):
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
                pass  # retried after the delay
            await asyncio.sleep(retry_s)
            retry_s = min(retry_s * 2, self.heartbeat_interval_s * MAX_RETRY_INTERVALS)

    async def _wait_for_link_end(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Wait until the peer closes the link, or sent bytes are not transmitted any more.

        The peer sends nothing on an outbound link, so a read only detects its end.
        """
        while True:
            try:
                async with asyncio.timeout(self.heartbeat_interval_s * LINK_CHECK_INTERVALS):
                    if not await reader.read(READ_BYTES):
                        return
            except TimeoutError:
                if writer.transport.get_write_buffer_size() > 0:
                    return

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self.inbound_links) >= LINKS_PER_CONTROLLER * (len(self.peers) + 1):
            writer.close()
            return
        self.inbound_links[writer] = ""
        try:
            await self._receive(reader, writer)
        except (OSError, EOFError, TimeoutError):
            pass  # the peer ended, was silent for too long, or will connect again
        finally:
            self.inbound_links.pop(writer, None)
            writer.close()

    async def _receive(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Deliver the frames of an inbound link until it ends or is replaced.

        An invalid frame, or a sender that is not a peer, ends the link as well.
        """
        label = ""
        try:
            while True:
                async with asyncio.timeout(self.heartbeat_interval_s * MAX_SILENCE_INTERVALS):
                    kind, body_bytes = frames.unpack_header(
                        await reader.readexactly(frames.HEADER.size)
                    )
                    frame = frames.unpack(kind, await reader.readexactly(body_bytes))
                if isinstance(frame, Hello):
                    label = frame.label
                    self._replace_link(writer, label)
                    continue
                if writer not in self.inbound_links:
                    return  # replaced while this frame was in transit
                peer = self.peers.get(label)
                if peer is None:
                    self._log_link_closed(label, "not a controller of this cluster")
                    return
                peer.last_seen_at = time.monotonic()
                if isinstance(frame, PeerHeartbeat):
                    peer.heartbeat = frame
                    peer.heartbeat_lag.record_heartbeat(peer.last_seen_at)
                self.on_frame(label, frame)
        except FrameError as error:
            self._log_link_closed(label, str(error))

    @staticmethod
    def _log_link_closed(label: str, reason: str) -> None:
        log.info("peer link closed: peer=%s reason=%s", label or "unknown", reason)

    def _replace_link(self, link: asyncio.StreamWriter, label: str) -> None:
        """Accept frames of a controller only on its newest link.

        An older link may still deliver frames of an earlier process of the controller, which must
        not overwrite the status and the heartbeats of the current one.
        """
        for old_link in [
            old_link for old_link, sender in self.inbound_links.items() if sender == label
        ]:
            del self.inbound_links[old_link]
            old_link.transport.abort()
        self.inbound_links[link] = label
        self.on_link(label)
