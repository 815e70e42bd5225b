"""The retry budget: how many further attempts the dispatchers together may send to workers."""

from __future__ import annotations

from collections import defaultdict, deque

SAFETY_FACTOR = 0.6  # share of the allowed retries that is used


class SlidingCount:
    """Counts events within the last `window` seconds."""

    def __init__(self, window: float) -> None:
        self._window = window
        self._times: deque[float] = deque()

    def add(self, now: float) -> None:
        """Count one event."""
        self._times.append(now)

    def total(self, now: float) -> int:
        """The number of events in the window that ends now."""
        while self._times and now - self._times[0] > self._window:
            self._times.popleft()
        return len(self._times)


class RetryBudget:
    """Allows retries as a share of a service's requests, plus this dispatcher's part of a fixed allowance.

    `ratio` is that share, `window` the seconds over which both are counted, and `slack` the number of retries
    that all dispatchers together may send beyond the share.
    """

    def __init__(self, ratio: float, window: float, slack: float) -> None:
        self._ratio = ratio * SAFETY_FACTOR
        self._window = window
        self._slack = slack * SAFETY_FACTOR
        self.dispatcher_count = 1
        self._requests: dict[str, SlidingCount] = defaultdict(lambda: SlidingCount(self._window))
        self._retries: dict[str, SlidingCount] = defaultdict(lambda: SlidingCount(self._window))

    def record_request(self, service: str, now: float) -> None:
        """Count a client's request for the service."""
        self._requests[service].add(now)

    def try_spend(self, service: str, now: float) -> bool:
        """Count one retry if the budget allows it; returns whether it does."""
        allowed = self._ratio * self._requests[service].total(now) + self._slack / max(
            1, self.dispatcher_count
        )
        retries = self._retries[service]
        if retries.total(now) + 1 > allowed:
            return False
        retries.add(now)
        return True
