"""Feed links over loopback: initial messages, broadcasts, idle and slow peers, and reconnection."""

from __future__ import annotations

import asyncio
import os
import unittest
from collections.abc import Iterable
from dataclasses import replace
from unittest import mock

from rookwood.cluster import connection as connection_module
from rookwood.cluster import feed
from rookwood.cluster.connection import Connection
from rookwood.cluster.feed import FeedLink, FeedServer, LinkSet
from rookwood.cluster.frames import LINK_ERRORS, encode_frame, read_message
from rookwood.cluster.messages import (
    ConfigurationBody,
    FetchConfiguration,
    Heartbeat,
    Hello,
    Message,
    Status,
    WorkerGone,
    WorkerUpdates,
)
from rookwood.cluster.workers import WorkerRecord, WorkerState
from rookwood.lab.free_ports import find_free_port
from rookwood.memory_budget import MemoryBudget
from tests.fake_worker import HOST, WAIT_LIMIT, within

HELLO = Hello("10.0.0.7", "edge", "z1")
STATUS = Status("10.0.0.1", 3, "10.0.0.1", True, True, 3, 7, 4, ("10.0.0.1",))
GONE = WorkerGone("i-1", deleted=True)
LARGE_SOURCE = os.urandom(128 * 1024)  # random, so that compression does not shrink it
RECORD = WorkerRecord("i-1", "models", "10.0.0.9:80", "z1", 8, WorkerState.UP, 5, ())
LARGE_LIST = WorkerUpdates((RECORD,) * 20_000, complete=True)
SLOW_CHUNKS, SLOW_CHUNK_BYTES = 6, 1024  # a message on a slow link arrives in chunks
SHORT_IDLE_TIMEOUT = 0.15
LONG_IDLE_TIMEOUT = 0.5  # well above the heartbeat interval, even on a busy machine
SHORT_INTERVAL = 0.02


class ServerRecorder:
    """A feed handler that sends fixed initial messages and records its callbacks."""

    def __init__(self, greeting: Iterable[Message] = (STATUS,)) -> None:
        self.greeting = tuple(greeting)
        self.messages: asyncio.Queue[Message] = asyncio.Queue()
        self.closed: asyncio.Queue[Connection] = asyncio.Queue()

    def initial_messages(self, connection: Connection) -> Iterable[Message]:
        """Return the fixed messages."""
        return self.greeting

    def message_received(self, connection: Connection, message: Message) -> None:
        """Record the message."""
        self.messages.put_nowait(message)

    def subscriber_lost(self, connection: Connection) -> None:
        """Record the end of the link."""
        self.closed.put_nowait(connection)


class LinkRecorder:
    """A link handler that records its callbacks."""

    def __init__(self) -> None:
        self.links: asyncio.Queue[Connection] = asyncio.Queue()
        self.messages: asyncio.Queue[Message] = asyncio.Queue()
        self.closed: asyncio.Queue[str] = asyncio.Queue()

    def link_opened(self, peer: str, connection: Connection) -> None:
        """Record the connection."""
        self.links.put_nowait(connection)

    def message_received(self, peer: str, message: Message) -> None:
        """Record the message."""
        self.messages.put_nowait(message)

    def link_closed(self, peer: str) -> None:
        """Record the end of the link."""
        self.closed.put_nowait(peer)


