"""One clock: Unix time taken once, then carried on by the monotonic clock, so it never runs back."""

from __future__ import annotations

import time
from datetime import UTC, datetime, timedelta

EPOCH = datetime(1970, 1, 1, tzinfo=UTC)


class Clock:
    def __init__(self) -> None:
        self._start, self._zero = datetime.now(UTC), time.monotonic_ns()

    def now(self) -> datetime:
        return self._start + timedelta(microseconds=(time.monotonic_ns() - self._zero) // 1000)

    def seconds_to(self, moment: datetime) -> float:
        """What asyncio's timers want; never negative."""
        return max(0.0, (moment - self.now()).total_seconds())
