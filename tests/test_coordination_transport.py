"""The connections between members: invalid connections, restarts, unresponsive peers, document channels."""

import asyncio
import socket
import unittest
from unittest.mock import patch

from rookwood.coordination import transport as transport_module
from rookwood.coordination.codec import decode_message
from rookwood.coordination.document import Configuration, Document, Position
from rookwood.coordination.framing import Channel, Preamble, encode_frame, read_frame, read_preamble
from rookwood.coordination.messages import JoinRequest, Message, Write
from rookwood.coordination.transport import Transport
from rookwood.lab.free_ports import find_free_port

FIRST, SECOND = "127.0.0.1", "127.0.0.2"
TIMEOUT = 10.0
LARGE = 8_000_000  # bytes, more than the kernel accepts from a sender whose peer does not read


def preamble(ip: str, incarnation: int, channel: Channel = Channel.CONTROL) -> bytes:
    """Return the preamble that an incarnation of a member sends."""
    return Preamble(channel, ip, incarnation).encode()


def write_of(sequence: int, size: int = LARGE) -> Write:
    """Return a write of a document with a payload of this size."""
    return Write(Document(Position(1, sequence), Configuration(), bytes(size)))


class Inbox:
    """Queues of the messages and disconnects that a transport reported."""

    def __init__(self) -> None:
        self.received: asyncio.Queue[tuple[str, int, Message]] = asyncio.Queue()
        self.disconnects: asyncio.Queue[str] = asyncio.Queue()

    def receive(self, sender: str, incarnation: int, message: Message) -> None:
        """Record a message."""
        self.received.put_nowait((sender, incarnation, message))

    def record_disconnect(self, sender: str) -> None:
        """Record that a peer's connection ended."""
        self.disconnects.put_nowait(sender)

    async def next(self) -> tuple[str, int, Message]:
        """Return the next message."""
        async with asyncio.timeout(TIMEOUT):
            return await self.received.get()


class TransportTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.port = find_free_port(FIRST, SECOND)

    async def open(self, ip: str, incarnation: int) -> tuple[Transport, Inbox]:
        inbox = Inbox()
        transport = Transport(ip, incarnation, ip, self.port, inbox.receive, inbox.record_disconnect)
        await transport.start()
        self.addAsyncCleanup(transport.stop)
        return transport, inbox

    def open_raw_connection(self) -> socket.socket:
        """Open a raw socket to the first transport."""
        connection = socket.create_connection(("127.0.0.1", self.port))
        self.addCleanup(connection.close)
        return connection

    async def test_messages_arrive_with_their_sender_and_its_incarnation(self) -> None:
        first, _ = await self.open(FIRST, 11)
        _, inbox = await self.open(SECOND, 22)
        first.send(SECOND, JoinRequest(1))
        first.send(SECOND, JoinRequest(2))
        self.assertEqual(await inbox.next(), (FIRST, 11, JoinRequest(1)))
        self.assertEqual(await inbox.next(), (FIRST, 11, JoinRequest(2)))

    async def test_restarted_peer_is_reachable_again(self) -> None:
        first, inbox = await self.open(FIRST, 11)
        second, second_inbox = await self.open(SECOND, 22)
        first.send(SECOND, JoinRequest(1))
        await second_inbox.next()
        await second.stop()
        again, inbox_again = await self.open(SECOND, 23)
        again.send(FIRST, JoinRequest(5))
        self.assertEqual(await inbox.next(), (SECOND, 23, JoinRequest(5)))
        async with asyncio.timeout(TIMEOUT):
            while inbox_again.received.empty():
                first.send(SECOND, JoinRequest(2))
                again.send(FIRST, JoinRequest(6))
                await inbox.next()
        self.assertEqual(await inbox_again.next(), (FIRST, 11, JoinRequest(2)))

    async def test_frames_of_an_earlier_incarnation_are_dropped_once_a_later_one_is_connected(self) -> None:
        _, inbox = await self.open("127.0.0.1", 1)
        earlier = self.open_raw_connection()
        later = self.open_raw_connection()
        earlier.sendall(preamble("127.0.0.2", 22) + encode_frame(JoinRequest(1)))
        self.assertEqual(await inbox.next(), ("127.0.0.2", 22, JoinRequest(1)))
        # Both arrive before the event loop runs again, those of the later incarnation first.
        later.sendall(preamble("127.0.0.2", 23) + encode_frame(JoinRequest(2)))
        earlier.sendall(encode_frame(JoinRequest(3)))
        self.assertEqual(await inbox.next(), ("127.0.0.2", 23, JoinRequest(2)))
        later.sendall(encode_frame(JoinRequest(4)))
        self.assertEqual(await inbox.next(), ("127.0.0.2", 23, JoinRequest(4)))

    async def test_end_of_a_peer_is_reported(self) -> None:
        _, inbox = await self.open(FIRST, 11)
        second, _ = await self.open(SECOND, 22)
        second.send(FIRST, JoinRequest(1))
        await inbox.next()
        await second.stop()
        async with asyncio.timeout(TIMEOUT):
            self.assertEqual(await inbox.disconnects.get(), SECOND)

    async def test_connections_without_a_valid_preamble_or_frame_are_closed(self) -> None:
        first, _ = await self.open(FIRST, 11)
        _, inbox = await self.open(SECOND, 22)
        for invalid_start in (b"GET / HTTP/1.1\r\n\r\n", b"RKC1" + bytes(9) + b"\xff\xff\xff\xff"):
            reader, writer = await asyncio.open_connection(SECOND, self.port)
            writer.write(invalid_start)
            async with asyncio.timeout(TIMEOUT):
                with self.assertRaises((ConnectionError, asyncio.IncompleteReadError)):
                    await reader.readexactly(1)
            writer.close()
        first.send(SECOND, JoinRequest(1))
        self.assertEqual(await inbox.next(), (FIRST, 11, JoinRequest(1)))

    async def test_unresponsive_peer_is_reconnected(self) -> None:
        connections: asyncio.Queue[bytes] = asyncio.Queue()

        async def accept_without_reading(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            connections.put_nowait(await reader.readexactly(4))

        server = await asyncio.start_server(accept_without_reading, SECOND, self.port)
        self.addCleanup(server.close)
        first, _ = await self.open(FIRST, 11)
        first.send(SECOND, JoinRequest(1))
        async with asyncio.timeout(TIMEOUT):
            await connections.get()
            with patch.object(transport_module, "SILENCE_LIMIT", 0.0):
                first.send(SECOND, JoinRequest(2))
            await connections.get()

    async def test_messages_to_an_unreachable_peer_are_dropped(self) -> None:
        first, inbox = await self.open(FIRST, 11)
        for count in range(200):
            first.send(SECOND, JoinRequest(count))
        second, _ = await self.open(SECOND, 22)
        second.send(FIRST, JoinRequest(7))
        self.assertEqual(await inbox.next(), (SECOND, 22, JoinRequest(7)))


class Peer:
    """A fake member that accepts connections, and reads from them only what the test requests."""

    def __init__(self, ip: str, port: int) -> None:
        self._ip = ip
        self.port = port
        self._server: asyncio.Server | None = None
        self._opened_readers: dict[Channel, asyncio.Queue[asyncio.StreamReader]] = {
            channel: asyncio.Queue() for channel in Channel
        }
        self._writers: list[asyncio.StreamWriter] = []
        self._accepted_writers: dict[Channel, asyncio.StreamWriter] = {}

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._accept, self._ip, self.port)

    async def stop(self) -> None:
        """Close all connections."""
        assert self._server is not None
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def connect(self, ip: str, channel: Channel, incarnation: int = 22) -> asyncio.StreamWriter:
        """Open a connection to a member."""
        _, writer = await asyncio.open_connection(ip, self.port)
        self._writers.append(writer)
        writer.write(preamble(self._ip, incarnation, channel))
        return writer

    async def connection(self, channel: Channel) -> asyncio.StreamReader:
        """Return the next connection that a member opened on a channel."""
        async with asyncio.timeout(TIMEOUT):
            return await self._opened_readers[channel].get()

    def close_document_channel(self) -> None:
        """Close the document channel that a member opened."""
        self._accepted_writers[Channel.DOCUMENTS].transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.append(writer)
        channel = (await read_preamble(reader)).channel
        self._accepted_writers[channel] = writer
        self._opened_readers[channel].put_nowait(reader)


async def next_message(reader: asyncio.StreamReader) -> Message:
    """Read one message."""
    async with asyncio.timeout(TIMEOUT):
        return decode_message(await read_frame(reader))


