"""Background tasks: periodic work, and stopping the process when a task fails."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Awaitable, Callable, Iterable

logger = logging.getLogger("rookwood")


async def repeat(interval: float, action: Callable[[], Awaitable[None] | None]) -> None:
    """Call an action repeatedly, `interval` seconds after the last call returned, until cancelled."""
    while True:
        await asyncio.sleep(interval)
        result = action()
        if result is not None:
            await result


async def run_until(stopping: asyncio.Event, tasks: Iterable[asyncio.Task[None]]) -> None:
    """Wait until `stopping` is set or a task ends; raises the exception of a task that failed."""
    stop_wait = asyncio.create_task(stopping.wait())
    try:
        done, _ = await asyncio.wait([stop_wait, *tasks], return_when=asyncio.FIRST_COMPLETED)
    finally:
        stop_wait.cancel()
    for task in done - {stop_wait}:
        logger.critical("a background task ended unexpectedly", extra={"task": task.get_name()})
        task.result()


async def cancel_tasks(tasks: Iterable[asyncio.Task[None]]) -> None:
    """Cancel tasks and wait until they have ended."""
    pending = list(tasks)
    for task in pending:
        task.cancel()
    for task in pending:
        with contextlib.suppress(asyncio.CancelledError):
            await task
