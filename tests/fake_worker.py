"""A scripted worker on a raw loopback socket, which writes exactly the bytes that a test specifies.

The emulated worker of `rookwood.lab` behaves like a real one. This one is for responses that no HTTP server
library would send. Each request is handled by the next behaviour of the script.
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

WAIT_LIMIT = 4.0  # seconds after which a wait in a test fails
STREAM_TYPE = "text/event-stream"


@dataclass(frozen=True)
class ReceivedRequest:
    """A request as it was received; header names are in lower case."""

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes

    @property
    def id(self) -> str:
        """The id of the request, from X-Try-Id."""
        return self.headers.get("x-try-id", "")


class Exchange:
    """One request at the worker, with the methods for responding to it."""

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
        """Send the head of a response."""
        lines = [f"HTTP/1.1 {status} Status", *(f"{name}: {value}" for name, value in headers.items())]
        self.write("\r\n".join([*lines, "", ""]).encode())

    def write_chunk(self, data: bytes) -> None:
        """Send one chunk of a chunked body; an empty one ends the body."""
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
    """Await something that should happen soon; raises TimeoutError after `WAIT_LIMIT`."""
    return await asyncio.wait_for(awaitable, WAIT_LIMIT)


class FakeWorker(RawServer):
    """Responds to requests by a script; the last behaviour of the script serves all further requests."""

    def __init__(self, *script: Behaviour, id: str = "i-1") -> None:
        super().__init__()
        self.id = id
        self.requests: list[ReceivedRequest] = []
        self.connections = 0
        self.request_received = asyncio.Event()
        self._script = list(script)

    def record(
        self,
        service: str,
        *,
        draining: bool = False,
        models: Sequence[HeldModel] = (),
        address: str | None = None,
    ) -> WorkerRecord:
        """The record with which a dispatcher knows this worker."""
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
        """The received requests with one request id: the attempts that reached this worker."""
        return [request for request in self.requests if request.id == request_id]

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Handle each request of a connection with the next behaviour."""
        self.connections += 1
        while True:
            await self._serve(reader, writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request = await read_request(reader)
        self.requests.append(request)
        self.request_received.set()
        behaviour = self._script.pop(0) if len(self._script) > 1 else self._script[0]
        await behaviour(Exchange(request, reader, writer))


async def read_request(reader: asyncio.StreamReader) -> ReceivedRequest:
    """Read one request; its body may have a length or be chunked."""
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
    """The seal that a worker puts on its response to a request."""
    return f"seal-{worker}-{request.id}"


def response_bytes(request: ReceivedRequest, body: bytes, status: int = 200, **changes: str | None) -> bytes:
    """The bytes of a complete response.

    `changes` set headers by name, with _ for -, or remove those that are None.
    """
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
    """Send a complete response, with the headers of `response_bytes`."""

    async def respond(exchange: Exchange) -> None:
        exchange.write(response_bytes(exchange.request, body, status, **changes))

    return respond


def rejecting(status: int) -> Behaviour:
    """Reject the request without running it."""
    return responding(b"", status, X_Not_Run="1", X_Seal=None)


def delayed_until(behaviour: Behaviour, release: asyncio.Event) -> Behaviour:
    """Apply the behaviour once the test sets the event."""

    async def wait_and_behave(exchange: Exchange) -> None:
        await release.wait()
        await behaviour(exchange)

    return wait_and_behave


async def break_off(exchange: Exchange) -> None:
    """Close the connection without a response after the request was read."""
    await exchange.break_off()


@dataclass
class UnresponsiveWorker:
    """Never responds; `connection_closed` is set once the caller has closed the connection."""

    request_received: asyncio.Event = field(default_factory=asyncio.Event)
    connection_closed: asyncio.Event = field(default_factory=asyncio.Event)

    async def __call__(self, exchange: Exchange) -> None:
        """Wait until the caller closes the connection."""
        self.request_received.set()
        await exchange.caller_closed()
        self.connection_closed.set()
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
    """Send a complete stream of these events."""

    async def stream(exchange: Exchange) -> None:
        begin_stream(exchange, worker)
        for number in numbers:
            exchange.write_chunk(event(number))
        exchange.write_chunk(b"")

    return stream


def streaming_until_broken(numbers: Sequence[int], worker: str = "w", partial: bytes = b"") -> Behaviour:
    """Send these events and the bytes `partial` of a further one, then close the connection."""

    async def stream(exchange: Exchange) -> None:
        begin_stream(exchange, worker)
        for number in numbers:
            exchange.write_chunk(event(number))
        if partial:
            exchange.write_chunk(partial)
        await exchange.break_off()

    return stream


def streaming_unframed_until_reset(numbers: Sequence[int], worker: str = "w") -> Behaviour:
    """Send these events in a body that ends with its connection, then reset the connection."""

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
