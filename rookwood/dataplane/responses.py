"""The progress of a request, and the responses that the dispatcher sends itself or copies from a worker."""

from __future__ import annotations

import socket
import struct
from dataclasses import dataclass

from aiohttp import HttpVersion11, web

from rookwood.dataplane import headers as names
from rookwood.dataplane.request_counts import RequestOutcome
from rookwood.dataplane.request_trace import RequestTrace
from rookwood.dataplane.requests import RoutedRequest
from rookwood.dataplane.upstream import Complete, Rejected
from rookwood.httpclient.outcomes import NotSent, ResponseLost
from rookwood.memory_budget import Holding, MemoryBudget, Purpose

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with a timeout of 0
DEFAULT_RETRY_AFTER = 0.3  # seconds


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """A 4xx or 5xx response that the dispatcher itself sends; no worker produced it."""

    status: int
    reason: str
    retry_after: float | None = None

    def build(self) -> web.Response:
        """Build the HTTP response."""
        response = web.Response(status=self.status, text=self.reason)
        response[ERROR_RESPONSE_KEY] = self
        if self.retry_after is not None:
            response.headers[names.RETRY_AFTER] = f"{self.retry_after:.2f}"
        return response


ERROR_RESPONSE_KEY = web.ResponseKey("refusal", ErrorResponse)  # marks the dispatcher's own responses
OUTCOME_KEY = web.ResponseKey("outcome", RequestOutcome)  # marks incomplete responses


@dataclass(frozen=True, slots=True)
class Rerouted:
    """A new configuration gives the waiting request another route; it was sent to no worker."""


@dataclass(frozen=True, slots=True)
class StreamEnded:
    """The worker's stream ended after a complete event."""


@dataclass(frozen=True, slots=True)
class StreamBroke:
    """The worker's stream ended too early, or the dispatcher stopped reading it."""

    reason: str


class RequestProgress:
    """The state that one request carries from attempt to attempt."""

    def __init__(self, arrived: float, memory: MemoryBudget) -> None:
        self.response_memory = Holding(memory, Purpose.RESPONSE)
        self.trace = RequestTrace(arrived)
        self.routed: RoutedRequest | None = None
        self.loss_reason: str = ""  # why the last attempt broke off; empty if it did not
        self.attempts_sent = 0
        self.connection_failures = 0
        self.is_first_try = False  # judged by the time left that the client states
        self.may_have_run = False
        self.excluded_workers: set[str] = set()
        self.response: web.StreamResponse | None = None
        self.last_event_id: bytes | None = None
        self.forwarded_without_id = False  # an event had no id, so no other worker can resume the stream
        self.last_response: Complete | None = None
        self.retry_granted = False


def error_after_attempt(
    request: RoutedRequest, progress: RequestProgress, outcome: NotSent | Rejected | ResponseLost
) -> ErrorResponse:
    """The error response after the last attempt failed."""
    if progress.may_have_run and not request.repeatable:
        status = 504 if isinstance(outcome, ResponseLost) and outcome.reason == "deadline" else 502
        return ErrorResponse(status, "the worker's answer was lost")
    if isinstance(outcome, ResponseLost):
        status = 504 if outcome.reason == "deadline" else 502
        return ErrorResponse(status, "the worker's answer was lost")
    return ErrorResponse(503, "workers are full or gone", DEFAULT_RETRY_AFTER)


def complete_response(outcome: Complete) -> web.Response:
    """Copy a worker's complete response."""
    return web.Response(status=outcome.status, headers=outcome.headers, body=outcome.body)


def close_incomplete_response(client: web.BaseRequest) -> None:
    """Close the client's connection in the middle of a response so that the response does not look complete.

    A chunked response without its last chunk is visibly incomplete. HTTP/1.0 has no chunks, and an orderly
    close would mark the end of the body, so the connection is reset instead.
    """
    transport = client.transport
    if transport is None:
        return
    connection = transport.get_extra_info("socket")
    if client.version < HttpVersion11 and connection is not None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        transport.abort()
    else:
        transport.close()
