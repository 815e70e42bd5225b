"""Relays between a data plane and the control planes' feeds: one slow link with faults, over real sockets.

The data plane has the relays' addresses as its seeds, one for each control plane. Messages that name control
planes are translated, so that the data plane finds all of them behind relays and none directly.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, fields, replace
from enum import StrEnum
from typing import Any

from rookwood.cluster.feed import CONNECT_LIMIT
from rookwood.cluster.frames import HEADER, LINK_ERRORS, decode_message, encode_frame
from rookwood.cluster.messages import ControlMachine, Message
from rookwood.lab.raw_http import reset_connection

CHUNK = 4 * 1024
WINDOW = 16 * 1024  # of frames that have passed the link and wait to be delivered
RECEIVE_BUFFER = 8 * 1024
SEGMENT_SIZE = 1_460  # small beside the receive buffer, as on a real network


class Direction(StrEnum):
    """The two ways through a relay, seen from the data plane."""

    UP = "up"
    DOWN = "down"


class Pacer:
    """One direction of a link: bytes pass one after the other at a rate (bytes/s) that may change."""

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self._free_at = 0.0

    async def carry(self, size: int) -> None:
        """Returns once so many bytes have passed."""
        now = asyncio.get_running_loop().time()
        self._free_at = max(now, self._free_at) + size / self.rate
        await asyncio.sleep(self._free_at - now)


class FeedLane:
    """One direction of one relay: the data plane's link in this direction, and the faults of this relay."""

    def __init__(self, pacer: Pacer, translation: Mapping[str, str]) -> None:
        self.pacer = pacer
        self.translation = translation
        self.delay_s = 0.0
        self.sound = asyncio.Event()
        self.sound.set()


@dataclass(frozen=True, slots=True)
class TimedFrame:
    """A frame and when it is to be delivered; an empty frame stands for the end of the stream."""

    frame: bytes
    due: float


class FrameQueue:
    """Frames under way; a writer waits while WINDOW bytes are."""

    def __init__(self) -> None:
        self._frames: deque[TimedFrame] = deque()
        self._size = 0
        self._changed = asyncio.Condition()

    async def put(self, item: TimedFrame) -> None:
        """Adds a frame as soon as there is room."""
        async with self._changed:
            await self._changed.wait_for(lambda: self._size < WINDOW)
            self._frames.append(item)
            self._size += len(item.frame)
            self._changed.notify_all()

    async def get(self) -> TimedFrame:
        """Takes the oldest frame, once there is one."""
        async with self._changed:
            await self._changed.wait_for(lambda: bool(self._frames))
            item = self._frames.popleft()
            self._size -= len(item.frame)
            self._changed.notify_all()
            return item


class FeedRelay:
    """Relays all links between one data plane and one control plane."""

    def __init__(self, ip: str, port: int, control_ip: str, lanes: Mapping[Direction, FeedLane]) -> None:
        self.ip = ip
        self.control_ip = control_ip
        self.lanes = lanes
        self._port = port
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens at the relay's own address."""
        listener = small_socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self.ip, self._port))
        self._server = await asyncio.start_server(self._accept, sock=listener, limit=CHUNK)

    async def stop(self) -> None:
        """Stops listening and ends all links."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def cut(self, *directions: Direction) -> None:
        """Nothing passes in these directions, or in both, and neither side is told."""
        for direction in directions or tuple(Direction):
            self.lanes[direction].sound.clear()

    def heal(self) -> None:
        """Everything passes again, what was held back included, without delay."""
        for lane in self.lanes.values():
            lane.delay_s = 0.0
            lane.sound.set()

    def delay(self, seconds: float) -> None:
        """Every frame arrives so much later from now on."""
        for lane in self.lanes.values():
            lane.delay_s = seconds

    def reset(self) -> None:
        """Ends all open links with a reset on both sides."""
        for writer in self._writers:
            reset_connection(writer)

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writers = [writer]
        self._register(writer)
        try:
            for lane in self.lanes.values():
                await lane.sound.wait()
            control_reader, control_writer = await self._connect()
            writers.append(control_writer)
            self._register(control_writer)
            up = carry_frames(reader, control_writer, self.lanes[Direction.UP])
            down = carry_frames(control_reader, writer, self.lanes[Direction.DOWN])
            await until_first_ends(asyncio.create_task(up), asyncio.create_task(down))
        except LINK_ERRORS:
            pass
        finally:
            for open_writer in writers:
                self._writers.discard(open_writer)
                open_writer.transport.abort()

    def _register(self, writer: asyncio.StreamWriter) -> None:
        writer.transport.set_write_buffer_limits(high=0)
        self._writers.add(writer)

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        connection = small_socket()
        try:
            async with asyncio.timeout(CONNECT_LIMIT):
                await asyncio.get_running_loop().sock_connect(connection, (self.control_ip, self._port))
        except (OSError, TimeoutError):
            connection.close()
            raise
        return await asyncio.open_connection(sock=connection, limit=CHUNK)


class FeedRelays:
    """All relays of one data plane; they share its link, which has the same rate in both directions."""

    def __init__(self, relay_ips: Mapping[str, str], port: int, rate: float) -> None:
        """`relay_ips`: the relay's address for each control plane's."""
        real_ips = {relay: control for control, relay in relay_ips.items()}
        self._pacers = {direction: Pacer(rate) for direction in Direction}
        translations = {Direction.UP: real_ips, Direction.DOWN: relay_ips}
        self.relays = [
            FeedRelay(
                relay_ip,
                port,
                control_ip,
                {way: FeedLane(self._pacers[way], translations[way]) for way in Direction},
            )
            for control_ip, relay_ip in relay_ips.items()
        ]

    def set_rate(self, rate: float) -> None:
        """Changes the rate of the link (bytes/s)."""
        for pacer in self._pacers.values():
            pacer.rate = rate

    async def start(self) -> None:
        """Starts all relays."""
        await asyncio.gather(*(relay.start() for relay in self.relays))

    async def stop(self) -> None:
        """Stops all relays."""
        await asyncio.gather(*(relay.stop() for relay in self.relays))


def small_socket() -> socket.socket:
    """A socket that takes in little before it is read, so that the other side feels the link's rate."""
    connection = socket.socket()
    connection.setblocking(False)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_SIZE)
    return connection


