"""Chooses the parent of a process among several: it leaves a bad one at once, and tries a better one first.

This module does no I/O and reads no clock; the time is passed in.
"""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from rookwood.coordination.document import Position
from rookwood.coordination.pauses import PauseDetector


@dataclass(frozen=True, kw_only=True)
class ParentTiming:
    """Timeouts in seconds; `pause_limit` must exceed the usual interval between ticks.

    open_limit         time within which a newly linked or tried parent must send a first message
    silence_limit      time without a message after which a parent counts as unresponsive
    lag_limit          time after which an announced update counts as late
    return_after       how long a parent that was left is excluded, which doubles with each failure, and how
                       long a link is kept before a better parent is tried
    max_return_after   maximum duration of an exclusion
    stable_after       time on one parent after which its earlier failures are forgotten
    pause_limit        time between two ticks after which the process counts as stalled
    """

    open_limit: float = 0.5
    silence_limit: float = 1.0
    lag_limit: float = 0.4
    return_after: float = 2.0
    max_return_after: float = 30.0
    stable_after: float = 10.0
    pause_limit: float = 0.3


@dataclass(slots=True)
class _Exclusion:
    """The exclusion of a parent that was left, until a time that grows with the number of failures."""

    failures: int
    until: float


@dataclass(frozen=True, slots=True)
class _AwaitedUpdate:
    """An announced update that has not arrived yet."""

    position: Position
    announced_at: float


class ParentChoice:
    """Decides which of the computed parents a dispatcher is linked to.

    A parent that fails, is unresponsive or lags is left at once for the next one. The return to a better
    parent is slower: it is tried on a second link, and chosen only after a message arrived from it.
    """

    def __init__(self, parents: Sequence[str], now: float, timing: ParentTiming | None = None) -> None:
        """Start with the first of the parents, which are in order of preference."""
        self._timing = timing or ParentTiming()
        self._pause_detector = PauseDetector(self._timing.pause_limit, now)
        self._parents = tuple(parents)
        self._exclusions: dict[str, _Exclusion] = {}
        self._newest_position = Position()
        self._awaited_updates: deque[_AwaitedUpdate] = deque()
        self._next_trial_at = now
        self._trial_parent: str | None = None
        self._switch_to(self._parents[0], now)

    @property
    def current_parent(self) -> str:
        """The parent to which the dispatcher is to be linked."""
        return self._current_parent

    @property
    def trial_parent(self) -> str | None:
        """A better parent to which a second link is to be opened, None if there is none."""
        return self._trial_parent

    def set_parents(self, parents: Sequence[str], now: float) -> None:
        """Replace the parents; a working link is kept for a while even if it is no longer the best one."""
        if tuple(parents) == self._parents:
            return
        self._parents = tuple(parents)
        self._trial_parent = None
        self._exclusions = {
            parent: exclusion for parent, exclusion in self._exclusions.items() if parent in parents
        }
        self._next_trial_at = max(self._next_trial_at, now + self._timing.return_after)

    def record_message(self, parent: str, now: float) -> None:
        """Record that a message arrived over the link to a parent."""
        if parent == self._trial_parent:
            self._switch_to(parent, now)
            self._next_trial_at = now + self._timing.return_after
        if parent == self._current_parent:
            self._has_received_message = True
            self._last_message_at = now

    def record_update(self, position: Position) -> None:
        """Record the position of an update that arrived over any link."""
        self._newest_position = max(self._newest_position, position)
        while self._awaited_updates and self._awaited_updates[0].position <= self._newest_position:
            self._awaited_updates.popleft()

    def record_digest(self, position: Position, now: float) -> None:
        """Record the newest position, as announced by a control machine."""
        newest = self._awaited_updates[-1].position if self._awaited_updates else self._newest_position
        if position > newest:
            self._awaited_updates.append(_AwaitedUpdate(position, now))

    def record_link_failure(self, parent: str, now: float) -> None:
        """Record that a link could not be opened, was refused by the parent, or ended."""
        self._leave_parent(parent, now)

    def record_suspicion(self, parent: str, now: float) -> None:
        """Record that the monitors of a parent suspect it or consider it dead."""
        self._leave_parent(parent, now)

    def tick(self, now: float) -> str:
        """Check all timeouts, and return the parent to be linked to now."""
        if self._pause_detector.detect_pause(now):
            self._restart_limits(now)
        if self._is_unresponsive(now) or self._is_lagging(now):
            self._leave_parent(self._current_parent, now)
        elif self._trial_parent is not None and now - self._trial_at > self._timing.open_limit:
            self._leave_parent(self._trial_parent, now)
        elif self._trial_parent is None and now >= self._next_trial_at:
            self._start_trial(now)
        return self._current_parent

    def _is_unresponsive(self, now: float) -> bool:
        limit = self._timing.silence_limit if self._has_received_message else self._timing.open_limit
        return now - self._last_message_at > limit

    def _is_lagging(self, now: float) -> bool:
        return (
            bool(self._awaited_updates)
            and now - self._awaited_updates[0].announced_at > self._timing.lag_limit
        )

    def _leave_parent(self, parent: str, now: float) -> None:
        if parent not in (self._current_parent, self._trial_parent) and self._excluded_until(parent) > now:
            return
        self._exclude(parent, now)
        if parent == self._current_parent:
            self._switch_to(self._best_parent(now), now)
            self._next_trial_at = now + self._timing.return_after
        elif parent == self._trial_parent:
            self._trial_parent = None

    def _exclude(self, parent: str, now: float) -> None:
        exclusion = self._exclusions.setdefault(parent, _Exclusion(0, now))
        if parent == self._current_parent and now - self._linked_at >= self._timing.stable_after:
            exclusion.failures = 0
        duration = self._timing.return_after * 2**exclusion.failures
        if duration < self._timing.max_return_after:
            exclusion.failures += 1
        exclusion.until = now + min(duration, self._timing.max_return_after)

    def _start_trial(self, now: float) -> None:
        best = self._best_parent(now)
        if best != self._current_parent:
            self._trial_parent = best
            self._trial_at = now

    def _best_parent(self, now: float) -> str:
        """Return the first parent that is not excluded, or else the one whose exclusion ends first."""
        for parent in self._parents:
            if self._excluded_until(parent) <= now:
                return parent
        return min(self._parents, key=self._excluded_until)

    def _excluded_until(self, parent: str) -> float:
        exclusion = self._exclusions.get(parent)
        return exclusion.until if exclusion else float("-inf")

    def _switch_to(self, parent: str, now: float) -> None:
        self._current_parent = parent
        self._linked_at = now
        self._has_received_message = False
        self._trial_parent = None
        self._restart_limits(now)

    def _restart_limits(self, now: float) -> None:
        self._last_message_at = now
        self._trial_at = now
        if self._awaited_updates:
            newest = self._awaited_updates[-1].position
            self._awaited_updates = deque([_AwaitedUpdate(newest, now)])
