"""Characterization traces: the recorded days repeat to the byte, and what the comparison finds."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path

import pytest

from tests import traces
from tests.traces import Message, Trace

Change = Callable[[list[Message]], list[Message]]


@pytest.mark.parametrize("seed", range(traces.CI_DAYS))
def test_a_day_repeats_to_the_byte(seed: int) -> None:
    (found,) = traces.each_played([seed], 1)  # in a process of its own
    assert traces.difference(traces.recorded()[seed], found) is None


def test_what_is_recorded() -> None:
    recorded = traces.recorded()
    assert sorted(recorded) == list(range(traces.RECORDED_DAYS))
    kinds = {"store", "cloud", "workers", "controllers", "users"}
    assert all(set(trace.messages) == kinds for trace in recorded.values())


# -- what is planted is found ------------------------------------------------------------------------------

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{"id":"req-1","status":"queued","reason":"waits"}'
DAY = [
    Message(
        1.0, "store", "10.0.0.0", "10.2.0.1", b'{"when":[],"writes":[{"set":"job/a","value":1}]}'
    ),
    Message(1.5, "workers", "10.0.0.1", "10.1.0.1", b'{"warrant":41,"orders":[]}'),
    Message(1.5, "controllers", "10.0.0.1", "10.0.0.2", b"AD\3\2\0\0\0\1x"),
    Message(2.0, "users", "10.0.0.2", "users", ANSWER),
]


def _replaced(index: int, **fields: object) -> Change:
    return lambda day: [
        message._replace(**fields) if at == index else message  # type: ignore[arg-type]
        for at, message in enumerate(day)
    ]


PLANTED: dict[str, tuple[Change, str]] = {
    "one message more": (lambda day: [*day, day[1]], "messages: recorded"),
    "one message less": (lambda day: day[:-1], "messages: recorded"),
    "two in another order": (lambda day: [day[0], day[2], day[1], day[3]], "other bytes"),
    "a field's value": (_replaced(1, body=b'{"warrant":42,"orders":[]}'), "other bytes"),
    "a time later by a tick": (_replaced(0, at_s=1.001), "other bytes"),
    "another receiver": (_replaced(2, receiver="10.0.0.0"), "other bytes"),
    "another status": (_replaced(3, body=ANSWER.replace(b"queued", b"running")), "other bytes"),
    "the wording of a reason": (
        _replaced(3, body=ANSWER.replace(b"waits", b"is waiting").replace(b"99", b"104")),
        "only the wording",
    ),
    "the wording of a stored reason": (
        _replaced(0, body=DAY[0].body.replace(b"1}", b'{"reason":"x"}}')),
        "other bytes",
    ),
}


@pytest.mark.parametrize("what", PLANTED)
def test_what_is_planted_is_found(what: str) -> None:
    plant, finding = PLANTED[what]
    found = traces.difference(traces.traced(3, DAY), traces.traced(3, plant(DAY)))
    assert found is not None and found.startswith("seed 3: ") and finding in found


def test_a_day_without_a_change_is_equal() -> None:
    assert traces.difference(traces.traced(3, DAY), traces.traced(3, list(DAY))) is None


# -- bad input -----------------------------------------------------------------------------------------------


def _refused(words: list[str], capsys: pytest.CaptureFixture[str]) -> str:
    with pytest.raises(SystemExit) as ended:
        traces.main(words)
    assert ended.value.code == 2
    out, err = capsys.readouterr()
    assert out == "" and err.count("\n") == 1
    return err


@pytest.mark.parametrize(
    ("words", "named"),
    [
        (["diff", "no-such-commit", "--seed", "1"], "unknown commit 'no-such-commit'"),
        (["diff", "HEAD", "--seed", "100000"], "seed 100000 is not recorded"),
        (["check", "--seeds", "100000"], "--seeds 100000"),
        (["check", "--seeds", "0"], "--seeds"),
    ],
)
def test_bad_words(words: list[str], named: str, capsys: pytest.CaptureFixture[str]) -> None:
    assert named in _refused(words, capsys)


@pytest.mark.parametrize(
    "text", [None, "", '{"days": [{"seed": 1', "[]", '{"days": [{"seed": 1}]}']
)
def test_a_data_file_that_is_missing_or_cut_short(
    text: str | None,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    path = tmp_path / "traces.json"
    if text is not None:
        path.write_text(text)
    monkeypatch.setattr(traces, "DATA", path)
    assert str(path) in _refused(["check", "--seeds", "1"], capsys)


def test_a_file_that_was_written_is_read_back(tmp_path: Path) -> None:
    path = tmp_path / "traces.json"
    day = Trace(0, "a", "b", {"store": 1})
    path.write_text(traces._written([day]))
    assert traces.recorded(path) == {0: day} and json.loads(path.read_text())["days"]


def test_messages_survive_being_stored() -> None:
    odd = Message(0.1 + 0.2, "controllers", "10.0.0.0", "10.0.0.1", bytes(range(256)))
    assert traces._loaded(traces._stored(odd)) == odd
