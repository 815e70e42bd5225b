"""The client's side: connections in, one request at a time on each, answers out."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
from collections.abc import Awaitable, Callable, Collection
from dataclasses import dataclass
from datetime import timedelta
from urllib.parse import parse_qs, unquote

import h11

from rookwood.net.clock import Clock
from rookwood.net.endpoints import Outgoing
from rookwood.net.http1 import MAX_BODY, NotWrittenError, TooLargeError, Wire
from rookwood.net.request import Answer, InboundRequest

log = logging.getLogger(__name__)

IDLE_LIMIT = timedelta(seconds=120)  # between requests
READ_LIMIT = timedelta(seconds=10)  # for the rest of a request that has begun
WRITE_LIMIT = timedelta(seconds=10)
LINGER = timedelta(seconds=1)  # so that a client still sending can read why it was turned off
MAX_TIMEOUT = timedelta(hours=1)
SPARE = 32  # connections beyond the bound that are still told 503
HANDOVER = timedelta(milliseconds=450)  # after SIGTERM the front still sends here for less than this
POLL = timedelta(milliseconds=20)
READY = b"/-/ready"

Serve = Callable[[InboundRequest], Awaitable[Answer]]


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

    def get(self, name: str) -> str | None:
        found = [value for key, value in self._pairs if key == name.lower()]
        if len(found) > 1:
            raise UnfitError(400, f"{name} comes more than once")
        if found and not found[0].isascii():  # it could not be passed on
            raise UnfitError(400, f"{name} is not ASCII")
        return found[0] if found else None


def figure(text: str, name: str) -> float:
    try:
        value = float(text)
    except ValueError:
        raise UnfitError(400, f"{name} is not a number") from None
    if not (math.isfinite(value) and value >= 0):
        raise UnfitError(400, f"{name} is out of range")
    return value


def figures(text: str) -> dict[str, float]:
    found = {}
    for pair in filter(None, (part.strip() for part in text.split(","))):
        name, equals, value = pair.partition("=")
        if not equals:
            raise UnfitError(400, "Request-Info is not name=value")
        found[name.strip()] = figure(value, f"Request-Info {name.strip()}")
    return found


def request_of(taken: Taken, classes: Collection[str], clock: Clock, age: timedelta) -> InboundRequest:
    """The one place where a client's request is understood."""
    path, _, query = taken.head.target.decode("latin-1").partition("?")
    job_class = unquote(path.lstrip("/").split("/", 1)[0])
    if job_class not in classes:
        raise UnfitError(404, "no such class of jobs")
    if taken.head.method != b"POST":
        raise UnfitError(405, "jobs come by POST", allow="POST")
    headers = Headers(taken.head)
    request_id, timeout = headers.get("Request-Id"), headers.get("Request-Timeout")
    if not request_id:
        raise UnfitError(400, "Request-Id is missing")
    if timeout is None:
        raise UnfitError(400, "Request-Timeout is missing")
    left = min(timedelta(seconds=min(figure(timeout, "Request-Timeout"), 1e6)), MAX_TIMEOUT)
    info = figures(headers.get("Request-Info") or "")
    key = parse_qs(query).get("k")
    return InboundRequest(
        job_class=job_class,
        deadline=clock.now() - age + left,
        slots=info.get("slots", 1.0),
        memory=info.get("memory"),
        key=key[0] if key else None,
        is_retry=headers.get("Client-Retry") == "1",
        outgoing=Outgoing(
            request_id=request_id,
            target=taken.head.target,
            host=headers.get("Host") or "",
            content_type=headers.get("Content-Type"),
            body=taken.body,
        ),
    )


REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout"}
REASONS |= {413: "Content Too Large", 500: "Internal Server Error", 502: "Bad Gateway"}
REASONS |= {503: "Service Unavailable", 504: "Gateway Timeout"}


def encoded(wire: Wire, answer: Answer, close: bool, bodiless: bool = False) -> bytes:
    headers = [("Content-Length", str(len(answer.body)))]
    if answer.retry_after is not None:
        headers.append(("Retry-After", f"{answer.retry_after.total_seconds():.3f}"))
    if answer.allow is not None:
        headers.append(("Allow", answer.allow))
    if close:
        headers.append(("Connection", "close"))
    head = h11.Response(status_code=answer.status, headers=headers, reason=REASONS[answer.status])
    return wire.encode(head, h11.Data(data=b"" if bodiless else answer.body), h11.EndOfMessage())


