"""Demand by weights key, summed over what all dispatchers report."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from rookwood.cluster.messages import CountedWeights, DemandReport, DemandSummary, KeyDemand, WantedWeights
from rookwood.modelplacement.loads import Demand
from rookwood.modelplacement.types import WeightsKey

REPORT_LIFETIME = 3.0  # seconds after which the demand of a reporter that fell silent no longer counts

ServiceWeights = tuple[str, WeightsKey]
WantedByWorker = Mapping[str, Mapping[WeightsKey, float]]


@dataclass(slots=True)
class ReportedDemand:
    """What one reporter told last: a dispatcher, or a control machine for those that it feeds."""

    direct: bool
    told: float = 0.0
    dispatchers: int = 1
    keys: dict[ServiceWeights, KeyDemand] = field(default_factory=dict)
    wanted: Counter[WantedWeights] = field(default_factory=Counter)


class DemandSum:
    """Collects reports and adds them up.

    What dispatchers want is counted as their reports change it, since plans ask for it far more often.
    """

    def __init__(self) -> None:
        self._reporters: dict[str, ReportedDemand] = {}
        self._wants: Counter[WantedWeights] = Counter()

    def take(self, report: DemandReport | DemandSummary, now: float) -> None:
        """Take in a dispatcher's report, or another control machine's sum."""
        direct = isinstance(report, DemandReport)
        known = self._reporters.setdefault(report.identity, ReportedDemand(direct))
        known.told = now
        if report.complete:
            known.direct = direct
            known.keys.clear()
            known.dispatchers = 1 if isinstance(report, DemandReport) else report.dispatchers
            self._replace_wanted(known, _count_wanted(report))
        for key in report.keys:
            known.keys[key.service, WeightsKey(key.model, key.adapter)] = key

    def total(self, service: str, now: float) -> dict[WeightsKey, Demand]:
        """Demand for the weights of one service."""
        self._drop_silent(now)
        sums: dict[WeightsKey, list[KeyDemand]] = defaultdict(list)
        for known in self._reporters.values():
            for (name, key), demand in known.keys.items():
                if name == service:
                    sums[key].append(demand)
        return {key: add_demands(demands) for key, demands in sums.items()}

    def wanted(self, service: str) -> WantedByWorker:
        """Per worker of a service the weights wanted there, with the share of dispatchers that want them."""
        dispatchers = sum(known.dispatchers for known in self._reporters.values())
        shares: dict[str, dict[WeightsKey, float]] = defaultdict(dict)
        for item, count in self._wants.items():
            if item.service == service:
                shares[item.worker][WeightsKey(item.model, item.adapter)] = count / dispatchers
        return shares

    def summary(self, identity: str, now: float) -> DemandSummary | None:
        """The sum of what dispatchers reported here, for the primary; None where none did."""
        self._drop_silent(now)
        direct = [known for known in self._reporters.values() if known.direct]
        if not direct:
            return None
        wanted: Counter[WantedWeights] = Counter()
        for known in direct:
            wanted.update(known.wanted)
        counted = tuple(
            CountedWeights(item.service, item.worker, item.model, item.adapter, count)
            for item, count in wanted.items()
        )
        names = dict.fromkeys(name for known in direct for name in known.keys)
        return DemandSummary(identity, len(direct), self._sums(direct, names), counted, complete=True)

    def summary_of(self, identity: str, keys: Iterable[KeyDemand]) -> DemandSummary:
        """The sum of what dispatchers reported here for some keys alone, which is urgent."""
        direct = [known for known in self._reporters.values() if known.direct]
        names = [(key.service, WeightsKey(key.model, key.adapter)) for key in keys]
        return DemandSummary(identity, len(direct), self._sums(direct, names), (), complete=False)

    @staticmethod
    def _sums(reporters: list[ReportedDemand], names: Iterable[ServiceWeights]) -> tuple[KeyDemand, ...]:
        sums = []
        for service, key in names:
            demands = [known.keys[service, key] for known in reporters if (service, key) in known.keys]
            total = add_demands(demands)
            sums.append(
                KeyDemand(
                    service,
                    key.model,
                    key.adapter,
                    total.rate,
                    total.busy_slots,
                    total.waiting,
                    total.oldest_wait_s,
                )
            )
        return tuple(sums)

    def _drop_silent(self, now: float) -> None:
        for identity, known in list(self._reporters.items()):
            if now - known.told > REPORT_LIFETIME:
                self._replace_wanted(known, Counter())
                del self._reporters[identity]

    def _replace_wanted(self, known: ReportedDemand, wanted: Counter[WantedWeights]) -> None:
        self._wants.update(wanted)
        self._wants.subtract(known.wanted)
        for item in known.wanted:
            if not self._wants[item]:
                del self._wants[item]
        known.wanted = wanted


def _count_wanted(report: DemandReport | DemandSummary) -> Counter[WantedWeights]:
    if isinstance(report, DemandReport):
        return Counter(dict.fromkeys(report.wanted, 1))
    return Counter(
        {
            WantedWeights(item.service, item.worker, item.model, item.adapter): item.count
            for item in report.wanted
        }
    )


def add_demands(demands: list[KeyDemand]) -> Demand:
    """The sum of several dispatchers' demands for one key."""
    return Demand(
        rate=sum(demand.rate for demand in demands),
        waiting=sum(demand.waiting for demand in demands),
        oldest_wait_s=max(demand.oldest_wait for demand in demands),
        busy_slots=sum(demand.busy for demand in demands),
    )
