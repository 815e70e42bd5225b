"""A clock that never runs backwards: Unix time is read once, and the monotonic clock advances it."""

from __future__ import annotations

import time
from datetime import UTC, datetime, timedelta

EPOCH = datetime(1970, 1, 1, tzinfo=UTC)


class Clock:
    """Returns the current time in UTC; adjustments of the system clock after the start have no effect."""

    def __init__(self) -> None:
        self._wall_start, self._monotonic_start_ns = datetime.now(UTC), time.monotonic_ns()

    def now(self) -> datetime:
        return self._wall_start + timedelta(
            microseconds=(time.monotonic_ns() - self._monotonic_start_ns) // 1000
        )

    def seconds_until(self, moment: datetime) -> float:
        """Return the delay to a moment in the form that asyncio's timers take; 0 if it has passed."""
        return max(0.0, (moment - self.now()).total_seconds())
