"""A worker whose answers never end: it sends until its caller closes the connection."""

from __future__ import annotations

import asyncio
import itertools
import json
import re
import socket
from collections.abc import Collection, Iterator, Sequence
from dataclasses import dataclass, field
from enum import Enum

from rookwood.lab.emulatedworker.registration import Registrar, ServiceState
from rookwood.lab.emulatedworker.settings import WorkerSettings
from rookwood.lab.emulatedworker.weights import JsonObject
from rookwood.lab.raw_http import encode_chunk
from rookwood.lab.raw_server import RawServer

PIECE_BYTES = 64 * 1024  # about as much is written at once
KERNEL_SEND_BUFFER = 32 * 1024  # bytes; Linux doubles it
LENGTH_WITHOUT_END = 999_999_999_999  # bytes
REQUEST_ID = re.compile(rb"^x-try-id:\s*(\S+)", re.IGNORECASE | re.MULTILINE)
CONTENT_LENGTH = re.compile(rb"^content-length:\s*(\d+)", re.IGNORECASE | re.MULTILINE)


class EndlessForm(Enum):
    """The part of an answer that never ends."""

    GARBAGE = "garbage"
    STATUS_LINE = "status line"
    FIELD_NAME = "field name"
    FIELD_VALUE = "field value"
    FIELDS = "fields"
    EMPTY_LINES = "empty lines before the answer"
    CONTINUES = "interim responses"
    EARLY_HINTS = "interim responses with fields"
    SWITCHED = "bytes after a change of protocol"
    STATED_LENGTH = "body with a stated length"
    UNTIL_CLOSE = "body that ends with the connection"
    LARGE_CHUNKS = "large chunks"
    SMALL_CHUNKS = "chunks of a byte"
    CHUNK_SIZE = "size of a chunk"
    CHUNK_EXTENSION = "extension of a chunk"
    CHUNK_EXTENSIONS = "chunks of a byte with long extensions"
    TRAILERS = "trailers"
    SURPLUS = "bytes after a whole answer"
    SURPLUS_ANSWERS = "answers after the answer"
    ERROR_BODY = "body of a status 500"
    REJECTION_BODY = "body of a rejection"
    STREAM_STATED_LENGTH = "stream with a stated length and no event"
    EVENT = "event"
    EVENTS = "events"
    EVENTS_OF_LINE_ENDS = "events without a field"


STREAMS = frozenset(
    {
        EndlessForm.STREAM_STATED_LENGTH,
        EndlessForm.EVENT,
        EndlessForm.EVENTS,
        EndlessForm.EVENTS_OF_LINE_ENDS,
    }
)
FORWARDED_FORMS = frozenset({EndlessForm.EVENTS})  # proper events are forwarded until the deadline
WHOLE_ANSWERS = frozenset({EndlessForm.SURPLUS, EndlessForm.SURPLUS_ANSWERS})
CHUNKED = "Transfer-Encoding: chunked"
EVENT_STREAM = "Content-Type: text/event-stream"


def answer_head(request_id: str, *fields: str, status: str = "200 OK") -> bytes:
    """The head of an answer to this request."""
    identity = f"X-Try-Id: {request_id}\r\nX-Seal: endless\r\n" if request_id else ""
    lines = "".join(f"{line}\r\n" for line in fields)
    return f"HTTP/1.1 {status}\r\n{identity}{lines}\r\n".encode()


def _begun_head(request_id: str) -> bytes:
    return answer_head(request_id).removesuffix(b"\r\n")


def _numbered_fields() -> Iterator[bytes]:
    for number in itertools.count():
        yield b"X-%d: %s\r\n" % (number, b"v" * 4000)


def _numbered_events() -> Iterator[bytes]:
    for number in itertools.count(1):
        yield encode_chunk(b"id: %d\ndata: %s\n\n" % (number, b"e" * 1000))


