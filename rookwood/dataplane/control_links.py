"""Which control machines a dispatcher is linked to: one feeds it, and takes what it reports.

The others are not heard. Each machine passes on what the others tell, so a second feed would bring
everything a second time. The feeding machine is left for another one when its link ends, when it is silent,
when it is out of touch with the primary, or when it does not answer. A better one is tried on a second link
before the first is closed (`ParentChoice`), and taken once it says that it has run for a while and is in
touch: one that has just started may not know yet what the others told before.

Until the first configuration is confirmed, the primary is listened to as well: it alone can confirm.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from rookwood.cluster.connection import Connection
from rookwood.cluster.feed import LinkHandler, LinkSet, PositionReader, StallReader
from rookwood.cluster.messages import (
    PROTOCOL_RELEASE,
    RELEASE_WITH_RELAYED_FEED,
    ControlMachine,
    HeartbeatAnswer,
    Hello,
    Message,
    Status,
)
from rookwood.cluster.settings import NodeSettings
from rookwood.coordination.parent_choice import ParentChoice, ParentTiming
from rookwood.coordination.rendezvous import rendezvous_weight

TICK_INTERVAL = 0.25  # seconds
TIMING = ParentTiming(pause_limit=2 * TICK_INTERVAL)
OUT_OF_TOUCH_LIMIT = 0.6  # seconds beyond the lease; a successor of a lost primary is known by then
TIER_EDGE = "edge"


class ControlLinks:
    """Keeps the links; the handler is told of them and of what they bring."""

    def __init__(
        self,
        settings: NodeSettings,
        handler: LinkHandler,
        seeds: Callable[[], Iterable[str]],
        position: PositionReader,
        stalled: StallReader,
    ) -> None:
        self._identity = settings.ip
        self._zone = settings.zone
        self._handler = handler
        self._seeds = seeds
        hello = Hello(settings.ip, TIER_EDGE, settings.zone, PROTOCOL_RELEASE)
        self.links = LinkSet(settings.feed_port, hello, self, settings.ip, position, stalled)
        self._choice: ParentChoice | None = None
        self._roots: tuple[ControlMachine, ...] = ()
        self._releases: dict[str, int] = {}
        self._out_of_touch_since: float | None = None
        self._closed = False

    @property
    def feeding_machine(self) -> str | None:
        """The machine that feeds this dispatcher."""
        return self._choice.current_parent if self._choice is not None else None

    @property
    def hears_all(self) -> bool:
        """Whether the feeding machine is of a release that passes nothing on: then all are subscribed to."""
        feeding = self.feeding_machine
        return (
            feeding is not None and self._releases.get(feeding, PROTOCOL_RELEASE) < RELEASE_WITH_RELAYED_FEED
        )

    def tick(self, now: float, confirmed: bool, primary: str | None, members: Iterable[str]) -> None:
        """Do what is due; `primary` and `members` are the control machines that linked ones name."""
        candidates = self._ranked()
        if self._closed or not candidates:
            return
        if self._choice is None:
            self._choice = ParentChoice(candidates, now, TIMING)
        self._choice.set_parents(candidates, now)
        self._leave_if_out_of_touch(now)
        before = self._choice.current_parent
        self._choice.tick(now)
        if self._choice.current_parent != before:
            self._out_of_touch_since = None
        self._want(confirmed, primary, members)

    def record_overdue_answer(self, peer: str, now: float) -> None:
        """A machine did not answer a request for the configuration in time."""
        if self._choice is not None:
            self._choice.record_suspicion(peer, now)

    def accepts_notices_from(self, peer: str) -> bool:
        """Whether the work notices of a machine count: each reaches a dispatcher once."""
        return peer == self.feeding_machine or self.hears_all

    def connection(self, peer: str | None) -> Connection | None:
        """The open link to a peer, if there is one."""
        return self.links.connection(peer) if peer is not None else None

    def report_connection(self, primary: str | None) -> Connection | None:
        """The link for reports: to the machine that passes them on, or to the primary itself."""
        return self.connection(primary if self.hears_all else self.feeding_machine)

    def close(self) -> None:
        """Close all links for good."""
        self._closed = True
        self.links.close()

    # Called by the links

    def link_opened(self, peer: str, connection: Connection) -> None:
        """A link is open."""
        self._handler.link_opened(peer, connection)

    def message_received(self, peer: str, message: Message) -> None:
        """A message came."""
        self._handler.message_received(peer, message)

    def link_closed(self, peer: str) -> None:
        """A link ended."""
        self._handler.link_closed(peer)

    # Called by the handler, which knows the time

    def record_message(self, peer: str, message: Message, now: float) -> None:
        """Note that a machine is there, and what it tells of itself and of others."""
        if self._choice is None:
            return
        if peer == self._choice.current_parent or is_sound(message):
            self._choice.record_message(peer, now)
        if isinstance(message, Status):
            self._releases[peer] = message.release
            if peer == self._choice.current_parent and message.roots:
                self._roots = message.roots
        elif isinstance(message, HeartbeatAnswer) and peer == self._choice.current_parent:
            self._note_touch(message.fresh, now)

    def record_link_end(self, peer: str, now: float) -> None:
        """A link ended: if it was the feed, another machine is subscribed to at the next tick."""
        self._releases.pop(peer, None)
        if self._choice is not None and peer in (self._choice.current_parent, self._choice.trial_parent):
            self._choice.record_link_failure(peer, now)

    def _note_touch(self, fresh: bool, now: float) -> None:
        if fresh:
            self._out_of_touch_since = None
        elif self._out_of_touch_since is None:
            self._out_of_touch_since = now

    def _leave_if_out_of_touch(self, now: float) -> None:
        since = self._out_of_touch_since
        if since is not None and now - since > OUT_OF_TOUCH_LIMIT and self._choice is not None:
            self._choice.record_suspicion(self._choice.current_parent, now)
            self._out_of_touch_since = None

    def _ranked(self) -> list[str]:
        """The control machines in the order in which this dispatcher prefers them: its own zone's first."""
        zones = {machine.ip: machine.zone for machine in self._roots}
        key = f"feed {self._identity}"
        told = sorted(zones, key=lambda ip: (zones[ip] != self._zone, -rendezvous_weight(key, ip)))
        seeds = sorted(
            (ip for ip in set(self._seeds()) if ip not in zones), key=lambda ip: -rendezvous_weight(key, ip)
        )
        return [*told, *seeds]

    def _want(self, confirmed: bool, primary: str | None, members: Iterable[str]) -> None:
        assert self._choice is not None
        subscribed = {self._choice.current_parent} | (
            {self._choice.trial_parent} if self._choice.trial_parent else set()
        )
        if self.hears_all:
            self.links.set_peers(subscribed | set(self._seeds()) | set(members))
            return
        listened = {primary} if primary and not confirmed else set()
        self.links.set_peers(subscribed, listened)


def is_sound(message: Message) -> bool:
    """Whether a machine tells that it knows what the others know."""
    return isinstance(message, Status) and message.settled and message.fresh
