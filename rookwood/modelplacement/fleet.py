"""What the workers of a service hold now, and what it takes to place a model on one of them."""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass

from rookwood.modelplacement.demand import DemandBook, adapter_loss, copy_loss
from rookwood.modelplacement.orders import MISSING_S, Holdings, LoadOrder, OrderBook
from rookwood.modelplacement.types import ModelSpec, WeightsKey, WorkerWeights

HOLD_S = 1.5  # a model stays for at least so long after it was placed
ADAPTER_HOLD_S = 0.5
COLD_COST_PER_S = 0.3  # a worker that has held the model reads it from its own disk: faster and not priced
BLOCKED_COST_PER_S = 0.05  # a loading worker takes no adapter that is asked for, per request a second
EVICTION_COST = 0.1  # an order more, and the wait for it
ACTIVE_COST = 0.1  # loads are slower at a worker where many requests run
WANTED_GAIN = 0.05  # a worker on which the dispatchers' tables want the key is preferred

Wanted = Mapping[str, Mapping[WeightsKey, float]]  # worker -> keys wanted there, with summed shares


@dataclass(frozen=True, slots=True)
class Site:
    """A worker that could take a model, after the evictions named."""

    holdings: Holdings
    victims: tuple[str, ...]
    loss: float  # of the victims
    cost: float  # the loss, and what speaks against the worker besides

    @property
    def rank(self) -> tuple[float, str]:
        """Sites are compared by cost; the name of the worker breaks ties."""
        return self.cost, self.holdings.weights.worker


@dataclass(slots=True)
class _Indexed:
    """What of a worker is counted in the indexes."""

    models: set[str]
    adapters: set[WeightsKey]


