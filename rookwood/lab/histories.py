"""Checks what clients were told of one key against what a register that is written once could have told.

Each try of a job is an operation with a beginning and an end. `SERVED`: it ran for this try. `REPLAYED`: the
kept result of an earlier one. `FAILED`: an earlier try, or this one, may have run. `REFUSED`: nothing ran for
it. `LOST`: its client never heard; it may have run, and may run yet. A register that is written once is
linearizable in the sense of Herlihy and Wing (1990) where the rules below hold, since its only change is from
"never ran" to one result: no order of the operations has to be searched for.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum


class Told(Enum):
    SERVED = "served"
    REPLAYED = "replayed"
    FAILED = "failed"
    REFUSED = "refused"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class Try:
    """One operation. Times are of one clock, in seconds."""

    began: float
    ended: float  # infinite where its client never heard
    told: Told
    result: str = ""


def fault(tries: Iterable[Try]) -> str | None:
    """Why no order of these explains what was told; None: there is one."""
    tries = sorted(tries, key=lambda t: t.began)
    served = [t for t in tries if t.told is Told.SERVED]
    replayed = [t for t in tries if t.told is Told.REPLAYED]
    if len(served) > 1:
        return "served twice"
    results = {t.result for t in (*served, *replayed)}
    if len(results) > 1:
        return "two results"
    # A result that is told must have been made by a try that had begun by then, and was not refused.
    makers = served or [t for t in tries if t.told in (Told.LOST, Told.FAILED)]
    first_end = min((t.ended for t in replayed), default=math.inf)
    if replayed and not any(t.began < first_end for t in makers):
        return "a result that nobody made"
    known = min((t.ended for t in (*served, *replayed)), default=math.inf)
    for t in tries:
        if t.told is Told.FAILED and t.began > known:
            return "a result that had been told was lost"
    return None
