"""Planner of the load orders of one service. It runs in the control plane's primary, which alone issues them.

Each step compares the workers' reports with the demand, and returns at most one order a worker:

1. Weights with a reservation are loaded once the evictions have made room for them.
2. Weights that requests wait for are loaded: adapters first, then models by urgency. A model goes to free
   memory; else the copies with the least loss are evicted and the worker is reserved for it. An adapter goes
   to a worker that holds its model.
3. Adapters in demand that no worker holds are loaded while adapter slots are free.
4. Models that need further copies get them if the copies that they evict are worth clearly less.
5. Idle copies are evicted ahead of the loads that are expected soon, so that these begin at once. Such an
   eviction would have been ordered with the load anyway.

No order exceeds a worker's memory or adapter slots; see `orders` for orders of unknown outcome. Loads from
the weight store are paced by a token bucket, which is empty at the start of every tenure.
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
from rookwood.modelplacement.fleet import BLOCKED_COST_PER_S, Fleet, PlacementOption, Wanted
from rookwood.modelplacement.orders import LoadOrder, OrderBook, ProjectedWorker
from rookwood.modelplacement.types import ModelSpec, WeightsKey, WorkerWeights

__all__ = ["Demand", "LoadOrder", "LoadPlanner"]

RATE_SHARE = 0.95  # share of the store's rate that is used
BURST = 2.0  # loads that may begin at once
CEILING_SLACK = 3.0  # loads that the store's limit allows in a window beyond its rate
RESERVATION_S = 3.0  # after this time without a load, its weights may be placed on another worker too
TYPICAL_EVICTION_S = 0.5  # an eviction lasts until the running requests of the evicted copy have ended
STALE_LOAD_FACTOR = 3.0  # a load of over this many times its `load_s`, plus 1 s, is not in progress
WAITING_REQUEST_VALUE = 2.0  # loss that a waiting request outweighs; the oldest wait in seconds adds to it
BUSY_LOSS = 1.5  # victims with a higher loss are in steady use
COPY_RATE_MIN = 0.4  # requests a second below which a model gets no copy that no request waits for
COPY_GAIN_FACTOR = 1.5  # the gain of a further copy must be this many times the loss of its victims
COPY_LOSS_MAX = 0.5  # the largest loss of the victims of a further copy
ADAPTER_GAIN_FACTOR = 4.0  # an adapter that no request waits for must be worth this many times its victim
SPARE_LOAD_S = 1.0  # for slower loads the wait for an eviction hardly matters, and spare room costs more
SPARE_AHEAD_S = 0.6  # room is made ahead for the loads expected within this time
SPARE_LOSS_MAX = 0.3  # the largest loss of a victim that makes room ahead
MISS_SMOOTHING_S = 5.0  # time constant of the rate of loads that requests waited for
MISSES_FOR_SPARE = 1.5  # with fewer such loads within that time, no room is made ahead
ADAPTERS_PER_STEP = 32  # adapters considered in one step, which bounds its cost
COPIES_PER_STEP = 4  # models considered for further copies in one step


@dataclass(frozen=True, slots=True)
class _Reservation:
    """Weights for which a worker is kept while its evictions make room."""

    key: WeightsKey
    since: float  # when the first eviction was ordered


class LoadPlanner:
    """Decides which weights each worker loads and unloads.

    `loads_per_s` is the rate of the weight store. Its limit for any `window_s` seconds is `over` times that
    rate plus `CEILING_SLACK` loads. `simultaneous` bounds the loads in progress.
    """

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
        self._order_book = OrderBook(models)
        self._demand = DemandBook(mechanisms.has(Mechanism.POPULARITY))
        self._fleet = Fleet(models, self._order_book, self._demand)
        self._reservations: dict[str, _Reservation] = {}
        self._loads_in_progress: dict[tuple[str, str], float] = {}  # (worker, model) -> order time
        self._miss_rate = MovingRate(MISS_SMOOTHING_S)
        self._steps = [self._serve_reservations, self._serve_waiting_requests]
        if mechanisms.has(Mechanism.UNPLACED_ADAPTERS):
            self._steps.append(self._load_unplaced_adapters)
        if mechanisms.has(Mechanism.MORE_COPIES):
            self._steps.append(self._add_copies)
        if mechanisms.has(Mechanism.SPARE_ROOM):
            self._steps.append(self._make_spare_room)
        self.reconfigure(models, loads_per_s, window_s, over, simultaneous)

    def reconfigure(
        self,
        models: Mapping[str, ModelSpec],
        loads_per_s: float,
        window_s: float = 5.0,
        over: float = 1.1,
        simultaneous: int | None = None,
    ) -> None:
        """Apply another configuration; pending orders are kept."""
        slowest = max((spec.load_s for spec in models.values()), default=1.0)
        self.models = models
        self.simultaneous = simultaneous or max(2, math.ceil(loads_per_s * slowest))
        self._typical_load_s = median(spec.load_s for spec in models.values()) if models else 0.0
        self._bucket.rate = _paced_rate(loads_per_s, window_s, over)
        self._order_book.models = models
        self._fleet.models = models

    def begin_tenure(self, now: float) -> None:
        """Begin to issue orders. The bucket is emptied, since another primary may just have used the rate."""
        self._bucket.clear(now)

    def pending_orders(self) -> list[LoadOrder]:
        """Orders whose effect no report has shown yet; the reports of their workers should be read soon."""
        return self._order_book.pending_orders()

    def expected_loads(self, now: float) -> dict[str, frozenset[WeightsKey]]:
        """Per worker the weights whose load was accepted and has probably ended before a report shows it."""
        return self._order_book.expected_loads(now)

    def record_sending(self, now: float, order: LoadOrder) -> None:
        """The order is being sent. `plan` has already recorded it; this only restarts its timeout."""
        self._order_book.record_sending(now, order)

    def record_outcome(self, now: float, order: LoadOrder, accepted: bool | None) -> None:
        """Record whether the worker accepted or rejected the order; None if its response was lost.

        After None the worker gets no order until it reports a newer sequence, or the same one a second later.
        """
        if not self._order_book.record_outcome(now, order, accepted):
            return
        self._fleet.undo_load(order.worker, order.key)
        if order.loads_model:
            self._loads_in_progress.pop((order.worker, order.key.model), None)
            self._bucket.return_token()

    def plan(
        self,
        now: float,
        workers: Sequence[WorkerWeights],
        demand: Mapping[WeightsKey, Demand],
        wanted: Wanted,
    ) -> list[LoadOrder]:
        """The orders to issue now, at most one for each worker.

        `wanted` maps each worker to the weights that the dispatchers' placement tables assign to it, with
        their summed shares.
        """
        self._bucket.available(now)  # starts to fill the bucket at the first step
        self._settle_orders(now, workers)
        self._demand.update(now, {key: d for key, d in demand.items() if key.model in self.models})
        self._fleet.update(now, workers, wanted)
        self._drop_stale_loads_and_reservations(now)
        projected_workers = self._fleet.workers.values()
        adapter_slots = max((projected.weights.adapter_slots for projected in projected_workers), default=0)
        self._demand.plan_copies(len(projected_workers), self._fleet.model_capacity(), adapter_slots)
        orders: list[LoadOrder] = []
        for step in self._steps:
            for order in step(now):
                self._record_order(now, order)
                orders.append(order)
        return orders

    # State from reports and from orders issued.

    def _settle_orders(self, now: float, workers: Sequence[WorkerWeights]) -> None:
        for order in self._order_book.settle_by_reports(now, workers):
            if order.is_load:
                self._fleet.record_load(now, order.worker, order.key)
            if order.loads_model:
                self._loads_in_progress.pop((order.worker, order.key.model), None)

    def _drop_stale_loads_and_reservations(self, now: float) -> None:
        """Drop loads that have taken too long, and reservations that are no longer needed."""
        projected_workers = self._fleet.workers
        self._loads_in_progress = {
            (worker, model): since
            for (worker, model), since in self._loads_in_progress.items()
            if worker in projected_workers and now - since < self._stale_load_s(model)
        }
        self._reservations = {
            worker: reservation
            for worker, reservation in self._reservations.items()
            if worker in projected_workers and self._is_reservation_needed(now, reservation)
        }

    def _stale_load_s(self, model: str) -> float:
        """Seconds from a load order after which the load no longer counts as in progress."""
        spec = self.models.get(model)
        return STALE_LOAD_FACTOR * (spec.load_s if spec else 0.0) + 1.0

    def _is_reservation_needed(self, now: float, reservation: _Reservation) -> bool:
        if reservation.key.model not in self.models:
            return False
        if reservation.key.adapter:
            return reservation.key not in self._fleet.adapter_copies
        demand = self._demand.for_model(reservation.key.model)
        if demand.rate <= 0.0 and not demand.waiting:
            return False
        is_recent = now - reservation.since < RESERVATION_S
        return is_recent or self._fleet.copies.get(reservation.key.model, 0) < demand.copies_needed

    def _record_order(self, now: float, order: LoadOrder) -> None:
        """Record an order as issued."""
        self._order_book.record_sending(now, order)
        self._fleet.apply_order(now, order)
        if order.is_load:
            self._reservations.pop(order.worker, None)
        if order.loads_model:
            self._loads_in_progress[order.worker, order.key.model] = now
            if not self._bucket.take(now):
                raise AssertionError("a load was planned beyond the rate of the weight store")

    def _has_reservation(self, now: float, key: WeightsKey) -> bool:
        """Whether a worker has a recent reservation for the weights."""
        return any(r.key == key and now - r.since < RESERVATION_S for r in self._reservations.values())

    def _may_begin_load(self, now: float) -> bool:
        """Whether a load from the store can begin now, in addition to the loads with a reservation."""
        reserved = sum(not reservation.key.adapter for reservation in self._reservations.values())
        if len(self._loads_in_progress) + reserved >= self.simultaneous:
            return False
        return self._bucket.available(now) - reserved >= 1.0

    def _may_make_room(self, now: float) -> bool:
        """Whether room can be made for one more load.

        An eviction waits for running requests, often for longer than the store's interval between two loads.
        So the tokens that accrue during a typical eviction count as available.
        """
        reserved = sum(not reservation.key.adapter for reservation in self._reservations.values())
        if len(self._loads_in_progress) + reserved >= self.simultaneous:
            return False
        looks_ahead = self._mechanisms.has(Mechanism.ROOM_DURING_EVICTIONS)
        accruing = self._bucket.rate * TYPICAL_EVICTION_S if looks_ahead else 0.0
        return self._bucket.available(now) + accruing - reserved >= 1.0

    def _can_take_order(self, projected: ProjectedWorker) -> bool:
        """Whether a worker can take an order and has no reservation."""
        return projected.next_sequence is not None and projected.weights.worker not in self._reservations

    def _available_workers(self) -> list[ProjectedWorker]:
        return [projected for projected in self._fleet.workers.values() if self._can_take_order(projected)]

    # Step 1: reservations.

    def _serve_reservations(self, now: float) -> Iterator[LoadOrder]:
        for worker, reservation in list(self._reservations.items()):
            projected = self._fleet.workers[worker]
            if projected.next_sequence is None:
                continue
            if reservation.key.adapter:
                yield from self._serve_adapter_reservation(projected, reservation)
            else:
                yield from self._serve_model_reservation(now, projected, reservation)

    def _serve_adapter_reservation(
        self, projected: ProjectedWorker, reservation: _Reservation
    ) -> Iterator[LoadOrder]:
        if projected.weights.holds(reservation.key.base) and self._fleet.adapter_fits(
            projected, reservation.key
        ):
            yield _new_order(projected, True, reservation.key)
        else:
            del self._reservations[projected.weights.worker]

    def _serve_model_reservation(
        self, now: float, projected: ProjectedWorker, reservation: _Reservation
    ) -> Iterator[LoadOrder]:
        option = self._fleet.placement_option(now, projected, reservation.key)
        if option is None:
            del self._reservations[projected.weights.worker]
        elif option.victims:
            yield _new_order(projected, False, WeightsKey(option.victims[0]))
        elif len(self._loads_in_progress) < self.simultaneous and self._bucket.available(now) >= 1.0:
            yield _new_order(projected, True, reservation.key)

    # Step 2: requests that wait.

    def _serve_waiting_requests(self, now: float) -> Iterator[LoadOrder]:
        tasks: list[tuple[bool, float, WeightsKey]] = []  # (is a model, negative urgency, key)
        for name, demand in self._demand.models_in_demand():
            if not demand.waiting:
                continue
            if not self._fleet.copies.get(name):
                tasks.append((True, -_urgency(demand), WeightsKey(name)))
                continue
            for adapter, amount in demand.adapters.items():
                if amount.waiting:
                    tasks.append((False, -amount.oldest_wait_s, WeightsKey(name, adapter)))
        # Adapters first: one loads in milliseconds, while a model blocks its worker's orders for seconds.
        for _, _, key in sorted(tasks):
            if self._has_reservation(now, key):
                continue
            if key.adapter:
                yield from self._place_adapter(now, key, math.inf)
            else:
                yield from self._place_model(now, key, self._demand.for_model(key.model))

    def _place_model(self, now: float, key: WeightsKey, demand: ModelDemand) -> Iterator[LoadOrder]:
        """Load a model that requests wait for, or make room for it."""
        if not self._may_make_room(now):
            return
        option = self._best_placement(now, key)
        if option is not None and not option.victims and not self._may_begin_load(now):
            return
        if (
            option is None
            or self._eviction_loss(option, key)
            > WAITING_REQUEST_VALUE * demand.waiting + demand.oldest_wait_s
        ):
            return
        self._miss_rate.add(now)
        yield self._begin_placement(now, option, key)

    def _eviction_loss(self, option: PlacementOption, key: WeightsKey) -> float:
        """The loss of an option's victims, with the part above `BUSY_LOSS` multiplied by the load time.

        Victims in steady use are missed until they have been loaded again.
        """
        load_s = max(1.0, self.models[key.model].load_s)
        return min(option.loss, BUSY_LOSS) + load_s * max(0.0, option.loss - BUSY_LOSS)

    def _best_placement(self, now: float, key: WeightsKey) -> PlacementOption | None:
        candidates = (
            self._fleet.placement_option(now, projected, key) for projected in self._available_workers()
        )
        options = [option for option in candidates if option is not None]
        return min(options, key=lambda best: best.rank) if options else None

    def _begin_placement(self, now: float, option: PlacementOption, key: WeightsKey) -> LoadOrder:
        """The first order of a placement: the load, or the first eviction together with a reservation."""
        if not option.victims:
            return _new_order(option.projected, True, key)
        self._reservations[option.projected.weights.worker] = _Reservation(key, now)
        return _new_order(option.projected, False, WeightsKey(option.victims[0]))

    # Step 2 for adapters, and step 3: adapters that no worker holds.

    def _place_adapter(self, now: float, key: WeightsKey, value: float) -> Iterator[LoadOrder]:
        """Load an adapter on a worker with its model; may evict an adapter whose loss is below `value`."""
        if key in self._fleet.adapter_copies:
            return
        holders = [
            v for v in self._fleet.holders(key.model) if self._can_take_order(v) and v.weights.holds(key.base)
        ]
        fitting = [projected for projected in holders if self._fleet.adapter_fits(projected, key)]
        if fitting:
            best = min(fitting, key=lambda v: (v.adapter_count, v.weights.active, v.weights.worker))
            yield _new_order(best, True, key)
            return
        losses = [loss for projected in holders for loss in self._fleet.adapter_losses(now, projected)]
        loss, worker, victim = min(losses, default=(math.inf, "", key))
        if loss < value:
            self._reservations[worker] = _Reservation(key, now)
            yield _new_order(self._fleet.workers[worker], False, victim)

    def _load_unplaced_adapters(self, now: float) -> Iterator[LoadOrder]:
        held = self._fleet.adapter_copies
        tasks = [
            (-amount.rate, WeightsKey(name, adapter))
            for name, demand in self._demand.models_in_demand()
            if self._fleet.copies.get(name)
            for adapter, amount in demand.adapters.items()
            if amount.rate > 0.0 and WeightsKey(name, adapter) not in held
        ]
        for negative_rate, key in nsmallest(ADAPTERS_PER_STEP, tasks):
            if not self._has_reservation(now, key):
                yield from self._place_adapter(now, key, -negative_rate / ADAPTER_GAIN_FACTOR)

    # Step 4: further copies.

    def _add_copies(self, now: float) -> Iterator[LoadOrder]:
        models_short_of_copies = [
            (-demand.rate / (copies + 1), name)
            for name, demand in self._demand.models_in_demand()
            if demand.rate >= COPY_RATE_MIN
            and (copies := self._fleet.copies.get(name, 0)) < demand.copies_needed
        ]
        for negative_gain, name in nsmallest(COPIES_PER_STEP, models_short_of_copies):
            key = WeightsKey(name)
            if self._has_reservation(now, key) or not self._may_begin_load(now):
                continue
            option = self._best_placement(now, key)
            if option and option.loss <= COPY_LOSS_MAX and COPY_GAIN_FACTOR * option.loss <= -negative_gain:
                yield self._begin_placement(now, option, key)

    # Step 5: room made ahead.

    def _make_spare_room(self, now: float) -> Iterator[LoadOrder]:
        size_mb = self._fleet.largest_model_mb()
        missing = self._spare_room_goal(now) - self._workers_with_spare_room(size_mb)
        if missing <= 0:
            return
        choices = []
        for projected in self._available_workers():
            victims, loss = self._fleet.choose_victims(now, projected, size_mb)
            if len(victims) == 1 and loss <= SPARE_LOSS_MAX:
                cost = loss + BLOCKED_COST_PER_S * self._fleet.adapter_rate(projected)
                choices.append((cost, projected.weights.worker, victims[0]))
        for _, worker, victim in nsmallest(missing, choices):
            yield _new_order(self._fleet.workers[worker], False, WeightsKey(victim))

    def _spare_room_goal(self, now: float) -> int:
        """The number of workers that should have room for a model, by the rate of such loads."""
        expected = self._miss_rate.rate(now)
        if self._typical_load_s > SPARE_LOAD_S or expected * MISS_SMOOTHING_S < MISSES_FOR_SPARE:
            return 0
        goal = 1 + math.ceil(expected * SPARE_AHEAD_S)
        return min(goal, self.simultaneous, len(self._fleet.workers))

    def _workers_with_spare_room(self, size_mb: float) -> int:
        """The number of workers without a reservation that have such room or are unloading weights."""
        unreserved = (v for name, v in self._fleet.workers.items() if name not in self._reservations)
        return sum(projected.free_mb >= size_mb or bool(projected.unloading) for projected in unreserved)


def _paced_rate(loads_per_s: float, window_s: float, over: float) -> float:
    """Loads a second at which the store's limit for a window is surely kept."""
    ceiling = loads_per_s * window_s * over + CEILING_SLACK
    return min(RATE_SHARE * loads_per_s, (ceiling - BURST - 1.0) / window_s)


def _urgency(demand: ModelDemand) -> float:
    """The rank of a model that requests wait for, by their number, their rate and the longest wait."""
    return demand.waiting + demand.rate + demand.oldest_wait_s


def _new_order(projected: ProjectedWorker, place: bool, key: WeightsKey) -> LoadOrder:
    if projected.next_sequence is None:
        raise AssertionError("an order to a worker that cannot take one")
    return LoadOrder(projected.weights.worker, place, key, projected.next_sequence)
