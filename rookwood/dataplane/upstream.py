"""One attempt at a worker. What comes of it is a value; nothing here repeats anything."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from rookwood.dataplane import headers as names

CONNECT_LIMIT = 0.6
IDLE_CONNECTION = 4.0  # seconds for which a kept connection is used again
SKIPPED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
OK_STATUSES = range(200, 300)
MISDIRECTED = 421
PROMISES = frozenset({408, 421, 429, 503})  # to a client these say that the request has not run


@dataclass(frozen=True, slots=True)
class NotSent:
    """No connection came up: the worker saw nothing of the request."""

    why: str


@dataclass(frozen=True, slots=True)
class Rejected:
    """The worker said that it did not run the request."""

    status: int


@dataclass(frozen=True, slots=True)
class Broken:
    """The request was sent and no whole true answer came: it may have run."""

    why: str


@dataclass(frozen=True, slots=True)
class Complete:
    """A whole answer."""

    status: int
    headers: CIMultiDict[str]
    body: bytes


@dataclass(slots=True)
class Streaming:
    """The head of an event stream; its events are still to be read."""

    status: int
    headers: CIMultiDict[str]
    response: aiohttp.ClientResponse


UpstreamOutcome = NotSent | Rejected | Broken | Complete | Streaming


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """What is sent to a worker."""

    method: str
    target: str
    headers: CIMultiDict[str]
    body: bytes
    request_id: str


class UpstreamClient:
    """HTTP connections to workers."""

    def __init__(self, descriptors: int) -> None:
        connector = aiohttp.TCPConnector(
            limit=max(64, descriptors // 3),
            keepalive_timeout=IDLE_CONNECTION,
            use_dns_cache=False,
        )
        self._session = aiohttp.ClientSession(
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=SKIPPED_HEADERS,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_LIMIT),
        )
        # The session would send a GET a second time when a kept connection breaks.
        self._session._retry_connection = False

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def send(self, address: str, request: UpstreamRequest, deadline: float) -> UpstreamOutcome:
        """Send a request and read the answer, or the head of a stream, until the deadline."""
        try:
            async with asyncio.timeout_at(deadline):
                return await self._send(address, request)
        except TimeoutError:
            return Broken("deadline")

    async def _send(self, address: str, request: UpstreamRequest) -> UpstreamOutcome:
        url = URL(f"http://{address}{request.target}", encoded=True)
        try:
            response = await self._session.request(
                request.method, url, data=request.body, headers=request.headers, allow_redirects=False
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return NotSent(repr(error))
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return Broken(repr(error))
        return await self._receive(response, request)

    async def _receive(self, response: aiohttp.ClientResponse, request: UpstreamRequest) -> UpstreamOutcome:
        flaw = find_flaw(response, request)
        if flaw is not None:
            response.close()
            return Broken(flaw)
        passed = names.end_to_end(response.headers)
        if response.status in OK_STATUSES and response.content_type == "text/event-stream":
            return Streaming(response.status, passed, response)
        try:
            body = await response.read()
        except (aiohttp.ClientError, OSError) as error:
            response.close()
            return Broken(repr(error))
        except asyncio.CancelledError:
            response.close()
            raise
        if response.status == MISDIRECTED or names.NOT_RUN in response.headers:
            return Rejected(response.status)
        if response.status in PROMISES:
            return Broken(f"status {response.status} of a request that may have run")
        return Complete(response.status, passed, body)


def find_flaw(response: aiohttp.ClientResponse, request: UpstreamRequest) -> str | None:
    """Why an answer can't be the worker's true answer to this request, if so."""
    if response.headers.get(names.REQUEST_ID) != request.request_id:
        return "answer to another request"
    if response.status in OK_STATUSES:
        if names.SEAL not in response.headers:
            return "no seal"
        if "Content-Encoding" in response.headers:
            return "encoded body"
    return None


@dataclass(frozen=True, slots=True)
class ToldLoad:
    """The load that a worker adds to its answers."""

    running: int
    waiting: int
    slots: int


def read_load(headers: CIMultiDict[str]) -> ToldLoad | None:
    """Read the load header, if there is a sound one."""
    parts = headers.get(names.LOAD, "").split(",")
    try:
        running, waiting, slots = (int(part) for part in parts)
    except ValueError:
        return None
    return ToldLoad(running, waiting, slots)
