"""Which dispatcher is farthest behind, from what all control machines that answered tell."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from rookwood.cluster.control_status import MachineStatus, StatePosition


@dataclass(frozen=True)
class FarthestBehind:
    """The dispatcher that has lacked a commit for the longest, and the control machine that tells it."""

    dispatcher: str
    position: StatePosition
    seconds: float
    told_by: str


def find_farthest_behind(statuses: Iterable[MachineStatus]) -> FarthestBehind | None:
    """The longest time that any machine tells; None where nobody knows of a dispatcher that is behind.

    A machine that was cut off or has just started knows of fewer commits, so the longest time counts.
    """
    told = list(_told(statuses))
    return max(told, key=lambda farthest: farthest.seconds) if told else None


def _told(statuses: Iterable[MachineStatus]) -> Iterator[FarthestBehind]:
    for status in statuses:
        behind = status.dispatchers.farthest_behind if status.dispatchers is not None else None
        if behind is not None:
            yield FarthestBehind(behind.dispatcher, behind.position, behind.seconds, status.machine)
