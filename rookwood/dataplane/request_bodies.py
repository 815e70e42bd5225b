"""Reads the bodies of requests into memory that the process's budget has granted."""

from __future__ import annotations

import asyncio

from aiohttp import web

from rookwood.dataplane.responses import DEFAULT_RETRY_AFTER, ErrorResponse
from rookwood.memory_budget import (
    SMALL_BODY,
    UNCOUNTED_BODY,
    Holding,
    MemoryBudget,
    Purpose,
)

WAIT_SHARE = 0.25  # of a request's time that its body waits for memory; the client can then go elsewhere
NO_MEMORY = ErrorResponse(503, "no memory for the body", DEFAULT_RETRY_AFTER)
TOO_LARGE = ErrorResponse(413, "body too large")
TOO_SLOW = ErrorResponse(408, "the body did not end in time")


class RequestBody:
    """The body of one request and the memory that it holds; `release` gives that back."""

    def __init__(self, request: web.BaseRequest, budget: MemoryBudget) -> None:
        self._request = request
        self._content = request.content
        self._budget = budget
        self._holding = Holding(budget, Purpose.SMALL_BODY)

    def release(self) -> None:
        """Give back the memory of the body."""
        self._holding.release()

    async def read(self, limit: int, seconds: float) -> bytes | bytearray | ErrorResponse:
        """Read the whole body of at most `limit` bytes within `seconds`."""
        if not self._request.body_exists:
            return b""
        size = self._known_size()
        if size is not None and size > limit:
            return TOO_LARGE
        if self._content.is_eof() and size is not None and size <= UNCOUNTED_BODY:
            return await self._content.readany()
        try:
            async with asyncio.timeout(seconds):
                return await self._read(size, limit, seconds * WAIT_SHARE)
        except TimeoutError:
            return TOO_SLOW

    def _known_size(self) -> int | None:
        """The size of the body, if that is certain before it is read."""
        if self._content.is_eof():
            return self._content.total_bytes
        is_encoded = "Content-Encoding" in self._request.headers  # the length is that before decoding
        return None if is_encoded else self._request.content_length

    async def _read(self, size: int | None, limit: int, wait: float) -> bytes | bytearray | ErrorResponse:
        """Read a body, whose size may be unknown; `wait` is how long to wait for memory, in seconds."""
        granted = min(limit, SMALL_BODY) if size is None else size
        if not await self._hold(granted, wait):
            return NO_MEMORY
        body = bytearray()
        while data := await self._content.readany():
            if len(data) == size:
                return data
            if len(body) + len(data) > limit:
                return TOO_LARGE
            if len(body) + len(data) > granted:
                if not await self._hold(limit, wait):
                    return NO_MEMORY
                granted = limit
            body += data
        await self._holding.resize(len(body))
        return body

    async def _hold(self, size: int, wait: float) -> bool:
        """Hold so many bytes in place of those held before."""
        self._holding.release()
        if size > SMALL_BODY:
            self._holding = Holding(self._budget, Purpose.LARGE_BODY)
        return await self._holding.take_within(size, wait)
