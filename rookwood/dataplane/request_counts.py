"""Counts of client requests: how they ended, and why this dispatcher refused some itself; no I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

STATUS_CLASS = 100
NO_ANSWER = 0


class RequestOutcome(StrEnum):
    """How a request ended."""

    ANSWERED = "answered"  # a worker's answer was passed on
    REFUSED = "refused"  # an answer of the dispatcher's own
    CUT = "cut"  # a stream that could not be finished
    ABANDONED = "abandoned"  # the client left, or the process ended, before the answer did
    FAILED = "failed"  # a defect


@dataclass(frozen=True, slots=True)
class EndedRequests:
    """How many requests ended in one way, with the class of the answer's status, such as `2xx`.

    The class is empty where there was no answer.
    """

    outcome: RequestOutcome
    status_class: str
    count: int


@dataclass(frozen=True, slots=True)
class RefusalCause:
    """Status and reason of an answer of the dispatcher's own."""

    status: int
    reason: str


class RequestCounts:
    """Counts since the start of the process."""

    def __init__(self) -> None:
        self._by_status: dict[str, Counter[int]] = {outcome.value: Counter() for outcome in RequestOutcome}
        self.refusals: Counter[RefusalCause] = Counter()
        self.attempts = 0

    def count_end(self, outcome: RequestOutcome, status: int = NO_ANSWER) -> None:
        """A request ended, with this status if it was answered."""
        self._by_status[outcome.value][status] += 1

    def count_rejection(self, status: int, reason: str) -> None:
        """A request was given an answer of the dispatcher's own."""
        self.refusals[RefusalCause(status, reason)] += 1
        self.count_end(RequestOutcome.REFUSED, status)

    def ended(self) -> Iterator[EndedRequests]:
        """All requests that ended, by outcome and class of status."""
        for outcome in RequestOutcome:
            classes: Counter[str] = Counter()
            for status, count in self._by_status[outcome.value].items():
                classes[status_class(status)] += count
            for name, count in classes.items():
                yield EndedRequests(outcome, name, count)


def status_class(status: int) -> str:
    """The class of a status, such as `2xx`; empty for no answer."""
    return "" if status == NO_ANSWER else f"{status // STATUS_CLASS}xx"
