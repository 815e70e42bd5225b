"""A connection of an HTTP listener whose buffers and time limits are bounded.

This is the only module that uses private attributes of aiohttp's connection handler.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, cast

from aiohttp import StreamReader, web
from aiohttp.http import HttpRequestParser
from aiohttp.web_protocol import RequestPayloadError

from rookwood.httpserver.admission import Admission
from rookwood.memory_budget import WAITER_BYTES, Holding, Purpose

READ_BUFFER = 16 * 1024  # bytes of a body that are buffered before reading pauses, at most twice as many
WRITE_HIGH_WATER = 16 * 1024  # bytes of responses in the transport above which writing pauses
QUEUED_REQUESTS = 2  # requests that are parsed ahead on a connection, the next one included
UPSTREAM_BYTES = 160 * 1024  # that pile up behind a response which is not read: buffered, and in the kernel
LINGER_SECONDS = 2.0  # for which the rest of a body that nobody wants is read and dropped
UNREAD_SECONDS_UNDER_PRESSURE = 1.0  # in place of the usual limit while the budget has no room
MAX_HEADERS = 128


class BoundedConnection(web.RequestHandler):
    """Serves one connection within the limits of its listener and the memory budget of the process.

    A head that is too long or takes too long closes the connection, as does a response that is left unread.
    Requests that are sent ahead are read only as far as the budget allows.
    """

    __slots__ = (
        "_admission",
        "_body",
        "_has_served",
        "_head_begun",
        "_head_size",
        "_head_timer",
        "_idle_since",
        "_read_ahead",
        "_socket_transport",
        "_unread",
        "_unread_timer",
    )

    def __init__(self, manager: web.Server, admission: Admission, **options: Any) -> None:
        loop = asyncio.get_running_loop()
        line_size = admission.limits.head_bytes()
        options = {"access_log": None, **options}
        super().__init__(
            manager,
            loop=loop,
            read_bufsize=READ_BUFFER,
            lingering_time=LINGER_SECONDS,
            max_line_size=line_size,
            max_field_size=line_size,
            **options,
        )
        self._max_msg_queue_size = QUEUED_REQUESTS
        self._msg_queue_resume_size = QUEUED_REQUESTS - 1
        self._parser = HttpRequestParser(
            self,
            loop,
            READ_BUFFER,
            max_line_size=line_size,
            max_field_size=line_size,
            max_headers=MAX_HEADERS,
            payload_exception=RequestPayloadError,
            auto_decompress=True,
            max_msg_queue_size=QUEUED_REQUESTS,
        )
        self._admission = admission
        self._body: StreamReader | None = None  # of the request being handled
        self._head_begun = False
        self._head_size = 0
        self._head_timer: asyncio.TimerHandle | None = None
        self._has_served = False
        self._idle_since = loop.time()
        self._read_ahead = Holding(admission.budget, Purpose.READ_AHEAD)
        self._unread = Holding(admission.budget, Purpose.RESPONSE)
        self._unread_timer: asyncio.TimerHandle | None = None
        self._socket_transport: asyncio.Transport | None = None

    # Opening and closing

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to serve the connection."""
        self._socket_transport = cast(asyncio.Transport, transport)
        self._socket_transport.set_write_buffer_limits(high=WRITE_HIGH_WATER)
        super().connection_made(transport)
        self._admission.opened(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Give back all that the connection held."""
        self._cancel_timers()
        self._read_ahead.release()
        self._unread.release()
        super().connection_lost(exc)
        self._admission.closed(self)

    def abort(self) -> None:
        """Close the connection at once, and drop what was not sent."""
        self.force_close()
        if self._socket_transport is not None:
            self._socket_transport.abort()

    def force_close(self) -> None:
        """Close the connection; what is still to be sent must be read within the time limit."""
        super().force_close()
        self._limit_unread()

    # Requests

    def data_received(self, data: bytes) -> None:
        """Receive bytes, and record whether they end within the head of a request."""
        body = self._body
        body_size = 0 if body is None else body.total_bytes
        super().data_received(data)
        if self._close or self._force_close:
            return
        self._idle_since = self._loop.time()
        self._head_begun = self.is_awaiting_request
        if self._messages or (body is not None and body.total_bytes > body_size):
            self._end_head()
        elif data and (self._head_begun or body is not None):
            self._check_head(len(data))
        if self._messages and self._waiter is None and not self._buffer_paused:
            self._pause_reading_for_buffer()

    @property
    def is_awaiting_request(self) -> bool:
        """Whether the handler waits for a request: none is being handled, and none is queued."""
        return self._waiter is not None and not self._waiter.done() and not self._messages

    @property
    def eviction_order(self) -> tuple[bool, float]:
        """Connections that sent no request come first, then those that have been still for longest."""
        return self._has_served, self._idle_since

    def idle_seconds(self, now: float) -> float | None:
        """Seconds since the last bytes came; None while a request is being read or handled."""
        if self._head_begun or not self.is_awaiting_request:
            return None
        return now - self._idle_since

    def _check_head(self, size: int) -> None:
        """Count bytes that are neither body nor a whole request: those of a head, or of trailers."""
        self._head_size += size
        if self._head_size > self._admission.limits.head_bytes() or not self._read_ahead.take(size):
            if self._body is not None and self._body.is_eof():
                self.close()
            else:
                self.abort()
        elif self._head_timer is None and self._head_begun:
            self._head_timer = self._loop.call_later(self._admission.limits.head_seconds(), self.abort)

    def _end_head(self) -> None:
        if self._head_size:
            self._head_size = 0
            self._read_ahead.release()
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    async def start(self) -> None:
        """Serve requests until the connection ends; then the last response must be read in time."""
        try:
            await super().start()
        finally:
            self._limit_unread()

    async def _handle_request(
        self,
        request: web.BaseRequest,
        start_time: float | None,
        request_handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    ) -> tuple[web.StreamResponse, bool]:
        """Handle a request once the responses before it have been read."""
        self._has_served = True
        self._body = request.content
        try:
            await self._drain_helper()
            response, is_lost = await super()._handle_request(request, start_time, request_handler)
            if isinstance(response, web.Response):
                response.body = None  # the library keeps both until the next request comes
            return response, is_lost
        finally:
            self._body = None
            request._read_bytes = None

    # Bytes that a client sent ahead

    def _pause_reading_for_buffer(self) -> None:
        """Stop reading while requests are queued; without room for the bytes behind them, drop these."""
        super()._pause_reading_for_buffer()
        if self._read_ahead.is_empty and not self._read_ahead.take(WAITER_BYTES):
            self.close()
            while len(self._messages) > 1:  # the handler may be about to take the first one
                self._messages.pop()

    def _resume_reading_for_buffer(self) -> None:
        self._read_ahead.release()
        super()._resume_reading_for_buffer()

    # Responses that a client doesn't read

    def pause_writing(self) -> None:
        """The client doesn't read as fast as it is sent to."""
        super().pause_writing()
        self._limit_unread()

    def resume_writing(self) -> None:
        """The client has read."""
        super().resume_writing()
        self._unread.release()
        transport = self._socket_transport
        if self._unread_timer is not None and transport is not None and not transport.is_closing():
            self._unread_timer.cancel()
            self._unread_timer = None

    def _limit_unread(self) -> None:
        transport = self._socket_transport
        if transport is None or self._unread_timer is not None:
            return
        size = transport.get_write_buffer_size()
        if not size:
            return
        limit = self._admission.limits.unread_seconds()
        if self._unread.is_empty and not self._unread.take(size + UPSTREAM_BYTES):
            limit = min(limit, UNREAD_SECONDS_UNDER_PRESSURE)
        self._unread_timer = self._loop.call_later(limit, self._end_unread, size)

    def _end_unread(self, size_before: int) -> None:
        """Close the connection unless the client has read since the timer was set."""
        self._unread_timer = None
        transport = self._socket_transport
        if transport is not None and transport.get_write_buffer_size() < size_before:
            self._limit_unread()
        else:
            self.abort()

    def _cancel_timers(self) -> None:
        for timer in (self._head_timer, self._unread_timer):
            if timer is not None:
                timer.cancel()
        self._socket_transport = None
