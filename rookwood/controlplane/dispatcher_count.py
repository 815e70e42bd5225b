"""Counts the dispatchers, which share the retry budget among them."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

WINDOW = 20.0  # seconds; longer than a partition of control machines, or a dispatcher's change of feed


@dataclass(frozen=True, slots=True)
class CountSample:
    """A count of dispatchers, and when it was made."""

    time: float
    dispatchers: int


class DispatcherCount:
    """The largest count of the last `WINDOW` seconds.

    A dispatcher that changes its feed is counted nowhere for a moment, and the dispatchers of a machine that
    was cut off are not reported here. A count that is too large costs a few retries; one that is too small
    would allow too many.
    """

    def __init__(self) -> None:
        self._counts: deque[CountSample] = deque()

    def update(self, dispatchers: int, now: float) -> int:
        """Record the present count, and return the largest one in the window."""
        while self._counts and self._counts[-1].dispatchers <= dispatchers:
            self._counts.pop()
        self._counts.append(CountSample(now, dispatchers))
        while now - self._counts[0].time > WINDOW:
            self._counts.popleft()
        return self._counts[0].dispatchers
