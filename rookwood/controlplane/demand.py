"""Demand by weights key, summed over what all dispatchers report."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
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
    wanted: tuple[WantedWeights, ...] = ()


WantedByWorker = Mapping[str, Mapping[WeightsKey, float]]


class DemandSum:
    """Collects the reports of dispatchers and adds them up."""

    def __init__(self) -> None:
        self._dispatchers: dict[str, DispatcherDemand] = {}

    def take(self, report: DemandReport, now: float) -> None:
        """Take in a report."""
        known = self._dispatchers.setdefault(report.identity, DispatcherDemand())
        known.told = now
        if report.complete:
            known.keys.clear()
            known.wanted = report.wanted
        for key in report.keys:
            known.keys[key.service, WeightsKey(key.model, key.adapter)] = key

    def total(self, service: str, now: float) -> dict[WeightsKey, Demand]:
        """Demand for the weights of one service."""
        sums: dict[WeightsKey, list[KeyDemand]] = defaultdict(list)
        for identity, known in list(self._dispatchers.items()):
            if now - known.told > REPORT_LIFETIME:
                del self._dispatchers[identity]
                continue
            for (name, key), demand in known.keys.items():
                if name == service:
                    sums[key].append(demand)
        return {key: add_demands(demands) for key, demands in sums.items()}

    def wanted(self, service: str) -> WantedByWorker:
        """What the dispatchers' tables want on each worker of a service."""
        return add_wants(self._dispatchers.values(), service)


def add_wants(dispatchers: Iterable[DispatcherDemand], service: str) -> WantedByWorker:
    """Per worker the weights that tables want there, with the share of dispatchers that want them."""
    told = list(dispatchers)
    shares: dict[str, dict[WeightsKey, float]] = defaultdict(lambda: defaultdict(float))
    for known in told:
        for item in known.wanted:
            if item.service == service:
                shares[item.worker][WeightsKey(item.model, item.adapter)] += 1.0 / len(told)
    return shares


def add_demands(demands: list[KeyDemand]) -> Demand:
    """The sum of several dispatchers' demands for one key."""
    return Demand(
        rate=sum(demand.rate for demand in demands),
        waiting=sum(demand.waiting for demand in demands),
        oldest_wait_s=max(demand.oldest_wait for demand in demands),
        busy=sum(demand.busy for demand in demands),
    )
