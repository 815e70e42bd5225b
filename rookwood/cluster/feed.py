"""Feeds: control machines send updates to their subscribers, dispatchers and other control machines.

Both sides of a link send heartbeats; `connection` closes one on which nothing arrived for a while.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Protocol

from rookwood.cluster.connection import Connection
from rookwood.cluster.frames import encode_frame
from rookwood.cluster.messages import Heartbeat, Hello, Message
from rookwood.cluster.outbox import subject_of
from rookwood.cluster.position import NO_CONFIGURATION, ConfigurationPosition
from rookwood.metrics.traffic import PEER_CORE, peer_kind

logger = logging.getLogger("rookwood")

HEARTBEAT_INTERVAL = 0.4
BEAT_PHASE = random.uniform(0.0, HEARTBEAT_INTERVAL)  # seconds; of this process
LEAST_BEAT_SHARE = 0.05  # of the interval; a timer may go off a little early
CONNECT_LIMIT = 0.5
RECONNECT_PAUSE = 0.2
RECONNECT_SPREAD = (0.5, 1.5)  # of the pause; links that broke together do not all come back at once


class FeedHandler(Protocol):
    """What a feed server calls."""

    def initial_messages(self, connection: Connection) -> Iterable[Message]:
        """The messages that a new subscriber gets first."""

    def message_received(self, connection: Connection, message: Message) -> None:
        """A subscriber sent a message."""

    def subscriber_lost(self, connection: Connection) -> None:
        """A subscriber's link ended."""


class FeedServer:
    """Accepts subscribers and sends every update to each of them."""

    def __init__(self, handler: FeedHandler) -> None:
        self._handler = handler
        self._accepted: set[Connection] = set()
        self._connections: set[Connection] = set()
        self._server: asyncio.Server | None = None

    @property
    def connections(self) -> frozenset[Connection]:
        """The subscribers that have said hello."""
        return frozenset(self._connections)

    @property
    def subscribers(self) -> frozenset[Connection]:
        """Those of them that want the feed of workers and work notices."""
        return frozenset(known for known in self._connections if known.hello and known.hello.subscribes)

    async def start(self, ip: str, port: int) -> None:
        """Listen at the address."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, ip, port)

    async def stop(self) -> None:
        """Stop listening and drop all subscribers."""
        if self._server is not None:
            self._server.close()
        for connection in self._accepted.copy():
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

    def _accept(self) -> Connection:
        connection = Connection()
        self._accepted.add(connection)
        connection.start(self._receive, self._end)
        return connection

    def _receive(self, connection: Connection, message: Message) -> None:
        if connection.hello is None:
            self._greet(connection, message)
            return
        if isinstance(message, Heartbeat):
            connection.position = message.position
        self._handler.message_received(connection, message)

    def _greet(self, connection: Connection, message: Message) -> None:
        """The first message has to say who calls."""
        if not isinstance(message, Hello):
            connection.abort()
            return
        connection.hello = message
        connection.peer_kind = peer_kind(message.tier)
        self._connections.add(connection)
        for greeting in self._handler.initial_messages(connection):
            connection.send(greeting)

    def _end(self, connection: Connection) -> None:
        self._accepted.discard(connection)
        if connection in self._connections:
            self._connections.discard(connection)
            self._handler.subscriber_lost(connection)


class LinkHandler(Protocol):
    """What a feed link calls; `peer` is the IP that the link leads to."""

    def link_opened(self, peer: str, connection: Connection) -> None:
        """The link is open."""

    def message_received(self, peer: str, message: Message) -> None:
        """A message arrived."""

    def link_closed(self, peer: str) -> None:
        """The link is gone; it is opened again by itself."""


PositionReader = Callable[[], ConfigurationPosition]
"""Tells the position of the configuration in force, for heartbeats."""


def read_no_position() -> ConfigurationPosition:
    """For machines that serve by no configuration."""
    return NO_CONFIGURATION


StallReader = Callable[[], float]
"""Tells for how many seconds in all this process has stood still, for heartbeats."""


def read_no_stalls() -> float:
    """For machines that nobody judges by the time that they take."""
    return 0.0


class FeedLink:
    """Keeps a subscription to one control machine open."""

    def __init__(
        self,
        peer: str,
        port: int,
        hello: Hello,
        handler: LinkHandler,
        position: PositionReader = read_no_position,
        stalled: StallReader = read_no_stalls,
    ) -> None:
        self.peer = peer
        self._position = position
        self._stalled = stalled
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
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_LIMIT):
                _, connection = await loop.create_connection(Connection, self.peer, self._port)
        except (OSError, TimeoutError):
            return
        ended = asyncio.Event()
        connection.peer_kind = PEER_CORE
        connection.send(self._hello)
        beats = asyncio.create_task(self._send_heartbeats(connection))
        self.connection = connection
        try:
            self._handler.link_opened(self.peer, connection)
            connection.start(self._receive, lambda _: ended.set())
            await ended.wait()
        finally:
            self.connection = None
            beats.cancel()
            connection.abort()
            self._handler.link_closed(self.peer)

    def _receive(self, connection: Connection, message: Message) -> None:
        if connection is self.connection:
            self._handler.message_received(self.peer, message)

    async def _send_heartbeats(self, connection: Connection) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(time_to_beat(loop.time()))
            position = self._position()
            sent_at = loop.time()
            stalled = self._stalled()
            connection.send(
                Heartbeat(self._hello.identity, position.epoch, position.sequence, sent_at, stalled)
            )


def time_to_beat(now: float) -> float:
    """Seconds to the next heartbeat. All links of a process beat together, so that it wakes once for all.

    Processes beat at moments of their own, so that a control machine is not called by all at once. A beat
    that is almost due is the one that was just sent.
    """
    left = HEARTBEAT_INTERVAL - (now + BEAT_PHASE) % HEARTBEAT_INTERVAL
    return left if left > LEAST_BEAT_SHARE * HEARTBEAT_INTERVAL else left + HEARTBEAT_INTERVAL


class LinkSet:
    """The links to control machines: subscriptions, and links on which statuses alone are listened to."""

    def __init__(
        self,
        port: int,
        hello: Hello,
        handler: LinkHandler,
        own_ip: str,
        position: PositionReader = read_no_position,
        stalled: StallReader = read_no_stalls,
    ) -> None:
        self._position = position
        self._stalled = stalled
        self._port = port
        self._hello = hello
        self._handler = handler
        self._own_ip = own_ip
        self._links: dict[str, FeedLink] = {}
        self._subscribed: set[str] = set()

    def set_peers(self, peers: Iterable[str], listened: Iterable[str] = ()) -> None:
        """Subscribe to these peers, listen to those besides, and close the links to all others.

        A link that is to become a subscription, or is one no more, is opened anew.
        """
        subscribed = {peer for peer in peers if peer != self._own_ip}
        wanted = subscribed | {peer for peer in listened if peer != self._own_ip}
        changed = {peer for peer in wanted & self._links.keys() if self._changes(peer, subscribed)}
        for peer in (self._links.keys() - wanted) | changed:
            self._links.pop(peer).close()
        for peer in wanted - self._links.keys():
            hello = replace(self._hello, subscribes=peer in subscribed)
            self._links[peer] = FeedLink(
                peer, self._port, hello, self._handler, self._position, self._stalled
            )
        self._subscribed = subscribed

    def _changes(self, peer: str, subscribed: set[str]) -> bool:
        return (peer in subscribed) != (peer in self._subscribed)

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
