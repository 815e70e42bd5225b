"""Closed-loop simulation of load planning, with Poisson demand, simulated workers and simulated time.

The numbers of the two deployments are those of their site files. Nothing here sleeps or uses a socket.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from rookwood.modelplacement.loads import Demand, LoadOrder, LoadPlanner
from rookwood.modelplacement.types import ModelSpec, WeightsKey, WorkerWeights

TICK_S = 0.05
REPORT_LAG_S = 0.2
REPORT_EVERY_S = 0.3
REPORT_PENDING_EVERY_S = 0.1
SMOOTHING_S = 3.0


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests with Poisson arrivals for some of the models."""

    name: str
    rate: float
    run_s: float
    models: tuple[int, ...]
    models_at_a_time: int  # how many of the models are requested at a time; 0: all
    adapter_share: float = 0.0
    target_s: float = 1.0
    value: float = 1.0
    late_value: float = 0.5


@dataclass(frozen=True, slots=True)
class SimulatedSite:
    """The numbers of a deployment."""

    workers: int
    worker_mb: float
    models: tuple[ModelSpec, ...]
    disk_load_s: float
    loads_per_s: float
    simultaneous_loads: int
    classes: tuple[RequestClass, ...]
    rare_class: str
    models_per_shift: int
    shift_interval_s: float = 10.0


@dataclass(slots=True)
class SimulatedWorker:
    """A worker that accepts load orders as the protocol says."""

    name: str
    size_mb: float
    adapter_slots: int
    models: dict[str, set[str]] = field(default_factory=dict)
    held_before: set[str] = field(default_factory=set)
    sequence: int = 0
    order: LoadOrder | None = None
    work_left: float = 0.0
    from_store: bool = False
    runs: list[tuple[float, WeightsKey]] = field(default_factory=list)
    reports: deque[tuple[float, WorkerWeights]] = field(default_factory=deque)

    def used_mb(self, specs: dict[str, ModelSpec]) -> float:
        return sum(specs[m].size_mb + len(a) * specs[m].adapter_mb for m, a in self.models.items())

    def holds(self, key: WeightsKey) -> bool:
        concerned = self.order is not None and (self.order.key in (key, key.base))
        return (
            key.model in self.models
            and (not key.adapter or key.adapter in self.models[key.model])
            and not concerned
        )

    def report(self, now: float) -> WorkerWeights:
        models = {m: frozenset(a) for m, a in self.models.items()}
        busy, active = self.order is not None, len(self.runs)
        return WorkerWeights(
            self.name,
            "",
            self.size_mb,
            self.adapter_slots,
            64,
            models,
            busy,
            self.sequence,
            active,
            0,
            False,
            0.0,
        )


@dataclass(slots=True)
class Request:
    """A request that waits for its weights."""

    key: WeightsKey
    kind: RequestClass
    arrived: float


