"""What the cases 4 to 8 share: a system on loopback, a record of what was seen, and the verdict.

The processes are started by `rookwood.lab.systemstage`, with the commands of the deploy file, and find their
libraries in `target/deps`, where the build of the deploy file puts them.
"""

from __future__ import annotations

import asyncio
import contextlib
import io
import os
import signal
import sys
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from rookwood.lab.systemstage import machines

LIMIT_S = 110.0  # for a whole run
HELD, BROKEN, NOT_RUN = 0, 1, 2

# A process is told where its libraries are, as the platform does.
machines.PASSED_VARIABLES += ("PYTHONPATH",)


class Record:
    """Writes what was sent, answered and run to `record.txt`, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line."""
        print(f"{time.monotonic() - self._started_at:8.3f} {text}", file=self._file, flush=True)


Case = Callable[[Record, bool], Awaitable[list[str]]]
"""Runs a case with or without its disruption, and returns what broke the rule."""


def run_case(script: str, case: Case) -> int:
    """Run a case and return its exit code; prints the verdict."""
    signal.signal(signal.SIGHUP, signal.SIG_DFL)  # a caller such as nohup may have set it to be ignored
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(script).with_name("record.txt"))
    record.write(f"TROUBLE={int(trouble)}")
    logs = io.StringIO()
    try:
        with contextlib.redirect_stdout(logs):
            breaks = asyncio.run(_within_limit(case, record, trouble))
    except Exception:
        record.write("could not run:\n" + traceback.format_exc())
        record.write("what the processes wrote last:\n" + logs.getvalue())
        print("could not run; see record.txt", file=sys.stderr)
        return NOT_RUN
    for item in breaks:
        record.write(f"BROKEN: {item}")
    verdict = "broken" if breaks else "held"
    record.write(f"the rule {verdict}")
    print(f"the rule {verdict}" + "".join(f"\n- {item}" for item in breaks[:5]))
    return BROKEN if breaks else HELD


async def _within_limit(case: Case, record: Record, trouble: bool) -> list[str]:
    async with asyncio.timeout(LIMIT_S):
        return await case(record, trouble)
