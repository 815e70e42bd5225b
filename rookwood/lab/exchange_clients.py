"""Clients that read raw bytes: what they call complete is what HTTP/1.1 calls complete, and nothing else."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterator
from dataclasses import dataclass, replace

from rookwood.lab.exchange_judge import ClientAnswer, ExchangeRecords, RequestKind, SentRequest
from rookwood.lab.raw_http import encode_chunks

SITE = "pages.example"
HEAD_END = b"\r\n\r\n"
PATIENCE = 8.0  # seconds; an answer is due long before
TIME_LEFT_MS = 400
LONG_TIME_LEFT_MS = 1800  # enough for a repeatable request to leave a silent worker
BODY_SIZES = (0, 1, 8, 300, 5_000, 60_000, 300_000, 1_500_000)
METHODS = ("POST", "PUT", "DELETE")
SIZE_WEIGHTS = (5, 10, 30, 20, 15, 10, 8, 2)
MOST_ON_ONE_CONNECTION = 8


class BrokenAnswerError(Exception):
    """The connection ended before the answer was complete; carries what had come of the body."""

    def __init__(self, body: bytes = b"") -> None:
        super().__init__()
        self.body = body


class MalformedAnswerError(Exception):
    """What came is no answer."""


@dataclass(frozen=True, slots=True)
class ClientHabits:
    """How one request is sent."""

    request: SentRequest
    chunked: bool = False
    time_left_ms: int = TIME_LEFT_MS
    leaves_after: float | None = None  # seconds
    leaves_by_reset: bool = False
    keeps_connection: bool = True


class ClientConnection(asyncio.Protocol):
    """A connection whose bytes are all kept until they are taken."""

    def __init__(self) -> None:
        self._data = bytearray()
        self._changed = asyncio.Event()
        self._transport: asyncio.Transport | None = None
        self.in_order = False  # the other side ended the connection in order
        self.ended = False
        self.announced_close = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Keep the bytes."""
        self._data += data
        self._changed.set()

    def eof_received(self) -> None:
        """The other side ended in order."""
        self.in_order = True

    def connection_lost(self, error: Exception | None) -> None:
        """No more bytes will come."""
        self.ended = True
        self.in_order = self.in_order and error is None
        self._changed.set()

    @property
    def unread(self) -> bytes:
        """Bytes that came and were not taken."""
        return bytes(self._data)

    def send(self, data: bytes) -> None:
        """Write bytes."""
        assert self._transport is not None
        self._transport.write(data)

    def close(self, by_reset: bool = False) -> None:
        """End the connection."""
        assert self._transport is not None
        if by_reset:
            self._transport.abort()
        else:
            self._transport.close()

    async def take_until(self, mark: bytes) -> bytes:
        """Take the bytes up to and with a mark."""
        while (place := self._data.find(mark)) < 0:
            await self._more()
        return self._take(place + len(mark))

    async def take(self, size: int) -> bytes:
        """Take so many bytes."""
        while len(self._data) < size:
            await self._more()
        return self._take(size)

    async def take_all(self) -> bytes:
        """Take everything up to an orderly end."""
        while not self.ended:
            await self._more()
        if not self.in_order:
            raise BrokenAnswerError(self.unread)
        return self._take(len(self._data))

    def _take(self, size: int) -> bytes:
        taken = bytes(self._data[:size])
        del self._data[:size]
        return taken

    async def _more(self) -> None:
        if self.ended:
            raise BrokenAnswerError(self.unread)
        self._changed.clear()
        await self._changed.wait()


async def connect(address: str) -> ClientConnection:
    """A connection to the dispatcher, whose address is HOST:PORT."""
    host, _, port = address.rpartition(":")
    _, connection = await asyncio.get_running_loop().create_connection(ClientConnection, host, int(port))
    return connection


def encode_request(habits: ClientHabits) -> bytes:
    """The bytes of a request."""
    request = habits.request
    lines = [
        f"{request.method} {request.target} HTTP/1.1",
        f"Host: {SITE}",
        f"X-Try-Id: {request.id}",
        f"X-Time-Left: {habits.time_left_ms}",
    ]
    body = request.body
    if habits.chunked:
        lines.append("Transfer-Encoding: chunked")
        body = encode_chunks(body)
    else:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def read_answer(connection: ClientConnection, request: SentRequest) -> ClientAnswer:
    """Read one answer, as far as it comes."""
    answer = ClientAnswer(request)
    try:
        status, headers = await _read_head(connection)
        answer = replace(
            answer, status=status, request_id=headers.get("x-try-id"), seal=headers.get("x-seal")
        )
        connection.announced_close = headers.get("connection", "").lower() == "close"
        body = await _read_body(connection, headers)
    except BrokenAnswerError as error:
        return replace(answer, body=error.body if answer.status is not None else b"")
    except MalformedAnswerError as error:
        return replace(answer, malformed=str(error))
    return replace(answer, body=body, complete=True)


