"""Failure detection among peers: each one is watched by a few monitors that rendezvous hashing chooses.

A monitor that hears nothing from a peer for a while suspects it. The reports of the monitors are
collected anywhere; a peer is dead once a majority of its monitors suspect it. A peer that learns of a
suspicion refutes it with a higher incarnation. No I/O and no clock: time is passed in.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from rookwood.coordination.pauses import PauseDetector
from rookwood.coordination.rendezvous import rendezvous_weight, top

DEFAULT_MONITORS = 3


class PeerState(Enum):
    """What the collected reports say of a peer."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class ReportOrder:
    """Orders the reports of one reporter over its restarts."""

    incarnation: int
    sequence: int

    def follows(self, other: "ReportOrder") -> bool:
        """Tell whether this report was made after the other one."""
        return (self.incarnation, self.sequence) > (other.incarnation, other.sequence)


@dataclass(frozen=True, slots=True)
class Suspicion:
    """A monitor has heard nothing from a peer for too long."""

    peer: str
    incarnation: int
    reporter: str
    order: ReportOrder


@dataclass(frozen=True, slots=True)
class Refuted:
    """A reporter heard the peer again, or is that peer itself with a higher incarnation."""

    peer: str
    incarnation: int
    reporter: str
    order: ReportOrder


Report = Suspicion | Refuted


@dataclass(frozen=True, kw_only=True)
class MonitorTiming:
    """Spans in seconds. `pause_limit` must exceed the usual interval between ticks."""

    silence_limit: float = 1.0
    resend: float = 0.5
    pause_limit: float = 0.3


class MonitorAssignment:
    """The monitors of every member, kept up to date at a cost linear in the members for each change."""

    def __init__(self, monitors: int = DEFAULT_MONITORS) -> None:
        self._count = monitors
        self._monitors: dict[str, tuple[str, ...]] = {}
        self._lowest_weights: dict[str, int] = {}  # that a newcomer must reach to become a monitor

    def monitors_of(self, peer: str) -> tuple[str, ...]:
        """Return the monitors of a member, the one with the highest weight first."""
        return self._monitors.get(peer, ())

    def watched_by(self, monitor: str) -> frozenset[str]:
        """Return the members that a member watches."""
        return frozenset(peer for peer, monitors in self._monitors.items() if monitor in monitors)

    def set_members(self, members: Iterable[str]) -> None:
        """Replace the set of members."""
        wanted = frozenset(members)
        removed = frozenset(self._monitors) - wanted
        for member in removed:
            del self._monitors[member]
            del self._lowest_weights[member]
        for peer, monitors in self._monitors.items():
            if not removed.isdisjoint(monitors):
                self._choose(peer, self._monitors)
        for member in sorted(wanted - frozenset(self._monitors)):
            self._add(member)

    def _add(self, member: str) -> None:
        for peer, lowest in self._lowest_weights.items():
            if rendezvous_weight(peer, member) >= lowest:
                self._choose(peer, (*self._monitors[peer], member))
        self._monitors[member] = ()
        self._choose(member, self._monitors)

    def _choose(self, peer: str, candidates: Iterable[str]) -> None:
        others = (candidate for candidate in candidates if candidate != peer)
        monitors = tuple(top(peer, others, self._count))
        full = len(monitors) == self._count
        self._monitors[peer] = monitors
        self._lowest_weights[peer] = rendezvous_weight(peer, monitors[-1]) if full else 0


class SuspicionLog:
    """The newest report of each reporter on each peer, and the incarnations they refer to."""

    def __init__(self) -> None:
        self._incarnations: dict[str, int] = {}
        self._reports: dict[str, dict[str, Report]] = {}

    def incarnation(self, peer: str) -> int:
        """Return the highest incarnation known of a peer."""
        return self._incarnations.get(peer, 0)

    def raise_incarnation(self, peer: str, incarnation: int) -> None:
        """Take note of an incarnation; suspicions of lower ones no longer count."""
        if incarnation > self.incarnation(peer):
            self._incarnations[peer] = incarnation

    def take(self, report: Report) -> None:
        """Keep a report unless the same reporter has made a later one."""
        self.raise_incarnation(report.peer, report.incarnation)
        reports = self._reports.setdefault(report.peer, {})
        known = reports.get(report.reporter)
        if known is None or report.order.follows(known.order):
            reports[report.reporter] = report

    def suspecting(self, peer: str) -> frozenset[str]:
        """Return the reporters whose newest report suspects the current incarnation of the peer."""
        return frozenset(suspicion.reporter for suspicion in self.suspicions(peer))

    def suspicions(self, peer: str) -> list[Report]:
        """Return the newest reports that suspect the current incarnation of the peer."""
        incarnation = self.incarnation(peer)
        return [
            report
            for report in self._reports.get(peer, {}).values()
            if isinstance(report, Suspicion) and report.incarnation == incarnation
        ]

    def reported(self) -> frozenset[str]:
        """Return the peers on which any report was taken."""
        return frozenset(self._reports)

    def forget_others(self, members: frozenset[str]) -> None:
        """Drop what is known of peers, and told by reporters, that are no members any more."""
        for peer in self._reports.keys() - members:
            del self._reports[peer]
        for reports in self._reports.values():
            for reporter in reports.keys() - members:
                del reports[reporter]
        for peer in self._incarnations.keys() - members:
            del self._incarnations[peer]


