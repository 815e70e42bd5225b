"""Trials of endpoints that fail for most dispatchers, by the holder of one duty alone. No I/O, no clock.

Each dispatcher counts the outcomes of its own attempts. An endpoint with `FAILING_AFTER` failures in a row is
failing there. If it is failing at most of the dispatchers that report, it is *held back*: dispatchers that do
not hold the duty send nothing to it. The holder continues as its policy decides, so the endpoint gets the
requests of one dispatcher instead of all. Once it serves one of them the holder reports it as recovered, and
all dispatchers use it again. If more than half of all endpoints were held back, the fault is probably
elsewhere, and none is.

Holding back only adds caution. While nobody holds the duty, or no report of the holder is known, every
dispatcher acts on its own. Holding back also ends when discovery reports a restart of the endpoint, and
after `EXPIRY`.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime, timedelta

FAILING_AFTER = 3  # consecutive failures
EXPIRY = timedelta(seconds=30)  # after which own failures no longer count, and holding back ends
MAX_ENDPOINTS = 64  # endpoints in each list of a report


@dataclass(slots=True)
class OwnAttempts:
    """The outcomes of this dispatcher's attempts at one endpoint."""

    failures: int = 0  # consecutive
    tried_at: datetime | None = None
    served_at: datetime | None = None  # when it served after it was failing here


@dataclass(frozen=True, slots=True)
class EndpointReport:
    """A dispatcher's report. It counts until the next one, or until that dispatcher is no longer alive."""

    failing: frozenset[str]
    recovered: frozenset[str]


@dataclass(slots=True)
class EndpointTrial:
    """One dispatcher's view of which endpoints are failing, and which are held back here."""

    me: str
    _own_attempts: dict[str, OwnAttempts] = field(default_factory=dict)
    _reports: dict[str, EndpointReport] = field(default_factory=dict)
    _held_back: dict[str, datetime] = field(default_factory=dict)  # endpoint -> since when

    def record_outcome(self, uid: str, served: bool, now: datetime) -> None:
        """Records an own attempt that the endpoint served, or failed through its own fault."""
        own = self._own_attempts.setdefault(uid, OwnAttempts())
        own.tried_at = now
        if served:
            if own.failures >= FAILING_AFTER:
                own.served_at = now
            own.failures = 0
        else:
            own.failures += 1
            own.served_at = None

    def record_restart(self, uid: str) -> bool:
        """Drops what is known of an endpoint that has restarted. True if it was held back."""
        self._own_attempts.pop(uid, None)
        for name, report in self._reports.items():
            self._reports[name] = EndpointReport(report.failing - {uid}, report.recovered - {uid})
        return self._held_back.pop(uid, None) is not None

    def report(self, now: datetime) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """The endpoints that are failing here, and those that have recovered, as reported to the others."""
        for uid in [
            u for u, own in self._own_attempts.items() if own.tried_at and now - own.tried_at >= EXPIRY
        ]:
            if uid not in self._held_back:
                del self._own_attempts[uid]
        failing = sorted(u for u, own in self._own_attempts.items() if own.failures >= FAILING_AFTER)
        recovered = sorted(u for u, own in self._own_attempts.items() if own.served_at and not own.failures)
        return tuple(failing[:MAX_ENDPOINTS]), tuple(recovered[:MAX_ENDPOINTS])

    def record_report(self, name: str, failing: Iterable[str], recovered: Iterable[str]) -> None:
        """Stores the report of another dispatcher."""
        self._reports[name] = EndpointReport(frozenset(failing), frozenset(recovered))

    def forget(self, name: str) -> None:
        """Drops the report of a dispatcher that is no longer alive."""
        self._reports.pop(name, None)

    def update(self, holder: str, alive: Iterable[str], listed: int, now: datetime) -> set[str]:
        """Updates which endpoints are held back, and returns those for which that has changed.

        `holder`: the holder of the duty as known here; empty: nobody. `listed`: the number of all endpoints.
        """
        previous = set(self._held_back)
        if holder in ("", self.me) or holder not in self._reports:
            self._held_back.clear()
            return previous
        reports = {name: report for name, report in self._reports.items() if name in set(alive)}
        own_failing, own_recovered = self.report(now)
        reports[self.me] = EndpointReport(frozenset(own_failing), frozenset(own_recovered))
        for uid in set[str]().union(*(report.failing for report in reports.values())):
            if 2 * sum(uid in report.failing for report in reports.values()) > len(reports) > 1:
                self._held_back.setdefault(uid, now)
        holder_report = self._reports[holder]
        for uid, since in list(self._held_back.items()):
            if uid in holder_report.recovered or now - since >= EXPIRY:
                del self._held_back[uid]
                self._own_attempts.pop(uid, None)
        if 2 * len(self._held_back) > listed:
            self._held_back.clear()
        return previous ^ set(self._held_back)

    def held_back_since(self, uid: str) -> datetime | None:
        """Since when the endpoint is held back here; None: it is not."""
        return self._held_back.get(uid)
