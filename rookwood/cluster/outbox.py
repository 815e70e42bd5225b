"""The send queue of a link, with conflation: a newer message of the same key replaces the queued one.

A link whose bandwidth is below the rate of changes must not fall behind without limit. Messages that carry a
state are queued under a conflation key, so that the queue holds each state at most once, whatever the rate of
changes. Advisory messages are dropped instead of queued.
"""

from __future__ import annotations

import enum
from collections.abc import Hashable
from typing import NamedTuple, assert_never

from rookwood.cluster.messages import (
    ConfigurationBody,
    ConfigurationDelta,
    DemandReport,
    DemandSummary,
    FetchConfiguration,
    Heartbeat,
    HeartbeatAnswer,
    Hello,
    Message,
    PresenceAck,
    Status,
    WorkerGone,
    WorkerUpdates,
    WorkNotices,
)


class ConflationKey(enum.Enum):
    """Conflation keys of states of which there is one per link."""

    STATUS = enum.auto()
    HEARTBEAT = enum.auto()
    HEARTBEAT_ANSWER = enum.auto()
    FETCH_REQUEST = enum.auto()
    CONFIGURATION = enum.auto()
    DEMAND = enum.auto()


class PresenceKey(NamedTuple):
    """Conflation key of a worker's presence; `final` marks a deregistration, which no record replaces."""

    worker: str
    final: bool


class AcknowledgementKey(NamedTuple):
    """Conflation key of an acknowledgement of a worker's presence."""

    acknowledgement: PresenceAck


class QueuePolicy(enum.Enum):
    """Marks a message that is dropped instead of queued while the peer reads slowly."""

    DROP = enum.auto()


def conflation_key(message: Message) -> Hashable | QueuePolicy | None:
    """The conflation key of a message; None if it must be queued and no later message may replace it."""
    match message:
        case Status():
            return ConflationKey.STATUS
        case Heartbeat():
            return ConflationKey.HEARTBEAT
        case HeartbeatAnswer():
            return ConflationKey.HEARTBEAT_ANSWER
        case FetchConfiguration():
            return ConflationKey.FETCH_REQUEST
        case ConfigurationBody() | ConfigurationDelta():
            return ConflationKey.CONFIGURATION
        case WorkerUpdates(records=(record,), complete=False, ended=(), draining=()):
            return PresenceKey(record.id, final=False)
        case WorkerGone():
            return PresenceKey(message.worker, final=message.deleted)
        case PresenceAck():
            return AcknowledgementKey(message)
        case DemandReport() | DemandSummary():
            return ConflationKey.DEMAND if message.complete else None
        case WorkNotices():
            return QueuePolicy.DROP
        case WorkerUpdates() | Hello():
            return None
    assert_never(message)


class Outbox:
    """A queue of frames, in the order in which their keys were first queued.

    A frame without a key, such as a list of workers, may concern several states. It acts as a barrier: frames
    queued after it replace no frame queued before it.
    """

    def __init__(self) -> None:
        self._frames: dict[Hashable, bytes] = {}
        self._unkeyed_count = 0
        self.size = 0  # bytes

    def __bool__(self) -> bool:
        return bool(self._frames)

    def put(self, key: Hashable | None, frame: bytes) -> None:
        """Queue a frame; it replaces a queued frame of the same key."""
        if key is None:
            self._unkeyed_count += 1
        slot = (self._unkeyed_count, key)
        replaced = self._frames.get(slot, b"")
        self._frames[slot] = frame
        self.size += len(frame) - len(replaced)

    def pop(self) -> bytes:
        """Remove and return the frame at the head of the queue."""
        key = next(iter(self._frames))
        frame = self._frames.pop(key)
        self.size -= len(frame)
        return frame
