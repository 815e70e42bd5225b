"""The planner of load orders: limits that hold for any reports, and its orders in given situations."""

from __future__ import annotations

import unittest
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from hypothesis import given, settings
from hypothesis import strategies as st

from rookwood.modelplacement.bucket import TokenBucket
from rookwood.modelplacement.loads import Demand, LoadOrder, LoadPlanner
from rookwood.modelplacement.orders import OrderBook
from rookwood.modelplacement.types import ModelSpec, WeightsKey, WorkerWeights
from tests.test_modelplacement_simulation import Simulation, irama, kvadrat, most_in_window

LOADS_PER_S = 2.0
WINDOW_S = 5.0
OVER = 1.1
ADAPTER_SLOTS = 3
MODELS = {
    "m0": ModelSpec("m0", 100.0, 0.5, 9, 20.0),
    "m1": ModelSpec("m1", 80.0, 0.5, 9, 10.0),
    "m2": ModelSpec("m2", 120.0, 1.0, 0, 5.0),
    "m3": ModelSpec("m3", 60.0, 0.5, 9, 30.0),
    "m4": ModelSpec("m4", 100.0, 0.5, 0, 20.0),
    "m5": ModelSpec("m5", 40.0, 0.5, 0, 20.0),
}


def create_planner(loads_per_s: float = LOADS_PER_S, models: Mapping[str, ModelSpec] = MODELS) -> LoadPlanner:
    return LoadPlanner(models, loads_per_s, WINDOW_S, OVER)


def worker_report(
    worker: str,
    models: Mapping[str, frozenset[str]],
    size_mb: float = 300.0,
    busy: bool = False,
    sequence: int = 0,
    reported: float | None = None,
) -> WorkerWeights:
    return WorkerWeights(
        worker, "z", size_mb, ADAPTER_SLOTS, 64, models, busy, sequence, 0, 0, False, 0.0, reported
    )


def models_without_adapters(*models: str) -> dict[str, frozenset[str]]:
    return {model: frozenset() for model in models}


def waiting_demand(count: int = 1, oldest_wait_s: float = 0.5) -> Demand:
    return Demand(0.1, count, oldest_wait_s, 0.0)


def steady_demand(rate: float, busy_slots: float = 0.0) -> Demand:
    return Demand(rate, 0, 0.0, busy_slots)


# A worker that may do everything the protocol allows.


@dataclass(slots=True)
class UnreliableWorker:
    """A worker whose responses may get lost; it checks each order against its memory and adapter slots."""

    name: str
    size_mb: float
    models: dict[str, set[str]] = field(default_factory=dict)
    sequence: int = 0
    order: LoadOrder | None = None
    delayed_order: LoadOrder | None = None  # sent, but not arrived yet

    def report(self, now: float) -> WorkerWeights:
        models = {model: frozenset(adapters) for model, adapters in self.models.items()}
        return worker_report(self.name, models, self.size_mb, self.order is not None, self.sequence, now)

    def receive(self, order: LoadOrder) -> bool:
        if self.order is not None or order.if_sequence != self.sequence:
            return False
        if order.is_load:
            self.check_limits(order.key)
        self.sequence += 1
        self.order = order
        return True

    def check_limits(self, key: WeightsKey) -> None:
        used = sum(MODELS[m].size_mb + len(a) * MODELS[m].adapter_mb for m, a in self.models.items())
        assert used + MODELS[key.model].size_of(key) <= self.size_mb, "ordered beyond the memory"
        if key.adapter:
            assert key.model in self.models, "an adapter without its model"
            assert sum(len(a) for a in self.models.values()) < ADAPTER_SLOTS, "ordered beyond the slots"
        else:
            assert key.model not in self.models, "a model that is there already"

    def finish_order(self) -> None:
        if self.order is None:
            return
        key = self.order.key
        if not self.order.is_load:
            if key.adapter:
                self.models[key.model].discard(key.adapter)
            else:
                del self.models[key.model]
        elif key.adapter:
            self.models[key.model].add(key.adapter)
        else:
            self.models[key.model] = set()
        self.order = None


