"""Upgrades: the running process passes the clients' listening socket to the next one, over a Unix socket.

Closing one of several SO_REUSEPORT listeners resets the connections in its queue. Here both processes hold
the same listening socket, so no connection is lost.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import socket
import struct
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

from rookwood.net.destinations import Address

log = logging.getLogger(__name__)

RESPONSE_TIMEOUT = timedelta(seconds=1)  # a process that hangs must not delay the start of the next one
SUCCESSOR_TIMEOUT = timedelta(seconds=30)  # from the offer of the listener to the takeover
MAX_LEARNED_STATE, CHUNK = 4 * 1024 * 1024, 64 * 1024
# The messages: with the listener (from the running process), request of the learned state, takeover.
OFFER, STATE_REQUEST, TAKEN_OVER = b"L", b"M", b"T"


def is_same_user(peer: socket.socket) -> bool:
    """Whether the peer is of the same user; another user must neither get the listener nor offer one."""
    _, uid, _ = struct.unpack("3i", peer.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12))
    return bool(uid == os.getuid())


async def wait_readable(peer: socket.socket) -> None:
    """Wait until the socket has data or its end."""
    loop, ready = asyncio.get_running_loop(), asyncio.Event()
    loop.add_reader(peer, ready.set)
    try:
        await ready.wait()
    finally:
        loop.remove_reader(peer)


class Handover:
    """Takes the listener over from the previous process, and offers it to the next one.

    Owns the connection to the previous process and the Unix socket that the next one connects to.
    """

    def __init__(
        self,
        socket_path: Path | None,
        save_learned_state: Callable[[], bytes],
        on_taken_over: Callable[[], None],
        on_predecessor_end: Callable[[], None],
    ) -> None:
        self._socket_path, self._save_learned_state, self._on_taken_over, self._on_predecessor_end = (
            socket_path,
            save_learned_state,
            on_taken_over,
            on_predecessor_end,
        )
        self._predecessor: socket.socket | None = None
        # Returns the descriptor of the datagram socket to pass on with the listener, if there is one.
        self.datagram_descriptor: Callable[[], int | None] = lambda: None
        self.inherited_datagram_socket: socket.socket | None = None  # from the previous process
        self._watch: asyncio.Task[None] | None = None
        self._server: asyncio.Server | None = None
        self._inode = 0
        self._successors: set[asyncio.Task[None]] = set()

    async def inherit_listener(self, listen: Address) -> socket.socket | None:
        """Return the listener of the running process, or None if there is none at this address."""
        if not self._socket_path:
            return None
        try:
            predecessor = socket.socket(socket.AF_UNIX)
        except OSError as error:
            log.info("Unix sockets are not available, so an upgrade shares the address instead: %s", error)
            return None
        predecessor.setblocking(False)
        descriptors: list[int] = []
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT.total_seconds()):
                await asyncio.get_running_loop().sock_connect(predecessor, str(self._socket_path))
                await wait_readable(predecessor)
            message, descriptors, _, _ = socket.recv_fds(predecessor, 1, 2)
            if message != OFFER or not descriptors or not is_same_user(predecessor):
                raise ConnectionError("no listener was offered")
        except OSError as error:  # also TimeoutError, which is a subclass
            predecessor.close()
            for descriptor in descriptors:
                os.close(descriptor)
            if not isinstance(error, FileNotFoundError):
                log.info("no process hands its listener over: %s", error or "no response")
            return None
        listener, *others = (socket.socket(fileno=descriptor) for descriptor in descriptors)
        for inherited in (listener, *others):
            inherited.setblocking(False)
        host, port, *_ = listener.getsockname()
        if host != listen.host or listen.port not in (0, port):
            for inherited in (listener, *others):
                inherited.close()
            predecessor.close()
            return None
        self._predecessor, self.inherited_datagram_socket = predecessor, next(iter(others), None)
        return listener

    async def receive_learned_state(self) -> bytes:
        """Return what the previous process has learned so far; empty or incomplete if it does not respond."""
        text = b""
        with contextlib.suppress(OSError):  # also TimeoutError, which is a subclass
            if self._predecessor:
                self._predecessor.send(STATE_REQUEST)
                async with asyncio.timeout(RESPONSE_TIMEOUT.total_seconds()):
                    while not text.endswith(b"\n") and len(text) < MAX_LEARNED_STATE:
                        data = await asyncio.get_running_loop().sock_recv(self._predecessor, CHUNK)
                        if not data:
                            break
                        text += data
        return text

    def confirm_takeover(self) -> None:
        """Notify the previous process that this one serves the listener now."""
        if self._predecessor:
            with contextlib.suppress(OSError):
                self._predecessor.send(TAKEN_OVER)
            self._watch = asyncio.create_task(self._watch_predecessor(self._predecessor))

    async def _watch_predecessor(self, predecessor: socket.socket) -> None:
        await wait_readable(predecessor)  # the process sends nothing more, so this is the end of the stream
        log.info("the previous process has ended")
        self._on_predecessor_end()

    async def offer_listener(self, listener: socket.socket) -> None:
        """Allow the next process to take the listener over from now on."""
        if not self._socket_path:
            return

        async def serve_successor(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.current_task()
            assert task
            self._successors.add(task)
            try:
                with writer.get_extra_info("socket").dup() as peer:
                    if not is_same_user(peer):
                        return
                    datagrams = self.datagram_descriptor()
                    socket.send_fds(
                        peer, [OFFER], [listener.fileno(), *([] if datagrams is None else [datagrams])]
                    )
                async with asyncio.timeout(SUCCESSOR_TIMEOUT.total_seconds()) as timeout:
                    while message := await reader.read(1):
                        if message == STATE_REQUEST:
                            writer.write(self._save_learned_state() + b"\n")
                        elif message == TAKEN_OVER:
                            timeout.reschedule(None)  # the connection stays open until this process ends
                            self._on_taken_over()
            except (OSError, ValueError, asyncio.CancelledError) as error:
                log.info("a handover ended: %s: %s", type(error).__name__, error)
            finally:
                self._successors.discard(task)
                writer.close()

        try:
            with contextlib.suppress(FileNotFoundError):
                self._socket_path.unlink()  # left by the previous process, or by one that was killed
            self._server = await asyncio.start_unix_server(serve_successor, self._socket_path)
            self._inode = self._socket_path.stat().st_ino
        except OSError as error:  # the process serves clients; only the next upgrade is less smooth
            log.warning("no handover at %s: %s", self._socket_path, error)

    async def close(self) -> None:
        """Withdraw the offer and close the connections."""
        if self._server:
            self._server.close()
            with contextlib.suppress(OSError):
                # With another inode, the socket belongs to the next process.
                if self._socket_path and self._socket_path.stat().st_ino == self._inode:
                    self._socket_path.unlink()
        tasks = [*self._successors, *([self._watch] if self._watch else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._predecessor:
            self._predecessor.close()
