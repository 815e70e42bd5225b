"""Has something done soon after it is asked for, but not more often than once in an interval."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class Throttle:
    """Runs an action: at once where it rested, else an interval after it ran last.

    So news that is rare is not late, and news that is frequent is collected. What is asked for in one turn of
    the event loop is done together.
    """

    def __init__(self, interval: float, action: Callable[[], None]) -> None:
        self._interval = interval
        self._action = action
        self._ran_at = float("-inf")
        self._pending: asyncio.Handle | None = None

    def request(self) -> None:
        """Have the action run."""
        if self._pending is not None:
            return
        loop = asyncio.get_running_loop()
        due = self._ran_at + self._interval
        if due <= loop.time():
            self._pending = loop.call_soon(self.run)
        else:
            self._pending = loop.call_at(due, self.run)

    def run(self) -> None:
        """Run the action now, in place of the next time."""
        if self._pending is not None:
            self._pending.cancel()
            self._pending = None
        self._ran_at = asyncio.get_running_loop().time()
        self._action()
