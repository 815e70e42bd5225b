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

ANSWER_LIMIT = timedelta(seconds=1)  # who runs here but hangs must not hold up who comes to help
HEIR_LIMIT = timedelta(seconds=30)  # to take over, for who has asked
MAX_MEMORY, CHUNK = 4 * 1024 * 1024, 64 * 1024
OFFER, MEMORY, TAKEN = b"L", b"M", b"T"  # here is the listener; what was learned? it is served now


def own(peer: socket.socket) -> bool:
    """Of this user: nobody else is to get the socket, nor to put another in its place."""
    _, uid, _ = struct.unpack("3i", peer.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12))
    return bool(uid == os.getuid())


async def readable(peer: socket.socket) -> None:
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
        self._place, self._remember, self._succeeded, self._alone = place, remember, succeeded, alone
        self._before: socket.socket | None = None
        self.datagrams: Callable[[], int | None] = lambda: None  # the socket that goes along, if there is one
        self.inherited: socket.socket | None = None  # that of the process before
        self._watch: asyncio.Task[None] | None = None
        self._server: asyncio.Server | None = None
        self._inode = 0
        self._heirs: set[asyncio.Task[None]] = set()

    async def inherit(self, listen: Address) -> socket.socket | None:
        """The listener of the process that runs here already, if there is one and it is at this address."""
        if not self._place:
            return None
        try:
            before = socket.socket(socket.AF_UNIX)
        except OSError as error:
            log.info("no Unix sockets here, so upgrades share the address instead: %s", error)
            return None
        before.setblocking(False)
        handles: list[int] = []
        try:
            async with asyncio.timeout(ANSWER_LIMIT.total_seconds()):
                await asyncio.get_running_loop().sock_connect(before, str(self._place))
                await readable(before)
            word, handles, _, _ = socket.recv_fds(before, 1, 2)
            if word != OFFER or not handles or not own(before):
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
        self._before, self.inherited = before, next(iter(others), None)
        return listener

    async def memory(self) -> bytes:
        """What the process before has learned up to now; nothing if it does not say."""
        text = b""
        with contextlib.suppress(OSError):  # TimeoutError is one
            if self._before:
                self._before.send(MEMORY)
                async with asyncio.timeout(ANSWER_LIMIT.total_seconds()):
                    while not text.endswith(b"\n") and len(text) < MAX_MEMORY:
                        data = await asyncio.get_running_loop().sock_recv(self._before, CHUNK)
                        if not data:
                            break
                        text += data
        return text

    def taken(self) -> None:
        """This process serves the listener: the one before may stop."""
        if self._before:
            with contextlib.suppress(OSError):
                self._before.send(TAKEN)
            self._watch = asyncio.create_task(self._wait(self._before))

    async def _wait(self, before: socket.socket) -> None:
        await readable(before)  # it says nothing more: this is its end
        log.info("the process before has ended")
        self._alone()

    async def offer(self, listener: socket.socket) -> None:
        """From now on the next process may take the listener over."""
        if not self._place:
            return

        async def heir(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.current_task()
            assert task
            self._heirs.add(task)
            try:
                with writer.get_extra_info("socket").dup() as peer:
                    if not own(peer):
                        return
                    along = self.datagrams()
                    socket.send_fds(peer, [OFFER], [listener.fileno(), *([] if along is None else [along])])
                async with asyncio.timeout(HEIR_LIMIT.total_seconds()) as limit:
                    while word := await reader.read(1):
                        if word == MEMORY:
                            writer.write(self._remember() + b"\n")
                        elif word == TAKEN:
                            limit.reschedule(None)  # the connection's end will tell it of this process's
                            self._succeeded()
            except (OSError, ValueError, asyncio.CancelledError) as error:
                log.info("a handover ended: %s: %s", type(error).__name__, error)
            finally:
                self._heirs.discard(task)
                writer.close()

        try:
            with contextlib.suppress(FileNotFoundError):
                self._place.unlink()  # of the process before, or of one that was killed
            self._server = await asyncio.start_unix_server(heir, self._place)
            self._inode = self._place.stat().st_ino
        except OSError as error:  # it serves all the same; only the next upgrade is rougher
            log.warning("no handover at %s: %s", self._place, error)

    async def close(self) -> None:
        if self._server:
            self._server.close()
            with contextlib.suppress(OSError):
                if self._place and self._place.stat().st_ino == self._inode:  # else it is the next one's
                    self._place.unlink()
        tasks = [*self._heirs, *([self._watch] if self._watch else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._before:
            self._before.close()