class FeedCase(unittest.IsolatedAsyncioTestCase):
    """A feed server on a free port."""

    async def asyncSetUp(self) -> None:
        self.handler = ServerRecorder()
        self.server = FeedServer(self.handler)
        self.port = find_free_port(HOST)
        await self.server.start(HOST, self.port)
        self.addAsyncCleanup(self.server.stop)

    def open_link(self, recorder: LinkRecorder, hello: Hello = HELLO) -> FeedLink:
        """Open a link to the server, which is closed after the test."""
        link = FeedLink(HOST, self.port, hello, recorder)
        self.addCleanup(link.close)
        return link

    async def open_raw_connection(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection on which the test writes and reads bytes."""
        reader, writer = await asyncio.open_connection(HOST, self.port)
        self.addCleanup(writer.transport.abort)
        return reader, writer

    async def subscribe_raw(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a raw connection, send a hello and read the initial message."""
        reader, writer = await self.open_raw_connection()
        writer.write(encode_frame(HELLO))
        self.assertEqual(STATUS, await within(read_message(reader)))
        return reader, writer


class FeedServerTests(FeedCase):
    async def test_a_subscriber_first_receives_the_initial_messages(self) -> None:
        recorder = LinkRecorder()
        self.open_link(recorder)
        self.assertEqual(STATUS, await within(recorder.messages.get()))
        (connection,) = self.server.connections
        self.assertEqual(HELLO, connection.hello)

    async def test_a_broadcast_reaches_every_subscriber_in_order(self) -> None:
        recorders = [LinkRecorder() for _ in range(3)]
        for recorder in recorders:
            self.open_link(recorder)
            await within(recorder.messages.get())
        self.server.broadcast(GONE)
        self.server.broadcast(STATUS)
        for recorder in recorders:
            self.assertEqual([GONE, STATUS], [await within(recorder.messages.get()) for _ in range(2)])

    async def test_a_broadcast_without_subscribers_does_nothing(self) -> None:
        self.server.broadcast(GONE)
        self.assertEqual(frozenset(), self.server.connections)

    async def test_messages_from_a_subscriber_reach_the_handler(self) -> None:
        recorder = LinkRecorder()
        self.open_link(recorder)
        connection = await within(recorder.links.get())
        connection.send(FetchConfiguration(7, False))
        self.assertEqual(FetchConfiguration(7, False), await within(self.handler.messages.get()))

    async def test_the_end_of_a_subscribers_link_is_reported(self) -> None:
        recorder = LinkRecorder()
        link = self.open_link(recorder)
        await within(recorder.messages.get())
        link.close()
        closed_connection = await within(self.handler.closed.get())
        self.assertEqual(HELLO, closed_connection.hello)
        self.assertEqual(frozenset(), self.server.connections)

    async def test_a_peer_without_a_hello_is_not_a_subscriber(self) -> None:
        reader, writer = await self.open_raw_connection()
        writer.write(encode_frame(Heartbeat("10.0.0.7")))
        self.assertEqual(b"", await within(read_to_end(reader)))
        self.assertEqual(frozenset(), self.server.connections)
        self.assertTrue(self.handler.closed.empty())

    async def test_invalid_bytes_end_a_subscription(self) -> None:
        reader, writer = await self.subscribe_raw()
        writer.write(b"GET / HTTP/1.1\r\n\r\n")
        await within(read_to_end(reader))
        await within(self.handler.closed.get())
        self.assertEqual(frozenset(), self.server.connections)

    async def test_an_idle_subscriber_is_disconnected(self) -> None:
        with mock.patch.object(connection_module, "IDLE_TIMEOUT", SHORT_IDLE_TIMEOUT):
            reader, _ = await self.subscribe_raw()
            await within(read_to_end(reader))
            await within(self.handler.closed.get())

    async def test_heartbeats_keep_a_link_without_other_messages_open(self) -> None:
        with (
            mock.patch.object(connection_module, "IDLE_TIMEOUT", LONG_IDLE_TIMEOUT),
            mock.patch.object(feed, "HEARTBEAT_INTERVAL", SHORT_INTERVAL),
        ):
            recorder = LinkRecorder()
            self.open_link(recorder)
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            sent_at = started_at
            while loop.time() - started_at < 2 * LONG_IDLE_TIMEOUT:
                heartbeat = await within(self.handler.messages.get())
                assert isinstance(heartbeat, Heartbeat)
                self.assertEqual(Heartbeat(HELLO.identity, sent_at=heartbeat.sent_at), heartbeat)
                self.assertGreater(heartbeat.sent_at, sent_at)
                sent_at = heartbeat.sent_at
                self.server.broadcast(STATUS)
            self.assertTrue(self.handler.closed.empty())
            self.assertTrue(recorder.closed.empty())

    async def test_a_subscriber_that_does_not_read_is_disconnected(self) -> None:
        _, writer = await self.subscribe_raw()
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        for _ in range(64):
            self.server.broadcast(LARGE_LIST)
        await within(self.handler.closed.get())
        self.assertEqual(frozenset(), self.server.connections)

    async def test_the_queue_of_a_slow_subscriber_stays_below_its_limit(self) -> None:
        _, writer = await self.subscribe_raw()
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        (connection,) = self.server.connections
        for sequence in range(64):
            self.server.broadcast(ConfigurationBody(1, sequence, LARGE_SOURCE, True))
            self.server.broadcast(replace(STATUS, config_sequence=sequence))
        self.assertLess(
            connection.queued_bytes,
            connection_module.OUTBOX_LIMIT + connection_module.WRITE_HIGH_WATER + len(LARGE_SOURCE),
        )
        self.assertEqual(frozenset({connection}), self.server.connections)

    async def test_a_slow_subscriber_receives_the_newest_state_and_every_worker_end(self) -> None:
        self.enterContext(
            mock.patch.object(connection_module, "IDLE_TIMEOUT", WAIT_LIMIT)
        )  # the subscriber sends no heartbeats
        reader, writer = await self.subscribe_raw()
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        for sequence in range(64):
            self.server.broadcast(ConfigurationBody(1, sequence, LARGE_SOURCE, True))
            self.server.broadcast(WorkerGone(f"i-{sequence}", deleted=True))
        self.server.broadcast(STATUS)
        writer.transport.resume_reading()  # type: ignore[attr-defined]
        bodies, gone = [], []
        while not isinstance(message := await within(read_message(reader)), Status):
            if isinstance(message, ConfigurationBody):
                bodies.append(message.sequence)
            elif isinstance(message, WorkerGone):
                gone.append(message.worker)
        self.assertEqual([f"i-{sequence}" for sequence in range(64)], gone)
        self.assertEqual(63, bodies[-1])
        self.assertLess(len(bodies), 64)

    async def test_a_link_on_which_a_message_keeps_arriving_is_not_idle(self) -> None:
        recorder = LinkRecorder()
        frame = encode_frame(ConfigurationBody(1, 1, os.urandom(SLOW_CHUNKS * SLOW_CHUNK_BYTES), True))
        with mock.patch.object(connection_module, "IDLE_TIMEOUT", LONG_IDLE_TIMEOUT):
            writers = await self.serve_raw(recorder)
            writer = await within(writers.get())
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            for start in range(0, len(frame), SLOW_CHUNK_BYTES):
                writer.write(frame[start : start + SLOW_CHUNK_BYTES])
                await asyncio.sleep(LONG_IDLE_TIMEOUT / 4)  # the pace of a slow link
            self.assertIsInstance(await within(recorder.messages.get()), ConfigurationBody)
            self.assertGreater(loop.time() - started_at, LONG_IDLE_TIMEOUT)
        self.assertTrue(recorder.closed.empty())

    async def serve_raw(self, recorder: LinkRecorder) -> asyncio.Queue[asyncio.StreamWriter]:
        """Start a server on which the test writes bytes, and a link to it."""
        writers: asyncio.Queue[asyncio.StreamWriter] = asyncio.Queue()
        server = await asyncio.start_server(lambda reader, writer: writers.put_nowait(writer), HOST, 0)
        self.addCleanup(server.close)
        link = FeedLink(HOST, server.sockets[0].getsockname()[1], HELLO, recorder)
        self.addCleanup(link.close)
        return writers

    async def test_stopping_disconnects_all_subscribers(self) -> None:
        reader, _ = await self.subscribe_raw()
        await self.server.stop()
        self.assertEqual(b"", await within(read_to_end(reader)))


class FeedLinkTests(FeedCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.enterContext(mock.patch.object(feed, "RECONNECT_DELAY", SHORT_INTERVAL))

    async def test_a_link_reconnects_after_its_server_restarted(self) -> None:
        recorder = LinkRecorder()
        self.open_link(recorder)
        await within(recorder.messages.get())
        await self.server.stop()
        self.assertEqual(HOST, await within(recorder.closed.get()))
        successor = FeedServer(ServerRecorder((STATUS, GONE)))
        await successor.start(HOST, self.port)
        self.addAsyncCleanup(successor.stop)
        self.assertEqual([STATUS, GONE], [await within(recorder.messages.get()) for _ in range(2)])

    async def test_a_link_waits_for_a_server_that_starts_later(self) -> None:
        await self.server.stop()
        recorder = LinkRecorder()
        self.open_link(recorder)
        successor = FeedServer(ServerRecorder())
        await successor.start(HOST, self.port)
        self.addAsyncCleanup(successor.stop)
        self.assertEqual(STATUS, await within(recorder.messages.get()))

    async def test_a_link_to_an_idle_server_is_closed_and_reopened(self) -> None:
        hellos: asyncio.Queue[Message] = asyncio.Queue()

        async def send_nothing(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                while True:
                    message = await read_message(reader)
                    if isinstance(message, Hello):
                        hellos.put_nowait(message)
            except LINK_ERRORS:
                writer.transport.abort()

        idle_server = await asyncio.start_server(send_nothing, HOST, 0)
        self.addCleanup(idle_server.close)
        port = idle_server.sockets[0].getsockname()[1]
        recorder = LinkRecorder()
        with mock.patch.object(connection_module, "IDLE_TIMEOUT", SHORT_IDLE_TIMEOUT):
            link = FeedLink(HOST, port, HELLO, recorder)
            self.addCleanup(link.close)
            self.assertEqual(HELLO, await within(hellos.get()))
            self.assertEqual(HOST, await within(recorder.closed.get()))
            self.assertEqual(HELLO, await within(hellos.get()))

    async def test_invalid_bytes_from_the_server_end_the_link(self) -> None:
        async def send_invalid_bytes(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(b"\xff" * 64)
            await reader.read()
            writer.transport.abort()

        server = await asyncio.start_server(send_invalid_bytes, HOST, 0)
        self.addCleanup(server.close)
        recorder = LinkRecorder()
        link = FeedLink(HOST, server.sockets[0].getsockname()[1], HELLO, recorder)
        self.addCleanup(link.close)
        self.assertEqual(HOST, await within(recorder.closed.get()))
        self.assertTrue(recorder.messages.empty())

    async def test_a_closed_link_stays_closed(self) -> None:
        recorder = LinkRecorder()
        link = self.open_link(recorder)
        await within(recorder.messages.get())
        link.close()
        await within(recorder.closed.get())
        self.assertIsNone(link.connection)


class LinkLimitTests(FeedCase):
    async def test_a_link_whose_endless_frame_finds_no_memory_is_closed(self) -> None:
        unfinished = encode_frame(LARGE_LIST)[:-1]
        budget = MemoryBudget(len(unfinished) // 2, connections=10)
        sender = FeedServer(ServerRecorder((STATUS,)))
        port = find_free_port(HOST)
        await sender.start(HOST, port)
        self.addAsyncCleanup(sender.stop)
        recorder = LinkRecorder()
        link = FeedLink(HOST, port, HELLO, recorder, budget=budget)
        self.addCleanup(link.close)
        await within(recorder.messages.get())
        for connection in sender.connections:
            connection.send_frame(unfinished)
        self.assertEqual(HOST, await within(recorder.closed.get()))
        self.assertEqual(0, budget.held)
        await within(recorder.messages.get())  # the link is open again

    async def test_a_frame_that_fits_gives_its_memory_back(self) -> None:
        budget = MemoryBudget(2 * len(encode_frame(LARGE_LIST)), connections=10)
        self.handler.greeting = (LARGE_LIST,)
        recorder = LinkRecorder()
        link = FeedLink(HOST, self.port, HELLO, recorder, budget=budget)
        self.addCleanup(link.close)
        self.assertEqual(LARGE_LIST, await within(recorder.messages.get()))
        self.assertEqual(0, budget.held)

    async def test_links_without_a_hello_make_room_for_those_with_one(self) -> None:
        crowded = FeedServer(ServerRecorder(), max_links=3)
        port = find_free_port(HOST)
        await crowded.start(HOST, port)
        self.addAsyncCleanup(crowded.stop)
        silent = [await asyncio.open_connection(HOST, port) for _ in range(3)]
        recorders = [LinkRecorder() for _ in range(3)]
        for recorder in recorders:
            link = FeedLink(HOST, port, HELLO, recorder)
            self.addCleanup(link.close)
            await within(recorder.messages.get())
        for reader, writer in silent:
            self.assertEqual(b"", await within(read_to_end(reader)))
            writer.close()
        reader, writer = await asyncio.open_connection(HOST, port)
        self.assertEqual(b"", await within(read_to_end(reader)))
        writer.close()
        self.assertEqual(3, len(crowded.connections))


class LinkSetTests(FeedCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.recorder = LinkRecorder()
        self.links = LinkSet(self.port, HELLO, self.recorder, own_ip=HELLO.identity)
        self.addCleanup(self.links.close)

    async def test_the_given_peers_are_linked_except_the_process_itself(self) -> None:
        self.links.set_peers([HOST, HELLO.identity])
        connection = await within(self.recorder.links.get())
        self.assertEqual({HOST}, self.links.peers)
        self.assertIs(connection, self.links.connection(HOST))
        self.assertEqual([connection], self.links.connections())

    async def test_links_to_removed_peers_are_closed(self) -> None:
        self.links.set_peers([HOST])
        await within(self.recorder.messages.get())
        self.links.set_peers([])
        await within(self.handler.closed.get())
        self.assertEqual(frozenset(), self.links.peers)
        self.assertIsNone(self.links.connection(HOST))

    async def test_setting_the_same_peers_again_keeps_the_links(self) -> None:
        self.links.set_peers([HOST])
        connection = await within(self.recorder.links.get())
        self.links.set_peers([HOST])
        self.assertIs(connection, self.links.connection(HOST))
        self.assertTrue(self.recorder.closed.empty())


class HeartbeatTimeTests(unittest.TestCase):
    def test_heartbeats_of_links_opened_at_any_time_coincide(self) -> None:
        for number in range(1000):
            now = number * 0.0137
            due = now + feed.time_to_heartbeat(now) + feed.HEARTBEAT_PHASE
            intervals = due / feed.HEARTBEAT_INTERVAL
            self.assertAlmostEqual(round(intervals), intervals, places=6)

    def test_no_heartbeat_is_sent_twice(self) -> None:
        heartbeat_time = 10 * feed.HEARTBEAT_INTERVAL - feed.HEARTBEAT_PHASE
        for moment in (heartbeat_time - 1e-6, heartbeat_time, heartbeat_time + 1e-6):
            self.assertAlmostEqual(feed.HEARTBEAT_INTERVAL, feed.time_to_heartbeat(moment), places=4)


async def read_to_end(reader: asyncio.StreamReader) -> bytes:
    """Read until the end of the stream; a reset counts as the end."""
    received = b""
    try:
        while data := await reader.read(65536):
            received += data
    except ConnectionError:
        pass
    return received


if __name__ == "__main__":
    unittest.main()
