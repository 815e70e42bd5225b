"""The placement table of one service in one dispatcher: which workers serve a key, and in which fractions.

`step` packs the extrapolated demand (see `packing`), permutes the workers so that the result deviates least
from the last table (see `permutation`), and keeps it until the next step. Each dispatcher counts its own
demand. The order of the workers, the hashes and the rules are the same in all dispatchers, so that equal
demand gives equal tables.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from rookwood.modelplacement.hashing import hashed_index, stable_hash
from rookwood.modelplacement.operating import OperatingPoints
from rookwood.modelplacement.packing import Bin, Packer
from rookwood.modelplacement.permutation import assign_with_least_deviation
from rookwood.modelplacement.types import ModelSpec, Outcome, WeightsKey, WorkerWeights

SMOOTHING = 0.5  # weight of the newest step in a key's smoothed demand
TREND = 0.5  # part of the last change that is expected to continue
MIN_DEMAND = 1e-3  # slot-seconds a second; a key with less demand counts as idle
RAMP_S = 120.0  # seconds after its start until a worker's bin has its full capacity
RAMP_START = 0.25  # part of the capacity at the start

Fractions = tuple[tuple[str, float], ...]  # (worker, fraction of a key's requests)


class PlacementTable:
    """The fractions of each key's requests by worker, computed from this dispatcher's demand."""

    def __init__(
        self, models: Mapping[str, ModelSpec], operating_points: OperatingPoints | None = None
    ) -> None:
        self.models = models
        self.operating_points = operating_points or OperatingPoints()
        self._slot_seconds: dict[WeightsKey, float] = {}
        self._levels: dict[WeightsKey, float] = {}
        self._stepped_at: float | None = None
        self._shares: dict[WeightsKey, dict[str, float]] = {}
        self._ranges: dict[float, tuple[str, ...]] = {}
        self._order: tuple[str, ...] = ()
        self._hashes: dict[str, int] = {}
        self._fallback_fractions: dict[WeightsKey, Fractions] = {}

    def record(self, key: WeightsKey, slot_seconds: float, now: float) -> None:
        """Count slot-seconds that requests for a key used."""
        if self._stepped_at is None:
            self._stepped_at = now
        self._slot_seconds[key] = self._slot_seconds.get(key, 0.0) + slot_seconds

    def record_outcome(self, worker: str, key: WeightsKey, outcome: Outcome, now: float) -> None:
        """Adjust the operating point of the key's size group by the outcome of an attempt."""
        spec = self.models.get(key.model)
        if spec is not None:
            self.operating_points.record(spec.size_of(key), outcome)

    def step(self, now: float, workers: Sequence[WorkerWeights]) -> None:
        """Compute a new table from the demand since the last step; without demand, the last table is kept."""
        usable = [weights for weights in workers if not weights.draining and weights.size_mb > 0.0]
        self._set_workers(usable)
        demand = self._extrapolate(now)
        if not demand or not usable:
            return
        by_worker = {weights.worker: weights for weights in usable}
        bins = [_new_bin(now, by_worker[worker]) for worker in self._order]
        utilisation = {key: amount / self._operating_point(key) for key, amount in demand.items()}
        packed = Packer(self.models, utilisation, bins, self._preferred_workers(demand, usable)).pack()
        self._shares = _permute_workers(packed.shares, packed.ranges, bins, self._shares)
        self._ranges = packed.ranges

    def fractions(self, key: WeightsKey) -> Fractions:
        """The workers of a key with their fractions, which sum to one; empty if there is no worker."""
        share = self._shares.get(key)
        if share:
            return tuple(share.items())
        if key not in self._fallback_fractions:
            self._fallback_fractions[key] = self._hashed_fractions(key)
        return self._fallback_fractions[key]

    def wanted_weights(self) -> dict[str, frozenset[WeightsKey]]:
        """Per worker the weights that it should hold, with the base models of adapters."""
        wanted: dict[str, set[WeightsKey]] = {worker: set() for worker in self._order}
        for key, share in self._shares.items():
            for worker in share:
                wanted[worker] |= {key, key.base}
        return {worker: frozenset(keys) for worker, keys in wanted.items()}

    def _set_workers(self, usable: Sequence[WorkerWeights]) -> None:
        """Update the shared order of the workers, and remove workers that are gone from the table."""
        present = {weights.worker for weights in usable}
        self._hashes = {worker: self._hashes.get(worker) or stable_hash(worker) for worker in present}
        self._order = tuple(sorted(present, key=lambda worker: (self._hashes[worker], worker)))
        self._fallback_fractions.clear()
        kept = {}
        for key, share in self._shares.items():
            remaining = (
                share if present.issuperset(share) else {w: f for w, f in share.items() if w in present}
            )
            if remaining and key.model in self.models:
                kept[key] = share if remaining is share else _normalise(remaining)
        self._shares = kept
        self._ranges = {g: tuple(w for w in workers if w in present) for g, workers in self._ranges.items()}

    def _extrapolate(self, now: float) -> dict[WeightsKey, float]:
        """The demand expected in the next step, from each key's smoothed demand and its last change."""
        elapsed = now - self._stepped_at if self._stepped_at is not None else 0.0
        self._stepped_at = now
        if not self._slot_seconds or elapsed <= 0.0:
            return {}
        expected = {}
        levels = {}
        for key in self._levels.keys() | self._slot_seconds.keys():
            if key.model not in self.models:
                continue
            rate = self._slot_seconds.get(key, 0.0) / elapsed
            before = self._levels.get(key, rate)
            level = before + SMOOTHING * (rate - before)
            if level < MIN_DEMAND:
                continue
            levels[key] = level
            expected[key] = max(MIN_DEMAND, level + TREND * (level - before))
        self._slot_seconds = {}
        self._levels = levels
        return expected

    def _operating_point(self, key: WeightsKey) -> float:
        return self.operating_points.for_group(self.models[key.model].size_of(key))

    def _preferred_workers(
        self, demand: Mapping[WeightsKey, float], usable: Sequence[WorkerWeights]
    ) -> dict[WeightsKey, list[str]]:
        """Per key the workers of the last table, then those that already hold the weights."""
        preferred = {key: list(self._shares.get(key, ())) for key in demand}
        by_model: dict[str, dict[str, list[str]]] = {}  # model -> adapter -> preferred workers
        for key, holders in preferred.items():
            by_model.setdefault(key.model, {})[key.adapter] = holders
        position = {worker: index for index, worker in enumerate(self._order)}
        for weights in sorted(usable, key=lambda weights: position[weights.worker]):
            for model in by_model.keys() & weights.models.keys():
                by_adapter = by_model[model]
                for adapter in by_adapter.keys() & (weights.models[model] | {""}):
                    by_adapter[adapter].append(weights.worker)
        return preferred

    def _hashed_fractions(self, key: WeightsKey) -> Fractions:
        """One worker for a key without demand, chosen by hash from its size group's range if it has one."""
        spec = self.models.get(key.model)
        members = self._ranges.get(spec.size_of(key), ()) if spec else ()
        members = members or self._order
        if not members:
            return ()
        return ((members[hashed_index(f"{key.model}/{key.adapter}", len(members))], 1.0),)


