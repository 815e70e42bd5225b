"""What control machines tell, as text for `rookwood control`."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from rookwood.cli.control_dispatchers import find_farthest_behind
from rookwood.cluster.control_status import MachineHistory, MachineStatus, StatePosition
from rookwood.cluster.position import NO_CONFIGURATION

COLUMNS = (
    *("machine", "role", "epoch", "committed", "stored", "version", "lag", "copy", "dispatchers"),
    *("digest", "age"),
)
WITHOUT_CONFIGURATION = StatePosition(NO_CONFIGURATION.epoch, NO_CONFIGURATION.sequence)


@dataclass(frozen=True)
class AgedStatus:
    """A machine's status, and for how many seconds at the most it is old."""

    status: MachineStatus
    age: float


def status_text(told: Sequence[AgedStatus]) -> str:
    """A table of the machines, and what follows from all of them together."""
    statuses = [aged.status for aged in told]
    newest = max((status.committed for status in statuses), default=None)
    newest_epoch = max((status.epoch for status in statuses), default=0)
    rows = [COLUMNS]
    for status, age in ((aged.status, aged.age) for aged in told):
        behind = newest is not None and status.committed < newest
        rows.append(
            (
                status.machine,
                _role(status, newest_epoch),
                str(status.epoch or "-"),
                str(status.committed),
                str(status.stored),
                str(status.version),
                _lag(status, newest.sequence if newest and behind else None, newest.epoch if newest else 0),
                "yes" if status.holds_copy else "no",
                "-" if status.dispatchers is None else str(status.dispatchers.reporting),
                status.digest,
                f"{age:.2f} s",
            )
        )
    widths = [max(len(row[column]) for row in rows) for column in range(len(COLUMNS))]
    lines = ["  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)) for row in rows]
    return "\n".join(line.rstrip() for line in [*lines, *_summary(statuses)])


def _role(status: MachineStatus, newest_epoch: int) -> str:
    """The role; who says to lead an older epoch than another machine knows has been replaced."""
    if status.claims_primary and status.epoch < newest_epoch:
        return f"{status.role.value} until epoch {newest_epoch}"
    return status.role.value + (f" ({status.reason})" if status.reason else "")


def _summary(statuses: Sequence[MachineStatus]) -> list[str]:
    """Members, how many machines have synced the newest committed document, and the last dispatcher."""
    if not statuses:
        return []
    newest = max(statuses, key=lambda status: status.committed)
    holders = [status for status in statuses if status.holds_copy and status.stored >= newest.committed]
    members = ", ".join(newest.members) or "none known"
    return [
        f"members: {members}",
        f"copies of {newest.committed}: {len(holders)} of {len(newest.members)}",
        f"farthest behind: {_farthest_behind(statuses)}",
    ]


def _farthest_behind(statuses: Sequence[MachineStatus]) -> str:
    told = find_farthest_behind(statuses)
    if told is not None:
        has = "no configuration" if told.position == WITHOUT_CONFIGURATION else str(told.position)
        late = f"{told.seconds:.1f} s after a newer commit"
        return f"dispatcher {told.dispatcher} has {has}, {late}, told by {told.told_by}"
    overviews = [status.dispatchers for status in statuses if status.dispatchers is not None]
    if not overviews:
        return "not known, no machine tells it"
    if not any(overview.reporting for overview in overviews):
        return "no dispatcher reports"
    return "none, all dispatchers that report are level"


def _lag(status: MachineStatus, newest_sequence: int | None, newest_epoch: int) -> str:
    if newest_sequence is None:
        return "0"
    if status.committed.epoch != newest_epoch:
        return "older epoch"
    return str(newest_sequence - status.committed.sequence)


def history_text(history: MachineHistory) -> str:
    """A machine's position, and a line for each change that it remembers."""
    lines = [f"{history.machine} at {history.committed}"]
    return "\n".join([*lines, *(f"{change.version}  {change.digest}" for change in history.changes)])
