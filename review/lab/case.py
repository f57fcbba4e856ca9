"""Runs a case and turns its outcome into an exit code."""

from __future__ import annotations

import asyncio
import os
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from lab.record import Record
from lab.site import CannotRunError, Site

LIMIT_S = 115.0  # a script may run for 120 s

Play = Callable[[Site, bool], Awaitable[list[str]]]


def main(folder: Path, build: Callable[[Record], Site], play: Play) -> int:
    """Play a case and return 1 if its rule was broken, 0 if it held, 2 if it could not run.

    Args:
        folder: where `record.txt` is written.
        build: builds the deployment.
        play: plays the case, with its disruption or without; returns what broke the rule.
    """
    record = Record(folder / "record.txt")
    try:
        broken = asyncio.run(_run(build(record), play))
    except (CannotRunError, TimeoutError) as error:
        record.write("check", f"the case could not run: {error!r}")
        return 2
    except Exception:  # noqa: BLE001 - a fault of the stand-ins says nothing about the rule
        record.write("check", f"the case could not run: {traceback.format_exc()}")
        return 2
    finally:
        record.close()
    return 1 if broken else 0


async def _run(site: Site, play: Play) -> list[str]:
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        async with asyncio.timeout(LIMIT_S):
            await site.start()
            broken = await play(site, trouble)
    finally:
        await site.stop()
    for text in broken:
        site.record.write("check", f"BROKEN: {text}")
    if not broken:
        site.record.write("check", "the rule held")
    sys.stdout.write("\n".join(broken or ["the rule held"]) + "\n")
    return broken
