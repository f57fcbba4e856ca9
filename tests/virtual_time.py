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

WALL = 1_700_000_000.0
TIMERS = ("_set_result_unless_cancelled", "_on_timeout")  # of a sleep and of a timeout
NUMBERS = itertools.count()  # of connections' ends and tasks, in the order of their making
Arguments = TypeVarTuple("Arguments")  # of a callback
BACKLOG = 128  # connections that wait to be accepted
CALLER: ContextVar[str] = ContextVar(
    "caller", default="?"
)  # the host that the connection being served comes from


class _NoSelect(selectors.DefaultSelector):
    """Instead of waiting, time jumps."""

    loop: SimLoop

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("nothing is left to happen")
        if timeout > 0:
            self.loop.clock += timeout
        return []


class SimLoop(asyncio.SelectorEventLoop):
    net: Net | None = None

    def __init__(self) -> None:
        selector = _NoSelect()
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
        if self.net is not None and self.net.late and callback.__name__ in TIMERS:
            host = HOST.get(asyncio.current_task(self))
            if host in self.net.late:
                when += self.net.late[host] * self.net.rng.random()
        return super().call_at(when, callback, *args, context=context)

    def _process_events(self, event_list: list[Any]) -> None:
        pass


class _NumberedTask(asyncio.Task[Any]):
    """A task whose hash does not depend on its address, so that sets of tasks are iterated alike."""

    number: int

    def __new__(cls, *_: Any, **__: Any) -> _NumberedTask:
        """Numbered before it is made: making a task enters it into a set."""
        task = super().__new__(cls)
        task.number = next(NUMBERS)
        return task

    def __hash__(self) -> int:
        return self.number


class _Transport:
    def __init__(self, end: End) -> None:
        self.end = end

    def abort(self) -> None:
        self.end.reset()

    def get_write_buffer_size(self) -> int:
        return 0


class End:
    """One end of a connection: what StreamWriter offers, delivered to the other end's reader."""

    def __init__(self, net: Net, here: str, there: str) -> None:
        self.net = net
        self.number = next(NUMBERS)
        self.here = here
        self.there = there
        self.reader = asyncio.StreamReader()
        self.other: End | None = None
        self.closed = False
        self.transport = _Transport(self)
        self.last = 0.0
        self.held = (
            False  # a socket of its process; one that has not been accepted yet waits in the kernel
        )

    def __hash__(self) -> int:
        """By number: a set of ends is iterated in the same order whatever their addresses are."""
        return self.number

    def hold(self) -> None:
        self.held = True
        self.net.sockets[self.here] = self.net.sockets.get(self.here, 0) + 1
        self.net.most[self.here] = max(self.net.most.get(self.here, 0), self.net.sockets[self.here])

    def write(self, data: bytes) -> None:
        if not self.closed and data:
            if self.net.observe is not None:
                self.net.observe(
                    asyncio.get_running_loop().time(), self.here, self.there, bytes(data)
                )
            self._deliver(lambda other: other.reader.feed_data(bytes(data)))

    def _deliver(self, act: Callable[[End], None]) -> None:
        loop = asyncio.get_running_loop()
        other = self.other
        assert other
        # In order, and held back while the network between the two is cut.
        at = max(self.last + 1e-6, loop.time() + self.net.delay(self.here, self.there))
        self.last = at

        def arrive() -> None:
            if self.net.is_cut(self.here, self.there):
                loop.call_later(0.2, arrive)
                self.last = max(self.last, loop.time() + 0.2)
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
            if self.held:
                self.net.sockets[self.here] -= 1
            self._deliver(lambda other: other.reader.feed_eof())
            if not getattr(self.reader, "_eof", False):
                self.reader.feed_eof()

    def reset(self) -> None:
        self.close()

    def is_closing(self) -> bool:
        return self.closed

    def get_extra_info(self, name: str) -> None:
        return None


class _SimServer:
    def __init__(self, net: Net, where: str) -> None:
        self.net = net
        self.where = where

    def close(self) -> None:
        self.net.servers.pop(self.where, None)


