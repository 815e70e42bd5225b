"""How a dispatcher comes to the newest configuration: one request under way, whatever is announced.

Control machines announce the position of the newest committed configuration. The follower asks one of them at
a time for what it lacks, and again only when it was answered, the link broke, or the answer is overdue. So a
dispatcher that is slow, or has a thin link, skips versions instead of falling behind.

Each dispatcher prefers the control machines in an order of its own, by rendezvous hashing, which spreads the
requests over them. One that announces a position before those that are preferred is asked a moment later.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from rookwood.cluster.invariants import INVARIANTS, Invariant, InvariantCounter
from rookwood.cluster.messages import (
    ConfigurationBody,
    ConfigurationDelta,
    FetchConfiguration,
    HeartbeatAnswer,
    Message,
    Status,
)
from rookwood.cluster.position import NO_CONFIGURATION, ConfigurationPosition
from rookwood.cluster.progress import ConfigurationProgress
from rookwood.clusterconfig.configuration_store import Applied, ApplyOutcome
from rookwood.clusterconfig.items import ItemChanges
from rookwood.coordination.rendezvous import rendezvous_weight

# Four machines can be asked in turn within the shortest time in which a change must be in force.
RESPONSE_TIMEOUT = 0.5  # seconds
PREFERENCE_PAUSE = 0.03  # seconds by which a machine is asked later for each one that is preferred to it
LEVEL_AGE = 1.0  # seconds since a heartbeat for which its answer is taken for the present state
AVOIDANCE = 2.0  # seconds for which a machine that did not answer is the last to be asked

TakeWhole = Callable[[bytes], ApplyOutcome]
TakeChanges = Callable[[ItemChanges, int], ApplyOutcome]


@dataclass(frozen=True, slots=True)
class Request:
    """A request for the configuration, and the control machine that it goes to."""

    peer: str
    message: FetchConfiguration


@dataclass(slots=True)
class Announcement:
    """The newest position that a control machine told, and when it first told one beyond ours.

    `confirmed_at` is when the last heartbeat was sent that it answered while in touch with the primary.
    """

    position: ConfigurationPosition
    primary: bool
    fresh: bool
    since: float
    confirmed_at: float = float("-inf")


@dataclass(frozen=True, slots=True)
class Turn:
    """From when on a control machine may be asked."""

    peer: str
    begins: float


@dataclass(frozen=True, slots=True)
class UnderWay:
    """The request that waits for its answer."""

    peer: str
    asked_at: float


class ConfigurationFollower:
    """Keeps the configuration of one process up to date; it never goes back to an older position.

    The first configuration must be confirmed by a majority since this process started: a control machine
    that is cut off from the others may hold an old one. Later ones need only be newer.
    """

    def __init__(
        self,
        identity: str,
        take_whole: TakeWhole,
        take_changes: TakeChanges,
        progress: ConfigurationProgress | None = None,
        invariants: InvariantCounter = INVARIANTS,
    ) -> None:
        self.progress = progress or ConfigurationProgress()
        self._invariants = invariants
        self._identity = identity
        self._take_whole = take_whole
        self._take_changes = take_changes
        self._announcements: dict[str, Announcement] = {}
        self._under_way: UnderWay | None = None
        self._avoided_until: dict[str, float] = {}
        self._needs_whole = False
        self.position = NO_CONFIGURATION
        self.confirmed = False

    @property
    def newest(self) -> ConfigurationPosition:
        """The newest position that a linked machine announced, or the own one."""
        announced = (announcement.position for announcement in self._announcements.values())
        return max(announced, default=NO_CONFIGURATION)

    def is_up_to_date(self, now: float) -> bool:
        """Whether a machine in touch with the primary just confirmed this position, and none told a newer.

        Only the answer to a heartbeat confirms. A status does not tell when it was sent: this process may
        have stood still since, or the link may be slow.
        """
        informed = any(
            known.fresh and now - known.confirmed_at < LEVEL_AGE for known in self._announcements.values()
        )
        return informed and self.newest <= self.position

    def message_received(self, peer: str, message: Message, now: float) -> None:
        """Take in a message; those that tell nothing of configurations are passed over."""
        if isinstance(message, Status):
            self.announced(peer, message, now)
        elif isinstance(message, HeartbeatAnswer):
            self.confirmed_by(peer, message, now)
        elif isinstance(message, ConfigurationBody):
            self.take_whole(peer, message, now)
        elif isinstance(message, ConfigurationDelta):
            self.take_delta(peer, message, now)

    def announced(self, peer: str, status: Status, now: float) -> None:
        """A control machine told its newest position; over one link, positions only rise.

        A status may have been made before an answer that came sooner, so it takes nothing back.
        """
        known = self._announcements.get(peer)
        if status.config_sequence <= 0 and known is None:
            return
        position = max(status.position, known.position) if known is not None else status.position
        announcement = Announcement(position, status.claims_primary, status.fresh, since=now)
        if known is not None:
            announcement.confirmed_at = known.confirmed_at
            if known.position > self.position:
                announcement.since = known.since
        self._announcements[peer] = announcement
        self.progress.announce(position)

    def confirmed_by(self, peer: str, answer: HeartbeatAnswer, now: float) -> None:
        """A control machine answered a heartbeat; its status came before."""
        known = self._announcements.get(peer)
        if known is None:
            return
        if answer.position > known.position:
            if known.position <= self.position:
                known.since = now
            known.position = answer.position
            self.progress.announce(answer.position)
        known.fresh = answer.fresh
        if answer.fresh:
            known.confirmed_at = answer.heartbeat_sent_at

    def link_closed(self, peer: str) -> None:
        """The link to a control machine ended; what was asked there is not answered any more."""
        self._announcements.pop(peer, None)
        if not self._has_news():
            self.progress.expect_nothing()
        if self._under_way is not None and self._under_way.peer == peer:
            self._under_way = None

    def take_whole(self, peer: str, body: ConfigurationBody, now: float) -> None:
        """A whole configuration came."""
        self._answered(peer)
        if body.position <= self.position or not (self.confirmed or body.confirmed):
            return
        if body.source and not isinstance(self._take_whole(body.source), Applied):
            self._under_way = UnderWay(peer, now)  # another machine is asked, after a pause
            return
        self.confirmed = True
        self._advance(body.position, now)

    def take_delta(self, peer: str, delta: ConfigurationDelta, now: float) -> None:
        """Changes came; those since the position in force that do not fit make it ask for the whole.

        Changes since an older position answer an earlier request. Those that do not fit any more are dropped:
        the next request tells the position in force.
        """
        self._answered(peer)
        if not delta.base <= self.position < delta.position or not self.confirmed:
            return
        if isinstance(self._take_changes(delta.changes, delta.digest), Applied):
            self._advance(delta.position, now)
            return
        if delta.base < self.position:
            return
        detail = f"{delta.base} to {delta.position} on {self.position}"
        self._invariants.violated(Invariant.DELTA_FITS, detail)
        self._needs_whole = True

    def restart_response_timeout(self, peer: str, now: float) -> None:
        """A part of a message is coming from a machine: what is under way there is not overdue yet."""
        if self._under_way is not None and self._under_way.peer == peer:
            self._under_way = UnderWay(peer, now)

    @property
    def awaited_peer(self) -> str | None:
        """The machine whose answer is waited for."""
        return self._under_way.peer if self._under_way is not None else None

    def overdue_peer(self, now: float) -> str | None:
        """The machine whose answer is overdue."""
        under_way = self._under_way
        if under_way is None or now - under_way.asked_at <= RESPONSE_TIMEOUT:
            return None
        return under_way.peer

    def next_request(self, now: float) -> Request | None:
        """The request to send now, if there is one; it counts as sent."""
        self._give_up_overdue(now)
        if self._under_way is not None:
            return None
        peer = self._choose(now)
        if peer is None:
            return None
        self._under_way = UnderWay(peer, now)
        base = NO_CONFIGURATION if self._needs_whole else self.position
        sequence = self._announcements[peer].position.sequence
        message = FetchConfiguration(sequence, not self.confirmed, base.epoch, base.sequence)
        return Request(peer, message)

    def next_wakeup(self, now: float) -> float | None:
        """When `next_request` is to be called again without news; None if news come first."""
        if self._under_way is not None:
            return self._under_way.asked_at + RESPONSE_TIMEOUT
        return min((turn.begins for turn in self._turns(now) if turn.begins > now), default=None)

    def _choose(self, now: float) -> str | None:
        """The most preferred machine that has news, once those before it had their chance to have them."""
        return next((turn.peer for turn in self._turns(now) if turn.begins <= now), None)

    def _turns(self, now: float) -> list[Turn]:
        """From when on each machine that has news may be asked, the most preferred one first."""
        if not self._has_news():
            return []
        if not self.confirmed:
            return [Turn(peer, now) for peer in self._preferred(now) if self._announcements[peer].primary]
        turns = []
        for rank, peer in enumerate(self._preferred(now)):
            known = self._announcements[peer]
            if known.position > self.position:
                turns.append(Turn(peer, known.since + rank * PREFERENCE_PAUSE))
        return turns

    def _preferred(self, now: float) -> list[str]:
        return sorted(self._announcements, key=lambda peer: self._preference(peer, now))

    def _has_news(self) -> bool:
        return self.newest > self.position

    def _preference(self, peer: str, now: float) -> tuple[bool, int]:
        avoided = self._avoided_until.get(peer, now) > now
        return avoided, -rendezvous_weight(f"configuration {self._identity}", peer)

    def _give_up_overdue(self, now: float) -> None:
        peer = self.overdue_peer(now)
        if peer is not None:
            self._avoided_until[peer] = now + AVOIDANCE
            self._under_way = None

    def _answered(self, peer: str) -> None:
        if self._under_way is not None and self._under_way.peer == peer:
            self._under_way = None
        self._avoided_until.pop(peer, None)

    def _advance(self, position: ConfigurationPosition, now: float) -> None:
        self.position = position
        self._needs_whole = False
        self.progress.put_in_force(position)
        for announcement in self._announcements.values():
            announcement.since = now
