"""To which of several parents a process is linked now: a bad one is left at once, a better one tried first.

No I/O and no clock: time is passed in.
"""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from rookwood.coordination.document import Position
from rookwood.coordination.pauses import PauseDetector


@dataclass(frozen=True, kw_only=True)
class ParentTiming:
    """Spans in seconds. `pause_limit` must exceed the usual interval between ticks."""

    open_limit: float = 0.5
    silence_limit: float = 1.0
    lag_limit: float = 0.4
    return_after: float = 2.0
    max_return_after: float = 30.0
    stable_after: float = 10.0
    pause_limit: float = 0.3


@dataclass(slots=True)
class _Exclusion:
    """A parent that was left: not taken again before `until`, which grows with each `failures`."""

    failures: int
    until: float


@dataclass(frozen=True, slots=True)
class _Awaited:
    position: Position
    told_at: float


class ParentChoice:
    """Decides to which of the computed parents a dispatcher is linked now.

    A parent that fails, is silent or lags is left at once for the next one. The way back is slower: the
    better parent is tried on a second link, and taken only after something was heard from it.
    """

    def __init__(self, parents: Sequence[str], now: float, timing: ParentTiming | None = None) -> None:
        """Begin with the first of the ordered parents."""
        self._timing = timing or ParentTiming()
        self._pauses = PauseDetector(self._timing.pause_limit, now)
        self._parents = tuple(parents)
        self._exclusions: dict[str, _Exclusion] = {}
        self._position = Position()
        self._awaited: deque[_Awaited] = deque()
        self._return_at = now
        self._trial: str | None = None
        self._link(self._parents[0], now)

    @property
    def current_parent(self) -> str:
        """The parent to be linked to."""
        return self._current

    @property
    def trial_parent(self) -> str | None:
        """A better parent to which a second link is to be opened, if there is one."""
        return self._trial

    def set_parents(self, parents: Sequence[str], now: float) -> None:
        """Take newly computed parents; a link that works is kept for a while before it is changed."""
        if tuple(parents) == self._parents:
            return
        self._parents = tuple(parents)
        self._trial = None
        self._exclusions = {parent: e for parent, e in self._exclusions.items() if parent in parents}
        self._return_at = max(self._return_at, now + self._timing.return_after)

    def record_message(self, parent: str, now: float) -> None:
        """Anything arrived over the link to a parent."""
        if parent == self._trial:
            self._link(parent, now)
            self._return_at = now + self._timing.return_after
        if parent == self._current:
            self._opened = True
            self._heard_at = now

    def record_update(self, position: Position) -> None:
        """An update was taken in, over whichever link."""
        self._position = max(self._position, position)
        while self._awaited and self._awaited[0].position <= self._position:
            self._awaited.popleft()

    def record_digest(self, position: Position, now: float) -> None:
        """A control machine tells the newest position."""
        newest = self._awaited[-1].position if self._awaited else self._position
        if position > newest:
            self._awaited.append(_Awaited(position, now))

    def record_link_failure(self, parent: str, now: float) -> None:
        """A link could not be opened, was refused or ended."""
        self._leave(parent, now)

    def record_suspicion(self, parent: str, now: float) -> None:
        """The monitors of a parent suspect it or take it for dead."""
        self._leave(parent, now)

    def tick(self, now: float) -> str:
        """Return the parent to be linked to now."""
        if self._pauses.detect_pause(now):
            self._restart_limits(now)
        if self._silent(now) or self._lagging(now):
            self._leave(self._current, now)
        elif self._trial is not None and now - self._trial_at > self._timing.open_limit:
            self._leave(self._trial, now)
        elif self._trial is None and now >= self._return_at:
            self._try_better(now)
        return self._current

    def _silent(self, now: float) -> bool:
        limit = self._timing.silence_limit if self._opened else self._timing.open_limit
        return now - self._heard_at > limit

    def _lagging(self, now: float) -> bool:
        return bool(self._awaited) and now - self._awaited[0].told_at > self._timing.lag_limit

    def _leave(self, parent: str, now: float) -> None:
        if parent not in (self._current, self._trial) and self._free_at(parent) > now:
            return
        self._exclude(parent, now)
        if parent == self._current:
            self._link(self._best(now), now)
            self._return_at = now + self._timing.return_after
        elif parent == self._trial:
            self._trial = None

    def _exclude(self, parent: str, now: float) -> None:
        exclusion = self._exclusions.setdefault(parent, _Exclusion(0, now))
        if parent == self._current and now - self._linked_at >= self._timing.stable_after:
            exclusion.failures = 0
        pause = self._timing.return_after * 2**exclusion.failures
        if pause < self._timing.max_return_after:
            exclusion.failures += 1
        exclusion.until = now + min(pause, self._timing.max_return_after)

    def _try_better(self, now: float) -> None:
        best = self._best(now)
        if best != self._current:
            self._trial = best
            self._trial_at = now

    def _best(self, now: float) -> str:
        """Return the first parent that is not excluded, else the one that is free again first."""
        for parent in self._parents:
            if self._free_at(parent) <= now:
                return parent
        return min(self._parents, key=self._free_at)

    def _free_at(self, parent: str) -> float:
        exclusion = self._exclusions.get(parent)
        return exclusion.until if exclusion else float("-inf")

    def _link(self, parent: str, now: float) -> None:
        self._current = parent
        self._linked_at = now
        self._opened = False
        self._trial = None
        self._restart_limits(now)

    def _restart_limits(self, now: float) -> None:
        self._heard_at = now
        self._trial_at = now
        if self._awaited:
            newest = self._awaited[-1].position
            self._awaited = deque([_Awaited(newest, now)])