def _new_bin(now: float, weights: WorkerWeights) -> Bin:
    progress = min(1.0, max(0.0, now - weights.started) / RAMP_S)
    ramp = RAMP_START + (1.0 - RAMP_START) * progress
    return Bin(weights.worker, ramp, weights.size_mb, weights.adapter_slots)


def _normalise(share: Mapping[str, float]) -> dict[str, float]:
    total = sum(share.values())
    return {worker: amount / total for worker, amount in share.items()}


def _permute_workers(
    shares: Mapping[WeightsKey, Mapping[str, float]],
    ranges: Mapping[float, Sequence[str]],
    bins: Sequence[Bin],
    last: Mapping[WeightsKey, Mapping[str, float]],
) -> dict[WeightsKey, dict[str, float]]:
    """The fractions after swapping workers of equal capacity within a range, to stay close to `last`."""
    fractions = {key: _normalise(share) for key, share in shares.items() if share}
    classes = _interchangeable_workers(ranges, bins)
    class_of = {worker: index for index, members in enumerate(classes) for worker in members}
    overlap: dict[tuple[str, str], float] = {}
    for key, share in fractions.items():
        before = last.get(key, {})
        for position, fraction in share.items():
            for worker, old_fraction in before.items():
                if class_of.get(worker) == class_of[position]:
                    pair = position, worker
                    overlap[pair] = overlap.get(pair, 0.0) + min(fraction, old_fraction)
    chosen: dict[str, str] = {}
    for members in classes:
        chosen |= assign_with_least_deviation(members, overlap)
    return {key: {chosen[w]: fraction for w, fraction in share.items()} for key, share in fractions.items()}


def _interchangeable_workers(ranges: Mapping[float, Sequence[str]], bins: Sequence[Bin]) -> list[list[str]]:
    """Groups of workers with the same range and capacity; workers without a range count as one range."""
    range_of = {worker: group for group, members in ranges.items() for worker in members}
    classes: dict[tuple[float, float, float, int], list[str]] = {}
    for item in bins:
        group = range_of.get(item.worker, -1.0)
        classes.setdefault((group, item.ramp, item.size_mb, item.adapter_slots), []).append(item.worker)
    return list(classes.values())
