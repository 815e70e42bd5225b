"""Chunked bodies as they go over the wire, and connections that end with a reset; without an HTTP library."""

from __future__ import annotations

import asyncio
import socket
import struct

RESET_AT_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, for no time


def encode_chunk(data: bytes) -> bytes:
    """One chunk of a body; an empty one ends the body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


LAST_CHUNK = encode_chunk(b"")


def encode_chunks(*parts: bytes) -> bytes:
    """A whole body: a chunk for each part that is not empty, and the last one."""
    return b"".join(encode_chunk(part) for part in parts if part) + LAST_CHUNK


def reset_at_close(writer: asyncio.StreamWriter) -> None:
    """Let a connection end with a reset once it is closed."""
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset; what is not with the kernel yet is not sent."""
    reset_at_close(writer)
    writer.transport.abort()