KEYS = [
    WeightsKey(m, a) for m, s in MODELS.items() for a in ("", *(f"a{i}" for i in range(1, 4) if s.adapters))
]
demands = st.builds(
    Demand, st.floats(0.0, 20.0), st.integers(0, 3), st.floats(0.0, 5.0), st.floats(0.0, 40.0)
)


class LimitTests(unittest.TestCase):
    @given(st.data())
    @settings(deadline=None, max_examples=80)
    def test_memory_slots_and_rate_hold_under_any_reports_and_outcomes(self, data: st.DataObject) -> None:
        """Orders are lost, delayed or rejected, and reports are outdated."""
        planner = create_planner()
        workers = [
            UnreliableWorker(f"w{i}", data.draw(st.sampled_from([150.0, 220.0, 300.0]))) for i in range(3)
        ]
        known = {worker.name: worker.report(0.0) for worker in workers}
        old = dict(known)
        now = 0.0
        loads: list[float] = []
        for _ in range(data.draw(st.integers(1, 30))):
            now += data.draw(st.sampled_from([0.05, 0.3, 1.1]))
            for worker in workers:
                event = data.draw(st.sampled_from(["nothing", "finish", "report", "both", "old report"]))
                self.deliver_delayed_order(worker, loads, now)
                if event in ("finish", "both"):
                    worker.finish_order()
                if event in ("report", "both"):
                    old[worker.name] = known[worker.name]
                    known[worker.name] = worker.report(now)
                elif event == "old report":
                    known[worker.name] = old[worker.name]
            demand = data.draw(st.dictionaries(st.sampled_from(KEYS), demands, max_size=6))
            orders = planner.plan(now, list(known.values()), demand, {})
            self.assertEqual(len({order.worker for order in orders}), len(orders))
            for order in orders:
                worker = next(w for w in workers if w.name == order.worker)
                self.deliver(planner, worker, order, data.draw(st.sampled_from(range(6))), loads, now)
        self.assertLessEqual(most_in_window(loads, WINDOW_S), LOADS_PER_S * WINDOW_S * OVER + 3)

    def deliver(
        self,
        planner: LoadPlanner,
        worker: UnreliableWorker,
        order: LoadOrder,
        fate: int,
        loads: list[float],
        now: float,
    ) -> None:
        planner.record_sending(now, order)
        if fate == 0:  # the order is lost
            planner.record_outcome(now, order, None)
        elif fate == 1:  # the order arrives after the sender's timeout
            worker.delayed_order = order
            planner.record_outcome(now, order, None)
        elif fate == 2:  # the order is rejected
            planner.record_outcome(now, order, False)
        else:
            accepted = worker.receive(order)
            if accepted and order.loads_model:
                loads.append(now)
            if fate != 3:
                planner.record_outcome(now, order, accepted)
            elif accepted:  # the response is lost
                planner.record_outcome(now, order, None)

    def deliver_delayed_order(self, worker: UnreliableWorker, loads: list[float], now: float) -> None:
        if (
            worker.delayed_order is not None
            and worker.receive(worker.delayed_order)
            and worker.delayed_order.loads_model
        ):
            loads.append(now)
        worker.delayed_order = None

    @given(st.lists(st.floats(0.0, 0.4), max_size=200), st.floats(0.5, 5.0))
    @settings(deadline=None, max_examples=60)
    def test_tokens_bound_every_window(self, gaps: list[float], rate: float) -> None:
        bucket = TokenBucket(rate, 2.0)
        now = 0.0
        take_times = []
        for gap in gaps:
            now += gap
            if bucket.take(now):
                take_times.append(now)
        self.assertLessEqual(most_in_window(take_times, 5.0), 2 + rate * 5.0 + 1e-6)

    def test_a_new_primary_begins_with_an_empty_bucket(self) -> None:
        workers = [worker_report("w0", {}), worker_report("w1", {})]
        self.assertEqual(create_planner().plan(100.0, workers, {WeightsKey("m0"): waiting_demand()}, {}), [])

    def test_a_primary_that_takes_over_again_begins_with_an_empty_bucket(self) -> None:
        planner = create_planner()
        planner.plan(0.0, [], {}, {})
        planner.begin_tenure(100.0)
        demand = {WeightsKey("m0"): waiting_demand()}
        self.assertEqual(planner.plan(100.1, [worker_report("w0", {})], demand, {}), [])
        self.assertEqual(len(planner.plan(101.0, [worker_report("w0", {})], demand, {})), 1)


