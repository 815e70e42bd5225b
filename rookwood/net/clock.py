"""One clock: Unix time taken once, then carried on by the monotonic clock, so it never runs back."""

from __future__ import annotations

import time
from datetime import UTC, datetime, timedelta

EPOCH = datetime(1970, 1, 1, tzinfo=UTC)


class Clock:
    def __init__(self) -> None:
        self._wall_start, self._monotonic_start_ns = datetime.now(UTC), time.monotonic_ns()

    def now(self) -> datetime:
        return self._wall_start + timedelta(
            microseconds=(time.monotonic_ns() - self._monotonic_start_ns) // 1000
        )

    def seconds_until(self, moment: datetime) -> float:
        """What asyncio's timers want; never negative."""
        return max(0.0, (moment - self.now()).total_seconds())
