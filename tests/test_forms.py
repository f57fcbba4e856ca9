"""Stored forms, frames, HTTP bodies and settings against the corpus that the sources before the renames gave.

A case of the corpus is an operation, its input and its outcome (tests/forms). What is renamed changes
`tests/forms/adapter` only; the data files and what is asserted here stay.
"""

from __future__ import annotations

import json
import re
import shutil
from collections import defaultdict
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as some
from hypothesis.strategies import SearchStrategy

from tests.forms import adapter, corpus, samples
from tests.forms.__main__ import main
from tests.forms.cases import FILES, OPERATIONS, Case, canonical, replay

Plain = Any
READ_AND_WRITTEN = {  # a reader, and the writer that gives its bytes back
    "read_frame": "write_frame",
    "read_submission": "write_submission",
    "read_report": "write_report",
    "read_orders": "write_orders",
    "read_direct_orders": "write_direct_orders",
    "read_catalog": "write_catalog",
    "read_hosts": "write_hosts",
    "read_rented": "write_rented",
}
KEYS = [  # each pattern of the keys in the store
    r"job/req-\d+",
    r"work/red/req-\d+/job",
    r"work/red/req-\d+/\d+",
    r"work/red/req-\d+/\d+w\d+",
    r"park/red/\d+",
    r"machine/vm-\d+",
    r"charter/n1\.\d+\.\d+",
    r"part/red",
    r"leader",
    r"member/n1",
    r"life/n1",
    r"catalog",
    r"catalog/g\d",
    r"upgrade/node/n1",
    r"upgrade/mark",
]


def by_operation() -> dict[tuple[str, str], list[Case]]:
    """The cases of each data file, by operation."""
    found: dict[tuple[str, str], list[Case]] = defaultdict(list)
    for file, cases in corpus.load_all().items():
        for case in cases:
            found[file, case.operation].append(case)
    return dict(found)


CASES = by_operation()


def cases_of(operation: str) -> list[Case]:
    """All cases of an operation."""
    return [case for (_, found), cases in CASES.items() if found == operation for case in cases]


# -- the corpus ------------------------------------------------------------------------------------


@pytest.mark.parametrize(("file", "operation"), CASES)
def test_outcomes_are_as_recorded(file: str, operation: str) -> None:
    for case in CASES[file, operation]:
        found = replay(operation, case.input)
        assert canonical(found) == canonical(case.outcome), f"{file}: {case.name}"


@pytest.mark.parametrize("read", READ_AND_WRITTEN)
def test_recorded_bytes_are_read_and_written_again(read: str) -> None:
    """Where the writer gave the bytes; those of other programs may leave out what we write."""
    write = READ_AND_WRITTEN[read]
    written = {canonical(case.outcome): case for case in cases_of(write)}
    compared = 0
    for case in cases_of(read):
        if canonical(case.input) in written and not is_error(case.outcome):
            values = replay(read, case.input)
            values = without_length(values) if read == "read_frame" else values
            assert replay(write, values) == case.input, case.name
            compared += 1
    assert compared >= 1


def is_error(outcome: Plain) -> bool:
    """Whether a case was refused."""
    return isinstance(outcome, dict) and "error" in outcome


def without_length(values: Plain) -> Plain:
    """A frame's values without what only its head says."""
    return {key: item for key, item in values.items() if key != "length"}


def test_every_operation_has_cases() -> None:
    assert {operation for _, operation in CASES} == OPERATIONS


def test_every_frame_kind_is_recorded() -> None:
    assert {case.input["kind"] for case in cases_of("write_frame")} == adapter.FRAME_KINDS
    assert len(adapter.FRAME_KINDS) == 16


def test_a_frame_cut_short_anywhere_is_refused() -> None:
    for case in cases_of("read_frame_cut_short"):
        body = len(case.input) // 2 - adapter.FRAME_HEAD_BYTES
        assert sum(count for count, _ in case.outcome) == body
        assert {said["error"]["type"] for _, said in case.outcome} == {"bad frame"}, case.name


def test_every_key_is_recorded_as_it_is_written() -> None:
    bodies = [body for case in cases_of("transactions") for body in case.outcome]
    bodies += [body for case in cases_of("front_answer") for body in case.outcome["transactions"]]
    written = {
        write["set"]
        for body in bodies
        for write in json.loads(body).get("writes", ())
        if "set" in write
    }
    for pattern in KEYS:
        assert any(re.fullmatch(pattern, key) for key in written), pattern
    unknown = [key for key in written if not any(re.fullmatch(pattern, key) for pattern in KEYS)]
    assert unknown == []


