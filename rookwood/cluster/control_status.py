"""What a control machine tells of itself and of its copy of the control state, as JSON; no I/O.

Both sides use this module: `controlplane/control_api.py` writes it and `rookwood control` reads it.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import asdict, dataclass
from typing import Any

STATUS_PATH = "/control/status"
HISTORY_PATH = "/control/history"
TRANSFER_PATH = "/control/transfer"


class ControlStatusError(ValueError):
    """A body does not tell a status or a history."""


class ControlRole(enum.Enum):
    """What a control machine takes itself for."""

    PRIMARY = "primary"
    BACKUP = "backup"
    LEARNER = "learner"  # follows the primary without being a member
    UNATTACHED = "unattached"


@dataclass(frozen=True, order=True)
class StatePosition:
    """The place of a document in the history."""

    epoch: int
    sequence: int

    def __str__(self) -> str:
        return f"{self.epoch}/{self.sequence}"


@dataclass(frozen=True)
class DispatcherBehind:
    """A dispatcher that lacks a committed configuration.

    `position` is what it reported, `seconds` the age of the oldest commit after that.
    """

    dispatcher: str
    position: StatePosition
    seconds: float


@dataclass(frozen=True)
class DispatcherOverview:
    """The dispatchers that report to a control machine: how many, and who is farthest behind if anyone is."""

    reporting: int
    farthest_behind: DispatcherBehind | None


@dataclass(frozen=True)
class MachineStatus:
    """One control machine, its copy, and the dispatchers that report to it.

    `committed` is the newest document known here to be committed, `digest` that of its payload and `version`
    that of its configuration. `stored` is what this machine has synced. `holds_copy` is false while the
    machine is joining or recovering: its disk then counts for nothing. `dispatchers` is None where the
    machine is of a release that does not tell it.
    """

    machine: str
    role: ControlRole
    reason: str
    primary: str
    epoch: int
    fresh: bool
    holds_copy: bool
    members: tuple[str, ...]
    reachable: tuple[str, ...]
    committed: StatePosition
    stored: StatePosition
    version: int
    digest: str
    dispatchers: DispatcherOverview | None

    @property
    def claims_primary(self) -> bool:
        """Whether the machine takes itself for the primary."""
        return self.primary == self.machine

    def to_json(self) -> dict[str, Any]:
        """The status as JSON values."""
        return {**asdict(self), "role": self.role.value}

    @classmethod
    def from_json(cls, value: object) -> MachineStatus:
        """Read what `to_json` wrote; unknown keys are passed over."""
        fields = _object(value)
        try:
            return cls(
                machine=str(fields["machine"]),
                role=ControlRole(fields["role"]),
                reason=str(fields["reason"]),
                primary=str(fields["primary"]),
                epoch=int(fields["epoch"]),
                fresh=bool(fields["fresh"]),
                holds_copy=bool(fields["holds_copy"]),
                members=tuple(str(member) for member in fields["members"]),
                reachable=tuple(str(member) for member in fields["reachable"]),
                committed=_position(fields["committed"]),
                stored=_position(fields["stored"]),
                version=int(fields["version"]),
                digest=str(fields["digest"]),
                dispatchers=_overview(fields.get("dispatchers")),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise ControlStatusError(f"no status of a control machine: {error!r}") from error


@dataclass(frozen=True)
class HistoryEntry:
    """A change that was taken: the version that it led to, and its digest."""

    version: int
    digest: str


@dataclass(frozen=True)
class MachineHistory:
    """The changes that a control machine remembers, oldest first."""

    machine: str
    committed: StatePosition
    changes: tuple[HistoryEntry, ...]

    def to_json(self) -> dict[str, Any]:
        """The history as JSON values."""
        return asdict(self)

    @classmethod
    def from_json(cls, value: object) -> MachineHistory:
        """Read what `to_json` wrote; unknown keys are passed over."""
        fields = _object(value)
        try:
            changes = tuple(
                HistoryEntry(int(change["version"]), str(change["digest"])) for change in fields["changes"]
            )
            return cls(str(fields["machine"]), _position(fields["committed"]), changes)
        except (KeyError, TypeError, ValueError) as error:
            raise ControlStatusError(f"no history of a control machine: {error!r}") from error


def _object(value: object) -> Mapping[str, Any]:
    if not isinstance(value, dict):
        raise ControlStatusError("not a JSON object")
    return value


def _position(value: Mapping[str, Any]) -> StatePosition:
    return StatePosition(int(value["epoch"]), int(value["sequence"]))


def _overview(value: Mapping[str, Any] | None) -> DispatcherOverview | None:
    if value is None:
        return None
    return DispatcherOverview(int(value["reporting"]), _behind(value["farthest_behind"]))


def _behind(value: Mapping[str, Any] | None) -> DispatcherBehind | None:
    if value is None:
        return None
    return DispatcherBehind(str(value["dispatcher"]), _position(value["position"]), float(value["seconds"]))
