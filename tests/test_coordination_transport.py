"""The connections between members: strangers, restarts, and peers that keep silent."""

import asyncio
import socket
import unittest
from unittest.mock import patch

from rookwood.coordination import transport as transport_module
from rookwood.coordination.codec import encode_message
from rookwood.coordination.messages import JoinRequest, Message
from rookwood.coordination.transport import Transport
from rookwood.lab.free_ports import find_free_port

FIRST, SECOND = "127.0.0.1", "127.0.0.2"
LIMIT = 10.0


def preamble(ip: str, incarnation: int) -> bytes:
    """What one life of a member sends first."""
    address = ip.encode()
    life = incarnation.to_bytes(transport_module.INCARNATION_BYTES)
    return transport_module.PREAMBLE + life + bytes((len(address),)) + address


def frame(message: Message) -> bytes:
    """A message as it goes over the wire."""
    body = encode_message(message)
    return len(body).to_bytes(transport_module.LENGTH_BYTES) + body


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
        earlier.sendall(preamble("127.0.0.2", 22) + frame(JoinRequest(1)))
        self.assertEqual(await inbox.next(), ("127.0.0.2", 22, JoinRequest(1)))
        # Both arrive before the event loop looks again, the later life first.
        later.sendall(preamble("127.0.0.2", 23) + frame(JoinRequest(2)))
        earlier.sendall(frame(JoinRequest(3)))
        self.assertEqual(await inbox.next(), ("127.0.0.2", 23, JoinRequest(2)))
        later.sendall(frame(JoinRequest(4)))
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
