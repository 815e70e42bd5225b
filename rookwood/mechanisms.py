"""The mechanisms that decide where requests and weights go, and that a program can run without.

To measure what a mechanism is worth, an operator starts the programs with `--without NAME`. The same list of
names is valid for both programs, and each ignores the mechanisms of the other one. A mechanism that
`docs/policy.md` lists and that is missing here enforces a rule of the protocol: it can't be switched off.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Mechanism(StrEnum):
    """A mechanism that can be switched off, by the name that the command line uses."""

    # Choice of the worker, at a dispatcher.
    TABLE_DRAWS = (
        "table-draws"  # draws two workers by the table's fractions, besides two of all that have the model
    )
    SHARED_BACKLOG = "shared-backlog"  # dispatchers tell one another about the prompts that they send
    CACHED_PREFIXES = "cached-prefixes"  # prefixes that a worker has cached shorten its estimated prefill
    READING_SPEED = "reading-speed"  # the prefill time of a token is learned for each model
    READING_COSTS = "reading-costs"  # long prompts and long streams go to different workers
    TOLD_LOAD = "told-load"  # the load that workers report with their responses
    PREFER_CONNECTED = "prefer-connected"  # of equal workers, one with an idle connection is preferred
    AVOID_FAILED = "avoid-failed"  # a worker that failed is avoided, for longer each time
    LACKING_WEIGHTS = "lacking-weights"  # a worker that responded 421 is not tried again for a moment
    # Handling of a request, at a dispatcher.
    LEAVE_SILENT = "leave-silent"  # a request on an unresponsive worker is retried elsewhere
    RETURN_TIMES = "return-times"  # an immediate rejection says when the model should be loaded
    WAIT_SHARE = "wait-share"  # a request waits for weights for only a share of its time
    ROUTE_RANK = "route-rank"  # workers receive the rank of the request's route
    SHORT_FIRST = "short-first"  # a worker that has room gets short prompts first
    KEEP_ALIVE = "keep-alive"  # idle connections are kept for as long as workers announce
    # Placement, at the control machines.
    UNLOAD_NOTICE = "unload-notice"  # dispatchers are notified of an unload before it is ordered
    ROOM_DURING_EVICTIONS = (
        "room-during-evictions"  # evictions begin for loads that the load rate will permit by their end
    )
    MORE_COPIES = "more-copies"  # further copies of models in demand
    UNPLACED_ADAPTERS = "unplaced-adapters"  # requested adapters are placed before a request waits
    SPARE_ROOM = "spare-room"  # room is made ahead for loads that are expected
    POPULARITY = "popularity"  # evictions spare what was requested in the last minute
    BUSY_REPORTS = "busy-reports"  # busy workers are polled for reports more often


@dataclass(frozen=True, slots=True)
class Mechanisms:
    """The mechanisms that a program runs with: all but those that are switched off."""

    off: frozenset[Mechanism] = frozenset()

    def has(self, mechanism: Mechanism) -> bool:
        """Return whether a mechanism is on."""
        return mechanism not in self.off


ALL_MECHANISMS = Mechanisms()


class UnknownMechanismError(ValueError):
    """No mechanism has this name. The message is one line."""


def read_mechanisms(names: str) -> Mechanisms:
    """Parse the comma-separated names of mechanisms to switch off. Raises UnknownMechanismError."""
    known = {mechanism.value: mechanism for mechanism in Mechanism}
    off = set()
    for name in names.split(","):
        if name not in known:
            raise UnknownMechanismError(f"unknown mechanism {name!r}; one of {', '.join(sorted(known))}")
        off.add(known[name])
    return Mechanisms(frozenset(off))
