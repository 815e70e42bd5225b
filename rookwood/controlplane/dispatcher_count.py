"""How many dispatchers there are, which share the budget of repeats among them."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

WINDOW = 20.0  # seconds; longer than a cut between control machines, or a dispatcher's change of its feed


@dataclass(frozen=True, slots=True)
class Counted:
    """A count, and when it was made."""

    at: float
    dispatchers: int


class DispatcherCount:
    """The largest count of the last seconds.

    A dispatcher that changes its feed is counted nowhere for a moment, and those beside a machine that was
    cut off are not heard of. A count too large costs a few repeats; one too small would allow too many.
    """

    def __init__(self) -> None:
        self._counts: deque[Counted] = deque()

    def update(self, dispatchers: int, now: float) -> int:
        """Take in the present count, and return the largest one of the window."""
        while self._counts and self._counts[-1].dispatchers <= dispatchers:
            self._counts.pop()
        self._counts.append(Counted(now, dispatchers))
        while now - self._counts[0].at > WINDOW:
            self._counts.popleft()
        return self._counts[0].dispatchers
