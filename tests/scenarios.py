"""Crash and failover scenarios for the scale tool, and fault days written out for a benchmark site.

    python -m tests.scale wide --times 1.5 --restart 0.3 --ends 5,8,12,30:all,33:all
    python -m tests.scale duties --times 1.5    time without a leader, by what happened to it
    python -m tests.scenarios SITE.toml --out DIR [--day NAME ...] [--seed N ...]
                              [--cancelled SHARE --run-s S --rate R]

The last command fills in the days of tests/days/ for a site: `"@0"` stands for its first zone by
name, and so on. `--cancelled`, `--run-s` and `--rate` change the site's job classes for the day:
the share of jobs that users cancel, how long a task runs (the median; twice that at most) and how
many jobs per second arrive of each array class, each with one to three tasks. Invalid input is
reported in one line, with exit status 2.
"""

from __future__ import annotations

import argparse
import asyncio
import math
import re
import sys
import tomllib
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, NamedTuple, NoReturn

from tests.fakes import STORE_HOST
from tests.fleet import Fleet
from tests.virtual_time import Network, spawn

DAYS_PATH = Path(__file__).with_name("days")


def exit_with_usage_error(message: str) -> NoReturn:
    """Print the message to standard error and exit with status 2."""
    print(message, file=sys.stderr)
    sys.exit(2)


class Crash(NamedTuple):
    """When controllers crash, and which ones."""

    at_s: float  # after the fleet is full
    all_controllers: bool  # otherwise only the one whose shards hold the most machines


def parse_crashes(text: str) -> list[Crash]:
    """Parse the value of `--ends`, such as `5,8,30:all`, into crashes ordered by time.

    Raises:
        ValueError: An item is neither `SECONDS` nor `SECONDS:all`, or its time is negative.
    """
    crashes = []
    for item in text.split(","):
        at, _, target = item.partition(":")
        if target not in ("", "all") or float(at) < 0:
            raise ValueError(f"--ends: expected seconds, or seconds:all, found {item!r}")
        crashes.append(Crash(float(at), target == "all"))
    return sorted(crashes)


def busiest_controller(fleet: Fleet) -> int | None:
    """Return the controller whose shards hold the most machines, or None if all are down."""
    machines = {
        n: sum(len(owner.shard.machines) for owner in c.owners.values() if owner.shard)
        for n, c in fleet.controllers.items()
    }
    return max(machines, key=lambda n: (machines[n], n), default=None)


async def crash_and_restart(
    net: Network, fleet: Fleet, crashes: list[Crash], restart_s: float
) -> None:
    """Crash controllers at the given times from now on, and boot each again after `restart_s`."""
    started_at = asyncio.get_running_loop().time()

    async def restart(n: int) -> None:
        await asyncio.sleep(restart_s)
        fleet.boot(n)

    for crash in crashes:
        await asyncio.sleep(max(started_at + crash.at_s - asyncio.get_running_loop().time(), 0.0))
        target = busiest_controller(fleet)
        for n in (
            list(fleet.controllers)
            if crash.all_controllers
            else [target]
            if target is not None
            else []
        ):
            net.kill(f"10.0.0.{n}")
            fleet.controllers.pop(n, None)
            spawn(net, "users", restart(n))


LEADER_FAULTS = ["restart", "handover", "stop", "restart", "freeze", "partition"]
LEADER_FAULT_INTERVAL_S = 30.0  # long enough for the cluster to settle after a fault


class FailoverTimer:
    """Measures how long the cluster goes without a leader, by what happens to the leader.

    Each of `rows` holds a fault, the seconds from it until the next leader's claim, and the seconds
    until the first transaction applied that is conditional on that claim; None if there was none.
    """

    def __init__(
        self, net: Network, fleet: Fleet, restart_s: float, freeze: Callable[[str, float], None]
    ) -> None:
        """Watch the transactions of the fleet's store.

        Args:
            net: The network of the fleet.
            fleet: The controllers and the store.
            restart_s: How long a controller that restarts is down.
            freeze: Called with a host and for how many seconds its process makes no progress.
        """
        self.net, self.fleet, self.restart_s, self.freeze = net, fleet, restart_s, freeze
        self.rows: list[tuple[str, float | None, float | None]] = []
        self.fault_at: float | None = None
        self.claim_after_s: float | None = None
        self.first_write_after_s: float | None = None
        fleet.store.on_compared = self._on_transaction

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _on_transaction(self, conditions: set[str], writes: list[dict[str, Any]]) -> None:
        if self.fault_at is None:
            return
        record = next((write["value"] for write in writes if write.get("set") == "leader"), None)
        if record is not None and not record["incarnation"]:
            # The leader names its successor in a handover; until now it was still working.
            self.fault_at, self.claim_after_s = self._now(), None
        elif record is not None:
            self.claim_after_s = self._now() - self.fault_at
            self.first_write_after_s = None
        elif (
            "leader" in conditions
            and self.claim_after_s is not None
            and self.first_write_after_s is None
        ):
            self.first_write_after_s = self._now() - self.fault_at

    async def run(self) -> None:
        """Inject each of `LEADER_FAULTS` into the current leader and append its row."""
        for fault in LEADER_FAULTS:
            leader = next((n for n, c in self.fleet.controllers.items() if c.leader is not None), 0)
            self.fault_at, self.claim_after_s, self.first_write_after_s = self._now(), None, None
            host = f"10.0.0.{leader}"
            if fault in ("restart", "stop"):
                self.net.kill(host)
                self.fleet.controllers.pop(leader, None)
                await asyncio.sleep(
                    self.restart_s if fault == "restart" else LEADER_FAULT_INTERVAL_S / 2
                )
                self.fleet.boot(leader)
            elif fault == "handover":
                for controller in self.fleet.controllers.values():
                    controller.elector.allowed = [f"n{(leader + 1) % 3}"]
            elif fault == "freeze":
                self.freeze(host, LEADER_FAULT_INTERVAL_S / 2)
            else:
                self.net.partition(host, STORE_HOST)
                await asyncio.sleep(LEADER_FAULT_INTERVAL_S / 2)
                self.net.heal()
            await asyncio.sleep(max(self.fault_at + LEADER_FAULT_INTERVAL_S - self._now(), 0.0))
            self.rows.append((fault, self.claim_after_s, self.first_write_after_s))
            for controller in self.fleet.controllers.values():
                controller.elector.allowed = []


