"""Dispatcher processes of the lab: started as an operator would, asked over their second address."""

from __future__ import annotations

import asyncio
import json
import math
import os
import subprocess
import sys
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from rookwood.lab.traffic import CLASSES, MOST_WAIT, STRETCH

LISTEN, MGMT, LINK, DUTIES = 3000, 9901, 7443, 7444  # ports of every node


# The one place where the program reads the wall clock for what it decides.
AHEAD = """
import datetime, runpy
from rookwood.net import clock
class Wrong(datetime.datetime):
    @classmethod
    def now(cls, tz=None):
        return datetime.datetime.now(tz) + datetime.timedelta(seconds={})
clock.datetime = Wrong
runpy.run_module("rookwood", run_name="__main__")
"""


@dataclass(slots=True, eq=False)
class Node:
    """One dispatcher process."""

    name: str
    site: str
    host: str  # an address of its own on loopback: ports there collide with nobody's
    config: Path
    conf: Path | None
    process: subprocess.Popen[bytes] | None = None
    mgmt: int = MGMT
    old: subprocess.Popen[bytes] | None = None  # amid an upgrade: the process before
    dead_until: float = 0.0  # by the event loop's clock
    ahead: float = 0.0  # seconds that its wall clock is, from its next start on

    def start(self, log: Path) -> None:
        environ = {k: v for k, v in os.environ.items() if not k.startswith(("PROXY_", "ROOKWOOD_", "TMPDIR"))}
        environ["PROXY_CONFIG"] = str(self.config)
        environ["PROXY_MGMT"] = f"{self.host}:{self.mgmt}"
        environ["TMPDIR"] = str(self.config.parent)
        if self.conf:
            environ["ROOKWOOD_CONF"] = str(self.conf)
        with log.open("ab") as out:
            self.process = subprocess.Popen(
                [sys.executable, *(["-c", AHEAD.format(self.ahead)] if self.ahead else ["-m", "rookwood"])],
                env=environ,
                stdout=out,
                stderr=out,
                stdin=subprocess.DEVNULL,
            )

    def stop(self) -> None:
        for process in (self.process, self.old):
            if process and process.poll() is None:
                process.kill()
                process.wait()


async def asked(host: str, port: int, path: str, method: str = "GET") -> tuple[int, str]:
    """One call of a second address."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n".encode())
        text = (await asyncio.wait_for(reader.read(), 2.0)).decode()
        return int(text.split()[1]), text.partition("\r\n\r\n")[2]
    finally:
        writer.close()


async def tried(
    host: str, port: int, path: str, request_id: str, key: str, work: float, give_up: float
) -> tuple[int, dict[str, str]]:
    """One try of a keyed job over a connection of its own: status and headers."""
    status, headers, _ = await answered(host, port, path, request_id, key, work, give_up)
    return status, headers


async def answered(
    host: str, port: int, path: str, request_id: str, key: str, work: float, give_up: float
) -> tuple[int, dict[str, str], str]:
    """The same, and the body."""
    body = json.dumps({"work": work, "slots": 1}).encode()
    head = (
        f"POST /{path}?k={hash(key) % 40} HTTP/1.1\r\nHost: lab\r\nRequest-Id: {request_id}\r\n"
        f"Request-Timeout: {give_up}\r\nIdempotency-Key: {key}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(head.encode() + body)
        start, *lines = (await reader.readuntil(b"\r\n\r\n")).decode().rstrip().split("\r\n")
        headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}
        text = await reader.readexactly(int(headers.get("content-length", 0)))
        return int(start.split()[1]), headers, text.decode()
    finally:
        writer.close()


def figure_lines(text: str) -> Iterator[tuple[str, float]]:
    for line in text.splitlines():
        name, _, value = line.removeprefix("dispatcher.").partition(":")
        yield name, float(value.partition("|")[0])


def settings_of(dispatchers: int, zone: str, give_up: float = math.inf) -> dict[str, Any]:
    micro = 1_000_000
    return {
        "balancers": dispatchers,
        "locality": zone,
        "tick": 4000,
        "discovery": "automatic",
        "bounds": {
            "attempts-cap": 4,
            "cancel": True,
            "probes": True,
            "conn-idle": 60 * micro,
            "connect-timeout": 150_000,
            "retry-after": True,
            "max-retry-after": int(MOST_WAIT * micro),
        },
        "load-report": {"how": "pull"},
        "rules": {"fall-multiple": 3.0, "overload-for": micro, "start-capacity": 0.31, "warm-up": 8 * micro},
        "lanes": [
            {
                "name": c.name,
                "repeat": "safe" if c.safe else "unsafe",
                "importance": c.worth,
                "aim": int(c.aim * micro),
                "give-up": int(min(give_up, c.give_up) * micro),
                "aim-stretch": STRETCH,
            }
            for c in CLASSES
        ],
    }
