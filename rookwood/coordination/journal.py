"""Order of durable writes: one at a time, each followed by the steps that waited for it."""

from dataclasses import dataclass

from rookwood.coordination.document import Position, Record


@dataclass(frozen=True)
class PromiseStep:
    """Answer a candidate once the promise is durable."""

    candidate: str
    incarnation: int
    epoch: int
    known: Position


@dataclass(frozen=True)
class WriteStep:
    """Acknowledge a document to the primary once it is durable."""

    primary: str
    position: Position


@dataclass(frozen=True)
class OwnPromiseStep:
    """Ask for votes once the candidate's own promise is durable."""

    epoch: int


@dataclass(frozen=True)
class OwnWriteStep:
    """Count the primary's own copy once it is durable."""

    position: Position


Step = PromiseStep | WriteStep | OwnPromiseStep | OwnWriteStep


@dataclass(frozen=True)
class Flushed:
    """Result of a durable write: the steps that may go on, or those that failed."""

    succeeded: bool
    steps: tuple[Step, ...]
    lost: bool = False


class Journal:
    """The record in memory (`latest`), the record known to be synced (`durable`), and what waits.

    What a process finds on its disk at start may not have been synced by the process before it, so
    nothing counts as durable until the first write of this process is done.
    """

    def __init__(self, found: Record) -> None:
        self.latest = found
        self.durable = Record(found.token)
        self.healthy = True
        self._retry_at = float("-inf")
        self._version = 1
        self._durable_version = 0
        self._ticket = 0
        self._write: _Write | None = None
        self._waiting: list[tuple[int, Step]] = []

    def update(self, record: Record, step: Step) -> None:
        """Take a new record; the step runs once it is durable."""
        self._version += 1
        self.latest = record
        self._waiting.append((self._version, step))

    def await_latest(self, step: Step) -> None:
        """Run the step once the present latest record is durable."""
        if (self._version, step) not in self._waiting:
            self._waiting.append((self._version, step))

    def restart(self, record: Record) -> None:
        """Begin anew with a record, everything stored being lost."""
        self._version += 1
        self.latest = record
        self.durable = Record(record.token)

    def begin(self, now: float) -> tuple[int, Record] | None:
        """Return the ticket and record of the next write, None if there is nothing to write now.

        A write on a failed disk is its test, made from time to time.
        """
        if self._write is not None or self.is_settled():
            return None
        if not self.healthy and now < self._retry_at:
            return None
        self._ticket += 1
        self._write = _Write(self._ticket, self._version, self.latest, now)
        return self._ticket, self.latest

    def succeed(self, ticket: int) -> Flushed | None:
        """Note that a write is synced."""
        write = self._end(ticket)
        if write is None:
            return None
        self.healthy = True
        self._durable_version = write.version
        self.durable = write.record
        steps = tuple(step for version, step in self._waiting if version <= write.version)
        self._waiting = [(version, step) for version, step in self._waiting if version > write.version]
        return Flushed(True, steps)

    def fail(self, ticket: int, stored: Record | None, retry_at: float) -> Flushed | None:
        """Note that a write failed; `stored` is what the disk holds, None if nothing readable."""
        write = self._end(ticket)
        if write is None:
            return None
        steps = tuple(step for _, step in self._waiting)
        self._waiting = []
        self.healthy = False
        self._retry_at = retry_at
        self._version += 1
        if stored is None or _is_behind(stored, self.durable):
            return Flushed(False, steps, lost=True)
        self.latest = stored
        return Flushed(False, steps)

    def stalled_for(self, now: float) -> float:
        """Return for how long the present write has been going on."""
        return 0.0 if self._write is None else now - self._write.started_at

    def is_settled(self) -> bool:
        """Tell whether the latest record is durable."""
        return self._durable_version == self._version

    def _end(self, ticket: int) -> "_Write | None":
        write = self._write
        if write is None or write.ticket != ticket:
            return None
        self._write = None
        return write


@dataclass(frozen=True)
class _Write:
    """A write under way."""

    ticket: int
    version: int
    record: Record
    started_at: float


def _is_behind(stored: Record, durable: Record) -> bool:
    return stored.promised < durable.promised or stored.document.position < durable.document.position
