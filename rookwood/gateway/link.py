"""One connection to a peer: frames in and out, with bounds on size, bytes in hand and silence."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import ssl
from collections.abc import AsyncIterator
from datetime import timedelta

from rookwood.gateway.frames import Frame, FrameError, Splitter, encoded
from rookwood.gateway.secure import name_of

CHUNK = 64 * 1024


class LinkError(ConnectionError):
    """The link cannot be used any more; the text says why."""


class GoneError(LinkError):
    """Nobody is there: the peer's machine refuses, or the peer has closed."""


class Channel:
    """Owns one stream pair, from its making to `close`."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, max_frame: int, max_bytes: int
    ) -> None:
        self._reader, self._writer, self._max_bytes = reader, writer, max_bytes
        self._splitter, self._ready = Splitter(max_frame), list[Frame]()
        secure: ssl.SSLObject | None = writer.get_extra_info("ssl_object")
        self.name = name_of(secure)  # proved by the certificate; None on plaintext
        self.closed = False

    @property
    def socket(self) -> socket.socket:
        """For whoever must be able to end it outside the event loop."""
        found: socket.socket = self._writer.get_extra_info("socket")
        return found

    @property
    def in_hand(self) -> int:
        """Bytes that are written and have not left."""
        return self._writer.transport.get_write_buffer_size()

    def send(self, frame: Frame) -> None:
        """Hands a frame to the connection, and never waits. A peer that reads too little loses the link:
        what it missed is said again on the next one."""
        if self.closed:
            return
        if self.in_hand > self._max_bytes or self._writer.transport.is_closing():
            self.cut()
            return
        self._writer.write(encoded(frame))

    async def receive(self, limit: timedelta) -> Frame:
        """The next frame. Raises `LinkError` if none comes within the limit, or what comes is unsound."""
        while not self._ready:
            try:
                async with asyncio.timeout(limit.total_seconds()):
                    data = await self._reader.read(CHUNK)
            except TimeoutError:
                raise LinkError(f"nothing was heard for {limit.total_seconds():.1f} s") from None
            except (OSError, ssl.SSLError) as error:
                raise GoneError(f"the link broke: {error}") from None
            if not data:
                raise GoneError("the peer has closed")
            try:
                self._ready = self._splitter.feed(data)
            except FrameError as error:
                raise LinkError(str(error)) from None
        return self._ready.pop(0)

    async def frames(self, limit: timedelta) -> AsyncIterator[Frame]:
        while True:
            yield await self.receive(limit)

    def cut(self) -> None:
        """At once, whatever is still to be written."""
        if not self.closed:
            self.closed = True
            self._writer.transport.abort()

    async def close(self) -> None:
        """What was written still goes out, for a moment."""
        if not self.closed:
            self.closed = True
            self._writer.close()
        with contextlib.suppress(OSError, TimeoutError, ssl.SSLError):
            async with asyncio.timeout(0.5):
                await self._writer.wait_closed()
        self._writer.transport.abort()


async def connected(
    host: str, port: int, limit: timedelta, context: ssl.SSLContext | None, max_frame: int, max_bytes: int
) -> Channel:
    """Raises `LinkError`, also for a handshake that fails or hangs."""
    try:
        async with asyncio.timeout(limit.total_seconds()):
            reader, writer = await asyncio.open_connection(host, port, ssl=context, limit=CHUNK)
    except TimeoutError:
        raise LinkError(f"no connection within {limit.total_seconds():g} s") from None
    except ConnectionRefusedError as error:
        raise GoneError(f"no connection: {error}") from None
    except (OSError, ssl.SSLError) as error:
        raise LinkError(f"no connection: {error}") from None
    return Channel(reader, writer, max_frame, max_bytes)
