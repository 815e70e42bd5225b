"""Clients' messages: decoded once into small typed values, answers encoded once. No connection is touched."""

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
from rookwood.net.http1 import MAX_BODY, TooLargeError, Wire
from rookwood.net.request import InboundRequest, Response

MAX_ID = 128
MAX_TIMEOUT = timedelta(hours=1)
MAX_HINT = 86_400e6  # microseconds: a day


class UnfitError(Exception):
    """A request that is answered without asking the decisions."""

    def __init__(self, status: int, why: str, allow: str | None = None) -> None:
        super().__init__(why)
        self.status, self.allow = status, allow


@dataclass(frozen=True, slots=True)
class Taken:
    """A whole request off the wire, not yet understood."""

    head: h11.Request
    body: bytes


class Headers:
    def __init__(self, head: h11.Request) -> None:
        self._pairs = [(name.decode(), value.decode("latin-1")) for name, value in head.headers]

    def first(self, name: str) -> str | None:
        """As it came, for whoever understands it later."""
        return next((value for key, value in self._pairs if key == name.lower()), None)

    def get(self, name: str) -> str | None:
        found = [value for key, value in self._pairs if key == name.lower()]
        if len(found) > 1:
            raise UnfitError(400, f"{name} comes more than once")
        if found and not found[0].isascii():  # it could not be passed on
            raise UnfitError(400, f"{name} is not ASCII")
        return found[0] if found else None


NUMBER = re.compile(r"-?[0-9]+(\.[0-9]*)?([eE][+-]?[0-9]+)?")  # `float` takes more: 1_0, nan, infinity


def figure(text: str, name: str, most: float = math.inf) -> float:
    if not NUMBER.fullmatch(text):
        raise UnfitError(400, f"{name} is not a number")
    value = float(text)
    if not (math.isfinite(value) and 0 <= value <= most):
        raise UnfitError(400, f"{name} is out of range")
    return value


def length_of(head: h11.Request) -> int:
    """Bytes that the body may take at most, from the head alone; refuses what is not worth reading."""
    headers = dict(head.headers)
    if b"transfer-encoding" in headers:
        # h11 would go by the coding alone: who goes by the length sees another message in the body.
        if b"content-length" in headers or head.http_version != b"1.1":
            raise UnfitError(400, "the body's length is ambiguous")
        return MAX_BODY
    declared = int(headers.get(b"content-length", b"0"))
    if declared > MAX_BODY:
        raise TooLargeError
    return declared


def figures(text: str) -> dict[str, float]:
    found = {}
    for pair in filter(None, (part.strip() for part in text.split(","))):
        name, equals, value = pair.partition("=")
        if not equals:
            raise UnfitError(400, "Request-Info is not name=value")
        found[name.strip()] = figure(value.strip(), f"Request-Info {name.strip()}")
    return found


def hint_of(text: str | None) -> timedelta | None:
    """`Work-Hint`, in microseconds. It is a guess at best, so one that is no guess costs nobody an answer."""
    if text is None or not NUMBER.fullmatch(text):
        return None
    try:
        return timedelta(microseconds=float(text)) if 1 <= float(text) <= MAX_HINT else None
    except OverflowError:
        return None


def class_of(head: h11.Request, classes: Collection[str]) -> str:
    path, _, _ = head.target.decode("latin-1").partition("?")
    job_class = unquote(path.lstrip("/").split("/", 1)[0])
    if job_class not in classes:
        raise UnfitError(404, "no such class of jobs")
    return job_class


def request_of(taken: Taken, classes: Collection[str], clock: Clock) -> InboundRequest:
    """The one place where a client's request is understood. Its time runs from its last byte, just read."""
    job_class = class_of(taken.head, classes)
    _, _, query = taken.head.target.decode("latin-1").partition("?")
    if taken.head.method != b"POST":
        raise UnfitError(405, "jobs come by POST", allow="POST")
    headers = Headers(taken.head)
    request_id, timeout = headers.get("Request-Id"), headers.get("Request-Timeout")
    if not request_id:
        raise UnfitError(400, "Request-Id is missing")
    if len(request_id) > MAX_ID:
        raise UnfitError(400, "Request-Id is too long")
    if timeout is None:
        raise UnfitError(400, "Request-Timeout is missing")
    left = timedelta(seconds=figure(timeout, "Request-Timeout", MAX_TIMEOUT.total_seconds()))
    info = figures(headers.get("Request-Info") or "")
    key = parse_qs(query).get("k")
    return InboundRequest(
        job_class=job_class,
        deadline=clock.now() + left,
        slots=info.get("slots", 1.0),
        memory=info.get("memory"),
        key=key[0] if key else None,
        is_retry=headers.get("Client-Retry") == "1",
        worker_request=WorkerRequest(
            request_id=request_id,
            target=taken.head.target,
            host=headers.get("Host") or "",
            content_type=headers.get("Content-Type"),
            body=taken.body,
            idempotency_keys=tuple(value for name, value in taken.head.headers if name == b"idempotency-key"),
        ),
        idempotency_key=headers.first("Idempotency-Key"),
        tenant=headers.first("Tenant"),
        duration_hint=hint_of(headers.first("Work-Hint")),
    )


REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout"}
REASONS |= {409: "Conflict", 413: "Content Too Large", 422: "Unprocessable Content"}
REASONS |= {500: "Internal Server Error", 502: "Bad Gateway"}
REASONS |= {503: "Service Unavailable", 504: "Gateway Timeout"}


def encoded(wire: Wire, answer: Response, close: bool, bodiless: bool = False) -> bytes:
    headers = [("Content-Length", str(len(answer.body)))]
    if answer.retry_after is not None:
        headers.append(("Retry-After", f"{answer.retry_after.total_seconds():.3f}"))
    if answer.replayed:
        headers.append(("Idempotency-Replayed", "true"))
    if answer.allow is not None:
        headers.append(("Allow", answer.allow))
    if close:
        headers.append(("Connection", "close"))
    head = h11.Response(status_code=answer.status, headers=headers, reason=REASONS[answer.status])
    return wire.encode(head, h11.Data(data=b"" if bodiless else answer.body), h11.EndOfMessage())
