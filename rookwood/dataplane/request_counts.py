"""Counts of client requests by outcome, and of the dispatcher's error responses by cause; performs no I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

STATUS_CLASS_SIZE = 100
NO_RESPONSE = 0


class RequestOutcome(StrEnum):
    """How a request ended."""

    ANSWERED = "answered"  # a worker's response was forwarded completely
    REFUSED = "refused"  # the dispatcher sent an error response of its own
    CUT = "cut"  # a stream could not be finished
    ABANDONED = "abandoned"  # the client left, or the process ended, before the end of the response
    FAILED = "failed"  # an unexpected exception, which is a defect of the dispatcher


@dataclass(frozen=True, slots=True)
class EndedRequests:
    """The number of requests with one outcome and one class of response status, such as `2xx`.

    The class is empty if there was no response.
    """

    outcome: RequestOutcome
    status_class: str
    count: int


@dataclass(frozen=True, slots=True)
class ErrorResponseCause:
    """The status and reason of an error response of the dispatcher."""

    status: int
    reason: str


class RequestCounts:
    """Counts since the start of the process."""

    def __init__(self) -> None:
        self._by_status: dict[str, Counter[int]] = {outcome.value: Counter() for outcome in RequestOutcome}
        self.error_responses: Counter[ErrorResponseCause] = Counter()
        self.attempts = 0

    def count_end(self, outcome: RequestOutcome, status: int = NO_RESPONSE) -> None:
        """Count a request that ended, with the status of its response if it had one."""
        self._by_status[outcome.value][status] += 1

    def count_rejection(self, status: int, reason: str) -> None:
        """Count a request that got an error response from the dispatcher."""
        self.error_responses[ErrorResponseCause(status, reason)] += 1
        self.count_end(RequestOutcome.REFUSED, status)

    def ended_requests(self) -> Iterator[EndedRequests]:
        """The counts of ended requests by outcome and status class."""
        for outcome in RequestOutcome:
            classes: Counter[str] = Counter()
            for status, count in self._by_status[outcome.value].items():
                classes[status_class(status)] += count
            for name, count in classes.items():
                yield EndedRequests(outcome, name, count)


def status_class(status: int) -> str:
    """The class of a status, such as `2xx`; empty for no response."""
    return "" if status == NO_RESPONSE else f"{status // STATUS_CLASS_SIZE}xx"
