"""Large responses, which are written in pieces."""

from __future__ import annotations

from aiohttp import web

from rookwood.memory_budget import SMALL_BODY

PIECE = 64 * 1024  # bytes written at once


def large_size(response: web.Response) -> int:
    """The bytes of a body in memory."""
    return len(response.body) if isinstance(response.body, bytes | bytearray) else 0


def is_large(response: web.Response) -> bool:
    """Whether a response should be written in pieces."""
    return large_size(response) > SMALL_BODY


async def write_in_pieces(client: web.BaseRequest, response: web.Response) -> web.StreamResponse:
    """Send a large response piece by piece, since the transport copies whatever it can't send at once."""
    assert isinstance(response.body, bytes | bytearray)
    body = memoryview(response.body)
    pieces = web.StreamResponse(status=response.status, headers=response.headers)
    pieces.content_length = body.nbytes
    if not response.keep_alive and response.keep_alive is not None:
        pieces.force_close()
    await pieces.prepare(client)
    if client.method != "HEAD":
        await write_pieces(pieces, body)
    await pieces.write_eof()
    return pieces


async def write_pieces(response: web.StreamResponse, data: memoryview) -> None:
    """Write data piece by piece, each once the transport has room for it."""
    for start in range(0, data.nbytes, PIECE):
        await response.write(data[start : start + PIECE])
