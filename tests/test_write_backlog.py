"""What of a shard waits to be written, as metrics and in the log."""

from __future__ import annotations

import logging

import pytest

from ashdock.core.shard import Shard
from ashdock.core.write_backlog import ChangeKind, KindBacklog
from tests.test_core import commit, shard_with, spec

CANCEL_S = 20.0  # of the settings of the tests


def shard_with_each_kind() -> Shard:
    """A shard with one unwritten change of each kind, all at time 0."""
    shard = shard_with([spec(number) for number in (1, 2, 3, 5)], machines="a")
    shard.add_job(
        {"spec": spec(4, awaits=["req-000002"]), "at": 0.0, "status": "queued"}, revision=8
    )
    shard.place(shard.jobs["req-000001"], 0, shard.machines["vm-0"], 1, 0.0)
    shard.cancel("req-000002", 0.0, 9, 0.0)
    for task in range(4):
        shard.finish(shard.jobs["req-000003"], task, 0.0)
    shard.jobs["req-000005"].set_reason("no room")
    return shard


def test_waiting_changes_are_counted_by_kind_since_they_began() -> None:
    shard = shard_with_each_kind()
    shard.tick(1.0)
    shard.tick(4.0)
    backlogs = shard.write_backlog.by_kind
    assert {kind: backlog.waiting for kind, backlog in backlogs.items()} == dict.fromkeys(
        ChangeKind, 1
    )
    assert backlogs[ChangeKind.RUN_COMMAND].oldest_s == 3.0  # since the first measurement
    assert backlogs[ChangeKind.DEPENDENCY_CANCELLATION].oldest_s == 4.0  # since the cancellation
    commit(shard, 20)
    shard.tick(5.0)
    assert set(shard.write_backlog.by_kind.values()) == {KindBacklog()}


def test_a_job_that_changes_all_the_time_and_is_written_does_not_wait() -> None:
    shard = shard_with([spec(1)], machines="a")
    for second in range(1, 5):
        shard.place(shard.jobs["req-000001"], second - 1, shard.machines["vm-0"], 1, second)
        shard.tick(float(second))
        assert shard.write_backlog.by_kind[ChangeKind.RUN_COMMAND] == KindBacklog(1, 0.0)
        commit(shard, 20 + second)


def test_a_long_wait_is_logged_once_when_it_begins_and_once_when_it_ends(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO, "ashdock.shard")
    shard = shard_with_each_kind()
    for now in (1.0, CANCEL_S / 4, CANCEL_S / 4 + 2, CANCEL_S / 4 + 3):
        shard.tick(now)
    commit(shard, 20)
    shard.tick(CANCEL_S / 4 + 4)
    shard.tick(CANCEL_S / 4 + 5)
    lines = [record.getMessage() for record in caplog.records if "changes " in record.getMessage()]
    began = [
        line for line in lines if line.startswith("changes wait long to be written: shard=red")
    ]
    ended = [line for line in lines if line.startswith("changes are written in time again")]
    assert len(began) == len(ended) == len(ChangeKind) and len(lines) == 2 * len(ChangeKind)
    assert any(
        "kind=dependency_cancellation waiting=1 oldest_s=7.0 limit_s=5.0" in line for line in began
    )
