"""Planner of the load orders of one service, run by the one control-plane primary that may give them.

Each step compares what workers report with what is asked for, and returns at most one order a worker:

1. A place that was intended by an earlier eviction goes to the room made for it.
2. Requests that wait for weights: adapters first, then models by urgency. A model takes free room,
   else the copies whose loss is least are evicted and the room is kept for it. An adapter goes to a holder of
   its model.
3. Adapters that are asked for and are held nowhere, while slots are free.
4. Further copies of models that need them, when the copies they displace are worth clearly less.
5. Room made ahead, by evicting idle copies, for the loads that are expected soon: a waiting model is then
   placed at once. Such an eviction would have come with the load anyway.

Nothing is ordered beyond a worker's memory or adapter slots: see `orders` for orders of unknown outcome.
Loads from the weight store are paced by a token bucket that starts empty in every new primary.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from heapq import nsmallest
from statistics import median

from rookwood.mechanisms import ALL_MECHANISMS, Mechanism, Mechanisms
from rookwood.modelplacement.bucket import TokenBucket
from rookwood.modelplacement.demand import Demand, DemandBook, ModelDemand, MovingRate
from rookwood.modelplacement.fleet import BLOCKED_COST_PER_S, Fleet, Site, Wanted
from rookwood.modelplacement.orders import Holdings, LoadOrder, OrderBook
from rookwood.modelplacement.types import ModelSpec, WeightsKey, WorkerWeights

__all__ = ["Demand", "LoadOrder", "LoadPlanner"]

RATE_SHARE = 0.95  # part of the store's rate that is used
BURST = 2.0  # loads that may begin at once
CEILING_SLACK = 3.0  # loads that the rule allows beyond the rate
INTENT_S = 3.0  # an eviction that takes longer no longer keeps its key from being placed elsewhere
EVICTION_S = 0.5  # a usual eviction: as long as the requests that run on the evicted copy go on
LOST_LOAD_FACTOR = 3.0  # a load that takes so many times its `load_s` no longer counts as under way
WAITING_WORTH = 2.0  # loss that a waiting request outweighs; it grows by its wait in seconds
BUSY_LOSS = 1.5  # loss from which victims are in steady use
COPY_RATE_MIN = 0.4  # requests a second below which a model gets no copy that nobody waits for
COPY_GAIN_FACTOR = 1.5  # a further copy must gain so many times what it displaces
COPY_LOSS_MAX = 0.5  # and displaces nothing worth more than this
ADAPTER_GAIN_FACTOR = 4.0  # an adapter that nobody waits for displaces one worth so many times less
SPARE_LOAD_S = 1.0  # with slower loads the wait for an eviction hardly counts, and spare room costs more
SPARE_AHEAD_S = 0.6  # loads expected within this time find room that was made ahead
SPARE_LOSS_MAX = 0.3  # only copies worth less than this are evicted for it
MISS_SMOOTHING_S = 5.0
MISSES_FOR_SPARE = 1.5  # loads for waiting requests within that time, below which no room is made ahead
ADAPTERS_PER_STEP = 32  # adapters looked at in one step, so that a step stays cheap
COPIES_PER_STEP = 4  # models looked at for further copies in one step


@dataclass(frozen=True, slots=True)
class _Intent:
    """A key for which room is being made on a worker."""

    key: WeightsKey
    since: float


class LoadPlanner:
    """Decides which worker loads and unloads what."""

    def __init__(
        self,
        models: Mapping[str, ModelSpec],
        loads_per_s: float,
        window_s: float = 5.0,
        over: float = 1.1,
        simultaneous: int | None = None,
        mechanisms: Mechanisms = ALL_MECHANISMS,
    ) -> None:
        self._mechanisms = mechanisms
        self._bucket = TokenBucket(0.0, BURST)
        self._book = OrderBook(models)
        self._demand = DemandBook(mechanisms.has(Mechanism.POPULARITY))
        self._fleet = Fleet(models, self._book, self._demand)
        self._intents: dict[str, _Intent] = {}
        self._loading: dict[tuple[str, str], float] = {}  # worker, model -> when its load was ordered
        self._missed = MovingRate(MISS_SMOOTHING_S)
        self._steps = [self._intended, self._waiting]
        if mechanisms.has(Mechanism.UNPLACED_ADAPTERS):
            self._steps.append(self._unplaced_adapters)
        if mechanisms.has(Mechanism.MORE_COPIES):
            self._steps.append(self._more_copies)
        if mechanisms.has(Mechanism.SPARE_ROOM):
            self._steps.append(self._spare_room)
        self.reconfigure(models, loads_per_s, window_s, over, simultaneous)

    def reconfigure(
        self,
        models: Mapping[str, ModelSpec],
        loads_per_s: float,
        window_s: float = 5.0,
        over: float = 1.1,
        simultaneous: int | None = None,
    ) -> None:
        """Take another configuration; pending orders stay known."""
        slowest = max((spec.load_s for spec in models.values()), default=1.0)
        self.models = models
        self.simultaneous = simultaneous or max(2, math.ceil(loads_per_s * slowest))
        self._typical_load_s = median(spec.load_s for spec in models.values()) if models else 0.0
        self._bucket.rate = _store_rate(loads_per_s, window_s, over)
        self._book.models = models
        self._fleet.models = models

    def begin_tenure(self, now: float) -> None:
        """This primary gives orders from now on: others may have spent the store's rate until now."""
        self._bucket.empty(now)

    def pending(self) -> list[LoadOrder]:
        """Orders whose effect no report has shown yet; their workers are worth asking soon."""
        return self._book.pending()

    def expected(self, now: float) -> dict[str, frozenset[WeightsKey]]:
        """Per worker the keys whose place was taken and is over by now, though no report shows it yet."""
        return self._book.expected(now)

    def record_sending(self, now: float, order: LoadOrder) -> None:
        """The order is being sent. `plan` has already counted it; this only restarts its time-out."""
        self._book.begin(now, order)

    def record_outcome(self, now: float, order: LoadOrder, taken: bool | None) -> None:
        """The worker's answer: taken, refused, or None when it is unknown.

        After None the worker gets no order until a report with a newer sequence, or one of an equal sequence
        a second later.
        """
        if not self._book.outcome(now, order, taken):
            return
        self._fleet.note_refused(order.worker, order.key)
        if order.loads_model:
            self._loading.pop((order.worker, order.key.model), None)
            self._bucket.give_back()

    def plan(
        self,
        now: float,
        workers: Sequence[WorkerWeights],
        demand: Mapping[WeightsKey, Demand],
        wanted: Wanted,
    ) -> list[LoadOrder]:
        """The orders to give now, at most one to a worker.

        `wanted` gives, per worker, the keys that dispatchers' tables want there, with summed shares.
        """
        self._bucket.available(now)  # it fills from the first step on
        self._settle(now, workers)
        self._demand.update(now, {key: d for key, d in demand.items() if key.model in self.models})
        self._fleet.update(now, workers, wanted)
        self._drop_lost(now)
        views = self._fleet.views.values()
        adapter_slots = max((view.weights.adapter_slots for view in views), default=0)
        self._demand.plan_copies(len(views), self._fleet.places(), adapter_slots)
        orders: list[LoadOrder] = []
        for step in self._steps:
            for order in step(now):
                self._commit(now, order)
                orders.append(order)
        return orders

    # What is known.

    def _settle(self, now: float, workers: Sequence[WorkerWeights]) -> None:
        for order in self._book.observe(now, workers):
            if order.is_load:
                self._fleet.note_placed(now, order.worker, order.key)
            if order.loads_model:
                self._loading.pop((order.worker, order.key.model), None)

    def _drop_lost(self, now: float) -> None:
        """Forget loads that went on for too long and intents that cannot be met."""
        views = self._fleet.views
        self._loading = {
            (worker, model): since
            for (worker, model), since in self._loading.items()
            if worker in views and now - since < self._longest_load_s(model)
        }
        self._intents = {
            worker: intent
            for worker, intent in self._intents.items()
            if worker in views and self._is_needed(now, intent)
        }

    def _longest_load_s(self, model: str) -> float:
        spec = self.models.get(model)
        return LOST_LOAD_FACTOR * (spec.load_s if spec else 0.0) + 1.0

    def _is_needed(self, now: float, intent: _Intent) -> bool:
        if intent.key.model not in self.models:
            return False
        if intent.key.adapter:
            return intent.key not in self._fleet.held_adapters
        demand = self._demand.of(intent.key.model)
        if demand.rate <= 0.0 and not demand.waiting:
            return False
        in_time = now - intent.since < INTENT_S
        return in_time or self._fleet.copies.get(intent.key.model, 0) < demand.copies_needed

    def _commit(self, now: float, order: LoadOrder) -> None:
        """Count an order as given."""
        self._book.begin(now, order)
        self._fleet.apply(now, order)
        if order.is_load:
            self._intents.pop(order.worker, None)
        if order.loads_model:
            self._loading[order.worker, order.key.model] = now
            if not self._bucket.take(now):
                raise AssertionError("a load was planned beyond the rate of the weight store")

    def _is_coming(self, now: float, key: WeightsKey) -> bool:
        """Whether room is being made for the key somewhere, and not for too long."""
        return any(i.key == key and now - i.since < INTENT_S for i in self._intents.values())

    def _may_load(self, now: float) -> bool:
        """Whether a load from the store can begin, besides those that room is being made for."""
        intended = sum(not intent.key.adapter for intent in self._intents.values())
        if len(self._loading) + intended >= self.simultaneous:
            return False
        return self._bucket.available(now) - intended >= 1.0

    def _may_make_room(self, now: float) -> bool:
        """Whether room can be made for one more load: the store allows further ones while evictions last.

        An eviction waits for the requests that run, often for longer than the store needs between two loads.
        """
        intended = sum(not intent.key.adapter for intent in self._intents.values())
        if len(self._loading) + intended >= self.simultaneous:
            return False
        looks_ahead = self._mechanisms.has(Mechanism.ROOM_DURING_EVICTIONS)
        coming = self._bucket.rate * EVICTION_S if looks_ahead else 0.0
        return self._bucket.available(now) + coming - intended >= 1.0

    def _is_ready(self, view: Holdings) -> bool:
        """Whether a worker can take an order and is not kept for an intended place."""
        return view.next_sequence is not None and view.weights.worker not in self._intents

    def _ready(self) -> list[Holdings]:
        return [view for view in self._fleet.views.values() if self._is_ready(view)]

    # Step 1.

    def _intended(self, now: float) -> Iterator[LoadOrder]:
        for worker, intent in list(self._intents.items()):
            view = self._fleet.views[worker]
            if view.next_sequence is None:
                continue
            if intent.key.adapter:
                yield from self._place_intended_adapter(view, intent)
            else:
                yield from self._place_intended_model(now, view, intent)

    def _place_intended_adapter(self, view: Holdings, intent: _Intent) -> Iterator[LoadOrder]:
        if view.weights.holds(intent.key.base) and self._fleet.adapter_fits(view, intent.key):
            yield _order(view, True, intent.key)
        else:
            del self._intents[view.weights.worker]

    def _place_intended_model(self, now: float, view: Holdings, intent: _Intent) -> Iterator[LoadOrder]:
        site = self._fleet.site(now, view, intent.key)
        if site is None:
            del self._intents[view.weights.worker]
        elif site.victims:
            yield _order(view, False, WeightsKey(site.victims[0]))
        elif len(self._loading) < self.simultaneous and self._bucket.available(now) >= 1.0:
            yield _order(view, True, intent.key)

    # Step 2.

    def _waiting(self, now: float) -> Iterator[LoadOrder]:
        tasks: list[tuple[bool, float, WeightsKey]] = []
        for name, demand in self._demand.asked():
            if not demand.waiting:
                continue
            if not self._fleet.copies.get(name):
                tasks.append((True, -_urgency(demand), WeightsKey(name)))
                continue
            for adapter, amount in demand.adapters.items():
                if amount.waiting:
                    tasks.append((False, -amount.oldest_wait_s, WeightsKey(name, adapter)))
        # An adapter takes milliseconds, while a model keeps its worker from any other order for seconds.
        for _, _, key in sorted(tasks):
            if self._is_coming(now, key):
                continue
            if key.adapter:
                yield from self._serve_adapter(now, key, math.inf)
            else:
                yield from self._serve_model(now, key, self._demand.of(key.model))

    def _serve_model(self, now: float, key: WeightsKey, demand: ModelDemand) -> Iterator[LoadOrder]:
        """Place a model that requests wait for."""
        if not self._may_make_room(now):
            return
        site = self._best_site(now, key)
        if site is not None and not site.victims and not self._may_load(now):
            return
        if site is None or self._displaced(site, key) > WAITING_WORTH * demand.waiting + demand.oldest_wait_s:
            return
        self._missed.add(now)
        yield self._open(now, site, key)

    def _displaced(self, site: Site, key: WeightsKey) -> float:
        """The loss of a site's victims; a busy one is missed for as long as it takes to load it again."""
        load_s = max(1.0, self.models[key.model].load_s)
        return min(site.loss, BUSY_LOSS) + load_s * max(0.0, site.loss - BUSY_LOSS)

    def _best_site(self, now: float, key: WeightsKey) -> Site | None:
        candidates = (self._fleet.site(now, view, key) for view in self._ready())
        sites = [site for site in candidates if site is not None]
        return min(sites, key=lambda best: best.rank) if sites else None

    def _open(self, now: float, site: Site, key: WeightsKey) -> LoadOrder:
        """The first order towards placing a model at a site."""
        if not site.victims:
            return _order(site.holdings, True, key)
        self._intents[site.holdings.weights.worker] = _Intent(key, now)
        return _order(site.holdings, False, WeightsKey(site.victims[0]))

    # Step 2 for adapters, and step 3.

    def _serve_adapter(self, now: float, key: WeightsKey, worth: float) -> Iterator[LoadOrder]:
        """Place an adapter on a holder of its model, evicting one worth less than `worth` when need be."""
        if key in self._fleet.held_adapters:
            return
        holders = [
            v for v in self._fleet.holders(key.model) if self._is_ready(v) and v.weights.holds(key.base)
        ]
        fitting = [view for view in holders if self._fleet.adapter_fits(view, key)]
        if fitting:
            best = min(fitting, key=lambda v: (v.adapter_count, v.weights.active, v.weights.worker))
            yield _order(best, True, key)
            return
        losses = [loss for view in holders for loss in self._fleet.adapter_losses(now, view)]
        loss, worker, victim = min(losses, default=(math.inf, "", key))
        if loss < worth:
            self._intents[worker] = _Intent(key, now)
            yield _order(self._fleet.views[worker], False, victim)

    def _unplaced_adapters(self, now: float) -> Iterator[LoadOrder]:
        held = self._fleet.held_adapters
        tasks = [
            (-amount.rate, WeightsKey(name, adapter))
            for name, demand in self._demand.asked()
            if self._fleet.copies.get(name)
            for adapter, amount in demand.adapters.items()
            if amount.rate > 0.0 and WeightsKey(name, adapter) not in held
        ]
        for negative_rate, key in nsmallest(ADAPTERS_PER_STEP, tasks):
            if not self._is_coming(now, key):
                yield from self._serve_adapter(now, key, -negative_rate / ADAPTER_GAIN_FACTOR)

    # Step 4.

    def _more_copies(self, now: float) -> Iterator[LoadOrder]:
        short = [
            (-demand.rate / (copies + 1), name)
            for name, demand in self._demand.asked()
            if demand.rate >= COPY_RATE_MIN
            and (copies := self._fleet.copies.get(name, 0)) < demand.copies_needed
        ]
        for negative_gain, name in nsmallest(COPIES_PER_STEP, short):
            key = WeightsKey(name)
            if self._is_coming(now, key) or not self._may_load(now):
                continue
            site = self._best_site(now, key)
            if site and site.loss <= COPY_LOSS_MAX and COPY_GAIN_FACTOR * site.loss <= -negative_gain:
                yield self._open(now, site, key)

    # Step 5.

    def _spare_room(self, now: float) -> Iterator[LoadOrder]:
        size_mb = self._fleet.largest_mb()
        lacking = self._spare_goal(now) - self._spare_workers(size_mb)
        if lacking <= 0:
            return
        choices = []
        for view in self._ready():
            victims, loss = self._fleet.victims(now, view, size_mb)
            if len(victims) == 1 and loss <= SPARE_LOSS_MAX:
                cost = loss + BLOCKED_COST_PER_S * self._fleet.adapter_rate(view)
                choices.append((cost, view.weights.worker, victims[0]))
        for _, worker, victim in nsmallest(lacking, choices):
            yield _order(self._fleet.views[worker], False, WeightsKey(victim))

    def _spare_goal(self, now: float) -> int:
        """How many workers should have room for a model, by how often one is waited for."""
        expected = self._missed.rate(now)
        if self._typical_load_s > SPARE_LOAD_S or expected * MISS_SMOOTHING_S < MISSES_FOR_SPARE:
            return 0
        goal = 1 + math.ceil(expected * SPARE_AHEAD_S)
        return min(goal, self.simultaneous, len(self._fleet.views))

    def _spare_workers(self, size_mb: float) -> int:
        """How many workers have such room, or are evicting something, and are not kept for a key."""
        free = (v for name, v in self._fleet.views.items() if name not in self._intents)
        return sum(view.free_mb >= size_mb or bool(view.leaving) for view in free)


def _store_rate(loads_per_s: float, window_s: float, over: float) -> float:
    """Loads a second, clearly below what the rule allows in a window."""
    ceiling = loads_per_s * window_s * over + CEILING_SLACK
    return min(RATE_SHARE * loads_per_s, (ceiling - BURST - 1.0) / window_s)


def _urgency(demand: ModelDemand) -> float:
    """Rank of a model that requests wait for: by those that wait and come, and by the longest wait."""
    return demand.waiting + demand.rate + demand.oldest_wait_s


def _order(view: Holdings, place: bool, key: WeightsKey) -> LoadOrder:
    if view.next_sequence is None:
        raise AssertionError("an order to a worker that cannot take one")
    return LoadOrder(view.weights.worker, place, key, view.next_sequence)