class UnknownOutcomeTests(unittest.TestCase):
    key = WeightsKey("m0")

    def setUp(self) -> None:
        self.planner = create_planner()
        self.planner.plan(0.0, [worker_report("w0", {})], {}, {})
        (self.order,) = self.plan(2.0)

    def plan(self, now: float, *workers: WorkerWeights) -> list[LoadOrder]:
        demand = {self.key: waiting_demand(), WeightsKey("m1"): waiting_demand()}
        return self.planner.plan(now, workers or [worker_report("w0", {}, reported=now)], demand, {})

    def test_there_is_no_further_order_before_a_report_settles_the_first(self) -> None:
        self.planner.record_outcome(2.1, self.order, None)
        self.assertEqual(self.plan(2.9), [])
        self.assertEqual(self.plan(3.5, worker_report("w0", {}, reported=2.9)), [])

    def test_an_equal_sequence_a_second_later_means_that_the_order_was_not_accepted(self) -> None:
        self.planner.record_outcome(2.1, self.order, None)
        self.assertEqual([order.if_sequence for order in self.plan(3.2)], [0])

    def test_a_newer_sequence_allows_a_further_order_once_the_worker_is_idle(self) -> None:
        self.planner.record_outcome(2.1, self.order, None)
        self.assertEqual(self.plan(2.3, worker_report("w0", {}, busy=True, sequence=1)), [])
        done = worker_report("w0", models_without_adapters(self.order.key.model), sequence=1)
        self.assertEqual([(o.is_load, o.if_sequence) for o in self.plan(2.8, done)], [(True, 1)])

    def test_a_report_older_than_a_known_one_causes_no_order(self) -> None:
        self.planner.record_outcome(2.1, self.order, True)
        self.plan(2.8, worker_report("w0", {}, busy=True, sequence=1))
        self.assertEqual(self.plan(5.0, worker_report("w0", {}, sequence=0)), [])

    def test_a_busy_report_older_than_an_idle_one_does_not_hide_what_was_loaded(self) -> None:
        """The worker has reported the same sequence without an order in progress, so it holds the model."""
        book = OrderBook(MODELS)
        idle = worker_report("w0", models_without_adapters("m0", "m2"), size_mb=260.0, sequence=3)
        book.settle_by_reports(10.0, [idle])
        order = LoadOrder("w0", True, WeightsKey("m0", "a1"), 3)
        book.record_sending(10.0, order)
        book.record_outcome(10.0, order, True)
        self.assertEqual(book.project(10.5, idle).next_sequence, 4)
        older = worker_report("w0", models_without_adapters("m0"), size_mb=260.0, busy=True, sequence=3)
        book.settle_by_reports(10.5, [older])
        self.assertIsNone(book.project(10.5, older).next_sequence)

    def test_an_order_to_a_worker_that_is_missing_for_a_while_stays_pending(self) -> None:
        self.planner.record_outcome(2.1, self.order, None)
        self.planner.plan(2.3, [], {}, {})
        self.assertEqual(self.plan(2.5), [])
        self.assertEqual(self.planner.pending_orders(), [self.order])
        self.planner.plan(60.0, [], {}, {})
        self.assertEqual(self.planner.pending_orders(), [])

    def test_a_rejected_order_is_issued_again_after_a_newer_report(self) -> None:
        self.planner.record_outcome(2.1, self.order, False)
        self.assertEqual(self.plan(2.2), [])
        self.assertEqual(len(self.plan(2.5, worker_report("w0", {}, sequence=4))), 1)

    def test_an_accepted_load_is_expected_to_have_ended_before_a_report_shows_it(self) -> None:
        self.planner.record_outcome(2.1, self.order, True)
        self.assertEqual(self.planner.expected_loads(2.2), {})
        self.assertEqual(self.planner.expected_loads(3.0), {"w0": frozenset({self.order.key})})


