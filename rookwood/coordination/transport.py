"""Framed messages between members over TCP: two connections for each pair and direction."""

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

from rookwood.coordination.codec import DecodeError, decode_message
from rookwood.coordination.framing import (
    LENGTH_BYTES,
    MAX_FRAME_BYTES,
    Lane,
    Preamble,
    carries_document,
    encode_frame,
    read_frame,
    read_preamble,
)
from rookwood.coordination.messages import Message
from rookwood.metrics.traffic import PEER_CORE, MessageTraffic

MAX_BUFFER_BYTES = MAX_FRAME_BYTES
MAX_QUEUE_FRAMES = 64
CONNECT_LIMIT = 0.5
RECONNECT_PAUSE = 0.2
DOCUMENTS_PAUSE = 1.0  # seconds between two attempts to open a connection for documents
SILENCE_LIMIT = 1.5
UNACKNOWLEDGED_LIMIT_MS = 1000
UNSENT_KERNEL_BYTES = 64 * 1024  # of a document that the kernel may hold beyond what is on its way

Receiver = Callable[[str, int, Message], None]


@dataclass
class Link:
    """An outgoing connection to one peer, with what waits for it."""

    lane: Lane
    writer: asyncio.StreamWriter | None = None
    queue: list[bytes] = field(default_factory=list)
    opening: asyncio.Task[None] | None = None
    watch: asyncio.Task[None] | None = None
    first_unanswered: float | None = None
    blocked_until: float = 0.0
    sending: Message | None = None
    waiting: dict[type[Message], Message] = field(default_factory=dict)
    flushing: asyncio.Task[None] | None = None


@dataclass(frozen=True)
class Incoming:
    """A connection that a peer opened, and the life of its process."""

    writer: asyncio.StreamWriter
    incarnation: int


