"""Tracks the positions in force here, announced by control machines and reported by dispatchers; no I/O."""

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

REMEMBERED_COMMITS = 4096  # the newest commits, whose times are kept to measure the dispatchers' lag
REMEMBERED_HEARTBEATS = 32  # per dispatcher; about 13 s
MIN_STALL = 0.05  # seconds; shorter delays are normal for timers
STALL_RESOLUTION = LOOP_LAG_INTERVAL  # seconds of a stall that its measurement may miss
MAX_CHECK_INTERVAL = 1.5  # seconds between two checks; a longer gap counts as a stall
MAX_AWAITED = 256  # announced positions that are remembered


@dataclass(frozen=True, slots=True)
class Awaited:
    """A position that is not in force yet, and when it was first announced."""

    position: ConfigurationPosition
    announced_at: float


class StallGuard:
    """Decides whether a periodic check may rely on the clock: not soon after a stall of this process."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._stalls = PauseDetector(MAX_CHECK_INTERVAL, clock())
        self._running_since = clock()

    def has_run_without_stall(self, span: float) -> bool:
        """Whether the process has run longer than `span` seconds without a stall; call it at every check."""
        now = self._clock()
        if self._stalls.detect_pause(now):
            self._running_since = now
        return now - self._running_since > span


class ConfigurationProgress:
    """The position in force in this process, and the newest position that a control machine announced."""

    def __init__(self, clock: Clock = time.monotonic, invariants: InvariantCounter = INVARIANTS) -> None:
        self._clock = clock
        self._invariants = invariants
        self.in_force = NO_CONFIGURATION
        self.announced = NO_CONFIGURATION
        self._in_force_since = clock()
        self._awaited: deque[Awaited] = deque()
        self._check_guard = StallGuard(clock)

    def announce(self, position: ConfigurationPosition) -> None:
        """Record that a control machine announced a committed position."""
        if position <= self.announced:
            return
        self.announced = position
        if len(self._awaited) == MAX_AWAITED:
            self._awaited.pop()  # drops the newest, since the lag is measured from the oldest
        self._awaited.append(Awaited(position, self._clock()))

    def clear_announced(self) -> None:
        """Forget the announced positions when no linked control machine has a newer one any more.

        The time limit then starts again with the next announcement.
        """
        self._awaited.clear()
        self.announced = self.in_force

    def put_in_force(self, position: ConfigurationPosition) -> None:
        """Record that the configuration of a position is in force from now on."""
        detail = f"{position} after {self.in_force}"
        self._invariants.check(position >= self.in_force, Invariant.POSITION_MONOTONIC, detail)
        self.in_force = position
        self._in_force_since = self._clock()
        self.announced = max(self.announced, position)
        while self._awaited and self._awaited[0].position <= position:
            self._awaited.popleft()

    def seconds_in_force(self) -> float:
        """How long the current configuration has been in force; 0 while there is none."""
        return 0.0 if self.in_force == NO_CONFIGURATION else self._clock() - self._in_force_since

    def check(self, limit: float) -> None:
        """Count a violation if a position has been awaited for longer than `limit` seconds."""
        if not self._check_guard.has_run_without_stall(limit):
            return
        behind = self.seconds_behind()
        detail = f"{self.in_force} is in force, {behind:.1f} s after a newer one was announced"
        self._invariants.check(behind <= limit, Invariant.IN_FORCE_IN_TIME, detail)

    def seconds_behind(self) -> float:
        """How long ago the oldest position that is not in force yet was announced; 0 when up to date."""
        return self._clock() - self._awaited[0].announced_at if self._awaited else 0.0


@dataclass(frozen=True, slots=True)
class Commit:
    """A commit, when this machine learned of it, and for how long this process had been stalled by then."""

    position: ConfigurationPosition
    time: float
    stalled: float


@dataclass(frozen=True, slots=True)
class ReceivedHeartbeat:
    """When a heartbeat arrived, and for how long its sender's process had been stalled by then."""

    time: float
    stalled: float


@dataclass(slots=True)
class DispatcherReport:
    """The last reported position of one dispatcher, with its recent heartbeats.

    `take_up_seconds` is the time from the commit of the position to its report, None as in `DispatcherLag`.
    """

    position: ConfigurationPosition
    take_up_seconds: float | None
    linked_at: float  # when it first reported over the current link
    heartbeats: deque[ReceivedHeartbeat] = field(default_factory=lambda: deque(maxlen=REMEMBERED_HEARTBEATS))

    def stalled_since(self, moment: float) -> float:
        """The longest time for which its process may have stalled between `moment` and its last heartbeat."""
        before = [heartbeat.stalled for heartbeat in self.heartbeats if heartbeat.time <= moment]
        first = before[-1] if before else self.heartbeats[0].stalled
        return max_stall(self.heartbeats[-1].stalled - first)


