"""Detects that the own process stalled, so that its timeouts can start anew."""


class PauseDetector:
    """Detects that the own process did not run for a while."""

    def __init__(self, limit: float, now: float) -> None:
        self._limit = limit
        self._last_call_at = now

    def detect_pause(self, now: float) -> bool:
        """Return whether the time since the previous call exceeds the limit; to be called at every tick."""
        gap = now - self._last_call_at
        self._last_call_at = now
        return gap > self._limit
