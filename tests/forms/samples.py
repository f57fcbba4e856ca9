"""The inputs of the corpus. Labels, names and amounts are invented.

`record` runs each through the present code and notes the outcome. Where a form is read and written,
the writer's bytes are what the reader is given; forms of earlier versions stand here as their text.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from typing import Any

from tests.forms import adapter
from tests.forms.cases import FILES, MISSING, RENAMED, Case, replay

Plain = Any
Given = tuple[str, str, Plain]  # name, operation, input
OPERATORS = "ashdock.hcl"
VARIED_SETTINGS = [
    "settings/three_controllers.toml",
    "settings/single_controller.toml",
    "settings/falling_limits.toml",
]
SETTINGS = [*VARIED_SETTINGS, "settings/five_controllers.toml"]
OTHER_FILES = [*SETTINGS, OPERATORS]


def codec(name: str, write: str, read: str, values: Plain) -> Iterator[Given]:
    """Values written, and the bytes read back."""
    yield name, write, values
    yield name, read, replay(write, values)


# -- frames ----------------------------------------------------------------------------------------

MOST_U64 = 2**64 - 1
WANT = [1.0, 2.0, 3.0, 5, 2, True, False, -3.5, True, 6, False, ["g4", "g8"], "zone-1", "image-1"]
PLAIN_WANT = [0.5, 0.0, 1.0, 1, 0, False, True, 60.0, False, 0, True, [], "", ""]
FRAMES: list[tuple[str, int, list[Plain]]] = [
    ("hello", 1, ["controller-1"]),
    ("hello, nothing", 1, [""]),
    ("hello, beyond ASCII", 1, ["contrôleur-1"]),
    ("heartbeat", 2, [MOST_U64, 0.5, 1.5, True, False, 12.25, 3.5]),
    ("heartbeat, infinite ages", 2, [0, float("inf"), float("inf"), False, True, 0.0, 0.0]),
    (
        "picture",
        3,
        ["team-1", 12, 4, 5, 6, [WANT, PLAIN_WANT], [["vm-9", 2.5]], [["vm-8", 3, 4.5]]],
    ),
    ("picture, empty", 3, ["team-1", 0, 0, 0, 0, [], [], []]),
    ("yield", 4, ["team-1", "vm-1", "team-2"]),
    ("yield to the pool", 4, ["team-1", "vm-1", ""]),
    ("recall", 5, ["team-1", "team-2", ["vm-1", "vm-2"]]),
    ("recall of none", 5, ["team-1", "", []]),
    ("relay", 6, [9, b'{"berth":"vm-1"}'.hex()]),
    ("relay, empty", 6, [2**32 - 1, ""]),
    ("relayed", 7, [9, 503, b'{"error":"not the owner"}'.hex()]),
    ("counts", 8, [[["req-1", 3, 4], ["req-2", 0, 0]]]),
    ("counts, empty", 8, [[]]),
    ("give", 9, ["team-1", "controller-2"]),
    ("owed", 10, ["team-1", "team-2", 3, True, ["g4", "g8"], "zone-1"]),
    ("owed, anywhere", 10, ["team-1", "team-2", 1, False, [], ""]),
    ("claims", 11, [[["team-1", 7], ["team-2", 2**63]]]),
    ("claims, empty", 11, [[]]),
    ("ahead", 12, ["team-1", [["req-1", 2, 1.5], ["req-2", -1, float("inf")]]]),
    ("ahead, empty", 12, ["team-1", []]),
    ("yield under a term", 13, [1 << 40, [4, ["team-1", "vm-1", "team-2"]]]),
    ("recall under a term", 13, [2, [5, ["team-1", "team-2", ["vm-1"]]]]),
    ("give under a term", 13, [3, [9, ["team-1", "controller-2"]]]),
    ("owed under a term", 13, [MOST_U64, [10, ["team-1", "team-2", 3, True, ["g4"], ""]]]),
    ("leaving", 14, ["team-1", [["vm-1", "team-2"], ["vm-2", ""]]]),
    ("cancelled", 15, [[["req-1", "team-1", 2**63, 1.5], ["req-2", "team-2", 0, 0.0]]]),
    ("cancelled, none", 15, [[]]),
    ("vouch", 16, [MOST_U64, 0]),
]


def frame_cases() -> Iterator[Given]:
    """Each kind there and back, and cut short at every length."""
    for name, kind, fields in FRAMES:
        values = {"kind": kind, "fields": fields}
        yield from codec(name, "write_frame", "read_frame", values)
        yield name, "read_frame_cut_short", replay("write_frame", values)


def frame_hex(name: str) -> str:
    """The bytes of one of the frames above."""
    kind, fields = next((kind, fields) for found, kind, fields in FRAMES if found == name)
    written: str = replay("write_frame", {"kind": kind, "fields": fields})
    return written


def refused_frame_cases() -> Iterator[Given]:
    """What is no frame, or none of this version."""
    for name, *_ in FRAMES:
        yield f"{name}: a byte left over", "read_frame", frame_hex(name) + "00"
    good = frame_hex("hello")
    yield "wrong magic", "read_frame", "5858" + good[4:]
    for version in (0, 1, 2, 4, 255):
        yield f"version {version}", "read_frame", f"{good[:4]}{version:02x}{good[6:]}"
    for kind in (0, 17, 255):
        yield f"unknown kind {kind}", "read_frame", f"{good[:6]}{kind:02x}{good[8:]}"
    for kind in (*range(18), 255):
        body = f"{7:016x}{kind:02x}" + good[16:]
        yield f"kind {kind} under a term", "read_frame", frame_with(13, body)
    yield "not UTF-8", "read_frame", frame_with(1, "0002c328")
    yield "count beyond the frame", "read_frame", frame_with(11, "ffffffff")
    yield "a text beyond the frame", "read_frame", frame_with(1, "ffff41")
    yield "a body beyond the frame", "read_frame", frame_with(6, "00000001ffffffff")
    limit = adapter.FRAME_BODY_LIMIT
    yield "head of the largest", "read_frame", f"41440301{limit:08x}"
    yield "head of one too long", "read_frame", f"41440301{limit + 1:08x}"
    yield "the largest written", "write_large_frame", limit - 8
    yield "one too long written", "write_large_frame", limit - 7
    yield "no frame written", "write_no_frame", None


def frame_with(kind: int, body: str) -> str:
    """A frame of this version around a body, as hex."""
    return f"414403{kind:02x}{len(body) // 2:08x}{body}"


# -- HTTP bodies -----------------------------------------------------------------------------------

SUBMISSION: dict[str, Plain] = {
    "id": "req-000001",
    "workload": "class-1",
    "owner": "red",
    "shape": "sweep",
    "urgency": "standard",
    "shares": 40,
    "cpus": 1.5,
    "accelerators": 1.0,
    "ram_gb": 2.25,
    "bundle": "image-1",
    "size_gb": 3.0,
    "same_place": True,
    "spread": False,
    "loaners": True,
    "expect_s": 30.0,
    "snapshot_s": 5.0,
    "flush_s": 2.0,
}
OPTIONAL: dict[str, Plain] = {"hulls": ["g4", "g8"], "yard": "a", "due_s": 600.0}
WAITING: dict[str, Plain] = {"awaits": ["req-000002", "req-000003", "req-000002"]}
REPORT: dict[str, Plain] = {
    "berth": "vm-1",
    "address": "10.1.0.1:9000",
    "hull": "g4",
    "yard": "a",
    "tenure": 3,
    "tally": 12,
    "warrant": 41,
    "loaners": True,
    "recall_s": 30.5,
    "shares": [
        {"share": "req-000001/0", "try": 2, "status": "running", "cause": None, "kept": False},
        {"share": "req-000001/1", "try": 1, "status": "ended", "cause": "done", "kept": True},
    ],
}
ORDERS: list[Plain] = [
    {"verb": "run", "share": "req-000001/0", "try": 1},
    {"verb": "kill", "share": "req-000001/1", "try": 2, "leeway_s": 2.5},
    {"verb": "forget", "share": "req-000001/2", "try": 3},
]
MACHINE_TYPE: dict[str, Plain] = {
    "label": "g4",
    "cpus": 32.0,
    "accelerators": 4.0,
    "ram_gb": 128.0,
    "cache_gb": 200.0,
    "fetch_gb_per_s": 0.5,
    "price": 4.25,
    "low_price": 1.5,
    "boot_s": 45.0,
    "yards": ["a", "b"],
}
HOST: dict[str, Plain] = {
    "id": "vm-1",
    "address": "10.1.0.1:9000",
    "hull": "g4",
    "yard": "a",
    "status": "up",
    "loaners": True,
    "age_s": 12.5,
}
ENTRY: dict[str, Plain] = {"path": "job/req-1", "stamp": 4, "value": {"at": 1}}


def body_cases() -> Iterator[Given]:
    """Each body that passes over HTTP, read and written."""
    full = SUBMISSION | OPTIONAL | WAITING
    submissions = [
        ("all fields", full),
        ("minimal", SUBMISSION),
        ("unknown fields", full | {"x": {}}),
    ]
    for shape, urgency in (("ensemble", "critical"), ("daemon", "high"), ("sweep", "best_effort")):
        submissions.append((f"{shape}, {urgency}", full | {"shape": shape, "urgency": urgency}))
    submissions += [("awaits none", SUBMISSION | {"awaits": []})]
    for name, body in submissions:
        yield name, "read_submission", json.dumps(body)
        yield name, "write_submission", replay("read_submission", json.dumps(body))
        yield name, "accept_submission", json.dumps(body)
    yield from codec("submission, every field", "write_submission", "read_submission", full)
    for name, report in (("report", REPORT), ("report, no tasks", REPORT | {"shares": []})):
        yield from codec(name, "write_report", "read_report", report)
    least = {
        key: REPORT[key]
        for key in ("berth", "address", "hull", "yard", "tenure", "tally", "warrant")
    }
    for name, report in (("report, minimal", least), ("report, unknown fields", REPORT | {"x": 1})):
        yield name, "read_report", json.dumps(report)
    yield from codec("orders", "write_orders", "read_orders", {"warrant": 41, "orders": ORDERS})
    yield from codec("no orders", "write_orders", "read_orders", {"warrant": 0, "orders": []})
    direct = {"warrant": 41, "tenure": 3, "orders": ORDERS}
    yield from codec("direct orders", "write_direct_orders", "read_direct_orders", direct)
    yield from codec(
        "catalog", "write_catalog", "read_catalog", [MACHINE_TYPE, MACHINE_TYPE | {"label": "c8"}]
    )
    yield from codec("hosts", "write_hosts", "read_hosts", {"berths": [HOST], "truncated": True})
    yield from codec("rented", "write_rented", "read_rented", ["vm-1", "vm-2"])
    least_host = {key: HOST[key] for key in ("id", "address", "hull", "yard", "status")}
    yield "hosts, minimal", "read_hosts", json.dumps({"berths": [least_host], "x": 1})
    for name, values in (
        ("status, queued", {"job": "req-1", "status": "queued"}),
        ("status, running", {"job": "req-1", "status": "running", "done": 2, "running": 3}),
        ("status, withdrawn", {"job": "req-1", "status": "withdrawn", "reason": "it needs é"}),
    ):
        yield name, "write_status_answer", values
    for name in ("req-1/0", "req-1/999999", "req-1/1000000", "req-1", "req-1/x", "a/b/3", "", "/1"):
        yield f"task name {name}", "split_task_name", name
    yield "task name", "join_task_name", ["req-1", 7]


WRONG: list[Plain] = [
    MISSING,
    None,
    True,
    -1,
    0,
    1,
    1.5,
    2e9,
    10**20,
    "",
    "x",
    "x" * 201,
    [],
    [1],
    [""],
    {},
]
MALFORMED: list[tuple[str, Plain]] = [
    ("empty", ""),
    ("cut short", '{"id":"req-1"'),
    ("a list", "[]"),
    ("null", "null"),
    ("two values", "{}{}"),
    ("a lone surrogate", '{"id":"\\ud800"}'),
    ("not UTF-8", {"hex": "7b226964223a22c328227d"}),
    ("nested deeply", "[" * 5000),
    ("NaN", '{"cpus":NaN}'),
]


def wrong_body_cases() -> Iterator[Given]:
    """Each field missing, of a wrong type and out of range; bodies that are not JSON."""
    submission = SUBMISSION | OPTIONAL | WAITING
    shapes: list[tuple[str, dict[str, Plain], list[list[Any]]]] = [
        ("read_submission", submission, [[key] for key in submission]),
        ("read_report", REPORT, [[key] for key in REPORT]),
        ("read_report", REPORT, [["shares", 0, key] for key in REPORT["shares"][0]]),
        (
            "read_catalog",
            {"hulls": [MACHINE_TYPE]},
            [["hulls"], *(["hulls", 0, key] for key in MACHINE_TYPE)],
        ),
        (
            "read_hosts",
            {"berths": [HOST], "truncated": False},
            [["truncated"], *(["berths", 0, key] for key in HOST)],
        ),
        ("read_rented", {"berths": ["vm-1"]}, [["berths"]]),
    ]
    for operation, body, paths in shapes:
        for path in paths:
            given = {"operation": operation, "body": body, "path": path, "values": WRONG}
            yield f"{operation} {'.'.join(map(str, path))}", "vary_body", given
    for operation in ("read_submission", "read_report"):
        for name, body in MALFORMED:
            yield f"{operation}, {name}", operation, body
    ids = [
        "req-",
        "req-a b",
        "req-" + "a" * 100,
        "req-" + "a" * 101,
        "req-1\n",
        "Req-1",
        "req-é",
        "req-A_b.c-9",
    ]
    given = {"operation": "read_submission", "body": submission, "path": ["id"], "values": ids}
    yield "names of jobs", "vary_body", given
    counts = [100_000, 100_001]
    yield "most tasks", "vary_body", given | {"path": ["shares"], "values": counts}
    yield (
        "most processors",
        "vary_body",
        given | {"path": ["cpus"], "values": [1e9, 1000000001, -0.5]},
    )
    yield "longest name", "vary_body", given | {"path": ["owner"], "values": ["é" * 200, "é" * 201]}
    yield "shapes", "vary_body", given | {"path": ["shape"], "values": ["array", "Sweep", "daemon"]}
    yield (
        "urgencies",
        "vary_body",
        given | {"path": ["urgency"], "values": ["normal", "best_effort"]},
    )
    yield (
        "jobs awaited",
        "vary_body",
        given | {"path": ["awaits"], "values": [["x"], ["req-1", 2], "req-1"]},
    )


# -- records in the store --------------------------------------------------------------------------

SPEC: dict[str, Plain] = {
    "id": "req-000001",
    "job_class": "class-1",
    "team": "red",
    "kind": "array",
    "priority": 1,
    "tasks": 40,
    "cpus": 1.5,
    "gpus": 1.0,
    "memory_gb": 2.25,
    "image": "image-1",
    "image_gb": 3.0,
    "one_zone": True,
    "spread": False,
    "spot": True,
    "estimate_s": 30.0,
    "checkpoint_s": 5.0,
    "save_s": 2.0,
    "types": ["g4", "g8"],
    "zone": "a",
    "deadline_s": 600.0,
}
PLAIN_SPEC = SPEC | {"types": None, "zone": None, "deadline_s": None}
NEEDS = {"needs": ["req-000002", "req-000003"]}
AT = 1_700_000_000.125
LAYOUT: dict[str, Plain] = {"spec": SPEC, "width": 16, "plain_width": 16}
FAILED: list[Plain] = [
    {"task": 4, "times": 1, "first": AT, "why": "error", "past": 0},
    {"task": 5, "times": 1, "first": AT, "why": "error", "past": 0},
    {"task": 6, "times": 31, "first": AT, "why": "no_such", "past": 1},
]
NO_TASKS: dict[str, Plain] = {"chunk": 0, "attempts": 0, "done": [], "placed": [], "failed": []}
PARK: dict[str, Plain] = {
    "job": "req-000001",
    "low": 3,
    "high": 9,
    "at": AT + 2,
    "times": 2,
    "first": AT,
    "why": "error",
    "past": 0,
}


def record_cases() -> Iterator[Given]:
    """Each record in each form that some version wrote."""
    yield from job_record_cases()
    yield from chunk_cases()
    yield from park_cases()
    yield from machine_cases()
    yield from small_record_cases()
    yield from store_record_cases()


def job_record_cases() -> Iterator[Given]:
    """`job/<id>` and its copy beside the work."""
    withdrawn = {"status": "withdrawn", "cancelled_at": AT + 9.0004}
    for name, values in (
        ("queued", {"spec": SPEC, "at": AT}),
        ("queued, nothing optional", {"spec": PLAIN_SPEC, "at": AT}),
        ("queued, waits for others", {"spec": SPEC | NEEDS, "at": AT}),
        ("queued, with a reason", {"spec": SPEC, "at": AT, "reason": "no room for 4 of g4"}),
        ("done", {"spec": SPEC, "at": AT, "status": "done", "done_at": AT + 60.0006}),
        ("done, before times were noted", {"spec": SPEC, "at": AT, "status": "done"}),
        ("withdrawn", {"spec": SPEC, "at": AT, **withdrawn}),
        (
            "withdrawn, with a reason",
            {
                "spec": SPEC | NEEDS,
                "at": AT,
                **withdrawn,
                "reason": "it needs req-000002, which was cancelled",
            },
        ),
        ("withdrawn, before times were noted", {"spec": SPEC, "at": AT, "status": "withdrawn"}),
        ("gang", {"spec": SPEC | {"kind": "gang", "priority": 3}, "at": AT}),
        ("service", {"spec": SPEC | {"kind": "service", "priority": 0}, "at": AT}),
    ):
        yield from codec(f"job record, {name}", "write_job_record", "read_job_record", values)
    done = {"spec": SPEC | NEEDS, "at": AT, "status": "done", "done_at": AT}
    text = replay("write_job_record", done)
    for limit in (len(text), len(text) - 1):
        given = {"record": text, "limit": limit}
        yield f"job record of {len(text)} bytes within {limit}", "write_fitting_job_record", given
    fitted = replay("write_fitting_job_record", {"record": text, "limit": 1})
    yield "job record, made to fit", "read_job_record", fitted
    yield "job record, unknown fields", "read_job_record", text.replace('"at"', '"new":1,"at"')
    for field in SPEC:
        record = json.loads(text)
        del record["spec"][field]
        yield f"job record, {field} missing", "read_job_record", json.dumps(record)
        record["spec"][field] = {}
        yield f"job record, {field} wrong", "read_job_record", json.dumps(record)
    for field in ("spec", "at", "status"):
        record = {key: item for key, item in json.loads(text).items() if key != field}
        yield f"job record, {field} missing", "read_job_record", json.dumps(record)


def chunk_cases() -> Iterator[Given]:
    """`work/<team>/<id>/<n>`, narrower ones beside it, and forms of before."""
    placed = [[0, "vm-1", 2], [7, "vm-2", 3]]
    for name, layout, tasks in (
        ("empty", {}, NO_TASKS),
        ("done", {}, NO_TASKS | {"attempts": 4, "done": [[0, 2], [5, 5], [15, 15]]}),
        ("placed", {}, NO_TASKS | {"attempts": 3, "placed": placed}),
        ("failed", {}, NO_TASKS | {"attempts": 3, "failed": FAILED}),
        (
            "all of it",
            {},
            NO_TASKS | {"attempts": 9, "done": [[1, 3]], "placed": placed, "failed": FAILED},
        ),
        ("the last, shorter", {}, NO_TASKS | {"chunk": 2, "attempts": 1, "done": [[32, 39]]}),
        ("narrow", {"width": 8}, NO_TASKS | {"attempts": 1, "done": [[0, 7]]}),
        (
            "narrow, later",
            {"width": 8},
            NO_TASKS | {"chunk": 3, "attempts": 2, "placed": [[25, "vm-3", 2]]},
        ),
        (
            "narrowest",
            {"width": 1},
            NO_TASKS | {"chunk": 39, "attempts": 2, "placed": [[39, "vm-3", 2]]},
        ),
    ):
        given = LAYOUT | layout | {"tasks": tasks}
        yield f"chunk, {name}", "write_chunk", given
        written = replay("write_chunk", given)
        yield f"chunk, {name}", "read_chunk", LAYOUT | layout | written
    for name, value in (
        ("failures before bounds were noted", '{"a":2,"f":[[4,5,1,1700000000.125,"error"]]}'),
        ("no attempts noted", '{"d":[[0,3]]}'),
        ("unknown fields", '{"a":1,"z":[1],"d":[[0,3]]}'),
        ("wrong ranges", '{"a":1,"d":[3]}'),
        ("tasks beyond the job", '{"a":1,"d":[[38,41]]}'),
    ):
        yield (
            f"chunk, {name}",
            "read_chunk",
            LAYOUT | {"key": "work/red/req-000001/0", "value": value},
        )
    wide = [
        "0",
        '{"a":4,"d":[[0,2]],"p":[[3,"vm-1",4],[12,"vm-2",4]],"f":[[13,13,1,5.0,"error",0]]}',
    ]
    narrow = ["0w8", '{"a":5,"d":[[0,4]]}']
    narrower = ["2w3", '{"a":6,"p":[[6,"vm-3",6]]}']
    for name, chunks in (
        ("wide alone", [wide]),
        ("narrow alone", [narrow]),
        ("going over to narrow ones", [wide, narrow]),
        ("gone over twice", [wide, narrow, narrower]),
        ("none", []),
    ):
        yield f"chunks, {name}", "read_layouts", LAYOUT | {"chunks": chunks}


def park_cases() -> Iterator[Given]:
    """`park/<team>/<n>`: one value, several, and the form before bounds were noted."""
    later = PARK | {"low": 20, "high": 20, "at": AT + 1, "times": 30, "past": 1}
    other = PARK | {"job": "req-000002", "why": ""}
    for name, parks, limit in (
        ("one", [PARK], 4096),
        ("several", [PARK, later, other], 4096),
        ("spilled over", [PARK, later, other], 100),
        ("none", [], 4096),
    ):
        given = {"parks": parks, "limit": limit}
        yield f"parks, {name}", "write_parks", given
        for key, value in replay("write_parks", given):
            yield f"parks, {name}", "read_parks", {"key": key, "value": value}
    for name, value in (
        (
            "before bounds were noted",
            '[["req-000001",3,9,1700000002.125,2,1700000000.125,"error"]]',
        ),
        ("empty", "[]"),
        ("too short", '[["req-000001",3,9]]'),
        ("too long", '[["req-000001",3,9,2.0,2,1.0,"error",0,1]]'),
    ):
        yield f"parks, {name}", "read_parks", {"key": "park/red/0", "value": value}


MACHINE = '"t":"g4","z":"a","s":true,"a":"10.1.0.1:9000","p":"red"'
IMAGES = '[["image-1",3.0],["image-2",1.5]]'
MACHINES = [
    ("rented", f'{{{MACHINE},"at":1700000000.125,"r":1}}'),
    ("adopted", f'{{{MACHINE},"at":1700000000.125}}'),
    ("lent while up", f'{{{MACHINE},"at":1700000000.125,"n":3}}'),
    ("lent before it booted", '{"t":"g4","z":"b","s":false,"a":"","p":"red","at":1.5}'),
    ("in the pool", '{"t":"g4","z":"b","s":false,"a":"","p":"","at":1.5,"r":1}'),
    ("with images", f'{{{MACHINE},"at":1700000000.125,"r":1,"i":{IMAGES},"n":3}}'),
    (
        "images of before, names alone",
        f'{{{MACHINE},"at":1700000000.125,"i":["image-1","image-2"]}}',
    ),
    ("given up", f'{{{MACHINE},"at":1700000000.125,"i":{IMAGES},"n":3,"x":"failed"}}'),
    ("before rental times", f"{{{MACHINE}}}"),
    ("before addresses", '{"t":"g4","z":"a","s":true,"p":"red"}'),
    ("unknown fields", f'{{{MACHINE},"at":1.5,"q":[]}}'),
    ("type missing", '{"z":"a","s":true,"p":"red"}'),
    ("zone missing", '{"t":"g4","s":true,"p":"red"}'),
    ("spot missing", '{"t":"g4","z":"a","p":"red"}'),
    ("part missing", '{"t":"g4","z":"a","s":true}'),
]


def machine_cases() -> Iterator[Given]:
    """`machine/<name>`, read by owner and leader, written again by its owner."""
    for name, value in MACHINES:
        yield f"machine, {name}", "read_machine", {"key": "machine/vm-1", "value": value}
        for part in ("red", "blue", ""):
            yield (
                f"machine, {name}, for {part!r}",
                "rewrite_machine",
                {"value": value, "part": part},
            )
    whole = MACHINES[5][1]
    for limit in (len(whole), len(whole) - 1, 1):
        yield f"machine within {limit} bytes", "trim_machine", {"value": whole, "limit": limit}
    leader = {
        "type": "g4",
        "zone": "a",
        "spot": True,
        "address": "",
        "part": "red",
        "at": AT + 0.0004,
    }
    yield "machine, by the leader", "write_leader_machine", leader


def small_record_cases() -> Iterator[Given]:
    """Charters, lives, members, parts and the leader's key."""
    for name, value in (
        ("for teams", '{"teams":[["red",2],["blue",1]],"t":"g4","z":"a","s":true}'),
        ("before, for one team", '{"team":"red","n":3,"t":"g4","z":"a","s":false}'),
        ("unknown fields", '{"teams":[["red",2]],"t":"g4","z":"a","s":true,"q":1}'),
        ("type missing", '{"teams":[["red",2]],"z":"a","s":true}'),
        ("no team", '{"t":"g4","z":"a","s":true}'),
    ):
        yield f"charter, {name}", "read_charter", value
    for name, value in (
        ("ended a moment ago", f'{{"ends":3,"at":{AT - 5}}}'),
        ("ended long ago", '{"ends":3,"at":1.5}'),
        ("first", "null"),
        ("unknown fields", f'{{"ends":1,"at":{AT},"q":1}}'),
        ("defaults", "{}"),
        ("wrong", '{"ends":"three"}'),
        ("no record", "[]"),
    ):
        yield f"life, {name}", "read_life", value
    now = {"incarnation": 5, "fit": True}
    for name, entries in (
        ("all fit", [["member/n1", now, 1], ["member/n2", now, 2]]),
        ("one unfit", [["member/n1", now, 1], ["member/n2", now | {"fit": False}, 2]]),
        ("all unfit", [["member/n1", now | {"fit": False}, 1]]),
        ("before fitness was noted", [["member/n1", {"incarnation": 5}, 1]]),
        (
            "one before fitness was noted, one unfit",
            [["member/n1", {"incarnation": 5}, 1], ["member/n2", now | {"fit": False}, 2]],
        ),
        (
            "one before fitness was noted",
            [["member/n1", {"incarnation": 5}, 1], ["member/n2", now, 2]],
        ),
        ("none", []),
    ):
        yield f"members, {name}", "read_members", entries
    for name, value in (
        ("owned", '{"owner":"n1"}'),
        ("unknown fields", '{"owner":"n1","q":1}'),
        ("owner missing", "{}"),
    ):
        yield f"part, {name}", "read_part_owner", value
    for name, value in (
        ("held", '{"label":"n1","incarnation":5}'),
        ("of another process", '{"label":"n1","incarnation":4}'),
        ("handed on", '{"label":"n1","incarnation":0,"by":"n2"}'),
        ("of another", '{"label":"n2","incarnation":5}'),
        ("free", "null"),
        ("label missing", "{}"),
    ):
        yield f"leader, {name}", "read_seat", {"label": "n1", "value": value}


