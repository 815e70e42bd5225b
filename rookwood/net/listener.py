"""Listening sockets: how they are made, and how asyncio accepts on them."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

from rookwood.net.destinations import Address

RECEIVE_BUFFER = 32 * 1024  # of the kernel, for each peer: asyncio reads all of it in one go
BACKLOG = 512  # waiting in the kernel

Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def bind_listener(address: Address, shared: bool = False) -> socket.socket:
    # asyncio sets TCP_NODELAY only where the protocol is named, and what is accepted here inherits that name.
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:  # where no running process hands its listener over, a new one can still start beside it
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        listener.bind((address.host, address.port))
        listener.setblocking(False)
    except BaseException:
        listener.close()
        raise
    return listener


async def accepting(listener: socket.socket, handler: Handler, accepts: int) -> asyncio.Server:
    """Takes the socket over. asyncio accepts up to `backlog` connections in one go, before any of them is
    counted: hundreds at once would take all descriptors. So few at a time; the rest wait in the kernel."""
    try:
        server = await asyncio.start_server(handler, sock=listener, backlog=accepts)
        listener.listen(BACKLOG)
    except BaseException:
        listener.close()
        raise
    return server
