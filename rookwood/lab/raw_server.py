"""A server on a loopback socket that hands out raw connections: for peers that decide about every byte."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod

HOST = "127.0.0.1"


class RawServer(ABC):
    """Serves each connection in a task of its own, and drops them all when it stops."""

    def __init__(self) -> None:
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, HOST, 0)

    async def stop(self) -> None:
        """Stop listening and drop all connections."""
        if self._server is not None:
            self._server.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @property
    def address(self) -> str:
        """Where it listens, as HOST:PORT."""
        assert self._server is not None
        return f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    @abstractmethod
    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection; it is over when this returns or raises ConnectionError."""

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self.serve_connection(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the peer left, or the server stops
        finally:
            writer.transport.abort()
            self._tasks.discard(task)
