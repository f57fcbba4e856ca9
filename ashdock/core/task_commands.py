"""The commands for a machine's worker: what to run, kill and forget, with answers to heartbeats or directly."""

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

MAX_COMMANDS = 200  # in one message, which keeps it well under 64 KiB


class CommandedShard(Protocol):
    """What the commands follow from."""

    jobs: dict[str, Job]
    shared: Shared
    workers: Workers

    def token(self, machine: Machine) -> int:
        """The fencing token for commands to the machine."""
        ...

    def note_machine(self, name: str) -> None:
        """Have a machine's record written, if need be."""
        ...


class TaskCommands:
    """Chooses the commands for a shard's machines, and tracks the run commands that may still arrive."""

    def __init__(self, shard: CommandedShard) -> None:
        """Command for a shard."""
        self.shard = shard

    def commands_for(self, machine: Machine, heartbeat: Heartbeat | None) -> list[TaskCommand]:
        """Choose what a machine is to do.

        Args:
            machine: the machine.
            heartbeat: the one that the commands answer; None if they are sent directly.
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
                    placement.start_sent_in_answer(heartbeat.incarnation, heartbeat.sequence)
        for (job_id, task), attempt in machine.orphaned_tasks.items():
            commands.append(
                TaskCommand(
                    verb=CommandVerb.KILL,
                    task=task_name(job_id, task),
                    attempt=attempt,
                    grace_s=0.0,
                )
            )
        if heartbeat or machine.target_shard is not None:
            for job_id, task, attempt in sorted(machine.ended_attempts):
                if (job_id, task, attempt) not in machine.outstanding_runs and self._forgettable(
                    job_id, task, attempt
                ):
                    commands.append(
                        TaskCommand(
                            verb=CommandVerb.FORGET, task=task_name(job_id, task), attempt=attempt
                        )
                    )
        return commands[:MAX_COMMANDS]

    def _forgettable(self, job_id: str, task: int, attempt: int) -> bool:
        """Whether an ended attempt's outcome is durable, and no run command for it may still arrive."""
        job = self.shard.jobs.get(job_id)
        if job is None or not 0 <= task < job.spec.tasks:
            return True
        placement = job.live.get(task)
        if placement is not None and placement.attempt == attempt:
            return False
        chunk = job.chunk_of(task)
        return job.phase is not JobPhase.OVER and chunk.durable_generation >= chunk.generation

    def direct_commands(self, machine: Machine) -> list[TaskCommand]:
        """Choose what to send directly; its run commands are outstanding until answered."""
        if machine.sending_commands or not machine.address or not machine.incarnation:
            return []
        commands = self.commands_for(machine, None)
        token = self.shard.token(machine)
        for command in commands:
            placement = machine.live.get(split_task(command.task))
            if command.verb == CommandVerb.RUN and placement:
                placement.start_sent_directly(machine.incarnation)
                machine.outstanding_runs[(*placement.key, placement.attempt)] = token
        return commands

    @staticmethod
    def on_direct_answered(machine: Machine, commands: list[TaskCommand]) -> None:
        """Take in that direct commands cannot arrive any more."""
        for command in commands:
            machine.outstanding_runs.pop((*split_task(command.task), command.attempt), None)

    def on_direct_unanswered(self, machine: Machine, commands: list[TaskCommand]) -> None:
        """Raise the token, since a run command may still arrive, even minutes late: it is refused then."""
        if any(command.verb == CommandVerb.RUN for command in commands):
            machine.raise_token = True
            self.shard.note_machine(machine.name)

    def lease_must_expire(self, machine: Machine, now: float) -> bool:
        """Whether the worker's lease must run out.

        So it is if a run command that was not answered may still arrive, its job was cancelled, and the token that would
        refuse it has not reached the worker; in an outage of the store it cannot be raised. Not renewed, the incarnation
        that the command names is over within `cancel_s`.
        """
        workers = self.shard.workers
        limit = now - (
            workers.cancel_s - workers.lease_s - 2 * self.shard.shared.skew_ms / 1000
        )  # twice: the worker's clock and ours
        for job_id, _, _ in machine.outstanding_runs:
            job = self.shard.jobs.get(job_id)
            if job is not None and job.cancelled_at is not None and job.cancelled_at < limit:
                return True
        return False
