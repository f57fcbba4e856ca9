"""Bounds on the cost of frequent operations, in counts that repeat.

Each bound is a little above the current count (docs/cost.md), so that a regression exceeds it.
"""

from __future__ import annotations

import asyncio
import cProfile
import gc
import importlib.util
import pstats
import shutil
import subprocess
import sys
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest

from ashdock import garbage_collection
from ashdock.status_reader import StatusReader
from ashdock.wire import messages
from tests import cost, scale
from tests.test_core import commit, heartbeat, shard_with, spec
from tests.test_heads import serve


def count_calls(action: Callable[[], Any]) -> int:
    """Count the function calls of `action`, built-in functions included, on its second run.

    Garbage of earlier tests is collected first: its finalizers would count as calls of the measured
    action, and the count would depend on which tests ran before.
    """
    action()
    gc.collect()
    profile = cProfile.Profile()
    profile.enable()
    action()
    profile.disable()
    return int(pstats.Stats(profile).total_calls)  # type: ignore[attr-defined]


def busy_shard(jobs: int = 30, machines: int = 20) -> Any:
    """Return a shard whose machines are full and whose other jobs wait."""
    shard = shard_with(
        [spec(number, shares=4) for number in range(1, jobs + 1)], "abc"[:1] * machines
    )
    for n in range(machines):
        shard.reconciler.on_heartbeat(heartbeat(f"vm-{n}", 1), 1.0, True)
    shard.scheduler.schedule(1.0)
    while shard.writer.next_transaction() is not None:
        commit(shard, 20)
    return shard


def test_heartbeat_without_news() -> None:
    shard = busy_shard()
    machine = shard.machines["vm-0"]
    tasks = [(f"{p.job}/{p.task}", p.attempt, "running", None) for p in machine.live.values()]
    assert len(tasks) == 4
    report_numbers = iter(range(2, 10**6))

    def send_heartbeats() -> None:
        for _ in range(100):
            assert (
                shard.reconciler.on_heartbeat(
                    heartbeat("vm-0", next(report_numbers), tasks), 2.0, True
                )
                == []
            )

    calls_of_building = count_calls(lambda: [heartbeat("vm-0", 1, tasks) for _ in range(100)])
    assert (count_calls(send_heartbeats) - calls_of_building) / 100 <= 82  # currently 75
    assert shard.writer.next_transaction() is None


def test_request_over_a_persistent_connection() -> None:
    body = b"x" * 400
    raw = (
        b"POST /checkin HTTP/1.1\r\nHost: 10.0.0.1:8080\r\n"
        b"Content-Type: application/json\r\nContent-Length: 400\r\n\r\n" + body
    )
    few, many = (count_calls(lambda n=n: asyncio.run(serve([raw] * n))) for n in (10, 110))  # type: ignore[misc]
    # Currently 268, the test's own packets included; 446 if h11 parses each head.
    assert (many - few) / 100 <= 295


def test_heartbeat_is_decoded_once() -> None:
    raw = msgspec.json.encode(
        {
            "berth": "vm-1",
            "address": "a:1",
            "hull": "g4",
            "yard": "a",
            "loaners": False,
            "tenure": 1,
            "tally": 2,
            "warrant": 3,
            "recall_s": None,
            "shares": [
                {"share": f"req-000001/{n}", "try": 1, "status": "running"} for n in range(4)
            ],
        }
    )
    assert count_calls(lambda: messages.decode_heartbeat(raw)) <= 5


def test_scheduling_pass_without_changes() -> None:
    shard = busy_shard()
    shard.scheduler.schedule(2.0)
    waiting = sum(job.spec.tasks - len(job.live) for job in shard.jobs.values())
    assert waiting == 96
    # Currently 828, for 30 waiting jobs and no free capacity.
    assert count_calls(lambda: shard.scheduler.schedule(2.0)) <= 910


def test_task_start() -> None:
    """24 tasks, as many as the quota allows, on 20 machines, from the pass until durable."""

    def start_tasks() -> None:
        busy_shard()

    def prepare_only() -> None:
        shard = shard_with([spec(number, shares=4) for number in range(1, 31)], "a" * 20)
        for n in range(20):
            shard.reconciler.on_heartbeat(heartbeat(f"vm-{n}", 1), 1.0, True)

    assert (count_calls(start_tasks) - count_calls(prepare_only)) / 24 <= 197  # currently 179