def store_record_cases() -> Iterator[Given]:
    """Records that are read with a request: the upgrade's and the catalog."""
    nodes = [[f"upgrade/node/n{n}", {"forms": 4}, n] for n in (1, 2, 3)]
    for version in (1, 2, 3, 4, 5):
        mark = ["upgrade/mark", {"forms": version, "of": ["n1", "n2", "n3"]}, 9]
        yield f"upgrade mark {version}", "read_upgrade", [mark, *nodes[:1]]
        older = ["upgrade/node/n3", {"forms": version}, 3]
        yield f"upgrade, one announced {version}", "read_upgrade", [*nodes[:2], older]
    yield "upgrade, unknown fields", "read_upgrade", [["upgrade/mark", {"forms": 2, "q": 1}, 9]]
    yield "upgrade, no version", "read_upgrade", [["upgrade/mark", {"of": []}, 9]]
    types = {label: MACHINE_TYPE | {"label": label} for label in ("c8", "g4")}
    each = [[f"catalog/{label}", {label: kind}, 4] for label, kind in types.items()]
    yield "catalog, one value", "read_kept_catalog", [["catalog", types, 4]]
    yield "catalog, a value each", "read_kept_catalog", each
    newer = [["catalog", {"g4": types["g4"] | {"price": 9.0}}, 3], *each]
    yield "catalog, both", "read_kept_catalog", newer
    yield (
        "catalog, unknown fields",
        "read_kept_catalog",
        [["catalog", {"g4": MACHINE_TYPE | {"q": 1}}, 4]],
    )
    yield "catalog, none", "read_kept_catalog", []
    for field in MACHINE_TYPE:
        kind = {key: item for key, item in MACHINE_TYPE.items() if key != field}
        yield f"catalog, {field} missing", "read_kept_catalog", [["catalog", {"g4": kind}, 4]]


