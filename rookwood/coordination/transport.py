"""Framed messages between members over TCP, with two connections for each pair and direction."""

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

from rookwood.coordination.codec import DecodeError, decode_message
from rookwood.coordination.framing import (
    LENGTH_BYTES,
    MAX_FRAME_BYTES,
    Channel,
    Preamble,
    carries_document,
    encode_frame,
    read_frame,
    read_preamble,
)
from rookwood.coordination.messages import Message
from rookwood.memory_budget import Holding, MemoryBudget, Purpose
from rookwood.metrics.traffic import PEER_CORE, MessageTraffic

MAX_BUFFER_BYTES = MAX_FRAME_BYTES  # unsent bytes on a connection beyond which it is closed
MAX_QUEUE_FRAMES = 64  # frames kept for a connection that is being opened; the oldest are dropped
CONNECT_TIMEOUT = 0.5  # seconds
RECONNECT_DELAY = 0.2  # seconds from a failed attempt to open a connection to the next
DOCUMENT_RECONNECT_DELAY = 1.0  # seconds between two attempts to open a document channel
KERNEL_RECEIVE_BUFFER = 256 * 1024  # bytes that the kernel keeps unread; Linux doubles it
MAX_INCOMING = 64  # connections that others opened; a group has nine members at most, with two each
SILENCE_LIMIT = 1.5  # seconds after which a peer that sent nothing back counts as unresponsive
UNACKNOWLEDGED_TIMEOUT_MS = 1000  # for sent data; TCP then closes the connection
UNSENT_KERNEL_BYTES = 64 * 1024  # unsent bytes of a document that the kernel may buffer

Receiver = Callable[[str, int, Message], None]


@dataclass
class Link:
    """An outgoing connection to a peer, and the messages that wait for it.

    `queue` holds frames until the connection is open. On a document channel, `sending_document` is in
    transmission, and `waiting_documents` has the newest document of each message type behind it.
    `unanswered_since` is when the first message was sent after the last one from the peer.
    """

    channel: Channel
    writer: asyncio.StreamWriter | None = None
    queue: list[bytes] = field(default_factory=list)
    open_task: asyncio.Task[None] | None = None
    watch_task: asyncio.Task[None] | None = None
    unanswered_since: float | None = None
    next_attempt_at: float = 0.0
    sending_document: Message | None = None
    waiting_documents: dict[type[Message], Message] = field(default_factory=dict)
    flush_task: asyncio.Task[None] | None = None


@dataclass(frozen=True)
class IncomingConnection:
    """A connection that a peer opened, and the incarnation of the peer."""

    writer: asyncio.StreamWriter
    incarnation: int


