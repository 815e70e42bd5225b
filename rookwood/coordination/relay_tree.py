"""The tree along which dispatchers relay the updates of the control machines to each other.

Each dispatcher computes the tree from its own view of the others. A parent always has a smaller rank
than its child, and the rank depends on nothing but the epoch and the identity. So the links of one
epoch never form a cycle, even if no two views agree. No I/O and no clock: time is passed in.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from itertools import islice

from rookwood.coordination.rendezvous import HASH_SPACE, ranked, rendezvous_weight

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

    rendezvous_weight: int
    identity: str


def rank_of(identity: str, epoch: int) -> Rank:
    """Return the rank of a dispatcher; it may have only parents of smaller rank."""
    return Rank(rendezvous_weight(f"rank {epoch}", identity), identity)


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
        while self._ranks[identity].rendezvous_weight < bound:
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
