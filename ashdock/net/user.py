"""Commands that send a user's request to a controller, and retry as users are expected to."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path
from urllib.parse import quote

from ashdock.net.http import Client, NoResponseError
from ashdock.settings import parse_address


def run(command: str, to: str, timeout_s: float, job: str | None, file: str | None) -> int:
    """Send a request, and print the response; return the exit code.

    0: success; 1: the request was refused for good; 2: the file cannot be read; 3: no success
    within the timeout.

    Args:
        command: submit, status or withdraw.
        to: a controller's address, HOST:PORT.
        timeout_s: how long to retry.
        job: id of the job; only for status and withdraw.
        file: path of the submission, or - for standard input; only for submit.

    Raises:
        SettingsError: the address is wrong.
    """
    host, port = parse_address(to, "--to")
    if command == "submit":
        assert file is not None
        try:
            body = sys.stdin.buffer.read() if file == "-" else Path(file).read_bytes()
        except OSError as error:
            print(f"ashdock: {file}: cannot be read: {error.strerror}", file=sys.stderr)
            return 2
        return asyncio.run(_request(host, port, "POST", "/v2/runs", body, timeout_s))
    job_id = quote(job or "", safe="")
    if command == "status":
        return asyncio.run(_request(host, port, "GET", f"/v2/runs/{job_id}", b"", timeout_s))
    return asyncio.run(_request(host, port, "POST", f"/v2/runs/{job_id}/withdraw", b"", timeout_s))


async def _request(
    host: str, port: int, method: str, target: str, body: bytes, timeout_s: float
) -> int:
    """Retry a request every second until it succeeds, is refused for good, or times out."""
    client = Client(host, port, max_idle=1)
    deadline = time.monotonic() + timeout_s
    last_failure = "no response"
    while True:
        try:
            status, response_body = await client.request(method, target, body, timeout=5.0)
            text = response_body.decode("utf-8", "replace").strip()
            if status in (200, 201):
                print(text)
                return 0
            last_failure = f"{status} {text}"
            if status in (400, 404, 405, 422):
                print(f"ashdock: {last_failure}", file=sys.stderr)
                return 1
        except NoResponseError as error:
            last_failure = str(error)
        if time.monotonic() + 1 > deadline:
            print(f"ashdock: no success in {timeout_s:g} s: {last_failure}", file=sys.stderr)
            return 3
        await asyncio.sleep(1.0)
