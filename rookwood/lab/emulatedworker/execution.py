"""The one placement order at a time that a worker carries out."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable
from http import HTTPStatus

from rookwood.lab.emulatedworker.holdings import Holdings
from rookwood.lab.emulatedworker.orders import OrderOperation, PlacementOrder, concerns, parse_order
from rookwood.lab.emulatedworker.records import OrderRecord, Violation, ViolationKind, WorkerRecords
from rookwood.lab.emulatedworker.settings import WorkerSettings
from rookwood.lab.emulatedworker.weights import WeightKey, WeightStore

ADAPTER_LOAD_S = 0.005
LOCAL_LOAD_FACTOR = 0.3  # of `load_s`, where the weights are on the worker's own disk


class PlacementExecutor:
    """Takes placement orders, one at a time, and keeps the holdings that result.

    `on_change` is called whenever a report would read differently, `on_overload` once an order would exceed
    the memory or the adapter slots, at which a worker falls.
    """

    def __init__(
        self,
        settings: WorkerSettings,
        instance: str,
        records: WorkerRecords,
        store: WeightStore,
        local_weights: set[str],
        on_change: Callable[[], None],
        on_overload: Callable[[], None],
    ) -> None:
        self.holdings = Holdings(settings)
        self.pending: PlacementOrder | None = None
        self.revision = 0
        self._settings = settings
        self._instance = instance
        self._records = records
        self._store = store
        self._local_weights = local_weights
        self._on_change = on_change
        self._on_overload = on_overload
        self._highest_fence = -1
        self._fence_owners: dict[int, str] = {}
        self._running: Counter[WeightKey] = Counter()
        self._run_ended = asyncio.Condition()
        self._task: asyncio.Task[None] | None = None

    def take(self, body: bytes) -> HTTPStatus:
        """Takes an order in, begins it where nothing is against it, and returns the answer's status."""
        order = self._read(body)
        if order is None:
            return HTTPStatus.BAD_REQUEST
        status = self._judge(order)
        self._records.orders.append(OrderRecord(order, status, time.monotonic()))
        if status is HTTPStatus.ACCEPTED:
            self._begin(order)
        return status

    def concerns(self, weights: WeightKey) -> bool:
        """Whether the order under way touches requests for these weights."""
        return self.pending is not None and concerns(self.pending.weights, weights)

    @contextlib.asynccontextmanager
    async def in_use(self, weights: WeightKey) -> AsyncIterator[None]:
        """Keeps these weights from being unloaded for as long as it is entered."""
        self._running[weights] += 1
        try:
            yield
        finally:
            self._running[weights] -= 1
            async with self._run_ended:
                self._run_ended.notify_all()

    async def stop(self) -> None:
        """Drops the order under way."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def _read(self, body: bytes) -> PlacementOrder | None:
        try:
            order = parse_order(json.loads(body))
        except ValueError:
            return None
        return order if order is not None and self._is_offered(order.weights) else None

    def _is_offered(self, weights: WeightKey) -> bool:
        spec = self._settings.model(weights.model)
        return spec is not None and (weights.adapter is None or weights.adapter in spec.adapter_names)

    def _judge(self, order: PlacementOrder) -> HTTPStatus:
        self._note_fence_owner(order)
        if self._settings.fenced and order.fence < self._highest_fence:
            return HTTPStatus.PRECONDITION_FAILED
        self._highest_fence = max(self._highest_fence, order.fence)
        if self.pending is not None:
            return HTTPStatus.CONFLICT
        if order.expected_revision is not None and order.expected_revision != self.revision:
            return HTTPStatus.CONFLICT
        if self.holdings.holds(order.weights) is (order.operation is OrderOperation.PLACE):
            return HTTPStatus.OK
        if order.weights.adapter is not None and not self.holdings.holds(WeightKey(order.weights.model)):
            return HTTPStatus.MISDIRECTED_REQUEST
        return HTTPStatus.ACCEPTED

    def _note_fence_owner(self, order: PlacementOrder) -> None:
        owner = self._fence_owners.setdefault(order.fence, order.owner)
        if owner != order.owner:
            detail = f"{owner} and {order.owner} both sent {order.fence}"
            self._note_violation(ViolationKind.SHARED_FENCE, detail)

    def _note_violation(self, kind: ViolationKind, detail: str) -> None:
        self._records.violations.append(Violation(kind, f"{self._instance}: {detail}", time.monotonic()))

    def _begin(self, order: PlacementOrder) -> None:
        if order.operation is OrderOperation.PLACE and not self.holdings.has_room_for(order.weights):
            detail = f"{order.weights} beside {self.holdings.models()}"
            self._note_violation(ViolationKind.OVER_CAPACITY, detail)
            self._on_overload()
            return
        self.pending = order
        self.revision += 1
        self._on_change()
        self._task = asyncio.get_running_loop().create_task(self._carry_out(order))

    async def _carry_out(self, order: PlacementOrder) -> None:
        if order.operation is OrderOperation.PLACE:
            await asyncio.sleep(self._load_time(order.weights))
            self.holdings.add(order.weights)
        else:
            async with self._run_ended:
                await self._run_ended.wait_for(lambda: not self._has_runs_of(order.weights))
            self.holdings.discard(order.weights)
        self.pending = None
        self._on_change()

    def _load_time(self, weights: WeightKey) -> float:
        if weights.adapter is not None:
            return ADAPTER_LOAD_S
        spec = self._settings.model(weights.model)
        assert spec is not None, "orders for models outside the catalogue are refused"
        if weights.model in self._local_weights:
            return spec.load_s * LOCAL_LOAD_FACTOR
        self._local_weights.add(weights.model)
        self._store.loads.append(time.monotonic())
        return spec.load_s

    def _has_runs_of(self, weights: WeightKey) -> bool:
        return any(count > 0 and concerns(weights, running) for running, count in self._running.items())
