"""Builds a new control group from one remaining copy, after a majority of the disks was lost.

The copy becomes the document of a group with one member, this machine under a new token, at an epoch above
all that the lost disks can have promised. The other machines join that group with empty disks, as new
machines do.

Recovery gives up everything that only the lost disks held. It is therefore refused while a majority of the
members may still have their disks.
"""

from __future__ import annotations

import secrets
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from rookwood.clusterconfig.control_document import ControlDocument
from rookwood.controlplane.presence_storage import PresenceStorage
from rookwood.coordination.document import Configuration, Document, Member, Position, Record
from rookwood.coordination.quorum import vote_quorum
from rookwood.coordination.storage import Empty, Found, LoadOutcome, SlotFault, Storage

TOKEN_BITS = 62

# Each candidacy uses one epoch, and there is about one in half a second at most. The lost disks can have come
# near this margin only if they held elections without this machine for minutes.
EPOCH_MARGIN = 1000


@dataclass(frozen=True)
class NoCopy:
    """The directory holds no readable record; `faults` names the fault of each file."""

    faults: tuple[SlotFault, ...]


@dataclass(frozen=True)
class EmptyCopy:
    """The copy belongs to a machine that held no document yet."""


@dataclass(frozen=True)
class MajorityAvailable:
    """Together with this copy a majority of the members has its disks; they only have to be started."""

    holders: tuple[str, ...]


@dataclass(frozen=True)
class NewerCopy:
    """Another member holds a newer copy, from which the group must be recovered instead."""

    member: str
    position: Position


@dataclass(frozen=True)
class UnaccountedMembers:
    """These members neither report that their disk is lost nor were named as lost."""

    members: tuple[str, ...]


@dataclass(frozen=True)
class TargetInUse:
    """The directory in which the new group would be stored already holds other files."""

    directory: str


@dataclass(frozen=True)
class RecoveryPlan:
    """The record to write, the position and version of the copy, and the members that are left out."""

    record: Record
    copy_position: Position
    version: int
    left_out: tuple[str, ...]


Refusal = NoCopy | EmptyCopy | MajorityAvailable | NewerCopy | UnaccountedMembers | TargetInUse


@dataclass(frozen=True)
class ObservedMembers:
    """What other members report: the position of each one's copy, and which of them hold no copy."""

    holders: Mapping[str, Position]
    emptied: Collection[str]


def plan_recovery(
    ip: str, copy: LoadOutcome, observed: ObservedMembers, named_lost: Collection[str]
) -> RecoveryPlan | Refusal:
    """Decide whether the copy may become a new group; no I/O."""
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
    lost = {*observed.emptied, *named_lost}
    others = tuple(member for member in members if member not in holders and member != ip)
    unaccounted = tuple(member for member in others if member not in lost)
    if unaccounted:
        return UnaccountedMembers(unaccounted)
    epoch = record.promised + EPOCH_MARGIN
    token = secrets.randbits(TOKEN_BITS) + 1
    document = Document(Position(epoch, 1), Configuration((Member(ip, token),)), record.document.payload)
    version = ControlDocument.decode(document.payload).version if document.payload else 0
    return RecoveryPlan(Record(token, epoch, True, document), record.document.position, version, others)


def write_plan(plan: RecoveryPlan, directory: str, disk_mb: int) -> bool:
    """Store the record twice, so that neither of the two files keeps an older one; returns the success."""
    storage = Storage(directory, disk_mb)
    try:
        storage.load()
        return storage.save(plan.record) and storage.save(plan.record)
    finally:
        storage.close()


def copy_presence_changes(source: str, directory: str) -> bool:
    """Store the drains and deregistrations of a copy beside the new record; returns the success.

    They are a help and no condition: a copy without a list succeeds.
    """
    original, target = PresenceStorage(source), PresenceStorage(directory)
    try:
        outcome = original.load()
        if isinstance(outcome, Empty):
            return True
        if not isinstance(outcome, Found):
            return False
        target.load()
        return target.save(outcome.record) and target.save(outcome.record)
    finally:
        original.close()
        target.close()


def load_copy(directory: str, disk_mb: int) -> LoadOutcome:
    """Read the copy in a directory."""
    storage = Storage(directory, disk_mb)
    try:
        return storage.load()
    finally:
        storage.close()
