"""Serializes the disk writes of a replica, and runs the steps that wait for a record to become durable."""

from dataclasses import dataclass

from rookwood.coordination.document import Position, Record


@dataclass(frozen=True)
class PromiseStep:
    """Send a candidate its promise, once it is durable.

    `candidate_position` is the position of the candidate's document.
    """

    candidate: str
    incarnation: int
    epoch: int
    candidate_position: Position


@dataclass(frozen=True)
class WriteStep:
    """Acknowledge a document to the primary, once it is durable."""

    primary: str
    position: Position


@dataclass(frozen=True)
class OwnPromiseStep:
    """Count the candidate's own promise, once it is durable."""

    epoch: int


@dataclass(frozen=True)
class OwnWriteStep:
    """Count the primary's own copy, once it is durable."""

    position: Position


Step = PromiseStep | WriteStep | OwnPromiseStep | OwnWriteStep


@dataclass(frozen=True)
class WriteResult:
    """The result of a disk write: the steps whose record is durable now, or after a failure all that waited.

    `storage_lost` tells whether the disk holds nothing readable, or less than was known to be durable.
    """

    succeeded: bool
    steps: tuple[Step, ...]
    storage_lost: bool = False


class Journal:
    """The record in memory (`latest`), the record known to be synced (`durable`), and the waiting steps.

    The record that a process finds on its disk at start may not have been synced by the previous process, so
    nothing counts as durable until the first write of this process is done.
    """

    def __init__(self, stored_record: Record) -> None:
        self.latest = stored_record
        self.durable = Record(stored_record.token)
        self.disk_healthy = True
        self._retry_at = float("-inf")
        self._version = 1
        self._durable_version = 0
        self._last_ticket = 0
        self._current_write: _PendingWrite | None = None
        self._waiting_steps: list[tuple[int, Step]] = []

    def update(self, record: Record, step: Step) -> None:
        """Replace the latest record, and run the step once the new record is durable."""
        self._version += 1
        self.latest = record
        self._waiting_steps.append((self._version, step))

    def run_when_durable(self, step: Step) -> None:
        """Run the step once the current latest record is durable."""
        if (self._version, step) not in self._waiting_steps:
            self._waiting_steps.append((self._version, step))

    def reset(self, record: Record) -> None:
        """Start over with this record, since everything stored was lost."""
        self._version += 1
        self.latest = record
        self.durable = Record(record.token)

    def begin_write(self, now: float) -> tuple[int, Record] | None:
        """Start the next write; return its ticket and record, or None if there is nothing to write now.

        A failed disk is tried again from time to time.
        """
        if self._current_write is not None or self.is_latest_durable():
            return None
        if not self.disk_healthy and now < self._retry_at:
            return None
        self._last_ticket += 1
        self._current_write = _PendingWrite(self._last_ticket, self._version, self.latest, now)
        return self._last_ticket, self.latest

    def complete_write(self, ticket: int) -> WriteResult | None:
        """Record that a write is synced; return its result, None if it is not the current write."""
        write = self._take_current_write(ticket)
        if write is None:
            return None
        self.disk_healthy = True
        self._durable_version = write.version
        self.durable = write.record
        steps = tuple(step for version, step in self._waiting_steps if version <= write.version)
        self._waiting_steps = [
            (version, step) for version, step in self._waiting_steps if version > write.version
        ]
        return WriteResult(True, steps)

    def fail_write(self, ticket: int, stored: Record | None, retry_at: float) -> WriteResult | None:
        """Record that a write failed; return its result, None if it is not the current write.

        `stored` is the record on the disk, None if there is no readable one. All waiting steps fail, and the
        latest record becomes the stored one unless the storage is lost.
        """
        write = self._take_current_write(ticket)
        if write is None:
            return None
        steps = tuple(step for _, step in self._waiting_steps)
        self._waiting_steps = []
        self.disk_healthy = False
        self._retry_at = retry_at
        self._version += 1
        if stored is None or _is_older(stored, self.durable):
            return WriteResult(False, steps, storage_lost=True)
        self.latest = stored
        return WriteResult(False, steps)

    def current_write_duration(self, now: float) -> float:
        """Return how long the current write has taken so far, 0 if there is none."""
        return 0.0 if self._current_write is None else now - self._current_write.started_at

    def is_latest_durable(self) -> bool:
        """Return whether the latest record is durable."""
        return self._durable_version == self._version

    def _take_current_write(self, ticket: int) -> "_PendingWrite | None":
        write = self._current_write
        if write is None or write.ticket != ticket:
            return None
        self._current_write = None
        return write


@dataclass(frozen=True)
class _PendingWrite:
    """The write under way."""

    ticket: int
    version: int
    record: Record
    started_at: float


def _is_older(stored: Record, durable: Record) -> bool:
    return stored.promised < durable.promised or stored.document.position < durable.document.position
