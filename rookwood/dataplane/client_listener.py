"""Where clients connect: listens, and stops listening without losing a connection that was accepted."""

from __future__ import annotations

import asyncio
import socket

from aiohttp import web

ACCEPT_TURNS = 4  # turns of the event loop from a connection in the backlog to its first bytes
BACKLOG = 1024  # connections that the kernel holds until they are accepted


class ClientListener:
    """The listening socket of one server."""

    def __init__(self, runner: web.ServerRunner, ip: str, port: int) -> None:
        self._runner = runner
        self._socket = socket.create_server((ip, port), backlog=BACKLOG)
        self._site = web.SockSite(runner, self._socket, backlog=BACKLOG)

    @property
    def port(self) -> int:
        """The port that it listens at."""
        port: int = self._socket.getsockname()[1]
        return port

    async def start(self) -> None:
        """Accept connections."""
        await self._site.start()

    async def stop(self) -> None:
        """Take in what waits to be accepted, then listen no more.

        asyncio drops a connection whose transport is not made yet when its server is closed, which takes a
        turn of the event loop from the accept. So accepting ends some turns before the server is closed.
        """
        await turn_loop()
        asyncio.get_running_loop().remove_reader(self._socket)
        await turn_loop()
        await self._site.stop()
        await turn_loop()


async def turn_loop() -> None:
    """Let the event loop handle what has arrived on its sockets by now."""
    for _ in range(ACCEPT_TURNS):
        await asyncio.sleep(0)
