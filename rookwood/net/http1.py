"""HTTP/1.1 over one connection, parsed by h11. Whoever creates an `HttpStream` closes it."""

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
MAX_READ_TIMES = 64  # reads whose times are kept; with more reads after it, a message seems to come later


class TooLargeError(Exception):
    """A message is over the size limit."""


class NotWrittenError(Exception):
    """The connection broke before the last byte was written."""


READ_COUNTER = itertools.count()  # numbers the reads of all streams


class HttpStream:
    """A connection on which HTTP messages are read and written."""

    def __init__(
        self, http: h11.Connection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.http = http
        self.reader, self.writer = reader, writer
        self.last_read = next(READ_COUNTER)  # the lower, the longer nothing has been read
        self.has_overflowed = False  # whether data was dropped, so that later messages are lost
        # Total bytes read, and the event loop's time then, for each of the latest reads.
        self._read_times = deque([(0, 0.0)], maxlen=MAX_READ_TIMES)
        self._read_limit: int | None = None  # in total bytes read
        # `drain` then waits until the last byte is written, which tells a request that was not sent from a
        # connection that broke afterwards.
        writer.transport.set_write_buffer_limits(high=0)

    def limit_reads(self, size: int) -> None:
        """Allow only so many more bytes to be read, whatever they are."""
        self._read_limit = self._read_times[-1][0] + size

    async def read_once(self) -> int:
        """Read once; return the number of bytes, 0 at the end of the stream.

        Raises `TooLargeError` for bytes beyond the limit, which are dropped.
        """
        data = await self.reader.read(CHUNK)
        total = self._read_times[-1][0] + len(data)
        if self._read_limit is not None and total > self._read_limit:
            raise TooLargeError("more bytes than a message may have")
        self.http.receive_data(data)
        self.last_read = next(READ_COUNTER)
        self._read_times.append((total, asyncio.get_running_loop().time()))
        return len(data)

    def time_since_message(self) -> timedelta:
        """Return how long ago the last byte of the latest complete message arrived."""
        message_end = self._read_times[-1][0] - len(self.http.trailing_data[0])
        while self._read_times[0][0] < message_end:
            self._read_times.popleft()
        return timedelta(seconds=asyncio.get_running_loop().time() - self._read_times[0][1])

    async def next_event(self) -> h11.Event | type[h11.PAUSED]:
        """Return the next event, reading as needed."""
        while (event := self.http.next_event()) is h11.NEED_DATA:
            await self.read_once()
        return cast("h11.Event | type[h11.PAUSED]", event)

    async def read_body(self, max_size: int = MAX_BODY) -> bytes:
        """Read the body of the current message; raises `TooLargeError` once it is over the limit."""
        parts, size = list[bytes](), 0
        while isinstance(event := await self.next_event(), h11.Data):
            size += len(event.data)
            if size > max_size:
                raise TooLargeError
            parts.append(bytes(event.data))
        if not isinstance(event, h11.EndOfMessage):
            raise ConnectionResetError("the message was cut short")
        return b"".join(parts)

    def encode(self, *events: h11.Event) -> bytes:
        """Encode a message of these events."""
        return b"".join(self.http.send(event) or b"" for event in events)

    async def write(self, data: bytes) -> None:
        """Write all data; raises `NotWrittenError` if the connection breaks before."""
        if self.writer.transport.is_closing():
            raise NotWrittenError
        self.writer.write(data)
        if self.writer.transport.is_closing():  # the first send failed, so nothing was written
            raise NotWrittenError
        try:
            await self.writer.drain()
        except OSError as error:
            raise NotWrittenError from error

    def is_idle(self) -> bool:
        """Whether the connection is open and neither data nor its end has arrived, read or unread."""
        transport = self.writer.transport
        if transport.is_closing() or self.reader.at_eof() or self.http.trailing_data != (b"", False):
            return False
        descriptor = transport.get_extra_info("socket").fileno()
        poll = select.poll()
        poll.register(descriptor, select.POLLIN)
        # Data that asyncio has read already is in the reader's buffer, which has no public accessor.
        return not poll.poll(0) and not getattr(self.reader, "_buffer", b"")

    def is_peer_closed(self) -> bool:
        """Whether the peer has closed the connection, even if data before the end is still unread."""
        transport = self.writer.transport
        if transport.is_closing() or self.reader.at_eof():
            return True
        poll = select.poll()
        poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    async def close(self) -> None:
        """Abort the connection, and wait until it is closed."""
        self.writer.transport.abort()
        with contextlib.suppress(ConnectionError, OSError):
            await self.writer.wait_closed()
