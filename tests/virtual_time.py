"""Simulated time and an in-memory network: whole controllers run on them unchanged, the same each run."""

from __future__ import annotations

import asyncio
import itertools
import random
import selectors
import time
from collections.abc import Awaitable, Callable
from contextvars import Context, ContextVar
from typing import Any, TypeVarTuple

WALL_CLOCK_START_S = 1_700_000_000.0
TIMER_CALLBACKS = ("_set_result_unless_cancelled", "_on_timeout")  # of a sleep and of a timeout
SERIAL_NUMBERS = itertools.count()  # of connections' ends and tasks, in the order of their making
Arguments = TypeVarTuple("Arguments")  # of a callback
ACCEPT_BACKLOG = 128  # connections that wait to be accepted
REMOTE_HOST: ContextVar[str] = ContextVar(
    "caller", default="?"
)  # the host that the connection being served comes from


class _ClockAdvancingSelector(selectors.DefaultSelector):
    """Instead of waiting, time jumps."""

    loop: VirtualTimeLoop

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("nothing is left to happen")
        if timeout > 0:
            self.loop.clock += timeout
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    net: Network | None = None

    def __init__(self) -> None:
        selector = _ClockAdvancingSelector()
        selector.loop = self
        self.clock = 0.0
        super().__init__(selector)
        self._clock_resolution = 1e-6

    def time(self) -> float:
        return self.clock

    def call_at(
        self,
        when: float,
        callback: Callable[[*Arguments], object],
        *args: *Arguments,
        context: Context | None = None,
    ) -> asyncio.TimerHandle:
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
    """A task whose hash does not depend on its address, so that sets of tasks are iterated alike."""

    number: int

    def __new__(cls, *_: Any, **__: Any) -> _NumberedTask:
        """Numbered before it is made: making a task enters it into a set."""
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
    """One end of a connection: what StreamWriter offers, delivered to the other end's reader."""

    def __init__(self, net: Network, local_host: str, remote_host: str) -> None:
        self.net = net
        self.number = next(SERIAL_NUMBERS)
        self.local_host = local_host
        self.remote_host = remote_host
        self.reader = asyncio.StreamReader()
        self.peer: ConnectionEnd | None = None
        self.closed = False
        self.transport = _Transport(self)
        self.last_arrival_at = 0.0
        self.socket_counted = (
            False  # a socket of its process; one that has not been accepted yet waits in the kernel
        )

    def __hash__(self) -> int:
        """By number: a set of ends is iterated in the same order whatever their addresses are."""
        return self.number

    def count_socket(self) -> None:
        self.socket_counted = True
        self.net.sockets[self.local_host] = self.net.sockets.get(self.local_host, 0) + 1
        self.net.max_sockets[self.local_host] = max(
            self.net.max_sockets.get(self.local_host, 0), self.net.sockets[self.local_host]
        )

    def write(self, data: bytes) -> None:
        if not self.closed and data:
            if self.net.on_write is not None:
                self.net.on_write(
                    asyncio.get_running_loop().time(),
                    self.local_host,
                    self.remote_host,
                    bytes(data),
                )
            self._deliver(lambda other: other.reader.feed_data(bytes(data)))

    def _deliver(self, act: Callable[[ConnectionEnd], None]) -> None:
        loop = asyncio.get_running_loop()
        other = self.peer
        assert other
        # In order, and held back while the network between the two is cut.
        at = max(
            self.last_arrival_at + 1e-6,
            loop.time() + self.net.delay(self.local_host, self.remote_host),
        )
        self.last_arrival_at = at

        def arrive() -> None:
            if self.net.is_partitioned(self.local_host, self.remote_host):
                loop.call_later(0.2, arrive)
                self.last_arrival_at = max(self.last_arrival_at, loop.time() + 0.2)
                return
            if not other.reader.at_eof() and not getattr(other.reader, "_eof", False):
                act(other)

        loop.call_at(at, arrive)

    async def drain(self) -> None:
        await asyncio.sleep(0)
        if self.closed:
            raise ConnectionResetError

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            if self.socket_counted:
                self.net.sockets[self.local_host] -= 1
            self._deliver(lambda other: other.reader.feed_eof())
            if not getattr(self.reader, "_eof", False):
                self.reader.feed_eof()

    def reset(self) -> None:
        self.close()

    def is_closing(self) -> bool:
        return self.closed

    def get_extra_info(self, name: str) -> None:
        return None


class _VirtualServer:
    def __init__(self, net: Network, where: str) -> None:
        self.net = net
        self.where = where

    def close(self) -> None:
        self.net.servers.pop(self.where, None)