def test_status_query() -> None:
    """48 concurrent queries about cached jobs share one comparison in the store."""

    class State:
        max_compares = 48

        class RequestLimiter:
            per_s = 1e6

        request_limiter = RequestLimiter
        compared = 0

        async def txn(self, when: dict[str, int], *_: Any, **__: Any) -> int:
            self.compared += 1
            return 1

    state = State()

    async def ask_all() -> None:
        status_reader = StatusReader(state, 1.5, lambda *_: None, 1000)  # type: ignore[arg-type]
        for n in range(48):
            status_reader.learn(
                f"req-{n:06d}", {"status": "queued", "spec": {"team": "red", "kind": "array"}}, 5
            )
        await asyncio.gather(*(status_reader.ask(f"req-{n:06d}") for n in range(48)))

    counted = count_calls(lambda: asyncio.run(ask_all()))
    # Currently 136 with the calls that fill the cache; most of them are the event loop's own.
    assert state.compared == 2 and counted / 48 <= 150


def test_imports_of_a_start() -> None:
    start = cost.import_cost(1)
    assert start["modules"] <= 270, start
    assert start["imported_kib"] < 32 * 1024
    assert not {"prometheus_client", "hcl2", "ashdock.net.user", "ashdock.net.metrics"} & set(
        _imported()
    )


def _imported() -> list[str]:
    code = (
        "import sys; from ashdock import cli; "
        "import ashdock.controller, ashdock.garbage_collection; print(*sys.modules)"
    )
    return subprocess.run(
        [sys.executable, "-c", code], cwd=cost.ROOT, capture_output=True, text=True, check=True
    ).stdout.split()


def test_build_compiles_all_modules(tmp_path: Path) -> None:
    """The build compiles all modules, and checks them by source hash.

    Where a controller can't write next to its sources, each start would compile all of them, which
    is a third of its processor time. Hashes are used since copied files get new modification times.
    """
    build = tomllib.loads((cost.ROOT / "deploy" / "service.toml").read_text())["build"]
    shutil.copytree(
        cost.ROOT / "ashdock", tmp_path / "ashdock", ignore=shutil.ignore_patterns("__pycache__")
    )
    subprocess.run(["sh", "-c", build.rpartition("&&")[2]], cwd=tmp_path, check=True)
    sources = list((tmp_path / "ashdock").rglob("*.py"))
    assert len(sources) > 60
    for source in sources:
        compiled = Path(importlib.util.cache_from_source(str(source)))
        assert int.from_bytes(compiled.read_bytes()[4:8], "little") == 0b11, source


def test_garbage_collection_is_off_during_startup() -> None:
    before, enabled = gc.get_threshold(), gc.isenabled()
    ready = [False]
    try:
        garbage_collection.disable()
        assert not gc.isenabled()

        async def become_ready() -> None:
            task = asyncio.create_task(
                garbage_collection.enable_after_startup(lambda: ready[0], 0.1)
            )
            await asyncio.sleep(0.05)
            assert not gc.isenabled()
            ready[0] = True
            await task

        asyncio.run(become_ready())
        older = garbage_collection.OLDER_GENERATION_THRESHOLD
        assert (
            gc.isenabled()
            and gc.get_threshold() == (garbage_collection.GENERATION_0_THRESHOLD, older, older)
            and gc.get_freeze_count() > 0
        )
        # Collection is enabled after the timeout even if the controller is not ready.
        asyncio.run(garbage_collection.enable_after_startup(lambda: False, 0.01))
    finally:
        gc.unfreeze()
        gc.set_threshold(*before)
        (gc.enable if enabled else gc.disable)()


@pytest.mark.parametrize("course", cost.COURSES)
def test_breakdown_attributes_most_of_the_time(course: str) -> None:
    shape = cost.SHAPES["small"]._replace(
        machines=12,
        lease_s=4.0,
        job_classes=[
            (name, rate / 4, form) for name, rate, form in cost.SHAPES["small"].job_classes
        ],
    )
    rows = cost.run_course(
        shape,
        course,
        1.0,
        6.0,
        scale.simulate,
        lambda fleet, times, shape: scale.Users(fleet, times, 3, shape),
        scale.Meter(shape.core_share),
    )
    assert len(rows) == (2 if course == "takeover" else 3)
    for name, row in rows.items():
        assert row["budget"].attributed_share >= 0.9 and row["cores"] > 0, name
        assert "KiB:" in cost.format_table(name, row, shape.core_share)
    assert sum(row["budget"].units["reports"] for row in rows.values()) > 0


@pytest.mark.parametrize(
    "arguments",
    [
        ["--shape", "tall"],
        ["--course", "quiet"],
        ["--times", "0"],
        ["--times", "-1"],
        ["--seconds", "0"],
        ["--seconds", "-3"],
    ],
)
def test_bad_arguments_are_refused(
    arguments: list[str], capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(sys, "argv", ["scale", "cost", *arguments])
    with pytest.raises(SystemExit) as exit_info:
        scale.main()
    assert exit_info.value.code == 2 and arguments[0] in capsys.readouterr().err
