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
from rookwood.net.connection_limits import Room
from rookwood.net.http1 import MAX_BODY, NotWrittenError, TooLargeError, Wire
from rookwood.net.listener import accepting
from rookwood.net.messages import REASONS, Taken, UnfitError, class_of, encoded, length_of, request_of
from rookwood.net.phase import ServiceState
from rookwood.net.request import InboundRequest, Response
from rookwood.net.stats import RequestStats

log = logging.getLogger(__name__)

IDLE_LIMIT = timedelta(seconds=120)  # between requests
# From connecting to the end of the first request. Some write it for 2 s; others are owed an end within 3 s.
FIRST_LIMIT = timedelta(seconds=2.6)
READ_LIMIT = timedelta(seconds=3)  # for the rest of a later request that has begun, however it trickles in
WRITE_LIMIT = timedelta(seconds=10)
LINGER = timedelta(milliseconds=500)  # so that a client still sending can read its answer
LINGER_BYTES = 512 * 1024  # read and dropped meanwhile; who sends more is cut off
AHEAD = 128 * 1024  # bytes kept of what comes while a request is served; clients send one at a time
BREATH = timedelta(milliseconds=2)  # between two reads of what is dropped: 64 KiB each, some 30 MB a second
POLL = timedelta(milliseconds=20)
SETTLE = timedelta(milliseconds=100)
YOUNG = timedelta(milliseconds=300)
READY = b"/-/ready"


def readiness(service: ServiceState) -> Response:
    """The same at either address."""
    return Response(200 if service.ready else 503, f"{service.phase.value}\n".encode())


Serve = Callable[[InboundRequest], Awaitable[Response]]


