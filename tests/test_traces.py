"""Characterization traces: recorded days repeat to the byte, and the comparison finds changes."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path

import pytest

from tests import traces
from tests.traces import Message, Trace

Edit = Callable[[list[Message]], list[Message]]


@pytest.mark.parametrize("seed", range(traces.CI_DAYS))
def test_recorded_day_repeats_to_the_byte(seed: int) -> None:
    (found,) = traces.play_all([seed], 1)  # in a separate process
    assert traces.describe_difference(traces.load_recorded()[seed], found) is None


def test_every_recorded_day_has_messages_of_every_kind() -> None:
    recorded = traces.load_recorded()
    assert sorted(recorded) == list(range(traces.RECORDED_DAYS))
    kinds = {"store", "cloud", "workers", "controllers", "users"}
    assert all(set(trace.messages) == kinds for trace in recorded.values())


# -- The comparison finds changes

USER_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n"
    b'{"id":"req-1","status":"queued","reason":"waits"}'
)
DAY_MESSAGES = [
    Message(
        1.0, "store", "10.0.0.0", "10.2.0.1", b'{"when":[],"writes":[{"set":"job/a","value":1}]}'
    ),
    Message(1.5, "workers", "10.0.0.1", "10.1.0.1", b'{"warrant":41,"orders":[]}'),
    Message(1.5, "controllers", "10.0.0.1", "10.0.0.2", b"AD\3\2\0\0\0\1x"),
    Message(2.0, "users", "10.0.0.2", "users", USER_RESPONSE),
]


def _replaced(index: int, **fields: object) -> Edit:
    return lambda messages: [
        message._replace(**fields) if position == index else message  # type: ignore[arg-type]
        for position, message in enumerate(messages)
    ]


CHANGES: dict[str, tuple[Edit, str]] = {
    "one more message": (lambda messages: [*messages, messages[1]], "messages: recorded"),
    "one message fewer": (lambda messages: messages[:-1], "messages: recorded"),
    "two in another order": (
        lambda messages: [messages[0], messages[2], messages[1], messages[3]],
        "other bytes",
    ),
    "a field's value": (_replaced(1, body=b'{"warrant":42,"orders":[]}'), "other bytes"),
    "a time one millisecond later": (_replaced(0, at_s=1.001), "other bytes"),
    "another receiver": (_replaced(2, receiver="10.0.0.0"), "other bytes"),
    "another status": (
        _replaced(3, body=USER_RESPONSE.replace(b"queued", b"running")),
        "other bytes",
    ),
    "the wording of a reason": (
        _replaced(3, body=USER_RESPONSE.replace(b"waits", b"is waiting").replace(b"99", b"104")),
        "only the wording",
    ),
    "the wording of a stored reason": (
        _replaced(0, body=DAY_MESSAGES[0].body.replace(b"1}", b'{"reason":"x"}}')),
        "other bytes",
    ),
}


@pytest.mark.parametrize("change", CHANGES)
def test_changed_day_is_reported(change: str) -> None:
    edit, finding = CHANGES[change]
    found = traces.describe_difference(
        traces.trace_of(3, DAY_MESSAGES), traces.trace_of(3, edit(DAY_MESSAGES))
    )
    assert found is not None and found.startswith("seed 3: ") and finding in found


def test_unchanged_day_is_equal() -> None:
    assert (
        traces.describe_difference(
            traces.trace_of(3, DAY_MESSAGES), traces.trace_of(3, list(DAY_MESSAGES))
        )
        is None
    )


# -- Bad input


def _usage_error(arguments: list[str], capsys: pytest.CaptureFixture[str]) -> str:
    with pytest.raises(SystemExit) as exit_info:
        traces.main(arguments)
    assert exit_info.value.code == 2
    out, err = capsys.readouterr()
    assert out == "" and err.count("\n") == 1
    return err


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (["diff", "no-such-commit", "--seed", "1"], "unknown commit 'no-such-commit'"),
        (["diff", "HEAD", "--seed", "100000"], "seed 100000 is not recorded"),
        (["check", "--seeds", "100000"], "--seeds 100000"),
        (["check", "--seeds", "0"], "--seeds"),
    ],
)
def test_bad_arguments_are_refused(
    arguments: list[str], message: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert message in _usage_error(arguments, capsys)


@pytest.mark.parametrize(
    "text", [None, "", '{"days": [{"seed": 1', "[]", '{"days": [{"seed": 1}]}']
)
def test_missing_or_truncated_data_file_is_refused(
    text: str | None,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    path = tmp_path / "traces.json"
    if text is not None:
        path.write_text(text)
    monkeypatch.setattr(traces, "TRACES_FILE", path)
    assert str(path) in _usage_error(["check", "--seeds", "1"], capsys)


def test_written_file_is_read_back(tmp_path: Path) -> None:
    path = tmp_path / "traces.json"
    day = Trace(0, "a", "b", {"store": 1})
    path.write_text(traces._serialized([day]))
    assert traces.load_recorded(path) == {0: day} and json.loads(path.read_text())["days"]


def test_message_survives_json_round_trip() -> None:
    message = Message(0.1 + 0.2, "controllers", "10.0.0.0", "10.0.0.1", bytes(range(256)))
    assert traces._message_from_json(traces._message_to_json(message)) == message
