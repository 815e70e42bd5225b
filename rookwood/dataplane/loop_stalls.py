"""How long this process was held up lately, by its machine or by its own work."""

from __future__ import annotations

import asyncio
import math

INTERVAL = 0.1  # seconds between two looks; shorter stalls may go unseen
HALF_LIFE = 10.0  # seconds in which the longest stall seen loses half its length


class StallMeter:
    """Remembers the longest delay of a timer; an older one counts less."""

    def __init__(self) -> None:
        self._longest = 0.0
        self._updated = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Measure the running event loop until `stop`."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(INTERVAL, self._look, loop.time() + INTERVAL)

    def stop(self) -> None:
        """Measure no longer."""
        if self._timer is not None:
            self._timer.cancel()

    def observe(self, seconds: float, now: float) -> None:
        """The loop came so much later than it was asked to."""
        self._longest = max(seconds, self.longest(now))
        self._updated = now

    def longest(self, now: float) -> float:
        """The longest stall in seconds, less for its age."""
        return self._longest * math.exp2((self._updated - now) / HALF_LIFE)

    def _look(self, expected: float) -> None:
        now = asyncio.get_running_loop().time()
        self.observe(now - expected, now)
        self.start()