class Inbound:
    """Owns the listener and every client connection."""

    def __init__(
        self,
        clock: Clock,
        serve: Serve,
        classes: Collection[str],
        room: Room,
        full: Callable[[], bool],
        retry_after: timedelta | None,
        most_bytes: int,
        service: ServiceState,
        figures: RequestStats,
    ) -> None:
        self._clock, self._serve, self._classes = clock, serve, classes
        self.most, self._room, self._full, self._retry_after = room.half, room, full, retry_after
        self._service, self._figures = service, figures
        self._bytes_left = most_bytes  # for the bodies of requests in hand
        self._open: set[Wire] = set()
        # Waiting for a request, longest first, with their time limits: who brought a job before; who did not.
        self._idle: dict[Wire, asyncio.Timeout] = {}
        self._idlers: dict[Wire, asyncio.Timeout] = {}
        self._new: dict[Wire, datetime] = {}  # owes its first request until then, longest first
        self._usual: set[Wire] = set()  # has brought a job
        self._dismissed: dict[Wire, None] = {}  # told to go, but still there
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._mover: asyncio.Task[None] | None = None

    async def listen(self, listener: socket.socket) -> None:
        self._server = await accepting(listener, self._connection, self._room.accepts)
        self._mover = asyncio.create_task(self._move())

    async def _move(self) -> None:
        """Moves clients off while the process drains or leaves: as their answers go out, and whoever stands
        idle. Nobody is cut off: what has just come in is still served."""
        while True:
            await self._service.until_moving()
            for wire, limit in (*self._idlers.items(), *self._idle.items()):
                # A newcomer's first bytes are on their way: closing now would lose its job.
                young = wire in self._new and self._clock.now() < self._new[wire] - FIRST_LIMIT + YOUNG
                if not (young or limit.expired()):
                    limit.reschedule(0)  # its own task ends the connection, or finds that a request has come
            await asyncio.sleep(POLL.total_seconds())

    def stop(self) -> None:
        """Accepts no more; who is here is still served."""
        if self._server:
            self._server.close()

    async def empty(self) -> None:
        """Returns once every client's connection has ended."""
        await asyncio.sleep(SETTLE.total_seconds())  # what was just accepted is not counted at once
        while self._open:
            await asyncio.sleep(POLL.total_seconds())

    async def close(self) -> None:
        self.stop()
        tasks = [*self._tasks, *([self._mover] if self._mover else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task
        self._tasks.add(task)
        wire = Wire(h11.Connection(h11.SERVER), reader, writer)
        self._open.add(wire)
        try:
            if len(self._open) > self.most:
                self._make_room()
            if len(self._open) <= self.most + self._room.spare:
                self._new[wire] = self._clock.now() + FIRST_LIMIT
                while await self._exchange(wire):
                    wire.http.start_next_cycle()
                await self._linger(wire)
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
        # Then newcomers amid a request: one that writes slowly is heard now and then, one that stalls is not.
        stalled = sorted(self._new, key=lambda wire: wire.heard)
        victim = next(itertools.chain(self._dismissed, waiting, stalled), None)
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
        asked, taken, size = None, None, 0
        try:
            until = self._new.get(wire, self._clock.now() + READ_LIMIT)
            async with asyncio.timeout(self._clock.seconds_to(until)):
                head = await wire.event()
                if not isinstance(head, h11.Request):
                    return False
                asked = head
                if (room := length_of(head)) > self._bytes_left:
                    raise UnfitError(503, "full")
                size = room
                self._bytes_left -= size
                taken = await self._take(wire, head)
            answer = await self._answered(wire, taken)
            if answer is None:
                return False
        except UnfitError as error:
            answer = Response(error.status, f"{error}\n".encode(), allow=error.allow)
        except TooLargeError:
            answer = Response(413, f"over {MAX_BODY} bytes\n".encode())
        except TimeoutError:
            answer = Response(408, b"the request did not end\n")
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint if error.error_status_hint in REASONS else 400
            answer = Response(status, b"malformed\n")
        finally:
            self._bytes_left += size
        if asked:
            with contextlib.suppress(UnfitError):  # no job
                self._figures.ended(class_of(asked, self._classes), answer.status)
        # What cannot be used ends the connection, whatever else waits on it: what follows may be
        # part of it, and who is told no and asks again at once is to pay for a new connection.
        unfit = taken is None or 400 <= answer.status < 500 or wire.flooded
        # What a client has sent ahead was taken, so it is answered before the connection may end.
        close = unfit or ((self._service.moving or len(self._open) > self.most) and wire.quiet())
        data = encoded(wire, answer, close, bodiless=taken is not None and taken.head.method == b"HEAD")
        async with asyncio.timeout(WRITE_LIMIT.total_seconds()):
            await wire.write(data)
        return not close and wire.http.our_state is h11.DONE and wire.http.their_state is h11.DONE

    async def _begun(self, wire: Wire) -> bool:
        """Waits for the first bytes of a request."""
        if wire.http.trailing_data[0]:
            return True
        until = self._new.get(wire, self._clock.now() + IDLE_LIMIT)
        waiting = self._idle if wire in self._usual else self._idlers
        try:
            async with asyncio.timeout(self._clock.seconds_to(until)) as limit:
                waiting[wire] = limit
                return await wire.fill() > 0
        except TimeoutError:
            return not wire.quiet()  # it has come in this very moment, and is served
        finally:
            waiting.pop(wire, None)

    async def _take(self, wire: Wire, head: h11.Request) -> Taken:
        if wire.http.they_are_waiting_for_100_continue:
            await wire.write(wire.encode(h11.InformationalResponse(status_code=100, headers=[])))
        body = await wire.body()
        self._new.pop(wire, None)
        return Taken(head, body)

    async def _answered(self, wire: Wire, taken: Taken) -> Response | None:
        """None: the client has gone, and nobody is left to answer."""
        if taken.head.target == READY:
            if taken.head.method != b"GET":
                raise UnfitError(405, "only GET here", allow="GET")
            # The next process has this address as well: whoever asks here asks about both.
            return Response(200, b"ready\n") if self._service.succeeded else readiness(self._service)
        request = request_of(taken, self._classes, self._clock)
        # One that was sent ahead has waited behind the others since its last byte came.
        request = replace(request, deadline=request.deadline - wire.waited(), left=wire.left)
        self._usual.add(wire)
        if self._service.is_rejecting:
            return Response(503, b"draining\n", self._retry_after)
        if self._full() or len(self._open) > self.most:
            return Response(503, b"full\n", self._retry_after)
        serving = asyncio.ensure_future(self._serve(request))
        gone = asyncio.ensure_future(self._gone(wire))
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

    async def _gone(self, wire: Wire) -> None:
        """Ends when the client closes. What it sends ahead is kept for later; what is far too much of that is
        read all the same, since the end comes behind it, but no request can be made out in it any more."""
        kept = len(wire.http.trailing_data[0])
        self._bytes_left -= kept
        try:
            with contextlib.suppress(ConnectionError):
                while not wire.flooded and (size := await wire.fill()):
                    part = max(0, min(size, self._bytes_left))
                    kept, self._bytes_left = kept + part, self._bytes_left - part
                    wire.flooded = part < size or kept > AHEAD
                while wire.flooded and await wire.reader.read(MAX_BODY):
                    await asyncio.sleep(BREATH.total_seconds())  # however fast it sends, others are served
        finally:
            self._bytes_left += kept

    async def _linger(self, wire: Wire) -> None:
        """The end of a connection from this side. Closing on unread bytes would reset it and take an answer
        on its way along; what comes after the shutdown is read, and none of it served."""
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
