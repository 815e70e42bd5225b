"""Parses clients' requests into typed values, and encodes responses; does no I/O."""

from __future__ import annotations

import math
import re
from collections.abc import Collection
from dataclasses import dataclass
from datetime import timedelta
from urllib.parse import parse_qs, unquote

import h11

from rookwood.net.clock import Clock
from rookwood.net.endpoints import WorkerRequest
from rookwood.net.http1 import MAX_BODY, HttpStream, TooLargeError
from rookwood.net.request import InboundRequest, Response

MAX_ID = 128  # characters
MAX_TIMEOUT = timedelta(hours=1)
MAX_HINT = 86_400e6  # microseconds: a day


class InvalidRequestError(Exception):
    """A request that gets an error response without reaching the policy."""

    def __init__(self, status: int, reason: str, allow: str | None = None) -> None:
        super().__init__(reason)
        self.status, self.allow = status, allow


@dataclass(frozen=True, slots=True)
class RawRequest:
    """A complete request as received, not yet parsed."""

    head: h11.Request
    body: bytes


class Headers:
    """The headers of a request, by name in any case."""

    def __init__(self, head: h11.Request) -> None:
        self._pairs = [(name.decode(), value.decode("latin-1")) for name, value in head.headers]

    def first(self, name: str) -> str | None:
        """Return the first value of a header, unchecked; None if it is missing."""
        return next((value for key, value in self._pairs if key == name.lower()), None)

    def get_single(self, name: str) -> str | None:
        """Return the value of a header that may occur only once; None if it is missing."""
        values = [value for key, value in self._pairs if key == name.lower()]
        if len(values) > 1:
            raise InvalidRequestError(400, f"{name} comes more than once")
        if values and not values[0].isascii():  # it could not be passed on to a worker
            raise InvalidRequestError(400, f"{name} is not ASCII")
        return values[0] if values else None


NUMBER = re.compile(r"-?[0-9]+(\.[0-9]*)?([eE][+-]?[0-9]+)?")  # `float` accepts more: 1_0, nan, infinity


def parse_number(text: str, name: str, maximum: float = math.inf) -> float:
    """Parse a number from 0 to a maximum; raises `InvalidRequestError` with the name."""
    if not NUMBER.fullmatch(text):
        raise InvalidRequestError(400, f"{name} is not a number")
    value = float(text)
    if not (math.isfinite(value) and 0 <= value <= maximum):
        raise InvalidRequestError(400, f"{name} is out of range")
    return value


def max_body_length(head: h11.Request) -> int:
    """Return the largest size that the body may have, by the head alone; raises if it must not be read."""
    headers = dict(head.headers)
    if b"transfer-encoding" in headers:
        # h11 would use only the coding; a recipient that uses the length would find another message in the
        # body (request smuggling).
        if b"content-length" in headers or head.http_version != b"1.1":
            raise InvalidRequestError(400, "the body's length is ambiguous")
        return MAX_BODY
    declared = int(headers.get(b"content-length", b"0"))
    if declared > MAX_BODY:
        raise TooLargeError
    return declared


def parse_request_info(text: str) -> dict[str, float]:
    """Parse the numbers of a `Request-Info` header."""
    numbers = {}
    for pair in filter(None, (part.strip() for part in text.split(","))):
        name, equals, value = pair.partition("=")
        if not equals:
            raise InvalidRequestError(400, "Request-Info is not name=value")
        numbers[name.strip()] = parse_number(value.strip(), f"Request-Info {name.strip()}")
    return numbers


def parse_duration_hint(text: str | None) -> timedelta | None:
    """Parse `Work-Hint`, in microseconds; an invalid value is ignored, since it is only an estimate."""
    if text is None or not NUMBER.fullmatch(text):
        return None
    try:
        return timedelta(microseconds=float(text)) if 1 <= float(text) <= MAX_HINT else None
    except OverflowError:
        return None


def parse_job_class(head: h11.Request, classes: Collection[str]) -> str:
    """Return the job class that the path names; raises `InvalidRequestError` if it is unknown."""
    path, _, _ = head.target.decode("latin-1").partition("?")
    job_class = unquote(path.lstrip("/").split("/", 1)[0])
    if job_class not in classes:
        raise InvalidRequestError(404, "no such class of jobs")
    return job_class


def parse_request(raw: RawRequest, classes: Collection[str], clock: Clock) -> InboundRequest:
    """Parse a client's request; its timeout counts from now, right after its last byte was read."""
    job_class = parse_job_class(raw.head, classes)
    _, _, query = raw.head.target.decode("latin-1").partition("?")
    if raw.head.method != b"POST":
        raise InvalidRequestError(405, "jobs come by POST", allow="POST")
    headers = Headers(raw.head)
    request_id, timeout = headers.get_single("Request-Id"), headers.get_single("Request-Timeout")
    if not request_id:
        raise InvalidRequestError(400, "Request-Id is missing")
    if len(request_id) > MAX_ID:
        raise InvalidRequestError(400, "Request-Id is too long")
    if timeout is None:
        raise InvalidRequestError(400, "Request-Timeout is missing")
    time_left = timedelta(seconds=parse_number(timeout, "Request-Timeout", MAX_TIMEOUT.total_seconds()))
    info = parse_request_info(headers.get_single("Request-Info") or "")
    key = parse_qs(query).get("k")
    return InboundRequest(
        job_class=job_class,
        deadline=clock.now() + time_left,
        slots=info.get("slots", 1.0),
        memory=info.get("memory"),
        key=key[0] if key else None,
        is_retry=headers.get_single("Client-Retry") == "1",
        worker_request=WorkerRequest(
            request_id=request_id,
            target=raw.head.target,
            host=headers.get_single("Host") or "",
            content_type=headers.get_single("Content-Type"),
            body=raw.body,
            idempotency_keys=tuple(value for name, value in raw.head.headers if name == b"idempotency-key"),
        ),
        idempotency_key=headers.first("Idempotency-Key"),
        tenant=headers.first("Tenant"),
        duration_hint=parse_duration_hint(headers.first("Work-Hint")),
    )


REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout"}
REASONS |= {409: "Conflict", 413: "Content Too Large", 422: "Unprocessable Content"}
REASONS |= {500: "Internal Server Error", 502: "Bad Gateway"}
REASONS |= {503: "Service Unavailable", 504: "Gateway Timeout"}


def encode_response(stream: HttpStream, response: Response, close: bool, bodiless: bool = False) -> bytes:
    """Encode a response; `bodiless` leaves the body out, as for HEAD, but keeps its length."""
    headers = [("Content-Length", str(len(response.body)))]
    if response.retry_after is not None:
        headers.append(("Retry-After", f"{response.retry_after.total_seconds():.3f}"))
    if response.replayed:
        headers.append(("Idempotency-Replayed", "true"))
    if response.allow is not None:
        headers.append(("Allow", response.allow))
    if close:
        headers.append(("Connection", "close"))
    head = h11.Response(status_code=response.status, headers=headers, reason=REASONS[response.status])
    return stream.encode(head, h11.Data(data=b"" if bodiless else response.body), h11.EndOfMessage())
