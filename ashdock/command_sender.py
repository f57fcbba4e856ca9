"""Sends task commands straight to workers, in place of with the answer to their next heartbeat."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Protocol

from ashdock.core.machine import Machine
from ashdock.core.shard import Shard
from ashdock.net.http import NoResponseError
from ashdock.net.worker import WorkerClient
from ashdock.wire.messages import Heartbeat, TaskCommand

log = logging.getLogger("ashdock.shard_owner")

# The worker itself answered: it has carried the commands out, or refused them for good. Any other status may
# come from something in between, and the worker may still receive the commands.
STATUSES_OF_WORKER = (HTTPStatus.OK, HTTPStatus.BAD_REQUEST, HTTPStatus.CONFLICT)


class CommandSenderContext(Protocol):
    """What the sender needs of the controller."""

    worker_client: WorkerClient

    def now(self) -> float:
        """The time of day in seconds, as all that is stored counts it."""
        ...


class CommandSender:
    """One shard's direct commands to its workers; at most one message at a time to each of them."""

    def __init__(
        self,
        context: CommandSenderContext,
        is_active: Callable[[], bool],
        wake: asyncio.Event,
    ) -> None:
        """Prepare to send.

        Args:
            context: the controller.
            is_active: whether the shard is still owned here and loaded.
            wake: set after each exchange, since its result may call for a transaction.
        """
        self.context = context
        self.is_active = is_active
        self.wake = wake
        self.in_flight: set[asyncio.Task[None]] = set()

    def send(self, shard: Shard, machine_names: Iterable[str]) -> None:
        """Start a message to each of the machines; one that has a message under way is left for the next call."""
        for name in machine_names:
            machine = shard.machines.get(name)
            if machine is None:
                continue
            if machine.sending_commands:
                shard.urgent_machines[name] = None
                continue
            commands = shard.commands.direct_commands(machine)
            if commands:
                machine.sending_commands = True
                task = asyncio.create_task(
                    self._exchange(shard, machine, commands, shard.token(machine))
                )
                self.in_flight.add(task)
                task.add_done_callback(self.in_flight.discard)

    async def _exchange(
        self, shard: Shard, machine: Machine, commands: list[TaskCommand], token: int
    ) -> None:
        """Send one message and take in its answer.

        The token is the one that the run commands were recorded with. The machine's may rise before this coroutine
        runs; a run command sent under the higher one could arrive late and be accepted, though it counted as fenced.
        """
        try:
            status, heartbeat = await self.context.worker_client.send_commands(
                machine.address, token, machine.incarnation, commands
            )
            if status in STATUSES_OF_WORKER:
                shard.commands.on_direct_answered(machine, commands)
            else:
                shard.commands.on_direct_unanswered(machine, commands)
            self._take_in(shard, machine, heartbeat)
            if status != HTTPStatus.OK:
                log.debug("direct commands refused: machine=%s status=%d", machine.name, status)
        except NoResponseError as error:
            if error.sent:
                shard.commands.on_direct_unanswered(machine, commands)
            else:
                shard.commands.on_direct_answered(machine, commands)
            log.debug("direct commands not answered: machine=%s error=%s", machine.name, error)
        finally:
            machine.sending_commands = False
            self.wake.set()

    def _take_in(self, shard: Shard, machine: Machine, heartbeat: Heartbeat | None) -> None:
        """Reconcile the status that the worker answered with, unless it is another machine's."""
        if heartbeat is None or heartbeat.machine != machine.name or not self.is_active():
            return
        shard.reconciler.on_heartbeat(heartbeat, self.context.now(), checkin=False)