async def until_first_ends(*tasks: asyncio.Task[None]) -> None:
    """Waits for the first of these tasks and cancels the others."""
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def carry_frames(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, lane: FeedLane) -> None:
    """Carries frames through a lane until the end of the stream has passed it too."""
    queue = FrameQueue()
    reading = asyncio.create_task(read_frames(reader, queue, lane))
    try:
        await deliver_frames(queue, writer, lane)
    finally:
        reading.cancel()
        await asyncio.gather(reading, return_exceptions=True)


async def read_frames(reader: asyncio.StreamReader, queue: FrameQueue, lane: FeedLane) -> None:
    """Reads frames at the rate of the link, translated."""
    loop = asyncio.get_running_loop()
    try:
        while True:
            frame = await read_frame(reader, lane)
            await queue.put(TimedFrame(frame, loop.time() + lane.delay_s))
    except LINK_ERRORS:
        await queue.put(TimedFrame(b"", loop.time() + lane.delay_s))


async def deliver_frames(queue: FrameQueue, writer: asyncio.StreamWriter, lane: FeedLane) -> None:
    """Writes frames when they are due and the lane is sound; returns at the end of the stream."""
    loop = asyncio.get_running_loop()
    while True:
        item = await queue.get()
        await asyncio.sleep(item.due - loop.time())
        await lane.sound.wait()
        if not item.frame:
            return
        writer.write(item.frame)
        await writer.drain()


async def read_frame(reader: asyncio.StreamReader, lane: FeedLane) -> bytes:
    """The next frame, translated; its bytes pass the link as they are read."""
    header = await read_paced(reader, HEADER.size, lane.pacer)
    length, number = HEADER.unpack(header)
    body = await read_paced(reader, length, lane.pacer)
    message = decode_message(number, body)
    translated = translate(message, lane.translation)
    return header + body if translated == message else encode_frame(translated)


async def read_paced(reader: asyncio.StreamReader, size: int, pacer: Pacer) -> bytes:
    """So many bytes, none read much ahead of the link's rate."""
    parts: list[bytes] = []
    left = size
    while left:
        part = await reader.readexactly(min(left, CHUNK))
        await pacer.carry(len(part))
        parts.append(part)
        left -= len(part)
    return b"".join(parts)


def translate(message: Message, translation: Mapping[str, str]) -> Message:
    """The message with other addresses in each field that is an address or a tuple of such."""
    changes: dict[str, Any] = {}
    for item in fields(message):
        value = getattr(message, item.name)
        if isinstance(value, str) and value in translation:
            changes[item.name] = translation[value]
        elif isinstance(value, tuple) and any(isinstance(part, str) for part in value):
            changes[item.name] = tuple(translation.get(part, part) for part in value)
        elif isinstance(value, tuple) and any(isinstance(part, ControlMachine) for part in value):
            changes[item.name] = tuple(replace(part, ip=translation.get(part.ip, part.ip)) for part in value)
    return replace(message, **changes)
