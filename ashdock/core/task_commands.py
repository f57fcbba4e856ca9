"""Commands for a machine's worker: which tasks to run, kill and forget.

They are sent in the responses to heartbeats, or directly.
"""

from __future__ import annotations

from typing import Protocol

from ashdock.core.job import Job, JobPhase
from ashdock.core.machine import Machine
from ashdock.core.task import PlacementPhase
from ashdock.settings import Shared, Workers
from ashdock.wire.messages import (
    CommandVerb,
    Heartbeat,
    TaskCommand,
    split_task,
    task_name,
)

MAX_COMMANDS = 200  # in one message, to keep it well under 64 KiB


class CommandedShard(Protocol):
    """The part of a shard from which commands are derived."""

    jobs: dict[str, Job]
    shared: Shared
    workers: Workers

    def token(self, machine: Machine) -> int:
        """Return the fencing token for commands to the machine."""
        ...

    def raise_token(self, machine: Machine) -> None:
        """Raise the fencing token for commands to the machine, now or with a later write."""
        ...

    def mark_machine_changed(self, name: str) -> None:
        """Have the next transaction check whether the machine's record must be written."""
        ...


class TaskCommands:
    """Chooses a shard's commands, and tracks run commands that may still arrive late."""

    def __init__(self, shard: CommandedShard) -> None:
        """Choose commands for a shard."""
        self.shard = shard

    def commands_for(self, machine: Machine, heartbeat: Heartbeat | None) -> list[TaskCommand]:
        """Choose the commands for a machine.

        Args:
            machine: The machine.
            heartbeat: The heartbeat that they answer; None if they are sent directly.
        """
        commands: list[TaskCommand] = []
        for placement in machine.live.values():
            name = task_name(placement.job, placement.task)
            if placement.phase is PlacementPhase.STOPPING:
                commands.append(
                    TaskCommand(
                        verb=CommandVerb.KILL,
                        task=name,
                        attempt=placement.attempt,
                        grace_s=placement.grace_s,
                    )
                )
            elif placement.phase is PlacementPhase.COMMITTED or (
                placement.phase is PlacementPhase.START_SENT and not placement.worker_reported
            ):
                commands.append(
                    TaskCommand(verb=CommandVerb.RUN, task=name, attempt=placement.attempt)
                )
                if heartbeat:
                    placement.start_sent_in_response(heartbeat.incarnation, heartbeat.sequence)
        for (job_id, task), attempt in machine.orphaned_tasks.items():
            commands.append(
                TaskCommand(
                    verb=CommandVerb.KILL,
                    task=task_name(job_id, task),
                    attempt=attempt,
                    grace_s=0.0,
                )
            )
        if machine.ended_attempts and (heartbeat or machine.target_shard is not None):
            commands += self._forget_commands(machine)
        return commands[:MAX_COMMANDS]

    def _forget_commands(self, machine: Machine) -> list[TaskCommand]:
        """Choose the ended attempts that the worker may forget.

        A direct run command may arrive again after it was carried out, and starts the attempt anew
        if the worker has forgotten it. So an attempt is forgotten under a higher token than those
        of its run commands; the worker refuses them from then on.
        """
        durable = [key for key in sorted(machine.ended_attempts) if self._may_forget(*key)]
        runs, token = machine.outstanding_runs, self.shard.token(machine)
        if any(runs.may_restart(key, token) for key in durable):
            self.shard.raise_token(machine)
            token = self.shard.token(machine)
        return [
            TaskCommand(verb=CommandVerb.FORGET, task=task_name(job_id, task), attempt=attempt)
            for job_id, task, attempt in durable
            if not runs.may_restart((job_id, task, attempt), token)
        ]

    def _may_forget(self, job_id: str, task: int, attempt: int) -> bool:
        """Whether an ended attempt's outcome is durable, so that it is not started again."""
        job = self.shard.jobs.get(job_id)
        if job is None or not 0 <= task < job.spec.tasks:
            return True
        placement = job.live.get(task)
        if placement is not None and placement.attempt == attempt:
            return False
        chunk = job.chunk_of(task)
        return job.phase is not JobPhase.OVER and chunk.durable_generation >= chunk.generation

    def direct_commands(self, machine: Machine) -> list[TaskCommand]:
        """Choose the commands to send directly; run commands are outstanding until answered."""
        if machine.sending_commands or not machine.address or not machine.incarnation:
            return []
        commands = self.commands_for(machine, None)
        token = self.shard.token(machine)
        for command in commands:
            placement = machine.live.get(split_task(command.task))
            if command.verb == CommandVerb.RUN and placement:
                placement.start_sent_directly(machine.incarnation)
                machine.outstanding_runs.sent((*placement.key, placement.attempt), token)
        return commands

    @staticmethod
    def on_direct_answered(machine: Machine, commands: list[TaskCommand]) -> None:
        """Record that the worker answered direct commands; they may arrive again.

        Earlier ones for the same attempts, which were not answered, may still arrive.
        """
        for command in commands:
            machine.outstanding_runs.answered((*split_task(command.task), command.attempt))

    @staticmethod
    def on_direct_not_sent(machine: Machine, commands: list[TaskCommand]) -> None:
        """Record that direct commands were never sent, so that they cannot arrive."""
        for command in commands:
            machine.outstanding_runs.not_sent((*split_task(command.task), command.attempt))

    def on_direct_unanswered(self, machine: Machine, commands: list[TaskCommand]) -> None:
        """Have the fencing token raised if a run command may still arrive, even minutes late.

        The worker refuses the command once it has a higher token.
        """
        runs = [command for command in commands if command.verb == CommandVerb.RUN]
        for command in runs:
            machine.outstanding_runs.not_answered((*split_task(command.task), command.attempt))
        if runs:
            machine.raise_token = True
            self.shard.mark_machine_changed(machine.name)

    def lease_must_expire(self, machine: Machine, now: float) -> bool:
        """Whether the worker's lease must be left to expire.

        That is so if a run command of a cancelled job may still arrive, and the token with which
        the worker would refuse it has not reached the worker in time: the token cannot be raised
        while the store is unavailable. Without renewal the incarnation that the command names ends
        within `cancel_s` of the cancellation.
        """
        workers = self.shard.workers
        # Twice the skew: the worker's clock and ours.
        limit = now - (workers.cancel_s - workers.lease_s - 2 * self.shard.shared.skew_ms / 1000)
        for job_id, _, _ in machine.outstanding_runs:
            job = self.shard.jobs.get(job_id)
            if job is not None and job.cancelled_at is not None and job.cancelled_at < limit:
                return True
        return False
