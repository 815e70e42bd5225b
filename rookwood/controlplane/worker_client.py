"""HTTP client for workers: reads reports and sends load orders."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass

from yarl import URL

from rookwood.cluster.workers import HeldModel, parse_models
from rookwood.httpclient.client import HttpClient, Response
from rookwood.httpclient.limits import ResponseLimits
from rookwood.httpclient.outcomes import NotSent, ResponseLost
from rookwood.memory_budget import MemoryBudget

CALL_LIMIT = 0.7  # seconds from the start of a call to a worker to the end of the response
MAX_CONNECTIONS = 100
IDLE_CONNECTION_LIMIT = 4.0  # seconds until an idle connection is closed; workers close them after 10
RESPONSE_LIMITS = ResponseLimits(body_bytes=64 * 1024)
NOT_CONNECTED = 0  # in place of a status, if nothing was sent
FORMAT_ERRORS = (ValueError, KeyError, TypeError, AttributeError, OverflowError, RecursionError)
INSTANCE_HEADER = "X-Want-Instance"
OWN_INSTANCE_HEADER = "X-Instance"  # in the responses of a worker
REQUEST_ID_HEADER = "X-Try-Id"  # only in clients' requests and the responses to them
REPORTED = 200  # the status of a response with a report
MISDIRECTED = 421
HIGHER_FENCE_SEEN = 412  # the worker received an order with a higher fence before
ALREADY_DONE = 200  # the order had nothing left to do
ACCEPTED_STATUSES = (ALREADY_DONE, 202)


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """A worker's response to GET /report."""

    models: tuple[HeldModel, ...]
    busy: bool
    sequence: int
    queued: int
    active: int


@dataclass(frozen=True, slots=True)
class ReportFailed:
    """No valid report was received."""

    reason: str


@dataclass(frozen=True, slots=True)
class OrderAccepted:
    """The worker accepted the order; `done` if its effect was already there."""

    done: bool


@dataclass(frozen=True, slots=True)
class OrderRejected:
    """The worker rejected the order, or the order was not sent."""

    status: int


@dataclass(frozen=True, slots=True)
class OrderUnknown:
    """No valid response was received; the worker may have accepted the order."""

    reason: str


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
        """Encode the order as JSON text."""
        document: dict[str, str | int] = {"op": "place" if self.is_load else "evict", "model": self.model}
        if self.adapter:
            document["lora"] = self.adapter
        document["if-revision"] = self.if_sequence
        document["owner"] = self.owner
        document["fence"] = self.fence
        return json.dumps(document).encode()


@dataclass(frozen=True, slots=True)
class CallResponse:
    """A response that was received in full."""

    status: int
    body: bytes


class WorkerClient:
    """Calls workers over HTTP. Each call is meant for one incarnation of a worker and sent at most once."""

    def __init__(self, budget: MemoryBudget | None = None) -> None:
        self._http = HttpClient(
            connections=MAX_CONNECTIONS,
            idle_limit=IDLE_CONNECTION_LIMIT,
            connect_limit=CALL_LIMIT / 2,
            limits=RESPONSE_LIMITS,
            budget=budget,
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._http.close()

    async def report(self, address: str, worker: str) -> WorkerReport | ReportFailed:
        """Read a worker's report."""
        response = await self._call("GET", f"http://{address}/report", worker, None)
        if isinstance(response, NotSent | ResponseLost):
            return ReportFailed(response.reason)
        if response.status != REPORTED:
            return ReportFailed(f"status {response.status}")
        return parse_report(response.body)

    async def order(
        self, address: str, worker: str, call: OrderCall
    ) -> OrderAccepted | OrderRejected | OrderUnknown:
        """Send a load order."""
        response = await self._call("POST", f"http://{address}/order", worker, call.body())
        if isinstance(response, NotSent):
            return OrderRejected(NOT_CONNECTED)
        if isinstance(response, ResponseLost):
            return OrderUnknown(response.reason)
        if isinstance(parse_report(response.body), WorkerReport):
            return OrderUnknown("a late report in place of a response to the order")
        if response.status in ACCEPTED_STATUSES:
            return OrderAccepted(done=response.status == ALREADY_DONE)
        return OrderRejected(response.status)

    async def _call(
        self, method: str, url: str, worker: str, body: bytes | None
    ) -> CallResponse | NotSent | ResponseLost:
        headers = {INSTANCE_HEADER: worker}
        if body is not None:
            headers["Content-Type"] = "application/json"
        try:
            async with asyncio.timeout(CALL_LIMIT):
                response = await self._http.send(method, URL(url), headers, body)
                if isinstance(response, NotSent | ResponseLost):
                    return response
                fault = find_response_fault(response, worker)
                if fault is not None:
                    response.discard()
                    return ResponseLost(fault)
                content = await response.read_all()
        except TimeoutError as error:
            return ResponseLost(repr(error))
        return content if isinstance(content, ResponseLost) else CallResponse(response.status, bytes(content))


def find_response_fault(response: Response, worker: str) -> str | None:
    """Why a response cannot be this worker's response to a call, or None.

    A worker sends 421 if a call was meant for another instance, so that response may name another one.
    """
    if any(response.headers.getall(REQUEST_ID_HEADER, ())):
        return "response to a client's request"
    from_other_worker = any(named != worker for named in response.headers.getall(OWN_INSTANCE_HEADER, ()))
    if from_other_worker and response.status != MISDIRECTED:
        return "response of another worker"
    return None


def parse_report(body: bytes) -> WorkerReport | ReportFailed:
    """Parse the JSON text of a report."""
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
