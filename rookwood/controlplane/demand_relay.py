"""Tells the primary what the dispatchers report that another control machine feeds: their sum.

Requests that have begun to wait for weights are told at once.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from rookwood.cluster.connection import Connection
from rookwood.cluster.messages import RELEASE_WITH_RELAYED_FEED, DemandReport
from rookwood.controlplane.demand import DemandSum

SUMMARY_INTERVAL = 0.5  # seconds; dispatchers report once a second


@dataclass(frozen=True, slots=True)
class PrimaryLink:
    """The link to a primary on another machine, and its release."""

    connection: Connection
    release: int

    @property
    def takes_sums(self) -> bool:
        """Whether the primary understands sums."""
        return self.release >= RELEASE_WITH_RELAYED_FEED


FindPrimary = Callable[[], PrimaryLink | None]
"""The link to the primary; None where this machine is the primary, or has no link to it."""


class DemandRelay:
    """Passes reports on; what was reported is kept in the sum that the load planner uses."""

    def __init__(self, own_ip: str, demand: DemandSum, find_primary: FindPrimary) -> None:
        self._own_ip = own_ip
        self._demand = demand
        self._find_primary = find_primary

    def reported(self, report: DemandReport) -> None:
        """A dispatcher that this machine feeds reported, and its report was added to the sum."""
        primary = self._find_primary()
        if primary is None:
            return
        if not primary.takes_sums:
            primary.connection.send(report)
        elif not report.complete:
            primary.connection.send(self._demand.summary_of(self._own_ip, report.keys))

    def tell_primary(self, now: float) -> None:
        """Tell the whole sum: once in an interval, and at once to a new primary."""
        primary = self._find_primary()
        if primary is None or not primary.takes_sums:
            return
        summary = self._demand.summary(self._own_ip, now)
        if summary is not None:
            primary.connection.send(summary)
