"""Virtual time and an in-memory network, on which unchanged controllers run deterministically.

The event loop advances its clock to the next timer instead of waiting. Connections between hosts
are pairs of in-memory streams with seeded delays, so a run with the same seed repeats exactly.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import selectors
import time
from collections.abc import Awaitable, Callable
from contextvars import Context, ContextVar
from typing import Any, TypeVarTuple

WALL_CLOCK_START_S = 1_700_000_000.0  # Unix time at virtual time 0
TIMER_CALLBACKS = ("_set_result_unless_cancelled", "_on_timeout")  # of asyncio's sleep and timeout
SERIAL_NUMBERS = itertools.count()  # of connection ends and tasks, in order of creation
CallbackArguments = TypeVarTuple("CallbackArguments")
ACCEPT_BACKLOG = 128  # connections of a host that wait to be accepted
# The host at the other end of the connection that is being served.
REMOTE_HOST: ContextVar[str] = ContextVar("remote_host", default="?")


class _ClockAdvancingSelector(selectors.DefaultSelector):
    """Advances the virtual clock by the timeout instead of waiting."""

    loop: VirtualTimeLoop

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("deadlock: no timer or callback is scheduled")
        if timeout > 0:
            self.loop.clock += timeout
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop on a virtual clock, `clock`, in seconds from 0.

    Timers of tasks on the hosts in `net.max_timer_delay_s` fire late by a random delay.
    """

    net: Network | None = None

    def __init__(self) -> None:
        """Create a loop at virtual time 0."""
        selector = _ClockAdvancingSelector()
        selector.loop = self
        self.clock = 0.0
        super().__init__(selector)
        self._clock_resolution = 1e-6

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.clock

    def call_at(
        self,
        when: float,
        callback: Callable[[*CallbackArguments], object],
        *args: *CallbackArguments,
        context: Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedule a callback; a timer of a host in `net.max_timer_delay_s` fires late."""
        if (
            self.net is not None
            and self.net.max_timer_delay_s
            and callback.__name__ in TIMER_CALLBACKS
        ):
            host = HOST_BY_TASK.get(asyncio.current_task(self))
            if host in self.net.max_timer_delay_s:
                when += self.net.max_timer_delay_s[host] * self.net.rng.random()
        return super().call_at(when, callback, *args, context=context)

    def _process_events(self, event_list: list[Any]) -> None:
        pass


class _NumberedTask(asyncio.Task[Any]):
    """A task hashed by serial number, so that sets of tasks iterate in the same order each run."""

    number: int

    def __new__(cls, *_: Any, **__: Any) -> _NumberedTask:
        """Number the task before `__init__`, which adds it to a set and so hashes it."""
        task = super().__new__(cls)
        task.number = next(SERIAL_NUMBERS)
        return task

    def __hash__(self) -> int:
        return self.number


class _Transport:
    def __init__(self, end: ConnectionEnd) -> None:
        self.end = end

    def abort(self) -> None:
        self.end.reset()

    def get_write_buffer_size(self) -> int:
        return 0


class ConnectionEnd:
    """One end of a connection, with the interface of StreamWriter; `peer` reads what it writes."""

    def __init__(self, net: Network, local_host: str, remote_host: str) -> None:
        """Create an end on `local_host`; the caller sets `peer` before the first write."""
        self.net = net
        self.number = next(SERIAL_NUMBERS)
        self.local_host = local_host
        self.remote_host = remote_host
        self.reader = asyncio.StreamReader()
        self.peer: ConnectionEnd | None = None
        self.closed = False
        self.transport = _Transport(self)
        self.last_arrival_at = 0.0
        # Whether it counts as a socket of its process. A connection that is not accepted yet waits
        # in the kernel and does not count.
        self.socket_counted = False

    def __hash__(self) -> int:
        """Hash by serial number, so that sets of ends iterate in the same order each run."""
        return self.number

    def count_socket(self) -> None:
        """Count this end as an open socket of its host until it is closed."""
        self.socket_counted = True
        self.net.sockets[self.local_host] = self.net.sockets.get(self.local_host, 0) + 1
        self.net.max_sockets[self.local_host] = max(
            self.net.max_sockets.get(self.local_host, 0), self.net.sockets[self.local_host]
        )

    def write(self, data: bytes) -> None:
        """Send data to the peer; ignored if this end is closed."""
        if not self.closed and data:
            if self.net.on_write is not None:
                self.net.on_write(
                    asyncio.get_running_loop().time(),
                    self.local_host,
                    self.remote_host,
                    bytes(data),
                )
            self._deliver(lambda peer: peer.reader.feed_data(bytes(data)))

    def _deliver(self, deliver_to: Callable[[ConnectionEnd], None]) -> None:
        loop = asyncio.get_running_loop()
        peer = self.peer
        assert peer
        # Deliveries keep their order and are retried while the two hosts are partitioned.
        arrives_at = max(
            self.last_arrival_at + 1e-6,
            loop.time() + self.net.delay(self.local_host, self.remote_host),
        )
        self.last_arrival_at = arrives_at

        def arrive() -> None:
            if self.net.is_partitioned(self.local_host, self.remote_host):
                loop.call_later(0.2, arrive)
                self.last_arrival_at = max(self.last_arrival_at, loop.time() + 0.2)
                return
            if not peer.reader.at_eof() and not getattr(peer.reader, "_eof", False):
                deliver_to(peer)

        loop.call_at(arrives_at, arrive)

    async def drain(self) -> None:
        """Yield to the event loop once.

        Raises:
            ConnectionResetError: This end is closed.
        """
        await asyncio.sleep(0)
        if self.closed:
            raise ConnectionResetError

    def close(self) -> None:
        """Close this end; both readers reach end of file."""
        if not self.closed:
            self.closed = True
            if self.socket_counted:
                self.net.sockets[self.local_host] -= 1
            self._deliver(lambda peer: peer.reader.feed_eof())
            if not getattr(self.reader, "_eof", False):
                self.reader.feed_eof()

    def reset(self) -> None:
        """Close the connection as a reset does; in this network the same as `close`."""
        self.close()

    def is_closing(self) -> bool:
        """Return whether this end is closed."""
        return self.closed

    def get_extra_info(self, name: str) -> None:
        """Return None: these connections have no socket to describe."""


class _VirtualServer:
    def __init__(self, net: Network, address: str) -> None:
        self.net = net
        self.address = address

    def close(self) -> None:
        self.net.servers.pop(self.address, None)


class Network:
    """A network of hosts, each named by its IP address.

    The host of the running code is the one that its task was created for (`HOST_BY_TASK`).
    """

    def __init__(self, seed: int) -> None:
        """Create a network without faults, whose delays are drawn from the seed."""
        self.rng = random.Random(seed)
        # By address (host:port): the host and the function that serves a connection.
        self.servers: dict[str, tuple[str, Callable[..., Awaitable[None]]]] = {}
        self.connection_ends: dict[str, list[ConnectionEnd]] = {}  # by host
        self.partitions: set[frozenset[str]] = set()  # pairs of hosts that cannot communicate
        # By host. The keys are ordered, so that the tasks are cancelled in the same order each run.
        self.tasks: dict[str, dict[asyncio.Task[Any], None]] = {}
        self.sockets: dict[str, int] = {}  # by host: open sockets
        self.max_sockets: dict[str, int] = {}  # by host: the most that were open at once
        self.socket_limits: dict[str, int] = {}  # by host: connections fail at this many sockets
        self.unaccepted: dict[str, int] = {}  # by host: connections that wait to be accepted
        self.refused_connections = 0  # because of a socket limit or a full backlog
        self.max_timer_delay_s: dict[str, float] = {}  # by host: how late its timers fire, at most
        self.max_extra_delay_s = 0.0  # added to the delay of each delivery, at most
        # Called with the virtual time, sender, receiver and bytes of each write to a connection.
        self.on_write: Callable[[float, str, str, bytes], None] | None = None
        # The host that a task is being created for; empty if for the host of the running task.
        self.spawning_host = ""

    def delay(self, a: str, b: str) -> float:
        """Draw the delay of a delivery between two hosts, in seconds."""
        return 0.001 + self.rng.random() * (0.002 + self.max_extra_delay_s)

    def is_partitioned(self, a: str, b: str) -> bool:
        """Return whether two hosts cannot communicate."""
        return frozenset((a, b)) in self.partitions

    def partition(self, a: str, *others: str) -> None:
        """Cut a host off from others, in both directions, until `heal`."""
        self.partitions |= {frozenset((a, b)) for b in others}

    def heal(self) -> None:
        """End all partitions."""
        self.partitions.clear()

    async def open_connection(self, host: str, port: int) -> tuple[asyncio.StreamReader, Any]:
        """Connect from the running task's host; replaces `asyncio.open_connection`.

        Raises:
            ConnectionRefusedError: Nothing listens there, a socket limit of either host is reached,
                or the backlog of the server is full.
        """
        local_host = HOST_BY_TASK.get(asyncio.current_task(), "?")
        address = f"{host}:{port}"
        # No answer behind a partition: the caller waits until the partition or its timeout ends.
        while self.is_partitioned(local_host, host):
            await asyncio.sleep(0.2)
        await asyncio.sleep(self.delay(local_host, host))
        if address not in self.servers:
            raise ConnectionRefusedError
        at_socket_limit = any(
            self.sockets.get(end_host, 0) >= self.socket_limits.get(end_host, 1 << 30)
            for end_host in (local_host, host)
        )
        if at_socket_limit or self.unaccepted.get(host, 0) >= ACCEPT_BACKLOG:
            self.refused_connections += 1
            raise ConnectionRefusedError
        _, serve = self.servers[address]
        near, far = ConnectionEnd(self, local_host, host), ConnectionEnd(self, host, local_host)
        near.peer, far.peer = far, near
        for end_host, end in ((local_host, near), (host, far)):
            ends = self.connection_ends.setdefault(end_host, [])
            ends.append(end)
            if len(ends) > 64 and len(ends) > 2 * self.sockets.get(end_host, 0):
                self.connection_ends[end_host] = [one for one in ends if not one.closed]
        near.count_socket()
        self.unaccepted[host] = self.unaccepted.get(host, 0) + 1
        spawn(self, host, self._accepted(serve, far))
        return near.reader, near

    async def _accepted(self, serve: Callable[..., Awaitable[None]], far: ConnectionEnd) -> None:
        self.unaccepted[far.local_host] = max(0, self.unaccepted.get(far.local_host, 0) - 1)
        if not far.closed:
            far.count_socket()
            REMOTE_HOST.set(far.remote_host)
            await serve(far.reader, far)

    async def start_server(
        self, serve: Callable[..., Awaitable[None]], host: str, port: int, **_: Any
    ) -> _VirtualServer:
        """Listen on an address; replaces `asyncio.start_server`."""
        address = f"{host}:{port}"
        self.servers[address] = (host, serve)
        return _VirtualServer(self, address)

    def track_task(self, host: str, task: asyncio.Task[Any]) -> None:
        """Record that a task runs on a host, until it is done."""
        self.tasks.setdefault(host, {})[task] = None
        task.add_done_callback(
            lambda done: (self.tasks.get(host, {}).pop(done, None), HOST_BY_TASK.pop(done, None))
        )

    def kill(self, host: str) -> None:
        """End the process of a host without warning: cancel its tasks and reset its connections."""
        for address in [address for address, (name, _) in self.servers.items() if name == host]:
            del self.servers[address]
        self.unaccepted.pop(host, None)
        for task in list(self.tasks.pop(host, ())):
            task.cancel()
        for end in self.connection_ends.pop(host, []):
            end.reset()


HOST_BY_TASK: dict[Any, str] = {}  # the host that each task runs on


def spawn(net: Network, host: str, coroutine: Any) -> asyncio.Task[Any]:
    """Run a coroutine in a task on a host, which ends when the host is killed."""
    net.spawning_host = host
    task = asyncio.get_running_loop().create_task(coroutine)
    net.spawning_host = ""
    HOST_BY_TASK[task] = host
    net.track_task(host, task)
    return task


def run(main: Callable[[Network], Awaitable[Any]], seed: int, monkeypatch: Any) -> Any:
    """Run `main` on a new network in virtual time and return its result.

    Replaces asyncio's connections and servers and the clocks of `time` through `monkeypatch`.
    """
    loop = VirtualTimeLoop()
    net = loop.net = Network(seed)

    def create_numbered_task(task_loop: Any, coroutine: Any, **options: Any) -> asyncio.Task[Any]:
        parent = None
        try:
            parent = asyncio.current_task(task_loop)
        except RuntimeError:
            pass
        task: asyncio.Task[Any] = _NumberedTask(coroutine, loop=task_loop, **options)
        host = HOST_BY_TASK.get(parent)
        if host is not None:
            HOST_BY_TASK[task] = host
            net.track_task(host, task)
        return task

    loop.set_task_factory(create_numbered_task)
    monkeypatch.setattr(asyncio, "open_connection", net.open_connection)
    monkeypatch.setattr(asyncio, "start_server", net.start_server)
    monkeypatch.setattr(time, "monotonic", lambda: loop.clock)
    monkeypatch.setattr(time, "time", lambda: loop.clock + WALL_CLOCK_START_S)
    HOST_BY_TASK.clear()
    try:
        return loop.run_until_complete(main(net))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
