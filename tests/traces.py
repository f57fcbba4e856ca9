"""Characterization traces: every byte that controllers send on seeded days, and their record.

    python -m tests.traces check [--seeds N]     compare with tests/data/traces.json; exit status 1
                                                 if a day differs
    python -m tests.traces record [--seeds N]    rewrite that file (only for an intended change of
                                                 behavior)
    python -m tests.traces diff COMMIT --seed S  run one day with the sources of COMMIT and one with
                                                 those of the working tree, and print the first
                                                 message that differs
    python -m tests.traces play --seed S --out FILE   write the messages of one day, one JSON array
                                                      per line

A day is a run of whole controllers in simulated time (`tests/virtual_time.py`). It repeats to the byte
in a process whose PYTHONHASHSEED is 0: `play` requires that variable, the other commands set it for
their child processes. Bad input (an unknown commit, a seed that is not recorded, a data file that
is missing or truncated) prints one line that names it and exits with status 2.
"""

from __future__ import annotations

import argparse
import asyncio
import concurrent.futures
import hashlib
import io
import json
import multiprocessing
import os
import random
import re
import subprocess
import sys
import tarfile
import tempfile
from collections import Counter
from collections.abc import Iterable, Iterator
from itertools import zip_longest
from pathlib import Path
from typing import Any, NamedTuple, NoReturn

import pytest

from ashdock import cluster_version
from ashdock.settings import NextLimits
from tests import fault_combinations, scenarios
from tests.cluster import Service, job
from tests.fakes import CLOUD_HOST, STORE_HOST
from tests.fault_combinations import ScheduledFault

ROOT = Path(__file__).resolve().parent.parent
TRACES_FILE = ROOT / "tests" / "data" / "traces.json"
RECORDED_DAYS = 200
CI_DAYS = 16  # the first recorded days, which run with the tests

CONTROLLERS = "10.0.0."
WORKERS = "10.1."
FREE_TEXT = re.compile(rb'"(error|reason)":"((?:[^"\\]|\\.)*)"')  # prose for users
CONTENT_LENGTH = re.compile(rb"(?im)^content-length: *\d+\r\n")

SMALLER_LIMITS = NextLimits(write_rps=100.0, value_kb=2.0, txn_ops=6)
EARLIER_VERSION = 1  # of a controller that announces no version
# PYTHONHASHSEED: the iteration order of sets of names depends on Python's string hashes.
HASH_SEED = "0"
UPGRADE_RESTART_INTERVAL_S = 3.0


class Message(NamedTuple):
    """One write of a controller to a connection."""

    at_s: float
    kind: str  # party that receives it: store, cloud, workers, controllers or users
    sender: str
    receiver: str
    body: bytes


class Trace(NamedTuple):
    """The record of a day."""

    seed: int
    digest: str  # SHA-256 of all messages without their free text
    texts: str  # SHA-256 of the free text (`error`, `reason`) in responses to users
    messages: dict[str, int]  # message count by kind


# -- Running a day


def receiver_kind(receiver: str) -> str:
    """Return which party of the protocol a host is."""
    if receiver in (STORE_HOST, CLOUD_HOST):
        return "store" if receiver == STORE_HOST else "cloud"
    if receiver.startswith(CONTROLLERS):
        return "controllers"
    return "workers" if receiver.startswith(WORKERS) else "users"


async def rolling_upgrade(service: Service, rng: random.Random, for_s: float) -> None:
    """Restart the controllers one after the other in random order; the caller sets the version."""
    for number in rng.sample(range(3), 3):
        service.crash(number, 0.3)
        await asyncio.sleep(UPGRADE_RESTART_INTERVAL_S)


async def store_limits_shrink(service: Service, rng: random.Random, for_s: float) -> None:
    """Lower the store's limits for values and transactions while a large array job is written."""
    number = 800_000 + rng.randrange(1000)
    submitted = asyncio.create_task(
        service.submit(job(number, shares=70, accelerators=0.1, cpus=0.1, expect_s=6.0))
    )
    await asyncio.sleep(2.0)
    service.store.txn_limits = (2048, 6)
    await submitted


