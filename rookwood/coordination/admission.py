"""How a machine whose storage is not admitted finds the group, and asks to be taken in.

A storage that begins empty has a token of its own, whatever the machine held before: it is a new member,
and what was lost counts for nothing. The primary admits it once it has a synced copy.
"""

from dataclasses import replace

from rookwood.coordination.context import Context
from rookwood.coordination.document import Position
from rookwood.coordination.messages import Inquiry, JoinRequest, MembershipNotice, Situation


class Admission:
    """Asks every known machine until this one is a member."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._ask_at = context.now

    def tick(self) -> None:
        """Ask again when it is time."""
        if self._context.now < self._ask_at:
            return
        self._ask_at = self._context.now + self._context.timing.inquiry
        for ip in self._known_machines():
            self._context.send(ip, Inquiry(self._context.newest_position()))
            self._context.send(ip, JoinRequest(self._context.journal.latest.token))

    def next_wakeup(self) -> float:
        """Return when to ask again."""
        return self._ask_at

    def on_situation(self, situation: Situation) -> None:
        """Learn from another machine's answer who the members are."""
        document = situation.document
        if situation.inquirer == self._context.incarnation and document is not None:
            self._context.note_configuration(document.position, document.configuration)

    def _known_machines(self) -> tuple[str, ...]:
        everyone = (*self._context.seeds, *self._context.configuration().all_addresses())
        return tuple(ip for ip in dict.fromkeys(everyone) if ip != self._context.ip)


def answer_inquiry(context: Context, sender: str, incarnation: int, inquiry: Inquiry) -> None:
    """Tell a machine that takes no part who the members are, without what they replicate.

    The payload would be sent for nothing, many times a second while changes go on.
    """
    record = context.journal.latest
    newer = record.document.position > inquiry.known
    document = replace(record.document, payload=b"") if newer else None
    recovering = not context.is_member()
    context.send(sender, Situation(incarnation, recovering, record.promised, document))


def may_answer_candidate(context: Context, candidate: str, position: Position | None) -> bool:
    """Tell whether this member answers a candidate whose document is at the position.

    A candidate that is no member any more learns who they are. One with a newer document may know newer
    members than this one does, itself among them, and is answered.
    """
    if not context.is_member():
        return False
    own = context.newest_position()
    is_newer = position is not None and position > own
    if is_newer or context.configuration().has_address(candidate):
        return True
    context.send(candidate, MembershipNotice(own, context.configuration()))
    return False
