"""The feeds by which control machines send updates to dispatchers and to other control machines.

Both sides of a link send at regular intervals, the subscriber heartbeats and the server answers or statuses,
because `Connection` closes a link on which nothing arrives for a while.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Iterable
from dataclasses import replace
from functools import partial
from typing import Protocol

from rookwood.cluster.connection import Connection
from rookwood.cluster.frames import encode_frame
from rookwood.cluster.messages import Heartbeat, Hello, Message
from rookwood.cluster.outbox import conflation_key
from rookwood.cluster.position import NO_CONFIGURATION, ConfigurationPosition
from rookwood.memory_budget import MemoryBudget
from rookwood.metrics.traffic import PEER_CORE, peer_kind

logger = logging.getLogger("rookwood")

HEARTBEAT_INTERVAL = 0.4  # seconds
HEARTBEAT_PHASE = random.uniform(0.0, HEARTBEAT_INTERVAL)  # seconds; the offset of this process's heartbeats
MIN_INTERVAL_SHARE = 0.05  # of the interval; the timer of a heartbeat may fire slightly early
CONNECT_LIMIT = 0.5  # seconds
RECONNECT_DELAY = 0.2  # seconds
RECONNECT_JITTER = (0.5, 1.5)  # factors of the delay, so that links that broke together spread out


class FeedHandler(Protocol):
    """The callbacks of a feed server."""

    def initial_messages(self, connection: Connection) -> Iterable[Message]:
        """The messages to send to a new subscriber first."""

    def message_received(self, connection: Connection, message: Message) -> None:
        """Handle a message from a subscriber."""

    def subscriber_lost(self, connection: Connection) -> None:
        """Handle the end of a subscriber's link."""


class FeedServer:
    """Accepts links from subscribers and sends them updates.

    Beyond `max_links`, the link that has waited longest for its hello is closed, or else the new one.
    """

    def __init__(
        self, handler: FeedHandler, budget: MemoryBudget | None = None, max_links: int | None = None
    ) -> None:
        self._handler = handler
        self._budget = budget
        self._max_links = max_links
        self._accepted: dict[Connection, None] = {}  # oldest first
        self._connections: set[Connection] = set()
        self._server: asyncio.Server | None = None

    @property
    def connections(self) -> frozenset[Connection]:
        """The links on which a hello has arrived, status-only ones included."""
        return frozenset(self._connections)

    @property
    def subscribers(self) -> frozenset[Connection]:
        """The links that subscribe to workers and work notices, not only to statuses."""
        return frozenset(known for known in self._connections if known.hello and known.hello.subscribes)

    async def start(self, ip: str, port: int) -> None:
        """Listen on the address."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, ip, port)

    async def stop(self) -> None:
        """Stop listening and close all links."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._accepted):
            connection.abort()

    def broadcast(self, message: Message) -> None:
        """Send a message on all links, encoded once."""
        if not self._connections:
            return
        self.send_to(list(self._connections), message)

    @staticmethod
    def send_to(connections: Iterable[Connection], message: Message) -> None:
        """Send a message on the given links, encoded once."""
        frame = encode_frame(message)
        key = conflation_key(message)
        for connection in connections:
            connection.send_frame(frame, key)

    def _accept(self) -> Connection:
        connection = Connection(self._budget, is_incoming=True)
        connection.start(self._receive, self._remove)
        if self._make_room():
            self._accepted[connection] = None
        else:
            connection.refuse()
        return connection

    def _make_room(self) -> bool:
        """Make room for a new link; returns False if every link has said hello."""
        if self._max_links is None or len(self._accepted) < self._max_links:
            return True
        waiting = next((link for link in self._accepted if link.hello is None), None)
        if waiting is None:
            return False
        del self._accepted[waiting]
        waiting.abort()
        return True

    def _receive(self, connection: Connection, message: Message) -> None:
        if connection.hello is None:
            self._handle_hello(connection, message)
            return
        if isinstance(message, Heartbeat):
            connection.position = message.position
        self._handler.message_received(connection, message)

    def _handle_hello(self, connection: Connection, message: Message) -> None:
        """Register the link under its first message, which must be a hello, and send the initial messages."""
        if not isinstance(message, Hello):
            connection.abort()
            return
        connection.hello = message
        connection.peer_kind = peer_kind(message.tier)
        self._connections.add(connection)
        for initial_message in self._handler.initial_messages(connection):
            connection.send(initial_message)

    def _remove(self, connection: Connection) -> None:
        self._accepted.pop(connection, None)
        if connection in self._connections:
            self._connections.discard(connection)
            self._handler.subscriber_lost(connection)


class LinkHandler(Protocol):
    """The callbacks of a feed link; `peer` is the IP address at the other end."""

    def link_opened(self, peer: str, connection: Connection) -> None:
        """Handle the opening of a link."""

    def message_received(self, peer: str, message: Message) -> None:
        """Handle a message from the peer."""

    def link_closed(self, peer: str) -> None:
        """Handle the end of a link, which reconnects automatically."""


PositionReader = Callable[[], ConfigurationPosition]
"""Returns the position of the configuration in force, which heartbeats report."""


def no_position() -> ConfigurationPosition:
    """The position of a process that has no configuration in force."""
    return NO_CONFIGURATION


