"""One link between a control machine and a dispatcher, or between two control machines, over TCP.

A link may be cut without a word from the network, so one on which nothing arrived for a while is closed.
What a slow reader has not taken yet waits in a bounded outbox, where newer states take the place of older
ones.

Frames are read in the transport's callback: no task, no timer and no wait stands between the bytes and the
receiver, since a process with hundreds of links gets thousands of small messages a second.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Hashable
from typing import cast

from rookwood.cluster.frame_buffer import FrameBuffer
from rookwood.cluster.frames import HEADER, FrameError, decode_message, encode_frame, frame_type
from rookwood.cluster.invariants import INVARIANTS, Invariant
from rookwood.cluster.messages import Hello, Message
from rookwood.cluster.outbox import Never, Outbox, subject_of
from rookwood.cluster.position import NO_CONFIGURATION
from rookwood.metrics.traffic import FEED_TRAFFIC, PEER_UNIDENTIFIED

SILENCE_LIMIT = 1.4  # seconds without a byte
MESSAGE_LIMIT = 15.0  # seconds for one message, as long as its bytes keep coming
UNSENT_LIMIT = 64 * 1024  # bytes that are handed to the transport before others wait in the outbox
UNSENT_LOW = 16 * 1024  # bytes below which the transport is handed more
KERNEL_BUFFER = 32 * 1024  # bytes that the kernel may keep unsent for a link; Linux doubles it
OUTBOX_LIMIT = 1024 * 1024  # bytes that may wait before what no later message replaces ends the link
QUEUE_BOUND = 4 * OUTBOX_LIMIT  # bytes that may wait at all: one of each state and what nothing replaces

MessageHandler = Callable[["Connection", Message], None]
EndHandler = Callable[["Connection"], None]


class Connection(asyncio.Protocol):
    """One open link: frames out, messages in."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._on_message: MessageHandler | None = None
        self._on_end: EndHandler | None = None
        self._received = FrameBuffer()
        self._heard_at = self._loop.time()
        self._message_began: float | None = None
        self._watchdog: asyncio.TimerHandle | None = None
        self._outbox = Outbox()
        self._unsent = memoryview(b"")  # the rest of the frame that is handed to the transport in pieces
        self._paused = False
        self._lost = False
        self.hello: Hello | None = None
        self.position = NO_CONFIGURATION  # of the configuration by which the peer serves
        self.peer_kind = PEER_UNIDENTIFIED

    def start(self, on_message: MessageHandler, on_end: EndHandler) -> None:
        """Hand over what comes from now on, and what came before; `on_end` is called once, at the end."""
        self._on_message = on_message
        self._on_end = on_end
        if self._lost:
            on_end(self)
        elif self._transport is not None:
            self._take_messages()

    # Called by the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The link is open."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=UNSENT_LIMIT, low=UNSENT_LOW)
        link_socket = transport.get_extra_info("socket")
        if link_socket is not None:
            link_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            link_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER)
        self._heard_at = self._loop.time()
        self._watch()

    def connection_lost(self, exc: Exception | None) -> None:
        """The link ended."""
        self._lost = True
        if self._watchdog is not None:
            self._watchdog.cancel()
        if self._on_end is not None:
            self._on_end(self)

    def data_received(self, data: bytes) -> None:
        """Bytes came. After a silence they are refused: this process stood still, and they are old."""
        now = self._loop.time()
        if now - self._heard_at > SILENCE_LIMIT:
            self.abort()
            return
        self._heard_at = now
        self._received.add(data)
        self._take_messages()

    def pause_writing(self) -> None:
        """The transport holds enough."""
        self._paused = True

    def resume_writing(self) -> None:
        """The transport wants more."""
        self._paused = False
        self._flush()

    # Sending

    @property
    def queued_bytes(self) -> int:
        """Bytes that wait in this process."""
        buffered = self._transport.get_write_buffer_size() if self._transport is not None else 0
        return buffered + len(self._unsent) + self._outbox.size

    def send(self, message: Message) -> None:
        """Send one message, or queue it."""
        self.send_frame(encode_frame(message), subject_of(message))

    def send_frame(self, frame: bytes, subject: Hashable | Never | None = None) -> None:
        """Send a frame at once, or queue it under its subject where the peer reads slowly."""
        if self._transport is None or self._transport.is_closing():
            return
        waiting = bool(self._unsent) or bool(self._outbox)
        if not waiting and self._transport.get_write_buffer_size() + len(frame) <= UNSENT_LIMIT:
            self._count_sent(frame)
            self._transport.write(frame)
        elif subject is not Never.QUEUED:
            self._queue(frame, subject)

    def _count_sent(self, frame: bytes) -> None:
        FEED_TRAFFIC.sent(self.peer_kind, frame_type(frame), len(frame))

    def _queue(self, frame: bytes, subject: Hashable | None) -> None:
        if subject is None and self._outbox and self._outbox.size + len(frame) > OUTBOX_LIMIT:
            self.abort()
            return
        self._outbox.put(subject, frame)
        detail = f"{self._outbox.size} bytes for {self.hello}"
        INVARIANTS.check(self._outbox.size <= QUEUE_BOUND, Invariant.LINK_QUEUE_BOUNDED, detail)
        self._flush()

    def _flush(self) -> None:
        """Hand frames to the transport in pieces, since that copies whatever it can't send at once."""
        while self._transport is not None and not self._paused and not self._transport.is_closing():
            if not self._unsent:
                if not self._outbox:
                    return
                frame = self._outbox.take()
                self._count_sent(frame)
                self._unsent = memoryview(frame)
            piece = self._unsent[:UNSENT_LIMIT]
            self._unsent = self._unsent[UNSENT_LIMIT:]
            self._transport.write(piece)

    def abort(self) -> None:
        """Close without waiting for what is queued."""
        if self._transport is not None:
            self._transport.abort()

    # Receiving

    def is_receiving(self, now: float, within: float) -> bool:
        """Whether a part of a message came in the last seconds, and the rest is awaited."""
        return self._message_began is not None and now - self._heard_at < within

    def _take_messages(self) -> None:
        """Hand over the messages that are whole; the link ends where the peer breaks the protocol."""
        try:
            while self._on_message is not None and not self._is_closing():
                frame = self._received.take()
                if frame is None:
                    break
                self._message_began = None
                message = decode_message(frame.number, frame.body)
                size = HEADER.size + len(frame.body)
                FEED_TRAFFIC.received(self.peer_kind, type(message).__name__, size)
                self._on_message(self, message)
        except FrameError:
            self.abort()
            return
        self._note_part()

    def _note_part(self) -> None:
        if not self._received.holds_part():
            self._message_began = None
        elif self._message_began is None:
            self._message_began = self._heard_at

    def _is_closing(self) -> bool:
        return self._transport is None or self._transport.is_closing()

    def _watch(self) -> None:
        """Close a link that fell silent, or whose message takes too long; one timer a link."""
        now = self._loop.time()
        began = self._message_began
        overdue = began is not None and now - began > MESSAGE_LIMIT
        due = self._heard_at + SILENCE_LIMIT
        if now >= due or overdue:
            self.abort()
            return
        self._watchdog = self._loop.call_at(due, self._watch)
