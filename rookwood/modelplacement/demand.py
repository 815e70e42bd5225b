"""Demand for models and adapters: the copies that each model needs, and the loss that an eviction causes."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from rookwood.modelplacement.types import WeightsKey

BUSY_PER_COPY = 2.5  # running requests that a copy is planned for; more, and prefills pause streams too often
BUSY_TO_KEEP = 8.0  # a copy is spare only if the others would then run fewer requests than this each
RATE_FOR_TWO = 0.4  # requests a second above which a model gets a second copy
RATE_PER_COPY = 1.5  # requests a second that a copy is planned for
ADAPTER_RATE_MIN = 0.02  # requests a second from which an adapter counts as active
COPIES_SHARE = 0.62  # part of the capacity for models that copies planned ahead may take
POPULARITY_S = 60.0  # seconds; time constant of the slow average of a model's rate
POPULARITY_SHARE = 0.5  # weight of the slow average relative to the current rate
RECENT_S = 3.0  # seconds; a model requested within this time is not idle
RECENT_USE_LOSS = 0.5  # loss of the last copy of a model requested within RECENT_S
SPARE_SHARE = 0.1  # the loss of a spare copy, as part of that of a needed one
IDLE_LOSS = 0.02  # breaks ties between idle weights: the least recently used are evicted first
ADAPTER_SHARE = 0.3  # loss of an adapter that is evicted with its model, per request a second


@dataclass(frozen=True, slots=True)
class Demand:
    """Demand for one key, summed over all dispatchers."""

    rate: float  # requests a second, smoothed
    waiting: int  # requests that wait at dispatchers for the weights
    oldest_wait_s: float
    busy_slots: float  # slot-seconds a second


@dataclass(slots=True)
class ModelDemand:
    """Demand for a model with all its adapters, and the values that are kept over several steps."""

    rate: float = 0.0
    waiting: int = 0
    oldest_wait_s: float = 0.0
    busy_slots: float = 0.0
    active_adapters: int = 0
    adapter_rate: float = 0.0
    popularity: float = 0.0  # slow average of the rate
    last_requested: float = -math.inf
    copies_needed: int = 0
    adapters: dict[str, Demand] = field(default_factory=dict)

    def reset_step(self) -> None:
        """Reset the demand of the last step, but not the values that are kept over several steps."""
        self.rate = self.busy_slots = self.oldest_wait_s = self.adapter_rate = 0.0
        self.waiting = self.active_adapters = 0
        self.adapters = {}

    def add(self, key: WeightsKey, demand: Demand) -> None:
        """Add the demand for the model itself or for one of its adapters."""
        self.rate += demand.rate
        self.waiting += demand.waiting
        self.busy_slots += demand.busy_slots
        self.oldest_wait_s = max(self.oldest_wait_s, demand.oldest_wait_s if demand.waiting else 0.0)
        if key.adapter:
            self.adapters[key.adapter] = demand
            self.adapter_rate += demand.rate
            self.active_adapters += demand.waiting > 0 or demand.rate >= ADAPTER_RATE_MIN


class MovingRate:
    """An exponential average of events a second."""

    def __init__(self, smoothing_s: float) -> None:
        self._smoothing_s = smoothing_s
        self._rate = 0.0
        self._updated_at = -math.inf

    def add(self, now: float) -> None:
        """Count one event."""
        self._rate = self.rate(now) + 1.0 / self._smoothing_s
        self._updated_at = now

    def rate(self, now: float) -> float:
        """The average at the time `now`."""
        return self._rate * math.exp(-max(0.0, now - self._updated_at) / self._smoothing_s)


class DemandBook:
    """The demand for each model over time."""

    def __init__(self, keeps_popularity: bool = True) -> None:
        self._popularity_s = POPULARITY_S if keeps_popularity else 0.0
        self._models: dict[str, ModelDemand] = {}
        self._adapter_requested_at: dict[WeightsKey, float] = {}
        self._rates: dict[WeightsKey, float] = {}
        self._updated_at: float | None = None
        self._no_demand = ModelDemand()

    def for_model(self, model: str) -> ModelDemand:
        """The demand for a model; zero for a model that was never requested."""
        return self._models.get(model, self._no_demand)

    def models_in_demand(self) -> Iterable[tuple[str, ModelDemand]]:
        """The models with current demand."""
        return [(name, d) for name, d in self._models.items() if d.rate > 0.0 or d.waiting]

    def adapter_demand(self, key: WeightsKey) -> Demand | None:
        """The demand for an adapter in this step, or None."""
        return self.for_model(key.model).adapters.get(key.adapter)

    def adapter_age(self, now: float, key: WeightsKey) -> float:
        """Seconds since an adapter was last requested."""
        return now - self._adapter_requested_at.get(key, -math.inf)

    def update(self, now: float, demand: Mapping[WeightsKey, Demand]) -> None:
        """Replace the demand by that of a new step, and update the values kept over several steps."""
        elapsed = 0.0 if self._updated_at is None else max(0.0, now - self._updated_at)
        self._updated_at = now
        for model in self._models.values():
            model.reset_step()
        for key, amount in demand.items():
            model = self._models.setdefault(key.model, ModelDemand())
            model.add(key, amount)
            # A smoothed rate rises only when a request arrives.
            if amount.waiting or amount.rate > self._rates.get(key, 0.0):
                model.last_requested = now
                if key.adapter:
                    self._adapter_requested_at[key] = now
        self._rates = {key: amount.rate for key, amount in demand.items()}
        decay = math.exp(-elapsed / self._popularity_s) if self._popularity_s else 0.0
        for model in self._models.values():
            model.popularity = model.rate + (model.popularity - model.rate) * decay

    def plan_copies(self, workers: int, capacity: int, adapter_slots: int) -> None:
        """Set the number of copies that each model needs, within a share of the capacity for models.

        Beyond that share, copies are taken from the model with the most copies, and among equal ones from the
        one with the lowest rate.
        """
        needs = {}
        for name, demand in self._models.items():
            demand.copies_needed = min(_needed_copies(demand, adapter_slots), workers)
            if demand.copies_needed > 1:
                needs[name] = demand
        surplus = sum(d.copies_needed for d in needs.values()) - max(1, int(COPIES_SHARE * capacity))
        while surplus > 0 and needs:
            name, largest = max(
                needs.items(), key=lambda item: (item[1].copies_needed, -item[1].rate, item[0])
            )
            if largest.copies_needed <= 1:
                break
            largest.copies_needed -= 1
            surplus -= 1


def _needed_copies(demand: ModelDemand, adapter_slots: int) -> int:
    if demand.rate <= 0.0 and not demand.waiting:
        return 0
    by_busy = math.ceil(demand.busy_slots / BUSY_PER_COPY)
    by_rate = max(math.ceil(demand.rate / RATE_PER_COPY), 2 if demand.rate > RATE_FOR_TWO else 1)
    by_adapters = math.ceil(demand.active_adapters / adapter_slots) if adapter_slots else 0
    return max(by_busy, by_rate, by_adapters)


def copy_loss(now: float, demand: ModelDemand, copies: int, adapters: Iterable[str]) -> float:
    """The loss of evicting one of `copies` copies, which holds `adapters`.

    Infinite for the last copy of a model that requests wait for.
    """
    if demand.waiting and copies <= 1:
        return math.inf
    rate = max(demand.rate, POPULARITY_SHARE * demand.popularity)
    running = demand.busy_slots / max(copies, 1)
    age = max(0.0, now - demand.last_requested)
    loss = IDLE_LOSS / (1.0 + age)
    if copies <= 1:
        return loss + rate + running + (RECENT_USE_LOSS if age < RECENT_S else 0.0)
    with_adapters = ADAPTER_SHARE * sum(d.rate for a in adapters if (d := demand.adapters.get(a)))
    loss += rate / copies + running + with_adapters
    spare = copies > demand.copies_needed and demand.busy_slots / (copies - 1) < BUSY_TO_KEEP
    return loss * SPARE_SHARE if spare else loss


def adapter_loss(now: float, demand: DemandBook, key: WeightsKey) -> float:
    """The loss of evicting an adapter; infinite if requests wait for it."""
    amount = demand.adapter_demand(key)
    if amount and amount.waiting:
        return math.inf
    in_use = amount.rate + amount.busy_slots if amount else 0.0
    return in_use + IDLE_LOSS / (1.0 + demand.adapter_age(now, key))
