"""The workers of a service with their weights, and the options for placing a model on one of them."""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass

from rookwood.modelplacement.demand import DemandBook, adapter_loss, copy_loss
from rookwood.modelplacement.orders import MISSING_WORKER_S, LoadOrder, OrderBook, ProjectedWorker
from rookwood.modelplacement.types import ModelSpec, WeightsKey, WorkerWeights

MIN_RESIDENT_S = 1.5  # a model is not evicted earlier than this after its load
MIN_ADAPTER_RESIDENT_S = 0.5  # an adapter is not evicted earlier than this after its load
# Per second of a load from the store. A worker that held the model before reads it from its own disk, which
# is faster and not priced.
COLD_COST_PER_S = 0.3
BLOCKED_COST_PER_S = 0.05  # per second of loading and adapter request a second: no adapter can be loaded then
EVICTION_COST = 0.1  # for the additional order and the wait for its end
ACTIVE_COST = 0.1  # a worker whose slots are all in use loads more slowly
WANTED_GAIN = 0.05  # the preference for a worker to which the dispatchers' tables assign the weights

Wanted = Mapping[str, Mapping[WeightsKey, float]]  # worker -> keys that the tables assign to it -> shares


@dataclass(frozen=True, slots=True)
class PlacementOption:
    """A worker that can load a model after evicting `victims`."""

    projected: ProjectedWorker
    victims: tuple[str, ...]
    loss: float  # of the victims
    cost: float  # the loss and the other costs of this worker

    @property
    def rank(self) -> tuple[float, str]:
        """The sort key: the cost, then the worker's name."""
        return self.cost, self.projected.weights.worker


@dataclass(slots=True)
class _IndexedWeights:
    """The weights of a worker that are counted in the indexes."""

    models: set[str]
    adapters: set[WeightsKey]