# -- requests and answers of the clients -----------------------------------------------------------


def exchange_cases() -> Iterator[Given]:
    """Each call of each client, answered well, badly and not at all."""
    conditions = {"job/req-1": 0, "part/red": 41}
    writes = {
        "job/req-1": {"at": 1.5, "spec": None},
        "work/red/req-1/0": None,
        "life/n1": {"ends": 0},
    }
    entry, entry2 = json.dumps(ENTRY), json.dumps(ENTRY | {"path": "job/req-2"})
    page = f'{{"entries":[{entry}],"ledger":9,"truncated":true}}'
    last = f'{{"entries":[{entry2}],"ledger":11}}'
    changes = '{"ledger":12,"news":[{"stamp":10,"set":"job/a","value":{"b":1}},{"stamp":11,"delete":"job/c"},{"stamp":12,"x":1}]}'
    good: list[tuple[str, str, Plain, list[Plain]]] = [
        ("store", "get", {"path": "job/req-1"}, [[200, entry]]),
        ("store", "list", {"under": "job/"}, [[200, page], [200, last]]),
        ("store", "list", {"under": "job/"}, [[200, '{"entries":[],"ledger":9,"truncated":true}']]),
        (
            "store",
            "transaction",
            {"conditions": conditions, "writes": writes},
            [[200, '{"ledger":42}']],
        ),
        (
            "store",
            "transaction",
            {"conditions": conditions, "writes": writes, "lease": 7, "without_lease": ["life/n1"]},
            [[200, '{"ledger":42}']],
        ),
        (
            "store",
            "transaction",
            {"conditions": conditions, "writes": {}},
            [[200, '{"ledger":42}']],
        ),
        ("store", "grant lease", {"ttl_ms": 1500}, [[200, '{"permit":7}']]),
        ("store", "renew lease", {"lease": 7}, [[200, "{}"]]),
        ("store", "watch", {"under": "job/", "after": 9, "hold_ms": 20000}, [[200, changes]]),
        ("cloud", "catalog", {}, [[200, json.dumps({"hulls": [MACHINE_TYPE]})]]),
        (
            "cloud",
            "rent",
            {"name": "n1.41.1", "type": "g4", "zone": "a", "spot": True, "count": 2},
            [[200, '{"berths":["vm-1","vm-2"]}']],
        ),
        ("cloud", "release", {"names": ["vm-1", "vm-2"]}, [[200, "{}"]]),
        (
            "cloud",
            "list hosts",
            {},
            [
                [200, json.dumps({"berths": [HOST | {"id": "vm/1 é"}], "truncated": True})],
                [200, json.dumps({"berths": [HOST]})],
            ],
        ),
        (
            "worker",
            "orders",
            {"warrant": 41, "tenure": 3, "orders": ORDERS},
            [[200, json.dumps(REPORT)]],
        ),
    ]
    bad: list[list[Plain]] = [
        [],
        *(
            [[status, "{}"]]
            for status in (200, 201, 400, 404, 409, 410, 421, 429, 500, 502, 503, 504)
        ),
        [[200, ""]],
        [[200, "[]"]],
        [[200, "cut short"]],
        [
            [
                200,
                '{"stamp":"x","ledger":"x","permit":"x","entries":1,"news":1,"hulls":1,"berths":1}',
            ]
        ],
        [[400, '{"error":"no such lease"}']],
        [[409, '{"failed":["job/req-1"]}']],
        [[409, '{"failed":1}']],
        [[503, '{"error":"no capacity"}']],
    ]
    for number, (service, call, arguments, answers) in enumerate(good):
        base = {"service": service, "call": call, "arguments": arguments}
        yield f"{service}: {call} ({number})", "exchange", base | {"answers": answers}
        for answer in bad:
            name = f"{service}: {call} ({number}), answered {answer}"
            yield name, "exchange", base | {"answers": answer}


