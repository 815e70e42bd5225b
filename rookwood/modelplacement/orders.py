"""Pending load orders, whose effect no report of their worker has shown yet.

A worker counts the orders that it accepts, and reports the count as its sequence. An order is settled by a
report with a newer sequence, or by one with an equal sequence received long enough after the order, which
means that it was not accepted. Until then its worker gets no other order, and the weights that it would load
count as resident. A worker rejects an order whose `if_sequence` is not its sequence, so a settled order
cannot take effect later.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum, auto

from rookwood.modelplacement.types import ModelSpec, WeightsKey, WorkerWeights

UNKNOWN_OUTCOME_PAUSE_S = 1.0  # an equal sequence reported this much later means that it was not accepted
KNOWN_OUTCOME_PAUSE_S = 3.0  # this time instead if it was accepted, or while its response is awaited
ADAPTER_LOAD_S = 0.1  # an adapter is loaded after this time, so the next order need not wait for a report
LOAD_MARGIN_S = 0.1  # a model's load should have ended this long after its `load_s`
MISSING_WORKER_S = 30.0  # a worker without a report for this long is gone
REJECTED_PAUSE_S = 0.2  # a rejection means that the known report is outdated; wait for a newer one


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """An order to a worker to load (`is_load`) or to unload weights."""

    worker: str
    is_load: bool
    key: WeightsKey
    if_sequence: int

    @property
    def loads_model(self) -> bool:
        """Whether the order loads a model, which reads from the weight store."""
        return self.is_load and not self.key.adapter


class _Stage(Enum):
    SENT = auto()  # no response yet
    ACCEPTED = auto()
    UNKNOWN = auto()  # the response was lost


@dataclass(slots=True)
class _PendingOrder:
    order: LoadOrder
    stage: _Stage
    since: float  # when the stage was entered


@dataclass(slots=True)
class ProjectedWorker:
    """A worker as it would be if every pending load had taken effect, and no pending unload.

    This is the most that the worker may hold, so an order that fits here does not exceed its memory.
    """

    weights: WorkerWeights  # the newest report
    models: dict[str, set[str]]  # model -> its adapters, pending loads included
    unloading: set[WeightsKey]  # weights with a pending unload
    used_mb: float
    adapter_count: int
    next_sequence: int | None  # sequence for the next order; None: the worker can take no order now
    has_new_orders: bool = False  # includes orders that the report does not show

    @property
    def free_mb(self) -> float:
        """Megabytes that are free for weights."""
        return self.weights.size_mb - self.used_mb

    @property
    def free_adapter_slots(self) -> int:
        """The number of free adapter slots."""
        return self.weights.adapter_slots - self.adapter_count


class OrderBook:
    """The pending orders to all workers of one service, and what they and the reports imply."""

    def __init__(self, models: Mapping[str, ModelSpec]) -> None:
        self.models = models
        self._pending: dict[str, list[_PendingOrder]] = {}
        self._newest_sequence: dict[str, int] = {}  # highest sequence reported by each worker
        self._newest_idle_sequence: dict[str, int] = {}  # highest sequence reported with no order in progress
        self._seen_at: dict[str, float] = {}
        self._paused_until: dict[str, float] = {}

    def record_sending(self, now: float, order: LoadOrder) -> None:
        """Record an order as pending; restarts its timeout if it is already pending without a response."""
        pending = self._find(order)
        if pending is None:
            self._pending.setdefault(order.worker, []).append(_PendingOrder(order, _Stage.SENT, now))
        elif pending.stage is _Stage.SENT:
            pending.since = now

    def record_outcome(self, now: float, order: LoadOrder, accepted: bool | None) -> bool:
        """Record the worker's response; returns whether a pending order was certainly not accepted."""
        pending = self._find(order)
        if pending is None:
            return False
        if accepted is False:
            self._pending[order.worker].remove(pending)
            self._paused_until[order.worker] = now + REJECTED_PAUSE_S
            return True
        pending.stage = _Stage.ACCEPTED if accepted else _Stage.UNKNOWN
        pending.since = now
        return False

    def settle_by_reports(self, now: float, workers: Iterable[WorkerWeights]) -> list[LoadOrder]:
        """Settle orders by the workers' reports; returns the settled ones.

        Workers that have been missing for long are dropped: they return under another name, if at all.
        """
        present = {weights.worker: weights for weights in workers}
        self._seen_at.update(dict.fromkeys(present, now))
        self._forget_missing_workers(now)
        settled = []
        for worker, weights in present.items():
            self._newest_sequence[worker] = max(weights.sequence, self._newest_sequence.get(worker, 0))
            if not weights.busy:
                self._newest_idle_sequence[worker] = max(
                    weights.sequence, self._newest_idle_sequence.get(worker, 0)
                )
            pending = self._pending.get(worker)
            if not pending:
                continue
            done = [p for p in pending if _is_settled(now, p, weights)]
            self._pending[worker] = [p for p in pending if p not in done]
            settled += [p.order for p in done]
        return settled

    def _forget_missing_workers(self, now: float) -> None:
        for worker in [worker for worker, at in self._seen_at.items() if now - at > MISSING_WORKER_S]:
            del self._seen_at[worker]
            del self._newest_sequence[worker]
            self._newest_idle_sequence.pop(worker, None)
            self._pending.pop(worker, None)
            self._paused_until.pop(worker, None)

    def pending_orders(self) -> list[LoadOrder]:
        """All orders that are not settled yet."""
        return [p.order for orders in self._pending.values() for p in orders]

    def expected_loads(self, now: float) -> dict[str, frozenset[WeightsKey]]:
        """Per worker the weights whose load was accepted and should have ended by now."""
        complete = {}
        for worker, orders in self._pending.items():
            keys = [p.order.key for p in orders if self._is_probably_complete(now, p)]
            if keys:
                complete[worker] = frozenset(keys)
        return complete

    def _is_probably_complete(self, now: float, pending: _PendingOrder) -> bool:
        if pending.stage is not _Stage.ACCEPTED or not pending.order.is_load:
            return False
        if pending.order.key.adapter:
            return now >= pending.since + ADAPTER_LOAD_S
        spec = self.models.get(pending.order.key.model)
        return spec is not None and now >= pending.since + spec.load_s + LOAD_MARGIN_S

    def project(
        self, now: float, weights: WorkerWeights, known: ProjectedWorker | None = None
    ) -> ProjectedWorker:
        """The worker by its report and its pending orders.

        `known`, the result of an earlier call, is returned again if nothing has changed since.
        """
        pending = self._pending.get(weights.worker, [])
        sequence = self._next_sequence(now, weights)
        if known is not None and known.weights is weights and not known.has_new_orders and not pending:
            known.next_sequence = sequence
            return known
        models = {model: set(adapters) for model, adapters in weights.models.items()}
        unloading = set()
        for key, is_load in ((each.order.key, each.order.is_load) for each in pending):
            if not is_load:
                unloading.add(key)
            elif key.adapter:
                models.setdefault(key.model, set()).add(key.adapter)
            else:
                models.setdefault(key.model, set())
        used_mb = sum(self._size_of(model, len(adapters)) for model, adapters in models.items())
        adapter_count = sum(len(adapters) for adapters in models.values())
        return ProjectedWorker(weights, models, unloading, used_mb, adapter_count, sequence, bool(pending))

    def _size_of(self, model: str, adapters: int) -> float:
        spec = self.models.get(model)
        if spec is None:  # of an older configuration: its size is unknown, so nothing more may fit
            return float("inf")
        return spec.size_mb + adapters * spec.adapter_mb

    def _next_sequence(self, now: float, weights: WorkerWeights) -> int | None:
        if weights.draining or now < self._paused_until.get(weights.worker, now):
            return None
        if self._is_outdated(weights):
            return None
        pending = self._pending.get(weights.worker)
        if not pending:
            return None if weights.busy else weights.sequence
        last = pending[-1]
        only_adapter_loads = all(
            p.stage is _Stage.ACCEPTED and p.order.is_load and p.order.key.adapter for p in pending
        )
        in_progress = weights.busy and weights.sequence > last.order.if_sequence
        if only_adapter_loads and not in_progress and now >= last.since + ADAPTER_LOAD_S:
            return max(weights.sequence, last.order.if_sequence + 1)
        return None

    def _is_outdated(self, weights: WorkerWeights) -> bool:
        """Whether a newer report was received before this one.

        A busy report is older than an idle one of the same sequence, since a worker is busy with its newest
        order before it is idle again.
        """
        if weights.sequence < self._newest_sequence.get(weights.worker, 0):
            return True
        return weights.busy and weights.sequence <= self._newest_idle_sequence.get(weights.worker, -1)

    def _find(self, order: LoadOrder) -> _PendingOrder | None:
        orders = self._pending.get(order.worker, ())
        return next((pending for pending in orders if pending.order == order), None)


def _is_settled(now: float, pending: _PendingOrder, weights: WorkerWeights) -> bool:
    """Whether a report shows that the order has ended, or that it was not accepted."""
    expected = pending.order.if_sequence
    if weights.sequence > expected:
        return not weights.busy or weights.sequence > expected + 1
    if weights.sequence < expected or weights.busy:
        return False
    reported_at = now if weights.reported is None else weights.reported
    pause = UNKNOWN_OUTCOME_PAUSE_S if pending.stage is _Stage.UNKNOWN else KNOWN_OUTCOME_PAUSE_S
    return reported_at >= pending.since + pause
