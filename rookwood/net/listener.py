"""Creates listening sockets and accepts connections on them with asyncio."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

from rookwood.net.destinations import Address

RECEIVE_BUFFER = 32 * 1024  # in the kernel for each connection; asyncio reads all of it at once
BACKLOG = 512  # connections that wait in the kernel to be accepted

ConnectionHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def bind_listener(address: Address, shared: bool = False) -> socket.socket:
    """Create a socket bound to an address; if `shared`, other processes may bind to the address as well."""
    # asyncio sets TCP_NODELAY only on sockets created with IPPROTO_TCP, which accepted sockets inherit.
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:  # lets a new process start beside a running one that does not hand its listener over
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        listener.bind((address.host, address.port))
        listener.setblocking(False)
    except BaseException:
        listener.close()
        raise
    return listener


async def start_server(listener: socket.socket, handler: ConnectionHandler, accepts: int) -> asyncio.Server:
    """Accept connections on the socket, which the server then owns, at most `accepts` at a time.

    asyncio accepts up to `backlog` connections in one step of the event loop, before any of them is counted;
    hundreds of them could use up all descriptors. The others wait in the kernel's queue.
    """
    try:
        server = await asyncio.start_server(handler, sock=listener, backlog=accepts)
        listener.listen(BACKLOG)
    except BaseException:
        listener.close()
        raise
    return server
