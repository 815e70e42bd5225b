"""What a request comes to: the dispatcher's own refusals, a worker's whole answer, or a broken stream."""

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

RESET_AT_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, for no time
RETRY_SOON = 0.3


@dataclass(frozen=True, slots=True)
class Refusal:
    """An answer of the dispatcher's own."""

    status: int
    reason: str
    retry_after: float | None = None

    def response(self) -> web.Response:
        """The answer to send."""
        response = web.Response(status=self.status, text=self.reason)
        response[REFUSAL_KEY] = self
        if self.retry_after is not None:
            response.headers[names.RETRY_AFTER] = f"{self.retry_after:.2f}"
        return response


REFUSAL_KEY = web.ResponseKey("refusal", Refusal)  # marks the dispatcher's own answers
OUTCOME_KEY = web.ResponseKey("outcome", RequestOutcome)  # marks answers that are not whole


@dataclass(frozen=True, slots=True)
class Rerouted:
    """A configuration that came into force while the request waited routes it otherwise; nothing was sent."""


@dataclass(frozen=True, slots=True)
class StreamEnded:
    """The stream reached its end."""


@dataclass(frozen=True, slots=True)
class StreamBroke:
    """The stream broke off after the event named."""

    why: str


class RequestProgress:
    """What has happened to one request so far."""

    def __init__(self, arrived: float) -> None:
        self.trace = RequestTrace(arrived)
        self.routed: RoutedRequest | None = None
        self.broken: str = ""  # why the last attempt broke off
        self.sends = 0
        self.connection_failures = 0
        self.first_try = False  # of the client, by the time that it has left
        self.may_have_run = False
        self.excluded: set[str] = set()
        self.response: web.StreamResponse | None = None
        self.last_event: bytes | None = None
        self.passed_without_id = False  # then the stream can't be taken up elsewhere
        self.last_answer: Complete | None = None
        self.repeat_granted = False


def refusal_for(
    request: RoutedRequest, progress: RequestProgress, outcome: NotSent | Rejected | ResponseLost
) -> Refusal:
    """The answer after the last attempt."""
    if progress.may_have_run and not request.repeatable:
        status = 504 if isinstance(outcome, ResponseLost) and outcome.reason == "deadline" else 502
        return Refusal(status, "the worker's answer was lost")
    if isinstance(outcome, ResponseLost):
        status = 504 if outcome.reason == "deadline" else 502
        return Refusal(status, "the worker's answer was lost")
    return Refusal(503, "workers are full or gone", RETRY_SOON)


def complete_response(outcome: Complete) -> web.Response:
    """A worker's whole answer, unchanged."""
    return web.Response(status=outcome.status, headers=outcome.headers, body=outcome.body)


def end_incomplete(client: web.BaseRequest) -> None:
    """End the client's connection in the middle of an answer so that the answer doesn't look complete.

    Without chunks (HTTP/1.0) an orderly close would be its end, so that the connection is reset.
    """
    transport = client.transport
    if transport is None:
        return
    connection = transport.get_extra_info("socket")
    if client.version < HttpVersion11 and connection is not None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        transport.abort()
    else:
        transport.close()


async def read_body(request: web.BaseRequest, limit: int) -> bytes | None:
    """The whole body; None if it is larger than the limit."""
    if not request.body_exists:
        return b""
    chunks: list[bytes] = []
    size = 0
    while True:
        chunk = await request.content.readany()
        if not chunk:
            return b"".join(chunks)
        size += len(chunk)
        if size > limit:
            return None
        chunks.append(chunk)
