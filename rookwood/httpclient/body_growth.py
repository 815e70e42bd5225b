"""The memory for a body that is read as a whole."""

from __future__ import annotations

from rookwood.httpclient.limits import Excess, ExcessiveResponseError
from rookwood.memory_budget import SMALL_BODY, Holding

MEMORY_WAIT_SECONDS = 2.0  # for more memory, while some is held


class BodyGrowth:
    """The memory for a body whose bytes arrive one after the other; raises ExcessiveResponseError.

    A stated length is held before the first byte is read, with no limit on the wait. The room for an unknown
    length doubles; a body that holds memory waits only for some time for more, since those who wait for what
    others hold could otherwise wait for each other.
    """

    def __init__(self, limit: int, memory: Holding | None) -> None:
        self._limit = limit
        self._memory = memory
        self._room = SMALL_BODY  # bytes; so many need no grant
        self._held = 0

    async def begin(self, length: int | None) -> None:
        """Make room for a stated length."""
        if length is None:
            return
        if length > self._limit:
            raise ExcessiveResponseError(Excess.BODY)
        if self._memory is not None:
            await self._memory.add(length)
            self._held = length
        self._room = length

    async def make_room(self, size: int) -> None:
        """Make room for a body of this size."""
        if size > self._limit:
            raise ExcessiveResponseError(Excess.BODY)
        if size <= self._room:
            return
        more = max(size - self._room, min(self._room, self._limit - self._room))
        if self._memory is not None:
            if not await self._memory.add_within(more, MEMORY_WAIT_SECONDS):
                raise ExcessiveResponseError(Excess.MEMORY)
            self._held += more
        self._room += more

    def give_back(self) -> None:
        """Give back what is held for this body."""
        if self._memory is not None:
            self._memory.give_back(self._held)
            self._held = 0