class Transport:
    """Sends and receives messages; anything may be lost, which the protocol bears.

    Messages on one connection keep their order. Documents have a connection of their own, on which one is
    on its way and the newest of each kind waits for it.
    """

    def __init__(
        self,
        ip: str,
        incarnation: int,
        listen_ip: str,
        port: int,
        receiver: Receiver,
        on_disconnect: Callable[[str], None],
    ) -> None:
        self._ip = ip
        self._incarnation = incarnation
        self._listen_ip = listen_ip
        self._port = port
        self._receiver = receiver
        self._on_disconnect = on_disconnect
        self._links: dict[tuple[str, Lane], Link] = {}
        self._incoming: dict[tuple[str, Lane], Incoming] = {}
        self._readers: set[asyncio.Task[None]] = set()
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
        tasks = [*self._readers]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def send(self, to: str, message: Message) -> None:
        """Send a message, or queue it while the connection opens."""
        if self._closed:
            return
        now = asyncio.get_running_loop().time()
        if carries_document(message) and self._is_open_for_documents(to, now):
            self._send_document(self._link(to, Lane.DOCUMENTS), message, now)
            return
        link = self._link(to, Lane.CONTROL)
        self._drop_silent(link, now)
        frame = self._encode(message)
        if link.writer is not None:
            self._write(link, frame, now)
            self._start_opening_documents(to, now)
            return
        link.queue = [*link.queue, frame][-MAX_QUEUE_FRAMES:]
        self._start_opening(to, link, now)

    def takes_documents(self, peer: str) -> bool:
        """Tell whether the connection for documents is open to a peer that has opened its own."""
        link = self._links.get((peer, Lane.DOCUMENTS))
        return link is not None and link.writer is not None and (peer, Lane.DOCUMENTS) in self._incoming

    def open_links(self) -> int:
        """Return how many members a connection is open to."""
        return sum(link.writer is not None for link in self._links.values() if link.lane is Lane.CONTROL)

    def queued_bytes(self) -> int:
        """Return the bytes that wait for a connection or for the kernel, over all links."""
        waiting = sum(len(frame) for link in self._links.values() for frame in link.queue)
        return waiting + sum(writer.transport.get_write_buffer_size() for writer in self._writers())

    async def drain(self, limit: float) -> None:
        """Wait until what was sent has left this process, or the limit is over."""
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

    def _link(self, to: str, lane: Lane) -> Link:
        return self._links.setdefault((to, lane), Link(lane))

    def _is_open_for_documents(self, peer: str, now: float) -> bool:
        """Tell the same as `takes_documents`, and open a connection that ended by itself."""
        link = self._link(peer, Lane.DOCUMENTS)
        self._drop_silent(link, now)
        if link.writer is None and (peer, Lane.DOCUMENTS) in self._incoming:
            self._start_opening(peer, link, now)
        return self.takes_documents(peer)

    def _send_document(self, link: Link, message: Message, now: float) -> None:
        """Send a document, or let it wait in place of an earlier one while another is on its way."""
        if link.flushing is None:
            link.sending = message
            self._write(link, self._encode(message), now)
            link.flushing = asyncio.create_task(self._flush(link))
        elif message != link.sending:
            link.waiting[type(message)] = message

    async def _flush(self, link: Link) -> None:
        """Wait until the document has left this process, and send what waits."""
        writer = link.writer
        with suppress(OSError):
            while writer is not None and link.writer is writer:
                await writer.drain()
                if not link.waiting:
                    break
                link.sending = link.waiting.pop(next(iter(link.waiting)))
                self._write(link, self._encode(link.sending), asyncio.get_running_loop().time())
        if link.writer is writer:
            link.sending = None
            link.flushing = None

    def _write(self, link: Link, frame: bytes, now: float) -> None:
        writer = link.writer
        assert writer is not None
        if writer.transport.get_write_buffer_size() > MAX_BUFFER_BYTES or writer.is_closing():
            self._close_link(link)
            return
        writer.write(frame)
        if link.first_unanswered is None:
            link.first_unanswered = now

    def _drop_silent(self, link: Link, now: float) -> None:
        if link.first_unanswered is not None and now - link.first_unanswered > SILENCE_LIMIT:
            self._close_link(link)

    def _close_link(self, link: Link) -> None:
        writer, link.writer = link.writer, None
        link.first_unanswered = None
        link.sending = None
        link.waiting = {}
        if writer is not None:
            writer.transport.abort()
        if link.watch is not None:
            link.watch.cancel()
            link.watch = None
        if link.flushing is not None:
            link.flushing.cancel()
            link.flushing = None
        if link.opening is not None and self._closed:
            link.opening.cancel()

    def _start_opening(self, to: str, link: Link, now: float) -> None:
        if link.opening is None and now >= link.blocked_until:
            link.opening = asyncio.create_task(self._open(to, link))

    async def _open(self, to: str, link: Link) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_LIMIT):
                reader, writer = await asyncio.open_connection(to, self._port)
        except (OSError, TimeoutError):
            link.blocked_until = loop.time() + RECONNECT_PAUSE
            link.queue = []
            return
        finally:
            link.opening = None
        _prepare_socket(writer, link.lane)
        writer.write(Preamble(link.lane, self._ip, self._incarnation).encode())
        link.writer = writer
        link.watch = asyncio.create_task(self._watch(link, reader, writer))
        frames, link.queue = link.queue, []
        for frame in frames:
            if link.writer is not None:
                self._write(link, frame, loop.time())
        if link.lane is Lane.CONTROL:
            self._start_opening_documents(to, loop.time())

    def _start_opening_documents(self, to: str, now: float) -> None:
        """Open the connection for documents as well, which tells the peer that this member takes them.

        One that ended alone is opened again a while later; a member of the version before ends each.
        """
        link = self._link(to, Lane.DOCUMENTS)
        if link.writer is None and link.opening is None and now >= link.blocked_until:
            self._start_opening(to, link, now)
            link.blocked_until = now + DOCUMENTS_PAUSE

    async def _watch(self, link: Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError):
            await reader.read(1)
        if link.writer is writer:
            link.watch = None
            self._close_link(link)

    # Incoming connections

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._readers.add(task)
        preamble = None
        try:
            preamble = await read_preamble(reader)
            self._replace_incoming(preamble, writer)
            while True:
                message = await self._receive(reader)
                if not self._is_current(preamble, writer):
                    return  # what is still buffered here is of an earlier life, or of an older connection
                self._note_answer(preamble.sender)
                self._receiver(preamble.sender, preamble.incarnation, message)
        except (OSError, EOFError, DecodeError, UnicodeDecodeError):
            pass
        except asyncio.CancelledError:
            if not self._closed:
                raise
        finally:
            self._readers.discard(task)
            if preamble is not None and self._is_current(preamble, writer):
                self._end_incoming(preamble)
            writer.transport.abort()

    async def _receive(self, reader: asyncio.StreamReader) -> Message:
        body = await read_frame(reader)
        message = decode_message(body)
        self.traffic.received(PEER_CORE, type(message).__name__, LENGTH_BYTES + len(body))
        return message

    def _is_current(self, preamble: Preamble, writer: asyncio.StreamWriter) -> bool:
        incoming = self._incoming.get((preamble.sender, preamble.lane))
        return incoming is not None and incoming.writer is writer

    def _replace_incoming(self, preamble: Preamble, writer: asyncio.StreamWriter) -> None:
        """Take the newest connection of a peer, which also shows that it can be called at once.

        What an earlier life of the peer opened ends, on either lane.
        """
        for lane in Lane:
            previous = self._incoming.get((preamble.sender, lane))
            is_earlier_life = previous is not None and previous.incarnation != preamble.incarnation
            if previous is not None and (lane is preamble.lane or is_earlier_life):
                del self._incoming[preamble.sender, lane]
                previous.writer.transport.abort()
            if (preamble.sender, lane) in self._links:
                self._links[preamble.sender, lane].blocked_until = 0.0
        self._incoming[preamble.sender, preamble.lane] = Incoming(writer, preamble.incarnation)

    def _end_incoming(self, preamble: Preamble) -> None:
        del self._incoming[preamble.sender, preamble.lane]
        if preamble.lane is Lane.CONTROL and not self._closed:
            self._on_disconnect(preamble.sender)

    def _note_answer(self, sender: str) -> None:
        for lane in Lane:
            link = self._links.get((sender, lane))
            if link is not None:
                link.first_unanswered = None


def _prepare_socket(writer: asyncio.StreamWriter, lane: Lane) -> None:
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS)
    if lane is Lane.DOCUMENTS:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, UNSENT_KERNEL_BYTES)
        writer.transport.set_write_buffer_limits(high=0)
