"""Serves the clients' connections: one request at a time on each, and its response."""

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
# From connecting to the end of the first request: some clients write it for 2 s, and a connection without a
# request must be closed within 3 s.
FIRST_REQUEST_TIMEOUT = timedelta(seconds=2.6)
READ_TIMEOUT = timedelta(seconds=3)  # from the first bytes of a later request to its end, however slow it is
WRITE_TIMEOUT = timedelta(seconds=10)
LINGER_TIMEOUT = timedelta(milliseconds=500)  # lets a client that is still sending read its response
MAX_LINGER_BYTES = 512 * 1024  # read and dropped meanwhile; a client that sends more is cut off
MAX_READ_AHEAD = 128 * 1024  # bytes kept while a request is served; clients send one request at a time
DISCARD_PAUSE = timedelta(milliseconds=2)  # between reads of dropped data: 64 KiB each, some 30 MB a second
POLL_INTERVAL = timedelta(milliseconds=20)
ACCEPT_DELAY = timedelta(milliseconds=100)  # until the handler of a connection just accepted has begun
NEW_CLIENT_GRACE = timedelta(milliseconds=300)  # for the first bytes of a new connection to arrive
READINESS_PATH = b"/-/ready"


def readiness_response(service: ServiceState) -> Response:
    """Return the response to a readiness check, the same at the clients' and the management address."""
    return Response(200 if service.is_ready else 503, f"{service.phase.value}\n".encode())


ServeRequest = Callable[[InboundRequest], Awaitable[Response]]