# -- what is written to the store ------------------------------------------------------------------


def transaction_cases() -> Iterator[Given]:
    """The transactions of each writer."""

    def case(name: str, writer: str, arguments: Plain, store: list[Plain]) -> Given:
        given = {"writer": writer, "arguments": arguments, "store": store}
        return f"{writer}: {name}", "transactions", given

    for agreed in (False, True):
        yield case(f"first life, all upgraded: {agreed}", "membership", {"agreed": agreed}, [])
    lives = [["life/n1", {"ends": 4, "at": AT - 5}, 2], ["life/n2", {"ends": 0, "at": 1.5}, 3]]
    yield case("after several ends", "membership", {"agreed": True}, lives)
    stale = [["member/n1", {"incarnation": 4}, 3]]
    yield case("its last life's entry is there", "membership", {"agreed": True}, stale)
    yield case("nobody had it", "claim", {"revision": 0}, [])
    yield case("from another", "claim", {"revision": 6}, [["part/red", {"owner": "n2"}, 6]])
    yield case("free", "leadership", {"held": []}, [])
    handed = [["leader", {"label": "n1", "incarnation": 0, "by": "n2"}, 6]]
    yield case("handed on", "leadership", {"held": handed}, handed)
    yield case("announces itself", "upgrade", {}, [])
    yield case("announces itself anew", "upgrade", {}, [["upgrade/node/n1", {"forms": 2}, 4]])
    nodes = [[f"upgrade/node/n{n}", {"forms": 4}, n] for n in (1, 2, 3)]
    yield case("all announced", "upgrade", {}, nodes)
    mark = [["upgrade/mark", {"forms": 2, "of": ["n1", "n2", "n3"]}, 9]]
    yield case("all announced, an older mark", "upgrade", {}, [*mark, *nodes])
    older = [["upgrade/node/n3", {"forms": 3}, 3]]
    yield case("one knows less", "upgrade", {}, [*nodes[:2], *older])
    yield case("one is missing", "upgrade", {}, nodes[:2])
    whole = [["upgrade/mark", {"forms": 4, "of": ["n1", "n2", "n3"]}, 9]]
    yield case("marked", "upgrade", {}, [*whole, *nodes])
    yield case("one value", "catalog", {"labels": ["g4", "g8"], "limit": 0}, [])
    yield case("a value each", "catalog", {"labels": ["g4", "g8"], "limit": 200}, [])
    intent = {"teams": [["red", 2], ["blue", 1]], "type": "g4", "zone": "a", "spot": True}
    yield case("for two teams", "charter", intent, [["leader", {}, 41]])
    pool = {
        "t": "g4",
        "z": "a",
        "s": True,
        "a": "",
        "p": "",
        "at": AT,
        "r": 1,
        "i": [["image-1", 3.0]],
    }
    report = json.dumps(REPORT)
    yield case(
        "rented, adopted, lent, given up",
        "machines",
        {"report": report},
        [["machine/vm-1", pool, 5]],
    )
    yield from part_cases(case)


