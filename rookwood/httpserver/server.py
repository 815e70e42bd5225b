"""An aiohttp server behind a bounded listener."""

from __future__ import annotations

import asyncio

from aiohttp import web

from rookwood.httpserver.admission import Admission
from rookwood.httpserver.connection import BoundedConnection
from rookwood.httpserver.listener import BoundedListener

KEEPALIVE = 60.0  # seconds for which an idle connection is kept


class BoundedServer:
    """Serves what a runner was made for, within the limits of an admission."""

    def __init__(self, runner: web.ServerRunner | web.AppRunner, admission: Admission) -> None:
        self._runner = runner
        self._admission = admission
        self._listener: BoundedListener | None = None

    async def start(self, ip: str, port: int) -> None:
        """Listen at the address; raises OSError if that is impossible."""
        await self._runner.setup()
        self._listener = BoundedListener(ip, port, self._new_connection, self._admission)
        self._listener.start()

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._listener is not None:
            await self._listener.stop()
        await self._runner.cleanup()

    def _new_connection(self) -> asyncio.Protocol:
        server = self._runner.server
        assert server is not None
        return BoundedConnection(server, self._admission, keepalive_timeout=KEEPALIVE)
