"""The tree along which dispatchers relay the updates of the control machines to each other.

Each dispatcher computes the tree from its own view of the others. A parent always has a smaller rank
than its child, and the rank depends on nothing but the epoch and the identity. So the links of one
epoch never form a cycle, even if no two views agree. No I/O and no clock: time is passed in.
"""

from collections import defaultdict, deque
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from itertools import islice

from rookwood.coordination.document import Position
from rookwood.coordination.monitoring import PauseDetector
from rookwood.coordination.rendezvous import HASH_SPACE, ranked, weight

DEFAULT_FAN_OUT = 16
MIN_FAN_OUT = 4
FALLBACK_PARENTS = 2
MEAN_LOAD = 0.375  # of the children limit; slack keeps full parents, whose overflow moves others, rare
MIN_WIDENING = 2


@dataclass(frozen=True, slots=True)
class Dispatcher:
    """A dispatcher as the tree sees it."""

    identity: str
    zone: str


@dataclass(frozen=True, slots=True, order=True)
class Rank:
    """The place of a dispatcher in the order of one epoch, the same in every view."""

    weight: int
    identity: str


def rank_of(identity: str, epoch: int) -> Rank:
    """Return the rank of a dispatcher; it may have only parents of smaller rank."""
    return Rank(weight(f"rank {epoch}", identity), identity)


class RelayTree:
    """One view's tree of one epoch, with at most `fan_out` children for each node.

    The dispatchers of smallest rank are children of the control machines. The others are sorted into
    levels by rank alone, each level spanning `fan_out * MEAN_LOAD` times as many ranks as the one above
    it. A dispatcher prefers parents from the level above its own, so the loss of one leaves the order
    of preference of all others as it is. Others than its children move only to a place that became
    free, or because a child that moved took theirs.
    """

    def __init__(
        self,
        dispatchers: Iterable[Dispatcher],
        roots: Iterable[str],
        epoch: int,
        fan_out: int = DEFAULT_FAN_OUT,
    ) -> None:
        """Compute the tree of all dispatchers; `roots` are the control machines."""
        self._dispatchers = {dispatcher.identity: dispatcher for dispatcher in dispatchers}
        self._roots = tuple(sorted(set(roots)))
        if not self._roots:
            raise ValueError("a relay tree needs a root")
        if fan_out < MIN_FAN_OUT:
            raise ValueError(f"fan-out must be at least {MIN_FAN_OUT}")
        self._epoch = epoch
        self._fan_out = fan_out
        self._ranks = {identity: rank_of(identity, epoch) for identity in self._dispatchers}
        self._order = sorted(self._dispatchers, key=self._ranks.__getitem__)
        self._levels: defaultdict[int, list[str]] = defaultdict(list)
        self._children: defaultdict[str, int] = defaultdict(int)
        self._parents: dict[str, str] = {}
        self._assign_levels()
        self._assign_parents()

    @property
    def children_limit(self) -> int:
        """How many children a dispatcher takes; a control machine is the last resort and takes all."""
        return self._fan_out

    def parents(self, me: Dispatcher) -> tuple[str, ...]:
        """Return the parent, then the fallbacks in order; the last ones are the control machines."""
        if self._dispatchers.get(me.identity) != me:
            dispatchers = {**self._dispatchers, me.identity: me}
            tree = RelayTree(dispatchers.values(), self._roots, self._epoch, self._fan_out)
            return tree.parents(me)
        parent = self._parents[me.identity]
        roots = self._ranked_roots(me.identity)
        if parent in self._roots:
            return (parent, *(root for root in roots if root != parent))
        others = (candidate for candidate in self._candidates(me.identity) if candidate != parent)
        return (parent, *islice(others, FALLBACK_PARENTS), *roots)

    def depth(self, identity: str) -> int:
        """Return the number of links between a dispatcher and its control machine."""
        depth = 0
        while identity in self._parents:
            identity = self._parents[identity]
            depth += 1
        return depth

    def accepts(self, parent: str, child: str) -> bool:
        """Tell whether a dispatcher may take a child of this epoch; it also minds `children_limit`."""
        return rank_of(parent, self._epoch) < rank_of(child, self._epoch)

    def _assign_levels(self) -> None:
        for identity in self._order:
            self._levels[self._level(identity)].append(identity)

    def _level(self, identity: str) -> int:
        """Return the level of a dispatcher, 0 being the lowest in the tree."""
        widening = max(MIN_WIDENING, round(self._fan_out * MEAN_LOAD))
        level = 0
        bound = HASH_SPACE // widening
        while self._ranks[identity].weight < bound:
            level += 1
            bound //= widening
        return level

    def _assign_parents(self) -> None:
        direct = min(len(self._order), len(self._roots) * self._fan_out)
        root_limit = -(-direct // len(self._roots))
        for identity in self._order[:direct]:
            self._attach(identity, self._ranked_roots(identity), root_limit)
        for identity in self._order[direct:]:
            self._attach(identity, self._candidates(identity), self._fan_out)

    def _attach(self, identity: str, candidates: Iterable[str], limit: int) -> None:
        parent = next(candidate for candidate in candidates if self._children[candidate] < limit)
        self._children[parent] += 1
        self._parents[identity] = parent

    def _ranked_roots(self, identity: str) -> list[str]:
        return ranked(f"root {identity}", self._roots)

    def _candidates(self, identity: str) -> Iterator[str]:
        """Yield possible parents: level above in the own zone, in other zones, then all in rank order."""
        zone = self._dispatchers[identity].zone
        above = self._levels.get(self._level(identity) + 1, [])
        key = f"parent {identity}"
        yield from ranked(key, (node for node in above if self._dispatchers[node].zone == zone))
        yield from ranked(key, (node for node in above if self._dispatchers[node].zone != zone))
        preferred = frozenset(above)
        for node in self._order:
            if self._ranks[node] >= self._ranks[identity]:
                return
            if node not in preferred:
                yield node


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
    def current(self) -> str:
        """The parent to be linked to."""
        return self._current

    @property
    def trial(self) -> str | None:
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

    def heard(self, parent: str, now: float) -> None:
        """Anything arrived over the link to a parent."""
        if parent == self._trial:
            self._link(parent, now)
            self._return_at = now + self._timing.return_after
        if parent == self._current:
            self._opened = True
            self._heard_at = now

    def received(self, position: Position) -> None:
        """An update was taken in, over whichever link."""
        self._position = max(self._position, position)
        while self._awaited and self._awaited[0].position <= self._position:
            self._awaited.popleft()

    def digest(self, position: Position, now: float) -> None:
        """A control machine tells the newest position."""
        newest = self._awaited[-1].position if self._awaited else self._position
        if position > newest:
            self._awaited.append(_Awaited(position, now))

    def failed(self, parent: str, now: float) -> None:
        """A link could not be opened, was refused or ended."""
        self._leave(parent, now)

    def suspected(self, parent: str, now: float) -> None:
        """The monitors of a parent suspect it or take it for dead."""
        self._leave(parent, now)

    def tick(self, now: float) -> str:
        """Return the parent to be linked to now."""
        if self._pauses.paused(now):
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
