"""Decides when a new primary may issue its first load order.

Orders of two primaries must be at least the lease time apart. A new primary therefore waits for the lease
time, and for an order that was under way, which may take until the call's time limit. Where workers check no
fences, it also waits for as long as a previous primary that was cut off may still rely on its own lease.

Where workers check fences, they reject whatever a failed primary still sends. If the link to the previous
primary broke during its tenure, and no other primary can have been between the two, the new one need not
wait.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from rookwood.controlplane.worker_client import CALL_LIMIT
from rookwood.coordination.timing import Timing

LEASE_MARGIN = CALL_LIMIT + 0.1  # seconds; for an order that was under way when its sender was deposed
LAST_ORDER_LIMIT = Timing.lease  # seconds for which a primary that was cut off may still issue orders
LINK_FAILURE_DETECTION_LIMIT = 0.5  # seconds from the end of a partition until links broken by it are closed
FIRST_EPOCH = 1


@dataclass(slots=True)
class PeerLink:
    """Whether the subscription to a control machine is open, and when it last ended."""

    open: bool = False
    broke_at: float = -1e9


@dataclass(frozen=True, slots=True)
class ObservedPrimary:
    """The primary of an epoch, and when this machine first observed it."""

    ip: str
    epoch: int
    seen_at: float


@dataclass(slots=True)
class Tenure:
    """Tracks the primaries that may have issued orders before, and the links to them."""

    own_ip: str
    lease: float
    fenced: bool
    _links: dict[str, PeerLink] = field(default_factory=dict)
    _primaries: dict[int, ObservedPrimary] = field(default_factory=dict)

    def link_opened(self, peer: str) -> None:
        """Record that the subscription to a control machine opened."""
        self._links.setdefault(peer, PeerLink()).open = True

    def link_closed(self, peer: str, now: float) -> None:
        """Record that the subscription to a control machine ended."""
        link = self._links.setdefault(peer, PeerLink())
        if link.open:
            link.open = False
            link.broke_at = now

    def record_primary(self, ip: str, epoch: int, now: float) -> None:
        """Record that a machine, which may be this one, is the primary of an epoch."""
        if not ip or epoch in self._primaries:
            return
        self._primaries[epoch] = ObservedPrimary(ip, epoch, now)
        for older in [recorded for recorded in self._primaries if recorded < epoch - 1]:
            del self._primaries[older]

    def may_issue_orders(self, epoch: int, since: float, now: float) -> bool:
        """Whether this machine, the primary of `epoch` since the time `since`, may issue orders."""
        if epoch <= FIRST_EPOCH or now - since > self._wait_seconds():
            return True
        return self.fenced and self._previous_primary_failed(epoch, now)

    def _wait_seconds(self) -> float:
        wait = self.lease + LEASE_MARGIN
        return wait if self.fenced else wait + LAST_ORDER_LIMIT

    def _previous_primary_failed(self, epoch: int, now: float) -> bool:
        """Whether the primary of the preceding epoch is known, and its link broke during its tenure.

        The link must still be closed, or have broken only recently. The tenure must have been long enough
        that no order of an earlier primary can still arrive.
        """
        previous = self._primaries.get(epoch - 1)
        if previous is None or (
            previous.epoch > FIRST_EPOCH and now - previous.seen_at <= self._wait_seconds()
        ):
            return False
        if previous.ip == self.own_ip:
            return True
        link = self._links.get(previous.ip)
        if link is None or link.broke_at < previous.seen_at:
            return False
        return not link.open or now - link.broke_at < self.lease - LINK_FAILURE_DETECTION_LIMIT