def part_cases(case: Callable[[str, str, Plain, list[Plain]], Given]) -> Iterator[Given]:
    """A part's own transactions, from what an earlier owner left."""
    machine = {"t": "g4", "z": "a", "s": True, "a": "10.1.0.1:9000", "p": "red", "at": AT, "n": 3}
    machines = [["machine/vm-1", machine, 5]]
    queued = json.loads(replay("write_job_record", {"spec": PLAIN_SPEC, "at": AT}))
    gang = json.loads(
        replay("write_job_record", {"spec": PLAIN_SPEC | {"kind": "gang", "tasks": 3}, "at": AT})
    )

    def job(record: Plain, chunks: list[Plain]) -> list[Plain]:
        head = "work/red/req-000001/job"
        return [["job/req-000001", record, 6], [head, record, 6], *chunks]

    place = "work/red/req-000001/0"
    running = {"a": 2, "d": [[0, 2]], "p": [[3, "vm-1", 2]], "f": [[5, 5, 1, AT, "error", 0]]}
    parked = [["req-000001", 7, 9, AT + 60, 2, AT, "error", 0]]
    everything = {"a": 1, "d": [[0, 39]]}
    yield case("a new job", "part", {}, [*machines, *job(queued, [])])
    yield case("a new gang", "part", {}, [*machines, *job(gang, [])])
    yield case(
        "taken over",
        "part",
        {},
        [*machines, *job(queued, [[place, running, 7]]), ["park/red/0", parked, 8]],
    )
    yield case("all done", "part", {}, [*machines, *job(queued, [[place, everything, 7]])])
    yield case("a machine is gone", "part", {}, job(queued, [[place, running, 7]]))
    yield case("cancelled", "part", {"cancelled": ["req-000001"]}, job(queued, []))
    ended = {"share": "req-000001/3", "try": 2, "status": "ended", "cause": "done", "kept": False}
    report = REPORT | {"tenure": 4, "warrant": 7, "recall_s": None}
    last = {"a": 2, "d": [[0, 2], [4, 39]], "p": [[3, "vm-1", 2]]}
    for name, chunk, cause in (
        ("a task is done", running, "done"),
        ("the last task is done", last, "done"),
        ("a task has failed", running, "error"),
        ("a task has failed again", running | {"f": [[3, 3, 1, AT, "error", 0]]}, "error"),
    ):
        told = json.dumps(report | {"shares": [ended | {"cause": cause}]})
        store = [*machines, *job(queued, [[place, chunk, 7]])]
        yield case(name, "part", {"reports": [told]}, store)
    told = json.dumps(report | {"shares": [ended]})
    store = [*machines, *job(queued, [[place, last, 7]])]
    upgraded = {"limit": 4096, "reports": [told]}
    yield case("the last task is done, all upgraded", "part", upgraded, store)
    crowd = {"a": 2, "p": [[task, f"machine-of-a-long-name-{task}", 2] for task in range(40)]}
    many = [[f"machine/machine-of-a-long-name-{task}", machine, 5] for task in range(40)]
    store = [*many, *job(queued, [[place, crowd, 7]])]
    told = json.dumps(report | {"berth": "machine-of-a-long-name-3", "shares": [ended]})
    narrow = {"limit": 600, "reports": [told]}
    yield case("a chunk too large is narrowed", "part", narrow, store)
    yield case("no head", "part", {}, [[place, running, 7]])


