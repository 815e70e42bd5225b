"""Counts of client requests: how they ended, and why this dispatcher refused some itself; no I/O."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import StrEnum

STATUS_CLASS = 100


class RequestOutcome(StrEnum):
    """How a request ended."""

    ANSWERED = "answered"  # a worker's answer was passed on
    REFUSED = "refused"  # an answer of the dispatcher's own
    CUT = "cut"  # a stream that could not be finished
    ABANDONED = "abandoned"  # the client left, or the process ended, before the answer did
    FAILED = "failed"  # a defect


@dataclass(frozen=True, slots=True)
class EndedRequest:
    """An outcome and the class of the answer's status, such as `2xx`; empty without an answer."""

    outcome: RequestOutcome
    status_class: str = ""


@dataclass(frozen=True, slots=True)
class RefusalCause:
    """Status and reason of an answer of the dispatcher's own."""

    status: int
    reason: str


class RequestCounts:
    """Counts since the start of the process."""

    def __init__(self) -> None:
        self.ended: Counter[EndedRequest] = Counter()
        self.refusals: Counter[RefusalCause] = Counter()
        self.attempts = 0

    def end(self, outcome: RequestOutcome, status: int | None = None) -> None:
        """A request ended, with this status if it was answered."""
        status_class = "" if status is None else f"{status // STATUS_CLASS}xx"
        self.ended[EndedRequest(outcome, status_class)] += 1

    def refuse(self, status: int, reason: str) -> None:
        """A request was given an answer of the dispatcher's own."""
        self.refusals[RefusalCause(status, reason)] += 1
        self.end(RequestOutcome.REFUSED, status)
