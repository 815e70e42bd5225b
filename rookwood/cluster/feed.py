"""Links that carry updates from control machines to dispatchers and to each other, over TCP.

A link may be cut without a word from the network, so both sides send heartbeats and close a link on
which nothing arrived for a while. What a slow reader has not taken yet waits in a bounded outbox, where newer
states take the place of older ones.
"""

from __future__ import annotations

import asyncio
import logging
import random
import socket
from collections.abc import Callable, Hashable, Iterable
from typing import Protocol

from rookwood.cluster.frames import HEADER, FrameError, decode_message, encode_frame, frame_type, read_header
from rookwood.cluster.invariants import INVARIANTS, Invariant
from rookwood.cluster.messages import Heartbeat, Hello, Message
from rookwood.cluster.outbox import Never, Outbox, subject_of
from rookwood.cluster.position import NO_CONFIGURATION, ConfigurationPosition
from rookwood.metrics.traffic import FEED_TRAFFIC, PEER_CORE, PEER_UNIDENTIFIED, peer_kind

logger = logging.getLogger("rookwood")

HEARTBEAT_INTERVAL = 0.4
SILENCE_LIMIT = 1.4
MESSAGE_LIMIT = 15.0  # seconds for one message, as long as its bytes keep coming
CONNECT_LIMIT = 0.5
RECONNECT_PAUSE = 0.2
RECONNECT_SPREAD = (0.5, 1.5)  # of the pause; links that broke together do not all come back at once
UNSENT_LIMIT = 64 * 1024  # bytes that are handed to the transport before others wait in the outbox
UNSENT_LOW = 16 * 1024  # bytes below which the transport is handed more
KERNEL_BUFFER = 32 * 1024  # bytes that the kernel may keep unsent for a link; Linux doubles it
OUTBOX_LIMIT = 1024 * 1024  # bytes that may wait before what no later message replaces ends the link
QUEUE_BOUND = 4 * OUTBOX_LIMIT  # bytes that may wait at all: one of each state and what nothing replaces
READ_CHUNK = 64 * 1024

LINK_ERRORS = (OSError, EOFError, FrameError, asyncio.TimeoutError)


def _prepare(writer: asyncio.StreamWriter) -> None:
    connection = writer.get_extra_info("socket")
    if connection is not None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER)
    writer.transport.set_write_buffer_limits(high=UNSENT_LIMIT, low=UNSENT_LOW)


