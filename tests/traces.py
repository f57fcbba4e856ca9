"""Characterization traces: every byte that controllers send on seeded days, held against what is recorded.

    python -m tests.traces check [--seeds N]     compare with tests/data/traces.json; 1 if a day differs
    python -m tests.traces record [--seeds N]    write that file anew (only for a wanted change of behaviour)
    python -m tests.traces diff COMMIT --seed S  play one day with the sources of COMMIT and with those of the
                                                 working tree, and print the first message that differs
    python -m tests.traces play --seed S --out FILE   write the messages of one day, one JSON object a line

A day is a run of whole controllers in simulated time (`tests/virtual_time.py`), so it repeats to the byte, in a process whose
PYTHONHASHSEED is 0 (`play` asks for it, the others see to it). Bad input (an unknown
commit, a seed that is not recorded, a data file that is missing or cut short) exits with 2 and one line that names it.
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
from tests import meetings
from tests.cluster import Service, job
from tests.courses import wrong
from tests.fakes import CLOUD_HOST, STORE_HOST
from tests.meetings import Met

ROOT = Path(__file__).resolve().parent.parent
DATA = ROOT / "tests" / "data" / "traces.json"
RECORDED_DAYS = 200
CI_DAYS = 16  # the first of them, played with the tests

CONTROLLERS = "10.0.0."
WORKERS = "10.1."
FREE_TEXT = re.compile(rb'"(error|reason)":"((?:[^"\\]|\\.)*)"')  # what users read in an answer
CONTENT_LENGTH = re.compile(rb"(?im)^content-length: *\d+\r\n")

SMALLER_LIMITS = NextLimits(write_rps=100.0, value_kb=2.0, txn_ops=6)
EARLIER_VERSION = 1  # of a controller that announces nothing
HASH_SEED = (
    "0"  # of Python's own string hashes: sets of names are iterated in an order that depends on it
)
ROLL_PAUSE_S = 3.0  # between the restarts of an upgrade


class Message(NamedTuple):
    """One write of a controller to a connection."""

    at_s: float
    kind: str  # who receives it: store, cloud, workers, controllers or users
    sender: str
    receiver: str
    body: bytes


class Trace(NamedTuple):
    """What is recorded of a day."""

    seed: int
    digest: str  # of all messages but their free text
    texts: str  # of the free text (`error`, `reason`) in answers to users
    messages: dict[str, int]  # how many, by kind


# -- a day -------------------------------------------------------------------------------------------------


def kind_of(receiver: str) -> str:
    """Which of the protocol's parties a host is."""
    if receiver in (STORE_HOST, CLOUD_HOST):
        return "store" if receiver == STORE_HOST else "cloud"
    if receiver.startswith(CONTROLLERS):
        return "controllers"
    return "workers" if receiver.startswith(WORKERS) else "users"


async def upgraded(service: Service, rng: random.Random, for_s: float) -> None:
    """Controllers of the version before are replaced by present ones, one after the other."""
    for number in rng.sample(range(3), 3):
        service.crash(number, 0.3)
        await asyncio.sleep(ROLL_PAUSE_S)


async def limits_shrink(service: Service, rng: random.Random, for_s: float) -> None:
    """The store takes smaller values and transactions, while an array of many tasks is written."""
    number = 800_000 + rng.randrange(1000)
    submitted = asyncio.create_task(
        service.submit(job(number, shares=70, accelerators=0.1, cpus=0.1, expect_s=6.0))
    )
    await asyncio.sleep(2.0)
    service.store.txn_limits = (2048, 6)
    await submitted


async def dependencies(service: Service, rng: random.Random, for_s: float) -> None:
    """Jobs of both teams that wait for others: an array, a gang, and one that fails often enough to be parked."""
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


async def many_fail(service: Service, rng: random.Random, for_s: float) -> None:
    """Every task that a worker starts meanwhile fails: retries in place, then parks."""
    workers = list(service.cloud.workers.values())
    for worker in workers:
        worker.failure_share = 1.0
    await asyncio.sleep(for_s)
    for worker in workers:
        worker.failure_share = 0.0


EXTRA = {trouble.__name__: trouble for trouble in (limits_shrink, dependencies, many_fail)}


def events_of(seed: int, rng: random.Random) -> list[Met]:
    """The faults that the seed draws, and those that come with its number so that none is missing."""
    events = meetings.drawn(rng)
    if seed % 2 == 0:
        events.append(Met(3.0 + rng.random(), "dependencies", 1.0))
    if seed % 3 == 0:
        events.append(Met(6.0 + rng.random(), "more_than_room", 1.0))
    if seed % 4 == 1:
        events.append(Met(10.0 + rng.random(), "many_fail", 6.0))
    if seed % 5 == 0:
        events.append(Met(rng.uniform(12.0, 30.0), "upgraded", 1.0))
    if seed % 7 == 3:
        events.append(Met(5.0 + rng.random(), "limits_shrink", 1.0))
    return sorted(events)


