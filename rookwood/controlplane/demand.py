"""Demand by weights key, summed over what all dispatchers report."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field

from rookwood.cluster.messages import DemandReport, KeyDemand, WantedWeights
from rookwood.modelplacement.loads import Demand
from rookwood.modelplacement.types import WeightsKey

REPORT_LIFETIME = 3.0  # seconds after which a silent dispatcher's demand no longer counts


@dataclass(slots=True)
class DispatcherDemand:
    """What one dispatcher reported last."""

    told: float = 0.0
    keys: dict[tuple[str, WeightsKey], KeyDemand] = field(default_factory=dict)
    wanted: frozenset[WantedWeights] = frozenset()


WantedByWorker = Mapping[str, Mapping[WeightsKey, float]]


class DemandSum:
    """Collects the reports of dispatchers and adds them up.

    What dispatchers want is counted as their reports change it, since plans ask for it far more often.
    """

    def __init__(self) -> None:
        self._dispatchers: dict[str, DispatcherDemand] = {}
        self._wants: Counter[WantedWeights] = Counter()

    def take(self, report: DemandReport, now: float) -> None:
        """Take in a report."""
        known = self._dispatchers.setdefault(report.identity, DispatcherDemand())
        known.told = now
        if report.complete:
            known.keys.clear()
            self._replace_wanted(known, frozenset(report.wanted))
        for key in report.keys:
            known.keys[key.service, WeightsKey(key.model, key.adapter)] = key

    def total(self, service: str, now: float) -> dict[WeightsKey, Demand]:
        """Demand for the weights of one service."""
        self._drop_silent(now)
        sums: dict[WeightsKey, list[KeyDemand]] = defaultdict(list)
        for known in self._dispatchers.values():
            for (name, key), demand in known.keys.items():
                if name == service:
                    sums[key].append(demand)
        return {key: add_demands(demands) for key, demands in sums.items()}

    def wanted(self, service: str) -> WantedByWorker:
        """Per worker of a service the weights wanted there, with the share of dispatchers that want them."""
        shares: dict[str, dict[WeightsKey, float]] = defaultdict(dict)
        for item, count in self._wants.items():
            if item.service == service:
                shares[item.worker][WeightsKey(item.model, item.adapter)] = count / len(self._dispatchers)
        return shares

    def _drop_silent(self, now: float) -> None:
        for identity, known in list(self._dispatchers.items()):
            if now - known.told > REPORT_LIFETIME:
                self._replace_wanted(known, frozenset())
                del self._dispatchers[identity]

    def _replace_wanted(self, known: DispatcherDemand, wanted: frozenset[WantedWeights]) -> None:
        self._wants.update(wanted - known.wanted)
        for item in known.wanted - wanted:
            self._wants[item] -= 1
            if not self._wants[item]:
                del self._wants[item]
        known.wanted = wanted


def add_demands(demands: list[KeyDemand]) -> Demand:
    """The sum of several dispatchers' demands for one key."""
    return Demand(
        rate=sum(demand.rate for demand in demands),
        waiting=sum(demand.waiting for demand in demands),
        oldest_wait_s=max(demand.oldest_wait for demand in demands),
        busy=sum(demand.busy for demand in demands),
    )
