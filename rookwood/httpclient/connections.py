"""Connections that tell a complete response from one that broke off.

If a body has neither a length nor chunks, aiohttp takes any end of the connection for its end. It also keeps
bytes that a server sends after a response for the next request on the connection. Here such a body is
complete only after an orderly end of file from the peer, and bytes after a response close the connection.

It also bounds lines, fields and their number, but neither the interim responses before a head nor the bytes
that frame a body. Here all bytes of a response are counted, and one that goes beyond its limits is given up.
"""

from __future__ import annotations

import asyncio
import functools
from typing import Any

from aiohttp import ClientPayloadError, ClientResponse, SocketFactoryType, StreamReader, TCPConnector
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection
from aiohttp.http import RawResponseMessage

from rookwood.httpclient.limits import (
    DEFAULT_RESPONSE_LIMITS,
    REFUSED_RESPONSES,
    Excess,
    ExcessiveResponseError,
    ResponseLimits,
)
from rookwood.memory_budget import UNCOUNTED_BODY, Holding, MemoryBudget, Purpose

SWITCHING_PROTOCOLS = 101
INTERIM_STATUSES = frozenset(range(100, 200)) - {SWITCHING_PROTOCOLS}
HEAD_COPIES = 3  # of the bytes of a head: as received, as raw fields and as text


class ResponseProtocol(ResponseHandler):
    """A connection that carries one request and its response at a time."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        limits: ResponseLimits = DEFAULT_RESPONSE_LIMITS,
        budget: MemoryBudget | None = None,
    ) -> None:
        super().__init__(loop=loop)
        self._limits = limits
        self._peer_finished = False
        self._response_body: StreamReader | None = None
        self._received_bytes = 0  # since the request began
        self._interim_responses = 0
        self._is_refused = False
        self._head_memory = None if budget is None else Holding(budget, Purpose.RESPONSE)

    def set_response_params(self, **parameters: Any) -> None:
        """Begin a request, to which the next response belongs."""
        self._response_body = None
        self._received_bytes = 0
        self._interim_responses = 0
        self._release_head()
        super().set_response_params(**parameters)

    def feed_data(self, data: tuple[RawResponseMessage, StreamReader], size: int = 0) -> None:
        """Receive the head of a response from the parser."""
        message, body = data
        if self._is_refused:
            return
        if message.code in INTERIM_STATUSES:
            self._interim_responses += 1
            if self._interim_responses > self._limits.interim_responses:
                self._refuse(Excess.INTERIM)
                return
        else:
            if self._response_body is not None:
                self._drop_connection()
                return
            self._response_body = body
            if self._request_is_pending():
                self.force_close()  # no other request may follow one that is not completely written
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Receive bytes from the peer; those after a complete response belong to no request."""
        if data and self._response_body is not None and self._response_body.is_eof():
            self._drop_connection()
            return
        super().data_received(data)
        self._received_bytes += len(data)
        if not self._is_refused:
            self._check_size()

    def eof_received(self) -> None:
        """Handle an orderly end of file from the peer."""
        self._peer_finished = True
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Handle the end of the connection; only an orderly end from the peer completes a response."""
        if exc is not None or not self._peer_finished:
            self._break_response(exc)
        self._release_head()
        super().connection_lost(exc)

    def close(self) -> None:
        """Close the connection from this side, which completes no response.

        It is aborted, since a peer that doesn't read the rest of its request would keep it open.
        """
        self.abort()

    def abort(self) -> None:
        """Abort the connection from this side, which completes no response."""
        self._break_response(None)
        super().abort()

    def drop_unless_reused(self, body: StreamReader) -> None:
        """Close the connection unless it carries a later request by now. `body` is that of the response."""
        if self._response_body is body:
            self._drop_connection()

    def _check_size(self) -> None:
        """Give the response up if the bytes outside its body are too many.

        While the parser is paused, it may hold bytes of the body, so they are counted later.
        """
        if self._reading_paused or self.transport is None:
            return
        body = self._response_body
        if body is None:
            self._check_head()
            return
        framing = self._received_bytes - body.total_bytes
        if framing > self._limits.head_bytes + self._limits.framing_bytes + body.total_bytes:
            self._refuse(Excess.FRAMING)

    def _check_head(self) -> None:
        if self._received_bytes > self._limits.head_bytes:
            self._refuse(Excess.HEAD)
            return
        memory = self._head_memory
        if memory is None or self._received_bytes <= UNCOUNTED_BODY or not memory.is_empty:
            return
        if not memory.take(HEAD_COPIES * self._limits.head_bytes):
            self._refuse(Excess.MEMORY)

    def _release_head(self) -> None:
        if self._head_memory is not None:
            self._head_memory.release()

    def _refuse(self, excess: Excess) -> None:
        self._is_refused = True
        REFUSED_RESPONSES.record(excess)
        error = ExcessiveResponseError(excess)
        self._break_response(error)
        self.set_exception(error)
        self._drop_connection()

    def _request_is_pending(self) -> bool:
        """Whether a part of the request has not been passed to the kernel yet."""
        if self.transport is None:
            return True
        return self.writing_paused or self.transport.get_write_buffer_size() > 0

    def _break_response(self, cause: BaseException | None) -> None:
        body = self._response_body
        if body is None or body.is_eof() or body.exception() is not None:
            return
        error = ClientPayloadError(f"connection lost before the end of the answer: {cause!r}")
        if cause is None:
            body.set_exception(error)
        else:
            body.set_exception(error, cause)

    def _drop_connection(self) -> None:
        self.force_close()
        if self.transport is not None:
            self.transport.abort()


class DiscardableResponse(ClientResponse):
    """A response that can still close its connection when its body is complete.

    The library returns a connection to the pool with the last byte of a response, for whichever request.
    """

    _response_protocol: ResponseProtocol | None = None

    async def start(self, connection: Connection) -> ClientResponse:
        """Read the head, and keep a reference to the connection."""
        assert isinstance(connection.protocol, ResponseProtocol)
        self._response_protocol = connection.protocol
        return await super().start(connection)

    def discard(self) -> None:
        """Drop the response and close its connection, unless a later request already uses that."""
        body = self.content
        self.close()
        if self._response_protocol is not None:
            self._response_protocol.drop_unless_reused(body)


class ResponseConnector(TCPConnector):
    """A pool of `ResponseProtocol` connections."""

    def __init__(
        self,
        *,
        limit: int,
        keepalive_timeout: float,
        response_limits: ResponseLimits = DEFAULT_RESPONSE_LIMITS,
        budget: MemoryBudget | None = None,
        socket_factory: SocketFactoryType | None = None,
    ) -> None:
        super().__init__(
            limit=limit,
            keepalive_timeout=keepalive_timeout,
            use_dns_cache=False,
            socket_factory=socket_factory,
        )
        # The library has no public way to choose the protocol of its connections.
        self._factory = functools.partial(_new_protocol, self._loop, response_limits, budget)

    def limit_idle(self, seconds: float) -> None:
        """Reuse only connections that were idle for at most this time, including those idle now."""
        self._keepalive_timeout = seconds  # The library sets it once, but reads it at each use.


def _new_protocol(
    loop: asyncio.AbstractEventLoop, limits: ResponseLimits, budget: MemoryBudget | None
) -> ResponseHandler:
    return ResponseProtocol(loop, limits, budget)