class ModelTests(unittest.TestCase):
    def setUp(self) -> None:
        self.planner = create_planner()
        self.planner.plan(-10.0, [], {}, {})

    def plan(
        self, now: float, workers: list[WorkerWeights], demand: Mapping[WeightsKey, Demand]
    ) -> list[LoadOrder]:
        orders = self.planner.plan(now, workers, demand, {})
        for order in orders:
            self.planner.record_sending(now, order)
            self.planner.record_outcome(now, order, True)
        return orders

    def test_a_model_that_requests_wait_for_is_loaded_into_free_memory_at_once(self) -> None:
        workers = [
            worker_report("w0", models_without_adapters("m0", "m1", "m4")),
            worker_report("w1", models_without_adapters("m0")),
        ]
        self.assertEqual(
            self.plan(0.0, workers, {WeightsKey("m3"): waiting_demand()}),
            [LoadOrder("w1", True, WeightsKey("m3"), 0)],
        )

    def test_the_longest_wait_comes_first(self) -> None:
        demand = {
            WeightsKey("m3"): waiting_demand(oldest_wait_s=0.2),
            WeightsKey("m2"): waiting_demand(oldest_wait_s=0.4),
        }
        (order,) = self.plan(0.0, [worker_report("w0", {}, size_mb=130.0)], demand)
        self.assertEqual(order.key, WeightsKey("m2"))

    def test_a_load_follows_its_eviction_and_no_other_model_takes_the_room(self) -> None:
        full = worker_report("w0", models_without_adapters("m0", "m1", "m4"))
        (evict,) = self.plan(
            0.0, [full], {WeightsKey("m2"): waiting_demand(), WeightsKey("m0"): steady_demand(5.0)}
        )
        self.assertFalse(evict.is_load)
        self.assertNotEqual(evict.key, WeightsKey("m0"))
        remaining = {model: adapters for model, adapters in full.models.items() if model != evict.key.model}
        demand = {WeightsKey("m2"): waiting_demand(), WeightsKey("m3"): waiting_demand(oldest_wait_s=9.0)}
        orders = self.plan(0.5, [worker_report("w0", remaining, sequence=1)], demand)
        self.assertEqual(orders, [LoadOrder("w0", True, WeightsKey("m2"), 1)])

    def test_the_last_copy_of_a_model_in_demand_is_not_evicted(self) -> None:
        workers = [
            worker_report("w0", models_without_adapters("m0", "m1")),
            worker_report("w1", models_without_adapters("m0", "m4")),
        ]
        workers = [replace(worker, size_mb=200.0) for worker in workers]
        demand = {
            WeightsKey("m1"): steady_demand(2.0),
            WeightsKey("m4"): steady_demand(2.0),
            WeightsKey("m3"): waiting_demand(),
        }
        (order,) = self.plan(0.0, workers, demand)
        self.assertEqual((order.is_load, order.key), (False, WeightsKey("m0")))

    def test_a_model_that_requests_wait_for_is_never_evicted(self) -> None:
        worker = worker_report("w0", models_without_adapters("m0"), size_mb=130.0)
        demand = {WeightsKey("m0"): waiting_demand(3), WeightsKey("m2"): waiting_demand(5, 9.0)}
        self.assertEqual(self.plan(0.0, [worker], demand), [])

    def test_room_is_made_ahead_when_requests_often_wait_for_loads(self) -> None:
        workers = [worker_report(f"w{i}", models_without_adapters("m0", "m1", "m4")) for i in range(6)]
        self.assertEqual(self.plan(0.0, workers, {WeightsKey("m0"): steady_demand(0.1)}), [])
        orders = []
        for step, model in enumerate(("m2", "m3", "m5")):
            orders += self.plan(1.0 + step, workers, {WeightsKey(model): waiting_demand()})
        evictions = [order for order in orders if not order.is_load]
        self.assertGreater(len(evictions), 3)  # more than the three that the waiting requests need

    def test_one_eviction_is_better_than_two(self) -> None:
        """By its name m5 would be the first victim, but m2 needs the memory of a larger model anyway."""
        worker = worker_report("w0", models_without_adapters("m0", "m4", "m5"), size_mb=250.0)
        (order,) = self.plan(
            0.0, [worker], {WeightsKey("m2"): waiting_demand(), WeightsKey("m0"): steady_demand(5.0)}
        )
        self.assertEqual((order.is_load, order.key), (False, WeightsKey("m4")))

    def test_a_model_just_loaded_is_not_evicted_for_a_while(self) -> None:
        (order,) = self.plan(
            0.0, [worker_report("w0", {}, size_mb=130.0)], {WeightsKey("m0"): waiting_demand()}
        )
        loaded = worker_report("w0", models_without_adapters("m0"), size_mb=130.0, sequence=1)
        self.assertEqual(self.plan(0.6, [loaded], {WeightsKey("m2"): waiting_demand()}), [])
        self.assertEqual(len(self.plan(3.0, [loaded], {WeightsKey("m2"): waiting_demand()})), 1)

    def test_the_least_recently_used_idle_copy_is_evicted(self) -> None:
        worker = worker_report("w0", models_without_adapters("m0", "m1", "m4"))
        for now, model in ((0.0, "m1"), (10.0, "m0"), (20.0, "m4")):
            self.plan(now, [worker], {WeightsKey(model): steady_demand(0.1)})
        (order,) = self.plan(100.0, [worker], {WeightsKey("m3"): waiting_demand()})
        self.assertEqual((order.is_load, order.key), (False, WeightsKey("m1")))

    def test_a_worker_that_held_the_model_before_is_preferred(self) -> None:
        self.plan(0.0, [worker_report("w0", {}), worker_report("w1", models_without_adapters("m3"))], {})
        workers = [worker_report("w0", {}), worker_report("w1", {}, sequence=1)]
        (order,) = self.plan(10.0, workers, {WeightsKey("m3"): waiting_demand()})
        self.assertEqual(order.worker, "w1")

    def test_a_busy_model_gets_copies_by_its_busy_slots(self) -> None:
        workers = [worker_report(f"w{i}", models_without_adapters("m0") if not i else {}) for i in range(6)]
        placed = []
        demand = {WeightsKey("m0"): steady_demand(3.0, busy_slots=9.0)}
        for step in range(20):
            placed += self.plan(step * 0.5, workers, demand)
            held = {order.worker for order in placed}
            workers = [
                worker_report(
                    f"w{i}",
                    models_without_adapters("m0") if not i or f"w{i}" in held else {},
                    sequence=f"w{i}" in held,
                )
                for i in range(6)
            ]
        self.assertEqual(len(placed), 3)
        self.assertEqual({order.key for order in placed}, {WeightsKey("m0")})

    def test_a_model_with_enough_requests_a_second_gets_a_second_copy(self) -> None:
        workers = [worker_report("w0", models_without_adapters("m0")), worker_report("w1", {})]
        self.assertEqual(len(self.plan(0.0, workers, {WeightsKey("m0"): steady_demand(1.5)})), 1)
        self.assertEqual(len(self.plan(0.0, workers, {WeightsKey("m0"): steady_demand(0.5)})), 0)

    def test_steady_demand_causes_no_orders(self) -> None:
        """While no request waits, orders only have costs, so small changes of the demand cause none."""
        workers = [
            worker_report("w0", models_without_adapters("m0", "m1", "m4")),
            worker_report("w1", models_without_adapters("m0", "m1", "m5")),
        ]
        orders = []
        for step in range(200):
            swing = 1.0 + 0.3 * (step % 7 - 3) / 3
            demand = {
                WeightsKey("m0"): steady_demand(4.0 * swing, 6.0 * swing),
                WeightsKey("m1"): steady_demand(1.6 * swing, 1.0),
            }
            orders += self.plan(step * 0.2, workers, demand)
        self.assertEqual(orders, [])

    def test_draining_workers_get_no_orders_and_their_copies_do_not_count(self) -> None:
        leaving = replace(worker_report("w0", models_without_adapters("m3")), draining=True)
        (order,) = self.plan(0.0, [leaving, worker_report("w1", {})], {WeightsKey("m3"): waiting_demand()})
        self.assertEqual(order.worker, "w1")

    def test_simultaneous_loads_are_bounded(self) -> None:
        self.assertEqual(create_planner(4.2, {"m": ModelSpec("m", 1.0, 0.6, 0, 1.0)}).simultaneous, 3)
        self.assertEqual(create_planner(2.1, {"m": ModelSpec("m", 1.0, 3.2, 0, 1.0)}).simultaneous, 7)
        workers = [worker_report(f"w{i}", {}) for i in range(6)]
        demand = {WeightsKey(model): waiting_demand() for model in MODELS}
        orders = []
        for step in range(40):
            orders += self.plan(step * 0.05, workers, demand)
        self.assertEqual(len(orders), self.planner.simultaneous)

    def test_a_model_that_the_configuration_dropped_is_evicted(self) -> None:
        worker = worker_report("w0", models_without_adapters("m0", "unknown"))
        (order,) = self.plan(
            0.0, [worker], {WeightsKey("m3"): waiting_demand(), WeightsKey("m0"): steady_demand(1.0)}
        )
        self.assertEqual((order.is_load, order.key), (False, WeightsKey("unknown")))

    def test_a_new_configuration_keeps_pending_orders(self) -> None:
        (order,) = self.plan(0.0, [worker_report("w0", {})], {WeightsKey("m3"): waiting_demand()})
        self.planner.reconfigure(MODELS | {"m9": ModelSpec("m9", 10.0, 1.0, 0, 1.0)}, LOADS_PER_S)
        self.assertEqual(self.planner.pending_orders(), [order])
        self.assertEqual(self.plan(0.1, [worker_report("w0", {})], {WeightsKey("m9"): waiting_demand()}), [])


