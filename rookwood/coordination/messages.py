"""The messages that members send to each other.

Acknowledgements and promises carry the token of the sender's storage, and count only for the member that was
admitted with that storage. In version 1 they carry no token, and pre-vote requests carry no position.
"""

from dataclasses import dataclass

from rookwood.coordination.document import Configuration, Document, Position


@dataclass(frozen=True)
class Heartbeat:
    """The primary's heartbeat: its epoch, the round, and its committed and its current position."""

    epoch: int
    round: int
    committed: Position
    current: Position


@dataclass(frozen=True)
class HeartbeatAck:
    """Response to a heartbeat; `stored` is the position of the newest document that the member has synced."""

    epoch: int
    round: int
    stored: Position
    token: int | None = None


@dataclass(frozen=True)
class Write:
    """A document that the receiver is to sync; `document.position.epoch` is the primary's epoch."""

    document: Document


@dataclass(frozen=True)
class WriteAck:
    """Response to a write; `stored` is the position of the newest document that the member has synced."""

    epoch: int
    stored: Position
    token: int | None = None


@dataclass(frozen=True)
class WriteFailed:
    """Response to a write that the member could not store: its disk failed."""

    epoch: int
    position: Position


@dataclass(frozen=True)
class Refused:
    """Rejects a message of an older epoch, and reports the epoch that the receiver has promised."""

    epoch: int
    promised: int


@dataclass(frozen=True)
class PreVoteRequest:
    """Asks whether the receiver would vote for the sender: no live primary there, and no newer document.

    `ballot` is a random number that relates replies to requests, `position` that of the sender's document.
    """

    ballot: int
    position: Position | None = None


@dataclass(frozen=True)
class PreVoteReply:
    """Response to a pre-vote request, with the highest epoch that the sender has promised."""

    ballot: int
    granted: bool
    promised: int


@dataclass(frozen=True)
class VoteRequest:
    """Asks for a promise of an epoch; `position` is that of the candidate's document."""

    epoch: int
    position: Position


@dataclass(frozen=True)
class Promise:
    """A durable promise of an epoch, with the sender's document if it is newer than the candidate's.

    `candidate` is the incarnation of the candidate's process to which the promise is made.
    """

    epoch: int
    candidate: int
    stored: Position
    document: Document | None
    token: int | None = None


@dataclass(frozen=True)
class Inquiry:
    """Asks for the receiver's state, on behalf of a machine that is not an active member.

    `known` is the position of the newest configuration that the sender knows.
    """

    known: Position


@dataclass(frozen=True)
class Situation:
    """Response to an inquiry; `document` is set if it is newer than what the inquirer knows.

    `inquirer` is the incarnation of the process that asked.
    """

    inquirer: int
    recovering: bool
    promised: int
    document: Document | None


@dataclass(frozen=True)
class JoinRequest:
    """A request to the primary to admit the sender as a member, with the storage that has this token."""

    token: int


@dataclass(frozen=True)
class MembershipNotice:
    """Informs a candidate that it is not a member of the sender's newer configuration."""

    position: Position
    configuration: Configuration


@dataclass(frozen=True)
class TransferNow:
    """A request to a backup to stand for election at once; `epoch` is that of the primary that hands over."""

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
