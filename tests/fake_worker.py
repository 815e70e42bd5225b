"""A scripted worker on a raw loopback socket: it writes exactly the bytes that a test wants on the wire.

The model worker of `rookwood.lab` behaves as real workers do; this one is for answers that no HTTP server
library would send. Each request that comes is handled by the next behaviour of the script.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import TypeVar

from rookwood.cluster.workers import HeldModel, WorkerRecord, WorkerState
from rookwood.lab.raw_http import encode_chunk, reset_connection
from rookwood.lab.raw_server import HOST as HOST
from rookwood.lab.raw_server import RawServer

WAIT_LIMIT = 4.0  # seconds after which a test that waits for something fails
STREAM_TYPE = "text/event-stream"


@dataclass(frozen=True)
class ReceivedRequest:
    """A request as it came over the wire; header names are in lower case."""

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes

    @property
    def id(self) -> str:
        """The id of the client's try."""
        return self.headers.get("x-try-id", "")


class Exchange:
    """One request at the worker, and the means to answer it."""

    def __init__(
        self, request: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.request = request
        self._reader = reader
        self._writer = writer

    def write(self, data: bytes) -> None:
        """Send raw bytes."""
        self._writer.write(data)

    def write_head(self, status: int, headers: Mapping[str, str]) -> None:
        """Send the head of an answer."""
        lines = [f"HTTP/1.1 {status} Status", *(f"{name}: {value}" for name, value in headers.items())]
        self.write("\r\n".join([*lines, "", ""]).encode())

    def write_chunk(self, data: bytes) -> None:
        """Send one chunk of a chunked body; an empty one ends it."""
        self.write(encode_chunk(data))

    async def caller_closed(self) -> None:
        """Wait until the caller has closed the connection."""
        try:
            while await self._reader.read(65536):
                pass
        except ConnectionError:
            return

    async def break_off(self) -> None:
        """Close the connection in order, after what was written has been handed to the network."""
        await self._writer.drain()
        self._writer.close()
        raise ConnectionResetError

    async def reset(self) -> None:
        """Reset the connection, after what was written has been handed to the network."""
        await self._writer.drain()
        reset_connection(self._writer)
        raise ConnectionResetError


Behaviour = Callable[[Exchange], Awaitable[None]]
Result = TypeVar("Result")


async def within(awaitable: Awaitable[Result]) -> Result:
    """Wait for something that comes soon; raises TimeoutError where it does not."""
    return await asyncio.wait_for(awaitable, WAIT_LIMIT)


class FakeWorker(RawServer):
    """Answers requests by a script; the last behaviour of the script serves all further requests."""

    def __init__(self, *script: Behaviour, id: str = "i-1") -> None:
        super().__init__()
        self.id = id
        self.requests: list[ReceivedRequest] = []
        self.connections = 0
        self.request_came = asyncio.Event()
        self._script = list(script)

    def record(
        self,
        service: str,
        *,
        draining: bool = False,
        models: Sequence[HeldModel] = (),
        address: str | None = None,
    ) -> WorkerRecord:
        """The record under which the dispatcher knows this worker."""
        return WorkerRecord(
            id=self.id,
            service=service,
            address=address or self.address,
            zone="z1",
            slots=8,
            state=WorkerState.DRAINING if draining else WorkerState.UP,
            sequence=1,
            models=tuple(models),
        )

    def requests_of(self, request_id: str) -> list[ReceivedRequest]:
        """The requests that came for one try of a client."""
        return [request for request in self.requests if request.id == request_id]

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Handle each request that comes by the next behaviour."""
        self.connections += 1
        while True:
            await self._serve(reader, writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request = await read_request(reader)
        self.requests.append(request)
        self.request_came.set()
        behaviour = self._script.pop(0) if len(self._script) > 1 else self._script[0]
        await behaviour(Exchange(request, reader, writer))


async def read_request(reader: asyncio.StreamReader) -> ReceivedRequest:
    """Read one request; its body may have a length or come in chunks."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    first, *lines = head.rstrip().split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = await read_chunks(reader)
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return ReceivedRequest(method, target, headers, body)


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Read a chunked body without trailers."""
    body = b""
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            return body


def seal_of(request: ReceivedRequest, worker: str = "w") -> str:
    """The stamp that a worker puts on its answer to a request."""
    return f"seal-{worker}-{request.id}"


def response_bytes(request: ReceivedRequest, body: bytes, status: int = 200, **changes: str | None) -> bytes:
    """The bytes of an answer; `changes` set headers by name (with _ for -), or drop those that are None."""
    headers: dict[str, str | None] = {
        "X-Try-Id": request.id,
        "X-Seal": seal_of(request),
        "Content-Type": "application/octet-stream",
        "Content-Length": str(len(body)),
    }
    headers.update({name.replace("_", "-"): value for name, value in changes.items()})
    lines = [f"{name}: {value}" for name, value in headers.items() if value is not None]
    return "\r\n".join([f"HTTP/1.1 {status} Status", *lines, "", ""]).encode() + body


def responding(body: bytes = b"answer", status: int = 200, **changes: str | None) -> Behaviour:
    """Give a whole answer, with the headers of `whole_answer`."""

    async def answer(exchange: Exchange) -> None:
        exchange.write(response_bytes(exchange.request, body, status, **changes))

    return answer


def rejecting(status: int) -> Behaviour:
    """Reject the request without running it."""
    return responding(b"", status, X_Not_Run="1", X_Seal=None)


def delayed_until(behaviour: Behaviour, release: asyncio.Event) -> Behaviour:
    """Behave so once the test sets the event."""

    async def wait_and_behave(exchange: Exchange) -> None:
        await release.wait()
        await behaviour(exchange)

    return wait_and_behave


async def break_off(exchange: Exchange) -> None:
    """Close the connection without a word once the request was read."""
    await exchange.break_off()


@dataclass
class Silence:
    """Answers nothing; `abandoned` is set once the caller has closed the connection."""

    began: asyncio.Event = field(default_factory=asyncio.Event)
    abandoned: asyncio.Event = field(default_factory=asyncio.Event)

    async def __call__(self, exchange: Exchange) -> None:
        """Wait for the caller to leave."""
        self.began.set()
        await exchange.caller_closed()
        self.abandoned.set()
        raise ConnectionResetError


def event(number: int) -> bytes:
    """One event of a stream."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()


def begin_stream(exchange: Exchange, worker: str = "w") -> None:
    """Send the head of an event stream."""
    headers = {
        "X-Try-Id": exchange.request.id,
        "X-Seal": seal_of(exchange.request, worker),
        "Content-Type": STREAM_TYPE,
        "Transfer-Encoding": "chunked",
    }
    exchange.write_head(200, headers)


def streaming(numbers: Sequence[int], worker: str = "w") -> Behaviour:
    """Send a whole stream of these events."""

    async def stream(exchange: Exchange) -> None:
        begin_stream(exchange, worker)
        for number in numbers:
            exchange.write_chunk(event(number))
        exchange.write_chunk(b"")

    return stream


def streaming_until_broken(numbers: Sequence[int], worker: str = "w", partial: bytes = b"") -> Behaviour:
    """Send these events and the beginning of a further one, then break off."""

    async def stream(exchange: Exchange) -> None:
        begin_stream(exchange, worker)
        for number in numbers:
            exchange.write_chunk(event(number))
        if partial:
            exchange.write_chunk(partial)
        await exchange.break_off()

    return stream


def streaming_unframed_until_reset(numbers: Sequence[int], worker: str = "w") -> Behaviour:
    """Send these events in a body that ends with its connection, then reset it."""

    async def stream(exchange: Exchange) -> None:
        headers = {
            "X-Try-Id": exchange.request.id,
            "X-Seal": seal_of(exchange.request, worker),
            "Content-Type": STREAM_TYPE,
        }
        exchange.write_head(200, headers)
        for number in numbers:
            exchange.write(event(number))
        await exchange.reset()

    return stream
