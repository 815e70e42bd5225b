"""Splits the bytes of a server-sent event stream into events."""

from __future__ import annotations

import re
from dataclasses import dataclass

EVENT_END = re.compile(rb"\n\n|\r\n\r\n")
LONGEST_EVENT_END = 4  # bytes
MAX_EVENT_SIZE = 1024 * 1024
MAX_EMPTY_EVENTS = 1024  # of a stream; they are nothing but line ends


class OversizedEventError(Exception):
    """An event does not end within `MAX_EVENT_SIZE` bytes, or too many are empty."""


@dataclass(frozen=True, slots=True)
class Event:
    """The bytes of one event with its terminator, and its id or None."""

    raw: bytes
    id: bytes | None


class EventSplitter:
    """Buffers bytes until they form complete events."""

    def __init__(self) -> None:
        self._buffer = b""
        self._searched = 0  # bytes of the buffer in which no event ends
        self._empty_events = 0

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes; returns the events that are complete now. Raises OversizedEventError."""
        self._buffer += data
        events = []
        begin = 0
        for end in EVENT_END.finditer(self._buffer, self._searched):
            raw = self._buffer[begin : end.end()]
            begin = end.end()
            self._count_empty(raw)
            events.append(Event(raw, read_event_id(raw)))
        self._buffer = self._buffer[begin:]
        self._searched = max(0, len(self._buffer) - LONGEST_EVENT_END + 1)
        if len(self._buffer) > MAX_EVENT_SIZE:
            raise OversizedEventError
        return events

    def _count_empty(self, raw: bytes) -> None:
        if raw.isspace():
            self._empty_events += 1
            if self._empty_events > MAX_EMPTY_EVENTS:
                raise OversizedEventError

    @property
    def partial_size(self) -> int:
        """The bytes of the event that is not complete."""
        return len(self._buffer)

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer holds the beginning of an event."""
        return bool(self._buffer.strip())


def read_event_id(raw: bytes) -> bytes | None:
    """The value of the event's `id` field, or None."""
    for line in raw.splitlines():
        name, separator, value = line.partition(b":")
        if separator and name == b"id":
            return value.strip()
    return None


def is_already_forwarded(event: Event, last_id: bytes | None) -> bool:
    """Whether an event is not newer than the last one that was forwarded; ids are increasing numbers."""
    if last_id is None or event.id is None:
        return False
    if not (event.id.isdigit() and last_id.isdigit()):
        return event.id == last_id
    return int(event.id) <= int(last_id)
