"""The placement table of one service in one dispatcher: which workers serve a key, and in which fractions.

`step` packs the extrapolated demand (see `packing`), permutes the result to deviate least from the last
table (see `permutation`) and keeps it until the next step. The counts are the dispatcher's own; the order
of workers, the hashes and the rules are shared, so that equal demand gives equal tables everywhere.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from rookwood.modelplacement.hashing import hashed_index, stable_hash
from rookwood.modelplacement.operating import OperatingPoints
from rookwood.modelplacement.packing import Bin, Packer
from rookwood.modelplacement.permutation import least_deviation
from rookwood.modelplacement.types import ModelSpec, Outcome, WeightsKey, WorkerWeights

SMOOTHING = 0.5  # weight of the newest step in a key's level of demand
TREND = 0.5  # part of the last change that is expected to go on
LEAST_DEMAND = 1e-3  # slot-seconds a second below which a key counts as idle
RAMP_S = 120.0  # until a newly started worker's bin is whole
RAMP_START = 0.25

Fractions = tuple[tuple[str, float], ...]


class PlacementTable:
    """Fractions per key, from own demand."""

    def __init__(
        self, models: Mapping[str, ModelSpec], operating_points: OperatingPoints | None = None
    ) -> None:
        self.models = models
        self.operating_points = operating_points or OperatingPoints()
        self._counts: dict[WeightsKey, float] = {}
        self._levels: dict[WeightsKey, float] = {}
        self._stepped: float | None = None
        self._table: dict[WeightsKey, dict[str, float]] = {}
        self._ranges: dict[float, tuple[str, ...]] = {}
        self._order: tuple[str, ...] = ()
        self._hashes: dict[str, int] = {}
        self._without_counts: dict[WeightsKey, Fractions] = {}

    def record(self, key: WeightsKey, slot_seconds: float, now: float) -> None:
        """Count demand for a key."""
        if self._stepped is None:
            self._stepped = now
        self._counts[key] = self._counts.get(key, 0.0) + slot_seconds

    def record_outcome(self, worker: str, key: WeightsKey, outcome: Outcome, now: float) -> None:
        """Let the operating point of the key's group follow how a request ended."""
        spec = self.models.get(key.model)
        if spec is not None:
            self.operating_points.record(spec.size_of(key), outcome)

    def step(self, now: float, workers: Sequence[WorkerWeights]) -> None:
        """Make a new table from the counts since the last step; without any, the last table is kept."""
        usable = [weights for weights in workers if not weights.draining and weights.size_mb > 0.0]
        self._set_workers(usable)
        demand = self._extrapolate(now)
        if not demand or not usable:
            return
        by_worker = {weights.worker: weights for weights in usable}
        bins = [_bin(now, by_worker[worker]) for worker in self._order]
        utilisation = {key: amount / self._operating_point(key) for key, amount in demand.items()}
        packed = Packer(self.models, utilisation, bins, self._preferred(demand, usable)).pack()
        self._table = _permuted(packed.shares, packed.ranges, bins, self._table)
        self._ranges = packed.ranges

    def fractions(self, key: WeightsKey) -> Fractions:
        """Workers of a key with their fractions, which sum to one; empty when there is no worker."""
        share = self._table.get(key)
        if share:
            return tuple(share.items())
        if key not in self._without_counts:
            self._without_counts[key] = self._hashed(key)
        return self._without_counts[key]

    def wanted(self) -> dict[str, frozenset[WeightsKey]]:
        """Per worker the weights it should hold, models of adapters included."""
        wanted: dict[str, set[WeightsKey]] = {worker: set() for worker in self._order}
        for key, share in self._table.items():
            for worker in share:
                wanted[worker] |= {key, key.base}
        return {worker: frozenset(keys) for worker, keys in wanted.items()}

    def _set_workers(self, usable: Sequence[WorkerWeights]) -> None:
        """Take the workers into the shared order, and those that are gone out of the table."""
        present = {weights.worker for weights in usable}
        self._hashes = {worker: self._hashes.get(worker) or stable_hash(worker) for worker in present}
        self._order = tuple(sorted(present, key=lambda worker: (self._hashes[worker], worker)))
        self._without_counts.clear()
        kept = {}
        for key, share in self._table.items():
            left = share if present.issuperset(share) else {w: f for w, f in share.items() if w in present}
            if left and key.model in self.models:
                kept[key] = share if left is share else _normalised(left)
        self._table = kept
        self._ranges = {g: tuple(w for w in workers if w in present) for g, workers in self._ranges.items()}

    def _extrapolate(self, now: float) -> dict[WeightsKey, float]:
        """Demand expected in the next step, from the level of each key and its last change."""
        elapsed = now - self._stepped if self._stepped is not None else 0.0
        self._stepped = now
        if not self._counts or elapsed <= 0.0:
            return {}
        expected = {}
        levels = {}
        for key in self._levels.keys() | self._counts.keys():
            if key.model not in self.models:
                continue
            rate = self._counts.get(key, 0.0) / elapsed
            before = self._levels.get(key, rate)
            level = before + SMOOTHING * (rate - before)
            if level < LEAST_DEMAND:
                continue
            levels[key] = level
            expected[key] = max(LEAST_DEMAND, level + TREND * (level - before))
        self._counts = {}
        self._levels = levels
        return expected

    def _operating_point(self, key: WeightsKey) -> float:
        return self.operating_points.of(self.models[key.model].size_of(key))

    def _preferred(
        self, demand: Mapping[WeightsKey, float], usable: Sequence[WorkerWeights]
    ) -> dict[WeightsKey, list[str]]:
        """Per key the workers of the last table, then those that hold the weights."""
        preferred = {key: list(self._table.get(key, ())) for key in demand}
        by_model: dict[str, dict[str, list[str]]] = {}
        for key, holders in preferred.items():
            by_model.setdefault(key.model, {})[key.adapter] = holders
        position = {worker: index for index, worker in enumerate(self._order)}
        for weights in sorted(usable, key=lambda weights: position[weights.worker]):
            for model in by_model.keys() & weights.models.keys():
                demanded = by_model[model]
                for adapter in demanded.keys() & (weights.models[model] | {""}):
                    demanded[adapter].append(weights.worker)
        return preferred

    def _hashed(self, key: WeightsKey) -> Fractions:
        """One worker for a key without counts, within the range of its group where it has one."""
        spec = self.models.get(key.model)
        members = self._ranges.get(spec.size_of(key), ()) if spec else ()
        members = members or self._order
        if not members:
            return ()
        return ((members[hashed_index(f"{key.model}/{key.adapter}", len(members))], 1.0),)


