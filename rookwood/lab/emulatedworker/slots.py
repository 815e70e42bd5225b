"""The places of requests that run at the same time, and the queue for them."""

from __future__ import annotations

import asyncio


class SlotPool:
    """The places for requests that run at once, and a short queue for them."""

    def __init__(self, slots: int, queue_limit: int) -> None:
        self.slots = slots
        self.running = 0
        self.waiting = 0
        self._queue_limit = queue_limit
        self._semaphore = asyncio.Semaphore(slots)

    @property
    def load(self) -> str:
        """The value of an `X-Load` header."""
        return f"{self.running},{self.waiting},{self.slots}"

    @property
    def full(self) -> bool:
        """Whether neither a slot nor a place in the queue is free."""
        return self._semaphore.locked() and self.waiting >= self._queue_limit

    async def acquire(self, timeout_s: float) -> bool:
        """Takes a slot; False where none came free in time."""
        self.waiting += 1
        try:
            async with asyncio.timeout(timeout_s):
                await self._semaphore.acquire()
        except TimeoutError:
            return False
        finally:
            self.waiting -= 1
        self.running += 1
        return True

    def release(self) -> None:
        """Gives a slot back."""
        self.running -= 1
        self._semaphore.release()
