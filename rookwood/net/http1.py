"""HTTP/1.1 by h11 over one stream pair. Who makes a `Wire` closes it; nothing else touches the stream."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import select
from collections import deque
from datetime import timedelta
from typing import cast

import h11

MAX_BODY = 64 * 1024
CHUNK = 64 * 1024
MAX_READ_TIMES = 64  # whose times are kept; with more of them ahead a message counts as having come later


class TooLargeError(Exception):
    """A body over the limit."""


class NotWrittenError(Exception):
    """The connection broke before the last byte had left."""


READ_COUNTER = itertools.count()  # of what came in on all wires


class HttpStream:
    def __init__(
        self, http: h11.Connection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.http = http
        self.reader, self.writer = reader, writer
        self.last_read = next(READ_COUNTER)  # the less, the longer it has been still
        self.has_overflowed = False  # more came than is kept: what follows the message in hand is lost
        # So many bytes in all had come by that time of the loop; of the latest reads.
        self._read_times = deque([(0, 0.0)], maxlen=MAX_READ_TIMES)
        # `drain` then waits for the very last byte, which tells "not sent" from "broken after it was sent".
        writer.transport.set_write_buffer_limits(high=0)

    async def read_once(self) -> int:
        """Reads once; how many bytes, none at the end of the stream."""
        data = await self.reader.read(CHUNK)
        self.http.receive_data(data)
        self.last_read = next(READ_COUNTER)
        self._read_times.append((self._read_times[-1][0] + len(data), asyncio.get_running_loop().time()))
        return len(data)

    def time_since_message(self) -> timedelta:
        """How long ago the last byte of the message that was just read whole had come."""
        read = self._read_times[-1][0] - len(self.http.trailing_data[0])
        while self._read_times[0][0] < read:
            self._read_times.popleft()
        return timedelta(seconds=asyncio.get_running_loop().time() - self._read_times[0][1])

    async def next_event(self) -> h11.Event | type[h11.PAUSED]:
        while (event := self.http.next_event()) is h11.NEED_DATA:
            await self.read_once()
        return cast("h11.Event | type[h11.PAUSED]", event)

    async def read_body(self, most: int = MAX_BODY) -> bytes:
        """The rest of the message that has begun. Over the limit it raises at once, unread."""
        parts, size = list[bytes](), 0
        while isinstance(event := await self.next_event(), h11.Data):
            size += len(event.data)
            if size > most:
                raise TooLargeError
            parts.append(bytes(event.data))
        if not isinstance(event, h11.EndOfMessage):
            raise ConnectionResetError("the message was cut short")
        return b"".join(parts)

    def encode(self, *events: h11.Event) -> bytes:
        return b"".join(self.http.send(event) or b"" for event in events)

    async def write(self, data: bytes) -> None:
        if self.writer.transport.is_closing():
            raise NotWrittenError
        self.writer.write(data)
        if self.writer.transport.is_closing():  # the first send failed, so nothing left
            raise NotWrittenError
        try:
            await self.writer.drain()
        except OSError as error:
            raise NotWrittenError from error

    def is_idle(self) -> bool:
        """Open, and nothing has come unasked: neither bytes nor the end, read or unread."""
        transport = self.writer.transport
        if transport.is_closing() or self.reader.at_eof() or self.http.trailing_data != (b"", False):
            return False
        handle = transport.get_extra_info("socket").fileno()
        probe = select.poll()
        probe.register(handle, select.POLLIN)
        # Bytes that asyncio has read already lie in the reader; its own buffer has no public look.
        return not probe.poll(0) and not getattr(self.reader, "_buffer", b"")

    def is_peer_closed(self) -> bool:
        """The other side has closed, also where that is not read yet, or stands behind bytes that are not."""
        transport = self.writer.transport
        if transport.is_closing() or self.reader.at_eof():
            return True
        probe = select.poll()
        probe.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
        return bool(probe.poll(0))

    async def close(self) -> None:
        """Ends both directions at once, and returns when it is done."""
        self.writer.transport.abort()
        with contextlib.suppress(ConnectionError, OSError):
            await self.writer.wait_closed()
