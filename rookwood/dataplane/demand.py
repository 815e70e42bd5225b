"""This dispatcher's demand for weights: request rates, time in use, and requests that wait for a load."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from rookwood.cluster.messages import KeyDemand

AVERAGING = 4.0  # seconds; time constant of the smoothed rates
NEGLIGIBLE = 0.01


@dataclass(frozen=True, slots=True)
class ServiceKey:
    """Weights of one service."""

    service: str
    model: str
    adapter: str


@dataclass(slots=True)
class KeyUse:
    """Smoothed use of one key."""

    rate: float = 0.0
    busy: float = 0.0
    updated: float = 0.0

    def decay(self, now: float) -> None:
        """Let the averages age."""
        factor = math.exp((self.updated - now) / AVERAGING)
        self.rate *= factor
        self.busy *= factor
        self.updated = now


class DemandMeter:
    """Measures demand by key; `on_waiting` is called when the first request begins to wait for a key."""

    def __init__(self, on_waiting: Callable[[ServiceKey], None]) -> None:
        self._on_waiting = on_waiting
        self._uses: dict[ServiceKey, KeyUse] = {}
        self._waiting: dict[ServiceKey, list[float]] = {}

    def request(self, key: ServiceKey, now: float) -> None:
        """A request for the key arrived."""
        use = self._use(key, now)
        use.rate += 1.0 / AVERAGING

    def used(self, key: ServiceKey, seconds: float, now: float) -> None:
        """A request occupied a worker's slot for this long."""
        self._use(key, now).busy += seconds / AVERAGING

    def begin_wait(self, key: ServiceKey, now: float) -> None:
        """A request waits for the weights to be loaded."""
        first = key not in self._waiting
        self._waiting.setdefault(key, []).append(now)
        if first:
            self._on_waiting(key)

    def end_wait(self, key: ServiceKey, began: float) -> None:
        """A request waits no longer."""
        waits = self._waiting[key]
        waits.remove(began)
        if not waits:
            del self._waiting[key]

    def oldest_wait(self, key: ServiceKey, now: float) -> float:
        """For how many seconds a request has waited for the key, 0 if none does."""
        waits = self._waiting.get(key)
        return now - min(waits) if waits else 0.0

    @property
    def waiting(self) -> int:
        """How many requests wait for weights to be loaded."""
        return sum(len(waits) for waits in self._waiting.values())

    def report(self, key: ServiceKey, now: float) -> KeyDemand:
        """The demand for one key."""
        use = self._use(key, now)
        waiting = len(self._waiting.get(key, ()))
        oldest = self.oldest_wait(key, now)
        return KeyDemand(key.service, key.model, key.adapter, use.rate, use.busy, waiting, oldest)

    def reports(self, now: float) -> tuple[KeyDemand, ...]:
        """The demand for all keys in use."""
        reports = []
        for key in list(self._uses):
            demand = self.report(key, now)
            if demand.rate < NEGLIGIBLE and not demand.waiting:
                del self._uses[key]
                continue
            reports.append(demand)
        return tuple(reports)

    def _use(self, key: ServiceKey, now: float) -> KeyUse:
        use = self._uses.get(key)
        if use is None:
            use = self._uses[key] = KeyUse(updated=now)
        use.decay(now)
        return use
