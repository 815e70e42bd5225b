"""The memory that a process may spend on its peers: bodies, responses, frames, unread bytes and connections.

One `MemoryBudget` per process owns all of it. A part is for connections, which bounds their number. Of the
bytes that they hold beyond that, each purpose has a ceiling, above which it gets nothing more, so that large
bodies can't take the room of small requests, nor these the room of responses. Responses
have a share of their own, so that workers that stall can't take the room of requests. Whoever needs more than
is free waits in order of arrival.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from types import TracebackType
from typing import Self

MEBIBYTE = 1024 * 1024
RESPONSE_SHARE = 0.5  # of the budget, for all responses together unless it is a single one
DEFAULT_MEMORY_MEGABYTES = 256  # of a process whose settings name no limit
SHARE_OF_MEMORY = 0.25  # of the process's memory, for bytes that callers make it hold
CONNECTIONS_SHARE = 0.125  # of the process's memory, for connections
CONNECTION_BYTES = 32 * 1024  # of an open connection: its objects, and what it may hold without being asked
UNCOUNTED_BODY = 4 * 1024  # bytes; a body that is not larger belongs to its connection
SMALL_BODY = 64 * 1024  # bytes; the largest body that counts as small
WAITER_BYTES = 128 * 1024  # bytes that a waiting caller may have sent: buffered, and in the kernel


class Purpose(Enum):
    """What bytes are needed for; the value is the ceiling as a share of the budget."""

    LARGE_BODY = 0.5
    READ_AHEAD = 0.625  # bytes of callers that wait or send ahead
    SMALL_BODY = 0.75
    RESPONSE = 1.0
    LINK = 1.25  # frames between machines, which always find room beside what callers and workers send


@dataclass(slots=True, eq=False)
class _Waiter:
    size: int
    granted: asyncio.Future[None]


@dataclass(slots=True)
class MemoryBudget:
    """Grants bytes up to `total`, links a part more, beside those of at most `connections` connections.

    A single need above its ceiling is granted if its purpose holds nothing.
    """

    total: int
    connections: int
    held: int = 0
    refused: int = 0  # needs that were not granted, since the start of the process
    _held_for: dict[Purpose, int] = field(default_factory=lambda: dict.fromkeys(Purpose, 0))
    _waiting: dict[Purpose, deque[_Waiter]] = field(
        default_factory=lambda: {purpose: deque() for purpose in Purpose}
    )

    @classmethod
    def for_memory(cls, megabytes: int) -> Self:
        """The budget of a process that may take so much memory."""
        memory = megabytes * MEBIBYTE
        return cls(int(memory * SHARE_OF_MEMORY), int(memory * CONNECTIONS_SHARE) // CONNECTION_BYTES)

    def take(self, size: int, purpose: Purpose) -> bool:
        """Take bytes without waiting; returns whether they were granted."""
        if self._waiting[purpose] or not self._fits(size, purpose):
            self.refused += 1
            return False
        self._grant(size, purpose)
        return True

    async def reserve(self, size: int, purpose: Purpose) -> None:
        """Take bytes, waiting for as long as the caller allows; a cancelled wait takes nothing."""
        if not self._waiting[purpose] and self._fits(size, purpose):
            self._grant(size, purpose)
            return
        waiter = _Waiter(size, asyncio.get_running_loop().create_future())
        self._waiting[purpose].append(waiter)
        try:
            await waiter.granted
        except asyncio.CancelledError:
            self.refused += 1
            if waiter.granted.done() and not waiter.granted.cancelled():
                self.release(size, purpose)
            elif waiter in self._waiting[purpose]:
                self._waiting[purpose].remove(waiter)
                self._grant_waiters()
            raise

    def release(self, size: int, purpose: Purpose) -> None:
        """Give bytes back."""
        self.held -= size
        self._held_for[purpose] -= size
        self._grant_waiters()

    def held_for(self, purpose: Purpose) -> int:
        """Bytes that are held for a purpose."""
        return self._held_for[purpose]

    def _fits(self, size: int, purpose: Purpose) -> bool:
        ceiling = int(purpose.value * self.total)
        if size > ceiling:
            return self._held_for[purpose] == 0
        if self.held + size > ceiling:
            return False
        if purpose is not Purpose.RESPONSE or self._held_for[purpose] == 0:
            return True
        return self._held_for[purpose] + size <= RESPONSE_SHARE * self.total

    def _grant(self, size: int, purpose: Purpose) -> None:
        self.held += size
        self._held_for[purpose] += size

    def _grant_waiters(self) -> None:
        for purpose, waiters in self._waiting.items():
            while waiters and (waiters[0].granted.done() or self._fits(waiters[0].size, purpose)):
                waiter = waiters.popleft()
                if not waiter.granted.done():
                    self._grant(waiter.size, purpose)
                    waiter.granted.set_result(None)


class Holding:
    """Bytes held for one thing that may grow; a context manager that gives them back."""

    def __init__(self, budget: MemoryBudget, purpose: Purpose) -> None:
        self._budget = budget
        self._purpose = purpose
        self._size = 0

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, traceback: TracebackType | None
    ) -> None:
        self.release()

    @property
    def size(self) -> int:
        """The bytes that are held."""
        return self._size

    @property
    def is_empty(self) -> bool:
        """Whether nothing is held."""
        return self._size == 0

    def take(self, size: int) -> bool:
        """Hold more bytes if they are free now; returns whether they were."""
        if not self._budget.take(size, self._purpose):
            return False
        self._size += size
        return True

    async def take_within(self, size: int, seconds: float) -> bool:
        """Hold more bytes, waiting for them for some time; returns whether they were granted.

        While it waits, what the caller has sent already counts as read ahead; without room for that, there is
        no wait.
        """
        if self.take(size):
            return True
        with Holding(self._budget, Purpose.READ_AHEAD) as ahead:
            if not ahead.take(WAITER_BYTES):
                return False
            return await self.add_within(size, seconds)

    async def add_within(self, size: int, seconds: float) -> bool:
        """Hold more bytes, waiting for them for some time; returns whether they were granted."""
        try:
            async with asyncio.timeout(seconds):
                await self.add(size)
        except TimeoutError:
            return False
        return True

    async def add(self, size: int) -> None:
        """Hold more bytes; waits until they are free."""
        await self._budget.reserve(size, self._purpose)
        self._size += size

    async def resize(self, size: int) -> None:
        """Hold exactly so many bytes; waits if these are more than before."""
        if size > self._size:
            await self.add(size - self._size)
        else:
            self.give_back(self._size - size)

    async def resize_within(self, size: int, seconds: float) -> bool:
        """As `resize`, with a limit on the wait; returns whether the bytes are held."""
        if size > self._size:
            return await self.add_within(size - self._size, seconds)
        await self.resize(size)
        return True

    def give_back(self, size: int) -> None:
        """Give some of the bytes back."""
        if size:
            self._budget.release(size, self._purpose)
            self._size -= size

    def release(self) -> None:
        """Give everything back."""
        self.give_back(self._size)
