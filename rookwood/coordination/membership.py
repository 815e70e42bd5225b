"""Machines that ask to be admitted, and the change of members that is due.

A change has two steps, each a document of its own: first both sets of members are in force, then the new one
alone.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from rookwood.coordination.context import Context
from rookwood.coordination.document import Configuration, Document, Member
from rookwood.coordination.member_progress import MemberProgress

HEALTHY_BEATS = 2
"""Heartbeats without an answer after which a machine is not counted on."""


@dataclass(frozen=True)
class Learner:
    """A machine that asks to be admitted with the storage of this token."""

    token: int
    asked_at: float


class Membership:
    """Decides for one epoch's primary who is admitted, and in whose place."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._started_at = context.now
        self._learners: dict[str, Learner] = {}

    def learners(self) -> tuple[str, ...]:
        """Return the addresses of those that ask to be admitted."""
        return tuple(self._learners)

    def ask(self, learner: Member) -> None:
        """Note that a machine asks to be admitted."""
        self._learners[learner.ip] = Learner(learner.token, self._context.now)

    def drop_silent(self, configuration: Configuration) -> None:
        """Forget those that ask no more, and those that are members by now."""
        limit = self._context.now - self._context.timing.learner_silence
        for ip, learner in list(self._learners.items()):
            if learner.asked_at < limit or configuration.has_member(Member(ip, learner.token)):
                del self._learners[ip]

    def next_configuration(
        self, document: Document, progress: Mapping[str, MemberProgress]
    ) -> Configuration | None:
        """Return the members after the step that is due now, None if none is."""
        configuration = document.configuration
        if configuration.outgoing:
            return Configuration(configuration.members)
        members = self._next_members(document, progress)
        return None if members is None else Configuration(members, configuration.members)

    def replacing_configuration(
        self, document: Document, progress: Mapping[str, MemberProgress]
    ) -> Configuration | None:
        """Return members under which a document can be committed that lacks copies of lost members.

        The outgoing set stays the one that was in force before, since every other machine that may be elected
        needs a majority of it.
        """
        members = self._next_members(document, progress)
        if members is None:
            return None
        return Configuration(members, document.configuration.outgoing or document.configuration.members)

    def has_place(self, ip: str, token: int | None, configuration: Configuration) -> bool:
        """Tell whether a machine asks to be admitted and would be, once its copy is current."""
        learner = self._learners.get(ip)
        if learner is None or learner.token != token or configuration.outgoing:
            return False
        return self._members_with(Member(ip, learner.token), configuration.members) is not None

    def _next_members(
        self, document: Document, progress: Mapping[str, MemberProgress]
    ) -> tuple[Member, ...] | None:
        """Return the members with those that are to be admitted now, None if none is."""
        members = document.configuration.members
        admitted = 0
        for learner in self._ready_learners(document, progress):
            enlarged = self._members_with(learner, members)
            if enlarged is None:
                continue
            if len(enlarged) == len(members) and not admitted:
                return enlarged  # takes the place of a lost member: one at a time
            if len(enlarged) > len(members):
                members = enlarged
                admitted += 1
        return members if admitted and self._may_grow_to(len(members)) else None

    def _may_grow_to(self, count: int) -> bool:
        """Tell whether the members may become so many: an even set bears no more losses than one fewer.

        One more alone is admitted when no other machine has asked for a while.
        """
        return count % 2 == 1 or self._context.now - self._started_at >= self._context.timing.replace_after

    def _ready_learners(self, document: Document, progress: Mapping[str, MemberProgress]) -> list[Member]:
        """Return the learners whose copy is current and synced, emptied members first.

        One that has fallen silent is none of them: in the place of a lost member it would be lost as well,
        and with one more loss the new members would have no majority.
        """
        configuration = document.configuration
        silence = HEALTHY_BEATS * self._context.timing.heartbeat
        ready = [
            Member(ip, learner.token)
            for ip, learner in self._learners.items()
            if progress[ip].token == learner.token
            and progress[ip].stored >= document.position
            and self._context.heard_within(ip, silence)
            and not configuration.has_member(Member(ip, learner.token))
        ]
        return sorted(ready, key=lambda member: not configuration.has_address(member.ip))

    def _members_with(self, learner: Member, members: tuple[Member, ...]) -> tuple[Member, ...] | None:
        """Return the members once this learner is one of them, None if there is no place for it."""
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
            (self._context.heard_at(member.ip), member)
            for member in members
            if member.ip != self._context.ip and self._is_lost(member, span)
        ]
        return min(lost, key=lambda entry: entry[0])[1] if lost else None

    def _is_lost(self, member: Member, span: float) -> bool:
        """Tell whether a member was silent for the span, or begins anew with another storage."""
        learner = self._learners.get(member.ip)
        begins_anew = learner is not None and learner.token != member.token
        return begins_anew or not self._context.heard_within(member.ip, span)
