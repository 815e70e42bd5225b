"""When a new primary may give its first load order.

Two holders must not take turns within the lease time. A successor therefore waits for it and for an order
that was under way, which may take until the call's limit. Where workers check no fences, it also waits for as
long as a primary that was cut off goes on to believe in its lease.

Where workers check fences, whatever a failed holder still sends is refused. The successor of a holder whose
link broke while it held the role need not wait then, if no other holder can have been between the two.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from rookwood.controlplane.worker_client import CALL_LIMIT
from rookwood.coordination.timing import Timing

LEASE_MARGIN = CALL_LIMIT + 0.1  # seconds; an order that was under way when its sender was deposed
LAST_ORDER_LIMIT = Timing.lease  # for so long a cut-off holder may go on to give orders
NOTICE_LIMIT = 0.5  # seconds from the end of a cut until links that it silenced are known to be broken
FIRST_EPOCH = 1


@dataclass(slots=True)
class PeerLink:
    """Whether the subscription to a control machine is open, and when it last broke."""

    open: bool = False
    broke_at: float = -1e9


@dataclass(frozen=True, slots=True)
class Holder:
    """A machine that was seen as the primary of an epoch, and since when."""

    ip: str
    epoch: int
    seen_at: float


@dataclass(slots=True)
class Tenure:
    """Tracks earlier holders of the right to give orders."""

    own_ip: str
    lease: float
    fenced: bool
    _links: dict[str, PeerLink] = field(default_factory=dict)
    _holders: dict[int, Holder] = field(default_factory=dict)

    def link_opened(self, peer: str) -> None:
        """A subscription to a control machine opened."""
        self._links.setdefault(peer, PeerLink()).open = True

    def link_closed(self, peer: str, now: float) -> None:
        """A subscription to a control machine ended."""
        link = self._links.setdefault(peer, PeerLink())
        if link.open:
            link.open = False
            link.broke_at = now

    def record_primary(self, ip: str, epoch: int, now: float) -> None:
        """A machine is the primary of an epoch; this one included."""
        if not ip or epoch in self._holders:
            return
        self._holders[epoch] = Holder(ip, epoch, now)
        for older in [known for known in self._holders if known < epoch - 1]:
            del self._holders[older]

    def may_issue_orders(self, epoch: int, since: float, now: float) -> bool:
        """Whether this machine, primary of `epoch` since `since`, may give orders."""
        if epoch <= FIRST_EPOCH or now - since > self._wait():
            return True
        return self.fenced and self._holder_before_failed(epoch, now)

    def _wait(self) -> float:
        wait = self.lease + LEASE_MARGIN
        return wait if self.fenced else wait + LAST_ORDER_LIMIT

    def _holder_before_failed(self, epoch: int, now: float) -> bool:
        """Whether the holder of the epoch right before is known, and out of touch since it was seen.

        It must have been the holder for long enough that the last orders of those before it are past.
        """
        holder = self._holders.get(epoch - 1)
        if holder is None or (holder.epoch > FIRST_EPOCH and now - holder.seen_at <= self._wait()):
            return False
        if holder.ip == self.own_ip:
            return True
        link = self._links.get(holder.ip)
        if link is None or link.broke_at < holder.seen_at:
            return False
        return not link.open or now - link.broke_at < self.lease - NOTICE_LIMIT
