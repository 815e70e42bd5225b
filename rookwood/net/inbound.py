"""The client's side: connections in, one request at a time on each, answers out."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import logging
import math
import re
import socket
from collections.abc import Awaitable, Callable, Collection
from dataclasses import dataclass
from datetime import datetime, timedelta
from urllib.parse import parse_qs, unquote

import h11

from rookwood.net.clock import Clock
from rookwood.net.endpoints import Outgoing
from rookwood.net.http1 import MAX_BODY, NotWrittenError, TooLargeError, Wire
from rookwood.net.request import Answer, InboundRequest

log = logging.getLogger(__name__)

IDLE_LIMIT = timedelta(seconds=120)  # between requests
FIRST_LIMIT = timedelta(seconds=2)  # from connecting to the end of the first request: the silent go
READ_LIMIT = timedelta(seconds=2)  # for the rest of a request that has begun
WRITE_LIMIT = timedelta(seconds=10)
LINGER = timedelta(milliseconds=500)  # so that a client still sending can read why it was turned off
LINGER_BYTES = 512 * 1024  # read and dropped meanwhile; who sends more is cut off
RECEIVE_BUFFER = 32 * 1024  # of the kernel, for each client: asyncio reads all of it in one go
AHEAD = 16 * 1024  # bytes taken while a request is served; clients send one at a time
BACKLOG, ACCEPTS = 512, 16  # waiting in the kernel; taken in before those taken are counted
MAX_ID = 128
MAX_TIMEOUT = timedelta(hours=1)
SPARE = 32  # connections beyond the bound that are still told 503
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
    if len(request_id) > MAX_ID:
        raise UnfitError(400, "Request-Id is too long")
    if timeout is None:
        raise UnfitError(400, "Request-Timeout is missing")
    left = timedelta(seconds=figure(timeout, "Request-Timeout", MAX_TIMEOUT.total_seconds()))
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
REASONS |= {409: "Conflict", 413: "Content Too Large", 500: "Internal Server Error", 502: "Bad Gateway"}
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
        most_bytes: int,
    ) -> None:
        self._clock, self._serve, self._classes = clock, serve, classes
        self._most, self._full, self._retry_after = most, full, retry_after
        self._bytes_left = most_bytes  # for the bodies of requests in hand
        self._open: set[Wire] = set()
        self._idle: dict[Wire, None] = {}  # brought a job before, waits for the next; longest first
        self._idlers: dict[Wire, None] = {}  # waits, and has brought no job so far
        self._new: dict[Wire, datetime] = {}  # owes its first request until then, longest first
        self._usual: set[Wire] = set()  # has brought a job
        self._dismissed: dict[Wire, None] = {}  # told to go, but still there
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._ready, self._leaving = True, False

    async def listen(self, host: str, port: int) -> int:
        listener = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
            listener.bind((host, port))
            listener.setblocking(False)
            # asyncio accepts up to `backlog` connections in one go, and only then are they counted here:
            # hundreds at once would take all descriptors. So few at a time, and the rest wait in the kernel.
            self._server = await asyncio.start_server(self._connection, sock=listener, backlog=ACCEPTS)
            listener.listen(BACKLOG)
        except BaseException:
            listener.close()
            raise
        return int(listener.getsockname()[1])

    async def leave(self, stay: timedelta) -> None:
        """Hands over: clients are moved off as their answers go out, and nobody is cut off.

        There may be no other dispatcher for these clients until this one is back: they are served on the
        connections that they have as long as their requests can still end in time."""
        self._ready = False
        await asyncio.sleep(stay.total_seconds())
        self._leaving = True
        while self._open:
            for wire in (*self._idlers, *self._idle):
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
            if len(self._open) > self._most:
                self._make_room()
            if len(self._open) <= self._most + SPARE:
                self._new[wire] = self._clock.now() + FIRST_LIMIT
                while await self._exchange(wire):
                    wire.http.start_next_cycle()
        except (OSError, NotWrittenError, h11.ProtocolError) as error:
            log.debug("a client's connection broke: %s: %s", type(error).__name__, error)
        except asyncio.CancelledError:
            pass  # only `close` does that
        except Exception:
            log.exception("a client's connection failed")
        finally:
            self._open.discard(wire)
            self._usual.discard(wire)
            self._new.pop(wire, None)
            await wire.close()
            self._tasks.discard(task)

    def _make_room(self) -> None:
        """Who was turned away or brought no job goes first: a crowd of these must not cost a usual client."""
        waiting = (wire for wire in itertools.chain(self._idlers, self._idle) if wire.quiet())
        victim = next(itertools.chain(self._dismissed, waiting, self._new), None)
        if victim:
            for kept in (self._dismissed, self._idlers, self._idle, self._new):
                kept.pop(victim, None)
            # Its own task lets go of it a little later; counted until then, it would keep the house full.
            self._open.discard(victim)
            victim.writer.transport.close()

    async def _exchange(self, wire: Wire) -> bool:
        """One request and its answer; false when the connection is to end."""
        if not await self._begun(wire):
            return False
        begun = self._clock.now()
        taken, size = None, 0
        try:
            until = self._new.get(wire, begun + READ_LIMIT)
            async with asyncio.timeout(self._clock.seconds_to(until)):
                head = await wire.event()
                if not isinstance(head, h11.Request):
                    return False
                if (room := length_of(head)) > self._bytes_left:
                    raise UnfitError(503, "full")
                size = room
                self._bytes_left -= size
                taken = await self._take(wire, head)
            answer = await self._answered(wire, taken, self._clock.now() - begun)
            if answer is None:
                return False
        except UnfitError as error:
            answer = Answer(error.status, f"{error}\n".encode(), allow=error.allow)
        except TooLargeError:
            answer = Answer(413, f"over {MAX_BODY} bytes\n".encode())
        except TimeoutError:
            answer = Answer(408, b"the request did not end\n")
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint if error.error_status_hint in REASONS else 400
            answer = Answer(status, b"malformed\n")
        finally:
            self._bytes_left += size
        # What cannot be used ends the connection, whatever else waits on it: what follows may be
        # part of it, and who is told no and asks again at once is to pay for a new connection.
        unfit = taken is None or 400 <= answer.status < 500
        close = unfit or self._leaving or len(self._open) > self._most
        data = encoded(wire, answer, close, bodiless=taken is not None and taken.head.method == b"HEAD")
        async with asyncio.timeout(WRITE_LIMIT.total_seconds()):
            await wire.write(data)
        if unfit:
            await self._linger(wire)
        return not close and wire.http.our_state is h11.DONE and wire.http.their_state is h11.DONE

    async def _begun(self, wire: Wire) -> bool:
        """Waits for the first bytes of a request."""
        if wire.http.trailing_data[0]:
            return True
        until = self._new.get(wire, self._clock.now() + IDLE_LIMIT)
        waiting = self._idle if wire in self._usual else self._idlers
        waiting[wire] = None
        try:
            async with asyncio.timeout(self._clock.seconds_to(until)):
                return await wire.fill()
        except TimeoutError:
            return False
        finally:
            waiting.pop(wire, None)

    async def _take(self, wire: Wire, head: h11.Request) -> Taken:
        if wire.http.they_are_waiting_for_100_continue:
            await wire.write(wire.encode(h11.InformationalResponse(status_code=100, headers=[])))
        body = await wire.body()
        self._new.pop(wire, None)
        return Taken(head, body)

    async def _answered(self, wire: Wire, taken: Taken, age: timedelta) -> Answer | None:
        """None: the client has gone, and nobody is left to answer."""
        if taken.head.target == READY:
            if taken.head.method != b"GET":
                raise UnfitError(405, "only GET here", allow="GET")
            return Answer(200, b"ready\n") if self._ready else Answer(503, b"leaving\n")
        request = request_of(taken, self._classes, self._clock, age)
        self._usual.add(wire)
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
                if len(wire.http.trailing_data[0]) > AHEAD:  # far too much: stop listening
                    await asyncio.Event().wait()

    async def _linger(self, wire: Wire) -> None:
        """Closing on unread bytes would reset the connection and take the answer along."""
        self._dismissed[wire] = None
        try:
            wire.writer.write_eof()
            left = LINGER_BYTES
            async with asyncio.timeout(LINGER.total_seconds()):
                while left > 0 and (data := await wire.reader.read(MAX_BODY)):
                    left -= len(data)
        except (OSError, TimeoutError):
            pass
        finally:
            self._dismissed.pop(wire, None)
