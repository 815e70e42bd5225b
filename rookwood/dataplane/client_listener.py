"""The listening socket for clients, which can be closed without losing a connection that was accepted."""

from __future__ import annotations

import asyncio
import socket

from aiohttp import web

ACCEPT_TURNS = 4  # iterations of the event loop from a connection in the kernel's queue to its first bytes
ACCEPT_QUEUE_SIZE = 1024  # connections that the kernel queues until they are accepted


class ClientListener:
    """Listens for one server runner."""

    def __init__(self, runner: web.ServerRunner, ip: str, port: int) -> None:
        self._runner = runner
        self._socket = socket.create_server((ip, port), backlog=ACCEPT_QUEUE_SIZE)
        self._site = web.SockSite(runner, self._socket, backlog=ACCEPT_QUEUE_SIZE)

    @property
    def port(self) -> int:
        """The port of the listening socket."""
        port: int = self._socket.getsockname()[1]
        return port

    async def start(self) -> None:
        """Begin to accept connections."""
        await self._site.start()

    async def stop(self) -> None:
        """Accept the connections in the kernel's queue, then close the listening socket.

        asyncio creates the transport of a connection one iteration of the event loop after accepting it, and
        drops the connection if the server is closed in between. So accepting stops some iterations before the
        server is closed.
        """
        await run_loop_turns()
        asyncio.get_running_loop().remove_reader(self._socket)
        await run_loop_turns()
        await self._site.stop()
        await run_loop_turns()


async def run_loop_turns() -> None:
    """Let the event loop handle everything that has arrived on its sockets by now."""
    for _ in range(ACCEPT_TURNS):
        await asyncio.sleep(0)
