"""Notices pauses of the own process, after which limits in time are to begin anew."""


class PauseDetector:
    """Notices that its own process did not run for a while."""

    def __init__(self, limit: float, now: float) -> None:
        self._limit = limit
        self._seen_at = now

    def detect_pause(self, now: float) -> bool:
        """Tell whether the time since the last call exceeds the limit; called at every tick."""
        gap = now - self._seen_at
        self._seen_at = now
        return gap > self._limit
