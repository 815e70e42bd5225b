"""Calls to workers: reading reports and giving load orders."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass

from yarl import URL

from rookwood.cluster.workers import HeldModel, parse_models
from rookwood.httpclient.client import HttpClient, Response
from rookwood.httpclient.outcomes import NotSent, ResponseLost

CALL_LIMIT = 0.7  # seconds
CONNECTIONS = 100
IDLE_CONNECTION = 4.0  # seconds for which a kept connection is used again; workers close idle ones after 10
NOT_CONNECTED = 0  # in place of a status: nothing was sent
FORMAT_ERRORS = (ValueError, KeyError, TypeError, AttributeError)
INSTANCE_HEADER = "X-Want-Instance"
OWN_INSTANCE_HEADER = "X-Instance"  # in a worker's answer
REQUEST_ID_HEADER = "X-Try-Id"  # only requests of clients have one, and their answers
REPORTED = 200
MISDIRECTED = 421
HIGHER_FENCE_SEEN = 412  # the worker was given an order under a higher fence before
HOLDS_ALREADY = 200
TAKEN_STATUSES = (HOLDS_ALREADY, 202)


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """A worker's answer to GET /report."""

    models: tuple[HeldModel, ...]
    busy: bool
    sequence: int
    queued: int
    active: int


@dataclass(frozen=True, slots=True)
class ReportFailed:
    """No report came."""

    why: str


@dataclass(frozen=True, slots=True)
class OrderTaken:
    """The worker carries the order out, or what it asks for holds already."""

    done: bool


@dataclass(frozen=True, slots=True)
class OrderRefused:
    """The worker did not take the order."""

    status: int


@dataclass(frozen=True, slots=True)
class OrderUnknown:
    """No answer came; the order may have been taken."""

    why: str


@dataclass(frozen=True, slots=True)
class OrderCall:
    """The body of POST /order."""

    is_load: bool
    model: str
    adapter: str
    owner: str
    fence: int
    if_sequence: int

    def body(self) -> bytes:
        """The JSON text."""
        document: dict[str, str | int] = {"op": "place" if self.is_load else "evict", "model": self.model}
        if self.adapter:
            document["lora"] = self.adapter
        document["if-revision"] = self.if_sequence
        document["owner"] = self.owner
        document["fence"] = self.fence
        return json.dumps(document).encode()


@dataclass(frozen=True, slots=True)
class CallAnswer:
    """A whole answer to a call."""

    status: int
    body: bytes


class WorkerClient:
    """HTTP calls to workers, each for one incarnation only and sent at most once."""

    def __init__(self) -> None:
        self._http = HttpClient(
            connections=CONNECTIONS, idle_limit=IDLE_CONNECTION, connect_limit=CALL_LIMIT / 2
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._http.close()

    async def report(self, address: str, worker: str) -> WorkerReport | ReportFailed:
        """Read a worker's report."""
        answer = await self._call("GET", f"http://{address}/report", worker, None)
        if isinstance(answer, NotSent | ResponseLost):
            return ReportFailed(answer.reason)
        if answer.status != REPORTED:
            return ReportFailed(f"status {answer.status}")
        return parse_report(answer.body)

    async def order(
        self, address: str, worker: str, call: OrderCall
    ) -> OrderTaken | OrderRefused | OrderUnknown:
        """Give an order."""
        answer = await self._call("POST", f"http://{address}/order", worker, call.body())
        if isinstance(answer, NotSent):
            return OrderRefused(NOT_CONNECTED)
        if isinstance(answer, ResponseLost):
            return OrderUnknown(answer.reason)
        if isinstance(parse_report(answer.body), WorkerReport):
            return OrderUnknown("a late report in place of an answer")
        if answer.status in TAKEN_STATUSES:
            return OrderTaken(done=answer.status == HOLDS_ALREADY)
        return OrderRefused(answer.status)

    async def _call(
        self, method: str, url: str, worker: str, body: bytes | None
    ) -> CallAnswer | NotSent | ResponseLost:
        headers = {INSTANCE_HEADER: worker}
        if body is not None:
            headers["Content-Type"] = "application/json"
        try:
            async with asyncio.timeout(CALL_LIMIT):
                answer = await self._http.send(method, URL(url), headers, body)
                if isinstance(answer, NotSent | ResponseLost):
                    return answer
                flaw = find_call_flaw(answer, worker)
                if flaw is not None:
                    answer.discard()
                    return ResponseLost(flaw)
                whole = await answer.read_all()
        except TimeoutError as error:
            return ResponseLost(repr(error))
        return whole if isinstance(whole, ResponseLost) else CallAnswer(answer.status, whole)


def find_call_flaw(answer: Response, worker: str) -> str | None:
    """Why an answer can't be this worker's answer to a call, if so; with 421 another worker answers."""
    if any(answer.headers.getall(REQUEST_ID_HEADER, ())):
        return "answer to a client's request"
    foreign = any(named != worker for named in answer.headers.getall(OWN_INSTANCE_HEADER, ()))
    if foreign and answer.status != MISDIRECTED:
        return "answer of another worker"
    return None


def parse_report(body: bytes) -> WorkerReport | ReportFailed:
    """Read the JSON text of a report."""
    try:
        document = json.loads(body)
        return WorkerReport(
            models=parse_models(document["models"]),
            busy=bool(document.get("busy")),
            sequence=int(document["seq"]),
            queued=int(document.get("queued", 0)),
            active=int(document.get("active", 0)),
        )
    except FORMAT_ERRORS as error:
        return ReportFailed(repr(error))
