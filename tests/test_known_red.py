"""The plugin that lets CI pass over the tests of KNOWN-RED.txt, and over no others."""

from __future__ import annotations

from pathlib import Path

import pytest

TESTS = """
import pytest

def test_good():
    pass

@pytest.mark.parametrize("n", [1, 2])
def test_red(n):
    assert n == 2

def test_other():
    assert False
"""
RED = "test_it.py::test_red[1] | the claim is read too late | #40"
OTHER = "test_it.py::test_other | not looked into | #40"

CASES = [  # what the file says, the outcomes or what is said instead
    (None, {"passed": 2, "failed": 2}),
    ("", {"passed": 2, "failed": 2}),
    ("\n  \n", {"passed": 2, "failed": 2}),
    (RED, {"passed": 2, "failed": 1, "xfailed": 1}),
    (RED + "\n" + OTHER, {"passed": 2, "xfailed": 2}),
    (
        RED + "\ntest_it.py::test_good | it passes by now | #40",
        {"passed": 1, "failed": 2, "xfailed": 1},
    ),
    ("test_it.py::test_red[3] | no such case | #40", "there is no test test_it.py::test_red[3]"),
    ("test_gone.py::test_red | no such file | #40", "there is no test test_gone.py::test_red"),
    ("test_it.py::test_red[1] | no issue", "line 1: expected"),
    ("test_it.py::test_red[1], a cause, #40", "line 1: expected"),
    ("test_it.py | the whole file | #40", "line 1: expected"),
    (" | a cause | #40", "line 1: expected"),
    (RED + "\n" + RED, "line 2: test_it.py::test_red[1] is named twice"),
    ("\n".join(f"test_it.py::test_{n} | a cause | #40" for n in range(4)), "line 4: more than 3"),
]


@pytest.mark.parametrize(("text", "expected"), CASES)
def test_known_red(
    text: str | None, expected: dict[str, int] | str, pytester: pytest.Pytester
) -> None:
    pytester.makeconftest(Path(__file__).with_name("conftest.py").read_text())
    pytester.makepyfile(test_it=TESTS)
    if text is not None:
        (pytester.path / "KNOWN-RED.txt").write_text(text)
    result = pytester.runpytest_inprocess("-p", "no:cacheprovider")
    if isinstance(expected, str):
        assert result.ret == pytest.ExitCode.USAGE_ERROR
        assert expected in result.stdout.str() + result.stderr.str()
        return
    result.assert_outcomes(**expected)
    assert result.ret == (1 if expected.get("failed") else 0)
    for line in (text or "").strip().splitlines():
        test, cause, issue = line.split(" | ")
        assert f"KNOWN RED {test}: {cause} ({issue})" in result.stdout.str()


@pytest.mark.parametrize(
    ("text", "code", "said"),
    [
        (RED + "\n" + OTHER, 0, "KNOWN RED test_it.py::test_other"),
        (
            "test_it.py::test_red[3] | no such case | #40",
            4,
            "there is no test test_it.py::test_red[3]",
        ),
        (
            RED + "\n" + OTHER + "\ntest_it.py::test_good | it passes by now | #40",
            1,
            "XPASS(strict)",
        ),
    ],
)
def test_the_same_in_several_processes(
    text: str, code: int, said: str, pytester: pytest.Pytester
) -> None:
    pytester.makeconftest(Path(__file__).with_name("conftest.py").read_text())
    pytester.makepyfile(test_it=TESTS)
    (pytester.path / "KNOWN-RED.txt").write_text(text)
    result = pytester.runpytest_subprocess("-p", "no:cacheprovider", "-n", "2")
    assert result.ret == code and said in result.stdout.str()


@pytest.mark.parametrize("asked", ["test_it.py::test_good", "test_it.py", "test_more.py"])
def test_what_was_not_asked_for_is_not_missed(asked: str, pytester: pytest.Pytester) -> None:
    pytester.makeconftest(Path(__file__).with_name("conftest.py").read_text())
    pytester.makepyfile(test_it=TESTS, test_more="def test_more():\n    pass\n")
    (pytester.path / "KNOWN-RED.txt").write_text(RED)
    result = pytester.runpytest_inprocess("-p", "no:cacheprovider", asked)
    assert result.ret in (0, 1) and "there is no test" not in result.stderr.str()
