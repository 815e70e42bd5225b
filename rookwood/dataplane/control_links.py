"""The links of a dispatcher to control machines: it subscribes to one feed and sends its reports there.

Each control machine relays what the others send, so a second feed would deliver everything twice. The
dispatcher leaves its feeding machine for another one when the link ends, when the machine is unresponsive,
when it has lost contact with the primary, or when it does not respond to a fetch request in time. A better
machine is tried on a second link before the first one is closed (`ParentChoice`). It is chosen once its
status says that it is settled and in contact with the primary: a machine that has just started may not know
yet what the others sent before.

Until the first configuration is confirmed, the dispatcher also keeps a link to the primary, which alone can
confirm it.
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
from rookwood.memory_budget import MemoryBudget

TICK_INTERVAL = 0.25  # seconds
TIMING = ParentTiming(pause_limit=2 * TICK_INTERVAL)
OUT_OF_CONTACT_LIMIT = 0.6  # seconds after the lease lapsed; by then a lost primary's successor is known
TIER_EDGE = "edge"


class ControlLinks:
    """Opens and closes the links, and passes their events and messages to the handler."""

    def __init__(
        self,
        settings: NodeSettings,
        handler: LinkHandler,
        seeds: Callable[[], Iterable[str]],
        position: PositionReader,
        stalled: StallReader,
        budget: MemoryBudget | None = None,
    ) -> None:
        self._identity = settings.ip
        self._zone = settings.zone
        self._handler = handler
        self._seeds = seeds
        hello = Hello(settings.ip, TIER_EDGE, settings.zone, PROTOCOL_RELEASE)
        self.links = LinkSet(settings.feed_port, hello, self, settings.ip, position, stalled, budget)
        self._parent_choice: ParentChoice | None = None
        self._control_machines: tuple[ControlMachine, ...] = ()
        self._releases: dict[str, int] = {}
        self._out_of_contact_since: float | None = None
        self._closed = False

    @property
    def feeding_machine(self) -> str | None:
        """The address of the machine whose feed this dispatcher subscribes to."""
        return self._parent_choice.current_parent if self._parent_choice is not None else None

    @property
    def subscribes_to_all(self) -> bool:
        """Whether to subscribe to all machines: the feeding machine's release does not relay messages."""
        feeding = self.feeding_machine
        return (
            feeding is not None and self._releases.get(feeding, PROTOCOL_RELEASE) < RELEASE_WITH_RELAYED_FEED
        )

    def tick(self, now: float, confirmed: bool, primary: str | None, members: Iterable[str]) -> None:
        """Choose the feeding machine and update the links.

        `primary` and `members` are the control machines that the linked ones name.
        """
        candidates = self._rank_machines()
        if self._closed or not candidates:
            return
        if self._parent_choice is None:
            self._parent_choice = ParentChoice(candidates, now, TIMING)
        self._parent_choice.set_parents(candidates, now)
        self._suspect_parent_if_out_of_contact(now)
        previous = self._parent_choice.current_parent
        self._parent_choice.tick(now)
        if self._parent_choice.current_parent != previous:
            self._out_of_contact_since = None
        self._update_links(confirmed, primary, members)

    def record_overdue_response(self, peer: str, now: float) -> None:
        """A machine did not respond to a fetch request in time."""
        if self._parent_choice is not None:
            self._parent_choice.record_suspicion(peer, now)

    def accepts_notices_from(self, peer: str) -> bool:
        """Whether to use the work notices from a machine, so that each notice is counted once."""
        return peer == self.feeding_machine or self.subscribes_to_all

    def connection(self, peer: str | None) -> Connection | None:
        """The open link to a peer, or None."""
        return self.links.connection(peer) if peer is not None else None

    def report_connection(self, primary: str | None) -> Connection | None:
        """The link for reports: to the feeding machine, or to the primary if that one relays nothing."""
        return self.connection(primary if self.subscribes_to_all else self.feeding_machine)

    def close(self) -> None:
        """Close all links; no link is opened after this."""
        self._closed = True
        self.links.close()

    # The LinkHandler methods, called by the links.

    def link_opened(self, peer: str, connection: Connection) -> None:
        """A link was opened."""
        self._handler.link_opened(peer, connection)

    def message_received(self, peer: str, message: Message) -> None:
        """A message was received over a link."""
        self._handler.message_received(peer, message)

    def link_closed(self, peer: str) -> None:
        """A link ended."""
        self._handler.link_closed(peer)

    # Called by the handler, which passes the time in.

    def record_message(self, peer: str, message: Message, now: float) -> None:
        """Record a message as a sign of life of its sender, with the sender's release, contact and peers."""
        if self._parent_choice is None:
            return
        if peer == self._parent_choice.current_parent or is_settled_and_in_contact(message):
            self._parent_choice.record_message(peer, now)
        if isinstance(message, Status):
            self._releases[peer] = message.release
            if peer == self._parent_choice.current_parent and message.roots:
                self._control_machines = message.roots
        elif isinstance(message, HeartbeatAnswer) and peer == self._parent_choice.current_parent:
            self._record_contact(message.fresh, now)

    def record_link_end(self, peer: str, now: float) -> None:
        """A link ended; if it was the feed, the next tick subscribes to another machine."""
        self._releases.pop(peer, None)
        if self._parent_choice is not None and peer in (
            self._parent_choice.current_parent,
            self._parent_choice.trial_parent,
        ):
            self._parent_choice.record_link_failure(peer, now)

    def _record_contact(self, fresh: bool, now: float) -> None:
        if fresh:
            self._out_of_contact_since = None
        elif self._out_of_contact_since is None:
            self._out_of_contact_since = now

    def _suspect_parent_if_out_of_contact(self, now: float) -> None:
        since = self._out_of_contact_since
        if since is not None and now - since > OUT_OF_CONTACT_LIMIT and self._parent_choice is not None:
            self._parent_choice.record_suspicion(self._parent_choice.current_parent, now)
            self._out_of_contact_since = None

    def _rank_machines(self) -> list[str]:
        """The control machines in this dispatcher's order of preference.

        Machines of its own zone come first, then the others that the feeding machine named, then seeds that
        it did not name.
        """
        zones = {machine.ip: machine.zone for machine in self._control_machines}
        key = f"feed {self._identity}"
        named = sorted(zones, key=lambda ip: (zones[ip] != self._zone, -rendezvous_weight(key, ip)))
        seeds = sorted(
            (ip for ip in set(self._seeds()) if ip not in zones), key=lambda ip: -rendezvous_weight(key, ip)
        )
        return [*named, *seeds]

    def _update_links(self, confirmed: bool, primary: str | None, members: Iterable[str]) -> None:
        assert self._parent_choice is not None
        subscribed = {self._parent_choice.current_parent} | (
            {self._parent_choice.trial_parent} if self._parent_choice.trial_parent else set()
        )
        if self.subscribes_to_all:
            self.links.set_peers(subscribed | set(self._seeds()) | set(members))
            return
        unsubscribed = {primary} if primary and not confirmed else set()
        self.links.set_peers(subscribed, unsubscribed)


def is_settled_and_in_contact(message: Message) -> bool:
    """Whether a machine's status says that it has what the others have sent, and is in contact."""
    return isinstance(message, Status) and message.settled and message.fresh
