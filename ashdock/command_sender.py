"""Sends task commands directly to workers, without waiting for their next heartbeat."""

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

# With these statuses the worker itself answered: it carried out the commands or refused them
# permanently. Any other status may come from an intermediary, and the worker may still receive the
# commands.
WORKER_STATUSES = (HTTPStatus.OK, HTTPStatus.BAD_REQUEST, HTTPStatus.CONFLICT)


class CommandSenderContext(Protocol):
    """What the sender uses of its controller.

    Attributes:
        worker_client: Client for requests to workers.
    """

    worker_client: WorkerClient

    def now(self) -> float:
        """Current time, in seconds since the epoch."""
        ...


class CommandSender:
    """Sends a shard's direct commands, with at most one request in flight per worker."""

    def __init__(
        self,
        context: CommandSenderContext,
        is_active: Callable[[], bool],
        wake: asyncio.Event,
    ) -> None:
        """Start without requests in flight.

        Args:
            context: The controller.
            is_active: Whether the shard is still owned here and loaded.
            wake: Event set after each request, since its result may require a transaction.
        """
        self.context = context
        self.is_active = is_active
        self.wake = wake
        self.in_flight: set[asyncio.Task[None]] = set()

    def send(self, shard: Shard, machine_names: Iterable[str]) -> None:
        """Start a request to each of the machines that have commands.

        Machines with a request in flight are entered in `urgent_machines` again, for the next call.
        Machines that the shard no longer has are skipped.
        """
        for name in machine_names:
            machine = shard.machines.get(name)
            if machine is None:
                continue
            if machine.sending_commands:
                shard.urgent_machines[name] = None
                continue
            commands = shard.commands.direct_commands(machine)
            if commands:
                log.debug(
                    "direct commands sent: machine=%s token=%d commands=%d outstanding_runs=%d",
                    name,
                    shard.token(machine),
                    len(commands),
                    len(machine.outstanding_runs),
                )
                machine.sending_commands = True
                task = asyncio.create_task(
                    self._exchange(
                        shard, machine, commands, shard.token(machine), machine.incarnation
                    )
                )
                self.in_flight.add(task)
                task.add_done_callback(self.in_flight.discard)

    async def _exchange(
        self,
        shard: Shard,
        machine: Machine,
        commands: list[TaskCommand],
        token: int,
        incarnation: int,
    ) -> None:
        """Send one request and apply its response.

        Token and incarnation are those that the run commands were recorded with. Either may rise
        before this coroutine runs. A run command sent with the higher one could arrive and be
        accepted although it counts as fenced, or as ended with the earlier incarnation.
        """
        try:
            status, heartbeat = await self.context.worker_client.send_commands(
                machine.address, token, incarnation, commands
            )
            if status in WORKER_STATUSES:
                shard.commands.on_direct_answered(machine, commands)
            else:
                shard.commands.on_direct_unanswered(machine, commands)
            self._reconcile_response(shard, machine, heartbeat)
            if status != HTTPStatus.OK:
                log.debug("direct commands refused: machine=%s status=%d", machine.name, status)
        except NoResponseError as error:
            if error.sent:
                shard.commands.on_direct_unanswered(machine, commands)
            else:
                shard.commands.on_direct_not_sent(machine, commands)
            log.debug("direct commands not answered: machine=%s error=%s", machine.name, error)
        finally:
            machine.sending_commands = False
            self.wake.set()

    def _reconcile_response(
        self, shard: Shard, machine: Machine, heartbeat: Heartbeat | None
    ) -> None:
        """Reconcile the status in the worker's response, unless it is that of another machine."""
        if heartbeat is None or heartbeat.machine != machine.name or not self.is_active():
            return
        shard.reconciler.on_heartbeat(heartbeat, self.context.now(), checkin=False)