def test_the_values_of_a_variation_are_told_apart() -> None:
    """One outcome for each value tried, and each field has some that is refused."""
    for operation in ("vary_body", "vary_settings", "vary_operators"):
        for case in cases_of(operation):
            assert len(case.outcome) == len(case.input["values"])


# -- recording and checking ------------------------------------------------------------------------


def test_what_is_recorded_anew_is_the_same(tmp_path: Path) -> None:
    anew = tmp_path / "anew"
    assert main(["record", "--new", str(anew)]) == 0
    for name in [corpus.INDEX, *samples.DATA_FILES, *samples.OTHER_FILES]:
        assert (anew / name).read_bytes() == (FILES / name).read_bytes(), name


def test_the_corpus_is_not_recorded_over(
    capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    for arguments in (["record"], ["record", "--new", str(tmp_path)]):
        assert main(arguments) == 2
        said = capsys.readouterr().err
        assert said.count("\n") == 1 and "recorded already" in said


@pytest.mark.parametrize("name", [corpus.INDEX, *samples.DATA_FILES, *samples.OTHER_FILES])
@pytest.mark.parametrize("damage", ["missing", "cut short", "empty", "changed"])
def test_a_damaged_data_file_is_named(
    name: str, damage: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    directory = tmp_path / "forms"
    shutil.copytree(FILES, directory)
    path = directory / name
    data = path.read_bytes()
    if damage == "missing":
        path.unlink()
    else:
        path.write_bytes({"cut short": data[:-3], "empty": b"", "changed": b"x" + data[1:]}[damage])
    assert main(["check"], directory) == 2
    said = capsys.readouterr().err
    assert said.count("\n") == 1 and str(path) in said


def test_a_different_outcome_is_named(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    directory = tmp_path / "forms"
    case = cases_of("join_task_name")[0]
    corpus.save({"one.json": [case, case._replace(outcome="req-1/8")]}, [], directory)
    assert main(["check"], directory) == 1
    said = capsys.readouterr().out
    assert said.splitlines() == [
        "one.json: task name: join_task_name",
        "2 cases, 1 of another outcome",
    ]


# -- properties: what is written is read back ------------------------------------------------------

U16, U32, U64 = (some.integers(0, 2**bits - 1) for bits in (16, 32, 64))
FLOATS = some.floats(allow_nan=False)
FINITE = some.floats(0, 1e9, allow_nan=False)
SECONDS = some.integers(0, 2 * 10**12).map(lambda thousandths: thousandths / 1000)
PRIORITY = some.integers(0, 3)
TEXT = some.text(max_size=40)
NAME = some.text(min_size=1, max_size=30)
BODY = some.binary(max_size=200).map(bytes.hex)
FLAGS = some.booleans()


def listed(*columns: SearchStrategy[Plain]) -> SearchStrategy[Plain]:
    """Rows of these columns."""
    return some.lists(some.tuples(*columns).map(list), max_size=5)


WANTS = listed(
    FLOATS, FLOATS, FLOATS, U32, some.integers(0, 255), FLAGS, FLAGS, FLOATS, FLAGS, U32, FLAGS,
    some.lists(TEXT, max_size=4), TEXT, TEXT,
)  # fmt: skip
TYPES = some.lists(TEXT, max_size=4)
WORDS: dict[int, tuple[SearchStrategy[Plain], ...]] = {
    4: (TEXT, TEXT, TEXT),
    5: (TEXT, TEXT, some.lists(TEXT, max_size=5)),
    9: (TEXT, TEXT),
    10: (TEXT, TEXT, U32, FLAGS, TYPES, TEXT),
}
FIELDS: dict[int, tuple[SearchStrategy[Plain], ...]] = WORDS | {
    1: (TEXT,),
    2: (U64, FLOATS, FLOATS, FLAGS, FLAGS, FLOATS, FLOATS),
    3: (TEXT, U64, U32, U32, U32, WANTS, listed(TEXT, FLOATS), listed(TEXT, some.integers(0, 255), FLOATS)),
    6: (U32, BODY),
    7: (U32, U16, BODY),
    8: (listed(TEXT, U32, U32),),
    11: (listed(TEXT, U64),),
    12: (TEXT, listed(TEXT, some.integers(-128, 127), FLOATS)),
    13: (
        U64,
        some.one_of(
            [
                some.tuples(some.just(kind), some.tuples(*fields).map(list)).map(list)
                for kind, fields in WORDS.items()
            ]
        ),
    ),
    14: (TEXT, listed(TEXT, TEXT)),
    15: (listed(TEXT, TEXT, U64, FLOATS),),
    16: (U64, U64),
}  # fmt: skip
HOLDS = settings(derandomize=True, max_examples=60, deadline=None)


def test_there_is_a_property_for_each_frame() -> None:
    assert set(FIELDS) == adapter.FRAME_KINDS


@pytest.mark.parametrize("kind", sorted(FIELDS))
@HOLDS
@given(data=some.data())
def test_frames_there_and_back(kind: int, data: some.DataObject) -> None:
    fields = list(data.draw(some.tuples(*FIELDS[kind])))
    values = {"kind": kind, "fields": fields}
    written = replay("write_frame", values)
    found = replay("read_frame", written)
    assert canonical(without_length(found)) == canonical(values)
    assert found["length"] == len(written) // 2 - adapter.FRAME_HEAD_BYTES


@HOLDS
@given(kind=some.integers(0, 255), body=some.binary(max_size=80))
def test_any_bytes_are_a_frame_or_a_bad_frame(kind: int, body: bytes) -> None:
    written = samples.frame_with(kind, body.hex())
    found = replay("read_frame", written)
    if is_error(found):
        assert found["error"]["type"] == "bad frame"
    else:
        assert replay("read_frame", replay("write_frame", without_length(found))) == found


JOB = some.text("abcXYZ019_.-", min_size=1, max_size=20).map(lambda name: f"req-{name}")
SUBMISSIONS = some.fixed_dictionaries(
    {
        "id": JOB,
        "workload": NAME,
        "owner": NAME,
        "shape": some.sampled_from(["sweep", "ensemble", "daemon"]),
        "urgency": some.sampled_from(["critical", "high", "standard", "best_effort"]),
        "shares": some.integers(1, 100_000),
        "cpus": FINITE,
        "accelerators": FINITE,
        "ram_gb": FINITE,
        "bundle": NAME,
        "size_gb": FINITE,
        "same_place": FLAGS,
        "spread": FLAGS,
        "loaners": FLAGS,
        "expect_s": FINITE,
        "snapshot_s": FINITE,
        "flush_s": FINITE,
        "hulls": some.none() | some.lists(NAME, max_size=4),
        "yard": some.none() | NAME,
        "due_s": some.none() | FINITE,
        "awaits": some.none() | some.lists(JOB, max_size=4),
    }
)
TASK_REPORTS = some.fixed_dictionaries(
    {
        "share": TEXT,
        "try": U32,
        "status": TEXT,
        "cause": some.none() | TEXT,
        "kept": FLAGS,
    }
)
REPORTS = some.fixed_dictionaries(
    {
        "berth": NAME,
        "address": TEXT,
        "hull": TEXT,
        "yard": TEXT,
        "tenure": U32,
        "tally": U32,
        "warrant": U32,
        "loaners": FLAGS,
        "recall_s": some.none() | FLOATS.filter(lambda value: abs(value) < 1e300),
        "shares": some.lists(TASK_REPORTS, max_size=4),
    }
)
ORDERS = some.lists(
    some.fixed_dictionaries({"verb": TEXT, "share": TEXT, "try": U32, "leeway_s": some.none() | FINITE}),
    max_size=4,
)  # fmt: skip
MACHINE_TYPES = some.fixed_dictionaries(
    {
        "label": TEXT,
        "cpus": FINITE,
        "accelerators": FINITE,
        "ram_gb": FINITE,
        "cache_gb": FINITE,
        "fetch_gb_per_s": FINITE,
        "price": FINITE,
        "low_price": FINITE,
        "boot_s": FINITE,
        "yards": some.lists(TEXT, max_size=3),
    }
)
HOSTS = some.fixed_dictionaries(
    {
        "id": TEXT,
        "address": TEXT,
        "hull": TEXT,
        "yard": TEXT,
        "status": TEXT,
        "loaners": FLAGS,
        "age_s": FINITE,
    }
)
BODIES: dict[str, SearchStrategy[Plain]] = {
    "submission": SUBMISSIONS,
    "report": REPORTS,
    "orders": some.fixed_dictionaries({"warrant": U64, "orders": ORDERS}),
    "direct_orders": some.fixed_dictionaries({"warrant": U64, "tenure": U32, "orders": ORDERS}),
    "catalog": some.lists(MACHINE_TYPES, max_size=3),
    "hosts": some.fixed_dictionaries({"berths": some.lists(HOSTS, max_size=3), "truncated": FLAGS}),
    "rented": some.lists(TEXT, max_size=5),
}


@pytest.mark.parametrize("form", BODIES)
@HOLDS
@given(data=some.data())
def test_bodies_there_and_back(form: str, data: some.DataObject) -> None:
    values = data.draw(BODIES[form])
    written = replay(f"write_{form}", values)
    assert canonical(replay(f"read_{form}", written)) == canonical(values)


@HOLDS
@given(values=SUBMISSIONS)
def test_a_job_is_stored_as_it_was_submitted(values: Plain) -> None:
    """Its specification goes through the store unchanged, whatever else the record tells."""
    spec = replay("accept_submission", json.dumps(values))
    record = replay("write_job_record", {"spec": spec, "at": 1.5, "reason": "none"})
    found = replay("read_job_record", record)
    assert canonical(found["spec"]) == canonical(spec) and found["at"] == 1.5
    assert found["known"][2] == "none"


SPEC = samples.PLAIN_SPEC
CHUNK_TASKS = 8
TASK = some.one_of(
    some.just(None),
    some.just("done"),
    some.tuples(NAME, some.integers(1, 9)),
    some.tuples(some.integers(1, 40), SECONDS, TEXT, some.integers(0, 1)),
)


@HOLDS
@given(
    tasks=some.lists(TASK, min_size=CHUNK_TASKS, max_size=CHUNK_TASKS),
    number=some.integers(0, 4),
    plain=FLAGS,
)
def test_chunks_there_and_back(tasks: list[Plain], number: int, plain: bool) -> None:
    layout = {"spec": SPEC, "width": CHUNK_TASKS, "plain_width": CHUNK_TASKS if plain else 16}
    values: dict[str, Plain] = {
        "chunk": number,
        "attempts": 9,
        "done": [],
        "placed": [],
        "failed": [],
    }
    for task, state in enumerate(tasks, number * CHUNK_TASKS):
        if state == "done":
            values["done"].append([task, task])
        elif state is not None and len(state) == 2:
            values["placed"].append([task, *state])
        elif state is not None:
            times, first, why, past = state
            failure = {"task": task, "times": times, "first": first, "why": why, "past": past}
            values["failed"].append(failure)
    written = replay("write_chunk", layout | {"tasks": values})
    found = replay("read_chunk", layout | written)
    assert found["chunk"] == number and found["width"] == CHUNK_TASKS and found["attempts"] == 9
    done = [task for low, high in found["done"] for task in range(low, high + 1)]
    assert done == [task for task, _ in values["done"]]
    assert canonical(found["placed"]) == canonical(values["placed"])
    assert canonical(found["failed"]) == canonical(values["failed"])
    assert replay("write_chunk", layout | {"tasks": found}) == written


PARKS = some.lists(
    some.fixed_dictionaries(
        {
            "job": JOB,
            "low": some.integers(0, 50),
            "high": some.integers(50, 99),
            "at": SECONDS,
            "times": some.integers(1, 40),
            "first": FINITE,
            "why": TEXT,
            "past": some.integers(0, 1),
        }
    ),
    max_size=8,
    unique_by=canonical,
)


@HOLDS
@given(parks=PARKS, limit=some.integers(50, 800))
def test_parks_there_and_back(parks: list[Plain], limit: int) -> None:
    found = []
    for key, value in replay("write_parks", {"parks": parks, "limit": limit}):
        found += replay("read_parks", {"key": key, "value": value})
    assert sorted(map(canonical, found)) == sorted(map(canonical, parks))


MACHINES = some.fixed_dictionaries(
    {"t": some.just("g4"), "z": NAME, "s": FLAGS, "a": TEXT, "p": TEXT, "at": SECONDS},
    optional={
        "r": some.just(1),
        "n": some.integers(1, 99),
        "x": NAME,
        "i": some.lists(
            some.tuples(NAME, FINITE).map(list), max_size=12, unique_by=lambda image: image[0]
        ),
    },
)


@HOLDS
@given(record=MACHINES)
def test_machines_there_and_back(record: Plain) -> None:
    value = json.dumps(record)
    written = replay("rewrite_machine", {"value": value, "part": record["p"]})
    first, second = (
        replay("read_machine", {"key": "machine/vm-1", "value": text}) for text in (value, written)
    )
    assert canonical(first) == canonical(second)
    assert replay("rewrite_machine", {"value": written, "part": record["p"]}) == written


@HOLDS
@given(
    teams=some.lists(some.tuples(NAME, some.integers(1, 9)).map(list), min_size=1, max_size=4),
    zone=NAME,
    spot=FLAGS,
)
def test_charters_there_and_back(teams: list[Plain], zone: str, spot: bool) -> None:
    intent = {"teams": teams, "type": "g4", "zone": zone, "spot": spot}
    given_ = {"writer": "charter", "arguments": intent, "store": [["leader", {}, 41]]}
    (body,) = replay("transactions", given_)
    (write,) = json.loads(body)["writes"]
    number = sum(count for _, count in teams)
    assert replay("read_charter", json.dumps(write["value"])) == intent | {"number": number}
