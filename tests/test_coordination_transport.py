"""The connections between members: strangers, restarts, and peers that keep silent."""

import asyncio
import socket
import unittest
from unittest.mock import patch

from rookwood.coordination import transport as transport_module
from rookwood.coordination.codec import decode_message
from rookwood.coordination.document import Configuration, Document, Position
from rookwood.coordination.framing import Lane, Preamble, encode_frame, read_frame, read_preamble
from rookwood.coordination.messages import JoinRequest, Message, Write
from rookwood.coordination.transport import Transport
from rookwood.lab.free_ports import find_free_port

FIRST, SECOND = "127.0.0.1", "127.0.0.2"
LIMIT = 10.0
LARGE = 8_000_000  # bytes, more than the kernel takes from a sender whose peer does not read


def preamble(ip: str, incarnation: int, lane: Lane = Lane.CONTROL) -> bytes:
    """What one life of a member sends first."""
    return Preamble(lane, ip, incarnation).encode()


def write_of(sequence: int, size: int = LARGE) -> Write:
    """A document on its way."""
    return Write(Document(Position(1, sequence), Configuration(), bytes(size)))


class Inbox:
    """Messages that a transport received, with a signal."""

    def __init__(self) -> None:
        self.received: asyncio.Queue[tuple[str, int, Message]] = asyncio.Queue()
        self.disconnects: asyncio.Queue[str] = asyncio.Queue()

    def take(self, sender: str, incarnation: int, message: Message) -> None:
        """Note a message."""
        self.received.put_nowait((sender, incarnation, message))

    def note_disconnect(self, sender: str) -> None:
        """Note that a peer's connection ended."""
        self.disconnects.put_nowait(sender)

    async def next(self) -> tuple[str, int, Message]:
        """Return the next message."""
        async with asyncio.timeout(LIMIT):
            return await self.received.get()


class TransportTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.port = find_free_port(FIRST, SECOND)

    async def open(self, ip: str, incarnation: int) -> tuple[Transport, Inbox]:
        inbox = Inbox()
        transport = Transport(ip, incarnation, ip, self.port, inbox.take, inbox.note_disconnect)
        await transport.start()
        self.addAsyncCleanup(transport.stop)
        return transport, inbox

    def connect_by_hand(self) -> socket.socket:
        """Open a connection to the first transport that a test writes bytes on."""
        connection = socket.create_connection(("127.0.0.1", self.port))
        self.addCleanup(connection.close)
        return connection

    async def test_messages_tell_their_sender_and_its_life(self) -> None:
        first, _ = await self.open(FIRST, 11)
        _, inbox = await self.open(SECOND, 22)
        first.send(SECOND, JoinRequest(1))
        first.send(SECOND, JoinRequest(2))
        self.assertEqual(await inbox.next(), (FIRST, 11, JoinRequest(1)))
        self.assertEqual(await inbox.next(), (FIRST, 11, JoinRequest(2)))

    async def test_peer_that_restarts_is_reached_again(self) -> None:
        first, inbox = await self.open(FIRST, 11)
        second, second_inbox = await self.open(SECOND, 22)
        first.send(SECOND, JoinRequest(1))
        await second_inbox.next()
        await second.stop()
        again, inbox_again = await self.open(SECOND, 23)
        again.send(FIRST, JoinRequest(5))
        self.assertEqual(await inbox.next(), (SECOND, 23, JoinRequest(5)))
        async with asyncio.timeout(LIMIT):
            while inbox_again.received.empty():
                first.send(SECOND, JoinRequest(2))
                again.send(FIRST, JoinRequest(6))
                await inbox.next()
        self.assertEqual(await inbox_again.next(), (FIRST, 11, JoinRequest(2)))

    async def test_frames_of_an_earlier_life_count_for_nothing_once_a_later_one_is_connected(self) -> None:
        _, inbox = await self.open("127.0.0.1", 1)
        earlier = self.connect_by_hand()
        later = self.connect_by_hand()
        earlier.sendall(preamble("127.0.0.2", 22) + encode_frame(JoinRequest(1)))
        self.assertEqual(await inbox.next(), ("127.0.0.2", 22, JoinRequest(1)))
        # Both arrive before the event loop looks again, the later life first.
        later.sendall(preamble("127.0.0.2", 23) + encode_frame(JoinRequest(2)))
        earlier.sendall(encode_frame(JoinRequest(3)))
        self.assertEqual(await inbox.next(), ("127.0.0.2", 23, JoinRequest(2)))
        later.sendall(encode_frame(JoinRequest(4)))
        self.assertEqual(await inbox.next(), ("127.0.0.2", 23, JoinRequest(4)))

    async def test_end_of_a_peer_is_told(self) -> None:
        _, inbox = await self.open(FIRST, 11)
        second, _ = await self.open(SECOND, 22)
        second.send(FIRST, JoinRequest(1))
        await inbox.next()
        await second.stop()
        async with asyncio.timeout(LIMIT):
            self.assertEqual(await inbox.disconnects.get(), SECOND)

    async def test_strangers_are_disconnected_and_the_members_served(self) -> None:
        first, _ = await self.open(FIRST, 11)
        _, inbox = await self.open(SECOND, 22)
        for noise in (b"GET / HTTP/1.1\r\n\r\n", b"RKC1" + bytes(9) + b"\xff\xff\xff\xff"):
            reader, writer = await asyncio.open_connection(SECOND, self.port)
            writer.write(noise)
            async with asyncio.timeout(LIMIT):
                with self.assertRaises((ConnectionError, asyncio.IncompleteReadError)):
                    await reader.readexactly(1)
            writer.close()
        first.send(SECOND, JoinRequest(1))
        self.assertEqual(await inbox.next(), (FIRST, 11, JoinRequest(1)))

    async def test_silent_peer_is_connected_anew(self) -> None:
        connections: asyncio.Queue[bytes] = asyncio.Queue()

        async def swallow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            connections.put_nowait(await reader.readexactly(4))

        server = await asyncio.start_server(swallow, SECOND, self.port)
        self.addCleanup(server.close)
        first, _ = await self.open(FIRST, 11)
        first.send(SECOND, JoinRequest(1))
        async with asyncio.timeout(LIMIT):
            await connections.get()
            with patch.object(transport_module, "SILENCE_LIMIT", 0.0):
                first.send(SECOND, JoinRequest(2))
            await connections.get()

    async def test_unreachable_peer_costs_nothing_but_its_messages(self) -> None:
        first, inbox = await self.open(FIRST, 11)
        for count in range(200):
            first.send(SECOND, JoinRequest(count))
        second, _ = await self.open(SECOND, 22)
        second.send(FIRST, JoinRequest(7))
        self.assertEqual(await inbox.next(), (SECOND, 22, JoinRequest(7)))