async def dependent_jobs(service: Service, rng: random.Random, for_s: float) -> None:
    """Submit jobs of both teams that depend on others; one fails often enough to be parked.

    With a probability of 0.3 one of the prerequisites is cancelled.
    """
    number = 810_000 + 10 * rng.randrange(1000)
    names = [f"req-{number + n:06d}" for n in range(5)]
    runs = [
        job(number, shares=3, expect_s=4.0, fails=4),
        job(number + 1, owner="blue", shares=2, expect_s=5.0, awaits=names[:1]),
        job(number + 2, shape="ensemble", shares=2, accelerators=2.0, awaits=names[:2]),
        job(number + 3, owner="blue", shares=4, urgency="high", awaits=names[1:3]),
        job(number + 4, shares=2, awaits=names[3:4]),
    ]
    for run in runs:
        await service.submit(run)
    if rng.random() < 0.3:
        await service.cancel(names[1])


async def mass_task_failure(service: Service, rng: random.Random, for_s: float) -> None:
    """Let every task that the present workers start in this time fail: retries, then parks."""
    workers = list(service.cloud.workers.values())
    for worker in workers:
        worker.failure_share = 1.0
    await asyncio.sleep(for_s)
    for worker in workers:
        worker.failure_share = 0.0


EXTRA_FAULTS = {
    fault.__name__: fault for fault in (store_limits_shrink, dependent_jobs, mass_task_failure)
}


def events_of(seed: int, rng: random.Random) -> list[ScheduledFault]:
    """Return the random faults of a seed and those that its number selects, by time.

    The latter make sure that each of these faults occurs on some days.
    """
    events = fault_combinations.draw_faults(rng)
    if seed % 2 == 0:
        events.append(ScheduledFault(3.0 + rng.random(), "dependent_jobs", 1.0))
    if seed % 3 == 0:
        events.append(ScheduledFault(6.0 + rng.random(), "more_than_room", 1.0))
    if seed % 4 == 1:
        events.append(ScheduledFault(10.0 + rng.random(), "mass_task_failure", 6.0))
    if seed % 5 == 0:
        events.append(ScheduledFault(rng.uniform(12.0, 30.0), "rolling_upgrade", 1.0))
    if seed % 7 == 3:
        events.append(ScheduledFault(5.0 + rng.random(), "store_limits_shrink", 1.0))
    return sorted(events)


def play(seed: int) -> list[Message]:
    """Run the day of this seed and return all messages that its controllers send, in order."""
    messages: list[Message] = []

    def observe(at_s: float, sender: str, receiver: str, body: bytes) -> None:
        if sender.startswith(CONTROLLERS):
            messages.append(Message(at_s, receiver_kind(receiver), sender, receiver, body))

    rng = random.Random(seed)
    events = events_of(seed, rng)
    with pytest.MonkeyPatch.context() as patch:
        extra_faults: dict[str, Any] = dict(EXTRA_FAULTS)
        if seed % 5 == 0:
            # A controller of the earlier version announces no version.
            current = cluster_version.SUPPORTED_VERSION
            patch.setattr(cluster_version, "SUPPORTED_VERSION", EARLIER_VERSION)

            async def upgrade(service: Service, event_rng: random.Random, for_s: float) -> None:
                patch.setattr(cluster_version, "SUPPORTED_VERSION", current)
                await rolling_upgrade(service, event_rng, for_s)

            extra_faults["rolling_upgrade"] = upgrade
        fault_combinations.run_faults(
            events,
            rng,
            seed,
            patch,
            leader_offset=(None, 0, 1, 2)[seed % 4],
            extra_faults=extra_faults,
            next_limits=SMALLER_LIMITS if seed % 7 == 3 else None,
            observe=observe,
        )
    return messages


# -- Recording and comparing days


