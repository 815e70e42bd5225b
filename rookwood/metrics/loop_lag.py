"""Measures how late the event loop runs tasks that are due; everything in the process waits as long."""

from __future__ import annotations

import asyncio

INTERVAL = 0.25  # seconds
WINDOW = 10.0  # seconds; the recent maximum covers between one and two of these


class LoopLag:
    """The lag of a task that wakes periodically."""

    def __init__(self) -> None:
        self.last = 0.0
        self.maximum = 0.0
        self.total = 0.0
        self.measurements = 0
        self._window_began = 0.0
        self._window_maximum = 0.0
        self._previous_maximum = 0.0

    @property
    def recent_maximum(self) -> float:
        """The largest lag of the current window and the previous one."""
        return max(self._window_maximum, self._previous_maximum)

    async def run(self) -> None:
        """Measure until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + INTERVAL
            await asyncio.sleep(INTERVAL)
            now = loop.time()
            self.observe(now - due, now)

    def observe(self, lag: float, now: float) -> None:
        """Record one measurement."""
        self.last = max(0.0, lag)
        self.measurements += 1
        self.total += self.last
        self.maximum = max(self.maximum, self.last)
        if now - self._window_began > WINDOW:
            self._window_began = now
            self._previous_maximum = self._window_maximum
            self._window_maximum = 0.0
        self._window_maximum = max(self._window_maximum, self.last)
