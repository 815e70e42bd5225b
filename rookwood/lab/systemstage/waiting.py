"""Waiting for what a test expects."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

POLL_INTERVAL_S = 0.02
PATIENCE_S = 15.0  # for what must happen soon


class StageError(Exception):
    """What a test waited for didn't happen, or a process could not be started."""


async def eventually(
    condition: Callable[[], bool | Awaitable[bool]], what: str, within_s: float = PATIENCE_S
) -> None:
    """Waits until the condition holds; raises StageError where it doesn't in time."""
    give_up_at = time.monotonic() + within_s
    while True:
        outcome = condition()
        if outcome if isinstance(outcome, bool) else await outcome:
            return
        if time.monotonic() > give_up_at:
            raise StageError(f"not within {within_s} s: {what}")
        await asyncio.sleep(POLL_INTERVAL_S)
