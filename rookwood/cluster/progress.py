"""How far configurations have come: in force here, announced elsewhere, reported by dispatchers; no I/O."""

from __future__ import annotations

import bisect
import time
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from rookwood.cluster.invariants import INVARIANTS, Invariant, InvariantCounter
from rookwood.cluster.position import NO_CONFIGURATION, ConfigurationPosition
from rookwood.coordination.pauses import PauseDetector
from rookwood.metrics.loop_lag import INTERVAL as LOOP_LAG_INTERVAL

Clock = Callable[[], float]

REMEMBERED_COMMITS = 4096
REMEMBERED_HEARTBEATS = 32  # of a dispatcher; some 13 s
NOTABLE_STALL = 0.05  # seconds; less is how late timers are anyway
STALL_RESOLUTION = LOOP_LAG_INTERVAL  # seconds of a stall that its meter may not see
LONGEST_CHECK_INTERVAL = 1.5  # seconds between two checks of a process that runs
MOST_AWAITED = 256  # announced positions whose times are kept


@dataclass(frozen=True, slots=True)
class Awaited:
    """A position that is not in force yet, and when it was first announced."""

    position: ConfigurationPosition
    announced_at: float


class PeriodicCheck:
    """When a periodic check may judge by the clock: not soon after this process itself stood still."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._pauses = PauseDetector(LONGEST_CHECK_INTERVAL, clock())
        self._running_since = clock()

    def has_run_for(self, span: float) -> bool:
        """Whether the process has run without a pause for so many seconds; called at every check."""
        now = self._clock()
        if self._pauses.detect_pause(now):
            self._running_since = now
        return now - self._running_since > span


class ConfigurationProgress:
    """The position in force in this process, and the newest one that any control machine announced."""

    def __init__(self, clock: Clock = time.monotonic, invariants: InvariantCounter = INVARIANTS) -> None:
        self._clock = clock
        self._invariants = invariants
        self.in_force = NO_CONFIGURATION
        self.announced = NO_CONFIGURATION
        self._in_force_since = clock()
        self._awaited: deque[Awaited] = deque()
        self._periodic = PeriodicCheck(clock)

    def announce(self, position: ConfigurationPosition) -> None:
        """A control machine tells that this position is committed."""
        if position <= self.announced:
            return
        self.announced = position
        if len(self._awaited) == MOST_AWAITED:
            self._awaited.pop()  # the older ones tell the lag
        self._awaited.append(Awaited(position, self._clock()))

    def expect_nothing(self) -> None:
        """No control machine that is linked has anything newer: the limits begin anew with the next one."""
        self._awaited.clear()
        self.announced = self.in_force

    def put_in_force(self, position: ConfigurationPosition) -> None:
        """The configuration of this position is in force from now on."""
        detail = f"{position} after {self.in_force}"
        self._invariants.check(position >= self.in_force, Invariant.POSITION_MONOTONIC, detail)
        self.in_force = position
        self._in_force_since = self._clock()
        self.announced = max(self.announced, position)
        while self._awaited and self._awaited[0].position <= position:
            self._awaited.popleft()

    def seconds_in_force(self) -> float:
        """How long the present configuration has been in force; 0 while there is none."""
        return 0.0 if self.in_force == NO_CONFIGURATION else self._clock() - self._in_force_since

    def check(self, limit: float) -> None:
        """Count a position that is awaited for longer than the limit, in seconds, as a violation."""
        if not self._periodic.has_run_for(limit):
            return
        behind = self.seconds_behind()
        detail = f"{self.in_force} is in force, {behind:.1f} s after a newer one was announced"
        self._invariants.check(behind <= limit, Invariant.IN_FORCE_IN_TIME, detail)

    def seconds_behind(self) -> float:
        """How long ago the oldest position that is not in force yet was announced; 0 when level."""
        return self._clock() - self._awaited[0].announced_at if self._awaited else 0.0


@dataclass(frozen=True, slots=True)
class Commit:
    """When a position was committed, as far as this machine knows, and its stalls until then."""

    position: ConfigurationPosition
    at: float
    stalled: float


@dataclass(frozen=True, slots=True)
class HeardHeartbeat:
    """When a heartbeat came, and for how many seconds its sender's process had stood still by then."""

    at: float
    stalled: float


@dataclass(slots=True)
class DispatcherReport:
    """What one dispatcher last reported, and how long after its commit; None for the first over a link."""

    position: ConfigurationPosition
    take_up: float | None
    linked_at: float  # when it first reported over its link
    heartbeats: deque[HeardHeartbeat] = field(default_factory=lambda: deque(maxlen=REMEMBERED_HEARTBEATS))

    def stalled_since(self, moment: float) -> float:
        """For how long its process stood still from a moment to its newest heartbeat, at the most."""
        before = [heard.stalled for heard in self.heartbeats if heard.at <= moment]
        first = before[-1] if before else self.heartbeats[0].stalled
        return at_most_stalled(self.heartbeats[-1].stalled - first)