class Peer:
    """A member by hand: takes connections, and reads from them only what the test asks for."""

    def __init__(self, ip: str, port: int) -> None:
        self._ip = ip
        self.port = port
        self._server: asyncio.Server | None = None
        self._opened: dict[Lane, asyncio.Queue[asyncio.StreamReader]] = {
            lane: asyncio.Queue() for lane in Lane
        }
        self._writers: list[asyncio.StreamWriter] = []
        self._taken: dict[Lane, asyncio.StreamWriter] = {}

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._take, self._ip, self.port)

    async def stop(self) -> None:
        """End all connections."""
        assert self._server is not None
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def connect(self, ip: str, lane: Lane, incarnation: int = 22) -> asyncio.StreamWriter:
        """Open a connection to a member."""
        _, writer = await asyncio.open_connection(ip, self.port)
        self._writers.append(writer)
        writer.write(preamble(self._ip, incarnation, lane))
        return writer

    async def connection(self, lane: Lane) -> asyncio.StreamReader:
        """Return the next connection that a member opened on a lane."""
        async with asyncio.timeout(LIMIT):
            return await self._opened[lane].get()

    def end_documents(self) -> None:
        """End the connection that a member opened for documents."""
        self._taken[Lane.DOCUMENTS].transport.abort()

    async def _take(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.append(writer)
        lane = (await read_preamble(reader)).lane
        self._taken[lane] = writer
        self._opened[lane].put_nowait(reader)


async def next_message(reader: asyncio.StreamReader) -> Message:
    """Read one message."""
    async with asyncio.timeout(LIMIT):
        return decode_message(await read_frame(reader))


class DocumentLaneTest(unittest.IsolatedAsyncioTestCase):
    """Documents go over a connection of their own, to peers that have one."""

    async def asyncSetUp(self) -> None:
        port = find_free_port(FIRST, SECOND)
        self.inbox = Inbox()
        self.first = Transport(FIRST, 11, FIRST, port, self.inbox.take, self.inbox.note_disconnect)
        await self.first.start()
        self.addAsyncCleanup(self.first.stop)
        self.peer = Peer(SECOND, port)
        await self.peer.start()
        self.addAsyncCleanup(self.peer.stop)

    async def open_both_lanes(self) -> tuple[asyncio.StreamReader, asyncio.StreamReader]:
        """Let the member and its peer open all connections; returns what the member sends on."""
        documents = await self.peer.connect(FIRST, Lane.DOCUMENTS)
        documents.write(encode_frame(JoinRequest(1)))
        await self.inbox.next()
        self.first.send(SECOND, JoinRequest(1))
        control = await self.peer.connection(Lane.CONTROL)
        await next_message(control)
        return control, await self.peer.connection(Lane.DOCUMENTS)

    async def test_small_message_does_not_wait_behind_a_document(self) -> None:
        control, documents = await self.open_both_lanes()
        self.first.send(SECOND, write_of(1))
        self.first.send(SECOND, JoinRequest(2))
        self.assertEqual(await next_message(control), JoinRequest(2))
        self.assertEqual(await next_message(documents), write_of(1))

    async def test_newest_document_takes_the_place_of_one_that_waits(self) -> None:
        _, documents = await self.open_both_lanes()
        for sequence in range(1, 9):
            self.first.send(SECOND, write_of(sequence))
        self.assertLess(self.first.queued_bytes(), 2 * LARGE)
        self.assertEqual(await next_message(documents), write_of(1))
        self.assertEqual(await next_message(documents), write_of(8))
        self.first.send(SECOND, write_of(9, size=0))
        self.assertEqual(await next_message(documents), write_of(9, size=0))

    async def test_document_on_its_way_is_not_sent_twice(self) -> None:
        _, documents = await self.open_both_lanes()
        self.first.send(SECOND, write_of(1))
        self.first.send(SECOND, write_of(1))
        self.first.send(SECOND, write_of(2, size=0))
        self.assertEqual(await next_message(documents), write_of(1))
        self.assertEqual(await next_message(documents), write_of(2, size=0))

    async def test_peer_of_the_version_before_is_sent_documents_among_the_rest(self) -> None:
        self.first.send(SECOND, write_of(1))
        control = await self.peer.connection(Lane.CONTROL)
        self.assertEqual(await next_message(control), write_of(1))

    async def test_peer_that_went_back_a_version_is_sent_documents_among_the_rest(self) -> None:
        control, _ = await self.open_both_lanes()
        earlier = await self.peer.connect(FIRST, Lane.CONTROL, incarnation=23)
        earlier.write(encode_frame(JoinRequest(3)))
        await self.inbox.next()
        self.first.send(SECOND, write_of(1))
        self.assertEqual(await next_message(control), write_of(1))

    async def test_documents_of_an_earlier_life_count_for_nothing(self) -> None:
        earlier = await self.peer.connect(FIRST, Lane.DOCUMENTS, incarnation=22)
        earlier.write(encode_frame(JoinRequest(1)))
        await self.inbox.next()
        later = await self.peer.connect(FIRST, Lane.CONTROL, incarnation=23)
        later.write(encode_frame(JoinRequest(2)))
        self.assertEqual(await self.inbox.next(), (SECOND, 23, JoinRequest(2)))
        earlier.write(encode_frame(JoinRequest(3)))
        later.write(encode_frame(JoinRequest(4)))
        self.assertEqual(await self.inbox.next(), (SECOND, 23, JoinRequest(4)))

    async def test_end_of_the_connection_for_documents_is_no_end_of_the_peer(self) -> None:
        control = await self.peer.connect(FIRST, Lane.CONTROL)
        documents = await self.peer.connect(FIRST, Lane.DOCUMENTS)
        for writer in (control, documents):
            writer.write(encode_frame(JoinRequest(1)))
            await self.inbox.next()
        documents.close()
        control.write(encode_frame(JoinRequest(2)))
        await self.inbox.next()
        self.assertTrue(self.inbox.disconnects.empty())
        control.close()
        async with asyncio.timeout(LIMIT):
            self.assertEqual(await self.inbox.disconnects.get(), SECOND)

    async def test_connection_for_documents_that_ended_alone_is_opened_again(self) -> None:
        """Else documents would go among the heartbeats until the next document or control connection."""
        self.enterContext(patch.object(transport_module, "DOCUMENTS_PAUSE", 0.01))
        await self.open_both_lanes()
        self.peer.end_documents()
        opened = asyncio.create_task(self.peer.connection(Lane.DOCUMENTS))
        while not opened.done():
            self.first.send(SECOND, JoinRequest(2))
            await asyncio.sleep(0)
        await opened

    async def test_two_members_use_the_connection_for_documents(self) -> None:
        await self.peer.stop()
        inbox = Inbox()
        second = Transport(SECOND, 22, SECOND, self.peer.port, inbox.take, inbox.note_disconnect)
        await second.start()
        self.addAsyncCleanup(second.stop)
        async with asyncio.timeout(LIMIT):
            while not (self.first.takes_documents(SECOND) and second.takes_documents(FIRST)):
                self.first.send(SECOND, JoinRequest(1))
                second.send(FIRST, JoinRequest(2))
                await self.inbox.next()
                await inbox.next()
        self.first.send(SECOND, write_of(1))
        while (received := await inbox.next()) == (FIRST, 11, JoinRequest(1)):
            continue
        self.assertEqual(received, (FIRST, 11, write_of(1)))
