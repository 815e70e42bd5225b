"""Failure detection among peers: each peer is watched by a few monitors, chosen by rendezvous hashing.

A monitor that receives no heartbeat from a peer for a while suspects it. Every member collects the reports of
the monitors, and considers a peer dead once a majority of its monitors suspect it. A peer that learns of a
suspicion refutes it with a higher incarnation. This module does no I/O and reads no clock; the time is passed
in.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from rookwood.coordination.pauses import PauseDetector
from rookwood.coordination.rendezvous import rendezvous_weight, top_members

DEFAULT_MONITORS = 3


class PeerState(Enum):
    """The state of a peer according to the collected reports."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class ReportOrder:
    """The order of the reports of one reporter, across its restarts."""

    incarnation: int
    sequence: int

    def follows(self, other: "ReportOrder") -> bool:
        """Return whether this report was made after the other one."""
        return (self.incarnation, self.sequence) > (other.incarnation, other.sequence)


@dataclass(frozen=True, slots=True)
class Suspicion:
    """A monitor reports that it received no heartbeat from a peer for too long."""

    peer: str
    incarnation: int
    reporter: str
    order: ReportOrder


@dataclass(frozen=True, slots=True)
class Refutation:
    """A monitor received a heartbeat of the peer again, or the peer itself reports a higher incarnation."""

    peer: str
    incarnation: int
    reporter: str
    order: ReportOrder


Report = Suspicion | Refutation


@dataclass(frozen=True, kw_only=True)
class MonitorTiming:
    """Timeouts in seconds; `pause_limit` must exceed the usual interval between ticks.

    silence_limit   time without a heartbeat after which a peer is suspected
    resend          interval at which a suspicion is reported again
    pause_limit     time between two ticks after which the process counts as stalled
    """

    silence_limit: float = 1.0
    resend: float = 0.5
    pause_limit: float = 0.3


class MonitorAssignment:
    """The monitors of every member; each change of a member costs time linear in the number of members."""

    def __init__(self, monitor_count: int = DEFAULT_MONITORS) -> None:
        self._count = monitor_count
        self._monitors: dict[str, tuple[str, ...]] = {}
        self._lowest_weights: dict[str, int] = {}  # per peer, the weight that a new monitor must reach

    def monitors_of(self, peer: str) -> tuple[str, ...]:
        """Return the monitors of a member, in descending order of weight."""
        return self._monitors.get(peer, ())

    def watched_by(self, monitor: str) -> frozenset[str]:
        """Return the members that this member watches."""
        return frozenset(peer for peer, monitors in self._monitors.items() if monitor in monitors)

    def set_members(self, members: Iterable[str]) -> None:
        """Replace the set of members."""
        current = frozenset(members)
        removed = frozenset(self._monitors) - current
        for member in removed:
            del self._monitors[member]
            del self._lowest_weights[member]
        for peer, monitors in self._monitors.items():
            if not removed.isdisjoint(monitors):
                self._choose_monitors(peer, self._monitors)
        for member in sorted(current - frozenset(self._monitors)):
            self._add(member)

    def _add(self, member: str) -> None:
        for peer, lowest in self._lowest_weights.items():
            if rendezvous_weight(peer, member) >= lowest:
                self._choose_monitors(peer, (*self._monitors[peer], member))
        self._monitors[member] = ()
        self._choose_monitors(member, self._monitors)

    def _choose_monitors(self, peer: str, candidates: Iterable[str]) -> None:
        others = (candidate for candidate in candidates if candidate != peer)
        monitors = tuple(top_members(peer, others, self._count))
        is_full = len(monitors) == self._count
        self._monitors[peer] = monitors
        self._lowest_weights[peer] = rendezvous_weight(peer, monitors[-1]) if is_full else 0


