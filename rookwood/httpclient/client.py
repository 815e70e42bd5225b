"""A client that sends each request at most once and never returns an incomplete response as complete."""

from __future__ import annotations

import re
import socket
from collections.abc import Mapping

import aiohttp
from aiohttp.client_middlewares import ClientHandlerType
from multidict import CIMultiDictProxy
from yarl import URL

from rookwood.httpclient.body_growth import BodyGrowth
from rookwood.httpclient.connections import DiscardableResponse, ResponseConnector
from rookwood.httpclient.limits import (
    DEFAULT_RESPONSE_LIMITS,
    REFUSED_RESPONSES,
    ExcessiveResponseError,
    ResponseLimits,
)
from rookwood.httpclient.outcomes import NotSent, ResponseLost
from rookwood.httpclient.piecewise import PiecewisePayload
from rookwood.httpserver.responses import PIECE
from rookwood.memory_budget import SMALL_BODY, Holding, MemoryBudget

SKIPPED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
READ_BUFFER = 16 * 1024  # bytes of a response that are buffered before reading pauses, at most twice as many
RECEIVE_BUFFER = 32 * 1024  # bytes that the kernel keeps unread for a connection; Linux doubles it
FIRST_FINAL_STATUS = 200  # below are interim responses, and 101, which no request here asks for
HTTP_VERSION = "HTTP/1."  # searched before `STATUS_LINE`, since that is much cheaper
STATUS_LINE = re.compile(r"HTTP/1\.[01] \d{3}")


class BrokenConnectionError(aiohttp.ClientError):
    """A connection broke after the request may have been sent on it."""


class Response:
    """The head of a response, and its body as far as it is read."""

    def __init__(self, response: DiscardableResponse, limits: ResponseLimits) -> None:
        self._response = response
        self._limits = limits

    @property
    def status(self) -> int:
        """The status code."""
        return self._response.status

    @property
    def headers(self) -> CIMultiDictProxy[str]:
        """The headers as received."""
        return self._response.headers

    @property
    def content_type(self) -> str:
        """The media type without parameters."""
        return self._response.content_type

    async def read_all(self, memory: Holding | None = None) -> bytes | bytearray | ResponseLost:
        """Read the complete body; the connection is closed if that fails, or if the body is too large.

        `memory` holds the bytes of a large body from before they are read.
        """
        try:
            if self._response.content.at_eof() or self._has_small_body():
                return await self._response.read()
            return await self._read_large(memory)
        except ExcessiveResponseError as error:
            REFUSED_RESPONSES.record(error.excess)
            self.close()
            return ResponseLost(str(error))
        except (aiohttp.ClientError, OSError) as error:
            self.close()
            return ResponseLost(repr(error))
        except BaseException:
            self.close()
            raise

    def _has_small_body(self) -> bool:
        length = self._response.content_length
        return length is not None and length <= min(SMALL_BODY, self._limits.body_bytes)

    async def _read_large(self, memory: Holding | None) -> bytearray:
        growth = BodyGrowth(self._limits.body_bytes, memory)
        is_read = False
        try:
            await growth.begin(self._response.content_length)
            body = bytearray()
            while data := await self._response.content.readany():
                await growth.make_room(len(body) + len(data))
                body += data
            is_read = True
            return body
        finally:
            if not is_read:
                growth.give_back()

    async def read_some(self) -> bytes | ResponseLost:
        """Read what has arrived, waiting for at least one byte; empty at the end of a complete body."""
        try:
            return await self._response.content.readany()
        except (aiohttp.ClientError, OSError) as error:
            return ResponseLost(repr(error))

    def close(self) -> None:
        """Release the response; its connection is closed unless the complete response was read."""
        self._response.close()

    def discard(self) -> None:
        """Drop a response that belongs to another request; even if it is complete, close its connection.

        Only a connection that a later request already uses stays open.
        """
        self._response.discard()


class HttpClient:
    """Sends requests over a pool of connections; failures are returned as values, not raised.

    `idle_limit` is how long a connection may be idle and still be reused, `connect_limit` how long it may
    take to open one, both in seconds. `budget` owns the memory of the process.
    """

    def __init__(
        self,
        *,
        connections: int,
        idle_limit: float,
        connect_limit: float,
        limits: ResponseLimits = DEFAULT_RESPONSE_LIMITS,
        budget: MemoryBudget | None = None,
    ) -> None:
        self._limits = limits
        self._connector = ResponseConnector(
            limit=connections,
            keepalive_timeout=idle_limit,
            response_limits=limits,
            budget=budget,
            socket_factory=new_socket,
        )
        self._session = aiohttp.ClientSession(
            connector=self._connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=SKIPPED_HEADERS,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_limit),
            middlewares=(send_once,),
            response_class=DiscardableResponse,
            read_bufsize=READ_BUFFER,
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    def limit_idle(self, seconds: float) -> None:
        """Reuse only connections that were idle for at most this time."""
        self._connector.limit_idle(seconds)

    async def send(
        self, method: str, url: URL, headers: Mapping[str, str], body: bytes | bytearray | None
    ) -> Response | NotSent | ResponseLost:
        """Send a request and wait for the head of its response."""
        try:
            response = await self._session.request(
                method, url, data=body_payload(body), headers=headers, allow_redirects=False
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return NotSent(repr(error))
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return ResponseLost(repr(error))
        assert isinstance(response, DiscardableResponse)
        flaw = find_head_flaw(response)
        if flaw is not None:
            response.discard()
            return ResponseLost(flaw)
        return Response(response, self._limits)


def new_socket(address: aiohttp.AddrInfoType) -> socket.socket:
    """A socket whose unread bytes are bounded."""
    family, kind, protocol, _, _ = address
    connection = socket.socket(family, kind, protocol)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    return connection


def body_payload(body: bytes | bytearray | None) -> bytes | bytearray | PiecewisePayload | None:
    """The body as the library should send it; a large one is written in pieces."""
    return PiecewisePayload(memoryview(body)) if body and len(body) > PIECE else body


async def send_once(request: aiohttp.ClientRequest, handler: ClientHandlerType) -> aiohttp.ClientResponse:
    """Keep the library from sending a request again when a reused connection breaks.

    It retries some methods after two kinds of errors; the error raised here instead is neither of them.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise BrokenConnectionError(repr(error)) from error


def find_head_flaw(response: aiohttp.ClientResponse) -> str | None:
    """Return why a head cannot be that of a single final response; None if it can.

    If a surplus response breaks off within its head, the next response continues it: the status is then that
    of the first response and the headers are those of the second one, whose status line is part of a reason
    phrase or of a header value.
    """
    if response.status < FIRST_FINAL_STATUS:
        return f"status {response.status} is no final answer"
    codings = response.headers.getall("Transfer-Encoding", ())
    if codings and [coding.strip().lower() for coding in codings] != ["chunked"]:
        return f"transfer coding {codings}"
    for text in (response.reason or "", *response.headers.values()):
        if HTTP_VERSION in text and STATUS_LINE.search(text):
            return "two heads in one"
    return None
