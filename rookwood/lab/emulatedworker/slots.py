"""The places of requests that run at the same time, and the queue for them, in the order of their urgency."""

from __future__ import annotations

import asyncio
import heapq
import itertools

USUAL_URGENCY = 5  # of a request that names none; 0 is let in first


class SlotPool:
    """The places for requests that run at once, and a short queue for them."""

    def __init__(self, slots: int, queue_limit: int) -> None:
        self.slots = slots
        self.running = 0
        self.waiting = 0
        self._queue_limit = queue_limit
        self._queue: list[tuple[int, int, asyncio.Future[None]]] = []
        self._arrivals = itertools.count()

    @property
    def load(self) -> str:
        """The value of an `X-Load` header."""
        return f"{self.running},{self.waiting},{self.slots}"

    @property
    def full(self) -> bool:
        """Whether neither a slot nor a place in the queue is free."""
        return self.running >= self.slots and self.waiting >= self._queue_limit

    async def acquire(self, timeout_s: float, urgency: int = USUAL_URGENCY) -> bool:
        """Takes a slot; False where none came free in time."""
        if self.running < self.slots:
            self.running += 1
            return True
        granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._queue, (urgency, next(self._arrivals), granted))
        self.waiting += 1
        try:
            async with asyncio.timeout(timeout_s):
                await granted
        except (TimeoutError, asyncio.CancelledError) as error:
            if granted.done() and not granted.cancelled():
                self.release()  # it came free in the same turn
            if isinstance(error, asyncio.CancelledError):
                raise
            return False
        finally:
            self.waiting -= 1
        return True

    def release(self) -> None:
        """Gives a slot back, or on to the most urgent one that waits."""
        while self._queue:
            _, _, granted = heapq.heappop(self._queue)
            if not granted.done():
                granted.set_result(None)
                return
        self.running -= 1