# -- changes of records ----------------------------------------------------------------------------


def change_cases() -> Iterator[Given]:
    """What the watch brings, and what is read again after a condition failed."""
    machine = {"t": "g4", "z": "a", "s": True, "a": "10.1.0.1:9000", "p": "red", "at": AT, "n": 3}
    queued = json.loads(replay("write_job_record", {"spec": PLAIN_SPEC, "at": AT}))
    other = json.loads(json.dumps(queued))
    other["spec"]["id"] = "req-000002"
    head, place, park = "work/red/req-000001/job", "work/red/req-000001/0", "park/red/0"
    chunk = {"a": 2, "p": [[3, "vm-1", 2]]}
    store: list[Plain] = [["machine/vm-1", machine, 5], [head, queued, 6], [place, chunk, 7]]
    withdrawn = queued | {"status": "withdrawn"}
    parked = [["req-000001", 7, 9, AT + 60, 2, AT, "error", 0]]
    blue = json.loads(json.dumps(other))
    blue["spec"]["team"] = "blue"
    changes: list[tuple[str, str, Plain]] = [
        ("a new job", "job/req-000002", other),
        ("a new job of another team", "job/req-000002", blue),
        ("a reason", "job/req-000001", queued | {"reason": "no room"}),
        ("withdrawn", "job/req-000001", withdrawn | {"cancelled_at": AT + 3}),
        ("withdrawn, before times were noted", "job/req-000001", withdrawn),
        ("done", "job/req-000001", queued | {"status": "done", "done_at": AT + 9}),
        ("done, before times were noted", "job/req-000001", queued | {"status": "done"}),
        ("deleted", "job/req-000001", None),
        ("a new machine", "machine/vm-2", machine),
        ("a machine of an unknown type", "machine/vm-2", machine | {"t": "g9"}),
        ("a machine of another part", "machine/vm-2", machine | {"p": "blue"}),
        ("a machine given up", "machine/vm-1", machine | {"x": "failed"}),
        ("a machine lent on", "machine/vm-1", machine | {"p": "blue"}),
        ("a machine gone", "machine/vm-1", None),
        ("a machine without a part", "machine/vm-2", {"t": "g4", "z": "a", "s": True}),
        ("no status", "job/req-000001", {"spec": queued["spec"], "at": AT}),
    ]
    for name, path, value in changes:
        given = {"store": store, "changes": [[path, value, 20]]}
        yield f"{name}, by the watch", "watch_changes", given
        yield f"{name}, read again", "read_again", given
    for path, value in (
        (place, chunk),
        (place, None),
        (f"{place}w8", chunk),
        (head, None),
        (park, parked),
        (park, None),
    ):
        given = {"store": store, "changes": [[path, value, 20]]}
        yield f"{path}: {value}, read again", "read_again", given