@dataclass(slots=True)
class _Watch:
    heard_at: float
    reported_at: float | None = None


class PeerMonitor:
    """One member's part: watches its peers, collects reports of all, and refutes those on itself."""

    def __init__(
        self,
        me: str,
        incarnation: int,
        now: float,
        *,
        monitors: int = DEFAULT_MONITORS,
        timing: MonitorTiming | None = None,
    ) -> None:
        """Begin a life; `incarnation` is higher than in every earlier life, such as its start time."""
        self._me = me
        self._own_life = incarnation
        self._timing = timing or MonitorTiming()
        self._pauses = PauseDetector(self._timing.pause_limit, now)
        self._assignment = MonitorAssignment(monitors)
        self._log = SuspicionLog()
        self._log.raise_incarnation(me, incarnation)
        self._members: frozenset[str] = frozenset()
        self._dead: frozenset[str] = frozenset()
        self._watches: dict[str, _Watch] = {}
        self._sequence = 0
        self._outbox: list[Report] = []

    @property
    def incarnation(self) -> int:
        """The own incarnation, which heartbeats to the monitors carry."""
        return self._log.incarnation(self._me)

    @property
    def watched(self) -> frozenset[str]:
        """The peers from which heartbeats are expected."""
        return frozenset(self._watches)

    @property
    def dead(self) -> frozenset[str]:
        """The members that a majority of their monitors suspect."""
        return self._dead

    def state(self, peer: str) -> PeerState:
        """Return what the reports say of a peer."""
        if peer in self._dead:
            return PeerState.DEAD
        return PeerState.SUSPECTED if self._log.suspecting(peer) else PeerState.ALIVE

    def set_members(self, members: Iterable[str], now: float) -> None:
        """Replace the members; a peer that is newly watched has the whole silence limit."""
        self._members = frozenset(members) | {self._me}
        self._log.forget_others(self._members)
        self._dead &= self._members
        self._reassign(now)

    def heard(self, peer: str, now: float, incarnation: int = 0) -> None:
        """A heartbeat came from the peer itself."""
        suspecting = self._log.suspecting(peer)
        raised = incarnation > self._log.incarnation(peer)
        self._log.raise_incarnation(peer, incarnation)
        watch = self._watches.get(peer)
        if watch is not None:
            watch.heard_at = now
            watch.reported_at = None
        if self._me in suspecting or (suspecting and raised):
            self._report(Refuted(peer, self._log.incarnation(peer), self._me, self._next_order()))
        self._judge(now, (peer,))

    def reports_on(self, peer: str) -> list[Report]:
        """Return the suspicions that count against a peer, to be sent to it when it comes back."""
        return self._log.suspicions(peer)

    def tick(self, now: float) -> list[Report]:
        """Return the reports to send to the other members, those on a peer to that peer as well."""
        if self._pauses.detect_pause(now):
            self._restart_watches(now)
        for peer, watch in self._watches.items():
            if self._must_report(watch, now):
                watch.reported_at = now
                self._report(Suspicion(peer, self._log.incarnation(peer), self._me, self._next_order()))
        self._judge(now, tuple(self._watches))
        reports, self._outbox = self._outbox, []
        return reports

    def take_report(self, report: Report, now: float) -> None:
        """Take in a report of another member; one that suspects this member is refuted."""
        if report.peer == self._me:
            self._refute(report)
        elif report.peer in self._members:
            self._log.take(report)
            self._judge(now, (report.peer,))

    def _refute(self, report: Report) -> None:
        if not isinstance(report, Suspicion) or report.incarnation < self.incarnation:
            return
        self._log.raise_incarnation(self._me, report.incarnation + 1)
        self._report(Refuted(self._me, self.incarnation, self._me, self._next_order()))

    def _report(self, report: Report) -> None:
        self._log.take(report)
        self._outbox.append(report)

    def _next_order(self) -> ReportOrder:
        self._sequence += 1
        return ReportOrder(self._own_life, self._sequence)

    def _must_report(self, watch: _Watch, now: float) -> bool:
        if now - watch.heard_at < self._timing.silence_limit:
            return False
        return watch.reported_at is None or now - watch.reported_at >= self._timing.resend

    def _restart_watches(self, now: float) -> None:
        for watch in self._watches.values():
            if watch.reported_at is None:
                watch.heard_at = now

    def _judge(self, now: float, peers: Iterable[str]) -> None:
        """Derive which of the peers died or came back.

        Monitors are drawn from the living, so each change is followed by a look at all that are suspected.
        """
        while True:
            judged = self._members.intersection(peers)
            died = {peer for peer in judged - self._dead if self._majority_suspects(peer)}
            revived = {peer for peer in judged & self._dead if not self._log.suspecting(peer)}
            if not died and not revived:
                return
            self._dead = (self._dead - revived) | died
            self._reassign(now)
            peers = self._log.reported()

    def _majority_suspects(self, peer: str) -> bool:
        monitors = self._assignment.monitors_of(peer)
        suspecting = self._log.suspecting(peer).intersection(monitors)
        return 2 * len(suspecting) > len(monitors)

    def _reassign(self, now: float) -> None:
        self._assignment.set_members(self._members - self._dead)
        watched = self._assignment.watched_by(self._me)
        for peer in self._watches.keys() - watched:
            del self._watches[peer]
        for peer in watched - self._watches.keys():
            self._watches[peer] = _Watch(now)