class DocumentChannelTest(unittest.IsolatedAsyncioTestCase):
    """Documents have a channel of their own, to peers that opened theirs."""

    async def asyncSetUp(self) -> None:
        port = find_free_port(FIRST, SECOND)
        self.inbox = Inbox()
        self.first = Transport(FIRST, 11, FIRST, port, self.inbox.receive, self.inbox.record_disconnect)
        await self.first.start()
        self.addAsyncCleanup(self.first.stop)
        self.peer = Peer(SECOND, port)
        await self.peer.start()
        self.addAsyncCleanup(self.peer.stop)

    async def open_both_channels(self) -> tuple[asyncio.StreamReader, asyncio.StreamReader]:
        """Open both channels in both directions; return the readers of what the member sends on each."""
        documents = await self.peer.connect(FIRST, Channel.DOCUMENTS)
        documents.write(encode_frame(JoinRequest(1)))
        await self.inbox.next()
        self.first.send(SECOND, JoinRequest(1))
        control = await self.peer.connection(Channel.CONTROL)
        await next_message(control)
        return control, await self.peer.connection(Channel.DOCUMENTS)

    async def test_small_message_does_not_wait_behind_a_document(self) -> None:
        control, documents = await self.open_both_channels()
        self.first.send(SECOND, write_of(1))
        self.first.send(SECOND, JoinRequest(2))
        self.assertEqual(await next_message(control), JoinRequest(2))
        self.assertEqual(await next_message(documents), write_of(1))

    async def test_newest_document_replaces_the_waiting_one(self) -> None:
        _, documents = await self.open_both_channels()
        for sequence in range(1, 9):
            self.first.send(SECOND, write_of(sequence))
        self.assertLess(self.first.queued_bytes(), 2 * LARGE)
        self.assertEqual(await next_message(documents), write_of(1))
        self.assertEqual(await next_message(documents), write_of(8))
        self.first.send(SECOND, write_of(9, size=0))
        self.assertEqual(await next_message(documents), write_of(9, size=0))

    async def test_document_in_transmission_is_not_sent_twice(self) -> None:
        _, documents = await self.open_both_channels()
        self.first.send(SECOND, write_of(1))
        self.first.send(SECOND, write_of(1))
        self.first.send(SECOND, write_of(2, size=0))
        self.assertEqual(await next_message(documents), write_of(1))
        self.assertEqual(await next_message(documents), write_of(2, size=0))

    async def test_peer_of_the_previous_version_gets_documents_on_the_control_channel(self) -> None:
        self.first.send(SECOND, write_of(1))
        control = await self.peer.connection(Channel.CONTROL)
        self.assertEqual(await next_message(control), write_of(1))

    async def test_downgraded_peer_gets_documents_on_the_control_channel(self) -> None:
        control, _ = await self.open_both_channels()
        earlier = await self.peer.connect(FIRST, Channel.CONTROL, incarnation=23)
        earlier.write(encode_frame(JoinRequest(3)))
        await self.inbox.next()
        self.first.send(SECOND, write_of(1))
        self.assertEqual(await next_message(control), write_of(1))

    async def test_documents_of_an_earlier_incarnation_are_dropped(self) -> None:
        earlier = await self.peer.connect(FIRST, Channel.DOCUMENTS, incarnation=22)
        earlier.write(encode_frame(JoinRequest(1)))
        await self.inbox.next()
        later = await self.peer.connect(FIRST, Channel.CONTROL, incarnation=23)
        later.write(encode_frame(JoinRequest(2)))
        self.assertEqual(await self.inbox.next(), (SECOND, 23, JoinRequest(2)))
        earlier.write(encode_frame(JoinRequest(3)))
        later.write(encode_frame(JoinRequest(4)))
        self.assertEqual(await self.inbox.next(), (SECOND, 23, JoinRequest(4)))

    async def test_end_of_the_document_channel_is_not_the_end_of_the_peer(self) -> None:
        control = await self.peer.connect(FIRST, Channel.CONTROL)
        documents = await self.peer.connect(FIRST, Channel.DOCUMENTS)
        for writer in (control, documents):
            writer.write(encode_frame(JoinRequest(1)))
            await self.inbox.next()
        documents.close()
        control.write(encode_frame(JoinRequest(2)))
        await self.inbox.next()
        self.assertTrue(self.inbox.disconnects.empty())
        control.close()
        async with asyncio.timeout(TIMEOUT):
            self.assertEqual(await self.inbox.disconnects.get(), SECOND)

    async def test_document_channel_that_closed_alone_is_reopened(self) -> None:
        """Otherwise documents would delay heartbeats until the next document or control connection."""
        self.enterContext(patch.object(transport_module, "DOCUMENT_RECONNECT_DELAY", 0.01))
        await self.open_both_channels()
        self.peer.close_document_channel()
        opened = asyncio.create_task(self.peer.connection(Channel.DOCUMENTS))
        while not opened.done():
            self.first.send(SECOND, JoinRequest(2))
            await asyncio.sleep(0)
        await opened

    async def test_two_members_use_the_document_channel(self) -> None:
        await self.peer.stop()
        inbox = Inbox()
        second = Transport(SECOND, 22, SECOND, self.peer.port, inbox.receive, inbox.record_disconnect)
        await second.start()
        self.addAsyncCleanup(second.stop)
        async with asyncio.timeout(TIMEOUT):
            while not (self.first.has_document_channel(SECOND) and second.has_document_channel(FIRST)):
                self.first.send(SECOND, JoinRequest(1))
                second.send(FIRST, JoinRequest(2))
                await self.inbox.next()
                await inbox.next()
        self.first.send(SECOND, write_of(1))
        while (received := await inbox.next()) == (FIRST, 11, JoinRequest(1)):
            continue
        self.assertEqual(received, (FIRST, 11, write_of(1)))