class AdapterTests(unittest.TestCase):
    def setUp(self) -> None:
        self.planner = create_planner()
        self.planner.plan(-10.0, [], {}, {})

    def plan(
        self, now: float, workers: list[WorkerWeights], demand: Mapping[WeightsKey, Demand]
    ) -> list[LoadOrder]:
        return self.planner.plan(now, workers, demand, {})

    def test_an_adapter_is_loaded_at_the_holder_with_the_fewest_adapters(self) -> None:
        workers = [
            worker_report("w0", {"m0": frozenset({"a1"})}),
            worker_report("w1", models_without_adapters("m0")),
            worker_report("w2", {}),
        ]
        orders = self.plan(0.0, workers, {WeightsKey("m0", "a2"): waiting_demand()})
        self.assertEqual(orders, [LoadOrder("w1", True, WeightsKey("m0", "a2"), 0)])

    def test_a_model_is_loaded_before_its_adapter(self) -> None:
        key = WeightsKey("m0", "a2")
        (order,) = self.plan(0.0, [worker_report("w0", {})], {key: waiting_demand()})
        self.assertEqual(order.key, WeightsKey("m0"))
        self.planner.record_outcome(0.0, order, True)
        (order,) = self.plan(
            0.7, [worker_report("w0", models_without_adapters("m0"), sequence=1)], {key: waiting_demand()}
        )
        self.assertEqual(order.key, key)

    def test_the_next_adapter_need_not_wait_for_a_report(self) -> None:
        worker = worker_report("w0", models_without_adapters("m1"))
        demand = {WeightsKey("m1", f"a{i}"): waiting_demand() for i in range(1, 6)}
        orders: list[LoadOrder] = []
        for step in range(10):
            for order in self.plan(step * 0.15, [worker], demand):
                self.planner.record_outcome(step * 0.15, order, True)
                orders.append(order)
        self.assertEqual([order.if_sequence for order in orders], [0, 1, 2])
        self.assertEqual(len({order.key for order in orders}), ADAPTER_SLOTS)

    def test_the_least_recently_used_adapter_is_evicted(self) -> None:
        worker = worker_report("w0", {"m1": frozenset({"a1", "a2", "a3"})})
        for now, name in ((0.0, "a2"), (5.0, "a1"), (9.0, "a3")):
            self.plan(now, [worker], {WeightsKey("m1", name): steady_demand(0.1)})
        (order,) = self.plan(30.0, [worker], {WeightsKey("m1", "a4"): waiting_demand()})
        self.assertEqual((order.is_load, order.key), (False, WeightsKey("m1", "a2")))
        self.planner.record_outcome(30.0, order, True)
        left = worker_report("w0", {"m1": frozenset({"a1", "a3"})}, sequence=1)
        (order,) = self.plan(30.4, [left], {WeightsKey("m1", "a4"): waiting_demand()})
        self.assertEqual((order.is_load, order.key), (True, WeightsKey("m1", "a4")))

    def test_an_adapter_gets_no_second_copy(self) -> None:
        workers = [
            worker_report("w0", {"m0": frozenset({"a1"})}),
            worker_report("w1", models_without_adapters("m0")),
        ]
        self.assertEqual(self.plan(0.0, workers, {WeightsKey("m0", "a1"): steady_demand(5.0)}), [])

    def test_the_memory_of_adapters_counts(self) -> None:
        worker = worker_report("w0", {"m0": frozenset({"a1"})}, size_mb=139.0)
        orders = self.plan(0.0, [worker], {WeightsKey("m0", "a2"): steady_demand(5.0)})
        self.assertEqual(orders, [LoadOrder("w0", False, WeightsKey("m0", "a1"), 0)])

    def test_many_active_adapters_lead_to_more_copies_of_their_model(self) -> None:
        workers = [worker_report("w0", models_without_adapters("m1")), worker_report("w1", {})]
        demand = {WeightsKey("m1", f"a{i}"): steady_demand(0.1) for i in range(1, 9)}
        orders = self.plan(0.0, workers, demand)
        self.assertIn(LoadOrder("w1", True, WeightsKey("m1"), 0), orders)


