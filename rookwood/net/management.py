"""The management address for operators: readiness, stats and drains, with one call a connection."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable, Mapping
from datetime import timedelta

import h11

from rookwood.net.clock import Clock
from rookwood.net.connection_limits import MANAGEMENT_ACCEPT_BATCH, ConnectionLimits
from rookwood.net.http1 import HttpStream, NotWrittenError, TooLargeError
from rookwood.net.listener import start_server
from rookwood.net.messages import REASONS, InvalidRequestError, encode_response
from rookwood.net.request import Response

log = logging.getLogger(__name__)

CALL_TIMEOUT = timedelta(milliseconds=800)  # from connecting to the end; callers give up after 1 s
MAX_CALL_BODY = 4096  # bytes; no call uses its body

CallTable = Mapping[tuple[bytes, bytes], Callable[[], Response]]  # by method and path


class Management:
    """Owns the listener of the management address and all its connections."""

    def __init__(self, clock: Clock, calls: CallTable, limits: ConnectionLimits) -> None:
        self._clock, self._calls, self._limits = clock, calls, limits
        self._server: asyncio.Server | None = None
        self._connections: dict[asyncio.Task[None], None] = {}  # oldest first

    async def listen(self, listener: socket.socket) -> None:
        """Accept connections on the listener."""
        self._server = await start_server(listener, self._handle_connection, MANAGEMENT_ACCEPT_BATCH)

    async def close(self) -> None:
        """Close the listener and all connections."""
        if self._server:
            self._server.close()
        for task in self._connections:
            task.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)

    async def _handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task
        if len(self._connections) >= self._limits.management_connections:
            # Calls take almost no time, so the oldest connection sends none and must not block others.
            oldest = next(iter(self._connections))
            del self._connections[oldest]
            oldest.cancel()
        self._connections[task] = None
        stream = HttpStream(h11.Connection(h11.SERVER), reader, writer)
        try:
            async with asyncio.timeout(CALL_TIMEOUT.total_seconds()):
                await stream.write(encode_response(stream, await self._respond(stream), close=True))
                # Closing with unread bytes would reset the connection, and the response would be lost.
                writer.write_eof()
                while await reader.read(MAX_CALL_BODY):
                    pass
        except (OSError, NotWrittenError, h11.ProtocolError, asyncio.CancelledError) as error:
            log.debug("a management call ended early: %s: %s", type(error).__name__, error)
        except Exception:
            log.exception("a management call failed")
        finally:
            self._connections.pop(task, None)
            await stream.close()

    async def _respond(self, stream: HttpStream) -> Response:
        """Read a call and return its response."""
        try:
            head = await stream.next_event()
            if not isinstance(head, h11.Request):
                raise ConnectionResetError("closed before a call was received")
            await stream.read_body(MAX_CALL_BODY)
            return self._call(head.method, head.target.partition(b"?")[0])
        except InvalidRequestError as error:
            return Response(error.status, f"{error}\n".encode(), allow=error.allow)
        except TooLargeError:
            return Response(413, f"over {MAX_CALL_BODY} bytes\n".encode())
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint if error.error_status_hint in REASONS else 400
            return Response(status, b"malformed\n")

    def _call(self, method: bytes, path: bytes) -> Response:
        """Carry out a call; raises `InvalidRequestError` for an unknown one."""
        if call := self._calls.get((method, path)):
            try:
                return call()
            except Exception:
                log.exception("a management call failed")
                return Response(500, b"failed\n")
        allowed = [known.decode() for known, known_path in self._calls if known_path == path]
        if not allowed:
            raise InvalidRequestError(404, "no such call")
        raise InvalidRequestError(405, f"only {allowed[0]} here", allow=allowed[0])
