"""A worker that breaks HTTP at byte level, by plan, and keeps what it really received and answered."""

from __future__ import annotations

import asyncio
import random
import re
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import TypeVar

from rookwood.lab.exchange_judge import (
    ExchangeRecords,
    RequestKind,
    WorkerRun,
    request_body,
    stream_body,
)
from rookwood.lab.raw_http import encode_chunks, reset_connection
from rookwood.lab.raw_server import RawServer

IDLE_PAUSE = 0.004  # seconds until bytes come on a connection that is idle by then
READ_AGAIN_PAUSE = 0.01  # seconds before a worker that answered early reads on
REMEMBERED_IDS = 50
STREAM_TYPE = "text/event-stream"
REQUEST_LINE = re.compile(r"([A-Z]+) (/\S*) HTTP/1\.1")
TARGET = re.compile(r"(/[a-z]+/)([^/]+)/(\d+)")
Choice = TypeVar("Choice", bound=Enum)
GARBAGE = b"\x16\x03\x01\x02 no answer\r\n\r\n"


class Reaction(Enum):
    """What the worker does with a request."""

    ANSWER = "answer"
    FAIL = "fail"
    REJECT = "reject"  # 503 with X-Not-Run
    REJECT_RATE = "reject-rate"  # 429 with X-Not-Run
    REJECT_MISDIRECTED = "reject-misdirected"  # 421
    FALSE_PROMISE = "false-promise"  # runs it and answers 503 without X-Not-Run
    SILENCE = "silence"


class Framing(Enum):
    """How the answer tells where its body ends."""

    LENGTH = "length"
    CHUNKED = "chunked"
    UNFRAMED = "unframed"
    TWO_LENGTHS = "two-lengths"
    LENGTH_AND_CHUNKS = "length-and-chunks"


class Identity(Enum):
    """Which request the answer names."""

    OWN = "own"
    OTHER = "other"
    MISSING = "missing"


class Extra(Enum):
    """Bytes before or after the answer."""

    NONE = "none"
    CONTINUE = "continue"
    EARLY_HINTS = "early-hints"
    SWITCHING = "switching"
    SURPLUS = "surplus"
    SURPLUS_PART = "surplus-part"
    GARBAGE = "garbage"


class Ending(Enum):
    """How the worker ends a connection."""

    CLOSE = "close"
    RESET = "reset"


HARMLESS_BEFORE = (Extra.NONE, Extra.CONTINUE, Extra.EARLY_HINTS, Extra.SURPLUS)
TRUE_FRAMINGS = (Framing.LENGTH, Framing.CHUNKED, Framing.UNFRAMED)
STATUSES = {
    Reaction.ANSWER: 200,
    Reaction.FAIL: 500,
    Reaction.REJECT: 503,
    Reaction.REJECT_RATE: 429,
    Reaction.REJECT_MISDIRECTED: 421,
    Reaction.FALSE_PROMISE: 503,
    Reaction.SILENCE: 200,
}
REJECTIONS = (Reaction.REJECT, Reaction.REJECT_RATE, Reaction.REJECT_MISDIRECTED)


@dataclass(frozen=True, slots=True)
class Misbehaviour:
    """How one request is answered; as it stands, properly."""

    reaction: Reaction = Reaction.ANSWER
    framing: Framing = Framing.LENGTH
    identity: Identity = Identity.OWN
    sealed: bool = True
    encoded: bool = False
    before: Extra = Extra.NONE
    after: Extra = Extra.NONE
    after_when_idle: bool = False
    surplus_rejects: bool = False
    surplus_share: float = 0.5  # of a surplus answer that comes in part
    cut: float | None = None  # share of the answer's bytes after which the connection ends
    ending: Ending = Ending.CLOSE
    early: bool = False  # answers before it has read the body
    says_close: bool = False
    pieces: int = 1
    delay: float = 0.0


