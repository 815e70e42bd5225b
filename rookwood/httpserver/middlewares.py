"""Middlewares that keep the bodies of calls and their responses within the memory budget."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web
from aiohttp.typedefs import Middleware

from rookwood.httpserver.responses import is_large, large_size, write_in_pieces
from rookwood.memory_budget import SMALL_BODY, Holding, MemoryBudget, Purpose

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

COPIES = 2  # of a body that the library makes while it joins the pieces
WAIT_SECONDS = 0.5  # for memory; callers give up after a second
BODY_SECONDS = 10.0  # from the head of a call to the end of its body
RETRY_AFTER = "1"  # seconds


def admit_bodies(budget: MemoryBudget, largest: int) -> Middleware:
    """A middleware that reads the body of a call, at most `largest` bytes, and then lets the handler run.

    Without memory for it, the call gets a 503 and nothing has been done.
    """

    @web.middleware
    async def read_body(request: web.Request, handler: Handler) -> web.StreamResponse:
        if not request.body_exists:
            return await handler(request)
        size = largest if request.content_length is None else request.content_length
        if size > largest:
            return too_large(largest)
        purpose = Purpose.SMALL_BODY if size <= SMALL_BODY else Purpose.LARGE_BODY
        with Holding(budget, purpose) as memory:
            if not await memory.take_within(COPIES * size, WAIT_SECONDS):
                return no_memory()
            try:
                async with asyncio.timeout(BODY_SECONDS):
                    await request.read()
            except TimeoutError:
                return web.json_response({"err": "the body did not end in time"}, status=408)
            except web.HTTPRequestEntityTooLarge:
                return too_large(largest)
            return await handler(request)

    return read_body


def write_within(budget: MemoryBudget) -> Middleware:
    """A middleware that writes large responses in pieces, and holds their memory until they are read.

    Without memory for it, a call that only reads gets a 503.
    """

    @web.middleware
    async def write_response(request: web.Request, handler: Handler) -> web.StreamResponse:
        response = await handler(request)
        if not isinstance(response, web.Response) or not is_large(response):
            return response
        with Holding(budget, Purpose.RESPONSE) as memory:
            size = COPIES * large_size(response)
            if not await memory.take_within(size, WAIT_SECONDS) and request.method == "GET":
                return no_memory()
            return await write_in_pieces(request, response)

    return write_response


def no_memory() -> web.Response:
    """The response to a call for which there is no memory; nothing has been done."""
    headers = {"Retry-After": RETRY_AFTER}
    return web.json_response({"err": "no memory for the call"}, status=503, headers=headers)


def too_large(limit: int) -> web.Response:
    """The response to a call whose body has more than `limit` bytes."""
    return web.json_response({"err": "the body is too large", "limit": limit}, status=413)
