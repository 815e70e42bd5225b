"""Messages that wait for a peer that reads slowly: bounded, and the newest of a kind in place of all.

A link that carries less than what happens must not fall behind without end. What tells a state is therefore
queued under the name of that state, and a newer message takes the place of one that still waits. What only
advises is dropped instead of queued. So the queue holds at most the state, whatever the rate of changes.
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
    """What a message tells the newest state of, where there is one such state for a link."""

    STATUS = enum.auto()
    HEARTBEAT = enum.auto()
    HEARTBEAT_ANSWER = enum.auto()
    QUESTION = enum.auto()
    CONFIGURATION = enum.auto()
    DEMAND = enum.auto()


class PresenceSubject(NamedTuple):
    """Whether a worker is there; its end is final, and no later news of it takes its place."""

    worker: str
    final: bool


class AcknowledgedSubject(NamedTuple):
    """That the news of a worker was taken."""

    acknowledgement: PresenceAck


class Never(enum.Enum):
    """Marks a message that does not wait."""

    QUEUED = enum.auto()


def subject_of(message: Message) -> Hashable | Never | None:
    """The state that a message tells; None where it tells news of its own, which no later message repeats."""
    match message:
        case Status():
            return ConflationKey.STATUS
        case Heartbeat():
            return ConflationKey.HEARTBEAT
        case HeartbeatAnswer():
            return ConflationKey.HEARTBEAT_ANSWER
        case FetchConfiguration():
            return ConflationKey.QUESTION
        case ConfigurationBody() | ConfigurationDelta():
            return ConflationKey.CONFIGURATION
        case WorkerUpdates(records=(record,), complete=False):
            return PresenceSubject(record.id, final=False)
        case WorkerGone():
            return PresenceSubject(message.worker, final=message.deleted)
        case PresenceAck():
            return AcknowledgedSubject(message)
        case DemandReport() | DemandSummary():
            return ConflationKey.DEMAND if message.complete else None
        case WorkNotices():
            return Never.QUEUED
        case WorkerUpdates() | Hello():
            return None
    assert_never(message)


class Outbox:
    """Frames in the order in which their subjects first had to wait.

    A frame without a subject, such as a list of workers, may tell of several. What comes after it waits
    behind it, and takes no place before it.
    """

    def __init__(self) -> None:
        self._frames: dict[Hashable, bytes] = {}
        self._lists = 0
        self.size = 0  # bytes

    def __bool__(self) -> bool:
        return bool(self._frames)

    def put(self, subject: Hashable | None, frame: bytes) -> None:
        """Queue a frame, in place of the one of the same subject if that still waits."""
        if subject is None:
            self._lists += 1
        key = (self._lists, subject)
        replaced = self._frames.get(key, b"")
        self._frames[key] = frame
        self.size += len(frame) - len(replaced)

    def take(self) -> bytes:
        """The frame that waits longest."""
        key = next(iter(self._frames))
        frame = self._frames.pop(key)
        self.size -= len(frame)
        return frame
