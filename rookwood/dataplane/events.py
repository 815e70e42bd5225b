"""Splits the bytes of an event stream into whole events."""

from __future__ import annotations

from dataclasses import dataclass

ENDS = (b"\n\n", b"\r\n\r\n")
MAXIMUM_EVENT = 1024 * 1024


class OversizedEventError(Exception):
    """An event that does not end within the size limit."""


@dataclass(frozen=True, slots=True)
class Event:
    """One event as the worker sent it, and its id if it has one."""

    raw: bytes
    id: bytes | None


class EventSplitter:
    """Collects bytes until whole events are there."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[Event]:
        """The events that are whole now; raises OversizedEventError."""
        self._rest += data
        events = []
        while True:
            end = _first_end(self._rest)
            if end < 0:
                break
            raw, self._rest = self._rest[:end], self._rest[end:]
            events.append(Event(raw, read_event_id(raw)))
        if len(self._rest) > MAXIMUM_EVENT:
            raise OversizedEventError
        return events

    @property
    def partial(self) -> bool:
        """Whether an event has begun that is not whole."""
        return bool(self._rest.strip())


def _first_end(data: bytes) -> int:
    ends = [position + len(mark) for mark in ENDS if (position := data.find(mark)) >= 0]
    return min(ends, default=-1)


def read_event_id(raw: bytes) -> bytes | None:
    """The value of the event's `id` field."""
    for line in raw.splitlines():
        name, separator, value = line.partition(b":")
        if separator and name == b"id":
            return value.strip()
    return None


def is_repeated(event: Event, last: bytes | None) -> bool:
    """Whether an event does not come after the last one that was passed on; ids are rising numbers."""
    if last is None or event.id is None:
        return False
    if not (event.id.isdigit() and last.isdigit()):
        return event.id == last
    return int(event.id) <= int(last)
