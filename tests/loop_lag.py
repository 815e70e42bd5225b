"""Time that an event loop lost, so that tests with a bound in time hold on a busy machine."""

import asyncio


class LoopLag:
    """How much time the event loop lost in stalls, because a busy machine held it up."""

    INTERVAL = 0.01
    STALL = 0.1  # seconds; shorter delays are ordinary and count for nothing

    def __init__(self) -> None:
        self.total = 0.0
        self._loop = asyncio.get_running_loop()
        self._expect()

    def _expect(self) -> None:
        self._timer = self._loop.call_later(self.INTERVAL, self._measure, self._loop.time() + self.INTERVAL)

    def _measure(self, expected: float) -> None:
        late = self._loop.time() - expected
        if late > self.STALL:
            self.total += late
        self._expect()

    def stop(self) -> float:
        """The seconds lost so far."""
        self._timer.cancel()
        return self.total
