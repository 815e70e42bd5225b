"""The HTTP server for clients, with what an orderly end of the process needs to know of each connection.

All uses of private attributes of aiohttp's connection handler are in this module.
"""

from __future__ import annotations

import asyncio
from typing import Any

from aiohttp import web
from aiohttp.typedefs import Handler


class ClientConnection(web.RequestHandler):
    """A client's connection that tells whether it can be closed without losing a request."""

    __slots__ = ("_head_begun", "_idle_since")

    def __init__(self, manager: web.Server, **options: Any) -> None:
        super().__init__(manager, loop=asyncio.get_running_loop(), **options)
        self._head_begun = False
        self._idle_since = asyncio.get_running_loop().time()

    def data_received(self, data: bytes) -> None:
        """Note whether the bytes so far end within the head of a request."""
        super().data_received(data)
        self._idle_since = asyncio.get_running_loop().time()
        self._head_begun = self._awaits_request

    @property
    def _awaits_request(self) -> bool:
        """Whether no request is being answered, and none has been read."""
        return self._waiter is not None and not self._waiter.done() and not self._messages

    def idle_for(self, now: float) -> float | None:
        """Seconds since bytes last came; None while a request is being read or answered."""
        if self._head_begun or not self._awaits_request:
            return None
        return now - self._idle_since


class ClientServer(web.Server):
    """Serves clients and closes their idle connections when the process is about to end."""

    def __init__(self, handler: Handler, **options: Any) -> None:
        super().__init__(handler, handler_cancellation=True)  # type: ignore[arg-type]
        self._options = options

    def __call__(self) -> ClientConnection:
        """Handle one more connection."""
        return ClientConnection(self, **self._options)

    def close_idle(self, least: float) -> None:
        """Close the connections on which nothing came for `least` seconds and no request waits."""
        now = asyncio.get_running_loop().time()
        for connection in self.connections:
            if not isinstance(connection, ClientConnection):
                continue
            idle = connection.idle_for(now)
            if idle is not None and idle >= least:
                connection.force_close()