class Net:
    """Hosts are the IP parts of addresses; the host that runs now is told by a task's name."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.servers: dict[str, tuple[str, Callable[..., Awaitable[None]]]] = {}
        self.ends: dict[str, list[End]] = {}
        self.cuts: set[frozenset[str]] = set()
        self.tasks: dict[
            str, dict[asyncio.Task[Any], None]
        ] = {}  # in order, so that each run is alike
        self.sockets: dict[str, int] = {}  # host: how many it holds
        self.most: dict[str, int] = {}  # and at the most has held
        self.limits: dict[str, int] = {}  # host: beyond which new connections fail
        self.waiting: dict[str, int] = {}  # host: connections that nobody has accepted yet
        self.refused = 0
        self.late: dict[str, float] = {}  # host: how late its timers fire, at most
        self.slow = 0.0  # seconds more that each packet takes, at most
        # Called with the simulated time, sender, receiver and bytes of each write to a connection.
        self.observe: Callable[[float, str, str, bytes], None] | None = None
        self.booting = (
            ""  # the host that a task is being made for, if not for the one that makes it
        )

    def delay(self, a: str, b: str) -> float:
        return 0.001 + self.rng.random() * (0.002 + self.slow)

    def is_cut(self, a: str, b: str) -> bool:
        return frozenset((a, b)) in self.cuts

    def cut(self, a: str, *others: str) -> None:
        self.cuts |= {frozenset((a, b)) for b in others}

    def heal(self) -> None:
        self.cuts.clear()

    async def open_connection(self, host: str, port: int) -> tuple[asyncio.StreamReader, Any]:
        here = HOST.get(asyncio.current_task(), "?")
        where = f"{host}:{port}"
        while self.is_cut(here, host):  # silence, as behind a cut: the caller's patience ends it
            await asyncio.sleep(0.2)
        await asyncio.sleep(self.delay(here, host))
        if where not in self.servers:
            raise ConnectionRefusedError
        full = any(
            self.sockets.get(end, 0) >= self.limits.get(end, 1 << 30) for end in (here, host)
        )
        if full or self.waiting.get(host, 0) >= BACKLOG:
            self.refused += 1
            raise ConnectionRefusedError
        _, serve = self.servers[where]
        near, far = End(self, here, host), End(self, host, here)
        near.other, far.other = far, near
        for where_, end in ((here, near), (host, far)):
            ends = self.ends.setdefault(where_, [])
            ends.append(end)
            if len(ends) > 64 and len(ends) > 2 * self.sockets.get(where_, 0):
                self.ends[where_] = [one for one in ends if not one.closed]
        near.hold()
        self.waiting[host] = self.waiting.get(host, 0) + 1
        spawn(self, host, self._accepted(serve, far))
        return near.reader, near

    async def _accepted(self, serve: Callable[..., Awaitable[None]], far: End) -> None:
        self.waiting[far.here] = max(0, self.waiting.get(far.here, 0) - 1)
        if not far.closed:
            far.hold()
            CALLER.set(far.there)
            await serve(far.reader, far)

    async def start_server(
        self, serve: Callable[..., Awaitable[None]], host: str, port: int, **_: Any
    ) -> _SimServer:
        where = f"{host}:{port}"
        self.servers[where] = (host, serve)
        return _SimServer(self, where)

    def remember(self, host: str, task: asyncio.Task[Any]) -> None:
        self.tasks.setdefault(host, {})[task] = None
        task.add_done_callback(
            lambda done: (self.tasks.get(host, {}).pop(done, None), HOST.pop(done, None))
        )

    def kill(self, host: str) -> None:
        """End a process without warning: its connections are reset, nothing of it goes on."""
        for where in [where for where, (name, _) in self.servers.items() if name == host]:
            del self.servers[where]
        self.waiting.pop(host, None)
        for task in list(self.tasks.pop(host, ())):
            task.cancel()
        for end in self.ends.pop(host, []):
            end.reset()


HOST: dict[Any, str] = {}


def spawn(net: Net, host: str, job: Any) -> asyncio.Task[Any]:
    net.booting = host
    task = asyncio.get_running_loop().create_task(job)
    net.booting = ""
    HOST[task] = host
    net.remember(host, task)
    return task


def run(main: Callable[[Net], Awaitable[Any]], seed: int, monkeypatch: Any) -> Any:
    loop = SimLoop()
    net = loop.net = Net(seed)

    def factory(loop_: Any, job: Any, **more: Any) -> asyncio.Task[Any]:
        parent = None
        try:
            parent = asyncio.current_task(loop_)
        except RuntimeError:
            pass
        task: asyncio.Task[Any] = _NumberedTask(job, loop=loop_, **more)
        host = HOST.get(parent)
        if host is not None:
            HOST[task] = host
            net.remember(host, task)
        return task

    loop.set_task_factory(factory)
    monkeypatch.setattr(asyncio, "open_connection", net.open_connection)
    monkeypatch.setattr(asyncio, "start_server", net.start_server)
    monkeypatch.setattr(time, "monotonic", lambda: loop.clock)
    monkeypatch.setattr(time, "time", lambda: loop.clock + WALL)
    HOST.clear()
    try:
        return loop.run_until_complete(main(net))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
