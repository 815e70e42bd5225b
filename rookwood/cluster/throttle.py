"""Limits how often an action runs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class Throttle:
    """Runs an action on request, at most once per interval.

    A request after an idle interval runs the action in the next iteration of the event loop; any other waits
    until an interval has passed since the last run. Rare updates are thus sent without delay and frequent
    ones are batched. Requests made before the action runs share one run.
    """

    def __init__(self, interval: float, action: Callable[[], None]) -> None:
        self._interval = interval
        self._action = action
        self._ran_at = float("-inf")
        self._pending: asyncio.Handle | None = None

    def request(self) -> None:
        """Schedule the action, unless it is already scheduled."""
        if self._pending is not None:
            return
        loop = asyncio.get_running_loop()
        due = self._ran_at + self._interval
        if due <= loop.time():
            self._pending = loop.call_soon(self.run)
        else:
            self._pending = loop.call_at(due, self.run)

    def run(self) -> None:
        """Run the action now; this replaces a scheduled run."""
        if self._pending is not None:
            self._pending.cancel()
            self._pending = None
        self._ran_at = asyncio.get_running_loop().time()
        self._action()