def takeover_cases() -> Iterator[Given]:
    """What a controller finds that takes over a part, or the leadership."""
    machine = {"t": "g4", "z": "a", "s": True, "a": "10.1.0.1:9000", "p": "red", "at": AT, "n": 3}
    queued = json.loads(replay("write_job_record", {"spec": PLAIN_SPEC, "at": AT, "reason": "r"}))
    withdrawn = json.loads(json.dumps(queued | {"status": "withdrawn", "cancelled_at": AT + 3}))
    withdrawn["spec"]["id"] = "req-000002"
    part: list[Plain] = [
        ["part/red", {"owner": "n2"}, 4],
        ["machine/vm-1", machine, 5],
        ["machine/vm-2", machine | {"p": "blue"}, 5],
        ["machine/vm-3", machine | {"p": ""}, 5],
        ["machine/vm-4", machine | {"x": "failed"}, 5],
        ["work/red/req-000001/job", queued, 6],
        ["work/red/req-000001/0", {"a": 2, "d": [[0, 2]], "p": [[3, "vm-1", 2]]}, 7],
        ["work/red/req-000002/job", withdrawn, 8],
        ["work/red/req-000002/0", {"a": 1, "p": [[0, "vm-1", 1]]}, 9],
        ["work/blue/req-000003/0", {"a": 1}, 9],
        ["park/red/0", [["req-000001", 7, 9, AT + 60, 2, AT, "error", 0]], 10],
        ["park/blue/0", [["req-000003", 7, 9, AT + 60, 2, AT, "error", 0]], 10],
    ]
    yield "part", "take_over_part", part
    yield "part, nothing in it", "take_over_part", part[:1]
    intent = {"teams": [["red", 2], ["blue", 1]], "t": "g4", "z": "a", "s": True}
    older = {"team": "red", "n": 3, "t": "g4", "z": "b", "s": False}
    led: list[Plain] = [
        ["leader", {"label": "n1", "incarnation": 5}, 41],
        ["charter/n2.33.1", intent, 5],
        ["charter/n2.33.2", older, 6],
        ["charter/n2.33.3", intent | {"t": "g9"}, 7],
        ["charter/n1.41.1", intent, 8],
        *part[1:5],
    ]
    yield "leadership", "take_over_leadership", led
    yield "leadership, nothing left", "take_over_leadership", led[:1]


# -- what the front answers ------------------------------------------------------------------------


def answer_cases() -> Iterator[Given]:
    """Answers to users, workers and probes."""
    yield from user_answer_cases()
    yield from worker_answer_cases()
    for name, target in (("no such page", "/v2/job"), ("no such name", "/v2/runs/a%20b")):
        yield name, "front_answer", {"request": ["GET", target, ""]}
    for ready in (True, False):
        yield f"ready: {ready}", "front_answer", {"request": ["GET", "/ready", ""], "ready": ready}