class Simulation:
    """One run of a deployment, with its measurements."""

    def __init__(self, site: SimulatedSite, seed: int) -> None:
        self.site = site
        self.random = Random(seed)
        self.shift_random = Random(seed + 1)
        self.specs = {spec.name: spec for spec in site.models}
        self.planner = LoadPlanner(self.specs, site.loads_per_s)
        self.workers = {f"w{i}": SimulatedWorker(f"w{i}", site.worker_mb, 8) for i in range(site.workers)}
        self.known_reports: dict[str, WorkerWeights] = {}
        self.report_read_at: dict[str, float] = {}
        self.waiting: list[Request] = []
        self.rates: dict[WeightsKey, float] = {}
        self.busy_slots: dict[WeightsKey, float] = {}
        self.now = 0.0
        self.waits: dict[str, list[float]] = {kind.name: [] for kind in site.classes}
        self.orders: Counter[str] = Counter()
        self.store_loads: list[float] = []
        self.requested_models: dict[str, tuple[int, ...]] = {}
        self._load_initial_models()

    def _load_initial_models(self) -> None:
        """Load busy models on several workers and every other model on one, as far as there is room."""
        names = list(self.specs)
        wanted = names[:4] * 3 + names[4:]
        for index, name in enumerate(wanted):
            workers = list(self.workers.values())
            for worker in workers[index % len(workers) :] + workers[: index % len(workers)]:
                room = worker.used_mb(self.specs) + self.specs[name].size_mb <= worker.size_mb
                if room and name not in worker.models:
                    worker.models[name] = set()
                    worker.held_before.add(name)
                    break

    def run(self, seconds: float) -> None:
        for tick in range(round(seconds / TICK_S)):
            self.now = tick * TICK_S
            if tick % round(self.site.shift_interval_s / TICK_S) == 0:
                self._shift_demand()
            self._advance_workers()
            self._read_reports()
            self._add_arrivals()
            self._dispatch_requests()
            self._send_orders()

    def _shift_demand(self) -> None:
        """Replace some of the requested models by others."""
        for kind in self.site.classes:
            if not kind.models_at_a_time:
                self.requested_models[kind.name] = kind.models
                continue
            current = list(self.requested_models.get(kind.name, kind.models[: kind.models_at_a_time]))
            others = [model for model in kind.models if model not in current]
            if self.now > 0.0:
                for model in self.shift_random.sample(others, self.site.models_per_shift):
                    current[self.shift_random.randrange(len(current))] = model
            self.requested_models[kind.name] = tuple(current)
        shifting = [kind for kind in self.site.classes if kind.models_at_a_time]
        for kind in shifting[1:]:  # classes whose models shift request the same ones
            self.requested_models[kind.name] = self.requested_models[shifting[0].name]

    def _advance_workers(self) -> None:
        loading = [w for w in self.workers.values() if w.order and w.from_store]
        slowdown = max(1.0, len(loading) / self.site.simultaneous_loads)
        for worker in self.workers.values():
            worker.runs = [run for run in worker.runs if run[0] > self.now]
            if worker.order:
                self._advance_order(worker, slowdown)

    def _advance_order(self, worker: SimulatedWorker, slowdown: float) -> None:
        order = worker.order
        assert order is not None
        if not order.is_load:
            concerned = [k for _, k in worker.runs if order.key in (k, k.base)]
            if concerned:
                return
            if order.key.adapter:
                worker.models[order.key.model].discard(order.key.adapter)
            else:
                del worker.models[order.key.model]
            worker.order = None
            return
        worker.work_left -= TICK_S / (slowdown if worker.from_store else 1.0)
        if worker.work_left <= 0.0:
            worker.held_before.add(order.key.model)
            worker.models.setdefault(order.key.model, set())
            if order.key.adapter:
                worker.models[order.key.model].add(order.key.adapter)
            worker.order = None

    def _read_reports(self) -> None:
        pending = {order.worker for order in self.planner.pending_orders()}
        for worker in self.workers.values():
            worker.reports.append((self.now, worker.report(self.now)))
            every = REPORT_PENDING_EVERY_S if worker.name in pending else REPORT_EVERY_S
            if (
                self.now - self.report_read_at.get(worker.name, -math.inf) < every - 1e-9
                and worker.name in self.known_reports
            ):
                continue
            self.report_read_at[worker.name] = self.now
            while len(worker.reports) > 1 and worker.reports[1][0] <= self.now - REPORT_LAG_S:
                worker.reports.popleft()
            self.known_reports[worker.name] = worker.reports[0][1]

    def _add_arrivals(self) -> None:
        for kind in self.site.classes:
            for _ in range(self._poisson(kind.rate * TICK_S)):
                self.waiting.append(Request(self._draw_key(kind), kind, self.now))
        decay = math.exp(-TICK_S / SMOOTHING_S)
        self.rates = {key: rate * decay for key, rate in self.rates.items() if rate > 1e-3}
        self.busy_slots = {key: busy * decay for key, busy in self.busy_slots.items() if busy > 1e-3}
        for request in self.waiting:
            if request.arrived == self.now:
                self.rates[request.key] = self.rates.get(request.key, 0.0) + 1.0 / SMOOTHING_S
                self.busy_slots[request.key] = (
                    self.busy_slots.get(request.key, 0.0) + request.kind.run_s / SMOOTHING_S
                )

    def _poisson(self, mean: float) -> int:
        count, product, limit = 0, self.random.random(), math.exp(-mean)
        while product > limit:
            count += 1
            product *= self.random.random()
        return count

    def _draw_key(self, kind: RequestClass) -> WeightsKey:
        models = self.requested_models[kind.name]
        model = self.site.models[models[self._draw_rank(len(models), 0.4)]]
        if model.adapters and self.random.random() < kind.adapter_share:
            return WeightsKey(model.name, f"a{self._draw_rank(model.adapters, 0.3) + 1}")
        return WeightsKey(model.name)

    def _draw_rank(self, count: int, skew: float) -> int:
        weights = [1.0 / (rank + 1) ** skew for rank in range(count)]
        return self.random.choices(range(count), weights)[0]

    def _dispatch_requests(self) -> None:
        """Send each waiting request to a worker that holds its weights, by its report and in fact."""
        still_waiting: list[Request] = []
        for request in self.waiting:
            holders = [
                worker
                for name, worker in self.workers.items()
                if self.known_reports[name].holds(request.key) and worker.holds(request.key)
            ]
            if holders:
                worker = min(holders, key=lambda w: (len(w.runs), w.name))
                worker.runs.append((self.now + request.kind.run_s, request.key))
                self.waits[request.kind.name].append(self.now - request.arrived)
            elif self.now - request.arrived > 15.0:
                self.waits[request.kind.name].append(math.inf)
            else:
                still_waiting.append(request)
        self.waiting = still_waiting

    def _send_orders(self) -> None:
        demand: dict[WeightsKey, Demand] = {}
        waiting = Counter(r.key for r in self.waiting)
        oldest = {r.key: r.arrived for r in reversed(self.waiting)}
        for key in self.rates.keys() | waiting.keys():
            wait = self.now - oldest.get(key, self.now)
            demand[key] = Demand(self.rates.get(key, 0.0), waiting[key], wait, self.busy_slots.get(key, 0.0))
        for order in self.planner.plan(self.now, list(self.known_reports.values()), demand, {}):
            self.planner.record_sending(self.now, order)
            self.planner.record_outcome(self.now, order, self._accept_order(order))

    def _accept_order(self, order: LoadOrder) -> bool:
        worker = self.workers[order.worker]
        if worker.order is not None or worker.sequence != order.if_sequence:
            self.orders["refused"] += 1
            return False
        worker.sequence += 1
        worker.order = order
        worker.from_store = order.loads_model and order.key.model not in worker.held_before
        self.orders["place" if order.is_load else "evict", bool(order.key.adapter)] += 1  # type: ignore[index]
        if order.is_load:
            self._check_room(worker, order)
        spec = self.specs[order.key.model]
        worker.work_left = (
            0.01 if order.key.adapter else spec.load_s if worker.from_store else self.site.disk_load_s
        )
        if worker.from_store:
            self.store_loads.append(self.now)
        return True

    def _check_room(self, worker: SimulatedWorker, order: LoadOrder) -> None:
        spec = self.specs[order.key.model]
        assert worker.used_mb(self.specs) + spec.size_of(order.key) <= worker.size_mb, "beyond the memory"
        if order.key.adapter:
            assert order.key.model in worker.models, "an adapter without its model"
            assert sum(len(a) for a in worker.models.values()) < worker.adapter_slots, "beyond the slots"

    def share_within(self, kind: str, seconds: float) -> float:
        waits = self.waits[kind]
        return sum(wait <= seconds for wait in waits) / len(waits)

    def value(self) -> float:
        """The value of served requests less the costs of loads and orders, relative to the possible value."""
        earned = possible = 0.0
        for kind in self.site.classes:
            begin_s = 0.25 if kind.run_s < 1.0 else 0.08  # network and prefill
            for wait in self.waits[kind.name]:
                possible += kind.value
                earned += (
                    kind.value if wait + begin_s <= kind.target_s else kind.late_value if wait < 5 else 0.0
                )
        orders = sum(count for what, count in self.orders.items() if what != "refused")
        return (earned - 0.36 * len(self.store_loads) - 0.036 * orders) / possible


