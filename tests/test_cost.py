"""What things cost, in counts that repeat; bounds a little above what was measured (docs/cost.md), so that they can fail."""

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


def calls(act: Callable[[], Any]) -> int:
    """Function calls of `act`, built-in functions included, on its second run.

    Garbage that earlier tests left is collected before: its finalizers counted as calls of whatever was being measured,
    so that the count depended on the tests that ran before.
    """
    act()
    gc.collect()
    profile = cProfile.Profile()
    profile.enable()
    act()
    profile.disable()
    return int(pstats.Stats(profile).total_calls)  # type: ignore[attr-defined]


def busy_shard(jobs: int = 30, machines: int = 20) -> Any:
    """Full machines, and jobs that wait."""
    shard = shard_with(
        [spec(number, shares=4) for number in range(1, jobs + 1)], "abc"[:1] * machines
    )
    for n in range(machines):
        shard.reconciler.on_heartbeat(heartbeat(f"vm-{n}", 1), 1.0, True)
    shard.scheduler.schedule(1.0)
    while shard.writer.next_transaction() is not None:
        commit(shard, 20)
    return shard


def test_a_report_that_says_nothing_new() -> None:
    shard = busy_shard()
    machine = shard.machines["vm-0"]
    tasks = [(f"{p.job}/{p.task}", p.attempt, "running", None) for p in machine.live.values()]
    assert len(tasks) == 4
    tally = iter(range(2, 10**6))

    def reports() -> None:
        for _ in range(100):
            assert (
                shard.reconciler.on_heartbeat(heartbeat("vm-0", next(tally), tasks), 2.0, True)
                == []
            )

    made = calls(lambda: [heartbeat("vm-0", 1, tasks) for _ in range(100)])
    assert (calls(reports) - made) / 100 <= 82  # 75
    assert shard.writer.next_transaction() is None


def test_a_request_over_a_kept_connection() -> None:
    body = b"x" * 400
    raw = (
        b"POST /checkin HTTP/1.1\r\nHost: 10.0.0.1:8080\r\nContent-Type: application/json\r\nContent-Length: 400\r\n\r\n"
        + body
    )
    few, many = (calls(lambda n=n: asyncio.run(serve([raw] * n))) for n in (10, 110))  # type: ignore[misc]
    assert (
        many - few
    ) / 100 <= 295  # 268, the test's own packets among them; 446 where h11 reads each head


def test_a_report_is_decoded_once() -> None:
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
    assert calls(lambda: messages.decode_heartbeat(raw)) <= 5


def test_a_pass_over_what_has_not_changed() -> None:
    shard = busy_shard()
    shard.scheduler.schedule(2.0)
    waiting = sum(job.spec.tasks - len(job.live) for job in shard.jobs.values())
    assert waiting == 96
    assert (
        calls(lambda: shard.scheduler.schedule(2.0)) <= 910
    )  # 828, for 30 jobs that all wait and no room


def test_a_start() -> None:
    """Of 24 tasks on 20 machines, as many as the team may use, from the pass until each is durable."""

    def start() -> None:
        busy_shard()

    def idle() -> None:
        shard = shard_with([spec(number, shares=4) for number in range(1, 31)], "a" * 20)
        for n in range(20):
            shard.reconciler.on_heartbeat(heartbeat(f"vm-{n}", 1), 1.0, True)

    assert (calls(start) - calls(idle)) / 24 <= 197  # 179


def test_a_question() -> None:
    """Of 48 asked together about jobs that are known: one comparison."""

    class State:
        max_compares = 48

        class request_limiter:
            per_s = 1e6

        compared = 0

        async def txn(self, when: dict[str, int], *_: Any, **__: Any) -> int:
            self.compared += 1
            return 1

    state = State()

    async def ask() -> None:
        status_reader = StatusReader(state, 1.5, lambda *_: None, 1000)  # type: ignore[arg-type]
        for n in range(48):
            status_reader.learn(
                f"req-{n:06d}", {"status": "queued", "spec": {"team": "red", "kind": "array"}}, 5
            )
        await asyncio.gather(*(status_reader.ask(f"req-{n:06d}") for n in range(48)))

    counted = calls(lambda: asyncio.run(ask()))
    assert (
        state.compared == 2 and counted / 48 <= 150
    )  # 136, with what is learnt, of which the loop's own are most


def test_what_a_start_imports() -> None:
    start = cost.start_cost(1)
    assert start["modules"] <= 270, start
    assert start["imported_kib"] < 32 * 1024
    assert not {"prometheus_client", "hcl2", "ashdock.net.user", "ashdock.net.metrics"} & set(
        _imported()
    )


def _imported() -> list[str]:
    words = "import sys; from ashdock import cli; import ashdock.controller, ashdock.garbage_collection; print(*sys.modules)"
    return subprocess.run(
        [sys.executable, "-c", words], cwd=cost.ROOT, capture_output=True, text=True, check=True
    ).stdout.split()


def test_the_build_compiles_what_a_start_imports(tmp_path: Path) -> None:
    """A platform may let a controller write nothing beside its sources: each start then compiled all of them anew, a third of what it computes.
    By the source's hash, since files that are copied get other times."""
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


def test_garbage_is_left_alone_while_a_controller_starts() -> None:
    before, enabled = gc.get_threshold(), gc.isenabled()
    ready = [False]
    try:
        garbage_collection.disable()
        assert not gc.isenabled()

        async def later() -> None:
            task = asyncio.create_task(
                garbage_collection.enable_after_startup(lambda: ready[0], 0.1)
            )
            await asyncio.sleep(0.05)
            assert not gc.isenabled()
            ready[0] = True
            await task

        asyncio.run(later())
        older = garbage_collection.OLDER_GENERATION_THRESHOLD
        assert (
            gc.isenabled()
            and gc.get_threshold() == (garbage_collection.GENERATION_0_THRESHOLD, older, older)
            and gc.get_freeze_count() > 0
        )
        asyncio.run(
            garbage_collection.enable_after_startup(lambda: False, 0.01)
        )  # not ready for long: all the same
    finally:
        gc.unfreeze()
        gc.set_threshold(*before)
        (gc.enable if enabled else gc.disable)()


@pytest.mark.parametrize("course", cost.COURSES)
def test_the_budget_accounts_for_what_was_used(course: str) -> None:
    shape = cost.SHAPES["small"]._replace(
        machines=12,
        lease_s=4.0,
        kinds=[(name, rate / 4, form) for name, rate, form in cost.SHAPES["small"].kinds],
    )
    rows = cost.play(
        shape,
        course,
        1.0,
        6.0,
        scale.simulate,
        lambda fleet, times, shape: scale.Users(fleet, times, 3, shape),
        scale.Meter(shape.core),
    )
    assert len(rows) == (2 if course == "takeover" else 3)
    for name, row in rows.items():
        assert row["budget"].known >= 0.9 and row["cores"] > 0, name
        assert "KiB:" in cost.table(name, row, shape.core)
    assert sum(row["budget"].units["reports"] for row in rows.values()) > 0


@pytest.mark.parametrize(
    "words",
    [
        ["--shape", "tall"],
        ["--course", "quiet"],
        ["--times", "0"],
        ["--times", "-1"],
        ["--seconds", "0"],
        ["--seconds", "-3"],
    ],
)
def test_what_the_tool_does_not_know(
    words: list[str], capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(sys, "argv", ["scale", "cost", *words])
    with pytest.raises(SystemExit) as why:
        scale.main()
    assert why.value.code == 2 and words[0] in capsys.readouterr().err