async def _read_head(connection: ClientConnection) -> tuple[int, dict[str, str]]:
    data = await connection.take_until(HEAD_END)
    first, *lines = data.decode("latin-1").removesuffix("\r\n\r\n").split("\r\n")
    version, _, rest = first.partition(" ")
    code = rest[:3]
    if version != "HTTP/1.1" or not code.isdecimal() or int(code) < 200:
        raise MalformedAnswerError(f"{first[:80]!r} in place of an answer")
    headers: dict[str, str] = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if not colon or name.lower() in headers:
            raise MalformedAnswerError(f"header {line[:80]!r}")
        headers[name.lower()] = value.strip()
    return int(code), headers


async def _read_body(connection: ClientConnection, headers: dict[str, str]) -> bytes:
    if headers.get("transfer-encoding") == "chunked":
        return await _read_chunks(connection)
    if "content-length" in headers:
        return await connection.take(int(headers["content-length"]))
    return await connection.take_all()


async def _read_chunks(connection: ClientConnection) -> bytes:
    body = b""
    while True:
        try:
            size = int((await connection.take_until(b"\r\n")).strip(), 16)
            body += (await connection.take(size + 2))[:size]
        except BrokenAnswerError as error:
            raise BrokenAnswerError(body) from error
        except ValueError as error:
            raise MalformedAnswerError("no size of a chunk") from error
        if size == 0:
            return body


class ExchangeClient:
    """Sends requests one after the other, on a kept connection where the answer lets it."""

    def __init__(self, address: str, records: ExchangeRecords) -> None:
        self._address = address
        self._records = records
        self._connection: ClientConnection | None = None
        self._used = 0
        self._last: SentRequest | None = None

    async def exchange(self, habits: ClientHabits) -> ClientAnswer:
        """Send one request and record what came of it."""
        request = habits.request
        self._records.requests[request.id] = request
        connection = await self._connected()
        self._last = request
        connection.send(encode_request(habits))
        limit = PATIENCE if habits.leaves_after is None else habits.leaves_after
        try:
            async with asyncio.timeout(limit):
                answer = await read_answer(connection, request)
        except TimeoutError:
            answer = ClientAnswer(request, left=True)
            if habits.leaves_after is None:
                answer = replace(answer, malformed=f"no answer within {PATIENCE} s")
            self._end(habits.leaves_by_reset)
        self._records.answers.append(answer)
        if connection.announced_close or not (answer.complete and habits.keeps_connection):
            self._end(habits.leaves_by_reset)
        return answer

    async def _connected(self) -> ClientConnection:
        kept = self._connection
        if kept is not None and kept.unread and self._last is not None:
            unread = ClientAnswer(self._last, malformed=f"{kept.unread[:80]!r} after the answer")
            self._records.answers.append(unread)
        if kept is None or kept.ended or kept.unread or self._used >= MOST_ON_ONE_CONNECTION:
            self._end()
            self._connection = kept = await connect(self._address)
            self._used = 0
        self._used += 1
        return kept

    def _end(self, by_reset: bool = False) -> None:
        if self._connection is not None:
            self._connection.close(by_reset)
            self._connection = None

    def close(self) -> None:
        """End the connection."""
        self._end()


def draw_habits(source: random.Random, ids: Iterator[int], prefix: str) -> ClientHabits:
    """A client's next request."""
    request = SentRequest(
        f"{prefix}-{next(ids)}",
        source.choice(list(RequestKind)),
        source.choices(BODY_SIZES, SIZE_WEIGHTS)[0],
        source.choice(METHODS),
    )
    leaves = source.random() < 0.05
    return ClientHabits(
        request=request,
        chunked=source.random() < 0.3,
        time_left_ms=LONG_TIME_LEFT_MS if source.random() < 0.05 else TIME_LEFT_MS,
        leaves_after=source.choice((0.0, 0.001, 0.005, 0.02)) if leaves else None,
        leaves_by_reset=source.random() < 0.5,
        keeps_connection=source.random() < 0.7,
    )
