"""Upgrades: the clients' listening socket passes from the running process to the next, by a Unix socket.

Closing a SO_REUSEPORT listener resets what waits in its queue. With one socket in both hands nothing is lost.
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

RESPONSE_TIMEOUT = timedelta(seconds=1)  # who runs here but hangs must not hold up who comes to help
SUCCESSOR_TIMEOUT = timedelta(seconds=30)  # to take over, for who has asked
MAX_LEARNED_STATE, CHUNK = 4 * 1024 * 1024, 64 * 1024
OFFER, STATE_REQUEST, TAKEN_OVER = (
    b"L",
    b"M",
    b"T",
)  # here is the listener; what was learned? it is served now


def is_same_user(peer: socket.socket) -> bool:
    """Of this user: nobody else is to get the socket, nor to put another in its place."""
    _, uid, _ = struct.unpack("3i", peer.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12))
    return bool(uid == os.getuid())


async def wait_readable(peer: socket.socket) -> None:
    loop, ready = asyncio.get_running_loop(), asyncio.Event()
    loop.add_reader(peer, ready.set)
    try:
        await ready.wait()
    finally:
        loop.remove_reader(peer)


class Handover:
    """Owns the Unix sockets: one towards the process before this one, one that offers to the next."""

    def __init__(
        self,
        place: Path | None,
        remember: Callable[[], bytes],
        succeeded: Callable[[], None],
        alone: Callable[[], None],
    ) -> None:
        self._socket_path, self._save_learned_state, self._on_taken_over, self._on_predecessor_end = (
            place,
            remember,
            succeeded,
            alone,
        )
        self._predecessor: socket.socket | None = None
        self.datagram_descriptor: Callable[[], int | None] = (
            lambda: None
        )  # the socket that goes along, if there is one
        self.inherited_datagram_socket: socket.socket | None = None  # that of the process before
        self._watch: asyncio.Task[None] | None = None
        self._server: asyncio.Server | None = None
        self._inode = 0
        self._successors: set[asyncio.Task[None]] = set()

    async def inherit_listener(self, listen: Address) -> socket.socket | None:
        """The listener of the process that runs here already, if there is one and it is at this address."""
        if not self._socket_path:
            return None
        try:
            before = socket.socket(socket.AF_UNIX)
        except OSError as error:
            log.info("no Unix sockets here, so upgrades share the address instead: %s", error)
            return None
        before.setblocking(False)
        handles: list[int] = []
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT.total_seconds()):
                await asyncio.get_running_loop().sock_connect(before, str(self._socket_path))
                await wait_readable(before)
            word, handles, _, _ = socket.recv_fds(before, 1, 2)
            if word != OFFER or not handles or not is_same_user(before):
                raise ConnectionError("no listener was offered")
        except OSError as error:  # TimeoutError is one
            before.close()
            for handle in handles:
                os.close(handle)
            if not isinstance(error, FileNotFoundError):
                log.info("no process hands its listener over: %s", error or "no answer")
            return None
        listener, *others = (socket.socket(fileno=handle) for handle in handles)
        for handed in (listener, *others):
            handed.setblocking(False)
        host, port, *_ = listener.getsockname()
        if host != listen.host or listen.port not in (0, port):
            for handed in (listener, *others):
                handed.close()
            before.close()
            return None
        self._predecessor, self.inherited_datagram_socket = before, next(iter(others), None)
        return listener

    async def receive_learned_state(self) -> bytes:
        """What the process before has learned up to now; nothing if it does not say."""
        text = b""
        with contextlib.suppress(OSError):  # TimeoutError is one
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
        """This process serves the listener: the one before may stop."""
        if self._predecessor:
            with contextlib.suppress(OSError):
                self._predecessor.send(TAKEN_OVER)
            self._watch = asyncio.create_task(self._watch_predecessor(self._predecessor))

    async def _watch_predecessor(self, before: socket.socket) -> None:
        await wait_readable(before)  # it says nothing more: this is its end
        log.info("the process before has ended")
        self._on_predecessor_end()

    async def offer_listener(self, listener: socket.socket) -> None:
        """From now on the next process may take the listener over."""
        if not self._socket_path:
            return

        async def heir(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.current_task()
            assert task
            self._successors.add(task)
            try:
                with writer.get_extra_info("socket").dup() as peer:
                    if not is_same_user(peer):
                        return
                    along = self.datagram_descriptor()
                    socket.send_fds(peer, [OFFER], [listener.fileno(), *([] if along is None else [along])])
                async with asyncio.timeout(SUCCESSOR_TIMEOUT.total_seconds()) as limit:
                    while word := await reader.read(1):
                        if word == STATE_REQUEST:
                            writer.write(self._save_learned_state() + b"\n")
                        elif word == TAKEN_OVER:
                            limit.reschedule(None)  # the connection's end will tell it of this process's
                            self._on_taken_over()
            except (OSError, ValueError, asyncio.CancelledError) as error:
                log.info("a handover ended: %s: %s", type(error).__name__, error)
            finally:
                self._successors.discard(task)
                writer.close()

        try:
            with contextlib.suppress(FileNotFoundError):
                self._socket_path.unlink()  # of the process before, or of one that was killed
            self._server = await asyncio.start_unix_server(heir, self._socket_path)
            self._inode = self._socket_path.stat().st_ino
        except OSError as error:  # it serves all the same; only the next upgrade is rougher
            log.warning("no handover at %s: %s", self._socket_path, error)

    async def close(self) -> None:
        if self._server:
            self._server.close()
            with contextlib.suppress(OSError):
                if (
                    self._socket_path and self._socket_path.stat().st_ino == self._inode
                ):  # else it is the next one's
                    self._socket_path.unlink()
        tasks = [*self._successors, *([self._watch] if self._watch else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._predecessor:
            self._predecessor.close()
