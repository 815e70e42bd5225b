"""Decides when a dispatcher fetches the configuration and from which control machine; no I/O.

Control machines announce the position of the newest committed configuration. The follower has at most one
fetch request pending, and sends the next one only after the response, the loss of the link or a timeout. A
dispatcher that is slow or has little bandwidth therefore skips versions instead of falling behind.

Each dispatcher ranks the control machines by rendezvous hashing, which spreads the requests over them. A
machine that announces a position before the higher-ranked ones do is asked after a short delay.
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

# Four machines can be asked one after the other within the shortest time allowed for applying a change.
RESPONSE_TIMEOUT = 0.5  # seconds
PREFERENCE_DELAY = 0.03  # seconds of delay for each higher-ranked machine
HEARTBEAT_ANSWER_LIFETIME = 1.0  # seconds from sending a heartbeat for which the response to it counts
AVOIDANCE_PERIOD = 2.0  # seconds for which a machine that timed out is ranked last

ApplyFullConfiguration = Callable[[bytes], ApplyOutcome]
ApplyChanges = Callable[[ItemChanges, int], ApplyOutcome]


@dataclass(frozen=True, slots=True)
class FetchRequest:
    """A fetch request for the configuration and the control machine to send it to."""

    peer: str
    message: FetchConfiguration


@dataclass(slots=True)
class Announcement:
    """The newest position that a control machine announced, and its contact with the primary.

    `primary` and `fresh` repeat its claims to be the primary and to be in contact with it. The preference
    delays count from `delays_start_at`: when the machine first announced a position newer than the one in
    force, or when a configuration was last put in force. `confirmed_at` is the sending time of the last
    heartbeat to which the machine responded while in contact with the primary.
    """

    position: ConfigurationPosition
    primary: bool
    fresh: bool
    delays_start_at: float
    confirmed_at: float = float("-inf")


@dataclass(frozen=True, slots=True)
class EligiblePeer:
    """A control machine and the time from which it may be asked."""

    peer: str
    eligible_at: float


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """The fetch request without a response yet; `waiting_since` restarts with each part of the response."""

    peer: str
    waiting_since: float


class ConfigurationFollower:
    """Keeps the configuration of one process up to date; its position never decreases.

    A majority must have confirmed the first configuration after this process started, because a control
    machine that is cut off from the others may hold an old one. Later configurations only have to be newer.
    """

    def __init__(
        self,
        identity: str,
        apply_full: ApplyFullConfiguration,
        apply_changes: ApplyChanges,
        progress: ConfigurationProgress | None = None,
        invariants: InvariantCounter = INVARIANTS,
    ) -> None:
        self.progress = progress or ConfigurationProgress()
        self._invariants = invariants
        self._identity = identity
        self._apply_full = apply_full
        self._apply_changes = apply_changes
        self._announcements: dict[str, Announcement] = {}
        self._pending: PendingRequest | None = None
        self._avoided_until: dict[str, float] = {}
        self._needs_full = False
        self.position = NO_CONFIGURATION
        self.confirmed = False

    @property
    def newest_announced(self) -> ConfigurationPosition:
        """The newest position that a linked machine announced."""
        positions = (announcement.position for announcement in self._announcements.values())
        return max(positions, default=NO_CONFIGURATION)

    def is_up_to_date(self, now: float) -> bool:
        """Whether a machine in contact with the primary confirmed this position lately, and none has a newer.

        Only the answer to a heartbeat confirms a position. A status carries no sending time: it may have been
        delayed by a slow link or by a stall of this process.
        """
        confirmed_lately = any(
            known.fresh and now - known.confirmed_at < HEARTBEAT_ANSWER_LIFETIME
            for known in self._announcements.values()
        )
        return confirmed_lately and self.newest_announced <= self.position

    def message_received(self, peer: str, message: Message, now: float) -> None:
        """Handle a message; messages that do not concern the configuration are ignored."""
        if isinstance(message, Status):
            self.handle_status(peer, message, now)
        elif isinstance(message, HeartbeatAnswer):
            self.handle_heartbeat_answer(peer, message, now)
        elif isinstance(message, ConfigurationBody):
            self.handle_full_configuration(peer, message, now)
        elif isinstance(message, ConfigurationDelta):
            self.handle_delta(peer, message, now)

    def handle_status(self, peer: str, status: Status, now: float) -> None:
        """Update the announcement of a control machine; over one link, positions never decrease.

        A status may be older than a heartbeat answer that arrived before it, so it never lowers the position
        and keeps the time of the last confirmation.
        """
        known = self._announcements.get(peer)
        if status.config_sequence <= 0 and known is None:
            return
        position = max(status.position, known.position) if known is not None else status.position
        announcement = Announcement(position, status.claims_primary, status.fresh, delays_start_at=now)
        if known is not None:
            announcement.confirmed_at = known.confirmed_at
            if known.position > self.position:
                announcement.delays_start_at = known.delays_start_at
        self._announcements[peer] = announcement
        self.progress.announce(position)

    def handle_heartbeat_answer(self, peer: str, answer: HeartbeatAnswer, now: float) -> None:
        """Update the announcement from a heartbeat answer; ignored before the first status of the machine."""
        known = self._announcements.get(peer)
        if known is None:
            return
        if answer.position > known.position:
            if known.position <= self.position:
                known.delays_start_at = now
            known.position = answer.position
            self.progress.announce(answer.position)
        known.fresh = answer.fresh
        if answer.fresh:
            known.confirmed_at = answer.heartbeat_sent_at

    def link_closed(self, peer: str) -> None:
        """Forget a control machine whose link closed, and a request that is pending there."""
        self._announcements.pop(peer, None)
        if not self._is_behind():
            self.progress.clear_announced()
        if self._pending is not None and self._pending.peer == peer:
            self._pending = None

    def handle_full_configuration(self, peer: str, body: ConfigurationBody, now: float) -> None:
        """Apply a full configuration if it is newer, and confirmed where that is required."""
        self._record_response(peer)
        if body.position <= self.position or not (self.confirmed or body.confirmed):
            return
        if body.source and not isinstance(self._apply_full(body.source), Applied):
            # The next request is sent after the timeout, to another machine.
            self._pending = PendingRequest(peer, now)
            return
        self.confirmed = True
        self._advance_to(body.position, now)

    def handle_delta(self, peer: str, delta: ConfigurationDelta, now: float) -> None:
        """Apply a delta; if it does not fit the position in force, its base, fetch the full configuration.

        A delta with an older base responds to an earlier request. If it no longer fits it is dropped, since
        the next request names the position in force.
        """
        self._record_response(peer)
        if not delta.base <= self.position < delta.position or not self.confirmed:
            return
        if isinstance(self._apply_changes(delta.changes, delta.digest), Applied):
            self._advance_to(delta.position, now)
            return
        if delta.base < self.position:
            return
        detail = f"{delta.base} to {delta.position} on {self.position}"
        self._invariants.violated(Invariant.DELTA_FITS, detail)
        self._needs_full = True

    def restart_response_timeout(self, peer: str, now: float) -> None:
        """Restart the timeout of the request pending at a machine, from which a part of a message arrived."""
        if self._pending is not None and self._pending.peer == peer:
            self._pending = PendingRequest(peer, now)

    @property
    def awaited_peer(self) -> str | None:
        """The machine at which a fetch request is pending."""
        return self._pending.peer if self._pending is not None else None

    def overdue_peer(self, now: float) -> str | None:
        """The machine whose response is overdue."""
        pending = self._pending
        if pending is None or now - pending.waiting_since <= RESPONSE_TIMEOUT:
            return None
        return pending.peer

    def next_request(self, now: float) -> FetchRequest | None:
        """The request to send now, if any; it is pending from now on."""
        self._abandon_overdue_request(now)
        if self._pending is not None:
            return None
        peer = self._choose_peer(now)
        if peer is None:
            return None
        self._pending = PendingRequest(peer, now)
        base = NO_CONFIGURATION if self._needs_full else self.position
        sequence = self._announcements[peer].position.sequence
        message = FetchConfiguration(sequence, not self.confirmed, base.epoch, base.sequence)
        return FetchRequest(peer, message)

    def next_wakeup(self, now: float) -> float | None:
        """When to call `next_request` again unless a message arrives first; None if nothing is scheduled."""
        if self._pending is not None:
            return self._pending.waiting_since + RESPONSE_TIMEOUT
        return min(
            (candidate.eligible_at for candidate in self._eligible_peers(now) if candidate.eligible_at > now),
            default=None,
        )

    def _choose_peer(self, now: float) -> str | None:
        """The highest-ranked machine that is eligible now."""
        return next(
            (candidate.peer for candidate in self._eligible_peers(now) if candidate.eligible_at <= now), None
        )

    def _eligible_peers(self, now: float) -> list[EligiblePeer]:
        """Machines with a newer position and the times from which they may be asked, highest-ranked first.

        Before the first configuration only machines that claim to be the primary count, without a delay.
        """
        if not self._is_behind():
            return []
        if not self.confirmed:
            return [
                EligiblePeer(peer, now)
                for peer in self._peers_by_preference(now)
                if self._announcements[peer].primary
            ]
        eligible = []
        for rank, peer in enumerate(self._peers_by_preference(now)):
            known = self._announcements[peer]
            if known.position > self.position:
                eligible.append(EligiblePeer(peer, known.delays_start_at + rank * PREFERENCE_DELAY))
        return eligible

    def _peers_by_preference(self, now: float) -> list[str]:
        return sorted(self._announcements, key=lambda peer: self._preference_key(peer, now))

    def _is_behind(self) -> bool:
        return self.newest_announced > self.position

    def _preference_key(self, peer: str, now: float) -> tuple[bool, int]:
        avoided = self._avoided_until.get(peer, now) > now
        return avoided, -rendezvous_weight(f"configuration {self._identity}", peer)

    def _abandon_overdue_request(self, now: float) -> None:
        peer = self.overdue_peer(now)
        if peer is not None:
            self._avoided_until[peer] = now + AVOIDANCE_PERIOD
            self._pending = None

    def _record_response(self, peer: str) -> None:
        if self._pending is not None and self._pending.peer == peer:
            self._pending = None
        self._avoided_until.pop(peer, None)

    def _advance_to(self, position: ConfigurationPosition, now: float) -> None:
        self.position = position
        self._needs_full = False
        self.progress.put_in_force(position)
        for announcement in self._announcements.values():
            announcement.delays_start_at = now
