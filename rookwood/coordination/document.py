"""The replicated document, its configuration of members, and the durable record of one member."""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import NamedTuple

from rookwood.coordination.quorum import copy_quorum, vote_quorum

MAX_PAYLOAD_BYTES = 4 << 20
"""Limit of what is replicated, as it is encoded: the one limit of a configuration's size.

It is about twenty times the configuration of 1,480 routes, and fits the files of a disk of 64 MB. At twice
this size one change of a single route takes longer than the primary's lease to decide on.
"""

Voices = Mapping[str, int | None]
"""Machines that count, each with the token that it told; None where its message held none (version 1)."""


class Position(NamedTuple):
    """The place of a document in the history: ordered by epoch, then by sequence."""

    epoch: int = 0
    sequence: int = 0


@dataclass(frozen=True)
class Member:
    """One member: its address and the token of the storage that was admitted under it."""

    ip: str
    token: int = 0


@dataclass(frozen=True)
class Configuration:
    """The members of the group; `outgoing` is the previous set while a change is being committed."""

    members: tuple[Member, ...] = ()
    outgoing: tuple[Member, ...] = ()

    def addresses(self) -> tuple[str, ...]:
        """Return the addresses of the members in force: the previous ones until a change is done."""
        return tuple(member.ip for member in self.outgoing or self.members)

    def all_addresses(self) -> tuple[str, ...]:
        """Return the addresses of new and outgoing members, each once."""
        return tuple(dict.fromkeys(member.ip for member in self.members + self.outgoing))

    def has_address(self, ip: str) -> bool:
        """Tell whether an address is that of a member, under whatever token."""
        return ip in self.all_addresses()

    def has_member(self, member: Member) -> bool:
        """Tell whether a storage was admitted: this address under this token."""
        return member in self.members + self.outgoing

    def has_votes(self, voters: Voices) -> bool:
        """Tell whether the voters form a vote quorum of each member set in force."""
        return all(_count(members, voters) >= vote_quorum(len(members)) for members in self._sets())

    def has_copies(self, holders: Voices, tolerate: int) -> bool:
        """Tell whether the holders form a copy quorum of the members, and a vote quorum of outgoing ones.

        Copies of the new members make the document durable. Of the outgoing set a majority suffices: whoever
        is elected by that set meets one of them, and so learns of the new members.
        """
        if _count(self.members, holders) < copy_quorum(len(self.members), tolerate):
            return False
        return _count(self.outgoing, holders) >= vote_quorum(len(self.outgoing)) if self.outgoing else True

    def _sets(self) -> tuple[tuple[Member, ...], ...]:
        return (self.members, self.outgoing) if self.outgoing else (self.members,)


def _count(members: tuple[Member, ...], voices: Voices) -> int:
    return sum(_is_voice_of(member, voices) for member in members)


def _is_voice_of(member: Member, voices: Voices) -> bool:
    """Tell whether a member is among the voices, under the token of the storage that was admitted."""
    return member.ip in voices and voices[member.ip] in (None, member.token)


@dataclass(frozen=True)
class Document:
    """The whole replicated state at one position."""

    position: Position = Position()
    configuration: Configuration = Configuration()
    payload: bytes = b""


@dataclass(frozen=True)
class Record:
    """What one member keeps on its disk."""

    token: int
    promised: int = 0
    initialised: bool = False
    document: Document = Document()

    def with_promise(self, epoch: int) -> "Record":
        """Return this record with a promise of at least the epoch."""
        return replace(self, promised=max(self.promised, epoch))

    def with_document(self, document: Document) -> "Record":
        """Return this record holding the document, and promising the document's epoch."""
        promised = max(self.promised, document.position.epoch)
        return replace(self, promised=promised, initialised=True, document=document)
