"""Machines whose processor is a quota: full speed for a part of each tenth of a second, then nothing."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Sequence

from rookwood.lab.systemstage.machines import SystemProcess

PERIOD = 0.1  # seconds


@contextlib.asynccontextmanager
async def processor_quota(machines: Sequence[SystemProcess], share: float) -> AsyncIterator[None]:
    """Let these processes run for a share of each period only, each from a moment of its own."""
    tasks = [
        asyncio.create_task(_limit(machine, share, PERIOD * number / len(machines)))
        for number, machine in enumerate(machines)
    ]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _limit(machine: SystemProcess, share: float, offset: float) -> None:
    await asyncio.sleep(offset)
    try:
        while machine.running:
            machine.freeze()
            await asyncio.sleep(PERIOD * (1 - share))
            machine.thaw()
            await asyncio.sleep(PERIOD * share)
    finally:
        if machine.running:
            machine.thaw()
