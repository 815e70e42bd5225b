"""The replicated document, its configuration of members, and the durable record of one member."""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import NamedTuple

from rookwood.coordination.quorum import copy_quorum, vote_quorum

MAX_PAYLOAD_BYTES = 4 << 20
"""Maximum encoded size of the replicated payload; the only limit on the size of a configuration.

It is about twenty times the size of a configuration with 1,480 routes, and fits the files of a 64 MB disk.
At twice this size, deciding on a change to a single route takes longer than the primary's lease.
"""

Acknowledgements = Mapping[str, int | None]
"""Addresses of the machines that acknowledged, each with the storage token that its message carried.

The token is None if the message carried none, as in version 1 of the protocol.
"""


class Position(NamedTuple):
    """The position of a document in the replicated history, ordered by epoch and then by sequence."""

    epoch: int = 0
    sequence: int = 0


@dataclass(frozen=True)
class Member:
    """A member: its address, and the token of the storage with which it was admitted."""

    ip: str
    token: int = 0


@dataclass(frozen=True)
class Configuration:
    """The members of the group; `outgoing` is the previous set while a membership change is under way."""

    members: tuple[Member, ...] = ()
    outgoing: tuple[Member, ...] = ()

    def addresses(self) -> tuple[str, ...]:
        """Return the addresses of the previous members during a membership change, else of the members."""
        return tuple(member.ip for member in self.outgoing or self.members)

    def all_addresses(self) -> tuple[str, ...]:
        """Return the addresses of the new and the outgoing members, each once."""
        return tuple(dict.fromkeys(member.ip for member in self.members + self.outgoing))

    def has_address(self, ip: str) -> bool:
        """Return whether a new or outgoing member has this address, whatever its token."""
        return ip in self.all_addresses()

    def has_member(self, member: Member) -> bool:
        """Return whether a new or outgoing member has this address and this token."""
        return member in self.members + self.outgoing

    def has_vote_quorum(self, voters: Acknowledgements) -> bool:
        """Return whether the voters include a vote quorum of each member set, new and outgoing."""
        return all(
            _count_acknowledged(members, voters) >= vote_quorum(len(members))
            for members in self._member_sets()
        )

    def has_copy_quorum(self, holders: Acknowledgements, tolerate: int) -> bool:
        """Return whether the holders include a copy quorum of the members and a vote quorum of outgoing ones.

        The copies of the new members make the document durable. A majority of the outgoing set suffices:
        a candidate elected by that set gets the promise of at least one holder, and with it the new members.
        """
        if _count_acknowledged(self.members, holders) < copy_quorum(len(self.members), tolerate):
            return False
        return (
            _count_acknowledged(self.outgoing, holders) >= vote_quorum(len(self.outgoing))
            if self.outgoing
            else True
        )

    def _member_sets(self) -> tuple[tuple[Member, ...], ...]:
        return (self.members, self.outgoing) if self.outgoing else (self.members,)


def _count_acknowledged(members: tuple[Member, ...], acknowledgements: Acknowledgements) -> int:
    return sum(_has_acknowledged(member, acknowledgements) for member in members)


def _has_acknowledged(member: Member, acknowledgements: Acknowledgements) -> bool:
    """Return whether a member acknowledged with the admitted storage; a missing token matches any."""
    return member.ip in acknowledgements and acknowledgements[member.ip] in (None, member.token)


@dataclass(frozen=True)
class Document:
    """The complete replicated state at one position."""

    position: Position = Position()
    configuration: Configuration = Configuration()
    payload: bytes = b""


@dataclass(frozen=True)
class Record:
    """The durable state of one member.

    `token` identifies its storage, `promised` is the highest epoch promised to a candidate, and `initialised`
    tells whether it holds a document at all.
    """

    token: int
    promised: int = 0
    initialised: bool = False
    document: Document = Document()

    def with_promise(self, epoch: int) -> "Record":
        """Return this record with at least this epoch promised."""
        return replace(self, promised=max(self.promised, epoch))

    def with_document(self, document: Document) -> "Record":
        """Return this record with the document, and with at least the document's epoch promised."""
        promised = max(self.promised, document.position.epoch)
        return replace(self, promised=promised, initialised=True, document=document)