def _repeated(data: bytes) -> Iterator[bytes]:
    piece = data * max(1, PIECE_BYTES // len(data))
    return itertools.repeat(piece)


def begin_answer(form: EndlessForm, request_id: str) -> bytes:
    """What is sent before the part that never ends."""
    chunked = answer_head(request_id, CHUNKED)
    match form:
        case EndlessForm.GARBAGE | EndlessForm.EMPTY_LINES | EndlessForm.CONTINUES | EndlessForm.EARLY_HINTS:
            return b""
        case EndlessForm.STATUS_LINE:
            return b"HTTP/1.1 200 "
        case EndlessForm.FIELD_NAME | EndlessForm.FIELDS:
            return _begun_head(request_id)
        case EndlessForm.FIELD_VALUE:
            return _begun_head(request_id) + b"X-Value: "
        case EndlessForm.SWITCHED:
            switch = ("Upgrade: websocket", "Connection: upgrade")
            return answer_head(request_id, *switch, status="101 Switching Protocols")
        case EndlessForm.STATED_LENGTH:
            return answer_head(request_id, f"Content-Length: {LENGTH_WITHOUT_END}")
        case EndlessForm.UNTIL_CLOSE:
            return answer_head(request_id)
        case EndlessForm.LARGE_CHUNKS | EndlessForm.SMALL_CHUNKS | EndlessForm.CHUNK_EXTENSIONS:
            return chunked
        case EndlessForm.CHUNK_SIZE:
            return chunked + b"0"
        case EndlessForm.CHUNK_EXTENSION:
            return chunked + b"5;name="
        case EndlessForm.TRAILERS:
            return chunked + encode_chunk(b"body") + b"0\r\n"
        case EndlessForm.SURPLUS | EndlessForm.SURPLUS_ANSWERS:
            return answer_head(request_id, "Content-Length: 4") + b"body"
        case EndlessForm.ERROR_BODY:
            return answer_head(request_id, CHUNKED, status="500 Internal Server Error")
        case EndlessForm.REJECTION_BODY:
            return answer_head(request_id, CHUNKED, "X-Not-Run: 1", status="503 Full")
        case EndlessForm.STREAM_STATED_LENGTH:
            return answer_head(request_id, EVENT_STREAM, f"Content-Length: {LENGTH_WITHOUT_END}")
        case EndlessForm.EVENT:
            return answer_head(request_id, EVENT_STREAM, CHUNKED) + encode_chunk(b"id: 1\ndata: ")
        case EndlessForm.EVENTS | EndlessForm.EVENTS_OF_LINE_ENDS:
            return answer_head(request_id, EVENT_STREAM, CHUNKED)


def endless_pieces(form: EndlessForm, request_id: str) -> Iterator[bytes]:
    """The part that never ends, piece by piece."""
    match form:
        case EndlessForm.GARBAGE:
            return _repeated(b"\x16\x03\x01\x02")
        case EndlessForm.EMPTY_LINES:
            return _repeated(b"\r\n")
        case EndlessForm.CONTINUES:
            return _repeated(b"HTTP/1.1 100 Continue\r\n\r\n")
        case EndlessForm.EARLY_HINTS:
            return _repeated(answer_head(request_id, "Link: </a>", status="103 Early Hints"))
        case EndlessForm.FIELDS | EndlessForm.TRAILERS:
            return _numbered_fields()
        case EndlessForm.LARGE_CHUNKS | EndlessForm.ERROR_BODY | EndlessForm.REJECTION_BODY:
            return _repeated(encode_chunk(b"b" * PIECE_BYTES))
        case EndlessForm.SMALL_CHUNKS:
            return _repeated(encode_chunk(b"b"))
        case EndlessForm.CHUNK_SIZE:
            return _repeated(b"0")
        case EndlessForm.CHUNK_EXTENSIONS:
            return _repeated(b"1;%s\r\nb\r\n" % (b"e" * 1000))
        case EndlessForm.SURPLUS_ANSWERS:
            return _repeated(answer_head(request_id, "Content-Length: 4") + b"body")
        case EndlessForm.EVENT:
            return _repeated(encode_chunk(b"e" * 1000))
        case EndlessForm.EVENTS:
            return _numbered_events()
        case EndlessForm.EVENTS_OF_LINE_ENDS:
            return _repeated(encode_chunk(b"\n" * 1000))
        case _:
            return _repeated(b"e")


@dataclass
class EndlessAnswer:
    """One answer, and how much of it the caller and the kernels took."""

    path: str
    request_id: str
    taken_bytes: int = 0
    is_closed: bool = False  # by the caller


@dataclass
class EndlessRecords:
    """All answers that were begun."""

    answers: list[EndlessAnswer] = field(default_factory=list)

    def open_answers(self) -> int:
        """How many are still being sent."""
        return sum(not answer.is_closed for answer in self.answers)

    def most_taken(self) -> int:
        """The most bytes that were taken of one answer."""
        return max((answer.taken_bytes for answer in self.answers), default=0)

    def request_ids(self, path_start: str = "/") -> list[str]:
        """The ids of the requests to such paths, in the order of their arrival."""
        return [answer.request_id for answer in self.answers if answer.path.startswith(path_start)]


class EndlessWorker(RawServer):
    """A registered worker; calls to `endless_paths` get an answer without end, other ones a proper one."""

    _numbers = itertools.count(1)

    def __init__(
        self,
        settings: WorkerSettings,
        form: EndlessForm,
        control_addresses: Sequence[str],
        *,
        held: Collection[str] = (),
        endless_paths: str = "/",
        proper_paths: Collection[str] = ("/report", "/order"),
    ) -> None:
        """`endless_paths`: how the paths begin that get an answer without end, but for `proper_paths`."""
        super().__init__()
        self.instance = f"i-endless-{next(self._numbers)}"
        self.records = EndlessRecords()
        self.registered = asyncio.Event()
        self._settings = settings
        self._form = form
        self._held = list(held)
        self._endless_paths = endless_paths
        self._proper_paths = proper_paths
        self._registrar = Registrar(self.instance, control_addresses)
        self._heartbeats: asyncio.Task[None] | None = None
        self._heartbeat_number = itertools.count(1)

    async def start(self) -> None:
        """Listen, and begin to register."""
        await super().start()
        self._heartbeats = asyncio.create_task(self._send_heartbeats())

    async def stop(self) -> None:
        """Stop registering, and drop all connections."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        await self._registrar.close()
        await super().stop()

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer requests until an answer has no end."""
        connection = writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_SEND_BUFFER)
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            length = CONTENT_LENGTH.search(head)
            await reader.readexactly(int(length[1]) if length else 0)
            path = head.split(b" ", 2)[1].decode()
            found = REQUEST_ID.search(head)
            request_id = found[1].decode() if found else ""
            if not path.startswith(self._endless_paths) or path in self._proper_paths:
                self._answer_properly(writer, path)
                continue
            answer = EndlessAnswer(path, request_id)
            self.records.answers.append(answer)
            try:
                await self._send_without_end(writer, answer)
            finally:
                answer.is_closed = True

    async def _send_without_end(self, writer: asyncio.StreamWriter, answer: EndlessAnswer) -> None:
        writer.write(begin_answer(self._form, answer.request_id))
        for piece in endless_pieces(self._form, answer.request_id):
            writer.write(piece)
            await writer.drain()
            answer.taken_bytes += len(piece)
            await asyncio.sleep(0)

    def _answer_properly(self, writer: asyncio.StreamWriter, path: str) -> None:
        body = json.dumps(self._report()).encode() if path == "/report" else b""
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    def _models(self) -> list[JsonObject]:
        return [{"name": name, "ver": 1, "loras": []} for name in self._held]

    def _report(self) -> JsonObject:
        return {"phase": "both", "models": self._models(), "busy": False, "seq": 1, "queued": 0, "active": 0}

    async def _send_heartbeats(self) -> None:
        while True:
            if await self._registrar.register(self._registration()):
                self.registered.set()
            await asyncio.sleep(self._settings.heartbeat_interval_s)

    def _registration(self) -> JsonObject:
        return {
            "svc": self._settings.service,
            "addr": self.address,
            "az": self._settings.zone,
            "ver": self._settings.software_version,
            "slots": self._settings.slots,
            "state": ServiceState.UP.value,
            "cold-ms": 0,
            "phase": "both",
            "models": self._models(),
            "seq": next(self._heartbeat_number),
        }
