"""What a dispatcher does by the store's health: no I/O, no clock. A circuit breaker (Nygard, "Release It!").

Closed: claims are asked for. Open: a keyed unsafe job is refused at once, since a claim would not come in
time. After a pause one call is let through to look; the pause doubles with each that fails. Classes that are
safe, and requests without a key, never come here at all.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta
from enum import Enum

FAILURES = 3  # in a row, until it opens
FIRST_PAUSE, LONGEST_PAUSE = timedelta(milliseconds=200), timedelta(seconds=1)
PART = 0.15  # of a job's remaining time that a claim may take
LEAST = timedelta(milliseconds=20)


class Circuit(Enum):
    CLOSED = 0
    HALF_OPEN = 1
    OPEN = 2


@dataclass(slots=True)
class Breaker:
    circuit: Circuit = Circuit.CLOSED
    _failures: int = 0
    _pause: timedelta = FIRST_PAUSE
    _until: datetime | None = None

    def lets(self, now: datetime) -> bool:
        """Whether a call may be made now. Half open, one is under way and the others wait for its word."""
        if self.circuit is Circuit.CLOSED:
            return True
        if self.circuit is Circuit.OPEN and self._until and now >= self._until:
            self.circuit = Circuit.HALF_OPEN
            return True
        return False

    def answered(self) -> None:
        self.circuit, self._failures, self._pause, self._until = Circuit.CLOSED, 0, FIRST_PAUSE, None

    def failed(self, now: datetime) -> None:
        self._failures += 1
        if self.circuit is Circuit.HALF_OPEN or self._failures >= FAILURES:
            if self.circuit is Circuit.HALF_OPEN:
                self._pause = min(LONGEST_PAUSE, 2 * self._pause)
            self.circuit, self._until = Circuit.OPEN, now + self._pause

    def wait(self, now: datetime) -> timedelta:
        """What a refused client is told."""
        return max(LEAST, self._until - now) if self._until else FIRST_PAUSE


def claim_limit(left: timedelta) -> timedelta:
    """So long a claim may take of a job with so much time left."""
    return max(LEAST, PART * left)
