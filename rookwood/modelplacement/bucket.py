"""A token bucket that paces loads from the weight store."""

from __future__ import annotations


class TokenBucket:
    """At most `burst + rate * t` tokens are taken in any span of t seconds. It starts empty."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self._tokens = 0.0
        self._filled_at: float | None = None

    def available(self, now: float) -> float:
        """Tokens that can be taken now."""
        if self._filled_at is None:
            self._filled_at = now
        elapsed = max(0.0, now - self._filled_at)
        self._filled_at = max(self._filled_at, now)
        self._tokens = min(self.burst, self._tokens + elapsed * self.rate)
        return self._tokens

    def take(self, now: float) -> bool:
        """Take one token; False when there is none."""
        if self.available(now) < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def empty(self, now: float) -> None:
        """Drop all tokens."""
        self._tokens = 0.0
        self._filled_at = now

    def give_back(self) -> None:
        """Return the token of a load that surely did not begin."""
        self._tokens = min(self.burst, self._tokens + 1.0)
