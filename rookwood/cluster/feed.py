"""Links that carry updates from control machines to dispatchers and to each other, over TCP.

A link may be cut without a word from the network, so both sides send heartbeats and close a link on
which nothing arrived for a while. Slow readers are disconnected instead of being buffered for.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterable
from typing import Protocol

from rookwood.cluster.messages import (
    FrameError,
    Heartbeat,
    Hello,
    Message,
    encode_frame,
    frame_type,
    read_message,
)
from rookwood.metrics.traffic import FEED_TRAFFIC, PEER_CORE, PEER_UNIDENTIFIED, peer_kind

HEARTBEAT_INTERVAL = 0.4
SILENCE_LIMIT = 1.4
CONNECT_LIMIT = 0.5
RECONNECT_PAUSE = 0.2
WRITE_BUFFER_LIMIT = 8 * 1024 * 1024

LINK_ERRORS = (OSError, EOFError, FrameError, asyncio.TimeoutError)


def _send_at_once(writer: asyncio.StreamWriter) -> None:
    connection = writer.get_extra_info("socket")
    if connection is not None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class Connection:
    """One open link: frames out, messages in."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer
        self.hello: Hello | None = None
        self.peer_kind = PEER_UNIDENTIFIED
        _send_at_once(writer)

    @property
    def queued_bytes(self) -> int:
        """Bytes that were sent by the process and not yet taken by the kernel."""
        return self._writer.transport.get_write_buffer_size()

    def send_frame(self, frame: bytes) -> None:
        """Queue a frame; a link whose peer does not read is dropped."""
        if self._writer.is_closing():
            return
        self._writer.write(frame)
        FEED_TRAFFIC.sent(self.peer_kind, frame_type(frame), len(frame))
        if self._writer.transport.get_write_buffer_size() > WRITE_BUFFER_LIMIT:
            self.abort()

    def send(self, message: Message) -> None:
        """Queue one message."""
        self.send_frame(encode_frame(message))

    async def receive(self) -> Message:
        """The next message; raises one of LINK_ERRORS, also after SILENCE_LIMIT without any."""
        async with asyncio.timeout(SILENCE_LIMIT):
            return await read_message(self._reader, self._count_received)

    def abort(self) -> None:
        """Close without waiting for what is queued."""
        self._writer.transport.abort()

    def _count_received(self, message_type: str, size: int) -> None:
        FEED_TRAFFIC.received(self.peer_kind, message_type, size)


class FeedHandler(Protocol):
    """What a feed server calls."""

    def greeting(self, connection: Connection) -> Iterable[Message]:
        """The messages that a new subscriber gets first."""

    def received(self, connection: Connection, message: Message) -> None:
        """A subscriber sent a message."""

    def lost(self, connection: Connection) -> None:
        """A subscriber's link ended."""


class FeedServer:
    """Accepts subscribers and sends every update to each of them."""

    def __init__(self, handler: FeedHandler) -> None:
        self._handler = handler
        self._connections: set[Connection] = set()
        self._server: asyncio.Server | None = None

    @property
    def connections(self) -> frozenset[Connection]:
        """The subscribers that have said hello."""
        return frozenset(self._connections)

    async def start(self, ip: str, port: int) -> None:
        """Listen at the address."""
        self._server = await asyncio.start_server(self._serve, ip, port)

    async def stop(self) -> None:
        """Stop listening and drop all subscribers."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.abort()

    def broadcast(self, message: Message) -> None:
        """Send one message to all subscribers, encoded once."""
        if not self._connections:
            return
        frame = encode_frame(message)
        for connection in list(self._connections):
            connection.send_frame(frame)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(reader, writer)
        try:
            hello = await connection.receive()
            if not isinstance(hello, Hello):
                return
            connection.hello = hello
            connection.peer_kind = peer_kind(hello.tier)
            self._connections.add(connection)
            for message in self._handler.greeting(connection):
                connection.send(message)
            while True:
                self._handler.received(connection, await connection.receive())
        except LINK_ERRORS:
            pass
        finally:
            connection.abort()
            if connection in self._connections:
                self._connections.discard(connection)
                self._handler.lost(connection)


class LinkHandler(Protocol):
    """What a feed link calls; `peer` is the IP that the link leads to."""

    def linked(self, peer: str, connection: Connection) -> None:
        """The link is open."""

    def received(self, peer: str, message: Message) -> None:
        """A message arrived."""

    def unlinked(self, peer: str) -> None:
        """The link is gone; it is opened again by itself."""


class FeedLink:
    """Keeps a subscription to one control machine open."""

    def __init__(self, peer: str, port: int, hello: Hello, handler: LinkHandler) -> None:
        self.peer = peer
        self._port = port
        self._hello = hello
        self._handler = handler
        self.connection: Connection | None = None
        self._task = asyncio.create_task(self._run())

    def close(self) -> None:
        """End the subscription."""
        self._task.cancel()

    async def _run(self) -> None:
        while True:
            await self._attempt()
            await asyncio.sleep(RECONNECT_PAUSE)

    async def _attempt(self) -> None:
        try:
            async with asyncio.timeout(CONNECT_LIMIT):
                reader, writer = await asyncio.open_connection(self.peer, self._port)
        except (OSError, TimeoutError):
            return
        connection = Connection(reader, writer)
        connection.peer_kind = PEER_CORE
        connection.send(self._hello)
        beats = asyncio.create_task(self._send_heartbeats(connection))
        self.connection = connection
        try:
            self._handler.linked(self.peer, connection)
            while True:
                self._handler.received(self.peer, await connection.receive())
        except LINK_ERRORS:
            pass
        finally:
            self.connection = None
            beats.cancel()
            connection.abort()
            self._handler.unlinked(self.peer)

    async def _send_heartbeats(self, connection: Connection) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL)
            connection.send(Heartbeat(self._hello.identity))


class LinkSet:
    """The links to all control machines that are known: the seeds and whoever these name."""

    def __init__(self, port: int, hello: Hello, handler: LinkHandler, own_ip: str) -> None:
        self._port = port
        self._hello = hello
        self._handler = handler
        self._own_ip = own_ip
        self._links: dict[str, FeedLink] = {}

    def want(self, peers: Iterable[str]) -> None:
        """Open links to these peers and close those to others."""
        wanted = {peer for peer in peers if peer != self._own_ip}
        for peer in wanted - self._links.keys():
            self._links[peer] = FeedLink(peer, self._port, self._hello, self._handler)
        for peer in self._links.keys() - wanted:
            self._links.pop(peer).close()

    @property
    def peers(self) -> frozenset[str]:
        """All peers to which links are kept, open or not."""
        return frozenset(self._links)

    def connection(self, peer: str) -> Connection | None:
        """The open link to a peer, if there is one."""
        link = self._links.get(peer)
        return link.connection if link else None

    def connections(self) -> list[Connection]:
        """All open links."""
        return [link.connection for link in self._links.values() if link.connection is not None]

    def close(self) -> None:
        """Close all links."""
        for link in self._links.values():
            link.close()
        self._links.clear()
