"""The second address, for those who run the dispatcher: readiness, figures, drain. One call a connection."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable, Mapping
from datetime import timedelta

import h11

from rookwood.net.clock import Clock
from rookwood.net.connection_limits import CALL_ACCEPTS, Room
from rookwood.net.http1 import NotWrittenError, TooLargeError, Wire
from rookwood.net.listener import accepting
from rookwood.net.messages import REASONS, UnfitError, encoded
from rookwood.net.request import Response

log = logging.getLogger(__name__)

CALL_LIMIT = timedelta(milliseconds=800)  # from connecting to the end: later than 1 s is too late
MAX_CALL = 4096  # bytes of a call's body; there is no use for any

Calls = Mapping[tuple[bytes, bytes], Callable[[], Response]]  # by method and path


class Management:
    """Owns the second listener and every connection on it."""

    def __init__(self, clock: Clock, calls: Calls, room: Room) -> None:
        self._clock, self._calls, self._room = clock, calls, room
        self._server: asyncio.Server | None = None
        self._callers: dict[asyncio.Task[None], None] = {}  # longest here first

    async def listen(self, listener: socket.socket) -> None:
        self._server = await accepting(listener, self._connection, CALL_ACCEPTS)

    async def close(self) -> None:
        if self._server:
            self._server.close()
        for task in self._callers:
            task.cancel()
        await asyncio.gather(*self._callers, return_exceptions=True)

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task
        if len(self._callers) >= self._room.callers:
            # Calls take next to no time, so the longest here says nothing: it must not keep others out.
            longest = next(iter(self._callers))
            del self._callers[longest]
            longest.cancel()
        self._callers[task] = None
        wire = Wire(h11.Connection(h11.SERVER), reader, writer)
        try:
            async with asyncio.timeout(CALL_LIMIT.total_seconds()):
                await wire.write(encoded(wire, await self._answer(wire), close=True))
                # Closing on unread bytes would reset the connection and take the answer along.
                writer.write_eof()
                while await reader.read(MAX_CALL):
                    pass
        except (OSError, NotWrittenError, h11.ProtocolError, asyncio.CancelledError) as error:
            log.debug("a call ended early: %s: %s", type(error).__name__, error)
        except Exception:
            log.exception("a call failed")
        finally:
            self._callers.pop(task, None)
            await wire.close()

    async def _answer(self, wire: Wire) -> Response:
        try:
            head = await wire.event()
            if not isinstance(head, h11.Request):
                raise ConnectionResetError("no call came")
            await wire.body(MAX_CALL)
            return self._called(head.method, head.target.partition(b"?")[0])
        except UnfitError as error:
            return Response(error.status, f"{error}\n".encode(), allow=error.allow)
        except TooLargeError:
            return Response(413, f"over {MAX_CALL} bytes\n".encode())
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint if error.error_status_hint in REASONS else 400
            return Response(status, b"malformed\n")

    def _called(self, method: bytes, path: bytes) -> Response:
        if call := self._calls.get((method, path)):
            try:
                return call()
            except Exception:
                log.exception("a call failed")
                return Response(500, b"failed\n")
        allowed = [known.decode() for known, place in self._calls if place == path]
        if not allowed:
            raise UnfitError(404, "no such call")
        raise UnfitError(405, f"only {allowed[0]} here", allow=allowed[0])
