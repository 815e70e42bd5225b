"""Messages and bytes by direction, kind of peer and message type; no I/O."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

PEER_CORE = "core"
PEER_EDGE = "edge"
PEER_UNIDENTIFIED = "unidentified"  # it has not said hello yet, or calls itself something else


def peer_kind(tier: str) -> str:
    """The kind of a peer by the tier that it tells; bounds the number of kinds."""
    return tier if tier in (PEER_CORE, PEER_EDGE) else PEER_UNIDENTIFIED


class Direction(StrEnum):
    """Which way messages went."""

    SENT = "sent"
    RECEIVED = "received"


@dataclass(slots=True)
class Volume:
    """How many messages, and their bytes with framing."""

    messages: int = 0
    size: int = 0

    def add(self, size: int) -> None:
        """Count one message."""
        self.messages += 1
        self.size += size


@dataclass(frozen=True, slots=True)
class TrafficRecord:
    """The volume of one message type to or from one kind of peer."""

    direction: Direction
    peer: str
    message_type: str
    volume: Volume


class MessageTraffic:
    """Counts messages; a count costs three dictionary lookups."""

    def __init__(self) -> None:
        self._volumes: dict[Direction, dict[str, dict[str, Volume]]] = {
            direction: {} for direction in Direction
        }

    def sent(self, peer: str, message_type: str, size: int) -> None:
        """A message was queued to be sent."""
        self._volume(Direction.SENT, peer, message_type).add(size)

    def received(self, peer: str, message_type: str, size: int) -> None:
        """A message arrived whole."""
        self._volume(Direction.RECEIVED, peer, message_type).add(size)

    def records(self) -> Iterator[TrafficRecord]:
        """Everything that was counted so far."""
        for direction, peers in self._volumes.items():
            for peer, types in peers.items():
                for message_type, volume in types.items():
                    yield TrafficRecord(direction, peer, message_type, volume)

    def _volume(self, direction: Direction, peer: str, message_type: str) -> Volume:
        try:
            return self._volumes[direction][peer][message_type]
        except KeyError:
            return self._volumes[direction].setdefault(peer, {}).setdefault(message_type, Volume())


FEED_TRAFFIC = MessageTraffic()  # one for the process, as its links come and go
