"""Framed messages between members over TCP: one connection for each pair and direction."""

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

from rookwood.coordination.codec import DecodeError, decode_message, encode_message
from rookwood.coordination.messages import Message
from rookwood.metrics.traffic import PEER_CORE, MessageTraffic

PREAMBLE = b"RKC1"
LENGTH_BYTES = 4
INCARNATION_BYTES = 8
MAX_FRAME_BYTES = 8 << 20
MAX_BUFFER_BYTES = 8 << 20
MAX_QUEUE_FRAMES = 64
CONNECT_LIMIT = 0.5
RECONNECT_PAUSE = 0.2
SILENCE_LIMIT = 1.5
UNACKNOWLEDGED_LIMIT_MS = 1000
IDLE_LINK_SPAN = 30.0

Receiver = Callable[[str, int, Message], None]


@dataclass
class Link:
    """The outgoing connection to one peer, with frames that wait for it."""

    writer: asyncio.StreamWriter | None = None
    queue: list[bytes] = field(default_factory=list)
    opening: asyncio.Task[None] | None = None
    watch: asyncio.Task[None] | None = None
    first_unanswered: float | None = None
    used_at: float = 0.0
    blocked_until: float = 0.0


class Transport:
    """Sends and receives messages; anything may be lost, which the protocol bears."""

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
        self._links: dict[str, Link] = {}
        self._incoming: dict[str, asyncio.StreamWriter] = {}
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
        link = self._links.setdefault(to, Link())
        self._drop_silent(link, now)
        link.used_at = now
        body = encode_message(message)
        frame = len(body).to_bytes(LENGTH_BYTES) + body
        self.traffic.sent(PEER_CORE, type(message).__name__, len(frame))
        if link.writer is not None:
            self._write(link, frame, now)
            return
        link.queue = [*link.queue, frame][-MAX_QUEUE_FRAMES:]
        if link.opening is None and now >= link.blocked_until:
            link.opening = asyncio.create_task(self._open(to, link))

    def open_links(self) -> int:
        """Return how many connections to other members are open."""
        return sum(link.writer is not None for link in self._links.values())

    def queued_bytes(self) -> int:
        """Return the bytes that wait for a connection or for the kernel, over all links."""
        waiting = sum(len(frame) for link in self._links.values() for frame in link.queue)
        writers = [link.writer for link in self._links.values() if link.writer is not None]
        return waiting + sum(writer.transport.get_write_buffer_size() for writer in writers)

    async def drain(self, limit: float) -> None:
        """Wait until what was sent has left this process, or the limit is over."""
        writers = [link.writer for link in self._links.values() if link.writer is not None]
        with suppress(TimeoutError, ConnectionError):
            async with asyncio.timeout(limit):
                for writer in writers:
                    await writer.drain()

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
        if writer is not None:
            writer.transport.abort()
        if link.watch is not None:
            link.watch.cancel()
            link.watch = None
        if link.opening is not None and self._closed:
            link.opening.cancel()

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
        _prepare_socket(writer)
        writer.write(self._preamble())
        link.writer = writer
        link.watch = asyncio.create_task(self._watch(link, reader, writer))
        frames, link.queue = link.queue, []
        for frame in frames:
            if link.writer is not None:
                self._write(link, frame, loop.time())

    async def _watch(self, link: Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError):
            await reader.read(1)
        if link.writer is writer:
            link.watch = None
            self._close_link(link)

    def _preamble(self) -> bytes:
        address = self._ip.encode()
        return PREAMBLE + self._incarnation.to_bytes(INCARNATION_BYTES) + bytes((len(address),)) + address

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._readers.add(task)
        sender = None
        try:
            sender, incarnation = await _read_preamble(reader)
            self._replace_incoming(sender, writer)
            while True:
                message = await self._receive(reader)
                if self._incoming.get(sender) is not writer:
                    return  # what is still buffered here is of an earlier life, or of an older connection
                self._note_answer(sender)
                self._receiver(sender, incarnation, message)
        except (OSError, EOFError, DecodeError, UnicodeDecodeError):
            pass
        except asyncio.CancelledError:
            if not self._closed:
                raise
        finally:
            self._readers.discard(task)
            if sender is not None and self._incoming.get(sender) is writer:
                del self._incoming[sender]
                if not self._closed:
                    self._on_disconnect(sender)
            writer.transport.abort()

    async def _receive(self, reader: asyncio.StreamReader) -> Message:
        body = await _read_frame(reader)
        message = decode_message(body)
        self.traffic.received(PEER_CORE, type(message).__name__, LENGTH_BYTES + len(body))
        return message

    def _replace_incoming(self, sender: str, writer: asyncio.StreamWriter) -> None:
        """Take the newest connection of a peer, which also shows that it can be called at once."""
        previous = self._incoming.get(sender)
        self._incoming[sender] = writer
        if previous is not None:
            previous.transport.abort()
        if sender in self._links:
            self._links[sender].blocked_until = 0.0

    def _note_answer(self, sender: str) -> None:
        link = self._links.get(sender)
        if link is not None:
            link.first_unanswered = None


async def _read_preamble(reader: asyncio.StreamReader) -> tuple[str, int]:
    if await reader.readexactly(len(PREAMBLE)) != PREAMBLE:
        raise DecodeError("not a connection of a member")
    incarnation = int.from_bytes(await reader.readexactly(INCARNATION_BYTES))
    length = (await reader.readexactly(1))[0]
    return (await reader.readexactly(length)).decode(), incarnation


async def _read_frame(reader: asyncio.StreamReader) -> bytes:
    length = int.from_bytes(await reader.readexactly(LENGTH_BYTES))
    if length > MAX_FRAME_BYTES:
        raise DecodeError("frame too long")
    return await reader.readexactly(length)


def _prepare_socket(writer: asyncio.StreamWriter) -> None:
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS)
