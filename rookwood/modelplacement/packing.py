"""Fractional bin packing of weights onto workers, after steps 1 to 4 of LoRAServe's Algorithm 1.

Workers are bins whose capacity is the target utilisation, and whose memory and adapter slots limit which
weights they can hold. All dispatchers order the workers alike. Each size group, the largest first, gets the
next workers in this order and fills them; the rest of its demand goes to the worker with the least relative
load in the highest group that has room for the weights.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from typing import NamedTuple

from rookwood.modelplacement.hashing import hashed_index
from rookwood.modelplacement.types import ModelSpec, WeightsKey

MAX_OVERFILL = 1.15  # a bin may exceed its target by this factor to take all that is left of a key
INDIVISIBLE_PART = 0.25  # a key that needs less than this part of a bin is not split
MIN_PART = 0.05  # of a key's demand or of a bin; a smaller share is not worth a copy of the weights
SCAN_LIMIT = 48  # after this many workers without room, the rest of a key counts as a leftover
PURGE_AFTER = 12  # after a key for which more workers were tried, full workers are dropped from the list


@dataclass(slots=True)
class Bin:
    """A worker while the table is being packed."""

    worker: str
    ramp: float  # usable part of its capacity, which grows after the start of a worker
    size_mb: float
    adapter_slots: int
    max_group: float = 0.0  # the highest size group that it serves
    load: float = 0.0  # utilisation assigned
    used_mb: float = 0.0
    adapter_count: int = 0
    keys: set[WeightsKey] = field(default_factory=set)  # the base keys of adapters included

    @property
    def relative_load(self) -> float:
        """The load relative to the usable capacity."""
        return self.load / self.ramp

    def fits(self, key: WeightsKey, spec: ModelSpec) -> bool:
        """Whether there is room for the weights of `key`, and of its base model, besides the present ones."""
        if key in self.keys:
            return True
        added = 0.0 if key.base in self.keys else spec.size_mb
        if key.adapter:
            added += spec.adapter_mb
            if self.adapter_count >= self.adapter_slots:
                return False
        return self.used_mb + added <= self.size_mb

    def add(self, key: WeightsKey, spec: ModelSpec, amount: float) -> None:
        """Add `amount` of utilisation, and the weights of `key` and its base model."""
        self.load += amount
        for part in (key.base, key):
            if part not in self.keys:
                self.keys.add(part)
                self.used_mb += spec.size_of(part)
                self.adapter_count += bool(part.adapter)


class _LeftoverRank(NamedTuple):
    """The sort key of a worker for leftovers: the highest group first, then the least relative load."""

    negative_group: float
    relative_load: float
    worker: str


@dataclass(frozen=True, slots=True)
class Packing:
    """The result of a packing."""

    shares: dict[WeightsKey, dict[str, float]]  # key -> worker -> utilisation assigned
    ranges: dict[float, tuple[str, ...]]  # size group -> its workers
    unplaced: tuple[WeightsKey, ...]  # keys for whose weights no worker has room


class Packer:
    """Packs the demand of one step; used once.

    `utilisation` is the demand for each key, and `preferred` the workers to try first for a key.
    """

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
        self.group_bins: dict[str, Bin] = {}  # the bins of the group that is being packed
        self.shares: dict[WeightsKey, dict[str, float]] = {}

    def pack(self) -> Packing:
        """Pack all keys: steps 1 to 4 of LoRAServe's Algorithm 1."""
        groups = self._groups()
        target = math.fsum(self.utilisation.values()) / math.fsum(item.ramp for item in self.bins)
        ranges = self._ranges(groups, target)
        leftovers = []
        for group, keys in groups:
            open_bins = [self.by_worker[worker] for worker in ranges[group]]
            for item in open_bins:
                item.max_group = group
            self.group_bins = {item.worker: item for item in open_bins}
            leftovers += [
                (key, left) for key in keys if (left := self._pack_key(key, open_bins, target)) > 0.0
            ]
        unplaced = self._place_leftovers(leftovers)
        return Packing(self.shares, ranges, tuple(unplaced))

    def group_of(self, key: WeightsKey) -> float:
        """The size group of a key, in megabytes."""
        return self.models[key.model].size_of(key)

    def _groups(self) -> list[tuple[float, list[WeightsKey]]]:
        """The size groups, largest first, each with its keys in descending order of demand."""
        groups: dict[float, list[WeightsKey]] = {}
        for key in sorted(self.utilisation, key=lambda key: (-self.utilisation[key], key)):
            groups.setdefault(self.group_of(key), []).append(key)
        return sorted(groups.items(), key=lambda item: -item[0])

    def _ranges(
        self, groups: Iterable[tuple[float, list[WeightsKey]]], target: float
    ) -> dict[float, tuple[str, ...]]:
        """Assign each group ROUND(groupUtil / targetUtil) workers, in the shared order.

        Workers with a lower `ramp` count for less than one.
        """
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

    def _pack_key(self, key: WeightsKey, open_bins: list[Bin], target: float) -> float:
        """Assign a key to workers of its group; returns the utilisation that did not fit."""
        left = self.utilisation[key]
        least = MIN_PART * min(left, target)
        share = self.shares.setdefault(key, {})
        rejected = 0
        for item in self._candidates(key, open_bins):
            amount = _amount_for_bin(left, item, target)
            if amount < least or not item.fits(key, self.models[key.model]):
                rejected += 1
                if rejected > SCAN_LIMIT:
                    break
                continue
            self._assign(key, item, amount, share)
            left -= amount
            if left <= least:
                left = 0.0
                break
        if rejected + len(share) > PURGE_AFTER:
            open_bins[:] = [item for item in open_bins if item.load < target * item.ramp * (1.0 - MIN_PART)]
        return left

    def _candidates(self, key: WeightsKey, open_bins: Sequence[Bin]) -> Iterator[Bin]:
        """The workers to try: those that `preferred` names, then the group's from a hashed start."""
        tried = set()
        for worker in self.preferred.get(key, ()):
            if worker in self.group_bins and worker not in tried:
                tried.add(worker)
                yield self.group_bins[worker]
        start = hashed_index(f"{key.model}/{key.adapter}", len(open_bins))
        for step in range(len(open_bins)):
            item = open_bins[(start + step) % len(open_bins)]
            if item.worker not in tried:
                yield item

    def _place_leftovers(self, leftovers: Iterable[tuple[WeightsKey, float]]) -> list[WeightsKey]:
        """Assign each leftover to the worker with the least relative load in the highest group with room.

        Returns the keys for which no worker has room.
        """
        ranked = [_LeftoverRank(-item.max_group, item.relative_load, item.worker) for item in self.bins]
        heapify(ranked)
        unplaced = []
        for key, left in leftovers:
            popped = []
            while ranked:
                first = heappop(ranked)
                item = self.by_worker[first.worker]
                if item.fits(key, self.models[key.model]):
                    self._assign(key, item, left, self.shares[key])
                    item.max_group = max(item.max_group, self.group_of(key))
                    popped.append(_LeftoverRank(-item.max_group, item.relative_load, item.worker))
                    break
                popped.append(first)
            else:
                if not self.shares[key]:
                    unplaced.append(key)
            for entry in popped:
                heappush(ranked, entry)
        return unplaced

    def _assign(self, key: WeightsKey, item: Bin, amount: float, share: dict[str, float]) -> None:
        item.add(key, self.models[key.model], amount)
        share[item.worker] = share.get(item.worker, 0.0) + amount


def _amount_for_bin(left: float, item: Bin, target: float) -> float:
    """The part of a key that a bin takes: up to its target, or all that is left if that is little more."""
    capacity = target * item.ramp
    takes_undivided = left <= INDIVISIBLE_PART * capacity and item.load < capacity
    if takes_undivided or left <= capacity * MAX_OVERFILL - item.load:
        return left
    return min(left, capacity - item.load)