class Network:
    """Hosts are the IP parts of addresses; the host that runs now is told by a task's name."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.servers: dict[str, tuple[str, Callable[..., Awaitable[None]]]] = {}
        self.connection_ends: dict[str, list[ConnectionEnd]] = {}
        self.partitions: set[frozenset[str]] = set()
        self.tasks: dict[
            str, dict[asyncio.Task[Any], None]
        ] = {}  # in order, so that each run is alike
        self.sockets: dict[str, int] = {}  # host: how many it holds
        self.max_sockets: dict[str, int] = {}  # and at the most has held
        self.socket_limits: dict[str, int] = {}  # host: beyond which new connections fail
        self.unaccepted: dict[str, int] = {}  # host: connections that nobody has accepted yet
        self.refused_connections = 0
        self.max_timer_delay_s: dict[str, float] = {}  # host: how late its timers fire, at most
        self.max_extra_delay_s = 0.0  # seconds more that each packet takes, at most
        # Called with the simulated time, sender, receiver and bytes of each write to a connection.
        self.on_write: Callable[[float, str, str, bytes], None] | None = None
        self.spawning_host = (
            ""  # the host that a task is being made for, if not for the one that makes it
        )

    def delay(self, a: str, b: str) -> float:
        return 0.001 + self.rng.random() * (0.002 + self.max_extra_delay_s)

    def is_partitioned(self, a: str, b: str) -> bool:
        return frozenset((a, b)) in self.partitions

    def partition(self, a: str, *others: str) -> None:
        self.partitions |= {frozenset((a, b)) for b in others}

    def heal(self) -> None:
        self.partitions.clear()

    async def open_connection(self, host: str, port: int) -> tuple[asyncio.StreamReader, Any]:
        here = HOST_BY_TASK.get(asyncio.current_task(), "?")
        where = f"{host}:{port}"
        while self.is_partitioned(
            here, host
        ):  # silence, as behind a cut: the caller's patience ends it
            await asyncio.sleep(0.2)
        await asyncio.sleep(self.delay(here, host))
        if where not in self.servers:
            raise ConnectionRefusedError
        full = any(
            self.sockets.get(end, 0) >= self.socket_limits.get(end, 1 << 30) for end in (here, host)
        )
        if full or self.unaccepted.get(host, 0) >= ACCEPT_BACKLOG:
            self.refused_connections += 1
            raise ConnectionRefusedError
        _, serve = self.servers[where]
        near, far = ConnectionEnd(self, here, host), ConnectionEnd(self, host, here)
        near.peer, far.peer = far, near
        for where_, end in ((here, near), (host, far)):
            ends = self.connection_ends.setdefault(where_, [])
            ends.append(end)
            if len(ends) > 64 and len(ends) > 2 * self.sockets.get(where_, 0):
                self.connection_ends[where_] = [one for one in ends if not one.closed]
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
        where = f"{host}:{port}"
        self.servers[where] = (host, serve)
        return _VirtualServer(self, where)

    def track_task(self, host: str, task: asyncio.Task[Any]) -> None:
        self.tasks.setdefault(host, {})[task] = None
        task.add_done_callback(
            lambda done: (self.tasks.get(host, {}).pop(done, None), HOST_BY_TASK.pop(done, None))
        )

    def kill(self, host: str) -> None:
        """ConnectionEnd a process without warning: its connections are reset, nothing of it goes on."""
        for where in [where for where, (name, _) in self.servers.items() if name == host]:
            del self.servers[where]
        self.unaccepted.pop(host, None)
        for task in list(self.tasks.pop(host, ())):
            task.cancel()
        for end in self.connection_ends.pop(host, []):
            end.reset()


HOST_BY_TASK: dict[Any, str] = {}


def spawn(net: Network, host: str, job: Any) -> asyncio.Task[Any]:
    net.spawning_host = host
    task = asyncio.get_running_loop().create_task(job)
    net.spawning_host = ""
    HOST_BY_TASK[task] = host
    net.track_task(host, task)
    return task


def run(main: Callable[[Network], Awaitable[Any]], seed: int, monkeypatch: Any) -> Any:
    loop = VirtualTimeLoop()
    net = loop.net = Network(seed)

    def factory(loop_: Any, job: Any, **more: Any) -> asyncio.Task[Any]:
        parent = None
        try:
            parent = asyncio.current_task(loop_)
        except RuntimeError:
            pass
        task: asyncio.Task[Any] = _NumberedTask(job, loop=loop_, **more)
        host = HOST_BY_TASK.get(parent)
        if host is not None:
            HOST_BY_TASK[task] = host
            net.track_task(host, task)
        return task

    loop.set_task_factory(factory)
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