class Fleet:
    """The workers that can be given weights, as of the newest reports and all pending orders."""

    def __init__(self, models: Mapping[str, ModelSpec], book: OrderBook, demand: DemandBook) -> None:
        self.models = models
        self.views: dict[str, Holdings] = {}
        self.copies: dict[str, int] = {}  # model -> workers that keep it, those that load it included
        self.held_adapters: dict[WeightsKey, int] = {}  # adapter -> workers that keep it
        self._indexed: dict[str, _Indexed] = {}
        self._book = book
        self._demand = demand
        self._holders: dict[str, set[str]] = {}
        self._placed_at: dict[tuple[str, WeightsKey], float] = {}
        self._held_before: dict[str, set[str]] = {}
        self._seen_at: dict[str, float] = {}
        self._wanted: Wanted = {}

    def update(self, now: float, workers: Sequence[WorkerWeights], wanted: Wanted) -> None:
        """Take the newest reports. Draining workers are left out."""
        self._wanted = wanted
        known = self.views
        present = [weights for weights in workers if not weights.draining]
        self.views = {w.worker: self._book.holdings(now, w, known.get(w.worker)) for w in present}
        for worker in known.keys() - self.views.keys():
            self._unindex(worker)
        for worker, view in self.views.items():
            if view is not known.get(worker):
                self._unindex(worker)
                self._index(view)
        self._forget(now)

    def note_placed(self, now: float, worker: str, key: WeightsKey) -> None:
        """A place was ordered or is complete: the key is not evicted for a while."""
        self._placed_at[worker, key] = now

    def note_refused(self, worker: str, key: WeightsKey) -> None:
        """A place was surely not taken."""
        self._placed_at.pop((worker, key), None)

    def apply(self, now: float, order: LoadOrder) -> None:
        """Bring what is known in line with an order that is about to be sent."""
        view = self.views[order.worker]
        view.next_sequence = None
        view.changed = True
        if order.is_load:
            self.note_placed(now, order.worker, order.key)
            adapters = view.models.setdefault(order.key.model, set())
            if order.key.adapter:
                adapters.add(order.key.adapter)
        else:
            view.leaving.add(order.key)
        self._unindex(order.worker)
        self._index(view)

    def holders(self, model: str) -> Sequence[Holdings]:
        """Workers that keep a model, those that load it included."""
        return [self.views[worker] for worker in self._holders.get(model, ())]

    def places(self) -> int:
        """How many models the workers hold together, about."""
        largest = self.largest_mb()
        return sum(int(view.weights.size_mb / largest) for view in self.views.values()) if largest else 0

    def largest_mb(self) -> float:
        """Size of the largest model."""
        return max((spec.size_mb for spec in self.models.values()), default=0.0)

    def adapter_fits(self, view: Holdings, key: WeightsKey) -> bool:
        """Whether a worker that holds the model has room for an adapter of it."""
        return view.free_adapter_slots >= 1 and self.models[key.model].adapter_mb <= view.free_mb

    def adapter_losses(self, now: float, view: Holdings) -> Iterator[tuple[float, str, WeightsKey]]:
        """What evicting each adapter of a worker loses; those in demand just now are left out."""
        worker = view.weights.worker
        for model, adapters in view.weights.models.items():
            for key in (WeightsKey(model, adapter) for adapter in adapters):
                loss = adapter_loss(now, self._demand, key)
                if now - self._placed_at.get((worker, key), -math.inf) >= ADAPTER_HOLD_S and loss < math.inf:
                    yield loss, worker, key

    def site(self, now: float, view: Holdings, key: WeightsKey) -> Site | None:
        """What it takes to place a model on a worker; None when it cannot be done."""
        spec = self.models[key.model]
        if spec.size_mb > view.weights.size_mb or key.model in view.models:
            return None
        victims, loss = self.victims(now, view, spec.size_mb)
        if math.isinf(loss):
            return None
        cost = loss + EVICTION_COST * len(victims) + self._placing_cost(view, key, spec)
        return Site(view, victims, loss, cost)

    def victims(self, now: float, view: Holdings, size_mb: float) -> tuple[tuple[str, ...], float]:
        """The models to evict until there is room, and their loss; infinite when it cannot be done."""
        if size_mb <= view.free_mb:
            return (), 0.0
        losses = sorted((self._copy_loss(now, view, model), model) for model in view.models)
        kept = {model: self._size_of(model, len(adapters)) for model, adapters in view.models.items()}
        room_mb = view.weights.size_mb - size_mb
        several, total = _fewest_losses(losses, kept, room_mb)
        for loss, model in losses:  # one larger model may do as well as several small ones
            if loss > total + EVICTION_COST * (len(several) - 1):
                break
            if sum(size for name, size in kept.items() if name != model) <= room_mb:
                return (model,), loss
        return several, total

    def adapter_rate(self, view: Holdings) -> float:
        """Requests a second for adapters that a worker serves its part of."""
        rate = 0.0
        for model in view.models:
            rate += self._demand.of(model).adapter_rate / max(self.copies.get(model, 1), 1)
        return rate

    def _placing_cost(self, view: Holdings, key: WeightsKey, spec: ModelSpec) -> float:
        weights = view.weights
        cost = ACTIVE_COST * weights.active / max(weights.slots, 1)
        if key.model not in self._held_before.get(weights.worker, ()):
            cost += COLD_COST_PER_S * spec.load_s
        cost += BLOCKED_COST_PER_S * spec.load_s * self.adapter_rate(view)
        return cost - self._wanted_gain(weights.worker, key)

    def _copy_loss(self, now: float, view: Holdings, model: str) -> float:
        key = WeightsKey(model)
        worker = view.weights.worker
        if now - self._placed_at.get((worker, key), -math.inf) < HOLD_S:
            return math.inf
        loss = copy_loss(now, self._demand.of(model), self.copies.get(model, 1), view.models[model])
        return loss + self._wanted_gain(worker, key)

    def _wanted_gain(self, worker: str, key: WeightsKey) -> float:
        return WANTED_GAIN * min(1.0, self._wanted.get(worker, {}).get(key, 0.0))

    def _size_of(self, model: str, adapters: int) -> float:
        spec = self.models.get(model)
        return spec.size_mb + adapters * spec.adapter_mb if spec else math.inf

    def _index(self, view: Holdings) -> None:
        worker = view.weights.worker
        self._held_before.setdefault(worker, set()).update(view.weights.models)
        indexed = _Indexed(set(), set())
        for model, adapters in view.models.items():
            if WeightsKey(model) not in view.leaving:
                indexed.models.add(model)
                indexed.adapters.update(WeightsKey(model, adapter) for adapter in adapters)
        indexed.adapters -= view.leaving
        for model in indexed.models:
            self.copies[model] = self.copies.get(model, 0) + 1
            self._holders.setdefault(model, set()).add(worker)
        for key in indexed.adapters:
            self.held_adapters[key] = self.held_adapters.get(key, 0) + 1
        self._indexed[worker] = indexed

    def _unindex(self, worker: str) -> None:
        indexed = self._indexed.pop(worker, None)
        if indexed is None:
            return
        for model in indexed.models:
            self.copies[model] -= 1
            self._holders[model].discard(worker)
        for key in indexed.adapters:
            self.held_adapters[key] -= 1
            if not self.held_adapters[key]:
                del self.held_adapters[key]

    def _forget(self, now: float) -> None:
        self._seen_at.update(dict.fromkeys(self.views, now))
        for worker in [worker for worker, at in self._seen_at.items() if now - at > MISSING_S]:
            del self._seen_at[worker]
            del self._held_before[worker]
        longest = max(HOLD_S, ADAPTER_HOLD_S)
        self._placed_at = {
            place: at
            for place, at in self._placed_at.items()
            if place[0] in self.views and now - at < longest
        }


def _fewest_losses(
    losses: Sequence[tuple[float, str]], sizes: Mapping[str, float], room_mb: float
) -> tuple[tuple[str, ...], float]:
    """The models with the least losses until the others fit into the room, and the sum of their losses."""
    kept = dict(sizes)
    victims: list[str] = []
    total = 0.0
    for loss, model in losses:
        total += loss
        victims.append(model)
        del kept[model]
        if sum(kept.values()) <= room_mb:
            break
    return tuple(victims), total
