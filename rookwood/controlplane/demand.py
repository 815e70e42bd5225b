"""Sums the demand for each weights key over the reports of all dispatchers."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from rookwood.cluster.messages import CountedWeights, DemandReport, DemandSummary, KeyDemand, WantedWeights
from rookwood.modelplacement.loads import Demand
from rookwood.modelplacement.types import WeightsKey

REPORT_LIFETIME = 3.0  # seconds after which the last report of a reporter no longer counts

ServiceWeights = tuple[str, WeightsKey]
WantedByWorker = Mapping[str, Mapping[WeightsKey, float]]


@dataclass(slots=True)
class ReportedDemand:
    """The last report of a dispatcher, or of a control machine for the dispatchers that it feeds."""

    from_dispatcher: bool
    received_at: float = 0.0
    dispatchers: int = 1
    keys: dict[ServiceWeights, KeyDemand] = field(default_factory=dict)
    wanted: Counter[WantedWeights] = field(default_factory=Counter)


class DemandSum:
    """Collects the reports of dispatchers and the summaries of control machines, and adds them up.

    How many dispatchers want which weights is counted when a report arrives, since plans read the counts far
    more often.
    """

    def __init__(self) -> None:
        self._reporters: dict[str, ReportedDemand] = {}
        self._wanted_counts: Counter[WantedWeights] = Counter()

    def record_report(self, report: DemandReport | DemandSummary, now: float) -> None:
        """Record a dispatcher's report or another control machine's summary."""
        from_dispatcher = isinstance(report, DemandReport)
        reporter = self._reporters.setdefault(report.identity, ReportedDemand(from_dispatcher))
        reporter.received_at = now
        if report.complete:
            reporter.from_dispatcher = from_dispatcher
            reporter.keys.clear()
            reporter.dispatchers = 1 if isinstance(report, DemandReport) else report.dispatchers
            self._replace_wanted(reporter, _count_wanted(report))
        for key in report.keys:
            reporter.keys[key.service, WeightsKey(key.model, key.adapter)] = key

    def total(self, service: str, now: float) -> dict[WeightsKey, Demand]:
        """The summed demand for each key of one service."""
        self._drop_expired(now)
        summed: dict[WeightsKey, list[KeyDemand]] = defaultdict(list)
        for reporter in self._reporters.values():
            for (name, key), demand in reporter.keys.items():
                if name == service:
                    summed[key].append(demand)
        return {key: add_demands(demands) for key, demands in summed.items()}

    def wanted_shares(self, service: str) -> WantedByWorker:
        """The weights wanted at each worker of a service, with the share of dispatchers that want them."""
        dispatchers = sum(reporter.dispatchers for reporter in self._reporters.values())
        shares: dict[str, dict[WeightsKey, float]] = defaultdict(dict)
        for item, count in self._wanted_counts.items():
            if item.service == service:
                shares[item.worker][WeightsKey(item.model, item.adapter)] = count / dispatchers
        return shares

    def summary(self, identity: str, now: float) -> DemandSummary | None:
        """The sum of the dispatchers' own reports recorded here, for the primary; None if there are none."""
        self._drop_expired(now)
        reporters = [reporter for reporter in self._reporters.values() if reporter.from_dispatcher]
        if not reporters:
            return None
        wanted: Counter[WantedWeights] = Counter()
        for reporter in reporters:
            wanted.update(reporter.wanted)
        counted = tuple(
            CountedWeights(item.service, item.worker, item.model, item.adapter, count)
            for item, count in wanted.items()
        )
        service_keys = dict.fromkeys(key for reporter in reporters for key in reporter.keys)
        return DemandSummary(
            identity, len(reporters), self._sum_keys(reporters, service_keys), counted, complete=True
        )

    def partial_summary(self, identity: str, keys: Iterable[KeyDemand]) -> DemandSummary:
        """The sum of the dispatchers' own reports recorded here, for the primary, for some keys only."""
        reporters = [reporter for reporter in self._reporters.values() if reporter.from_dispatcher]
        service_keys = [(key.service, WeightsKey(key.model, key.adapter)) for key in keys]
        return DemandSummary(
            identity, len(reporters), self._sum_keys(reporters, service_keys), (), complete=False
        )

    @staticmethod
    def _sum_keys(
        reporters: list[ReportedDemand], service_keys: Iterable[ServiceWeights]
    ) -> tuple[KeyDemand, ...]:
        summed = []
        for service, key in service_keys:
            demands = [
                reporter.keys[service, key] for reporter in reporters if (service, key) in reporter.keys
            ]
            total = add_demands(demands)
            summed.append(
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
        return tuple(summed)

    def _drop_expired(self, now: float) -> None:
        for identity, reporter in list(self._reporters.items()):
            if now - reporter.received_at > REPORT_LIFETIME:
                self._replace_wanted(reporter, Counter())
                del self._reporters[identity]

    def _replace_wanted(self, reporter: ReportedDemand, wanted: Counter[WantedWeights]) -> None:
        self._wanted_counts.update(wanted)
        self._wanted_counts.subtract(reporter.wanted)
        for item in reporter.wanted:
            if not self._wanted_counts[item]:
                del self._wanted_counts[item]
        reporter.wanted = wanted


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
