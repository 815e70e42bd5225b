"""What must hold between the control machines of one group, at whatever moment each was asked."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Iterator
from dataclasses import dataclass

from rookwood.cluster.control_status import MachineHistory, MachineStatus, StatePosition


@dataclass(frozen=True)
class Violation:
    """A broken rule, and the machines that show it."""

    rule: str
    detail: str
    machines: tuple[str, ...]


def find_violations(statuses: Collection[MachineStatus]) -> list[Violation]:
    """Rules that the statuses of a group's machines show to be broken."""
    return [*_find_double_primaries(statuses), *_find_unequal_copies(statuses)]


def find_history_violations(histories: Collection[MachineHistory]) -> list[Violation]:
    """Versions under which two machines remember different changes."""
    digests: dict[int, dict[str, list[str]]] = defaultdict(lambda: defaultdict(list))
    for history in histories:
        for change in history.changes:
            digests[change.version][change.digest].append(history.machine)
    return [
        Violation("one change a version", f"version {version}", _names(machines.values()))
        for version, machines in sorted(digests.items())
        if len(machines) > 1
    ]


def _find_double_primaries(statuses: Collection[MachineStatus]) -> Iterator[Violation]:
    primaries: dict[int, set[str]] = defaultdict(set)
    for status in statuses:
        if status.primary and status.epoch:
            primaries[status.epoch].add(status.primary)
    for epoch, machines in sorted(primaries.items()):
        if len(machines) > 1:
            yield Violation("one primary an epoch", f"epoch {epoch}", tuple(sorted(machines)))


def _find_unequal_copies(statuses: Collection[MachineStatus]) -> Iterator[Violation]:
    copies: dict[StatePosition, dict[str, list[str]]] = defaultdict(lambda: defaultdict(list))
    for status in statuses:
        copies[status.committed][status.digest].append(status.machine)
    for position, machines in sorted(copies.items()):
        if len(machines) > 1:
            yield Violation("equal copies at one position", str(position), _names(machines.values()))


def _names(groups: Collection[list[str]]) -> tuple[str, ...]:
    return tuple(sorted({name for names in groups for name in names}))