class ClosedLoopTests(unittest.TestCase):
    """Simulated days with the numbers of the deployments; the simulation checks the workers' limits itself.

    The simulation does not model that prefills delay streams, so the planner's many copies of busy models
    bring no benefit here. Rare models are served later for it, and busy ones are nearly always resident.
    """

    def run_simulations(self, simulations: list[Simulation]) -> list[Simulation]:
        """Run each simulation, and check that it keeps the store's limit."""
        for simulation in simulations:
            simulation.run(40.0)
            site = simulation.site
            ceiling = site.loads_per_s * WINDOW_S * OVER + 3
            self.assertLess(most_in_window(simulation.store_loads, WINDOW_S), ceiling - 3)
        return simulations

    def mean_share_within(self, days: list[Simulation], kind: str, seconds: float) -> float:
        """The mean share of a class's requests that waited for at most `seconds`."""
        return sum(day.share_within(kind, seconds) for day in days) / len(days)

    def test_the_kvadrat_deployment_serves_each_class_in_time(self) -> None:
        days = self.run_simulations([Simulation(kvadrat(), seed) for seed in range(3)])
        self.assertGreater(self.mean_share_within(days, "recap", 1.0), 0.6)
        self.assertGreater(self.mean_share_within(days, "recap", 1.25), 0.86)
        self.assertGreater(self.mean_share_within(days, "translation", 0.3), 0.95)
        self.assertGreater(self.mean_share_within(days, "question", 0.3), 0.9)
        self.assertGreater(min(day.value() for day in days), 0.93)

    def test_the_irama_deployment_serves_each_class_in_time(self) -> None:
        days = self.run_simulations([Simulation(irama(), seed) for seed in range(3)])
        self.assertGreater(self.mean_share_within(days, "festival", 4.0), 0.7)
        self.assertGreater(self.mean_share_within(days, "season", 0.3), 0.89)
        self.assertGreater(self.mean_share_within(days, "note", 0.3), 0.81)
        self.assertGreater(min(day.value() for day in days), 0.89)


if __name__ == "__main__":
    unittest.main()
