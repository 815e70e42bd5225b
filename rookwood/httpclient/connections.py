"""Connections that tell a whole answer from one that broke off.

aiohttp ends a body that has neither a length nor chunks with a plain end of file, whatever ended the
connection, and keeps what a server sends after its answer for the next request on the connection. Here
such a body is whole only after the peer's orderly end of file, and bytes after an answer end the connection.
"""

from __future__ import annotations

import asyncio
import functools
from typing import Any

from aiohttp import ClientPayloadError, ClientResponse, StreamReader, TCPConnector
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection
from aiohttp.http import RawResponseMessage

SWITCHING_PROTOCOLS = 101
INTERIM_STATUSES = frozenset(range(100, 200)) - {SWITCHING_PROTOCOLS}


class ResponseProtocol(ResponseHandler):
    """One connection, which carries one request and its one answer at a time."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop=loop)
        self._peer_finished = False
        self._answer_body: StreamReader | None = None

    def set_response_params(self, **parameters: Any) -> None:
        """A request begins: the answer to come is its own."""
        self._answer_body = None
        super().set_response_params(**parameters)

    def feed_data(self, data: tuple[RawResponseMessage, StreamReader], size: int = 0) -> None:
        """Take the head of an answer from the parser."""
        message, body = data
        if message.code not in INTERIM_STATUSES:
            if self._answer_body is not None:
                self._drop_connection()
                return
            self._answer_body = body
            if self._request_is_pending():
                self.force_close()
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Take bytes from the peer; those after a whole answer belong to no request."""
        if data and self._answer_body is not None and self._answer_body.is_eof():
            self._drop_connection()
            return
        super().data_received(data)

    def eof_received(self) -> None:
        """The peer ended its side in order."""
        self._peer_finished = True
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """The connection ended; only the peer's orderly end may complete an answer."""
        if exc is not None or not self._peer_finished:
            self._break_answer(exc)
        super().connection_lost(exc)

    def close(self) -> None:
        """End the connection from this side, which completes no answer."""
        self._break_answer(None)
        super().close()

    def abort(self) -> None:
        """End the connection from this side at once, which completes no answer."""
        self._break_answer(None)
        super().abort()

    def end_after(self, body: StreamReader) -> None:
        """End the connection, unless it carries another request than the one with this answer by now."""
        if self._answer_body is body:
            self._drop_connection()

    def _request_is_pending(self) -> bool:
        """Whether a part of the request has not been handed to the kernel yet."""
        if self.transport is None:
            return True
        return self.writing_paused or self.transport.get_write_buffer_size() > 0

    def _break_answer(self, cause: BaseException | None) -> None:
        body = self._answer_body
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
    """An answer that can still end its connection when its body is whole.

    The library gives a connection back to the pool with the last byte of an answer, whomever that was for.
    """

    _answer_protocol: ResponseProtocol | None = None

    async def start(self, connection: Connection) -> ClientResponse:
        """Read the head, and keep hold of the connection."""
        assert isinstance(connection.protocol, ResponseProtocol)
        self._answer_protocol = connection.protocol
        return await super().start(connection)

    def discard(self) -> None:
        """Give up the answer and its connection: what comes on it now may be for any request."""
        body = self.content
        self.close()
        if self._answer_protocol is not None:
            self._answer_protocol.end_after(body)


class AnswerConnector(TCPConnector):
    """A pool of such connections."""

    def __init__(self, *, limit: int, keepalive_timeout: float) -> None:
        super().__init__(limit=limit, keepalive_timeout=keepalive_timeout, use_dns_cache=False)
        # The library has no public way to choose the protocol of its connections.
        self._factory = functools.partial(_new_protocol, self._loop)

    def limit_idle(self, seconds: float) -> None:
        """Use connections again that have rested for so long, also those that rest now."""
        self._keepalive_timeout = seconds  # The library takes it when it is made, and reads it at each use.


def _new_protocol(loop: asyncio.AbstractEventLoop) -> ResponseHandler:
    return ResponseProtocol(loop)
