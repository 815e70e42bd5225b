"""The JSON status and history of a control machine; no I/O.

`controlplane/control_api.py` writes these documents and `rookwood control` reads them.
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
    """A response body is not a status or a history."""


class ControlRole(enum.Enum):
    """The role that a control machine reports."""

    PRIMARY = "primary"
    BACKUP = "backup"
    LEARNER = "learner"  # follows the primary without being a member
    UNATTACHED = "unattached"  # starting, recovering, joining, or without a known primary


@dataclass(frozen=True, order=True)
class StatePosition:
    """The position of a control document in the order of all commits."""

    epoch: int
    sequence: int

    def __str__(self) -> str:
        return f"{self.epoch}/{self.sequence}"


@dataclass(frozen=True)
class DispatcherBehind:
    """A dispatcher that does not have the newest committed configuration in force.

    `position` is the one that it reported, `seconds` the age of the oldest commit after it.
    """

    dispatcher: str
    position: StatePosition
    seconds: float


@dataclass(frozen=True)
class DispatcherOverview:
    """How many dispatchers report to a control machine, and which is farthest behind, if any is."""

    reporting: int
    farthest_behind: DispatcherBehind | None


@dataclass(frozen=True)
class MachineStatus:
    """The status of a control machine, of its copy and of the dispatchers that report to it.

    `reason` says why a machine is unattached. `committed` is the position of the newest document that the
    machine knows to be committed, `digest` the digest of its payload and `version` the version of its
    configuration. `stored` is the position that the machine has synced to disk. `holds_copy` is false while
    the machine is joining or recovering, when its disk does not count towards a majority. `dispatchers` is
    None for a machine of a release that does not report it. `changes_members`: a machine or a disk is being
    admitted in place of another one, and both sets of members must have a majority until that is complete.
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
    changes_members: bool = False

    @property
    def claims_primary(self) -> bool:
        """Whether the machine reports itself as the primary."""
        return self.primary == self.machine

    def to_json(self) -> dict[str, Any]:
        """Return the status as JSON values."""
        return {**asdict(self), "role": self.role.value}

    @classmethod
    def from_json(cls, value: object) -> MachineStatus:
        """Parse what `to_json` returned; unknown keys are ignored. Raises ControlStatusError."""
        fields = _require_object(value)
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
                committed=_parse_position(fields["committed"]),
                stored=_parse_position(fields["stored"]),
                version=int(fields["version"]),
                digest=str(fields["digest"]),
                dispatchers=_parse_overview(fields.get("dispatchers")),
                changes_members=bool(fields.get("changes_members", False)),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise ControlStatusError(f"not the status of a control machine: {error!r}") from error


@dataclass(frozen=True)
class HistoryEntry:
    """An accepted change: the version that it led to, and its digest."""

    version: int
    digest: str


@dataclass(frozen=True)
class MachineHistory:
    """The accepted changes that a control machine remembers, oldest first."""

    machine: str
    committed: StatePosition
    changes: tuple[HistoryEntry, ...]

    def to_json(self) -> dict[str, Any]:
        """Return the history as JSON values."""
        return asdict(self)

    @classmethod
    def from_json(cls, value: object) -> MachineHistory:
        """Parse what `to_json` returned; unknown keys are ignored. Raises ControlStatusError."""
        fields = _require_object(value)
        try:
            changes = tuple(
                HistoryEntry(int(change["version"]), str(change["digest"])) for change in fields["changes"]
            )
            return cls(str(fields["machine"]), _parse_position(fields["committed"]), changes)
        except (KeyError, TypeError, ValueError) as error:
            raise ControlStatusError(f"not the history of a control machine: {error!r}") from error


def _require_object(value: object) -> Mapping[str, Any]:
    if not isinstance(value, dict):
        raise ControlStatusError("not a JSON object")
    return value


def _parse_position(value: Mapping[str, Any]) -> StatePosition:
    return StatePosition(int(value["epoch"]), int(value["sequence"]))


def _parse_overview(value: Mapping[str, Any] | None) -> DispatcherOverview | None:
    if value is None:
        return None
    return DispatcherOverview(int(value["reporting"]), _parse_lagging_dispatcher(value["farthest_behind"]))


def _parse_lagging_dispatcher(value: Mapping[str, Any] | None) -> DispatcherBehind | None:
    if value is None:
        return None
    return DispatcherBehind(
        str(value["dispatcher"]), _parse_position(value["position"]), float(value["seconds"])
    )
