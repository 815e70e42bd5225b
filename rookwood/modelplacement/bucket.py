"""A token bucket; it paces the loads from the weight store."""

from __future__ import annotations


class TokenBucket:
    """Yields at most `burst + rate * t` tokens in any t seconds. It is empty at first."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self._tokens = 0.0
        self._filled_at: float | None = None

    def available(self, now: float) -> float:
        """The number of tokens that can be taken now. The first call starts to fill the bucket."""
        if self._filled_at is None:
            self._filled_at = now
        elapsed = max(0.0, now - self._filled_at)
        self._filled_at = max(self._filled_at, now)
        self._tokens = min(self.burst, self._tokens + elapsed * self.rate)
        return self._tokens

    def take(self, now: float) -> bool:
        """Take one token; returns False if there is none."""
        if self.available(now) < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def clear(self, now: float) -> None:
        """Discard all tokens."""
        self._tokens = 0.0
        self._filled_at = now

    def return_token(self) -> None:
        """Put one token back, for a load that certainly did not begin."""
        self._tokens = min(self.burst, self._tokens + 1.0)