class SuspicionLog:
    """The newest report of each reporter about each peer, and the peers' incarnations."""

    def __init__(self) -> None:
        self._incarnations: dict[str, int] = {}
        self._reports: dict[str, dict[str, Report]] = {}

    def incarnation(self, peer: str) -> int:
        """Return the highest known incarnation of a peer."""
        return self._incarnations.get(peer, 0)

    def raise_incarnation(self, peer: str, incarnation: int) -> None:
        """Record an incarnation; suspicions of lower ones no longer count."""
        if incarnation > self.incarnation(peer):
            self._incarnations[peer] = incarnation

    def add(self, report: Report) -> None:
        """Add a report, unless there is a later one of the same reporter."""
        self.raise_incarnation(report.peer, report.incarnation)
        reports = self._reports.setdefault(report.peer, {})
        known = reports.get(report.reporter)
        if known is None or report.order.follows(known.order):
            reports[report.reporter] = report

    def suspecting_reporters(self, peer: str) -> frozenset[str]:
        """Return the reporters whose newest report suspects the peer's current incarnation."""
        return frozenset(suspicion.reporter for suspicion in self.suspicions(peer))

    def suspicions(self, peer: str) -> list[Report]:
        """Return the newest reports that suspect the peer's current incarnation."""
        incarnation = self.incarnation(peer)
        return [
            report
            for report in self._reports.get(peer, {}).values()
            if isinstance(report, Suspicion) and report.incarnation == incarnation
        ]

    def reported_peers(self) -> frozenset[str]:
        """Return the peers about which there is any report."""
        return frozenset(self._reports)

    def retain_members(self, members: frozenset[str]) -> None:
        """Remove the reports about and by processes that are not members any more, and their incarnations."""
        for peer in self._reports.keys() - members:
            del self._reports[peer]
        for reports in self._reports.values():
            for reporter in reports.keys() - members:
                del reports[reporter]
        for peer in self._incarnations.keys() - members:
            del self._incarnations[peer]


@dataclass(slots=True)
class _Watch:
    """When the last heartbeat of a watched peer arrived, and when it was last reported as suspected."""

    last_heartbeat_at: float
    reported_at: float | None = None


