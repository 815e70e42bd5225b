"""Events of a stream, as a client reads them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class StreamEvent:
    """One event of a stream."""

    event_id: int
    data: str

    @property
    def run_label(self) -> str:
        """The run that made it, as emulated workers write it."""
        return self.data


class EventParser:
    """Takes the bytes of a stream apart into events."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """The events that these bytes complete."""
        *whole, self._rest = (self._rest + data).split(b"\n\n")
        return [parse_event(part) for part in whole]

    @property
    def rest(self) -> bytes:
        """The bytes of an event that is not whole."""
        return self._rest


def parse_event(text: bytes) -> StreamEvent:
    """Reads one event without its blank line."""
    fields: dict[str, str] = {}
    for line in text.decode().splitlines():
        name, _, value = line.partition(":")
        fields[name] = value.removeprefix(" ")
    return StreamEvent(int(fields["id"]), fields["data"])
