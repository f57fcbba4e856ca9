"""Direct run commands that were carried out and come again, at the worst moment and at random.

The network may deliver a request again long after it was answered. A worker ignores a run command
for an attempt that it knows, and starts an attempt anew that it was told to forget
(docs/incidents/started-again.md).
"""

from __future__ import annotations

import asyncio
import random

import pytest

from ashdock.core.machine import Machine
from ashdock.core.shard import Shard
from ashdock.wire.messages import Heartbeat, TaskCommand
from tests import fault_combinations
from tests.cluster import Service, job
from tests.fakes import FakeWorker
from tests.fault_combinations import ScheduledFault
from tests.test_cluster import run_scenario
from tests.test_core import commit, direct_commands, heartbeat, shard_with, spec
from tests.test_store_refusals import start_long_job

CANCEL_S, LEASE_S = 20.0, 6.0
AT_ONCE = (0.0, 0.0)
MOVED_S = 20.0  # a task that is moved runs on its new machine by then, which may have to boot
STARTED = ("req-000002/0", 1)  # task and attempt
ENDED = ("req-000001/0", 1, "ended", "stopped")


async def placed_directly(service: Service) -> tuple[Shard, FakeWorker]:
    """Submit a long job that a direct command starts; return its shard and its worker."""
    owner = service.controllers[await start_long_job(service, 1)].owners["red"]
    assert owner.shard is not None
    await asyncio.sleep(LEASE_S)
    await service.submit(job(2, shares=1, expect_s=60.0))
    async with asyncio.timeout(LEASE_S):
        while True:
            for worker in service.cloud.workers.values():
                if STARTED in worker.start_requests:
                    return owner.shard, worker
            await asyncio.sleep(0.1)


async def until_forgotten(worker: FakeWorker) -> None:
    """Wait until a worker was told to forget the attempt."""
    async with asyncio.timeout(2 * LEASE_S):
        while STARTED in worker.start_requests:
            await asyncio.sleep(0.1)


