"""What copies of weights are worth: demand per model, how many copies it needs, what an eviction loses."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from rookwood.modelplacement.types import WeightsKey

BUSY_PER_COPY = 2.5  # requests running at once that a copy is planned for; reading prompts pauses streams
BUSY_TO_KEEP = 8.0  # a copy is spare only when the others would run fewer than this many each
RATE_FOR_TWO = 0.4  # requests a second from which a model gets a second copy
RATE_PER_COPY = 1.5  # requests a second that a copy is planned for
ADAPTER_RATE_MIN = 0.02  # requests a second from which an adapter counts as asked for
COPIES_SHARE = 0.62  # part of all places that the copies planned ahead may take
POPULARITY_S = 60.0  # time constant of the slow average of a model's rate
POPULARITY_SHARE = 0.5  # weight of the slow average against the rate of now
RECENT_S = 3.0  # a model asked for within this time is not idle
RECENT_LOSS = 0.5
SPARE_SHARE = 0.1  # part of the loss of a needed copy that a spare one counts
LEAST_RECENT_LOSS = 0.02  # breaks ties between idle models: the least recently used goes first
ADAPTER_SHARE = 0.3  # loss of an adapter that goes with its model, per request a second


@dataclass(frozen=True, slots=True)
class Demand:
    """Demand for one key, summed over all dispatchers."""

    rate: float  # requests a second, smoothed
    waiting: int  # requests that dispatchers hold now for lack of the weights
    oldest_wait_s: float
    busy_slots: float  # slot-seconds a second


@dataclass(slots=True)
class ModelDemand:
    """Demand for a model with all its adapters, as the planner remembers it."""

    rate: float = 0.0
    waiting: int = 0
    oldest_wait_s: float = 0.0
    busy: float = 0.0
    active_adapters: int = 0
    adapter_rate: float = 0.0
    popularity: float = 0.0  # slow average of the rate
    last_asked: float = -math.inf
    copies_needed: int = 0
    adapters: dict[str, Demand] = field(default_factory=dict)

    def clear(self) -> None:
        """Forget the demand of the last step, but not what is remembered over time."""
        self.rate = self.busy = self.oldest_wait_s = self.adapter_rate = 0.0
        self.waiting = self.active_adapters = 0
        self.adapters = {}

    def add(self, key: WeightsKey, demand: Demand) -> None:
        """Count the demand for one key of the model."""
        self.rate += demand.rate
        self.waiting += demand.waiting
        self.busy += demand.busy_slots
        self.oldest_wait_s = max(self.oldest_wait_s, demand.oldest_wait_s if demand.waiting else 0.0)
        if key.adapter:
            self.adapters[key.adapter] = demand
            self.adapter_rate += demand.rate
            self.active_adapters += demand.waiting > 0 or demand.rate >= ADAPTER_RATE_MIN


class MovingRate:
    """Events a second, by an exponential average."""

    def __init__(self, smoothing_s: float) -> None:
        self._smoothing_s = smoothing_s
        self._rate = 0.0
        self._updated = -math.inf

    def add(self, now: float) -> None:
        """Count one event."""
        self._rate = self.rate(now) + 1.0 / self._smoothing_s
        self._updated = now

    def rate(self, now: float) -> float:
        """The rate as of now."""
        return self._rate * math.exp(-max(0.0, now - self._updated) / self._smoothing_s)


class DemandBook:
    """Demand per model over time."""

    def __init__(self, remembers_popularity: bool = True) -> None:
        self._popularity_s = POPULARITY_S if remembers_popularity else 0.0
        self._models: dict[str, ModelDemand] = {}
        self._adapter_asked: dict[WeightsKey, float] = {}
        self._rates: dict[WeightsKey, float] = {}
        self._updated: float | None = None
        self._nothing = ModelDemand()

    def of(self, model: str) -> ModelDemand:
        """Demand for a model; nothing for one that was never asked for."""
        return self._models.get(model, self._nothing)

    def asked(self) -> Iterable[tuple[str, ModelDemand]]:
        """Models with demand now."""
        return [(name, d) for name, d in self._models.items() if d.rate > 0.0 or d.waiting]

    def adapter(self, key: WeightsKey) -> Demand | None:
        """Demand for one adapter, if it has any now."""
        return self.of(key.model).adapters.get(key.adapter)

    def adapter_age(self, now: float, key: WeightsKey) -> float:
        """Seconds since an adapter was last asked for."""
        return now - self._adapter_asked.get(key, -math.inf)

    def update(self, now: float, demand: Mapping[WeightsKey, Demand]) -> None:
        """Take the demand of a step."""
        elapsed = 0.0 if self._updated is None else max(0.0, now - self._updated)
        self._updated = now
        for model in self._models.values():
            model.clear()
        for key, amount in demand.items():
            model = self._models.setdefault(key.model, ModelDemand())
            model.add(key, amount)
            if amount.waiting or amount.rate > self._rates.get(key, 0.0):
                model.last_asked = now
                if key.adapter:
                    self._adapter_asked[key] = now
        self._rates = {key: amount.rate for key, amount in demand.items()}
        decay = math.exp(-elapsed / self._popularity_s) if self._popularity_s else 0.0
        for model in self._models.values():
            model.popularity = model.rate + (model.popularity - model.rate) * decay

    def plan_copies(self, workers: int, places: int, adapter_slots: int) -> None:
        """Set how many copies each model needs, within a share of all places."""
        needs = {}
        for name, demand in self._models.items():
            demand.copies_needed = min(_copies(demand, adapter_slots), workers)
            if demand.copies_needed > 1:
                needs[name] = demand
        surplus = sum(d.copies_needed for d in needs.values()) - max(1, int(COPIES_SHARE * places))
        while surplus > 0 and needs:
            name, most = max(needs.items(), key=lambda item: (item[1].copies_needed, -item[1].rate, item[0]))
            if most.copies_needed <= 1:
                break
            most.copies_needed -= 1
            surplus -= 1


def _copies(demand: ModelDemand, adapter_slots: int) -> int:
    if demand.rate <= 0.0 and not demand.waiting:
        return 0
    by_busy = math.ceil(demand.busy / BUSY_PER_COPY)
    by_rate = max(math.ceil(demand.rate / RATE_PER_COPY), 2 if demand.rate > RATE_FOR_TWO else 1)
    by_adapters = math.ceil(demand.active_adapters / adapter_slots) if adapter_slots else 0
    return max(by_busy, by_rate, by_adapters)


def copy_loss(now: float, demand: ModelDemand, copies: int, adapters: Iterable[str]) -> float:
    """What is lost with one of `copies` copies that holds `adapters`; infinite for one that is waited for."""
    if demand.waiting and copies <= 1:
        return math.inf
    rate = max(demand.rate, POPULARITY_SHARE * demand.popularity)
    running = demand.busy / max(copies, 1)
    age = max(0.0, now - demand.last_asked)
    loss = LEAST_RECENT_LOSS / (1.0 + age)
    if copies <= 1:
        return loss + rate + running + (RECENT_LOSS if age < RECENT_S else 0.0)
    with_adapters = ADAPTER_SHARE * sum(d.rate for a in adapters if (d := demand.adapters.get(a)))
    loss += rate / copies + running + with_adapters
    spare = copies > demand.copies_needed and demand.busy / (copies - 1) < BUSY_TO_KEEP
    return loss * SPARE_SHARE if spare else loss


def adapter_loss(now: float, demand: DemandBook, key: WeightsKey) -> float:
    """What is lost with an adapter; infinite for one that is waited for."""
    amount = demand.adapter(key)
    if amount and amount.waiting:
        return math.inf
    in_use = amount.rate + amount.busy_slots if amount else 0.0
    return in_use + LEAST_RECENT_LOSS / (1.0 + demand.adapter_age(now, key))