def split_free_text(message: Message) -> tuple[bytes, bytes]:
    """Split a message into its bytes without free text and the free text.

    Only responses to users are split, since their wording may change without a change of behavior.
    """
    if message.kind != "users":
        return message.body, b""
    texts = b"\n".join(match[2] for match in FREE_TEXT.finditer(message.body))
    if not texts:
        return message.body, b""
    return FREE_TEXT.sub(rb'"\1":""', CONTENT_LENGTH.sub(b"", message.body)), texts


def trace_of(seed: int, messages: Iterable[Message]) -> Trace:
    """Return the digests and counts of a day's messages."""
    digest, texts = hashlib.sha256(), hashlib.sha256()
    counts: Counter[str] = Counter()
    for message in messages:
        body, text = split_free_text(message)
        head = f"{message.at_s!r} {message.kind} {message.sender} {message.receiver} {len(body)}\n"
        digest.update(head.encode() + body)
        texts.update(text + b"\n")
        counts[message.kind] += 1
    return Trace(seed, digest.hexdigest(), texts.hexdigest(), dict(sorted(counts.items())))


def describe_difference(recorded: Trace, found: Trace) -> str | None:
    """Return one line on how a day differs from its record, or None if it does not."""
    if recorded.messages != found.messages:
        return f"seed {found.seed}: messages: recorded {recorded.messages}, found {found.messages}"
    if recorded.digest != found.digest:
        return f"seed {found.seed}: same message counts, other bytes, order or times (see: diff)"
    if recorded.texts != found.texts:
        return f"seed {found.seed}: only the wording of `error` or `reason` in responses to users"
    return None


def play_and_trace(seed: int) -> Trace:
    """Run the day of a seed and return its trace."""
    return trace_of(seed, play(seed))


def load_recorded(path: Path | None = None) -> dict[int, Trace]:
    """Return the recorded traces by seed.

    Raises:
        ValueError: The file is missing, truncated or malformed; the message names it.
    """
    path = path or TRACES_FILE
    try:
        days = json.loads(path.read_text(encoding="utf-8"))["days"]
        return {day["seed"]: Trace(**day) for day in days}
    except FileNotFoundError:
        raise ValueError(f"{path}: missing") from None
    except (ValueError, KeyError, TypeError) as error:
        raise ValueError(f"{path}: truncated or not a file of traces ({error})") from None


def _serialized(traces: list[Trace]) -> str:
    rows = ",\n".join(json.dumps(trace._asdict()) for trace in traces)
    return f'{{"days": [\n{rows}\n]}}\n'


# -- Command line


def exit_with_usage_error(message: str) -> NoReturn:
    """Print one line on the bad input and exit with status 2."""
    scenarios.exit_with_usage_error(f"traces: {message}")


def play_all(seeds: list[int], jobs: int) -> Iterator[Trace]:
    """Run many days in `jobs` processes and yield their traces in order of the seeds."""
    os.environ["PYTHONHASHSEED"] = HASH_SEED  # inherited by the spawned interpreters
    spawn_context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(jobs, mp_context=spawn_context) as pool:
        yield from pool.map(play_and_trace, seeds)


def check(seeds: int, jobs: int) -> int:
    """Compare the first `seeds` days with their record and return the exit status."""
    try:
        known = load_recorded()
    except ValueError as error:
        exit_with_usage_error(str(error))
    if seeds > len(known):
        exit_with_usage_error(f"--seeds {seeds}: {len(known)} are recorded")
    differing = 0
    for found in play_all(sorted(known)[:seeds], jobs):
        finding = describe_difference(known[found.seed], found)
        if finding:
            differing += 1
            print(finding, flush=True)
    print(f"{seeds} days, {differing} differ")
    return 1 if differing else 0


def record(seeds: int, jobs: int) -> int:
    """Rewrite the file with the first `seeds` days and return the exit status."""
    traces = []
    for trace in play_all(list(range(seeds)), jobs):
        traces.append(trace)
        print(trace.seed, trace.messages, flush=True)
    TRACES_FILE.parent.mkdir(exist_ok=True)
    TRACES_FILE.write_text(_serialized(traces), encoding="utf-8")
    return 0


