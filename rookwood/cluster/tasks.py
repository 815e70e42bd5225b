"""Background tasks of a process: periodic work, and an end of the process when one of them fails."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Awaitable, Callable, Iterable

logger = logging.getLogger("rookwood")


async def repeat(interval: float, action: Callable[[], Awaitable[None] | None]) -> None:
    """Call an action for ever at a fixed pause; cancelled by its task."""
    while True:
        await asyncio.sleep(interval)
        result = action()
        if result is not None:
            await result


async def run_until(stopping: asyncio.Event, tasks: Iterable[asyncio.Task[None]]) -> None:
    """Wait for the signal to stop; raises the exception of a task that failed before."""
    signal = asyncio.create_task(stopping.wait())
    try:
        done, _ = await asyncio.wait([signal, *tasks], return_when=asyncio.FIRST_COMPLETED)
    finally:
        signal.cancel()
    for task in done - {signal}:
        logger.critical("a background task ended", extra={"task": task.get_name()})
        task.result()


async def cancel_tasks(tasks: Iterable[asyncio.Task[None]]) -> None:
    """Cancel tasks and wait until they ended."""
    pending = list(tasks)
    for task in pending:
        task.cancel()
    for task in pending:
        with contextlib.suppress(asyncio.CancelledError):
            await task