def fill_in_day(text: str, zones: list[str], seed: int | None = None) -> str:
    """Return a day's text with the site's zones, and with the seed if there is one.

    Raises:
        ValueError: The day names a zone beyond those of the site.
    """

    def zone_name(match: re.Match[str]) -> str:
        if int(match[1]) >= len(zones):
            raise ValueError(f"the day names zone {match[0]}, but the site has {len(zones)} zones")
        return f'"{zones[int(match[1])]}"'

    text = re.sub(r'"@(\d+)"', zone_name, text)
    return text if seed is None else re.sub(r"^seed = \d+$", f"seed = {seed}", text, flags=re.M)


class Traffic(NamedTuple):
    """Changes to the job classes of a site; None leaves the site's value."""

    cancelled: float | None = None  # share of jobs that users cancel
    run_s: float | None = None  # median run time of a task
    rate: float | None = None  # jobs per second of each array class

    def error(self) -> str | None:
        """Return what is wrong with the values, or None."""
        if self.cancelled is not None and not 0 <= self.cancelled <= 1:
            return f"--cancelled: expected a share from 0 to 1, found {self.cancelled}"
        for name, value in (("--run-s", self.run_s), ("--rate", self.rate)):
            if value is not None and not 0 < value < math.inf:
                return f"{name}: expected a number above 0, found {value}"
        return None

    def job_classes_toml(self, classes: list[dict[str, Any]]) -> str:
        """Return the `jobs` list of a day as TOML, or an empty text if nothing changes."""
        rows = []
        for job_class in classes:
            fields = [f'name = "{job_class["name"]}"']
            if self.cancelled is not None:
                fields.append(f"cancelled = {self.cancelled}")
            if self.run_s is not None:
                fields.append(
                    f"run_s = {{ median = {self.run_s},"
                    f" p95 = {1.5 * self.run_s}, max = {2 * self.run_s} }}"
                )
            if self.rate is not None and job_class["kind"] == "array":
                fields.append(
                    f"arrivals = {{ rate = {self.rate} }},"
                    " tasks = { median = 1.5, p95 = 2.5, max = 3.0 }"
                )
            rows.append(f"  {{ {', '.join(fields)} }},\n")
        return f"jobs = [\n{''.join(rows)}]\n" if any(value is not None for value in self) else ""


def write_days(
    site: Path,
    out: Path,
    names: list[str],
    seeds: list[int],
    traffic: Traffic = Traffic(),  # noqa: B008
) -> list[Path]:
    """Write days for a site, one file for each seed, and return their paths.

    The zones are those of the site's `capacity` rows, sorted by name. Without seeds each day keeps
    its own. Exits with a usage error if the site cannot be read or a day does not exist.
    """
    try:
        site_settings = tomllib.loads(site.read_text(encoding="utf-8"))
        zones = sorted({str(row["zone"]) for row in site_settings["capacity"]})
        jobs = traffic.job_classes_toml(site_settings.get("jobs", []))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, KeyError, TypeError) as error:
        exit_with_usage_error(
            f"{site}: cannot be read as a site file: {type(error).__name__} {error}"
        )
    out.mkdir(parents=True, exist_ok=True)
    written = []
    for name in names:
        source = DAYS_PATH / f"{name}.toml"
        if not source.exists():
            exit_with_usage_error(
                "--day: expected one of "
                f"{', '.join(sorted(day.stem for day in DAYS_PATH.glob('*.toml')))}; found {name!r}"
            )
        chosen: Sequence[int | None] = seeds or [None]
        for seed in chosen:
            path = out / (f"{name}.toml" if seed is None else f"{name}-{seed}.toml")
            try:
                path.write_text(fill_in_day(source.read_text(), zones, seed) + jobs)
            except ValueError as error:
                exit_with_usage_error(f"{name}: {error}")
            written.append(path)
    return written


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("site", type=Path)
    parser.add_argument("--out", type=Path, required=True)
    parser.add_argument("--day", action="append")
    parser.add_argument("--seed", action="append", type=int, default=[])
    parser.add_argument("--cancelled", type=float)
    parser.add_argument("--run-s", type=float)
    parser.add_argument("--rate", type=float)
    options = parser.parse_args()
    traffic = Traffic(options.cancelled, options.run_s, options.rate)
    error = traffic.error()
    if error:
        exit_with_usage_error(error)
    names = options.day or sorted(day.stem for day in DAYS_PATH.glob("*.toml"))
    for path in write_days(options.site, options.out, names, options.seed, traffic):
        print(path)


if __name__ == "__main__":
    main()
