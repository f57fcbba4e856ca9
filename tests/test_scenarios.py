"""Tests of crash scenarios and fault days: parsing, filling in, and a short run with crashes."""

from __future__ import annotations

import math
import tomllib
from pathlib import Path

import pytest

from ashdock.fairness.slo_attainment import MIN_ATTAINMENT
from tests import scale, scenarios
from tests.scenarios import Crash, Traffic

SITE = "name = 'x'\n" + "".join(
    f"[[capacity]]\nzone = '{zone}'\ncount = 3\n" for zone in ("n", "m", "m")
)
DAYS = sorted(day.stem for day in scenarios.DAYS_PATH.glob("*.toml"))


@pytest.mark.parametrize(
    ("text", "crashes"),
    [
        ("5", [Crash(5, False)]),
        ("30:all,2.5", [Crash(2.5, False), Crash(30, True)]),
        ("x", None),
        ("5:some", None),
        ("-1", None),
        ("", None),
    ],
)
def test_crashes_are_parsed_or_rejected(text: str, crashes: list[Crash] | None) -> None:
    if crashes is None:
        with pytest.raises(ValueError):
            scenarios.parse_crashes(text)
    else:
        assert scenarios.parse_crashes(text) == crashes


@pytest.mark.parametrize("day", DAYS)
def test_days_hold_faults_only_and_are_filled_in_for_a_site(day: str, tmp_path: Path) -> None:
    site = tmp_path / "site.toml"
    site.write_text(SITE)
    first, second = scenarios.write_days(site, tmp_path / "out", [day], [1, 2])
    assert set(tomllib.loads(first.read_text())) == {"name", "slot", "light", "seed", "faults"}
    assert "@" not in first.read_text() and tomllib.loads(second.read_text())["seed"] == 2


@pytest.mark.parametrize(
    ("site", "day", "message"),
    [
        (None, "quick", "cannot be read"),
        ("x", "quick", "cannot be read"),
        ("a = 1", "mix", "cannot be read"),
        (SITE, "none", "expected one of"),
        ("[[capacity]]\nzone = 3", "loop2", ""),
    ],
)
def test_invalid_input_is_reported_in_one_line(
    site: str | None, day: str, message: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "site.toml"
    if site is not None:
        path.write_text(site)
    if not message:
        assert scenarios.write_days(path, tmp_path, [day], [])
        return
    with pytest.raises(SystemExit) as exit_info:
        scenarios.write_days(path, tmp_path, [day], [])
    output = capsys.readouterr().err
    assert exit_info.value.code == 2 and message in output and output.count("\n") == 1


@pytest.mark.parametrize(
    ("traffic", "flag"),
    [
        (Traffic(1.5), "--cancelled"),
        (Traffic(-0.1), "--cancelled"),
        (Traffic(math.nan), "--cancelled"),
        (Traffic(None, 0.0), "--run-s"),
        (Traffic(None, None, -1.0), "--rate"),
        (Traffic(0.5, math.inf), "--run-s"),
        (Traffic(0.5, 100.0, 2.0), None),
        (Traffic(), None),
    ],
)
def test_traffic_is_checked_and_written_as_job_classes(traffic: Traffic, flag: str | None) -> None:
    error = traffic.error()
    assert (error is None) if flag is None else (error or "").startswith(flag)
    if flag is None:
        rows = tomllib.loads(
            traffic.job_classes_toml(
                [{"name": "a", "kind": "gang"}, {"name": "b", "kind": "array"}]
            )
        ).get("jobs")
        assert (
            rows is None
            if traffic == Traffic()
            else rows is not None
            and "arrivals" not in rows[0]
            and rows[1]["arrivals"] == {"rate": 2.0}
        )


def test_every_class_and_team_is_served_while_controllers_crash_and_restart_at_once() -> None:
    row = scale.measure(
        0.15,
        400,
        100.0,
        0.504,
        "wide",
        ends=scenarios.parse_crashes("3,5,8,20:all,23:all,40"),
        restart_s=0.3,
    )
    assert (
        row["broken"] == []
        and row["killed"] == 0
        and row["worst"][0] >= MIN_ATTAINMENT
        and row["within_1s"] > 0.9
    )
    assert row["sockets"] < 0.6 * 400
