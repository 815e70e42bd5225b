"""Measures the time that an event loop lost, so that tests with time limits pass on a busy machine."""

import asyncio
from dataclasses import dataclass


@dataclass(frozen=True)
class Stall:
    """A time in which the event loop did not run, by the loop's clock."""

    ended: float
    seconds: float


class LoopLag:
    """Measures how much time the event loop lost in stalls of a busy machine."""

    INTERVAL = 0.01
    STALL = 0.1  # seconds; shorter delays are normal and not counted

    def __init__(self) -> None:
        self.stalls: list[Stall] = []
        self._loop = asyncio.get_running_loop()
        self._schedule()

    def _schedule(self) -> None:
        self._timer = self._loop.call_later(self.INTERVAL, self._measure, self._loop.time() + self.INTERVAL)

    def _measure(self, expected: float) -> None:
        now = self._loop.time()
        if now - expected > self.STALL:
            self.stalls.append(Stall(now, now - expected))
        self._schedule()

    @property
    def total(self) -> float:
        """The seconds lost so far."""
        return sum(stall.seconds for stall in self.stalls)

    @property
    def longest(self) -> float:
        """The longest stall in seconds, 0 if there was none."""
        return max((stall.seconds for stall in self.stalls), default=0.0)

    def lost_between(self, begin: float, end: float) -> float:
        """The seconds lost in stalls that overlap this span of the loop's clock."""
        overlapping = [s for s in self.stalls if s.ended >= begin and s.ended - s.seconds <= end]
        return sum(stall.seconds for stall in overlapping)

    def stop(self) -> float:
        """Stop measuring; return the seconds lost."""
        self._timer.cancel()
        return self.total
