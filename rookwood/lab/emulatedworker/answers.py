"""The bytes of answers, and the connection they go out on."""

from __future__ import annotations

import asyncio
import hashlib
from dataclasses import dataclass
from http import HTTPStatus

from aiohttp import web

from rookwood.lab.emulatedworker.faults import ExtraAnswer
from rookwood.lab.emulatedworker.records import Run
from rookwood.lab.emulatedworker.slots import USUAL_URGENCY

DEFAULT_TIME_LEFT_MS = 60_000


def body_digest(body: bytes) -> str:
    """The digest by which the body of a request is compared."""
    return hashlib.sha256(body).hexdigest()


def event_bytes(event_id: int, data: str) -> bytes:
    """One event of a stream."""
    return f"id: {event_id}\ndata: {data}\n\n".encode()


@dataclass(frozen=True)
class Refused:
    """Why a request is rejected."""

    status: HTTPStatus
    reason: str


class AnswerCutError(Exception):
    """The answer ends here, before it is whole."""


def urgency_of(request: web.Request) -> int:
    """The place of a request in the order of admission, from 0 to 9; as usual where it names none."""
    text = request.headers.get("Priority", "")
    return int(text) if len(text) == 1 and text.isdecimal() else USUAL_URGENCY


def time_left_s(request: web.Request) -> float:
    """How long the caller waits for an answer."""
    return float(request.headers.get("X-Time-Left", DEFAULT_TIME_LEFT_MS)) / 1000


def half_of(event: bytes) -> bytes:
    """The first half of an event, as a worker that dies may send it."""
    return event[: len(event) // 2]


async def write(response: web.StreamResponse, run: Run, data: bytes) -> None:
    """Sends a part of an answer and records it."""
    run.answer += data
    await response.write(data)


def close_connection(request: web.Request) -> None:
    """Closes the connection of a request without ending its answer."""
    if request.transport is not None:
        request.transport.close()


def send_extra_answer(request: web.Request, fault: ExtraAnswer) -> None:
    """Sends a whole answer that nobody asked for."""
    body = b"surplus"
    head = (
        "HTTP/1.1 200 OK\r\n"
        f"X-Try-Id: {fault.try_id}\r\n"
        "X-Seal: surplus\r\n"
        f"Content-Length: {len(body)}\r\n"
        "\r\n"
    )
    transport = request.transport
    if isinstance(transport, asyncio.WriteTransport):
        transport.write(head.encode() + body)
