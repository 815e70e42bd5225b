"""Sends the primary the summed demand of the dispatchers that this control machine feeds.

The sum is sent at regular intervals. Demand of requests that have begun to wait for weights is sent at once.
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
    """The link to a primary on another machine, and the protocol release of that primary."""

    connection: Connection
    release: int

    @property
    def accepts_summaries(self) -> bool:
        """Whether the primary accepts summaries; an older one needs the reports themselves."""
        return self.release >= RELEASE_WITH_RELAYED_FEED


FindPrimary = Callable[[], PrimaryLink | None]
"""Returns the link to the primary; None if this machine is the primary or has no link to it."""


class DemandRelay:
    """Relays reports to the primary; they are summed in `demand`, which the load planner here also reads."""

    def __init__(self, own_ip: str, demand: DemandSum, find_primary: FindPrimary) -> None:
        self._own_ip = own_ip
        self._demand = demand
        self._find_primary = find_primary

    def relay_report(self, report: DemandReport) -> None:
        """Relay a dispatcher's report, which is already recorded in the sum.

        A primary that accepts summaries gets complete reports only with the next summary.
        """
        primary = self._find_primary()
        if primary is None:
            return
        if not primary.accepts_summaries:
            primary.connection.send(report)
        elif not report.complete:
            primary.connection.send(self._demand.partial_summary(self._own_ip, report.keys))

    def send_summary(self, now: float) -> None:
        """Send the summary of all keys; called at regular intervals, and when the primary changes."""
        primary = self._find_primary()
        if primary is None or not primary.accepts_summaries:
            return
        summary = self._demand.summary(self._own_ip, now)
        if summary is not None:
            primary.connection.send(summary)
