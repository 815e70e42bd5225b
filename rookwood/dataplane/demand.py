"""This dispatcher's demand for weights: request rates, worker slots in use, and waiting requests."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from rookwood.cluster.messages import KeyDemand

RATE_TIME_CONSTANT = 4.0  # seconds; of the exponential averages
NEGLIGIBLE_RATE = 0.01  # requests a second; a key with less demand is no longer reported


@dataclass(frozen=True, slots=True)
class ServiceKey:
    """A model, or an adapter of a model, of one service."""

    service: str
    model: str
    adapter: str


@dataclass(slots=True)
class KeyUse:
    """Exponential averages of the use of one key."""

    rate: float = 0.0  # requests a second
    busy_slots: float = 0.0  # slot-seconds a second
    updated_at: float = 0.0

    def decay(self, now: float) -> None:
        """Decay the averages to the time `now`."""
        factor = math.exp((self.updated_at - now) / RATE_TIME_CONSTANT)
        self.rate *= factor
        self.busy_slots *= factor
        self.updated_at = now


class DemandMeter:
    """Measures demand by key; `on_waiting` is called when the first request begins to wait for a key."""

    def __init__(self, on_waiting: Callable[[ServiceKey], None]) -> None:
        self._on_waiting = on_waiting
        self._uses: dict[ServiceKey, KeyUse] = {}
        self._waits: dict[ServiceKey, list[float]] = {}

    def record_request(self, key: ServiceKey, now: float) -> None:
        """Count a request for the key."""
        use = self._aged_use(key, now)
        use.rate += 1.0 / RATE_TIME_CONSTANT

    def record_slot_use(self, key: ServiceKey, seconds: float, now: float) -> None:
        """Count the seconds for which a request occupied a worker's slot."""
        self._aged_use(key, now).busy_slots += seconds / RATE_TIME_CONSTANT

    def begin_wait(self, key: ServiceKey, now: float) -> None:
        """A request begins to wait until the weights are loaded."""
        first = key not in self._waits
        self._waits.setdefault(key, []).append(now)
        if first:
            self._on_waiting(key)

    def end_wait(self, key: ServiceKey, began: float) -> None:
        """The request whose wait began at `began` no longer waits."""
        waits = self._waits[key]
        waits.remove(began)
        if not waits:
            del self._waits[key]

    def oldest_wait_seconds(self, key: ServiceKey, now: float) -> float:
        """Seconds for which the oldest waiting request has waited for the key; 0 if none waits."""
        waits = self._waits.get(key)
        return now - min(waits) if waits else 0.0

    @property
    def waiting_count(self) -> int:
        """The number of requests that wait until weights are loaded."""
        return sum(len(waits) for waits in self._waits.values())

    def demand_for(self, key: ServiceKey, now: float) -> KeyDemand:
        """The demand for one key."""
        use = self._aged_use(key, now)
        waiting = len(self._waits.get(key, ()))
        oldest = self.oldest_wait_seconds(key, now)
        return KeyDemand(key.service, key.model, key.adapter, use.rate, use.busy_slots, waiting, oldest)

    def all_demand(self, now: float) -> tuple[KeyDemand, ...]:
        """The demand for all keys; keys with negligible demand are dropped."""
        demands = []
        for key in list(self._uses):
            demand = self.demand_for(key, now)
            if demand.rate < NEGLIGIBLE_RATE and not demand.waiting:
                del self._uses[key]
                continue
            demands.append(demand)
        return tuple(demands)

    def _aged_use(self, key: ServiceKey, now: float) -> KeyUse:
        use = self._uses.get(key)
        if use is None:
            use = self._uses[key] = KeyUse(updated_at=now)
        use.decay(now)
        return use