def play(seed: int) -> list[Message]:
    """All that the controllers send on the day of this seed, in order."""
    messages: list[Message] = []

    def observe(at_s: float, sender: str, receiver: str, body: bytes) -> None:
        if sender.startswith(CONTROLLERS):
            messages.append(Message(at_s, kind_of(receiver), sender, receiver, body))

    rng = random.Random(seed)
    events = events_of(seed, rng)
    with pytest.MonkeyPatch.context() as patch:
        extra: dict[str, Any] = dict(EXTRA)
        if seed % 5 == 0:
            # In a process of the version before nothing of an upgrade is announced.
            present = cluster_version.SUPPORTED_VERSION
            patch.setattr(cluster_version, "SUPPORTED_VERSION", EARLIER_VERSION)

            async def roll(service: Service, luck: random.Random, for_s: float) -> None:
                patch.setattr(cluster_version, "SUPPORTED_VERSION", present)
                await upgraded(service, luck, for_s)

            extra["upgraded"] = roll
        meetings.course(
            events,
            rng,
            seed,
            patch,
            leads=(None, 0, 1, 2)[seed % 4],
            more=extra,
            later=SMALLER_LIMITS if seed % 7 == 3 else None,
            observe=observe,
        )
    return messages


# -- what is recorded of it ----------------------------------------------------------------------------------


def divided(message: Message) -> tuple[bytes, bytes]:
    """A message without its free text, and the free text: only what users read as such is taken apart."""
    if message.kind != "users":
        return message.body, b""
    texts = b"\n".join(match[2] for match in FREE_TEXT.finditer(message.body))
    if not texts:
        return message.body, b""
    return FREE_TEXT.sub(rb'"\1":""', CONTENT_LENGTH.sub(b"", message.body)), texts


def traced(seed: int, messages: Iterable[Message]) -> Trace:
    """Digests and counts of a day's messages."""
    digest, texts = hashlib.sha256(), hashlib.sha256()
    counts: Counter[str] = Counter()
    for message in messages:
        body, text = divided(message)
        head = f"{message.at_s!r} {message.kind} {message.sender} {message.receiver} {len(body)}\n"
        digest.update(head.encode() + body)
        texts.update(text + b"\n")
        counts[message.kind] += 1
    return Trace(seed, digest.hexdigest(), texts.hexdigest(), dict(sorted(counts.items())))


def difference(recorded: Trace, found: Trace) -> str | None:
    """One line that says in what a day differs from what is recorded, or None."""
    if recorded.messages != found.messages:
        return f"seed {found.seed}: messages: recorded {recorded.messages}, found {found.messages}"
    if recorded.digest != found.digest:
        return f"seed {found.seed}: as many messages, other bytes, order or times (see: diff)"
    if recorded.texts != found.texts:
        return f"seed {found.seed}: only the wording of `error` or `reason` in answers to users"
    return None


def played(seed: int) -> Trace:
    """The trace of a seed, played now."""
    return traced(seed, play(seed))


def recorded(path: Path | None = None) -> dict[int, Trace]:
    """The recorded traces by seed. Raises ValueError that names the file, if it is missing or cut short."""
    path = path or DATA
    try:
        days = json.loads(path.read_text(encoding="utf-8"))["days"]
        return {day["seed"]: Trace(**day) for day in days}
    except FileNotFoundError:
        raise ValueError(f"{path}: missing") from None
    except (ValueError, KeyError, TypeError) as why:
        raise ValueError(f"{path}: cut short or not a file of traces ({why})") from None


def _written(traces: list[Trace]) -> str:
    rows = ",\n".join(json.dumps(trace._asdict()) for trace in traces)
    return f'{{"days": [\n{rows}\n]}}\n'


# -- the command line ----------------------------------------------------------------------------------------


def refuse(why: str) -> NoReturn:
    """Bad input: one line, and 2."""
    wrong(f"traces: {why}")


def each_played(seeds: list[int], jobs: int) -> Iterator[Trace]:
    """Traces of many days, each played in one of some processes."""
    os.environ["PYTHONHASHSEED"] = HASH_SEED  # spawned interpreters take it from there
    spawned = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(jobs, mp_context=spawned) as pool:
        yield from pool.map(played, seeds)