def at_most_stalled(seen: float) -> float:
    """The longest stall of which a meter may have seen so much, in seconds."""
    return seen + STALL_RESOLUTION if seen > NOTABLE_STALL else 0.0


@dataclass(frozen=True, slots=True)
class DispatcherLag:
    """How far one dispatcher is behind the newest commit.

    `behind` is the age of the oldest commit that it has not reported, 0 when level. `take_up` is the time
    from the commit of its position to its report, None if that was its first report over this link (it may
    have had the position long before) or the commit isn't remembered.
    """

    dispatcher: str
    position: ConfigurationPosition
    behind_seconds: float
    take_up_seconds: float | None


class DispatcherProgress:
    """Compares what dispatchers report with the commits known here.

    `stalled` tells for how many seconds in all this process has stood still; dispatchers tell theirs in their
    heartbeats. Neither is time that a dispatcher took.
    """

    def __init__(
        self,
        clock: Clock = time.monotonic,
        invariants: InvariantCounter = INVARIANTS,
        stalled: Clock = lambda: 0.0,
    ) -> None:
        self._clock = clock
        self._stalled = stalled
        self._invariants = invariants
        self._commits: deque[Commit] = deque(maxlen=REMEMBERED_COMMITS)
        self._reports: dict[str, DispatcherReport] = {}
        self._periodic = PeriodicCheck(clock)

    def record_commit(self, position: ConfigurationPosition) -> None:
        """A position is committed; positions only rise."""
        if not self._commits or position > self._commits[-1].position:
            self._commits.append(Commit(position, self._clock(), self._stalled()))

    def record_report(self, dispatcher: str, position: ConfigurationPosition, stalled: float = 0.0) -> None:
        """A dispatcher has this position in force; called for each of its heartbeats."""
        report = self._reports.get(dispatcher)
        if report is None:
            report = self._reports[dispatcher] = DispatcherReport(position, None, self._clock())
        elif report.position != position:
            report.take_up = self._take_up(position)
            report.position = position
        report.heartbeats.append(HeardHeartbeat(self._clock(), stalled))

    def remove_dispatcher(self, dispatcher: str) -> None:
        """A dispatcher's link ended; it is counted again once it reports."""
        self._reports.pop(dispatcher, None)

    def lags(self) -> Iterator[DispatcherLag]:
        """Each dispatcher that is linked and has reported."""
        for dispatcher, report in self._reports.items():
            yield DispatcherLag(
                dispatcher, report.position, self._seconds_behind(report.position), report.take_up
            )

    def farthest_behind(self) -> DispatcherLag | None:
        """The dispatcher that lacks the oldest commit; None where all that have reported are level."""
        farthest = min(self.lags(), key=lambda lag: (lag.position, lag.dispatcher), default=None)
        return farthest if farthest is not None and farthest.behind_seconds > 0 else None

    def check(self, limit: float) -> None:
        """Count dispatchers that lack a commit for longer than the limit, in seconds, as violations.

        One that has just linked has the whole limit from then on. What counts is the time up to its newest
        heartbeat, without that in which its process or this one stood still: one that says nothing more is
        found by the silence of its link.
        """
        if not self._periodic.has_run_for(limit):
            return
        for lag in self.lags():
            taken = self._time_taken(self._reports[lag.dispatcher])
            detail = f"{lag.dispatcher} has {lag.position}, {lag.behind_seconds:.1f} s after a newer commit"
            self._invariants.check(taken <= limit, Invariant.DISPATCHERS_IN_TIME, detail)

    def _time_taken(self, report: DispatcherReport) -> float:
        """Seconds of its own for which a dispatcher has lacked the oldest commit that it has not reported."""
        index = self._first_after(report.position)
        if index == len(self._commits):
            return 0.0
        missing = self._commits[index]
        begin = max(missing.at, report.linked_at)
        own_stall = at_most_stalled(self._stalled() - missing.stalled)
        return report.heartbeats[-1].at - begin - report.stalled_since(begin) - own_stall

    def _first_after(self, position: ConfigurationPosition) -> int:
        return bisect.bisect_right(self._commits, position, key=lambda commit: commit.position)

    def _seconds_behind(self, position: ConfigurationPosition) -> float:
        index = self._first_after(position)
        return self._clock() - self._commits[index].at if index < len(self._commits) else 0.0

    def _take_up(self, position: ConfigurationPosition) -> float | None:
        index = self._first_after(position) - 1
        if index < 0 or self._commits[index].position != position:
            return None
        return self._clock() - self._commits[index].at
