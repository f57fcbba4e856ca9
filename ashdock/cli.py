"""The command line: start a controller, check its settings, and talk to a running service."""

from __future__ import annotations

import argparse
import logging
import os
import sys

from ashdock import __version__
from ashdock.settings import Settings, SettingsError, StateLimits, load

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def parser() -> argparse.ArgumentParser:
    top = argparse.ArgumentParser(
        prog="ashdock", description="A cluster scheduler with durable retries."
    )
    top.add_argument("--version", action="version", version=f"ashdock {__version__}")
    top.add_argument("--config", metavar="FILE", help="start a controller with this settings file")
    verbs = top.add_subparsers(dest="verb", metavar="COMMAND")
    check = verbs.add_parser(
        "check-config", help="check a settings file and the operators' file, and start nothing"
    )
    check.add_argument("file")
    check.add_argument(
        "--operators", metavar="HCL", help="an operators' file elsewhere than deploy/ashdock.hcl"
    )
    submit = verbs.add_parser(
        "submit", help="submit a job, described in JSON by a file or standard input (-)"
    )
    submit.add_argument("file")
    for name, text in (("status", "print a job's state"), ("withdraw", "cancel a job")):
        verb = verbs.add_parser(name, help=text)
        verb.add_argument("job")
    for name in ("submit", "status", "withdraw"):
        verb = verbs.choices[name]
        verb.add_argument(
            "--to",
            metavar="HOST:PORT",
            default=os.environ.get("ASHDOCK", "127.0.0.1:8080"),
            help="a controller's address (default: $ASHDOCK or %(default)s)",
        )
        verb.add_argument(
            "--for",
            dest="patience",
            type=float,
            default=60.0,
            metavar="SECONDS",
            help="how long to go on trying (default: %(default)g)",
        )
    return top


def set_up_logging() -> None:
    level = os.environ.get("LOG_LEVEL", "info").lower()
    logging.basicConfig(
        level=LEVELS.get(level, logging.INFO),
        stream=sys.stderr,
        format="%(levelname)s %(name)s %(message)s",
    )
    logging.getLogger("asyncio").setLevel(max(logging.WARNING, LEVELS.get(level, logging.INFO)))


def main(argv: list[str]) -> int:
    top = parser()
    options = top.parse_args(argv)
    if (options.config is None) == (options.verb is None):
        top.error("give either --config FILE or a command")
    try:
        if options.config is not None:
            return serve(load(options.config))
        if options.verb == "check-config":
            return check_config(options.file, options.operators)
    except SettingsError as why:
        print(f"ashdock: {why}", file=sys.stderr)
        return 2
    from ashdock.net import user  # not needed, nor paid for, by a controller

    try:
        return user.run(
            options.verb,
            options.to,
            options.patience,
            getattr(options, "job", None),
            getattr(options, "file", None),
        )
    except SettingsError as why:
        print(f"ashdock: {why}", file=sys.stderr)
        return 2


def check_config(file: str, operators: str | None) -> int:
    from pathlib import Path

    from ashdock.settings import OPERATORS_FILE

    settings = load(file, Path(operators) if operators else OPERATORS_FILE)
    if operators and not Path(operators).exists():
        raise SettingsError(f"{operators}: cannot be read: no such file")
    teams = ", ".join(team.name for team in settings.settings.teams)
    print(f"{file}: good: controller {settings.label} of {settings.settings.size}, teams {teams}")
    limits = settings.settings.machine_limits
    print(
        f"this controller: {limits.core_share:g} of a core, {limits.ram_mb:g} MB, {limits.max_connections} connections"
    )
    state = settings.settings.state
    print(
        f"state service: {_limits(state)}"
        + (f"; later no more than {_limits(state.smaller())}" if state.next else "")
    )
    return 0


def _limits(state: StateLimits) -> str:
    return f"{state.rps:g} requests and {state.write_rps:g} changes a second, {state.value_kb:g} KiB a value, {state.txn_ops} changes a transaction"


def serve(settings: Settings) -> int:
    set_up_logging()
    import asyncio

    from ashdock import garbage_collection
    from ashdock.controller import Controller

    async def run() -> None:
        controller = Controller(settings)
        later = asyncio.create_task(
            garbage_collection.enable_after_startup(
                controller.ready, settings.settings.workers.lease_s
            )
        )
        try:
            await controller.run()
        finally:
            later.cancel()

    garbage_collection.disable()
    try:
        asyncio.run(run())
    except KeyboardInterrupt:
        return 130
    except OSError as why:
        print(f"ashdock: cannot serve: {why}", file=sys.stderr)
        return 1
    return 0
