"""Courses of ends and restarts: for the stand-ins at any size, and as days that the bench plays on a site of its own.

    python -m tests.scale wide --times 1.5 --restart 0.3 --ends 5,8,12,30:all,33:all
    python -m tests.scale duties --times 1.5    how long nobody holds the machines' duty, by what became of its holder
    python -m tests.courses SITE.toml --out DIR [--day NAME ...] [--seed N ...] [--cancelled SHARE --run-s S --rate R]

`--cancelled`, `--run-s` and `--rate` change the site's classes for the day: how many jobs their users cancel, how long a task runs (median;
at most twice that) and how many jobs of an array's class come a second, of one to three tasks each.

The second fills the days of tests/days/ in for a site: `"@0"` is its first zone by name, and so on. What is wrong with what was given is
said in one line, with exit status 2.
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

DAYS = Path(__file__).with_name("days")


def wrong(what: str) -> NoReturn:
    print(what, file=sys.stderr)
    sys.exit(2)


class End(NamedTuple):
    at_s: float  # after the fleet is full
    every: bool  # all controllers, or the one with most machines


def ends_of(text: str) -> list[End]:
    """`5,8,30:all`. Raises ValueError."""
    out = []
    for word in text.split(","):
        at, _, who = word.partition(":")
        if who not in ("", "all") or float(at) < 0:
            raise ValueError(f"--ends: expected seconds, or seconds:all, found {word!r}")
        out.append(End(float(at), who == "all"))
    return sorted(out)


def busiest(fleet: Fleet) -> int | None:
    """The controller whose shards hold most machines."""
    held = {
        n: sum(len(owner.shard.machines) for owner in c.owners.values() if owner.shard)
        for n, c in fleet.controllers.items()
    }
    return max(held, key=lambda n: (held[n], n), default=None)


async def end_and_restart(net: Network, fleet: Fleet, ends: list[End], restart_s: float) -> None:
    began = asyncio.get_running_loop().time()

    async def back(n: int) -> None:
        await asyncio.sleep(restart_s)
        fleet.boot(n)

    for end in ends:
        await asyncio.sleep(max(began + end.at_s - asyncio.get_running_loop().time(), 0.0))
        one = busiest(fleet)
        for n in list(fleet.controllers) if end.every else [one] if one is not None else []:
            net.kill(f"10.0.0.{n}")
            fleet.controllers.pop(n, None)
            spawn(net, "users", back(n))


CHANGES = ["restarted", "handed on", "gone", "restarted", "stood still", "cut off"]
CHANGE_S = 30.0  # from one to the next: what was there before has settled


class Gaps:
    """How long it took from what became of a holder until the next one's claim, and until the first effect of that one's term."""

    def __init__(
        self, net: Network, fleet: Fleet, restart_s: float, freeze: Callable[[str, float], None]
    ) -> None:
        self.net, self.fleet, self.restart_s, self.freeze = net, fleet, restart_s, freeze
        self.rows: list[tuple[str, float | None, float | None]] = []
        self.began: float | None = None
        self.claimed: float | None = None
        self.effect: float | None = None
        fleet.store.on_compared = self._seen

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _seen(self, when: set[str], writes: list[dict[str, Any]]) -> None:
        if self.began is None:
            return
        seat = next((write["value"] for write in writes if write.get("set") == "leader"), None)
        if seat is not None and not seat["incarnation"]:
            self.began, self.claimed = (
                self._now(),
                None,
            )  # the next one is named: until here its holder was at work
        elif seat is not None:
            self.claimed = self._now() - self.began
            self.effect = None
        elif "leader" in when and self.claimed is not None and self.effect is None:
            self.effect = self._now() - self.began

    async def run(self) -> None:
        for change in CHANGES:
            holder = next((n for n, c in self.fleet.controllers.items() if c.leader is not None), 0)
            self.began, self.claimed, self.effect = self._now(), None, None
            host = f"10.0.0.{holder}"
            if change in ("restarted", "gone"):
                self.net.kill(host)
                self.fleet.controllers.pop(holder, None)
                await asyncio.sleep(self.restart_s if change == "restarted" else CHANGE_S / 2)
                self.fleet.boot(holder)
            elif change == "handed on":
                for controller in self.fleet.controllers.values():
                    controller.elector.allowed = [f"n{(holder + 1) % 3}"]
            elif change == "stood still":
                self.freeze(host, CHANGE_S / 2)
            else:
                self.net.partition(host, STORE_HOST)
                await asyncio.sleep(CHANGE_S / 2)
                self.net.heal()
            await asyncio.sleep(max(self.began + CHANGE_S - self._now(), 0.0))
            self.rows.append((change, self.claimed, self.effect))
            for controller in self.fleet.controllers.values():
                controller.elector.allowed = []


def filled(text: str, zones: list[str], seed: int | None = None) -> str:
    """A day for a site with such zones. Raises ValueError."""

    def zone(found: re.Match[str]) -> str:
        if int(found[1]) >= len(zones):
            raise ValueError(f"the day names zone {found[0]}, and the site has {len(zones)}")
        return f'"{zones[int(found[1])]}"'

    text = re.sub(r'"@(\d+)"', zone, text)
    return text if seed is None else re.sub(r"^seed = \d+$", f"seed = {seed}", text, flags=re.M)


class Traffic(NamedTuple):
    """What of the site's classes is another on a day of ours; None leaves it."""

    cancelled: float | None = None
    run_s: float | None = None
    rate: float | None = None

    def wrong(self) -> str | None:
        if self.cancelled is not None and not 0 <= self.cancelled <= 1:
            return f"--cancelled: expected a share from 0 to 1, found {self.cancelled}"
        for name, value in (("--run-s", self.run_s), ("--rate", self.rate)):
            if value is not None and not 0 < value < math.inf:
                return f"{name}: expected a number above 0, found {value}"
        return None

    def jobs(self, classes: list[dict[str, Any]]) -> str:
        rows = []
        for row in classes:
            words = [f'name = "{row["name"]}"']
            if self.cancelled is not None:
                words.append(f"cancelled = {self.cancelled}")
            if self.run_s is not None:
                words.append(
                    f"run_s = {{ median = {self.run_s}, p95 = {1.5 * self.run_s}, max = {2 * self.run_s} }}"
                )
            if self.rate is not None and row["kind"] == "array":
                words.append(
                    f"arrivals = {{ rate = {self.rate} }}, tasks = {{ median = 1.5, p95 = 2.5, max = 3.0 }}"
                )
            rows.append(f"  {{ {', '.join(words)} }},\n")
        return f"jobs = [\n{''.join(rows)}]\n" if any(value is not None for value in self) else ""


