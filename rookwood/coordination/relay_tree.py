"""The tree along which dispatchers relay the updates of the control machines to each other.

Each dispatcher computes the tree from its own view of the others. A parent always has a smaller rank than its
child, and the rank depends only on the epoch and the identity. So the links of one epoch never form a cycle,
even if no two views agree. This module does no I/O and reads no clock.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from itertools import islice

from rookwood.coordination.rendezvous import HASH_SPACE, rank_members, rendezvous_weight

DEFAULT_FAN_OUT = 16  # children of a dispatcher
MIN_FAN_OUT = 4
FALLBACK_PARENTS = 2  # dispatchers to try after the parent and before the control machines
# The mean share of the children limit that is in use. The slack makes full parents rare, since the children
# that full parents reject take the places of others.
MEAN_FILL = 0.375
MIN_LEVEL_GROWTH = 2


@dataclass(frozen=True, slots=True)
class Dispatcher:
    """A dispatcher as a node of the tree."""

    identity: str
    zone: str


@dataclass(frozen=True, slots=True, order=True)
class Rank:
    """The position of a dispatcher in the order of one epoch, the same in every view."""

    weight: int
    identity: str


def rank_of(identity: str, epoch: int) -> Rank:
    """Return the rank of a dispatcher; its parents must have a smaller rank."""
    return Rank(rendezvous_weight(f"rank {epoch}", identity), identity)


class RelayTree:
    """The tree of one epoch in one dispatcher's view, with at most `fan_out` children for each node.

    The dispatchers of smallest rank are children of the control machines. The others are sorted into levels
    by rank alone, and each level spans `fan_out * MEAN_FILL` times as many ranks as the level above it. A
    dispatcher prefers parents from the level above its own, so the loss of one dispatcher leaves the
    preferences of all others as they are. Besides the children of the lost one, a dispatcher moves only to a
    place that became free, or because a child that moved took its place.
    """

    def __init__(
        self,
        dispatchers: Iterable[Dispatcher],
        roots: Iterable[str],
        epoch: int,
        fan_out: int = DEFAULT_FAN_OUT,
    ) -> None:
        """Compute the tree of the dispatchers; `roots` are the addresses of the control machines."""
        self._dispatchers = {dispatcher.identity: dispatcher for dispatcher in dispatchers}
        self._roots = tuple(sorted(set(roots)))
        if not self._roots:
            raise ValueError("a relay tree needs at least one root")
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
        """The maximum number of children of a dispatcher.

        Control machines, as the last resort, accept any number.
        """
        return self._fan_out

    def parents(self, dispatcher: Dispatcher) -> tuple[str, ...]:
        """Return the parent and then the fallbacks in order; the control machines come last."""
        if self._dispatchers.get(dispatcher.identity) != dispatcher:
            dispatchers = {**self._dispatchers, dispatcher.identity: dispatcher}
            tree = RelayTree(dispatchers.values(), self._roots, self._epoch, self._fan_out)
            return tree.parents(dispatcher)
        parent = self._parents[dispatcher.identity]
        roots = self._ranked_roots(dispatcher.identity)
        if parent in self._roots:
            return (parent, *(root for root in roots if root != parent))
        others = (candidate for candidate in self._candidates(dispatcher.identity) if candidate != parent)
        return (parent, *islice(others, FALLBACK_PARENTS), *roots)

    def depth(self, identity: str) -> int:
        """Return the number of links from a dispatcher up to its control machine."""
        depth = 0
        while identity in self._parents:
            identity = self._parents[identity]
            depth += 1
        return depth

    def may_be_parent(self, parent: str, child: str) -> bool:
        """Return whether the ranks of this epoch allow the parent; it must also respect `children_limit`."""
        return rank_of(parent, self._epoch) < rank_of(child, self._epoch)

    def _assign_levels(self) -> None:
        for identity in self._order:
            self._levels[self._level(identity)].append(identity)

    def _level(self, identity: str) -> int:
        """Return the level of a dispatcher; level 0 is the lowest in the tree."""
        growth = max(MIN_LEVEL_GROWTH, round(self._fan_out * MEAN_FILL))
        level = 0
        bound = HASH_SPACE // growth
        while self._ranks[identity].weight < bound:
            level += 1
            bound //= growth
        return level

    def _assign_parents(self) -> None:
        direct_children = min(len(self._order), len(self._roots) * self._fan_out)
        root_limit = -(-direct_children // len(self._roots))
        for identity in self._order[:direct_children]:
            self._attach(identity, self._ranked_roots(identity), root_limit)
        for identity in self._order[direct_children:]:
            self._attach(identity, self._candidates(identity), self._fan_out)

    def _attach(self, identity: str, candidates: Iterable[str], limit: int) -> None:
        parent = next(candidate for candidate in candidates if self._children[candidate] < limit)
        self._children[parent] += 1
        self._parents[identity] = parent

    def _ranked_roots(self, identity: str) -> list[str]:
        return rank_members(f"root {identity}", self._roots)

    def _candidates(self, identity: str) -> Iterator[str]:
        """Yield possible parents in order of preference.

        Dispatchers of the level above in the own zone come first, then those of the level above in other
        zones, then all others of smaller rank.
        """
        zone = self._dispatchers[identity].zone
        parent_level = self._levels.get(self._level(identity) + 1, [])
        key = f"parent {identity}"
        yield from rank_members(key, (node for node in parent_level if self._dispatchers[node].zone == zone))
        yield from rank_members(key, (node for node in parent_level if self._dispatchers[node].zone != zone))
        preferred = frozenset(parent_level)
        for node in self._order:
            if self._ranks[node] >= self._ranks[identity]:
                return
            if node not in preferred:
                yield node