class Inbound:
    """Owns the listener for clients and all their connections."""

    def __init__(
        self,
        clock: Clock,
        serve: ServeRequest,
        classes: Collection[str],
        limits: ConnectionLimits,
        is_full: Callable[[], bool],
        retry_after: timedelta | None,
        max_body_bytes: int,
        service: ServiceState,
        stats: RequestStats,
    ) -> None:
        self._clock, self._serve, self._classes = clock, serve, classes
        self.max_connections, self._limits, self._is_full, self._retry_after = (
            limits.per_side,
            limits,
            is_full,
            retry_after,
        )
        self._service, self._stats = service, stats
        self._body_bytes_left = max_body_bytes  # for the bodies of all open requests
        self._streams: set[HttpStream] = set()
        # Connections that wait for a request, with their timeouts, longest first: those that have sent a job
        # before, and the others.
        self._idle_usual: dict[HttpStream, asyncio.Timeout] = {}
        self._idle_unproven: dict[HttpStream, asyncio.Timeout] = {}
        # Until when a new connection has to complete its first request; oldest first.
        self._first_request_due: dict[HttpStream, datetime] = {}
        self._usual_clients: set[HttpStream] = set()  # connections that have sent a job
        self._lingering: dict[HttpStream, None] = {}  # ended from this side, but not yet closed
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._closer: asyncio.Task[None] | None = None

    async def listen(self, listener: socket.socket) -> None:
        """Accept connections on the listener."""
        self._server = await start_server(listener, self._handle_connection, self._limits.accept_batch)
        self._closer = asyncio.create_task(self._close_idle_clients())

    async def _close_idle_clients(self) -> None:
        """Close idle connections while the process drains or shuts down.

        Busy connections end with their response instead. A request that has just arrived is still served.
        """
        while True:
            await self._service.wait_closing_clients()
            for stream, timeout in (*self._idle_unproven.items(), *self._idle_usual.items()):
                # The first bytes of a new connection are on their way: closing it now would lose the job.
                is_new = (
                    stream in self._first_request_due
                    and self._clock.now()
                    < self._first_request_due[stream] - FIRST_REQUEST_TIMEOUT + NEW_CLIENT_GRACE
                )
                if not (is_new or timeout.expired()):
                    timeout.reschedule(0)  # its own task closes the connection, unless a request has arrived
            await asyncio.sleep(POLL_INTERVAL.total_seconds())

    def stop(self) -> None:
        """Accept no further connections; those that are open are still served."""
        if self._server:
            self._server.close()

    async def wait_empty(self) -> None:
        """Return once all clients' connections have ended."""
        await asyncio.sleep(ACCEPT_DELAY.total_seconds())  # connections just accepted are counted later
        while self._streams:
            await asyncio.sleep(POLL_INTERVAL.total_seconds())

    async def close(self) -> None:
        """Close the listener and all connections."""
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
            pass  # only `close` cancels this task
        except Exception:
            log.exception("a client's connection failed")
        finally:
            self._streams.discard(stream)
            self._usual_clients.discard(stream)
            self._first_request_due.pop(stream, None)
            await stream.close()
            self._tasks.discard(task)

    def _evict_client(self) -> None:
        """Close one connection, if there is one to spare, to make room for a new one.

        Lingering connections and those without a job so far go first, so that many of them do not cost
        usual clients their connections.
        """
        idle = (
            stream for stream in itertools.chain(self._idle_unproven, self._idle_usual) if stream.is_idle()
        )
        # Next are new connections within their first request, the one that sent nothing for longest first: a
        # stalled client goes before one that writes slowly.
        stalled = sorted(self._first_request_due, key=lambda stream: stream.last_read)
        victim = next(itertools.chain(self._lingering, idle, stalled), None)
        if victim:
            for streams in (self._lingering, self._idle_unproven, self._idle_usual, self._first_request_due):
                streams.pop(victim, None)
            # Its own task removes it a little later; if it counted until then, the limit would stay reached.
            self._streams.discard(victim)
            victim.writer.transport.close()

    async def _exchange(self, stream: HttpStream) -> bool:
        """Serve one request; return False when the connection is to end."""
        if not await self._wait_for_request(stream):
            return False
        received_head, request, reserved = None, None, 0
        try:
            due = self._first_request_due.get(stream, self._clock.now() + READ_TIMEOUT)
            async with asyncio.timeout(self._clock.seconds_until(due)):
                head = await stream.next_event()
                if not isinstance(head, h11.Request):
                    return False
                received_head = head
                if (length := max_body_length(head)) > self._body_bytes_left:
                    raise InvalidRequestError(503, "full")
                reserved = length
                self._body_bytes_left -= reserved
                request = await self._read_request(stream, head)
            response = await self._respond(stream, request)
            if response is None:
                return False
        except InvalidRequestError as error:
            response = Response(error.status, f"{error}\n".encode(), allow=error.allow)
        except TooLargeError:
            response = Response(413, f"over {MAX_BODY} bytes\n".encode())
        except TimeoutError:
            response = Response(408, b"the request did not end\n")
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint if error.error_status_hint in REASONS else 400
            response = Response(status, b"malformed\n")
        finally:
            self._body_bytes_left += reserved
        if received_head:
            with contextlib.suppress(InvalidRequestError):  # not a job, so it is not counted
                self._stats.count_response(parse_job_class(received_head, self._classes), response.status)
        # An invalid request ends the connection whatever follows on it: the following bytes may belong to it,
        # and a client that sends it again at once should pay for a new connection.
        is_invalid = request is None or 400 <= response.status < 500 or stream.has_overflowed
        # Requests that the client sent ahead were read, so they get responses before the connection ends.
        close = is_invalid or (
            (self._service.is_closing_clients or len(self._streams) > self.max_connections)
            and stream.is_idle()
        )
        data = encode_response(
            stream, response, close, bodiless=request is not None and request.head.method == b"HEAD"
        )
        async with asyncio.timeout(WRITE_TIMEOUT.total_seconds()):
            await stream.write(data)
        return not close and stream.http.our_state is h11.DONE and stream.http.their_state is h11.DONE

    async def _wait_for_request(self, stream: HttpStream) -> bool:
        """Wait for the first bytes of a request; return False if none arrive."""
        if stream.http.trailing_data[0]:
            return True
        due = self._first_request_due.get(stream, self._clock.now() + IDLE_TIMEOUT)
        idle = self._idle_usual if stream in self._usual_clients else self._idle_unproven
        try:
            async with asyncio.timeout(self._clock.seconds_until(due)) as timeout:
                idle[stream] = timeout
                return await stream.read_once() > 0
        except TimeoutError:
            return not stream.is_idle()  # a request that arrived at this very moment is served
        finally:
            idle.pop(stream, None)

    async def _read_request(self, stream: HttpStream, head: h11.Request) -> RawRequest:
        """Read the body of a request, sending 100 Continue first if the client waits for it."""
        if stream.http.they_are_waiting_for_100_continue:
            await stream.write(stream.encode(h11.InformationalResponse(status_code=100, headers=[])))
        body = await stream.read_body()
        self._first_request_due.pop(stream, None)
        return RawRequest(head, body)

    async def _respond(self, stream: HttpStream, raw: RawRequest) -> Response | None:
        """Return the response to a request; None if the client has disconnected."""
        if raw.head.target == READINESS_PATH:
            if raw.head.method != b"GET":
                raise InvalidRequestError(405, "only GET here", allow="GET")
            # After a handover the next process listens at this address too, so the check is for either one.
            return (
                Response(200, b"ready\n")
                if self._service.is_handed_over
                else readiness_response(self._service)
            )
        request = parse_request(raw, self._classes, self._clock)
        # A request that was sent ahead has waited for the previous ones since its last byte arrived.
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
        disconnect = asyncio.ensure_future(self._wait_for_disconnect(stream))
        try:
            await asyncio.wait((serving, disconnect), return_when=asyncio.FIRST_COMPLETED)
            if not serving.done():
                return None
            return serving.result()
        except Exception:
            log.exception("a request failed")
            return Response(500, b"failed\n")
        finally:
            for task in (serving, disconnect):
                task.cancel()
            await asyncio.gather(serving, disconnect, return_exceptions=True)

    async def _wait_for_disconnect(self, stream: HttpStream) -> None:
        """Return when the client closes the connection.

        What it sends ahead is kept up to `MAX_READ_AHEAD`. Data beyond that is read and dropped, since the
        end of the stream comes after it; later requests are then lost, so the connection ends with the
        response.
        """
        buffered = len(stream.http.trailing_data[0])
        self._body_bytes_left -= buffered
        try:
            with contextlib.suppress(ConnectionError):
                while not stream.has_overflowed and (size := await stream.read_once()):
                    part = max(0, min(size, self._body_bytes_left))
                    buffered, self._body_bytes_left = buffered + part, self._body_bytes_left - part
                    stream.has_overflowed = part < size or buffered > MAX_READ_AHEAD
                while stream.has_overflowed and await stream.reader.read(MAX_BODY):
                    # The pause lets other clients be served however fast this one sends.
                    await asyncio.sleep(DISCARD_PAUSE.total_seconds())
        finally:
            self._body_bytes_left += buffered

    async def _linger(self, stream: HttpStream) -> None:
        """End a connection from this side: send the end of the stream, then read and drop what still arrives.

        Closing a socket with unread bytes would reset the connection, and a response under way would be lost.
        """
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
