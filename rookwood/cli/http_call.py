"""One HTTP call of a command: the answer is bounded in size, and the whole call in time."""

from __future__ import annotations

import http.client
import io
import socket
import threading
from contextlib import suppress
from dataclasses import dataclass
from typing import Any, cast

MAX_ANSWER_BYTES = 8 * 1024 * 1024  # with its head, all interim answers and what frames the body


@dataclass(frozen=True)
class HttpAnswer:
    """A complete answer."""

    status: int
    body: bytes


def call_http(address: str, path: str, method: str, limit: float) -> HttpAnswer:
    """Call `address`, of the form host:port, for `limit` seconds at most.

    Raises OSError if no complete answer of a bearable size came in time, and ValueError if `address` has
    another form.
    """
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=limit)
    connection.response_class = _BoundedResponse
    try:
        connection.connect()
        with _TimeLimit(connection.sock, limit) as time_limit:
            connection.request(method, path)
            answer = connection.getresponse()
            body = answer.read(MAX_ANSWER_BYTES)
            if time_limit.is_over:
                raise TimeoutError("timed out")
        if answer.length:
            raise OSError("the answer is too large, or not whole")
        return HttpAnswer(answer.status, body)
    except http.client.HTTPException as error:
        raise OSError(f"no sound answer: {error or type(error).__name__}") from error
    finally:
        connection.close()


class _BoundedResponse(http.client.HTTPResponse):
    """A response of which so many bytes are read at most, whatever they are."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        received = self.fp.detach()
        self.fp = io.BufferedReader(_BoundedReader(received))


class _BoundedReader(io.RawIOBase):
    """Reads from another one; raises OSError after `MAX_ANSWER_BYTES`."""

    def __init__(self, received: io.RawIOBase) -> None:
        self._received = received
        self._bytes_read = 0

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any) -> int | None:
        count = cast("int | None", self._received.readinto(buffer))
        self._bytes_read += count or 0
        if self._bytes_read > MAX_ANSWER_BYTES:
            raise OSError("the answer is too large")
        return count

    def close(self) -> None:
        self._received.close()
        super().close()


class _TimeLimit:
    """Shuts a socket down if the context lasts too long; a timeout of a socket is for each read alone."""

    def __init__(self, connection: socket.socket, seconds: float) -> None:
        self._connection = connection
        self._timer = threading.Timer(seconds, self._end)
        self.is_over = False

    def __enter__(self) -> _TimeLimit:
        self._timer.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._timer.cancel()

    def _end(self) -> None:
        self.is_over = True
        with suppress(OSError):
            self._connection.shutdown(socket.SHUT_RDWR)
