"""Roles, snapshots and call outcomes, as seen by the callers of a group."""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class Snapshot:
    """The newest document that this process knows to be committed."""

    epoch: int
    sequence: int
    payload: bytes


@dataclass(frozen=True)
class Primary:
    """This process is the primary; `since` is when it committed its first document of the epoch."""

    epoch: int
    since: float


@dataclass(frozen=True)
class Following:
    """This process follows a primary.

    `in_contact` tells whether a message of the primary arrived within the lease time, `is_up_to_date` whether
    this process has the document of every commit that the primary announced. A document may arrive shortly
    after the announcement of its commit, so a change of `is_up_to_date` alone is not a change of role.
    """

    primary: str
    epoch: int
    in_contact: bool
    is_up_to_date: bool = field(default=True, compare=False)

    @property
    def is_fresh(self) -> bool:
        """Whether the newest committed document here was the group's newest at most one lease time ago."""
        return self.in_contact and self.is_up_to_date


@dataclass(frozen=True)
class Backup(Following):
    """A member of the group that follows a primary."""


@dataclass(frozen=True)
class Learner(Following):
    """A process that is not a member, in contact with a primary that sends it all documents.

    It has no vote, and its copy does not count. Machines beyond the intended number of members are learners.
    """


@dataclass(frozen=True)
class Unattached:
    """This process knows no primary, or does not participate yet."""

    reason: str


Role = Primary | Backup | Learner | Unattached


@dataclass(frozen=True)
class Committed:
    """The proposed change is committed."""

    snapshot: Snapshot


@dataclass(frozen=True)
class Declined:
    """The change function declined with `result`; leadership was confirmed after the call arrived."""

    result: object


@dataclass(frozen=True)
class PayloadTooLarge:
    """The result of a change that was declined because its payload would exceed the size limit."""

    size: int


@dataclass(frozen=True)
class NotPrimary:
    """This process is not the primary and did nothing; `primary` is the address of the primary, if known."""

    primary: str | None


@dataclass(frozen=True)
class Overloaded:
    """Too many changes wait at the primary; this one was rejected and is never committed."""


@dataclass(frozen=True)
class Uncertain:
    """The change may or may not be committed, or leadership could not be confirmed."""

    reason: str


@dataclass(frozen=True)
class Confirmed:
    """Leadership was confirmed after the call arrived; the snapshot is the newest committed document."""

    snapshot: Snapshot


ProposeOutcome = Committed | Declined | NotPrimary | Overloaded | Uncertain
ConfirmOutcome = Confirmed | NotPrimary | Uncertain