def most_in_window(times: Sequence[float], window_s: float) -> int:
    """The largest number of events within any window of `window_s` seconds."""
    return max((sum(start <= t < start + window_s for t in times) for start in times), default=0)


def kvadrat() -> SimulatedSite:
    adapters = {0: 46, 2: 13, 4: 13, 6: 11, 8: 11}
    small = {0, 9} | set(range(12, 61, 2))
    models = tuple(
        ModelSpec(
            f"m{i}", 65100.0 if i in small else 72700.0, 0.6, adapters.get(i, 0), 12.0 if i in small else 66.0
        )
        for i in range(61)
    )
    hot = tuple(range(10))
    classes = (
        RequestClass("translation", 9.91, 0.4, hot, 4, 0.1, 0.8, 2.0, 0.6),
        RequestClass("question", 12.7, 1.6, hot, 4, 0.5, 0.5, 1.0, 0.3),
        RequestClass("recap", 1.38, 0.4, tuple(range(10, 61)), 0, 0.0, 1.5, 3.0, 0.9),
    )
    return SimulatedSite(9, 220000.0, models, 0.4, 4.2, 3, classes, "recap", 2)


def irama() -> SimulatedSite:
    adapters = {0: 32, 2: 12, 4: 12}
    small = {3} | set(range(6, 30, 2))
    models = tuple(
        ModelSpec(
            f"m{i}", 65100.0 if i in small else 72700.0, 3.0, adapters.get(i, 0), 12.0 if i in small else 66.0
        )
        for i in range(30)
    )
    hot = tuple(range(5))
    classes = (
        RequestClass("season", 7.21, 0.4, hot, 2, 0.1, 0.6, 2.0, 1.0),
        RequestClass("note", 8.16, 1.8, hot, 2, 0.5, 0.4, 1.0, 0.5),
        RequestClass("festival", 0.996, 0.4, tuple(range(5, 30)), 0, 0.0, 5.0, 3.0, 1.5),
    )
    return SimulatedSite(5, 230000.0, models, 0.58, 2.1, 7, classes, "festival", 1)
