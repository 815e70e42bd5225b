"""Splits the byte stream of a link into frames; no I/O."""

from __future__ import annotations

from typing import NamedTuple

from rookwood.cluster.frames import HEADER, FrameError, is_hello, read_header


class Frame(NamedTuple):
    """A complete frame: the number of its message type and its Avro record."""

    type_number: int
    body: bytes


class FrameBuffer:
    """Received bytes that have not been returned as frames yet."""

    def __init__(self) -> None:
        self._data = bytearray()
        self.expects_hello = False  # whether no other frame may come next

    def __len__(self) -> int:
        return len(self._data)

    def add(self, data: bytes) -> None:
        """Append received bytes."""
        self._data += data

    def has_partial_frame(self) -> bool:
        """Whether a frame has begun: its header is complete."""
        return len(self._data) >= HEADER.size

    def next_frame(self) -> Frame | None:
        """Remove and return the next complete frame, if any; raises FrameError for an invalid header."""
        if len(self._data) < HEADER.size:
            return None
        length, type_number = read_header(bytes(self._data[: HEADER.size]))
        if self.expects_hello and not is_hello(type_number):
            raise FrameError("the first frame is no hello")
        end = HEADER.size + length
        if len(self._data) < end:
            return None
        body = bytes(self._data[HEADER.size : end])
        del self._data[:end]
        self.expects_hello = False
        return Frame(type_number, body)
