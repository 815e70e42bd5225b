"""Fractional bin packing of keys onto workers, after steps 1 to 4 of LoRAServe's Algorithm 1.

Workers are bins whose capacity is the target utilisation, and whose memory and adapter slots limit which
weights they can hold. Each size group fills its own workers, taken along one order that all dispatchers
share, largest group first; what does not fit goes to the least used worker of the highest group that has
room for the weights.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from typing import NamedTuple

from rookwood.modelplacement.hashing import hashed_index
from rookwood.modelplacement.types import ModelSpec, WeightsKey

HEADROOM = 1.15  # a bin may pass its target by this factor to take all that is left of a key
WHOLE_PART = 0.25  # a key that needs less than this part of a bin is not split
LEAST_PART = 0.05  # of a key or a bin: less is not worth a copy of the weights
SCAN_LIMIT = 48  # workers without room that are tried for one key, before it counts as a leftover
PURGE_AFTER = 12  # workers tried for one key, from which full ones are taken off the list


@dataclass(slots=True)
class Bin:
    """A worker while the table is being packed."""

    worker: str
    ramp: float  # part of its capacity that a newly started worker offers
    size_mb: float
    adapter_slots: int
    max_group: float = 0.0
    load: float = 0.0
    used_mb: float = 0.0
    adapter_count: int = 0
    keys: set[WeightsKey] = field(default_factory=set)  # base keys included

    @property
    def use(self) -> float:
        """Load relative to what the worker offers."""
        return self.load / self.ramp

    def fits(self, key: WeightsKey, spec: ModelSpec) -> bool:
        """Whether the weights of `key`, with its model, can be held besides the present ones."""
        if key in self.keys:
            return True
        added = 0.0 if key.base in self.keys else spec.size_mb
        if key.adapter:
            added += spec.adapter_mb
            if self.adapter_count >= self.adapter_slots:
                return False
        return self.used_mb + added <= self.size_mb

    def add(self, key: WeightsKey, spec: ModelSpec, amount: float) -> None:
        """Hold the weights of `key`, with its model, and take `amount` of utilisation."""
        self.load += amount
        for part in (key.base, key):
            if part not in self.keys:
                self.keys.add(part)
                self.used_mb += spec.size_of(part)
                self.adapter_count += bool(part.adapter)


class _Ranked(NamedTuple):
    """Order in which workers take leftovers."""

    negative_group: float
    use: float
    worker: str


@dataclass(frozen=True, slots=True)
class Packed:
    """The result of a packing."""

    shares: dict[WeightsKey, dict[str, float]]  # key -> worker -> utilisation taken
    ranges: dict[float, tuple[str, ...]]  # size group -> its workers
    unplaced: tuple[WeightsKey, ...]  # no worker has room for the weights


class Packer:
    """One packing of the demand of a step."""

    def __init__(
        self,
        models: Mapping[str, ModelSpec],
        utilisation: Mapping[WeightsKey, float],
        bins: Sequence[Bin],
        preferred: Mapping[WeightsKey, Sequence[str]],
    ) -> None:
        self.models = models
        self.utilisation = utilisation
        self.bins = bins
        self.preferred = preferred
        self.by_worker = {item.worker: item for item in bins}
        self.members: dict[str, Bin] = {}  # workers of the group that is being packed
        self.shares: dict[WeightsKey, dict[str, float]] = {}

    def pack(self) -> Packed:
        """Steps 1 to 4 of the algorithm."""
        groups = self._groups()
        target = math.fsum(self.utilisation.values()) / math.fsum(item.ramp for item in self.bins)
        ranges = self._ranges(groups, target)
        leftovers = []
        for group, keys in groups:
            open_bins = [self.by_worker[worker] for worker in ranges[group]]
            for item in open_bins:
                item.max_group = group
            self.members = {item.worker: item for item in open_bins}
            leftovers += [(key, left) for key in keys if (left := self._fill(key, open_bins, target)) > 0.0]
        unplaced = self._place_leftovers(leftovers)
        return Packed(self.shares, ranges, tuple(unplaced))

    def group_of(self, key: WeightsKey) -> float:
        """The size group of a key, in megabytes."""
        return self.models[key.model].size_of(key)

    def _groups(self) -> list[tuple[float, list[WeightsKey]]]:
        """Size groups, largest first, with their keys, most demanded first."""
        groups: dict[float, list[WeightsKey]] = {}
        for key in sorted(self.utilisation, key=lambda key: (-self.utilisation[key], key)):
            groups.setdefault(self.group_of(key), []).append(key)
        return sorted(groups.items(), key=lambda item: -item[0])

    def _ranges(
        self, groups: Iterable[tuple[float, list[WeightsKey]]], target: float
    ) -> dict[float, tuple[str, ...]]:
        """ROUND(groupUtil / targetUtil) workers a group, along the shared order."""
        ranges = {}
        first = 0
        for group, keys in groups:
            budget = math.fsum(self.utilisation[key] for key in keys) / target
            end = first
            while end < len(self.bins) and budget >= self.bins[end].ramp / 2:
                budget -= self.bins[end].ramp
                end += 1
            ranges[group] = tuple(item.worker for item in self.bins[first:end])
            first = end
        return ranges

    def _fill(self, key: WeightsKey, open_bins: list[Bin], target: float) -> float:
        """Give a key to workers of its group; the utilisation left over is returned."""
        left = self.utilisation[key]
        least = LEAST_PART * min(left, target)
        share = self.shares.setdefault(key, {})
        rejected = 0
        for item in self._candidates(key, open_bins):
            amount = _amount(left, item, target)
            if amount < least or not item.fits(key, self.models[key.model]):
                rejected += 1
                if rejected > SCAN_LIMIT:
                    break
                continue
            self._give(key, item, amount, share)
            left -= amount
            if left <= least:
                left = 0.0
                break
        if rejected + len(share) > PURGE_AFTER:
            open_bins[:] = [item for item in open_bins if item.load < target * item.ramp * (1.0 - LEAST_PART)]
        return left

    def _candidates(self, key: WeightsKey, open_bins: Sequence[Bin]) -> Iterator[Bin]:
        """Workers of the group: those that had the key before, then in the key's own order."""
        tried = set()
        for worker in self.preferred.get(key, ()):
            if worker in self.members and worker not in tried:
                tried.add(worker)
                yield self.members[worker]
        start = hashed_index(f"{key.model}/{key.adapter}", len(open_bins))
        for step in range(len(open_bins)):
            item = open_bins[(start + step) % len(open_bins)]
            if item.worker not in tried:
                yield item

    def _place_leftovers(self, leftovers: Iterable[tuple[WeightsKey, float]]) -> list[WeightsKey]:
        """Give what is left to the least used worker of the highest group with room.

        Keys for which there is no room at all are returned.
        """
        ranked = [_Ranked(-item.max_group, item.use, item.worker) for item in self.bins]
        heapify(ranked)
        unplaced = []
        for key, left in leftovers:
            popped = []
            while ranked:
                first = heappop(ranked)
                item = self.by_worker[first.worker]
                if item.fits(key, self.models[key.model]):
                    self._give(key, item, left, self.shares[key])
                    item.max_group = max(item.max_group, self.group_of(key))
                    popped.append(_Ranked(-item.max_group, item.use, item.worker))
                    break
                popped.append(first)
            else:
                if not self.shares[key]:
                    unplaced.append(key)
            for entry in popped:
                heappush(ranked, entry)
        return unplaced

    def _give(self, key: WeightsKey, item: Bin, amount: float, share: dict[str, float]) -> None:
        item.add(key, self.models[key.model], amount)
        share[item.worker] = share.get(item.worker, 0.0) + amount


def _amount(left: float, item: Bin, target: float) -> float:
    """What a bin takes of a key: up to the target, or all that is left when that is little more."""
    capacity = target * item.ramp
    whole = left <= WHOLE_PART * capacity and item.load < capacity
    if whole or left <= capacity * HEADROOM - item.load:
        return left
    return min(left, capacity - item.load)