def check(seeds: int, jobs: int) -> int:
    """Compare the first days with what is recorded; the exit status."""
    try:
        known = recorded()
    except ValueError as why:
        refuse(str(why))
    if seeds > len(known):
        refuse(f"--seeds {seeds}: {len(known)} are recorded")
    wrong = 0
    for found in each_played(sorted(known)[:seeds], jobs):
        differs = difference(known[found.seed], found)
        if differs:
            wrong += 1
            print(differs, flush=True)
    print(f"{seeds} days, {wrong} differ")
    return 1 if wrong else 0


def record(seeds: int, jobs: int) -> int:
    """Write the file anew."""
    traces = []
    for trace in each_played(list(range(seeds)), jobs):
        traces.append(trace)
        print(trace.seed, trace.messages, flush=True)
    DATA.parent.mkdir(exist_ok=True)
    DATA.write_text(_written(traces), encoding="utf-8")
    return 0


def _stored(message: Message) -> str:
    return json.dumps([*message[:4], message.body.decode("latin-1")])


def _loaded(line: str) -> Message:
    at_s, kind, sender, receiver, body = json.loads(line)
    return Message(at_s, kind, sender, receiver, body.encode("latin-1"))


def _shown(message: Message | None) -> str:
    if message is None:
        return "no further message"
    return (
        f"{message.at_s:.6f} s, {message.sender} -> {message.receiver} ({message.kind}): "
        f"{message.body.decode('utf-8', 'backslashreplace')}"
    )


def _messages_at(root: Path, seed: int) -> list[Message]:
    """A day's messages with the sources (and the tests) that stand below a directory."""
    with tempfile.TemporaryDirectory() as folder:
        out = Path(folder) / "messages"
        words = [
            sys.executable,
            "-m",
            "tests.traces",
            "play",
            "--seed",
            str(seed),
            "--out",
            str(out),
        ]
        pinned = {**os.environ, "PYTHONHASHSEED": HASH_SEED}
        ended = subprocess.run(
            words, cwd=root, env=pinned, capture_output=True, text=True, check=False
        )
        if ended.returncode:
            last = (ended.stderr.strip().splitlines() or ["?"])[-1]
            refuse(f"{root}: the day of seed {seed} can't be played there ({last})")
        return [_loaded(line) for line in out.read_text(encoding="utf-8").splitlines()]


def diff(commit: str, seed: int) -> int:
    """Print the first message that differs between a commit's sources and the working tree's."""
    archive = subprocess.run(["git", "archive", commit], cwd=ROOT, capture_output=True, check=False)
    if archive.returncode:
        refuse(f"unknown commit {commit!r}")
    with tempfile.TemporaryDirectory() as folder:
        with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as files:
            files.extractall(folder, filter="data")
        before = _messages_at(Path(folder), seed)
    after = _messages_at(ROOT, seed)
    for number, (one, other) in enumerate(zip_longest(before, after)):
        if one != other:
            print(f"message {number} of seed {seed} differs")
            print(f"{commit}: {_shown(one)}\nnow: {_shown(other)}")
            return 1
    print(f"seed {seed}: {len(before)} messages, all equal")
    return 0


def main(words: list[str] | None = None) -> int:
    """The command line; returns the exit status."""
    top = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    verbs = top.add_subparsers(dest="verb", required=True)
    for verb in ("check", "record"):
        many = verbs.add_parser(verb)
        many.add_argument("--seeds", type=int, default=RECORDED_DAYS)
        many.add_argument("--jobs", type=int, default=4, help="days at once")
    one = verbs.add_parser("diff")
    one.add_argument("commit")
    one.add_argument("--seed", type=int, required=True)
    one = verbs.add_parser("play")
    one.add_argument("--seed", type=int, required=True)
    one.add_argument("--out", type=Path, required=True)
    options = top.parse_args(words)
    if options.verb in ("check", "record"):
        if options.seeds <= 0 or options.jobs <= 0:
            refuse(f"--seeds, --jobs: expected above 0, found {options.seeds}, {options.jobs}")
        return (check if options.verb == "check" else record)(options.seeds, options.jobs)
    if options.verb == "diff":
        try:
            known = recorded()
        except ValueError as why:
            refuse(str(why))
        if options.seed not in known:
            refuse(f"seed {options.seed} is not recorded")
        return diff(options.commit, options.seed)
    if os.environ.get("PYTHONHASHSEED") != HASH_SEED:
        refuse(f"play: expected PYTHONHASHSEED={HASH_SEED} in the environment")
    options.out.write_text(
        "".join(f"{_stored(message)}\n" for message in play(options.seed)), encoding="utf-8"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
