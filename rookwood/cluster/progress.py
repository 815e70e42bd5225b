"""How far configurations have come: in force here, announced elsewhere, reported by dispatchers; no I/O."""

from __future__ import annotations

import bisect
import time
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from rookwood.cluster.control_status import StatePosition
from rookwood.cluster.invariants import INVARIANTS, Invariant, InvariantCounter

Clock = Callable[[], float]

NOTHING = StatePosition(-1, -1)
REMEMBERED_COMMITS = 4096


class ConfigurationProgress:
    """The position in force in this process, and the newest one that any control machine announced."""

    def __init__(self, clock: Clock = time.monotonic, invariants: InvariantCounter = INVARIANTS) -> None:
        self._clock = clock
        self._invariants = invariants
        self.in_force = NOTHING
        self.announced = NOTHING
        self._in_force_since = clock()
        self._behind_since: float | None = None

    def announce(self, position: StatePosition) -> None:
        """A control machine tells that this position is committed."""
        if position > self.announced:
            self.announced = position
            self._compare()

    def put_in_force(self, position: StatePosition) -> None:
        """The configuration of this position is in force from now on."""
        detail = f"{position} after {self.in_force}"
        self._invariants.check(position >= self.in_force, Invariant.POSITION_MONOTONIC, detail)
        self.in_force = position
        self._in_force_since = self._clock()
        if position >= self.announced:
            self.announced = position
            self._behind_since = None

    def seconds_in_force(self) -> float:
        """How long the present configuration has been in force; 0 while there is none."""
        return 0.0 if self.in_force == NOTHING else self._clock() - self._in_force_since

    def seconds_behind(self) -> float:
        """For how long something newer has been announced without a break; 0 when level."""
        return 0.0 if self._behind_since is None else self._clock() - self._behind_since

    def _compare(self) -> None:
        if self.announced > self.in_force and self._behind_since is None:
            self._behind_since = self._clock()


@dataclass(frozen=True, slots=True)
class Commit:
    """When a position was committed, as far as this machine knows."""

    position: StatePosition
    at: float


@dataclass(slots=True)
class DispatcherReport:
    """What one dispatcher last reported, and how long after its commit; None for the first over a link."""

    position: StatePosition
    take_up: float | None


@dataclass(frozen=True, slots=True)
class DispatcherLag:
    """How far one dispatcher is behind the newest commit.

    `behind` is the age of the oldest commit that it has not reported, 0 when level. `take_up` is the time
    from the commit of its position to its report, None if that was its first report over this link (it may
    have had the position long before) or the commit isn't remembered.
    """

    dispatcher: str
    position: StatePosition
    behind: float
    take_up: float | None


class DispatcherProgress:
    """Compares what dispatchers report with the commits known here."""

    def __init__(self, clock: Clock = time.monotonic) -> None:
        self._clock = clock
        self._commits: deque[Commit] = deque(maxlen=REMEMBERED_COMMITS)
        self._reports: dict[str, DispatcherReport] = {}

    def committed(self, position: StatePosition) -> None:
        """A position is committed; positions only rise."""
        if not self._commits or position > self._commits[-1].position:
            self._commits.append(Commit(position, self._clock()))

    def reported(self, dispatcher: str, position: StatePosition) -> None:
        """A dispatcher has this position in force; called for each of its heartbeats."""
        report = self._reports.get(dispatcher)
        if report is not None and report.position == position:
            return
        take_up = None if report is None else self._take_up(position)
        self._reports[dispatcher] = DispatcherReport(position, take_up)

    def lost(self, dispatcher: str) -> None:
        """A dispatcher's link ended; it is counted again once it reports."""
        self._reports.pop(dispatcher, None)

    def lags(self) -> Iterator[DispatcherLag]:
        """Each dispatcher that is linked and has reported."""
        for dispatcher, report in self._reports.items():
            yield DispatcherLag(
                dispatcher, report.position, self._seconds_behind(report.position), report.take_up
            )

    def _first_after(self, position: StatePosition) -> int:
        return bisect.bisect_right(self._commits, position, key=lambda commit: commit.position)

    def _seconds_behind(self, position: StatePosition) -> float:
        index = self._first_after(position)
        return self._clock() - self._commits[index].at if index < len(self._commits) else 0.0

    def _take_up(self, position: StatePosition) -> float | None:
        index = self._first_after(position) - 1
        if index < 0 or self._commits[index].position != position:
            return None
        return self._clock() - self._commits[index].at