class Connection:
    """One open link: frames out, messages in."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer
        self._outbox = Outbox()
        self._flushing: asyncio.Task[None] | None = None
        self._part_received_at: float | None = None
        self.hello: Hello | None = None
        self.position = NO_CONFIGURATION  # of the configuration by which the peer serves
        self.peer_kind = PEER_UNIDENTIFIED
        _prepare(writer)

    @property
    def queued_bytes(self) -> int:
        """Bytes that wait in this process."""
        return self._writer.transport.get_write_buffer_size() + self._outbox.size

    def send(self, message: Message) -> None:
        """Send one message, or queue it."""
        self.send_frame(encode_frame(message), subject_of(message))

    def send_frame(self, frame: bytes, subject: Hashable | Never | None = None) -> None:
        """Send a frame at once, or queue it under its subject where the peer reads slowly."""
        if self._writer.is_closing():
            return
        if self._flushing is None and self._fits(frame):
            self._write(frame)
        elif subject is not Never.QUEUED:
            self._queue(frame, subject)

    def _write(self, frame: bytes) -> None:
        FEED_TRAFFIC.sent(self.peer_kind, frame_type(frame), len(frame))
        self._writer.write(frame)

    def _fits(self, frame: bytes) -> bool:
        return self._writer.transport.get_write_buffer_size() + len(frame) <= UNSENT_LIMIT

    def _queue(self, frame: bytes, subject: Hashable | None) -> None:
        if subject is None and self._outbox and self._outbox.size + len(frame) > OUTBOX_LIMIT:
            self.abort()
            return
        self._outbox.put(subject, frame)
        detail = f"{self._outbox.size} bytes for {self.hello}"
        INVARIANTS.check(self._outbox.size <= QUEUE_BOUND, Invariant.LINK_QUEUE_BOUNDED, detail)
        if self._flushing is None:
            self._flushing = asyncio.create_task(self._flush())

    async def _flush(self) -> None:
        try:
            while self._outbox:
                await self._write_in_pieces(self._outbox.take())
        except OSError:
            self.abort()
        finally:
            self._flushing = None

    async def _write_in_pieces(self, frame: bytes) -> None:
        """Hand a frame to the transport as it drains, since that copies whatever it can't send at once."""
        FEED_TRAFFIC.sent(self.peer_kind, frame_type(frame), len(frame))
        for start in range(0, len(frame), UNSENT_LIMIT):
            await self._writer.drain()
            self._writer.write(frame[start : start + UNSENT_LIMIT])

    async def receive(self) -> Message:
        """The next message; raises one of LINK_ERRORS, also after SILENCE_LIMIT without a byte."""
        async with asyncio.timeout(SILENCE_LIMIT):
            header = await self._reader.readexactly(HEADER.size)
        length, number = read_header(header)
        body = await self._read_body(length)
        message = decode_message(number, body)
        self._count_received(type(message).__name__, HEADER.size + length)
        return message

    async def _read_body(self, length: int) -> bytes:
        body = bytearray()
        try:
            async with asyncio.timeout(MESSAGE_LIMIT):
                while len(body) < length:
                    self._part_received_at = asyncio.get_running_loop().time()
                    async with asyncio.timeout(SILENCE_LIMIT):
                        body += await self._read_some(length - len(body))
        finally:
            self._part_received_at = None
        return bytes(body)

    def is_receiving(self, now: float, within: float) -> bool:
        """Whether a part of a message came in the last seconds, and the rest is awaited."""
        return self._part_received_at is not None and now - self._part_received_at < within

    async def _read_some(self, most: int) -> bytes:
        data = await self._reader.read(min(most, READ_CHUNK))
        if not data:
            raise EOFError("the peer closed the link within a message")
        return data

    def abort(self) -> None:
        """Close without waiting for what is queued."""
        if self._flushing is not None:
            self._flushing.cancel()
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
        self.send_to(list(self._connections), message)

    @staticmethod
    def send_to(connections: Iterable[Connection], message: Message) -> None:
        """Send one message to some subscribers, encoded once."""
        frame = encode_frame(message)
        subject = subject_of(message)
        for connection in connections:
            connection.send_frame(frame, subject)

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
                message = await connection.receive()
                if isinstance(message, Heartbeat):
                    connection.position = message.position
                self._handler.received(connection, message)
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


PositionReader = Callable[[], ConfigurationPosition]
"""Tells the position of the configuration in force, for heartbeats."""


def read_no_position() -> ConfigurationPosition:
    """For machines that serve by no configuration."""
    return NO_CONFIGURATION


class FeedLink:
    """Keeps a subscription to one control machine open."""

    def __init__(
        self,
        peer: str,
        port: int,
        hello: Hello,
        handler: LinkHandler,
        position: PositionReader = read_no_position,
    ) -> None:
        self.peer = peer
        self._position = position
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
            try:
                await self._attempt()
            except Exception:
                logger.exception("link failed", extra={"peer": self.peer})
            await asyncio.sleep(RECONNECT_PAUSE * random.uniform(*RECONNECT_SPREAD))

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
            position = self._position()
            sent_at = asyncio.get_running_loop().time()
            connection.send(Heartbeat(self._hello.identity, position.epoch, position.sequence, sent_at))


class LinkSet:
    """The links to all control machines that are known: the seeds and whoever these name."""

    def __init__(
        self,
        port: int,
        hello: Hello,
        handler: LinkHandler,
        own_ip: str,
        position: PositionReader = read_no_position,
    ) -> None:
        self._position = position
        self._port = port
        self._hello = hello
        self._handler = handler
        self._own_ip = own_ip
        self._links: dict[str, FeedLink] = {}

    def want(self, peers: Iterable[str]) -> None:
        """Open links to these peers and close those to others."""
        wanted = {peer for peer in peers if peer != self._own_ip}
        for peer in wanted - self._links.keys():
            self._links[peer] = FeedLink(peer, self._port, self._hello, self._handler, self._position)
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
