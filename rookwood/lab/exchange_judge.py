"""Judges exchanges by what clients and workers saw on their own sockets; knows nothing of the dispatcher."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum, StrEnum

EVENTS = 4  # in each whole stream
TRIES = 3
SUCCESSES = range(200, 300)
PROMISES = frozenset({408, 421, 429, 503})  # to a client these say that the request has not run
BODY_PATTERN = 64


class RequestKind(Enum):
    """Kinds of routes; the value is the route's prefix."""

    SAFE = "/safe/"
    MUTATING = "/mutating/"
    STREAM = "/stream/"
    RESUMABLE = "/resumable/"

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self in (RequestKind.SAFE, RequestKind.RESUMABLE)

    @property
    def streams(self) -> bool:
        """Whether the answer is a series of events."""
        return self in (RequestKind.STREAM, RequestKind.RESUMABLE)


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request as a client sends it; its body follows from its id and size."""

    id: str
    kind: RequestKind
    body_size: int
    method: str = "POST"

    @property
    def target(self) -> str:
        """The target of the request line."""
        return f"{self.kind.value}{self.id}/{self.body_size}"

    @property
    def body(self) -> bytes:
        """The body."""
        return request_body(self.id, self.body_size)


@dataclass(frozen=True, slots=True)
class WorkerRun:
    """A request that reached a worker whole, or was answered before that.

    `whole_body` is what a reader may take for the whole answer: None where the answer is not a true and whole
    one. `closes_early` says that it ended in the middle by an orderly close with nothing to tell its length.
    """

    request_id: str
    worker: str
    method: str
    target: str
    intact: bool
    seal: str
    status: int
    ran: bool
    whole_body: bytes | None
    closes_early: bool = False


@dataclass(frozen=True, slots=True)
class ClientAnswer:
    """What a client got for its request; `complete` as far as HTTP/1.1 can tell."""

    request: SentRequest
    status: int | None = None
    request_id: str | None = None
    seal: str | None = None
    body: bytes = b""
    complete: bool = False
    left: bool = False
    malformed: str | None = None


class Rule(StrEnum):
    """What must hold."""

    MIXED = "MIXED"
    ORDER = "ORDER"
    TWICE = "TWICE"
    REFUSED = "REFUSED"
    UNASKED = "UNASKED"
    BUDGET = "BUDGET"


@dataclass(frozen=True, slots=True)
class Violation:
    """A rule that was broken, and by which request."""

    rule: Rule
    request_id: str
    why: str


@dataclass
class ExchangeRecords:
    """What happened at the sockets of all clients and workers."""

    requests: dict[str, SentRequest] = field(default_factory=dict)
    runs: list[WorkerRun] = field(default_factory=list)
    answers: list[ClientAnswer] = field(default_factory=list)
    stray_bytes: list[tuple[str, str]] = field(default_factory=list)  # worker, what came

    def merge(self, other: ExchangeRecords) -> None:
        """Take over what others recorded."""
        self.requests.update(other.requests)
        self.runs.extend(other.runs)
        self.answers.extend(other.answers)
        self.stray_bytes.extend(other.stray_bytes)


def request_body(request_id: str, size: int) -> bytes:
    """A body in which each stretch names its request and place, so that no other bytes stand for it."""
    count = size // BODY_PATTERN + 1
    text = "".join(f"{request_id}:{number};".ljust(BODY_PATTERN, ".") for number in range(count))
    return text.encode()[:size]


def stream_event(request_id: str, number: int) -> bytes:
    """One event of the stream that answers a request."""
    return f"id: {number}\ndata: {request_id} {number}\n\n".encode()


def stream_body(request_id: str, after: int = 0) -> bytes:
    """The events after the one named, to the end of the stream."""
    return b"".join(stream_event(request_id, number) for number in range(after + 1, EVENTS + 1))


def find_violations(records: ExchangeRecords) -> list[Violation]:
    """All broken rules."""
    return list(_Judge(records).violations())


class _Judge:
    def __init__(self, records: ExchangeRecords) -> None:
        self._records = records
        self._by_seal = {run.seal: run for run in records.runs}
        self._by_request: dict[str, list[WorkerRun]] = defaultdict(list)
        for run in records.runs:
            self._by_request[run.request_id].append(run)

    def violations(self) -> Iterator[Violation]:
        for worker, what in self._records.stray_bytes:
            yield Violation(Rule.UNASKED, "", f"{worker} received {what}")
        for run in self._records.runs:
            yield from self._judge_run(run)
        for request in self._records.requests.values():
            yield from self._judge_request(request)
        for answer in self._records.answers:
            yield from self._judge_answer(answer)

    def _judge_run(self, run: WorkerRun) -> Iterator[Violation]:
        request = self._records.requests.get(run.request_id)
        if request is None:
            yield Violation(Rule.UNASKED, run.request_id, "no client sent it")
        elif (run.method, run.target) != (request.method, request.target) or not run.intact:
            yield Violation(Rule.UNASKED, run.request_id, f"changed: {run.method} {run.target}")

    def _judge_request(self, request: SentRequest) -> Iterator[Violation]:
        runs = self._by_request[request.id]
        ran = sum(run.ran for run in runs)
        if ran > 1 and not request.kind.repeatable:
            yield Violation(Rule.TWICE, request.id, f"ran {ran} times")
        if len(runs) > TRIES:
            yield Violation(Rule.BUDGET, request.id, f"sent {len(runs)} times")

    def _judge_answer(self, answer: ClientAnswer) -> Iterator[Violation]:
        request = answer.request
        if answer.malformed is not None:
            yield Violation(Rule.MIXED, request.id, answer.malformed)
        if answer.status is None:
            return
        if answer.request_id not in (None, request.id):
            yield Violation(Rule.MIXED, request.id, f"answer to {answer.request_id}")
        if answer.seal is not None or answer.status in SUCCESSES:
            yield from self._judge_sealed(answer)
        ran = any(run.ran for run in self._by_request[request.id])
        if answer.status in PROMISES and ran and not request.kind.repeatable:
            yield Violation(Rule.REFUSED, request.id, f"{answer.status} though it ran")

    def _judge_sealed(self, answer: ClientAnswer) -> Iterator[Violation]:
        """An answer that claims to be a worker's."""
        run = self._by_seal.get(answer.seal or "")
        if run is None or run.request_id != answer.request.id:
            yield Violation(Rule.MIXED, answer.request.id, f"seal {answer.seal} is of no run of it")
        elif run.status != answer.status:
            yield Violation(Rule.MIXED, answer.request.id, f"{answer.status} for the worker's {run.status}")
        elif answer.request.kind.streams and answer.status in SUCCESSES:
            yield from self._judge_stream(answer)
        elif answer.complete and answer.body != run.whole_body:
            yield Violation(Rule.MIXED, answer.request.id, "complete, and not the worker's whole answer")

    def _judge_stream(self, answer: ClientAnswer) -> Iterator[Violation]:
        whole = stream_body(answer.request.id)
        if not whole.startswith(answer.body):
            yield Violation(Rule.ORDER, answer.request.id, "events are missing, repeated or foreign")
        elif answer.complete and answer.body != whole and not self._ended_early(answer):
            yield Violation(Rule.ORDER, answer.request.id, "complete before its last event")

    def _ended_early(self, answer: ClientAnswer) -> bool:
        """Whether a worker ended a run by a close that no reader can tell from its end."""
        return any(run.closes_early for run in self._by_request[answer.request.id])


def count_statuses(records: ExchangeRecords) -> dict[str, int]:
    """How many requests ended in which way."""
    return dict(sorted(Counter(_describe(answer) for answer in records.answers).items()))


def _describe(answer: ClientAnswer) -> str:
    if answer.left:
        return "client left"
    if answer.status is None:
        return "no answer"
    return str(answer.status) if answer.complete else f"{answer.status} cut"
