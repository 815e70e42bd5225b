"""The effects that a replica returns and its caller carries out."""

from dataclasses import dataclass

from rookwood.coordination.document import Record
from rookwood.coordination.messages import Message
from rookwood.coordination.outcomes import ConfirmOutcome, ProposeOutcome, Role, Snapshot


@dataclass(frozen=True)
class Send:
    """Send a message to the member at an address."""

    to: str
    message: Message


@dataclass(frozen=True)
class Persist:
    """Sync a record to the disk, and report the result with this ticket."""

    ticket: int
    record: Record


@dataclass(frozen=True)
class Resolve:
    """Complete the call with this ticket with its outcome."""

    ticket: int
    outcome: ProposeOutcome | ConfirmOutcome


@dataclass(frozen=True)
class CommitApplied:
    """A newer document is known to be committed."""

    snapshot: Snapshot


@dataclass(frozen=True)
class RoleChanged:
    """The role of this replica has changed."""

    role: Role


Effect = Send | Persist | Resolve | CommitApplied | RoleChanged
