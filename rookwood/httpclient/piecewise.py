"""Bodies that are written in pieces, since a transport copies whatever it can't send at once."""

from __future__ import annotations

from aiohttp.abc import AbstractStreamWriter
from aiohttp.payload import Payload

from rookwood.httpserver.responses import PIECE


class PiecewisePayload(Payload):
    """A body in memory; the next piece is written once the transport has room for it."""

    _value: memoryview
    _autoclose = True

    def __init__(self, value: memoryview) -> None:
        super().__init__(value, content_type="application/octet-stream")
        self._size = value.nbytes

    def decode(self, encoding: str = "utf-8", errors: str = "strict") -> str:
        """The body as text."""
        return bytes(self._value).decode(encoding, errors)

    async def write(self, writer: AbstractStreamWriter) -> None:
        """Write the whole body."""
        await self.write_with_length(writer, None)

    async def write_with_length(self, writer: AbstractStreamWriter, content_length: int | None) -> None:
        """Write the body, up to `content_length` bytes."""
        end = self._value.nbytes if content_length is None else content_length
        for start in range(0, end, PIECE):
            await writer.write(self._value[start : min(start + PIECE, end)])
            await writer.drain()
