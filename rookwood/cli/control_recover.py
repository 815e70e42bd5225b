"""The `control recover` command: reads the copy, asks who is alive, tells what is given up, and does it."""

from __future__ import annotations

import sys
from pathlib import Path

from rookwood.cli.control_client import Unreachable, fetch_status
from rookwood.cli.exit_codes import DONE, FAILED, FAULTY
from rookwood.cluster.settings import NodeSettings, SettingsError, load_settings
from rookwood.controlplane.group_recovery import (
    EmptyCopy,
    MajorityAvailable,
    NewerCopy,
    NoCopy,
    ObservedMembers,
    RecoveryPlan,
    Refusal,
    TargetInUse,
    UnaccountedMembers,
    copy_presence_changes,
    load_copy,
    plan_recovery,
    write_plan,
)
from rookwood.coordination.document import Position
from rookwood.coordination.storage import Empty, Found

CONTROL_LISTENER = "ctl"


def recover(settings_file: str, from_copy: Path | None, lost: frozenset[str], accept_loss: bool) -> int:
    """Run the command and return the exit code: 2 where it is refused or not confirmed."""
    try:
        settings = load_settings(settings_file)
    except SettingsError as error:
        return _refuse(str(error))
    if settings.data_directory is None or CONTROL_LISTENER not in settings.listen:
        return _refuse(f"{settings_file}: not the settings of a control machine")
    if not isinstance(fetch_status(str(settings.listen[CONTROL_LISTENER])), Unreachable):
        return _refuse(f"the control process of {settings.ip} still runs: stop it first")
    plan = make_plan(settings, settings.data_directory, from_copy, lost)
    if not isinstance(plan, RecoveryPlan):
        return _refuse(explain(plan))
    print(describe(plan, settings.ip))
    if not accept_loss:
        return _refuse("nothing was changed: repeat with --accept-loss to do it")
    if from_copy and not copy_presence_changes(str(from_copy), settings.data_directory):
        print(f"{from_copy}: the list of workers that left is not readable or not copied", file=sys.stderr)
    if not write_plan(plan, settings.data_directory, settings.disk_megabytes):
        print(f"{settings.data_directory}: the disk refused the write", file=sys.stderr)
        return FAILED
    print("done: start this machine, then the others with empty disks, all with bootstrap false")
    return DONE


def make_plan(
    settings: NodeSettings, directory: str, from_copy: Path | None, lost: frozenset[str]
) -> RecoveryPlan | Refusal:
    """Read the copy, look at the other members, and decide."""
    source = str(from_copy) if from_copy else directory
    if source != directory and load_copy(directory, settings.disk_megabytes) != Empty():
        return TargetInUse(directory)
    copy = load_copy(source, settings.disk_megabytes)
    members = copy.record.document.configuration.all_addresses() if isinstance(copy, Found) else ()
    return plan_recovery(settings.ip, copy, observe(settings, members), lost)


def observe(settings: NodeSettings, members: tuple[str, ...]) -> ObservedMembers:
    """Ask the other members whether they hold a copy."""
    port = settings.listen[CONTROL_LISTENER].port
    holders: dict[str, Position] = {}
    emptied: set[str] = set()
    for member in members:
        if member == settings.ip:
            continue
        status = fetch_status(f"{member}:{port}")
        if isinstance(status, Unreachable):
            continue
        if status.holds_copy:
            holders[member] = Position(status.stored.epoch, status.stored.sequence)
        else:
            emptied.add(member)
    return ObservedMembers(holders, emptied)


def explain(refusal: Refusal) -> str:
    """Why there will be no new group, and what to do."""
    match refusal:
        case NoCopy(faults):
            told = "; ".join(f"{fault.slot}: {fault.kind.value}, {fault.detail}" for fault in faults)
            return f"no copy can be read here: {told or 'the folder is empty'}"
        case EmptyCopy():
            return "this machine never stored a document: there is nothing to recover from"
        case MajorityAvailable(holders):
            return f"with this copy a majority still has its disk ({', '.join(holders)}): start this machine"
        case UnaccountedMembers(members):
            return (
                f"not known to be lost: {', '.join(members)}. Where such a disk can be brought back, do so. "
                "Name each that is gone for good with --lost"
            )
        case NewerCopy(member, position):
            return f"{member} holds a newer copy, {position[0]}/{position[1]}: recover from that one"
        case TargetInUse(directory):
            return f"{directory} holds files already: empty it, or leave --from-copy out"


def describe(plan: RecoveryPlan, ip: str) -> str:
    """What the new group begins with, and what is given up."""
    old, new = plan.copy_position, plan.record.document.position
    return "\n".join(
        [
            f"new group: {ip} alone, at epoch {new.epoch}; {', '.join(plan.left_out) or 'nobody'} left out",
            f"it begins with configuration version {plan.version}, as this copy has it at {old[0]}/{old[1]}",
            "given up: every change acknowledged after that, which only the lost disks held;",
            "  compare the configuration with your own record, and send again what is missing",
            "a change sent again that was taken before is still acknowledged if this copy knows it",
            "workers that drained or deregistered stay away if this copy knows of it",
            "until a second machine has joined there is one copy only",
        ]
    )


def _refuse(reason: str) -> int:
    print(reason, file=sys.stderr)
    return FAULTY
