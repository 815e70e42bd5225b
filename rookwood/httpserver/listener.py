"""A listening socket that accepts connections only while there is room for them."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable

from rookwood.httpserver.admission import Admission

logger = logging.getLogger("rookwood")

ACCEPT_BATCH = 32  # connections accepted in one iteration of the event loop
ACCEPT_QUEUE_SIZE = 1024  # connections that the kernel queues until they are accepted
ACCEPT_PAUSE = 0.05  # seconds until accepting is tried again without a connection having ended
RECEIVE_BUFFER = 32 * 1024  # bytes that the kernel keeps unread for a connection; Linux doubles it
SEND_BUFFER = 64 * 1024  # bytes that the kernel keeps unsent for a connection; Linux doubles it
LOOP_TURNS = 4  # iterations of the event loop from an accepted connection to its first bytes


class BoundedListener:
    """Listens at an address and serves each connection with a protocol of its own.

    Without room the others wait in the kernel's queue until a connection has ended.
    """

    def __init__(
        self, ip: str, port: int, new_protocol: Callable[[], asyncio.Protocol], admission: Admission
    ) -> None:
        self._new_protocol = new_protocol
        self._admission = admission
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)
        try:
            self._socket.bind((ip, port))
        except OSError:
            self._socket.close()
            raise
        self._opening: set[asyncio.Task[None]] = set()
        self._retry: asyncio.TimerHandle | None = None
        self._is_listening = False

    @property
    def port(self) -> int:
        """The port of the listening socket."""
        port: int = self._socket.getsockname()[1]
        return port

    def start(self) -> None:
        """Begin to accept connections."""
        self._socket.listen(ACCEPT_QUEUE_SIZE)
        self._is_listening = True
        self._admission.on_room = self._resume
        asyncio.get_running_loop().add_reader(self._socket, self._accept)

    async def stop(self) -> None:
        """Accept the connections in the kernel's queue, then close the listening socket."""
        if not self._is_listening:
            self._socket.close()
            return
        self._accept_waiting()
        self._is_listening = False
        if self._retry is not None:
            self._retry.cancel()
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()
        await run_loop_turns()

    def _accept_waiting(self) -> None:
        for _ in range(ACCEPT_QUEUE_SIZE):
            if not self._accept_one():
                return

    def _accept(self) -> None:
        for _ in range(ACCEPT_BATCH):
            if not self._accept_one():
                return

    def _accept_one(self) -> bool:
        """Accept a connection; False if none waits or there is no room."""
        if not self._admission.accept():
            self._pause()
            return False
        try:
            connection, _ = self._socket.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            self._admission.cancel()
            return False
        except OSError as error:
            self._admission.cancel()
            logger.warning("connections can't be accepted", extra={"reason": str(error)})
            self._pause()
            return False
        connection.setblocking(False)
        task = asyncio.create_task(self._open(connection))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)
        return True

    async def _open(self, connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(self._new_protocol, connection)
        except OSError:
            connection.close()
            self._admission.cancel()

    def _pause(self) -> None:
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._socket)
        if self._retry is None:
            self._retry = loop.call_later(ACCEPT_PAUSE, self._resume)

    def _resume(self) -> None:
        if self._retry is None or not self._is_listening:
            return
        self._retry.cancel()
        self._retry = None
        asyncio.get_running_loop().add_reader(self._socket, self._accept)


async def run_loop_turns() -> None:
    """Let the event loop handle everything that has arrived on its sockets by now."""
    for _ in range(LOOP_TURNS):
        await asyncio.sleep(0)
