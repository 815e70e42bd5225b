"""What the replica asks its surroundings to do."""

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
    """Sync a record to the disk and report the result under the ticket."""

    ticket: int
    record: Record


@dataclass(frozen=True)
class Resolve:
    """Give the outcome of a call that was started under the ticket."""

    ticket: int
    outcome: ProposeOutcome | ConfirmOutcome


@dataclass(frozen=True)
class CommitApplied:
    """A newer committed document is known."""

    snapshot: Snapshot


@dataclass(frozen=True)
class RoleChanged:
    """The role of this replica changed."""

    role: Role


Effect = Send | Persist | Resolve | CommitApplied | RoleChanged
