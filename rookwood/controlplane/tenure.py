"""When a new primary may give its first load order.

Two holders must not take turns within the lease time. A primary whose link broke lately has failed or was
stopped; where workers check fences, whatever it still sends is refused, so its successor need not wait.
"""

from __future__ import annotations

from dataclasses import dataclass, field

LEASE_MARGIN = 0.3  # seconds


@dataclass(slots=True)
class PeerLink:
    """Whether the subscription to a control machine is open, and when it last broke."""

    open: bool = False
    broke_at: float = -1e9


@dataclass(slots=True)
class Tenure:
    """Tracks earlier holders of the right to give orders."""

    own_ip: str
    lease: float
    fenced: bool
    _links: dict[str, PeerLink] = field(default_factory=dict)
    _previous: str = ""
    _current: str = ""

    def linked(self, peer: str) -> None:
        """A subscription to a control machine opened."""
        self._links.setdefault(peer, PeerLink()).open = True

    def unlinked(self, peer: str, now: float) -> None:
        """A subscription to a control machine ended."""
        link = self._links.setdefault(peer, PeerLink())
        if link.open:
            link.open = False
            link.broke_at = now

    def primary_seen(self, ip: str) -> None:
        """A machine is the primary; this one included."""
        if ip and ip != self._current:
            self._previous, self._current = self._current, ip

    def may_order(self, epoch: int, since: float, now: float) -> bool:
        """Whether this machine, primary of `epoch` since `since`, may give orders."""
        if epoch <= 1 or now - since > self.lease + LEASE_MARGIN:
            return True
        return self.fenced and self._previous_failed(now)

    def _previous_failed(self, now: float) -> bool:
        if not self._previous or self._previous == self.own_ip:
            return self._previous == self.own_ip
        link = self._links.get(self._previous)
        if link is None:
            return False
        return not link.open or now - link.broke_at < self.lease
