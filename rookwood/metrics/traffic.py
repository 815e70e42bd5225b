"""Counts messages and their bytes by direction, kind of peer and message type; does no I/O."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

PEER_CORE = "core"
PEER_EDGE = "edge"
PEER_UNIDENTIFIED = "unidentified"  # no hello was received yet, or it names an unknown tier


def peer_kind(tier: str) -> str:
    """Return the kind of a peer by the tier in its hello; unknown tiers are one kind, to bound the labels."""
    return tier if tier in (PEER_CORE, PEER_EDGE) else PEER_UNIDENTIFIED


class Direction(StrEnum):
    """Direction of messages, as seen from this process."""

    SENT = "sent"
    RECEIVED = "received"


@dataclass(slots=True)
class Volume:
    """Number of messages, and their size in bytes with framing."""

    messages: int = 0
    size: int = 0

    def add(self, size: int) -> None:
        """Count one message."""
        self.messages += 1
        self.size += size


@dataclass(frozen=True, slots=True)
class TrafficRecord:
    """The volume of one message type sent to or received from one kind of peer."""

    direction: Direction
    peer: str
    message_type: str
    volume: Volume


_Volumes = dict[str, dict[str, Volume]]  # by kind of peer and message type


class MessageTraffic:
    """Counts messages; a count costs two dictionary lookups."""

    def __init__(self) -> None:
        self._sent: _Volumes = {}
        self._received: _Volumes = {}

    def sent(self, peer: str, message_type: str, size: int) -> None:
        """Count a message that was queued to be sent."""
        _volume(self._sent, peer, message_type).add(size)

    def received(self, peer: str, message_type: str, size: int) -> None:
        """Count a message that was received completely."""
        _volume(self._received, peer, message_type).add(size)

    def records(self) -> Iterator[TrafficRecord]:
        """Yield everything counted so far."""
        yield from _records(Direction.SENT, self._sent)
        yield from _records(Direction.RECEIVED, self._received)


def _volume(volumes: _Volumes, peer: str, message_type: str) -> Volume:
    try:
        return volumes[peer][message_type]
    except KeyError:
        return volumes.setdefault(peer, {}).setdefault(message_type, Volume())


def _records(direction: Direction, volumes: _Volumes) -> Iterator[TrafficRecord]:
    for peer, types in volumes.items():
        for message_type, volume in types.items():
            yield TrafficRecord(direction, peer, message_type, volume)


FEED_TRAFFIC = MessageTraffic()  # one for the process, since its links come and go