# Guards against: a task runs twice since its earlier attempt, which its worker forgot, starts anew.
def test_a_repeated_run_command_does_not_start_a_task_that_was_moved(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(service: Service) -> None:
        service.cloud.repeated_starts_after_s = (MOVED_S, MOVED_S)
        shard, worker = await placed_directly(service)
        moved = shard.jobs["req-000002"]
        shard.machines[worker.name].cordon("test")
        shard.preempt(moved, [0], "test", service.now())
        await until_forgotten(worker)
        await asyncio.sleep(MOVED_S - LEASE_S)
        assert moved.live[0].running_at
        await asyncio.sleep(2 * LEASE_S)
        assert moved.live[0].machine != worker.name and moved.live[0].running_at
        assert STARTED not in worker.tasks

    run_scenario(monkeypatch, 71, scenario)


# Guards against: a task of a cancelled job starts anew after `cancel_s`, once its worker forgot it.
def test_a_repeated_run_command_does_not_start_a_task_of_a_cancelled_job(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(service: Service) -> None:
        service.cloud.repeated_starts_after_s = (CANCEL_S + LEASE_S, CANCEL_S + LEASE_S)
        _, worker = await placed_directly(service)
        assert await service.cancel("req-000002") == "withdrawn"
        await until_forgotten(worker)
        await asyncio.sleep(CANCEL_S + 2 * LEASE_S)
        assert STARTED not in worker.tasks

    run_scenario(monkeypatch, 72, scenario)


def shard_with_direct_start() -> tuple[Shard, Machine]:
    """A shard whose only task was started by a direct command, which was answered."""
    shard = shard_with([spec(shares=1)], "a")
    machine = shard.machines["vm-0"]
    shard.reconciler.on_heartbeat(heartbeat("vm-0", 1), 1.0, True)
    shard.scheduler.schedule(1.0)
    commit(shard, 20)
    start_directly(shard, machine)
    return shard, machine


def start_directly(shard: Shard, machine: Machine) -> None:
    """Have a direct run command answered."""
    shard.commands.on_direct_answered(machine, direct_commands(shard, machine, "run"))


def report_ended(shard: Shard, sequence: int, token: int) -> list[str]:
    """Report the task as ended, and return the verbs of the commands in the answer."""
    answer: list[TaskCommand] | None = shard.reconciler.on_heartbeat(
        ended(sequence, token), float(sequence), True
    )
    return [command.verb for command in answer or []]


def ended(sequence: int, token: int) -> Heartbeat:
    """A heartbeat that reports the task as ended."""
    return heartbeat("vm-0", sequence, [ENDED], fencing_token=token)


# Guards against: an attempt is forgotten under the token of a run command that may come again.
def test_an_attempt_is_forgotten_under_a_higher_token_than_its_run_command() -> None:
    shard, machine = shard_with_direct_start()
    started_under = shard.token(machine)
    shard.preempt(shard.jobs["req-000001"], [0], "test", 3.0)
    assert "forget" not in report_ended(shard, 4, started_under)
    machine.cordon("test")  # nothing else is placed, and the next transaction writes one chunk
    assert "work/red/req-000001/0" in commit(shard, 30)
    assert "forget" in report_ended(shard, 5, started_under)
    assert shard.token(machine) > started_under
    # Raising it has cost no write.
    assert shard.writer.next_transaction() is None
    assert "forget" in report_ended(shard, 6, shard.token(machine))


# Guards against: an ended attempt is never forgotten where the shard has nothing else to write.
def test_the_machine_record_raises_the_token_where_no_later_transaction_does() -> None:
    shard, machine = shard_with_direct_start()
    shard.raise_token(machine)
    started_under = shard.token(machine)
    start_directly(shard, machine)
    shard.cancel("req-000001", 3.0, 21, 3.0)
    report_ended(shard, 4, started_under)
    assert shard.writer.next_transaction() is not None  # applied, but its answer is lost
    shard.writer.apply_stored_value("work/red/req-000001/job", None, 0, 4.0)
    assert "forget" not in report_ended(shard, 5, started_under)
    assert set(commit(shard, 40)) == {"machine/vm-0"}
    assert "forget" in report_ended(shard, 6, started_under) and shard.token(machine) == 40
    assert shard.writer.next_transaction() is None


# Guards against: an owner raises the token above that of the shard a machine was transferred to.
def test_the_token_of_a_machine_that_may_be_transferred_rises_with_its_record_only() -> None:
    shard, machine = shard_with_direct_start()
    shard.cancel("req-000001", 3.0, 21, 3.0)
    report_ended(shard, 4, 10)
    commit(shard, 30)
    shard.reconciler.on_heartbeat(heartbeat("vm-0", 5), 5.0, True)
    machine.cordon("test")
    machine.target_shard = "blue"
    shard.mark_machine_changed("vm-0")
    transfer = shard.writer.next_transaction()  # may be applied; its answer is lost
    assert transfer is not None and transfer.writes["machine/vm-0"]["p"] == "blue"
    machine.ended_attempts.add(("req-000001", 0, 1))
    shard.writer.committed_revision = 50
    token = shard.token(machine)
    shard.raise_token(machine)
    assert shard.token(machine) == token
    shard.add_machine("vm-0", machine.record("red"), 60, 6.0)  # the transfer was not applied
    shard.writer.committed_revision = 70
    shard.raise_token(machine)
    assert shard.token(machine) == 70


# Guards against: a command that was never sent is counted as one that may arrive.
def test_a_run_command_that_was_never_sent_needs_no_higher_token() -> None:
    shard = shard_with([spec(shares=1)], "a")
    machine = shard.machines["vm-0"]
    shard.reconciler.on_heartbeat(heartbeat("vm-0", 1), 1.0, True)
    shard.scheduler.schedule(1.0)
    commit(shard, 20)
    shard.commands.on_direct_not_sent(machine, direct_commands(shard, machine, "run"))
    assert not machine.outstanding_runs
    assert not machine.outstanding_runs.may_restart(("req-000001", 0, 1), shard.token(machine))


async def repeated_starts(service: Service, rng: random.Random, for_s: float) -> None:
    """Direct run commands come again after their attempts were forgotten, at once or later."""
    service.cloud.repeated_starts_after_s = rng.choice((AT_ONCE, (0.0, 3.0), (0.0, 40.0)))
    await asyncio.sleep(for_s)


# Guards against: a repeated run command meets other faults, and its task runs twice or too late.
@pytest.mark.parametrize("seed", range(5, 13))
def test_invariants_hold_where_repeated_run_commands_meet_other_faults(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    rng = random.Random(seed)
    faults = [
        ScheduledFault(0.0, repeated_starts.__name__, fault_combinations.FAULT_PHASE_S),
        *fault_combinations.draw_faults(rng),
    ]
    violations, unfinished = fault_combinations.run_faults(
        faults, rng, seed, monkeypatch, extra_faults={repeated_starts.__name__: repeated_starts}
    )
    assert (violations, unfinished) == ([], [])
