"""Requests for admission to the group, and the resulting membership changes.

A membership change takes two steps, each with a document of its own. The first document has both the new and
the outgoing members, the second one the new members alone.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from rookwood.coordination.context import Context
from rookwood.coordination.document import Configuration, Document, Member
from rookwood.coordination.member_progress import MemberProgress

MAX_MISSED_HEARTBEATS = 2
"""A machine counts as unhealthy after this many heartbeat intervals without an acknowledgement."""


@dataclass(frozen=True)
class AdmissionRequest:
    """The latest request of a machine to be admitted with the storage of this token."""

    token: int
    requested_at: float


class Membership:
    """Decides for the primary of one epoch which machines are admitted, and which members they replace."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._started_at = context.now
        self._requests: dict[str, AdmissionRequest] = {}

    def learner_addresses(self) -> tuple[str, ...]:
        """Return the addresses of the machines that asked to be admitted."""
        return tuple(self._requests)

    def record_request(self, learner: Member) -> None:
        """Record that a machine asks to be admitted."""
        self._requests[learner.ip] = AdmissionRequest(learner.token, self._context.now)

    def drop_expired_requests(self, configuration: Configuration) -> None:
        """Drop requests that were not repeated lately, and those of machines that are members by now."""
        limit = self._context.now - self._context.timing.learner_silence
        for ip, request in list(self._requests.items()):
            if request.requested_at < limit or configuration.has_member(Member(ip, request.token)):
                del self._requests[ip]

    def next_configuration(
        self, document: Document, progress: Mapping[str, MemberProgress]
    ) -> Configuration | None:
        """Return the configuration of the next step of a membership change, None if no change is due."""
        configuration = document.configuration
        if configuration.outgoing:
            return Configuration(configuration.members)
        members = self._next_members(document, progress)
        return None if members is None else Configuration(members, configuration.members)

    def replacement_configuration(
        self, document: Document, progress: Mapping[str, MemberProgress]
    ) -> Configuration | None:
        """Return a configuration that replaces lost members while a document waits for their copies.

        The outgoing set stays the one before the change, since every other machine that may be elected needs
        a majority of it.
        """
        members = self._next_members(document, progress)
        if members is None:
            return None
        return Configuration(members, document.configuration.outgoing or document.configuration.members)

    def would_admit(self, ip: str, token: int | None, configuration: Configuration) -> bool:
        """Return whether a machine asked to be admitted, and would be once it has the newest document."""
        request = self._requests.get(ip)
        if request is None or request.token != token or configuration.outgoing:
            return False
        return self._members_with(Member(ip, request.token), configuration.members) is not None

    def _next_members(
        self, document: Document, progress: Mapping[str, MemberProgress]
    ) -> tuple[Member, ...] | None:
        """Return the members including those to be admitted now, None if there are none to admit."""
        members = document.configuration.members
        admitted = 0
        for learner in self._ready_learners(document, progress):
            enlarged = self._members_with(learner, members)
            if enlarged is None:
                continue
            if len(enlarged) == len(members) and not admitted:
                return enlarged  # it replaces a lost member; only one is replaced at a time
            if len(enlarged) > len(members):
                members = enlarged
                admitted += 1
        return members if admitted and self._may_grow_to(len(members)) else None

    def _may_grow_to(self, count: int) -> bool:
        """Return whether the group may grow to this many members.

        An even number tolerates no more losses than one member fewer, so the group grows to an even number
        only after waiting a while for another machine.
        """
        return count % 2 == 1 or self._context.now - self._started_at >= self._context.timing.replace_after

    def _ready_learners(self, document: Document, progress: Mapping[str, MemberProgress]) -> list[Member]:
        """Return the learners that have synced the newest document, members with a new storage first.

        An unresponsive learner is left out. If it replaced a lost member, it could be lost as well, and one
        further loss would leave the new members without a majority.
        """
        configuration = document.configuration
        silence = MAX_MISSED_HEARTBEATS * self._context.timing.heartbeat
        ready = [
            Member(ip, request.token)
            for ip, request in self._requests.items()
            if progress[ip].token == request.token
            and progress[ip].stored_position >= document.position
            and self._context.is_in_contact(ip, silence)
            and not configuration.has_member(Member(ip, request.token))
        ]
        return sorted(ready, key=lambda member: not configuration.has_address(member.ip))

    def _members_with(self, learner: Member, members: tuple[Member, ...]) -> tuple[Member, ...] | None:
        """Return the members including this learner, None if there is no place for it."""
        if any(member.ip == learner.ip for member in members):
            return tuple(learner if member.ip == learner.ip else member for member in members)
        if len(members) < 2 * self._context.tolerate + 1:
            return (*members, learner)
        lost = self._lost_member(members)
        if lost is None:
            return None
        return (*(member for member in members if member != lost), learner)

    def _lost_member(self, members: tuple[Member, ...]) -> Member | None:
        span = self._context.timing.replace_after
        if self._context.now - self._started_at < span:
            return None
        lost = [
            (self._context.last_message_at(member.ip), member)
            for member in members
            if member.ip != self._context.ip and self._is_lost(member, span)
        ]
        return min(lost, key=lambda entry: entry[0])[1] if lost else None

    def _is_lost(self, member: Member, span: float) -> bool:
        """Return whether a member was unresponsive for this long, or asks to join with a new storage."""
        request = self._requests.get(member.ip)
        has_new_storage = request is not None and request.token != member.token
        return has_new_storage or not self._context.is_in_contact(member.ip, span)
