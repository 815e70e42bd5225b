"""Roles, snapshots and outcomes as callers of the group see them."""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class Snapshot:
    """The newest committed document known to this process."""

    epoch: int
    sequence: int
    payload: bytes


@dataclass(frozen=True)
class Primary:
    """This process acts as primary."""

    epoch: int
    since: float


@dataclass(frozen=True)
class Following:
    """This process follows a primary.

    `in_touch` tells whether it heard from the primary lately, `level` whether it holds the document of every
    commit that the primary told it of. Documents come a moment after the news of their commit now and then,
    so `level` alone makes no other role.
    """

    primary: str
    epoch: int
    in_contact: bool
    is_up_to_date: bool = field(default=True, compare=False)

    @property
    def is_fresh(self) -> bool:
        """Whether the newest committed document here was the newest of all a lease ago at most."""
        return self.in_contact and self.is_up_to_date


@dataclass(frozen=True)
class Backup(Following):
    """A member that follows a primary."""


@dataclass(frozen=True)
class Learner(Following):
    """A process that is no member, and is in touch with a primary that sends it all documents.

    It has no vote and counts as no copy. There is one wherever there are more machines than members.
    """


@dataclass(frozen=True)
class Unattached:
    """This process knows no primary, or takes no part yet."""

    reason: str


Role = Primary | Backup | Learner | Unattached


@dataclass(frozen=True)
class Committed:
    """The proposed change is in force."""

    snapshot: Snapshot


@dataclass(frozen=True)
class Declined:
    """The change itself said no; leadership was confirmed after the call arrived."""

    result: object


@dataclass(frozen=True)
class PayloadTooLarge:
    """The answer of a change that was declined because it would lead to a payload above the limit."""

    size: int


@dataclass(frozen=True)
class NotPrimary:
    """This process is not the primary, and did nothing."""

    primary: str | None


@dataclass(frozen=True)
class Overloaded:
    """Too many changes wait for the primary; this one was refused, and is never in force."""


@dataclass(frozen=True)
class Uncertain:
    """The change may or may not be in force, or leadership could not be confirmed."""

    reason: str


@dataclass(frozen=True)
class Confirmed:
    """Leadership was confirmed after the call arrived; the snapshot is the newest in force."""

    snapshot: Snapshot


ProposeOutcome = Committed | Declined | NotPrimary | Overloaded | Uncertain
ConfirmOutcome = Confirmed | NotPrimary | Uncertain
