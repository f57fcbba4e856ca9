"""The command line: start a controller, check its settings, or send requests to a controller."""

from __future__ import annotations

import argparse
import logging
import os
import sys

from ashdock import __version__
from ashdock.settings import Settings, SettingsError, StateLimits, load

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="ashdock", description="A cluster scheduler with durable retries."
    )
    parser.add_argument("--version", action="version", version=f"ashdock {__version__}")
    parser.add_argument(
        "--config", metavar="FILE", help="start a controller with this settings file"
    )
    commands = parser.add_subparsers(dest="command", metavar="COMMAND")
    check_parser = commands.add_parser(
        "check-config", help="check a settings file and the operators' file, and start nothing"
    )
    check_parser.add_argument("file")
    check_parser.add_argument(
        "--operators",
        metavar="HCL",
        help="path of the operators' file (default: deploy/ashdock.hcl, if it exists)",
    )
    submit_parser = commands.add_parser(
        "submit", help="submit a job, described in JSON by a file or standard input (-)"
    )
    submit_parser.add_argument("file")
    for name, text in (("status", "print a job's state"), ("withdraw", "cancel a job")):
        job_parser = commands.add_parser(name, help=text)
        job_parser.add_argument("job")
    for name in ("submit", "status", "withdraw"):
        request_parser = commands.choices[name]
        request_parser.add_argument(
            "--to",
            metavar="HOST:PORT",
            default=os.environ.get("ASHDOCK", "127.0.0.1:8080"),
            help="a controller's address (default: $ASHDOCK or %(default)s)",
        )
        request_parser.add_argument(
            "--for",
            dest="timeout_s",
            type=float,
            default=60.0,
            metavar="SECONDS",
            help="how long to retry the request (default: %(default)g)",
        )
    return parser


def set_up_logging() -> None:
    """Log to standard error, at the level named by the environment variable LOG_LEVEL."""
    level = os.environ.get("LOG_LEVEL", "info").lower()
    logging.basicConfig(
        level=LEVELS.get(level, logging.INFO),
        stream=sys.stderr,
        format="%(levelname)s %(name)s %(message)s",
    )
    logging.getLogger("asyncio").setLevel(max(logging.WARNING, LEVELS.get(level, logging.INFO)))


def main(argv: list[str]) -> int:
    """Run the command line; return the exit code.

    2 means that the settings, the address or the file given are wrong; the other codes are those of
    `serve` and `user.run`. Wrong options end the process with code 2.
    """
    parser = build_parser()
    options = parser.parse_args(argv)
    if (options.config is None) == (options.command is None):
        parser.error("give either --config FILE or a command")
    try:
        if options.config is not None:
            return serve(load(options.config))
        if options.command == "check-config":
            return check_config(options.file, options.operators)
    except SettingsError as error:
        print(f"ashdock: {error}", file=sys.stderr)
        return 2
    from ashdock.net import user  # a controller's start need not wait for this import

    try:
        return user.run(
            options.command,
            options.to,
            options.timeout_s,
            getattr(options, "job", None),
            getattr(options, "file", None),
        )
    except SettingsError as error:
        print(f"ashdock: {error}", file=sys.stderr)
        return 2


def check_config(file: str, operators: str | None) -> int:
    """Print what a settings file says; return 0.

    Args:
        file: path of the settings file.
        operators: path of the operators' file; None: the default one, if it exists.

    Raises:
        SettingsError: a file cannot be read, or a setting is wrong.
    """
    from pathlib import Path

    from ashdock.settings import OPERATORS_FILE

    settings = load(file, Path(operators) if operators else OPERATORS_FILE)
    if operators and not Path(operators).exists():
        raise SettingsError(f"{operators}: cannot be read: no such file")
    teams = ", ".join(team.name for team in settings.settings.teams)
    print(f"{file}: valid: controller {settings.label} of {settings.settings.size}, teams {teams}")
    limits = settings.settings.machine_limits
    print(
        f"this controller: {limits.core_share:g} of a core, {limits.ram_mb:g} MB, "
        f"{limits.max_connections} connections"
    )
    state = settings.settings.state
    print(
        f"store: {_format_limits(state)}"
        + (f"; later no more than {_format_limits(state.smaller())}" if state.next else "")
    )
    return 0


def _format_limits(limits: StateLimits) -> str:
    return (
        f"{limits.rps:g} requests and {limits.write_rps:g} changes a second, "
        f"{limits.value_kb:g} KiB a value, {limits.txn_ops} changes a transaction"
    )


def serve(settings: Settings) -> int:
    """Run a controller until it is interrupted; return the exit code.

    130: interrupted; 1: an operating system error, such as an address that cannot be listened on.
    """
    set_up_logging()
    import asyncio

    from ashdock import garbage_collection
    from ashdock.controller import Controller

    async def run() -> None:
        controller = Controller(settings)
        enable_collection = asyncio.create_task(
            garbage_collection.enable_after_startup(
                controller.ready, settings.settings.workers.lease_s
            )
        )
        try:
            await controller.run()
        finally:
            enable_collection.cancel()

    garbage_collection.disable()
    try:
        asyncio.run(run())
    except KeyboardInterrupt:
        return 130
    except OSError as error:
        print(f"ashdock: cannot serve: {error}", file=sys.stderr)
        return 1
    return 0
