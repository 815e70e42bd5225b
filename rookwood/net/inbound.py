"""The client's side: connections in, one request at a time on each, answers out."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import logging
import socket
from collections.abc import Awaitable, Callable, Collection
from dataclasses import replace
from datetime import datetime, timedelta

import h11

from rookwood.net.clock import Clock
from rookwood.net.connection_limits import ConnectionLimits
from rookwood.net.http1 import MAX_BODY, HttpStream, NotWrittenError, TooLargeError
from rookwood.net.listener import start_server
from rookwood.net.messages import (
    REASONS,
    InvalidRequestError,
    RawRequest,
    encode_response,
    max_body_length,
    parse_job_class,
    parse_request,
)
from rookwood.net.phase import ServiceState
from rookwood.net.request import InboundRequest, Response
from rookwood.net.stats import RequestStats

log = logging.getLogger(__name__)

IDLE_TIMEOUT = timedelta(seconds=120)  # between requests
# From connecting to the end of the first request. Some write it for 2 s; others are owed an end within 3 s.
FIRST_REQUEST_TIMEOUT = timedelta(seconds=2.6)
READ_TIMEOUT = timedelta(seconds=3)  # for the rest of a later request that has begun, however it trickles in
WRITE_TIMEOUT = timedelta(seconds=10)
LINGER_TIMEOUT = timedelta(milliseconds=500)  # so that a client still sending can read its answer
MAX_LINGER_BYTES = 512 * 1024  # read and dropped meanwhile; who sends more is cut off
MAX_READ_AHEAD = 128 * 1024  # bytes kept of what comes while a request is served; clients send one at a time
DISCARD_PAUSE = timedelta(
    milliseconds=2
)  # between two reads of what is dropped: 64 KiB each, some 30 MB a second
POLL_INTERVAL = timedelta(milliseconds=20)
ACCEPT_DELAY = timedelta(milliseconds=100)
NEW_CLIENT_GRACE = timedelta(milliseconds=300)
READINESS_PATH = b"/-/ready"


def readiness_response(service: ServiceState) -> Response:
    """The same at either address."""
    return Response(200 if service.is_ready else 503, f"{service.phase.value}\n".encode())


ServeRequest = Callable[[InboundRequest], Awaitable[Response]]


class Inbound:
    """Owns the listener and every client connection."""

    def __init__(
        self,
        clock: Clock,
        serve: ServeRequest,
        classes: Collection[str],
        room: ConnectionLimits,
        full: Callable[[], bool],
        retry_after: timedelta | None,
        most_bytes: int,
        service: ServiceState,
        figures: RequestStats,
    ) -> None:
        self._clock, self._serve, self._classes = clock, serve, classes
        self.max_connections, self._limits, self._is_full, self._retry_after = (
            room.per_side,
            room,
            full,
            retry_after,
        )
        self._service, self._stats = service, figures
        self._body_bytes_left = most_bytes  # for the bodies of requests in hand
        self._streams: set[HttpStream] = set()
        # Waiting for a request, longest first, with their time limits: who brought a job before; who did not.
        self._idle_usual: dict[HttpStream, asyncio.Timeout] = {}
        self._idle_unproven: dict[HttpStream, asyncio.Timeout] = {}
        self._first_request_due: dict[
            HttpStream, datetime
        ] = {}  # owes its first request until then, longest first
        self._usual_clients: set[HttpStream] = set()  # has brought a job
        self._lingering: dict[HttpStream, None] = {}  # told to go, but still there
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._closer: asyncio.Task[None] | None = None

    async def listen(self, listener: socket.socket) -> None:
        self._server = await start_server(listener, self._handle_connection, self._limits.accept_batch)
        self._closer = asyncio.create_task(self._close_idle_clients())

    async def _close_idle_clients(self) -> None:
        """Moves clients off while the process drains or leaves: as their answers go out, and whoever stands
        idle. Nobody is cut off: what has just come in is still served."""
        while True:
            await self._service.wait_closing_clients()
            for stream, limit in (*self._idle_unproven.items(), *self._idle_usual.items()):
                # A newcomer's first bytes are on their way: closing now would lose its job.
                young = (
                    stream in self._first_request_due
                    and self._clock.now()
                    < self._first_request_due[stream] - FIRST_REQUEST_TIMEOUT + NEW_CLIENT_GRACE
                )
                if not (young or limit.expired()):
                    limit.reschedule(0)  # its own task ends the connection, or finds that a request has come
            await asyncio.sleep(POLL_INTERVAL.total_seconds())

    def stop(self) -> None:
        """Accepts no more; who is here is still served."""
        if self._server:
            self._server.close()

    async def wait_empty(self) -> None:
        """Returns once every client's connection has ended."""
        await asyncio.sleep(ACCEPT_DELAY.total_seconds())  # what was just accepted is not counted at once
        while self._streams:
            await asyncio.sleep(POLL_INTERVAL.total_seconds())

    async def close(self) -> None:
        self.stop()
        tasks = [*self._tasks, *([self._closer] if self._closer else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task
        self._tasks.add(task)
        stream = HttpStream(h11.Connection(h11.SERVER), reader, writer)
        self._streams.add(stream)
        try:
            if len(self._streams) > self.max_connections:
                self._evict_client()
            if len(self._streams) <= self.max_connections + self._limits.excess_clients:
                self._first_request_due[stream] = self._clock.now() + FIRST_REQUEST_TIMEOUT
                while await self._exchange(stream):
                    stream.http.start_next_cycle()
                await self._linger(stream)
        except (OSError, NotWrittenError, h11.ProtocolError) as error:
            log.debug("a client's connection broke: %s: %s", type(error).__name__, error)
        except asyncio.CancelledError:
            pass  # only `close` does that
        except Exception:
            log.exception("a client's connection failed")
        finally:
            self._streams.discard(stream)
            self._usual_clients.discard(stream)
            self._first_request_due.pop(stream, None)
            await stream.close()
            self._tasks.discard(task)

    def _evict_client(self) -> None:
        """Who was turned away or brought no job goes first: a crowd of these must not cost a usual client."""
        waiting = (
            stream for stream in itertools.chain(self._idle_unproven, self._idle_usual) if stream.is_idle()
        )
        # Then newcomers amid a request: one that writes slowly is heard now and then, one that stalls is not.
        stalled = sorted(self._first_request_due, key=lambda stream: stream.last_read)
        victim = next(itertools.chain(self._lingering, waiting, stalled), None)
        if victim:
            for kept in (self._lingering, self._idle_unproven, self._idle_usual, self._first_request_due):
                kept.pop(victim, None)
            # Its own task lets go of it a little later; counted until then, it would keep the house full.
            self._streams.discard(victim)
            victim.writer.transport.close()

    async def _exchange(self, stream: HttpStream) -> bool:
        """One request and its answer; false when the connection is to end."""
        if not await self._wait_for_request(stream):
            return False
        asked, taken, size = None, None, 0
        try:
            until = self._first_request_due.get(stream, self._clock.now() + READ_TIMEOUT)
            async with asyncio.timeout(self._clock.seconds_until(until)):
                head = await stream.next_event()
                if not isinstance(head, h11.Request):
                    return False
                asked = head
                if (room := max_body_length(head)) > self._body_bytes_left:
                    raise InvalidRequestError(503, "full")
                size = room
                self._body_bytes_left -= size
                taken = await self._read_request(stream, head)
            answer = await self._respond(stream, taken)
            if answer is None:
                return False
        except InvalidRequestError as error:
            answer = Response(error.status, f"{error}\n".encode(), allow=error.allow)
        except TooLargeError:
            answer = Response(413, f"over {MAX_BODY} bytes\n".encode())
        except TimeoutError:
            answer = Response(408, b"the request did not end\n")
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint if error.error_status_hint in REASONS else 400
            answer = Response(status, b"malformed\n")
        finally:
            self._body_bytes_left += size
        if asked:
            with contextlib.suppress(InvalidRequestError):  # no job
                self._stats.count_response(parse_job_class(asked, self._classes), answer.status)
        # What cannot be used ends the connection, whatever else waits on it: what follows may be
        # part of it, and who is told no and asks again at once is to pay for a new connection.
        unfit = taken is None or 400 <= answer.status < 500 or stream.has_overflowed
        # What a client has sent ahead was taken, so it is answered before the connection may end.
        close = unfit or (
            (self._service.is_closing_clients or len(self._streams) > self.max_connections)
            and stream.is_idle()
        )
        data = encode_response(
            stream, answer, close, bodiless=taken is not None and taken.head.method == b"HEAD"
        )
        async with asyncio.timeout(WRITE_TIMEOUT.total_seconds()):
            await stream.write(data)
        return not close and stream.http.our_state is h11.DONE and stream.http.their_state is h11.DONE

    async def _wait_for_request(self, stream: HttpStream) -> bool:
        """Waits for the first bytes of a request."""
        if stream.http.trailing_data[0]:
            return True
        until = self._first_request_due.get(stream, self._clock.now() + IDLE_TIMEOUT)
        waiting = self._idle_usual if stream in self._usual_clients else self._idle_unproven
        try:
            async with asyncio.timeout(self._clock.seconds_until(until)) as limit:
                waiting[stream] = limit
                return await stream.read_once() > 0
        except TimeoutError:
            return not stream.is_idle()  # it has come in this very moment, and is served
        finally:
            waiting.pop(stream, None)

    async def _read_request(self, stream: HttpStream, head: h11.Request) -> RawRequest:
        if stream.http.they_are_waiting_for_100_continue:
            await stream.write(stream.encode(h11.InformationalResponse(status_code=100, headers=[])))
        body = await stream.read_body()
        self._first_request_due.pop(stream, None)
        return RawRequest(head, body)

    async def _respond(self, stream: HttpStream, taken: RawRequest) -> Response | None:
        """None: the client has gone, and nobody is left to answer."""
        if taken.head.target == READINESS_PATH:
            if taken.head.method != b"GET":
                raise InvalidRequestError(405, "only GET here", allow="GET")
            # The next process has this address as well: whoever asks here asks about both.
            return (
                Response(200, b"ready\n")
                if self._service.is_handed_over
                else readiness_response(self._service)
            )
        request = parse_request(taken, self._classes, self._clock)
        # One that was sent ahead has waited behind the others since its last byte came.
        request = replace(
            request,
            deadline=request.deadline - stream.time_since_message(),
            is_client_gone=stream.is_peer_closed,
        )
        self._usual_clients.add(stream)
        if self._service.is_rejecting:
            return Response(503, b"draining\n", self._retry_after)
        if self._is_full() or len(self._streams) > self.max_connections:
            return Response(503, b"full\n", self._retry_after)
        serving = asyncio.ensure_future(self._serve(request))
        gone = asyncio.ensure_future(self._wait_for_disconnect(stream))
        try:
            await asyncio.wait((serving, gone), return_when=asyncio.FIRST_COMPLETED)
            if not serving.done():
                return None
            return serving.result()
        except Exception:
            log.exception("a request failed")
            return Response(500, b"failed\n")
        finally:
            for task in (serving, gone):
                task.cancel()
            await asyncio.gather(serving, gone, return_exceptions=True)

    async def _wait_for_disconnect(self, stream: HttpStream) -> None:
        """Ends when the client closes. What it sends ahead is kept for later; what is far too much of that is
        read all the same, since the end comes behind it, but no request can be made out in it any more."""
        kept = len(stream.http.trailing_data[0])
        self._body_bytes_left -= kept
        try:
            with contextlib.suppress(ConnectionError):
                while not stream.has_overflowed and (size := await stream.read_once()):
                    part = max(0, min(size, self._body_bytes_left))
                    kept, self._body_bytes_left = kept + part, self._body_bytes_left - part
                    stream.has_overflowed = part < size or kept > MAX_READ_AHEAD
                while stream.has_overflowed and await stream.reader.read(MAX_BODY):
                    await asyncio.sleep(
                        DISCARD_PAUSE.total_seconds()
                    )  # however fast it sends, others are served
        finally:
            self._body_bytes_left += kept

    async def _linger(self, stream: HttpStream) -> None:
        """The end of a connection from this side. Closing on unread bytes would reset it and take an answer
        on its way along; what comes after the shutdown is read, and none of it served."""
        self._lingering[stream] = None
        try:
            stream.writer.write_eof()
            left = MAX_LINGER_BYTES
            async with asyncio.timeout(LINGER_TIMEOUT.total_seconds()):
                while left > 0 and (data := await stream.reader.read(MAX_BODY)):
                    left -= len(data)
        except (OSError, TimeoutError):
            pass
        finally:
            self._lingering.pop(stream, None)