def max_stall(measured: float) -> float:
    """The longest stall, in seconds, that a measurement of this length may correspond to."""
    return measured + STALL_RESOLUTION if measured > MIN_STALL else 0.0


@dataclass(frozen=True, slots=True)
class DispatcherLag:
    """How far one dispatcher is behind the newest commit.

    `behind_seconds` is the age of the oldest commit that it has not reported, 0 when up to date.
    `take_up_seconds` is the time from the commit of its position to its report. It is None if that was its
    first report over this link, as it may have had the position long before, or if the commit is not
    remembered.
    """

    dispatcher: str
    position: ConfigurationPosition
    behind_seconds: float
    take_up_seconds: float | None


class DispatcherProgress:
    """Compares the positions that dispatchers report with the commits known here.

    `stalled` returns for how many seconds in total this process has been stalled; dispatchers report their
    own stalls in their heartbeats. Neither counts as time that a dispatcher needs to apply a commit.
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
        self._check_guard = StallGuard(clock)

    def record_commit(self, position: ConfigurationPosition) -> None:
        """Record a commit; commits with older positions are ignored."""
        if not self._commits or position > self._commits[-1].position:
            self._commits.append(Commit(position, self._clock(), self._stalled()))

    def record_report(self, dispatcher: str, position: ConfigurationPosition, stalled: float = 0.0) -> None:
        """Record the position in force at a dispatcher and its stalls; called for each of its heartbeats."""
        report = self._reports.get(dispatcher)
        if report is None:
            report = self._reports[dispatcher] = DispatcherReport(position, None, self._clock())
        elif report.position != position:
            report.take_up_seconds = self._seconds_since_commit(position)
            report.position = position
        report.heartbeats.append(ReceivedHeartbeat(self._clock(), stalled))

    def remove_dispatcher(self, dispatcher: str) -> None:
        """Forget a dispatcher whose link ended, until it reports again."""
        self._reports.pop(dispatcher, None)

    def lags(self) -> Iterator[DispatcherLag]:
        """Yield the lag of each linked dispatcher that has reported."""
        for dispatcher, report in self._reports.items():
            yield DispatcherLag(
                dispatcher, report.position, self._seconds_behind(report.position), report.take_up_seconds
            )

    def farthest_behind(self) -> DispatcherLag | None:
        """The dispatcher with the oldest position; None if all that have reported are up to date."""
        farthest = min(self.lags(), key=lambda lag: (lag.position, lag.dispatcher), default=None)
        return farthest if farthest is not None and farthest.behind_seconds > 0 else None

    def check(self, limit: float) -> None:
        """Count a violation for each dispatcher that is behind a commit for longer than `limit` seconds.

        The time starts when the dispatcher linked, if that was after the commit. It ends with its last
        heartbeat, since the idle timeout of the link detects a dispatcher that stops sending, and excludes
        stalls of its process and of this one.
        """
        if not self._check_guard.has_run_without_stall(limit):
            return
        for lag in self.lags():
            own_seconds = self._own_seconds_behind(self._reports[lag.dispatcher])
            detail = f"{lag.dispatcher} has {lag.position}, {lag.behind_seconds:.1f} s after a newer commit"
            self._invariants.check(own_seconds <= limit, Invariant.DISPATCHERS_IN_TIME, detail)

    def _own_seconds_behind(self, report: DispatcherReport) -> float:
        """Seconds, stalls excluded, for which a dispatcher has been behind the oldest commit not reported."""
        index = self._first_commit_after(report.position)
        if index == len(self._commits):
            return 0.0
        commit = self._commits[index]
        start = max(commit.time, report.linked_at)
        own_stall = max_stall(self._stalled() - commit.stalled)
        return report.heartbeats[-1].time - start - report.stalled_since(start) - own_stall

    def _first_commit_after(self, position: ConfigurationPosition) -> int:
        return bisect.bisect_right(self._commits, position, key=lambda commit: commit.position)

    def _seconds_behind(self, position: ConfigurationPosition) -> float:
        index = self._first_commit_after(position)
        return self._clock() - self._commits[index].time if index < len(self._commits) else 0.0

    def _seconds_since_commit(self, position: ConfigurationPosition) -> float | None:
        index = self._first_commit_after(position) - 1
        if index < 0 or self._commits[index].position != position:
            return None
        return self._clock() - self._commits[index].time
