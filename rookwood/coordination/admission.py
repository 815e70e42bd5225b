"""How a machine whose storage is not admitted finds the group and asks to be admitted.

An empty storage gets a new token, whatever the machine stored before. So the machine joins as a new member,
and promises and copies that it lost do not count. The primary admits it once it has a synced copy.
"""

from dataclasses import replace

from rookwood.coordination.context import Context
from rookwood.coordination.document import Position
from rookwood.coordination.messages import Inquiry, JoinRequest, MembershipNotice, Situation


class Admission:
    """Asks every known machine to admit this one, until it is a member."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._next_request_at = context.now

    def tick(self) -> None:
        """Send the requests when they are due."""
        if self._context.now < self._next_request_at:
            return
        self._next_request_at = self._context.now + self._context.timing.inquiry
        for ip in self._known_machines():
            self._context.send(ip, Inquiry(self._context.configuration_position()))
            self._context.send(ip, JoinRequest(self._context.journal.latest.token))

    def next_wakeup(self) -> float:
        """Return when the next requests are due."""
        return self._next_request_at

    def on_situation(self, situation: Situation) -> None:
        """Record the configuration that another machine reports."""
        document = situation.document
        if situation.inquirer == self._context.incarnation and document is not None:
            self._context.record_configuration(document.position, document.configuration)

    def _known_machines(self) -> tuple[str, ...]:
        addresses = (*self._context.seeds, *self._context.configuration().all_addresses())
        return tuple(ip for ip in dict.fromkeys(addresses) if ip != self._context.ip)


def respond_to_inquiry(context: Context, sender: str, incarnation: int, inquiry: Inquiry) -> None:
    """Report the configuration, without the payload, to a machine that is not a member.

    The payload is of no use to it, and would be sent many times a second while changes go on.
    """
    record = context.journal.latest
    newer = record.document.position > inquiry.known
    document = replace(record.document, payload=b"") if newer else None
    recovering = not context.is_member()
    context.send(sender, Situation(incarnation, recovering, record.promised, document))


def may_respond_to_candidate(context: Context, candidate: str, position: Position | None) -> bool:
    """Return whether this machine may respond to a candidate whose document is at this position.

    A candidate that is no longer a member is sent the newer configuration instead. A candidate with a newer
    document may know a newer configuration that includes it, so it gets a response.
    """
    if not context.is_member():
        return False
    own_position = context.configuration_position()
    is_newer = position is not None and position > own_position
    if is_newer or context.configuration().has_address(candidate):
        return True
    context.send(candidate, MembershipNotice(own_position, context.configuration()))
    return False