@dataclass(frozen=True, slots=True)
class ReceivedHead:
    """The head of a request."""

    method: str
    target: str
    headers: Mapping[str, str]

    @property
    def request_id(self) -> str:
        """The id of the client's try."""
        return self.headers.get("x-try-id", "")

    @property
    def length(self) -> int:
        """The length of the body."""
        return int(self.headers.get("content-length", "0"))


@dataclass(frozen=True, slots=True)
class BuiltAnswer:
    """An answer as bytes, up to where it is cut."""

    data: bytes
    head_size: int
    run: WorkerRun


class ConnectionEnded(ConnectionError):  # noqa: N818 - not an error: the plan says so
    """The worker ended the connection."""


class MisbehavingWorker(RawServer):
    """Listens on loopback; each request is answered as `plan` says."""

    def __init__(self, name: str, records: ExchangeRecords, plan: Callable[[], Misbehaviour]) -> None:
        super().__init__()
        self.name = name
        self._records = records
        self._plan = plan
        self._earlier_ids: deque[str] = deque(["none"], REMEMBERED_IDS)
        self._runs = 0

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer requests until the connection ends."""
        await _Connection(self, reader, writer).serve()

    def next_plan(self) -> Misbehaviour:
        """How to answer the next request."""
        return self._plan()

    def stray(self, what: str) -> None:
        """Something came that is no request."""
        self._records.stray_bytes.append((self.name, what))

    def record(self, run: WorkerRun) -> None:
        """A request was answered, or is kept without an answer."""
        self._records.runs.append(run)
        self._earlier_ids.append(run.request_id)

    def next_seal(self, request_id: str) -> str:
        """A seal that no other run has."""
        self._runs += 1
        return f"{self.name}.{self._runs}.{request_id}"

    def earlier_id(self) -> str:
        """The id of a request that this worker has had before."""
        return self._earlier_ids[0]


class _Connection:
    """One connection of the worker."""

    def __init__(
        self, worker: MisbehavingWorker, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._worker = worker
        self._reader = reader
        self._writer = writer
        self._announced_close = False

    async def serve(self) -> None:
        """Answer requests until the connection ends."""
        while True:
            head = await self._read_head()
            if self._announced_close:
                self._worker.stray("a request after Connection: close")
            plan = self._worker.next_plan()
            if plan.early and head.length:
                await self._answer(head, plan, intact=True)
                await asyncio.sleep(READ_AGAIN_PAUSE)
                await self._read_body(head)
            else:
                intact = await self._read_body(head)
                await self._answer(head, plan, intact)

    async def _read_head(self) -> ReceivedHead:
        data = await self._reader.readuntil(b"\r\n\r\n")
        first, *lines = data.decode("latin-1").removesuffix("\r\n\r\n").split("\r\n")
        matched = REQUEST_LINE.fullmatch(first)
        if matched is None:
            self._worker.stray(f"{first[:80]!r} in place of a request")
            raise ConnectionEnded
        pairs = (line.partition(":") for line in lines)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        return ReceivedHead(matched[1], matched[2], headers)

    async def _read_body(self, head: ReceivedHead) -> bool:
        """Read the body; whether it is the client's."""
        expected = expected_request_body(head)
        try:
            body = await self._reader.readexactly(head.length)
        except asyncio.IncompleteReadError as error:
            if not expected.startswith(error.partial):
                self._worker.stray(f"other bytes in the body of {head.request_id}")
            raise
        if body != expected:
            self._worker.stray(f"other bytes in the body of {head.request_id}")
        return body == expected

    async def _answer(self, head: ReceivedHead, plan: Misbehaviour, intact: bool) -> None:
        answer = build_answer(head, plan, self._worker.name, self._worker.next_seal(head.request_id), intact)
        self._worker.record(answer.run)
        if plan.delay:
            await asyncio.sleep(plan.delay)
        if plan.reaction is Reaction.SILENCE:
            await self._reader.read()
            raise ConnectionEnded
        self._write(self._extra(plan.before, plan), 1)
        self._write(answer.data, plan.pieces)
        if plan.cut is not None or plan.framing is Framing.UNFRAMED:
            await self._end(plan.ending)
        self._announced_close = plan.says_close
        if plan.after is not Extra.NONE:
            if plan.after_when_idle:
                await asyncio.sleep(IDLE_PAUSE)
            self._write(self._extra(plan.after, plan), 1)

    def _write(self, data: bytes, pieces: int) -> None:
        """Hand bytes to the kernel in so many parts."""
        step = max(1, -(-len(data) // pieces))
        for start in range(0, len(data), step):
            self._writer.write(data[start : start + step])

    def _extra(self, extra: Extra, plan: Misbehaviour) -> bytes:
        surplus = surplus_answer(self._worker.earlier_id(), plan.surplus_rejects)
        match extra:
            case Extra.NONE:
                return b""
            case Extra.CONTINUE:
                return b"HTTP/1.1 100 Continue\r\n\r\n"
            case Extra.EARLY_HINTS:
                return b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
            case Extra.SWITCHING:
                return b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\nConnection: upgrade\r\n\r\n"
            case Extra.SURPLUS:
                return surplus
            case Extra.SURPLUS_PART:
                return surplus[: max(1, share_of(len(surplus), plan.surplus_share))]
            case Extra.GARBAGE:
                return GARBAGE

    async def _end(self, ending: Ending) -> None:
        await self._writer.drain()
        if ending is Ending.RESET:
            reset_connection(self._writer)
        else:
            self._writer.close()
        raise ConnectionEnded


def expected_request_body(head: ReceivedHead) -> bytes:
    """The body that a client sent with this head."""
    matched = TARGET.fullmatch(head.target)
    return request_body(matched[2], int(matched[3])) if matched else b""


def share_of(size: int, share: float) -> int:
    """A position within so many bytes; at least one byte from the end."""
    return min(size - 1, int(size * share))


def surplus_answer(request_id: str, rejects: bool) -> bytes:
    """A whole answer that nobody waits for any more."""
    if rejects:
        status, headers = "503 Full", f"X-Not-Run: 1\r\nX-Try-Id: {request_id}\r\n"
    else:
        status, headers = "200 OK", f"X-Try-Id: {request_id}\r\nX-Seal: surplus\r\n"
    return f"HTTP/1.1 {status}\r\n{headers}Content-Length: 7\r\n\r\nsurplus".encode()


def build_answer(head: ReceivedHead, plan: Misbehaviour, worker: str, seal: str, intact: bool) -> BuiltAnswer:
    """The answer to a request, and what a reader may make of it."""
    status = STATUSES[plan.reaction]
    body = true_body(head, plan, seal)
    head_bytes = answer_head(head, plan, seal, len(body))
    framed = in_chunks(body) if plan.framing in (Framing.CHUNKED, Framing.LENGTH_AND_CHUNKS) else body
    data = head_bytes + framed
    whole: bytes | None = body
    if plan.cut is not None:
        position = share_of(len(data), plan.cut)
        data = data[:position]
        closes = plan.framing is Framing.UNFRAMED and position >= len(head_bytes)
        whole = data[len(head_bytes) :] if closes else None
    if not is_true_answer(plan, status):
        whole = None
    run = WorkerRun(
        request_id=head.request_id,
        worker=worker,
        method=head.method,
        target=head.target,
        intact=intact,
        seal=seal,
        status=status,
        ran=plan.reaction not in REJECTIONS,
        whole_body=whole,
        closes_early=whole is not None and plan.cut is not None,
    )
    return BuiltAnswer(data, len(head_bytes), run)


def is_true_answer(plan: Misbehaviour, status: int) -> bool:
    """Whether what goes over the wire is the worker's answer to this request, as long as it is not cut."""
    if plan.framing not in TRUE_FRAMINGS or plan.before not in HARMLESS_BEFORE:
        return False
    if plan.identity is not Identity.OWN or plan.reaction is Reaction.SILENCE:
        return False
    if plan.framing is Framing.UNFRAMED and plan.ending is Ending.RESET:
        return False
    return status != STATUSES[Reaction.ANSWER] or (plan.sealed and not plan.encoded)


def true_body(head: ReceivedHead, plan: Misbehaviour, seal: str) -> bytes:
    """The body of the answer."""
    if plan.reaction is Reaction.ANSWER and is_stream(head):
        return stream_body(head.request_id, int(head.headers.get("last-event-id", "0")))
    return f"{plan.reaction.value} {seal}".encode()


def is_stream(head: ReceivedHead) -> bool:
    """Whether the request is answered by events."""
    matched = TARGET.fullmatch(head.target)
    return matched is not None and RequestKind(matched[1]).streams


def answer_head(head: ReceivedHead, plan: Misbehaviour, seal: str, length: int) -> bytes:
    """The head of the answer."""
    lines = [f"HTTP/1.1 {STATUSES[plan.reaction]} Status"]
    if plan.identity is not Identity.MISSING:
        name = head.request_id if plan.identity is Identity.OWN else f"not-{head.request_id}"
        lines.append(f"X-Try-Id: {name}")
    if plan.sealed and plan.reaction not in REJECTIONS:
        lines.append(f"X-Seal: {seal}")
    if plan.reaction in REJECTIONS:
        lines.append("X-Not-Run: 1")
    if plan.reaction is Reaction.ANSWER and is_stream(head):
        lines.append(f"Content-Type: {STREAM_TYPE}")
    if plan.encoded:
        lines.append("Content-Encoding: gzip")
    if plan.says_close:
        lines.append("Connection: close")
    lines += framing_lines(plan.framing, length)
    return "\r\n".join([*lines, "", ""]).encode()


def framing_lines(framing: Framing, length: int) -> list[str]:
    """The headers that tell where the body ends."""
    match framing:
        case Framing.LENGTH:
            return [f"Content-Length: {length}"]
        case Framing.CHUNKED:
            return ["Transfer-Encoding: chunked"]
        case Framing.UNFRAMED:
            return []
        case Framing.TWO_LENGTHS:
            return [f"Content-Length: {length // 2}", f"Content-Length: {length}"]
        case Framing.LENGTH_AND_CHUNKS:
            return ["Transfer-Encoding: chunked", f"Content-Length: {length // 2}"]


def in_chunks(body: bytes) -> bytes:
    """A body as two chunks and the last, empty one."""
    middle = len(body) // 2
    return encode_chunks(body[:middle], body[middle:])


def draw_misbehaviour(source: random.Random) -> Misbehaviour:
    """A plan that is wrong in a few ways at once, or in none."""
    return Misbehaviour(
        reaction=_mostly(source, Reaction.ANSWER, Reaction, 0.25),
        framing=_mostly(source, Framing.LENGTH, Framing, 0.5),
        identity=_mostly(source, Identity.OWN, Identity, 0.06),
        sealed=source.random() > 0.03,
        encoded=source.random() < 0.02,
        before=_mostly(source, Extra.NONE, Extra, 0.15),
        after=_mostly(source, Extra.NONE, Extra, 0.15),
        after_when_idle=source.random() < 0.5,
        surplus_rejects=source.random() < 0.5,
        surplus_share=source.random(),
        cut=source.random() if source.random() < 0.2 else None,
        ending=source.choice(list(Ending)),
        early=source.random() < 0.3,
        says_close=source.random() < 0.1,
        pieces=source.choice((1, 1, 2, 5)),
        delay=source.choice((0.0, 0.0, 0.0, 0.002, 0.02)),
    )


def _mostly(source: random.Random, usual: Choice, choices: type[Choice], share: float) -> Choice:
    return source.choice(list(choices)) if source.random() < share else usual