def _message_to_json(message: Message) -> str:
    return json.dumps([*message[:4], message.body.decode("latin-1")])


def _message_from_json(line: str) -> Message:
    at_s, kind, sender, receiver, body = json.loads(line)
    return Message(at_s, kind, sender, receiver, body.encode("latin-1"))


def _format_message(message: Message | None) -> str:
    if message is None:
        return "no further message"
    return (
        f"{message.at_s:.6f} s, {message.sender} -> {message.receiver} ({message.kind}): "
        f"{message.body.decode('utf-8', 'backslashreplace')}"
    )


def _play_with_sources(root: Path, seed: int) -> list[Message]:
    """Run a day with the sources and the tests in a directory and return its messages."""
    with tempfile.TemporaryDirectory() as folder:
        out = Path(folder) / "messages"
        command = [
            sys.executable,
            "-m",
            "tests.traces",
            "play",
            "--seed",
            str(seed),
            "--out",
            str(out),
        ]
        environment = {**os.environ, "PYTHONHASHSEED": HASH_SEED}
        result = subprocess.run(
            command, cwd=root, env=environment, capture_output=True, text=True, check=False
        )
        if result.returncode:
            last_line = (result.stderr.strip().splitlines() or ["?"])[-1]
            exit_with_usage_error(
                f"{root}: the day of seed {seed} can't be run there ({last_line})"
            )
        return [_message_from_json(line) for line in out.read_text(encoding="utf-8").splitlines()]


def diff(commit: str, seed: int) -> int:
    """Print the first message that differs between a commit and the working tree.

    Returns the exit status: 1 if a message differs.
    """
    archive = subprocess.run(["git", "archive", commit], cwd=ROOT, capture_output=True, check=False)
    if archive.returncode:
        exit_with_usage_error(f"unknown commit {commit!r}")
    with tempfile.TemporaryDirectory() as folder:
        with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as files:
            files.extractall(folder, filter="data")
        before = _play_with_sources(Path(folder), seed)
    after = _play_with_sources(ROOT, seed)
    for number, (old, new) in enumerate(zip_longest(before, after)):
        if old != new:
            print(f"message {number} of seed {seed} differs")
            print(f"{commit}: {_format_message(old)}\nnow: {_format_message(new)}")
            return 1
    print(f"seed {seed}: {len(before)} messages, all equal")
    return 0


def main(arguments: list[str] | None = None) -> int:
    """Run the command line and return the exit status."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    commands = parser.add_subparsers(dest="verb", required=True)
    for command in ("check", "record"):
        seeds_parser = commands.add_parser(command)
        seeds_parser.add_argument("--seeds", type=int, default=RECORDED_DAYS)
        seeds_parser.add_argument(
            "--jobs", type=int, default=4, help="number of days that run at the same time"
        )
    seed_parser = commands.add_parser("diff")
    seed_parser.add_argument("commit")
    seed_parser.add_argument("--seed", type=int, required=True)
    seed_parser = commands.add_parser("play")
    seed_parser.add_argument("--seed", type=int, required=True)
    seed_parser.add_argument("--out", type=Path, required=True)
    options = parser.parse_args(arguments)
    if options.verb in ("check", "record"):
        if options.seeds <= 0 or options.jobs <= 0:
            exit_with_usage_error(
                f"--seeds, --jobs: expected numbers above 0, found {options.seeds}, {options.jobs}"
            )
        return (check if options.verb == "check" else record)(options.seeds, options.jobs)
    if options.verb == "diff":
        try:
            known = load_recorded()
        except ValueError as error:
            exit_with_usage_error(str(error))
        if options.seed not in known:
            exit_with_usage_error(f"seed {options.seed} is not recorded")
        return diff(options.commit, options.seed)
    if os.environ.get("PYTHONHASHSEED") != HASH_SEED:
        exit_with_usage_error(f"play: expected PYTHONHASHSEED={HASH_SEED} in the environment")
    options.out.write_text(
        "".join(f"{_message_to_json(message)}\n" for message in play(options.seed)),
        encoding="utf-8",
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
