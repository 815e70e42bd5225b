"""Sends one attempt to a worker. Every outcome is a return value; nothing here retries."""

from __future__ import annotations

import asyncio
import math
import re
from dataclasses import dataclass

from multidict import CIMultiDict
from yarl import URL

from rookwood.dataplane import headers as names
from rookwood.httpclient.client import HttpClient, Response
from rookwood.httpclient.outcomes import NotSent, ResponseLost
from rookwood.memory_budget import Holding, MemoryBudget

CONNECT_LIMIT = 0.6  # seconds
DEFAULT_IDLE_LIMIT = 4.0  # seconds for which an idle connection is reused if workers state no limit
IDLE_MARGIN = 1.5  # seconds that a request may take to reach a worker before its idle limit is over
MIN_IDLE_LIMIT = 0.5  # seconds for which an idle connection is reused, however short the limit is
IDLE_PARAMETER = re.compile(r"\btimeout=(\d{1,6})\b")
OK_STATUSES = range(200, 300)
MISDIRECTED = 421
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})  # a client takes them to mean that its request has not run


@dataclass(frozen=True, slots=True)
class Rejected:
    """The worker responded that it did not run the request."""

    status: int


@dataclass(frozen=True, slots=True)
class Complete:
    """A complete response."""

    status: int
    headers: CIMultiDict[str]
    body: bytes | bytearray


@dataclass(slots=True)
class Streaming:
    """The head of an event stream, whose events are still to be read."""

    status: int
    headers: CIMultiDict[str]
    response: Response


UpstreamOutcome = NotSent | Rejected | ResponseLost | Complete | Streaming


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """The request that is sent to a worker; `request_id` must come back in the response."""

    method: str
    target: str
    headers: CIMultiDict[str]
    body: bytes | bytearray
    request_id: str
    response_memory: Holding | None = None  # holds the bytes of a large response


class UpstreamClient:
    """Sends requests to workers over pooled HTTP connections."""

    def __init__(
        self, connections: int, uses_keep_alive: bool = True, budget: MemoryBudget | None = None
    ) -> None:
        self._uses_keep_alive = uses_keep_alive
        self._http = HttpClient(
            connections=connections,
            idle_limit=DEFAULT_IDLE_LIMIT,
            connect_limit=CONNECT_LIMIT,
            budget=budget,
        )
        self._shortest_idle_limit = math.inf  # seconds; the shortest that any worker stated
        self.idle_limit = DEFAULT_IDLE_LIMIT  # seconds for which an idle connection is reused

    async def close(self) -> None:
        """Close all connections."""
        await self._http.close()

    async def send(self, address: str, request: UpstreamRequest, deadline: float) -> UpstreamOutcome:
        """Send a request and read its response, or the head of a stream, until the deadline."""
        try:
            async with asyncio.timeout_at(deadline):
                return await self._send(address, request)
        except TimeoutError:
            return ResponseLost("deadline")

    async def _send(self, address: str, request: UpstreamRequest) -> UpstreamOutcome:
        url = URL(f"http://{address}{request.target}", encoded=True)
        response = await self._http.send(request.method, url, request.headers, request.body)
        if isinstance(response, NotSent | ResponseLost):
            return response
        return await self._receive_response(response, request)

    def _update_idle_limit(self, keep_alive: str) -> None:
        """Reuse idle connections for as long as workers keep them: a new one costs them a handshake."""
        stated = read_idle_limit(keep_alive) if self._uses_keep_alive else None
        if stated is not None and stated < self._shortest_idle_limit:
            self._shortest_idle_limit = stated
            self.idle_limit = max(MIN_IDLE_LIMIT, stated - IDLE_MARGIN)
            self._http.limit_idle(self.idle_limit)

    async def _receive_response(self, response: Response, request: UpstreamRequest) -> UpstreamOutcome:
        defect = find_response_defect(response, request)
        if defect is not None:
            response.discard()
            return ResponseLost(defect)
        self._update_idle_limit(response.headers.get(names.KEEP_ALIVE, ""))
        forwarded_headers = names.end_to_end(response.headers)
        if response.status in OK_STATUSES and response.content_type == "text/event-stream":
            return Streaming(response.status, forwarded_headers, response)
        body = await response.read_all(request.response_memory)
        if isinstance(body, ResponseLost):
            return body
        if response.status == MISDIRECTED or names.NOT_RUN in response.headers:
            return Rejected(response.status)
        if response.status in NOT_RUN_STATUSES:
            return ResponseLost(f"status {response.status} of a request that may have run")
        return Complete(response.status, forwarded_headers, body)


def read_idle_limit(text: str) -> float | None:
    """Read the timeout of Keep-Alive: the seconds after which the worker closes an idle connection."""
    match = IDLE_PARAMETER.search(text)
    return float(match.group(1)) if match else None


def find_response_defect(response: Response, request: UpstreamRequest) -> str | None:
    """Why a response cannot be the worker's own response to this request; None if it can."""
    if response.headers.getall(names.REQUEST_ID, []) != [request.request_id]:
        return "answer to another request"
    if response.status in OK_STATUSES:
        if len(response.headers.getall(names.SEAL, [])) != 1:
            return "not one seal"
        if "Content-Encoding" in response.headers:
            return "encoded body"
    return None


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """The load that a worker reports with its responses, in X-Load."""

    running: int
    waiting: int
    slots: int


def read_load(headers: CIMultiDict[str]) -> ReportedLoad | None:
    """Read X-Load; None if it is missing or malformed."""
    parts = headers.get(names.LOAD, "").split(",")
    try:
        running, waiting, slots = (int(part) for part in parts)
    except ValueError:
        return None
    return ReportedLoad(running, waiting, slots)