StallReader = Callable[[], float]
"""Returns for how many seconds in total this process has been stalled, which heartbeats report."""


def no_stall() -> float:
    """The stall time of a process whose response times are not checked."""
    return 0.0


class FeedLink:
    """Keeps a link to one control machine open, with heartbeats, and reconnects when it ends."""

    def __init__(
        self,
        peer: str,
        port: int,
        hello: Hello,
        handler: LinkHandler,
        read_position: PositionReader = no_position,
        read_stall: StallReader = no_stall,
        budget: MemoryBudget | None = None,
    ) -> None:
        self.peer = peer
        self._budget = budget
        self._read_position = read_position
        self._read_stall = read_stall
        self._port = port
        self._hello = hello
        self._handler = handler
        self.connection: Connection | None = None
        self._task = asyncio.create_task(self._run())

    def close(self) -> None:
        """Close the link for good."""
        self._task.cancel()

    async def _run(self) -> None:
        while True:
            try:
                await self._connect_once()
            except Exception:
                logger.exception("link failed", extra={"peer": self.peer})
            await asyncio.sleep(RECONNECT_DELAY * random.uniform(*RECONNECT_JITTER))

    async def _connect_once(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_LIMIT):
                _, connection = await loop.create_connection(
                    partial(Connection, self._budget), self.peer, self._port
                )
        except (OSError, TimeoutError):
            return
        ended = asyncio.Event()
        connection.peer_kind = PEER_CORE
        connection.send(self._hello)
        heartbeats = asyncio.create_task(self._send_heartbeats(connection))
        self.connection = connection
        try:
            self._handler.link_opened(self.peer, connection)
            connection.start(self._receive, lambda _: ended.set())
            await ended.wait()
        finally:
            self.connection = None
            heartbeats.cancel()
            connection.abort()
            self._handler.link_closed(self.peer)

    def _receive(self, connection: Connection, message: Message) -> None:
        if connection is self.connection:
            self._handler.message_received(self.peer, message)

    async def _send_heartbeats(self, connection: Connection) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(time_to_heartbeat(loop.time()))
            position = self._read_position()
            sent_at = loop.time()
            stalled = self._read_stall()
            connection.send(
                Heartbeat(self._hello.identity, position.epoch, position.sequence, sent_at, stalled)
            )


def time_to_heartbeat(now: float) -> float:
    """Seconds to the next heartbeat.

    All links of a process send heartbeats at the same times, so that it wakes up once for all of them. Each
    process has its own offset, so that a control machine does not receive all heartbeats at once. A heartbeat
    that is due almost at once counts as the one just sent.
    """
    remaining = HEARTBEAT_INTERVAL - (now + HEARTBEAT_PHASE) % HEARTBEAT_INTERVAL
    return (
        remaining if remaining > MIN_INTERVAL_SHARE * HEARTBEAT_INTERVAL else remaining + HEARTBEAT_INTERVAL
    )


class LinkSet:
    """The links of a process to control machines: subscriptions and status-only links."""

    def __init__(
        self,
        port: int,
        hello: Hello,
        handler: LinkHandler,
        own_ip: str,
        read_position: PositionReader = no_position,
        read_stall: StallReader = no_stall,
        budget: MemoryBudget | None = None,
    ) -> None:
        self._read_position = read_position
        self._read_stall = read_stall
        self._budget = budget
        self._port = port
        self._hello = hello
        self._handler = handler
        self._own_ip = own_ip
        self._links: dict[str, FeedLink] = {}
        self._subscribed: set[str] = set()

    def set_peers(self, peers: Iterable[str], status_only: Iterable[str] = ()) -> None:
        """Subscribe to `peers`, keep status-only links to `status_only`, and close the links to all others.

        A link that changes between the two kinds is closed and opened again.
        """
        subscribed = {peer for peer in peers if peer != self._own_ip}
        linked_peers = subscribed | {peer for peer in status_only if peer != self._own_ip}
        reopened = {
            peer for peer in linked_peers & self._links.keys() if self._changes_subscription(peer, subscribed)
        }
        for peer in (self._links.keys() - linked_peers) | reopened:
            self._links.pop(peer).close()
        for peer in linked_peers - self._links.keys():
            hello = replace(self._hello, subscribes=peer in subscribed)
            self._links[peer] = FeedLink(
                peer,
                self._port,
                hello,
                self._handler,
                self._read_position,
                self._read_stall,
                self._budget,
            )
        self._subscribed = subscribed

    def _changes_subscription(self, peer: str, subscribed: set[str]) -> bool:
        return (peer in subscribed) != (peer in self._subscribed)

    @property
    def peers(self) -> frozenset[str]:
        """All peers to which links are kept, whether connected or not."""
        return frozenset(self._links)

    def connection(self, peer: str) -> Connection | None:
        """The open connection to a peer, if any."""
        link = self._links.get(peer)
        return link.connection if link else None

    def connections(self) -> list[Connection]:
        """All open connections."""
        return [link.connection for link in self._links.values() if link.connection is not None]

    def close(self) -> None:
        """Close all links."""
        for link in self._links.values():
            link.close()
        self._links.clear()
