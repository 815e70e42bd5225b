"""A circuit breaker around the store (Nygard, "Release It!"). No I/O, no clock.

While it is closed, claims are requested. While it is open, keyed unsafe requests are rejected at once, since
a claim would not be granted in time. After a pause one call probes the store; the pause doubles with each
probe that fails. Requests of safe classes, and requests without a key, never use the store.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta
from enum import Enum

FAILURE_THRESHOLD = 3  # consecutive failures that open the breaker
FIRST_PAUSE, LONGEST_PAUSE = timedelta(milliseconds=200), timedelta(seconds=1)
CLAIM_SHARE = 0.15  # share of a request's remaining time that obtaining a claim may take
MIN_WAIT = timedelta(milliseconds=20)


class Circuit(Enum):
    CLOSED = 0
    HALF_OPEN = 1
    OPEN = 2


@dataclass(slots=True)
class Breaker:
    """Decides whether the store may be called."""

    circuit: Circuit = Circuit.CLOSED
    _failures: int = 0
    _pause: timedelta = FIRST_PAUSE
    _until: datetime | None = None

    def allows_call(self, now: datetime) -> bool:
        """Whether a call may be made now. Once the pause is over, one call is allowed as a probe."""
        if self.circuit is Circuit.CLOSED:
            return True
        if self.circuit is Circuit.OPEN and self._until and now >= self._until:
            self.circuit = Circuit.HALF_OPEN
            return True
        return False

    def record_success(self) -> None:
        """Closes the breaker after a reply."""
        self.circuit, self._failures, self._pause, self._until = Circuit.CLOSED, 0, FIRST_PAUSE, None

    def record_failure(self, now: datetime) -> None:
        """Counts a failed call; opens the breaker at the threshold, or at once after a failed probe."""
        self._failures += 1
        if self.circuit is Circuit.HALF_OPEN or self._failures >= FAILURE_THRESHOLD:
            if self.circuit is Circuit.HALF_OPEN:
                self._pause = min(LONGEST_PAUSE, 2 * self._pause)
            self.circuit, self._until = Circuit.OPEN, now + self._pause

    def retry_after(self, now: datetime) -> timedelta:
        """How long a rejected client should wait before its retry."""
        return max(MIN_WAIT, self._until - now) if self._until else FIRST_PAUSE


def claim_timeout(left: timedelta) -> timedelta:
    """The time limit for obtaining a claim, given the time until the request's deadline."""
    return max(MIN_WAIT, CLAIM_SHARE * left)
