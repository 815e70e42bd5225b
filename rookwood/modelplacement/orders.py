"""Orders given to workers whose effect no report has shown yet.

An order is settled by a report with a newer sequence, or by one of an equal sequence received a second
after the order was decided: it was not taken then. Until that time its worker gets no other order, and what
it would place counts as held. A worker refuses an order whose `if_sequence` has passed, so a settled one
cannot act later.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum, auto

from rookwood.modelplacement.types import ModelSpec, WeightsKey, WorkerWeights

EQUAL_SEQUENCE_S = 1.0  # a report this much later that shows no new order tells that it was not taken
EQUAL_SEQUENCE_PATIENT_S = 3.0  # the same for an order that was taken, or whose answer is still awaited
ADAPTER_ORDER_S = 0.1  # an adapter is loaded by then, so the next order need not wait for a report
LOAD_MARGIN_S = 0.1  # a load should be over so long after its `load_s`
MISSING_S = 30.0  # a worker without reports for so long is gone
REFUSED_PAUSE_S = 0.2  # after a refusal the report is out of date; wait for a better one


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """An order to a worker to load (`place`) or to unload weights."""

    worker: str
    is_load: bool
    key: WeightsKey
    if_sequence: int

    @property
    def loads_model(self) -> bool:
        """Whether the order reads from the weight store."""
        return self.is_load and not self.key.adapter


class _Stage(Enum):
    SENT = auto()
    TAKEN = auto()
    UNKNOWN = auto()


@dataclass(slots=True)
class _PendingOrder:
    order: LoadOrder
    stage: _Stage
    since: float  # when the stage was entered


@dataclass(slots=True)
class Holdings:
    """What a worker holds when every pending place has been taken and no pending evict has."""

    weights: WorkerWeights
    models: dict[str, set[str]]
    leaving: set[WeightsKey]  # a pending evict concerns these
    used_mb: float
    adapter_count: int
    next_sequence: int | None  # for the next order; None: the worker can take none now
    changed: bool = False  # orders since the report count in

    @property
    def free_mb(self) -> float:
        """Memory left for weights."""
        return self.weights.size_mb - self.used_mb

    @property
    def free_adapter_slots(self) -> int:
        """Places left for adapters."""
        return self.weights.adapter_slots - self.adapter_count


class OrderBook:
    """Pending orders of all workers of one service."""

    def __init__(self, models: Mapping[str, ModelSpec]) -> None:
        self.models = models
        self._pending: dict[str, list[_PendingOrder]] = {}
        self._newest: dict[str, int] = {}  # highest sequence reported by each worker
        self._newest_idle: dict[str, int] = {}  # highest sequence reported with no order in progress
        self._seen_at: dict[str, float] = {}
        self._paused_until: dict[str, float] = {}

    def begin(self, now: float, order: LoadOrder) -> None:
        """An order is about to be sent, or was just sent when it is already known."""
        pending = self._find(order)
        if pending is None:
            self._pending.setdefault(order.worker, []).append(_PendingOrder(order, _Stage.SENT, now))
        elif pending.stage is _Stage.SENT:
            pending.since = now

    def outcome(self, now: float, order: LoadOrder, taken: bool | None) -> bool:
        """Note the answer of the worker. True when a pending order surely was not taken."""
        pending = self._find(order)
        if pending is None:
            return False
        if taken is False:
            self._pending[order.worker].remove(pending)
            self._paused_until[order.worker] = now + REFUSED_PAUSE_S
            return True
        pending.stage = _Stage.TAKEN if taken else _Stage.UNKNOWN
        pending.since = now
        return False

    def observe(self, now: float, workers: Iterable[WorkerWeights]) -> list[LoadOrder]:
        """Settle orders by reports; the settled ones are returned.

        Workers that are missing for long are forgotten: they come back under another name, if at all.
        """
        present = {weights.worker: weights for weights in workers}
        self._seen_at.update(dict.fromkeys(present, now))
        self._forget(now)
        settled = []
        for worker, weights in present.items():
            self._newest[worker] = max(weights.sequence, self._newest.get(worker, 0))
            if not weights.busy:
                self._newest_idle[worker] = max(weights.sequence, self._newest_idle.get(worker, 0))
            pending = self._pending.get(worker)
            if not pending:
                continue
            done = [p for p in pending if _is_settled(now, p, weights)]
            self._pending[worker] = [p for p in pending if p not in done]
            settled += [p.order for p in done]
        return settled

    def _forget(self, now: float) -> None:
        for worker in [worker for worker, at in self._seen_at.items() if now - at > MISSING_S]:
            del self._seen_at[worker]
            del self._newest[worker]
            self._newest_idle.pop(worker, None)
            self._pending.pop(worker, None)
            self._paused_until.pop(worker, None)

    def pending(self) -> list[LoadOrder]:
        """All orders that are not settled."""
        return [p.order for orders in self._pending.values() for p in orders]

    def expected(self, now: float) -> dict[str, frozenset[WeightsKey]]:
        """Per worker the keys whose place was taken and should be over by now."""
        complete = {}
        for worker, orders in self._pending.items():
            keys = [p.order.key for p in orders if self._should_be_complete(now, p)]
            if keys:
                complete[worker] = frozenset(keys)
        return complete

    def _should_be_complete(self, now: float, pending: _PendingOrder) -> bool:
        if pending.stage is not _Stage.TAKEN or not pending.order.is_load:
            return False
        if pending.order.key.adapter:
            return now >= pending.since + ADAPTER_ORDER_S
        spec = self.models.get(pending.order.key.model)
        return spec is not None and now >= pending.since + spec.load_s + LOAD_MARGIN_S

    def holdings(self, now: float, weights: WorkerWeights, known: Holdings | None = None) -> Holdings:
        """The worker's holdings by its report and its pending orders.

        `known`, the result of an earlier call, is returned again when nothing changed since.
        """
        pending = self._pending.get(weights.worker, [])
        sequence = self._next_sequence(now, weights)
        if known is not None and known.weights is weights and not known.changed and not pending:
            known.next_sequence = sequence
            return known
        models = {model: set(adapters) for model, adapters in weights.models.items()}
        leaving = set()
        for key, place in ((each.order.key, each.order.is_load) for each in pending):
            if not place:
                leaving.add(key)
            elif key.adapter:
                models.setdefault(key.model, set()).add(key.adapter)
            else:
                models.setdefault(key.model, set())
        used = sum(self._size_of(model, len(adapters)) for model, adapters in models.items())
        count = sum(len(adapters) for adapters in models.values())
        return Holdings(weights, models, leaving, used, count, sequence, bool(pending))

    def _size_of(self, model: str, adapters: int) -> float:
        spec = self.models.get(model)
        if spec is None:  # of an older configuration: its size is not known, so nothing more fits
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
        quick = all(p.stage is _Stage.TAKEN and p.order.is_load and p.order.key.adapter for p in pending)
        in_progress = weights.busy and weights.sequence > last.order.if_sequence
        if quick and not in_progress and now >= last.since + ADAPTER_ORDER_S:
            return max(weights.sequence, last.order.if_sequence + 1)
        return None

    def _is_outdated(self, weights: WorkerWeights) -> bool:
        """Whether a newer report was seen; a worker is busy with its newest order before it is idle again."""
        if weights.sequence < self._newest.get(weights.worker, 0):
            return True
        return weights.busy and weights.sequence <= self._newest_idle.get(weights.worker, -1)

    def _find(self, order: LoadOrder) -> _PendingOrder | None:
        orders = self._pending.get(order.worker, ())
        return next((pending for pending in orders if pending.order == order), None)


def _is_settled(now: float, pending: _PendingOrder, weights: WorkerWeights) -> bool:
    expected = pending.order.if_sequence
    if weights.sequence > expected:
        return not weights.busy or weights.sequence > expected + 1
    if weights.sequence < expected or weights.busy:
        return False
    reported = now if weights.reported is None else weights.reported
    patience = EQUAL_SEQUENCE_S if pending.stage is _Stage.UNKNOWN else EQUAL_SEQUENCE_PATIENT_S
    return reported >= pending.since + patience
