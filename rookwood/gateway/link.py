"""A connection to a peer: sends and receives frames, and limits frame size, unsent bytes and idle time."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import ssl
from collections.abc import AsyncIterator
from datetime import timedelta

from rookwood.gateway.frames import Frame, FrameError, Splitter, encoded
from rookwood.gateway.secure import peer_name

CHUNK = 64 * 1024


class LinkError(ConnectionError):
    """The link can no longer be used; the text gives the reason."""


class GoneError(LinkError):
    """The peer is not there: it refused the connection, closed it, or the connection broke."""


class Channel:
    """Owns the reader and writer of one connection until `close`."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, max_frame: int, max_bytes: int
    ) -> None:
        self._reader, self._writer, self._max_bytes = reader, writer, max_bytes
        self._splitter, self._ready = Splitter(max_frame), list[Frame]()
        secure: ssl.SSLObject | None = writer.get_extra_info("ssl_object")
        self.name = peer_name(secure)  # from the verified certificate; None on plaintext
        self.closed = False

    @property
    def socket(self) -> socket.socket:
        """The socket, for a caller that must close it from outside the event loop."""
        found: socket.socket = self._writer.get_extra_info("socket")
        return found

    @property
    def in_hand(self) -> int:
        """Bytes that are written but not yet sent."""
        return self._writer.transport.get_write_buffer_size()

    def send(self, frame: Frame) -> None:
        """Write a frame without waiting.

        If the peer reads too slowly and too many bytes are unsent, the connection is aborted; what was lost
        is sent again on the next one.
        """
        if self.closed:
            return
        if self.in_hand > self._max_bytes or self._writer.transport.is_closing():
            self.cut()
            return
        self._writer.write(encoded(frame))

    async def receive(self, limit: timedelta) -> Frame:
        """Return the next frame. Raises `LinkError` on a timeout, a lost connection or an invalid frame."""
        while not self._ready:
            try:
                async with asyncio.timeout(limit.total_seconds()):
                    data = await self._reader.read(CHUNK)
            except TimeoutError:
                raise LinkError(f"nothing was received for {limit.total_seconds():.1f} s") from None
            except (OSError, ssl.SSLError) as error:
                raise GoneError(f"the connection broke: {error}") from None
            if not data:
                raise GoneError("the peer closed the connection")
            try:
                self._ready = self._splitter.feed(data)
            except FrameError as error:
                raise LinkError(str(error)) from None
        return self._ready.pop(0)

    async def frames(self, limit: timedelta) -> AsyncIterator[Frame]:
        """Yield frames until `receive` raises; `limit` is the longest time between two."""
        while True:
            yield await self.receive(limit)

    def cut(self) -> None:
        """Close at once and discard unsent bytes."""
        if not self.closed:
            self.closed = True
            self._writer.transport.abort()

    async def close(self) -> None:
        """Close after giving unsent bytes up to half a second to be sent."""
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
    """Open a channel. Raises `LinkError`, also if the TLS handshake fails or takes longer than `limit`."""
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