class PeerMonitor:
    """One member's failure detector: it watches peers, collects reports, and refutes those about itself."""

    def __init__(
        self,
        identity: str,
        incarnation: int,
        now: float,
        *,
        monitor_count: int = DEFAULT_MONITORS,
        timing: MonitorTiming | None = None,
    ) -> None:
        """Start with an incarnation that is higher than any earlier one of this member, as its start time."""
        self._identity = identity
        self._start_incarnation = incarnation
        self._timing = timing or MonitorTiming()
        self._pause_detector = PauseDetector(self._timing.pause_limit, now)
        self._assignment = MonitorAssignment(monitor_count)
        self._reports = SuspicionLog()
        self._reports.raise_incarnation(identity, incarnation)
        self._members: frozenset[str] = frozenset()
        self._dead_peers: frozenset[str] = frozenset()
        self._watches: dict[str, _Watch] = {}
        self._sequence = 0
        self._outbox: list[Report] = []

    @property
    def incarnation(self) -> int:
        """This member's current incarnation, which its heartbeats to the monitors must carry."""
        return self._reports.incarnation(self._identity)

    @property
    def watched_peers(self) -> frozenset[str]:
        """The peers from which heartbeats are expected."""
        return frozenset(self._watches)

    @property
    def dead_peers(self) -> frozenset[str]:
        """The members that are suspected by a majority of their monitors."""
        return self._dead_peers

    def state(self, peer: str) -> PeerState:
        """Return the state of a peer according to the reports."""
        if peer in self._dead_peers:
            return PeerState.DEAD
        return PeerState.SUSPECTED if self._reports.suspecting_reporters(peer) else PeerState.ALIVE

    def set_members(self, members: Iterable[str], now: float) -> None:
        """Replace the members; the silence limit of a newly watched peer starts now."""
        self._members = frozenset(members) | {self._identity}
        self._reports.retain_members(self._members)
        self._dead_peers &= self._members
        self._reassign(now)

    def record_heartbeat(self, peer: str, now: float, incarnation: int = 0) -> None:
        """Record a heartbeat of a peer, and refute suspicions of it where that is due."""
        suspecting = self._reports.suspecting_reporters(peer)
        raised = incarnation > self._reports.incarnation(peer)
        self._reports.raise_incarnation(peer, incarnation)
        watch = self._watches.get(peer)
        if watch is not None:
            watch.last_heartbeat_at = now
            watch.reported_at = None
        if self._identity in suspecting or (suspecting and raised):
            self._report(
                Refutation(peer, self._reports.incarnation(peer), self._identity, self._next_order())
            )
        self._update_dead_peers(now, (peer,))

    def suspicions_of(self, peer: str) -> list[Report]:
        """Return the suspicions that count against a peer, to be sent to it when it returns."""
        return self._reports.suspicions(peer)

    def tick(self, now: float) -> list[Report]:
        """Return the reports to send to the other members, including the peers that they are about."""
        if self._pause_detector.detect_pause(now):
            self._restart_watches(now)
        for peer, watch in self._watches.items():
            if self._is_report_due(watch, now):
                watch.reported_at = now
                self._report(
                    Suspicion(peer, self._reports.incarnation(peer), self._identity, self._next_order())
                )
        self._update_dead_peers(now, tuple(self._watches))
        reports, self._outbox = self._outbox, []
        return reports

    def receive_report(self, report: Report, now: float) -> None:
        """Process a report of another member; a suspicion of this member is refuted."""
        if report.peer == self._identity:
            self._refute(report)
        elif report.peer in self._members:
            self._reports.add(report)
            self._update_dead_peers(now, (report.peer,))

    def _refute(self, report: Report) -> None:
        if not isinstance(report, Suspicion) or report.incarnation < self.incarnation:
            return
        self._reports.raise_incarnation(self._identity, report.incarnation + 1)
        self._report(Refutation(self._identity, self.incarnation, self._identity, self._next_order()))

    def _report(self, report: Report) -> None:
        self._reports.add(report)
        self._outbox.append(report)

    def _next_order(self) -> ReportOrder:
        self._sequence += 1
        return ReportOrder(self._start_incarnation, self._sequence)

    def _is_report_due(self, watch: _Watch, now: float) -> bool:
        if now - watch.last_heartbeat_at < self._timing.silence_limit:
            return False
        return watch.reported_at is None or now - watch.reported_at >= self._timing.resend

    def _restart_watches(self, now: float) -> None:
        for watch in self._watches.values():
            if watch.reported_at is None:
                watch.last_heartbeat_at = now

    def _update_dead_peers(self, now: float, peers: Iterable[str]) -> None:
        """Update which of the peers are dead.

        Monitors are chosen among the living members, so after each change all peers with reports are checked
        again.
        """
        while True:
            checked = self._members.intersection(peers)
            died = {peer for peer in checked - self._dead_peers if self._majority_suspects(peer)}
            revived = {
                peer for peer in checked & self._dead_peers if not self._reports.suspecting_reporters(peer)
            }
            if not died and not revived:
                return
            self._dead_peers = (self._dead_peers - revived) | died
            self._reassign(now)
            peers = self._reports.reported_peers()

    def _majority_suspects(self, peer: str) -> bool:
        monitors = self._assignment.monitors_of(peer)
        suspecting = self._reports.suspecting_reporters(peer).intersection(monitors)
        return 2 * len(suspecting) > len(monitors)

    def _reassign(self, now: float) -> None:
        self._assignment.set_members(self._members - self._dead_peers)
        watched = self._assignment.watched_by(self._identity)
        for peer in self._watches.keys() - watched:
            del self._watches[peer]
        for peer in watched - self._watches.keys():
            self._watches[peer] = _Watch(now)
