"""A new group from the one copy that is left, for when a majority of the disks is gone.

The copy becomes the document of a group of one member, this machine under a new token, at an epoch above all
that the lost disks can have promised. The others join that group, emptied, as new machines do.

This gives up what only the lost disks held. So it is refused while a majority of the group may still hold it.
"""

from __future__ import annotations

import secrets
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from rookwood.clusterconfig.control_document import ControlDocument
from rookwood.coordination.document import Configuration, Document, Member, Position, Record
from rookwood.coordination.quorum import vote_quorum
from rookwood.coordination.storage import Empty, Found, LoadOutcome, SlotFault, Storage

TOKEN_BITS = 62

# Candidates spend an epoch each, at most one in half a second or so. The lost disks would have had to hold
# elections without this machine for minutes to come near this.
EPOCH_MARGIN = 1000


@dataclass(frozen=True)
class NoCopy:
    """The folder holds no record that can be read."""

    faults: tuple[SlotFault, ...]


@dataclass(frozen=True)
class EmptyCopy:
    """The copy is of a machine that held no document yet."""


@dataclass(frozen=True)
class MajorityAvailable:
    """With this copy a majority of the members has its disk: they only have to be started."""

    holders: tuple[str, ...]


@dataclass(frozen=True)
class NewerCopy:
    """Another member holds a newer copy, which has to be the one that is kept."""

    member: str
    position: Position


@dataclass(frozen=True)
class UnaccountedMembers:
    """These members neither say that their disk is gone, nor were named as lost."""

    members: tuple[str, ...]


@dataclass(frozen=True)
class TargetInUse:
    """The folder that the new group is to start from holds other files already."""

    directory: str


@dataclass(frozen=True)
class RecoveryPlan:
    """What would be written, and what is known of the copy."""

    record: Record
    copy_position: Position
    version: int
    left_out: tuple[str, ...]


Refusal = NoCopy | EmptyCopy | MajorityAvailable | NewerCopy | UnaccountedMembers | TargetInUse


@dataclass(frozen=True)
class ObservedMembers:
    """What other members tell: how new the copy is that they hold, or that they have lost theirs."""

    holders: Mapping[str, Position]
    emptied: Collection[str]


def plan_recovery(
    ip: str, copy: LoadOutcome, observed: ObservedMembers, named_lost: Collection[str]
) -> RecoveryPlan | Refusal:
    """Decide whether the copy may become a new group; pure."""
    if not isinstance(copy, Found):
        return NoCopy(() if isinstance(copy, Empty) else copy.faults)
    record = copy.record
    if not record.initialised:
        return EmptyCopy()
    members = record.document.configuration.all_addresses()
    holders = tuple(member for member in members if member in observed.holders)
    if len(holders) + (ip in members) >= vote_quorum(len(members)):
        return MajorityAvailable(holders)
    for member in holders:
        if observed.holders[member] > record.document.position:
            return NewerCopy(member, observed.holders[member])
    gone = {*observed.emptied, *named_lost}
    others = tuple(member for member in members if member not in holders and member != ip)
    unknown = tuple(member for member in others if member not in gone)
    if unknown:
        return UnaccountedMembers(unknown)
    epoch = record.promised + EPOCH_MARGIN
    token = secrets.randbits(TOKEN_BITS) + 1
    document = Document(Position(epoch, 1), Configuration((Member(ip, token),)), record.document.payload)
    version = ControlDocument.decode(document.payload).version if document.payload else 0
    return RecoveryPlan(Record(token, epoch, True, document), record.document.position, version, others)


def write_plan(plan: RecoveryPlan, directory: str, disk_mb: int) -> bool:
    """Store the record twice, so that neither of the two files holds an older one; whether that succeeded."""
    storage = Storage(directory, disk_mb)
    try:
        storage.load()
        return storage.save(plan.record) and storage.save(plan.record)
    finally:
        storage.close()


def load_copy(directory: str, disk_mb: int) -> LoadOutcome:
    """Read the copy in a folder."""
    storage = Storage(directory, disk_mb)
    try:
        return storage.load()
    finally:
        storage.close()
