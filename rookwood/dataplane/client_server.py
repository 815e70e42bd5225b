"""The HTTP server for clients, which can close its idle connections during a shutdown."""

from __future__ import annotations

import asyncio
from typing import Any

from aiohttp import web
from aiohttp.typedefs import Handler

from rookwood.httpserver.admission import Admission
from rookwood.httpserver.connection import BoundedConnection


class ClientServer(web.Server):
    """Serves clients; their idle connections can be closed before the process ends."""

    def __init__(self, handler: Handler, admission: Admission, **options: Any) -> None:
        super().__init__(handler, handler_cancellation=True)  # type: ignore[arg-type]
        self.admission = admission
        self._options = options

    def __call__(self) -> BoundedConnection:
        """Create the handler of a new connection."""
        return BoundedConnection(self, self.admission, **self._options)

    def close_idle(self, min_idle: float) -> None:
        """Close the connections that have been idle for at least `min_idle` seconds."""
        now = asyncio.get_running_loop().time()
        for connection in self.connections:
            if not isinstance(connection, BoundedConnection):
                continue
            idle = connection.idle_seconds(now)
            if idle is not None and idle >= min_idle:
                connection.force_close()
