"""Names of the mechanisms that decide where requests and weights go, and those that a program runs without.

An operator who measures what a mechanism is worth starts the programs with `--without NAME`. One list of
names serves both programs: each leaves out what the other one runs. What `docs/policy.md` lists and what is
not here keeps a rule of the protocol, and can't be switched off.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Mechanism(StrEnum):
    """A mechanism that can be switched off."""

    # Choice of the worker, at a dispatcher.
    TABLE_DRAWS = "table-draws"  # two draws over the placement table's fractions, beside two over all holders
    SHARED_BACKLOG = "shared-backlog"  # dispatchers tell one another of the prompts that they send
    CACHED_PREFIXES = "cached-prefixes"  # a prompt's parts that a worker has read need no second reading
    READING_SPEED = "reading-speed"  # seconds for a prompt token are learned for each model
    READING_COSTS = "reading-costs"  # long prompts and long streams part ways
    TOLD_LOAD = "told-load"  # the load that workers add to their answers
    PREFER_CONNECTED = "prefer-connected"  # a worker with a kept connection goes before an equal one without
    AVOID_FAILED = "avoid-failed"  # a worker that failed is avoided, longer each time
    LACKING_WEIGHTS = "lacking-weights"  # a worker that said 421 is not asked again for a moment
    # What becomes of a request, at a dispatcher.
    LEAVE_SILENT = "leave-silent"  # a request leaves a worker that fell silent
    RETURN_TIMES = "return-times"  # a refusal at once that tells when the model should be there
    WAIT_SHARE = "wait-share"  # a request waits for its weights for a share of its time only
    ROUTE_RANK = "route-rank"  # workers are told the route's rank
    SHORT_FIRST = "short-first"  # short prompts go first at a worker that has room
    KEEP_ALIVE = "keep-alive"  # connections are kept for as long as workers tell
    # Placement, at the control machines.
    UNLOAD_NOTICE = "unload-notice"  # dispatchers hear of an unload before its order
    ROOM_DURING_EVICTIONS = "room-during-evictions"  # room is made for loads that come while evictions last
    MORE_COPIES = "more-copies"  # further copies of models in demand
    UNPLACED_ADAPTERS = "unplaced-adapters"  # adapters that are asked for are placed before anyone waits
    SPARE_ROOM = "spare-room"  # room is made ahead for loads that are expected
    POPULARITY = "popularity"  # an eviction minds what was asked for over the last minute
    BUSY_REPORTS = "busy-reports"  # busy workers are asked for their report more often


@dataclass(frozen=True, slots=True)
class Mechanisms:
    """The mechanisms that a program runs with: all but those that are switched off."""

    off: frozenset[Mechanism] = frozenset()

    def has(self, mechanism: Mechanism) -> bool:
        """Tell whether a mechanism is on."""
        return mechanism not in self.off


ALL_MECHANISMS = Mechanisms()


class UnknownMechanismError(ValueError):
    """A name that no mechanism has; its text is one line."""


def read_mechanisms(names: str) -> Mechanisms:
    """Read the names of mechanisms to switch off, with commas between; raises UnknownMechanismError."""
    known = {mechanism.value: mechanism for mechanism in Mechanism}
    off = set()
    for name in names.split(","):
        if name not in known:
            raise UnknownMechanismError(f"unknown mechanism {name!r}; one of {', '.join(sorted(known))}")
        off.add(known[name])
    return Mechanisms(frozenset(off))
