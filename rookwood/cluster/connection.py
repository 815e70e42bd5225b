"""A TCP link between a control machine and a dispatcher, or between two control machines.

The network may drop a link without closing it, so a link on which nothing arrives for a while is closed.
Messages that a slow reader has not received yet wait in a bounded outbox with conflation.

Frames are decoded in the transport's callback, without a task, a timer or an await for each message, because
a process with hundreds of links receives thousands of small messages per second.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable, Hashable
from typing import cast

from rookwood.cluster.frame_buffer import FrameBuffer
from rookwood.cluster.frames import HEADER, FrameError, decode_message, encode_frame, frame_type
from rookwood.cluster.invariants import INVARIANTS, Invariant
from rookwood.cluster.messages import Hello, Message
from rookwood.cluster.outbox import Outbox, QueuePolicy, conflation_key
from rookwood.cluster.position import NO_CONFIGURATION
from rookwood.memory_budget import Holding, MemoryBudget, Purpose
from rookwood.metrics.traffic import FEED_TRAFFIC, PEER_UNIDENTIFIED

IDLE_TIMEOUT = 1.4  # seconds without a received byte
MESSAGE_TIMEOUT = 15.0  # seconds for receiving one message, even if its bytes keep coming
SMALL_PARTIAL_FRAME = 64 * 1024  # bytes of a frame that are received without asking for memory
KERNEL_RECEIVE_BUFFER = 256 * 1024  # bytes that the kernel keeps unread; Linux doubles it
WRITE_HIGH_WATER = 64 * 1024  # bytes in the transport above which frames wait in the outbox
WRITE_LOW_WATER = 16 * 1024  # bytes in the transport below which waiting frames are written
KERNEL_SEND_BUFFER = 32 * 1024  # bytes; the size of the socket's send buffer, which Linux doubles
OUTBOX_LIMIT = 1024 * 1024  # bytes in the outbox from which a frame without a conflation key closes the link
MAX_OUTBOX_SIZE = 4 * OUTBOX_LIMIT  # bytes; one frame of each conflation key and the frames without one

logger = logging.getLogger("rookwood")

MessageHandler = Callable[["Connection", Message], None]
EndHandler = Callable[["Connection"], None]


class Connection(asyncio.Protocol):
    """One link: sends messages as frames and delivers the received messages to a handler.

    `budget` owns the memory of the process; a link whose frame finds no room in it is closed. On an
    `is_incoming` link, the first message must be a hello.
    """

    def __init__(self, budget: MemoryBudget | None = None, is_incoming: bool = False) -> None:
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._on_message: MessageHandler | None = None
        self._on_end: EndHandler | None = None
        self._frame_buffer = FrameBuffer()
        self._frame_buffer.expects_hello = is_incoming
        self._partial_frame = None if budget is None else Holding(budget, Purpose.LINK)
        self._last_received_at = self._loop.time()
        self._message_started_at: float | None = None
        self._watchdog: asyncio.TimerHandle | None = None
        self._outbox = Outbox()
        self._unsent = memoryview(b"")  # the unsent rest of the frame that is being written in pieces
        self._paused = False
        self._closed = False
        self._is_refused = False
        self.hello: Hello | None = None
        self.position = NO_CONFIGURATION  # of the configuration in force at the peer
        self.peer_kind = PEER_UNIDENTIFIED

    def start(self, on_message: MessageHandler, on_end: EndHandler) -> None:
        """Deliver messages from now on, earlier ones first; `on_end` is called once, when the link closes."""
        self._on_message = on_message
        self._on_end = on_end
        if self._closed:
            on_end(self)
        elif self._transport is not None:
            self._deliver_messages()

    # Called by the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up the socket of the opened link and start its timeouts."""
        self._transport = cast(asyncio.Transport, transport)
        if self._is_refused:
            self._transport.abort()
            return
        self._transport.set_write_buffer_limits(high=WRITE_HIGH_WATER, low=WRITE_LOW_WATER)
        link_socket = transport.get_extra_info("socket")
        if link_socket is not None:
            link_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            link_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_SEND_BUFFER)
            link_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_RECEIVE_BUFFER)
        self._last_received_at = self._loop.time()
        self._check_timeouts()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the link."""
        self._closed = True
        if self._partial_frame is not None:
            self._partial_frame.release()
        if self._watchdog is not None:
            self._watchdog.cancel()
        if self._on_end is not None:
            self._on_end(self)

    def data_received(self, data: bytes) -> None:
        """Deliver the messages in the received bytes.

        Bytes that arrive after the idle timeout close the link: this process was stalled, and they may be
        old.
        """
        now = self._loop.time()
        if now - self._last_received_at > IDLE_TIMEOUT:
            self.abort()
            return
        self._last_received_at = now
        self._frame_buffer.add(data)
        self._deliver_messages()
        if not self._hold_partial_frame():
            logger.warning("no memory for a frame", extra={"peer": self.hello and self.hello.identity})
            self.abort()

    def pause_writing(self) -> None:
        """The transport's write buffer is full."""
        self._paused = True

    def resume_writing(self) -> None:
        """The transport's write buffer has room again."""
        self._paused = False
        self._flush()

    # Sending

    @property
    def queued_bytes(self) -> int:
        """Bytes that wait to be sent in this process."""
        buffered = self._transport.get_write_buffer_size() if self._transport is not None else 0
        return buffered + len(self._unsent) + self._outbox.size

    def send(self, message: Message) -> None:
        """Send a message, or queue it under its conflation key."""
        self.send_frame(encode_frame(message), conflation_key(message))

    def send_frame(self, frame: bytes, key: Hashable | QueuePolicy | None = None) -> None:
        """Send a frame at once, or queue it under its conflation key if earlier data is still waiting."""
        if self._transport is None or self._transport.is_closing():
            return
        has_queued = bool(self._unsent) or bool(self._outbox)
        if not has_queued and self._transport.get_write_buffer_size() + len(frame) <= WRITE_HIGH_WATER:
            self._count_sent(frame)
            self._transport.write(frame)
        elif key is not QueuePolicy.DROP:
            self._enqueue(frame, key)

    def _count_sent(self, frame: bytes) -> None:
        FEED_TRAFFIC.sent(self.peer_kind, frame_type(frame), len(frame))

    def _enqueue(self, frame: bytes, key: Hashable | None) -> None:
        if key is None and self._outbox and self._outbox.size + len(frame) > OUTBOX_LIMIT:
            self.abort()
            return
        self._outbox.put(key, frame)
        detail = f"{self._outbox.size} bytes for {self.hello}"
        INVARIANTS.check(self._outbox.size <= MAX_OUTBOX_SIZE, Invariant.LINK_QUEUE_BOUNDED, detail)
        self._flush()

    def _flush(self) -> None:
        """Write queued frames in pieces, because the transport copies whatever it can't send at once."""
        while self._transport is not None and not self._paused and not self._transport.is_closing():
            if not self._unsent:
                if not self._outbox:
                    return
                frame = self._outbox.pop()
                self._count_sent(frame)
                self._unsent = memoryview(frame)
            piece = self._unsent[:WRITE_HIGH_WATER]
            self._unsent = self._unsent[WRITE_HIGH_WATER:]
            self._transport.write(piece)

    def refuse(self) -> None:
        """Close the link as soon as it is open."""
        self._is_refused = True

    def abort(self) -> None:
        """Close the link and discard queued data."""
        if self._transport is not None:
            self._transport.abort()

    # Receiving

    def is_receiving(self, now: float, max_age: float) -> bool:
        """Whether a message has arrived in part, its latest bytes within the last `max_age` seconds."""
        return self._message_started_at is not None and now - self._last_received_at < max_age

    def _deliver_messages(self) -> None:
        """Deliver the complete messages; close the link if the peer violates the protocol."""
        try:
            while self._on_message is not None and not self._is_closing():
                frame = self._frame_buffer.next_frame()
                if frame is None:
                    break
                self._message_started_at = None
                message = decode_message(frame.type_number, frame.body)
                size = HEADER.size + len(frame.body)
                FEED_TRAFFIC.received(self.peer_kind, type(message).__name__, size)
                self._on_message(self, message)
        except FrameError:
            self.abort()
            return
        self._update_message_start()

    def _hold_partial_frame(self) -> bool:
        """Hold the memory of an incomplete frame; returns whether there is room for it."""
        memory = self._partial_frame
        if memory is None:
            return True
        size = len(self._frame_buffer)
        if size <= SMALL_PARTIAL_FRAME:
            memory.release()
            return True
        return memory.size >= size or memory.take(size - memory.size)

    def _update_message_start(self) -> None:
        if not self._frame_buffer.has_partial_frame():
            self._message_started_at = None
        elif self._message_started_at is None:
            self._message_started_at = self._last_received_at

    def _is_closing(self) -> bool:
        return self._transport is None or self._transport.is_closing()

    def _check_timeouts(self) -> None:
        """Close the link if it is idle or one message takes too long; reschedules itself."""
        now = self._loop.time()
        started_at = self._message_started_at
        overdue = started_at is not None and now - started_at > MESSAGE_TIMEOUT
        idle_deadline = self._last_received_at + IDLE_TIMEOUT
        if now >= idle_deadline or overdue:
            self.abort()
            return
        self._watchdog = self._loop.call_at(idle_deadline, self._check_timeouts)