def user_answer_cases() -> Iterator[Given]:
    """Submissions, questions and withdrawals."""
    least = SUBMISSION | {"shares": 4}
    submissions: list[tuple[str, Plain]] = [
        ("accepted", least),
        ("accepted with all fields", least | {"hulls": ["g4"], "yard": "a", "due_s": 600.0}),
        ("an unknown team", least | {"owner": "green"}),
        ("no such type", least | {"hulls": ["g9"]}),
        ("beyond the team's limit", least | {"shape": "ensemble", "shares": 40}),
        ("spread in one zone", least | {"shape": "ensemble", "spread": True}),
        ("what it needs is unknown", least | {"awaits": ["req-9"]}),
        ("too large to be stored", least | {"hulls": ["g4"] + [f"{n:0199d}" for n in range(60)]}),
        ("malformed", least | {"shares": 0}),
    ]
    for name, body in submissions:
        yield (
            f"submission, {name}",
            "front_answer",
            {"request": ["POST", "/v2/runs", json.dumps(body)]},
        )
    good = ["POST", "/v2/runs", json.dumps(least)]
    for name, more in (
        ("no catalog", {"no_catalog": True}),
        ("store down", {"store_down": True}),
    ):
        yield f"submission, {name}", "front_answer", {"request": good, **more}
    waits = ["POST", "/v2/runs", json.dumps(least | {"awaits": ["req-9"]})]
    yield (
        "submission that waits, old controllers",
        "front_answer",
        {"request": waits, "old_controllers": True},
    )
    for request in (["GET", "/v2/runs/req-1", ""], ["POST", "/v2/runs/req-1/withdraw", ""]):
        yield f"{request[0]}, store down", "front_answer", {"request": request, "store_down": True}
    yield "submission, GET", "front_answer", {"request": ["GET", "/v2/runs", ""]}
    queued = json.loads(replay("write_job_record", {"spec": PLAIN_SPEC, "at": AT}))
    records = {
        "queued": queued,
        "queued, with a reason": queued | {"reason": "no room"},
        "done": queued | {"status": "done", "done_at": AT},
        "withdrawn": queued | {"status": "withdrawn", "cancelled_at": AT},
    }
    target = "/v2/runs/req-000001"
    requests = [
        ["GET", target, ""],
        ["POST", f"{target}/withdraw", ""],
        ["POST", "/v2/runs", json.dumps(SUBMISSION)],
    ]
    waiting = json.loads(
        replay("write_job_record", {"spec": PLAIN_SPEC | {"id": "req-000002"}, "at": AT})
    )
    for request in requests:
        name = f"{request[0]} {request[1]}"
        for status, record in records.items():
            store = [["job/req-000001", record, 6]]
            yield f"{name}, {status}", "front_answer", {"request": request, "store": store}
        store = [["job/req-000001", queued, 6]]
        yield (
            f"{name}, running",
            "front_answer",
            {"request": request, "store": store, "counts": [2, 3]},
        )
        if request[1] != "/v2/runs":
            yield f"{name}, unknown", "front_answer", {"request": request}
    awaiting = ["POST", "/v2/runs", json.dumps(least | {"awaits": ["req-000002"]})]
    store = [["job/req-000002", waiting, 6]]
    yield "submission that waits", "front_answer", {"request": awaiting, "store": store}
    daemon = json.loads(json.dumps(waiting))
    daemon["spec"]["kind"] = "service"
    yield (
        "submission that waits for a service",
        "front_answer",
        {"request": awaiting, "store": [["job/req-000002", daemon, 6]]},
    )
    yield "status, POST", "front_answer", {"request": ["POST", target, ""]}
    yield "withdraw, GET", "front_answer", {"request": ["GET", f"{target}/withdraw", ""]}


def worker_answer_cases() -> Iterator[Given]:
    """Check-ins."""
    request = ["POST", "/checkin", json.dumps(REPORT)]
    lent = {"t": "g4", "z": "a", "s": True, "a": "", "p": "red", "at": AT}
    store = [["machine/vm-1", lent, 5]]
    pool = [["machine/vm-1", lent | {"p": ""}, 5]]
    for name, more in (
        ("answered by its owner", {"store": store, "orders": {"warrant": 41, "orders": ORDERS}}),
        ("answered without orders", {"store": store, "orders": {"warrant": 41, "orders": []}}),
        ("no owner", {"store": store}),
        ("owned elsewhere", {"store": store, "owner": "n2"}),
        (
            "passed on to its owner",
            {"store": store, "owner": "n2", "relayed": [200, '{"warrant":41,"orders":[]}']},
        ),
        ("in the pool", {"store": pool}),
        ("in the pool, led elsewhere", {"store": pool, "leader": "n2"}),
        ("unknown", {}),
    ):
        yield f"check-in, {name}", "front_answer", {"request": request, **more}
    for name, body in (("malformed", "{}"), ("empty", "")):
        yield f"check-in, {name}", "front_answer", {"request": ["POST", "/checkin", body]}
    yield "check-in, GET", "front_answer", {"request": ["GET", "/checkin", ""]}


# -- settings --------------------------------------------------------------------------------------

WRONG_TOML = [MISSING, RENAMED, "-1", "0", "1", "2.5", '"x"', "true", "[]", "{}", "inf", "nan", ""]
WRONG_HCL = [MISSING, RENAMED, "-1", "0", "1", "2.5", '"x"', "true", "[]", "null", ""]


def settings_cases() -> Iterator[Given]:
    """Each settings file as a whole, and each line of some of them wrong or missing."""
    for file in SETTINGS:
        yield file, "read_settings", {"file": file}
    yield "with the operators' file", "read_settings", {"file": SETTINGS[0], "operators": OPERATORS}
    for file in SETTINGS[1:]:
        yield f"{file}, others' operators", "read_settings", {"file": file, "operators": OPERATORS}
    for file in VARIED_SETTINGS:
        yield from line_cases(file, "vary_settings", WRONG_TOML)


def operators_cases() -> Iterator[Given]:
    """The operators' file as a whole, and each of its lines wrong or missing."""
    yield OPERATORS, "read_operators", {"file": OPERATORS}
    yield from line_cases(OPERATORS, "vary_operators", WRONG_HCL)


def line_cases(file: str, operation: str, wrong: list[Plain]) -> Iterator[Given]:
    """One case for each line that sets something."""
    for number, line in enumerate((FILES / file).read_text(encoding="utf-8").splitlines(), 1):
        if "=" in line and not line.startswith("#"):
            given = {"file": file, "line": number, "values": wrong}
            yield f"{file}, line {number}: {line.strip()}", operation, given


DATA_FILES: dict[str, Callable[[], Iterator[Given]]] = {
    "frames.json": frame_cases,
    "refused_frames.json": refused_frame_cases,
    "bodies.json": body_cases,
    "wrong_bodies.json": wrong_body_cases,
    "records.json": record_cases,
    "exchanges.json": exchange_cases,
    "transactions.json": transaction_cases,
    "changes.json": change_cases,
    "takeovers.json": takeover_cases,
    "answers.json": answer_cases,
    "settings.json": settings_cases,
    "operators.json": operators_cases,
}


def record() -> dict[str, list[Case]]:
    """Every case with the outcome that the present code gives."""
    return {
        file: [
            Case(name, operation, given, replay(operation, given))
            for name, operation, given in cases()
        ]
        for file, cases in DATA_FILES.items()
    }