def days_of(
    site: Path,
    out: Path,
    names: list[str],
    seeds: list[int],
    traffic: Traffic = Traffic(),  # noqa: B008
) -> list[Path]:
    """The days written for a site, whose zones are those of its machines."""
    try:
        told = tomllib.loads(site.read_text(encoding="utf-8"))
        zones = sorted({str(row["zone"]) for row in told["capacity"]})
        jobs = traffic.jobs(told.get("jobs", []))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, KeyError, TypeError) as why:
        wrong(f"{site}: cannot be read as a site file: {type(why).__name__} {why}")
    out.mkdir(parents=True, exist_ok=True)
    written = []
    for name in names:
        source = DAYS / f"{name}.toml"
        if not source.exists():
            wrong(
                f"--day: expected one of {', '.join(sorted(day.stem for day in DAYS.glob('*.toml')))}; found {name!r}"
            )
        chosen: Sequence[int | None] = seeds or [None]
        for seed in chosen:
            path = out / (f"{name}.toml" if seed is None else f"{name}-{seed}.toml")
            try:
                path.write_text(filled(source.read_text(), zones, seed) + jobs)
            except ValueError as why:
                wrong(f"{name}: {why}")
            written.append(path)
    return written


def main() -> None:
    top = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    top.add_argument("site", type=Path)
    top.add_argument("--out", type=Path, required=True)
    top.add_argument("--day", action="append")
    top.add_argument("--seed", action="append", type=int, default=[])
    top.add_argument("--cancelled", type=float)
    top.add_argument("--run-s", type=float)
    top.add_argument("--rate", type=float)
    options = top.parse_args()
    traffic = Traffic(options.cancelled, options.run_s, options.rate)
    fault = traffic.wrong()
    if fault:
        wrong(fault)
    names = options.day or sorted(day.stem for day in DAYS.glob("*.toml"))
    for path in days_of(options.site, options.out, names, options.seed, traffic):
        print(path)


if __name__ == "__main__":
    main()
