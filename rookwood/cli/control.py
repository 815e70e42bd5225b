"""The `control` command: what the control machines of a system know, and what an operator may ask of them."""

from __future__ import annotations

import json
import sys
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Annotated, Any

import cappa

from rookwood.cli.control_checks import Violation, find_history_violations, find_violations
from rookwood.cli.control_client import (
    GroupView,
    Unreachable,
    fetch_history,
    look_at_group,
    request_transfer,
)
from rookwood.cli.control_dispatchers import find_farthest_behind
from rookwood.cli.control_recover import recover
from rookwood.cli.control_text import AgedStatus, history_text, status_text
from rookwood.cli.exit_codes import BROKEN, DONE, FAILED
from rookwood.cluster.control_status import MachineHistory
from rookwood.cluster.settings import settings_path

HTTP_OK = 200
ALL_CHANGES = 100_000
AGE_DIGITS = 3

Addresses = Annotated[
    list[str],
    cappa.Arg(num_args=-1, required=True, help="`ctl` address (ip:port) of one or more control machines"),
]
Json = Annotated[bool, cappa.Arg(long="--json", help="print JSON in place of text")]


@cappa.command(name="status")
@dataclass
class StatusCommand:
    """Who leads, under which epoch, how far each copy is, and which dispatcher is farthest behind."""

    addresses: Addresses
    json: Json = False

    def __call__(self) -> int:
        """Run the command and return the exit code."""
        view = look_at_group(self.addresses)
        violations = find_violations(view.machines.values())
        print(_as_json(view, violations) if self.json else status_text(_aged(view)))
        return _finish(view, violations)


@cappa.command(name="history")
@dataclass
class HistoryCommand:
    """The changes that one control machine remembers, oldest first."""

    addresses: Addresses
    limit: Annotated[int, cappa.Arg(long=True, help="how many of the newest changes")] = 20
    json: Json = False

    def __call__(self) -> int:
        """Run the command and return the exit code."""
        for address in self.addresses:
            history = fetch_history(address, max(0, self.limit))
            if isinstance(history, MachineHistory):
                print(json.dumps(history.to_json(), indent=1) if self.json else history_text(history))
                return DONE
            _complain(f"{history.address}: {history.reason}")
        return FAILED


@cappa.command(name="transfer")
@dataclass
class TransferCommand:
    """Have the primary hand its leadership to the most up-to-date backup."""

    addresses: Addresses
    json: Json = False

    def __call__(self) -> int:
        """Run the command and return the exit code."""
        view = look_at_group(self.addresses)
        primaries = view.primaries()
        if len(primaries) != 1:
            _complain(f"{len(primaries)} primaries are known")
            return FAILED
        reply = request_transfer(primaries[0])
        if isinstance(reply, Unreachable):
            _complain(f"{reply.address}: {reply.reason}; the leadership may have been handed over")
            return FAILED
        if reply.status != HTTP_OK:
            _complain(f"{primaries[0]}: not handed over: {json.dumps(reply.body)}")
            return FAILED
        print(json.dumps(reply.body) if self.json else f"{primaries[0]} has handed over")
        return DONE


@cappa.command(name="verify")
@dataclass
class VerifyCommand:
    """Check that no epoch has two primaries, and that copies and histories agree.

    It fails where a machine could not be asked: what that one holds was not compared.
    """

    addresses: Addresses
    json: Json = False

    def __call__(self) -> int:
        """Run the command and return the exit code."""
        view = look_at_group(self.addresses)
        histories: list[MachineHistory] = []
        for address in list(view.machines):
            history = fetch_history(address, ALL_CHANGES)
            if isinstance(history, MachineHistory):
                histories.append(history)
            else:
                view.unreachable.append(history)
        violations = find_violations(view.machines.values()) + find_history_violations(histories)
        if self.json:
            print(_as_json(view, violations))
        else:
            print(f"{len(view.machines)} machines compared, {len(violations)} broken rules")
        code = _finish(view, violations)
        return FAILED if code == DONE and view.unreachable else code


@cappa.command(name="recover")
@dataclass
class RecoverCommand:
    """Make the one copy that is left the start of a new group; for when a majority of disks is gone.

    Run it on the machine that is to lead, with its control process stopped. Without --accept-loss it only
    tells what it would do.
    """

    lost: Annotated[
        list[str], cappa.Arg(long=True, default=[], help="member whose disk is gone (once for each)")
    ] = field(default_factory=list)
    from_copy: Annotated[
        Path | None, cappa.Arg(long=True, help="folder of the copy that is left [default: datadir]")
    ] = None
    settings: Annotated[
        Path | None, cappa.Arg(long=True, help="settings file of this machine [default: as its process]")
    ] = None
    accept_loss: Annotated[
        bool, cappa.Arg(long=True, help="do it, and give up what the copy does not hold")
    ] = False

    def __call__(self) -> int:
        """Run the command and return the exit code."""
        path = str(self.settings) if self.settings else settings_path()
        return recover(path, self.from_copy, frozenset(self.lost), self.accept_loss)


@cappa.command(name="control")
@dataclass
class ControlCommand:
    """Look at the control machines, hand the leadership over, recover a lost group."""

    command: cappa.Subcommands[
        StatusCommand | HistoryCommand | TransferCommand | VerifyCommand | RecoverCommand
    ]


def main(arguments: list[str] | None = None) -> int:
    """Run `control` with the given arguments, without the program name, and return the exit code."""
    argv = sys.argv[1:] if arguments is None else arguments
    exit_code: int = cappa.invoke(ControlCommand, argv=argv)
    return exit_code


def _aged(view: GroupView) -> list[AgedStatus]:
    return [AgedStatus(answer.status, view.age(address)) for address, answer in view.answers.items()]


def _finish(view: GroupView, violations: list[Violation]) -> int:
    for missing in view.unreachable:
        _complain(f"{missing.address}: {missing.reason}")
    for violation in violations:
        _complain(f"broken: {violation.rule}, {violation.detail}: {', '.join(violation.machines)}")
    if violations:
        return BROKEN
    return DONE if view.machines else FAILED


def _as_json(view: GroupView, violations: list[Violation]) -> str:
    farthest_behind = find_farthest_behind(view.machines.values())
    document: dict[str, Any] = {
        "machines": {address: status.to_json() for address, status in view.machines.items()},
        "ages": {address: round(view.age(address), AGE_DIGITS) for address in view.answers},
        "unreachable": [asdict(missing) for missing in view.unreachable],
        "violations": [asdict(violation) for violation in violations],
        "farthest_behind": asdict(farthest_behind) if farthest_behind is not None else None,
    }
    return json.dumps(document, indent=1)


def _complain(text: str) -> None:
    print(text, file=sys.stderr)
