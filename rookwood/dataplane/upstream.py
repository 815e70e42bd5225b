"""One attempt at a worker. What comes of it is a value; nothing here repeats anything."""

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

CONNECT_LIMIT = 0.6
IDLE_CONNECTION = 4.0  # seconds for which a kept connection is used again where workers tell no limit
IDLE_MARGIN = 1.5  # seconds that a request may take to a worker which closes a connection at its limit
LEAST_IDLE = 0.5  # seconds for which connections are kept however short the limit is
IDLE_PARAMETER = re.compile(r"\btimeout=(\d{1,6})\b")
OK_STATUSES = range(200, 300)
MISDIRECTED = 421
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})  # to a client these say that the request has not run


@dataclass(frozen=True, slots=True)
class Rejected:
    """The worker said that it did not run the request."""

    status: int


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
    answer: Response


UpstreamOutcome = NotSent | Rejected | ResponseLost | Complete | Streaming


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

    def __init__(self, descriptors: int, heeds_keep_alive: bool = True) -> None:
        self._heeds_keep_alive = heeds_keep_alive
        self._http = HttpClient(
            connections=max(64, descriptors // 3),
            idle_limit=IDLE_CONNECTION,
            connect_limit=CONNECT_LIMIT,
        )
        self._told_idle = math.inf  # seconds; the shortest that any worker told
        self.idle_limit = IDLE_CONNECTION  # seconds for which a kept connection is used again

    async def close(self) -> None:
        """Close all connections."""
        await self._http.close()

    async def send(self, address: str, request: UpstreamRequest, deadline: float) -> UpstreamOutcome:
        """Send a request and read the answer, or the head of a stream, until the deadline."""
        try:
            async with asyncio.timeout_at(deadline):
                return await self._send(address, request)
        except TimeoutError:
            return ResponseLost("deadline")

    async def _send(self, address: str, request: UpstreamRequest) -> UpstreamOutcome:
        url = URL(f"http://{address}{request.target}", encoded=True)
        answer = await self._http.send(request.method, url, request.headers, request.body)
        if isinstance(answer, NotSent | ResponseLost):
            return answer
        return await self._receive(answer, request)

    def _learn_idle(self, keep_alive: str) -> None:
        """Keep idle connections for as long as the workers do: each new one costs them a handshake."""
        told = read_idle_limit(keep_alive) if self._heeds_keep_alive else None
        if told is not None and told < self._told_idle:
            self._told_idle = told
            self.idle_limit = max(LEAST_IDLE, told - IDLE_MARGIN)
            self._http.limit_idle(self.idle_limit)

    async def _receive(self, answer: Response, request: UpstreamRequest) -> UpstreamOutcome:
        flaw = find_response_defect(answer, request)
        if flaw is not None:
            answer.discard()
            return ResponseLost(flaw)
        self._learn_idle(answer.headers.get(names.KEEP_ALIVE, ""))
        passed = names.end_to_end(answer.headers)
        if answer.status in OK_STATUSES and answer.content_type == "text/event-stream":
            return Streaming(answer.status, passed, answer)
        body = await answer.read_all()
        if isinstance(body, ResponseLost):
            return body
        if answer.status == MISDIRECTED or names.NOT_RUN in answer.headers:
            return Rejected(answer.status)
        if answer.status in NOT_RUN_STATUSES:
            return ResponseLost(f"status {answer.status} of a request that may have run")
        return Complete(answer.status, passed, body)


def read_idle_limit(text: str) -> float | None:
    """Read Keep-Alive: the seconds after which the worker closes an idle connection."""
    found = IDLE_PARAMETER.search(text)
    return float(found.group(1)) if found else None


def find_response_defect(answer: Response, request: UpstreamRequest) -> str | None:
    """Why an answer can't be the worker's true answer to this request, if so."""
    if answer.headers.getall(names.REQUEST_ID, []) != [request.request_id]:
        return "answer to another request"
    if answer.status in OK_STATUSES:
        if len(answer.headers.getall(names.SEAL, [])) != 1:
            return "not one seal"
        if "Content-Encoding" in answer.headers:
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
