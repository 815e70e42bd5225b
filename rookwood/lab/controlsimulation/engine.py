"""The simulated clock, the events due, and the trace of what happened."""

import heapq
import zlib
from collections.abc import Callable
from dataclasses import dataclass


@dataclass
class Report:
    """What happened in one simulated history."""

    committed: int = 0
    declined: int = 0
    taken_before: int = 0
    sent_again: int = 0
    uncertain: int = 0
    confirmed: int = 0
    calls_in_order: int = 0
    undecided: int = 0
    fresh_claims: int = 0
    primaries: int = 0
    highest_epoch: int = 0
    events: int = 0
    digest: int = 0


class Engine:
    """Runs actions in the order of their moments."""

    def __init__(self, report: Report) -> None:
        self.now = 0.0
        self.trace: list[str] = []
        self._report = report
        self._events: list[tuple[float, bool, int, Callable[[], None]]] = []
        self._sequence = 0

    def at(self, moment: float, action: Callable[[], None], last: bool = False) -> None:
        """Schedule an action; `last` puts it after all others of its moment, whenever they were scheduled."""
        self._sequence += 1
        heapq.heappush(self._events, (moment, last, self._sequence, action))

    def run_until(self, end: float) -> None:
        """Run what is due until a moment."""
        while self._events and self._events[0][0] <= end:
            self.now, _, _, action = heapq.heappop(self._events)
            self._report.events += 1
            action()
        self.now = end

    def note(self, text: str) -> None:
        """Add a line to the trace."""
        line = f"{self.now:.4f} {text}"
        self.trace.append(line)
        self._report.digest = zlib.crc32(line.encode(), self._report.digest)
