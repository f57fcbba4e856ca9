"""The commands that talk to a running service, retried as a user is meant to."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path
from urllib.parse import quote

from ashdock.net.http import Client, NoResponseError
from ashdock.settings import address


def run(verb: str, to: str, patience: float, job: str | None, file: str | None) -> int:
    host, port = address(to, "--to")
    if verb == "submit":
        assert file is not None
        try:
            body = sys.stdin.buffer.read() if file == "-" else Path(file).read_bytes()
        except OSError as why:
            print(f"ashdock: {file}: {why.strerror}", file=sys.stderr)
            return 2
        return asyncio.run(_ask(host, port, "POST", "/v2/runs", body, patience))
    name = quote(job or "", safe="")
    if verb == "status":
        return asyncio.run(_ask(host, port, "GET", f"/v2/runs/{name}", b"", patience))
    return asyncio.run(_ask(host, port, "POST", f"/v2/runs/{name}/withdraw", b"", patience))


async def _ask(host: str, port: int, method: str, target: str, body: bytes, patience: float) -> int:
    """0 for success, 1 for a final refusal, 3 when time ran out."""
    client = Client(host, port, max_idle=1)
    until = time.monotonic() + patience
    last = "no answer"
    while True:
        try:
            status, answer = await client.request(method, target, body, timeout=5.0)
            text = answer.decode("utf-8", "replace").strip()
            if status in (200, 201):
                print(text)
                return 0
            last = f"{status} {text}"
            if status in (400, 404, 405, 422):
                print(f"ashdock: {last}", file=sys.stderr)
                return 1
        except NoResponseError as why:
            last = str(why)
        if time.monotonic() + 1 > until:
            print(f"ashdock: gave up: {last}", file=sys.stderr)
            return 3
        await asyncio.sleep(1.0)