class Fleet:
    """The workers that can be given load orders, by their newest reports and all pending orders."""

    def __init__(self, models: Mapping[str, ModelSpec], order_book: OrderBook, demand: DemandBook) -> None:
        self.models = models
        self.workers: dict[str, ProjectedWorker] = {}
        self.copies: dict[str, int] = {}  # model -> workers that hold or load it and do not unload it
        self.adapter_copies: dict[WeightsKey, int] = {}  # adapter -> workers, counted alike
        self._indexed: dict[str, _IndexedWeights] = {}
        self._order_book = order_book
        self._demand = demand
        self._holders: dict[str, set[str]] = {}  # model -> the workers that `copies` counts
        self._loaded_at: dict[tuple[str, WeightsKey], float] = {}  # (worker, weights) -> time
        self._held_before: dict[str, set[str]] = {}  # worker -> the models that it has held so far
        self._seen_at: dict[str, float] = {}  # worker -> time of the last update that included it
        self._wanted: Wanted = {}

    def update(self, now: float, workers: Sequence[WorkerWeights], wanted: Wanted) -> None:
        """Apply the newest reports. Draining workers are left out."""
        self._wanted = wanted
        known = self.workers
        present = [weights for weights in workers if not weights.draining]
        self.workers = {w.worker: self._order_book.project(now, w, known.get(w.worker)) for w in present}
        for worker in known.keys() - self.workers.keys():
            self._unindex(worker)
        for worker, projected in self.workers.items():
            if projected is not known.get(worker):
                self._unindex(worker)
                self._index(projected)
        self._forget(now)

    def record_load(self, now: float, worker: str, key: WeightsKey) -> None:
        """A load was ordered or has ended: the weights are not evicted for a while."""
        self._loaded_at[worker, key] = now

    def undo_load(self, worker: str, key: WeightsKey) -> None:
        """Undo `record_load` after an order that the worker certainly did not accept."""
        self._loaded_at.pop((worker, key), None)

    def apply_order(self, now: float, order: LoadOrder) -> None:
        """Apply an order that is about to be sent."""
        projected = self.workers[order.worker]
        projected.next_sequence = None
        projected.has_new_orders = True
        if order.is_load:
            self.record_load(now, order.worker, order.key)
            adapters = projected.models.setdefault(order.key.model, set())
            if order.key.adapter:
                adapters.add(order.key.adapter)
        else:
            projected.unloading.add(order.key)
        self._unindex(order.worker)
        self._index(projected)

    def holders(self, model: str) -> Sequence[ProjectedWorker]:
        """The workers that hold or load a model and do not unload it."""
        return [self.workers[worker] for worker in self._holders.get(model, ())]

    def model_capacity(self) -> int:
        """The number of models of the largest size that fit on all workers together."""
        largest = self.largest_model_mb()
        return (
            sum(int(projected.weights.size_mb / largest) for projected in self.workers.values())
            if largest
            else 0
        )

    def largest_model_mb(self) -> float:
        """The size of the largest model in megabytes."""
        return max((spec.size_mb for spec in self.models.values()), default=0.0)

    def adapter_fits(self, projected: ProjectedWorker, key: WeightsKey) -> bool:
        """Whether a worker that holds the model has room for an adapter of it."""
        return projected.free_adapter_slots >= 1 and self.models[key.model].adapter_mb <= projected.free_mb

    def adapter_losses(
        self, now: float, projected: ProjectedWorker
    ) -> Iterator[tuple[float, str, WeightsKey]]:
        """Yield (loss, worker, adapter) for each adapter of a worker that may be evicted.

        Adapters that requests wait for and those loaded just now are left out.
        """
        worker = projected.weights.worker
        for model, adapters in projected.weights.models.items():
            for key in (WeightsKey(model, adapter) for adapter in adapters):
                loss = adapter_loss(now, self._demand, key)
                if (
                    now - self._loaded_at.get((worker, key), -math.inf) >= MIN_ADAPTER_RESIDENT_S
                    and loss < math.inf
                ):
                    yield loss, worker, key

    def placement_option(
        self, now: float, projected: ProjectedWorker, key: WeightsKey
    ) -> PlacementOption | None:
        """The option of placing a model on a worker; None if it cannot be placed there."""
        spec = self.models[key.model]
        if spec.size_mb > projected.weights.size_mb or key.model in projected.models:
            return None
        victims, loss = self.choose_victims(now, projected, spec.size_mb)
        if math.isinf(loss):
            return None
        cost = loss + EVICTION_COST * len(victims) + self._placement_cost(projected, key, spec)
        return PlacementOption(projected, victims, loss, cost)

    def choose_victims(
        self, now: float, projected: ProjectedWorker, size_mb: float
    ) -> tuple[tuple[str, ...], float]:
        """The models to evict so that `size_mb` are free, and their loss; infinite if it is not possible."""
        if size_mb <= projected.free_mb:
            return (), 0.0
        losses = sorted((self._copy_loss(now, projected, model), model) for model in projected.models)
        sizes = {model: self._size_of(model, len(adapters)) for model, adapters in projected.models.items()}
        remaining_mb = projected.weights.size_mb - size_mb
        victims, total_loss = _cheapest_victims(losses, sizes, remaining_mb)
        for loss, model in losses:  # a single larger model may cost less than several small ones
            if loss > total_loss + EVICTION_COST * (len(victims) - 1):
                break
            if sum(size for name, size in sizes.items() if name != model) <= remaining_mb:
                return (model,), loss
        return victims, total_loss

    def adapter_rate(self, projected: ProjectedWorker) -> float:
        """The worker's part of the requests a second for adapters of its models."""
        rate = 0.0
        for model in projected.models:
            rate += self._demand.for_model(model).adapter_rate / max(self.copies.get(model, 1), 1)
        return rate

    def _placement_cost(self, projected: ProjectedWorker, key: WeightsKey, spec: ModelSpec) -> float:
        weights = projected.weights
        cost = ACTIVE_COST * weights.active / max(weights.slots, 1)
        if key.model not in self._held_before.get(weights.worker, ()):
            cost += COLD_COST_PER_S * spec.load_s
        cost += BLOCKED_COST_PER_S * spec.load_s * self.adapter_rate(projected)
        return cost - self._wanted_gain(weights.worker, key)

    def _copy_loss(self, now: float, projected: ProjectedWorker, model: str) -> float:
        key = WeightsKey(model)
        worker = projected.weights.worker
        if now - self._loaded_at.get((worker, key), -math.inf) < MIN_RESIDENT_S:
            return math.inf
        loss = copy_loss(
            now, self._demand.for_model(model), self.copies.get(model, 1), projected.models[model]
        )
        return loss + self._wanted_gain(worker, key)

    def _wanted_gain(self, worker: str, key: WeightsKey) -> float:
        return WANTED_GAIN * min(1.0, self._wanted.get(worker, {}).get(key, 0.0))

    def _size_of(self, model: str, adapters: int) -> float:
        spec = self.models.get(model)
        return spec.size_mb + adapters * spec.adapter_mb if spec else math.inf

    def _index(self, projected: ProjectedWorker) -> None:
        worker = projected.weights.worker
        self._held_before.setdefault(worker, set()).update(projected.weights.models)
        indexed = _IndexedWeights(set(), set())
        for model, adapters in projected.models.items():
            if WeightsKey(model) not in projected.unloading:
                indexed.models.add(model)
                indexed.adapters.update(WeightsKey(model, adapter) for adapter in adapters)
        indexed.adapters -= projected.unloading
        for model in indexed.models:
            self.copies[model] = self.copies.get(model, 0) + 1
            self._holders.setdefault(model, set()).add(worker)
        for key in indexed.adapters:
            self.adapter_copies[key] = self.adapter_copies.get(key, 0) + 1
        self._indexed[worker] = indexed

    def _unindex(self, worker: str) -> None:
        indexed = self._indexed.pop(worker, None)
        if indexed is None:
            return
        for model in indexed.models:
            self.copies[model] -= 1
            self._holders[model].discard(worker)
        for key in indexed.adapters:
            self.adapter_copies[key] -= 1
            if not self.adapter_copies[key]:
                del self.adapter_copies[key]

    def _forget(self, now: float) -> None:
        self._seen_at.update(dict.fromkeys(self.workers, now))
        for worker in [worker for worker, at in self._seen_at.items() if now - at > MISSING_WORKER_S]:
            del self._seen_at[worker]
            del self._held_before[worker]
        longest = max(MIN_RESIDENT_S, MIN_ADAPTER_RESIDENT_S)
        self._loaded_at = {
            worker_key: at
            for worker_key, at in self._loaded_at.items()
            if worker_key[0] in self.workers and now - at < longest
        }


def _cheapest_victims(
    losses: Sequence[tuple[float, str]], sizes: Mapping[str, float], remaining_mb: float
) -> tuple[tuple[str, ...], float]:
    """The models with the smallest losses until the others fit into `remaining_mb`, and the sum of losses."""
    remaining = dict(sizes)
    victims: list[str] = []
    total_loss = 0.0
    for loss, model in losses:
        total_loss += loss
        victims.append(model)
        del remaining[model]
        if sum(remaining.values()) <= remaining_mb:
            break
    return tuple(victims), total_loss