class Transport:
    """Sends and receives messages, any of which may be lost; the protocol tolerates that.

    Messages on one connection keep their order. Documents have a channel of their own. It transmits one at a
    time, and keeps only the newest waiting document of each message type.
    """

    def __init__(
        self,
        ip: str,
        incarnation: int,
        listen_ip: str,
        port: int,
        receiver: Receiver,
        on_disconnect: Callable[[str], None],
        budget: MemoryBudget | None = None,
    ) -> None:
        """`budget`: owns the memory of the process; a frame that finds no room closes its connection."""
        self._budget = budget
        self._ip = ip
        self._incarnation = incarnation
        self._listen_ip = listen_ip
        self._port = port
        self._receiver = receiver
        self._on_disconnect = on_disconnect
        self._links: dict[tuple[str, Channel], Link] = {}
        self._incoming: dict[tuple[str, Channel], IncomingConnection] = {}
        self._connection_tasks: set[asyncio.Task[None]] = set()
        self._unidentified: dict[asyncio.StreamWriter, None] = {}  # without a preamble, oldest first
        self._server: asyncio.Server | None = None
        self._closed = False
        self.traffic = MessageTraffic()

    async def start(self) -> None:
        """Listen for other members."""
        self._server = await asyncio.start_server(self._serve, self._listen_ip, self._port)

    async def stop(self) -> None:
        """Close every connection."""
        self._closed = True
        if self._server is not None:
            self._server.close()
        for link in self._links.values():
            self._close_link(link)
        tasks = [*self._connection_tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def send(self, to: str, message: Message) -> None:
        """Send a message, or queue it while the connection opens."""
        if self._closed:
            return
        now = asyncio.get_running_loop().time()
        if carries_document(message) and self._ensure_document_channel(to, now):
            self._send_document(self._link(to, Channel.DOCUMENTS), message, now)
            return
        link = self._link(to, Channel.CONTROL)
        self._close_if_unresponsive(link, now)
        frame = self._encode(message)
        if link.writer is not None:
            self._write(link, frame, now)
            self._open_document_channel(to, now)
            return
        link.queue = [*link.queue, frame][-MAX_QUEUE_FRAMES:]
        self._start_opening(to, link, now)

    def has_document_channel(self, peer: str) -> bool:
        """Return whether the document channel is open in both directions."""
        link = self._links.get((peer, Channel.DOCUMENTS))
        return link is not None and link.writer is not None and (peer, Channel.DOCUMENTS) in self._incoming

    def open_links(self) -> int:
        """Return the number of members to which a control channel is open."""
        return sum(
            link.writer is not None for link in self._links.values() if link.channel is Channel.CONTROL
        )

    def queued_bytes(self) -> int:
        """Return the bytes that wait for a connection or for the kernel, on all links together."""
        waiting = sum(len(frame) for link in self._links.values() for frame in link.queue)
        return waiting + sum(writer.transport.get_write_buffer_size() for writer in self._writers())

    async def drain(self, limit: float) -> None:
        """Wait until all sent messages have left this process, at most `limit` seconds."""
        with suppress(TimeoutError, ConnectionError):
            async with asyncio.timeout(limit):
                for writer in self._writers():
                    await writer.drain()

    def _writers(self) -> list[asyncio.StreamWriter]:
        return [link.writer for link in self._links.values() if link.writer is not None]

    def _encode(self, message: Message) -> bytes:
        frame = encode_frame(message)
        self.traffic.sent(PEER_CORE, type(message).__name__, len(frame))
        return frame

    # Outgoing connections

    def _link(self, to: str, channel: Channel) -> Link:
        return self._links.setdefault((to, channel), Link(channel))

    def _ensure_document_channel(self, peer: str, now: float) -> bool:
        """Return `has_document_channel`; reopen this member's side if only that one was closed."""
        link = self._link(peer, Channel.DOCUMENTS)
        self._close_if_unresponsive(link, now)
        if link.writer is None and (peer, Channel.DOCUMENTS) in self._incoming:
            self._start_opening(peer, link, now)
        return self.has_document_channel(peer)

    def _send_document(self, link: Link, message: Message, now: float) -> None:
        """Send a document, or let it replace the waiting one while another is in transmission."""
        if link.flush_task is None:
            link.sending_document = message
            self._write(link, self._encode(message), now)
            link.flush_task = asyncio.create_task(self._flush(link))
        elif message != link.sending_document:
            link.waiting_documents[type(message)] = message

    async def _flush(self, link: Link) -> None:
        """Wait until the document has left this process, then send the waiting ones."""
        writer = link.writer
        with suppress(OSError):
            while writer is not None and link.writer is writer:
                await writer.drain()
                if not link.waiting_documents:
                    break
                link.sending_document = link.waiting_documents.pop(next(iter(link.waiting_documents)))
                self._write(link, self._encode(link.sending_document), asyncio.get_running_loop().time())
        if link.writer is writer:
            link.sending_document = None
            link.flush_task = None

    def _write(self, link: Link, frame: bytes, now: float) -> None:
        writer = link.writer
        assert writer is not None
        if writer.transport.get_write_buffer_size() > MAX_BUFFER_BYTES or writer.is_closing():
            self._close_link(link)
            return
        writer.write(frame)
        if link.unanswered_since is None:
            link.unanswered_since = now

    def _close_if_unresponsive(self, link: Link, now: float) -> None:
        if link.unanswered_since is not None and now - link.unanswered_since > SILENCE_LIMIT:
            self._close_link(link)

    def _close_link(self, link: Link) -> None:
        writer, link.writer = link.writer, None
        link.unanswered_since = None
        link.sending_document = None
        link.waiting_documents = {}
        if writer is not None:
            writer.transport.abort()
        if link.watch_task is not None:
            link.watch_task.cancel()
            link.watch_task = None
        if link.flush_task is not None:
            link.flush_task.cancel()
            link.flush_task = None
        if link.open_task is not None and self._closed:
            link.open_task.cancel()

    def _start_opening(self, to: str, link: Link, now: float) -> None:
        if link.open_task is None and now >= link.next_attempt_at:
            link.open_task = asyncio.create_task(self._open(to, link))

    async def _open(self, to: str, link: Link) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                reader, writer = await asyncio.open_connection(to, self._port)
        except (OSError, TimeoutError):
            link.next_attempt_at = loop.time() + RECONNECT_DELAY
            link.queue = []
            return
        finally:
            link.open_task = None
        _prepare_socket(writer, link.channel)
        writer.write(Preamble(link.channel, self._ip, self._incarnation).encode())
        link.writer = writer
        link.watch_task = asyncio.create_task(self._close_when_peer_closes(link, reader, writer))
        frames, link.queue = link.queue, []
        for frame in frames:
            if link.writer is not None:
                self._write(link, frame, loop.time())
        if link.channel is Channel.CONTROL:
            self._open_document_channel(to, loop.time())

    def _open_document_channel(self, to: str, now: float) -> None:
        """Open the document channel too, which shows the peer that this member accepts documents on it.

        A document channel that was closed by itself is opened again after a delay, since a member of the
        previous version closes each one.
        """
        link = self._link(to, Channel.DOCUMENTS)
        if link.writer is None and link.open_task is None and now >= link.next_attempt_at:
            self._start_opening(to, link, now)
            link.next_attempt_at = now + DOCUMENT_RECONNECT_DELAY

    async def _close_when_peer_closes(
        self, link: Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(OSError):
            await reader.read(1)
        if link.writer is writer:
            link.watch_task = None
            self._close_link(link)

    # Incoming connections

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connection_tasks.add(task)
        self._unidentified[writer] = None
        connection = writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_RECEIVE_BUFFER)
        self._limit_incoming()
        preamble = None
        try:
            preamble = await read_preamble(reader)
            self._unidentified.pop(writer, None)
            self._replace_incoming(preamble, writer)
            while True:
                message = await self._receive(reader)
                if not self._is_current(preamble, writer):
                    return  # the rest belongs to an earlier incarnation or a replaced connection
                self._record_reply(preamble.sender)
                self._receiver(preamble.sender, preamble.incarnation, message)
        except (OSError, EOFError, DecodeError, UnicodeDecodeError):
            pass
        except asyncio.CancelledError:
            if not self._closed:
                raise
        finally:
            self._connection_tasks.discard(task)
            self._unidentified.pop(writer, None)
            if preamble is not None and self._is_current(preamble, writer):
                self._remove_incoming(preamble)
            writer.transport.abort()

    def _limit_incoming(self) -> None:
        """Close the connection that has waited longest for its preamble if there are too many."""
        if len(self._connection_tasks) > MAX_INCOMING:
            oldest = next(iter(self._unidentified))
            del self._unidentified[oldest]
            oldest.transport.abort()

    async def _receive(self, reader: asyncio.StreamReader) -> Message:
        if self._budget is None:
            body = await read_frame(reader)
            message = decode_message(body)
        else:
            with Holding(self._budget, Purpose.LINK) as memory:
                body = await read_frame(reader, memory)
                message = decode_message(body)
        self.traffic.received(PEER_CORE, type(message).__name__, LENGTH_BYTES + len(body))
        return message

    def _is_current(self, preamble: Preamble, writer: asyncio.StreamWriter) -> bool:
        incoming = self._incoming.get((preamble.sender, preamble.channel))
        return incoming is not None and incoming.writer is writer

    def _replace_incoming(self, preamble: Preamble, writer: asyncio.StreamWriter) -> None:
        """Replace the connection of a peer by a newer one, and allow reconnecting to the peer at once.

        Connections of an earlier incarnation of the peer are closed on both channels.
        """
        for channel in Channel:
            previous = self._incoming.get((preamble.sender, channel))
            is_earlier_incarnation = previous is not None and previous.incarnation != preamble.incarnation
            if previous is not None and (channel is preamble.channel or is_earlier_incarnation):
                del self._incoming[preamble.sender, channel]
                previous.writer.transport.abort()
            if (preamble.sender, channel) in self._links:
                self._links[preamble.sender, channel].next_attempt_at = 0.0
        self._incoming[preamble.sender, preamble.channel] = IncomingConnection(writer, preamble.incarnation)

    def _remove_incoming(self, preamble: Preamble) -> None:
        del self._incoming[preamble.sender, preamble.channel]
        if preamble.channel is Channel.CONTROL and not self._closed:
            self._on_disconnect(preamble.sender)

    def _record_reply(self, sender: str) -> None:
        for channel in Channel:
            link = self._links.get((sender, channel))
            if link is not None:
                link.unanswered_since = None


def _prepare_socket(writer: asyncio.StreamWriter, channel: Channel) -> None:
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
    if channel is Channel.DOCUMENTS:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, UNSENT_KERNEL_BYTES)
        writer.transport.set_write_buffer_limits(high=0)
