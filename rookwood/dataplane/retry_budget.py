"""The budget for sending a request to a second worker, shared by all dispatchers."""

from __future__ import annotations

from collections import defaultdict, deque

SAFETY = 0.6  # the share of the allowed repeats that is used


class SlidingCount:
    """Counts events within the last `window` seconds."""

    def __init__(self, window: float) -> None:
        self._window = window
        self._times: deque[float] = deque()

    def add(self, now: float) -> None:
        """Count one event."""
        self._times.append(now)

    def total(self, now: float) -> int:
        """The events of the window that ends now."""
        while self._times and now - self._times[0] > self._window:
            self._times.popleft()
        return len(self._times)


class RetryBudget:
    """Allows repeats as a share of requests plus this dispatcher's part of a fixed allowance."""

    def __init__(self, ratio: float, window: float, slack: float) -> None:
        self._ratio = ratio * SAFETY
        self._window = window
        self._slack = slack * SAFETY
        self.dispatchers = 1
        self._requests: dict[str, SlidingCount] = defaultdict(lambda: SlidingCount(self._window))
        self._repeats: dict[str, SlidingCount] = defaultdict(lambda: SlidingCount(self._window))

    def request(self, service: str, now: float) -> None:
        """A client's request for the service arrived."""
        self._requests[service].add(now)

    def take(self, service: str, now: float) -> bool:
        """Take one repeat out of the budget, if there is one."""
        allowed = self._ratio * self._requests[service].total(now) + self._slack / max(1, self.dispatchers)
        repeats = self._repeats[service]
        if repeats.total(now) + 1 > allowed:
            return False
        repeats.add(now)
        return True
