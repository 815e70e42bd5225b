"""`rookwood experiment rest`: what the plain dispatcher takes while it does nothing, and what it imports."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from rich.console import Console

from rookwood.lab.boxes import Discovery
from rookwood.lab.nodes import settings_of
from rookwood.lab.results import keep

MOST_MB = 26.0  # 23 before the operator's file, the gateway and the logs came, and 3 more at most
EXTRAS = ("click", "cryptography", "lark", "msgspec", "numpy", "rich", "structlog", "hdrh")
OFF = ("rookwood.conf", "rookwood.duties", "rookwood.gateway", "rookwood.lab", "rookwood.ledger")  # in `run`
LIMIT = 10.0
PROGRAM = """
import atexit, sys
found = lambda: sorted({".".join(name.split(".")[:n]) for name in sys.modules for n in (1, 2)})
atexit.register(lambda: print("modules", *found(), flush=True))
import rookwood.__main__ as program
sys.exit(program.main())
"""


def resident_mb(pid: int) -> float:
    """Of one process, as Linux counts it."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    raise OSError("no VmRSS in /proc")


async def measured() -> dict[str, Any]:
    """Starts the plain program, waits until it listens, and looks."""
    discovery = Discovery()
    await discovery.server.start()
    with tempfile.TemporaryDirectory(prefix="rookwood-rest-") as folder:
        place = Path(folder) / "config.json"
        told = {"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.server.address, "seed": "1"}
        place.write_text(json.dumps(told | {"settings": settings_of(1, "a")}))
        environ = {k: v for k, v in os.environ.items() if not k.startswith(("PROXY_", "ROOKWOOD_"))}
        process = subprocess.Popen(
            [sys.executable, "-c", PROGRAM],
            env=environ | {"PROXY_CONFIG": str(place)},
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        try:
            assert process.stderr
            until = time.monotonic() + LIMIT
            while "listens" not in await asyncio.to_thread(process.stderr.readline):
                if process.poll() is not None or time.monotonic() > until:
                    raise RuntimeError("the dispatcher did not start")
            await asyncio.sleep(0.5)
            mb = resident_mb(process.pid)
            process.terminate()
            out, _ = await asyncio.to_thread(process.communicate, timeout=LIMIT)
        finally:
            process.kill()
            discovery.server.close()
    modules = set(out.partition("modules")[2].split())
    extras = sorted(modules & {*EXTRAS, *OFF})
    return {"resident_mb": round(mb, 1), "extras_imported": extras, "most_mb": MOST_MB}


def run(json_file: Path | None) -> int:
    figures = asyncio.run(measured())
    Console().print(
        f"resident at rest: {figures['resident_mb']} MB (at most {MOST_MB}); "
        f"extras imported: {', '.join(figures['extras_imported']) or 'none'}"
    )
    keep(json_file, "rest", {}, figures)
    return 0 if figures["resident_mb"] <= MOST_MB and not figures["extras_imported"] else 1
