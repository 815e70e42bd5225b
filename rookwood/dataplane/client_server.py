"""The HTTP server for clients, which can close its idle connections during a shutdown.

This is the only module that uses private attributes of aiohttp's connection handler.
"""

from __future__ import annotations

import asyncio
from typing import Any

from aiohttp import web
from aiohttp.typedefs import Handler


class ClientConnection(web.RequestHandler):
    """A client's connection that knows whether it can be closed without losing a request."""

    __slots__ = ("_head_begun", "_idle_since")

    def __init__(self, manager: web.Server, **options: Any) -> None:
        super().__init__(manager, loop=asyncio.get_running_loop(), **options)
        self._head_begun = False
        self._idle_since = asyncio.get_running_loop().time()

    def data_received(self, data: bytes) -> None:
        """Receive bytes, and record whether they end within the head of a request."""
        super().data_received(data)
        self._idle_since = asyncio.get_running_loop().time()
        self._head_begun = self._is_awaiting_request

    @property
    def _is_awaiting_request(self) -> bool:
        """Whether the handler waits for a request: none is being handled, and none is queued."""
        return self._waiter is not None and not self._waiter.done() and not self._messages

    def idle_seconds(self, now: float) -> float | None:
        """Seconds since the last bytes came; None while a request is being read or handled."""
        if self._head_begun or not self._is_awaiting_request:
            return None
        return now - self._idle_since


class ClientServer(web.Server):
    """Serves clients; their idle connections can be closed before the process ends."""

    def __init__(self, handler: Handler, **options: Any) -> None:
        super().__init__(handler, handler_cancellation=True)  # type: ignore[arg-type]
        self._options = options

    def __call__(self) -> ClientConnection:
        """Create the handler of a new connection."""
        return ClientConnection(self, **self._options)

    def close_idle(self, min_idle: float) -> None:
        """Close the connections that have been idle for at least `min_idle` seconds."""
        now = asyncio.get_running_loop().time()
        for connection in self.connections:
            if not isinstance(connection, ClientConnection):
                continue
            idle = connection.idle_seconds(now)
            if idle is not None and idle >= min_idle:
                connection.force_close()
