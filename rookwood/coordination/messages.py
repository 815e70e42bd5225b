"""The messages that members send to each other.

Acknowledgements and promises tell the token of the sender's storage: they count only for the member that
was admitted under it. Those of version 1 tell none, and their pre-votes no position.
"""

from dataclasses import dataclass

from rookwood.coordination.document import Configuration, Document, Position


@dataclass(frozen=True)
class Heartbeat:
    """A round of the primary: tells its epoch and how far it has committed."""

    epoch: int
    round: int
    committed: Position
    current: Position


@dataclass(frozen=True)
class HeartbeatAck:
    """Answer to a heartbeat, with the newest document that the member has synced."""

    epoch: int
    round: int
    stored: Position
    token: int | None = None


@dataclass(frozen=True)
class Write:
    """A document to be synced; `document.position.epoch` is the primary's epoch."""

    document: Document


@dataclass(frozen=True)
class WriteAck:
    """Tells the newest document that the member has synced."""

    epoch: int
    stored: Position
    token: int | None = None


@dataclass(frozen=True)
class WriteFailed:
    """Tells that the member's disk did not take the document."""

    epoch: int
    position: Position


@dataclass(frozen=True)
class Refused:
    """Tells a sender of an older epoch which epoch has been promised."""

    epoch: int
    promised: int


@dataclass(frozen=True)
class PreVoteRequest:
    """Asks whether the receiver, too, hears no primary, and holds nothing newer than the sender."""

    ballot: int
    position: Position | None = None


@dataclass(frozen=True)
class PreVoteReply:
    """Answer to a pre-vote, with the highest epoch promised."""

    ballot: int
    granted: bool
    promised: int


@dataclass(frozen=True)
class VoteRequest:
    """Asks for a promise of an epoch; `position` is what the candidate holds."""

    epoch: int
    position: Position


@dataclass(frozen=True)
class Promise:
    """A durable promise of an epoch, with the document if it is newer than the candidate's."""

    epoch: int
    candidate: int
    stored: Position
    document: Document | None
    token: int | None = None


@dataclass(frozen=True)
class Inquiry:
    """Asks for the receiver's state on behalf of a machine that is not an active member."""

    known: Position


@dataclass(frozen=True)
class Situation:
    """Answer to an inquiry; `document` is given if it is newer than what the inquirer knows."""

    inquirer: int
    recovering: bool
    promised: int
    document: Document | None


@dataclass(frozen=True)
class JoinRequest:
    """Asks the primary to be admitted with the storage that has this token."""

    token: int


@dataclass(frozen=True)
class MembershipNotice:
    """Tells a machine that it is no member of a newer configuration."""

    position: Position
    configuration: Configuration


@dataclass(frozen=True)
class TransferNow:
    """Asks a backup to stand for election at once."""

    epoch: int


Message = (
    Heartbeat
    | HeartbeatAck
    | Write
    | WriteAck
    | WriteFailed
    | Refused
    | PreVoteRequest
    | PreVoteReply
    | VoteRequest
    | Promise
    | Inquiry
    | Situation
    | JoinRequest
    | MembershipNotice
    | TransferNow
)
