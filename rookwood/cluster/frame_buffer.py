"""Splits the bytes of a link into frames, whatever pieces they come in; no I/O."""

from __future__ import annotations

from typing import NamedTuple

from rookwood.cluster.frames import HEADER, read_header


class Frame(NamedTuple):
    """A whole frame: its message type and its Avro record."""

    number: int
    body: bytes


class FrameBuffer:
    """Bytes that came and are not taken as frames yet."""

    def __init__(self) -> None:
        self._data = bytearray()

    def __len__(self) -> int:
        return len(self._data)

    def add(self, data: bytes) -> None:
        """More bytes came."""
        self._data += data

    def holds_part(self) -> bool:
        """Whether a frame has begun, of which more than the header is awaited."""
        return len(self._data) >= HEADER.size

    def take(self) -> Frame | None:
        """The next whole frame, or None; raises FrameError where there is no sound header."""
        if len(self._data) < HEADER.size:
            return None
        length, number = read_header(bytes(self._data[: HEADER.size]))
        end = HEADER.size + length
        if len(self._data) < end:
            return None
        body = bytes(self._data[HEADER.size : end])
        del self._data[:end]
        return Frame(number, body)