def _bin(now: float, weights: WorkerWeights) -> Bin:
    grown = min(1.0, max(0.0, now - weights.started) / RAMP_S)
    ramp = RAMP_START + (1.0 - RAMP_START) * grown
    return Bin(weights.worker, ramp, weights.size_mb, weights.adapter_slots)


def _normalised(share: Mapping[str, float]) -> dict[str, float]:
    total = sum(share.values())
    return {worker: amount / total for worker, amount in share.items()}


def _permuted(
    shares: Mapping[WeightsKey, Mapping[str, float]],
    ranges: Mapping[float, Sequence[str]],
    bins: Sequence[Bin],
    last: Mapping[WeightsKey, Mapping[str, float]],
) -> dict[WeightsKey, dict[str, float]]:
    """Fractions after swapping workers within their range, only among those of equal capacity."""
    fractions = {key: _normalised(share) for key, share in shares.items() if share}
    classes = _interchangeable(ranges, bins)
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
        chosen |= least_deviation(members, overlap)
    return {key: {chosen[w]: fraction for w, fraction in share.items()} for key, share in fractions.items()}


def _interchangeable(ranges: Mapping[float, Sequence[str]], bins: Sequence[Bin]) -> list[list[str]]:
    """Workers by range and capacity; those in no range are together."""
    range_of = {worker: group for group, members in ranges.items() for worker in members}
    classes: dict[tuple[float, float, float, int], list[str]] = {}
    for item in bins:
        group = range_of.get(item.worker, -1.0)
        classes.setdefault((group, item.ramp, item.size_mb, item.adapter_slots), []).append(item.worker)
    return list(classes.values())