class Inbound:
    """Owns the listener and every client connection."""

    def __init__(
        self,
        clock: Clock,
        serve: Serve,
        classes: Collection[str],
        most: int,
        full: Callable[[], bool],
        retry_after: timedelta | None,
    ) -> None:
        self._clock, self._serve, self._classes = clock, serve, classes
        self._most, self._full, self._retry_after = most, full, retry_after
        self._open: set[Wire] = set()
        self._idle: dict[Wire, None] = {}  # waiting for a request, longest first
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._leaving = False

    async def listen(self, host: str, port: int) -> int:
        self._server = await asyncio.start_server(self._connection, host, port, backlog=512)
        return int(self._server.sockets[0].getsockname()[1])

    async def leave(self) -> None:
        """Hands over: clients are moved off as their answers go out, and nobody is cut off."""
        self._leaving = True
        await asyncio.sleep(HANDOVER.total_seconds())
        while self._open:
            for wire in list(self._idle):
                if wire.quiet():  # what has just come in is still served
                    wire.writer.transport.close()
            await asyncio.sleep(POLL.total_seconds())

    async def close(self) -> None:
        if self._server:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task
        self._tasks.add(task)
        wire = Wire(h11.Connection(h11.SERVER), reader, writer)
        self._open.add(wire)
        try:
            if len(self._open) > self._most and self._idle:
                next(iter(self._idle)).writer.transport.close()  # its own task lets go of it
            if len(self._open) <= self._most + SPARE:
                while await self._exchange(wire):
                    wire.http.start_next_cycle()
        except (OSError, NotWrittenError, h11.ProtocolError) as error:
            log.info("a client's connection broke: %s: %s", type(error).__name__, error)
        except asyncio.CancelledError:
            pass  # only `close` does that
        except Exception:
            log.exception("a client's connection failed")
        finally:
            self._open.discard(wire)
            await wire.close()
            self._tasks.discard(task)

    async def _exchange(self, wire: Wire) -> bool:
        """One request and its answer; false when the connection is to end."""
        if not await self._begun(wire):
            return False
        begun = self._clock.now()
        lingering, taken = False, None
        try:
            async with asyncio.timeout(READ_LIMIT.total_seconds()):
                taken = await self._take(wire)
            if taken is None:
                return False
            answer = await self._answered(wire, taken, self._clock.now() - begun)
            if answer is None:
                return False
        except UnfitError as error:
            answer = Answer(error.status, f"{error}\n".encode(), allow=error.allow)
        except TooLargeError:
            answer, lingering = Answer(413, f"over {MAX_BODY} bytes\n".encode()), True
        except TimeoutError:
            answer, lingering = Answer(408, b"the request did not end\n"), True
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint if error.error_status_hint in REASONS else 400
            answer, lingering = Answer(status, b"malformed\n"), True
        close = lingering or self._leaving or len(self._open) > self._most
        data = encoded(wire, answer, close, bodiless=taken is not None and taken.head.method == b"HEAD")
        async with asyncio.timeout(WRITE_LIMIT.total_seconds()):
            await wire.write(data)
        if lingering:
            await self._linger(wire)
        return not close and wire.http.our_state is h11.DONE and wire.http.their_state is h11.DONE

    async def _begun(self, wire: Wire) -> bool:
        """Waits for the first bytes of a request."""
        if wire.http.trailing_data[0]:
            return True
        self._idle[wire] = None
        try:
            async with asyncio.timeout(IDLE_LIMIT.total_seconds()):
                return await wire.fill()
        except TimeoutError:
            return False
        finally:
            self._idle.pop(wire, None)

    async def _take(self, wire: Wire) -> Taken | None:
        head = await wire.event()
        if not isinstance(head, h11.Request):
            return None
        if wire.http.they_are_waiting_for_100_continue:
            await wire.write(wire.encode(h11.InformationalResponse(status_code=100, headers=[])))
        return Taken(head, await wire.body())

    async def _answered(self, wire: Wire, taken: Taken, age: timedelta) -> Answer | None:
        """None: the client has gone, and nobody is left to answer."""
        if taken.head.target == READY:
            if taken.head.method != b"GET":
                raise UnfitError(405, "only GET here", allow="GET")
            return Answer(503, b"leaving\n") if self._leaving else Answer(200, b"ready\n")
        request = request_of(taken, self._classes, self._clock, age)
        if self._full() or len(self._open) > self._most:
            return Answer(503, b"full\n", self._retry_after)
        serving = asyncio.ensure_future(self._serve(request))
        gone = asyncio.ensure_future(self._gone(wire))
        try:
            await asyncio.wait((serving, gone), return_when=asyncio.FIRST_COMPLETED)
            if not serving.done():
                return None
            return serving.result()
        except Exception:
            log.exception("a request failed")
            return Answer(500, b"failed\n")
        finally:
            for task in (serving, gone):
                task.cancel()
            await asyncio.gather(serving, gone, return_exceptions=True)

    async def _gone(self, wire: Wire) -> None:
        """Ends when the client closes; what it sends ahead is kept for later."""
        with contextlib.suppress(ConnectionError):
            while await wire.fill():
                if len(wire.http.trailing_data[0]) > 2 * MAX_BODY:  # far too much: stop listening
                    await asyncio.Event().wait()

    async def _linger(self, wire: Wire) -> None:
        """Closing on unread bytes would reset the connection and take the answer along."""
        with contextlib.suppress(OSError, TimeoutError):
            wire.writer.write_eof()
            async with asyncio.timeout(LINGER.total_seconds()):
                while await wire.reader.read(MAX_BODY):
                    pass
